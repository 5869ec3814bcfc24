//! Random runs of a fleet with several faults at the same time.

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

/// Length of the run with faults.
const FAULTS: Duration = Duration::from_secs(6);

/// A router behind a forwarder, by which its incoming links can be cut.
struct Slot {
    vm: String,
    forwarder: Forwarder,
    fleet: Fleet,
    /// Newest offset and configuration seen; neither may go back within one process.
    seen: (u64, u64),
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

fn inject(platform: &PlatformStub, slots: &mut [Slot], random: &mut Pcg64Mcg) {
    let index = random.random_range(0..slots.len());
    let vm = slots[index].vm.clone();
    match random.random_range(0..8) {
        0 => platform.set_faults(json!({ "log": "unavailable" })),
        1 => platform.set_faults(json!({ "log": "stalled" })),
        2 => platform.set_faults(json!({ "drop_append_responses": random.random_range(1..6) })),
        3 => platform.set_faults(json!({ "blocked_vms": [vm] })),
        4 => platform.set_faults(json!({ "stalled_vms": [vm] })),
        5 => {
            let is_cut = random.random();
            slots[index].forwarder.set_cut(is_cut);
        }
        6 => {
            let slot = &mut slots[index];
            slot.fleet.abort();
            slot.fleet = start(platform, &slot.vm, &slot.forwarder);
            slot.seen = (0, 0);
        }
        _ => {
            platform.set_faults(json!({ "log": "available", "blocked_vms": [], "stalled_vms": [] }))
        }
    }
}

fn check_monotone(slot: &mut Slot) {
    let state = slot.fleet.state();
    let now = (state.next_offset, state.configuration.revision);
    assert!(
        now.0 >= slot.seen.0 && now.1 >= slot.seen.1,
        "{} went back from {:?} to {now:?}",
        slot.vm,
        slot.seen
    );
    drop(state);
    slot.seen = now;
}

/// Folds the whole log up to an offset, and counts how often each fingerprint took effect.
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

async fn check_run(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let platform = PlatformStub::start();
    let mut slots: Vec<_> = (0..ROUTERS)
        .map(|number| {
            let vm = format!("vm-{number}");
            let forwarder = Forwarder::start();
            let fleet = start(&platform, &vm, &forwarder);
            Slot {
                vm,
                forwarder,
                fleet,
                seen: (0, 0),
            }
        })
        .collect();
    let addresses: Vec<_> = slots
        .iter()
        .map(|slot| (slot.vm.clone(), slot.forwarder.address.clone()))
        .collect();
    let list: Vec<_> = addresses
        .iter()
        .map(|(vm, address)| (vm.as_str(), address.as_str()))
        .collect();
    platform.set_vms(&list);

    let confirmed = Rc::new(std::cell::RefCell::new(Vec::new()));
    let started = Instant::now();
    let (mut number, mut revision) = (0, 0);
    while started.elapsed() < FAULTS {
        if random.random_range(0..10) == 0 {
            inject(&platform, &mut slots, &mut random);
        }
        if random.random_range(0..10) == 0 {
            // The operator's own way to the log may be cut too; then the change is not made.
            let entries = [configuration(revision + 1, revision)];
            let batch = Batch::new(IncarnationId(1_000 + revision), 1, entries);
            let address = &platform.address;
            let body = batch.encode_to_vec();
            if try_append(address, &body).await {
                revision += 1;
            }
        }
        number += 1;
        let fleet = slots[random.random_range(0..ROUTERS)].fleet.clone();
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
        slots.iter_mut().for_each(check_monotone);
        monoio::time::sleep(Duration::from_millis(random.random_range(1..20))).await;
    }

    let healed = json!({ "log": "available", "blocked_vms": [], "stalled_vms": [], "drop_append_responses": 0 });
    platform.set_faults(healed);
    slots.iter().for_each(|slot| slot.forwarder.set_cut(false));
    let newest = platform.read("fleet").next;
    // A change whose response was lost in an outage may be in the log although the operator gave up on it.
    let (whole, _) = fold_log(&platform, newest);
    let in_force = whole.configuration.revision;
    assert!(
        in_force >= revision,
        "a confirmed configuration is not in force"
    );
    for slot in &slots {
        slot.fleet
            .wait_until(TEST_TIMEOUT, |fleet| {
                let state = fleet.state();
                state.next_offset >= newest && state.configuration.revision == in_force
            })
            .await
            .unwrap_or_else(|error| panic!("{} does not catch up: {error}", slot.vm));
    }
    wait_until("all routers are connected again", || {
        slots
            .iter()
            .all(|slot| slot.fleet.peers().len() >= ROUTERS - 1)
    })
    .await;

    for slot in &mut slots {
        check_monotone(slot);
        let (bytes, up_to) = slot
            .fleet
            .with_state(|state| (snapshot::encode(state), state.next_offset));
        let (whole, _) = fold_log(&platform, up_to);
        assert!(
            snapshot::encode(&whole) == bytes,
            "{} differs from the log",
            slot.vm
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
    slots.iter().for_each(|slot| slot.fleet.abort());
}

/// Appends unless the log refuses; a stalled log counts as a refusal, because such a request has no effect.
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

/// Guards against states that differ, go back, lose a confirmed entry or count one twice when faults coincide: log outages,
/// lost responses, routers cut off the log or off each other, and crashes.
#[test]
fn coinciding_faults_leave_all_routers_with_the_state_of_the_log() {
    for seed in 1..=4 {
        println!("seed {seed}");
        run(check_run(seed));
    }
}
