//! Stand-ins for the cases in `review/`: the platform's store, instances, clients, and the runner that
//! starts daemons as processes. Standard library only; `review/build.sh` builds it.
//!
//! `standin CASE FOLDER DAEMON` plays one case, writes FOLDER/record.txt, and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    fn new() -> Self {
        Self { start: Instant::now(), lines: Arc::default() }
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn add(&self, line: impl Into<String>) -> u64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.into()));
        now
    }

    fn save(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:>7} ms  {line}");
        }
        let _ = std::fs::write(path, text);
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Http {
    /// The first line, without its end.
    line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Http {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a length. `None` at the end of the connection or a failure.
fn read_http(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Http> {
    let mut buffer = [0u8; 16384];
    let end = loop {
        if let Some(at) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&buffer[..n]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..end - 4]).into_owned();
    rest.drain(..end);
    let mut lines = head.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect();
    let mut message = Http { line, headers, body: Vec::new() };
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => rest.extend_from_slice(&buffer[..n]),
        }
    }
    message.body = rest.drain(..length).collect();
    Some(message)
}

fn listen(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let listener = TcpListener::bind(address).expect("bind");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
}

/// Ports that were free a moment ago.
fn free_address() -> SocketAddr {
    static USED: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
        let mut used = USED.lock().unwrap();
        if !used.contains(&port) {
            used.push(port);
            return SocketAddr::from(([127, 0, 0, 1], port));
        }
    }
}

// ---------------------------------------------------------------- JSON, as far as the store needs it

#[derive(Debug, Clone)]
enum Json {
    Text(String),
    Number(f64),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
    Other,
}

