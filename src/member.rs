//! Membership of the fleet: which VMs exist, which services they run, and which are leaving.
//!
//! Each VM registers in the store once and disseminates changes of its state by gossip on heartbeats,
//! so that control traffic does not grow with the square of the fleet. Records merge by a total order,
//! so the result does not depend on the order in which they arrive. docs/DESIGN.md, "Membership",
//! discusses the alternatives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::runs::Withdrawn;
use crate::time::Time;
use crate::withdrawals::{self, MAX_TOLD};

/// Maximum number of records of other VMs that a heartbeat carries besides its sender's own.
pub const MAX_RUMORS: usize = 8;

/// Time that a suspect VM has to refute the suspicion before it stops receiving requests.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a suspect VM counts as gone for good. A change of the roster then no longer waits for
/// it. It is longer than failure domains are usually cut off; a VM that is cut off for longer while its
/// share moves to another may use that share a second time.
pub const GONE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which it is remembered that a run of a backend server is leaving. None takes that long to end.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum length of the names in a record, in bytes. Keys of the store are no longer.
const MAX_NAME_BYTES: usize = 200;

/// Maximum number of slots in a record.
pub const MAX_SLOTS: u32 = 1_000_000;

/// Maximum incarnation of a record, in milliseconds since the Unix epoch: a moment in the year 2109. A
/// higher one would outrank all later records of the VM.
const MAX_INCARNATION: u64 = 1 << 42;

/// Number of times that one change is forwarded, per doubling of the fleet's size.
const FORWARDS_PER_DOUBLING: u32 = 3;

/// State that a VM reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The daemon is running, but its backend server has not announced itself or has announced that it
    /// is draining.
    Waiting,
    /// The backend server accepts requests.
    Ready,
    /// The VM is leaving and receives no new requests.
    Leaving,
}

/// The state of one VM, as disseminated in the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM's name.
    pub vm: String,
    /// Increases with each start of the daemon.
    pub incarnation: u64,
    /// Increases with each change of the record within one incarnation.
    pub counter: u64,
    /// The state that the VM reported.
    pub state: State,
    /// Whether another VM failed to reach it.
    pub suspect: bool,
    /// The VM's failure domain.
    pub domain: String,
    /// The service that its backend server provides; empty before the first announcement.
    pub service: String,
    /// Number of requests that its backend server processes concurrently.
    pub slots: u32,
    /// The run of its backend server; see [`BackendServer::run`](crate::announcement::BackendServer::run).
    #[serde(default)]
    pub run: Option<u64>,
    /// Runs of its backend servers that have withdrawn or drain, also before its daemon started.
    #[serde(default)]
    pub withdrawn: Vec<Withdrawn>,
    /// Whether its backend server is shedding all requests that it is sent.
    pub sheds: bool,
    /// Requests per second that its backend server takes, if it names a limit. `slots` then has as many
    /// as that needs.
    #[serde(default)]
    pub limit: Option<f64>,
    /// The epoch of the newest roster that it has received.
    pub epoch: u64,
    /// Address at which it accepts requests from other daemons.
    pub peers: SocketAddr,
    /// Address at which it accepts heartbeats and other control messages.
    pub control: SocketAddr,
    /// Address of its operator interface.
    pub operators: SocketAddr,
}

/// Checks a name of a VM, a failure domain or a service: records with other names are not valid.
///
/// # Errors
///
/// Returns what is wrong with the name.
pub fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(format!("it has {} bytes; use 1 to {MAX_NAME_BYTES}", name.len()));
    }
    if name.contains(char::is_control) {
        return Err("it has control characters".to_owned());
    }
    Ok(())
}

