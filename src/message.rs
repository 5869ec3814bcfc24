//! Messages between router processes.
//!
//! Each message travels in one length-delimited frame of at most [`MAX_FRAME_BYTES`]. The first frame of a link is a
//! [`Hello`], so that both ends know the protocol version and the incarnation before anything else counts.

use prost::{Message, Oneof};

use crate::record::{Bill, Draw};

/// Version of the router-to-router protocol.
pub const PROTOCOL_VERSION: u32 = 1;

/// Largest frame that a process accepts or sends, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// One frame between two routers; an unknown kind decodes as `None` and is ignored.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message itself.
    #[prost(oneof = "PeerMessage", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
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
    /// First message of a link.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Sign of life.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Asks the peer for budget rights.
    #[prost(message, tag = "3")]
    TransferRequest(TransferRequest),
    /// Hands budget rights over.
    #[prost(message, tag = "4")]
    Transfer(Transfer),
    /// Hands idle budget rights back.
    #[prost(message, tag = "5")]
    TransferReturn(Transfer),
    /// Asks the peer to keep copies of bills until they are on the log.
    #[prost(message, tag = "6")]
    BillCopy(BillCopy),
    /// Confirms that copies are kept.
    #[prost(message, tag = "7")]
    BillCopyAck(BillCopyAck),
    /// Tells of a crash before it is on the log.
    #[prost(message, tag = "8")]
    CrashNotice(crate::record::Crash),
    /// Asks for log records from an offset on.
    #[prost(message, tag = "9")]
    RecordsRequest(RecordsRequest),
    /// Relays log records.
    #[prost(message, tag = "10")]
    Records(Records),
    /// Asks for the peer's folded state.
    #[prost(message, tag = "11")]
    SnapshotRequest(SnapshotRequest),
    /// Part of a folded state.
    #[prost(message, tag = "12")]
    SnapshotChunk(SnapshotChunk),
}

/// First message of a link.
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
    /// Next log offset that the sender will fold.
    #[prost(uint64, tag = "5")]
    pub next_offset: u64,
}

/// Sign of life with the figures that peers need.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Next log offset that the sender will fold.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// Whether the sender is shutting down and takes no new work.
    #[prost(bool, tag = "2")]
    pub is_leaving: bool,
    /// Tokens that the sender has outstanding at each upstream.
    #[prost(message, repeated, tag = "3")]
    pub outstanding: Vec<OutstandingWork>,
}

/// Work that one router has outstanding at one upstream.
#[derive(Clone, PartialEq, Message)]
pub struct OutstandingWork {
    /// Name of the upstream.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Requests not yet ended.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Tokens still expected.
    #[prost(uint64, tag = "3")]
    pub outstanding_tokens: u64,
}

/// Asks the peer for rights on a customer's budget.
#[derive(Clone, PartialEq, Message)]
pub struct TransferRequest {
    /// Number of the request, unique within the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Name of the customer.
    #[prost(string, tag = "2")]
    pub customer: String,
    /// Rights asked for.
    #[prost(uint64, tag = "3")]
    pub amount_tokens: u64,
}

/// Hands rights over; the sender has already lowered its own.
#[derive(Clone, PartialEq, Message)]
pub struct Transfer {
    /// Number of the transfer, unique within the sender's incarnation; a second copy is ignored.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// Number of the request that this answers; 0 for a hand-back.
    #[prost(uint64, tag = "2")]
    pub request_id: u64,
    /// Name of the customer.
    #[prost(string, tag = "3")]
    pub customer: String,
    /// Rights by grant; empty if the sender has none to give.
    #[prost(message, repeated, tag = "4")]
    pub rights: Vec<Draw>,
}

/// Copies of bills that are not yet known to be on the log.
#[derive(Clone, PartialEq, Message)]
pub struct BillCopy {
    /// Number of the copy, unique within the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The bills.
    #[prost(message, repeated, tag = "2")]
    pub bills: Vec<Bill>,
}

/// Confirms that a [`BillCopy`] is kept.
#[derive(Clone, PartialEq, Message)]
pub struct BillCopyAck {
    /// Number of the confirmed copy.
    #[prost(uint64, tag = "1")]
    pub id: u64,
}

/// Asks for log records.
#[derive(Clone, PartialEq, Message)]
pub struct RecordsRequest {
    /// First offset wanted.
    #[prost(uint64, tag = "1")]
    pub from_offset: u64,
}

/// Log records in offset order without gaps.
#[derive(Clone, PartialEq, Message)]
pub struct Records {
    /// Offset of the first payload.
    #[prost(uint64, tag = "1")]
    pub first_offset: u64,
    /// Encoded batches.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub payloads: Vec<Vec<u8>>,
}

/// Asks for the folded state.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {}

/// Part of a serialised state.
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotChunk {
    /// Next log offset after the state.
    #[prost(uint64, tag = "1")]
    pub next_offset: u64,
    /// Number of this chunk, starting at 0.
    #[prost(uint32, tag = "2")]
    pub index: u32,
    /// Number of chunks of the state.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Bytes of this chunk.
    #[prost(bytes = "vec", tag = "4")]
    pub data: Vec<u8>,
}
