//! Tests of calls that may run at most once.

mod ledger_common;

use ledger_common::Fleet;
use monsoonfield::ids::{Fingerprint, IncarnationId, RequestKey};
use monsoonfield::intent::{Answer, AttemptStart, Calls, NextAction};
use monsoonfield::record::Entry;
use monsoonfield::refusal::{ExecutionStatus, Refusal};

const A: IncarnationId = IncarnationId(1);
const B: IncarnationId = IncarnationId(2);
const KEY: RequestKey = RequestKey(9);
const FINGERPRINT: Fingerprint = Fingerprint(1);

fn fleet() -> Fleet {
    Fleet::new(1_000, 10_000, &[A.0, B.0])
}

fn begin(calls: &mut Calls, fleet: &Fleet) -> Entry {
    match calls.begin(KEY, FINGERPRINT, &fleet.state, true) {
        AttemptStart::Claim(entry) => entry,
        AttemptStart::Answer(answer) => panic!("expected a claim, got {answer:?}"),
    }
}

fn answer(
    calls: &mut Calls,
    fleet: &Fleet,
    fingerprint: Fingerprint,
    is_log_available: bool,
) -> Answer {
    match calls.begin(KEY, fingerprint, &fleet.state, is_log_available) {
        AttemptStart::Claim(_) => panic!("expected an answer, got a claim"),
        AttemptStart::Answer(answer) => answer,
    }
}

/// Appends and folds an entry of `writer`, and returns the next action of `calls`.
fn append(
    fleet: &mut Fleet,
    writer: IncarnationId,
    entry: Entry,
    calls: &mut Calls,
) -> Option<NextAction> {
    let changes = fleet.append(writer, [entry]);
    changes
        .iter()
        .find_map(|change| calls.on_change(change, &fleet.state))
}

/// Guards against a dispatch before the claim is won, and against a second one.
#[test]
fn a_call_is_dispatched_once_when_its_claim_is_won() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim_a = begin(&mut a, &fleet);
    let claim_b = begin(&mut b, &fleet);

    let won = append(&mut fleet, A, claim_a, &mut a);
    let lost = append(&mut fleet, B, claim_b, &mut b);

    assert_eq!(won, Some(NextAction::Dispatch(KEY)));
    let earlier = Answer::Refused(Refusal::EarlierAttempt);
    assert_eq!(lost, Some(NextAction::Answer(KEY, earlier)));
    assert_eq!(answer(&mut a, &fleet, FINGERPRINT, true), earlier);
}

/// Guards against a retry that runs a call again after its outcome is known.
#[test]
fn a_retry_gets_the_outcome() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim = begin(&mut a, &fleet);
    append(&mut fleet, A, claim, &mut a);

    let outcome = a.finish(KEY, 201).expect("it was dispatched");
    let before_the_fold = answer(&mut a, &fleet, FINGERPRINT, true);
    append(&mut fleet, A, outcome, &mut a);

    let expected = Answer::Outcome { status: 201 };
    assert_eq!(before_the_fold, expected);
    assert_eq!(answer(&mut a, &fleet, FINGERPRINT, true), expected);
    assert_eq!(answer(&mut b, &fleet, FINGERPRINT, false), expected);
    assert!(a.is_empty());
}

/// Guards against `not_run` for a call that was sent.
#[test]
fn a_dispatched_call_cannot_be_cancelled() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    append(&mut fleet, A, claim, &mut a);

    assert_eq!(a.cancel(KEY), None);
    a.fail(KEY);

    let again = answer(&mut a, &fleet, FINGERPRINT, true);
    assert_eq!(again, Answer::Refused(Refusal::EarlierAttempt));
    assert_eq!(
        Refusal::EarlierAttempt.execution_status(),
        ExecutionStatus::MayHaveRun
    );
}

