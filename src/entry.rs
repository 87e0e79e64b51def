//! Requests from callers: authentication, routing, admission, rate limits, and forwarding to the
//! service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use rand::Rng;
use xxhash_rust::xxh3::Xxh3;

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
use crate::returns::ReturnKey;
use crate::shared::Shared;
use crate::sync::lock;
use crate::tables::CustomerShare;
use crate::time::Time;

/// A refused caller is asked to retry within its time left divided by this, so that enough time remains
/// to run the request.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// How much later than the request that makes it a downstream call may seem to end, since the call is read
/// some time after its backend server sent it.
const MAX_CALL_LAG: Duration = Duration::from_millis(500);

/// Maximum length of an unmatched path in the text of its refusal, in characters.
const MAX_PATH_CHARS: usize = 100;

/// Answers a request of a caller. `id` is its request id, and `waited` the time since its head arrived,
/// which counts towards its deadline.
pub async fn handle(
    shared: Arc<Shared>,
    id: RequestId,
    mut message: Message,
    waited: Duration,
) -> Answer {
    let board = &shared.board;
    let _in_flight = InFlight::count(board);
    let start = board.clock.now() - waited;
    let policy = board.policy.load_full();
    let timeout = caller_timeout(&shared.dialect, &message.headers);
    let deadline = timeout.map_or(Time::MAX, |timeout| start + timeout);
    let mut context =
        EntryContext { id, start, deadline, route: None, customer: None, is_downstream: false };
    let answer = match admit(&shared, &policy, &mut context, &mut message).await {
        Ok(()) => forward_request(&shared, &policy, &context, message).await,
        Err(reason) => Answer::not_run(context.id.clone(), reason),
    };
    record_outcome(board, &policy, &context, &answer);
    answer
}

/// Returns how long the caller waits for the answer, if it sent a valid deadline header, which may have
/// a fraction.
fn caller_timeout(dialect: &Dialect, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&dialect.deadline)?.to_str().ok()?;
    let millis: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}

/// What the entry has found out about a request so far.
struct EntryContext<'a> {
    id: RequestId,
    start: Time,
    deadline: Time,
    route: Option<&'a Route>,
    customer: Option<CustomerId>,
    /// Whether this may be a downstream call of the local backend server.
    is_downstream: bool,
}

/// Decides whether to admit a request, and removes the headers that must not be forwarded.
async fn admit<'a>(
    shared: &Shared,
    policy: &'a Policy,
    context: &mut EntryContext<'a>,
    message: &mut Message,
) -> Result<(), Reason> {
    let board = &shared.board;
    if !board.is_current() {
        return Err(Reason::NoDocument);
    }
    let path = message.uri.path();
    let Some(id) = policy.match_route(message.host(), message.method.as_str(), path) else {
        return Err(Reason::UnknownRoute { path: path.chars().take(MAX_PATH_CHARS).collect() });
    };
    let route_id = id;
    let route = policy.route_at(route_id);
    context.route = Some(route);
    let deadline = context.deadline;
    context.deadline = deadline.min(context.start + route.deadline).min(board.stop_deadline());
    context.is_downstream = is_downstream(shared, route, deadline);
    if board.has_left() && !(context.is_downstream && can_end(board, route, deadline)) {
        return Err(Reason::Leaving);
    }
    context.customer = identify(&shared.dialect, policy, route, &message.headers)?;
    if let Some(customer) = context.customer {
        check_isolation(board, policy, customer)?;
    }
    if context.is_downstream {
        lock(&board.feedback.fanout).record_call(&route.name, context.start);
    } else {
        check_overload(board, context, route_id, message)?;
    }
    if let Some(customer) = context.customer {
        take_token(shared, policy, customer).await?;
    }
    message::strip_headers(&mut message.headers, &shared.private);
    Ok(())
}

/// Whether a request may be a downstream call of the local backend server, for a caller that waits until
/// `deadline`. In a dialect without tokens, nothing tells such a call from a caller's request on an open
/// route, except that it ends with the request that makes it. It is never refused for overload, and
/// counts as a call; docs/DESIGN.md, "Calls without a token", weighs what a wrong guess costs.
fn is_downstream(shared: &Shared, route: &Route, deadline: Time) -> bool {
    if !route.open || shared.dialect.token.is_some() {
        return false;
    }
    let latest = shared.board.live.latest_deadline();
    latest.is_some_and(|latest| deadline == Time::MAX || deadline <= latest + MAX_CALL_LAG)
}

