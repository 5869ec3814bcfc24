//! State machine that collects entries into numbered batches for the log.
//!
//! The response to an append may be lost after the append took effect. The writer therefore retries an append with the
//! identical batch until the batch is known to be in the log, and processes drop repeated copies by their sequence
//! number when they fold the log. At most one append is outstanding, so that batches reach the log in the order of
//! their numbers. The state machine does no input or output and reads no clock; [`crate::fleet`] performs its actions.

use std::collections::VecDeque;

use bytes::Bytes;
use prost::Message;
use quick_error::quick_error;

use crate::ids::IncarnationId;
use crate::record::{Batch, Entry};

/// Largest encoded size of the entries in one batch, in bytes; well below the size limit of a log record.
pub const MAX_BATCH_BYTES: usize = 256 << 10;

/// Largest encoded size of the queued entries, in bytes.
///
/// A log outage of one hour at 50 bills per second and 80 bytes per bill needs about 14 MB.
pub const MAX_QUEUE_BYTES: usize = 32 << 20;

/// Upper bound of the tags and lengths that encode one entry of a batch, in bytes.
const MAX_ENVELOPE_BYTES: usize = 16;

quick_error! {
    /// Error of queueing an entry.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// The queue is full, which takes a long outage of the log.
        QueueFull {
            display("the queue of the log writer is full")
        }
        /// The entry does not fit into a batch.
        EntryTooLarge {
            display("the entry is larger than {} bytes", MAX_BATCH_BYTES)
        }
    }
}

/// Position of an entry in the order of queueing, starting at 1.
pub type Position = u64;

/// An encoded batch, ready to be appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedBatch {
    /// Incarnation under which the batch is written.
    pub incarnation: IncarnationId,
    /// Sequence number of the batch within the incarnation.
    pub seq: u64,
    /// Payload of the log record.
    pub payload: Bytes,
}

/// Next action of the task that drives the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Append the batch, and report success with [`LogWriter::on_appended`].
    Append(EncodedBatch),
    /// Call [`LogWriter::next_action`] again at this time, or earlier if an entry is queued.
    Wait {
        /// Time of the next call.
        until_ms: u64,
    },
}

struct QueuedEntry {
    incarnation: IncarnationId,
    entry: Entry,
    bytes: usize,
}

/// A batch that was formed but not yet folded by this process.
struct UnfoldedBatch {
    batch: EncodedBatch,
    /// Position of the last entry up to the end of this batch.
    last_position: Position,
    opens_incarnation: bool,
}

/// Collects entries into numbered batches, of which one at a time is appended.
pub struct LogWriter {
    flush_interval_ms: u64,
    empty_batch_interval_ms: u64,
    queue: VecDeque<QueuedEntry>,
    queue_bytes: usize,
    /// Position of the last queued entry.
    last_queued: Position,
    /// Position of the last entry that is in a batch.
    last_batched: Position,
    /// Position of the last entry that this process has folded.
    last_folded: Position,
    incarnation: Option<IncarnationId>,
    seq: u64,
    /// Batches in the order of their numbers, of which the first ones are confirmed by the log.
    unfolded: VecDeque<UnfoldedBatch>,
    /// Number of the unfolded batches that the log has confirmed.
    confirmed: usize,
    last_attempt_ms: Option<u64>,
}

