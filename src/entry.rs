//! Requests from callers: key, route, rate, and the way to the service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use rand::Rng;

use crate::board::{Board, InFlight};
use crate::claims;
use crate::dialect::Dialect;
use crate::document::{CustomerId, Policy, Route, RouteId};
use crate::envelope::{Envelope, RequestId};
use crate::forward::{self, Call};
use crate::journal;
use crate::key::Digest;
use crate::message::{self, Answer, Message};
use crate::metrics::RequestLabels;
use crate::reason::{Outcome, Reason};
use crate::retry::RetryBudget;
use crate::shared::Shared;
use crate::sync::lock;
use crate::tables::CustomerShare;
use crate::time::Time;

/// A caller is told to come back within this part of the time that it has left, so that enough remains
/// for the work.
const RETURN_PART: u32 = 3;

/// How much of an unmatched path is repeated in its refusal, in characters.
const PATH_SHOWN: usize = 100;

/// Answers one request of a caller, which is called `id`.
pub async fn handle(shared: Arc<Shared>, id: RequestId, mut message: Message) -> Answer {
    let board = &shared.board;
    let _in_flight = InFlight::count(board);
    let start = board.clock.now();
    let policy = board.policy.load_full();
    let left = time_left(&shared.dialect, &message.headers);
    let deadline = left.map_or(Time::MAX, |left| start + left);
    let mut visit = Visit { id, start, deadline, route: None, customer: None, is_call: false };
    let answer = match admit(&shared, &policy, &mut visit, &mut message).await {
        Ok(()) => pass(&shared, &policy, &visit, message).await,
        Err(reason) => Answer::not_run(visit.id.clone(), reason),
    };
    conclude(board, &policy, &visit, &answer);
    answer
}

/// How long the caller will wait, if it says so.
fn time_left(dialect: &Dialect, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&dialect.deadline)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// What is known about a request while it enters.
struct Visit<'a> {
    id: RequestId,
    start: Time,
    deadline: Time,
    route: Option<&'a Route>,
    customer: Option<CustomerId>,
    /// Whether the local backend server made it for a request that it runs.
    is_call: bool,
}

/// Decides whether a request enters, and takes off what goes no further.
async fn admit<'a>(
    shared: &Shared,
    policy: &'a Policy,
    visit: &mut Visit<'a>,
    message: &mut Message,
) -> Result<(), Reason> {
    let board = &shared.board;
    if !board.is_current() {
        return Err(Reason::NoDocument);
    }
    let path = message.uri.path();
    let Some(route) = policy.route(message.host(), message.method.as_str(), path) else {
        return Err(Reason::UnknownRoute { path: path.chars().take(PATH_SHOWN).collect() });
    };
    let place = route;
    let route = policy.route_at(place);
    visit.route = Some(route);
    visit.deadline = visit.deadline.min(visit.start + route.deadline);
    // Where calls carry no token, they come on routes that need no key.
    visit.is_call = route.open && shared.dialect.token.is_none();
    visit.customer = identify(&shared.dialect, policy, route, &message.headers)?;
    if let Some(customer) = visit.customer {
        check_isolation(board, policy, customer)?;
    }
    if visit.is_call {
        lock(&board.feedback.fanout).record_call(&route.name, visit.start);
    } else {
        pass_levels(board, visit, place)?;
    }
    if let Some(customer) = visit.customer {
        take_token(shared, policy, customer).await?;
    }
    message::pass_on(&mut message.headers, &shared.private);
    Ok(())
}

/// Finds the customer whose key came with the request. The key itself goes no further.
fn identify(
    dialect: &Dialect,
    policy: &Policy,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CustomerId>, Reason> {
    let bearer = || {
        let value = headers.get(AUTHORIZATION)?.as_bytes();
        value.strip_prefix(b"Bearer ").map(<[u8]>::trim_ascii)
    };
    let key = headers.get(&dialect.key).map(HeaderValue::as_bytes);
    let key = key.or_else(|| if dialect.bearer { bearer() } else { None });
    let customer = key.and_then(|key| policy.authenticate(&Digest::of(key)));
    match (customer, key) {
        (Some(customer), _) => Ok(Some(customer)),
        (None, _) if route.open => Ok(None),
        (None, Some(_)) => Err(Reason::UnknownKey),
        (None, None) => Err(Reason::MissingKey),
    }
}

/// While this failure domain is cut off, a withdrawn key cannot be known, so service is bounded.
fn check_isolation(board: &Board, policy: &Policy, customer: CustomerId) -> Result<(), Reason> {
    let Some(span) = board.isolated_for() else { return Ok(()) };
    let bound = Duration::from_secs(policy.limits.isolation_s);
    if span < bound && !policy.customer(customer).refuse_isolated {
        return Ok(());
    }
    Err(Reason::Isolated { seconds: span.as_secs() })
}

/// Refuses here what would only take room from other requests deeper. Calls of backend servers are part
/// of work that has begun, and are never refused here.
fn pass_levels(board: &Board, visit: &Visit<'_>, place: RouteId) -> Result<(), Reason> {
    let now = board.clock.now();
    let Some(route) = visit.route else { return Ok(()) };
    if let Some(state) = board.tables.load().routes.get(&route.name) {
        state.offered(visit.customer, now);
    }
    let share = board.feedback.refused_share(place.index(), visit.customer);
    if share <= 0.0 || rand::rng().random::<f32>() >= share {
        return Ok(());
    }
    let wait = come_back(route, visit.deadline.since(now));
    Err(Reason::Overloaded {
        refused_pct: (share * 100.0) as u64,
        wait_ms: wait.as_millis() as u64,
    })
}

/// When a request that was refused for want of room should come back: while its answer would still be
/// worth most to its caller, and spread out, so that those refused together do not return together.
fn come_back(route: &Route, left: Duration) -> Duration {
    let span = (route.objective / 2).min(left / RETURN_PART);
    span.mul_f64(rand::rng().random_range(0.4..1.0))
}

/// Takes a token of this VM's share, or borrows one from another owner.
async fn take_token(shared: &Shared, policy: &Policy, customer: CustomerId) -> Result<(), Reason> {
    let board = &shared.board;
    let share = board.tables.load().shares.get(&customer).cloned();
    let customer = policy.customer(customer);
    let Some(limit) = customer.limit else { return Ok(()) };
    let over = |wait: Duration| Reason::OverRate {
        rate: limit.rate,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).clamp(1, 60_000),
    };
    let Some(share) = share else { return Err(Reason::UnknownKey) };
    let now = board.clock.now();
    let taken = share.holding().take(now);
    let Err(wait) = taken else { return Ok(()) };
    if borrow(shared, &share, &customer.name, now).await {
        board.metrics.borrowed.inc();
        return Ok(());
    }
    let fleet_wait = Duration::from_secs_f64(1.0 / limit.rate);
    Err(over(wait.min(Duration::from_secs(60)).max(fleet_wait)))
}

