//! Backend servers that write one answer too many on a kept connection. What belongs to another request
//! must not become a promise that a request did not run.

mod fleet;

use fleet::scripted::{self, REQUEST_ID, Runs, Step, Turn, refusal, success};
use fleet::{Fleet, document, plan, until};
use gypsumtack_standin::caller::{Answer, CallerRequest};

const REQUESTS: usize = 6;

/// Starts a fleet whose entry hosts `entry_service`, with `instances` more VMs beside backend servers that
/// follow `script`. The entry's own backend server follows it too if it is of the same service.
async fn start(
    entry_service: &str,
    instances: usize,
    script: impl Fn(&Turn) -> Vec<Step> + Clone + Send + Sync + 'static,
) -> (Fleet, Runs) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.adapter.dialect = scripted::dialect();
    fleet.add("a", plan(entry_service, 8, 1, &[])).await;
    for _ in 0..instances {
        fleet.add("a", plan("deep", 8, 1, &[])).await;
    }
    fleet.settle(&["deep"]).await;
    let runs = Runs::default();
    let first = usize::from(entry_service != "deep");
    for node in first..fleet.nodes.len() {
        let address = scripted::start(runs.clone(), script.clone()).await;
        fleet.replace_backend(node, address).await;
    }
    let entry = fleet.nodes[0].daemon.board();
    let expected = fleet.nodes.len() - first;
    until("the entry knows all instances", || {
        entry.instances.load().for_service("deep").len() == expected
    })
    .await;
    (fleet, runs)
}

async fn sign(fleet: &Fleet, id: &str) -> Answer {
    let request = CallerRequest::post("/sign", "x".into()).key("acme-key");
    fleet.ask(0, request.header(REQUEST_ID, id)).await
}

fn is_promise(answer: &Answer) -> bool {
    matches!(answer.status.as_u16(), 408 | 421 | 429 | 503)
}

/// Sends requests that must not run twice, one after the other, and returns what each of those for which
/// that was broken shows.
async fn broken(fleet: &Fleet, runs: &Runs) -> Vec<String> {
    let mut broken = Vec::new();
    for index in 0..REQUESTS {
        let id = format!("request-{index}");
        let answer = sign(fleet, &id).await;
        let ran = runs.of(&id);
        if ran > 1 || (ran > 0 && is_promise(&answer)) {
            let (status, outcome, reason) = (answer.status, answer.outcome(), answer.reason());
            broken.push(format!("{id} ran {ran} times: {status}, {outcome}, {reason}"));
        }
    }
    broken
}

/// Refuses the first of two requests of a connection, and writes that refusal again before the answer to
/// the second.
fn repeat_refusal(turn: &Turn) -> Vec<Step> {
    match &turn.earlier {
        Some(earlier) if turn.index % 2 == 1 => {
            vec![Step::Run, Step::Write(refusal(&[earlier])), Step::Write(success(&[&turn.id]))]
        }
        _ => vec![Step::Write(refusal(&[&turn.id]))],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_does_not_promise_that_the_next_request_did_not_run() {
    let (fleet, runs) = start("deep", 0, repeat_refusal).await;
    assert_eq!(broken(&fleet, &runs).await, [""; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_beside_another_vm_promises_nothing() {
    let (fleet, runs) = start("front", 1, repeat_refusal).await;
    assert_eq!(broken(&fleet, &runs).await, [""; 0]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_refusal_does_not_make_a_request_run_at_a_second_instance() {
    let (fleet, runs) = start("front", 2, repeat_refusal).await;
    assert_eq!(broken(&fleet, &runs).await, [""; 0]);
}
