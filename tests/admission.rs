//! Which requests entries refuse, how calls per request are estimated, and which share of its work a
//! service wants refused. No network.

use std::collections::BTreeMap;
use std::time::Duration;

use gypsumtack::admission::{self, Flow, MIN_RANK_SHARE};
use gypsumtack::document::{CustomerId, Importance};
use gypsumtack::envelope::Load;
use gypsumtack::fanout::Fanout;
use gypsumtack::guard::ServiceTime;
use gypsumtack::intake::Intake;
use gypsumtack::overload::{Capacity, DemandReport, OverloadController, PROBE_SHARE, SeenLoad};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "lists";

fn flow(route: usize, customer: u32, importance: Importance, rate: f64) -> Flow {
    Flow {
        route,
        customer: Some(CustomerId::new(customer)),
        weight: 1.0,
        rank: 0,
        importance,
        rate,
        work: BTreeMap::from([(SERVICE.to_owned(), 0.01)]),
    }
}

fn shed(flows: &[Flow], excess_share: f32) -> Vec<f32> {
    admission::shed(flows, &BTreeMap::from([(SERVICE.to_owned(), excess_share)]))
}

/// A report of an entry that has got no answers.
fn demand(work: f64) -> DemandReport {
    DemandReport { work, ..DemandReport::default() }
}

/// A service of ten slots, all of them in use, without a queue.
fn busy_service() -> Capacity {
    Capacity { slots: 10.0, wait: Duration::ZERO, refused_fraction: 0.0, busy_fraction: 1.0 }
}

/// Work of a flow at `SERVICE`, in seconds of a slot per second.
fn work(flow: &Flow) -> f64 {
    flow.rate * flow.work[SERVICE]
}

/// Reference implementation: removes work in small steps, each from the least important flows that still
/// have some. Of these, it takes the highest rank that has more than its minimum, and there the customer
/// with the most work per unit of weight.
fn shed_stepwise(flows: &[Flow], excess_share: f32) -> Vec<f64> {
    const STEPS: f64 = 20_000.0;
    let offered: f64 = flows.iter().map(work).sum();
    let step = offered / STEPS;
    let key = |flow: &Flow| flow.customer.map_or(0, |id| id.index() as u32);
    let mut remaining: Vec<f64> = flows.iter().map(work).collect();
    let probes = PROBE_SHARE * (1.0 - f64::from(excess_share)) * offered;
    let mut excess = f64::from(excess_share) * offered;
    for importance in Importance::ALL.into_iter().rev() {
        let of_rank = |rank: u8| {
            let members = flows.iter().enumerate();
            members.filter(move |(_, flow)| (flow.importance, flow.rank) == (importance, rank))
        };
        let total: f64 = flows.iter().filter(|flow| flow.importance == importance).map(work).sum();
        let cut = excess.min((total - probes).max(0.0));
        let minimum = MIN_RANK_SHARE * (1.0 - cut / total);
        let mut removed = 0.0;
        while removed + step / 2.0 < cut {
            let has_more = |rank: &u8| {
                let kept: f64 = of_rank(*rank).map(|(index, _)| remaining[index]).sum();
                kept - of_rank(*rank).map(|(_, flow)| work(flow)).sum::<f64>() * minimum > step
            };
            let Some(rank) = [1, 0].into_iter().find(has_more) else { break };
            // The work of a customer is summed up, and all its flows shrink in proportion.
            let mut customers: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
            for (index, flow) in of_rank(rank) {
                customers.entry(key(flow)).or_insert((0.0, flow.weight)).0 += remaining[index];
            }
            let per_weight = |entry: &(f64, f64)| entry.0 / entry.1;
            let largest =
                customers.iter().max_by(|a, b| per_weight(a.1).total_cmp(&per_weight(b.1)));
            let Some((&largest, &(sum, _))) = largest else { break };
            for (index, flow) in of_rank(rank) {
                if key(flow) == largest {
                    remaining[index] -= step * remaining[index] / sum;
                }
            }
            removed += step;
        }
        excess -= cut;
    }
    let share = |(index, flow): (usize, &Flow)| 1.0 - remaining[index] / work(flow);
    flows.iter().enumerate().map(share).collect()
}

