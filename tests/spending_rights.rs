//! Tests of the spending rights of one process.

mod ledger_common;

use ledger_common::{contract, draw, Fleet};
use monsoonfield::fleet_state::Change;
use monsoonfield::ids::IncarnationId;
use monsoonfield::message::Transfer;
use monsoonfield::record::Entry;
use monsoonfield::spending_rights::{ReserveError, SpendingRights};

const A: IncarnationId = IncarnationId(1);
const B: IncarnationId = IncarnationId(2);
const WINDOW_TOKENS: u64 = 1_000;

/// Creates a fleet with a window of 1% of 100,000 tokens.
fn fleet() -> Fleet {
    Fleet::new(100_000, 10_000, &[A.0, B.0])
}

/// Folds the entries that a process has to write, applies the changes to its rights and returns the entries.
fn write_and_fold(fleet: &mut Fleet, rights: &mut SpendingRights, now_ms: u64) -> Vec<Entry> {
    let entries = rights.entries_to_write(&fleet.state, now_ms);
    if !entries.is_empty() {
        for change in fleet.append(rights.incarnation(), entries.clone()) {
            rights.on_change(&change, &fleet.state);
        }
    }
    entries
}

/// Creates the rights of a process and obtains the first 500 tokens.
fn with_first_rights(fleet: &mut Fleet, id: IncarnationId) -> SpendingRights {
    let mut rights = SpendingRights::new(id);
    let acme = fleet.acme();
    rights.reserve(acme, 500).expect_err("no rights yet");
    write_and_fold(fleet, &mut rights, 1);
    rights
}

/// Guards against a first request that is refused for ever because no rights were requested.
#[test]
fn a_shortage_leads_to_a_grant() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = SpendingRights::new(A);

    let shortage = rights.reserve(acme, 500).expect_err("no rights yet");
    write_and_fold(&mut fleet, &mut rights, 1);

    assert_eq!(
        shortage,
        ReserveError {
            missing_tokens: 500
        }
    );
    let reservation = rights.reserve(acme, 500).expect("the grant was folded");
    assert_eq!(rights.settle(reservation, 600), [draw(A, 500)]);
    assert_eq!(rights.unspent_tokens(acme), 0);
}

/// Guards against spending the uncharged part of a reservation twice, or never.
#[test]
fn settling_releases_the_rest() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);

    let reservation = rights.reserve(acme, 400).expect("enough rights");
    assert_eq!(rights.free_tokens(acme), 100);
    let draws = rights.settle(reservation, 150);

    assert_eq!(draws, [draw(A, 150)]);
    assert_eq!(rights.free_tokens(acme), 350);
}

/// Guards against a grant that is credited again at each later change of the budget.
#[test]
fn a_grant_is_credited_once() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);
    let reservation = rights.reserve(acme, 500).expect("enough rights");
    rights.settle(reservation, 500);

    let change = Change::Grant {
        incarnation: A,
        customer: acme,
    };
    rights.on_change(&change, &fleet.state);
    rights.on_state(&fleet.state);

    assert_eq!(rights.unspent_tokens(acme), 0);
}

/// Guards against rights above the window, which a crash would strand.
#[test]
fn the_held_rights_follow_the_spending_rate_up_to_the_window() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);
    let mut now_ms = 1;

    for _ in 0..2_000 {
        now_ms += 1_000;
        if let Ok(reservation) = rights.reserve(acme, 10) {
            rights.settle(reservation, 10);
        }
        write_and_fold(&mut fleet, &mut rights, now_ms);
        assert!(rights.unspent_tokens(acme) <= WINDOW_TOKENS);
    }

    assert!(rights.unspent_tokens(acme) >= WINDOW_TOKENS * 3 / 4);
}

/// Guards against the refusal of a request that is larger than the window although the budget covers it.
#[test]
fn a_request_above_the_window_is_served() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);

    rights.reserve(acme, 30_000).expect_err("more than is held");
    write_and_fold(&mut fleet, &mut rights, 2);

    let reservation = rights.reserve(acme, 30_000).expect("the grant covers it");
    rights.release(reservation);
    write_and_fold(&mut fleet, &mut rights, 3);
    write_and_fold(&mut fleet, &mut rights, 60_000);
    assert!(rights.unspent_tokens(acme) <= WINDOW_TOKENS);
}

