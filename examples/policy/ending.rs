//! Ends simulated calls and requests: answers, retries, queue time-outs and deadlines.

use gypsumtack::guard::Ticket;
use gypsumtack::reason::Outcome;
use gypsumtack::retry::FailedAttempt;

use crate::fakes::World;
use crate::parts::{End, FrameId, RootId, Stage};

/// Maximum number of attempts of one call in the baseline.
const NAIVE_MAX_ATTEMPTS: usize = 3;
/// Maximum number of attempts of one call with the policy.
const MAX_ATTEMPTS: usize = 2;
/// Retries that each completed call to a service adds to its retry budget.
const RETRY_RATIO: f64 = 0.1;

impl World<'_> {
    /// Handles the answer to one attempt at the daemon that sent it: retries the call, or passes the
    /// result to the parent call or the caller. The policy drops answers to requests that have already
    /// ended; the baseline still handles them.
    pub(super) fn answered(&mut self, frame: FrameId, completed: bool) {
        let root = self.frames[frame].root;
        if !self.roots[root].open && !self.naive {
            return;
        }
        let service = self.deployment.routes[self.frames[frame].route].service;
        let daemon = self.frames[frame].daemon;
        self.note_crash(frame);
        if completed {
            self.vms[daemon].retries[service].add(RETRY_RATIO, self.now);
        } else if self.retries(frame) {
            return self.attempt(frame);
        }
        let refused = self.frames[frame].refused;
        match self.frames[frame].parent {
            None if completed => self.end(root, End::Whole),
            None if refused => self.end(root, End::Refused(self.now)),
            None => self.end(root, End::Failed),
            Some(parent) => {
                let Stage::Running(vm) = self.frames[parent].state else { return };
                if !completed {
                    return self.finish(parent, vm, false);
                }
                self.frames[parent].answered += 1;
                let epoch = self.vms[vm].epoch;
                self.worked(parent, epoch);
            }
        }
    }

    /// Whether the daemon retries a failed call. Both limit the number of attempts; apart from that the
    /// baseline retries every failure before the deadline. The policy follows
    /// `FailedAttempt::may_retry`, needs an instance that has not been tried and, unless the attempt was
    /// refused, a token of the retry budget, and does not retry quarantined requests.
    pub(super) fn retries(&mut self, frame: FrameId) -> bool {
        let root = self.frames[frame].root;
        if !self.naive && self.is_quarantined(root) {
            return false;
        }
        let f = &self.frames[frame];
        if self.naive {
            return f.tried.len() < NAIVE_MAX_ATTEMPTS
                && self.now < self.roots[root].request.deadline;
        }
        let time_left = self.roots[f.root].request.deadline.since(self.now);
        let outcome = if f.refused { Outcome::NotRun } else { Outcome::Unknown };
        let failed = FailedAttempt { outcome, retryable: f.refused || f.crashed, time_left };
        let spec = &self.deployment.routes[f.route];
        let has_untried = f.tried.len() < self.deployment.services[spec.service].instances.len();
        let retry_budget = &mut self.vms[f.daemon].retries[spec.service];
        failed.may_retry(spec.idempotent)
            && has_untried
            && f.tried.len() < MAX_ATTEMPTS
            && (f.refused || retry_budget.take(1.0, self.now).is_ok())
    }

    /// Refuses a call that is still queued under this ticket when its queue wait or deadline runs out.
    pub(super) fn wait_over(&mut self, frame: FrameId, ticket: Ticket) {
        let Stage::Waiting(vm, queued) = self.frames[frame].state else { return };
        if queued != ticket || !self.vms[vm].intake.guard.cancel(ticket) {
            return;
        }
        self.vms[vm].tickets.remove(&ticket);
        self.refuse(frame, vm);
    }

    /// Ends a request at its deadline, when its caller stops waiting. The policy cancels all its calls;
    /// in the baseline they continue.
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

    /// Records how a request ended, unless it has already ended.
    pub(super) fn end(&mut self, root: RootId, end: End) {
        if std::mem::replace(&mut self.roots[root].open, false) {
            self.ended.push((root, self.now, end));
        }
    }
}
