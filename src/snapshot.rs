//! Snapshots: serialised fleet states, from which a process starts without reading the whole log.
//!
//! The bytes depend only on the state: maps are written in the order of their keys. A snapshot is sent in chunks,
//! because the sizes of a log record and of a frame between peers are bounded. Each part of the state encodes itself
//! with an exhaustive destructuring, so that a new field does not compile until it is encoded.

use std::collections::BTreeMap;

use prost::Message;
use quick_error::quick_error;
use serde::de::DeserializeOwned;

use crate::contract::{Configuration, Contract};
use crate::fleet_state::{ConfigurationInForce, ContractInForce, FleetState, Rejection};
use crate::ids::Offset;
use crate::intent::{Intents, IntentsSnapshot};
use crate::ledger::{Ledger, LedgerSnapshot};
use crate::message::SnapshotChunk;

mod encoder;

pub use encoder::Encoder;

/// Data in one chunk, in bytes; the encoded chunk stays below 512 KiB,
/// [`MAX_PAYLOAD_BYTES`](crate::log_client::MAX_PAYLOAD_BYTES).
pub const CHUNK_BYTES: usize = 384 << 10;

/// Largest number of chunks of a snapshot that is accepted, about 1.5 GiB.
const MAX_CHUNKS: u32 = 4_096;

/// Number of snapshots that are assembled at the same time; chunks of older ones are dropped.
const MAX_ASSEMBLIES: usize = 2;

/// Version of the format; a process refuses a snapshot of another version, which it might read only in part.
const FORMAT_VERSION: u32 = 1;

