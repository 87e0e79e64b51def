//! Parses the head of a caller's request: method, target, headers, and the framing of its body.

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// The head of one request.
#[derive(Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers as received.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection closes after the answer.
    pub closes: bool,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunks,
}

/// Why a head cannot be parsed, as a text for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl Head {
    /// Parses a head and removes it from the front of `input`. Returns `None` while the head is
    /// incomplete.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the head. The rest of the connection cannot be parsed after that.
    pub fn parse(input: &mut BytesMut) -> Result<Option<Self>, Malformed> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let start = input.as_ptr() as usize;
        let length = match request.parse(input) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(malformed(error)),
        };
        let method = request.method.unwrap_or_default().parse().map_err(malformed)?;
        let target = Bytes::copy_from_slice(request.path.unwrap_or_default().as_bytes());
        let version = request.version;
        let range = |part: &[u8]| (part.as_ptr() as usize - start, part.len());
        let mut ranges = Vec::with_capacity(request.headers.len());
        for line in request.headers.iter() {
            let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(malformed)?;
            ranges.push((name, range(line.value)));
        }
        let head = input.split_to(length).freeze();
        if has_bare_line_feed(&head) {
            return Err(Malformed("every line has to end with CR and LF".to_owned()));
        }
        let headers = header_map(&head, ranges)?;
        let framing = framing_of(&headers)?;
        if framing == Framing::Chunks && version != Some(1) {
            return Err(Malformed("HTTP/1.0 has no transfer codings".to_owned()));
        }
        let hosts = headers.get_all(HOST).iter().count();
        if hosts > 1 || (hosts == 0 && version == Some(1)) {
            return Err(Malformed("exactly one host header is needed".to_owned()));
        }
        let uri = parse_target(&target, &headers)?;
        let closes = has_token(&headers, &CONNECTION, "close")
            || (version == Some(0) && !has_token(&headers, &CONNECTION, "keep-alive"));
        let expects_continue = has_token(&headers, &EXPECT, "100-continue");
        Ok(Some(Self { method, uri, headers, framing, closes, expects_continue }))
    }
}

/// Whether a line ends with LF alone. Others may not take that for its end, and see one request where two
/// are read here.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let mut previous = 0;
    head.iter().any(|byte| {
        let before = std::mem::replace(&mut previous, *byte);
        *byte == b'\n' && before != b'\r'
    })
}

/// Parses the target of a request into its path and query, which are passed on byte for byte.
///
/// An absolute target names a host as well, which has to be that of the `Host` header: requests are routed
/// by the latter. A target that would change on its way, such as one with a fragment, is rejected.
fn parse_target(target: &Bytes, headers: &HeaderMap) -> Result<Uri, Malformed> {
    let host = headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
    let after_scheme = target.strip_prefix(b"http://").unwrap_or_default();
    let path = match after_scheme.split_at_checked(host.len()) {
        Some((authority, path)) if !host.is_empty() && authority.eq_ignore_ascii_case(host) => path,
        _ => target,
    };
    let uri = Uri::from_maybe_shared(target.slice_ref(path)).map_err(malformed)?;
    match uri.path_and_query() {
        Some(kept) if path.starts_with(b"/") && kept.as_str().as_bytes() == path => Ok(uri),
        _ => Err(Malformed("the target is not a path and query on the request's host".to_owned())),
    }
}

fn header_map(
    head: &Bytes,
    ranges: Vec<(HeaderName, (usize, usize))>,
) -> Result<HeaderMap, Malformed> {
    let mut headers = HeaderMap::with_capacity(ranges.len());
    for (name, (start, length)) in ranges {
        let value = HeaderValue::from_maybe_shared(head.slice(start..start + length));
        headers.append(name, value.map_err(malformed)?);
    }
    Ok(headers)
}

/// Determines the framing of the body. Rejects heads that give more than one, because a body whose end
/// can be read in two ways allows request smuggling.
fn framing_of(headers: &HeaderMap) -> Result<Framing, Malformed> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().collect::<Vec<_>>();
    match (lengths.next(), codings.as_slice()) {
        (None, []) => Ok(Framing::Length(0)),
        (None, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunks)
        }
        (Some(length), []) if lengths.all(|other| other == length) => {
            let digits = length.as_bytes().iter().all(u8::is_ascii_digit);
            let number = length.to_str().ok().filter(|_| digits).and_then(|text| text.parse().ok());
            let not_a_number = || Malformed(format!("content-length {length:?} is not a number"));
            number.map(Framing::Length).ok_or_else(not_a_number)
        }
        _ => Err(Malformed("the body's length is given in two ways".to_owned())),
    }
}

fn has_token(headers: &HeaderMap, name: &HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
}

fn malformed(error: impl std::fmt::Display) -> Malformed {
    Malformed(error.to_string())
}
