//! Reading of requests, with limits on their size and time.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Uri, Version};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, RequestHeadDecoder};
use quick_error::quick_error;

use super::Socket;
use crate::refusal::Refusal;

/// Maximum number of buffered bytes of a chunked body in excess of the size limit, for chunk sizes and line ends.
const CHUNK_OVERHEAD_BYTES: usize = 64 << 10;

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
    /// # Errors
    ///
    /// Returns the refusal to send if the request is invalid, too large or too slow, or another error if the connection
    /// ended.
    pub async fn read(socket: &mut Socket, limits: RequestLimits) -> Result<Self, Error> {
        if socket.input().is_empty() {
            socket.shrink();
            match monoio::time::timeout(limits.idle_timeout, socket.fill()).await {
                Err(_) | Ok(Ok(0)) => return Err(Error::Closed),
                Ok(result) => result?,
            };
        }
        let request = read_request(socket, limits);
        match monoio::time::timeout(limits.read_timeout, request).await {
            Ok(result) => result,
            Err(_) => Err(too_slow()),
        }
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII characters.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

async fn read_request(socket: &mut Socket, limits: RequestLimits) -> Result<Request, Error> {
    let head = read_head(socket, limits.head_bytes);
    let head = match monoio::time::timeout(limits.head_timeout, head).await {
        Ok(result) => result?,
        Err(_) => return Err(too_slow()),
    };
    let framing = Framing::of(&head.headers)?;
    if matches!(framing, Framing::Length(length) if length > limits.body_bytes) {
        return Err(body_too_large());
    }
    if head.headers.contains_key(EXPECT) && !matches!(framing, Framing::Length(0)) {
        socket
            .write_all(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"))
            .await?;
    }
    let body = match framing {
        Framing::Length(length) => read_fixed(socket, length).await?,
        Framing::Chunked => read_chunked(socket, limits.body_bytes).await?,
    };
    let keep_alive = keeps_alive(head.version, &head.headers);
    Ok(Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        keep_alive,
    })
}

async fn read_head(
    socket: &mut Socket,
    limit_bytes: usize,
) -> Result<monoio_http::common::request::RequestHead, Error> {
    let mut decoder = RequestHeadDecoder;
    loop {
        let received_bytes = socket.input().len();
        match decoder.decode(socket.input()) {
            // A read can return bytes after the head, so the size of a complete head is checked, too.
            Ok(Decoded::Some(_)) if received_bytes - socket.input().len() > limit_bytes => {
                return Err(head_too_large());
            }
            Ok(Decoded::Some(head)) => return Ok(head),
            Ok(_) if received_bytes > limit_bytes => return Err(head_too_large()),
            Ok(_) => {}
            Err(_) => return Err(bad_request("the request head is not valid HTTP/1.1")),
        }
        if socket.fill().await? == 0 {
            return Err(bad_request("the request head is truncated"));
        }
    }
}

/// How the length of a body is determined.
enum Framing {
    Length(usize),
    Chunked,
}

impl Framing {
    /// Determines the framing from the headers.
    ///
    /// A request that states its length in two ways is refused, because two parsers could disagree on where the next
    /// request starts, which allows request smuggling.
    fn of(headers: &HeaderMap) -> Result<Self, Error> {
        let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(bad_request("the content-length header is repeated"));
        }
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        match (length, codings.next(), codings.next()) {
            (None, None, _) => Ok(Self::Length(0)),
            (Some(length), None, _) => length
                .to_str()
                .ok()
                .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()))
                .and_then(|text| text.parse().ok())
                .map(Self::Length)
                .ok_or_else(|| bad_request("content-length is not a number")),
            (None, Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Self::Chunked)
            }
            _ => Err(bad_request(
                "the framing of the request body is ambiguous or unsupported",
            )),
        }
    }
}

async fn read_fixed(socket: &mut Socket, length: usize) -> Result<Bytes, Error> {
    while socket.input().len() < length {
        if socket.fill().await? == 0 {
            return Err(truncated());
        }
    }
    Ok(socket.input().split_to(length).freeze())
}

async fn read_chunked(socket: &mut Socket, limit_bytes: usize) -> Result<Bytes, Error> {
    let mut decoder = ChunkedBodyDecoder::default();
    let mut body = BytesMut::new();
    loop {
        match decoder.decode(socket.input()) {
            Ok(Decoded::Some(None)) => return Ok(body.freeze()),
            Ok(Decoded::Some(Some(chunk))) => {
                if body.len() + chunk.len() > limit_bytes {
                    return Err(body_too_large());
                }
                body.extend_from_slice(&chunk);
                continue;
            }
            Ok(_) if socket.input().len() > limit_bytes + CHUNK_OVERHEAD_BYTES => {
                return Err(body_too_large());
            }
            Ok(_) => {}
            Err(_) => return Err(bad_request("the chunked body is not valid")),
        }
        if socket.fill().await? == 0 {
            return Err(truncated());
        }
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

fn truncated() -> Error {
    bad_request("the request body is truncated")
}
