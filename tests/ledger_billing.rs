//! Tests of pending bills and of their copies at peers.

mod ledger_common;

use ledger_common::{bill, draw, grant, Fleet};
use monsoonfield::billing::{BillDecision, Billing};
use monsoonfield::fleet_state::Change;
use monsoonfield::ids::{IncarnationId, RequestKey};
use monsoonfield::message::BillCopyAck;
use monsoonfield::record::Entry;

const A: IncarnationId = IncarnationId(1);
const B: IncarnationId = IncarnationId(2);
const KEY: RequestKey = RequestKey(9);

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(1_000, 10_000, &[A.0, B.0]);
    fleet.append(A, [grant(100)]);
    fleet.append(B, [grant(100)]);
    fleet
}

fn billing_with_one(fleet: &Fleet) -> Billing {
    let mut billing = Billing::default();
    billing
        .add(bill(KEY.0, 1, &[draw(A, 10)]), &fleet.state)
        .expect("a new bill");
    billing
}

/// Applies changes to the bills of a process and returns the decisions on them.
fn observe(billing: &mut Billing, changes: &[Change], fleet: &Fleet) -> Vec<BillDecision> {
    changes
        .iter()
        .map(|change| billing.on_change(change, &fleet.state))
        .filter(|decision| *decision != BillDecision::default())
        .collect()
}

/// Guards against a bill that is never removed from memory or is written twice.
#[test]
fn a_bill_is_written_once_and_removed_when_folded() {
    let mut fleet = fleet();
    let mut billing = billing_with_one(&fleet);

    let entries = billing.entries_to_write(10);
    assert_eq!(entries.len(), 1);
    assert!(billing.entries_to_write(10).is_empty());
    assert!(!billing.is_durable(KEY));
    let changes = fleet.append(A, entries);
    let decisions = observe(&mut billing, &changes, &fleet);

    assert_eq!(decisions[0].key, Some(KEY));
    assert_eq!(decisions[0].refund, None);
    assert_eq!(billing.pending_len(), 0);
}

/// Guards against lost rights when another router has already billed the request.
#[test]
fn the_draws_of_a_duplicate_bill_are_refunded_once() {
    let mut fleet = fleet();
    let mut billing = billing_with_one(&fleet);
    let other = Entry::Bill(bill(KEY.0, 1, &[draw(B, 10)]));
    let changes = fleet.append(B, [other]);
    assert!(observe(&mut billing, &changes, &fleet).is_empty());

    let entries = billing.entries_to_write(10);
    let changes = fleet.append(A, entries.clone());
    let first = observe(&mut billing, &changes, &fleet);
    let changes = fleet.append(B, entries);
    let second = observe(&mut billing, &changes, &fleet);

    assert_eq!(first[0].refund, Some((fleet.acme(), vec![draw(A, 10)])));
    assert!(second.is_empty());
}

/// Guards against a refund although the copy that a peer wrote was charged, which would add rights.
#[test]
fn a_bill_that_a_peer_wrote_is_not_refunded() {
    let mut fleet = fleet();
    let mut billing = billing_with_one(&fleet);
    let entries = billing.entries_to_write(10);

    let changes = fleet.append(B, entries.clone());
    let by_peer = observe(&mut billing, &changes, &fleet);
    let changes = fleet.append(A, entries);
    let by_origin = observe(&mut billing, &changes, &fleet);

    assert_eq!(by_peer[0].refund, None);
    assert!(by_origin.is_empty());
}

/// Guards against a second bill for a request that this process has billed before.
#[test]
fn a_second_bill_for_a_pending_or_billed_key_is_rejected() {
    let mut fleet = fleet();
    let mut billing = billing_with_one(&fleet);
    let again = bill(KEY.0, 1, &[draw(A, 5)]);

    let pending = billing.add(again.clone(), &fleet.state);
    let entries = billing.entries_to_write(10);
    let changes = fleet.append(A, entries);
    observe(&mut billing, &changes, &fleet);
    let billed = billing.add(again.clone(), &fleet.state);

    assert_eq!(pending.expect_err("pending").bill, again);
    assert_eq!(billed.expect_err("in the ledger").bill, again);
}

