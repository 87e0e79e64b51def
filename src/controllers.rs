//! Tasks that keep the blackboard up to date: the document, the members and the shares.
//!
//! Each loop reads, lets a pure decision say what to do, and carries it. A failing platform only makes
//! them late; the last view goes on serving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::board::{Board, CustomerShare};
use crate::control;
use crate::document::{Document, Policy};
use crate::error::PlatformError;
use crate::member::{Record, State};
use crate::platform::{Client, Commit, Row, Transaction};
use crate::publish::{self, Body, Head};
use crate::share::{self, Ask, Fleet, Shares};
use crate::time::Time;

/// Mean time between two looks at the document's head.
const DOCUMENT_PERIOD: Duration = Duration::from_millis(1_500);

/// Time between two rounds of heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Mean time between two scans of all members.
const SCAN_PERIOD: Duration = Duration::from_secs(60);

/// Mean time between two scans while few members are known or registration is pending.
const FIRST_SCAN_PERIOD: Duration = Duration::from_secs(1);

/// Scans at the shorter period after a start.
const FIRST_SCANS: u32 = 5;

/// Mean time between two renewals of the lease.
const SHARE_PERIOD: Duration = Duration::from_secs(4);

/// Time between two rounds while shares are moving.
const MOVING_PERIOD: Duration = Duration::from_millis(500);

/// How long a member may go unheard before this daemon takes its failure domain to be out of reach.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The prefix of members' rows.
pub const MEMBERS: &str = "member/";

/// The prefix of leases.
const LEASES: &str = "lease/";

/// The prefix of shares.
const SHARES: &str = "share/";

/// Follows the document: polls the head, and fetches from a peer what it heard of there.
pub async fn documents(board: Arc<Board>) {
    let mut heard = board.newer.subscribe();
    poll_head(&board).await;
    loop {
        tokio::select! {
            () = tokio::time::sleep(jitter(DOCUMENT_PERIOD)) => poll_head(&board).await,
            _ = heard.changed() => {
                let source = *heard.borrow_and_update();
                fetch_from_peer(&board, source).await;
            }
        }
    }
}

async fn poll_head(board: &Board) {
    let row = match board.platform.row(publish::HEAD).await {
        Ok(row) => row,
        Err(error) => return note_failure(board, &error),
    };
    let Some(head) = row.as_ref().and_then(Row::decode::<Head>) else { return };
    if head.version <= board.policy.load().version {
        return;
    }
    match publish::fetch(&board.platform, &head).await {
        Ok(body) => install(board, body),
        Err(error) => tracing::warn!(event = "document-unreadable", error = %error),
    }
}

async fn fetch_from_peer(board: &Board, source: control::Source) {
    if source.version <= board.policy.load().version {
        return;
    }
    if let Some(body) = control::fetch(board, source.control).await {
        install(board, body);
    }
}

fn install(board: &Board, body: Body) {
    let document = match Document::parse(&body.sections.join(), "the document in force") {
        Ok(document) => document,
        Err(error) => return tracing::error!(event = "document-invalid", error = %error),
    };
    let policy = Policy::compile(&document, body.version, &board.policy.load());
    let version = body.version;
    if board.install(policy) {
        board.document.store(Some(Arc::new(body)));
        tracing::info!(event = "document-in-force", vm = board.settings.vm, version);
    }
}

/// Exchanges heartbeats with a few members, and derives who takes work.
pub async fn heartbeats(board: Arc<Board>) {
    let mut contacts = Contacts::default();
    loop {
        tokio::time::sleep(jitter(HEARTBEAT_PERIOD)).await;
        let (me, domain) = (&board.settings.vm, &board.settings.failure_domain);
        let partners = board.read_view(|view| view.partners(me, domain, &mut rand::rng()));
        let beats = partners.iter().map(|partner| beat(&board, partner));
        let answered = futures::future::join_all(beats).await;
        let now = board.clock.now();
        for (partner, answered) in partners.iter().zip(answered) {
            if answered {
                contacts.heard(&partner.domain, now);
            }
        }
        board.set_isolated(contacts.is_isolated(&board, now));
        board.refresh();
    }
}

