//! Messages between router processes.
//!
//! Each message is sent in one length-delimited frame of at most [`MAX_FRAME_BYTES`]. The first frame in each direction
//! of a connection is a [`Hello`], so that both ends know the protocol version and the incarnation of the other before
//! any other message.

use prost::{Message, Oneof};

use crate::record::{Bill, Draw};

/// Version of the router-to-router protocol.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest frame that a process sends or accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Content of a frame between two routers; a message of an unknown kind decodes as `None` and is ignored.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message; Protocol Buffers require a message around a `oneof`.
    #[prost(
        oneof = "PeerMessage",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13"
    )]
    pub message: Option<PeerMessage>,
}

impl From<PeerMessage> for Frame {
    fn from(message: PeerMessage) -> Self {
        Self {
            message: Some(message),
        }
    }
}

/// The kinds of messages between routers.
#[derive(Clone, PartialEq, Oneof)]
pub enum PeerMessage {
    /// First message of a connection.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Shows that the sender is alive, and reports its progress and load.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Requests spending rights from the peer.
    #[prost(message, tag = "3")]
    TransferRequest(TransferRequest),
    /// Transfers spending rights to the peer, in answer to a request.
    #[prost(message, tag = "4")]
    Transfer(Transfer),
    /// Transfers unused spending rights back to the peer.
    #[prost(message, tag = "5")]
    TransferReturn(Transfer),
    /// Asks the peer to hold copies of bills until they are in the log.
    #[prost(message, tag = "6")]
    BillCopy(BillCopy),
    /// Acknowledges copies of bills.
    #[prost(message, tag = "7")]
    BillCopyAck(BillCopyAck),
    /// Reports a crash of an upstream before the record of it is in the log.
    #[prost(message, tag = "8")]
    CrashNotice(crate::record::Crash),
    /// Requests log records from an offset on.
    #[prost(message, tag = "9")]
    RecordsRequest(RecordsRequest),
    /// Relays log records.
    #[prost(message, tag = "10")]
    Records(Records),
    /// Requests a snapshot of the peer's folded state.
    #[prost(message, tag = "11")]
    SnapshotRequest(SnapshotRequest),
    /// Part of a snapshot.
    #[prost(message, tag = "12")]
    SnapshotChunk(SnapshotChunk),
    /// Crash counts of the features of requests.
    #[prost(message, tag = "13")]
    CrashReport(crate::crash_attribution::CrashReport),
}

/// First message of a connection.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol version of the sender.
    #[prost(uint32, tag = "1")]
    pub protocol_version: u32,
    /// Incarnation of the sender.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Name of the sender's VM.
    #[prost(string, tag = "3")]
    pub vm: String,
    /// Name of the sender's data centre.
    #[prost(string, tag = "4")]
    pub data_centre: String,
    /// Offset of the next log record that the sender will fold; 0 if it has no state.
    #[prost(uint64, tag = "5")]
    pub next_offset: u64,
}

/// Shows that the sender is alive, and reports its progress and load.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Offset of the next log record that the sender will fold; 0 if it has no state.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// Whether the sender is shutting down and takes no new work.
    #[prost(bool, tag = "2")]
    pub is_leaving: bool,
    /// Work that the sender has outstanding at each upstream.
    #[prost(message, repeated, tag = "3")]
    pub outstanding: Vec<OutstandingWork>,
    /// Hash of the last log record that the sender has folded; 0 if it is not retained.
    #[prost(uint64, tag = "4")]
    pub last_record_hash: u64,
}

/// Work that one router has outstanding at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct OutstandingWork {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Number of requests that have not ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Number of tokens that these requests are still expected to need.
    #[prost(uint64, tag = "3")]
    pub outstanding_tokens: u64,
}

/// Requests spending rights on a customer's budget.
#[derive(Clone, PartialEq, Message)]
pub struct TransferRequest {
    /// Number of the request, unique within the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Amount of rights requested.
    #[prost(uint64, tag = "3")]
    pub amount_tokens: u64,
}

/// Transfers spending rights; the sender has already subtracted them from its own.
#[derive(Clone, PartialEq, Message)]
pub struct Transfer {
    /// Number of the transfer, unique within the sender's incarnation; the receiver ignores a second copy.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the request that this answers; 0 for a return.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Name of the customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Transferred rights by grant; empty if the sender has none to spare.
    #[prost(message, repeated, tag = "4")]
    pub rights: Vec<Draw>,
}

/// Copies of bills that are not yet known to be in the log.
#[derive(Clone, PartialEq, Message)]
pub struct BillCopy {
    /// Number of the copy, unique within the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The bills.
    #[prost(message, repeated, tag = "2")]
    pub bills: Vec<Bill>,
}

/// Acknowledges a [`BillCopy`], whose bills the sender now holds.
#[derive(Clone, PartialEq, Message)]
pub struct BillCopyAck {
    /// Number of the acknowledged copy.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// Requests log records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {
    /// Offset of the first requested record.
    #[prost(uint64, tag = "1")]
    pub from_offset: u64,
}

/// Log records at consecutive offsets; empty if the sender no longer retains the requested ones.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// Offset of the first record.
    #[prost(uint64, tag = "1")]
    pub first_offset: u64,
    /// Payloads of the records, each an encoded [`Batch`](crate::record::Batch).
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub payloads: Vec<Vec<u8>>,
    /// XXH3 hashes of the records before the first one that the sender retains, the newest first; not more than the
    /// receiver needs to recognise that it has folded the same records.
    #[prost(uint64, repeated, tag = "3")]
    pub previous_hashes: Vec<u64>,
}

/// Requests a snapshot of the folded state.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {}

/// Part of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Offset of the first log record that is not part of the state; identifies the snapshot.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// Index of this chunk, starting at 0.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of chunks of the snapshot.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Bytes of this chunk.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}
