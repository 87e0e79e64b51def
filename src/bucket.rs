//! A token bucket under an explicit clock.
//!
//! Rates of customers, loans between VMs and the retry bucket of a service are built on it. See
//! docs/DESIGN.md, "Rates and bursts".

use std::time::Duration;

use crate::time::Time;

/// A bucket that refills at `rate` tokens a second up to `burst` tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    held: f64,
    updated: Time,
}

impl TokenBucket {
    /// Makes an empty bucket. A share that moved starts empty, or its burst would count twice.
    pub fn empty(rate: f64, burst: f64, now: Time) -> Self {
        Self { rate, burst, level: 0.0, held: 0.0, updated: now }
    }

    /// Makes a full bucket, for a limit that no other VM held before.
    pub fn full(rate: f64, burst: f64, now: Time) -> Self {
        Self { level: burst, ..Self::empty(rate, burst, now) }
    }

    /// Tokens in the bucket at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Changes rate and burst. A smaller burst drops what no longer fits; a larger one adds nothing.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.ceiling());
    }

    /// Takes `tokens`, or returns how long until they will be there.
    ///
    /// # Errors
    ///
    /// Returns the wait when the bucket is short; [`Duration::MAX`] when it can never hold as many.
    pub fn take(&mut self, tokens: f64, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.level + 1e-9 >= tokens {
            self.level -= tokens;
            return Ok(());
        }
        if self.rate <= 0.0 || self.burst < tokens {
            return Err(Duration::MAX);
        }
        Err(Duration::from_secs_f64((tokens - self.level) / self.rate))
    }

    /// Puts tokens back or adds earned ones, up to the burst.
    pub fn add(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.ceiling());
    }

    /// Lowers the ceiling by `tokens` that another VM may still use.
    ///
    /// Without this, the bucket would refill beside an unused loan, and one window could see both.
    pub fn hold(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.held += tokens;
        self.level = self.level.min(self.ceiling());
    }

    /// Ends a [`Self::hold`].
    pub fn release(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.held = (self.held - tokens).max(0.0);
    }

    fn ceiling(&self) -> f64 {
        (self.burst - self.held).max(0.0)
    }

    fn refill(&mut self, now: Time) {
        let span = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + self.rate * span).min(self.ceiling()).max(0.0);
    }
}
