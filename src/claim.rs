//! At most once: a claim in the table for each non-idempotent request.
//!
//! A claim is inserted before any byte of the request reaches a backend server. Its random token tells
//! after a lost answer whose claim it is. These decisions do no I/O; [`crate::claims`] carries them.
//! docs/DESIGN.md, "At most once", gives the argument.

use serde::{Deserialize, Serialize};

use crate::envelope::Token;
use crate::key::Digest;
use crate::store::{Row, Transaction};

/// The prefix of claims in the table.
pub const PREFIX: &str = "claim/";

/// What the table keeps of one non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Tells this claim from every other, also from one with the same idempotency key.
    pub token: Token,
    /// The digest of method, path and body.
    pub digest: Digest,
    /// The request's name, for `gypsumtack why`.
    pub request: String,
    /// The VM that made the claim.
    pub vm: String,
    /// When it was made, in seconds since 1970, for operators and for removal of old claims.
    pub created: u64,
    /// What became of the request.
    pub state: State,
}

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may be running.
    Pending,
    /// It ran, and this is its answer.
    Done(StoredAnswer),
    /// It may have run, and its answer was lost.
    Unknown,
}

/// A stored answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The status.
    pub status: u16,
    /// Headers, in order.
    pub headers: Vec<Header>,
    /// Where the body is.
    pub body: StoredBody,
}

/// One header of a stored answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

/// Where the body of a stored answer is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBody {
    /// In the row, as base64.
    Row(String),
    /// In the object store, under this name.
    Object(String),
}

/// What a claim's row means for a request.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// There is no claim: insert one.
    Vacant,
    /// The claim is this request's own: run it.
    Own,
    /// Another request with the same key is running: wait for its answer.
    Pending,
    /// It ran: give this answer.
    Replay(StoredAnswer),
    /// Nobody knows whether it ran.
    Unknown,
    /// The key was used with another request.
    Mismatch,
}

/// The key of the row for one customer's idempotency key. Customers cannot meet in one row.
pub fn row_key(customer: Option<&str>, idempotency_key: &[u8]) -> String {
    // No customer can be called "*", because names are letters, digits, - and _.
    format!("{PREFIX}{}/{}", customer.unwrap_or("*"), Digest::of(idempotency_key))
}

/// Judges the row for a request with this token and digest.
pub fn judge(row: Option<&Claim>, token: Token, digest: Digest) -> Verdict {
    let Some(claim) = row else { return Verdict::Vacant };
    if claim.token == token {
        return Verdict::Own;
    }
    if claim.digest != digest {
        return Verdict::Mismatch;
    }
    match &claim.state {
        State::Pending => Verdict::Pending,
        State::Done(stored) => Verdict::Replay(stored.clone()),
        State::Unknown => Verdict::Unknown,
    }
}

/// Inserts a claim if there is none.
pub fn insert(transaction: Transaction, key: &str, claim: &Claim) -> Transaction {
    transaction.check(key, 0).put(key, claim)
}

/// Changes the state of the claim in `row`, if it still is the one with `token`.
pub fn settle(key: &str, row: &Row, token: Token, state: State) -> Option<Transaction> {
    let claim: Claim = row.decode()?;
    if claim.token != token {
        return None;
    }
    let claim = Claim { state, ..claim };
    Some(Transaction::default().check(key, row.version).put(key, &claim))
}

/// Deletes the claim in `row`, if it still is the one with `token`.
pub fn release(key: &str, row: &Row, token: Token) -> Option<Transaction> {
    let claim: Claim = row.decode()?;
    (claim.token == token).then(|| Transaction::default().check(key, row.version).delete(key))
}
