//! Long bodies on their way between daemons, in parts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::{CallError, PeerConnections, context_with_timeout};
use crate::body::attach_memory;
use crate::envelope::Report;
use crate::held_bodies::{BodyId, HeldBody, PART_BYTES};
use crate::message::Answer;
use crate::reason::Reason;
use crate::reservation::SlotId;
use crate::shared::Shared;

/// Shortest wait for memory that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(50);

impl PeerConnections {
    /// Sends a long body in parts to the daemon at `address`, which holds a slot and memory for it. One message
    /// would occupy the memory of the body again while it is encoded, and hold up all others on the
    /// connection. Returns whether the slot is still held.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if a part was not acknowledged. The request did not run in any case.
    pub async fn upload(
        &self,
        shared: &Shared,
        address: SocketAddr,
        slot: SlotId,
        body: &Bytes,
        time_left: Duration,
    ) -> Result<bool, CallError> {
        let mut rest = body.clone();
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(PART_BYTES));
            let connection = self.connection(shared, address).await?;
            let held = connection.client.upload(context_with_timeout(time_left), slot, part);
            if !self.call(shared, address, &connection, held).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Fetches the body of an answer if the daemon at `address` holds it because it is long. Waits until
    /// this daemon has memory for it.
    pub(super) async fn complete(
        &self,
        shared: &Shared,
        address: SocketAddr,
        answer: Answer,
        time_left: Duration,
    ) -> Result<Answer, CallError> {
        let Some(HeldBody { id, bytes }) = answer.report.held_body else { return Ok(answer) };
        let length = usize::try_from(bytes).unwrap_or(usize::MAX);
        let longest = shared.answers.longest();
        let fetched = if length > longest {
            Err(format!("the answer has {length} bytes, and this daemon takes {longest}"))
        } else {
            let started = shared.board.clock.now();
            let memory = shared.answers.reserve(length).await;
            log_memory_wait(shared, length, shared.board.clock.now().since(started));
            let body = self.fetch_body(shared, address, (id, length), time_left).await?;
            body.map(|body| attach_memory(body, memory))
                .ok_or_else(|| "the daemon beside it no longer holds its answer".to_owned())
        };
        let report = Report { held_body: None, ..answer.report };
        Ok(match fetched {
            Ok(body) => Answer { body, report, ..answer },
            Err(problem) => {
                let reason = Reason::BadAnswer { problem };
                let lost = Answer::refusal(report.request.clone(), report.outcome, reason.clone());
                Answer { report: Report { reason: Some(reason), ..report }, ..lost }
            }
        })
    }

    /// Fetches a body in parts. Returns `None` if it is no longer held.
    async fn fetch_body(
        &self,
        shared: &Shared,
        address: SocketAddr,
        (id, length): (BodyId, usize),
        timeout: Duration,
    ) -> Result<Option<Bytes>, CallError> {
        let mut body = BytesMut::with_capacity(length);
        while body.len() < length {
            let connection = self.connection(shared, address).await?;
            let offset = body.len() as u64;
            let part = connection.client.body_part(context_with_timeout(timeout), id, offset);
            let part = self.call(shared, address, &connection, part).await?;
            let Some(part) = part.filter(|part| part.len() <= length - body.len()) else {
                return Ok(None);
            };
            body.extend_from_slice(&part);
        }
        Ok(Some(body.freeze()))
    }
}

/// Logs an answer that had to wait until this daemon had memory for its body.
fn log_memory_wait(shared: &Shared, bytes: usize, wait: Duration) {
    let board = &shared.board;
    if wait < MIN_LOGGED_WAIT {
        return;
    }
    if let Some(weight) = board.log_sampler.weigh("answer-waited", board.clock.now()) {
        let (vm, ms) = (&board.settings.vm, wait.as_millis() as u64);
        tracing::info!(event = "answer-waited-for-memory", weight, vm, bytes, ms);
    }
}
