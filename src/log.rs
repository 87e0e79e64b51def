//! Logs: one line of key=value pairs for each event.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The variable that sets which events are written, such as `gypsumtack=debug`.
pub const FILTER: &str = "GYPSUMTACK_LOG";

/// Starts writing events to standard error. A second call does nothing.
pub fn start() {
    let filter = EnvFilter::try_from_env(FILTER)
        .unwrap_or_else(|_| EnvFilter::new("info,xitca_server=warn"));
    let lines = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    let lines =
        tracing_subscriber::Layer::with_filter(tracing_subscriber::Layer::boxed(lines), filter);
    let _ = tracing_subscriber::registry().with(lines).try_init();
}
