//! One request on the local backend server: admission, the exchange, and the report about it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::announcement::BackendServer;
use crate::connection::Lost;
use crate::document::{CustomerId, Policy};
use crate::envelope::{Envelope, Load, ReachedService, Report, Stay};
use crate::guard::SlotRequest;
use crate::intake::Observed;
use crate::journal;
use crate::live::{Live, LiveEntry};
use crate::message::{self, Answer, Message};
use crate::metrics::GuardLabels;
use crate::reason::{Outcome, Reason};
use crate::shared::Shared;
use crate::sync::lock;
use crate::time::Time;

/// What a hop keeps of the deadline, so that its refusal still reaches the caller in time.
const HOP_RESERVE: Duration = Duration::from_millis(2);

/// The longest that a backend server may take to accept a connection after it broke one.
const PROBE_TIME: Duration = Duration::from_millis(200);

/// Stands for all callers of routes that are open to all, between customers in a queue.
const OPEN_CUSTOMER: CustomerId = CustomerId::new(u32::MAX);

/// Runs a request on the local backend server, once.
pub async fn run(shared: &Arc<Shared>, envelope: Envelope, message: Message) -> Answer {
    let board = &shared.board;
    let request = envelope.request.clone();
    let deadline = board.clock.now() + Duration::from_micros(envelope.time_left_us);
    let deadline = deadline - HOP_RESERVE;
    let Some(backend) = usable_backend(shared, &envelope) else {
        return refuse(shared, &envelope, Reason::NotReady);
    };
    if !board.may_send_to_backend() {
        return refuse(shared, &envelope, Reason::Shedding);
    }
    if let Err(reason) = board.check_waiting_share(&envelope.route) {
        return refuse(shared, &envelope, reason);
    }
    let place = envelope.suspect.then(|| board.acquire_suspect_permit());
    if matches!(place, Some(None)) {
        return refuse(shared, &envelope, Reason::SuspectRuns);
    }
    let work = work_of(shared, &envelope, deadline);
    let offered = board.clock.now();
    let mut permit = match board.gate.acquire(work, &envelope.route).await {
        Ok(permit) => permit,
        Err(reason) => return refuse(shared, &envelope, reason),
    };
    let started = board.clock.now();
    let waited = started.since(offered);
    board.record_queue_wait(envelope.importance, waited);
    let entry = board.live.enter(Live::new(envelope.clone(), deadline));
    let running = Running::begin(shared, &envelope.route);
    let answer = exchange(shared, &backend, &entry, message).await;
    drop(running);
    match (&answer.report.reason, answer.report.outcome) {
        (Some(Reason::Shed { .. }), _) => board.record_backend_response(true),
        (_, Outcome::Ran) => board.record_backend_response(false),
        _ => {}
    }
    let held = board.clock.now().since(started);
    if answer.report.outcome == Outcome::Ran {
        permit.complete();
        board.pulse.record_service_time(held);
    }
    drop(permit);
    board.record_served(&envelope.route);
    let live = entry.live();
    let spent = envelope.retry_budget.saturating_sub(live.retry_budget.remaining());
    let (load, reach) = observe(shared, &envelope, live.reach());
    let stay = Stay::new(waited, held);
    Answer { report: Report { request, spent, load, reach, stay, ..answer.report }, ..answer }
}

/// Counts a request while the backend server runs it, so that its calls can be told from others'.
struct Running<'a> {
    shared: &'a Shared,
    route: &'a str,
}

impl<'a> Running<'a> {
    fn begin(shared: &'a Shared, route: &'a str) -> Self {
        lock(&shared.board.feedback.fanout).record_start(route, shared.board.clock.now());
        Self { shared, route }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let board = &self.shared.board;
        lock(&board.feedback.fanout).record_end(self.route, board.clock.now());
    }
}

/// The load, and where such requests lead: to this service, and to those below it that the request's own
/// calls have named, or that calls of such requests usually reach.
fn observe(
    shared: &Shared,
    envelope: &Envelope,
    named: Vec<ReachedService>,
) -> (Load, Vec<ReachedService>) {
    let board = &shared.board;
    let Observed { load, hold } = board.gate.observe(&envelope.route);
    if !envelope.wants_reached {
        return (load, Vec::new());
    }
    let mut reach = match shared.dialect.token {
        Some(_) => named,
        None => board.feedback.downstream_services(&board.tables.load(), &envelope.route),
    };
    let work_ms = hold.as_secs_f32() * 1_000.0;
    reach.push(ReachedService { service: envelope.service.clone(), work_ms });
    (load, reach)
}

/// The announced backend server, if it runs the service that is asked for and takes new work.
fn usable_backend(shared: &Shared, envelope: &Envelope) -> Option<Arc<BackendServer>> {
    let backend = shared.board.backend.load_full()?;
    (shared.board.is_ready() && backend.service == envelope.service).then_some(backend)
}

fn customer_of(policy: &Policy, envelope: &Envelope) -> Option<CustomerId> {
    policy.customer_id(envelope.customer.as_deref()?)
}

