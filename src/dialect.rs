//! The HTTP headers by which callers, daemons and backend servers understand each other.
//!
//! The product has its own dialect; an adapter for a platform describes that platform's instead. The
//! path of a request reads header names from here only.

use std::time::Duration;

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::envelope::RequestId;
use crate::message;

/// Which headers carry what. A header that is `None` does not exist in the dialect.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The customer's key, from callers only.
    pub key: HeaderName,
    /// Whether a key may also come as a bearer token.
    pub bearer: bool,
    /// The request's name, in requests to backend servers and in every answer.
    pub request_id: HeaderName,
    /// Whether callers name their requests; otherwise the entry draws a name.
    pub caller_chosen_ids: bool,
    /// What is left of the deadline, in milliseconds.
    pub deadline: HeaderName,
    /// The token of the live request, to and from the local backend server. Without it, calls of the
    /// backend server enter like those of any caller.
    pub token: Option<HeaderName>,
    /// The customer's name, for backend servers.
    pub customer: Option<HeaderName>,
    /// The service of the VM at which a request entered, for backend servers.
    pub caller_service: Option<HeaderName>,
    /// The instance that is meant; another one at the same address must refuse.
    pub instance: Option<HeaderName>,
    /// Says in a backend server's answer that it did not run the request.
    pub not_run: Option<HeaderName>,
    /// The backend server's seal: an answer without it is not from a backend server.
    pub seal: Option<HeaderName>,
    /// The caller's name for one operation. Without it each request is an operation of its own, and
    /// needs no claim.
    pub idempotency_key: Option<HeaderName>,
    /// Whether answers say outcome and reason in words, beside the reason's code.
    pub sends_outcome: bool,
    /// Whether the time after which to come back may have fractions of a second.
    pub fractional_seconds: bool,
}

impl Dialect {
    /// The product's own dialect.
    pub fn own() -> Self {
        Self {
            key: message::API_KEY,
            bearer: true,
            request_id: message::REQUEST_ID,
            caller_chosen_ids: false,
            deadline: message::DEADLINE,
            token: Some(message::REQUEST_TOKEN),
            customer: None,
            caller_service: None,
            instance: None,
            not_run: None,
            seal: None,
            idempotency_key: Some(message::IDEMPOTENCY_KEY),
            sends_outcome: true,
            fractional_seconds: false,
        }
    }

    /// The name that the caller gave its request, or a new one.
    pub fn read_request_id(&self, headers: &HeaderMap) -> RequestId {
        let given = headers.get(&self.request_id).filter(|_| self.caller_chosen_ids);
        given
            .and_then(RequestId::from_header)
            .unwrap_or_else(|| RequestId::random(&mut rand::rng()))
    }

    /// A time after which to come back, as a header's value.
    pub fn retry_after(&self, span: Duration) -> HeaderValue {
        if !self.fractional_seconds {
            let seconds = span.as_millis().div_ceil(1_000).max(1);
            return HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX));
        }
        message::header_value(&format!("{:.3}", span.as_secs_f64()))
    }

    /// Headers that concern one connection, and those that only a daemon may set or see.
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
