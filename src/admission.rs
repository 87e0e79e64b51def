//! What an entry refuses when a service on the way is overloaded.
//!
//! Under a lasting overload some requests must go. This decides which: the least important first, among
//! them those of customers of the lowest rank, and among those whoever asks for more than the due of
//! its weight. Everything else passes untouched, so that whole requests are served instead of parts of
//! many. All of it is pure. docs/POLICY.md names the loads that it answers.

use std::collections::BTreeMap;

use crate::document::{CustomerId, Importance};
use crate::overload::MAX_REFUSED_SHARE;

/// The part of the mean cost of its class below which a request is not worth refusing.
const CHEAP: f64 = 0.1;

/// Requests of one customer on one route, as they are offered at this entry.
#[derive(Debug, Clone)]
pub struct Flow {
    /// The route's place in the list of routes.
    pub route: usize,
    /// Whose they are; `None` on routes open to all.
    pub customer: Option<CustomerId>,
    /// The customer's weight.
    pub weight: f64,
    /// The customer's rank; the lowest is refused last.
    pub rank: u8,
    /// How important they are.
    pub importance: Importance,
    /// Requests a second, refused ones included.
    pub rate: f64,
    /// What one of them costs at each service, in seconds of a slot.
    pub work: BTreeMap<String, f64>,
}

/// Decides which share of each flow is refused, from the level of each service.
///
/// The service that wants most refused comes first. What is refused for it makes room at the others too,
/// or requests that could well be served would go for the sake of some that are refused anyway.
pub fn shed(flows: &[Flow], levels: &BTreeMap<String, f32>) -> Vec<f32> {
    let mut levels: Vec<(&String, f32)> =
        levels.iter().map(|(name, &level)| (name, level)).collect();
    levels.retain(|(_, level)| *level > 0.0);
    levels.sort_by(|a, b| b.1.total_cmp(&a.1));
    let mut kept = vec![1.0; flows.len()];
    for (service, level) in levels {
        shed_for(flows, service, f64::from(level), &mut kept);
    }
    let share = |kept: f64| (1.0 - kept).min(f64::from(MAX_REFUSED_SHARE)) as f32;
    kept.into_iter().map(share).collect()
}

/// Lowers the kept part of flows for the sake of one service.
fn shed_for(flows: &[Flow], service: &str, level: f64, kept: &mut [f64]) {
    let mut classes: BTreeMap<(Importance, u8), Vec<Member>> = BTreeMap::new();
    let (mut offered, mut left) = (0.0, 0.0);
    for (place, flow) in flows.iter().enumerate() {
        let whole = flow.rate * flow.work.get(service).copied().unwrap_or(0.0);
        if whole > 0.0 {
            let work = whole * kept[place];
            offered += whole;
            left += work;
            let Flow { customer, weight, .. } = *flow;
            let member = Member { place, customer, weight, rate: flow.rate * kept[place], work };
            classes.entry((flow.importance, flow.rank)).or_default().push(member);
        }
    }
    let mut excess = left - (1.0 - level) * offered;
    for members in classes.values_mut().rev() {
        if excess <= 0.0 {
            break;
        }
        keep_cheap(members);
        let total: f64 = members.iter().map(|member| member.work).sum();
        let cut = excess.min(total * f64::from(MAX_REFUSED_SHARE));
        for (place, share) in divide(members, total, cut) {
            kept[place] *= 1.0 - share;
        }
        excess -= cut;
    }
}

/// One flow's work at one service.
struct Member {
    place: usize,
    customer: Option<CustomerId>,
    weight: f64,
    rate: f64,
    work: f64,
}

/// Leaves out flows whose requests cost next to nothing beside the others of their class: refusing them
/// would make no room.
fn keep_cheap(members: &mut Vec<Member>) {
    let work: f64 = members.iter().map(|member| member.work).sum();
    let rate: f64 = members.iter().map(|member| member.rate).sum();
    let least = CHEAP * work / rate;
    members.retain(|member| member.work / member.rate > least);
}

/// Takes `cut` from a class: from those customers that ask for most for each unit of weight, down to a
/// common measure.
fn divide(members: &[Member], total: f64, cut: f64) -> Vec<(usize, f64)> {
    let mut customers: BTreeMap<Option<CustomerId>, (f64, f64)> = BTreeMap::new();
    for member in members {
        let customer = customers.entry(member.customer).or_insert((0.0, member.weight));
        customer.0 += member.work;
    }
    let due = fair_measure(customers.values().copied().collect(), total - cut);
    let share = |member: &Member| {
        let (work, weight) = customers[&member.customer];
        let share = (1.0 - due * weight / work).clamp(0.0, f64::from(MAX_REFUSED_SHARE));
        (member.place, share)
    };
    members.iter().map(share).collect()
}

/// The work for a unit of weight such that customers keep `kept` together, each at most its own.
fn fair_measure(mut customers: Vec<(f64, f64)>, kept: f64) -> f64 {
    customers.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = kept;
    let mut weights: f64 = customers.iter().map(|(_, weight)| weight).sum();
    for (work, weight) in customers {
        let measure = left / weights;
        if work / weight >= measure {
            return measure.max(0.0);
        }
        left -= work;
        weights -= weight;
    }
    f64::INFINITY
}
