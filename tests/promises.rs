//! Statuses that promise callers that a request did not run and never will.

mod fleet;

use fleet::scripted::{self, REQUEST_ID, Runs, SEAL, Step, Turn, answer};
use fleet::{Fleet, document, plan};
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack_standin::caller::CallerRequest;

const PROMISES: [&str; 4] =
    ["408 Request Timeout", "421 Misdirected Request", "429 Too Many Requests", "503 Unavailable"];

async fn start(script: impl Fn(&Turn) -> Vec<Step> + Send + Sync + 'static) -> (Fleet, Runs) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.adapter.dialect = scripted::dialect();
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let runs = Runs::default();
    fleet.replace_backend(0, scripted::start(runs.clone(), script).await).await;
    (fleet, runs)
}

/// A backend server that runs a request may answer with any status. Only its header says that it did not
/// run one.
#[tokio::test(flavor = "multi_thread")]
async fn a_status_of_the_backend_server_promises_nothing_about_an_unsafe_request() {
    let script = |turn: &Turn| {
        let index: usize = turn.id.parse().unwrap_or_default();
        let status = PROMISES[index % PROMISES.len()];
        vec![Step::Run, Step::Write(answer(status, &[&turn.id], &SEAL, "body"))]
    };
    let (fleet, runs) = start(script).await;
    for (index, promise) in PROMISES.iter().enumerate() {
        let id = index.to_string();
        let request = CallerRequest::post("/sign", "x".into()).key("acme-key");
        let answer = fleet.ask(0, request.header(REQUEST_ID, &id)).await;
        assert_eq!(runs.of(&id), 1);
        assert_eq!(answer.status, 502, "{promise}: {answer:?}");
        assert_eq!(answer.outcome(), "ran");
        assert!(!answer.headers.contains_key(SEAL), "{answer:?}");
    }
    for (index, promise) in PROMISES.iter().enumerate() {
        let id = (PROMISES.len() + index).to_string();
        let request = CallerRequest::get("/deep").key("acme-key").header(REQUEST_ID, &id);
        let answer = fleet.ask(0, request).await;
        assert!(promise.starts_with(answer.status.as_str()), "{promise}: {answer:?}");
        assert!(answer.headers.contains_key(SEAL), "{answer:?}");
    }
}

#[test]
fn no_status_promises_that_a_request_did_not_run_if_it_may_have() {
    let reasons = [
        Reason::OverRate { rate: 1.0, wait_ms: 1 },
        Reason::SlowBody { waited_ms: 1 },
        Reason::ClaimUnavailable,
        Reason::Leaving,
        Reason::Shed { status: 503 },
        Reason::Crashed,
        Reason::DeadlinePassed { deadline_ms: 1 },
    ];
    for reason in reasons {
        for outcome in [Outcome::Unknown, Outcome::Ran] {
            let status = reason.status(outcome).as_u16();
            assert!(![408, 421, 429, 503].contains(&status), "{reason:?}, {outcome:?}: {status}");
        }
    }
}
