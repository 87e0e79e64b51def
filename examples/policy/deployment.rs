//! The sizes and call graphs of the two deployments.

use gypsumtack::document::Importance;

/// One service of a call graph.
pub struct ServiceSpec {
    pub instances: usize,
    pub slots: usize,
    pub own_ms: u64,
    pub calls: &'static [usize],
}

/// A deployment of the brief.
pub struct Deployment {
    pub name: &'static str,
    pub services: Vec<ServiceSpec>,
    /// Time from a caller to an entry, and from one daemon to another.
    pub caller_ms: u64,
    pub hop_us: u64,
    /// The service whose slots bound the whole.
    pub bottleneck: usize,
    /// Requests a second of each route that together fill the bottleneck.
    pub routes: Vec<RouteSpec>,
}

/// One route: where it enters, and its part of the capacity.
pub struct RouteSpec {
    pub service: usize,
    pub importance: Importance,
    pub part: f64,
}

const fn service(
    instances: usize,
    slots: usize,
    own_ms: u64,
    calls: &'static [usize],
) -> ServiceSpec {
    ServiceSpec { instances, slots, own_ms, calls }
}

fn routes(specs: &[(usize, Importance, f64)]) -> Vec<RouteSpec> {
    let route = |&(service, importance, part)| RouteSpec { service, importance, part };
    specs.iter().map(route).collect()
}

/// Inspection, lists, sign-off; all reach dossiers.
pub fn casablanca() -> Deployment {
    use Importance::{Critical, High, Low, Normal};
    Deployment {
        name: "casablanca",
        services: vec![
            service(3, 15, 10, &[3]),
            service(4, 150, 40, &[3]),
            service(3, 130, 40, &[3]),
            service(3, 110, 60, &[]),
        ],
        caller_ms: 1,
        hop_us: 500,
        bottleneck: 3,
        routes: routes(&[
            (0, Critical, 0.008),
            (2, Critical, 0.05),
            (1, High, 0.3),
            (1, Normal, 0.3),
            (3, Low, 0.342),
        ]),
    }
}

/// Verification, issuance, limits; all reach status.
pub fn ulaanbaatar() -> Deployment {
    use Importance::{Critical, High, Low, Normal};
    Deployment {
        name: "ulaanbaatar",
        services: vec![
            service(3, 35, 10, &[3]),
            service(3, 160, 10, &[2]),
            service(3, 160, 10, &[3]),
            service(3, 160, 100, &[]),
        ],
        caller_ms: 8,
        hop_us: 500,
        bottleneck: 3,
        routes: routes(&[
            (1, Critical, 0.05),
            (0, High, 0.01),
            (2, High, 0.34),
            (3, Normal, 0.35),
            (3, Low, 0.25),
        ]),
    }
}

impl Deployment {
    /// Whole requests a second that fill the bottleneck.
    pub fn capacity(&self) -> f64 {
        let spec = &self.services[self.bottleneck];
        (spec.instances * spec.slots) as f64 / (spec.own_ms as f64 / 1_000.0)
    }
}
