//! Stand-ins and checks of the cases 9 and 10, and of the findings in `review/more-2`.
//!
//! `standins-3 CASE RECORD` plays a case in the root of the repository, without its disruption if `TROUBLE` is 0. It
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod http;
mod places;
mod poison;
mod refused;
mod rig;
mod rollout;
mod store;
mod worker;

use std::process::ExitCode;
use std::sync::Arc;

use poison::Variant;
use rig::{Outcome, Recorder};
use rollout::Badness;

fn play(case: &str, record: &Arc<Recorder>, has_trouble: bool) -> Outcome {
    match case {
        "9" => {
            let variant = Variant {
                parts: 4,
                position: 1,
                writes_before_crash: true,
            };
            poison::play(record, variant, has_trouble)
        }
        "10" => refused::play(record, has_trouble),
        "many-parts" => {
            let variant = Variant {
                parts: 70,
                position: 66,
                writes_before_crash: false,
            };
            poison::play(record, variant, has_trouble)
        }
        "bad-statuses" => rollout::play(record, Badness::Status, has_trouble),
        "slow-starts" => rollout::play(record, Badness::SlowStart, has_trouble),
        "slow-bodies" => places::play(record, has_trouble),
        other => Err(format!("there is no case {other}")),
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standins-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Recorder::new(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, with its disruption: {has_trouble}"));
    match play(case, &record, has_trouble) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
