//! Framed connections between routers, and the backoff between attempts to connect.
//!
//! A frame is a length field and one Protocol Buffers message. The first frame in each direction is a [`Hello`]. An
//! oversized or malformed frame closes its connection and has no other effect, so that a faulty peer cannot harm the
//! process.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use monoio::io::{OwnedReadHalf, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio_compat::StreamWrapper;
use prost::Message;
use quick_error::quick_error;
use rand::Rng;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::message::{Frame, Hello, PeerMessage, MAX_FRAME_BYTES, PROTOCOL_VERSION};

/// Initial buffer size of one direction of a connection, in bytes; small, because a process has hundreds of peers and
/// most frames are heartbeats.
const BUFFER_BYTES: usize = 4 << 10;

/// Size of the length field of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Upper bound of the pause after the first failure, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 50;

quick_error! {
    /// Error that ends a connection to a peer.
    #[derive(Debug)]
    pub enum Error {
        /// The connection broke, or a frame was too large.
        Connection(error: std::io::Error) {
            display("connection: {}", error)
            from()
            source(error)
        }
        /// A frame could not be decoded.
        Malformed(error: prost::DecodeError) {
            display("malformed frame: {}", error)
            from()
            source(error)
        }
        /// The peer closed the connection.
        Closed {
            display("the peer closed the connection")
        }
        /// The first frame is not a `Hello`.
        NoHello {
            display("the first frame is not a Hello")
        }
        /// The peer uses another protocol version.
        Version(version: u32) {
            display("the peer uses protocol version {}, expected {}", version, PROTOCOL_VERSION)
        }
        /// The connection was not opened, or no frame arrived, within the timeout.
        Timeout {
            display("no connection or no frame within the timeout")
        }
    }
}

/// Receiving half of a framed connection.
pub struct FrameReader {
    frames: FramedRead<StreamWrapper<OwnedReadHalf<TcpStream>>, LengthDelimitedCodec>,
    received_bytes: u64,
}

/// Sending half of a framed connection.
pub struct FrameWriter {
    frames: FramedWrite<StreamWrapper<OwnedWriteHalf<TcpStream>>, LengthDelimitedCodec>,
}

/// Splits a stream into framed halves.
pub fn split(stream: TcpStream) -> (FrameReader, FrameWriter) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    (
        FrameReader {
            frames: FramedRead::with_capacity(
                StreamWrapper::new_with_buffer_size(read, BUFFER_BYTES, 1),
                codec(),
                BUFFER_BYTES,
            ),
            received_bytes: 0,
        },
        FrameWriter {
            frames: FramedWrite::new(
                StreamWrapper::new_with_buffer_size(write, 1, BUFFER_BYTES),
                codec(),
            ),
        },
    )
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl FrameReader {
    /// Receives the next message; messages of unknown kinds are skipped, and the timeout applies to each frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection must be closed.
    pub async fn next(&mut self, timeout: Duration) -> Result<PeerMessage, Error> {
        loop {
            let bytes = match monoio::time::timeout(timeout, self.frames.next()).await {
                Ok(Some(bytes)) => bytes?,
                Ok(None) => return Err(Error::Closed),
                Err(_) => return Err(Error::Timeout),
            };
            self.received_bytes += (bytes.len() + LENGTH_BYTES) as u64;
            if let Some(message) = Frame::decode(bytes)?.message {
                return Ok(message);
            }
        }
    }

    /// Returns the total size of all frames received so far, in bytes.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Receives the `Hello` that opens the connection and checks the protocol version.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection must be closed.
    pub async fn hello(&mut self, timeout: Duration) -> Result<Hello, Error> {
        match self.next(timeout).await? {
            PeerMessage::Hello(hello) if hello.protocol_version == PROTOCOL_VERSION => Ok(hello),
            PeerMessage::Hello(hello) => Err(Error::Version(hello.protocol_version)),
            _ => Err(Error::NoHello),
        }
    }
}

impl FrameWriter {
    /// Queues a message in the write buffer and returns the size of its frame in bytes.
    ///
    /// The buffer is written when it is large or when [`FrameWriter::flush`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too large or the connection broke.
    pub async fn feed(&mut self, message: PeerMessage) -> Result<usize, Error> {
        let frame = Frame::from(message).encode_to_vec();
        let bytes = frame.len() + LENGTH_BYTES;
        self.frames.feed(Bytes::from(frame)).await?;
        Ok(bytes)
    }

    /// Writes all queued messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke.
    pub async fn flush(&mut self) -> Result<(), Error> {
        SinkExt::<Bytes>::flush(&mut self.frames).await?;
        Ok(())
    }
}

/// Exponential backoff with jitter between attempts to connect.
///
/// The jitter keeps the routers of a data centre from reconnecting at the same instant after a switch failed.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    max_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures, whose pauses are at most `max_ms`.
    pub fn new(max_ms: u64) -> Self {
        Self {
            max_ms,
            failures: 0,
        }
    }

    /// Counts a failure and returns the pause before the next attempt, in milliseconds.
    pub fn next_ms(&mut self, random: &mut impl Rng) -> u64 {
        let full = INITIAL_BACKOFF_MS
            .saturating_mul(1 << self.failures.min(20))
            .min(self.max_ms.max(1));
        self.failures += 1;
        random.random_range(full / 2..=full)
    }

    /// Resets the pause after a successful connection.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
