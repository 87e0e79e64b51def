//! The operators' document: the fleet-wide configuration, in sections that teams own.
//!
//! [`Document`] is the deserialized TOML. [`Document::parse`] validates the whole document before any
//! of it is used, and every error names the line, the key and the remedy. [`Policy`] is the same
//! document compiled for look-ups while requests are served. docs/OPERATIONS.md, "The document",
//! describes every key.

mod check;
mod explain;
mod policy;
mod sections;
mod validate;

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

/// One version of a document before it is parsed, in the format in which it was published.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RawDocument {
    /// The document's version.
    pub version: u64,
    /// The unparsed content.
    pub bytes: Bytes,
}

/// The whole document in the TOML format that operators write.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The team that owns each section, by section name.
    pub owners: BTreeMap<String, Spanned<String>>,
    /// The customers by name.
    pub customers: BTreeMap<String, Spanned<CustomerSpec>>,
    /// The routes by name.
    pub routes: BTreeMap<String, Spanned<RouteSpec>>,
    /// The services by name.
    pub services: BTreeMap<String, Spanned<ServiceSpec>>,
    /// The failure domains by name.
    pub failure_domains: BTreeMap<String, Spanned<DomainSpec>>,
    /// Limits that apply to every VM.
    #[serde(default)]
    pub limits: LimitSpec,
}

impl Document {
    /// Parses and validates a whole document. Error messages name `origin` as the source of the text.
    ///
    /// # Errors
    ///
    /// Returns the first error found, with its line, key and remedy.
    pub fn parse(text: &str, origin: &str) -> Result<Self> {
        Ok(check::parse(text, origin)?)
    }
}

/// The entry of one customer.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// Sustained rate limit in requests per second, summed over all VMs.
    pub rate: f64,
    /// Maximum number of requests accepted at once, summed over all VMs.
    pub burst: f64,
    /// Scheduling weight relative to other customers while requests are queued.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Digests of the customer's API keys, each `blake3:` followed by 64 hexadecimal digits.
    pub keys: Vec<Spanned<String>>,
    /// Whether a failure domain without contact to the others refuses this customer immediately.
    #[serde(default)]
    pub refuse_isolated: bool,
}

/// The entry of one route.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// The path prefix that the route matches; of several routes, the one with the longest prefix
    /// applies.
    pub path: String,
    /// The HTTP methods that the route matches; all when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The service that handles the requests.
    pub service: String,
    /// The importance of its requests, which decides what is shed first.
    pub importance: Importance,
    /// Whether running a request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Whether callers need no API key.
    #[serde(default)]
    pub open: bool,
    /// Time from the arrival of a request to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Latency objective: the time within which an answer has its full value to the caller, in
    /// milliseconds. Defaults to the deadline.
    #[serde(default)]
    pub objective_ms: Option<u64>,
    /// Retry budget of one request, shared by its whole call tree.
    #[serde(default = "default_retries")]
    pub retries: u32,
}

/// The entry of one service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Maximum ratio of retries to requests. See [`crate::allowance`].
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// VMs whose backend server is retired: it receives no new requests.
    #[serde(default)]
    pub retired: Vec<String>,
    /// Time in which a new instance ramps up to its full share of requests, in seconds.
    #[serde(default = "default_ramp_s")]
    pub ramp_s: u64,
}

/// The entry of one failure domain.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// The region that contains the failure domain.
    pub region: String,
}

/// Limits that apply to every VM.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSpec {
    /// Maximum queue wait, in milliseconds.
    pub queue_ms: u64,
    /// How long a failure domain without contact to the others continues to serve requests that carry
    /// an API key, in seconds.
    pub isolation_s: u64,
    /// How long the answers of non-idempotent requests are kept, in seconds.
    pub claim_s: u64,
    /// Maximum size of a request body, in bytes.
    pub request_bytes: u64,
    /// Maximum size of an answer body, in bytes.
    pub answer_bytes: u64,
    /// Maximum fraction of a backend server's slots that may be held by requests waiting for downstream
    /// calls to one service.
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

/// The importance of a route's requests. Variants are ordered from the last to be shed to the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Importance {
    /// Shed last, such as safety look-ups and issuances.
    Critical,
    /// Requests that users are waiting for.
    High,
    /// Requests without special needs.
    Normal,
    /// Shed first, such as reports and batch jobs.
    Low,
}

impl Importance {
    /// All levels, the most important first.
    pub const ALL: [Self; 4] = [Self::Critical, Self::High, Self::Normal, Self::Low];

    /// Returns the name used in the document.
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

const fn default_weight() -> u32 {
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