async fn beat(board: &Board, partner: &Record) -> bool {
    let answered = control::beat(board, partner).await;
    if !answered {
        board.update_view(|view, now| view.suspect(&partner.vm, now));
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
    /// too. So this one is cut off only when the platform and another failure domain are silent.
    fn is_isolated(&self, board: &Board, now: Time) -> bool {
        if !board.platform.is_silent(now, CONTACT_TIME) {
            return false;
        }
        let mine = &board.settings.failure_domain;
        let others: BTreeSet<String> = board.read_view(|view| {
            let domains = view.iter().map(|member| member.record.domain.clone());
            domains.filter(|domain| domain != mine).collect()
        });
        let silent = |domain: &String| {
            self.domains.get(domain).is_none_or(|heard| now.since(*heard) > CONTACT_TIME)
        };
        others.is_empty() || others.iter().any(silent)
    }
}

/// Registers this VM in the table, and reads the members from there.
pub async fn registration(board: Arc<Board>) {
    let mut registered: Option<Record> = None;
    let mut scans = 0;
    loop {
        let record = board.record();
        if registered.as_ref() != Some(&record) && register(&board, &record).await.is_ok() {
            registered = Some(record);
        }
        if scan(&board).await.is_ok() {
            scans += 1;
        }
        let settled = scans >= FIRST_SCANS && registered.as_ref() == Some(&board.record());
        let period = if settled { SCAN_PERIOD } else { FIRST_SCAN_PERIOD };
        wait_for_change(&board, registered.as_ref(), jitter(period)).await;
    }
}

/// Waits for `period`, or less when this VM's own record changes.
async fn wait_for_change(board: &Board, registered: Option<&Record>, period: Duration) {
    let end = board.clock.now() + period;
    while board.clock.now() < end {
        tokio::time::sleep(HEARTBEAT_PERIOD.min(period)).await;
        if registered.is_some_and(|record| *record != board.record()) {
            return;
        }
    }
}

/// Writes this VM's row. Another daemon with the same name and a later start keeps its row.
async fn register(board: &Board, record: &Record) -> Result<(), PlatformError> {
    let key = format!("{MEMBERS}{}", record.vm);
    let row = board.platform.row(&key).await?;
    let old: Option<Record> = row.as_ref().and_then(Row::decode);
    if old.is_some_and(|old| old.incarnation > record.incarnation) {
        return Ok(());
    }
    let version = row.map_or(0, |row| row.version);
    let transaction = Transaction::default().check(&key, version).put(&key, record);
    board.platform.commit(&transaction).await.map(drop)
}

async fn scan(board: &Board) -> Result<(), PlatformError> {
    let rows = board.platform.scan(MEMBERS).await?;
    let records: Vec<Record> = rows.iter().filter_map(Row::decode).collect();
    let me = &board.settings.vm;
    board.update_view(|view, now| {
        for record in records.into_iter().filter(|record| record.vm != *me) {
            view.merge(record, now);
        }
    });
    Ok(())
}

/// Renews this VM's lease and moves its shares towards the demand.
pub async fn shares(board: Arc<Board>) {
    let mut known = Known::default();
    loop {
        let moved = match round(&board, &mut known).await {
            Ok(moved) => moved,
            Err(error) => {
                note_failure(&board, &error);
                true
            }
        };
        let period = if moved { MOVING_PERIOD } else { SHARE_PERIOD };
        tokio::select! {
            () = tokio::time::sleep(jitter(period)) => {}
            () = board.installed.notified() => {}
        }
    }
}

/// One VM's lease, renewed by counting up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Lease {
    incarnation: u64,
    count: u64,
}

/// What the share controller keeps between rounds.
#[derive(Debug, Default)]
struct Known {
    leases: Leases,
    /// Rows that a write of unknown outcome may still change. Until a later write to the same row
    /// rules that out, the share may only become smaller.
    doubtful: BTreeSet<String>,
}

