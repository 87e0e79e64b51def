//! The document in force, followed through the store and through other daemons.
//!
//! One row changes whenever a document is accepted; the feed of its table tells at once. What a daemon
//! hears of from another one, it fetches there. Only higher versions are installed, so none ever comes
//! back. docs/DESIGN.md, "Document".

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;

use crate::board::Newer;
use crate::document::{Document, Policy, RawDocument};
use crate::error::{Error, Result, StoreError};
use crate::publish::{self, Body, Head};
use crate::shared::Shared;
use crate::store::{Client, Row};
use crate::time::jitter;

/// How long the store may hold a feed without a change. Longer waits cost fewer calls; shorter ones
/// notice sooner that a connection has gone silent, and confirm more often what is in force.
const FEED_WAIT: Duration = Duration::from_millis(2_500);

/// Daemons of a failure domain that read the store for all of it. A second one goes on at once when
/// the store turns the first away.
const READERS: usize = 2;

/// How long a daemon relies on others before it reads the store itself. Heartbeats pass the store's
/// confirmation on within a round or two.
const STALE_TIME: Duration = Duration::from_secs(6);

/// How often a daemon that relies on others looks whether it still may.
const LOOK_PERIOD: Duration = Duration::from_millis(500);

/// How long another daemon has to send a document before the store is read instead. The largest documents
/// take a tenth of that; a daemon that froze after it told of a version held its hearers for seconds.
const FETCH_TIME: Duration = Duration::from_millis(500);

/// Pause before the feed is tried again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Fetches the text that a head row names.
pub type Fetch = for<'a> fn(&'a Client, &'a Row) -> BoxFuture<'a, Result<RawDocument>>;

/// How documents are found in the store, and how they are read.
#[derive(Clone, Copy)]
pub struct Format {
    /// The row that changes whenever a document is accepted.
    pub head: &'static str,
    /// Fetches the text that a head row names.
    pub fetch: Fetch,
    /// Checks and compiles a text.
    pub compile: fn(&RawDocument, &Policy) -> Result<Policy>,
}

impl Format {
    /// The product's own documents: the head row names an object with the sections.
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
        let damaged = || StoreError::Refused("the head row is damaged".to_owned());
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
    Ok(Policy::compile(&document, text.version, previous))
}

/// Follows the document until the daemon ends.
pub async fn run(shared: Arc<Shared>) {
    tokio::join!(follow_store(&shared), follow_peers(&shared));
}

async fn follow_store(shared: &Shared) {
    let mut after = None;
    loop {
        if after.is_some() && !reads_store(shared) {
            tokio::time::sleep(jitter(LOOK_PERIOD)).await;
            continue;
        }
        if let Err(error) = step(shared, &mut after).await {
            note_failure(shared, &error);
            tokio::time::sleep(jitter(RETRY_PAUSE)).await;
        }
    }
}

/// Whether this daemon reads the store itself: the first few of its failure domain do, and everyone who
/// has not heard for a while that the store confirmed what is in force.
fn reads_store(shared: &Shared) -> bool {
    let board = &shared.board;
    let now = board.clock.now();
    if now.since(board.confirmed()) > STALE_TIME {
        return true;
    }
    let (me, domain) = (&board.settings.vm, &board.settings.failure_domain);
    board.read_view(|view| {
        let near = view.iter().filter(|member| member.record.domain == *domain);
        let live = near.filter(|member| member.is_live(now));
        live.take(READERS).any(|member| member.record.vm == *me)
    })
}

/// Reads the head when nothing is known yet, and otherwise waits for its change.
async fn step(shared: &Shared, after: &mut Option<u64>) -> Result<()> {
    let format = shared.format;
    let sent = shared.board.clock.now();
    let rows = match *after {
        None => shared.store.scan(format.head).await?,
        Some(version) => match shared.store.feed(format.table(), version, FEED_WAIT).await {
            Err(StoreError::HistoryGone) => shared.store.scan(format.head).await?,
            other => other?,
        },
    };
    if let Some(row) = rows.rows.iter().rev().find(|row| row.key == format.head) {
        match (format.fetch)(&shared.store, row).await {
            Ok(text) => install(shared, text),
            Err(error @ Error::Platform(_)) => return Err(error),
            Err(error) => tracing::warn!(event = "document-unreadable", row = row.version, %error),
        }
    }
    *after = Some(rows.version);
    // A feed that ends without a change has watched for its whole wait.
    let watched = if rows.rows.is_empty() { FEED_WAIT } else { Duration::ZERO };
    let board = &shared.board;
    board.confirm((sent + watched).min(board.clock.now()));
    Ok(())
}

async fn follow_peers(shared: &Shared) {
    let mut heard = shared.board.newer_document.subscribe();
    while heard.changed().await.is_ok() {
        let Newer { version, control } = *heard.borrow_and_update();
        if version <= shared.board.policy.load().version {
            continue;
        }
        let fetch = tokio::time::timeout(FETCH_TIME, shared.peers.document(shared, control));
        if let Ok(Some(text)) = fetch.await {
            install(shared, text);
            continue;
        }
        // The store has it too; and whoever tells of it next is asked again.
        shared.board.forget_newer(&shared.board.newer_document, version);
        if let Err(error) = step(shared, &mut None).await {
            note_failure(shared, &error);
        }
    }
}

fn install(shared: &Shared, text: RawDocument) {
    let board = &shared.board;
    if text.version <= board.policy.load().version {
        return;
    }
    let policy = match (shared.format.compile)(&text, &board.policy.load()) {
        Ok(policy) => policy,
        Err(error) => {
            let version = text.version;
            return tracing::error!(event = "document-rejected", version, %error);
        }
    };
    let version = text.version;
    if board.install(policy) {
        board.document.store(Some(Arc::new(text)));
        tracing::info!(event = "document-in-force", vm = board.settings.vm, version);
    }
}

fn note_failure(shared: &Shared, error: &Error) {
    shared.board.metrics.platform_failures.inc();
    tracing::debug!(event = "platform-failed", vm = shared.board.settings.vm, %error);
}
