//! Delivery of bills to the log and of their copies to peers.

use super::Budget;
use crate::ids::IncarnationId;
use crate::message::{BillCopy, BillCopyAck, PeerMessage};

/// Maximum number of bill entries that are queued for the log at once.
const MAX_ENTRIES_PER_WRITE: usize = 10_000;

/// Time without an acknowledgement after which the next copy is sent, possibly to another peer.
const ACK_TIMEOUT_MS: u64 = 500;

/// Progress of the delivery of bills.
///
/// At most one copy is in flight, so that all bills that arrive within a round trip share the next message.
#[derive(Debug, Default)]
pub(super) struct BillDelivery {
    /// Id of the copy in flight and the time at which it was sent.
    outstanding_copy: Option<(u64, u64)>,
    /// Whether the queue of the log writer rejected entries.
    needs_requeue: bool,
}

impl Budget {
    /// Queues all new bills for the log.
    pub(super) fn write_bills(&self) {
        let mut billing = self.billing.borrow_mut();
        let mut delivery = self.delivery.borrow_mut();
        for entry in billing.entries_to_write(MAX_ENTRIES_PER_WRITE) {
            if let Err(error) = self.fleet.write(entry) {
                // The queue is full, as in a long log outage. The bill stays pending and is queued again by `tick`.
                delivery.needs_requeue = true;
                log::warn!(step = "bill"; "{error}");
                break;
            }
        }
    }

    /// Sends the bills of which no peer has acknowledged a copy to a peer in another VM.
    pub(super) fn send_copies(&self) {
        let now_ms = self.now_ms();
        let mut delivery = self.delivery.borrow_mut();
        if delivery
            .outstanding_copy
            .is_some_and(|(_, sent_ms)| now_ms.saturating_sub(sent_ms) < ACK_TIMEOUT_MS)
        {
            return;
        }
        delivery.outstanding_copy = None;
        let Some(peer) = self.choose_copy_peer(now_ms) else {
            return;
        };
        let Some(copy) = self.billing.borrow_mut().copy_to_send(peer, now_ms) else {
            return;
        };
        let id = copy.id;
        if self.fleet.send(peer, PeerMessage::BillCopy(copy)) {
            delivery.outstanding_copy = Some((id, now_ms));
        }
    }

    /// Requeues rejected bills, writes new ones and sends copies, independently of requests.
    pub(in crate::router) fn tick(&self) {
        if std::mem::take(&mut self.delivery.borrow_mut().needs_requeue) {
            self.billing.borrow_mut().requeue_all();
        }
        self.write_bills();
        self.send_copies();
    }

    /// Stores copies of a peer's bills and acknowledges them.
    pub(in crate::router) fn on_bill_copy(&self, from: IncarnationId, copy: &BillCopy) {
        let ack = {
            let state = self.fleet.state();
            self.billing.borrow_mut().on_bill_copy(from, copy, &state)
        };
        if let Some(ack) = ack {
            self.fleet.send(from, PeerMessage::BillCopyAck(ack));
        }
    }

    /// Processes a peer's acknowledgement.
    pub(in crate::router) fn on_copy_ack(&self, from: IncarnationId, ack: &BillCopyAck) {
        let durable = self.billing.borrow_mut().on_copy_ack(from, ack);
        {
            let mut delivery = self.delivery.borrow_mut();
            if delivery
                .outstanding_copy
                .is_some_and(|(id, _)| id == ack.id)
            {
                delivery.outstanding_copy = None;
            }
        }
        for key in durable {
            self.bill_durable.notify(key);
        }
        self.send_copies();
    }

    /// Sends the bills again whose copies a peer held that is no longer live.
    pub(in crate::router) fn on_peer_lost(&self, peer: IncarnationId) {
        self.billing.borrow_mut().on_peer_lost(peer);
        self.delivery.borrow_mut().outstanding_copy = None;
        self.send_copies();
    }

    /// Returns whether all bills of this process have been folded.
    pub(in crate::router) fn all_bills_folded(&self) -> bool {
        self.billing.borrow().pending_len() == 0
    }

    /// Chooses a live peer in another VM. The choice rotates with time, so that an unresponsive peer is not chosen
    /// forever.
    fn choose_copy_peer(&self, now_ms: u64) -> Option<IncarnationId> {
        let own = self.fleet.incarnation();
        let state = self.fleet.state();
        let own_vm = state.members.get(own).map(|member| member.vm.clone());
        let peers: Vec<IncarnationId> = self
            .fleet
            .peers()
            .into_iter()
            .filter(|peer| Some(&peer.vm) != own_vm.as_ref())
            .map(|peer| peer.incarnation)
            .collect();
        if peers.is_empty() {
            return None;
        }
        Some(peers[(now_ms / ACK_TIMEOUT_MS) as usize % peers.len()])
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
