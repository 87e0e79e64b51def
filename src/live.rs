//! Requests that run on the local backend server, found by their tokens.
//!
//! A backend server calls on with the token that came with its request. Customer, importance, deadline
//! and allowance are inherited from here, so that a backend server cannot forge them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use crate::envelope::{Envelope, ReachedService, Token};
use crate::retry::RetryBudget;
use crate::sync::lock;
use crate::time::Time;

/// How many locks the table is divided between, so that requests seldom meet on one.
const SHARDS: usize = 16;

/// One request while it runs on the local backend server.
#[derive(Debug)]
pub struct Live {
    /// What came with it.
    pub envelope: Envelope,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// What is left of its allowance.
    pub retry_budget: Arc<RetryBudget>,
    reach: Mutex<Vec<ReachedService>>,
}

impl Live {
    /// Makes the record of a request that is about to run.
    pub fn new(envelope: Envelope, deadline: Time) -> Self {
        let retry_budget = Arc::new(RetryBudget::new(envelope.retry_budget));
        Self { envelope, deadline, retry_budget, reach: Mutex::new(Vec::new()) }
    }

    /// Notes services that a call on has reached.
    pub fn reached(&self, reach: &[ReachedService]) {
        let mut all = lock(&self.reach);
        for one in reach {
            match all.iter_mut().find(|other| other.service == one.service) {
                Some(other) => other.work_ms += one.work_ms,
                None => all.push(one.clone()),
            }
        }
    }

    /// All services that the request has reached below this one.
    pub fn reach(&self) -> Vec<ReachedService> {
        lock(&self.reach).clone()
    }
}

/// All live requests of one daemon.
#[derive(Debug, Default)]
pub struct LiveTable {
    shards: [Mutex<BTreeMap<Token, Arc<Live>>>; SHARDS],
}

impl LiveTable {
    /// Enters a request under a new token, until the returned entry is dropped.
    pub fn enter(&self, live: Live) -> LiveEntry<'_> {
        let token = Token::random(&mut rand::rng());
        let live = Arc::new(live);
        lock(self.shard(token)).insert(token, Arc::clone(&live));
        LiveEntry { table: self, token, live }
    }

    /// The live request with this token.
    pub fn get(&self, token: Token) -> Option<Arc<Live>> {
        lock(self.shard(token)).get(&token).cloned()
    }

    /// How many requests are live.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Whether no request is live.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, token: Token) -> &Mutex<BTreeMap<Token, Arc<Live>>> {
        &self.shards[token.low_bits() % SHARDS]
    }
}

/// A live request's place in the table.
#[derive(Debug)]
pub struct LiveEntry<'a> {
    table: &'a LiveTable,
    token: Token,
    live: Arc<Live>,
}

impl LiveEntry<'_> {
    /// The token that the backend server gets.
    pub fn token(&self) -> Token {
        self.token
    }

    /// The request itself.
    pub fn live(&self) -> &Live {
        &self.live
    }
}

impl Drop for LiveEntry<'_> {
    fn drop(&mut self) {
        lock(self.table.shard(self.token)).remove(&self.token);
    }
}
