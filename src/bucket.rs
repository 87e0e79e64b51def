//! A token bucket that is given the time by its caller.
//!
//! It limits the request rates of customers, with loans between VMs, and the retries of each service.
//! See docs/DESIGN.md, "Rates and bursts".

use std::time::Duration;

use crate::time::Time;

/// A bucket that refills at `rate` tokens per second up to `burst` tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    held: f64,
    updated: Time,
}

impl TokenBucket {
    /// Creates an empty bucket. A share that moves between VMs starts empty, since its burst would
    /// otherwise be granted twice.
    pub fn empty(rate: f64, burst: f64, now: Time) -> Self {
        Self { rate, burst, level: 0.0, held: 0.0, updated: now }
    }

    /// Creates a full bucket, for a limit that no other VM has held before.
    pub fn full(rate: f64, burst: f64, now: Time) -> Self {
        Self { level: burst, ..Self::empty(rate, burst, now) }
    }

    /// Returns the number of tokens in the bucket at `now`.
    pub fn level(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }

    /// Changes rate and burst. A smaller burst discards the tokens above it; a larger one adds none.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(self.capacity());
    }

    /// Takes `tokens` if the bucket holds that many.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket will hold enough tokens, or [`Duration::MAX`] if it never
    /// will.
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

    /// Adds tokens, up to the capacity: unused ones that are returned, or earned ones.
    pub fn add(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.level = (self.level + tokens).min(self.capacity());
    }

    /// Lowers the capacity by `tokens` that were lent to another VM, which may still use them.
    ///
    /// Otherwise the bucket would refill while the loan is unused, and the refilled and the lent tokens
    /// could both be used within one window.
    pub fn hold(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.held += tokens;
        self.level = self.level.min(self.capacity());
    }

    /// Raises the capacity again by `tokens` of an earlier [`Self::hold`].
    pub fn release(&mut self, tokens: f64, now: Time) {
        self.refill(now);
        self.held = (self.held - tokens).max(0.0);
    }

    fn capacity(&self) -> f64 {
        (self.burst - self.held).max(0.0)
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.level = (self.level + self.rate * elapsed).min(self.capacity()).max(0.0);
    }
}
