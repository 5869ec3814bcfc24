//! Exhaustive exploration of the ledger model, which runs the real step functions.
//!
//! Each test explores all schedules of three processes, two budgets and a bounded number of faults. The mutation tests
//! show that the invariants are able to fail; `docs/promises-mutants.md` lists them.

mod ledger_common;
mod ledger_model;
mod model_common;

use ledger_model::invariants::{ASKED, BACKED, CLOSURE, GRANTED, OFFSET, ONE_BILL};
use ledger_model::{LedgerModel, Limits, Mutation};
use model_common::{assert_invariants_hold, assert_violates};

const NO_EVENTS: Limits = Limits {
    requests: 0,
    keys: 0,
    crashes: 0,
    closes: 0,
    finalizes: 0,
    transfers: 0,
    duplicates: 0,
    losses: 0,
    copies: 0,
    shutdowns: 0,
    lost_answers: 0,
    outages: 0,
    top_ups: 0,
    relays: 0,
    request_mask: 0b111,
};

/// A process that crashes, or is only paused, and is closed and finalised.
const CLOSURE_EVENTS: Limits = Limits {
    requests: 1,
    keys: 2,
    crashes: 1,
    closes: 1,
    finalizes: 1,
    request_mask: 0b111,
    ..NO_EVENTS
};

/// Transfers of rights between processes in messages that are lost, duplicated and reordered.
const TRANSFER_EVENTS: Limits = Limits {
    requests: 1,
    keys: 1,
    transfers: 2,
    duplicates: 1,
    losses: 1,
    request_mask: 0b001,
    ..NO_EVENTS
};

/// Copies of bills whose origin is closed, and a retry of the same request elsewhere.
const COPY_EVENTS: Limits = Limits {
    requests: 2,
    keys: 1,
    closes: 1,
    copies: 1,
    request_mask: 0b011,
    ..NO_EVENTS
};

/// A graceful shutdown of a process whose rights are partly held by another one, with an append whose answer is lost.
const SHUTDOWN_EVENTS: Limits = Limits {
    shutdowns: 1,
    transfers: 1,
    lost_answers: 1,
    ..NO_EVENTS
};

/// A graceful shutdown of a process that still serves and bills.
const SHUTDOWN_SERVING_EVENTS: Limits = Limits {
    requests: 1,
    keys: 2,
    shutdowns: 1,
    lost_answers: 1,
    ..NO_EVENTS
};

/// Requests for more rights during an outage of the log and a top-up.
const OUTAGE_EVENTS: Limits = Limits {
    requests: 2,
    keys: 1,
    outages: 1,
    top_ups: 1,
    lost_answers: 1,
    request_mask: 0b011,
    ..NO_EVENTS
};

/// Requests for rights on one budget by two processes, with relayed records.
const GRANT_EVENTS: Limits = Limits {
    requests: 3,
    keys: 2,
    relays: 1,
    request_mask: 0b110,
    ..NO_EVENTS
};

fn unmutated(limits: Limits) -> LedgerModel {
    LedgerModel::with_rights(limits, Mutation::None)
}

/// Guards against overspending after a crash, a closure of a paused process and the return of its rights.
#[test]
fn a_crash_or_a_closure_keeps_all_invariants() {
    assert_invariants_hold("crash and closure", unmutated(CLOSURE_EVENTS));
}

/// Guards against rights that exist twice after a transfer.
#[test]
fn transfers_keep_all_invariants() {
    assert_invariants_hold("transfers", unmutated(TRANSFER_EVENTS));
}

/// Guards against a second charge by a copy of a bill.
#[test]
fn copies_of_bills_keep_all_invariants() {
    assert_invariants_hold("copies of bills", unmutated(COPY_EVENTS));
}

/// Guards against rights that are returned twice or spent after their return.
#[test]
fn a_graceful_shutdown_keeps_all_invariants() {
    assert_invariants_hold("graceful shutdown", unmutated(SHUTDOWN_EVENTS));
    assert_invariants_hold("shutdown while serving", unmutated(SHUTDOWN_SERVING_EVENTS));
}

/// Guards against rights that are granted twice to requests that waited for the log.
#[test]
fn an_outage_and_a_top_up_keep_all_invariants() {
    assert_invariants_hold("outage and top-up", unmutated(OUTAGE_EVENTS));
}

/// Guards against a level that is granted again when its request is repeated.
#[test]
fn repeated_requests_keep_all_invariants() {
    assert_invariants_hold("requests for rights", unmutated(GRANT_EVENTS));
}

/// Guards against faults that need more events than the tests above allow; takes minutes.
#[test]
#[ignore = "takes minutes; run with --release -- --ignored --nocapture"]
fn larger_models_keep_all_invariants() {
    let closure = Limits {
        requests: 2,
        keys: 2,
        ..CLOSURE_EVENTS
    };
    let transfer = Limits {
        request_mask: 0b011,
        ..TRANSFER_EVENTS
    };
    let shutdown = Limits {
        requests: 2,
        ..SHUTDOWN_SERVING_EVENTS
    };
    let outage = Limits {
        requests: 3,
        keys: 2,
        relays: 1,
        ..OUTAGE_EVENTS
    };
    assert_invariants_hold("larger crash and closure", unmutated(closure));
    assert_invariants_hold("larger transfers", unmutated(transfer));
    assert_invariants_hold("larger graceful shutdown", unmutated(shutdown));
    assert_invariants_hold("larger outage and top-up", unmutated(outage));
}

/// Defines a test for each broken rule, so that no invariant passes only because it cannot fail.
macro_rules! mutation_tests {
    ($($test:ident: $mutation:ident in $limits:ident by $invariant:ident;)*) => {
        $(
            #[test]
            fn $test() {
                let model = LedgerModel::with_rights($limits, Mutation::$mutation);
                assert_violates(stringify!($mutation), $invariant, model);
            }
        )*
    };
}

mutation_tests! {
    a_double_grant_is_caught: DoubleGrant in GRANT_EVENTS by GRANTED;
    a_level_that_is_not_cumulative_is_caught: GrantLevelNotCumulative in GRANT_EVENTS by ASKED;
    an_ignored_batch_seq_is_caught: BatchSeqIgnored in SHUTDOWN_EVENTS by BACKED;
    a_close_without_seq_check_is_caught: CloseWithoutSeqCheck in CLOSURE_EVENTS by CLOSURE;
    a_finalize_while_live_is_caught: FinalizeWhileLive in CLOSURE_EVENTS by BACKED;
    a_return_counted_twice_is_caught: ReturnCountedTwice in SHUTDOWN_EVENTS by BACKED;
    a_transfer_credited_twice_is_caught: TransferCreditedTwice in TRANSFER_EVENTS by BACKED;
    a_bill_that_is_not_deduplicated_is_caught: BillNotDeduplicated in COPY_EVENTS by ONE_BILL;
    a_refund_for_a_charged_copy_is_caught: PeerCopyRefunded in COPY_EVENTS by BACKED;
    an_offset_that_is_not_checked_is_caught: OffsetNotChecked in GRANT_EVENTS by OFFSET;
}
