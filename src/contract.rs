//! Contracts of customers and the fleet's configuration.
//!
//! Both are published to the log as JSON and take effect by log order. They are validated whole before they are
//! accepted, because a record that half applies would differ between processes. See `docs/design.md`, section 3.

mod rules;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::validation;
pub use crate::validation::Error;

/// Share of the prepaid total that one router may hold unspent by default, in parts per million.
///
/// A crash strands at most this share of a budget until the grant is finalised.
pub const DEFAULT_WINDOW_PPM: u32 = 10_000;

/// Priority of a customer's requests; also the class by which metrics are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served first.
    High,
    /// Served after all high requests that can still be in time.
    Normal,
    /// Served with what is left.
    Low,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Returns the name used in settings, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

/// What one customer may use, from which every limit follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the customer.
    pub customer: CompactString,
    /// SHA-256 hashes, as 64 hexadecimal digits, of the bearer keys that the customer's callers send.
    pub api_key_sha256: Vec<CompactString>,
    /// Cumulative prepaid total; a top-up publishes a larger total.
    pub prepaid_total_tokens: u64,
    /// Share of the prepaid total that one router may hold unspent.
    #[serde(default = "default_window_ppm")]
    pub window_ppm: u32,
    /// Priority of the customer's requests.
    pub priority: Priority,
    /// Time from acceptance within which the whole response must be ready at the router.
    pub response_time_limit_ms: u64,
    /// Models that the customer may use.
    pub models: Vec<AllowedModel>,
    /// Plain services that the customer may use.
    #[serde(default)]
    pub services: Vec<CompactString>,
}

/// A model that a contract allows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowedModel {
    /// Name of the model as callers give it.
    pub model: CompactString,
    /// Versions that may serve the customer; empty allows all.
    #[serde(default)]
    pub versions: Vec<CompactString>,
}

/// The fleet's shared configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Models that callers may name.
    pub models: Vec<ModelRoute>,
    /// Plain services that callers may name.
    #[serde(default)]
    pub services: Vec<ServiceRoute>,
    /// Upstream workers.
    pub upstreams: Vec<Upstream>,
}

/// A model that callers may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRoute {
    /// Name of the model as callers give it.
    pub name: CompactString,
    /// Version that serves while no rollout runs and none has ended.
    pub version: CompactString,
    /// Largest response that the engine generates for one request.
    pub max_output_tokens: u64,
}

/// A plain service that callers may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Name of the service, the first segment after `/services/`.
    pub name: CompactString,
    /// Version that serves while no rollout runs and none has ended.
    pub version: CompactString,
    /// Whether a call may run more than once without harm.
    pub repeatable: bool,
    /// Time that one call may take at the upstream.
    pub timeout_ms: u64,
    /// Charge of one call.
    #[serde(default)]
    pub charge_tokens: u64,
}

/// Protocol that an upstream speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// One upstream worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the worker.
    pub name: CompactString,
    /// Address as `ip:port`.
    pub address: CompactString,
    /// Data centre in which the worker runs.
    pub data_centre: CompactString,
    /// Protocol that the worker speaks.
    pub kind: UpstreamKind,
    /// Model or service that the worker serves.
    pub serves: CompactString,
    /// Version that the worker has loaded.
    pub version: CompactString,
    /// Requests that the worker can run at the same time, for the whole fleet.
    pub capacity_requests: u32,
    /// Tokens that the worker generates per second when full; 0 for a plain service.
    #[serde(default)]
    pub tokens_per_second: u64,
    /// Whether the worker refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_window_ppm() -> u32 {
    DEFAULT_WINDOW_PPM
}

/// The contracts of one operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ContractFile {
    /// One contract for each customer.
    pub contracts: Vec<Contract>,
}

impl Contract {
    /// Parses and validates the JSON body of a contract.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn from_json(body: &[u8]) -> Result<Self, Error> {
        validation::from_value(parse_json(body)?)
    }

    /// Validates all fields.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn validate(&self) -> Result<(), Error> {
        validation::check::<Self>(&to_value(self)?)
    }

    /// Returns the most that one router may hold unspent.
    pub fn window_tokens(&self) -> u64 {
        rules::window_tokens(self.prepaid_total_tokens, self.window_ppm)
    }
}

impl ContractFile {
    /// Parses and validates a YAML file of contracts.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }

    /// Validates that the configuration has every model, version and service that the contracts name.
    ///
    /// The fold doesn't apply this rule, because contracts and configurations take effect independently of each other.
    ///
    /// # Errors
    ///
    /// Returns all fields that name something that the configuration lacks.
    pub fn validate_against(&self, configuration: &Configuration) -> Result<(), Error> {
        rules::check_references(self, configuration)
    }
}

impl Configuration {
    /// Parses and validates the JSON body of a configuration.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn from_json(body: &[u8]) -> Result<Self, Error> {
        validation::from_value(parse_json(body)?)
    }

    /// Parses and validates a YAML configuration.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }

    /// Validates all fields.
    ///
    /// # Errors
    ///
    /// Returns all fields that are not allowed.
    pub fn validate(&self) -> Result<(), Error> {
        validation::check::<Self>(&to_value(self)?)
    }
}

fn parse_json(body: &[u8]) -> Result<Value, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Syntax(error.to_string()))
}

fn to_value(document: &impl Serialize) -> Result<Value, Error> {
    serde_json::to_value(document).map_err(|error| Error::Syntax(error.to_string()))
}
