//! The store comes back from a copy some seconds old: what daemons hold in memory outranks the copy, and
//! what the store lost is written again.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, document, edit, plan, until};
use gypsumtack::claim::{self, Claim, State, Verdict};
use gypsumtack::envelope::Token;
use gypsumtack::era::{self, Era, Observation, RESTORE_TIME};
use gypsumtack::key::Digest;
use gypsumtack::message;
use gypsumtack::publish::{self, Scope};
use gypsumtack::recall::{self, RecentClaims, Restoration};
use gypsumtack::roster::{self, Members, Roster};
use gypsumtack::store::{Commit, Row, Transaction};
use gypsumtack::time::Time;
use gypsumtack_standin::caller::CallerRequest;
use gypsumtack_standin::table::Table;
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[test]
fn versions_of_a_later_era_outrank_all_earlier_ones() {
    assert_eq!(era::next_version(7, 0), 8);
    let first = era::next_version(7, 2);
    assert!(first > era::next_version(1_000_000, 1));
    assert_eq!(era::of_version(first), 2);
    assert_eq!(era::next_version(first, 2), first + 1);
}

#[test]
fn only_a_later_era_is_taken() {
    let mut known = Era::default();
    assert!(known.is_restored(Time::ZERO));
    assert_eq!(known.observe(3, Time::from_millis(10)), Observation::Newer);
    assert_eq!(known.observe(2, Time::from_millis(20)), Observation::Older);
    assert_eq!(known.observe(3, Time::from_millis(30)), Observation::Same);
    assert_eq!(known, Era { number: 3, since: Time::from_millis(10) });
    assert!(!known.is_restored(Time::from_millis(1_000)));
    assert!(known.is_restored(Time::from_millis(10) + RESTORE_TIME));
}

fn members(names: &[&str]) -> Members {
    names.iter().map(|name| ((*name).to_owned(), "a".to_owned())).collect()
}

/// A daemon that has just started may read the roster of the store's older copy and add itself to it.
/// That roster must not outrank the one that the others use, or the shares of both would add up to more
/// than the whole.
#[test]
fn a_renewed_roster_outranks_changes_of_the_older_copy() {
    let copy = Roster::default().join(&members(&["a", "b"])).unwrap();
    let used = copy.join(&members(&["c"])).unwrap();
    let started = copy.join(&members(&["d"])).unwrap().join(&members(&["e"])).unwrap();
    let renewed = used.renew(1).unwrap();
    assert!(renewed.version > started.version);
    assert_eq!(renewed.members, used.members);
    assert_eq!(renewed.settled, used.settled);
    assert_eq!(renewed.renew(1), None);
    // Acknowledgements of the earlier epoch do not settle it.
    assert!(renewed.epoch > started.epoch);
}

/// A deliberate defect in the way in which daemons go through the return of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Claims are not written again.
    ForgetsClaims,
    /// A claim that was made in a new era counts at once.
    TrustsNewClaims,
    /// Answers from before the return are used after it.
    IgnoresEra,
}

/// A daemon that runs at most one request with the key under test.
#[derive(Debug, Default)]
struct Vm {
    era: Era,
    recent: RecentClaims,
    /// When this daemon writes its claims again.
    restores_at: Option<Time>,
    /// When it sends the request.
    sends_at: Time,
    token: Option<Token>,
    /// When it reads its claim again, made before the restore time was over.
    checks_at: Option<Time>,
    finished: bool,
}

const KEY: &str = "claim/acme/key";

/// Simulates a store that comes back from a copy while several daemons receive requests with one
/// idempotency key. Returns how often the operation runs.
fn simulate_return(seed: u64, defect: Defect) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let digest = Digest::of(b"body");
    let mut table = Table::default();
    let (mut store_era, mut copy) = (0, table.clone());
    let copied_at = rng.random_range(0..3_000);
    let returns_at = copied_at + rng.random_range(100..3_000);
    let mut vms: Vec<Vm> = (0..4)
        .map(|_| Vm { sends_at: Time::from_millis(rng.random_range(0..8_000)), ..Vm::default() })
        .collect();
    let mut runs = 0;
    for ms in 0..12_000 {
        let now = Time::from_millis(ms);
        if ms == copied_at {
            copy = table.clone();
        }
        if ms == returns_at {
            (table, store_era) = (copy.clone(), 1);
        }
        for vm in &mut vms {
            // Each daemon that can reach the store learns of the era, and restores, in time.
            if ms == returns_at && defect != Defect::IgnoresEra {
                let notices = rng.random_range(1..900);
                vm.restores_at = Some(now + Duration::from_millis(notices + 900));
            }
            if vm.restores_at.is_some_and(|at| at <= now) {
                vm.restores_at = None;
                vm.era.observe(store_era, now);
                for (key, claim) in vm.recent.all() {
                    if defect == Defect::ForgetsClaims {
                        continue;
                    }
                    match recall::restore(&key, table.row(&key), &claim) {
                        Restoration::Write(change) => drop(table.commit(&change)),
                        Restoration::Held | Restoration::Lost => {}
                    }
                }
            }
            if vm.finished {
                continue;
            }
            let check_due = vm.checks_at.is_some_and(|at| at <= now);
            if vm.token.is_none() && vm.sends_at <= now {
                let token = Token::random(&mut rng);
                vm.token = Some(token);
                let claim = pending(token, digest);
                let insert = claim::insert(Transaction::default(), KEY, &claim);
                let committed = matches!(table.commit(&insert), Commit::Done(_));
                if defect != Defect::IgnoresEra {
                    vm.era.observe(store_era, now);
                }
                if !committed {
                    vm.finished = true;
                } else if vm.era.is_restored(now) || defect == Defect::TrustsNewClaims {
                    run(vm, token, digest, now, &mut runs);
                } else {
                    vm.checks_at = Some(vm.era.since + RESTORE_TIME);
                }
            } else if let (Some(token), true) = (vm.token, check_due) {
                let held: Option<Claim> = table.row(KEY).and_then(Row::decode);
                if claim::evaluate(held.as_ref(), token, digest) == Verdict::Own {
                    run(vm, token, digest, now, &mut runs);
                }
                vm.finished = true;
            }
        }
    }
    runs
}

