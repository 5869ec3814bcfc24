//! Exhaustive exploration of the model of calls that may run at most once, which runs the real step functions.
//!
//! Each test explores all schedules of three processes and a bounded number of faults. A paused process is modelled as
//! one that folds nothing; `docs/promises-mutants.md` lists the broken rules.

mod intent_model;
mod ledger_common;
mod model_common;

use intent_model::{IntentModel, Limits, Mutation, NOT_RUN, ONE_DISPATCH, OUTCOME};
use model_common::{assert_invariants_hold, assert_violates};

const NO_EVENTS: Limits = Limits {
    attempts: 0,
    keys: 1,
    cancels: 0,
    unsent: 0,
    crashes: 0,
    closes: 0,
    delayed: 0,
    outages: 0,
    attempt_mask: 0b111,
};

/// Attempts at one key by three processes.
const RACE_EVENTS: Limits = Limits {
    attempts: 3,
    keys: 1,
    ..NO_EVENTS
};

/// Attempts at two keys.
const TWO_KEY_EVENTS: Limits = Limits {
    attempts: 2,
    keys: 2,
    cancels: 1,
    ..NO_EVENTS
};

/// Attempts that are cancelled and retried, with an append whose answer is lost.
const RETRY_EVENTS: Limits = Limits {
    attempts: 3,
    cancels: 1,
    delayed: 1,
    attempt_mask: 0b011,
    ..NO_EVENTS
};

/// Dispatches that fail before any byte is sent.
const UNSENT_EVENTS: Limits = Limits {
    attempts: 2,
    unsent: 1,
    delayed: 1,
    ..NO_EVENTS
};

/// A holder that crashes and is closed.
const CRASH_EVENTS: Limits = Limits {
    attempts: 2,
    crashes: 1,
    closes: 1,
    attempt_mask: 0b011,
    ..NO_EVENTS
};

/// A holder that is paused, cancels its attempt and is closed.
const PAUSE_EVENTS: Limits = Limits {
    attempts: 2,
    cancels: 1,
    closes: 1,
    attempt_mask: 0b011,
    ..NO_EVENTS
};

/// An unavailable log, while attempts are cancelled and retried.
const OUTAGE_EVENTS: Limits = Limits {
    attempts: 2,
    cancels: 1,
    outages: 1,
    ..NO_EVENTS
};

fn unmutated(limits: Limits) -> IntentModel {
    IntentModel::new(limits, Mutation::None)
}

/// Guards against two routers that run the same call.
#[test]
fn concurrent_attempts_keep_all_invariants() {
    assert_invariants_hold("concurrent attempts", unmutated(RACE_EVENTS));
    assert_invariants_hold("two keys", unmutated(TWO_KEY_EVENTS));
}

/// Guards against a retry that runs a call again or gets a false `not_run`.
#[test]
fn retries_keep_all_invariants() {
    assert_invariants_hold("retries", unmutated(RETRY_EVENTS));
    assert_invariants_hold("calls that were not sent", unmutated(UNSENT_EVENTS));
}

/// Guards against a second run of a call whose router crashed or was closed while it was paused.
#[test]
fn a_crash_or_a_closure_keeps_all_invariants() {
    assert_invariants_hold("crash and closure", unmutated(CRASH_EVENTS));
    assert_invariants_hold("pause and closure", unmutated(PAUSE_EVENTS));
}

/// Guards against a call that is refused as `not_run` and runs once the log is available again.
#[test]
fn an_outage_keeps_all_invariants() {
    assert_invariants_hold("outage", unmutated(OUTAGE_EVENTS));
}

/// Guards against faults that need more events than the tests above allow; takes minutes.
#[test]
#[ignore = "takes minutes; run with --release -- --ignored --nocapture"]
fn larger_models_keep_all_invariants() {
    let race = Limits {
        attempts: 3,
        keys: 2,
        ..NO_EVENTS
    };
    let closure = Limits {
        attempts: 2,
        cancels: 1,
        crashes: 1,
        closes: 1,
        ..NO_EVENTS
    };
    let outage = Limits {
        delayed: 1,
        unsent: 1,
        ..OUTAGE_EVENTS
    };
    assert_invariants_hold("larger race", unmutated(race));
    assert_invariants_hold("larger crash and closure", unmutated(closure));
    assert_invariants_hold("larger outage", unmutated(outage));
}

/// Defines a test for each broken rule, so that no invariant passes only because it cannot fail.
macro_rules! mutation_tests {
    ($($test:ident: $mutation:ident in $limits:ident by $invariant:ident;)*) => {
        $(
            #[test]
            fn $test() {
                let model = IntentModel::new($limits, Mutation::$mutation);
                assert_violates(stringify!($mutation), $invariant, model);
            }
        )*
    };
}

mutation_tests! {
    a_dispatch_before_the_claim_is_caught: DispatchBeforeClaim in RACE_EVENTS by ONE_DISPATCH;
    an_abandon_after_dispatch_is_caught: AbandonAfterDispatch in RACE_EVENTS by ONE_DISPATCH;
    not_run_after_send_is_caught: NotRunAfterSend in RETRY_EVENTS by NOT_RUN;
    a_retry_before_the_abandon_is_caught: RetryBeforeAbandon in RETRY_EVENTS by ONE_DISPATCH;
    a_later_claim_that_wins_is_caught: LaterClaimWins in RACE_EVENTS by ONE_DISPATCH;
    an_ignored_batch_seq_is_caught: BatchSeqIgnored in RETRY_EVENTS by ONE_DISPATCH;
    an_outcome_before_the_answer_is_caught: OutcomeBeforeAnswer in RACE_EVENTS by OUTCOME;
}
