//! What callers ask for at one entry: the rate of each route, and the customers that its requests come
//! from.
//!
//! A large fleet has many entries, and each sees a customer every few seconds. A rate for each customer
//! and route would be zero most of the time, and an entry that refuses by such rates refuses nothing of
//! a customer whose request just arrives. Requests are therefore counted over several windows, and who
//! sends them is told from the shortest one that holds enough of them. docs/DESIGN.md, "Feedback".

use std::collections::BTreeMap;
use std::time::Duration;

use crate::document::CustomerId;
use crate::time::Time;

/// Minimum time between two updates of a rate.
const RATE_INTERVAL: Duration = Duration::from_millis(50);

/// Time constant of the moving average of a rate. A surge shows within half a second.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(200);

/// Time constants with which counted requests lose their weight, one for each window. The shortest shows
/// a surge at once, and the longest tells who sends one request a second.
const WINDOWS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_secs(1), Duration::from_secs(5)];

/// Number of requests of all routes that a window must hold to tell who sends them.
const MIN_WINDOW_COUNT: f64 = 30.0;

/// Weight below which a customer is no longer counted.
const MIN_COUNT: f64 = 0.05;

/// Requests per second, as a moving average over [`RATE_TIME_CONSTANT`].
#[derive(Debug, Default, Clone, Copy)]
struct Rate {
    count: u32,
    rate: f64,
    updated: Time,
}

impl Rate {
    fn advance(&mut self, now: Time) {
        let span = now.since(self.updated);
        if span < RATE_INTERVAL {
            return;
        }
        let fresh = f64::from(self.count) / span.as_secs_f64();
        let old = decay(span, RATE_TIME_CONSTANT);
        *self = Self { count: 0, rate: self.rate * old + fresh * (1.0 - old), updated: now };
    }
}

/// The requests of one route at one entry, refused ones included.
#[derive(Debug, Default)]
pub struct Demand {
    total: Rate,
    windows: [Window; WINDOWS.len()],
}

/// The number of requests of each customer in one window.
pub type Counts = Vec<(Option<CustomerId>, f64)>;

impl Demand {
    /// Counts a request.
    pub fn record(&mut self, customer: Option<CustomerId>, now: Time) {
        self.total.count += 1;
        self.total.advance(now);
        for (window, time_constant) in self.windows.iter_mut().zip(WINDOWS) {
            window.record(customer, time_constant, now);
        }
    }

    /// Returns the requests per second over the last fraction of a second.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.total.advance(now);
        self.total.rate
    }

    /// Returns the number of requests of each customer, for each of the windows from the shortest to the
    /// longest.
    pub fn counts(&self, now: Time) -> [Counts; WINDOWS.len()] {
        std::array::from_fn(|index| self.windows[index].counts(WINDOWS[index], now).collect())
    }
}

/// Returns the counts of all routes in the shortest window that holds enough requests. `routes` has the
/// counts of each route in all windows.
pub fn shortest_sufficient(routes: Vec<[Counts; WINDOWS.len()]>) -> Vec<Counts> {
    let total = |index: usize| -> f64 {
        routes.iter().flat_map(|windows| &windows[index]).map(|(_, count)| count).sum()
    };
    let longest = WINDOWS.len() - 1;
    let index = (0..longest).find(|index| total(*index) >= MIN_WINDOW_COUNT).unwrap_or(longest);
    routes.into_iter().map(|windows| windows.into_iter().nth(index).unwrap_or_default()).collect()
}

/// Requests that lose their weight over time.
#[derive(Debug, Default)]
struct Window {
    /// Weight of the counted requests of each customer, as of `scaled`.
    counts: BTreeMap<Option<CustomerId>, f64>,
    scaled: Time,
}

impl Window {
    fn record(&mut self, customer: Option<CustomerId>, time_constant: Duration, now: Time) {
        if now.since(self.scaled) >= time_constant {
            let weight = self.weight(time_constant, now);
            self.counts.retain(|_, count| {
                *count *= weight;
                *count >= MIN_COUNT
            });
            self.scaled = now;
        }
        // Later requests get a larger weight, so that the earlier ones need no update.
        *self.counts.entry(customer).or_default() += 1.0 / self.weight(time_constant, now);
    }

    fn counts(
        &self,
        time_constant: Duration,
        now: Time,
    ) -> impl Iterator<Item = (Option<CustomerId>, f64)> {
        let weight = self.weight(time_constant, now);
        let counts = self.counts.iter().map(move |(customer, count)| (*customer, count * weight));
        counts.filter(|(_, count)| *count >= MIN_COUNT)
    }

    /// The weight at `now` of a request that was counted when the weights were last scaled.
    fn weight(&self, time_constant: Duration, now: Time) -> f64 {
        decay(now.since(self.scaled), time_constant)
    }
}

fn decay(span: Duration, time_constant: Duration) -> f64 {
    (-span.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
