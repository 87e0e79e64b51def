//! Pace of requests to a backend server that names how many requests per second it takes.
//!
//! The daemon beside the backend server sees what all VMs send to it, so it alone keeps the limit. It uses
//! as many slots as requests are in flight at the named rate, and keeps each slot for at least the time in
//! which all of them are used once. The functions are pure. docs/DESIGN.md, "Limits that backend servers
//! name", has the bound on the requests in a window.

use std::time::Duration;

/// Smallest rate at which requests are sent, in requests per second, since only answers tell that a limit
/// has changed.
const MIN_RATE: f64 = 0.5;

/// Longest mean service time for which slots are provided. With more slots, too many requests could start
/// at once.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(1);

/// Slots that are used, as a multiple of those that requests occupy on average. With fewer, requests that
/// take long would delay the others.
const SLOT_FACTOR: usize = 2;

/// Returns the number of slots, of `usable` ones, that requests of this mean service time occupy at
/// `rate` requests per second.
pub fn occupied_slots(rate: f64, mean_service: Duration, usable: usize) -> usize {
    let in_flight = rate.max(MIN_RATE) * mean_service.min(MAX_SERVICE_TIME).as_secs_f64();
    (in_flight.ceil() as usize).clamp(1, usable.max(1))
}

/// Returns the number of slots, of `usable` ones, that are used at `rate` requests per second.
pub fn paced_slots(rate: f64, mean_service: Duration, usable: usize) -> usize {
    (occupied_slots(rate, mean_service, usable) * SLOT_FACTOR).min(usable.max(1))
}

/// Returns the shortest time for which a request keeps one of `slots` at `rate` requests per second.
pub fn slot_time(rate: f64, slots: usize) -> Duration {
    Duration::from_secs_f64(slots as f64 / rate.max(MIN_RATE))
}
