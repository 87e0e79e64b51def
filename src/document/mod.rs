//! The operators' document: what the system will do, in sections that teams own.
//!
//! [`Document`] is the TOML as written. [`Document::parse`] checks all of it before any of it is used,
//! and every mistake names its line, key and remedy. [`Policy`] is the same document compiled for the
//! path of a request. docs/OPERATIONS.md, "The document", describes every key.

mod check;
mod explain;
mod policy;
mod sections;

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toml::Spanned;

pub use self::explain::explain;
pub use self::policy::{
    Customer, CustomerId, Policy, RateLimit, Route, RouteId, Service, ServiceId, Target,
    UnresolvedPolicy,
};
pub use self::sections::{SECTIONS, Section, Sections, difference};
use crate::error::Result;

/// One version of a document as it was written, whatever its format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RawDocument {
    /// The version.
    pub version: u64,
    /// What was written.
    pub bytes: Bytes,
}

/// The whole document, as operators write it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The team that owns each section.
    pub owners: BTreeMap<String, Spanned<String>>,
    /// Customers, by name.
    pub customers: BTreeMap<String, Spanned<CustomerSpec>>,
    /// Routes, by name.
    pub routes: BTreeMap<String, Spanned<RouteSpec>>,
    /// Services, by name.
    pub services: BTreeMap<String, Spanned<ServiceSpec>>,
    /// Failure domains, by name.
    pub failure_domains: BTreeMap<String, Spanned<DomainSpec>>,
    /// Bounds that hold for the whole system.
    #[serde(default)]
    pub limits: LimitSpec,
}

impl Document {
    /// Parses and checks a whole document. `origin` stands in error messages.
    ///
    /// # Errors
    ///
    /// Returns the first mistake with its line, key and remedy.
    pub fn parse(text: &str, origin: &str) -> Result<Self> {
        Ok(check::parse(text, origin)?)
    }
}

/// One customer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Requests a second over all VMs together.
    pub rate: f64,
    /// Requests that may come at once, over all VMs together.
    pub burst: f64,
    /// Weight between customers when a queue forms.
    #[serde(default = "one")]
    pub weight: u32,
    /// Digests of the keys that are granted, each `blake3:` and 64 hexadecimal digits.
    pub keys: Vec<Spanned<String>>,
    /// Whether a failure domain that is cut off refuses this customer at once.
    #[serde(default)]
    pub refuse_isolated: bool,
}

/// One route.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The path prefix that the route matches; the longest match wins.
    pub path: String,
    /// The methods that it matches; all when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service that runs it.
    pub service: String,
    /// How important it is.
    pub importance: Importance,
    /// Whether running it twice is the same as running it once.
    pub idempotent: bool,
    /// Whether it is open to callers without a key.
    #[serde(default)]
    pub open: bool,
    /// The whole time that a request has, in milliseconds.
    pub deadline_ms: u64,
    /// Within which time an answer is worth most to its caller, in milliseconds; the whole deadline
    /// when left out.
    #[serde(default)]
    pub objective_ms: Option<u64>,
    /// Retries over the whole call tree of one request.
    #[serde(default = "default_retries")]
    pub retries: u32,
}

/// One service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Retries that may be added, as a fraction of successes.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// VMs whose backend server is retired: they get no new work.
    #[serde(default)]
    pub retired: Vec<String>,
    /// Seconds in which a new instance ramps up to its whole share.
    #[serde(default = "default_ramp_s")]
    pub ramp_s: u64,
}

/// One failure domain.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// The region that it belongs to.
    pub region: String,
}

/// Bounds that hold for the whole system.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSpec {
    /// The longest wait in a queue, in milliseconds.
    pub queue_ms: u64,
    /// Seconds for which a failure domain without any contact goes on serving keyed requests.
    pub isolation_s: u64,
    /// Seconds for which answers of non-idempotent requests are kept.
    pub claim_s: u64,
    /// The largest request body, in bytes.
    pub request_bytes: u64,
    /// The largest answer body, in bytes.
    pub answer_bytes: u64,
    /// Share of a backend server's slots that calls waiting on one other service may hold.
    pub waiting_share: f64,
}

impl Default for LimitSpec {
    fn default() -> Self {
        Self {
            queue_ms: 1_000,
            isolation_s: 600,
            claim_s: 86_400,
            request_bytes: 1 << 20,
            answer_bytes: 8 << 20,
            waiting_share: 0.8,
        }
    }
}

/// How important a route is. The order of the variants is the order in which work survives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Shed last: safety look-ups and issuances.
    Critical,
    /// People wait for it.
    High,
    /// The ordinary case.
    Normal,
    /// Shed first: reports and batch work.
    Low,
}

impl Importance {
    /// All of them, the most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Low];

    /// The word in the document.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Critical => "critical",
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

impl fmt::Display for Importance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

const fn one() -> u32 {
    1
}

const fn default_retries() -> u32 {
    2
}

const fn default_retry_ratio() -> f64 {
    0.1
}

const fn default_ramp_s() -> u64 {
    10
}
