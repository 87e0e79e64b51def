//! A caller over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use gypsumtack::message;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A client that keeps its connections open.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One request.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

/// One whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// A header's text; empty when it is missing.
    pub fn header(&self, name: &HeaderName) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The word in the outcome header.
    pub fn outcome(&self) -> &str {
        self.header(&message::OUTCOME)
    }

    /// The reason's code; empty for a request that was served.
    pub fn reason(&self) -> &str {
        self.header(&message::REASON)
    }
}

impl CallerRequest {
    /// Makes a GET of `path`.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Makes a POST of `body` to `path`.
    pub fn post(path: &str, body: Bytes) -> Self {
        Self { method: Method::POST, body, ..Self::get(path) }
    }

    /// Adds a header; a value that no header can hold is left out.
    #[must_use]
    pub fn header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::try_from(value) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Adds a customer's key.
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
    /// Makes a client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends one request and collects its whole answer.
    ///
    /// # Errors
    ///
    /// Returns what happened when there is no whole answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        question: CallerRequest,
    ) -> Result<Answer, String> {
        let mut request = http::Request::new(Full::new(question.body));
        *request.method_mut() = question.method;
        *request.uri_mut() =
            format!("http://{address}{}", question.path).parse().map_err(|e| format!("{e}"))?;
        *request.headers_mut() = question.headers;
        let response =
            self.client.request(request).await.map_err(|error| message::error_chain(&error))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| message::error_chain(&error))?.to_bytes();
        Ok(Answer { status: parts.status, headers: parts.headers, body })
    }

    /// Sends a POST.
    ///
    /// # Errors
    ///
    /// Returns what happened when there is no whole answer.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Answer, String> {
        self.send(address, CallerRequest::post(path, body)).await
    }
}
