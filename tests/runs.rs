//! Which announcements of a backend server hold, in drawn histories of true, delayed, odd and withdrawn
//! ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gypsumtack::announcement::BackendServer;
use gypsumtack::runs::{MAX_DELAY, Runs, Verdict, Withdrawal};
use gypsumtack::time::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Interval between the announcements of a run, in milliseconds.
const INTERVAL_MS: u64 = 1_500;

/// Unix time at the start of a history, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

const CASES: u32 = 2_000;

/// One run of the backend server, as it really was.
#[derive(Debug, Clone)]
struct TrueRun {
    /// Whether it has the id of the run before it.
    same_id: bool,
    /// Number of announcements. The backend server of the last run lives on.
    announcements: usize,
    /// Delay of each announcement, in milliseconds.
    delays: Vec<u64>,
    /// How many of the last announcements say that it drains.
    draining: usize,
    /// Whether it withdraws at its end.
    withdraws: bool,
}

/// An announcement that another writer sent.
#[derive(Debug, Clone)]
struct Odd {
    at_ms: u64,
    /// Whether it names the id of the latest run.
    same_id: bool,
    /// Its start after that of the latest run, in milliseconds.
    started_after: u64,
    sequence: u64,
    draining: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Announce(BackendServer),
    Withdraw(String, u64),
}

fn backend(id: &str, started: u64, sequence: u64, draining: bool) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        started,
        sequence,
        cold_ms: 0,
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        slots: 8,
        draining,
    }
}

fn true_run() -> impl Strategy<Value = TrueRun> {
    let longest = MAX_DELAY.as_millis() as u64 - 1;
    let delay = prop_oneof![3 => Just(0_u64), 1 => 0..longest];
    (any::<bool>(), prop::collection::vec(delay, 1..12), 0_usize..4, any::<bool>()).prop_map(
        |(same_id, delays, draining, withdraws)| TrueRun {
            same_id,
            announcements: delays.len(),
            draining: draining.min(delays.len()),
            delays,
            withdraws,
        },
    )
}

fn odd() -> impl Strategy<Value = Odd> {
    let sequence = prop_oneof![0_u64..40, Just(u64::MAX), Just(1 << 40)];
    let started_after = prop_oneof![Just(0_u64), 1_u64..5_000, Just(1 << 40)];
    (0_u64..60_000, any::<bool>(), started_after, sequence, any::<bool>()).prop_map(
        |(at_ms, same_id, started_after, sequence, draining)| Odd {
            at_ms,
            same_id,
            started_after,
            sequence,
            draining,
        },
    )
}

/// Returns what arrives and when, in the order of arrival, and the start of the last run with its id.
fn history(runs: &[TrueRun], odds: &[Odd]) -> (BTreeMap<(u64, usize), Event>, String, u64, u64) {
    let mut events = BTreeMap::new();
    let mut add = |at: u64, event| {
        let order = events.len();
        events.insert((at, order), event);
    };
    let (mut at, mut id, mut starts) = (0, "i-0".to_owned(), Vec::new());
    for (index, run) in runs.iter().enumerate() {
        if !run.same_id {
            id = format!("i-{index}");
        }
        let started = EPOCH_MS + at;
        starts.push((at, id.clone(), started));
        for (sequence, delay) in run.delays.iter().enumerate() {
            let draining = sequence + run.draining >= run.announcements;
            let event = Event::Announce(backend(&id, started, sequence as u64 + 1, draining));
            add(at + delay, event);
            at += INTERVAL_MS;
        }
        if run.withdraws && index + 1 < runs.len() {
            add(at, Event::Withdraw(id.clone(), started));
        }
        at += INTERVAL_MS;
    }
    for odd in odds {
        let latest = starts.iter().rev().find(|start| start.0 <= odd.at_ms);
        let Some((_, id, started)) = latest else { continue };
        let id = if odd.same_id { id.as_str() } else { "i-odd" };
        let started = started.saturating_add(odd.started_after);
        add(odd.at_ms, Event::Announce(backend(id, started, odd.sequence, odd.draining)));
    }
    let (_, id, started) = starts.pop().unwrap();
    (events, id, started, at)
}

