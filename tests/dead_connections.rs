//! Connections to the store that go silent while new ones work.

use std::time::Duration;

use gypsumtack::time::Clock;
use gypsumtack::{settings, store, wire};
use gypsumtack_standin::platform::Platform;

#[path = "../platform/tests/soak/proxy.rs"]
#[allow(dead_code, reason = "the soak uses the other faults")]
mod proxy;

/// Time-out of the store requests.
const TIMEOUT_MS: u64 = 300;

/// Guards against one time-out for each connection that is kept idle.
#[tokio::test]
async fn one_request_at_most_waits_for_connections_that_went_silent() {
    let platform = Platform::start(([127, 0, 0, 1], 0).into(), 1).await.unwrap();
    let any = ([127, 0, 0, 1], 0).into();
    let proxy = proxy::Proxy::open(any, platform.address(), None).await.unwrap();
    let settings = settings::Platform { address: proxy.address, timeout_ms: TIMEOUT_MS };
    let client = store::Client::new(&settings, wire::OWN, Clock::start());
    let idle = futures::future::join_all((0..4).map(|_| client.scan("a/"))).await;
    assert!(idle.iter().all(Result::is_ok), "{idle:?}");
    // Connections return to the pool in tasks of their own.
    tokio::time::sleep(Duration::from_millis(100)).await;
    proxy.forget();
    assert!(client.scan("a/").await.is_err());
    assert!(client.scan("a/").await.is_ok());
}
