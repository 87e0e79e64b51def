//! Background tasks that panic.

use std::sync::atomic::{AtomicU32, Ordering};

use gypsumtack::supervise::restart_after_panic;

/// Guards against a daemon that serves on although one of its background tasks has ended.
#[tokio::test]
async fn a_task_that_panics_starts_again() {
    let starts = AtomicU32::new(0);
    restart_after_panic("test", || async {
        let start = starts.fetch_add(1, Ordering::Relaxed);
        tokio::task::yield_now().await;
        assert!(start > 0, "the first run ends in a panic");
    })
    .await;
    assert_eq!(starts.load(Ordering::Relaxed), 2);
}
