//! What is sent again, what is placed elsewhere, and what the caller is told when nothing helps.

mod fleet;

use std::sync::atomic::Ordering;

use fleet::{Fleet, document, plan};
use gypsumtack_standin::caller::Question;
use http::HeaderName;

const FAILS: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\noops";
const REFUSES: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n";
const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

/// An entry beside a service of its own, and `count` instances of the service that is asked for. Backend
/// servers can say that they refuse.
async fn instances(count: usize) -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    fleet.adapter.dialect.not_run = Some(HeaderName::from_static("x-refused"));
    fleet.add("a", plan("front", 8, 1, &[])).await;
    for _ in 0..count {
        fleet.add("a", plan("deep", 8, 1, &[])).await;
    }
    let board = fleet.nodes[0].daemon.board().clone();
    fleet.settle(&["front"]).await;
    fleet::until("all are known", || board.instances.load().for_service("deep").len() == count)
        .await;
    fleet
}

/// An address at which nobody listens.
async fn nobody() -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_an_idempotent_request_is_tried_elsewhere() {
    let fleet = instances(2).await;
    let failing = fleet.strange(1, vec![FAILS]).await;
    for _ in 0..20 {
        let answer = fleet.ask(0, Question::get("/deep").key("acme-key")).await;
        assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "ran"));
    }
    assert!(failing.load(Ordering::Relaxed) > 0, "the failing instance was asked");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failure_of_another_request_is_passed_on() {
    let fleet = instances(1).await;
    let failing = fleet.strange(1, vec![FAILS]).await;
    let question = Question::get("/sign").key("acme-key").header(IDEMPOTENCY, "one");
    let answer = fleet.ask(0, question).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (500, "ran"));
    assert_eq!(failing.load(Ordering::Relaxed), 1);
    assert_eq!(&answer.body[..], b"oops");
}

/// Whatever the order in which the two are asked, the answer that was made is delivered.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_does_not_replace_an_answer() {
    let fleet = instances(2).await;
    fleet.strange(1, vec![FAILS]).await;
    fleet.replace_backend(2, nobody().await).await;
    let answer = fleet.ask(0, Question::get("/deep").key("acme-key")).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (500, "ran"));
    assert_eq!(&answer.body[..], b"oops");
}

/// One instance answers that it failed, the other breaks off: the answer that was made is delivered.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_answer_does_not_replace_a_whole_one() {
    for (first, second) in [(FAILS, "garbage"), ("garbage", FAILS)] {
        let fleet = instances(2).await;
        fleet.strange(1, vec![first]).await;
        fleet.strange(2, vec![second]).await;
        let answer = fleet.ask(0, Question::get("/deep").key("acme-key")).await;
        assert_eq!((answer.status.as_u16(), answer.outcome()), (500, "ran"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_reached_no_backend_server_may_come_again() {
    let fleet = instances(1).await;
    fleet.replace_backend(1, nobody().await).await;
    let answer = fleet.ask(0, Question::get("/deep").key("acme-key")).await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not-run"));
    assert!(answer.headers.contains_key(http::header::RETRY_AFTER), "{answer:?}");
}

/// The only backend server refuses everything while it says that it is ready. Another one comes, and the
/// first one mends.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_refuses_everything_gets_nothing_until_it_mends() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nconnection: close\r\n\r\nback";
    let mut fleet = instances(1).await;
    let board = fleet.nodes[0].daemon.board().clone();
    let sheds = || board.read_view(|view| view.get("vm-1").is_some_and(|vm| vm.record.sheds));
    let refusing = fleet.strange(1, vec![REFUSES]).await;
    let question = || Question::get("/deep").key("acme-key");
    while !sheds() {
        assert_eq!(fleet.ask(0, question()).await.status.as_u16(), 503);
    }
    let refused = refusing.load(Ordering::Relaxed);
    assert!(refused < 40, "it was kept away from {refused} requests");
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet::until("both are known", || board.instances.load().for_service("deep").len() == 2).await;
    for _ in 0..50 {
        let answer = fleet.ask(0, question()).await;
        assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "ran"));
    }
    let mended = fleet.strange(1, vec![WHOLE]).await;
    while sheds() {
        assert_eq!(fleet.ask(0, question()).await.outcome(), "ran");
    }
    assert!(mended.load(Ordering::Relaxed) > 0, "a request was let through to see");
}
