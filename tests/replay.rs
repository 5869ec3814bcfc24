//! Replays a short recorded day and checks the guarantees that must always hold.
//!
//! The budgets are small compared to single requests, so that some requests exceed the window. The targets for refusals
//! are measured with a full day by the `replay` example.

#![allow(dead_code, unreachable_pub)]

#[path = "../examples/replay_parts/report.rs"]
mod report;
#[path = "../examples/replay_parts/scenario.rs"]
mod scenario;
#[path = "../examples/replay_parts/simulation.rs"]
mod simulation;
#[path = "../examples/replay_parts/trace.rs"]
mod trace;

use scenario::Scenario;
use simulation::{replay, ROUTERS};
use trace::Trace;

const RECORDED: &str = include_str!("../examples/traces/short.trace");
const SEED: u64 = 1;
const SCALE: u32 = 200;

/// Guards against changes to the trace format or the generator that break recorded traces.
#[test]
fn the_recorded_trace_equals_the_generated_one() {
    let recorded = Trace::from_text(RECORDED).expect("a valid trace");

    assert_eq!(recorded, Trace::generate(SEED, ROUTERS, SCALE));
    assert_eq!(recorded.to_text(), RECORDED);
}

/// Guards against replaying part of a malformed trace.
#[test]
fn a_malformed_trace_is_rejected() {
    for text in [
        "",
        "monsoonfield-trace 2\n",
        "monsoonfield-trace 1\n1 2 3\n",
    ] {
        assert!(Trace::from_text(text).is_err(), "{text:?}");
    }
}

/// Guards against overspend, lost requests, double bills and double dispatches under each fault.
#[test]
fn the_guarantees_hold_under_each_fault() {
    let trace = Trace::from_text(RECORDED).expect("a valid trace");
    for scenario in Scenario::ALL {
        let report = replay(&trace, scenario, SEED);

        let name = scenario.name();
        assert_eq!(report.overspent_tokens, 0, "{name}: {report:?}");
        assert_eq!(report.lost, 0, "{name}: {report:?}");
        assert_eq!(report.double_bills, 0, "{name}: {report:?}");
        assert_eq!(report.double_dispatches, 0, "{name}: {report:?}");
        assert_eq!(report.stop_stranded_tokens, 0, "{name}: {report:?}");
        assert!(report.served > 300, "{name}: {report:?}");
    }
}
