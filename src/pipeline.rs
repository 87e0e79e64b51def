//! HTTP/1.1 server for callers: pipelined requests run concurrently and are answered in order.
//!
//! hyper runs the requests of a connection one after the other. While one runs, it does not read the
//! next one, and if that is already in its buffer, it does not detect that the caller has disconnected.
//! Requests of callers that pipeline would then wait for unrelated earlier ones. docs/DESIGN.md,
//! "Listeners", has the measurement.

mod listener;
mod reading;
mod response;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

pub use self::listener::{Delivery, Hooks, serve};
use self::reading::{CompleteRequest, PartialRequest, ReadState, WantedMemory, until_closed};
use self::response::write_response;
use crate::body::{BodyMemory, Progress, Reservation, UNRESERVED_BYTES};
use crate::chunked::ChunkError;
use crate::dialect::Dialect;
use crate::envelope::RequestId;
use crate::head::{Framing, Head, Malformed};
use crate::message::{Answer, Message};
use crate::reason::{Outcome, Reason};
use crate::server::Bounds;
use crate::time::{Clock, Time};

/// Maximum number of concurrent requests of one connection. Later ones are not parsed until the
/// oldest of these has been answered.
const MAX_CONCURRENT: usize = 32;

/// Size of the input buffer, in bytes, from which no more is read ahead of the running requests.
const READ_AHEAD_BYTES: usize = UNRESERVED_BYTES;

/// Size of the output buffer, in bytes, from which no more answers are added. Further answers stay in
/// their tasks.
const WRITE_AHEAD_BYTES: usize = 256 << 10;

/// Timeout for a caller that reads nothing of its answers.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a finished connection waits until the caller closes it. Closing a socket with unread
/// input resets the connection, which would discard answers that are still in transit.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// One caller's connection.
struct Connection<H, B, D> {
    clock: Clock,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: BytesMut,
    output: BytesMut,
    /// A long body that is written after the output, and before any further answer.
    long_body: Bytes,
    read_state: ReadState,
    queue: VecDeque<Pending>,
    /// The id of the request that was answered last.
    previous: Option<RequestId>,
    /// Whether the connection closes after its first request.
    single_request: bool,
    /// Whether reading has ended. The connection closes after the pending answers.
    read_closed: bool,
    memory: BodyMemory,
    dialect: Arc<Dialect>,
    hooks: Hooks<H, B, D>,
}

/// A request whose answer has not been written yet.
struct Pending {
    id: RequestId,
    /// Yields the answer and the time of its completion.
    task: AbortOnDropHandle<(Answer, Time)>,
    /// Whether the answer has no body because the method is HEAD.
    bodiless: bool,
}

/// What a connection waited for in [`Connection::next_event`].
enum Event {
    /// Input was read.
    Read(std::io::Result<usize>),
    /// The caller has closed the connection while it is not read.
    Closed,
    /// Output was written.
    Written(std::io::Result<usize>),
    /// The memory for the body that is being read was reserved.
    Reserved(Reservation),
    /// The oldest pending request ended, without an answer if its task failed.
    Answered(Option<Box<(Answer, Time)>>),
    /// The listener was told to stop.
    Stopping,
    /// The stop time-out has passed.
    StopExpired,
    /// The time-out for the caller's next read or write has passed.
    TimedOut,
}

