//! Tests of router processes that are killed, paused and cut off from the log.

mod common;

use std::time::{Duration, Instant};

use common::process::RouterProcess;
use common::{configuration, run, short_timing, wait_until, PlatformStub, TEST_TIMEOUT};
use monsoonfield::fleet::Fleet;
use monsoonfield::ids::IncarnationId;
use monsoonfield::membership::MemberPhase;
use monsoonfield::record::Batch;
use monsoonfield::settings::Timing;
use prost::Message;
use serde_json::json;

/// Target in the design for the time until a change is in force on all routers.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

fn start(platform: &PlatformStub, vm: &str, timing: &Timing) -> RouterProcess {
    RouterProcess::start(&platform.settings(vm, "dc-1", timing.clone()))
}

fn publish(platform: &PlatformStub, revision: u64) {
    let entries = [configuration(revision, revision - 1)];
    let batch = Batch::new(IncarnationId(1_000 + revision), 1, entries);
    platform.append("fleet", &batch.encode_to_vec());
}

fn phase(fleet: &Fleet, id: IncarnationId) -> Option<MemberPhase> {
    fleet.state().members.get(id).map(|member| member.phase)
}

fn open_incarnation(fleet: &Fleet, vm: &str) -> Option<IncarnationId> {
    fleet
        .state()
        .members
        .iter()
        .find(|(_, member)| member.vm == vm && member.phase == MemberPhase::Open)
        .map(|(id, _)| id)
}

/// Waits until the observer has folded an open incarnation of the VM.
async fn wait_for_open(fleet: &Fleet, vm: &str) -> IncarnationId {
    fleet
        .wait_until(TEST_TIMEOUT, |fleet| open_incarnation(fleet, vm).is_some())
        .await
        .expect("the router opens an incarnation");
    open_incarnation(fleet, vm).expect("an open incarnation")
}

fn revision(router: &RouterProcess) -> u64 {
    router.status()["configuration_revision"]
        .as_u64()
        .expect("a revision")
}

/// Guards against a killed router that remains a member, and against a replacement that cannot join.
#[test]
fn a_killed_router_is_closed_and_its_replacement_joins() {
    run(async {
        let platform = PlatformStub::start();
        let observer = platform.start_fleet("vm-0", &short_timing()).await;
        let mut router = start(&platform, "vm-1", &short_timing());
        let old = wait_for_open(&observer, "vm-1").await;

        router.signal(libc::SIGKILL);
        router.wait();
        observer
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, old) == Some(MemberPhase::Closed)
            })
            .await
            .expect("the killed router is closed");
        let replacement = start(&platform, "vm-1", &short_timing());

        let new = wait_for_open(&observer, "vm-1").await;
        assert_ne!(old, new);
        wait_until("the replacement is live", || {
            observer.peers().iter().any(|peer| peer.incarnation == new)
        })
        .await;
        observer
            .wait_until(TEST_TIMEOUT, |fleet| phase(fleet, old).is_none())
            .await
            .expect("the killed router is finalised");
        drop(replacement);
        observer.abort();
    });
}

/// Guards against a process that continues under its closed incarnation after a long pause.
#[test]
fn a_stopped_router_that_continues_opens_a_new_incarnation() {
    run(async {
        let platform = PlatformStub::start();
        let observer = platform.start_fleet("vm-0", &short_timing()).await;
        let router = start(&platform, "vm-1", &short_timing());
        let old = wait_for_open(&observer, "vm-1").await;

        router.signal(libc::SIGSTOP);
        observer
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, old) == Some(MemberPhase::Closed)
            })
            .await
            .expect("the paused router is closed");
        router.signal(libc::SIGCONT);

        let new = wait_for_open(&observer, "vm-1").await;
        assert_ne!(old, new);
        wait_until("the router is live again", || {
            observer.peers().iter().any(|peer| peer.incarnation == new)
        })
        .await;
        // The resumed router must not close the observer, whose records it did not read during the pause.
        assert_eq!(
            phase(&observer, observer.incarnation()),
            Some(MemberPhase::Open)
        );
        observer.abort();
    });
}

