//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        let field = fields.find(|(known, _)| known == name);
        field.map_or("", |(_, value)| value)
    }

    /// Returns the second word of the start line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

fn line(reader: &mut BufReader<TcpStream>) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().into())
}

/// Reads the head of a message.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Message> {
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let field = line(reader)?;
        if field.is_empty() {
            return Ok(message);
        }
        if let Some((name, value)) = field.split_once(':') {
            let field = (name.to_ascii_lowercase(), value.trim().to_string());
            message.fields.push(field);
        }
    }
}

/// Reads one chunk; an empty one ends the body.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Vec<u8>> {
    let size = line(reader)?;
    let size = usize::from_str_radix(&size, 16).map_err(|error| Error::new(ErrorKind::InvalidData, error))?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a message with its whole body.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Result<Message> {
    let mut message = read_head(reader)?;
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.field("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Encodes a chunk.
pub fn chunk(content: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", content.len()).into_bytes();
    bytes.extend_from_slice(content);
    bytes.extend_from_slice(b"\r\n");
    bytes
}
