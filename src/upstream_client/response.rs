//! Reading of the response of an upstream.

use bytes::Bytes;
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
}

impl UpstreamResponse {
    /// Reads the head of a response.
    ///
    /// The error includes whether any byte of the response was received.
    pub(crate) async fn read_head(
        mut socket: Socket,
        upstream: &str,
    ) -> Result<Self, (Error, bool)> {
        let mut has_received = false;
        let mut interim_responses = 0;
        let head = loop {
            match Head::take(socket.input()) {
                Ok(Some(head)) if head.is_interim() => {
                    interim_responses += 1;
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err((broken(upstream, "too many interim responses"), true));
                    }
                    continue;
                }
                Ok(Some(head)) => break head,
                Ok(None) if socket.input().len() > MAX_HEAD_BYTES => {
                    return Err((broken(upstream, "the head is larger than 16 KiB"), true));
                }
                Ok(None) if !may_begin_response(socket.input()) => {
                    return Err((broken(upstream, "this is no HTTP response"), true));
                }
                Ok(None) => {}
                Err(error) => return Err((broken(upstream, error), true)),
            }
            match socket.fill_up_to(HEAD_READ_BYTES).await {
                Ok(0) => return Err((broken(upstream, "connection closed"), has_received)),
                Ok(_) => has_received = true,
                Err(error) => return Err((broken(upstream, error), has_received)),
            }
        };
        Ok(Self::with_head(socket, upstream, head))
    }

    fn with_head(socket: Socket, upstream: &str, head: Head) -> Self {
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
                if piece.is_empty() && self.is_eof {
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
            Err(error) => Err(broken(&self.upstream, error)),
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
        let next = Self::read_head(self.socket, &upstream).await;
        next.map_err(|(error, _)| error)
    }

    /// Returns the connection if it can be used for another request.
    pub(crate) fn into_reusable(mut self) -> Option<Socket> {
        let is_clean = self.is_ended() && self.keep_alive && !self.is_eof;
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
