//! Answers that a backend server breaks off, or whose end cannot be told: callers never get a success
//! whose body is not whole.

mod fleet;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fleet::{Fleet, document, plan};
use gypsumtack_standin::caller::{Answer, CallerRequest};
use http::HeaderName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WHOLE: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhello";
const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
                         5;a=b\r\nhello\r\n3\r\n...\r\n0\r\nx-sum: 1\r\n\r\n";

/// How the backend server ends a connection after the bytes that it sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    Silence,
}

/// What a backend server sends in place of an answer.
#[derive(Debug, Clone)]
struct Script {
    bytes: Vec<u8>,
    end: End,
}

/// A backend server that plays a script. It answers requests for paths that contain `warm`, after which
/// the connection stays open, so that the script can be played on one that has been used.
#[derive(Clone)]
struct Scripted {
    script: Arc<Mutex<Script>>,
    played_on_used: Arc<AtomicU64>,
}

impl Scripted {
    async fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let script = Script { bytes: Vec::new(), end: End::Close };
        let script = Arc::new(Mutex::new(script));
        let scripted = Self { script, played_on_used: Arc::default() };
        let server = scripted.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, server.clone()));
            }
        });
        (scripted, address)
    }

    fn set(&self, bytes: &[u8], end: End) {
        *self.script.lock().unwrap() = Script { bytes: bytes.to_vec(), end };
    }
}

async fn serve(mut stream: TcpStream, scripted: Scripted) {
    let mut used = false;
    while let Some(path) = read_request(&mut stream).await {
        if path.contains("warm") {
            used = true;
            let _ = stream.write_all(WHOLE).await;
            continue;
        }
        scripted.played_on_used.fetch_add(u64::from(used), Ordering::Relaxed);
        let script = scripted.script.lock().unwrap().clone();
        let _ = stream.write_all(&script.bytes).await;
        match script.end {
            End::Close => drop(stream.shutdown().await),
            End::Reset => {
                tokio::time::sleep(Duration::from_millis(5)).await;
                stream.set_zero_linger().unwrap();
            }
            End::Silence => tokio::time::sleep(Duration::from_secs(2)).await,
        }
        return;
    }
}

/// Reads one request with its body and returns its path, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => request.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
        let text = String::from_utf8_lossy(&request).to_ascii_lowercase();
        let Some(head) = text.find("\r\n\r\n") else { continue };
        let length = text[..head].split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok()).unwrap_or(0);
        if request.len() >= head + 4 + length {
            return text.split(' ').nth(1).map(str::to_owned);
        }
    }
}

/// A VM beside a scripted backend server of the service `deep`, and one without an instance of it.
struct Play {
    fleet: Fleet,
    scripted: Scripted,
    sent: usize,
}

const METHODS: [&str; 4] = ["GET", "HEAD", "POST", "sign"];

impl Play {
    async fn start() -> Self {
        let mut fleet = Fleet::start(&document()).await;
        fleet.add("a", plan("deep", 4, 1, &[])).await;
        fleet.add("a", plan("front", 4, 1, &[])).await;
        fleet.settle(&["deep", "front"]).await;
        let (scripted, address) = Scripted::start().await;
        fleet.replace_backend(0, address).await;
        Self { fleet, scripted, sent: 0 }
    }

    /// Sends a request at one of the VMs. `sign` is a request that must not run twice.
    async fn ask(&mut self, node: usize, method: &str, path: &str) -> Answer {
        self.sent += 1;
        let request = match method {
            "GET" => CallerRequest::get(&format!("/deep{path}")),
            "HEAD" => CallerRequest::head(&format!("/deep{path}")),
            "POST" => CallerRequest::post(&format!("/deep{path}"), "body".into()),
            _ => CallerRequest::post(&format!("/sign{path}"), "body".into())
                .header(HeaderName::from_static("idempotency-key"), &self.sent.to_string()),
        };
        let deadline = HeaderName::from_static("x-deadline-ms");
        self.fleet.ask(node, request.key("acme-key").header(deadline, "1500")).await
    }

    /// Plays a script on new and on used connections, at both VMs and with all methods. A success may
    /// have the body `whole`, and to a HEAD request none if the head is whole.
    async fn check(&mut self, bytes: &[u8], end: End, whole: Option<&[u8]>) {
        for (used, node) in [(false, 0), (false, 1), (true, 0), (true, 1)] {
            for method in METHODS {
                if used {
                    self.ask(node, method, "/warm").await;
                }
                self.scripted.set(bytes, end);
                let answer = self.ask(node, method, "").await;
                let shown = String::from_utf8_lossy(bytes);
                let case = format!("{method}, VM {node}, {end:?} after {shown:?}: {answer:?}");
                assert_ne!(answer.outcome(), "not-run", "the request had arrived: {case}");
                match (answer.status.is_success(), method) {
                    (false, _) => assert!([502, 504].contains(&answer.status.as_u16()), "{case}"),
                    (true, "HEAD") => assert!(has_whole_head(bytes), "{case}"),
                    (true, _) => assert_eq!(Some(&answer.body[..]), whole, "{case}"),
                }
            }
        }
    }
}

/// Whether `bytes` have a whole head that is not an interim one.
fn has_whole_head(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    text.split_inclusive("\r\n\r\n").any(|head| {
        (head.starts_with("HTTP/1.1 2") || head.starts_with("HTTP/1.0 2"))
            && head.ends_with("\r\n\r\n")
    })
}

