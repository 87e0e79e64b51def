//! The document compiled for the path of a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::{Document, Importance, LimitSpec};
use crate::key::Digest;

macro_rules! arena_key {
    ($(#[$doc:meta] $name:ident),*) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u32);

        impl $name {
            /// The place in the arena.
            pub const fn index(self) -> usize {
                self.0 as usize
            }

            /// Makes a key from a place in the arena.
            pub const fn new(index: u32) -> Self {
                Self(index)
            }
        }
    )*};
}

arena_key! {
    /// Names a customer within one process; the number stays the same through later documents.
    CustomerId,
    /// Names a route within one [`Policy`].
    RouteId,
    /// Names a service within one process; the number stays the same through later documents.
    ServiceId
}

/// A customer, ready for the path of a request.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its name in the document.
    pub name: String,
    /// Its rate and burst over the fleet; `None` when it has no limit.
    pub limit: Option<RateLimit>,
    /// Weight in a queue.
    pub weight: u32,
    /// Its rank between customers; the lowest is shed last.
    pub rank: u8,
    /// Whether a failure domain that is cut off refuses it at once.
    pub refuse_isolated: bool,
    /// Whether the document in force has it.
    pub active: bool,
}

/// A rate and a burst over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub burst: f64,
}

/// A route, ready for the path of a request.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name in the document.
    pub name: String,
    /// The host that it belongs to; `None` matches every host.
    pub host: Option<String>,
    /// The path prefix.
    pub path: String,
    /// The methods; all when empty.
    pub methods: BTreeSet<String>,
    /// The services that run it, each with the weight of its part; seldom more than one.
    pub targets: Vec<Target>,
    /// How important it is.
    pub importance: Importance,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it needs no key.
    pub open: bool,
    /// The whole time that a request has.
    pub deadline: Duration,
    /// Within which time an answer is worth most to its caller.
    pub objective: Duration,
    /// Instances that one call may be sent to.
    pub attempts: u32,
    /// Retries over the call tree.
    pub retries: u32,
}

impl Route {
    /// Draws the service that runs one request, in proportion to the weights.
    pub fn choose_service(&self, rng: &mut impl Rng) -> Option<ServiceId> {
        if let [only] = self.targets.as_slice() {
            return Some(only.service);
        }
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return None;
        }
        let mut at = rng.random_range(0..total);
        for target in &self.targets {
            if at < target.weight {
                return Some(target.service);
            }
            at -= target.weight;
        }
        None
    }
}

/// A service that runs a part of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its part, beside the weights of the other targets.
    pub weight: u32,
}

/// A service, ready for the path of a request.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name in the document.
    pub name: String,
    /// Retries as a fraction of successes.
    pub retry_ratio: f64,
    /// VMs that get no new work.
    pub retired: BTreeSet<String>,
    /// Seconds in which a new instance ramps up.
    pub ramp: Duration,
}

/// What a document says, before it is compiled: names instead of arena keys.
#[derive(Debug, Clone, Default)]
pub struct UnresolvedPolicy {
    /// Bounds that hold for the whole system.
    pub limits: LimitSpec,
    /// Failure domains of the fleet.
    pub domains: BTreeSet<String>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers, each with the digests of its keys.
    pub customers: Vec<(Customer, Vec<Digest>)>,
    /// All routes, each with the names and weights of the services that run it.
    pub routes: Vec<(Route, Vec<(String, u32)>)>,
}

/// A whole document, compiled. It is replaced as one, so that a request sees one version only.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The document's version; 0 before the first document.
    pub version: u64,
    /// Bounds that hold for the whole system.
    pub limits: LimitSpec,
    /// Failure domains of the fleet.
    pub domains: BTreeSet<String>,
    customers: Vec<Customer>,
    services: Vec<Service>,
    routes: Vec<Route>,
    hosts: BTreeMap<String, Paths>,
    any_host: Paths,
    keys: BTreeMap<Digest, CustomerId>,
    customer_names: BTreeMap<String, CustomerId>,
    service_names: BTreeMap<String, ServiceId>,
}

/// Routes by their path prefixes.
type Paths = BTreeMap<String, Vec<RouteId>>;

impl Policy {
    /// The policy before the first document: it knows no route and no key.
    pub fn empty() -> Self {
        Self {
            version: 0,
            limits: LimitSpec::default(),
            domains: BTreeSet::new(),
            customers: Vec::new(),
            services: Vec::new(),
            routes: Vec::new(),
            hosts: BTreeMap::new(),
            any_host: BTreeMap::new(),
            keys: BTreeMap::new(),
            customer_names: BTreeMap::new(),
            service_names: BTreeMap::new(),
        }
    }

    /// Compiles `document` as `version`, keeping the arena keys that `previous` gave out.
    pub fn compile(document: &Document, version: u64, previous: &Self) -> Self {
        Self::build(UnresolvedPolicy::from(document), version, previous)
    }

    /// Compiles `draft` as `version`, keeping the arena keys that `previous` gave out.
    pub fn build(unresolved: UnresolvedPolicy, version: u64, previous: &Self) -> Self {
        let mut policy = Self {
            version,
            limits: unresolved.limits,
            domains: unresolved.domains,
            routes: Vec::new(),
            hosts: BTreeMap::new(),
            any_host: BTreeMap::new(),
            keys: BTreeMap::new(),
            ..previous.clone()
        };
        policy.add_services(unresolved.services);
        policy.add_customers(unresolved.customers);
        policy.add_routes(unresolved.routes);
        policy
    }

