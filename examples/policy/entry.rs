//! What the daemon at a request's entry knows of services on its way.

use rand::Rng;

use crate::fakes::World;
use crate::parts::{FrameId, RootId};

impl World<'_> {
    /// Whether the entry refuses what a service on the way would refuse.
    pub(super) fn refuses(&mut self, entry: usize, root: RootId) -> bool {
        let request = self.roots[root].request;
        let importance = self.importance(root);
        let mut services = vec![self.deployment.routes[request.route].service];
        while let Some(next) = self.deployment.services[services[services.len() - 1]].calls.first()
        {
            services.push(*next);
        }
        let cut = |service: &usize| {
            self.vms[entry].cuts[*service].of(Some(request.customer), importance).at(self.now)
        };
        let level = services.iter().map(cut).fold(0.0, f32::max);
        self.roots[root].passed = 1.0 - level;
        level > 0.0 && self.rng.random::<f32>() < level
    }

    /// The entry learns from an answer; a hop passes on what it learned.
    pub(super) fn learn(&mut self, frame: FrameId) {
        let f = &self.frames[frame];
        let (root, service, level) = (f.root, f.service, f.level);
        let mut top = frame;
        while let Some(parent) = self.frames[top].parent {
            top = parent;
        }
        let entry = self.frames[top].daemon;
        let customer = self.roots[root].request.customer;
        let importance = self.importance(root);
        self.vms[entry].cuts[service].of(Some(customer), importance).note(level, self.now);
    }
}
