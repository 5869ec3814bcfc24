//! Attempts of one request at upstreams: choice, connection, sending, the head of the response, retries.

mod encode;
mod guard;

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{format_compact, CompactString};

use super::request::Call;
use super::{pool, Shared};
use crate::directory::UpstreamEntry;
use crate::placement::{Candidate, Outcome, PlacementError, Prompt};
use crate::platform::headers;
use crate::refusal::Refusal;
use crate::routing::RetrySemantics;
use crate::server::Socket;
use crate::upstream_client::UpstreamResponse;

use encode::encode;
use guard::{guard, Interrupt};

pub(super) use encode::put_fields;

/// Idle time up to which a connection carries a request that may run only once; a connection that the upstream closed
/// unseen would leave it unknown whether such a request ran.
const ONCE_IDLE_MS: u64 = 1_000;

/// Time after which a stream without a byte is tried elsewhere if its upstream sends nothing to anybody.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Part of the time left after which an idempotent request is tried elsewhere, in percent.
const FIRST_TRY_PERCENT: u32 = 50;

/// Time left below which no further attempt is made.
const MIN_LEFT_MS: u64 = 30;

/// Attempts that did not run, for example refused connections, after which a request is given up.
const MAX_MISSES: u32 = 4;

/// Largest response that is discarded to reach the one that belongs to a request.
const SKIPPED_BYTES: usize = 256 << 10;

/// Status of a response of another process than the one that was meant.
const MISDIRECTED: u16 = 421;

/// Responses that are discarded before a connection is given up.
const SKIPPED_RESPONSES: u32 = 2;

/// A response whose head has arrived.
pub(super) struct Response {
    /// Id of the upstream.
    pub(super) upstream: CompactString,
    /// The response.
    pub(super) exchange: UpstreamResponse,
    /// Whether the whole request was written.
    pub(super) is_reusable: bool,
}

/// Why a request got no response.
#[derive(Debug)]
pub(super) enum Failure {
    /// The caller is gone.
    CallerGone,
    /// The request is answered with a refusal and the time after which a retry may help.
    Refused(Refusal, CompactString, Option<u64>),
}

impl Failure {
    /// Returns whether an upstream may still work on the request, because nobody waited for its response.
    pub(super) fn may_still_run(&self) -> bool {
        matches!(
            self,
            Self::CallerGone | Self::Refused(Refusal::TimedOut, ..)
        )
    }
}

/// Attempts of one request so far.
#[derive(Default)]
pub(super) struct Attempts {
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    /// Attempts that certainly did not run.
    pub(super) misses: u32,
    /// Upstreams that were tried.
    pub(super) tried: Vec<CompactString>,
    /// What the last attempt came to, for the log.
    pub(super) last: CompactString,
    /// Expected time until the upstream of the last attempt has read the prompt, for the log.
    pub(super) expected_ms: u64,
}

/// Where one attempt goes, and how.
struct Target<'t> {
    id: &'t CompactString,
    entry: &'t UpstreamEntry,
    /// Time after which another upstream is tried; none for the last attempt.
    limit: Option<Duration>,
    /// Event after which a stream continues.
    last_event_id: Option<u64>,
}

/// Result of one attempt.
enum Tried {
    /// A response to relay.
    Response(Response),
    /// The request did not run; another upstream may take it.
    NotRun(CompactString),
    /// The request may have run and brought no usable response.
    MayHaveRun(CompactString),
    /// The attempt was interrupted.
    Interrupted(Interrupt),
}

/// Counts a request at an upstream from its sending to its end, also if its future is dropped.
pub(super) struct Sent<'a> {
    shared: &'a Shared,
    id: CompactString,
    outcome: Outcome,
    is_unanswered: bool,
    /// Length of what the engine had to read, if it was idle.
    idle_linear_tokens: Option<f64>,
}

impl<'a> Sent<'a> {
    fn new(shared: &'a Shared, id: &str, prompt: Option<&Prompt>) -> Self {
        let now_ms = shared.now_ms();
        let idle_linear_tokens = prompt.and_then(|prompt| {
            let placement = shared.placement.borrow();
            placement.idle_prefill_work(id, prompt, now_ms)
        });
        let reading_ms = shared
            .placement
            .borrow_mut()
            .record_sent(id, prompt, now_ms);
        if let Some(prompt) = prompt {
            shared.notices.send(shared, id, prompt.session, reading_ms);
        }
        Self {
            shared,
            id: id.into(),
            outcome: Outcome::Neutral,
            is_unanswered: true,
            idle_linear_tokens,
        }
    }

