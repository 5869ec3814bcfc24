//! Replays a day of traffic and checks the ledger against its targets.
//!
//! `cargo run --release --example replay -- --seed 1` generates a day of traffic for 9 routers in 3 data centres and 10
//! customers, and replays it with each fault through the production code and through two simpler designs.
//! `--trace FILE` replays a recorded trace; `--write-trace FILE --scale N` writes a generated one with 1/N of the
//! requests.
//!
//! A refusal is false if the budget covered the request. Columns: `false, %` counts false refusals while at least a
//! tenth of the budget remained, including payments refused because the log was unreachable; `hour, %` counts those due
//! to missing rights during the hour of the fault; `late` counts false refusals with less than a tenth remaining;
//! `claims` counts payments refused before dispatch; `unknown` counts payments that may have run; `lost` counts
//! requests that got no outcome or were served without a bill; `stranded%` is the largest share of a prepaid total that
//! a killed router held; `stop left` is the number of tokens that remain with the routers after a graceful shutdown of
//! all of them; `transfer%` is the largest share of a prepaid total that was lost in transfers to killed routers.

#![allow(unreachable_pub)]

#[path = "replay_parts/baseline.rs"]
mod baseline;
#[path = "replay_parts/report.rs"]
mod report;
#[path = "replay_parts/scenario.rs"]
mod scenario;
#[path = "replay_parts/simulation.rs"]
mod simulation;
#[path = "replay_parts/trace.rs"]
mod trace;

use std::error::Error;

use clap::{Arg, Command};

use baseline::Baseline;
use report::Report;
use scenario::Scenario;
use simulation::ROUTERS;
use trace::Trace;

/// Targets from docs/design.md, section 7.
const MAX_HEALTHY_FALSE_PERCENT: f64 = 0.1;
const MAX_FAULT_FALSE_PERCENT: f64 = 1.0;
const MAX_STRANDED_PPM: u64 = 10_000;

fn main() -> Result<(), Box<dyn Error>> {
    let options = command().get_matches();
    let seed = *options.get_one::<u64>("seed").expect("has a default");
    let scale = *options.get_one::<u32>("scale").expect("has a default");
    let trace = match options.get_one::<String>("trace") {
        Some(path) => Trace::from_text(&std::fs::read_to_string(path)?)?,
        None => Trace::generate(seed, ROUTERS, scale),
    };
    if let Some(path) = options.get_one::<String>("write-trace") {
        std::fs::write(path, trace.to_text())?;
        return Ok(());
    }
    println!(
        "seed {seed}, {} requests, {} customers, {ROUTERS} routers in 3 data centres",
        trace.requests.len(),
        trace.customers.len()
    );
    if replay_all(&trace, seed) {
        Ok(())
    } else {
        Err("at least one target was missed".into())
    }
}

fn command() -> Command {
    Command::new("replay")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(clap::value_parser!(u64)),
        )
        .arg(
            Arg::new("scale")
                .long("scale")
                .default_value("1")
                .value_parser(clap::value_parser!(u32).range(1..)),
        )
        .arg(Arg::new("trace").long("trace"))
        .arg(Arg::new("write-trace").long("write-trace"))
}

/// Replays all scenarios with all designs; returns whether the ledger met all targets.
fn replay_all(trace: &Trace, seed: u64) -> bool {
    println!(
        "{:<33} {:<20} {:>7} {:>9} {:>8} {:>8} {:>7} {:>9} {:>7} {:>7} {:>6} {:>9} {:>9} {:>9} {:>9}",
        "scenario",
        "design",
        "served",
        "false, %",
        "hour, %",
        "false",
        "late",
        "exhausted",
        "claims",
        "unknown",
        "lost",
        "stranded%",
        "stop left",
        "transfer%",
        "appends"
    );
    let mut is_met = true;
    for scenario in Scenario::ALL {
        let ledger = simulation::replay(trace, scenario, seed);
        print_row(scenario, "ledger", &ledger);
        is_met &= meets_targets(scenario, &ledger);
        for (design, name) in [
            (Baseline::StaticSplit, "equal static split"),
            (Baseline::LogPerRequest, "log for each request"),
        ] {
            let report = baseline::replay(trace, scenario, design, ROUTERS);
            print_row(scenario, name, &report);
        }
    }
    is_met
}

fn print_row(scenario: Scenario, design: &str, report: &Report) {
    println!(
        "{:<33} {design:<20} {:>7} {:>9.4} {:>8.4} {:>8} {:>7} {:>9} {:>7} {:>7} {:>6} {:>9.4} {:>9} {:>9.4} {:>9}",
        scenario.name(),
        report.served,
        report.false_percent(),
        report.fault_percent(),
        report.false_in_scope,
        report.false_out_of_scope,
        report.exhausted,
        report.claims_refused,
        report.claims_unknown,
        report.lost,
        report.stranded_ppm as f64 / 10_000.0,
        report.stop_stranded_tokens,
        report.transfer_lost_ppm as f64 / 10_000.0,
        report.appends
    );
}

fn meets_targets(scenario: Scenario, report: &Report) -> bool {
    let limit_percent = if scenario == Scenario::Healthy {
        MAX_HEALTHY_FALSE_PERCENT
    } else {
        MAX_FAULT_FALSE_PERCENT
    };
    let checks = [
        ("overspend 0", report.overspent_tokens == 0),
        ("lost requests 0", report.lost == 0),
        ("double bills 0", report.double_bills == 0),
        ("double dispatches 0", report.double_dispatches == 0),
        ("false refusals", report.false_percent() <= limit_percent),
        (
            "stranded by a crash",
            report.stranded_ppm <= MAX_STRANDED_PPM,
        ),
        ("stranded by a stop", report.stop_stranded_tokens == 0),
    ];
    for (target, is_met) in checks {
        if !is_met {
            println!("MISSED: {}: {target}: {report:?}", scenario.name());
        }
    }
    checks.iter().all(|(_, is_met)| *is_met)
}
