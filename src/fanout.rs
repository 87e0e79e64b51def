//! How many calls a backend server makes for each request that it runs, learned from what its daemon
//! sees.
//!
//! Calls come without a word of the request that they belong to. In each short window the daemon counts
//! them beside the requests of each route that passed through; the fewest routes that explain the counts
//! of many windows are taken to make them. docs/DESIGN.md, "Feedback".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

/// How long calls and requests are counted together. It is longer than most requests take, so that few
/// have their calls in another window.
const WINDOW: Duration = Duration::from_millis(250);

/// What is left of a window's weight after the next one. Half of it is gone after 17 seconds.
const MEMORY: f64 = 0.99;

/// Windows before routes are told apart; until then all are taken to call alike.
const ENOUGH: f64 = 6.0;

/// The part of what is unexplained that another route has to explain, or it explains noise.
const WORTHWHILE: f64 = 0.15;

/// Requests of a route before it is told apart. The calls of a busy window are easily put down to a rare
/// request that happened to come in it.
const SEEN: f64 = 20.0;

/// What one daemon has learned of its backend server's calls.
#[derive(Debug, Default)]
pub struct Fanout {
    parents: Vec<Parent>,
    names: BTreeMap<String, usize>,
    children: BTreeMap<String, Child>,
    /// For each pair of routes, the sum of the products of their counts.
    together: Vec<Vec<f64>>,
    /// Windows, each with the weight that is left of it.
    windows: f64,
    opened: Time,
}

/// A route whose requests the backend server runs.
#[derive(Debug, Default)]
struct Parent {
    /// Requests that began in this window.
    begun: f64,
    /// Requests that ended in it.
    ended: f64,
    /// Requests in all windows.
    seen: f64,
}

impl Parent {
    /// Requests that passed through. Calls fall between a request's begin and its end.
    fn count(&self) -> f64 {
        f64::midpoint(self.begun, self.ended)
    }
}

/// A route that the backend server calls.
#[derive(Debug, Default)]
struct Child {
    /// Calls in this window.
    calls: f64,
    /// The sum of the squares of its counts.
    square: f64,
    /// For each parent, the sum of the products of its counts and the parent's.
    beside: Vec<f64>,
    /// Calls for each request of each parent.
    each: Vec<f64>,
}

impl Fanout {
    /// Notes that the backend server begins a request of `route`.
    pub fn record_start(&mut self, route: &str, now: Time) {
        self.advance(now);
        let place = self.place(route);
        self.parents[place].begun += 1.0;
    }

    /// Notes that a request of `route` ended.
    pub fn record_end(&mut self, route: &str, now: Time) {
        self.advance(now);
        let place = self.place(route);
        self.parents[place].ended += 1.0;
    }

    /// Notes a call to `route`.
    pub fn record_call(&mut self, route: &str, now: Time) {
        self.advance(now);
        match self.children.get_mut(route) {
            Some(child) => child.calls += 1.0,
            None => {
                let child = Child { calls: 1.0, ..Child::default() };
                self.children.insert(route.to_owned(), child);
            }
        }
    }

    /// The routes that a request of `route` calls, with how many calls it makes to each.
    pub fn calls_per_request(&self, route: &str) -> impl Iterator<Item = (&str, f64)> {
        let place = self.names.get(route).copied();
        self.children.iter().filter_map(move |(name, child)| {
            let each = child.each.get(place?).copied().unwrap_or(0.0);
            (each > 0.0).then_some((name.as_str(), each))
        })
    }

    fn place(&mut self, route: &str) -> usize {
        if let Some(&place) = self.names.get(route) {
            return place;
        }
        let place = self.parents.len();
        self.names.insert(route.to_owned(), place);
        self.parents.push(Parent::default());
        for row in &mut self.together {
            row.push(0.0);
        }
        self.together.push(vec![0.0; place + 1]);
        place
    }

