//! HTTP server for the downstream calls of the local backend server, and for the stand-ins.
//!
//! It is based on hyper, because hyper drops the handler when the client disconnects. This propagates
//! cancellation down the call graph. docs/DESIGN.md, "Listeners", has a measurement that compares it
//! with xitca-web. Callers are served by [another listener](crate::pipeline).

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::dialect::Dialect;
use crate::message::{Answer, Response};
use crate::reason::Reason;

/// Time in which a connection over the limit has to send its request and read the refusal.
pub(crate) const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Multiple of the head limit up to which heads are refused with a reason. hyper itself answers larger
/// ones.
const HEAD_BUFFER_FACTOR: usize = 4;

/// Minimum buffer size that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Pause after the operating system failed to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum memory for the long bodies of all connections together, in bytes.
    pub body_memory: usize,
    /// Timeout for receiving a request.
    pub header_timeout: Duration,
    /// Timeout for an idle connection.
    pub idle_timeout: Duration,
    /// Time in which requests in flight have to end after the listener was told to stop.
    pub stop_timeout: Duration,
}

impl Bounds {
    /// Limits of a listener for a few trusted clients.
    pub const fn internal(connections: usize) -> Self {
        Self {
            connections,
            header_bytes: 64 << 10,
            body_bytes: 64 << 20,
            body_memory: 64 << 20,
            header_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
            stop_timeout: Duration::from_secs(30),
        }
    }
}

/// Waits for the next connection. Returns `None` once `stop` is true.
pub(crate) async fn accept(
    listener: &TcpListener,
    stop: &mut watch::Receiver<bool>,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return None,
        };
        if let Ok((stream, _)) = accepted {
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Serves `listener` until `stop` is true, then finishes the requests in flight and returns.
///
/// Requests and connections over the limits of `bounds` are refused with the headers of `dialect`.
pub async fn serve<H, F>(
    listener: TcpListener,
    bounds: Bounds,
    dialect: Dialect,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(http::Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let dialect = Arc::new(dialect);
    let slots = Arc::new(Semaphore::new(bounds.connections));
    while let Some(stream) = accept(&listener, &mut stop).await {
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            tokio::spawn(refuse(stream, bounds, Arc::clone(&dialect)));
            continue;
        };
        let handler = handler.clone();
        let refusal_dialect = Arc::clone(&dialect);
        let service = service_fn(move |request| {
            let oversized = oversized_head(&request, bounds);
            let answer = match oversized {
                Some(reason) => Err(refusal(reason, &refusal_dialect)),
                None => Ok(handler(request)),
            };
            async move {
                let response = match answer {
                    Ok(handling) => handling.await,
                    Err(refusal) => refusal,
                };
                Ok::<_, Infallible>(response.map(Full::new))
            }
        });
        let connection = builder(bounds).serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Returns the reason to refuse a request whose head is larger than `bounds` allow, or `None`.
fn oversized_head(request: &http::Request<Incoming>, bounds: Bounds) -> Option<Reason> {
    let headers = request.headers().iter();
    let size: usize = headers.map(|(name, value)| name.as_str().len() + value.len()).sum();
    let size = size + request.uri().path().len() + request.uri().query().map_or(0, str::len);
    let limit = bounds.header_bytes;
    (size > limit).then(|| {
        let problem = format!("the request's head has {size} bytes and may have {limit}");
        Reason::BadRequest { problem }
    })
}

fn refusal(reason: Reason, dialect: &Dialect) -> Response {
    Answer::not_run(dialect.refusal_id(), reason).into_response(dialect)
}

fn builder(bounds: Bounds) -> hyper::server::conn::http1::Builder {
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.header_bytes * HEAD_BUFFER_FACTOR + MIN_BUFFER_BYTES);
    builder
}

/// Refuses the first request of a connection over the limit, then closes the connection.
async fn refuse(stream: TcpStream, bounds: Bounds, dialect: Arc<Dialect>) {
    let limit = bounds.connections as u64;
    let service = service_fn(move |_| {
        let answer = refusal(Reason::TooManyConnections { limit }, &dialect);
        async move { Ok::<_, Infallible>(answer.map(Full::new)) }
    });
    let mut builder = builder(bounds);
    let connection = builder.keep_alive(false).serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
}
