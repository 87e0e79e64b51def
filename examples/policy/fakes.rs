//! Simulation of services and daemons: slots and service times run on virtual time, and the library
//! decides which requests are queued, refused and routed where.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::fmt::Write as _;
use std::time::Duration;

use gypsumtack::bucket::TokenBucket;
use gypsumtack::document::Policy;
use gypsumtack::feedback::Feedback;
use gypsumtack::guard::{Decision, Released, ServiceTime, SlotRequest, Ticket};
use gypsumtack::intake::Intake;
use gypsumtack::overload::OverloadController;
use gypsumtack::quarantine::Quarantine;
use gypsumtack::router::{self, Candidate};
use gypsumtack::tables::Tables;
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::Deployment;
use crate::parts::{End, Event, Frame, FrameId, ReportedLoad, Request, Root, RootId, Stage, Vm};

/// Maximum time that a request waits in a queue under the policy.
pub(super) const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Interval at which daemons update the shares of requests that they refuse.
const DECIDE_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of consecutive retries to a service, as the burst of its retry budget.
const RETRY_BURST: f64 = 2.0;
/// The policy leaves one in this many slots free, rounded up to whole slots.
const SPARE_DIVISOR: usize = 20;
/// Fraction of slots in use above which an instance slows down.
const CROWDED_FRACTION: f64 = 0.95;

/// State of the simulation: virtual time, pending events, VMs and requests.
pub struct World<'a> {
    pub now: Time,
    pub(super) deployment: &'a Deployment,
    pub(super) policy: Policy,
    /// Whether the baseline runs instead of the policy: random instances, FIFO queues, no refusals.
    pub(super) naive: bool,
    /// Factor on service times at the bottleneck.
    slowed: f64,
    pub(super) vms: Vec<Vm>,
    pub(super) frames: Vec<Frame>,
    pub(super) roots: Vec<Root>,
    /// Rate limit of each customer.
    buckets: Vec<TokenBucket>,
    /// Time and sequence number of each pending event; events at the same time keep their order.
    events: BinaryHeap<Reverse<(Time, u64)>>,
    /// Pending events by sequence number.
    pending: BTreeMap<u64, Event>,
    sequence: u64,
    pub(super) rng: SmallRng,
    /// Requests that ended, with the time and the way in which they did.
    pub ended: Vec<(RootId, Time, End)>,
    /// Slot time in seconds that each root request used at the bottleneck, and at other services.
    pub spent: Vec<[f64; 2]>,
    /// Number of attempts for each root request, those of downstream calls included.
    pub attempts: Vec<u32>,
    /// Number of calls for each root request, the first one included.
    pub calls: Vec<u32>,
    pub(super) quarantine: Quarantine,
    pub crashes: u32,
}