impl Json {
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(b: &[u8], at: &mut usize) {
        while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(b, at);
        match *b.get(*at)? {
            b'"' => Self::text(b, at).map(Json::Text),
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(b, at);
                    match *b.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(b, at)?),
                    }
                }
            }
            b'{' => {
                *at += 1;
                let mut table = BTreeMap::new();
                loop {
                    Self::skip(b, at);
                    match *b.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let key = Self::text(b, at)?;
                            Self::skip(b, at);
                            *at += 1; // the colon
                            table.insert(key, Self::value(b, at)?);
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while b.get(*at).is_some_and(|c| !b",]} \n\r\t".contains(c)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&b[start..*at]).ok()?;
                Some(word.parse().map_or(Json::Other, Json::Number))
            }
        }
    }

    fn text(b: &[u8], at: &mut usize) -> Option<String> {
        *at += 1;
        let mut out = Vec::new();
        loop {
            match *b.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    out.push(*b.get(*at + 1)?);
                    *at += 2;
                }
                other => {
                    out.push(other);
                    *at += 1;
                }
            }
        }
    }

    fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(key),
            _ => None,
        }
    }

    fn str(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    fn list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct StoreState {
    /// Value in base64 and version, by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Changes: version, table, key, and whether the row was deleted.
    log: Vec<(u64, String, String, bool)>,
    version: u64,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let address = free_address();
        let own = store.clone();
        listen(address, move |stream| own.serve(stream));
        (store, address)
    }

    fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), key.into()), (base64(value), version));
        state.log.push((version, table.into(), key.into(), false));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let start = Instant::now();
        let mut rest = Vec::new();
        while let Some(request) = read_http(&mut stream, &mut rest) {
            let target = request.line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(k, v)| (k.to_owned(), decode_url(v)))
                .collect();
            let (status, body) = match path {
                "/-/rows-tx" => self.commit(&String::from_utf8_lossy(&request.body)),
                "/-/rows-get" => self.read(&query, start),
                "/-/rows-feed" => self.feed(&query, start),
                _ => (404, "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn commit(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let mut state = self.state.0.lock().unwrap();
        let mut failed = false;
        for check in body.list("ExpectedRevision") {
            let expected = match check.get("Ver") {
                Some(Json::Number(n)) => *n as u64,
                _ => 0,
            };
            let key = (check.str("Table"), check.str("Key"));
            let found = state.rows.get(&key).map_or(0, |row| row.1);
            failed |= found != expected;
        }
        if failed {
            let rows: Vec<String> = body
                .list("ExpectedRevision")
                .iter()
                .filter_map(|check| {
                    let key = (check.str("Table"), check.str("Key"));
                    state.rows.get(&key).map(|row| row_json(&key.0, &key.1, &row.0, row.1))
                })
                .collect();
            let text = format!("{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":1}}", rows.join(","), state.version);
            return (412, text);
        }
        state.version += 1;
        let version = state.version;
        for write in body.list("Writes") {
            let key = (write.str("Table"), write.str("Key"));
            state.rows.insert(key.clone(), (write.str("Value"), version));
            state.log.push((version, key.0, key.1, false));
        }
        for remove in body.list("Remove") {
            let key = (remove.str("Table"), remove.str("Key"));
            state.rows.remove(&key);
            state.log.push((version, key.0, key.1, true));
        }
        self.state.1.notify_all();
        (200, format!("{{\"Ver\":{version},\"NowMs\":1}}"))
    }

    fn read(&self, query: &BTreeMap<String, String>, start: Instant) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let table = query.get("Table").cloned().unwrap_or_default();
        let from = query.get("From").cloned().unwrap_or_default();
        let to = query.get("To").cloned();
        let limit = query.get("Limit").and_then(|l| l.parse().ok()).unwrap_or(500usize);
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((t, k), _)| *t == table && *k >= from && to.as_ref().is_none_or(|to| k < to))
            .take(limit)
            .map(|((t, k), (value, version))| row_json(t, k, value, *version))
            .collect();
        let now = start.elapsed().as_millis();
        let text = format!(
            "{{\"Rows\":[{}],\"HasMore\":false,\"Ver\":{},\"NowMs\":{now}}}",
            rows.join(","),
            state.version
        );
        (200, text)
    }

    fn feed(&self, query: &BTreeMap<String, String>, start: Instant) -> (u16, String) {
        let table = query.get("Table").cloned().unwrap_or_default();
        let after: u64 = query.get("after").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait: u64 = query.get("WaitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            let rows: Vec<String> = state
                .log
                .iter()
                .filter(|(version, t, _, _)| *version > after && *t == table)
                .map(|(version, t, k, deleted)| match (deleted, state.rows.get(&(t.clone(), k.clone()))) {
                    (false, Some(row)) => row_json(t, k, &row.0, row.1),
                    _ => format!("{{\"Table\":\"{t}\",\"part\":\"\",\"Key\":\"{k}\",\"Ver\":{version},\"Deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let now = start.elapsed().as_millis();
                let text =
                    format!("{{\"Rows\":[{}],\"Ver\":{},\"NowMs\":{now}}}", rows.join(","), state.version);
                return (200, text);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row_json(table: &str, key: &str, value: &str, version: u64) -> String {
    format!("{{\"Table\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"Value\":\"{value}\",\"Ver\":{version}}}")
}

fn decode_url(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() => {
                out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
                at += 3;
            }
            b'+' => {
                out.push(b' ');
                at += 1;
            }
            other => {
                out.push(other);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- instances

/// One request that an instance began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    id: String,
    started: u64,
    /// When the work ended: complete, or dropped because its connection closed.
    ended: Option<u64>,
    dropped: bool,
}

/// An application instance, which drops a request when its connection closes.
#[derive(Clone)]
pub struct Instance {
    id: String,
    service: String,
    address: SocketAddr,
    control: SocketAddr,
    born: u64,
    sequence: Arc<AtomicU64>,
    state: Arc<Mutex<&'static str>>,
    beats: Arc<AtomicBool>,
    gone: Arc<AtomicBool>,
    slots: Arc<AtomicU64>,
    /// Of so many answers one has a body without end; 0 for none.
    endless: Arc<AtomicU64>,
    answers: Arc<AtomicU64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

impl Instance {
    fn start(name: &str, service: &str, address: SocketAddr, control: SocketAddr, record: &Record) -> Self {
        let instance = Self {
            id: format!("i-{name}"),
            service: service.into(),
            address,
            control,
            born: unix_millis(),
            sequence: Arc::new(AtomicU64::new(1)),
            state: Arc::new(Mutex::new("ready")),
            beats: Arc::new(AtomicBool::new(true)),
            gone: Arc::default(),
            slots: Arc::new(AtomicU64::new(100)),
            endless: Arc::default(),
            answers: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let own = instance.clone();
        listen(address, move |stream| own.serve(stream));
        let own = instance.clone();
        thread::spawn(move || {
            while !own.gone.load(Ordering::SeqCst) {
                if own.beats.load(Ordering::SeqCst) {
                    own.beat();
                }
                sleep_ms(1_500);
            }
        });
        instance
    }

    /// The body of a heartbeat with all fields.
    fn body(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":{sequence},\"born\":{}}}",
            self.service,
            self.address,
            self.slots.load(Ordering::SeqCst),
            self.born
        )
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let state = *self.state.lock().unwrap();
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let status = self.call("instances.heartbeat", &self.body(state, sequence));
        if state != "ready" || status != 200 {
            self.record.add(format!("{} beat {sequence} {state}: {status}", self.id));
        }
        status == 200
    }

    fn deregister(&self) -> u16 {
        self.call("instances.deregister", &format!("{{\"born\":{}}}", self.born))
    }

    fn call(&self, call: &str, body: &str) -> u16 {
        post(self.control, &format!("/-/rpc?call={call}&of={}", self.id), body)
    }

    /// Writes a body without end at `ENDLESS_BYTES_PER_S`, until the other side closes.
    fn write_endless(&self, stream: &mut TcpStream, id: &str) {
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n\r\n");
        let piece = vec![b'x'; 64 << 10];
        let start = Instant::now();
        let mut written = 0u64;
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        while !self.gone.load(Ordering::SeqCst) && stream.write_all(&piece).is_ok() {
            written += piece.len() as u64;
            let due = Duration::from_millis(written * 1_000 / ENDLESS_BYTES_PER_S);
            thread::sleep(due.saturating_sub(start.elapsed()));
        }
        self.record.add(format!("{} has written {} KiB of {id} when it is cut off", self.id, written >> 10));
    }

    /// An instance that leaves says so in all its answers.
    fn leaving(&self) -> &'static str {
        if *self.state.lock().unwrap() == "ready" { "" } else { "Server-Leaving: 1\r\n" }
    }

    /// Ends the instance: every connection is closed.
    fn exit(&self) {
        self.gone.store(true, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut rest = Vec::new();
        loop {
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
            let mut probe = [0u8; 1];
            if rest.is_empty() {
                match stream.peek(&mut probe) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(_) => continue,
                }
            }
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let Some(request) = read_http(&mut stream, &mut rest) else { return };
            let id = request.header("x-attempt-id").unwrap_or_default().to_owned();
            if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
                let head = format!("HTTP/1.1 421 M\r\nX-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", self.id);
                if stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let work: u64 = request.header("x-work-ms").and_then(|v| v.parse().ok()).unwrap_or(10);
            let started = self.record.add(format!("{} runs {id} ({work} ms of work)", self.id));
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { id: id.clone(), started, ended: None, dropped: false });
                runs.len() - 1
            };
            let end = Instant::now() + Duration::from_millis(work);
            let mut dropped = false;
            let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
            while Instant::now() < end && !dropped {
                match stream.peek(&mut probe) {
                    Ok(0) => dropped = true,
                    Ok(_) => sleep_ms(5),
                    Err(error) => {
                        use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
                        dropped = !matches!(error.kind(), WouldBlock | TimedOut | Interrupted);
                    }
                }
                dropped |= self.gone.load(Ordering::SeqCst);
            }
            let what = if dropped { "drops" } else { "completes" };
            let ended = self.record.add(format!("{} {what} {id}", self.id));
            {
                let mut runs = self.runs.lock().unwrap();
                runs[index].ended = Some(ended);
                runs[index].dropped = dropped;
            }
            if dropped {
                return;
            }
            let every = self.endless.load(Ordering::SeqCst);
            if every > 0 && self.answers.fetch_add(1, Ordering::SeqCst) % every == every - 1 {
                self.record.add(format!("{} answers {id} with a body without end", self.id));
                return self.write_endless(&mut stream, &id);
            }
            let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}.{id}\r\n{}Content-Length: 2\r\n\r\nok", self.id, self.leaving());
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Sends a POST on a connection of its own. Returns the status, 0 without an answer.
fn post(address: SocketAddr, target: &str, body: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let text = format!(
        "POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return 0;
    }
    read_http(&mut stream, &mut Vec::new()).map_or(0, |answer| answer.status())
}

// ---------------------------------------------------------------- daemons

pub struct Daemon {
    name: String,
    program: String,
    settings: String,
    log: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub ready: SocketAddr,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings as the template in `deploy/settings.toml` gives them.
    fn new(name: &str, zone: &str, service: &str, app: SocketAddr, store: SocketAddr, folder: &str, program: &str) -> Self {
        let callers = free_address();
        let operators = free_address();
        let ready = free_address();
        let text = format!(
            "[daemon]\nvm = \"{name}\"\nfailure_domain = \"{zone}\"\nservice = \"{service}\"\nbackend = \"{app}\"\n\n\
             [daemon.listen]\ncallers = \"{callers}\"\negress = \"{callers}\"\npeers = \"{}\"\ncontrol = \"{}\"\n\
             operators = \"{operators}\"\n\n[daemon.platform]\naddress = \"{store}\"\n\n[daemon.fleet]\nsecrets = []\n\
             open = true\n\n[daemon.limits]\nheader_ms = 3000\nidle_ms = 20000\nleave_ms = 1500\n\n\
             [adapter]\nready = \"{ready}\"\nmetrics = \"{}\"\ngrace_s = 6\n",
            free_address(),
            free_address(),
            free_address()
        );
        let settings = format!("{folder}/{name}.toml");
        std::fs::write(&settings, text).expect("settings");
        let log = format!("{folder}/{name}.log");
        Self { name: name.into(), program: program.into(), settings, log, callers, operators, ready, child: None }
    }

    fn start(&mut self, record: &Record) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let child = Command::new(&self.program)
            .env("GYPSUMTACK_SETTINGS", &self.settings)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the daemon starts");
        record.add(format!("{} starts as process {}", self.name, child.id()));
        self.child = Some(child);
    }

    /// SIGKILL.
    fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            record.add(format!("{} is killed", self.name));
        }
    }

    /// SIGTERM, sent by the shell, since the standard library sends only SIGKILL.
    fn terminate(&self, record: &Record) -> u64 {
        let _ = Command::new("sh").args(["-c", &format!("kill -TERM {}", self.pid())]).status();
        record.add(format!("{} gets SIGTERM", self.name))
    }

    /// Waits until the process has ended, at most `ms`.
    fn wait_end(&mut self, ms: u64, record: &Record) -> bool {
        let end = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < end {
            if let Some(Ok(Some(status))) = self.child.as_mut().map(Child::try_wait) {
                record.add(format!("{} has ended: {status}", self.name));
                self.child = None;
                return true;
            }
            sleep_ms(10);
        }
        false
    }

    /// The most resident memory that the process has had, in KiB.
    fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
        line.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Waits until the daemon says that it is ready.
    fn wait_ready(&self, record: &Record) -> bool {
        for _ in 0..150 {
            if get_status(self.ready, "/-/ready") == 200 {
                record.add(format!("{} is ready", self.name));
                return true;
            }
            sleep_ms(100);
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn get_status(address: SocketAddr, target: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    let _ = stream.write_all(text.as_bytes());
    read_http(&mut stream, &mut Vec::new()).map_or(0, |answer| answer.status())
}

// ---------------------------------------------------------------- clients

static NEXT_ID: AtomicUsize = AtomicUsize::new(1);

fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst) as u64)
}

/// Text of one request of a client.
fn request_text(method: &str, path: &str, id: &str, deadline_ms: u64, work_ms: u64, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         X-Credential: key-of-tenant-one\r\nX-Work-Ms: {work_ms}\r\n{extra}Content-Length: 0\r\n\r\n"
    )
}

/// Sends a request on a connection of its own and waits for its answer. Returns the status, 0 without one.
fn ask(address: SocketAddr, method: &str, path: &str, work_ms: u64, record: &Record) -> (String, u16) {
    let id = new_id();
    record.add(format!("client sends {id} ({method} {path})"));
    let status = (|| {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(request_text(method, path, &id, 5_000, work_ms, "").as_bytes()).ok()?;
        read_http(&mut stream, &mut Vec::new()).map(|answer| answer.status())
    })()
    .unwrap_or(0);
    record.add(format!("client gets {status} for {id}"));
    (id, status)
}

fn manifest(version: u64, service: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, public: bool| {
        format!(
            "{{\"Name\":\"{name}\",\"Hostname\":\"shop.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\
             \"TimeoutMs\":5000,\"TargetLatencyMs\":1200,\"Priority\":1,\"Service\":\"{service}\",\
             \"MaxAttempts\":2,\"Public\":{public}}}"
        )
    };
    let front = |name: &str, prefix: &str, kind: &str| route(name, prefix, kind, false).replace(service, "front");
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{},{},{},{},{}],\"Services\":[{{\"Name\":\"{service}\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":800,\"Protocol\":\"h1\",\"Tls\":false}},{{\"Name\":\"front\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":800,\"Protocol\":\"h1\",\"Tls\":false}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"one\",\
         \"ApiKeys\":[\"key-of-tenant-one\"],\"Priority\":1,\"RatePerS\":5000,\"Burst\":5000}}]}}",
        route("read", "/read/", "idempotent", false),
        route("sign", "/sign/", "non_idempotent", false),
        front("front-read", "/front/read/", "idempotent"),
        front("front-sign", "/front/sign/", "non_idempotent"),
        route("open-read", "/open/read/", "idempotent", true),
        route("open-sign", "/open/sign/", "non_idempotent", true)
    )
}

