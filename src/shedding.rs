//! A backend server that refuses everything that it is sent, though it announces itself as ready.
//!
//! The daemon beside it sees this first. It tells the others, so that no work is sent to it and its slots
//! do not count as room, and lets a request through now and then to see whether that has ended. Requests
//! that are kept away cost their callers nothing but the way to another instance. docs/DESIGN.md,
//! "Routing", names the load.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::time::{Pace, Time};

/// Refusals in a row that tell a backend server that refuses everything from one that refuses a part. One
/// that refuses half gets there once in 65,000 requests.
const ROW: u32 = 16;

/// How often one request is let through meanwhile. It bounds how late the end is noticed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// What the last answers of the local backend server tell.
#[derive(Debug, Default)]
pub struct SheddingDetector {
    row: AtomicU32,
    tries: Pace,
}

impl SheddingDetector {
    /// Whether it refuses everything.
    pub fn is_shedding(&self) -> bool {
        self.row.load(Ordering::Relaxed) >= ROW
    }

    /// Whether a request may go to the backend server now.
    pub fn allows_request(&self, now: Time) -> bool {
        !self.is_shedding() || self.tries.is_due(now, PROBE_INTERVAL)
    }

    /// Notes how the backend server took a request. Returns whether that changed what is known of it.
    pub fn record(&self, refused: bool, now: Time) -> bool {
        if refused {
            let row = self.row.fetch_add(1, Ordering::Relaxed);
            let changed = row + 1 == ROW;
            if changed {
                self.tries.rest(now, PROBE_INTERVAL);
            }
            return changed;
        }
        // Most of the time there is nothing to forget, and nothing is written.
        self.row.load(Ordering::Relaxed) > 0 && self.row.swap(0, Ordering::Relaxed) >= ROW
    }
}
