//! HTTP/1.1 messages on blocking sockets, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was complete according to its framing.
    pub is_complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1).unwrap_or_default();
        status.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.field("x-request-id").unwrap_or_default()
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.start = line.trim_end().into();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let field = line.trim_end();
        if field.is_empty() {
            return Some(message);
        }
        let (name, value) = field.split_once(':')?;
        message.fields.push((name.into(), value.trim().into()));
    }
}

/// Reads the body of a message; a request without a length has none.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_request: bool) {
    if message.field("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader) {
            if chunk.is_empty() {
                message.is_complete = true;
                return;
            }
            message.body.extend_from_slice(&chunk);
        }
        return;
    }
    let length = message.field("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) => {
            let read = reader.take(length as u64).read_to_end(&mut message.body);
            message.is_complete = read.is_ok() && message.body.len() == length;
        }
        None if is_request => message.is_complete = true,
        None => message.is_complete = reader.read_to_end(&mut message.body).is_ok(),
    }
}

/// Reads one chunk; the last one is empty. `None` if the connection ends before it is complete.
fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(size);
    Some(chunk)
}

/// Reads a message with its body; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_request: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message, is_request);
    Some(message)
}
