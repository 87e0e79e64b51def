//! Admission to the slots of one backend server.
//!
//! The guard holds as many requests in flight as the backend server has slots. Others wait in a queue
//! that is bounded by time: a request whose predicted wait leaves too little of its deadline is
//! refused at once. The order is importance, then the tighter latency objective, then begun work before
//! new work, then start-time fair queueing between customers. Only importance is strict: a part of the
//! slots goes to whatever of equal importance has waited longest, so that none of it starves. All of it is
//! pure. docs/DESIGN.md, "Guard", weighs the other ways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::document::{CustomerId, Importance};
use crate::reason::Reason;
use crate::time::Time;

/// The service time that the guard assumes before the first request has finished.
const INITIAL_SERVICE: Duration = Duration::from_millis(10);

/// How much one finished request moves the mean service time.
const MEAN_GAIN: f64 = 0.05;

/// How much one offered request moves the part that is refused; a hundred requests are a tenth of a second
/// at a busy instance.
const TURNED_GAIN: f64 = 0.01;

/// One slot in so many goes to what has waited longest of the most important work, and not to what stands
/// first in the order. Work that asks for a smaller part than that hardly waits, whatever goes before it.
const SURE_PART: u32 = 8;

/// One weight unit of [`SlotRequest::weight`], so that tags keep their precision as integers.
const WEIGHT_UNIT: u64 = 1 << 16;

/// Names one request while it waits or runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// What the guard needs to know about a request.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// The customer that the request runs for.
    pub customer: CustomerId,
    /// The customer's weight between customers, 1 or more.
    pub weight: u32,
    /// The importance that the entry route gave it.
    pub importance: Importance,
    /// Within which time its answer is worth most. Work with less time to lose goes first.
    pub objective: Duration,
    /// Whether work was already done for it at an earlier hop.
    pub downstream: bool,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// The guard's answer to an offered request.
#[derive(Debug, PartialEq)]
pub enum Decision {
    /// A slot is free: run now.
    Run(Ticket),
    /// Wait until the ticket is started or dropped.
    Wait(Ticket),
    /// Refused, and no byte of it may reach the backend server.
    Refuse(Reason),
}

/// For how long a request held a slot.
#[derive(Debug, Clone, Copy)]
pub enum ServiceTime {
    /// Until its answer was whole.
    Completed(Duration),
    /// Until it was cut off, by its deadline, its caller or a failure. It would have taken longer.
    Aborted(Duration),
}

impl ServiceTime {
    /// Moves a mean, in seconds, by this request. One that was cut off tells only that the mean is too
    /// low; without it, a backend server that became slower than deadlines would still seem fast.
    pub fn update_mean(self, mean: &mut f64, gain: f64) {
        match self {
            Self::Completed(span) => *mean += gain * (span.as_secs_f64() - *mean),
            Self::Aborted(span) => *mean += gain * (span.as_secs_f64() - *mean).max(0.0),
        }
    }
}

/// Tickets whose wait ended because of one event.
#[derive(Debug, Default, PartialEq)]
pub struct Released {
    /// Tickets that now hold a slot.
    pub start: Vec<Ticket>,
    /// Requests that lost their place.
    pub shed: Vec<Shed>,
}

/// A waiting request that lost its place.
#[derive(Debug, Clone, PartialEq)]
pub struct Shed {
    /// Its ticket.
    pub ticket: Ticket,
    /// Whose it was.
    pub customer: CustomerId,
    /// How important it was.
    pub importance: Importance,
    /// Why it lost its place.
    pub reason: Reason,
}

/// The admission state of one backend server.
#[derive(Debug)]
pub struct Guard {
    slots: usize,
    in_flight: usize,
    longest_wait: Duration,
    mean_service: f64,
    refused_fraction: f64,
    classes: BTreeMap<Rank, Class>,
    waiting: BTreeMap<Ticket, Place>,
    /// Slots that went to the first class while others of its importance waited, since one went to the
    /// class that had waited longest.
    passed: u32,
    next: u64,
}

