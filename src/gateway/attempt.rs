//! Attempts to have one request served by an upstream: choice of the upstream, connection, sending, reading the
//! response head, retries.
//!
//! An attempt has one of three results: a response, a proof that the request did not run, or neither. Requests that did
//! not run may always be sent to another upstream; requests that may have run are repeated only if their route allows
//! it.

mod choice;
mod encode;
mod exchange;
mod handover;
mod in_flight;
mod interrupt;

use std::time::Duration;

use compact_str::{format_compact, CompactString};

use super::crashes::{self, CrashRefusal, ResponseProgress};
use super::evacuations::{self, EVACUATED_REASON, RETRY_AFTER_EVACUATION_MS};
use super::limits::Permission;
use super::request::Call;
use super::{availability, beliefs, cold_upstreams, limits, pool, rollouts, Shared};
use crate::congestion::SLOW_CONNECT_MS;
use crate::directory::UpstreamEntry;
use crate::placement::{LoadReport, Outcome, PlacementError};
use crate::platform::headers;
use crate::refusal::{self, Refusal};
use crate::routing::RetrySemantics;
use crate::server::Socket;
use crate::shared_limits::{RetryLimiter, RetryRule};
use crate::upstream_beliefs::{GoneKind, Retry};
use crate::upstream_client::UpstreamResponse;
use crate::version_canary::Response;

use choice::{
    choose_upstream, is_same_process, is_still_allowed, is_still_permitted, limited_wait_ms,
    paused_wait_ms, Choice,
};
use exchange::HeadResult;
use handover::await_result;
use interrupt::run_until_interrupted;
use pool::ConnectError;

pub(super) use exchange::Exchange;
pub(super) use handover::{find_successor, hand_over, HandOver, Successor, SEARCH_INTERVAL};
pub(super) use in_flight::InFlight;
pub(super) use interrupt::{Interrupt, WATCH_BYTES};

/// Longest time for which a pooled connection may have been idle to carry a request that may run only once. If the
/// upstream closed the connection unnoticed, it would be unknown whether such a request ran.
const AT_MOST_ONCE_MAX_IDLE_MS: u64 = 1_000;

/// Time without a first byte after which a stream may move to another upstream, if this one sends nothing to any request.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Share of the remaining time after which an idempotent request without a response may move to another upstream, in
/// percent.
const ATTEMPT_TIMEOUT_PERCENT: u32 = 50;

/// Remaining time below which no further attempt is made.
const MIN_REMAINING_MS: u64 = 30;

/// Number of attempts that did not run, for example refused connections, after which a request is given up.
const MAX_NOT_RUN: u32 = 4;

/// Reason in the log for a request that was not sent to the chosen upstream.
const NOT_ALLOWED_REASON: &str = "the upstream takes no new requests since it was chosen";

/// Reason in the log for a request to a cold upstream whose permit has expired.
const PERMIT_EXPIRED_REASON: &str = "the permit for an upstream that may be cold has expired";

/// Status of a process that has taken over the address of the intended upstream.
pub(super) const MISDIRECTED_REQUEST: u16 = 421;

/// A response whose head has been read.
pub(super) struct StartedResponse {
    /// Id of the upstream.
    pub(super) upstream: CompactString,
    /// The response; its body is still to be read.
    pub(super) upstream_response: Box<UpstreamResponse>,
}

/// Why a request got no response.
#[derive(Debug)]
pub(super) enum Failure {
    /// The caller closed its connection.
    CallerGone,
    /// The request is refused; holds the reason for the log and the time after which a retry may succeed.
    Refused(Refusal, CompactString, Option<u64>),
}

