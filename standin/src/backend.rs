//! A backend server: slots, service time, calls on, drain, cold start, own shedding and crashes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::announcement::BackendServer;
use gypsumtack::dialect::Dialect;
use gypsumtack::message::{self, Response};
use gypsumtack::server::{self, Bounds};
use gypsumtack::sync::lock;
use gypsumtack::time::{Clock, Time};
use http::{HeaderMap, HeaderName, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::caller::{Caller, CallerRequest};

/// Names one operation, so that runs of it can be counted.
pub const OPERATION: HeaderName = HeaderName::from_static("x-operation");

/// Crashes the backend server that runs the request.
pub const CRASH: HeaderName = HeaderName::from_static("x-crash");

/// How often a backend server announces itself.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(500);

/// How old the numbers of the load endpoint are.
const LOAD_LAG: Duration = Duration::from_secs(5);

/// Requests in flight, as a multiple of the slots, from which it sheds by itself.
const SHED_FACTOR: u32 = 2;

/// What a backend server does.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The service that it runs.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long its own work on a request takes, in milliseconds.
    pub service_ms: u64,
    /// Paths that it calls on to for each request, through its daemon.
    #[serde(default)]
    pub calls: Vec<String>,
    /// How long it is slow after its start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

/// What a backend server has seen, for checks.
#[derive(Debug, Default)]
pub struct Observations {
    /// The one clock of all backend servers that share this.
    pub clock: Clock,
    traces: Mutex<BTreeMap<String, Trace>>,
    /// Requests that began.
    pub started: AtomicU64,
    /// Requests whose caller went away before the end.
    pub cancelled: AtomicU64,
    /// Requests that carried a key.
    pub with_credentials: AtomicU64,
    /// Requests that it shed by itself.
    pub shed: AtomicU64,
    /// Requests that came while it drained, longer than the grace after its announcement.
    pub after_drain: AtomicU64,
}

/// What backend servers did for one operation.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// When an attempt began.
    pub starts: Vec<Time>,
    /// Attempts that came to the end of their service time.
    pub runs: u32,
    /// Calls on that were made for it.
    pub calls: u32,
}

impl Observations {
    /// What was done for one operation.
    pub fn trace(&self, operation: &str) -> Trace {
        lock(&self.traces).get(operation).cloned().unwrap_or_default()
    }

    fn note(&self, operation: &str, change: impl FnOnce(&mut Trace)) {
        if !operation.is_empty() {
            change(lock(&self.traces).entry(operation.to_owned()).or_default());
        }
    }
}

/// A backend server that runs in this process.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    plan: Plan,
    egress: SocketAddr,
    caller: Caller,
    started: Time,
    service_ms: AtomicU64,
    in_flight: AtomicU32,
    drained: Mutex<Option<Time>>,
    load: Mutex<Stale>,
    crash: watch::Sender<bool>,
    seen: Arc<Observations>,
}

/// A load that is reported long after it was read.
#[derive(Debug)]
struct Stale {
    read: Time,
    load: u32,
}

/// The backend server's answer to a request that it ran.
#[derive(Debug, Serialize, Deserialize)]
pub struct Echo {
    /// The service that ran it.
    pub service: String,
    /// The path.
    pub path: String,
    /// The operation that the request named.
    pub operation: String,
    /// The length of the request's body, in bytes.
    pub bytes: usize,
}

