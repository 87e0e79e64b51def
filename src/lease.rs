//! Leases of VMs, judged by one VM's own monotonic clock.
//!
//! A VM renews its lease by writing its row again. Others take a lease for lapsed when its row has not
//! changed for longer than it is good for, since they first saw this version. No two clocks are ever
//! compared. docs/DESIGN.md, "Rates and bursts".

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::share::{LEASE, LEASE_MARGIN};
use crate::store::{Row, Transaction};
use crate::time::Time;

/// The prefix of leases in the table.
pub const PREFIX: &str = "lease/";

/// One VM's lease, renewed by counting up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The incarnation that renewed it last.
    pub incarnation: u64,
    /// How often it was renewed.
    pub count: u64,
}

/// The key of a VM's lease.
pub fn key(vm: &str) -> String {
    format!("{PREFIX}{vm}")
}

/// Renews the lease of `vm`, whose row was just read.
pub fn renew(vm: &str, incarnation: u64, row: Option<&Row>) -> Transaction {
    let key = key(vm);
    let old: Option<Lease> = row.and_then(Row::decode);
    let lease = Lease { incarnation, count: old.map_or(0, |lease| lease.count) + 1 };
    Transaction::default().check(&key, row.map_or(0, |row| row.version)).put(&key, &lease)
}

/// Leases as one VM has seen them.
#[derive(Debug, Default)]
pub struct Leases {
    seen: BTreeMap<String, Seen>,
}

/// A version of a lease and when it was first seen.
#[derive(Debug)]
struct Seen {
    version: u64,
    first: Time,
}

impl Leases {
    /// Notes the leases that were read at `now`.
    pub fn note<'a>(&mut self, rows: impl IntoIterator<Item = &'a Row>, now: Time) {
        for row in rows {
            let Some(vm) = row.key.strip_prefix(PREFIX) else { continue };
            let known = self.seen.get(vm).is_some_and(|seen| seen.version == row.version);
            if !known {
                self.seen.insert(vm.to_owned(), Seen { version: row.version, first: now });
            }
        }
    }

    /// VMs whose leases have lapsed.
    pub fn lapsed(&self, now: Time) -> BTreeSet<String> {
        let bound = LEASE + LEASE_MARGIN;
        let old = self.seen.iter().filter(|(_, seen)| now.since(seen.first) > bound);
        old.map(|(vm, _)| vm.clone()).collect()
    }

    /// The version of a lease that was seen last.
    pub fn version(&self, vm: &str) -> u64 {
        self.seen.get(vm).map_or(0, |seen| seen.version)
    }
}
