//! Backend servers that write one answer too many on a kept connection. What belongs to another request
//! must not become a promise that a request did not run.

mod fleet;

use fleet::scripted::{self, REQUEST_ID, Runs, Step, Turn, refusal, success};
use fleet::{Fleet, document, plan, until};
use gypsumtack::announcement::BackendServer;
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

/// What a backend server says of itself in an answer that is not the request's is an earlier state, or
/// that of another process.
#[tokio::test(flavor = "multi_thread")]
async fn an_unmatched_answer_tells_nothing_about_the_backend_server() {
    const NOTICE: &str = "x-backend-limit: 1\r\nx-backend-leaving: 1\r\ncontent-length";
    let (fleet, _) = start("deep", 0, |turn: &Turn| {
        let unmatched = refusal(&["another"]).replace("content-length", NOTICE);
        vec![Step::Run, Step::Write(unmatched), Step::Write(success(&[&turn.id]))]
    })
    .await;
    let board = fleet.nodes[0].daemon.board();
    let backend = BackendServer::clone(&board.backend.load_full().unwrap());
    board.announce(BackendServer { id: "i-1".into(), started: 1, ..backend }).unwrap();
    for index in 0..32 {
        let answer = sign(&fleet, &format!("request-{index}")).await;
        assert_eq!((answer.outcome(), answer.reason()), ("unknown", "bad-answer"));
    }
    assert!(board.is_ready(), "the backend server counts as leaving");
    assert!(board.may_send_to_backend(), "the backend server counts as refusing everything");
    let metrics = board.render_metrics();
    assert!(metrics.contains("gypsumtack_backend_limit inf"), "{metrics}");
    let counted = "gypsumtack_unmatched_answers_total{id=\"foreign\",refusal=\"yes\"} 32";
    assert!(metrics.contains(counted), "{metrics}");
}

/// On a new connection there is no earlier request whose answer it could be.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_an_id_is_believed_on_a_new_connection_only() {
    let script = |turn: &Turn| match turn.index {
        0 => vec![Step::Write(refusal(&[]))],
        _ => vec![Step::Run, Step::Write(refusal(&[]))],
    };
    let (fleet, runs) = start("deep", 0, script).await;
    let mut outcomes = Vec::new();
    for id in ["first", "second"] {
        let answer = sign(&fleet, id).await;
        outcomes.push((runs.of(id), answer.outcome().to_owned()));
    }
    assert_eq!(outcomes, [(0, "not-run".to_owned()), (1, "unknown".to_owned())]);
}
