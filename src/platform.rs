//! The platform's table and object store, met in one place.
//!
//! [`Transaction`] and [`Row`] are the table's vocabulary; decisions make transactions without I/O, and
//! [`Client`] carries them. Every exchange has a timeout, and a breaker leaves a failing platform alone.
//! docs/DESIGN.md, "Platform", states what the table is assumed to offer.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::breaker::Breaker;
use crate::error::PlatformError;
use crate::settings;
use crate::sync::lock;
use crate::time::{Clock, Time};

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The number of the commit that last wrote it, from 1.
    pub version: u64,
    /// JSON text.
    pub value: String,
}

impl Row {
    /// Decodes the value; `None` when it is not what was expected.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_str(&self.value).ok()
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

/// Rows under a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scan {
    /// The prefix of the keys.
    pub prefix: String,
    /// Only rows that a later commit than this one wrote.
    pub after: u64,
}

/// Rows by their keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Read {
    /// The keys.
    pub keys: Vec<String>,
}

/// The client of one daemon or of the command line.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    clock: Clock,
    http: HttpClient<HttpConnector, Full<Bytes>>,
    breaker: Mutex<Breaker>,
    answered: AtomicU64,
}

impl Client {
    /// Makes a client; nothing is connected before the first exchange.
    pub fn new(settings: &settings::Platform, clock: Clock) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            address: settings.address,
            timeout: Duration::from_millis(settings.timeout_ms),
            clock,
            http: HttpClient::builder(TokioExecutor::new()).build(connector),
            breaker: Mutex::new(Breaker::default()),
            answered: AtomicU64::new(0),
        }
    }

    /// Whether the platform has not answered anything for `span`.
    pub fn is_silent(&self, now: Time, span: Duration) -> bool {
        now.since(Time::from_micros(self.answered.load(Ordering::Relaxed))) > span
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::AnswerLost`] the transaction may have taken effect: read back.
    pub async fn commit(&self, transaction: &Transaction) -> Result<Commit, PlatformError> {
        self.exchange("/table/commit", transaction).await
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    pub async fn row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let rows = self.rows(vec![key.to_owned()]).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads several rows at one moment; those that do not exist are left out.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    pub async fn rows(&self, keys: Vec<String>) -> Result<Vec<Row>, PlatformError> {
        self.exchange("/table/read", &Read { keys }).await
    }

    /// Reads all rows whose keys start with `prefix`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.changed(prefix, 0).await
    }

    /// Reads the rows whose keys start with `prefix` and that a commit after `after` wrote. Deleted rows
    /// are not told.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    pub async fn changed(&self, prefix: &str, after: u64) -> Result<Vec<Row>, PlatformError> {
        self.exchange("/table/scan", &Scan { prefix: prefix.to_owned(), after }).await
    }

    /// Stores an object. Objects are never changed, so a repeat does no harm.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        self.send(Method::PUT, &format!("/object/{name}"), body).await.map(drop)
    }

    /// Fetches an object; `None` when there is none.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer in time.
    pub async fn object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let (status, body) =
            self.send(Method::GET, &format!("/object/{name}"), Bytes::new()).await?;
        Ok((status != StatusCode::NOT_FOUND).then_some(body))
    }

    async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(question).unwrap_or_default();
        let (_, answer) = self.send(Method::POST, path, body.into()).await?;
        serde_json::from_slice(&answer)
            .map_err(|error| PlatformError::AnswerLost(error.to_string()))
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        if !self.with_breaker(Breaker::admit) {
            return Err(PlatformError::BreakerOpen);
        }
        let result = tokio::time::timeout(self.timeout, self.send_once(method, path, body)).await;
        let result = result.unwrap_or_else(|_| {
            Err(PlatformError::AnswerLost(format!("no answer in {} ms", self.timeout.as_millis())))
        });
        self.with_breaker(|breaker, now| match &result {
            Ok(_) | Err(PlatformError::Refused(_)) => {
                self.answered.store(now.as_micros(), Ordering::Relaxed);
                breaker.succeed();
            }
            Err(_) => breaker.fail(now, &mut rand::rng()),
        });
        result
    }

    async fn send_once(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| PlatformError::Refused(error.to_string()))?;
        let response =
            self.http.request(request).await.map_err(|error| match error.is_connect() {
                true => PlatformError::Unavailable(error.to_string()),
                false => PlatformError::AnswerLost(error.to_string()),
            })?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| PlatformError::AnswerLost(error.to_string()))?
            .to_bytes();
        match status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok((status, body)),
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(PlatformError::AnswerLost("it answered 503".to_owned()))
            }
            other => Err(PlatformError::Refused(format!("it answered {other}"))),
        }
    }

    fn with_breaker<T>(&self, act: impl FnOnce(&mut Breaker, Time) -> T) -> T {
        let now = self.clock.now();
        act(&mut lock(&self.breaker), now)
    }
}
