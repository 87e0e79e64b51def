//! The state that requests and background tasks share.
//!
//! Background tasks (controllers) replace whole sections by read-copy-update; a request reads a
//! snapshot and atomics. No lock is held across an await. docs/DESIGN.md, "Blackboard", lists the
//! writer of each section.

mod in_flight;
mod shutdown;
mod withdrawal;

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::Notify;

pub use self::in_flight::InFlight;
use crate::allowance;
use crate::announcement::{BackendServer, Identity};
use crate::document::{Policy, RawDocument};
use crate::envelope::ReachedService;
use crate::feedback::Feedback;
use crate::gate::Gate;
use crate::instance::Instances;
use crate::journal::Journal;
use crate::live::LiveTable;
use crate::log::Sampler;
use crate::member::{MAX_SLOTS, Record, State, View};
use crate::metrics::Metrics;
use crate::notices::Noticed;
use crate::overload::OverloadController;
use crate::quarantine::Quarantine;
use crate::reported::NewestReport;
use crate::roster::Roster;
use crate::runs::Runs;
use crate::settings::Settings;
use crate::shedding::SheddingDetector;
use crate::sync::lock;
use crate::tables::Tables;
use crate::time::{Clock, Throttle, Time};
use crate::timings::Timings;
use crate::withdrawals::Withdrawals;

/// Maximum time that a daemon waits after its start to learn from a peer which document is in force. A
/// peer that does not answer within one round of heartbeats is unreachable.
const PEER_VERSION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// All state that the tasks of one daemon share.
#[derive(Debug)]
pub struct Board {
    /// The daemon's settings.
    pub settings: Settings,
    /// The process's clock.
    pub clock: Clock,
    /// The document in force, compiled. Written by the document controller.
    pub policy: ArcSwap<Policy>,
    /// The source text of the document in force, for peers. Written by the document controller.
    pub document: ArcSwapOption<RawDocument>,
    /// State per service, route and customer of the policy. Written by the document controller.
    pub tables: ArcSwap<Tables>,
    /// Membership records, as controllers use them.
    view: Mutex<View>,
    /// Instances derived from the members, as requests use them. Derived again when the members or the
    /// document change, and after each round of heartbeats.
    pub instances: ArcSwap<Instances>,
    /// What the settings say of the local backend server. Written when they are read again.
    pub(crate) identity: ArcSwap<Identity>,
    /// The last announcement of the local backend server.
    pub backend: ArcSwapOption<BackendServer>,
    /// The runs of the local backend server, to ignore announcements that arrive late.
    pub(crate) runs: Mutex<Runs>,
    /// The runs of the local backend server that have withdrawn, as others are told of them.
    pub withdrawals: Withdrawals,
    /// Admission to the local backend server.
    pub gate: Arc<Gate>,
    /// Requests that are running on the local backend server.
    pub live: LiveTable,
    /// The VMs that share the customers' rates. Written by the roster controller.
    pub roster: ArcSwap<Roster>,
    /// Load of the services that requests reach. Written from answers and by the admission controller.
    pub feedback: Feedback,
    /// Computes the share of requests to refuse from the work that entries report to this daemon.
    pub(crate) overload: Mutex<OverloadController>,
    /// Detects that the local backend server refuses everything.
    pub(crate) shedding: SheddingDetector,
    /// What the local backend server has told about itself in its answers.
    pub(crate) noticed: Mutex<Noticed>,
    /// Limits the log lines about limits that cannot be read.
    pub(crate) notice_log: Throttle,
    /// Limits the log lines about announcements that name no backend server to use.
    pub(crate) rejection_log: Throttle,
    /// Limits the log lines about overload of the local service.
    pub(crate) overload_log: Throttle,
    /// Limits the number of log lines about refusals and late answers.
    pub log_sampler: Sampler,
    /// Timings of this daemon and its backend server since the last log line.
    pub timings: Timings,
    /// Notified when a change should reach other daemons at once, ahead of the next heartbeat.
    pub heartbeat_due: Notify,
    /// The newest document that a peer has reported.
    pub newest_document: NewestReport,
    /// The newest roster that a peer has reported.
    pub newest_roster: NewestReport,
    /// The most recent refusals and waits.
    pub journal: Journal,
    /// Counters and gauges.
    pub metrics: Metrics,
    /// Increases with each start of the daemon.
    pub incarnation: u64,
    /// Fingerprints of requests that crashed backend servers.
    pub quarantine: Mutex<Quarantine>,
    /// Whether the quarantine has any entries, so that most requests need no fingerprint.
    pub(crate) has_suspects: AtomicBool,
    /// Whether a suspected request is running on this VM.
    pub(crate) suspect_running: AtomicBool,
    /// Number of requests in flight in this daemon.
    in_flight: AtomicUsize,
    /// Increases with each change of this VM's membership record.
    counter: AtomicU64,
    /// Whether a graceful shutdown has begun.
    leaving: AtomicBool,
    /// Time from which the local backend server accepts no new requests, in microseconds; `u64::MAX`
    /// while none is scheduled.
    pub(crate) closing: AtomicU64,
    /// Time at which a graceful shutdown gives up on requests, in microseconds; `u64::MAX` before one
    /// has begun.
    stop_deadline: AtomicU64,
    /// Time since which this failure domain is isolated, in microseconds; `u64::MAX` while it is not.
    isolated_since: AtomicU64,
    /// Time at which the store last confirmed the document in force, in microseconds.
    confirmed: AtomicU64,
    /// Whether no VM of this name has been in the fleet before.
    first_start: AtomicBool,
    /// Whether a peer has reported the versions of its document and roster.
    introduced: AtomicBool,
    /// Whether the members were read from the store.
    scanned: AtomicBool,
    /// Whether the store was asked for what this VM's last daemon has left there, with or without success.
    consulted: AtomicBool,
    /// Set once, when requests may be served under the document for the first time.
    current: AtomicBool,
    /// Time at which the first document was in force, in microseconds; `u64::MAX` before.
    has_document: AtomicU64,
}

