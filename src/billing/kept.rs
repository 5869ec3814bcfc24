//! Copies of bills kept for peers.

use std::collections::{BTreeSet, VecDeque};

use super::has_ended;
use crate::collections::FastMap;
use crate::fleet_state::FleetState;
use crate::ids::{IncarnationId, RequestKey};
use crate::ledger::BillEffect;
use crate::record::{Bill, Entry};

/// Copies that are kept for peers; about 40 MB. A peer without an acknowledgement asks another one.
const MAX_KEPT_BILLS: usize = 200_000;

#[derive(Clone, Debug)]
struct Kept {
    origin: IncarnationId,
    bill: Bill,
    /// Whether the origin has ended, so that this process writes the bill.
    is_adopted: bool,
}

/// Copies of bills kept for peers, by request; two routers may have run the same request.
#[derive(Clone, Debug, Default)]
pub(super) struct KeptCopies {
    kept: FastMap<RequestKey, Vec<Kept>>,
    len: usize,
    unwritten: VecDeque<RequestKey>,
}

impl KeptCopies {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Keeps all bills, or none if there is no room; returns whether they are kept or no longer needed.
    pub(super) fn keep(
        &mut self,
        origin: IncarnationId,
        bills: &[Bill],
        state: &FleetState,
    ) -> bool {
        if self.len + bills.len() > MAX_KEPT_BILLS {
            return false;
        }
        let is_adopted = has_ended(state, origin);
        for bill in bills {
            let key = bill.request_key();
            if state.ledger.billed(key).is_some() {
                continue;
            }
            let copies = self.kept.entry(key).or_default();
            if copies.iter().any(|kept| kept.bill == *bill) {
                continue;
            }
            copies.push(Kept {
                origin,
                bill: bill.clone(),
                is_adopted,
            });
            self.len += 1;
            if is_adopted {
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
            for kept in self.kept.get(&key).into_iter().flatten() {
                if kept.is_adopted {
                    entries.push(Entry::Bill(kept.bill.clone()));
                }
            }
        }
        entries
    }

    pub(super) fn requeue_all(&mut self) {
        self.unwritten = self
            .kept
            .iter()
            .filter(|(_, copies)| copies.iter().any(|kept| kept.is_adopted))
            .map(|(&key, _)| key)
            .collect();
    }

    /// Removes the copies that the fold has decided.
    pub(super) fn on_bill(&mut self, bill: &Bill, effect: BillEffect) {
        let key = bill.request_key();
        let Some(copies) = self.kept.get_mut(&key) else {
            return;
        };
        let before = copies.len();
        copies.retain(|kept| !effect.is_key_billed() && kept.bill != *bill);
        self.len -= before - copies.len();
        if copies.is_empty() {
            self.kept.remove(&key);
        }
    }

    /// Takes over the copies of an incarnation that has ended.
    pub(super) fn on_member(&mut self, id: IncarnationId, state: &FleetState) {
        if !has_ended(state, id) {
            return;
        }
        for (&key, copies) in &mut self.kept {
            for kept in copies.iter_mut() {
                if kept.origin == id && !kept.is_adopted {
                    kept.is_adopted = true;
                    self.unwritten.push_back(key);
                }
            }
        }
    }

    pub(super) fn on_state(&mut self, state: &FleetState) {
        self.kept
            .retain(|key, _| state.ledger.billed(*key).is_none());
        self.len = self.kept.values().map(Vec::len).sum();
        let origins: BTreeSet<IncarnationId> = self
            .kept
            .values()
            .flatten()
            .map(|kept| kept.origin)
            .collect();
        for origin in origins {
            self.on_member(origin, state);
        }
    }
}
