//! Tests of the command line, run as a process.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const BINARY: &str = env!("CARGO_BIN_EXE_monsoonfield");

fn run(arguments: &[&str]) -> Output {
    Command::new(BINARY)
        .args(arguments)
        .output()
        .expect("the binary runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn config(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("config")
        .join(name)
}

fn text(path: &Path) -> &str {
    path.to_str().expect("the path is UTF-8")
}

/// Returns the router settings files of a deployment, sorted by name.
fn routers(deployment: &str) -> Vec<PathBuf> {
    let directory = config(deployment).join("routers");
    let entries = std::fs::read_dir(&directory).expect("the directory exists");
    let mut paths: Vec<_> = entries
        .map(|entry| entry.expect("the entry is readable").path())
        .collect();
    paths.sort();
    paths
}

/// Guards against example files that no longer pass `check`, because operators copy them.
#[test]
fn both_example_deployments_are_valid() {
    for deployment in ["tapak", "mtkvari"] {
        let contracts = config(deployment).join("contracts.yaml");
        let configuration = config(deployment).join("configuration.yaml");
        let routers = routers(deployment);
        let mut arguments = vec!["check", "--contracts", text(&contracts)];
        arguments.extend(["--configuration", text(&configuration)]);
        for path in &routers {
            arguments.extend(["--settings", text(path)]);
        }

        let output = run(&arguments);

        assert_eq!(stderr(&output), "", "{deployment}");
        assert_eq!(output.status.code(), Some(0), "{deployment}");
        assert_eq!(routers.len(), 9, "{deployment}");
        assert_eq!(stdout(&output).lines().count(), 11, "{deployment}");
    }
}

/// Guards against two routers that are configured with the same VM name or address.
#[test]
fn routers_with_shared_ids_are_rejected() {
    let path = routers("tapak").remove(0);

    let output = run(&[
        "check",
        "--settings",
        text(&path),
        "--settings",
        text(&path),
    ]);

    assert_eq!(output.status.code(), Some(2));
    assert_eq!(stderr(&output).lines().count(), 4, "{}", stderr(&output));
    assert!(stderr(&output).contains("vm: \"kul-1-ingress-1\" is not allowed"));
}

/// Guards against wrong exit codes, which scripts rely on, and against errors on standard output.
#[test]
fn invalid_input_gives_exit_code_2_and_errors_on_standard_error() {
    let contracts = config("tapak/contracts.yaml");
    let cases: [&[&str]; 9] = [
        &[],
        &["serve"],
        &["router"],
        &["router", "--settings", "no/such/file.yaml"],
        &["check"],
        &["check", "--settings", text(&contracts)],
        &[
            "publish",
            "contract",
            "--file",
            text(&contracts),
            "--log",
            "127.0.0.1:9",
        ],
        &["status", "--admin", "localhost"],
        &["explain", "request", "not-a-key", "--admin", "127.0.0.1:9"],
    ];
    for arguments in cases {
        let output = run(arguments);

        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert_eq!(stdout(&output), "", "{arguments:?}");
        assert_ne!(stderr(&output), "", "{arguments:?}");
    }
}

/// Guards against problems that are missing from the JSON output of `check`.
#[test]
fn check_reports_problems_as_json() {
    let contracts = config("tapak/contracts.yaml");

    let output = run(&[
        "check",
        "--configuration",
        text(&contracts),
        "--output",
        "json",
    ]);

    let report: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the report is JSON");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(report["valid"], serde_json::json!([]));
    let problems = report["problems"].as_array().expect("a list of problems");
    assert_eq!(problems.len(), 3, "{problems:?}");
}

/// Guards against commands whose help text is missing or does not explain the exit codes.
#[test]
fn every_command_has_help() {
    let cases: [&[&str]; 9] = [
        &["router"],
        &["check"],
        &["publish", "contract"],
        &["publish", "configuration"],
        &["publish", "rollout"],
        &["status"],
        &["explain", "request"],
        &["explain", "budget"],
        &["explain", "rollout"],
    ];
    for command in cases {
        let output = run(&[command, &["--help"]].concat());

        assert_eq!(output.status.code(), Some(0), "{command:?}");
        assert!(
            stdout(&output).contains("Exit codes: 0 success"),
            "{command:?}"
        );
    }
}

/// Guards against a command that waits forever for an address where nothing listens.
#[test]
fn an_address_that_does_not_answer_gives_exit_code_1() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the socket is bound")
        .to_string();
    drop(listener);

    let output = run(&["status", "--admin", &address, "--timeout-ms", "2000"]);

    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    assert_ne!(stderr(&output), "");
}

/// Guards against refusal codes and settings that the operator documentation does not cover.
#[test]
fn the_operator_pages_cover_every_code_and_setting() {
    let read = |name: &str| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
        std::fs::read_to_string(path).expect("the file is readable")
    };
    let refusals = read("docs/operations/refusals.md");
    let settings = read("docs/operations/settings.md");
    let source = read("src/refusal.rs");
    let codes: Vec<_> = source
        .lines()
        .filter_map(|line| line.trim().strip_prefix("Self::")?.split_once("=> \""))
        .filter_map(|(_, rest)| rest.split_once('"'))
        .map(|(code, _)| code)
        .collect();
    assert!(codes.len() >= 20, "found only {codes:?}");

    for code in codes {
        assert!(
            refusals.contains(&format!("| `{code}` |")),
            "no row for {code}"
        );
    }
    let limits = serde_json::to_value(monsoonfield::settings::Limits::default()).expect("JSON");
    let timing = serde_json::to_value(monsoonfield::settings::Timing::default()).expect("JSON");
    for section in [limits, timing] {
        for (key, value) in section.as_object().expect("an object") {
            let row = format!("| `{key}` | {value} |");
            assert!(settings.contains(&row), "no row {row}");
        }
    }
}