    fn add_services(&mut self, services: Vec<Service>) {
        for service in services {
            let next = ServiceId(self.services.len() as u32);
            let id = *self.service_names.entry(service.name.clone()).or_insert(next);
            match self.services.get_mut(id.index()) {
                Some(place) => *place = service,
                None => self.services.push(service),
            }
        }
    }

    fn add_customers(&mut self, customers: Vec<(Customer, Vec<Digest>)>) {
        for customer in &mut self.customers {
            customer.active = false;
        }
        for (customer, digests) in customers {
            let next = CustomerId(self.customers.len() as u32);
            let id = *self.customer_names.entry(customer.name.clone()).or_insert(next);
            match self.customers.get_mut(id.index()) {
                Some(place) => *place = customer,
                None => self.customers.push(customer),
            }
            self.keys.extend(digests.into_iter().map(|digest| (digest, id)));
        }
    }

    fn add_routes(&mut self, routes: Vec<(Route, Vec<(String, u32)>)>) {
        for (mut route, services) in routes {
            let target = |(name, weight): (String, u32)| {
                let service = self.service_id(&name)?;
                Some(Target { service, weight })
            };
            route.targets = services.into_iter().filter_map(target).collect();
            let id = RouteId(self.routes.len() as u32);
            let paths = match &route.host {
                Some(host) => self.hosts.entry(host.clone()).or_default(),
                None => &mut self.any_host,
            };
            paths.entry(route.path.clone()).or_default().push(id);
            self.routes.push(route);
        }
    }

    /// The customer that a key's digest belongs to.
    pub fn authenticate(&self, digest: &Digest) -> Option<CustomerId> {
        self.keys.get(digest).copied()
    }

    /// The route with the longest path that matches. Routes of the host itself go before those of
    /// every host.
    pub fn match_route(&self, host: &str, method: &str, path: &str) -> Option<RouteId> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let own = self.hosts.get(host).and_then(|paths| self.longest(paths, method, path));
        own.or_else(|| self.longest(&self.any_host, method, path))
    }

    fn longest(&self, paths: &Paths, method: &str, path: &str) -> Option<RouteId> {
        let fits = |id: &&RouteId| {
            let methods = &self.routes[id.index()].methods;
            methods.is_empty() || methods.contains(method)
        };
        prefixes(path).find_map(|prefix| paths.get(prefix)?.iter().find(fits).copied())
    }

    /// The customer behind its key.
    pub fn customer(&self, id: CustomerId) -> &Customer {
        &self.customers[id.index()]
    }

    /// The route behind its key.
    pub fn route_at(&self, id: RouteId) -> &Route {
        &self.routes[id.index()]
    }

    /// The service behind its key.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.index()]
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// All services.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The key of a customer by name.
    pub fn customer_id(&self, name: &str) -> Option<CustomerId> {
        self.customer_names.get(name).copied()
    }

    /// The key of a service by name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.service_names.get(name).copied()
    }

    /// How many customers have arena keys, also those that are gone.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Customers of the document in force that have a limit, with their keys.
    pub fn rate_limited_customers(
        &self,
    ) -> impl Iterator<Item = (CustomerId, &Customer, RateLimit)> {
        let all = self.customers.iter().enumerate().filter(|(_, customer)| customer.active);
        all.filter_map(|(at, customer)| Some((CustomerId(at as u32), customer, customer.limit?)))
    }
}

impl From<&Document> for UnresolvedPolicy {
    fn from(document: &Document) -> Self {
        let services = document.services.iter().map(|(name, spec)| {
            let spec = spec.get_ref();
            Service {
                name: name.clone(),
                retry_ratio: spec.retry_ratio,
                retired: spec.retired.iter().cloned().collect(),
                ramp: Duration::from_secs(spec.ramp_s),
            }
        });
        let customers = document.customers.iter().map(|(name, spec)| {
            let spec = spec.get_ref();
            let customer = Customer {
                name: name.clone(),
                limit: Some(RateLimit { rate: spec.rate, burst: spec.burst }),
                weight: spec.weight,
                rank: 0,
                refuse_isolated: spec.refuse_isolated,
                active: true,
            };
            let digests = spec.keys.iter().filter_map(|text| Digest::parse(text.get_ref()));
            (customer, digests.collect())
        });
        let routes = document.routes.iter().map(|(name, spec)| {
            let spec = spec.get_ref();
            let deadline = Duration::from_millis(spec.deadline_ms);
            let route = Route {
                name: name.clone(),
                host: None,
                path: spec.path.clone(),
                methods: spec.methods.iter().cloned().collect(),
                targets: Vec::new(),
                importance: spec.importance,
                idempotent: spec.idempotent,
                open: spec.open,
                deadline,
                objective: spec.objective_ms.map_or(deadline, Duration::from_millis),
                attempts: spec.retries + 1,
                retries: spec.retries,
            };
            (route, vec![(spec.service.clone(), 1)])
        });
        Self {
            limits: document.limits.clone(),
            domains: document.failure_domains.keys().cloned().collect(),
            services: services.collect(),
            customers: customers.collect(),
            routes: routes.collect(),
        }
    }
}

/// The prefixes of `path` that may stand in a route, the longest first: the path itself, and what ends
/// before or behind one of its slashes.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let ends =
        path.char_indices().rev().filter(|(_, c)| *c == '/').flat_map(|(at, _)| [at + 1, at]);
    let whole = std::iter::once(path.len());
    whole.chain(ends.filter(move |end| *end < path.len())).map(|end| &path[..end])
}
