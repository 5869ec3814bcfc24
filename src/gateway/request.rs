//! One request from its head to its end: route, authentication, budget, attempts, response.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use compact_str::{format_compact, CompactString};
use http::header::HOST;
use http::{HeaderMap, Uri};

use super::attempt::{self, Attempts, Failure};
use super::budget::remote::Need;
use super::budget::Shortage;
use super::crashes::{self, CrashRefusal};
use super::evacuations::{self, EVACUATED_REASON, RETRY_AFTER_EVACUATION_MS};
use super::relay::{self, Delivery};
use super::Shared;
use crate::allowance::ReserveError;
use crate::contract::Priority;
use crate::crash_attribution::Feature;
use crate::platform::headers;
use crate::refusal::Refusal;
use crate::request_cost::OutputKey;
use crate::routing::{Route, RouteIndex, RoutingTable, TeamIndex};
use crate::server::{Request, Socket};

/// Deadline of requests that state none; the timeout of the route applies as well.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Base of the retry delay that refused callers are told; as much again is added at random so that their retries
/// spread.
const RETRY_AFTER_MS: u64 = 250;

/// Time in which a caller must take a refusal. A caller that reads no responses would keep its connection forever.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum of each stated number of tokens, far above any context length. Larger numbers would overflow the sum that is
/// reserved.
const MAX_STATED_TOKENS: u64 = 1 << 40;

/// A request with its route, team, service and deadline.
pub(super) struct Call<'a> {
    pub(super) request: &'a Request,
    pub(super) meta: super::RequestMeta,
    pub(super) table: Rc<RoutingTable>,
    route: RouteIndex,
    team: Option<TeamIndex>,
    /// Service that the request is routed to.
    pub(super) service: CompactString,
    started_ms: u64,
    end_ms: u64,
    /// Time that the request has waited for rights, permissions or connections that failed, before it was sent.
    waited_ms: Cell<u64>,
    /// Whether the request has been sent to an upstream.
    is_dispatched: Cell<bool>,
    retry_jitter_ms: u64,
    /// Whether the request is sent to find out whether it still crashes upstreams.
    pub(super) is_trial: Cell<bool>,
    /// Features by which crashes are attributed; computed only if they are needed, because the body is hashed.
    features: OnceCell<Vec<Feature>>,
}

impl Call<'_> {
    /// Returns the features by which crashes of upstreams are attributed to requests.
    pub(super) fn features(&self) -> &[Feature] {
        self.features.get_or_init(|| crashes::features_of(self))
    }

    /// Returns the route of the request.
    pub(super) fn route(&self) -> &Route {
        self.table.route(self.route)
    }

    /// Returns the name of the team, or `None` for a request without one.
    pub(super) fn team_name(&self) -> Option<&str> {
        self.team.map(|team| self.table.team(team).name.as_str())
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining_ms(&self, shared: &Shared) -> u64 {
        self.end_ms.saturating_sub(shared.now_ms())
    }

    /// Counts a wait since a time that does not show the load of this VM.
    pub(super) fn add_wait_since(&self, shared: &Shared, since_ms: u64) {
        let waited_ms = shared.now_ms().saturating_sub(since_ms);
        self.waited_ms.set(self.waited_ms.get() + waited_ms);
    }

    /// Records that the request is sent; the first time, returns when it was read and how long it has waited since.
    pub(super) fn take_dispatch(&self) -> Option<(u64, u64)> {
        let is_first = !self.is_dispatched.replace(true);
        is_first.then(|| (self.started_ms, self.waited_ms.get()))
    }

    /// Returns the request target as the caller sent it.
    pub(super) fn request_target(&self) -> &str {
        let uri = &self.request.uri;
        uri.path_and_query()
            .map_or(uri.path(), |target| target.as_str())
    }

    /// Returns the priority of the request; that of the team takes precedence over that of the route.
    fn priority(&self) -> u8 {
        let team = self.team.and_then(|team| self.table.team(team).priority);
        team.unwrap_or(self.route().priority)
    }

    /// Returns the priority that model engines are sent; `None` for plain services.
    pub(super) fn upstream_priority(&self) -> Option<u8> {
        let is_model = self.table.service(&self.service)?.event_tokens.is_some();
        is_model.then(|| self.priority().min(9))
    }

    /// Returns the retry delay for the caller, with random jitter.
    pub(super) fn retry_after_ms(&self) -> Option<u64> {
        Some(RETRY_AFTER_MS + self.retry_jitter_ms)
    }

    /// Returns the number of tokens in one event of the stream; 0 for plain services.
    pub(super) fn event_tokens(&self) -> u64 {
        let service = self.table.service(&self.service);
        service
            .and_then(|service| service.event_tokens)
            .unwrap_or(0)
    }

    /// Returns what may tell the number of output tokens; `None` for plain services.
    pub(super) fn output_key(&self) -> Option<OutputKey> {
        let prompt = self.meta.prompt.as_ref()?;
        let route = self.route().name.as_bytes();
        Some(OutputKey {
            route: xxhash_rust::xxh3::xxh3_64(route),
            session: prompt.session,
            hint_tokens: self.meta.output_hint_tokens,
            max_tokens: self.meta.max_output_tokens,
        })
    }

    fn priority_class(&self) -> Priority {
        match self.route().priority {
            0 => Priority::High,
            1 => Priority::Normal,
            _ => Priority::Low,
        }
    }
}

