//! The promises of the brief, checked over everything that the demo saw.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gypsumtack::time::Time;

use super::report::Promise;
use super::system::{System, Withdrawal};
use super::traffic::{CUSTOMERS, Ending, Kind, WITHDRAWN};
use crate::backend::Observations;

/// Retries that each route of the demo allows.
const ALLOWANCE: u32 = 2;

/// How soon a withdrawn key must stop working, and a document must be everywhere.
const SECONDS: Duration = Duration::from_secs(4);

/// How long a request may wait between its token and a backend server, in seconds.
const LONGEST_WAY: f64 = 1.5;

/// How much more of a more important class may be shed, as a fraction.
const SHED_TOLERANCE: f64 = 0.01;

/// Checks all promises.
pub(super) fn check(endings: &[Ending], system: &System, withdrawal: Withdrawal) -> Vec<Promise> {
    let seen = &system.seen;
    vec![
        each("retries are bounded end to end", endings, |e| !retried_too_much(seen, e)),
        importance(endings),
        count("no backend server sees a key", seen.started.load(Ordering::Relaxed), {
            seen.with_credentials.load(Ordering::Relaxed)
        }),
        withdrawn(endings, withdrawal),
        rates(endings, seen),
        each("whole answers to the own request", endings, |e| e.kind != Kind::Wrong),
        not_run(endings, seen),
        at_most_once(endings, seen),
        count(
            "a leaving backend server gets no new work",
            1,
            seen.after_drain.load(Ordering::Relaxed),
        ),
        each("a planned stop cuts no request", endings, |e| e.kind != Kind::Cut),
        in_force(system, withdrawal),
    ]
}

fn each(name: &'static str, endings: &[Ending], holds: impl Fn(&Ending) -> bool) -> Promise {
    let broken = endings.iter().filter(|ending| !holds(ending)).count();
    count(name, endings.len() as u64, broken as u64)
}

fn count(name: &'static str, checked: u64, broken: u64) -> Promise {
    Promise { name, checked, broken }
}

fn retried_too_much(seen: &Observations, ending: &Ending) -> bool {
    let trace = seen.trace(&ending.operation);
    trace.starts.len() as u32 > 1 + trace.calls + ALLOWANCE
}

/// During the overload, each importance loses at most as large a part as the next lower one.
fn importance(endings: &[Ending]) -> Promise {
    let mut lost: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    let counted = |e: &&Ending| e.phase == "overload" && e.customer != super::traffic::GREEDY;
    for ending in endings.iter().filter(counted) {
        let (all, shed) = lost.entry(ending.importance).or_default();
        *all += 1;
        *shed += u32::from(ending.kind != Kind::Whole);
    }
    let part = |importance: &str| {
        lost.get(importance).map_or(0.0, |(all, shed)| f64::from(*shed) / f64::from(*all))
    };
    let order = ["critical", "high", "normal", "low"].map(part);
    let broken = order.windows(2).filter(|pair| pair[0] > pair[1] + SHED_TOLERANCE).count();
    count("the less important is shed first", 3, broken as u64)
}

/// No request that was sent some seconds after the withdrawal is served.
fn withdrawn(endings: &[Ending], withdrawal: Withdrawal) -> Promise {
    let late = |e: &&Ending| e.customer == WITHDRAWN && e.sent > withdrawal.accepted + SECONDS;
    let all = endings.iter().filter(|e| e.customer == WITHDRAWN).filter(late).count();
    let served = endings.iter().filter(late).filter(|e| e.kind == Kind::Whole).count();
    count("a withdrawn key stops working", all as u64, served as u64)
}

/// The requests of each customer that reached a backend server stay within rate and burst, with the
/// time that they may wait on their way added to every window.
fn rates(endings: &[Ending], seen: &Observations) -> Promise {
    let mut broken = 0;
    for (customer, rate, burst) in CUSTOMERS {
        let mine = endings.iter().filter(|ending| ending.customer == customer);
        let mut times: Vec<Time> = mine
            .filter_map(|ending| seen.trace(&ending.operation).starts.first().copied())
            .collect();
        times.sort();
        broken += u64::from(exceeds(&times, rate, burst + rate * LONGEST_WAY));
    }
    count("no customer gets more than its rate and burst", CUSTOMERS.len() as u64, broken)
}

/// Whether any window holds more than `rate` times its length plus `burst`.
fn exceeds(times: &[Time], rate: f64, burst: f64) -> bool {
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

fn not_run(endings: &[Ending], seen: &Observations) -> Promise {
    let says =
        |e: &&Ending| matches!(&e.kind, Kind::Refused { outcome, .. } if outcome == "not-run");
    let said: Vec<_> = endings.iter().filter(says).collect();
    let ran = said.iter().filter(|e| !seen.trace(&e.operation).starts.is_empty()).count();
    count("\"not run\" means not run", said.len() as u64, ran as u64)
}

fn at_most_once(endings: &[Ending], seen: &Observations) -> Promise {
    let once: Vec<_> = endings.iter().filter(|ending| ending.once).collect();
    let twice = once.iter().filter(|e| seen.trace(&e.operation).starts.len() > 1).count();
    count("a sign-off runs at most once", once.len() as u64, twice as u64)
}

fn in_force(system: &System, withdrawal: Withdrawal) -> Promise {
    let late = withdrawal.everywhere.is_none_or(|span| span > SECONDS);
    let broken = system.reverted() + u64::from(late);
    count("an accepted document is in force everywhere", system.boards.len() as u64, broken)
}
