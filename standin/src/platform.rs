//! Stand-in for the platform: its table and object store over HTTP, with faults that can be injected.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::dialect::Dialect;
use gypsumtack::message::{self, Response};
use gypsumtack::server::{self, Bounds};
use gypsumtack::store::{Row, Rows, Transaction};
use gypsumtack::sync::lock;
use gypsumtack::wire::{self, Feed, Read, Scan};
use http::{HeaderValue, Method, StatusCode};
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::table::Table;

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Delay of an answer that counts as lost.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(600);

/// Faults that are injected into the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Every request fails with status 503 and has no effect.
    pub down: bool,
    /// Delay added to every request, in milliseconds.
    pub slow_ms: u64,
    /// Fraction of writes that take effect but whose answers are lost, from 0 to 1.
    pub lose_answers: f64,
    /// Feeds answer with status 410: the changes are no longer known.
    pub forget: bool,
    /// Feeds report no changes, though their answers name the newest commit.
    pub deaf: bool,
    /// Reads and scans return the rows as they were when this fault began, though their answers name the
    /// newest commit.
    pub stale: bool,
    /// The values of rows are spoilt in answers.
    pub spoil: bool,
}

/// Numbers of requests that the platform received, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of transactions and of objects written.
    pub writes: u64,
    /// Number of reads of rows, scans, feeds and reads of objects.
    pub reads: u64,
}

/// Handle to a platform that runs in this process.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    stop: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    table: Table,
    objects: BTreeMap<String, Bytes>,
    faults: Faults,
    /// The table when reads became stale.
    stale: Table,
    usage: Usage,
    rng: SmallRng,
    committed: watch::Sender<u64>,
    /// Number of times that the platform has come back from a copy.
    era: u64,
    /// Rows as JSON that another writer has left, each with the prefix of its table.
    foreign: Vec<(String, String)>,
}

/// Everything that the platform stores, at one moment.
#[derive(Debug, Clone)]
pub struct Copy {
    table: Table,
    objects: BTreeMap<String, Bytes>,
}

impl Platform {
    /// Starts a platform on `address`. Port 0 selects a free port. `seed` decides which answers are
    /// lost.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            table: Table::default(),
            objects: BTreeMap::new(),
            faults: Faults::default(),
            stale: Table::default(),
            usage: Usage::default(),
            rng: SmallRng::seed_from_u64(seed),
            committed: watch::Sender::default(),
            era: 0,
            foreign: Vec::new(),
        }));
        let (stop, stopped) = watch::channel(false);
        let shared = Arc::clone(&state);
        let handler = move |request| handle(Arc::clone(&shared), request);
        let bounds = Bounds::internal(10_000);
        tokio::spawn(server::serve(listener, bounds, Dialect::own(), stopped, handler));
        Ok(Self { address, state, stop })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).set_faults(faults);
    }

    /// Returns the usage since the start.
    pub fn usage(&self) -> Usage {
        lock(&self.state).usage
    }

    /// Returns a copy of the table.
    pub fn table(&self) -> Table {
        lock(&self.state).table.clone()
    }

    /// Returns a copy of everything that is stored now.
    pub fn copy(&self) -> Copy {
        let state = lock(&self.state);
        Copy { table: state.table.clone(), objects: state.objects.clone() }
    }

    /// Comes back from `copy`: what was written since is lost, its versions are given out again, and the
    /// next era begins.
    pub fn restore(&self, copy: &Copy) {
        let mut state = lock(&self.state);
        state.table = copy.table.clone();
        state.objects = copy.objects.clone();
        state.era += 1;
        let commits = state.table.commits();
        state.committed.send_replace(commits);
    }

    /// Adds a row as another writer has left it: `row` is what answers about `table` contain for it.
    pub fn add_foreign_row(&self, table: &str, row: &str) {
        lock(&self.state).foreign.push((table.to_owned(), row.to_owned()));
    }

    /// Stops the platform. Its rows and objects are lost.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

async fn handle(state: Arc<Mutex<State>>, request: http::Request<Incoming>) -> Response {
    let mut response = answer(&state, request).await;
    let era = lock(&state).era;
    response.headers_mut().insert(wire::ERA, HeaderValue::from(era));
    response
}

async fn answer(state: &Arc<Mutex<State>>, request: http::Request<Incoming>) -> Response {
    let (parts, body) = request.into_parts();
    let Ok(body) = message::collect_body(body, MAX_BODY_BYTES).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if parts.method == Method::POST && parts.uri.path() == "/faults" {
        return set_faults(state, &body);
    }
    let faults = lock(state).faults;
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    if parts.uri.path() == "/table/feed" {
        return feed(state, &body).await;
    }
    let (response, is_write) = lock(state).execute(&parts.method, parts.uri.path(), &body);
    if is_write && lock(state).rng.random_bool(faults.lose_answers.clamp(0.0, 1.0)) {
        tokio::time::sleep(LOST_ANSWER_DELAY).await;
    }
    response
}

