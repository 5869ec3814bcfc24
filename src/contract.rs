//! Customer contracts and the fleet configuration.
//!
//! Both are published to the log as JSON and take effect in log order. A record is validated as a whole before it is
//! accepted, because applying it partially could make the state of processes diverge. See `docs/design.md`, section 3.

mod rules;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::validation;
pub use crate::validation::Error;

/// Share of the prepaid total that one router may hold unspent by default, in parts per million.
///
/// After a crash, at most this share of a budget is unavailable until the grant is finalised.
pub const DEFAULT_WINDOW_PPM: u32 = 10_000;

/// Priority of a customer's requests; also the class by which metrics are broken down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Served first.
    High,
    /// Served after all high-priority requests that can still meet their deadline.
    Normal,
    /// Served with the remaining capacity.
    Low,
}

impl Priority {
    /// All priorities, highest first.
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

/// What one customer may use; every limit on the customer is derived from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Name of the customer.
    pub customer: CompactString,
    /// SHA-256 hashes, as 64 hexadecimal digits, of the bearer keys of the customer's callers.
    pub api_key_sha256: Vec<CompactString>,
    /// Cumulative prepaid total; a top-up is published as a larger total.
    pub prepaid_total_tokens: u64,
    /// Share of the prepaid total that one router may hold unspent, in parts per million.
    #[serde(default = "default_window_ppm")]
    pub window_ppm: u32,
    /// Priority of the customer's requests.
    pub priority: Priority,
    /// Time limit from the acceptance of a request until its complete response is at the router.
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
    /// Name of the model in requests.
    pub model: CompactString,
    /// Versions that may serve the customer; an empty list allows all.
    #[serde(default)]
    pub versions: Vec<CompactString>,
}

/// Configuration that the whole fleet shares.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Models that callers may use.
    pub models: Vec<ModelRoute>,
    /// Plain services that callers may use.
    #[serde(default)]
    pub services: Vec<ServiceRoute>,
    /// Upstreams of the fleet.
    pub upstreams: Vec<Upstream>,
}

/// A model that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelRoute {
    /// Name of the model in requests.
    pub name: CompactString,
    /// Version that serves while no rollout runs and none has ended.
    pub version: CompactString,
    /// Largest response that the engine generates for one request, in tokens.
    pub max_output_tokens: u64,
}

/// A plain service that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Name of the service: the first path segment after `/services/`.
    pub name: CompactString,
    /// Version that serves while no rollout runs and none has ended.
    pub version: CompactString,
    /// Whether a call may safely run more than once.
    pub repeatable: bool,
    /// Time limit of one call at the upstream.
    pub timeout_ms: u64,
    /// Tokens charged for one call.
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

/// Configuration of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: CompactString,
    /// Address as `ip:port`.
    pub address: CompactString,
    /// Data centre in which the upstream runs.
    pub data_centre: CompactString,
    /// Protocol that the upstream speaks.
    pub kind: UpstreamKind,
    /// Model or service that the upstream serves.
    pub serves: CompactString,
    /// Version that the upstream has loaded.
    pub version: CompactString,
    /// Number of requests that the upstream can run concurrently, for the whole fleet.
    pub capacity_requests: u32,
    /// Tokens that the upstream generates per second at full load; 0 for a plain service.
    #[serde(default)]
    pub tokens_per_second: u64,
    /// Whether the upstream rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_window_ppm() -> u32 {
    DEFAULT_WINDOW_PPM
}

/// Contents of a contract file.
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
    /// Returns a syntax error, or all fields with a value that is not allowed.
    pub fn from_json(body: &[u8]) -> Result<Self, Error> {
        validation::from_value(parse_json(body)?)
    }

    /// Validates all fields.
    ///
    /// # Errors
    ///
    /// Returns all fields with a value that is not allowed.
    pub fn validate(&self) -> Result<(), Error> {
        validation::check::<Self>(&to_value(self)?)
    }

    /// Returns the largest number of tokens that one router may hold unspent.
    pub fn window_tokens(&self) -> u64 {
        rules::window_tokens(self.prepaid_total_tokens, self.window_ppm)
    }
}

impl ContractFile {
    /// Parses and validates a YAML file of contracts.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or all fields with a value that is not allowed.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }

    /// Checks that the configuration contains every model, version and service that the contracts name.
    ///
    /// Publications are not checked for this, because contracts and configurations take effect independently.
    ///
    /// # Errors
    ///
    /// Returns all fields that name something that the configuration does not contain.
    pub fn validate_against(&self, configuration: &Configuration) -> Result<(), Error> {
        rules::check_references(self, configuration)
    }
}

impl Configuration {
    /// Parses and validates the JSON body of a configuration.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or all fields with a value that is not allowed.
    pub fn from_json(body: &[u8]) -> Result<Self, Error> {
        validation::from_value(parse_json(body)?)
    }

    /// Parses and validates a YAML configuration.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or all fields with a value that is not allowed.
    pub fn from_yaml(text: &str) -> Result<Self, Error> {
        validation::from_yaml(text)
    }

    /// Validates all fields.
    ///
    /// # Errors
    ///
    /// Returns all fields with a value that is not allowed.
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
