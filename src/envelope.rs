//! Metadata that daemons send each other with a request ([`Envelope`]) and with its answer ([`Report`]).
//!
//! Both travel only over connections whose ends have proved that they know the fleet key, so neither a
//! caller nor a backend server can forge a customer, an importance or a `not-run`. docs/DESIGN.md,
//! "Envelope", lists the alternatives that were considered.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::document::Importance;
use crate::held_bodies::HeldBody;
use crate::reason::{Outcome, Reason};

/// Maximum length of a request id that a caller chooses.
const MAX_ID_BYTES: usize = 128;

/// Identifies one request on all its hops.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(Bytes);

impl RequestId {
    /// Stands for the id of a request that has none, or whose id is not known. Answers do not name it.
    pub const NONE: Self = Self(Bytes::new());

    /// Generates a random request id of 32 hexadecimal digits.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(format!("{:032x}", rng.random::<u128>()).into())
    }

    /// Accepts a request id from a header that the caller sent; `None` if the value is empty, too long
    /// or not printable.
    pub fn from_header(value: &HeaderValue) -> Option<Self> {
        let bytes = value.as_bytes();
        let valid = (1..=MAX_ID_BYTES).contains(&bytes.len()) && value.to_str().is_ok();
        valid.then(|| Self(Bytes::copy_from_slice(bytes)))
    }

    /// Parses a request id that an operator typed: 16 to 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        ((16..=64).contains(&text.len()) && digits)
            .then(|| Self(Bytes::copy_from_slice(text.as_bytes())))
    }

    /// Returns the request id as a header value.
    pub fn to_header(&self) -> HeaderValue {
        HeaderValue::from_maybe_shared(self.0.clone())
            .unwrap_or_else(|_| HeaderValue::from_static("?"))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&String::from_utf8_lossy(&self.0))
    }
}

/// A random 128-bit token.
///
/// With each request, the local daemon sends its backend server a token. The backend server returns it
/// in the downstream calls that it makes for that request; no other daemon knows it. Claims and
/// document changes are identified by tokens as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token(u128);

impl Token {
    /// Generates a token, which cannot be guessed if the output of `rng` cannot be.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    /// Parses the form used in headers: 32 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        digits.then(|| u128::from_str_radix(text, 16).ok().map(Self)).flatten()
    }

    /// Returns the lowest bits, for distributing tokens over shards.
    pub const fn low_bits(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Metadata that a daemon sends to another with a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The request id.
    pub request: RequestId,
    /// The customer that sent the request; `None` for a caller without a key on an open route.
    pub customer: Option<String>,
    /// The route on which the request entered.
    pub route: String,
    /// The importance of that route.
    pub importance: Importance,
    /// Time left until the deadline, in microseconds.
    pub time_left_us: u64,
    /// Deadline of the route on which the request entered, in milliseconds from its entry.
    pub deadline_ms: u64,
    /// Maximum number of retries that this attempt and all downstream calls below it may use together.
    pub retry_budget: u32,
    /// Number of hops that the request has behind it; 0 when the entry sends it.
    pub hops: u32,
    /// The service of the VM on which the request entered; empty if no backend server had announced
    /// itself there.
    pub caller: String,
    /// The service that is to run the request.
    pub service: String,
    /// Latency objective of the route, in milliseconds from the entry.
    pub objective_ms: u32,
    /// Whether the report is to list the services that such requests reach; see [`ReachedService`].
    pub wants_reached: bool,
    /// Whether a backend server has crashed while running a request like this; see
    /// [`crate::quarantine`].
    pub suspect: bool,
    /// Whether a claim already ensures that the request runs at most once.
    pub claimed: bool,
}

/// Load of an instance at the time of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that hold a slot.
    pub in_flight: u32,
    /// Number of requests in the queue.
    pub queued: u32,
    /// Maximum number of slots in use.
    pub slots: u32,
    /// Mean time for which a request holds a slot, in microseconds.
    pub mean_us: u32,
}

/// Metadata that a daemon sends to another with an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the request that was answered.
    pub request: RequestId,
    /// Whether a backend server ran it.
    pub outcome: Outcome,
    /// Number of retries used of the envelope's retry budget.
    pub retries_used: u32,
    /// Load of the instance that answered.
    pub load: Load,
    /// Why the request was refused or failed; `None` for an answer of the backend server.
    pub reason: Option<Reason>,
    /// Services that such requests reach, if [`Envelope::wants_reached`] was set.
    pub reached: Vec<ReachedService>,
    /// Number of levels of calls below such requests, if it is known there. See [`crate::allowance`].
    pub levels: Option<u8>,
    /// Where the request spent its time at the instance.
    pub timing: RequestTiming,
    /// Whether the backend server said in its answer that it is leaving.
    pub leaving: bool,
    /// The body of the answer, if it is long and has to be fetched.
    pub held_body: Option<HeldBody>,
}

impl Report {
    /// Creates a report without load, reached services and timing.
    pub fn new(request: RequestId, outcome: Outcome, reason: Option<Reason>) -> Self {
        Self {
            request,
            outcome,
            retries_used: 0,
            load: Load::default(),
            reason,
            reached: Vec::new(),
            levels: None,
            timing: RequestTiming::default(),
            leaving: false,
            held_body: None,
        }
    }
}

/// Where a request spent its time at the instance that answered it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestTiming {
    /// Queue wait, in microseconds.
    pub queue_wait_us: u32,
    /// Time for which the request held a slot, in microseconds.
    pub service_us: u32,
}

impl RequestTiming {
    /// Converts both times to microseconds, at most `u32::MAX`.
    pub fn new(queue_wait: Duration, service_time: Duration) -> Self {
        let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
        Self { queue_wait_us: micros(queue_wait), service_us: micros(service_time) }
    }
}

/// A service that a request reaches, and the work that the request causes there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachedService {
    /// Name of the service.
    pub service: String,
    /// Total time for which such a request holds slots of that service, its downstream calls included,
    /// in milliseconds.
    pub work_ms: f32,
}