/// Applies an event. Returns the verdict on an announcement.
fn apply(runs: &mut Runs, at_ms: u64, event: &Event) -> Option<Verdict> {
    match event {
        Event::Announce(backend) => {
            Some(runs.judge(backend, Time::from_millis(at_ms), EPOCH_MS + at_ms))
        }
        Event::Withdraw(id, started) => {
            runs.withdraw(id, *started, EPOCH_MS + at_ms);
            None
        }
    }
}

fn check<T: std::fmt::Debug>(
    strategy: &impl Strategy<Value = T>,
    property: impl Fn(T) -> Result<(), TestCaseError>,
) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(strategy, property).unwrap();
}

/// Without odd announcements, the one that holds is the greatest by start and sequence number that has
/// arrived, unless its run has withdrawn.
#[test]
fn delayed_announcements_never_replace_newer_ones() {
    check(&prop::collection::vec(true_run(), 1..5), |true_runs| {
        let (events, ..) = history(&true_runs, &[]);
        let (mut runs, mut newest, mut withdrawn) = (Runs::default(), None, Vec::new());
        for ((at, _), event) in &events {
            let verdict = apply(&mut runs, *at, event);
            match event {
                Event::Announce(backend) => {
                    let key = (backend.started, backend.sequence);
                    let is_withdrawn = withdrawn.contains(&(backend.id.clone(), backend.started));
                    let holds = !is_withdrawn && newest.is_none_or(|newest| newest <= key);
                    prop_assert_eq!(verdict == Some(Verdict::Newest), holds, "{:?}", backend);
                    if holds {
                        newest = Some(key);
                    }
                }
                Event::Withdraw(id, started) => withdrawn.push((id.clone(), *started)),
            }
        }
        Ok(())
    });
}

/// Whatever single odd announcements arrive, the living run holds again once they have ended, and nothing
/// that has withdrawn comes back.
#[test]
fn odd_announcements_are_overcome() {
    let strategy = (prop::collection::vec(true_run(), 1..4), prop::collection::vec(odd(), 0..6));
    check(&strategy, |(true_runs, odds)| {
        let (events, id, started, end) = history(&true_runs, &odds);
        let (mut runs, mut withdrawn) = (Runs::default(), Vec::new());
        let mut last = end;
        for ((at, _), event) in &events {
            let verdict = apply(&mut runs, *at, event);
            last = last.max(*at);
            match event {
                Event::Announce(backend) => {
                    let is_withdrawn = withdrawn.contains(&(backend.id.clone(), backend.started));
                    prop_assert!(!is_withdrawn || verdict == Some(Verdict::Withdrawn));
                }
                Event::Withdraw(id, started) => withdrawn.push((id.clone(), *started)),
            }
        }
        let healing_ms = MAX_DELAY.as_millis() as u64 + 4 * INTERVAL_MS;
        let next = true_runs.last().unwrap().announcements as u64 + 1;
        // The last run sends its next announcements as it always did.
        let mut verdict = None;
        for sequence in next..next + healing_ms / INTERVAL_MS + 1 {
            last += INTERVAL_MS;
            let event = Event::Announce(backend(&id, started, sequence, false));
            verdict = apply(&mut runs, last, &event);
        }
        prop_assert_eq!(verdict, Some(Verdict::Newest));
        Ok(())
    });
}

/// Guards against an odd announcement that replaces a run that is heard all the time, however often it
/// comes.
#[test]
fn a_run_that_is_heard_is_not_replaced_by_an_earlier_start() {
    let mut runs = Runs::default();
    for beat in 0..100 {
        let now = Time::ZERO + Duration::from_millis(beat * INTERVAL_MS);
        let own = backend("i-1", EPOCH_MS, beat + 1, false);
        assert_eq!(runs.judge(&own, now, EPOCH_MS), Verdict::Newest);
        let odd = backend("i-0", EPOCH_MS - 1, beat + 1, false);
        assert_eq!(runs.judge(&odd, now, EPOCH_MS), Verdict::OtherRun);
    }
}