/// Guards against the loss of a bill when its router crashes before writing it.
#[test]
fn a_peer_writes_the_copies_of_an_ended_origin() {
    let mut fleet = fleet();
    let mut origin = billing_with_one(&fleet);
    let mut peer = Billing::default();

    let copy = origin.copy_to_send(B, 0).expect("a copy");
    let ack = peer
        .on_bill_copy(A, &copy, &fleet.state)
        .expect("the peer has room");
    let durable = origin.on_copy_ack(B, &ack);
    assert!(peer.entries_to_write(10).is_empty());
    fleet.close(B, A);
    observe(&mut peer, &[Change::Member(A)], &fleet);
    let entries = peer.entries_to_write(10);
    let changes = fleet.append(B, entries);
    observe(&mut peer, &changes, &fleet);

    assert_eq!(durable, [KEY]);
    assert!(origin.is_durable(KEY));
    assert_eq!(fleet.billed_tokens(), 10);
    assert_eq!(peer.peer_copies_len(), 0);
}

/// Guards against a copy that is never written because it arrives after its origin was closed.
#[test]
fn a_copy_of_an_origin_that_has_ended_is_written_at_once() {
    let mut fleet = fleet();
    let mut origin = billing_with_one(&fleet);
    let mut peer = Billing::default();
    let copy = origin.copy_to_send(B, 0).expect("a copy");
    fleet.close(B, A);

    peer.on_bill_copy(A, &copy, &fleet.state)
        .expect("the peer has room");

    assert_eq!(peer.entries_to_write(10).len(), 1);
}

/// Guards against a response that is delayed for ever because one peer does not acknowledge its copy.
#[test]
fn an_unacknowledged_copy_is_sent_to_another_peer() {
    let fleet = fleet();
    let mut origin = billing_with_one(&fleet);
    let first = origin.copy_to_send(B, 0).expect("a copy");

    assert!(origin.copy_to_send(IncarnationId(3), 100).is_none());
    let second = origin.copy_to_send(IncarnationId(3), 600).expect("a copy");
    let late = origin.on_copy_ack(B, &BillCopyAck { id: first.id });
    let from_wrong_peer = origin.on_copy_ack(B, &BillCopyAck { id: second.id });
    let acknowledged = origin.on_copy_ack(IncarnationId(3), &BillCopyAck { id: second.id });

    assert!(late.is_empty() && from_wrong_peer.is_empty());
    assert_eq!(acknowledged, [KEY]);
}

/// Guards against the loss of a bill when the only peer with a copy ends before the origin.
#[test]
fn a_bill_is_copied_again_when_the_peer_is_lost() {
    let fleet = fleet();
    let mut origin = billing_with_one(&fleet);
    let copy = origin.copy_to_send(B, 0).expect("a copy");
    origin.on_copy_ack(B, &BillCopyAck { id: copy.id });

    origin.on_peer_lost(B);

    assert!(!origin.is_durable(KEY));
    assert!(origin.copy_to_send(IncarnationId(3), 1).is_some());
}

/// Guards against bills that are lost with the queue of the old incarnation's log writer.
#[test]
fn a_new_incarnation_writes_pending_bills_again() {
    let mut fleet = fleet();
    let mut billing = billing_with_one(&fleet);
    let lost = billing.entries_to_write(10);
    fleet.close(B, A);

    billing.requeue_all();
    let again = billing.entries_to_write(10);
    fleet.append(IncarnationId(3), [ledger_common::open()]);
    fleet.append(IncarnationId(3), again.clone());

    assert_eq!(lost, again);
    assert_eq!(fleet.billed_tokens(), 10);
}
