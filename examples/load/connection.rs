//! HTTP/1.1 client connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Buf;
use monoio::net::TcpStream;
use monsoonfield::server::Socket;

/// Time limit for connecting, and for the time without any response data.
const IO_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes that end a chunked body.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// A response whose body has started to arrive.
pub(crate) struct Response {
    /// Status code.
    pub(crate) status: u16,
    /// Time at which the first byte of the body arrived.
    pub(crate) first_byte: Instant,
    body: Body,
}

enum Body {
    /// A body with a known length, and the number of bytes that are still missing.
    Length(usize),
    /// A chunked body, and its newest bytes, with which the end is detected.
    Chunked(Vec<u8>),
}

/// A connection that carries one request at a time.
pub(crate) struct Connection {
    socket: Socket,
}

impl Connection {
    /// Connects to an address.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, String> {
        let connect = TcpStream::connect(address);
        match monoio::time::timeout(IO_TIMEOUT, connect).await {
            Ok(Ok(stream)) => Ok(Self {
                socket: Socket::new(stream),
            }),
            Ok(Err(error)) => Err(format!("connect to {address}: {error}")),
            Err(_) => Err(format!(
                "connect to {address}: no answer within {IO_TIMEOUT:?}"
            )),
        }
    }

    /// Sends a request and waits for the first byte of the response body.
    pub(crate) async fn send(&mut self, request: Vec<u8>) -> Result<Response, String> {
        let written = self.socket.write_all(request).await;
        written.map_err(|error| error.to_string())?;
        let (status, length) = loop {
            if let Some(head) = self.take_head() {
                break head?;
            }
            self.fill(usize::MAX).await?;
        };
        while self.socket.input().is_empty() && length != Some(0) {
            self.fill(usize::MAX).await?;
        }
        let body = match length {
            Some(length) => Body::Length(length),
            None => Body::Chunked(Vec::new()),
        };
        Ok(Response {
            status,
            first_byte: Instant::now(),
            body,
        })
    }

    /// Reads up to `limit` bytes of the body; returns their number, or `None` at the end of the body.
    pub(crate) async fn read(
        &mut self,
        response: &mut Response,
        limit: usize,
    ) -> Result<Option<usize>, String> {
        if response.is_complete() {
            return Ok(None);
        }
        if self.socket.input().is_empty() {
            self.fill(limit).await?;
        }
        let input = self.socket.input();
        let count = input.len().min(limit);
        response.consume(&input[..count]);
        input.advance(count);
        self.socket.shrink();
        Ok(Some(count))
    }

    /// Reads the rest of the body.
    pub(crate) async fn finish(&mut self, response: &mut Response) -> Result<(), String> {
        while self.read(response, usize::MAX).await?.is_some() {}
        Ok(())
    }

    async fn fill(&mut self, limit: usize) -> Result<(), String> {
        match monoio::time::timeout(IO_TIMEOUT, self.socket.fill_up_to(limit)).await {
            Ok(Ok(0)) => Err("the connection was closed before the end of the response".into()),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("no data within the time limit".into()),
        }
    }

    /// Takes the response head from the input once it is complete; returns the status and the length of the body.
    fn take_head(&mut self) -> Option<Result<(u16, Option<usize>), String>> {
        let input = self.socket.input();
        let end = input.windows(4).position(|part| part == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&input[..end]).to_ascii_lowercase();
        input.advance(end + 4);
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"))
            .and_then(|value| value.trim().parse().ok());
        Some(match status {
            Some(status) => Ok((status, length)),
            None => Err("malformed response head: no status code".into()),
        })
    }
}

impl Response {
    fn is_complete(&self) -> bool {
        match &self.body {
            Body::Length(remaining) => *remaining == 0,
            Body::Chunked(tail) => tail.ends_with(LAST_CHUNK),
        }
    }

    fn consume(&mut self, data: &[u8]) {
        match &mut self.body {
            Body::Length(remaining) => *remaining = remaining.saturating_sub(data.len()),
            Body::Chunked(tail) => {
                let newest = &data[data.len().saturating_sub(LAST_CHUNK.len())..];
                tail.extend_from_slice(newest);
                let excess = tail.len().saturating_sub(LAST_CHUNK.len());
                tail.drain(..excess);
            }
        }
    }
}
