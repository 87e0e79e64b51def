//! Callers that come back after a refusal, at an entry that has to refuse a share of a class. No network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use gypsumtack::returns::{ReturnKey, Returns};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What callers got over 30 s.
#[derive(Debug, Default)]
struct Outcome {
    callers: f64,
    served: f64,
    requests: f64,
    admitted: f64,
}

/// Simulates callers that arrive at `rate` per second and come back once after a refusal, while the share
/// `refused_share` of all requests is to be refused.
fn simulate(rate: f64, refused_share: f32, seed: u64, recognizes: bool) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut returns = Returns::default();
    let mut arrivals = BinaryHeap::new();
    let mut outcome = Outcome::default();
    for caller in 0..(rate * 30.0) as u64 {
        arrivals.push(Reverse((rng.random_range(0..30_000_u64), caller, true)));
        outcome.callers += 1.0;
    }
    while let Some(Reverse((ms, caller, first))) = arrivals.pop() {
        // An entry that does not recognize callers sees a new request each time.
        let key = ReturnKey(if recognizes { caller } else { rng.random() });
        outcome.requests += 1.0;
        let (draw, wait) = (rng.random(), Duration::from_millis(rng.random_range(300..750)));
        if !returns.refuses(0, key, refused_share, draw, (Time::from_millis(ms), wait)) {
            outcome.admitted += 1.0;
            outcome.served += 1.0;
        } else if first {
            arrivals.push(Reverse((ms + wait.as_millis() as u64, caller, false)));
        }
    }
    outcome
}

#[test]
fn the_share_that_is_admitted_is_as_asked_for() {
    for (rate, refused_share) in [(5.0, 0.3), (20.0, 0.5), (100.0, 0.7)] {
        for seed in 0..5 {
            let outcome = simulate(rate, refused_share, seed, true);
            let admitted = outcome.admitted / outcome.requests;
            let expected = f64::from(1.0 - refused_share);
            assert!(
                (admitted - expected).abs() < 0.08,
                "rate {rate}, share {refused_share}, seed {seed}: {admitted:.2} admitted"
            );
        }
    }
}

/// Guards against callers who come back as they were told to, only to be refused again.
#[test]
fn fewer_callers_leave_with_nothing() {
    for seed in 0..5 {
        let ours = simulate(20.0, 0.5, seed, true);
        let blind = simulate(20.0, 0.5, seed, false);
        let sent = |outcome: &Outcome| outcome.requests / outcome.callers;
        let twice_refused = |outcome: &Outcome| {
            (outcome.requests - outcome.callers) - (outcome.served - first_served(outcome))
        };
        assert!(
            twice_refused(&ours) < 0.2 * twice_refused(&blind),
            "seed {seed}: {ours:?} {blind:?}"
        );
        assert!(sent(&ours) < 2.0);
    }
}

/// Number of callers who were served at their first request: the others sent a second one.
fn first_served(outcome: &Outcome) -> f64 {
    2.0 * outcome.callers - outcome.requests
}

/// A class that is refused as a whole is not let in because its callers come back.
#[test]
fn a_class_that_is_refused_stays_refused() {
    let outcome = simulate(20.0, 1.0, 1, true);
    assert_eq!(outcome.admitted, 0.0);
}

#[test]
fn nothing_is_refused_without_overload() {
    let outcome = simulate(20.0, 0.0, 1, true);
    assert_eq!(outcome.admitted, outcome.requests);
}

/// Guards against callers that repeat at once and often, and so get the places of those who wait as they
/// were told to.
#[test]
fn a_caller_that_comes_back_early_gains_nothing() {
    let mut returns = Returns::default();
    let wait = Duration::from_millis(500);
    let mut refuses = |key: u64, draw: f32, ms: u64| {
        returns.refuses(0, ReturnKey(key), 0.5, draw, (Time::from_millis(ms), wait))
    };
    for key in 0..20 {
        assert!(refuses(key, 0.0, 1_000), "a new caller with the lowest draw is refused");
    }
    assert!(refuses(1, 0.3, 1_100), "it was told to come back after 500 ms");
    assert!(!refuses(2, 0.3, 1_500), "it comes back as it was told to");
}
