//! The newest log records, retained for peers that have no access to the log.

use std::collections::VecDeque;

use crate::ids::Offset;

/// Largest total size of the retained records, in bytes; a peer that is further behind requests a snapshot.
const MAX_TAIL_BYTES: usize = 8 << 20;

/// The newest folded records, at consecutive offsets.
#[derive(Default)]
pub(super) struct LogTail {
    next_offset: Offset,
    payloads: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl LogTail {
    /// Appends the record at `offset`; drops the older records if it does not follow them directly.
    pub(super) fn push(&mut self, offset: Offset, payload: &[u8]) {
        if offset != self.next_offset {
            self.clear(offset);
        }
        self.next_offset = offset + 1;
        self.bytes += payload.len();
        self.payloads.push_back(payload.to_vec());
        while self.bytes > MAX_TAIL_BYTES {
            match self.payloads.pop_front() {
                Some(oldest) => self.bytes -= oldest.len(),
                None => break,
            }
        }
    }

    /// Returns the newest record.
    pub(super) fn last(&self) -> Option<&Vec<u8>> {
        self.payloads.back()
    }

    /// Returns the hash of the newest record, or 0 if none is retained.
    pub(super) fn last_hash(&self) -> u64 {
        self.last().map_or(0, |payload| hash(payload))
    }

    /// Returns the offset of the oldest retained record.
    pub(super) fn first_offset(&self) -> Offset {
        self.next_offset - self.payloads.len() as Offset
    }

    /// Returns whether a record with this hash is retained.
    pub(super) fn contains(&self, record_hash: u64) -> bool {
        let mut newest_first = self.payloads.iter().rev();
        newest_first.any(|payload| hash(payload) == record_hash)
    }

    /// Returns the record at `offset`, or `None` if it is not retained.
    pub(super) fn record_at(&self, offset: Offset) -> Option<&Vec<u8>> {
        self.payloads
            .get(offset.checked_sub(self.first_offset())? as usize)
    }

    /// Returns the offset of the oldest retained record, and the payloads from there on.
    pub(super) fn to_parts(&self) -> (Offset, Vec<Vec<u8>>) {
        (self.first_offset(), self.payloads.iter().cloned().collect())
    }

    /// Replaces all records by those from `first_offset` on.
    pub(super) fn replace(&mut self, first_offset: Offset, payloads: Vec<Vec<u8>>) {
        self.clear(first_offset);
        for (offset, payload) in (first_offset..).zip(&payloads) {
            self.push(offset, payload);
        }
    }

    /// Drops all records; the next one has the offset `next_offset`.
    pub(super) fn clear(&mut self, next_offset: Offset) {
        self.next_offset = next_offset;
        self.payloads.clear();
        self.bytes = 0;
    }

    /// Returns the records from offset `from` up to a total size, or `None` if they are not retained.
    pub(super) fn records_from(&self, from: Offset, max_bytes: usize) -> Option<Vec<Vec<u8>>> {
        let first_offset = self.first_offset();
        if from < first_offset || from > self.next_offset {
            return None;
        }
        let mut bytes = 0;
        let payloads = self
            .payloads
            .iter()
            .skip((from - first_offset) as usize)
            .take_while(|payload| {
                bytes += payload.len();
                bytes <= max_bytes
            });
        Some(payloads.cloned().collect())
    }
}

/// Returns the hash by which processes compare records without sending them.
pub(super) fn hash(payload: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(payload)
}
