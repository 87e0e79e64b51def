//! What the backend server beside a daemon says of itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What the local backend server announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Tells this start of it from every other; empty when it does not say.
    #[serde(default)]
    pub id: String,
    /// When it was started, in milliseconds since 1970; 0 when it does not say.
    #[serde(default)]
    pub started: u64,
    /// Grows with each announcement of one start, so that a late one can be told; 0 when it does not
    /// count them.
    #[serde(default)]
    pub sequence: u64,
    /// How much longer it is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// The service that it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it drains: it finishes what it has and gets nothing new.
    #[serde(default)]
    pub draining: bool,
}

impl BackendServer {
    /// Whether `other` says the same of itself, however often it has said so.
    pub(crate) fn has_same_state(&self, other: &Self) -> bool {
        (&self.id, self.started, &self.service, self.address, self.slots, self.draining)
            == (
                &other.id,
                other.started,
                &other.service,
                other.address,
                other.slots,
                other.draining,
            )
    }
}

/// Slots of a backend server from which some are left free: those that have few are used up.
const FEW_SLOTS: u32 = 10;

/// One slot in so many is left free, since backend servers slow down when they are nearly full.
const SPARE_SLOTS: u32 = 20;

/// The slots that are used of those that a backend server announces.
pub(crate) fn usable_slots(slots: u32) -> usize {
    let spare = if slots < FEW_SLOTS { 0 } else { slots.div_ceil(SPARE_SLOTS) };
    (slots - spare) as usize
}

/// The newest announcement of the local backend server, remembered also after it has gone.
#[derive(Debug, Clone, Default)]
pub(crate) struct LastAnnouncement {
    pub(crate) id: String,
    pub(crate) started: u64,
    pub(crate) sequence: u64,
    pub(crate) withdrawn: bool,
}

impl LastAnnouncement {
    /// Whether an announcement is older than what was heard: of an earlier start, late, or from one
    /// that has said that it leaves for good.
    pub(crate) fn supersedes(&self, backend: &BackendServer) -> bool {
        if (&self.id, self.started) != (&backend.id, backend.started) {
            return backend.started < self.started;
        }
        self.withdrawn || backend.sequence < self.sequence
    }
}
