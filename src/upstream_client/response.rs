//! Exchange of a request for the response of an upstream.

use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, CONNECTION, CONTENT_TYPE, TRAILER};

use super::head::Head;
use super::Error;
use crate::chunked::{self, ChunkedDecoder, Trailer};
use crate::framing::BodyLength;
use crate::server::Socket;

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of bytes per read until the head is complete. Bytes of the body that are read with the head are not
/// accounted for yet, so there must be few.
const HEAD_READ_BYTES: usize = 1 << 10;

/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 8;

enum Framing {
    Length(usize),
    Chunked(ChunkedDecoder),
    UntilClose,
    Ended,
}

impl Framing {
    /// Determines the framing of the body from a valid head.
    fn of(head: &Head) -> Self {
        match (head.status, head.body_length) {
            (204, _) | (_, BodyLength::Fixed(0)) => Self::Ended,
            (_, BodyLength::Chunked) => Self::Chunked(ChunkedDecoder::default()),
            // The length is that of the response without the condition of the request.
            (304, _) => Self::Ended,
            (_, BodyLength::Fixed(length)) => Self::Length(length),
            (_, BodyLength::Unstated) => Self::UntilClose,
        }
    }
}

/// How much of the request had been sent when the head of its response was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    Complete,
    /// The upstream responded first. It would take the next request for the rest of this one.
    Stopped,
    /// The connection failed. The error may have been reported to the write alone, so that the end of the stream does
    /// not show that a body without framing is complete.
    Failed,
}

/// How far an exchange came that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The request could not be written.
    Sending,
    /// The upstream sent nothing.
    Waiting,
    /// A part of a response arrived.
    Responding,
}

/// Why a request got no response, and how far the exchange came.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    pub(crate) error: Error,
    pub(crate) progress: Progress,
}

/// Reader of the head of a response, which interim responses may precede.
struct HeadReader<'u> {
    upstream: &'u str,
    interim_responses: u32,
    has_received: bool,
}

impl<'u> HeadReader<'u> {
    fn new(upstream: &'u str) -> Self {
        Self {
            upstream,
            interim_responses: 0,
            has_received: false,
        }
    }

    /// Takes the head of the final response from the input; returns `None` if more input is needed.
    fn take(&mut self, input: &mut BytesMut) -> Result<Option<Head>, ExchangeError> {
        self.has_received |= !input.is_empty();
        loop {
            let reason = match Head::take(input) {
                Ok(Some(head)) if head.is_interim() => {
                    self.interim_responses += 1;
                    if self.interim_responses <= MAX_INTERIM_RESPONSES {
                        continue;
                    }
                    "too many interim responses".to_owned()
                }
                Ok(Some(head)) => return Ok(Some(head)),
                Ok(None) if input.len() > MAX_HEAD_BYTES => {
                    "the head is larger than 16 KiB".to_owned()
                }
                Ok(None) if !may_begin_response(input) => "this is no HTTP response".to_owned(),
                Ok(None) => return Ok(None),
                Err(error) => error.to_string(),
            };
            return Err(self.failed(reason));
        }
    }

    /// Reads until the head of the final response is complete.
    async fn read(&mut self, socket: &mut Socket) -> Result<Head, ExchangeError> {
        loop {
            if let Some(head) = self.take(socket.input())? {
                return Ok(head);
            }
            self.check_received(socket.fill_up_to(HEAD_READ_BYTES).await)?;
        }
    }

    /// Checks that a read has returned bytes.
    fn check_received(&self, result: io::Result<usize>) -> Result<(), ExchangeError> {
        match result {
            Ok(0) => Err(self.failed("connection closed")),
            Ok(_) => Ok(()),
            Err(error) => Err(self.failed(error)),
        }
    }

    fn failed(&self, reason: impl ToString) -> ExchangeError {
        ExchangeError {
            error: broken(self.upstream, reason),
            progress: if self.has_received {
                Progress::Responding
            } else {
                Progress::Waiting
            },
        }
    }
}

/// Writes a part of a request; returns the head of the response if the upstream responds before it has read all of it.
///
/// The connection is read whenever the upstream takes no more bytes. An upstream that closes its sending side without a
/// response sends none later, so the end of the stream ends the exchange: it stays readable, and waiting for more input
/// would keep the event loop from everything else.
async fn write_part(
    socket: &mut Socket,
    mut part: Bytes,
    reader: &mut HeadReader<'_>,
) -> Result<Option<(Head, Sending)>, ExchangeError> {
    while !part.is_empty() {
        match socket.try_write(&mut part) {
            Some(Ok(1..)) => {}
            Some(result) => {
                // The response may have arrived before the connection failed.
                let error = result.err().unwrap_or(io::ErrorKind::WriteZero.into());
                return match reader.read(socket).await {
                    Ok(head) => Ok(Some((head, Sending::Failed))),
                    Err(failed) if failed.progress == Progress::Responding => Err(failed),
                    Err(_) => Err(ExchangeError {
                        error: Error::Broken("sending", reader.upstream.into(), error.to_string()),
                        progress: Progress::Sending,
                    }),
                };
            }
            None if is_readable_first(socket).await => {
                if let Some(result) = socket.try_fill_up_to(HEAD_READ_BYTES) {
                    reader.check_received(result)?;
                    if let Some(head) = reader.take(socket.input())? {
                        return Ok(Some((head, Sending::Stopped)));
                    }
                }
            }
            None => {}
        }
    }
    Ok(None)
}

