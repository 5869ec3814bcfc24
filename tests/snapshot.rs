//! Tests of snapshots.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use monsoonfield::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use monsoonfield::record::{
    Abandon, Batch, Bill, Close, ConfigurationEntry, ContractEntry, Crash, Draw, Entry, Evidence,
    Finalize, Grant, Intent, Leave, Open, Outcome, Return, Rollback, Rollout, RolloutEnd,
    RolloutStep,
};
use monsoonfield::snapshot::{self, Assembler};
use monsoonfield::FleetState;
use prost::Message;

const CUSTOMERS: [&str; 3] = ["tapak", "mtkvari", "third"];

fn contract(u: &mut Unstructured<'_>) -> Result<Entry> {
    let customer = *u.choose(&CUSTOMERS)?;
    let revision = u.int_in_range(1..=4)?;
    let body = serde_json::json!({
        "customer": customer,
        "api_key_sha256": ["0".repeat(64)],
        "prepaid_total_tokens": u.int_in_range(1..=1_000)?,
        "priority": "normal",
        "response_time_limit_ms": 30_000,
        "models": [{"model": "m"}],
    });
    Ok(Entry::Contract(ContractEntry {
        customer: customer.into(),
        revision,
        replaces: revision - 1,
        body_json: body.to_string().into_bytes(),
    }))
}

fn configuration(u: &mut Unstructured<'_>) -> Result<Entry> {
    let revision = u.int_in_range(1..=4)?;
    let body: &[u8] = u.choose(&[
        br#"{"models":[],"services":[],"upstreams":[]}"#.as_slice(),
        br#"{"models":"#.as_slice(),
    ])?;
    Ok(Entry::Configuration(ConfigurationEntry {
        revision,
        replaces: revision - 1,
        body_json: body.to_vec(),
    }))
}

fn rollout_entry(u: &mut Unstructured<'_>) -> Result<Entry> {
    let id = "move-1".to_string();
    Ok(match u.int_in_range(0..=4)? {
        0 => Entry::Rollout(Rollout {
            id,
            model: "m".into(),
            from_version: "v1".into(),
            to_version: "v2".into(),
            start_ms: 1,
            deadline_ms: 1_000_000,
            revision: u.int_in_range(1..=2)?,
            replaces: u.int_in_range(0..=1)?,
        }),
        1 => Entry::RolloutStep(RolloutStep {
            id,
            step: u.int_in_range(1..=3)?,
            share_ppm: u.int_in_range(0..=1_000_000)?,
            revision: 1,
            at_ms: u.int_in_range(0..=2_000_000)?,
            route: (*u.choose(&["", "m"])?).into(),
        }),
        2 => Entry::Evidence(Evidence {
            id,
            route: "m".into(),
            is_new: u.arbitrary()?,
            total: u.int_in_range(0..=100)?,
            failed: u.int_in_range(0..=3)?,
            latency_counts: vec![1, 2, 3],
            step: u.int_in_range(0..=3)?,
            end_ms: u.int_in_range(0..=2_000_000)?,
        }),
        3 => Entry::Rollback(Rollback {
            id,
            route: (*u.choose(&["", "m"])?).into(),
            reason: "failures".into(),
        }),
        _ => Entry::RolloutEnd(RolloutEnd {
            id,
            revision: 1,
            is_kept: true,
            reason: String::new(),
        }),
    })
}

fn entry(u: &mut Unstructured<'_>) -> Result<Entry> {
    let customer = (*u.choose(&CUSTOMERS)?).to_string();
    let incarnation = u.int_in_range(1..=3)?;
    let key_low = u.int_in_range(1..=6)?;
    Ok(match u.int_in_range(0..=14)? {
        0 | 1 => Entry::Open(Open {
            vm: "vm".into(),
            data_centre: "dc-1".into(),
            address: "10.0.0.1:7000".into(),
        }),
        2 => Entry::Close(Close {
            incarnation,
            last_seq: u.int_in_range(1..=6)?,
            reason: "silent".into(),
        }),
        3 => Entry::Leave(Leave {}),
        4 => Entry::Finalize(Finalize { incarnation }),
        5 | 6 => contract(u)?,
        7 => configuration(u)?,
        8 => Entry::Grant(Grant {
            customer,
            up_to_tokens: u.int_in_range(1..=500)?,
        }),
        9 => Entry::Return(Return {
            grant: incarnation,
            customer,
            amount_tokens: u.int_in_range(1..=100)?,
        }),
        10 => Entry::Bill(Bill {
            key_high: 1,
            key_low,
            customer,
            draws: vec![Draw {
                grant: incarnation,
                amount_tokens: u.int_in_range(1..=50)?,
            }],
            fingerprint: key_low,
        }),
        11 => Entry::Intent(Intent {
            key_high: 2,
            key_low,
            fingerprint: key_low,
        }),
        12 if u.arbitrary()? => Entry::Abandon(Abandon {
            key_high: 2,
            key_low,
        }),
        12 => Entry::Outcome(Outcome {
            key_high: 2,
            key_low,
            status: 200,
        }),
        13 => Entry::Crash(Crash {
            fingerprint: key_low,
            upstream: "u".into(),
            version: "v1".into(),
        }),
        _ => rollout_entry(u)?,
    })
}

