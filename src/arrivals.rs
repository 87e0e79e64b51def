//! Which requests other daemons have sent here lately.
//!
//! A request that is lost with its connection may have arrived or not. Its sender asks for it to be run if
//! it has not arrived, so that the request neither runs twice nor is given up although nobody has it.
//! docs/DESIGN.md, "Links".

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::envelope::RequestId;
use crate::time::Time;

/// How long an arrival is remembered. What was sent earlier than this may have arrived.
const ARRIVAL_MEMORY: Duration = Duration::from_secs(4);

/// How long a request is refused that was sent again and then arrives in its first form, which a network
/// may hold back for as long as it repeats lost packets.
const RESEND_MEMORY: Duration = Duration::from_secs(120);

/// The requests that arrived lately.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// When this record begins.
    since: Time,
    arrived: Recent,
    resent: Recent,
}

impl Arrivals {
    /// Creates an empty record that begins at `now`.
    pub fn new(now: Time) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// Records that a request arrived. Returns whether it may run, which it may not if its sender has sent
    /// it again meanwhile.
    pub fn record(&mut self, request: &RequestId, now: Time) -> bool {
        self.forget(now);
        let is_resent = self.resent.contains(request);
        if !is_resent {
            self.arrived.insert(request, now);
        }
        !is_resent
    }

    /// Records that a request arrived which was sent for the first time at `sent` or later. Returns whether
    /// it may run, which it may only if it has certainly not arrived before.
    ///
    /// `sent` is a time of this daemon's clock and not an age: an age would count from the arrival of the
    /// second form, which may be late as well.
    pub fn record_resent(&mut self, request: &RequestId, sent: Time, now: Time) -> bool {
        self.forget(now);
        let is_covered = sent > self.since.max(now - ARRIVAL_MEMORY);
        let has_arrived = self.arrived.contains(request) || self.resent.contains(request);
        let may_run = is_covered && !has_arrived && *request != RequestId::NONE;
        if may_run {
            self.resent.insert(request, now);
        }
        may_run
    }

    fn forget(&mut self, now: Time) {
        self.arrived.forget_before(now - ARRIVAL_MEMORY);
        self.resent.forget_before(now - RESEND_MEMORY);
    }
}

/// Requests with the time at which each was seen last.
#[derive(Debug, Default)]
struct Recent {
    seen: BTreeMap<RequestId, Time>,
    /// In the order of their times.
    order: VecDeque<(Time, RequestId)>,
}

impl Recent {
    fn contains(&self, request: &RequestId) -> bool {
        self.seen.contains_key(request)
    }

    fn insert(&mut self, request: &RequestId, now: Time) {
        self.seen.insert(request.clone(), now);
        self.order.push_back((now, request.clone()));
    }

    fn forget_before(&mut self, start: Time) {
        while self.order.front().is_some_and(|(time, _)| *time < start) {
            let Some((time, request)) = self.order.pop_front() else { return };
            if self.seen.get(&request) == Some(&time) {
                self.seen.remove(&request);
            }
        }
    }
}
