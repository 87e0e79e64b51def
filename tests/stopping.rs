//! Requests that reach a daemon late in its graceful shutdown.

mod fleet;

use std::time::Duration;

use fleet::recorder::{Arrival, Ending, Recorder};
use fleet::{Fleet, document, plan, settings_text, until};
use gypsumtack::announcement::BackendServer;
use gypsumtack::dialect::Dialect;
use gypsumtack::{Daemon, Settings};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time that a daemon takes to leave, and that it waits for requests after that, in milliseconds.
const LEAVE_MS: u64 = 500;
const STOP_MS: u64 = 3_000;

/// A daemon that is told to stop, beside a backend server of the service `front`, and a second one with a
/// backend server of the service `deep`.
struct Scene {
    fleet: Fleet,
    front: Recorder,
    daemon: Daemon,
}

impl Scene {
    /// Starts both daemons. `front` ends each request as `ending` says.
    async fn start(time: Duration, ending: Ending) -> Self {
        let mut fleet = Fleet::start(&document()).await;
        // Calls arrive at the callers' address, and there are no claims.
        fleet.adapter.dialect = Dialect { token: None, idempotency_key: None, ..Dialect::own() };
        let text = settings_text("vm-0", "a", fleet.platform.address());
        let text = format!("{text}stop_ms = {STOP_MS}\n");
        fleet.add_with(Settings::parse(&text, "test").unwrap(), plan("front", 8, 1, &[])).await;
        fleet.add("b", plan("deep", 8, 1, &[])).await;
        fleet.settle(&["front", "deep"]).await;
        let board = fleet.nodes[0].daemon.board().clone();
        let front = Recorder::start(board.clock, move |_| (time, ending)).await;
        let announced: BackendServer = (**board.backend.load().as_ref().unwrap()).clone();
        fleet.nodes[0].backend.stop();
        board.announce(BackendServer { address: front.address, ..announced }).unwrap();
        let daemon = fleet.nodes.remove(0).daemon;
        Self { fleet, front, daemon }
    }

    async fn connect(&self) -> Caller {
        let address = self.daemon.board().settings.listen.callers;
        Caller { stream: TcpStream::connect(address).await.unwrap() }
    }

    /// Tells the daemon to stop, and waits until it has left.
    async fn stop(self) -> (Fleet, JoinHandle<()>) {
        let board = self.daemon.board().clone();
        let stopping = tokio::spawn(self.daemon.stop());
        until("the time to leave is over", || board.is_leaving() && !board.is_ready()).await;
        tokio::time::sleep(Duration::from_millis(LEAVE_MS / 4)).await;
        (self.fleet, stopping)
    }
}

struct Caller {
    stream: TcpStream,
}

impl Caller {
    async fn send(&mut self, method: &str, path: &str, more: &str) {
        let head =
            format!("{method} {path} HTTP/1.1\r\nhost: x\r\nx-api-key: acme-key\r\n{more}\r\n");
        self.stream.write_all(head.as_bytes()).await.unwrap();
    }

    /// Returns the status of the next answer and its head, or `None` if the connection ends without one.
    async fn receive(&mut self) -> Option<(u16, String)> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        Some((status, head))
    }
}

async fn until_arrived(front: &Recorder, count: usize) {
    until("the request arrived", || front.arrivals().len() >= count).await;
}

/// Guards against a request that is read to its end and gets no answer, since the stop began meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_half_read_when_its_daemon_has_left_is_refused() {
    let scene = Scene::start(Duration::ZERO, Ending::Status(200)).await;
    let (mut body, mut head) = (scene.connect().await, scene.connect().await);
    body.send("POST", "/sign", "content-length: 10\r\n").await;
    body.stream.write_all(b"first").await.unwrap();
    head.stream.write_all(b"POST /sign HTTP/1.1\r\nhost: x\r\n").await.unwrap();
    let (_fleet, stopping) = scene.stop().await;
    body.stream.write_all(b" half").await.unwrap();
    let more = "x-api-key: acme-key\r\ncontent-length: 0\r\n\r\n";
    head.stream.write_all(more.as_bytes()).await.unwrap();
    for (name, mut caller) in [("body", body), ("head", head)] {
        let (status, head) = caller.receive().await.expect(name);
        assert_eq!(status, 503, "{name}: {head}");
        assert!(head.contains("connection: close"), "{name}: {head}");
    }
    stopping.await.unwrap();
}

/// Guards against connections that end under their callers while requests are in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_on_an_open_connection_is_refused_once_its_daemon_has_left() {
    let scene = Scene::start(Duration::from_secs(2), Ending::Status(200)).await;
    let (mut running, mut late) = (scene.connect().await, scene.connect().await);
    running.send("GET", "/front", "").await;
    until_arrived(&scene.front, 1).await;
    let (fleet, stopping) = scene.stop().await;
    late.send("POST", "/sign", "content-length: 0\r\n").await;
    let (status, head) = late.receive().await.expect("an answer");
    assert_eq!(status, 503, "{head}");
    assert!(head.contains("x-reason: leaving") && head.contains("connection: close"), "{head}");
    assert!(late.receive().await.is_none());
    assert_eq!(running.receive().await.expect("an answer").0, 200);
    assert_eq!(fleet.begun(), 0);
    stopping.await.unwrap();
}

