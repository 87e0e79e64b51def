//! What a daemon knows of the backend server beside it, as a part of the blackboard: how much work it can
//! take, whether it takes any, and which requests it died under.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::board::Board;
use crate::document::Importance;
use crate::envelope::ReachedService;
use crate::log::PACE;
use crate::metrics::WaitLabels;
use crate::overload::{Capacity, OverloadStatus};
use crate::pipeline::Delivery;
use crate::quarantine::{CrashStatus, Fingerprint, Quarantine};
use crate::reason::Reason;
use crate::sync::lock;
use crate::time::Time;

/// The part of the slots that work can fill, those that are left free deducted.
const FILLED: f64 = 0.94;

/// Waits below this are not written: a queue of that length keeps slots busy.
const SHORT_WAIT: Duration = Duration::from_millis(5);

/// From how long on an answer that was held back leaves a line of its own.
const LONG_HOLD: Duration = Duration::from_millis(50);

impl Board {
    /// Whether a request may be tried at the local backend server, or that refuses everything.
    pub fn may_send_to_backend(&self) -> bool {
        self.shedding.allows_request(self.clock.now())
    }

    /// Notes whether the local backend server refused a request, and tells the others when that changes
    /// what is known of it.
    pub fn record_backend_response(&self, refused: bool) {
        if self.shedding.record(refused, self.clock.now()) {
            tracing::warn!(
                event = "backend-sheds-everything",
                vm = self.settings.vm,
                sheds = refused
            );
            self.publish_self();
        }
    }

    /// Takes the word of the entry on `vm` how much work it is offered for the local service.
    pub fn report_offered_work(&self, vm: &str, work: f64) -> OverloadStatus {
        let now = self.clock.now();
        let service = self.own_service();
        let slots: u32 = self.read_view(|view| {
            let near = view.iter().filter(|member| member.record.service == service);
            let able = near.filter(|member| member.accepts_requests(now) && !member.record.sheds);
            able.map(|member| member.record.slots).sum()
        });
        let (wait, turned_away) = self.gate.pressure();
        let capacity = Capacity { slots: f64::from(slots) * FILLED, wait, turned_away };
        let status = lock(&self.room).update(vm, work, capacity, now);
        if status.excess_share > 0.0 && self.room_line.is_due(now, PACE) {
            tracing::info!(
                event = "service-overloaded",
                vm = self.settings.vm,
                service,
                refuse_pct = (status.excess_share * 100.0) as u64,
                offered_pct = (status.utilization * 100.0) as u64,
                slots = capacity.slots,
                wait_ms = wait.as_millis() as u64,
                turned_away_pct = (turned_away * 100.0) as u64,
                service_ms = self.gate.load().mean_us / 1_000,
            );
        }
        status
    }

