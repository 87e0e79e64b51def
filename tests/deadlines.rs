//! The time that backend servers are told to have, against the time that callers wait.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fleet::recorder::{Arrival, Ending, Recorder};
use fleet::{Fleet, Node, document, plan, until};
use gypsumtack::document::Importance;
use gypsumtack::gate::Permit;
use gypsumtack::guard::SlotRequest;
use gypsumtack::message::{DEADLINE, IDEMPOTENCY_KEY};
use gypsumtack::time::Time;
use gypsumtack_standin::backend::OPERATION;
use gypsumtack_standin::caller::{Answer, CallerRequest};

/// Slots of each instance, as [`Fleet::replace_backend`] announces them.
const SLOTS: usize = 4;

/// How long requests of the operation `hold` keep their slots.
const HOLD_TIME: Duration = Duration::from_millis(1_500);

/// How long callers wait, and by how much the time that a backend server is told may exceed that.
const CALLER_TIMEOUT_MS: u64 = 4_000;
const MAX_EXCESS: Duration = Duration::from_millis(500);

/// The deadline of the routes.
const ROUTE_DEADLINE_MS: u64 = 5_000;

/// Starts an entry, and instances whose backend servers follow `script`.
async fn start_fleet(
    count: usize,
    script: impl Fn(usize, &Arrival) -> (Duration, Ending) + Clone + Send + Sync + 'static,
) -> (Fleet, Vec<Recorder>) {
    let document = document().replace("queue_ms = 1000", "queue_ms = 4000");
    let mut fleet = Fleet::start(&document).await;
    fleet.add("a", plan("front", 8, 1, &[])).await;
    let mut servers = Vec::new();
    for index in 0..count {
        let node = fleet.add("a", plan("deep", 8, 1, &[])).await;
        let script = script.clone();
        let script = move |arrival: &Arrival| script(index, arrival);
        let server = Recorder::start(fleet.seen.clock, script).await;
        fleet.replace_backend(node, server.address).await;
        servers.push(server);
    }
    fleet.settle(&["front"]).await;
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("all instances are known", || {
            let known = board.instances.load().for_service("deep").len() == count;
            known && board.read_view(|view| view.iter().all(|vm| vm.record.slots <= 8))
        })
        .await;
    }
    (fleet, servers)
}

fn request(path: &str, operation: &str) -> CallerRequest {
    CallerRequest::get(path)
        .key("acme-key")
        .header(OPERATION, operation)
        .header(IDEMPOTENCY_KEY, operation)
}

async fn ask(fleet: &Fleet, node: usize, path: &str, operation: &str) -> Answer {
    let timeout = CALLER_TIMEOUT_MS.to_string();
    fleet.ask(node, request(path, operation).header(DEADLINE, &timeout)).await
}

fn script(_: usize, arrival: &Arrival) -> (Duration, Ending) {
    let is_hold = arrival.operation.starts_with("hold");
    (if is_hold { HOLD_TIME } else { Duration::ZERO }, Ending::Status(200))
}

/// Fills all slots of the only instance of a node, and returns when each has a request.
async fn fill_slots(fleet: &Fleet, node: usize, server: &Recorder) {
    let caller = fleet.caller.clone();
    let address = fleet.nodes[node].callers();
    let before = server.arrivals().len();
    for index in 0..SLOTS {
        let (caller, request) = (caller.clone(), request("/deep", &format!("hold-{index}")));
        tokio::spawn(async move { caller.send(address, request).await });
    }
    until("all slots are taken", || server.arrivals().len() == before + SLOTS).await;
}

