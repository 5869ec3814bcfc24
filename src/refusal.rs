//! Refusals that callers can receive.
//!
//! The set is closed, so that every refusal states truthfully whether the request ran. `not_run` invites a retry, so it
//! is used only where nothing was sent to an upstream. See `docs/design.md`, section 5.

use serde::Serialize;

/// Returns whether a status states that the request has not run and never will.
///
/// Callers send a request again after such a status, also one that may run only once. An upstream that uses it without a
/// proof may have run the request, so the status is not passed on. See `docs/operations/refusals.md`.
pub fn states_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Whether a refused request may have run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExecutionStatus {
    /// Nothing was sent and nothing will be sent; a retry is safe.
    NotRun,
    /// The request was or may have been sent.
    MayHaveRun,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request is not valid HTTP or JSON, or a field has the wrong type.
    BadRequest,
    /// The `Idempotency-Key` header is missing.
    MissingIdempotencyKey,
    /// The bearer key is missing or belongs to no customer.
    Unauthorized,
    /// The contract does not allow the model or service.
    Forbidden,
    /// The path, the model or the service does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The header fields are larger than the limit.
    HeadersTooLarge,
    /// The request was not complete within the time limit for reading it.
    RequestTimeout,
    /// The process has reached its limit of connections.
    TooManyConnections,
    /// The memory for requests is used up, or the request made no progress while others needed it.
    BuffersFull,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The customer's budget cannot cover the request.
    BudgetExhausted,
    /// Budget may be left in the fleet, but could not be obtained now.
    BudgetUnavailable,
    /// The response could not be completed within the time limit of the contract.
    Overloaded,
    /// No upstream can serve the request now.
    NoUpstream,
    /// The log is unavailable and the call may not be repeated.
    LogUnavailable,
    /// The router is shutting down.
    ShuttingDown,
    /// The request crashed upstreams and is blocked in the whole fleet.
    Quarantined,
    /// The request has the features of requests that crashed upstreams.
    CrashSuspect,
    /// An earlier attempt holds the claim on the call, and its result is unknown.
    EarlierAttempt,
    /// The upstream failed after the request was sent.
    UpstreamFailed,
    /// The response was not complete within the time limit of the contract.
    TimedOut,
    /// The router had an internal error.
    Internal,
}

impl Refusal {
    /// Returns the stable code that callers may rely on.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::MissingIdempotencyKey => "missing_idempotency_key",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadersTooLarge => "headers_too_large",
            Self::RequestTimeout => "request_timeout",
            Self::TooManyConnections => "too_many_connections",
            Self::BuffersFull => "buffers_full",
            Self::KeyReused => "key_reused",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnavailable => "budget_unavailable",
            Self::Overloaded => "overloaded",
            Self::NoUpstream => "no_upstream",
            Self::LogUnavailable => "log_unavailable",
            Self::ShuttingDown => "shutting_down",
            Self::Quarantined => "quarantined",
            Self::CrashSuspect => "crash_suspect",
            Self::EarlierAttempt => "earlier_attempt",
            Self::UpstreamFailed => "upstream_failed",
            Self::TimedOut => "timed_out",
            Self::Internal => "internal",
        }
    }

    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::MissingIdempotencyKey => 400,
            Self::Unauthorized => 401,
            Self::BudgetExhausted => 402,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::KeyReused | Self::EarlierAttempt => 409,
            Self::BodyTooLarge => 413,
            Self::Quarantined => 422,
            Self::HeadersTooLarge => 431,
            Self::Internal => 500,
            Self::UpstreamFailed => 502,
            Self::Overloaded
            | Self::NoUpstream
            | Self::CrashSuspect
            | Self::BudgetUnavailable
            | Self::LogUnavailable
            | Self::TooManyConnections
            | Self::BuffersFull
            | Self::ShuttingDown => 503,
            Self::TimedOut => 504,
        }
    }

    /// Returns whether the request may have run.
    pub fn execution_status(self) -> ExecutionStatus {
        match self {
            Self::EarlierAttempt
            | Self::UpstreamFailed
            | Self::TimedOut
            | Self::Internal
            | Self::Quarantined => ExecutionStatus::MayHaveRun,
            _ => ExecutionStatus::NotRun,
        }
    }
}
