//! Runs a request on the local backend server: admission to a slot, the HTTP exchange, and the report.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue};

use crate::announcement::BackendServer;
use crate::answer_kind::AnswerKind;
use crate::board::Board;
use crate::body::{Reservation, UNRESERVED_BYTES};
use crate::connection::{AnswerHead, BodyUse, RequestError, WholeAnswer};
use crate::document::{CustomerId, Policy};
use crate::echo::Echo;
use crate::envelope::{Envelope, Load, ReachedService, Report, RequestTiming};
use crate::gate::Permit;
use crate::guard::SlotRequest;
use crate::intake::RouteLoad;
use crate::journal;
use crate::live::{Downstream, LiveEntry, LiveRequest};
use crate::local_backend::SuspectPermit;
use crate::message::{self, Answer, Message};
use crate::metrics::GuardLabels;
use crate::notices::Notices;
use crate::reason::{Outcome, Reason};
use crate::shared::Shared;
use crate::sync::lock;
use crate::time::Time;

/// Time that a hop reserves of the deadline, so that its refusal still reaches the caller in time.
const HOP_RESERVE: Duration = Duration::from_millis(2);

/// Timeout for a connection attempt that checks, after a broken connection, whether the backend server
/// is still running.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Represents all callers without a customer in the fair sharing of a queue between customers.
const OPEN_CUSTOMER: CustomerId = CustomerId::new(u32::MAX);

/// A slot of the local backend server for one request.
#[derive(Debug)]
pub struct Admission {
    permit: Permit,
    /// Keeps other suspected requests from running, if the request is suspected.
    _suspect_permit: Option<SuspectPermit>,
    queue_wait: Duration,
    deadline: Time,
    /// Memory for the body, if it is long and comes from another daemon.
    memory: Reservation,
    /// Length of the body, as its sender announced it, and what has arrived of it.
    body_bytes: usize,
    body: BytesMut,
}

impl Admission {
    /// Gives the slot back unused.
    pub fn cancel(mut self) {
        self.permit.restart();
    }

    /// Appends a part of the body. Returns `false` if it is longer than its sender announced.
    pub fn append(&mut self, part: &[u8]) -> bool {
        let fits = self.body.len() + part.len() <= self.body_bytes;
        if fits {
            self.body.reserve(self.body_bytes - self.body.len());
            self.body.extend_from_slice(part);
        }
        fits
    }

    /// Whether a body arrives in parts, and some are missing.
    pub fn lacks_parts(&self) -> bool {
        self.body.len() < self.body_bytes
    }

    /// Takes the body that has arrived in parts.
    pub fn take_body(&mut self) -> Bytes {
        std::mem::take(&mut self.body).freeze()
    }

    /// Takes the memory for the body, which belongs to the body once that has arrived.
    pub fn take_memory(&mut self) -> Reservation {
        self.memory.take()
    }
}

/// Runs a request on the local backend server. Makes a single attempt.
pub async fn run(shared: &Arc<Shared>, envelope: Envelope, message: Message) -> Answer {
    let deadline = deadline_of(&shared.board, &envelope);
    match admit(shared, &envelope, deadline).await {
        Ok(admission) => run_admitted(shared, envelope, message, admission).await,
        Err(refusal) => *refusal,
    }
}

/// Waits for a slot for a request.
///
/// # Errors
///
/// Returns the refusal; no byte of the request has reached the backend server.
async fn admit(
    shared: &Shared,
    envelope: &Envelope,
    deadline: Time,
) -> Result<Admission, Box<Answer>> {
    let board = &shared.board;
    let refuse = |reason| Box::new(refuse(shared, envelope, reason));
    usable_backend(shared, envelope).ok_or_else(|| refuse(Reason::NotReady))?;
    if !board.may_send_to_backend() {
        return Err(refuse(Reason::Shedding));
    }
    board.check_waiting_share(&envelope.route).map_err(refuse)?;
    let suspect_permit = match envelope.suspect {
        true => Some(board.acquire_suspect_permit().ok_or_else(|| refuse(Reason::SuspectRuns))?),
        false => None,
    };
    let queued = board.clock.now();
    let slot_request = slot_request(shared, envelope, deadline);
    let permit = board.gate.acquire(slot_request, &envelope.route).await.map_err(refuse)?;
    let queue_wait = board.clock.now().since(queued);
    board.record_queue_wait(envelope.importance, queue_wait);
    Ok(Admission {
        permit,
        _suspect_permit: suspect_permit,
        queue_wait,
        deadline,
        memory: None,
        body_bytes: 0,
        body: BytesMut::new(),
    })
}

