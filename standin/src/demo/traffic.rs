//! The demo's callers: several customers, each with its own mix of work, arriving at random.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumtack::message;
use gypsumtack::sync::lock;
use gypsumtack::time::{Clock, Time};
use http::StatusCode;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;

use super::system::System;
use crate::backend::{Echo, OPERATION};
use crate::caller::{Caller, CallerRequest};

/// Customers with their rates a second and bursts.
pub(super) const CUSTOMERS: [(&str, f64, f64); 6] = [
    ("inspectors", 300.0, 300.0),
    ("buyers", 800.0, 800.0),
    ("developers", 800.0, 800.0),
    ("batch", 800.0, 800.0),
    ("portal", 300.0, 300.0),
    ("greedy", 10.0, 20.0),
];

/// The customer whose key is withdrawn.
pub(super) const WITHDRAWN: &str = "portal";

/// The customer that sends several times its rate.
pub(super) const GREEDY: &str = "greedy";

/// The slowest answer that a caller waits for.
const PATIENCE: Duration = Duration::from_secs(4);

/// One stream of requests.
#[derive(Debug, Clone, Copy)]
struct Stream {
    customer: &'static str,
    path: &'static str,
    importance: &'static str,
    /// Requests a second while it is calm.
    rate: f64,
    /// Whether the stream grows with the overload.
    grows: bool,
    /// Whether a request must run at most once.
    once: bool,
}

const fn stream(
    customer: &'static str,
    path: &'static str,
    importance: &'static str,
    rate: f64,
) -> Stream {
    Stream { customer, path, importance, rate, grows: true, once: false }
}

const STREAMS: [Stream; 7] = [
    stream("inspectors", "/register/safety/", "critical", 20.0),
    stream("buyers", "/register/lists/", "high", 60.0),
    stream("developers", "/register/dossiers/", "normal", 60.0),
    stream("batch", "/register/exports/", "low", 60.0),
    stream("portal", "/archive/", "normal", 20.0),
    Stream { once: true, ..stream("inspectors", "/archive/signoff/", "critical", 10.0) },
    Stream { grows: false, ..stream("greedy", "/archive/", "normal", 50.0) },
];

/// The key of a customer of the demo.
pub(super) fn key(customer: &str) -> String {
    format!("demo-key-of-{customer}")
}

/// How one request ended.
#[derive(Debug, Clone)]
pub(super) struct Ending {
    pub(super) phase: &'static str,
    pub(super) customer: &'static str,
    pub(super) importance: &'static str,
    pub(super) operation: String,
    pub(super) once: bool,
    pub(super) sent: Time,
    pub(super) took: Duration,
    pub(super) kind: Kind,
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Kind {
    /// The whole answer to its own request.
    Whole,
    /// An answer that is not whole or belongs to another request.
    Wrong,
    /// A refusal, with its outcome and its reason.
    Refused { outcome: String, reason: String },
    /// The service answered with a failure.
    Failed,
    /// No VM was there to connect to.
    Unconnected,
    /// The connection was cut before the answer was whole.
    Cut,
}

/// Sends requests and keeps how they ended.
pub(super) struct Traffic {
    entries: Vec<SocketAddr>,
    caller: Caller,
    clock: Clock,
    rng: SmallRng,
    count: u64,
    endings: Arc<Mutex<Vec<Ending>>>,
    requests: JoinSet<()>,
}

impl Traffic {
    pub(super) fn new(system: &System, seed: u64) -> Self {
        Self {
            entries: system.entries(),
            caller: Caller::new(),
            clock: system.seen.clock,
            rng: SmallRng::seed_from_u64(seed),
            count: 0,
            endings: Arc::default(),
            requests: JoinSet::new(),
        }
    }

    /// Offers `load` times the base rates for `time`. Requests arrive whatever becomes of the others.
    pub(super) async fn phase(&mut self, phase: &'static str, load: f64, time: Duration) {
        let clock = self.clock;
        let start = clock.now();
        let mut next: Vec<(Duration, Stream)> =
            STREAMS.iter().map(|stream| (self.gap(stream, load), *stream)).collect();
        loop {
            next.sort_by_key(|(at, _)| *at);
            let (at, stream) = next[0];
            if at >= time {
                break;
            }
            clock.sleep_until(start + at).await;
            self.send(phase, stream);
            next[0].0 = at + self.gap(&stream, load);
        }
        clock.sleep_until(start + time).await;
    }

    /// Waits for the last answers.
    pub(super) async fn finish(mut self) -> Vec<Ending> {
        while self.requests.join_next().await.is_some() {}
        std::mem::take(&mut *lock(&self.endings))
    }

    fn gap(&mut self, stream: &Stream, load: f64) -> Duration {
        let rate = stream.rate * if stream.grows { load } else { 1.0 };
        let random: f64 = self.rng.random_range(1e-9..1.0);
        Duration::from_secs_f64(-random.ln() / rate)
    }

    fn send(&mut self, phase: &'static str, stream: Stream) {
        self.count += 1;
        let operation = format!("op-{}", self.count);
        let Some(&entry) = self.entries.choose(&mut self.rng) else { return };
        let others = self.entries.clone();
        let caller = self.caller.clone();
        let endings = Arc::clone(&self.endings);
        let clock = self.clock;
        self.requests.spawn(async move {
            let sent = clock.now();
            let mut kind = ask(&caller, entry, &stream, &operation).await;
            // As clients do, go to another VM when one is not there any more.
            if kind == Kind::Unconnected
                && let Some(other) = others.into_iter().find(|other| *other != entry)
            {
                kind = ask(&caller, other, &stream, &operation).await;
            }
            let ending = Ending {
                phase,
                customer: stream.customer,
                importance: stream.importance,
                operation,
                once: stream.once,
                sent,
                took: clock.now().since(sent),
                kind,
            };
            lock(&endings).push(ending);
        });
    }
}

async fn ask(caller: &Caller, entry: SocketAddr, stream: &Stream, operation: &str) -> Kind {
    let path = format!("{}{operation}", stream.path);
    let question = match stream.once {
        true => {
            CallerRequest::post(&path, "lifted".into()).header(message::IDEMPOTENCY_KEY, operation)
        }
        false => CallerRequest::get(&path),
    };
    let question = question.key(&key(stream.customer)).header(OPERATION, operation);
    let answer = match tokio::time::timeout(PATIENCE, caller.send(entry, question)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.contains("Connect") || error.contains("canceled") => {
            return Kind::Unconnected;
        }
        Ok(Err(_)) | Err(_) => return Kind::Cut,
    };
    if !answer.reason().is_empty() {
        let (outcome, reason) = (answer.outcome().to_owned(), answer.reason().to_owned());
        return Kind::Refused { outcome, reason };
    }
    if answer.status != StatusCode::OK {
        return Kind::Failed;
    }
    let echo: Option<Echo> = serde_json::from_slice(&answer.body).ok();
    match echo.is_some_and(|echo| echo.path == path && echo.operation == operation) {
        true => Kind::Whole,
        false => Kind::Wrong,
    }
}
