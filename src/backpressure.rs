//! Shares of the buffer memory for responses that callers have not read yet.
//!
//! The policy bounds three things: what one response holds, what a class of customers holds while other classes need
//! memory, and what the whole process holds. A response that may not hold more stops reading from its upstream. The
//! alternative of one limit for all responses lets a few thousand slow readers of one class stop every other class. See
//! `docs/design.md`, section 3.

use crate::contract::Priority;

/// Most bytes that one response holds, however much memory is free.
///
/// A fast reader over a long path needs about one round trip of data: 64 KiB at 50 ms are 1.3 MB/s.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Bytes that one response may hold however many responses are open, so that each makes progress.
pub const MIN_RESPONSE_BYTES: usize = 2 << 10;

/// Part of the total that is left over when every response holds its equal share.
///
/// Without it slow readers could fill the memory, and each new response would wait for one of them.
const RESERVED_DIVISOR: usize = 4;

/// Weight of each class, in the order of [`Priority::ALL`].
const CLASS_WEIGHTS: [usize; 3] = [4, 2, 1];

/// What a response may do with more input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadPermit {
    /// The response may hold this many more bytes.
    Read(usize),
    /// The response must not read from its upstream until its reader has taken some bytes.
    Pause,
}

/// Buffer memory of one process and who holds it.
#[derive(Clone, Debug)]
pub struct BufferShares {
    total_bytes: usize,
    held_bytes: [usize; 3],
    responses: usize,
    max_held_bytes: usize,
}

impl BufferShares {
    /// Makes the shares of a total.
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

    /// Removes an open response that holds this many bytes.
    pub fn remove_response(&mut self, class: Priority, held_bytes: usize) {
        self.responses = self.responses.saturating_sub(1);
        self.release(class, held_bytes);
    }

    /// Notes that a response of a class holds more bytes.
    pub fn hold(&mut self, class: Priority, bytes: usize) {
        self.held_bytes[class as usize] += bytes;
        self.max_held_bytes = self.max_held_bytes.max(self.total_held_bytes());
    }

    /// Notes that a response of a class holds fewer bytes.
    pub fn release(&mut self, class: Priority, bytes: usize) {
        let held = &mut self.held_bytes[class as usize];
        *held = held.saturating_sub(bytes);
    }

    /// Decides whether a response that holds `own_bytes` may read more.
    pub fn read_permit(&self, class: Priority, own_bytes: usize) -> ReadPermit {
        let response_limit = self.response_limit_bytes();
        let free = self.free_bytes(class);
        // A response that holds nothing gets the minimum while the process as a whole has available.
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

    /// Returns the most that one response may hold now.
    pub fn response_limit_bytes(&self) -> usize {
        let shared_bytes = self.total_bytes - self.total_bytes / RESERVED_DIVISOR;
        let equal_share = shared_bytes / self.responses.max(1);
        equal_share.clamp(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)
    }

    /// Returns what all responses hold.
    pub fn total_held_bytes(&self) -> usize {
        self.held_bytes.iter().sum()
    }

    /// Returns the most that all responses ever held.
    pub fn max_held_bytes(&self) -> usize {
        self.max_held_bytes
    }

    /// Returns the number of open responses.
    pub fn open_responses(&self) -> usize {
        self.responses
    }

    /// Returns what a class may still take: the rest of its own share, or what is free beyond half of the unused shares
    /// of the other classes, whichever is more.
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
