//! Estimates how many downstream calls a backend server makes for each request that it runs.
//!
//! Downstream calls do not name the request that they belong to. The daemon therefore counts, in short
//! windows, the calls to each route and the requests of each route that the backend server ran, and fits
//! the calls as a linear function of the requests. It uses the fewest routes that explain the counts of
//! many windows. docs/DESIGN.md, "Feedback".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

/// Length of a window. It is longer than most requests take, so that few of them have calls in another
/// window.
const WINDOW: Duration = Duration::from_millis(250);

/// Factor by which the weight of past windows decays with each new one: half of it is left after 17 s.
const DECAY: f64 = 0.99;

/// Number of windows before routes are distinguished; until then all are assumed to make the same calls.
const MIN_WINDOWS: f64 = 6.0;

/// Share of the unexplained calls that a further route has to explain; one that explains less fits
/// noise.
const MIN_EXPLAINED_SHARE: f64 = 0.15;

/// Number of requests of a route before it is distinguished. Otherwise all the calls of a busy window
/// could be attributed to a rare request that happened to arrive in it.
const MIN_REQUESTS: f64 = 20.0;

/// Estimates of the downstream calls of one backend server.
#[derive(Debug, Default)]
pub struct Fanout {
    served: Vec<ServedRoute>,
    /// Index in `served` by the route's name.
    indexes: BTreeMap<String, usize>,
    called: BTreeMap<String, CalledRoute>,
    /// For each pair of served routes, the decayed sum of the products of their counts.
    products: Vec<Vec<f64>>,
    /// Number of windows, each with its decayed weight.
    windows: f64,
    window_start: Time,
}

/// A route whose requests the backend server runs.
#[derive(Debug, Default)]
struct ServedRoute {
    /// Requests that started in this window.
    started: f64,
    /// Requests that ended in this window.
    ended: f64,
    /// Decayed number of requests in all windows.
    total: f64,
}

impl ServedRoute {
    /// The number of requests in this window: the mean of started and ended ones, since calls fall
    /// between the start and the end of a request.
    fn count(&self) -> f64 {
        f64::midpoint(self.started, self.ended)
    }
}

/// A route that the backend server calls.
#[derive(Debug, Default)]
struct CalledRoute {
    /// Calls in this window.
    calls: f64,
    /// Decayed sum of the squares of its counts.
    squares: f64,
    /// For each served route, the decayed sum of the products of its counts and those of that route.
    products: Vec<f64>,
    /// Calls per request of each served route.
    per_request: Vec<f64>,
}

impl Fanout {
    /// Records that the backend server starts a request of `route`.
    pub fn record_start(&mut self, route: &str, now: Time) {
        self.advance(now);
        let index = self.index(route);
        self.served[index].started += 1.0;
    }

    /// Records that a request of `route` ended.
    pub fn record_end(&mut self, route: &str, now: Time) {
        self.advance(now);
        let index = self.index(route);
        self.served[index].ended += 1.0;
    }

    /// Records a downstream call to `route`.
    pub fn record_call(&mut self, route: &str, now: Time) {
        self.advance(now);
        match self.called.get_mut(route) {
            Some(called) => called.calls += 1.0,
            None => {
                let called = CalledRoute { calls: 1.0, ..CalledRoute::default() };
                self.called.insert(route.to_owned(), called);
            }
        }
    }

    /// Returns the routes that a request of `route` calls, with the number of calls to each.
    pub fn calls_per_request(&self, route: &str) -> impl Iterator<Item = (&str, f64)> {
        let index = self.indexes.get(route).copied();
        self.called.iter().filter_map(move |(name, called)| {
            let calls = called.per_request.get(index?).copied().unwrap_or(0.0);
            (calls > 0.0).then_some((name.as_str(), calls))
        })
    }

    /// Whether the estimates rest on enough windows to distinguish the routes.
    pub fn is_settled(&self) -> bool {
        self.windows >= MIN_WINDOWS
    }

    /// The index of a served route, which is added if it is new.
    fn index(&mut self, route: &str) -> usize {
        if let Some(&index) = self.indexes.get(route) {
            return index;
        }
        let index = self.served.len();
        self.indexes.insert(route.to_owned(), index);
        self.served.push(ServedRoute::default());
        for row in &mut self.products {
            row.push(0.0);
        }
        self.products.push(vec![0.0; index + 1]);
        index
    }

