//! Checks of a request before anything is reserved for it.

use compact_str::{format_compact, CompactString};
use http::Method;
use sha2::{Digest, Sha256};

use super::Shared;
use crate::contract::{Contract, Priority, ServiceRoute};
use crate::fleet_state::FleetState;
use crate::ids::{CustomerKey, Fingerprint, RequestKey};
use crate::refusal::{ExecutionStatus, Refusal};
use crate::server::{ChatRequest, Request};

/// Longest idempotency key that callers may send.
const MAX_KEY_BYTES: usize = 256;

/// A refusal with what the caller is told about it.
#[derive(Clone, Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) ran: ExecutionStatus,
    pub(super) message: String,
    pub(super) retry_after_ms: Option<u64>,
}

impl Refused {
    pub(super) fn new(refusal: Refusal, message: impl Into<String>) -> Self {
        Self {
            refusal,
            ran: refusal.execution_status(),
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns the refusal as a sentence for operators.
    pub(super) fn explanation(&self) -> CompactString {
        let ran = match self.ran {
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

/// What kind of upstream serves a call and how.
#[derive(Clone, Debug)]
pub(super) enum Kind {
    /// A chat completion of a model engine.
    Chat {
        /// Whether the response is a stream of events.
        is_stream: bool,
        /// Hashes of the prompt's prefixes.
        prefix_blocks: Vec<u64>,
        /// Estimate of the prompt's tokens, for the choice of an upstream.
        prompt_tokens: u64,
    },
    /// A call of a plain service.
    Service {
        /// Whether the call may run more than once.
        repeatable: bool,
        /// Time that the call may take at the upstream.
        timeout_ms: u64,
        /// Charge of the call.
        charge_tokens: u64,
    },
}

/// A request that was parsed, authenticated and checked.
#[derive(Clone, Debug)]
pub(super) struct Call {
    pub(super) customer: CustomerKey,
    pub(super) customer_name: CompactString,
    pub(super) priority: Priority,
    pub(super) key: RequestKey,
    pub(super) fingerprint: Fingerprint,
    /// Model or service and the way in which it is used, such as `large/stream`.
    pub(super) route: CompactString,
    /// Model or service.
    pub(super) serves: CompactString,
    /// Versions that the contract allows; empty allows all.
    pub(super) versions: Vec<CompactString>,
    /// Version that serves while no rollout governs the route.
    pub(super) configured_version: CompactString,
    /// Largest possible charge.
    pub(super) bound_tokens: u64,
    pub(super) accepted_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) kind: Kind,
    pub(super) request: Request,
}

impl Call {
    /// Returns whether the upstream may run the request more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        !matches!(
            self.kind,
            Kind::Service {
                repeatable: false,
                ..
            }
        )
    }

    /// Returns whether the response is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        matches!(
            self.kind,
            Kind::Chat {
                is_stream: true,
                ..
            }
        )
    }

    /// Parses, authenticates and checks a request.
    pub(super) fn check(
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
        Ok(Self {
            customer,
            customer_name: contract.customer.clone(),
            priority: contract.priority,
            key,
            fingerprint: Fingerprint::of(&request.uri.to_string(), &request.body),
            route: target.route,
            serves: target.serves,
            versions: target.versions,
            configured_version: target.configured_version,
            bound_tokens: target.bound_tokens,
            accepted_ms: now_ms,
            deadline_ms: now_ms + contract.response_time_limit_ms,
            kind: target.kind,
            request,
        })
    }
}

/// What a request is addressed to.
struct Target {
    route: CompactString,
    serves: CompactString,
    versions: Vec<CompactString>,
    configured_version: CompactString,
    bound_tokens: u64,
    kind: Kind,
}

fn authenticate(shared: &Shared, request: &Request) -> Result<CustomerKey, Refused> {
    let bearer = request
        .header("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(unauthorized)?;
    let hash: [u8; 32] = Sha256::digest(bearer.trim().as_bytes()).into();
    shared
        .api_keys
        .borrow()
        .get(&hash)
        .copied()
        .ok_or_else(unauthorized)
}

fn unauthorized() -> Refused {
    Refused::new(
        Refusal::Unauthorized,
        "the Authorization header has no bearer key of a customer",
    )
}

fn request_key(request: &Request, contract: &Contract) -> Result<RequestKey, Refused> {
    let missing = |message| Refused::new(Refusal::MissingIdempotencyKey, message);
    let Some(value) = request.headers.get("idempotency-key") else {
        return Err(missing("the Idempotency-Key header is missing"));
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_BYTES => {
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
    let usage = if chat.stream { "stream" } else { "whole" };
    Ok(Target {
        route: format_compact!("{}/{usage}", model.name),
        serves: model.name.clone(),
        versions: allowed.versions.clone(),
        configured_version: model.version.clone(),
        bound_tokens: prompt_tokens.saturating_add(output_tokens),
        kind: Kind::Chat {
            is_stream: chat.stream,
            prefix_blocks: chat.prefix_blocks(),
            prompt_tokens: chat.prompt_tokens_estimate(),
        },
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
            "services take GET, POST, PUT and DELETE",
        ));
    }
    let usage = tail.split('/').next().unwrap_or_default();
    Ok(Target {
        route: format_compact!("{name}/{usage}"),
        serves: service.name.clone(),
        versions: Vec::new(),
        configured_version: service.version.clone(),
        bound_tokens: service.charge_tokens,
        kind: Kind::Service {
            repeatable: service.repeatable,
            timeout_ms: service.timeout_ms,
            charge_tokens: service.charge_tokens,
        },
    })
}

fn require_method(request: &Request, method: &Method) -> Result<(), Refused> {
    if request.method == *method {
        return Ok(());
    }
    Err(Refused::new(
        Refusal::MethodNotAllowed,
        format!("this path takes only {method}"),
    ))
}
