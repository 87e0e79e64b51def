//! Writes responses in HTTP/1.1.

use std::fmt::Write as _;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, StatusCode};

use crate::body::UNRESERVED_BYTES;
use crate::message::Response;

/// Appends the response to `output`, except for a long body, which is returned and comes next. With `closes`,
/// the response announces that the connection closes after it.
pub(super) fn write_response(
    output: &mut BytesMut,
    response: Response,
    bodiless: bool,
    closes: bool,
) -> Bytes {
    let (mut parts, body) = response.into_parts();
    if closes {
        parts.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let status_without_body =
        matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !bodiless && !status_without_body {
        parts.headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let reason = parts.status.canonical_reason().unwrap_or_default();
    // Writing to memory cannot fail.
    let _ = write!(output, "HTTP/1.1 {} {reason}\r\n", parts.status.as_u16());
    for (name, value) in &parts.headers {
        output.extend_from_slice(name.as_str().as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value.as_bytes());
        output.extend_from_slice(b"\r\n");
    }
    output.extend_from_slice(b"\r\n");
    if bodiless || status_without_body {
        return Bytes::new();
    }
    // A copy of a long body would not count as memory of the body.
    if body.len() > UNRESERVED_BYTES {
        return body;
    }
    output.extend_from_slice(&body);
    Bytes::new()
}