/// Whether a request that is passed on during a graceful shutdown ends before the daemon does: by itself,
/// as the requests of its route have done lately, or because its caller stops waiting at `deadline`.
fn can_end(board: &Board, route: &Route, deadline: Time) -> bool {
    let end = board.stop_deadline();
    if deadline <= end {
        return true;
    }
    let now = board.clock.now();
    let tables = board.tables.load();
    let longest = tables.routes.get(&route.name).map(|state| state.longest_duration(now));
    now + longest.unwrap_or_default() <= end
}

/// Finds the customer by the key in the request, which is never forwarded. Returns `None` for a request
/// without a known key on an open route.
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

/// Refuses requests once this failure domain has been isolated for too long: withdrawn keys do not
/// become known here in the meantime. Customers with `refuse_isolated` are refused at once.
fn check_isolation(board: &Board, policy: &Policy, customer: CustomerId) -> Result<(), Reason> {
    let Some(span) = board.isolated_for() else { return Ok(()) };
    let bound = Duration::from_secs(policy.limits.isolation_s);
    if span < bound && !policy.customer(customer).refuse_isolated {
        return Ok(());
    }
    Err(Reason::Isolated { seconds: span.as_secs() })
}

/// Counts the request as offered, and refuses the share of requests that the services behind its route
/// could not serve in time. Downstream calls are never refused here, since they belong to work that has
/// already started.
fn check_overload(
    board: &Board,
    context: &EntryContext<'_>,
    route_id: RouteId,
    message: &Message,
) -> Result<(), Reason> {
    let now = board.clock.now();
    let Some(route) = context.route else { return Ok(()) };
    if let Some(state) = board.tables.load().routes.get(&route.name) {
        state.record_request(context.customer, now);
    }
    let share = board.feedback.refused_share(route_id.index(), context.customer);
    if share <= 0.0 {
        return Ok(());
    }
    let (key, draw) = (return_key(context.customer, message), rand::rng().random());
    let wait = retry_after(route, context.deadline.since(now));
    let mut returns = lock(&board.feedback.returns);
    if !returns.refuses(route_id.index(), key, share, draw, (now, wait)) {
        return Ok(());
    }
    Err(Reason::Overloaded {
        refused_pct: (share * 100.0) as u64,
        wait_ms: wait.as_millis() as u64,
    })
}

/// Identifies a request when its caller sends it again, with a new request id.
fn return_key(customer: Option<CustomerId>, message: &Message) -> ReturnKey {
    let customer = customer.map_or(u64::MAX, |id| id.index() as u64);
    let mut hash = Xxh3::new();
    hash.update(&customer.to_le_bytes());
    hash.update(message.method.as_str().as_bytes());
    hash.update(message.host().as_bytes());
    hash.update(message.uri.path().as_bytes());
    hash.update(message.uri.query().unwrap_or_default().as_bytes());
    ReturnKey(hash.digest())
}

/// Returns after what time the caller of an overloaded service should retry: early enough for an answer
/// within the latency objective, and randomized, so that callers refused together do not retry together.
fn retry_after(route: &Route, time_left: Duration) -> Duration {
    let span = (route.objective / 2).min(time_left / RETRY_AFTER_DIVISOR);
    span.mul_f64(rand::rng().random_range(0.4..1.0))
}

/// Takes a token from this VM's share of the customer's rate, or borrows one from another owner.
///
/// # Errors
///
/// [`Reason::OverRate`] if there is no token.
async fn take_token(shared: &Shared, policy: &Policy, customer: CustomerId) -> Result<(), Reason> {
    let board = &shared.board;
    let share = board.tables.load().shares.get(&customer).cloned();
    let customer = policy.customer(customer);
    let Some(limit) = customer.limit else { return Ok(()) };
    let over_rate = |wait: Duration| Reason::OverRate {
        rate: limit.rate,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).clamp(1, 60_000),
    };
    // A newer version, which the request was not looked up in, no longer limits the customer.
    let Some(share) = share else { return Ok(()) };
    let now = board.clock.now();
    let taken = share.bucket().take(now);
    let Err(wait) = taken else { return Ok(()) };
    if borrow_token(shared, &share, &customer.name, now).await {
        board.metrics.borrowed.inc();
        return Ok(());
    }
    let fleet_wait = Duration::from_secs_f64(1.0 / limit.rate);
    Err(over_rate(wait.min(Duration::from_secs(60)).max(fleet_wait)))
}

