//! What a daemon that starts again recalls of the runs of its backend server that have left.

use gypsumtack::announcement::BackendServer;
use gypsumtack::member::{Record, State, View};
use gypsumtack::runs::{Runs, Verdict, Withdrawal, Withdrawn};
use gypsumtack::time::Time;
use gypsumtack::withdrawals::{MAX_TOLD, merge};

const UNIX_MS: u64 = 1_800_000_000_000;

fn backend(id: &str, started: u64) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        started,
        sequence: 4,
        cold_ms: 0,
        service: "deep".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        slots: 4,
        draining: false,
    }
}

fn record(incarnation: u64, state: State, withdrawn: Vec<Withdrawn>) -> Record {
    let address = ([127, 0, 0, 1], 9).into();
    Record {
        vm: "vm-0".to_owned(),
        incarnation,
        counter: 1,
        state,
        suspect: false,
        domain: "a".to_owned(),
        service: "deep".to_owned(),
        slots: 4,
        run: backend("one", 7).run(),
        withdrawn,
        sheds: false,
        limit: None,
        epoch: 1,
        peers: address,
        control: address,
        operators: address,
    }
}

/// Guards against a late announcement that is the first one a daemon hears after its start.
#[test]
fn a_recalled_run_is_not_the_newest() {
    let (late, successor) = (backend("one", UNIX_MS - 9_000), backend("one", UNIX_MS - 10));
    let mut before = Runs::default();
    assert_eq!(before.judge(&late, Time::ZERO, UNIX_MS), Verdict::Newest);
    assert_eq!(before.withdraw("one", late.started, UNIX_MS), Withdrawal::Newest);
    let told: Vec<_> = before.withdrawn().cloned().collect();

    let mut after = Runs::default();
    after.recall(&told);
    for second in [0, 4, 5] {
        let now = Time::from_millis(second * 1_000);
        assert_eq!(after.judge(&late, now, UNIX_MS), Verdict::Withdrawn);
    }
    // A later run may have the same id.
    assert_eq!(after.judge(&successor, Time::from_millis(6_000), UNIX_MS), Verdict::Newest);
}

/// Guards against a run that is remembered as leaving although it announced no start, so that its successor
/// of the same id would never be used.
#[test]
fn a_run_without_a_start_is_not_kept() {
    assert_eq!(Withdrawn::of(&backend("one", 0)), None);
    assert_eq!(Withdrawn::of(&backend("", 7)), None);
    let kept = Withdrawn::of(&backend("one", 7)).unwrap();
    assert!(kept.contains(&backend("one", 7)) && !kept.contains(&backend("one", 8)));
    assert_eq!(kept.run(), backend("one", 7).run());
}

/// Guards against peers that lose a withdrawal when the VM's daemon starts again and has not learned of it.
#[test]
fn a_peer_keeps_a_withdrawal_beside_a_later_record() {
    let withdrawn = vec![Withdrawn::of(&backend("one", 7)).unwrap()];
    let mut view = View::default();
    view.merge(record(1, State::Waiting, withdrawn.clone()), Time::ZERO);
    let restarted = record(2, State::Ready, Vec::new());
    view.merge(restarted.clone(), Time::ZERO);
    assert_eq!(view.get("vm-0").unwrap().record, restarted);
    assert_eq!(view.withdrawn("vm-0"), withdrawn);
    assert!(view.is_leaving(&restarted), "it would get requests");
    // A row of the store that is older than what peers have told.
    let mut late = View::default();
    late.merge(restarted, Time::ZERO);
    late.merge(record(1, State::Waiting, withdrawn.clone()), Time::ZERO);
    assert_eq!(late.withdrawn("vm-0"), withdrawn);
}

#[test]
fn the_last_withdrawals_are_told() {
    let all: Vec<_> = (1..20).filter_map(|start| Withdrawn::of(&backend("one", start))).collect();
    let mut told = Vec::new();
    assert!(merge(&mut told, &all));
    assert_eq!(told, all[all.len() - MAX_TOLD..]);
    assert!(!merge(&mut told, &all[all.len() - 2..]));
}
