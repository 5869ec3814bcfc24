//! Stand-ins of the platform, its store, workers and clients for the scripts in `review/`.
//!
//! `standin CASE FOLDER` plays a case and writes `FOLDER/record.txt`. Exit code: 0 the rule held, 1 it was broken, 2 the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

#![allow(dead_code)]

mod client;
mod config;
mod fleet;
mod http;
mod large_bodies;
mod record;
mod restored_kill;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    Unable(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(Path::new(&folder));
    let scratch = scratch_folder();
    record.say(&format!("case {case}, with{} the disruption", if has_trouble { "" } else { "out" }));
    let play = || match case.as_str() {
        "restored-kill-most" => restored_kill::run_most(&scratch, &record, has_trouble),
        "restored-kill-all" => restored_kill::run_all(&scratch, &record, has_trouble),
        "outage-kill-all" => restored_kill::run_outage(&scratch, &record, has_trouble),
        "large-bodies" => large_bodies::run(&scratch, &record, has_trouble),
        other => Verdict::Unable(format!("there is no case {other}")),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let verdict = played.unwrap_or_else(|_| Verdict::Unable("a stand-in failed".into()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let (text, code) = match &verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Unable(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.say(&text);
    ExitCode::from(code)
}

/// Creates a temporary folder for the settings and logs of the processes; `KEEP=1` keeps it.
fn scratch_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("monsoonfield-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary directory is writable");
    folder
}
