//! Requests from other daemons to the local backend server.

use std::sync::Arc;

use hyper::body::Incoming;

use crate::backend;
use crate::board::Board;
use crate::envelope::{Envelope, RequestId};
use crate::message::{self, Answer, Message, Response};
use crate::reason::Reason;

/// Answers one request of another daemon.
pub async fn handle(board: Arc<Board>, request: http::Request<Incoming>) -> Response {
    let (parts, body) = request.into_parts();
    let envelope: Option<Envelope> = parts
        .headers
        .get(message::ENVELOPE)
        .and_then(|sealed| board.fleet.open_text(sealed.as_bytes()));
    let Some(envelope) = envelope else {
        let request = RequestId::random(&mut rand::rng());
        return Answer::not_run(request, Reason::BadEnvelope).into_response();
    };
    let limit = board.policy.load().limits.request_bytes;
    let answer = match message::collect(body, limit).await {
        Ok(body) => {
            let mut headers = parts.headers;
            message::pass_on(&mut headers);
            let message = Message { method: parts.method, uri: parts.uri, headers, body };
            backend::run(&board, envelope, message).await
        }
        Err(problem) => Answer::not_run(envelope.request, Reason::BadRequest { problem }),
    };
    let sealed = board.fleet.seal_text(&answer.report);
    let mut response = answer.into_response();
    response.headers_mut().insert(message::REPORT, message::ascii(&sealed));
    response
}