impl Guard {
    /// Makes a guard with no slots, so that nothing runs before the backend server announces itself.
    ///
    /// `longest_wait` bounds the queue by time, whatever the deadlines are.
    pub fn new(longest_wait: Duration) -> Self {
        Self {
            slots: 0,
            in_flight: 0,
            longest_wait,
            mean_service: INITIAL_SERVICE.as_secs_f64(),
            refused_fraction: 0.0,
            classes: BTreeMap::new(),
            waiting: BTreeMap::new(),
            passed: 0,
            next: 0,
        }
    }

    /// Requests that hold a slot.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Slots in use at most.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// The mean service time, weighted towards recent requests.
    pub fn mean_service(&self) -> Duration {
        Duration::from_secs_f64(self.mean_service)
    }

    /// The longest that a request may wait.
    pub fn longest_wait(&self) -> Duration {
        self.longest_wait
    }

    /// How long all that waits now will take to start.
    pub fn backlog(&self) -> Duration {
        let rounds = self.waiting.len() as f64 / self.slots.max(1) as f64;
        Duration::from_secs_f64(rounds * self.mean_service)
    }

    /// Changes the bound on the wait, when a new document sets another.
    pub fn set_longest_wait(&mut self, longest_wait: Duration) {
        self.longest_wait = longest_wait;
    }

    /// Changes the number of slots, and starts waiting work that now fits.
    pub fn set_slots(&mut self, slots: usize) -> Released {
        self.slots = slots;
        Released { start: self.start_waiting(), shed: Vec::new() }
    }

    /// The part of the offered requests that was refused lately.
    pub fn refused_fraction(&self) -> f64 {
        self.refused_fraction
    }

    /// Offers a request. Tickets in [`Released::shed`] lost their place to it.
    pub fn offer(&mut self, work: SlotRequest, now: Time) -> (Decision, Released) {
        let (offer, released) = self.judge(work, now);
        let refused = matches!(offer, Decision::Refuse(_)) || !released.shed.is_empty();
        self.refused_fraction +=
            TURNED_GAIN * (f64::from(u8::from(refused)) - self.refused_fraction);
        (offer, released)
    }

    fn judge(&mut self, work: SlotRequest, now: Time) -> (Decision, Released) {
        let none = Released::default();
        if self.slots == 0 {
            return (Decision::Refuse(Reason::NotReady), none);
        }
        if self.in_flight < self.slots && self.waiting.is_empty() {
            self.in_flight += 1;
            return (Decision::Run(self.issue()), none);
        }
        if let Some(reason) = self.late(&work, now) {
            return (Decision::Refuse(reason), none);
        }
        let ticket = self.enqueue(&work, now);
        let mut shed = self.shed_excess();
        if let Some(at) = shed.iter().position(|lost| lost.ticket == ticket) {
            let own = shed.swap_remove(at);
            return (Decision::Refuse(own.reason), Released { start: Vec::new(), shed });
        }
        (Decision::Wait(ticket), Released { start: self.start_waiting(), shed })
    }

    /// Ends a request that held a slot, and starts the next.
    pub fn finish(&mut self, held: ServiceTime) -> Released {
        self.in_flight = self.in_flight.saturating_sub(1);
        held.update_mean(&mut self.mean_service, MEAN_GAIN);
        Released { start: self.start_waiting(), shed: Vec::new() }
    }

