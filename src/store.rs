//! Interface to the platform's store, the only place where the state of a gateway outlives its process.
//!
//! The store keeps feeds of keyed records. A reader takes a snapshot of the newest record of each key and then follows
//! the changes from a position on. A writer appends on the condition that the feed still ends at a given position, so
//! that two writers never overwrite each other. The trait is the boundary of the process; `docs/design.md`, section 10,
//! lists what each feed holds.
//!
//! The store may return from an older copy after an outage: what was written since that copy is gone, and positions are
//! given out again. It numbers its states by an epoch, which rises with each such return; positions and conditions count
//! only within the epoch in which they were read.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

/// Epoch of a store that has never returned from an older copy; one that states no epoch never does.
pub const FIRST_EPOCH: u64 = 1;

/// A feed: a sequence of keyed records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Feed {
    /// Configuration and orders of operators; read only.
    Operator,
    /// Entries of upstreams; read only.
    Upstreams,
    /// Crashes of upstreams by the features of the requests that they were running, with a record for each VM.
    Crashes,
    /// Progress of version rollouts.
    RolloutStatus,
    /// Presence of routers, with the request counts that each one reports.
    Routers,
    /// Journals of routers, spread over slots by VM.
    Journals(u16),
    /// Budgets of teams, spread over slots so that few teams share the condition of an append.
    Budgets(u16),
}

/// A keyed record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: CompactString,
    /// Content; `None` if the key was removed.
    pub value: Option<Bytes>,
}

/// The newest record of each key of a feed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Records in no particular order.
    pub records: Vec<Record>,
    /// Position from which the changes since the snapshot are read.
    pub end: u64,
    /// Epoch in which the snapshot was read, and in which alone the position is valid.
    pub epoch: u64,
}

/// Changes of a feed since a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Records in the order in which they were written.
    Records {
        /// The records.
        records: Vec<Record>,
        /// Position of the next read.
        end: u64,
    },
    /// The store no longer retains the position; a new snapshot is needed.
    PositionExpired,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended.
    Written,
    /// The record was not appended, because the feed does not end at the expected position.
    Moved,
}

quick_error! {
    /// Why a call to the store failed.
    #[derive(Debug)]
    pub enum Error {
        /// The store refused the call and did nothing.
        Refused(step: &'static str, address: String, status: u16) {
            display("{} {}: status {}", step, address, status)
        }
        /// The call was not made.
        NotSent(step: &'static str, reason: &'static str) {
            display("{}: {}", step, reason)
        }
        /// The call failed; it may have taken effect or may still do so.
        Call(error: crate::log_client::Error) {
            display("{}", error)
            from()
        }
        /// The response cannot be used; the call may have taken effect.
        Unknown(step: &'static str, address: String, message: String) {
            display("{} {}: {}", step, address, message)
        }
    }
}

/// Operations of the store.
pub trait Store {
    /// Returns the newest epoch that a response of the store has stated; 0 before the first one.
    fn epoch(&self) -> u64;

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete snapshot of one epoch was received.
    fn snapshot(&self, feed: Feed) -> LocalBoxFuture<'_, Result<Snapshot, Error>>;

    /// Reads the records since a position; the store may hold the call for up to `wait_ms` while there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response was received in time, or only one of an earlier epoch.
    fn changes(
        &self,
        feed: Feed,
        from: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<Changes, Error>>;

    /// Appends a record if the feed ends at `expected_end`; without this condition the record is always appended.
    ///
    /// # Errors
    ///
    /// Returns an error if the store refused the call or its result is unknown; only a refused record was certainly not
    /// appended.
    fn append(
        &self,
        feed: Feed,
        expected_end: Option<u64>,
        record: Record,
    ) -> LocalBoxFuture<'_, Result<AppendOutcome, Error>>;
}
