//! How much work a service refuses before it has cost a slot anywhere.
//!
//! A guard derives a level for each customer and importance: the share of that work that it refuses.
//! The level travels back in answers, and entries refuse there what would be refused deeper. Levels
//! rise at once and fall slowly (hysteresis), the more important first. docs/DESIGN.md, "Feedback",
//! gives the control law and the ways that were weighed.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::document::{CustomerId, Importance};
use crate::time::Time;

/// The highest level. What it lets through are probes that keep the estimate honest.
pub const HIGHEST: f32 = 0.98;

/// How often a fair rate is decided about at most.
const INTERVAL: Duration = Duration::from_millis(100);

/// How often it is decided about when few requests come.
const LONGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Requests that make a decision worth taking before [`LONGEST_INTERVAL`].
const ENOUGH: u32 = 20;

/// How fast a fair rate grows while all slots are in use, as a part of itself a second. It keeps the
/// queue from running dry.
const SLOW_RISE: f32 = 0.3;

/// How fast it grows for the free part of the slots, as a part of itself a second.
const FAST_RISE: f32 = 30.0;

/// How much one decision lowers a fair rate when everything was shed, as a part of itself.
const STEEPEST: f32 = 0.5;

/// Over which time a customer's rate is averaged.
const RATE_TIME: Duration = Duration::from_millis(500);

/// The least time between two updates of a customer's rate.
const RATE_INTERVAL: Duration = Duration::from_millis(20);

/// A level below which work counts as admitted.
const SMALL: f32 = 0.05;

/// How long an entry believes a level that nobody confirmed.
const BELIEF_TIME: Duration = Duration::from_millis(500);

/// How fast a level falls at an entry after that, a second.
const STALE_FALL: f32 = 2.0;

/// The levels of one guard.
///
/// Each importance has a fair rate for a unit of weight. A customer that offers more than its weight
/// times the fair rate is refused the rest, and one that offers less is refused nothing, as in
/// core-stateless fair queueing (Stoica, Shenker and Zhang, 1998).
#[derive(Debug, Default)]
pub struct Levels {
    classes: [Class; Importance::ALL.len()],
}

/// The work of one importance.
#[derive(Debug)]
struct Class {
    /// Requests a second for a unit of weight; infinite while nothing is refused.
    fair: f32,
    offered: u32,
    shed: u32,
    decided: Time,
    flows: BTreeMap<CustomerId, Flow>,
}

/// What one customer offers, entries' refusals included.
#[derive(Debug, Clone, Copy)]
struct Flow {
    weight: f32,
    rate: f32,
    count: f32,
    updated: Time,
}

/// One request that came to a guard.
#[derive(Debug, Clone, Copy)]
pub struct Offered {
    /// Whose it is.
    pub customer: CustomerId,
    /// The customer's weight.
    pub weight: u32,
    /// How important it is.
    pub importance: Importance,
    /// With which probability its entry let it pass. It stands for as many more that were refused.
    pub passed: f32,
    /// Whether the guard refused it for want of slots.
    pub shed: bool,
}

impl Levels {
    /// Notes one request that came to the guard.
    pub fn offered(&mut self, offered: Offered, now: Time) {
        let class = &mut self.classes[offered.importance as usize];
        class.offered += 1;
        class.shed += u32::from(offered.shed);
        let new = Flow { weight: 1.0, rate: 0.0, count: 0.0, updated: now };
        let flow = class.flows.entry(offered.customer).or_insert(new);
        flow.weight = offered.weight.max(1) as f32;
        flow.count += 1.0 / offered.passed.max(1.0 - HIGHEST);
        flow.update(now);
    }

    /// Notes one waiting request that lost its place.
    pub fn displaced(&mut self, importance: Importance) {
        self.classes[importance as usize].shed += 1;
    }

    /// The share of this customer's work of this importance that is refused now. `idle` is the free
    /// part of the slots.
    pub fn share(
        &mut self,
        customer: CustomerId,
        importance: Importance,
        idle: f32,
        now: Time,
    ) -> f32 {
        let (better, rest) = self.classes.split_at_mut(importance as usize);
        let held = better.iter().any(Class::is_refused);
        let class = &mut rest[0];
        class.decide(idle, held, now);
        class.level(customer)
    }
}

impl Default for Class {
    fn default() -> Self {
        Self {
            fair: f32::INFINITY,
            offered: 0,
            shed: 0,
            decided: Time::ZERO,
            flows: BTreeMap::new(),
        }
    }
}

impl Class {
    fn level(&self, customer: CustomerId) -> f32 {
        self.flows.get(&customer).map_or(0.0, |flow| flow.level(self.fair))
    }

