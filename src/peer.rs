//! RPC between daemons, over tarpc.
//!
//! Requests for a backend server, heartbeats, loans and documents are sent over connections that are
//! authenticated mutually with the fleet's secret. Calls are multiplexed: many share one connection, and
//! all of them fail when it stops answering. docs/DESIGN.md, "Links".

mod bodies;
mod connection;
mod heartbeat;
mod server;
mod watch;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::future::Either;
use serde::{Deserialize, Serialize};
use tarpc::{client, context};
use tokio::sync::OnceCell;

use self::connection::PeerConnection;
pub use self::heartbeat::Heartbeat;
use self::heartbeat::{merge_heartbeat, own_heartbeat};
pub use self::server::serve;
pub use self::watch::watch_connections;
use crate::document::RawDocument;
use crate::envelope::Envelope;
use crate::held_bodies::BodyId;
use crate::member::Record;
use crate::message::{Answer, Message};
use crate::overload::{DemandReport, OverloadStatus};
use crate::reservation::{SlotGrant, SlotId};
use crate::roster::Roster;
use crate::share::LOAN_VALIDITY;
use crate::shared::Shared;
use crate::sync::lock;
use crate::time::{Clock, Time};

/// Timeout for opening a connection. A VM without power does not even refuse the connection, and a
/// request waits for the whole timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for an exchange of heartbeats, and for the handshake of an incoming connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for reporting offered work. A failed report is not repeated, because the next one follows
/// soon.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for fetching a document or a roster.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time until the deadline of a call. The timers of a connection end it for a deadline that is
/// years away, as a route without a sensible one has.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Time after which a call that may be made twice is made again over a new connection.
const RESEND_AFTER: Duration = Duration::from_millis(250);

#[tarpc::service]
trait Peer {
    async fn run(envelope: Envelope, message: Message) -> Answer;
    async fn reserve(envelope: Envelope, body_bytes: usize) -> SlotGrant;
    async fn run_reserved(slot: SlotId, envelope: Envelope, message: Message) -> Answer;
    async fn upload(slot: SlotId, part: Bytes) -> bool;
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    async fn borrow(request: LoanRequest) -> LoanResponse;
    async fn report_demand(vm: String, report: DemandReport) -> OverloadStatus;
    async fn document(newer_than: u64) -> Option<RawDocument>;
    async fn roster(newer_than: u64) -> Option<Roster>;
    async fn ping();
    async fn now() -> Time;
    async fn resend(sent: Time, envelope: Envelope, message: Message) -> Option<Answer>;
    async fn body_part(id: BodyId, offset: u64) -> Option<Bytes>;
}

/// Asks a peer to lend one token of a customer's rate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The customer whose request waits for a token.
    pub customer: String,
}

/// Answers a [`LoanRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoanResponse {
    /// Whether the lender gave one of its tokens to the borrower.
    pub granted: bool,
}

/// Why a call to a peer returned no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The connection failed or stopped answering after the call may have been sent.
    ConnectionLost,
    /// The deadline of the call passed.
    TimedOut,
}

/// Connections to peers, opened on first use.
#[derive(Debug, Default)]
pub struct PeerConnections {
    connections: Mutex<BTreeMap<SocketAddr, Arc<OnceCell<Arc<PeerConnection>>>>>,
    /// Whether a connection has gone silent lately.
    silence: AtomicBool,
}

impl PeerConnections {
    /// Runs a request on the local backend server of the daemon at `address`.
    ///
    /// Dropping the future cancels the request at that daemon.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if there is no answer. Only [`CallError::Unreachable`] guarantees that
    /// the request did not run.
    pub async fn run(
        &self,
        shared: &Shared,
        address: SocketAddr,
        envelope: Envelope,
        message: Message,
    ) -> Result<Answer, CallError> {
        let time_left = Duration::from_micros(envelope.time_left_us);
        let connection = self.connection(shared, address).await?;
        let answer = connection.client.run(context_with_timeout(time_left), envelope, message);
        let answer = self.call(shared, address, &connection, answer).await?;
        self.complete(shared, address, answer, time_left).await
    }

    /// Waits for a slot of the backend server of the daemon at `address`, and for memory there for a body
    /// of `body_bytes`.
    ///
    /// Dropping the future gives the slot back.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if there is no answer. The request did not run in any case.
    pub async fn reserve(
        &self,
        shared: &Shared,
        address: SocketAddr,
        envelope: Envelope,
        body_bytes: usize,
    ) -> Result<SlotGrant, CallError> {
        let time_left = Duration::from_micros(envelope.time_left_us);
        let connection = self.connection(shared, address).await?;
        let grant =
            connection.client.reserve(context_with_timeout(time_left), envelope, body_bytes);
        self.call(shared, address, &connection, grant).await
    }

