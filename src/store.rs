//! Client of the durable store: versioned rows, a feed of their changes, and immutable objects.
//!
//! Code that decides what to write builds a [`Transaction`] without I/O, and [`Client`] sends it. A
//! [`WireProtocol`] translates store requests to HTTP, so that the same client works with the project's
//! own protocol and with a platform's. Every store request has a timeout, and a circuit breaker stops
//! sending to a store that fails. docs/DESIGN.md, "Store", states what is assumed of the store.

mod pools;
mod protocol;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::Uri;
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use self::pools::{Pool, Pools};
pub use self::protocol::{HttpRequest, Reply, StoreRequest, WireProtocol};
use crate::breaker::CircuitBreaker;
use crate::era::{Era, Observation};
use crate::error::StoreError;
use crate::message;
use crate::rows::{self, UnreadableRow};
use crate::settings;
use crate::sync::lock;
use crate::time::{Clock, Time};
use crate::unreadable::{UnreadableCounter, UnreadableRows};

/// Time by which an answer is late when its connection counts as silent. A read is then sent again over a
/// new connection, so that the time-out, which allows for a slow store, does not bound how soon a change
/// is seen.
const SILENCE: Duration = Duration::from_millis(300);

/// Maximum size of the body of an answer, in bytes. Rows come in pages, and the largest objects have half
/// of this.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A row of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key: the name of the table, a slash, and the name of the row in the table.
    pub key: String,
    /// The number of the commit that last wrote it, from 1.
    pub version: u64,
    /// The value; JSON unless another program wrote it.
    #[serde(with = "rows::value")]
    pub value: Bytes,
}

impl Row {
    /// Decodes the value as JSON. Returns `None` if it does not decode as a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.value).ok()
    }
}

/// A condition of a transaction: the row has this version. Version 0 requires that the row does not
/// exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The required version.
    pub version: u64,
}

/// A write of a transaction. `None` as the value deletes the row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value as JSON.
    pub value: Option<String>,
}

/// Writes that are applied atomically if all checks hold, and not at all otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions.
    pub checks: Vec<Check>,
    /// The writes.
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

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// The transaction was applied as the commit of this number.
    Done(u64),
    /// Nothing was applied. These rows failed their checks; the versions are their current ones.
    Conflict(Vec<Check>),
}

/// A consistent snapshot of rows, or the changes from a feed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows, in the order of their keys, or of their changes in a feed.
    pub rows: Vec<Row>,
    /// Keys of rows that were deleted. Only a feed reports them.
    #[serde(default)]
    pub deleted: Vec<String>,
    /// The number of the newest commit that these rows reflect; a feed continues from it.
    pub version: u64,
    /// Whether there are more rows; the next page starts after the last key.
    #[serde(default)]
    pub more: bool,
    /// Rows that cannot be read. Where the key and the version can, `rows` has the row as well, without
    /// a value, since it exists.
    #[serde(skip)]
    pub unreadable: Vec<UnreadableRow>,
}

/// A client of the store, as each daemon and the command line have one.
#[derive(Debug)]
pub struct Client {
    address: ArcSwap<SocketAddr>,
    timeout: Duration,
    wire: WireProtocol,
    clock: Clock,
    pools: Pools,
    breaker: Mutex<CircuitBreaker>,
    last_answer: AtomicU64,
    era: watch::Sender<Era>,
    unreadable: UnreadableRows,
}

impl Client {
    /// Creates a client. It connects when the first store request is sent.
    pub fn new(settings: &settings::Platform, wire: WireProtocol, clock: Clock) -> Self {
        let timeout = Duration::from_millis(settings.timeout_ms);
        Self {
            address: ArcSwap::from_pointee(settings.address),
            timeout,
            wire,
            clock,
            pools: Pools::new(timeout),
            breaker: Mutex::new(CircuitBreaker::default()),
            last_answer: AtomicU64::new(0),
            era: watch::Sender::default(),
            unreadable: UnreadableRows::default(),
        }
    }

    /// Counts rows that cannot be read in `counter`.
    #[must_use]
    pub fn with_unreadable_counter(self, counter: UnreadableCounter) -> Self {
        Self { unreadable: UnreadableRows::new(counter), ..self }
    }

