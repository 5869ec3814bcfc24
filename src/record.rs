//! The records of the platform's log.
//!
//! A record is one [`Batch`]: all entries that a process collected since its last append. Batching keeps the append
//! rate independent of the request rate. See the list of log records in `docs/design.md` for the fold rule of each
//! entry.

use prost::{Message, Oneof};

use crate::ids::{IncarnationId, RequestKey};

/// One log record: the entries of one incarnation since its last append.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// Incarnation that wrote the batch.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the batch within the incarnation, starting at 1 without gaps.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Entries in the order in which they take effect.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Envelope>,
}

impl Batch {
    /// Creates a batch of entries.
    pub fn new(
        incarnation: IncarnationId,
        seq: u64,
        entries: impl IntoIterator<Item = Entry>,
    ) -> Self {
        Self {
            incarnation: incarnation.0,
            seq,
            entries: entries.into_iter().map(Envelope::from).collect(),
        }
    }

    /// Returns whether the batch opens an incarnation and has no other effect.
    pub fn only_opens(&self) -> bool {
        let is_open = |envelope: &Envelope| matches!(envelope.entry, Some(Entry::Open(_)));
        self.seq == 1 && self.entries.iter().all(is_open)
    }
}

/// Message around an [`Entry`], which Protocol Buffers require for a `oneof`; an unknown kind decodes as `None`.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// The entry itself.
    #[prost(
        oneof = "Entry",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20"
    )]
    pub entry: Option<Entry>,
}

impl From<Entry> for Envelope {
    fn from(entry: Entry) -> Self {
        Self { entry: Some(entry) }
    }
}

/// The kinds of log entries.
#[derive(Clone, PartialEq, Oneof)]
pub enum Entry {
    /// Starts an incarnation.
    #[prost(message, tag = "1")]
    Open(Open),
    /// Declares another incarnation dead.
    #[prost(message, tag = "2")]
    Close(Close),
    /// Ends the own incarnation after a graceful shutdown.
    #[prost(message, tag = "3")]
    Leave(Leave),
    /// Returns the unbilled rights of an ended incarnation.
    #[prost(message, tag = "4")]
    Finalize(Finalize),
    /// Publishes a contract.
    #[prost(message, tag = "5")]
    Contract(ContractEntry),
    /// Publishes a configuration.
    #[prost(message, tag = "6")]
    Configuration(ConfigurationEntry),
    /// Requests spending rights on a budget.
    #[prost(message, tag = "7")]
    Grant(Grant),
    /// Returns unspent rights to a budget.
    #[prost(message, tag = "8")]
    Return(Return),
    /// Charges a request.
    #[prost(message, tag = "9")]
    Bill(Bill),
    /// Claims a call that may run at most once.
    #[prost(message, tag = "10")]
    Intent(Intent),
    /// Reports that a claimed call ran.
    #[prost(message, tag = "11")]
    Outcome(Outcome),
    /// Releases a claim on a call that was not dispatched.
    #[prost(message, tag = "12")]
    Abandon(Abandon),
    /// Starts or changes a version rollout.
    #[prost(message, tag = "13")]
    Rollout(Rollout),
    /// Raises the share of a rollout.
    #[prost(message, tag = "14")]
    RolloutStep(RolloutStep),
    /// Reports the results of one version on one route.
    #[prost(message, tag = "15")]
    Evidence(Evidence),
    /// Rolls a version back, on one route or on all.
    #[prost(message, tag = "16")]
    Rollback(Rollback),
    /// Ends a rollout.
    #[prost(message, tag = "17")]
    RolloutEnd(RolloutEnd),
    /// Reports that a request crashed an upstream.
    #[prost(message, tag = "18")]
    Crash(Crash),
    /// Orders an upstream to load a version.
    #[prost(message, tag = "19")]
    Order(Order),
}

/// Starts an incarnation of a router process.
#[derive(Clone, PartialEq, Message)]
pub struct Open {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub vm: String,
    /// Name of the data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Address on which peers reach the process, as `ip:port`.
    #[prost(string, tag = "3")]
    pub address: String,
}