// ---------------------------------------------------------------- cases

/// `DrainMs` and `ContactMs` of the site.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// Rate of a body without end: a tenth of the site's `LinkMbps`, 1,000.
const ENDLESS_BYTES_PER_S: u64 = 12_500_000;

/// Work of a sign-off: the longest of the site's sheet.
const SIGNOFF_MS: u64 = 580;

/// A deployment: the store with a manifest, and one daemon and one instance for each name.
struct Fleet {
    record: Record,
    instances: Vec<Instance>,
    daemons: Vec<Daemon>,
    _store: Store,
}

impl Fleet {
    fn start(names: &[&str], zones: &[&str], services: &[&str], program: &str) -> Option<Self> {
        let record = Record::new();
        let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&scratch).ok()?;
        let scratch = scratch.to_str()?.to_owned();
        let (store, store_address) = Store::start();
        store.put("op", "config", manifest(7, "svc").as_bytes());
        let mut daemons = Vec::new();
        let mut instances = Vec::new();
        for ((name, zone), service) in names.iter().zip(zones).zip(services) {
            let app = free_address();
            let mut daemon = Daemon::new(name, zone, service, app, store_address, &scratch, program);
            daemon.start(&record);
            sleep_ms(50);
            instances.push(Instance::start(name, service, app, daemon.operators, &record));
            daemons.push(daemon);
        }
        let fleet = Self { record, instances, daemons, _store: store };
        for daemon in &fleet.daemons {
            if !daemon.wait_ready(&fleet.record) {
                return None;
            }
        }
        // Every daemon has joined the roster, and each instance gets requests.
        sleep_ms(6_000);
        for daemon in &fleet.daemons {
            if ask(daemon.callers, "GET", "/read/1", 10, &fleet.record).1 != 200 {
                fleet.record.add("a request before the case was not served");
                return None;
            }
        }
        Some(fleet)
    }
}

