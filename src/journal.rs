//! The last refusals and waits of one daemon, for `gypsumtack why`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::envelope::RequestId;
use crate::reason::{Outcome, Reason};
use crate::sync::lock;

/// How many entries a daemon keeps.
const CAPACITY: usize = 4_096;

/// One decision about one request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Entry {
    /// The request's name, as in the `x-request-id` header.
    pub request: String,
    /// The VM that decided.
    pub vm: String,
    /// The role of the daemon in which it was decided: entry, router or guard.
    pub role: String,
    /// The customer, where one is known.
    pub customer: Option<String>,
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// The reason's code.
    pub code: String,
    /// The reason in words, with its numbers and the remedy.
    pub text: String,
}

impl Entry {
    /// Starts an entry; [`Journal::record`] adds the reason.
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

/// A ring of the newest entries.
///
/// Only refusals and waits are kept, so a request that is served takes no lock here.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Mutex<VecDeque<Entry>>,
}

impl Journal {
    /// Keeps one decision and drops the oldest when the ring is full.
    pub fn record(&self, mut entry: Entry, reason: &Reason) {
        entry.code = reason.code().to_owned();
        entry.text = reason.to_string();
        let mut entries = lock(&self.entries);
        if entries.len() == CAPACITY {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// Everything that is known about one request, the oldest first.
    pub fn find(&self, request: &RequestId) -> Vec<Entry> {
        let wanted = request.to_string();
        let entries = lock(&self.entries);
        entries.iter().filter(|entry| entry.request == wanted).cloned().collect()
    }
}
