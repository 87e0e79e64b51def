//! Property test of fleet-wide rate limits. VMs share a customer's rate through the roster in a
//! simulated store, with random joins, departures, restarts without state, partitions, delayed and lost
//! writes, pauses and loans. No time window of length `w` may admit more than `rate * w + burst`
//! requests. Deliberate defects in the protocol verify that the check detects violations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gypsumtack::member::{GONE_TIMEOUT, Record, State, View};
use gypsumtack::roster::{KEY, Members, Roster};
use gypsumtack::share::{LOAN_VALIDITY, ShareBucket};
use gypsumtack::store::{Commit, Row, Transaction};
use gypsumtack::time::Time;
use gypsumtack_standin::table::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};

const RATE: f64 = 4.0;
const BURST: f64 = 24.0;
const VMS: usize = 6;
const CUSTOMER: &str = "acme";

/// A deliberate defect in the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// A VM uses its new share before all members have acknowledged the change.
    GrowsUnacknowledged,
    /// The roster is settled although not all members have acknowledged it.
    SettlesUnacknowledged,
    /// A VM that restarts and reads the first roster again starts with a full bucket.
    FillsOnRestart,
    /// A VM that left the roster continues to use its share.
    KeepsShareAfterLeaving,
    /// A borrowed token is used regardless of when it arrives.
    UsesExpiredLoans,
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Take(usize, u32),
    /// The first VM lends a token to the second, which receives it after this many milliseconds.
    Borrow(usize, usize, u64),
    /// The VM reads the roster's row.
    Read(usize),
    /// The first VM sends its roster and the epochs it knows to the second.
    Gossip(usize, usize),
    Join(usize, Fault),
    Settle(usize, Fault),
    Leave(usize, Fault),
    Restart(usize),
    /// The store applies the oldest delayed write.
    DeliverDelayed,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The write takes effect, but its answer is lost.
    AnswerLost,
    /// The answer is lost, and the write takes effect later or not at all.
    Delayed,
}

struct Vm {
    name: String,
    roster: Roster,
    /// The newest epoch that each VM is known to have acknowledged.
    known_epochs: BTreeMap<String, u64>,
    holding: ShareBucket,
    leaving: bool,
    /// Whether no VM of this name has run before.
    first_start: bool,
}

struct Simulation {
    now: Time,
    table: Table,
    vms: Vec<Vm>,
    delayed: VecDeque<Transaction>,
    /// Loans in transit: time of arrival and time of the borrower's request.
    loans: Vec<(Time, Time)>,
    admitted: Vec<Time>,
    defect: Defect,
}

fn domain(at: usize) -> String {
    format!("d{}", at % 2)
}

