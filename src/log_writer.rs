//! The machine that turns entries into numbered batches with one append outstanding.
//!
//! A response of the log may be lost after the append took effect. The writer therefore appends the very same batch again
//! until it knows that the batch is in the log, and the fold drops the second copy by its number. One outstanding append
//! keeps the numbers in log order. The machine has no clock and no socket: [`crate::fleet`] drives it.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;
use quick_error::quick_error;

use crate::ids::IncarnationId;
use crate::record::{Batch, Entry};

/// Largest encoded size of the entries that one batch collects, in bytes; leaves room below the log's record limit.
pub const MAX_BATCH_BYTES: usize = 256 << 10;

/// Largest encoded size of the entries that wait for an append, in bytes.
///
/// An hour of log outage at 50 bills per second and 80 bytes per bill needs about 14 MB.
pub const MAX_QUEUE_BYTES: usize = 32 << 20;

/// Bound of the tags and lengths around one entry of a batch, in bytes.
const MAX_ENVELOPE_BYTES: usize = 16;

quick_error! {
    /// Why an entry is not taken.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The queue is full because the log has been unavailable for long.
        QueueFull {
            display("the queue of the log writer is full")
        }
        /// The entry is larger than a batch may be.
        EntryTooLarge {
            display("the entry is larger than {} bytes", MAX_BATCH_BYTES)
        }
    }
}

/// Position of an entry in the order in which the writer took entries, starting at 1.
pub type Position = u64;

/// A batch to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedBatch {
    /// Incarnation that writes the batch.
    pub incarnation: IncarnationId,
    /// Number of the batch within the incarnation.
    pub seq: u64,
    /// Encoded batch.
    pub payload: Bytes,
}

/// What the driver of the machine does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the batch and report the result.
    Append(EncodedBatch),
    /// Ask again at this time, or when an entry was queued.
    Wait {
        /// Time of the next step.
        until_ms: u64,
    },
}

struct QueuedEntry {
    incarnation: IncarnationId,
    entry: Entry,
    bytes: usize,
}

struct UnfoldedBatch {
    incarnation: IncarnationId,
    seq: u64,
    last_position: Position,
}

/// Collects entries and numbers batches.
pub struct LogWriter {
    flush_interval_ms: u64,
    empty_batch_interval_ms: u64,
    queue: VecDeque<QueuedEntry>,
    queue_bytes: usize,
    /// Position of the entry that was queued last.
    last_queued: Position,
    /// Position of the last entry that went into a batch.
    last_batched: Position,
    /// Position of the last entry that the own fold has passed.
    last_folded: Position,
    incarnation: Option<IncarnationId>,
    seq: u64,
    outstanding: Option<EncodedBatch>,
    unfolded: VecDeque<UnfoldedBatch>,
    last_attempt_ms: Option<u64>,
}

impl LogWriter {
    /// Makes a writer with nothing to write.
    pub fn new(flush_interval_ms: u64, empty_batch_interval_ms: u64) -> Self {
        Self {
            flush_interval_ms,
            empty_batch_interval_ms,
            queue: VecDeque::new(),
            queue_bytes: 0,
            last_queued: 0,
            last_batched: 0,
            last_folded: 0,
            incarnation: None,
            seq: 0,
            outstanding: None,
            unfolded: VecDeque::new(),
            last_attempt_ms: None,
        }
    }

    /// Queues an entry for the next batch of an incarnation and returns its position.
    ///
    /// Entries of an earlier incarnation that are still queued are written under that incarnation first: a claim or an
    /// outcome only counts under the incarnation that made it.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is too large or the queue is full.
    pub fn push(&mut self, incarnation: IncarnationId, entry: Entry) -> Result<Position, Error> {
        self.push_all(incarnation, vec![entry])
    }

