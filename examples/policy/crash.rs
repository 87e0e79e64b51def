//! Crashes and restarts of simulated instances, and the quarantine of the request that causes them.

use std::time::Duration;

use bytes::Bytes;
use gypsumtack::message::Message;
use gypsumtack::quarantine::{CrashId, CrashStatus, Fingerprint};
use http::{HeaderMap, Method, Uri};

use crate::fakes::{World, intake};
use crate::parts::{Event, FrameId, RootId, Stage};

/// Time between the crash of an instance and its restart.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Returns the fingerprint of the request that crashes instances. All such requests share it.
fn fingerprint() -> Fingerprint {
    let message = Message {
        method: Method::GET,
        uri: Uri::from_static("/crash"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    };
    Fingerprint::of(None, "", &message)
}

impl World<'_> {
    /// Crashes the instance on `vm`: its queue is lost, every call that waits or runs there fails, and
    /// the instance restarts after `RESTART_DELAY`.
    pub(super) fn crash(&mut self, vm: usize) {
        self.crashes += 1;
        let aborted: Vec<FrameId> = (0..self.frames.len()).filter(|&f| self.is_on(f, vm)).collect();
        let slots = self.deployment.services[self.vms[vm].service].slots;
        let instance = &mut self.vms[vm];
        (instance.down, instance.running) = (true, 0);
        instance.epoch += 1;
        instance.fifo.clear();
        instance.tickets.clear();
        instance.intake = intake(slots);
        for frame in aborted {
            self.frames[frame].crashed = true;
            self.answer(frame, vm, false);
        }
        self.at(self.now + RESTART_DELAY, Event::Restart(vm));
    }

    /// Makes the instance on `vm` available again.
    pub(super) fn restart(&mut self, vm: usize) {
        self.vms[vm].down = false;
    }

    /// Records the crash if the call failed by one and its request is one that crashes instances. All
    /// daemons share one quarantine, as if heartbeats spread the calling daemon's report without delay.
    pub(super) fn note_crash(&mut self, frame: FrameId) {
        let crashed = std::mem::take(&mut self.frames[frame].crashed);
        let root = self.frames[frame].root;
        if crashed && self.roots[root].request.crashes {
            let crash = CrashId::random(&mut rand::rng());
            self.quarantine.record_crash(fingerprint(), crash, self.now);
        }
    }

    /// Whether the request crashes instances and is in quarantine for it.
    pub(super) fn is_quarantined(&mut self, root: RootId) -> bool {
        self.roots[root].request.crashes
            && matches!(
                self.quarantine.crash_status(fingerprint(), self.now),
                CrashStatus::Quarantined(_)
            )
    }

    /// Whether the call waits or runs on `vm`.
    fn is_on(&self, frame: FrameId, vm: usize) -> bool {
        match self.frames[frame].state {
            Stage::Running(on) | Stage::Waiting(on, _) => on == vm,
            Stage::Sent(_) | Stage::Over => false,
        }
    }
}
