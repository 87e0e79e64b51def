//! All that is known at one backend server about the requests that come to it: who waits, who runs, and
//! how long they hold a slot. It is pure; [`crate::gate`] carries it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::envelope::Load;
use crate::guard::{Guard, Released, ServiceTime};

/// How much one finished request moves what is known of its route.
const HOLD_GAIN: f64 = 0.05;

/// The intake of one backend server.
#[derive(Debug)]
pub struct Intake {
    /// Who waits and who runs.
    pub guard: Guard,
    /// How long requests of each route hold a slot, in seconds.
    holds: BTreeMap<String, f64>,
}

/// How an intake is doing, as it goes back with an answer.
#[derive(Debug, Clone, Copy)]
pub struct RouteLoad {
    /// The load.
    pub load: Load,
    /// How long a request of the route that was asked about holds a slot.
    pub service_time: Duration,
}

impl Intake {
    /// Makes an intake without slots.
    pub fn new(longest_wait: Duration) -> Self {
        Self { guard: Guard::new(longest_wait), holds: BTreeMap::new() }
    }

    /// Ends a request of `route` that held a slot for `held`.
    pub fn finish(&mut self, route: &str, held: ServiceTime) -> Released {
        match self.holds.get_mut(route) {
            Some(hold) => held.update_mean(hold, HOLD_GAIN),
            None => {
                if let ServiceTime::Completed(span) = held {
                    self.holds.insert(route.to_owned(), span.as_secs_f64());
                }
            }
        }
        self.guard.finish(held)
    }

    /// What goes back with an answer to a request of `route`.
    pub fn observe(&self, route: &str) -> RouteLoad {
        RouteLoad { load: self.load(), service_time: self.service_time(route) }
    }

    /// The load now.
    pub fn load(&self) -> Load {
        let mean = self.guard.mean_service().as_micros();
        Load {
            in_flight: self.guard.in_flight() as u32,
            queued: self.guard.queued() as u32,
            slots: self.guard.slots() as u32,
            mean_us: u32::try_from(mean).unwrap_or(u32::MAX),
        }
    }

    fn service_time(&self, route: &str) -> Duration {
        let known = self.holds.get(route).copied();
        known.map_or_else(|| self.guard.mean_service(), Duration::from_secs_f64)
    }
}