async fn borrow_token(shared: &Shared, share: &CustomerShare, customer: &str, now: Time) -> bool {
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
    for place in share.cursor.candidates(addresses.len()) {
        if shared.peers.borrow(shared, addresses[place], customer).await {
            share.cursor.record_success(place);
            return true;
        }
    }
    share.cursor.record_failure();
    share.pause_borrowing(board.clock.now());
    false
}

/// Sends an admitted request to its service.
async fn forward_request(
    shared: &Arc<Shared>,
    policy: &Policy,
    context: &EntryContext<'_>,
    message: Message,
) -> Answer {
    let board = &shared.board;
    let Some(route) = context.route else {
        return Answer::not_run(context.id.clone(), Reason::NoDocument);
    };
    let Some(service) = route.choose_service(&mut rand::rng()) else {
        let reason = Reason::NoInstance { service: route.name.clone(), known: 0 };
        return Answer::not_run(context.id.clone(), reason);
    };
    let customer = context.customer.map(|id| policy.customer(id).name.clone());
    let envelope = Envelope {
        request: context.id.clone(),
        customer,
        route: route.name.clone(),
        importance: route.importance,
        time_left_us: 0,
        deadline_ms: route.deadline.as_millis() as u64,
        retry_budget: 0,
        hops: u32::from(context.is_downstream),
        caller: board.own_service(),
        service: policy.service(service).name.clone(),
        objective_ms: u32::try_from(route.objective.as_millis()).unwrap_or(u32::MAX),
        wants_reached: false,
        suspect: false,
        claimed: !route.idempotent,
    };
    let call = Call {
        envelope,
        message,
        route: route.name.clone(),
        service,
        idempotent: route.idempotent,
        deadline: context.deadline,
    };
    let retry_budget = Arc::new(RetryBudget::new(route.retries));
    match &shared.dialect.idempotency_key {
        Some(operation) if !route.idempotent => {
            claims::send_once(shared, operation, call, retry_budget).await
        }
        _ => forward::send(shared, &call, &retry_budget).await,
    }
}

/// Updates the metrics, and records in the log and the journal why a request was not served.
fn record_outcome(board: &Board, policy: &Policy, context: &EntryContext<'_>, answer: &Answer) {
    let customer = context.customer.map(|id| policy.customer(id).name.as_str());
    let reason = answer.report.reason.as_ref();
    let outcome = answer.report.outcome;
    let labels = RequestLabels {
        route: context.route.map(|route| route.name.clone()).unwrap_or_default(),
        customer: customer.unwrap_or_default().to_owned(),
        importance: context.route.map_or("", |route| route.importance.as_str()),
        outcome: outcome.as_str(),
        reason: reason.map_or("", Reason::code),
    };
    board.metrics.requests.get_or_create(&labels).inc();
    let span = board.clock.now().since(context.start);
    board.metrics.request_seconds.observe(span.as_secs_f64());
    if let (Some(route), Outcome::Ran) = (context.route, outcome)
        && let Some(state) = board.tables.load().routes.get(&route.name)
    {
        state.record_duration(span, board.clock.now());
    }
    let Some(reason) = reason else { return };
    log_refusal(board, context, &labels, outcome, reason, span);
    let entry = journal::Entry::new(&context.id, &board.settings.vm, "entry", outcome);
    board.journal.record(entry.customer(customer), reason);
}

fn log_refusal(
    board: &Board,
    context: &EntryContext<'_>,
    labels: &RequestLabels,
    outcome: Outcome,
    reason: &Reason,
    span: Duration,
) {
    // Requests that may have run are always logged; repeated refusals are sampled.
    let weight = match outcome {
        Outcome::NotRun => board.log_sampler.weigh(reason.code(), board.clock.now()),
        Outcome::Ran | Outcome::Unknown => Some(1),
    };
    let Some(weight) = weight else { return };
    tracing::info!(
        event = "refused",
        weight,
        vm = board.settings.vm,
        request = %context.id,
        route = labels.route,
        customer = labels.customer,
        importance = labels.importance,
        outcome = outcome.as_str(),
        reason = reason.code(),
        detail = %reason,
        ms = span.as_millis() as u64,
    );
}
