//! The head of a caller's request: method, target and headers, and how its body is framed.

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};

/// Header lines of one request.
const MOST_HEADERS: usize = 100;

/// The head of one request.
#[derive(Debug)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// How its body is framed.
    pub framing: Framing,
    /// Whether the connection ends with the answer.
    pub last: bool,
    /// Whether the caller waits for a word before it sends the body.
    pub expects: bool,
}

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// It has this many bytes.
    Length(usize),
    /// It comes in chunks.
    Chunks,
}

/// Why a head cannot be read, in words for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl Head {
    /// Takes a whole head off the front of `input`; `None` while a part of it is missing.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it, after which nothing behind it can be read either.
    pub fn take(input: &mut BytesMut) -> Result<Option<Self>, Malformed> {
        let mut lines = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let start = input.as_ptr() as usize;
        let length = match request.parse(input) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(error) => return Err(malformed(error)),
        };
        let method = request.method.unwrap_or_default().parse().map_err(malformed)?;
        let uri = request.path.unwrap_or_default().parse().map_err(malformed)?;
        let version = request.version;
        let place = |part: &[u8]| (part.as_ptr() as usize - start, part.len());
        let mut named = Vec::with_capacity(request.headers.len());
        for line in request.headers.iter() {
            let name = HeaderName::from_bytes(line.name.as_bytes()).map_err(malformed)?;
            named.push((name, place(line.value)));
        }
        let head = input.split_to(length).freeze();
        let headers = header_map(&head, named)?;
        let framing = framing_of(&headers)?;
        if headers.get_all(HOST).iter().count() != 1 && version == Some(1) {
            return Err(Malformed("exactly one host header is needed".to_owned()));
        }
        let last = has_word(&headers, &CONNECTION, "close")
            || (version == Some(0) && !has_word(&headers, &CONNECTION, "keep-alive"));
        let expects = has_word(&headers, &EXPECT, "100-continue");
        Ok(Some(Self { method, uri, headers, framing, last, expects }))
    }
}

fn header_map(
    head: &Bytes,
    named: Vec<(HeaderName, (usize, usize))>,
) -> Result<HeaderMap, Malformed> {
    let mut headers = HeaderMap::with_capacity(named.len());
    for (name, (at, length)) in named {
        let value = HeaderValue::from_maybe_shared(head.slice(at..at + length));
        headers.append(name, value.map_err(malformed)?);
    }
    Ok(headers)
}

/// Two ways to read where a body ends would let one request hide in another.
fn framing_of(headers: &HeaderMap) -> Result<Framing, Malformed> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let chunked = headers.get_all(TRANSFER_ENCODING).iter().collect::<Vec<_>>();
    match (lengths.next(), chunked.as_slice()) {
        (None, []) => Ok(Framing::Length(0)),
        (None, [coding]) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Framing::Chunks)
        }
        (Some(length), []) if lengths.all(|other| other == length) => {
            let digits = length.as_bytes().iter().all(u8::is_ascii_digit);
            let number = length.to_str().ok().filter(|_| digits).and_then(|text| text.parse().ok());
            let wrong = || Malformed(format!("content-length {length:?} is not a number"));
            number.map(Framing::Length).ok_or_else(wrong)
        }
        _ => Err(Malformed("the body's length is given in two ways".to_owned())),
    }
}

fn has_word(headers: &HeaderMap, name: &HeaderName, word: &str) -> bool {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|text| text.split(',')).any(|part| part.trim().eq_ignore_ascii_case(word))
}

fn malformed(error: impl std::fmt::Display) -> Malformed {
    Malformed(error.to_string())
}