impl Failure {
    /// Returns whether an upstream may still be processing the request, because the gateway stopped waiting for its
    /// response.
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
    /// Number of attempts that ran or may have run.
    pub(super) runs: u32,
    /// Number of attempts that certainly did not run.
    pub(super) not_run: u32,
    /// Ids of the upstreams that were tried.
    pub(super) tried: Vec<CompactString>,
    /// Result of the last attempt, for the log.
    pub(super) last: CompactString,
    /// Expected time until the upstream of the last attempt has prefilled the prompt, for the log.
    pub(super) expected_ms: u64,
    /// Expected time of the prefill alone, for the log; 0 if upstreams do not state their speed.
    pub(super) expected_prefill_ms: u64,
    /// Expected time of the output at usual speed, for the log.
    pub(super) expected_output_ms: u64,
    /// Time spent waiting for rights, for the log.
    pub(super) rights_wait_ms: u64,
    /// Time spent waiting for permissions of limited upstreams, for the log.
    pub(super) permission_wait_ms: u64,
    /// Time spent waiting for connections, for the log.
    pub(super) connect_wait_ms: u64,
}

impl Attempts {
    /// Returns whether the limits of the request allow that a response that has begun moves to another upstream.
    pub(super) fn may_move(&self, call: &Call<'_>) -> bool {
        self.runs < call.route().max_attempts && self.not_run < MAX_NOT_RUN
    }

    /// Returns the id of the upstream that was tried last.
    fn last_upstream(&self) -> &str {
        self.tried.last().map_or("none", CompactString::as_str)
    }
}

/// Upstream and parameters of one attempt.
struct Target<'t> {
    id: &'t CompactString,
    entry: &'t UpstreamEntry,
    /// Id of the event after which the stream resumes.
    last_event_id: Option<u64>,
}

/// Result of one attempt.
enum AttemptResult {
    /// The response to relay.
    Response(StartedResponse),
    /// The request did not run, for this reason; another upstream may serve it.
    NotRun(CompactString),
    /// The request may have run but produced no usable response, for this reason.
    MayHaveRun(CompactString),
    /// The upstream refused the request, for this reason, without a proof that it did not run.
    UnprovenRefusal(CompactString),
}

/// Sends a request until an upstream responds with a head that can be relayed.
///
/// The first attempt is `exchange`, if there is one.
///
/// # Errors
///
/// Returns how the request ends without a response.
pub(super) async fn run<'a: 'c, 'c>(
    shared: &'a Shared,
    call: &'c Call<'_>,
    caller: &mut Socket,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
    exchange: Option<Exchange<'a, 'c>>,
) -> Result<(StartedResponse, InFlight<'a>), Failure> {
    let mut begun = exchange;
    let is_resumption = attempts.runs > 0;
    loop {
        let exchange = match begun.take() {
            Some(exchange) => exchange,
            None => begin(shared, call, caller, attempts, last_event_id).await?,
        };
        let finished = await_result(shared, call, caller, attempts, exchange, last_event_id);
        let (result, mut in_flight) = match finished.await {
            Ok(finished) => finished,
            Err(interrupt) => {
                // The upstream may have prefilled the prompt, so the team is charged for it.
                attempts.runs += 1;
                let reason = "no response before the deadline";
                if interrupt == Interrupt::CallerGone {
                    return Err(Failure::CallerGone);
                }
                attempts.last = format_compact!("{}: {reason}", attempts.last_upstream());
                return Err(give_up(call, attempts, Refusal::TimedOut, reason));
            }
        };
        match result {
            AttemptResult::Response(response) => {
                attempts.runs += 1;
                let is_failure = response.upstream_response.status() >= 500;
                if !is_failure || !may_run_again(call, attempts, is_resumption) {
                    return Ok((response, in_flight));
                }
                in_flight.set_failed_response();
                let status = response.upstream_response.status();
                attempts.last = format_compact!("{}: status {status}", in_flight.id);
                // A response that is relayed is counted for the comparison of versions then.
                if !may_retry(shared, call, attempts) {
                    return Ok((response, in_flight));
                }
                in_flight.record_response(call, Response::Failed);
            }
            AttemptResult::NotRun(reason) => {
                attempts.record_not_run(call, &in_flight.id, &reason);
                check_not_run(shared, call, attempts)?;
            }
            AttemptResult::MayHaveRun(reason) => {
                attempts.record_failed_run(call, in_flight, &reason);
                if call.route().retry_semantics == RetrySemantics::AtMostOnce
                    || attempts.runs >= call.route().max_attempts
                {
                    return Err(give_up(
                        call,
                        attempts,
                        Refusal::UpstreamFailed,
                        "the upstream failed and the request may not run again",
                    ));
                }
            }
            AttemptResult::UnprovenRefusal(reason) => {
                attempts.record_failed_response(call, in_flight, &reason);
                if !may_run_again(call, attempts, is_resumption)
                    || !may_retry(shared, call, attempts)
                {
                    return Err(give_up(
                        call,
                        attempts,
                        Refusal::UpstreamFailed,
                        "the upstream refused the request, which may have run",
                    ));
                }
            }
        }
    }
}

