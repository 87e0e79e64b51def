//! What a backend server receives is what the caller sent, byte for byte, or nothing: on real sockets, beside
//! the entry and through a second VM.

mod fleet;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fleet::{Fleet, document, plan};
use gypsumtack::sync::lock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which an answer has to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The bytes of each request that a backend server received.
type Received = Arc<Mutex<Vec<Vec<u8>>>>;

/// Starts a backend server that records each request, head and body, and closes each connection after one.
async fn recording_backend() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Received::default();
    let record = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let record = Arc::clone(&record);
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while !is_complete(&bytes) {
                    if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
                        return;
                    }
                }
                lock(&record).push(bytes);
                let answer = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
                let _ = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    (address, received)
}

/// Whether the bytes are a head and a body as long as the head says.
fn is_complete(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.map_or(0, |length| length.trim().parse::<usize>().unwrap());
    bytes.len() >= end + 4 + length
}

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

/// Sends bytes on a new connection, and returns the status of the first answer; 0 if there is none.
async fn send(address: SocketAddr, parts: &[&[u8]]) -> u16 {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for part in parts {
        let _ = stream.write_all(part).await;
        if parts.len() > 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let mut answer = [0; 12];
    let read = tokio::time::timeout(ANSWER_TIMEOUT, stream.read_exact(&mut answer)).await;
    match read.expect("no answer within the time") {
        Ok(_) => std::str::from_utf8(&answer[9..]).unwrap().parse().unwrap(),
        Err(_) => 0,
    }
}

fn first_line(bytes: &[u8]) -> String {
    let end = bytes.iter().position(|byte| *byte == b'\r').unwrap();
    String::from_utf8_lossy(&bytes[..end]).into_owned()
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
