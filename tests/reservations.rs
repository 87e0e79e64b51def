//! Requests that are on their way to another VM when the connection there falls silent.

mod fleet;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fleet::{Fleet, document, plan, until};
use gypsumtack::Settings;
use gypsumtack::document::Importance;
use gypsumtack::envelope::{Envelope, RequestId};
use gypsumtack::message::Message;
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack::reservation::SlotGrant;
use gypsumtack_standin::backend::OPERATION;
use gypsumtack_standin::caller::CallerRequest;
use http::{HeaderMap, HeaderName, Method, Uri};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Memory for long bodies at a small daemon, in bytes. One half is for bodies of up to 1 MiB.
const BODY_MEMORY: usize = 2 << 20;

const UPLOAD_BYTES: usize = 360_000;

/// A loopback proxy that passes bytes on until it is told to fall silent. Connections stay open then.
struct Proxy {
    address: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let is_silent = Arc::new(AtomicBool::new(false));
        let silent = Arc::clone(&is_silent);
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let Ok(callee) = TcpStream::connect(target).await else { continue };
                let ((from_caller, to_caller), (from_callee, to_callee)) =
                    (caller.into_split(), callee.into_split());
                tokio::spawn(pass_on(from_caller, to_callee, Arc::clone(&silent)));
                tokio::spawn(pass_on(from_callee, to_caller, Arc::clone(&silent)));
            }
        });
        Self { address, is_silent }
    }
}

async fn pass_on(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_silent: Arc<AtomicBool>) {
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if !is_silent.load(Ordering::Relaxed) && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// Starts an entry and two instances, the first of which the entry reaches through a proxy.
async fn start_fleet() -> (Fleet, Proxy) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("front", 8, 1, &[])).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    fleet.settle(&["deep"]).await;
    let entry = fleet.nodes[0].daemon.board();
    until("the entry knows both instances", || {
        entry.instances.load().for_service("deep").len() == 2
    })
    .await;
    let mut record = fleet.nodes[1].daemon.board().record();
    let proxy = Proxy::start(record.peers).await;
    (record.peers, record.counter) = (proxy.address, record.counter + 1_000);
    assert!(entry.update_view(|view, now| view.merge(record, now)));
    (fleet, proxy)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unsafe_request_lost_on_a_silent_connection_runs_elsewhere_once() {
    let (fleet, proxy) = start_fleet().await;
    let sign = |name: String| {
        let request = CallerRequest::post("/sign", "x".into()).key("acme-key");
        fleet.ask(0, request.header(OPERATION, &name).header(IDEMPOTENCY_KEY, &name))
    };
    let first = |name: &str| {
        let trace = fleet.seen.trace(name);
        (trace.starts.len(), trace.runs)
    };
    while fleet.nodes[1].backend.arrivals().is_empty() {
        let name = format!("before-{}", fleet.begun());
        assert_eq!(sign(name).await.outcome(), "ran");
    }
    proxy.is_silent.store(true, Ordering::Relaxed);
    let names: Vec<String> = (0..12).map(|index| format!("after-{index}")).collect();
    let answers = futures::future::join_all(names.iter().cloned().map(sign)).await;
    for (name, answer) in names.iter().zip(answers) {
        assert_eq!(answer.outcome(), "ran", "{name}: {answer:?}");
        assert_eq!(first(name), (1, 1), "{name}");
    }
}

fn envelope() -> Envelope {
    Envelope {
        request: RequestId::random(&mut rand::rng()),
        customer: Some("acme".to_owned()),
        route: "deep".to_owned(),
        importance: Importance::Normal,
        time_left_us: 1_000_000,
        deadline_ms: 1_000,
        retry_budget: 0,
        hops: 0,
        caller: String::new(),
        service: "deep".to_owned(),
        objective_ms: 500,
        wants_reached: false,
        suspect: false,
        claimed: false,
    }
}

