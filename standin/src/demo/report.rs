//! Results of the demo, as data and as a text table.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::traffic::{CallRecord, CallResult};

/// Phases in the order of the report.
const PHASES: [&str; 6] = ["calm", "overload", "recovery", "outage", "withdrawal", "drain"];

/// Importances in the order of the report.
const IMPORTANCES: [&str; 4] = ["critical", "high", "normal", "low"];

/// Results of the demo.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Seed of the traffic.
    pub seed: u64,
    /// Duration of the demo, in seconds.
    pub seconds: f64,
    /// Results of the requests, by phase and importance.
    pub rows: Vec<Row>,
    /// Results of the promises.
    pub promises: Vec<Promise>,
}

/// Results of the requests of one importance in one phase.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Name of the phase.
    pub phase: &'static str,
    /// Importance of the requests.
    pub importance: &'static str,
    /// Number of requests sent.
    pub offered: u64,
    /// Number of requests that received the complete answer.
    pub whole: u64,
    /// Number of requests that were not served, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Median latency of complete answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of complete answers, in milliseconds.
    pub p99_ms: f64,
}

/// Result of one promise of the brief.
#[derive(Debug, Serialize)]
pub struct Promise {
    /// Text of the promise.
    pub name: &'static str,
    /// Number of cases checked.
    pub checked: u64,
    /// Number of cases in which the promise was broken.
    pub broken: u64,
}

impl Report {
    pub(super) fn new(
        seed: u64,
        time: Duration,
        records: &[CallRecord],
        promises: Vec<Promise>,
    ) -> Self {
        let pairs =
            PHASES.iter().flat_map(|phase| IMPORTANCES.map(|importance| (phase, importance)));
        let rows = pairs.map(|(phase, importance)| Row::new(phase, importance, records)).collect();
        Self { seed, seconds: time.as_secs_f64(), rows, promises }
    }

    /// Returns the number of cases in which any promise was broken.
    pub fn broken(&self) -> u64 {
        self.promises.iter().map(|promise| promise.broken).sum()
    }

    /// Formats the report as a text table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<11} {:<9} {:>7} {:>7} {:>8} {:>8}  not served\n",
            "phase", "class", "offered", "whole", "p50 ms", "p99 ms"
        );
        for row in &self.rows {
            let reasons: Vec<String> =
                row.refused.iter().map(|(reason, count)| format!("{reason} {count}")).collect();
            let _ = writeln!(
                text,
                "{:<11} {:<9} {:>7} {:>7} {:>8.1} {:>8.1}  {}",
                row.phase,
                row.importance,
                row.offered,
                row.whole,
                row.p50_ms,
                row.p99_ms,
                reasons.join(", ")
            );
        }
        let _ = writeln!(text, "\n{:<48} {:>8} {:>8}", "promise", "checked", "broken");
        for promise in &self.promises {
            let _ =
                writeln!(text, "{:<48} {:>8} {:>8}", promise.name, promise.checked, promise.broken);
        }
        let _ = writeln!(text, "\nseed {}, {:.1} s", self.seed, self.seconds);
        text
    }
}

impl Row {
    fn new(phase: &'static str, importance: &'static str, records: &[CallRecord]) -> Self {
        let own = records
            .iter()
            .filter(|record| record.phase == phase && record.importance == importance);
        let mut row = Self {
            phase,
            importance,
            offered: 0,
            whole: 0,
            refused: BTreeMap::new(),
            p50_ms: 0.0,
            p99_ms: 0.0,
        };
        let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        for record in own {
            row.offered += 1;
            if record.result == CallResult::Complete {
                row.whole += 1;
                if let Some(latencies) = &mut latencies {
                    latencies.saturating_record(record.latency.as_micros() as u64);
                }
            } else {
                *row.refused.entry(reason(&record.result).to_owned()).or_insert(0) += 1;
            }
        }
        let quantile_ms = |q| {
            latencies
                .as_ref()
                .map_or(0.0, |latencies| latencies.value_at_quantile(q) as f64 / 1_000.0)
        };
        (row.p50_ms, row.p99_ms) = (quantile_ms(0.5), quantile_ms(0.99));
        row
    }
}

fn reason(result: &CallResult) -> &str {
    match result {
        CallResult::Complete => "whole",
        CallResult::WrongAnswer => "wrong answer",
        CallResult::Refused { reason, .. } => reason,
        CallResult::ServiceFailed => "service failed",
        CallResult::NotConnected => "not connected",
        CallResult::Aborted => "cut",
    }
}
