//! State per service, route and customer of the document: retries, request rates, work at reached
//! services and shares.
//!
//! A new document replaces all tables at once; entries that it keeps retain their state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::allowance::{CallLevels, EarnedRetries, SpareRetries, earned_fraction};
use crate::demand::{Counts, Demand};
use crate::document::{CustomerId, Policy, RateLimit};
use crate::envelope::ReachedService;
use crate::share::{LenderCursor, ShareBucket};
use crate::sync::lock;
use crate::time::Time;

/// Pause before the next loan request when none of the owners that were asked lent a token. It bounds
/// the control traffic that a customer far over its rate can cause.
const BORROW_PAUSE: Duration = Duration::from_millis(5);

/// Interval at which each instance is asked which services requests of a route reach.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Length of a window over which the longest duration of a route's requests is known.
const DURATION_WINDOW: Duration = Duration::from_secs(30);

/// Slot-seconds per request below which a route counts as not reaching a service.
const MIN_WORK_S: f64 = 0.000_5;

/// Weight of one answer in the moving average of a route's work.
const WORK_WEIGHT: f64 = 0.2;

/// One customer's share on this VM, and the VMs that it borrows from.
#[derive(Debug)]
pub struct CustomerShare {
    bucket: Mutex<ShareBucket>,
    /// Other owners of the customer's rate, those in this VM's failure domain first.
    pub lenders: ArcSwap<Vec<String>>,
    /// Position of the lender to ask next.
    pub cursor: LenderCursor,
    borrow_after: AtomicU64,
}

impl CustomerShare {
    /// Creates the state of a customer that has no share on this VM yet.
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        Self {
            bucket: Mutex::new(ShareBucket::new(rate, burst, now)),
            lenders: ArcSwap::default(),
            cursor: LenderCursor::default(),
            borrow_after: AtomicU64::new(0),
        }
    }

    /// Locks the share's token bucket. Hold the lock for one decision only.
    pub fn bucket(&self) -> MutexGuard<'_, ShareBucket> {
        lock(&self.bucket)
    }

    /// Whether the pause in loan requests is over.
    pub fn may_borrow(&self, now: Time) -> bool {
        now.as_micros() >= self.borrow_after.load(Ordering::Relaxed)
    }

    /// Pauses loan requests, because none of the owners that were asked lent a token.
    pub fn pause_borrowing(&self, now: Time) {
        self.borrow_after.store((now + BORROW_PAUSE).as_micros(), Ordering::Relaxed);
    }
}

/// Spare retries and pending calls of a service that this daemon calls.
#[derive(Debug, Default)]
pub struct ServiceState {
    waiting: AtomicU32,
    spare: Mutex<SpareRetries>,
}

impl ServiceState {
    /// Takes a retry that no request has earned, out of `share` in each
    /// [`GENERATION`](crate::allowance::GENERATION). `draw` is a random number between 0 and 1.
    pub fn take_spare_retry(&self, share: f64, draw: f64, now: Time) -> bool {
        lock(&self.spare).take(share, draw, now)
    }

    /// Counts a call as waiting for this service until the result is dropped.
    pub fn track_call(self: &Arc<Self>) -> WaitingCall {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        WaitingCall { service: Arc::clone(self) }
    }

    /// Number of calls by the local backend server that wait for this service.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }
}

/// A call that waits for a service.
#[derive(Debug)]
pub struct WaitingCall {
    service: Arc<ServiceState>,
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.service.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Services that a route's requests reach through the local backend server.
#[derive(Debug, Default)]
pub struct DownstreamServices {
    services: ArcSwap<BTreeSet<String>>,
    pub(crate) served: AtomicBool,
}

impl DownstreamServices {
    /// Returns the names of all services reached so far.
    pub fn services(&self) -> Arc<BTreeSet<String>> {
        self.services.load_full()
    }

    pub(crate) fn record(&self, reached: &[ReachedService]) {
        let known = self.services.load();
        if reached.iter().all(|one| known.contains(&one.service)) {
            return;
        }
        let names = reached.iter().map(|one| one.service.clone());
        let all = known.iter().cloned().chain(names).collect();
        self.services.store(Arc::new(all));
    }
}

/// The requests of a route, and the work that one request causes at each service, as seen
/// by an entry.
#[derive(Debug, Default)]
pub struct RouteState {
    state: Mutex<RouteStats>,
    retries: Mutex<RouteRetries>,
    durations: Mutex<Durations>,
}

/// The longest durations of requests that ran, in this window and in the one before.
#[derive(Debug, Default)]
struct Durations {
    start: Time,
    current: Duration,
    previous: Duration,
}

impl Durations {
    fn advance(&mut self, now: Time) {
        let windows = now.since(self.start).as_micros() / DURATION_WINDOW.as_micros();
        if windows == 0 {
            return;
        }
        self.previous = if windows == 1 { self.current } else { Duration::ZERO };
        self.current = Duration::ZERO;
        self.start = now;
    }
}

/// Retries of a route's requests at this daemon.
#[derive(Debug, Default)]
struct RouteRetries {
    earned: EarnedRetries,
    levels: CallLevels,
}

#[derive(Debug, Default)]
struct RouteStats {
    /// Slot-seconds per request at each service.
    work: BTreeMap<String, f64>,
    demand: Demand,
    /// When each VM's instance was last asked which services requests reach.
    asked: BTreeMap<String, Time>,
}

impl RouteState {
    /// Adds the part of a retry that a request earns, for a service that may get `ratio` retries for each
    /// request. `draw` is a random number between 0 and 1.
    pub fn earn_retry(&self, ratio: f64, is_call: bool, draw: f64, now: Time) {
        let mut retries = lock(&self.retries);
        let fraction = earned_fraction(ratio, retries.levels.get(), is_call);
        retries.earned.earn(fraction, draw, now);
    }

