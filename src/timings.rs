//! How a daemon and its backend server are doing, gathered over a second.
//!
//! A request that was answered late has spent its time in a queue, in the backend server, or in daemons that
//! are late themselves. These figures tell which of them it was. docs/OPERATIONS.md, "Answered late",
//! leads from a late request to its cause.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::document::Importance;
use crate::sync::lock;

/// DurationStats of one kind, as a mean and the longest.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DurationStats {
    count: u32,
    total: Duration,
    max: Duration,
}

impl DurationStats {
    /// Adds one.
    pub fn record(&mut self, span: Duration) {
        self.count += 1;
        self.total += span;
        self.max = self.max.max(span);
    }

    /// How many there were.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Their mean; zero when there were none.
    pub fn mean(&self) -> Duration {
        self.total.checked_div(self.count).unwrap_or_default()
    }

    /// The longest.
    pub const fn max(&self) -> Duration {
        self.max
    }
}

/// What one daemon has gathered since it was last asked.
#[derive(Debug, Default)]
pub struct Timings {
    lag: Mutex<DurationStats>,
    waits: Mutex<BTreeMap<Importance, DurationStats>>,
    holds: Mutex<DurationStats>,
    held_back: Mutex<DurationStats>,
}

impl Timings {
    /// Notes by how much a timer of this daemon fired late. It is long while the processor is used up.
    pub fn record_timer_lag(&self, span: Duration) {
        lock(&self.lag).record(span);
    }

    /// Notes how long a request waited for a slot of the backend server.
    pub fn record_queue_wait(&self, importance: Importance, span: Duration) {
        lock(&self.waits).entry(importance).or_default().record(span);
    }

    /// Notes how long the backend server took for a request.
    pub fn record_service_time(&self, span: Duration) {
        lock(&self.holds).record(span);
    }

    /// Notes how long a ready answer waited for those before it on its connection.
    pub fn record_held_back(&self, span: Duration) {
        lock(&self.held_back).record(span);
    }

    /// How long ready answers waited since the last call.
    pub fn take_held_back(&self) -> DurationStats {
        std::mem::take(&mut lock(&self.held_back))
    }

    /// By how much timers were late since the last call.
    pub fn take_timer_lag(&self) -> DurationStats {
        std::mem::take(&mut lock(&self.lag))
    }

    /// How long requests waited since the last call, by importance.
    pub fn take_queue_waits(&self) -> BTreeMap<Importance, DurationStats> {
        std::mem::take(&mut lock(&self.waits))
    }

    /// How long the backend server took since the last call.
    pub fn take_service_times(&self) -> DurationStats {
        std::mem::take(&mut lock(&self.holds))
    }
}
