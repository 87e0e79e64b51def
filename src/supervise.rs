//! Background tasks that go on after a panic.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;

/// Pause before a task that has panicked starts again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs a background task until it returns, and starts it again after a panic. A daemon that lost one
/// would serve on without following the store, the documents or the other VMs.
///
/// Shared state stays usable, see [`crate::sync::lock`].
pub async fn restart_after_panic<F>(name: &'static str, mut task: impl FnMut() -> F)
where
    F: Future<Output = ()>,
{
    while AssertUnwindSafe(task()).catch_unwind().await.is_err() {
        let remedy = "it starts again; report the panic that is logged above";
        tracing::error!(event = "task-panicked", task = name, remedy);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
