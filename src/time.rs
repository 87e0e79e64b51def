//! Monotonic time that decision code receives as an argument.
//!
//! Decision code never reads a clock, so that the decision state of hundreds of daemons can run in one
//! process under virtual time. Only the I/O code around it holds a [`Clock`]. The reasons are in
//! [docs/DESIGN.md](https://github.com/gypsumtack/gypsumtack/blob/main/docs/DESIGN.md).

use std::ops::{Add, Sub};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::Rng;
use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in microseconds since that clock was started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(u64);

impl Time {
    /// The moment at which the clock was started.
    pub const ZERO: Self = Self(0);

    /// A moment that never comes.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a point from microseconds since the clock was started.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point from milliseconds since the clock was started.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the clock was started.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this point, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// The clock of one process, read only by I/O code.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at [`Time::ZERO`].
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Reads the clock.
    pub fn now(&self) -> Time {
        Time::ZERO + self.elapsed()
    }

    /// Returns the time since the clock was started at full precision, for measurements.
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Sleeps until the clock reads `time`.
    pub async fn sleep_until(&self, time: Time) {
        tokio::time::sleep(time.since(self.now())).await;
    }

    /// Returns the moment `span` from now as an [`Instant`], which libraries use for deadlines.
    pub fn instant_after(span: Duration) -> Instant {
        Instant::now() + span
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::start()
    }
}

/// Limits an action to once per period.
#[derive(Debug, Default)]
pub struct Throttle {
    next: AtomicU64,
}

impl Throttle {
    /// Whether the action is due, and if so starts a new period. Of several concurrent calls, only one
    /// returns `true`.
    pub fn is_due(&self, now: Time, period: Duration) -> bool {
        let next = self.next.load(Ordering::Relaxed);
        let after = (now + period).as_micros();
        now.as_micros() >= next
            && self.next.compare_exchange(next, after, Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }

    /// Starts a new period now; the action is next due at its end.
    pub fn restart(&self, now: Time, period: Duration) {
        self.next.store((now + period).as_micros(), Ordering::Relaxed);
    }
}

/// Returns a random time within 20 % of `period`, so that daemons do not act in lockstep.
pub fn jitter(period: Duration) -> Duration {
    period.mul_f64(rand::rng().random_range(0.8..1.2))
}

/// Seconds since the Unix epoch, shown to operators. No decision depends on it.
pub fn unix_seconds() -> u64 {
    since_epoch().as_secs()
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}

/// A number that increases with each start of a daemon: milliseconds since the Unix epoch. Starts on one
/// VM are further apart than its clock's error.
pub fn incarnation() -> u64 {
    unix_millis()
}

fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
