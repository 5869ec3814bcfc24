//! Tests of the rules for budgets, bills and claims by which log entries are folded.

mod ledger_common;

use ledger_common::{bill, contract, draw, grant, open, Fleet};
use monsoonfield::ids::{Fingerprint, IncarnationId, RequestKey};
use monsoonfield::intent::{Claim, ClaimEffect, Intents, RETAINED_CLAIMS};
use monsoonfield::ledger::{BillEffect, Ledger};
use monsoonfield::record::{Abandon, Batch, Entry, Intent, Leave, Outcome, Return};

const A: IncarnationId = IncarnationId(1);
const B: IncarnationId = IncarnationId(2);
const KEY: u128 = 9;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(1_000, 10_000, &[A.0, B.0]);
    fleet.append(A, [grant(100)]);
    fleet
}

/// Appends one bill and returns its effect.
fn append_bill(
    fleet: &mut Fleet,
    writer: IncarnationId,
    entry: monsoonfield::record::Bill,
) -> BillEffect {
    let changes = fleet.append(writer, [Entry::Bill(entry)]);
    match changes.first() {
        Some(monsoonfield::fleet_state::Change::Bill { effect, .. }) => *effect,
        other => panic!("expected the change of a folded bill, got {other:?}"),
    }
}

fn granted_tokens(fleet: &Fleet, id: IncarnationId) -> Option<u64> {
    let budget = fleet.state.ledger.budget(fleet.acme())?;
    budget.grants.get(&id).map(|grant| grant.granted_tokens)
}

fn intent(key: u128) -> Entry {
    Entry::Intent(Intent {
        key_high: 0,
        key_low: key as u64,
        fingerprint: 1,
    })
}

fn outcome(key: u128, status: u32) -> Entry {
    Entry::Outcome(Outcome {
        key_high: 0,
        key_low: key as u64,
        status,
    })
}

fn abandon(key: u128) -> Entry {
    Entry::Abandon(Abandon {
        key_high: 0,
        key_low: key as u64,
    })
}

fn return_rights(grant: IncarnationId, amount_tokens: u64) -> Entry {
    Entry::Return(Return {
        grant: grant.0,
        customer: "acme".into(),
        amount_tokens,
    })
}

/// Guards against a delayed copy of the first batch that reopens a finalised incarnation.
#[test]
fn a_delayed_first_batch_of_a_finalised_incarnation_is_dropped() {
    let mut fleet = fleet();
    let first = Batch::new(IncarnationId(3), 1, [open(), grant(50)]);
    fleet.append_batch(&first);
    fleet.close(A, IncarnationId(3));
    fleet.finalize(A, IncarnationId(3));

    let changes = fleet.append_batch(&first);

    assert!(changes.is_empty());
    assert!(fleet.state.members.get(IncarnationId(3)).is_none());
    assert_eq!(granted_tokens(&fleet, IncarnationId(3)), None);
}

/// Guards against a repeated operator batch that is reported as a rejected publication.
#[test]
fn a_repeated_operator_batch_is_dropped() {
    let mut fleet = fleet();
    let batch = Batch::new(IncarnationId(77), 1, [contract("other", 1, 1_000, 10_000)]);

    fleet.append_batch(&batch);
    fleet.append_batch(&batch);

    assert!(
        fleet.state.rejections.is_empty(),
        "{:?}",
        fleet.state.rejections
    );
}

/// Guards against a bill that draws twice on one grant and exceeds it in total.
#[test]
fn draws_on_one_grant_are_checked_in_total() {
    let mut fleet = fleet();

    let effect = append_bill(&mut fleet, A, bill(KEY, 1, &[draw(A, 60), draw(A, 60)]));

    assert_eq!(effect, BillEffect::Excessive);
    assert_eq!(fleet.billed_tokens(), 0);
}

/// Guards against an arithmetic overflow on an amount of a faulty writer, which would stop every process at its record.
#[test]
fn amounts_near_the_integer_limit_are_rejected() {
    let mut fleet = fleet();
    append_bill(&mut fleet, A, bill(KEY, 1, &[draw(A, 10)]));

    let effect = append_bill(&mut fleet, A, bill(KEY + 1, 1, &[draw(A, u64::MAX)]));
    fleet.append(A, [grant(u64::MAX), return_rights(A, u64::MAX)]);

    assert_eq!(effect, BillEffect::Excessive);
    assert_eq!(fleet.billed_tokens(), 10);
    assert_eq!(granted_tokens(&fleet, A), Some(1_000));
}

