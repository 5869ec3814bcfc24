//! Reading of requests, with limits on their size and time.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::header::EXPECT;
use http::{HeaderMap, Method, Uri, Version};
use monoio_codec::{Decoded, Decoder};
use monoio_http::common::request::RequestHead;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;
use quick_error::quick_error;

use super::Socket;
use crate::chunked::{ChunkedDecoder, Decoded as DecodedChunk};
use crate::framing::BodyLength;
use crate::refusal::Refusal;

/// Smallest growth of the memory of a body; larger bodies grow by a quarter.
const BODY_GROWTH_BYTES: usize = 16 << 10;

/// Memory of a request beyond the bytes of its head and body: parsed header fields and the state of its attempts.
const REQUEST_OVERHEAD_BYTES: usize = 8 << 10;

/// Limits on a request and its connection.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimits {
    /// Maximum size of the head.
    pub head_bytes: usize,
    /// Maximum size of the body.
    pub body_bytes: usize,
    /// Time limit for the head, from its first byte.
    pub head_timeout: Duration,
    /// Time limit for the complete request, from its first byte.
    pub read_timeout: Duration,
    /// Maximum time for which a connection may be idle before its next request.
    pub idle_timeout: Duration,
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body; empty if there is none.
    pub body: Bytes,
    /// Whether the caller keeps the connection open after the response.
    pub keep_alive: bool,
}

quick_error! {
    /// Why no request was read.
    #[derive(Debug)]
    pub enum Error {
        /// The caller closed the connection before the first byte of a request, or it was idle for too long.
        Closed {
            display("the connection was closed")
        }
        /// The request must be answered with a refusal, after which the connection must be closed.
        Refused(refusal: Refusal, message: &'static str) {
            display("{}", message)
        }
        /// The connection failed.
        Io(error: io::Error) {
            display("reading the request: {}", error)
            from()
        }
    }
}

impl Request {
    /// Reads the next request of a connection.
    ///
    /// `team_of` returns the team of a request with a body, by which the buffer budget is shared.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send if the request is invalid, too large or too slow, or if there is no memory for it, or
    /// another error if the connection ended.
    pub async fn read(
        socket: &mut Socket,
        limits: RequestLimits,
        team_of: impl Fn(&RequestHead) -> Option<CompactString>,
    ) -> Result<Self, Error> {
        let Some(account) = socket.account().cloned() else {
            wait_for_first_byte(socket, limits).await?;
            return read_in_time(socket, limits, team_of).await;
        };
        // A connection that is evicted before its request begins is closed without a response to nothing.
        let first_byte = account.run_until_evicted(wait_for_first_byte(socket, limits));
        first_byte.await.unwrap_or(Err(Error::Closed))?;
        account.begin_request();
        let request = account.run_until_evicted(read_in_time(socket, limits, team_of));
        request.await.unwrap_or_else(|| Err(evicted()))
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII characters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Waits for the first byte of a request, unless it was read together with the request before.
async fn wait_for_first_byte(socket: &mut Socket, limits: RequestLimits) -> Result<(), Error> {
    if !socket.input().is_empty() {
        return Ok(());
    }
    socket.shrink();
    match monoio::time::timeout(limits.idle_timeout, socket.fill()).await {
        Err(_) | Ok(Ok(0)) => Err(Error::Closed),
        Ok(result) => Ok(result.map(drop)?),
    }
}

/// Reads a request whose first byte has arrived.
async fn read_in_time(
    socket: &mut Socket,
    limits: RequestLimits,
    team_of: impl Fn(&RequestHead) -> Option<CompactString>,
) -> Result<Request, Error> {
    let request = read_request(socket, limits, team_of);
    match monoio::time::timeout(limits.read_timeout, request).await {
        Ok(result) => result,
        Err(_) => Err(too_slow()),
    }
}

async fn read_request(
    socket: &mut Socket,
    limits: RequestLimits,
    team_of: impl Fn(&RequestHead) -> Option<CompactString>,
) -> Result<Request, Error> {
    if let Some(account) = socket.account() {
        // The first bytes were read before the request began.
        account
            .resize_input(socket.input_capacity())
            .map_err(|_| buffers_full())?;
    }
    let head = read_head(socket, limits.head_bytes);
    let (head, head_bytes) = match monoio::time::timeout(limits.head_timeout, head).await {
        Ok(result) => result?,
        Err(_) => return Err(too_slow()),
    };
    let body_length = BodyLength::of(&head.headers).map_err(bad_request)?;
    if matches!(body_length, BodyLength::Fixed(length) if length > limits.body_bytes) {
        return Err(body_too_large());
    }
    let has_body = !matches!(body_length, BodyLength::Unstated | BodyLength::Fixed(0));
    if let (Some(account), true) = (socket.account(), has_body) {
        account.set_team(team_of(&head));
    }
    let mut body = Body::new(head_bytes + REQUEST_OVERHEAD_BYTES);
    match body_length {
        BodyLength::Unstated | BodyLength::Fixed(0) => {}
        BodyLength::Fixed(length) => {
            check_declared(socket, length)?;
            send_continue(socket, &head).await?;
            body.read_fixed(socket, length).await?;
        }
        BodyLength::Chunked => {
            send_continue(socket, &head).await?;
            body.read_chunked(socket, limits.body_bytes).await?;
        }
    }
    let body = body.finish(socket)?;
    if let Some(account) = socket.account() {
        account.begin_serving();
    }
    let keep_alive = keeps_alive(head.version, &head.headers);
    Ok(Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        keep_alive,
    })
}

/// Refuses a declared body that does not fit now, before the caller sends it.
fn check_declared(socket: &Socket, length: usize) -> Result<(), Error> {
    let checked = socket
        .account()
        .map(|account| account.check_declared(length));
    checked.unwrap_or(Ok(())).map_err(|_| buffers_full())
}

async fn send_continue(socket: &mut Socket, head: &RequestHead) -> Result<(), Error> {
    if head.headers.contains_key(EXPECT) {
        let interim = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        socket.write_all(interim).await?;
    }
    Ok(())
}

/// Reads more input, and accounts for it together with what else the request holds.
async fn fill(socket: &mut Socket, held_bytes: usize) -> Result<usize, Error> {
    let count = socket.fill().await?;
    let input_bytes = socket.input_capacity();
    if let Some(account) = socket.account() {
        account.record_received(count);
        account
            .resize_input(held_bytes + input_bytes)
            .map_err(|_| buffers_full())?;
    }
    Ok(count)
}

async fn read_head(socket: &mut Socket, limit_bytes: usize) -> Result<(RequestHead, usize), Error> {
    let mut decoder = RequestHeadDecoder;
    loop {
        let received_bytes = socket.input().len();
        match decoder.decode(socket.input()) {
            // A read can return bytes after the head, so the size of a complete head is checked, too.
            Ok(Decoded::Some(_)) if received_bytes - socket.input().len() > limit_bytes => {
                return Err(head_too_large());
            }
            Ok(Decoded::Some(head)) => return Ok((head, received_bytes - socket.input().len())),
            Ok(_) if received_bytes > limit_bytes => return Err(head_too_large()),
            Ok(_) => {}
            Err(_) => return Err(bad_request("the request head is not valid HTTP/1.1")),
        }
        if fill(socket, 0).await? == 0 {
            return Err(bad_request("the request head is truncated"));
        }
    }
}

/// A body that is being received.
///
/// Its memory grows with the bytes that have arrived, in steps that the buffer budget has to allow before. Chunks are
/// copied, because each would keep the buffer alive that it was received in.
struct Body {
    bytes: Vec<u8>,
    /// What the request holds beside the body.
    head_bytes: usize,
}

impl Body {
    fn new(head_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            head_bytes,
        }
    }

