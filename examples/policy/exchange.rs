//! What fake daemons tell each other beside requests: room at services, and what answers bring back.

use gypsumtack::envelope::ReachedService;
use gypsumtack::overload::Capacity;

use crate::fakes::World;

/// The part of the slots that work can fill.
const FILLED: f64 = 0.94;

impl World<'_> {
    /// Entries tell services how much work they are offered for them.
    pub(super) fn ask_around(&mut self) {
        if self.naive {
            return;
        }
        for daemon in 0..self.vms.len() {
            let own = &self.vms[daemon];
            for (service, work) in own.feedback.due_reports(&self.policy, &own.tables, self.now) {
                let name = self.vms[daemon].name.clone();
                let Some(at) = self.deployment.services.iter().position(|s| s.name == service)
                else {
                    continue;
                };
                let instances = || (0..self.vms.len()).filter(|&vm| self.vms[vm].service == at);
                let Some(first) = instances().find(|&vm| !self.vms[vm].down) else { continue };
                let up = instances().filter(|&vm| !self.vms[vm].down).count();
                let slots = (self.deployment.services[at].slots * up) as f64 * FILLED;
                let guard = &self.vms[first].intake.guard;
                let (wait, refused_fraction) = (guard.backlog(), guard.refused_fraction());
                let capacity = Capacity { slots, wait, refused_fraction };
                let status = self.vms[first].room.update(&name, work, capacity, self.now);
                self.vms[daemon].feedback.record_status(&service, status, self.now);
            }
        }
    }

    /// What goes back with an answer. It is taken to arrive at once.
    pub(super) fn report(&mut self, route: usize, vm: usize, daemon: usize) {
        let spec = &self.deployment.routes[route];
        let target = &self.vms[vm];
        let observed = target.intake.observe(spec.name);
        let load = observed.load;
        let mut reach = target.feedback.downstream_services(&target.tables, spec.name);
        reach.push(ReachedService {
            service: self.deployment.services[spec.service].name.to_owned(),
            work_ms: observed.service_time.as_secs_f32() * 1_000.0,
        });
        let source = target.name.clone();
        let own = &mut self.vms[daemon];
        own.reported[vm] = (load.in_flight + load.queued, load.mean_us);
        let Some(state) = own.tables.routes.get(spec.name) else { return };
        if state.should_request_reached(&source, self.now) {
            state.record_work(&reach);
        }
    }
}
