//! The part of the shared state ([`Board`]) that concerns the local backend server: whether it accepts
//! requests, how much load it can handle, and which requests it crashed on.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::announcement::{BackendServer, Identity, Rejection, usable_slots};
use crate::board::Board;
use crate::connection::AnswerHead;
use crate::dialect::Dialect;
use crate::document::Importance;
use crate::echo::Echo;
use crate::envelope::{Load, ReachedService, RequestId};
use crate::log::LOG_INTERVAL;
use crate::metrics::{UnmatchedLabels, WaitLabels};
use crate::notices::{NamedLimit, Noticed, Notices};
use crate::overload::{Capacity, DemandReport, OverloadStatus};
use crate::pipeline::Delivery;
use crate::quarantine::{CrashId, CrashStatus, Fingerprint, Quarantine};
use crate::reason::Reason;
use crate::runs::Verdict;
use crate::sync::lock;
use crate::time::{self, Time};

/// Fraction of the announced slots that counts as capacity. Requests cannot fill all of them, since some
/// are kept free (`announcement::usable_slots`).
const USABLE_SLOT_FRACTION: f64 = 0.94;

/// A change of the offered slots by more than one part in this many is published.
const MIN_SLOTS_CHANGE: u32 = 5;

/// Queue waits below this are not logged: a queue of that length only keeps the slots busy.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(5);

/// Shortest delay behind earlier answers on the connection that is logged on its own.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(50);

impl Board {
    /// Records an announcement of the local backend server. One that is older than the newest changes
    /// nothing, unless it says that the same run drains.
    ///
    /// # Errors
    ///
    /// Returns why the announcement does not hold. It is not acknowledged then.
    pub fn announce(&self, backend: BackendServer) -> Result<(), Rejection> {
        let mut runs = lock(&self.runs);
        let checked = backend.check(&self.identity.load());
        checked.inspect_err(|rejection| self.log_rejection(&backend, rejection))?;
        let verdict = runs.judge(&backend, self.clock.now(), time::unix_millis());
        match verdict {
            Verdict::Newest => {
                self.record_announcement(self.with_notices(backend));
                return Ok(());
            }
            Verdict::Delayed if backend.draining => {
                if let Some(known) = self.backend.load_full().filter(|known| !known.draining) {
                    self.close_backend((*known).clone());
                }
            }
            Verdict::Delayed | Verdict::Withdrawn | Verdict::OtherRun => {}
        }
        let (id, started, sequence) = (&backend.id, backend.started, backend.sequence);
        tracing::info!(event = "announcement-outdated", id, started, sequence, ?verdict);
        if verdict == Verdict::OtherRun { Err(Rejection::OtherRun) } else { Ok(()) }
    }

    fn log_rejection(&self, backend: &BackendServer, rejection: &Rejection) {
        if !self.rejection_log.is_due(self.clock.now(), LOG_INTERVAL) {
            return;
        }
        tracing::warn!(
            event = "announcement-rejected",
            vm = self.settings.vm,
            id = backend.id,
            started = backend.started,
            sequence = backend.sequence,
            problem = %rejection,
        );
    }

    fn record_announcement(&self, backend: BackendServer) {
        let known = self.backend.load();
        if known.as_ref().is_some_and(|known| known.has_same_state(&backend)) {
            return;
        }
        if backend.draining {
            self.schedule_closing();
            self.tell_leaving(&backend);
        } else if !self.is_leaving() {
            self.closing.store(u64::MAX, Ordering::Release);
        }
        tracing::info!(
            event = "backend-announced",
            id = backend.id,
            started = backend.started,
            age_ms = time::unix_millis().saturating_sub(backend.started),
            service = backend.service,
            address = %backend.address,
            slots = backend.slots,
            draining = backend.draining,
        );
        // A draining backend server keeps its slots for requests that have already arrived.
        let slots = usable_slots(backend.slots);
        self.backend.store(Some(Arc::new(backend)));
        self.gate.set_slots(slots);
        self.publish_self();
    }

    /// The service of the local backend server: that of the settings, else the announced one. Empty while
    /// neither is known.
    pub fn own_service(&self) -> String {
        let identity = self.identity.load();
        if !identity.service.is_empty() {
            return identity.service.clone();
        }
        self.backend.load().as_ref().map(|backend| backend.service.clone()).unwrap_or_default()
    }

