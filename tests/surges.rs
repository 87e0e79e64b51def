//! The first situations of docs/POLICY.md, simulated with fake services under virtual time. The
//! decisions are those of the library; no clock, thread or socket is involved.

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

type Results = BTreeMap<String, Vec<(Figures, Figures)>>;

/// Results by situation. Several tests use the same situation, and each simulation takes seconds.
static RESULTS: Mutex<Results> = Mutex::new(Results::new());

/// Simulates the situation on both deployments, each with the policy of this library and with the naive
/// baseline.
fn simulate(name: &str) -> Vec<(Figures, Figures)> {
    let mut results = RESULTS.lock().expect("no test panics while it holds the lock");
    results.entry(name.to_owned()).or_insert_with(|| simulate_both(name)).clone()
}

fn simulate_both(name: &str) -> Vec<(Figures, Figures)> {
    let all = Situation::all();
    let situation =
        all.iter().find(|situation| situation.name == name).expect("no situation has this name");
    let simulate = |deployment: &deployment::Deployment, naive| {
        situations::run(deployment, situation, naive, SEED, false)
    };
    let both = [deployment::casablanca(), deployment::ulaanbaatar()];
    both.iter()
        .map(|deployment| (simulate(deployment, false), simulate(deployment, true)))
        .collect()
}

const SURGES: [&str; 4] = ["surge 1.5x", "surge 2x", "surge 5x", "surge 10x"];

/// All customers send several times the capacity of the bottleneck for eight seconds. Goodput is above
/// that of the baseline, and the system recovers within two seconds.
#[test]
fn a_surge_beats_the_baseline_and_the_system_recovers() {
    for name in SURGES {
        for (ours, naive) in simulate(name) {
            assert!(ours.goodput > naive.goodput, "{name}: {ours:?} {naive:?}");
            assert!(ours.worth > naive.worth, "{name}: {ours:?} {naive:?}");
            assert!(ours.recovery_s <= 2.0, "{name}: {ours:?}");
        }
    }
}

/// The goodput target of the requirements: complete requests as a fraction of the capacity of the
/// bottleneck.
#[test]
fn a_surge_costs_no_goodput() {
    for name in SURGES {
        for (ours, _) in simulate(name) {
            assert!(ours.goodput >= 0.95, "{name}: {ours:?}");
        }
    }
}

/// All customers send five times the capacity of the bottleneck; no customer within its rate gets much
/// less than its fair share.
#[test]
fn a_surge_leaves_each_customer_its_due() {
    for (ours, _) in simulate("surge 5x") {
        assert!(ours.worst_customer >= 0.95, "{ours:?}");
    }
}

/// The deepest service becomes ten times slower. Goodput and worth stay above those of the baseline.
#[test]
fn a_slow_bottleneck_still_completes_requests() {
    for (ours, naive) in simulate("deep slow 10x") {
        assert!(ours.goodput > naive.goodput, "{ours:?} {naive:?}");
        assert!(ours.worth > naive.worth, "{ours:?} {naive:?}");
    }
}

/// Callers immediately retry requests that were refused or failed. The overload must not outlast its
/// cause.
#[test]
fn immediate_retries_do_not_sustain_an_overload() {
    for (ours, naive) in simulate("hard retries 2x") {
        assert!(ours.recovery_s <= 2.0, "{ours:?}");
        assert!(ours.worth > naive.worth, "{ours:?} {naive:?}");
    }
}

/// One customer sends eight times its rate; every customer still gets at least 95% of its
/// fair share.
#[test]
fn a_greedy_customer_takes_no_capacity_from_others() {
    for (ours, _) in simulate("greedy 8x") {
        assert!(ours.worst_customer >= 0.95, "{ours:?}");
    }
}

/// One customer sends eight times its rate; at most one in a thousand requests of the others is
/// refused.
#[test]
fn a_greedy_customer_gets_no_other_refused() {
    for (ours, _) in simulate("greedy 8x") {
        assert!(ours.refused_within <= 0.001, "{ours:?}");
    }
}
