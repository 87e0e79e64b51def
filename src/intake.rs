//! Admission state of one backend server: the queued and the running requests, and the mean service
//! time of each route. It does no I/O and reads no clock; [`crate::gate`] applies it to tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::envelope::Load;
use crate::guard::{Guard, Released, ServiceTime};

/// Admission state of one backend server.
#[derive(Debug)]
pub struct Intake {
    /// The queued and the running requests.
    pub guard: Guard,
    /// Mean service time of each route, in seconds: how long its requests hold a slot.
    service_times: BTreeMap<String, f64>,
}

/// The load of a backend server and the service time of one route, as reported with an answer.
#[derive(Debug, Clone, Copy)]
pub struct RouteLoad {
    /// The load of the backend server.
    pub load: Load,
    /// Mean time for which a request of the route holds a slot.
    pub service_time: Duration,
}

impl Intake {
    /// Creates the state of a backend server without slots. Requests wait at most for `longest_wait`.
    pub fn new(longest_wait: Duration) -> Self {
        Self { guard: Guard::new(longest_wait), service_times: BTreeMap::new() }
    }

    /// Records the end of a request of `route` that ran for `service_time` and frees its slot. Returns
    /// the queued requests whose wait ends with it.
    pub fn finish(&mut self, route: &str, service_time: ServiceTime) -> Released {
        self.record_service_time(route, service_time);
        self.guard.release()
    }

    /// Records how long a request of `route` ran that keeps its slot for now.
    pub fn record_service_time(&mut self, route: &str, service_time: ServiceTime) {
        let gain = self.guard.service_time_gain();
        match self.service_times.get_mut(route) {
            Some(mean) => service_time.update_mean(mean, gain),
            None => {
                if let ServiceTime::Completed(span) = service_time {
                    self.service_times.insert(route.to_owned(), span.as_secs_f64());
                }
            }
        }
        self.guard.record_service_time(service_time);
    }

    /// Returns what is reported with an answer to a request of `route`.
    pub fn observe(&self, route: &str) -> RouteLoad {
        RouteLoad { load: self.load(), service_time: self.service_time(route) }
    }

    /// Returns the current load.
    pub fn load(&self) -> Load {
        let mean = self.guard.mean_service().as_micros();
        Load {
            in_flight: self.guard.in_flight() as u32,
            queued: self.guard.queued() as u32,
            slots: self.guard.slots() as u32,
            mean_us: u32::try_from(mean).unwrap_or(u32::MAX),
        }
    }

    /// The mean service time of `route`, or that of all routes if no request of it has completed yet.
    fn service_time(&self, route: &str) -> Duration {
        let known = self.service_times.get(route).copied();
        known.map_or_else(|| self.guard.mean_service(), Duration::from_secs_f64)
    }
}
