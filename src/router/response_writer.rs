//! Output of one response, buffered until the caller reads it.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::Shared;
use crate::backpressure::{ReadPermit, MIN_RESPONSE_BYTES};
use crate::contract::Priority;
use crate::server::Socket;

/// Maximum number of bytes that are read from a caller while its response is written; the rest is read afterwards.
const MAX_INPUT_BYTES: usize = 16 << 10;

/// Memory of one piece beyond its bytes: the entry in the queue and the overhead of the allocator.
const PIECE_OVERHEAD_BYTES: usize = 96;

/// A queued part of a response.
struct Piece {
    rest: Bytes,
    size_bytes: usize,
}

/// Writer of one response to its caller.
///
/// Queued bytes count against the buffer memory of the process until they are written or the caller disconnects.
pub(super) struct ResponseWriter {
    shared: Rc<Shared>,
    class: Priority,
    socket: Option<Socket>,
    /// Queued pieces in order; the first may be partly written.
    pieces: VecDeque<Piece>,
    held_bytes: usize,
    accounted_bytes: usize,
    last_progress: Instant,
}

impl ResponseWriter {
    pub(super) fn new(shared: &Rc<Shared>, class: Priority, socket: Socket) -> Self {
        shared.buffer_shares.borrow_mut().add_response();
        Self {
            shared: Rc::clone(shared),
            class,
            socket: Some(socket),
            pieces: VecDeque::new(),
            held_bytes: 0,
            accounted_bytes: 0,
            last_progress: Instant::now(),
        }
    }

    /// Returns whether the caller has closed the connection or was disconnected.
    pub(super) fn is_disconnected(&self) -> bool {
        self.socket.is_none()
    }

    /// Returns the memory of the queued pieces.
    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Queues a piece of the response.
    pub(super) fn push(&mut self, bytes: Bytes) {
        if self.socket.is_none() || bytes.is_empty() {
            return;
        }
        if self.held_bytes == 0 {
            self.last_progress = Instant::now();
        }
        let size_bytes = bytes.len() + PIECE_OVERHEAD_BYTES;
        self.held_bytes += size_bytes;
        self.pieces.push_back(Piece {
            rest: bytes,
            size_bytes,
        });
    }

    /// Queues parts of the response as one chunk.
    ///
    /// The chunk is copied into an allocation of its size, because the parts would keep the larger buffers alive that
    /// they were received in.
    pub(super) fn push_chunk(&mut self, parts: &[Bytes]) {
        let length: usize = parts.iter().map(Bytes::len).sum();
        if length == 0 || self.socket.is_none() {
            return;
        }
        let size_line = format!("{length:x}\r\n");
        let mut chunk = Vec::with_capacity(size_line.len() + length + 2);
        chunk.extend_from_slice(size_line.as_bytes());
        for part in parts {
            chunk.extend_from_slice(part);
        }
        chunk.extend_from_slice(b"\r\n");
        self.push(chunk.into());
    }

    /// Writes as much as the kernel accepts without blocking.
    pub(super) fn try_write(&mut self) {
        while let (Some(piece), Some(socket)) = (self.pieces.front_mut(), &mut self.socket) {
            match socket.try_write(&mut piece.rest) {
                Some(Ok(1..)) => self.last_progress = Instant::now(),
                Some(_) => {
                    self.disconnect();
                    return;
                }
                None => return,
            }
            if piece.rest.is_empty() {
                // The memory of a piece is freed only when it has been written completely.
                self.held_bytes -= piece.size_bytes;
                self.pieces.pop_front();
            }
        }
        if self.pieces.is_empty() {
            // Releases the memory of the queue while nothing is queued.
            self.pieces = VecDeque::new();
        }
    }

