//! Validation of a request before anything is reserved for it.

use compact_str::{format_compact, CompactString};
use http::header::AUTHORIZATION;
use http::{HeaderMap, Method};
use sha2::{Digest, Sha256};

use super::Shared;
use crate::contract::{Contract, Priority, ServiceRoute};
use crate::crash_attribution::{Feature, MAX_REQUEST_FEATURES};
use crate::fleet_state::FleetState;
use crate::ids::{CustomerKey, Fingerprint, RequestKey};
use crate::refusal::{ExecutionStatus, Refusal};
use crate::server::{ChatRequest, Request};

/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// A refusal with the details that are sent to the caller.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) execution_status: ExecutionStatus,
    pub(super) message: String,
    pub(super) retry_after_ms: Option<u64>,
}

impl Refused {
    pub(super) fn new(refusal: Refusal, message: impl Into<String>) -> Self {
        Self {
            refusal,
            execution_status: refusal.execution_status(),
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns a description for operators.
    pub(super) fn explanation(&self) -> CompactString {
        let ran = match self.execution_status {
            ExecutionStatus::NotRun => "not run",
            ExecutionStatus::MayHaveRun => "may have run",
        };
        format_compact!(
            "refused as {} ({ran}): {}",
            self.refusal.code(),
            self.message
        )
    }

    pub(super) fn retry_after(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}

/// Kind of a call, with the parameters that only this kind has.
#[derive(Clone, Debug)]
pub(super) enum CallKind {
    /// A chat completion by a model engine.
    Chat {
        /// Whether the response is a stream of server-sent events.
        is_stream: bool,
        /// Hashes of the prefixes of the prompt, for the choice of an upstream.
        prefix_hashes: Vec<u64>,
        /// Estimated number of tokens in the prompt, for the choice of an upstream.
        prompt_tokens: u64,
    },
    /// A call to a plain service.
    Service {
        /// Whether the call may run more than once.
        repeatable: bool,
        /// Time limit of one attempt at an upstream.
        timeout_ms: u64,
        /// Charge of the call.
        charge_tokens: u64,
    },
}

/// A request that was parsed, authenticated and validated.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) customer: CustomerKey,
    pub(super) customer_name: CompactString,
    pub(super) priority: Priority,
    pub(super) key: RequestKey,
    pub(super) fingerprint: Fingerprint,
    /// Features by which crashes of upstreams are attributed.
    pub(super) features: Vec<Feature>,
    /// Model or service and how it is used, such as `large/stream`; health and evidence are tracked per route.
    pub(super) route: CompactString,
    /// Name of the model or service.
    pub(super) target_name: CompactString,
    /// Versions that the contract allows; if empty, all are allowed.
    pub(super) versions: Vec<CompactString>,
    /// Version that is used while no rollout governs the route.
    pub(super) configured_version: CompactString,
    /// Largest possible charge.
    pub(super) max_charge_tokens: u64,
    pub(super) accepted_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) kind: CallKind,
    pub(super) request: Request,
}

impl Call {
    /// Returns whether the upstream may run the request more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        !matches!(
            self.kind,
            CallKind::Service {
                repeatable: false,
                ..
            }
        )
    }

    /// Returns whether the response is a stream of server-sent events.
    pub(super) fn is_stream(&self) -> bool {
        matches!(
            self.kind,
            CallKind::Chat {
                is_stream: true,
                ..
            }
        )
    }

    /// Parses, authenticates and validates a request.
    ///
    /// The error includes the key of the request, once it is known.
    pub(super) fn from_request(
        shared: &Shared,
        request: Request,
    ) -> Result<Self, (Refused, Option<RequestKey>)> {
        let state = shared.fleet.state();
        let path = request.uri.path();
        if path != "/v1/chat/completions" && !path.starts_with("/services/") {
            return Err((Refused::new(Refusal::NotFound, "no such path"), None));
        }
        let customer = authenticate(shared, &request).map_err(|refused| (refused, None))?;
        let Some(in_force) = state.contracts.get(&customer) else {
            return Err((unauthorized(), None));
        };
        let contract = &in_force.contract;
        let key = request_key(&request, contract).map_err(|refused| (refused, None))?;
        let now_ms = shared.now_ms();
        let checked = if path == "/v1/chat/completions" {
            check_chat(&state, contract, &request)
        } else {
            check_service(&state, contract, &request)
        };
        let target = checked.map_err(|refused| (refused, Some(key)))?;
        let fingerprint = Fingerprint::of(&request.uri.to_string(), &request.body);
        let mut features = target.shared_features;
        features.truncate(MAX_REQUEST_FEATURES - 1);
        features.push(Feature(fingerprint.0));
        Ok(Self {
            customer,
            customer_name: contract.customer.clone(),
            priority: contract.priority,
            key,
            fingerprint,
            features,
            route: target.route,
            target_name: target.name,
            versions: target.versions,
            configured_version: target.configured_version,
            max_charge_tokens: target.max_charge_tokens,
            accepted_ms: now_ms,
            deadline_ms: now_ms + contract.response_time_limit_ms,
            kind: target.kind,
            request,
        })
    }
}

