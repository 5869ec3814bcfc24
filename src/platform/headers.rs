//! Header fields of requests and responses between callers, routers and upstreams.

use std::fmt;

use http::header::{HeaderMap, HeaderName, HeaderValue};

use super::bounds::{bounded, warn_once, MAX_REQUESTS, MAX_TIME_MS};
use crate::gateway::RequestMeta;
use crate::placement::{LoadReport, Prompt, PromptPart, PromptParts};
use crate::upstream_client::EventId;
use crate::upstream_limits::MAX_LIMIT_MILLI_PER_S;
use crate::upstream_speed::WORK_PERCENT_BOUNDS;

/// Id of one attempt of a caller; responses repeat it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time that the sender waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Signature of an upstream, which proves that the body comes from it.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-server-signature");
/// Id of the event after which a stream resumes.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Time for which a caller should wait before a retry, in seconds with fractions.
pub const RETRY_AFTER: HeaderName = HeaderName::from_static("retry-after");

/// Step in the log.
const STEP: &str = "read header";

const KEEP_ALIVE: &str = "keep-alive";
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
const TEAM: HeaderName = HeaderName::from_static("x-tenant");
const LOAD: HeaderName = HeaderName::from_static("x-server-load");
const REQUEST_LIMIT: HeaderName = HeaderName::from_static("server-limit");
const COLD_MS: HeaderName = HeaderName::from_static("x-cold-ms");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-token-count");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");

/// Fields that only the routers and upstreams may set; they are removed from requests of callers.
const RESERVED: [&str; 10] = [
    "authorization",
    "x-tenant",
    "x-target-instance",
    "x-request-priority",
    "x-expected-version",
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "kv-fetch",
];

/// Fields that apply to a single connection.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    KEEP_ALIVE,
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Fields that a `Connection` field cannot remove, because the upstream must receive what the caller sent in them.
const PROTECTED: [&str; 12] = [
    "host",
    "x-request-id",
    "x-model",
    "x-token-count",
    "x-prompt-prefix",
    "x-length-hint",
    "last-event-id",
    "x-deadline-ms",
    "content-type",
    "content-length",
    "x-server-signature",
    "x-weight-versions",
];

/// Reads the metadata in the header fields of a caller's request.
pub fn request_meta(headers: &HeaderMap) -> RequestMeta {
    let (input_tokens, max_output_tokens) = token_count(headers).unwrap_or((0, 0));
    RequestMeta {
        id: field_text(headers, &REQUEST_ID).unwrap_or_default().into(),
        deadline_ms: field_text(headers, &DEADLINE_MS)
            .and_then(|value| value.trim().parse().ok())
            .map(|deadline_ms: u64| deadline_ms.min(MAX_TIME_MS)),
        input_tokens,
        max_output_tokens,
        output_hint_tokens: field_text(headers, &LENGTH_HINT)
            .and_then(|value| value.trim().parse().ok()),
        prompt: prompt(headers, input_tokens),
        shared_parts: shared_parts(headers),
        last_event_id: last_event_id(headers),
    }
}

/// Reads the id of the event after which a caller resumes a stream; `None` if there is none, several, or no number. Such
/// fields reach the upstream as the caller sent them.
fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    let mut values = headers.get_all(&LAST_EVENT_ID).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => EventId::parse(value.as_bytes()).number(),
        _ => None,
    }
}

/// Returns the bearer key in the `Authorization` field of a request.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Fields that the router sets on a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RouterFields<'a> {
    /// Id of the intended upstream; any other process at its address refuses the request.
    pub upstream: &'a str,
    /// Name of the caller's team.
    pub team: Option<&'a str>,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Id of the event after which the stream resumes.
    pub last_event_id: Option<u64>,
}