/// A refusal with its reason for the log and the time after which a retry may succeed.
struct Refused {
    refusal: Refusal,
    reason: CompactString,
    retry_after_ms: Option<u64>,
}

impl Refused {
    fn new(refusal: Refusal, reason: impl Into<CompactString>) -> Self {
        Self {
            refusal,
            reason: reason.into(),
            retry_after_ms: None,
        }
    }
}

/// Counts a request as open until it is dropped.
struct OpenRequest<'a>(&'a Cell<usize>);

impl<'a> OpenRequest<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves one request; returns whether the connection can carry another one.
pub(super) async fn serve(shared: &Shared, caller: &mut Socket, request: &Request) -> bool {
    let _open = OpenRequest::new(&shared.open_requests);
    let started_ms = shared.now_ms();
    let meta = headers::request_meta(&request.headers);
    let id = meta.id.clone();
    match prepare(shared, request, meta, started_ms) {
        Ok(call) => {
            let keeps_connection = run(shared, &call, caller).await;
            crashes::record_end(shared, &call);
            keeps_connection
        }
        Err(refused) => {
            log_refusal(shared, &id, &refused, started_ms);
            send_refusal(shared, caller, request, &id, &refused).await
        }
    }
}

/// Returns the host of a request; that of its target takes precedence over the header field.
pub(super) fn host_of<'a>(uri: &'a Uri, fields: &'a HeaderMap) -> &'a str {
    let host = fields.get(HOST).and_then(|host| host.to_str().ok());
    uri.host().or(host).unwrap_or_default()
}

/// Resolves the route, the team and the service of a request.
fn prepare<'a>(
    shared: &Shared,
    request: &'a Request,
    meta: super::RequestMeta,
    started_ms: u64,
) -> Result<Call<'a>, Refused> {
    let retry_jitter_ms = u64::from(shared.random()) % RETRY_AFTER_MS;
    let Some(table) = shared.table.borrow().clone() else {
        return Err(Refused {
            retry_after_ms: Some(RETRY_AFTER_MS + retry_jitter_ms),
            ..Refused::new(Refusal::NoUpstream, "no configuration has been read yet")
        });
    };
    if meta.input_tokens.max(meta.max_output_tokens) > MAX_STATED_TOKENS {
        let reason = format_compact!(
            "x-token-count is {},{}; at most {MAX_STATED_TOKENS} tokens each are allowed",
            meta.input_tokens,
            meta.max_output_tokens
        );
        return Err(Refused::new(Refusal::BadRequest, reason));
    }
    let host = host_of(&request.uri, &request.headers);
    let Some(route_index) = table.find_route(host, request.uri.path()) else {
        let reason = format_compact!(
            "no route matches in configuration version {}",
            table.version()
        );
        return Err(Refused::new(Refusal::NotFound, reason));
    };
    let route = table.route(route_index);
    let key = headers::bearer_key(&request.headers);
    let Ok(team) = table.authenticate(route, key) else {
        let reason = format_compact!(
            "no team has this API key in configuration version {}",
            table.version()
        );
        return Err(Refused::new(Refusal::Unauthorized, reason));
    };
    let Some(service) = route.choose_service(shared.random()).cloned() else {
        return Err(Refused::new(
            Refusal::NoUpstream,
            "the route has no service",
        ));
    };
    let wait_ms = meta.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let end_ms = started_ms + wait_ms.min(route.timeout_ms);
    Ok(Call {
        request,
        meta,
        route: route_index,
        team,
        service,
        started_ms,
        end_ms,
        waited_ms: Cell::new(0),
        is_dispatched: Cell::new(false),
        retry_jitter_ms,
        is_trial: Cell::new(false),
        features: OnceCell::new(),
        table,
    })
}

