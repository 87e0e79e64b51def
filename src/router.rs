//! Choice of the instance that a request is sent to.
//!
//! Two candidates are drawn from the local failure domain and two from the others, and the one with the
//! lowest expected cost is chosen. The cost is the expected latency plus penalties for recent failures
//! and for filling the last slots of an instance, from the load, service time and failures that answers
//! reported. The local failure domain is preferred unless a remote candidate is cheaper by more than a
//! margin, which is a fraction of the latency objective. Nearly full instances are avoided while there
//! is a better choice, so that no request queues while another instance has a free slot. The
//! alternatives are compared in docs/DESIGN.md, "Routing".

use std::time::Duration;

use rand::Rng;

/// Margin by which a remote instance has to be cheaper than a local one, as a fraction of the latency
/// objective. For a smaller gain the traffic between failure domains costs more than the time is worth.
pub const SPILL_MARGIN: f64 = 0.03;

/// Assumed slowdown of a full instance compared to an empty one, as a fraction of its service time.
const FULL_SLOWDOWN: f64 = 0.3;

/// Utilization above which an instance costs extra, since one more request there delays others as well
/// as itself. Such an instance is chosen only when there is no better one.
const HIGH_UTILIZATION: f64 = 0.9;

/// Cost of the last free slot of an instance, as a fraction of the latency objective. A slower instance
/// is chosen before a faster one fills up, if its answer is expected at most this much later.
const LAST_SLOT_COST: f64 = 0.4;

/// An instance that could serve the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Position of the instance in the list that the caller of [`choose`] holds.
    pub index: usize,
    /// Whether the instance is in the failure domain of this daemon.
    pub local: bool,
    /// Number of requests that are in flight or queued at the instance, or on their way to it.
    pub load: u32,
    /// Number of its slots, reduced while it starts and after its backend server shed a request.
    pub slots: u32,
    /// Mean time for which a request holds a slot; zero while it is unknown.
    pub service_time: Duration,
    /// Fraction of its recent answers that were failures.
    pub failure_rate: f64,
}

impl Candidate {
    fn is_full(&self) -> bool {
        self.load >= self.slots
    }

    /// Returns the expected cost of sending the request here, in seconds of latency. A failure costs as
    /// much as the latency objective, since the caller has to retry.
    fn expected_cost(&self, objective: Duration) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let utilization = (f64::from(self.load) + 1.0) / slots;
        let queueing = (utilization - 1.0).max(0.0);
        let slowdown = FULL_SLOWDOWN * utilization.min(1.0).powi(2);
        let last_slots = LAST_SLOT_COST
            * ((utilization - HIGH_UTILIZATION) / (1.0 - HIGH_UTILIZATION)).clamp(0.0, 1.0).powi(2);
        let latency = self.service_time.as_secs_f64() * (1.0 + slowdown + queueing);
        latency + (last_slots + self.failure_rate) * objective.as_secs_f64()
    }
}

/// Returns the index of the chosen candidate for a request with this latency objective, or `None` if
/// there are no candidates.
pub fn choose(candidates: &[Candidate], objective: Duration, rng: &mut impl Rng) -> Option<usize> {
    let local = cheaper_of_two(candidates, true, objective, rng);
    let remote = cheaper_of_two(candidates, false, objective, rng);
    let margin = objective.as_secs_f64() * SPILL_MARGIN;
    let drawn = match (local, remote) {
        (Some(local), Some(remote))
            if local.expected_cost(objective) > remote.expected_cost(objective) + margin =>
        {
            remote
        }
        (Some(local), _) => local,
        (None, remote) => remote?,
    };
    if !drawn.is_full() {
        return Some(drawn.index);
    }
    // The best of the drawn candidates is full, so all of them are compared.
    let cost =
        |other: &Candidate| other.expected_cost(objective) + if other.local { 0.0 } else { margin };
    let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
    Some(if cost(best) < cost(drawn) { best.index } else { drawn.index })
}

/// Draws two candidates at random from the local or from the remote ones and returns the cheaper.
fn cheaper_of_two<'a>(
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
    let better = second.expected_cost(objective) < first.expected_cost(objective);
    Some(if better { second } else { first })
}
