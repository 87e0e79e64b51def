//! Refusals at one of many entries, where each customer sends only a few requests. No network.

use std::collections::BTreeSet;
use std::time::Duration;

use gypsumtack::document::{
    Customer, CustomerId, Importance, LimitSpec, Policy, Route, Service, UnresolvedPolicy,
};
use gypsumtack::envelope::ReachedService;
use gypsumtack::feedback::Feedback;
use gypsumtack::overload::OverloadStatus;
use gypsumtack::tables::Tables;
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVICE: &str = "verify";
const CUSTOMERS: u32 = 86;

/// Interval between two updates of the refused shares.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

fn policy(importances: &[Importance]) -> Policy {
    let customer = |at: u32| {
        let customer = Customer {
            name: format!("customer-{at}"),
            limit: None,
            weight: 1,
            rank: 0,
            refuse_isolated: false,
            active: true,
        };
        (customer, Vec::new())
    };
    let route = |importance: &Importance| {
        let route = Route {
            name: importance.as_str().to_owned(),
            host: None,
            path: format!("/{importance}"),
            methods: BTreeSet::new(),
            targets: Vec::new(),
            importance: *importance,
            idempotent: true,
            open: false,
            deadline: Duration::from_secs(6),
            objective: Duration::from_secs(2),
            attempts: 2,
            retries: 1,
        };
        (route, vec![(SERVICE.to_owned(), 1)])
    };
    let service = Service {
        name: SERVICE.to_owned(),
        retry_ratio: 0.1,
        retired: BTreeSet::new(),
        ramp: Duration::ZERO,
    };
    let unresolved = UnresolvedPolicy {
        limits: LimitSpec::default(),
        domains: BTreeSet::new(),
        services: vec![service],
        customers: (0..CUSTOMERS).map(customer).collect(),
        routes: importances.iter().map(route).collect(),
    };
    Policy::build(unresolved, 1, &Policy::empty())
}

/// One entry of a fleet, with the state that admission uses.
struct Entry {
    policy: Policy,
    tables: Tables,
    feedback: Feedback,
    rng: SmallRng,
}

impl Entry {
    fn new(importances: &[Importance], seed: u64) -> Self {
        let policy = policy(importances);
        let tables = Tables::default().follow(&policy, Time::ZERO);
        for importance in importances {
            let reach = ReachedService { service: SERVICE.to_owned(), work_ms: 100.0 };
            for _ in 0..50 {
                tables.routes[importance.as_str()].record_work(std::slice::from_ref(&reach));
            }
        }
        Self { policy, tables, feedback: Feedback::default(), rng: SmallRng::seed_from_u64(seed) }
    }

    /// Simulates 30 s in which requests arrive on each route at its rate in `rates` per second from
    /// random customers, and on every route from the `greedy` customer at its own rate, while the
    /// service wants `excess_share` of the work refused. Returns for each route the share of requests
    /// that is refused: of the greedy customer, and of all others.
    fn simulate(
        &mut self,
        rates: &[f64],
        greedy: (CustomerId, f64),
        excess_share: f32,
    ) -> Vec<[f64; 2]> {
        let mut counts = vec![[(0.0, 0.0); 2]; rates.len()];
        let start = Time::from_millis(10_000);
        for tick in 0..600 {
            let begin = start + UPDATE_INTERVAL * tick;
            self.feedback.due_reports(&self.policy, &self.tables, begin);
            self.feedback.record_status(
                SERVICE,
                OverloadStatus { excess_share, utilization: 2.0 },
                begin,
            );
            self.feedback.update_refused_shares(&self.policy, &self.tables, begin);
            for (route, rate) in rates.iter().enumerate() {
                let senders = [(Some(greedy.0), greedy.1), (None, *rate)];
                for (sender, (customer, rate)) in senders.into_iter().enumerate() {
                    let mut expected = rate * UPDATE_INTERVAL.as_secs_f64();
                    while self.rng.random::<f64>() < expected {
                        expected -= 1.0;
                        let any = CustomerId::new(self.rng.random_range(0..CUSTOMERS));
                        let customer = customer.unwrap_or(any);
                        let now = begin + UPDATE_INTERVAL.mul_f64(self.rng.random());
                        let name = &self.policy.routes()[route].name;
                        self.tables.routes[name].record_request(Some(customer), now);
                        let share = self.feedback.refused_share(route, Some(customer));
                        // The first 5 s are left out: the rates have to settle first.
                        if tick >= 100 {
                            counts[route][sender].0 += f64::from(share);
                            counts[route][sender].1 += 1.0;
                        }
                    }
                }
            }
        }
        let share = |(refused, all): (f64, f64)| if all > 0.0 { refused / all } else { 0.0 };
        counts.into_iter().map(|senders| senders.map(share)).collect()
    }
}