    /// Notes that the first byte arrived.
    fn answered(&mut self) {
        if std::mem::take(&mut self.is_unanswered) {
            self.shared
                .placement
                .borrow_mut()
                .end_first_byte_wait(&self.id);
        }
    }

    /// Sets what the end of the request says of the upstream.
    pub(super) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        self.answered();
        let now_ms = self.shared.now_ms();
        let mut placement = self.shared.placement.borrow_mut();
        placement.record_finished(&self.id, self.outcome, now_ms);
    }
}

/// Sends a request until an upstream responds with a head that is worth relaying.
///
/// # Errors
///
/// Returns what the caller is told.
pub(super) async fn run<'a>(
    shared: &'a Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Result<(Response, Sent<'a>), Failure> {
    loop {
        if call.left_ms(shared) < MIN_LEFT_MS {
            return Err(give_up(
                call,
                attempts,
                Refusal::TimedOut,
                "no time is left",
            ));
        }
        let upstream = match choose(shared, call, &attempts.tried) {
            Ok(upstream) => upstream,
            Err(unplaced) => return Err(unplaced_failure(call, attempts, unplaced)),
        };
        if !attempts.tried.is_empty() && !may_send_again(shared, call, true) {
            return Err(give_up(
                call,
                attempts,
                Refusal::NoUpstream,
                "no retry is left",
            ));
        }
        let (id, entry) = upstream;
        attempts.tried.push(id.clone());
        attempts.expected_ms = {
            let placement = shared.placement.borrow();
            placement.expected_delay_ms(&id, call.meta.prompt.as_ref(), shared.now_ms()) as u64
        };
        let mut sent = Sent::new(shared, &id, call.meta.prompt.as_ref());
        let is_last = attempts.runs + 1 >= call.route().max_attempts;
        let limit = if is_last {
            None
        } else {
            attempt_limit(shared, call)
        };
        let target = Target {
            id: &id,
            entry: &entry,
            limit,
            last_event_id,
        };
        let tried = attempt(shared, call, caller, &target, &mut sent).await;
        match tried {
            Tried::Response(response) => {
                attempts.runs += 1;
                if !is_retried(call, attempts, &response) {
                    return Ok((response, sent));
                }
                sent.set_outcome(Outcome::Failed);
                let status = response.exchange.status();
                attempts.last = format_compact!("{id}: status {status}");
                if !may_retry(shared, call, attempts) {
                    return Ok((response, sent));
                }
            }
            Tried::NotRun(reason) => {
                attempts.misses += 1;
                attempts.last = format_compact!("{id}: {reason}");
                log::info!(step = "attempt", request_id = call.meta.id.as_str(), upstream = id.as_str(); "not run: {reason}");
                if attempts.misses >= MAX_MISSES {
                    return Err(give_up(
                        call,
                        attempts,
                        Refusal::NoUpstream,
                        "upstreams refused",
                    ));
                }
            }
            Tried::MayHaveRun(reason) => {
                attempts.runs += 1;
                sent.set_outcome(Outcome::Failed);
                attempts.last = format_compact!("{id}: {reason}");
                log::info!(step = "attempt", request_id = call.meta.id.as_str(), upstream = id.as_str(); "may have run: {reason}");
                if call.route().retry_semantics == RetrySemantics::AtMostOnce
                    || attempts.runs >= call.route().max_attempts
                {
                    return Err(give_up(
                        call,
                        attempts,
                        Refusal::UpstreamFailed,
                        "the upstream failed",
                    ));
                }
            }
            Tried::Interrupted(Interrupt::CallerGone) => {
                // The upstream may have read the prompt, so the team is charged for it.
                attempts.runs += 1;
                return Err(Failure::CallerGone);
            }
            Tried::Interrupted(Interrupt::Deadline) => {
                attempts.runs += 1;
                attempts.last = format_compact!("{id}: no response in time");
                return Err(give_up(
                    call,
                    attempts,
                    Refusal::TimedOut,
                    "no response in time",
                ));
            }
            Tried::Interrupted(Interrupt::AttemptTimeout) => {
                attempts.runs += 1;
                sent.set_outcome(Outcome::Failed);
                attempts.last = format_compact!("{id}: no response in the time of the attempt");
                if attempts.runs >= call.route().max_attempts {
                    return Err(give_up(
                        call,
                        attempts,
                        Refusal::UpstreamFailed,
                        "no response",
                    ));
                }
                log::info!(step = "attempt", request_id = call.meta.id.as_str(), upstream = id.as_str(); "timed out, trying another upstream");
            }
        }
    }
}

