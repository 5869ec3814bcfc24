//! Settings of one gateway process.
//!
//! The whole file is validated before any resource is acquired. The deployment renders it from `deploy/settings.yaml`.

use std::path::Path;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::cold_upstreams::ColdRule;
use crate::routing::Service;
use crate::shared_limits::RetryRule;
use crate::validation::Error;
use crate::validation::{self, field, Document, Field, FieldType, ProblemCollector, Schema};

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: CompactString,
    /// Data centre of the VM.
    pub data_centre: CompactString,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Resources of the VM.
    pub resources: Resources,
    /// Limits that operators set for the whole fleet.
    pub fleet: FleetLimits,
}

/// Addresses to listen on, as `ip:port`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: CompactString,
    /// Address for readiness probes of the load balancer.
    pub readiness: CompactString,
    /// Address for scrapes of the metrics.
    pub metrics: CompactString,
    /// Address for datagrams of other gateways.
    pub peers: CompactString,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address, as `ip:port`.
    pub address: CompactString,
    /// Number of partitions of a topic.
    pub partitions: u16,
    /// Rate of writing calls that the store accepts from all gateways together, per second.
    pub writes_per_s: u64,
    /// Rate of reading calls that the store accepts from all gateways together, per second.
    pub reads_per_s: u64,
}

/// Resources of the VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open.
    pub descriptors: u64,
    /// Processor time that the process may use, in cores.
    pub processor_cores: f64,
    /// Bandwidth of the VM's network link, in Mbit/s.
    pub link_mbps: f64,
    /// Part of the memory that holds requests of callers and responses that they have not read, in percent.
    #[serde(default = "default_buffer_percent")]
    pub buffer_percent: u64,
}

/// Returns the default of `buffer_percent`. The process itself and its connections take up to 27 MB, which leaves a
/// margin on the smallest VMs, of 88 MB.
fn default_buffer_percent() -> u64 {
    50
}

impl Resources {
    /// Returns the memory for requests of callers and for unread responses.
    pub fn buffer_bytes(&self) -> usize {
        ((self.memory_mb << 20) / 100 * self.buffer_percent) as usize
    }

    /// Returns the capacity of the VM for the rights of teams, in thousandths of an ordinary one.
    ///
    /// A reservation costs some tens of microseconds and some hundred bytes, so the processor decides unless the link
    /// is so narrow that responses fill it.
    pub fn weight_permille(&self) -> u32 {
        /// Processor share of an ordinary VM.
        const ORDINARY_CORES: f64 = 0.25;
        /// Bandwidth below which a link is often filled by responses, in Mbit/s.
        const NARROW_LINK_MBPS: f64 = 50.0;
        let processor = self.processor_cores / ORDINARY_CORES;
        let link = (self.link_mbps / NARROW_LINK_MBPS).min(1.0);
        (processor * link * 1_000.0).clamp(1.0, 100_000.0) as u32
    }
}

/// Limits that operators set for the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLimits {
    /// Retries that are allowed for each request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Retries of a service that are allowed in addition to the ratio, over all gateways.
    pub retry_slack: u64,
    /// Length of the window over which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Time between the shutdown signal and the forced end of the process, in seconds.
    pub stop_grace_s: f64,
    /// Whether the whole fleet starts for the first time, so that no budget has been used yet.
    #[serde(default)]
    pub is_first_start: bool,
    /// Factor by which requests to a cold upstream may exceed the rate that it takes; without it no upstream counts as
    /// cold.
    #[serde(default)]
    pub cold_overshoot_ratio: Option<f64>,
    /// Requests to a cold upstream that are tolerated beyond that in a second.
    #[serde(default)]
    pub cold_slack_requests: Option<f64>,
}

impl FleetLimits {
    /// Replaces the tolerance for cold upstreams by the figures that are given.
    pub fn override_cold_tolerance(
        &mut self,
        overshoot_ratio: Option<f64>,
        slack_requests: Option<f64>,
    ) {
        self.cold_overshoot_ratio = overshoot_ratio.or(self.cold_overshoot_ratio);
        self.cold_slack_requests = slack_requests.or(self.cold_slack_requests);
    }

    /// Returns the limit on retries.
    pub fn retry_rule(&self) -> RetryRule {
        RetryRule {
            ratio_permille: (self.retry_ratio * 1_000.0) as u64,
            slack: self.retry_slack,
            window_ms: (self.retry_window_s * 1_000.0) as u64,
        }
    }

    /// Returns what upstreams of a service tolerate while they are cold; `None` if they never are.
    pub fn cold_rule(&self, service: &Service) -> Option<ColdRule> {
        let ratio = self.cold_overshoot_ratio?;
        let per_s = service.cold_requests_milli_per_s as f64 / 1_000.0;
        if service.cold_start_ms == 0 || service.cold_requests_milli_per_s == 0 {
            return None;
        }
        let tolerated = per_s * ratio + self.cold_slack_requests.unwrap_or(0.0);
        Some(ColdRule {
            start_ms: service.cold_start_ms,
            tolerated_requests: tolerated as u64,
        })
    }
}

const SETTINGS: Schema = Schema(&[
    field("vm", FieldType::Name),
    field("data_centre", FieldType::Name),
    field("listen", FieldType::Object(&LISTEN)),
    field("store", FieldType::Object(&STORE)),
    field("resources", FieldType::Object(&RESOURCES)),
    field("fleet", FieldType::Object(&FLEET)),
]);

const LISTEN: Schema = Schema(&[
    field("callers", FieldType::ListenAddress),
    field("readiness", FieldType::ListenAddress),
    field("metrics", FieldType::ListenAddress),
    field("peers", FieldType::ListenAddress),
]);

const STORE: Schema = Schema(&[
    field("address", FieldType::Address),
    integer("partitions", 1, 10_000, "partitions"),
    integer("writes_per_s", 1, 1_000_000, "calls"),
    integer("reads_per_s", 1, 1_000_000, "calls"),
]);

const RESOURCES: Schema = Schema(&[
    integer("memory_mb", 16, 1 << 20, "megabytes"),
    integer("descriptors", 256, 1 << 20, "descriptors"),
    number("processor_cores", 0.01, 1_024.0),
    number("link_mbps", 0.1, 1_000_000.0),
    integer("buffer_percent", 10, 80, "percent").optional(),
]);

const FLEET: Schema = Schema(&[
    number("retry_ratio", 0.0, 10.0),
    integer("retry_slack", 0, 1_000_000, "retries"),
    number("retry_window_s", 0.1, 3_600.0),
    number("stop_grace_s", 0.1, 3_600.0),
    field("is_first_start", FieldType::Boolean).optional(),
    number("cold_overshoot_ratio", 0.0, 100.0).optional(),
    number("cold_slack_requests", 0.0, 1_000_000.0).optional(),
]);

const fn integer(name: &'static str, min: u64, max: u64, unit: &'static str) -> Field {
    field(name, FieldType::Integer { min, max, unit })
}

const fn number(name: &'static str, min: f64, max: f64) -> Field {
    field(name, FieldType::Number { min, max })
}

impl Document for Settings {
    const SCHEMA: &'static Schema = &SETTINGS;

    fn check_relations(_value: &Value, _problems: &mut ProblemCollector) {}
}

impl Settings {
    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all fields with invalid values.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|e| Error::Read(e.to_string()))?;
        Self::from_yaml(&text)
    }

    /// Parses and validates YAML settings.
    ///
    /// # Errors
    ///
    /// Returns all fields with invalid values.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }
}
