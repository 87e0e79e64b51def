//! Failures over real sockets: shutdown, draining, revoked keys, platform outages, disconnected callers.

mod fleet;

use std::sync::atomic::Ordering;
use std::time::Duration;

use fleet::{Fleet, document, document_with, edit, plan, until};
use gypsumtack::publish::{self, Scope};
use gypsumtack::roster::{self, Roster};
use gypsumtack_standin::caller::CallerRequest;
use gypsumtack_standin::platform::Faults;
use http::HeaderName;

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

async fn start_two_instances(service_ms: u64) -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 8, service_ms, &[])).await;
    fleet.add("b", plan("deep", 8, service_ms, &[])).await;
    fleet.settle(&["deep"]).await;
    fleet
}

fn section(document: &str, name: &str) -> String {
    let sections = gypsumtack::document::Sections::split(document, "test").unwrap();
    sections.get(name).unwrap().text.clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_requests_in_flight() {
    let mut fleet = start_two_instances(600).await;
    let entry = fleet.nodes[0].callers();
    let caller = fleet.caller.clone();
    let ask = move |at: usize| {
        let caller = caller.clone();
        tokio::spawn(async move {
            caller.send(entry, CallerRequest::get(&format!("/deep/{at}")).key("acme-key")).await
        })
    };
    let requests: Vec<_> = (0..6).map(ask).collect();
    let seen = fleet.seen.clone();
    until("all requests run", || seen.started.load(Ordering::Relaxed) == 6).await;
    let node = fleet.nodes.remove(0);
    node.daemon.stop().await;
    for request in requests {
        let answer = request.await.unwrap().unwrap();
        assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "ran"));
    }
    assert!(
        in_roster(&fleet, "vm-0"),
        "a VM that did not drain is dropped from the roster, though it may restart"
    );
}

