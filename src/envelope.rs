//! What daemons tell each other about a request and its answer.
//!
//! Both go over links whose ends have proved that they know the fleet key, so that neither a caller nor a
//! backend server can forge a customer, an importance or a `not-run`. docs/DESIGN.md, "Envelope", lists
//! what was weighed.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::document::Importance;
use crate::reason::{Outcome, Reason};

/// The longest name of a request, in bytes.
const LONGEST_NAME: usize = 128;

/// Names one request through all its hops.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(Bytes);

impl RequestId {
    /// Draws a new name.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(format!("{:032x}", rng.random::<u128>()).into())
    }

    /// Takes the name that a caller gave; `None` when it is empty, too long or not printable.
    pub fn from_header(name: &HeaderValue) -> Option<Self> {
        let bytes = name.as_bytes();
        let fits = (1..=LONGEST_NAME).contains(&bytes.len()) && name.to_str().is_ok();
        fits.then(|| Self(Bytes::copy_from_slice(bytes)))
    }

    /// Reads a name that staff typed: 16 to 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        ((16..=64).contains(&text.len()) && digits)
            .then(|| Self(Bytes::copy_from_slice(text.as_bytes())))
    }

    /// The name as a header's value.
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

/// Lets a backend server call on for the request that it runs; only the local daemon knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Token(u128);

impl Token {
    /// Draws a new token, unguessable when `rng` is.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    /// Reads the form that stands in headers: 32 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        digits.then(|| u128::from_str_radix(text, 16).ok().map(Self)).flatten()
    }

    /// The lowest bits, for dividing tokens between places.
    pub const fn low_bits(self) -> usize {
        self.0 as usize
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What goes with a request from daemon to daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The request's name.
    pub request: RequestId,
    /// The customer that it runs for; `None` on a route open to all.
    pub customer: Option<String>,
    /// The route at which it entered.
    pub route: String,
    /// The importance of that route.
    pub importance: Importance,
    /// What is left of the deadline, in microseconds.
    pub time_left_us: u64,
    /// The whole time that the request had, in milliseconds.
    pub deadline_ms: u64,
    /// Retries that this attempt and all below it may spend.
    pub retry_budget: u32,
    /// Hops behind the request; 0 on its way from the entry.
    pub hops: u32,
    /// The service of the VM at which it entered; empty when none had announced itself there.
    pub caller: String,
    /// The service that is to run it.
    pub service: String,
    /// Within which time its answer is worth most, in milliseconds from its entry.
    pub objective_ms: u32,
    /// Whether the sender wants to know where the request leads; see [`ReachedService`].
    pub wants_reached: bool,
    /// Whether a backend server died under it before; see [`crate::quarantine`].
    pub suspect: bool,
    /// Whether a claim makes sure that the request runs at most once.
    pub claimed: bool,
}

/// The load of one instance when it answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Slots in use at most.
    pub slots: u32,
    /// How long a request holds a slot on average, in microseconds.
    pub mean_us: u32,
}

/// What goes with an answer from daemon to daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The request that this answers.
    pub request: RequestId,
    /// Whether a backend server ran it.
    pub outcome: Outcome,
    /// Retries that were spent of the envelope's allowance.
    pub spent: u32,
    /// The answering instance's load.
    pub load: Load,
    /// Why it was refused.
    pub reason: Option<Reason>,
    /// Services that such a request reaches, if the asker was curious.
    pub reach: Vec<ReachedService>,
    /// Where the request spent its time beside the backend server.
    pub stay: Stay,
}

impl Report {
    /// The report about a request, before anything is known of load and reach.
    pub fn new(request: RequestId, outcome: Outcome, reason: Option<Reason>) -> Self {
        Self {
            request,
            outcome,
            spent: 0,
            load: Load::default(),
            reason,
            reach: Vec::new(),
            stay: Stay::default(),
        }
    }
}

/// Where a request spent its time beside the backend server that answered it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Stay {
    /// How long it waited for a slot, in microseconds.
    pub waited_us: u32,
    /// How long it held one, in microseconds.
    pub held_us: u32,
}

impl Stay {
    /// Makes it from both spans.
    pub fn new(waited: Duration, held: Duration) -> Self {
        let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
        Self { waited_us: micros(waited), held_us: micros(held) }
    }
}

/// A service that a request reaches, and what it costs there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReachedService {
    /// The service's name.
    pub service: String,
    /// For how long such a request holds slots there, its calls included, in milliseconds.
    pub work_ms: f32,
}
