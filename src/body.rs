//! Reads bodies as they arrive, within a bound on the memory of all bodies together.
//!
//! A long body needs a reservation of memory before more than its first part is read. While none is
//! available the connection is not read, so that TCP holds the caller back. A body reserves all that it
//! may need at once: connections that each held a part and waited for the rest would wait forever.
//! docs/DESIGN.md, "Bodies".

use std::fmt;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use futures::future::BoxFuture;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::chunked::{ChunkError, ChunkedDecoder};
use crate::head::Framing;
use crate::message;

/// Length up to which a body needs no reservation, in bytes. It is the size of a connection's input
/// buffer, so that such a body takes no more memory than requests that are read ahead.
pub const UNRESERVED_BYTES: usize = 64 << 10;

/// Length from which a body counts as very long, in bytes. A body of unknown length reserves this much,
/// and the rest only if it turns out to be longer.
const VERY_LONG_BYTES: usize = 1 << 20;

/// Memory for the long bodies of all connections of a listener: one half for those of up to
/// [`VERY_LONG_BYTES`], the other for longer ones. A body that grows over that length waits for the
/// second half while it holds a part of the first. Nothing waits the other way, so no two bodies can
/// wait for each other.
#[derive(Debug, Clone)]
pub struct BodyMemory {
    long: Arc<Semaphore>,
    very_long: Arc<Semaphore>,
    /// Size of each half.
    half: usize,
}

/// Memory that one body may use; released on drop.
pub type Reservation = Option<OwnedSemaphorePermit>;

impl BodyMemory {
    /// Creates a bound of `bytes` on the memory of all bodies.
    pub fn new(bytes: usize) -> Self {
        let half = (bytes / 2).min(u32::MAX as usize).min(Semaphore::MAX_PERMITS);
        let semaphore = || Arc::new(Semaphore::new(half));
        Self { long: semaphore(), very_long: semaphore(), half }
    }

    /// Waits until `bytes` are available, in the order of the calls. A body larger than a half gets the
    /// whole half.
    pub fn reserve(&self, bytes: usize) -> BoxFuture<'static, Reservation> {
        let pool = if bytes <= VERY_LONG_BYTES { &self.long } else { &self.very_long };
        let pool = Arc::clone(pool);
        let bytes = u32::try_from(bytes.min(self.half)).unwrap_or(u32::MAX);
        Box::pin(async move { pool.acquire_many_owned(bytes).await.ok() })
    }

    /// Length of the longest body whose memory is reserved in full.
    pub const fn longest(&self) -> usize {
        self.half
    }
}

/// A body together with the memory that it occupies.
struct ReservedBody {
    body: Bytes,
    _memory: Vec<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns `body` with the memory that is reserved for it. The memory is released with the last reference
/// to the body, wherever that waits: for a slot, for another daemon, or for a caller that reads slowly.
pub fn attach_memory(body: Bytes, memory: impl IntoIterator<Item = OwnedSemaphorePermit>) -> Bytes {
    let memory: Vec<_> = memory.into_iter().collect();
    if memory.is_empty() { body } else { Bytes::from_owner(ReservedBody { body, _memory: memory }) }
}

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than this many bytes.
    TooLarge(usize),
    /// It broke off.
    Incomplete(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
            Self::Incomplete(problem) => write!(f, "the body is not whole ({problem})"),
        }
    }
}

/// Reads a whole body of at most `limit` bytes, and of no more than `memory` can hold. While no memory is
/// available the body is not read, so that TCP holds its sender back.
///
/// # Errors
///
/// Returns [`BodyError::TooLarge`] as soon as the body is known to exceed the limit, which bounds one that
/// has no end, and [`BodyError::Incomplete`] if reading fails.
pub async fn collect<B>(body: B, limit: usize, memory: &BodyMemory) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + 'static,
{
    let limit = limit.min(memory.longest());
    let mut body = body;
    let length =
        body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge(limit));
    }
    let mut reader = BodyCollector::new(memory);
    if let Some(length) = length {
        reader.reserve(length).await;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Incomplete(message::error_chain(&error)))?;
        let Ok(part) = frame.into_data() else { continue };
        let needed = reader.content.len() + part.len();
        if needed > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if needed > reader.allowed {
            // Only a body of unknown length outgrows what it has reserved.
            let next = if needed <= VERY_LONG_BYTES { VERY_LONG_BYTES.min(limit) } else { limit };
            reader.reserve(next).await;
        }
        reader.content.extend_from_slice(&part);
    }
    Ok(reader.finish())
}

