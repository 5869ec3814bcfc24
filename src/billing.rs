//! Bills that one process has not yet seen in the log, and copies of its peers' bills.
//!
//! The process that served a request, the origin of its bill, keeps the bill until it is folded. Until then it also
//! sends a copy to a peer in another VM, so that the bill is not lost with the origin. Once the origin has ended, the
//! peer writes its copies to the log. The same bill may therefore reach the log several times; the ledger charges the
//! first. See `docs/design.md`, section 3.

mod peer_copies;

use std::collections::{BTreeMap, VecDeque};

use prost::Message;

use crate::collections::FastMap;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use crate::ledger::BillEffect;
use crate::membership::MemberPhase;
use crate::message::{BillCopy, BillCopyAck, MAX_FRAME_BYTES};
use crate::record::{Bill, Draw, Entry};

use peer_copies::PeerCopies;

/// Largest number of own bills that wait for the log; about 40 MB, and 30 minutes of 100 requests per second.
const MAX_PENDING_BILLS: usize = 200_000;

/// Size limit of the bills in one copy message, which leaves room for the frame around them.
const MAX_COPY_BYTES: usize = MAX_FRAME_BYTES / 2;

/// Time after which an unacknowledged copy is sent again, possibly to another peer.
const COPY_TIMEOUT_MS: u64 = 500;

/// The error for a request that was billed before; the draws of the rejected bill must be refunded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AlreadyBilled {
    /// The rejected bill.
    pub bill: Bill,
}

/// Effect of a change of the fleet state on the bills of this process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BillDecision {
    /// Request whose bill was folded, so that its response may be completed.
    pub key: Option<RequestKey>,
    /// Draws to refund to the customer's account, if another bill for the request was charged.
    pub refund: Option<(CustomerKey, Vec<Draw>)>,
}

#[derive(Clone, Debug)]
struct PendingBill {
    bill: Bill,
    /// Peer that acknowledged a copy.
    copied_to: Option<IncarnationId>,
}

#[derive(Clone, Debug)]
struct SentCopy {
    peer: IncarnationId,
    keys: Vec<RequestKey>,
    sent_ms: u64,
}

/// The pending bills of one process, and the copies that it holds for peers.
///
/// It is kept when its process starts a new incarnation.
#[derive(Clone, Debug, Default)]
pub struct Billing {
    /// Own bills that are not folded yet.
    pending: FastMap<RequestKey, PendingBill>,
    unwritten: VecDeque<RequestKey>,
    uncopied: VecDeque<RequestKey>,
    sent_copies: BTreeMap<u64, SentCopy>,
    last_copy_id: u64,
    peer_copies: PeerCopies,
}

impl Billing {
    /// Returns whether another bill can be added; if not, no request may be accepted.
    pub fn has_room(&self) -> bool {
        self.pending.len() < MAX_PENDING_BILLS
    }

    /// Adds the bill of a request that has ended.
    ///
    /// # Errors
    ///
    /// Returns the bill if the request was billed before or an earlier bill for it is pending. It is not written, and
    /// its draws must be refunded.
    pub fn add(&mut self, bill: Bill, state: &FleetState) -> Result<(), AlreadyBilled> {
        let key = bill.request_key();
        if self.pending.contains_key(&key) || state.ledger.billed(key).is_some() {
            return Err(AlreadyBilled { bill });
        }
        self.unwritten.push_back(key);
        self.uncopied.push_back(key);
        if self.uncopied.len() > 2 * MAX_PENDING_BILLS {
            // Without a peer to copy to, nothing removes the keys of folded bills from the queue.
            let pending = &self.pending;
            self.uncopied.retain(|key| is_uncopied(pending, key));
        }
        self.pending.insert(
            key,
            PendingBill {
                bill,
                copied_to: None,
            },
        );
        Ok(())
    }

    /// Returns the fingerprint of a request whose bill is pending.
    ///
    /// The ledger has the bill only once it is folded; until then a reused key is detected here.
    pub fn pending_fingerprint(&self, key: RequestKey) -> Option<Fingerprint> {
        let pending = self.pending.get(&key)?;
        Some(Fingerprint(pending.bill.fingerprint))
    }

    /// Returns whether a request's bill survives a crash of this process, because it is folded or a peer has a copy.
    pub fn is_durable(&self, key: RequestKey) -> bool {
        self.pending
            .get(&key)
            .is_none_or(|pending| pending.copied_to.is_some())
    }

