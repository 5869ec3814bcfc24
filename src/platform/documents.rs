//! JSON documents in the store: configuration and upstream entries.
//!
//! Unknown fields are ignored, because the platform may add fields.

use std::net::SocketAddr;

use compact_str::CompactString;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use super::bounds::{bounded, MAX_EVENT_TOKENS, MAX_REQUESTS, MAX_TIME_MS};
use crate::allowance::MAX_BUDGET_TOKENS;
use crate::directory::UpstreamEntry;
use crate::evacuation::OrderRecord;
use crate::rollout_completion::NO_DEADLINE_MS;
use crate::routing::{CallerLimits, RetrySemantics, Route, RoutingConfiguration, Service, Team};
use crate::upstream_limits::MAX_LIMIT_MILLI_PER_S;
use crate::version_canary::{RolloutOrder, RolloutState};

/// Step in the log.
const CONFIGURATION: &str = "configuration";

/// Key of the configuration in the feed of the operator.
pub const CONFIGURATION_KEY: &str = "config";

/// Prefix of the keys of orders to keep requests away from a data centre.
const EVACUATION_PREFIX: &str = "evacuate/";

/// Prefix of the keys of orders to move a service to a version, and of their progress.
const ROLLOUT_PREFIX: &str = "rollout/";

quick_error! {
    /// Why a document cannot be decoded.
    #[derive(Debug)]
    pub enum Error {
        /// The document is not JSON, or a field is missing or has another type.
        Syntax(step: &'static str, message: String) {
            display("{}: {}", step, message)
        }
        /// A field has a value that is not among the known ones.
        Value(step: &'static str, field: &'static str, value: String) {
            display("{}: {} has the unknown value {}", step, field, value)
        }
    }
}

#[derive(Deserialize)]
struct ConfigurationDocument {
    version: u64,
    routes: Vec<RouteDocument>,
    services: Vec<ServiceDocument>,
    limits: LimitsDocument,
    #[serde(default)]
    tenants: Vec<TeamDocument>,
}

#[derive(Deserialize)]
struct RouteDocument {
    name: CompactString,
    host: CompactString,
    path_prefix: CompactString,
    kind: CompactString,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u8,
    service: Option<CompactString>,
    #[serde(default)]
    weighted_split: Vec<SplitDocument>,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
}

fn default_max_attempts() -> u32 {
    1
}