/// Guards against a graceful shutdown after which peers wait for `close_after_ms` as after a crash.
#[test]
fn a_terminated_router_leaves() {
    run(async {
        let platform = PlatformStub::start();
        let observer = platform.start_fleet("vm-0", &short_timing()).await;
        let mut router = start(&platform, "vm-1", &short_timing());
        let id = wait_for_open(&observer, "vm-1").await;

        router.signal(libc::SIGTERM);
        let status = router.wait();

        assert_eq!(status.code(), Some(0));
        observer
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, id) == Some(MemberPhase::Left)
            })
            .await
            .expect("Leave is folded");
        observer.abort();
    });
}

/// Guards against a configuration that reaches a router late, is reverted, or does not reach routers without access
/// to the log. Uses the default intervals.
#[test]
fn a_configuration_is_in_force_on_three_processes_in_time() {
    run(async {
        let platform = PlatformStub::start();
        let timing = Timing::default();
        let vms = ["vm-1", "vm-2", "vm-3"];
        let observer = platform.start_fleet("vm-0", &timing).await;
        let routers: Vec<_> = vms.iter().map(|vm| start(&platform, vm, &timing)).collect();
        wait_until("the observer sees all routers", || {
            observer.peers().len() == vms.len()
        })
        .await;
        // Each router needs a connection to another one before it loses access to the log.
        wait_until("all routers have a state", || {
            routers
                .iter()
                .all(|router| router.status()["next_offset"].as_u64() > Some(3))
        })
        .await;

        let mut next = 1;
        for blocked in [json!([]), json!(["vm-2"]), json!(["vm-1", "vm-3"])] {
            platform.set_faults(json!({ "blocked_vms": blocked }));
            let mut slowest = Duration::ZERO;
            for _ in 0..3 {
                let appended = Instant::now();
                publish(&platform, next);
                wait_until("the configuration is in force", || {
                    routers.iter().all(|router| {
                        let in_force = revision(router);
                        assert!(in_force + 1 >= next, "reverted to revision {in_force}");
                        in_force == next
                    })
                })
                .await;
                slowest = slowest.max(appended.elapsed());
                next += 1;
            }
            println!("blocked {blocked}: slowest in force after {slowest:?}");
            assert!(slowest <= IN_FORCE_LIMIT, "blocked {blocked}: {slowest:?}");
        }
        observer.abort();
    });
}

/// Guards against routers that stop, lose the configuration or close a live peer in a long outage of the log during
/// which one router is killed.
#[test]
fn routers_continue_after_a_crash_during_a_log_outage() {
    run(async {
        let platform = PlatformStub::start();
        let observer = platform.start_fleet("vm-0", &short_timing()).await;
        let mut killed = start(&platform, "vm-1", &short_timing());
        let survivor = start(&platform, "vm-2", &short_timing());
        let killed_id = wait_for_open(&observer, "vm-1").await;
        let survivor_id = wait_for_open(&observer, "vm-2").await;
        publish(&platform, 1);
        wait_until("the configuration is in force", || revision(&survivor) == 1).await;

        platform.set_faults(json!({ "log": "stalled" }));
        wait_until("the outage is detected", || !observer.is_log_available()).await;
        killed.signal(libc::SIGKILL);
        killed.wait();
        let outage = Duration::from_millis(3 * short_timing().close_after_ms);
        monoio::time::sleep(outage).await;
        assert_eq!(revision(&survivor), 1);
        platform.set_faults(json!({ "log": "available" }));

        observer
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, killed_id) == Some(MemberPhase::Closed)
            })
            .await
            .expect("the killed router is closed after the outage");
        assert_eq!(phase(&observer, survivor_id), Some(MemberPhase::Open));
        publish(&platform, 2);
        wait_until("the next configuration is in force", || {
            revision(&survivor) == 2
        })
        .await;
        observer.abort();
    });
}
