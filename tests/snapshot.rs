//! Tests of serialised states.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use monsoonfield::ids::IncarnationId;
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

/// Makes records of which most are accepted: numbers mostly continue, some repeat or skip, some payloads are garbage.
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

/// Guards against a part of the state that a snapshot loses, which would let two processes disagree later.
#[test]
fn a_snapshot_and_the_rest_equal_the_whole_fold() {
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
        fold(&mut restored, cut, &records[cut..]);

        assert_eq!(snapshot::encode(&restored), snapshot::encode(&whole));
        Ok(())
    });
}

/// Guards against a state that is put together from chunks of two different ones, or that waits for a lost order.
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

/// Guards against a damaged snapshot that is taken for a state or ends the process.
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