    /// Takes a waiting request out of the queue. Returns whether it was still waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.waiting.remove(&ticket) else { return false };
        self.take_out(place.rank, place.tag, ticket, place.customer);
        true
    }

    fn issue(&mut self) -> Ticket {
        self.next += 1;
        Ticket(self.next)
    }

    fn late(&self, work: &SlotRequest, now: Time) -> Option<Reason> {
        let wait = self.predicted_wait(work);
        let needed = wait + self.mean_service();
        let left = work.deadline.since(now);
        if needed <= left && wait <= self.longest_wait {
            return None;
        }
        Some(Reason::QueueDelay { wait_ms: millis(needed), time_left_ms: millis(left) })
    }

    /// Predicts the wait from the work that would run first: all that is more important, and what goes
    /// before it of equal importance, unless its sure part of the slots is faster.
    ///
    /// In the request's own class, fair queueing serves the distance between its tag and the virtual
    /// time once for each unit of weight, and never more than what is queued.
    fn predicted_wait(&self, work: &SlotRequest) -> Duration {
        let rank = Rank::of(work);
        let (mut more, mut equal) = (0_usize, 0_usize);
        for (other, class) in self.classes.range(..rank) {
            let count = if other.importance == rank.importance { &mut equal } else { &mut more };
            *count += class.len();
        }
        let own = self.classes.get(&rank).map_or(0.0, |class| class.ahead_of(work));
        let surely = f64::from(SURE_PART) * (own + 1.0);
        let rounds = (more as f64 + (equal as f64 + own).min(surely)) / self.slots as f64;
        Duration::from_secs_f64(rounds * self.mean_service)
    }

    fn enqueue(&mut self, work: &SlotRequest, now: Time) -> Ticket {
        let ticket = self.issue();
        let rank = Rank::of(work);
        let tag = self.classes.entry(rank).or_default().push(ticket, work, now);
        self.waiting.insert(ticket, Place { rank, tag, customer: work.customer });
        ticket
    }

    /// Sheds from the least important class, and there from the customer that holds most.
    fn shed_excess(&mut self) -> Vec<Shed> {
        let bound = self.queue_bound();
        let mut shed = Vec::new();
        while self.waiting.len() > bound {
            let reason =
                Reason::Displaced { queued: self.waiting.len() as u64, slots: self.slots as u64 };
            let Some((rank, class)) = self.classes.iter().next_back() else { break };
            let Some((ticket, customer)) = class.victim() else { break };
            let importance = rank.importance;
            self.cancel(ticket);
            shed.push(Shed { ticket, customer, importance, reason });
        }
        shed
    }

    fn queue_bound(&self) -> usize {
        let rounds = self.longest_wait.as_secs_f64() / self.mean_service.max(1e-6);
        ((rounds * self.slots as f64) as usize).max(self.slots)
    }

    fn start_waiting(&mut self) -> Vec<Ticket> {
        let mut start = Vec::new();
        while self.in_flight < self.slots {
            let Some(ticket) = self.pop() else { break };
            self.in_flight += 1;
            start.push(ticket);
        }
        start
    }

    /// The next request to run: of the most important work the first in the order, or now and then what has
    /// waited longest.
    fn pop(&mut self) -> Option<Ticket> {
        let rank = self.next_rank()?;
        let class = self.classes.get_mut(&rank)?;
        let (tag, ticket, customer) = class.first()?;
        class.virtual_time = tag;
        self.waiting.remove(&ticket);
        self.take_out(rank, tag, ticket, customer);
        Some(ticket)
    }

    fn next_rank(&mut self) -> Option<Rank> {
        let (&first, _) = self.classes.first_key_value()?;
        let equal = self.classes.iter().take_while(|(rank, _)| rank.importance == first.importance);
        if equal.clone().nth(1).is_none() {
            self.passed = 0;
            return Some(first);
        }
        self.passed += 1;
        if self.passed < SURE_PART {
            return Some(first);
        }
        self.passed = 0;
        equal.min_by_key(|(_, class)| class.oldest()).map(|(&rank, _)| rank)
    }

    fn take_out(&mut self, rank: Rank, tag: u64, ticket: Ticket, customer: CustomerId) {
        let Some(class) = self.classes.get_mut(&rank) else { return };
        class.remove(tag, ticket, customer);
        if class.len() == 0 {
            self.classes.remove(&rank);
        }
    }
}

/// Where a waiting request stands.
#[derive(Debug, Clone, Copy)]
struct Place {
    rank: Rank,
    tag: u64,
    customer: CustomerId,
}

/// The order between classes: the smallest runs first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    importance: Importance,
    /// The doublings of a millisecond in its objective, so that there are few classes.
    haste: u32,
    fresh: bool,
}