/// The model or service that a request addresses.
struct Target {
    route: CompactString,
    name: CompactString,
    versions: Vec<CompactString>,
    configured_version: CompactString,
    max_charge_tokens: u64,
    kind: CallKind,
    /// Features of the messages that other requests may share.
    shared_features: Vec<Feature>,
}

fn authenticate(shared: &Shared, request: &Request) -> Result<CustomerKey, Refused> {
    customer_of(shared, &request.headers).ok_or_else(unauthorized)
}

/// Returns the customer whose bearer key the header fields contain.
pub(super) fn customer_of(shared: &Shared, headers: &HeaderMap) -> Option<CustomerKey> {
    let bearer = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let bearer = bearer.strip_prefix("Bearer ")?;
    let hash: [u8; 32] = Sha256::digest(bearer.trim().as_bytes()).into();
    shared.api_keys.borrow().get(&hash).copied()
}

fn unauthorized() -> Refused {
    Refused::new(
        Refusal::Unauthorized,
        "the Authorization header must contain the bearer key of a customer",
    )
}

fn request_key(request: &Request, contract: &Contract) -> Result<RequestKey, Refused> {
    let missing = |message| Refused::new(Refusal::MissingIdempotencyKey, message);
    let Some(value) = request.headers.get("idempotency-key") else {
        return Err(missing("the Idempotency-Key header is missing"));
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_IDEMPOTENCY_KEY_BYTES => {
            Ok(RequestKey::derive(&contract.customer, text))
        }
        _ => Err(missing(
            "the Idempotency-Key header must have 1 to 256 visible ASCII characters",
        )),
    }
}

fn check_chat(
    state: &FleetState,
    contract: &Contract,
    request: &Request,
) -> Result<Target, Refused> {
    require_method(request, &Method::POST)?;
    let chat = ChatRequest::from_json(&request.body)
        .map_err(|message| Refused::new(Refusal::BadRequest, message))?;
    let model = state
        .configuration
        .configuration
        .models
        .iter()
        .find(|route| route.name == chat.model)
        .ok_or_else(|| Refused::new(Refusal::NotFound, "model: no such model"))?;
    let allowed = contract
        .models
        .iter()
        .find(|allowed| allowed.model == chat.model)
        .ok_or_else(|| {
            Refused::new(
                Refusal::Forbidden,
                "model: the contract does not allow this model",
            )
        })?;
    if chat
        .max_tokens
        .is_some_and(|tokens| tokens > model.max_output_tokens)
    {
        return Err(Refused::new(
            Refusal::BadRequest,
            format!(
                "max_tokens: must be at most {} for this model",
                model.max_output_tokens
            ),
        ));
    }
    let output_tokens = chat.max_tokens.unwrap_or(model.max_output_tokens);
    let prompt_tokens = chat.prompt_tokens_bound();
    let mode = if chat.stream { "stream" } else { "whole" };
    Ok(Target {
        route: format_compact!("{}/{mode}", model.name),
        name: model.name.clone(),
        versions: allowed.versions.clone(),
        configured_version: model.version.clone(),
        max_charge_tokens: prompt_tokens.saturating_add(output_tokens),
        kind: CallKind::Chat {
            is_stream: chat.stream,
            prefix_hashes: chat.prefix_hashes(),
            prompt_tokens: chat.prompt_tokens_estimate(),
        },
        shared_features: chat
            .shared_message_hashes()
            .into_iter()
            .map(Feature)
            .collect(),
    })
}

fn check_service(
    state: &FleetState,
    contract: &Contract,
    request: &Request,
) -> Result<Target, Refused> {
    let rest = request
        .uri
        .path()
        .strip_prefix("/services/")
        .unwrap_or_default();
    let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
    let service: &ServiceRoute = state
        .configuration
        .configuration
        .services
        .iter()
        .find(|route| route.name == name)
        .ok_or_else(|| Refused::new(Refusal::NotFound, "no such service"))?;
    if !contract.services.iter().any(|allowed| allowed == name) {
        return Err(Refused::new(
            Refusal::Forbidden,
            "the contract does not allow this service",
        ));
    }
    let method = &request.method;
    if ![Method::GET, Method::POST, Method::PUT, Method::DELETE].contains(method) {
        return Err(Refused::new(
            Refusal::MethodNotAllowed,
            "services accept only GET, POST, PUT and DELETE",
        ));
    }
    let operation = tail.split('/').next().unwrap_or_default();
    Ok(Target {
        route: format_compact!("{name}/{operation}"),
        name: service.name.clone(),
        versions: Vec::new(),
        configured_version: service.version.clone(),
        max_charge_tokens: service.charge_tokens,
        kind: CallKind::Service {
            repeatable: service.repeatable,
            timeout_ms: service.timeout_ms,
            charge_tokens: service.charge_tokens,
        },
        shared_features: Vec::new(),
    })
}

fn require_method(request: &Request, method: &Method) -> Result<(), Refused> {
    if request.method == *method {
        return Ok(());
    }
    Err(Refused::new(
        Refusal::MethodNotAllowed,
        format!("this path accepts only {method}"),
    ))
}
