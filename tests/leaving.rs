//! Backend servers that say in their answers, and nowhere else, that they are leaving.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, Node, document, plan, until};
use gypsumtack::announcement::BackendServer;
use gypsumtack::daemon::Adapter;
use gypsumtack::document::{CustomerId, Importance};
use gypsumtack::guard::SlotRequest;
use gypsumtack::member::State;
use gypsumtack::time::Time;
use gypsumtack::{Daemon, Settings};
use gypsumtack_standin::caller::CallerRequest;

/// Time after an answer that says so from which the backend server may get no request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

async fn start_fleet() -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    for domain in ["a", "a", "b"] {
        fleet.add(domain, plan("deep", 16, 5, &[])).await;
    }
    fleet.settle(&["deep"]).await;
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("all instances are known", || {
            board.instances.load().for_service("deep").len() == fleet.nodes.len()
        })
        .await;
    }
    fleet
}

async fn send_requests(fleet: &Fleet, nodes: &[usize], span: Duration) {
    let end = tokio::time::Instant::now() + span;
    let callers = (0..6).map(|index| async move {
        while tokio::time::Instant::now() < end {
            let node = nodes[index % nodes.len()];
            let answer = fleet.ask(node, CallerRequest::get("/deep").key("acme-key")).await;
            assert_eq!(answer.outcome(), "ran", "{answer:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    futures::future::join_all(callers).await;
}

/// Starts a daemon at addresses that the one before it is about to free.
async fn start_again(settings: &Settings, adapter: &Adapter) -> Daemon {
    let end = tokio::time::Instant::now() + Duration::from_secs(5);
    loop {
        match Daemon::start_with(settings.clone(), adapter.clone()).await {
            Ok(daemon) => return daemon,
            Err(error) => assert!(tokio::time::Instant::now() < end, "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn arrived_since(fleet: &Fleet, node: usize, since: Time) -> usize {
    fleet.nodes[node].backend.arrivals().iter().filter(|at| **at > since).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_says_it_is_leaving_gets_no_requests() {
    let fleet = start_fleet().await;
    fleet.nodes[0].backend.say_leaving();
    let told = fleet.seen.clock.now();
    send_requests(&fleet, &[0, 1, 2], DRAIN_TIME + Duration::from_secs(2)).await;
    assert!(arrived_since(&fleet, 0, told) > 0, "no answer said so");
    assert_eq!(arrived_since(&fleet, 0, told + DRAIN_TIME), 0);
    let own = fleet.nodes[0].daemon.board();
    assert!(!own.is_ready(), "the announcements, which do not say so, undid it");
}

/// The daemon beside the backend server forgets what it was told when it restarts, and the announcements
/// do not say so. Entries that passed such an answer on still know.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_backend_server_gets_no_requests_after_its_daemon_restarts() {
    let mut fleet = start_fleet().await;
    fleet.nodes[0].backend.say_leaving();
    send_requests(&fleet, &[1, 2], DRAIN_TIME).await;
    let settings = fleet.nodes[0].daemon.board().settings.clone();
    let (adapter, fresh) = (fleet.adapter.clone(), fleet.nodes.remove(0));
    fresh.daemon.stop().await;
    let restarted = start_again(&settings, &adapter).await;
    let board = restarted.board();
    until("the backend server is announced again", || board.is_serving() && board.is_ready()).await;
    let incarnation = board.incarnation;
    fleet.nodes.insert(0, Node { daemon: restarted, backend: fresh.backend });
    for node in &fleet.nodes[1..] {
        until("the other daemons know that it accepts requests", || {
            node.daemon.board().read_view(|view| {
                let record = &view.get("vm-0").unwrap().record;
                record.incarnation == incarnation && record.state == State::Ready
            })
        })
        .await;
    }
    let before = fleet.seen.clock.now();
    send_requests(&fleet, &[1, 2], Duration::from_secs(2)).await;
    assert_eq!(arrived_since(&fleet, 0, before), 0);
}

/// What a backend server that is leaving answers besides success.
const LEAVING_ANSWERS: [&str; 2] = [
    "HTTP/1.1 503 Full\r\nx-refused: 1\r\nx-backend-leaving: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 500 Failed\r\nx-backend-leaving: 1\r\ncontent-length: 0\r\n\r\n",
];

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_says_it_is_leaving_in_a_refusal_or_an_error_gets_no_requests() {
    for answer in LEAVING_ANSWERS {
        let mut fleet = Fleet::start(&document()).await;
        fleet.adapter.dialect.not_run = Some(http::HeaderName::from_static("x-refused"));
        for domain in ["a", "a", "b"] {
            fleet.add(domain, plan("deep", 16, 5, &[])).await;
        }
        fleet.settle(&["deep"]).await;
        let arrived = fleet.strange(0, vec![answer]).await;
        let board = fleet.nodes[0].daemon.board();
        let announced = (*board.backend.load_full().unwrap()).clone();
        board.announce(BackendServer { id: "one".to_owned(), ..announced }).unwrap();
        until("it is announced with its id", || {
            board.backend.load().as_ref().is_some_and(|backend| backend.id == "one")
        })
        .await;
        let count = || arrived.load(std::sync::atomic::Ordering::Relaxed);
        let ask = |node| fleet.ask(node, CallerRequest::get("/deep").key("acme-key"));
        while count() == 0 {
            ask(1).await;
        }
        tokio::time::sleep(DRAIN_TIME).await;
        let before = count();
        for index in 0..60 {
            assert_eq!(ask(index % 3).await.outcome(), "ran");
        }
        assert_eq!(count(), before, "requests after {answer:?}");
    }
}

/// Guards against a request that waits for a slot until long after the backend server has begun to drain.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waited_past_the_closing_does_not_reach_a_draining_backend_server() {
    let document = document().replace("queue_ms = 1000", "queue_ms = 4000");
    let mut fleet = Fleet::start(&document).await;
    fleet.add("a", plan("deep", 1, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let board = fleet.nodes[0].daemon.board();
    let slot = SlotRequest {
        customer: CustomerId::new(0),
        weight: 1,
        importance: Importance::Normal,
        objective: Duration::from_secs(1),
        downstream: false,
        deadline: Time::MAX,
    };
    let slot = board.gate.acquire(slot, "deep").await.unwrap();
    let drain = async {
        until("the request waits", || board.gate.load().queued == 1).await;
        fleet.nodes[0].backend.drain();
        until("the time to leave is over", || !board.is_ready()).await;
        drop(slot);
    };
    let ask = fleet.ask(0, CallerRequest::get("/deep").key("acme-key"));
    let (answer, ()) = tokio::join!(ask, drain);
    assert_eq!((answer.outcome(), answer.reason()), ("not-run", "not-ready"), "{answer:?}");
    assert_eq!(fleet.begun(), 0);
}
