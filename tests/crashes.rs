//! Requests that crash backend servers and are sent again.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, document, plan, until};
use gypsumtack::message::{IDEMPOTENCY_KEY, Message};
use gypsumtack::quarantine::{CrashId, CrashStatus, Fingerprint, Quarantine};
use gypsumtack::time::Time;
use gypsumtack_standin::backend::CRASH;
use gypsumtack_standin::caller::CallerRequest;
use http::{HeaderMap, Method};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn fingerprint(body: &'static str) -> Fingerprint {
    let message = Message {
        method: Method::POST,
        uri: "/deep".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body.as_bytes()),
    };
    Fingerprint::of(Some("acme"), "deep", &message)
}

#[test]
fn a_second_crash_quarantines_a_request_and_a_completed_run_clears_it() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut quarantine = Quarantine::default();
    let (guilty, innocent) = (fingerprint("guilty"), fingerprint("innocent"));
    for suspect in [guilty, innocent] {
        quarantine.record_crash(suspect, CrashId::random(&mut rng), Time::ZERO);
        assert_eq!(quarantine.crash_status(suspect, Time::ZERO), CrashStatus::Suspect);
    }
    quarantine.record_completion(innocent);
    assert_eq!(quarantine.crash_status(innocent, Time::ZERO), CrashStatus::Clear);
    quarantine.record_crash(guilty, CrashId::random(&mut rng), Time::ZERO);
    assert!(matches!(quarantine.crash_status(guilty, Time::ZERO), CrashStatus::Quarantined(_)));
    let mut peer = Quarantine::default();
    peer.merge(&quarantine.recent_reports(Time::ZERO), Time::ZERO);
    assert!(matches!(peer.crash_status(guilty, Time::ZERO), CrashStatus::Quarantined(_)));
    let later = Time::ZERO + Duration::from_secs(601);
    assert_eq!(peer.crash_status(guilty, later), CrashStatus::Clear);
}

#[test]
fn crashes_that_daemons_saw_separately_add_up() {
    let request = fingerprint("guilty");
    let mut rng = StdRng::seed_from_u64(2);
    let mut daemons: [Quarantine; 3] = std::array::from_fn(|_| Quarantine::default());
    for daemon in &mut daemons {
        daemon.record_crash(request, CrashId::random(&mut rng), Time::ZERO);
    }
    let reports = daemons.each_ref().map(|daemon| daemon.recent_reports(Time::ZERO));
    for daemon in &mut daemons {
        for report in &reports {
            daemon.merge(report, Time::ZERO);
        }
        let status = daemon.crash_status(request, Time::ZERO);
        assert!(matches!(status, CrashStatus::Quarantined(_)), "{status:?} after three crashes");
    }
}

#[test]
fn a_crash_that_is_reported_again_and_again_counts_once_and_expires() {
    let request = fingerprint("suspect");
    let mut daemons = [Quarantine::default(), Quarantine::default()];
    daemons[0].record_crash(request, CrashId::random(&mut StdRng::seed_from_u64(3)), Time::ZERO);
    for tenths in 0..1_300 {
        let now = Time::from_millis(tenths * 100 + 50);
        let reports = daemons.each_ref().map(|daemon| daemon.recent_reports(now));
        daemons[0].merge(&reports[1], now);
        daemons[1].merge(&reports[0], now);
        let status = daemons.each_mut().map(|daemon| daemon.crash_status(request, now));
        let expected = if tenths < 1_190 { CrashStatus::Suspect } else { CrashStatus::Clear };
        let is_settled = !(1_190..1_220).contains(&tenths);
        assert!(!is_settled || status == [expected; 2], "{status:?} at {now:?}");
    }
}

