//! Long random schedules over the ledger.
//!
//! They go deeper than the exhaustive runs of `model_ledger`. On a failure `arbtest` prints the seed; set it with
//! `.seed(..)` to repeat the run.

mod ledger_common;
mod ledger_world;
mod model_common;

use std::time::Duration;

use ledger_world::{LedgerWorld, Limits, Mutation};
use model_common::wander;

const STEPS: usize = 400;

const MANY_EVENTS: Limits = Limits {
    requests: 60,
    keys: 8,
    crashes: 1,
    closes: 6,
    finalizes: 6,
    transfers: 20,
    repeats: 10,
    losses: 5,
    copies: 20,
    stops: 0,
    lost_answers: 10,
    outages: 10,
    top_ups: 1,
    relays: 20,
    requesters: 0b111,
};

/// Guards against faults that need more events than an exhaustive run can hold.
#[test]
fn long_schedules_keep_all_invariants() {
    arbtest::arbtest(|u| {
        let limits = Limits {
            crashes: u.int_in_range(0..=1)?,
            stops: u.int_in_range(0..=1)?,
            closes: u.int_in_range(0..=6)?,
            ..MANY_EVENTS
        };
        wander(LedgerWorld::new(limits, Mutation::None), STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(10));
}

/// Guards against random schedules that are too weak to find anything.
#[test]
#[should_panic(expected = "rights never above the unbilled grant")]
fn long_schedules_find_a_broken_rule() {
    arbtest::arbtest(|u| {
        let world = LedgerWorld::new(MANY_EVENTS, Mutation::TransferCreditedTwice);
        wander(world, STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(30));
}
