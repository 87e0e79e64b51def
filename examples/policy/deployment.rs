//! The two simulated deployments, as their specifications describe them: services, instance speeds,
//! call graphs, request rates and latency objectives.

use std::collections::BTreeSet;
use std::time::Duration;

use gypsumtack::document::{
    Customer, Importance, LimitSpec, Policy, Route, Service, UnresolvedPolicy,
};

use crate::situations::WEIGHTS;

/// A service and its instances.
pub struct ServiceSpec {
    pub name: &'static str,
    /// Slots of each instance.
    pub slots: usize,
    /// Failure domain and relative speed of each instance; work takes its nominal time at speed 1.
    pub instances: Vec<(usize, f64)>,
    /// Factor by which service times grow while nearly all slots of an instance are in use.
    pub crowded: f64,
}

/// A kind of request.
pub struct RouteSpec {
    pub name: &'static str,
    /// Index of the service that handles the route.
    pub service: usize,
    /// Mean service time at speed 1, without downstream calls.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub spread: f64,
    pub objective_ms: u64,
    pub deadline_ms: u64,
    pub importance: Importance,
    pub idempotent: bool,
    /// Requests per second from callers; 0 for a route that only services call.
    pub rate: f64,
    /// Value of an answer within the latency objective, and of a later one.
    pub worth: (f64, f64),
    /// Downstream calls that each request makes.
    pub calls: Option<Calls>,
}

/// Downstream calls to one route.
#[derive(Clone, Copy)]
pub struct Calls {
    pub route: usize,
    pub times: usize,
    /// Whether all calls are made at once, instead of one after the other.
    pub together: bool,
}

/// Services, their call graph and the network between them.
pub struct Deployment {
    pub name: &'static str,
    pub services: Vec<ServiceSpec>,
    pub routes: Vec<RouteSpec>,
    /// One-way latency from a caller to an entry.
    pub caller_ms: u64,
    /// One-way latency between daemons of one failure domain, and between failure domains, in
    /// microseconds.
    pub hop_us: (u64, u64),
    /// Index of the service whose slots limit the throughput of the deployment.
    pub bottleneck: usize,
}

fn service(name: &'static str, slots: usize, domains: &[usize], speeds: [f64; 3]) -> ServiceSpec {
    let speed = |index: usize| speeds[index % speeds.len()];
    let instances =
        domains.iter().enumerate().map(|(index, domain)| (*domain, speed(index))).collect();
    ServiceSpec { name, slots, instances, crowded: 1.0 }
}

/// An idempotent route without downstream calls and without requests from callers.
fn route(
    name: &'static str,
    service: usize,
    work_ms: f64,
    spread: f64,
    (objective_ms, deadline_ms): (u64, u64),
    importance: Importance,
) -> RouteSpec {
    RouteSpec {
        name,
        service,
        work_ms,
        spread,
        objective_ms,
        deadline_ms,
        importance,
        idempotent: true,
        rate: 0.0,
        worth: (0.0, 0.0),
        calls: None,
    }
}

/// A register of building defects, with services for lists, sign-off, dossiers and inspection.
pub fn casablanca() -> Deployment {
    use Importance::{Critical, High, Normal};
    let call = |route, times, together| Some(Calls { route, times, together });
    Deployment {
        name: "casablanca",
        services: vec![
            service("lists", 129, &[0, 0, 1, 2], [0.7, 0.7, 1.6]),
            service("signoff", 171, &[0, 1, 2], [0.6, 1.0, 1.4]),
            service("dossiers", 129, &[0, 0, 1, 2], [0.6, 1.0, 1.4]),
            ServiceSpec { crowded: 1.3, ..service("inspection", 16, &[0, 1, 2], [0.6, 1.0, 1.4]) },
        ],
        routes: vec![
            RouteSpec {
                rate: 237.0,
                worth: (1.0, 0.1),
                calls: call(4, 2, true),
                ..route("list", 0, 60.0, 0.8, (1_200, 5_000), Normal)
            },
            RouteSpec {
                rate: 84.4,
                worth: (3.0, 0.2),
                idempotent: false,
                calls: call(5, 2, false),
                ..route("signoff", 1, 78.0, 0.5, (1_200, 5_000), Critical)
            },
            RouteSpec {
                rate: 96.4,
                worth: (1.0, 0.1),
                ..route("lookup", 2, 150.0, 0.8, (400, 800), Normal)
            },
            RouteSpec {
                rate: 56.2,
                worth: (2.0, 0.2),
                ..route("safety", 3, 24.0, 0.5, (100, 400), High)
            },
            RouteSpec {
                calls: call(5, 1, false),
                ..route("history", 1, 15.0, 0.5, (1_000, 2_500), High)
            },
            RouteSpec {
                calls: call(6, 4, false),
                ..route("index", 2, 15.0, 0.5, (800, 2_000), High)
            },
            route("catalogue", 3, 15.0, 0.5, (300, 700), High),
        ],
        caller_ms: 1,
        hop_us: (100, 500),
        bottleneck: 3,
    }
}