/// Waits until a connection can be read or written; returns whether it can be read.
async fn is_readable_first(socket: &Socket) -> bool {
    let mut readable = pin!(socket.readable());
    let mut writable = pin!(socket.writable());
    poll_fn(|context| {
        if readable.as_mut().poll(context).is_ready() {
            return Poll::Ready(true);
        }
        writable.as_mut().poll(context).map(|_| false)
    })
    .await
}

/// A response whose body is read in parts.
pub struct UpstreamResponse {
    socket: Socket,
    upstream: String,
    framing: Framing,
    status: u16,
    headers: Box<HeaderMap>,
    keep_alive: bool,
    /// Whether the body has neither a length nor chunks.
    is_unframed: bool,
    /// Whether the statement of the length may be spoilt, which bytes after the end would confirm.
    is_end_doubtful: bool,
    is_eof: bool,
    /// Whether a read has failed.
    has_failed: bool,
    sending: Sending,
}

impl UpstreamResponse {
    /// Sends a request, whose parts are written one after the other, and reads the head of its response.
    ///
    /// # Errors
    ///
    /// Returns why there is no response and how far the exchange came.
    pub(crate) async fn request(
        mut socket: Socket,
        parts: [Bytes; 2],
        upstream: &str,
    ) -> Result<Self, ExchangeError> {
        let mut reader = HeadReader::new(upstream);
        // Each part is released when it is written.
        for part in parts {
            let answered = write_part(&mut socket, part, &mut reader).await?;
            if let Some((head, sending)) = answered {
                return Ok(Self::with_head(socket, upstream, head, sending));
            }
        }
        let head = reader.read(&mut socket).await?;
        Ok(Self::with_head(socket, upstream, head, Sending::Complete))
    }

    fn with_head(socket: Socket, upstream: &str, head: Head, sending: Sending) -> Self {
        let framing = Framing::of(&head);
        let closes = head
            .fields
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        Self {
            keep_alive: !closes && !matches!(framing, Framing::UntilClose),
            is_unframed: matches!(framing, Framing::UntilClose),
            is_end_doubtful: head.has_padded_length,
            socket,
            upstream: upstream.into(),
            framing,
            status: head.status,
            headers: Box::new(head.fields),
            is_eof: false,
            has_failed: false,
            sending,
        }
    }

    /// Returns the status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the media type of the body; `application/octet-stream` if the head has none.
    pub fn content_type(&self) -> &str {
        let value = self.headers.get(CONTENT_TYPE);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
    }

    /// Returns the header fields.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns the number of bytes of the body that have not been taken yet, if it is known.
    pub fn content_length(&self) -> Option<usize> {
        match self.framing {
            Framing::Length(length) => Some(length),
            Framing::Ended => Some(0),
            Framing::Chunked(_) | Framing::UntilClose => None,
        }
    }

