//! The store that keeps what must last: versioned rows, a feed of their changes, and objects.
//!
//! [`Transaction`] and [`Row`] are its vocabulary; decisions make transactions without I/O, and
//! [`Client`] carries them. How a call looks on the wire is a [`WireProtocol`], so that the same client serves
//! the project's own protocol and a platform's. Every exchange has a timeout, and a breaker leaves a
//! failing store alone. docs/DESIGN.md, "Store", states what is assumed of it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::breaker::CircuitBreaker;
use crate::error::StoreError;
use crate::message;
use crate::settings;
use crate::sync::lock;
use crate::time::{Clock, Time};

/// How long an idle connection to the store is kept; longer than the pauses between calls at rest.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// One row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key: the table's name, a slash, and the name within it.
    pub key: String,
    /// The number of the commit that last wrote it, from 1.
    pub version: u64,
    /// What it holds, JSON unless another program wrote it.
    #[serde(with = "text")]
    pub value: Bytes,
}

impl Row {
    /// Decodes the value; `None` when it is not what was expected.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.value).ok()
    }
}

/// A condition of a transaction: the row has this version. 0 means that there is no such row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that it must have.
    pub version: u64,
}

/// A write of a transaction. Without a value the row is deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// JSON text.
    pub value: Option<String>,
}

/// Writes that take effect together if all checks hold, and not at all otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds a condition.
    #[must_use]
    pub fn check(mut self, key: &str, version: u64) -> Self {
        self.checks.push(Check { key: key.to_owned(), version });
        self
    }

    /// Adds a write of `value` as JSON.
    #[must_use]
    pub fn put<T: Serialize>(mut self, key: &str, value: &T) -> Self {
        let value = serde_json::to_string(value).ok();
        self.writes.push(Write { key: key.to_owned(), value });
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write { key: key.to_owned(), value: None });
        self
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// It took effect as this commit.
    Done(u64),
    /// Nothing took effect; these rows, with their present versions, failed their checks.
    Conflict(Vec<Check>),
}

/// Rows as of one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, in the order of their keys, or of their changes in a feed.
    pub rows: Vec<Row>,
    /// Keys of rows that were deleted; told by a feed only.
    #[serde(default)]
    pub deleted: Vec<String>,
    /// The newest commit that these rows show; a feed goes on from here.
    pub version: u64,
    /// Whether the answer was cut; the rest starts after the last key.
    #[serde(default)]
    pub more: bool,
}

/// One exchange with the store.
#[derive(Debug, Clone)]
pub enum StoreRequest<'a> {
    /// Commit a transaction.
    Commit(&'a Transaction),
    /// Read rows by their keys, at one moment.
    Read(&'a [String]),
    /// Read the rows whose keys start with a prefix.
    Scan {
        /// The prefix, which contains the table's whole name.
        prefix: &'a str,
        /// Only keys after this one.
        from: Option<&'a str>,
        /// Only rows that a later commit than this one wrote.
        after: u64,
    },
    /// Wait for changes of a table.
    Feed {
        /// The table's name and a slash.
        table: &'a str,
        /// Only changes by a later commit than this one.
        after: u64,
        /// How long the store may wait for a change.
        wait: Duration,
    },
    /// Store an object.
    PutObject {
        /// Its name.
        name: &'a str,
        /// Its bytes.
        body: &'a Bytes,
    },
    /// Fetch an object by its name.
    GetObject(&'a str),
}

/// The store's answer to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// To [`StoreRequest::Commit`].
    Commit(Commit),
    /// To [`StoreRequest::Read`], [`StoreRequest::Scan`] and [`StoreRequest::Feed`].
    Rows(Rows),
    /// To [`StoreRequest::PutObject`].
    Stored,
    /// To [`StoreRequest::GetObject`]; `None` when there is none.
    Object(Option<Bytes>),
}

/// A call as it goes over HTTP.
#[derive(Debug, Clone)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Bytes,
}

