//! The blackboard: everything that controllers write and the path of a request reads.
//!
//! Controllers replace whole sections (read-copy-update); a request loads a snapshot and atomics. No
//! lock is held across an await. docs/DESIGN.md, "Blackboard", lists who writes which section.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};

use crate::announcement::{BackendServer, LastAnnouncement, usable_slots};
use crate::document::{Policy, RawDocument};
use crate::envelope::ReachedService;
use crate::feedback::Feedback;
use crate::gate::Gate;
use crate::instance::Instances;
use crate::journal::Journal;
use crate::live::LiveTable;
use crate::log::Sampler;
use crate::member::{Record, State, View};
use crate::metrics::Metrics;
use crate::overload::OverloadController;
use crate::quarantine::Quarantine;
use crate::roster::Roster;
use crate::settings::Settings;
use crate::shedding::SheddingDetector;
use crate::sync::lock;
use crate::tables::Tables;
use crate::time::{Clock, Throttle, Time};
use crate::timings::Timings;

/// The longest that a daemon that has just started waits to hear which document is in force. Another one
/// answers within a round of heartbeats, or cannot be reached.
const INTRODUCTION_TIME: Duration = Duration::from_millis(1_500);

/// Where a document or a roster was heard of that is newer than the own one.
#[derive(Debug, Clone, Copy)]
pub struct Newer {
    /// Its version.
    pub version: u64,
    /// The control address of a daemon that has it.
    pub control: SocketAddr,
}

impl Default for Newer {
    fn default() -> Self {
        Self { version: 0, control: SocketAddr::from(([0, 0, 0, 0], 0)) }
    }
}

/// All state that the tasks of one daemon share.
#[derive(Debug)]
pub struct Board {
    /// The daemon's settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The document in force, compiled. The document controller writes it.
    pub policy: ArcSwap<Policy>,
    /// The document in force as it was written, for peers. The document controller writes it.
    pub document: ArcSwapOption<RawDocument>,
    /// State that follows the policy. The document controller writes it.
    pub tables: ArcSwap<Tables>,
    /// Members as controllers see them.
    view: Mutex<View>,
    /// Members as the path of a request sees them. The member controller writes it.
    pub instances: ArcSwap<Instances>,
    /// What the local backend server announced.
    pub backend: ArcSwapOption<BackendServer>,
    announced: Mutex<LastAnnouncement>,
    /// Admission to the local backend server.
    pub gate: Arc<Gate>,
    /// Requests that run on the local backend server.
    pub live: LiveTable,
    /// Who shares the customers' rates. The roster controller writes it.
    pub roster: ArcSwap<Roster>,
    /// What is known of services beyond this daemon. Answers and the admission controller write it.
    pub feedback: Feedback,
    pub(crate) overload: Mutex<OverloadController>,
    pub(crate) shedding: SheddingDetector,
    pub(crate) overload_log: Throttle,
    /// Bounds the lines about refusals and late answers.
    pub log_sampler: Sampler,
    /// How this daemon and its backend server have been doing.
    pub timings: Timings,
    /// Told whenever there is something that other daemons should hear at once.
    pub heartbeat_due: Notify,
    /// Where a newer document was heard of.
    pub newer_document: watch::Sender<Newer>,
    /// Where a newer roster was heard of.
    pub newer_roster: watch::Sender<Newer>,
    /// The last refusals.
    pub journal: Journal,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Grows with each start of the daemon.
    pub incarnation: u64,
    /// Requests that crashed backend servers.
    pub quarantine: Mutex<Quarantine>,
    pub(crate) has_suspects: AtomicBool,
    pub(crate) suspect_running: AtomicBool,
    in_flight: AtomicUsize,
    counter: AtomicU64,
    leaving: AtomicBool,
    closing: AtomicU64,
    isolated_since: AtomicU64,
    confirmed: AtomicU64,
    first_start: AtomicBool,
    introduced: AtomicBool,
    scanned: AtomicBool,
    /// Set once, when the first document may be served.
    current: AtomicBool,
    /// When the first document was there, in microseconds.
    has_document: AtomicU64,
}

