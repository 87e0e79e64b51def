//! Incremental decoder for bodies in the chunked transfer coding.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a chunk's size line, including extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum length of all trailer lines of a body, in bytes. Trailers are read and dropped.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Why a body cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkError {
    /// The bytes are not in the chunked coding.
    Malformed,
    /// The body is larger than the limit.
    TooLarge,
}

/// The decoder of one body, with the part that was decoded so far.
#[derive(Debug, Default)]
pub struct ChunkedDecoder {
    body: BytesMut,
    state: State,
    /// Length of the trailer lines that were read.
    trailers: usize,
}

#[derive(Debug, Default, Clone, Copy)]
enum State {
    /// A chunk's size line is next.
    #[default]
    Size,
    /// This many bytes of the current chunk are still expected.
    Data(usize),
    /// The line end after a chunk's data is next.
    DataEnd,
    /// The trailers, or the empty line that ends the body, are next.
    Trailers,
}

impl ChunkedDecoder {
    /// Returns the number of bytes of the body that were decoded so far.
    pub fn decoded(&self) -> usize {
        self.body.len()
    }

    /// Consumes as much of `input` as possible. Returns the body once it is complete, or `None` if more
    /// input is needed. `limit` is the maximum size of the body in bytes.
    ///
    /// # Errors
    ///
    /// Returns why the body cannot be decoded. The rest of the connection cannot be parsed after that.
    pub fn decode(
        &mut self,
        input: &mut BytesMut,
        limit: usize,
    ) -> Result<Option<Bytes>, ChunkError> {
        loop {
            match self.state {
                State::Size => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((used, size))) => {
                        if !is_size_line(&input[..used]) {
                            return Err(ChunkError::Malformed);
                        }
                        input.advance(used);
                        let size = usize::try_from(size).map_err(|_| ChunkError::TooLarge)?;
                        if size > limit.saturating_sub(self.body.len()) {
                            return Err(ChunkError::TooLarge);
                        }
                        self.state = if size == 0 { State::Trailers } else { State::Data(size) };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= MAX_SIZE_LINE_BYTES => {
                        return Ok(None);
                    }
                    _ => return Err(ChunkError::Malformed),
                },
                State::Data(remaining) => {
                    let part = input.split_to(remaining.min(input.len()));
                    self.body.extend_from_slice(&part);
                    if part.len() < remaining {
                        self.state = State::Data(remaining - part.len());
                        return Ok(None);
                    }
                    self.state = State::DataEnd;
                }
                State::DataEnd => {
                    let Some(end) = input.get(..2) else { return Ok(None) };
                    if end != b"\r\n" {
                        return Err(ChunkError::Malformed);
                    }
                    input.advance(2);
                    self.state = State::Size;
                }
                State::Trailers => {
                    let end = input.windows(2).position(|pair| pair == b"\r\n");
                    let length = end.map_or(input.len(), |end| end + 2);
                    if self.trailers + length > MAX_TRAILER_BYTES {
                        return Err(ChunkError::Malformed);
                    }
                    let Some(end) = end else { return Ok(None) };
                    if end > 0 && !is_trailer(&input[..end]) {
                        return Err(ChunkError::Malformed);
                    }
                    input.advance(length);
                    self.trailers += length;
                    if end == 0 {
                        return Ok(Some(self.body.split().freeze()));
                    }
                }
            }
        }
    }
}

/// Whether a chunk's size line consists of its size, with or without an extension, and nothing that others
/// may read differently: no spaces around the size, and no line end within the extension.
fn is_size_line(line: &[u8]) -> bool {
    let Some(line) = line.strip_suffix(b"\r\n") else { return false };
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let extension = &line[digits..];
    digits > 0
        && extension.first().is_none_or(|byte| *byte == b';')
        && !extension.iter().any(is_control)
}

/// Whether a trailer line has a name, and no control characters.
fn is_trailer(line: &[u8]) -> bool {
    let name = line.iter().position(|byte| *byte == b':').map(|end| &line[..end]);
    let is_name = |name: &[u8]| http::HeaderName::from_bytes(name).is_ok();
    name.is_some_and(is_name) && !line.iter().any(is_control)
}

fn is_control(byte: &u8) -> bool {
    byte.is_ascii_control() && *byte != b'\t'
}
