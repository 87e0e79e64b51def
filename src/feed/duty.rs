//! Which daemons read the document from the store, and how.

use std::time::Duration;

use crate::board::Board;
use crate::member::{State, View};

/// Age of the store's last confirmation above which a daemon reads the store itself. Heartbeats pass a
/// confirmation on within one or two rounds.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(4);

/// How a daemon reads the document from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Duty {
    /// Whether it waits for changes in the feed.
    pub feed: bool,
    /// Whether it reads the head row at regular intervals. This finds a change that the feed did not
    /// report; the feed in turn reports one that the read, of an older state, does not show yet.
    pub scan: bool,
}

impl Duty {
    /// The daemon relies on the heartbeats of others.
    pub const NONE: Self = Self { feed: false, scan: false };

    /// The daemon does both.
    pub const BOTH: Self = Self { feed: true, scan: true };

    /// Returns the duty of the daemon of `vm`. In each failure domain the first member follows the feed
    /// and the second one scans, so that two daemons of a domain learn of a change in two ways. A daemon
    /// does both if there is no second member, or if the last confirmation by the store is too old.
    pub fn of(vm: &str, domain: &str, view: &View, age: Duration) -> Self {
        if age > MAX_CONFIRMATION_AGE {
            return Self::BOTH;
        }
        let members = view.iter().map(|member| &member.record);
        // A suspect may be frozen; one reader too many does no harm.
        let readers = members.filter(|record| {
            record.domain == domain
                && (record.vm == vm || !record.suspect)
                && record.state != State::Leaving
        });
        let readers: Vec<&str> = readers.map(|record| record.vm.as_str()).take(2).collect();
        match readers[..] {
            [only] if only == vm => Self::BOTH,
            [first, _] if first == vm => Self { feed: true, scan: false },
            [_, second] if second == vm => Self { feed: false, scan: true },
            _ => Self::NONE,
        }
    }

    /// Returns the duty of this daemon at this moment.
    pub(super) fn own(board: &Board) -> Self {
        let (vm, domain) = (&board.settings.vm, &board.settings.failure_domain);
        let age = board.clock.now().since(board.confirmed());
        board.read_view(|view| Self::of(vm, domain, view, age))
    }
}
