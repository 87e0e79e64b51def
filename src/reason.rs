//! Why a request was refused, shed or made to wait.
//!
//! One enum feeds the answer's headers, the log line, the metric label and `gypsumtack why`, so that
//! staff read the same words everywhere. Every kind carries the numbers that decided it, and its
//! message names the remedy. See docs/OPERATIONS.md, "Reasons".

use std::fmt;
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// What is known about whether a backend server ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and its whole answer is here.
    Ran,
    /// No byte of the request reached a backend server.
    NotRun,
    /// The request reached a backend server and its answer was lost.
    Unknown,
}

impl Outcome {
    /// The word that stands in the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The deciding cause of a refusal, with the numbers that decided it. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The route needs a key and none was sent.
    MissingKey,
    /// The key's digest is in no customer's list, or was withdrawn.
    UnknownKey,
    /// No route of the document matches the path.
    UnknownRoute {
        /// The path that was asked for, cut to a readable length.
        path: String,
    },
    /// A call on came without the token of a live request.
    UnknownToken,
    /// No document is in force yet.
    NoDocument,
    /// The customer is over its rate and burst.
    OverRate {
        /// The customer's rate over the whole fleet, in requests a second.
        rate: f64,
        /// Milliseconds until this VM expects a token.
        wait_ms: u64,
    },
    /// The predicted wait leaves too little of the deadline.
    QueueDelay {
        /// Predicted wait and service time.
        wait_ms: u64,
        /// What was left of the deadline.
        time_left_ms: u64,
    },
    /// More important work, or another customer's due, took the place in the queue.
    Displaced {
        /// How many requests waited.
        queued: u64,
        /// How many slots the backend server has.
        slots: u64,
    },
    /// A service on this route's path is overloaded.
    Overloaded {
        /// Share of such requests that is refused, in percent.
        refused_pct: u64,
        /// Milliseconds after which coming back makes sense.
        wait_ms: u64,
    },
    /// The deadline passed.
    DeadlinePassed {
        /// The whole time that the request had.
        deadline_ms: u64,
    },
    /// No instance of the service can take the request.
    NoInstance {
        /// The service without an instance.
        service: String,
        /// How many instances are known, whatever their state.
        known: u64,
    },
    /// The backend server beside this daemon has not announced itself, or is leaving.
    NotReady,
    /// This VM is stopping.
    Leaving,
    /// Requests that wait on one service hold as many slots as they may.
    ServiceBound {
        /// The service that they wait on.
        service: String,
        /// Calls in flight to it.
        in_flight: u64,
        /// The bound on them.
        limit: u64,
    },
    /// The idempotency key that this route requires is missing.
    MissingIdempotencyKey,
    /// The idempotency key was used with another request.
    IdempotencyMismatch,
    /// The claim could not be made in time, because the table did not answer.
    ClaimUnavailable,
    /// An earlier request with this idempotency key has an unknown outcome.
    ClaimUnknown,
    /// An earlier request with this idempotency key is still running.
    ClaimPending,
    /// The request is malformed or larger than its limit.
    BadRequest {
        /// What is wrong, and the limit that it breaks.
        problem: String,
    },
    /// This failure domain was cut off for longer than the document allows.
    Isolated {
        /// How long it has been cut off, in seconds.
        seconds: u64,
    },
    /// The backend server itself refused the request, and says that it did not run it.
    Shed {
        /// The status of its answer.
        status: u16,
    },
    /// The backend server refuses everything lately, and this request was kept away from it.
    Shedding,
    /// The instance's connection failed or its answer was incomplete.
    BadAnswer {
        /// What was wrong with it.
        problem: String,
    },
    /// The request crashed backend servers and is refused for a time.
    Quarantined {
        /// Seconds until it may run again.
        seconds: u64,
    },
    /// The backend server died while it ran the request.
    Crashed,
    /// Another request that may have crashed a backend server runs on this VM.
    SuspectRuns,
    /// As many connections are open as the settings allow.
    TooManyConnections {
        /// The limit.
        limit: u64,
    },
}

