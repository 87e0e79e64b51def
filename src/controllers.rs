//! Tasks that keep sections of the blackboard up to date: heartbeats, registration and the roster.
//!
//! Each acts at its own pace with jitter, so that no request ever waits for the store here.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::board::{Board, Newer};
use crate::error::StoreError;
use crate::log::LOG_INTERVAL;
use crate::member::{Record, View};
use crate::roster::{self, Members, Roster};
use crate::shared::Shared;
use crate::store::{Commit, Row, Transaction};
use crate::time::{Time, jitter};

/// Time between two rounds of heartbeats at rest.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Heartbeat partners at rest, in the own failure domain and beyond.
const PARTNERS: (usize, usize) = (2, 1);

/// Heartbeat partners for news. Whoever hears news passes it on to as many, so that it reaches nearly
/// everyone in a few exchanges; rounds at rest bring it to the others.
const NEWS_PARTNERS: (usize, usize) = (4, 2);

/// How long news is gathered before it is passed on, so that one round carries a burst of changes.
const NEWS_PAUSE: Duration = Duration::from_millis(10);

/// Mean time between two scans of all members.
const SCAN_PERIOD: Duration = Duration::from_secs(120);

/// Mean time between two scans while registration is pending.
const FIRST_SCAN_PERIOD: Duration = Duration::from_secs(1);

/// How long a VM waits after its start before it joins the roster, so that VMs that start together
/// are entered together.
const JOIN_PAUSE: Duration = Duration::from_millis(2_500);

/// How often the roster is looked at.
const ROSTER_PERIOD: Duration = Duration::from_millis(500);

/// How many looks a VM leaves the settling of the roster to the first of its members.
const SETTLE_PATIENCE: u32 = 6;

/// How long a member may go unheard before this daemon takes its failure domain to be out of reach.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The prefix of members' rows.
pub const MEMBERS: &str = "member/";

/// How often it is decided anew what entries refuse.
const ADMISSION_PERIOD: Duration = Duration::from_millis(50);

/// Tells services how much work is offered here for them, and decides again and again which requests this
/// entry refuses for want of room there.
pub async fn admission(shared: Arc<Shared>) {
    loop {
        let board = &shared.board;
        let due = board.clock.now() + ADMISSION_PERIOD;
        tokio::time::sleep(ADMISSION_PERIOD).await;
        board.record_timer_lag(board.clock.now().since(due));
        let (policy, tables) = (board.policy.load_full(), board.tables.load_full());
        let due = board.feedback.due_reports(&policy, &tables, board.clock.now());
        let asks = due.iter().map(|(service, work)| ask_room(&shared, service, *work));
        futures::future::join_all(asks).await;
        board.feedback.update_refused_shares(&policy, &tables, board.clock.now());
    }
}

/// Writes every second how this daemon and its backend server are doing.
pub async fn load_lines(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LOG_INTERVAL).await;
        shared.board.log_load();
    }
}

/// Asks the first instance of a service that can be reached, so that all entries ask the same one.
async fn ask_room(shared: &Shared, service: &str, work: f64) {
    let board = &shared.board;
    let now = board.clock.now();
    let instances = board.instances.load_full();
    let Some(first) =
        instances.for_service(service).iter().find(|instance| !instance.is_unreachable(now))
    else {
        return;
    };
    let status = if first.vm == board.settings.vm {
        Some(board.report_offered_work(&first.vm, work))
    } else {
        shared.peers.report_offered_work(shared, first.control, work).await
    };
    match status {
        Some(status) => board.feedback.record_status(service, status, board.clock.now()),
        None => first.record_connection_failure(board.clock.now()),
    }
}

/// Exchanges heartbeats with a few members, at rest and at once on news, and derives who takes work.
pub async fn heartbeats(shared: Arc<Shared>) {
    let board = &shared.board;
    let mut contacts = Contacts::default();
    loop {
        let at_rest = tokio::time::sleep(jitter(HEARTBEAT_PERIOD));
        let count = tokio::select! {
            () = at_rest => PARTNERS,
            () = board.heartbeat_due.notified() => {
                tokio::time::sleep(NEWS_PAUSE).await;
                NEWS_PARTNERS
            }
        };
        let answered = beat_round(&shared, count).await;
        let now = board.clock.now();
        for partner in answered {
            contacts.heard(&partner.domain, now);
        }
        board.set_isolated(contacts.is_isolated(&shared, now));
        board.refresh();
    }
}