/// Leases of other VMs as this one has seen them, by its own clock.
#[derive(Debug, Default)]
struct Leases {
    seen: BTreeMap<String, Seen>,
}

/// A version of a lease and when it was first seen.
#[derive(Debug)]
struct Seen {
    version: u64,
    first: Time,
}

impl Leases {
    fn note(&mut self, rows: &[Row], now: Time) {
        for row in rows {
            let Some(vm) = row.key.strip_prefix(LEASES) else { continue };
            match self.seen.get_mut(vm) {
                Some(seen) if seen.version == row.version => {}
                _ => {
                    let seen = Seen { version: row.version, first: now };
                    self.seen.insert(vm.to_owned(), seen);
                }
            }
        }
    }

    /// VMs whose leases have not changed for longer than they are good for.
    fn lapsed(&self, now: Time) -> BTreeSet<String> {
        let bound = share::LEASE + share::LEASE_MARGIN;
        let old = self.seen.iter().filter(|(_, seen)| now.since(seen.first) > bound);
        old.map(|(vm, _)| vm.clone()).collect()
    }

    fn version(&self, vm: &str) -> u64 {
        self.seen.get(vm).map_or(0, |seen| seen.version)
    }
}

/// One round: renew, read, adopt, plan. Returns whether anything is still moving.
async fn round(board: &Board, known: &mut Known) -> Result<bool, PlatformError> {
    let policy = board.policy.load_full();
    if policy.version == 0 || board.is_leaving() {
        return Ok(true);
    }
    let sent = board.clock.now();
    renew(board).await?;
    known.leases.note(&board.platform.scan(LEASES).await?, board.clock.now());
    let rows = board.platform.scan(SHARES).await?;
    let rows: BTreeMap<&str, &Row> = rows.iter().map(|row| (row.key.as_str(), row)).collect();
    let isolation = Duration::from_secs(policy.limits.isolation_s);
    let term = Term { lease_end: sent + share::LEASE, floor_end: sent + share::LEASE + isolation };
    let mut moved = false;
    for (id, customer) in policy.customers() {
        let Some(share) = board.tables.load().shares.get(&id).cloned() else { continue };
        let key = format!("{SHARES}{}", customer.name);
        let row = rows.get(key.as_str()).copied();
        let current: Shares = row.and_then(Row::decode).unwrap_or_default();
        let place = Place { key: &key, row, burst: customer.burst };
        moved |= follow(board, &share, &place, &current, term, known).await?;
    }
    Ok(moved)
}

/// Until when a share is good, if it is not renewed.
#[derive(Debug, Clone, Copy)]
struct Term {
    lease_end: Time,
    floor_end: Time,
}

/// One customer's row.
#[derive(Debug)]
struct Place<'a> {
    key: &'a str,
    row: Option<&'a Row>,
    burst: f64,
}

async fn renew(board: &Board) -> Result<(), PlatformError> {
    let key = format!("{LEASES}{}", board.settings.vm);
    let row = board.platform.row(&key).await?;
    let old: Option<Lease> = row.as_ref().and_then(Row::decode);
    let count = old.map_or(0, |lease| lease.count) + 1;
    let lease = Lease { incarnation: board.incarnation, count };
    let version = row.map_or(0, |row| row.version);
    let transaction = Transaction::default().check(&key, version).put(&key, &lease);
    match board.platform.commit(&transaction).await? {
        Commit::Done(_) => Ok(()),
        Commit::Conflict(_) => Err(PlatformError::Refused("the lease was taken".to_owned())),
    }
}

