//! Background tasks that update the shared state: admission, heartbeats, registration and the roster.
//!
//! Each runs at its own interval, most of them with jitter, and no request waits for a store request
//! made here.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::board::Board;
use crate::era;
use crate::error::StoreError;
use crate::log::LOG_INTERVAL;
use crate::member::{Record, View};
use crate::overload::DemandReport;
use crate::reported::Report;
use crate::roster::{self, Members, Roster};
use crate::shared::Shared;
use crate::store::{Commit, Row, Transaction};
use crate::time::{Time, jitter};

/// Mean interval between rounds of heartbeats when nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Peers per regular round of heartbeats, in the local failure domain and in others.
const HEARTBEAT_PEERS: (usize, usize) = (2, 1);

/// Peers per round of heartbeats after a change. Each daemon that learns of a VM that no longer accepts
/// requests forwards that to as many, so it reaches nearly all daemons in a few exchanges; regular
/// rounds bring it to the rest, and carry all other changes.
const UPDATE_PEERS: (usize, usize) = (4, 2);

/// Delay before a change is sent, so that one round carries a burst of changes.
const UPDATE_DELAY: Duration = Duration::from_millis(10);

/// Mean interval between scans of all members.
const SCAN_INTERVAL: Duration = Duration::from_secs(120);

/// Mean interval between scans until the registration and one scan have succeeded.
const FIRST_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between a VM's start and its joining the roster, so that VMs that start together are added in
/// one change.
const JOIN_DELAY: Duration = Duration::from_millis(2_500);

/// Mean interval between checks of the roster.
const ROSTER_INTERVAL: Duration = Duration::from_millis(500);

/// Number of checks for which a VM leaves settling the roster to its first member.
const SETTLE_DELAY_CHECKS: u32 = 6;

/// Mean delay between the begin of an era of the store and the registration of a VM in it, so that a
/// large fleet does not write all its rows at once.
const REGISTER_AGAIN_DELAY: Duration = Duration::from_millis(500);

/// Number of checks for which a VM leaves writing the roster in a new era of the store to its first
/// member.
const RENEW_DELAY_CHECKS: u32 = 1;

/// Mean pause before the store is told of a withdrawal again.
const TELL_AGAIN_PAUSE: Duration = Duration::from_secs(1);

/// Time without contact after which a failure domain, or the store, counts as unreachable.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Key prefix of the members' rows.
pub const MEMBERS: &str = "member/";

/// Interval between updates of the shares of requests that entries refuse.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(50);

/// Reports to services how much work is offered for them at this entry, and periodically updates the
/// shares of requests that the entry refuses because those services lack capacity.
pub async fn admission(shared: Arc<Shared>) {
    loop {
        let board = &shared.board;
        let due = board.clock.now() + ADMISSION_INTERVAL;
        tokio::time::sleep(ADMISSION_INTERVAL).await;
        board.record_timer_lag(board.clock.now().since(due));
        board.check_recall();
        let (policy, tables) = (board.policy.load_full(), board.tables.load_full());
        board.feedback.set_reporters(board.read_view(View::len));
        let due = board.feedback.due_reports(&policy, &tables, board.clock.now());
        let reports = due.iter().map(|(service, report)| report_demand(&shared, service, *report));
        futures::future::join_all(reports).await;
        board.feedback.update_refused_shares(&policy, &tables, board.clock.now());
    }
}

/// Logs the load of this daemon and its backend server every second, and updates the slots that it offers.
pub async fn load_logs(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        shared.board.log_load();
        shared.board.refresh_offered_slots();
    }
}

/// Reports offered work to the first reachable instance of a service, and records the overload status
/// that it returns. Taking the first makes all entries report to the same one.
async fn report_demand(shared: &Shared, service: &str, report: DemandReport) {
    let board = &shared.board;
    let now = board.clock.now();
    let instances = board.instances.load_full();
    let Some(first) =
        instances.for_service(service).iter().find(|instance| !instance.is_unreachable(now))
    else {
        return;
    };
    let status = if first.vm == board.settings.vm {
        Some(board.record_demand(&first.vm, report))
    } else {
        shared.peers.report_demand(shared, first.control, report).await
    };
    match status {
        Some(status) => board.feedback.record_status(service, status, board.clock.now()),
        None => first.record_connection_failure(board.clock.now()),
    }
}