    /// Updates the accounting with the queued bytes and those buffered at the source, and returns whether more may be
    /// read.
    pub(super) fn read_permit(&mut self, source_bytes: usize) -> ReadPermit {
        let held_bytes = self.held_bytes() + source_bytes;
        self.update_accounting(held_bytes);
        if self.is_disconnected() {
            return ReadPermit::Read(usize::MAX);
        }
        self.shared
            .buffer_shares
            .borrow()
            .read_permit(self.class, held_bytes)
    }

    /// Returns whether a detached source should be resumed, because little is queued and enough memory is free.
    pub(super) fn should_resume(&self) -> bool {
        if self.is_disconnected() {
            return true;
        }
        let buffer_shares = self.shared.buffer_shares.borrow();
        let has_room = match buffer_shares.read_permit(self.class, self.held_bytes) {
            ReadPermit::Read(bytes) => bytes >= MIN_RESPONSE_BYTES,
            ReadPermit::Pause => false,
        };
        has_room && self.held_bytes * 4 <= buffer_shares.response_limit_bytes()
    }

    /// Returns the time at which a caller that reads nothing is disconnected.
    pub(super) fn idle_deadline(&self) -> Option<Instant> {
        (self.held_bytes() > 0 && !self.is_disconnected())
            .then(|| self.last_progress + self.shared.reader_idle_timeout())
    }

    /// Disconnects a caller that has read nothing for the idle timeout.
    pub(super) fn disconnect_if_idle(&mut self) {
        if self
            .idle_deadline()
            .is_some_and(|end| end <= Instant::now())
        {
            self.shared.metrics.count_reader_disconnect();
            self.disconnect();
        }
    }

    /// Waits until bytes can be written; never returns if nothing is queued.
    pub(super) async fn writable(&self) {
        match &self.socket {
            // The next write returns any error.
            Some(socket) if self.held_bytes() > 0 => drop(socket.writable().await),
            _ => std::future::pending().await,
        }
    }

    /// Waits until the caller sends data or closes the connection; never returns while too much input is buffered.
    pub(super) async fn readable(&self) {
        match &self.socket {
            // The next read returns any error.
            Some(socket) if socket.input_len() < MAX_INPUT_BYTES => drop(socket.readable().await),
            _ => std::future::pending().await,
        }
    }

    /// Reads what the caller sent, and disconnects if it closed the connection.
    pub(super) fn try_read(&mut self) {
        let Some(socket) = &mut self.socket else {
            return;
        };
        match socket.try_fill() {
            None | Some(Ok(1..)) => {}
            Some(_) => self.disconnect(),
        }
    }

    /// Closes the connection and releases the queued bytes.
    pub(super) fn disconnect(&mut self) {
        self.socket = None;
        self.pieces = VecDeque::new();
        self.held_bytes = 0;
        self.update_accounting(0);
    }

    /// Writes the rest of the response; returns the connection unless the caller disconnects.
    pub(super) async fn finish(mut self) -> Option<Socket> {
        loop {
            self.try_write();
            self.update_accounting(self.held_bytes());
            let Some(end) = self.idle_deadline() else {
                return self.socket.take();
            };
            let left = end.saturating_duration_since(Instant::now());
            let wait = self.writable();
            // Whether the wait or the time limit ended first, the idle timeout is checked next.
            let _ = monoio::time::timeout(left.max(Duration::from_millis(1)), wait).await;
            self.disconnect_if_idle();
        }
    }

    fn update_accounting(&mut self, held_bytes: usize) {
        let mut buffer_shares = self.shared.buffer_shares.borrow_mut();
        if held_bytes > self.accounted_bytes {
            buffer_shares.hold(self.class, held_bytes - self.accounted_bytes);
        } else {
            buffer_shares.release(self.class, self.accounted_bytes - held_bytes);
        }
        self.accounted_bytes = held_bytes;
    }
}

impl Drop for ResponseWriter {
    fn drop(&mut self) {
        self.shared
            .buffer_shares
            .borrow_mut()
            .remove_response(self.class, self.accounted_bytes);
    }
}
