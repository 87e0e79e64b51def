//! The newest version of a document or a roster that peers have reported.
//!
//! A report says who holds a version, not that a fetch from there brings it: the peer may have started
//! again since, with an older one. A report therefore stands until that version or a newer one is held
//! here. docs/incidents/late-documents.md describes what happens otherwise.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;

use crate::time::{Time, jitter};

/// Pause after the first fetch that did not bring the reported version. It doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause between two fetches of a reported version.
const MAX_PAUSE: Duration = Duration::from_millis(3_200);

/// A version that is newer than the local one, and who holds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// The version.
    pub version: u64,
    /// Control address of the daemon that reported it last.
    pub control: SocketAddr,
    /// When it was reported first.
    pub since: Time,
}

/// The newest [`Report`].
#[derive(Debug, Default)]
pub struct NewestReport(watch::Sender<Option<Report>>);

impl NewestReport {
    /// Returns the newest version that has been reported, or 0.
    pub fn version(&self) -> u64 {
        self.get().map_or(0, |report| report.version)
    }

    /// Returns the newest report.
    pub fn get(&self) -> Option<Report> {
        *self.0.borrow()
    }

    /// Records a report, and returns whether its version is newer than all reported before. Of several
    /// daemons that report the newest version, the last is asked next.
    pub fn record(&self, report: Report) -> bool {
        let mut is_newer = false;
        self.0.send_if_modified(|newest| {
            match newest {
                Some(known) if report.version < known.version => {}
                Some(known) if report.version == known.version => known.control = report.control,
                _ => {
                    is_newer = true;
                    *newest = Some(report);
                }
            }
            is_newer
        });
        is_newer
    }

    /// Returns the reports to act on, in their order.
    pub fn follow(&self) -> Reports {
        Reports { newest: self.0.subscribe(), tried: 0, pause: FIRST_PAUSE }
    }
}

/// The reports of a [`NewestReport`].
#[derive(Debug)]
pub struct Reports {
    newest: watch::Receiver<Option<Report>>,
    /// The newest version that was returned.
    tried: u64,
    pause: Duration,
}

impl Reports {
    /// Waits for a report of a version above `held`. As long as `held` has not reached a version that was
    /// returned, it is returned again after a pause.
    pub async fn next(&mut self, held: impl Fn() -> u64) -> Report {
        loop {
            let newest = *self.newest.borrow_and_update();
            let Some(report) = newest.filter(|report| report.version > held()) else {
                // The sender lives as long as the daemon.
                let _ = self.newest.changed().await;
                continue;
            };
            if report.version > self.tried {
                (self.tried, self.pause) = (report.version, FIRST_PAUSE);
                return report;
            }
            let pause = jitter(self.pause);
            if tokio::time::timeout(pause, self.newest.changed()).await.is_err() {
                self.pause = (self.pause * 2).min(MAX_PAUSE);
                // Another daemon may have reported it meanwhile.
                return self.newest.borrow().unwrap_or(report);
            }
        }
    }
}
