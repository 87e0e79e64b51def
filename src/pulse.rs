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

/// Spans of one kind, as a mean and the longest.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    count: u32,
    total: Duration,
    most: Duration,
}

impl Spans {
    /// Adds one.
    pub fn note(&mut self, span: Duration) {
        self.count += 1;
        self.total += span;
        self.most = self.most.max(span);
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
    pub const fn most(&self) -> Duration {
        self.most
    }
}

/// What one daemon has gathered since it was last asked.
#[derive(Debug, Default)]
pub struct Pulse {
    lag: Mutex<Spans>,
    waits: Mutex<BTreeMap<Importance, Spans>>,
    holds: Mutex<Spans>,
    held_back: Mutex<Spans>,
}

impl Pulse {
    /// Notes by how much a timer of this daemon fired late. It is long while the processor is used up.
    pub fn record_timer_lag(&self, span: Duration) {
        lock(&self.lag).note(span);
    }

    /// Notes how long a request waited for a slot of the backend server.
    pub fn record_queue_wait(&self, importance: Importance, span: Duration) {
        lock(&self.waits).entry(importance).or_default().note(span);
    }

    /// Notes how long the backend server took for a request.
    pub fn note_hold(&self, span: Duration) {
        lock(&self.holds).note(span);
    }

    /// Notes how long a ready answer waited for those before it on its connection.
    pub fn note_held_back(&self, span: Duration) {
        lock(&self.held_back).note(span);
    }

    /// How long ready answers waited since the last call.
    pub fn take_held_back(&self) -> Spans {
        std::mem::take(&mut lock(&self.held_back))
    }

    /// By how much timers were late since the last call.
    pub fn take_lag(&self) -> Spans {
        std::mem::take(&mut lock(&self.lag))
    }

    /// How long requests waited since the last call, by importance.
    pub fn take_waits(&self) -> BTreeMap<Importance, Spans> {
        std::mem::take(&mut lock(&self.waits))
    }

    /// How long the backend server took since the last call.
    pub fn take_holds(&self) -> Spans {
        std::mem::take(&mut lock(&self.holds))
    }
}
