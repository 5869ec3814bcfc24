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

    /// Returns the records from offset `from` up to a total size, or `None` if they are not retained.
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
