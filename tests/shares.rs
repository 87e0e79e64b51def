//! History check of rates: several VMs share one customer through the table's stand-in, with lost and
//! delayed answers, pauses, lapses and loans. Whatever happens, no window admits more than
//! `rate * w + burst`. Broken variants show that the check finds what it looks for.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use gypsumtack::keeper::{Keeper, Proposal, Reading, Term, Written};
use gypsumtack::lease::{self, Leases};
use gypsumtack::share::{Ask, Fleet, Holding, LEASE, LOAN_USE, Owner, Shares};
use gypsumtack::store::{Commit, Row, Transaction};
use gypsumtack::time::Time;
use gypsumtack_standin::table::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestError, TestRunner};

const RATE: f64 = 4.0;
const BURST: f64 = 24.0;
const VMS: usize = 3;
const KEY: &str = "share/c";
const ISOLATION: Duration = Duration::from_secs(120);

/// A way in which the protocol is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Broken {
    No,
    /// A share that grew starts with a full bucket.
    FillsOnGrowth,
    /// The share shrinks only after the table has been told.
    ShrinksLate,
    /// A lapsed lease is not noticed.
    NeverLapses,
    /// A borrowed token is used however late it comes.
    UsesLateLoans,
}

#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    Take(usize, u32),
    Borrow(usize, usize, u64),
    Round(usize, Fault),
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
    holding: Holding,
    keeper: Keeper,
    leases: Leases,
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

impl World {
    fn new(broken: Broken) -> Self {
        let vm = |at: usize| Vm {
            name: format!("vm-{at}"),
            holding: Holding::new(RATE, BURST, Time::ZERO),
            keeper: Keeper::default(),
            leases: Leases::default(),
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
            Step::Round(vm, fault) => self.round(vm, fault),
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
            if at.since(asked) <= LOAN_USE || self.broken == Broken::UsesLateLoans {
                self.admitted.push(at);
            }
        }
        self.now = end;
    }

    fn round(&mut self, at: usize, fault: Fault) {
        let (now, broken) = (self.now, self.broken);
        let vm = &mut self.vms[at];
        let lease_row = self.table.row(&lease::key(&vm.name)).cloned();
        self.table.commit(&lease::renew(&vm.name, 1, lease_row.as_ref()));
        let rows: Vec<Row> = self.table.scan(lease::PREFIX).cloned().collect();
        vm.leases.note(&rows, now);
        let lease_end = match broken {
            Broken::NeverLapses => now + Duration::from_secs(1_000_000),
            _ => now + LEASE,
        };
        let term = Term { lease_end, floor_end: lease_end + ISOLATION };
        let row = self.table.row(KEY).cloned();
        let lapsed: BTreeSet<String> = vm.leases.lapsed(now);
        let ask = Ask {
            vm: &vm.name,
            domain: "a",
            demand: vm.holding.demand(now),
            burst: BURST,
            lapsed: &lapsed,
            fleet: Fleet { vms: VMS, domains: 1 },
        };
        let before = vm.holding.parts();
        let reading = Reading { key: KEY, row: row.as_ref(), leases: &vm.leases, term };
        let Some(proposal) = vm.keeper.propose(&mut vm.holding, reading, &ask, now) else { return };
        if broken == Broken::ShrinksLate {
            let own = vm.holding.parts().max(before);
            vm.holding.adopt(own, term.lease_end, term.floor_end, now);
        }
        let written = write(&mut self.table, &mut self.delayed, &proposal, fault);
        vm.keeper.resolve(&mut vm.holding, &proposal, written, term, now);
        if broken == Broken::FillsOnGrowth && vm.holding.parts() > before {
            vm.holding.fill(now);
        }
    }
}

fn write(
    table: &mut Table,
    delayed: &mut VecDeque<Transaction>,
    proposal: &Proposal,
    fault: Fault,
) -> Written {
    match fault {
        Fault::None => match table.commit(&proposal.transaction) {
            Commit::Done(_) => Written::Done,
            Commit::Conflict(_) => Written::Conflict,
        },
        Fault::AnswerLost => {
            table.commit(&proposal.transaction);
            Written::Lost
        }
        Fault::Delayed => {
            delayed.push_back(proposal.transaction.clone());
            Written::Lost
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
    let vm = 0..VMS;
    let fault = prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::AnswerLost),
        1 => Just(Fault::Delayed),
    ];
    let step = prop_oneof![
        4 => (1_u64..800).prop_map(Step::Advance),
        1 => (4_000_u64..20_000).prop_map(Step::Advance),
        4 => (vm.clone(), 1_u32..30).prop_map(|(vm, count)| Step::Take(vm, count)),
        2 => (vm.clone(), vm.clone(), 0_u64..8_000).prop_map(|(a, b, ms)| Step::Borrow(a, b, ms)),
        6 => (vm, fault).prop_map(|(vm, fault)| Step::Round(vm, fault)),
        1 => Just(Step::Deliver),
    ];
    proptest::collection::vec(step, 20..200)
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
    for broken in [Broken::FillsOnGrowth, Broken::ShrinksLate, Broken::NeverLapses] {
        assert!(check(broken, 3_000).is_err(), "{broken:?} passes");
    }
}

/// What the share and the table say after a shrinking write came late, when its sender's demand had
/// returned in between: parts held, and parts in the table.
fn late_shrink(answer: Written) -> (u32, u32) {
    let mut table = Table::default();
    let owner =
        |parts: u32, demand: u32| Owner { parts, domain: "a".into(), demand, lapsed: false };
    let owners = [("vm-0".to_owned(), owner(700_000, 40)), ("vm-1".to_owned(), owner(300_000, 10))];
    let row = Shares { owners: owners.into() };
    table.commit(&Transaction::default().put(KEY, &row));
    let row = table.row(KEY).cloned();
    let (leases, lapsed) = (Leases::default(), BTreeSet::new());
    let term = Term { lease_end: Time::ZERO + LEASE, floor_end: Time::ZERO + ISOLATION };
    let reading = Reading { key: KEY, row: row.as_ref(), leases: &leases, term };
    let fleet = Fleet { vms: 2, domains: 1 };
    let ask =
        |demand| Ask { vm: "vm-0", domain: "a", demand, burst: BURST, lapsed: &lapsed, fleet };
    let mut holding = Holding::new(RATE, BURST, Time::ZERO);
    let mut keeper = Keeper::default();
    let late = keeper.propose(&mut holding, reading, &ask(2.0), Time::ZERO).unwrap();
    keeper.resolve(&mut holding, &late, answer, term, Time::ZERO);
    if let Some(again) = keeper.propose(&mut holding, reading, &ask(40.0), Time::ZERO) {
        table.commit(&again.transaction);
        keeper.resolve(&mut holding, &again, Written::Done, term, Time::ZERO);
    }
    table.commit(&late.transaction);
    let written: Shares = table.row(KEY).and_then(Row::decode).unwrap();
    (holding.parts(), written.parts_of("vm-0"))
}

#[test]
fn a_write_of_unknown_outcome_may_still_come() {
    let (held, written) = late_shrink(Written::Lost);
    assert_eq!(held, written);
    // The broken variant takes a lost answer for a failure.
    let (held, written) = late_shrink(Written::Conflict);
    assert!(held > written, "the broken variant passes");
}

/// Borrowed tokens that come after the lender has stopped counting them.
#[test]
fn a_loan_that_comes_late_is_not_used() {
    let mut steps = vec![Step::Take(0, 60), Step::Advance(500), Step::Round(0, Fault::None)];
    steps.push(Step::Advance(7_000));
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
