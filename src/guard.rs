//! Admission to the slots of one backend server.
//!
//! The guard keeps at most as many requests in flight as the backend server has slots and queues the
//! rest. The queue is bounded by time: a request whose predicted wait does not leave enough time before
//! its deadline is refused immediately. Requests are ordered by importance, then by latency objective
//! (tightest first), then downstream calls before new requests, then by start-time fair queueing
//! between customers. Only importance is strict: a part of the slots goes to the requests of equal
//! importance that have waited longest, so that none of them starves. The module does no I/O and reads
//! no clock. docs/DESIGN.md, "Guard", compares the alternatives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::document::{CustomerId, Importance};
use crate::pacing;
use crate::reason::Reason;
use crate::time::Time;

/// Mean service time assumed until the first request has finished.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Bounds of the weight of one finished request in the moving average of the service time. It is the
/// reciprocal of the requests in flight: a backend server that was slow gets few requests until its
/// average shows that it has recovered, so each of these has to count for more.
const MIN_SERVICE_TIME_GAIN: f64 = 0.05;
const MAX_SERVICE_TIME_GAIN: f64 = 0.15;

/// Weight of one offered request in the moving average of the refused fraction. It averages over about
/// a hundred requests, which a busy instance receives in a tenth of a second.
const REFUSED_GAIN: f64 = 0.01;

/// While several classes of the highest queued importance wait, one slot in this many goes to the class
/// whose next request has waited longest, and the others to the first class in the order. A class that
/// needs less than that share of the slots hardly waits, whatever is ordered before it.
const OLDEST_FIRST_INTERVAL: u32 = 8;

/// Virtual time that one request takes at weight 1. Dividing it by [`SlotRequest::weight`] keeps enough
/// precision for integer tags.
const TAG_SCALE: u64 = 1 << 16;

/// Identifies one request while it waits or runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request for a slot, with everything that the guard's decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The customer's weight in fair queueing, at least 1.
    pub weight: u32,
    /// The importance of the route by which the request reached its entry.
    pub importance: Importance,
    /// Latency objective of the route. Requests with a tighter objective go first.
    pub objective: Duration,
    /// Whether this is a downstream call, so that an earlier hop has already spent work on it.
    pub downstream: bool,
    /// When the caller stops waiting.
    pub deadline: Time,
}

/// What the guard decided about an offered request.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// The request holds a slot and runs now.
    Run(Ticket),
    /// The request is queued until its ticket is started or shed.
    Wait(Ticket),
    /// The request is refused, and no byte of it may reach the backend server.
    Refuse(Reason),
}

/// How long a request held a slot.
#[derive(Debug, Clone, Copy)]
pub enum ServiceTime {
    /// Until its answer was complete.
    Completed(Duration),
    /// Until it was aborted by its deadline, its caller or a failure; a lower bound of the service
    /// time.
    Aborted(Duration),
}

impl ServiceTime {
    /// Updates a moving average, in seconds, with the weight `gain`. An aborted request can only raise
    /// the average; if it were ignored, a backend server that became slower than deadlines would still
    /// seem fast.
    pub fn update_mean(self, mean: &mut f64, gain: f64) {
        match self {
            Self::Completed(span) => *mean += gain * (span.as_secs_f64() - *mean),
            Self::Aborted(span) => *mean += gain * (span.as_secs_f64() - *mean).max(0.0),
        }
    }
}

/// Tickets that left the queue because of one event.
#[derive(Debug, Default, PartialEq)]
pub struct Released {
    /// Tickets that now hold a slot.
    pub start: Vec<Ticket>,
    /// Requests that were displaced from the queue.
    pub shed: Vec<Shed>,
}

/// A waiting request that was displaced from the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Shed {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// The importance of the request.
    pub importance: Importance,
    /// Why it was displaced.
    pub reason: Reason,
}

/// The admission state of one backend server.
#[derive(Debug)]
pub struct Guard {
    usable_slots: usize,
    /// Requests per second that the backend server takes, if it names a limit.
    limit: Option<f64>,
    in_flight: usize,
    longest_wait: Duration,
    mean_service: f64,
    refused_fraction: f64,
    classes: BTreeMap<Rank, Class>,
    waiting: BTreeMap<Ticket, Position>,
    /// Slots given to the first class, while other classes of its importance waited, since the last
    /// slot that went to the class with the longest wait.
    since_oldest: u32,
    last_ticket: u64,
}

