//! Load feedback from services, and what this daemon refuses at its entry because of it.
//!
//! Answers report which services the requests of a route reach and at what cost. A daemon adds the
//! services that its local backend server reaches through downstream calls. As an entry it reports to
//! each of these services how much work it is offered for it, and refuses requests that would only take
//! capacity there from others. docs/DESIGN.md, "Feedback", follows one request through these steps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::admission::{self, Flow};
use crate::demand::{self, Counts};
use crate::document::{CustomerId, Policy};
use crate::envelope::{Load, ReachedService};
use crate::fanout::Fanout;
use crate::overload::{DemandReport, OverloadStatus, SeenLoad};
use crate::returns::Returns;
use crate::sync::lock;
use crate::tables::Tables;
use crate::time::Time;

/// Intervals between reports of offered work to a service: while it has spare capacity, and while it is
/// nearly full.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of reports per second that one service gets from the whole fleet. Each takes some 50 us
/// of the daemon that answers for the service, and most of them cross failure domains.
const MAX_REPORT_RATE: f64 = 600.0;

/// Utilization from which a service counts as nearly full.
const BUSY_UTILIZATION: f32 = 0.7;

/// How long a status counts in full when no newer one arrives. In a fleet of 400 VMs, each gets one every
/// 0.7 s.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Decrease of the excess share per second after that.
const STALE_DECREASE: f32 = 1.0;

/// Number of recent requests from which a customer is distinguished. Rarer ones vary so much by chance
/// that a customer would be refused or spared for it.
const MIN_DISTINCT_COUNT: f64 = 6.0;

/// Number of requests that a sender without any counts for, so that the share that is refused of a class is
/// known before a request of it arrives.
const MIN_FLOW_COUNT: f64 = 0.05;

/// Calls per request of a route below which they count as attributed to it by mistake.
const MIN_CALLS: f64 = 0.05;

/// Shares of requests that an entry refuses.
#[derive(Debug, Default)]
struct RefusedShares {
    /// Of customers that are distinguished, by the route's index.
    distinct: BTreeMap<(usize, CustomerId), f32>,
    /// Of all others, by the route's index and the customer's rank.
    pooled: BTreeMap<(usize, u8), f32>,
    /// The customers that are distinguished.
    customers: BTreeSet<CustomerId>,
    /// The rank of each customer.
    ranks: Vec<u8>,
}

impl RefusedShares {
    fn get(&self, route: usize, customer: Option<CustomerId>) -> f32 {
        let share = match customer {
            Some(id) if self.customers.contains(&id) => self.distinct.get(&(route, id)),
            other => {
                let rank = other.and_then(|id| self.ranks.get(id.index())).copied().unwrap_or(0);
                self.pooled.get(&(route, rank))
            }
        };
        share.copied().unwrap_or(0.0)
    }
}

/// Load feedback that one daemon has received.
#[derive(Debug, Default)]
pub struct Feedback {
    /// Estimates of the local backend server's downstream calls.
    pub fanout: Mutex<Fanout>,
    services: Mutex<BTreeMap<String, ServiceFeedback>>,
    refused_shares: ArcSwap<RefusedShares>,
    /// The requests that were refused lately.
    pub returns: Mutex<Returns>,
    /// Number of daemons of the fleet, each of which reports to every service.
    reporters: AtomicUsize,
}

/// Feedback from one service.
#[derive(Debug, Default)]
struct ServiceFeedback {
    /// The last status and when it was received.
    status: Option<(OverloadStatus, Time)>,
    /// When offered work was last reported.
    reported: Time,
    /// The load that answers have shown since then.
    seen: SeenLoad,
}

impl ServiceFeedback {
    /// The share of offered work that the service wants refused; it decreases once the status is stale.
    fn excess_share(&self, now: Time) -> f32 {
        let Some((status, received)) = self.status else { return 0.0 };
        let stale = now.since(received).saturating_sub(STATUS_TIMEOUT);
        (status.excess_share - STALE_DECREASE * stale.as_secs_f32()).max(0.0)
    }

