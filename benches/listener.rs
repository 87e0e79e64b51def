//! Compares the project's own listener, hyper and xitca-web in one run: whether handlers keep running
//! after the caller has disconnected, and how long pipelined requests take.
//!
//! `cargo bench --bench listener`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use gypsumtack::dialect::Dialect;
use gypsumtack::message::{Answer, Message, Response};
use gypsumtack::pipeline::{self, Delivery, Hooks};
use gypsumtack::reason::Reason;
use gypsumtack::server::{self, Bounds};
use gypsumtack::time::Clock;
use gypsumtack_standin::caller::{Caller, CallerRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::handler::state::StateRef;
use xitca_web::route::get;

/// Number of requests sent to each listener and then abandoned.
const REQUESTS: usize = 200;

/// Time that a handler takes.
const HANDLER_TIME: Duration = Duration::from_millis(500);

/// Number of requests that one caller pipelines, that is, sends without waiting for answers.
const PIPELINED_REQUESTS: usize = 4;

/// Time after which a caller disconnects.
const CALLER_TIMEOUT: Duration = Duration::from_millis(50);

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(run());
}

async fn run() {
    let new_counter = || Arc::new(AtomicU32::new(0));
    let (own, hyper, xitca) = (new_counter(), new_counter(), new_counter());
    let (stop_sender, stop_receiver) = watch::channel(false);
    let own_address = start_own(Arc::clone(&own), stop_receiver.clone()).await;
    let hyper_address = start_hyper(Arc::clone(&hyper), stop_receiver).await;
    let (xitca_address, handle) = start_xitca(Arc::clone(&xitca));
    for (name, address, completed) in [
        ("own", own_address, &own),
        ("hyper", hyper_address, &hyper),
        ("xitca-web", xitca_address, &xitca),
    ] {
        let requests = (0..REQUESTS).map(|_| send_and_abandon(address));
        futures::future::join_all(requests).await;
        tokio::time::sleep(HANDLER_TIME * 2).await;
        let completed = completed.load(Ordering::Relaxed);
        println!(
            "{name:<10} abandoned requests {REQUESTS}  \
             handlers run to completion {completed}  \
             {PIPELINED_REQUESTS} pipelined requests {:.0} ms",
            time_pipelined(address).await.as_secs_f64() * 1e3
        );
    }
    let _ = stop_sender.send(true);
    handle.stop(false);
}

/// Sends one request and disconnects before the handler is done.
async fn send_and_abandon(address: SocketAddr) {
    let caller = Caller::new();
    let _ =
        tokio::time::timeout(CALLER_TIMEOUT, caller.send(address, CallerRequest::get("/"))).await;
}

/// Returns the total time of [`PIPELINED_REQUESTS`] requests on one connection, each of which
/// takes [`HANDLER_TIME`].
async fn time_pipelined(address: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(address).await.expect("the listener accepts connections");
    let clock = Clock::start();
    let requests = "GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(PIPELINED_REQUESTS);
    stream.write_all(requests.as_bytes()).await.expect("the listener reads requests");
    let mut answers = Vec::new();
    while answers.windows(9).filter(|window| window == b"HTTP/1.1 ").count() < PIPELINED_REQUESTS {
        stream.read_buf(&mut answers).await.expect("the listener answers");
    }
    clock.elapsed()
}

/// Starts the listener that the daemon uses for callers.
async fn start_own(completed: Arc<AtomicU32>, stop: watch::Receiver<bool>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let handler = move |request_id, _: Message, _| {
        let completed = Arc::clone(&completed);
        async move {
            tokio::time::sleep(HANDLER_TIME).await;
            completed.fetch_add(1, Ordering::Relaxed);
            Answer::not_run(request_id, Reason::NoDocument)
        }
    };
    let bounds = || Bounds::internal(1_000);
    let hooks = Hooks { handler, bounds, on_delivery: |_: Delivery<'_>| () };
    tokio::spawn(pipeline::serve(listener, Dialect::own(), stop, hooks));
    address
}

/// Starts the hyper listener, which the daemon uses for egress.
async fn start_hyper(completed: Arc<AtomicU32>, stop: watch::Receiver<bool>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let handler = move |_| {
        let completed = Arc::clone(&completed);
        async move {
            tokio::time::sleep(HANDLER_TIME).await;
            completed.fetch_add(1, Ordering::Relaxed);
            Response::new(bytes::Bytes::new())
        }
    };
    tokio::spawn(server::serve(listener, Bounds::internal(1_000), Dialect::own(), stop, handler));
    address
}

/// Starts xitca-web.
fn start_xitca(completed: Arc<AtomicU32>) -> (SocketAddr, xitca_server::Handle) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let handle = xitca_server::start(listener, completed);
    (address, handle)
}

async fn handle_request(StateRef(completed): StateRef<'_, AtomicU32>) -> &'static str {
    tokio::time::sleep(HANDLER_TIME).await;
    completed.fetch_add(1, Ordering::Relaxed);
    "done"
}

/// The xitca-web server, which runs on a thread of its own.
mod xitca_server {
    use super::{App, Arc, AtomicU32, get, handle_request, handler_service};

    /// Stops the server.
    pub(super) struct Handle(Box<dyn Fn(bool)>);

    impl Handle {
        pub(super) fn stop(&self, graceful: bool) {
            (self.0)(graceful);
        }
    }

    pub(super) fn start(listener: std::net::TcpListener, completed: Arc<AtomicU32>) -> Handle {
        let mut server = App::new()
            .with_state(completed)
            .at("/", get(handler_service(handle_request)))
            .serve()
            .worker_threads(1)
            .disable_signal()
            .listen(listener)
            .expect("the listener is usable")
            .run();
        let handle = server.handle().expect("the server runs");
        std::thread::spawn(move || server.wait());
        Handle(Box::new(move |graceful| handle.stop(graceful)))
    }
}
