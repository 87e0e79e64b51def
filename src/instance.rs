//! The instances of each service that requests can be sent to, with their observed load and failures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::document::Policy;
use crate::envelope::Load;
use crate::member::{Member, View};
use crate::router::Candidate;
use crate::shedding::PROBE_INTERVAL;
use crate::sync::lock;
use crate::time::{Throttle, Time};

/// How long an instance gets no requests after a connection to it failed.
const CONNECTION_FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// How long an instance gets fewer requests after its backend server shed a request.
const SHED_REDUCTION_TIME: Duration = Duration::from_secs(2);

/// Weight of one answer in the moving average of the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.1;

/// Time constant with which the failure rate decays while there are no answers.
const FAILURE_RATE_DECAY: Duration = Duration::from_secs(2);

/// How long the load and service time that an answer reported keep their full weight.
const REPORT_FRESH_TIME: Duration = Duration::from_secs(1);

/// Half-life of that weight afterwards. A slow instance thus gets another request eventually, which is
/// the only way to find out that it has recovered.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Interval between the probes of all daemons together to an instance that names a limit.
const LIMIT_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of its slots that an instance is given after its backend server shed a request.
const SHED_SLOT_FRACTION: f64 = 0.5;

/// Smallest fraction of its slots that a starting instance is given.
const MIN_RAMP_FRACTION: f64 = 0.1;

/// One instance, with the load that its answers reported.
#[derive(Debug)]
pub struct Instance {
    /// Name of its VM.
    pub vm: String,
    /// Address for requests from other daemons.
    pub peers: SocketAddr,
    /// Address for heartbeats.
    pub control: SocketAddr,
    /// Whether it is in the failure domain of this daemon.
    pub local: bool,
    /// The run of its backend server, if it announces an id.
    pub run: Option<u64>,
    ready_since: Time,
    slots: AtomicU32,
    reported_load: AtomicU32,
    mean_us: AtomicU32,
    reported_at: AtomicU64,
    in_flight: AtomicU32,
    failure_rate: Mutex<FailureRate>,
    unreachable_until: AtomicU64,
    slots_reduced_until: AtomicU64,
    refuses_all: AtomicBool,
    limited: AtomicBool,
    probes: Throttle,
}

impl Instance {
    fn new(member: &Member, domain: &str) -> Self {
        let record = &member.record;
        Self {
            vm: record.vm.clone(),
            peers: record.peers,
            control: record.control,
            local: record.domain == domain,
            run: record.run,
            ready_since: member.ready_since.unwrap_or_default(),
            slots: AtomicU32::new(record.slots),
            reported_load: AtomicU32::new(0),
            mean_us: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            failure_rate: Mutex::default(),
            in_flight: AtomicU32::new(0),
            unreachable_until: AtomicU64::new(0),
            slots_reduced_until: AtomicU64::new(0),
            refuses_all: AtomicBool::new(record.sheds),
            limited: AtomicBool::new(record.limit.is_some()),
            probes: Throttle::default(),
        }
    }

    /// Records the load that came with an answer.
    pub fn record_load(&self, load: Load, now: Time) {
        self.reported_at.store(now.as_micros(), Ordering::Relaxed);
        self.reported_load.store(load.in_flight.saturating_add(load.queued), Ordering::Relaxed);
        self.mean_us.store(load.mean_us, Ordering::Relaxed);
    }

    /// Records whether the answer to a request was a failure of the instance.
    pub fn record_answer(&self, failed: bool, now: Time) {
        lock(&self.failure_rate).record(failed, now);
    }

    /// Records that a connection to it failed. It gets no requests for a short time.
    pub fn record_connection_failure(&self, now: Time) {
        self.unreachable_until
            .store((now + CONNECTION_FAILURE_PAUSE).as_micros(), Ordering::Relaxed);
    }

    /// Whether a connection to it failed so recently that it gets no requests.
    pub fn is_unreachable(&self, now: Time) -> bool {
        now.as_micros() < self.unreachable_until.load(Ordering::Relaxed)
    }