/// Guards against one odd announcement that adds to delayed ones from long ago.
#[test]
fn delayed_announcements_from_long_ago_prove_nothing() {
    let mut runs = Runs::default();
    let judge = |runs: &mut Runs, sequence, at_s: u64| {
        runs.judge(
            &backend("i-1", EPOCH_MS, sequence, false),
            Time::from_millis(at_s * 1_000),
            EPOCH_MS,
        )
    };
    assert_eq!(judge(&mut runs, 8, 0), Verdict::Newest);
    assert_eq!(judge(&mut runs, 5, 1), Verdict::Delayed);
    assert_eq!(judge(&mut runs, 6, 2), Verdict::Delayed);
    assert_eq!(judge(&mut runs, 9, 3), Verdict::Newest);
    assert_eq!(judge(&mut runs, 7, 60), Verdict::Delayed);
}

/// Guards against an instance that is never used beside a daemon whose clock is far behind.
#[test]
fn a_run_from_the_future_is_used_once_it_is_proved() {
    let mut runs = Runs::default();
    let started = EPOCH_MS + 3_600_000;
    let verdicts: Vec<Verdict> = (0..20)
        .map(|beat| {
            let now = Time::from_millis(beat * INTERVAL_MS);
            runs.judge(&backend("i-1", started, beat + 1, false), now, EPOCH_MS)
        })
        .collect();
    let proved = verdicts.iter().position(|verdict| *verdict == Verdict::Newest);
    assert!(proved.is_some_and(|proved| proved <= 8), "{verdicts:?}");
    assert!(verdicts[proved.unwrap()..].iter().all(|verdict| *verdict == Verdict::Newest));
    assert_eq!(runs.withdraw("i-1", started, EPOCH_MS), Withdrawal::Newest);
}

/// Guards against a backend server that is acknowledged and never used, since its clock was set back
/// after an earlier run of its id had withdrawn.
#[test]
fn a_run_of_a_withdrawn_id_with_an_earlier_start_is_used_once_it_is_proved() {
    let mut runs = Runs::default();
    let (earlier, withdrawn) = (EPOCH_MS - 5_000, EPOCH_MS);
    let verdict = runs.judge(&backend("one", withdrawn, 1, false), Time::ZERO, EPOCH_MS);
    assert_eq!(verdict, Verdict::Newest);
    assert_eq!(runs.withdraw("one", 0, EPOCH_MS), Withdrawal::Newest);
    let verdicts = (1..=20).map(|sequence| {
        let now = Time::from_millis(sequence * INTERVAL_MS);
        let late = backend("one", withdrawn, sequence + 1, false);
        assert_eq!(runs.judge(&late, now, EPOCH_MS), Verdict::Withdrawn);
        runs.judge(&backend("one", earlier, sequence, false), now, EPOCH_MS)
    });
    let verdicts: Vec<_> = verdicts.collect();
    let proved = MAX_DELAY.as_millis().div_ceil(u128::from(INTERVAL_MS)) as usize;
    assert!(verdicts[..proved - 1].iter().all(|verdict| *verdict == Verdict::Withdrawn));
    assert!(verdicts[proved..].iter().all(|verdict| *verdict == Verdict::Newest), "{verdicts:?}");
}

/// Guards against a run that withdrew without a start, which nobody knows, and announces itself on.
#[test]
fn a_run_that_withdrew_before_it_was_known_is_never_used() {
    let mut runs = Runs::default();
    assert_eq!(runs.withdraw("one", 0, EPOCH_MS), Withdrawal::Unannounced);
    for sequence in 1..=20 {
        let now = Time::from_millis(sequence * INTERVAL_MS);
        let verdict = runs.judge(&backend("one", EPOCH_MS - 5_000, sequence, false), now, EPOCH_MS);
        assert_eq!(verdict, Verdict::Withdrawn);
    }
}

/// Guards against a withdrawal that is forgotten because another one is repeated.
#[test]
fn a_repeated_withdrawal_takes_no_place_of_another() {
    let mut runs = Runs::default();
    runs.withdraw("one", EPOCH_MS, EPOCH_MS);
    for _ in 0..100 {
        runs.withdraw("two", EPOCH_MS, EPOCH_MS);
    }
    let verdict = runs.judge(&backend("one", EPOCH_MS, 9, false), Time::ZERO, EPOCH_MS);
    assert_eq!(verdict, Verdict::Withdrawn);
}
