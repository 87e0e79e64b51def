//! Decisions beside naive versions, and properties over random cases.

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

/// One waiting request of the naive queue.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    class: Class,
    tag: u64,
    ticket: Ticket,
    came: Time,
}

/// Importance, then the doublings of a millisecond in the objective, then begun work.
type Class = (Importance, u32, bool);

/// The same order as the guard's, by sorting a plain list and counting by hand.
#[derive(Debug, Default)]
struct Naive {
    waiting: Vec<Waiting>,
    /// Requests that were first in the order while others of their importance waited, since one that had
    /// waited longest was taken.
    passed_over: u32,
    finish: Vec<(Class, CustomerId, u64)>,
    passed: Vec<(Class, u64)>,
}

impl Naive {
    fn push(&mut self, work: &SlotRequest, ticket: Ticket, now: Time) {
        let mut haste = 0;
        while work.objective.as_millis() >> (haste + 1) > 0 {
            haste += 1;
        }
        let class = (work.importance, haste, !work.downstream);
        if !self.waiting.iter().any(|w| w.class == class) {
            self.finish.retain(|f| f.0 != class);
            self.passed.retain(|p| p.0 != class);
        }
        let passed = self.passed.iter().find(|p| p.0 == class).map_or(0, |p| p.1);
        let known = self.finish.iter().position(|f| (f.0, f.1) == (class, work.customer));
        let tag = known.map_or(0, |at| self.finish[at].2).max(passed);
        if let Some(at) = known {
            self.finish.remove(at);
        }
        let step = u64::from(UNIT / work.weight);
        self.finish.push((class, work.customer, tag + step));
        self.waiting.push(Waiting { class, tag, ticket, came: now });
    }

    /// The first in the order; of every eight while several classes of the first importance wait, once the
    /// one that came first of those that stand first in their classes.
    fn pop(&mut self) -> Option<Ticket> {
        self.waiting.sort_by_key(|w| (w.class, w.tag, w.ticket));
        let mut firsts = self.waiting.clone();
        let importance = self.waiting.first()?.class.0;
        firsts.retain(|w| w.class.0 == importance);
        firsts.dedup_by_key(|w| w.class);
        self.passed_over = if firsts.len() > 1 { self.passed_over + 1 } else { 0 };
        if self.passed_over == 8 {
            self.passed_over = 0;
            firsts.sort_by_key(|w| (w.came, w.class));
        }
        let first = firsts[0];
        self.waiting.retain(|w| w.ticket != first.ticket);
        self.passed.retain(|p| p.0 != first.class);
        self.passed.push((first.class, first.tag));
        Some(first.ticket)
    }
}

/// One unit of weight in the tags of the naive queue; the weights below divide it.
const UNIT: u32 = 64;

#[test]
fn the_guard_starts_work_in_the_order_of_a_sorted_list() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        // No bound on time and space: only the order is compared here.
        let mut guard = Guard::new(Duration::from_secs(1_000_000));
        guard.set_slots(2);
        let (mut naive, mut running) = (Naive::default(), 0);
        let mut now = Time::ZERO;
        for _ in 0..300 {
            now = now + Duration::from_millis(rng.random_range(0..100));
            if rng.random_bool(0.55) {
                let customer = rng.random_range(0..5_u32);
                let work = SlotRequest {
                    customer: CustomerId::new(customer),
                    weight: 1 << (customer % 3),
                    importance: Importance::ALL[rng.random_range(0..4)],
                    objective: Duration::from_millis(rng.random_range(1..600)),
                    downstream: rng.random_bool(0.3),
                    deadline: Time::from_millis(1 << 40),
                };
                match guard.offer(work, now).0 {
                    Decision::Run(_) => running += 1,
                    Decision::Wait(ticket) => naive.push(&work, ticket, now),
                    Decision::Refuse(reason) => panic!("refused: {reason}"),
                }
            } else if running > 0 {
                let started = guard.finish(ServiceTime::Aborted(Duration::ZERO)).start;
                let wanted: Vec<Ticket> = naive.pop().into_iter().collect();
                assert_eq!(started, wanted, "seed {seed}");
                running -= 1 - wanted.len();
            }
        }
    }
}

