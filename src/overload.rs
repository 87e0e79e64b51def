//! How much of the work that is offered to a service has to be refused before it costs a slot anywhere.
//!
//! Entries tell one daemon beside the service how much work they are offered for it, refused work
//! included. That daemon compares the sum with what the service's instances can do, and answers with the
//! share to refuse. Nothing else answers a surge in time: work that entries let in reaches a deep service
//! over the next second, and by the time that a queue shows there, a second of it is on its way.
//! docs/DESIGN.md, "Feedback", gives the control law and the ways that were weighed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// The highest share that is refused. What it lets through are probes that keep estimates honest.
pub const MAX_REFUSED_SHARE: f32 = 0.98;

/// How long an entry's word counts; entries repeat it more often.
const BELIEF_TIME: Duration = Duration::from_millis(1_500);

/// The wait for a slot that is left to the queue, which keeps the slots busy.
const TARGET_WAIT: Duration = Duration::from_millis(15);

/// Over which time the wait is averaged.
const WAIT_TIME: Duration = Duration::from_millis(100);

/// Within which time a wait that is too long is worked off, by refusing so much more. Going faster would
/// overshoot, since what is decided now shows only when work that was let in before has run off.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);

/// The longest wait that counts, so that a long queue does not refuse everything.
const MOST_WAIT: Duration = Duration::from_millis(300);

/// By how much the usable part of the capacity falls in a second, for each second that the wait is too
/// long. It corrects a wrong measure of the work, and so is slow.
const FALL: f64 = 0.8;

/// By how much the usable part falls in a second, for the part of requests that is turned away. Where
/// requests would outlast their deadlines there is no queue, and so no wait that tells.
const TURNED_FALL: f64 = 1.0;

/// The part that may be turned away without a change; bursts of some milliseconds do that.
const TURNED_CALM: f64 = 0.02;

/// By how much it grows in a second while there is no wait.
const RISE: f64 = 0.05;

/// Bounds of the usable part. It is above 1 where requests take less than their measured work.
const LEAST_USABLE: f64 = 0.5;
const MOST_USABLE: f64 = 1.25;

/// What one service can do, as one of its daemons sees it.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Slots of all instances together.
    pub slots: f64,
    /// How long a request that comes to this instance now would wait for a slot.
    pub wait: Duration,
    /// The part of the requests that came to this instance lately and were refused there.
    pub refused_fraction: f64,
}

/// The answer to an entry.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OverloadStatus {
    /// The share of the offered work that entries should refuse.
    pub excess_share: f32,
    /// What is offered, as a part of what the service can do.
    pub utilization: f32,
}

/// The work that entries are offered for one service.
#[derive(Debug)]
pub struct OverloadController {
    /// Seconds of a slot that each entry is offered in a second, and when it said so.
    offered: BTreeMap<String, (f64, Time)>,
    /// The mean wait, in seconds.
    wait: f64,
    /// The part of the capacity that has proved usable without a wait.
    usable: f64,
    decided: Time,
}

impl Default for OverloadController {
    fn default() -> Self {
        Self { offered: BTreeMap::new(), wait: 0.0, usable: 1.0, decided: Time::ZERO }
    }
}

impl OverloadController {
    /// Takes the word of the entry on `vm`, that it is offered so many seconds of a slot in a second, and
    /// answers it.
    pub fn update(&mut self, vm: &str, work: f64, capacity: Capacity, now: Time) -> OverloadStatus {
        match self.offered.get_mut(vm) {
            Some(known) => *known = (work, now),
            None => drop(self.offered.insert(vm.to_owned(), (work, now))),
        }
        self.offered.retain(|_, (_, said)| now.since(*said) <= BELIEF_TIME);
        let offered: f64 = self.offered.values().map(|(work, _)| work).sum();
        let possible = capacity.slots.max(1.0);
        self.adjust(capacity, offered > possible * self.usable, now);
        let usable = self.usable - self.excess() / DRAIN_TIME.as_secs_f64();
        let excess_share = 1.0 - possible * usable / offered.max(f64::MIN_POSITIVE);
        let excess_share = excess_share.clamp(0.0, f64::from(MAX_REFUSED_SHARE)) as f32;
        OverloadStatus { excess_share, utilization: (offered / possible) as f32 }
    }

    /// Moves the usable part by the wait. It says something only while work is refused, or the wait is
    /// too long; otherwise it returns to the whole.
    fn adjust(&mut self, capacity: Capacity, refusing: bool, now: Time) {
        let seconds = now.since(self.decided).min(WAIT_TIME * 5).as_secs_f64();
        self.decided = now;
        let new = 1.0 - (-seconds / WAIT_TIME.as_secs_f64()).exp();
        self.wait += new * (capacity.wait.as_secs_f64() - self.wait);
        let turned = (capacity.refused_fraction - TURNED_CALM).max(0.0);
        let change = match FALL * self.excess() + TURNED_FALL * turned {
            fall if fall > 0.0 => -fall,
            _ if refusing => RISE,
            _ => (1.0 - self.usable).clamp(-RISE, RISE),
        };
        self.usable = (self.usable + change * seconds).clamp(LEAST_USABLE, MOST_USABLE);
    }

    /// By how many seconds the wait is too long.
    fn excess(&self) -> f64 {
        (self.wait.min(MOST_WAIT.as_secs_f64()) - TARGET_WAIT.as_secs_f64()).max(0.0)
    }
}
