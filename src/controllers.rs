//! Tasks that keep the blackboard up to date: the document, the members and the shares.
//!
//! Each loop reads, lets a pure decision say what to do, and carries it. A failing platform only makes
//! them late; the last view goes on serving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::board::Board;
use crate::document::CustomerId;
use crate::error::StoreError;
use crate::keeper::{Keeper, Reading, Term, Written};
use crate::lease::{self, Leases};
use crate::member::{Record, State};
use crate::share::{self, Ask, Fleet, Shares};
use crate::shared::Shared;
use crate::store::{Client, Commit, Row, Transaction};
use crate::tables::CustomerShare;
use crate::time::{Time, jitter};

/// Time between two rounds of heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// How often a VM looks whether its own record has changed.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Mean time between two scans of all members.
const SCAN_PERIOD: Duration = Duration::from_secs(120);

/// Mean time between two scans while few members are known or registration is pending.
const FIRST_SCAN_PERIOD: Duration = Duration::from_secs(1);

/// Scans at the shorter period after a start.
const FIRST_SCANS: u32 = 5;

/// Mean time between two renewals of the lease.
const SHARE_PERIOD: Duration = Duration::from_secs(4);

/// Time between two readings of all leases.
const LEASES_PERIOD: Duration = Duration::from_secs(20);

/// Time between two rounds while shares are moving.
const MOVING_PERIOD: Duration = Duration::from_millis(500);

/// How long a member may go unheard before this daemon takes its failure domain to be out of reach.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The prefix of members' rows.
pub const MEMBERS: &str = "member/";

/// The prefix of shares.
const SHARES: &str = "share/";

/// Exchanges heartbeats with a few members, and derives who takes work.
pub async fn heartbeats(shared: Arc<Shared>) {
    let board = &shared.board;
    let mut contacts = Contacts::default();
    loop {
        tokio::time::sleep(jitter(HEARTBEAT_PERIOD)).await;
        let (me, domain) = (&board.settings.vm, &board.settings.failure_domain);
        let partners = board.read_view(|view| view.partners(me, domain, &mut rand::rng()));
        let beats = partners.iter().map(|partner| beat(&shared, partner));
        let answered = futures::future::join_all(beats).await;
        let now = board.clock.now();
        for (partner, answered) in partners.iter().zip(answered) {
            if answered {
                contacts.heard(&partner.domain, now);
            }
        }
        board.set_isolated(contacts.is_isolated(&shared, now));
        board.refresh();
    }
}