    /// Runs a request in a slot that the daemon at `address` holds for it.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::run`].
    pub async fn run_reserved(
        &self,
        shared: &Shared,
        address: SocketAddr,
        slot: SlotId,
        envelope: Envelope,
        message: Message,
    ) -> Result<Answer, CallError> {
        let time_left = Duration::from_micros(envelope.time_left_us);
        let context = context_with_timeout(time_left);
        let connection = self.connection(shared, address).await?;
        let answer = connection.client.run_reserved(context, slot, envelope, message);
        let answer = self.call(shared, address, &connection, answer).await?;
        self.complete(shared, address, answer, time_left).await
    }

    /// Runs a request whose connection was lost, if it has not arrived at the daemon at `address` before.
    /// `sent` is when it was sent first. Returns `None` if it may have arrived.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::run`].
    pub async fn resend(
        &self,
        shared: &Shared,
        address: SocketAddr,
        sent: Time,
        envelope: Envelope,
        message: Message,
    ) -> Result<Option<Answer>, CallError> {
        let time_left = Duration::from_micros(envelope.time_left_us);
        let context = context_with_timeout(time_left);
        // Both calls go to one process, whose clock the second one refers to.
        let connection = self.connection(shared, address).await?;
        let its_now = connection.client.now(context);
        let its_now = self.call(shared, address, &connection, its_now).await?;
        let sent = its_now - shared.board.clock.now().since(sent);
        let answer = connection.client.resend(context, sent, envelope, message);
        match self.call(shared, address, &connection, answer).await? {
            Some(answer) => self.complete(shared, address, answer, time_left).await.map(Some),
            None => Ok(None),
        }
    }

    /// Exchanges heartbeats with one peer. Returns whether it answered.
    pub async fn exchange_heartbeat(&self, shared: &Shared, member: &Record) -> bool {
        let heartbeat = own_heartbeat(shared, &member.vm);
        let send = |client: PeerClient, context| {
            let heartbeat = heartbeat.clone();
            async move { client.heartbeat(context, heartbeat).await }
        };
        let reply = self.call_again_within(HEARTBEAT_TIMEOUT, shared, member.control, send).await;
        let Some(reply) = reply else { return false };
        merge_heartbeat(shared, reply);
        true
    }

    /// Borrows one token for `customer` from the daemon at `address`.
    ///
    /// Returns whether a token was granted within [`LOAN_VALIDITY`]. A token that arrives later is not
    /// used; the lender releases it some time after it has expired here.
    pub async fn borrow(&self, shared: &Shared, address: SocketAddr, customer: &str) -> bool {
        let sent = shared.board.clock.now();
        let request = LoanRequest { customer: customer.to_owned() };
        let send = async |client: &PeerClient, context| client.borrow(context, request).await;
        let response = self.call_within(LOAN_VALIDITY, shared, address, send).await;
        let in_time = shared.board.clock.now().since(sent) <= LOAN_VALIDITY;
        response.is_some_and(|response| response.granted) && in_time
    }

    /// Reports the demand here for the service of the daemon at `address`, and returns that daemon's
    /// overload status, which contains the share of it to refuse.
    pub async fn report_demand(
        &self,
        shared: &Shared,
        address: SocketAddr,
        report: DemandReport,
    ) -> Option<OverloadStatus> {
        let vm = shared.board.settings.vm.clone();
        let send = |client: PeerClient, context| {
            let vm = vm.clone();
            async move { client.report_demand(context, vm, report).await }
        };
        self.call_again_within(REPORT_TIMEOUT, shared, address, send).await
    }

    /// Fetches the document from the daemon at `address` if it is newer than the one in force here.
    pub async fn document(&self, shared: &Shared, address: SocketAddr) -> Option<RawDocument> {
        let newer_than = shared.board.policy.load().version;
        let send =
            |client: PeerClient, context| async move { client.document(context, newer_than).await };
        self.call_again_within(FETCH_TIMEOUT, shared, address, send).await.flatten()
    }

    /// Fetches the roster from the daemon at `address` if it is newer than the local one.
    pub async fn roster(&self, shared: &Shared, address: SocketAddr) -> Option<Roster> {
        let newer_than = shared.board.roster.load().version;
        let send =
            |client: PeerClient, context| async move { client.roster(context, newer_than).await };
        self.call_again_within(FETCH_TIMEOUT, shared, address, send).await.flatten()
    }

    /// Calls the daemon at `address`. Returns `None` if it does not answer within `timeout`.
    async fn call_within<T>(
        &self,
        timeout: Duration,
        shared: &Shared,
        address: SocketAddr,
        send: impl AsyncFnOnce(&PeerClient, context::Context) -> Result<T, client::RpcError>,
    ) -> Option<T> {
        let call = async {
            let connection = self.connection(shared, address).await?;
            let answer = send(&connection.client, context_with_timeout(timeout));
            self.call(shared, address, &connection, answer).await
        };
        tokio::time::timeout(timeout, call).await.ok()?.ok()
    }

