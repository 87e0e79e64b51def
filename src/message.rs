//! HTTP messages as daemons pass them on: which headers go where, and what an answer is made of.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::dialect::Dialect;
use crate::envelope::{Report, RequestId};
use crate::reason::{Outcome, Reason};

/// The customer's key, from callers only.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// The token of the live request, to and from the local backend server only.
pub const REQUEST_TOKEN: HeaderName = HeaderName::from_static("x-request-token");
/// The request's name, in every answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// `ran`, `not-run` or `unknown`, in every answer.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// The reason's code, in every refusal.
pub const REASON: HeaderName = HeaderName::from_static("x-reason");
/// The reason in words, in every refusal.
pub const REASON_DETAIL: HeaderName = HeaderName::from_static("x-reason-detail");
/// What is left of the deadline in milliseconds, to the backend server.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The caller's name for one operation.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// A whole request, as it is passed on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Message {
    /// The method.
    #[serde(with = "codec::method")]
    pub method: Method,
    /// Path and query.
    #[serde(with = "codec::uri")]
    pub uri: Uri,
    /// Headers, those of one connection and of daemons removed.
    #[serde(with = "codec::headers")]
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Message {
    /// The request for a connection to the backend server, with `extra` headers.
    pub fn into_request(self, extra: Vec<(HeaderName, HeaderValue)>) -> Request {
        let mut request = http::Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        for (name, value) in extra {
            request.headers_mut().insert(name, value);
        }
        request
    }

    /// The host that the request names.
    pub fn host(&self) -> &str {
        host_of(&self.headers)
    }
}

/// A request whose whole body is in memory.
pub type Request = http::Request<Full<Bytes>>;

/// A response whose whole body is in memory.
pub type Response = http::Response<Bytes>;

/// A whole answer with what the daemons know about it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The status.
    #[serde(with = "codec::status")]
    pub status: StatusCode,
    /// Headers, those of one connection and of daemons removed.
    #[serde(with = "codec::headers")]
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What goes back to the daemon that asked.
    pub report: Report,
}

impl Answer {
    /// The answer to a request that was refused for `reason`.
    pub fn refusal(request: RequestId, outcome: Outcome, reason: Reason) -> Self {
        let body = RefusalBody {
            request: request.to_string(),
            outcome,
            reason: reason.code(),
            detail: reason.to_string(),
            retry_after_ms: reason.retry_after().map(|span| span.as_millis() as u64),
        };
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status: reason.status(outcome),
            headers,
            body: serde_json::to_vec(&body).unwrap_or_default().into(),
            report: Report::new(request, outcome, Some(reason)),
        }
    }

    /// A refusal of a request that reached no backend server.
    pub fn not_run(request: RequestId, reason: Reason) -> Self {
        Self::refusal(request, Outcome::NotRun, reason)
    }

    /// The response for the caller or for the backend server that called on.
    pub fn into_response(self, dialect: &Dialect) -> Response {
        let mut headers = self.headers;
        headers.insert(dialect.request.clone(), self.report.request.to_header());
        if dialect.explains {
            headers.insert(OUTCOME, HeaderValue::from_static(self.report.outcome.as_str()));
        }
        if let Some(reason) = &self.report.reason {
            headers.insert(REASON, HeaderValue::from_static(reason.code()));
            if dialect.explains {
                headers.insert(REASON_DETAIL, header_value(&reason.to_string()));
            }
            if let Some(span) = reason.retry_after() {
                headers.insert(RETRY_AFTER, dialect.retry_after(span));
            }
        }
        let mut response = http::Response::new(self.body);
        *response.status_mut() = self.status;
        *response.headers_mut() = headers;
        response
    }
}

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    request: String,
    outcome: Outcome,
    reason: &'static str,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The host that a request names; empty when it names none.
pub fn host_of(headers: &HeaderMap) -> &str {
    headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// Removes headers that concern one connection, and the `private` ones of the dialect.
pub fn strip_headers(headers: &mut HeaderMap, private: &[HeaderName]) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(private) {
        headers.remove(name);
    }
}

/// Collects a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns what is wrong when the body is larger, or ends before it is whole.
pub async fn collect_body<B>(body: B, limit: u64) -> Result<Bytes, String>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    match limited.collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(format!("the body is larger than {limit} bytes"))
        }
        Err(error) => Err(format!("the body is not whole ({error})")),
    }
}

/// Text as a header value; what a header cannot hold becomes `?`.
pub fn header_value(text: &str) -> HeaderValue {
    let fits = |c: char| if c == ' ' || c.is_ascii_graphic() { c } else { '?' };
    let clean: String = text.chars().map(fits).collect();
    HeaderValue::try_from(clean).unwrap_or_else(|_| HeaderValue::from_static("?"))
}

/// Whether a failed exchange had not sent a byte of its request.
pub fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let hyper = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    error.is_connect() || hyper.is_some_and(hyper::Error::is_canceled)
}

/// An error with the errors behind it, in one line.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
