//! Reads the document from the store: scans of the head row, and its feed.
//!
//! The store is believed as far as it can be used: an answer whose row cannot be read or compiled, or is
//! older than the document in force, confirms nothing and is read again. It may have been spoilt on its
//! way, or show an older state of the store.

use std::time::Duration;

use super::{Acceptance, accept};
use crate::error::{Result, StoreError};
use crate::shared::Shared;
use crate::store::{Row, Rows};

/// Maximum time for which the store holds a feed request without a change. A dead connection is noticed
/// after this and the store's time-out, and a change has to be in force soon after that.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// Number of scans that return the same row, invalid, until it counts as what the store holds rather
/// than as an answer that was spoilt.
const INVALID_SCANS: u32 = 2;

/// Number of scans that return the same row, older than the document in force, until it counts as what
/// the store holds rather than as an older state of it. Stores lag behind for some seconds at most.
const OUTDATED_SCANS: u32 = 10;

/// The place up to which this daemon has read the store.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// The era of the store in which the place is valid.
    era: u64,
    /// The commit from which the feed continues; `None` before the first scan.
    after: Option<u64>,
    /// The row that was read last, if it is not in force.
    unused: Option<Unused>,
}

/// A row of the head that is not in force.
#[derive(Debug)]
struct Unused {
    /// The commit that wrote it.
    commit: u64,
    /// Number of scans that returned it.
    scans: u32,
    /// Number of scans from which on it counts as what the store holds.
    needed: u32,
}

impl Unused {
    fn is_believed(&self) -> bool {
        self.scans >= self.needed
    }
}

impl Reader {
    /// Whether the next scan is due whatever the duty of this daemon is.
    pub fn needs_scan(&self, shared: &Shared) -> bool {
        // Commits of an earlier era order nothing in this one.
        self.after.is_none()
            || self.era != shared.store.era().number
            || self.unused.as_ref().is_some_and(|unused| !unused.is_believed())
    }

    /// Reads the head row, and puts the document that it names in force.
    ///
    /// # Errors
    ///
    /// Returns an error when the store, or the document that the row names, cannot be read.
    pub async fn scan(&mut self, shared: &Shared) -> Result<()> {
        let sent = shared.board.clock.now();
        let rows = shared.store.scan(shared.format.head).await?;
        log_rows(shared, "scan", self.after, &rows);
        self.era = shared.store.era().number;
        let has_document = shared.board.policy.load().version > 0;
        let (commit, acceptance) = match head_row(shared, &rows) {
            Some(row) => (row.version, accept(shared, row).await?),
            None if has_document => (0, Acceptance::Outdated),
            None => (0, Acceptance::InForce),
        };
        self.after = Some(rows.version);
        let is_believed = match acceptance {
            Acceptance::InForce => {
                self.unused = None;
                true
            }
            Acceptance::Invalid => self.count_scan(commit, INVALID_SCANS),
            Acceptance::Outdated => self.count_scan(commit, OUTDATED_SCANS),
        };
        if is_believed {
            shared.board.confirm(sent);
        }
        Ok(())
    }

    /// Waits for a change of the head row, and puts the document that it names in force.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::scan`].
    pub async fn feed(&mut self, shared: &Shared) -> Result<()> {
        let Some(after) = self.after else { return Ok(()) };
        let sent = shared.board.clock.now();
        let rows = match shared.store.feed(shared.format.table(), after, FEED_WAIT).await {
            Err(StoreError::HistoryGone) => {
                tracing::info!(event = "feed-lost", vm = shared.board.settings.vm, after);
                return self.scan(shared).await;
            }
            other => other?,
        };
        if self.era != shared.store.era().number {
            // The feed was continued from a commit of an earlier era.
            return Ok(());
        }
        log_rows(shared, "feed", self.after, &rows);
        if let Some(row) = head_row(shared, &rows) {
            self.unused = match accept(shared, row).await? {
                Acceptance::InForce => None,
                Acceptance::Invalid => Some((row.version, INVALID_SCANS)),
                Acceptance::Outdated => Some((row.version, OUTDATED_SCANS)),
            }
            .map(|(commit, needed)| Unused { commit, scans: 0, needed });
        }
        self.after = Some(rows.version);
        if self.unused.as_ref().is_none_or(Unused::is_believed) {
            // A feed without a change confirms the document until the end of its wait.
            let waited = if rows.rows.is_empty() { FEED_WAIT } else { Duration::ZERO };
            shared.board.confirm((sent + waited).min(shared.board.clock.now()));
        }
        Ok(())
    }

    /// Counts a scan that returned a row that is not in force. Returns whether that is what the store
    /// holds.
    fn count_scan(&mut self, commit: u64, needed: u32) -> bool {
        let known = self.unused.take().filter(|unused| unused.commit == commit);
        let scans = known.map_or(0, |unused| unused.scans).saturating_add(1);
        self.unused.insert(Unused { commit, scans, needed }).is_believed()
    }
}

/// Returns the newest state of the head row in an answer.
fn head_row<'a>(shared: &Shared, rows: &'a Rows) -> Option<&'a Row> {
    rows.rows.iter().rev().find(|row| row.key == shared.format.head)
}

/// Logs what the store has said about the document.
fn log_rows(shared: &Shared, request: &'static str, after: Option<u64>, rows: &Rows) {
    tracing::debug!(
        event = "store-read",
        vm = shared.board.settings.vm,
        request,
        after = after.unwrap_or_default(),
        version = rows.version,
        rows = rows.rows.len(),
        unreadable = rows.unreadable.len(),
    );
}