#[test]
fn matches_a_stepwise_reference() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut flows = Vec::new();
        for route in 0..3 {
            let importance = Importance::ALL[rng.random_range(0..4)];
            for customer in 0..4 {
                flows.push(Flow {
                    weight: f64::from(1 << customer),
                    rank: (customer % 2) as u8,
                    ..flow(route, customer, importance, rng.random_range(50.0..150.0))
                });
            }
        }
        let excess_share = rng.random_range(0.05..0.9);
        let expected = shed_stepwise(&flows, excess_share);
        for (at, (share, expected)) in shed(&flows, excess_share).iter().zip(expected).enumerate() {
            assert!(
                (f64::from(*share) - expected).abs() < 0.01,
                "seed {seed}, flow {at}: {share} refused, expected {expected}"
            );
        }
    }
}

#[test]
fn refuses_less_important_requests_first() {
    let flows = [
        flow(0, 0, Importance::Critical, 100.0),
        flow(1, 0, Importance::Normal, 100.0),
        flow(2, 0, Importance::Low, 100.0),
    ];
    assert_eq!(shed(&flows, 0.0), [0.0, 0.0, 0.0]);
    let shares = shed(&flows, 0.3);
    assert_eq!(shares[..2], [0.0, 0.0]);
    assert!((shares[2] - 0.9).abs() < 1e-3);
    let shares = shed(&flows, 0.6);
    // 1.2 of the 3 flows are kept. The least important one keeps the probes.
    let probes = (PROBE_SHARE * 1.2) as f32;
    assert_eq!(shares[0], 0.0);
    assert!((shares[2] - (1.0 - probes)).abs() < 1e-6);
    assert!((shares[1] - (0.8 + probes)).abs() < 1e-3);
}

#[test]
fn a_customer_within_its_fair_share_is_not_refused_for_a_greedy_one() {
    let greedy = flow(0, 0, Importance::Normal, 800.0);
    let modest = flow(0, 1, Importance::Normal, 100.0);
    let shares = shed(&[greedy, modest], 0.5);
    assert!((shares[0] - 450.0 / 800.0).abs() < 1e-3, "{shares:?}");
    assert_eq!(shares[1], 0.0);
}

#[test]
fn requests_that_cost_almost_nothing_are_not_refused() {
    let cheap = Flow {
        work: BTreeMap::from([(SERVICE.to_owned(), 0.0001)]),
        ..flow(0, 0, Importance::Low, 100.0)
    };
    let shares = shed(&[cheap, flow(1, 0, Importance::Low, 100.0)], 0.5);
    assert_eq!(shares[0], 0.0);
    assert!((shares[1] - 0.5).abs() < 0.01);
}

/// Guards against refusing requests for a service that refusals for another one already relieve: lists
/// use dossiers and inspection, lookups use dossiers only. Both services are overloaded, and the lists
/// refused for inspection leave enough capacity at dossiers for every lookup.
#[test]
fn refusals_for_one_service_relieve_another() {
    let work = |parts: &[(&str, f64)]| -> BTreeMap<String, f64> {
        parts.iter().map(|(name, work)| ((*name).to_owned(), *work)).collect()
    };
    let list = Flow {
        work: work(&[("dossiers", 0.06), ("inspection", 0.12)]),
        ..flow(0, 0, Importance::Normal, 1_000.0)
    };
    let lookup =
        Flow { work: work(&[("dossiers", 0.15)]), ..flow(1, 0, Importance::Normal, 100.0) };
    let excess_shares =
        BTreeMap::from([("dossiers".to_owned(), 0.4), ("inspection".to_owned(), 0.9)]);
    let shares = admission::shed(&[list, lookup], &excess_shares);
    assert!((shares[0] - 0.9).abs() < 1e-3, "{shares:?}");
    assert_eq!(shares[1], 0.0);
}

