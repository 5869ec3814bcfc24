//! Routers in one process that share one log.

use std::time::Instant;

use monsoonfield::billing::Billing;
use monsoonfield::fleet_state::FleetState;
use monsoonfield::ids::{CustomerKey, IncarnationId, RequestKey};
use monsoonfield::record::{split_key, Batch, Bill, ContractEntry, Entry, Grant, Open};
use monsoonfield::spending_rights::SpendingRights;
use prost::Message;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CUSTOMERS: usize = 10;
const SEED: u64 = 1;

/// Requests that each router serves; 10 per second for 20 s, so that the load of a router is the same at all sizes.
const REQUESTS_PER_ROUTER: usize = 200;
const REQUESTS_PER_FLUSH: usize = 1;
const FLUSH_MS: u64 = 100;

/// Cost of a run; `step_ns` is the time of the step functions of all routers, with each record folded once.
#[derive(Default)]
pub struct Cost {
    pub requests: u64,
    pub appends: u64,
    pub bytes: u64,
    pub step_ns: u64,
}

struct Member {
    rights: SpendingRights,
    billing: Billing,
    seq: u64,
}

pub struct Fleet {
    state: FleetState,
    members: Vec<Member>,
    rng: Pcg64Mcg,
}

impl Fleet {
    pub fn new(routers: usize) -> Self {
        let mut state = FleetState::default();
        let contracts = (0..CUSTOMERS).map(|n| contract(&format!("c-{n}")));
        state.apply(0, &Batch::new(IncarnationId(u64::MAX), 1, contracts));
        let mut members = Vec::new();
        for index in 0..routers {
            let id = IncarnationId(index as u64 + 1);
            state.apply(state.next_offset, &Batch::new(id, 1, [open()]));
            members.push(Member {
                rights: SpendingRights::new(id),
                billing: Billing::default(),
                seq: 1,
            });
        }
        Self {
            state,
            members,
            rng: Pcg64Mcg::seed_from_u64(SEED),
        }
    }

    /// Serves all requests, flushes every 100 ms ([`FLUSH_MS`]) and returns the cost.
    pub fn run(mut self) -> Cost {
        let mut cost = Cost::default();
        let flushes = REQUESTS_PER_ROUTER / REQUESTS_PER_FLUSH;
        for flush in 0..flushes as u64 {
            let now_ms = (flush + 1) * FLUSH_MS;
            for index in 0..self.members.len() {
                for _ in 0..REQUESTS_PER_FLUSH {
                    self.serve(index, &mut cost);
                }
                self.flush(index, now_ms, &mut cost);
            }
        }
        cost
    }

    fn serve(&mut self, index: usize, cost: &mut Cost) {
        let number = self.rng.random_range(0..CUSTOMERS);
        let customer = CustomerKey(number as u32);
        let (key_high, key_low) = split_key(RequestKey(self.rng.random::<u128>()));
        let start = Instant::now();
        let member = &mut self.members[index];
        if let Ok(reservation) = member.rights.reserve(customer, 1_500) {
            let bill = Bill {
                key_high,
                key_low,
                customer: format!("c-{number}"),
                draws: member.rights.settle(reservation, 800),
                fingerprint: key_low,
            };
            cost.requests += u64::from(member.billing.add(bill, &self.state).is_ok());
        }
        cost.step_ns += start.elapsed().as_nanos() as u64;
    }

    fn flush(&mut self, index: usize, now_ms: u64, cost: &mut Cost) {
        let start = Instant::now();
        let member = &mut self.members[index];
        let mut entries = member.billing.entries_to_write(1_000);
        entries.extend(member.rights.entries_to_write(&self.state, now_ms));
        if entries.is_empty() {
            return;
        }
        member.seq += 1;
        let batch = Batch::new(member.rights.incarnation(), member.seq, entries);
        let payload = batch.encode_to_vec();
        let changes = self.state.apply_payload(self.state.next_offset, &payload);
        for change in &changes {
            member.rights.on_change(change, &self.state);
            member.billing.on_change(change, &self.state);
        }
        cost.step_ns += start.elapsed().as_nanos() as u64;
        cost.appends += 1;
        cost.bytes += payload.len() as u64;
    }
}

pub fn open() -> Entry {
    Entry::Open(Open {
        vm: "vm".into(),
        data_centre: "dc".into(),
        address: "10.0.0.1:7000".into(),
    })
}

pub fn grant(customer: &str, up_to_tokens: u64) -> Entry {
    Entry::Grant(Grant {
        customer: customer.into(),
        up_to_tokens,
    })
}

pub fn contract(customer: &str) -> Entry {
    let body = serde_json::json!({
        "customer": customer,
        "api_key_sha256": ["aa".repeat(32)],
        "prepaid_total_tokens": 1_000_000_000_000_u64,
        "priority": "normal",
        "response_time_limit_ms": 60_000,
        "models": [{"model": "quote"}],
    });
    Entry::Contract(ContractEntry {
        customer: customer.into(),
        revision: 1,
        replaces: 0,
        body_json: body.to_string().into_bytes(),
    })
}
