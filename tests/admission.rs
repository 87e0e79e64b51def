//! What entries refuse, what they learn for it, and how much a service asks them to refuse. No network.

use std::collections::BTreeMap;
use std::time::Duration;

use gypsumtack::admission::{self, Flow};
use gypsumtack::document::{CustomerId, Importance};
use gypsumtack::fanout::Fanout;
use gypsumtack::guard::ServiceTime;
use gypsumtack::intake::Intake;
use gypsumtack::overload::{Capacity, MAX_REFUSED_SHARE, OverloadController};
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

fn shed(flows: &[Flow], level: f32) -> Vec<f32> {
    admission::shed(flows, &BTreeMap::from([(SERVICE.to_owned(), level)]))
}

/// Work of a flow at the one service.
fn work(flow: &Flow) -> f64 {
    flow.rate * flow.work[SERVICE]
}

/// The same decision by hand: small pieces of work are taken away one after the other, each from the least
/// important class that has some left, and there from the customer with the most for its weight.
fn shed_by_pieces(flows: &[Flow], level: f32) -> Vec<f64> {
    const PIECES: f64 = 20_000.0;
    let offered: f64 = flows.iter().map(work).sum();
    let piece = offered / PIECES;
    let mut left: BTreeMap<(usize, u32), f64> = BTreeMap::new();
    let key = |flow: &Flow| flow.customer.map_or(0, |id| id.index() as u32);
    for (at, flow) in flows.iter().enumerate() {
        left.insert((at, key(flow)), work(flow));
    }
    let class = |flow: &Flow| (flow.importance, flow.rank);
    let mut taken = 0.0;
    while taken < f64::from(level) * offered {
        let of_class = |wanted: (Importance, u8)| {
            let members = flows.iter().enumerate().filter(move |(_, flow)| class(flow) == wanted);
            members.map(|(at, flow)| (at, key(flow), flow.weight))
        };
        let spare = |wanted: (Importance, u8)| {
            let all: f64 = of_class(wanted).map(|(at, _, _)| work(&flows[at])).sum();
            let kept: f64 = of_class(wanted).map(|(at, id, _)| left[&(at, id)]).sum();
            kept - all * (1.0 - f64::from(MAX_REFUSED_SHARE))
        };
        let Some(last) = flows.iter().map(class).filter(|class| spare(*class) > piece).max() else {
            break;
        };
        // A customer's work of one class counts together, and shrinks in proportion.
        let mut held: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
        for (at, id, weight) in of_class(last) {
            let entry = held.entry(id).or_insert((0.0, weight));
            entry.0 += left[&(at, id)];
        }
        let measure = |entry: &(f64, f64)| entry.0 / entry.1;
        let most = held.iter().max_by(|a, b| measure(a.1).total_cmp(&measure(b.1)));
        let Some((&most, &(whole, _))) = most else { break };
        for (at, id, _) in of_class(last).filter(|(_, id, _)| *id == most) {
            if let Some(left) = left.get_mut(&(at, id)) {
                *left -= piece * *left / whole;
            }
        }
        taken += piece;
    }
    let most = f64::from(MAX_REFUSED_SHARE);
    let share = |(at, flow): (usize, &Flow)| (1.0 - left[&(at, key(flow))] / work(flow)).min(most);
    flows.iter().enumerate().map(share).collect()
}

#[test]
fn refuses_the_same_as_taking_small_pieces_one_after_the_other() {
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
        let level = rng.random_range(0.05..0.9);
        let naive = shed_by_pieces(&flows, level);
        for (at, (share, naive)) in shed(&flows, level).iter().zip(naive).enumerate() {
            assert!((f64::from(*share) - naive).abs() < 0.01, "seed {seed} {at}: {share} {naive}");
        }
    }
}

#[test]
fn refuses_nothing_important_while_something_less_important_is_left() {
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
    assert_eq!((shares[0], shares[2]), (0.0, MAX_REFUSED_SHARE));
    assert!((shares[1] - (1.8 - MAX_REFUSED_SHARE)).abs() < 1e-3);
}