    /// Queues several entries, or none of them, and returns the position of the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry is too large or the queue is full.
    pub fn push_all(
        &mut self,
        incarnation: IncarnationId,
        entries: Vec<Entry>,
    ) -> Result<Position, Error> {
        let size = |entry: &Entry| entry.encoded_len() + MAX_ENVELOPE_BYTES;
        if entries.iter().any(|entry| size(entry) > MAX_BATCH_BYTES) {
            return Err(Error::EntryTooLarge);
        }
        let bytes: usize = entries.iter().map(size).sum();
        if self.queue_bytes + bytes > MAX_QUEUE_BYTES {
            return Err(Error::QueueFull);
        }
        self.queue_bytes += bytes;
        self.last_queued += entries.len() as Position;
        self.queue
            .extend(entries.into_iter().map(|entry| QueuedEntry {
                incarnation,
                bytes: size(&entry),
                entry,
            }));
        Ok(self.last_queued)
    }

    /// Returns the next step at a time.
    pub fn next_action(&mut self, now_ms: u64) -> Action {
        let earliest_ms = self
            .last_attempt_ms
            .map_or(now_ms, |last| last + self.flush_interval_ms);
        if earliest_ms > now_ms && (self.outstanding.is_some() || !self.queue.is_empty()) {
            return Action::Wait {
                until_ms: earliest_ms,
            };
        }
        if self.outstanding.is_none() && !self.queue.is_empty() {
            self.batch_queued_entries();
        }
        if self.outstanding.is_none() {
            let due_ms = self
                .last_attempt_ms
                .map_or(now_ms, |last| last + self.empty_batch_interval_ms);
            match self.incarnation {
                Some(incarnation) if due_ms <= now_ms => self.start_batch(incarnation, Vec::new()),
                _ => {
                    return Action::Wait {
                        until_ms: due_ms.max(now_ms + 1),
                    }
                }
            }
        }
        self.last_attempt_ms = Some(now_ms);
        match &self.outstanding {
            Some(append) => Action::Append(append.clone()),
            None => Action::Wait {
                until_ms: now_ms + self.flush_interval_ms,
            },
        }
    }

    /// Reports that the log confirmed an append.
    pub fn on_appended(&mut self, incarnation: IncarnationId, seq: u64) {
        if matches!(&self.outstanding, Some(append) if (append.incarnation, append.seq) == (incarnation, seq))
        {
            self.outstanding = None;
        }
    }

    /// Reports that the own fold has passed a batch, which proves that it is in the log.
    pub fn on_folded(&mut self, incarnation: IncarnationId, seq: u64) {
        let index = self
            .unfolded
            .iter()
            .position(|batch| (batch.incarnation, batch.seq) == (incarnation, seq));
        // Batches are appended in order, so passing one implies that the earlier ones were passed too.
        if let Some(index) = index {
            self.last_folded = self.unfolded[index].last_position;
            self.unfolded.drain(..=index);
        }
        self.on_appended(incarnation, seq);
    }

    /// Returns the position of the last entry that the own fold has passed.
    pub fn last_folded(&self) -> Position {
        self.last_folded
    }

    /// Returns whether every queued entry is in the log.
    pub fn is_drained(&self) -> bool {
        self.queue.is_empty() && self.outstanding.is_none()
    }

    /// Returns the encoded size of the entries that wait for an append, in bytes.
    pub fn queue_bytes(&self) -> usize {
        self.queue_bytes
    }

    /// Collects queued entries of one incarnation into the next batch.
    fn batch_queued_entries(&mut self) {
        let Some(incarnation) = self.queue.front().map(|queued| queued.incarnation) else {
            return;
        };
        let mut entries = Vec::new();
        let mut batch_bytes = 0;
        while let Some(queued) = self.queue.front() {
            if queued.incarnation != incarnation || batch_bytes + queued.bytes > MAX_BATCH_BYTES {
                break;
            }
            batch_bytes += queued.bytes;
            if let Some(queued) = self.queue.pop_front() {
                entries.push(queued.entry);
            }
        }
        self.queue_bytes -= batch_bytes;
        self.last_batched += entries.len() as Position;
        self.start_batch(incarnation, entries);
    }

    fn start_batch(&mut self, incarnation: IncarnationId, entries: Vec<Entry>) {
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.seq = 0;
        }
        self.seq += 1;
        let payload = Batch::new(incarnation, self.seq, entries).encode_to_vec();
        self.unfolded.push_back(UnfoldedBatch {
            incarnation,
            seq: self.seq,
            last_position: self.last_batched,
        });
        self.outstanding = Some(EncodedBatch {
            incarnation,
            seq: self.seq,
            payload: payload.into(),
        });
    }
}