quick_error! {
    /// Error in restoring a state.
    #[derive(Debug)]
    pub enum Error {
        /// The outer message does not decode.
        Malformed(error: prost::DecodeError) {
            display("malformed snapshot: {}", error)
            from()
            source(error)
        }
        /// A part of the snapshot does not decode.
        Part(part: &'static str, message: String) {
            display("snapshot part {}: {}", part, message)
        }
        /// Another version of the program wrote the snapshot.
        Version(version: u32) {
            display("snapshot format version {}, expected {}", version, FORMAT_VERSION)
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct Snapshot {
    #[prost(uint32, tag = "1")]
    format_version: u32,
    #[prost(uint64, tag = "2")]
    next_offset: u64,
    #[prost(string, repeated, tag = "3")]
    customers: Vec<String>,
    #[prost(message, repeated, tag = "4")]
    contracts: Vec<Published>,
    #[prost(message, optional, tag = "5")]
    configuration: Option<Published>,
    #[prost(message, optional, tag = "6")]
    ledger: Option<LedgerSnapshot>,
    #[prost(message, optional, tag = "7")]
    intents: Option<IntentsSnapshot>,
    #[prost(bytes = "vec", tag = "8")]
    members_json: Vec<u8>,
    #[prost(bytes = "vec", tag = "9")]
    rollouts_json: Vec<u8>,
    #[prost(bytes = "vec", tag = "10")]
    quarantine_json: Vec<u8>,
    #[prost(message, repeated, tag = "11")]
    rejections: Vec<RejectionSnapshot>,
    #[prost(uint64, tag = "12")]
    late_bills: u64,
    #[prost(bytes = "vec", tag = "13")]
    orders_json: Vec<u8>,
}

/// A contract or configuration in force.
#[derive(Clone, PartialEq, Message)]
struct Published {
    #[prost(uint32, tag = "1")]
    customer: u32,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    offset: u64,
    #[prost(bytes = "vec", tag = "4")]
    body_json: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct RejectionSnapshot {
    #[prost(uint64, tag = "1")]
    offset: u64,
    #[prost(string, tag = "2")]
    subject: String,
    #[prost(string, tag = "3")]
    reason: String,
}

/// Serialises a state; equal states have equal snapshots.
pub fn encode(state: &FleetState) -> Vec<u8> {
    let mut encoder = Encoder::new();
    while !encoder.encode_step(state) {}
    encoder.into_bytes()
}

/// Restores a state.
///
/// # Errors
///
/// Returns an error if the bytes are not a complete snapshot of this format version.
pub fn decode(bytes: &[u8]) -> Result<FleetState, Error> {
    let snapshot = Snapshot::decode(bytes)?;
    if snapshot.format_version != FORMAT_VERSION {
        return Err(Error::Version(snapshot.format_version));
    }
    let mut state = FleetState {
        next_offset: snapshot.next_offset,
        members: from_json("members", &snapshot.members_json)?,
        rollouts: from_json("rollouts", &snapshot.rollouts_json)?,
        quarantine: from_json("quarantine", &snapshot.quarantine_json)?,
        late_bills: snapshot.late_bills,
        orders: from_json("orders", &snapshot.orders_json)?,
        ..FleetState::default()
    };
    for name in &snapshot.customers {
        state.customers.intern(name);
    }
    for published in &snapshot.contracts {
        let contract: Contract = from_json("contracts", &published.body_json)?;
        let key = crate::ids::CustomerKey(published.customer);
        state.contracts.insert(
            key,
            ContractInForce {
                revision: published.revision,
                offset: published.offset,
                contract,
            },
        );
    }
    if let Some(published) = &snapshot.configuration {
        let configuration: Configuration = from_json("configuration", &published.body_json)?;
        state.configuration = ConfigurationInForce {
            revision: published.revision,
            offset: published.offset,
            configuration,
        };
    }
    let ledger = snapshot.ledger.unwrap_or_default();
    state.ledger = Ledger::from_snapshot(&ledger)
        .ok_or_else(|| Error::Part("ledger", "a list of billed keys is truncated".into()))?;
    let intents = snapshot.intents.unwrap_or_default();
    state.intents = Intents::from_snapshot(&intents)
        .ok_or_else(|| Error::Part("intents", "a claim has no key of 16 bytes".into()))?;
    for rejection in snapshot.rejections {
        state.rejections.push_back(Rejection {
            offset: rejection.offset,
            subject: rejection.subject.into(),
            reason: rejection.reason.into(),
        });
    }
    Ok(state)
}

/// Serialises a state and splits it into chunks.
pub fn chunks(state: &FleetState) -> Vec<SnapshotChunk> {
    split(state.next_offset, &encode(state))
}

/// Splits a serialised state into chunks.
pub fn split(next_offset: Offset, bytes: &[u8]) -> Vec<SnapshotChunk> {
    let count = bytes.len().div_ceil(CHUNK_BYTES) as u32;
    bytes
        .chunks(CHUNK_BYTES)
        .zip(0..)
        .map(|(data, index)| SnapshotChunk {
            next_offset,
            index,
            count,
            data: data.to_vec(),
        })
        .collect()
}

/// Decodes a record of the snapshot stream; returns `None` if it is malformed.
pub fn decode_chunk(payload: &[u8]) -> Option<SnapshotChunk> {
    SnapshotChunk::decode(payload).ok()
}

/// Assembles snapshots from chunks, which may come in any order and from several writers.
///
/// Two snapshots with the same offset have the same bytes, so chunks of different writers can be mixed.
#[derive(Debug, Default)]
pub struct Assembler {
    assemblies: BTreeMap<(Offset, u32), BTreeMap<u32, Vec<u8>>>,
}

impl Assembler {
    /// Adds a chunk; returns the snapshot if the chunk completes it.
    pub fn push(&mut self, chunk: SnapshotChunk) -> Option<Vec<u8>> {
        if chunk.count == 0 || chunk.count > MAX_CHUNKS || chunk.index >= chunk.count {
            return None;
        }
        let id = (chunk.next_offset, chunk.count);
        let parts = self.assemblies.entry(id).or_default();
        parts.insert(chunk.index, chunk.data);
        if parts.len() as u32 == chunk.count {
            let parts = self.assemblies.remove(&id)?;
            return Some(parts.into_values().flatten().collect());
        }
        while self.assemblies.len() > MAX_ASSEMBLIES {
            self.assemblies.pop_first();
        }
        None
    }
}

/// Serialises a part of the state whose field order is fixed by its type.
fn to_json(part: &impl serde::Serialize) -> Vec<u8> {
    // The parts are plain structures with string or integer keys, for which serialisation cannot fail.
    serde_json::to_vec(part).unwrap_or_default()
}

fn from_json<T: DeserializeOwned>(part: &'static str, json: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(json).map_err(|error| Error::Part(part, error.to_string()))
}