#[test]
fn a_customer_within_its_due_is_not_refused_for_one_that_asks_for_more() {
    let greedy = flow(0, 0, Importance::Normal, 800.0);
    let modest = flow(0, 1, Importance::Normal, 100.0);
    let shares = shed(&[greedy, modest], 0.5);
    assert!((shares[0] - 450.0 / 800.0).abs() < 1e-3, "{shares:?}");
    assert_eq!(shares[1], 0.0);
}

#[test]
fn keeps_what_costs_next_to_nothing_beside_the_rest_of_its_class() {
    let cheap = Flow {
        work: BTreeMap::from([(SERVICE.to_owned(), 0.0001)]),
        ..flow(0, 0, Importance::Low, 100.0)
    };
    let shares = shed(&[cheap, flow(1, 0, Importance::Low, 100.0)], 0.5);
    assert_eq!(shares[0], 0.0);
    assert!((shares[1] - 0.5).abs() < 0.01);
}

/// Lists go through dossiers to the inspection; lookups end at the dossiers. A surge of both overloads the
/// inspection, and the lists that are refused for it leave the dossiers room for every lookup.
#[test]
fn what_is_refused_for_one_service_makes_room_at_another() {
    let work = |parts: &[(&str, f64)]| -> BTreeMap<String, f64> {
        parts.iter().map(|(name, work)| ((*name).to_owned(), *work)).collect()
    };
    let list = Flow {
        work: work(&[("dossiers", 0.06), ("inspection", 0.12)]),
        ..flow(0, 0, Importance::Normal, 1_000.0)
    };
    let lookup =
        Flow { work: work(&[("dossiers", 0.15)]), ..flow(1, 0, Importance::Normal, 100.0) };
    let levels = BTreeMap::from([("dossiers".to_owned(), 0.4), ("inspection".to_owned(), 0.9)]);
    let shares = admission::shed(&[list, lookup], &levels);
    assert!((shares[0] - 0.9).abs() < 1e-3, "{shares:?}");
    assert_eq!(shares[1], 0.0);
}

