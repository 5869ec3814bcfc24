//! Bills of one process and the copies that it keeps for its peers.
//!
//! A bill stays with its origin until the fold shows it. Until then a copy at a peer in another VM keeps it from being
//! lost with the origin. A peer writes its copies once the fold shows that the origin has ended; the same bill may then
//! reach the log several times, and the fold counts the first. See `docs/design.md`, section 3.

mod kept;

use std::collections::{BTreeMap, VecDeque};

use prost::Message;

use crate::collections::FastMap;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use crate::ledger::BillEffect;
use crate::membership::MemberPhase;
use crate::message::{BillCopy, BillCopyAck, MAX_FRAME_BYTES};
use crate::record::{Bill, Draw, Entry};

use kept::KeptCopies;

/// Own bills that may wait for the log; about 40 MB, and 30 minutes of 100 requests a second.
const MAX_PENDING_BILLS: usize = 200_000;

/// Size of the bills in one copy message, with room for the frame around them.
const MAX_COPY_BYTES: usize = MAX_FRAME_BYTES / 2;

/// Time after which a copy without an acknowledgement is sent again, perhaps to another peer.
const COPY_TIMEOUT_MS: u64 = 500;

/// The bill of a request, or the request's earlier bill, is already known; the draws must be recredited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AlreadyBilled {
    /// The bill that was not taken.
    pub bill: Bill,
}

/// What a change of the fold means for the bills of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BillDecision {
    /// Request whose bill was decided, so that its response may be completed.
    pub key: Option<RequestKey>,
    /// Draws of a dropped bill to be recredited to the holder.
    pub refund: Option<(CustomerKey, Vec<Draw>)>,
}

#[derive(Clone, Debug)]
struct Pending {
    bill: Bill,
    /// Peer that confirmed a copy.
    copied_to: Option<IncarnationId>,
}

#[derive(Clone, Debug)]
struct SentCopy {
    peer: IncarnationId,
    keys: Vec<RequestKey>,
    sent_ms: u64,
}

/// The bills of one process that are not on the log yet, and the copies that it keeps for peers.
///
/// It outlives the incarnations of its process.
#[derive(Clone, Debug, Default)]
pub struct Billing {
    pending: FastMap<RequestKey, Pending>,
    unwritten: VecDeque<RequestKey>,
    uncopied: VecDeque<RequestKey>,
    sent_copies: BTreeMap<u64, SentCopy>,
    next_copy: u64,
    kept: KeptCopies,
}