/// Waits for memory for a body of `body_bytes` that another daemon is about to send, and for a slot.
///
/// # Errors
///
/// Returns the refusal; no byte of the request has reached the backend server.
pub async fn admit_with_body(
    shared: &Shared,
    envelope: &Envelope,
    body_bytes: usize,
) -> Result<Admission, Box<Answer>> {
    // The envelope tells the time left when it arrived, so each wait counts against it.
    let deadline = deadline_of(&shared.board, envelope);
    if body_bytes <= UNRESERVED_BYTES {
        return admit(shared, envelope, deadline).await;
    }
    let longest_wait = Duration::from_millis(shared.board.policy.load().limits.queue_ms);
    let left = deadline.since(shared.board.clock.now());
    let wait = left.min(longest_wait);
    let Ok(memory) = tokio::time::timeout(wait, shared.bodies.reserve(body_bytes)).await else {
        let (wait_ms, time_left_ms) = (wait.as_millis() as u64, left.as_millis() as u64);
        let reason = Reason::QueueDelay { wait_ms, time_left_ms };
        return Err(Box::new(refuse(shared, envelope, reason)));
    };
    Ok(Admission { memory, body_bytes, ..admit(shared, envelope, deadline).await? })
}

/// Runs a request that holds a slot.
pub async fn run_admitted(
    shared: &Arc<Shared>,
    envelope: Envelope,
    message: Message,
    admission: Admission,
) -> Answer {
    let board = &shared.board;
    let request = envelope.request.clone();
    // The backend server that was there at the admission may have left or crashed during the wait.
    let Some(backend) = usable_backend(shared, &envelope) else {
        admission.cancel();
        return refuse(shared, &envelope, Reason::NotReady);
    };
    let Admission { mut permit, _suspect_permit, queue_wait, deadline, .. } = admission;
    // The envelope of a reserved request is newer than its admission.
    let deadline = deadline.min(deadline_of(board, &envelope));
    let started = permit.restart();
    let entry = board.live.insert(LiveRequest::new(envelope.clone(), deadline));
    let running = RunningCount::begin(shared, &envelope.route);
    let answer = send_to_backend(shared, &backend, &entry, message).await;
    drop(running);
    match (&answer.report.reason, answer.report.outcome) {
        (Some(Reason::Shed { .. }), _) => board.record_backend_response(true),
        (_, Outcome::Ran) => board.record_backend_response(false),
        _ => {}
    }
    let service_time = board.clock.now().since(started);
    if answer.report.outcome == Outcome::Ran {
        permit.complete();
        board.timings.record_service_time(service_time);
    }
    drop(permit);
    board.record_served(&envelope.route);
    let live = entry.live();
    let retries_used = envelope.retry_budget.saturating_sub(live.retry_budget.remaining());
    let observed = Observed::of(shared, &envelope, live.downstream());
    let timing = RequestTiming::new(queue_wait, service_time);
    Answer {
        report: Report { request, retries_used, timing, ..observed.into_report(answer.report) },
        ..answer
    }
}

/// Refuses a request that arrived too late: after its reserved slot has expired, or after its sender has
/// sent it again.
pub fn refuse_expired(shared: &Shared, envelope: &Envelope) -> Answer {
    refuse(shared, envelope, Reason::SlotExpired)
}

/// When the caller stops waiting, or this daemon when it shuts down, less the time that this hop reserves.
fn deadline_of(board: &Board, envelope: &Envelope) -> Time {
    let deadline = board.clock.now() + Duration::from_micros(envelope.time_left_us);
    deadline.min(board.stop_deadline()) - HOP_RESERVE
}

/// Counts a request as running on the backend server until it is dropped, so that downstream calls can
/// be attributed to the routes of the running requests.
struct RunningCount<'a> {
    shared: &'a Shared,
    route: &'a str,
}

impl<'a> RunningCount<'a> {
    fn begin(shared: &'a Shared, route: &'a str) -> Self {
        lock(&shared.board.feedback.fanout).record_start(route, shared.board.clock.now());
        Self { shared, route }
    }
}

impl Drop for RunningCount<'_> {
    fn drop(&mut self) {
        let board = &self.shared.board;
        lock(&board.feedback.fanout).record_end(self.route, board.clock.now());
    }
}

/// What is known here of the load and of the calls that requests such as the answered one make.
struct Observed {
    load: Load,
    reached: Vec<ReachedService>,
    levels: Option<u8>,
}

