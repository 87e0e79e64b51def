//! Requests that the local backend server is running, indexed by token.
//!
//! A backend server sends a downstream call with the token that it received with the request. The call
//! inherits customer, importance, deadline and retry budget from the entry stored here, so that a
//! backend server cannot forge them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::envelope::{Envelope, ReachedService, Report, Token};
use crate::retry::RetryBudget;
use crate::sync::lock;
use crate::time::Time;

/// Number of shards of the table, each with a lock of its own, to reduce lock contention.
const SHARDS: usize = 16;

/// A request that the local backend server is running.
#[derive(Debug)]
pub struct LiveRequest {
    /// The envelope that the request arrived with.
    pub envelope: Envelope,
    /// When the caller stops waiting, less the time reserved for a refusal to reach it.
    pub deadline: Time,
    /// Retries that its downstream calls may still use.
    pub retry_budget: Arc<RetryBudget>,
    downstream: Mutex<Downstream>,
}

/// What the downstream calls of a request have reached so far.
#[derive(Debug, Default, Clone)]
pub struct Downstream {
    /// The services, with the work at each.
    pub reached: Vec<ReachedService>,
    /// Number of levels of calls.
    pub levels: u8,
}

impl LiveRequest {
    /// Creates the entry for a request that is about to be sent to the backend server.
    pub fn new(envelope: Envelope, deadline: Time) -> Self {
        let retry_budget = Arc::new(RetryBudget::new(envelope.retry_budget));
        Self { envelope, deadline, retry_budget, downstream: Mutex::default() }
    }

    /// Adds what a downstream call reached, from its answer. Work at a service already listed is summed.
    pub fn record_call(&self, report: &Report) {
        let mut downstream = lock(&self.downstream);
        let levels = report.levels.unwrap_or_default().saturating_add(1);
        downstream.levels = downstream.levels.max(levels);
        let all = &mut downstream.reached;
        for added in &report.reached {
            match all.iter_mut().find(|other| other.service == added.service) {
                Some(other) => other.work_ms += added.work_ms,
                None => all.push(added.clone()),
            }
        }
    }

    /// Returns what the downstream calls of the request have reached so far.
    pub fn downstream(&self) -> Downstream {
        lock(&self.downstream).clone()
    }
}

/// All requests that the local backend server is running.
#[derive(Debug, Default)]
pub struct LiveTable {
    shards: [Mutex<BTreeMap<Token, Arc<LiveRequest>>>; SHARDS],
}

impl LiveTable {
    /// Inserts a request under a new random token. Dropping the returned entry removes it.
    pub fn insert(&self, live: LiveRequest) -> LiveEntry<'_> {
        let token = Token::random(&mut rand::rng());
        let live = Arc::new(live);
        lock(self.shard(token)).insert(token, Arc::clone(&live));
        LiveEntry { table: self, token, live }
    }

    /// Returns the running request with this token.
    pub fn get(&self, token: Token) -> Option<Arc<LiveRequest>> {
        lock(self.shard(token)).get(&token).cloned()
    }

    /// Returns when the last of the running requests' callers stops waiting, or `None` if no request is
    /// running.
    pub fn latest_deadline(&self) -> Option<Time> {
        let latest = |shard: &Mutex<BTreeMap<_, Arc<LiveRequest>>>| {
            lock(shard).values().map(|live| live.deadline).max()
        };
        self.shards.iter().filter_map(latest).max()
    }

    /// Returns the number of running requests.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether no request is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, token: Token) -> &Mutex<BTreeMap<Token, Arc<LiveRequest>>> {
        &self.shards[token.low_bits() % SHARDS]
    }
}

/// Keeps a request in the [`LiveTable`]; removes it when dropped.
#[derive(Debug)]
pub struct LiveEntry<'a> {
    table: &'a LiveTable,
    token: Token,
    live: Arc<LiveRequest>,
}

impl LiveEntry<'_> {
    /// Returns the token that is sent to the backend server.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Returns the request.
    pub fn live(&self) -> &LiveRequest {
        &self.live
    }
}

impl Drop for LiveEntry<'_> {
    fn drop(&mut self) {
        lock(self.table.shard(self.token)).remove(&self.token);
    }
}
