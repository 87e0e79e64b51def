//! Queue waits by class of request while the queue never empties. No network, no clock.

use std::collections::BTreeMap;
use std::time::Duration;

use gypsumtack::document::{CustomerId, Importance};
use gypsumtack::guard::{Decision, Guard, ServiceTime, SlotRequest, Ticket};
use gypsumtack::time::Time;

const SLOTS: usize = 20;
const SERVICE: Duration = Duration::from_millis(50);

/// Interval at which a slot becomes free and a request arrives.
const STEP: Duration = Duration::from_micros(2_500);

/// Requests that wait at the start: two per slot, which take 100 ms.
const BACKLOG: usize = 2 * SLOTS;

/// One in this many requests is of the rare kind.
const RARE: usize = 25;

const STEPS: usize = 1_200;

fn slot_request(
    importance: Importance,
    objective_ms: u64,
    downstream: bool,
    now: Time,
) -> SlotRequest {
    SlotRequest {
        customer: CustomerId::new(u32::from(downstream)),
        weight: 1,
        importance,
        objective: Duration::from_millis(objective_ms),
        downstream,
        deadline: now + Duration::from_millis(1_200),
    }
}

/// Simulates three seconds in which requests arrive as fast as the slots serve them, so that the
/// initial backlog stays. Returns the queue wait of each rare request; one that is still queued at the
/// end counts with its wait so far.
fn waits_of_rare(
    common: impl Fn(Time) -> SlotRequest,
    rare: impl Fn(Time) -> SlotRequest,
) -> Vec<Duration> {
    let mut guard = Guard::new(Duration::from_secs(1));
    guard.set_slots(SLOTS);
    let mut now = Time::from_millis(1_000);
    for _ in 0..SLOTS + BACKLOG {
        // None is refused, because the guard initially assumes a shorter service time.
        assert!(!matches!(guard.offer(common(now), now).0, Decision::Refuse(_)));
    }
    let mut waiting: BTreeMap<Ticket, Time> = BTreeMap::new();
    let mut waits = Vec::new();
    for step in 0..STEPS {
        now = now + STEP;
        for ticket in guard.finish(ServiceTime::Completed(SERVICE)).start {
            if let Some(arrived) = waiting.remove(&ticket) {
                waits.push(now.since(arrived));
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
    waits.extend(waiting.values().map(|arrived| now.since(*arrived)));
    waits
}

/// Guards against starvation of new requests: downstream calls, which are ordered before new requests
/// of equal importance and objective, keep the queue of a deep service from emptying for seconds.
#[test]
fn downstream_calls_do_not_starve_new_requests_of_equal_importance() {
    let objective = 300;
    let waits = waits_of_rare(
        |now| slot_request(Importance::High, objective, true, now),
        |now| slot_request(Importance::High, objective, false, now),
    );
    let longest = waits.iter().max().expect("at least one rare request was queued");
    assert!(*longest < Duration::from_millis(objective), "longest queue wait {longest:?}");
}

/// Guards against starvation of requests with a loose objective: requests of equal importance with a
/// tight objective are ordered before them and keep the queue from emptying.
#[test]
fn a_tight_objective_does_not_starve_a_loose_one_of_equal_importance() {
    let waits = waits_of_rare(
        |now| slot_request(Importance::High, 100, false, now),
        |now| slot_request(Importance::High, 800, false, now),
    );
    let longest = waits.iter().max().expect("at least one rare request was queued");
    assert!(*longest < Duration::from_millis(1_000), "longest queue wait {longest:?}");
}

/// Importance stays strict: the slots that go to the longest wait never go to a less important request
/// while a more important one waits.
#[test]
fn more_important_requests_never_wait_for_less_important_ones() {
    let waits = waits_of_rare(
        |now| slot_request(Importance::Normal, 300, true, now),
        |now| slot_request(Importance::High, 300, false, now),
    );
    let longest = waits.iter().max().expect("at least one rare request was queued");
    assert!(*longest <= STEP, "longest queue wait {longest:?}");
}

/// Guards against refused downstream calls when new requests of equal importance make the load twice
/// the capacity. Refusing a downstream call wastes the work that other services have already spent on
/// its request; refusing a new request wastes nothing.
#[test]
fn a_surge_of_new_requests_fails_no_downstream_calls_of_equal_importance() {
    for objective_ms in [100, 300, 800] {
        let mut guard = Guard::new(Duration::from_secs(1));
        guard.set_slots(SLOTS);
        let mut now = Time::from_millis(1_000);
        let (mut calls, mut failed) = (0, Vec::new());
        let mut waiting: BTreeMap<Ticket, SlotRequest> = BTreeMap::new();
        for step in 0..2 * STEPS {
            now = now + STEP;
            let mut started = guard.finish(ServiceTime::Completed(SERVICE)).start;
            for index in 0..2 {
                let is_call = (2 * step + index) % 10 == 0;
                let new = slot_request(Importance::High, objective_ms, false, now);
                let call = SlotRequest { deadline: now + Duration::from_millis(400), ..new };
                let request = if is_call { SlotRequest { downstream: true, ..call } } else { new };
                calls += u32::from(is_call);
                let (decision, released) = guard.offer(request, now);
                started.extend(released.start);
                match decision {
                    Decision::Wait(ticket) => drop(waiting.insert(ticket, request)),
                    Decision::Refuse(reason) if is_call => failed.push(reason.to_string()),
                    Decision::Run(_) | Decision::Refuse(_) => {}
                }
                let shed =
                    released.shed.into_iter().filter_map(|shed| waiting.remove(&shed.ticket));
                failed.extend(
                    shed.filter(|request| request.downstream).map(|_| "displaced".to_owned()),
                );
            }
            let started = started.into_iter().filter_map(|ticket| waiting.remove(&ticket));
            let late =
                started.filter(|request| request.downstream && now + SERVICE > request.deadline);
            failed.extend(late.map(|_| "too late".to_owned()));
        }
        assert!(
            failed.is_empty(),
            "objective {objective_ms} ms: {} of {calls} downstream calls failed, the first: {:?}",
            failed.len(),
            failed.first()
        );
    }
}