    /// Takes what the settings now say of the local backend server. One that they contradict is used no
    /// more.
    pub fn set_identity(&self, identity: Identity) {
        if **self.identity.load() == identity {
            return;
        }
        // No announcement is checked against the former identity and recorded after this.
        let _runs = lock(&self.runs);
        let Identity { service, address } = &identity;
        let address = address.map(tracing::field::display);
        tracing::info!(event = "identity-taken", vm = self.settings.vm, service, address);
        let known = self.backend.load_full();
        let contradicted = known.is_some_and(|known| known.check(&identity).is_err());
        self.identity.store(Arc::new(identity));
        if contradicted {
            self.clear_backend();
        }
    }

    /// Lets the local backend server drain, although it has not announced that.
    pub(crate) fn close_backend(&self, backend: BackendServer) {
        self.schedule_closing();
        self.tell_leaving(&backend);
        self.backend.store(Some(Arc::new(BackendServer { draining: true, ..backend })));
        self.publish_self();
    }

    /// Whether a request may be sent to the local backend server. While the server refuses every
    /// request, only probes are sent.
    pub fn may_send_to_backend(&self) -> bool {
        self.shedding.allows_request(self.clock.now())
    }

    /// Records whether the local backend server refused a request, and notifies the other daemons when
    /// it starts or stops refusing everything.
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

    /// Records how much work the entry on `vm` is offered for the local service, and returns the share
    /// of it that the entry has to refuse.
    pub fn record_demand(&self, vm: &str, report: DemandReport) -> OverloadStatus {
        let now = self.clock.now();
        let service = self.own_service();
        let slots: u32 = self.read_view(|view| {
            let instances = view.iter().filter(|member| member.record.service == service);
            let accepting =
                instances.filter(|member| member.accepts_requests(now) && !member.record.sheds);
            accepting.map(|member| member.record.slots).sum()
        });
        let (wait, refused_fraction) = self.gate.queue_pressure();
        let Load { in_flight, slots: own_slots, .. } = self.gate.load();
        let local = Capacity {
            slots: f64::from(slots) * USABLE_SLOT_FRACTION,
            wait,
            refused_fraction,
            busy_fraction: f64::from(in_flight) / f64::from(own_slots.max(1)),
        };
        let (status, capacity) = {
            let mut overload = lock(&self.overload);
            let status = overload.update(vm, report, local, now);
            (status, overload.service_capacity(local))
        };
        if status.excess_share > 0.0 && self.overload_log.is_due(now, LOG_INTERVAL) {
            tracing::info!(
                event = "service-overloaded",
                vm = self.settings.vm,
                service,
                refuse_pct = (status.excess_share * 100.0) as u64,
                offered_pct = (status.utilization * 100.0) as u64,
                slots = capacity.slots,
                wait_ms = capacity.wait.as_millis() as u64,
                busy_pct = (capacity.busy_fraction * 100.0) as u64,
                turned_away_pct = (capacity.refused_fraction * 100.0) as u64,
                service_ms = self.gate.load().mean_us / 1_000,
            );
        }
        status
    }

    /// Records what an answer of the local backend server tells about it.
    pub fn record_notices(&self, backend: &BackendServer, notices: Notices) {
        let is_current =
            |known: &Arc<BackendServer>| known.id == backend.id && known.started == backend.started;
        if !self.backend.load().as_ref().is_some_and(is_current) {
            return;
        }
        let mut noticed = lock(&self.noticed);
        if !noticed.is_of(backend) {
            *noticed = Noticed::new(backend);
        }
        let before = (noticed.limit, noticed.leaving);
        noticed.apply(notices);
        if notices.limit == NamedLimit::Invalid
            && self.notice_log.is_due(self.clock.now(), LOG_INTERVAL)
        {
            tracing::warn!(
                event = "backend-limit-invalid",
                vm = self.settings.vm,
                id = backend.id,
                remedy = "name the requests per second as a decimal number"
            );
        }
        if before == (noticed.limit, noticed.leaving) {
            return;
        }
        let limit = noticed.limit;
        self.metrics.backend_limit.set(limit.unwrap_or(f64::INFINITY));
        tracing::info!(
            event = "backend-notice",
            vm = self.settings.vm,
            id = backend.id,
            limit,
            leaving = noticed.leaving,
        );
        let leaves = noticed.leaving && !before.1;
        drop(noticed);
        self.gate.set_limit(limit);
        match leaves {
            true => self.close_backend(backend.clone()),
            false => self.publish_self(),
        }
    }

