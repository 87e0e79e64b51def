//! Instances of services as the path of a request sees them.

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
use crate::time::{Pace, Time};

/// How long an instance gets no work after a connection to it failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// How long an instance gets less work after its backend server shed by itself.
const SHED_PAUSE: Duration = Duration::from_secs(2);

/// How much one answer moves the part of an instance's answers that are failures.
const FAILURE_GAIN: f64 = 0.1;

/// Over which time failures fade that are not seen again.
const FAILURE_TIME: Duration = Duration::from_secs(2);

/// How long what an answer told of load and time counts in full.
const NEWS_TIME: Duration = Duration::from_secs(1);

/// In which time half of it is forgotten after that. An instance that was slow once gets another request in the
/// end, since nothing else can tell that it no longer is.
const NEWS_HALF: Duration = Duration::from_secs(1);

/// What is left of an instance's slots after its backend server shed by itself.
const SHED_SLOTS: f64 = 0.5;

/// The smallest part of its slots that a starting instance gets.
const FIRST_RAMP: f64 = 0.1;

/// One instance, with the load that came in its answers.
#[derive(Debug)]
pub struct Instance {
    /// The VM's name.
    pub vm: String,
    /// Where it takes requests from other daemons.
    pub peers: SocketAddr,
    /// Where it takes heartbeats.
    pub control: SocketAddr,
    /// Whether it stands in this daemon's failure domain.
    pub local: bool,
    ready: Time,
    slots: u32,
    reported: AtomicU32,
    mean_us: AtomicU32,
    heard: AtomicU64,
    sent: AtomicU32,
    failures: Mutex<Failures>,
    failed_until: AtomicU64,
    shed_until: AtomicU64,
    sheds: AtomicBool,
    tries: Pace,
}

impl Instance {
    fn new(member: &Member, domain: &str) -> Self {
        let record = &member.record;
        Self {
            vm: record.vm.clone(),
            peers: record.peers,
            control: record.control,
            local: record.domain == domain,
            ready: member.ready_since.unwrap_or_default(),
            slots: record.slots,
            reported: AtomicU32::new(0),
            mean_us: AtomicU32::new(0),
            heard: AtomicU64::new(0),
            failures: Mutex::default(),
            sent: AtomicU32::new(0),
            failed_until: AtomicU64::new(0),
            shed_until: AtomicU64::new(0),
            sheds: AtomicBool::new(record.sheds),
            tries: Pace::default(),
        }
    }

    /// The load that came with an answer.
    pub fn record_load(&self, load: Load, now: Time) {
        self.heard.store(now.as_micros(), Ordering::Relaxed);
        self.reported.store(load.in_flight + load.queued, Ordering::Relaxed);
        self.mean_us.store(load.mean_us, Ordering::Relaxed);
    }

    /// Notes whether a request that it took was answered as it should be.
    pub fn record_answer(&self, failed: bool, now: Time) {
        lock(&self.failures).note(failed, now);
    }

    /// Notes that a connection to it failed.
    pub fn record_connection_failure(&self, now: Time) {
        self.failed_until.store((now + FAILURE_PAUSE).as_micros(), Ordering::Relaxed);
    }

    /// Whether a connection to it failed a moment ago.
    pub fn is_unreachable(&self, now: Time) -> bool {
        now.as_micros() < self.failed_until.load(Ordering::Relaxed)
    }

    /// Notes that its backend server shed by itself.
    pub fn record_shed(&self, now: Time) {
        self.shed_until.store((now + SHED_PAUSE).as_micros(), Ordering::Relaxed);
    }

