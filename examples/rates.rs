//! Wrongful refusals of shares with loans, beside an equal static split and one central counter, when
//! callers favour some entries and change their minds. Virtual time, the library's decisions.
//!
//! `cargo run --release --example rates`

use gypsumtack::bucket::TokenBucket;
use gypsumtack::roster::{Members, Roster};
use gypsumtack::share::{LenderCursor, ShareBucket};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long one run is, in seconds, and when callers turn to other entries.
const SECONDS: u64 = 60;
const TURN_SECONDS: u64 = 15;
/// Offered requests, as a part of the rate.
const LOAD: f64 = 0.9;
/// How long no owner is asked after all refused.
const BORROW_PAUSE: std::time::Duration = std::time::Duration::from_millis(5);
const CUSTOMER: &str = "c";
const DOMAINS: usize = 5;

/// One VM's side.
struct Vm {
    holding: ShareBucket,
    lenders: Vec<usize>,
    turn: LenderCursor,
    fixed: TokenBucket,
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
                 loans {:.2} a request  asked {:.2} a request",
                part(counts.fixed),
                part(counts.shares),
                f64::from(counts.loans) / f64::from(counts.offered),
                f64::from(counts.asked) / f64::from(counts.offered),
            );
        }
    }
}

fn name(at: usize) -> String {
    format!("vm-{at:04}")
}

fn run(count: usize, rate: f64, burst: f64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(1);
    let members: Members = (0..count).map(|at| (name(at), format!("d{}", at % DOMAINS))).collect();
    let roster = Roster { version: 1, epoch: 1, members, settled: None };
    let part = count as f64;
    let vm = |at: usize| {
        let mut holding = ShareBucket::new(rate, burst, Time::ZERO);
        holding.set_fraction(roster.share(&name(at), CUSTOMER, burst), Time::ZERO);
        let index = |vm: String| vm[3..].parse::<usize>().unwrap_or(0);
        Vm {
            holding,
            lenders: roster.lenders(&name(at), CUSTOMER, burst).into_iter().map(index).collect(),
            turn: LenderCursor::default(),
            fixed: TokenBucket::full(rate / part, burst / part, Time::ZERO),
            pause: Time::ZERO,
        }
    };
    let mut vms: Vec<Vm> = (0..count).map(vm).collect();
    let mut central = TokenBucket::full(rate, burst, Time::ZERO);
    let mut counts = Counts::default();
    let mut order: Vec<usize> = (0..count).collect();
    // The first seconds only let the buckets settle.
    let warm = 20_000;
    for ms in 0..warm + SECONDS * 1_000 {
        let now = Time::from_millis(ms);
        if ms % (TURN_SECONDS * 1_000) == 0 {
            order.shuffle(&mut rng);
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
    for place in vms[at].turn.candidates(vms[at].lenders.len()) {
        counts.asked += 1;
        let lender = vms[at].lenders[place];
        if vms[lender].holding.lend(now) {
            counts.loans += 1;
            vms[at].turn.record_success(place);
            return true;
        }
    }
    vms[at].turn.record_failure();
    vms[at].pause = now + BORROW_PAUSE;
    false
}
