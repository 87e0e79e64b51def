//! The state that daemons exchange periodically, and what a daemon takes from it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::Record;
use crate::quarantine::SuspectReport;
use crate::reported::Report;
use crate::runs::Withdrawn;
use crate::shared::Shared;
use crate::sync::lock;

/// The state that two daemons exchange periodically.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The record of the sender.
    pub record: Record,
    /// Recently changed records of other members, which the sender forwards.
    pub rumors: Vec<Record>,
    /// The version of the document that is in force at the sender.
    pub document: u64,
    /// The version of the roster that the sender holds.
    pub roster: u64,
    /// Time since the store last confirmed the sender's document, to the sender or to a peer that
    /// reported it, in milliseconds.
    pub age_ms: u32,
    /// Reports of requests that crashed backend servers.
    pub suspects: Vec<SuspectReport>,
    /// Runs that have withdrawn beside the receiver, as far as the sender knows, since the receiver may have
    /// started again.
    pub withdrawn: Vec<Withdrawn>,
}

/// Returns the heartbeat of this daemon for the one of `receiver`.
pub(super) fn own_heartbeat(shared: &Shared, receiver: &str) -> Heartbeat {
    let board = &shared.board;
    let age = board.clock.now().since(board.confirmed());
    Heartbeat {
        record: board.record(),
        rumors: board.update_view(|view, _| view.take_rumors()),
        document: board.policy.load().version,
        roster: board.roster.load().version,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        suspects: lock(&board.quarantine).recent_reports(board.clock.now()),
        withdrawn: board.read_view(|view| view.withdrawn(receiver)),
    }
}

/// Merges the state that a peer sent. If a record marks this VM as suspect, this daemon refutes it by
/// publishing a new record.
pub(super) fn merge_heartbeat(shared: &Shared, heartbeat: Heartbeat) {
    let board = &shared.board;
    let is_valid = |record: &Record| is_valid(shared, record);
    if !is_valid(&heartbeat.record) {
        return;
    }
    let (control, reporter) = (heartbeat.record.control, heartbeat.record.vm.clone());
    let me = &board.settings.vm;
    let rumors = heartbeat.rumors.into_iter().filter(is_valid);
    let records = std::iter::once(heartbeat.record).chain(rumors);
    let (own, others): (Vec<_>, Vec<_>) = records.partition(|record| record.vm == *me);
    let suspected = own.iter().any(|r| r.suspect && r.incarnation == board.incarnation);
    if board.update_view(|view, now| view.merge_heartbeat(others, now)) {
        board.heartbeat_due.notify_one();
    }
    if !heartbeat.suspects.is_empty() {
        board.update_quarantine(|quarantine, now| quarantine.merge(&heartbeat.suspects, now));
    }
    if suspected {
        board.publish_self();
    }
    board.recall(&heartbeat.withdrawn);
    // The store's confirmation counts only if the sender's document and roster are at least as new as
    // the ones held here.
    let current = heartbeat.document >= board.policy.load().version
        && heartbeat.roster >= board.roster.load().version;
    if current {
        board.confirm(board.clock.now() - Duration::from_millis(u64::from(heartbeat.age_ms)));
    }
    let now = board.clock.now();
    let document = Report { version: heartbeat.document, control, since: now };
    if board.newest_document.record(document) {
        let (vm, version) = (&board.settings.vm, document.version);
        tracing::info!(event = "document-reported", vm, version, by = reporter, %control);
    }
    board.mark_introduced();
    board.newest_roster.record(Report { version: heartbeat.roster, ..document });
}

/// Whether a record of a heartbeat names a VM. One that does not is logged, a few times a second at most.
fn is_valid(shared: &Shared, record: &Record) -> bool {
    let board = &shared.board;
    let Err(problem) = record.validate() else { return true };
    if let Some(weight) = board.log_sampler.weigh("record-invalid", board.clock.now()) {
        let remedy = "it is skipped; update the daemon that forwards it";
        tracing::warn!(event = "record-invalid", weight, vm = record.vm, problem, remedy);
    }
    false
}
