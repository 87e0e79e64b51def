//! Callers that come back after a refusal go before new ones of their rank.
//!
//! Under a lasting overload an entry refuses a share of each class at random. A caller that came back as it
//! was told to would be refused again with the same probability, and most callers try only twice. The
//! entry therefore recognizes returning requests and admits them, and refuses correspondingly more new
//! ones, so that as many requests are admitted, but fewer callers leave with nothing. The module does no
//! I/O and reads no clock. A caller that comes back earlier than it was told to counts as new, so that
//! nobody gains by repeating at once. docs/POLICY.md names the load that this answers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time::Time;

/// How long a refused request is recognized when it returns. Callers wait at most a third of their
/// deadlines.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Maximum number of refused requests that are recognized; the oldest are forgotten first.
const MAX_REFUSED: usize = 10_000;

/// Time constant of the fraction of requests that return.
const FRACTION_TIME: Duration = Duration::from_secs(1);

/// Maximum fraction of a class that may be admitted because it returns. A class that is refused nearly
/// as a whole would otherwise take capacity from more important ones.
const MAX_RETURNING: f32 = 0.5;

/// Identifies a request by its customer, method and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReturnKey(pub u64);

/// The requests that an entry has refused lately, and how many of them return.
#[derive(Debug, Default)]
pub struct Returns {
    /// When the caller of each was told to come back.
    refused: BTreeMap<ReturnKey, Time>,
    by_age: VecDeque<(Time, ReturnKey)>,
    /// Fraction of the requests of each class that return.
    fractions: BTreeMap<usize, ReturningFraction>,
}

/// Decayed counts of requests.
#[derive(Debug, Default, Clone, Copy)]
struct ReturningFraction {
    all: f32,
    returning: f32,
    updated: Time,
}

impl Returns {
    /// Decides whether to refuse a request of `route`, of whose class the share `refused_share` is to be
    /// refused. `draw` is a random number from 0 to 1, and `wait` the time after which the caller will be
    /// told to come back if it is refused.
    pub fn refuses(
        &mut self,
        route: usize,
        key: ReturnKey,
        refused_share: f32,
        draw: f32,
        (now, wait): (Time, Duration),
    ) -> bool {
        self.forget_old(now);
        let is_returning = self.refused.get(&key).is_some_and(|due| now >= *due);
        let fraction = self.fractions.entry(route).or_default();
        let returning = fraction.record(is_returning, now).min(MAX_RETURNING);
        // Requests that return are admitted up to the share of the class that is to be admitted.
        let admitted = 1.0 - refused_share;
        let refused_share = if is_returning {
            1.0 - (admitted / returning.max(f32::MIN_POSITIVE)).min(1.0)
        } else {
            let left = (admitted - returning).max(0.0);
            1.0 - left / (1.0 - returning)
        };
        let refuses = draw < refused_share;
        if refuses {
            self.remember(key, now + wait, now);
        } else {
            self.refused.remove(&key);
        }
        refuses
    }

    fn remember(&mut self, key: ReturnKey, due: Time, now: Time) {
        if self.by_age.len() >= MAX_REFUSED
            && let Some((_, oldest)) = self.by_age.pop_front()
        {
            self.refused.remove(&oldest);
        }
        if self.refused.insert(key, due).is_none() {
            self.by_age.push_back((now, key));
        }
    }

    fn forget_old(&mut self, now: Time) {
        while let Some(&(refused, key)) = self.by_age.front() {
            if now.since(refused) <= RETURN_TIME {
                return;
            }
            self.by_age.pop_front();
            self.refused.remove(&key);
        }
    }
}

impl ReturningFraction {
    /// Counts a request, and returns the fraction that return.
    fn record(&mut self, is_returning: bool, now: Time) -> f32 {
        let elapsed = now.since(self.updated).as_secs_f32();
        let weight = (-elapsed / FRACTION_TIME.as_secs_f32()).exp();
        self.all = self.all * weight + 1.0;
        self.returning = self.returning * weight + f32::from(u8::from(is_returning));
        self.updated = now;
        self.returning / self.all
    }
}
