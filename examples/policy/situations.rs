//! Load situations in which the policy is measured, and the requests that callers send in them.

use std::time::Duration;

use gypsumtack::document::CustomerId;
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::Deployment;
use crate::fakes::World;
use crate::measure::{self, Figures};
use crate::parts::{End, Request};

/// Duration of the calm phase before the trigger, in milliseconds.
pub const CALM_MS: u64 = 4_000;
/// Duration of the trigger, the phase in which load, speed or failures change.
pub const TRIGGER_MS: u64 = 8_000;
/// Duration of the calm phase after the trigger, in which recovery is measured.
pub const AFTER_MS: u64 = 8_000;
/// Offered load in the calm phases, as a fraction of the capacity of the bottleneck.
const CALM_LOAD: f64 = 0.7;
/// Time after which a caller resends a request in situations with aggressive retries.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of times that such a caller resends one request.
const MAX_RESENDS: u32 = 5;
/// Interval between the lines of a trace, in milliseconds.
const TRACE_INTERVAL_MS: u64 = 250;
/// Weights of the eight customers. Their offered loads have the same proportions.
pub const WEIGHTS: [u32; 8] = [8, 8, 4, 4, 2, 1, 1, 1];
/// Index of the customer that exceeds its rate in situations with a greedy customer.
pub const GREEDY: usize = 4;

/// How load, speed and failures change during the trigger.
pub struct Situation {
    pub name: &'static str,
    /// Offered load during the trigger, as a multiple of the capacity of the bottleneck.
    pub load: f64,
    /// Factor by which the bottleneck is slower during the trigger.
    pub slowed: f64,
    /// Whether callers aggressively resend refused and failed requests, in all phases.
    pub resend: bool,
    /// Factor by which the greedy customer raises its load during the trigger.
    pub greed: f64,
    /// Whether a request that crashes the instance running it is sent once a second during the trigger.
    pub crashes: bool,
}

/// Base of all situations, in which the trigger changes nothing.
const CALM: Situation =
    Situation { name: "", load: CALM_LOAD, slowed: 1.0, resend: false, greed: 1.0, crashes: false };

impl Situation {
    pub fn all() -> Vec<Self> {
        vec![
            Self { name: "surge 1.5x", load: 1.5, ..CALM },
            Self { name: "surge 2x", load: 2.0, ..CALM },
            Self { name: "surge 5x", load: 5.0, ..CALM },
            Self { name: "surge 10x", load: 10.0, ..CALM },
            Self { name: "deep slow 10x", slowed: 10.0, ..CALM },
            Self { name: "hard retries 2x", load: 2.0, resend: true, ..CALM },
            Self { name: "greedy 8x", greed: 8.0, ..CALM },
            Self { name: "crashing request", crashes: true, resend: true, ..CALM },
            Self { name: "surge 5x + slow", load: 5.0, slowed: 4.0, resend: true, ..CALM },
        ]
    }

    /// Whether the capacity suffices for all requests within the rates of the customers.
    pub fn suffices(&self) -> bool {
        self.load <= 1.0 && self.slowed <= 1.0 && !self.crashes
    }
}