/// Chooses an upstream, connects to it and starts to send the request.
///
/// # Errors
///
/// Returns how the request ends if no upstream can be sent the request.
async fn begin<'a: 'c, 'c>(
    shared: &'a Shared,
    call: &'c Call<'_>,
    caller: &mut Socket,
    attempts: &mut Attempts,
    last_event_id: Option<u64>,
) -> Result<Exchange<'a, 'c>, Failure> {
    let is_first = attempts.tried.is_empty();
    let first_versions = is_first.then(|| rollouts::choose(shared, call));
    loop {
        if call.remaining_ms(shared) < MIN_REMAINING_MS {
            return Err(give_up(
                call,
                attempts,
                Refusal::TimedOut,
                "the deadline is too near",
            ));
        }
        if let Err(refusal) = crashes::admit(shared, call) {
            return Err(crash_refusal(call, attempts, &refusal));
        }
        let is_in_force = attempts.tried.is_empty() && rollouts::is_running(shared, &call.service);
        let versions = match first_versions.filter(|_| is_in_force) {
            Some(versions) => versions,
            None => rollouts::choose_again(shared, &call.service),
        };
        let mut choice = match choose_upstream(shared, call, &attempts.tried, versions) {
            Ok(choice) => choice,
            Err(error) => return Err(placement_failure(shared, call, attempts, error)),
        };
        let asked_ms = shared.now_ms();
        let permission = limits::acquire(shared, &choice.id, choice.weight, choice.cold_rule);
        let permission = run_until_interrupted(shared, call, caller, permission).await;
        attempts.permission_wait_ms += shared.now_ms().saturating_sub(asked_ms);
        call.add_wait_since(shared, asked_ms);
        match permission {
            Ok(Permission::Granted(permit)) => choice.cold_permit = permit,
            // The upstream is no candidate for some time, so another one is chosen.
            Ok(Permission::Denied) => continue,
            Err(Interrupt::CallerGone) => return Err(Failure::CallerGone),
            Err(Interrupt::Deadline) => {
                let reason = "no permission of a limited upstream before the deadline";
                return Err(give_up(call, attempts, Refusal::TimedOut, reason));
            }
        }
        if !attempts.tried.is_empty() && !is_retry_allowed(shared, call, true) {
            return Err(give_up(
                call,
                attempts,
                Refusal::NoUpstream,
                "the retry limit of the fleet is reached",
            ));
        }
        let mut in_flight = begin_attempt(shared, call, attempts, &choice);
        let connecting_ms = shared.now_ms();
        let connected = connect(shared, call, caller, &choice).await;
        attempts.connect_wait_ms += shared.now_ms().saturating_sub(connecting_ms);
        match connected {
            Ok(Ok(socket)) => {
                // The request has waited for permission and for the connection.
                if !is_still_allowed(shared, call, &choice) {
                    attempts.withdraw_last(call, NOT_ALLOWED_REASON);
                    continue;
                }
                let waiting_ms = shared.now_ms();
                let authorised = authorise(shared, call, caller, attempts).await;
                call.add_wait_since(shared, waiting_ms);
                if let Err(failure) = authorised {
                    attempts.withdraw_last(call, "requests like it crashed upstreams meanwhile");
                    if is_same_process(shared, &choice) {
                        shared.pool.put(&choice.id, socket, None, shared.now_ms());
                    }
                    return Err(failure);
                }
                // A suspected request has waited for its turn.
                if !is_still_allowed(shared, call, &choice) {
                    attempts.withdraw_last(call, NOT_ALLOWED_REASON);
                    continue;
                }
                if !is_still_permitted(shared, &choice) {
                    // With an open connection the next permit is used in time.
                    shared.pool.put(&choice.id, socket, None, shared.now_ms());
                    attempts.withdraw_last(call, PERMIT_EXPIRED_REASON);
                    continue;
                }
                let target = Target {
                    id: &choice.id,
                    entry: &choice.entry,
                    last_event_id,
                };
                return Ok(Exchange::start(shared, call, &target, socket, in_flight));
            }
            Ok(Err(error)) => {
                call.add_wait_since(shared, connecting_ms);
                in_flight.set_outcome(error.outcome());
                record_refusal(shared, &choice, &error);
                attempts.record_not_run(call, &choice.id, &error.to_string());
                check_not_run(shared, call, attempts)?;
            }
            Err(Interrupt::CallerGone) => return Err(Failure::CallerGone),
            Err(Interrupt::Deadline) => {
                let reason = "no connection before the deadline";
                attempts.last = format_compact!("{}: {reason}", choice.id);
                return Err(give_up(call, attempts, Refusal::TimedOut, reason));
            }
        }
    }
}

