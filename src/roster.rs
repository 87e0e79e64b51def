//! The VMs among which all customers' rates are divided, stored in a single row.
//!
//! Each VM computes its own share of a customer's rate and burst from the roster, so the store is
//! written only when VMs join or leave. A change takes effect once every VM in the roster has
//! acknowledged it or is gone. Until then each VM uses the smaller of its shares before and after the
//! change, so the sum of the shares never exceeds 1, even if VMs are paused, restarted, or partitioned for
//! less than [`crate::member::GONE_TIMEOUT`]. The
//! functions here do no I/O. docs/DESIGN.md, "Rates and bursts", gives the argument and the
//! alternatives that were considered.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::era;
use crate::member::{Member, View};
use crate::time::Time;

/// Key of the roster's row in the store.
pub const KEY: &str = "roster/all";

/// Burst, in tokens, that each owner's share should amount to. With smaller shares, rounding to whole
/// tokens would waste a noticeable fraction of the rate.
const MIN_OWNER_TOKENS: f64 = 5.0;

/// Minimum number of owners of a customer whose burst has a token for each. With a single one, nothing of the
/// customer would be admitted while that VM is down, or while its share moves.
const MIN_OWNERS: usize = 3;

/// Maximum number of owners among which one customer's rate is divided.
const MAX_OWNERS: usize = 32;

/// Map from the name of each VM to its failure domain.
pub type Members = BTreeMap<String, String>;

/// The set of VMs among which the customers' rates are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Incremented with each write of the row.
    pub version: u64,
    /// Incremented with each change of the members.
    pub epoch: u64,
    /// The current members.
    pub members: Members,
    /// The last set of members that every member had acknowledged, while a change is pending; `None`
    /// once the current members are acknowledged by all of them.
    pub settled: Option<Members>,
}

impl Roster {
    /// Checks a roster that was read from a store in this era.
    ///
    /// # Errors
    ///
    /// Returns why no daemon can have written it.
    pub fn validate(&self, era: u64) -> Result<(), String> {
        let newest = era::of_version(self.version.max(self.epoch));
        if newest > era {
            return Err(format!(
                "it is numbered as one of era {newest}, and the store is in {era}"
            ));
        }
        Ok(())
    }

    /// Returns the roster with `joining` added, or `None` if it already contains all of them.
    #[must_use]
    pub fn join(&self, joining: &Members) -> Option<Self> {
        let mut members = self.members.clone();
        members.extend(joining.iter().map(|(vm, domain)| (vm.clone(), domain.clone())));
        self.with_members(members)
    }

    /// Returns the roster without `vm`, or `None` if `vm` is not a member. The VM must have stopped
    /// using its share before.
    #[must_use]
    pub fn leave(&self, vm: &str) -> Option<Self> {
        let mut members = self.members.clone();
        members.remove(vm);
        self.with_members(members)
    }

    /// Returns the roster as it is written again in a later era of the store, or `None` if it stems from
    /// that era already. It outranks every roster that the store or a daemon holds from earlier eras, so
    /// that daemons which read the store's older copy use no shares of their own making.
    #[must_use]
    pub fn renew(&self, era: u64) -> Option<Self> {
        if self.version == 0 || era::of_version(self.version) >= era {
            return None;
        }
        let version = era::next_version(self.version, era);
        Some(Self { version, epoch: era::next_version(self.epoch, era), ..self.clone() })
    }

    fn with_members(&self, members: Members) -> Option<Self> {
        if members == self.members {
            return None;
        }
        // No VM has used a share before the first roster, so no acknowledgements are needed.
        let first = self.version == 0;
        let settled = self.settled.clone().unwrap_or_else(|| self.members.clone());
        Some(Self {
            version: self.version.saturating_add(1),
            epoch: self.epoch.saturating_add(1),
            members,
            settled: (!first).then_some(settled),
        })
    }

