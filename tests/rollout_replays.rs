//! Replays of complete rollouts with nine routers: shorter and with more requests per second than those of the example
//! `rollout_experiment`.

#[path = "../examples/rollout_experiment/baseline.rs"]
mod baseline;
// The example also uses items that the tests do not need.
#[allow(dead_code)]
#[path = "../examples/rollout_experiment/replay.rs"]
mod replay;
#[allow(dead_code)]
#[path = "../examples/rollout_experiment/scenario.rs"]
mod scenario;

use replay::{run, Policy, ReplayResult};
use scenario::{FaultKind, Scale};

/// Ten times the requests of the experiment in a seventh of its time.
const SCALE: Scale = Scale {
    requests_per_second: 1_000.0,
    deadline_ms: 720_000,
    after_ms: 240_000,
};

/// Maximum share of the new version before there is enough evidence, in percent.
const MAX_EARLY_SHARE_PERCENT: f64 = 2.0;

/// Maximum time from the rollback of a version to the last request that it still serves.
const MAX_ROLLBACK_LAG_MS: u64 = 2_000;

fn run_and_check(kind: FaultKind, seed: u64) -> ReplayResult {
    let result = run(kind, Policy::Sequential, SCALE, seed);
    let name = kind.name();
    let early = result.early_new_requests as f64 / result.early_requests as f64 * 100.0;
    assert!(
        early <= MAX_EARLY_SHARE_PERCENT,
        "{name}, seed {seed}: {early:.2}% new before the evidence, limit {MAX_EARLY_SHARE_PERCENT}%"
    );
    assert!(
        result.rollback_lag_ms <= MAX_ROLLBACK_LAG_MS,
        "{name}, seed {seed}: served {} ms after the rollback, limit {MAX_ROLLBACK_LAG_MS} ms",
        result.rollback_lag_ms
    );
    assert!(
        result.is_correct,
        "{name}, seed {seed}: wrong routes rolled back:\n{}",
        result.decisions.join("\n")
    );
    result
}

/// Guards against a bad version that reaches a large share or is not rolled back.
#[test]
fn a_version_that_is_bad_at_once_is_rolled_back() {
    for seed in 1..=2 {
        run_and_check(FaultKind::Immediate, seed);
    }
}

/// Guards against monitoring that ends with the first evidence.
#[test]
fn a_version_that_turns_bad_later_is_rolled_back() {
    run_and_check(FaultKind::Delayed, 1);
}

/// Guards against a fault that does not appear at the initial share.
#[test]
fn a_version_that_is_bad_above_a_load_is_rolled_back() {
    run_and_check(FaultKind::AboveLoad, 1);
}

/// Guards against a slow version that never fails.
#[test]
fn a_slow_version_is_rolled_back() {
    for seed in 1..=2 {
        run_and_check(FaultKind::Slow, seed);
    }
}

/// Guards against a good version that is rolled back, or moves late, because of noise that affects both versions.
#[test]
fn a_good_version_moves_in_time_despite_noise() {
    assert!(run_and_check(FaultKind::NoFault, 1).is_kept);
}

/// Guards against results that depend on anything but the seed.
#[test]
fn a_seed_always_gives_the_same_result() {
    let first = run(FaultKind::Slow, Policy::Threshold, SCALE, 3);
    let second = run(FaultKind::Slow, Policy::Threshold, SCALE, 3);

    assert_eq!(first, second);
}
