//! Randomised runs of a fleet with concurrent faults.

mod common;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use common::forwarder::Forwarder;
use common::{configuration, run, short_timing, wait_until, PlatformStub, TEST_TIMEOUT};
use monsoonfield::fleet::{Fleet, FleetBuilder};
use monsoonfield::fleet_state::Change;
use monsoonfield::ids::{Fingerprint, IncarnationId};
use monsoonfield::record::{Batch, Crash, Entry};
use monsoonfield::settings::Timing;
use monsoonfield::{snapshot, FleetState};
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;

const ROUTERS: usize = 5;

/// Time for which faults are injected in each run.
const FAULT_DURATION: Duration = Duration::from_secs(6);

/// A router behind a forwarder that can cut its incoming connections.
struct TestRouter {
    vm: String,
    forwarder: Forwarder,
    fleet: Fleet,
    /// Next offset and configuration revision at the last check; neither may decrease within one process.
    last_seen: (u64, u64),
}

fn timing() -> Timing {
    Timing {
        snapshot_interval_records: 50,
        ..short_timing()
    }
}

fn start(platform: &PlatformStub, vm: &str, forwarder: &Forwarder) -> Fleet {
    let mut settings = platform.settings(vm, "dc-1", timing());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("bound").to_string();
    drop(listener);
    settings.listen.peers = address.as_str().into();
    forwarder.set_target(&address);
    FleetBuilder::new(&settings)
        .advertised_address(forwarder.address.clone())
        .start()
        .expect("the listener opens")
}

fn inject_fault(platform: &PlatformStub, routers: &mut [TestRouter], random: &mut Pcg64Mcg) {
    let index = random.random_range(0..routers.len());
    let vm = routers[index].vm.clone();
    match random.random_range(0..8) {
        0 => platform.set_faults(json!({ "log": "unavailable" })),
        1 => platform.set_faults(json!({ "log": "stalled" })),
        2 => platform.set_faults(json!({ "drop_append_responses": random.random_range(1..6) })),
        3 => platform.set_faults(json!({ "blocked_vms": [vm] })),
        4 => platform.set_faults(json!({ "stalled_vms": [vm] })),
        5 => {
            let is_cut = random.random();
            routers[index].forwarder.set_cut(is_cut);
        }
        6 => {
            let router = &mut routers[index];
            router.fleet.abort();
            router.fleet = start(platform, &router.vm, &router.forwarder);
            router.last_seen = (0, 0);
        }
        _ => {
            platform.set_faults(json!({ "log": "available", "blocked_vms": [], "stalled_vms": [] }))
        }
    }
}

fn assert_not_reverted(router: &mut TestRouter) {
    let state = router.fleet.state();
    let now = (state.next_offset, state.configuration.revision);
    assert!(
        now.0 >= router.last_seen.0 && now.1 >= router.last_seen.1,
        "{}: next offset and revision went back from {:?} to {now:?}",
        router.vm,
        router.last_seen
    );
    drop(state);
    router.last_seen = now;
}

/// Folds the log up to an offset, and counts how often the crash entry of each fingerprint took effect.
fn fold_log(platform: &PlatformStub, up_to: u64) -> (FleetState, BTreeMap<Fingerprint, u32>) {
    let mut state = FleetState::default();
    let mut counts = BTreeMap::new();
    for record in platform.read("fleet").records {
        if record.offset >= up_to {
            break;
        }
        for change in state.apply_payload(record.offset, &record.payload) {
            if let Change::Crash(fingerprint) = change {
                *counts.entry(fingerprint).or_insert(0) += 1;
            }
        }
    }
    (state, counts)
}