    /// Decodes the value of a row and validates it. Returns `None` and records the row as unreadable if
    /// it is not a valid `T`, since another program may have written it.
    pub fn decode<T: DeserializeOwned>(
        &self,
        row: &Row,
        validate: impl FnOnce(&T) -> Result<(), String>,
    ) -> Option<T> {
        let decoded = serde_json::from_slice(&row.value).map_err(|error| error.to_string());
        let valid = decoded.and_then(|value| validate(&value).map(|()| value));
        valid.inspect_err(|problem| self.unreadable.record(&row.key, row.version, problem)).ok()
    }

    /// Returns the era of the store that is known here.
    pub fn era(&self) -> Era {
        *self.era.borrow()
    }

    /// Returns the known era as a value that can be waited on.
    pub fn watch_era(&self) -> watch::Receiver<Era> {
        self.era.subscribe()
    }

    /// Records an era that the store or a peer has reported.
    pub fn observe_era(&self, number: u64) -> Observation {
        let mut observation = Observation::Same;
        let now = self.clock.now();
        self.era.send_if_modified(|era| {
            observation = era.observe(number, now);
            observation == Observation::Newer
        });
        if observation == Observation::Newer {
            tracing::warn!(event = "store-era", era = number);
        }
        observation
    }

    /// Sends further store requests to `address`.
    pub fn set_address(&self, address: SocketAddr) {
        self.address.store(Arc::new(address));
    }

    /// Returns when the store last answered any store request.
    pub fn last_answer(&self) -> Time {
        Time::from_micros(self.last_answer.load(Ordering::Relaxed))
    }

    /// Whether the store has not answered any store request for `span`.
    pub fn is_silent(&self, now: Time, span: Duration) -> bool {
        now.since(self.last_answer()) > span
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time. After [`StoreError::AnswerLost`] the
    /// transaction may have been applied; the caller must read back to find out.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, StoreError> {
        match self.request(StoreRequest::Commit(transaction)).await? {
            Reply::Commit(commit) => Ok(commit),
            other => Err(unexpected_reply(&other)),
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

    /// Reads several rows as a consistent snapshot. Rows that do not exist are left out.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn rows(&self, keys: &[String]) -> Result<Vec<Row>, StoreError> {
        Ok(into_rows(self.request(StoreRequest::Read(keys)).await?)?.rows)
    }

    /// Reads all rows whose keys start with `prefix`, in the order of their keys. The returned version
    /// is that of the first page, so that a feed that continues from it misses no change.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn scan(&self, prefix: &str) -> Result<Rows, StoreError> {
        self.scan_after(prefix, 0).await
    }

