//! Bodies that a backend server reads after it has answered: nothing but their rest follows on the connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::body::BodyMemory;
use gypsumtack::connection::{BodyUse, Connections};
use gypsumtack::message::Request;
use gypsumtack::sync::lock;
use gypsumtack::time::Clock;
use http::header::HOST;
use http::{HeaderValue, Method};
use http_body_util::Full;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SEEDS: std::ops::Range<u64> = 1..5;

/// Number of callers at once, and of requests of each.
const CALLERS: u64 = 6;
const REQUESTS: usize = 25;

const LIMIT: u64 = 1_000;

/// Time within which all requests of one seed end.
const SEED_TIMEOUT: Duration = Duration::from_secs(60);

/// Lengths of bodies in bytes: some fit into the buffers of a connection, others do not.
const LENGTHS: [usize; 6] = [0, 1, 60_000, 65_536, 400_000, 6_000_000];

/// What a backend server saw on all its connections.
#[derive(Debug, Default)]
struct Seen {
    whole: AtomicUsize,
    problems: Mutex<Vec<String>>,
}

/// Starts a backend server. Paths tell when it answers: `/early` right after the head, and it reads on only
/// later; `/late` after the body; `/never` not at all. Each body consists of the byte that its path ends
/// with.
async fn start(seen: Arc<Seen>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let seen = Arc::clone(&seen);
            tokio::spawn(async move {
                if let Err(problem) = serve(stream, &seen).await {
                    lock(&seen.problems).push(problem);
                }
            });
        }
    });
    address
}

async fn serve(mut stream: TcpStream, seen: &Seen) -> Result<(), String> {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let mut input = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = input.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !matches!(stream.read_buf(&mut input).await, Ok(1..)) {
                // A request that was given up may end anywhere.
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end + 4);
        let Some(path) = head.strip_prefix("POST /").and_then(|rest| rest.split(' ').next()) else {
            return Err(format!("instead of a request came {:?}", &head[..head.len().min(80)]));
        };
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let mut missing: usize = length.map_or(0, |length| length.parse().unwrap());
        let (when, fill) = path.split_once('/').unwrap();
        if when == "early" {
            let _ = stream.write_all(ANSWER).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        while missing > 0 {
            let length = input.len().min(missing);
            let part: Vec<u8> = input.drain(..length).collect();
            if part.iter().any(|byte| *byte != fill.as_bytes()[0]) {
                return Err(format!("other bytes came {missing} before the end of {path}"));
            }
            missing -= length;
            if missing > 0 && !matches!(stream.read_buf(&mut input).await, Ok(1..)) {
                return Ok(());
            }
        }
        seen.whole.fetch_add(1, Ordering::Relaxed);
        if when == "late" {
            let _ = stream.write_all(ANSWER).await;
        }
    }
}

fn request(when: &str, fill: u8, length: usize) -> Request {
    let mut request = http::Request::new(Full::new(Bytes::from(vec![fill; length])));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = format!("/{when}/{}", char::from(fill)).parse().unwrap();
    request.headers_mut().insert(HOST, HeaderValue::from_static("x"));
    request
}

/// Sends requests one after the other, some of which are given up after a while.
async fn send_requests(connections: &Connections, address: SocketAddr, mut rng: SmallRng) -> usize {
    let mut answered = 0;
    for _ in 0..REQUESTS {
        let when = ["early", "early", "late", "never"][rng.random_range(0..4)];
        let length = LENGTHS[rng.random_range(0..LENGTHS.len())];
        let request = request(when, rng.random_range(b'a'..=b'z'), length);
        let sending =
            connections.send_request(address, request, rng.random(), LIMIT, |_| BodyUse::Delivered);
        let patience = match when {
            "never" => rng.random_range(0..30),
            _ if rng.random_bool(0.3) => rng.random_range(0..10),
            _ => 10_000,
        };
        let answer = tokio::time::timeout(Duration::from_millis(patience), sending).await;
        if let Ok(Ok((_, _, body))) = answer {
            assert_eq!(body, "ok");
            answered += 1;
        }
    }
    answered
}

/// Guards against another request's bytes where the rest of a body is due, also after requests that were
/// given up.
#[tokio::test(flavor = "multi_thread")]
async fn only_the_rest_of_a_body_follows_an_early_answer() {
    for seed in SEEDS {
        let seen = Arc::new(Seen::default());
        let address = start(Arc::clone(&seen)).await;
        let connections = Connections::new(Clock::start(), BodyMemory::new(8 << 20));
        let rng = |caller| SmallRng::seed_from_u64(seed * CALLERS + caller);
        let callers = (0..CALLERS).map(|caller| send_requests(&connections, address, rng(caller)));
        let callers = futures::future::join_all(callers);
        let answered = tokio::time::timeout(SEED_TIMEOUT, callers).await.expect("a request hangs");
        // Long bodies are still read after their answers.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let problems = lock(&seen.problems).clone();
        assert!(problems.is_empty(), "seed {seed}: {problems:?}");
        let (answered, whole) =
            (answered.iter().sum::<usize>(), seen.whole.load(Ordering::Relaxed));
        assert!(answered > 0 && whole > 0, "seed {seed}: {answered} answered, {whole} read");
    }
}
