//! Requests with long bodies at the listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gypsumtack::dialect::Dialect;
use gypsumtack::envelope::RequestId;
use gypsumtack::message::{Answer, Message};
use gypsumtack::pipeline::{self, Delivery, Hooks};
use gypsumtack::reason::{Outcome, Reason};
use gypsumtack::server::Bounds;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Largest body of an upload on the platform's sheets.
const UPLOAD_BYTES: usize = 360_000;

/// Time within which an answer has to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a listener that answers each request with status 400 and the length of its body; a request for
/// `/stuck` only once `release` is notified.
async fn listener(bounds: Bounds, release: &Arc<Notify>) -> (SocketAddr, watch::Sender<bool>) {
    let release = Arc::clone(release);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let handler = move |id: RequestId, message: Message, _| {
        let release = Arc::clone(&release);
        async move {
            if message.uri.path() == "/stuck" {
                release.notified().await;
            }
            let problem = format!("{} bytes", message.body.len());
            Answer::refusal(id, Outcome::Ran, Reason::BadRequest { problem })
        }
    };
    let hooks = Hooks { handler, bounds: move || bounds, on_delivery: |_: Delivery<'_>| () };
    tokio::spawn(pipeline::serve(listener, Dialect::own(), stopped, hooks));
    (address, stop)
}

/// Reads until `text` has arrived, and returns all that was read.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut received = String::new();
    let reading = async {
        let mut buffer = [0; 4 << 10];
        while !received.contains(text) {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(length) => received.push_str(&String::from_utf8_lossy(&buffer[..length])),
            }
        }
    };
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, reading).await;
    assert!(received.contains(text), "{text:?} did not arrive, only {received:?}");
    received
}

/// Connects, and sends the head of an upload with `header`.
async fn upload(address: SocketAddr, path: &str, header: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\n{header}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

/// Connects, and sends a whole upload of [`UPLOAD_BYTES`].
async fn whole_upload(address: SocketAddr, path: &str) -> TcpStream {
    let mut stream = upload(address, path, &format!("content-length: {UPLOAD_BYTES}")).await;
    stream.write_all(&vec![b'v'; UPLOAD_BYTES]).await.unwrap();
    stream
}

/// Guards against a body larger than the read-ahead buffer that is never read to its end.
#[tokio::test]
async fn a_body_larger_than_the_read_ahead_buffer_is_read() {
    let (address, _stop) = listener(Bounds::internal(10), &Arc::default()).await;
    let mut stream = whole_upload(address, "/video").await;
    read_until(&mut stream, &format!("{UPLOAD_BYTES} bytes")).await;
}

#[tokio::test]
async fn a_long_chunked_body_is_read() {
    let (address, _stop) = listener(Bounds::internal(10), &Arc::default()).await;
    let mut stream = upload(address, "/video", "transfer-encoding: chunked").await;
    let part = vec![b'v'; UPLOAD_BYTES / 8];
    for _ in 0..8 {
        stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await.unwrap();
        stream.write_all(&part).await.unwrap();
        stream.write_all(b"\r\n").await.unwrap();
    }
    stream.write_all(b"0\r\n\r\n").await.unwrap();
    read_until(&mut stream, &format!("{UPLOAD_BYTES} bytes")).await;
}

/// A daemon has less memory than all callers together may send it. Bodies over the bound wait in the
/// network until earlier ones are answered, and short requests pass them meanwhile.
#[tokio::test]
async fn bodies_over_the_bound_wait_without_being_read() {
    let release = Arc::default();
    let bounds = Bounds { body_memory: UPLOAD_BYTES * 3, ..Bounds::internal(10) };
    let (address, _stop) = listener(bounds, &release).await;
    let mut first = whole_upload(address, "/stuck").await;
    // The first body has been read when the listener accepts a short request behind it.
    let mut second = upload(address, "/video", &format!("content-length: {UPLOAD_BYTES}")).await;
    let body = vec![b'v'; UPLOAD_BYTES];
    let (mut answer, mut body_sender) = second.split();
    let sending = async { body_sender.write_all(&body).await.unwrap() };
    let receiving = async {
        let mut short = upload(address, "/short", "content-length: 1").await;
        short.write_all(b"s").await.unwrap();
        read_until(&mut short, "1 bytes").await;
        let mut byte = [0];
        let early = tokio::time::timeout(Duration::from_millis(200), answer.peek(&mut byte)).await;
        assert!(early.is_err(), "the second body was read beside the first");
        release.notify_one();
        read_until(&mut first, &format!("{UPLOAD_BYTES} bytes")).await;
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, answer.read(&mut byte)).await;
        assert_eq!(answered.unwrap().unwrap(), 1, "the second body was not read after the first");
    };
    tokio::join!(sending, receiving);
}

/// A caller that stops in the middle of a body learns that its request has not run, and frees the memory.
#[tokio::test]
async fn a_body_that_stops_arriving_is_refused_as_not_run() {
    let header_timeout = Duration::from_millis(100);
    let bounds = Bounds { header_timeout, ..Bounds::internal(10) };
    let (address, _stop) = listener(bounds, &Arc::default()).await;
    for framing in ["content-length: 100000", "transfer-encoding: chunked"] {
        let mut stream = upload(address, "/video", framing).await;
        stream.write_all(b"10\r\n0123").await.unwrap();
        let answer = read_until(&mut stream, "slow-body").await;
        assert!(answer.starts_with("HTTP/1.1 408"), "{framing}: {answer}");
    }
}

/// Guards against a body that escapes the timeout by sending a byte now and then.
#[tokio::test]
async fn a_body_that_trickles_is_refused_as_not_run() {
    let bounds = Bounds {
        header_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(500),
        ..Bounds::internal(10)
    };
    let (address, _stop) = listener(bounds, &Arc::default()).await;
    let stream = upload(address, "/video", "transfer-encoding: chunked").await;
    let (mut reader, mut writer) = stream.into_split();
    let trickle = tokio::spawn(async move {
        while writer.write_all(b"1\r\nv\r\n").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    let mut status = [0; 12];
    let read = tokio::time::timeout(ANSWER_TIMEOUT, reader.read_exact(&mut status)).await;
    read.expect("the body was never given up").unwrap();
    assert_eq!(&status, b"HTTP/1.1 408");
    trickle.abort();
}

/// Guards against trailers without end, each line of which is short.
#[tokio::test]
async fn trailers_are_bounded_in_total() {
    let (address, _stop) = listener(Bounds::internal(10), &Arc::default()).await;
    let mut stream = upload(address, "/video", "transfer-encoding: chunked").await;
    let lines = "a: 0123456789\r\n".repeat(1_000);
    stream.write_all(format!("0\r\n{lines}").as_bytes()).await.unwrap();
    read_until(&mut stream, "HTTP/1.1 400").await;
}

/// Guards against a caller that waits for `100 Continue` forever because it asked for it behind another
/// request.
#[tokio::test]
async fn continue_is_sent_after_the_answers_of_earlier_requests() {
    let release = Arc::default();
    let (address, _stop) = listener(Bounds::internal(10), &release).await;
    let mut stream = upload(address, "/stuck", "content-length: 0").await;
    let second =
        "POST /video HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    stream.write_all(second.as_bytes()).await.unwrap();
    release.notify_one();
    read_until(&mut stream, "100 Continue").await;
    stream.write_all(b"ok").await.unwrap();
    read_until(&mut stream, "2 bytes").await;
}