#[test]
fn the_guard_sheds_the_least_important_and_whoever_holds_most() {
    let mut guard = Guard::new(Duration::from_millis(100));
    guard.set_slots(1);
    let work = |customer, importance| SlotRequest {
        customer: CustomerId::new(customer),
        weight: 1,
        importance,
        objective: Duration::from_millis(100),
        downstream: false,
        deadline: Time::from_millis(10_000),
    };
    guard.offer(work(0, Importance::Low), Time::ZERO);
    // The service time is taken for 10 ms, so 10 requests fit the 100 ms.
    for _ in 0..8 {
        guard.offer(work(1, Importance::Low), Time::ZERO);
    }
    guard.offer(work(2, Importance::Low), Time::ZERO);
    guard.offer(work(2, Importance::Low), Time::ZERO);
    let (offer, released) = guard.offer(work(3, Importance::Critical), Time::ZERO);
    assert!(matches!(offer, Decision::Wait(_)));
    let shed: Vec<_> = released.shed.iter().map(|s| (s.customer.index(), s.importance)).collect();
    assert_eq!(shed, [(1, Importance::Low)]);
    let late = SlotRequest { deadline: Time::from_millis(5), ..work(3, Importance::Low) };
    assert!(
        matches!(guard.offer(late, Time::ZERO).0, Decision::Refuse(_)),
        "too late to be of use"
    );
}

/// Runs a random call tree in which any attempt may fail or lose its answer. Returns attempts and
/// calls.
fn run_tree(rng: &mut SmallRng, retry_budget: &RetryBudget, depth: u32) -> (u32, u32, bool) {
    let (mut attempts, mut calls) = (0, 1);
    loop {
        attempts += 1;
        let reserved = retry_budget.reserve_half();
        let below = RetryBudget::new(reserved);
        let mut whole = rng.random_bool(0.6);
        for _ in 0..if depth == 0 { 0 } else { rng.random_range(0..3) } {
            let (more, below_calls, ran) = run_tree(rng, &below, depth - 1);
            attempts += more;
            calls += below_calls;
            whole &= ran;
        }
        let lost = rng.random_bool(0.2);
        // What a lost answer did not use is never known, so it counts as spent.
        retry_budget.refund(if lost { 0 } else { below.remaining() });
        let outcome = if lost { Outcome::Unknown } else { Outcome::NotRun };
        let failure = FailedAttempt { outcome, retryable: true, time_left: Duration::from_secs(1) };
        if (whole && !lost) || !failure.may_retry(true) || !retry_budget.spend() {
            return (attempts, calls, whole && !lost);
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
fn a_request_that_may_have_run_is_repeated_only_where_that_does_no_harm() {
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

/// A candidate with 100 slots that holds each for 10 ms.
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
fn the_router_stays_in_its_domain_until_another_is_faster_by_the_margin() {
    let near = |load| vec![candidate(0, true, load), candidate(1, false, 30)];
    assert_eq!(choose(&near(40)), BTreeSet::from([Some(0)]));
    assert_eq!(
        choose(&near(90)),
        BTreeSet::from([Some(0)]),
        "a little fuller is not worth the way"
    );
    assert_eq!(choose(&near(160)), BTreeSet::from([Some(1)]), "here it would wait");
    assert_eq!(choose(&[]), BTreeSet::from([None]));
}

#[test]
fn the_router_turns_from_an_instance_that_is_slow_or_fails() {
    let slow = Candidate { service_time: Duration::from_millis(25), ..candidate(0, true, 10) };
    let failing = Candidate { failure_rate: 0.5, ..candidate(0, true, 10) };
    for poor in [slow, failing] {
        let sound = candidate(1, true, 10);
        assert_eq!(choose(&[poor, sound]), BTreeSet::from([Some(1)]));
        let beyond = candidate(1, false, 10);
        assert_eq!(choose(&[poor, beyond]), BTreeSet::from([Some(1)]));
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
        sheds: false,
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
    fn records_merge_to_the_same_in_any_order(
        specs in proptest::collection::vec((0..4_u64, 0..2_u64, 0..3_u8, any::<bool>()), 1..8),
        seed in any::<u64>(),
    ) {
        let states = [State::Waiting, State::Ready, State::Leaving];
        let mut records: Vec<Record> = specs
            .iter()
            .map(|&(counter, incarnation, state, suspect)| {
                // One VM never says two things under one number, but others may suspect it.
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
fn a_suspect_gets_no_work_until_it_refutes() {
    let mut view = View::default();
    view.merge(record(1, 5, State::Ready, false), Time::ZERO);
    assert!(view.mark_suspect("vm", Time::ZERO));
    assert!(view.get("vm").unwrap().accepts_requests(Time::from_millis(100)));
    assert!(!view.get("vm").unwrap().accepts_requests(Time::from_millis(3_000)));
    view.merge(record(2, 5, State::Ready, false), Time::from_millis(3_000));
    assert!(view.get("vm").unwrap().accepts_requests(Time::from_millis(3_000)));
}
