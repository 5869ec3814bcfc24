//! The newest log records, kept so that peers without access to the log can follow.

use std::collections::VecDeque;

use crate::ids::Offset;

/// Largest total size of the kept records, in bytes; a peer that is further behind asks for a snapshot.
const MAX_TAIL_BYTES: usize = 8 << 20;

/// A run of records without gaps that ends at the newest one.
#[derive(Default)]
pub(super) struct LogTail {
    next_offset: Offset,
    payloads: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl LogTail {
    /// Adds the record at `offset`; a gap drops the older ones.
    pub(super) fn push(&mut self, offset: Offset, payload: &[u8]) {
        if offset != self.next_offset {
            self.clear();
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

    /// Drops all records.
    pub(super) fn clear(&mut self) {
        self.payloads.clear();
        self.bytes = 0;
    }

    /// Returns records from `from` on, up to a size; `None` if they are no longer kept.
    pub(super) fn records_from(&self, from: Offset, max_bytes: usize) -> Option<Vec<Vec<u8>>> {
        let first_offset = self.next_offset - self.payloads.len() as Offset;
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