impl Guard {
    /// Creates a guard without slots: nothing runs before the backend server announces itself.
    ///
    /// `longest_wait` bounds the queue wait independently of deadlines.
    pub fn new(longest_wait: Duration) -> Self {
        Self {
            usable_slots: 0,
            limit: None,
            in_flight: 0,
            longest_wait,
            mean_service: INITIAL_SERVICE_TIME.as_secs_f64(),
            refused_fraction: 0.0,
            classes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            since_oldest: 0,
            last_ticket: 0,
        }
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the maximum number of requests in flight: all usable slots, or as many as the backend
    /// server's limit needs.
    pub fn slots(&self) -> usize {
        match self.limit {
            Some(rate) if self.usable_slots > 0 => {
                pacing::paced_slots(rate, self.mean_service(), self.usable_slots)
            }
            _ => self.usable_slots,
        }
    }

    /// Returns the number of slots that other daemons should reckon with.
    pub fn offered_slots(&self, announced: usize) -> usize {
        self.limit.map_or(announced, |rate| {
            pacing::occupied_slots(rate, self.mean_service(), self.usable_slots)
        })
    }

    /// Returns the shortest time for which a request keeps its slot, also after its answer: zero without
    /// a limit.
    pub fn min_slot_time(&self) -> Duration {
        self.limit.map_or(Duration::ZERO, |rate| pacing::slot_time(rate, self.slots()))
    }

    /// Returns the time after which the slot of a request that starts now is expected to be free again,
    /// in seconds.
    fn mean_slot_time(&self) -> f64 {
        self.mean_service.max(self.min_slot_time().as_secs_f64())
    }

    /// Returns the moving average of the service time.
    pub fn mean_service(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service)
    }

