//! The request that a connection is reading.

use std::time::Duration;

use futures::future::BoxFuture;
use tokio::io::Interest;
use tokio::net::tcp::OwnedReadHalf;

use crate::body::{BodyReader, Reservation};
use crate::head::Head;
use crate::message::Message;
use crate::server::Bounds;
use crate::time::Time;

/// The state of the request that is being read.
pub(super) enum ReadState {
    /// Its head is not complete; what has arrived of it is in the input buffer.
    Head,
    /// Its body is not complete.
    Body(Box<PartialRequest>),
    /// It is complete, and starts once all earlier requests have been answered.
    Complete(Box<CompleteRequest>),
}

/// A request whose body is not complete.
pub(super) struct PartialRequest {
    pub(super) head: Head,
    pub(super) body: BodyReader,
    /// When the head was complete.
    pub(super) received: Time,
    /// Whether the caller still has to be told to send the body.
    pub(super) continue_due: bool,
    /// The memory that the body needs next. Until it is available, the connection is not read.
    pub(super) wanted: Option<WantedMemory>,
}

/// Memory for a body that is not available yet.
pub(super) struct WantedMemory {
    pub(super) bytes: usize,
    pub(super) reservation: BoxFuture<'static, Reservation>,
}

/// A request that can start.
pub(super) struct CompleteRequest {
    pub(super) message: Message,
    pub(super) received: Time,
}

impl PartialRequest {
    /// Creates the state of a request whose body is still to be read.
    pub(super) fn new(head: Head, received: Time) -> Self {
        Self {
            body: BodyReader::new(head.framing),
            continue_due: head.expects_continue,
            wanted: None,
            received,
            head,
        }
    }

    /// Takes the memory that the body waited for.
    pub(super) fn grant(&mut self, reservation: Reservation) {
        let wanted = self.wanted.take();
        self.body.grant(wanted.map_or(0, |wanted| wanted.bytes), reservation);
    }

    /// The time after `last_progress` at which the body is given up: its next part has to arrive within
    /// the timeout of a head, and the whole within that of an idle connection.
    pub(super) fn timeout(&self, bounds: Bounds, last_progress: Time) -> Duration {
        if self.wanted.is_some() {
            return bounds.idle_timeout;
        }
        let end = self.received + bounds.idle_timeout;
        bounds.header_timeout.min(end.since(last_progress))
    }
}

/// Waits until the other side has closed the connection. Unread input, which the connection may have while
/// it is not read, does not hide that.
pub(super) async fn until_closed(reader: &OwnedReadHalf) {
    // Of the two kinds of readiness that this interest stands for, only the end of the input is registered.
    let ready = reader.ready(Interest::PRIORITY).await;
    if ready.is_ok_and(|ready| !ready.is_read_closed()) {
        std::future::pending::<()>().await;
    }
}