    /// Closes the window when it is over, and works out the calls again.
    fn advance(&mut self, now: Time) {
        if now.since(self.opened) < WINDOW {
            return;
        }
        self.opened = now;
        let counts: Vec<f64> = self.parents.iter().map(Parent::count).collect();
        for (row, own) in self.together.iter_mut().zip(&counts) {
            for (sum, other) in row.iter_mut().zip(&counts) {
                *sum = *sum * MEMORY + own * other;
            }
        }
        self.windows = self.windows * MEMORY + 1.0;
        for (parent, count) in self.parents.iter_mut().zip(&counts) {
            *parent = Parent { seen: parent.seen * MEMORY + count, ..Parent::default() };
        }
        let known: Vec<usize> =
            (0..counts.len()).filter(|at| self.parents[*at].seen >= SEEN).collect();
        for child in self.children.values_mut() {
            child.close(&counts);
            child.each = match self.windows < ENOUGH {
                true => alike(child, &self.together),
                false => explain(child, &known, &self.together),
            };
        }
    }
}

impl Child {
    fn close(&mut self, counts: &[f64]) {
        self.beside.resize(counts.len(), 0.0);
        for (sum, count) in self.beside.iter_mut().zip(counts) {
            *sum = *sum * MEMORY + count * self.calls;
        }
        self.square = self.square * MEMORY + self.calls * self.calls;
        self.calls = 0.0;
    }
}

/// The same number of calls for each request, whatever its route.
fn alike(child: &Child, together: &[Vec<f64>]) -> Vec<f64> {
    let whole: f64 = together.iter().flatten().sum();
    let each = if whole > 0.0 { child.beside.iter().sum::<f64>() / whole } else { 0.0 };
    vec![each; together.len()]
}

/// Takes in one route after the other, each time the one that explains most, while it is worthwhile.
fn explain(child: &Child, known: &[usize], together: &[Vec<f64>]) -> Vec<f64> {
    let mut chosen = BTreeSet::new();
    let mut best = vec![0.0; together.len()];
    let mut unexplained = child.square;
    loop {
        let others = known.iter().filter(|at| !chosen.contains(*at));
        let tries = others.map(|&at| {
            let mut with = chosen.clone();
            with.insert(at);
            let each = solve(&with, child, together);
            let explained: f64 = each.iter().zip(&child.beside).map(|(a, b)| a * b).sum();
            (child.square - explained, at, each)
        });
        let Some((left, at, each)) = tries.min_by(|a, b| a.0.total_cmp(&b.0)) else { break };
        if unexplained - left < WORTHWHILE * unexplained {
            break;
        }
        chosen.insert(at);
        (best, unexplained) = (each, left);
    }
    best
}

/// Least squares over the `chosen` routes, with calls that are never negative: routes that would get fewer
/// than none are left out, one after the other.
fn solve(chosen: &BTreeSet<usize>, child: &Child, together: &[Vec<f64>]) -> Vec<f64> {
    let mut places: Vec<usize> = chosen.iter().copied().collect();
    let mut each = vec![0.0; together.len()];
    while !places.is_empty() {
        let calls = eliminate(&places, child, together);
        let least = calls.iter().enumerate().min_by(|a, b| a.1.total_cmp(b.1));
        match least {
            Some((at, calls)) if *calls < 0.0 => drop(places.remove(at)),
            _ => {
                for (place, calls) in places.iter().zip(calls) {
                    each[*place] = calls;
                }
                break;
            }
        }
    }
    each
}

/// Solves the normal equations of the routes at `places` by elimination. They need no exchange of rows,
/// since sums of squares stand on the diagonal.
fn eliminate(places: &[usize], child: &Child, together: &[Vec<f64>]) -> Vec<f64> {
    let count = places.len();
    let row = |&at: &usize| places.iter().map(|&other| together[at][other]).collect();
    let mut rows: Vec<Vec<f64>> = places.iter().map(row).collect();
    let mut sums: Vec<f64> = places.iter().map(|&at| child.beside[at]).collect();
    for at in 0..count {
        // Two routes that always come together can't be told apart; the later one gets none.
        if rows[at][at] <= f64::EPSILON * together[places[at]][places[at]] {
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