/// Guards against freeing rights that a process still holds because a return above the unbilled rights was capped.
#[test]
fn a_return_above_the_unbilled_rights_has_no_effect() {
    let mut fleet = fleet();

    fleet.append(A, [return_rights(A, 101)]);
    fleet.append(A, [return_rights(B, 1)]);
    assert_eq!(granted_tokens(&fleet, A), Some(100));

    fleet.append(A, [return_rights(A, 100)]);
    assert_eq!(granted_tokens(&fleet, A), Some(0));
}

/// Guards against a return after which the same cumulative request is granted again.
#[test]
fn a_returned_level_is_not_granted_again() {
    let mut fleet = fleet();

    fleet.append(A, [return_rights(A, 100)]);
    fleet.append(A, [grant(100)]);

    assert_eq!(granted_tokens(&fleet, A), Some(0));
}

/// Guards against a bill that is not charged at all because one of its grants was finalised.
#[test]
fn only_the_draws_on_finalised_grants_are_dropped() {
    let mut fleet = fleet();
    fleet.append(B, [grant(100)]);
    fleet.close(B, A);
    fleet.finalize(B, A);

    let first = append_bill(&mut fleet, B, bill(KEY, 1, &[draw(A, 10), draw(B, 20)]));
    let second = append_bill(&mut fleet, B, bill(KEY, 1, &[draw(B, 30)]));

    assert_eq!(first, BillEffect::PartlyLate);
    assert_eq!(second, BillEffect::Duplicate);
    assert_eq!(fleet.billed_tokens(), 20);
    assert_eq!(fleet.state.late_bills, 1);
}

/// Guards against a request that is never charged because its first bill came after the finalisation.
#[test]
fn a_late_bill_does_not_use_up_the_key() {
    let mut fleet = fleet();
    fleet.append(B, [grant(100)]);
    fleet.close(B, A);
    fleet.finalize(B, A);

    let late = append_bill(&mut fleet, B, bill(KEY, 1, &[draw(A, 10)]));
    let retried = append_bill(&mut fleet, B, bill(KEY, 1, &[draw(B, 30)]));

    assert_eq!((late, retried), (BillEffect::Late, BillEffect::Counted));
    assert_eq!(fleet.billed_tokens(), 30);
}

/// Guards against the loss of a crashed router's bill, and against a second charge if that router was only paused.
#[test]
fn a_peer_bills_for_a_closed_incarnation() {
    let mut fleet = fleet();
    fleet.close(B, A);

    let by_peer = append_bill(&mut fleet, B, bill(KEY, 1, &[draw(A, 40)]));
    let by_origin = append_bill(&mut fleet, A, bill(KEY, 1, &[draw(A, 40)]));
    fleet.finalize(B, A);

    assert_eq!(by_peer, BillEffect::Counted);
    assert_eq!(by_origin, BillEffect::Duplicate);
    assert_eq!(fleet.billed_tokens(), 40);
    let budget = fleet
        .state
        .ledger
        .budget(fleet.acme())
        .expect("the budget exists");
    assert_eq!(budget.unallocated_tokens(), 960);
}

/// Guards against a key that is reused with another body and treated as a retry.
#[test]
fn a_key_with_another_fingerprint_is_reported() {
    let mut fleet = fleet();
    append_bill(&mut fleet, A, bill(KEY, 1, &[draw(A, 10)]));

    let effect = append_bill(&mut fleet, A, bill(KEY, 2, &[draw(A, 10)]));

    assert_eq!(effect, BillEffect::KeyReused);
    assert_eq!(fleet.billed_tokens(), 10);
}

/// Guards against grants to an ended process, which no process could return.
#[test]
fn an_ended_incarnation_gets_neither_grants_nor_claims() {
    let mut fleet = fleet();
    fleet.close(B, A);
    fleet.append(B, [Entry::Leave(Leave {})]);

    fleet.append(A, [grant(200), intent(KEY)]);
    fleet.append(B, [grant(200), intent(KEY)]);

    assert_eq!(granted_tokens(&fleet, A), Some(100));
    assert_eq!(granted_tokens(&fleet, B), None);
    assert_eq!(fleet.state.intents.get(RequestKey(KEY)), None);
}

