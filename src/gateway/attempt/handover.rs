//! Moving a request from an upstream that is silent to another one.
//!
//! Silence alone does not show that an upstream has failed. Its exchange is therefore kept until another upstream is
//! certain to take the request: a connection to it is open, the limits of the route and of the fleet allow the attempt,
//! and the other upstream does not refuse the request at once.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use compact_str::{format_compact, CompactString};
use futures_util::future::{select, Either};

use super::choice::{
    choose_upstream, is_same_process, is_still_allowed, is_still_permitted, Choice,
};
use super::exchange::{Exchange, HeadResult};
use super::interrupt::{run_until_interrupted, Interrupt};
use super::{
    attempt_timeout, conclude, is_retry_allowed, is_sending_to_others, record_refusal,
    start_exchange, AttemptResult, Attempts, InFlight, StartedResponse, MAX_NOT_RUN,
    MIN_REMAINING_MS,
};
use crate::gateway::limits::Permission;
use crate::gateway::request::Call;
use crate::gateway::{cold_upstreams, crashes, limits, pool, rollouts, Shared};
use crate::placement::Outcome;
use crate::server::Socket;
use crate::version_canary::Response;

/// Interval at which another upstream is sought as long as none can take the request.
pub(in crate::gateway) const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the silent upstream keeps the request beside its successor. A refusal arrives within a few
/// milliseconds; the platform allows both to work on the request for 400 ms.
const OVERLAP: Duration = Duration::from_millis(250);

/// An upstream that can take over a request, with an open connection to it.
pub(in crate::gateway) struct Successor {
    pub(super) choice: Choice,
    pub(super) socket: Socket,
}

