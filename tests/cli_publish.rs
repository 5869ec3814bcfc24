//! Tests of the `publish` command against the platform stub.

mod common;

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

use common::PlatformStub;
use serde_json::{json, Value};

const BINARY: &str = env!("CARGO_BIN_EXE_monsoonfield");

/// A platform stub, and a directory for files that is removed at the end of a test.
struct Fixture {
    directory: PathBuf,
    platform: PlatformStub,
}

impl Fixture {
    fn new(name: &str) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("the directory can be made");
        Self {
            directory,
            platform: PlatformStub::start(),
        }
    }

    fn contract_file(&self, prepaid_total_tokens: u64) -> String {
        let path = self.directory.join(format!("{prepaid_total_tokens}.yaml"));
        let contract = json!({
            "customer": "team-1",
            "api_key_sha256": [],
            "prepaid_total_tokens": prepaid_total_tokens,
            "priority": "normal",
            "response_time_limit_ms": 60_000,
            "models": [],
        });
        let mut file = std::fs::File::create(&path).expect("the file can be made");
        write!(file, "{}", json!({ "contracts": [contract] })).expect("the file is written");
        path.to_str().expect("the path is UTF-8").to_owned()
    }

    fn publish_contract(&self, total_tokens: u64, replaces: u64) -> Output {
        let file = self.contract_file(total_tokens);
        self.publish(&[
            "contract",
            "--file",
            &file,
            "--replaces",
            &replaces.to_string(),
        ])
    }

    fn publish(&self, arguments: &[&str]) -> Output {
        Command::new(BINARY)
            .arg("publish")
            .args(arguments)
            .args(["--log", &self.platform.address, "--output", "json"])
            .output()
            .expect("the binary runs")
    }

    fn records(&self) -> usize {
        self.platform.read("fleet").records.len()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn report(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

/// Guards against reporting a change as accepted before the log has decided, and against not reporting that another
/// operator's change took effect first.
#[test]
fn the_second_change_to_a_revision_is_rejected() {
    let fixture = Fixture::new("race");

    let first = fixture.publish_contract(1_000, 0);
    let second = fixture.publish_contract(2_000, 0);
    let third = fixture.publish_contract(3_000, 1);
    let lower = fixture.publish_contract(2_500, 2);

    assert_eq!(first.status.code(), Some(0), "{first:?}");
    assert_eq!(report(&first)["offset"], 0);
    assert_eq!(second.status.code(), Some(3), "{second:?}");
    assert_eq!(
        report(&second)["reason"],
        "revision 1 replaces 0, but revision 1 is in force"
    );
    assert_eq!(third.status.code(), Some(0), "{third:?}");
    assert_eq!(report(&third)["revision"], 2);
    assert_eq!(lower.status.code(), Some(3), "{lower:?}");
    let reason = report(&lower)["reason"].to_string();
    assert!(reason.contains("the total is cumulative"), "{reason}");
}

/// Guards against a change that is reported as failed or takes effect twice when the response to its append is lost.
#[test]
fn a_lost_append_response_does_not_hide_the_outcome() {
    let fixture = Fixture::new("lost");
    fixture
        .platform
        .set_faults(json!({ "drop_append_responses": 1 }));

    let output = fixture.publish_contract(1_000, 0);

    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(report(&output)["accepted"], true);
    assert_eq!(report(&output)["appends"], 1);
    assert_eq!(fixture.records(), 1);
}

/// Guards against a command that hangs or reports success while the log is unavailable.
#[test]
fn an_unavailable_log_gives_exit_code_1() {
    let fixture = Fixture::new("unavailable");
    for mode in ["unavailable", "stalled"] {
        fixture.platform.set_faults(json!({ "log": mode }));

        let file = fixture.contract_file(1_000);
        let output = fixture.publish(&[
            "contract",
            "--file",
            &file,
            "--replaces",
            "0",
            "--timeout-ms",
            "500",
        ]);

        assert_eq!(output.status.code(), Some(1), "{mode}: {output:?}");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(errors.contains("nothing was published"), "{mode}: {errors}");
    }
    fixture.platform.set_faults(json!({ "log": "available" }));
    assert_eq!(fixture.records(), 0);
}

/// Guards against publishing a rollout whose deadline equals its start or whose versions are the same, and against
/// rejecting a valid one.
#[test]
fn a_rollout_is_validated_and_published() {
    let fixture = Fixture::new("rollout");
    let rollout = |deadline: &str, to: &str| {
        fixture.publish(&[
            "rollout",
            "--id",
            "move-1",
            "--model",
            "quote-small",
            "--from",
            "quote-small-1",
            "--to",
            to,
            "--start-ms",
            "1000",
            "--deadline-ms",
            deadline,
            "--replaces",
            "0",
        ])
    };

    let zero_length = rollout("1000", "quote-small-2");
    let same = rollout("2000", "quote-small-1");
    let valid = rollout("2000", "quote-small-2");

    assert_eq!(zero_length.status.code(), Some(2), "{zero_length:?}");
    assert_eq!(same.status.code(), Some(2), "{same:?}");
    assert_eq!(valid.status.code(), Some(0), "{valid:?}");
    assert_eq!(fixture.records(), 1);
}
