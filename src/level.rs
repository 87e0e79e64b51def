//! How much work a service refuses before it has cost a slot anywhere.
//!
//! A guard that sheds raises its cut; the cut travels back in answers, and entries refuse there what
//! would be refused deeper. A cut of 1.3 refuses all low work and 30% of normal work. It rises at once
//! and falls slowly (hysteresis). docs/DESIGN.md, "Feedback", gives the control law.

use std::time::Duration;

use crate::document::Importance;
use crate::time::Time;

/// The largest cut: all importances but the most important are refused, and most of that.
pub const HIGHEST_CUT: f32 = 3.9;

/// How much one interval with shed work raises the cut at most.
const RISE: f32 = 0.5;

/// How fast the cut falls while nothing is shed, in importances a second.
const FALL_PER_SECOND: f32 = 0.35;

/// How often a guard decides about its cut.
const INTERVAL: Duration = Duration::from_millis(100);

/// Share of refused work that is let through, so that the estimate stays honest.
pub const PROBE_SHARE: f32 = 0.01;

/// The cut of one guard, moved by what it sheds.
#[derive(Debug, Clone)]
pub struct Level {
    cut: f32,
    offered: u32,
    shed: u32,
    decided: Time,
}

impl Level {
    /// Starts with nothing refused.
    pub const fn new() -> Self {
        Self { cut: 0.0, offered: 0, shed: 0, decided: Time::ZERO }
    }

    /// Notes one request that was offered, and whether it was shed for want of slots.
    pub fn note(&mut self, shed: bool) {
        self.offered += 1;
        self.shed += u32::from(shed);
    }

    /// The cut at `now`.
    pub fn cut(&mut self, now: Time) -> f32 {
        let span = now.since(self.decided);
        if span < INTERVAL {
            return self.cut;
        }
        self.cut = match self.shed {
            0 => self.cut - FALL_PER_SECOND * span.as_secs_f32().min(1.0),
            shed => self.cut + RISE * shed as f32 / self.offered.max(1) as f32,
        };
        self.cut = self.cut.clamp(0.0, HIGHEST_CUT);
        self.offered = 0;
        self.shed = 0;
        self.decided = now;
        self.cut
    }
}

impl Default for Level {
    fn default() -> Self {
        Self::new()
    }
}

/// The share of work of `importance` that `cut` refuses, from 0 to 1.
pub fn refused_share(cut: f32, importance: Importance) -> f32 {
    let below = Importance::ALL.iter().rev().position(|other| *other == importance).unwrap_or(0);
    (cut - below as f32).clamp(0.0, 1.0)
}

/// Whether one request is refused, given a random number from 0 to 1.
pub fn refuses(cut: f32, importance: Importance, random: f32) -> bool {
    random < refused_share(cut, importance).min(1.0 - PROBE_SHARE)
}
