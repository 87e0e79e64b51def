//! Stand-in for a backend server, with slots, service time, downstream calls, draining, a cold start,
//! load shedding of its own and crashes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::announcement::BackendServer;
use gypsumtack::dialect::Dialect;
use gypsumtack::envelope::Token;
use gypsumtack::message::{self, Response};
use gypsumtack::server::{self, Bounds};
use gypsumtack::sync::lock;
use gypsumtack::time::{Clock, Time};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::caller::{Caller, CallerRequest};

/// Header with the id of the operation that a request belongs to. Runs are counted per operation.
pub const OPERATION: HeaderName = HeaderName::from_static("x-operation");

/// Header that makes the backend server that runs the request crash.
pub const CRASH: HeaderName = HeaderName::from_static("x-crash");

/// Interval between announcements to the local daemon.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// How long the load endpoint keeps answering with the same value before it reads the load again.
const LOAD_CACHE_TIME: Duration = Duration::from_secs(5);

/// Number of requests in flight, as a multiple of the slots, at which the backend server sheds new
/// requests itself.
const SHED_FACTOR: u32 = 2;

/// Configuration of a stand-in backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the service.
    pub service: String,
    /// Number of requests that the backend server can run concurrently.
    pub slots: u32,
    /// Service time of a request without its downstream calls, in milliseconds.
    pub service_ms: u64,
    /// Paths of the downstream calls made for each request, through the local daemon.
    #[serde(default)]
    pub calls: Vec<String>,
    /// How long the service time stays tripled after the start, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

/// Counters and traces of one or more backend servers, which tests and the demo check.
#[derive(Debug, Default)]
pub struct Observations {
    /// Clock shared by all backend servers that record here.
    pub clock: Clock,
    traces: Mutex<BTreeMap<String, Trace>>,
    /// Number of requests that started to run.
    pub started: AtomicU64,
    /// Number of requests that were dropped before they completed, such as when the caller disconnected.
    pub cancelled: AtomicU64,
    /// Number of requests that carried an API key or an `authorization` header.
    pub with_credentials: AtomicU64,
    /// Number of requests that the backend servers shed themselves.
    pub shed: AtomicU64,
    /// Number of requests received later than the grace period after the backend server began to drain.
    pub after_drain: AtomicU64,
}

/// What the backend servers did for one operation.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Start time of each attempt.
    pub starts: Vec<Time>,
    /// Number of attempts that completed, their downstream calls included.
    pub runs: u32,
    /// Number of downstream calls made for the operation.
    pub calls: u32,
}

impl Observations {
    /// Returns the trace of `operation`, which is empty for an unknown operation.
    pub fn trace(&self, operation: &str) -> Trace {
        lock(&self.traces).get(operation).cloned().unwrap_or_default()
    }

    fn update_trace(&self, operation: &str, change: impl FnOnce(&mut Trace)) {
        if !operation.is_empty() {
            change(lock(&self.traces).entry(operation.to_owned()).or_default());
        }
    }
}

/// Handle to a backend server that runs in this process.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    id: String,
    plan: Plan,
    egress: SocketAddr,
    caller: Caller,
    started: Time,
    service_ms: AtomicU64,
    in_flight: AtomicU32,
    draining_since: Mutex<Option<Time>>,
    load: Mutex<CachedLoad>,
    notices: Mutex<Notices>,
    arrivals: Mutex<Vec<Time>>,
    crash: watch::Sender<bool>,
    observations: Arc<Observations>,
}

/// What the answers tell about the backend server.
#[derive(Debug, Default, Clone)]
struct Notices {
    limit: Option<String>,
    leaving: bool,
}

/// The value that the load endpoint reports, and when it was read.
#[derive(Debug)]
struct CachedLoad {
    read_at: Time,
    load: u32,
}

