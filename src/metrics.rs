//! Counters, gauges and histograms for `/metrics`.
//!
//! Label values are routes, customers, importances, outcomes, services and reason codes. API keys and
//! request ids are never labels.

use std::fmt;
use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::unreadable::UnreadableCounter;

/// Labels of a request that a caller sent to this daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The entry route; empty if none matched.
    pub route: String,
    /// The customer; empty if unknown.
    pub customer: String,
    /// The importance.
    pub importance: &'static str,
    /// Whether the request ran, as far as is known.
    pub outcome: &'static str,
    /// The reason's code; empty for a request that was served.
    pub reason: &'static str,
}

/// Labels of an attempt after the first.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RetryLabels {
    /// The service.
    pub service: String,
    /// Why the attempt before it failed.
    pub reason: &'static str,
    /// Whether the request may have reached a backend server before.
    pub repeat: &'static str,
}

/// Labels of a refusal at the guard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GuardLabels {
    /// The importance.
    pub importance: &'static str,
    /// The reason's code.
    pub reason: &'static str,
}

/// Labels of an answer of the local backend server without the id of its request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct UnmatchedLabels {
    /// What the request id in it says; see [`crate::echo::Echo`].
    pub id: &'static str,
    /// Whether it says that a request was not run.
    pub refusal: &'static str,
}

/// Labels of a queue wait.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WaitLabels {
    /// The importance.
    pub importance: &'static str,
}

/// All metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests from callers, by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts after the first.
    pub retries: Family<RetryLabels, Counter>,
    /// Refusals at the local guard.
    pub refusals: Family<GuardLabels, Counter>,
    /// Answers of the local backend server without the ids of their requests.
    pub unmatched: Family<UnmatchedLabels, Counter>,
    /// Seconds from the arrival of a request to its answer.
    pub request_seconds: Histogram,
    /// Seconds that requests waited for a slot of the local backend server.
    pub queue_waits: Family<WaitLabels, Histogram>,
    /// Seconds of delay with which this daemon's timers fired.
    pub timer_lag: Histogram,
    /// Seconds that finished answers waited for earlier answers on their connections.
    pub held_back: Histogram,
    /// Tokens borrowed from other VMs.
    pub borrowed: Counter,
    /// Failed requests to the platform.
    pub platform_failures: Counter,
    /// Rows of the store that cannot be read, by table.
    pub unreadable_rows: UnreadableCounter,
    /// The version of the document in force.
    pub document_version: Gauge,
    /// The newest version of the document that a peer has reported.
    pub reported_version: Gauge,
    /// Seconds for which a peer has reported a newer version than the one in force; 0 if none has.
    pub behind_seconds: Gauge<f64, AtomicU64>,
    /// The era of the store that is known here.
    pub store_era: Gauge,
    /// Requests per second that the local backend server takes; infinite while it names no limit.
    pub backend_limit: Gauge<f64, AtomicU64>,
    /// Requests that hold a slot.
    pub in_flight: Gauge,
    /// Requests that wait for a slot.
    pub queued: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gypsumtack"),
            requests: Family::default(),
            retries: Family::default(),
            refusals: Family::default(),
            unmatched: Family::default(),
            request_seconds: duration_histogram(),
            queue_waits: Family::new_with_constructor(duration_histogram),
            timer_lag: duration_histogram(),
            held_back: duration_histogram(),
            borrowed: Counter::default(),
            platform_failures: Counter::default(),
            unreadable_rows: UnreadableCounter::default(),
            document_version: Gauge::default(),
            reported_version: Gauge::default(),
            behind_seconds: Gauge::default(),
            store_era: Gauge::default(),
            backend_limit: Gauge::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(fmt::Error) => String::new(),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that entered here", self.requests.clone());
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register("refusals", "Refusals at the guard", self.refusals.clone());
        registry.register(
            "unmatched_answers",
            "Answers of the backend server without the ids of their requests",
            self.unmatched.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from entry to answer",
            self.request_seconds.clone(),
        );
        let waits = self.queue_waits.clone();
        registry.register("queue_wait_seconds", "Time that requests waited for a slot", waits);
        let held_back = self.held_back.clone();
        registry.register("held_back_seconds", "Time that ready answers waited", held_back);
        registry.register("timer_lag_seconds", "Lateness of timers", self.timer_lag.clone());
        registry.register("borrowed", "Tokens borrowed from other VMs", self.borrowed.clone());
        let failures = self.platform_failures.clone();
        registry.register("platform_failures", "Failed exchanges with the platform", failures);
        let unreadable = self.unreadable_rows.clone();
        registry.register("unreadable_rows", "Rows of the store that cannot be read", unreadable);
        registry.register("document_version", "Document in force", self.document_version.clone());
        registry.register(
            "document_reported_version",
            "Newest document that a peer has reported",
            self.reported_version.clone(),
        );
        registry.register(
            "document_behind_seconds",
            "Time for which a newer document than the one in force has been reported",
            self.behind_seconds.clone(),
        );
        registry.register("store_era", "Era of the store", self.store_era.clone());
        self.backend_limit.set(f64::INFINITY);
        let limit = self.backend_limit.clone();
        registry.register(
            "backend_limit",
            "Requests per second that the backend server takes",
            limit,
        );
        registry.register("in_flight", "Requests that hold a slot", self.in_flight.clone());
        registry.register("queued", "Requests that wait for a slot", self.queued.clone());
    }
}

/// Creates a histogram of durations from half a millisecond to eight seconds.
fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 15))
}
