//! What a backend server receives is what the caller sent, byte for byte, or nothing: on real sockets, beside
//! the entry and through a second VM.

mod fleet;

use fleet::raw::{Received, first_line, recording_backend, send};
use fleet::{Fleet, document, plan};
use gypsumtack::sync::lock;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Starts two VMs. The first one's backend server, of the service `deep`, records what it receives.
async fn start() -> (Fleet, Received) {
    let mut fleet = Fleet::start(&document()).await;
    fleet.add("a", plan("deep", 4, 1, &[])).await;
    fleet.add("b", plan("front", 4, 1, &[])).await;
    let (address, received) = recording_backend().await;
    fleet.replace_backend(0, address).await;
    fleet.settle(&["deep"]).await;
    (fleet, received)
}

/// Targets that are passed on byte for byte.
const KEPT: &[&[u8]] = &[
    b"/deep",
    b"/deep/",
    b"/deep?",
    b"/deep/?",
    b"/deep??",
    b"/deep?a?b",
    b"/deep//x",
    b"/deep/a//b/",
    b"/deep/./../x",
    b"/deep/a?b=1&&c=?/:@",
    b"/deep/%2f%2F%00%zz",
    b"/deep/a;b=c,d",
    b"/deep/\\x",
    b"/deep/~!$&'()*+",
    b"/deep/\xc3\xbc",
    b"/deep/http://x/",
];

/// Targets that are refused, since they would change on their way or name another host.
const REFUSED: &[&[u8]] = &[
    b"/deep/a#f",
    b"/deep/a?b#f",
    b"/deep/#",
    b"/deep?#",
    b"/deep?u=http://x/#y",
    b"/deep/\xff\xfe",
    b"/deep?\xff",
    b"/deep/a?b c",
    b"/deep/a\tb",
    b"/deep/\x01",
    b"/deep/\x7f",
    b"http://y/deep/a",
    b"http://u:p@x/deep",
    b"http://x",
    b"http://x?a",
    b"http://xx/deep",
    b"https://x/deep",
    b"HTTP://x/deep/a",
    b"deep/a",
    b"x:80",
    b"?a",
    b"#",
    b"*",
];

/// Guards against a path or query that changes on its way: fragments were cut off, and the form of absolute
/// targets depended on where the request ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_arrives_byte_for_byte_or_not_at_all() {
    let (fleet, received) = start().await;
    let kept = KEPT.iter().map(|target| (*target, Some(*target)));
    let refused = REFUSED.iter().map(|target| (*target, None));
    let absolute: [(&[u8], Option<&[u8]>); 2] =
        [(b"http://x/deep/a?b", Some(b"/deep/a?b")), (b"http://X/deep", Some(b"/deep"))];
    for (target, expected) in kept.chain(refused).chain(absolute) {
        for node in [0, 1] {
            lock(&received).clear();
            let tail = b" HTTP/1.1\r\nhost: x\r\nx-api-key: acme-key\r\n\r\n";
            let request = [b"GET ", target, tail].concat();
            let status = send(fleet.nodes[node].callers(), &[&request]).await;
            let got = lock(&received).clone();
            let lines = got.iter().map(|bytes| first_line(bytes));
            let lines: Vec<String> = lines.collect();
            let text = String::from_utf8_lossy(target);
            let expected =
                expected.map(|target| format!("GET {} HTTP/1.1", String::from_utf8_lossy(target)));
            assert_eq!(lines, Vec::from_iter(expected), "{text} at VM {node}: {status}");
            assert_eq!(status, if lines.is_empty() { 400 } else { 200 }, "{text} at VM {node}");
        }
    }
}

