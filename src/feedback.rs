//! What one daemon has learned of services beyond itself, and what it refuses for that.
//!
//! Answers bring where requests of a route lead. A daemon passes on what lies below its own backend
//! server. As an entry it tells each service on the way how much work it is offered for it, and refuses
//! what would only take room from other requests there. docs/DESIGN.md, "Feedback", follows one request
//! through it.

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

/// How often a service is told of the work offered while it has room, and while it is nearly full.
const CALM_PERIOD: Duration = Duration::from_millis(250);
const BUSY_PERIOD: Duration = Duration::from_millis(100);

/// The part of its capacity from which a service counts as nearly full.
const BUSY: f32 = 0.7;

/// How long a verdict counts that nobody repeats.
const BELIEF_TIME: Duration = Duration::from_millis(700);

/// How fast the share to refuse falls after that, a second.
const STALE_FALL: f32 = 1.0;

/// Shares of requests that are refused, by the route's place and the customer.
pub type RefusedShares = BTreeMap<(usize, Option<CustomerId>), f32>;

/// What one daemon has learned of services beyond itself.
#[derive(Debug, Default)]
pub struct Feedback {
    /// What is known of the local backend server's calls.
    pub fanout: Mutex<Fanout>,
    services: Mutex<BTreeMap<String, Known>>,
    refused_shares: ArcSwap<RefusedShares>,
}

/// What is known of one service.
#[derive(Debug, Default)]
struct Known {
    status: Option<(OverloadStatus, Time)>,
    asked: Time,
}

impl Known {
    fn level(&self, now: Time) -> f32 {
        let Some((status, heard)) = self.status else { return 0.0 };
        let stale = now.since(heard).saturating_sub(BELIEF_TIME);
        (status.excess_share - STALE_FALL * stale.as_secs_f32()).max(0.0)
    }

    fn period(&self) -> Duration {
        let busy = self.status.is_some_and(|(status, _)| status.utilization >= BUSY);
        if busy { BUSY_PERIOD } else { CALM_PERIOD }
    }
}

impl Feedback {
    /// The share of these requests that the entry refuses.
    pub fn refused_share(&self, route: usize, customer: Option<CustomerId>) -> f32 {
        self.refused_shares.load().get(&(route, customer)).copied().unwrap_or(0.0)
    }

    /// Where requests of `route` lead below the local backend server, by the calls that it makes.
    pub fn downstream_services(&self, tables: &Tables, route: &str) -> Vec<ReachedService> {
        let mut work: BTreeMap<String, f64> = BTreeMap::new();
        for (child, calls) in lock(&self.fanout).calls_per_request(route) {
            let Some(state) = tables.routes.get(child) else { continue };
            for (service, seconds) in state.work() {
                *work.entry(service).or_default() += calls * seconds;
            }
        }
        let reach =
            |(service, seconds)| ReachedService { work_ms: (seconds * 1_000.0) as f32, service };
        work.into_iter().map(reach).collect()
    }

    /// Services that should be told now how much work is offered here for them, with that work in seconds
    /// of a slot in a second.
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
            let known = services.entry(service.clone()).or_default();
            if now.since(known.asked) >= known.period() {
                known.asked = now;
                due.push((service, work));
            }
        }
        due
    }

    /// Takes the verdict of a service.
    pub fn record_status(&self, service: &str, status: OverloadStatus, now: Time) {
        if let Some(known) = lock(&self.services).get_mut(service) {
            known.status = Some((status, now));
        }
    }

    /// Decides again which requests the entry refuses, from the verdicts that were heard.
    pub fn update_refused_shares(&self, policy: &Policy, tables: &Tables, now: Time) {
        let levels = self.excess_shares(now);
        if levels.values().all(|level| *level <= 0.0) {
            if !self.refused_shares.load().is_empty() {
                self.refused_shares.store(Arc::default());
            }
            return;
        }
        let flows = flows(policy, tables, now);
        let shares = admission::shed(&flows, &levels);
        let refused = flows.iter().zip(shares).filter(|(_, share)| *share > 0.0);
        let refused = refused.map(|(flow, share)| ((flow.route, flow.customer), share));
        self.refused_shares.store(Arc::new(refused.collect()));
    }

    /// The share of the offered work that each service wants refused.
    pub fn excess_shares(&self, now: Time) -> BTreeMap<String, f32> {
        let services = lock(&self.services);
        services.iter().map(|(service, known)| (service.clone(), known.level(now))).collect()
    }
}

/// What is offered at this entry.
fn flows(policy: &Policy, tables: &Tables, now: Time) -> Vec<Flow> {
    let mut flows = Vec::new();
    for (place, route) in policy.routes().iter().enumerate() {
        let Some(state) = tables.routes.get(&route.name) else { continue };
        let work = state.work();
        for (customer, rate) in state.rates(now) {
            let known = customer.map(|id| policy.customer(id));
            flows.push(Flow {
                route: place,
                customer,
                weight: known.map_or(1.0, |known| f64::from(known.weight)),
                rank: known.map_or(0, |known| known.rank),
                importance: route.importance,
                rate,
                work: work.clone(),
            });
        }
    }
    flows
}
