//! Replays of a short recorded day against the outcomes that must always hold.
//!
//! Its budgets are small against single requests, so that requests above the window occur; the refusal targets are
//! measured by the `replay` example with a full day.

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

/// Guards against a trace format or a generator that drifts away from recorded traces.
#[test]
fn the_recorded_trace_is_read_and_generated_alike() {
    let recorded = Trace::from_text(RECORDED).expect("a valid trace");

    assert_eq!(recorded, Trace::generate(SEED, ROUTERS, SCALE));
    assert_eq!(recorded.to_text(), RECORDED);
}

/// Guards against a malformed trace that is replayed in part.
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
fn a_recorded_day_keeps_the_guarantees_under_each_fault() {
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