    /// Records that its backend server shed a request. It gets fewer requests for some time.
    pub fn record_shed(&self, now: Time) {
        self.slots_reduced_until.store((now + SHED_REDUCTION_TIME).as_micros(), Ordering::Relaxed);
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightRequest {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightRequest { instance: Arc::clone(self) }
    }

    /// Whether a request should be sent there as a probe, to find out whether the backend server still
    /// refuses everything or names a limit, also while others are cheaper. `daemons` is the number of
    /// daemons that send probes. Only one of several concurrent callers gets `true`; it has to send the
    /// probe.
    pub fn is_probe_due(&self, daemons: usize, now: Time) -> bool {
        if self.is_unreachable(now) {
            return false;
        }
        if self.refuses_all.load(Ordering::Relaxed) {
            return self.probes.is_due(now, PROBE_INTERVAL);
        }
        let interval = LIMIT_PROBE_INTERVAL * u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        self.limited.load(Ordering::Relaxed) && self.probes.is_due(now, interval)
    }

    /// Returns the instance as a candidate with this index, or `None` while it is unreachable or its
    /// backend server refuses everything. `ramp` is the time in which a new instance reaches full load.
    pub fn candidate(&self, index: usize, ramp: Duration, now: Time) -> Option<Candidate> {
        let now_micros = now.as_micros();
        if self.is_unreachable(now) || self.refuses_all.load(Ordering::Relaxed) {
            return None;
        }
        let mut slots =
            f64::from(self.slots.load(Ordering::Relaxed)) * self.ramp_fraction(ramp, now);
        if now_micros < self.slots_reduced_until.load(Ordering::Relaxed) {
            slots *= SHED_SLOT_FRACTION;
        }
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        // While a request is in flight, the last report keeps its full weight: that its answer has not
        // arrived is a sign that the instance may still be slow.
        let report_weight = if in_flight > 0 { 1.0 } else { self.report_weight(now) };
        let reported_load = f64::from(self.reported_load.load(Ordering::Relaxed)) * report_weight;
        let mean_us = f64::from(self.mean_us.load(Ordering::Relaxed)) * report_weight;
        Some(Candidate {
            index,
            local: self.local,
            load: (reported_load as u32).max(in_flight),
            slots: (slots as u32).max(1),
            service_time: Duration::from_micros(mean_us as u64),
            failure_rate: lock(&self.failure_rate).value_at(now),
        })
    }

    /// Returns the weight of the last reported load and service time, from 0 to 1.
    fn report_weight(&self, now: Time) -> f64 {
        report_weight(now.since(Time::from_micros(self.reported_at.load(Ordering::Relaxed))))
    }

    fn ramp_fraction(&self, ramp: Duration, now: Time) -> f64 {
        // An instance that was ready when this daemon started is not new.
        if ramp.is_zero() || self.ready_since.as_micros() < ramp.as_micros() as u64 {
            return 1.0;
        }
        let age = now.since(self.ready_since).as_secs_f64() / ramp.as_secs_f64();
        age.clamp(MIN_RAMP_FRACTION, 1.0)
    }
}

/// Returns the weight of a report of this age, from 0 to 1.
pub fn report_weight(age: Duration) -> f64 {
    let half_lives =
        age.saturating_sub(REPORT_FRESH_TIME).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
    0.5_f64.powf(half_lives)
}

/// Moving average of the fraction of an instance's answers that were failures.
#[derive(Debug, Default)]
struct FailureRate {
    rate: f64,
    updated: Time,
}

impl FailureRate {
    fn record(&mut self, failed: bool, now: Time) {
        let rate = self.value_at(now);
        self.rate = rate + FAILURE_RATE_GAIN * (f64::from(u8::from(failed)) - rate);
        self.updated = now;
    }

    /// Returns the rate at `now`. It decays over time, so that an instance that failed is tried again.
    fn value_at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.rate * (-elapsed / FAILURE_RATE_DECAY.as_secs_f64()).exp()
    }
}

/// Guard that counts a request to an instance as in flight.
#[derive(Debug)]
pub struct InFlightRequest {
    instance: Arc<Instance>,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.instance.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All instances that accept requests, by service.
#[derive(Debug, Default)]
pub struct Instances {
    services: BTreeMap<String, Vec<Arc<Instance>>>,
}

impl Instances {
    /// Derives the instances from the members. Those that are unchanged keep what was recorded of them.
    pub fn derive(&self, view: &View, policy: &Policy, domain: &str, now: Time) -> Self {
        let mut services: BTreeMap<String, Vec<Arc<Instance>>> = BTreeMap::new();
        for member in view.iter().filter(|member| member.accepts_requests(now)) {
            let record = &member.record;
            let retired = policy
                .service_id(&record.service)
                .is_some_and(|id| policy.service(id).retired.contains(&record.vm));
            if retired || view.is_leaving(record) {
                continue;
            }
            let new = Instance::new(member, domain);
            let unchanged =
                self.for_service(&record.service).iter().find(|old| old.is_same_instance(&new));
            let instance = unchanged.map_or_else(|| Arc::new(new), Arc::clone);
            instance.refuses_all.store(record.sheds, Ordering::Relaxed);
            instance.limited.store(record.limit.is_some(), Ordering::Relaxed);
            instance.slots.store(record.slots, Ordering::Relaxed);
            services.entry(record.service.clone()).or_default().push(instance);
        }
        Self { services }
    }

    /// Returns the instances of one service.
    pub fn for_service(&self, service: &str) -> &[Arc<Instance>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

impl Instance {
    fn is_same_instance(&self, other: &Self) -> bool {
        (&self.vm, self.peers, self.run, self.ready_since)
            == (&other.vm, other.peers, other.run, other.ready_since)
    }
}