/// Result of sending a request to a successor while the present upstream still has it.
pub(in crate::gateway) enum HandOver<'a, 'c, T> {
    /// The present upstream has sent something or has failed; the successor has not responded yet.
    Present(T, Exchange<'a, 'c>),
    /// The successor has responded.
    Successor(StartedResponse, InFlight<'a>),
    /// The successor has neither responded nor refused within [`OVERLAP`], so the present exchange has to end.
    Unanswered(Exchange<'a, 'c>),
    /// The successor does not serve the request, so the present exchange goes on.
    Refused,
}

/// Waits until a time of silence has passed, `is_needed` holds and another upstream can take the request.
///
/// Never completes if no other upstream can, or without a time of silence. The future can be dropped at any time.
pub(in crate::gateway) async fn find_successor(
    shared: &Shared,
    call: &Call<'_>,
    tried: &[CompactString],
    silence: Option<Duration>,
    is_needed: impl Fn() -> bool,
) -> Box<Successor> {
    let Some(silence) = silence else {
        return std::future::pending().await;
    };
    monoio::time::sleep(silence).await;
    loop {
        if is_needed() {
            // Boxed, because most waits end before this point and should not hold the future.
            if let Some(successor) = Box::pin(prepare(shared, call, tried)).await {
                return Box::new(successor);
            }
        }
        monoio::time::sleep(SEARCH_INTERVAL).await;
    }
}

/// Chooses another upstream and connects to it; counts the attempt in the fleet's retry limit.
async fn prepare(shared: &Shared, call: &Call<'_>, tried: &[CompactString]) -> Option<Successor> {
    let is_possible = call.remaining_ms(shared) >= MIN_REMAINING_MS
        && crashes::is_allowed(shared, call)
        && is_retry_allowed(shared, call, false);
    if !is_possible {
        return None;
    }
    let versions = rollouts::choose_again(shared, &call.service);
    let mut choice = choose_upstream(shared, call, tried, versions).ok()?;
    // A new connection, because one from the pool does not show that the host is reachable.
    shared.metrics.add("upstream_connects", 1);
    let connecting_ms = shared.now_ms();
    let connected = pool::connect(choice.entry.address).await;
    let now_ms = shared.now_ms();
    shared.record_connect(&choice.id, connecting_ms);
    let socket = match connected {
        Ok(socket) => socket,
        Err(error) => {
            log::info!(
                step = "attempt", request_id = call.meta.id.as_str(), upstream = choice.id.as_str();
                "cannot take over the request: {error}"
            );
            let mut placement = shared.placement.borrow_mut();
            let outcome = error.outcome();
            placement.record_unreachable(&choice.id, outcome, now_ms);
            drop(placement);
            cold_upstreams::record_lost(shared, &choice.id);
            record_refusal(shared, &choice, &error);
            return None;
        }
    };
    let permission = limits::acquire(shared, &choice.id, choice.weight, choice.cold_rule).await;
    if let Permission::Granted(permit) = permission {
        choice.cold_permit = permit;
    }
    let is_allowed = matches!(permission, Permission::Granted(_))
        && is_still_allowed(shared, call, &choice)
        && is_still_permitted(shared, &choice)
        && crashes::is_allowed(shared, call)
        && is_retry_allowed(shared, call, true);
    if !is_allowed {
        if is_same_process(shared, &choice) {
            shared.pool.put(&choice.id, socket, None, shared.now_ms());
        }
        return None;
    }
    Some(Successor { choice, socket })
}

/// Sends a request to a successor while the present upstream still has it.
///
/// `present` completes when the present upstream sends something or fails.
///
/// # Errors
///
/// Returns what interrupted the wait.
pub(in crate::gateway) async fn hand_over<'a: 'c, 'c, T>(
    shared: &'a Shared,
    call: &'c Call<'_>,
    caller: &mut Socket,
    attempts: &mut Attempts,
    present: impl Future<Output = T>,
    successor: Box<Successor>,
    last_event_id: Option<u64>,
) -> Result<HandOver<'a, 'c, T>, Interrupt> {
    enum Event<T> {
        Present(T),
        Head(HeadResult),
        Elapsed,
    }
    let Successor { choice, socket } = *successor;
    let mut exchange = start_exchange(shared, call, attempts, choice, socket, last_event_id);
    let event = {
        let head = pin!(monoio::time::timeout(OVERLAP, &mut exchange));
        let present = pin!(present);
        let either = async {
            match select(present, head).await {
                Either::Left((result, _)) => Event::Present(result),
                Either::Right((Ok(head), _)) => Event::Head(head),
                Either::Right((Err(_), _)) => Event::Elapsed,
            }
        };
        run_until_interrupted(shared, call, caller, either).await?
    };
    let head = match event {
        Event::Present(result) => return Ok(HandOver::Present(result, exchange)),
        Event::Elapsed => return Ok(HandOver::Unanswered(exchange)),
        Event::Head(head) => head,
    };
    let (result, in_flight) = conclude(shared, call, exchange, head).await;
    let id = in_flight.id.clone();
    match result {
        AttemptResult::Response(response) => Ok(HandOver::Successor(response, in_flight)),
        AttemptResult::NotRun(reason) => {
            attempts.record_not_run(call, &id, &reason);
            Ok(HandOver::Refused)
        }
        AttemptResult::MayHaveRun(reason) => {
            attempts.record_failed_run(call, in_flight, &reason);
            Ok(HandOver::Refused)
        }
        AttemptResult::UnprovenRefusal(reason) => {
            attempts.record_failed_response(call, in_flight, &reason);
            Ok(HandOver::Refused)
        }
    }
}