/// Returns whether a response is a failure that another upstream may turn into a success.
fn is_retried(call: &Call<'_>, attempts: &Attempts, response: &Response) -> bool {
    let is_failure = response.exchange.status() >= 500;
    is_failure
        && call.route().retry_semantics == RetrySemantics::Idempotent
        && attempts.runs < call.route().max_attempts
}

/// Returns whether a retry is worth its price: time is left and the limit of the fleet is not used up.
fn may_retry(shared: &Shared, call: &Call<'_>, attempts: &Attempts) -> bool {
    call.left_ms(shared) > MIN_LEFT_MS
        && choose(shared, call, &attempts.tried).is_ok()
        && may_send_again(shared, call, false)
}

fn give_up(call: &Call<'_>, attempts: &Attempts, refusal: Refusal, reason: &str) -> Failure {
    let reason = format_compact!("{reason}; last attempt: {}", attempts.last);
    // After a run only statuses that promise nothing are true.
    let refusal = match refusal {
        Refusal::NoUpstream | Refusal::Overloaded if attempts.runs > 0 => Refusal::UpstreamFailed,
        Refusal::TimedOut if attempts.runs == 0 => Refusal::Overloaded,
        other => other,
    };
    Failure::Refused(refusal, reason, call.retry_after_ms())
}

fn unplaced_failure(call: &Call<'_>, attempts: &Attempts, unplaced: PlacementError) -> Failure {
    match unplaced {
        PlacementError::NoUpstream => give_up(call, attempts, Refusal::NoUpstream, "no upstream"),
        PlacementError::Full => give_up(
            call,
            attempts,
            Refusal::Overloaded,
            "all upstreams are full",
        ),
    }
}

/// Returns this gateway's part of the retries that are allowed besides the share of requests.
fn retry_slack(shared: &Shared) -> u64 {
    let slack = shared.settings.fleet.retry_slack;
    shared.routers.borrow().share(&shared.settings.vm, slack)
}

/// Returns whether the fleet's limit allows a retry; `takes` counts it.
fn may_send_again(shared: &Shared, call: &Call<'_>, takes: bool) -> bool {
    let rule = shared.settings.fleet.retry_rule();
    let slack = retry_slack(shared);
    let now_ms = shared.now_ms();
    let mut retries = shared.retries.borrow_mut();
    let limit = retries.entry(call.service.clone()).or_default();
    if takes {
        limit.try_retry(rule, slack, now_ms)
    } else {
        limit.allows_retry(rule, slack, now_ms)
    }
}

/// Chooses an upstream that has a connection left for this gateway.
fn choose(
    shared: &Shared,
    call: &Call<'_>,
    tried: &[CompactString],
) -> Result<(CompactString, UpstreamEntry), PlacementError> {
    let directory = shared.directory.borrow();
    let placement = shared.placement.borrow();
    let limit = connection_limit(shared, call);
    let serving: Vec<_> = directory.serving(&call.service).collect();
    let candidates: Vec<_> = serving
        .iter()
        .filter(|(id, _)| placement.open_requests(id) < limit)
        .map(|(id, entry)| Candidate {
            id: id.as_str(),
            slots: entry.slots,
            is_local: entry.data_centre == shared.settings.data_centre,
        })
        .collect();
    if candidates.is_empty() && !serving.is_empty() {
        return Err(PlacementError::Full);
    }
    let id = placement.choose(
        &candidates,
        call.meta.prompt.as_ref(),
        tried,
        shared.now_ms(),
    )?;
    let entry = directory.get(id).ok_or(PlacementError::NoUpstream)?;
    Ok((id.into(), entry.clone()))
}

/// Returns how many connections this gateway may open to one upstream.
fn connection_limit(shared: &Shared, call: &Call<'_>) -> u32 {
    /// Smallest part, so that a gateway in a large fleet can serve at all.
    const MIN_CONNECTIONS: u64 = 2;
    let total = call
        .table
        .service(&call.service)
        .map_or(u32::MAX, |service| service.max_connections);
    let part = shared
        .routers
        .borrow()
        .share(&shared.settings.vm, u64::from(total));
    part.max(MIN_CONNECTIONS) as u32
}

