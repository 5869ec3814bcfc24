//! Framed connections between routers.
//!
//! Each frame is a length and one prost message. The first frame in each direction is a `Hello`. An oversized or malformed
//! frame ends its connection and has no other effect, so that a faulty peer can't harm the process.

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

/// Buffer of one direction of a connection, in bytes; small because a process has hundreds of peers and most frames are
/// heartbeats.
const BUFFER_BYTES: usize = 4 << 10;

/// Length field of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// First pause after a failed connection, in milliseconds.
const INITIAL_BACKOFF_MS: u64 = 50;

quick_error! {
    /// Why a connection to a peer ended.
    #[derive(Debug)]
    pub enum Error {
        /// The connection broke, or a frame was too large.
        Connection(error: std::io::Error) {
            display("connection: {}", error)
            from()
            source(error)
        }
        /// A frame does not decode.
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
        /// The peer speaks another protocol version.
        Version(version: u32) {
            display("the peer speaks protocol version {}, expected {}", version, PROTOCOL_VERSION)
        }
        /// No frame arrived in time.
        Timeout {
            display("no frame in time")
        }
    }
}

/// Receiving half of a connection.
pub struct FrameReader {
    frames: FramedRead<StreamWrapper<OwnedReadHalf<TcpStream>>, LengthDelimitedCodec>,
    received_bytes: u64,
}

/// Sending half of a connection.
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
    /// Receives the next message of a known kind within a time limit.
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

    /// Returns the bytes of all frames received so far.
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
    /// Queues a message in the write buffer, which is written when it is large or flushed, and returns its size.
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

/// Pauses between attempts to connect, doubled after each failure and with jitter.
///
/// Jitter keeps the routers of a data centre from reconnecting at the same instant after a switch failed.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    max_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Makes a backoff without failures.
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

    /// Forgets the failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