impl Observed {
    /// Returns the load, and, if the envelope asks for them, the services that such requests reach: this
    /// one, and those below it. In a dialect with tokens, the latter are the ones that the request's own
    /// downstream calls reached (`called`); otherwise, the ones that requests of the route usually reach.
    fn of(shared: &Shared, envelope: &Envelope, called: Downstream) -> Self {
        let board = &shared.board;
        let RouteLoad { load, service_time } = board.gate.observe(&envelope.route);
        let by_token = shared.dialect.token.is_some();
        if !envelope.wants_reached {
            return Self { load, reached: Vec::new(), levels: by_token.then_some(called.levels) };
        }
        let (mut reached, levels) = if by_token {
            (called.reached, Some(called.levels))
        } else {
            let tables = board.tables.load();
            let feedback = &board.feedback;
            (
                feedback.downstream_services(&tables, &envelope.route),
                feedback.call_levels(&tables, &envelope.route),
            )
        };
        let work_ms = service_time.as_secs_f32() * 1_000.0;
        reached.push(ReachedService { service: envelope.service.clone(), work_ms });
        Self { load, reached, levels }
    }

    fn into_report(self, report: Report) -> Report {
        Report { load: self.load, reached: self.reached, levels: self.levels, ..report }
    }
}

/// Returns the announced backend server, if it runs the requested service and accepts new work.
fn usable_backend(shared: &Shared, envelope: &Envelope) -> Option<Arc<BackendServer>> {
    let backend = shared.board.backend.load_full()?;
    (shared.board.is_ready() && backend.service == envelope.service).then_some(backend)
}

fn customer_of(policy: &Policy, envelope: &Envelope) -> Option<CustomerId> {
    policy.customer_id(envelope.customer.as_deref()?)
}

fn slot_request(shared: &Shared, envelope: &Envelope, deadline: Time) -> SlotRequest {
    let policy = shared.board.policy.load();
    let id = customer_of(&policy, envelope);
    SlotRequest {
        customer: id.unwrap_or(OPEN_CUSTOMER),
        weight: id.map_or(1, |id| policy.customer(id).weight),
        importance: envelope.importance,
        objective: Duration::from_millis(u64::from(envelope.objective_ms)),
        downstream: envelope.hops > 0,
        deadline,
    }
}

/// Refuses a request before any byte of it has reached the backend server.
fn refuse(shared: &Shared, envelope: &Envelope, reason: Reason) -> Answer {
    let board = &shared.board;
    let labels = GuardLabels { importance: envelope.importance.as_str(), reason: reason.code() };
    board.metrics.refusals.get_or_create(&labels).inc();
    board.journal.record(
        journal::Entry::new(&envelope.request, &board.settings.vm, "guard", Outcome::NotRun)
            .customer(envelope.customer.as_deref()),
        &reason,
    );
    let mut answer = Answer::not_run(envelope.request.clone(), reason);
    let Observed { load, reached, .. } = Observed::of(shared, envelope, Downstream::default());
    (answer.report.load, answer.report.reached) = (load, reached);
    answer
}

/// Sends the request to the backend server and reads its whole answer before the deadline.
async fn send_to_backend(
    shared: &Shared,
    backend: &BackendServer,
    entry: &LiveEntry<'_>,
    message: Message,
) -> Answer {
    let live = entry.live();
    let request = live.envelope.request.clone();
    let time_left = live.deadline.since(shared.board.clock.now());
    if time_left.is_zero() {
        let reason = Reason::DeadlinePassed { deadline_ms: live.envelope.deadline_ms };
        return Answer::not_run(request, reason);
    }
    let headers = daemon_headers(shared, backend, entry, time_left);
    let limit = shared.board.policy.load().limits.answer_bytes;
    let is_idempotent = !live.envelope.claimed;
    // Decided before anything is taken from the answer, and before its connection is used again.
    let judge = |head: &AnswerHead<'_>| {
        let echo = Echo::of(&shared.dialect, &request, head);
        if echo != Echo::Own {
            shared.board.record_unmatched(&shared.dialect, &request, echo, head);
        }
        match AnswerKind::of(&shared.dialect, head.status, head.headers, &live.envelope) {
            _ if !echo.is_own() => BodyUse::Unmatched,
            AnswerKind::Final => BodyUse::Delivered,
            _ => BodyUse::Ignored,
        }
    };
    let response = shared.server.send_request(
        backend.address,
        message.into_request(headers),
        is_idempotent,
        limit,
        judge,
    );
    match tokio::time::timeout(time_left, response).await {
        Ok(Ok(answer)) => classify_response(shared, backend, live, answer),
        Ok(Err(RequestError::Broken(_) | RequestError::Disconnected(_)))
            if has_crashed(shared, backend).await =>
        {
            Answer::refusal(request, Outcome::Unknown, Reason::Crashed)
        }
        Ok(Err(lost)) => lost_answer(lost, live),
        Err(_) => {
            let reason = Reason::DeadlinePassed { deadline_ms: live.envelope.deadline_ms };
            Answer::refusal(request, Outcome::Unknown, reason)
        }
    }
}

