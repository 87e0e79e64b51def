//! Requests that crash backend servers.
//!
//! A request whose backend server died under it is a suspect, known by its fingerprint. A suspect runs
//! again only alone among suspects on a VM; a second death puts it in quarantine, which heartbeats
//! spread. A neighbour that died with it is cleared by one completed run. docs/DESIGN.md, "Crashes".

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::Digest;
use crate::message::Message;
use crate::time::Time;

/// Deaths that put a request in quarantine.
const QUARANTINE_CRASHES: u32 = 2;

/// How long a request stays suspect without another death.
const SUSPECT_TIME: Duration = Duration::from_secs(120);

/// How long a request stays in quarantine.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Fingerprints that are kept at most; the oldest go first.
const MOST: usize = 256;

/// Fingerprints that one heartbeat carries at most.
const SPREAD: usize = 8;

/// Tells a request from others, whoever sends it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(Digest);

impl Fingerprint {
    /// The fingerprint of one customer's request to one service.
    pub fn of(customer: Option<&str>, service: &str, message: &Message) -> Self {
        let mut bytes = Vec::with_capacity(64 + message.body.len());
        let parts = [customer.unwrap_or("*").as_bytes(), service.as_bytes()];
        for part in parts {
            bytes.extend_from_slice(part);
            bytes.push(0);
        }
        bytes.extend_from_slice(message.method.as_str().as_bytes());
        bytes.extend_from_slice(message.uri.to_string().as_bytes());
        bytes.push(0);
        bytes.extend_from_slice(&message.body);
        Self(Digest::of(&bytes))
    }
}

/// What one daemon tells another about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Which request.
    pub fingerprint: Fingerprint,
    /// How many backend servers died under it.
    pub crashes: u32,
    /// How long ago the last one died, in seconds.
    pub age_s: u64,
}

/// What is decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// Nothing is known against it.
    Clear,
    /// It may run only alone among suspects.
    Suspect,
    /// It is refused for this much longer.
    Quarantined(Duration),
}

/// Suspects and quarantined requests of one daemon.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    crashes: u32,
    last: Time,
}

impl Case {
    fn end(&self) -> Time {
        let span = if self.crashes >= QUARANTINE_CRASHES { QUARANTINE_TIME } else { SUSPECT_TIME };
        self.last + span
    }
}

impl Quarantine {
    /// Whether nothing is known against any request.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// What is known of one request.
    pub fn crash_status(&mut self, fingerprint: Fingerprint, now: Time) -> CrashStatus {
        self.cases.retain(|_, case| case.end() > now);
        match self.cases.get(&fingerprint) {
            None => CrashStatus::Clear,
            Some(case) if case.crashes < QUARANTINE_CRASHES => CrashStatus::Suspect,
            Some(case) => CrashStatus::Quarantined(case.end().since(now)),
        }
    }

    /// Notes that a backend server died under the request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, now: Time) {
        let case = self.cases.entry(fingerprint).or_insert(Case { crashes: 0, last: now });
        case.crashes += 1;
        case.last = now;
        self.trim();
    }

    /// Notes that a backend server ran the request to its end and lives.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.cases.remove(&fingerprint);
    }

    /// The newest cases, for the next heartbeat.
    pub fn recent_reports(&self, now: Time) -> Vec<SuspectReport> {
        let mut cases: Vec<_> = self.cases.iter().collect();
        cases.sort_by_key(|(_, case)| std::cmp::Reverse(case.last));
        let report = |(fingerprint, case): (&Fingerprint, &Case)| SuspectReport {
            fingerprint: *fingerprint,
            crashes: case.crashes,
            age_s: now.since(case.last).as_secs(),
        };
        cases.into_iter().take(SPREAD).map(report).collect()
    }

    /// Takes what another daemon knows. Deaths of one request are never added up twice.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Time) {
        for report in reports {
            let last = now - Duration::from_secs(report.age_s);
            let case = Case { crashes: report.crashes, last };
            if case.end() <= now {
                continue;
            }
            let known = self.cases.entry(report.fingerprint).or_insert(case);
            if known.crashes < case.crashes {
                *known = case;
            }
        }
        self.trim();
    }

    fn trim(&mut self) {
        while self.cases.len() > MOST {
            let oldest = self.cases.iter().min_by_key(|(_, case)| case.last);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.cases.remove(&oldest);
        }
    }
}
