//! How a daemon's doing is gathered between two lines about it.

use std::time::Duration;

use gypsumtack::document::Importance;
use gypsumtack::timings::{DurationStats, Timings};

#[test]
fn spans_are_told_by_their_mean_and_the_longest() {
    let mut spans = DurationStats::default();
    assert_eq!((spans.count(), spans.mean(), spans.max()), (0, Duration::ZERO, Duration::ZERO));
    for ms in [10, 20, 60] {
        spans.record(Duration::from_millis(ms));
    }
    assert_eq!(spans.count(), 3);
    assert_eq!(spans.mean(), Duration::from_millis(30));
    assert_eq!(spans.max(), Duration::from_millis(60));
}

#[test]
fn waits_are_told_apart_by_importance_and_told_once() {
    let pulse = Timings::default();
    pulse.record_queue_wait(Importance::High, Duration::from_millis(900));
    pulse.record_queue_wait(Importance::Normal, Duration::from_millis(1));
    let waits = pulse.take_queue_waits();
    assert_eq!(waits[&Importance::High].max(), Duration::from_millis(900));
    assert_eq!(waits[&Importance::Normal].max(), Duration::from_millis(1));
    assert!(pulse.take_queue_waits().is_empty());
}
