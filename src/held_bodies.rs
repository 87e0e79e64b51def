//! Long bodies of answers that wait here until the daemon that asked for them fetches them.
//!
//! An answer between daemons is one message, which its receiver holds whole before it can decide whether
//! it has room. A long body therefore stays at the daemon beside the backend server, and the answer names
//! it. The other daemon reserves memory for it and fetches it in parts, between which other messages of
//! the connection get their turn. docs/DESIGN.md, "Answers".

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::body::UNRESERVED_BYTES;
use crate::message::Answer;
use crate::shared::Shared;
use crate::sync::lock;

/// Maximum size of one part, in bytes.
pub const PART_BYTES: usize = 256 << 10;

/// Maximum time for which a body is held. It is released earlier when it has been fetched.
const MAX_HOLD_TIME: Duration = Duration::from_secs(30);

/// Identifies a body at the daemon that holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BodyId(u64);

/// A body that is to be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBody {
    /// Its name at the daemon that holds it.
    pub id: BodyId,
    /// Its length in bytes.
    pub bytes: u64,
}

/// The bodies that one daemon holds for others.
#[derive(Debug, Default)]
pub struct HeldBodies {
    held: Mutex<BTreeMap<BodyId, Bytes>>,
}

impl HeldBodies {
    /// Returns the part of a body that begins at `offset`, or `None` if the body is no longer held. Releases
    /// the body with its last part.
    pub fn part(&self, id: BodyId, offset: usize) -> Option<Bytes> {
        let mut held = lock(&self.held);
        let body = held.get(&id)?;
        let (end, last) = (offset.saturating_add(PART_BYTES), body.len());
        let part = (offset < last).then(|| body.slice(offset..end.min(last)))?;
        if end >= last {
            held.remove(&id);
        }
        Some(part)
    }

    /// Whether no body is held.
    pub fn is_empty(&self) -> bool {
        lock(&self.held).is_empty()
    }

    /// Holds a body under a new name.
    fn insert(&self, body: Bytes) -> HeldBody {
        let held = HeldBody { id: BodyId(rand::random()), bytes: body.len() as u64 };
        lock(&self.held).insert(held.id, body);
        held
    }

    /// Releases a body that has not been fetched.
    fn expire(&self, id: BodyId) {
        if lock(&self.held).remove(&id).is_some() {
            tracing::info!(event = "answer-unfetched");
        }
    }
}

/// Keeps a long body of an answer here until it has been fetched, for `time_left` of its request at most.
pub fn hold_long(shared: &Arc<Shared>, answer: Answer, time_left: Duration) -> Answer {
    if answer.body.len() <= UNRESERVED_BYTES {
        return answer;
    }
    let mut answer = answer;
    let held = shared.held_bodies.insert(std::mem::take(&mut answer.body));
    answer.report.held_body = Some(held);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(time_left.min(MAX_HOLD_TIME)).await;
        shared.held_bodies.expire(held.id);
    });
    answer
}
