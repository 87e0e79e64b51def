//! How fast the fleet learns of a change of one VM, with simulated heartbeats. No network.

use std::time::Duration;

use gypsumtack::member::{Record, State, View};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time from a change that has to be forwarded until the heartbeats that carry it have arrived.
const ROUND_MS: u64 = 20;

/// Peers of a regular round of heartbeats and of one after a change, as in `controllers`.
const REGULAR_PEERS: (usize, usize) = (2, 1);
const UPDATE_PEERS: (usize, usize) = (4, 2);

fn name(vm: usize) -> String {
    format!("vm-{vm:03}")
}

fn domain(vm: usize) -> String {
    format!("d{}", vm % 5)
}

fn record(vm: usize, counter: u64, state: State) -> Record {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    Record {
        vm: name(vm),
        incarnation: 1,
        counter,
        state,
        suspect: false,
        domain: domain(vm),
        service: "lists".to_owned(),
        slots: 10,
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        epoch: 1,
        peers: address(1),
        control: address(2),
        operators: address(3),
    }
}

/// Simulates a fleet in which one VM begins to leave, and returns the time until `part` of the others know.
fn time_to_learn(count: usize, part: f64, seed: u64) -> Duration {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Time::from_millis(10_000);
    let mut view = View::default();
    for vm in 0..count {
        view.merge(record(vm, 1, State::Ready), Time::ZERO);
    }
    while !view.take_rumors().is_empty() {}
    let mut views = vec![view; count];
    let mut next_regular: Vec<u64> = (0..count).map(|_| rng.random_range(0..1_000)).collect();
    let mut due = vec![false; count];
    views[0].merge(record(0, 2, State::Leaving), start);
    due[0] = true;
    for ms in (0..20_000).step_by(ROUND_MS as usize) {
        let now = start + Duration::from_millis(ms);
        let knows = |view: &View| view.get("vm-000").unwrap().record.state == State::Leaving;
        if views.iter().filter(|view| knows(view)).count() as f64 >= part * count as f64 {
            return Duration::from_millis(ms);
        }
        for vm in 0..count {
            let peers = match std::mem::take(&mut due[vm]) {
                true => UPDATE_PEERS,
                false if next_regular[vm] <= ms => REGULAR_PEERS,
                false => continue,
            };
            next_regular[vm] = ms + rng.random_range(500..1_500);
            for peer in views[vm].sample_peers(&name(vm), &domain(vm), peers, &mut rng) {
                let peer: usize = peer.vm[3..].parse().unwrap();
                let sent = views[vm].take_rumors();
                due[peer] |= views[peer].merge_heartbeat(sent, now);
                let answered = views[peer].take_rumors();
                due[vm] |= views[vm].merge_heartbeat(answered, now);
            }
        }
    }
    panic!("seed {seed}: not all of {count} VMs learn of the change");
}

/// Guards against requests that are still sent to a VM seconds after it has said that it leaves: nearly all
/// of a large fleet have to know within the time that the shutdown waits for them.
#[test]
fn a_large_fleet_learns_within_a_second_that_a_vm_leaves() {
    for count in [14, 100, 195] {
        for seed in 0..3 {
            let time = time_to_learn(count, 0.99, seed);
            assert!(time <= Duration::from_secs(1), "{count} VMs, seed {seed}: {time:?}");
        }
    }
}

/// Regular rounds bring the change to the last ones.
#[test]
fn every_vm_learns_within_the_time_that_a_backend_server_drains() {
    for count in [14, 100, 195] {
        for seed in 0..3 {
            let time = time_to_learn(count, 1.0, seed);
            assert!(time <= Duration::from_secs(2), "{count} VMs, seed {seed}: {time:?}");
        }
    }
}
