//! A TCP connection with an input buffer and non-blocking reads and writes.

use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::FutureExt;
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;

use super::BufferAccount;

/// Maximum number of bytes per read.
const READ_BYTES: usize = 16 << 10;

/// Number of reads after which input that arrives without pause is set aside for [`TURN_PAUSE`].
const READS_PER_TURN: u32 = 8;

/// Time within which that many reads count as being without pause: at 512 Mbit/s, above the links of gateways.
const TURN_TIME: Duration = Duration::from_millis(2);

/// Pause of such input. The event loop processes timers and other connections only when no task is ready, which would
/// never happen beside peers that send faster than their input is processed.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// First pause of a connection that has sent its next request before it received a refusal; it doubles with each
/// further refusal and halves with each served request.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(20);

/// Maximum pause after a refusal, also if a longer retry delay was stated.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_secs(1);

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
    /// Share of the buffer budget; `None` for connections that are no caller's.
    account: Option<Rc<BufferAccount>>,
    /// Reads without waiting in this turn, and its start.
    turn_reads: u32,
    turn_started: Instant,
    /// Pause before the next request if it is pipelined, in milliseconds.
    pipeline_pause_ms: u16,
    /// Pause that the refusal of the last request allows at most; 0 if it was not refused.
    refused_for_ms: u16,
}

impl Socket {
    /// Wraps a connected stream and disables Nagle's algorithm.
    pub fn new(stream: TcpStream) -> Self {
        // A failure only costs latency; the first read returns the error of a broken connection.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: BytesMut::new(),
            account: None,
            turn_reads: 0,
            turn_started: Instant::now(),
            pipeline_pause_ms: TURN_PAUSE.as_millis() as u16,
            refused_for_ms: 0,
        }
    }

    /// Returns the descriptor, which belongs to this connection as long as this value exists.
    pub fn descriptor(&self) -> RawFd {
        self.stream.as_raw_fd()
    }

    /// Wraps the connection of a caller, which draws on the buffer budget.
    pub fn of_caller(stream: TcpStream, account: BufferAccount) -> Self {
        Self {
            account: Some(Rc::new(account)),
            ..Self::new(stream)
        }
    }

    /// Returns the share of the buffer budget of a caller's connection.
    pub fn account(&self) -> Option<&Rc<BufferAccount>> {
        self.account.as_ref()
    }

    /// Returns the input that was read and not yet consumed.
    pub fn input(&mut self) -> &mut BytesMut {
        &mut self.input
    }

    /// Returns the number of bytes that were read and not yet consumed.
    pub fn input_len(&self) -> usize {
        self.input.len()
    }

    /// Returns whether the connection has lost its place to another caller.
    pub fn is_evicted(&self) -> bool {
        self.account
            .as_ref()
            .is_some_and(|account| account.is_evicted())
    }

    /// Releases what the last request held.
    pub fn end_request(&mut self) {
        self.shrink();
        if let Some(account) = &self.account {
            account.end_request();
        }
    }

    /// Returns the memory of the input buffer.
    pub(super) fn input_capacity(&self) -> usize {
        self.input.capacity()
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
        if self.account.is_some() && self.turn_reads >= READS_PER_TURN {
            if self.turn_started.elapsed() < TURN_TIME {
                monoio::time::sleep(TURN_PAUSE).await;
            }
            self.begin_turn();
        }
        self.turn_reads += 1;
        loop {
            if let Some(result) = self.try_fill_up_to(limit_bytes) {
                return result;
            }
            self.readable().await?;
            self.begin_turn();
        }
    }

    /// Records that the current request is refused for lack of capacity, with the retry delay that the caller is told.
    pub fn record_refusal(&mut self, status: u16, retry_after_ms: Option<u64>) {
        if matches!(status, 429 | 503) {
            let first_ms = FIRST_REFUSAL_PAUSE.as_millis() as u64;
            let most_ms = MAX_REFUSAL_PAUSE.as_millis() as u64;
            self.refused_for_ms = retry_after_ms.unwrap_or(first_ms).clamp(1, most_ms) as u16;
        }
    }

    /// Sets the connection aside if the caller has sent its next request already.
    ///
    /// Requests that are refused at once would otherwise keep the event loop from all other connections, and callers
    /// that ignore refusals would take each place that becomes free before those that wait for their retry delay.
    pub async fn pause_if_pipelined(&mut self) {
        let refused_for_ms = std::mem::take(&mut self.refused_for_ms);
        let refused_for =
            (refused_for_ms > 0).then(|| Duration::from_millis(refused_for_ms.into()));
        let pause = Duration::from_millis(self.pipeline_pause_ms.into());
        let pause = next_pipeline_pause(pause, refused_for);
        self.pipeline_pause_ms = pause.as_millis() as u16;
        if !self.input.is_empty() {
            if let Some(account) = &self.account {
                // If it does not fit, the request is refused when it begins.
                let _ = account.resize_input(self.input.capacity());
            }
            monoio::time::sleep(pause).await;
        }
    }

    fn begin_turn(&mut self) {
        self.turn_reads = 0;
        self.turn_started = Instant::now();
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

    /// Sends the last response to a caller that has lost its place, without waiting for it to read. Such a caller sends
    /// nothing, so there is no input to discard.
    pub async fn close_evicted(&mut self, response: impl Into<Bytes>) {
        let _ = self.try_write(&mut response.into());
        self.shutdown().await;
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
        // The buffer is replaced, because clearing it would keep its memory.
        self.input = BytesMut::new();
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
            self.input = BytesMut::new();
        }
    }
}

/// Returns the pause before the next pipelined request; `refused_for` is the retry delay if the last one was refused.
fn next_pipeline_pause(pause: Duration, refused_for: Option<Duration>) -> Duration {
    match refused_for {
        Some(retry_after) => {
            let limit = retry_after.clamp(FIRST_REFUSAL_PAUSE, MAX_REFUSAL_PAUSE);
            (2 * pause).clamp(FIRST_REFUSAL_PAUSE, limit)
        }
        None => (pause / 2).max(TURN_PAUSE),
    }
}
