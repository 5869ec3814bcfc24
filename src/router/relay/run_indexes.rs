//! Indexes of the events of one run of an engine's stream.

use crate::upstream_client::EventId;

/// How the events of a run tell their indexes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Numbering {
    /// By their ids.
    Ids,
    /// By their places, since none has had a number for an id yet.
    Places,
    /// An id has shown that the places were wrong.
    Contradictory,
}

/// Indexes of the events of one run. An id counts only at its place: an event whose id is spoilt would otherwise be
/// dropped as a repetition, or take the place of another event.
pub(super) struct RunIndexes {
    next: u64,
    /// `None` until the first event, which of a resumed stream may be one that was sent before.
    numbering: Option<Numbering>,
}

impl RunIndexes {
    /// Creates the indexes of a run of which the events from `next` on were requested.
    pub(super) fn starting_at(next: u64) -> Self {
        Self {
            next,
            numbering: None,
        }
    }

    /// Returns the index of the next event.
    ///
    /// # Errors
    ///
    /// Returns the reason if the id does not agree with the place of the event.
    pub(super) fn index_of(&mut self, id: EventId) -> Result<u64, String> {
        let (index, numbering) = match (self.numbering, id) {
            (None | Some(Numbering::Places), EventId::Absent | EventId::Invalid) => {
                (self.next, Numbering::Places)
            }
            (None, EventId::Number(index)) if index <= self.next => (index, Numbering::Ids),
            (Some(Numbering::Ids | Numbering::Places), EventId::Number(index))
                if index == self.next =>
            {
                (index, Numbering::Ids)
            }
            (numbering, _) => {
                if numbering == Some(Numbering::Places) {
                    self.numbering = Some(Numbering::Contradictory);
                }
                return Err(format!("an event has the id {id} at index {}", self.next));
            }
        };
        self.numbering = Some(numbering);
        self.next = index.saturating_add(1);
        Ok(index)
    }

    /// Returns whether the events without a number are where their places said.
    pub(super) fn are_reliable(&self) -> bool {
        self.numbering != Some(Numbering::Contradictory)
    }
}