/// Guards against a request that fails because the calls that its backend server makes find no daemon.
#[tokio::test(flavor = "multi_thread")]
async fn calls_of_a_running_request_are_served_after_its_daemon_has_left() {
    let scene = Scene::start(Duration::from_secs(2), Ending::Status(200)).await;
    let mut running = scene.connect().await;
    running.send("GET", "/front", "").await;
    until_arrived(&scene.front, 1).await;
    let address = scene.daemon.board().settings.listen.callers;
    let (fleet, stopping) = scene.stop().await;
    let stream = TcpStream::connect(address).await.expect("a call is accepted");
    let mut call = Caller { stream };
    call.send("GET", "/open", "").await;
    assert_eq!(call.receive().await.expect("an answer").0, 200);
    assert_eq!((fleet.begun(), running.receive().await.expect("an answer").0), (1, 200));
    stopping.await.unwrap();
}

/// Guards against a request that is passed on with more time than the daemon has, and is cut when it ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_taken_while_leaving_gets_no_more_time_than_its_daemon_has() {
    let scene = Scene::start(Duration::ZERO, Ending::Status(200)).await;
    let (mut caller, board) = (scene.connect().await, scene.daemon.board().clone());
    let silent = |_: &Arrival| (Duration::ZERO, Ending::Silence);
    let deep = Recorder::start(board.clock, silent).await;
    scene.fleet.replace_backend(0, deep.address).await;
    let stop = tokio::spawn(scene.daemon.stop());
    until("the daemon leaves", || board.is_leaving()).await;
    let end = board.clock.now() + Duration::from_millis(LEAVE_MS + STOP_MS);
    caller.send("POST", "/sign", "content-length: 0\r\n").await;
    until_arrived(&deep, 1).await;
    let deadline = deep.arrivals()[0].deadline().unwrap();
    assert!(deadline <= end, "{deadline:?} is after {end:?}");
    assert!(caller.receive().await.is_some());
    stop.await.unwrap();
}

/// Guards against a request on an open route that is taken after the stop has begun, passed on, and broken
/// off when its daemon ends (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn a_callers_request_on_an_open_route_is_refused_once_its_daemon_has_left() {
    let scene = Scene::start(Duration::from_millis(1_200), Ending::Status(200)).await;
    let board = scene.daemon.board().clone();
    let (mut running, mut caller) = (scene.connect().await, scene.connect().await);
    let address = board.settings.listen.callers;
    let deadline = "x-deadline-ms: 5000\r\ncontent-length: 0\r\n";
    running.send("GET", "/front", "x-deadline-ms: 5000\r\n").await;
    until_arrived(&scene.front, 1).await;
    let (fleet, stopping) = scene.stop().await;
    // While a request runs whose calls have to get through.
    caller.send("POST", "/open", deadline).await;
    let (status, head) = caller.receive().await.expect("an answer");
    assert_eq!(status, 503, "{head}");
    assert!(head.contains("x-reason: leaving") && head.contains("connection: close"), "{head}");
    assert_eq!(running.receive().await.expect("an answer").0, 200);
    // While no request runs that could make a call, though another one is still being answered.
    until("the request has ended", || board.live.is_empty()).await;
    if let Ok(stream) = TcpStream::connect(address).await {
        let mut late = Caller { stream };
        late.send("POST", "/open", "x-deadline-ms: 300\r\ncontent-length: 0\r\n").await;
        assert!(late.receive().await.is_none_or(|(status, _)| status == 503));
    }
    assert_eq!(fleet.begun(), 0);
    stopping.await.unwrap();
}

/// Guards against a call that is refused although the request that makes it is running, and against one that
/// is passed on although it cannot end before its daemon.
#[tokio::test(flavor = "multi_thread")]
async fn calls_with_a_time_limit_are_served_after_their_daemon_has_left_while_they_can_end() {
    let scene = Scene::start(Duration::from_millis(1_500), Ending::Status(200)).await;
    let board = scene.daemon.board().clone();
    let slow = |_: &Arrival| (Duration::from_millis(400), Ending::Status(200));
    let deep = Recorder::start(board.clock, slow).await;
    scene.fleet.replace_backend(0, deep.address).await;
    let (mut running, mut call) = (scene.connect().await, scene.connect().await);
    // The daemon learns how long requests of the route take.
    call.send("GET", "/open", "").await;
    assert_eq!(call.receive().await.expect("an answer").0, 200);
    running.send("GET", "/front", "x-deadline-ms: 60000\r\n").await;
    until_arrived(&scene.front, 1).await;
    let left = scene.front.arrivals()[0].time_left_ms.unwrap();
    let end = Duration::from_millis(LEAVE_MS + STOP_MS);
    assert!(Duration::from_millis(left) > end / 2, "{left} ms");
    let (_fleet, stopping) = scene.stop().await;
    // The call ends with the request that makes it, which is later than the daemon does.
    call.send("GET", "/open", &format!("x-deadline-ms: {}\r\n", left - 200)).await;
    assert_eq!(call.receive().await.expect("an answer").0, 200);
    assert_eq!(running.receive().await.expect("an answer").0, 200);
    assert_eq!(deep.arrivals().len(), 2);
    stopping.await.unwrap();
}