/// What a client did with one request.
#[derive(Debug, Clone)]
struct Asked {
    id: String,
    sent: u64,
    status: u16,
    signoff: bool,
}

/// Sends `per_s` requests a second to each address, every third a sign-off, until `stop`.
fn traffic(
    addresses: Vec<SocketAddr>,
    per_s: u64,
    work_ms: u64,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> Arc<Mutex<Vec<Asked>>> {
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    for address in addresses {
        let (record, stop, asked) = (record.clone(), Arc::clone(stop), Arc::clone(&asked));
        thread::spawn(move || {
            let mut count = 0u64;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let signoff = count % 3 == 0;
                let (record, asked) = (record.clone(), Arc::clone(&asked));
                thread::spawn(move || {
                    let sent = record.now();
                    let (method, path) = if signoff { ("POST", "/sign/1") } else { ("GET", "/read/1") };
                    let work_ms = if signoff { SIGNOFF_MS } else { work_ms };
                    let (id, status) = ask(address, method, path, work_ms, &record);
                    asked.lock().unwrap().push(Asked { id, sent, status, signoff });
                });
                sleep_ms(1_000 / per_s);
            }
        });
    }
    asked
}

/// DRAIN: requests that reach `instance` later than `DrainMs` after `acked`, sent by their clients when the
/// machine beside it was in touch, from `in_touch` on. Returns how many, and how many of them were lost.
fn drain_broken(record: &Record, instance: &Instance, asked: &[Asked], acked: u64, in_touch: u64) -> (usize, usize) {
    let runs = instance.runs.lock().unwrap().clone();
    let (mut late, mut lost) = (0, 0);
    for run in &runs {
        let Some(asked) = asked.iter().find(|asked| asked.id == run.id) else { continue };
        if run.started <= acked + DRAIN_MS || asked.sent < in_touch || asked.sent <= acked + DRAIN_MS {
            continue;
        }
        late += 1;
        if run.dropped && asked.status != 200 {
            lost += 1;
            record.add(format!(
                "LOST {} ({}): it ran at the instance that had left, the client got {}",
                run.id,
                if asked.signoff { "sign-off" } else { "read" },
                asked.status
            ));
        }
    }
    record.add(format!(
        "RESULT: {late} requests reached {} later than {DRAIN_MS} ms after the acknowledgement at {acked} ms; \
         {lost} of them were lost when it ended",
        instance.id
    ));
    (late, lost)
}

