//! Tests of real router processes that are killed, paused and cut off.

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

/// Target of the design for the time until a change is in force everywhere.
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

/// Guards against a killed router that stays a member, and against a replacement that can't join.
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

/// Guards against a process that goes on under its closed incarnation after a long pause.
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
        // The survivor must not have been closed by the one that woke up.
        assert_eq!(
            phase(&observer, observer.incarnation()),
            Some(MemberPhase::Open)
        );
        observer.abort();
    });
}

/// Guards against a planned stop that leaves the fleet waiting for the closing time.
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

/// Guards against a configuration that is slow to reach a router, reverts, or needs the log on each router; the default
/// intervals apply.
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
        // Each router needs a connection to another one before its way to the log is cut.
        wait_until("all routers have a state", || {
            routers
                .iter()
                .all(|router| router.status()["next_offset"].as_u64() > Some(3))
        })
        .await;

        let mut next = 1;
        for blocked in [json!([]), json!(["vm-2"]), json!(["vm-1", "vm-3"])] {
            platform.set_faults(json!({ "blocked_vms": blocked }));
            let mut worst = Duration::ZERO;
            for _ in 0..3 {
                let appended = Instant::now();
                publish(&platform, next);
                wait_until("the configuration is in force", || {
                    routers.iter().all(|router| {
                        let in_force = revision(router);
                        assert!(in_force + 1 >= next, "revision {in_force} came back");
                        in_force == next
                    })
                })
                .await;
                worst = worst.max(appended.elapsed());
                next += 1;
            }
            println!("blocked {blocked}: slowest in force after {worst:?}");
            assert!(worst <= IN_FORCE_LIMIT, "blocked {blocked}: {worst:?}");
        }
        observer.abort();
    });
}

/// Guards against routers that stop, forget or diverge in a long outage of the log during which one of them is killed.
#[test]
fn routers_go_on_after_a_log_outage_with_a_crash_in_it() {
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
        wait_until("the outage is noticed", || !observer.is_log_available()).await;
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
