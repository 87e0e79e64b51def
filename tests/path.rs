//! Requests over real sockets, through two daemons and two services, one of which calls the other.

mod fleet;

use std::sync::atomic::Ordering;

use fleet::{Fleet, document, plan};
use gypsumtack_standin::backend::OPERATION;
use gypsumtack_standin::caller::CallerRequest;
use http::{HeaderName, StatusCode};

const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

async fn two_services() -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("front", 8, 1, &["/deep/1"])).await;
    fleet.add("b", plan("deep", 8, 1, &[])).await;
    fleet.settle(&["front", "deep"]).await;
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn serves_a_call_graph_from_every_entry() {
    let fleet = two_services().await;
    for node in 0..2 {
        let answer = fleet.ask(node, CallerRequest::get("/front/7").key("acme-key")).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.outcome(), "ran");
    }
    assert_eq!(fleet.begun(), 4, "each request runs once on each of its two services");
    assert_eq!(
        fleet.seen.with_credentials.load(Ordering::Relaxed),
        0,
        "no backend server receives an API key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_unknown_keys_and_paths() {
    let fleet = two_services().await;
    for (question, reason) in [
        (CallerRequest::get("/front"), "missing-key"),
        (CallerRequest::get("/front").key("forged"), "unknown-key"),
        (CallerRequest::get("/nowhere").key("acme-key"), "unknown-route"),
        (CallerRequest::get("/frontier").key("acme-key"), "unknown-route"),
    ] {
        let answer = fleet.ask(0, question).await;
        assert_eq!((answer.outcome(), answer.reason()), ("not-run", reason));
    }
    assert_eq!(fleet.begun(), 0);
    let answer = fleet.ask(0, CallerRequest::get("/open/terms")).await;
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_a_non_idempotent_request_once_and_replays_its_answer() {
    let fleet = two_services().await;
    let sign = |body: &'static str| {
        CallerRequest::post("/sign/9", body.into())
            .key("acme-key")
            .header(IDEMPOTENCY, "k1")
            .header(OPERATION, "op1")
    };
    let first = fleet.ask(0, sign("lifted")).await;
    let again = fleet.ask(1, sign("lifted")).await;
    assert_eq!((first.status, &first.body), (again.status, &again.body));
    assert_eq!(fleet.seen.trace("op1").runs, 1);
    let other = fleet.ask(1, sign("another body")).await;
    assert_eq!((other.outcome(), other.reason()), ("not-run", "idempotency-mismatch"));
    let without = fleet.ask(0, CallerRequest::post("/sign/9", "x".into()).key("acme-key")).await;
    assert_eq!((without.outcome(), without.reason()), ("not-run", "missing-idempotency-key"));
}
