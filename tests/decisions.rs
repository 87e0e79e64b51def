//! Tests of the decision functions: the guard's queue against a reference implementation, and
//! properties over random cases of retries, routing and membership.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use gypsumtack::document::{CustomerId, Importance};
use gypsumtack::guard::{Decision, Guard, ServiceTime, SlotRequest, Ticket};
use gypsumtack::member::{Record, State, View};
use gypsumtack::reason::Outcome;
use gypsumtack::retry::{FailedAttempt, RetryBudget};
use gypsumtack::router::{self, Candidate};
use gypsumtack::time::Time;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A request in the reference queue.
#[derive(Debug, Clone, Copy)]
struct Queued {
    class: Class,
    tag: u64,
    ticket: Ticket,
    arrived: Time,
}

/// Scheduling class in order of priority: importance, then the binary logarithm of the latency
/// objective in milliseconds, then downstream calls (`false`) before new requests (`true`).
type Class = (Importance, u32, bool);

/// Reference implementation of the guard's order that sorts a plain list.
#[derive(Debug, Default)]
struct ReferenceQueue {
    waiting: Vec<Queued>,
    /// Number of consecutive requests started in the regular order while several classes of the highest
    /// importance were waiting, since the longest waiting one was started instead.
    passed_over: u32,
    /// For each class and customer, the tag that its next request gets at least.
    finish_tags: Vec<(Class, CustomerId, u64)>,
    /// For each class, the tag of the request that was started last.
    virtual_times: Vec<(Class, u64)>,
}

impl ReferenceQueue {
    fn push(&mut self, request: &SlotRequest, ticket: Ticket, now: Time) {
        let mut exponent = 0;
        while request.objective.as_millis() >> (exponent + 1) > 0 {
            exponent += 1;
        }
        let class = (request.importance, exponent, !request.downstream);
        if !self.waiting.iter().any(|w| w.class == class) {
            self.finish_tags.retain(|f| f.0 != class);
            self.virtual_times.retain(|p| p.0 != class);
        }
        let virtual_time = self.virtual_times.iter().find(|p| p.0 == class).map_or(0, |p| p.1);
        let known = self.finish_tags.iter().position(|f| (f.0, f.1) == (class, request.customer));
        let tag = known.map_or(0, |at| self.finish_tags[at].2).max(virtual_time);
        if let Some(at) = known {
            self.finish_tags.remove(at);
        }
        let step = u64::from(TAG_UNIT / request.weight);
        self.finish_tags.push((class, request.customer, tag + step));
        self.waiting.push(Queued { class, tag, ticket, arrived: now });
    }

    /// Removes and returns the first request in the order. While several classes of the highest
    /// importance are waiting, every eighth call returns the one that arrived first among the heads of
    /// those classes.
    fn pop(&mut self) -> Option<Ticket> {
        self.waiting.sort_by_key(|w| (w.class, w.tag, w.ticket));
        let mut heads = self.waiting.clone();
        let importance = self.waiting.first()?.class.0;
        heads.retain(|w| w.class.0 == importance);
        heads.dedup_by_key(|w| w.class);
        self.passed_over = if heads.len() > 1 { self.passed_over + 1 } else { 0 };
        if self.passed_over == 8 {
            self.passed_over = 0;
            heads.sort_by_key(|w| (w.arrived, w.class));
        }
        let first = heads[0];
        self.waiting.retain(|w| w.ticket != first.ticket);
        self.virtual_times.retain(|p| p.0 != first.class);
        self.virtual_times.push((first.class, first.tag));
        Some(first.ticket)
    }
}

/// Increment of a tag for a weight of 1. A multiple of all weights in the test, so that tags are exact.
const TAG_UNIT: u32 = 64;

#[test]
fn the_guard_starts_requests_in_the_order_of_the_reference_queue() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        // With this bound neither queue wait nor queue length is limited: only the order is compared.
        let mut guard = Guard::new(Duration::from_secs(1_000_000));
        guard.set_slots(2);
        let (mut reference, mut running) = (ReferenceQueue::default(), 0);
        let mut now = Time::ZERO;
        for _ in 0..300 {
            now = now + Duration::from_millis(rng.random_range(0..100));
            if rng.random_bool(0.55) {
                let customer = rng.random_range(0..5_u32);
                let request = SlotRequest {
                    customer: CustomerId::new(customer),
                    weight: 1 << (customer % 3),
                    importance: Importance::ALL[rng.random_range(0..4)],
                    objective: Duration::from_millis(rng.random_range(1..600)),
                    downstream: rng.random_bool(0.3),
                    deadline: Time::from_millis(1 << 40),
                };
                match guard.offer(request, now).0 {
                    Decision::Run(_) => running += 1,
                    Decision::Wait(ticket) => reference.push(&request, ticket, now),
                    Decision::Refuse(reason) => panic!("refused: {reason}"),
                }
            } else if running > 0 {
                let started = guard.finish(ServiceTime::Aborted(Duration::ZERO)).start;
                let expected: Vec<Ticket> = reference.pop().into_iter().collect();
                assert_eq!(started, expected, "seed {seed}");
                running -= 1 - expected.len();
            }
        }
    }
}

