//! Exhaustive exploration of the ledger over the real step functions.
//!
//! Each test explores all schedules of three processes, two budgets and a bounded number of faults. The tests of broken
//! rules show that the invariants are able to fail; `docs/promises-mutants.md` lists them.

mod ledger_common;
mod ledger_world;
mod model_common;

use ledger_world::invariants::{ASKED, BACKED, CLOSURE, GRANTED, OFFSET, ONE_BILL};
use ledger_world::{LedgerWorld, Limits, Mutation};
use model_common::{catch, prove};

const NO_EVENTS: Limits = Limits {
    requests: 0,
    keys: 0,
    crashes: 0,
    closes: 0,
    finalizes: 0,
    transfers: 0,
    repeats: 0,
    losses: 0,
    copies: 0,
    stops: 0,
    lost_answers: 0,
    outages: 0,
    top_ups: 0,
    relays: 0,
    requesters: 0b111,
};

/// A process that crashes, or is only paused, and is closed and finalised.
const CLOSURE_EVENTS: Limits = Limits {
    requests: 1,
    keys: 2,
    crashes: 1,
    closes: 1,
    finalizes: 1,
    requesters: 0b111,
    ..NO_EVENTS
};

/// Rights that move between processes by messages which are lost, repeated and reordered.
const TRANSFER_EVENTS: Limits = Limits {
    requests: 1,
    keys: 1,
    transfers: 2,
    repeats: 1,
    losses: 1,
    requesters: 0b001,
    ..NO_EVENTS
};

/// Copies of bills whose origin is closed, and a retry of the same request elsewhere.
const COPY_EVENTS: Limits = Limits {
    requests: 2,
    keys: 1,
    closes: 1,
    copies: 1,
    requesters: 0b011,
    ..NO_EVENTS
};

/// A planned stop, some of whose rights another process holds, with an append whose answer is lost.
const STOP_EVENTS: Limits = Limits {
    stops: 1,
    transfers: 1,
    lost_answers: 1,
    ..NO_EVENTS
};

/// A planned stop of a process that still serves and bills.
const STOP_SERVING_EVENTS: Limits = Limits {
    requests: 1,
    keys: 2,
    stops: 1,
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
    requesters: 0b011,
    ..NO_EVENTS
};

/// Requests for rights on one budget by two processes, with relayed records.
const GRANT_EVENTS: Limits = Limits {
    requests: 3,
    keys: 2,
    relays: 1,
    requesters: 0b110,
    ..NO_EVENTS
};

fn sound(limits: Limits) -> LedgerWorld {
    LedgerWorld::stocked(limits, Mutation::None)
}

/// Guards against overspend after a crash, a closure of a paused process and the return of its rights.
#[test]
fn a_crash_or_a_closure_keeps_all_invariants() {
    prove("crash and closure", sound(CLOSURE_EVENTS));
}

/// Guards against rights that exist twice after a transfer.
#[test]
fn transfers_keep_all_invariants() {
    prove("transfers", sound(TRANSFER_EVENTS));
}

/// Guards against a second charge by a copy of a bill.
#[test]
fn copies_of_bills_keep_all_invariants() {
    prove("copies of bills", sound(COPY_EVENTS));
}

/// Guards against rights that are returned twice or spent after their return.
#[test]
fn a_planned_stop_keeps_all_invariants() {
    prove("planned stop", sound(STOP_EVENTS));
    prove("planned stop while serving", sound(STOP_SERVING_EVENTS));
}

/// Guards against rights that are granted twice to requests that waited for the log.
#[test]
fn an_outage_and_a_top_up_keep_all_invariants() {
    prove("outage and top-up", sound(OUTAGE_EVENTS));
}

/// Guards against a level that is granted again when its request is repeated.
#[test]
fn repeated_requests_keep_all_invariants() {
    prove("requests for rights", sound(GRANT_EVENTS));
}

/// Guards against faults that need more events than the tests above allow; takes minutes.
#[test]
#[ignore = "takes minutes; run with --release -- --ignored --nocapture"]
fn larger_worlds_keep_all_invariants() {
    let closure = Limits {
        requests: 2,
        keys: 2,
        ..CLOSURE_EVENTS
    };
    let transfer = Limits {
        requesters: 0b011,
        ..TRANSFER_EVENTS
    };
    let stop = Limits {
        requests: 2,
        ..STOP_SERVING_EVENTS
    };
    let outage = Limits {
        requests: 3,
        keys: 2,
        relays: 1,
        ..OUTAGE_EVENTS
    };
    prove("larger crash and closure", sound(closure));
    prove("larger transfers", sound(transfer));
    prove("larger planned stop", sound(stop));
    prove("larger outage and top-up", sound(outage));
}

/// Makes a test for each broken rule, so that no invariant passes only because it cannot fail.
macro_rules! caught {
    ($($test:ident: $mutation:ident in $limits:ident by $invariant:ident;)*) => {
        $(
            #[test]
            fn $test() {
                let world = LedgerWorld::stocked($limits, Mutation::$mutation);
                catch(stringify!($mutation), $invariant, world);
            }
        )*
    };
}

caught! {
    a_double_grant_is_caught: DoubleGrant in GRANT_EVENTS by GRANTED;
    a_level_that_is_not_cumulative_is_caught: GrantLevelNotCumulative in GRANT_EVENTS by ASKED;
    an_ignored_batch_seq_is_caught: BatchSeqIgnored in STOP_EVENTS by BACKED;
    a_close_without_seq_check_is_caught: CloseWithoutSeqCheck in CLOSURE_EVENTS by CLOSURE;
    a_finalize_while_live_is_caught: FinalizeWhileLive in CLOSURE_EVENTS by BACKED;
    a_return_counted_twice_is_caught: ReturnCountedTwice in STOP_EVENTS by BACKED;
    a_transfer_credited_twice_is_caught: TransferCreditedTwice in TRANSFER_EVENTS by BACKED;
    a_bill_that_is_not_deduplicated_is_caught: BillNotDeduplicated in COPY_EVENTS by ONE_BILL;
    a_recredit_for_a_charged_copy_is_caught: WitnessBillRecredited in COPY_EVENTS by BACKED;
    an_offset_that_is_not_checked_is_caught: OffsetNotChecked in GRANT_EVENTS by OFFSET;
}
