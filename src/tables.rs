//! What follows the document: levels, retry buckets, reached services and shares.
//!
//! A new document replaces the tables as one and keeps the state of what stays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::bucket::TokenBucket;
use crate::document::{CustomerId, Policy, RateLimit};
use crate::envelope::ReachedService;
use crate::share::{LenderCursor, ShareBucket};
use crate::sync::lock;
use crate::time::Time;

/// Retries that a service's bucket holds at most, on one daemon. All buckets of a service together must stay
/// below what a fleet may spend at once: 14 daemons hold 42, and the tightest deployment allows 48.
const RETRY_BURST: f64 = 3.0;

/// How long other owners are left alone after none had a token. It bounds the control traffic that a
/// customer far over its rate can cause.
const BORROW_PAUSE: Duration = Duration::from_millis(5);

/// The least time between two updates of a rate.
const RATE_INTERVAL: Duration = Duration::from_millis(50);

/// Over which time a rate is averaged. It follows a surge within half a second.
const RATE_TIME: Duration = Duration::from_millis(200);

/// Requests a second below which a customer counts as gone.
const LEAST_RATE: f64 = 0.05;

/// How often each instance is asked where requests of a route lead.
const CURIOUS_TIME: Duration = Duration::from_millis(50);

/// Seconds of a slot below which a route counts as not leading to a service.
const LEAST_WORK: f64 = 0.000_5;

/// How much one answer moves what is known of a route's cost.
const WORK_GAIN: f64 = 0.2;

/// One customer's share on this VM and where to borrow.
#[derive(Debug)]
pub struct CustomerShare {
    bucket: Mutex<ShareBucket>,
    /// Other owners, those with the largest shares first.
    pub lenders: ArcSwap<Vec<String>>,
    /// Which of them is asked next.
    pub cursor: LenderCursor,
    borrow_after: AtomicU64,
}

impl CustomerShare {
    /// Makes a customer without a share here.
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        Self {
            bucket: Mutex::new(ShareBucket::new(rate, burst, now)),
            lenders: ArcSwap::default(),
            cursor: LenderCursor::default(),
            borrow_after: AtomicU64::new(0),
        }
    }

    /// The share itself. The lock is held for one decision only.
    pub fn bucket(&self) -> MutexGuard<'_, ShareBucket> {
        lock(&self.bucket)
    }

    /// Whether other owners may have tokens again.
    pub fn may_borrow(&self, now: Time) -> bool {
        now.as_micros() >= self.borrow_after.load(Ordering::Relaxed)
    }

    /// Leaves the other owners alone for a moment, because none had a token.
    pub fn pause_borrowing(&self, now: Time) {
        self.borrow_after.store((now + BORROW_PAUSE).as_micros(), Ordering::Relaxed);
    }
}

/// What this daemon knows about a service that it calls.
#[derive(Debug)]
pub struct ServiceState {
    waiting: AtomicU32,
    retries: Mutex<TokenBucket>,
}

impl ServiceState {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            waiting: AtomicU32::new(0),
            retries: Mutex::new(TokenBucket::full(0.0, RETRY_BURST, now)),
        }
    }

    /// Takes a retry from the bucket.
    pub fn take_retry(&self, now: Time) -> bool {
        lock(&self.retries).take(1.0, now).is_ok()
    }

    /// Adds what a success earns.
    pub fn earn_retry(&self, ratio: f64, now: Time) {
        lock(&self.retries).add(ratio, now);
    }

    /// Counts a call that waits on this service.
    pub fn track_call(self: &Arc<Self>) -> WaitingCall {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        WaitingCall { service: Arc::clone(self) }
    }

    /// Calls of the local backend server that wait on this service.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }
}

/// A call that waits on a service.
#[derive(Debug)]
pub struct WaitingCall {
    service: Arc<ServiceState>,
}