/// Body of the answer to a request that ran.
#[derive(Debug, Serialize, Deserialize)]
pub struct Echo {
    /// Service that ran the request.
    pub service: String,
    /// Path of the request.
    pub path: String,
    /// Operation id from the request; empty when it had none.
    pub operation: String,
    /// Length of the request body, in bytes.
    pub bytes: usize,
}

impl Backend {
    /// Starts a backend server and announces it to the daemon at `operators`. Its downstream calls go
    /// through the same daemon, at `egress`.
    ///
    /// # Errors
    ///
    /// Returns an error when no loopback address can be bound or the runtime cannot be created.
    pub async fn start(
        plan: Plan,
        egress: SocketAddr,
        operators: SocketAddr,
        observations: Arc<Observations>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let state = Arc::new(State {
            service_ms: AtomicU64::new(plan.service_ms),
            id: Token::random(&mut rand::rng()).to_string(),
            plan,
            egress,
            caller: Caller::new(),
            started: observations.clock.now(),
            in_flight: AtomicU32::new(0),
            draining_since: Mutex::new(None),
            load: Mutex::new(CachedLoad { read_at: observations.clock.now(), load: 0 }),
            notices: Mutex::default(),
            arrivals: Mutex::default(),
            crash: stop.clone(),
            observations,
        });
        let shared = Arc::clone(&state);
        let handler = move |request| handle(Arc::clone(&shared), request);
        let bounds = Bounds::internal(4_000);
        // The backend server gets a runtime of its own, so that a crash ends all its tasks and open
        // connections at once.
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let listener = {
            let _context = runtime.enter();
            TcpListener::from_std(listener.into_std()?)?
        };
        runtime.spawn(server::serve(listener, bounds, Dialect::own(), stopped, handler));
        runtime.spawn(announce(Arc::clone(&state), address, operators));
        let mut stop_requested = stop.subscribe();
        // A runtime must not be dropped inside another one, so a separate thread owns it.
        std::thread::spawn(move || {
            let _ = futures::executor::block_on(stop_requested.wait_for(|stop| *stop));
            runtime.shutdown_background();
        });
        Ok(Self { address, state, stop })
    }