/// Requests that can be read in two ways, each followed by one that must not run.
const AMBIGUOUS: &[&str] = &[
    "host: x\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde",
    "host: x\r\ncontent-length: 4, 5\r\n\r\nabcde",
    "host: x\r\ncontent-length: 4, 4\r\n\r\nabcd",
    "host: x\r\ncontent-length: +4\r\n\r\nabcd",
    "host: x\r\ncontent-length: -4\r\n\r\nabcd",
    "host: x\r\ncontent-length: 0x4\r\n\r\nabcd",
    "host: x\r\ncontent-length: 4 4\r\n\r\nabcd",
    "host: x\r\ncontent-length:\r\n\r\n",
    "host: x\r\ncontent-length: 18446744073709551620\r\n\r\nabcd",
    "host: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: \"chunked\"\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: identity\r\n\r\n",
    "host: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding : chunked\r\n\r\n0\r\n\r\n",
    "host: x\r\ncontent-length : 4\r\n\r\nabcd",
    "host: x\r\n content-length: 4\r\n\r\nabcd",
    "host: x\r\nx-a: b\r\n c\r\n\r\n",
    "host: x\r\nx-a: b\n\n",
    "host: x\nx-a: b\r\n\r\n",
    "host: x\r\nx-a: b\rc\r\n\r\n",
    "host: x\r\nx-a: b\0c\r\n\r\n",
    "host: x\r\nhost: y\r\n\r\n",
    "x-a: b\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n4 \r\nabcd\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n 4\r\nabcd\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n+4\r\nabcd\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n0x4\r\nabcd\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n4\nabcd\n0\n\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n4;a\nb\r\nabcd\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcdX\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n10000000000000004\r\nabcd\r\n0\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n;a\r\n\r\n",
    "host: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\nGET /deep HTTP/1.1\r\n\r\n",
];

/// Guards against a request that is smuggled inside another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_can_be_read_in_two_ways_does_not_run() {
    let (fleet, received) = start().await;
    let next = "GET /deep/smuggled HTTP/1.1\r\nhost: x\r\nx-api-key: acme-key\r\n\r\n";
    for version in ["1.1", "1.0"] {
        let chunked = "host: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
        let old = (version == "1.0").then_some(chunked);
        // HTTP/1.0 needs no host.
        let ambiguous =
            AMBIGUOUS.iter().copied().filter(|rest| version == "1.1" || *rest != "x-a: b\r\n\r\n");
        for rest in ambiguous.chain(old) {
            let request = format!(
                "POST /deep/first HTTP/{version}\r\nx-api-key: acme-key\r\n\
                 connection: keep-alive\r\n{rest}{next}"
            );
            let status = send(fleet.nodes[0].callers(), &[request.as_bytes()]).await;
            let got: Vec<String> =
                lock(&received).drain(..).map(|bytes| first_line(&bytes)).collect();
            assert!(got.is_empty(), "{rest:?}: {got:?}");
            assert_eq!(status, 400, "{rest:?}");
        }
    }
}

/// Sockets may hand over any number of bytes at a time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_byte_by_byte_run_unchanged() {
    let (fleet, received) = start().await;
    let head = "host: x\r\nX-Api-Key: acme-key\r\nX-More: \u{fc}\r\nx-more: 2\r\n";
    let requests = format!(
        "GET /deep/1?a HTTP/1.1\r\n{head}\r\n\
         POST /deep/2 HTTP/1.1\r\n{head}content-length: 6\r\n\r\nGET /x\
         PUT /deep/3 HTTP/1.1\r\n{head}transfer-encoding: Chunked\r\n\r\n\
         3;a=\"b\"\r\nGET\r\n003\r\n /x\r\n0\r\nx-api-key: other\r\nx-request-id: 1\r\n\r\n\
         DELETE /deep/4 HTTP/1.1\r\n{head}\r\n"
    );
    let bytes: Vec<&[u8]> = requests.as_bytes().chunks(1).collect();
    let expected = [
        ("GET /deep/1?a HTTP/1.1", ""),
        ("POST /deep/2 HTTP/1.1", "GET /x"),
        ("PUT /deep/3 HTTP/1.1", "GET /x"),
        ("DELETE /deep/4 HTTP/1.1", ""),
    ];
    for node in [0, 1] {
        let callers = fleet.nodes[node].callers();
        let mut stream = TcpStream::connect(callers).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for part in &bytes {
            stream.write_all(part).await.unwrap();
            tokio::task::yield_now().await;
        }
        let count = || lock(&received).len();
        fleet::until("all requests run", || count() == expected.len()).await;
        let got: Vec<Vec<u8>> = lock(&received).drain(..).collect();
        for (bytes, (line, body)) in got.iter().zip(expected) {
            assert_eq!(first_line(bytes), line);
            let text = String::from_utf8_lossy(bytes).into_owned();
            let (head, rest) = text.split_once("\r\n\r\n").unwrap();
            assert_eq!(rest, body, "{line}");
            let lines = head.to_ascii_lowercase();
            let more: Vec<&str> = lines.lines().filter(|line| line.starts_with("x-more")).collect();
            assert_eq!(more, ["x-more: \u{fc}", "x-more: 2"]);
            assert!(!lines.contains("x-api-key"), "{lines}");
            assert_eq!(lines.matches("host: x").count(), 1, "{lines}");
        }
    }
}