impl<H, F, B, D> Connection<H, B, D>
where
    H: Fn(RequestId, Message, Duration) -> F,
    F: Future<Output = Answer> + Send + 'static,
    B: Fn() -> Bounds,
    D: Fn(Delivery<'_>),
{
    fn new(
        stream: TcpStream,
        dialect: Arc<Dialect>,
        memory: BodyMemory,
        hooks: Hooks<H, B, D>,
    ) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            clock: Clock::start(),
            reader,
            writer,
            input: BytesMut::new(),
            output: BytesMut::new(),
            long_body: Bytes::new(),
            read_state: ReadState::Head,
            queue: VecDeque::new(),
            previous: None,
            single_request: false,
            read_closed: false,
            memory,
            dialect,
            hooks,
        }
    }

    /// Serves until one side closes the connection. Dropping the queue cancels the requests that still
    /// run.
    async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut stopping = false;
        let mut stop_deadline = Time::MAX;
        let mut last_progress = self.clock.now();
        loop {
            self.read_requests();
            let idle = self.queue.is_empty() && !self.has_output();
            // Once the listener stops, only a request that has begun to arrive is read to its end.
            let reads = !self.read_closed && (!stopping || self.has_partial_request());
            if idle && !reads {
                break;
            }
            let may_read = reads && self.input.len() < READ_AHEAD_BYTES && !self.awaits_memory();
            let starts_request = idle && self.input.is_empty();
            let receives_body = matches!(self.read_state, ReadState::Body(_));
            let event = self
                .next_event(&mut stop, may_read, stopping.then_some(stop_deadline), last_progress)
                .await;
            match event {
                Event::Read(Ok(0) | Err(_)) | Event::Closed | Event::Written(Err(_)) => return,
                Event::TimedOut if receives_body && !self.read_closed => {
                    last_progress = self.clock.now();
                    self.refuse_slow_body();
                }
                Event::TimedOut => return,
                Event::Read(Ok(_)) if starts_request || receives_body => {
                    last_progress = self.clock.now();
                }
                Event::Read(Ok(_)) => {}
                Event::Reserved(reservation) => {
                    last_progress = self.clock.now();
                    self.grant_memory(reservation);
                }
                Event::Written(Ok(_)) => {
                    last_progress = self.clock.now();
                    // Even an empty remainder keeps the memory of the whole body.
                    if self.long_body.is_empty() {
                        self.long_body = Bytes::new();
                    }
                }
                Event::Answered(answer) => {
                    last_progress = self.clock.now();
                    self.write_answer(answer, stopping);
                }
                Event::Stopping => {
                    stopping = true;
                    self.read_arrived();
                    stop_deadline = self.clock.now() + (self.hooks.bounds)().stop_timeout;
                }
                Event::StopExpired => {
                    stop_deadline = Time::MAX;
                    self.abandon_requests();
                }
            }
        }
        self.linger().await;
    }

    async fn next_event(
        &mut self,
        stop: &mut watch::Receiver<bool>,
        may_read: bool,
        stop_deadline: Option<Time>,
        last_progress: Time,
    ) -> Event {
        let bounds = (self.hooks.bounds)();
        let body_timeout = self.body_timeout(bounds, last_progress);
        let (has_output, has_long_body) = (self.has_output(), !self.long_body.is_empty());
        let timeout = match (!has_output, self.input.is_empty(), self.queue.is_empty()) {
            (false, ..) => Some(WRITE_TIMEOUT),
            (true, _, false) => None,
            (true, ..) if body_timeout.is_some() => body_timeout,
            (true, false, true) => Some(bounds.header_timeout),
            (true, true, true) => Some(bounds.idle_timeout),
        };
        let may_answer =
            !self.queue.is_empty() && self.output.len() < WRITE_AHEAD_BYTES && !has_long_body;
        let front = self.queue.front_mut();
        let answered = async {
            match front {
                Some(pending) => (&mut pending.task).await.ok().map(Box::new),
                None => None,
            }
        };
        let reserved = async {
            match &mut self.read_state {
                ReadState::Body(partial) => match &mut partial.wanted {
                    Some(wanted) => (&mut wanted.reservation).await,
                    None => std::future::pending().await,
                },
                ReadState::Head | ReadState::Complete(_) => std::future::pending().await,
            }
        };
        let read = async {
            if may_read {
                return Event::Read(self.reader.read_buf(&mut self.input).await);
            }
            until_closed(&self.reader).await;
            Event::Closed
        };
        let written = async {
            match self.output.is_empty() {
                true => self.writer.write_buf(&mut self.long_body).await,
                false => self.writer.write_buf(&mut self.output).await,
            }
        };
        let clock = self.clock;
        let timed_out = async {
            match timeout {
                Some(span) => clock.sleep_until(last_progress + span).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            event = read => event,
            reservation = reserved => Event::Reserved(reservation),
            answer = answered, if may_answer => Event::Answered(answer),
            written = written, if has_output => Event::Written(written),
            _ = stop.wait_for(|stop| *stop), if stop_deadline.is_none() => Event::Stopping,
            () = clock.sleep_until(stop_deadline.unwrap_or(Time::MAX)),
                if stop_deadline.is_some() =>
                Event::StopExpired,
            () = timed_out => Event::TimedOut,
        }
    }

    /// Parses the input and starts each request that is complete.
    fn read_requests(&mut self) {
        while !self.read_closed && self.queue.len() < MAX_CONCURRENT {
            let bounds = (self.hooks.bounds)();
            match std::mem::replace(&mut self.read_state, ReadState::Head) {
                ReadState::Head => match Head::parse(&mut self.input) {
                    Ok(Some(head)) => self.start_body(head, bounds),
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
                ReadState::Body(partial) => {
                    if !self.read_body(partial, bounds) {
                        return;
                    }
                }
                ReadState::Complete(request) => {
                    if !self.queue.is_empty() {
                        self.read_state = ReadState::Complete(request);
                        return;
                    }
                    self.start(*request);
                }
            }
        }
    }

    fn start_body(&mut self, head: Head, bounds: Bounds) {
        let size: usize =
            head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        let size = size + head.uri.path().len() + head.uri.query().map_or(0, str::len);
        if size > bounds.header_bytes {
            let limit = bounds.header_bytes;
            let problem = format!("the request's head has {size} bytes and may have {limit}");
            return self.refuse(Reason::BadRequest { problem });
        }
        if matches!(head.framing, Framing::Length(length) if length > bounds.body_bytes) {
            return self.refuse(too_large(bounds));
        }
        self.read_state = ReadState::Body(Box::new(PartialRequest::new(head, self.clock.now())));
    }

    /// Reads the body from the input. Returns whether it is complete.
    fn read_body(&mut self, mut partial: Box<PartialRequest>, bounds: Bounds) -> bool {
        if partial.wanted.is_some() {
            self.read_state = ReadState::Body(partial);
            return false;
        }
        match partial.body.read(&mut self.input, bounds.body_bytes) {
            Ok(Progress::Complete(body)) => {
                self.complete_request(*partial, body);
                return true;
            }
            Ok(Progress::Input) => {
                // The answers of earlier requests come before this one's `100 Continue`.
                if partial.continue_due && self.queue.is_empty() && self.long_body.is_empty() {
                    partial.continue_due = false;
                    self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
            }
            Ok(Progress::Memory(bytes)) => {
                let reservation = self.memory.reserve(bytes);
                partial.wanted = Some(WantedMemory { bytes, reservation });
            }
            Err(ChunkError::TooLarge) => {
                self.refuse(too_large(bounds));
                return false;
            }
            Err(ChunkError::Malformed) => {
                let problem = "the body's chunks are malformed".to_owned();
                self.refuse(Reason::BadRequest { problem });
                return false;
            }
        }
        self.read_state = ReadState::Body(partial);
        false
    }

    fn complete_request(&mut self, partial: PartialRequest, body: Bytes) {
        let PartialRequest { head, received, .. } = partial;
        self.read_closed |= head.closes || self.single_request;
        let Head { method, uri, headers, .. } = head;
        let message = Message { method, uri, headers, body };
        let request = CompleteRequest { message, received };
        // A request with an unsafe method starts only after all earlier requests have been answered,
        // since its caller sent it without having seen their answers.
        if request.message.method.is_safe() || self.queue.is_empty() {
            self.start(request);
        } else {
            self.read_state = ReadState::Complete(Box::new(request));
        }
    }

    fn start(&mut self, request: CompleteRequest) {
        let CompleteRequest { message, received } = request;
        let bodiless = message.method == Method::HEAD;
        let id = match self.dialect.read_request_id(&message.headers) {
            Ok(id) => id,
            Err(reason) => return self.refuse_request(reason, bodiless),
        };
        let (clock, waited) = (self.clock, self.clock.now().since(received));
        let body = message.body.clone();
        let handling = (self.hooks.handler)(id.clone(), message, waited);
        let task = tokio::spawn(async move {
            let answer = handling.await;
            // Also bounds what the backend server holds until it answers.
            drop(body);
            (answer, clock.now())
        });
        let task = AbortOnDropHandle::new(task);
        self.queue.push_back(Pending { id, task, bodiless });
    }

    /// Reads what has arrived by now, so that a request that crosses the end of its connection gets an
    /// answer.
    fn read_arrived(&mut self) {
        if self.read_closed || self.awaits_memory() {
            return;
        }
        while self.input.len() < READ_AHEAD_BYTES
            && matches!(self.reader.try_read_buf(&mut self.input), Ok(1..))
        {}
    }

    /// Whether a request has begun to arrive and is not complete.
    fn has_partial_request(&self) -> bool {
        !self.input.is_empty() || !matches!(self.read_state, ReadState::Head)
    }

    /// Whether the body that is being read waits for memory.
    fn awaits_memory(&self) -> bool {
        matches!(&self.read_state, ReadState::Body(partial) if partial.wanted.is_some())
    }

    fn grant_memory(&mut self, reservation: Reservation) {
        if let ReadState::Body(partial) = &mut self.read_state {
            partial.grant(reservation);
        }
    }

    fn body_timeout(&self, bounds: Bounds, last_progress: Time) -> Option<Duration> {
        let ReadState::Body(partial) = &self.read_state else { return None };
        Some(partial.timeout(bounds, last_progress))
    }

    fn refuse_slow_body(&mut self) {
        let ReadState::Body(partial) = &self.read_state else { return };
        let waited = self.clock.now().since(partial.received);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        self.read_state = ReadState::Head;
        self.refuse(Reason::SlowBody { waited_ms });
    }

    /// Refuses a request that cannot be read. The start of the next one cannot be found after it, so
    /// the connection closes.
    fn refuse(&mut self, reason: Reason) {
        self.refuse_request(reason, false);
        self.read_closed = true;
    }

    /// Refuses a request whose id is not known.
    fn refuse_request(&mut self, reason: Reason, bodiless: bool) {
        let id = self.dialect.refusal_id();
        let task = completed_task(Answer::not_run(id.clone(), reason), self.clock);
        self.queue.push_back(Pending { id, task, bodiless });
    }

    /// Gives up on the requests that did not end within the stop time-out. Every request that was read
    /// gets a final answer, including those whose complete answers wait for an earlier request, and those
    /// that were not started or not read to their end.
    fn abandon_requests(&mut self) {
        let clock = self.clock;
        let unstarted = match std::mem::replace(&mut self.read_state, ReadState::Head) {
            ReadState::Head => None,
            ReadState::Body(partial) => Some(partial.head.headers),
            ReadState::Complete(request) => Some(request.message.headers),
        };
        for pending in self.queue.iter_mut().filter(|pending| !pending.task.is_finished()) {
            let id = pending.id.clone();
            pending.task =
                completed_task(Answer::refusal(id, Outcome::Unknown, Reason::Leaving), clock);
        }
        if let Some(headers) = unstarted {
            let id = self.dialect.read_request_id(&headers);
            let id = id.unwrap_or_else(|_| self.dialect.refusal_id());
            let task = completed_task(Answer::not_run(id.clone(), Reason::Leaving), clock);
            self.queue.push_back(Pending { id, task, bodiless: false });
        }
        self.read_closed = true;
    }

    /// Writes the answer of the oldest pending request. If its task failed, the connection closes.
    fn write_answer(&mut self, answer: Option<Box<(Answer, Time)>>, stopping: bool) {
        let front = self.queue.pop_front();
        let (Some(Pending { id, bodiless, .. }), Some(answer)) = (front, answer) else {
            self.queue.clear();
            self.read_closed = true;
            return;
        };
        let (answer, completed) = *answer;
        let wait = self.clock.now().since(completed);
        let behind = self.previous.as_ref();
        (self.hooks.on_delivery)(Delivery { request: &id, behind, wait });
        self.previous = Some(id);
        let request_waits = matches!(self.read_state, ReadState::Complete(_));
        // A caller that is told to connect to another VM gets nothing more on this connection.
        let stopping = stopping || answer.report.reason == Some(Reason::Leaving);
        let closes = (self.read_closed || stopping) && self.queue.is_empty() && !request_waits;
        if closes {
            // Callers take what they sent behind this answer for not read, and send it again.
            self.read_closed = true;
            self.read_state = ReadState::Head;
        }
        let response = answer.into_response(&self.dialect);
        self.long_body = write_response(&mut self.output, response, bodiless, closes);
    }

    /// Whether an answer has not been written to its end.
    fn has_output(&self) -> bool {
        !self.output.is_empty() || !self.long_body.is_empty()
    }

    /// Closes the connection without discarding answers in transit to the caller.
    async fn linger(mut self) {
        if self.writer.shutdown().await.is_err() {
            return;
        }
        let mut buffer = [0; 4 << 10];
        let drained = async { while matches!(self.reader.read(&mut buffer).await, Ok(1..)) {} };
        let _ = tokio::time::timeout(LINGER_TIMEOUT, drained).await;
    }
}

/// Returns a task that has its answer already.
fn completed_task(answer: Answer, clock: Clock) -> AbortOnDropHandle<(Answer, Time)> {
    AbortOnDropHandle::new(tokio::spawn(async move { (answer, clock.now()) }))
}

fn too_large(bounds: Bounds) -> Reason {
    let problem = format!("the body is larger than {} bytes", bounds.body_bytes);
    Reason::BadRequest { problem }
}
