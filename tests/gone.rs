//! Callers that leave while their connection is not read: their requests end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use gypsumtack::dialect::Dialect;
use gypsumtack::message::{Answer, Message};
use gypsumtack::pipeline::{self, Delivery, Hooks};
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack::server::{self, Bounds};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time within which a request has to end after its caller has left.
const GONE: Duration = Duration::from_millis(500);

/// Memory for long bodies: two halves of 1 MiB.
const BODY_MEMORY: usize = 2 << 20;

const MIB: usize = 1 << 20;

/// Counts a request as running until it is dropped.
struct Running(Arc<AtomicUsize>);

impl Running {
    fn begin(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(count))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A listener whose requests never end.
struct Scene {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    running: Arc<AtomicUsize>,
}

impl Scene {
    /// Starts the listener for callers.
    async fn start() -> Self {
        let (listener, address) = bind().await;
        let (stop, stopped) = watch::channel(false);
        let running = Arc::<AtomicUsize>::default();
        let count = Arc::clone(&running);
        let handler = move |id, message: Message, _| {
            let running = Running::begin(&count);
            async move {
                std::future::pending::<()>().await;
                drop((running, message));
                Answer::refusal(id, Outcome::Ran, Reason::Leaving)
            }
        };
        let bounds = || Bounds { body_memory: BODY_MEMORY, ..Bounds::internal(10) };
        let hooks = Hooks { handler, bounds, on_delivery: |_: Delivery<'_>| () };
        tokio::spawn(pipeline::serve(listener, Dialect::own(), stopped, hooks));
        Self { address, stop, running }
    }

    /// Starts the listener for calls of the local backend server.
    async fn start_egress() -> Self {
        let (listener, address) = bind().await;
        let (stop, stopped) = watch::channel(false);
        let running = Arc::<AtomicUsize>::default();
        let count = Arc::clone(&running);
        let handler = move |_| {
            let running = Running::begin(&count);
            async move {
                std::future::pending::<()>().await;
                drop(running);
                http::Response::default()
            }
        };
        let bounds = Bounds::internal(10);
        tokio::spawn(server::serve(listener, bounds, Dialect::own(), stopped, handler));
        Self { address, stop, running }
    }

    /// Sends `bytes` on a new connection and waits until `running` requests run.
    async fn send(&self, bytes: &[u8], running: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let _ = tokio::time::timeout(GONE, stream.write_all(bytes)).await;
        self.until(running).await.unwrap_or_else(|count| panic!("{count} of {running} run"));
        stream
    }

    async fn until(&self, running: usize) -> Result<(), usize> {
        let end = tokio::time::Instant::now() + GONE;
        while self.running.load(Ordering::SeqCst) != running {
            if tokio::time::Instant::now() > end {
                return Err(self.running.load(Ordering::SeqCst));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }
}

async fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

const GET: &str = "GET /stuck HTTP/1.1\r\nhost: x\r\n\r\n";

fn post(length: usize) -> String {
    format!("POST /stuck HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n")
}

/// Guards against requests that run on for callers that said that they send no more, and have left (GONE).
#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_when_its_caller_leaves_in_any_state_of_its_connection() {
    let half = "GET /second HTTP/1.1\r\nhost:";
    let forms = [
        ("kept", GET.to_owned()),
        ("kept, second request half sent", format!("{GET}{half}")),
        ("connection: close", GET.replace("host: x", "host: x\r\nconnection: close")),
        (
            "connection: close, bytes behind it",
            GET.replace("host: x", "host: x\r\nconnection: close") + half,
        ),
        ("HTTP/1.0", GET.replace("1.1", "1.0")),
        ("refused behind", format!("{GET}no request\r\n\r\n")),
        ("input buffer full", GET.to_owned() + &post(16) + &"v".repeat(80 << 10)),
    ];
    for (name, bytes) in forms {
        let scene = Scene::start().await;
        let stream = scene.send(bytes.as_bytes(), 1).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(stream);
        scene.until(0).await.unwrap_or_else(|count| panic!("{name}: {count} run on"));
    }
}

/// Guards against the same while a body waits for memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_when_its_caller_leaves_while_a_body_waits_for_memory() {
    let scene = Scene::start().await;
    let holder = (post(MIB) + &"v".repeat(MIB)).into_bytes();
    let _holder = scene.send(&holder, 1).await;
    let waiting = (GET.to_owned() + &post(MIB) + &"v".repeat(MIB / 32)).into_bytes();
    let stream = scene.send(&waiting, 2).await;
    drop(stream);
    scene.until(1).await.unwrap_or_else(|count| panic!("{count} run"));
}

/// Guards against the same while the listener stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_when_its_caller_leaves_while_its_daemon_stops() {
    let scene = Scene::start().await;
    let stream = scene.send(GET.as_bytes(), 1).await;
    scene.stop.send_replace(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream);
    scene.until(0).await.unwrap_or_else(|count| panic!("{count} run on"));
}

/// Guards against calls that run on for a backend server that has given them up.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_ends_when_its_backend_server_gives_it_up() {
    let closing = GET.replace("host: x", "host: x\r\nconnection: close");
    for bytes in [GET, &closing, &GET.replace("1.1", "1.0")] {
        let scene = Scene::start_egress().await;
        let stream = scene.send(bytes.as_bytes(), 1).await;
        drop(stream);
        scene.until(0).await.unwrap_or_else(|count| panic!("{bytes}: {count} run on"));
    }
}
