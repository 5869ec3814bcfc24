//! Splitting of a byte stream into server-sent events.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Maximum size of an event; those of engines have some hundred bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Id of an event, which an upstream may have spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventId {
    /// The event has none.
    Absent,
    /// A number in its only decimal form.
    Number(u64),
    /// A text that is no such number, or several ids.
    Invalid,
}

impl EventId {
    /// Reads an id. A sign, a blank, a leading zero or a number over 64 bits is invalid: the upstream would not recognise
    /// such a text by its number in a header field.
    pub fn parse(text: &[u8]) -> Self {
        let is_number = match text {
            [b'0', _, ..] => false,
            digits => digits.iter().all(u8::is_ascii_digit),
        };
        let text = std::str::from_utf8(text).ok().filter(|_| is_number);
        let number = text.and_then(|text| text.parse().ok());
        number.map_or(Self::Invalid, Self::Number)
    }

    /// Reads the `id` field among the lines of an event.
    fn of_event(raw: &[u8]) -> Self {
        let mut values = lines(raw).filter_map(|line| match line.strip_prefix(b"id")? {
            [] => Some(&[][..]),
            [b':', b' ', value @ ..] | [b':', value @ ..] => Some(value),
            _ => None,
        });
        match (values.next(), values.next()) {
            (None, _) => Self::Absent,
            (Some(value), None) => Self::parse(value),
            (Some(_), Some(_)) => Self::Invalid,
        }
    }

    /// Returns the number, if this is one.
    pub fn number(self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(number),
            Self::Absent | Self::Invalid => None,
        }
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => formatter.write_str("none"),
            Self::Number(number) => number.fmt(formatter),
            Self::Invalid => formatter.write_str("invalid"),
        }
    }
}

/// One server-sent event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id of the event.
    pub id: EventId,
    /// The bytes of the event as received.
    pub raw: Bytes,
}

impl Event {
    /// Returns whether this consists of comments, which upstreams send to keep a connection open. They are no events.
    pub fn is_comment(&self) -> bool {
        lines(&self.raw).all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// Returns the value of the first `data` field, or nothing if there is none.
    pub fn data(&self) -> &[u8] {
        field(&self.raw, b"data:").unwrap_or_default()
    }

    /// Returns whether this is the `[DONE]` event, which ends a response.
    pub fn is_done(&self) -> bool {
        self.data() == b"[DONE]"
    }
}

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that were searched for the end of an event.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the event exceeds the maximum size.
    pub fn next_event(&mut self) -> Result<Option<Event>, &'static str> {
        let Some(end) = find_event_end(&self.buffer, self.searched_bytes) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err("an event is larger than 64 KiB");
            }
            // The empty line may begin with the last line end, and it takes two more bytes.
            self.searched_bytes = self.buffer.len().saturating_sub(2);
            if self.buffer.is_empty() {
                // Releases the memory of the buffer, so that an idle stream holds none.
                self.buffer = BytesMut::new();
            }
            return Ok(None);
        };
        self.searched_bytes = 0;
        let raw = self.buffer.split_to(end).freeze();
        let id = EventId::of_event(&raw);
        Ok(Some(Event { id, raw }))
    }

    /// Takes the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.searched_bytes = 0;
        self.buffer.split().freeze()
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the position after the first empty line; the search begins at `start`.
fn find_event_end(buffer: &[u8], mut start: usize) -> Option<usize> {
    while let Some(offset) = buffer[start..].iter().position(|&byte| byte == b'\n') {
        let next = start + offset + 1;
        match buffer.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

fn field<'a>(raw: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    lines(raw)
        .find_map(|line| line.strip_prefix(name))
        .map(<[u8]>::trim_ascii)
}

/// Returns the lines of an event without their ends.
fn lines(raw: &[u8]) -> impl Iterator<Item = &[u8]> {
    raw.split(|&byte| byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}