/// Exchanges heartbeats with so many members at once. Returns those that answered.
async fn beat_round(shared: &Shared, count: (usize, usize)) -> Vec<Record> {
    let board = &shared.board;
    let (me, domain) = (&board.settings.vm, &board.settings.failure_domain);
    let partners = board.read_view(|view| view.sample_peers(me, domain, count, &mut rand::rng()));
    let beats = partners.iter().map(|partner| beat(shared, partner));
    let answered = futures::future::join_all(beats).await;
    let pairs = partners.into_iter().zip(answered);
    pairs.filter(|(_, answered)| *answered).map(|(partner, _)| partner).collect()
}

/// Tells a few members at once what this VM knows, because it is about to end.
pub async fn tell_others(shared: &Shared) {
    beat_round(shared, NEWS_PARTNERS).await;
}

async fn beat(shared: &Shared, partner: &Record) -> bool {
    let answered = shared.peers.exchange_heartbeat(shared, partner).await;
    if !answered {
        shared.board.update_view(|view, now| view.mark_suspect(&partner.vm, now));
    }
    answered
}

/// When each other failure domain was last heard.
#[derive(Debug, Default)]
struct Contacts {
    domains: BTreeMap<String, Time>,
}

impl Contacts {
    fn heard(&mut self, domain: &str, now: Time) {
        self.domains.insert(domain.to_owned(), now);
    }

    /// While every other failure domain is heard, a change that any of them learns of arrives here
    /// too. So this one is cut off only when the store and another failure domain are silent.
    fn is_isolated(&self, shared: &Shared, now: Time) -> bool {
        if now.since(shared.board.confirmed()) <= CONTACT_TIME {
            return false;
        }
        let others = other_domains(&shared.board);
        let silent = |domain: &String| {
            self.domains.get(domain).is_none_or(|heard| now.since(*heard) > CONTACT_TIME)
        };
        others.iter().any(silent)
    }
}

/// Failure domains beyond the own one: those of known members, or before any is known those of the
/// document. A fleet of one failure domain has none, and cannot be cut off from itself.
fn other_domains(board: &Board) -> BTreeSet<String> {
    let mine = &board.settings.failure_domain;
    let known: BTreeSet<String> = board.read_view(|view| {
        let domains = view.iter().map(|member| member.record.domain.clone());
        domains.filter(|domain| domain != mine).collect()
    });
    if !known.is_empty() {
        return known;
    }
    let written = &board.policy.load().domains;
    written.iter().filter(|domain| *domain != mine).cloned().collect()
}

/// Registers this VM in the store once, and reads the members from there. Changes of a registered
/// member travel with heartbeats.
pub async fn registration(shared: Arc<Shared>) {
    let mut registered = false;
    loop {
        if !registered {
            registered = register(&shared).await.is_ok();
        }
        let scanned = scan(&shared).await.is_ok();
        let settled = registered && scanned;
        let period = if settled { SCAN_PERIOD } else { FIRST_SCAN_PERIOD };
        tokio::time::sleep(jitter(period)).await;
        // A roster that no heartbeat brought here is noticed late, and not never.
        if settled && let Err(error) = read_roster(&shared).await {
            note_failure(&shared, &error);
        }
    }
}

/// Writes this VM's row. Another daemon with the same name and a later start keeps its row.
async fn register(shared: &Shared) -> Result<(), StoreError> {
    let record = shared.board.record();
    let key = format!("{MEMBERS}{}", record.vm);
    let mut version = 0;
    // Most VMs have no row yet, so the write is tried before the row is read.
    for _ in 0..2 {
        let transaction = Transaction::default().check(&key, version).put(&key, &record);
        if let Commit::Done(_) = shared.store.commit(&transaction).await? {
            if version == 0 {
                shared.board.mark_first_start();
            }
            return Ok(());
        }
        let Some(row) = shared.store.row(&key).await? else { continue };
        let old: Option<Record> = row.decode();
        if old.is_some_and(|old| old.incarnation > record.incarnation) {
            return Ok(());
        }
        version = row.version;
    }
    Err(StoreError::Refused(format!("{key} keeps changing")))
}

async fn scan(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let rows = shared.store.scan(MEMBERS).await?.rows;
    let records: Vec<Record> = rows.iter().filter_map(Row::decode).collect();
    let me = &board.settings.vm;
    board.mark_members_scanned();
    board.update_view(|view, now| {
        for record in records.into_iter().filter(|record| record.vm != *me) {
            view.merge(record, now);
        }
    });
    Ok(())
}