fn assert_ends(arrival: &Arrival, bound: Time, what: &str) {
    let deadline = arrival.deadline().expect("no deadline was sent");
    let excess = deadline.since(bound);
    assert!(excess <= MAX_EXCESS, "{what}: told to work {excess:?} longer than the caller waits");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_for_a_slot_does_not_extend_the_deadline() {
    for (entry, path) in [(0, "/deep"), (1, "/deep"), (0, "/sign"), (1, "/sign")] {
        let (fleet, servers) = start_fleet(1, script).await;
        fill_slots(&fleet, 1, &servers[0]).await;
        let sent = fleet.seen.clock.now();
        assert_eq!(ask(&fleet, entry, path, "late").await.outcome(), "ran");
        let arrival = servers[0].arrival("late").unwrap();
        assert!(arrival.at.since(sent) > MAX_EXCESS, "the request did not wait");
        let bound = sent + Duration::from_millis(CALLER_TIMEOUT_MS);
        assert_ends(&arrival, bound, &format!("{path} from VM {entry}"));
    }
}

/// Takes all slots of a node's instance.
async fn take_slots(node: &Node) -> Vec<Permit> {
    let board = node.daemon.board();
    let request = SlotRequest {
        customer: board.policy.load().customer_id("acme").unwrap(),
        weight: 1,
        importance: Importance::Critical,
        objective: Duration::from_secs(1),
        downstream: false,
        deadline: Time::MAX,
    };
    let slots = (0..SLOTS).map(|_| board.gate.acquire(request, "deep"));
    futures::future::try_join_all(slots).await.unwrap()
}

/// The first instance fails late, and the repeat waits for a slot of the other one.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_ends_when_the_first_attempt_did() {
    let failed = Arc::new(AtomicBool::new(false));
    let script = move |_: usize, arrival: &Arrival| match arrival.operation == "late"
        && !failed.swap(true, Ordering::Relaxed)
    {
        true => (HOLD_TIME, Ending::Status(500)),
        false => (Duration::ZERO, Ending::Status(200)),
    };
    let (fleet, servers) = start_fleet(2, script).await;
    let calm = futures::future::join_all((0..40).map(|_| ask(&fleet, 0, "/deep", "calm"))).await;
    assert!(calm.iter().all(|answer| answer.outcome() == "ran"));
    let sent = fleet.seen.clock.now();
    let fill_other = async {
        let arrived = |server: &Recorder| server.arrival("late").is_some();
        until("the first attempt runs", || servers.iter().any(arrived)).await;
        let other = if arrived(&servers[0]) { 2 } else { 1 };
        let permits = take_slots(&fleet.nodes[other]).await;
        tokio::time::sleep(2 * HOLD_TIME).await;
        drop(permits);
    };
    let (answer, ()) = tokio::join!(ask(&fleet, 0, "/deep", "late"), fill_other);
    assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "ran"));
    let bound = sent + Duration::from_millis(CALLER_TIMEOUT_MS);
    let mut arrivals: Vec<_> = servers.iter().filter_map(|server| server.arrival("late")).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    assert_eq!(arrivals.len(), 2, "the request was not repeated");
    assert!(arrivals[1].at.since(sent) > HOLD_TIME + MAX_EXCESS, "the repeat did not wait");
    for arrival in &arrivals {
        assert_ends(arrival, bound, "an attempt");
    }
}

/// Values of the deadline header, each with how long its caller waits.
const DEADLINES_MS: [(&str, u64); 8] = [
    ("1200", 1_200),
    (" 1200 ", 1_200),
    ("1200.5", 1_200),
    ("60000", ROUTE_DEADLINE_MS),
    ("18446744073709551615", ROUTE_DEADLINE_MS),
    ("99999999999999999999999", ROUTE_DEADLINE_MS),
    ("-1", ROUTE_DEADLINE_MS),
    ("soon", ROUTE_DEADLINE_MS),
];

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_is_told_no_more_time_than_the_caller_and_the_route_allow() {
    let (fleet, servers) = start_fleet(1, script).await;
    for path in ["/deep", "/sign"] {
        for (value, allowed_ms) in DEADLINES_MS {
            let operation = format!("{path} {value}").replace(['.', ' ', '/'], "_");
            let answer = fleet.ask(0, request(path, &operation).header(DEADLINE, value)).await;
            assert_eq!(answer.outcome(), "ran", "{value}: {answer:?}");
            let told = servers[0].arrival(&operation).unwrap().time_left_ms;
            assert!(
                told.is_some_and(|told| told <= allowed_ms),
                "{path}, deadline {value:?}: told {told:?} ms"
            );
        }
        let operation = format!("{path}_without").replace('/', "_");
        assert_eq!(fleet.ask(0, request(path, &operation)).await.outcome(), "ran");
        let told = servers[0].arrival(&operation).unwrap().time_left_ms;
        assert!(told.is_some_and(|told| told <= ROUTE_DEADLINE_MS), "no header: told {told:?} ms");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_time_left_reaches_no_backend_server() {
    let (fleet, servers) = start_fleet(1, script).await;
    // A link to the instance is open then, so that a request could be written to it.
    assert_eq!(fleet.ask(0, request("/deep", "before")).await.outcome(), "ran");
    for index in 0..20 {
        for path in ["/deep", "/sign"] {
            let request = request(path, &format!("over-{index}")).header(DEADLINE, "0");
            let answer = fleet.ask(0, request).await;
            assert_eq!(answer.outcome(), "not-run", "{answer:?}");
        }
    }
    assert_eq!(servers[0].arrivals().len(), 1);
}