/// How calls look over HTTP. The client owns connections, timeouts and the breaker; this only
/// translates.
#[derive(Clone, Copy)]
pub struct WireProtocol {
    /// Writes a call.
    pub encode: fn(&StoreRequest<'_>) -> Result<HttpRequest, StoreError>,
    /// Reads the answer to a call.
    pub decode: fn(&StoreRequest<'_>, StatusCode, Bytes) -> Result<Reply, StoreError>,
}

impl fmt::Debug for WireProtocol {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Wire")
    }
}

/// The client of one daemon or of the command line.
#[derive(Debug)]
pub struct Client {
    address: ArcSwap<SocketAddr>,
    timeout: Duration,
    wire: WireProtocol,
    clock: Clock,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    breaker: Mutex<CircuitBreaker>,
    answered: AtomicU64,
}

impl Client {
    /// Makes a client; nothing is connected before the first exchange.
    pub fn new(settings: &settings::Platform, wire: WireProtocol, clock: Clock) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let http = HttpClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIME)
            .build(connector);
        Self {
            address: ArcSwap::from_pointee(settings.address),
            timeout,
            wire,
            clock,
            http,
            breaker: Mutex::new(CircuitBreaker::default()),
            answered: AtomicU64::new(0),
        }
    }

    /// Sends what comes to another address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.store(Arc::new(address));
    }

    /// When the store last answered anything.
    pub fn answered(&self) -> Time {
        Time::from_micros(self.answered.load(Ordering::Relaxed))
    }

    /// Whether the store has not answered anything for `span`.
    pub fn is_silent(&self, now: Time, span: Duration) -> bool {
        now.since(self.answered()) > span
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// After [`StoreError::AnswerLost`] the transaction may have taken effect: read back.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        match self.exchange(StoreRequest::Commit(transaction)).await? {
            Reply::Commit(commit) => Ok(commit),
            other => Err(unexpected(&other)),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let rows = self.rows(&[key.to_owned()]).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads several rows at one moment; those that do not exist are left out.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn rows(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        Ok(rows_of(self.exchange(StoreRequest::Read(keys)).await?)?.rows)
    }

    /// Reads all rows whose keys start with `prefix`, in the order of their keys. The version is that
    /// of the first page, so that a feed from there misses nothing.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn scan(&self, prefix: &str) -> Result<Rows, StoreError> {
        self.changed(prefix, 0).await
    }

    /// Reads the rows whose keys start with `prefix` and that a commit after `after` wrote. Deleted rows
    /// are not told.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn changed(&self, prefix: &str, after: u64) -> Result<Rows, StoreError> {
        let mut all =
            rows_of(self.exchange(StoreRequest::Scan { prefix, from: None, after }).await?)?;
        while all.more {
            let Some(last) = all.rows.last().map(|row| row.key.clone()) else { break };
            let call = StoreRequest::Scan { prefix, from: Some(&last), after };
            let page = rows_of(self.exchange(call).await?)?;
            all.more = page.more;
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Waits up to `wait` for changes of `table` after the commit `after`. No change gives no rows.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryGone`] when the changes since `after` are no longer known, and an
    /// error when the store does not answer in time.
    pub async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Rows, StoreError> {
        let call = StoreRequest::Feed { table, after, wait };
        rows_of(self.exchange_within(call, self.timeout + wait).await?)
    }

    /// Stores an object. Objects are never changed, so a repeat does no harm.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn put_object(&self, name: &str, body: &Bytes) -> Result<(), StoreError> {
        self.exchange(StoreRequest::PutObject { name, body }).await.map(drop)
    }

    /// Fetches an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        match self.exchange(StoreRequest::GetObject(name)).await? {
            Reply::Object(body) => Ok(body),
            other => Err(unexpected(&other)),
        }
    }

    async fn exchange(&self, call: StoreRequest<'_>) -> Result<Reply, StoreError> {
        self.exchange_within(call, self.timeout).await
    }

    async fn exchange_within(
        &self,
        call: StoreRequest<'_>,
        time: Duration,
    ) -> Result<Reply, StoreError> {
        if !self.with_breaker(CircuitBreaker::admit) {
            return Err(StoreError::BreakerOpen);
        }
        let result = tokio::time::timeout(time, self.send(&call)).await;
        let result = result.unwrap_or_else(|_| {
            Err(StoreError::AnswerLost(format!("no answer in {} ms", time.as_millis())))
        });
        self.with_breaker(|breaker, now| {
            if result.as_ref().is_err_and(StoreError::is_outage) {
                return breaker.record_failure(now, &mut rand::rng());
            }
            self.answered.store(now.as_micros(), Ordering::Relaxed);
            breaker.record_success();
        });
        result
    }

    async fn send(&self, call: &StoreRequest<'_>) -> Result<Reply, StoreError> {
        let HttpRequest { method, target, body } = (self.wire.encode)(call)?;
        let uri = Uri::builder().scheme("http").authority(self.address.load().to_string());
        let uri = uri.path_and_query(target).build();
        let uri = uri.map_err(|error| StoreError::Refused(error.to_string()))?;
        let request = http::Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let response = self.http.request(request).await.map_err(|error| {
            let causes = message::error_chain(&error);
            match message::is_unsent(&error) {
                true => StoreError::Unavailable(causes),
                false => StoreError::AnswerLost(causes),
            }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| StoreError::AnswerLost(error.to_string()))?;
        (self.wire.decode)(call, status, body.to_bytes())
    }

    fn with_breaker<T>(&self, act: impl FnOnce(&mut CircuitBreaker, Time) -> T) -> T {
        let now = self.clock.now();
        act(&mut lock(&self.breaker), now)
    }
}

fn rows_of(reply: Reply) -> Result<Rows, StoreError> {
    match reply {
        Reply::Rows(rows) => Ok(rows),
        other => Err(unexpected(&other)),
    }
}

/// A wire that decodes an answer of the wrong kind is a bug, which must not look like an empty store.
fn unexpected(reply: &Reply) -> StoreError {
    StoreError::AnswerLost(format!("the answer is of another kind: {reply:?}"))
}

/// Values as text where a row itself is written as JSON.
mod text {
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(value: &Bytes, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&String::from_utf8_lossy(value))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        String::deserialize(from).map(Bytes::from)
    }
}
