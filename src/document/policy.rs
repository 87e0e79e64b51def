//! The document compiled for the path of a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

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
    /// Requests a second over the fleet; zero once the customer is no longer in the document.
    pub rate: f64,
    /// Requests at once over the fleet.
    pub burst: f64,
    /// Weight in a queue.
    pub weight: u32,
    /// Whether a failure domain that is cut off refuses it at once.
    pub refuse_isolated: bool,
}

/// A route, ready for the path of a request.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name in the document.
    pub name: String,
    /// The path prefix.
    pub path: String,
    /// The methods; all when empty.
    pub methods: BTreeSet<String>,
    /// The service that runs it.
    pub service: ServiceId,
    /// How important it is.
    pub importance: Importance,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it needs no key.
    pub open: bool,
    /// The whole time that a request has.
    pub deadline: Duration,
    /// Retries over the call tree.
    pub retries: u32,
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
    keys: BTreeMap<Digest, CustomerId>,
    customer_names: BTreeMap<String, CustomerId>,
    service_names: BTreeMap<String, ServiceId>,
}

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
            keys: BTreeMap::new(),
            customer_names: BTreeMap::new(),
            service_names: BTreeMap::new(),
        }
    }

    /// Compiles `document` as `version`, keeping the arena keys that `previous` gave out.
    pub fn compile(document: &Document, version: u64, previous: &Self) -> Self {
        let mut policy = Self {
            version,
            limits: document.limits.clone(),
            domains: document.failure_domains.keys().cloned().collect(),
            routes: Vec::new(),
            keys: BTreeMap::new(),
            ..previous.clone()
        };
        policy.compile_services(document);
        policy.compile_customers(document);
        policy.compile_routes(document);
        policy
    }

    fn compile_services(&mut self, document: &Document) {
        for (name, spec) in &document.services {
            let spec = spec.get_ref();
            let service = Service {
                name: name.clone(),
                retry_ratio: spec.retry_ratio,
                retired: spec.retired.iter().cloned().collect(),
                ramp: Duration::from_secs(spec.ramp_s),
            };
            match self.service_names.get(name) {
                Some(id) => self.services[id.index()] = service,
                None => {
                    self.service_names.insert(name.clone(), ServiceId(self.services.len() as u32));
                    self.services.push(service);
                }
            }
        }
    }

    fn compile_customers(&mut self, document: &Document) {
        for customer in &mut self.customers {
            customer.rate = 0.0;
            customer.burst = 0.0;
        }
        for (name, spec) in &document.customers {
            let spec = spec.get_ref();
            let customer = Customer {
                name: name.clone(),
                rate: spec.rate,
                burst: spec.burst,
                weight: spec.weight,
                refuse_isolated: spec.refuse_isolated,
            };
            let next = CustomerId(self.customers.len() as u32);
            let id = *self.customer_names.entry(name.clone()).or_insert(next);
            match self.customers.get_mut(id.index()) {
                Some(place) => *place = customer,
                None => self.customers.push(customer),
            }
            let digests = spec.keys.iter().filter_map(|text| Digest::parse(text.get_ref()));
            self.keys.extend(digests.map(|digest| (digest, id)));
        }
    }

    fn compile_routes(&mut self, document: &Document) {
        for (name, spec) in &document.routes {
            let spec = spec.get_ref();
            let Some(&service) = self.service_names.get(&spec.service) else { continue };
            self.routes.push(Route {
                name: name.clone(),
                path: spec.path.clone(),
                methods: spec.methods.iter().cloned().collect(),
                service,
                importance: spec.importance,
                idempotent: spec.idempotent,
                open: spec.open,
                deadline: Duration::from_millis(spec.deadline_ms),
                retries: spec.retries,
            });
        }
        self.routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    }

    /// The customer that a key's digest belongs to.
    pub fn authenticate(&self, digest: &Digest) -> Option<CustomerId> {
        self.keys.get(digest).copied()
    }

    /// The route with the longest path that matches.
    pub fn route(&self, method: &str, path: &str) -> Option<RouteId> {
        let matches = |route: &Route| {
            is_below(path, &route.path)
                && (route.methods.is_empty() || route.methods.contains(method))
        };
        self.routes.iter().position(matches).map(|index| RouteId(index as u32))
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

    /// All routes, those with longer paths first.
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

    /// Customers with their keys, those without a rate left out.
    pub fn customers(&self) -> impl Iterator<Item = (CustomerId, &Customer)> {
        let all = self.customers.iter().enumerate();
        all.map(|(at, customer)| (CustomerId(at as u32), customer)).filter(|(_, c)| c.rate > 0.0)
    }
}

/// Whether `path` is `prefix` or stands below it, by whole segments.
fn is_below(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
