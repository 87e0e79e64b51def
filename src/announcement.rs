//! Announcements that the local backend server sends to its daemon.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{self, MAX_SLOTS};

/// Maximum length of the id of a run, in bytes. It is sent with every request.
const MAX_ID_BYTES: usize = 128;

/// What the settings say of the local backend server. No announcement may differ from it, since not only
/// the backend server can send one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Identity {
    /// Its service; empty if it is not known in advance.
    pub service: String,
    /// The address on which it listens, if that is known in advance.
    pub address: Option<SocketAddr>,
}

/// One announcement of the local backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendServer {
    /// Identifies one run of the backend server, from its start to its end; empty when not announced.
    #[serde(default)]
    pub id: String,
    /// Time of its start, in milliseconds since the Unix epoch; 0 when not announced.
    #[serde(default)]
    pub started: u64,
    /// Increases with each announcement of one run, so that a delayed announcement can be recognized; 0
    /// when announcements are not counted.
    #[serde(default)]
    pub sequence: u64,
    /// Remaining time for which it is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// The service that it runs.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it drains: it completes the requests it has accepted and receives no new ones.
    #[serde(default)]
    pub draining: bool,
}

impl BackendServer {
    /// Identifies this run of the backend server in the fleet; `None` if it announces no id, since it
    /// cannot be told from its successor then.
    pub fn run(&self) -> Option<u64> {
        (!self.id.is_empty()).then(|| run(&self.id, self.started))
    }

    /// Checks that an announcement can be true: that its values are possible, and that it names the service
    /// and the address of `identity`.
    ///
    /// # Errors
    ///
    /// Returns why it names no backend server to use.
    pub fn check(&self, identity: &Identity) -> Result<(), Rejection> {
        if self.slots == 0 || self.service.is_empty() {
            return Err(Rejection::Incomplete);
        }
        if self.slots > MAX_SLOTS {
            return Err(Rejection::Slots { announced: self.slots });
        }
        member::check_name(&self.service).map_err(|problem| Rejection::ServiceName { problem })?;
        if self.id.len() > MAX_ID_BYTES || !self.id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Rejection::Id { length: self.id.len() });
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err(Rejection::Unreachable { announced: self.address });
        }
        if !identity.service.is_empty() && identity.service != self.service {
            let expected = identity.service.clone();
            return Err(Rejection::Service { announced: self.service.clone(), expected });
        }
        match identity.address {
            Some(expected) if expected != self.address => {
                Err(Rejection::Address { announced: self.address, expected })
            }
            _ => Ok(()),
        }
    }

    /// Whether `other` announces the same state; the sequence number and the remaining slow time are not
    /// compared.
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

/// Identifies the run of a backend server with this id and start in the fleet.
pub(crate) fn run(id: &str, started: u64) -> u64 {
    xxh3_64(format!("{id}/{started}").as_bytes())
}

/// Why an announcement names no backend server to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// It has no slots or no service.
    Incomplete,
    /// It has more slots than a backend server can.
    Slots {
        /// The announced number.
        announced: u32,
    },
    /// Its service cannot be the name of one.
    ServiceName {
        /// What is wrong with the name.
        problem: String,
    },
    /// Its id is too long, or cannot be sent in a header.
    Id {
        /// Its length in bytes.
        length: usize,
    },
    /// Nothing can listen on its address.
    Unreachable {
        /// The announced address.
        announced: SocketAddr,
    },
    /// It names another service than the settings.
    Service {
        /// The announced service.
        announced: String,
        /// The service of the settings.
        expected: String,
    },
    /// It names another address than the settings.
    Address {
        /// The announced address.
        announced: SocketAddr,
        /// The address of the settings.
        expected: SocketAddr,
    },
    /// It is of another run than the newest one.
    OtherRun,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete => f.write_str("slots must be 1 or more and service must not be empty"),
            Self::Slots { announced } => {
                write!(f, "{announced} slots are announced; announce at most {MAX_SLOTS}")
            }
            Self::ServiceName { problem } => write!(f, "the service cannot be named so: {problem}"),
            Self::Id { length } => write!(
                f,
                "an id of {length} bytes is announced; use at most {MAX_ID_BYTES} visible ASCII characters"
            ),
            Self::Unreachable { announced } => write!(
                f,
                "nothing can listen on {announced}; announce the address of the backend server"
            ),
            Self::Service { announced, expected } => write!(
                f,
                "the service {announced:?} is announced, and the settings name {expected:?}; correct \
                 whichever is wrong"
            ),
            Self::Address { announced, expected } => write!(
                f,
                "the address {announced} is announced, and the settings name {expected}; correct \
                 whichever is wrong"
            ),
            Self::OtherRun => f.write_str(
                "a later run has announced itself, or the start lies in the future; announce the time \
                 of the start, and go on if no other run is there",
            ),
        }
    }
}

/// Minimum number of announced slots from which some are kept free. With fewer, all are used.
const MIN_SLOTS_FOR_SPARE: u32 = 10;

/// One of this many slots is kept free, since backend servers slow down when nearly full.
const SLOTS_PER_SPARE: u32 = 20;

/// Returns how many of the announced slots are used.
pub(crate) fn usable_slots(slots: u32) -> usize {
    let spare = if slots < MIN_SLOTS_FOR_SPARE { 0 } else { slots.div_ceil(SLOTS_PER_SPARE) };
    (slots - spare) as usize
}
