//! Stand-ins and scripts of the cases 13 and 14.
//!
//! `review-4 CASE RECORD` plays a case, writes what was sent, answered and run to the file RECORD, and exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption
//! is left out.

mod client;
mod deployment;
mod spoilt_ids;
mod worker;

use std::path::Path;

use spoilt_ids::Spoilt;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    std::process::exit(play(&arguments).unwrap_or(2));
}

fn play(arguments: &[String]) -> Option<i32> {
    let [_, case, record] = arguments else {
        return None;
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = deployment::Record::create(Path::new(record)).ok()?;
    let folder = std::env::temp_dir().join(format!("review-4-{}", std::process::id()));
    std::fs::create_dir_all(&folder).ok()?;
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    let is_broken = match case.as_str() {
        "spoilt-ids" => spoilt_ids::run(&folder, &record, has_trouble, Spoilt::Id),
        "spoilt-lengths" => spoilt_ids::run(&folder, &record, has_trouble, Spoilt::Length),
        _ => None,
    };
    let _ = std::fs::remove_dir_all(&folder);
    record.line(match is_broken {
        Some(true) => "the rule was broken",
        Some(false) => "the rule held",
        None => "the case could not run",
    });
    is_broken.map(i32::from)
}
