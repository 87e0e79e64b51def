//! Decides which requests an entry refuses when services on their way are overloaded.
//!
//! Under a lasting overload some requests have to be refused. The least important go first; among
//! equally important ones, those of customers with the highest rank number, down to a minimum, so that no
//! customer goes without service for its rank; and among these, those of customers that ask for more
//! than the fair share of their weight. All others are admitted unchanged,
//! so that some requests are served in full instead of many in part. The functions are pure.
//! docs/POLICY.md names the loads that this policy answers.

use std::collections::BTreeMap;

use crate::document::{CustomerId, Importance};
use crate::overload::PROBE_SHARE;

/// Requests that cost less than this share of the mean cost in their class are not refused.
const MIN_RELATIVE_COST: f64 = 0.1;

/// Share of an importance that each rank keeps at least, relative to what it would keep if all ranks were
/// refused alike.
pub const MIN_RANK_SHARE: f64 = 0.5;

/// Requests of one customer on one route, as they are offered at this entry, or those of all customers
/// of one rank that are seen too rarely to be distinguished.
#[derive(Debug, Clone)]
pub struct Flow {
    /// Index of the route in the policy's list of routes.
    pub route: usize,
    /// The customer that sends them; `None` for all others of this rank together, including callers
    /// without a customer.
    pub customer: Option<CustomerId>,
    /// Weight of the customer, or of all of them together, in the division of capacity.
    pub weight: f64,
    /// Rank of the customer; the lowest number is refused last.
    pub rank: u8,
    /// Importance of the route.
    pub importance: Importance,
    /// Requests per second, refused ones included. Only the ratios between flows matter here.
    pub rate: f64,
    /// Cost of one request at each service, in seconds of a slot.
    pub work: BTreeMap<String, f64>,
}

/// Returns the share of each flow to refuse, given the share of its offered work that each service wants
/// refused.
///
/// Services are handled in descending order of that share. Requests refused for one service also reduce
/// the load on the others; in another order, requests that could be served would be refused for the
/// sake of some that are refused anyway.
pub fn shed(flows: &[Flow], excess_shares: &BTreeMap<String, f32>) -> Vec<f32> {
    let mut overloaded: Vec<(&String, f32)> =
        excess_shares.iter().map(|(name, &share)| (name, share)).collect();
    overloaded.retain(|(_, share)| *share > 0.0);
    overloaded.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut admitted = vec![1.0; flows.len()];
    for (service, excess_share) in overloaded {
        shed_for_service(flows, service, f64::from(excess_share), &mut admitted);
    }
    admitted.into_iter().map(|admitted| (1.0 - admitted) as f32).collect()
}

/// Lowers the admitted shares of flows to remove the excess work at one service.
fn shed_for_service(flows: &[Flow], service: &str, excess_share: f64, admitted: &mut [f64]) {
    let mut classes: BTreeMap<Importance, Ranks> = BTreeMap::new();
    let (mut offered_work, mut admitted_work) = (0.0, 0.0);
    for (index, flow) in flows.iter().enumerate() {
        let offered = flow.rate * flow.work.get(service).copied().unwrap_or(0.0);
        if offered > 0.0 {
            let work = offered * admitted[index];
            offered_work += offered;
            admitted_work += work;
            let Flow { customer, weight, .. } = *flow;
            let member =
                FlowWork { index, customer, weight, rate: flow.rate * admitted[index], work };
            let ranks = classes.entry(flow.importance).or_default();
            ranks.entry(flow.rank).or_default().push(member);
        }
    }
    let kept = (1.0 - excess_share) * offered_work;
    let mut excess = admitted_work - kept;
    for ranks in classes.values_mut().rev() {
        if excess <= 0.0 {
            break;
        }
        exclude_cheap(ranks);
        let total: f64 = ranks.values().flatten().map(|member| member.work).sum();
        let cut = excess.min((total - PROBE_SHARE * kept).max(0.0));
        cut_ranks(ranks, total, cut, admitted);
        excess -= cut;
    }
}

/// The flows of one importance, by the rank of their customers.
type Ranks = BTreeMap<u8, Vec<FlowWork>>;

/// Lowers the admitted shares of the flows of one importance by `cut` of their `total` work.
fn cut_ranks(ranks: &Ranks, total: f64, cut: f64, admitted: &mut [f64]) {
    let kept_alike = 1.0 - cut / total;
    let mut remaining = cut;
    for members in ranks.values().rev() {
        let work: f64 = members.iter().map(|member| member.work).sum();
        let cut = remaining.min(work * (1.0 - MIN_RANK_SHARE * kept_alike));
        if cut <= 0.0 {
            continue;
        }
        for (index, share) in divide_cut(members, work, cut) {
            admitted[index] *= 1.0 - share;
        }
        remaining -= cut;
    }
}

/// Work of one flow at one service.
struct FlowWork {
    index: usize,
    customer: Option<CustomerId>,
    weight: f64,
    /// Admitted requests per second.
    rate: f64,
    /// Work of these requests, in seconds of a slot per second.
    work: f64,
}

/// Removes flows whose requests cost very little compared with others of their class: refusing them
/// would free almost no capacity.
fn exclude_cheap(ranks: &mut Ranks) {
    let work: f64 = ranks.values().flatten().map(|member| member.work).sum();
    let rate: f64 = ranks.values().flatten().map(|member| member.rate).sum();
    let min_cost = MIN_RELATIVE_COST * work / rate;
    for members in ranks.values_mut() {
        members.retain(|member| member.work / member.rate > min_cost);
    }
}

/// Divides a reduction by `cut` among flows of one importance and rank, and returns the share of each to refuse, by
/// the flow's index. Customers are limited to the same work per unit of weight (max-min fairness); those
/// below that limit keep all of theirs.
fn divide_cut(members: &[FlowWork], total: f64, cut: f64) -> Vec<(usize, f64)> {
    let mut customers: BTreeMap<Option<CustomerId>, (f64, f64)> = BTreeMap::new();
    for member in members {
        let customer = customers.entry(member.customer).or_insert((0.0, member.weight));
        customer.0 += member.work;
    }
    let limit = fair_limit(customers.values().copied().collect(), total - cut);
    let share = |member: &FlowWork| {
        let (work, weight) = customers[&member.customer];
        let share = (1.0 - limit * weight / work).clamp(0.0, 1.0);
        (member.index, share)
    };
    members.iter().map(share).collect()
}

/// Returns the limit of work per unit of weight at which customers, given as pairs of work and weight,
/// keep `kept` in total.
fn fair_limit(mut customers: Vec<(f64, f64)>, kept: f64) -> f64 {
    customers.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut remaining = kept;
    let mut weights: f64 = customers.iter().map(|(_, weight)| weight).sum();
    for (work, weight) in customers {
        let limit = remaining / weights;
        if work / weight >= limit {
            return limit.max(0.0);
        }
        remaining -= work;
        weights -= weight;
    }
    f64::INFINITY
}