/// A route's name, requests per millisecond, typical duration in milliseconds, and calls per request.
type Route = (&'static str, f64, u64, &'static [(&'static str, u32)]);

/// Simulates requests of three routes with different downstream calls, and returns the estimates.
fn simulate_calls(seconds: u64, seed: u64) -> Fanout {
    let mut rng = SmallRng::seed_from_u64(seed);
    let routes: [Route; 3] = [
        ("order", 0.06, 40, &[("stock", 1), ("price", 3)]),
        ("view", 0.20, 25, &[("price", 1)]),
        ("ping", 0.10, 5, &[]),
    ];
    let mut events: BTreeMap<(u64, u64), (u8, &str)> = BTreeMap::new();
    let mut number = 0;
    let mut at = |ms: u64, what: u8, name: &'static str| {
        number += 1;
        events.insert((ms, number), (what, name));
    };
    for ms in 0..seconds * 1_000 {
        for (name, rate, span, calls) in routes {
            if rng.random::<f64>() < rate {
                let end = ms + rng.random_range(span / 2..span * 2);
                at(ms, 0, name);
                for (child, count) in calls {
                    for _ in 0..*count {
                        at(rng.random_range(ms..end), 1, child);
                    }
                }
                at(end, 2, name);
            }
        }
    }
    let mut fanout = Fanout::default();
    for ((ms, _), (what, name)) in events {
        let now = Time::from_millis(ms);
        match what {
            0 => fanout.record_start(name, now),
            1 => fanout.record_call(name, now),
            _ => fanout.record_end(name, now),
        }
    }
    fanout
}

/// The estimates may be off by a quarter: the controller of the excess share corrects such errors by the
/// queue wait.
#[test]
fn estimates_the_calls_of_each_route() {
    for seed in 0..10 {
        let fanout = simulate_calls(20, seed);
        let calls = |route: &str| -> BTreeMap<String, f64> {
            fanout.calls_per_request(route).map(|(child, each)| (child.to_owned(), each)).collect()
        };
        let (order, view, ping) = (calls("order"), calls("view"), calls("ping"));
        let near = |calls: Option<&f64>, expected: f64| {
            calls.is_some_and(|calls| (calls - expected).abs() < 0.25 * expected)
        };
        assert!(near(order.get("stock"), 1.0), "seed {seed}: {order:?}");
        assert!(near(order.get("price"), 3.0), "seed {seed}: {order:?}");
        assert!(near(view.get("price"), 1.0), "seed {seed}: {view:?}");
        assert_eq!(view.get("stock"), None, "seed {seed}");
        assert!(ping.is_empty(), "seed {seed}: {ping:?}");
    }
}

#[test]
fn an_unknown_route_has_no_calls() {
    let fanout = simulate_calls(3, 1);
    assert_eq!(fanout.calls_per_request("unknown").count(), 0);
    assert_eq!(Fanout::default().calls_per_request("order").count(), 0);
}

/// A simulated service that gets requests from five entries, which refuse the share that it asks for.
struct Service {
    controller: OverloadController,
    slots: f64,
    /// Actual cost of requests, as a multiple of the cost that entries assume.
    cost_factor: f64,
    /// Work in the queue, in seconds of a slot.
    queue: f64,
    /// Admitted work that has not arrived yet, one element per step of the delay.
    in_transit: Vec<f64>,
    excess_share: f32,
}

const STEP_MS: u64 = 50;

impl Service {
    fn new(cost_factor: f64) -> Self {
        let in_transit = vec![0.0; 8];
        Self {
            controller: OverloadController::default(),
            slots: 40.0,
            cost_factor,
            queue: 0.0,
            in_transit,
            excess_share: 0.0,
        }
    }

    /// Simulates one step with an offered load given as a multiple of the capacity. Returns the
    /// utilization in that step and the queue wait after it.
    fn step(&mut self, now: Time, load: f64) -> (f64, Duration) {
        let step = STEP_MS as f64 / 1_000.0;
        for entry in 0..5 {
            let wait = Duration::from_secs_f64(self.queue / self.slots);
            let capacity = Capacity { slots: self.slots, wait, ..busy_service() };
            let offered = load * self.slots / 5.0;
            self.excess_share = self
                .controller
                .update(&format!("vm-{entry}"), demand(offered), capacity, now)
                .excess_share;
        }
        self.in_transit
            .push(load * self.slots * step * self.cost_factor * f64::from(1.0 - self.excess_share));
        self.queue += self.in_transit.remove(0);
        let done = self.queue.min(self.slots * step);
        self.queue -= done;
        (done / (self.slots * step), Duration::from_secs_f64(self.queue / self.slots))
    }
}

/// A surge to several times the capacity for 10 s, with a delay of 400 ms between entry and service, as
/// in the surges of docs/POLICY.md.
#[test]
fn a_surge_keeps_the_service_busy_without_a_lasting_queue() {
    for load in [1.3, 2.0, 5.0, 10.0] {
        for cost_factor in [0.8, 1.0, 1.25] {
            let mut service = Service::new(cost_factor);
            let (mut busy, mut longest) = (0.0, Duration::ZERO);
            for step in 0..400 {
                let now = Time::from_millis(step * STEP_MS);
                let surge = (100..300).contains(&step);
                let (used, wait) = service.step(now, if surge { load } else { 0.6 });
                if (160..300).contains(&step) {
                    busy += used / 140.0;
                    longest = longest.max(wait);
                }
            }
            let what = format!("load {load} cost_factor {cost_factor}: {busy} {longest:?}");
            assert!(busy > 0.9, "{what}");
            // 250 ms is half of the tightest latency objective in the deployment sheets.
            assert!(longest < Duration::from_millis(250), "{what}");
            assert_eq!(service.excess_share, 0.0, "{what}");
        }
    }
}

#[test]
fn an_entry_that_stops_reporting_is_dropped() {
    let mut controller = OverloadController::default();
    let capacity = busy_service();
    controller.update("vm-1", demand(30.0), capacity, Time::ZERO);
    let both = controller.update("vm-2", demand(5.0), capacity, Time::from_millis(100));
    assert!(both.excess_share > 0.5 && both.utilization > 3.0, "{both:?}");
    let alone = controller.update("vm-2", demand(5.0), capacity, Time::from_millis(2_000));
    assert_eq!(alone.excess_share, 0.0);
    assert!((alone.utilization - 0.5).abs() < 1e-6);
}

/// Guards against underestimating a service whose requests all outlast their deadlines: none of them
/// completes, but the time until they are cut is a lower bound of their cost. A request cut early by its
/// caller must not lower the estimate.
#[test]
fn requests_cut_at_their_deadlines_raise_the_estimated_cost() {
    let mut intake = Intake::new(Duration::from_millis(500));
    intake.finish("peek", ServiceTime::Completed(Duration::from_millis(20)));
    for _ in 0..100 {
        intake.finish("peek", ServiceTime::Aborted(Duration::from_millis(250)));
    }
    assert!(intake.observe("peek").service_time >= Duration::from_millis(240));
    for _ in 0..100 {
        intake.finish("peek", ServiceTime::Aborted(Duration::from_millis(5)));
    }
    let service_time = intake.observe("peek").service_time;
    assert!(
        service_time >= Duration::from_millis(240),
        "requests cut early by their callers lowered the estimate to {service_time:?}"
    );
}

/// Where no request that waits could finish in time, no queue forms, and only the share of requests
/// that instances refuse shows the overload.
#[test]
fn requests_refused_by_instances_raise_the_excess_share() {
    let excess_share = |refused_fraction| {
        let mut controller = OverloadController::default();
        let capacity = Capacity { refused_fraction, ..busy_service() };
        let update = |ms| {
            controller.update("vm", demand(10.0), capacity, Time::from_millis(ms)).excess_share
        };
        (0..20).map(|at| at * 100).map(update).last().unwrap()
    };
    assert_eq!(excess_share(0.0), 0.0);
    assert!(excess_share(0.3) > 0.2);
}

/// Load of an instance of ten slots.
fn load(in_flight: u32, queued: u32) -> Load {
    Load { in_flight, queued, slots: 10, mean_us: 100_000 }
}

/// Sends reports with 20 answers each from instances with `loads`, ten a second for two seconds, to a
/// controller whose own instance is idle. Returns the last share to refuse.
fn report_loads(work: f64, loads: &[Load]) -> f32 {
    let mut controller = OverloadController::default();
    let idle = Capacity { slots: 20.0, busy_fraction: 0.0, ..busy_service() };
    let mut seen = SeenLoad::default();
    for load in loads.iter().cycle().take(20) {
        seen.record(*load, false);
    }
    let report = DemandReport { work, seen };
    let update = |ms| controller.update("vm", report, idle, Time::from_millis(ms)).excess_share;
    (0..20).map(|at| at * 100).map(update).last().unwrap()
}

/// Guards against a controller that sees room in its own idle instance while the others, which get all
/// requests, have long queues.
#[test]
fn queues_at_other_instances_raise_the_excess_share() {
    assert!(report_loads(20.0, &[load(10, 20)]) > 0.3);
    assert_eq!(report_loads(20.0, &[load(10, 0)]), 0.0);
}

/// Guards against refusing most of the work long after a slow service has recovered: entries believe that
/// requests cost ten times as much as they do, and the few that are admitted leave the slots idle.
#[test]
fn idle_slots_correct_an_overestimated_cost() {
    assert!(report_loads(200.0, &[load(1, 0)]) < 0.5);
    assert!(report_loads(200.0, &[load(9, 0)]) > 0.85);
}

/// Guards against a customer of a low rank that is served next to nothing while the others of its class
/// are served: half of the work is refused, and the customers of the lowest rank ask for half of it.
#[test]
fn no_rank_goes_without_service() {
    let flows = [
        Flow { rank: 0, ..flow(0, 0, Importance::Normal, 100.0) },
        Flow { rank: 2, ..flow(0, 1, Importance::Normal, 100.0) },
    ];
    let shares = shed(&flows, 0.5);
    assert!((shares[1] - 0.75).abs() < 1e-3, "{shares:?}");
    assert!((shares[0] - 0.25).abs() < 1e-3, "{shares:?}");
}