#[test]
fn the_guard_sheds_the_least_important_of_the_customer_with_most() {
    let mut guard = Guard::new(Duration::from_millis(100));
    guard.set_slots(1);
    let request = |customer, importance| SlotRequest {
        customer: CustomerId::new(customer),
        weight: 1,
        importance,
        objective: Duration::from_millis(100),
        downstream: false,
        deadline: Time::from_millis(10_000),
    };
    guard.offer(request(0, Importance::Low), Time::ZERO);
    // The guard initially assumes a service time of 10 ms, so 10 requests fit into the 100 ms.
    for _ in 0..8 {
        guard.offer(request(1, Importance::Low), Time::ZERO);
    }
    guard.offer(request(2, Importance::Low), Time::ZERO);
    guard.offer(request(2, Importance::Low), Time::ZERO);
    let (offer, released) = guard.offer(request(3, Importance::Critical), Time::ZERO);
    assert!(matches!(offer, Decision::Wait(_)));
    let shed: Vec<_> = released.shed.iter().map(|s| (s.customer.index(), s.importance)).collect();
    assert_eq!(shed, [(1, Importance::Low)]);
    let late = SlotRequest { deadline: Time::from_millis(5), ..request(3, Importance::Low) };
    assert!(
        matches!(guard.offer(late, Time::ZERO).0, Decision::Refuse(_)),
        "the deadline cannot be met"
    );
}

/// Runs a random call tree in which any attempt may fail or lose its answer. Returns the number of
/// attempts, the number of calls and whether the call succeeded.
fn run_tree(rng: &mut SmallRng, retry_budget: &RetryBudget, depth: u32) -> (u32, u32, bool) {
    let (mut attempts, mut calls) = (0, 1);
    loop {
        attempts += 1;
        let reserved = retry_budget.reserve_half();
        let child_budget = RetryBudget::new(reserved);
        let mut succeeded = rng.random_bool(0.6);
        for _ in 0..if depth == 0 { 0 } else { rng.random_range(0..3) } {
            let (child_attempts, child_calls, child_succeeded) =
                run_tree(rng, &child_budget, depth - 1);
            attempts += child_attempts;
            calls += child_calls;
            succeeded &= child_succeeded;
        }
        let lost = rng.random_bool(0.2);
        // The allowance left over after a lost answer is unknown, so all of it counts as spent.
        retry_budget.refund(if lost { 0 } else { child_budget.remaining() });
        let outcome = if lost { Outcome::Unknown } else { Outcome::NotRun };
        let failure = FailedAttempt { outcome, retryable: true, time_left: Duration::from_secs(1) };
        if (succeeded && !lost) || !failure.may_retry(true) || !retry_budget.spend() {
            return (attempts, calls, succeeded && !lost);
        }
    }
}

#[test]
fn attempts_never_exceed_calls_and_allowance() {
    for seed in 0..5_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let allowance = rng.random_range(0..9);
        let retry_budget = RetryBudget::new(allowance);
        let (attempts, calls, _) = run_tree(&mut rng, &retry_budget, 8);
        assert!(attempts <= calls + allowance, "seed {seed}: {attempts} > {calls} + {allowance}");
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let time_left = Duration::from_secs(1);
    for outcome in [Outcome::Ran, Outcome::Unknown] {
        let failure = FailedAttempt { outcome, retryable: true, time_left };
        assert!(failure.may_retry(true));
        assert!(!failure.may_retry(false));
    }
    assert!(
        FailedAttempt { outcome: Outcome::NotRun, retryable: true, time_left }.may_retry(false)
    );
    let late =
        FailedAttempt { outcome: Outcome::NotRun, retryable: true, time_left: Duration::ZERO };
    assert!(!late.may_retry(true));
}