/// Reserves budget, sends the request and relays the response; returns whether the connection can carry another
/// request.
async fn run(shared: &Shared, call: &Call<'_>, caller: &mut Socket) -> bool {
    shared.metrics.count_request(call.priority_class());
    {
        let mut retries = shared.retries.borrow_mut();
        let limit = retries.entry(call.service.clone()).or_default();
        limit.count_request(shared.now_ms());
    }
    if let Err(refusal) = crashes::admit(shared, call) {
        let CrashRefusal {
            reason,
            retry_after_ms,
        } = refusal;
        let refused = Refused {
            refusal: Refusal::CrashSuspect,
            reason,
            retry_after_ms: Some(retry_after_ms),
        };
        log_refusal(shared, &call.meta.id, &refused, call.started_ms);
        return send_refusal(shared, caller, call.request, &call.meta.id, &refused).await;
    }
    if evacuations::is_service_evacuated(shared, &call.service) {
        let refused = Refused {
            retry_after_ms: Some(RETRY_AFTER_EVACUATION_MS + call.retry_jitter_ms),
            ..Refused::new(Refusal::NoUpstream, EVACUATED_REASON)
        };
        log_refusal(shared, &call.meta.id, &refused, call.started_ms);
        return send_refusal(shared, caller, call.request, &call.meta.id, &refused).await;
    }
    let needed_tokens = call
        .meta
        .input_tokens
        .saturating_add(call.meta.max_output_tokens);
    let reserving_ms = shared.now_ms();
    let reservation = match call.team_name() {
        Some(team) if needed_tokens > 0 => {
            let need = Need {
                tokens: needed_tokens,
                remaining_ms: call.remaining_ms(shared),
                request_id: &call.meta.id,
            };
            shared.budgets.reserve(shared, team, need).await
        }
        _ => Ok(None),
    };
    call.add_wait_since(shared, reserving_ms);
    let reservation = match reservation {
        Ok(reservation) => reservation,
        Err(shortage) => {
            let refused = shortage_refusal(shared, call, &shortage, needed_tokens);
            log_refusal(shared, &call.meta.id, &refused, call.started_ms);
            return send_refusal(shared, caller, call.request, &call.meta.id, &refused).await;
        }
    };
    let holder = reservation.as_ref().map(|reserved| reserved.holder.clone());
    let holder = holder.unwrap_or_default();
    let mut attempts = Attempts {
        rights_wait_ms: shared.now_ms().saturating_sub(reserving_ms),
        expected_output_ms: call.output_key().map_or(0, |key| {
            let placement = shared.placement.borrow();
            placement.expected_output_ms(&key) as u64
        }),
        ..Attempts::default()
    };
    let last_event_id = call.meta.last_event_id;
    let result = attempt::run(shared, call, caller, &mut attempts, last_event_id, None).await;
    let charge_input = |attempts: &Attempts| {
        if attempts.runs > 0 {
            call.meta.input_tokens
        } else {
            0
        }
    };
    match result {
        Ok((response, in_flight)) => {
            shared.metrics.record_first_token(
                call.priority_class(),
                call.team_name().unwrap_or("none"),
                shared.now_ms().saturating_sub(call.started_ms),
            );
            let delivery =
                relay::run(shared, call, caller, response, in_flight, &mut attempts).await;
            let output_tokens = delivery.events * call.event_tokens();
            // A response that failed before the first part of its body has delivered nothing, and its caller sends the
            // request again.
            let is_billed = !matches!(delivery.refusal, Some(Refusal::UpstreamFailed));
            let charge = if is_billed {
                charge_input(&attempts) + output_tokens.min(call.meta.max_output_tokens)
            } else {
                0
            };
            if let Some(reservation) = reservation {
                reservation.charge(charge);
            }
            log_end(shared, call, &attempts, &delivery, charge, &holder);
            match delivery.refusal {
                Some(refusal) => {
                    let refused = Refused::new(refusal, delivery.end);
                    log_refusal(shared, &call.meta.id, &refused, call.started_ms);
                    send_refusal(shared, caller, call.request, &call.meta.id, &refused).await
                }
                None => delivery.keeps_connection,
            }
        }
        Err(failure) => {
            if let Some(reservation) = reservation {
                // A request whose upstream failed delivered nothing and is not billed, because its caller sends it
                // again.
                let is_billed = failure.may_still_run();
                reservation.charge(if is_billed {
                    charge_input(&attempts)
                } else {
                    0
                });
            }
            handle_failure(shared, call, caller, &attempts, failure, &holder).await
        }
    }
}

async fn handle_failure(
    shared: &Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    attempts: &Attempts,
    failure: Failure,
    holder: &str,
) -> bool {
    match failure {
        Failure::CallerGone => {
            let delivery = Delivery::new("caller disconnected before the response");
            log_end(shared, call, attempts, &delivery, 0, holder);
            false
        }
        Failure::Refused(refusal, reason, retry_after_ms) => {
            let refused = Refused {
                refusal,
                reason,
                retry_after_ms,
            };
            log_refusal(shared, &call.meta.id, &refused, call.started_ms);
            send_refusal(shared, caller, call.request, &call.meta.id, &refused).await
        }
    }
}

