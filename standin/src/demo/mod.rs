//! The demo: runs a complete system on loopback through overload and failures, and counts how often
//! each promise was broken.

mod promises;
mod report;
mod system;
mod traffic;

use std::time::Duration;

use gypsumtack::Result;
use gypsumtack::time::Clock;

pub use self::report::{Promise, Report, Row};
use self::system::System;
use self::traffic::Traffic;
use crate::platform::Faults;

/// Offered load in all phases but the overload, as a multiple of the base rates of [`traffic`].
const CALM_LOAD: f64 = 1.0;

/// Offered load during the overload, as a multiple of the base rates of [`traffic`].
const OVERLOAD_LOAD: f64 = 6.0;

/// Runs the demo. With `progress`, it logs each phase to standard error.
///
/// # Errors
///
/// Returns an error when the system cannot be started.
pub async fn run(seed: u64, progress: bool) -> Result<Report> {
    let log = |text: &str| {
        if progress {
            eprintln!("demo: {text}");
        }
    };
    let clock = Clock::start();
    log("starting a platform and three failure domains with two services each");
    let mut system = System::start(seed).await?;
    let mut traffic = Traffic::new(&system, seed);
    log("calm traffic for 3 s");
    traffic.run_phase("calm", CALM_LOAD, Duration::from_secs(3)).await;
    log("overload of several times capacity for 5 s");
    traffic.run_phase("overload", OVERLOAD_LOAD, Duration::from_secs(5)).await;
    log("calm traffic again for 3 s");
    traffic.run_phase("recovery", CALM_LOAD, Duration::from_secs(3)).await;
    log("the platform is down for 4 s");
    system.platform.set_faults(Faults { down: true, ..Faults::default() });
    traffic.run_phase("outage", CALM_LOAD, Duration::from_secs(4)).await;
    system.platform.set_faults(Faults::default());
    log("withdrawing the API key of a customer that keeps sending");
    let withdrawal = system.withdraw_key().await?;
    traffic.run_phase("withdrawal", CALM_LOAD, Duration::from_secs(4)).await;
    log("shutting down one VM gracefully");
    let shutdown = system.stop_one_vm();
    traffic.run_phase("drain", CALM_LOAD, Duration::from_secs(4)).await;
    let _ = shutdown.await;
    let records = traffic.finish().await;
    let promises = promises::check(&records, &system, withdrawal);
    system.stop().await;
    Ok(Report::new(seed, clock.elapsed(), &records, promises))
}