/// No greedy customer: rate 0.
const NOT_GREEDY: (CustomerId, f64) = (CustomerId::new(0), 0.0);

/// Guards against refusing too little or too much of customers that an entry sees rarely: with 87
/// entries and 86 customers, each customer sends one entry one kind of request every seven seconds. The
/// service wants half of the work refused.
#[test]
fn rarely_seen_customers_are_refused_their_share() {
    for seed in 0..5 {
        let mut entry = Entry::new(&[Importance::Normal], seed);
        let [[_, refused]] = entry.simulate(&[12.0], NOT_GREEDY, 0.5)[..] else { unreachable!() };
        assert!(
            (refused - 0.5).abs() < 0.1,
            "seed {seed}: {refused:.2} of requests refused, expected 0.5"
        );
    }
}

/// The same load with a second route of higher importance, for which there is enough capacity: its
/// requests must not be refused for the others.
#[test]
fn rarely_seen_customers_keep_their_important_requests() {
    for seed in 0..5 {
        let mut entry = Entry::new(&[Importance::High, Importance::Normal], seed);
        let refused = entry.simulate(&[4.0, 8.0], NOT_GREEDY, 0.4);
        assert!(refused[0][1] < 0.03, "seed {seed}: {:.2} of the important refused", refused[0][1]);
        assert!(
            (refused[1][1] - 0.6).abs() < 0.12,
            "seed {seed}: {:.2} of the others refused",
            refused[1][1]
        );
    }
}

/// The same load, while one customer sends twice as much as all others together: its excess is to be
/// refused before requests of the others.
#[test]
fn a_greedy_customer_is_refused_before_rarely_seen_ones() {
    for seed in 0..5 {
        let mut entry = Entry::new(&[Importance::Normal], seed);
        let greedy = (CustomerId::new(3), 24.0);
        let [[greedy, others]] = entry.simulate(&[12.0], greedy, 0.5)[..] else { unreachable!() };
        assert!(greedy > 0.6, "seed {seed}: {greedy:.2} of the greedy customer's requests refused");
        assert!(others < 0.2, "seed {seed}: {others:.2} of the others' requests refused");
    }
}

/// Guards against a daemon that answers for a service and spends its processor on reports: each of 200
/// daemons reports to it, and the work of all of them grows with the fleet.
#[test]
fn reports_to_one_service_are_bounded_for_the_whole_fleet() {
    let mut entry = Entry::new(&[Importance::Normal], 1);
    let reporters = 200;
    entry.feedback.set_reporters(reporters);
    let mut reports = 0;
    for tick in 0..200 {
        let now = Time::from_millis(10_000) + UPDATE_INTERVAL * tick;
        let name = &entry.policy.routes()[0].name;
        let customer = CustomerId::new(entry.rng.random_range(0..CUSTOMERS));
        entry.tables.routes[name].record_request(Some(customer), now);
        reports += entry.feedback.due_reports(&entry.policy, &entry.tables, now).len();
        let status = OverloadStatus { excess_share: 0.5, utilization: 2.0 };
        entry.feedback.record_status(SERVICE, status, now);
    }
    let per_second = reports as f64 / 10.0 * reporters as f64;
    assert!(per_second <= 650.0, "{per_second} reports a second");
    assert!(reports >= 20, "only {reports} reports in 10 s");
}