impl Board {
    /// Makes the blackboard of a daemon that is about to start.
    pub fn new(settings: Settings, clock: Clock, incarnation: u64) -> Self {
        let policy = Policy::empty();
        let longest_wait = Duration::from_millis(policy.limits.queue_ms);
        Self {
            clock,
            policy: ArcSwap::from_pointee(policy),
            document: ArcSwapOption::empty(),
            tables: ArcSwap::default(),
            view: Mutex::default(),
            instances: ArcSwap::default(),
            backend: ArcSwapOption::empty(),
            announced: Mutex::default(),
            gate: Arc::new(Gate::new(clock, longest_wait)),
            live: LiveTable::default(),
            roster: ArcSwap::default(),
            feedback: Feedback::default(),
            overload: Mutex::default(),
            shedding: SheddingDetector::default(),
            overload_log: Throttle::default(),
            log_sampler: Sampler::default(),
            timings: Timings::default(),
            heartbeat_due: Notify::new(),
            newer_document: watch::Sender::default(),
            newer_roster: watch::Sender::default(),
            journal: Journal::default(),
            metrics: Metrics::new(),
            incarnation,
            quarantine: Mutex::default(),
            has_suspects: AtomicBool::new(false),
            suspect_running: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            counter: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            closing: AtomicU64::new(u64::MAX),
            isolated_since: AtomicU64::new(u64::MAX),
            confirmed: AtomicU64::new(0),
            first_start: AtomicBool::new(false),
            introduced: AtomicBool::new(false),
            scanned: AtomicBool::new(false),
            current: AtomicBool::new(false),
            has_document: AtomicU64::new(u64::MAX),
            settings,
        }
    }

    /// Puts a document in force. Lower versions are ignored, so that none ever comes back.
    pub fn install(&self, policy: Policy) -> bool {
        if policy.version <= self.policy.load().version {
            return false;
        }
        let now = self.clock.now();
        let tables = self.tables.load().follow(&policy, now);
        self.gate.set_longest_wait(Duration::from_millis(policy.limits.queue_ms));
        self.metrics.document_version.set(policy.version as i64);
        self.tables.store(Arc::new(tables));
        self.policy.store(Arc::new(policy));
        self.share_out();
        self.refresh();
        self.heartbeat_due.notify_one();
        true
    }

    /// Takes over a roster. Lower versions are ignored.
    pub fn install_roster(&self, roster: Roster) -> bool {
        if roster.version <= self.roster.load().version {
            return false;
        }
        let (version, settled) = (roster.version, roster.settled.is_none());
        tracing::info!(event = "roster", version, members = roster.members.len(), settled);
        // Nobody has admitted anything before the first roster, so its shares start full. One who has
        // been here before may have forgotten what it admitted.
        let founds = roster.epoch == 1 && self.roster.load().epoch == 0;
        self.roster.store(Arc::new(roster));
        self.share_out();
        if founds && self.first_start.load(Ordering::Acquire) {
            let now = self.clock.now();
            for share in self.tables.load().shares.values() {
                share.bucket().fill(now);
            }
        }
        // The new record tells the others that this VM knows the roster.
        self.publish_self();
        true
    }

    /// Works out this VM's shares from the roster and the document.
    fn share_out(&self) {
        let (policy, tables, roster) = (self.policy.load(), self.tables.load(), self.roster.load());
        let (me, now) = (&self.settings.vm, self.clock.now());
        for (id, customer, limit) in policy.rate_limited_customers() {
            let Some(share) = tables.shares.get(&id) else { continue };
            let fraction = roster.share(me, &customer.name, limit.burst);
            share.bucket().set_fraction(fraction, now);
            let lenders = roster.lenders(me, &customer.name, limit.burst);
            share.lenders.store(Arc::new(lenders));
        }
    }

    /// Notes that no VM of this name has been in the fleet before.
    pub fn mark_first_start(&self) {
        self.first_start.store(true, Ordering::Release);
    }

    /// Uses no share any longer, before others may.
    pub fn release_shares(&self) {
        let now = self.clock.now();
        for share in self.tables.load().shares.values() {
            share.bucket().set_fraction(0.0, now);
        }
    }

    /// Whether the local backend server has gone or is going, so that a planned stop is for good.
    pub fn is_retiring(&self) -> bool {
        self.backend.load().as_ref().is_none_or(|backend| backend.draining)
    }