impl Board {
    /// Creates the shared state of a daemon that is about to start.
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
            identity: ArcSwap::from_pointee(settings.identity()),
            backend: ArcSwapOption::empty(),
            runs: Mutex::default(),
            withdrawals: Withdrawals::default(),
            gate: Arc::new(Gate::new(clock, longest_wait)),
            live: LiveTable::default(),
            roster: ArcSwap::default(),
            feedback: Feedback::default(),
            overload: Mutex::default(),
            shedding: SheddingDetector::default(),
            noticed: Mutex::default(),
            notice_log: Throttle::default(),
            rejection_log: Throttle::default(),
            overload_log: Throttle::default(),
            log_sampler: Sampler::default(),
            timings: Timings::default(),
            heartbeat_due: Notify::new(),
            newest_document: NewestReport::default(),
            newest_roster: NewestReport::default(),
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
            stop_deadline: AtomicU64::new(u64::MAX),
            isolated_since: AtomicU64::new(u64::MAX),
            confirmed: AtomicU64::new(0),
            first_start: AtomicBool::new(false),
            introduced: AtomicBool::new(false),
            scanned: AtomicBool::new(false),
            consulted: AtomicBool::new(false),
            current: AtomicBool::new(false),
            has_document: AtomicU64::new(u64::MAX),
            settings,
        }
    }

    /// Puts a document in force and returns whether it did. A version that is not higher than the
    /// current one is ignored, so that an old document never returns.
    pub fn install(&self, policy: Policy, text: RawDocument) -> bool {
        if policy.version <= self.policy.load().version {
            return false;
        }
        let now = self.clock.now();
        let tables = self.tables.load().follow(&policy, now);
        self.gate.set_longest_wait(Duration::from_millis(policy.limits.queue_ms));
        self.metrics.document_version.set(policy.version as i64);
        // Before the version is reported to peers, which then fetch the text.
        self.document.store(Some(Arc::new(text)));
        self.tables.store(Arc::new(tables));
        self.policy.store(Arc::new(policy));
        self.update_shares();
        self.refresh();
        self.heartbeat_due.notify_one();
        true
    }

    /// Puts a roster in force and returns whether it did. A version that is not higher than the current
    /// one is ignored.
    pub fn install_roster(&self, roster: Roster) -> bool {
        if roster.version <= self.roster.load().version {
            return false;
        }
        let (version, settled) = (roster.version, roster.settled.is_none());
        tracing::info!(event = "roster", version, members = roster.members.len(), settled);
        // No VM admits anything before the first roster, so shares start full under it. A VM that was in
        // the fleet before may have lost its count of admitted requests, so its share starts empty.
        let is_first = roster.epoch == 1 && self.roster.load().epoch == 0;
        self.roster.store(Arc::new(roster));
        self.update_shares();
        if is_first && self.first_start.load(Ordering::Acquire) {
            let now = self.clock.now();
            for share in self.tables.load().shares.values() {
                share.bucket().fill(now);
            }
        }
        // The new record reports to the other daemons that this VM has the roster.
        self.publish_self();
        true
    }

    /// Recomputes this VM's shares from the roster and the document.
    fn update_shares(&self) {
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

    /// Records that no VM of this name has been in the fleet before.
    pub fn mark_first_start(&self) {
        self.first_start.store(true, Ordering::Release);
    }

    /// Sets this VM's shares to zero, before other VMs may use them.
    pub fn release_shares(&self) {
        let now = self.clock.now();
        for share in self.tables.load().shares.values() {
            share.bucket().set_fraction(0.0, now);
        }
    }

    /// Whether the local backend server is gone or draining, so that a graceful shutdown is permanent.
    pub fn is_retiring(&self) -> bool {
        self.backend.load().as_ref().is_none_or(|backend| backend.draining)
    }

    /// Time at which the store last confirmed the document in force, to this daemon or to a peer that
    /// reported it.
    pub fn confirmed(&self) -> Time {
        Time::from_micros(self.confirmed.load(Ordering::Relaxed))
    }

    /// Records that the store confirmed the document in force at `then`.
    pub fn confirm(&self, then: Time) {
        self.confirmed.fetch_max(then.as_micros(), Ordering::Relaxed);
    }

    /// Applies a change to the members and derives the instances from them.
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

    /// Calls `read` with the members, under their lock.
    pub fn read_view<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        read(&lock(&self.view))
    }

    /// Derives the instances again, since they also depend on the time and on the document.
    pub fn refresh(&self) {
        self.update_view(|_, _| ());
    }

    /// Whether this daemon can serve callers: its document is current and it is not leaving.
    pub fn is_serving(&self) -> bool {
        self.is_current() && !self.is_leaving()
    }

    /// Whether requests may be served under the document in force. A daemon that has just started may
    /// have read an outdated one from a store that lags behind, so it first learns from a peer which one
    /// is in force. It waits for that at most `PEER_VERSION_TIMEOUT`, and not at all when no other
    /// member is known.
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
        let heard =
            self.introduced.load(Ordering::Acquire) && self.newest_document.version() <= version;
        let alone = self.is_alone();
        let waited = now.since(Time::from_micros(since)) >= PEER_VERSION_TIMEOUT;
        let current = heard || alone || waited;
        if current {
            self.current.store(true, Ordering::Release);
            tracing::info!(event = "serving", vm = self.settings.vm, version, heard, alone);
        }
        current
    }

    /// Whether no other member is known, and the store knows none either.
    fn is_alone(&self) -> bool {
        self.scanned.load(Ordering::Acquire) && self.read_view(View::len) <= 1
    }

    /// Records that a peer has reported the versions of its document and roster.
    pub fn mark_introduced(&self) {
        self.introduced.store(true, Ordering::Release);
    }

    /// Records that the members were read from the store.
    pub fn mark_members_scanned(&self) {
        self.scanned.store(true, Ordering::Release);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render_metrics(&self) -> String {
        let load = self.gate.load();
        self.metrics.in_flight.set(i64::from(load.in_flight));
        self.metrics.queued.set(i64::from(load.queued));
        let version = self.policy.load().version;
        let behind = self.newest_document.get().filter(|report| report.version > version);
        let behind = behind.map_or(Duration::ZERO, |report| self.clock.now().since(report.since));
        self.metrics.reported_version.set(self.newest_document.version() as i64);
        self.metrics.behind_seconds.set(behind.as_secs_f64());
        self.metrics.render()
    }

    /// Puts this VM's new record into the view, which heartbeats distribute.
    pub fn publish_self(&self) {
        self.counter.fetch_add(1, Ordering::AcqRel);
        let record = self.record();
        self.update_view(|view, now| view.merge(record, now));
        self.heartbeat_due.notify_one();
    }

    /// Returns this VM's membership record.
    pub fn record(&self) -> Record {
        let backend = self.backend.load();
        let state = match backend.as_ref() {
            _ if self.is_leaving() => State::Leaving,
            Some(backend) if !backend.draining && self.withdrawals.are_recalled() => State::Ready,
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
            slots: backend.as_ref().map_or(0, |b| self.gate.offered_slots(b.slots).min(MAX_SLOTS)),
            run: backend.as_ref().and_then(|backend| backend.run()),
            withdrawn: self.withdrawals.told(),
            sheds: self.shedding.is_shedding(),
            limit: lock(&self.noticed).limit,
            epoch: self.roster.load().epoch,
            peers: self.settings.listen.peers,
            control: self.settings.listen.control,
            operators: self.settings.listen.operators,
        }
    }

    /// Records whether this failure domain is isolated from the store and from another domain.
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

    /// Returns how long this failure domain has been isolated, if it is.
    pub fn isolated_for(&self) -> Option<Duration> {
        let since = self.isolated_since.load(Ordering::Relaxed);
        (since != u64::MAX).then(|| self.clock.now().since(Time::from_micros(since)))
    }

    /// Lends another VM one token of this VM's share of a customer's rate. Returns `false` when there is
    /// none to lend.
    pub fn lend(&self, customer: &str) -> bool {
        let id = self.policy.load().customer_id(customer);
        let tables = self.tables.load();
        let share = id.and_then(|id| tables.shares.get(&id));
        share.is_some_and(|share| share.bucket().lend(self.clock.now()))
    }

    /// Returns the retries that this daemon may spend on each service in each
    /// [`GENERATION`](crate::allowance::GENERATION) although no request has earned them. A daemon that
    /// takes the place of an earlier one has none at first, since that one may have spent them.
    pub fn spare_retries(&self) -> f64 {
        let settled = self.first_start.load(Ordering::Acquire)
            || self.clock.now() >= Time::ZERO + allowance::GENERATION;
        let roster = self.roster.load();
        if !settled || !roster.members.contains_key(&self.settings.vm) {
            return 0.0;
        }
        allowance::spare_share(roster.members.len())
    }

    /// Updates the levels of calls below requests of the route, as one answer told them.
    pub fn record_levels(&self, route: &str, levels: u8) {
        if let Some(state) = self.tables.load().routes.get(route) {
            state.record_levels(levels, self.clock.now());
        }
    }

    /// Updates the work that requests of the route cause at each service, from one answer's report.
    pub fn record_reached(&self, route: &str, reached: &[ReachedService]) {
        if reached.is_empty() {
            return;
        }
        if let Some(state) = self.tables.load().routes.get(route) {
            state.record_work(reached);
        }
    }
}