    /// Marks the pending change as settled if all members are in `acknowledged`, the VMs that have
    /// acknowledged this epoch or are gone. Returns `None` if a member is missing or no change is pending.
    #[must_use]
    pub fn settle(&self, acknowledged: &BTreeSet<&str>) -> Option<Self> {
        self.settled.as_ref()?;
        let complete = self.members.keys().all(|vm| acknowledged.contains(vm.as_str()));
        complete.then(|| Self {
            version: self.version.saturating_add(1),
            settled: None,
            ..self.clone()
        })
    }

    /// Marks the pending change as settled if every member has acknowledged it, according to the records
    /// in `view`, or is gone.
    #[must_use]
    pub fn settle_among(&self, view: &View, now: Time) -> Option<Self> {
        let counts = |member: &&Member| member.record.epoch >= self.epoch || member.is_gone(now);
        let counted = view.iter().filter(counts).map(|member| member.record.vm.as_str());
        self.settle(&counted.collect())
    }

    /// Returns the fraction of a customer's rate and burst that `vm` may use now.
    pub fn share(&self, vm: &str, customer: &str, burst: f64) -> f64 {
        let after = share(&self.members, vm, customer, burst);
        let before = self.settled.as_ref().map(|members| share(members, vm, customer, burst));
        before.map_or(after, |before| after.min(before))
    }

    /// Returns the VMs that can lend `vm` tokens of a customer, those in its own failure domain first.
    pub fn lenders(&self, vm: &str, customer: &str, burst: f64) -> Vec<String> {
        let members = self.settled.as_ref().unwrap_or(&self.members);
        let own_domain = self.members.get(vm);
        let mut owners = owners(members, customer, burst);
        owners.retain(|owner| owner.vm != vm);
        // The order differs between borrowers, so that they do not all drain the same owner first.
        owners.sort_by_key(|owner| {
            (Some(owner.domain) != own_domain.map(String::as_str), rendezvous_hash(&[owner.vm, vm]))
        });
        owners.into_iter().map(|owner| owner.vm.to_owned()).collect()
    }
}

/// A VM that owns a fraction of a customer's rate.
struct Owner<'a> {
    vm: &'a str,
    domain: &'a str,
    fraction: f64,
}

fn share(members: &Members, vm: &str, customer: &str, burst: f64) -> f64 {
    let owner = owners(members, customer, burst).into_iter().find(|owner| owner.vm == vm);
    owner.map_or(0.0, |owner| owner.fraction)
}

/// Selects the owners of a customer's rate by rendezvous hashing: in each failure domain, the VMs whose
/// names hash lowest together with the customer's. A change of the members therefore moves few shares.
///
/// The rate is divided equally between domains, and every domain gets the same number of owners as far
/// as it has the VMs, because any domain may be partitioned from the others together with its callers.
/// If there are more domains than owners, only as many domains have an owner, one each.
fn owners<'a>(members: &'a Members, customer: &str, burst: f64) -> Vec<Owner<'a>> {
    let mut domains: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (vm, domain) in members {
        domains.entry(domain).or_default().push(vm);
    }
    let min_owners = (burst as usize).clamp(1, MIN_OWNERS);
    let max_owners = ((burst / MIN_OWNER_TOKENS) as usize).clamp(min_owners, MAX_OWNERS);
    let mut selected: Vec<(&str, Vec<&str>)> = domains.into_iter().collect();
    selected.sort_by_key(|(domain, _)| rendezvous_hash(&[domain, customer]));
    selected.truncate(max_owners);
    let per_domain = max_owners / selected.len().max(1);
    let fraction = 1.0 / selected.len() as f64;
    let mut owners = Vec::new();
    for (domain, mut vms) in selected {
        vms.sort_by_key(|vm| rendezvous_hash(&[vm, customer]));
        vms.truncate(per_domain);
        let fraction = fraction / vms.len() as f64;
        owners.extend(vms.into_iter().map(|vm| Owner { vm, domain, fraction }));
    }
    owners
}

/// Hash that determines the order of VMs or domains. All VMs must compute the same value, so the joined
/// text must not change.
fn rendezvous_hash(parts: &[&str]) -> u64 {
    xxh3_64(parts.join("/").as_bytes())
}