    /// Returns the maximum queue wait.
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }

    /// Returns the expected time until every request that waits now has started.
    pub fn backlog(&self) -> Duration {
        let rounds = self.waiting.len() as f64 / self.slots().max(1) as f64;
        Duration::from_secs_f64(rounds * self.mean_slot_time())
    }

    /// Sets the maximum queue wait, which comes from the document in force.
    pub fn set_longest_wait(&mut self, longest_wait: Duration) {
        self.longest_wait = longest_wait;
    }

    /// Sets the number of slots, and starts waiting requests if slots became free.
    pub fn set_slots(&mut self, slots: usize) -> Released {
        self.usable_slots = slots;
        Released { start: self.start_waiting(), shed: Vec::new() }
    }

    /// Sets the requests per second that the backend server takes, and starts waiting requests if slots
    /// became free.
    pub fn set_limit(&mut self, limit: Option<f64>) -> Released {
        self.limit = limit;
        Released { start: self.start_waiting(), shed: Vec::new() }
    }

    /// Returns the moving average of the fraction of offered requests that were refused or displaced
    /// another.
    pub fn refused_fraction(&self) -> f64 {
        self.refused_fraction
    }

    /// Decides about a request. The tickets in [`Released::shed`] were displaced by it.
    pub fn offer(&mut self, request: SlotRequest, now: Time) -> (Decision, Released) {
        let (decision, released) = self.decide(request, now);
        let refused = matches!(decision, Decision::Refuse(_)) || !released.shed.is_empty();
        self.refused_fraction +=
            REFUSED_GAIN * (f64::from(u8::from(refused)) - self.refused_fraction);
        (decision, released)
    }

    fn decide(&mut self, request: SlotRequest, now: Time) -> (Decision, Released) {
        let unchanged = Released::default();
        if self.usable_slots == 0 {
            return (Decision::Refuse(Reason::NotReady), unchanged);
        }
        if self.in_flight < self.slots() && self.waiting.is_empty() {
            self.in_flight += 1;
            return (Decision::Run(self.next_ticket()), unchanged);
        }
        if let Some(reason) = self.deadline_refusal(&request, now) {
            return (Decision::Refuse(reason), unchanged);
        }
        let ticket = self.enqueue(&request, now);
        let mut shed = self.shed_excess();
        if let Some(index) = shed.iter().position(|shed| shed.ticket == ticket) {
            let new = shed.swap_remove(index);
            return (Decision::Refuse(new.reason), Released { start: Vec::new(), shed });
        }
        (Decision::Wait(ticket), Released { start: self.start_waiting(), shed })
    }

    /// Records how long a request ran and frees its slot, and starts the next one.
    pub fn finish(&mut self, service_time: ServiceTime) -> Released {
        self.record_service_time(service_time);
        self.release()
    }

    /// Records how long a request ran that keeps its slot for now.
    pub fn record_service_time(&mut self, service_time: ServiceTime) {
        let gain = self.service_time_gain();
        service_time.update_mean(&mut self.mean_service, gain);
    }

    /// Frees the slot of a request whose time is recorded, and starts the next one.
    pub fn release(&mut self) -> Released {
        self.in_flight = self.in_flight.saturating_sub(1);
        Released { start: self.start_waiting(), shed: Vec::new() }
    }

    /// Weight of the next finished request in a moving average of the service time.
    pub fn service_time_gain(&self) -> f64 {
        (1.0 / self.in_flight.max(1) as f64).clamp(MIN_SERVICE_TIME_GAIN, MAX_SERVICE_TIME_GAIN)
    }

    /// Removes a request from the queue. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(position) = self.waiting.remove(&ticket) else { return false };
        self.remove_from_class(position.rank, position.tag, ticket, position.customer);
        true
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    fn deadline_refusal(&self, request: &SlotRequest, now: Time) -> Option<Reason> {
        let wait = self.predicted_wait(request);
        let needed = wait + self.mean_service();
        let left = request.deadline.since(now);
        if needed <= left && wait <= self.longest_wait {
            return None;
        }
        Some(Reason::QueueDelay { wait_ms: millis(needed), time_left_ms: millis(left) })
    }

    /// Predicts the queue wait from the requests that would start first: all of higher importance, and
    /// those of equal importance that are ordered before this one, unless the slots reserved for the
    /// longest wait get to it sooner.
    ///
    /// In the request's own class, fair queueing serves each customer, in proportion to its weight, up
    /// to the distance between the request's tag and the virtual time, and never more than what is
    /// queued.
    fn predicted_wait(&self, request: &SlotRequest) -> Duration {
        let rank = Rank::of(request);
        let (mut higher, mut equal) = (0_usize, 0_usize);
        for (other, class) in self.classes.range(..rank) {
            let count = if other.importance == rank.importance { &mut equal } else { &mut higher };
            *count += class.len();
        }
        let ahead = self.classes.get(&rank).map_or(0.0, |class| class.requests_ahead(request));
        let reserved = f64::from(OLDEST_FIRST_INTERVAL) * (ahead + 1.0);
        let rounds = (higher as f64 + (equal as f64 + ahead).min(reserved)) / self.slots() as f64;
        Duration::from_secs_f64(rounds * self.mean_slot_time())
    }

    fn enqueue(&mut self, request: &SlotRequest, now: Time) -> Ticket {
        let ticket = self.next_ticket();
        let rank = Rank::of(request);
        let tag = self.classes.entry(rank).or_default().push(ticket, request, now);
        self.waiting.insert(ticket, Position { rank, tag, customer: request.customer });
        ticket
    }

    /// Sheds requests until the queue is within its bound, from the last class in the order and there
    /// from the customer that occupies most of the queue in proportion to its weight.
    fn shed_excess(&mut self) -> Vec<Shed> {
        let bound = self.queue_bound();
        let mut shed = Vec::new();
        while self.waiting.len() > bound {
            let reason =
                Reason::Displaced { queued: self.waiting.len() as u64, slots: self.slots() as u64 };
            let Some((rank, class)) = self.classes.iter().next_back() else { break };
            let Some((ticket, customer)) = class.victim() else { break };
            let importance = rank.importance;
            self.cancel(ticket);
            shed.push(Shed { ticket, customer, importance, reason });
        }
        shed
    }

    fn queue_bound(&self) -> usize {
        let rounds = self.longest_wait.as_secs_f64() / self.mean_slot_time().max(1e-6);
        ((rounds * self.slots() as f64) as usize).max(self.slots())
    }

    fn start_waiting(&mut self) -> Vec<Ticket> {
        let mut start = Vec::new();
        while self.in_flight < self.slots() {
            let Some(ticket) = self.pop() else { break };
            self.in_flight += 1;
            start.push(ticket);
        }
        start
    }

    /// Removes the next request to run from the queue: the first in the order, or at every
    /// [`OLDEST_FIRST_INTERVAL`]th slot the first of the class of equal importance with the longest
    /// wait.
    fn pop(&mut self) -> Option<Ticket> {
        let rank = self.next_rank()?;
        let class = self.classes.get_mut(&rank)?;
        let (tag, ticket, customer) = class.first()?;
        class.virtual_time = tag;
        self.waiting.remove(&ticket);
        self.remove_from_class(rank, tag, ticket, customer);
        Some(ticket)
    }

    fn next_rank(&mut self) -> Option<Rank> {
        let (&first, _) = self.classes.first_key_value()?;
        let equal = self.classes.iter().take_while(|(rank, _)| rank.importance == first.importance);
        if equal.clone().nth(1).is_none() {
            self.since_oldest = 0;
            return Some(first);
        }
        self.since_oldest += 1;
        if self.since_oldest < OLDEST_FIRST_INTERVAL {
            return Some(first);
        }
        self.since_oldest = 0;
        equal.min_by_key(|(_, class)| class.oldest_arrival()).map(|(&rank, _)| rank)
    }

    fn remove_from_class(&mut self, rank: Rank, tag: u64, ticket: Ticket, customer: CustomerId) {
        let Some(class) = self.classes.get_mut(&rank) else { return };
        class.remove(tag, ticket, customer);
        if class.len() == 0 {
            self.classes.remove(&rank);
        }
    }
}

