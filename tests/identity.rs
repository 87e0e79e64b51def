//! What only daemons may say of a request: its id, its caller's service, its customer, the instance that is
//! meant, and how long its caller waits. Backend servers get it from them alone, once, and never a key.

mod fleet;

use std::net::SocketAddr;

use fleet::raw::{Received, recording_backend, send};
use fleet::{Fleet, document, edit, plan, settings_text, until};
use gypsumtack::announcement::BackendServer;
use gypsumtack::dialect::Dialect;
use gypsumtack::publish::{self, Scope};
use gypsumtack::sync::lock;
use gypsumtack::{Daemon, Digest, Settings};
use http::HeaderName;

/// A dialect whose callers choose the ids, and which names everything to the backend servers.
fn dialect() -> Dialect {
    let header = HeaderName::from_static;
    Dialect {
        caller_chosen_ids: true,
        token: None,
        customer: Some(header("x-customer")),
        caller_service: Some(header("x-caller-service")),
        instance: Some(header("x-instance")),
        idempotency_key: None,
        ..Dialect::own()
    }
}

/// Starts two VMs, whose settings name the services `deep` and `front`. The first one's backend server
/// records what it receives.
async fn start() -> (Fleet, Received) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.adapter.dialect = dialect();
    for (index, service) in ["deep", "front"].into_iter().enumerate() {
        let text = settings_text(&format!("vm-{index}"), "a", fleet.platform.address());
        let text = format!("service = \"{service}\"\n{text}");
        fleet.add_with(Settings::parse(&text, "test").unwrap(), plan(service, 4, 1, &[])).await;
    }
    let (address, received) = recording_backend().await;
    announce(&fleet, address).await;
    fleet.settle(&["deep"]).await;
    (fleet, received)
}

/// Announces `address` as the backend server of the first VM.
async fn announce(fleet: &Fleet, address: SocketAddr) {
    let node = &fleet.nodes[0];
    node.backend.stop();
    let backend = BackendServer {
        id: "i-7".to_owned(),
        started: 1,
        sequence: 1,
        cold_ms: 0,
        service: "deep".to_owned(),
        address,
        slots: 4,
        draining: false,
    };
    node.daemon.board().announce(backend).unwrap();
    let known = || node.daemon.board().backend.load_full();
    until("it is announced", || known().is_some_and(|known| known.address == address)).await;
}

/// Sends a request with these header lines to a VM. Returns the status, and the values of each header that
/// the backend server received, if it received the request.
async fn ask(
    (fleet, received): &(Fleet, Received),
    node: usize,
    path: &str,
    lines: &str,
) -> (u16, Option<Vec<(String, String)>>) {
    lock(received).clear();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n{lines}\r\n");
    let status = send(fleet.nodes[node].callers(), &[request.as_bytes()]).await;
    let requests = lock(received).clone();
    assert!(requests.len() <= 1, "it ran more than once");
    let headers = requests.first().map(|bytes| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let lines = text.lines().skip(1).filter_map(|line| line.split_once(": "));
        lines.map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned())).collect()
    });
    (status, headers)
}

fn values<'a>(headers: &'a [(String, String)], name: &str) -> Vec<&'a str> {
    let named = headers.iter().filter(|header| header.0 == name);
    named.map(|(_, value)| value.as_str()).collect()
}

/// Guards against a request that runs under an id that no caller sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_one_valid_id_does_not_run() {
    let started = start().await;
    let long = format!("x-request-id: {}\r\n", "i".repeat(129));
    for node in [0, 1] {
        for ids in [
            "",
            "x-request-id:\r\n",
            "x-request-id: one\r\nX-Request-Id: two\r\n",
            "x-request-id: one\r\nx-request-id: one\r\n",
            "x-request-id: \u{fc}\r\n",
            &long,
        ] {
            let lines = format!("{ids}x-api-key: acme-key\r\n");
            let (status, headers) = ask(&started, node, "/deep", &lines).await;
            assert_eq!((status, headers), (400, None), "{ids:?} at VM {node}");
        }
        let (status, headers) =
            ask(&started, node, "/deep", "X-REQUEST-ID: One, two\r\nx-api-key: acme-key\r\n").await;
        assert_eq!(status, 200);
        assert_eq!(values(&headers.unwrap(), "x-request-id"), ["One, two"]);
    }
}