/// Adopts one share and moves it towards its target.
async fn follow(
    board: &Board,
    share: &CustomerShare,
    place: &Place<'_>,
    current: &Shares,
    term: Term,
    known: &mut Known,
) -> Result<bool, PlatformError> {
    let me = &board.settings.vm;
    let now = board.clock.now();
    let doubtful = known.doubtful.contains(place.key);
    let own = current.owners.get(me).map_or(0, |owner| owner.parts);
    let demand = {
        let mut holding = share.holding();
        let parts = if doubtful { own.min(holding.parts()) } else { own };
        holding.adopt(parts, term.lease_end, term.floor_end, now);
        holding.demand(now)
    };
    share.lenders.store(Arc::new(current.lenders(me).map(str::to_owned).collect()));
    let lapsed = known.leases.lapsed(now);
    let ask = Ask {
        vm: me,
        domain: &board.settings.failure_domain,
        demand,
        burst: place.burst,
        lapsed: &lapsed,
        fleet: fleet(board),
    };
    let next = current.plan(&ask);
    if next == *current && !doubtful {
        return Ok(false);
    }
    let parts = next.owners.get(me).map_or(0, |owner| owner.parts);
    share.holding().shrink(parts, board.clock.now());
    known.doubtful.insert(place.key.to_owned());
    let transaction = reassignment(place, current, &next, &known.leases);
    let commit = board.platform.commit(&transaction).await?;
    known.doubtful.remove(place.key);
    if let Commit::Done(_) = commit {
        let now = board.clock.now();
        let mut holding = share.holding();
        holding.adopt(parts, term.lease_end, term.floor_end, now);
        if place.row.is_none() {
            holding.fill(now);
        }
    }
    Ok(true)
}

/// The transaction from one row to the next. A renewal that comes in between must win over a
/// reassignment, so the leases of those who lose a share are checked.
fn reassignment(
    place: &Place<'_>,
    current: &Shares,
    next: &Shares,
    leases: &Leases,
) -> Transaction {
    let version = place.row.map_or(0, |row| row.version);
    let mut transaction = Transaction::default().check(place.key, version).put(place.key, next);
    for (vm, owner) in &current.owners {
        let loses = next.owners.get(vm).is_none_or(|next| next.lapsed);
        if loses && !owner.lapsed {
            transaction = transaction.check(&format!("{LEASES}{vm}"), leases.version(vm));
        }
    }
    transaction
}

fn fleet(board: &Board) -> Fleet {
    board.read_view(|view| {
        let live = || view.iter().filter(|member| member.record.state != State::Leaving);
        let domains: BTreeSet<&str> = live().map(|member| member.record.domain.as_str()).collect();
        Fleet { vms: live().count(), domains: domains.len() }
    })
}

/// Hands this VM's shares back, so that nobody has to wait for its lease to lapse.
///
/// # Errors
///
/// Returns a platform error when the table cannot be written; the shares then lapse.
pub async fn hand_back(board: &Board) -> Result<(), PlatformError> {
    let me = &board.settings.vm;
    let now = board.clock.now();
    for share in board.tables.load().shares.values() {
        share.holding().shrink(0, now);
    }
    for row in board.platform.scan(SHARES).await? {
        hand_back_row(&board.platform, me, row).await?;
    }
    let key = format!("{MEMBERS}{me}");
    board.platform.commit(&Transaction::default().delete(&key)).await.map(drop)
}

async fn hand_back_row(platform: &Client, me: &str, mut row: Row) -> Result<(), PlatformError> {
    loop {
        let Some(shares) = row.decode::<Shares>() else { return Ok(()) };
        if !shares.owners.contains_key(me) {
            return Ok(());
        }
        let next = shares.without(me);
        let transaction = Transaction::default().check(&row.key, row.version).put(&row.key, &next);
        if let Commit::Done(_) = platform.commit(&transaction).await? {
            return Ok(());
        }
        let Some(newer) = platform.row(&row.key).await? else { return Ok(()) };
        row = newer;
    }
}

fn note_failure(board: &Board, error: &PlatformError) {
    board.metrics.platform_failures.inc();
    tracing::debug!(event = "platform-failed", vm = board.settings.vm, error = %error);
}

/// A time near `period`, so that daemons do not act in step.
fn jitter(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.8..1.2))
}