fn shortage_refusal(
    shared: &Shared,
    call: &Call<'_>,
    shortage: &Shortage,
    needed_tokens: u64,
) -> Refused {
    let team = call.team_name().unwrap_or_default();
    let summary = shared.budgets.summary(team, shared.now_ms());
    let answers = &shortage.answers;
    let reason =
        format_compact!("team {team} needs {needed_tokens} tokens: {answers}here {summary}");
    match shortage.error {
        ReserveError::Exhausted => Refused::new(Refusal::BudgetExhausted, reason),
        ReserveError::NotHeld => Refused {
            retry_after_ms: Some(shortage.retry_after_ms + 2 * call.retry_jitter_ms),
            ..Refused::new(Refusal::BudgetUnavailable, reason)
        },
    }
}

/// Sends a refusal; returns whether the connection stays open.
async fn send_refusal(
    shared: &Shared,
    caller: &mut Socket,
    request: &Request,
    id: &str,
    refused: &Refused,
) -> bool {
    shared.metrics.count_refusal(refused.refusal);
    caller.record_refusal(refused.refusal.status(), refused.retry_after_ms);
    let keep_alive = shared.keeps_connection(request, caller);
    let output = refusal_response(refused.refusal, id, refused.retry_after_ms, keep_alive);
    let write = monoio::time::timeout(REFUSAL_TIMEOUT, caller.write_all(output));
    matches!(write.await, Ok(Ok(()))) && keep_alive
}

/// Encodes a refusal, which has no body.
pub(super) fn refusal_response(
    refusal: Refusal,
    id: &str,
    retry_after_ms: Option<u64>,
    keep_alive: bool,
) -> BytesMut {
    let status = refusal.status();
    let reason_phrase = http::StatusCode::from_u16(status).ok();
    let reason_phrase = reason_phrase.and_then(|status| status.canonical_reason());
    let mut output = BytesMut::with_capacity(256);
    let head = format!(
        "HTTP/1.1 {status} {}\r\ncontent-length: 0\r\n",
        reason_phrase.unwrap_or("Unknown")
    );
    output.put_slice(head.as_bytes());
    if !id.is_empty() {
        output.put_slice(format!("x-request-id: {id}\r\n").as_bytes());
    }
    if let (Some(ms), 429 | 503) = (retry_after_ms, status) {
        let seconds = ms as f64 / 1_000.0;
        output.put_slice(format!("retry-after: {seconds:.3}\r\n").as_bytes());
    }
    if !keep_alive {
        output.put_slice(b"connection: close\r\n");
    }
    output.put_slice(b"\r\n");
    output
}

fn log_refusal(shared: &Shared, id: &str, refused: &Refused, started_ms: u64) {
    log::info!(
        step = "refuse", request_id = id, status = refused.refusal.status(),
        code = refused.refusal.code(), at_ms = shared.now_ms(),
        elapsed_ms = shared.now_ms().saturating_sub(started_ms),
        retry_after_ms = refused.retry_after_ms.unwrap_or(0); "{}", refused.reason
    );
}

fn log_end(
    shared: &Shared,
    call: &Call<'_>,
    attempts: &Attempts,
    delivery: &Delivery,
    charge: u64,
    holder: &str,
) {
    let now_ms = shared.now_ms();
    let elapsed_ms = now_ms.saturating_sub(call.started_ms);
    let team = call.team_name().unwrap_or("none");
    shared
        .metrics
        .record_whole_response(call.priority_class(), team, elapsed_ms);
    shared.metrics.count_bill(charge);
    log::info!(
        step = "request", request_id = call.meta.id.as_str(), route = call.route().name.as_str(),
        team = team, service = call.service.as_str(), version = call.table.version(),
        upstreams = attempts.tried.join(",").as_str(), runs = attempts.runs,
        misses = attempts.not_run,
        last_attempt = attempts.last.as_str(), status = delivery.status, events = delivery.events,
        input_tokens = call.meta.input_tokens, charge_tokens = charge,
        holder = holder,
        at_ms = now_ms, elapsed_ms = elapsed_ms,
        rights_wait_ms = attempts.rights_wait_ms,
        permission_wait_ms = attempts.permission_wait_ms,
        connect_wait_ms = attempts.connect_wait_ms,
        expected_ms = attempts.expected_ms,
        expected_prefill_ms = attempts.expected_prefill_ms,
        expected_output_ms = attempts.expected_output_ms,
        first_byte_ms = delivery.first_byte_ms.saturating_sub(call.started_ms),
        silent_ms = now_ms.saturating_sub(delivery.last_byte_ms.max(call.started_ms)),
        directory_age_ms = now_ms.saturating_sub(shared.directory_read_ms.get()); "{}", delivery.end
    );
}
