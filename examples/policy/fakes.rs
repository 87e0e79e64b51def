//! Fake services and daemons: slots and service times under virtual time, decisions by the library.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::time::Duration;

use gypsumtack::bucket::Bucket;
use gypsumtack::document::Importance;
use gypsumtack::guard::{Guard, Offer, Released, Ticket, Work};
use gypsumtack::level::{Cuts, Levels, Offered};
use gypsumtack::quarantine::Quarantine;
use gypsumtack::reason::Outcome;
use gypsumtack::retry::{Failure, Ledger};
use gypsumtack::router::{self, Candidate};
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::Deployment;
use crate::parts::{End, Event, Frame, FrameId, Request, Root, RootId, Stage, Vm};

/// The longest wait in a queue of the policy.
pub(super) const LONGEST_WAIT: Duration = Duration::from_millis(500);
/// Attempts of one call in the baseline.
const NAIVE_ATTEMPTS: usize = 3;
/// Retries over one request in the policy.
const ALLOWANCE: u32 = 2;
/// Retries of a service as a fraction of its successes, and at once.
const RETRY_RATIO: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;

/// The fakes, and the virtual time.
pub struct World<'a> {
    pub now: Time,
    pub(super) deployment: &'a Deployment,
    pub(super) naive: bool,
    slowed: f64,
    pub(super) vms: Vec<Vm>,
    pub(super) frames: Vec<Frame>,
    pub(super) roots: Vec<Root>,
    buckets: Vec<Bucket>,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    pending: BTreeMap<u64, Event>,
    sequence: u64,
    pub(super) rng: SmallRng,
    pub ended: Vec<(RootId, Time, End)>,
    /// Slot time spent on all requests, and on each root at the bottleneck and elsewhere.
    pub spent: Vec<[f64; 2]>,
    pub attempts: Vec<u32>,
    pub calls: Vec<u32>,
    pub(super) quarantine: Quarantine,
    pub crashes: u32,
}

impl<'a> World<'a> {
    pub fn new(deployment: &'a Deployment, rates: &[(f64, f64)], naive: bool, seed: u64) -> Self {
        let count: usize = deployment.services.iter().map(|spec| spec.instances).sum();
        let mut vms = Vec::new();
        for (service, spec) in deployment.services.iter().enumerate() {
            for domain in 0..spec.instances {
                let mut guard = Guard::new(LONGEST_WAIT);
                guard.set_slots(spec.slots);
                vms.push(Vm {
                    service,
                    domain: domain % 3,
                    guard,
                    levels: Levels::default(),
                    tickets: BTreeMap::new(),
                    fifo: VecDeque::new(),
                    running: 0,
                    reported: vec![0; count],
                    sent: vec![0; count],
                    cuts: deployment
                        .services
                        .iter()
                        .map(|_| Cuts::follow(None, rates.len(), Time::ZERO))
                        .collect(),
                    retries: deployment
                        .services
                        .iter()
                        .map(|_| Bucket::full(0.0, RETRY_BURST, Time::ZERO))
                        .collect(),
                    epoch: 0,
                    down: false,
                });
            }
        }
        Self {
            now: Time::ZERO,
            deployment,
            naive,
            slowed: 1.0,
            vms,
            frames: Vec::new(),
            roots: Vec::new(),
            buckets: rates
                .iter()
                .map(|&(rate, burst)| Bucket::full(rate, burst, Time::ZERO))
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
        }
    }

    /// Makes the bottleneck slower by this factor.
    pub fn set_slowed(&mut self, factor: f64) {
        self.slowed = factor;
    }

    pub fn request(&self, root: RootId) -> Request {
        self.roots[root].request
    }

    /// Sends a request at its time; it arrives at an entry a little later.
    pub fn send(&mut self, request: Request) {
        let arrival = request.sent + Duration::from_millis(self.deployment.caller_ms);
        self.at(arrival, Event::Arrive(request));
    }

