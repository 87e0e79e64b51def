//! Logging: one line of key=value pairs per event.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::sync::lock;
use crate::time::Time;

/// Environment variable that selects the events to log, such as `gypsumtack=debug`.
pub const FILTER: &str = "GYPSUMTACK_LOG";

/// Starts logging to standard error. Further calls have no effect.
pub fn start() {
    let filter = EnvFilter::try_from_env(FILTER)
        .unwrap_or_else(|_| EnvFilter::new("info,xitca_server=warn,tarpc=error"));
    let lines = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    let lines =
        tracing_subscriber::Layer::with_filter(tracing_subscriber::Layer::boxed(lines), filter);
    let _ = tracing_subscriber::registry().with(lines).try_init();
}

/// Interval at which a lasting state is logged again.
pub const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum lines of one kind per [`LOG_INTERVAL`]; further ones are only counted. At some 400 bytes a
/// line, this limits each reason for refusals to 10 KB per second under any load.
const MAX_LINES: u32 = 25;

/// Limits the log lines about frequent events, such as refusals.
#[derive(Debug, Default)]
pub struct Sampler {
    kinds: Mutex<BTreeMap<&'static str, Window>>,
}

/// The lines of one kind within the [`LOG_INTERVAL`] that began at `since`.
#[derive(Debug, Default)]
struct Window {
    since: Time,
    written: u32,
    skipped: u64,
}

impl Sampler {
    /// Returns how many events of `kind` a line written now represents: its own and those skipped before
    /// it. Returns `None` when the line is to be skipped.
    pub fn weigh(&self, kind: &'static str, now: Time) -> Option<u64> {
        let mut kinds = lock(&self.kinds);
        let window = kinds.entry(kind).or_default();
        if now.since(window.since) >= LOG_INTERVAL {
            (window.since, window.written) = (now, 0);
        }
        if window.written >= MAX_LINES {
            window.skipped += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.skipped) + 1)
    }
}
