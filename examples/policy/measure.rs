//! Computes the figures of one run from the requests that ended in it.

use std::collections::BTreeMap;
use std::time::Duration;

use gypsumtack::document::Importance;
use serde::Serialize;

use crate::deployment::Deployment;
use crate::fakes::World;
use crate::parts::End;
use crate::situations::{AFTER_MS, CALM_MS, GREEDY, Situation, TRIGGER_MS, WEIGHTS};

/// Length of the windows that requests are grouped into by their first sending, in milliseconds.
const WINDOW_MS: u64 = 250;
/// Time at the start of the trigger that the steady-state figures leave out, in milliseconds.
const SETTLE_MS: u64 = 1_000;

/// The figures of one run. Those of the trigger leave out its first `SETTLE_MS`, except for `worth` and
/// `routes`. Goodput, worth, fair shares and inversions ignore demand of requests over their rate.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    /// Work of completed requests at the bottleneck during the trigger, as a fraction of its capacity or
    /// of the offered work, whichever is less.
    pub goodput: f64,
    /// Worth of the answers that callers received, as a fraction of the worth of all their requests,
    /// during the whole trigger.
    pub worth: f64,
    /// `worth` for each route that callers request.
    pub routes: BTreeMap<&'static str, f64>,
    /// Seconds from the end of the trigger until at least 95% of the requests of every later window
    /// complete.
    pub recovery_s: f64,
    /// Lowest ratio of completed work to fair share of any customer that stays within its rate.
    pub worst_customer: f64,
    /// Fraction of the requests of customers within their rate that did not complete; NaN in situations
    /// in which the capacity does not suffice for them.
    pub refused_within: f64,
    /// Fraction of the slot time that was spent on requests that did not complete.
    pub wasted: f64,
    /// Fraction of requests that were shed while less important ones completed.
    pub inversions: f64,
    /// Number of instance crashes.
    pub crashes: u32,
    /// Maximum number of attempts of one request in excess of its calls.
    pub most_retries: u32,
}

/// Result of one request over all the times that its caller sent it.
struct RequestResult {
    /// Index of the customer.
    customer: usize,
    route: &'static str,
    importance: Importance,
    /// Index of the window in which the request was first sent.
    window: u64,
    /// Work at the bottleneck, in seconds of a slot, downstream calls included.
    cost: f64,
    completed: bool,
    over_rate: bool,
    /// Worth of an answer within the latency objective.
    worth: f64,
    /// Worth of the answer that the caller received, which is less after the objective.
    earned: f64,
}

/// Computes the figures of a finished run.
pub fn figures(world: &World<'_>, deployment: &Deployment, situation: &Situation) -> Figures {
    let results = results(world, deployment);
    let window = |ms: u64| ms / WINDOW_MS;
    let sent_since = |from: u64| -> Vec<&RequestResult> {
        let span = window(from)..window(CALM_MS + TRIGGER_MS);
        results.iter().filter(|o| span.contains(&o.window)).collect()
    };
    let (all, steady) = (sent_since(CALM_MS), sent_since(CALM_MS + SETTLE_MS));
    let seconds = (TRIGGER_MS - SETTLE_MS) as f64 / 1_000.0;
    let capacity = deployment.capacity() / situation.slowed * seconds;
    let offered: f64 = steady.iter().filter(|o| !o.over_rate).map(|o| o.cost).sum();
    let completed: f64 = steady.iter().filter(|o| o.completed).map(|o| o.cost).sum();
    let earned: f64 = all.iter().map(|o| o.earned).sum();
    let owed: f64 = all.iter().filter(|o| !o.over_rate).map(|o| o.worth).sum();
    let per_request = world.attempts.iter().zip(&world.calls);
    Figures {
        goodput: completed / capacity.min(offered),
        worth: earned / owed,
        routes: by_route(&all),
        recovery_s: recovery(&results),
        worst_customer: worst_customer(&steady, capacity, situation),
        refused_within: match situation.suffices() {
            true => refused_within(&steady, situation),
            false => f64::NAN,
        },
        wasted: wasted(world),
        inversions: inversions(&steady),
        crashes: world.crashes,
        most_retries: per_request
            .map(|(attempts, calls)| attempts - calls.min(attempts))
            .max()
            .unwrap_or(0),
    }
}

/// Worth that callers received as a fraction of the worth of all their requests, by route.
fn by_route(all: &[&RequestResult]) -> BTreeMap<&'static str, f64> {
    let mut sums: BTreeMap<&'static str, (f64, f64)> = BTreeMap::new();
    for result in all.iter().filter(|o| !o.over_rate) {
        let (earned, owed) = sums.entry(result.route).or_default();
        *earned += result.earned;
        *owed += result.worth;
    }
    sums.into_iter().map(|(route, (earned, owed))| (route, earned / owed)).collect()
}

/// Merges all sendings of each request into one result. Requests that crash instances are left out.
fn results(world: &World<'_>, deployment: &Deployment) -> Vec<RequestResult> {
    let mut all: BTreeMap<u64, RequestResult> = BTreeMap::new();
    for &(root, time, end) in &world.ended {
        let request = world.request(root);
        if request.crashes {
            continue;
        }
        let spec = &deployment.routes[request.route];
        let result = all.entry(request.id).or_insert_with(|| RequestResult {
            customer: request.customer.index(),
            route: spec.name,
            importance: spec.importance,
            window: request.first.as_micros() / 1_000 / WINDOW_MS,
            cost: deployment.cost(request.route),
            completed: false,
            over_rate: false,
            worth: spec.worth.0,
            earned: 0.0,
        });
        result.over_rate |= end == End::OverRate;
        if end == End::Whole {
            result.completed = true;
            let time = time + Duration::from_millis(deployment.caller_ms);
            let in_time = time.since(request.first) <= Duration::from_millis(spec.objective_ms);
            result.earned = if in_time { spec.worth.0 } else { spec.worth.1 };
        }
    }
    all.into_values().collect()
}