/// A system for guarantees, with services for status, issuance, limits and verification.
pub fn ulaanbaatar() -> Deployment {
    use Importance::{Critical, High, Normal};
    let call = |route, times| Some(Calls { route, times, together: false });
    Deployment {
        name: "ulaanbaatar",
        services: vec![
            service("status", 184, &[0, 1, 2], [0.7, 0.7, 1.6]),
            service("issuance", 184, &[0, 1, 2], [0.6, 1.0, 1.4]),
            service("limits", 184, &[0, 1, 2], [0.6, 1.0, 1.4]),
            ServiceSpec { crowded: 1.3, ..service("verify", 42, &[0, 1, 2], [0.7, 0.7, 1.6]) },
        ],
        routes: vec![
            RouteSpec {
                rate: 264.0,
                worth: (1.0, 0.3),
                calls: call(4, 1),
                ..route("status", 0, 120.0, 0.3, (1_500, 6_000), Normal)
            },
            RouteSpec {
                rate: 81.2,
                worth: (3.0, 0.6),
                idempotent: false,
                calls: call(5, 1),
                ..route("issue", 1, 160.0, 0.3, (1_500, 6_000), Critical)
            },
            RouteSpec {
                rate: 117.0,
                worth: (1.0, 0.3),
                ..route("limit", 2, 300.0, 0.5, (800, 3_000), Normal)
            },
            RouteSpec {
                rate: 71.1,
                worth: (2.0, 0.6),
                ..route("verify", 3, 48.0, 0.5, (150, 600), High)
            },
            RouteSpec { calls: call(5, 1), ..route("ledger", 1, 15.0, 0.5, (1_200, 3_000), High) },
            RouteSpec {
                calls: call(6, 5),
                ..route("collateral", 2, 15.0, 0.5, (1_200, 2_500), High)
            },
            route("registry", 3, 30.0, 0.5, (300, 700), High),
        ],
        caller_ms: 8,
        hop_us: (100, 500),
        bottleneck: 3,
    }
}

impl Deployment {
    /// Returns the mean slot time in seconds, at speed 1, that a request of `route` uses at the
    /// bottleneck, including its downstream calls.
    pub fn cost(&self, route: usize) -> f64 {
        let spec = &self.routes[route];
        let own = if spec.service == self.bottleneck { spec.work_ms / 1_000.0 } else { 0.0 };
        own + spec.calls.map_or(0.0, |calls| calls.times as f64 * self.cost(calls.route))
    }

    /// Returns the capacity of the bottleneck in slot seconds per second, weighted by instance speed.
    pub fn capacity(&self) -> f64 {
        let spec = &self.services[self.bottleneck];
        spec.instances.iter().map(|(_, speed)| spec.slots as f64 * speed).sum()
    }

    /// Returns the load that callers offer to the bottleneck at the specified rates, as a fraction of
    /// its capacity.
    pub fn load(&self) -> f64 {
        let offered: f64 =
            self.routes.iter().enumerate().map(|(index, spec)| spec.rate * self.cost(index)).sum();
        offered / self.capacity()
    }

    /// Returns the policy of the document that the daemons of this deployment have in force.
    pub fn policy(&self) -> Policy {
        let service = |spec: &ServiceSpec| Service {
            name: spec.name.to_owned(),
            retry_ratio: 0.1,
            retired: BTreeSet::new(),
            ramp: Duration::ZERO,
        };
        let customer = |(index, weight): (usize, &u32)| {
            let customer = Customer {
                name: format!("customer-{index}"),
                limit: None,
                weight: *weight,
                rank: 0,
                refuse_isolated: false,
                active: true,
            };
            (customer, Vec::new())
        };
        let route = |spec: &RouteSpec| {
            let route = Route {
                name: spec.name.to_owned(),
                host: None,
                path: format!("/{}", spec.name),
                methods: BTreeSet::new(),
                targets: Vec::new(),
                importance: spec.importance,
                idempotent: spec.idempotent,
                open: spec.rate == 0.0,
                deadline: Duration::from_millis(spec.deadline_ms),
                objective: Duration::from_millis(spec.objective_ms),
                attempts: 2,
                retries: 1,
            };
            (route, vec![(self.services[spec.service].name.to_owned(), 1)])
        };
        let unresolved = UnresolvedPolicy {
            limits: LimitSpec::default(),
            domains: BTreeSet::new(),
            services: self.services.iter().map(service).collect(),
            customers: WEIGHTS.iter().enumerate().map(customer).collect(),
            routes: self.routes.iter().map(route).collect(),
        };
        Policy::build(unresolved, 1, &Policy::empty())
    }
}
