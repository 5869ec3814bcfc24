//! Comparison of the log with the records that a process has folded from it.
//!
//! After an outage the log may return from an older copy: records that it had acknowledged are gone, and their offsets
//! are given out again. The folded records are the only proof of what the fleet has granted, billed and claimed, so they
//! are appended again, in their order, before anything else is. A batch that is appended twice takes effect once, so it
//! does no harm if two processes append the same records. See `docs/design.md`, section 6.

use prost::Message;

use crate::ids::Offset;
use crate::log_client::Record;
use crate::record::Batch;

/// A record that the process has not folded and that precedes one that it has folded.
///
/// The effect of most records depends on their order, so the folded state is not that of the log any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForeignRecord {
    /// Offset of the record.
    pub offset: Offset,
}

/// Search for the folded records, in their order, in the log.
///
/// Records that only open an incarnation may have another place, because no earlier record can concern them.
#[derive(Clone, Debug)]
pub struct HistoryCheck {
    /// Folded records whose order matters.
    folded: Vec<Vec<u8>>,
    found: usize,
    /// Folded records that only open an incarnation and are not found yet.
    missing_opens: Vec<Vec<u8>>,
    /// Records of the log that only open an incarnation and are not folded.
    new_opens: Vec<Vec<u8>>,
    first_offset: Offset,
    /// Payloads of the log from `first_offset` on.
    logged: Vec<Vec<u8>>,
}

impl HistoryCheck {
    /// Starts a search for the payloads that were folded from `first_offset` on.
    pub fn new(first_offset: Offset, folded: Vec<Vec<u8>>) -> Self {
        let (missing_opens, folded) = folded.into_iter().partition(|payload| only_opens(payload));
        Self {
            folded,
            found: 0,
            missing_opens,
            new_opens: Vec::new(),
            first_offset,
            logged: Vec::new(),
        }
    }

    /// Returns the offset of the next record to compare.
    pub fn next_offset(&self) -> Offset {
        self.first_offset + self.logged.len() as Offset
    }

    /// Compares the next record; `is_effective` tells whether folding a payload would change the folded state.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not the next folded one, and its effect may depend on that one.
    pub fn push(
        &mut self,
        record: &Record,
        is_effective: impl Fn(&[u8]) -> bool,
    ) -> Result<(), ForeignRecord> {
        let payload = &record.payload;
        if only_opens(payload) {
            self.missing_opens.retain(|missing| missing != payload);
            if is_effective(payload) {
                self.new_opens.push(payload.clone());
            }
        } else if self.folded.get(self.found) == Some(payload) {
            self.found += 1;
        } else if is_effective(payload) {
            return Err(ForeignRecord {
                offset: record.offset,
            });
        }
        self.logged.push(payload.clone());
        Ok(())
    }

    /// Returns whether other records may follow the compared ones: nothing is missing that they could depend on.
    pub fn is_complete(&self) -> bool {
        let (found, missing) = self.folded.split_at(self.found);
        missing.iter().all(|payload| found.contains(payload))
    }

    /// Returns the folded records that are not found yet, in the order in which they have to be appended.
    pub fn missing(&self) -> impl Iterator<Item = &Vec<u8>> {
        self.missing_opens.iter().chain(&self.folded[self.found..])
    }

    /// Returns the compared records that open incarnations and are not folded.
    pub fn new_opens(&self) -> &[Vec<u8>] {
        &self.new_opens
    }

    /// Returns the offset and the payloads of the compared records.
    pub fn into_logged(self) -> (Offset, Vec<Vec<u8>>) {
        (self.first_offset, self.logged)
    }
}

/// Returns whether a payload opens an incarnation and has no other effect.
fn only_opens(payload: &[u8]) -> bool {
    Batch::decode(payload).is_ok_and(|batch| batch.only_opens())
}