impl Rank {
    fn of(work: &SlotRequest) -> Self {
        let haste = work.objective.as_millis().max(1).ilog2();
        Self { importance: work.importance, haste, fresh: !work.downstream }
    }
}

/// Start-time fair queueing between the customers of one class.
#[derive(Debug, Default)]
struct Class {
    queue: BTreeMap<(u64, Ticket), (CustomerId, Time)>,
    flows: BTreeMap<CustomerId, Flow>,
    lengths: BTreeSet<(u64, CustomerId)>,
    virtual_time: u64,
    weight: u64,
}

/// One customer's place in the virtual time of a class.
///
/// It outlives the customer's last entry, or a customer that keeps a single request waiting would
/// start at the virtual time again and again and pass the others.
#[derive(Debug, Default)]
struct Flow {
    finish: u64,
    weight: u64,
    entries: BTreeSet<(u64, Ticket)>,
}

impl Flow {
    /// What the customer holds of the queue, for each unit of its weight.
    fn held(&self) -> u64 {
        self.entries.len() as u64 * WEIGHT_UNIT / self.weight.max(1)
    }
}

impl Class {
    fn len(&self) -> usize {
        self.queue.len()
    }

    fn start_tag(&self, customer: CustomerId) -> u64 {
        let finish = self.flows.get(&customer).map_or(0, |flow| flow.finish);
        finish.max(self.virtual_time)
    }

    fn ahead_of(&self, work: &SlotRequest) -> f64 {
        let distance = self.start_tag(work.customer) - self.virtual_time;
        let waits = self.flows.get(&work.customer).is_some_and(|flow| !flow.entries.is_empty());
        let new = if waits { 0 } else { u64::from(work.weight) };
        // A tie counts as one round ahead of this request.
        let rounds = distance as f64 / WEIGHT_UNIT as f64 * (self.weight + new) as f64;
        rounds.max(self.lengths.len() as f64).min(self.queue.len() as f64)
    }

    fn push(&mut self, ticket: Ticket, work: &SlotRequest, now: Time) -> u64 {
        let tag = self.start_tag(work.customer);
        let weight = u64::from(work.weight.max(1));
        let flow = self.flows.entry(work.customer).or_default();
        if flow.entries.is_empty() {
            flow.weight = weight;
            self.weight += weight;
        } else {
            self.lengths.remove(&(flow.held(), work.customer));
        }
        flow.finish = tag + (WEIGHT_UNIT / flow.weight).max(1);
        flow.entries.insert((tag, ticket));
        self.lengths.insert((flow.held(), work.customer));
        self.queue.insert((tag, ticket), (work.customer, now));
        tag
    }

    fn first(&self) -> Option<(u64, Ticket, CustomerId)> {
        let (&(tag, ticket), &(customer, _)) = self.queue.first_key_value()?;
        Some((tag, ticket, customer))
    }

    /// Since when its next request has waited.
    fn oldest(&self) -> Option<Time> {
        self.queue.first_key_value().map(|(_, (_, came))| *came)
    }

    /// The newest entry of the customer that holds most.
    fn victim(&self) -> Option<(Ticket, CustomerId)> {
        let &(_, customer) = self.lengths.last()?;
        let (_, ticket) = *self.flows.get(&customer)?.entries.last()?;
        Some((ticket, customer))
    }

    fn remove(&mut self, tag: u64, ticket: Ticket, customer: CustomerId) {
        self.queue.remove(&(tag, ticket));
        let Some(flow) = self.flows.get_mut(&customer) else { return };
        self.lengths.remove(&(flow.held(), customer));
        let newest = flow.entries.last() == Some(&(tag, ticket));
        flow.entries.remove(&(tag, ticket));
        if newest && tag > self.virtual_time {
            flow.finish = tag;
        }
        if flow.entries.is_empty() {
            self.weight -= flow.weight;
        } else {
            self.lengths.insert((flow.held(), customer));
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
