//! One request on the local backend server: admission, the exchange, and the report about it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, Uri};
use hyper::body::Incoming;

use crate::board::{BackendServer, Board};
use crate::document::{CustomerId, Policy};
use crate::envelope::{Envelope, Reach, Report};
use crate::gate::Observed;
use crate::guard::Work;
use crate::journal;
use crate::live::{Live, LiveEntry};
use crate::message::{self, Answer, Message};
use crate::metrics::GuardLabels;
use crate::reason::{Outcome, Reason};
use crate::time::Time;

/// What a hop keeps of the deadline, so that its refusal still reaches the caller in time.
const HOP_RESERVE: Duration = Duration::from_millis(2);

/// The longest that a backend server may take to accept a connection after it broke one.
const PROBE_TIME: Duration = Duration::from_millis(200);

/// Stands for all callers of routes that are open to all, between customers in a queue.
const OPEN_CUSTOMER: CustomerId = CustomerId::new(u32::MAX);

/// Runs a request on the local backend server, once.
pub async fn run(board: &Arc<Board>, envelope: Envelope, message: Message) -> Answer {
    let request = envelope.request;
    let deadline = board.clock.now() + Duration::from_micros(envelope.left);
    let deadline = deadline - HOP_RESERVE;
    let Some(backend) = usable_backend(board, &envelope) else {
        return refuse(board, &envelope, Reason::NotReady);
    };
    if let Err(reason) = board.check_waiting(&envelope.route) {
        return refuse(board, &envelope, reason);
    }
    let place = envelope.suspect.then(|| board.suspect_place());
    if matches!(place, Some(None)) {
        return refuse(board, &envelope, Reason::SuspectRuns);
    }
    let work = work_of(board, &envelope, deadline);
    let mut permit = match board.gate.enter(work, envelope.passed).await {
        Ok(permit) => permit,
        Err(reason) => return refuse(board, &envelope, reason),
    };
    let entry = board.live.enter(Live::new(envelope.clone(), deadline));
    let answer = exchange(board, &backend, &entry, message).await;
    if answer.report.outcome == Outcome::Ran {
        permit.complete();
    }
    drop(permit);
    board.learn_served(&envelope.route);
    let live = entry.live();
    let spent = envelope.allowance.saturating_sub(live.ledger.left());
    let mut reach = live.reach();
    let Observed { load, level } = board.gate.observe(work.customer, work.importance);
    reach.push(Reach { service: envelope.service, level });
    Answer { report: Report { request, spent, load, reach, ..answer.report }, ..answer }
}

/// The announced backend server, if it runs the service that is asked for and takes new work.
fn usable_backend(board: &Board, envelope: &Envelope) -> Option<Arc<BackendServer>> {
    let backend = board.backend.load_full()?;
    (board.is_ready() && backend.service == envelope.service).then_some(backend)
}

fn customer_of(policy: &Policy, envelope: &Envelope) -> Option<CustomerId> {
    policy.customer_id(envelope.customer.as_deref()?)
}

fn work_of(board: &Board, envelope: &Envelope, deadline: Time) -> Work {
    let policy = board.policy.load();
    let id = customer_of(&policy, envelope);
    Work {
        customer: id.unwrap_or(OPEN_CUSTOMER),
        weight: id.map_or(1, |id| policy.customer(id).weight),
        importance: envelope.importance,
        begun: envelope.hops > 0,
        deadline,
    }
}

/// Refuses a request of which no byte has reached the backend server.
fn refuse(board: &Board, envelope: &Envelope, reason: Reason) -> Answer {
    let labels = GuardLabels { importance: envelope.importance.as_str(), reason: reason.code() };
    board.metrics.refusals.get_or_create(&labels).inc();
    board.journal.note(
        journal::Entry::new(&envelope.request, &board.settings.vm, "guard", Outcome::NotRun)
            .customer(envelope.customer.as_deref()),
        &reason,
    );
    let customer = customer_of(&board.policy.load(), envelope).unwrap_or(OPEN_CUSTOMER);
    let Observed { load, level } = board.gate.observe(customer, envelope.importance);
    let reach = vec![Reach { service: envelope.service.clone(), level }];
    let mut answer = Answer::not_run(envelope.request, reason);
    (answer.report.load, answer.report.reach) = (load, reach);
    answer
}