    /// Runs until `end`.
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
            Event::Answered(frame, whole, level) => self.answered(frame, whole, level),
            Event::WaitOver(frame, ticket) => self.wait_over(frame, ticket),
            Event::Deadline(root) => self.deadline(root),
            Event::Restart(vm) => self.restart(vm),
        }
    }

    pub(super) fn importance(&self, root: RootId) -> Importance {
        self.deployment.routes[self.roots[root].request.route].importance
    }

    fn arrive(&mut self, request: Request) {
        let root = self.roots.len();
        self.roots.push(Root { request, passed: 1.0, open: true, frames: Vec::new() });
        self.spent.push([0.0; 2]);
        self.attempts.push(0);
        self.calls.push(0);
        let entry = self.rng.random_range(0..self.vms.len());
        let service = self.deployment.routes[request.route].service;
        if !self.naive {
            if self.refuses(entry, root) || self.is_quarantined(root) {
                return self.end(root, End::Shed);
            }
            if self.buckets[request.customer.index()].take(1.0, self.now).is_err() {
                return self.end(root, End::OverRate);
            }
        }
        self.at(request.deadline, Event::Deadline(root));
        self.call(root, None, entry, service, ALLOWANCE);
    }

    fn call(
        &mut self,
        root: RootId,
        parent: Option<FrameId>,
        daemon: usize,
        service: usize,
        allowance: u32,
    ) {
        let frame = self.frames.len();
        self.frames.push(Frame {
            root,
            parent,
            daemon,
            service,
            tried: BTreeSet::new(),
            ledger: Ledger::new(allowance),
            lent: 0,
            state: Stage::Over,
            next_call: 0,
            began: self.now,
            level: 0.0,
            crashed: false,
        });
        self.roots[root].frames.push(frame);
        self.calls[root] += 1;
        self.attempt(frame);
    }

    fn attempt(&mut self, frame: FrameId) {
        let (daemon, service) = (self.frames[frame].daemon, self.frames[frame].service);
        let tried = &self.frames[frame].tried;
        let all = || self.vms.iter().enumerate().filter(|(_, vm)| vm.service == service);
        let target = if self.naive {
            let places: Vec<usize> = all().map(|(index, _)| index).collect();
            places[self.rng.random_range(0..places.len())]
        } else {
            let near = self.vms[daemon].domain;
            let own = &self.vms[daemon];
            let candidates: Vec<Candidate> = all()
                .filter(|(index, vm)| !tried.contains(index) && !vm.down)
                .map(|(index, vm)| Candidate {
                    index,
                    local: vm.domain == near,
                    load: own.reported[index].max(own.sent[index]),
                    slots: self.deployment.services[service].slots as u32,
                })
                .collect();
            let Some(target) = router::choose(&candidates, &mut self.rng) else {
                return self.at(self.now, Event::Answered(frame, false, 0.0));
            };
            target
        };
        self.vms[daemon].sent[target] += 1;
        let f = &mut self.frames[frame];
        f.tried.insert(target);
        f.lent = f.ledger.lend();
        f.next_call = 0;
        f.state = Stage::Sent(target);
        self.attempts[f.root] += 1;
        let hop = Duration::from_micros(self.deployment.hop_us);
        self.at(self.now + hop, Event::Offer(frame));
    }

    fn offer(&mut self, frame: FrameId) {
        let Stage::Sent(vm) = self.frames[frame].state else { return };
        if self.vms[vm].down {
            return self.answer(frame, vm, false);
        }
        let root = self.frames[frame].root;
        let request = self.roots[root].request;
        if self.naive {
            self.vms[vm].fifo.push_back(frame);
            self.frames[frame].state = Stage::Waiting(vm, Ticket::default());
            return self.start_fifo(vm);
        }
        let work = Work {
            customer: request.customer,
            weight: request.weight,
            importance: self.importance(root),
            begun: self.frames[frame].parent.is_some(),
            deadline: request.deadline,
        };
        let (offer, released) = self.vms[vm].guard.offer(work, self.now);
        let offered = Offered {
            customer: work.customer,
            weight: work.weight,
            importance: work.importance,
            passed: self.roots[root].passed,
            shed: matches!(offer, Offer::Refuse(_)),
        };
        self.vms[vm].levels.offered(offered, self.now);
        match offer {
            Offer::Run(_) => self.start(frame, vm),
            Offer::Refuse(_) => self.answer(frame, vm, false),
            Offer::Wait(ticket) => {
                self.vms[vm].tickets.insert(ticket, frame);
                self.frames[frame].state = Stage::Waiting(vm, ticket);
                let left = request.deadline.since(self.now).min(LONGEST_WAIT);
                self.at(self.now + left, Event::WaitOver(frame, ticket));
            }
        }
        self.release(vm, released);
    }

    fn release(&mut self, vm: usize, released: Released) {
        for shed in released.shed {
            if let Some(frame) = self.vms[vm].tickets.remove(&shed.ticket) {
                self.answer(frame, vm, false);
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
            self.vms[vm].running += 1;
            self.start(frame, vm);
        }
    }

    fn start(&mut self, frame: FrameId, vm: usize) {
        self.frames[frame].state = Stage::Running(vm);
        self.frames[frame].began = self.now;
        let service = self.vms[vm].service;
        let slowed = if service == self.deployment.bottleneck { self.slowed } else { 1.0 };
        let mean = self.deployment.services[service].own_ms as f64 / 1_000.0 * slowed;
        let time = Duration::from_secs_f64(mean * self.rng.random_range(0.5..1.5));
        let epoch = self.vms[vm].epoch;
        self.at(self.now + time, Event::Worked(frame, epoch));
    }

    /// The instance has done its own work: call on, or answer.
    fn worked(&mut self, frame: FrameId, epoch: u32) {
        let Stage::Running(vm) = self.frames[frame].state else { return };
        if self.vms[vm].epoch != epoch {
            return;
        }
        let root = self.frames[frame].root;
        if self.roots[root].request.crashes {
            return self.crash(vm);
        }
        let calls = self.deployment.services[self.vms[vm].service].calls;
        let Some(&next) = calls.get(self.frames[frame].next_call) else {
            return self.finish(frame, vm, true);
        };
        self.frames[frame].next_call += 1;
        let allowance = self.frames[frame].lent;
        self.call(root, Some(frame), vm, next, allowance);
    }

    /// Gives the slot back and answers.
    fn finish(&mut self, frame: FrameId, vm: usize, whole: bool) {
        self.free(frame, vm, whole);
        self.answer(frame, vm, whole);
    }

    fn free(&mut self, frame: FrameId, vm: usize, whole: bool) {
        let service = self.vms[vm].service;
        let span = self.now.since(self.frames[frame].began);
        let place = usize::from(service != self.deployment.bottleneck);
        self.spent[self.frames[frame].root][place] += span.as_secs_f64();
        if self.naive {
            self.vms[vm].running -= 1;
            self.start_fifo(vm);
        } else {
            let released = self.vms[vm].guard.finish(whole.then_some(span));
            self.release(vm, released);
        }
    }

    /// Sends an attempt's answer back to the daemon that made it.
    pub(super) fn answer(&mut self, frame: FrameId, vm: usize, whole: bool) {
        self.frames[frame].state = Stage::Over;
        let root = self.frames[frame].root;
        let (customer, importance) = (self.roots[root].request.customer, self.importance(root));
        let (now, target) = (self.now, &mut self.vms[vm]);
        let idle = target.guard.idle();
        let level = target.levels.share(customer, importance, idle, now);
        let load = (target.guard.in_flight() + target.guard.queued()) as u32;
        let daemon = self.frames[frame].daemon;
        self.vms[daemon].reported[vm] = load;
        self.vms[daemon].sent[vm] -= 1;
        let hop = Duration::from_micros(self.deployment.hop_us);
        self.at(self.now + hop, Event::Answered(frame, whole, level));
    }

    fn answered(&mut self, frame: FrameId, whole: bool, level: f32) {
        let (root, service) = (self.frames[frame].root, self.frames[frame].service);
        if !self.roots[root].open && !self.naive {
            return;
        }
        let f = &mut self.frames[frame];
        f.level = f.level.max(level);
        f.ledger.give_back(f.lent);
        let daemon = self.frames[frame].daemon;
        self.note_crash(frame);
        if whole {
            self.vms[daemon].retries[service].put(RETRY_RATIO, self.now);
        } else if self.retries(frame) {
            return self.attempt(frame);
        }
        self.learn(frame);
        match self.frames[frame].parent {
            None => self.end(root, if whole { End::Whole } else { End::Shed }),
            Some(parent) if whole => {
                let epoch = match self.frames[parent].state {
                    Stage::Running(vm) => self.vms[vm].epoch,
                    _ => return,
                };
                self.worked(parent, epoch);
            }
            Some(parent) => {
                if let Stage::Running(vm) = self.frames[parent].state {
                    self.finish(parent, vm, false);
                }
            }
        }
    }

    fn retries(&mut self, frame: FrameId) -> bool {
        let root = self.frames[frame].root;
        if !self.naive && self.is_quarantined(root) {
            return false;
        }
        let f = &self.frames[frame];
        if self.naive {
            return f.tried.len() < NAIVE_ATTEMPTS && self.calls_left(frame);
        }
        let left = self.roots[f.root].request.deadline.since(self.now);
        let refused = f.next_call == 0;
        let outcome = if f.crashed { Outcome::Unknown } else { Outcome::NotRun };
        let failure = Failure { outcome, elsewhere: refused, left };
        let other = f.tried.len() < self.deployment.services[f.service].instances;
        let bucket = &mut self.vms[f.daemon].retries[f.service];
        failure.may_retry(true) && other && bucket.take(1.0, self.now).is_ok() && f.ledger.spend()
    }

    fn calls_left(&self, frame: FrameId) -> bool {
        let root = self.frames[frame].root;
        self.now < self.roots[root].request.deadline
    }

    fn wait_over(&mut self, frame: FrameId, ticket: Ticket) {
        let Stage::Waiting(vm, waiting) = self.frames[frame].state else { return };
        if waiting != ticket || !self.vms[vm].guard.cancel(ticket) {
            return;
        }
        self.vms[vm].tickets.remove(&ticket);
        let root = self.frames[frame].root;
        let importance = self.importance(root);
        self.vms[vm].levels.displaced(importance);
        self.answer(frame, vm, false);
    }

    /// The caller stops waiting. The policy cancels everything below; the baseline works on.
    fn deadline(&mut self, root: RootId) {
        if !self.roots[root].open {
            return;
        }
        self.end(root, End::Shed);
        if self.naive {
            return;
        }
        for frame in self.roots[root].frames.clone() {
            let daemon = self.frames[frame].daemon;
            match self.frames[frame].state {
                Stage::Waiting(vm, ticket) => {
                    self.vms[vm].guard.cancel(ticket);
                    self.vms[vm].tickets.remove(&ticket);
                    self.vms[daemon].sent[vm] -= 1;
                }
                Stage::Running(vm) => {
                    self.vms[daemon].sent[vm] -= 1;
                    self.frames[frame].state = Stage::Over;
                    self.free(frame, vm, false);
                }
                Stage::Sent(vm) => self.vms[daemon].sent[vm] -= 1,
                Stage::Over => {}
            }
            self.frames[frame].state = Stage::Over;
        }
    }

    fn end(&mut self, root: RootId, end: End) {
        if std::mem::replace(&mut self.roots[root].open, false) {
            self.ended.push((root, self.now, end));
        }
    }
}