async fn beat(shared: &Shared, partner: &Record) -> bool {
    let answered = shared.links.beat(shared, partner).await;
    if !answered {
        shared.board.update_view(|view, now| view.suspect(&partner.vm, now));
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
    fn is_isolated(&self, shared: &Shared, now: Time) -> bool {
        if !shared.store.is_silent(now, CONTACT_TIME) {
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

/// Registers this VM in the table, and reads the members from there.
pub async fn registration(shared: Arc<Shared>) {
    let board = &shared.board;
    let mut registered: Option<Record> = None;
    let mut scans = 0;
    loop {
        let record = board.record();
        if registered.as_ref() != Some(&record) && register(&shared, &record).await.is_ok() {
            registered = Some(record);
        }
        if scan(&shared).await.is_ok() {
            scans += 1;
        }
        let settled = scans >= FIRST_SCANS && registered.as_ref() == Some(&board.record());
        let period = if settled { SCAN_PERIOD } else { FIRST_SCAN_PERIOD };
        wait_for_change(board, registered.as_ref(), jitter(period)).await;
    }
}

/// Waits for `period`, or less when this VM's own record changes.
async fn wait_for_change(board: &Board, registered: Option<&Record>, period: Duration) {
    let end = board.clock.now() + period;
    while board.clock.now() < end {
        tokio::time::sleep(CHANGE_PERIOD.min(period)).await;
        if registered.is_some_and(|record| *record != board.record()) {
            return;
        }
    }
}

/// Writes this VM's row. Another daemon with the same name and a later start keeps its row.
async fn register(shared: &Shared, record: &Record) -> Result<(), StoreError> {
    let key = format!("{MEMBERS}{}", record.vm);
    let row = shared.store.row(&key).await?;
    let old: Option<Record> = row.as_ref().and_then(Row::decode);
    if old.is_some_and(|old| old.incarnation > record.incarnation) {
        return Ok(());
    }
    let version = row.map_or(0, |row| row.version);
    let transaction = Transaction::default().check(&key, version).put(&key, record);
    shared.store.commit(&transaction).await.map(drop)
}

async fn scan(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let rows = shared.store.scan(MEMBERS).await?.rows;
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
pub async fn shares(shared: Arc<Shared>) {
    let board = &shared.board;
    let mut known = Known::default();
    loop {
        let moved = match round(&shared, &mut known).await {
            Ok(moved) => moved,
            Err(error) => {
                note_failure(&shared, &error);
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

/// What the share controller keeps between rounds.
#[derive(Debug, Default)]
struct Known {
    leases: Leases,
    leases_read: Option<Time>,
    rows: SharedRows,
    keepers: BTreeMap<CustomerId, Keeper>,
}

/// The rows of all shares, kept up to date by reading only what has changed.
#[derive(Debug, Default)]
struct SharedRows {
    rows: BTreeMap<String, Row>,
    newest: u64,
}

impl SharedRows {
    async fn update(&mut self, store: &Client) -> Result<(), StoreError> {
        for row in store.changed(SHARES, self.newest).await?.rows {
            self.newest = self.newest.max(row.version);
            self.rows.insert(row.key.clone(), row);
        }
        Ok(())
    }
}

/// One round: renew, read, adopt, propose. Returns whether anything is still moving.
async fn round(shared: &Shared, known: &mut Known) -> Result<bool, StoreError> {
    let board = &shared.board;
    let policy = board.policy.load_full();
    if policy.version == 0 || board.is_leaving() {
        return Ok(true);
    }
    let sent = board.clock.now();
    renew(shared).await?;
    read_leases(shared, known).await?;
    known.rows.update(&shared.store).await?;
    let isolation = Duration::from_secs(policy.limits.isolation_s);
    let term = Term { lease_end: sent + share::LEASE, floor_end: sent + share::LEASE + isolation };
    let mut moved = false;
    for (id, customer, limit) in policy.limited() {
        let Some(share) = board.tables.load().shares.get(&id).cloned() else { continue };
        let key = format!("{SHARES}{}", customer.name);
        let row = known.rows.rows.get(&key);
        let reading = Reading { key: &key, row, leases: &known.leases, term };
        let keeper = known.keepers.entry(id).or_default();
        moved |= follow(shared, &share, reading, limit.burst, keeper).await?;
    }
    Ok(moved)
}

/// Reads all leases now and then: a lapse is noticed late rather than at the price of every round.
async fn read_leases(shared: &Shared, known: &mut Known) -> Result<(), StoreError> {
    let now = shared.board.clock.now();
    if known.leases_read.is_some_and(|read| now.since(read) < LEASES_PERIOD) {
        return Ok(());
    }
    let leases = shared.store.scan(lease::PREFIX).await?.rows;
    known.leases.note(&leases, shared.board.clock.now());
    known.leases_read = Some(now);
    Ok(())
}

async fn renew(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let me = &board.settings.vm;
    let row = shared.store.row(&lease::key(me)).await?;
    let transaction = lease::renew(me, board.incarnation, row.as_ref());
    match shared.store.commit(&transaction).await? {
        Commit::Done(_) => Ok(()),
        Commit::Conflict(_) => Err(StoreError::Refused("the lease was taken".to_owned())),
    }
}

/// Adopts one share and moves it towards its target.
async fn follow(
    shared: &Shared,
    share: &CustomerShare,
    reading: Reading<'_>,
    burst: f64,
    keeper: &mut Keeper,
) -> Result<bool, StoreError> {
    let board = &shared.board;
    let me = &board.settings.vm;
    let now = board.clock.now();
    let current: Shares = reading.row.and_then(Row::decode).unwrap_or_default();
    share.lenders.store(Arc::new(current.lenders(me).map(str::to_owned).collect()));
    let lapsed = reading.leases.lapsed(now);
    let proposal = {
        let mut holding = share.holding();
        let ask = Ask {
            vm: me,
            domain: &board.settings.failure_domain,
            demand: holding.demand(now),
            burst,
            lapsed: &lapsed,
            fleet: fleet(board),
        };
        keeper.propose(&mut holding, reading, &ask, now)
    };
    let Some(proposal) = proposal else { return Ok(false) };
    let result = shared.store.commit(&proposal.transaction).await;
    let written = match result {
        Ok(Commit::Done(_)) => Written::Done,
        Ok(Commit::Conflict(_)) => Written::Conflict,
        Err(_) => Written::Lost,
    };
    keeper.resolve(&mut share.holding(), &proposal, written, reading.term, board.clock.now());
    result.map(|_| true)
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
pub async fn hand_back(shared: &Shared) -> Result<(), StoreError> {
    let board = &shared.board;
    let me = &board.settings.vm;
    let now = board.clock.now();
    for share in board.tables.load().shares.values() {
        share.holding().shrink(0, now);
    }
    for row in shared.store.scan(SHARES).await?.rows {
        hand_back_row(&shared.store, me, row).await?;
    }
    let key = format!("{MEMBERS}{me}");
    shared.store.commit(&Transaction::default().delete(&key)).await.map(drop)
}

async fn hand_back_row(store: &Client, me: &str, mut row: Row) -> Result<(), StoreError> {
    loop {
        let Some(shares) = row.decode::<Shares>() else { return Ok(()) };
        if !shares.owners.contains_key(me) {
            return Ok(());
        }
        let next = shares.without(me);
        let transaction = Transaction::default().check(&row.key, row.version).put(&row.key, &next);
        if let Commit::Done(_) = store.commit(&transaction).await? {
            return Ok(());
        }
        let Some(newer) = store.row(&row.key).await? else { return Ok(()) };
        row = newer;
    }
}

fn note_failure(shared: &Shared, error: &StoreError) {
    let board = &shared.board;
    board.metrics.platform_failures.inc();
    tracing::debug!(event = "platform-failed", vm = board.settings.vm, error = %error);
}
