//! Retry budgets that bound the number of attempts over a whole call tree.
//!
//! The entry gives each request a budget of retries. Each daemon on the path keeps the remaining part in
//! a [`RetryBudget`]: a downstream call reserves some of it, and its answer returns what was not used.
//! If the answer is lost, all of it counts as spent. The attempts in the tree are therefore at most the
//! calls plus the budget of the entry. See docs/DESIGN.md, "Retries", for the argument.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::reason::Outcome;

/// The retries that one request may still use at one hop.
#[derive(Debug)]
pub struct RetryBudget {
    remaining: AtomicU32,
}

impl RetryBudget {
    /// Creates a budget of `retries`, as granted by the entry or received with the request.
    pub const fn new(retries: u32) -> Self {
        Self { remaining: AtomicU32::new(retries) }
    }

    /// Returns the number of remaining retries.
    pub fn remaining(&self) -> u32 {
        self.remaining.load(Ordering::Acquire)
    }

    /// Reserves half of the remaining retries, rounded up, for one downstream call.
    ///
    /// The other half is left to calls that run concurrently.
    pub fn reserve_half(&self) -> u32 {
        let mut reserved = 0;
        let _ = self.remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, |remaining| {
            reserved = remaining.div_ceil(2);
            Some(remaining - reserved)
        });
        reserved
    }

    /// Takes one retry, or returns `false` if none remains.
    pub fn spend(&self) -> bool {
        let decrement = |remaining: u32| remaining.checked_sub(1);
        self.remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, decrement).is_ok()
    }

    /// Returns retries that a downstream call did not use.
    pub fn refund(&self, unused: u32) {
        self.remaining.fetch_add(unused, Ordering::AcqRel);
    }
}

/// Minimum time left until the deadline for another attempt.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// Whether the request could succeed on another instance if sent there at once.
    pub retryable: bool,
    /// Time left until the deadline.
    pub time_left: Duration,
}

impl FailedAttempt {
    /// Whether another attempt is safe and could succeed. The retry budget and the token bucket of the
    /// service are checked separately.
    ///
    /// A request that may have run is repeated only on an idempotent route.
    pub fn may_retry(&self, idempotent: bool) -> bool {
        let safe = match self.outcome {
            Outcome::NotRun => true,
            Outcome::Ran | Outcome::Unknown => idempotent,
        };
        safe && self.retryable && self.time_left > MIN_TIME_LEFT
    }
}