/// A candidate with 100 slots and a mean service time of 10 ms.
fn candidate(index: usize, local: bool, load: u32) -> Candidate {
    let service_time = Duration::from_millis(10);
    Candidate { index, local, load, slots: 100, service_time, failure_rate: 0.0 }
}

const OBJECTIVE: Duration = Duration::from_millis(100);

fn choose(candidates: &[Candidate]) -> BTreeSet<Option<usize>> {
    let mut rng = SmallRng::seed_from_u64(1);
    (0..200).map(|_| router::choose(candidates, OBJECTIVE, &mut rng)).collect()
}

#[test]
fn the_router_stays_in_its_domain_unless_another_is_faster_by_the_margin() {
    let near = |load| vec![candidate(0, true, load), candidate(1, false, 30)];
    assert_eq!(choose(&near(40)), BTreeSet::from([Some(0)]));
    assert_eq!(
        choose(&near(90)),
        BTreeSet::from([Some(0)]),
        "a small difference in load does not justify leaving the domain"
    );
    assert_eq!(
        choose(&near(160)),
        BTreeSet::from([Some(1)]),
        "requests would queue in the own domain"
    );
    assert_eq!(choose(&[]), BTreeSet::from([None]));
}

#[test]
fn the_router_avoids_a_slow_or_failing_instance() {
    let slow = Candidate { service_time: Duration::from_millis(25), ..candidate(0, true, 10) };
    let failing = Candidate { failure_rate: 0.5, ..candidate(0, true, 10) };
    for poor in [slow, failing] {
        let healthy = candidate(1, true, 10);
        assert_eq!(choose(&[poor, healthy]), BTreeSet::from([Some(1)]));
        let remote = candidate(1, false, 10);
        assert_eq!(choose(&[poor, remote]), BTreeSet::from([Some(1)]));
    }
}

fn record(counter: u64, incarnation: u64, state: State, suspect: bool) -> Record {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Record {
        vm: "vm".into(),
        incarnation,
        counter,
        state,
        suspect,
        domain: "a".into(),
        service: "s".into(),
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        slots: 1,
        epoch: 0,
        peers: address,
        control: address,
        operators: address,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn records_merge_to_the_same_result_in_any_order(
        specs in proptest::collection::vec((0..4_u64, 0..2_u64, 0..3_u8, any::<bool>()), 1..8),
        seed in any::<u64>(),
    ) {
        let states = [State::Waiting, State::Ready, State::Leaving];
        let mut records: Vec<Record> = specs
            .iter()
            .map(|&(counter, incarnation, state, suspect)| {
                // A VM never publishes two states under one counter, but other VMs may mark it as
                // suspect. Its leaving outranks the counter.
                let leaving = states[usize::from(state)] == State::Leaving;
                let state = if leaving { State::Leaving } else { states[counter as usize % 2] };
                record(counter, incarnation, state, suspect)
            })
            .collect();
        let merged = |records: &[Record]| {
            let mut view = View::default();
            for record in records {
                view.merge(record.clone(), Time::ZERO);
            }
            view.get("vm").map(|member| member.record.clone())
        };
        let first = merged(&records);
        let mut rng = SmallRng::seed_from_u64(seed);
        use rand::seq::SliceRandom;
        records.shuffle(&mut rng);
        prop_assert_eq!(first, merged(&records));
    }
}

#[test]
fn leaving_outranks_everything_of_the_same_incarnation() {
    let mut view = View::default();
    view.merge(record(1, 5, State::Leaving, false), Time::ZERO);
    assert!(!view.merge(record(9, 5, State::Ready, false), Time::ZERO));
    assert!(!view.get("vm").unwrap().accepts_requests(Time::ZERO));
    assert!(view.merge(record(0, 6, State::Ready, false), Time::ZERO));
    assert!(view.get("vm").unwrap().accepts_requests(Time::ZERO));
}

#[test]
fn a_suspect_vm_receives_no_requests_until_it_refutes() {
    let mut view = View::default();
    view.merge(record(1, 5, State::Ready, false), Time::ZERO);
    assert!(view.mark_suspect("vm", Time::ZERO));
    assert!(view.get("vm").unwrap().accepts_requests(Time::from_millis(100)));
    assert!(!view.get("vm").unwrap().accepts_requests(Time::from_millis(3_000)));
    view.merge(record(2, 5, State::Ready, false), Time::from_millis(3_000));
    assert!(view.get("vm").unwrap().accepts_requests(Time::from_millis(3_000)));
}
