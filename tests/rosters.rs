//! History check of rates: VMs share customers through the roster in the table's stand-in, with joins,
//! leavings, restarts that forget everything, cuts, late and lost writes, pauses and loans. Whatever
//! happens, no window admits more than `rate * w + burst`. Broken variants show that the check finds
//! what it looks for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

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

/// A way in which the protocol is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Broken {
    No,
    /// A VM uses its new share before everyone knows of the change.
    GrowsAtOnce,
    /// The roster is settled without the word of everyone in it.
    SettlesEarly,
    /// A VM that comes back into the first roster starts with a full bucket again.
    FillsOnRestart,
    /// A VM leaves the roster and goes on using its share.
    LeavesAndStays,
    /// A borrowed token is used however late it comes.
    UsesLateLoans,
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Take(usize, u32),
    Borrow(usize, usize, u64),
    /// The VM reads the row.
    Read(usize),
    /// The first VM tells the second what it knows.
    Tell(usize, usize),
    Join(usize, Fault),
    Settle(usize, Fault),
    Leave(usize, Fault),
    Restart(usize),
    Deliver,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The answer is lost, and the write takes effect later or never.
    Delayed,
}

struct Vm {
    name: String,
    roster: Roster,
    /// The newest epoch that each VM said it knows.
    heard: BTreeMap<String, u64>,
    holding: ShareBucket,
    leaving: bool,
    /// Whether it was never here before.
    first: bool,
}

struct World {
    now: Time,
    table: Table,
    vms: Vec<Vm>,
    delayed: VecDeque<Transaction>,
    /// Loans on their way: when they arrive, and when they were asked for.
    loans: Vec<(Time, Time)>,
    admitted: Vec<Time>,
    broken: Broken,
}

fn domain(at: usize) -> String {
    format!("d{}", at % 2)
}

impl World {
    fn new(broken: Broken) -> Self {
        let vm = |at: usize| Vm {
            name: format!("vm-{at}"),
            roster: Roster::default(),
            heard: BTreeMap::new(),
            holding: ShareBucket::new(RATE, BURST, Time::ZERO),
            leaving: false,
            first: true,
        };
        Self {
            now: Time::ZERO,
            table: Table::default(),
            vms: (0..VMS).map(vm).collect(),
            delayed: VecDeque::new(),
            loans: Vec::new(),
            admitted: Vec::new(),
            broken,
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
            Step::Tell(from, to) => self.tell(from, to),
            Step::Join(vm, fault) => self.join(vm, fault),
            Step::Settle(vm, fault) => self.settle(vm, fault),
            Step::Leave(vm, fault) => self.leave(vm, fault),
            Step::Restart(vm) => self.restart(vm),
            Step::Deliver => {
                if let Some(transaction) = self.delayed.pop_front() {
                    self.table.commit(&transaction);
                }
            }
        }
    }

    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        let (due, later): (Vec<_>, Vec<_>) = self.loans.iter().partition(|(at, _)| *at <= end);
        self.loans = later;
        for (at, asked) in due {
            if at.since(asked) <= LOAN_VALIDITY || self.broken == Broken::UsesLateLoans {
                self.admitted.push(at);
            }
        }
        self.now = end;
    }

    fn adopt(&mut self, vm: usize, roster: &Roster) {
        let (now, broken) = (self.now, self.broken);
        let vm = &mut self.vms[vm];
        if roster.version <= vm.roster.version {
            return;
        }
        let founds = roster.epoch == 1 && vm.roster.epoch == 0;
        vm.roster = roster.clone();
        let usable = match broken {
            Broken::GrowsAtOnce => Roster { settled: None, ..roster.clone() },
            _ => roster.clone(),
        };
        let share = usable.share(&vm.name, CUSTOMER, BURST);
        if !vm.leaving {
            vm.holding.set_fraction(share, now);
            if founds && (vm.first || broken == Broken::FillsOnRestart) {
                vm.holding.fill(now);
            }
        }
        let (name, epoch) = (vm.name.clone(), vm.roster.epoch);
        vm.heard.insert(name, epoch);
    }

    fn read(&mut self, vm: usize) -> u64 {
        let Some(row) = self.table.row(KEY).cloned() else { return 0 };
        let roster: Roster = row.decode().unwrap();
        self.adopt(vm, &roster);
        row.version
    }

    fn tell(&mut self, from: usize, to: usize) {
        let (heard, roster) = (self.vms[from].heard.clone(), self.vms[from].roster.clone());
        for (vm, epoch) in heard {
            let known = self.vms[to].heard.entry(vm).or_default();
            *known = (*known).max(epoch);
        }
        self.adopt(to, &roster);
    }

    fn join(&mut self, at: usize, fault: Fault) {
        let version = self.read(at);
        let vm = &self.vms[at];
        let newcomers = Members::from([(vm.name.clone(), domain(at))]);
        if vm.leaving {
            return;
        }
        if let Some(next) = vm.roster.join(&newcomers) {
            self.write(at, version, &next, fault);
        }
    }

    fn settle(&mut self, at: usize, fault: Fault) {
        let version = self.read(at);
        let vm = &self.vms[at];
        let knows = |(_, epoch): &(&String, &u64)| **epoch >= vm.roster.epoch;
        let informed: BTreeSet<&str> = match self.broken {
            Broken::SettlesEarly => vm.roster.members.keys().map(String::as_str).collect(),
            _ => vm.heard.iter().filter(knows).map(|(vm, _)| vm.as_str()).collect(),
        };
        if let Some(next) = vm.roster.settle(&informed) {
            self.write(at, version, &next, fault);
        }
    }

    fn leave(&mut self, at: usize, fault: Fault) {
        let (now, broken) = (self.now, self.broken);
        let version = self.read(at);
        let vm = &mut self.vms[at];
        if broken != Broken::LeavesAndStays {
            vm.holding.set_fraction(0.0, now);
            vm.leaving = true;
        }
        if let Some(next) = vm.roster.leave(&vm.name) {
            let share = vm.holding.fraction();
            self.write(at, version, &next, fault);
            if broken == Broken::LeavesAndStays {
                self.vms[at].holding.set_fraction(share, now);
            }
        }
    }

    /// The VM forgets all it knew and starts again under its name.
    fn restart(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        vm.roster = Roster::default();
        vm.heard.clear();
        vm.holding = ShareBucket::new(RATE, BURST, self.now);
        vm.leaving = false;
        vm.first = false;
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

/// The most by which any window exceeds `RATE * w + BURST`.
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
        6 => (vm(), vm()).prop_map(|(a, b)| Step::Tell(a, b)),
        4 => (vm(), fault()).prop_map(|(vm, fault)| Step::Join(vm, fault)),
        4 => (vm(), fault()).prop_map(|(vm, fault)| Step::Settle(vm, fault)),
        2 => (vm(), fault()).prop_map(|(vm, fault)| Step::Leave(vm, fault)),
        1 => vm().prop_map(Step::Restart),
        1 => Just(Step::Deliver),
    ];
    proptest::collection::vec(step, 20..250)
}

