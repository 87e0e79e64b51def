//! Connections between daemons that go silent for good, while new ones work.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, document, plan};
use gypsumtack::document::Importance;
use gypsumtack::envelope::{Envelope, RequestId};
use gypsumtack::member::Record;
use gypsumtack::overload::DemandReport;
use gypsumtack::peer::CallError;

#[path = "../platform/tests/soak/proxy.rs"]
#[allow(dead_code, reason = "the soak uses the other faults")]
mod proxy;

use proxy::Proxy;

/// Age from which a connection may count as silent before a ping has told.
const SILENT_AGE: Duration = Duration::from_millis(1_100);

/// Starts an entry and an instance whose addresses for other daemons are those of a proxy each. Returns the
/// record of the instance with them.
async fn start() -> (Fleet, Record, [Proxy; 2]) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("front", 8, 1, &[])).await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let mut record = fleet.nodes[1].daemon.board().record();
    let open = |target| Proxy::open(([127, 0, 0, 1], 0).into(), target, None);
    let proxies = [open(record.peers).await.unwrap(), open(record.control).await.unwrap()];
    [record.peers, record.control] = [proxies[0].address, proxies[1].address];
    (fleet, record, proxies)
}

fn envelope(time_left: Duration) -> Envelope {
    Envelope {
        request: RequestId::random(&mut rand::rng()),
        customer: Some("acme".to_owned()),
        route: "deep".to_owned(),
        importance: Importance::Normal,
        time_left_us: time_left.as_micros() as u64,
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

/// Guards against members that are taken for unreachable because a connection to them is silent.
#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_and_reports_on_a_silent_connection_are_sent_again() {
    let (fleet, record, [_, control]) = start().await;
    let shared = fleet.nodes[0].daemon.shared();
    assert!(shared.peers.exchange_heartbeat(shared, &record).await);
    tokio::time::sleep(SILENT_AGE).await;
    control.forget();
    assert!(shared.peers.exchange_heartbeat(shared, &record).await);
    tokio::time::sleep(SILENT_AGE).await;
    control.forget();
    let report = DemandReport::default();
    let status = shared.peers.report_demand(shared, record.control, report).await;
    assert!(status.is_some());
}

/// Guards against a connection that never counts as silent because all its calls are given up early.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_noticed_though_no_call_waits_for_long() {
    let (fleet, record, [peers, _]) = start().await;
    let shared = fleet.nodes[0].daemon.shared();
    let reserve = || {
        let envelope = envelope(Duration::from_millis(100));
        shared.peers.reserve(shared, record.peers, envelope, 0)
    };
    assert!(reserve().await.is_ok());
    peers.forget();
    assert_eq!(reserve().await.unwrap_err(), CallError::TimedOut);
    let granted = async { while reserve().await.is_err() {} };
    tokio::time::timeout(fleet::CONDITION_TIMEOUT, granted).await.unwrap();
}
