//! Settings of one router process.
//!
//! The file is validated whole before anything is opened, so that a process either starts as asked or not at all. See
//! `docs/design.md`, section 5.

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
}

/// Addresses to listen on, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: CompactString,
    /// For operators and scrapers.
    pub admin: CompactString,
    /// For other routers.
    pub peers: CompactString,
}

/// Addresses of the platform, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// Log service.
    pub log: CompactString,
    /// List of VMs.
    pub vm_list: CompactString,
    /// Weight store.
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
    /// Connections of callers.
    pub connections: u32,
    /// Time in which a caller must send the whole request.
    pub request_read_timeout_ms: u64,
    /// Time after which a reader that takes nothing is disconnected.
    pub reader_idle_timeout_ms: u64,
    /// Memory for responses that callers have not read yet, for the whole process.
    pub reader_buffer_bytes: u64,
    /// Time that a planned stop may take.
    pub shutdown_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            connections: 20_000,
            request_read_timeout_ms: 10_000,
            reader_idle_timeout_ms: 30_000,
            reader_buffer_bytes: 48 << 20,
            shutdown_timeout_ms: 120_000,
        }
    }
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read, or all fields that are not allowed.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Read(e.to_string()))?;
        Self::from_yaml(&text)
    }

    /// Parses and validates YAML settings.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }
}