/// Declares another incarnation dead, provided that it has written nothing since.
#[derive(Clone, PartialEq, Message)]
pub struct Close {
    /// The incarnation to close.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Newest batch of that incarnation that the writer has read; the closure is void if there is a newer one.
    #[prost(uint64, tag = "2")]
    pub last_seq: u64,
    /// Why the incarnation is believed dead.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Ends the writer's own incarnation after a graceful shutdown.
#[derive(Clone, PartialEq, Message)]
pub struct Leave {}

/// Returns the unbilled rights of an incarnation that ended long ago.
#[derive(Clone, PartialEq, Message)]
pub struct Finalize {
    /// The incarnation to finalise.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
}

/// Publishes a customer's contract.
#[derive(Clone, PartialEq, Message)]
pub struct ContractEntry {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// New revision; greater than the one that it replaces.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Revision that the operator saw in force; 0 if none.
    #[prost(uint64, tag = "3")]
    pub replaces: u64,
    /// The contract as JSON.
    #[prost(bytes = "vec", tag = "4")]
    pub body_json: Vec<u8>,
}

/// Publishes the fleet's configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ConfigurationEntry {
    /// New revision; greater than the one that it replaces.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Revision that the operator saw in force; 0 if none.
    #[prost(uint64, tag = "2")]
    pub replaces: u64,
    /// The configuration as JSON.
    #[prost(bytes = "vec", tag = "3")]
    pub body_json: Vec<u8>,
}

/// Requests an increase of the writer's grant on a customer's budget.
#[derive(Clone, PartialEq, Message)]
pub struct Grant {
    /// Name of the customer.
    #[prost(string, tag = "1")]
    pub customer: String,
    /// Cumulative level requested, so that a repeated request adds nothing.
    #[prost(uint64, tag = "2")]
    pub up_to_tokens: u64,
}

/// Returns unspent rights that the writer holds exclusively.
#[derive(Clone, PartialEq, Message)]
pub struct Return {
    /// Incarnation to which the rights were granted.
    #[prost(fixed64, tag = "1")]
    pub grant: u64,
    /// Name of the customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Rights returned.
    #[prost(uint64, tag = "3")]
    pub amount_tokens: u64,
}

/// Part of a charge that is drawn on one grant.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Draw {
    /// Incarnation to which the rights were granted.
    #[prost(fixed64, tag = "1")]
    pub grant: u64,
    /// Tokens drawn.
    #[prost(uint64, tag = "2")]
    pub amount_tokens: u64,
}

/// Charges a request to its customer's budget.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Bill {
    /// High half of the request key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Low half of the request key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
    /// Name of the customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Draws on grants; their sum is the charge.
    #[prost(message, repeated, tag = "4")]
    pub draws: Vec<Draw>,
    /// Fingerprint of the request, by which a key reused with another body is detected.
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
}

impl Bill {
    /// Returns the key of the billed request.
    pub fn request_key(&self) -> RequestKey {
        join_key(self.key_high, self.key_low)
    }

    /// Returns the whole charge in tokens.
    pub fn charge_tokens(&self) -> u64 {
        self.draws
            .iter()
            .fold(0, |sum, draw| sum.saturating_add(draw.amount_tokens))
    }
}

/// Claims a call that may run at most once.
#[derive(Clone, PartialEq, Message)]
pub struct Intent {
    /// High half of the request key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Low half of the request key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
    /// Fingerprint of the call.
    #[prost(fixed64, tag = "3")]
    pub fingerprint: u64,
}

impl Intent {
    /// Returns the key of the claimed call.
    pub fn request_key(&self) -> RequestKey {
        join_key(self.key_high, self.key_low)
    }
}

/// Reports that a claimed call ran.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// High half of the request key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Low half of the request key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
    /// HTTP status with which the upstream answered.
    #[prost(uint32, tag = "3")]
    pub status: u32,
}

impl Outcome {
    /// Returns the key of the call.
    pub fn request_key(&self) -> RequestKey {
        join_key(self.key_high, self.key_low)
    }
}

/// Releases a claim; the writer has not dispatched the call and never will.
#[derive(Clone, PartialEq, Message)]
pub struct Abandon {
    /// High half of the request key.
    #[prost(fixed64, tag = "1")]
    pub key_high: u64,
    /// Low half of the request key.
    #[prost(fixed64, tag = "2")]
    pub key_low: u64,
}

impl Abandon {
    /// Returns the key of the call.
    pub fn request_key(&self) -> RequestKey {
        join_key(self.key_high, self.key_low)
    }
}

