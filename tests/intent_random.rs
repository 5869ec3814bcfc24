//! Long random schedules over calls that may not be repeated.
//!
//! They go deeper than the exhaustive runs of `model_intent`. On a failure `arbtest` prints the seed; set it with
//! `.seed(..)` to repeat the run.

mod intent_world;
mod ledger_common;
mod model_common;

use std::time::Duration;

use intent_world::{IntentWorld, Limits, Mutation};
use model_common::wander;

const STEPS: usize = 300;

const MANY_EVENTS: Limits = Limits {
    attempts: 60,
    keys: 2,
    give_ups: 30,
    not_sent: 10,
    crashes: 1,
    closes: 1,
    delayed: 20,
    outages: 10,
    takers: 0b111,
};

/// Guards against faults that need more events than an exhaustive run can hold.
#[test]
fn long_schedules_keep_all_invariants() {
    arbtest::arbtest(|u| {
        let limits = Limits {
            crashes: u.int_in_range(0..=1)?,
            keys: u.int_in_range(1..=2)?,
            ..MANY_EVENTS
        };
        wander(IntentWorld::new(limits, Mutation::None), STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(10));
}

/// Guards against random schedules that are too weak to find anything.
#[test]
#[should_panic(expected = "at most one dispatch per key")]
fn long_schedules_find_a_broken_rule() {
    arbtest::arbtest(|u| {
        let world = IntentWorld::new(MANY_EVENTS, Mutation::AbandonAfterDispatch);
        wander(world, STEPS, u)
    })
    .size_min(2_000)
    .size_max(20_000)
    .budget(Duration::from_secs(30));
}
