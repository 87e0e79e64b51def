//! A circuit breaker for exchanges with the platform.

use std::time::Duration;

use rand::Rng;

use crate::time::Time;

/// Failures in a row that open the breaker.
const THRESHOLD: u32 = 3;

/// The first pause of an open breaker.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause of an open breaker. It bounds how late the platform's return is noticed.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Leaves a failing platform alone for a while, longer after each failure.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Time,
}

impl CircuitBreaker {
    /// Whether an exchange may be tried at `now`. One that is let through holds back the others.
    pub fn admit(&mut self, now: Time) -> bool {
        if self.failures < THRESHOLD {
            return true;
        }
        if now < self.open_until {
            return false;
        }
        self.open_until = now + FIRST_PAUSE;
        true
    }

    /// Notes an exchange that worked.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Notes an exchange that failed. The pause has jitter, so that daemons do not return in step.
    pub fn record_failure(&mut self, now: Time, rng: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        if self.failures < THRESHOLD {
            return;
        }
        let doublings = (self.failures - THRESHOLD).min(8);
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        self.open_until = now + pause.mul_f64(rng.random_range(0.5..=1.0));
    }
}
