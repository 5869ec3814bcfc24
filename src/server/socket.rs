//! A TCP connection with an input buffer and non-blocking reads and writes.

use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;

/// Time limit for discarding input after an early refusal.
///
/// Closing a socket with unread input resets the connection, and the caller might not receive the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of bytes of input that are discarded after an early refusal.
const MAX_LINGER_BYTES: usize = 4 << 20;

/// A TCP connection and the input that was read and not yet consumed.
///
/// An idle connection holds no buffer: each read allocates its memory temporarily, and [`Socket::shrink`] releases that
/// of the empty input. All waits are cancel-safe, because nothing is read or written until the socket is ready, and the
/// transfer then completes at once.
pub struct Socket {
    stream: TcpStream,
    input: BytesMut,
}

impl Socket {
    /// Wraps a connected stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Self {
        // A failure only costs latency; the first read returns the error of a broken connection.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: BytesMut::new(),
        }
    }

    /// Returns the descriptor, which belongs to this connection as long as this value exists.
    pub fn descriptor(&self) -> RawFd {
        self.stream.as_raw_fd()
    }

    /// Returns the input that was read and not yet consumed.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Returns the number of bytes that were read and not yet consumed.
    pub fn input_len(&self) -> usize {
        self.input.len()
    }

    /// Releases the memory of the input buffer if it is empty.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// Reads once without waiting; returns `None` if no data is available and `Ok(0)` at the end of the stream.
    pub fn try_fill(&mut self) -> Option<io::Result<usize>> {
        self.try_fill_up_to(READ_BYTES)
    }

    /// Like [`Socket::try_fill`], but reads at most `limit_bytes`.
    pub fn try_fill_up_to(&mut self, limit_bytes: usize) -> Option<io::Result<usize>> {
        let buffer = Vec::with_capacity(limit_bytes.clamp(1, READ_BYTES));
        let (result, buffer) = self.stream.read(buffer).now_or_never()?;
        if let Ok(count) = result {
            self.input.extend_from_slice(&buffer[..count]);
        }
        Some(result)
    }

    /// Waits for data and appends it to the input; returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.fill_up_to(READ_BYTES).await
    }

    /// Like [`Socket::fill`], but reads at most `limit_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn fill_up_to(&mut self, limit_bytes: usize) -> io::Result<usize> {
        loop {
            if let Some(result) = self.try_fill_up_to(limit_bytes) {
                return result;
            }
            self.readable().await?;
        }
    }

    /// Waits until a read may return data or the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn readable(&self) -> io::Result<()> {
        self.stream.readable(true).await
    }

    /// Waits until a write may accept bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn writable(&self) -> io::Result<()> {
        self.stream.writable(true).await
    }

    /// Writes once without waiting and removes the written bytes from `output`; returns `None` if the kernel accepts
    /// none now.
    pub fn try_write(&mut self, output: &mut Bytes) -> Option<io::Result<usize>> {
        let (result, _) = self.stream.write(output.clone()).now_or_never()?;
        if let Ok(count) = result {
            output.advance(count);
        }
        Some(result)
    }

    /// Writes all of the output.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write_all(&mut self, output: impl Into<Bytes>) -> io::Result<()> {
        let mut output = output.into();
        while !output.is_empty() {
            match self.try_write(&mut output) {
                Some(result) => {
                    if result? == 0 {
                        return Err(io::ErrorKind::WriteZero.into());
                    }
                }
                None => self.writable().await?,
            }
        }
        Ok(())
    }

    /// Closes the sending direction, so that the peer sees the end of the stream.
    pub async fn shutdown(&mut self) {
        // A failure means that the peer has disconnected.
        let _ = self.stream.shutdown().await;
    }

    /// Calls [`Socket::linger`] if there is unconsumed input.
    pub async fn linger_if_unread(&mut self) {
        if !self.input.is_empty() {
            self.linger().await;
        }
    }

    /// Closes the sending direction and discards input for a limited time, so that the peer can read the last response.
    pub async fn linger(&mut self) {
        self.shutdown().await;
        let end = Instant::now() + LINGER_TIMEOUT;
        let mut discarded_bytes = 0;
        while discarded_bytes < MAX_LINGER_BYTES {
            let Some(left) = end.checked_duration_since(Instant::now()) else {
                return;
            };
            match monoio::time::timeout(left, self.fill()).await {
                Ok(Ok(count @ 1..)) => discarded_bytes += count,
                _ => return,
            }
            self.input.clear();
        }
    }
}
