//! Graceful shutdown: what the daemon still takes, and until when.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Board;
use crate::time::Time;

/// Part of the shutdown time that is reserved for final answers to requests that did not end in time.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(300);

impl Board {
    /// Starts a graceful shutdown: other daemons stop routing new requests to this VM.
    pub fn leave(&self) {
        let limits = &self.settings.limits;
        let span = Duration::from_millis(limits.leave_ms.saturating_add(limits.stop_ms));
        let deadline = self.clock.now() + span.saturating_sub(FINAL_ANSWER_TIME);
        self.stop_deadline.store(deadline.as_micros(), Ordering::Release);
        self.leaving.store(true, Ordering::Release);
        self.schedule_closing();
        self.publish_self();
    }

    /// Whether a graceful shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether the time to leave is over, so that callers' requests are refused. Calls of requests that the
    /// local backend server is running are not.
    pub fn has_left(&self) -> bool {
        self.is_leaving() && self.clock.now() >= self.closing_time()
    }

    /// Time at which requests are given up because the daemon is shutting down; [`Time::MAX`] while it is
    /// not.
    pub fn stop_deadline(&self) -> Time {
        Time::from_micros(self.stop_deadline.load(Ordering::Acquire))
    }

    /// Whether the local backend server accepts new requests.
    ///
    /// When it drains or withdraws, or the daemon shuts down, it still accepts them for `leave_ms`,
    /// until the other daemons have received the change.
    pub fn is_ready(&self) -> bool {
        self.backend.load().is_some()
            && self.withdrawals.are_recalled()
            && self.clock.now() < self.closing_time()
    }

    pub(crate) fn schedule_closing(&self) {
        let span = Duration::from_millis(self.settings.limits.leave_ms);
        let closing = (self.clock.now() + span).as_micros();
        self.closing.fetch_min(closing, Ordering::AcqRel);
    }

    /// Lets the local backend server accept no new requests from now on.
    pub(crate) fn close_now(&self) {
        self.closing.fetch_min(self.clock.now().as_micros(), Ordering::AcqRel);
    }

    fn closing_time(&self) -> Time {
        Time::from_micros(self.closing.load(Ordering::Acquire))
    }

    /// Whether no request is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.load(Ordering::Acquire) == 0 && self.live.is_empty()
    }
}