impl<'a> World<'a> {
    pub fn new(deployment: &'a Deployment, rates: &[(f64, f64)], naive: bool, seed: u64) -> Self {
        let count: usize = deployment.services.iter().map(|spec| spec.instances.len()).sum();
        let policy = deployment.policy();
        let mut vms = Vec::new();
        for (service, spec) in deployment.services.iter().enumerate() {
            for &(domain, speed) in &spec.instances {
                vms.push(Vm {
                    name: format!("{}-{}", spec.name, vms.len()),
                    service,
                    domain,
                    speed,
                    intake: intake(spec.slots),
                    feedback: Feedback::default(),
                    room: OverloadController::default(),
                    tables: Tables::default().follow(&policy, Time::ZERO),
                    tickets: BTreeMap::new(),
                    fifo: VecDeque::new(),
                    running: 0,
                    reported: vec![ReportedLoad::default(); count],
                    sent: vec![0; count],
                    retries: vec![
                        TokenBucket::full(0.0, RETRY_BURST, Time::ZERO);
                        deployment.services.len()
                    ],
                    epoch: 0,
                    down: false,
                });
            }
        }
        let mut world = Self {
            now: Time::ZERO,
            deployment,
            policy,
            naive,
            slowed: 1.0,
            vms,
            frames: Vec::new(),
            roots: Vec::new(),
            buckets: rates
                .iter()
                .map(|&(rate, burst)| TokenBucket::full(rate, burst, Time::ZERO))
                .collect(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            ended: Vec::new(),
            spent: Vec::new(),
            attempts: Vec::new(),
            calls: Vec::new(),
            quarantine: Quarantine::default(),
            crashes: 0,
        };
        world.at(Time::ZERO, Event::Decide);
        world
    }

    /// Multiplies service times at the bottleneck by `factor`.
    pub fn set_slowed(&mut self, factor: f64) {
        self.slowed = factor;
    }

    /// Describes the load of the bottleneck's instances, and the overload level and refused shares at
    /// the first VM's daemon.
    pub fn trace(&mut self) -> String {
        let bottleneck = self.deployment.bottleneck;
        let mut text = String::new();
        for vm in self.vms.iter_mut().filter(|vm| vm.service == bottleneck) {
            let guard = &vm.intake.guard;
            let mean = guard.mean_service().as_secs_f64() * 1e3;
            let _ = write!(
                text,
                "[{:>2} run {:>3} wait, {mean:>4.1} ms] ",
                guard.in_flight(),
                guard.queued()
            );
        }
        let entry = &self.vms[0].feedback;
        let service = self.deployment.services[bottleneck].name;
        let level = entry.excess_shares(self.now).get(service).copied().unwrap_or(0.0);
        let _ = write!(text, "entry {level:.2}, refuses");
        for (route, spec) in self.deployment.routes.iter().enumerate().filter(|(_, s)| s.rate > 0.0)
        {
            let share = entry.refused_share(route, Some(gypsumtack::document::CustomerId::new(0)));
            let _ = write!(text, " {} {share:.2}", spec.name);
        }
        text
    }

    pub fn request(&self, root: RootId) -> Request {
        self.roots[root].request
    }

    /// Schedules the arrival of a request at an entry, one caller latency after it was sent.
    pub fn send(&mut self, request: Request) {
        let arrival = request.sent + Duration::from_millis(self.deployment.caller_ms);
        self.at(arrival, Event::Arrive(request));
    }

    /// Handles all events up to and including `end`, then sets the virtual time to `end`.
    pub fn run_until(&mut self, end: Time) {
        while let Some(Reverse((time, id))) = self.events.peek().copied() {
            if time > end {
                break;
            }
            self.events.pop();
            self.now = time;
            if let Some(event) = self.pending.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    pub(super) fn at(&mut self, time: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence)));
        self.pending.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Offer(frame) => self.offer(frame),
            Event::Worked(frame, epoch) => self.worked(frame, epoch),
            Event::Answered(frame, whole) => self.answered(frame, whole),
            Event::WaitOver(frame, ticket) => self.wait_over(frame, ticket),
            Event::Deadline(root) => self.deadline(root),
            Event::Restart(vm) => self.restart(vm),
            Event::Decide => {
                self.ask_around();
                for vm in &self.vms {
                    vm.feedback.update_refused_shares(&self.policy, &vm.tables, self.now);
                }
                self.at(self.now + DECIDE_INTERVAL, Event::Decide);
            }
        }
    }

    fn arrive(&mut self, request: Request) {
        let root = self.roots.len();
        self.roots.push(Root { request, open: true, frames: Vec::new() });
        self.spent.push([0.0; 2]);
        self.attempts.push(0);
        self.calls.push(0);
        let entry = self.rng.random_range(0..self.vms.len());
        if !self.naive {
            if let Some(retry_at) = self.refusal(entry, request) {
                return self.end(root, End::Refused(retry_at));
            }
            if self.is_quarantined(root) {
                return self.end(root, End::Failed);
            }
            if self.buckets[request.customer.index()].take(1.0, self.now).is_err() {
                return self.end(root, End::OverRate);
            }
        }
        self.at(request.deadline, Event::Deadline(root));
        self.call(root, None, entry, request.route);
    }

    /// Returns when the caller should retry if the entry refuses the request because a service further
    /// down the call graph is overloaded, and `None` otherwise.
    fn refusal(&mut self, entry: usize, request: Request) -> Option<Time> {
        let spec = &self.deployment.routes[request.route];
        let vm = &self.vms[entry];
        let customer = Some(request.customer);
        if let Some(state) = vm.tables.routes.get(spec.name) {
            state.record_request(customer, self.now);
        }
        let share = vm.feedback.refused_share(request.route, customer);
        let refused = share > 0.0 && self.rng.random::<f32>() < share;
        let objective = Duration::from_millis(spec.objective_ms);
        let max_delay = (objective / 2).min(request.deadline.since(self.now) / 3);
        refused.then(|| self.now + max_delay.mul_f64(self.rng.random_range(0.4..1.0)))
    }

    /// Starts a call to `route` from the daemon of VM `daemon`, with its first attempt.
    fn call(&mut self, root: RootId, parent: Option<FrameId>, daemon: usize, route: usize) {
        let frame = self.frames.len();
        self.frames.push(Frame {
            root,
            parent,
            daemon,
            route,
            tried: BTreeSet::new(),
            state: Stage::Over,
            made: 0,
            answered: 0,
            began: self.now,
            crashed: false,
            refused: false,
        });
        self.roots[root].frames.push(frame);
        self.calls[root] += 1;
        if parent.is_some() {
            let name = self.deployment.routes[route].name;
            lock(&self.vms[daemon].feedback.fanout).record_call(name, self.now);
        }
        self.attempt(frame);
    }

    /// Sends an attempt to an instance that the router chooses, or that is drawn at random in the
    /// baseline. Without a candidate, the attempt fails.
    pub(super) fn attempt(&mut self, frame: FrameId) {
        let f = &self.frames[frame];
        let (daemon, spec) = (f.daemon, &self.deployment.routes[f.route]);
        let service = spec.service;
        let instances_of_service =
            || self.vms.iter().enumerate().filter(|(_, vm)| vm.service == service);
        let target = if self.naive {
            let places: Vec<usize> = instances_of_service().map(|(index, _)| index).collect();
            Some(places[self.rng.random_range(0..places.len())])
        } else {
            let own = &self.vms[daemon];
            let candidates: Vec<Candidate> = instances_of_service()
                .filter(|(index, vm)| !f.tried.contains(index) && !vm.down)
                .map(|(index, vm)| {
                    let (load, service_time) = own.reported[index].at(self.now, own.sent[index]);
                    Candidate {
                        index,
                        local: vm.domain == own.domain,
                        load,
                        slots: vm.intake.guard.slots() as u32,
                        service_time,
                        failure_rate: 0.0,
                    }
                })
                .collect();
            let objective = Duration::from_millis(spec.objective_ms);
            router::choose(&candidates, objective, &mut self.rng)
        };
        let Some(target) = target else {
            return self.at(self.now, Event::Answered(frame, false));
        };
        self.vms[daemon].sent[target] += 1;
        let f = &mut self.frames[frame];
        f.tried.insert(target);
        (f.made, f.answered, f.refused) = (0, 0, false);
        f.state = Stage::Sent(target);
        self.attempts[f.root] += 1;
        let hop = self.hop(daemon, target);
        self.at(self.now + hop, Event::Offer(frame));
    }

    /// Returns the one-way network latency between two VMs.
    fn hop(&self, from: usize, to: usize) -> Duration {
        let (near, far) = self.deployment.hop_us;
        let same = self.vms[from].domain == self.vms[to].domain;
        Duration::from_micros(if same { near } else { far })
    }

    fn offer(&mut self, frame: FrameId) {
        let Stage::Sent(vm) = self.frames[frame].state else { return };
        if self.vms[vm].down {
            return self.answer(frame, vm, false);
        }
        let (root, route) = (self.frames[frame].root, self.frames[frame].route);
        let request = self.roots[root].request;
        if self.naive {
            self.vms[vm].fifo.push_back(frame);
            self.frames[frame].state = Stage::Waiting(vm, Ticket::default());
            return self.start_fifo(vm);
        }
        let spec = &self.deployment.routes[route];
        let downstream = self.frames[frame].parent.is_some();
        // Downstream calls carry no customer, so all of them share one id that no customer has.
        let customer =
            if downstream { gypsumtack::document::CustomerId::new(99) } else { request.customer };
        let work = SlotRequest {
            customer,
            weight: if downstream { 1 } else { request.weight },
            importance: spec.importance,
            objective: Duration::from_millis(spec.objective_ms),
            downstream,
            deadline: request.deadline,
        };
        let (decision, released) = self.vms[vm].intake.guard.offer(work, self.now);
        match decision {
            Decision::Run(_) => self.start(frame, vm),
            Decision::Refuse(_) => self.refuse(frame, vm),
            Decision::Wait(ticket) => {
                self.vms[vm].tickets.insert(ticket, frame);
                self.frames[frame].state = Stage::Waiting(vm, ticket);
                let max_wait = request.deadline.since(self.now).min(LONGEST_WAIT);
                self.at(self.now + max_wait, Event::WaitOver(frame, ticket));
            }
        }
        self.release(vm, released);
    }

    pub(super) fn refuse(&mut self, frame: FrameId, vm: usize) {
        self.frames[frame].refused = true;
        self.answer(frame, vm, false);
    }

    fn release(&mut self, vm: usize, released: Released) {
        for shed in released.shed {
            if let Some(frame) = self.vms[vm].tickets.remove(&shed.ticket) {
                self.refuse(frame, vm);
            }
        }
        for ticket in released.start {
            if let Some(frame) = self.vms[vm].tickets.remove(&ticket) {
                self.start(frame, vm);
            }
        }
    }

    fn start_fifo(&mut self, vm: usize) {
        let slots = self.deployment.services[self.vms[vm].service].slots;
        while self.vms[vm].running < slots {
            let Some(frame) = self.vms[vm].fifo.pop_front() else { return };
            self.start(frame, vm);
        }
    }

    fn start(&mut self, frame: FrameId, vm: usize) {
        self.frames[frame].state = Stage::Running(vm);
        self.frames[frame].began = self.now;
        self.vms[vm].running += 1;
        let route = &self.deployment.routes[self.frames[frame].route];
        if !self.naive {
            lock(&self.vms[vm].feedback.fanout).record_start(route.name, self.now);
        }
        let spec = &self.deployment.services[route.service];
        let slowed = if route.service == self.deployment.bottleneck { self.slowed } else { 1.0 };
        let crowded = self.vms[vm].running as f64 > spec.slots as f64 * CROWDED_FRACTION;
        let crowded = if crowded { spec.crowded } else { 1.0 };
        let work = log_normal(route.work_ms, route.spread, &mut self.rng);
        let time = Duration::from_secs_f64(work / 1_000.0 * slowed * crowded / self.vms[vm].speed);
        let epoch = self.vms[vm].epoch;
        self.at(self.now + time, Event::Worked(frame, epoch));
    }

    /// Continues a request after the instance's own work or after an answer to a downstream call: sends
    /// the next calls, or finishes once all of them are answered.
    pub(super) fn worked(&mut self, frame: FrameId, epoch: u32) {
        let Stage::Running(vm) = self.frames[frame].state else { return };
        if self.vms[vm].epoch != epoch {
            return;
        }
        let (root, f) = (self.frames[frame].root, &self.frames[frame]);
        if self.roots[root].request.crashes {
            return self.crash(vm);
        }
        let Some(calls) = self.deployment.routes[f.route].calls else {
            return self.finish(frame, vm, true);
        };
        if f.answered == calls.times {
            return self.finish(frame, vm, true);
        }
        let call_limit = if calls.together { calls.times } else { f.answered + 1 };
        while self.frames[frame].made < call_limit {
            self.frames[frame].made += 1;
            self.call(root, Some(frame), vm, calls.route);
        }
    }

    /// Releases the slot and sends the answer.
    pub(super) fn finish(&mut self, frame: FrameId, vm: usize, whole: bool) {
        self.free(frame, vm, whole);
        self.answer(frame, vm, whole);
    }

    pub(super) fn free(&mut self, frame: FrameId, vm: usize, whole: bool) {
        let service = self.vms[vm].service;
        let span = self.now.since(self.frames[frame].began);
        let column = usize::from(service != self.deployment.bottleneck);
        self.spent[self.frames[frame].root][column] += span.as_secs_f64();
        self.vms[vm].running = self.vms[vm].running.saturating_sub(1);
        if self.naive {
            return self.start_fifo(vm);
        }
        let name = self.deployment.routes[self.frames[frame].route].name;
        lock(&self.vms[vm].feedback.fanout).record_end(name, self.now);
        let held = if whole { ServiceTime::Completed(span) } else { ServiceTime::Aborted(span) };
        let released = self.vms[vm].intake.finish(name, held);
        self.release(vm, released);
    }

    /// Returns an attempt's answer to the daemon that sent the attempt.
    pub(super) fn answer(&mut self, frame: FrameId, vm: usize, whole: bool) {
        self.frames[frame].state = Stage::Over;
        let daemon = self.frames[frame].daemon;
        self.vms[daemon].sent[vm] = self.vms[daemon].sent[vm].saturating_sub(1);
        if !self.naive && !self.vms[vm].down {
            let Frame { route, refused, .. } = self.frames[frame];
            self.report(route, vm, daemon, refused);
        }
        let hop = self.hop(daemon, vm);
        self.at(self.now + hop, Event::Answered(frame, whole));
    }
}

pub(super) fn intake(slots: usize) -> Intake {
    let mut intake = Intake::new(LONGEST_WAIT);
    intake.guard.set_slots(slots - slots.div_ceil(SPARE_DIVISOR));
    intake
}

fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    gypsumtack::sync::lock(mutex)
}

/// Samples a log-normal distribution with this mean; `spread` is the standard deviation of the
/// logarithm.
fn log_normal(mean: f64, spread: f64, rng: &mut SmallRng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(f64::MIN_POSITIVE..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    mean * (spread * normal - spread * spread / 2.0).exp()
}
