//! Connections between daemons that go silent for good, while new ones work.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, document, plan, until};
use gypsumtack::arrivals::Arrivals;
use gypsumtack::document::Importance;
use gypsumtack::envelope::{Envelope, RequestId};
use gypsumtack::member::Record;
use gypsumtack::overload::DemandReport;
use gypsumtack::peer::CallError;
use gypsumtack::time::Time;
use gypsumtack_standin::caller::CallerRequest;
use http::HeaderValue;

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

/// Guards against connections that go silent together and are noticed one after the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_has_the_others_checked() {
    let (mut fleet, record, [peers, _]) = start().await;
    fleet.add("a", plan("deep", 8, 1, &[])).await;
    let other = fleet.nodes[2].daemon.board().record().peers;
    let other = Proxy::open(([127, 0, 0, 1], 0).into(), other, None).await.unwrap();
    let shared = fleet.nodes[0].daemon.shared();
    let reserve = |address| {
        let envelope = envelope(Duration::from_secs(5));
        shared.peers.reserve(shared, address, envelope, 0)
    };
    assert!(reserve(record.peers).await.is_ok());
    assert!(reserve(other.address).await.is_ok());
    tokio::time::sleep(SILENT_AGE).await;
    peers.forget();
    other.forget();
    assert_eq!(reserve(record.peers).await.unwrap_err(), CallError::ConnectionLost);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(reserve(other.address).await.is_ok());
}

/// Guards against requests that end as unknown, and against retries, for requests that nobody has got.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_on_a_silent_connection_run_once() {
    let (fleet, record, [peers, _]) = start().await;
    fleet.settle(&["deep"]).await;
    let entry = fleet.nodes[0].daemon.board();
    until("the entry knows the instance", || entry.instances.load().for_service("deep").len() == 1)
        .await;
    let record = Record { counter: record.counter + 1_000, ..record };
    assert!(entry.update_view(|view, now| view.merge(record, now)));
    entry.refresh();
    let ask = || fleet.ask(0, CallerRequest::get("/deep").key("acme-key"));
    assert_eq!(ask().await.outcome(), "ran");
    let before = fleet.begun();
    peers.forget();
    let answers = futures::future::join_all((0..6).map(|_| ask())).await;
    for answer in answers {
        assert_eq!(answer.outcome(), "ran", "{answer:?}");
    }
    assert_eq!(fleet.begun() - before, 6);
}

fn request(text: &str) -> RequestId {
    RequestId::from_header(&HeaderValue::from_str(text).unwrap()).unwrap()
}

#[test]
fn a_request_that_arrived_does_not_run_again() {
    let (sent, one) = (Time::from_millis(10_000), request("one"));
    let mut arrivals = Arrivals::new(Time::ZERO);
    assert!(arrivals.record(&one, sent));
    let later = sent + Duration::from_millis(700);
    assert!(!arrivals.record_resent(&one, sent, later));
    assert!(arrivals.record_resent(&request("two"), sent, later));
}

/// Guards against a request that was sent again and then arrives in its first form as well.
#[test]
fn a_request_that_was_resent_does_not_run_in_its_first_form() {
    let (sent, one) = (Time::from_millis(10_000), request("one"));
    let later = sent + Duration::from_millis(700);
    let mut arrivals = Arrivals::new(Time::ZERO);
    assert!(arrivals.record_resent(&one, sent, later));
    assert!(!arrivals.record(&one, later + Duration::from_secs(100)));
    assert!(!arrivals.record_resent(&one, sent, later));
}

/// Guards against a promise about a time of which nothing is remembered: before a restart, or long ago, also
/// because the second form was late.
#[test]
fn a_request_that_may_have_arrived_unrecorded_does_not_run_again() {
    let (sent, one) = (Time::from_millis(10_000), request("one"));
    let soon = sent + Duration::from_millis(700);
    let mut restarted = Arrivals::new(sent + Duration::from_millis(100));
    assert!(!restarted.record_resent(&one, sent, soon));
    let mut arrivals = Arrivals::new(Time::ZERO);
    assert!(arrivals.record(&one, sent));
    assert!(!arrivals.record_resent(&one, sent, sent + Duration::from_secs(5)));
    assert!(!arrivals.record_resent(&RequestId::NONE, soon, soon));
}