impl Record {
    /// Checks a record that comes from outside. All records of a [`View`] have passed this check.
    ///
    /// # Errors
    ///
    /// Returns why the record names no VM.
    pub fn validate(&self) -> Result<(), String> {
        let names = [("vm", &self.vm), ("domain", &self.domain), ("service", &self.service)];
        for (field, name) in names {
            // A VM whose backend server has not announced itself has no service.
            if field == "service" && name.is_empty() {
                continue;
            }
            check_name(name).map_err(|problem| format!("{field}: {problem}"))?;
        }
        let addresses =
            [("peers", self.peers), ("control", self.control), ("operators", self.operators)];
        if let Some((field, _)) = addresses.iter().find(|(_, address)| address.port() == 0) {
            return Err(format!("{field} has port 0"));
        }
        if self.slots > MAX_SLOTS {
            return Err(format!("{} slots are more than {MAX_SLOTS}", self.slots));
        }
        if self.limit.is_some_and(|limit| !limit.is_finite() || limit < 0.0) {
            return Err("the limit is no rate".to_owned());
        }
        if self.withdrawn.len() > MAX_TOLD {
            return Err(format!(
                "{} withdrawn runs are more than {MAX_TOLD}",
                self.withdrawn.len()
            ));
        }
        if self.incarnation > MAX_INCARNATION {
            return Err(format!("incarnation {} lies in the future", self.incarnation));
        }
        Ok(())
    }

    /// Rank by which records of one VM supersede each other; the highest wins. Within an incarnation,
    /// [`State::Leaving`] outranks every other state.
    fn rank(&self) -> (u64, bool, u64, bool) {
        (self.incarnation, self.state == State::Leaving, self.counter, self.suspect)
    }
}

/// This daemon's local state for one VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest record received.
    pub record: Record,
    /// Since when this daemon has seen the VM ready in this incarnation; `None` if it is not ready.
    pub ready_since: Option<Time>,
    /// Since when the VM has been suspect; `None` if it is not.
    pub suspect_since: Option<Time>,
    /// Number of times that the newest record is still to be forwarded.
    forwards_left: u32,
}

impl Member {
    /// Whether the VM has been suspect for at least [`SUSPICION_TIMEOUT`].
    pub fn is_unreachable(&self, now: Time) -> bool {
        self.suspect_since.is_some_and(|since| now.since(since) >= SUSPICION_TIMEOUT)
    }

    /// Whether the VM has been suspect for at least [`GONE_TIMEOUT`].
    pub fn is_gone(&self, now: Time) -> bool {
        self.suspect_since.is_some_and(|since| now.since(since) >= GONE_TIMEOUT)
    }

    /// Whether the VM is neither leaving nor unreachable.
    pub fn is_live(&self, now: Time) -> bool {
        self.record.state != State::Leaving && !self.is_unreachable(now)
    }

    /// Whether new requests may be routed to the VM at `now`.
    pub fn accepts_requests(&self, now: Time) -> bool {
        self.record.state == State::Ready && !self.is_unreachable(now)
    }
}

/// This daemon's view of the fleet's membership.
#[derive(Debug, Clone, Default)]
pub struct View {
    members: BTreeMap<String, Member>,
    /// Runs of backend servers that have said in an answer that they are leaving, and when.
    leaving: BTreeMap<u64, Time>,
    /// Runs that have withdrawn beside each VM, for a daemon there that starts again.
    withdrawn: BTreeMap<String, Vec<Withdrawn>>,
}

