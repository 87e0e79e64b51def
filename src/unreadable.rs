//! Rows of the store that cannot be read, counted by table and logged once each.

use std::collections::BTreeMap;
use std::sync::Mutex;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use crate::sync::lock;

/// Maximum number of rows of which it is remembered that they were logged.
const MAX_LOGGED: usize = 1_000;

/// Labels of rows that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TableLabels {
    /// The name of the table.
    pub table: String,
}

/// The metric that counts rows that cannot be read.
pub type UnreadableCounter = Family<TableLabels, Counter>;

/// Counts and logs rows that cannot be read. Such a row is read again and again until its writer
/// corrects it, so each version of it is counted and logged once.
#[derive(Debug, Default)]
pub(crate) struct UnreadableRows {
    counter: UnreadableCounter,
    logged: Mutex<BTreeMap<String, u64>>,
}

impl UnreadableRows {
    pub(crate) fn new(counter: UnreadableCounter) -> Self {
        Self { counter, logged: Mutex::default() }
    }

    /// Records that the row `key` cannot be read in this version.
    pub(crate) fn record(&self, key: &str, version: u64, problem: &str) {
        let mut logged = lock(&self.logged);
        if logged.get(key) == Some(&version) {
            return;
        }
        if logged.len() >= MAX_LOGGED {
            logged.clear();
        }
        logged.insert(key.to_owned(), version);
        let table = key.split('/').next().unwrap_or_default().to_owned();
        self.counter.get_or_create(&TableLabels { table }).inc();
        let remedy = "it is skipped and the other rows are used; correct or delete it";
        tracing::warn!(event = "row-unreadable", row = key, version, problem, remedy);
    }
}
