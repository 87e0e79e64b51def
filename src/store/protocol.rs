//! Store requests, their replies, and the protocol that carries them.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};

use super::{Commit, Rows, Transaction};
use crate::error::StoreError;

/// A request to the store.
#[derive(Debug, Clone)]
pub enum StoreRequest<'a> {
    /// Commits a transaction.
    Commit(&'a Transaction),
    /// Reads rows by their keys as a consistent snapshot.
    Read(&'a [String]),
    /// Reads the rows whose keys start with a prefix.
    Scan {
        /// The prefix of the keys, which includes the full name of the table.
        prefix: &'a str,
        /// If set, only rows with keys after this one are returned.
        from: Option<&'a str>,
        /// Only rows written by a later commit than this one are returned.
        after: u64,
    },
    /// Waits for changes of a table.
    Feed {
        /// The name of the table, followed by a slash.
        table: &'a str,
        /// Only changes by a later commit than this one are returned.
        after: u64,
        /// Maximum time for which the store waits for a change before it answers.
        wait: Duration,
    },
    /// Stores an object.
    PutObject {
        /// The name of the object.
        name: &'a str,
        /// The content of the object.
        body: &'a Bytes,
    },
    /// Fetches an object by its name.
    GetObject(&'a str),
}

impl StoreRequest<'_> {
    /// Returns the time for which the store may hold the answer to a read, or `None` for a write.
    pub(super) fn read_wait(&self) -> Option<Duration> {
        match self {
            Self::Read(_) | Self::Scan { .. } | Self::GetObject(_) => Some(Duration::ZERO),
            Self::Feed { wait, .. } => Some(*wait),
            Self::Commit(_) | Self::PutObject { .. } => None,
        }
    }
}

/// The store's answer to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// Answers [`StoreRequest::Commit`].
    Commit(Commit),
    /// Answers [`StoreRequest::Read`], [`StoreRequest::Scan`] and [`StoreRequest::Feed`].
    Rows(Rows),
    /// Answers [`StoreRequest::PutObject`].
    Stored,
    /// Answers [`StoreRequest::GetObject`]; `None` if the object does not exist.
    Object(Option<Bytes>),
}

/// A store request in its HTTP form.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

/// Translates store requests to HTTP requests, and HTTP responses to replies. The client owns
/// connections, timeouts and the circuit breaker.
#[derive(Clone, Copy)]
pub struct WireProtocol {
    /// Encodes a store request.
    pub encode: fn(&StoreRequest<'_>) -> Result<HttpRequest, StoreError>,
    /// Decodes the HTTP response to a store request.
    pub decode: fn(&StoreRequest<'_>, StatusCode, Bytes) -> Result<Reply, StoreError>,
    /// The header of every response that holds the number of the store's [era](crate::era).
    pub era: &'static str,
}

impl fmt::Debug for WireProtocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Wire")
    }
}