    /// Reads the rows whose keys start with `prefix` and that were written by a commit after `after`.
    /// Deleted rows are not reported.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn scan_after(&self, prefix: &str, after: u64) -> Result<Rows, StoreError> {
        let mut all =
            into_rows(self.request(StoreRequest::Scan { prefix, from: None, after }).await?)?;
        while all.more {
            let Some(last) = all.rows.last().map(|row| row.key.clone()) else { break };
            let request = StoreRequest::Scan { prefix, from: Some(&last), after };
            let page = into_rows(self.request(request).await?)?;
            if page.rows.is_empty() {
                // No row of the page can be read, so there is no key to continue after.
                break;
            }
            all.more = page.more;
            all.rows.extend(page.rows);
        }
        // Not every protocol of a store can leave out older rows.
        all.rows.retain(|row| row.version > after);
        Ok(all)
    }

    /// Waits up to `wait` for changes of `table` after the commit `after`. Returns no rows if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::HistoryGone`] when the store no longer holds the changes since `after`, and
    /// another error when the store does not answer in time.
    pub async fn feed(&self, table: &str, after: u64, wait: Duration) -> Result<Rows, StoreError> {
        let request = StoreRequest::Feed { table, after, wait };
        into_rows(self.request_within(request, self.timeout + wait).await?)
    }

    /// Stores an object. Objects are immutable, so that storing one again is harmless.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn put_object(&self, name: &str, body: &Bytes) -> Result<(), StoreError> {
        self.request(StoreRequest::PutObject { name, body }).await.map(drop)
    }

    /// Fetches an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer in time.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        match self.request(StoreRequest::GetObject(name)).await? {
            Reply::Object(body) => Ok(body),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn request(&self, request: StoreRequest<'_>) -> Result<Reply, StoreError> {
        self.request_within(request, self.timeout).await
    }

    async fn request_within(
        &self,
        request: StoreRequest<'_>,
        timeout: Duration,
    ) -> Result<Reply, StoreError> {
        if !self.with_breaker(CircuitBreaker::admit) {
            return Err(StoreError::BreakerOpen);
        }
        let pool = self.pools.current();
        let Some(wait) = request.read_wait() else {
            return self.attempt(pool, &request, timeout).await;
        };
        let mut first = pin!(self.attempt(Arc::clone(&pool), &request, timeout));
        let patience = wait + SILENCE.min(self.timeout / 2);
        if let Ok(result) = tokio::time::timeout(patience, &mut first).await {
            return result;
        }
        self.pools.replace(&pool);
        let second = pin!(self.attempt(self.pools.current(), &request, timeout));
        // The store may be slow instead, and the first answer on its way.
        futures::future::select_ok([first, second]).await.map(|(reply, _)| reply)
    }

    /// Sends a request once, over a connection of `pool`.
    async fn attempt(
        &self,
        pool: Arc<Pool>,
        request: &StoreRequest<'_>,
        timeout: Duration,
    ) -> Result<Reply, StoreError> {
        let answer = tokio::time::timeout(timeout, self.send(&pool, request)).await;
        let is_silent = answer.is_err();
        let result = answer.unwrap_or_else(|_| {
            Err(StoreError::AnswerLost(format!("no answer in {} ms", timeout.as_millis())))
        });
        // Connections that were silent together are one failure, and none of the store if new ones work.
        let counts = !is_silent || self.pools.replace(&pool);
        self.with_breaker(|breaker, now| {
            if !result.as_ref().is_err_and(StoreError::is_outage) {
                self.last_answer.store(now.as_micros(), Ordering::Relaxed);
                breaker.record_success();
            } else if counts {
                breaker.record_failure(now, &mut rand::rng());
            }
        });
        result
    }

    async fn send(&self, pool: &Pool, request: &StoreRequest<'_>) -> Result<Reply, StoreError> {
        let HttpRequest { method, target, body } = (self.wire.encode)(request)?;
        let uri = Uri::builder().scheme("http").authority(self.address.load().to_string());
        let uri = uri.path_and_query(target).build();
        let uri = uri.map_err(|error| StoreError::Refused(error.to_string()))?;
        let http_request = http::Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let response = pool.request(http_request).await.map_err(|error| {
            let problem = message::error_chain(&error);
            match message::is_unsent(&error) {
                true => StoreError::Unavailable(problem),
                false => StoreError::AnswerLost(problem),
            }
        })?;
        let status = response.status();
        let era = response.headers().get(self.wire.era).and_then(|era| era.to_str().ok());
        let era = era.and_then(|era| era.trim().parse().ok());
        if era.is_some_and(|era| self.observe_era(era) == Observation::Older) {
            let problem = "it is of an earlier era, and the store has lost what it says".to_owned();
            return Err(StoreError::AnswerLost(problem));
        }
        let body = message::collect_body(response.into_body(), MAX_ANSWER_BYTES).await;
        let body = body.map_err(StoreError::AnswerLost)?;
        let reply = (self.wire.decode)(request, status, body)?;
        if let Reply::Rows(rows) = &reply {
            for row in &rows.unreadable {
                self.unreadable.record(&row.key, row.version, &row.problem);
            }
        }
        Ok(reply)
    }

    fn with_breaker<T>(&self, action: impl FnOnce(&mut CircuitBreaker, Time) -> T) -> T {
        let now = self.clock.now();
        action(&mut lock(&self.breaker), now)
    }
}

fn into_rows(reply: Reply) -> Result<Rows, StoreError> {
    match reply {
        Reply::Rows(rows) => Ok(rows),
        other => Err(unexpected_reply(&other)),
    }
}

/// Returns the error for a reply of another kind than the request. Such a reply is a bug of the
/// [`WireProtocol`] and must not be taken for an empty store.
fn unexpected_reply(reply: &Reply) -> StoreError {
    StoreError::AnswerLost(format!("the reply does not match the request: {reply:?}"))
}
