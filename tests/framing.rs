//! Heads and chunked bodies of callers, cut anywhere and spoiled, compared with a naive reading of RFC 9112.

use bytes::{Bytes, BytesMut};
use gypsumtack::body::{BodyReader, Progress};
use gypsumtack::chunked::{ChunkError, ChunkedDecoder};
use gypsumtack::head::{Framing, Head, Malformed};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 4_000;

/// Maximum length of a body in these tests, in bytes.
const LIMIT: usize = 1 << 16;

fn check<T: std::fmt::Debug>(
    strategy: &impl Strategy<Value = T>,
    property: impl Fn(T) -> Result<(), TestCaseError>,
) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng).run(strategy, property).unwrap();
}

/// Cuts `bytes` at these places.
fn cut(bytes: &[u8], cuts: &[Index]) -> Vec<Vec<u8>> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places.windows(2).map(|pair| bytes[pair[0]..pair[1]].to_vec()).collect()
}

/// Replaces, inserts or removes one byte, if the place lies within `bytes`.
fn spoil(bytes: &mut Vec<u8>, (place, kind, byte): (Index, u8, u8)) {
    let at = place.index(bytes.len());
    match kind {
        0 => bytes[at] = byte,
        1 => bytes.insert(at, byte),
        2 => drop(bytes.remove(at)),
        _ => {}
    }
}

fn spoiling() -> impl Strategy<Value = (Index, u8, u8)> {
    let byte = prop_oneof![
        prop::sample::select(b"\r\n\t \0:;,+-0159aFgG#?*/\x7f\x80\xff".to_vec()),
        any::<u8>()
    ];
    (any::<Index>(), 0_u8..4, byte)
}

fn is_token(bytes: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !bytes.is_empty() && bytes.iter().all(is_token_byte)
}

fn is_text(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| !byte.is_ascii_control() || *byte == b'\t')
}

/// Splits the first line off, without its CR and LF.
fn take_line<'a>(input: &mut &'a [u8]) -> Option<&'a [u8]> {
    let end = input.windows(2).position(|pair| pair == b"\r\n")?;
    let line = &input[..end];
    *input = &input[end + 2..];
    Some(line)
}

#[derive(Debug, PartialEq)]
enum Decoded {
    Incomplete,
    Malformed,
    Body(Vec<u8>, Vec<u8>),
}

/// Decodes a chunked body that has arrived as a whole.
fn decode_naively(mut input: &[u8]) -> Decoded {
    let mut body = Vec::new();
    loop {
        let Some(line) = take_line(&mut input) else { return Decoded::Incomplete };
        let (size, extension) = match line.iter().position(|byte| *byte == b';') {
            Some(end) => line.split_at(end),
            None => (line, &b""[..]),
        };
        let digits = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
        let size = std::str::from_utf8(size).ok().filter(|_| digits);
        let size = size.and_then(|size| usize::from_str_radix(size, 16).ok());
        let Some(size) = size.filter(|size| *size <= LIMIT) else { return Decoded::Malformed };
        if !is_text(extension) {
            return Decoded::Malformed;
        }
        if size == 0 {
            break;
        }
        let Some(data) = input.get(..size) else { return Decoded::Incomplete };
        body.extend_from_slice(data);
        match input.get(size..size + 2) {
            Some(b"\r\n") => input = &input[size + 2..],
            Some(_) => return Decoded::Malformed,
            None => return Decoded::Incomplete,
        }
    }
    loop {
        let Some(line) = take_line(&mut input) else { return Decoded::Incomplete };
        if line.is_empty() {
            return Decoded::Body(body, input.to_vec());
        }
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        if !is_token(name) || name.len() == line.len() || !is_text(line) {
            return Decoded::Malformed;
        }
    }
}

/// Decodes a chunked body that arrives in `parts`.
fn decode(parts: &[Vec<u8>]) -> Decoded {
    let (mut decoder, mut input) = (ChunkedDecoder::default(), BytesMut::new());
    let mut body = None;
    for part in parts {
        input.extend_from_slice(part);
        if body.is_none() {
            match decoder.decode(&mut input, LIMIT) {
                Ok(decoded) => body = decoded,
                Err(ChunkError::Malformed | ChunkError::TooLarge) => return Decoded::Malformed,
            }
        }
    }
    body.map_or(Decoded::Incomplete, |body| Decoded::Body(body.to_vec(), input.to_vec()))
}

