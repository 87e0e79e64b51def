//! One connection to a peer, and how long it has owed an answer.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tarpc::client;
use tokio::sync::watch;

use super::{CallError, PeerClient};
use crate::codec::Postcard;
use crate::handshake;
use crate::shared::Shared;
use crate::sync::lock;
use crate::time::{Clock, Time};

/// Maximum number of calls that wait to be written to one connection.
const MAX_PENDING: usize = 1_000;

/// Minimum age of a connection that is taken for a silent one before a ping has told. A daemon that is late
/// to answer on a new connection is slow, and another connection would only add to its work.
const MIN_SILENT_AGE: Duration = Duration::from_secs(1);

/// A connection to one peer.
#[derive(Debug)]
pub(super) struct PeerConnection {
    pub client: PeerClient,
    opened: Time,
    debt: Mutex<Debt>,
    closed: watch::Sender<bool>,
}

/// The answers that a peer owes on one connection.
#[derive(Debug, Default)]
struct Debt {
    /// Number of calls that wait for an answer.
    pending: usize,
    /// Since when the peer has not answered although it was called. A call that is given up does not end
    /// this, or a connection whose calls are all given up soon would never count as silent.
    since: Option<Time>,
}

/// Counts a call as pending on its connection until it is dropped.
struct PendingCall<'a>(&'a PeerConnection);

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        lock(&self.0.debt).pending -= 1;
    }
}

impl PeerConnection {
    /// Opens a connection to the daemon at `address`.
    pub async fn open(shared: &Shared, address: SocketAddr) -> io::Result<Arc<Self>> {
        let frames = handshake::open(&shared.keys, address).await?;
        let transport = tarpc::serde_transport::new(frames, Postcard);
        let mut config = client::Config::default();
        config.max_in_flight_requests = usize::MAX;
        config.pending_request_buffer = MAX_PENDING;
        Ok(Arc::new(Self {
            client: PeerClient::new(config, transport).spawn(),
            opened: shared.board.clock.now(),
            debt: Mutex::default(),
            closed: watch::Sender::new(false),
        }))
    }

    /// Waits for an answer, or until the connection is closed.
    pub async fn call<T>(
        &self,
        clock: Clock,
        answer: impl Future<Output = Result<T, client::RpcError>>,
    ) -> Result<T, CallError> {
        {
            let mut debt = lock(&self.debt);
            debt.pending += 1;
            debt.since.get_or_insert(clock.now());
        }
        let pending = PendingCall(self);
        let mut closed = self.closed.subscribe();
        let result = tokio::select! {
            answer = answer => answer.map_err(|error| match error {
                client::RpcError::DeadlineExceeded => CallError::TimedOut,
                _ => CallError::ConnectionLost,
            }),
            _ = closed.wait_for(|closed| *closed) => Err(CallError::ConnectionLost),
        };
        drop(pending);
        if result.is_ok() {
            self.record_answer(clock.now());
        }
        result
    }

    /// Ends all pending calls.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Records that the peer has answered, so that other pending calls wait from `now` on.
    pub fn record_answer(&self, now: Time) {
        let mut debt = lock(&self.debt);
        debt.since = (debt.pending > 0).then_some(now);
    }

    /// Whether the peer has owed an answer for longer than `span`.
    pub fn is_silent(&self, span: Duration, now: Time) -> bool {
        lock(&self.debt).since.is_some_and(|since| now.since(since) > span)
    }

    /// Whether the connection has been open for so long that a late answer is a sign of silence.
    pub fn may_be_silent(&self, now: Time) -> bool {
        now.since(self.opened) >= MIN_SILENT_AGE
    }
}
