//! Connections to the store that go silent while new ones work.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, document, edit, plan, until};
use gypsumtack::Settings;
use gypsumtack::publish::{self, Scope};
use gypsumtack::store::{Client, Commit, Transaction};
use gypsumtack::time::Clock;
use gypsumtack::{settings, wire};
use gypsumtack_standin::platform::{Faults, Platform};

#[path = "../platform/tests/soak/proxy.rs"]
#[allow(dead_code, reason = "the soak uses the other faults")]
mod proxy;

use proxy::Proxy;

/// Time-out of the store requests.
const TIMEOUT_MS: u64 = 300;

/// A time-out of the store requests that is longer than any test waits.
const LONG_TIMEOUT_MS: u64 = 60_000;

/// Number of connections that are kept idle when all go silent.
const IDLE: usize = 4;

/// Starts a platform behind a proxy, and a client of it that keeps [`IDLE`] connections.
async fn start(timeout_ms: u64) -> (Platform, Proxy, Client) {
    let any = ([127, 0, 0, 1], 0).into();
    let platform = Platform::start(any, 1).await.unwrap();
    let proxy = Proxy::open(any, platform.address(), None).await.unwrap();
    let settings = settings::Platform { address: proxy.address, timeout_ms };
    let client = Client::new(&settings, wire::OWN, Clock::start());
    let idle = futures::future::join_all((0..IDLE).map(|_| client.scan("a/"))).await;
    assert!(idle.iter().all(Result::is_ok), "{idle:?}");
    // Connections return to the pool in tasks of their own.
    tokio::time::sleep(Duration::from_millis(100)).await;
    (platform, proxy, client)
}

fn write() -> Transaction {
    Transaction::default().put("a/row", &1)
}

/// Guards against one time-out for each connection that is kept idle.
#[tokio::test]
async fn one_write_at_most_waits_for_connections_that_went_silent() {
    let (_platform, proxy, client) = start(TIMEOUT_MS).await;
    proxy.forget();
    assert!(client.commit(&write()).await.is_err());
    assert!(matches!(client.commit(&write()).await, Ok(Commit::Done(_))));
}

/// Guards against reads that fail, or wait for their time-out, because a connection is silent.
#[tokio::test]
async fn a_read_over_a_silent_connection_is_sent_again_over_a_new_one() {
    let (_platform, proxy, client) = start(LONG_TIMEOUT_MS).await;
    let reads = async {
        proxy.forget();
        client.scan("a/").await.unwrap();
        proxy.forget();
        client.row("a/row").await.unwrap();
        proxy.forget();
        client.object("none").await.unwrap();
        proxy.forget();
        client.feed("a/", 0, Duration::from_millis(100)).await.unwrap();
    };
    tokio::time::timeout(fleet::CONDITION_TIMEOUT, reads).await.unwrap();
}

/// Guards against a circuit breaker that takes several silent connections for a store that is away.
#[tokio::test]
async fn connections_that_went_silent_together_count_as_one_failure() {
    let (_platform, proxy, client) = start(TIMEOUT_MS).await;
    proxy.forget();
    let (first, second) = (write(), write());
    let writes = (0..IDLE).map(|_| client.commit(&first));
    let lost = futures::future::join_all(writes).await;
    assert!(lost.iter().all(Result::is_err), "{lost:?}");
    let commit = client.commit(&second).await;
    assert!(matches!(commit, Ok(Commit::Done(_))), "{commit:?}");
}

/// Guards against a write that is sent twice: the first may take effect late.
#[tokio::test]
async fn a_write_to_a_slow_store_is_sent_once() {
    let (platform, _proxy, client) = start(LONG_TIMEOUT_MS).await;
    platform.set_faults(Faults { slow_ms: 600, ..Faults::default() });
    let before = platform.usage().writes;
    assert!(matches!(client.commit(&write()).await, Ok(Commit::Done(_))));
    // A read that is answered late is sent again, and answered.
    assert!(client.row("a/row").await.unwrap().is_some());
    assert_eq!(platform.usage().writes - before, 1);
}

/// Guards against a change that is seen only after the time-out of the settings, however long that is.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_found_when_the_connections_to_the_store_went_silent() {
    let mut fleet = Fleet::start(&document()).await;
    let any = ([127, 0, 0, 1], 0).into();
    let proxy = Proxy::open(any, fleet.platform.address(), None).await.unwrap();
    for domain in ["a", "a", "a", "b"] {
        let vm = format!("vm-{}", fleet.nodes.len());
        let text = fleet::settings_text(&vm, domain, proxy.address);
        let timeout = format!("[platform]\ntimeout_ms = {LONG_TIMEOUT_MS}\n");
        let text = text.replace("[platform]\n", &timeout);
        let settings = Settings::parse(&text, "test").unwrap();
        fleet.add_with(settings, plan("deep", 8, 1, &[])).await;
    }
    for round in 0..3 {
        proxy.forget();
        let text = format!("[limits]\nqueue_ms = {}\n", 900 + round);
        let (_, body) = publish::read(&fleet.client()).await.unwrap();
        let expect = body.unwrap().version;
        let scope = Scope::Section { name: "limits".into(), expect };
        let published = Clock::start();
        publish::apply(&fleet.client(), &edit(&text, scope)).await.unwrap();
        for node in &fleet.nodes {
            let board = node.daemon.board();
            until("the new document is in force", || board.policy.load().version > expect).await;
        }
        println!("in force after {:?}", published.elapsed());
    }
}
