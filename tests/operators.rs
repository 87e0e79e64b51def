//! Endpoints of the operators' address: announcements, reasons of refusals, metrics and status.

mod fleet;

use fleet::{Fleet, document, plan};
use gypsumtack::journal::Entry;
use gypsumtack::ops::Status;
use gypsumtack_standin::caller::CallerRequest;
use http::StatusCode;

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_reasons_but_no_api_keys() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 4, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let operators = fleet.nodes[0].daemon.board().settings.listen.operators;
    let get = |path: String| fleet.caller.send(operators, CallerRequest::get(&path));
    let refused = fleet.ask(0, CallerRequest::get("/deep").key("a-forged-key")).await;
    let served = fleet.ask(0, CallerRequest::get("/deep").key("acme-key")).await;
    assert_eq!((refused.reason(), served.outcome()), ("unknown-key", "ran"));
    let id = refused.header(&gypsumtack::message::REQUEST_ID).to_owned();
    let why = get(format!("/why/{id}")).await.unwrap();
    let entries: Vec<Entry> = serde_json::from_slice(&why.body).unwrap();
    assert_eq!(entries.len(), 1);
    assert_eq!((entries[0].code.as_str(), entries[0].role.as_str()), ("unknown-key", "entry"));
    let malformed = get("/why/not-an-id".to_owned()).await.unwrap();
    assert_eq!(malformed.status, StatusCode::BAD_REQUEST);
    let metrics = get("/metrics".to_owned()).await.unwrap();
    let metrics = String::from_utf8(metrics.body.to_vec()).unwrap();
    assert!(metrics.contains("reason=\"unknown-key\""), "{metrics}");
    let status = get("/status".to_owned()).await.unwrap();
    let text = String::from_utf8(status.body.to_vec()).unwrap();
    let status: Status = serde_json::from_str(&text).unwrap();
    assert_eq!((status.version, status.own.service.as_str()), (1, "deep"));
    for secret in ["acme-key", "a-forged-key"] {
        assert!(!metrics.contains(secret) && !text.contains(secret));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_announcement_changes_nothing() {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 4, 1, &[])).await;
    let board = fleet.nodes[0].daemon.board();
    let operators = board.settings.listen.operators;
    let before = board.backend.load_full();
    for (body, remedy) in [
        ("not json", "send service, address, slots and draining as JSON"),
        (r#"{"service":"deep","address":"host:1","slots":4}"#, "send service"),
        (r#"{"service":"deep","address":"127.0.0.1:1","slots":0}"#, "slots must be 1 or more"),
        (r#"{"service":"","address":"127.0.0.1:1","slots":1}"#, "service must not be empty"),
    ] {
        let answer = fleet.caller.post(operators, "/announce", body.into()).await.unwrap();
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(text.contains(remedy), "{text}");
    }
    assert_eq!(board.backend.load_full(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retired_vm_gets_no_new_work() {
    use gypsumtack::publish::{self, Scope};
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 4, 1, &[])).await;
    fleet.add("b", plan("deep", 4, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let text = "[services.front]\n[services.deep]\nramp_s = 0\nretired = [\"vm-1\"]\n";
    let scope = Scope::Section { name: "services".into(), expect: 1 };
    publish::apply(&fleet.client(), &fleet::edit(text, scope)).await.unwrap();
    for node in &fleet.nodes {
        let board = node.daemon.board();
        fleet::until("only one is left", || board.instances.load().for_service("deep").len() == 1)
            .await;
    }
    let before = fleet.begun();
    for at in 0..10 {
        let answer = fleet.ask(at % 2, CallerRequest::get("/deep").key("acme-key")).await;
        assert_eq!(answer.outcome(), "ran", "{answer:?}");
    }
    assert_eq!(fleet.begun() - before, 10);
}
