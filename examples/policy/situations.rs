//! The situations that the policy is measured in.

use std::time::Duration;

use gypsumtack::document::CustomerId;
use gypsumtack::time::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::deployment::Deployment;
use crate::fakes::World;
use crate::measure::{self, Figures};
use crate::parts::{End, Request};

/// Calm before the trigger, the trigger, and calm after it, in milliseconds.
pub const CALM_MS: u64 = 4_000;
pub const TRIGGER_MS: u64 = 8_000;
pub const AFTER_MS: u64 = 8_000;
/// Offered while it is calm, as a part of what the bottleneck can give.
const CALM_LOAD: f64 = 0.7;
/// When a caller that retries hard sends again, and how often it does so.
const RESEND: Duration = Duration::from_millis(50);
const RESENDS: u32 = 5;
/// How often a trace shows the bottleneck, in milliseconds.
const TRACE_MS: u64 = 250;
/// Weights of the eight customers; their loads are in the same proportion.
pub const WEIGHTS: [u32; 8] = [8, 8, 4, 4, 2, 1, 1, 1];
/// The customer that sends several times its rate.
pub const GREEDY: usize = 4;

/// One situation.
pub struct Situation {
    pub name: &'static str,
    /// Offered load during the trigger, as a multiple of what the bottleneck can give.
    pub load: f64,
    /// How much slower the bottleneck is during the trigger.
    pub slowed: f64,
    /// Whether callers send again at once what failed.
    pub resend: bool,
    /// How many times its rate the greedy customer sends.
    pub greed: f64,
    /// Whether a request that crashes instances comes every second and comes back when it fails.
    pub crashes: bool,
}

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

    /// Whether capacity suffices for all work within the customers' rates.
    pub fn suffices(&self) -> bool {
        self.load <= 1.0 && self.slowed <= 1.0 && !self.crashes
    }
}

/// Runs one situation.
pub fn run(
    deployment: &Deployment,
    situation: &Situation,
    naive: bool,
    seed: u64,
    trace: bool,
) -> Figures {
    let total: u32 = WEIGHTS.iter().sum();
    let asked: f64 = deployment.routes.iter().map(|spec| spec.rate).sum();
    // Rates leave room for a surge of many customers, but not for one that sends far more than its due.
    let most = situation.load.max(CALM_LOAD) * 1.2 / deployment.load();
    let rate = |weight: u32| asked * most * f64::from(weight) / f64::from(total);
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
        if trace && ms % TRACE_MS == 0 {
            println!("{:>7.2} s  {}", ms as f64 / 1_000.0, world.trace());
        }
    }
    world.run_until(Time::from_millis(end + 4_000));
    measure::figures(&world, deployment, situation)
}

/// The requests of one millisecond.
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
        // The route that goes to the bottleneck itself.
        let route = deployment.routes.iter().position(|spec| spec.service == deployment.bottleneck);
        let crash = request(0, route.unwrap_or(0), Time::from_millis(ms));
        requests.push(Request { crashes: true, ..crash });
    }
    for (customer, &weight) in WEIGHTS.iter().enumerate() {
        let greed = if triggered && customer == GREEDY { situation.greed } else { 1.0 };
        let part = f64::from(weight) / f64::from(total);
        for (route, spec) in deployment.routes.iter().enumerate() {
            let mut mean = spec.rate * load / deployment.load() * part * greed / 1_000.0;
            while mean > 0.0 {
                if rng.random::<f64>() < mean {
                    let sent = Time::from_micros(ms * 1_000 + rng.random_range(0..1_000));
                    requests.push(request(customer, route, sent));
                }
                mean -= 1.0;
            }
        }
    }
    requests
}

/// Sends again what failed since the last look: once, after the time that a refusal named, or again and
/// again at once.
fn resend(
    world: &mut World<'_>,
    deployment: &Deployment,
    situation: &Situation,
    from: usize,
) -> usize {
    let ended = world.ended.len();
    for at in from..ended {
        let (root, time, end) = world.ended[at];
        let request = world.request(root);
        let spec = &deployment.routes[request.route];
        let sent = match end {
            End::Whole | End::OverRate => continue,
            End::Failed if !spec.idempotent => continue,
            _ if situation.resend => time + RESEND,
            End::Refused(back) => back,
            End::Failed => time,
        };
        let most = if situation.resend { RESENDS } else { 1 };
        if request.resent < most && sent < request.deadline {
            world.send(Request { sent, resent: request.resent + 1, ..request });
        }
    }
    ended
}