impl LogWriter {
    /// Creates a writer without queued entries.
    ///
    /// Appends, including retries, are at least `flush_interval_ms` apart. An empty batch is appended if there was no
    /// append for `empty_batch_interval_ms`, so that peers see that the process is alive.
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
            unfolded: VecDeque::new(),
            confirmed: 0,
            last_attempt_ms: None,
        }
    }

    /// Queues an entry for the next batch of an incarnation and returns its position.
    ///
    /// Queued entries of an earlier incarnation are written first and under that incarnation, because a claim or an
    /// outcome only takes effect under the incarnation that made it.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is too large or the queue is full.
    pub fn push(&mut self, incarnation: IncarnationId, entry: Entry) -> Result<Position, Error> {
        self.push_all(incarnation, vec![entry])
    }

    /// Queues all of the entries or none, and returns the position of the last one.
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

    /// Returns the next action at the time `now_ms`.
    pub fn next_action(&mut self, now_ms: u64) -> Action {
        let earliest_ms = self
            .last_attempt_ms
            .map_or(now_ms, |last| last + self.flush_interval_ms);
        if earliest_ms > now_ms && (self.outstanding().is_some() || !self.queue.is_empty()) {
            return Action::Wait {
                until_ms: earliest_ms,
            };
        }
        if self.outstanding().is_none() && !self.queue.is_empty() {
            self.batch_queued_entries();
        }
        if self.outstanding().is_none() {
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
        match self.outstanding() {
            Some(append) => Action::Append(append.clone()),
            None => Action::Wait {
                until_ms: now_ms + self.flush_interval_ms,
            },
        }
    }

    /// Records that the log confirmed an append.
    pub fn on_appended(&mut self, incarnation: IncarnationId, seq: u64) {
        if matches!(self.outstanding(), Some(append) if (append.incarnation, append.seq) == (incarnation, seq))
        {
            self.confirmed += 1;
        }
    }

    /// Makes all batches that are not folded outstanding again, the oldest first.
    ///
    /// A log that has returned from an older copy may have confirmed them and lost them. A missing batch would make
    /// every later one of the same incarnation ineffective.
    pub fn resend_unfolded(&mut self) {
        self.confirmed = 0;
    }

    /// Records that this process has folded a batch, which proves that the batch is in the log.
    pub fn on_folded(&mut self, incarnation: IncarnationId, seq: u64) {
        let index = self.unfolded.iter().position(|unfolded| {
            (unfolded.batch.incarnation, unfolded.batch.seq) == (incarnation, seq)
        });
        // Batches are appended in order, so the earlier ones have been folded too.
        if let Some(index) = index {
            self.last_folded = self.unfolded[index].last_position;
            self.unfolded.drain(..=index);
            self.confirmed = self.confirmed.saturating_sub(index + 1);
        }
    }

    /// Returns the position of the last entry that this process has folded.
    pub fn last_folded(&self) -> Position {
        self.last_folded
    }

    /// Returns whether no entry is queued and no append is outstanding.
    pub fn is_drained(&self) -> bool {
        self.queue.is_empty() && self.outstanding().is_none()
    }

    /// Returns whether the next batch opens an incarnation and has no other effect.
    pub fn is_opening(&self) -> bool {
        match self.unfolded.get(self.confirmed) {
            Some(unfolded) => unfolded.opens_incarnation,
            None => self
                .queue
                .front()
                .is_some_and(|queued| matches!(queued.entry, Entry::Open(_))),
        }
    }

    /// Returns the encoded size of the queued entries, in bytes.
    pub fn queue_bytes(&self) -> usize {
        self.queue_bytes
    }

    /// Returns the oldest batch that the log has not confirmed.
    fn outstanding(&self) -> Option<&EncodedBatch> {
        self.unfolded
            .get(self.confirmed)
            .map(|unfolded| &unfolded.batch)
    }

    /// Forms the next batch from queued entries of one incarnation.
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
            let is_open = matches!(queued.entry, Entry::Open(_));
            if let Some(queued) = self.queue.pop_front() {
                entries.push(queued.entry);
            }
            // The first batch of an incarnation has no other entries, so that its order among others does not matter.
            if is_open {
                break;
            }
        }
        self.queue_bytes -= batch_bytes;
        self.last_batched += entries.len() as Position;
        self.start_batch(incarnation, entries);
    }

    /// Numbers and encodes a batch, and makes it the outstanding append.
    fn start_batch(&mut self, incarnation: IncarnationId, entries: Vec<Entry>) {
        if self.incarnation != Some(incarnation) {
            self.incarnation = Some(incarnation);
            self.seq = 0;
        }
        self.seq += 1;
        let opens_incarnation = matches!(entries.as_slice(), [Entry::Open(_)]);
        let payload = Batch::new(incarnation, self.seq, entries).encode_to_vec();
        self.unfolded.push_back(UnfoldedBatch {
            batch: EncodedBatch {
                incarnation,
                seq: self.seq,
                payload: payload.into(),
            },
            last_position: self.last_batched,
            opens_incarnation,
        });
    }
}