/// An instance deregisters, is acknowledged, and serves on for some seconds; its daemon is killed and starts
/// again; a heartbeat that the instance sent before arrives late.
fn late_beat(program: &str) -> Option<(Record, bool)> {
    const LATE_MS: u64 = 4_600;
    let mut fleet = Fleet::start(&["a", "b"], &["z1", "z1"], &["svc", "svc"], program)?;
    let record = fleet.record.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let addresses = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    let asked = traffic(addresses, 50, 150, &record, &stop);
    sleep_ms(2_000);
    let instance = fleet.instances[1].clone();
    // The last heartbeat before the deregistration: it is on its way for some seconds.
    instance.beats.store(false, Ordering::SeqCst);
    let sequence = instance.sequence.fetch_add(1, Ordering::SeqCst);
    let body = instance.body("ready", sequence);
    let sent = record.add(format!("{} sends its heartbeat {sequence}, ready", instance.id));
    sleep_ms(100);
    *instance.state.lock().unwrap() = "leaving";
    if instance.deregister() != 200 {
        return None;
    }
    let acked = record.add(format!("{} deregisters: acknowledged", instance.id));
    let mut restarted = acked;
    if trouble() {
        sleep_ms(100);
        fleet.daemons[1].kill(&record);
        sleep_ms(500);
        restarted = record.now();
        fleet.daemons[1].start(&record);
    }
    let on_its_way = (sent + LATE_MS).saturating_sub(record.now());
    sleep_ms(on_its_way);
    let status = instance.call("instances.heartbeat", &body);
    record.add(format!("{} heartbeat {sequence} arrives, {LATE_MS} ms late: {status}", instance.id));
    // It has served on for DrainMs and a little longer, at times many seconds; then it exits.
    sleep_ms((acked + 5_000).saturating_sub(record.now()));
    record.add(format!("{} exits", instance.id));
    instance.exit();
    sleep_ms(1_000);
    stop.store(true, Ordering::SeqCst);
    sleep_ms(1_500);
    let asked = asked.lock().unwrap().clone();
    let in_touch = if trouble() { restarted + CONTACT_MS + 500 } else { 0 };
    let (late, _) = drain_broken(&record, &instance, &asked, acked, in_touch);
    Some((record, late > 0))
}