    /// Whether so much is refused that less important work must wait with its return.
    fn is_refused(&self) -> bool {
        if self.fair.is_infinite() {
            return false;
        }
        let rates = || self.flows.values().map(|flow| flow.rate);
        let refused = self.flows.values().map(|flow| flow.rate * flow.level(self.fair));
        refused.sum::<f32>() > SMALL * rates().sum::<f32>()
    }

    fn decide(&mut self, idle: f32, held: bool, now: Time) {
        let span = now.since(self.decided);
        if span < INTERVAL || (self.offered < ENOUGH && span < LONGEST_INTERVAL) {
            return;
        }
        if self.shed > 0 {
            let part = (self.shed as f32 / self.offered.max(1) as f32).min(1.0);
            let highest = self.highest_rate();
            // Probes pass anyway, so a lower fair rate would only come back later.
            let least = highest * (1.0 - HIGHEST);
            self.fair = (self.fair.min(highest) * (1.0 - STEEPEST * part)).max(least);
        } else if !held {
            let span = span.min(LONGEST_INTERVAL).as_secs_f32();
            self.fair *= 1.0 + (SLOW_RISE + FAST_RISE * idle) * span;
        }
        self.flows.retain(|_, flow| flow.is_alive(now));
        if self.fair >= self.highest_rate() {
            self.fair = f32::INFINITY;
        }
        (self.offered, self.shed, self.decided) = (0, 0, now);
    }

    /// The highest rate for a unit of weight that any customer offers.
    fn highest_rate(&self) -> f32 {
        self.flows.values().map(|flow| flow.rate / flow.weight).fold(0.0, f32::max)
    }
}

impl Flow {
    fn update(&mut self, now: Time) {
        let span = now.since(self.updated);
        if span < RATE_INTERVAL {
            return;
        }
        let span = span.as_secs_f32();
        let old = (-span / RATE_TIME.as_secs_f32()).exp();
        self.rate = self.rate * old + self.count / span * (1.0 - old);
        (self.count, self.updated) = (0.0, now);
    }

    fn level(&self, fair: f32) -> f32 {
        if self.rate <= 0.0 {
            return 0.0;
        }
        (1.0 - fair * self.weight / self.rate).clamp(0.0, HIGHEST)
    }

    fn is_alive(&self, now: Time) -> bool {
        now.since(self.updated) < RATE_TIME * 10
    }
}

/// A level as an entry knows it, from the answers of a service's instances.
#[derive(Debug, Default)]
pub struct Cut {
    share: AtomicU32,
    updated: AtomicU64,
}

impl Cut {
    /// Notes a level that came with an answer.
    pub fn note(&self, share: f32, now: Time) {
        let old = self.at(now);
        let next = (old + share) / 2.0;
        self.share.store(next.clamp(0.0, HIGHEST).to_bits(), Ordering::Relaxed);
        self.updated.store(now.as_micros(), Ordering::Relaxed);
    }

    /// The level at `now`. What nobody confirmed lately falls as fast as a guard lets it fall.
    pub fn at(&self, now: Time) -> f32 {
        let share = f32::from_bits(self.share.load(Ordering::Relaxed));
        let updated = Time::from_micros(self.updated.load(Ordering::Relaxed));
        let stale = now.since(updated).saturating_sub(BELIEF_TIME);
        (share - STALE_FALL * stale.as_secs_f32()).max(0.0)
    }
}

/// Levels of one service as an entry knows them, by customer and importance.
#[derive(Debug, Default)]
pub struct Cuts {
    customers: Vec<[Cut; Importance::ALL.len()]>,
    open: [Cut; Importance::ALL.len()],
}

impl Cuts {
    /// Makes room for `customers` customers, and takes over what `old` knew.
    pub fn follow(old: Option<&Self>, customers: usize, now: Time) -> Self {
        let mut cuts = Self::default();
        cuts.customers.resize_with(customers, Default::default);
        let Some(old) = old else { return cuts };
        let pairs = cuts.customers.iter().zip(&old.customers);
        for (new, old) in pairs.chain([(&cuts.open, &old.open)]) {
            for (new, old) in new.iter().zip(old) {
                new.share.store(old.at(now).to_bits(), Ordering::Relaxed);
                new.updated.store(now.as_micros(), Ordering::Relaxed);
            }
        }
        cuts
    }

    /// The level of one customer's work; without a customer, of work on routes open to all.
    pub fn of(&self, customer: Option<CustomerId>, importance: Importance) -> &Cut {
        let known = customer.and_then(|id| self.customers.get(id.index()));
        &known.unwrap_or(&self.open)[importance as usize]
    }
}
