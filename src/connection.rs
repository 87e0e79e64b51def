//! Connections to the local backend server: few, kept, and never shared by two requests at once.
//!
//! The one used last goes first, so that those that are not needed grow old and are closed. A backend server
//! may forget an idle connection without a word, and resets what comes on it next. So a request that may be
//! sent again is sent again, and another one takes only a connection that was used a moment ago.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::message::{self, Request};
use crate::sync::lock;
use crate::time::{Clock, Time};

/// How long an idle connection is kept when the backend server does not say how long it keeps it.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// How much sooner than the backend server an idle connection is closed here, so that no request
/// crosses its close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// How long after its last use a connection serves a request that may not be sent twice. Well below the
/// shortest idle time seen at backend servers, one second; a new connection costs about a millisecond.
const FRESH_TIME: Duration = Duration::from_millis(250);

/// Says how long a backend server keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How an answer was lost.
#[derive(Debug)]
pub enum RequestError {
    /// No byte of the request left this daemon.
    Unsent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
    /// The answer came, but not all of it.
    Incomplete(String),
}

/// Idle connections to the local backend server.
#[derive(Debug)]
pub struct Connections {
    clock: Clock,
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    used: Time,
    end: Time,
}

impl Connections {
    /// Makes an empty set.
    pub fn new(clock: Clock) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// Sends a request and collects its whole answer. `again` says that the request may reach the backend
    /// server twice, when a kept connection broke before any answer.
    ///
    /// # Errors
    ///
    /// Returns how the answer was lost. Only after [`RequestError::Unsent`] it is certain that the backend
    /// server has not seen the request.
    pub async fn send_request(
        &self,
        address: SocketAddr,
        request: Request,
        again: bool,
        limit: u64,
    ) -> Result<(StatusCode, HeaderMap, Bytes), RequestError> {
        let mut request = request;
        // An idle connection may have closed a moment ago; hyper gives such a request back unsent.
        while let Some(mut sender) = self.take(address, again) {
            let copy = again.then(|| request.clone());
            match sender.try_send_request(request).await {
                Ok(response) => return self.finish(address, sender, response, limit).await,
                Err(mut error) => match error.take_message().or(copy) {
                    Some(unsent) => request = unsent,
                    None => return Err(RequestError::Broken(message::error_chain(error.error()))),
                },
            }
        }
        let mut sender = connect(address).await.map_err(RequestError::Unsent)?;
        match sender.try_send_request(request).await {
            Ok(response) => self.finish(address, sender, response, limit).await,
            Err(mut error) => match error.take_message() {
                Some(_) => Err(RequestError::Unsent(message::error_chain(error.error()))),
                None => Err(RequestError::Broken(message::error_chain(error.error()))),
            },
        }
    }

    async fn finish(
        &self,
        address: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        response: http::Response<Incoming>,
        limit: u64,
    ) -> Result<(StatusCode, HeaderMap, Bytes), RequestError> {
        let (parts, body) = response.into_parts();
        let body = message::collect_body(body, limit).await.map_err(RequestError::Incomplete)?;
        if !closes(&parts.headers) && sender.ready().await.is_ok() {
            let used = self.clock.now();
            let end = used + idle_time(&parts.headers);
            lock(&self.idle).push(Idle { address, sender, used, end });
        }
        Ok((parts.status, parts.headers, body))
    }

    /// The connection that was used last, if the backend server still keeps it.
    fn take(&self, address: SocketAddr, again: bool) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = lock(&self.idle);
        idle.retain(|idle| idle.address == address && idle.end > now && !idle.sender.is_closed());
        let last = idle.pop_if(|last| again || now.since(last.used) <= FRESH_TIME);
        last.map(|idle| idle.sender)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| message::error_chain(&error))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(
                event = "backend-connection-ended",
                error = message::error_chain(&error)
            );
        }
    });
    Ok(sender)
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

fn idle_time(headers: &HeaderMap) -> Duration {
    let text = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let timeout = text.split(',').find_map(|word| word.trim().strip_prefix("timeout="));
    let seconds = timeout.and_then(|seconds| seconds.parse().ok());
    seconds.map_or(IDLE_TIME, Duration::from_secs).saturating_sub(IDLE_MARGIN)
}