/// A client that sends one request with `Connection: close`. If it leaves, it closes its connection after
/// `leave_ms`; its request and the time then go into `left`.
fn single_client(
    address: SocketAddr,
    (method, path): (&'static str, &'static str),
    work_ms: u64,
    leave_ms: Option<u64>,
    record: &Record,
    left: &Arc<Mutex<Vec<(String, u64)>>>,
) -> thread::JoinHandle<()> {
    let (record, left) = (record.clone(), Arc::clone(left));
    thread::spawn(move || {
        let id = new_id();
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let text = request_text(method, path, &id, 5_000, work_ms, "Connection: close\r\n");
        let _ = stream.write_all(text.as_bytes());
        record.add(format!("client sends {id} ({method} {path}, Connection: close)"));
        if let Some(leave_ms) = leave_ms {
            sleep_ms(leave_ms);
            drop(stream);
            let at = record.add(format!("client of {id} closes its connection"));
            left.lock().unwrap().push((id, at));
            return;
        }
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let status = read_http(&mut stream, &mut Vec::new()).map_or(0, |answer| answer.status());
        record.add(format!("client gets {status} for {id}"));
    })
}

/// Clients that send one request on a connection leave before its answer: first while their requests wait
/// for a slot, then while an instance is at work on them.
fn gone(program: &str) -> Option<(Record, bool)> {
    const WORK_MS: u64 = 2_500;
    const LEAVE_MS: u64 = 300;
    const FILL_MS: u64 = 900;
    /// Slots of `inspection-terrain`, the site's smallest instances; the daemon uses 15 of them.
    const SLOTS: u64 = 16;
    let fleet = Fleet::start(&["a"], &["z1"], &["svc"], program)?;
    let record = fleet.record.clone();
    let (address, instance) = (fleet.daemons[0].callers, &fleet.instances[0]);
    let leave = trouble().then_some(LEAVE_MS);
    instance.slots.store(SLOTS, Ordering::SeqCst);
    if !instance.beat() {
        return None;
    }
    sleep_ms(200);
    // Fifteen requests hold the slots, and ten sign-offs wait; of the 25 clients, seven leave.
    let waited: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..25 {
        let path = if number < 15 { ("GET", "/read/1") } else { ("POST", "/sign/1") };
        let work = if number < 15 { FILL_MS } else { 50 };
        let leaves = leave.filter(|_| (15..22).contains(&number)).map(|_| 100);
        clients.push(single_client(address, path, work, leaves, &record, &waited));
        sleep_ms(2);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(2_000);
    let runs = instance.runs.lock().unwrap().clone();
    let waited = waited.lock().unwrap().clone();
    let arrives_late = |(id, at): &&(String, u64)| runs.iter().any(|run| run.id == *id && run.started > at + 500);
    let late = waited.iter().filter(arrives_late).count();
    record.add(format!(
        "RESULT: {late} of {} sign-offs whose clients had left reached the instance over half a second later",
        waited.len()
    ));
    // Sixty requests, one after the other; three in ten clients leave.
    instance.slots.store(100, Ordering::SeqCst);
    instance.beat();
    let left: Arc<Mutex<Vec<(String, u64)>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..60 {
        let leaves = leave.filter(|_| number % 10 < 3);
        clients.push(single_client(address, ("GET", "/read/1"), WORK_MS, leaves, &record, &left));
        sleep_ms(50);
    }
    for client in clients {
        let _ = client.join();
    }
    sleep_ms(3_000);
    let runs = instance.runs.lock().unwrap().clone();
    let (mut long, mut at_work) = (0, 0);
    for (id, at) in left.lock().unwrap().iter() {
        let Some(run) = runs.iter().find(|run| run.id == *id) else { continue };
        if run.started + WORK_MS <= at + 500 {
            continue;
        }
        long += 1;
        at_work += usize::from(run.ended.is_none_or(|ended| ended > at + 500));
    }
    record.add(format!(
        "RESULT: {long} idempotent requests whose clients had left would have lasted half a second longer; the \
         instance was still at work on {at_work} of them then"
    ));
    // "More than a few" is taken for more than five.
    Some((record, late > 5 || at_work * 4 > long))
}

/// A daemon gets SIGTERM while its clients go on: fewer than half of its zone's daemons are in.
fn stop(program: &str) -> Option<(Record, bool)> {
    const WORK_MS: u64 = 1_500;
    const GRACE_MS: u64 = 6_000;
    let mut fleet = Fleet::start(&["a", "b"], &["z1", "z2"], &["svc", "svc"], program)?;
    let record = fleet.record.clone();
    let asked: Arc<Mutex<Vec<(Asked, u64)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (record, stop, asked, address) =
            (record.clone(), Arc::clone(&stop), Arc::clone(&asked), fleet.daemons[0].callers);
        thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                count += 1;
                let signoff = count % 2 == 0;
                let (record, asked) = (record.clone(), Arc::clone(&asked));
                thread::spawn(move || {
                    let sent = record.now();
                    let (method, path) = if signoff { ("POST", "/open/sign/1") } else { ("GET", "/open/read/1") };
                    let (id, status) = ask(address, method, path, WORK_MS, &record);
                    asked.lock().unwrap().push((Asked { id, sent, status, signoff }, record.now()));
                });
                sleep_ms(200);
            }
        });
    }
    sleep_ms(4_000);
    let mut terminated = u64::MAX;
    if trouble() {
        terminated = fleet.daemons[0].terminate(&record);
        if !fleet.daemons[0].wait_end(GRACE_MS, &record) {
            fleet.daemons[0].kill(&record);
        }
    } else {
        sleep_ms(6_000);
    }
    stop.store(true, Ordering::SeqCst);
    sleep_ms(3_000);
    let runs: Vec<Run> =
        fleet.instances.iter().flat_map(|instance| instance.runs.lock().unwrap().clone()).collect();
    let mut broken = 0;
    for (asked, answered) in asked.lock().unwrap().iter() {
        // Requests that were sent later than 3 s after the SIGTERM; those before are excused if their
        // instance was still at work in the last sixth of GraceS.
        if terminated == u64::MAX || asked.sent <= terminated + 3_000 || asked.status == 200 {
            continue;
        }
        let Some(run) = runs.iter().find(|run| run.id == asked.id) else { continue };
        let at_work = run.ended.is_none_or(|ended| ended + 20 >= *answered) && run.started < *answered;
        let in_time = *answered < asked.sent + 5_000;
        if at_work && in_time {
            broken += 1;
            record.add(format!(
                "LOST {} ({}): sent {} ms after the SIGTERM, at work since {} ms, and the client got {} after {} ms",
                asked.id,
                if asked.signoff { "sign-off" } else { "read" },
                asked.sent - terminated,
                run.started,
                asked.status,
                answered - asked.sent
            ));
        }
    }
    record.add(format!(
        "RESULT: {broken} requests that were sent later than 3 s after the SIGTERM were passed on to an instance and \
         broken off while it was at work on them"
    ));
    Some((record, broken > 0))
}