    /// Counts and logs an answer of the local backend server that does not have the id of the request for
    /// which it was read.
    pub fn record_unmatched(
        &self,
        dialect: &Dialect,
        request: &RequestId,
        echo: Echo,
        head: &AnswerHead<'_>,
    ) {
        let AnswerHead { status, headers, .. } = *head;
        let has = |name: &Option<_>| name.as_ref().is_some_and(|name| headers.contains_key(name));
        let refusal = has(&dialect.not_run);
        let labels =
            UnmatchedLabels { id: echo.as_str(), refusal: if refusal { "yes" } else { "no" } };
        self.metrics.unmatched.get_or_create(&labels).inc();
        let Some(weight) = self.log_sampler.weigh("unmatched-answer", self.clock.now()) else {
            return;
        };
        let echoed = headers.get(&dialect.request_id).and_then(RequestId::from_header);
        tracing::warn!(
            event = "unmatched-answer",
            weight,
            vm = self.settings.vm,
            %request,
            id = echo.as_str(),
            echoed = echoed.as_ref().map(tracing::field::display),
            status = status.as_u16(),
            refusal,
            sealed = has(&dialect.seal),
        );
    }

    /// Completes an announcement with what the answers of the same run have told. What those of an earlier
    /// run have told is forgotten.
    pub(crate) fn with_notices(&self, backend: BackendServer) -> BackendServer {
        let mut noticed = lock(&self.noticed);
        if !noticed.is_of(&backend) {
            *noticed = Noticed::new(&backend);
            self.metrics.backend_limit.set(f64::INFINITY);
            self.gate.set_limit(None);
        }
        BackendServer { draining: backend.draining || noticed.leaving, ..backend }
    }

    /// Publishes the number of slots again if the service time has changed it, while the local backend
    /// server names a limit.
    pub fn refresh_offered_slots(&self) {
        let Some(backend) = self.backend.load_full() else { return };
        let offered = self.gate.offered_slots(backend.slots);
        let known = self.read_view(|view| {
            view.get(&self.settings.vm).map_or(offered, |member| member.record.slots)
        });
        if offered.abs_diff(known) > known / MIN_SLOTS_CHANGE {
            self.publish_self();
        }
    }

    /// Records how long a request waited for a slot of the local backend server.
    pub fn record_queue_wait(&self, importance: Importance, span: Duration) {
        self.timings.record_queue_wait(importance, span);
        let labels = WaitLabels { importance: importance.as_str() };
        self.metrics.queue_waits.get_or_create(&labels).observe(span.as_secs_f64());
    }

    /// Records how long a complete answer waited for earlier answers on its caller's connection
    /// (head-of-line blocking).
    pub fn record_delivery(&self, delivery: &Delivery<'_>) {
        let Delivery { request, behind, wait } = *delivery;
        self.metrics.held_back.observe(wait.as_secs_f64());
        self.timings.record_held_back(wait);
        if wait < MIN_LOGGED_DELAY {
            return;
        }
        let Some(weight) = self.log_sampler.weigh("held-back", self.clock.now()) else { return };
        tracing::info!(
            event = "held-back",
            weight,
            vm = self.settings.vm,
            %request,
            behind = behind.map(tracing::field::display),
            ms = wait.as_millis() as u64,
        );
    }

    /// Records by how much a timer of this daemon fired late.
    pub fn record_timer_lag(&self, span: Duration) {
        self.timings.record_timer_lag(span);
        self.metrics.timer_lag.observe(span.as_secs_f64());
    }