    /// Counts a request that is on its way, until the returned value is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightRequest {
        self.sent.fetch_add(1, Ordering::Relaxed);
        InFlightRequest { instance: Arc::clone(self) }
    }

    /// Whether a request should now see whether its backend server still refuses everything. The one that
    /// is told so is sent there.
    pub fn is_probe_due(&self, now: Time) -> bool {
        if !self.sheds.load(Ordering::Relaxed) || self.is_unreachable(now) {
            return false;
        }
        self.tries.is_due(now, PROBE_INTERVAL)
    }

    /// The instance as a candidate, or `None` while connections to it fail or its backend server refuses
    /// everything.
    pub fn candidate(&self, index: usize, ramp: Duration, now: Time) -> Option<Candidate> {
        let now_micros = now.as_micros();
        if self.is_unreachable(now) || self.sheds.load(Ordering::Relaxed) {
            return None;
        }
        let mut slots = f64::from(self.slots) * self.ramp(ramp, now);
        if now_micros < self.shed_until.load(Ordering::Relaxed) {
            slots *= SHED_SLOTS;
        }
        let sent = self.sent.load(Ordering::Relaxed);
        // While an answer is owed, its absence is news too.
        let known = if sent > 0 { 1.0 } else { self.known(now) };
        let reported = f64::from(self.reported.load(Ordering::Relaxed)) * known;
        let mean = f64::from(self.mean_us.load(Ordering::Relaxed)) * known;
        Some(Candidate {
            index,
            local: self.local,
            load: (reported as u32).max(sent),
            slots: (slots as u32).max(1),
            service_time: Duration::from_micros(mean as u64),
            failure_rate: lock(&self.failures).at(now),
        })
    }

    /// How much of what the last answer told still counts.
    fn known(&self, now: Time) -> f64 {
        let age = now.since(Time::from_micros(self.heard.load(Ordering::Relaxed)));
        0.5_f64.powf(age.saturating_sub(NEWS_TIME).as_secs_f64() / NEWS_HALF.as_secs_f64())
    }

    fn ramp(&self, ramp: Duration, now: Time) -> f64 {
        // What was there when this daemon started is not new.
        if ramp.is_zero() || self.ready.as_micros() < ramp.as_micros() as u64 {
            return 1.0;
        }
        let age = now.since(self.ready).as_secs_f64() / ramp.as_secs_f64();
        age.clamp(FIRST_RAMP, 1.0)
    }
}

/// The part of an instance's answers that were failures lately.
#[derive(Debug, Default)]
struct Failures {
    part: f64,
    updated: Time,
}

impl Failures {
    fn note(&mut self, failed: bool, now: Time) {
        let part = self.at(now);
        self.part = part + FAILURE_GAIN * (f64::from(u8::from(failed)) - part);
        self.updated = now;
    }

    /// What is not seen again fades, so that an instance that failed is tried again.
    fn at(&self, now: Time) -> f64 {
        let span = now.since(self.updated).as_secs_f64();
        self.part * (-span / FAILURE_TIME.as_secs_f64()).exp()
    }
}

/// A request on its way to an instance.
#[derive(Debug)]
pub struct InFlightRequest {
    instance: Arc<Instance>,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.instance.sent.fetch_sub(1, Ordering::Relaxed);
    }
}

/// All instances that take work, by service.
#[derive(Debug, Default)]
pub struct Instances {
    services: BTreeMap<String, Vec<Arc<Instance>>>,
}

impl Instances {
    /// Derives the instances from the members, keeping the load of those that were there before.
    pub fn derive(&self, view: &View, policy: &Policy, domain: &str, now: Time) -> Self {
        let mut services: BTreeMap<String, Vec<Arc<Instance>>> = BTreeMap::new();
        for member in view.iter().filter(|member| member.accepts_requests(now)) {
            let record = &member.record;
            let retired = policy
                .service_id(&record.service)
                .is_some_and(|id| policy.service(id).retired.contains(&record.vm));
            if retired {
                continue;
            }
            let fresh = Instance::new(member, domain);
            let kept = self.for_service(&record.service).iter().find(|old| old.same_as(&fresh));
            let instance = kept.map_or_else(|| Arc::new(fresh), Arc::clone);
            instance.sheds.store(record.sheds, Ordering::Relaxed);
            services.entry(record.service.clone()).or_default().push(instance);
        }
        Self { services }
    }

    /// The instances of one service.
    pub fn for_service(&self, service: &str) -> &[Arc<Instance>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}

impl Instance {
    fn same_as(&self, other: &Self) -> bool {
        (&self.vm, self.peers, self.slots, self.ready)
            == (&other.vm, other.peers, other.slots, other.ready)
    }
}
