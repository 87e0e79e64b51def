//! Decides which announcements of the local backend server hold.
//!
//! Announcements arrive late, out of order, and from other writers. The newest holds, and those before it
//! are outdated. A single message proves little, though: its sequence number or start may be wrong. A run
//! whose announcements all look outdated replaces the newest one when they keep rising after any delayed
//! message would have arrived, and nothing has continued the newest one. docs/DESIGN.md, "Announcements",
//! has the reasons.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::announcement::{self, BackendServer};
use crate::time::Time;

/// Time after which no announcement still arrives that was sent before another one that has arrived.
pub const MAX_DELAY: Duration = Duration::from_secs(10);

/// Number of rising announcements by which a run replaces the newest one.
pub const MIN_RISING: u32 = 3;

/// How far the start of a run may lie ahead of this VM's clock.
pub const MAX_CLOCK_ERROR: Duration = Duration::from_secs(60);

/// Number of withdrawals that are remembered.
const MAX_WITHDRAWN: usize = 64;

/// What becomes of one announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the newest and holds.
    Newest,
    /// It is delayed, and of the newest run. That this run drains holds nevertheless, since a run that
    /// drains does not stop doing so.
    Delayed,
    /// Its run has withdrawn, or a later one of its id.
    Withdrawn,
    /// It is of an earlier run, or its start lies in the future.
    OtherRun,
}

/// Which run has withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The newest.
    Newest,
    /// One that has not announced itself. Its announcements will be ignored.
    Unannounced,
    /// An earlier run of the newest one's id, or one whose start lies in the future. Whether the newest run
    /// withdraws cannot be told.
    OtherRun,
}

/// One run of a backend server, and how often it was heard.
#[derive(Debug, Clone)]
struct Run {
    id: String,
    started: u64,
    /// The sequence number of the announcement that counts.
    sequence: u64,
    /// When that one arrived.
    heard: Time,
    /// Number of announcements up to that one, each with a higher number than the one before.
    rising: u32,
}

impl Run {
    fn of(backend: &BackendServer, now: Time) -> Self {
        let BackendServer { id, started, sequence, .. } = backend;
        Self { id: id.clone(), started: *started, sequence: *sequence, heard: now, rising: 1 }
    }

    fn announced(&self, backend: &BackendServer) -> bool {
        (&self.id, self.started) == (&backend.id, backend.started)
    }
}

/// Runs of one id that have withdrawn or drain: those whose starts lie in a range. A daemon tells the others
/// and the store of those beside it, and recalls them when it starts again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// The id.
    pub id: String,
    /// The first start, in milliseconds since the Unix epoch.
    pub first: u64,
    /// The last start.
    pub last: u64,
}

impl Withdrawn {
    /// Returns the run of `backend`; `None` if it cannot be told from later ones of its id.
    pub fn of(backend: &BackendServer) -> Option<Self> {
        let BackendServer { id, started, .. } = backend;
        let is_known = !id.is_empty() && *started > 0;
        is_known.then(|| Self { id: id.clone(), first: *started, last: *started })
    }

    /// Whether `backend` is one of these runs.
    pub fn contains(&self, backend: &BackendServer) -> bool {
        self.id == backend.id && (self.first..=self.last).contains(&backend.started)
    }

    /// Identifies the run in the fleet, as [`BackendServer::run`] does; `None` if there are several.
    pub fn run(&self) -> Option<u64> {
        (self.first == self.last).then(|| announcement::run(&self.id, self.first))
    }
}

/// The runs of the local backend server that have announced themselves.
#[derive(Debug, Clone, Default)]
pub struct Runs {
    newest: Option<Run>,
    /// A run whose announcements look outdated, and keep coming.
    rival: Option<Run>,
    /// When the rival was first heard.
    rival_since: Time,
    /// Those that have withdrawn last.
    withdrawn: VecDeque<Withdrawn>,
}