/// Starts or changes a version rollout.
#[derive(Clone, PartialEq, Message)]
pub struct Rollout {
    /// Name of the rollout.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Model or service whose traffic moves.
    #[prost(string, tag = "2")]
    pub model: String,
    /// Version that serves now.
    #[prost(string, tag = "3")]
    pub from_version: String,
    /// Version that the rollout moves the traffic to.
    #[prost(string, tag = "4")]
    pub to_version: String,
    /// Wall-clock time at which the rollout starts, since the Unix epoch.
    #[prost(uint64, tag = "5")]
    pub start_ms: u64,
    /// Wall-clock time by which all traffic must have moved, since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub deadline_ms: u64,
    /// New revision of the rollout.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// Revision that the operator saw in force; 0 if none.
    #[prost(uint64, tag = "8")]
    pub replaces: u64,
}

/// Changes the share of a rollout on a route; only the first record for a step takes effect.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutStep {
    /// Name of the rollout.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the step, starting at 1.
    #[prost(uint32, tag = "2")]
    pub step: u32,
    /// Share of requests that the new version gets, in parts per million.
    #[prost(uint32, tag = "3")]
    pub share_ppm: u32,
    /// Revision of the rollout that the step belongs to.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Wall-clock time of the proposal, since the Unix epoch; the schedule of later steps counts from it.
    #[prost(uint64, tag = "5")]
    pub at_ms: u64,
    /// Route whose share changes; empty for all routes without steps of their own.
    #[prost(string, tag = "6")]
    pub route: String,
}

/// Results of one version on one route within one period, as counted by one process.
#[derive(Clone, PartialEq, Message)]
pub struct Evidence {
    /// Name of the rollout.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Name of the route, as callers use it.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Whether the counts are for the new version.
    #[prost(bool, tag = "3")]
    pub is_new: bool,
    /// Requests that ended.
    #[prost(uint64, tag = "4")]
    pub total: u64,
    /// Requests that failed by the upstream's fault.
    #[prost(uint64, tag = "5")]
    pub failed: u64,
    /// Counts by latency bucket; the buckets are defined in the evidence module.
    #[prost(uint32, repeated, tag = "6")]
    pub latency_counts: Vec<u32>,
    /// Step of the rollout that was in force when the requests were dispatched.
    #[prost(uint32, tag = "7")]
    pub step: u32,
    /// Wall-clock end of the period, since the Unix epoch.
    #[prost(uint64, tag = "8")]
    pub end_ms: u64,
}

/// Rolls a version back; takes precedence over every later step of the rollout.
#[derive(Clone, PartialEq, Message)]
pub struct Rollback {
    /// Name of the rollout.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Route on which the version is rolled back; empty for all routes.
    #[prost(string, tag = "2")]
    pub route: String,
    /// Figures on which the decision rests, as a sentence for operators.
    #[prost(string, tag = "3")]
    pub reason: String,
}

/// Ends a rollout.
#[derive(Clone, PartialEq, Message)]
pub struct RolloutEnd {
    /// Name of the rollout.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Revision of the rollout that ended.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Whether all traffic moved by the deadline.
    #[prost(bool, tag = "3")]
    pub is_kept: bool,
    /// Why the deadline was not kept; empty if it was.
    #[prost(string, tag = "4")]
    pub reason: String,
}

/// Reports that an upstream crashed while it ran a request.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Fingerprint of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Name of the upstream.
    #[prost(string, tag = "2")]
    pub upstream: String,
    /// Version that the upstream ran.
    #[prost(string, tag = "3")]
    pub version: String,
}

/// Orders an upstream to load a version; the offset of the record is the fencing token of the order.
#[derive(Clone, PartialEq, Message)]
pub struct Order {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Version to load.
    #[prost(string, tag = "2")]
    pub version: String,
    /// Time, counted from the fold of this record, after which another writer may send an order to an upstream that
    /// ignores fencing tokens.
    #[prost(uint64, tag = "3")]
    pub valid_ms: u64,
}

/// Splits a request key into the two halves that records carry.
pub fn split_key(key: RequestKey) -> (u64, u64) {
    ((key.0 >> 64) as u64, key.0 as u64)
}

fn join_key(high: u64, low: u64) -> RequestKey {
    RequestKey(u128::from(high) << 64 | u128::from(low))
}
