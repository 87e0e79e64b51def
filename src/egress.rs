//! Calls that the local backend server makes on behalf of a request that it runs.

use std::sync::Arc;

use hyper::body::Incoming;

use crate::board::Board;
use crate::claims;
use crate::document::{Policy, Route};
use crate::envelope::RequestId;
use crate::envelope::{Envelope, Token};
use crate::forward::{self, Call};
use crate::live::Live;
use crate::message::{self, Answer, Message, Response};
use crate::reason::Reason;
use crate::tables::ServiceState;

/// Answers one call of the local backend server.
pub async fn handle(board: Arc<Board>, request: http::Request<Incoming>) -> Response {
    let (parts, body) = request.into_parts();
    let token = parts.headers.get(message::TOKEN);
    let token = token.and_then(|value| value.to_str().ok()).and_then(Token::parse);
    let live = token.and_then(|token| board.live.get(token));
    let policy = board.policy.load_full();
    let path = parts.uri.path();
    let route = policy.route(parts.method.as_str(), path).map(|id| policy.route_at(id));
    let Some(live) = live else {
        return without_token(board, parts, body, route.is_some_and(|route| route.open)).await;
    };
    let request = live.envelope.request;
    let Some(route) = route else {
        let path = path.chars().take(100).collect();
        return Answer::not_run(request, Reason::UnknownRoute { path }).into_response();
    };
    let body = match message::collect(body, policy.limits.request_bytes).await {
        Ok(body) => body,
        Err(problem) => {
            return Answer::not_run(request, Reason::BadRequest { problem }).into_response();
        }
    };
    let mut headers = parts.headers;
    message::pass_on(&mut headers);
    let message = Message { method: parts.method, uri: parts.uri, headers, body };
    call_on(&board, &policy, route, &live, message).await.into_response()
}

/// Routes open to all need no live request; such a call enters like a caller's.
async fn without_token(
    board: Arc<Board>,
    parts: http::request::Parts,
    body: Incoming,
    open: bool,
) -> Response {
    if open {
        return crate::entry::handle(board, http::Request::from_parts(parts, body)).await;
    }
    let request = RequestId::random(&mut rand::rng());
    Answer::not_run(request, Reason::UnknownToken).into_response()
}

async fn call_on(
    board: &Arc<Board>,
    policy: &Policy,
    route: &Route,
    live: &Arc<Live>,
    message: Message,
) -> Answer {
    let parent = &live.envelope;
    let service = &policy.service(route.service).name;
    let _waiting = board.tables.load().services.get(service).map(ServiceState::wait);
    let now = board.clock.now();
    let deadline = live.deadline.min(now + route.deadline);
    let call = Call {
        envelope: Envelope {
            hops: parent.hops + 1,
            service: service.clone(),
            claimed: parent.claimed || !route.idempotent,
            ..parent.clone()
        },
        message,
        service: route.service,
        idempotent: route.idempotent,
        deadline,
    };
    // Below a claimed request this runs once because its caller does; elsewhere it needs a claim.
    let answer = if route.idempotent || parent.claimed {
        forward::send(board, &call, &live.ledger).await
    } else {
        claims::send_once(board, call, Arc::clone(&live.ledger)).await
    };
    live.reached(&answer.report.reach);
    board.learn_below(&parent.route, &answer.report.reach);
    answer
}
