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
/// Offered while it is calm, as a fraction of capacity.
const CALM_LOAD: f64 = 0.7;
/// How long a caller waits.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// When a caller that retries hard sends again.
const RESEND: Duration = Duration::from_millis(50);
/// How often it does so.
const RESENDS: u32 = 5;
/// Weights of the eight customers; their loads are in the same proportion.
pub const WEIGHTS: [u32; 8] = [8, 8, 4, 4, 2, 1, 1, 1];
/// The customer that sends several times its rate.
pub const GREEDY: usize = 4;

/// One situation.
pub struct Situation {
    pub name: &'static str,
    /// Offered load during the trigger, as a multiple of capacity.
    pub load: f64,
    /// How much slower the bottleneck is during the trigger.
    pub slowed: f64,
    /// Whether callers send again what failed.
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
pub fn run(deployment: &Deployment, situation: &Situation, naive: bool, seed: u64) -> Figures {
    let capacity = deployment.capacity();
    let total: u32 = WEIGHTS.iter().sum();
    // Rates leave room for a surge of many customers, but not for one that sends far more than its due.
    let most = situation.load.max(CALM_LOAD) * 1.2;
    let rate = |weight: u32| capacity * most * f64::from(weight) / f64::from(total);
    let rates: Vec<(f64, f64)> =
        WEIGHTS.iter().map(|&weight| (rate(weight), (rate(weight) * 0.5).max(10.0))).collect();
    let mut world = World::new(deployment, &rates, naive, seed);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let end = CALM_MS + TRIGGER_MS + AFTER_MS;
    let mut handled = 0;
    for ms in 0..end {
        let triggered = (CALM_MS..CALM_MS + TRIGGER_MS).contains(&ms);
        world.set_slowed(if triggered { situation.slowed } else { 1.0 });
        let load = if triggered { situation.load } else { CALM_LOAD };
        offer(&mut world, deployment, situation, (ms, load, triggered), &mut rng);
        world.run_until(Time::from_millis(ms + 1));
        if situation.resend {
            handled = resend(&mut world, handled);
        }
    }
    world.run_until(Time::from_millis(end + 4_000));
    measure::figures(&world, deployment, situation)
}

fn offer(
    world: &mut World<'_>,
    deployment: &Deployment,
    situation: &Situation,
    (ms, load, triggered): (u64, f64, bool),
    rng: &mut SmallRng,
) {
    let total: u32 = WEIGHTS.iter().sum();
    if situation.crashes && triggered && ms % 1_000 == 0 {
        let sent = Time::from_millis(ms);
        world.send(Request {
            customer: CustomerId::new(0),
            weight: WEIGHTS[0],
            route: deployment.routes.len() - 1,
            sent,
            deadline: sent + PATIENCE,
            resent: 0,
            crashes: true,
        });
    }
    for (customer, &weight) in WEIGHTS.iter().enumerate() {
        let greed = if triggered && customer == GREEDY { situation.greed } else { 1.0 };
        let part = f64::from(weight) / f64::from(total);
        for (route, spec) in deployment.routes.iter().enumerate() {
            let mut mean = deployment.capacity() * load * part * spec.part * greed / 1_000.0;
            while mean > 0.0 {
                if rng.random::<f64>() < mean {
                    let sent = Time::from_micros(ms * 1_000 + rng.random_range(0..1_000));
                    world.send(Request {
                        customer: CustomerId::new(customer as u32),
                        weight,
                        route,
                        sent,
                        deadline: sent + PATIENCE,
                        resent: 0,
                        crashes: false,
                    });
                }
                mean -= 1.0;
            }
        }
    }
}

/// Sends again what failed since the last look.
fn resend(world: &mut World<'_>, from: usize) -> usize {
    let ended = world.ended.len();
    for at in from..ended {
        let (root, time, end) = world.ended[at];
        let request = world.request(root);
        if end != End::Shed || request.resent >= RESENDS {
            continue;
        }
        let sent = time + RESEND;
        let resent = request.resent + 1;
        world.send(Request { sent, deadline: sent + PATIENCE, resent, ..request });
    }
    ended
}
