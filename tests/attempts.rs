//! The instances that one request reaches, however its attempts end.

mod fleet;

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::recorder::{Arrival, Ending, REFUSED, Recorder};
use fleet::{Fleet, document, plan, until};
use gypsumtack::message::{DEADLINE, IDEMPOTENCY_KEY};
use gypsumtack_standin::backend::OPERATION;
use gypsumtack_standin::caller::CallerRequest;

const INSTANCES: usize = 5;

/// Maximum number of instances that a request of the routes may reach.
const MAX_ATTEMPTS: usize = 2;

/// Requests that are served before instances fail, so that the fleet has earned retries.
const CALM_REQUESTS: usize = 300;

/// Requests for each way in which an attempt ends.
const REQUESTS: usize = 40;

const CALLER_TIMEOUT_MS: &str = "800";

/// Ways in which all instances end a request. In the last one, each instance has its own.
const ENDINGS: [&[Ending]; 7] = [
    &[Ending::Refused],
    &[Ending::Status(500)],
    &[Ending::Status(503)],
    &[Ending::Closed],
    &[Ending::Garbage],
    &[Ending::Silence],
    &[Ending::Refused, Ending::Status(500), Ending::Closed, Ending::Garbage, Ending::Silence],
];

/// Ends the calm requests with success, and others as the name of their operation says.
fn script(index: usize, arrival: &Arrival) -> (Duration, Ending) {
    let kind = arrival.operation.split('-').next().and_then(|kind| kind.parse::<usize>().ok());
    let ending = kind.map_or(Ending::Status(200), |kind| {
        let endings = ENDINGS[kind];
        endings[index % endings.len()]
    });
    (Duration::ZERO, ending)
}

async fn start_fleet() -> (Fleet, Vec<Recorder>) {
    let mut document = document();
    for route in ["deep", "sign"] {
        let retries = format!("[routes.{route}]\nretries = {}\n", MAX_ATTEMPTS - 1);
        document = document.replace(&format!("[routes.{route}]\n"), &retries);
    }
    let mut fleet = Fleet::start(&document).await;
    fleet.adapter.dialect.not_run = Some(REFUSED);
    fleet.add("a", plan("front", 64, 1, &["/deep"])).await;
    let mut servers = Vec::new();
    for index in 0..INSTANCES {
        let node = fleet.add("a", plan("deep", 8, 1, &[])).await;
        let script = move |arrival: &Arrival| script(index, arrival);
        let server = Recorder::start(fleet.seen.clock, script).await;
        fleet.replace_backend(node, server.address).await;
        servers.push(server);
    }
    fleet.settle(&["front"]).await;
    let board = fleet.nodes[0].daemon.board();
    until("the entry knows all instances", || {
        board.instances.load().for_service("deep").len() == INSTANCES
    })
    .await;
    (fleet, servers)
}

/// Sends requests one after the other, and returns the most instances and the most arrivals of one.
async fn send_requests(
    fleet: &Fleet,
    servers: &[Recorder],
    (path, kind): (&str, usize),
) -> (usize, usize) {
    let name = |index: usize| format!("{kind}-{}-{index}", path.trim_start_matches('/'));
    for index in 0..REQUESTS {
        let operation = name(index);
        let request = CallerRequest::get(path)
            .key("acme-key")
            .header(OPERATION, &operation)
            .header(IDEMPOTENCY_KEY, &operation)
            .header(DEADLINE, CALLER_TIMEOUT_MS);
        let ends_late = ENDINGS[kind].contains(&Ending::Silence);
        let sending = fleet.ask(0, request);
        if ends_late {
            let caller = tokio::time::timeout(Duration::from_millis(100), sending);
            let _ = caller.await;
        } else {
            sending.await;
        }
    }
    let arrivals: Vec<_> = servers.iter().map(Recorder::arrivals).collect();
    let reached = |operation: &str| {
        let of_operation = |server: usize| {
            arrivals[server].iter().filter(|arrival| arrival.operation == operation).count()
        };
        let counts: Vec<usize> = (0..servers.len()).map(of_operation).collect();
        (counts.iter().filter(|count| **count > 0).count(), counts.iter().sum())
    };
    let names: BTreeSet<String> = (0..REQUESTS).map(name).collect();
    names
        .iter()
        .map(|operation| reached(operation))
        .fold((0, 0), |most, one: (usize, usize)| (most.0.max(one.0), most.1.max(one.1)))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_no_more_instances_than_its_route_allows() {
    let (fleet, servers) = start_fleet().await;
    for path in ["/deep", "/front", "/sign"] {
        for index in 0..CALM_REQUESTS {
            let operation = format!("calm-{index}");
            let request = CallerRequest::get(path).key("acme-key");
            let request = request.header(IDEMPOTENCY_KEY, &format!("{path}-{operation}"));
            assert_eq!(fleet.ask(0, request.header(OPERATION, &operation)).await.outcome(), "ran");
        }
        for (kind, endings) in ENDINGS.iter().enumerate() {
            let (instances, arrivals) = send_requests(&fleet, &servers, (path, kind)).await;
            println!("{path} {endings:?}: {instances} instances, {arrivals} arrivals");
            assert!(
                instances <= MAX_ATTEMPTS && arrivals <= MAX_ATTEMPTS,
                "{path} {endings:?}: {instances} instances, {arrivals} arrivals of one request"
            );
        }
    }
}
