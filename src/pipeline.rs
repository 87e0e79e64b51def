//! The listener for callers: pipelined requests are served side by side and answered in order.
//!
//! hyper serves one request of a connection after the other; while one runs it neither reads the next
//! nor, with the next already in its buffer, notices that the caller has gone. Callers that pipeline then
//! wait for requests that have nothing to do with theirs. docs/DESIGN.md, "Listeners", has the
//! measurement.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http::header::{CONNECTION, CONTENT_LENGTH};
use http::{HeaderValue, Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::AbortOnDropHandle;

use crate::chunked::{Chunked, Problem};
use crate::dialect::Dialect;
use crate::envelope::RequestId;
use crate::head::{Framing, Head, Malformed};
use crate::message::{Answer, Message, Response};
use crate::reason::{Outcome, Reason};
use crate::server::{Bounds, REFUSAL_TIME, accept};
use crate::time::{Clock, Time};

/// Requests of one connection that are served side by side. Those behind wait to be read.
const DEPTH: usize = 32;

/// How much is read ahead of the requests that are being served, in bytes.
const READ_AHEAD: usize = 64 << 10;

/// How much of finished answers may wait to be written, in bytes; further ones stay with their tasks.
const WRITE_AHEAD: usize = 256 << 10;

/// How long a caller may take to read any part of an answer.
const WRITE_TIME: Duration = Duration::from_secs(30);

/// How long a connection that ends waits for the caller's end of it, since closing it beside unread
/// bytes would take back answers that are on their way.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// What the listener asks for and tells.
#[derive(Debug, Clone)]
pub struct Hooks<H, B, D> {
    /// Answers one request.
    pub handler: H,
    /// The bounds, asked for each request, since they may follow the document.
    pub bounds: B,
    /// Told of each answer that is written, with how long it was ready before.
    pub on_delivery: D,
}

/// An answer that is written.
#[derive(Debug)]
pub struct Delivery<'a> {
    /// The request that it answers.
    pub request: &'a RequestId,
    /// The request before it on the connection, behind whose answer it had to wait.
    pub behind: Option<&'a RequestId>,
    /// For how long it was ready.
    pub wait: Duration,
}

/// Serves `listener` until `stop` turns true, then finishes the requests that were read and returns.
pub async fn serve<H, F, B, D>(
    listener: TcpListener,
    dialect: Dialect,
    mut stop: watch::Receiver<bool>,
    hooks: Hooks<H, B, D>,
) where
    H: Fn(RequestId, Message) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
    B: Fn() -> Bounds + Clone + Send + Sync + 'static,
    D: Fn(Delivery<'_>) + Clone + Send + Sync + 'static,
{
    let dialect = Arc::new(dialect);
    let most = (hooks.bounds)().connections;
    let slots = Arc::new(Semaphore::new(most));
    while let Some(stream) = accept(&listener, &mut stop).await {
        let (stop, dialect) = (stop.clone(), Arc::clone(&dialect));
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            let limit = most as u64;
            let handler = move |name, message: Message| async move {
                drop(message);
                Answer::not_run(name, Reason::TooManyConnections { limit })
            };
            let Hooks { bounds, on_delivery, .. } = hooks.clone();
            let refusing = Hooks { handler, bounds, on_delivery };
            let mut connection = Connection::new(stream, dialect, refusing);
            connection.once = true;
            tokio::spawn(async move {
                let _ = tokio::time::timeout(REFUSAL_TIME, connection.run(stop)).await;
            });
            continue;
        };
        let connection = Connection::new(stream, dialect, hooks.clone());
        tokio::spawn(async move {
            connection.run(stop).await;
            drop(slot);
        });
    }
    drop(listener);
    // All slots are free when all connections have ended.
    let _ = slots.acquire_many(u32::try_from(most).unwrap_or(u32::MAX)).await;
}

/// One caller's connection.
struct Connection<H, B, D> {
    clock: Clock,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: BytesMut,
    output: BytesMut,
    part: Part,
    queue: VecDeque<Pending>,
    /// The request that was answered last.
    previous: Option<RequestId>,
    /// The connection is for one request only.
    once: bool,
    /// Nothing more is read: the connection ends behind the answers that are owed.
    last: bool,
    dialect: Arc<Dialect>,
    hooks: Hooks<H, B, D>,
}

/// The request that is being read.
enum Part {
    /// Nothing of it but what stands in the input.
    Head,
    /// Its body is missing.
    Body(Box<Head>, Body),
    /// It is whole, and waits until all requests before it have been answered.
    Held(Message),
}

enum Body {
    Length(usize),
    Chunks(Chunked),
}

/// An answer that is owed.
struct Pending {
    name: RequestId,
    /// The answer, and when it was ready.
    task: AbortOnDropHandle<(Answer, Time)>,
    /// Answers to HEAD have no body.
    bodiless: bool,
}

/// What ended a step of a connection.
enum Event {
    Read(std::io::Result<usize>),
    Written(std::io::Result<usize>),
    Answered(Option<Box<(Answer, Time)>>),
    Stopped,
    GivenUp,
    Late,
}