/// Guards against a quarantine of requests that merely ran together while one instance crashed.
#[tokio::test(flavor = "multi_thread")]
async fn one_crash_under_several_equal_requests_counts_once() {
    let mut fleet = Fleet::start(&document()).await;
    let crashing = fleet.add("a", plan("deep", 8, 60_000, &[])).await;
    let other = fleet.add("b", plan("front", 8, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let get = |path: &str| CallerRequest::get(path).key("acme-key");
    let crash = async {
        let running = || fleet.nodes[crashing].backend.in_flight() == 4;
        until("the equal requests run", running).await;
        fleet.ask(other, get("/deep/guilty").header(CRASH, "1")).await
    };
    let equal = |node| fleet.ask(node, get("/deep/equal"));
    let (first, second, third, fourth, _) =
        tokio::join!(equal(crashing), equal(crashing), equal(other), equal(other), crash);
    for answer in [first, second, third, fourth] {
        assert_eq!((answer.outcome(), answer.reason()), ("unknown", "crashed"), "{answer:?}");
    }
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    for node in [crashing, other] {
        let board = fleet.nodes[node].daemon.board();
        until("the new instance is known", || {
            board.instances.load().for_service("deep").len() == 1
        })
        .await;
        let answer = fleet.ask(node, get("/deep/equal")).await;
        assert_eq!((answer.outcome(), answer.reason()), ("ran", ""), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_instances_of_several_daemons_at_once_reaches_no_more() {
    let mut fleet = Fleet::start(&document()).await;
    for domain in ["a", "b", "a", "b", "a", "b", "a", "b"] {
        fleet.add(domain, plan("deep", 8, 20, &[])).await;
    }
    fleet.settle(&["deep"]).await;
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("all instances are known", || {
            board.instances.load().for_service("deep").len() == fleet.nodes.len()
        })
        .await;
    }
    let send_to = |nodes: std::ops::Range<usize>, turn: u32| {
        let sending = nodes.map(|node| {
            let crash = CallerRequest::get("/sign").key("acme-key").header(CRASH, "1");
            fleet.ask(node, crash.header(IDEMPOTENCY_KEY, &format!("crash-{turn}-{node}")))
        });
        futures::future::join_all(sending.collect::<Vec<_>>())
    };
    send_to(0..3, 1).await;
    let reported = |node: &fleet::Node| {
        let board = node.daemon.board();
        let reports = gypsumtack::sync::lock(&board.quarantine).recent_reports(board.clock.now());
        reports.iter().any(|report| report.crashes.len() >= 2)
    };
    until("all daemons know of two crashes", || fleet.nodes.iter().all(reported)).await;
    let begun = fleet.begun();
    for answer in send_to(0..8, 2).await {
        assert_eq!((answer.outcome(), answer.reason()), ("not-run", "quarantined"), "{answer:?}");
    }
    assert_eq!(fleet.begun(), begun);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_every_instance_reaches_only_two() {
    let mut fleet = Fleet::start(&document()).await;
    for domain in ["a", "b", "a", "b"] {
        fleet.add(domain, plan("deep", 8, 20, &[])).await;
    }
    fleet.settle(&["deep"]).await;
    let board = fleet.nodes[0].daemon.board().clone();
    until("the entry knows all instances", || {
        board.instances.load().for_service("deep").len() == 4
    })
    .await;
    let crash = || CallerRequest::get("/deep/bad").key("acme-key").header(CRASH, "1");
    let first = fleet.ask(0, crash()).await;
    assert_eq!((first.outcome(), first.reason()), ("unknown", "crashed"), "{first:?}");
    let alive = || fleet.nodes.iter().filter(|node| node.daemon.board().is_ready()).count();
    until("both crashes are detected", || alive() == 2).await;
    for _ in 0..5 {
        let again = fleet.ask(0, crash()).await;
        assert_eq!((again.outcome(), again.reason()), ("not-run", "quarantined"));
    }
    let other = fleet.nodes[1].daemon.board();
    let reported = || {
        let quarantine = gypsumtack::sync::lock(&other.quarantine);
        quarantine.recent_reports(other.clock.now()).iter().any(|report| report.crashes.len() >= 2)
    };
    until("another daemon has received the report", reported).await;
    let refused = fleet.ask(1, crash()).await;
    assert_eq!((refused.outcome(), refused.reason()), ("not-run", "quarantined"));
    for node in 0..4 {
        let answer = fleet.ask(node, CallerRequest::get("/deep/good").key("acme-key")).await;
        assert_eq!(answer.outcome(), "ran", "{answer:?}");
    }
    assert_eq!(alive(), 2);
}