fn check(broken: Broken, cases: u32) -> Result<(), TestError<Vec<Step>>> {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = proptest::test_runner::TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng).run(&steps(), |steps| {
        let mut world = World::new(broken);
        for step in &steps {
            world.step(step);
        }
        let excess = excess(&world.admitted);
        prop_assert!(excess <= 1e-6, "{excess} tokens too many");
        Ok(())
    })
}

#[test]
fn no_window_admits_more_than_rate_and_burst() {
    if let Err(error) = check(Broken::No, 3_000) {
        panic!("{error}");
    }
}

#[test]
fn the_check_finds_each_broken_variant() {
    for broken in
        [Broken::GrowsAtOnce, Broken::SettlesEarly, Broken::FillsOnRestart, Broken::LeavesAndStays]
    {
        assert!(check(broken, 3_000).is_err(), "{broken:?} passes");
    }
}

/// Borrowed tokens that come after the lender has stopped counting them.
#[test]
fn a_loan_that_comes_late_is_not_used() {
    let mut steps = vec![Step::Join(0, Fault::None), Step::Advance(20_000)];
    steps.extend((0..20).map(|_| Step::Borrow(0, 1, 5_000)));
    steps.extend([Step::Advance(5_000), Step::Take(0, 60)]);
    let run = |broken| {
        let mut world = World::new(broken);
        steps.iter().for_each(|step| world.step(step));
        excess(&world.admitted)
    };
    assert!(run(Broken::No) <= 1e-6);
    assert!(run(Broken::UsesLateLoans) > 1.0, "the broken variant passes");
}

fn members(count: usize) -> Members {
    (0..count).map(|at| (format!("vm-{at:03}"), format!("d{}", at % 3))).collect()
}

/// Shares add up to the whole, however small the burst and however large the fleet; every failure
/// domain has an owner where the burst allows it.
#[test]
fn shares_add_up_and_every_domain_has_one() {
    for count in [1, 2, 3, 14, 60, 410] {
        let roster = Roster { version: 1, epoch: 1, members: members(count), settled: None };
        for burst in [1.0, 4.0, 16.0, 32.0, 167.0, 4_000.0] {
            let share = |vm: &String| roster.share(vm, CUSTOMER, burst);
            let total: f64 = roster.members.keys().map(share).sum();
            assert!((total - 1.0).abs() < 1e-9, "{count} VMs, burst {burst}: {total}");
            let least = roster.members.keys().map(share).filter(|s| *s > 0.0).fold(1.0, f64::min);
            assert!(least * burst >= 1.0 - 1e-9, "an owner can never hold a token");
            let owning: BTreeSet<&String> =
                roster.members.iter().filter(|(vm, _)| share(vm) > 0.0).map(|(_, d)| d).collect();
            if burst >= 16.0 {
                assert_eq!(owning.len(), count.min(3));
            }
        }
    }
}

/// One VM more moves few parts, so that a change costs the others little while it is not settled.
#[test]
fn a_newcomer_moves_few_parts() {
    let before = Roster { version: 1, epoch: 1, members: members(60), settled: None };
    let newcomer = Members::from([("vm-new".to_owned(), "d0".to_owned())]);
    let after = before.join(&newcomer).unwrap();
    assert_eq!(after.share("vm-new", CUSTOMER, 100.0), 0.0, "nobody has confirmed it yet");
    let moved: f64 = before
        .members
        .keys()
        .map(|vm| before.share(vm, CUSTOMER, 100.0) - after.share(vm, CUSTOMER, 100.0))
        .sum();
    assert!((0.0..=0.1).contains(&moved), "{moved} of the whole rate is unused meanwhile");
    let informed: BTreeSet<&str> = after.members.keys().map(String::as_str).collect();
    let settled = after.settle(&informed).unwrap();
    assert!(settled.settle(&informed).is_none());
    let rest: BTreeSet<&str> = informed.iter().copied().skip(1).collect();
    assert!(after.settle(&rest).is_none(), "one VM has not confirmed it");
}

/// The row as it stands in the store is read back as it was written.
#[test]
fn the_row_is_read_back() {
    let roster = Roster { version: 3, epoch: 2, members: members(4), settled: Some(members(3)) };
    let value = serde_json::to_vec(&roster).unwrap().into();
    let row = Row { key: KEY.to_owned(), version: 9, value };
    assert_eq!(row.decode::<Roster>(), Some(roster));
}
