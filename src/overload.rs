//! Computes which share of the work that is offered to a service entries have to refuse.
//!
//! Each entry reports to one daemon beside the service how much work it is offered for that service,
//! refused work included. That daemon compares the sum with the capacity of the service's instances and
//! returns the share to refuse. A controller that only watched the queue would react too late to a
//! surge: work that entries admit reaches a service deep in the call graph over the next second, so
//! when its queue grows, a second of work is already on its way. docs/DESIGN.md, "Feedback", gives the
//! control law and the alternatives that were considered.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// Maximum share of requests that is refused. The rest is admitted as probes, so that estimates of
/// cost and capacity stay current.
pub const MAX_REFUSED_SHARE: f32 = 0.98;

/// How long an entry's report counts. Entries repeat their reports more often than that.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Queue wait that is tolerated, since a short queue keeps the slots busy.
const TARGET_WAIT: Duration = Duration::from_millis(15);

/// Time constant of the moving average of the queue wait.
const WAIT_AVERAGING_TIME: Duration = Duration::from_millis(100);

/// Time within which an excess wait is worked off by refusing more. A shorter time would overshoot,
/// since a change shows only after work that was admitted earlier has finished.
const DRAIN_TIME: Duration = Duration::from_millis(1_000);

/// Upper bound of the wait used in the control law, so that a long queue does not refuse everything.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Decrease of the usable share of the capacity per second, for each second of excess wait. It corrects
/// errors in the measured cost of requests, and so is slow.
const WAIT_DECREASE: f64 = 0.8;

/// Decrease of the usable share per second, times the fraction of requests that instances refuse. Where
/// requests would outlast their deadlines no queue forms, so the wait does not show the overload.
const REFUSED_DECREASE: f64 = 1.0;

/// Fraction of requests that instances may refuse without a decrease. Bursts of a few milliseconds cause
/// such refusals.
const REFUSED_TOLERANCE: f64 = 0.02;

/// Increase of the usable share per second while there is no excess wait.
const INCREASE: f64 = 0.05;

/// Bounds of the usable share. It exceeds 1 where requests take less time than was measured for them.
const MIN_USABLE_SHARE: f64 = 0.5;
const MAX_USABLE_SHARE: f64 = 1.25;

/// Capacity of one service, as one of its daemons sees it.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Slots of all instances together.
    pub slots: f64,
    /// Expected queue wait of a request that arrives at this instance now.
    pub wait: Duration,
    /// Recent fraction of requests to this instance that were refused or displaced another in its queue.
    pub refused_fraction: f64,
}

/// State of a service, returned to an entry that reported its offered work.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OverloadStatus {
    /// Share of the offered work that exceeds the capacity and that entries should refuse.
    pub excess_share: f32,
    /// Offered work divided by the capacity of the service.
    pub utilization: f32,
}

/// Sums up the work that entries report for one service and computes the share to refuse.
#[derive(Debug)]
pub struct OverloadController {
    /// Work offered at each entry, in seconds of a slot per second, and the time of its report.
    offered: BTreeMap<String, (f64, Time)>,
    /// Moving average of the queue wait, in seconds.
    mean_wait: f64,
    /// Share of the capacity that can be used without excess wait.
    usable_share: f64,
    updated: Time,
}

impl Default for OverloadController {
    fn default() -> Self {
        Self { offered: BTreeMap::new(), mean_wait: 0.0, usable_share: 1.0, updated: Time::ZERO }
    }
}

impl OverloadController {
    /// Records the work offered at the entry on `vm`, in seconds of a slot per second, and returns the
    /// status of the service.
    pub fn update(&mut self, vm: &str, work: f64, capacity: Capacity, now: Time) -> OverloadStatus {
        match self.offered.get_mut(vm) {
            Some(report) => *report = (work, now),
            None => drop(self.offered.insert(vm.to_owned(), (work, now))),
        }
        self.offered.retain(|_, (_, reported)| now.since(*reported) <= REPORT_TIMEOUT);
        let offered: f64 = self.offered.values().map(|(work, _)| work).sum();
        let slots = capacity.slots.max(1.0);
        self.adjust(capacity, offered > slots * self.usable_share, now);
        let usable_share = self.usable_share - self.excess_wait() / DRAIN_TIME.as_secs_f64();
        let excess_share = 1.0 - slots * usable_share / offered.max(f64::MIN_POSITIVE);
        let excess_share = excess_share.clamp(0.0, f64::from(MAX_REFUSED_SHARE)) as f32;
        OverloadStatus { excess_share, utilization: (offered / slots) as f32 }
    }

    /// Adjusts the usable share to the wait and to the fraction of requests that are refused. Without either,
    /// it grows while work is refused, and otherwise returns to 1: an empty queue is evidence of
    /// spare capacity only while the offered work would fill the service.
    fn adjust(&mut self, capacity: Capacity, is_refusing: bool, now: Time) {
        let elapsed = now.since(self.updated).min(WAIT_AVERAGING_TIME * 5).as_secs_f64();
        self.updated = now;
        let gain = 1.0 - (-elapsed / WAIT_AVERAGING_TIME.as_secs_f64()).exp();
        self.mean_wait += gain * (capacity.wait.as_secs_f64() - self.mean_wait);
        let excess_refused = (capacity.refused_fraction - REFUSED_TOLERANCE).max(0.0);
        let change = match WAIT_DECREASE * self.excess_wait() + REFUSED_DECREASE * excess_refused {
            decrease if decrease > 0.0 => -decrease,
            _ if is_refusing => INCREASE,
            _ => (1.0 - self.usable_share).clamp(-INCREASE, INCREASE),
        };
        self.usable_share =
            (self.usable_share + change * elapsed).clamp(MIN_USABLE_SHARE, MAX_USABLE_SHARE);
    }

    /// Mean wait beyond the target, in seconds.
    fn excess_wait(&self) -> f64 {
        (self.mean_wait.min(MAX_WAIT.as_secs_f64()) - TARGET_WAIT.as_secs_f64()).max(0.0)
    }
}
