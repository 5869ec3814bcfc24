//! Tests of the directory of upstreams when the store returns from an older copy.

use std::net::SocketAddr;

use compact_str::CompactString;
use monsoonfield::directory::{
    UpstreamChange, UpstreamDirectory, UpstreamEntry, CONFIRMATION_MS, REMOVAL_GRACE_MS,
};

/// Returns the entry of a process that started at `started_ms`, after a number of reports.
fn entry(started_ms: u64, reports: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "kv-a".into(),
        version: "v1".into(),
        slots: 6,
        is_draining: false,
        started_ms: Some(started_ms),
        report_sequence: Some(reports),
        cold_left_ms: 0,
    }
}

fn draining(started_ms: u64, reports: u64) -> UpstreamEntry {
    UpstreamEntry {
        is_draining: true,
        ..entry(started_ms, reports)
    }
}

fn directory_of(known: UpstreamEntry) -> UpstreamDirectory {
    let mut directory = UpstreamDirectory::default();
    directory.apply("a".into(), Some(known), 0);
    directory
}

fn snapshot_of(entry: UpstreamEntry) -> Vec<(CompactString, Option<UpstreamEntry>)> {
    vec![("a".into(), Some(entry))]
}

fn is_serving(directory: &UpstreamDirectory) -> bool {
    directory.serving("desk").next().is_some()
}

/// Guards against an older entry of a snapshot that replaces a newer one, and against ignoring a newer one.
#[test]
fn a_snapshot_replaces_an_entry_only_by_a_newer_one() {
    let without_fields = UpstreamEntry {
        report_sequence: None,
        ..entry(1, 0)
    };
    let cases = [
        ("an earlier report", draining(5, 9), entry(5, 8), false),
        (
            "a process that was replaced",
            draining(5, 9),
            entry(4, 20),
            false,
        ),
        ("a later report", draining(5, 9), entry(5, 10), true),
        ("a new process", draining(5, 9), entry(6, 1), true),
        (
            "an entry without the fields",
            draining(5, 9),
            without_fields.clone(),
            true,
        ),
        (
            "a known entry without the fields",
            without_fields,
            entry(1, 1),
            true,
        ),
    ];
    for (name, known, read, is_taken) in cases {
        let mut directory = directory_of(known.clone());

        let changes = directory.apply_snapshot(snapshot_of(read.clone()), 1_000);

        let expected = if is_taken { read } else { known };
        assert_eq!(directory.get("a"), Some(&expected), "{name}");
        let is_outdated = changes.contains(&("a".into(), UpstreamChange::Outdated));
        assert_eq!(is_outdated, !is_taken, "{name}");
    }
}

/// Guards against an upstream whose removal was seen and that is used again because a copy holds its entry, and against
/// never using a living one again.
#[test]
fn a_removed_upstream_returns_only_with_a_newer_or_a_lasting_entry() {
    let removed = || {
        let mut directory = directory_of(entry(5, 9));
        directory.apply("a".into(), None, 100);
        directory
    };

    let mut lasting = removed();
    lasting.apply_snapshot(snapshot_of(entry(5, 9)), 1_000);
    assert!(lasting
        .add_confirmed(1_000 + CONFIRMATION_MS - 1)
        .is_empty());
    assert!(!is_serving(&lasting));
    assert_eq!(lasting.add_confirmed(1_000 + CONFIRMATION_MS), ["a"]);
    assert!(is_serving(&lasting));

    let mut removed_again = removed();
    removed_again.apply_snapshot(snapshot_of(entry(5, 9)), 1_000);
    removed_again.apply("a".into(), None, 2_000);
    assert!(removed_again
        .add_confirmed(1_000 + CONFIRMATION_MS)
        .is_empty());
    assert!(!is_serving(&removed_again));

    let mut written_again = removed();
    written_again.apply_snapshot(snapshot_of(entry(5, 9)), 1_000);
    let change = written_again.apply("a".into(), Some(entry(5, 9)), 1_500);
    assert_eq!(change, UpstreamChange::Added);

    let mut restarted = removed();
    restarted.apply_snapshot(snapshot_of(entry(6, 1)), 1_000);
    assert!(is_serving(&restarted));
}

/// Guards against a removal that is forgotten because the store returns again within the grace period.
#[test]
fn a_second_return_does_not_cancel_a_recorded_removal() {
    let mut directory = directory_of(entry(5, 9));
    directory.store_recovered(1_000);
    directory.apply_snapshot(snapshot_of(entry(5, 8)), 1_000);
    directory.apply("a".into(), None, 1_100);

    directory.store_recovered(1_500);
    directory.apply_snapshot(snapshot_of(entry(5, 9)), 1_500);

    assert_eq!(directory.expire(1_000 + REMOVAL_GRACE_MS), ["a"]);
    assert!(!is_serving(&directory));
}

/// Guards against removing a living upstream of which the first of two copies holds no entry and the second an older
/// one.
#[test]
fn an_older_entry_shows_that_an_upstream_is_present() {
    let mut directory = directory_of(entry(5, 9));
    directory.store_recovered(1_000);
    directory.apply_snapshot(Vec::new(), 1_000);

    directory.apply_snapshot(snapshot_of(entry(5, 8)), 1_500);

    assert!(directory.expire(1_500 + REMOVAL_GRACE_MS).is_empty());
    assert_eq!(directory.get("a"), Some(&entry(5, 9)));
}

/// Guards against a late record of an earlier report that makes a draining upstream usable.
#[test]
fn a_late_record_of_an_earlier_report_changes_nothing() {
    let mut directory = directory_of(draining(5, 9));

    let change = directory.apply("a".into(), Some(entry(5, 8)), 100);

    assert_eq!(change, UpstreamChange::Outdated);
    assert!(!is_serving(&directory));
}
