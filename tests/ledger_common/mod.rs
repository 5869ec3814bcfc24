//! Fixtures of the ledger tests.

#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;

use monsoonfield::fleet_state::{Change, FleetState};
use monsoonfield::ids::{CustomerKey, IncarnationId, RequestKey};
use monsoonfield::record::{
    split_key, Batch, Bill, Close, ContractEntry, Draw, Entry, Finalize, Grant, Open,
};

/// A log whose records are folded into one state as soon as they are appended.
#[derive(Default)]
pub struct Fleet {
    pub state: FleetState,
    seqs: BTreeMap<IncarnationId, u64>,
}

impl Fleet {
    /// Creates a fleet in which `incarnations` are open and the customer `acme` has a budget.
    pub fn new(prepaid_total_tokens: u64, window_ppm: u32, incarnations: &[u64]) -> Self {
        let mut fleet = Self::default();
        fleet.append(
            IncarnationId(u64::MAX),
            [contract("acme", 1, prepaid_total_tokens, window_ppm)],
        );
        for &id in incarnations {
            fleet.append(IncarnationId(id), [open()]);
        }
        fleet
    }

    /// Appends the next batch of a writer.
    pub fn append(
        &mut self,
        writer: IncarnationId,
        entries: impl IntoIterator<Item = Entry>,
    ) -> Vec<Change> {
        let seq = self.seqs.entry(writer).or_insert(0);
        *seq += 1;
        let batch = Batch::new(writer, *seq, entries);
        self.append_batch(&batch)
    }

    /// Appends a batch with the number that it has, to test delayed and repeated batches.
    pub fn append_batch(&mut self, batch: &Batch) -> Vec<Change> {
        self.state.apply(self.state.next_offset, batch)
    }

    /// Closes an incarnation at its newest batch.
    pub fn close(&mut self, writer: IncarnationId, id: IncarnationId) {
        let last_seq = self.state.members.get(id).map_or(0, |m| m.last_seq);
        self.append(
            writer,
            [Entry::Close(Close {
                incarnation: id.0,
                last_seq,
                reason: "test".into(),
            })],
        );
    }

    /// Finalises an incarnation.
    pub fn finalize(&mut self, writer: IncarnationId, id: IncarnationId) -> Vec<Change> {
        self.append(writer, [Entry::Finalize(Finalize { incarnation: id.0 })])
    }

    /// Returns the key of the customer `acme`.
    pub fn acme(&self) -> CustomerKey {
        self.state
            .customers
            .get("acme")
            .expect("acme has a contract")
    }

    /// Returns the billed tokens of `acme`.
    pub fn billed_tokens(&self) -> u64 {
        let budget = self.state.ledger.budget(self.acme());
        budget.expect("acme has a budget").billed_tokens()
    }
}

pub fn open() -> Entry {
    Entry::Open(Open {
        vm: "vm".into(),
        data_centre: "dc".into(),
        address: "127.0.0.1:1".into(),
    })
}

pub fn contract(customer: &str, revision: u64, total_tokens: u64, window_ppm: u32) -> Entry {
    let body = serde_json::json!({
        "customer": customer,
        "api_key_sha256": ["aa".repeat(32)],
        "prepaid_total_tokens": total_tokens,
        "window_ppm": window_ppm,
        "priority": "normal",
        "response_time_limit_ms": 60_000,
        "models": [{"model": "quote"}],
    });
    Entry::Contract(ContractEntry {
        customer: customer.into(),
        revision,
        replaces: revision - 1,
        body_json: body.to_string().into_bytes(),
    })
}

pub fn grant(up_to_tokens: u64) -> Entry {
    Entry::Grant(Grant {
        customer: "acme".into(),
        up_to_tokens,
    })
}

pub fn draw(grant: IncarnationId, amount_tokens: u64) -> Draw {
    Draw {
        grant: grant.0,
        amount_tokens,
    }
}

pub fn bill(key: u128, fingerprint: u64, draws: &[Draw]) -> Bill {
    let (key_high, key_low) = split_key(RequestKey(key));
    Bill {
        key_high,
        key_low,
        customer: "acme".into(),
        draws: draws.to_vec(),
        fingerprint,
    }
}
