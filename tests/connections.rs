//! Reuse of connections that the backend server drops without closing them first, and of those on which
//! it answers early.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::body::BodyMemory;
use gypsumtack::connection::{AnswerHead, BodyUse, Connections, RequestError};
use gypsumtack::message::Request;
use gypsumtack::time::Clock;
use http::header::HOST;
use http::{HeaderValue, Method};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LIMIT: u64 = 1_000;
/// Memory for the bodies of answers, in bytes.
const MEMORY: usize = 8 << 20;

/// Time within which an answer has to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a backend server that answers the first request of each connection, and closes the connection
/// without an answer at the second one. Returns its address and the number of closed connections.
async fn start_dropping_backend() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let dropped = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&dropped);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                if matches!(stream.read(&mut buffer).await, Ok(1..)) {
                    stream.write_all(ANSWER).await.unwrap();
                    if matches!(stream.read(&mut buffer).await, Ok(1..)) {
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    (address, dropped)
}

fn request() -> Request {
    http::Request::builder()
        .uri("/deep")
        .header("host", "test")
        .body(Full::<Bytes>::default())
        .unwrap()
}

/// Takes every answer for the one of the request.
fn any(_: &AnswerHead<'_>) -> BodyUse {
    BodyUse::Delivered
}

fn open_pool() -> Connections {
    Connections::new(Clock::start(), BodyMemory::new(MEMORY))
}

/// Opens `count` connections, which then are idle.
async fn open_idle(connections: &Connections, address: SocketAddr, count: usize) {
    let requests =
        (0..count).map(|_| connections.send_request(address, request(), true, LIMIT, any));
    for answer in futures::future::join_all(requests).await {
        assert_eq!(&answer.unwrap().2[..], b"ok");
    }
}

/// A backend server that resets its connections would otherwise get one request on each of them.
#[tokio::test]
async fn a_request_is_not_repeated_on_every_idle_connection() {
    let (address, dropped) = start_dropping_backend().await;
    let connections = open_pool();
    open_idle(&connections, address, 8).await;
    let error = connections.send_request(address, request(), true, LIMIT, any).await.unwrap_err();
    assert!(matches!(error, RequestError::Disconnected(_)), "{error:?}");
    assert_eq!(dropped.load(Ordering::Relaxed), 1, "the backend server got it more than once");
}

/// A request that must not be resent would be lost on a stale connection, so it gets a new connection
/// when the last use of the idle one is too long ago.
#[tokio::test]
async fn non_resendable_request_skips_stale_connections() {
    let (address, dropped) = start_dropping_backend().await;
    let connections = open_pool();
    for _ in 0..3 {
        let answer = connections.send_request(address, request(), false, LIMIT, any).await.unwrap();
        assert_eq!(&answer.2[..], b"ok");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(dropped.load(Ordering::Relaxed), 0, "a stale connection was reused");
}

/// When a recently used connection fails, it is unknown whether the request ran. It must not be sent
/// again, and the error has to say that the connection was lost.
#[tokio::test]
async fn non_resendable_request_is_not_sent_again() {
    let (address, dropped) = start_dropping_backend().await;
    let connections = open_pool();
    connections.send_request(address, request(), false, LIMIT, any).await.unwrap();
    let error = connections.send_request(address, request(), false, LIMIT, any).await.unwrap_err();
    assert!(matches!(error, RequestError::Disconnected(_)), "{error:?}");
    assert_eq!(dropped.load(Ordering::Relaxed), 1);
}

/// A backend server may answer before it has read a long body, keep the connection, and read on later.
/// The answer must not wait for that, and no other request's bytes may follow on that connection before
/// the rest of the body.
#[tokio::test]
async fn an_early_answer_is_delivered_and_its_connection_kept_apart() {
    let backend = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = backend.local_addr().unwrap();
    let length = 32 << 20;
    let serving = tokio::spawn(async move {
        let (mut early, _) = backend.accept().await.unwrap();
        let mut part = vec![0; 4 << 10];
        let mut received = early.read(&mut part).await.unwrap();
        early.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly").await.unwrap();
        let (mut other, _) = backend.accept().await.unwrap();
        assert!(other.read(&mut part).await.unwrap() > 0);
        other.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother").await.unwrap();
        // The rest of the long body is read only now.
        let mut buffer = vec![0; 1 << 20];
        while received < length {
            let read = early.read(&mut buffer).await.unwrap();
            assert!(read > 0, "the connection closed after {received} bytes of the body");
            received += read;
            assert!(
                !buffer[..read].windows(3).any(|text| text == b"GET"),
                "another request follows"
            );
        }
    });
    let connections = open_pool();
    let request = |method: Method, body: Vec<u8>| {
        let mut request = http::Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        request.headers_mut().insert(HOST, HeaderValue::from_static("x"));
        request
    };
    for (request, expected) in [
        (request(Method::POST, vec![b'v'; length]), "early"),
        (request(Method::GET, Vec::new()), "other"),
    ] {
        let answer = connections.send_request(address, request, false, 100, any);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        let (_, _, body) = answer.expect("the answer waits for the body").unwrap();
        assert_eq!(body, expected);
    }
    serving.await.unwrap();
}

/// A backend server may run a request of which it has read a part, so the request must not count as unsent.
#[tokio::test]
async fn a_long_request_that_is_cut_off_is_not_sent_again() {
    let long = || {
        let mut request = http::Request::new(Full::new(Bytes::from(vec![b'v'; 8 << 20])));
        *request.method_mut() = Method::POST;
        request.headers_mut().insert(HOST, HeaderValue::from_static("x"));
        request
    };
    let (address, dropped) = start_dropping_backend().await;
    let connections = open_pool();
    open_idle(&connections, address, 8).await;
    let error = connections.send_request(address, long(), true, LIMIT, any).await.unwrap_err();
    assert!(!matches!(error, RequestError::Unsent(_)), "{error:?}");
    assert_eq!(dropped.load(Ordering::Relaxed), 1, "the backend server got it more than once");

    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        assert!(stream.read(&mut [0; 4096]).await.unwrap() > 0);
    });
    let error = connections.send_request(address, long(), true, LIMIT, any).await.unwrap_err();
    assert!(!matches!(error, RequestError::Unsent(_)), "{error:?}");
}