/// Sends the request to the backend server and collects its whole answer within the deadline.
async fn exchange(
    board: &Board,
    backend: &BackendServer,
    entry: &LiveEntry<'_>,
    message: Message,
) -> Answer {
    let live = entry.live();
    let request = live.envelope.request;
    let left = live.deadline.since(board.clock.now());
    if left.is_zero() {
        let reason = Reason::DeadlinePassed { allowed: live.envelope.allowed };
        return Answer::not_run(request, reason);
    }
    let extra = [
        (message::TOKEN, message::ascii(&entry.token().to_string())),
        (message::REQUEST, message::ascii(&request.to_string())),
        (message::DEADLINE, HeaderValue::from(left.as_millis() as u64)),
    ];
    let Some(uri) = target(backend, &message.uri) else {
        let reason = Reason::BadRequest { problem: "the path cannot be passed on".to_owned() };
        return Answer::not_run(request, reason);
    };
    let sent = board.http.request(message.to_request(uri, &extra));
    let limit = board.policy.load().limits.answer_bytes;
    let whole = async {
        let response = sent.await.map_err(Lost::from)?;
        read_answer(response, limit).await
    };
    match tokio::time::timeout(left, whole).await {
        Ok(Ok((status, headers, body))) => {
            let report = Report::new(request, Outcome::Ran, None);
            Answer { status, headers, body, report }
        }
        Ok(Err(Lost::Broken(_))) if is_dead(board, backend).await => {
            Answer::refusal(request, Outcome::Unknown, Reason::Crashed)
        }
        Ok(Err(lost)) => lost.into_answer(live),
        Err(_) => {
            let reason = Reason::DeadlinePassed { allowed: live.envelope.allowed };
            Answer::refusal(request, Outcome::Unknown, reason)
        }
    }
}

/// Whether the backend server is gone: its connection broke, and it takes no other.
async fn is_dead(board: &Board, backend: &BackendServer) -> bool {
    let connect = tokio::net::TcpStream::connect(backend.address);
    let alive = matches!(tokio::time::timeout(PROBE_TIME, connect).await, Ok(Ok(_)));
    if !alive && board.backend.load().as_deref() == Some(backend) {
        board.lose_backend();
    }
    !alive
}

fn target(backend: &BackendServer, uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.clone();
    let authority = backend.address.to_string();
    Uri::builder().scheme("http").authority(authority).path_and_query(path).build().ok()
}

async fn read_answer(
    response: http::Response<Incoming>,
    limit: u64,
) -> Result<(StatusCode, http::HeaderMap, Bytes), Lost> {
    let (parts, body) = response.into_parts();
    let body = message::collect(body, limit).await.map_err(Lost::Incomplete)?;
    let mut headers = parts.headers;
    message::pass_on(&mut headers);
    Ok((parts.status, headers, body))
}

/// How an answer was lost.
enum Lost {
    /// No connection was made, so no byte of the request left this daemon.
    Unsent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
    /// The answer came, but not all of it.
    Incomplete(String),
}

impl From<hyper_util::client::legacy::Error> for Lost {
    fn from(error: hyper_util::client::legacy::Error) -> Self {
        match message::is_unsent(&error) {
            true => Self::Unsent(message::causes(&error)),
            false => Self::Broken(message::causes(&error)),
        }
    }
}

impl Lost {
    fn into_answer(self, live: &Live) -> Answer {
        let (outcome, problem) = match self {
            Self::Unsent(error) => {
                (Outcome::NotRun, format!("the backend server cannot be reached ({error})"))
            }
            Self::Broken(error) => {
                (Outcome::Unknown, format!("the backend server broke off ({error})"))
            }
            Self::Incomplete(error) => {
                (Outcome::Unknown, format!("the backend server's answer is bad: {error}"))
            }
        };
        Answer::refusal(live.envelope.request, outcome, Reason::BadAnswer { problem })
    }
}