/// Guards against a log queue that fills with copies of one request during an outage.
#[test]
fn a_pending_request_is_not_repeated() {
    let fleet = fleet();
    let mut rights = SpendingRights::new(A);
    rights
        .reserve(fleet.acme(), 500)
        .expect_err("no rights yet");

    let first = rights.entries_to_write(&fleet.state, 1);
    rights
        .reserve(fleet.acme(), 600)
        .expect_err("no rights yet");
    let second = rights.entries_to_write(&fleet.state, 5_000);

    assert_eq!(first.len(), 1);
    assert!(second.is_empty());
}

/// Guards against a process that requests no more after a partial grant, although the budget was topped up.
#[test]
fn a_top_up_is_used_after_a_partial_grant() {
    let mut fleet = Fleet::new(100, 1_000_000, &[A.0]);
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);
    assert_eq!(rights.free_tokens(acme), 100);

    fleet.append(
        IncarnationId(u64::MAX - 1),
        [contract("acme", 2, 10_000, 1_000_000)],
    );
    rights.reserve(acme, 500).expect_err("not granted yet");
    write_and_fold(&mut fleet, &mut rights, 2);

    assert!(rights.free_tokens(acme) >= 500);
}

/// Guards against rights that stay with a process to which the customer sends no more requests.
#[test]
fn idle_rights_are_returned() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);

    write_and_fold(&mut fleet, &mut rights, 3_600_002);
    write_and_fold(&mut fleet, &mut rights, 3_700_000);

    assert_eq!(rights.unspent_tokens(acme), 0);
    let budget = fleet.state.ledger.budget(acme).expect("the budget exists");
    assert_eq!(budget.unallocated_tokens(), 100_000);
}

/// Guards against rights that both ends of a transfer hold, or that its receiver credits twice.
#[test]
fn a_transfer_moves_rights_once() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut home = with_first_rights(&mut fleet, A);
    let mut member = SpendingRights::new(B);
    member.set_home(acme, false);
    member.reserve(acme, 200).expect_err("no rights yet");

    let requests = member.transfer_requests(&fleet.state, 1);
    let request = &requests[0].1;
    let answer = home.on_transfer_request(B, request, &fleet.state);
    let repeated = home.on_transfer_request(B, request, &fleet.state);
    let is_first_new = member.on_transfer(A, &answer, &fleet.state);
    let is_second_new = member.on_transfer(A, &repeated, &fleet.state);

    assert_eq!(answer, repeated);
    assert!(is_first_new && !is_second_new);
    assert_eq!(home.unspent_tokens(acme), 300);
    assert_eq!(member.unspent_tokens(acme), 200);
    let reservation = member.reserve(acme, 200).expect("enough rights");
    assert_eq!(member.settle(reservation, 200), [draw(A, 200)]);
}

/// Guards against a process that waits for ever for a home that does not answer.
#[test]
fn a_silent_home_is_bypassed() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut member = SpendingRights::new(B);
    member.set_home(acme, false);
    member.reserve(acme, 200).expect_err("no rights yet");

    let first = member.transfer_requests(&fleet.state, 1);
    assert!(member.entries_to_write(&fleet.state, 100).is_empty());
    let again = member.transfer_requests(&fleet.state, 500);
    write_and_fold(&mut fleet, &mut member, 1_100);

    assert_eq!(first, again);
    assert_eq!(member.free_tokens(acme), 200);
}

/// Guards against spending transferred rights on a finalised grant, which the ledger would not charge.
#[test]
fn rights_of_a_finalised_grant_are_dropped() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut home = with_first_rights(&mut fleet, A);
    let mut member = SpendingRights::new(B);
    let request = member.transfer_request(&fleet.state, acme, 200);
    let answer = home.on_transfer_request(B, &request, &fleet.state);
    member.on_transfer(A, &answer, &fleet.state);

    fleet.close(B, A);
    for change in fleet.finalize(B, A) {
        member.on_change(&change, &fleet.state);
    }

    assert_eq!(member.unspent_tokens(acme), 0);
    assert!(!member.on_transfer(B, &answer, &fleet.state) || member.unspent_tokens(acme) == 0);
}