/// Builds the header fields of a request to an upstream from those of the caller's request.
pub fn upstream_request_fields(headers: &HeaderMap, router_fields: &RouterFields<'_>) -> HeaderMap {
    let mut output = end_to_end(headers);
    for name in RESERVED {
        output.remove(name);
    }
    output.remove(http::header::CONTENT_LENGTH);
    set_field(
        &mut output,
        DEADLINE_MS,
        &router_fields.remaining_ms.to_string(),
    );
    set_field(&mut output, TARGET_INSTANCE, router_fields.upstream);
    if let Some(team) = router_fields.team {
        set_field(&mut output, TEAM, team);
    }
    if let Some(priority) = router_fields.priority {
        set_field(&mut output, PRIORITY, &priority.to_string());
    }
    if let Some(id) = router_fields.last_event_id {
        set_field(&mut output, LAST_EVENT_ID, &id.to_string());
    }
    output
}

/// Returns the header fields of a message without the hop-by-hop fields.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut output = headers.clone();
    for listed in headers.get_all(http::header::CONNECTION) {
        for name in listed.to_str().unwrap_or_default().split(',') {
            let name = name.trim().to_ascii_lowercase();
            if !PROTECTED.contains(&name.as_str()) {
                output.remove(name.as_str());
            }
        }
    }
    for name in HOP_BY_HOP {
        output.remove(name);
    }
    output
}

/// Returns whether a response proves that the request did not run.
pub fn is_not_executed(status: u16, headers: &HeaderMap) -> bool {
    status == 421 || headers.contains_key(NOT_EXECUTED)
}

/// Returns whether a response carries the unchanged body of an upstream.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(SIGNATURE) && !headers.contains_key(http::header::CONTENT_ENCODING)
}

/// Returns whether a response has this request id or none.
pub fn matches_request_id(headers: &HeaderMap, request_id: &str) -> bool {
    field_text(headers, &REQUEST_ID).is_none_or(|id| id == request_id)
}

/// Returns whether a response has a request id.
pub fn has_request_id(headers: &HeaderMap) -> bool {
    headers.contains_key(REQUEST_ID)
}

/// Returns the load that an upstream reported with a response: running requests, waiting requests, slots, and the time
/// that work takes at present, in percent of the usual time. A report out of bounds is logged once and counts as none.
pub fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let text = field_text(headers, &LOAD)?;
    let mut parts = text.split(',').map(str::trim);
    let mut count = || parts.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    if [running, waiting, slots]
        .iter()
        .any(|count| *count > MAX_REQUESTS)
    {
        warn(
            &LOAD,
            format_args!("more than {MAX_REQUESTS} requests or slots: {text}"),
        );
        return None;
    }
    Some(LoadReport {
        running,
        waiting,
        slots,
        work_percent: parts.next().and_then(work_percent),
    })
}

/// Reads the fourth figure of a load report. A figure out of bounds is logged once and counts as not stated.
fn work_percent(text: &str) -> Option<u32> {
    let percent = text.parse().ok();
    let percent = percent.filter(|percent| WORK_PERCENT_BOUNDS.contains(percent));
    if percent.is_none() {
        let reason = format_args!("the fourth figure is not a percentage from 10 to 10000: {text}");
        warn(&LOAD, reason);
    }
    percent
}

/// Returns the requests a second that an upstream takes from all routers together, in thousandths; `None` if it states
/// no limit, or one above [`MAX_LIMIT_MILLI_PER_S`], which is logged once.
pub fn request_limit_milli_per_s(headers: &HeaderMap) -> Option<u64> {
    let text = field_text(headers, &REQUEST_LIMIT)?.trim();
    match text.parse::<f64>() {
        Ok(per_s) if per_s * 1_000.0 > MAX_LIMIT_MILLI_PER_S as f64 => {
            warn(
                &REQUEST_LIMIT,
                format_args!("too high to limit anything: {text}"),
            );
            None
        }
        Ok(per_s) if per_s >= 0.0 => Some((per_s * 1_000.0) as u64),
        _ => {
            log::warn!(step = STEP, header = REQUEST_LIMIT.as_str(); "not a rate: {text}");
            None
        }
    }
}

/// Returns the time for which the upstream that sent a response is still cold; `None` if it states none. Health
/// responses state it, other responses may. A time of more than a day is logged once and counts as a day.
pub fn cold_left_ms(headers: &HeaderMap) -> Option<u64> {
    let text = field_text(headers, &COLD_MS)?.trim();
    match text.parse::<f64>() {
        Ok(left_ms) if left_ms >= 0.0 => {
            Some(bounded(STEP, COLD_MS.as_str(), left_ms.ceil(), MAX_TIME_MS))
        }
        _ => {
            log::warn!(step = STEP, header = COLD_MS.as_str(); "not a time: {text}");
            None
        }
    }
}