impl Simulation {
    fn new(defect: Defect) -> Self {
        let vm = |at: usize| Vm {
            name: format!("vm-{at}"),
            roster: Roster::default(),
            known_epochs: BTreeMap::new(),
            holding: ShareBucket::new(RATE, BURST, Time::ZERO),
            leaving: false,
            first_start: true,
        };
        Self {
            now: Time::ZERO,
            table: Table::default(),
            vms: (0..VMS).map(vm).collect(),
            delayed: VecDeque::new(),
            loans: Vec::new(),
            admitted: Vec::new(),
            defect,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.advance(Duration::from_millis(ms)),
            Step::Take(vm, count) => {
                for _ in 0..count {
                    if self.vms[vm].holding.take(self.now).is_ok() {
                        self.admitted.push(self.now);
                    }
                }
            }
            Step::Borrow(from, to, ms) => {
                if from != to && self.vms[from].holding.lend(self.now) {
                    self.loans.push((self.now + Duration::from_millis(ms), self.now));
                }
            }
            Step::Read(vm) => drop(self.read(vm)),
            Step::Gossip(from, to) => self.gossip(from, to),
            Step::Join(vm, fault) => self.join(vm, fault),
            Step::Settle(vm, fault) => self.settle(vm, fault),
            Step::Leave(vm, fault) => self.leave(vm, fault),
            Step::Restart(vm) => self.restart(vm),
            Step::DeliverDelayed => {
                if let Some(transaction) = self.delayed.pop_front() {
                    self.table.commit(&transaction);
                }
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        let (arrived, later): (Vec<_>, Vec<_>) = self.loans.iter().partition(|(at, _)| *at <= end);
        self.loans = later;
        for (at, requested) in arrived {
            if at.since(requested) <= LOAN_VALIDITY || self.defect == Defect::UsesExpiredLoans {
                self.admitted.push(at);
            }
        }
        self.now = end;
    }

    fn adopt(&mut self, vm: usize, roster: &Roster) {
        let (now, defect) = (self.now, self.defect);
        let vm = &mut self.vms[vm];
        if roster.version <= vm.roster.version {
            return;
        }
        let is_first_roster = roster.epoch == 1 && vm.roster.epoch == 0;
        vm.roster = roster.clone();
        let usable = match defect {
            Defect::GrowsUnacknowledged => Roster { settled: None, ..roster.clone() },
            _ => roster.clone(),
        };
        let share = usable.share(&vm.name, CUSTOMER, BURST);
        if !vm.leaving {
            vm.holding.set_fraction(share, now);
            if is_first_roster && (vm.first_start || defect == Defect::FillsOnRestart) {
                vm.holding.fill(now);
            }
        }
        let (name, epoch) = (vm.name.clone(), vm.roster.epoch);
        vm.known_epochs.insert(name, epoch);
    }

    fn read(&mut self, vm: usize) -> u64 {
        let Some(row) = self.table.row(KEY).cloned() else { return 0 };
        let roster: Roster = row.decode().unwrap();
        self.adopt(vm, &roster);
        row.version
    }

    fn gossip(&mut self, from: usize, to: usize) {
        let (known_epochs, roster) =
            (self.vms[from].known_epochs.clone(), self.vms[from].roster.clone());
        for (vm, epoch) in known_epochs {
            let known = self.vms[to].known_epochs.entry(vm).or_default();
            *known = (*known).max(epoch);
        }
        self.adopt(to, &roster);
    }

    fn join(&mut self, at: usize, fault: Fault) {
        let version = self.read(at);
        let vm = &self.vms[at];
        let joining = Members::from([(vm.name.clone(), domain(at))]);
        if vm.leaving {
            return;
        }
        if let Some(next) = vm.roster.join(&joining) {
            self.write(at, version, &next, fault);
        }
    }

    fn settle(&mut self, at: usize, fault: Fault) {
        let version = self.read(at);
        let vm = &self.vms[at];
        let knows = |(_, epoch): &(&String, &u64)| **epoch >= vm.roster.epoch;
        let acknowledged: BTreeSet<&str> = match self.defect {
            Defect::SettlesUnacknowledged => vm.roster.members.keys().map(String::as_str).collect(),
            _ => vm.known_epochs.iter().filter(knows).map(|(vm, _)| vm.as_str()).collect(),
        };
        if let Some(next) = vm.roster.settle(&acknowledged) {
            self.write(at, version, &next, fault);
        }
    }

    fn leave(&mut self, at: usize, fault: Fault) {
        let (now, defect) = (self.now, self.defect);
        let version = self.read(at);
        let vm = &mut self.vms[at];
        if defect != Defect::KeepsShareAfterLeaving {
            vm.holding.set_fraction(0.0, now);
            vm.leaving = true;
        }
        if let Some(next) = vm.roster.leave(&vm.name) {
            let share = vm.holding.fraction();
            self.write(at, version, &next, fault);
            if defect == Defect::KeepsShareAfterLeaving {
                self.vms[at].holding.set_fraction(share, now);
            }
        }
    }

    /// Restarts the VM under the same name, without any of its state.
    fn restart(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.roster = Roster::default();
        vm.known_epochs.clear();
        vm.holding = ShareBucket::new(RATE, BURST, self.now);
        vm.leaving = false;
        vm.first_start = false;
    }

    fn write(&mut self, at: usize, version: u64, next: &Roster, fault: Fault) {
        let transaction = Transaction::default().check(KEY, version).put(KEY, next);
        match fault {
            Fault::None => {
                if let Commit::Done(_) = self.table.commit(&transaction) {
                    self.adopt(at, next);
                }
            }
            Fault::AnswerLost => drop(self.table.commit(&transaction)),
            Fault::Delayed => self.delayed.push_back(transaction),
        }
    }
}

/// Returns the maximum number of requests by which any window exceeds `RATE * w + BURST`.
fn excess(times: &[Time]) -> f64 {
    let mut times = times.to_vec();
    times.sort();
    let (mut level, mut worst, mut last) = (0.0_f64, 0.0_f64, Time::ZERO);
    for time in times {
        level = (level - RATE * time.since(last).as_secs_f64()).max(0.0) + 1.0;
        worst = worst.max(level - BURST);
        last = time;
    }
    worst
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let vm = || 0..VMS;
    let fault = || {
        prop_oneof![
            6 => Just(Fault::None),
            1 => Just(Fault::AnswerLost),
            1 => Just(Fault::Delayed),
        ]
    };
    let step = prop_oneof![
        4 => (1_u64..800).prop_map(Step::Advance),
        1 => (4_000_u64..20_000).prop_map(Step::Advance),
        6 => (vm(), 1_u32..30).prop_map(|(vm, count)| Step::Take(vm, count)),
        2 => (vm(), vm(), 0_u64..8_000).prop_map(|(a, b, ms)| Step::Borrow(a, b, ms)),
        2 => vm().prop_map(Step::Read),
        6 => (vm(), vm()).prop_map(|(a, b)| Step::Gossip(a, b)),
        4 => (vm(), fault()).prop_map(|(vm, fault)| Step::Join(vm, fault)),
        4 => (vm(), fault()).prop_map(|(vm, fault)| Step::Settle(vm, fault)),
        2 => (vm(), fault()).prop_map(|(vm, fault)| Step::Leave(vm, fault)),
        1 => vm().prop_map(Step::Restart),
        1 => Just(Step::DeliverDelayed),
    ];
    proptest::collection::vec(step, 20..250)
}

fn check(defect: Defect, cases: u32) -> Result<(), TestError<Vec<Step>>> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
        let mut simulation = Simulation::new(defect);
        for step in &steps {
            simulation.step(step);
        }
        let excess = excess(&simulation.admitted);
        prop_assert!(excess <= 1e-6, "{excess} tokens above the limit");
        Ok(())
    })
}

