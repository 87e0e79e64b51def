//! A backend server on a real socket that records what it receives and ends requests as a test says.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumtack::message::DEADLINE;
use gypsumtack::sync::lock;
use gypsumtack::time::{Clock, Time};
use gypsumtack_standin::backend::OPERATION;
use http::HeaderName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Marks an answer as a refusal.
pub const REFUSED: HeaderName = HeaderName::from_static("x-refused");

/// A request that arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The operation that it belongs to.
    pub operation: String,
    /// The time that the backend server is told to have, in milliseconds.
    pub time_left_ms: Option<u64>,
    /// When it arrived.
    pub at: Time,
}

impl Arrival {
    /// When the backend server is to stop working on it.
    pub fn deadline(&self) -> Option<Time> {
        Some(self.at + Duration::from_millis(self.time_left_ms?))
    }
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It is answered with this status.
    Status(u16),
    /// It is refused and does not run.
    Refused,
    /// The connection is closed without an answer.
    Closed,
    /// The answer is not HTTP.
    Garbage,
    /// It is never answered.
    Silence,
}

type Script = dyn Fn(&Arrival) -> (Duration, Ending) + Send + Sync;

pub struct Recorder {
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Recorder {
    /// Starts a backend server that ends each request after the time, and in the way, that `script` says.
    pub async fn start(
        clock: Clock,
        script: impl Fn(&Arrival) -> (Duration, Ending) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (seen, script): (_, Arc<Script>) = (Arc::clone(&arrivals), Arc::new(script));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, clock, Arc::clone(&seen), Arc::clone(&script)));
            }
        });
        Self { address, arrivals }
    }

    /// Returns the requests that have arrived, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Returns the first arrival of an operation.
    pub fn arrival(&self, operation: &str) -> Option<Arrival> {
        lock(&self.arrivals).iter().find(|arrival| arrival.operation == operation).cloned()
    }
}

async fn serve(
    mut stream: TcpStream,
    clock: Clock,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    script: Arc<Script>,
) {
    let mut buffer = Vec::new();
    loop {
        let mut part = [0; 2048];
        match stream.read(&mut part).await {
            Ok(read @ 1..) => buffer.extend_from_slice(&part[..read]),
            _ => return,
        }
        let text = String::from_utf8_lossy(&buffer).to_ascii_lowercase();
        let Some(end) = text.find("\r\n\r\n") else { continue };
        let header = |name: &HeaderName| {
            let prefix = format!("{name}: ");
            text[..end].lines().find_map(|line| line.strip_prefix(&prefix)).map(str::to_owned)
        };
        let arrival = Arrival {
            operation: header(&OPERATION).unwrap_or_default(),
            time_left_ms: header(&DEADLINE).and_then(|text| text.parse().ok()),
            at: clock.now(),
        };
        lock(&arrivals).push(arrival.clone());
        let (time, ending) = script(&arrival);
        tokio::time::sleep(time).await;
        let answer = match ending {
            Ending::Status(status) => {
                format!("HTTP/1.1 {status} Ended\r\ncontent-length: 0\r\n\r\n")
            }
            Ending::Refused => {
                format!("HTTP/1.1 503 Full\r\n{REFUSED}: 1\r\ncontent-length: 0\r\n\r\n")
            }
            Ending::Garbage => "no answer\r\n\r\n".to_owned(),
            Ending::Closed => return,
            Ending::Silence => std::future::pending().await,
        };
        if stream.write_all(answer.as_bytes()).await.is_err() || ending == Ending::Garbage {
            return;
        }
        buffer.drain(..end + 4);
    }
}