/// Exchanges heartbeats with a few members, regularly and at once after a change, and derives the
/// instances that accept requests.
pub async fn heartbeats(shared: Arc<Shared>) {
    let board = &shared.board;
    let mut contacts = Contacts::default();
    loop {
        let interval = tokio::time::sleep(jitter(HEARTBEAT_INTERVAL));
        let count = tokio::select! {
            () = interval => HEARTBEAT_PEERS,
            () = board.heartbeat_due.notified() => {
                tokio::time::sleep(UPDATE_DELAY).await;
                UPDATE_PEERS
            }
        };
        let answered = heartbeat_round(&shared, count).await;
        let now = board.clock.now();
        for peer in answered {
            contacts.record(&peer.domain, now);
        }
        board.set_isolated(contacts.is_isolated(&shared, now));
        board.refresh();
    }
}

/// Exchanges heartbeats with `count` members concurrently. Returns those that answered.
async fn heartbeat_round(shared: &Shared, count: (usize, usize)) -> Vec<Record> {
    let board = &shared.board;
    let (me, domain) = (&board.settings.vm, &board.settings.failure_domain);
    let peers = board.read_view(|view| view.sample_peers(me, domain, count, &mut rand::rng()));
    let exchanges = peers.iter().map(|peer| exchange_heartbeat(shared, peer));
    let answered = futures::future::join_all(exchanges).await;
    let pairs = peers.into_iter().zip(answered);
    pairs.filter(|(_, answered)| *answered).map(|(peer, _)| peer).collect()
}

/// Sends this VM's state to a few members at once, because the daemon is about to exit.
pub async fn notify_peers(shared: &Shared) {
    heartbeat_round(shared, UPDATE_PEERS).await;
}

async fn exchange_heartbeat(shared: &Shared, peer: &Record) -> bool {
    let answered = shared.peers.exchange_heartbeat(shared, peer).await;
    if !answered {
        shared.board.update_view(|view, now| view.mark_suspect(&peer.vm, now));
    }
    answered
}

/// Time of the last contact with each failure domain.
#[derive(Debug, Default)]
struct Contacts {
    domains: BTreeMap<String, Time>,
}

impl Contacts {
    fn record(&mut self, domain: &str, now: Time) {
        self.domains.insert(domain.to_owned(), now);
    }

    /// Whether both the store and at least one other failure domain have been unreachable for
    /// [`CONTACT_TIMEOUT`]. As long as every other domain answers, a change known in any of them
    /// also arrives here.
    fn is_isolated(&self, shared: &Shared, now: Time) -> bool {
        if now.since(shared.board.confirmed()) <= CONTACT_TIMEOUT {
            return false;
        }
        let others = other_domains(&shared.board);
        let silent = |domain: &String| {
            self.domains.get(domain).is_none_or(|contact| now.since(*contact) > CONTACT_TIMEOUT)
        };
        others.iter().any(silent)
    }
}

/// Returns the other failure domains: those of known members, or those of the document while no other
/// domain's member is known. A fleet of one failure domain has none and so is never isolated.
fn other_domains(board: &Board) -> BTreeSet<String> {
    let mine = &board.settings.failure_domain;
    let known: BTreeSet<String> = board.read_view(|view| {
        let domains = view.iter().map(|member| member.record.domain.clone());
        domains.filter(|domain| domain != mine).collect()
    });
    if !known.is_empty() {
        return known;
    }
    let declared = &board.policy.load().domains;
    declared.iter().filter(|domain| *domain != mine).cloned().collect()
}

/// Registers this VM in the store once, and scans the members there periodically. Later changes of a
/// member are carried by heartbeats.
pub async fn registration(shared: Arc<Shared>) {
    let mut registered = false;
    let mut era = shared.store.watch_era();
    loop {
        if !registered {
            let first_contact = shared.store.era().number == 0;
            registered = register(&shared).await.is_ok();
            shared.board.mark_consulted();
            if first_contact {
                era.borrow_and_update();
            }
        }
        let scanned = scan(&shared).await.is_ok();
        let settled = registered && scanned;
        let interval = if settled { SCAN_INTERVAL } else { FIRST_SCAN_INTERVAL };
        let renewed = async {
            // The first answer of the store tells its era; only a later one loses rows.
            while era.changed().await.is_ok() {
                if registered {
                    return;
                }
            }
            std::future::pending::<()>().await;
        };
        tokio::select! {
            () = tokio::time::sleep(jitter(interval)) => {}
            () = renewed => {
                tokio::time::sleep(jitter(REGISTER_AGAIN_DELAY)).await;
                registered = false;
                continue;
            }
        }
        // Also find a roster that no heartbeat has announced, though late.
        if settled && let Err(error) = read_roster(&shared).await {
            record_failure(&shared, &error);
        }
    }
}