#[test]
fn no_window_admits_more_than_rate_and_burst() {
    if let Err(error) = check(Defect::None, 3_000) {
        panic!("{error}");
    }
}

#[test]
fn each_defect_is_detected() {
    for defect in [
        Defect::GrowsUnacknowledged,
        Defect::SettlesUnacknowledged,
        Defect::FillsOnRestart,
        Defect::KeepsShareAfterLeaving,
    ] {
        assert!(check(defect, 3_000).is_err(), "{defect:?} was not detected");
    }
}

/// A borrowed token that arrives after the lender has stopped counting it must not be used, because the
/// lender's bucket may have refilled to its full burst by then.
#[test]
fn an_expired_loan_is_not_used() {
    let mut steps = vec![Step::Join(0, Fault::None), Step::Advance(20_000)];
    steps.extend((0..20).map(|_| Step::Borrow(0, 1, 5_000)));
    steps.extend([Step::Advance(5_000), Step::Take(0, 60)]);
    let run = |defect| {
        let mut simulation = Simulation::new(defect);
        steps.iter().for_each(|step| simulation.step(step));
        excess(&simulation.admitted)
    };
    assert!(run(Defect::None) <= 1e-6);
    assert!(run(Defect::UsesExpiredLoans) > 1.0, "the use of expired loans was not detected");
}

fn members(count: usize) -> Members {
    (0..count).map(|at| (format!("vm-{at:03}"), format!("d{}", at % 3))).collect()
}

/// Shares sum to 1 for any burst and fleet size, no share is too small to ever hold a token, and every
/// failure domain has an owner if the burst is large enough.
#[test]
fn shares_sum_to_one_and_every_domain_has_an_owner() {
    for count in [1, 2, 3, 14, 60, 410] {
        let roster = Roster { version: 1, epoch: 1, members: members(count), settled: None };
        for burst in [1.0, 4.0, 16.0, 32.0, 167.0, 4_000.0] {
            let share = |vm: &String| roster.share(vm, CUSTOMER, burst);
            let total: f64 = roster.members.keys().map(share).sum();
            assert!((total - 1.0).abs() < 1e-9, "{count} VMs, burst {burst}: {total}");
            let smallest =
                roster.members.keys().map(share).filter(|s| *s > 0.0).fold(1.0, f64::min);
            assert!(
                smallest * burst >= 1.0 - 1e-9,
                "{count} VMs, burst {burst}: an owner can never hold a token"
            );
            let owning_domains: BTreeSet<&String> =
                roster.members.iter().filter(|(vm, _)| share(vm) > 0.0).map(|(_, d)| d).collect();
            if burst >= 16.0 {
                assert_eq!(owning_domains.len(), count.min(3));
            }
        }
    }
}