impl<H, F, B, D> Connection<H, B, D>
where
    H: Fn(RequestId, Message) -> F,
    F: Future<Output = Answer> + Send + 'static,
    B: Fn() -> Bounds,
    D: Fn(Delivery<'_>),
{
    fn new(stream: TcpStream, dialect: Arc<Dialect>, hooks: Hooks<H, B, D>) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            clock: Clock::start(),
            reader,
            writer,
            input: BytesMut::new(),
            output: BytesMut::new(),
            part: Part::Head,
            queue: VecDeque::new(),
            previous: None,
            once: false,
            last: false,
            dialect,
            hooks,
        }
    }

    /// Serves until one side ends the connection. Dropping the queue cancels what is still running.
    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut stopping = false;
        let mut end = Time::MAX;
        let mut since = self.clock.now();
        loop {
            self.read_requests();
            let idle = self.queue.is_empty() && self.output.is_empty();
            if idle && (self.last || stopping) {
                break;
            }
            let reads = !self.last && !stopping && self.input.len() < READ_AHEAD;
            let fresh = idle && self.input.is_empty();
            let event = self.step(&mut stop, reads, stopping.then_some(end), since).await;
            match event {
                Event::Read(Ok(0) | Err(_)) | Event::Written(Err(_)) | Event::Late => return,
                Event::Read(Ok(_)) if fresh => since = self.clock.now(),
                Event::Read(Ok(_)) => {}
                Event::Written(Ok(_)) => since = self.clock.now(),
                Event::Answered(answer) => {
                    since = self.clock.now();
                    self.write_answer(answer, stopping);
                }
                Event::Stopped => {
                    stopping = true;
                    end = self.clock.now() + (self.hooks.bounds)().stop_timeout;
                }
                Event::GivenUp => {
                    end = Time::MAX;
                    self.give_up();
                }
            }
        }
        self.linger().await;
    }

    async fn step(
        &mut self,
        stop: &mut watch::Receiver<bool>,
        reads: bool,
        end: Option<Time>,
        since: Time,
    ) -> Event {
        let bounds = (self.hooks.bounds)();
        let waits = match (self.output.is_empty(), self.input.is_empty(), self.queue.is_empty()) {
            (false, ..) => Some(WRITE_TIME),
            (true, false, true) => Some(bounds.header_timeout),
            (true, true, true) => Some(bounds.idle_timeout),
            (true, _, false) => None,
        };
        let answers = !self.queue.is_empty() && self.output.len() < WRITE_AHEAD;
        let front = self.queue.front_mut();
        let answered = async {
            match front {
                Some(pending) => (&mut pending.task).await.ok().map(Box::new),
                None => None,
            }
        };
        let clock = self.clock;
        let late = async {
            match waits {
                Some(span) => clock.sleep_until(since + span).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            read = self.reader.read_buf(&mut self.input), if reads => Event::Read(read),
            answer = answered, if answers => Event::Answered(answer),
            written = self.writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                Event::Written(written)
            }
            _ = stop.wait_for(|stop| *stop), if end.is_none() => Event::Stopped,
            () = clock.sleep_until(end.unwrap_or(Time::MAX)), if end.is_some() => Event::GivenUp,
            () = late => Event::Late,
        }
    }

    /// Starts every request that stands whole in the input.
    fn read_requests(&mut self) {
        while !self.last && self.queue.len() < DEPTH {
            let bounds = (self.hooks.bounds)();
            match std::mem::replace(&mut self.part, Part::Head) {
                Part::Head => match Head::take(&mut self.input) {
                    Ok(Some(head)) => self.begin_body(head, bounds),
                    Ok(None) if self.input.len() > bounds.header_bytes => {
                        let problem = format!(
                            "the request's head has more than {} bytes",
                            bounds.header_bytes
                        );
                        return self.refuse(Reason::BadRequest { problem });
                    }
                    Ok(None) => return,
                    Err(Malformed(problem)) => return self.refuse(Reason::BadRequest { problem }),
                },
                Part::Body(head, body) => {
                    if !self.read_body(head, body, bounds) {
                        return;
                    }
                }
                Part::Held(message) => {
                    if !self.queue.is_empty() {
                        self.part = Part::Held(message);
                        return;
                    }
                    self.start(message);
                }
            }
        }
    }

    fn begin_body(&mut self, head: Head, bounds: Bounds) {
        let size: usize =
            head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let size = size + head.uri.path().len() + head.uri.query().map_or(0, str::len);
        if size > bounds.header_bytes {
            let limit = bounds.header_bytes;
            let problem = format!("the request's head has {size} bytes and may have {limit}");
            return self.refuse(Reason::BadRequest { problem });
        }
        let body = match head.framing {
            Framing::Length(length) if length > bounds.body_bytes => {
                return self.refuse(too_large(bounds));
            }
            Framing::Length(length) => Body::Length(length),
            Framing::Chunks => Body::Chunks(Chunked::default()),
        };
        if head.expects && self.queue.is_empty() {
            self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        self.part = Part::Body(Box::new(head), body);
    }

    /// Takes the body out of the input. Returns whether it is whole.
    fn read_body(&mut self, head: Box<Head>, body: Body, bounds: Bounds) -> bool {
        let whole = match body {
            Body::Length(length) if self.input.len() < length => {
                self.input.reserve(length - self.input.len());
                self.part = Part::Body(head, Body::Length(length));
                return false;
            }
            Body::Length(length) => self.input.split_to(length).freeze(),
            Body::Chunks(mut chunks) => match chunks.take(&mut self.input, bounds.body_bytes) {
                Ok(Some(whole)) => whole,
                Ok(None) => {
                    self.part = Part::Body(head, Body::Chunks(chunks));
                    return false;
                }
                Err(Problem::TooLarge) => {
                    self.refuse(too_large(bounds));
                    return false;
                }
                Err(Problem::Malformed) => {
                    let problem = "the body's chunks are malformed".to_owned();
                    self.refuse(Reason::BadRequest { problem });
                    return false;
                }
            },
        };
        self.last |= head.last || self.once;
        let Head { method, uri, headers, .. } = *head;
        let message = Message { method, uri, headers, body: whole };
        // What changes something waits for those before it, as its caller sees no answer of theirs yet.
        if message.method.is_safe() || self.queue.is_empty() {
            self.start(message);
        } else {
            self.part = Part::Held(message);
        }
        true
    }

    fn start(&mut self, message: Message) {
        let bodiless = message.method == Method::HEAD;
        let name = self.dialect.read_request_id(&message.headers);
        let (handling, clock) = ((self.hooks.handler)(name.clone(), message), self.clock);
        let task = tokio::spawn(async move { (handling.await, clock.now()) });
        let task = AbortOnDropHandle::new(task);
        self.queue.push_back(Pending { name, task, bodiless });
    }

    /// Refuses what cannot be read. Nothing behind it can be told from it, so the connection ends.
    fn refuse(&mut self, reason: Reason) {
        let name = RequestId::random(&mut rand::rng());
        let task = ready(Answer::not_run(name.clone(), reason), self.clock);
        self.queue.push_back(Pending { name, task, bodiless: false });
        self.last = true;
    }

    /// Gives up what has not ended within the time of a stop. Each request gets its final answer, also those
    /// whose answers were ready behind a request that was not.
    fn give_up(&mut self) {
        let clock = self.clock;
        for pending in self.queue.iter_mut().filter(|pending| !pending.task.is_finished()) {
            let name = pending.name.clone();
            pending.task = ready(Answer::refusal(name, Outcome::Unknown, Reason::Leaving), clock);
        }
        self.part = Part::Head;
        self.last = true;
    }

    /// Writes the answer that was owed first. One whose task failed ends the connection.
    fn write_answer(&mut self, answer: Option<Box<(Answer, Time)>>, stopping: bool) {
        let front = self.queue.pop_front();
        let (Some(Pending { name, bodiless, .. }), Some(answer)) = (front, answer) else {
            self.queue.clear();
            self.last = true;
            return;
        };
        let (answer, ready) = *answer;
        let wait = self.clock.now().since(ready);
        let behind = self.previous.as_ref();
        (self.hooks.on_delivery)(Delivery { request: &name, behind, wait });
        self.previous = Some(name);
        let held = matches!(self.part, Part::Held(_));
        let ends = (self.last || stopping) && self.queue.is_empty() && !held;
        let response = answer.into_response(&self.dialect);
        write_response(&mut self.output, response, bodiless, ends);
    }

    /// Ends the connection without taking back what is on its way to the caller.
    async fn linger(mut self) {
        if self.writer.shutdown().await.is_err() {
            return;
        }
        let mut rest = [0; 4 << 10];
        let drained = async { while matches!(self.reader.read(&mut rest).await, Ok(1..)) {} };
        let _ = tokio::time::timeout(LINGER_TIME, drained).await;
    }
}

/// An answer that nothing has to be done for.
fn ready(answer: Answer, clock: Clock) -> AbortOnDropHandle<(Answer, Time)> {
    AbortOnDropHandle::new(tokio::spawn(async move { (answer, clock.now()) }))
}

fn too_large(bounds: Bounds) -> Reason {
    let problem = format!("the body is larger than {} bytes", bounds.body_bytes);
    Reason::BadRequest { problem }
}

fn write_response(output: &mut BytesMut, response: Response, bodiless: bool, ends: bool) {
    let (mut parts, body) = response.into_parts();
    if ends {
        parts.headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let empty = matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if !bodiless && !empty {
        parts.headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let reason = parts.status.canonical_reason().unwrap_or_default();
    // Writing to memory cannot fail.
    let _ = write!(output, "HTTP/1.1 {} {reason}\r\n", parts.status.as_u16());
    for (name, value) in &parts.headers {
        output.extend_from_slice(name.as_str().as_bytes());
        output.extend_from_slice(b": ");
        output.extend_from_slice(value.as_bytes());
        output.extend_from_slice(b"\r\n");
    }
    output.extend_from_slice(b"\r\n");
    if !bodiless && !empty {
        output.extend_from_slice(&body);
    }
}
