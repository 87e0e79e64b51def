//! Timings of one daemon and its backend server, collected for the one second between two log lines.
//!
//! The time of a late answer was spent in the queue, in the backend server, or in daemons that are
//! themselves late. These timings show which. docs/OPERATIONS.md, "Answered late", leads from a late
//! request to its cause.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use crate::document::Importance;
use crate::sync::lock;

/// Number, mean and maximum of a series of durations.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct DurationStats {
    count: u32,
    total: Duration,
    max: Duration,
}

impl DurationStats {
    /// Adds a duration to the series.
    pub fn record(&mut self, duration: Duration) {
        self.count += 1;
        self.total += duration;
        self.max = self.max.max(duration);
    }

    /// Returns the number of durations.
    pub const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the mean, or zero if there were none.
    pub fn mean(&self) -> Duration {
        self.total.checked_div(self.count).unwrap_or_default()
    }

    /// Returns the longest duration, or zero if there were none.
    pub const fn max(&self) -> Duration {
        self.max
    }
}

/// Timings of one daemon since they were last taken.
#[derive(Debug, Default)]
pub struct Timings {
    timer_lag: Mutex<DurationStats>,
    queue_waits: Mutex<BTreeMap<Importance, DurationStats>>,
    service_times: Mutex<DurationStats>,
    held_back: Mutex<DurationStats>,
}

impl Timings {
    /// Records by how much a timer of this daemon fired late. The lag grows when the processor is
    /// saturated.
    pub fn record_timer_lag(&self, duration: Duration) {
        lock(&self.timer_lag).record(duration);
    }

    /// Records how long a request waited for a slot of the backend server.
    pub fn record_queue_wait(&self, importance: Importance, duration: Duration) {
        lock(&self.queue_waits).entry(importance).or_default().record(duration);
    }

    /// Records how long the backend server took for a request.
    pub fn record_service_time(&self, duration: Duration) {
        lock(&self.service_times).record(duration);
    }

    /// Records how long a complete answer waited for earlier answers on its connection (head-of-line
    /// blocking).
    pub fn record_held_back(&self, duration: Duration) {
        lock(&self.held_back).record(duration);
    }

    /// Returns and resets how long complete answers waited for earlier ones.
    pub fn take_held_back(&self) -> DurationStats {
        std::mem::take(&mut lock(&self.held_back))
    }

    /// Returns and resets by how much timers fired late.
    pub fn take_timer_lag(&self) -> DurationStats {
        std::mem::take(&mut lock(&self.timer_lag))
    }

    /// Returns and resets how long requests waited for a slot, by importance.
    pub fn take_queue_waits(&self) -> BTreeMap<Importance, DurationStats> {
        std::mem::take(&mut lock(&self.queue_waits))
    }

    /// Returns and resets how long the backend server took for requests.
    pub fn take_service_times(&self) -> DurationStats {
        std::mem::take(&mut lock(&self.service_times))
    }
}
