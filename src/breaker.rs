//! A circuit breaker for store requests to the platform.

use std::time::Duration;

use rand::Rng;

use crate::time::Time;

/// Number of consecutive failures that opens the breaker.
const FAILURE_THRESHOLD: u32 = 3;

/// Initial pause of an open breaker, and how long a probe holds back other requests.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause of an open breaker. It bounds how late a recovered platform is noticed.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Suspends requests to a failing platform, for a longer time after each further failure.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    consecutive_failures: u32,
    open_until: Time,
}

impl CircuitBreaker {
    /// Whether a request may be sent at `now`. After the pause of an open breaker, one request is
    /// admitted as a probe and holds back the others.
    pub fn admit(&mut self, now: Time) -> bool {
        if self.consecutive_failures < FAILURE_THRESHOLD {
            return true;
        }
        if now < self.open_until {
            return false;
        }
        self.open_until = now + INITIAL_PAUSE;
        true
    }

    /// Closes the breaker after a request that succeeded.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Counts a request that failed. The pause has jitter, so that daemons do not retry in step.
    pub fn record_failure(&mut self, now: Time, rng: &mut impl Rng) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < FAILURE_THRESHOLD {
            return;
        }
        let doublings = (self.consecutive_failures - FAILURE_THRESHOLD).min(8);
        let pause = (INITIAL_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
        self.open_until = now + pause.mul_f64(rng.random_range(0.5..=1.0));
    }
}
