//! Long random schedules of the model of calls that may run at most once.
//!
//! They contain more steps than the exhaustive runs of `model_intent`. On a failure `arbtest` prints the seed; pass it
//! to `.seed(..)` to reproduce the run.

mod intent_model;
mod ledger_common;
mod model_common;

use std::time::Duration;

use intent_model::{IntentModel, Limits, Mutation};
use model_common::random_walk;

const STEPS: usize = 300;

const MANY_EVENTS: Limits = Limits {
    attempts: 60,
    keys: 2,
    cancels: 30,
    unsent: 10,
    crashes: 1,
    closes: 1,
    delayed: 20,
    outages: 10,
    attempt_mask: 0b111,
};

/// Guards against faults that need more events than an exhaustive run can cover.
#[test]
fn long_schedules_keep_all_invariants() {
    arbtest::arbtest(|u| {
        let limits = Limits {
            crashes: u.int_in_range(0..=1)?,
            keys: u.int_in_range(1..=2)?,
            ..MANY_EVENTS
        };
        random_walk(IntentModel::new(limits, Mutation::None), STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(10));
}

/// Guards against random schedules that cannot find a violation.
#[test]
#[should_panic(expected = "at most one dispatch per key")]
fn long_schedules_find_a_broken_rule() {
    arbtest::arbtest(|u| {
        let model = IntentModel::new(MANY_EVENTS, Mutation::AbandonAfterDispatch);
        random_walk(model, STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(30));
}
