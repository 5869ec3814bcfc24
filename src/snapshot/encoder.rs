//! Incremental serialisation of a state.
//!
//! A large state takes some hundred milliseconds, for which the event loop must not block. A Protocol Buffers decoder
//! merges concatenated encodings of one message type, so each step appends the encoding of a part of the snapshot.

use prost::Message;

use super::{to_json, Published, RejectionSnapshot, Snapshot, FORMAT_VERSION};
use crate::fleet_state::FleetState;
use crate::ids::{CustomerKey, Offset};

/// Number of customers in one step; about 3 ms with 9 grants each.
const STEP_CUSTOMERS: usize = 500;

/// Number of billed keys in one step; about 3 ms.
const STEP_BILLED: usize = 20_000;

/// Number of claims in one step.
const STEP_CLAIMS: usize = 10_000;

#[derive(Clone, Copy, Debug)]
enum Stage {
    Customers(usize),
    Billed(usize),
    Claims(u64),
    Rest,
    Done,
}

/// Serialises one state in steps that take a few milliseconds each.
///
/// The state must not change between the steps.
#[derive(Debug)]
pub struct Encoder {
    stage: Stage,
    next_offset: Option<Offset>,
    bytes: Vec<u8>,
}

impl Default for Encoder {
    fn default() -> Self {
        Self::new()
    }
}

impl Encoder {
    /// Creates an encoder at the first step.
    pub fn new() -> Self {
        Self {
            stage: Stage::Customers(0),
            next_offset: None,
            bytes: Vec::new(),
        }
    }

    /// Encodes the next part and returns whether the snapshot is complete.
    ///
    /// # Panics
    ///
    /// Panics if the state has another offset than at the first step, because the parts would be inconsistent.
    pub fn encode_step(&mut self, state: &FleetState) -> bool {
        let next_offset = *self.next_offset.get_or_insert(state.next_offset);
        assert_eq!(
            next_offset, state.next_offset,
            "the state changed between two steps of a snapshot"
        );
        let part = match self.stage {
            Stage::Customers(from) => self.customers(state, from),
            Stage::Billed(from) => self.billed(state, from),
            Stage::Claims(from) => self.claims(state, from),
            Stage::Rest => self.rest(state),
            Stage::Done => return true,
        };
        // A vector grows as needed, so encoding into it cannot fail.
        let _ = part.encode(&mut self.bytes);
        matches!(self.stage, Stage::Done)
    }

    /// Returns the snapshot, which is complete once [`Self::encode_step`] has returned `true`.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    fn customers(&mut self, state: &FleetState, from: usize) -> Snapshot {
        let names = state.customers.names();
        let to = names.len().min(from + STEP_CUSTOMERS);
        self.stage = if to == names.len() {
            Stage::Billed(0)
        } else {
            Stage::Customers(to)
        };
        let keys = from as u32..to as u32;
        let contracts = keys.clone().filter_map(|key| {
            let contract = state.contracts.get(&CustomerKey(key))?;
            Some(Published {
                customer: key,
                revision: contract.revision,
                offset: contract.offset,
                body_json: to_json(&contract.contract),
            })
        });
        Snapshot {
            customers: names[from..to].iter().map(ToString::to_string).collect(),
            contracts: contracts.collect(),
            ledger: Some(state.ledger.snapshot_budgets(keys)),
            ..Snapshot::default()
        }
    }

    fn billed(&mut self, state: &FleetState, from: usize) -> Snapshot {
        let count = state.ledger.billed_count();
        let to = count.min(from + STEP_BILLED);
        self.stage = if to == count {
            Stage::Claims(0)
        } else {
            Stage::Billed(to)
        };
        Snapshot {
            ledger: Some(state.ledger.snapshot_billed(from..to)),
            ..Snapshot::default()
        }
    }

    fn claims(&mut self, state: &FleetState, from: u64) -> Snapshot {
        let (claims, next) = state.intents.snapshot_claims(from, STEP_CLAIMS);
        self.stage = next.map_or(Stage::Rest, Stage::Claims);
        Snapshot {
            intents: Some(claims),
            ..Snapshot::default()
        }
    }

    fn rest(&mut self, state: &FleetState) -> Snapshot {
        // The destructuring is exhaustive, so that a new field does not compile until it is encoded.
        let FleetState {
            next_offset,
            customers: _,
            contracts: _,
            configuration,
            ledger: _,
            intents: _,
            members,
            rollouts,
            orders,
            quarantine,
            rejections,
            late_bills,
        } = state;
        self.stage = Stage::Done;
        let rejections = rejections.iter().map(|rejection| RejectionSnapshot {
            offset: rejection.offset,
            subject: rejection.subject.to_string(),
            reason: rejection.reason.to_string(),
        });
        Snapshot {
            format_version: FORMAT_VERSION,
            next_offset: *next_offset,
            configuration: Some(Published {
                customer: 0,
                revision: configuration.revision,
                offset: configuration.offset,
                body_json: to_json(&configuration.configuration),
            }),
            members_json: to_json(members),
            rollouts_json: to_json(rollouts),
            orders_json: to_json(orders),
            quarantine_json: to_json(quarantine),
            rejections: rejections.collect(),
            late_bills: *late_bills,
            ..Snapshot::default()
        }
    }
}
