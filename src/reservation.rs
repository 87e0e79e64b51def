//! Slots of the local backend server that are held for requests which other daemons are about to send.
//!
//! A request that is lost on its way to another VM may have run there, and one that must not run twice
//! cannot be tried again then. The daemon that sends it therefore reserves a slot first, and sends the
//! request only once the slot is granted. If the connection fails before that, the request certainly did
//! not run. docs/DESIGN.md, "Links".

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backend::Admission;
use crate::message::Answer;
use crate::shared::Shared;
use crate::sync::lock;

/// How long a slot is held for a request that does not arrive. It allows for a daemon that is late itself.
const HOLD_TIME: Duration = Duration::from_millis(250);

/// Rate at which a body arrives at least, in bytes per second. A slot is held for as long as its body takes.
const MIN_BODY_RATE: usize = 4 << 20;

/// Identifies a reservation at the daemon that granted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SlotId(u64);

/// The answer to a request for a slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum SlotGrant {
    /// A slot is held for a short time.
    Held(SlotId),
    /// The request was refused.
    Refused(Box<Answer>),
}

/// The reservations that one daemon has granted.
#[derive(Debug, Default)]
pub struct Reservations {
    held: Mutex<BTreeMap<SlotId, Admission>>,
}

impl Reservations {
    /// Appends a part of the body for which a slot is held. Returns whether it is held, and has memory for the
    /// part.
    pub fn append(&self, slot: SlotId, part: &[u8]) -> bool {
        lock(&self.held).get_mut(&slot).is_some_and(|admission| admission.append(part))
    }

    /// Takes the slot of a reservation. Returns `None` if it has expired.
    pub fn take(&self, slot: SlotId) -> Option<Admission> {
        lock(&self.held).remove(&slot)
    }
}

/// Returns how long a slot is held for a request with a body of `body_bytes` and this time left.
pub fn hold_time(body_bytes: usize, time_left: Duration) -> Duration {
    let transfer = Duration::from_secs_f64(body_bytes as f64 / MIN_BODY_RATE as f64);
    HOLD_TIME + transfer.min(time_left)
}

/// Holds an admitted request's slot until it is taken or `span` is over.
pub fn hold(shared: &Arc<Shared>, admission: Admission, span: Duration) -> SlotId {
    let slot = SlotId(rand::random());
    lock(&shared.reservations.held).insert(slot, admission);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(span).await;
        if let Some(admission) = shared.reservations.take(slot) {
            tracing::info!(event = "slot-expired", vm = shared.board.settings.vm);
            admission.cancel();
        }
    });
    slot
}
