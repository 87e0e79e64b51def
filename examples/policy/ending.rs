//! How calls and requests end: answers, retries and deadlines.

use gypsumtack::guard::Ticket;
use gypsumtack::reason::Outcome;
use gypsumtack::retry::FailedAttempt;

use crate::fakes::World;
use crate::parts::{End, FrameId, RootId, Stage};

/// Attempts of one call in the baseline, and in the policy.
const NAIVE_ATTEMPTS: usize = 3;
const ATTEMPTS: usize = 2;
/// Retries of a service as a fraction of its successes.
const RETRY_RATIO: f64 = 0.1;

impl World<'_> {
    pub(super) fn answered(&mut self, frame: FrameId, whole: bool) {
        let root = self.frames[frame].root;
        if !self.roots[root].open && !self.naive {
            return;
        }
        let service = self.deployment.routes[self.frames[frame].route].service;
        let daemon = self.frames[frame].daemon;
        self.note_crash(frame);
        if whole {
            self.vms[daemon].retries[service].add(RETRY_RATIO, self.now);
        } else if self.retries(frame) {
            return self.attempt(frame);
        }
        let refused = self.frames[frame].refused;
        match self.frames[frame].parent {
            None if whole => self.end(root, End::Whole),
            None if refused => self.end(root, End::Refused(self.now)),
            None => self.end(root, End::Failed),
            Some(parent) => {
                let Stage::Running(vm) = self.frames[parent].state else { return };
                if !whole {
                    return self.finish(parent, vm, false);
                }
                self.frames[parent].answered += 1;
                let epoch = self.vms[vm].epoch;
                self.worked(parent, epoch);
            }
        }
    }

    pub(super) fn retries(&mut self, frame: FrameId) -> bool {
        let root = self.frames[frame].root;
        if !self.naive && self.is_quarantined(root) {
            return false;
        }
        let f = &self.frames[frame];
        if self.naive {
            return f.tried.len() < NAIVE_ATTEMPTS && self.now < self.roots[root].request.deadline;
        }
        let time_left = self.roots[f.root].request.deadline.since(self.now);
        let outcome = if f.refused { Outcome::NotRun } else { Outcome::Unknown };
        let failure = FailedAttempt { outcome, retryable: f.refused || f.crashed, time_left };
        let spec = &self.deployment.routes[f.route];
        let other = f.tried.len() < self.deployment.services[spec.service].instances.len();
        let bucket = &mut self.vms[f.daemon].retries[spec.service];
        failure.may_retry(spec.idempotent)
            && other
            && f.tried.len() < ATTEMPTS
            && (f.refused || bucket.take(1.0, self.now).is_ok())
    }

    pub(super) fn wait_over(&mut self, frame: FrameId, ticket: Ticket) {
        let Stage::Waiting(vm, waiting) = self.frames[frame].state else { return };
        if waiting != ticket || !self.vms[vm].intake.guard.cancel(ticket) {
            return;
        }
        self.vms[vm].tickets.remove(&ticket);
        self.refuse(frame, vm);
    }

    /// The caller stops waiting. The policy cancels everything below; the baseline works on.
    pub(super) fn deadline(&mut self, root: RootId) {
        if !self.roots[root].open {
            return;
        }
        self.end(root, End::Failed);
        if self.naive {
            return;
        }
        for frame in self.roots[root].frames.clone() {
            let daemon = self.frames[frame].daemon;
            let state = std::mem::replace(&mut self.frames[frame].state, Stage::Over);
            match state {
                Stage::Waiting(vm, ticket) => {
                    self.vms[vm].intake.guard.cancel(ticket);
                    self.vms[vm].tickets.remove(&ticket);
                    self.vms[daemon].sent[vm] -= 1;
                }
                Stage::Running(vm) => {
                    self.vms[daemon].sent[vm] -= 1;
                    self.free(frame, vm, false);
                }
                Stage::Sent(vm) => self.vms[daemon].sent[vm] -= 1,
                Stage::Over => {}
            }
        }
    }

    pub(super) fn end(&mut self, root: RootId, end: End) {
        if std::mem::replace(&mut self.roots[root].open, false) {
            self.ended.push((root, self.now, end));
        }
    }
}
