//! Pool of keep-alive connections to the local backend server. A connection carries one request at a
//! time.
//!
//! The most recently used connection is reused first, so that surplus connections expire. A backend
//! server may drop an idle connection without closing it, and reset it when the next request arrives.
//! That cannot be told from a server that ran the request and lost the answer, so the request is not sent
//! again here: whoever sent it decides, within the [retry budget](crate::retry). Requests that must not
//! run twice only use a connection whose last use is at most `MAX_REUSE_AGE` ago.
//!
//! A connection is kept only after an answer that belongs to its request, and used again only if nothing
//! has arrived behind that answer. Otherwise every later answer could be that of an earlier request.
//!
//! A faulty backend server may send bytes without end. The head of an answer is bounded, its body is read
//! only if the head does not decide already what becomes of the answer, and the bodies of all answers
//! share a bound on memory. docs/DESIGN.md, "Answers".

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, StatusCode};
use http_body::Body as _;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body::{self, BodyMemory, UNRESERVED_BYTES};
use crate::message::{self, Request};
use crate::sync::lock;
use crate::time::{Clock, Time};

/// Idle time-out of a connection if the backend server announces none in its `keep-alive` header.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// How much earlier than the backend server this daemon closes an idle connection, so that no request
/// is sent while the backend server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Maximum time since the last use of a connection for a request that is not idempotent. This is well
/// below the shortest idle time-out seen at backend servers, one second. A new connection costs about a
/// millisecond.
const MAX_REUSE_AGE: Duration = Duration::from_millis(250);

/// Length of a request body, in bytes, from which the backend server may answer before the body has been
/// written. Shorter ones fit into the buffers of a connection.
const LONG_BODY_BYTES: u64 = 64 << 10;

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Time in which the body of a refusal has to arrive, so that its connection can be kept.
const SKIP_TIMEOUT: Duration = Duration::from_millis(100);

/// The header in which a backend server announces its idle time-out.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why a request got no complete answer.
#[derive(Debug)]
pub enum RequestError {
    /// The request was not sent.
    Unsent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
    /// A reused connection was closed or reset before an answer. The backend server may have dropped it
    /// while it was idle.
    Disconnected(String),
    /// The answer with this status does not belong to the request. The request may have run.
    Unmatched(StatusCode),
    /// The head of the answer arrived, but its body could not be read in full or is over the limit.
    Incomplete(String),
}

impl RequestError {
    /// The error of a reused connection that failed after the request may have been sent.
    fn reused(error: &hyper::Error) -> Self {
        let text = message::error_chain(error);
        if error.is_parse() { Self::Broken(text) } else { Self::Disconnected(text) }
    }
}

/// Idle connections to the local backend server.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    /// Memory for the long bodies of answers.
    memory: BodyMemory,
    idle: Arc<Mutex<Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    connection: Connection,
    last_used: Time,
    expires: Time,
}

impl Connections {
    /// Creates an empty pool. The long bodies of answers share `memory`.
    pub fn new(clock: Clock, memory: BodyMemory) -> Self {
        Self { clock, memory, idle: Arc::default() }
    }