/// Clients and the ids of requests whose connections were closed without an answer.
type Kept = (Vec<thread::JoinHandle<()>>, Arc<Mutex<Vec<String>>>);

/// Twelve clients that each send a second request of `work_ms` on a connection that has carried one.
fn kept_clients(address: SocketAddr, prefix: &'static str, work_ms: u64, record: &Record) -> Kept {
    let closed: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..12 {
        let (record, closed) = (record.clone(), Arc::clone(&closed));
        clients.push(thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let mut rest = Vec::new();
            let (method, path) = if number % 2 == 0 { ("POST", "/sign/1") } else { ("GET", "/read/1") };
            let path = format!("{prefix}{path}");
            // The first request makes the connection a kept one.
            let _ = stream.write_all(request_text(method, &path, &new_id(), 5_000, 10, "").as_bytes());
            if read_http(&mut stream, &mut rest).is_none_or(|answer| answer.status() != 200) {
                return;
            }
            let id = new_id();
            record.add(format!("client sends {id} ({method} {path}) on a kept connection"));
            let _ = stream.write_all(request_text(method, &path, &id, 5_000, work_ms, "").as_bytes());
            match read_http(&mut stream, &mut rest) {
                Some(answer) => {
                    record.add(format!("client gets {} for {id}", answer.status()));
                }
                None => {
                    record.add(format!("the connection of {id} is closed without an answer"));
                    closed.lock().unwrap().push(id);
                }
            }
        }));
    }
    (clients, closed)
}

/// Two rows of `count` batches of such clients, whose second requests last 2 s, so that some are always at work.
fn kept_batches(
    address: SocketAddr,
    prefix: &'static str,
    count: usize,
    record: &Record,
) -> Vec<thread::JoinHandle<Vec<String>>> {
    let row = |offset_ms| {
        let record = record.clone();
        thread::spawn(move || {
            sleep_ms(offset_ms);
            let mut all = Vec::new();
            for _ in 0..count {
                let (clients, closed) = kept_clients(address, prefix, 2_000, &record);
                for client in clients {
                    let _ = client.join();
                }
                all.extend(closed.lock().unwrap().iter().cloned());
            }
            all
        })
    };
    vec![row(0), row(1_000)]
}

fn closed_of(batches: Vec<thread::JoinHandle<Vec<String>>>) -> Vec<String> {
    batches.into_iter().filter_map(|row| row.join().ok()).flatten().collect()
}