/// Returns the headers for the backend server that only daemons set.
fn daemon_headers(
    shared: &Shared,
    backend: &BackendServer,
    entry: &LiveEntry<'_>,
    time_left: Duration,
) -> Vec<(HeaderName, HeaderValue)> {
    let dialect = &shared.dialect;
    let envelope = &entry.live().envelope;
    let mut headers = vec![
        (dialect.request_id.clone(), envelope.request.to_header()),
        (dialect.deadline.clone(), HeaderValue::from(time_left.as_millis() as u64)),
    ];
    let token = entry.token().to_string();
    let optional = [
        (&dialect.token, Some(token.as_str())),
        (&dialect.customer, envelope.customer.as_deref()),
        (&dialect.caller_service, Some(envelope.caller.as_str())),
        (&dialect.instance, Some(backend.id.as_str())),
    ];
    for (name, value) in optional {
        if let (Some(name), Some(value)) = (name, value.filter(|value| !value.is_empty())) {
            headers.push((name.clone(), message::header_value(value)));
        }
    }
    headers
}

/// Converts what the backend server sent to the answer to the request.
fn classify_response(
    shared: &Shared,
    backend: &BackendServer,
    live: &LiveRequest,
    (status, mut headers, body): WholeAnswer,
) -> Answer {
    let dialect = &shared.dialect;
    let request = live.envelope.request.clone();
    let kind = AnswerKind::of(dialect, status, &headers, &live.envelope);
    let is_own = !matches!(kind, AnswerKind::Misdirected | AnswerKind::Unsealed);
    let notices = is_own.then(|| Notices::read(dialect, &headers));
    if let Some(notices) = notices {
        shared.board.record_notices(backend, notices);
    }
    let leaving = notices.is_some_and(|notices| notices.leaving);
    let failure = |outcome, problem| {
        let reason = Reason::BadAnswer { problem };
        Answer::refusal(request.clone(), outcome, reason)
    };
    let mut answer = match kind {
        AnswerKind::Refusal | AnswerKind::Misdirected => {
            Answer::not_run(request, Reason::Shed { status: status.as_u16() })
        }
        AnswerKind::Unsealed => {
            let problem = format!("the backend server's answer has no seal ({status})");
            failure(Outcome::Unknown, problem)
        }
        AnswerKind::FalsePromise => failure(
            Outcome::Ran,
            format!("the backend server answered {status} and does not say that it ran nothing"),
        ),
        AnswerKind::Final => {
            message::strip_headers(&mut headers, &shared.private);
            let report = Report::new(request, Outcome::Ran, None);
            Answer { status, headers, body, report }
        }
    };
    answer.report.leaving = leaving;
    answer
}

/// Whether the backend server no longer accepts connections, after one of its connections broke. If so,
/// it gets no requests until it announces itself again.
async fn has_crashed(shared: &Shared, backend: &BackendServer) -> bool {
    let connect = tokio::net::TcpStream::connect(backend.address);
    let alive = matches!(tokio::time::timeout(PROBE_TIMEOUT, connect).await, Ok(Ok(_)));
    if !alive && shared.board.backend.load().as_deref() == Some(backend) {
        shared.board.clear_backend();
    }
    !alive
}

fn lost_answer(lost: RequestError, live: &LiveRequest) -> Answer {
    let request = live.envelope.request.clone();
    let (outcome, problem) = match lost {
        RequestError::Disconnected(error) => {
            tracing::debug!(event = "backend-disconnected", %request, error);
            return Answer::refusal(request, Outcome::Unknown, Reason::Disconnected);
        }
        RequestError::Unsent(error) => {
            (Outcome::NotRun, format!("the backend server cannot be reached ({error})"))
        }
        RequestError::Broken(error) => {
            (Outcome::Unknown, format!("the backend server broke off ({error})"))
        }
        RequestError::Unmatched(status) => {
            let problem = format!("the backend server's answer belongs to no request ({status})");
            (Outcome::Unknown, problem)
        }
        RequestError::Incomplete(error) => {
            (Outcome::Unknown, format!("the backend server's answer is bad: {error}"))
        }
    };
    Answer::refusal(request, outcome, Reason::BadAnswer { problem })
}
