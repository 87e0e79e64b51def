//! Counters and gauges for `/metrics`.
//!
//! Labels are routes, customers, importances and reason codes: words of the document. No key and no
//! request's name is ever a label.

use std::fmt;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a request that entered here.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The entry route; empty where none matched.
    pub route: String,
    /// The customer; empty where none is known.
    pub customer: String,
    /// The importance.
    pub importance: &'static str,
    /// What is known about whether it ran.
    pub outcome: &'static str,
    /// The reason's code; empty for a request that was served.
    pub reason: &'static str,
}

/// Labels of an attempt on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Labels of a refusal at the guard.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GuardLabels {
    /// The importance.
    pub importance: &'static str,
    /// The reason's code.
    pub reason: &'static str,
}

/// Labels of a wait for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WaitLabels {
    /// The importance.
    pub importance: &'static str,
}

/// All metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    /// Requests that entered here, by how they ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts beyond the first.
    pub retries: Family<ServiceLabels, Counter>,
    /// Refusals at the local guard.
    pub refusals: Family<GuardLabels, Counter>,
    /// Seconds from entry to answer.
    pub request_seconds: Histogram,
    /// Seconds that requests waited for a slot of the local backend server.
    pub queue_waits: Family<WaitLabels, Histogram>,
    /// Seconds by which timers of this daemon fired late.
    pub timer_lag: Histogram,
    /// Seconds that ready answers waited for those before them on their connections.
    pub held_back: Histogram,
    /// Tokens borrowed from other VMs.
    pub borrowed: Counter,
    /// Exchanges with the platform that failed.
    pub platform_failures: Counter,
    /// The version of the document in force.
    pub document_version: Gauge,
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
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("gypsumtack"),
            requests: Family::default(),
            retries: Family::default(),
            refusals: Family::default(),
            request_seconds: spans(),
            queue_waits: Family::new_with_constructor(spans),
            timer_lag: spans(),
            held_back: spans(),
            borrowed: Counter::default(),
            platform_failures: Counter::default(),
            document_version: Gauge::default(),
            in_flight: Gauge::default(),
            queued: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// All metrics in the text format of Prometheus.
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
        registry.register("retries", "Attempts beyond the first", self.retries.clone());
        registry.register("refusals", "Refusals at the guard", self.refusals.clone());
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
        registry.register("document_version", "Document in force", self.document_version.clone());
        registry.register("in_flight", "Requests that hold a slot", self.in_flight.clone());
        registry.register("queued", "Requests that wait for a slot", self.queued.clone());
    }
}

/// A histogram of times from half a millisecond to eight seconds.
fn spans() -> Histogram {
    Histogram::new(exponential_buckets(0.000_5, 2.0, 15))
}
