//! Collection of timings between two log lines.

use std::time::Duration;

use gypsumtack::document::Importance;
use gypsumtack::timings::{DurationStats, Timings};

#[test]
fn duration_stats_hold_count_mean_and_maximum() {
    let mut stats = DurationStats::default();
    assert_eq!((stats.count(), stats.mean(), stats.max()), (0, Duration::ZERO, Duration::ZERO));
    for ms in [10, 20, 60] {
        stats.record(Duration::from_millis(ms));
    }
    assert_eq!(stats.count(), 3);
    assert_eq!(stats.mean(), Duration::from_millis(30));
    assert_eq!(stats.max(), Duration::from_millis(60));
}

#[test]
fn queue_waits_are_kept_by_importance_and_reset_when_taken() {
    let timings = Timings::default();
    timings.record_queue_wait(Importance::High, Duration::from_millis(900));
    timings.record_queue_wait(Importance::Normal, Duration::from_millis(1));
    let waits = timings.take_queue_waits();
    assert_eq!(waits[&Importance::High].max(), Duration::from_millis(900));
    assert_eq!(waits[&Importance::Normal].max(), Duration::from_millis(1));
    assert!(timings.take_queue_waits().is_empty());
}
