//! Division of the buffer memory for responses that callers have not read yet.
//!
//! Three things are limited: the bytes that one response buffers, the bytes that one class of customers buffers while
//! other classes need memory, and the total of the process. A response at its limit stops reading from its upstream.
//! With only one limit for all responses, a few thousand slow readers of one class would stop every other class. See
//! `docs/design.md`, section 3.

use crate::contract::Priority;

/// Maximum number of bytes that one response buffers, however much memory is free.
///
/// A fast reader over a path with a long round trip needs about one round trip of data: 64 KiB per 50 ms are 1.3 MB/s.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Number of bytes that one response may buffer however many responses are open, so that each makes progress.
pub const MIN_RESPONSE_BYTES: usize = 2 << 10;

/// Part of the total that stays free when every response buffers its equal share, as a divisor.
///
/// Without this reserve, slow readers could fill the memory, and each new response would have to wait for one of them.
const RESERVED_DIVISOR: usize = 4;

/// Weight of each class in the division of the memory, in the order of [`Priority::ALL`].
const CLASS_WEIGHTS: [usize; 3] = [4, 2, 1];

/// Whether a response may read more from its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPermit {
    /// The response may read this many more bytes.
    Read(usize),
    /// The response must not read until its caller has taken some bytes.
    Pause,
}

/// Buffer memory of one process and its use by class.
#[derive(Clone, Debug)]
pub struct BufferShares {
    total_bytes: usize,
    held_bytes: [usize; 3],
    responses: usize,
    max_held_bytes: usize,
}

impl BufferShares {
    /// Creates the accounting for a total amount of memory.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            held_bytes: [0; 3],
            responses: 0,
            max_held_bytes: 0,
        }
    }

    /// Adds an open response.
    pub fn add_response(&mut self) {
        self.responses += 1;
    }

    /// Removes an open response and releases the bytes that it holds.
    pub fn remove_response(&mut self, class: Priority, held_bytes: usize) {
        self.responses = self.responses.saturating_sub(1);
        self.release(class, held_bytes);
    }

    /// Adds bytes to the memory that a class holds.
    pub fn hold(&mut self, class: Priority, bytes: usize) {
        self.held_bytes[class as usize] += bytes;
        self.max_held_bytes = self.max_held_bytes.max(self.total_held_bytes());
    }

    /// Subtracts bytes from the memory that a class holds.
    pub fn release(&mut self, class: Priority, bytes: usize) {
        let held = &mut self.held_bytes[class as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Returns whether a response that holds `own_bytes` may read more, and how much.
    pub fn read_permit(&self, class: Priority, own_bytes: usize) -> ReadPermit {
        let response_limit = self.response_limit_bytes();
        let free = self.free_bytes(class);
        // An empty response gets the minimum as long as the process as a whole has free memory.
        let available = if own_bytes == 0 {
            let total_free = self.total_bytes.saturating_sub(self.total_held_bytes());
            free.max(MIN_RESPONSE_BYTES.min(total_free))
        } else {
            free
        };
        match response_limit.saturating_sub(own_bytes).min(available) {
            0 => ReadPermit::Pause,
            bytes => ReadPermit::Read(bytes),
        }
    }

    /// Returns the number of bytes that one response may currently hold.
    pub fn response_limit_bytes(&self) -> usize {
        let shared_bytes = self.total_bytes - self.total_bytes / RESERVED_DIVISOR;
        let equal_share = shared_bytes / self.responses.max(1);
        equal_share.clamp(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }

    /// Returns the number of bytes that all responses hold.
    pub fn total_held_bytes(&self) -> usize {
        self.held_bytes.iter().sum()
    }

    /// Returns the highest number of bytes that all responses ever held.
    pub fn max_held_bytes(&self) -> usize {
        self.max_held_bytes
    }

    /// Returns the number of open responses.
    pub fn open_responses(&self) -> usize {
        self.responses
    }

    /// Returns the bytes that a class may still take: the unused part of its own share, or the free memory beyond half
    /// of the unused shares of the other classes, whichever is larger.
    fn free_bytes(&self, class: Priority) -> usize {
        let total_free = self.total_bytes.saturating_sub(self.total_held_bytes());
        let own_unused = self.unused_share_bytes(class);
        let reserved: usize = Priority::ALL
            .iter()
            .filter(|&&other| other != class)
            .map(|&other| self.unused_share_bytes(other) / 2)
            .sum();
        own_unused
            .max(total_free.saturating_sub(reserved))
            .min(total_free)
    }

    fn unused_share_bytes(&self, class: Priority) -> usize {
        let weights: usize = CLASS_WEIGHTS.iter().sum();
        let share = self.total_bytes / weights * CLASS_WEIGHTS[class as usize];
        share.saturating_sub(self.held_bytes[class as usize])
    }
}
