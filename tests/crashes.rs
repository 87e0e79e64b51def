//! Requests that crash backend servers and are sent again.

mod fleet;

use std::time::Duration;

use bytes::Bytes;
use fleet::{Fleet, document, plan, until};
use gypsumtack::message::Message;
use gypsumtack::quarantine::{CrashStatus, Fingerprint, Quarantine};
use gypsumtack::time::Time;
use gypsumtack_standin::backend::CRASH;
use gypsumtack_standin::caller::CallerRequest;
use http::{HeaderMap, Method};

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
    let mut quarantine = Quarantine::default();
    let (guilty, innocent) = (fingerprint("guilty"), fingerprint("innocent"));
    for suspect in [guilty, innocent] {
        quarantine.record_crash(suspect, Time::ZERO);
        assert_eq!(quarantine.crash_status(suspect, Time::ZERO), CrashStatus::Suspect);
    }
    quarantine.record_completion(innocent);
    assert_eq!(quarantine.crash_status(innocent, Time::ZERO), CrashStatus::Clear);
    quarantine.record_crash(guilty, Time::ZERO);
    assert!(matches!(quarantine.crash_status(guilty, Time::ZERO), CrashStatus::Quarantined(_)));
    let mut peer = Quarantine::default();
    peer.merge(&quarantine.recent_reports(Time::ZERO), Time::ZERO);
    assert!(matches!(peer.crash_status(guilty, Time::ZERO), CrashStatus::Quarantined(_)));
    let later = Time::ZERO + Duration::from_secs(601);
    assert_eq!(peer.crash_status(guilty, later), CrashStatus::Clear);
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
        quarantine.recent_reports(other.clock.now()).iter().any(|report| report.crashes >= 2)
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