    /// Sends a request once and reads its answer, whose body may have up to `limit` bytes. `judge` decides
    /// from the head of the answer whether it belongs to the request and whether its body is needed. Only
    /// an idempotent request uses connections that have been idle for long, since it can be tried elsewhere
    /// if the backend server has dropped the connection.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer. Only [`RequestError::Unsent`] guarantees that the
    /// backend server has not received the request.
    pub async fn send_request(
        &self,
        address: SocketAddr,
        request: Request,
        is_idempotent: bool,
        limit: u64,
        judge: impl Fn(&AnswerHead<'_>) -> BodyUse,
    ) -> Result<WholeAnswer, RequestError> {
        let mut request = request;
        let has_long_body = request.body().size_hint().lower() >= LONG_BODY_BYTES;
        // An idle connection may have just been closed. hyper then returns the request unsent.
        while let Some(mut connection) = self.take(address, is_idempotent) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    let (answer, is_read) = self.read_answer(response, limit, false, judge).await?;
                    if is_read {
                        self.keep(address, connection, &answer.1, has_long_body).await;
                    }
                    return Ok(answer);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(RequestError::reused(error.error())),
                },
            }
        }
        let mut connection = Connection::open(address).await.map_err(RequestError::Unsent)?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let (answer, is_read) = self.read_answer(response, limit, true, judge).await?;
                if is_read {
                    self.keep(address, connection, &answer.1, has_long_body).await;
                }
                Ok(answer)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => Err(RequestError::Unsent(message::error_chain(error.error()))),
                None => Err(RequestError::Broken(message::error_chain(error.error()))),
            },
        }
    }

    /// Reads an answer. Also returns whether it was read to its end, so that its connection can be kept.
    async fn read_answer(
        &self,
        response: http::Response<Incoming>,
        limit: u64,
        is_first: bool,
        judge: impl Fn(&AnswerHead<'_>) -> BodyUse,
    ) -> Result<(WholeAnswer, bool), RequestError> {
        let (parts, body) = response.into_parts();
        let (status, headers) = (parts.status, parts.headers);
        let body_use = judge(&AnswerHead { status, headers: &headers, is_first });
        if body_use == BodyUse::Unmatched {
            return Err(RequestError::Unmatched(status));
        }
        if status.is_informational() {
            return Err(RequestError::Incomplete(format!("{status} is no final answer")));
        }
        if body_use == BodyUse::Ignored {
            let is_read = skip(body).await;
            return Ok(((status, headers, Bytes::new()), is_read));
        }
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let body = body::collect(body, limit, &self.memory).await;
        let body = body.map_err(|error| RequestError::Incomplete(error.to_string()))?;
        Ok(((status, headers, body), true))
    }

    /// Returns a connection to the pool, unless the `headers` of its answer say that it closes. The
    /// backend server may have answered before it has read a long body; the connection then returns to
    /// the pool once it has, and the answer does not wait for that. One that does not read on in the time
    /// for which it keeps idle connections loses the connection, and with it the body.
    async fn keep(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        headers: &HeaderMap,
        has_long_body: bool,
    ) {
        if closes_connection(headers) {
            return;
        }
        let (clock, idle) = (self.clock, Arc::clone(&self.idle));
        let timeout = idle_timeout(headers);
        let returned = async move {
            let ready = tokio::time::timeout(timeout, connection.sender.ready());
            if matches!(ready.await, Ok(Ok(()))) {
                let last_used = clock.now();
                let expires = last_used + timeout;
                lock(&idle).push(Idle { address, connection, last_used, expires });
            }
        };
        match has_long_body {
            true => drop(tokio::spawn(returned)),
            false => returned.await,
        }
    }

    /// Removes and returns the most recently used connection that is still usable. For a request that is
    /// not idempotent, its last use has to be at most `MAX_REUSE_AGE` ago.
    fn take(&self, address: SocketAddr, is_idempotent: bool) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        idle.retain(|idle| {
            idle.address == address && idle.expires > now && !idle.connection.sender.is_closed()
        });
        let is_recent =
            |idle: &mut Idle| is_idempotent || now.since(idle.last_used) <= MAX_REUSE_AGE;
        while let Some(recent) = idle.pop_if(is_recent) {
            if recent.connection.is_quiet() {
                return Some(recent.connection);
            }
        }
        None
    }
}

/// An open connection to the backend server.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The socket, which the task that drives the connection owns.
    socket: Weak<std::net::TcpStream>,
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Self, String> {
        let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let socket = stream.as_fd().try_clone_to_owned().map_err(|error| error.to_string())?;
        let socket = Arc::new(std::net::TcpStream::from(socket));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| message::error_chain(&error))?;
        let opened = Self { sender, socket: Arc::downgrade(&socket) };
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                let error = message::error_chain(&error);
                tracing::debug!(event = "backend-connection-ended", error);
            }
            drop(socket);
        });
        Ok(opened)
    }

    /// Whether the socket is open and has no unread input. hyper may not have looked at it since the last
    /// answer, and would take the input for the answer to the next request.
    fn is_quiet(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return false };
        let peeked = socket.peek(&mut [0]);
        let is_quiet = peeked.as_ref().is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        if !is_quiet {
            tracing::debug!(event = "backend-connection-not-quiet", ?peeked);
        }
        is_quiet
    }
}

/// The head of an answer, which tells whether the answer belongs to its request.
#[derive(Debug)]
pub struct AnswerHead<'a> {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// Whether the connection has carried no request before, so that nothing can be left of one.
    pub is_first: bool,
}

/// What becomes of the body of an answer, as its head tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyUse {
    /// It is delivered, so all of it is needed.
    Delivered,
    /// The head says all that is needed, so the body is not kept.
    Ignored,
    /// The answer does not belong to the request.
    Unmatched,
}

/// An answer with its whole body, which is empty if it is ignored.
pub type WholeAnswer = (StatusCode, HeaderMap, Bytes);

/// Skips a body that is not needed. Returns whether its end was reached, which a long body, one of unknown
/// length and one that is late are not read to.
async fn skip(body: Incoming) -> bool {
    let is_short = body.size_hint().exact().is_some_and(|length| length <= UNRESERVED_BYTES as u64);
    let collected = Limited::new(body, UNRESERVED_BYTES).collect();
    is_short && matches!(tokio::time::timeout(SKIP_TIMEOUT, collected).await, Ok(Ok(_)))
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',')).any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn idle_timeout(headers: &HeaderMap) -> Duration {
    let text = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let timeout = text.split(',').find_map(|token| token.trim().strip_prefix("timeout="));
    let seconds = timeout.and_then(|seconds| seconds.parse().ok());
    seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs).saturating_sub(IDLE_MARGIN)
}
