//! The project's own protocol for store requests, which the stand-in platform implements.

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::StoreError;
use crate::rows::{self, Raw, UnreadableRow};
use crate::store::{HttpRequest, Reply, Row, Rows, StoreRequest, WireProtocol};

/// The project's own protocol, JSON over HTTP.
pub const OWN: WireProtocol = WireProtocol { encode, decode, era: ERA };

/// Header with the number of the store's era.
pub const ERA: &str = "store-era";

/// Body of a request to read rows by their keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Read {
    /// The keys of the rows.
    pub keys: Vec<String>,
}

/// Body of a request to read the rows under a prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scan {
    /// The prefix of the keys.
    pub prefix: String,
    /// If set, only rows with keys after this one are returned.
    #[serde(default)]
    pub from: Option<String>,
    /// Only rows written by a later commit than this one are returned.
    pub after: u64,
}

/// Body of a request to wait for changes of a table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Feed {
    /// The name of the table, followed by a slash.
    pub table: String,
    /// Only changes by a later commit than this one are returned.
    pub after: u64,
    /// Maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

fn encode(request: &StoreRequest<'_>) -> Result<HttpRequest, StoreError> {
    let (path, body) = match request {
        StoreRequest::Commit(transaction) => ("/table/commit", json(transaction)?),
        StoreRequest::Read(keys) => ("/table/read", json(&Read { keys: keys.to_vec() })?),
        StoreRequest::Scan { prefix, from, after } => {
            let (prefix, from) = ((*prefix).to_owned(), from.map(str::to_owned));
            ("/table/scan", json(&Scan { prefix, from, after: *after })?)
        }
        StoreRequest::Feed { table, after, wait } => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            ("/table/feed", json(&Feed { table: (*table).to_owned(), after: *after, wait_ms })?)
        }
        StoreRequest::PutObject { name, body } => {
            let target = format!("/object/{name}");
            return Ok(HttpRequest { method: Method::PUT, target, body: (*body).clone() });
        }
        StoreRequest::GetObject(name) => {
            let target = format!("/object/{name}");
            return Ok(HttpRequest { method: Method::GET, target, body: Bytes::new() });
        }
    };
    Ok(HttpRequest { method: Method::POST, target: path.to_owned(), body })
}

fn decode(
    request: &StoreRequest<'_>,
    status: StatusCode,
    body: Bytes,
) -> Result<Reply, StoreError> {
    match (status, request) {
        (StatusCode::NOT_FOUND, StoreRequest::GetObject(_)) => Ok(Reply::Object(None)),
        (StatusCode::GONE, StoreRequest::Feed { .. }) => Err(StoreError::HistoryGone),
        (StatusCode::SERVICE_UNAVAILABLE, _) => {
            Err(StoreError::AnswerLost("it answered 503".to_owned()))
        }
        (StatusCode::OK, StoreRequest::Commit(_)) => parse(&body).map(Reply::Commit),
        (
            StatusCode::OK,
            StoreRequest::Read(_) | StoreRequest::Scan { .. } | StoreRequest::Feed { .. },
        ) => decode_rows(&body).map(Reply::Rows),
        (StatusCode::OK, StoreRequest::PutObject { .. }) => Ok(Reply::Stored),
        (StatusCode::OK, StoreRequest::GetObject(_)) => Ok(Reply::Object(Some(body))),
        (other, _) => Err(StoreError::Refused(format!("it answered {other}"))),
    }
}

/// The answer to a read, a scan or a feed.
#[derive(Debug, Deserialize)]
struct RowsAnswer<'a> {
    #[serde(borrow)]
    rows: Vec<Raw<'a>>,
    #[serde(borrow, default)]
    deleted: Vec<Raw<'a>>,
    version: u64,
    #[serde(default)]
    more: bool,
}

/// One row of an answer.
#[derive(Debug, Deserialize)]
struct RowAnswer<'a> {
    #[serde(borrow)]
    key: Option<Raw<'a>>,
    #[serde(borrow)]
    version: Option<Raw<'a>>,
    #[serde(borrow)]
    value: Option<Raw<'a>>,
}

fn decode_rows(body: &[u8]) -> Result<Rows, StoreError> {
    let text = rows::text(body);
    let answer: RowsAnswer<'_> =
        serde_json::from_str(&text).map_err(|error| answer_lost(&error))?;
    let mut rows = Rows { version: answer.version, more: answer.more, ..Rows::default() };
    let unnamed = |problem| UnreadableRow { key: String::new(), version: 0, problem };
    for raw in answer.rows {
        decode_row(raw, &mut rows).unwrap_or_else(|problem| rows.unreadable.push(unnamed(problem)));
    }
    for raw in answer.deleted {
        match rows::field("deleted", Some(raw)) {
            Ok(key) => rows.deleted.extend(key),
            Err(problem) => rows.unreadable.push(unnamed(problem)),
        }
    }
    Ok(rows)
}

/// Adds a row to `rows`.
///
/// # Errors
///
/// Returns why the row names no key or version.
fn decode_row(raw: Raw<'_>, rows: &mut Rows) -> Result<(), String> {
    let row: RowAnswer<'_> = rows::fields(raw)?;
    let key: String = rows::field("key", row.key)?.ok_or("it names no key")?;
    let version =
        rows::field("version", row.version).map_err(|problem| format!("{key}: {problem}"))?;
    let version: u64 = version.ok_or_else(|| format!("{key}: it names no version"))?;
    let value = rows::field::<String>("value", row.value).unwrap_or_else(|problem| {
        rows.unreadable.push(UnreadableRow { key: key.clone(), version, problem });
        None
    });
    rows.rows.push(Row { key, version, value: value.unwrap_or_default().into() });
    Ok(())
}

fn json<T: Serialize>(value: &T) -> Result<Bytes, StoreError> {
    let text = serde_json::to_vec(value);
    text.map(Bytes::from).map_err(|error| StoreError::Refused(error.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| answer_lost(&error))
}

fn answer_lost(error: &serde_json::Error) -> StoreError {
    StoreError::AnswerLost(error.to_string())
}