    /// Returns the address that the backend server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the service time of a request without its downstream calls.
    pub fn set_service_time(&self, time: Duration) {
        self.state.service_ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Starts draining: the announcements that follow say so.
    pub fn drain(&self) {
        *lock(&self.state.draining_since) = Some(self.state.observations.clock.now());
    }

    /// Names a limit in all answers from now on, or none. It is not enforced here.
    pub fn name_limit(&self, limit: Option<&str>) {
        lock(&self.state.notices).limit = limit.map(str::to_owned);
    }

    /// Says in all answers from now on that the backend server is leaving. Announcements do not say so.
    pub fn say_leaving(&self) {
        lock(&self.state.notices).leaving = true;
    }

    /// Returns when each request arrived.
    pub fn arrivals(&self) -> Vec<Time> {
        lock(&self.state.arrivals).clone()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.state.in_flight.load(Ordering::Relaxed)
    }

    /// Waits until a request has crashed the backend server or [`Backend::stop`] was called.
    pub async fn crashed(&self) {
        let _ = self.stop.subscribe().wait_for(|stop| *stop).await;
    }

    /// Stops the backend server at once, without draining.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }
}

/// Announces the backend server periodically, so that a daemon that starts later is informed too.
async fn announce(state: Arc<State>, address: SocketAddr, operators: SocketAddr) {
    loop {
        let announcement = BackendServer {
            id: state.id.clone(),
            started: 0,
            sequence: 0,
            cold_ms: 0,
            service: state.plan.service.clone(),
            address,
            slots: state.plan.slots,
            draining: lock(&state.draining_since).is_some(),
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        let _ = state.caller.post(operators, "/announce", body.into()).await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn handle(state: Arc<State>, request: http::Request<Incoming>) -> Response {
    let mut response = run(&state, request).await;
    let notices = lock(&state.notices).clone();
    let headers = response.headers_mut();
    if let Some(limit) = notices.limit.and_then(|limit| HeaderValue::try_from(limit).ok()) {
        headers.insert(message::BACKEND_LIMIT, limit);
    }
    if notices.leaving {
        headers.insert(message::BACKEND_LEAVING, HeaderValue::from_static("1"));
    }
    response
}

async fn run(state: &Arc<State>, request: http::Request<Incoming>) -> Response {
    match request.uri().path() {
        "/health" => return respond(StatusCode::OK, Bytes::from_static(b"ok")),
        "/load" => return load(state),
        _ => {}
    }
    let (parts, body) = request.into_parts();
    if parts.headers.contains_key(message::API_KEY) || parts.headers.contains_key("authorization") {
        state.observations.with_credentials.fetch_add(1, Ordering::Relaxed);
    }
    state.count_after_drain();
    lock(&state.arrivals).push(state.observations.clock.now());
    if state.in_flight.load(Ordering::Relaxed) >= state.plan.slots * SHED_FACTOR {
        state.observations.shed.fetch_add(1, Ordering::Relaxed);
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let mut run = Run::start(state);
    let operation = header_text(&parts.headers, &OPERATION);
    let start = state.observations.clock.now();
    state.observations.update_trace(&operation, |trace| trace.starts.push(start));
    let Ok(body) = message::collect_body(body, u64::MAX >> 1).await else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    if parts.headers.contains_key(&CRASH) {
        let _ = state.crash.send(true);
        std::future::pending::<()>().await;
    }
    let time = state.service_time();
    // Even a zero-length sleep lasts until the next timer tick.
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    let failed = call_downstream(state, &parts.headers, &operation).await;
    run.completed = true;
    state.observations.update_trace(&operation, |trace| trace.runs += 1);
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

/// Makes the downstream calls through the local daemon, one after the other, up to the first that
/// fails. Returns whether one failed.
async fn call_downstream(state: &State, headers: &HeaderMap, operation: &str) -> bool {
    let token = header_text(headers, &message::REQUEST_TOKEN);
    for path in &state.plan.calls {
        let request = CallerRequest::get(path)
            .header(message::REQUEST_TOKEN, &token)
            .header(OPERATION, operation);
        state.observations.update_trace(operation, |trace| trace.calls += 1);
        let answer = state.caller.send(state.egress, request).await;
        if !answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
            return true;
        }
    }
    false
}

/// Answers with an outdated load, as load endpoints of real servers do.
fn load(state: &State) -> Response {
    let mut cached = lock(&state.load);
    let now = state.observations.clock.now();
    if now.since(cached.read_at) > LOAD_CACHE_TIME {
        *cached = CachedLoad { read_at: now, load: state.in_flight.load(Ordering::Relaxed) };
    }
    respond(StatusCode::OK, cached.load.to_string().into())
}

impl State {
    fn service_time(&self) -> Duration {
        let time = Duration::from_millis(self.service_ms.load(Ordering::Relaxed));
        let uptime = self.observations.clock.now().since(self.started);
        let cold = uptime < Duration::from_millis(self.plan.cold_ms);
        if cold { time * 3 } else { time }
    }

    /// Counts the request if it was received later than the grace period after the drain began.
    fn count_after_drain(&self) {
        const DRAIN_GRACE: Duration = Duration::from_secs(4);
        if lock(&self.draining_since)
            .is_some_and(|since| self.observations.clock.now().since(since) > DRAIN_GRACE)
        {
            self.observations.after_drain.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A request in flight. Dropping it before it completed counts it as cancelled.
struct Run<'a> {
    state: &'a State,
    completed: bool,
}

impl<'a> Run<'a> {
    fn start(state: &'a State) -> Self {
        state.in_flight.fetch_add(1, Ordering::Relaxed);
        state.observations.started.fetch_add(1, Ordering::Relaxed);
        Self { state, completed: false }
    }
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.completed {
            self.state.observations.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn respond(status: StatusCode, body: Bytes) -> Response {
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    response
}
