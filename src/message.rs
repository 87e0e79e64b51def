//! HTTP requests and answers as daemons forward them, and the headers that daemons add or remove.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST, HeaderName, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use serde::{Deserialize, Serialize};

use crate::codec;
use crate::dialect::Dialect;
use crate::envelope::{Report, RequestId};
use crate::reason::{Outcome, Reason};

/// The customer's API key. Sent by callers only; never forwarded.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// The token of a running request. Exchanged with the local backend server only.
pub const REQUEST_TOKEN: HeaderName = HeaderName::from_static("x-request-token");
/// The request id, in every answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The [`Outcome`] of the request, in every answer: `ran`, `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// The code of the [`Reason`], in every refusal.
pub const REASON: HeaderName = HeaderName::from_static("x-reason");
/// The message of the [`Reason`], in every refusal.
pub const REASON_DETAIL: HeaderName = HeaderName::from_static("x-reason-detail");
/// Time left until the deadline, in milliseconds. Sent to the backend server, and by callers that set a
/// deadline.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The requests per second that a backend server takes, in its answers while it names a limit.
pub const BACKEND_LIMIT: HeaderName = HeaderName::from_static("x-backend-limit");
/// Whether a backend server is leaving, in its answers.
pub const BACKEND_LEAVING: HeaderName = HeaderName::from_static("x-backend-leaving");
/// The caller's idempotency key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A request with its whole body, as it is forwarded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Message {
    /// The HTTP method.
    #[serde(with = "codec::method")]
    pub method: Method,
    /// Path and query string.
    #[serde(with = "codec::uri")]
    pub uri: Uri,
    /// Headers, without the hop-by-hop ones and those that only daemons may set.
    #[serde(with = "codec::headers")]
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Message {
    /// Converts the message to a request for the backend server. `headers` replace headers of the same
    /// name.
    pub fn into_request(self, headers: Vec<(HeaderName, HeaderValue)>) -> Request {
        let mut request = http::Request::new(Full::new(self.body));
        *request.method_mut() = self.method;
        *request.uri_mut() = self.uri;
        *request.headers_mut() = self.headers;
        for (name, value) in headers {
            request.headers_mut().insert(name, value);
        }
        request
    }

    /// Returns the value of the `Host` header; empty if there is none.
    pub fn host(&self) -> &str {
        host_of(&self.headers)
    }
}

/// An HTTP request with its whole body in memory.
pub type Request = http::Request<Full<Bytes>>;

/// An HTTP response with its whole body in memory.
pub type Response = http::Response<Bytes>;

/// An answer with its whole body, and the report that daemons send with it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    #[serde(with = "codec::status")]
    pub status: StatusCode,
    /// Headers, without the hop-by-hop ones and those that only daemons may set.
    #[serde(with = "codec::headers")]
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Metadata for the daemon that sent the request.
    pub report: Report,
}

impl Answer {
    /// Creates the answer to a request that was refused or failed for `reason`, with a JSON body that
    /// states the reason.
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

    /// Creates the refusal of a request that reached no backend server.
    pub fn not_run(request: RequestId, reason: Reason) -> Self {
        Self::refusal(request, Outcome::NotRun, reason)
    }

    /// Converts the answer to the response for the caller, or for the backend server that made the
    /// downstream call.
    pub fn into_response(self, dialect: &Dialect) -> Response {
        let mut headers = self.headers;
        if self.report.request != RequestId::NONE {
            headers.insert(dialect.request_id.clone(), self.report.request.to_header());
        }
        if dialect.sends_outcome {
            headers.insert(OUTCOME, HeaderValue::from_static(self.report.outcome.as_str()));
        }
        if let Some(reason) = &self.report.reason {
            headers.insert(REASON, HeaderValue::from_static(reason.code()));
            if dialect.sends_outcome {
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

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    request: String,
    outcome: Outcome,
    reason: &'static str,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the value of the `Host` header; empty if there is none or it is not printable ASCII.
pub fn host_of(headers: &HeaderMap) -> &str {
    headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default()
}

/// Removes the headers that must not be forwarded: those that the `Connection` header lists, and those
/// in `private` (see [`Dialect::stripped_headers`]). The `Host` header, which concerns no connection, stays.
pub fn strip_headers(headers: &mut HeaderMap, private: &[HeaderName]) {
    let connection: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != HOST)
        .collect();
    for name in connection.iter().chain(private) {
        headers.remove(name);
    }
}

/// Reads a whole body of at most `limit` bytes into memory.
///
/// # Errors
///
/// Returns a description of the problem if the body is larger than `limit`, or reading it fails before
/// its end.
pub async fn collect_body<B>(body: B, limit: u64) -> Result<Bytes, String>
where
    B: http_body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(format!("the body is larger than {limit} bytes"))
        }
        Err(error) => Err(format!("the body is not whole ({error})")),
    }
}

/// Converts text to a header value. Replaces every character that is not printable ASCII by `?`.
pub fn header_value(text: &str) -> HeaderValue {
    let printable = |c: char| if c == ' ' || c.is_ascii_graphic() { c } else { '?' };
    let clean: String = text.chars().map(printable).collect();
    HeaderValue::try_from(clean).unwrap_or_else(|_| HeaderValue::from_static("?"))
}

/// Whether a request failed before any byte of it was sent.
pub fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    let source = std::error::Error::source(error);
    let hyper = source.and_then(|source| source.downcast_ref::<hyper::Error>());
    error.is_connect() || hyper.is_some_and(hyper::Error::is_canceled)
}

/// Formats an error and the chain of its sources on one line.
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