fn work_of(shared: &Shared, envelope: &Envelope, deadline: Time) -> SlotRequest {
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

/// Refuses a request of which no byte has reached the backend server.
fn refuse(shared: &Shared, envelope: &Envelope, reason: Reason) -> Answer {
    let board = &shared.board;
    let labels = GuardLabels { importance: envelope.importance.as_str(), reason: reason.code() };
    board.metrics.refusals.get_or_create(&labels).inc();
    board.journal.note(
        journal::Entry::new(&envelope.request, &board.settings.vm, "guard", Outcome::NotRun)
            .customer(envelope.customer.as_deref()),
        &reason,
    );
    let (load, reach) = observe(shared, envelope, Vec::new());
    let mut answer = Answer::not_run(envelope.request.clone(), reason);
    (answer.report.load, answer.report.reach) = (load, reach);
    answer
}

/// Sends the request to the backend server and collects its whole answer within the deadline.
async fn exchange(
    shared: &Shared,
    backend: &BackendServer,
    entry: &LiveEntry<'_>,
    message: Message,
) -> Answer {
    let live = entry.live();
    let request = live.envelope.request.clone();
    let left = live.deadline.since(shared.board.clock.now());
    if left.is_zero() {
        let reason = Reason::DeadlinePassed { deadline_ms: live.envelope.deadline_ms };
        return Answer::not_run(request, reason);
    }
    let extra = headers_for(shared, backend, entry, left);
    let limit = shared.board.policy.load().limits.answer_bytes;
    let again = !live.envelope.claimed;
    let whole = shared.server.exchange(backend.address, message.into_request(extra), again, limit);
    match tokio::time::timeout(left, whole).await {
        Ok(Ok((status, headers, body))) => judge(shared, live, status, headers, body),
        Ok(Err(Lost::Broken(_))) if is_dead(shared, backend).await => {
            Answer::refusal(request, Outcome::Unknown, Reason::Crashed)
        }
        Ok(Err(lost)) => answer_of(lost, live),
        Err(_) => {
            let reason = Reason::DeadlinePassed { deadline_ms: live.envelope.deadline_ms };
            Answer::refusal(request, Outcome::Unknown, reason)
        }
    }
}

/// Headers that only daemons set, for the backend server.
fn headers_for(
    shared: &Shared,
    backend: &BackendServer,
    entry: &LiveEntry<'_>,
    left: Duration,
) -> Vec<(HeaderName, HeaderValue)> {
    let dialect = &shared.dialect;
    let envelope = &entry.live().envelope;
    let mut headers = vec![
        (dialect.request.clone(), envelope.request.to_header()),
        (dialect.deadline.clone(), HeaderValue::from(left.as_millis() as u64)),
    ];
    let token = entry.token().to_string();
    let optional = [
        (&dialect.token, Some(token.as_str())),
        (&dialect.customer, envelope.customer.as_deref()),
        (&dialect.caller, Some(envelope.caller.as_str())),
        (&dialect.instance, Some(backend.id.as_str())),
    ];
    for (name, value) in optional {
        if let (Some(name), Some(value)) = (name, value.filter(|value| !value.is_empty())) {
            headers.push((name.clone(), message::header_value(value)));
        }
    }
    headers
}

/// Tells the backend server's answer to this request from its refusal, and from bytes of another.
fn judge(
    shared: &Shared,
    live: &Live,
    status: StatusCode,
    mut headers: HeaderMap,
    body: Bytes,
) -> Answer {
    let dialect = &shared.dialect;
    let request = live.envelope.request.clone();
    let refused = dialect.not_run.as_ref().is_some_and(|name| headers.contains_key(name));
    if refused || (dialect.instance.is_some() && status == StatusCode::MISDIRECTED_REQUEST) {
        let reason = Reason::Shed { status: status.as_u16() };
        return Answer::not_run(request, reason);
    }
    let unsealed = dialect.seal.as_ref().is_some_and(|name| !headers.contains_key(name));
    let echo = headers.get(&dialect.request);
    let crossed = dialect.named && echo.is_some_and(|echo| *echo != request.to_header());
    if unsealed || crossed {
        let problem = format!("the backend server's answer belongs to no request ({status})");
        return Answer::refusal(request, Outcome::Unknown, Reason::BadAnswer { problem });
    }
    message::pass_on(&mut headers, &shared.private);
    Answer { status, headers, body, report: Report::new(request, Outcome::Ran, None) }
}

/// Whether the backend server is gone: its connection broke, and it takes no other.
async fn is_dead(shared: &Shared, backend: &BackendServer) -> bool {
    let connect = tokio::net::TcpStream::connect(backend.address);
    let alive = matches!(tokio::time::timeout(PROBE_TIME, connect).await, Ok(Ok(_)));
    if !alive && shared.board.backend.load().as_deref() == Some(backend) {
        shared.board.clear_backend();
    }
    !alive
}

fn answer_of(lost: Lost, live: &Live) -> Answer {
    let (outcome, problem) = match lost {
        Lost::Unsent(error) => {
            (Outcome::NotRun, format!("the backend server cannot be reached ({error})"))
        }
        Lost::Broken(error) => {
            (Outcome::Unknown, format!("the backend server broke off ({error})"))
        }
        Lost::Incomplete(error) => {
            (Outcome::Unknown, format!("the backend server's answer is bad: {error}"))
        }
    };
    Answer::refusal(live.envelope.request.clone(), outcome, Reason::BadAnswer { problem })
}
