//! Detects a backend server that refuses every request although it announces itself as ready.
//!
//! The local daemon detects this first. It notifies the other daemons, so that they send the backend
//! server no requests and do not count its slots as capacity, and lets a probe request through at
//! intervals to detect the end. A request that is kept away from the backend server only has to be sent
//! to another instance. docs/DESIGN.md, "Routing", describes the load in which this happens.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::time::{Throttle, Time};

/// Number of consecutive refusals after which a backend server counts as refusing everything. One that
/// refuses half of its requests reaches it once in 65,000 requests.
const CONSECUTIVE_REFUSALS: u32 = 16;

/// Interval between probe requests to a backend server that refuses everything, and so the longest
/// delay until its recovery is detected.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Detects from the latest answers of the local backend server whether it refuses every request.
#[derive(Debug, Default)]
pub struct SheddingDetector {
    refusals: AtomicU32,
    probes: Throttle,
}

impl SheddingDetector {
    /// Whether the backend server refuses everything.
    pub fn is_shedding(&self) -> bool {
        self.refusals.load(Ordering::Relaxed) >= CONSECUTIVE_REFUSALS
    }

    /// Whether a request may be sent to the backend server now, as normal traffic or as a probe.
    pub fn allows_request(&self, now: Time) -> bool {
        !self.is_shedding() || self.probes.is_due(now, PROBE_INTERVAL)
    }

    /// Records whether the backend server refused a request. Returns whether it started or stopped
    /// refusing everything with it.
    pub fn record(&self, refused: bool, now: Time) -> bool {
        if refused {
            let refusals = self.refusals.fetch_add(1, Ordering::Relaxed);
            let changed = refusals + 1 == CONSECUTIVE_REFUSALS;
            if changed {
                self.probes.restart(now, PROBE_INTERVAL);
            }
            return changed;
        }
        // The count is usually zero already. The load avoids a write to shared memory for each request.
        self.refusals.load(Ordering::Relaxed) > 0
            && self.refusals.swap(0, Ordering::Relaxed) >= CONSECUTIVE_REFUSALS
    }
}
