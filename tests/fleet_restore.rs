//! Tests of restoring the state while the log is unavailable or incomplete.

mod common;

use std::time::Duration;

use common::{configuration, run, short_timing, wait_until, PlatformStub, TEST_TIMEOUT};
use monsoonfield::fleet::FleetBuilder;
use monsoonfield::ids::IncarnationId;
use monsoonfield::record::Batch;
use monsoonfield::settings::Timing;
use prost::Message;
use serde_json::json;

fn publish(platform: &PlatformStub, revision: u64) {
    let entries = [configuration(revision, revision - 1)];
    let batch = Batch::new(IncarnationId(1_000 + revision), 1, entries);
    platform.append("fleet", &batch.encode_to_vec());
}

/// Timing with a snapshot every 20 records and a record every 20 ms from each router.
fn frequent_snapshots() -> Timing {
    Timing {
        snapshot_interval_records: 20,
        empty_batch_interval_ms: 20,
        ..short_timing()
    }
}

/// Guards against a VM that cannot start, or starts with an old configuration, because the log is unavailable.
#[test]
fn a_vm_that_starts_during_a_log_outage_gets_its_state_from_a_peer() {
    run(async {
        let platform = PlatformStub::start();
        let behind = platform.start_fleet("vm-1", &short_timing()).await;
        let ahead = platform.start_fleet("vm-2", &short_timing()).await;
        platform.set_faults(json!({ "blocked_vms": ["vm-1"] }));
        wait_until("the outage is detected", || !behind.is_log_available()).await;
        behind.abort();
        publish(&platform, 1);
        ahead
            .wait_until(TEST_TIMEOUT, |fleet| {
                fleet.state().configuration.revision == 1
            })
            .await
            .expect("the configuration is folded");
        platform.set_faults(json!({ "log": "unavailable", "blocked_vms": [] }));
        platform.set_vms(&[("vm-2", ahead.address()), ("vm-8", "127.0.0.1:1")]);

        let settings = platform.settings("vm-3", "dc-1", short_timing());
        let started = FleetBuilder::new(&settings).start().expect("a listener");
        assert!(!started.has_state());
        started
            .wait_for_state(TEST_TIMEOUT)
            .await
            .expect("a state from the peer");

        assert!(!started.is_log_available());
        assert_eq!(started.state().configuration.revision, 1);
        let offset = started.state().next_offset;
        platform.set_faults(json!({ "log": "available" }));
        started
            .wait_until(TEST_TIMEOUT, |fleet| {
                fleet.state().members.get(fleet.incarnation()).is_some()
            })
            .await
            .expect("Open is folded when the log is available again");
        assert!(started.state().next_offset > offset);
        ahead.abort();
        started.abort();
    });
}

/// Guards against a configuration that does not reach a router whose requests to the log are refused or get no
/// response.
#[test]
fn records_reach_a_router_without_access_to_the_log() {
    for fault in ["blocked_vms", "stalled_vms"] {
        run(async {
            let platform = PlatformStub::start();
            let timing = Timing::default();
            let isolated = platform.start_fleet("vm-1", &timing).await;
            let other = platform.start_fleet("vm-2", &timing).await;
            wait_until("the routers are connected", || {
                isolated.peers().len() == 1 && other.peers().len() == 1
            })
            .await;
            platform.set_faults(json!({ fault: ["vm-1"] }));

            for revision in 1..=4 {
                let published = std::time::Instant::now();
                publish(&platform, revision);
                isolated
                    .wait_until(Duration::from_secs(2), |fleet| {
                        fleet.state().configuration.revision == revision
                    })
                    .await
                    .expect("the configuration is in force within 2 s");
                println!("{fault}: in force after {:?}", published.elapsed());
            }

            wait_until("the outage is detected", || !isolated.is_log_available()).await;
            platform.set_faults(json!({ fault: [] }));
            wait_until("the log is available again", || isolated.is_log_available()).await;
            isolated.abort();
            other.abort();
        });
    }
}

/// Guards against records that reach a router without access to the log only after the next heartbeat of a peer.
#[test]
fn records_are_relayed_without_waiting_for_a_heartbeat() {
    run(async {
        let platform = PlatformStub::start();
        let timing = Timing {
            heartbeat_interval_ms: 20_000,
            heartbeat_timeout_ms: 60_000,
            ..Timing::default()
        };
        let isolated = platform.start_fleet("vm-1", &timing).await;
        let other = platform.start_fleet("vm-2", &timing).await;
        wait_until("the routers are connected", || {
            isolated.peers().len() == 1 && other.peers().len() == 1
        })
        .await;
        platform.set_faults(json!({ "blocked_vms": ["vm-1"] }));
        wait_until("the outage is detected", || !isolated.is_log_available()).await;

        for revision in 1..=3 {
            publish(&platform, revision);
            isolated
                .wait_until(Duration::from_secs(2), |fleet| {
                    fleet.state().configuration.revision == revision
                })
                .await
                .expect("the configuration is in force within 2 s");
        }
        isolated.abort();
        other.abort();
    });
}