/// Bodies that the daemon beside a backend server cannot hold stay at the daemons that received them.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_over_the_memory_bound_wait_at_their_sender() {
    let mut fleet = Fleet::start(&document()).await;
    let entry = fleet.add("a", plan("front", 8, 1, &[])).await;
    let text = fleet::settings_text("vm-small", "a", fleet.platform.address());
    let mut settings = Settings::parse(&text, "test").unwrap();
    settings.limits.body_memory = BODY_MEMORY;
    let small = fleet.add_with(settings, plan("deep", 8, 200, &[])).await;
    fleet.settle(&["deep"]).await;
    let upload = |index: usize| {
        let request = CallerRequest::post("/sign", vec![b'v'; UPLOAD_BYTES].into());
        let request = request.key("acme-key").header(IDEMPOTENCY_KEY, &format!("upload-{index}"));
        fleet.ask(entry, request)
    };
    let uploads = futures::future::join_all((0..8).map(upload));
    let backend = &fleet.nodes[small].backend;
    let watching = async {
        let mut most = 0;
        while backend.arrivals().len() < 8 {
            most = most.max(backend.in_flight());
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        most
    };
    let (answers, most) = tokio::join!(uploads, watching);
    assert!(answers.iter().all(|answer| answer.outcome() == "ran"), "{answers:?}");
    let bound = BODY_MEMORY / 2 / UPLOAD_BYTES;
    assert!(most as usize <= bound, "{most} bodies at once, {bound} fit into the memory");
}

/// A slot that was reserved for a request which never arrives is free again soon.
#[tokio::test(flavor = "multi_thread")]
async fn an_unused_reservation_expires() {
    let (fleet, proxy) = start_fleet().await;
    let gate = Arc::clone(&fleet.nodes[1].daemon.board().gate);
    let peers = &fleet.nodes[0].daemon.shared().peers;
    let envelope = envelope();
    let granted = peers.reserve(fleet.nodes[0].daemon.shared(), proxy.address, envelope, 0).await;
    assert!(matches!(granted, Ok(SlotGrant::Held(_))), "{granted:?}");
    assert_eq!(gate.load().in_flight, 1);
    until("the slot is free", || gate.load().in_flight == 0).await;
}

/// A body of some megabytes takes longer than a slot is held for a short request.
#[tokio::test(flavor = "multi_thread")]
async fn a_slot_is_held_for_as_long_as_its_body_takes() {
    let (fleet, _proxy) = start_fleet().await;
    let (entry, instance) = (fleet.nodes[0].daemon.shared(), &fleet.nodes[1]);
    let address = instance.daemon.board().record().peers;
    let envelope = Envelope { time_left_us: 10_000_000, ..envelope() };
    let granted = entry.peers.reserve(entry, address, envelope.clone(), 8 << 20).await;
    let Ok(SlotGrant::Held(slot)) = granted else { panic!("{granted:?}") };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let message = Message {
        method: Method::POST,
        uri: Uri::from_static("/sign"),
        headers: HeaderMap::new(),
        body: "x".into(),
    };
    let answer = entry.peers.run_reserved(entry, address, slot, envelope, message).await.unwrap();
    assert_eq!((answer.report.outcome, answer.report.reason), (Outcome::Ran, None));
}

/// The daemon that sends the request takes `not-run` for certain, and may send it to another instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_after_its_slot_has_expired_is_not_run() {
    let (fleet, _proxy) = start_fleet().await;
    let (entry, instance) = (fleet.nodes[0].daemon.shared(), &fleet.nodes[1]);
    let address = instance.daemon.board().record().peers;
    let granted = entry.peers.reserve(entry, address, envelope(), 0).await;
    let Ok(SlotGrant::Held(slot)) = granted else { panic!("{granted:?}") };
    until("the slot is free", || instance.daemon.board().gate.load().in_flight == 0).await;
    let message = Message {
        method: Method::POST,
        uri: Uri::from_static("/sign"),
        headers: HeaderMap::new(),
        body: "x".into(),
    };
    for _ in 0..2 {
        let run = entry.peers.run_reserved(entry, address, slot, envelope(), message.clone());
        let answer = run.await.unwrap();
        assert_eq!(answer.report.reason, Some(Reason::SlotExpired));
    }
    assert!(instance.backend.arrivals().is_empty());
}
