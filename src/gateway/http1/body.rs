//! Bodies: how long they are, how they are decoded, and how a chunk is encoded.
use super::ParseError;

/// The largest trailer of a chunked body, in bytes. Trailers are read and dropped.
const MAX_TRAILER: usize = 8 << 10;

/// The longest line before a chunk, in bytes: its size and extensions.
const MAX_CHUNK_HEAD: usize = 256;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks; an empty one ends it.
    Chunked,
    /// The body ends with the connection; only a response may be framed so.
    UntilClose,
}

/// Decodes a body from the bytes of a connection, however they are cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyDecoder {
    state: DecoderState,
    /// Bytes of the trailer so far.
    trailer_length: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecoderState {
    /// This many bytes of a body with a known length are still to come; at least one.
    Length(u64),
    ChunkHead,
    /// This many bytes of a chunk are still to come; at least one.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Complete,
}

impl BodyDecoder {
    /// A decoder for a body of which nothing was read yet.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => DecoderState::Complete,
            BodyFraming::Length(length) => DecoderState::Length(length),
            BodyFraming::Chunked => DecoderState::ChunkHead,
            BodyFraming::UntilClose => DecoderState::UntilClose,
        };
        Self { state, trailer_length: 0 }
    }

    /// Whether the whole body was decoded.
    pub fn is_complete(&self) -> bool {
        self.state == DecoderState::Complete
    }

    /// The connection was closed by the far end: whether the body is complete by that.
    pub fn finish_at_close(&mut self) -> bool {
        if self.state == DecoderState::UntilClose {
            self.state = DecoderState::Complete;
        }
        self.is_complete()
    }

    /// Appends the body's bytes in `input` to `output`, and returns how many bytes of `input` were
    /// consumed. The rest has to be handed in again, with more bytes behind it.
    pub fn decode(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<usize, ParseError> {
        let mut consumed = 0;
        loop {
            // A step that consumes nothing has reached the end of the body or lacks bytes.
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
            DecoderState::Length(left) => {
                let count = copy_up_to(left, input, output);
                self.state = match left - count as u64 {
                    0 => DecoderState::Complete,
                    left => DecoderState::Length(left),
                };
                Ok(count)
            }
            DecoderState::ChunkHead => self.decode_chunk_head(input),
            DecoderState::Chunk(left) => {
                let count = copy_up_to(left, input, output);
                self.state = match left - count as u64 {
                    0 => DecoderState::ChunkEnd,
                    left => DecoderState::Chunk(left),
                };
                Ok(count)
            }
            DecoderState::ChunkEnd => self.decode_chunk_end(input),
            DecoderState::Trailer => self.decode_trailer_line(input),
        }
    }

    fn decode_chunk_head(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((count, size))) => {
                self.state =
                    if size == 0 { DecoderState::Trailer } else { DecoderState::Chunk(size) };
                Ok(count)
            }
            Ok(httparse::Status::Partial) if input.len() <= MAX_CHUNK_HEAD => Ok(0),
            _ => Err(ParseError),
        }
    }

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        match input {
            [b'\r', b'\n', ..] => {
                self.state = DecoderState::ChunkHead;
                Ok(2)
            }
            [] | [b'\r'] => Ok(0),
            _ => Err(ParseError),
        }
    }

    fn decode_trailer_line(&mut self, input: &[u8]) -> Result<usize, ParseError> {
        let Some(end) = input.iter().position(|b| *b == b'\n') else {
            let too_long = self.trailer_length + input.len() > MAX_TRAILER;
            return if too_long { Err(ParseError) } else { Ok(0) };
        };
        let line = input[..end].strip_suffix(b"\r").ok_or(ParseError)?;
        self.trailer_length += end;
        if self.trailer_length > MAX_TRAILER {
            return Err(ParseError);
        }
        if line.is_empty() {
            self.state = DecoderState::Complete;
        }
        Ok(end + 1)
    }
}

/// Copies at most `left` bytes, and returns how many were copied.
fn copy_up_to(left: u64, input: &[u8], output: &mut Vec<u8>) -> usize {
    let count = input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
    output.extend_from_slice(&input[..count]);
    count
}

/// One chunk of a chunked body, with its size and line ends.
pub(in crate::gateway) fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
