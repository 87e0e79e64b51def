//! At-most-once execution: a claim in the store for each non-idempotent request.
//!
//! The claim is inserted before any byte of the request is sent to a backend server. Its random token
//! identifies its owner when the store's answer to the insert is lost. This module does no I/O;
//! [`crate::claims`] reads and writes the claims. docs/DESIGN.md, "At most once", gives the argument.

use serde::{Deserialize, Serialize};

use crate::envelope::Token;
use crate::key::Digest;
use crate::store::{Row, Transaction};

/// Prefix of the keys of claims in the store.
pub const PREFIX: &str = "claim/";

/// The stored record of one non-idempotent request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Random token that identifies this claim, also among claims with the same idempotency key.
    pub token: Token,
    /// Digest of the request's method, path and body.
    pub digest: Digest,
    /// The request id, for `gypsumtack why`.
    pub request: String,
    /// The VM that made the claim.
    pub vm: String,
    /// Time of creation in seconds since the Unix epoch, for operators and for the removal of old
    /// claims.
    pub created: u64,
    /// State of the request.
    pub state: State,
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The request may be running.
    Pending,
    /// The request ran and returned this answer.
    Done(StoredAnswer),
    /// The request may have run; its answer was lost.
    Unknown,
}

/// The answer of a request that ran, stored so that repeats receive it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers, in their original order.
    pub headers: Vec<Header>,
    /// Location of the body.
    pub body: StoredBody,
}

/// One header of a stored answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The header's name.
    pub name: String,
    /// The header's value.
    pub value: String,
}

/// Location of the body of a stored answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredBody {
    /// In the row itself, encoded as base64.
    Row(String),
    /// In the object with this name.
    Object(String),
}

/// How a request must proceed, given the row of its idempotency key.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// There is no claim; the request has to insert one.
    Vacant,
    /// The claim belongs to this request, which may run.
    Own,
    /// Another request with the same key may be running; its answer has to be awaited.
    Pending,
    /// A request with the same key ran; this answer is returned.
    Replay(StoredAnswer),
    /// It is unknown whether a request with the same key ran.
    Unknown,
    /// The key was used for a request with another method, path or body.
    Mismatch,
}

/// Returns the key of the row for an idempotency key. It contains the customer's name, so that
/// idempotency keys of different customers never collide.
pub fn row_key(customer: Option<&str>, idempotency_key: &[u8]) -> String {
    // No customer can be named "*": names consist of letters, digits, "-" and "_".
    format!("{PREFIX}{}/{}", customer.unwrap_or("*"), Digest::of(idempotency_key))
}

/// Evaluates the row's claim for a request with this token and digest.
pub fn evaluate(row: Option<&Claim>, token: Token, digest: Digest) -> Verdict {
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

/// Adds the insertion of a claim to a transaction. The commit conflicts if the row already exists.
pub fn insert(transaction: Transaction, key: &str, claim: &Claim) -> Transaction {
    transaction.check(key, 0).put(key, claim)
}

/// Returns the transaction that sets the state of the claim in `row`, or `None` if the row holds no
/// claim with this token.
pub fn settle(key: &str, row: &Row, token: Token, state: State) -> Option<Transaction> {
    let claim: Claim = row.decode()?;
    if claim.token != token {
        return None;
    }
    let claim = Claim { state, ..claim };
    Some(Transaction::default().check(key, row.version).put(key, &claim))
}

/// Returns the transaction that deletes the claim in `row`, or `None` if the row holds no claim with
/// this token.
pub fn release(key: &str, row: &Row, token: Token) -> Option<Transaction> {
    let claim: Claim = row.decode()?;
    (claim.token == token).then(|| Transaction::default().check(key, row.version).delete(key))
}