/// Guards against a head that counts as whole because its connection ended.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_after_any_byte_is_no_success() {
    let mut play = Play::start().await;
    for end in [End::Close, End::Reset] {
        for length in 0..WHOLE.len() {
            play.check(&WHOLE[..length], end, None).await;
        }
    }
    let used = play.scripted.played_on_used.load(Ordering::Relaxed);
    assert!(used > 0, "no script was played on a used connection");
}

/// Guards against a chunked body that counts as whole before its last chunk and trailers.
#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_answer_that_ends_after_any_byte_is_no_success() {
    let mut play = Play::start().await;
    let head = CHUNKED.windows(4).position(|end| end == b"\r\n\r\n").unwrap() + 4;
    for end in [End::Close, End::Reset] {
        for length in head..CHUNKED.len() {
            play.check(&CHUNKED[..length], end, None).await;
        }
    }
}

/// Guards against answers whose framing is wrong or missing and that count as whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_framed_wrongly_is_no_success() {
    let mut play = Play::start().await;
    let head = |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n\r\n");
    let broken = [
        head("content-length: 9") + "hello",
        head("content-length: -5") + "hello",
        head("content-length: 5, 6") + "hello",
        head("content-length: 5\r\ncontent-length: 6") + "hello",
        head("content-length: 99999999999999999999999") + "hello",
        head("transfer-encoding: chunked") + "zz\r\nhello\r\n0\r\n\r\n",
        head("transfer-encoding: chunked") + "5\r\nhelloX\r\n0\r\n\r\n",
        head("transfer-encoding: chunked") + "fffffffffffffffff\r\nhello\r\n0\r\n\r\n",
        head("no colon") + "hello",
        "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-le".to_owned(),
        "HTTP/1.1 103 Early Hints\r\nlink: x".to_owned(),
        "HTTP/1.1 101 Switching Protocols\r\n\r\nhello".to_owned(),
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n".to_owned(),
        "HTTP/1.1 200".to_owned(),
        "HTTP/1.1 20\r\n\r\n".to_owned(),
        "HTTP/9.9 200 OK\r\ncontent-length: 5\r\n\r\nhello".to_owned(),
        "200 OK\r\n\r\nhello".to_owned(),
        head(&format!("content-length: 5\r\nx-filler: {}", "x".repeat(1 << 20))) + "hello",
        head(&format!("content-length: 5{}", "\r\nx-filler: x".repeat(2_000))) + "hello",
    ];
    for bytes in &broken {
        for end in [End::Close, End::Reset] {
            play.check(bytes.as_bytes(), end, None).await;
        }
    }
}

/// Guards against failures where the protocol calls an answer whole, and bytes behind it that count as
/// the next one.
#[tokio::test(flavor = "multi_thread")]
async fn an_unusual_answer_is_passed_on_whole_or_fails() {
    let mut play = Play::start().await;
    let unusual: [(&str, &[u8]); 9] = [
        ("HTTP/1.1 200 OK\r\n\r\nhello", b"hello"),
        ("HTTP/1.1 200 OK\r\n\r\n", b""),
        ("HTTP/1.1 200\r\ncontent-length: 5\r\n\r\nhello", b"hello"),
        ("HTTP/1.0 200 OK\r\n\r\nhello", b"hello"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nhello", b"hel"),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\n",
            b"hel",
        ),
        ("HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\nhello", b""),
        (
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
            b"hello",
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
            b"hello",
        ),
    ];
    for (bytes, whole) in unusual {
        play.check(bytes.as_bytes(), End::Close, Some(whole)).await;
        let next = play.ask(0, "GET", "/warm").await;
        assert_eq!(&next.body[..], b"hello", "the answer after {bytes:?} is not its own");
    }
    // Without a length only a clean end tells that the body is whole.
    for bytes in
        ["HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nhello"]
    {
        for (node, method) in [(0, "GET"), (1, "GET"), (0, "sign"), (1, "sign")] {
            play.scripted.set(bytes.as_bytes(), End::Reset);
            let answer = play.ask(node, method, "").await;
            assert_eq!(answer.status.as_u16(), 502, "{method}, VM {node}, {bytes:?}: {answer:?}");
        }
    }
}

/// Guards against an answer over the limit, or later than the deadline, that is passed on in part.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_too_long_or_too_late_is_no_success() {
    let mut play = Play::start().await;
    let limit = play.fleet.nodes[0].daemon.board().policy.load().limits.answer_bytes as usize;
    let long = "x".repeat(limit + 1);
    let chunk = format!("{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
    for bytes in [
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{long}", long.len()),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"),
        format!("HTTP/1.1 200 OK\r\n\r\n{long}"),
    ] {
        play.check(bytes.as_bytes(), End::Close, None).await;
    }
    let late: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncont",
        &WHOLE[..WHOLE.len() - 2],
        b"HTTP/1.1 200 OK\r\n\r\nhello",
    ];
    for bytes in late {
        for (node, method) in [(0, "GET"), (1, "sign")] {
            play.scripted.set(bytes, End::Silence);
            let answer = play.ask(node, method, "").await;
            assert!(!answer.status.is_success(), "{method}, VM {node}: {answer:?}");
            assert_ne!(answer.outcome(), "not-run", "{method}, VM {node}: {answer:?}");
        }
    }
}
