//! Who waits how long for a slot while the queue never empties. No network, no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use gypsumtack::document::{CustomerId, Importance};
use gypsumtack::guard::{Decision, Guard, ServiceTime, SlotRequest, Ticket};
use gypsumtack::time::Time;

const SLOTS: usize = 20;
const SERVICE: Duration = Duration::from_millis(50);

/// A slot falls free, and a request comes, so often.
const STEP: Duration = Duration::from_micros(2_500);

/// Requests that wait at the start: two rounds of slots, which take 100 ms.
const BACKLOG: usize = 2 * SLOTS;

/// One of so many requests is of the rarer kind.
const RARE: usize = 25;

const STEPS: usize = 1_200;

fn work(importance: Importance, objective_ms: u64, downstream: bool, now: Time) -> SlotRequest {
    SlotRequest {
        customer: CustomerId::new(u32::from(downstream)),
        weight: 1,
        importance,
        objective: Duration::from_millis(objective_ms),
        downstream,
        deadline: now + Duration::from_millis(1_200),
    }
}

/// Plays three seconds in which as much work comes as the slots can do, beside a backlog that stays. Returns
/// the wait of each request of the rarer kind; those that still wait count with what they have waited.
fn waits_of_rare(
    common: impl Fn(Time) -> SlotRequest,
    rare: impl Fn(Time) -> SlotRequest,
) -> Vec<Duration> {
    let mut guard = Guard::new(Duration::from_secs(1));
    guard.set_slots(SLOTS);
    let mut now = Time::from_millis(1_000);
    for _ in 0..SLOTS + BACKLOG {
        // The guard's first guess of the service time is lower, so all of them are let in.
        assert!(!matches!(guard.offer(common(now), now).0, Decision::Refuse(_)));
    }
    let mut waiting: BTreeMap<Ticket, Time> = BTreeMap::new();
    let mut waits = Vec::new();
    for step in 0..STEPS {
        now = now + STEP;
        for ticket in guard.finish(ServiceTime::Completed(SERVICE)).start {
            if let Some(came) = waiting.remove(&ticket) {
                waits.push(now.since(came));
            }
        }
        let is_rare = step % RARE == 0;
        let request = if is_rare { rare(now) } else { common(now) };
        match guard.offer(request, now).0 {
            Decision::Wait(ticket) if is_rare => drop(waiting.insert(ticket, now)),
            Decision::Refuse(reason) if is_rare => panic!("refused: {reason}"),
            _ => {}
        }
    }
    waits.extend(waiting.values().map(|came| now.since(*came)));
    waits
}

/// The load: calls that backend servers make keep the queue of a deep service from emptying for seconds, while
/// callers ask it for something as important and as urgent.
#[test]
fn calls_do_not_starve_requests_of_equal_importance() {
    let objective = 300;
    let waits = waits_of_rare(
        |now| work(Importance::High, objective, true, now),
        |now| work(Importance::High, objective, false, now),
    );
    let longest = waits.iter().max().expect("some came");
    assert!(*longest < Duration::from_millis(objective), "one waited {longest:?}");
}

/// The load: requests with a tight objective keep the queue from emptying, beside more patient ones that are
/// as important.
#[test]
fn urgent_requests_do_not_starve_patient_ones_of_equal_importance() {
    let waits = waits_of_rare(
        |now| work(Importance::High, 100, false, now),
        |now| work(Importance::High, 800, false, now),
    );
    let longest = waits.iter().max().expect("some came");
    assert!(*longest < Duration::from_millis(1_000), "one waited {longest:?}");
}

/// More important work still goes first, however long the other has waited.
#[test]
fn more_important_work_never_waits_for_less_important_work() {
    let waits = waits_of_rare(
        |now| work(Importance::Normal, 300, true, now),
        |now| work(Importance::High, 300, false, now),
    );
    let longest = waits.iter().max().expect("some came");
    assert!(*longest <= STEP, "one waited {longest:?}");
}

/// The load: callers ask a service for twice what it can do, beside calls of requests on which other services
/// have already spent work. Refusing a call throws that work away; refusing new work costs nothing.
#[test]
fn a_surge_of_new_work_fails_no_calls_of_equal_importance() {
    for objective_ms in [100, 300, 800] {
        let mut guard = Guard::new(Duration::from_secs(1));
        guard.set_slots(SLOTS);
        let mut now = Time::from_millis(1_000);
        let (mut calls, mut lost) = (0, Vec::new());
        let mut waiting: BTreeMap<Ticket, SlotRequest> = BTreeMap::new();
        for step in 0..2 * STEPS {
            now = now + STEP;
            let mut started = guard.finish(ServiceTime::Completed(SERVICE)).start;
            for at in 0..2 {
                let is_call = (2 * step + at) % 10 == 0;
                let new = work(Importance::High, objective_ms, false, now);
                let call = SlotRequest { deadline: now + Duration::from_millis(400), ..new };
                let request = if is_call { SlotRequest { downstream: true, ..call } } else { new };
                calls += u32::from(is_call);
                let (offer, released) = guard.offer(request, now);
                started.extend(released.start);
                match offer {
                    Decision::Wait(ticket) => drop(waiting.insert(ticket, request)),
                    Decision::Refuse(reason) if is_call => lost.push(reason.to_string()),
                    Decision::Run(_) | Decision::Refuse(_) => {}
                }
                let shed =
                    released.shed.into_iter().filter_map(|shed| waiting.remove(&shed.ticket));
                lost.extend(shed.filter(|work| work.downstream).map(|_| "displaced".to_owned()));
            }
            let started = started.into_iter().filter_map(|ticket| waiting.remove(&ticket));
            let late = started.filter(|work| work.downstream && now + SERVICE > work.deadline);
            lost.extend(late.map(|_| "too late".to_owned()));
        }
        assert!(
            lost.is_empty(),
            "objective {objective_ms} ms: {} of {calls}: {:?}",
            lost.len(),
            lost.first()
        );
    }
}