    /// Returns up to `limit` entries for the log, each of them once.
    ///
    /// The log writer retries a batch until it is acknowledged, so no entry has to be returned twice.
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
        entries.extend(self.peer_copies.entries_to_write(rest));
        entries
    }

    /// Queues all bills for the log again, after the process started a new incarnation.
    ///
    /// Entries that the old incarnation's log writer had not appended are lost. Bills that it had appended are charged
    /// once.
    pub fn requeue_all(&mut self) {
        self.unwritten = self.pending.keys().copied().collect();
        self.peer_copies.requeue_all();
    }

    /// Returns a message with bills of which no peer has acknowledged a copy, to be sent to a peer in another VM.
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
                // 8 bytes cover the field tag and the length of the bill in the message.
                size_bytes += pending.bill.encoded_len() + 8;
                bills.push(pending.bill.clone());
                keys.push(key);
            }
        }
        if bills.is_empty() {
            return None;
        }
        self.last_copy_id += 1;
        let id = self.last_copy_id;
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

    /// Processes an acknowledgement and returns the requests whose bills have become durable.
    pub fn on_copy_ack(&mut self, from: IncarnationId, ack: &BillCopyAck) -> Vec<RequestKey> {
        match self.sent_copies.get(&ack.id) {
            Some(copy) if copy.peer == from => {}
            _ => return Vec::new(),
        }
        let Some(copy) = self.sent_copies.remove(&ack.id) else {
            return Vec::new();
        };
        let mut durable = Vec::new();
        for key in copy.keys {
            if let Some(pending) = self.pending.get_mut(&key) {
                pending.copied_to = Some(from);
                durable.push(key);
            }
        }
        durable
    }

    /// Stores copies of a peer's bills; returns the acknowledgement, or `None` if there is no room.
    pub fn on_bill_copy(
        &mut self,
        from: IncarnationId,
        copy: &BillCopy,
        state: &FleetState,
    ) -> Option<BillCopyAck> {
        self.peer_copies
            .add(from, &copy.bills, state)
            .then_some(BillCopyAck { id: copy.id })
    }

    /// Applies a change of the fleet state.
    ///
    /// A bill that is folded after another one for its request is refunded once: only while it is pending, and only if
    /// the folded bill is equal to it. If a peer's copy was charged, the own bill is no longer pending when it is
    /// folded, so it is not refunded.
    pub fn on_change(&mut self, change: &Change, state: &FleetState) -> BillDecision {
        match change {
            Change::Bill { bill, effect, .. } => {
                self.peer_copies.on_bill(bill, *effect);
                self.on_bill(bill, *effect, state)
            }
            Change::Member(id) => {
                self.peer_copies.on_member(*id, state);
                if has_ended(state, *id) {
                    self.on_peer_lost(*id);
                }
                BillDecision::default()
            }
            _ => BillDecision::default(),
        }
    }

    /// Queues the bills of which a lost peer had the copy to be copied again.
    ///
    /// Otherwise the loss of two routers, one after the other, during a log outage would lose bills.
    pub fn on_peer_lost(&mut self, peer: IncarnationId) {
        for (&key, pending) in &mut self.pending {
            if pending.copied_to == Some(peer) {
                pending.copied_to = None;
                self.uncopied.push_back(key);
            }
        }
    }

    /// Applies a whole state, after a snapshot replaced the fleet state without the changes in between.
    ///
    /// The state does not tell which bill was charged for a key, so nothing is refunded. Returns the requests whose
    /// bills are folded now.
    pub fn on_state(&mut self, state: &FleetState) -> Vec<RequestKey> {
        self.peer_copies.on_state(state);
        let billed: Vec<RequestKey> = self
            .pending
            .keys()
            .copied()
            .filter(|&key| state.ledger.billed(key).is_some())
            .collect();
        for key in &billed {
            self.pending.remove(key);
        }
        billed
    }

    /// Returns the number of own bills that are not folded yet.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of copies held for peers.
    pub fn peer_copies_len(&self) -> usize {
        self.peer_copies.len()
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

    /// Queues the bills of copies whose acknowledgement is overdue to be copied again.
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

fn is_uncopied(pending: &FastMap<RequestKey, PendingBill>, key: &RequestKey) -> bool {
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