/// Position of a waiting request in the queue.
#[derive(Debug, Clone, Copy)]
struct Position {
    rank: Rank,
    tag: u64,
    customer: CustomerId,
}

/// Sort key of a class; the smallest runs first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    importance: Importance,
    /// Binary logarithm of the objective in milliseconds, which keeps the number of classes small.
    objective_log2: u32,
    first_hop: bool,
}

impl Rank {
    fn of(request: &SlotRequest) -> Self {
        let objective_log2 = request.objective.as_millis().max(1).ilog2();
        Self { importance: request.importance, objective_log2, first_hop: !request.downstream }
    }
}

/// Requests of one rank, with start-time fair queueing between their customers.
#[derive(Debug, Default)]
struct Class {
    queue: BTreeMap<(u64, Ticket), (CustomerId, Time)>,
    flows: BTreeMap<CustomerId, Flow>,
    by_occupancy: BTreeSet<(u64, CustomerId)>,
    virtual_time: u64,
    weight: u64,
}

/// State of one customer in a class.
///
/// It is kept when the customer has no request left in the queue. Otherwise a customer that keeps a
/// single request waiting would restart at the virtual time with each request and overtake the others.
#[derive(Debug, Default)]
struct Flow {
    finish_tag: u64,
    weight: u64,
    entries: BTreeSet<(u64, Ticket)>,
}

impl Flow {
    /// Returns the number of queued requests in proportion to the customer's weight, scaled by
    /// [`TAG_SCALE`].
    fn occupancy(&self) -> u64 {
        self.entries.len() as u64 * TAG_SCALE / self.weight.max(1)
    }
}

impl Class {
    fn len(&self) -> usize {
        self.queue.len()
    }

    fn start_tag(&self, customer: CustomerId) -> u64 {
        let finish_tag = self.flows.get(&customer).map_or(0, |flow| flow.finish_tag);
        finish_tag.max(self.virtual_time)
    }

    fn requests_ahead(&self, request: &SlotRequest) -> f64 {
        let distance = self.start_tag(request.customer) - self.virtual_time;
        let is_queued =
            self.flows.get(&request.customer).is_some_and(|flow| !flow.entries.is_empty());
        let added_weight = if is_queued { 0 } else { u64::from(request.weight) };
        // Requests with the same tag count as served first: at least one of each waiting customer.
        let rounds = distance as f64 / TAG_SCALE as f64 * (self.weight + added_weight) as f64;
        rounds.max(self.by_occupancy.len() as f64).min(self.queue.len() as f64)
    }

    fn push(&mut self, ticket: Ticket, request: &SlotRequest, now: Time) -> u64 {
        let tag = self.start_tag(request.customer);
        let weight = u64::from(request.weight.max(1));
        let flow = self.flows.entry(request.customer).or_default();
        if flow.entries.is_empty() {
            flow.weight = weight;
            self.weight += weight;
        } else {
            self.by_occupancy.remove(&(flow.occupancy(), request.customer));
        }
        flow.finish_tag = tag + (TAG_SCALE / flow.weight).max(1);
        flow.entries.insert((tag, ticket));
        self.by_occupancy.insert((flow.occupancy(), request.customer));
        self.queue.insert((tag, ticket), (request.customer, now));
        tag
    }

    fn first(&self) -> Option<(u64, Ticket, CustomerId)> {
        let (&(tag, ticket), &(customer, _)) = self.queue.first_key_value()?;
        Some((tag, ticket, customer))
    }

    /// Returns the arrival time of the request that would run next.
    fn oldest_arrival(&self) -> Option<Time> {
        self.queue.first_key_value().map(|(_, (_, arrived))| *arrived)
    }

    /// Returns the newest request of the customer that occupies most of the queue in proportion to its
    /// weight.
    fn victim(&self) -> Option<(Ticket, CustomerId)> {
        let &(_, customer) = self.by_occupancy.last()?;
        let (_, ticket) = *self.flows.get(&customer)?.entries.last()?;
        Some((ticket, customer))
    }

    fn remove(&mut self, tag: u64, ticket: Ticket, customer: CustomerId) {
        self.queue.remove(&(tag, ticket));
        let Some(flow) = self.flows.get_mut(&customer) else { return };
        self.by_occupancy.remove(&(flow.occupancy(), customer));
        let newest = flow.entries.last() == Some(&(tag, ticket));
        flow.entries.remove(&(tag, ticket));
        if newest && tag > self.virtual_time {
            flow.finish_tag = tag;
        }
        if flow.entries.is_empty() {
            self.weight -= flow.weight;
        } else {
            self.by_occupancy.insert((flow.occupancy(), customer));
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
