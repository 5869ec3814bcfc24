//! Settings of one router process.
//!
//! The whole file is validated before anything is opened, so that a process starts with valid settings or not at all.
//! See `docs/design.md`, section 5.

mod rules;

use std::path::Path;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::validation;
pub use crate::validation::Error;

/// Settings of one router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: CompactString,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the platform.
    pub platform: PlatformAddresses,
    /// Limits of this process.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals of the fleet protocol. Operators keep the defaults; tests use shorter intervals.
    #[serde(default)]
    pub timing: Timing,
}

/// Addresses to listen on, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: CompactString,
    /// Address for operators and metric scrapers.
    pub admin: CompactString,
    /// Address for other routers.
    pub peers: CompactString,
}

/// Addresses of the platform, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// Address of the log service.
    pub log: CompactString,
    /// Address of the VM list.
    pub vm_list: CompactString,
    /// Address of the weight store.
    pub weight_store: CompactString,
}

/// Limits of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    pub body_bytes: u64,
    /// Largest request head.
    pub head_bytes: u64,
    /// Largest number of connections from callers.
    pub connections: u32,
    /// Time limit for a caller to send the whole request.
    pub request_read_timeout_ms: u64,
    /// Time after which a caller that reads nothing is disconnected.
    pub reader_idle_timeout_ms: u64,
    /// Memory of the whole process for response data that callers have not read yet.
    pub reader_buffer_bytes: u64,
    /// Memory of the whole process for requests; the default is [`Limits::request_buffer_bytes`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_buffer_bytes: Option<u64>,
    /// Time limit of a graceful shutdown.
    pub shutdown_timeout_ms: u64,
}

/// Default memory of the whole process for requests.
const REQUEST_BUFFER_BYTES: u64 = 64 << 20;

impl Limits {
    /// Returns the memory of the whole process for requests: 64 MiB if none is set, or twice the largest body if that is
    /// more, so that one customer's share holds a body.
    pub fn request_buffer_bytes(&self) -> u64 {
        let default = REQUEST_BUFFER_BYTES.max(2 * self.body_bytes);
        self.request_buffer_bytes.unwrap_or(default)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            connections: 20_000,
            request_read_timeout_ms: 10_000,
            reader_idle_timeout_ms: 120_000,
            reader_buffer_bytes: 48 << 20,
            request_buffer_bytes: None,
            shutdown_timeout_ms: 120_000,
        }
    }
}

/// Intervals and time limits of the fleet protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Shortest time between two appends of one process; the log accepts several hundred appends per second in total.
    pub flush_interval_ms: u64,
    /// Longest time between two appends of one process; an empty batch shows that an idle process is alive.
    pub empty_batch_interval_ms: u64,
    /// Time after which an append without a response is retried.
    pub append_timeout_ms: u64,
    /// Time for which the log may hold a read open while there is no new record.
    pub poll_wait_ms: u64,
    /// Shortest time between two reads of the log, so that a busy log is read in pages instead of record by record.
    pub poll_interval_ms: u64,
    /// Time between two heartbeats to one peer.
    pub heartbeat_interval_ms: u64,
    /// Time without a heartbeat after which a peer is considered down.
    pub heartbeat_timeout_ms: u64,
    /// Time without a log record and without a heartbeat after which an incarnation may be closed.
    pub close_after_ms: u64,
    /// Time after which an incarnation that has ended may be finalised; must exceed the run time of any request.
    pub finalize_after_ms: u64,
    /// Time between two reads of the platform's VM list.
    pub vm_list_interval_ms: u64,
    /// Longest delay between two attempts to connect to a peer.
    pub reconnect_limit_ms: u64,
    /// Number of log records between two snapshots; must be well below the number of records that the log retains.
    pub snapshot_interval_records: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            flush_interval_ms: 100,
            empty_batch_interval_ms: 10_000,
            append_timeout_ms: 2_000,
            poll_wait_ms: 1_000,
            poll_interval_ms: 20,
            heartbeat_interval_ms: 1_000,
            heartbeat_timeout_ms: 5_000,
            close_after_ms: 60_000,
            finalize_after_ms: 2 * 60 * 60 * 1_000,
            vm_list_interval_ms: 2_000,
            reconnect_limit_ms: 5_000,
            snapshot_interval_records: 10_000,
        }
    }
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all fields with a value that is not allowed.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Read(e.to_string()))?;
        Self::from_yaml(&text)
    }

    /// Parses and validates YAML settings.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or all fields with a value that is not allowed.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }
}