#[derive(Deserialize)]
struct SplitDocument {
    service: CompactString,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceDocument {
    name: CompactString,
    max_conns: Option<u32>,
    engine: Option<EngineDocument>,
    #[serde(default)]
    cold_start_s: f64,
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(Deserialize)]
struct EngineDocument {
    /// Number of tokens in one event of a stream.
    #[serde(default = "default_stride")]
    stride: u64,
}

fn default_stride() -> u64 {
    1
}

#[derive(Deserialize)]
struct LimitsDocument {
    max_header_bytes: u64,
    max_body_bytes: u64,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

#[derive(Deserialize)]
struct TeamDocument {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    priority: Option<u8>,
    prepaid: Option<f64>,
}

/// Decodes a configuration.
///
/// # Errors
///
/// Returns an error that names the first field that is missing, has another type or an unknown value.
pub fn decode_configuration(bytes: &[u8]) -> Result<RoutingConfiguration, Error> {
    let document: ConfigurationDocument = serde_json::from_slice(bytes)
        .map_err(|error| Error::Syntax(CONFIGURATION, error.to_string()))?;
    let routes = document.routes.into_iter().map(route);
    Ok(RoutingConfiguration {
        version: document.version,
        routes: routes.collect::<Result<_, _>>()?,
        services: document.services.into_iter().map(service).collect(),
        teams: document.tenants.into_iter().map(team).collect(),
        limits: CallerLimits {
            head_bytes: document.limits.max_header_bytes,
            body_bytes: document.limits.max_body_bytes,
            head_timeout_ms: time_ms("header_timeout_ms", document.limits.header_timeout_ms),
            idle_timeout_ms: time_ms("idle_timeout_ms", document.limits.idle_timeout_ms),
        },
    })
}

fn time_ms(field: &str, value_ms: f64) -> u64 {
    bounded(CONFIGURATION, field, value_ms, MAX_TIME_MS)
}

fn route(document: RouteDocument) -> Result<Route, Error> {
    let (retry_semantics, is_stream) = match document.kind.as_str() {
        "idempotent" => (RetrySemantics::Idempotent, false),
        "non_idempotent" => (RetrySemantics::AtMostOnce, false),
        "streaming" if document.resumable => (RetrySemantics::Resumable, true),
        "streaming" => (RetrySemantics::AtMostOnce, true),
        other => return Err(Error::Value(CONFIGURATION, "kind", other.into())),
    };
    let split = document.weighted_split.into_iter();
    let mut targets: Vec<_> = split
        .map(|part| (part.service, (part.weight * 100.0) as u32))
        .collect();
    if targets.is_empty() {
        targets.extend(document.service.map(|service| (service, 1)));
    }
    Ok(Route {
        name: document.name,
        host: document.host,
        path_prefix: document.path_prefix,
        retry_semantics,
        is_stream,
        timeout_ms: time_ms("timeout_ms", document.timeout_ms),
        target_latency_ms: time_ms("target_latency_ms", document.target_latency_ms),
        priority: document.priority,
        targets,
        max_attempts: document.max_attempts.max(1),
        is_public: document.public,
    })
}

fn service(document: ServiceDocument) -> Service {
    Service {
        name: document.name,
        max_connections: document.max_conns.unwrap_or(u32::MAX),
        event_tokens: document.engine.map(|engine| {
            let tokens = engine.stride.max(1) as f64;
            bounded(CONFIGURATION, "stride", tokens, MAX_EVENT_TOKENS)
        }),
        cold_start_ms: time_ms("cold_start_s", document.cold_start_s * 1_000.0),
        cold_requests_milli_per_s: bounded(
            CONFIGURATION,
            "cold_per_s",
            document.cold_per_s * 1_000.0,
            MAX_LIMIT_MILLI_PER_S,
        ),
    }
}

fn team(document: TeamDocument) -> Team {
    Team {
        name: document.name,
        api_keys: document.api_keys,
        priority: document.priority,
        prepaid_tokens: document
            .prepaid
            .map(|tokens| bounded(CONFIGURATION, "prepaid", tokens, MAX_BUDGET_TOKENS)),
    }
}

#[derive(Deserialize)]
struct EntryDocument {
    service: CompactString,
    addr: SocketAddr,
    zone: CompactString,
    #[serde(default)]
    version: CompactString,
    slots: u32,
    state: CompactString,
    seq: Option<u64>,
    born: u64,
    #[serde(default)]
    cold_left_ms: f64,
}

/// Decodes the entry of an upstream.
///
/// # Errors
///
/// Returns an error that names the first field that is missing, has another type or an unknown value.
pub fn decode_entry(bytes: &[u8]) -> Result<UpstreamEntry, Error> {
    const STEP: &str = "upstream entry";
    let document: EntryDocument =
        serde_json::from_slice(bytes).map_err(|error| Error::Syntax(STEP, error.to_string()))?;
    let is_draining = match document.state.as_str() {
        "ready" => false,
        "draining" => true,
        other => return Err(Error::Value(STEP, "state", other.into())),
    };
    Ok(UpstreamEntry {
        service: document.service,
        address: document.addr,
        data_centre: document.zone,
        version: document.version,
        slots: bounded(STEP, "slots", document.slots.into(), MAX_REQUESTS.into()) as u32,
        is_draining,
        started_ms: Some(document.born),
        report_sequence: document.seq,
        cold_left_ms: bounded(
            STEP,
            "cold_left_ms",
            document.cold_left_ms.ceil(),
            MAX_TIME_MS,
        ),
    })
}

/// Returns the data centre in the key of an order to keep requests away from it; `None` for other keys.
pub fn evacuated_data_centre(key: &str) -> Option<&str> {
    key.strip_prefix(EVACUATION_PREFIX)
}

/// Decodes the value of such an order; its fields are not used.
pub fn decode_evacuation(value: Option<&[u8]>) -> OrderRecord {
    let Some(bytes) = value else {
        return OrderRecord::Withdrawn;
    };
    match serde_json::from_slice::<serde_json::Map<String, serde_json::Value>>(bytes) {
        Ok(_) => OrderRecord::Ordered,
        Err(_) => OrderRecord::Invalid,
    }
}

#[derive(Deserialize)]
struct RolloutOrderDocument {
    service: CompactString,
    target: CompactString,
    ramp_s: Option<f64>,
}

#[derive(Serialize, Deserialize)]
struct RolloutStatusDocument {
    #[serde(default)]
    service: CompactString,
    target: CompactString,
    state: CompactString,
}

/// Returns the service in the key of an order or its progress; `None` for other keys.
pub fn rollout_service(key: &str) -> Option<&str> {
    key.strip_prefix(ROLLOUT_PREFIX)
}

/// Returns the key of the progress of an order.
pub fn rollout_key(service: &str) -> CompactString {
    compact_str::format_compact!("{ROLLOUT_PREFIX}{service}")
}

/// Returns the name by which operators know a state.
pub fn rollout_state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Running => "running",
        RolloutState::Completed => "completed",
        RolloutState::RolledBack => "rolled_back",
    }
}

/// Decodes an order to move a service to a version.
///
/// # Errors
///
/// Returns an error that names the first field that is missing or has another type.
pub fn decode_rollout_order(bytes: &[u8]) -> Result<RolloutOrder, Error> {
    let document: RolloutOrderDocument = serde_json::from_slice(bytes)
        .map_err(|error| Error::Syntax("rollout order", error.to_string()))?;
    Ok(RolloutOrder {
        service: document.service,
        target: document.target,
        ramp_ms: document
            .ramp_s
            .filter(|ramp_s| *ramp_s > 0.0)
            .map(|ramp_s| ((ramp_s * 1_000.0) as u64).min(NO_DEADLINE_MS)),
    })
}

/// Encodes the progress of an order.
pub fn encode_rollout_status(service: &str, target: &str, state: RolloutState) -> Vec<u8> {
    let document = RolloutStatusDocument {
        service: service.into(),
        target: target.into(),
        state: rollout_state_name(state).into(),
    };
    // A document of strings always serialises.
    serde_json::to_vec(&document).unwrap_or_default()
}

/// Decodes the progress of an order; returns the version and the state.
///
/// # Errors
///
/// Returns an error that names the first field that is missing, has another type or an unknown value.
pub fn decode_rollout_status(bytes: &[u8]) -> Result<(CompactString, RolloutState), Error> {
    const STEP: &str = "rollout status";
    let document: RolloutStatusDocument =
        serde_json::from_slice(bytes).map_err(|error| Error::Syntax(STEP, error.to_string()))?;
    let states = [
        RolloutState::Running,
        RolloutState::Completed,
        RolloutState::RolledBack,
    ];
    let state = states
        .into_iter()
        .find(|state| rollout_state_name(*state) == document.state);
    match state {
        Some(state) => Ok((document.target, state)),
        None => Err(Error::Value(STEP, "state", document.state.into())),
    }
}