    /// When the store last confirmed what is in force, to this daemon or to one that told it.
    pub fn confirmed(&self) -> Time {
        Time::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    /// Notes that the store confirmed at `then` what is in force.
    pub fn confirm(&self, then: Time) {
        self.confirmed.fetch_max(then.as_micros(), Ordering::Relaxed);
    }

    /// Changes the members and derives the instances from them.
    pub fn update_view<T>(&self, change: impl FnOnce(&mut View, Time) -> T) -> T {
        let now = self.clock.now();
        let mut view = lock(&self.view);
        let result = change(&mut view, now);
        let policy = self.policy.load();
        let domain = &self.settings.failure_domain;
        let next = self.instances.load().derive(&view, &policy, domain, now);
        self.instances.store(Arc::new(next));
        result
    }

    /// Reads the members.
    pub fn read_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&lock(&self.view))
    }

    /// Derives the instances again, for what changes with time or with the document.
    pub fn refresh(&self) {
        self.update_view(|_, _| ());
    }

    /// Takes an announcement of the local backend server. One that is older than what was heard before
    /// changes nothing.
    pub fn announce(&self, backend: BackendServer) {
        let mut announced = lock(&self.announced);
        if announced.supersedes(&backend) {
            let (id, sequence) = (&backend.id, backend.sequence);
            return tracing::info!(event = "announcement-outdated", id, sequence);
        }
        let (started, sequence) = (backend.started, backend.sequence);
        *announced =
            LastAnnouncement { id: backend.id.clone(), started, sequence, withdrawn: false };
        let known = self.backend.load();
        if known.as_ref().is_some_and(|known| known.has_same_state(&backend)) {
            return;
        }
        if backend.draining {
            self.close_soon();
        } else if !self.is_leaving() {
            self.closing.store(u64::MAX, Ordering::Release);
        }
        tracing::info!(
            event = "backend-announced",
            id = backend.id,
            service = backend.service,
            draining = backend.draining,
        );
        // A backend server that drains keeps its slots for what is already here.
        let slots = usable_slots(backend.slots);
        self.backend.store(Some(Arc::new(backend)));
        self.gate.set_slots(slots);
        self.publish_self();
    }

    /// Takes the word of the local backend server that it leaves for good: it gets nothing new, and a
    /// late announcement does not bring it back.
    pub fn withdraw(&self, id: &str, started: u64) {
        let mut announced = lock(&self.announced);
        if announced.id != id || (started != 0 && started != announced.started) {
            return;
        }
        announced.withdrawn = true;
        tracing::info!(event = "backend-withdrawn", id);
        let Some(known) = self.backend.load_full() else { return };
        self.close_soon();
        self.backend.store(Some(Arc::new(BackendServer { draining: true, ..(*known).clone() })));
        self.publish_self();
    }

    /// Whether the local backend server takes new work.
    ///
    /// One that leaves goes on taking it for a moment, until the others have heard.
    pub fn is_ready(&self) -> bool {
        let closing = Time::from_micros(self.closing.load(Ordering::Acquire));
        self.backend.load().is_some() && self.clock.now() < closing
    }

    fn close_soon(&self) {
        let span = Duration::from_millis(self.settings.limits.leave_ms);
        let closing = (self.clock.now() + span).as_micros();
        self.closing.fetch_min(closing, Ordering::AcqRel);
    }

    /// The service of the backend server on this VM; empty while it is not known.
    pub fn own_service(&self) -> String {
        let announced = self.backend.load().as_ref().map(|backend| backend.service.clone());
        announced.unwrap_or_else(|| self.settings.service.clone())
    }

    /// Whether this daemon can serve callers: it knows a document that is current and is not leaving.
    pub fn is_serving(&self) -> bool {
        self.is_current() && !self.is_leaving()
    }

    /// Whether the document may be served. A daemon that has just started may have read an old one from
    /// a store that answers late, so it first hears from another daemon which one is in force. It waits
    /// for that no longer than [`INTRODUCTION_TIME`], and not at all where nobody else is known.
    pub fn is_current(&self) -> bool {
        if self.current.load(Ordering::Acquire) {
            return true;
        }
        let version = self.policy.load().version;
        if version == 0 {
            return false;
        }
        let now = self.clock.now();
        let since = self.has_document.fetch_min(now.as_micros(), Ordering::AcqRel);
        let heard = self.introduced.load(Ordering::Acquire)
            && self.newer_document.borrow().version <= version;
        let alone = self.scanned.load(Ordering::Acquire) && self.read_view(View::len) <= 1;
        let waited = now.since(Time::from_micros(since)) >= INTRODUCTION_TIME;
        let current = heard || alone || waited;
        if current {
            self.current.store(true, Ordering::Release);
            tracing::info!(event = "serving", vm = self.settings.vm, version, heard, alone);
        }
        current
    }

    /// Notes that another daemon has said which document and roster it knows.
    pub fn mark_introduced(&self) {
        self.introduced.store(true, Ordering::Release);
    }

    /// Notes that the members were read from the store.
    pub fn mark_members_scanned(&self) {
        self.scanned.store(true, Ordering::Release);
    }

    /// Forgets where a version was heard of that could not be fetched there, so that the next word of it
    /// is followed.
    pub fn forget_newer(&self, newer: &watch::Sender<Newer>, version: u64) {
        tracing::info!(event = "newer-unfetched", vm = self.settings.vm, version);
        newer.send_if_modified(|newest| {
            if newest.version == version {
                newest.version = 0;
            }
            false
        });
    }

    /// All metrics in the text format of Prometheus.
    pub fn render_metrics(&self) -> String {
        let load = self.gate.load();
        self.metrics.in_flight.set(i64::from(load.in_flight));
        self.metrics.queued.set(i64::from(load.queued));
        self.metrics.render()
    }

    /// Starts a planned stop: new work goes elsewhere.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.close_soon();
        self.publish_self();
    }

    /// Whether nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.load(Ordering::Acquire) == 0 && self.live.is_empty()
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Puts this VM's new record into the view, from where heartbeats spread it.
    pub fn publish_self(&self) {
        self.counter.fetch_add(1, Ordering::AcqRel);
        let record = self.record();
        self.update_view(|view, now| view.merge(record, now));
        self.heartbeat_due.notify_one();
    }

    /// This VM's record.
    pub fn record(&self) -> Record {
        let backend = self.backend.load();
        let state = match backend.as_ref() {
            _ if self.is_leaving() => State::Leaving,
            Some(backend) if !backend.draining => State::Ready,
            _ => State::Waiting,
        };
        Record {
            vm: self.settings.vm.clone(),
            incarnation: self.incarnation,
            counter: self.counter.load(Ordering::Acquire),
            state,
            suspect: false,
            domain: self.settings.failure_domain.clone(),
            service: backend.as_ref().map(|b| b.service.clone()).unwrap_or_default(),
            slots: backend.as_ref().map_or(0, |b| b.slots),
            sheds: self.shedding.is_shedding(),
            epoch: self.roster.load().epoch,
            peers: self.settings.listen.peers,
            control: self.settings.listen.control,
            operators: self.settings.listen.operators,
        }
    }

    /// Notes whether this failure domain is cut off.
    pub fn set_isolated(&self, isolated: bool) {
        let since = self.isolated_since.load(Ordering::Relaxed);
        match (isolated, since) {
            (false, _) => self.isolated_since.store(u64::MAX, Ordering::Relaxed),
            (true, u64::MAX) => {
                self.isolated_since.store(self.clock.now().as_micros(), Ordering::Relaxed);
            }
            (true, _) => {}
        }
    }

    /// How long this failure domain has been cut off, if it is.
    pub fn isolated_for(&self) -> Option<Duration> {
        let since = self.isolated_since.load(Ordering::Relaxed);
        (since != u64::MAX).then(|| self.clock.now().since(Time::from_micros(since)))
    }

    /// Lends another VM a token of this VM's share of a customer's rate, if there is one.
    pub fn lend(&self, customer: &str) -> bool {
        let id = self.policy.load().customer_id(customer);
        let tables = self.tables.load();
        let share = id.and_then(|id| tables.shares.get(&id));
        share.is_some_and(|share| share.bucket().lend(self.clock.now()))
    }

    /// Learns from an answer where requests of the route lead.
    pub fn record_reached(&self, route: &str, reach: &[ReachedService]) {
        if reach.is_empty() {
            return;
        }
        if let Some(state) = self.tables.load().routes.get(route) {
            state.record_work(reach);
        }
    }
}

/// Counts a request that this daemon works on, until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    board: Arc<Board>,
}

impl InFlight {
    /// Counts one more.
    pub fn count(board: &Arc<Board>) -> Self {
        board.in_flight.fetch_add(1, Ordering::AcqRel);
        Self { board: Arc::clone(board) }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.board.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