/// Checks, right before a request is sent, that it is not refused for crashes which became known while it waited.
///
/// # Errors
///
/// Returns how the request ends if it may not be sent.
async fn authorise(
    shared: &Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    attempts: &Attempts,
) -> Result<(), Failure> {
    let authorised = crashes::authorise(shared, call);
    match run_until_interrupted(shared, call, caller, authorised).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(refusal)) => Err(crash_refusal(call, attempts, &refusal)),
        Err(Interrupt::CallerGone) => Err(Failure::CallerGone),
        Err(Interrupt::Deadline) => {
            let reason = "no permission to try a suspected request before the deadline";
            Err(give_up(call, attempts, Refusal::TimedOut, reason))
        }
    }
}

/// Gives up a request that too many upstreams did not run.
fn check_not_run(shared: &Shared, call: &Call<'_>, attempts: &Attempts) -> Result<(), Failure> {
    if attempts.not_run < MAX_NOT_RUN {
        return Ok(());
    }
    let reason = "too many upstreams did not run the request";
    let failure = give_up(call, attempts, Refusal::NoUpstream, reason);
    Err(match paused_wait_ms(shared, call) {
        Some(wait_ms) => retry_after_wait(failure, wait_ms),
        None => failure,
    })
}

/// Returns whether a request that an upstream has failed in a response may run again at another upstream.
///
/// The caller of a stream that is being resumed already has a status, so the server error would end the stream.
fn may_run_again(call: &Call<'_>, attempts: &Attempts, is_resumption: bool) -> bool {
    let may_run_again = match call.route().retry_semantics {
        RetrySemantics::Idempotent => true,
        RetrySemantics::Resumable => is_resumption,
        RetrySemantics::AtMostOnce => false,
    };
    may_run_again && attempts.runs < call.route().max_attempts
}

/// Returns whether a retry is possible: time remains, an upstream is available and the retry limit is not used up.
fn may_retry(shared: &Shared, call: &Call<'_>, attempts: &Attempts) -> bool {
    let versions = rollouts::choose_again(shared, &call.service);
    call.remaining_ms(shared) > MIN_REMAINING_MS
        && choose_upstream(shared, call, &attempts.tried, versions).is_ok()
        && is_retry_allowed(shared, call, false)
}

