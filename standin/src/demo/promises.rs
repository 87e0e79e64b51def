//! Checks the promises of the brief against the records of the demo.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gypsumtack::time::Time;

use super::report::Promise;
use super::system::{System, Withdrawal};
use super::traffic::{CUSTOMERS, CallRecord, CallResult, WITHDRAWN_CUSTOMER};
use crate::backend::Observations;

/// Maximum number of retries, as set for each route in the demo's document.
const RETRIES_PER_ROUTE: u32 = 2;

/// Maximum time until a withdrawn key stops working and until an accepted document is in force on all
/// VMs.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

/// Maximum time between the admission of a request by the rate limit and its start on a backend
/// server, in seconds.
const MAX_TRANSIT_S: f64 = 1.5;

/// How much larger the fraction of requests not served may be in a more important class than in the
/// next lower one.
const SHED_TOLERANCE: f64 = 0.01;

/// Checks all promises and returns how often each was checked and broken.
pub(super) fn check(
    records: &[CallRecord],
    system: &System,
    withdrawal: Withdrawal,
) -> Vec<Promise> {
    let observations = &system.observations;
    vec![
        check_each("retries are bounded end to end", records, |record| {
            !exceeds_retry_bound(observations, record)
        }),
        check_importance(records),
        promise("no backend server sees a key", observations.started.load(Ordering::Relaxed), {
            observations.with_credentials.load(Ordering::Relaxed)
        }),
        check_withdrawal(records, withdrawal),
        check_rates(records, observations),
        check_each("whole answers to the own request", records, |record| {
            record.result != CallResult::WrongAnswer
        }),
        check_not_run(records, observations),
        check_at_most_once(records, observations),
        promise(
            "a leaving backend server gets no new work",
            1,
            observations.after_drain.load(Ordering::Relaxed),
        ),
        check_each("a planned stop cuts no request", records, |record| {
            record.result != CallResult::Aborted
        }),
        check_document_in_force(system, withdrawal),
    ]
}

fn check_each(
    name: &'static str,
    records: &[CallRecord],
    holds: impl Fn(&CallRecord) -> bool,
) -> Promise {
    let broken = records.iter().filter(|record| !holds(record)).count();
    promise(name, records.len() as u64, broken as u64)
}

fn promise(name: &'static str, checked: u64, broken: u64) -> Promise {
    Promise { name, checked, broken }
}

fn exceeds_retry_bound(observations: &Observations, record: &CallRecord) -> bool {
    let trace = observations.trace(&record.operation);
    trace.starts.len() as u32 > 1 + trace.calls + RETRIES_PER_ROUTE
}

/// Checks that during the overload no importance loses a larger fraction of its requests than the next
/// lower one. The greedy customer is left out.
fn check_importance(records: &[CallRecord]) -> Promise {
    let mut losses: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    let is_counted = |record: &&CallRecord| {
        record.phase == "overload" && record.customer != super::traffic::GREEDY_CUSTOMER
    };
    for record in records.iter().filter(is_counted) {
        let (all, shed) = losses.entry(record.importance).or_default();
        *all += 1;
        *shed += u32::from(record.result != CallResult::Complete);
    }
    let lost_fraction = |importance: &str| {
        losses.get(importance).map_or(0.0, |(all, shed)| f64::from(*shed) / f64::from(*all))
    };
    let order = ["critical", "high", "normal", "low"].map(lost_fraction);
    let broken = order.windows(2).filter(|pair| pair[0] > pair[1] + SHED_TOLERANCE).count();
    promise("the less important is shed first", 3, broken as u64)
}

/// Checks that no request sent later than the limit after the withdrawal is served.
fn check_withdrawal(records: &[CallRecord], withdrawal: Withdrawal) -> Promise {
    let after_limit = |record: &&CallRecord| {
        record.customer == WITHDRAWN_CUSTOMER
            && record.sent > withdrawal.accepted + PROPAGATION_LIMIT
    };
    let checked = records
        .iter()
        .filter(|record| record.customer == WITHDRAWN_CUSTOMER)
        .filter(after_limit)
        .count();
    let served = records
        .iter()
        .filter(after_limit)
        .filter(|record| record.result == CallResult::Complete)
        .count();
    promise("a withdrawn key stops working", checked as u64, served as u64)
}

/// Checks that the requests of each customer that started on a backend server stay within its rate and
/// burst. Every window is extended by the time that a request may spend on its way.
fn check_rates(records: &[CallRecord], observations: &Observations) -> Promise {
    let mut broken = 0;
    for (customer, rate, burst) in CUSTOMERS {
        let own = records.iter().filter(|record| record.customer == customer);
        let mut times: Vec<Time> = own
            .filter_map(|record| observations.trace(&record.operation).starts.first().copied())
            .collect();
        times.sort();
        broken += u64::from(exceeds_rate(&times, rate, burst + rate * MAX_TRANSIT_S));
    }
    promise("no customer gets more than its rate and burst", CUSTOMERS.len() as u64, broken)
}

/// Whether any time window contains more requests than `rate` times its length plus `burst`.
fn exceeds_rate(times: &[Time], rate: f64, burst: f64) -> bool {
    let mut level = 0.0_f64;
    let mut last = None;
    for time in times {
        let gap = last.map_or(0.0, |last| time.since(last).as_secs_f64());
        level = (level - rate * gap).max(0.0) + 1.0;
        if level > burst + 1.0 {
            return true;
        }
        last = Some(*time);
    }
    false
}

fn check_not_run(records: &[CallRecord], observations: &Observations) -> Promise {
    let is_not_run = |record: &&CallRecord| {
        matches!(
            &record.result,
            CallResult::Refused { outcome, .. } if outcome == "not-run"
        )
    };
    let refused: Vec<_> = records.iter().filter(is_not_run).collect();
    let ran = refused
        .iter()
        .filter(|record| !observations.trace(&record.operation).starts.is_empty())
        .count();
    promise("\"not run\" means not run", refused.len() as u64, ran as u64)
}

fn check_at_most_once(records: &[CallRecord], observations: &Observations) -> Promise {
    let at_most_once: Vec<_> = records.iter().filter(|record| record.at_most_once).collect();
    let twice = at_most_once
        .iter()
        .filter(|record| observations.trace(&record.operation).starts.len() > 1)
        .count();
    promise("a sign-off runs at most once", at_most_once.len() as u64, twice as u64)
}

fn check_document_in_force(system: &System, withdrawal: Withdrawal) -> Promise {
    let late = withdrawal.propagation_time.is_none_or(|time| time > PROPAGATION_LIMIT);
    let broken = system.reversions() + u64::from(late);
    promise("an accepted document is in force everywhere", system.boards.len() as u64, broken)
}
