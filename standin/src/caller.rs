//! HTTP client that stands in for a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use gypsumtack::message;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// HTTP client that reuses its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// A completely received answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the value of a header, or an empty string when it is missing or not visible ASCII.
    pub fn header(&self, name: &HeaderName) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of the outcome header.
    pub fn outcome(&self) -> &str {
        self.header(&message::OUTCOME)
    }

    /// Returns the reason code, which is empty for a request that was served.
    pub fn reason(&self) -> &str {
        self.header(&message::REASON)
    }
}

impl CallerRequest {
    /// Creates a GET request for `path`.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a HEAD request for `path`.
    pub fn head(path: &str) -> Self {
        Self { method: Method::HEAD, ..Self::get(path) }
    }

    /// Creates a POST request that sends `body` to `path`.
    pub fn post(path: &str, body: Bytes) -> Self {
        Self { method: Method::POST, body, ..Self::get(path) }
    }

    /// Adds a header. A value that is not valid in a header is ignored.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::try_from(value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Adds a customer's API key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header(message::API_KEY, key)
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request and collects the answer.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure when no complete answer was received.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: CallerRequest,
    ) -> Result<Answer, String> {
        let mut http_request = http::Request::new(Full::new(request.body));
        *http_request.method_mut() = request.method;
        *http_request.uri_mut() =
            format!("http://{address}{}", request.path).parse().map_err(|e| format!("{e}"))?;
        *http_request.headers_mut() = request.headers;
        let response = self
            .client
            .request(http_request)
            .await
            .map_err(|error| message::error_chain(&error))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| message::error_chain(&error))?.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a POST request and collects the answer.
    ///
    /// # Errors
    ///
    /// Returns a description of the failure when no complete answer was received.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        self.send(address, CallerRequest::post(path, body)).await
    }
}