impl Reason {
    /// The short, stable word for headers, logs and metric labels.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::MissingKey => "missing-key",
            Self::UnknownKey => "unknown-key",
            Self::UnknownRoute { .. } => "unknown-route",
            Self::UnknownToken => "unknown-token",
            Self::NoDocument => "no-document",
            Self::OverRate { .. } => "over-rate",
            Self::QueueDelay { .. } => "queue-delay",
            Self::Displaced { .. } => "displaced",
            Self::Overloaded { .. } => "overloaded",
            Self::DeadlinePassed { .. } => "deadline-passed",
            Self::NoInstance { .. } => "no-instance",
            Self::NotReady => "not-ready",
            Self::Leaving => "leaving",
            Self::ServiceBound { .. } => "service-bound",
            Self::MissingIdempotencyKey => "missing-idempotency-key",
            Self::IdempotencyMismatch => "idempotency-mismatch",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::ClaimUnknown => "claim-unknown",
            Self::ClaimPending => "claim-pending",
            Self::BadRequest { .. } => "bad-request",
            Self::Isolated { .. } => "isolated",
            Self::Shed { .. } => "shed",
            Self::Shedding => "shedding",
            Self::BadAnswer { .. } => "bad-answer",
            Self::Quarantined { .. } => "quarantined",
            Self::Crashed => "crashed",
            Self::SuspectRuns => "suspect-runs",
            Self::TooManyConnections { .. } => "too-many-connections",
        }
    }

    /// The HTTP status that the caller gets. Only a request that reached no backend server may be told that
    /// it may simply come again, and it is never told that a backend server failed.
    pub const fn status(&self, outcome: Outcome) -> StatusCode {
        match (self.usual_status(), outcome) {
            (StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT, Outcome::NotRun) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (StatusCode::SERVICE_UNAVAILABLE, Outcome::Unknown) => StatusCode::BAD_GATEWAY,
            (status, _) => status,
        }
    }

    const fn usual_status(&self) -> StatusCode {
        match self {
            Self::MissingKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownToken => StatusCode::FORBIDDEN,
            Self::UnknownRoute { .. } => StatusCode::NOT_FOUND,
            Self::OverRate { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::MissingIdempotencyKey | Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::IdempotencyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::ClaimUnknown | Self::ClaimPending => StatusCode::CONFLICT,
            Self::DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::BadAnswer { .. } | Self::Crashed => StatusCode::BAD_GATEWAY,
            Self::NoDocument
            | Self::QueueDelay { .. }
            | Self::Displaced { .. }
            | Self::Overloaded { .. }
            | Self::NoInstance { .. }
            | Self::NotReady
            | Self::Leaving
            | Self::ServiceBound { .. }
            | Self::ClaimUnavailable
            | Self::Isolated { .. }
            | Self::Shed { .. }
            | Self::Shedding
            | Self::Quarantined { .. }
            | Self::SuspectRuns
            | Self::TooManyConnections { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When the caller may come back, or `None` when the same request would be refused again.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::OverRate { wait_ms, .. }
            | Self::QueueDelay { wait_ms, .. }
            | Self::Overloaded { wait_ms, .. } => Some(Duration::from_millis(*wait_ms)),
            Self::Quarantined { seconds } => Some(Duration::from_secs(*seconds)),
            Self::NoDocument
            | Self::Displaced { .. }
            | Self::NoInstance { .. }
            | Self::NotReady
            | Self::Leaving
            | Self::ServiceBound { .. }
            | Self::ClaimUnavailable
            | Self::ClaimPending
            | Self::DeadlinePassed { .. }
            | Self::Shed { .. }
            | Self::Shedding
            | Self::BadAnswer { .. }
            | Self::Crashed
            | Self::SuspectRuns
            | Self::TooManyConnections { .. } => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// Whether the same request could succeed on another instance at once.
    pub const fn is_instance_specific(&self) -> bool {
        self.is_turned_away()
            || matches!(
                self,
                Self::Shed { .. } | Self::BadAnswer { .. } | Self::Crashed | Self::SuspectRuns
            )
    }

    /// Whether the daemon beside an instance refused, before its backend server could see the request.
    pub const fn is_turned_away(&self) -> bool {
        matches!(
            self,
            Self::QueueDelay { .. }
                | Self::Displaced { .. }
                | Self::NotReady
                | Self::Leaving
                | Self::ServiceBound { .. }
                | Self::Shedding
                | Self::TooManyConnections { .. }
        )
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingKey => {
                write!(f, "no key was sent; send the customer's key in the x-api-key header")
            }
            Self::UnknownKey => {
                write!(f, "the key is not granted to any customer; ask the customers' team for one")
            }
            Self::UnknownRoute { path } => {
                write!(f, "no route matches {path}; see `gypsumtack show --section routes`")
            }
            Self::UnknownToken => write!(
                f,
                "no live request has this token; send on the x-request-token header that came in"
            ),
            Self::NoDocument => {
                write!(f, "no document is in force on this VM; apply one with `gypsumtack apply`")
            }
            Self::OverRate { rate, wait_ms } => write!(
                f,
                "the customer is over its rate of {rate}/s and its burst; come back in {wait_ms} ms"
            ),
            Self::QueueDelay { wait_ms, time_left_ms } => write!(
                f,
                "the wait would be {wait_ms} ms and {time_left_ms} ms of the deadline are left; come back \
                 later or allow more time"
            ),
            Self::Displaced { queued, slots } => write!(
                f,
                "{queued} requests wait for {slots} slots and this one is the least important; \
                 come back later"
            ),
            Self::Overloaded { refused_pct, wait_ms } => write!(
                f,
                "a service on the way is overloaded and {refused_pct}% of such requests are refused; come \
                 back in {wait_ms} ms"
            ),
            Self::DeadlinePassed { deadline_ms } => {
                write!(f, "the {deadline_ms} ms that the request had are over; allow more time")
            }
            Self::NoInstance { service, known } => write!(
                f,
                "none of {known} instances of service {service} takes new work; see `gypsumtack \
                 status`"
            ),
            Self::NotReady => write!(
                f,
                "the backend server has not announced itself as ready; it must POST to /announce"
            ),
            Self::Leaving => write!(f, "this VM is stopping; connect to another VM"),
            Self::ServiceBound { service, in_flight, limit } => write!(
                f,
                "{in_flight} calls wait on service {service} and at most {limit} may; come back later"
            ),
            Self::MissingIdempotencyKey => write!(
                f,
                "this route is not idempotent; send an idempotency-key header that is new for \
                 each operation"
            ),
            Self::IdempotencyMismatch => write!(
                f,
                "the idempotency key was used with another body; use a new key for a new operation"
            ),
            Self::ClaimUnavailable => write!(
                f,
                "the table did not record the claim in time; send the same request again later"
            ),
            Self::ClaimUnknown => write!(
                f,
                "the outcome of the first request with this idempotency key is unknown; an \
                 operator must settle it with `gypsumtack settle`"
            ),
            Self::ClaimPending => write!(
                f,
                "the first request with this idempotency key is still running; ask again later"
            ),
            Self::BadRequest { problem } => write!(f, "{problem}"),
            Self::Isolated { seconds } => write!(
                f,
                "this failure domain has been cut off for {seconds} s, longer than \
                 limits.isolation_s; connect to another failure domain"
            ),
            Self::Shed { status } => write!(
                f,
                "the backend server answered {status} and did not run the request; come back later"
            ),
            Self::Shedding => write!(
                f,
                "the backend server refuses everything lately, and only a few requests try it; come back \
                 later and look at its own log"
            ),
            Self::BadAnswer { problem } => write!(f, "{problem}; look at the instance's own log"),
            Self::Quarantined { seconds } => write!(
                f,
                "this request crashed backend servers and is refused for {seconds} s more; mend \
                 it before sending it again"
            ),
            Self::Crashed => write!(
                f,
                "the backend server died while it ran the request; look at its own log before \
                 sending the request again"
            ),
            Self::SuspectRuns => write!(
                f,
                "another request that may have crashed a backend server runs on this VM; come \
                 back later"
            ),
            Self::TooManyConnections { limit } => write!(
                f,
                "{limit} connections are open, as many as limits in the settings allow; reuse \
                 connections or connect to another VM"
            ),
        }
    }
}
