//! Keeps the document in force up to date, from the store and from peers.
//!
//! The head row changes whenever a document is accepted, and the feed of its table reports the change
//! at once. A daemon that learns of a newer version from a peer fetches it from that peer. Only higher
//! versions are installed, so an older version never returns. docs/DESIGN.md, "Document".

pub mod duty;
mod reader;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;

use self::duty::Duty;
use self::reader::Reader;
use crate::document::{Document, Policy, RawDocument};
use crate::error::{Error, Invalid, Result, StoreError};
use crate::publish::{self, Body, Head};
use crate::reported::Report;
use crate::shared::Shared;
use crate::store::{Client, Row};
use crate::time::jitter;

/// Interval at which a daemon that relies on its peers checks whether it has to read the store itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Mean interval between scans of a daemon that does not follow the feed.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for fetching a document from a peer, after which the store is read instead. The largest
/// documents take a tenth of that. With a longer timeout, a peer that froze after it had announced a
/// version delayed the daemons that fetched from it by seconds.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed store request before the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Fetches the document that a head row names.
pub type Fetch = for<'a> fn(&'a Client, &'a Row) -> BoxFuture<'a, Result<RawDocument>>;

/// How documents are stored and compiled.
#[derive(Clone, Copy)]
pub struct Format {
    /// The key of the row that changes whenever a document is accepted.
    pub head: &'static str,
    /// Fetches the document that a head row names.
    pub fetch: Fetch,
    /// Validates a document and compiles it on top of the previous policy.
    pub compile: fn(&RawDocument, &Policy) -> Result<Policy>,
}

impl Format {
    /// The project's own format: the head row names an object that holds the sections.
    pub const OWN: Self = Self { head: publish::HEAD_KEY, fetch: fetch_sections, compile };

    fn table(&self) -> &'static str {
        self.head.split_inclusive('/').next().unwrap_or(self.head)
    }
}

impl fmt::Debug for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Format({})", self.head)
    }
}

fn fetch_sections<'a>(store: &'a Client, row: &'a Row) -> BoxFuture<'a, Result<RawDocument>> {
    Box::pin(async move {
        let damaged = || StoreError::Refused("the head row cannot be decoded".to_owned());
        let head: Head = row.decode().ok_or_else(damaged)?;
        let body = publish::fetch(store, &head).await?;
        let bytes = serde_json::to_vec(&body).map_err(|_| damaged())?.into();
        Ok(RawDocument { version: body.version, bytes })
    })
}

fn compile(text: &RawDocument, previous: &Policy) -> Result<Policy> {
    let damaged = |error: serde_json::Error| StoreError::Refused(error.to_string());
    let body: Body = serde_json::from_slice(&text.bytes).map_err(damaged)?;
    let document = Document::parse(&body.sections.join(), "the document in force")?;
    Ok(Policy::compile(&document, body.version, previous))
}

/// Follows the document from the store and from peers until the daemon stops.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(follow_store(&shared), follow_peers(&shared));
}

async fn follow_store(shared: &Shared) {
    let mut reader = Reader::default();
    loop {
        let duty = Duty::own(&shared.board);
        let read = async {
            if duty.scan || reader.needs_scan(shared) {
                reader.scan(shared).await?;
            }
            if duty.feed {
                reader.feed(shared).await?;
            }
            Ok(())
        };
        let pause = match read.await {
            Ok(()) if duty.feed => Duration::ZERO,
            Ok(()) if duty.scan => SCAN_INTERVAL,
            Ok(()) => CHECK_INTERVAL,
            Err(error) => {
                log_failure(shared, &error);
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(jitter(pause)).await;
    }
}

async fn follow_peers(shared: &Shared) {
    let mut reports = shared.board.newest_document.follow();
    loop {
        let report = reports.next(|| shared.board.policy.load().version).await;
        fetch_reported(shared, &report).await;
    }
}

/// Fetches a document from the peer that reported it, and from the store if it does not come from there.
async fn fetch_reported(shared: &Shared, report: &Report) {
    let fetch = shared.peers.document(shared, report.control);
    let text = tokio::time::timeout(FETCH_TIMEOUT, fetch).await.ok().flatten();
    log_fetched(shared, report, text.as_ref());
    if let Some(text) = text {
        install(shared, text);
    }
    if report.version > shared.board.policy.load().version
        && let Err(error) = Reader::default().scan(shared).await
    {
        log_failure(shared, &error);
    }
}

/// What became of a document that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acceptance {
    /// It is in force.
    InForce,
    /// A newer one is in force.
    Outdated,
    /// It cannot be read or compiled.
    Invalid,
}

/// Fetches the document that a head row names, and puts it in force.
async fn accept(shared: &Shared, row: &Row) -> Result<Acceptance> {
    match (shared.format.fetch)(&shared.store, row).await {
        Ok(text) => Ok(install(shared, text)),
        Err(error @ Error::Platform(_)) => Err(error),
        Err(error) => {
            if let Some(weight) = weigh(shared, "document-unreadable") {
                tracing::warn!(event = "document-unreadable", weight, row = row.version, %error);
            }
            Ok(Acceptance::Invalid)
        }
    }
}

fn install(shared: &Shared, text: RawDocument) -> Acceptance {
    let board = &shared.board;
    let (version, in_force) = (text.version, board.policy.load());
    if version <= in_force.version {
        return if version == in_force.version {
            Acceptance::InForce
        } else {
            Acceptance::Outdated
        };
    }
    let policy = match compile_announced(shared, &text, &in_force) {
        Ok(policy) => policy,
        Err(error) => {
            if let Some(weight) = weigh(shared, "document-rejected") {
                tracing::error!(event = "document-rejected", weight, version, %error);
            }
            return Acceptance::Invalid;
        }
    };
    if board.install(policy, text) {
        tracing::info!(event = "document-in-force", vm = board.settings.vm, version);
    }
    Acceptance::InForce
}

/// Compiles a document, unless its text is of another version than was announced.
fn compile_announced(shared: &Shared, text: &RawDocument, previous: &Policy) -> Result<Policy> {
    let policy = (shared.format.compile)(text, previous)?;
    if policy.version == text.version {
        return Ok(policy);
    }
    Err(Error::Invalid(Invalid {
        origin: "the document".to_owned(),
        line: None,
        key: "version".to_owned(),
        problem: format!("the text of {} was given for {}", policy.version, text.version),
        remedy: "the version in force stays; update the daemon that gave it".to_owned(),
    }))
}

/// Returns how many events of this kind a log line represents, or `None` if it is to be left out.
fn weigh(shared: &Shared, kind: &'static str) -> Option<u64> {
    shared.board.log_sampler.weigh(kind, shared.board.clock.now())
}

/// Logs what a peer that reported a newer version has given for it.
fn log_fetched(shared: &Shared, report: &Report, text: Option<&RawDocument>) {
    tracing::info!(
        event = "document-fetched",
        vm = shared.board.settings.vm,
        reported = report.version,
        control = %report.control,
        version = text.map_or(0, |text| text.version),
    );
}

fn log_failure(shared: &Shared, error: &Error) {
    shared.board.metrics.platform_failures.inc();
    tracing::debug!(event = "platform-failed", vm = shared.board.settings.vm, %error);
}
