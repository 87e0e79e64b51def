//! The reasons for which requests are refused or fail, and whether a request ran.
//!
//! The response headers, log lines, metric labels and `gypsumtack why` all use the codes and texts of
//! one enum, so that operators see the same terms everywhere. Each variant carries the values that led
//! to the decision, and its message names the remedy. See docs/OPERATIONS.md, "Reasons".

use std::fmt;
use std::time::Duration;

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether a backend server ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran the request and its complete answer was received.
    Ran,
    /// No byte of the request reached a backend server.
    NotRun,
    /// The request reached a backend server and its answer was lost.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Whether callers take a status as a promise that the request did not run and never will. They may then
/// send it again even if it must not run twice.
pub const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why a request was refused or failed, with the values that led to that.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The route requires an API key and none was sent.
    MissingKey,
    /// No customer has a key with this digest, or the key was withdrawn.
    UnknownKey,
    /// No route of the document matches the path.
    UnknownRoute {
        /// The requested path, truncated to a readable length.
        path: String,
    },
    /// A downstream call did not carry the token of a request in flight.
    UnknownToken,
    /// No document is in force yet.
    NoDocument,
    /// The customer exceeds its rate and burst.
    OverRate {
        /// The customer's rate limit for the whole fleet, in requests per second.
        rate: f64,
        /// Time until this VM expects to have a token.
        wait_ms: u64,
    },
    /// The request would not finish before its deadline because of the queue.
    QueueDelay {
        /// Predicted queue wait and service time.
        wait_ms: u64,
        /// Time left until the deadline.
        time_left_ms: u64,
    },
    /// A more important request, or one of a customer that is below its fair share, took its place in
    /// the queue.
    Displaced {
        /// Number of requests in the queue.
        queued: u64,
        /// Number of slots of the backend server.
        slots: u64,
    },
    /// A service that requests of this route reach is overloaded.
    Overloaded {
        /// Share of the customer's requests on this route that is refused.
        refused_pct: u64,
        /// Time after which a retry may succeed.
        wait_ms: u64,
    },
    /// The request did not finish before its deadline.
    DeadlinePassed {
        /// Time allowed for the whole request.
        deadline_ms: u64,
    },
    /// No instance of the service accepts the request.
    NoInstance {
        /// The service without an instance.
        service: String,
        /// Number of known instances, in any state.
        known: u64,
    },
    /// The local backend server has not announced itself, or is draining.
    NotReady,
    /// The daemon on this VM is shutting down.
    Leaving,
    /// Requests that wait for one service already hold the maximum number of slots.
    ServiceBound {
        /// The service that they wait for.
        service: String,
        /// Number of calls in flight to it.
        in_flight: u64,
        /// Maximum number of such calls.
        limit: u64,
    },
    /// The route requires an idempotency key and none was sent.
    MissingIdempotencyKey,
    /// The idempotency key was used before with a different request.
    IdempotencyMismatch,
    /// The idempotency key could not be claimed in time, because the store did not answer.
    ClaimUnavailable,
    /// An earlier request with this idempotency key has an unknown outcome.
    ClaimUnknown,
    /// An earlier request with this idempotency key is still running.
    ClaimPending,
    /// The request is malformed or larger than its limit.
    BadRequest {
        /// What is wrong, with the limit that was exceeded.
        problem: String,
    },
    /// The body of the request did not arrive in time.
    SlowBody {
        /// Time since the head of the request arrived.
        waited_ms: u64,
    },
    /// This failure domain has been isolated for longer than the document allows.
    Isolated {
        /// How long it has been isolated, in seconds.
        seconds: u64,
    },
    /// The backend server refused the request and reported that it did not run it.
    Shed {
        /// HTTP status of its answer.
        status: u16,
    },
    /// The backend server has refused its last requests, so this one was not sent to it.
    Shedding,
    /// The connection to an instance failed, or its answer was incomplete or invalid.
    BadAnswer {
        /// What failed.
        problem: String,
    },
    /// The backend server closed a kept connection instead of answering.
    Disconnected,
    /// The slot that was held for the request was given to another before it arrived.
    SlotExpired,
    /// The request crashed backend servers and is refused for some time.
    Quarantined {
        /// Time until it may run again, in seconds.
        seconds: u64,
    },
    /// The backend server crashed while it ran the request.
    Crashed,
    /// Another request that is suspected of crashing backend servers is running on this VM.
    SuspectRuns,
    /// The maximum number of open connections is reached.
    TooManyConnections {
        /// That maximum, from the settings.
        limit: u64,
    },
}