fn give_up(call: &Call<'_>, attempts: &Attempts, refusal: Refusal, reason: &str) -> Failure {
    let reason = format_compact!("{reason}; last attempt: {}", attempts.last);
    // `NoUpstream`, `Overloaded` and `CrashSuspect` state that the request did not run, which is false or uncertain
    // once an attempt may have run. `TimedOut` states that it may have run, which is false as long as no attempt may
    // have.
    let refusal = match refusal {
        Refusal::NoUpstream | Refusal::Overloaded | Refusal::CrashSuspect if attempts.runs > 0 => {
            Refusal::UpstreamFailed
        }
        Refusal::TimedOut if attempts.runs == 0 => Refusal::Overloaded,
        other => other,
    };
    Failure::Refused(refusal, reason, call.retry_after_ms())
}

/// Refuses a request that has the features of requests that crashed upstreams.
fn crash_refusal(call: &Call<'_>, attempts: &Attempts, refusal: &CrashRefusal) -> Failure {
    let failure = give_up(call, attempts, Refusal::CrashSuspect, &refusal.reason);
    retry_after_wait(failure, refusal.retry_after_ms)
}

fn placement_failure(
    shared: &Shared,
    call: &Call<'_>,
    attempts: &Attempts,
    error: PlacementError,
) -> Failure {
    if evacuations::is_service_evacuated(shared, &call.service) {
        let failure = give_up(call, attempts, Refusal::NoUpstream, EVACUATED_REASON);
        return retry_after_wait(failure, RETRY_AFTER_EVACUATION_MS);
    }
    if let Some(wait_ms) = paused_wait_ms(shared, call) {
        let reason = "all upstreams of the service have asked for a pause";
        let failure = give_up(call, attempts, Refusal::Overloaded, reason);
        return retry_after_wait(failure, wait_ms);
    }
    if let Some(wait_ms) = limited_wait_ms(shared, call) {
        let reason = "the upstreams of the service take no more requests a second";
        let failure = give_up(call, attempts, Refusal::Overloaded, reason);
        return retry_after_wait(failure, wait_ms);
    }
    match error {
        PlacementError::NoUpstream => give_up(
            call,
            attempts,
            Refusal::NoUpstream,
            "no upstream of the service is usable",
        ),
        PlacementError::Full => give_up(
            call,
            attempts,
            Refusal::Overloaded,
            "all upstreams of the service are full",
        ),
    }
}

/// Sets the retry delay of a refusal to the time until a request may be served again, with half of the jitter.
fn retry_after_wait(failure: Failure, wait_ms: u64) -> Failure {
    match failure {
        Failure::Refused(refusal, reason, jitter_ms) => {
            let retry_after_ms = wait_ms + jitter_ms.unwrap_or_default() / 2;
            Failure::Refused(refusal, reason, Some(retry_after_ms))
        }
        Failure::CallerGone => failure,
    }
}

/// Returns this gateway's share of the retries that the fleet allows in addition to the ratio of requests.
fn retry_slack(shared: &Shared) -> u64 {
    let slack = shared.settings.fleet.retry_slack;
    shared.routers.borrow().share(&shared.settings.vm, slack)
}

/// Looks at this gateway's part of the retry limit of the service; `look` gets the limiter, the rule, the slack and the
/// time.
fn with_retry_limiter<T>(
    shared: &Shared,
    call: &Call<'_>,
    look: impl FnOnce(&mut RetryLimiter, RetryRule, u64, u64) -> T,
) -> T {
    let rule = shared.settings.fleet.retry_rule();
    let slack = retry_slack(shared);
    let mut retries = shared.retries.borrow_mut();
    let limiter = retries.entry(call.service.clone()).or_default();
    look(limiter, rule, slack, shared.now_ms())
}

/// Returns whether the retry limit of the fleet allows a retry; with `consume` the retry is counted.
fn is_retry_allowed(shared: &Shared, call: &Call<'_>, consume: bool) -> bool {
    let look = if consume {
        RetryLimiter::try_retry
    } else {
        RetryLimiter::allows_retry
    };
    with_retry_limiter(shared, call, look)
}