    /// Takes a retry that requests of this route earned. Returns `false` if there is none.
    pub fn take_retry(&self, now: Time) -> bool {
        lock(&self.retries).earned.take(now)
    }

    /// Records the levels of calls below a run of this route, as an answer told them.
    pub fn record_levels(&self, levels: u8, now: Time) {
        lock(&self.retries).levels.record(levels, now);
    }

    /// Returns the levels of calls below a run of this route, or `None` if no answer has told them yet.
    pub fn levels(&self) -> Option<u8> {
        lock(&self.retries).levels.get()
    }

    /// Counts an offered request, before it is admitted or refused.
    pub fn record_request(&self, customer: Option<CustomerId>, now: Time) {
        lock(&self.state).demand.record(customer, now);
    }

    /// Records how long a request took that ran.
    pub fn record_duration(&self, span: Duration, now: Time) {
        let mut durations = lock(&self.durations);
        durations.advance(now);
        durations.current = durations.current.max(span);
    }

    /// Returns how long requests have taken at most lately; zero if none has run.
    pub fn longest_duration(&self, now: Time) -> Duration {
        let mut durations = lock(&self.durations);
        durations.advance(now);
        durations.current.max(durations.previous)
    }

    /// Whether the instance on `vm` should report again which services requests of this route reach.
    pub fn should_request_reached(&self, vm: &str, now: Time) -> bool {
        let mut state = lock(&self.state);
        match state.asked.get_mut(vm) {
            Some(asked) if now.since(*asked) < REPORT_INTERVAL => false,
            Some(asked) => {
                *asked = now;
                true
            }
            None => {
                state.asked.insert(vm.to_owned(), now);
                true
            }
        }
    }

    /// Updates the work per service from the report on one request.
    pub fn record_work(&self, reached: &[ReachedService]) {
        let mut state = lock(&self.state);
        // Decay all first: a service that is missing from reports was attributed to the route by
        // mistake, or is no longer called.
        for known in state.work.values_mut() {
            *known -= WORK_WEIGHT * *known;
        }
        for one in reached {
            let work = f64::from(one.work_ms) / 1_000.0;
            match state.work.get_mut(&one.service) {
                Some(known) => *known += WORK_WEIGHT * work,
                None => drop(state.work.insert(one.service.clone(), work)),
            }
        }
        state.work.retain(|_, work| *work > MIN_WORK_S);
    }

    /// Returns the work of one request at each service, in slot-seconds.
    pub fn work(&self) -> BTreeMap<String, f64> {
        lock(&self.state).work.clone()
    }

    /// Returns the requests per second over the last fraction of a second.
    pub fn rate(&self, now: Time) -> f64 {
        lock(&self.state).demand.rate(now)
    }

    /// Returns the number of requests of each customer, for each window of [`Demand`].
    pub fn counts(&self, now: Time) -> [Counts; 3] {
        lock(&self.state).demand.counts(now)
    }
}

/// State that requests use along with the policy; replaced as a whole when the policy changes.
#[derive(Debug, Default)]
pub struct Tables {
    /// Services by name.
    pub services: BTreeMap<String, Arc<ServiceState>>,
    /// Request rates and work of routes, by route name.
    pub routes: BTreeMap<String, Arc<RouteState>>,
    /// Services that the local backend server calls downstream, by route.
    pub downstream: BTreeMap<String, Arc<DownstreamServices>>,
    /// Shares by customer.
    pub shares: BTreeMap<CustomerId, Arc<CustomerShare>>,
}

impl Tables {
    /// Whether the local backend server serves a route that does not reach `service`.
    pub(crate) fn serves_without(&self, service: &str) -> bool {
        let served = |downstream: &DownstreamServices| downstream.served.load(Ordering::Relaxed);
        self.downstream
            .values()
            .any(|downstream| served(downstream) && !downstream.services().contains(service))
    }

    /// Returns the tables for a new policy. Services, routes and customers that it keeps retain their
    /// state.
    pub fn follow(&self, policy: &Policy, now: Time) -> Self {
        let mut next = Self::default();
        for service in policy.services() {
            let state = self.services.get(&service.name).cloned().unwrap_or_default();
            next.services.insert(service.name.clone(), state);
        }
        for route in policy.routes() {
            let state = self.routes.get(&route.name).cloned().unwrap_or_default();
            next.routes.insert(route.name.clone(), state);
            let downstream = self.downstream.get(&route.name).cloned().unwrap_or_default();
            next.downstream.insert(route.name.clone(), downstream);
        }
        for (id, _, RateLimit { rate, burst }) in policy.rate_limited_customers() {
            let share = match self.shares.get(&id) {
                Some(share) => {
                    share.bucket().set_limits(rate, burst, now);
                    Arc::clone(share)
                }
                None => Arc::new(CustomerShare::new(rate, burst, now)),
            };
            next.shares.insert(id, share);
        }
        next
    }
}
