//! Runs one case of the second review: `rig CASE RECORD`. Exit code 0: the rule held, 1: it was broken, 2: the case could
//! not run. With `TROUBLE=0` the case does the same without the disruption.

include!("rig.rs");
include!("case_6.rs");
include!("case_7.rs");
include!("case_8.rs");
include!("case_10.rs");

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let is_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Recorder::new(path);
    // A stand-in that fails, for example because no port is free, is no result.
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "6" => case_6(&record, is_trouble),
        "7" => case_7(&record, is_trouble),
        "8" => case_8(&record, is_trouble),
        "unknown-clients" => case_10(&record, is_trouble),
        _ => None,
    });
    let held = played.unwrap_or(None);
    let (text, code) = match held {
        Some(true) => ("the rule held", 0),
        Some(false) => ("the rule was broken", 1),
        None => ("the case could not run", 2),
    };
    record.line(format!("trouble: {is_trouble}; {text}"));
    println!("{text}");
    ExitCode::from(code)
}
