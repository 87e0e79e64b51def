//! Instances that die under a request, and come back.

use std::time::Duration;

use bytes::Bytes;
use gypsumtack::message::Message;
use gypsumtack::quarantine::{CrashStatus, Fingerprint};
use http::{HeaderMap, Method, Uri};

use crate::fakes::{World, intake};
use crate::parts::{Event, FrameId, RootId, Stage};

/// How long an instance takes to come back.
const DOWN: Duration = Duration::from_secs(2);

/// The fingerprint of the one request that crashes instances.
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
    /// Ends an instance with everything on it.
    pub(super) fn crash(&mut self, vm: usize) {
        self.crashes += 1;
        let lost: Vec<FrameId> = (0..self.frames.len()).filter(|&f| self.is_on(f, vm)).collect();
        let slots = self.deployment.services[self.vms[vm].service].slots;
        let dead = &mut self.vms[vm];
        (dead.down, dead.running) = (true, 0);
        dead.epoch += 1;
        dead.fifo.clear();
        dead.tickets.clear();
        dead.intake = intake(slots);
        for frame in lost {
            self.frames[frame].crashed = true;
            self.answer(frame, vm, false);
        }
        self.at(self.now + DOWN, Event::Restart(vm));
    }

    pub(super) fn restart(&mut self, vm: usize) {
        self.vms[vm].down = false;
    }

    /// The daemon that called learns of the death; heartbeats are taken to spread it at once.
    pub(super) fn note_crash(&mut self, frame: FrameId) {
        let crashed = std::mem::take(&mut self.frames[frame].crashed);
        let root = self.frames[frame].root;
        if crashed && self.roots[root].request.crashes {
            self.quarantine.record_crash(fingerprint(), self.now);
        }
    }

    pub(super) fn is_quarantined(&mut self, root: RootId) -> bool {
        self.roots[root].request.crashes
            && matches!(
                self.quarantine.crash_status(fingerprint(), self.now),
                CrashStatus::Quarantined(_)
            )
    }

    fn is_on(&self, frame: FrameId, vm: usize) -> bool {
        match self.frames[frame].state {
            Stage::Running(on) | Stage::Waiting(on, _) => on == vm,
            Stage::Sent(_) | Stage::Over => false,
        }
    }
}