/// Returns whether the next attempt repeats the request, and whether the retry limit of the fleet allows more than that.
fn retry_need(shared: &Shared, call: &Call<'_>, tried: &[CompactString]) -> Retry {
    if tried.is_empty() {
        return Retry::None;
    }
    match with_retry_limiter(shared, call, RetryLimiter::remaining_retries) {
        0 | 1 => Retry::Last,
        _ => Retry::Allowed,
    }
}

/// Opens or reuses a connection to the upstream of an attempt.
async fn connect(
    shared: &Shared,
    call: &Call<'_>,
    caller: &mut Socket,
    choice: &Choice,
) -> Result<Result<Socket, ConnectError>, Interrupt> {
    let is_at_most_once = call.route().retry_semantics == RetrySemantics::AtMostOnce;
    let max_idle_ms = if is_at_most_once {
        AT_MOST_ONCE_MAX_IDLE_MS
    } else {
        u64::MAX
    };
    if let Some(socket) = shared.pool.take(&choice.id, max_idle_ms, shared.now_ms()) {
        return Ok(Ok(socket));
    }
    shared.metrics.add("upstream_connects", 1);
    let connecting_ms = shared.now_ms();
    let connecting = pool::connect(choice.entry.address);
    let connected = run_until_interrupted(shared, call, caller, connecting).await;
    let elapsed_ms = shared.now_ms().saturating_sub(connecting_ms);
    // A connect that was interrupted early may have become a slow one.
    if connected.is_ok() || elapsed_ms >= SLOW_CONNECT_MS {
        shared.record_connect(&choice.id, connecting_ms);
    }
    connected
}

/// Tells the other gateways that the address of an upstream refuses connections, if it does.
fn record_refusal(shared: &Shared, choice: &Choice, error: &ConnectError) {
    if error.is_refused() {
        let gone = availability::process(&choice.id, &choice.entry);
        beliefs::record_gone(shared, gone, GoneKind::Unreachable);
    }
}

/// Starts to send a request on a connection to an upstream.
fn start_exchange<'a: 'c, 'c>(
    shared: &'a Shared,
    call: &'c Call<'_>,
    attempts: &mut Attempts,
    choice: Choice,
    socket: Socket,
    last_event_id: Option<u64>,
) -> Exchange<'a, 'c> {
    let in_flight = begin_attempt(shared, call, attempts, &choice);
    let target = Target {
        id: &choice.id,
        entry: &choice.entry,
        last_event_id,
    };
    Exchange::start(shared, call, &target, socket, in_flight)
}

/// Counts an attempt at an upstream.
fn begin_attempt<'a>(
    shared: &'a Shared,
    call: &Call<'_>,
    attempts: &mut Attempts,
    choice: &Choice,
) -> InFlight<'a> {
    let Choice { id, entry, .. } = choice;
    rollouts::record_sent(shared, call, &entry.version);
    attempts.tried.push(id.clone());
    attempts.expected_ms = {
        let placement = shared.placement.borrow();
        placement.expected_delay_ms(id, call.meta.prompt.as_ref(), shared.now_ms()) as u64
    };
    let mut in_flight = InFlight::new(shared, id, entry, call.meta.prompt.as_ref());
    in_flight.cold_rule = choice.cold_rule;
    in_flight.cold_permit = choice.cold_permit;
    let expected_cost = in_flight.expected_cost.as_ref();
    attempts.expected_prefill_ms = expected_cost.map_or(0, |cost| cost.work_time_ms() as u64);
    in_flight
}

/// Classifies the result of an exchange.
async fn conclude<'a>(
    shared: &Shared,
    call: &Call<'_>,
    exchange: Exchange<'a, '_>,
    head: HeadResult,
) -> (AttemptResult, InFlight<'a>) {
    let elapsed_ms = shared.now_ms().saturating_sub(exchange.started_ms);
    let mut in_flight = exchange.in_flight;
    in_flight.end_first_byte_wait();
    let result = match head {
        Err(reason) => {
            in_flight
                .record_lost_connection(call, ResponseProgress::Waiting)
                .await;
            AttemptResult::MayHaveRun(reason)
        }
        Ok(response) => classify_response(shared, call, response, &mut in_flight, elapsed_ms),
    };
    (result, in_flight)
}

