//! The most recent refusals and waits of one daemon, for `gypsumtack why`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::envelope::RequestId;
use crate::reason::{Outcome, Reason};
use crate::sync::lock;

/// Maximum number of entries that a daemon keeps.
const MAX_ENTRIES: usize = 4_096;

/// One decision about one request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// The request id, as in the `x-request-id` header.
    pub request: String,
    /// The VM that decided.
    pub vm: String,
    /// The role of the daemon that decided: entry, router or guard.
    pub role: String,
    /// The customer, if known.
    pub customer: Option<String>,
    /// Whether the request ran, as far as is known.
    pub outcome: Outcome,
    /// The reason's code.
    pub code: String,
    /// The reason as text, with its figures and the remedy.
    pub text: String,
}

impl Entry {
    /// Creates an entry without a reason, which [`Journal::record`] adds.
    pub fn new(request: &RequestId, vm: &str, role: &str, outcome: Outcome) -> Self {
        Self {
            request: request.to_string(),
            vm: vm.to_owned(),
            role: role.to_owned(),
            customer: None,
            outcome,
            code: String::new(),
            text: String::new(),
        }
    }

    /// Adds the customer.
    #[must_use]
    pub fn customer(self, name: Option<&str>) -> Self {
        Self { customer: name.map(str::to_owned), ..self }
    }
}

/// A ring buffer of the newest entries.
///
/// Only refusals and waits are kept, so a request that is served takes no lock here.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Mutex<VecDeque<Entry>>,
}

impl Journal {
    /// Stores one decision and evicts the oldest when the ring buffer is full.
    pub fn record(&self, mut entry: Entry, reason: &Reason) {
        entry.code = reason.code().to_owned();
        entry.text = reason.to_string();
        let mut entries = lock(&self.entries);
        if entries.len() == MAX_ENTRIES {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Returns all entries about one request, oldest first.
    pub fn find(&self, request: &RequestId) -> Vec<Entry> {
        let wanted = request.to_string();
        let entries = lock(&self.entries);
        entries.iter().filter(|entry| entry.request == wanted).cloned().collect()
    }
}
