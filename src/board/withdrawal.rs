//! Withdrawals of the local backend server: those that it tells its daemon, and those that an earlier daemon
//! of this VM was told.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::{Board, PEER_VERSION_TIMEOUT};
use crate::announcement::{BackendServer, Rejection};
use crate::runs::{Withdrawal, Withdrawn};
use crate::sync::lock;
use crate::time::{self, Time};

/// Maximum time that a daemon waits after its start until the store has told which runs of its backend
/// server have withdrawn. By then all peers know of what one of them was told.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(500);

impl Board {
    /// Records that a run of the local backend server withdraws permanently: it gets no new requests, and a
    /// late announcement does not reverse that. `started` is 0 if the start of the run is not known.
    ///
    /// # Errors
    ///
    /// Returns an error if another run of the same id has announced itself since.
    pub fn withdraw(&self, id: &str, started: u64) -> Result<(), Rejection> {
        let mut runs = lock(&self.runs);
        let withdrawal = runs.withdraw(id, started, time::unix_millis());
        tracing::info!(event = "backend-withdrawn", id, started, ?withdrawal);
        if let Some(withdrawn) = runs.withdrawn().next_back().filter(|known| known.id == id) {
            self.withdrawals.add(std::slice::from_ref(withdrawn));
        }
        match withdrawal {
            Withdrawal::Newest => {
                if let Some(known) = self.backend.load_full() {
                    self.close_backend((*known).clone());
                }
                Ok(())
            }
            Withdrawal::Unannounced => {
                self.publish_self();
                Ok(())
            }
            Withdrawal::OtherRun => Err(Rejection::OtherRun),
        }
    }

    /// Records runs that have withdrawn or drained beside an earlier daemon of this VM, as the store or a peer
    /// tells. If the local backend server is one of them, it gets no more requests.
    pub fn recall(&self, withdrawn: &[Withdrawn]) {
        if withdrawn.is_empty() {
            return;
        }
        let mut runs = lock(&self.runs);
        let told = self.withdrawals.told();
        let is_new =
            |left: &&Withdrawn| !told.contains(left) && !runs.withdrawn().any(|run| run == *left);
        let withdrawn: Vec<Withdrawn> = withdrawn.iter().filter(is_new).cloned().collect();
        if withdrawn.is_empty() {
            return;
        }
        runs.recall(&withdrawn);
        self.withdrawals.add(&withdrawn);
        let known = self.backend.load_full();
        let has_left = |known: &Arc<BackendServer>| {
            withdrawn.iter().any(|left| left.contains(known)) && !known.draining
        };
        tracing::info!(event = "withdrawals-learned", vm = self.settings.vm, ?withdrawn);
        match known.filter(has_left) {
            Some(known) => {
                self.close_now();
                self.close_backend((*known).clone());
            }
            None => self.publish_self(),
        }
    }

    /// Lets others know that a run of the local backend server is leaving.
    pub(crate) fn tell_leaving(&self, backend: &BackendServer) {
        if let Some(withdrawn) = Withdrawn::of(backend) {
            self.withdrawals.add(&[withdrawn]);
        }
    }

    /// Uses announced runs of the local backend server from the moment at which the withdrawals before the
    /// start are known: the store was asked, and a peer has answered. Waits no longer than `CONSULT_TIMEOUT`
    /// for the store, and `PEER_VERSION_TIMEOUT` for a peer.
    pub(crate) fn check_recall(&self) {
        if self.withdrawals.are_recalled() {
            return;
        }
        let heard = self.introduced.load(Ordering::Acquire) || self.is_alone();
        let age = self.clock.now().since(Time::ZERO);
        let consulted = self.consulted.load(Ordering::Acquire) || age >= CONSULT_TIMEOUT;
        let waited = age >= PEER_VERSION_TIMEOUT;
        if ((heard && consulted) || waited) && self.withdrawals.end_recall() {
            tracing::info!(event = "withdrawals-recalled", vm = self.settings.vm, heard, consulted);
            self.publish_self();
        }
    }

    /// Records that the store was asked for the last record of this VM.
    pub(crate) fn mark_consulted(&self) {
        self.consulted.store(true, Ordering::Release);
    }
}