/// A route's name, requests a millisecond, how long they run, and their calls.
type Route = (&'static str, f64, u64, &'static [(&'static str, u32)]);

/// Plays requests of three routes, each of which makes its own calls, and returns what is learned.
fn learn(seconds: u64, seed: u64) -> Fanout {
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

/// A quarter off is still a better share to refuse than none: the room's measure of the wait corrects it.
#[test]
fn learns_which_route_makes_which_calls() {
    for seed in 0..10 {
        let fanout = learn(20, seed);
        let calls = |route: &str| -> BTreeMap<String, f64> {
            fanout.calls_per_request(route).map(|(child, each)| (child.to_owned(), each)).collect()
        };
        let (order, view, ping) = (calls("order"), calls("view"), calls("ping"));
        let near = |known: Option<&f64>, wanted: f64| {
            known.is_some_and(|known| (known - wanted).abs() < 0.25 * wanted)
        };
        assert!(near(order.get("stock"), 1.0), "seed {seed}: {order:?}");
        assert!(near(order.get("price"), 3.0), "seed {seed}: {order:?}");
        assert!(near(view.get("price"), 1.0), "seed {seed}: {view:?}");
        assert_eq!(view.get("stock"), None, "seed {seed}");
        assert!(ping.is_empty(), "seed {seed}: {ping:?}");
    }
}

#[test]
fn knows_nothing_of_a_route_that_it_never_saw() {
    let fanout = learn(3, 1);
    assert_eq!(fanout.calls_per_request("unheard").count(), 0);
    assert_eq!(Fanout::default().calls_per_request("order").count(), 0);
}

/// A service whose queue is fed by five entries that refuse what they are told to.
struct Service {
    room: OverloadController,
    slots: f64,
    /// How much more work requests take than their entries believe.
    misjudged: f64,
    /// Work that waits, in seconds of a slot.
    queue: f64,
    /// Work that is on its way, as the longest path takes to get there.
    coming: Vec<f64>,
    level: f32,
}

const STEP_MS: u64 = 50;

impl Service {
    fn new(misjudged: f64) -> Self {
        let coming = vec![0.0; 8];
        Self {
            room: OverloadController::default(),
            slots: 40.0,
            misjudged,
            queue: 0.0,
            coming,
            level: 0.0,
        }
    }

    /// Plays one step of so much offered work, as a multiple of what the service can do. Returns how much
    /// of its time the service was busy, and the wait.
    fn step(&mut self, now: Time, load: f64) -> (f64, Duration) {
        let step = STEP_MS as f64 / 1_000.0;
        for entry in 0..5 {
            let wait = Duration::from_secs_f64(self.queue / self.slots);
            let capacity = Capacity { slots: self.slots, wait, refused_fraction: 0.0 };
            let told = load * self.slots / 5.0;
            self.level = self.room.update(&format!("vm-{entry}"), told, capacity, now).excess_share;
        }
        self.coming.push(load * self.slots * step * self.misjudged * f64::from(1.0 - self.level));
        self.queue += self.coming.remove(0);
        let done = self.queue.min(self.slots * step);
        self.queue -= done;
        (done / (self.slots * step), Duration::from_secs_f64(self.queue / self.slots))
    }
}

/// A burst to several times the capacity that lasts ten seconds, with paths 400 ms long: the load of the
/// surges of docs/POLICY.md.
#[test]
fn a_burst_fills_the_service_and_leaves_no_lasting_queue() {
    for load in [1.3, 2.0, 5.0, 10.0] {
        for misjudged in [0.8, 1.0, 1.25] {
            let mut service = Service::new(misjudged);
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
            let what = format!("load {load} misjudged {misjudged}: {busy} {longest:?}");
            assert!(busy > 0.9, "{what}");
            // A quarter of a second is half of the tightest objective on the sheets.
            assert!(longest < Duration::from_millis(250), "{what}");
            assert_eq!(service.level, 0.0, "{what}");
        }
    }
}

#[test]
fn an_entry_that_falls_silent_is_forgotten() {
    let mut room = OverloadController::default();
    let capacity = Capacity { slots: 10.0, wait: Duration::ZERO, refused_fraction: 0.0 };
    room.update("vm-1", 30.0, capacity, Time::ZERO);
    let both = room.update("vm-2", 5.0, capacity, Time::from_millis(100));
    assert!(both.excess_share > 0.5 && both.utilization > 3.0, "{both:?}");
    let alone = room.update("vm-2", 5.0, capacity, Time::from_millis(2_000));
    assert_eq!(alone.excess_share, 0.0);
    assert!((alone.utilization - 0.5).abs() < 1e-6);
}

/// Requests outlast their deadlines, so none of them ends by itself; the cost is learned all the same.
#[test]
fn a_service_slower_than_its_deadlines_is_seen_to_be_slow() {
    let mut intake = Intake::new(Duration::from_millis(500));
    intake.finish("peek", ServiceTime::Completed(Duration::from_millis(20)));
    for _ in 0..100 {
        intake.finish("peek", ServiceTime::Aborted(Duration::from_millis(250)));
    }
    assert!(intake.observe("peek").hold >= Duration::from_millis(240));
    for _ in 0..100 {
        intake.finish("peek", ServiceTime::Aborted(Duration::from_millis(5)));
    }
    let hold = intake.observe("peek").hold;
    assert!(
        hold >= Duration::from_millis(240),
        "what its caller left early says nothing: {hold:?}"
    );
}

/// Where nothing that waits could end in time there is no queue; what is turned away tells instead.
#[test]
fn work_that_is_turned_away_lowers_what_entries_let_in() {
    let level = |refused_fraction| {
        let mut room = OverloadController::default();
        let capacity = Capacity { slots: 10.0, wait: Duration::ZERO, refused_fraction };
        let ask = |ms| room.update("vm", 10.0, capacity, Time::from_millis(ms)).excess_share;
        (0..20).map(|at| at * 100).map(ask).last().unwrap()
    };
    assert_eq!(level(0.0), 0.0);
    assert!(level(0.3) > 0.2);
}
