//! Eras of the store: the time between two returns from an older copy.
//!
//! A store that comes back from a copy has lost its last seconds, and gives out the versions of these
//! seconds again. A version therefore orders writes of one era only, and a condition on a version of an
//! earlier era may match by chance. Documents and rosters are numbered so that those of a later era
//! outrank all earlier ones, whatever the copy still holds. docs/DESIGN.md, "Eras of the store", lists
//! what a return can break and who writes what again.

use std::time::Duration;

use crate::time::Time;

/// Numbers that each era reserves for versions of documents and rosters. The first version of an era is
/// a multiple of it plus one, so that operators can read the era from a version.
const VERSIONS_PER_ERA: u64 = 1_000_000_000;

/// Time after the begin of an era within which daemons write again what the store has lost. Until it is
/// over, a claim that the store does not hold may still be held by another daemon.
pub const RESTORE_TIME: Duration = Duration::from_secs(2);

/// Returns the version that follows `previous` in this era.
pub fn next_version(previous: u64, era: u64) -> u64 {
    previous.saturating_add(1).max(era.saturating_mul(VERSIONS_PER_ERA).saturating_add(1))
}

/// Returns the era in which a version was given out.
pub fn of_version(version: u64) -> u64 {
    version / VERSIONS_PER_ERA
}

/// The era that a daemon knows of, and since when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Era {
    /// The number that the store gives; 0 for a store that does not count eras.
    pub number: u64,
    /// When this daemon learned of it.
    pub since: Time,
}

/// What a number that was observed says about the known era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It is the known era.
    Same,
    /// A new era has begun.
    Newer,
    /// It is an earlier era: what was observed says nothing about the store as it is now.
    Older,
}

impl Era {
    /// Compares an observed era with the known one, and takes it if it is later.
    pub fn observe(&mut self, number: u64, now: Time) -> Observation {
        if number == self.number {
            return Observation::Same;
        }
        if number < self.number {
            return Observation::Older;
        }
        *self = Self { number, since: now };
        Observation::Newer
    }

    /// Whether all daemons that can reach the store have had the time to write again what it lost.
    pub fn is_restored(&self, now: Time) -> bool {
        self.number == 0 || now.since(self.since) >= RESTORE_TIME
    }
}
