//! Decoding of a chunked body in parts.
//!
//! The decoder of the HTTP library returns whole chunks and buffers lines of any length, so a caller or an upstream that
//! sends a chunk extension or a trailer without end would fill the memory. This one passes data on as it arrives and
//! bounds every line. It also refuses what the library accepts as a size of zero: a line without a digit, which a single
//! spoilt byte leaves, would end the body early. See `docs/incidents/2026-12-07-spoilt-responses.md`.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{HeaderName, HeaderValue};

/// Maximum size of the line with the size of a chunk and its extensions.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum number of digits of the size of a chunk, which fill 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

/// Maximum size of all trailer fields, which are discarded.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Size of a line end, CRLF.
const LINE_END_BYTES: usize = 2;

/// Part of a chunked body that follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// The line with the size of a chunk.
    #[default]
    Size,
    /// Data of a chunk, with the number of bytes that are left.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// Trailer fields, with the number of their bytes so far.
    Trailer(usize, Trailer),
    /// Nothing; the body is complete.
    Ended(Trailer),
}

/// Fields between the last chunk and the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Trailer {
    /// There are none.
    Empty,
    /// There are some.
    Fields,
    /// One of them has the name of a line of a server-sent event.
    EventFields,
}

/// Result of one step of decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// More input is needed.
    NeedsInput,
    /// The body is complete.
    Ended,
}

/// Decoder of a chunked body.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChunkedDecoder {
    state: State,
}

impl ChunkedDecoder {
    /// Returns the trailer of a complete body.
    pub(crate) fn trailer(&self) -> Trailer {
        match self.state {
            State::Ended(trailer) => trailer,
            _ => Trailer::Empty,
        }
    }

    /// Takes the next part of the body from the input.
    ///
    /// # Errors
    ///
    /// Returns what is invalid or too large.
    pub(crate) fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded, &'static str> {
        loop {
            match self.state {
                State::Size => match take_line(input)? {
                    Some(line) if line.len() <= MAX_SIZE_LINE_BYTES => {
                        self.state = match parse_size_line(&line) {
                            Some(0) => State::Trailer(0, Trailer::Empty),
                            Some(size) => State::Data(size),
                            None => return Err("a chunk size is invalid"),
                        };
                    }
                    None if input.len() <= MAX_SIZE_LINE_BYTES => return Ok(Decoded::NeedsInput),
                    _ => return Err("the line of a chunk size is too long"),
                },
                State::Data(_) if input.is_empty() => return Ok(Decoded::NeedsInput),
                State::Data(left) => {
                    let count = left.min(input.len() as u64);
                    self.state = match left - count {
                        0 => State::DataEnd,
                        left => State::Data(left),
                    };
                    return Ok(Decoded::Data(input.split_to(count as usize).freeze()));
                }
                State::DataEnd => match input.as_ref() {
                    [b'\r', b'\n', ..] => {
                        input.advance(2);
                        self.state = State::Size;
                    }
                    [] | [b'\r'] => return Ok(Decoded::NeedsInput),
                    _ => return Err("a chunk is longer than its size"),
                },
                State::Trailer(bytes, trailer) => match take_line(input)? {
                    Some(line) if line.is_empty() => self.state = State::Ended(trailer),
                    Some(line) => {
                        let bytes = bytes + line.len() + LINE_END_BYTES;
                        if bytes > MAX_TRAILER_BYTES {
                            return Err("the trailer is too large");
                        }
                        let Some(field) = classify_field(&line) else {
                            return Err("a line of the trailer is no field");
                        };
                        self.state = State::Trailer(bytes, trailer.max(field));
                    }
                    None if bytes + input.len() > MAX_TRAILER_BYTES => {
                        return Err("the trailer is too large");
                    }
                    None => return Ok(Decoded::NeedsInput),
                },
                State::Ended(_) => return Ok(Decoded::Ended),
            }
        }
    }
}

/// Takes a line from the input, without its line end; returns `None` if it is not complete.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, &'static str> {
    let Some(end) = input.iter().position(|byte| matches!(byte, b'\r' | b'\n')) else {
        return Ok(None);
    };
    match &input[end..] {
        [b'\r', b'\n', ..] => {
            let line = input.split_to(end);
            input.advance(LINE_END_BYTES);
            Ok(Some(line))
        }
        [b'\r'] => Ok(None),
        _ => Err("a line of the chunked body does not end with CRLF"),
    }
}

/// Parses the line with the size of a chunk; returns `None` if it is invalid.
fn parse_size_line(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let (size, extensions) = line.split_at(digits.count());
    // White space may only precede the semicolon of an extension, not the line end.
    let is_size = extensions.is_empty() || extensions.trim_ascii_start().starts_with(b";");
    let has_control = extensions
        .iter()
        .any(|byte| byte.is_ascii_control() && *byte != b'\t');
    if !is_size || has_control || size.len() > MAX_SIZE_DIGITS {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()
}

/// Returns what a trailer with this line has; `None` if the line is no field.
fn classify_field(line: &[u8]) -> Option<Trailer> {
    let colon = line.iter().position(|byte| *byte == b':')?;
    let name = HeaderName::from_bytes(&line[..colon]).ok()?;
    HeaderValue::from_bytes(&line[colon + 1..]).ok()?;
    Some(match name.as_str() {
        "data" | "event" | "id" | "retry" => Trailer::EventFields,
        _ => Trailer::Fields,
    })
}
