//! Tests of reading and appending to the log through the fleet connection.

mod common;

use std::time::{Duration, Instant};

use common::{configuration, contract, run, short_timing, PlatformStub, TEST_TIMEOUT};
use monsoonfield::ids::IncarnationId;
use monsoonfield::record::{Batch, Entry, Grant};
use monsoonfield::settings::Timing;
use prost::Message;
use serde_json::json;

/// Target in the design for the time from an append until the change is in force on all routers.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

fn publish(platform: &PlatformStub, incarnation: u64, entry: Entry) -> u64 {
    let batch = Batch::new(IncarnationId(incarnation), 1, [entry]);
    platform.append("fleet", &batch.encode_to_vec())
}

/// Guards against a batch that takes effect twice because its append is retried after a lost response.
#[test]
fn a_batch_with_a_lost_append_response_takes_effect_once() {
    run(async {
        let platform = PlatformStub::start();
        let fleet = platform.start_fleet("vm-1", &short_timing()).await;
        publish(&platform, 1, contract("tapak", 1, 1_000));
        platform.set_faults(json!({ "drop_append_responses": 3 }));

        for up_to_tokens in [10, 30, 60] {
            let grant = Entry::Grant(Grant {
                customer: "tapak".into(),
                up_to_tokens,
            });
            fleet
                .write_and_wait([grant], TEST_TIMEOUT)
                .await
                .expect("the entry is folded");
        }

        let (granted, last_seq) = fleet.with_state(|state| {
            let customer = state
                .customers
                .get("tapak")
                .expect("the contract is folded");
            let budget = state.ledger.budget(customer).expect("a budget");
            let member = state.members.get(fleet.incarnation()).expect("a member");
            (
                budget.grants[&fleet.incarnation()].granted_tokens,
                member.last_seq,
            )
        });
        assert_eq!(granted, 60);
        let copies = platform
            .read("fleet")
            .records
            .iter()
            .filter_map(|record| Batch::decode(record.payload.as_slice()).ok())
            .filter(|batch| batch.incarnation == fleet.incarnation().0)
            .count() as u64;
        assert!(
            copies > last_seq,
            "the log holds repeated batches: {copies} records, seq {last_seq}"
        );
        fleet
            .shut_down(TEST_TIMEOUT)
            .await
            .expect("a graceful shutdown");
    });
}

/// Guards against entries that are lost or reordered in a long outage of the log, and against closures because of it.
#[test]
fn entries_queued_during_a_log_outage_are_written_afterwards() {
    run(async {
        let platform = PlatformStub::start();
        let fleet = platform.start_fleet("vm-1", &short_timing()).await;
        publish(&platform, 1, contract("tapak", 1, 10_000));
        fleet
            .wait_until(TEST_TIMEOUT, |fleet| {
                fleet.with_state(|s| s.customers.get("tapak").is_some())
            })
            .await
            .expect("the contract is folded");
        let first = fleet.incarnation();

        platform.set_faults(json!({ "log": "stalled" }));
        common::wait_until("the outage is detected", || !fleet.is_log_available()).await;
        for up_to_tokens in 1..=100 {
            fleet
                .write(Entry::Grant(Grant {
                    customer: "tapak".into(),
                    up_to_tokens,
                }))
                .expect("the queue has room");
        }
        // Longer than `close_after_ms`: silence during an outage of the log must not close an incarnation.
        monoio::time::sleep(Duration::from_millis(2 * short_timing().close_after_ms)).await;
        platform.set_faults(json!({ "log": "available" }));
        fleet
            .write_and_wait([], TEST_TIMEOUT)
            .await
            .expect("the queued entries are folded");
        fleet
            .wait_until(TEST_TIMEOUT, |fleet| {
                fleet.with_state(|state| {
                    let customer = state.customers.get("tapak").expect("a customer");
                    let budget = state.ledger.budget(customer).expect("a budget");
                    budget
                        .grants
                        .get(&first)
                        .is_some_and(|grant| grant.granted_tokens == 100)
                })
            })
            .await
            .expect("all entries are folded");

        assert_eq!(fleet.incarnation(), first);
        common::wait_until("the log is available", || fleet.is_log_available()).await;
        fleet
            .shut_down(TEST_TIMEOUT)
            .await
            .expect("a graceful shutdown");
    });
}

/// Guards against a change that reaches a router late, and against a router that reverts one.
#[test]
fn a_configuration_is_in_force_on_all_routers_in_time() {
    run(async {
        let platform = PlatformStub::start();
        let mut fleets = Vec::new();
        for vm in ["vm-1", "vm-2", "vm-3"] {
            fleets.push(platform.start_fleet(vm, &Timing::default()).await);
        }

        let mut slowest = Duration::ZERO;
        for revision in 1..=20 {
            let appended = Instant::now();
            publish(&platform, revision, configuration(revision, revision - 1));
            for fleet in &fleets {
                fleet
                    .wait_until(IN_FORCE_LIMIT, |fleet| {
                        let in_force = fleet.state().configuration.revision;
                        assert!(in_force + 1 >= revision, "reverted to revision {in_force}");
                        in_force == revision
                    })
                    .await
                    .expect("the configuration is in force in time");
            }
            slowest = slowest.max(appended.elapsed());
        }

        println!("20 configurations on 3 routers, slowest in force after {slowest:?}");
        assert!(slowest < IN_FORCE_LIMIT);
        for fleet in fleets {
            fleet.abort();
        }
    });
}

/// Guards against two concurrent publications of which both are reported as in force.
#[test]
fn only_the_first_of_two_concurrent_publications_is_accepted() {
    run(async {
        let platform = PlatformStub::start();
        let first = platform.start_fleet("vm-1", &short_timing()).await;
        let second = platform.start_fleet("vm-2", &short_timing()).await;

        let earlier = publish(&platform, 1, configuration(5, 0));
        publish(&platform, 2, configuration(7, 0));

        for fleet in [&first, &second] {
            fleet
                .wait_until(TEST_TIMEOUT, |fleet| !fleet.state().rejections.is_empty())
                .await
                .expect("the second publication is recorded as rejected");
            let state = fleet.state();
            assert_eq!(state.configuration.revision, 5);
            assert_eq!(state.configuration.offset, earlier);
            assert_eq!(state.rejections.len(), 1);
        }
        first.abort();
        second.abort();
    });
}
