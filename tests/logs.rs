//! Limits on the number of sampled log lines, and the number of events that each line represents.

use std::time::Duration;

use gypsumtack::log::Sampler;
use gypsumtack::time::Time;

/// Five seconds of events at a hundred times the rate at which every event gets a line. Guards against
/// a log volume that grows with the load, and against events that no line counts.
#[test]
fn lines_are_limited_and_their_weights_count_every_event() {
    let sampler = Sampler::default();
    let (mut written, mut represented, mut events) = (0, 0, 0);
    for index in 0..5 * 2_500 {
        let now = Time::from_millis(1_000) + Duration::from_micros(index * 400);
        events += 1;
        if let Some(weight) = sampler.weigh("overloaded", now) {
            written += 1;
            represented += weight;
        }
    }
    assert!(written <= 6 * 25, "{written} lines written");
    let late = Time::from_millis(60_000);
    represented +=
        sampler.weigh("overloaded", late).expect("the limit starts again each second") - 1;
    assert_eq!(represented, events, "each event counts in the weight of exactly one line");
}

#[test]
fn each_kind_has_its_own_limit() {
    let sampler = Sampler::default();
    let now = Time::from_millis(1_000);
    while sampler.weigh("overloaded", now).is_some() {}
    assert_eq!(sampler.weigh("no-instance", now), Some(1));
}
