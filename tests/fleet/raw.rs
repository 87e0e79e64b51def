//! Raw sockets on both ends of a fleet: what is sent to it, and what a backend server receives of that.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumtack::sync::lock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time within which an answer has to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// The bytes of each request that a backend server received.
pub type Received = Arc<Mutex<Vec<Vec<u8>>>>;

/// Starts a backend server that records each request, head and body, and closes each connection after one.
pub async fn recording_backend() -> (SocketAddr, Received) {
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

/// Sends bytes on a new connection, and returns the status of the first answer; 0 if there is none.
pub async fn send(address: SocketAddr, parts: &[&[u8]]) -> u16 {
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

/// Returns the first line of a head.
pub fn first_line(bytes: &[u8]) -> String {
    let end = bytes.iter().position(|byte| *byte == b'\r').unwrap();
    String::from_utf8_lossy(&bytes[..end]).into_owned()
}
