//! Retries that stay bounded end to end.
//!
//! The entry gives each request an allowance. The daemon beside an instance keeps a [`RetryBudget`] for
//! each live request: a call on takes part of what is left, and what it did not use comes back with
//! its answer. A lost answer counts as spent. So attempts over the whole tree are at most calls plus
//! allowance. docs/DESIGN.md, "Retries", gives the argument.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::reason::Outcome;

/// What is left of one request's allowance at one hop.
#[derive(Debug)]
pub struct RetryBudget {
    remaining: AtomicU32,
}

impl RetryBudget {
    /// Opens a retry_budget with the allowance that came with the request.
    pub const fn new(allowance: u32) -> Self {
        Self { remaining: AtomicU32::new(allowance) }
    }

    /// Retries that are left.
    pub fn remaining(&self) -> u32 {
        self.remaining.load(Ordering::Acquire)
    }

    /// Takes half of what is left, rounded up, for one call on.
    ///
    /// Half leaves something for calls that run beside this one.
    pub fn reserve_half(&self) -> u32 {
        let mut reserved = 0;
        let _ = self.remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
            reserved = left.div_ceil(2);
            Some(left - reserved)
        });
        reserved
    }

    /// Takes one retry, or returns `false` when none is left.
    pub fn spend(&self) -> bool {
        let spent = |left: u32| left.checked_sub(1);
        self.remaining.fetch_update(Ordering::AcqRel, Ordering::Acquire, spent).is_ok()
    }

    /// Gives back what a call on did not use.
    pub fn refund(&self, unused: u32) {
        self.remaining.fetch_add(unused, Ordering::AcqRel);
    }
}

/// The least time that must be left for another attempt.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// A failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct FailedAttempt {
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// Whether the same request could succeed on another instance at once.
    pub retryable: bool,
    /// What is left of the deadline.
    pub time_left: Duration,
}

impl FailedAttempt {
    /// Whether another attempt would help and do no harm, before allowance and buckets are asked.
    ///
    /// A request that may have run is repeated only on an idempotent route.
    pub fn may_retry(&self, idempotent: bool) -> bool {
        let harmless = match self.outcome {
            Outcome::NotRun => true,
            Outcome::Ran | Outcome::Unknown => idempotent,
        };
        harmless && self.retryable && self.time_left > LEAST_TIME
    }
}
