//! Connections to the backend server that are kept, and that it forgets without a word.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use gypsumtack::connection::{Connections, RequestError};
use gypsumtack::message::Request;
use gypsumtack::time::Clock;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LIMIT: u64 = 1_000;

/// A backend server that answers the first request of each connection and cuts it at the next one.
async fn forgetful() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let cut = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&cut);
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
    (address, cut)
}

fn request() -> Request {
    http::Request::builder()
        .uri("/deep")
        .header("host", "test")
        .body(Full::<Bytes>::default())
        .unwrap()
}

#[tokio::test]
async fn a_request_that_may_run_twice_survives_a_forgotten_connection() {
    let (address, cut) = forgetful().await;
    let connections = Connections::new(Clock::start());
    for _ in 0..5 {
        let answer = connections.send_request(address, request(), true, LIMIT).await.unwrap();
        assert_eq!(&answer.2[..], b"ok");
    }
    assert_eq!(cut.load(Ordering::Relaxed), 4, "kept connections were used");
}

#[tokio::test]
async fn another_request_takes_only_a_connection_used_a_moment_ago() {
    let (address, cut) = forgetful().await;
    let connections = Connections::new(Clock::start());
    for _ in 0..3 {
        let answer = connections.send_request(address, request(), false, LIMIT).await.unwrap();
        assert_eq!(&answer.2[..], b"ok");
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(cut.load(Ordering::Relaxed), 0, "no old connection was used");
}

/// The answer is lost and nobody knows whether the request ran, so it is not sent again.
#[tokio::test]
async fn a_request_that_must_not_run_twice_is_not_sent_again() {
    let (address, cut) = forgetful().await;
    let connections = Connections::new(Clock::start());
    connections.send_request(address, request(), false, LIMIT).await.unwrap();
    let lost = connections.send_request(address, request(), false, LIMIT).await.unwrap_err();
    assert!(matches!(lost, RequestError::Broken(_)), "{lost:?}");
    assert_eq!(cut.load(Ordering::Relaxed), 1);
}