/// Generates records, most of which are accepted: most batches have the next number, some an old one, and some payloads
/// do not decode.
fn records(u: &mut Unstructured<'_>) -> Result<Vec<Vec<u8>>> {
    let mut seqs = [0; 4];
    let mut records = Vec::new();
    for _ in 0..u.int_in_range(0..=40)? {
        let incarnation: u64 = u.int_in_range(1..=3)?;
        let seq = &mut seqs[incarnation as usize];
        if u.int_in_range(0..=9)? > 0 {
            *seq += 1;
        }
        let mut entries = Vec::new();
        for _ in 0..u.int_in_range(0..=4)? {
            entries.push(entry(u)?);
        }
        let payload = Batch::new(IncarnationId(incarnation), *seq, entries).encode_to_vec();
        records.push(payload);
        if u.int_in_range(0..=19)? == 0 {
            records.push(vec![0xff; 5]);
        }
    }
    Ok(records)
}

fn fold(state: &mut FleetState, from: usize, records: &[Vec<u8>]) {
    for (offset, payload) in (from as u64..).zip(records) {
        state.apply_payload(offset, payload);
    }
}

/// Compares the parts one by one, because a part that the encoder leaves out is missing from both snapshots.
fn assert_states_equal(one: &FleetState, other: &FleetState) {
    assert_eq!(one.next_offset, other.next_offset);
    assert_eq!(one.customers.names(), other.customers.names());
    assert_eq!(one.contracts, other.contracts);
    assert_eq!(one.configuration, other.configuration);
    assert_eq!(one.members, other.members);
    assert_eq!(one.rollouts, other.rollouts);
    assert_eq!(one.orders, other.orders);
    assert_eq!(one.quarantine, other.quarantine);
    assert_eq!(one.rejections, other.rejections);
    assert_eq!(one.late_bills, other.late_bills);
    for key in 0..one.customers.names().len() {
        let key = CustomerKey(key as u32);
        assert_eq!(one.ledger.budget(key), other.ledger.budget(key));
    }
    for low in 0..=7 {
        let billed = RequestKey(1 << 64 | low);
        let claimed = RequestKey(2 << 64 | low);
        assert_eq!(one.ledger.billed(billed), other.ledger.billed(billed));
        assert_eq!(one.intents.get(claimed), other.intents.get(claimed));
    }
    let claims = |state: &FleetState| state.intents.claims_in_order().collect::<Vec<_>>();
    assert_eq!(claims(one), claims(other));
}

/// Guards against a part of the state that a snapshot loses, after which two processes would have different states.
#[test]
fn a_snapshot_and_the_later_records_give_the_same_state() {
    arbtest(|u| {
        let records = records(u)?;
        let cut = u.int_in_range(0..=records.len())?;
        let mut whole = FleetState::default();
        fold(&mut whole, 0, &records);

        let mut before = FleetState::default();
        fold(&mut before, 0, &records[..cut]);
        let bytes = snapshot::encode(&before);
        let mut restored = snapshot::decode(&bytes).expect("a state");
        assert_eq!(
            snapshot::encode(&restored),
            bytes,
            "equal states give equal bytes"
        );
        assert_states_equal(&restored, &before);
        fold(&mut restored, cut, &records[cut..]);
        assert_states_equal(&restored, &whole);

        assert_eq!(snapshot::encode(&restored), snapshot::encode(&whole));
        Ok(())
    });
}

