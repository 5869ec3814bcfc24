//! Exhaustive exploration of calls that may not be repeated, over the real step functions.
//!
//! Each test explores all schedules of three processes and a bounded number of faults. A paused process is one that does
//! not fold; `docs/promises-mutants.md` lists the broken rules.

mod intent_world;
mod ledger_common;
mod model_common;

use intent_world::{IntentWorld, Limits, Mutation, NOT_RUN, ONE_DISPATCH, OUTCOME};
use model_common::{catch, prove};

const NO_EVENTS: Limits = Limits {
    attempts: 0,
    keys: 1,
    give_ups: 0,
    not_sent: 0,
    crashes: 0,
    closes: 0,
    delayed: 0,
    outages: 0,
    takers: 0b111,
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
    give_ups: 1,
    ..NO_EVENTS
};

/// Attempts that are given up and repeated, with an append whose answer is lost.
const RETRY_EVENTS: Limits = Limits {
    attempts: 3,
    give_ups: 1,
    delayed: 1,
    takers: 0b011,
    ..NO_EVENTS
};

/// Dispatches that fail before a byte is sent.
const NOT_SENT_EVENTS: Limits = Limits {
    attempts: 2,
    not_sent: 1,
    delayed: 1,
    ..NO_EVENTS
};

/// A holder that crashes and is closed.
const CRASH_EVENTS: Limits = Limits {
    attempts: 2,
    crashes: 1,
    closes: 1,
    takers: 0b011,
    ..NO_EVENTS
};

/// A holder that is paused, gives up and is closed.
const PAUSE_EVENTS: Limits = Limits {
    attempts: 2,
    give_ups: 1,
    closes: 1,
    takers: 0b011,
    ..NO_EVENTS
};

/// An unavailable log, while attempts are given up and repeated.
const OUTAGE_EVENTS: Limits = Limits {
    attempts: 2,
    give_ups: 1,
    outages: 1,
    ..NO_EVENTS
};

fn sound(limits: Limits) -> IntentWorld {
    IntentWorld::new(limits, Mutation::None)
}

/// Guards against two routers that run the same call.
#[test]
fn concurrent_attempts_keep_all_invariants() {
    prove("concurrent attempts", sound(RACE_EVENTS));
    prove("two keys", sound(TWO_KEY_EVENTS));
}

/// Guards against a retry that runs a call again or is told a false `not_run`.
#[test]
fn retries_keep_all_invariants() {
    prove("retries", sound(RETRY_EVENTS));
    prove("calls that were not sent", sound(NOT_SENT_EVENTS));
}

/// Guards against a second run of a call whose router crashed or was closed while it was paused.
#[test]
fn a_crash_or_a_closure_keeps_all_invariants() {
    prove("crash and closure", sound(CRASH_EVENTS));
    prove("pause and closure", sound(PAUSE_EVENTS));
}

/// Guards against a call that is refused as `not_run` and runs once the log is back.
#[test]
fn an_outage_keeps_all_invariants() {
    prove("outage", sound(OUTAGE_EVENTS));
}

/// Guards against faults that need more events than the tests above allow; takes minutes.
#[test]
#[ignore = "takes minutes; run with --release -- --ignored --nocapture"]
fn larger_worlds_keep_all_invariants() {
    let race = Limits {
        attempts: 3,
        keys: 2,
        ..NO_EVENTS
    };
    let closure = Limits {
        attempts: 2,
        give_ups: 1,
        crashes: 1,
        closes: 1,
        ..NO_EVENTS
    };
    let outage = Limits {
        delayed: 1,
        not_sent: 1,
        ..OUTAGE_EVENTS
    };
    prove("larger race", sound(race));
    prove("larger crash and closure", sound(closure));
    prove("larger outage", sound(outage));
}

/// Makes a test for each broken rule, so that no invariant passes only because it cannot fail.
macro_rules! caught {
    ($($test:ident: $mutation:ident in $limits:ident by $invariant:ident;)*) => {
        $(
            #[test]
            fn $test() {
                let world = IntentWorld::new($limits, Mutation::$mutation);
                catch(stringify!($mutation), $invariant, world);
            }
        )*
    };
}

caught! {
    a_dispatch_before_the_claim_is_caught: DispatchBeforeClaim in RACE_EVENTS by ONE_DISPATCH;
    an_abandon_after_dispatch_is_caught: AbandonAfterDispatch in RACE_EVENTS by ONE_DISPATCH;
    not_run_after_send_is_caught: NotRunAfterSend in RETRY_EVENTS by NOT_RUN;
    a_retry_before_the_abandon_is_caught: RetryBeforeAbandon in RETRY_EVENTS by ONE_DISPATCH;
    a_later_claim_that_wins_is_caught: LaterClaimWins in RACE_EVENTS by ONE_DISPATCH;
    an_ignored_batch_seq_is_caught: BatchSeqIgnored in RETRY_EVENTS by ONE_DISPATCH;
    an_outcome_before_the_answer_is_caught: OutcomeBeforeAnswer in RACE_EVENTS by OUTCOME;
}