/// Keeps this VM in the roster and settles it, until the daemon ends.
pub async fn rosters(shared: Arc<Shared>) {
    tokio::join!(follow_rosters(&shared), keep_roster(&shared));
}

/// Fetches a newer roster from the daemon that told of it, or from the store when that one has gone.
async fn follow_rosters(shared: &Shared) {
    let mut heard = shared.board.newer_roster.subscribe();
    while heard.changed().await.is_ok() {
        let Newer { version, control } = *heard.borrow_and_update();
        if version <= shared.board.roster.load().version {
            continue;
        }
        match shared.peers.roster(shared, control).await {
            Some(roster) => drop(shared.board.install_roster(roster)),
            None => {
                if let Err(error) = read_roster(shared).await {
                    note_failure(shared, &error);
                    shared.board.forget_newer(&shared.board.newer_roster, version);
                }
            }
        }
    }
}

async fn keep_roster(shared: &Shared) {
    let board = &shared.board;
    if let Err(error) = read_roster(shared).await {
        note_failure(shared, &error);
    }
    tokio::time::sleep(jitter(JOIN_PAUSE)).await;
    let mut unsettled = 0;
    loop {
        unsettled = if board.roster.load().settled.is_some() { unsettled + 1 } else { 0 };
        if let Some(next) = next_roster(board, unsettled)
            && let Err(error) = write_roster(shared, next).await
        {
            note_failure(shared, &error);
        }
        tokio::time::sleep(jitter(ROSTER_PERIOD)).await;
    }
}

/// The change of the roster that this VM should make, if any: it enters itself, with whom else it knows,
/// and settles what everyone knows.
fn next_roster(board: &Board, unsettled: u32) -> Option<Roster> {
    if board.is_leaving() {
        return None;
    }
    let (me, roster) = (&board.settings.vm, board.roster.load());
    let now = board.clock.now();
    if !roster.members.contains_key(me) {
        return roster.join(&board.read_view(|view| live_members(view, now)));
    }
    let mine = unsettled > SETTLE_PATIENCE || roster.members.keys().next() == Some(me);
    if unsettled == 0 || !mine {
        return None;
    }
    board.read_view(|view| {
        let knows = |record: &Record| record.epoch >= roster.epoch;
        let informed = view.iter().map(|member| &member.record).filter(|record| knows(record));
        roster.settle(&informed.map(|record| record.vm.as_str()).collect())
    })
}

fn live_members(view: &View, now: Time) -> Members {
    let live = view.iter().filter(|member| member.is_live(now));
    live.map(|member| (member.record.vm.clone(), member.record.domain.clone())).collect()
}

async fn read_roster(shared: &Shared) -> Result<u64, StoreError> {
    let Some(row) = shared.store.row(roster::KEY).await? else { return Ok(0) };
    let roster: Option<Roster> = row.decode();
    let damaged = || StoreError::Refused(format!("the row {} is damaged", roster::KEY));
    shared.board.install_roster(roster.ok_or_else(damaged)?);
    Ok(row.version)
}

/// Writes the next roster, if nobody wrote another since the one that it was made from.
async fn write_roster(shared: &Shared, next: Roster) -> Result<(), StoreError> {
    let row = read_roster(shared).await?;
    if shared.board.roster.load().version + 1 != next.version {
        return Ok(());
    }
    let transaction = Transaction::default().check(roster::KEY, row).put(roster::KEY, &next);
    // After a lost answer the next look reads what stands in the row.
    if let Commit::Done(_) = shared.store.commit(&transaction).await? {
        shared.board.install_roster(next);
    }
    Ok(())
}

/// Takes this VM out of the roster and of the members, before it leaves for good.
///
/// # Errors
///
/// Returns an error when the store cannot be written; the VM's shares then stay unused.
pub async fn hand_back(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let me = &board.settings.vm;
    board.release_shares();
    loop {
        let row = read_roster(shared).await?;
        let Some(next) = board.roster.load().leave(me) else { break };
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

fn note_failure(shared: &Shared, error: &StoreError) {
    let board = &shared.board;
    board.metrics.platform_failures.inc();
    tracing::debug!(event = "platform-failed", vm = board.settings.vm, %error);
}
