//! The demo: a whole system on loopback, put through overload and failures, with every promise counted.

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

/// Requests a second that the system is offered while it is calm, as a multiple of [`traffic`]'s
/// base rates.
const CALM: f64 = 1.0;

/// The same during the overload.
const OVERLOAD: f64 = 6.0;

/// Runs the demo. With `progress`, it says on standard error what it does.
///
/// # Errors
///
/// Returns an error when the system cannot be started.
pub async fn run(seed: u64, progress: bool) -> Result<Report> {
    let say = |text: &str| {
        if progress {
            eprintln!("demo: {text}");
        }
    };
    let clock = Clock::start();
    say("starting a platform and three failure domains of two services");
    let mut system = System::start(seed).await?;
    let mut traffic = Traffic::new(&system, seed);
    say("calm traffic for 3 s");
    traffic.phase("calm", CALM, Duration::from_secs(3)).await;
    say("overload of several times capacity for 5 s");
    traffic.phase("overload", OVERLOAD, Duration::from_secs(5)).await;
    say("calm again for 3 s");
    traffic.phase("recovery", CALM, Duration::from_secs(3)).await;
    say("the platform is down for 4 s");
    system.platform.set_faults(Faults { down: true, ..Faults::default() });
    traffic.phase("outage", CALM, Duration::from_secs(4)).await;
    system.platform.set_faults(Faults::default());
    say("the key of one customer is withdrawn while it sends");
    let withdrawal = system.withdraw_key().await?;
    traffic.phase("withdrawal", CALM, Duration::from_secs(4)).await;
    say("one VM is stopped as planned");
    let stop = system.stop_one();
    traffic.phase("drain", CALM, Duration::from_secs(4)).await;
    let _ = stop.await;
    let results = traffic.finish().await;
    let promises = promises::check(&results, &system, withdrawal);
    system.stop().await;
    Ok(Report::new(seed, clock.elapsed(), &results, promises))
}
