//! Computes which share of the work that is offered to a service entries have to refuse.
//!
//! Each entry reports to one daemon beside the service how much work it is offered for that service,
//! refused work included, and what the answers since its last report told of the instances' load. That
//! daemon compares the sum with the capacity of the service's instances and returns the share to refuse.
//! It needs the reports of load because it sees the queue of one instance only, and the others may be
//! full while that one is idle. A controller that only watched the queue would react too late to a
//! surge: work that entries admit reaches a service deep in the call graph over the next second, so
//! when its queue grows, a second of work is already on its way. docs/DESIGN.md, "Feedback", gives the
//! control law and the alternatives that were considered.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::envelope::Load;
use crate::time::Time;

/// Share of the work that a service keeps which is left to each class of which all else is refused.
/// These requests are probes, so that estimates of cost and capacity stay current. A share of what the
/// class asks for would grow with the overload, and fill a service that is offered fifty times its
/// capacity.
pub const PROBE_SHARE: f64 = 0.02;

/// Maximum share of the offered work that a service wants refused.
const MAX_EXCESS_SHARE: f64 = 0.998;

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

/// Utilization of the slots below which refusals are evidence that requests cost less than entries
/// believe, such as after a slow service has recovered: while nearly all is refused, few answers correct
/// their estimates.
const MIN_UTILIZATION: f64 = 0.7;

/// Relative increase of the usable share per second while work is refused and all slots are idle.
const IDLE_INCREASE: f64 = 2.0;

/// Relative decrease of a usable share above 1 per second while nothing is refused.
const RETURN_RATE: f64 = 1.0;

/// Bounds of the usable share. It exceeds 1 where requests take less time than was measured for them.
const MIN_USABLE_SHARE: f64 = 0.5;
const MAX_USABLE_SHARE: f64 = 16.0;

/// Number of answers that reports of load have to stem from. With fewer, the load of the daemon's own
/// instance counts.
const MIN_ANSWERS: u32 = 10;

/// Capacity and load of one service.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Slots of all instances together.
    pub slots: f64,
    /// Expected queue wait of a request that arrives now.
    pub wait: Duration,
    /// Recent fraction of requests that instances refused, or that displaced another in their queues.
    pub refused_fraction: f64,
    /// Fraction of the slots that hold a request.
    pub busy_fraction: f64,
}

/// What an entry reports to a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Work that the entry is offered for the service, in seconds of a slot per second.
    pub work: f64,
    /// What its requests to the service met since the last report.
    pub seen: SeenLoad,
}

/// The load of a service's instances, summed up over the answers of some time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct SeenLoad {
    /// Number of answers.
    answers: u32,
    /// Number of answers that refused the request.
    refused: u32,
    /// Sum of the expected queue waits, in seconds.
    waits: f32,
    /// Sum of the fractions of slots in use.
    busy: f32,
}

impl SeenLoad {
    /// Adds what one answer told of its instance.
    pub fn record(&mut self, load: Load, refused: bool) {
        let slots = load.slots.max(1) as f32;
        self.answers += 1;
        self.refused += u32::from(refused);
        self.waits += load.queued as f32 / slots * load.mean_us as f32 / 1_000_000.0;
        self.busy += (load.in_flight as f32 / slots).min(1.0);
    }

    fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.refused = self.refused.saturating_add(other.refused);
        self.waits += other.waits;
        self.busy += other.busy;
    }
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
    /// The last report of each entry, and when it arrived.
    reports: BTreeMap<String, (DemandReport, Time)>,
    /// Moving average of the queue wait, in seconds.
    mean_wait: f64,
    /// Share of the capacity that can be used without excess wait.
    usable_share: f64,
    updated: Time,
}

impl Default for OverloadController {
    fn default() -> Self {
        Self { reports: BTreeMap::new(), mean_wait: 0.0, usable_share: 1.0, updated: Time::ZERO }
    }
}

impl OverloadController {
    /// Records the report of the entry on `vm`, and returns the status of the service. `local` is its
    /// capacity, with the load of the instance beside this daemon.
    pub fn update(
        &mut self,
        vm: &str,
        report: DemandReport,
        local: Capacity,
        now: Time,
    ) -> OverloadStatus {
        match self.reports.get_mut(vm) {
            Some(known) => *known = (report, now),
            None => drop(self.reports.insert(vm.to_owned(), (report, now))),
        }
        self.reports.retain(|_, (_, reported)| now.since(*reported) <= REPORT_TIMEOUT);
        let capacity = self.service_capacity(local);
        let offered: f64 = self.reports.values().map(|(report, _)| report.work).sum();
        let slots = capacity.slots.max(1.0);
        self.adjust(capacity, offered > slots * self.usable_share, now);
        let drained = self.excess_wait() / DRAIN_TIME.as_secs_f64() * self.usable_share.max(1.0);
        let excess_share =
            1.0 - slots * (self.usable_share - drained) / offered.max(f64::MIN_POSITIVE);
        let excess_share = excess_share.clamp(0.0, MAX_EXCESS_SHARE) as f32;
        OverloadStatus { excess_share, utilization: (offered / slots) as f32 }
    }

    /// Replaces the load of one instance by the mean over all instances that entries have reported.
    pub fn service_capacity(&self, local: Capacity) -> Capacity {
        let mut seen = SeenLoad::default();
        for (report, _) in self.reports.values() {
            seen.add(&report.seen);
        }
        if seen.answers < MIN_ANSWERS {
            return local;
        }
        let answers = f64::from(seen.answers);
        Capacity {
            slots: local.slots,
            wait: Duration::try_from_secs_f64(f64::from(seen.waits).max(0.0) / answers)
                .unwrap_or(MAX_WAIT),
            refused_fraction: f64::from(seen.refused) / answers,
            busy_fraction: f64::from(seen.busy) / answers,
        }
    }

    /// Adjusts the usable share to the wait and to the fraction of requests that are refused. Without either,
    /// it grows while work is refused, faster the more slots are idle, and otherwise returns to 1: an
    /// empty queue is evidence of spare capacity only while the offered work would fill the service.
    fn adjust(&mut self, capacity: Capacity, is_refusing: bool, now: Time) {
        let elapsed = now.since(self.updated).min(WAIT_AVERAGING_TIME * 5).as_secs_f64();
        self.updated = now;
        let gain = 1.0 - (-elapsed / WAIT_AVERAGING_TIME.as_secs_f64()).exp();
        self.mean_wait += gain * (capacity.wait.as_secs_f64() - self.mean_wait);
        let excess_refused = (capacity.refused_fraction - REFUSED_TOLERANCE).max(0.0);
        let idle = (1.0 - capacity.busy_fraction / MIN_UTILIZATION).max(0.0);
        let change = match WAIT_DECREASE * self.excess_wait() + REFUSED_DECREASE * excess_refused {
            decrease if decrease > 0.0 => -decrease * self.usable_share.max(1.0),
            _ if is_refusing => INCREASE + IDLE_INCREASE * idle * self.usable_share,
            _ => {
                let surplus = (self.usable_share - 1.0).max(0.0);
                (1.0 - self.usable_share).clamp(-INCREASE - RETURN_RATE * surplus, INCREASE)
            }
        };
        self.usable_share =
            (self.usable_share + change * elapsed).clamp(MIN_USABLE_SHARE, MAX_USABLE_SHARE);
    }

    /// Mean wait beyond the target, in seconds.
    fn excess_wait(&self) -> f64 {
        (self.mean_wait.min(MAX_WAIT.as_secs_f64()) - TARGET_WAIT.as_secs_f64()).max(0.0)
    }
}
