//! Traffic of the demo: several customers with different mixes of requests, which arrive at random.

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

/// Customers with their rates, in requests per second, and their bursts, in requests.
pub(super) const CUSTOMERS: [(&str, f64, f64); 6] = [
    ("inspectors", 300.0, 300.0),
    ("buyers", 800.0, 800.0),
    ("developers", 800.0, 800.0),
    ("batch", 800.0, 800.0),
    ("portal", 300.0, 300.0),
    ("greedy", 10.0, 20.0),
];

/// Customer whose key is withdrawn.
pub(super) const WITHDRAWN_CUSTOMER: &str = "portal";

/// Customer that sends several times its rate.
pub(super) const GREEDY_CUSTOMER: &str = "greedy";

/// Maximum time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Requests of one customer for one route.
#[derive(Debug, Clone, Copy)]
struct Stream {
    customer: &'static str,
    path: &'static str,
    importance: &'static str,
    /// Base rate, in requests per second.
    rate: f64,
    /// Whether the rate is multiplied by the load of the phase.
    scales_with_load: bool,
    /// Whether a request must run at most once.
    at_most_once: bool,
}

const fn stream(
    customer: &'static str,
    path: &'static str,
    importance: &'static str,
    rate: f64,
) -> Stream {
    Stream { customer, path, importance, rate, scales_with_load: true, at_most_once: false }
}

const STREAMS: [Stream; 7] = [
    stream("inspectors", "/register/safety/", "critical", 20.0),
    stream("buyers", "/register/lists/", "high", 60.0),
    stream("developers", "/register/dossiers/", "normal", 60.0),
    stream("batch", "/register/exports/", "low", 60.0),
    stream("portal", "/archive/", "normal", 20.0),
    Stream { at_most_once: true, ..stream("inspectors", "/archive/signoff/", "critical", 10.0) },
    Stream { scales_with_load: false, ..stream("greedy", "/archive/", "normal", 50.0) },
];

/// Returns the API key of a customer of the demo.
pub(super) fn api_key(customer: &str) -> String {
    format!("demo-key-of-{customer}")
}

/// Record of one request and its result.
#[derive(Debug, Clone)]
pub(super) struct CallRecord {
    pub(super) phase: &'static str,
    pub(super) customer: &'static str,
    pub(super) importance: &'static str,
    pub(super) operation: String,
    pub(super) at_most_once: bool,
    pub(super) sent: Time,
    pub(super) latency: Duration,
    pub(super) result: CallResult,
}

/// Result of a request as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum CallResult {
    /// The complete answer to its own request.
    Complete,
    /// An answer that is incomplete or belongs to another request.
    WrongAnswer,
    /// A refusal, with the values of its outcome and reason headers.
    Refused { outcome: String, reason: String },
    /// The service answered with a status other than 200.
    ServiceFailed,
    /// No connection to the VM could be opened, or it was closed before the request was sent.
    NotConnected,
    /// The connection was closed before the answer was complete, or the answer timed out.
    Aborted,
}

/// Sends requests and records their results.
pub(super) struct Traffic {
    entries: Vec<SocketAddr>,
    caller: Caller,
    clock: Clock,
    rng: SmallRng,
    request_count: u64,
    records: Arc<Mutex<Vec<CallRecord>>>,
    requests: JoinSet<()>,
}

impl Traffic {
    pub(super) fn new(system: &System, seed: u64) -> Self {
        Self {
            entries: system.entries(),
            caller: Caller::new(),
            clock: system.observations.clock,
            rng: SmallRng::seed_from_u64(seed),
            request_count: 0,
            records: Arc::default(),
            requests: JoinSet::new(),
        }
    }

    /// Offers `load` times the base rates for `time`. Requests arrive independently of the results of
    /// earlier ones.
    pub(super) async fn run_phase(&mut self, phase: &'static str, load: f64, time: Duration) {
        let clock = self.clock;
        let start = clock.now();
        let mut next: Vec<(Duration, Stream)> =
            STREAMS.iter().map(|stream| (self.arrival_gap(stream, load), *stream)).collect();
        loop {
            next.sort_by_key(|(at, _)| *at);
            let (at, stream) = next[0];
            if at >= time {
                break;
            }
            clock.sleep_until(start + at).await;
            self.send(phase, stream);
            next[0].0 = at + self.arrival_gap(&stream, load);
        }
        clock.sleep_until(start + time).await;
    }

    /// Waits for the outstanding answers and returns all records.
    pub(super) async fn finish(mut self) -> Vec<CallRecord> {
        while self.requests.join_next().await.is_some() {}
        std::mem::take(&mut *lock(&self.records))
    }

    fn arrival_gap(&mut self, stream: &Stream, load: f64) -> Duration {
        let rate = stream.rate * if stream.scales_with_load { load } else { 1.0 };
        let random: f64 = self.rng.random_range(1e-9..1.0);
        Duration::from_secs_f64(-random.ln() / rate)
    }

    fn send(&mut self, phase: &'static str, stream: Stream) {
        self.request_count += 1;
        let operation = format!("op-{}", self.request_count);
        let Some(&entry) = self.entries.choose(&mut self.rng) else { return };
        let others = self.entries.clone();
        let caller = self.caller.clone();
        let records = Arc::clone(&self.records);
        let clock = self.clock;
        self.requests.spawn(async move {
            let sent = clock.now();
            let mut result = send_request(&caller, entry, &stream, &operation).await;
            // Like real clients, try another VM when this one no longer accepts connections.
            if result == CallResult::NotConnected
                && let Some(other) = others.into_iter().find(|other| *other != entry)
            {
                result = send_request(&caller, other, &stream, &operation).await;
            }
            let record = CallRecord {
                phase,
                customer: stream.customer,
                importance: stream.importance,
                operation,
                at_most_once: stream.at_most_once,
                sent,
                latency: clock.now().since(sent),
                result,
            };
            lock(&records).push(record);
        });
    }
}

async fn send_request(
    caller: &Caller,
    entry: SocketAddr,
    stream: &Stream,
    operation: &str,
) -> CallResult {
    let path = format!("{}{operation}", stream.path);
    let request = match stream.at_most_once {
        true => {
            CallerRequest::post(&path, "lifted".into()).header(message::IDEMPOTENCY_KEY, operation)
        }
        false => CallerRequest::get(&path),
    };
    let request = request.key(&api_key(stream.customer)).header(OPERATION, operation);
    let answer = match tokio::time::timeout(ANSWER_TIMEOUT, caller.send(entry, request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.contains("Connect") || error.contains("canceled") => {
            return CallResult::NotConnected;
        }
        Ok(Err(_)) | Err(_) => return CallResult::Aborted,
    };
    if !answer.reason().is_empty() {
        let (outcome, reason) = (answer.outcome().to_owned(), answer.reason().to_owned());
        return CallResult::Refused { outcome, reason };
    }
    if answer.status != StatusCode::OK {
        return CallResult::ServiceFailed;
    }
    let echo: Option<Echo> = serde_json::from_slice(&answer.body).ok();
    match echo.is_some_and(|echo| echo.path == path && echo.operation == operation) {
        true => CallResult::Complete,
        false => CallResult::WrongAnswer,
    }
}
