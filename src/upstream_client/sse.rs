//! Splitting of a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted from an engine.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One server-sent event with its terminating empty line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Index of the event in the response, if the engine gives one.
    pub index: Option<u64>,
    /// The event as received.
    pub raw: Bytes,
}

impl Event {
    /// Returns the content of the first `data` field.
    pub fn data(&self) -> &[u8] {
        field(&self.raw, b"data:").unwrap_or_default()
    }

    /// Returns whether this is the marker that ends a response.
    pub fn is_done(&self) -> bool {
        self.data() == b"[DONE]"
    }
}

/// Collects bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete event.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is larger than any engine may send.
    pub fn next_event(&mut self) -> Result<Option<Event>, &'static str> {
        let Some(end) = find_event_end(&self.buffer) else {
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err("the event is too large");
            }
            if self.buffer.is_empty() {
                // An idle stream keeps no buffer.
                self.buffer = BytesMut::new();
            }
            return Ok(None);
        };
        let raw = self.buffer.split_to(end).freeze();
        let index = field(&raw, b"id:")
            .and_then(|text| std::str::from_utf8(text).ok())
            .and_then(|text| text.parse().ok());
        Ok(Some(Event { index, raw }))
    }

    /// Takes the bytes behind the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Returns the bytes that wait for the end of their event.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the position behind the first empty line.
fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let mut start = 0;
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
    raw.split(|&byte| byte == b'\n')
        .find_map(|line| line.strip_prefix(name))
        .map(<[u8]>::trim_ascii)
}