/// Guards against an abandon that releases a call that ran, or a claim of another incarnation.
#[test]
fn a_late_abandon_releases_only_an_own_open_claim() {
    let mut fleet = fleet();
    fleet.append(A, [intent(KEY), outcome(KEY, 201)]);
    fleet.append(A, [abandon(KEY)]);
    fleet.append(A, [intent(KEY + 1)]);
    fleet.append(B, [abandon(KEY + 1)]);
    fleet.append(A, [intent(KEY + 2)]);
    fleet.close(B, A);
    fleet.append(A, [abandon(KEY + 2)]);

    let claim = |key| fleet.state.intents.get(RequestKey(key));
    assert!(matches!(claim(KEY), Some(Claim::Ran { status: 201, .. })));
    assert!(matches!(
        claim(KEY + 1),
        Some(Claim::Open { holder: A, .. })
    ));
    assert_eq!(claim(KEY + 2), None);
}

/// Guards against a status that is truncated to 16 bits and reported as another one.
#[test]
fn an_outcome_without_an_http_status_leaves_the_claim_open() {
    let mut fleet = fleet();

    fleet.append(A, [intent(KEY), outcome(KEY, 65_536 + 200)]);

    let claim = fleet.state.intents.get(RequestKey(KEY));
    assert!(matches!(claim, Some(Claim::Open { holder: A, .. })));
}

/// Guards against claims that are retained without bound, and against the eviction of one that may still be dispatched.
#[test]
fn old_claims_are_evicted_unless_their_holder_may_dispatch() {
    let mut intents = Intents::default();
    let is_member = |id| id == A;
    intents.claim(RequestKey(0), A, Fingerprint(1), is_member);
    intents.claim(RequestKey(1), B, Fingerprint(1), is_member);
    intents.claim(RequestKey(2), A, Fingerprint(1), is_member);
    intents.complete(RequestKey(2), A, 200);

    for key in 0..RETAINED_CLAIMS as u128 + 10 {
        let key = RequestKey(10 + key);
        intents.claim(key, B, Fingerprint(1), is_member);
    }

    assert!(intents.get(RequestKey(0)).is_some());
    assert_eq!(intents.get(RequestKey(1)), None);
    assert_eq!(intents.get(RequestKey(2)), None);
    assert_eq!(intents.claims_in_order().count(), RETAINED_CLAIMS);
}

/// Guards against a claim that is evicted early because an abandoned claim on its key was older.
#[test]
fn a_claim_does_not_inherit_the_age_of_an_abandoned_one() {
    let mut intents = Intents::default();
    let is_member = |_| false;
    intents.claim(RequestKey(0), A, Fingerprint(1), is_member);
    assert_eq!(intents.abandon(RequestKey(0), A), ClaimEffect::Abandoned);
    for key in 1..RETAINED_CLAIMS as u128 {
        intents.claim(RequestKey(key), B, Fingerprint(1), is_member);
    }
    intents.claim(RequestKey(0), A, Fingerprint(1), is_member);

    intents.claim(RequestKey(u128::MAX), B, Fingerprint(1), is_member);

    assert!(intents.get(RequestKey(0)).is_some());
    assert_eq!(intents.get(RequestKey(1)), None);
}

/// Guards against a restored ledger that differs from the original.
#[test]
fn a_restored_ledger_is_equal() {
    let mut fleet = fleet();
    append_bill(&mut fleet, A, bill(KEY, 1, &[draw(A, 10)]));
    append_bill(&mut fleet, A, bill(KEY + 1, 2, &[draw(A, 10)]));
    fleet.append(A, [intent(KEY), intent(KEY + 1), outcome(KEY, 200)]);
    let (ledger, intents) = (&fleet.state.ledger, &fleet.state.intents);

    let budgets = ledger.budgets().map(|(key, budget)| (key, budget.clone()));
    let restored = Ledger::from_parts(budgets, ledger.billed_in_order());
    let restored_intents = Intents::from_parts(intents.claims_in_order());

    assert_eq!(restored.budget(fleet.acme()), ledger.budget(fleet.acme()));
    assert!(restored.billed_in_order().eq(ledger.billed_in_order()));
    assert!(restored_intents
        .claims_in_order()
        .eq(intents.claims_in_order()));
}