/// Guards against a late copy of a transfer that is credited again after its sender was finalised: the rights may be on
/// the grant of another incarnation, which is still live.
#[test]
fn a_late_copy_from_a_finalised_sender_is_ignored() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut home = with_first_rights(&mut fleet, A);
    let mut member = with_first_rights(&mut fleet, B);
    let request = home.transfer_request(&fleet.state, acme, 200);
    let to_home = member.on_transfer_request(A, &request, &fleet.state);
    home.on_transfer(B, &to_home, &fleet.state);
    let to_member = Transfer {
        id: 1,
        request_id: 0,
        ..to_home
    };
    assert!(member.on_transfer(A, &to_member, &fleet.state));
    let before_tokens = member.unspent_tokens(acme);

    fleet.close(B, A);
    for change in fleet.finalize(B, A) {
        member.on_change(&change, &fleet.state);
    }
    let is_new = member.on_transfer(A, &to_member, &fleet.state);

    assert!(!is_new);
    assert_eq!(member.unspent_tokens(acme), before_tokens);
}

/// Guards against a request that is served but never charged because the grant is finalised while it runs.
#[test]
fn rights_on_the_grant_of_an_ended_incarnation_are_returned() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut home = with_first_rights(&mut fleet, A);
    let mut member = SpendingRights::new(B);
    let request = member.transfer_request(&fleet.state, acme, 200);
    let answer = home.on_transfer_request(B, &request, &fleet.state);
    member.on_transfer(A, &answer, &fleet.state);
    let reservation = member.reserve(acme, 50).expect("enough rights");

    fleet.close(B, A);
    write_and_fold(&mut fleet, &mut member, 2);
    let draws = member.settle(reservation, 20);
    write_and_fold(&mut fleet, &mut member, 3);

    assert_eq!(draws, [draw(A, 20)]);
    assert!(member.free_rights(acme).all(|(grant, _)| grant == B));
    let budget = fleet.state.ledger.budget(acme).expect("the budget exists");
    assert_eq!(budget.grants[&A].granted_tokens, 500 - 200 + 20);
}

/// Guards against a closed incarnation that still reserves rights after its closure was folded.
#[test]
fn a_closed_incarnation_reserves_nothing() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);

    fleet.close(B, A);
    rights.on_change(&Change::Member(A), &fleet.state);

    assert!(rights.is_closed());
    rights.reserve(acme, 1).expect_err("closed");
    assert!(rights.entries_to_write(&fleet.state, 2).is_empty());
}

/// Guards against a graceful shutdown that strands rights, including those of a request that is granted late.
#[test]
fn a_graceful_shutdown_strands_no_rights() {
    let mut fleet = fleet();
    let acme = fleet.acme();
    let mut rights = with_first_rights(&mut fleet, A);
    let reservation = rights.reserve(acme, 450).expect("enough rights");
    rights.reserve(acme, 300).expect_err("more than is held");
    let pending = rights.entries_to_write(&fleet.state, 2);

    let first = rights.drain(&fleet.state);
    assert!(!rights.is_drained(&fleet.state));
    fleet.append(A, pending);
    for change in fleet.append(A, first) {
        rights.on_change(&change, &fleet.state);
    }
    rights.on_state(&fleet.state);
    rights.release(reservation);
    let second = rights.drain(&fleet.state);
    fleet.append(A, second);

    assert!(rights.is_drained(&fleet.state));
    let budget = fleet.state.ledger.budget(acme).expect("the budget exists");
    assert_eq!(budget.unallocated_tokens(), 100_000);
}

/// Guards against leaving while a request for rights is pending, whose grant no process would return.
#[test]
fn a_pending_request_delays_the_graceful_shutdown() {
    let mut fleet = fleet();
    let mut rights = SpendingRights::new(A);
    rights
        .reserve(fleet.acme(), 500)
        .expect_err("no rights yet");
    let pending = rights.entries_to_write(&fleet.state, 1);

    assert!(rights.drain(&fleet.state).is_empty());
    assert!(!rights.is_drained(&fleet.state));
    for change in fleet.append(A, pending) {
        rights.on_change(&change, &fleet.state);
    }
    let returns = rights.drain(&fleet.state);
    fleet.append(A, returns);

    assert!(rights.is_drained(&fleet.state));
}