    /// Notes how long a request waited for a slot of the local backend server.
    pub fn record_queue_wait(&self, importance: Importance, span: Duration) {
        self.pulse.record_queue_wait(importance, span);
        let labels = WaitLabels { importance: importance.as_str() };
        self.metrics.waits.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Notes how long a ready answer waited for the answers before it on its caller's connection.
    pub fn record_delivery(&self, delivery: &Delivery<'_>) {
        let Delivery { request, behind, held } = *delivery;
        self.metrics.held_back.observe(held.as_secs_f64());
        self.pulse.record_held_back(held);
        if held < LONG_HOLD {
            return;
        }
        let Some(weight) = self.refusal_lines.weigh("held-back", self.clock.now()) else { return };
        tracing::info!(
            event = "held-back",
            weight,
            vm = self.settings.vm,
            %request,
            behind = behind.map(tracing::field::display),
            ms = held.as_millis() as u64,
        );
    }

    /// Notes by how much a timer of this daemon fired late.
    pub fn record_timer_lag(&self, span: Duration) {
        self.pulse.record_timer_lag(span);
        self.metrics.lag.observe(span.as_secs_f64());
    }

    /// Writes how this daemon and its backend server did since the last call: one line, and one for each
    /// importance that waited for a slot.
    pub fn log_load(&self) {
        let (lag, holds) = (self.pulse.take_timer_lag(), self.pulse.take_service_times());
        let held_back = self.pulse.take_held_back();
        let load = self.gate.load();
        let vm = &self.settings.vm;
        tracing::info!(
            event = "load",
            vm,
            service = self.own_service(),
            slots = load.slots,
            in_flight = load.in_flight,
            queued = load.queued,
            ended = holds.count(),
            held_ms = holds.mean().as_millis() as u64,
            held_most_ms = holds.max().as_millis() as u64,
            answered = held_back.count(),
            held_back_ms = held_back.mean().as_millis() as u64,
            held_back_most_ms = held_back.max().as_millis() as u64,
            lag_ms = lag.mean().as_millis() as u64,
            lag_most_ms = lag.max().as_millis() as u64,
        );
        for (importance, waits) in self.pulse.take_queue_waits() {
            if waits.max() < SHORT_WAIT {
                continue;
            }
            tracing::info!(
                event = "queue",
                vm,
                importance = importance.as_str(),
                started = waits.count(),
                waited_ms = waits.mean().as_millis() as u64,
                waited_most_ms = waits.max().as_millis() as u64,
            );
        }
    }

    /// Learns where a route leads from the local backend server.
    pub fn record_downstream(&self, route: &str, reach: &[ReachedService]) {
        if let Some(below) = self.tables.load().below.get(route) {
            below.learn(reach);
        }
    }

    /// Notes that a route is served by the local backend server, wherever it leads.
    pub fn record_served(&self, route: &str) {
        if let Some(below) = self.tables.load().below.get(route) {
            below.served.store(true, Ordering::Relaxed);
        }
    }

    /// Refuses a request that would wait on a service that already holds its share of the slots.
    ///
    /// The bound keeps slots for routes that do not reach that service. Where every route reaches it,
    /// there is nothing to keep slots for, and the bound does not apply.
    ///
    /// # Errors
    ///
    /// Returns the service and the numbers.
    pub fn check_waiting_share(&self, route: &str) -> Result<(), Reason> {
        let tables = self.tables.load();
        let Some(below) = tables.below.get(route) else { return Ok(()) };
        let slots = self.backend.load().as_ref().map_or(0, |backend| backend.slots);
        let share = self.policy.load().limits.waiting_share;
        let bound = ((f64::from(slots) * share) as u32).max(1);
        for service in below.services().iter() {
            let held = tables.services.get(service).map_or(0, |state| state.waiting());
            if held >= bound && tables.serves_without(service) {
                return Err(Reason::ServiceBound {
                    service: service.clone(),
                    in_flight: u64::from(held),
                    limit: u64::from(bound),
                });
            }
        }
        Ok(())
    }

    /// What is known of a request. The fingerprint is made only while anything is known of any.
    pub fn crash_status(&self, fingerprint: impl FnOnce() -> Fingerprint) -> CrashStatus {
        if !self.suspicious.load(Ordering::Acquire) {
            return CrashStatus::Clear;
        }
        lock(&self.quarantine).crash_status(fingerprint(), self.clock.now())
    }

    /// Notes that a backend server died under a request, which other daemons should hear at once.
    pub fn record_crash(&self, fingerprint: Fingerprint) {
        self.update_quarantine(|quarantine, now| quarantine.record_crash(fingerprint, now));
        self.news.notify_one();
    }

    /// Changes what is known of requests that crashed backend servers.
    pub fn update_quarantine(&self, change: impl FnOnce(&mut Quarantine, Time)) {
        let mut quarantine = lock(&self.quarantine);
        change(&mut quarantine, self.clock.now());
        self.suspicious.store(!quarantine.is_empty(), Ordering::Release);
    }

    /// Takes the one place for suspects on this VM; `None` while another suspect runs.
    pub fn acquire_suspect_permit(self: &Arc<Self>) -> Option<SuspectPermit> {
        let taken = self.suspect_runs.swap(true, Ordering::AcqRel);
        (!taken).then(|| SuspectPermit { board: Arc::clone(self) })
    }

    /// Notes that the local backend server is gone, until it announces itself again.
    pub fn clear_backend(&self) {
        self.backend.store(None);
        self.publish_self();
    }
}

/// The one place for suspects on a VM.
#[derive(Debug)]
pub struct SuspectPermit {
    board: Arc<Board>,
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        self.board.suspect_runs.store(false, Ordering::Release);
    }
}
