//! A client that sends requests one after the other on a kept connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::deployment::{read_body, read_head, Message, KEY};

pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        extra: &str,
        body: &[u8],
    ) -> std::io::Result<()> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: office.example\r\nX-Request-Id: {id}\r\n\
             Authorization: Bearer {KEY}\r\n{extra}Content-Length: {}\r\n\r\n",
            body.len()
        );
        self.reader
            .get_mut()
            .write_all(&[head.as_bytes(), body].concat())
    }

    /// Reads an answer; returns whether its body is complete. `None` if no head arrives before the timeout or the end of
    /// the connection.
    pub fn receive(&mut self) -> Option<(Message, bool)> {
        let mut answer = read_head(&mut self.reader)?;
        let is_complete = read_body(&mut self.reader, &mut answer);
        Some((answer, is_complete))
    }
}
