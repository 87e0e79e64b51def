//! The loads of docs/POLICY.md that come first, played on fake services under virtual time: the decisions
//! are the library's, and no clock, thread or socket takes part.

#![allow(dead_code, reason = "the example uses more of these than the tests")]

#[path = "../examples/policy/crash.rs"]
mod crash;
#[path = "../examples/policy/deployment.rs"]
mod deployment;
#[path = "../examples/policy/ending.rs"]
mod ending;
#[path = "../examples/policy/exchange.rs"]
mod exchange;
#[path = "../examples/policy/fakes.rs"]
mod fakes;
#[path = "../examples/policy/measure.rs"]
mod measure;
#[path = "../examples/policy/parts.rs"]
mod parts;
#[path = "../examples/policy/situations.rs"]
mod situations;

use std::collections::BTreeMap;
use std::sync::Mutex;

use measure::Figures;
use situations::Situation;

const SEED: u64 = 1;

type Played = BTreeMap<String, Vec<(Figures, Figures)>>;

/// Several tests look at the same situation, and each takes seconds to play.
static PLAYED: Mutex<Played> = Mutex::new(Played::new());

/// Plays the situation on both deployments, each with ours and with the naive baseline.
fn play(name: &str) -> Vec<(Figures, Figures)> {
    let mut played = PLAYED.lock().expect("no test holds it when it fails");
    played.entry(name.to_owned()).or_insert_with(|| play_both(name)).clone()
}

fn play_both(name: &str) -> Vec<(Figures, Figures)> {
    let all = Situation::all();
    let situation = all.iter().find(|situation| situation.name == name).expect("it is known");
    let play = |deployment: &deployment::Deployment, naive| {
        situations::run(deployment, situation, naive, SEED, false)
    };
    let both = [deployment::casablanca(), deployment::ulaanbaatar()];
    both.iter().map(|deployment| (play(deployment, false), play(deployment, true))).collect()
}

const SURGES: [&str; 4] = ["surge 1.5x", "surge 2x", "surge 5x", "surge 10x"];

/// Everyone sends several times what the bottleneck can do, for eight seconds.
#[test]
fn a_surge_leaves_whole_requests_and_passes() {
    for name in SURGES {
        for (ours, naive) in play(name) {
            assert!(ours.goodput > naive.goodput, "{name}: {ours:?} {naive:?}");
            assert!(ours.worth > naive.worth, "{name}: {ours:?} {naive:?}");
            assert!(ours.recovery_s <= 2.0, "{name}: {ours:?}");
        }
    }
}

/// The brief's target for whole requests, as a part of what the bottleneck can do.
#[test]
fn a_surge_costs_no_goodput() {
    for name in SURGES {
        for (ours, _) in play(name) {
            assert!(ours.goodput >= 0.95, "{name}: {ours:?}");
        }
    }
}

/// Everyone sends five times what the bottleneck can do; nobody within its rate gets much less than its due.
#[test]
fn a_surge_leaves_each_customer_its_due() {
    for (ours, _) in play("surge 5x") {
        assert!(ours.worst_customer >= 0.95, "{ours:?}");
    }
}

/// The deepest service becomes ten times slower.
#[test]
fn a_slow_bottleneck_still_completes_requests() {
    for (ours, naive) in play("deep slow 10x") {
        assert!(ours.goodput > naive.goodput, "{ours:?} {naive:?}");
        assert!(ours.worth > naive.worth, "{ours:?} {naive:?}");
    }
}

/// Callers send again at once what was refused or failed.
#[test]
fn callers_that_retry_hard_do_not_keep_an_overload_alive() {
    for (ours, naive) in play("hard retries 2x") {
        assert!(ours.recovery_s <= 2.0, "{ours:?}");
        assert!(ours.worth > naive.worth, "{ours:?} {naive:?}");
    }
}

/// One customer sends eight times its rate.
#[test]
fn a_greedy_customer_takes_no_capacity_from_others() {
    for (ours, _) in play("greedy 8x") {
        assert!(ours.worst_customer >= 0.95, "{ours:?}");
    }
}

/// One customer sends eight times its rate; at most one in a thousand of the others' requests is refused.
#[test]
fn a_greedy_customer_gets_no_other_refused() {
    for (ours, _) in play("greedy 8x") {
        assert!(ours.refused_within <= 0.001, "{ours:?}");
    }
}