/// A body that is being collected, and the memory reserved for it so far.
struct BodyCollector<'a> {
    memory: &'a BodyMemory,
    content: BytesMut,
    allowed: usize,
    reservations: Vec<OwnedSemaphorePermit>,
}

impl<'a> BodyCollector<'a> {
    fn new(memory: &'a BodyMemory) -> Self {
        let (content, reservations) = (BytesMut::new(), Vec::new());
        Self { memory, content, allowed: UNRESERVED_BYTES, reservations }
    }

    async fn reserve(&mut self, length: usize) {
        if length > self.allowed {
            self.reservations.extend(self.memory.reserve(length).await);
            self.allowed = length;
        }
    }

    fn finish(mut self) -> Bytes {
        surrender_surplus(&mut self.reservations, self.content.len());
        attach_memory(self.content.freeze(), self.reservations)
    }
}

/// Releases what a body whose length was unknown has reserved and not needed.
fn surrender_surplus(reservations: &mut [OwnedSemaphorePermit], length: usize) {
    for reservation in reservations {
        let surplus = reservation.num_permits().saturating_sub(length);
        drop(reservation.split(surplus));
    }
}

/// A body that is being read.
#[derive(Debug)]
pub struct BodyReader {
    content: Content,
    /// Length up to which the body needs no further reservation.
    allowed: usize,
    reservations: Vec<OwnedSemaphorePermit>,
}

#[derive(Debug)]
enum Content {
    /// A body of known length, and how much of it has not arrived yet.
    Length(BytesMut, usize),
    /// A body in the chunked transfer coding.
    Chunks(ChunkedDecoder),
}

/// What [`BodyReader::read`] needs next.
#[derive(Debug)]
pub enum Progress {
    /// The body is complete. Its memory stays reserved until its last reference is dropped.
    Complete(Bytes),
    /// More input.
    Input,
    /// A reservation of this many bytes, which [`BodyReader::grant`] takes.
    Memory(usize),
}

impl BodyReader {
    /// Creates the reader of a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let content = match framing {
            Framing::Length(length) => Content::Length(BytesMut::new(), length),
            Framing::Chunks => Content::Chunks(ChunkedDecoder::default()),
        };
        Self { content, allowed: UNRESERVED_BYTES, reservations: Vec::new() }
    }

    /// Consumes as much of `input` as belongs to the body. `limit` is its maximum length in bytes.
    ///
    /// # Errors
    ///
    /// Returns why the body cannot be decoded. The rest of the connection cannot be parsed after that.
    pub fn read(&mut self, input: &mut BytesMut, limit: usize) -> Result<Progress, ChunkError> {
        match &mut self.content {
            Content::Length(body, missing) => {
                let length = body.len() + *missing;
                if length > self.allowed {
                    return Ok(Progress::Memory(length));
                }
                body.reserve(*missing);
                let part = input.split_to(input.len().min(*missing));
                body.extend_from_slice(&part);
                *missing -= part.len();
                if *missing > 0 {
                    return Ok(Progress::Input);
                }
                let body = body.split().freeze();
                Ok(Progress::Complete(attach_memory(body, self.reservations.drain(..))))
            }
            Content::Chunks(decoder) => {
                let Some(body) = decoder.decode(input, limit)? else {
                    return Ok(match decoder.decoded() {
                        decoded if decoded <= self.allowed => Progress::Input,
                        decoded if decoded <= VERY_LONG_BYTES => Progress::Memory(VERY_LONG_BYTES),
                        _ => Progress::Memory(limit),
                    });
                };
                surrender_surplus(&mut self.reservations, body.len());
                Ok(Progress::Complete(attach_memory(body, self.reservations.drain(..))))
            }
        }
    }

    /// Takes the reservation of `bytes` that [`Progress::Memory`] asked for.
    pub fn grant(&mut self, bytes: usize, reservation: Reservation) {
        self.allowed = bytes;
        self.reservations.extend(reservation);
    }
}
