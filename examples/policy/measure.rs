//! The figures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use gypsumtack::document::Importance;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::fakes::World;
use crate::parts::End;
use crate::situations::{AFTER_MS, CALM_MS, GREEDY, Situation, TRIGGER_MS, WEIGHTS};

/// One window of the time line, in milliseconds.
const WINDOW_MS: u64 = 250;
/// What the trigger has at its begin before steady figures are taken, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// The figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Work of whole requests at the bottleneck during the trigger, as a part of what it can do.
    pub goodput: f64,
    /// What callers got of the worth that they asked for during the whole trigger.
    pub worth: f64,
    /// The same for each route that callers ask for.
    pub routes: BTreeMap<&'static str, f64>,
    /// Seconds from the end of the trigger to 95% of what is then offered.
    pub recovery_s: f64,
    /// The worst-served customer's part of its due.
    pub worst_customer: f64,
    /// Requests within their rate that were refused, as a fraction.
    pub refused_within: f64,
    /// Slot time spent on requests that were not whole in the end, as a fraction.
    pub wasted: f64,
    /// Less important requests run while more important ones were shed, as a fraction.
    pub inversions: f64,
    /// Instances that died.
    pub crashes: u32,
    /// The most attempts of a request beyond its calls.
    pub most_retries: u32,
}

/// What became of one request, however often its caller sent it.
struct Outcome {
    customer: usize,
    route: &'static str,
    importance: Importance,
    window: u64,
    /// Its work at the bottleneck, in seconds of a slot.
    cost: f64,
    whole: bool,
    over_rate: bool,
    worth: f64,
    earned: f64,
}

pub fn figures(world: &World<'_>, deployment: &Deployment, situation: &Situation) -> Figures {
    let outcomes = outcomes(world, deployment);
    let window = |ms: u64| ms / WINDOW_MS;
    let within = |from: u64| -> Vec<&Outcome> {
        let span = window(from)..window(CALM_MS + TRIGGER_MS);
        outcomes.iter().filter(|o| span.contains(&o.window)).collect()
    };
    let (all, during) = (within(CALM_MS), within(CALM_MS + SETTLE_MS));
    let seconds = (TRIGGER_MS - SETTLE_MS) as f64 / 1_000.0;
    let can = deployment.capacity() / situation.slowed * seconds;
    let offered: f64 = during.iter().filter(|o| !o.over_rate).map(|o| o.cost).sum();
    let whole: f64 = during.iter().filter(|o| o.whole).map(|o| o.cost).sum();
    let earned: f64 = all.iter().map(|o| o.earned).sum();
    let owed: f64 = all.iter().filter(|o| !o.over_rate).map(|o| o.worth).sum();
    let tried = world.attempts.iter().zip(&world.calls);
    Figures {
        goodput: whole / can.min(offered),
        worth: earned / owed,
        routes: by_route(&all),
        recovery_s: recovery(&outcomes),
        worst_customer: worst_customer(&during, can, situation),
        refused_within: match situation.suffices() {
            true => refused_within(&during, situation),
            false => f64::NAN,
        },
        wasted: wasted(world),
        inversions: inversions(&during),
        crashes: world.crashes,
        most_retries: tried
            .map(|(attempts, calls)| attempts - calls.min(attempts))
            .max()
            .unwrap_or(0),
    }
}

/// What callers got of the worth that they asked for, by route.
fn by_route(all: &[&Outcome]) -> BTreeMap<&'static str, f64> {
    let mut sums: BTreeMap<&'static str, (f64, f64)> = BTreeMap::new();
    for outcome in all.iter().filter(|o| !o.over_rate) {
        let (earned, owed) = sums.entry(outcome.route).or_default();
        *earned += outcome.earned;
        *owed += outcome.worth;
    }
    sums.into_iter().map(|(route, (earned, owed))| (route, earned / owed)).collect()
}

fn outcomes(world: &World<'_>, deployment: &Deployment) -> Vec<Outcome> {
    let mut all: BTreeMap<u64, Outcome> = BTreeMap::new();
    for &(root, time, end) in &world.ended {
        let request = world.request(root);
        if request.crashes {
            continue;
        }
        let spec = &deployment.routes[request.route];
        let outcome = all.entry(request.id).or_insert_with(|| Outcome {
            customer: request.customer.index(),
            route: spec.name,
            importance: spec.importance,
            window: request.first.as_micros() / 1_000 / WINDOW_MS,
            cost: deployment.cost(request.route),
            whole: false,
            over_rate: false,
            worth: spec.worth.0,
            earned: 0.0,
        });
        outcome.over_rate |= end == End::OverRate;
        if end == End::Whole {
            outcome.whole = true;
            let time = time + Duration::from_millis(deployment.caller_ms);
            let in_time = time.since(request.first) <= Duration::from_millis(spec.objective_ms);
            outcome.earned = if in_time { spec.worth.0 } else { spec.worth.1 };
        }
    }
    all.into_values().collect()
}

