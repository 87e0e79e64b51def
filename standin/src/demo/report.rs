//! What the demo found, as a table and as data.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::traffic::{Ending, Kind};

/// The order in which phases are shown.
const PHASES: [&str; 6] = ["calm", "overload", "recovery", "outage", "withdrawal", "drain"];

/// The order in which importances are shown.
const IMPORTANCES: [&str; 4] = ["critical", "high", "normal", "low"];

/// What the demo found.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The seed of the traffic.
    pub seed: u64,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// What became of the requests.
    pub rows: Vec<Row>,
    /// The promises that were checked.
    pub promises: Vec<Promise>,
}

/// The requests of one importance in one phase.
#[derive(Debug, Serialize)]
pub struct Row {
    /// The phase.
    pub phase: &'static str,
    /// The importance.
    pub importance: &'static str,
    /// Requests that were sent.
    pub offered: u64,
    /// Requests that got their whole answer.
    pub whole: u64,
    /// Requests that were not served, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Median time to a whole answer, in milliseconds.
    pub p50_ms: f64,
    /// The time within which 99 in 100 whole answers came, in milliseconds.
    pub p99_ms: f64,
}

/// One promise of the brief.
#[derive(Debug, Serialize)]
pub struct Promise {
    /// What is promised.
    pub name: &'static str,
    /// How many cases were checked.
    pub checked: u64,
    /// In how many of them it was broken.
    pub broken: u64,
}

impl Report {
    pub(super) fn new(
        seed: u64,
        time: Duration,
        endings: &[Ending],
        promises: Vec<Promise>,
    ) -> Self {
        let pairs =
            PHASES.iter().flat_map(|phase| IMPORTANCES.map(|importance| (phase, importance)));
        let rows = pairs.map(|(phase, importance)| Row::new(phase, importance, endings)).collect();
        Self { seed, seconds: time.as_secs_f64(), rows, promises }
    }

    /// In how many cases a promise was broken.
    pub fn broken(&self) -> u64 {
        self.promises.iter().map(|promise| promise.broken).sum()
    }

    /// The report as text.
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
    fn new(phase: &'static str, importance: &'static str, endings: &[Ending]) -> Self {
        let mine = endings.iter().filter(|e| e.phase == phase && e.importance == importance);
        let mut row = Self {
            phase,
            importance,
            offered: 0,
            whole: 0,
            refused: BTreeMap::new(),
            p50_ms: 0.0,
            p99_ms: 0.0,
        };
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        for ending in mine {
            row.offered += 1;
            if ending.kind == Kind::Whole {
                row.whole += 1;
                if let Some(times) = &mut times {
                    times.saturating_record(ending.took.as_micros() as u64);
                }
            } else {
                *row.refused.entry(reason(&ending.kind).to_owned()).or_insert(0) += 1;
            }
        }
        let at =
            |q| times.as_ref().map_or(0.0, |times| times.value_at_quantile(q) as f64 / 1_000.0);
        (row.p50_ms, row.p99_ms) = (at(0.5), at(0.99));
        row
    }
}

fn reason(kind: &Kind) -> &str {
    match kind {
        Kind::Whole => "whole",
        Kind::Wrong => "wrong answer",
        Kind::Refused { reason, .. } => reason,
        Kind::Failed => "service failed",
        Kind::Unconnected => "not connected",
        Kind::Cut => "cut",
    }
}
