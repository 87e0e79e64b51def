//! Reports between simulated daemons: the work that entries offer to services, and the load and cost
//! that answers carry.

use gypsumtack::envelope::ReachedService;
use gypsumtack::overload::Capacity;

use crate::fakes::World;
use crate::parts::ReportedLoad;

/// Fraction of the slots that requests can fill, after deduction of those that are left free.
const USABLE_SLOT_FRACTION: f64 = 0.94;

impl World<'_> {
    /// Sends the due reports of each entry on the work that it is offered per service, and stores the
    /// overload status that comes back. The daemon of the first instance that is up receives the
    /// reports for a service. The baseline has no reports.
    pub(super) fn ask_around(&mut self) {
        if self.naive {
            return;
        }
        for daemon in 0..self.vms.len() {
            let own = &self.vms[daemon];
            for (service, report) in own.feedback.due_reports(&self.policy, &own.tables, self.now) {
                let name = self.vms[daemon].name.clone();
                let Some(index) = self.deployment.services.iter().position(|s| s.name == service)
                else {
                    continue;
                };
                let instances = || (0..self.vms.len()).filter(|&vm| self.vms[vm].service == index);
                let Some(first) = instances().find(|&vm| !self.vms[vm].down) else { continue };
                let up = instances().filter(|&vm| !self.vms[vm].down).count();
                let slots =
                    (self.deployment.services[index].slots * up) as f64 * USABLE_SLOT_FRACTION;
                let guard = &self.vms[first].intake.guard;
                let capacity = Capacity {
                    slots,
                    wait: guard.backlog(),
                    refused_fraction: guard.refused_fraction(),
                    busy_fraction: guard.in_flight() as f64 / guard.slots().max(1) as f64,
                };
                let status = self.vms[first].room.update(&name, report, capacity, self.now);
                self.vms[daemon].feedback.record_status(&service, status, self.now);
            }
        }
    }

    /// Passes the load of an instance and the cost of a request, which travel with an answer, to the
    /// daemon that called. They arrive at once here, without the network latency of the answer. `refused`
    /// says whether the instance had no room for the request.
    pub(super) fn report(&mut self, route: usize, vm: usize, daemon: usize, refused: bool) {
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
        let service = self.deployment.services[spec.service].name;
        own.feedback.record_load(service, load, refused);
        own.reported[vm] = ReportedLoad {
            load: load.in_flight + load.queued,
            mean_us: load.mean_us,
            at: self.now,
        };
        let Some(state) = own.tables.routes.get(spec.name) else { return };
        if state.should_request_reached(&source, self.now) {
            state.record_work(&reach);
        }
    }
}