impl Drop for WaitingCall {
    fn drop(&mut self) {
        self.service.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Services that a route's requests have reached.
#[derive(Debug, Default)]
pub struct DownstreamServices {
    services: ArcSwap<BTreeSet<String>>,
    pub(crate) served: AtomicBool,
}

impl DownstreamServices {
    /// Services reached so far.
    pub fn services(&self) -> Arc<BTreeSet<String>> {
        self.services.load_full()
    }

    pub(crate) fn record(&self, reach: &[ReachedService]) {
        let known = self.services.load();
        if reach.iter().all(|one| known.contains(&one.service)) {
            return;
        }
        let names = reach.iter().map(|one| one.service.clone());
        let all = known.iter().cloned().chain(names).collect();
        self.services.store(Arc::new(all));
    }
}

/// What an entry knows of a route: who asks for it, and what its requests cost where.
#[derive(Debug, Default)]
pub struct RouteState {
    state: Mutex<RouteFlows>,
}

#[derive(Debug, Default)]
struct RouteFlows {
    work: BTreeMap<String, f64>,
    flows: BTreeMap<Option<CustomerId>, Rate>,
    asked: BTreeMap<String, Time>,
}

/// Requests a second, over about the last second.
#[derive(Debug, Default, Clone, Copy)]
struct Rate {
    count: u32,
    rate: f64,
    updated: Time,
}

impl Rate {
    fn advance(&mut self, now: Time) {
        let span = now.since(self.updated);
        if span < RATE_INTERVAL {
            return;
        }
        let fresh = f64::from(self.count) / span.as_secs_f64();
        let old = (-span.as_secs_f64() / RATE_TIME.as_secs_f64()).exp();
        *self = Self { count: 0, rate: self.rate * old + fresh * (1.0 - old), updated: now };
    }
}

impl RouteState {
    /// Notes a request, before it is known whether it is let in.
    pub fn record_request(&self, customer: Option<CustomerId>, now: Time) {
        let mut state = lock(&self.state);
        let rate = state.flows.entry(customer).or_default();
        rate.count += 1;
        rate.advance(now);
    }

    /// Whether the instance on `vm` should tell again where such requests lead.
    pub fn should_request_reached(&self, vm: &str, now: Time) -> bool {
        let mut state = lock(&self.state);
        match state.asked.get_mut(vm) {
            Some(asked) if now.since(*asked) < CURIOUS_TIME => false,
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

    /// Learns what one of the requests cost.
    pub fn record_work(&self, reach: &[ReachedService]) {
        let mut state = lock(&self.state);
        // A service that is no longer named was put down to the route by mistake, or is called no more.
        for known in state.work.values_mut() {
            *known -= WORK_GAIN * *known;
        }
        for one in reach {
            let work = f64::from(one.work_ms) / 1_000.0;
            match state.work.get_mut(&one.service) {
                Some(known) => *known += WORK_GAIN * work,
                None => drop(state.work.insert(one.service.clone(), work)),
            }
        }
        state.work.retain(|_, work| *work > LEAST_WORK);
    }

    /// What one of the requests costs at each service, in seconds of a slot.
    pub fn work(&self) -> BTreeMap<String, f64> {
        lock(&self.state).work.clone()
    }

    /// Customers that asked lately, with their requests a second.
    pub fn rates(&self, now: Time) -> Vec<(Option<CustomerId>, f64)> {
        let mut state = lock(&self.state);
        state.flows.retain(|_, rate| {
            rate.advance(now);
            rate.rate > LEAST_RATE
        });
        state.flows.iter().map(|(customer, rate)| (*customer, rate.rate)).collect()
    }
}

/// What a request needs beside the policy; replaced as one when the policy changes.
#[derive(Debug, Default)]
pub struct Tables {
    /// Services by name.
    pub services: BTreeMap<String, Arc<ServiceState>>,
    /// What this entry knows of routes, by name.
    pub routes: BTreeMap<String, Arc<RouteState>>,
    /// Services that the local backend server reaches below itself, by route.
    pub downstream: BTreeMap<String, Arc<DownstreamServices>>,
    /// Shares by customer.
    pub shares: BTreeMap<CustomerId, Arc<CustomerShare>>,
}

impl Tables {
    /// Whether the local backend server serves a route that does not reach `service`.
    pub(crate) fn serves_without(&self, service: &str) -> bool {
        let served = |below: &DownstreamServices| below.served.load(Ordering::Relaxed);
        self.downstream.values().any(|below| served(below) && !below.services().contains(service))
    }

    /// Tables for a new policy that keep the state of what stays.
    pub fn follow(&self, policy: &Policy, now: Time) -> Self {
        let mut next = Self::default();
        for service in policy.services() {
            let state = self.services.get(&service.name).cloned();
            let state = state.unwrap_or_else(|| Arc::new(ServiceState::new(now)));
            next.services.insert(service.name.clone(), state);
        }
        for route in policy.routes() {
            let state = self.routes.get(&route.name).cloned().unwrap_or_default();
            next.routes.insert(route.name.clone(), state);
            let below = self.downstream.get(&route.name).cloned().unwrap_or_default();
            next.downstream.insert(route.name.clone(), below);
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
