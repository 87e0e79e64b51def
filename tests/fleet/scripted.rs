//! A backend server on real sockets whose bytes a test chooses, and its dialect, in which it returns the
//! request id and says in a header that it did not run a request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumtack::dialect::Dialect;
use http::HeaderName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
pub const SEAL: HeaderName = HeaderName::from_static("x-seal");

/// Returns a dialect without claims, in which the status alone tells callers whether a request ran.
pub fn dialect() -> Dialect {
    Dialect {
        request_id: REQUEST_ID,
        caller_chosen_ids: true,
        echoes_id: true,
        token: None,
        not_run: Some(NOT_RUN),
        seal: Some(SEAL),
        idempotency_key: None,
        ..Dialect::own()
    }
}

/// A request as a script sees it.
pub struct Turn {
    pub id: String,
    /// Number of the connection, from 0.
    pub connection: u64,
    /// Number of requests that the connection has carried before.
    pub index: u64,
    /// The id of the request before it on the connection.
    pub earlier: Option<String>,
}

/// What a script does with a request, one step after the other.
pub enum Step {
    /// Runs the request.
    Run,
    Write(String),
    Pause(Duration),
    /// Ends the connection. Unread input resets it.
    Close,
}

/// Returns an answer with the ids, and with the seal or the header of a refusal.
pub fn answer(status: &str, ids: &[&str], mark: &HeaderName, body: &str) -> String {
    let ids: String = ids.iter().map(|id| format!("{REQUEST_ID}: {id}\r\n")).collect();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{ids}{mark}: 1\r\ncontent-length: {length}\r\n\r\n{body}")
}

pub fn success(ids: &[&str]) -> String {
    answer("200 OK", ids, &SEAL, ids.first().unwrap_or(&""))
}

pub fn refusal(ids: &[&str]) -> String {
    answer("503 Service Unavailable", ids, &NOT_RUN, "")
}

/// How often each request ran, over all backend servers that share it.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<BTreeMap<String, u32>>>);

impl Runs {
    pub fn of(&self, id: &str) -> u32 {
        self.0.lock().unwrap().get(id).copied().unwrap_or_default()
    }

    fn count(&self, id: &str) {
        *self.0.lock().unwrap().entry(id.to_owned()).or_default() += 1;
    }
}

/// Starts a backend server that follows `script` for each request.
pub async fn start<S>(runs: Runs, script: S) -> SocketAddr
where
    S: Fn(&Turn) -> Vec<Step> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (script, connections) = (Arc::new(script), AtomicU64::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (runs, script) = (runs.clone(), Arc::clone(&script));
            let connection = connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let _ = serve(stream, connection, &runs, &*script).await;
            });
        }
    });
    address
}

async fn serve(
    mut stream: TcpStream,
    connection: u64,
    runs: &Runs,
    script: &(dyn Fn(&Turn) -> Vec<Step> + Send + Sync),
) -> std::io::Result<()> {
    let (mut input, mut earlier) = (Vec::new(), None);
    for index in 0.. {
        let Some(id) = read_request(&mut stream, &mut input).await? else { break };
        let turn = Turn { id, connection, index, earlier: earlier.take() };
        for step in script(&turn) {
            match step {
                Step::Run => runs.count(&turn.id),
                Step::Write(text) => stream.write_all(text.as_bytes()).await?,
                Step::Pause(span) => tokio::time::sleep(span).await,
                Step::Close => return Ok(()),
            }
        }
        earlier = Some(turn.id);
    }
    Ok(())
}

/// Reads one request with its body. Returns its id, or `None` at the end of the connection.
async fn read_request(
    stream: &mut TcpStream,
    input: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some((id, length)) = parse_request(input) {
            input.drain(..length);
            return Ok(Some(id));
        }
        if stream.read_buf(input).await? == 0 {
            return Ok(None);
        }
    }
}

/// Returns the id and the length of a request that is complete.
fn parse_request(input: &[u8]) -> Option<(String, usize)> {
    let end = input.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let value = |wanted: &str| {
        head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case(wanted).then(|| value.to_owned())
        })
    };
    let length = value("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    (input.len() >= end + length)
        .then(|| (value(REQUEST_ID.as_str()).unwrap_or_default(), end + length))
}
