//! The way of bills to the log and of their copies to peers.

use super::Budget;
use crate::ids::IncarnationId;
use crate::message::{BillCopy, BillCopyAck, PeerMessage};

/// Bill entries that are queued for the log at once.
const MAX_ENTRIES_PER_WRITE: usize = 10_000;

/// Time without a confirmation after which the next copy is sent.
const ACK_TIMEOUT_MS: u64 = 500;

/// The copy that is on its way to a peer.
///
/// One copy is on its way at a time, so that all bills of a round trip share one message.
#[derive(Debug, Default)]
pub(super) struct BillDelivery {
    /// Number of the copy and the time at which it was sent.
    outstanding_copy: Option<(u64, u64)>,
    /// Whether entries were lost on the way to the log's queue.
    needs_requeue: bool,
}

impl Budget {
    /// Queues all new bills for the log.
    pub(super) fn write_bills(&self) {
        let mut billing = self.billing.borrow_mut();
        let mut delivery = self.delivery.borrow_mut();
        for entry in billing.entries_to_write(MAX_ENTRIES_PER_WRITE) {
            if let Err(error) = self.fleet.write(entry) {
                // The queue is full during a long outage; the bill stays pending and is queued again later.
                delivery.needs_requeue = true;
                log::warn!(step = "bill"; "{error}");
                break;
            }
        }
    }

    /// Sends the bills that no peer has confirmed to a peer in another VM.
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

    /// Does what is due even without a request.
    pub(in crate::router) fn tick(&self) {
        if std::mem::take(&mut self.delivery.borrow_mut().needs_requeue) {
            self.billing.borrow_mut().requeue_all();
        }
        self.write_bills();
        self.send_copies();
    }

    /// Keeps a peer's bills and confirms them.
    pub(in crate::router) fn on_bill_copy(&self, from: IncarnationId, copy: &BillCopy) {
        let ack = {
            let state = self.fleet.state();
            self.billing.borrow_mut().on_bill_copy(from, copy, &state)
        };
        if let Some(ack) = ack {
            self.fleet.send(from, PeerMessage::BillCopyAck(ack));
        }
    }

    /// Takes a peer's confirmation.
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

    /// Looks for another place for the copies of a peer that is no longer live.
    pub(in crate::router) fn on_peer_lost(&self, peer: IncarnationId) {
        self.billing.borrow_mut().on_peer_lost(peer);
        self.delivery.borrow_mut().outstanding_copy = None;
        self.send_copies();
    }

    /// Returns whether no bill waits for the log.
    pub(in crate::router) fn all_bills_folded(&self) -> bool {
        self.billing.borrow().pending_len() == 0
    }

    /// Chooses a live peer in another VM; the choice moves on with time, so that a silent peer is not asked for ever.
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