impl View {
    /// Merges a record. Returns whether it superseded the existing one.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        self.remember_withdrawn(&record, now);
        let limit = self.forward_limit();
        let old = self.members.get(&record.vm);
        if old.is_some_and(|old| old.record.rank() >= record.rank()) {
            return false;
        }
        let previous = old.filter(|old| old.record.incarnation == record.incarnation);
        let ready_before = previous.and_then(|old| old.ready_since);
        let suspect_before = previous.and_then(|old| old.suspect_since);
        let ready = record.state == State::Ready;
        let member = Member {
            ready_since: if ready { ready_before.or(Some(now)) } else { None },
            suspect_since: if record.suspect { suspect_before.or(Some(now)) } else { None },
            forwards_left: limit,
            record,
        };
        self.members.insert(member.record.vm.clone(), member);
        true
    }

    /// Merges the records of a heartbeat. Returns whether one of them says that a VM no longer accepts
    /// requests. That has to be forwarded at once: with regular heartbeats alone it would take seconds
    /// until the last of some hundred VMs sends it no more requests.
    pub fn merge_heartbeat(
        &mut self,
        records: impl IntoIterator<Item = Record>,
        now: Time,
    ) -> bool {
        let mut urgent = false;
        for record in records {
            let was_ready =
                self.members.get(&record.vm).is_some_and(|old| old.record.state == State::Ready);
            let stops = was_ready && record.state != State::Ready;
            urgent |= self.merge(record, now) && stops;
        }
        urgent
    }

    /// Marks a VM as suspect because it could not be reached. The VM refutes the suspicion by
    /// publishing a record with a higher counter. Returns whether the record changed.
    pub fn mark_suspect(&mut self, vm: &str, now: Time) -> bool {
        let Some(member) = self.members.get(vm) else { return false };
        let mut record = member.record.clone();
        record.suspect = true;
        self.merge(record, now)
    }

    /// Records that a backend server has said in an answer that it is leaving. It gets no requests from
    /// here in this run, also if its daemon restarts and has not heard of it.
    pub fn mark_leaving(&mut self, run: u64, now: Time) {
        self.leaving.retain(|_, told| now.since(*told) < LEAVING_TIMEOUT);
        self.leaving.insert(run, now);
    }

    /// Keeps what a record tells of withdrawn runs, also if it is an old one: its VM may have told no other
    /// since. They get no requests from here.
    fn remember_withdrawn(&mut self, record: &Record, now: Time) {
        if record.withdrawn.is_empty() {
            return;
        }
        let known = self.withdrawn.entry(record.vm.clone()).or_default();
        if withdrawals::merge(known, &record.withdrawn) {
            let runs: Vec<u64> = record.withdrawn.iter().filter_map(Withdrawn::run).collect();
            runs.into_iter().for_each(|run| self.mark_leaving(run, now));
        }
    }

    /// Returns the runs that have withdrawn beside the VM named `vm`, as far as it has told.
    pub fn withdrawn(&self, vm: &str) -> Vec<Withdrawn> {
        self.withdrawn.get(vm).cloned().unwrap_or_default()
    }

    /// Whether the backend server of a member has said that it is leaving.
    pub fn is_leaving(&self, record: &Record) -> bool {
        record.run.is_some_and(|run| self.leaving.contains_key(&run))
    }

    /// Returns the member named `vm`.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns all members, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Number of known members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Removes a VM whose row was deleted from the store.
    pub fn remove(&mut self, vm: &str) {
        self.members.remove(vm);
    }

    /// Returns up to [`MAX_RUMORS`] records to forward with the next heartbeat, the least forwarded
    /// first, and counts them as forwarded.
    pub fn take_rumors(&mut self) -> Vec<Record> {
        let mut pending: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.forwards_left > 0).collect();
        pending.sort_by_key(|member| std::cmp::Reverse(member.forwards_left));
        let forward = |member: &mut Member| {
            member.forwards_left -= 1;
            member.record.clone()
        };
        pending.into_iter().take(MAX_RUMORS).map(forward).collect()
    }

    /// Draws random peers for one round of heartbeats: up to `near` in the own failure domain and up to
    /// `far` in others.
    pub fn sample_peers(
        &self,
        me: &str,
        domain: &str,
        (near, far): (usize, usize),
        rng: &mut impl Rng,
    ) -> Vec<Record> {
        let others = |in_domain: bool| -> Vec<&Record> {
            let records = self.members.values().map(|member| &member.record);
            records
                .filter(|other| other.vm != me && (other.domain == domain) == in_domain)
                .collect()
        };
        let (local, remote) = (others(true), others(false));
        let drawn = local.choose_multiple(rng, near).chain(remote.choose_multiple(rng, far));
        drawn.map(|record| (*record).clone()).collect()
    }

    fn forward_limit(&self) -> u32 {
        let doublings = usize::BITS - self.members.len().leading_zeros();
        FORWARDS_PER_DOUBLING * (doublings + 1)
    }
}