/// Returns the time without a response after which a request may move to another upstream.
fn attempt_timeout(shared: &Shared, call: &Call<'_>) -> Option<Duration> {
    match call.route().retry_semantics {
        RetrySemantics::Idempotent => {
            let remaining = Duration::from_millis(call.remaining_ms(shared));
            Some(remaining * ATTEMPT_TIMEOUT_PERCENT / 100)
        }
        RetrySemantics::Resumable => Some(FIRST_BYTE_TIMEOUT),
        RetrySemantics::AtMostOnce => None,
    }
}

/// Returns whether a stream waits at an upstream that still sends to other requests; a retry elsewhere would only add
/// load.
fn is_sending_to_others(shared: &Shared, call: &Call<'_>, id: &str) -> bool {
    call.route().is_stream && !shared.placement.borrow().is_silent(id, shared.now_ms())
}

/// Records the load that an upstream reported; logs when the first upstream states its speed.
fn record_load(shared: &Shared, upstream: &str, report: LoadReport, now_ms: u64) {
    let mut placement = shared.placement.borrow_mut();
    let was_by_cost = placement.weighs_costs();
    placement.record_load(upstream, report, now_ms);
    if placement.weighs_costs() && !was_by_cost {
        log::info!(
            step = "placement", upstream = upstream, work_percent = report.work_percent,
            at_ms = now_ms;
            "upstreams state their speed, requests to their services are placed by expected cost"
        );
    }
}

/// Classifies an attempt by the head of its response, and records the load and the latency of the upstream.
fn classify_response(
    shared: &Shared,
    call: &Call<'_>,
    response: StartedResponse,
    in_flight: &mut InFlight<'_>,
    elapsed_ms: u64,
) -> AttemptResult {
    let now_ms = shared.now_ms();
    let status = response.upstream_response.status();
    let fields = response.upstream_response.headers();
    let report = headers::load_report(fields);
    if let Some(report) = report {
        record_load(shared, &response.upstream, report, now_ms);
    }
    if status != MISDIRECTED_REQUEST {
        limits::record_response(shared, &response.upstream, fields);
    }
    if let Some(rule) = in_flight.cold_rule {
        let sent_ms = now_ms.saturating_sub(elapsed_ms);
        let head = (status, fields);
        cold_upstreams::record_response(shared, &response.upstream, rule, head, sent_ms);
        let permit = in_flight.cold_permit.take();
        if let Some(permit) = permit.filter(|_| status != MISDIRECTED_REQUEST) {
            limits::report_served(shared, &response.upstream, permit);
        }
    }
    // A statement about another request proves nothing about this one.
    if !headers::matches_request_id(fields, &call.meta.id) {
        return AttemptResult::MayHaveRun("the response belongs to another request".into());
    }
    if headers::is_not_executed(status, fields) {
        in_flight.set_outcome(if status == MISDIRECTED_REQUEST {
            Outcome::Replaced
        } else {
            Outcome::Rejected
        });
        return AttemptResult::NotRun(format_compact!("status {status}"));
    }
    if refusal::states_not_run(status) {
        return AttemptResult::UnprovenRefusal(format_compact!(
            "status {status} without a proof that the request did not run"
        ));
    }
    if (200..300).contains(&status) {
        if !headers::is_signed(fields) || !headers::has_request_id(fields) {
            return AttemptResult::MayHaveRun("the response is not signed by the upstream".into());
        }
        let mut placement = shared.placement.borrow_mut();
        placement.record_first_byte(&response.upstream, elapsed_ms);
        if let Some(work) = in_flight.idle_prefill_work {
            placement.record_prefill(&response.upstream, work, elapsed_ms);
        }
        drop(placement);
        in_flight.record_first_byte(report, elapsed_ms);
    }
    AttemptResult::Response(response)
}
