//! Bodies that come in chunks, put together as their bytes arrive.

use bytes::{Buf, Bytes, BytesMut};

/// The longest line of a chunk's size, extensions included, in bytes.
const LONGEST_SIZE: usize = 256;

/// The longest trailer section, in bytes. Trailers are read and dropped.
const LONGEST_TRAILERS: usize = 8 << 10;

/// Why a body cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Problem {
    /// It is not in the form that chunks have.
    Malformed,
    /// It is larger than the limit.
    TooLarge,
}

/// A body of which some chunks may still be missing.
#[derive(Debug, Default)]
pub struct Chunked {
    body: BytesMut,
    state: State,
}

#[derive(Debug, Default, Clone, Copy)]
enum State {
    #[default]
    Size,
    /// This many bytes of a chunk are missing.
    Data(usize),
    /// The end of the line behind a chunk is missing.
    DataEnd,
    Trailers,
}

impl Chunked {
    /// Takes what it can use of `input`. Returns the whole body once it is there.
    ///
    /// # Errors
    ///
    /// Returns why the body cannot be read, after which nothing behind it can be read either.
    pub fn take(&mut self, input: &mut BytesMut, limit: usize) -> Result<Option<Bytes>, Problem> {
        loop {
            match self.state {
                State::Size => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        input.advance(used);
                        let size = usize::try_from(size).map_err(|_| Problem::TooLarge)?;
                        if size > limit.saturating_sub(self.body.len()) {
                            return Err(Problem::TooLarge);
                        }
                        self.state = if size == 0 { State::Trailers } else { State::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= LONGEST_SIZE => {
                        return Ok(None);
                    }
                    _ => return Err(Problem::Malformed),
                },
                State::Data(left) => {
                    let part = input.split_to(left.min(input.len()));
                    self.body.extend_from_slice(&part);
                    if part.len() < left {
                        self.state = State::Data(left - part.len());
                        return Ok(None);
                    }
                    self.state = State::DataEnd;
                }
                State::DataEnd => {
                    let Some(end) = input.get(..2) else { return Ok(None) };
                    if end != b"\r\n" {
                        return Err(Problem::Malformed);
                    }
                    input.advance(2);
                    self.state = State::Size;
                }
                State::Trailers => {
                    let Some(end) = input.windows(2).position(|two| two == b"\r\n") else {
                        let long = input.len() > LONGEST_TRAILERS;
                        return if long { Err(Problem::Malformed) } else { Ok(None) };
                    };
                    input.advance(end + 2);
                    if end == 0 {
                        return Ok(Some(self.body.split().freeze()));
                    }
                }
            }
        }
    }
}
