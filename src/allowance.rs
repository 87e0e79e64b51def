//! The retries that all daemons together may spend on the requests for one service.
//!
//! Each request that a daemon sends earns a fraction of a retry. Only requests of the same route can spend
//! it, only at the same daemon, and only for a few seconds. No daemon needs to know what the others spend,
//! and a daemon that restarts begins without any, so the sum over the fleet is bounded by the requests
//! that were sent. A repeated run repeats its calls as well; a route therefore earns less the more levels
//! of calls its runs cause. docs/DESIGN.md, "Retries", has the argument.

use std::time::Duration;

use crate::time::Time;

/// Time for which retries are earned before they can only be spent. They expire after twice that time.
pub const GENERATION: Duration = Duration::from_secs(4);

/// Retries in each [`GENERATION`] that a service gets from all daemons together although no request has
/// earned them, so that a request for a service with few of them can be retried.
const SPARE_RETRIES: f64 = 6.0;

/// Factor by which the earned fraction decreases with each level of calls below a route.
const LEVEL_FACTOR: f64 = 1.0 / 3.0;

/// Levels of calls that are assumed below a route as long as no answer has told them.
const UNKNOWN_LEVELS: u8 = 3;

/// Returns the fraction of a retry that a request earns, for a service that may get `ratio` retries for
/// each request. `levels` is the number of levels of calls that its run causes, and `is_call` tells
/// whether a backend server sent it.
///
/// The fractions of all requests on the way from a caller to a service add up to at most `ratio`.
pub fn earned_fraction(ratio: f64, levels: Option<u8>, is_call: bool) -> f64 {
    let share = LEVEL_FACTOR.powi(i32::from(levels.unwrap_or(UNKNOWN_LEVELS)));
    let above = if is_call { 1.0 - LEVEL_FACTOR } else { 1.0 };
    ratio * share * above
}

/// Returns the spare retries that one of `daemons` gets for a service in each [`GENERATION`].
pub fn spare_share(daemons: usize) -> f64 {
    if daemons == 0 { 0.0 } else { SPARE_RETRIES / daemons as f64 }
}

/// Retries that the requests of one route have earned at one daemon.
#[derive(Debug, Default)]
pub struct EarnedRetries {
    current: u32,
    previous: u32,
    began: Time,
}

impl EarnedRetries {
    /// Adds a retry with the probability `fraction`. `draw` is a random number between 0 and 1. Daemons
    /// that send few requests thus hold whole retries at times instead of fractions that expire.
    pub fn earn(&mut self, fraction: f64, draw: f64, now: Time) {
        self.advance(now);
        self.current += u32::from(draw < fraction);
    }

    /// Takes a retry. Returns `false` if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        self.advance(now);
        let oldest = if self.previous > 0 { &mut self.previous } else { &mut self.current };
        let is_available = *oldest > 0;
        *oldest -= u32::from(is_available);
        is_available
    }

    fn advance(&mut self, now: Time) {
        let age = now.since(self.began);
        if age >= 2 * GENERATION {
            *self = Self { began: now, ..Self::default() };
        } else if age >= GENERATION {
            *self = Self { current: 0, previous: self.current, began: self.began + GENERATION };
        }
    }
}

/// Retries of one service at one daemon that no request has earned.
#[derive(Debug, Default)]
pub struct SpareRetries {
    left: u32,
    began: Option<Time>,
}

impl SpareRetries {
    /// Takes a retry out of `share` retries that there are in each [`GENERATION`]. A fractional one is
    /// there with its probability; `draw` is a random number between 0 and 1.
    pub fn take(&mut self, share: f64, draw: f64, now: Time) -> bool {
        if self.began.is_none_or(|began| now.since(began) >= GENERATION) {
            if share <= 0.0 {
                return false;
            }
            self.left = share as u32 + u32::from(draw < share.fract());
            self.began = Some(now);
        }
        let is_available = self.left > 0;
        self.left -= u32::from(is_available);
        is_available
    }
}

/// Number of levels of calls below the runs of one route, as answers told lately. The highest counts, since
/// instances that have just started do not know all calls yet.
#[derive(Debug, Default)]
pub struct CallLevels {
    recent: Option<u8>,
    earlier: Option<u8>,
    began: Time,
}

impl CallLevels {
    /// Records the levels that an answer told.
    pub fn record(&mut self, levels: u8, now: Time) {
        if now.since(self.began) >= GENERATION {
            (self.earlier, self.recent, self.began) = (self.recent, None, now);
        }
        self.recent = self.recent.max(Some(levels));
    }

    /// Returns the number of levels, or `None` if no answer has told it yet.
    pub fn get(&self) -> Option<u8> {
        self.recent.max(self.earlier)
    }
}