fn in_roster(fleet: &Fleet, vm: &str) -> bool {
    let row = fleet.platform.table().row(roster::KEY).cloned().unwrap();
    row.decode::<Roster>().unwrap().members.contains_key(vm)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_vm_returns_its_shares_when_it_stops() {
    let mut fleet = start_two_instances(1).await;
    fleet.nodes[0].backend.drain();
    let own = fleet.nodes[0].daemon.board().clone();
    until("its backend server has drained", || !own.is_ready()).await;
    fleet.nodes.remove(0).daemon.stop().await;
    assert!(!in_roster(&fleet, "vm-0"), "a drained VM still holds its shares in the roster");
    let share = own.tables.load().shares.values().next().unwrap().clone();
    assert_eq!(share.bucket().fraction(), 0.0);
    let remaining = fleet.nodes[0].daemon.board().clone();
    let share = remaining.tables.load().shares.values().next().unwrap().clone();
    until("the other VM holds all shares", || share.bucket().fraction() == 1.0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_backend_server_gets_no_new_requests() {
    let fleet = start_two_instances(1).await;
    fleet.nodes[1].backend.drain();
    let board = fleet.nodes[0].daemon.board();
    until("the other daemon has seen the drain", || {
        board.instances.load().for_service("deep").len() == 1
    })
    .await;
    let own = fleet.nodes[1].daemon.board();
    until("the grace period of its own daemon is over", || !own.is_ready()).await;
    let before = fleet.begun();
    for at in 0..20 {
        let answer = fleet.ask(at % 2, CallerRequest::get("/deep").key("acme-key")).await;
        assert_eq!(answer.outcome(), "ran", "{answer:?}");
    }
    assert_eq!(fleet.begun() - before, 20);
    assert_eq!(fleet.nodes[1].backend.in_flight(), 0);
    assert_eq!(fleet.seen.after_drain.load(Ordering::Relaxed), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_is_refused_on_open_connections() {
    let fleet = start_two_instances(1).await;
    let ask = |node: usize| fleet.ask(node, CallerRequest::get("/deep").key("acme-key"));
    assert_eq!(ask(0).await.outcome(), "ran");
    let customers = section(&document(), "customers");
    let without = customers.lines().map(|line| match line.starts_with("keys") {
        true => "keys = []\n".to_owned(),
        false => format!("{line}\n"),
    });
    let scope = Scope::Section { name: "customers".into(), expect: 1 };
    let edit = edit(&without.collect::<String>(), scope);
    let version = publish::apply(&fleet.client(), &edit).await.unwrap();
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("the document is in force on every VM", || board.policy.load().version == version)
            .await;
    }
    for node in 0..2 {
        let answer = ask(node).await;
        assert_eq!((answer.outcome(), answer.reason()), ("not-run", "unknown-key"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_outage_stops_only_claims_and_leaves_none_open() {
    let fleet = start_two_instances(1).await;
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    let sign = |key: &'static str| {
        let question = CallerRequest::post("/sign", "x".into()).key("acme-key");
        fleet.ask(0, question.header(IDEMPOTENCY_KEY, key))
    };
    let refused = sign("k1").await;
    assert_eq!((refused.outcome(), refused.reason()), ("not-run", "claim-unavailable"));
    assert_eq!(fleet.ask(1, CallerRequest::get("/deep").key("acme-key")).await.outcome(), "ran");
    assert_eq!(fleet.begun(), 1, "only the request that needs no claim runs");
    fleet.platform.set_faults(Faults::default());
    let shared = fleet.nodes[0].daemon.shared();
    until("the refused claim is settled", || shared.claims.unsettled() == 0).await;
    let mut again = sign("k1").await;
    for _ in 0..50 {
        if again.reason() != "claim-unavailable" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        again = sign("k1").await;
    }
    assert_eq!(again.outcome(), "ran", "{again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answers_run_no_request_twice() {
    let fleet = start_two_instances(1).await;
    fleet.platform.set_faults(Faults { lose_answers: 0.5, ..Faults::default() });
    let mut ran = 0;
    for at in 0..12 {
        let key = format!("k{at}");
        let operation = format!("op{at}");
        for node in 0..2 {
            let question = CallerRequest::post("/sign", "x".into())
                .key("acme-key")
                .header(IDEMPOTENCY_KEY, &key)
                .header(gypsumtack_standin::backend::OPERATION, &operation);
            let answer = fleet.ask(node, question).await;
            ran += usize::from(answer.outcome() == "ran");
        }
        assert!(fleet.seen.trace(&operation).starts.len() <= 1, "{operation} ran twice");
    }
    assert!(ran > 0, "no request ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_its_work_at_every_hop() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("front", 8, 1, &["/deep/1"])).await;
    fleet.add("b", plan("deep", 8, 60_000, &[])).await;
    fleet.settle(&["front", "deep"]).await;
    let entry = fleet.nodes[1].callers();
    let caller = fleet.caller.clone();
    let request = tokio::spawn(async move {
        caller.send(entry, CallerRequest::get("/front").key("acme-key")).await
    });
    let seen = fleet.seen.clone();
    until("both hops run", || seen.started.load(Ordering::Relaxed) == 2).await;
    request.abort();
    until("both hops are cancelled", || seen.cancelled.load(Ordering::Relaxed) == 2).await;
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("the slots are released", || board.gate.load().in_flight == 0).await;
        assert!(board.live.is_empty());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rate_of_a_customer_is_enforced_across_all_entries() {
    let digest = gypsumtack::Digest::of(b"small-key");
    let small = format!("[customers.small]\nrate = 0.5\nburst = 12.0\nkeys = [\"{digest}\"]\n");
    let mut fleet = Fleet::start(&document_with(&small)).await;
    for domain in ["a", "b", "b"] {
        fleet.add(domain, plan("deep", 8, 1, &[])).await;
    }
    fleet.settle(&["deep"]).await;
    let started = std::time::Instant::now();
    let mut ran = 0;
    for at in 0..60 {
        let answer = fleet.ask(at % 3, CallerRequest::get("/deep").key("small-key")).await;
        match answer.outcome() {
            "ran" => ran += 1,
            _ => assert_eq!(answer.reason(), "over-rate"),
        }
    }
    let limit = 12.0 + 0.5 * started.elapsed().as_secs_f64();
    assert!(f64::from(ran) <= limit, "{ran} of at most {limit}");
    assert!(ran > 0);
}