/// Guards against a caller that speaks for a daemon.
#[tokio::test(flavor = "multi_thread")]
async fn headers_of_daemons_arrive_once_and_only_from_them() {
    let started = start().await;
    let forged = "X-Caller-Service: deep\r\nx-caller-service: evil\r\nx-customer: evil\r\n\
                  X-CUSTOMER: other\r\nx-instance: i-9\r\nX-Instance: i-8\r\n\
                  x-deadline-ms: 4000\r\nX-Deadline-Ms: 999999\r\nx-outcome: ran\r\nx-request-id: one\r\n\
                  connection: x-caller-service, x-customer, x-request-id, host\r\n\
                  transfer-encoding: chunked\r\n\r\n0\r\nx-caller-service: evil\r\n\
                  x-customer: evil\r\nx-request-id: two\r\n";
    let keys = "x-api-key: acme-key\r\nX-Api-Key: acme-key\r\nAuthorization: Bearer acme-key\r\n";
    for (node, caller) in [(0, "deep"), (1, "front")] {
        for (path, lines) in
            [("/deep", format!("{keys}{forged}")), ("/open", format!("{keys}{forged}"))]
        {
            let (status, headers) = ask(&started, node, path, &lines).await;
            let headers = headers.expect("it did not run");
            assert_eq!(status, 200);
            assert_eq!(values(&headers, "x-caller-service"), [caller], "{path}");
            assert_eq!(values(&headers, "x-customer"), ["acme"], "{path}");
            assert_eq!(values(&headers, "x-instance"), ["i-7"], "{path}");
            assert_eq!(values(&headers, "x-request-id"), ["one"], "{path}");
            assert_eq!(values(&headers, "host"), ["x"], "{path}");
            let deadline = values(&headers, "x-deadline-ms");
            let deadline: Vec<u64> = deadline.iter().map(|text| text.parse().unwrap()).collect();
            assert!(matches!(deadline[..], [1..=5_000]), "{path}: {deadline:?}");
            let text = format!("{headers:?}").to_ascii_lowercase();
            for secret in ["acme-key", "authorization", "x-outcome", "evil"] {
                assert!(!text.contains(secret), "{path}: {secret} in {text}");
            }
        }
    }
}

/// A caller without a key, or with an unknown one, is nobody's customer on an open route.
#[tokio::test(flavor = "multi_thread")]
async fn an_open_route_names_no_customer_to_a_caller_without_a_known_key() {
    let started = start().await;
    for key in ["", "x-api-key: unknown\r\n", "x-api-key:\r\n", "authorization: Basic abc\r\n"] {
        let lines = format!("{key}x-customer: acme\r\nx-request-id: one\r\n");
        let (status, headers) = ask(&started, 1, "/open", &lines).await;
        let headers = headers.expect("it did not run");
        assert_eq!(status, 200);
        assert_eq!(values(&headers, "x-customer"), Vec::<&str>::new(), "{key}");
        assert!(!format!("{headers:?}").contains("unknown"), "{key}");
    }
}

/// Guards against a customer whose name stays with a key that a new document gives to another.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_moves_names_its_new_customer() {
    let started = start().await;
    let lines = "x-api-key: acme-key\r\nx-request-id: one\r\n";
    let (_, headers) = ask(&started, 1, "/deep", lines).await;
    assert_eq!(values(&headers.unwrap(), "x-customer"), ["acme"]);
    let (fleet, _) = &started;
    let (old, new) = (Digest::of(b"acme-key"), Digest::of(b"other-key"));
    let customer = |name: &str, key: Digest| {
        format!("[customers.{name}]\nrate = 1000.0\nburst = 1000.0\nkeys = [\"{key}\"]\n")
    };
    let text = customer("acme", new) + &customer("other", old);
    let scope = Scope::Section { name: "customers".to_owned(), expect: 1 };
    publish::apply(&fleet.client(), &edit(&text, scope)).await.unwrap();
    for node in &fleet.nodes {
        let board = node.daemon.board();
        until("the new document is in force", || board.policy.load().version == 2).await;
    }
    for node in [0, 1] {
        let board = fleet.nodes[node].daemon.board();
        let customer = board.policy.load().customer_id("other").unwrap();
        let share = board.tables.load().shares[&customer].clone();
        until("a share is held", || share.bucket().fraction() > 0.0).await;
        let (status, headers) = ask(&started, node, "/deep", lines).await;
        assert_eq!(status, 200);
        assert_eq!(values(&headers.unwrap(), "x-customer"), ["other"]);
    }
}

/// Guards against requests without a caller service, or with an earlier one, while the daemon knows no
/// backend server of its own: after it crashed, and before it has announced itself.
#[tokio::test(flavor = "multi_thread")]
async fn the_settings_name_the_caller_service_without_an_announcement() {
    let started = start().await;
    let (fleet, _) = &started;
    let lines = "x-api-key: acme-key\r\nx-request-id: one\r\n";
    let board = fleet.nodes[1].daemon.board();
    fleet.nodes[1].backend.stop();
    board.clear_backend();
    let (status, headers) = ask(&started, 1, "/deep", lines).await;
    assert_eq!(status, 200);
    assert_eq!(values(&headers.unwrap(), "x-caller-service"), ["front"]);
    let text = settings_text("vm-fresh", "b", fleet.platform.address());
    let settings = Settings::parse(&format!("service = \"fresh\"\n{text}"), "test").unwrap();
    let daemon = Daemon::start_with(settings, fleet.adapter.clone()).await.unwrap();
    let board = daemon.board();
    until("it serves", || board.is_serving()).await;
    until("instances are known", || !board.instances.load().for_service("deep").is_empty()).await;
    let request = format!("GET /open HTTP/1.1\r\nhost: x\r\n{lines}\r\n");
    let (_, received) = &started;
    lock(received).clear();
    let status = send(board.settings.listen.callers, &[request.as_bytes()]).await;
    let text = String::from_utf8_lossy(&lock(received).concat()).into_owned();
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("x-caller-service: fresh\r\n"), "{text}");
}
