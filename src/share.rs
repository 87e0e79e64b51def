//! Rates and bursts that hold over the whole fleet.
//!
//! A share is a fraction of a customer's rate and burst that one VM owns; the
//! [roster](crate::roster::Roster) keeps the sum at most 1. A VM that is short borrows single tokens from
//! other owners. Every rule here keeps one promise: in every window `w`, all VMs together admit at most
//! `rate * w + burst`. docs/DESIGN.md, "Rates and bursts", gives the argument and the ways that were
//! weighed.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::bucket::TokenBucket;
use crate::time::Time;

/// How long a borrowed token may be used, counted by the borrower from before it asked.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(50);

/// How long the lender counts a loan against its own burst.
pub const LENDER_HOLD: Duration = Duration::from_millis(100);

/// How many owners one request asks for a token at most.
pub const MOST_LENDERS: usize = 8;

/// One VM's share of one customer, with its bucket.
#[derive(Debug)]
pub struct ShareBucket {
    rate: f64,
    burst: f64,
    fraction: f64,
    bucket: TokenBucket,
    loans: VecDeque<Loan>,
}

/// Tokens that another VM may still use.
#[derive(Debug, Clone, Copy)]
struct Loan {
    end: Time,
    tokens: f64,
}

impl ShareBucket {
    /// Makes a holding without a share.
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        let bucket = TokenBucket::empty(0.0, 0.0, now);
        Self { rate, burst, fraction: 0.0, bucket, loans: VecDeque::new() }
    }

    /// The fraction of the customer's rate and burst.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Takes one token for a request, or returns how long until there will be one.
    ///
    /// # Errors
    ///
    /// Returns the wait when the bucket is short.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.settle(now);
        self.bucket.take(1.0, now)
    }

    /// Whether a token is there now.
    pub fn has_token(&mut self, now: Time) -> bool {
        self.settle(now);
        self.bucket.level(now) >= 1.0
    }

    /// Takes one token out for another VM, and counts it against the burst until the loan is over.
    pub fn lend(&mut self, now: Time) -> bool {
        self.settle(now);
        if self.bucket.take(1.0, now).is_err() {
            return false;
        }
        self.bucket.hold(1.0, now);
        self.loans.push_back(Loan { end: now + LENDER_HOLD, tokens: 1.0 });
        true
    }

    /// Sets the customer's rate and burst, as a new document says.
    pub fn set_limits(&mut self, rate: f64, burst: f64, now: Time) {
        self.settle(now);
        (self.rate, self.burst) = (rate, burst);
        self.resize(now);
    }

    /// Takes over another fraction. A smaller one drops what no longer fits at once; a larger one
    /// starts without the tokens that its former owner may have used.
    pub fn set_fraction(&mut self, fraction: f64, now: Time) {
        self.settle(now);
        self.fraction = fraction;
        self.resize(now);
    }

    /// Fills the bucket of a share that nobody has used before.
    pub fn fill(&mut self, now: Time) {
        self.bucket.add(f64::INFINITY, now);
    }

    /// Ends loans at their own times, not at the time of the next request.
    fn settle(&mut self, now: Time) {
        while let Some(loan) = self.loans.front().copied().filter(|loan| loan.end <= now) {
            self.bucket.release(loan.tokens, loan.end);
            self.loans.pop_front();
        }
    }

    fn resize(&mut self, now: Time) {
        self.bucket.resize(self.rate * self.fraction, self.burst * self.fraction, now);
    }
}

/// Whom to ask for the next token: the owner that had one last, and then the others in turn.
///
/// Always asking the same few would drain them beside owners that nobody asks.
#[derive(Debug, Default)]
pub struct LenderCursor {
    next: AtomicUsize,
}

impl LenderCursor {
    /// The places of `count` owners that one request asks, in order.
    pub fn candidates(&self, count: usize) -> impl Iterator<Item = usize> + use<> {
        let next = self.next.load(Ordering::Relaxed);
        (0..count.min(MOST_LENDERS)).map(move |at| (next + at) % count)
    }

    /// Notes that the owner at `place` had a token.
    pub fn record_success(&self, place: usize) {
        self.next.store(place, Ordering::Relaxed);
    }

    /// Notes that none of those who were asked had one.
    pub fn record_failure(&self) {
        self.next.fetch_add(MOST_LENDERS, Ordering::Relaxed);
    }
}
