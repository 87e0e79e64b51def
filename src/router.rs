//! The choice of an instance.
//!
//! Two candidates are drawn and the less loaded one is taken, on load that came in answers. The local
//! failure domain goes first, and work spills over when it is fuller by a margin. docs/DESIGN.md,
//! "Routing", weighs the other ways.

use rand::Rng;

/// How much fuller the local failure domain may be before work leaves it, as a fraction of slots.
pub const SPILL_MARGIN: f64 = 0.15;

/// One instance that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The instance's place in the caller's own list.
    pub index: usize,
    /// Whether it stands in the caller's failure domain.
    pub local: bool,
    /// Requests that it holds or that are on their way to it.
    pub load: u32,
    /// Its slots, lowered while it starts or after it shed by itself.
    pub slots: u32,
}

impl Candidate {
    fn fullness(&self) -> f64 {
        f64::from(self.load + 1) / f64::from(self.slots.max(1))
    }
}

/// Chooses one of `candidates`, or `None` when there are none.
pub fn choose(candidates: &[Candidate], rng: &mut impl Rng) -> Option<usize> {
    let near = draw(candidates, true, rng);
    let far = draw(candidates, false, rng);
    match (near, far) {
        (Some(near), Some(far)) if near.fullness() > far.fullness() + SPILL_MARGIN => {
            Some(far.index)
        }
        (Some(near), _) => Some(near.index),
        (None, far) => far.map(|far| far.index),
    }
}

/// Draws two of the near or of the far candidates and returns the emptier one.
fn draw<'a>(candidates: &'a [Candidate], local: bool, rng: &mut impl Rng) -> Option<&'a Candidate> {
    let count = candidates.iter().filter(|candidate| candidate.local == local).count();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let second = if count > 1 { (first + rng.random_range(1..count)) % count } else { first };
    let nth = |n| candidates.iter().filter(|candidate| candidate.local == local).nth(n);
    let (first, second) = (nth(first)?, nth(second)?);
    Some(if second.fullness() < first.fullness() { second } else { first })
}