    /// Calls the daemon at `address` with a call that may be made twice: once more over a new connection if
    /// the answer takes longer than [`RESEND_AFTER`] or half of `timeout`, since a kept connection may be
    /// silent for good. Returns `None` if neither is answered within `timeout`.
    async fn call_again_within<T, F>(
        &self,
        timeout: Duration,
        shared: &Shared,
        address: SocketAddr,
        send: impl Fn(PeerClient, context::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let send = |connection: &PeerConnection| {
            send(connection.client.clone(), context_with_timeout(timeout))
        };
        let call = async {
            let kept = self.connection(shared, address).await?;
            let mut first = pin!(self.call(shared, address, &kept, send(&kept)));
            if let Ok(result) =
                tokio::time::timeout(RESEND_AFTER.min(timeout / 2), &mut first).await
            {
                return result;
            }
            if !kept.may_be_silent(shared.board.clock.now()) {
                return first.await;
            }
            self.remove(address, &kept);
            let second = async {
                let new = self.connection(shared, address).await?;
                let result = self.call(shared, address, &new, send(&new)).await;
                if result.is_ok() {
                    self.close(address, &kept);
                }
                result
            };
            match futures::future::select(first, pin!(second)).await {
                Either::Left((Err(_), second)) => second.await,
                Either::Right((Err(_), first)) => first.await,
                Either::Left((answer, _)) | Either::Right((answer, _)) => answer,
            }
        };
        tokio::time::timeout(timeout, call).await.ok()?.ok()
    }

    async fn call<T>(
        &self,
        shared: &Shared,
        address: SocketAddr,
        connection: &Arc<PeerConnection>,
        answer: impl Future<Output = Result<T, client::RpcError>>,
    ) -> Result<T, CallError> {
        let result = connection.call(shared.board.clock, answer).await;
        if matches!(result, Err(CallError::ConnectionLost)) {
            self.close(address, connection);
        }
        result
    }

    /// Returns the connection to `address` and opens one if there is none. Concurrent callers share one
    /// attempt.
    async fn connection(
        &self,
        shared: &Shared,
        address: SocketAddr,
    ) -> Result<Arc<PeerConnection>, CallError> {
        let cell = Arc::clone(lock(&self.connections).entry(address).or_default());
        let open = async {
            let opened =
                tokio::time::timeout(CONNECT_TIMEOUT, PeerConnection::open(shared, address)).await;
            opened.ok()?.inspect_err(|error| log_unopened(shared, address, error)).ok()
        };
        let connection =
            cell.get_or_try_init(|| async { open.await.ok_or(CallError::Unreachable) }).await;
        connection.cloned()
    }

    fn close(&self, address: SocketAddr, connection: &Arc<PeerConnection>) {
        self.remove(address, connection);
        connection.close();
    }

    /// Lets later calls open another connection. Those that are pending on this one wait on.
    fn remove(&self, address: SocketAddr, connection: &Arc<PeerConnection>) {
        let mut connections = lock(&self.connections);
        let current = connections.get(&address).and_then(|cell| cell.get());
        if current.is_some_and(|known| Arc::ptr_eq(known, connection)) {
            connections.remove(&address);
        }
    }

    /// Records that a connection has gone silent.
    fn note_silence(&self) {
        self.silence.store(true, Ordering::Relaxed);
    }

    /// Whether a connection has gone silent since the last call.
    fn take_silence(&self) -> bool {
        self.silence.swap(false, Ordering::Relaxed)
    }

    /// Returns the connections that have owed an answer for longer than `span`.
    fn silent(&self, span: Duration, now: Time) -> Vec<(SocketAddr, Arc<PeerConnection>)> {
        let silent = |(_, connection): &(_, Arc<PeerConnection>)| connection.is_silent(span, now);
        self.open().into_iter().filter(silent).collect()
    }

    /// Returns all open connections.
    fn open(&self) -> Vec<(SocketAddr, Arc<PeerConnection>)> {
        let connections = lock(&self.connections);
        let open = connections.iter().filter_map(|(address, cell)| Some((*address, cell.get()?)));
        open.map(|(address, connection)| (address, Arc::clone(connection))).collect()
    }

    /// Whether the daemon at `address` answers a ping within `timeout`.
    async fn is_answered(&self, shared: &Shared, address: SocketAddr, timeout: Duration) -> bool {
        let send = async |client: &PeerClient, context| client.ping(context).await;
        self.call_within(timeout, shared, address, send).await.is_some()
    }
}

fn context_with_timeout(timeout: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Clock::instant_after(timeout.min(MAX_CALL_TIMEOUT));
    context
}

fn log_unopened(shared: &Shared, address: SocketAddr, error: &io::Error) {
    tracing::debug!(event = "link-unopened", vm = shared.board.settings.vm, %address, %error);
}
