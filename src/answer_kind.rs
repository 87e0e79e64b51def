//! What an answer of the backend server is worth, as its head tells.

use http::{HeaderMap, HeaderName, StatusCode};

use crate::dialect::Dialect;
use crate::envelope::Envelope;
use crate::reason;

/// What an answer is, as its head tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The backend server did not run the request.
    Refusal,
    /// It comes from another instance, which did not run the request.
    Misdirected,
    /// It comes from another process than a backend server.
    Unsealed,
    /// Its status promises that the request did not run, which the backend server does not say.
    FalsePromise,
    /// The backend server's answer, which is delivered with its body.
    Final,
}

impl AnswerKind {
    /// Classifies an answer to the request of `envelope`.
    pub fn of(
        dialect: &Dialect,
        status: StatusCode,
        headers: &HeaderMap,
        envelope: &Envelope,
    ) -> Self {
        let has = |name: &HeaderName| headers.contains_key(name);
        let sealed = dialect.seal.as_ref().map(has);
        if dialect.instance.is_some()
            && status == StatusCode::MISDIRECTED_REQUEST
            && sealed != Some(true)
        {
            return Self::Misdirected;
        }
        if dialect.not_run.as_ref().is_some_and(has) {
            return Self::Refusal;
        }
        if sealed == Some(false) {
            return Self::Unsealed;
        }
        match envelope.claimed && reason::promises_not_run(status) {
            true => Self::FalsePromise,
            false => Self::Final,
        }
    }
}