/// Seconds from the end of the trigger until at least 95% of the requests of every later window are
/// completed or over their rate. The last two seconds of the run are not considered.
fn recovery(results: &[RequestResult]) -> f64 {
    let end = (CALM_MS + TRIGGER_MS) / WINDOW_MS;
    let last = end + (AFTER_MS - 2_000) / WINDOW_MS;
    let mut windows: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for result in results.iter().filter(|o| (end..last).contains(&o.window)) {
        let (all, completed) = windows.entry(result.window).or_default();
        *all += 1.0;
        *completed += f64::from(u8::from(result.completed || result.over_rate));
    }
    let last_bad = windows
        .iter()
        .filter(|(_, (all, completed))| completed / all < 0.95)
        .map(|(at, _)| *at)
        .max();
    last_bad.map_or(0.0, |last_bad| (last_bad + 1 - end) as f64 * WINDOW_MS as f64 / 1_000.0)
}

/// Lowest ratio of completed work to fair share of any customer, in work at the bottleneck. The fair
/// share is the weighted max-min share of the capacity, allocated by importance from the highest to the
/// lowest, and never exceeds the offered work. A customer that exceeds its rate is left out.
fn worst_customer(during: &[&RequestResult], capacity: f64, situation: &Situation) -> f64 {
    let mut remaining = capacity;
    let mut fair = [0.0; WEIGHTS.len()];
    for importance in Importance::ALL {
        let mut demand = [0.0; WEIGHTS.len()];
        for result in during.iter().filter(|o| o.importance == importance && !o.over_rate) {
            demand[result.customer] += result.cost;
        }
        let allocated = max_min_shares(&demand, remaining);
        remaining -= allocated.iter().sum::<f64>();
        fair.iter_mut().zip(allocated).for_each(|(fair, allocated)| *fair += allocated);
    }
    let served = |customer: usize| -> f64 {
        during.iter().filter(|o| o.customer == customer && o.completed).map(|o| o.cost).sum()
    };
    let within = (0..WEIGHTS.len()).filter(|&c| situation.greed <= 1.0 || c != GREEDY);
    within.filter(|&c| fair[c] > 0.0).map(|c| served(c) / fair[c]).fold(f64::INFINITY, f64::min)
}

/// Allocates `capacity` by weighted max-min fairness, up to the demand of each customer.
fn max_min_shares(asked: &[f64; WEIGHTS.len()], capacity: f64) -> [f64; WEIGHTS.len()] {
    let mut allocated = [0.0; WEIGHTS.len()];
    let mut remaining = capacity.max(0.0);
    loop {
        let unsatisfied: Vec<usize> =
            (0..asked.len()).filter(|&c| allocated[c] + 1e-9 < asked[c]).collect();
        let weights: u32 = unsatisfied.iter().map(|&c| WEIGHTS[c]).sum();
        if unsatisfied.is_empty() || remaining < 1e-6 {
            return allocated;
        }
        let per_weight = remaining / f64::from(weights);
        for &c in &unsatisfied {
            let added = (per_weight * f64::from(WEIGHTS[c])).min(asked[c] - allocated[c]);
            allocated[c] += added;
            remaining -= added;
        }
    }
}

/// Fraction of the requests that did not complete, a customer that exceeds its rate left out.
fn refused_within(during: &[&RequestResult], situation: &Situation) -> f64 {
    let within: Vec<_> =
        during.iter().filter(|o| situation.greed <= 1.0 || o.customer != GREEDY).collect();
    within.iter().filter(|o| !o.completed).count() as f64 / within.len().max(1) as f64
}

/// Fraction of the slot time that was spent on requests that did not complete. Each sending of a request
/// counts by itself.
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

/// Fraction of requests that were shed while less important ones completed. Within a window, shed
/// requests of a class count up to the number of less important requests that completed, and the class
/// with the highest count gives the inversions of the window. Only requests that need the bottleneck are
/// compared.
fn inversions(during: &[&RequestResult]) -> f64 {
    let mut windows: BTreeMap<u64, [(u32, u32); Importance::ALL.len()]> = BTreeMap::new();
    let compared = || during.iter().filter(|o| !o.over_rate && o.cost > 0.0);
    for result in compared() {
        let (completed, shed) =
            &mut windows.entry(result.window).or_default()[result.importance as usize];
        *completed += u32::from(result.completed);
        *shed += u32::from(!result.completed);
    }
    let inverted_in = |classes: &[(u32, u32); Importance::ALL.len()]| -> u32 {
        let completed_below =
            |class: usize| classes[class + 1..].iter().map(|(completed, _)| completed).sum::<u32>();
        (0..classes.len())
            .map(|class| classes[class].1.min(completed_below(class)))
            .max()
            .unwrap_or(0)
    };
    let inverted: u32 = windows.values().map(inverted_in).sum();
    f64::from(inverted) / compared().count().max(1) as f64
}

/// Formats the figures of one run as a line of the printed table.
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
