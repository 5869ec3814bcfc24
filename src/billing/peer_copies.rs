//! Copies of peers' bills, which this process writes to the log if their origin ends first.

use std::collections::{BTreeSet, VecDeque};

use super::has_ended;
use crate::collections::FastMap;
use crate::fleet_state::FleetState;
use crate::ids::{IncarnationId, RequestKey};
use crate::ledger::BillEffect;
use crate::record::{Bill, Entry};

/// Largest number of copies held for peers; about 40 MB. An origin that gets no acknowledgement sends
/// its copies to another peer.
const MAX_PEER_COPIES: usize = 200_000;

#[derive(Clone, Debug)]
struct PeerCopy {
    origin: IncarnationId,
    bill: Bill,
    /// Whether the origin has ended, so that this process has to write the bill.
    is_orphaned: bool,
}

/// Copies of peers' bills by request; two routers may have served the same request.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerCopies {
    copies: FastMap<RequestKey, Vec<PeerCopy>>,
    len: usize,
    unwritten: VecDeque<RequestKey>,
}

impl PeerCopies {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Stores all bills that are not in the ledger, or none if there is no room; returns whether there was room.
    pub(super) fn add(
        &mut self,
        origin: IncarnationId,
        bills: &[Bill],
        state: &FleetState,
    ) -> bool {
        if self.len + bills.len() > MAX_PEER_COPIES {
            return false;
        }
        let is_orphaned = has_ended(state, origin);
        for bill in bills {
            let key = bill.request_key();
            if state.ledger.billed(key).is_some() {
                continue;
            }
            let copies = self.copies.entry(key).or_default();
            if copies.iter().any(|copy| copy.bill == *bill) {
                continue;
            }
            copies.push(PeerCopy {
                origin,
                bill: bill.clone(),
                is_orphaned,
            });
            self.len += 1;
            if is_orphaned {
                self.unwritten.push_back(key);
            }
        }
        true
    }

    pub(super) fn entries_to_write(&mut self, limit: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        while entries.len() < limit {
            let Some(key) = self.unwritten.pop_front() else {
                break;
            };
            for copy in self.copies.get(&key).into_iter().flatten() {
                if copy.is_orphaned {
                    entries.push(Entry::Bill(copy.bill.clone()));
                }
            }
        }
        entries
    }

    pub(super) fn requeue_all(&mut self) {
        self.unwritten = self
            .copies
            .iter()
            .filter(|(_, copies)| copies.iter().any(|copy| copy.is_orphaned))
            .map(|(&key, _)| key)
            .collect();
    }

    /// Removes the copies that a folded bill makes obsolete: all of them if the request is in the ledger now, otherwise
    /// those equal to the bill.
    pub(super) fn on_bill(&mut self, bill: &Bill, effect: BillEffect) {
        let key = bill.request_key();
        let Some(copies) = self.copies.get_mut(&key) else {
            return;
        };
        let before = copies.len();
        copies.retain(|copy| !effect.is_key_billed() && copy.bill != *bill);
        self.len -= before - copies.len();
        if copies.is_empty() {
            self.copies.remove(&key);
        }
    }

    /// Queues the copies of an incarnation that has ended to be written.
    pub(super) fn on_member(&mut self, id: IncarnationId, state: &FleetState) {
        if !has_ended(state, id) {
            return;
        }
        for (&key, copies) in &mut self.copies {
            for copy in copies.iter_mut() {
                if copy.origin == id && !copy.is_orphaned {
                    copy.is_orphaned = true;
                    self.unwritten.push_back(key);
                }
            }
        }
    }

    pub(super) fn on_state(&mut self, state: &FleetState) {
        self.copies
            .retain(|key, _| state.ledger.billed(*key).is_none());
        self.len = self.copies.values().map(Vec::len).sum();
        let origins: BTreeSet<IncarnationId> = self
            .copies
            .values()
            .flatten()
            .map(|copy| copy.origin)
            .collect();
        for origin in origins {
            self.on_member(origin, state);
        }
    }
}