/// A joining VM moves few shares, so that little of the rate is unused until the change is settled.
#[test]
fn a_joining_vm_moves_few_shares() {
    let before = Roster { version: 1, epoch: 1, members: members(60), settled: None };
    let joining = Members::from([("vm-new".to_owned(), "d0".to_owned())]);
    let after = before.join(&joining).unwrap();
    assert_eq!(
        after.share("vm-new", CUSTOMER, 100.0),
        0.0,
        "no VM has acknowledged the change yet"
    );
    let moved: f64 = before
        .members
        .keys()
        .map(|vm| before.share(vm, CUSTOMER, 100.0) - after.share(vm, CUSTOMER, 100.0))
        .sum();
    assert!(
        (0.0..=0.1).contains(&moved),
        "{moved} of the rate is unused until the change is settled"
    );
    let acknowledged: BTreeSet<&str> = after.members.keys().map(String::as_str).collect();
    let settled = after.settle(&acknowledged).unwrap();
    assert!(settled.settle(&acknowledged).is_none());
    let incomplete: BTreeSet<&str> = acknowledged.iter().copied().skip(1).collect();
    assert!(after.settle(&incomplete).is_none(), "one VM has not acknowledged the change");
}

/// A roster that is written to the store is read back unchanged.
#[test]
fn the_roster_row_round_trips() {
    let roster = Roster { version: 3, epoch: 2, members: members(4), settled: Some(members(3)) };
    let value = serde_json::to_vec(&roster).unwrap().into();
    let row = Row { key: KEY.to_owned(), version: 9, value };
    assert_eq!(row.decode::<Roster>(), Some(roster));
}

/// Guards against a customer of whose requests nothing is admitted: it had a single owner, and that VM was
/// lost, or its share was moving.
#[test]
fn a_small_customer_keeps_most_of_its_share_when_a_vm_is_lost() {
    let fleet = members(40);
    let roster = Roster::default().join(&fleet).unwrap();
    for customer in (0..50).map(|at| format!("customer-{at}")) {
        let share = |roster: &Roster, vm: &String| roster.share(vm, &customer, 5.0);
        let largest = fleet.keys().map(|vm| share(&roster, vm)).fold(0.0, f64::max);
        assert!(largest < 0.4, "{customer}: one VM owns {largest}");
        // While the owner's share moves, the other owners keep theirs.
        let owner = fleet.keys().find(|vm| share(&roster, vm) > 0.0).unwrap();
        let changed = roster.leave(owner).unwrap();
        let left: f64 = fleet.keys().filter(|vm| *vm != owner).map(|vm| share(&changed, vm)).sum();
        assert!(left > 0.3, "{customer}: {left} is left while a share moves");
    }
}

/// Guards against a change of the roster that is pending for ever because a VM was lost without leaving.
#[test]
fn a_vm_that_is_gone_does_not_keep_a_change_pending() {
    let mut view = View::default();
    let record = Record {
        vm: "vm-1".to_owned(),
        incarnation: 1,
        counter: 1,
        state: State::Ready,
        suspect: false,
        domain: "a".to_owned(),
        service: String::new(),
        slots: 1,
        run: None,
        withdrawn: Vec::new(),
        sheds: false,
        limit: None,
        epoch: 0,
        peers: ([127, 0, 0, 1], 1).into(),
        control: ([127, 0, 0, 1], 2).into(),
        operators: ([127, 0, 0, 1], 3).into(),
    };
    let now = Time::from_millis(1_000);
    let first = Roster::default().join(&members(1)).unwrap();
    let pending = first.join(&Members::from([("vm-1".to_owned(), "a".to_owned())])).unwrap();
    let informed = Record { vm: "vm-000".to_owned(), epoch: pending.epoch, ..record.clone() };
    view.merge(informed, now);
    view.merge(record, now);
    assert_eq!(pending.settle_among(&view, now + GONE_TIMEOUT), None, "vm-1 is alive");
    view.mark_suspect("vm-1", now);
    assert_eq!(pending.settle_among(&view, now + GONE_TIMEOUT / 2), None);
    assert!(pending.settle_among(&view, now + GONE_TIMEOUT).is_some());
}
