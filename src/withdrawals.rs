//! Runs of backend servers that have withdrawn or drain, as their daemon tells others of them.
//!
//! That a run leaves holds from the moment at which its daemon acknowledges it, also when that daemon is
//! killed right after. So the daemon tells its peers and the store before it acknowledges, and one that
//! starts uses no announced run before it has recalled which ones have left. docs/DESIGN.md, "Withdrawals".

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::runs::Withdrawn;

/// Number of runs that are told to others.
pub const MAX_TOLD: usize = 8;

/// Longest wait before an acknowledgement until others know of a withdrawal. The backend server waits a
/// second for it.
const TELL_TIMEOUT: Duration = Duration::from_millis(600);

/// The withdrawals beside one daemon.
#[derive(Debug)]
pub struct Withdrawals {
    told: ArcSwap<Vec<Withdrawn>>,
    /// Increases with each change of what is to be told.
    changes: watch::Sender<u64>,
    /// The last change that others know of.
    known: watch::Sender<u64>,
    /// Whether the withdrawals before this daemon's start are known.
    recalled: AtomicBool,
}

impl Default for Withdrawals {
    fn default() -> Self {
        Self {
            told: ArcSwap::default(),
            changes: watch::Sender::default(),
            known: watch::Sender::default(),
            recalled: AtomicBool::new(true),
        }
    }
}

impl Withdrawals {
    /// Returns the runs that others are told of, the last one at the end.
    pub fn told(&self) -> Vec<Withdrawn> {
        (**self.told.load()).clone()
    }

    /// Adds runs that others are to be told of.
    pub fn add(&self, withdrawn: &[Withdrawn]) {
        let mut told = self.told();
        if merge(&mut told, withdrawn) {
            self.told.store(told.into());
            self.changes.send_modify(|change| *change += 1);
        }
    }

    /// Waits until others have been told of all withdrawals so far, for [`TELL_TIMEOUT`] at most. If neither
    /// the store nor a peer can be reached, only this daemon knows of them.
    pub async fn until_told(&self) {
        let change = *self.changes.borrow();
        let mut known = self.known.subscribe();
        let told = known.wait_for(|known| *known >= change);
        if tokio::time::timeout(TELL_TIMEOUT, told).await.is_err() {
            tracing::warn!(event = "withdrawal-untold", remedy = "check the store and the peers");
        }
    }

    /// Returns a receiver of changes that has seen none.
    pub(crate) fn watch(&self) -> watch::Receiver<u64> {
        let mut changes = self.changes.subscribe();
        if *changes.borrow() > 0 {
            changes.mark_changed();
        }
        changes
    }

    /// Waits for the next change, and returns its number.
    pub(crate) async fn changed(&self, changes: &mut watch::Receiver<u64>) -> u64 {
        // Fails only without a sender, which lives as long as `self`.
        let _ = changes.changed().await;
        *changes.borrow_and_update()
    }

    /// Records that others know of a change.
    pub(crate) fn mark_known(&self, change: u64) {
        self.known.send_modify(|known| *known = change.max(*known));
    }

    /// Begins the time in which no announced run is used, since it may have withdrawn before the start.
    pub(crate) fn await_recall(&self) {
        self.recalled.store(false, Ordering::Release);
    }

    /// Whether announced runs may be used.
    pub fn are_recalled(&self) -> bool {
        self.recalled.load(Ordering::Acquire)
    }

    /// Ends the time in which no announced run is used. Returns whether it had not ended before.
    pub(crate) fn end_recall(&self) -> bool {
        !self.recalled.swap(true, Ordering::AcqRel)
    }
}

/// Adds `more` to the end of `known`, of which the last [`MAX_TOLD`] are kept. Returns whether one of them
/// was not known.
pub fn merge(known: &mut Vec<Withdrawn>, more: &[Withdrawn]) -> bool {
    let before = known.len();
    for withdrawn in more {
        if !known.contains(withdrawn) {
            known.push(withdrawn.clone());
        }
    }
    let is_changed = known.len() > before;
    known.drain(..known.len().saturating_sub(MAX_TOLD));
    is_changed
}
