//! The document compiled for look-ups while requests are served.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::{Document, Importance, LimitSpec};
use crate::key::Digest;

macro_rules! id_types {
    ($(#[$doc:meta] $name:ident),*) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u32);

        impl $name {
            /// Returns the index into the vector of the [`Policy`].
            pub const fn index(self) -> usize {
                self.0 as usize
            }

            /// Creates an id from an index.
            pub const fn new(index: u32) -> Self {
                Self(index)
            }
        }
    )*};
}

id_types! {
    /// Identifies a customer within one process; stable across document versions.
    CustomerId,
    /// Identifies a route within one [`Policy`] only.
    RouteId,
    /// Identifies a service within one process; stable across document versions.
    ServiceId
}

/// A customer of a compiled document.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its name in the document.
    pub name: String,
    /// Its fleet-wide rate limit; `None` when unlimited.
    pub limit: Option<RateLimit>,
    /// Scheduling weight relative to other customers while requests are queued.
    pub weight: u32,
    /// Its rank among customers; requests of the lowest rank are shed last.
    pub rank: u8,
    /// Whether a failure domain without contact to the others refuses this customer immediately.
    pub refuse_isolated: bool,
    /// Whether the document in force contains this customer.
    pub active: bool,
}

/// A rate limit summed over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Sustained rate, in requests per second.
    pub rate: f64,
    /// Maximum number of requests accepted at once.
    pub burst: f64,
}

/// A route of a compiled document.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name in the document.
    pub name: String,
    /// The host that it matches; `None` matches every host.
    pub host: Option<String>,
    /// The path prefix that it matches.
    pub path: String,
    /// The HTTP methods that it matches; all when empty.
    pub methods: BTreeSet<String>,
    /// The services that handle its requests and their weights; usually one.
    pub targets: Vec<Target>,
    /// The importance of its requests, which decides what is shed first.
    pub importance: Importance,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether callers need no API key.
    pub open: bool,
    /// Time from the arrival of a request to its deadline.
    pub deadline: Duration,
    /// Latency objective: the time within which an answer has its full value to the caller.
    pub objective: Duration,
    /// Maximum number of instances that one call may be sent to.
    pub attempts: u32,
    /// Retry budget of one request, shared by its whole call tree.
    pub retries: u32,
}

impl Route {
    /// Chooses the service of one request at random, in proportion to the weights. Returns `None` when
    /// there are no targets or all weights are 0.
    pub fn choose_service(&self, rng: &mut impl Rng) -> Option<ServiceId> {
        if let [only] = self.targets.as_slice() {
            return Some(only.service);
        }
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return None;
        }
        let mut offset = rng.random_range(0..total);
        for target in &self.targets {
            if offset < target.weight {
                return Some(target.service);
            }
            offset -= target.weight;
        }
        None
    }
}

/// A service that handles a part of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the route's other targets.
    pub weight: u32,
}

/// A service of a compiled document.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name in the document.
    pub name: String,
    /// Maximum ratio of retries to requests. See [`crate::allowance`].
    pub retry_ratio: f64,
    /// VMs whose backend server is retired: it receives no new requests.
    pub retired: BTreeSet<String>,
    /// Time in which a new instance ramps up to its full share of requests.
    pub ramp: Duration,
}

/// A policy in which references are still names, before [`Policy::build`] resolves them to ids. Each
/// document format converts to it.
#[derive(Debug, Clone, Default)]
pub struct UnresolvedPolicy {
    /// Limits that apply to every VM.
    pub limits: LimitSpec,
    /// The names of the fleet's failure domains.
    pub domains: BTreeSet<String>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers, each with the digests of its API keys.
    pub customers: Vec<(Customer, Vec<Digest>)>,
    /// All routes, each with the names and weights of the services that handle its requests.
    pub routes: Vec<(Route, Vec<(String, u32)>)>,
}

/// A whole compiled document. It is replaced as a unit, so that a request sees only one version.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The document's version; 0 before the first document.
    pub version: u64,
    /// Limits that apply to every VM.
    pub limits: LimitSpec,
    /// The names of the fleet's failure domains.
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

/// Routes by path prefix.
type Paths = BTreeMap<String, Vec<RouteId>>;

impl Policy {
    /// Creates the policy in force before the first document, without routes or API keys.
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

    /// Compiles `document` as `version`. Customers and services keep the ids assigned by `previous`.
    pub fn compile(document: &Document, version: u64, previous: &Self) -> Self {
        Self::build(UnresolvedPolicy::from(document), version, previous)
    }

    /// Compiles `unresolved` as `version`. Customers and services keep the ids assigned by `previous`.
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
                Some(slot) => *slot = service,
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
                Some(slot) => *slot = customer,
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

    /// Returns the customer that owns the API key with this digest.
    pub fn authenticate(&self, digest: &Digest) -> Option<CustomerId> {
        self.keys.get(digest).copied()
    }

    /// Returns the route with the longest matching path prefix. Routes of this host take precedence over
    /// routes that match every host.
    pub fn match_route(&self, host: &str, method: &str, path: &str) -> Option<RouteId> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host =
            self.hosts.get(host).and_then(|paths| self.longest_match(paths, method, path));
        of_host.or_else(|| self.longest_match(&self.any_host, method, path))
    }

    fn longest_match(&self, paths: &Paths, method: &str, path: &str) -> Option<RouteId> {
        let allows_method = |id: &&RouteId| {
            let methods = &self.routes[id.index()].methods;
            methods.is_empty() || methods.contains(method)
        };
        prefixes(path).find_map(|prefix| paths.get(prefix)?.iter().find(allows_method).copied())
    }

    /// Returns the customer with this id.
    pub fn customer(&self, id: CustomerId) -> &Customer {
        &self.customers[id.index()]
    }

    /// Returns all customers that have ids, including those that the document in force no longer has.
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// Returns the route with this id.
    pub fn route_at(&self, id: RouteId) -> &Route {
        &self.routes[id.index()]
    }

    /// Returns the service with this id.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.index()]
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns all services that have ids, including those that the document in force no longer has.
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the id of the customer with this name.
    pub fn customer_id(&self, name: &str) -> Option<CustomerId> {
        self.customer_names.get(name).copied()
    }

    /// Returns the id of the service with this name.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.service_names.get(name).copied()
    }

    /// Returns the number of customers that have ids, including those that the document in force no
    /// longer has.
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }

    /// Returns the customers of the document in force that have a rate limit, with their ids.
    pub fn rate_limited_customers(
        &self,
    ) -> impl Iterator<Item = (CustomerId, &Customer, RateLimit)> {
        let active = self.customers.iter().enumerate().filter(|(_, customer)| customer.active);
        active.filter_map(|(index, customer)| {
            Some((CustomerId(index as u32), customer, customer.limit?))
        })
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

/// Returns the prefixes of `path` that a route may match, the longest first: the path itself, and the
/// prefixes that end before or after one of its slashes.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let ends =
        path.char_indices().rev().filter(|(_, c)| *c == '/').flat_map(|(at, _)| [at + 1, at]);
    let whole = std::iter::once(path.len());
    whole.chain(ends.filter(move |end| *end < path.len())).map(|end| &path[..end])
}