    /// Closes the window when its time is over, and updates the estimates.
    fn advance(&mut self, now: Time) {
        if now.since(self.window_start) < WINDOW {
            return;
        }
        self.window_start = now;
        let counts: Vec<f64> = self.served.iter().map(ServedRoute::count).collect();
        for (row, own) in self.products.iter_mut().zip(&counts) {
            for (sum, other) in row.iter_mut().zip(&counts) {
                *sum = *sum * DECAY + own * other;
            }
        }
        self.windows = self.windows * DECAY + 1.0;
        for (route, count) in self.served.iter_mut().zip(&counts) {
            *route = ServedRoute { total: route.total * DECAY + count, ..ServedRoute::default() };
        }
        let eligible: Vec<usize> =
            (0..counts.len()).filter(|index| self.served[*index].total >= MIN_REQUESTS).collect();
        for called in self.called.values_mut() {
            called.close_window(&counts);
            called.per_request = match self.windows < MIN_WINDOWS {
                true => fit_uniform(called, &self.products),
                false => fit(called, &eligible, &self.products),
            };
        }
    }
}

impl CalledRoute {
    fn close_window(&mut self, counts: &[f64]) {
        self.products.resize(counts.len(), 0.0);
        for (sum, count) in self.products.iter_mut().zip(counts) {
            *sum = *sum * DECAY + count * self.calls;
        }
        self.squares = self.squares * DECAY + self.calls * self.calls;
        self.calls = 0.0;
    }
}

/// Least-squares fit of one number of calls per request for all served routes.
fn fit_uniform(called: &CalledRoute, products: &[Vec<f64>]) -> Vec<f64> {
    let squares: f64 = products.iter().flatten().sum();
    let calls = if squares > 0.0 { called.products.iter().sum::<f64>() / squares } else { 0.0 };
    vec![calls; products.len()]
}

/// Least-squares fit by forward selection: adds the route that explains most, until none explains
/// enough.
fn fit(called: &CalledRoute, eligible: &[usize], products: &[Vec<f64>]) -> Vec<f64> {
    let mut chosen = BTreeSet::new();
    let mut best = vec![0.0; products.len()];
    let mut unexplained = called.squares;
    loop {
        let others = eligible.iter().filter(|index| !chosen.contains(*index));
        let fits = others.map(|&index| {
            let mut extended = chosen.clone();
            extended.insert(index);
            let calls = solve_non_negative(&extended, called, products);
            let explained: f64 = calls.iter().zip(&called.products).map(|(a, b)| a * b).sum();
            (called.squares - explained, index, calls)
        });
        let Some((residual, index, calls)) = fits.min_by(|a, b| a.0.total_cmp(&b.0)) else { break };
        if unexplained - residual < MIN_EXPLAINED_SHARE * unexplained {
            break;
        }
        chosen.insert(index);
        (best, unexplained) = (calls, residual);
    }
    best
}

/// Least-squares fit over the `chosen` routes with numbers of calls that are not negative: while a
/// number is negative, the route with the lowest one is left out.
fn solve_non_negative(
    chosen: &BTreeSet<usize>,
    called: &CalledRoute,
    products: &[Vec<f64>],
) -> Vec<f64> {
    let mut indexes: Vec<usize> = chosen.iter().copied().collect();
    let mut per_request = vec![0.0; products.len()];
    while !indexes.is_empty() {
        let solution = solve(&indexes, called, products);
        let lowest = solution.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
        match lowest {
            Some((at, calls)) if *calls < 0.0 => drop(indexes.remove(at)),
            _ => {
                for (index, calls) in indexes.iter().zip(solution) {
                    per_request[*index] = calls;
                }
                break;
            }
        }
    }
    per_request
}

/// Solves the normal equations of the routes at `indexes` by Gaussian elimination. No pivoting is
/// needed, since the diagonal holds sums of squares.
fn solve(indexes: &[usize], called: &CalledRoute, products: &[Vec<f64>]) -> Vec<f64> {
    let count = indexes.len();
    let row = |&index: &usize| indexes.iter().map(|&other| products[index][other]).collect();
    let mut rows: Vec<Vec<f64>> = indexes.iter().map(row).collect();
    let mut sums: Vec<f64> = indexes.iter().map(|&index| called.products[index]).collect();
    for at in 0..count {
        // Two routes whose counts are always proportional can't be distinguished; the later one gets no
        // calls.
        if rows[at][at] <= f64::EPSILON * products[indexes[at]][indexes[at]] {
            rows[at] = (0..count).map(|other| if other == at { 1.0 } else { 0.0 }).collect();
            sums[at] = 0.0;
        }
        let (done, below) = rows.split_at_mut(at + 1);
        let pivot = &done[at];
        let sum = sums[at];
        for (row, other) in below.iter_mut().zip(&mut sums[at + 1..]) {
            let factor = row[at] / pivot[at];
            for (cell, above) in row.iter_mut().zip(pivot).skip(at) {
                *cell -= factor * above;
            }
            *other -= factor * sum;
        }
    }
    for at in (0..count).rev() {
        let known: f64 = (at + 1..count).map(|other| rows[at][other] * sums[other]).sum();
        sums[at] = (sums[at] - known) / rows[at][at];
    }
    sums
}
