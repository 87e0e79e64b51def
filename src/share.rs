//! Rate limits that are enforced across the whole fleet.
//!
//! A share is the fraction of a customer's rate and burst that one VM owns. The
//! [roster](crate::roster::Roster) keeps the sum of all shares at or below 1. A VM that has run out of
//! tokens borrows single tokens from other owners. The invariant is that in every time window of length
//! `w`, all VMs together admit at most `rate * w + burst` requests. docs/DESIGN.md, "Rates and bursts",
//! gives the argument and the alternatives that were considered.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::bucket::TokenBucket;
use crate::time::Time;

/// Time within which a borrowed token must be used. The borrower measures it from before it sends its
/// request, so that the token expires at the borrower before the lender releases it after
/// [`LENDER_HOLD`].
pub const LOAN_VALIDITY: Duration = Duration::from_millis(50);

/// Time for which the lender counts a lent token against its own burst, measured from the grant.
pub const LENDER_HOLD: Duration = Duration::from_millis(100);

/// Maximum number of owners that are asked for a token on behalf of one request.
pub const MAX_LENDERS: usize = 8;

/// The token bucket for one VM's share of one customer's rate.
#[derive(Debug)]
pub struct ShareBucket {
    rate: f64,
    burst: f64,
    fraction: f64,
    bucket: TokenBucket,
    loans: VecDeque<Loan>,
}

/// Tokens lent to another VM, which may still use them.
#[derive(Debug, Clone, Copy)]
struct Loan {
    end: Time,
    tokens: f64,
}

impl ShareBucket {
    /// Creates an empty bucket with a share of zero.
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        let bucket = TokenBucket::empty(0.0, 0.0, now);
        Self { rate, burst, fraction: 0.0, bucket, loans: VecDeque::new() }
    }

    /// Returns this VM's fraction of the customer's rate and burst.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Takes one token for a request.
    ///
    /// # Errors
    ///
    /// Returns the time until a token will be available if there is none now; [`Duration::MAX`] if the
    /// share is too small to ever hold one.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.expire_loans(now);
        self.bucket.take(1.0, now)
    }

    /// Whether a token is available now.
    pub fn has_token(&mut self, now: Time) -> bool {
        self.expire_loans(now);
        self.bucket.level(now) >= 1.0
    }

    /// Lends one token to another VM and counts it against the burst for [`LENDER_HOLD`]. Returns
    /// whether a token was available.
    pub fn lend(&mut self, now: Time) -> bool {
        self.expire_loans(now);
        if self.bucket.take(1.0, now).is_err() {
            return false;
        }
        self.bucket.hold(1.0, now);
        self.loans.push_back(Loan { end: now + LENDER_HOLD, tokens: 1.0 });
        true
    }

    /// Updates the customer's rate and burst from a new document.
    pub fn set_limits(&mut self, rate: f64, burst: f64, now: Time) {
        self.expire_loans(now);
        (self.rate, self.burst) = (rate, burst);
        self.resize_bucket(now);
    }

    /// Changes this VM's fraction. A smaller fraction immediately discards the tokens above the new
    /// burst. A larger one adds no tokens, because the previous owner may already have used them.
    pub fn set_fraction(&mut self, fraction: f64, now: Time) {
        self.expire_loans(now);
        self.fraction = fraction;
        self.resize_bucket(now);
    }

    /// Fills the bucket. Only allowed for a share that no VM has used before.
    pub fn fill(&mut self, now: Time) {
        self.bucket.add(f64::INFINITY, now);
    }

    /// Releases loans whose hold has ended. Each is released as of its own end time, not as of `now`,
    /// so that the bucket refills from the moment the loan ended.
    fn expire_loans(&mut self, now: Time) {
        while let Some(loan) = self.loans.front().copied().filter(|loan| loan.end <= now) {
            self.bucket.release(loan.tokens, loan.end);
            self.loans.pop_front();
        }
    }

    fn resize_bucket(&mut self, now: Time) {
        self.bucket.resize(self.rate * self.fraction, self.burst * self.fraction, now);
    }
}

/// Position in the list of lenders at which the next search for a token starts: the owner that granted
/// one last, then the others in round-robin order.
///
/// Always starting with the same few owners would drain them while others keep unused tokens.
#[derive(Debug, Default)]
pub struct LenderCursor {
    next: AtomicUsize,
}

impl LenderCursor {
    /// Returns the indices of the owners that one request asks, in order, out of `count` owners. There
    /// are at most [`MAX_LENDERS`].
    pub fn candidates(&self, count: usize) -> impl Iterator<Item = usize> + use<> {
        let next = self.next.load(Ordering::Relaxed);
        (0..count.min(MAX_LENDERS)).map(move |offset| (next + offset) % count)
    }

    /// Records that the owner at `index` granted a token; the next search starts there.
    pub fn record_success(&self, index: usize) {
        self.next.store(index, Ordering::Relaxed);
    }

    /// Records that no owner that was asked had a token; the next search starts behind them.
    pub fn record_failure(&self) {
        self.next.fetch_add(MAX_LENDERS, Ordering::Relaxed);
    }
}
