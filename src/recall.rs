//! Recent claims of this daemon, kept in memory so that it can write them again after the store has lost
//! its last seconds.
//!
//! Without them, a repeat of a request whose claim is lost would run a second time. The state does no
//! I/O; [`crate::claims`] writes what it returns. docs/DESIGN.md, "Eras of the store".

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::claim::{Claim, State};
use crate::envelope::Token;
use crate::store::{Row, Transaction};
use crate::time::Time;

/// How long a claim is kept, which bounds the age of the copy from which a store may come back.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// Maximum number of claims kept; the oldest are dropped first.
const MAX_CLAIMS: usize = 20_000;

/// Claims by the key of their row.
#[derive(Debug, Default)]
pub struct RecentClaims {
    claims: BTreeMap<String, Claim>,
    by_age: VecDeque<(Time, String)>,
}

impl RecentClaims {
    /// Adds a claim that was made.
    pub fn insert(&mut self, key: &str, claim: Claim, now: Time) {
        let is_old = |(made, _): &(Time, String)| now.since(*made) > KEEP_TIME;
        while self.by_age.front().is_some_and(is_old) || self.by_age.len() >= MAX_CLAIMS {
            if let Some((_, key)) = self.by_age.pop_front() {
                self.claims.remove(&key);
            }
        }
        if self.claims.insert(key.to_owned(), claim).is_none() {
            self.by_age.push_back((now, key.to_owned()));
        }
    }

    /// Records the outcome of a claim. Without a state, its request has not run, and the claim is
    /// dropped.
    pub fn settle(&mut self, key: &str, token: Token, state: Option<&State>) {
        let Some(claim) = self.claims.get_mut(key).filter(|claim| claim.token == token) else {
            return;
        };
        match state {
            Some(state) => claim.state = state.clone(),
            None => drop(self.claims.remove(key)),
        }
    }

    /// Returns a copy of all claims, by the key of their row.
    pub fn all(&self) -> Vec<(String, Claim)> {
        self.claims.iter().map(|(key, claim)| (key.clone(), claim.clone())).collect()
    }
}

/// What has to be done so that the store holds a claim again.
#[derive(Debug, PartialEq)]
pub enum Restoration {
    /// Nothing: the store holds it.
    Held,
    /// This transaction.
    Write(Transaction),
    /// Nothing can be done: a request with the same key has run under another claim.
    Lost,
}

/// Returns how to restore `claim`, given the row of its key. A pending claim of another request gives
/// way: its owner reads the row again before it sends the request, since a new era has begun.
pub fn restore(key: &str, row: Option<&Row>, claim: &Claim) -> Restoration {
    let Some(row) = row else {
        return Restoration::Write(Transaction::default().check(key, 0).put(key, claim));
    };
    let replace = || Transaction::default().check(key, row.version).put(key, claim);
    match row.decode::<Claim>() {
        Some(held) if held == *claim => Restoration::Held,
        Some(held) if held.token == claim.token && claim.state == State::Pending => {
            Restoration::Held
        }
        Some(held) if held.token == claim.token || held.state == State::Pending => {
            Restoration::Write(replace())
        }
        _ => Restoration::Lost,
    }
}