/// The platform: for `ms` it kills each process that exceeds `limit_kib`, and starts it again. Records the
/// most memory of each.
fn watch_memory(fleet: &mut Fleet, limit_kib: u64, ms: u64, record: &Record) {
    let end = Instant::now() + Duration::from_millis(ms);
    let mut most = vec![0; fleet.daemons.len()];
    while Instant::now() < end {
        for (index, daemon) in fleet.daemons.iter_mut().enumerate() {
            let resident = daemon.resident();
            most[index] = most[index].max(resident);
            if resident > limit_kib {
                record.add(format!("{} has had {resident} KiB of {limit_kib}: the platform kills it", daemon.name));
                daemon.kill(record);
                sleep_ms(500);
                daemon.start(record);
            }
        }
        sleep_ms(1);
    }
    record.add(format!("most memory of each daemon, KiB: {most:?}"));
}

/// LOST: requests from kept connections that were passed on to `sound` and whose connections were closed
/// without an answer.
fn lost_kept(record: &Record, sound: &Instance, closed: &[String]) -> bool {
    let runs = sound.runs.lock().unwrap().clone();
    let lost = closed.iter().filter(|id| runs.iter().any(|run| run.id == **id)).count();
    record.add(format!(
        "RESULT: {lost} requests from kept connections had been passed on to a sound instance when their connections \
         were closed without an answer"
    ));
    lost > 3
}

/// One of 33 answers of an instance has a body without end.
fn endless(program: &str) -> Option<(Record, bool)> {
    const MEMORY_KIB: u64 = 260 * 1024;
    // The instance beside b is in trouble; clients on b's machine also send to the sound one beside a.
    let mut fleet = Fleet::start(&["a", "b"], &["z1", "z1"], &["front", "svc"], program)?;
    let record = fleet.record.clone();
    let address = fleet.daemons[1].callers;
    if trouble() {
        fleet.instances[1].endless.store(33, Ordering::SeqCst);
    }
    let stop = Arc::new(AtomicBool::new(false));
    {
        let (record, stop) = (record.clone(), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let record = record.clone();
                thread::spawn(move || ask(address, "GET", "/read/1", 60, &record));
                sleep_ms(10);
            }
        });
    }
    let batches = kept_batches(address, "/front", 5, &record);
    watch_memory(&mut fleet, MEMORY_KIB, 10_000, &record);
    stop.store(true, Ordering::SeqCst);
    let broken = lost_kept(&record, &fleet.instances[0], &closed_of(batches));
    Some((record, broken))
}

/// A client sends a body of `MaxBodyBytes`. The platform kills a process that exceeds `MemoryMb`.
fn memory(program: &str) -> Option<(Record, bool)> {
    const MEMORY_KIB: u64 = 160 * 1024;
    const MAX_BODY_BYTES: usize = 67_108_864;
    // As on the site, each machine hosts one instance of one service; the requests go to that of b.
    let mut fleet = Fleet::start(&["a", "b"], &["z1", "z1"], &["front", "svc"], program)?;
    let record = fleet.record.clone();
    let address = fleet.daemons[0].callers;
    let batches = kept_batches(address, "", 3, &record);
    sleep_ms(700);
    let bytes = if trouble() { MAX_BODY_BYTES } else { 64 << 10 };
    let upload = {
        let record = record.clone();
        thread::spawn(move || {
            let id = new_id();
            let Ok(mut stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
            let _ = stream.set_write_timeout(Some(Duration::from_secs(6)));
            let head = request_text("POST", "/sign/1", &id, 5_000, 10, "")
                .replace("Content-Length: 0", &format!("Content-Length: {bytes}"));
            record.add(format!("client sends {id} (POST /sign/1) with a body of {bytes} bytes"));
            let sent = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; bytes]));
            let status = read_http(&mut stream, &mut Vec::new()).map_or(0, |answer| answer.status());
            record.add(format!("client gets {status} for {id} (body sent: {})", sent.is_ok()));
        })
    };
    watch_memory(&mut fleet, MEMORY_KIB, 6_000, &record);
    let _ = upload.join();
    let broken = lost_kept(&record, &fleet.instances[1], &closed_of(batches));
    Some((record, broken))
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER DAEMON");
        std::process::exit(2);
    };
    let play = || match case.as_str() {
        "endless" => endless(program),
        "memory" => memory(program),
        "stop" => stop(program),
        "late-beat" => late_beat(program),
        "gone" => gone(program),
        _ => None,
    };
    // A stand-in that fails, for example because the daemon doesn't start, is no broken rule.
    let played = std::panic::catch_unwind(play).unwrap_or(None);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(std::env::temp_dir().join(format!("review-{}", std::process::id())));
    }
    let Some((record, broken)) = played else {
        eprintln!("the case could not run");
        std::process::exit(2);
    };
    record.save(&format!("{folder}/record.txt"));
    std::process::exit(i32::from(broken));
}
