//! Tests of calls that may not be repeated.

mod ledger_common;

use ledger_common::Fleet;
use monsoonfield::ids::{Fingerprint, IncarnationId, RequestKey};
use monsoonfield::intent::{Answer, Begin, Calls, Step};
use monsoonfield::record::Entry;
use monsoonfield::refusal::{ExecutionStatus, Refusal};

const A: IncarnationId = IncarnationId(1);
const B: IncarnationId = IncarnationId(2);
const KEY: RequestKey = RequestKey(9);
const PRINT: Fingerprint = Fingerprint(1);

fn fleet() -> Fleet {
    Fleet::new(1_000, 10_000, &[A.0, B.0])
}

fn begin(calls: &mut Calls, fleet: &Fleet) -> Entry {
    match calls.begin(KEY, PRINT, &fleet.state, true) {
        Begin::Claim(entry) => entry,
        Begin::Answer(answer) => panic!("answered {answer:?}"),
    }
}

fn answer(calls: &mut Calls, fleet: &Fleet, fingerprint: Fingerprint, is_up: bool) -> Answer {
    match calls.begin(KEY, fingerprint, &fleet.state, is_up) {
        Begin::Claim(_) => panic!("claimed"),
        Begin::Answer(answer) => answer,
    }
}

/// Appends an entry of `writer` and returns what the calls of `own` do next.
fn fold(fleet: &mut Fleet, writer: IncarnationId, entry: Entry, calls: &mut Calls) -> Option<Step> {
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

    let won = fold(&mut fleet, A, claim_a, &mut a);
    let lost = fold(&mut fleet, B, claim_b, &mut b);

    assert_eq!(won, Some(Step::Dispatch(KEY)));
    let earlier = Answer::Refused(Refusal::EarlierAttempt);
    assert_eq!(lost, Some(Step::Answer(KEY, earlier)));
    assert_eq!(answer(&mut a, &fleet, PRINT, true), earlier);
}

/// Guards against a retry that runs a call again although its outcome is known.
#[test]
fn a_retry_gets_the_outcome() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim = begin(&mut a, &fleet);
    fold(&mut fleet, A, claim, &mut a);

    let outcome = a.finish(KEY, 201).expect("dispatched");
    let before_the_fold = answer(&mut a, &fleet, PRINT, true);
    fold(&mut fleet, A, outcome, &mut a);

    let expected = Answer::Outcome { status: 201 };
    assert_eq!(before_the_fold, expected);
    assert_eq!(answer(&mut a, &fleet, PRINT, true), expected);
    assert_eq!(answer(&mut b, &fleet, PRINT, false), expected);
    assert!(a.is_empty());
}

/// Guards against `not_run` for a call that was sent.
#[test]
fn a_dispatched_call_cannot_be_given_up() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    fold(&mut fleet, A, claim, &mut a);

    assert_eq!(a.give_up(KEY), None);
    a.fail(KEY);

    let again = answer(&mut a, &fleet, PRINT, true);
    assert_eq!(again, Answer::Refused(Refusal::EarlierAttempt));
    assert_eq!(
        Refusal::EarlierAttempt.execution_status(),
        ExecutionStatus::MayHaveRun
    );
}

/// Guards against a dispatch after the caller was told `not_run`, when the intent is folded late.
#[test]
fn a_call_that_was_given_up_is_never_dispatched() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    let abandon = a.give_up(KEY).expect("not dispatched");

    let step = fold(&mut fleet, A, claim, &mut a);
    let during = answer(&mut a, &fleet, PRINT, true);
    fold(&mut fleet, A, abandon, &mut a);

    assert_eq!(step, None);
    assert_eq!(during, Answer::Refused(Refusal::LogUnavailable));
    assert_eq!(during_ran(during), ExecutionStatus::NotRun);
    let claim = begin(&mut a, &fleet);
    let step = fold(&mut fleet, A, claim, &mut a);
    assert_eq!(step, Some(Step::Dispatch(KEY)));
}

fn during_ran(answer: Answer) -> ExecutionStatus {
    match answer {
        Answer::Refused(refusal) => refusal.execution_status(),
        Answer::Outcome { .. } => ExecutionStatus::MayHaveRun,
    }
}

/// Guards against two dispatches when a retry takes the earlier intent for its own, while its abandon follows.
#[test]
fn a_retry_waits_for_the_abandon_before_it() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim = begin(&mut a, &fleet);
    let abandon = a.give_up(KEY).expect("not dispatched");

    let retry = answer(&mut a, &fleet, PRINT, true);
    let step_a = fold(&mut fleet, A, claim, &mut a);
    fold(&mut fleet, A, abandon, &mut a);
    let claim_b = begin(&mut b, &fleet);
    let step_b = fold(&mut fleet, B, claim_b, &mut b);

    assert_eq!(retry, Answer::Refused(Refusal::LogUnavailable));
    assert_eq!(step_a, None);
    assert_eq!(step_b, Some(Step::Dispatch(KEY)));
}

/// Guards against blocking a key for ever because a connection could not be made.
#[test]
fn a_call_that_was_not_sent_is_released() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    fold(&mut fleet, A, claim, &mut a);

    let abandon = a.not_sent(KEY).expect("dispatched");
    fold(&mut fleet, A, abandon, &mut a);

    assert_eq!(fleet.state.intents.get(KEY), None);
    assert!(a.is_empty());
}

/// Guards against a claim that cannot be decided while the log is unavailable.
#[test]
fn without_the_log_a_call_is_refused_as_not_run() {
    let fleet = fleet();
    let mut a = Calls::new(A);

    let refused = answer(&mut a, &fleet, PRINT, false);

    assert_eq!(refused, Answer::Refused(Refusal::LogUnavailable));
    assert!(a.is_empty());
}

/// Guards against running another body under a key that is in use.
#[test]
fn a_key_with_another_fingerprint_is_refused() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    fold(&mut fleet, A, claim, &mut a);

    let reused = answer(&mut a, &fleet, Fingerprint(2), true);

    assert_eq!(reused, Answer::Refused(Refusal::KeyReused));
}

/// Guards against answering with the outcome of another body that won the claim.
#[test]
fn an_attempt_that_lost_to_another_body_is_refused() {
    let mut fleet = fleet();
    let (mut a, mut b) = (Calls::new(A), Calls::new(B));
    let claim_a = begin(&mut a, &fleet);
    let Begin::Claim(claim_b) = b.begin(KEY, Fingerprint(2), &fleet.state, true) else {
        panic!("the key is free");
    };
    fold(&mut fleet, A, claim_a, &mut a);
    let outcome = a.finish(KEY, 201).expect("dispatched");
    fold(&mut fleet, A, outcome, &mut a);

    let step = fold(&mut fleet, B, claim_b, &mut b);

    let reused = Answer::Refused(Refusal::KeyReused);
    assert_eq!(step, Some(Step::Answer(KEY, reused)));
}

/// Guards against a dispatch by a process that has started a new incarnation.
#[test]
fn a_closed_incarnation_dispatches_nothing() {
    let mut fleet = fleet();
    let mut a = Calls::new(A);
    let claim = begin(&mut a, &fleet);
    fleet.close(B, A);

    let waiting = a.close(IncarnationId(3));
    let step = fold(&mut fleet, A, claim, &mut a);

    assert_eq!(waiting, [KEY]);
    assert_eq!(step, None);
    assert_eq!(fleet.state.intents.get(KEY), None);
}