/// Waits for the result of an exchange; after a time without one, the request moves to another upstream if one takes it.
pub(super) async fn await_result<'a: 'c, 'c>(
    shared: &'a Shared,
    call: &'c Call<'_>,
    caller: &mut Socket,
    attempts: &mut Attempts,
    mut exchange: Exchange<'a, 'c>,
    last_event_id: Option<u64>,
) -> Result<(AttemptResult, InFlight<'a>), Interrupt> {
    let mut timeout = attempt_timeout(shared, call);
    loop {
        let is_last =
            attempts.runs + 1 >= call.route().max_attempts || attempts.not_run >= MAX_NOT_RUN;
        let event = {
            let id = exchange.in_flight.id.clone();
            let is_needed = || !is_sending_to_others(shared, call, &id);
            let silence = timeout.filter(|_| !is_last);
            let successor = find_successor(shared, call, &attempts.tried, silence, is_needed);
            let successor = pin!(successor);
            let either = select(&mut exchange, successor);
            let either = run_until_interrupted(shared, call, caller, either).await;
            either.map(|either| match either {
                Either::Left((head, _)) => Either::Left(head),
                Either::Right((successor, _)) => Either::Right(successor),
            })
        };
        if let Err(Interrupt::Deadline) = &event {
            exchange.in_flight.record_response(call, Response::Failed);
        }
        let event = event?;
        let successor = match event {
            Either::Left(head) => return Ok(conclude(shared, call, exchange, head).await),
            Either::Right(successor) => successor,
        };
        let present = &mut exchange;
        let handed = hand_over(
            shared,
            call,
            caller,
            attempts,
            present,
            successor,
            last_event_id,
        );
        match handed.await? {
            HandOver::Present(Ok(response), _) => {
                // The successor may have begun to run the request.
                attempts.runs += 1;
                return Ok(conclude(shared, call, exchange, Ok(response)).await);
            }
            HandOver::Present(Err(reason), next) => {
                let failed = conclude(shared, call, exchange, Err(reason.clone()));
                let (_, in_flight) = failed.await;
                attempts.record_failed_run(call, in_flight, &reason);
                exchange = next;
                timeout = attempt_timeout(shared, call);
            }
            HandOver::Successor(response, in_flight)
                if response.upstream_response.status() < 500 =>
            {
                attempts.record_moved(call, exchange.in_flight);
                return Ok((AttemptResult::Response(response), in_flight));
            }
            HandOver::Successor(response, in_flight) => {
                let reason = format_compact!("status {}", response.upstream_response.status());
                attempts.record_failed_response(call, in_flight, &reason);
                timeout = timeout.map(|_| SEARCH_INTERVAL);
            }
            HandOver::Unanswered(next) => {
                attempts.record_moved(call, exchange.in_flight);
                exchange = next;
                timeout = attempt_timeout(shared, call);
            }
            HandOver::Refused => timeout = timeout.map(|_| SEARCH_INTERVAL),
        }
    }
}

impl Attempts {
    /// Records an attempt that ended because another upstream took the request over.
    fn record_moved(&mut self, call: &Call<'_>, mut in_flight: InFlight<'_>) {
        self.runs += 1;
        in_flight.set_outcome(Outcome::Failed);
        self.last = format_compact!("{}: no response in time", in_flight.id);
        log::info!(
            step = "attempt", request_id = call.meta.id.as_str(), upstream = in_flight.id.as_str(),
            elapsed_ms = in_flight.elapsed_ms();
            "no response in time, another upstream takes the request over"
        );
    }

    /// Withdraws the last attempt, of which nothing was sent.
    pub(super) fn withdraw_last(&mut self, call: &Call<'_>, reason: &str) {
        let id = self.tried.pop().unwrap_or_default();
        log::info!(
            step = "attempt", request_id = call.meta.id.as_str(), upstream = id.as_str();
            "not sent: {reason}"
        );
    }

    /// Records an attempt that certainly did not run.
    pub(super) fn record_not_run(&mut self, call: &Call<'_>, id: &str, reason: &str) {
        self.not_run += 1;
        self.last = format_compact!("{id}: {reason}");
        log::info!(
            step = "attempt", request_id = call.meta.id.as_str(), upstream = id;
            "not run: {reason}"
        );
    }

    /// Records an attempt that may have run but produced no usable response.
    pub(in crate::gateway) fn record_failed_run(
        &mut self,
        call: &Call<'_>,
        mut in_flight: InFlight<'_>,
        reason: &str,
    ) {
        self.runs += 1;
        in_flight.set_outcome(Outcome::Failed);
        self.record_failure(call, &in_flight, reason);
    }

    /// Records an attempt whose response is a failure.
    pub(super) fn record_failed_response(
        &mut self,
        call: &Call<'_>,
        mut in_flight: InFlight<'_>,
        reason: &str,
    ) {
        self.runs += 1;
        in_flight.set_failed_response();
        self.record_failure(call, &in_flight, reason);
    }

    fn record_failure(&mut self, call: &Call<'_>, in_flight: &InFlight<'_>, reason: &str) {
        in_flight.record_response(call, Response::Failed);
        self.last = format_compact!("{}: {reason}", in_flight.id);
        log::info!(
            step = "attempt", request_id = call.meta.id.as_str(), upstream = in_flight.id.as_str();
            "may have run: {reason}"
        );
    }
}