/// Guards against a snapshot that is assembled from chunks of two different ones, or only if they come in order.
#[test]
fn chunks_are_assembled_in_any_order() {
    let mut state = FleetState::default();
    for number in 0..40_000 {
        state.customers.intern(&format!("customer-{number:030}"));
    }
    state.next_offset = 7;
    let chunks = snapshot::chunks(&state);
    state.next_offset = 8;
    let newer = snapshot::chunks(&state);
    assert!(chunks.len() > 2, "{} chunks", chunks.len());
    assert!(chunks.iter().all(|chunk| chunk.encoded_len() < 512 << 10));

    let mut assembler = Assembler::default();
    let mut whole = Vec::new();
    for (old, new) in chunks.iter().rev().zip(&newer) {
        whole.extend(assembler.push(old.clone()));
        whole.extend(assembler.push(new.clone()));
    }

    let offsets: Vec<_> = whole
        .iter()
        .map(|bytes| snapshot::decode(bytes).expect("a state").next_offset)
        .collect();
    assert_eq!(offsets, [7, 8]);
}

/// Guards against entries of a large state that are lost between two steps of the encoder.
#[test]
fn a_state_of_many_steps_is_restored_whole() {
    let mut state = FleetState::default();
    let mut seq = 0;
    let mut write = |entries: Vec<Entry>| {
        seq += 1;
        let batch = Batch::new(IncarnationId(1), seq, entries);
        let offset = state.next_offset;
        state.apply(offset, &batch);
    };
    write(vec![Entry::Open(Open::default())]);
    for number in 0..1_201 {
        let customer = format!("customer-{number}");
        let body = serde_json::json!({
            "customer": customer,
            "api_key_sha256": [format!("{number:064x}")],
            "prepaid_total_tokens": 1_000_000,
            "priority": "normal",
            "response_time_limit_ms": 30_000,
            "models": [{"model": "m"}],
        });
        let contract = Entry::Contract(ContractEntry {
            customer: customer.clone(),
            revision: 1,
            replaces: 0,
            body_json: body.to_string().into_bytes(),
        });
        let grant = Entry::Grant(Grant {
            customer,
            up_to_tokens: 10_000,
        });
        write(vec![contract, grant]);
    }
    for number in 0..45_000 {
        let bill = Entry::Bill(Bill {
            key_high: 1,
            key_low: number,
            customer: format!("customer-{}", number % 1_201),
            draws: vec![Draw {
                grant: 1,
                amount_tokens: 1,
            }],
            fingerprint: number,
        });
        let intent = Entry::Intent(Intent {
            key_high: 2,
            key_low: number,
            fingerprint: number,
        });
        write(vec![bill, intent]);
    }

    // Late bills are rare in random records.
    state.late_bills = 7;
    let bytes = snapshot::encode(&state);
    let restored = snapshot::decode(&bytes).expect("a state");
    assert_eq!(restored.late_bills, 7);

    assert!(
        snapshot::encode(&restored) == bytes,
        "equal states give equal bytes"
    );
    let key = |high: u128, low: u128| RequestKey(high << 64 | low);
    for number in [0, 19_999, 20_000, 20_001, 44_999] {
        assert_eq!(
            restored.ledger.billed(key(1, number)),
            Some(Fingerprint(number as u64))
        );
    }
    for number in [0, 9_999, 10_000, 44_999] {
        assert!(restored.intents.get(key(2, number)).is_some());
    }
    assert_eq!(restored.customers.names(), state.customers.names());
    for (customer, contract) in &state.contracts {
        assert_eq!(restored.contracts.get(customer), Some(contract));
        assert_eq!(
            restored.ledger.budget(*customer),
            state.ledger.budget(*customer)
        );
    }
    assert_eq!(restored.contracts.len(), 1_201);
}

/// Guards against a truncated snapshot that is accepted, and against a panic on damaged bytes.
#[test]
fn damaged_bytes_are_refused_or_decode_without_a_panic() {
    let mut state = FleetState::default();
    state.customers.intern("tapak");
    let bytes = snapshot::encode(&state);
    assert!(snapshot::decode(&bytes[..bytes.len() / 2]).is_err());
    assert!(snapshot::decode(&[]).is_err());
    arbtest(|u| {
        let mut damaged = bytes.clone();
        let index = u.choose_index(damaged.len())?;
        damaged[index] = u.arbitrary()?;
        let _ = snapshot::decode(&damaged);
        Ok(())
    });
}
