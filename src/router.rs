//! The choice of an instance.
//!
//! Two candidates near and two beyond are drawn, and the one from which the answer is expected first is
//! taken, by load, time and failures that came in answers. The local failure domain goes first, unless
//! another is faster by a part of the latency objective. docs/DESIGN.md, "Routing", weighs the other
//! ways.

use std::time::Duration;

use rand::Rng;

/// How much later the local failure domain may answer before work leaves it, as a part of the latency
/// objective. Beyond it, bytes between failure domains cost more than the time is worth.
pub const SPILL_MARGIN: f64 = 0.03;

/// By how much a full instance is taken to be slower than an empty one, as a part of its time.
const FULL_SLOWDOWN: f64 = 0.3;

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
    /// How long it holds a slot for a request on average; zero while that is not known.
    pub mean: Duration,
    /// The part of its answers that were failures lately.
    pub failing: f64,
}

impl Candidate {
    /// In how many seconds its answer is expected. A failure costs as much as the objective, since its
    /// caller has to ask again.
    fn expected(&self, objective: Duration) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let fullness = f64::from(self.load + 1) / slots;
        let waiting = (fullness - 1.0).max(0.0);
        let slowdown = FULL_SLOWDOWN * fullness.min(1.0).powi(2);
        let time = self.mean.as_secs_f64() * (1.0 + slowdown + waiting);
        time + self.failing * objective.as_secs_f64()
    }
}

/// Chooses one of `candidates` for a request with this latency objective, or `None` when there are none.
pub fn choose(candidates: &[Candidate], objective: Duration, rng: &mut impl Rng) -> Option<usize> {
    let near = draw(candidates, true, objective, rng);
    let far = draw(candidates, false, objective, rng);
    let margin = objective.as_secs_f64() * SPILL_MARGIN;
    match (near, far) {
        (Some(near), Some(far)) if near.expected(objective) > far.expected(objective) + margin => {
            Some(far.index)
        }
        (Some(near), _) => Some(near.index),
        (None, far) => far.map(|far| far.index),
    }
}

/// Draws two of the near or of the far candidates and returns the one that is expected to answer first.
fn draw<'a>(
    candidates: &'a [Candidate],
    local: bool,
    objective: Duration,
    rng: &mut impl Rng,
) -> Option<&'a Candidate> {
    let count = candidates.iter().filter(|candidate| candidate.local == local).count();
    if count == 0 {
        return None;
    }
    let first = rng.random_range(0..count);
    let second = if count > 1 { (first + rng.random_range(1..count)) % count } else { first };
    let nth = |n| candidates.iter().filter(|candidate| candidate.local == local).nth(n);
    let (first, second) = (nth(first)?, nth(second)?);
    let better = second.expected(objective) < first.expected(objective);
    Some(if better { second } else { first })
}
