//! Wrongful refusals of shares with loans, beside an equal static split and one central counter, when
//! callers favour some entries and change their minds. Virtual time, the library's decisions.
//!
//! `cargo run --release --example rates`

use std::collections::BTreeSet;
use std::time::Duration;

use gypsumtack::bucket::Bucket;
use gypsumtack::keeper::{Keeper, Reading, Term, Written};
use gypsumtack::lease::Leases;
use gypsumtack::share::{Ask, Fleet, Holding, LEASE, Shares, Turn};
use gypsumtack::store::{Commit, Row};
use gypsumtack::time::Time;
use gypsumtack_standin::table::Table;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long one run is, in seconds, and when callers turn to other entries.
const SECONDS: u64 = 60;
const TURN_SECONDS: u64 = 15;
/// Offered requests, as a part of the rate.
const LOAD: f64 = 0.9;
/// Time between two rounds of one VM.
const ROUND: Duration = Duration::from_secs(4);
/// How long no owner is asked after all refused.
const BORROW_PAUSE: Duration = Duration::from_millis(5);
const KEY: &str = "share/c";

/// One VM's side.
struct Vm {
    name: String,
    holding: Holding,
    keeper: Keeper,
    lenders: Vec<usize>,
    turn: Turn,
    fixed: Bucket,
    next_round: Time,
    pause: Time,
}

/// What one run counted.
#[derive(Default)]
struct Counts {
    offered: u32,
    /// Refused although a counter that knows everything would have admitted.
    fixed: u32,
    shares: u32,
    loans: u32,
    asked: u32,
    writes: u32,
}

fn main() {
    println!(
        "wrongful refusals; a counter in the table refuses none of these and writes each request"
    );
    for vms in [12, 100, 410] {
        for (rate, burst) in [(20.0, 60.0), (400.0, 800.0)] {
            let counts = run(vms, rate, burst);
            let part = |count: u32| f64::from(count) / f64::from(counts.offered) * 100.0;
            println!(
                "{vms:>4} VMs, rate {rate:>5}/s, burst {burst:>5}: static split {:>6.2}%  shares and loans {:>6.3}%  \
                 loans {:.2} a request  asked {:.2} a request  writes {:.2}/s",
                part(counts.fixed),
                part(counts.shares),
                f64::from(counts.loans) / f64::from(counts.offered),
                f64::from(counts.asked) / f64::from(counts.offered),
                f64::from(counts.writes) / SECONDS as f64,
            );
        }
    }
}

fn run(count: usize, rate: f64, burst: f64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut table = Table::default();
    let part = count as f64;
    let vm = |at: usize| Vm {
        name: format!("vm-{at:04}"),
        holding: Holding::new(rate, burst, Time::ZERO),
        keeper: Keeper::default(),
        lenders: Vec::new(),
        turn: Turn::default(),
        fixed: Bucket::full(rate / part, burst / part, Time::ZERO),
        next_round: Time::from_millis(at as u64 * 4_000 / count as u64),
        pause: Time::ZERO,
    };
    let mut vms: Vec<Vm> = (0..count).map(vm).collect();
    let mut central = Bucket::full(rate, burst, Time::ZERO);
    let mut counts = Counts::default();
    let mut order: Vec<usize> = (0..count).collect();
    // The first seconds only let the shares settle.
    let warm = 20_000;
    for ms in 0..warm + SECONDS * 1_000 {
        let now = Time::from_millis(ms);
        if ms % (TURN_SECONDS * 1_000) == 0 {
            order.shuffle(&mut rng);
        }
        for at in 0..count {
            if vms[at].next_round <= now {
                let wrote = round(&mut vms, at, &mut table, (count, burst), now);
                counts.writes += u32::from(wrote && ms >= warm);
                let pause = if wrote { ROUND / 8 } else { ROUND };
                vms[at].next_round = now + pause;
            }
        }
        if rng.random::<f64>() >= rate * LOAD / 1_000.0 {
            continue;
        }
        // Each entry in the order gets half of what is left.
        let rank = (-rng.random_range(f64::MIN_POSITIVE..1.0).log2()) as usize;
        let at = order[rank.min(count - 1)];
        let due = central.take(1.0, now).is_ok();
        let fixed = vms[at].fixed.take(1.0, now).is_ok();
        let shares = admit(&mut vms, at, now, &mut counts);
        if ms >= warm && due {
            counts.offered += 1;
            counts.fixed += u32::from(!fixed);
            counts.shares += u32::from(!shares);
        }
    }
    counts
}

fn admit(vms: &mut [Vm], at: usize, now: Time, counts: &mut Counts) -> bool {
    if vms[at].holding.take(now).is_ok() {
        return true;
    }
    if now < vms[at].pause {
        return false;
    }
    for place in vms[at].turn.places(vms[at].lenders.len()) {
        counts.asked += 1;
        let lender = vms[at].lenders[place];
        if vms[lender].holding.lend(now) {
            counts.loans += 1;
            vms[at].turn.found(place);
            return true;
        }
    }
    vms[at].turn.missed();
    vms[at].pause = now + BORROW_PAUSE;
    false
}

/// One round of a VM. Returns whether it wrote.
fn round(
    vms: &mut [Vm],
    at: usize,
    table: &mut Table,
    (count, burst): (usize, f64),
    now: Time,
) -> bool {
    let row = table.row(KEY).cloned();
    let current: Shares = row.as_ref().and_then(Row::decode).unwrap_or_default();
    let index = |name: &str| name[3..].parse::<usize>().unwrap_or(0);
    let vm = &mut vms[at];
    vm.lenders = current.lenders(&vm.name).map(index).collect();
    let (lapsed, leases) = (BTreeSet::new(), Leases::default());
    let domains: Vec<String> = (0..5).map(|at| format!("d{at}")).collect();
    let ask = Ask {
        vm: &vm.name,
        domain: &domains[at % 5],
        demand: vm.holding.demand(now),
        burst,
        lapsed: &lapsed,
        fleet: Fleet { vms: count, domains: 5 },
    };
    let term = Term { lease_end: now + LEASE, floor_end: now + LEASE };
    let reading = Reading { key: KEY, row: row.as_ref(), leases: &leases, term };
    let Some(proposal) = vm.keeper.propose(&mut vm.holding, reading, &ask, now) else {
        return false;
    };
    let written = match table.commit(&proposal.transaction) {
        Commit::Done(_) => Written::Done,
        Commit::Conflict(_) => Written::Conflict,
    };
    vm.keeper.resolve(&mut vm.holding, &proposal, written, term, now);
    true
}