impl Billing {
    /// Returns whether another bill can be kept; without room no request may be accepted.
    pub fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING_BILLS
    }

    /// Takes the bill of a request that has ended.
    ///
    /// # Errors
    ///
    /// Returns the bill if the request is on the ledger or an earlier bill for it is pending. It is not written, and
    /// its draws must be recredited.
    pub fn add(&mut self, bill: Bill, state: &FleetState) -> Result<(), AlreadyBilled> {
        let key = bill.request_key();
        if self.pending.contains_key(&key) || state.ledger.billed(key).is_some() {
            return Err(AlreadyBilled { bill });
        }
        self.unwritten.push_back(key);
        self.uncopied.push_back(key);
        if self.uncopied.len() > 2 * MAX_PENDING_BILLS {
            // Without peers nothing takes the keys of decided bills out of the queue.
            let pending = &self.pending;
            self.uncopied.retain(|key| is_uncopied(pending, key));
        }
        self.pending.insert(
            key,
            Pending {
                bill,
                copied_to: None,
            },
        );
        Ok(())
    }

    /// Returns the fingerprint of a request whose bill waits for the log.
    ///
    /// The ledger shows the bill only once it is folded; until then a reused key is recognised here.
    pub fn pending_fingerprint(&self, key: RequestKey) -> Option<Fingerprint> {
        let pending = self.pending.get(&key)?;
        Some(Fingerprint(pending.bill.fingerprint))
    }

    /// Returns whether a request's bill can no longer be lost with this process.
    pub fn is_durable(&self, key: RequestKey) -> bool {
        self.pending
            .get(&key)
            .is_none_or(|pending| pending.copied_to.is_some())
    }

    /// Returns up to `limit` entries for the log, each of them once.
    ///
    /// The writer repeats a batch until it is acknowledged, so nothing has to be returned twice.
    pub fn entries_to_write(&mut self, limit: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        while entries.len() < limit {
            let Some(key) = self.unwritten.pop_front() else {
                break;
            };
            if let Some(pending) = self.pending.get(&key) {
                entries.push(Entry::Bill(pending.bill.clone()));
            }
        }
        let rest = limit - entries.len();
        entries.extend(self.kept.entries_to_write(rest));
        entries
    }

    /// Queues everything for the log again, after the process started a new incarnation.
    ///
    /// What the writer of the old incarnation had not appended is lost; what it had appended is counted once.
    pub fn requeue_all(&mut self) {
        self.unwritten = self.pending.keys().copied().collect();
        self.kept.requeue_all();
    }

    /// Returns a message with bills that no peer has confirmed, to be sent to a peer in another VM.
    pub fn copy_to_send(&mut self, peer: IncarnationId, now_ms: u64) -> Option<BillCopy> {
        self.expire_copies(now_ms);
        let mut keys = Vec::new();
        let mut bills = Vec::new();
        let mut size_bytes = 0;
        while size_bytes < MAX_COPY_BYTES {
            let Some(key) = self.uncopied.pop_front() else {
                break;
            };
            if let Some(pending) = self.pending.get(&key) {
                size_bytes += pending.bill.encoded_len() + 8;
                bills.push(pending.bill.clone());
                keys.push(key);
            }
        }
        if bills.is_empty() {
            return None;
        }
        self.next_copy += 1;
        let id = self.next_copy;
        self.sent_copies.insert(
            id,
            SentCopy {
                peer,
                keys,
                sent_ms: now_ms,
            },
        );
        Some(BillCopy { id, bills })
    }

    /// Takes a confirmation and returns the requests whose bills are safe now.
    pub fn on_copy_ack(&mut self, from: IncarnationId, ack: &BillCopyAck) -> Vec<RequestKey> {
        match self.sent_copies.get(&ack.id) {
            Some(copy) if copy.peer == from => {}
            _ => return Vec::new(),
        }
        let Some(copy) = self.sent_copies.remove(&ack.id) else {
            return Vec::new();
        };
        let mut safe = Vec::new();
        for key in copy.keys {
            if let Some(pending) = self.pending.get_mut(&key) {
                pending.copied_to = Some(from);
                safe.push(key);
            }
        }
        safe
    }

    /// Keeps a peer's bills, and returns the confirmation unless there is no room.
    pub fn on_bill_copy(
        &mut self,
        from: IncarnationId,
        copy: &BillCopy,
        state: &FleetState,
    ) -> Option<BillCopyAck> {
        self.kept
            .keep(from, &copy.bills, state)
            .then_some(BillCopyAck { id: copy.id })
    }

    /// Takes a change of the fold into account.
    ///
    /// A dropped bill is recredited once: only while it is pending, and only if the bill in the fold is this very bill.
    /// If a peer's copy of it was counted, a later own copy is no longer pending and recredits nothing.
    pub fn on_change(&mut self, change: &Change, state: &FleetState) -> BillDecision {
        match change {
            Change::Bill { bill, effect, .. } => {
                self.kept.on_bill(bill, *effect);
                self.on_bill(bill, *effect, state)
            }
            Change::Member(id) => {
                self.kept.on_member(*id, state);
                if has_ended(state, *id) {
                    self.on_peer_lost(*id);
                }
                BillDecision::default()
            }
            _ => BillDecision::default(),
        }
    }

    /// Makes the bills whose only copy was at a peer available for another copy.
    ///
    /// Without it the loss of two routers, one after the other, during a log outage would lose bills.
    pub fn on_peer_lost(&mut self, peer: IncarnationId) {
        for (&key, pending) in &mut self.pending {
            if pending.copied_to == Some(peer) {
                pending.copied_to = None;
                self.uncopied.push_back(key);
            }
        }
    }

    /// Takes a whole state into account, after a snapshot replaced the fold of single records.
    ///
    /// Which bill was counted for a key is not known then, so nothing is recredited. Returns the requests whose bills
    /// are safe now.
    pub fn on_state(&mut self, state: &FleetState) -> Vec<RequestKey> {
        self.kept.on_state(state);
        let decided: Vec<RequestKey> = self
            .pending
            .keys()
            .copied()
            .filter(|&key| state.ledger.billed(key).is_some())
            .collect();
        for key in &decided {
            self.pending.remove(key);
        }
        decided
    }

    /// Returns the number of own bills that wait for the log.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of copies kept for peers.
    pub fn peer_copies_len(&self) -> usize {
        self.kept.len()
    }

    fn on_bill(&mut self, bill: &Bill, effect: BillEffect, state: &FleetState) -> BillDecision {
        let key = bill.request_key();
        if self.pending.get(&key).map(|pending| &pending.bill) != Some(bill) {
            return BillDecision::default();
        }
        self.pending.remove(&key);
        let refund = match effect {
            BillEffect::Duplicate | BillEffect::KeyReused => state
                .customers
                .get(&bill.customer)
                .map(|customer| (customer, bill.draws.clone())),
            _ => None,
        };
        BillDecision {
            key: Some(key),
            refund,
        }
    }

    /// Makes the bills of copies without an acknowledgement available for another copy.
    fn expire_copies(&mut self, now_ms: u64) {
        while let Some(entry) = self.sent_copies.first_entry() {
            if now_ms.saturating_sub(entry.get().sent_ms) < COPY_TIMEOUT_MS {
                break;
            }
            let copy = entry.remove();
            let pending = &self.pending;
            self.uncopied.extend(
                copy.keys
                    .into_iter()
                    .filter(|key| is_uncopied(pending, key)),
            );
        }
    }
}

fn is_uncopied(pending: &FastMap<RequestKey, Pending>, key: &RequestKey) -> bool {
    pending
        .get(key)
        .is_some_and(|pending| pending.copied_to.is_none())
}

/// Returns whether an incarnation was closed, left or was finalised.
fn has_ended(state: &FleetState, id: IncarnationId) -> bool {
    match state.members.get(id) {
        Some(member) => member.phase != MemberPhase::Open,
        None => state.members.is_retired(id),
    }
}
