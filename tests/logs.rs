//! How many lines are written, and what they stand for.

use std::time::Duration;

use gypsumtack::log::Sampler;
use gypsumtack::time::Time;

/// Ten times the load that fills the sample, for five seconds.
#[test]
fn lines_are_bounded_and_stand_for_every_event() {
    let sampler = Sampler::default();
    let (mut written, mut stood_for, mut events) = (0, 0, 0);
    for at in 0..5 * 2_500 {
        let now = Time::from_millis(1_000) + Duration::from_micros(at * 400);
        events += 1;
        if let Some(weight) = sampler.weigh("overloaded", now) {
            written += 1;
            stood_for += weight;
        }
    }
    assert!(written <= 6 * 25, "{written} lines");
    let late = Time::from_millis(60_000);
    stood_for += sampler.weigh("overloaded", late).expect("a new second has begun") - 1;
    assert_eq!(stood_for, events, "each event is in the weight of one line");
}

#[test]
fn one_kind_takes_no_lines_from_another() {
    let sampler = Sampler::default();
    let now = Time::from_millis(1_000);
    while sampler.weigh("overloaded", now).is_some() {}
    assert_eq!(sampler.weigh("no-instance", now), Some(1));
}