/// Guards against a dispatch after the caller has received `not_run`, when the intent is folded late.
#[test]
fn a_cancelled_call_is_never_dispatched() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    let abandon = a.cancel(KEY).expect("it was not dispatched");

    let action = append(&mut fleet, A, claim, &mut a);
    let during = answer(&mut a, &fleet, FINGERPRINT, true);
    append(&mut fleet, A, abandon, &mut a);

    assert_eq!(action, None);
    assert_eq!(during, Answer::Refused(Refusal::LogUnavailable));
    assert_eq!(execution_status_of(during), ExecutionStatus::NotRun);
    let claim = begin(&mut a, &fleet);
    let action = append(&mut fleet, A, claim, &mut a);
    assert_eq!(action, Some(NextAction::Dispatch(KEY)));
}

fn execution_status_of(answer: Answer) -> ExecutionStatus {
    match answer {
        Answer::Refused(refusal) => refusal.execution_status(),
        Answer::Outcome { .. } => ExecutionStatus::MayHaveRun,
    }
}

/// Guards against two dispatches when a retry takes the earlier intent, whose abandon follows, for its own.
#[test]
fn a_retry_is_refused_until_the_abandon_is_folded() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim = begin(&mut a, &fleet);
    let abandon = a.cancel(KEY).expect("it was not dispatched");

    let retry = answer(&mut a, &fleet, FINGERPRINT, true);
    let action_a = append(&mut fleet, A, claim, &mut a);
    append(&mut fleet, A, abandon, &mut a);
    let claim_b = begin(&mut b, &fleet);
    let action_b = append(&mut fleet, B, claim_b, &mut b);

    assert_eq!(retry, Answer::Refused(Refusal::LogUnavailable));
    assert_eq!(action_a, None);
    assert_eq!(action_b, Some(NextAction::Dispatch(KEY)));
}

/// Guards against a key that is blocked for ever because a connection could not be made.
#[test]
fn a_call_that_was_not_sent_is_released() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    append(&mut fleet, A, claim, &mut a);

    let abandon = a.cancel_unsent(KEY).expect("it was dispatched");
    append(&mut fleet, A, abandon, &mut a);

    assert_eq!(fleet.state.intents.get(KEY), None);
    assert!(a.is_empty());
}

/// Guards against an attempt that waits for a claim while the log is unavailable.
#[test]
fn without_the_log_a_call_is_refused_as_not_run() {
    let fleet = fleet();
    let mut a = Calls::new(A);

    let refused = answer(&mut a, &fleet, FINGERPRINT, false);

    assert_eq!(refused, Answer::Refused(Refusal::LogUnavailable));
    assert!(a.is_empty());
}

/// Guards against a call with another body under a key that is in use.
#[test]
fn a_key_with_another_fingerprint_is_refused() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    append(&mut fleet, A, claim, &mut a);

    let reused = answer(&mut a, &fleet, Fingerprint(2), true);

    assert_eq!(reused, Answer::Refused(Refusal::KeyReused));
}

/// Guards against an answer with the outcome of another body that won the claim.
#[test]
fn an_attempt_that_lost_to_another_body_is_refused() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim_a = begin(&mut a, &fleet);
    let AttemptStart::Claim(claim_b) = b.begin(KEY, Fingerprint(2), &fleet.state, true) else {
        panic!("the key is free");
    };
    append(&mut fleet, A, claim_a, &mut a);
    let outcome = a.finish(KEY, 201).expect("it was dispatched");
    append(&mut fleet, A, outcome, &mut a);

    let action = append(&mut fleet, B, claim_b, &mut b);

    let reused = Answer::Refused(Refusal::KeyReused);
    assert_eq!(action, Some(NextAction::Answer(KEY, reused)));
}

/// Guards against a dispatch by a process that has started a new incarnation.
#[test]
fn a_closed_incarnation_dispatches_nothing() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    fleet.close(B, A);

    let waiting = a.close(IncarnationId(3));
    let action = append(&mut fleet, A, claim, &mut a);

    assert_eq!(waiting, [KEY]);
    assert_eq!(action, None);
    assert_eq!(fleet.state.intents.get(KEY), None);
}