impl Backend {
    /// Starts a backend server beside the daemon with these addresses, and announces it.
    ///
    /// # Errors
    ///
    /// Returns an error when no address can be bound.
    pub async fn start(
        plan: Plan,
        egress: SocketAddr,
        operators: SocketAddr,
        seen: Arc<Observations>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let state = Arc::new(State {
            service_ms: AtomicU64::new(plan.service_ms),
            plan,
            egress,
            caller: Caller::new(),
            started: seen.clock.now(),
            in_flight: AtomicU32::new(0),
            drained: Mutex::new(None),
            load: Mutex::new(Stale { read: seen.clock.now(), load: 0 }),
            crash: stop.clone(),
            seen,
        });
        let shared = Arc::clone(&state);
        let handler = move |request| handle(Arc::clone(&shared), request);
        let bounds = Bounds::internal(4_000);
        // A runtime of its own, so that a crash ends everything of it at once, open connections too.
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let listener = {
            let _inside = runtime.enter();
            TcpListener::from_std(listener.into_std()?)?
        };
        runtime.spawn(server::serve(listener, bounds, Dialect::own(), stopped, handler));
        runtime.spawn(announce(Arc::clone(&state), address, operators));
        let mut ended = stop.subscribe();
        // A runtime may not be dropped inside another, so a thread keeps it.
        std::thread::spawn(move || {
            let _ = futures::executor::block_on(ended.wait_for(|stop| *stop));
            runtime.shutdown_background();
        });
        Ok(Self { address, state, stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how long its own work takes.
    pub fn set_service_time(&self, time: Duration) {
        self.state.service_ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Announces that it drains.
    pub fn drain(&self) {
        *lock(&self.state.drained) = Some(self.state.seen.clock.now());
    }

    /// Requests in flight now.
    pub fn in_flight(&self) -> u32 {
        self.state.in_flight.load(Ordering::Relaxed)
    }

    /// Waits until a request has crashed it.
    pub async fn crashed(&self) {
        let _ = self.stop.subscribe().wait_for(|stop| *stop).await;
    }

    /// Ends it.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

/// Announces the backend server again and again, so that a daemon that starts later hears of it.
async fn announce(state: Arc<State>, address: SocketAddr, operators: SocketAddr) {
    loop {
        let announcement = BackendServer {
            id: String::new(),
            started: 0,
            sequence: 0,
            cold_ms: 0,
            service: state.plan.service.clone(),
            address,
            slots: state.plan.slots,
            draining: lock(&state.drained).is_some(),
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let _ = state.caller.post(operators, "/announce", body.into()).await;
        tokio::time::sleep(ANNOUNCE_PERIOD).await;
    }
}

async fn handle(state: Arc<State>, request: http::Request<Incoming>) -> Response {
    match request.uri().path() {
        "/health" => return respond(StatusCode::OK, Bytes::from_static(b"ok")),
        "/load" => return load(&state),
        _ => {}
    }
    let (parts, body) = request.into_parts();
    if parts.headers.contains_key(message::API_KEY) || parts.headers.contains_key("authorization") {
        state.seen.with_credentials.fetch_add(1, Ordering::Relaxed);
    }
    state.note_late();
    if state.in_flight.load(Ordering::Relaxed) >= state.plan.slots * SHED_FACTOR {
        state.seen.shed.fetch_add(1, Ordering::Relaxed);
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let mut run = Run::begin(&state);
    let operation = text_of(&parts.headers, &OPERATION);
    let begun = state.seen.clock.now();
    state.seen.note(&operation, |trace| trace.starts.push(begun));
    let Ok(body) = message::collect_body(body, u64::MAX >> 1).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if parts.headers.contains_key(&CRASH) {
        let _ = state.crash.send(true);
        std::future::pending::<()>().await;
    }
    let time = state.service_time();
    // Even a sleep of nothing lasts until the next tick of the timer.
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    let failed = call_on(&state, &parts.headers, &operation).await;
    run.done = true;
    state.seen.note(&operation, |trace| trace.runs += 1);
    if failed {
        return respond(StatusCode::BAD_GATEWAY, Bytes::new());
    }
    let echo = Echo {
        service: state.plan.service.clone(),
        path: parts.uri.path().to_owned(),
        operation,
        bytes: body.len(),
    };
    respond(StatusCode::OK, serde_json::to_vec(&echo).unwrap_or_default().into())
}

/// Calls on through the daemon, one path after the other. Returns whether any of them failed.
async fn call_on(state: &State, headers: &HeaderMap, operation: &str) -> bool {
    let token = text_of(headers, &message::REQUEST_TOKEN);
    for path in &state.plan.calls {
        let question = CallerRequest::get(path)
            .header(message::REQUEST_TOKEN, &token)
            .header(OPERATION, operation);
        state.seen.note(operation, |trace| trace.calls += 1);
        let answer = state.caller.send(state.egress, question).await;
        if !answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return true;
        }
    }
    false
}

/// The load of a while ago, as such endpoints tell it.
fn load(state: &State) -> Response {
    let mut stale = lock(&state.load);
    let now = state.seen.clock.now();
    if now.since(stale.read) > LOAD_LAG {
        *stale = Stale { read: now, load: state.in_flight.load(Ordering::Relaxed) };
    }
    respond(StatusCode::OK, stale.load.to_string().into())
}

impl State {
    fn service_time(&self) -> Duration {
        let time = Duration::from_millis(self.service_ms.load(Ordering::Relaxed));
        let age = self.seen.clock.now().since(self.started);
        let cold = age < Duration::from_millis(self.plan.cold_ms);
        if cold { time * 3 } else { time }
    }

    /// Counts work that comes longer than the allowed few seconds after it began to drain.
    fn note_late(&self) {
        const GRACE: Duration = Duration::from_secs(4);
        if lock(&self.drained).is_some_and(|since| self.seen.clock.now().since(since) > GRACE) {
            self.seen.after_drain.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// One request, counted until it ends or its caller goes away.
struct Run<'a> {
    state: &'a State,
    done: bool,
}

impl<'a> Run<'a> {
    fn begin(state: &'a State) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        state.seen.started.fetch_add(1, Ordering::Relaxed);
        Self { state, done: false }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.done {
            self.state.seen.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn text_of(headers: &HeaderMap, name: &HeaderName) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn respond(status: StatusCode, body: Bytes) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    response
}