async fn run_with_faults(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let platform = PlatformStub::start();
    let mut routers: Vec<_> = (0..ROUTERS)
        .map(|number| {
            let vm = format!("vm-{number}");
            let forwarder = Forwarder::start();
            let fleet = start(&platform, &vm, &forwarder);
            TestRouter {
                vm,
                forwarder,
                fleet,
                last_seen: (0, 0),
            }
        })
        .collect();
    let addresses: Vec<_> = routers
        .iter()
        .map(|router| (router.vm.clone(), router.forwarder.address.clone()))
        .collect();
    let list: Vec<_> = addresses
        .iter()
        .map(|(vm, address)| (vm.as_str(), address.as_str()))
        .collect();
    platform.set_vms(&list);

    let confirmed = Rc::new(std::cell::RefCell::new(Vec::new()));
    let started = Instant::now();
    let (mut number, mut revision) = (0, 0);
    while started.elapsed() < FAULT_DURATION {
        if random.random_range(0..10) == 0 {
            inject_fault(&platform, &mut routers, &mut random);
        }
        if random.random_range(0..10) == 0 {
            // The operator's access to the log may fail too; then the change is not made.
            let entries = [configuration(revision + 1, revision)];
            let batch = Batch::new(IncarnationId(1_000 + revision), 1, entries);
            let address = &platform.address;
            let body = batch.encode_to_vec();
            if try_append(address, &body).await {
                revision += 1;
            }
        }
        number += 1;
        let fleet = routers[random.random_range(0..ROUTERS)].fleet.clone();
        let confirmed = confirmed.clone();
        let fingerprint = number;
        monoio::spawn(async move {
            let entry = Entry::Crash(Crash {
                fingerprint,
                upstream: "u".into(),
                version: "v".into(),
            });
            if fleet.write_and_wait([entry], TEST_TIMEOUT).await.is_ok() {
                confirmed.borrow_mut().push(Fingerprint(fingerprint));
            }
        });
        routers.iter_mut().for_each(assert_not_reverted);
        monoio::time::sleep(Duration::from_millis(random.random_range(1..20))).await;
    }

    let no_faults = json!({ "log": "available", "blocked_vms": [], "stalled_vms": [], "drop_append_responses": 0 });
    platform.set_faults(no_faults);
    routers
        .iter()
        .for_each(|router| router.forwarder.set_cut(false));
    let newest = platform.read("fleet").next;
    // A change whose response was lost may be in the log although the operator counts it as failed.
    let (log_state, _) = fold_log(&platform, newest);
    let revision_in_force = log_state.configuration.revision;
    assert!(
        revision_in_force >= revision,
        "a confirmed configuration is not in force"
    );
    for router in &routers {
        router
            .fleet
            .wait_until(TEST_TIMEOUT, |fleet| {
                let state = fleet.state();
                state.next_offset >= newest && state.configuration.revision == revision_in_force
            })
            .await
            .unwrap_or_else(|error| {
                panic!("{} does not catch up with the log: {error}", router.vm)
            });
    }
    wait_until("all routers are connected again", || {
        routers
            .iter()
            .all(|router| router.fleet.peers().len() >= ROUTERS - 1)
    })
    .await;

    for router in &mut routers {
        assert_not_reverted(router);
        let (bytes, up_to) = router
            .fleet
            .with_state(|state| (snapshot::encode(state), state.next_offset));
        let (log_state, _) = fold_log(&platform, up_to);
        assert!(
            snapshot::encode(&log_state) == bytes,
            "the state of {} differs from the folded log",
            router.vm
        );
    }
    let (_, counts) = fold_log(&platform, u64::MAX);
    let confirmed = confirmed.borrow();
    println!(
        "seed {seed}: {number} entries, {} confirmed, {} in the log, {revision} configurations, {newest} records",
        confirmed.len(),
        counts.len()
    );
    assert!(
        counts.values().all(|count| *count == 1),
        "an entry took effect twice"
    );
    assert!(
        confirmed
            .iter()
            .all(|fingerprint| counts.contains_key(fingerprint)),
        "a confirmed entry is not in the log"
    );
    routers.iter().for_each(|router| router.fleet.abort());
}

/// Appends a record and returns whether it is in the log; requests to a stalled log have no effect.
async fn try_append(address: &str, body: &[u8]) -> bool {
    use monsoonfield::log_client::{LogClient, LogService};
    let log = LogClient::new(address, "operator", Duration::from_millis(200));
    match log.append("fleet", body.to_vec().into()).await {
        Ok(_) => true,
        // The response may have been dropped after the append took effect.
        Err(_) => {
            let written = monoio::time::timeout(
                Duration::from_millis(200),
                log.read("fleet", 0, 1_000_000, 0),
            )
            .await;
            matches!(written, Ok(Ok(page)) if page.records.iter().any(|record| record.payload == body))
        }
    }
}

/// Guards against states that diverge, go back, lose a confirmed entry or apply one twice under concurrent faults: log
/// outages, lost responses, routers without access to the log or to each other, and crashes.
#[test]
fn all_routers_converge_to_the_state_of_the_log_after_random_faults() {
    for seed in 1..=4 {
        println!("seed {seed}");
        run(run_with_faults(seed));
    }
}
