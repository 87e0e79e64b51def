//! Sequences of honest and faulty answers on kept connections, drawn from a seed.

mod fleet;

use std::time::Duration;

use fleet::scripted::{self, REQUEST_ID, Runs, SEAL, Step, Turn, answer, refusal, success};
use fleet::{Fleet, document, plan, until};
use gypsumtack_standin::caller::CallerRequest;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 4;
const CALLERS: usize = 4;
const REQUESTS: usize = 60;

/// Draws what a backend server does with a request. Its refusals with the request's id, or on a new
/// connection, are true unless it has answered before.
fn draw(seed: u64, turn: &Turn) -> Vec<Step> {
    let digits = turn.id.bytes().fold(seed, |hash, byte| hash * 31 % 1_000_003 + u64::from(byte));
    let mut rng = SmallRng::seed_from_u64(digits * 1_000 + turn.index);
    let id = turn.id.as_str();
    let pause = Step::Pause(Duration::from_micros(rng.random_range(0..3_000)));
    let run =
        |unmatched: String| vec![Step::Run, Step::Write(unmatched), Step::Write(success(&[id]))];
    let extra = match rng.random_range(0..3) {
        0 => refusal(&[id]),
        1 => refusal(&[]),
        _ => success(&[id]),
    };
    match (rng.random_range(0..12), &turn.earlier) {
        (0, Some(earlier)) => run(refusal(&[earlier])),
        (1, Some(_)) => run(refusal(&[])),
        (2, Some(earlier)) => run(refusal(&[id, earlier])),
        (3, _) => vec![Step::Run, Step::Write(success(&[id]) + &extra)],
        (4, _) => vec![Step::Run, Step::Write(success(&[id])), pause, Step::Write(extra)],
        (5, _) => vec![Step::Write(refusal(&[id])), pause, Step::Write(refusal(&[id]))],
        (6, _) => vec![Step::Run, Step::Write(answer("503 Unavailable", &[id], &SEAL, ""))],
        (7, _) => vec![Step::Run, Step::Close],
        (8, _) => vec![Step::Close],
        (9 | 10, _) => vec![Step::Write(refusal(&[id]))],
        _ => vec![Step::Run, Step::Write(success(&[id]))],
    }
}

async fn start(seed: u64) -> (Fleet, Runs) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.adapter.dialect = scripted::dialect();
    for _ in 0..2 {
        fleet.add("a", plan("deep", 8, 1, &[])).await;
    }
    fleet.settle(&["deep"]).await;
    let runs = Runs::default();
    for node in 0..2 {
        let address = scripted::start(runs.clone(), move |turn| draw(seed, turn)).await;
        fleet.replace_backend(node, address).await;
    }
    let entry = fleet.nodes[0].daemon.board();
    until("the entry knows both instances", || {
        entry.instances.load().for_service("deep").len() == 2
    })
    .await;
    (fleet, runs)
}

#[tokio::test(flavor = "multi_thread")]
async fn no_sequence_of_answers_makes_a_promise_false_or_a_request_run_twice() {
    for seed in 1..=SEEDS {
        let (fleet, runs) = start(seed).await;
        let callers = (0..CALLERS).map(|caller| {
            let (fleet, runs) = (&fleet, &runs);
            async move {
                let mut outcomes = Vec::new();
                for index in 0..REQUESTS {
                    let id = format!("{caller}-{index}");
                    let request = CallerRequest::post("/sign", "x".into()).key("acme-key");
                    let answer = fleet.ask(0, request.header(REQUEST_ID, &id)).await;
                    let (ran, status) = (runs.of(&id), answer.status.as_u16());
                    let promised = matches!(status, 408 | 421 | 429 | 503);
                    assert!(ran <= 1, "seed {seed}: {id} ran {ran} times: {answer:?}");
                    assert!(!promised || ran == 0, "seed {seed}: {id} ran: {answer:?}");
                    assert!(status != 200 || answer.body == id, "seed {seed}: {id}: {answer:?}");
                    outcomes.push(answer.outcome().to_owned());
                }
                outcomes
            }
        });
        let outcomes = futures::future::join_all(callers).await.concat();
        for expected in ["ran", "not-run", "unknown"] {
            let count = outcomes.iter().filter(|outcome| *outcome == expected).count();
            assert!(count > 0, "seed {seed}: no request ended as {expected}");
        }
    }
}
