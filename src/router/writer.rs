//! The reader of one response and what the process holds for it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};

use super::Shared;
use crate::backpressure::Permit;
use crate::contract::Priority;
use crate::server::Socket;

/// Most input that a caller may send ahead while its response is written; more is not read until the response ends.
const MAX_AHEAD_BYTES: usize = 16 << 10;

/// The caller's end of one response.
///
/// What is held for the caller is counted against the process's shares until it is written or the caller is gone.
pub(super) struct Reader {
    shared: Rc<Shared>,
    class: Priority,
    socket: Option<Socket>,
    output: BytesMut,
    writing: Bytes,
    counted_bytes: usize,
    last_progress: Instant,
}

impl Reader {
    pub(super) fn new(shared: &Rc<Shared>, class: Priority, socket: Socket) -> Self {
        shared.shares.borrow_mut().open();
        Self {
            shared: Rc::clone(shared),
            class,
            socket: Some(socket),
            output: BytesMut::new(),
            writing: Bytes::new(),
            counted_bytes: 0,
            last_progress: Instant::now(),
        }
    }

    /// Returns whether the caller has closed the connection or was disconnected.
    pub(super) fn is_gone(&self) -> bool {
        self.socket.is_none()
    }

    /// Returns the bytes that wait to be written.
    pub(super) fn held_bytes(&self) -> usize {
        self.output.len() + self.writing.len()
    }

    /// Adds bytes of the response.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        if self.socket.is_none() {
            return;
        }
        if self.held_bytes() == 0 {
            self.last_progress = Instant::now();
        }
        self.output.extend_from_slice(bytes);
    }

    /// Adds a part of the response as one chunk.
    pub(super) fn push_chunk(&mut self, parts: &[Bytes]) {
        let length: usize = parts.iter().map(Bytes::len).sum();
        if length == 0 {
            return;
        }
        self.push(format!("{length:x}\r\n").as_bytes());
        for part in parts {
            self.push(part);
        }
        self.push(b"\r\n");
    }

    /// Writes what the kernel takes without waiting.
    pub(super) fn write_now(&mut self) {
        while self.held_bytes() > 0 {
            if self.writing.is_empty() {
                self.writing = self.output.split().freeze();
            }
            let Some(socket) = &mut self.socket else {
                break;
            };
            match socket.try_write(&mut self.writing) {
                Some(Ok(1..)) => self.last_progress = Instant::now(),
                Some(_) => {
                    self.disconnect();
                    break;
                }
                None => break,
            }
        }
        if self.held_bytes() == 0 {
            // A response without backlog keeps no buffer.
            self.writing = Bytes::new();
            self.output = BytesMut::new();
        }
    }

    /// Counts what is held, with what the source has received ahead, and asks whether more may be read.
    pub(super) fn permit(&mut self, ahead_bytes: usize) -> Permit {
        let held_bytes = self.held_bytes() + ahead_bytes;
        self.count(held_bytes);
        if self.is_gone() {
            return Permit::Read(usize::MAX);
        }
        self.shared.shares.borrow().permit(self.class, held_bytes)
    }

    /// Returns whether so little is held that a paused source is worth resuming.
    pub(super) fn is_drained(&self) -> bool {
        let bound_bytes = self.shared.shares.borrow().response_bound_bytes();
        self.is_gone() || self.held_bytes() * 4 <= bound_bytes
    }

    /// Returns the time at which a reader that takes nothing is disconnected.
    pub(super) fn idle_end(&self) -> Option<Instant> {
        (self.held_bytes() > 0 && !self.is_gone())
            .then(|| self.last_progress + self.shared.reader_idle_timeout())
    }

    /// Disconnects a reader that has taken nothing for too long.
    pub(super) fn check_idle(&mut self) {
        if self.idle_end().is_some_and(|end| end <= Instant::now()) {
            self.shared.metrics.count_reader_disconnect();
            self.disconnect();
        }
    }

    /// Waits until the kernel may take bytes; never returns if nothing waits to be written.
    pub(super) async fn writable(&self) {
        match &self.socket {
            // An error shows at the next write.
            Some(socket) if self.held_bytes() > 0 => drop(socket.writable().await),
            _ => std::future::pending().await,
        }
    }

    /// Waits until the caller sends something or closes the connection.
    pub(super) async fn readable(&self) {
        match &self.socket {
            // An error shows at the next read.
            Some(socket) if socket.input_len() < MAX_AHEAD_BYTES => drop(socket.readable().await),
            _ => std::future::pending().await,
        }
    }

    /// Reads what the caller sent and notices that it closed the connection.
    pub(super) fn read_now(&mut self) {
        let Some(socket) = &mut self.socket else {
            return;
        };
        match socket.try_fill() {
            None | Some(Ok(1..)) => {}
            Some(_) => self.disconnect(),
        }
    }

    /// Closes the connection and releases what is held for it.
    pub(super) fn disconnect(&mut self) {
        self.socket = None;
        self.output = BytesMut::new();
        self.writing = Bytes::new();
        self.count(0);
    }

    /// Writes the rest of the response; returns the connection unless the caller is gone.
    pub(super) async fn finish(mut self) -> Option<Socket> {
        loop {
            self.write_now();
            self.count(self.held_bytes());
            let Some(end) = self.idle_end() else {
                return self.socket.take();
            };
            let left = end.saturating_duration_since(Instant::now());
            let wait = self.writable();
            // The limit is checked below in both cases.
            let _ = monoio::time::timeout(left.max(Duration::from_millis(1)), wait).await;
            self.check_idle();
        }
    }

    fn count(&mut self, held_bytes: usize) {
        let mut shares = self.shared.shares.borrow_mut();
        if held_bytes > self.counted_bytes {
            shares.hold(self.class, held_bytes - self.counted_bytes);
        } else {
            shares.release(self.class, self.counted_bytes - held_bytes);
        }
        self.counted_bytes = held_bytes;
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.shared
            .shares
            .borrow_mut()
            .close(self.class, self.counted_bytes);
    }
}