/// Returns whether the upstream that sent a response leaves and takes no new requests.
pub fn is_leaving(headers: &HeaderMap) -> bool {
    match field_text(headers, &LEAVING).map(str::trim) {
        None | Some("0") => false,
        Some("1") => true,
        Some(text) => {
            log::warn!(step = STEP, header = LEAVING.as_str(); "neither 0 nor 1: {text}");
            false
        }
    }
}

/// Returns the time for which the sender of a response wants no further requests, in milliseconds; `None` if it states
/// none or not as a number of seconds.
pub fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    match seconds {
        Some(seconds) if f64::is_finite(seconds) && seconds >= 0.0 => {
            Some((seconds * 1_000.0).ceil() as u64)
        }
        _ => {
            log::warn!(
                step = STEP, header = RETRY_AFTER.as_str();
                "not a number of seconds: {value:?}"
            );
            None
        }
    }
}

/// Returns the idle time after which the sender closes the connection, in whole seconds. A time of more than a day is
/// logged once and counts as a day.
pub fn keep_alive_s(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',');
    let seconds: u64 =
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.trim().parse().ok())?;
    Some(bounded(
        STEP,
        KEEP_ALIVE,
        seconds as f64,
        MAX_TIME_MS / 1_000,
    ))
}

fn token_count(headers: &HeaderMap) -> Option<(u64, u64)> {
    let (input, output) = field_text(headers, &TOKEN_COUNT)?.split_once(',')?;
    Some((input.trim().parse().ok()?, output.trim().parse().ok()?))
}

/// Maximum number of tokens that a prompt counts as, above the context length of any engine. Larger figures would make
/// an engine look occupied for hours, at all gateways.
const MAX_PROMPT_TOKENS: u64 = 1 << 21;

/// Reads the parts of a prompt. The last part belongs to this request alone, the one before it identifies the session.
fn prompt(headers: &HeaderMap, input_tokens: u64) -> Option<Prompt> {
    let parts: Vec<(&str, u64)> = field_text(headers, &PROMPT_PREFIX)?
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.trim().split_once(':')?;
            Some((id, tokens.trim().parse().ok()?))
        })
        .collect();
    let (own, shared) = parts.split_last()?;
    let (session, _) = shared.last().unwrap_or(own);
    let mut shared_tokens: u64 = 0;
    let mut beginnings = PromptParts::default();
    for (id, tokens) in shared {
        shared_tokens = shared_tokens.saturating_add(*tokens).min(MAX_PROMPT_TOKENS);
        beginnings.push(PromptPart {
            id: xxhash_rust::xxh3::xxh3_64(id.as_bytes()),
            end_tokens: shared_tokens,
        });
    }
    Some(Prompt {
        session: xxhash_rust::xxh3::xxh3_64(session.as_bytes()),
        shared_tokens,
        own_tokens: input_tokens
            .saturating_sub(shared_tokens)
            .min(MAX_PROMPT_TOKENS),
        parts: beginnings,
    })
}

/// Returns the hashes of all parts of a prompt except the last one, which belongs to this request or its session.
fn shared_parts(headers: &HeaderMap) -> Vec<u64> {
    let ids = field_text(headers, &PROMPT_PREFIX)
        .unwrap_or_default()
        .split(',')
        .map(|part| part.split_once(':').map_or(part, |(id, _)| id).trim());
    let mut hashes: Vec<u64> = ids
        .map(|id| xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
        .collect();
    hashes.pop();
    hashes
}

fn warn(name: &HeaderName, reason: fmt::Arguments<'_>) {
    warn_once(STEP, name.as_str(), reason);
}

fn field_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set_field(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    // Names of teams and upstreams come from the store and may contain bytes that are not allowed in a header field.
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name, value);
        }
        Err(error) => log::warn!(step = "set header", header = name.as_str(); "not set: {error}"),
    }
}
