//! Load feedback from services, and what this daemon refuses at its entry because of it.
//!
//! Answers report which services the requests of a route reach and at what cost. A daemon adds the
//! services that its local backend server reaches through downstream calls. As an entry it reports to
//! each of these services how much work it is offered for it, and refuses requests that would only take
//! capacity there from others. docs/DESIGN.md, "Feedback", follows one request through these steps.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::admission::{self, Flow};
use crate::document::{CustomerId, Policy};
use crate::envelope::ReachedService;
use crate::fanout::Fanout;
use crate::overload::OverloadStatus;
use crate::sync::lock;
use crate::tables::Tables;
use crate::time::Time;

/// Intervals between reports of offered work to a service: while it has spare capacity, and while it is
/// nearly full.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Utilization from which a service counts as nearly full.
const BUSY_UTILIZATION: f32 = 0.7;

/// How long a status counts in full when no newer one arrives.
const STATUS_TIMEOUT: Duration = Duration::from_millis(700);

/// Decrease of the excess share per second after that.
const STALE_DECREASE: f32 = 1.0;

/// Shares of requests that are refused, by the route's index and the customer.
pub type RefusedShares = BTreeMap<(usize, Option<CustomerId>), f32>;

/// Load feedback that one daemon has received.
#[derive(Debug, Default)]
pub struct Feedback {
    /// Estimates of the local backend server's downstream calls.
    pub fanout: Mutex<Fanout>,
    services: Mutex<BTreeMap<String, ServiceFeedback>>,
    refused_shares: ArcSwap<RefusedShares>,
}

/// Feedback from one service.
#[derive(Debug, Default)]
struct ServiceFeedback {
    /// The last status and when it was received.
    status: Option<(OverloadStatus, Time)>,
    /// When offered work was last reported.
    reported: Time,
}

impl ServiceFeedback {
    /// The share of offered work that the service wants refused; it decreases once the status is stale.
    fn excess_share(&self, now: Time) -> f32 {
        let Some((status, received)) = self.status else { return 0.0 };
        let stale = now.since(received).saturating_sub(STATUS_TIMEOUT);
        (status.excess_share - STALE_DECREASE * stale.as_secs_f32()).max(0.0)
    }

    fn report_interval(&self) -> Duration {
        let busy = self.status.is_some_and(|(status, _)| status.utilization >= BUSY_UTILIZATION);
        if busy { BUSY_REPORT_INTERVAL } else { REPORT_INTERVAL }
    }
}

impl Feedback {
    /// Share of a customer's requests on a route that the entry refuses.
    pub fn refused_share(&self, route: usize, customer: Option<CustomerId>) -> f32 {
        self.refused_shares.load().get(&(route, customer)).copied().unwrap_or(0.0)
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

    /// Returns the services to which a report is due, with the work that is offered here for each, in
    /// seconds of a slot per second. The reports count as sent.
    pub fn due_reports(&self, policy: &Policy, tables: &Tables, now: Time) -> Vec<(String, f64)> {
        let mut offered: BTreeMap<String, f64> = BTreeMap::new();
        for flow in flows(policy, tables, now) {
            for (service, work) in flow.work {
                *offered.entry(service).or_default() += flow.rate * work;
            }
        }
        let mut services = lock(&self.services);
        let mut due = Vec::new();
        for (service, work) in offered {
            let feedback = services.entry(service.clone()).or_default();
            if now.since(feedback.reported) >= feedback.report_interval() {
                feedback.reported = now;
                due.push((service, work));
            }
        }
        due
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
            if !self.refused_shares.load().is_empty() {
                self.refused_shares.store(Arc::default());
            }
            return;
        }
        let flows = flows(policy, tables, now);
        let shares = admission::shed(&flows, &excess_shares);
        let refused = flows.iter().zip(shares).filter(|(_, share)| *share > 0.0);
        let refused = refused.map(|(flow, share)| ((flow.route, flow.customer), share));
        self.refused_shares.store(Arc::new(refused.collect()));
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

/// The requests offered at this entry, by route and customer.
fn flows(policy: &Policy, tables: &Tables, now: Time) -> Vec<Flow> {
    let mut flows = Vec::new();
    for (index, route) in policy.routes().iter().enumerate() {
        let Some(state) = tables.routes.get(&route.name) else { continue };
        let work = state.work();
        for (customer, rate) in state.rates(now) {
            let details = customer.map(|id| policy.customer(id));
            flows.push(Flow {
                route: index,
                customer,
                weight: details.map_or(1.0, |details| f64::from(details.weight)),
                rank: details.map_or(0, |details| details.rank),
                importance: route.importance,
                rate,
                work: work.clone(),
            });
        }
    }
    flows
}
