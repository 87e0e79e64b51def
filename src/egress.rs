//! Downstream calls that the local backend server makes for the requests that it is running.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;

use crate::body;
use crate::claims;
use crate::document::{Policy, Route};
use crate::envelope::{Envelope, Token};
use crate::forward::{self, Call};
use crate::live::LiveRequest;
use crate::message::{self, Answer, Message, Response};
use crate::reason::Reason;
use crate::shared::Shared;
use crate::tables::ServiceState;

/// Maximum length of an unmatched path in the text of its refusal, in characters.
const MAX_PATH_CHARS: usize = 100;

/// Answers a downstream call of the local backend server.
pub async fn handle(shared: Arc<Shared>, request: http::Request<Incoming>) -> Response {
    let board = &shared.board;
    let dialect = &shared.dialect;
    let (parts, body) = request.into_parts();
    let token = dialect.token.as_ref().and_then(|name| parts.headers.get(name));
    let token = token.and_then(|value| value.to_str().ok()).and_then(Token::parse);
    let live = token.and_then(|token| board.live.get(token));
    let policy = board.policy.load_full();
    let path = parts.uri.path();
    let host = message::host_of(&parts.headers);
    let route = policy.match_route(host, parts.method.as_str(), path).map(|id| policy.route_at(id));
    let limit = usize::try_from(policy.limits.request_bytes).unwrap_or(usize::MAX);
    let body = match body::collect(body, limit, &shared.bodies).await {
        Ok(body) => body,
        Err(error) => {
            let problem = error.to_string();
            let request = dialect.refusal_id();
            return Answer::not_run(request, Reason::BadRequest { problem }).into_response(dialect);
        }
    };
    let message = Message { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    let answer = match live {
        Some(live) => handle_with_token(&shared, &policy, route, &live, message).await,
        // A call on an open route needs no token; it enters like a request of a caller.
        None if route.is_some_and(|route| route.open) => {
            match dialect.read_request_id(&message.headers) {
                Ok(id) => {
                    crate::entry::handle(Arc::clone(&shared), id, message, Duration::ZERO).await
                }
                Err(reason) => Answer::not_run(dialect.refusal_id(), reason),
            }
        }
        None => Answer::not_run(dialect.refusal_id(), Reason::UnknownToken),
    };
    answer.into_response(dialect)
}

async fn handle_with_token(
    shared: &Arc<Shared>,
    policy: &Policy,
    route: Option<&Route>,
    live: &Arc<LiveRequest>,
    mut message: Message,
) -> Answer {
    let Some(route) = route else {
        let path = message.uri.path().chars().take(MAX_PATH_CHARS).collect();
        let request = live.envelope.request.clone();
        return Answer::not_run(request, Reason::UnknownRoute { path });
    };
    message::strip_headers(&mut message.headers, &shared.private);
    send_downstream(shared, policy, route, live, message).await
}

/// Sends a call to its service with the customer, importance, deadline and retry budget of the request
/// that made it.
async fn send_downstream(
    shared: &Arc<Shared>,
    policy: &Policy,
    route: &Route,
    live: &Arc<LiveRequest>,
    message: Message,
) -> Answer {
    let board = &shared.board;
    let parent = &live.envelope;
    let Some(target) = route.choose_service(&mut rand::rng()) else {
        let reason = Reason::NoInstance { service: route.name.clone(), known: 0 };
        return Answer::not_run(parent.request.clone(), reason);
    };
    let service = &policy.service(target).name;
    let _waiting_call = board.tables.load().services.get(service).map(ServiceState::track_call);
    let now = board.clock.now();
    let deadline = live.deadline.min(now + route.deadline);
    let call = Call {
        envelope: Envelope {
            hops: parent.hops + 1,
            service: service.clone(),
            objective_ms: parent.objective_ms,
            claimed: parent.claimed || !route.idempotent,
            ..parent.clone()
        },
        message,
        route: route.name.clone(),
        service: target,
        idempotent: route.idempotent,
        deadline,
    };
    // Below a claimed request this call runs once because its parent does; elsewhere it needs a claim.
    let answer = match &shared.dialect.idempotency_key {
        Some(operation) if !route.idempotent && !parent.claimed => {
            claims::send_once(shared, operation, call, Arc::clone(&live.retry_budget)).await
        }
        _ => forward::send(shared, &call, &live.retry_budget).await,
    };
    live.record_call(&answer.report);
    board.record_downstream(&parent.route, &answer.report.reached);
    answer
}