/// Answers as soon as there are changes, or after `wait_ms` without any.
async fn feed(state: &Mutex<State>, body: &[u8]) -> Response {
    let Ok(Feed { table, after, wait_ms }) = serde_json::from_slice(body) else { return reject() };
    let mut committed = lock(state).committed.subscribe();
    let changed = async {
        loop {
            let changes = lock(state).changes(&table, after);
            if !changes.rows.is_empty() || !changes.deleted.is_empty() {
                return changes;
            }
            if committed.changed().await.is_err() {
                return changes;
            }
        }
    };
    let changes = tokio::time::timeout(Duration::from_millis(wait_ms), changed).await;
    let mut state = lock(state);
    state.usage.reads += 1;
    if state.faults.down {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    if state.faults.forget || after > state.table.commits() {
        return respond(StatusCode::GONE, Bytes::new());
    }
    let changes = changes.unwrap_or_else(|_| state.changes(&table, after));
    state.respond_rows(&table, &changes)
}

fn set_faults(state: &Mutex<State>, body: &[u8]) -> Response {
    match serde_json::from_slice(body) {
        Ok(faults) => {
            lock(state).set_faults(faults);
            respond(StatusCode::OK, Bytes::new())
        }
        Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string().into()),
    }
}

impl State {
    fn set_faults(&mut self, faults: Faults) {
        if faults.stale && !self.faults.stale {
            self.stale = self.table.clone();
        }
        self.faults = faults;
    }

    /// Returns the changes that a feed reports.
    fn changes(&self, table: &str, after: u64) -> Rows {
        let changes = self.table.changes(table, after);
        if self.faults.deaf { self.rows(Vec::new()) } else { self.spoil(changes) }
    }

    fn spoil(&self, mut rows: Rows) -> Rows {
        if self.faults.spoil {
            rows.rows.iter_mut().for_each(|row| row.value = Bytes::from_static(b"spoilt"));
        }
        rows
    }

    /// Returns the table as reads show it.
    fn shown(&self) -> &Table {
        if self.faults.stale { &self.stale } else { &self.table }
    }

    fn execute(&mut self, method: &Method, path: &str, body: &Bytes) -> (Response, bool) {
        match (method.as_str(), path) {
            ("POST", "/table/commit") => (self.commit(body), true),
            ("POST", "/table/read") => (self.read(body), false),
            ("POST", "/table/scan") => (self.scan(body), false),
            ("PUT", path) => {
                self.usage.writes += 1;
                self.objects.insert(path.to_owned(), body.clone());
                (respond(StatusCode::OK, Bytes::new()), true)
            }
            ("GET", path) => {
                self.usage.reads += 1;
                let object = self.objects.get(path).cloned();
                let status = object.as_ref().map_or(StatusCode::NOT_FOUND, |_| StatusCode::OK);
                (respond(status, object.unwrap_or_default()), false)
            }
            _ => (respond(StatusCode::METHOD_NOT_ALLOWED, Bytes::new()), false),
        }
    }

    fn commit(&mut self, body: &[u8]) -> Response {
        self.usage.writes += 1;
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else { return reject() };
        let commit = self.table.commit(&transaction);
        self.committed.send_replace(self.table.commits());
        json(&commit)
    }

    fn read(&mut self, body: &[u8]) -> Response {
        self.usage.reads += 1;
        let Ok(read) = serde_json::from_slice::<Read>(body) else { return reject() };
        let rows = read.keys.iter().filter_map(|key| self.shown().row(key)).cloned();
        json(&self.rows(rows.collect()))
    }

    fn scan(&mut self, body: &[u8]) -> Response {
        self.usage.reads += 1;
        let Ok(scan) = serde_json::from_slice::<Scan>(body) else { return reject() };
        let rows = self.shown().scan(&scan.prefix).filter(|row| row.version > scan.after);
        let later = |row: &&Row| scan.from.as_ref().is_none_or(|from| row.key > *from);
        let rows = self.rows(rows.filter(later).cloned().collect());
        self.respond_rows(&scan.prefix, &rows)
    }

    /// Answers with rows under `prefix`, those of other writers included.
    fn respond_rows(&self, prefix: &str, rows: &Rows) -> Response {
        let foreign = self.foreign.iter().filter(|(table, _)| prefix.starts_with(table));
        let foreign: Vec<&str> = foreign.map(|(_, row)| row.as_str()).collect();
        let text = serde_json::to_string(rows).unwrap_or_default();
        let separator = if foreign.is_empty() || rows.rows.is_empty() { "" } else { "," };
        let list = format!("\"rows\":[{}{separator}", foreign.join(","));
        respond(StatusCode::OK, text.replacen("\"rows\":[", &list, 1).into())
    }

    fn rows(&self, rows: Vec<Row>) -> Rows {
        self.spoil(Rows { rows, version: self.table.commits(), ..Rows::default() })
    }
}

fn json<T: Serialize>(value: &T) -> Response {
    respond(StatusCode::OK, serde_json::to_vec(value).unwrap_or_default().into())
}

/// Answers a request whose body cannot be parsed.
fn reject() -> Response {
    respond(StatusCode::BAD_REQUEST, Bytes::new())
}

fn respond(status: StatusCode, body: Bytes) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    response
}
