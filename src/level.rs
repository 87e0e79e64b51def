//! How much work a service refuses before it has cost a slot anywhere.
//!
//! A guard keeps one level for each customer and importance: the share of that work that it would
//! refuse. The level travels back in answers, and entries refuse there what would be refused deeper.
//! Because the guard sheds fairly, the levels are fair too. A level rises at once and falls slowly
//! (hysteresis), the more important first. docs/DESIGN.md, "Feedback", gives the control law.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::document::{CustomerId, Importance};
use crate::time::Time;

/// The highest level. What it lets through are probes that keep the estimate honest.
pub const HIGHEST: f32 = 0.98;

/// How often a level is decided about.
const INTERVAL: Duration = Duration::from_millis(50);

/// How much one interval in which everything was shed raises a level.
const RISE: f32 = 0.5;

/// How fast a level falls while the slots are full, a second.
const SLOW_FALL: f32 = 0.1;

/// How fast a level falls while slots are free, a second.
const FAST_FALL: f32 = 1.0;

/// A level below which work counts as admitted.
const SMALL: f32 = 0.02;

/// How long an entry believes a level that nobody confirmed.
const BELIEF_TIME: Duration = Duration::from_millis(500);

/// The levels of one guard.
#[derive(Debug, Default)]
pub struct Levels {
    levels: BTreeMap<LevelKey, Level>,
}

/// Names one level: importance first, so that levels are in the order in which work survives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LevelKey {
    importance: Importance,
    customer: CustomerId,
}

/// The level of one customer's work of one importance.
#[derive(Debug, Clone, Copy, Default)]
struct Level {
    share: f32,
    offered: u32,
    shed: u32,
    decided: Time,
}

impl Levels {
    /// Notes one request that was offered to the guard, and whether it was refused for want of slots.
    pub fn offered(&mut self, customer: CustomerId, importance: Importance, shed: bool) {
        let level = self.levels.entry(LevelKey { importance, customer }).or_default();
        level.offered += 1;
        level.shed += u32::from(shed);
    }

    /// Notes one waiting request that lost its place.
    pub fn displaced(&mut self, customer: CustomerId, importance: Importance) {
        self.levels.entry(LevelKey { importance, customer }).or_default().shed += 1;
    }

    /// The share of this work that is refused now. `idle` says whether slots are free.
    pub fn share(
        &mut self,
        customer: CustomerId,
        importance: Importance,
        idle: bool,
        now: Time,
    ) -> f32 {
        let key = LevelKey { importance, customer };
        let held = self.is_held(importance);
        let Some(level) = self.levels.get_mut(&key) else { return 0.0 };
        level.decide(idle, held, now);
        level.share
    }

    /// Whether more important work is still refused, so that this must wait with its return.
    fn is_held(&self, importance: Importance) -> bool {
        let end = LevelKey { importance, customer: CustomerId::new(0) };
        self.levels.range(..end).any(|(_, level)| level.share > SMALL)
    }
}

impl Level {
    fn decide(&mut self, idle: bool, held: bool, now: Time) {
        let span = now.since(self.decided);
        if span < INTERVAL {
            return;
        }
        let fall = if idle { FAST_FALL } else { SLOW_FALL };
        let fallen = fall * span.as_secs_f32().min(1.0);
        self.share = match self.shed {
            0 if held => self.share,
            0 => self.share - fallen,
            shed => {
                let part = (shed as f32 / self.offered.max(1) as f32).min(1.0);
                // What is already refused counts as shed, so the step shrinks near the top.
                self.share + RISE * part * (1.0 - self.share)
            }
        };
        self.share = self.share.clamp(0.0, HIGHEST);
        (self.offered, self.shed, self.decided) = (0, 0, now);
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
        (share - FAST_FALL * stale.as_secs_f32()).max(0.0)
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