/// Simulates one situation with the policy, or with the baseline if `naive`, and returns its figures.
/// `trace` prints the state of the bottleneck during the run.
pub fn run(
    deployment: &Deployment,
    situation: &Situation,
    naive: bool,
    seed: u64,
    trace: bool,
) -> Figures {
    let total: u32 = WEIGHTS.iter().sum();
    let total_rate: f64 = deployment.routes.iter().map(|spec| spec.rate).sum();
    // Rate limits are 20% above the peak load of the situation, so that a surge of all customers stays
    // within them, but a single customer that sends a multiple of its share exceeds its own.
    let peak_ratio = situation.load.max(CALM_LOAD) * 1.2 / deployment.load();
    let rate = |weight: u32| total_rate * peak_ratio * f64::from(weight) / f64::from(total);
    let rates: Vec<(f64, f64)> =
        WEIGHTS.iter().map(|&weight| (rate(weight), (rate(weight) * 0.5).max(10.0))).collect();
    let mut world = World::new(deployment, &rates, naive, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let end = CALM_MS + TRIGGER_MS + AFTER_MS;
    let (mut handled, mut next_id) = (0, 0);
    for ms in 0..end {
        let triggered = (CALM_MS..CALM_MS + TRIGGER_MS).contains(&ms);
        world.set_slowed(if triggered { situation.slowed } else { 1.0 });
        let load = if triggered { situation.load } else { CALM_LOAD };
        for request in offered(deployment, situation, (ms, load, triggered), &mut rng) {
            next_id += 1;
            world.send(Request { id: next_id, ..request });
        }
        world.run_until(Time::from_millis(ms + 1));
        handled = resend(&mut world, deployment, situation, handled);
        if trace && ms % TRACE_INTERVAL_MS == 0 {
            println!("{:>7.2} s  {}", ms as f64 / 1_000.0, world.trace());
        }
    }
    world.run_until(Time::from_millis(end + 4_000));
    measure::figures(&world, deployment, situation)
}

/// Generates the requests that all customers send within one millisecond, at random times.
fn offered(
    deployment: &Deployment,
    situation: &Situation,
    (ms, load, triggered): (u64, f64, bool),
    rng: &mut SmallRng,
) -> Vec<Request> {
    let total: u32 = WEIGHTS.iter().sum();
    let request = |customer: usize, route: usize, sent: Time| Request {
        id: 0,
        customer: CustomerId::new(customer as u32),
        weight: WEIGHTS[customer],
        route,
        first: sent,
        sent,
        deadline: sent + Duration::from_millis(deployment.routes[route].deadline_ms),
        resent: 0,
        crashes: false,
    };
    let mut requests = Vec::new();
    if situation.crashes && triggered && ms % 1_000 == 0 {
        // Crashes instances of the bottleneck by using the first route that it serves.
        let route = deployment.routes.iter().position(|spec| spec.service == deployment.bottleneck);
        let crash = request(0, route.unwrap_or(0), Time::from_millis(ms));
        requests.push(Request { crashes: true, ..crash });
    }
    for (customer, &weight) in WEIGHTS.iter().enumerate() {
        let greed = if triggered && customer == GREEDY { situation.greed } else { 1.0 };
        let share = f64::from(weight) / f64::from(total);
        for (route, spec) in deployment.routes.iter().enumerate() {
            let mut expected = spec.rate * load / deployment.load() * share * greed / 1_000.0;
            while expected > 0.0 {
                if rng.random::<f64>() < expected {
                    let sent = Time::from_micros(ms * 1_000 + rng.random_range(0..1_000));
                    requests.push(request(customer, route, sent));
                }
                expected -= 1.0;
            }
        }
    }
    requests
}

/// Resends refused and failed requests among those that ended at index `from` or later, and returns the
/// index to start from next time. By default a caller resends a request once: at the time that the
/// refusal gave, or immediately after a failure. In situations with aggressive retries it resends up to
/// `MAX_RESENDS` times, each time after `RESEND_DELAY`. Requests over their rate are not resent, nor are
/// failed requests that are not idempotent. None is resent after its deadline.
fn resend(
    world: &mut World<'_>,
    deployment: &Deployment,
    situation: &Situation,
    from: usize,
) -> usize {
    let ended = world.ended.len();
    for index in from..ended {
        let (root, time, end) = world.ended[index];
        let request = world.request(root);
        let spec = &deployment.routes[request.route];
        let sent = match end {
            End::Whole | End::OverRate => continue,
            End::Failed if !spec.idempotent => continue,
            _ if situation.resend => time + RESEND_DELAY,
            End::Refused(retry_at) => retry_at,
            End::Failed => time,
        };
        let max_resends = if situation.resend { MAX_RESENDS } else { 1 };
        if request.resent < max_resends && sent < request.deadline {
            world.send(Request { sent, resent: request.resent + 1, ..request });
        }
    }
    ended
}