impl Reason {
    /// Short, stable code for headers, logs and metric labels.
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
            Self::SlowBody { .. } => "slow-body",
            Self::Isolated { .. } => "isolated",
            Self::Shed { .. } => "shed",
            Self::Shedding => "shedding",
            Self::BadAnswer { .. } => "bad-answer",
            Self::Disconnected => "disconnected",
            Self::SlotExpired => "slot-expired",
            Self::Quarantined { .. } => "quarantined",
            Self::Crashed => "crashed",
            Self::SuspectRuns => "suspect-runs",
            Self::TooManyConnections { .. } => "too-many-connections",
        }
    }

    /// HTTP status of the response to the caller.
    ///
    /// 502 and 504 become 503 if the request did not run, since they report a failed backend server. A
    /// status that [promises](promises_not_run) that becomes 502 if the request ran or may have.
    pub const fn status(&self, outcome: Outcome) -> StatusCode {
        match (self.default_status(), outcome) {
            (StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT, Outcome::NotRun) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            (status, Outcome::Unknown | Outcome::Ran) if promises_not_run(status) => {
                StatusCode::BAD_GATEWAY
            }
            (status, _) => status,
        }
    }

    const fn default_status(&self) -> StatusCode {
        match self {
            Self::MissingKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownToken => StatusCode::FORBIDDEN,
            Self::UnknownRoute { .. } => StatusCode::NOT_FOUND,
            Self::OverRate { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::MissingIdempotencyKey | Self::BadRequest { .. } => StatusCode::BAD_REQUEST,
            Self::SlowBody { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::IdempotencyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Self::ClaimUnknown | Self::ClaimPending => StatusCode::CONFLICT,
            Self::DeadlinePassed { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::BadAnswer { .. } | Self::Disconnected | Self::Crashed => StatusCode::BAD_GATEWAY,
            Self::NoDocument
            | Self::QueueDelay { .. }
            | Self::Displaced { .. }
            | Self::Overloaded { .. }
            | Self::NoInstance { .. }
            | Self::NotReady
            | Self::Leaving
            | Self::ServiceBound { .. }
            | Self::SlotExpired
            | Self::ClaimUnavailable
            | Self::Isolated { .. }
            | Self::Shed { .. }
            | Self::Shedding
            | Self::Quarantined { .. }
            | Self::SuspectRuns
            | Self::TooManyConnections { .. } => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Time after which the caller may retry, or `None` if the same request would be refused again.
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
            | Self::Disconnected
            | Self::SlotExpired
            | Self::Crashed
            | Self::SuspectRuns
            | Self::SlowBody { .. }
            | Self::TooManyConnections { .. } => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// Whether the reason concerns one instance only, so that another one may run the request at once.
    pub const fn is_instance_specific(&self) -> bool {
        self.is_turned_away()
            || matches!(
                self,
                Self::Shed { .. }
                    | Self::BadAnswer { .. }
                    | Self::Disconnected
                    | Self::Crashed
                    | Self::SuspectRuns
            )
    }

    /// Whether an instance refused the request because it had no room for it.
    pub const fn is_overload(&self) -> bool {
        matches!(
            self,
            Self::QueueDelay { .. } | Self::Displaced { .. } | Self::Shed { .. } | Self::Shedding
        )
    }

    /// Whether the instance's own daemon refused the request before it reached the backend server.
    pub const fn is_turned_away(&self) -> bool {
        matches!(
            self,
            Self::QueueDelay { .. }
                | Self::Displaced { .. }
                | Self::NotReady
                | Self::Leaving
                | Self::ServiceBound { .. }
                | Self::SlotExpired
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
            Self::SlowBody { waited_ms } => write!(
                f,
                "the body did not arrive within {waited_ms} ms and the request was not run; send it again \
                 over a faster connection"
            ),
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
            Self::SlotExpired => {
                write!(f, "the request reached the instance too late for its slot; come back later")
            }
            Self::Disconnected => write!(
                f,
                "the backend server closed a kept connection instead of answering; look at its log and at \
                 its idle time-out"
            ),
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
