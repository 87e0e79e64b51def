//! Requests that crash backend servers.
//!
//! A request becomes a suspect when a backend server crashes while running it, and is recognized by its
//! fingerprint when it is sent again. A VM runs at most one suspect at a time. A second crash puts the
//! request in quarantine, where it is refused; heartbeats report this to all daemons. A request that
//! merely ran at the time of the crash is cleared by one completed run. See docs/DESIGN.md, "Crashes".

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::key::Digest;
use crate::message::Message;
use crate::time::Time;

/// Number of crashes that puts a request in quarantine.
const QUARANTINE_CRASHES: usize = 2;

/// How long a request remains a suspect without another crash.
const SUSPECT_TIME: Duration = Duration::from_secs(120);

/// How long a request remains in quarantine after the last crash.
const QUARANTINE_TIME: Duration = Duration::from_secs(600);

/// Maximum number of fingerprints in the table; beyond it the oldest are evicted.
const MAX_FINGERPRINTS: usize = 256;

/// Maximum number of fingerprints in one heartbeat.
const MAX_REPORTS: usize = 8;

/// Hash that identifies a request across retries, by whichever caller or daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(Digest);

impl Fingerprint {
    /// Returns the fingerprint of a customer's request to a service.
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

/// Identifies one crash, so that daemons that hear of it from several others count it once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId(u64);

impl CrashId {
    /// Returns the id of the crash of one run of a backend server. A run ends with its crash, so all
    /// requests and daemons that see it name the same one.
    pub const fn of_run(run: u64) -> Self {
        Self(run)
    }

    /// Creates the id of a crash of a run that cannot be told from others.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

/// Report about a suspect that one daemon sends another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes of backend servers that were running it. More than it takes for a quarantine are left out.
    pub crashes: BTreeSet<CrashId>,
    /// Time since the last of these crashes, in seconds.
    pub age_s: u64,
}

/// Whether a request may run, after the crashes that it may have caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashStatus {
    /// It may run: no recent crash is on record.
    Clear,
    /// It may run on a VM on which no other suspect runs.
    Suspect,
    /// It is refused for the given time.
    Quarantined(Duration),
}

/// The suspects and quarantined requests that one daemon knows of.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, CrashRecord>,
}

#[derive(Debug, Default)]
struct CrashRecord {
    crashes: BTreeSet<CrashId>,
    last_crash: Time,
}

impl CrashRecord {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= QUARANTINE_CRASHES
    }

    fn expires_at(&self) -> Time {
        let lifetime = if self.is_quarantined() { QUARANTINE_TIME } else { SUSPECT_TIME };
        self.last_crash + lifetime
    }

    /// Adds crashes, and returns whether they count beyond those that were known.
    fn add(&mut self, crashes: &BTreeSet<CrashId>) -> bool {
        let known = self.crashes.clone();
        self.crashes.extend(crashes);
        // All daemons keep the lowest ids, so that they agree in the end.
        while self.crashes.len() > QUARANTINE_CRASHES {
            self.crashes.pop_last();
        }
        self.crashes != known
    }
}

impl Quarantine {
    /// Whether there are neither suspects nor quarantined requests.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the status of a request, after removing entries that have expired.
    pub fn crash_status(&mut self, fingerprint: Fingerprint, now: Time) -> CrashStatus {
        self.records.retain(|_, record| record.expires_at() > now);
        match self.records.get(&fingerprint) {
            None => CrashStatus::Clear,
            Some(record) if !record.is_quarantined() => CrashStatus::Suspect,
            Some(record) => CrashStatus::Quarantined(record.expires_at().since(now)),
        }
    }

    /// Records that a backend server crashed while running the request.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: CrashId, now: Time) {
        let record = self.records.entry(fingerprint).or_default();
        record.add(&BTreeSet::from([crash]));
        record.last_crash = now;
        self.evict_oldest();
    }

    /// Records that a backend server completed the request without a crash, which clears it.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.records.remove(&fingerprint);
    }

    /// Returns reports of the most recent crashes, for the next heartbeat.
    pub fn recent_reports(&self, now: Time) -> Vec<SuspectReport> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.last_crash));
        let report = |(fingerprint, record): (&Fingerprint, &CrashRecord)| SuspectReport {
            fingerprint: *fingerprint,
            crashes: record.crashes.clone(),
            age_s: now.since(record.last_crash).as_secs(),
        };
        records.into_iter().take(MAX_REPORTS).map(report).collect()
    }

    /// Merges the reports of another daemon. Crashes that daemons have seen separately add up.
    pub fn merge(&mut self, reports: &[SuspectReport], now: Time) {
        for report in reports {
            let last_crash = now - Duration::from_secs(report.age_s);
            let reported = CrashRecord { crashes: report.crashes.clone(), last_crash };
            if reported.expires_at() <= now {
                continue;
            }
            let known = self.records.entry(report.fingerprint).or_default();
            // Ages are whole seconds, so a crash that is known would seem later with each report.
            if known.add(&reported.crashes) {
                known.last_crash = known.last_crash.max(last_crash);
            }
        }
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        while self.records.len() > MAX_FINGERPRINTS {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.last_crash);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else { return };
            self.records.remove(&oldest);
        }
    }
}