    fn report_interval(&self, reporters: usize) -> Duration {
        let busy = self.status.is_some_and(|(status, _)| status.utilization >= BUSY_UTILIZATION);
        let interval = if busy { BUSY_REPORT_INTERVAL } else { REPORT_INTERVAL };
        interval.max(Duration::from_secs_f64(reporters as f64 / MAX_REPORT_RATE))
    }
}

impl Feedback {
    /// Share of a customer's requests on a route that the entry refuses.
    pub fn refused_share(&self, route: usize, customer: Option<CustomerId>) -> f32 {
        self.refused_shares.load().get(route, customer)
    }

    /// Services that requests of `route` reach through downstream calls of the local backend server,
    /// with the cost of a request at each.
    pub fn downstream_services(&self, tables: &Tables, route: &str) -> Vec<ReachedService> {
        let mut work: BTreeMap<String, f64> = BTreeMap::new();
        for (called, calls) in lock(&self.fanout).calls_per_request(route) {
            let Some(state) = tables.routes.get(called) else { continue };
            for (service, seconds) in state.work() {
                *work.entry(service).or_default() += calls * seconds;
            }
        }
        let reached =
            |(service, seconds)| ReachedService { work_ms: (seconds * 1_000.0) as f32, service };
        work.into_iter().map(reached).collect()
    }

    /// Number of levels of calls below requests of `route` that the local backend server runs; `None`
    /// until its calls, and the levels below each, are known.
    pub fn call_levels(&self, tables: &Tables, route: &str) -> Option<u8> {
        let fanout = lock(&self.fanout);
        if !fanout.is_settled() {
            return None;
        }
        let calls = fanout.calls_per_request(route).filter(|(_, calls)| *calls >= MIN_CALLS);
        let levels = calls.map(|(called, _)| tables.routes.get(called)?.levels());
        let levels: Option<Vec<u8>> = levels.collect();
        Some(levels?.into_iter().max().map_or(0, |below| below.saturating_add(1)))
    }

    /// Sets the number of daemons that report, from which follows how often each may.
    pub fn set_reporters(&self, count: usize) {
        self.reporters.store(count, Ordering::Relaxed);
    }

    /// Returns the number of daemons of the fleet.
    pub fn reporters(&self) -> usize {
        self.reporters.load(Ordering::Relaxed)
    }

    /// Returns the services to which a report is due, each with its report, which counts as sent.
    pub fn due_reports(
        &self,
        policy: &Policy,
        tables: &Tables,
        now: Time,
    ) -> Vec<(String, DemandReport)> {
        let mut offered: BTreeMap<String, f64> = BTreeMap::new();
        for route in policy.routes() {
            let Some(state) = tables.routes.get(&route.name) else { continue };
            let rate = state.rate(now);
            for (service, work) in state.work() {
                *offered.entry(service).or_default() += rate * work;
            }
        }
        let reporters = self.reporters.load(Ordering::Relaxed);
        let mut services = lock(&self.services);
        let mut due = Vec::new();
        for (service, work) in offered {
            let feedback = services.entry(service.clone()).or_default();
            if now.since(feedback.reported) >= feedback.report_interval(reporters) {
                feedback.reported = now;
                let seen = std::mem::take(&mut feedback.seen);
                due.push((service, DemandReport { work, seen }));
            }
        }
        due
    }

    /// Records the load that an answer showed of an instance of `service`, and whether the instance
    /// refused the request.
    pub fn record_load(&self, service: &str, load: Load, refused: bool) {
        if let Some(feedback) = lock(&self.services).get_mut(service) {
            feedback.seen.record(load, refused);
        }
    }

    /// Stores the status that a service returned. It is ignored for a service to which no report was
    /// due.
    pub fn record_status(&self, service: &str, status: OverloadStatus, now: Time) {
        if let Some(feedback) = lock(&self.services).get_mut(service) {
            feedback.status = Some((status, now));
        }
    }