    async fn read_fixed(&mut self, socket: &mut Socket, length: usize) -> Result<(), Error> {
        loop {
            let left = length - self.bytes.len();
            let count = left.min(socket.input_len());
            let part = socket.input().split_to(count);
            self.push(socket, &part, length)?;
            if count == left {
                return Ok(());
            }
            self.fill(socket).await?;
        }
    }

    async fn read_chunked(&mut self, socket: &mut Socket, limit: usize) -> Result<(), Error> {
        let mut decoder = ChunkedDecoder::default();
        loop {
            match decoder.decode(socket.input()) {
                Ok(DecodedChunk::Ended) => return Ok(()),
                Ok(DecodedChunk::Data(part)) if self.bytes.len() + part.len() > limit => {
                    return Err(body_too_large());
                }
                Ok(DecodedChunk::Data(part)) => self.push(socket, &part, limit)?,
                Ok(DecodedChunk::NeedsInput) => self.fill(socket).await?,
                Err(_) => return Err(bad_request("the chunked body is not valid")),
            }
        }
    }

    async fn fill(&self, socket: &mut Socket) -> Result<(), Error> {
        // An empty buffer is released, so that it is not kept beside the next one.
        socket.shrink();
        let held_bytes = self.head_bytes + self.bytes.capacity();
        match fill(socket, held_bytes).await? {
            0 => Err(truncated()),
            _ => Ok(()),
        }
    }

    /// Appends a part of the body, which has at most `limit` bytes.
    fn push(&mut self, socket: &Socket, part: &[u8], limit: usize) -> Result<(), Error> {
        let needed = self.bytes.len() + part.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let growth = BODY_GROWTH_BYTES.max(capacity / 4);
            let wanted = (capacity + growth).min(limit).max(needed);
            self.account_for(socket, wanted)?;
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body in an allocation of its size.
    fn finish(mut self, socket: &Socket) -> Result<Bytes, Error> {
        self.bytes.shrink_to_fit();
        self.account_for(socket, self.bytes.capacity())?;
        Ok(self.bytes.into())
    }

    fn account_for(&self, socket: &Socket, body_bytes: usize) -> Result<(), Error> {
        let Some(account) = socket.account() else {
            return Ok(());
        };
        let held_bytes = self.head_bytes + socket.input_capacity() + body_bytes;
        account.resize_input(held_bytes).map_err(|_| buffers_full())
    }
}

fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    let connection = headers
        .get(http::header::CONNECTION)
        .map(http::HeaderValue::as_bytes)
        .unwrap_or_default();
    if version == Version::HTTP_11 {
        !connection.eq_ignore_ascii_case(b"close")
    } else {
        connection.eq_ignore_ascii_case(b"keep-alive")
    }
}

fn head_too_large() -> Error {
    Error::Refused(
        Refusal::HeadersTooLarge,
        "the request head is larger than the limit",
    )
}

fn too_slow() -> Error {
    Error::Refused(
        Refusal::RequestTimeout,
        "the request was not complete in time",
    )
}

fn bad_request(message: &'static str) -> Error {
    Error::Refused(Refusal::BadRequest, message)
}

fn body_too_large() -> Error {
    Error::Refused(
        Refusal::BodyTooLarge,
        "the request body is larger than the limit",
    )
}

fn buffers_full() -> Error {
    Error::Refused(Refusal::BuffersFull, "the memory for requests is used up")
}

fn evicted() -> Error {
    Error::Refused(
        Refusal::BuffersFull,
        "the request made no progress while others needed its place",
    )
}

fn truncated() -> Error {
    bad_request("the request body is truncated")
}
