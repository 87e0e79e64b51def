//! Backend servers that name in their answers how many requests per second they take.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, document, plan, until};
use gypsumtack::time::Time;
use gypsumtack_standin::backend::Backend;
use gypsumtack_standin::caller::CallerRequest;

/// Time after which a named limit has to hold.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Length of the windows in which arrivals are counted, and what is allowed in one beyond the limit.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;

/// Time within which a limit that is no longer named has to be lifted, in seconds.
const LIFTING_SECONDS: usize = 10;

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(40);

async fn start_fleet(service_ms: u64) -> Fleet {
    let mut fleet = Fleet::start(&document()).await;
    for domain in ["a", "a", "b"] {
        fleet.add(domain, plan("deep", 16, service_ms, &[])).await;
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

/// Sends requests at every VM for `span`, and returns the numbers of those that were served and refused.
async fn send_requests(fleet: &Fleet, span: Duration) -> (usize, usize) {
    let end = tokio::time::Instant::now() + span;
    let callers = (0..12).map(|index| async move {
        let (mut served, mut refused) = (0, 0);
        while tokio::time::Instant::now() < end {
            let request = CallerRequest::get("/deep").key("acme-key");
            match fleet.ask(index % fleet.nodes.len(), request).await.outcome() {
                "ran" => served += 1,
                "not-run" => refused += 1,
                other => panic!("a request ended as {other}"),
            }
            tokio::time::sleep(PAUSE).await;
        }
        (served, refused)
    });
    let counts = futures::future::join_all(callers).await;
    counts.iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Returns the most requests that arrived in any window which began after `since`.
fn most_in_a_window(backend: &Backend, since: Time) -> usize {
    let arrivals = backend.arrivals();
    let counted: Vec<Time> = arrivals.into_iter().filter(|at| *at >= since).collect();
    let in_window =
        |from: Time| counted.iter().filter(move |at| (from..from + WINDOW).contains(at));
    counted.iter().map(|from| in_window(*from).count()).max().unwrap_or(0)
}

fn assert_within(backend: &Backend, limit: f64, since: Time) {
    let most = most_in_a_window(backend, since);
    let allowed = TOLERANCE * limit * WINDOW.as_secs_f64() + MAX_EXTRA;
    assert!(
        most as f64 <= allowed,
        "{most} requests in 4 s, {allowed} allowed by a limit of {limit}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_gets_no_more_than_the_limit_that_it_names() {
    for (limit, service_ms) in [(10.0, 60), (4.5, 1), (0.0, 5)] {
        let fleet = start_fleet(service_ms).await;
        let limited = &fleet.nodes[0].backend;
        let named = fleet.seen.clock.now();
        limited.name_limit(Some(&limit.to_string()));
        let (served, refused) = send_requests(&fleet, CONTACT_TIME + WINDOW).await;
        assert_within(limited, limit, named + CONTACT_TIME);
        assert_eq!(refused, 0, "with {served} served beside two instances that take all");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limited_backend_server_gets_as_much_as_it_names() {
    let fleet = start_fleet(60).await;
    for node in &fleet.nodes {
        node.backend.name_limit(Some("20"));
    }
    send_requests(&fleet, CONTACT_TIME).await;
    let arrivals =
        || fleet.nodes.iter().map(|node| node.backend.arrivals().len()).collect::<Vec<_>>();
    let before = arrivals();
    let (served, refused) = send_requests(&fleet, WINDOW).await;
    let each: Vec<usize> = arrivals().iter().zip(before).map(|(now, then)| now - then).collect();
    let rate = each.iter().sum::<usize>() as f64 / WINDOW.as_secs_f64();
    assert!(
        rate > 48.0,
        "only {rate:.0} of 60 requests a second arrived, {each:?} at each, {served} served, {refused} refused"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_is_no_longer_named_is_lifted() {
    let fleet = start_fleet(5).await;
    let limited = &fleet.nodes[0].backend;
    limited.name_limit(Some("2"));
    send_requests(&fleet, Duration::from_secs(1)).await;
    limited.name_limit(None);
    // While others have room, only a probe a second is sent there, and three answers lift the limit.
    for _ in 0..LIFTING_SECONDS {
        let before = limited.arrivals().len();
        send_requests(&fleet, Duration::from_secs(1)).await;
        if limited.arrivals().len() - before > 20 {
            return;
        }
    }
    panic!("the limit still holds after {LIFTING_SECONDS} s");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_is_not_a_number_changes_nothing() {
    let fleet = start_fleet(5).await;
    let limited = &fleet.nodes[0].backend;
    limited.name_limit(Some("5"));
    send_requests(&fleet, Duration::from_secs(1)).await;
    limited.name_limit(Some("soon"));
    let named = fleet.seen.clock.now();
    send_requests(&fleet, WINDOW).await;
    assert_within(limited, 5.0, named);
}