fn pending(token: Token, digest: Digest) -> Claim {
    let (request, vm) = (String::new(), String::new());
    Claim { token, digest, request, vm, created: 0, state: State::Pending }
}

/// Runs the request; its outcome stays unknown, so that the claim must be kept.
fn run(vm: &mut Vm, token: Token, digest: Digest, now: Time, runs: &mut u32) {
    *runs += 1;
    vm.recent.insert(KEY, pending(token, digest), now);
    vm.recent.settle(KEY, token, Some(&State::Unknown));
    vm.finished = true;
}

#[test]
fn no_operation_runs_twice_because_its_claim_was_lost() {
    for seed in 0..400 {
        assert!(simulate_return(seed, Defect::None) <= 1, "seed {seed}");
    }
}

/// Shows that the check above finds violations.
#[test]
fn broken_variants_run_an_operation_twice() {
    for defect in [Defect::ForgetsClaims, Defect::TrustsNewClaims, Defect::IgnoresEra] {
        let broken = (0..400).filter(|seed| simulate_return(*seed, defect) > 1).count();
        assert!(broken > 0, "{defect:?}");
    }
}

fn sign(key: &str) -> CallerRequest {
    CallerRequest::post("/sign", Bytes::new()).key("acme-key").header(message::IDEMPOTENCY_KEY, key)
}

/// Publishes another queue wait, at whichever revision the store holds, and returns the version.
async fn publish_queue_wait(fleet: &Fleet, queue_ms: u64) -> u64 {
    let (_, body) = publish::read(&fleet.client()).await.unwrap();
    let expect = body.unwrap().sections.get("limits").map_or(0, |section| section.revision);
    let text = format!("[limits]\nqueue_ms = {queue_ms}\n");
    let edit = edit(&text, Scope::Section { name: "limits".to_owned(), expect });
    publish::apply(&fleet.client(), &edit).await.unwrap()
}

/// Sends the operation until it succeeds: claims are refused as not run for a moment after the begin of an
/// era.
async fn ask_until_ok(fleet: &Fleet, node: usize, operation: &str) {
    let mut answer = fleet.ask(node, sign(operation)).await;
    for _ in 0..50 {
        if answer.status == StatusCode::OK {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        answer = fleet.ask(node, sign(operation)).await;
    }
    panic!("{operation}: {} {:?}", answer.status, answer.headers);
}

/// The store loses a claim whose request ran, a document in force, and a VM's registration, twice in a
/// row.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_goes_through_the_return_of_the_store() {
    let mut fleet = Fleet::start(&document()).await;
    let first = fleet.add("a", plan("deep", 4, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let copy = fleet.platform.copy();
    let second = fleet.add("b", plan("deep", 4, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let boards = [first, second].map(|node| fleet.nodes[node].daemon.board().clone());
    for round in 1..=2 {
        let operation = format!("operation-{round}");
        let ran = fleet.begun();
        ask_until_ok(&fleet, first, &operation).await;
        assert_eq!(fleet.begun(), ran + 1);
        let lost = publish_queue_wait(&fleet, 100 * round).await;
        for board in &boards {
            until("the document is in force", || board.policy.load().version == lost).await;
        }

        fleet.platform.restore(&copy);
        let again = publish_queue_wait(&fleet, 100 * round + 50).await;
        assert!(again > lost, "version {again} does not outrank {lost}");
        for board in &boards {
            until("the new document is in force", || board.policy.load().version == again).await;
        }
        until("the roster is written again", || {
            let row = fleet.platform.table().row(roster::KEY).cloned();
            let stored: Option<Roster> = row.as_ref().and_then(Row::decode);
            stored.is_some_and(|stored| {
                era::of_version(stored.version) == round && stored.members.len() == 2
            })
        })
        .await;
        until("both VMs are registered", || fleet.platform.table().scan("member/").count() == 2)
            .await;
        // The repeat gets the stored answer once the claim is written again, and never runs.
        ask_until_ok(&fleet, second, &operation).await;
        assert_eq!(fleet.begun(), ran + 1, "round {round}: the operation ran twice");
    }
}
