//! Which VMs there are, what they run, and which are leaving.
//!
//! Each VM registers in the table once and spreads changes of state with its heartbeats, so that
//! control traffic does not grow with the square of the fleet. Records merge by a total order, so the
//! order in which they arrive does not matter. docs/DESIGN.md, "Membership", weighs the other ways.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};

use crate::time::Time;

/// How many records a heartbeat carries beside its sender's own.
pub const RUMORS: usize = 8;

/// How long a suspect has to refute before it gets no work.
pub const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// How often one change is passed on for each doubling of the fleet.
const SPREAD: u32 = 3;

/// What a VM says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The daemon runs and its backend server has not announced itself, or announced that it drains.
    Waiting,
    /// The backend server takes work.
    Ready,
    /// The VM is leaving and gets nothing new.
    Leaving,
}

/// One VM's record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM's name.
    pub vm: String,
    /// Grows with each start of the daemon.
    pub incarnation: u64,
    /// Grows with each change within one incarnation.
    pub counter: u64,
    /// What the VM says of itself.
    pub state: State,
    /// Whether another VM could not reach it.
    pub suspect: bool,
    /// The failure domain that it stands in.
    pub domain: String,
    /// The service of its backend server; empty before the first announcement.
    pub service: String,
    /// Slots of its backend server.
    pub slots: u32,
    /// Whether its backend server refuses everything that it is sent.
    pub sheds: bool,
    /// The epoch of the newest roster that it knows.
    pub epoch: u64,
    /// Where it takes requests from other daemons.
    pub peers: SocketAddr,
    /// Where it takes heartbeats.
    pub control: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
}

impl Record {
    /// The order in which records of one VM replace each other. Leaving outranks everything of the
    /// same incarnation.
    fn rank(&self) -> (u64, bool, u64, bool) {
        (self.incarnation, self.state == State::Leaving, self.counter, self.suspect)
    }
}

/// One VM as this daemon sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest record.
    pub record: Record,
    /// When this daemon first saw the VM ready in this incarnation.
    pub ready_since: Option<Time>,
    /// When the VM became suspect.
    pub suspect_since: Option<Time>,
    /// How often the newest record may still be passed on.
    rumors: u32,
}

impl Member {
    /// Whether the VM has been suspect for too long to count on it.
    pub fn is_lost(&self, now: Time) -> bool {
        self.suspect_since.is_some_and(|since| now.since(since) >= SUSPECT_TIME)
    }

    /// Whether the VM is neither leaving nor lost.
    pub fn is_live(&self, now: Time) -> bool {
        self.record.state != State::Leaving && !self.is_lost(now)
    }

    /// Whether the VM may get new work at `now`.
    pub fn accepts_requests(&self, now: Time) -> bool {
        self.record.state == State::Ready && !self.is_lost(now)
    }
}

/// All VMs as this daemon sees them.
#[derive(Debug, Clone, Default)]
pub struct View {
    members: BTreeMap<String, Member>,
}

impl View {
    /// Merges a record. Returns whether it was newer than what was known.
    pub fn merge(&mut self, record: Record, now: Time) -> bool {
        let spread = self.spread();
        let old = self.members.get(&record.vm);
        if old.is_some_and(|old| old.record.rank() >= record.rank()) {
            return false;
        }
        let kept = old.filter(|old| old.record.incarnation == record.incarnation);
        let was_ready = kept.and_then(|old| old.ready_since);
        let was_suspect = kept.and_then(|old| old.suspect_since);
        let ready = record.state == State::Ready;
        let member = Member {
            ready_since: if ready { was_ready.or(Some(now)) } else { None },
            suspect_since: if record.suspect { was_suspect.or(Some(now)) } else { None },
            rumors: spread,
            record,
        };
        self.members.insert(member.record.vm.clone(), member);
        true
    }

    /// Marks a VM that could not be reached. The VM itself refutes it with a higher counter.
    pub fn mark_suspect(&mut self, vm: &str, now: Time) -> bool {
        let Some(member) = self.members.get(vm) else { return false };
        let mut record = member.record.clone();
        record.suspect = true;
        self.merge(record, now)
    }

    /// The member called `vm`.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// All members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// How many members are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Drops a VM whose row has gone from the table.
    pub fn forget(&mut self, vm: &str) {
        self.members.remove(vm);
    }

    /// Records to pass on with the next heartbeat, those that were passed on least first.
    pub fn take_rumors(&mut self) -> Vec<Record> {
        let mut hot: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.rumors > 0).collect();
        hot.sort_by_key(|member| std::cmp::Reverse(member.rumors));
        let pass_on = |member: &mut Member| {
            member.rumors -= 1;
            member.record.clone()
        };
        hot.into_iter().take(RUMORS).map(pass_on).collect()
    }

    /// Partners for one round of heartbeats, so many in the own failure domain and so many beyond.
    pub fn sample_peers(
        &self,
        me: &str,
        domain: &str,
        (near, far): (usize, usize),
        rng: &mut impl Rng,
    ) -> Vec<Record> {
        let others = |near: bool| -> Vec<&Record> {
            let records = self.members.values().map(|member| &member.record);
            records.filter(|other| other.vm != me && (other.domain == domain) == near).collect()
        };
        let (inside, beyond) = (others(true), others(false));
        let drawn = inside.choose_multiple(rng, near).chain(beyond.choose_multiple(rng, far));
        drawn.map(|record| (*record).clone()).collect()
    }

    fn spread(&self) -> u32 {
        let doublings = usize::BITS - self.members.len().leading_zeros();
        SPREAD * (doublings + 1)
    }
}
