//! Logs: one line of key=value pairs for each event.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::sync::lock;
use crate::time::Time;

/// The variable that sets which events are written, such as `gypsumtack=debug`.
pub const FILTER: &str = "GYPSUMTACK_LOG";

/// Starts writing events to standard error. A second call does nothing.
pub fn start() {
    let filter = EnvFilter::try_from_env(FILTER)
        .unwrap_or_else(|_| EnvFilter::new("info,xitca_server=warn,tarpc=error"));
    let lines = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    let lines =
        tracing_subscriber::Layer::with_filter(tracing_subscriber::Layer::boxed(lines), filter);
    let _ = tracing_subscriber::registry().with(lines).try_init();
}

/// How often a state that lasts is written again.
pub const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Lines about refusals of one reason that are written in a second; the others are counted. At some 400
/// bytes a line this bounds a reason to 10 KB a second, whatever the load.
const SAMPLE: u32 = 25;

/// Bounds the lines about what is decided again and again, such as refusals.
#[derive(Debug, Default)]
pub struct Sampler {
    kinds: Mutex<BTreeMap<&'static str, Window>>,
}

/// One kind's lines within the second that began at `since`.
#[derive(Debug, Default)]
struct Window {
    since: Time,
    written: u32,
    skipped: u64,
}

impl Sampler {
    /// How many events of `kind` a line that is written now stands for, itself and those skipped before
    /// it; `None` when it is to be skipped.
    pub fn weigh(&self, kind: &'static str, now: Time) -> Option<u64> {
        let mut kinds = lock(&self.kinds);
        let window = kinds.entry(kind).or_default();
        if now.since(window.since) >= LOG_INTERVAL {
            (window.since, window.written) = (now, 0);
        }
        if window.written >= SAMPLE {
            window.skipped += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.skipped) + 1)
    }
}
