//! A backend server that refuses everything that it is sent, though it announces itself as ready.
//!
//! The daemon beside it sees this first. It tells the others, so that no work is sent to it and its slots
//! do not count as room, and lets a request through now and then to see whether that has ended. Requests
//! that are kept away cost their callers nothing but the way to another instance. docs/DESIGN.md,
//! "Routing", names the load.

use std::time::Duration;

use crate::time::Time;

/// Refusals in a row that tell a backend server that refuses everything from one that refuses a part. One
/// that refuses half gets there once in 65,000 requests.
const ROW: u32 = 16;

/// How often one request is let through meanwhile. It bounds how late the end is noticed.
pub const TRY_PERIOD: Duration = Duration::from_millis(200);

/// What the last answers of the local backend server tell.
#[derive(Debug, Default)]
pub struct Shedding {
    row: u32,
    next_try: Time,
}

impl Shedding {
    /// Whether it refuses everything.
    pub fn is_shedding(&self) -> bool {
        self.row >= ROW
    }

    /// Whether a request may go to the backend server now.
    pub fn admit(&mut self, now: Time) -> bool {
        if !self.is_shedding() {
            return true;
        }
        if now < self.next_try {
            return false;
        }
        self.next_try = now + TRY_PERIOD;
        true
    }

    /// Notes how the backend server took a request. Returns whether that changed what is known of it.
    pub fn note(&mut self, refused: bool, now: Time) -> bool {
        let before = self.is_shedding();
        self.row = if refused { self.row.saturating_add(1) } else { 0 };
        let changed = before != self.is_shedding();
        if changed {
            self.next_try = now + TRY_PERIOD;
        }
        changed
    }
}
