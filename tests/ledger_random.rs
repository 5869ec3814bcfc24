//! Long random schedules of the ledger model.
//!
//! They contain more steps than the exhaustive runs of `model_ledger`. On a failure `arbtest` prints the seed; pass it
//! to `.seed(..)` to reproduce the run.

mod ledger_common;
mod ledger_model;
mod model_common;

use std::time::Duration;

use ledger_model::{LedgerModel, Limits, Mutation};
use model_common::random_walk;

const STEPS: usize = 400;

const MANY_EVENTS: Limits = Limits {
    requests: 60,
    keys: 8,
    crashes: 1,
    closes: 6,
    finalizes: 6,
    transfers: 20,
    duplicates: 10,
    losses: 5,
    copies: 20,
    shutdowns: 0,
    lost_answers: 10,
    outages: 10,
    top_ups: 1,
    relays: 20,
    request_mask: 0b111,
};

/// Guards against faults that need more events than an exhaustive run can cover.
#[test]
fn long_schedules_keep_all_invariants() {
    arbtest::arbtest(|u| {
        let limits = Limits {
            crashes: u.int_in_range(0..=1)?,
            shutdowns: u.int_in_range(0..=1)?,
            closes: u.int_in_range(0..=6)?,
            ..MANY_EVENTS
        };
        random_walk(LedgerModel::new(limits, Mutation::None), STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(10));
}

/// Guards against random schedules that cannot find a violation.
#[test]
#[should_panic(expected = "rights never exceed the unbilled grant")]
fn long_schedules_find_a_broken_rule() {
    arbtest::arbtest(|u| {
        let model = LedgerModel::new(MANY_EVENTS, Mutation::TransferCreditedTwice);
        random_walk(model, STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(30));
}