async fn attempt(
    shared: &Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    target: &Target<'_>,
    sent: &mut Sent<'_>,
) -> Tried {
    let Target { id, entry, .. } = *target;
    let is_once = call.route().retry_semantics == RetrySemantics::AtMostOnce;
    let max_idle_ms = if is_once { ONCE_IDLE_MS } else { u64::MAX };
    let kept = shared.pool.take(id, max_idle_ms, shared.now_ms());
    let socket = match kept {
        Some(socket) => socket,
        None => {
            shared.metrics.add("upstream_connects", 1);
            let connecting_ms = shared.now_ms();
            let connected = guard(shared, call, caller, None, pool::connect(entry.address)).await;
            shared.note_connect(id, shared.now_ms().saturating_sub(connecting_ms));
            match connected {
                Err(interrupt) => return Tried::Interrupted(interrupt),
                Ok(Err(reason)) => {
                    sent.set_outcome(Outcome::Unreachable);
                    return Tried::NotRun(reason);
                }
                Ok(Ok(socket)) => socket,
            }
        }
    };
    let output = encode(shared, call, target);
    let mut exchange = pin!(exchange(shared, call, id, socket, output));
    let limit = target.limit;
    let started_ms = shared.now_ms();
    let result = loop {
        match guard(shared, call, caller, limit, exchange.as_mut()).await {
            Ok(result) => break result,
            Err(Interrupt::AttemptTimeout) if is_only_slow(shared, call, id) => {}
            Err(interrupt) => return Tried::Interrupted(interrupt),
        }
    };
    sent.answered();
    let now_ms = shared.now_ms();
    match result {
        Err(reason) => Tried::MayHaveRun(reason),
        Ok(response) => {
            let elapsed_ms = now_ms.saturating_sub(started_ms);
            judge(shared, call, response, sent, elapsed_ms)
        }
    }
}

/// Returns the time at which an attempt without a response is given up for another one.
fn attempt_limit(shared: &Shared, call: &Call<'_>) -> Option<Duration> {
    match call.route().retry_semantics {
        RetrySemantics::Idempotent => {
            let left = Duration::from_millis(call.left_ms(shared));
            Some(left * FIRST_TRY_PERCENT / 100)
        }
        RetrySemantics::Resumable => Some(FIRST_BYTE_TIMEOUT),
        RetrySemantics::AtMostOnce => None,
    }
}

/// Returns whether a stream waits at an upstream that still sends to others; trying elsewhere would only add load.
fn is_only_slow(shared: &Shared, call: &Call<'_>, id: &str) -> bool {
    call.route().is_stream && !shared.placement.borrow().is_silent(id, shared.now_ms())
}

/// Writes a request and reads the head of its response.
async fn exchange(
    shared: &Shared,
    call: &Call<'_>,
    id: &CompactString,
    mut socket: Socket,
    output: Bytes,
) -> Result<Response, CompactString> {
    let written = pool::write_request(&mut socket, output).await;
    let is_reusable = written.map_err(|error| format_compact!("sending: {error}"))?;
    let started = UpstreamResponse::read_head(socket, id).await;
    let mut exchange = started.map_err(|(error, _)| format_compact!("{error}"))?;
    for _ in 0..SKIPPED_RESPONSES {
        if headers::belongs_to(exchange.headers(), &call.meta.id) {
            break;
        }
        log::warn!(step = "response", request_id = call.meta.id.as_str(), upstream = id.as_str(); "skipped a response to another request");
        let next = exchange.skip(SKIPPED_BYTES).await;
        exchange = next.map_err(|error| format_compact!("{error}"))?;
    }
    shared
        .placement
        .borrow_mut()
        .record_activity(id, shared.now_ms());
    Ok(Response {
        upstream: id.clone(),
        exchange,
        is_reusable,
    })
}

/// Decides what the head of a response means.
fn judge(
    shared: &Shared,
    call: &Call<'_>,
    response: Response,
    sent: &mut Sent<'_>,
    elapsed_ms: u64,
) -> Tried {
    let now_ms = shared.now_ms();
    let status = response.exchange.status();
    let fields = response.exchange.headers();
    if let Some(report) = headers::load(fields) {
        let mut placement = shared.placement.borrow_mut();
        placement.record_load(&response.upstream, report, now_ms);
    }
    if headers::is_not_executed(status, fields) {
        sent.set_outcome(if status == MISDIRECTED {
            Outcome::Replaced
        } else {
            Outcome::Rejected
        });
        return Tried::NotRun(format_compact!("status {status}"));
    }
    if !headers::belongs_to(fields, &call.meta.id) {
        return Tried::MayHaveRun("the response belongs to another request".into());
    }
    if (200..300).contains(&status) {
        if !headers::is_signed(fields) || !headers::names_request(fields) {
            return Tried::MayHaveRun("the response is not signed by the upstream".into());
        }
        let mut placement = shared.placement.borrow_mut();
        placement.record_first_byte(&response.upstream, elapsed_ms);
        if let Some(tokens) = sent.idle_linear_tokens {
            placement.record_prefill(&response.upstream, tokens, elapsed_ms);
        }
    }
    Tried::Response(response)
}