/// Guards against a router that cannot start or catch up after the log has dropped the oldest records.
#[test]
fn a_router_restores_a_snapshot_when_the_log_has_dropped_records() {
    run(async {
        let options = common::platform_stub::Options {
            retained_records: 80,
            ..Default::default()
        };
        let platform = PlatformStub::with_options(options);
        let writer = platform.start_fleet("vm-1", &frequent_snapshots()).await;
        let late = platform.start_fleet("vm-2", &frequent_snapshots()).await;
        publish(&platform, 1);
        platform.set_faults(json!({ "blocked_vms": ["vm-2"] }));
        let behind = late.state().next_offset;
        writer
            .wait_until(TEST_TIMEOUT, |fleet| fleet.state().next_offset > 300)
            .await
            .expect("records are written");
        wait_until("a snapshot is on the log", || {
            platform.read("snapshots").records.len() >= 2
        })
        .await;

        let started = platform.start_fleet("vm-3", &frequent_snapshots()).await;
        assert_eq!(started.state().configuration.revision, 1);
        assert!(
            platform.read("fleet").oldest > 0,
            "the log has dropped records"
        );

        platform.set_faults(json!({ "blocked_vms": [] }));
        late.wait_until(TEST_TIMEOUT, |fleet| {
            fleet.state().next_offset > behind + 250
        })
        .await
        .expect("the late router catches up");
        assert_eq!(late.state().configuration.revision, 1);
        for fleet in [writer, late, started] {
            fleet.abort();
        }
    });
}

/// Guards against a VM that cannot start because the log retains fewer records than `snapshot_interval_records`.
#[test]
fn a_short_retention_makes_snapshots_more_frequent() {
    run(async {
        let options = common::platform_stub::Options {
            retained_records: 120,
            ..Default::default()
        };
        let platform = PlatformStub::with_options(options);
        let timing = Timing {
            snapshot_interval_records: 10_000,
            ..frequent_snapshots()
        };
        let first = platform.start_fleet("vm-1", &timing).await;
        publish(&platform, 1);
        wait_until("the log has dropped records", || {
            platform.read("fleet").oldest > 130
        })
        .await;
        wait_until("a snapshot is on the log", || {
            platform.read("snapshots").next >= 2
        })
        .await;

        first.abort();
        let started = platform.start_fleet("vm-2", &timing).await;

        assert_eq!(started.state().configuration.revision, 1);
        started.abort();
    });
}

/// Guards against a VM that never gets a state because the log has dropped records and holds no snapshot.
#[test]
fn records_missing_from_the_log_are_restored_from_a_peer() {
    run(async {
        let options = common::platform_stub::Options {
            retained_records: 3,
            ..Default::default()
        };
        let platform = PlatformStub::with_options(options);
        let first = platform.start_fleet("vm-1", &short_timing()).await;
        for revision in 1..=8 {
            publish(&platform, revision);
            first
                .wait_until(TEST_TIMEOUT, |fleet| {
                    fleet.state().configuration.revision == revision
                })
                .await
                .expect("the configuration is folded");
        }
        platform.set_vms(&[("vm-1", first.address())]);

        let settings = platform.settings("vm-2", "dc-1", short_timing());
        let started = FleetBuilder::new(&settings).start().expect("a listener");

        started
            .wait_for_state(TEST_TIMEOUT)
            .await
            .expect("a state from the peer");
        assert_eq!(started.state().configuration.revision, 8);
        started
            .wait_until(TEST_TIMEOUT, |fleet| fleet.is_log_available())
            .await
            .expect("the rest of the log is read");
        first.abort();
        started.abort();
    });
}

/// Guards against several routers that write the same snapshot.
#[test]
fn one_router_writes_each_snapshot() {
    run(async {
        let platform = PlatformStub::start();
        let mut fleets = Vec::new();
        for vm in ["vm-1", "vm-2", "vm-3"] {
            fleets.push(platform.start_fleet(vm, &frequent_snapshots()).await);
        }
        wait_until("all are connected", || {
            fleets.iter().all(|fleet| fleet.peers().len() == 2)
        })
        .await;
        let before = platform.read("snapshots").next;
        let intervals_before = fleets[0].state().next_offset / 20;
        fleets[0]
            .wait_until(TEST_TIMEOUT, |fleet| {
                fleet.state().next_offset / 20 >= intervals_before + 10
            })
            .await
            .expect("records are written");

        let written = platform.read("snapshots").next - before;
        let intervals = fleets[0].state().next_offset / 20 - intervals_before;
        assert!(
            written >= intervals / 2 && written <= intervals + 2,
            "{written} snapshots in {intervals} intervals"
        );
        for fleet in fleets {
            fleet.abort();
        }
    });
}

/// Guards against a router that takes an empty state for the fleet state and decides from it.
#[test]
fn a_router_without_log_and_peers_has_no_state() {
    run(async {
        let platform = PlatformStub::start();
        platform.set_faults(json!({ "log": "unavailable", "vm_list_unavailable": true }));
        let settings = platform.settings("vm-1", "dc-1", short_timing());
        let fleet = FleetBuilder::new(&settings).start().expect("a listener");

        let result = fleet.wait_for_state(Duration::from_secs(1)).await;

        assert!(result.is_err());
        assert!(!fleet.has_state());
        platform.set_faults(json!({ "log": "available" }));
        fleet
            .wait_for_state(TEST_TIMEOUT)
            .await
            .expect("a state from the log");
        fleet.abort();
    });
}