fn chunked_body() -> impl Strategy<Value = Vec<u8>> {
    let extension = prop::sample::select(vec!["", "", ";a", ";a=\"b\"", ";\u{fc}"]);
    let data = prop::collection::vec(any::<u8>(), 1..20);
    let chunk = (data, extension, any::<bool>()).prop_map(|(data, extension, zeros)| {
        let size = if zeros { format!("{:03X}", data.len()) } else { format!("{:x}", data.len()) };
        [size.as_bytes(), extension.as_bytes(), b"\r\n", &data, b"\r\n"].concat()
    });
    let trailers = prop::sample::select(vec!["", "", "a: b\r\n", "a:\r\nx-attempt-id: 1\r\n"]);
    let rest = prop::collection::vec(any::<u8>(), 0..8);
    (prop::collection::vec(chunk, 0..4), trailers, rest).prop_map(|(chunks, trailers, rest)| {
        [&chunks.concat(), &b"0\r\n"[..], trailers.as_bytes(), b"\r\n", &rest].concat()
    })
}

/// A body that the decoder takes is the one that RFC 9112 describes, with nothing of what follows it.
#[test]
fn chunked_bodies_are_decoded_as_by_a_naive_reading() {
    let strategy = (chunked_body(), prop::collection::vec(any::<Index>(), 0..12), spoiling());
    check(&strategy, |(mut bytes, cuts, spoiling)| {
        spoil(&mut bytes, spoiling);
        let (expected, decoded) = (decode_naively(&bytes), decode(&cut(&bytes, &cuts)));
        match expected {
            Decoded::Body(..) => prop_assert_eq!(decoded, expected),
            // What cannot become a body may be told before it has arrived as a whole.
            Decoded::Malformed | Decoded::Incomplete => {
                prop_assert!(!matches!(decoded, Decoded::Body(..)), "{:?}", decoded);
            }
        }
        Ok(())
    });
}

#[derive(Debug, Clone, PartialEq)]
struct Request {
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
}

fn request() -> impl Strategy<Value = (Request, Vec<u8>)> {
    let method = prop::sample::select(vec!["GET", "POST", "PURGE", "get", "M-SEARCH"]);
    let target = "/[a-z0-9%._~;=&/-]{0,12}(\\?[a-z0-9?/=&]{0,8})?";
    let value =
        prop::collection::vec(prop_oneof![0x21_u8..0x7f, 0x80_u8..=0xff, Just(b'!')], 0..12);
    let header = ("x-[a-z0-9!#$%&'*+.^_`|~-]{1,8}", value);
    let headers = prop::collection::vec(header, 0..5);
    let body = prop::option::of(prop::collection::vec(any::<u8>(), 0..40));
    (method, target, headers, body, any::<bool>(), any::<bool>()).prop_map(
        |(method, target, headers, body, chunked, upper)| {
            let mut bytes = format!("{method} {target} HTTP/1.1\r\nHost: x\r\n").into_bytes();
            for (name, value) in &headers {
                let name = if upper { name.to_ascii_uppercase() } else { name.clone() };
                bytes.extend([name.as_bytes(), b":\t ", value, b" \r\n"].concat());
            }
            match &body {
                Some(body) if chunked => {
                    bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
                    for data in body.chunks(7) {
                        bytes.extend(format!("{:x}\r\n", data.len()).as_bytes());
                        bytes.extend([data, b"\r\n"].concat());
                    }
                    bytes.extend(b"0\r\n\r\n");
                }
                Some(body) => {
                    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
                    bytes.extend(body);
                }
                None => bytes.extend(b"\r\n"),
            }
            let (method, body) = (method.to_owned(), body.unwrap_or_default());
            (Request { method, target, headers, body }, bytes)
        },
    )
}

/// Reads all requests from `parts`.
fn read(parts: &[Vec<u8>]) -> Result<Vec<Request>, Malformed> {
    let (mut input, mut requests) = (BytesMut::new(), Vec::new());
    let mut reading: Option<(Head, BodyReader)> = None;
    for part in parts {
        input.extend_from_slice(part);
        loop {
            if reading.is_none() {
                let Some(head) = Head::parse(&mut input)? else { break };
                let body = BodyReader::new(head.framing);
                reading = Some((head, body));
            }
            let Some((head, mut body)) = reading.take() else { break };
            let whole: Bytes = match body.read(&mut input, LIMIT) {
                Ok(Progress::Complete(whole)) => whole,
                Ok(Progress::Input | Progress::Memory(_)) => {
                    reading = Some((head, body));
                    break;
                }
                Err(error) => return Err(Malformed(format!("{error:?}"))),
            };
            let headers = head.headers.iter().filter(|(name, _)| name.as_str().starts_with("x-"));
            let headers =
                headers.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()));
            requests.push(Request {
                method: head.method.to_string(),
                target: head.uri.to_string(),
                headers: headers.collect(),
                body: whole.to_vec(),
            });
        }
    }
    Ok(requests)
}