    /// Logs the load and the timings since the last call: one line for the daemon and its backend
    /// server, and one for each importance whose requests waited for a slot.
    pub fn log_load(&self) {
        let (lag, service_times) =
            (self.timings.take_timer_lag(), self.timings.take_service_times());
        let held_back = self.timings.take_held_back();
        let load = self.gate.load();
        let vm = &self.settings.vm;
        tracing::info!(
            event = "load",
            vm,
            service = self.own_service(),
            slots = load.slots,
            in_flight = load.in_flight,
            queued = load.queued,
            ended = service_times.count(),
            held_ms = service_times.mean().as_millis() as u64,
            held_most_ms = service_times.max().as_millis() as u64,
            answered = held_back.count(),
            held_back_ms = held_back.mean().as_millis() as u64,
            held_back_most_ms = held_back.max().as_millis() as u64,
            lag_ms = lag.mean().as_millis() as u64,
            lag_most_ms = lag.max().as_millis() as u64,
        );
        for (importance, waits) in self.timings.take_queue_waits() {
            if waits.max() < MIN_LOGGED_WAIT {
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

    /// Records which services requests of a route reach through downstream calls of the local backend
    /// server.
    pub fn record_downstream(&self, route: &str, reach: &[ReachedService]) {
        if let Some(downstream) = self.tables.load().downstream.get(route) {
            downstream.record(reach);
        }
    }

    /// Records that the local backend server serves a route, whether or not it sends downstream calls.
    pub fn record_served(&self, route: &str) {
        if let Some(downstream) = self.tables.load().downstream.get(route) {
            downstream.served.store(true, Ordering::Relaxed);
        }
    }

    /// Refuses a request that would wait on a downstream service if requests that wait on that service
    /// already hold `waiting_share` of the slots.
    ///
    /// The limit reserves slots for routes that do not reach the service. It does not apply where every
    /// route reaches it, since there is nothing to reserve slots for.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::ServiceBound`] with the service, its number of waiting requests and the limit.
    pub fn check_waiting_share(&self, route: &str) -> Result<(), Reason> {
        let tables = self.tables.load();
        let Some(downstream) = tables.downstream.get(route) else { return Ok(()) };
        let slots = self.backend.load().as_ref().map_or(0, |backend| backend.slots);
        let share = self.policy.load().limits.waiting_share;
        let limit = ((f64::from(slots) * share) as u32).max(1);
        for service in downstream.services().iter() {
            let waiting = tables.services.get(service).map_or(0, |state| state.waiting());
            if waiting >= limit && tables.serves_without(service) {
                return Err(Reason::ServiceBound {
                    service: service.clone(),
                    in_flight: u64::from(waiting),
                    limit: u64::from(limit),
                });
            }
        }
        Ok(())
    }

    /// Returns whether a request is suspected or quarantined. The fingerprint is computed only while
    /// this holds for any request.
    pub fn crash_status(&self, fingerprint: impl FnOnce() -> Fingerprint) -> CrashStatus {
        if !self.has_suspects.load(Ordering::Acquire) {
            return CrashStatus::Clear;
        }
        lock(&self.quarantine).crash_status(fingerprint(), self.clock.now())
    }

    /// Records that a backend server crashed on a request, and triggers a heartbeat that informs other
    /// daemons. `run` is the run that crashed, if it is known.
    pub fn record_crash(&self, fingerprint: Fingerprint, run: Option<u64>) {
        let crash = run.map_or_else(|| CrashId::random(&mut rand::rng()), CrashId::of_run);
        self.update_quarantine(|quarantine, now| quarantine.record_crash(fingerprint, crash, now));
        self.heartbeat_due.notify_one();
    }

    /// Changes the record of requests that crashed backend servers.
    pub fn update_quarantine(&self, change: impl FnOnce(&mut Quarantine, Time)) {
        let mut quarantine = lock(&self.quarantine);
        change(&mut quarantine, self.clock.now());
        self.has_suspects.store(!quarantine.is_empty(), Ordering::Release);
    }

    /// Returns the permit to run a suspected request on this VM, or `None` while another suspect holds
    /// it.
    pub fn acquire_suspect_permit(self: &Arc<Self>) -> Option<SuspectPermit> {
        let already_held = self.suspect_running.swap(true, Ordering::AcqRel);
        (!already_held).then(|| SuspectPermit { board: Arc::clone(self) })
    }

    /// Removes the local backend server, which is gone, until it announces itself again.
    pub fn clear_backend(&self) {
        self.backend.store(None);
        self.publish_self();
    }
}

/// Permit to run a suspected request, of which only one at a time may run on a VM. Released on drop.
#[derive(Debug)]
pub struct SuspectPermit {
    board: Arc<Board>,
}

impl Drop for SuspectPermit {
    fn drop(&mut self) {
        self.board.suspect_running.store(false, Ordering::Release);
    }
}
