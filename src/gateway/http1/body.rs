//! Message bodies: their framing, a decoder, and the encoding of chunks.
use super::ParseError;

/// The largest trailer section of a chunked body, in bytes. Trailers are read and dropped.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// The longest line before the data of a chunk, in bytes. It holds the chunk size and extensions.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// The framing of a body, which determines its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked; an empty chunk ends it.
    Chunked,
    /// The body ends when the connection is closed. Only responses may have this framing.
    UntilClose,
}

/// Decodes a body incrementally from the bytes of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    state: DecoderState,
    /// The length of the trailer lines so far, in bytes.
    trailer_length: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    /// The number of bytes of a body with a known length that are still missing; at least one.
    Length(u64),
    /// The line before the data of a chunk.
    ChunkSizeLine,
    /// The number of bytes of a chunk that are still missing; at least one.
    ChunkData(u64),
    /// The line end after the data of a chunk.
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete,
}

impl BodyDecoder {
    /// Creates a decoder for a body of which nothing was read yet.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkSizeLine,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state, trailer_length: 0 }
    }

    /// Whether the body was decoded to its end.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Complete
    }

    /// Ends the body because the peer closed the connection. Returns whether it is complete.
    pub fn finish_at_close(&mut self) -> bool {
        if self.state == DecoderState::UntilClose {
            self.state = DecoderState::Complete;
        }
        self.is_complete()
    }

    /// Decodes `input`, appends the body to `output`, and returns how many bytes of `input` were
    /// consumed. The other bytes must be passed in again, followed by more bytes.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut consumed = 0;
        loop {
            // A step consumes nothing at the end of the body, or if it needs more bytes.
            match self.decode_step(&input[consumed..], output)? {
                0 => return Ok(consumed),
                count => consumed += count,
            }
        }
    }

    fn decode_step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ParseError> {
        match self.state {
            DecoderState::Complete => Ok(0),
            DecoderState::UntilClose => {
                output.extend_from_slice(input);
                Ok(input.len())
            }
            DecoderState::Length(remaining) => {
                let count = copy_up_to(remaining, input, output);
                self.state = match remaining - count as u64 {
                    0 => DecoderState::Complete,
                    remaining => DecoderState::Length(remaining),
                };
                Ok(count)
            }
            DecoderState::ChunkSizeLine => self.decode_chunk_size_line(input),
            DecoderState::ChunkData(remaining) => {
                let count = copy_up_to(remaining, input, output);
                self.state = match remaining - count as u64 {
                    0 => DecoderState::ChunkEnd,
                    remaining => DecoderState::ChunkData(remaining),
                };
                Ok(count)
            }
            DecoderState::ChunkEnd => self.decode_chunk_end(input),
            DecoderState::Trailer => self.decode_trailer_line(input),
        }
    }

    fn decode_chunk_size_line(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((count, size))) => {
                self.state =
                    if size == 0 { DecoderState::Trailer } else { DecoderState::ChunkData(size) };
                Ok(count)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_SIZE_LINE_BYTES => Ok(0),
            _ => Err(ParseError),
        }
    }

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = DecoderState::ChunkSizeLine;
                Ok(2)
            }
            [] | [b'\r'] => Ok(0),
            _ => Err(ParseError),
        }
    }

    fn decode_trailer_line(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let Some(end) = input.iter().position(|b| *b == b'\n') else {
            let too_long = self.trailer_length + input.len() > MAX_TRAILER_BYTES;
            return if too_long { Err(ParseError) } else { Ok(0) };
        };
        let line = input[..end].strip_suffix(b"\r").ok_or(ParseError)?;
        self.trailer_length += end;
        if self.trailer_length > MAX_TRAILER_BYTES {
            return Err(ParseError);
        }
        if line.is_empty() {
            self.state = DecoderState::Complete;
        }
        Ok(end + 1)
    }
}

/// Copies at most `max_count` bytes, and returns how many were copied.
fn copy_up_to(max_count: u64, input: &[u8], output: &mut Vec<u8>) -> usize {
    let count = input.len().min(usize::try_from(max_count).unwrap_or(usize::MAX));
    output.extend_from_slice(&input[..count]);
    count
}

/// Encodes one chunk of a chunked body, with its size and line ends.
pub(in crate::gateway) fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