async fn borrow(shared: &Shared, share: &CustomerShare, customer: &str, now: Time) -> bool {
    let board = &shared.board;
    if !share.may_borrow(now) {
        return false;
    }
    let lenders = share.lenders.load_full();
    let addresses: Vec<SocketAddr> = board.read_view(|view| {
        let members = lenders.iter().filter_map(|vm| view.get(vm));
        let reachable = members.filter(|member| !member.record.suspect);
        reachable.map(|member| member.record.control).collect()
    });
    for place in share.turn.candidates(addresses.len()) {
        if shared.links.borrow(shared, addresses[place], customer).await {
            share.turn.record_success(place);
            return true;
        }
    }
    share.turn.record_failure();
    share.pause_borrowing(board.clock.now());
    false
}

/// Passes an admitted request to its service.
async fn pass(
    shared: &Arc<Shared>,
    policy: &Policy,
    visit: &Visit<'_>,
    message: Message,
) -> Answer {
    let board = &shared.board;
    let Some(route) = visit.route else {
        return Answer::not_run(visit.id.clone(), Reason::NoDocument);
    };
    let Some(service) = route.target(&mut rand::rng()) else {
        let reason = Reason::NoInstance { service: route.name.clone(), known: 0 };
        return Answer::not_run(visit.id.clone(), reason);
    };
    let customer = visit.customer.map(|id| policy.customer(id).name.clone());
    let envelope = Envelope {
        request: visit.id.clone(),
        customer,
        route: route.name.clone(),
        importance: route.importance,
        time_left_us: 0,
        deadline_ms: route.deadline.as_millis() as u64,
        retry_budget: 0,
        hops: u32::from(visit.is_call),
        caller: board.own_service(),
        service: policy.service(service).name.clone(),
        objective_ms: u32::try_from(route.objective.as_millis()).unwrap_or(u32::MAX),
        wants_reached: false,
        suspect: false,
        claimed: !route.idempotent,
    };
    let call =
        Call { envelope, message, service, idempotent: route.idempotent, deadline: visit.deadline };
    let retry_budget = Arc::new(RetryBudget::new(route.retries));
    match &shared.dialect.operation {
        Some(operation) if !route.idempotent => {
            claims::send_once(shared, operation, call, retry_budget).await
        }
        _ => forward::send(shared, &call, &retry_budget).await,
    }
}

/// Counts the request, and writes down why it was not served.
fn conclude(board: &Board, policy: &Policy, visit: &Visit<'_>, answer: &Answer) {
    let customer = visit.customer.map(|id| policy.customer(id).name.as_str());
    let reason = answer.report.reason.as_ref();
    let outcome = answer.report.outcome;
    let labels = RequestLabels {
        route: visit.route.map(|route| route.name.clone()).unwrap_or_default(),
        customer: customer.unwrap_or_default().to_owned(),
        importance: visit.route.map_or("", |route| route.importance.as_str()),
        outcome: outcome.as_str(),
        reason: reason.map_or("", Reason::code),
    };
    board.metrics.requests.get_or_create(&labels).inc();
    let span = board.clock.now().since(visit.start);
    board.metrics.seconds.observe(span.as_secs_f64());
    let Some(reason) = reason else { return };
    log(board, visit, &labels, outcome, reason, span);
    let entry = journal::Entry::new(&visit.id, &board.settings.vm, "entry", outcome);
    board.journal.note(entry.customer(customer), reason);
}

fn log(
    board: &Board,
    visit: &Visit<'_>,
    labels: &RequestLabels,
    outcome: Outcome,
    reason: &Reason,
    span: Duration,
) {
    // What may have run is written each time; refusals that repeat are sampled.
    let weight = match outcome {
        Outcome::NotRun => board.refusal_lines.weigh(reason.code(), board.clock.now()),
        Outcome::Ran | Outcome::Unknown => Some(1),
    };
    let Some(weight) = weight else { return };
    tracing::info!(
        event = "refused",
        weight,
        vm = board.settings.vm,
        request = %visit.id,
        route = labels.route,
        customer = labels.customer,
        importance = labels.importance,
        outcome = outcome.as_str(),
        reason = reason.code(),
        detail = %reason,
        ms = span.as_millis() as u64,
    );
}
