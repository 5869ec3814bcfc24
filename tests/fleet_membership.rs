//! Tests of closures, paused processes and replaced VMs with real connections.

mod common;

use std::sync::mpsc;
use std::time::Duration;

use common::{contract, run, short_timing, wait_for_event, wait_until, PlatformStub, TEST_TIMEOUT};
use monsoonfield::fleet::{Event, Fleet, FleetBuilder};
use monsoonfield::ids::IncarnationId;
use monsoonfield::membership::MemberPhase;
use monsoonfield::record::{Batch, Entry, Grant};
use prost::Message;
use serde_json::json;

fn phase(fleet: &Fleet, id: IncarnationId) -> Option<MemberPhase> {
    fleet.state().members.get(id).map(|member| member.phase)
}

fn publish(platform: &PlatformStub, entry: Entry) {
    let batch = Batch::new(IncarnationId(1), 1, [entry]);
    platform.append("fleet", &batch.encode_to_vec());
}

fn granted_tokens(fleet: &Fleet, holder: IncarnationId) -> Option<u64> {
    let state = fleet.state();
    let customer = state.customers.get("tapak")?;
    let budget = state.ledger.budget(customer)?;
    budget.grants.get(&holder).map(|grant| grant.granted_tokens)
}

fn grant(up_to_tokens: u64) -> Entry {
    Entry::Grant(Grant {
        customer: "tapak".into(),
        up_to_tokens,
    })
}

/// Guards against spending rights of a crashed router that never return to the budget.
#[test]
fn a_crashed_router_is_closed_and_finalised() {
    run(async {
        let platform = PlatformStub::start();
        publish(&platform, contract("tapak", 1, 1_000));
        let crashed = platform.start_fleet("vm-1", &short_timing()).await;
        let survivor = platform.start_fleet("vm-2", &short_timing()).await;
        crashed
            .write_and_wait([grant(100)], TEST_TIMEOUT)
            .await
            .expect("the grant is folded");
        let id = crashed.incarnation();

        crashed.abort();
        drop(crashed);

        survivor
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, id) == Some(MemberPhase::Closed)
            })
            .await
            .expect("the crashed router is closed");
        assert_eq!(granted_tokens(&survivor, id), Some(100));
        survivor
            .wait_until(TEST_TIMEOUT, |fleet| phase(fleet, id).is_none())
            .await
            .expect("the crashed router is finalised");
        assert_eq!(granted_tokens(&survivor, id), None);
        survivor.abort();
    });
}

/// Guards against a graceful shutdown that drops queued entries or is taken for a crash.
#[test]
fn a_graceful_shutdown_writes_the_queued_entries_and_leaves() {
    run(async {
        let platform = PlatformStub::start();
        publish(&platform, contract("tapak", 1, 1_000));
        let leaving = platform.start_fleet("vm-1", &short_timing()).await;
        let survivor = platform.start_fleet("vm-2", &short_timing()).await;
        wait_until("the routers are connected", || survivor.peers().len() == 1).await;
        let mut events = survivor.subscribe();
        let id = leaving.incarnation();

        leaving.write(grant(77)).expect("the queue has room");
        leaving
            .shut_down(TEST_TIMEOUT)
            .await
            .expect("a graceful shutdown");

        wait_for_event(&mut events, "the peer leaves", |event| {
            *event == Event::PeerDown(id)
        })
        .await;
        survivor
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, id) == Some(MemberPhase::Left)
            })
            .await
            .expect("Leave is folded");
        assert_eq!(granted_tokens(&survivor, id), Some(77));
        survivor.abort();
    });
}

/// Guards against a router that continues under an incarnation that its peers closed while it was paused.
#[test]
fn a_router_paused_past_its_closure_opens_a_new_incarnation() {
    let platform = PlatformStub::start();
    let (report, reports) = mpsc::channel();
    let (resume, resumes) = mpsc::channel::<()>();
    let settings = platform.settings("vm-1", "dc-1", short_timing());
    let paused = std::thread::spawn(move || {
        run(async move {
            let fleet = FleetBuilder::new(&settings).start().expect("a listener");
            let is_open =
                |fleet: &Fleet| phase(fleet, fleet.incarnation()) == Some(MemberPhase::Open);
            fleet.wait_until(TEST_TIMEOUT, is_open).await.expect("open");
            let mut events = fleet.subscribe();
            let old = fleet.incarnation();
            report.send(old).expect("the test waits");
            // Blocking the event loop has the effect of a paused process: no heartbeat, no read, no append.
            resumes
                .recv_timeout(TEST_TIMEOUT)
                .expect("the test resumes");
            let event = wait_for_event(&mut events, "a new incarnation", |event| {
                matches!(event, Event::IncarnationReplaced { .. })
            })
            .await;
            let new = fleet.incarnation();
            assert_eq!(event, Event::IncarnationReplaced { old, new });
            fleet
                .wait_until(TEST_TIMEOUT, is_open)
                .await
                .expect("open again");
            report.send(new).expect("the test waits");
            fleet
                .shut_down(TEST_TIMEOUT)
                .await
                .expect("a graceful shutdown");
        });
    });
    let old = reports
        .recv_timeout(TEST_TIMEOUT)
        .expect("the router is open");
    run(async {
        let survivor = platform.start_fleet("vm-2", &short_timing()).await;
        survivor
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, old) == Some(MemberPhase::Closed)
            })
            .await
            .expect("the paused router is closed");
        resume.send(()).expect("the router waits");
        wait_until("the router has ended", || paused.is_finished()).await;
        let new = reports.try_recv().expect("a new incarnation");
        assert_ne!(old, new);
        survivor
            .wait_until(TEST_TIMEOUT, |fleet| {
                phase(fleet, new) == Some(MemberPhase::Left)
            })
            .await
            .expect("the new incarnation leaves");
        survivor.abort();
    });
    paused.join().expect("the router ends without a failure");
}