/// Writes this VM's row, unless a daemon of the same name with a later start has written it.
async fn register(shared: &Shared) -> Result<(), StoreError> {
    let key = format!("{MEMBERS}{}", shared.board.settings.vm);
    let mut version = 0;
    // Most VMs have no row yet, so try the write before reading the row.
    for _ in 0..2 {
        let record = shared.board.record();
        let transaction = Transaction::default().check(&key, version).put(&key, &record);
        if let Commit::Done(_) = shared.store.commit(&transaction).await? {
            if version == 0 {
                shared.board.mark_first_start();
            }
            return Ok(());
        }
        let Some(row) = shared.store.row(&key).await? else { continue };
        if let Some(old) = decode_member(shared, &row) {
            shared.board.recall(&old.withdrawn);
            if old.incarnation > record.incarnation {
                return Ok(());
            }
        }
        version = row.version;
    }
    Err(StoreError::Refused(format!(
        "row {key} was changed by another writer during both attempts to write it"
    )))
}

/// Tells peers and the store of each withdrawal of the local backend server. Either keeps it through an end of
/// this daemon; both are told, since each may be away or lose it.
pub async fn withdrawals(shared: Arc<Shared>) {
    let withdrawals = &shared.board.withdrawals;
    let mut changes = withdrawals.watch();
    loop {
        let change = withdrawals.changed(&mut changes).await;
        let tell_store = async {
            let stored = register(&shared).await;
            match &stored {
                Ok(()) => withdrawals.mark_known(change),
                Err(error) => record_failure(&shared, error),
            }
            stored.is_ok()
        };
        let tell_peers = async {
            let peers = heartbeat_round(&shared, UPDATE_PEERS).await.len();
            if peers > 0 {
                withdrawals.mark_known(change);
            }
            peers
        };
        let (stored, peers) = tokio::join!(tell_store, tell_peers);
        tracing::info!(event = "withdrawal-told", vm = shared.board.settings.vm, stored, peers);
        if !stored {
            tokio::time::sleep(jitter(TELL_AGAIN_PAUSE)).await;
            changes.mark_changed();
        }
    }
}

/// Decodes a member's row. Returns `None` if it does not hold a valid record of the VM that it is named
/// after.
fn decode_member(shared: &Shared, row: &Row) -> Option<Record> {
    shared.store.decode(row, |record: &Record| {
        if row.key.strip_prefix(MEMBERS) != Some(&record.vm) {
            return Err(format!("the record is one of {}", record.vm));
        }
        record.validate()
    })
}

async fn scan(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let rows = shared.store.scan(MEMBERS).await?.rows;
    let records: Vec<Record> = rows.iter().filter_map(|row| decode_member(shared, row)).collect();
    let me = &board.settings.vm;
    board.mark_members_scanned();
    board.update_view(|view, now| {
        for record in records.into_iter().filter(|record| record.vm != *me) {
            view.merge(record, now);
        }
    });
    Ok(())
}

/// Keeps this VM in the roster, follows newer rosters and settles them, until the daemon exits.
pub async fn rosters(shared: Arc<Shared>) {
    tokio::join!(follow_rosters(&shared), keep_roster(&shared));
}

/// Fetches newer rosters from the daemons that report them.
async fn follow_rosters(shared: &Shared) {
    let mut reports = shared.board.newest_roster.follow();
    loop {
        let report = reports.next(|| shared.board.roster.load().version).await;
        fetch_roster(shared, &report).await;
    }
}

/// Fetches a roster from the daemon that reported it, and from the store if it does not come from there.
async fn fetch_roster(shared: &Shared, report: &Report) {
    let board = &shared.board;
    // Most daemons rarely send requests to the store; they learn of a new era from the roster.
    shared.store.observe_era(era::of_version(report.version));
    if let Some(roster) = shared.peers.roster(shared, report.control).await {
        board.install_roster(roster);
    }
    if report.version > board.roster.load().version
        && let Err(error) = read_roster(shared).await
    {
        record_failure(shared, &error);
    }
}

async fn keep_roster(shared: &Shared) {
    let board = &shared.board;
    if let Err(error) = read_roster(shared).await {
        record_failure(shared, &error);
    }
    tokio::time::sleep(jitter(JOIN_DELAY)).await;
    let (mut unsettled, mut outdated) = (0, 0);
    loop {
        let renewed = board.roster.load().renew(shared.store.era().number);
        outdated = if renewed.is_some() { outdated + 1 } else { 0 };
        if let Some(renewed) = renewed {
            if may_renew(board, outdated)
                && let Err(error) = write_roster(shared, renewed).await
            {
                record_failure(shared, &error);
            }
            tokio::time::sleep(jitter(ROSTER_INTERVAL)).await;
            continue;
        }
        unsettled = if board.roster.load().settled.is_some() { unsettled + 1 } else { 0 };
        if let Some(next) = next_roster(board, unsettled)
            && let Err(error) = write_roster(shared, next).await
        {
            record_failure(shared, &error);
        }
        tokio::time::sleep(jitter(ROSTER_INTERVAL)).await;
    }
}