/// Header maps group values by name, and keep the order of the values of one name.
fn sorted(mut requests: Vec<Request>) -> Vec<Request> {
    for request in &mut requests {
        request.headers.sort_by(|one, other| one.0.cmp(&other.0));
    }
    requests
}

#[test]
fn pipelined_requests_are_read_unchanged_wherever_they_are_cut() {
    let strategy = (
        prop::collection::vec(request(), 1..5),
        prop::collection::vec(any::<Index>(), 0..12),
        any::<bool>(),
    );
    check(&strategy, |(drawn, cuts, each_byte)| {
        let (requests, bytes): (Vec<Request>, Vec<Vec<u8>>) = drawn.into_iter().unzip();
        let bytes = bytes.concat();
        let parts = match each_byte {
            true => bytes.chunks(1).map(<[u8]>::to_vec).collect(),
            false => cut(&bytes, &cuts),
        };
        prop_assert_eq!(sorted(read(&parts).unwrap()), sorted(requests));
        Ok(())
    });
}

/// What a naive reading makes of a head: its method, target and framing, and what follows it.
type NaiveHead = (Vec<u8>, Vec<u8>, Framing, Vec<u8>);

/// Reads a head; `None` if it is not exactly as RFC 9112 wants it.
fn parse_naively(mut input: &[u8]) -> Option<NaiveHead> {
    // Empty lines before a request are passed over.
    while let Some(rest) = input.strip_prefix(b"\r\n") {
        input = rest;
    }
    let line = take_line(&mut input)?;
    let words: Vec<&[u8]> = line.split(|byte| *byte == b' ').collect();
    let [method, target, version] = words.as_slice() else { return None };
    let is_target = target.starts_with(b"/")
        && target.iter().all(|byte| byte.is_ascii_graphic() || *byte >= 0x80)
        && !target.contains(&b'#');
    let is_old = *version == b"HTTP/1.0";
    if !is_token(method) || !is_target || (*version != b"HTTP/1.1" && !is_old) {
        return None;
    }
    let (mut hosts, mut lengths, mut codings) = (0, Vec::new(), Vec::new());
    loop {
        let line = take_line(&mut input)?;
        if line.is_empty() {
            break;
        }
        let colon = line.iter().position(|byte| *byte == b':')?;
        let (name, value) = (line[..colon].to_ascii_lowercase(), line[colon + 1..].trim_ascii());
        if !is_token(&name) || !is_text(value) {
            return None;
        }
        match name.as_slice() {
            b"host" => hosts += 1,
            b"content-length" => lengths.push(value.to_vec()),
            b"transfer-encoding" => codings.push(value.to_ascii_lowercase()),
            _ => {}
        }
    }
    lengths.dedup();
    let framing = match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Framing::Length(0),
        ([], [coding]) if coding == b"chunked" && !is_old => Framing::Chunks,
        ([length], []) if !length.is_empty() && length.iter().all(u8::is_ascii_digit) => {
            Framing::Length(std::str::from_utf8(length).ok()?.parse().ok()?)
        }
        _ => return None,
    };
    let has_host = hosts == 1 || (hosts == 0 && is_old);
    has_host.then(|| (method.to_vec(), target.to_vec(), framing, input.to_vec()))
}

/// A head that is taken is read as RFC 9112 says, and ends where it says, also if a byte or two are spoiled.
#[test]
fn spoiled_heads_are_refused_or_read_as_by_a_naive_reading() {
    let strategy = (request(), spoiling(), spoiling());
    check(&strategy, |((_, mut bytes), first, second)| {
        spoil(&mut bytes, first);
        spoil(&mut bytes, second);
        let mut input = BytesMut::from(&bytes[..]);
        if let Ok(Some(head)) = Head::parse(&mut input) {
            let method = head.method.as_str().as_bytes().to_vec();
            let target = head.uri.to_string().into_bytes();
            let read = (method, target, head.framing, input.to_vec());
            prop_assert_eq!(Some(read), parse_naively(&bytes));
        }
        Ok(())
    });
}
