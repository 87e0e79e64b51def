//! What follows the document: levels, retry buckets, reached services and shares.
//!
//! A new document replaces the tables as one and keeps the state of what stays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::bucket::Bucket;
use crate::document::{CustomerId, Limit, Policy};
use crate::envelope::Reach;
use crate::level::Cuts;
use crate::share::{Holding, Turn};
use crate::sync::lock;
use crate::time::Time;

/// Retries that a service's bucket holds at most.
const RETRY_BURST: f64 = 10.0;

/// How long other owners are left alone after none had a token. It bounds the control traffic that a
/// customer far over its rate can cause.
const BORROW_PAUSE: Duration = Duration::from_millis(5);

/// One customer's share on this VM and where to borrow.
#[derive(Debug)]
pub struct CustomerShare {
    holding: Mutex<Holding>,
    /// Other owners, those with the largest shares first.
    pub lenders: ArcSwap<Vec<String>>,
    /// Which of them is asked next.
    pub turn: Turn,
    borrow_after: AtomicU64,
}

impl CustomerShare {
    /// Makes a customer without a share here.
    pub fn new(rate: f64, burst: f64, now: Time) -> Self {
        Self {
            holding: Mutex::new(Holding::new(rate, burst, now)),
            lenders: ArcSwap::default(),
            turn: Turn::default(),
            borrow_after: AtomicU64::new(0),
        }
    }

    /// The share itself. The lock is held for one decision only.
    pub fn holding(&self) -> MutexGuard<'_, Holding> {
        lock(&self.holding)
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
    retries: Mutex<Bucket>,
}

impl ServiceState {
    pub(crate) fn new(now: Time) -> Self {
        Self {
            waiting: AtomicU32::new(0),
            retries: Mutex::new(Bucket::full(0.0, RETRY_BURST, now)),
        }
    }

    /// Takes a retry from the bucket.
    pub fn take_retry(&self, now: Time) -> bool {
        lock(&self.retries).take(1.0, now).is_ok()
    }

    /// Adds what a success earns.
    pub fn earn_retry(&self, ratio: f64, now: Time) {
        lock(&self.retries).put(ratio, now);
    }

    /// Counts a call that waits on this service.
    pub fn wait(self: &Arc<Self>) -> Waiting {
        self.waiting.fetch_add(1, Ordering::AcqRel);
        Waiting { service: Arc::clone(self) }
    }

    /// Calls of the local backend server that wait on this service.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Acquire)
    }
}

/// A call that waits on a service.
#[derive(Debug)]
pub struct Waiting {
    service: Arc<ServiceState>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.service.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Services that a route's requests have reached.
#[derive(Debug, Default)]
pub struct RouteReach {
    services: ArcSwap<BTreeSet<String>>,
    pub(crate) served: AtomicBool,
}

impl RouteReach {
    /// Services reached so far.
    pub fn services(&self) -> Arc<BTreeSet<String>> {
        self.services.load_full()
    }

    pub(crate) fn learn(&self, reach: &[Reach]) {
        let known = self.services.load();
        if reach.iter().all(|one| known.contains(&one.service)) {
            return;
        }
        let names = reach.iter().map(|one| one.service.clone());
        let all = known.iter().cloned().chain(names).collect();
        self.services.store(Arc::new(all));
    }
}

/// What a request needs beside the policy; replaced as one when the policy changes.
#[derive(Debug, Default)]
pub struct Tables {
    /// Levels of services by name.
    pub cuts: BTreeMap<String, Cuts>,
    /// Services by name.
    pub services: BTreeMap<String, Arc<ServiceState>>,
    /// Reached services, by route.
    pub routes: BTreeMap<String, Arc<RouteReach>>,
    /// Services that the local backend server reaches below itself, by route.
    pub below: BTreeMap<String, Arc<RouteReach>>,
    /// Shares by customer.
    pub shares: BTreeMap<CustomerId, Arc<CustomerShare>>,
}

impl Tables {
    /// Whether the local backend server serves a route that does not reach `service`.
    pub(crate) fn serves_without(&self, service: &str) -> bool {
        let served = |below: &RouteReach| below.served.load(Ordering::Relaxed);
        self.below.values().any(|below| served(below) && !below.services().contains(service))
    }

    /// Tables for a new policy that keep the state of what stays.
    pub(crate) fn follow(&self, policy: &Policy, now: Time) -> Self {
        let mut next = Self::default();
        for service in policy.services() {
            let state = self.services.get(&service.name).cloned();
            let state = state.unwrap_or_else(|| Arc::new(ServiceState::new(now)));
            next.services.insert(service.name.clone(), state);
            let old = self.cuts.get(&service.name);
            let cuts = Cuts::follow(old, policy.customer_count(), now);
            next.cuts.insert(service.name.clone(), cuts);
        }
        for route in policy.routes() {
            let reach = self.routes.get(&route.name).cloned().unwrap_or_default();
            next.routes.insert(route.name.clone(), reach);
            let below = self.below.get(&route.name).cloned().unwrap_or_default();
            next.below.insert(route.name.clone(), below);
        }
        for (id, _, Limit { rate, burst }) in policy.limited() {
            let share = match self.shares.get(&id) {
                Some(share) => {
                    share.holding().set_limits(rate, burst, now);
                    Arc::clone(share)
                }
                None => Arc::new(CustomerShare::new(rate, burst, now)),
            };
            next.shares.insert(id, share);
        }
        next
    }
}