/// Seconds after the trigger from which every window serves 95% of what it is offered.
fn recovery(outcomes: &[Outcome]) -> f64 {
    let end = (CALM_MS + TRIGGER_MS) / WINDOW_MS;
    let last = end + (AFTER_MS - 2_000) / WINDOW_MS;
    let mut windows: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|o| (end..last).contains(&o.window)) {
        let (all, whole) = windows.entry(outcome.window).or_default();
        *all += 1.0;
        *whole += f64::from(u8::from(outcome.whole || outcome.over_rate));
    }
    let bad =
        windows.iter().filter(|(_, (all, whole))| whole / all < 0.95).map(|(at, _)| *at).max();
    bad.map_or(0.0, |bad| (bad + 1 - end) as f64 * WINDOW_MS as f64 / 1_000.0)
}

/// The least part of its due that any customer gets, in work at the bottleneck. Due is the weighted fair
/// share of the capacity, class by class, and never more than what was offered.
fn worst_customer(during: &[&Outcome], can: f64, situation: &Situation) -> f64 {
    let mut left = can;
    let mut due = [0.0; WEIGHTS.len()];
    for importance in Importance::ALL {
        let mut asked = [0.0; WEIGHTS.len()];
        for outcome in during.iter().filter(|o| o.importance == importance && !o.over_rate) {
            asked[outcome.customer] += outcome.cost;
        }
        let given = fill(&asked, left);
        left -= given.iter().sum::<f64>();
        due.iter_mut().zip(given).for_each(|(due, given)| *due += given);
    }
    let served = |customer: usize| -> f64 {
        during.iter().filter(|o| o.customer == customer && o.whole).map(|o| o.cost).sum()
    };
    let within = (0..WEIGHTS.len()).filter(|&c| situation.greed <= 1.0 || c != GREEDY);
    within.filter(|&c| due[c] > 0.0).map(|c| served(c) / due[c]).fold(f64::INFINITY, f64::min)
}

/// Weighted max-min shares of `capacity`.
fn fill(asked: &[f64; WEIGHTS.len()], capacity: f64) -> [f64; WEIGHTS.len()] {
    let mut given = [0.0; WEIGHTS.len()];
    let mut left = capacity.max(0.0);
    loop {
        let open: Vec<usize> = (0..asked.len()).filter(|&c| given[c] + 1e-9 < asked[c]).collect();
        let weights: u32 = open.iter().map(|&c| WEIGHTS[c]).sum();
        if open.is_empty() || left < 1e-6 {
            return given;
        }
        let unit = left / f64::from(weights);
        for &c in &open {
            let more = (unit * f64::from(WEIGHTS[c])).min(asked[c] - given[c]);
            given[c] += more;
            left -= more;
        }
    }
}

fn refused_within(during: &[&Outcome], situation: &Situation) -> f64 {
    let within: Vec<_> =
        during.iter().filter(|o| situation.greed <= 1.0 || o.customer != GREEDY).collect();
    within.iter().filter(|o| !o.whole).count() as f64 / within.len().max(1) as f64
}

fn wasted(world: &World<'_>) -> f64 {
    let total: f64 = world.spent.iter().flatten().sum();
    let useful: f64 = world
        .ended
        .iter()
        .filter(|(_, _, end)| *end == End::Whole)
        .map(|(root, _, _)| world.spent[*root].iter().sum::<f64>())
        .sum();
    1.0 - useful / total.max(f64::MIN_POSITIVE)
}

/// In each window, less important requests run beside more important ones that were shed. Only requests
/// that need the bottleneck are compared.
fn inversions(during: &[&Outcome]) -> f64 {
    let mut windows: BTreeMap<u64, [(u32, u32); Importance::ALL.len()]> = BTreeMap::new();
    let compared = || during.iter().filter(|o| !o.over_rate && o.cost > 0.0);
    for outcome in compared() {
        let (run, shed) =
            &mut windows.entry(outcome.window).or_default()[outcome.importance as usize];
        *run += u32::from(outcome.whole);
        *shed += u32::from(!outcome.whole);
    }
    let in_window = |classes: &[(u32, u32); Importance::ALL.len()]| -> u32 {
        let less = |class: usize| classes[class + 1..].iter().map(|(run, _)| run).sum::<u32>();
        (0..classes.len()).map(|class| classes[class].1.min(less(class))).max().unwrap_or(0)
    };
    let inverted: u32 = windows.values().map(in_window).sum();
    f64::from(inverted) / compared().count().max(1) as f64
}

pub fn row(deployment: &str, situation: &str, kind: &str, f: &Figures) -> String {
    format!(
        "{deployment:<12} {situation:<16} {kind:<9} goodput {:>5.3}  worth {:>5.3}  recovery {:>5.2} s  \
         worst {:>5.3}  within refused {:>8.5}  wasted {:>5.3}  inversions {:>7.5}  retries {}  crashes {}",
        f.goodput,
        f.worth,
        f.recovery_s,
        f.worst_customer,
        f.refused_within,
        f.wasted,
        f.inversions,
        f.most_retries,
        f.crashes
    )
}