/// Guards against the closure of a live router because the VM list is wrong or the router cannot reach the log.
#[test]
fn a_wrong_vm_list_or_a_log_outage_closes_no_live_router() {
    run(async {
        let platform = PlatformStub::start();
        let first = platform.start_fleet("vm-1", &short_timing()).await;
        let second = platform.start_fleet("vm-2", &short_timing()).await;
        let ids = [first.incarnation(), second.incarnation()];
        // The list has an address without a listener and the addresses of both routers under wrong names.
        platform.set_vms(&[
            ("vm-1", "127.0.0.1:1"),
            ("vm-7", second.address()),
            ("vm-8", first.address()),
        ]);
        platform.set_faults(json!({
            "blocked_vms": ["vm-2"],
            "vm_list_lag_ms": 0,
            "wrong_vms": [{"vm": "vm-9", "address": "not an address", "state": "live"}],
        }));
        wait_until("the outage is detected", || !second.is_log_available()).await;

        let past_closure = Duration::from_millis(2 * short_timing().close_after_ms);
        monoio::time::sleep(past_closure).await;

        for fleet in [&first, &second] {
            assert_eq!(fleet.peers().len(), 1);
            assert!(ids
                .iter()
                .all(|id| phase(fleet, *id) == Some(MemberPhase::Open)));
        }
        first.abort();
        second.abort();
    });
}

/// Guards against a replaced VM that is taken for its predecessor, or is not reached under the same name and address.
#[test]
fn a_vm_replaced_under_the_same_name_and_address_joins_at_once() {
    run(async {
        let platform = PlatformStub::start();
        let observer = platform.start_fleet("vm-2", &short_timing()).await;
        let mut old = platform.start_fleet("vm-1", &short_timing()).await;
        for _ in 0..3 {
            let old_id = old.incarnation();
            wait_until("the routers are connected", || {
                observer
                    .peers()
                    .iter()
                    .any(|peer| peer.incarnation == old_id)
            })
            .await;
            let address = old.address().to_string();
            old.abort();
            drop(old);

            let mut settings = platform.settings("vm-1", "dc-1", short_timing());
            settings.listen.peers = address.as_str().into();
            let mut replacement = FleetBuilder::new(&settings).start();
            wait_until("the port is free", || {
                if replacement.is_err() {
                    replacement = FleetBuilder::new(&settings).start();
                }
                replacement.is_ok()
            })
            .await;
            let new = replacement.expect("the listener opens");

            let new_id = new.incarnation();
            assert_ne!(old_id, new_id);
            wait_until("the replacement is live", || {
                observer
                    .peers()
                    .iter()
                    .any(|peer| peer.incarnation == new_id)
            })
            .await;
            assert!(observer
                .peers()
                .iter()
                .all(|peer| peer.incarnation != old_id));
            observer
                .wait_until(TEST_TIMEOUT, |fleet| {
                    phase(fleet, old_id).is_none_or(|phase| phase == MemberPhase::Closed)
                        && phase(fleet, new_id) == Some(MemberPhase::Open)
                })
                .await
                .expect("only the predecessor is closed");
            old = new;
        }
        old.abort();
        observer.abort();
    });
}

/// Guards against routers that choose different homes for the same budget.
#[test]
fn routers_agree_on_budget_homes() {
    run(async {
        let platform = PlatformStub::start();
        publish(&platform, contract("tapak", 1, 1_000));
        let mut fleets = Vec::new();
        for (vm, data_centre) in [("vm-1", "dc-1"), ("vm-2", "dc-1"), ("vm-3", "dc-2")] {
            let settings = platform.settings(vm, data_centre, short_timing());
            fleets.push(FleetBuilder::new(&settings).start().expect("a listener"));
        }
        wait_until("all are connected and open", || {
            fleets.iter().all(|fleet| {
                fleet.peers().len() == 2
                    && fleets
                        .iter()
                        .all(|other| phase(fleet, other.incarnation()) == Some(MemberPhase::Open))
            })
        })
        .await;
        let customer = fleets[0].with_state(|state| state.customers.get("tapak"));
        let customer = customer.expect("the contract is folded");

        for (data_centre, candidates) in [("dc-1", 0..2), ("dc-2", 2..3), ("dc-3", 0..0)] {
            let homes: Vec<_> = fleets
                .iter()
                .map(|fleet| fleet.budget_home(customer, data_centre))
                .collect();
            assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
            let allowed: Vec<_> = fleets[candidates]
                .iter()
                .map(|fleet| fleet.incarnation())
                .collect();
            assert_eq!(homes[0].is_some(), !allowed.is_empty());
            assert!(homes[0].is_none_or(|home| allowed.contains(&home)));
        }
        for fleet in fleets {
            fleet.abort();
        }
    });
}
