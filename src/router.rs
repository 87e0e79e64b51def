//! The choice of an instance.
//!
//! Two candidates near and two beyond are drawn, and the one from which the answer is expected first is
//! taken, by load, time and failures that came in answers. The local failure domain goes first, unless
//! another is faster by a part of the latency objective. An instance that is nearly full is left to those
//! that have nowhere better to go, so that none queues beside another that has room. docs/DESIGN.md, "Routing", weighs the other
//! ways.

use std::time::Duration;

use rand::Rng;

/// How much later the local failure domain may answer before work leaves it, as a part of the latency
/// objective. Beyond it, bytes between failure domains cost more than the time is worth.
pub const SPILL_MARGIN: f64 = 0.03;

/// By how much a full instance is taken to be slower than an empty one, as a part of its time.
const FULL_SLOWDOWN: f64 = 0.3;

/// From how full on an instance is kept for those that have nowhere better to go: a request more makes
/// others wait beside its own.
const CROWDED: f64 = 0.9;

/// What the last free slot of an instance costs, as a part of the latency objective. So much later a slower
/// instance may answer before a faster one fills up.
const LAST_SLOT: f64 = 0.4;

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
    pub service_time: Duration,
    /// The part of its answers that were failures lately.
    pub failure_rate: f64,
}

impl Candidate {
    fn is_full(&self) -> bool {
        self.load >= self.slots
    }

    /// In how many seconds its answer is expected. A failure costs as much as the objective, since its
    /// caller has to ask again.
    fn expected(&self, objective: Duration) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let fullness = f64::from(self.load + 1) / slots;
        let waiting = (fullness - 1.0).max(0.0);
        let slowdown = FULL_SLOWDOWN * fullness.min(1.0).powi(2);
        let crowd = LAST_SLOT * ((fullness - CROWDED) / (1.0 - CROWDED)).clamp(0.0, 1.0).powi(2);
        let time = self.service_time.as_secs_f64() * (1.0 + slowdown + waiting);
        time + (crowd + self.failure_rate) * objective.as_secs_f64()
    }
}

/// Chooses one of `candidates` for a request with this latency objective, or `None` when there are none.
pub fn choose(candidates: &[Candidate], objective: Duration, rng: &mut impl Rng) -> Option<usize> {
    let near = draw(candidates, true, objective, rng);
    let far = draw(candidates, false, objective, rng);
    let margin = objective.as_secs_f64() * SPILL_MARGIN;
    let drawn = match (near, far) {
        (Some(near), Some(far)) if near.expected(objective) > far.expected(objective) + margin => {
            far
        }
        (Some(near), _) => near,
        (None, far) => far?,
    };
    if !drawn.is_full() {
        return Some(drawn.index);
    }
    // Those that were drawn are full, so it is worth to look at all of them.
    let cost =
        |other: &Candidate| other.expected(objective) + if other.local { 0.0 } else { margin };
    let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    Some(if cost(best) < cost(drawn) { best.index } else { drawn.index })
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
