//! Answers the calls of peers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::heartbeat::{self, Heartbeat};
use super::{HEARTBEAT_TIMEOUT, LoanRequest, LoanResponse, Peer};
use crate::backend;
use crate::body::attach_memory;
use crate::codec::Postcard;
use crate::document::RawDocument;
use crate::envelope::Envelope;
use crate::handshake;
use crate::held_bodies::{self, BodyId};
use crate::message::{Answer, Message};
use crate::overload::{DemandReport, OverloadStatus};
use crate::reservation::{self, SlotGrant, SlotId};
use crate::roster::Roster;
use crate::shared::Shared;
use crate::sync::lock;
use crate::time::Time;

#[derive(Debug, Clone)]
struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Returns whether the request may run.
    fn record_arrival(&self, envelope: &Envelope) -> bool {
        let now = self.shared.board.clock.now();
        lock(&self.shared.arrivals).record(&envelope.request, now)
    }

    async fn run_here(&self, envelope: Envelope, message: Message) -> Answer {
        let time_left = Duration::from_micros(envelope.time_left_us);
        let answer = backend::run(&self.shared, envelope, message).await;
        held_bodies::hold_long(&self.shared, answer, time_left)
    }
}

impl Peer for Server {
    async fn run(self, _: context::Context, envelope: Envelope, message: Message) -> Answer {
        if !self.record_arrival(&envelope) {
            return backend::refuse_expired(&self.shared, &envelope);
        }
        self.run_here(envelope, message).await
    }

    async fn reserve(
        self,
        _: context::Context,
        envelope: Envelope,
        body_bytes: usize,
    ) -> SlotGrant {
        match backend::admit_with_body(&self.shared, &envelope, body_bytes).await {
            Ok(admission) => {
                let time_left = Duration::from_micros(envelope.time_left_us);
                let span = reservation::hold_time(body_bytes, time_left);
                SlotGrant::Held(reservation::hold(&self.shared, admission, span))
            }
            Err(refusal) => SlotGrant::Refused(refusal),
        }
    }

    async fn run_reserved(
        self,
        _: context::Context,
        slot: SlotId,
        envelope: Envelope,
        message: Message,
    ) -> Answer {
        if !self.record_arrival(&envelope) {
            return backend::refuse_expired(&self.shared, &envelope);
        }
        let Some(mut admission) = self.shared.reservations.take(slot) else {
            return backend::refuse_expired(&self.shared, &envelope);
        };
        let time_left = Duration::from_micros(envelope.time_left_us);
        if message.body.is_empty() && admission.lacks_parts() {
            admission.cancel();
            return backend::refuse_expired(&self.shared, &envelope);
        }
        let body = match message.body.is_empty() {
            true => admission.take_body(),
            false => message.body,
        };
        let body = attach_memory(body, admission.take_memory());
        let message = Message { body: body.clone(), ..message };
        let answer = backend::run_admitted(&self.shared, envelope, message, admission).await;
        // Also bounds what the backend server holds until it answers.
        drop(body);
        held_bodies::hold_long(&self.shared, answer, time_left)
    }

    async fn upload(self, _: context::Context, slot: SlotId, part: Bytes) -> bool {
        self.shared.reservations.append(slot, &part)
    }

    async fn heartbeat(self, _: context::Context, heartbeat: Heartbeat) -> Heartbeat {
        let sender = heartbeat.record.vm.clone();
        heartbeat::merge_heartbeat(&self.shared, heartbeat);
        heartbeat::own_heartbeat(&self.shared, &sender)
    }

    async fn borrow(self, _: context::Context, request: LoanRequest) -> LoanResponse {
        LoanResponse { granted: self.shared.board.lend(&request.customer) }
    }

    async fn report_demand(
        self,
        _: context::Context,
        vm: String,
        report: DemandReport,
    ) -> OverloadStatus {
        self.shared.board.record_demand(&vm, report)
    }

    async fn document(self, _: context::Context, newer_than: u64) -> Option<RawDocument> {
        let text = self.shared.board.document.load_full()?;
        (text.version > newer_than).then(|| (*text).clone())
    }

    async fn roster(self, _: context::Context, newer_than: u64) -> Option<Roster> {
        let roster = self.shared.board.roster.load_full();
        (roster.version > newer_than).then(|| (*roster).clone())
    }

    async fn ping(self, _: context::Context) {}

    async fn now(self, _: context::Context) -> Time {
        self.shared.board.clock.now()
    }

    async fn resend(
        self,
        _: context::Context,
        sent: Time,
        envelope: Envelope,
        message: Message,
    ) -> Option<Answer> {
        let now = self.shared.board.clock.now();
        if !lock(&self.shared.arrivals).record_resent(&envelope.request, sent, now) {
            return None;
        }
        Some(self.run_here(envelope, message).await)
    }

    async fn body_part(self, _: context::Context, id: BodyId, offset: u64) -> Option<Bytes> {
        let offset = usize::try_from(offset).ok()?;
        self.shared.held_bodies.part(id, offset)
    }
}

/// Serves calls from peers until `stop` turns true.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        tokio::spawn(serve_connection(Arc::clone(&shared), stream, stop.clone()));
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    let accepted =
        tokio::time::timeout(HEARTBEAT_TIMEOUT, handshake::accept(&shared.keys, stream)).await;
    let Ok(Ok(frames)) = accepted else { return };
    let transport = tarpc::serde_transport::new(frames, Postcard);
    let channel = BaseChannel::with_defaults(transport);
    let server = Server { shared };
    let serving = channel.execute(server.serve()).for_each(|answer| async move {
        tokio::spawn(answer);
    });
    tokio::select! {
        () = serving => {}
        _ = stop.wait_for(|stop| *stop) => {}
    }
}
