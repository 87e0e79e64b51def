//! The HTTP headers between callers, daemons and backend servers.
//!
//! gypsumtack has a dialect of its own. An adapter for a platform describes the headers of that
//! platform instead. Code that handles requests takes the names of these headers only from here.

use std::time::Duration;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::envelope::RequestId;
use crate::message;
use crate::reason::Reason;

/// The names and conventions of the headers. An optional header that is `None` is not used in the
/// dialect.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The customer's API key, from callers only.
    pub key: HeaderName,
    /// Whether a key is also accepted as a bearer token.
    pub bearer: bool,
    /// The request id, in requests to backend servers and in every answer.
    pub request_id: HeaderName,
    /// Whether callers choose the request ids. Otherwise the entry generates them.
    pub caller_chosen_ids: bool,
    /// Whether backend servers return the request id in their answers.
    pub echoes_id: bool,
    /// The time left until the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// The token of a request in flight, sent to the local backend server and returned in its
    /// downstream calls. Without it, downstream calls are handled like requests of any other caller.
    pub token: Option<HeaderName>,
    /// The customer's name, for backend servers.
    pub customer: Option<HeaderName>,
    /// The service of the VM whose daemon is the request's entry, for backend servers.
    pub caller_service: Option<HeaderName>,
    /// The id of the intended instance. Another instance at the same address must refuse the request.
    pub instance: Option<HeaderName>,
    /// Present in a backend server's answer if it did not run the request.
    pub not_run: Option<HeaderName>,
    /// Present in every answer of a backend server. An answer without it is not from a backend server.
    pub seal: Option<HeaderName>,
    /// The requests per second that a backend server takes from all VMs together, in its answers for as
    /// long as the limit holds.
    pub limit: Option<HeaderName>,
    /// `1` in the answers of a backend server that is leaving.
    pub leaving: Option<HeaderName>,
    /// The caller's idempotency key. Without it, each request is an operation of its own and needs no
    /// claim.
    pub idempotency_key: Option<HeaderName>,
    /// Whether answers carry the outcome and a text for the reason, in addition to the reason's code.
    pub sends_outcome: bool,
    /// Whether `retry-after` may have fractions of a second.
    pub fractional_seconds: bool,
}

impl Dialect {
    /// Returns the dialect of gypsumtack itself.
    pub fn own() -> Self {
        Self {
            key: message::API_KEY,
            bearer: true,
            request_id: message::REQUEST_ID,
            caller_chosen_ids: false,
            echoes_id: false,
            deadline: message::DEADLINE,
            token: Some(message::REQUEST_TOKEN),
            customer: None,
            caller_service: None,
            instance: None,
            not_run: None,
            seal: None,
            limit: Some(message::BACKEND_LIMIT),
            leaving: Some(message::BACKEND_LEAVING),
            idempotency_key: Some(message::IDEMPOTENCY_KEY),
            sends_outcome: true,
            fractional_seconds: false,
        }
    }

    /// Returns the id of a request: the one that its caller chose, or a new one if the dialect leaves that to
    /// the entry.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadRequest`] if the caller has to choose an id, and sent none, several, or one that is
    /// empty, too long or not printable. An id that the entry made up would stand for no request of a caller.
    pub fn read_request_id(&self, headers: &HeaderMap) -> Result<RequestId, Reason> {
        if !self.caller_chosen_ids {
            return Ok(RequestId::random(&mut rand::rng()));
        }
        let mut values = headers.get_all(&self.request_id).iter();
        let id = values.next().and_then(RequestId::from_header);
        id.filter(|_| values.next().is_none()).ok_or_else(|| Reason::BadRequest {
            problem: format!("exactly one valid {} header is needed", self.request_id),
        })
    }

    /// Returns the id for the refusal of a request whose own id is not known.
    pub fn refusal_id(&self) -> RequestId {
        if self.caller_chosen_ids { RequestId::NONE } else { RequestId::random(&mut rand::rng()) }
    }

    /// Returns the value of `retry-after` for `span`: whole seconds, rounded up and at least 1, unless
    /// the dialect allows fractions.
    pub fn retry_after(&self, span: Duration) -> HeaderValue {
        if !self.fractional_seconds {
            let seconds = span.as_millis().div_ceil(1_000).max(1);
            return HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        }
        message::header_value(&format!("{:.3}", span.as_secs_f64()))
    }

    /// Returns the headers that are not passed on: those that concern a single connection, and those
    /// that only a daemon may set or read.
    pub fn stripped_headers(&self) -> Vec<HeaderName> {
        let mut names = vec![
            CONNECTION,
            CONTENT_LENGTH,
            EXPECT,
            PROXY_AUTHENTICATE,
            PROXY_AUTHORIZATION,
            TE,
            TRAILER,
            TRANSFER_ENCODING,
            UPGRADE,
            HeaderName::from_static("keep-alive"),
            self.key.clone(),
            self.request_id.clone(),
            self.deadline.clone(),
            message::OUTCOME,
            message::REASON,
            message::REASON_DETAIL,
        ];
        if self.bearer {
            names.push(AUTHORIZATION);
        }
        let optional =
            [&self.token, &self.customer, &self.caller_service, &self.instance, &self.not_run];
        names.extend(optional.into_iter().flatten().cloned());
        names
    }
}