    /// Returns whether the body has neither a length nor chunks and ends with the connection, so that its end does not
    /// prove that it is complete.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed
    }

    /// Returns whether the connection has ended before the end of a body that has a length or chunks.
    pub fn is_broken_off(&self) -> bool {
        self.is_eof && matches!(self.framing, Framing::Length(_) | Framing::Chunked(_))
    }

    /// Returns whether the connection has ended or failed, which a crash of the upstream would explain.
    pub fn is_disconnected(&self) -> bool {
        self.is_eof || self.has_failed
    }

    /// Returns whether the complete body was taken.
    pub fn is_ended(&self) -> bool {
        matches!(self.framing, Framing::Ended)
    }

    /// Takes the next part of the body that was received; returns `None` if more must be received first or the body has
    /// ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is invalid or ends early.
    pub fn take_bytes(&mut self) -> Result<Option<Bytes>, Error> {
        let input = self.socket.input();
        let piece = match &mut self.framing {
            Framing::Ended => {
                self.check_end()?;
                None
            }
            Framing::Length(remaining) => {
                let count = input.len().min(*remaining);
                *remaining -= count;
                let piece = input.split_to(count).freeze();
                if *remaining == 0 {
                    self.framing = Framing::Ended;
                    // The piece would complete the response for its caller.
                    self.check_end()?;
                }
                (count > 0).then_some(piece)
            }
            Framing::Chunked(decoder) => match decoder.decode(input) {
                Ok(chunked::Decoded::Data(piece)) => Some(piece),
                Ok(chunked::Decoded::Ended) => {
                    let trailer = decoder.trailer();
                    self.check_trailer(trailer)?;
                    self.framing = Framing::Ended;
                    self.check_end()?;
                    None
                }
                Ok(chunked::Decoded::NeedsInput) => None,
                Err(error) => return Err(broken(&self.upstream, error)),
            },
            Framing::UntilClose => {
                let piece = input.split().freeze();
                if piece.is_empty() && self.is_eof && self.sending != Sending::Failed {
                    self.framing = Framing::Ended;
                }
                (!piece.is_empty()).then_some(piece)
            }
        };
        if piece.is_none() {
            self.socket.shrink();
            if self.is_eof && !self.is_ended() {
                return Err(broken(&self.upstream, "the body is truncated"));
            }
        }
        Ok(piece)
    }

    /// Checks the trailer of a chunked body.
    ///
    /// If the size of a chunk is spoilt to zero, the lines of its data may read like trailer fields; those of events do.
    fn check_trailer(&mut self, trailer: Trailer) -> Result<(), Error> {
        if trailer == Trailer::Empty || self.headers.contains_key(TRAILER) {
            return Ok(());
        }
        self.is_end_doubtful = true;
        let media_type = self.content_type().split(';').next().unwrap_or_default();
        let is_event_stream = media_type.trim().eq_ignore_ascii_case("text/event-stream");
        if is_event_stream && trailer == Trailer::EventFields {
            let reason = "the lines of an event stand in the trailer";
            return Err(broken(&self.upstream, reason));
        }
        Ok(())
    }

    /// Checks that nothing but another response follows a body whose end is doubtful.
    fn check_end(&mut self) -> Result<(), Error> {
        if !self.is_end_doubtful || may_begin_response(self.socket.input()) {
            return Ok(());
        }
        let reason = "bytes follow the end of the body, whose length may be spoilt";
        Err(broken(&self.upstream, reason))
    }

    /// Receives at most `limit_bytes` more bytes of the response; the future can be dropped without losing data.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn receive(&mut self, limit_bytes: usize) -> Result<(), Error> {
        match self.socket.fill_up_to(limit_bytes).await {
            Ok(0) => {
                self.is_eof = true;
                Ok(())
            }
            Ok(_) => Ok(()),
            Err(error) => {
                self.has_failed = true;
                Err(broken(&self.upstream, error))
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is larger than the limit, invalid or ends early.
    pub async fn read_all(&mut self, limit_bytes: usize) -> Result<Bytes, Error> {
        let mut body = bytes::BytesMut::new();
        loop {
            match self.take_bytes()? {
                Some(piece) if body.len() + piece.len() > limit_bytes => {
                    return Err(broken(&self.upstream, "the body is larger than the limit"));
                }
                Some(piece) => body.extend_from_slice(&piece),
                None if self.is_ended() => return Ok(body.freeze()),
                None => self.receive(usize::MAX).await?,
            }
        }
    }

    /// Discards this response and reads the head of the next one on the same connection.
    ///
    /// An upstream may repeat an earlier response before the expected one.
    ///
    /// # Errors
    ///
    /// Returns an error if this response is invalid or incomplete, or if no other response follows.
    pub(crate) async fn skip(mut self, limit_bytes: usize) -> Result<Self, Error> {
        self.read_all(limit_bytes).await?;
        let upstream = std::mem::take(&mut self.upstream);
        let mut reader = HeadReader::new(&upstream);
        let head = reader.read(&mut self.socket).await;
        let head = head.map_err(|failed| failed.error)?;
        Ok(Self::with_head(self.socket, &upstream, head, self.sending))
    }

    /// Returns the connection if it can be used for another request.
    pub(crate) fn into_reusable(mut self) -> Option<Socket> {
        let is_sent = self.sending == Sending::Complete;
        let is_clean = self.is_ended() && self.keep_alive && !self.is_eof && is_sent;
        (is_clean && self.socket.input().is_empty()).then(|| {
            self.socket.shrink();
            self.socket
        })
    }
}

/// Returns whether bytes may be the beginning of a response.
fn may_begin_response(bytes: &[u8]) -> bool {
    const START: &[u8] = b"HTTP/1.";
    let count = bytes.len().min(START.len());
    bytes[..count] == START[..count]
}

fn broken(upstream: &str, reason: impl ToString) -> Error {
    Error::Broken("reading the response", upstream.into(), reason.to_string())
}
