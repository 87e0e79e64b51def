//! Pools of kept HTTP connections to the store.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client as HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time after which an idle connection to the store is closed. Longer than the pauses between store
/// requests without traffic, so that connections are reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Kept connections, of which each request takes an idle one or opens another.
pub(super) type Pool = HttpClient<HttpConnector, Full<Bytes>>;

/// The pool in use. It is replaced as a whole when one of its connections is silent, since the others may
/// be silent as well, and each would cost another time-out.
#[derive(Debug)]
pub(super) struct Pools {
    connect_timeout: Duration,
    current: ArcSwap<Pool>,
}

impl Pools {
    pub fn new(connect_timeout: Duration) -> Self {
        Self { connect_timeout, current: ArcSwap::from_pointee(open_pool(connect_timeout)) }
    }

    pub fn current(&self) -> Arc<Pool> {
        self.current.load_full()
    }

    /// Replaces `silent` by an empty pool. Returns whether it was still in use.
    pub fn replace(&self, silent: &Arc<Pool>) -> bool {
        let empty = Arc::new(open_pool(self.connect_timeout));
        Arc::ptr_eq(&*self.current.compare_and_swap(silent, empty), silent)
    }
}

fn open_pool(connect_timeout: Duration) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    HttpClient::builder(TokioExecutor::new())
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}
