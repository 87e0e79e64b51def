//! Counts requests that are refused although their customer is within its rate, for shares with loans and
//! for an equal static split of the rate. A central token bucket for the whole fleet is the reference.
//! Callers prefer some entries over others, and their preferences change during a run. Runs in virtual
//! time with the decisions of the library.
//!
//! `cargo run --release --example rates`

use gypsumtack::bucket::TokenBucket;
use gypsumtack::roster::{Members, Roster};
use gypsumtack::share::{LenderCursor, ShareBucket};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Length of a run after its warm-up.
const RUN_SECONDS: u64 = 60;
/// Interval at which the callers' preferences among entries change.
const PREFERENCE_SECONDS: u64 = 15;
/// Offered requests, as a fraction of the customer's rate.
const OFFERED_FRACTION: f64 = 0.9;
/// Time for which an entry requests no loans after all lenders have refused one, as in the daemon.
const BORROW_PAUSE: std::time::Duration = std::time::Duration::from_millis(5);
const CUSTOMER: &str = "c";
const DOMAINS: usize = 5;

/// The state of one VM for the customer.
struct Vm {
    /// The VM's share of the rate.
    bucket: ShareBucket,
    /// Indices of the VMs to request loans from.
    lenders: Vec<usize>,
    cursor: LenderCursor,
    /// The VM's part of the equal static split.
    static_bucket: TokenBucket,
    /// Time before which the VM requests no loans.
    borrow_after: Time,
}

/// The counters of one run.
#[derive(Default)]
struct Counts {
    /// Requests that the central bucket admits.
    offered: u32,
    /// Those of them that the static split refuses.
    static_refusals: u32,
    /// Those of them that shares with loans refuse.
    share_refusals: u32,
    /// Loans granted, warm-up included.
    loans: u32,
    /// Requests for a loan, granted or refused, warm-up included.
    loan_requests: u32,
}

fn main() {
    println!(
        "wrongful refusals; a central counter in the store would have none, but one write per request"
    );
    for vms in [12, 100, 410] {
        for (rate, burst) in [(20.0, 60.0), (400.0, 800.0)] {
            let counts = run(vms, rate, burst);
            let percent = |count: u32| f64::from(count) / f64::from(counts.offered) * 100.0;
            println!(
                "{vms:>4} VMs, rate {rate:>5}/s, burst {burst:>5}: static split {:>6.2}%  shares and loans {:>6.3}%  \
                 loans {:.2} per request  loan requests {:.2} per request",
                percent(counts.static_refusals),
                percent(counts.share_refusals),
                f64::from(counts.loans) / f64::from(counts.offered),
                f64::from(counts.loan_requests) / f64::from(counts.offered),
            );
        }
    }
}

fn vm_name(index: usize) -> String {
    format!("vm-{index:04}")
}

/// Runs one customer on the given number of VMs.
fn run(count: usize, rate: f64, burst: f64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(1);
    let members: Members =
        (0..count).map(|index| (vm_name(index), format!("d{}", index % DOMAINS))).collect();
    let roster = Roster { version: 1, epoch: 1, members, settled: None };
    let vm_count = count as f64;
    let vm = |index: usize| {
        let mut bucket = ShareBucket::new(rate, burst, Time::ZERO);
        bucket.set_fraction(roster.share(&vm_name(index), CUSTOMER, burst), Time::ZERO);
        let index_of = |vm: String| vm[3..].parse::<usize>().unwrap_or(0);
        Vm {
            bucket,
            lenders: roster
                .lenders(&vm_name(index), CUSTOMER, burst)
                .into_iter()
                .map(index_of)
                .collect(),
            cursor: LenderCursor::default(),
            static_bucket: TokenBucket::full(rate / vm_count, burst / vm_count, Time::ZERO),
            borrow_after: Time::ZERO,
        }
    };
    let mut vms: Vec<Vm> = (0..count).map(vm).collect();
    let mut central = TokenBucket::full(rate, burst, Time::ZERO);
    let mut counts = Counts::default();
    let mut entries: Vec<usize> = (0..count).collect();
    // Refusals are counted after 20 s, when the buckets have reached their steady state.
    let warm = 20_000;
    for ms in 0..warm + RUN_SECONDS * 1_000 {
        let now = Time::from_millis(ms);
        if ms % (PREFERENCE_SECONDS * 1_000) == 0 {
            entries.shuffle(&mut rng);
        }
        if rng.random::<f64>() >= rate * OFFERED_FRACTION / 1_000.0 {
            continue;
        }
        // Each entry gets half of the requests that those before it did not get.
        let rank = (-rng.random_range(f64::MIN_POSITIVE..1.0).log2()) as usize;
        let entry = entries[rank.min(count - 1)];
        let central_admits = central.take(1.0, now).is_ok();
        let static_admits = vms[entry].static_bucket.take(1.0, now).is_ok();
        let shares_admit = admit_with_loans(&mut vms, entry, now, &mut counts);
        if ms >= warm && central_admits {
            counts.offered += 1;
            counts.static_refusals += u32::from(!static_admits);
            counts.share_refusals += u32::from(!shares_admit);
        }
    }
    counts
}

/// Returns whether a VM admits a request from its own share or with a loan.
fn admit_with_loans(vms: &mut [Vm], entry: usize, now: Time, counts: &mut Counts) -> bool {
    if vms[entry].bucket.take(now).is_ok() {
        return true;
    }
    if now < vms[entry].borrow_after {
        return false;
    }
    for position in vms[entry].cursor.candidates(vms[entry].lenders.len()) {
        counts.loan_requests += 1;
        let lender = vms[entry].lenders[position];
        if vms[lender].bucket.lend(now) {
            counts.loans += 1;
            vms[entry].cursor.record_success(position);
            return true;
        }
    }
    vms[entry].cursor.record_failure();
    vms[entry].borrow_after = now + BORROW_PAUSE;
    false
}