/// Whether this VM should write the roster again in a new era of the store: the first member at once,
/// the others only if that has not happened after [`RENEW_DELAY_CHECKS`] checks. A VM that is not in the
/// roster may have read it from the store's older copy, so it leaves that to the members as long as it
/// knows any.
fn may_renew(board: &Board, checks: u32) -> bool {
    let roster = board.roster.load();
    let me = &board.settings.vm;
    let is_first = roster.members.keys().next() == Some(me);
    let is_member = roster.members.contains_key(me);
    let waited = if is_member { RENEW_DELAY_CHECKS } else { 2 * SETTLE_DELAY_CHECKS };
    !board.is_leaving() && (is_first || checks > waited)
}

/// Returns the roster that this VM should write next, if any. If this VM is not in the roster, the next
/// one adds it together with all live members that it knows of and that are not in it yet. If a change
/// is pending that all members have acknowledged, except for those that are gone, the next one marks it
/// as settled; the first member writes that one, and others only if the change is still pending after [`SETTLE_DELAY_CHECKS`] checks.
fn next_roster(board: &Board, unsettled: u32) -> Option<Roster> {
    if board.is_leaving() {
        return None;
    }
    let (me, roster) = (&board.settings.vm, board.roster.load());
    let now = board.clock.now();
    if !roster.members.contains_key(me) {
        return roster.join(&board.read_view(|view| live_members(view, now)));
    }
    let mine = unsettled > SETTLE_DELAY_CHECKS || roster.members.keys().next() == Some(me);
    if unsettled == 0 || !mine {
        return None;
    }
    board.read_view(|view| roster.settle_among(view, now))
}

fn live_members(view: &View, now: Time) -> Members {
    let live = view.iter().filter(|member| member.is_live(now));
    live.map(|member| (member.record.vm.clone(), member.record.domain.clone())).collect()
}

/// Reads the roster, and returns the version of its row.
///
/// A damaged row is written again by a daemon that holds the roster. One that holds none must not take
/// its own VM for the only one of the roster while others may hold it.
async fn read_roster(shared: &Shared) -> Result<u64, StoreError> {
    let board = &shared.board;
    let Some(row) = shared.store.row(roster::KEY).await? else { return Ok(0) };
    let era = shared.store.era().number;
    match shared.store.decode(&row, |roster: &Roster| roster.validate(era)) {
        Some(roster) => drop(board.install_roster(roster)),
        None if board.roster.load().version == 0 => {
            return Err(StoreError::Refused(format!("the row {} is damaged", roster::KEY)));
        }
        None => {}
    }
    Ok(row.version)
}

/// Writes the next roster, unless another was written since the one that it was derived from.
async fn write_roster(shared: &Shared, next: Roster) -> Result<(), StoreError> {
    let row = read_roster(shared).await?;
    let held = shared.board.roster.load();
    let era = shared.store.era().number;
    let follows = held.version + 1 == next.version || held.renew(era).as_ref() == Some(&next);
    if !follows {
        return Ok(());
    }
    let transaction = Transaction::default().check(roster::KEY, row).put(roster::KEY, &next);
    // If the answer is lost, the next check reads the row.
    if let Commit::Done(_) = shared.store.commit(&transaction).await? {
        shared.board.install_roster(next);
    }
    Ok(())
}

/// Removes this VM from the roster and from the members, before it leaves permanently.
///
/// # Errors
///
/// Returns an error when a store request fails; the VM's shares then stay unused.
pub async fn hand_back(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let me = &board.settings.vm;
    board.release_shares();
    loop {
        let row = read_roster(shared).await?;
        let roster = board.roster.load();
        let roster = roster.renew(shared.store.era().number).unwrap_or_else(|| (**roster).clone());
        let Some(next) = roster.leave(me) else { break };
        let transaction = Transaction::default()
            .check(roster::KEY, row)
            .put(roster::KEY, &next)
            .delete(&format!("{MEMBERS}{me}"));
        if let Commit::Done(_) = shared.store.commit(&transaction).await? {
            board.install_roster(next);
            break;
        }
    }
    Ok(())
}

fn record_failure(shared: &Shared, error: &StoreError) {
    let board = &shared.board;
    board.metrics.platform_failures.inc();
    tracing::debug!(event = "platform-failed", vm = board.settings.vm, %error);
}