impl Runs {
    /// Decides about an announcement. `unix_ms` is the time of this VM's clock, in milliseconds since the
    /// Unix epoch.
    pub fn judge(&mut self, backend: &BackendServer, now: Time, unix_ms: u64) -> Verdict {
        if self.has_withdrawn(backend) {
            return Verdict::Withdrawn;
        }
        let precedes_withdrawn = self.precedes_withdrawn(backend);
        let verdict = match &mut self.newest {
            Some(newest) if newest.announced(backend) => {
                if backend.sequence < newest.sequence {
                    Verdict::Delayed
                } else {
                    if backend.sequence > newest.sequence || backend.sequence == 0 {
                        (newest.sequence, newest.heard) = (backend.sequence, now);
                        self.rival = None;
                    }
                    return Verdict::Newest;
                }
            }
            _ if precedes_withdrawn => Verdict::Withdrawn,
            _ if is_future(backend.started, unix_ms) => Verdict::OtherRun,
            None => Verdict::Newest,
            Some(newest) if backend.started > newest.started => Verdict::Newest,
            // Runs that announce no start cannot be ordered.
            Some(newest) if backend.started == 0 && newest.started == 0 => Verdict::Newest,
            Some(_) => Verdict::OtherRun,
        };
        if verdict == Verdict::Newest || self.is_proved(backend, now) {
            self.newest = Some(Run::of(backend, now));
            self.rival = None;
            return Verdict::Newest;
        }
        verdict
    }

    /// Counts an announcement that looks outdated, and returns whether those of its run prove that the
    /// newest one was wrong.
    fn is_proved(&mut self, backend: &BackendServer, now: Time) -> bool {
        match &mut self.rival {
            Some(rival) if rival.announced(backend) => {
                let rises = backend.sequence > rival.sequence;
                rival.rising = if rises { rival.rising + 1 } else { 1 };
                (rival.sequence, rival.heard) = (backend.sequence, now);
            }
            _ => {
                self.rival = Some(Run::of(backend, now));
                self.rival_since = now;
            }
        }
        let Some(rival) = &self.rival else { return false };
        let quiet_since = self.newest.as_ref().map_or(self.rival_since, |newest| newest.heard);
        rival.rising >= MIN_RISING && rival.heard.since(quiet_since) >= MAX_DELAY
    }

    /// Records that a run has withdrawn. `started` is 0 if its start is not known.
    pub fn withdraw(&mut self, id: &str, started: u64, unix_ms: u64) -> Withdrawal {
        let newest = self.newest.as_ref().filter(|newest| newest.id == id);
        let is_known = newest.is_some_and(|newest| newest.started == started);
        if is_future(started, unix_ms) && !is_known {
            return Withdrawal::OtherRun;
        }
        let (first, last, withdrawal) = match newest {
            Some(newest) if started == 0 => (newest.started, newest.started, Withdrawal::Newest),
            Some(newest) if started >= newest.started => {
                (newest.started, started, Withdrawal::Newest)
            }
            Some(_) => (started, started, Withdrawal::OtherRun),
            // Whichever run of this id withdraws, it has started by now.
            None if started == 0 => (0, unix_ms, Withdrawal::Unannounced),
            None => (started, started, Withdrawal::Unannounced),
        };
        self.remember(Withdrawn { id: id.to_owned(), first, last });
        withdrawal
    }

    /// Records runs that had withdrawn or drained before this daemon started.
    pub fn recall(&mut self, withdrawn: &[Withdrawn]) {
        withdrawn.iter().for_each(|known| self.remember(known.clone()));
    }

    /// Returns the runs that have withdrawn, the last one at the end.
    pub fn withdrawn(&self) -> impl DoubleEndedIterator<Item = &Withdrawn> {
        self.withdrawn.iter()
    }

    fn remember(&mut self, withdrawn: Withdrawn) {
        self.withdrawn.retain(|known| *known != withdrawn);
        self.withdrawn.push_back(withdrawn);
        if self.withdrawn.len() > MAX_WITHDRAWN {
            self.withdrawn.pop_front();
        }
    }

    /// Whether the run of an announcement has withdrawn.
    fn has_withdrawn(&self, backend: &BackendServer) -> bool {
        self.withdrawn.iter().any(|runs| runs.contains(backend))
    }

    /// Whether a later run of the same id has withdrawn. The announcement is then a delayed one, unless the
    /// clock of the backend server was set back since.
    fn precedes_withdrawn(&self, backend: &BackendServer) -> bool {
        let mut withdrawn = self.withdrawn.iter();
        withdrawn.any(|runs| runs.id == backend.id && backend.started < runs.first)
    }
}

fn is_future(started: u64, unix_ms: u64) -> bool {
    let error = MAX_CLOCK_ERROR.as_millis() as u64;
    started > unix_ms.saturating_add(error)
}
