//! Listeners side by side, in one run: work that goes on after its caller has gone, and the time that
//! pipelined requests take. `cargo bench --bench listener`.

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

/// Requests that are sent to each listener.
const REQUESTS: usize = 200;

/// How long a handler works.
const WORK: Duration = Duration::from_millis(500);

/// Requests that one caller sends without waiting for answers.
const PIPELINED: usize = 4;

/// When its caller goes away.
const PATIENCE: Duration = Duration::from_millis(50);

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(run());
}

async fn run() {
    let counter = || Arc::new(AtomicU32::new(0));
    let (own, hyper, xitca) = (counter(), counter(), counter());
    let (stop, stopped) = watch::channel(false);
    let own_address = start_own(Arc::clone(&own), stopped.clone()).await;
    let hyper_address = start_hyper(Arc::clone(&hyper), stopped).await;
    let (xitca_address, handle) = start_xitca(Arc::clone(&xitca));
    for (name, address, ended) in [
        ("own", own_address, &own),
        ("hyper", hyper_address, &hyper),
        ("xitca-web", xitca_address, &xitca),
    ] {
        let calls = (0..REQUESTS).map(|_| leave_early(address));
        futures::future::join_all(calls).await;
        tokio::time::sleep(WORK * 2).await;
        let ended = ended.load(Ordering::Relaxed);
        println!(
            "{name:<10} callers that went away {REQUESTS}  handlers that worked to the end {ended}  \
             {PIPELINED} pipelined requests {:.0} ms",
            pipelined(address).await.as_secs_f64() * 1e3
        );
    }
    let _ = stop.send(true);
    handle.stop(false);
}

async fn leave_early(address: SocketAddr) {
    let caller = Caller::new();
    let _ = tokio::time::timeout(PATIENCE, caller.send(address, CallerRequest::get("/"))).await;
}

/// How long pipelined requests take together, each of which works for [`WORK`].
async fn pipelined(address: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let clock = Clock::start();
    let requests = "GET / HTTP/1.1\r\nhost: x\r\n\r\n".repeat(PIPELINED);
    stream.write_all(requests.as_bytes()).await.expect("it reads");
    let mut answers = Vec::new();
    while answers.windows(9).filter(|nine| nine == b"HTTP/1.1 ").count() < PIPELINED {
        stream.read_buf(&mut answers).await.expect("it answers");
    }
    clock.elapsed()
}

async fn start_own(ended: Arc<AtomicU32>, stop: watch::Receiver<bool>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let handler = move |name, _: Message| {
        let ended = Arc::clone(&ended);
        async move {
            tokio::time::sleep(WORK).await;
            ended.fetch_add(1, Ordering::Relaxed);
            Answer::not_run(name, Reason::NoDocument)
        }
    };
    let bounds = || Bounds::internal(1_000);
    let hooks = Hooks { handler, bounds, on_delivery: |_: Delivery<'_>| () };
    tokio::spawn(pipeline::serve(listener, Dialect::own(), stop, hooks));
    address
}

async fn start_hyper(ended: Arc<AtomicU32>, stop: watch::Receiver<bool>) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let handler = move |_| {
        let ended = Arc::clone(&ended);
        async move {
            tokio::time::sleep(WORK).await;
            ended.fetch_add(1, Ordering::Relaxed);
            Response::new(bytes::Bytes::new())
        }
    };
    tokio::spawn(server::serve(listener, Bounds::internal(1_000), Dialect::own(), stop, handler));
    address
}

fn start_xitca(ended: Arc<AtomicU32>) -> (SocketAddr, xitca_server_handle::Handle) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let handle = xitca_server_handle::start(listener, ended);
    (address, handle)
}

async fn work(StateRef(ended): StateRef<'_, AtomicU32>) -> &'static str {
    tokio::time::sleep(WORK).await;
    ended.fetch_add(1, Ordering::Relaxed);
    "done"
}

/// The server of xitca-web, on a thread of its own.
mod xitca_server_handle {
    use super::{App, Arc, AtomicU32, get, handler_service, work};

    /// Stops the server.
    pub(super) struct Handle(Box<dyn Fn(bool)>);

    impl Handle {
        pub(super) fn stop(&self, graceful: bool) {
            (self.0)(graceful);
        }
    }

    pub(super) fn start(listener: std::net::TcpListener, ended: Arc<AtomicU32>) -> Handle {
        let mut server = App::new()
            .with_state(ended)
            .at("/", get(handler_service(work)))
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