    /// Recomputes the shares of requests that the entry refuses, from the last status of each service.
    pub fn update_refused_shares(&self, policy: &Policy, tables: &Tables, now: Time) {
        let excess_shares = self.excess_shares(now);
        if excess_shares.values().all(|share| *share <= 0.0) {
            if !self.refused_shares.load().ranks.is_empty() {
                self.refused_shares.store(Arc::default());
            }
            return;
        }
        let senders = Senders::count(policy, tables, now);
        let flows = senders.flows(policy, tables);
        let shares = admission::shed(&flows, &excess_shares);
        let mut refused = RefusedShares {
            customers: senders.distinct.into_iter().collect(),
            ranks: policy.customers().iter().map(|customer| customer.rank).collect(),
            ..RefusedShares::default()
        };
        for (flow, share) in flows.iter().zip(shares) {
            match flow.customer {
                Some(id) => drop(refused.distinct.insert((flow.route, id), share)),
                None => drop(refused.pooled.insert((flow.route, flow.rank), share)),
            }
        }
        self.refused_shares.store(Arc::new(refused));
    }

    /// Share of the offered work that each service wants refused.
    pub fn excess_shares(&self, now: Time) -> BTreeMap<String, f32> {
        let services = lock(&self.services);
        services
            .iter()
            .map(|(service, feedback)| (service.clone(), feedback.excess_share(now)))
            .collect()
    }
}

/// Who sent the recent requests at this entry.
struct Senders {
    /// Number of requests of each customer, by the route's index.
    counts: Vec<Counts>,
    /// Customers with enough requests to be distinguished.
    distinct: Vec<CustomerId>,
}

impl Senders {
    fn count(policy: &Policy, tables: &Tables, now: Time) -> Self {
        let states = policy.routes().iter().map(|route| tables.routes.get(&route.name));
        let windows = states.map(|state| state.map(|state| state.counts(now)).unwrap_or_default());
        let counts = demand::shortest_sufficient(windows.collect());
        let mut totals: BTreeMap<CustomerId, f64> = BTreeMap::new();
        for (customer, count) in counts.iter().flatten() {
            if let Some(id) = customer {
                *totals.entry(*id).or_default() += count;
            }
        }
        totals.retain(|_, total| *total >= MIN_DISTINCT_COUNT);
        Self { counts, distinct: totals.into_keys().collect() }
    }

    /// The requests of each route: one flow for each distinguished customer, and one for all others of
    /// each rank.
    fn flows(&self, policy: &Policy, tables: &Tables) -> Vec<Flow> {
        let pools = self.pool_weights(policy);
        let mut flows = Vec::new();
        for (index, route) in policy.routes().iter().enumerate() {
            let work = tables.routes.get(&route.name).map(|state| state.work()).unwrap_or_default();
            if work.is_empty() {
                continue;
            }
            let mut distinct: BTreeMap<CustomerId, f64> =
                self.distinct.iter().map(|id| (*id, 0.0)).collect();
            let mut pooled: BTreeMap<u8, f64> = pools.keys().map(|rank| (*rank, 0.0)).collect();
            for (customer, count) in &self.counts[index] {
                let rank = customer.map_or(0, |id| policy.customer(id).rank);
                match customer.and_then(|id| distinct.get_mut(&id)) {
                    Some(known) => *known += count,
                    None => *pooled.entry(rank).or_default() += count,
                }
            }
            let flow = |customer: Option<CustomerId>, rank: u8, weight: f64, count: f64| Flow {
                route: index,
                customer,
                weight,
                rank,
                importance: route.importance,
                rate: count.max(MIN_FLOW_COUNT),
                work: work.clone(),
            };
            flows.extend(distinct.into_iter().map(|(id, count)| {
                let customer = policy.customer(id);
                flow(Some(id), customer.rank, f64::from(customer.weight), count)
            }));
            flows.extend(pooled.into_iter().map(|(rank, count)| {
                flow(None, rank, pools.get(&rank).copied().unwrap_or(1.0), count)
            }));
        }
        flows
    }

    /// The weight of all customers of each rank that are not distinguished. Callers without a customer
    /// count as one more of rank 0.
    fn pool_weights(&self, policy: &Policy) -> BTreeMap<u8, f64> {
        let mut weights = BTreeMap::from([(0, 1.0)]);
        for (index, customer) in policy.customers().iter().enumerate() {
            let is_distinct = self.distinct.binary_search(&CustomerId::new(index as u32)).is_ok();
            if customer.active && !is_distinct {
                *weights.entry(customer.rank).or_default() += f64::from(customer.weight);
            }
        }
        weights
    }
}
