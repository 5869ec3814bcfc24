//! Attempts at upstreams, and whole responses.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use serde::Deserialize;

use super::call::{Call, Kind, Refused};
use super::claim::Claimed;
use super::pools::{self, ChosenVersion, Ended, Isolation, Slot};
use super::Shared;
use crate::engine::{Error, Exchange, Outgoing};
use crate::evidence;
use crate::ids::UpstreamKey;
use crate::intent::Claim;
use crate::message::PeerMessage;
use crate::record::{Crash, Entry};
use crate::refusal::{ExecutionStatus, Refusal};

/// Most places that one request may use.
const MAX_ATTEMPTS: u32 = 4;

/// Time between two looks for an upstream that a request may have for itself.
const ISOLATION_POLL: Duration = Duration::from_millis(5);

/// Largest response that is held whole.
const MAX_WHOLE_BYTES: usize = 16 << 20;

/// A response that is sent with its length.
pub(super) struct Whole {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Bytes,
}

/// Attempts of one request so far.
pub(super) struct Attempts<'a> {
    shared: &'a Rc<Shared>,
    call: &'a Call,
    version: ChosenVersion,
    excluded: Vec<UpstreamKey>,
    count: u32,
    /// Whether an upstream crashed while it ran the request.
    was_at_crash: bool,
    /// Whether the last attempt ended with a crash of its upstream.
    is_after_crash: bool,
    /// Keeps this request apart from others that were at a crashed upstream.
    isolation: Option<Isolation>,
    /// Whether any upstream may have run the request.
    pub(super) may_have_run: bool,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(shared: &'a Rc<Shared>, call: &'a Call) -> Result<Self, Refused> {
        Ok(Self {
            shared,
            call,
            version: pools::choose_version(shared, call)?,
            excluded: Vec::new(),
            count: 0,
            was_at_crash: shared.has_crashed(call.fingerprint),
            is_after_crash: false,
            isolation: None,
            may_have_run: false,
        })
    }

    /// Waits for a place at an upstream that has not failed this request.
    pub(super) async fn next_place(&mut self) -> Result<Slot, Refused> {
        if self.count > 0 {
            // A crash takes all requests of an upstream with it, more than the retry budget holds. Running them again
            // adds no load, because the upstream no longer runs them, and a second crash ends the request.
            let is_free = std::mem::take(&mut self.is_after_crash);
            let has_budget = || self.shared.pools.borrow_mut().try_retry();
            if self.count >= MAX_ATTEMPTS || !(is_free || has_budget()) {
                return Err(self.failed("the upstreams failed"));
            }
            // The evidence against a version may have come in meanwhile, so the version is chosen again.
            let version = pools::choose_version(self.shared, self.call)?;
            self.version = ChosenVersion {
                arm: None,
                ..version
            };
        }
        self.count += 1;
        let (shared, call) = (self.shared, self.call);
        let queued_ms = shared.now_ms();
        let excluded = self.isolate().await?;
        let place = pools::admit(shared, call, &self.version, &excluded).await;
        let slot = place.map_err(|refused| self.with_ran(refused))?;
        let wait_ms = shared.now_ms() - queued_ms;
        shared
            .metrics
            .record_queue_wait(call.priority, &call.customer_name, wait_ms);
        shared.note_request(
            call.key,
            format_compact!(
                "attempt {} was given to {} with version {} after {wait_ms} ms in the queue",
                self.count,
                slot.name,
                slot.version
            ),
        );
        Ok(slot)
    }

    /// Returns the upstreams that must not get the request, after a crash all but one that it has for itself.
    async fn isolate(&mut self) -> Result<Vec<UpstreamKey>, Refused> {
        if !self.was_at_crash {
            return Ok(self.excluded.clone());
        }
        let (shared, call, pool) = (self.shared, self.call, self.version.pool);
        let route = shared
            .pools
            .borrow_mut()
            .route_key(&call.route, &call.serves);
        self.isolation = None;
        loop {
            if let Some(isolation) = Isolation::take(shared, pool, route, &self.excluded) {
                let others = shared.pools.borrow().all_but(pool, isolation.upstream());
                self.isolation = Some(isolation);
                return Ok(others);
            }
            let now_ms = shared.now_ms();
            let is_possible = {
                let pools = shared.pools.borrow();
                let candidates = pools.candidates(pool, route, &self.excluded, now_ms);
                !candidates.is_empty()
            };
            if !is_possible || now_ms >= call.deadline_ms {
                return Err(self.failed("no upstream was free for a request that may crash it"));
            }
            monoio::time::sleep(ISOLATION_POLL).await;
        }
    }

    /// Reports a response, with the time from dispatch to its first byte if that came in this place.
    pub(super) fn succeeded(&mut self, slot: &mut Slot, first_latency_ms: Option<u64>) {
        if !slot.is_held {
            // The result was reported when the place was freed.
            return;
        }
        let Some(latency_ms) = first_latency_ms else {
            self.end(slot, Ended::Neutral);
            return;
        };
        self.count_evidence(evidence::Outcome::Success {
            latency_ms: latency_ms as f64,
        });
        self.end(slot, Ended::Success { latency_ms });
    }

    /// Reports a failure; the next place is at another upstream.
    pub(super) async fn note_failure(
        &mut self,
        slot: &mut Slot,
        error: &Error,
    ) -> Result<(), Refused> {
        log::info!(
            step = "dispatch", peer = slot.name.as_str(), request_key:% = self.call.key; "{error}"
        );
        self.excluded.push(slot.upstream);
        if !error.may_have_run() {
            self.count_evidence(evidence::Outcome::Failure);
            self.end(slot, Ended::Refused);
            return Ok(());
        }
        self.may_have_run = true;
        let is_down = !self.shared.client.is_listening(&slot.address).await;
        if !is_down {
            self.count_evidence(evidence::Outcome::Failure);
            self.end(slot, Ended::Failure);
            return Ok(());
        }
        self.note_crash(slot)
    }

    /// Reports an upstream that answered with a server error.
    pub(super) fn note_error_status(&mut self, slot: &mut Slot, reason: &str) {
        log::info!(
            step = "dispatch", peer = slot.name.as_str(), request_key:% = self.call.key; "{reason}"
        );
        self.excluded.push(slot.upstream);
        self.may_have_run = true;
        self.count_evidence(evidence::Outcome::Failure);
        self.end(slot, Ended::Failure);
    }

    /// Frees a place without a report on the upstream.
    pub(super) fn abandon(&mut self, slot: &mut Slot) {
        self.end(slot, Ended::Neutral);
    }

    /// Makes the refusal after the last attempt, which says truthfully whether the request may have run.
    pub(super) fn failed(&self, message: &str) -> Refused {
        let refusal = if self.may_have_run {
            Refusal::UpstreamFailed
        } else {
            Refusal::NoUpstream
        };
        Refused::new(refusal, message).retry_after(500)
    }

    /// Adds to a refusal that an earlier attempt may have run.
    pub(super) fn with_ran(&self, mut refused: Refused) -> Refused {
        if self.may_have_run {
            refused.ran = ExecutionStatus::MayHaveRun;
        }
        refused
    }

    fn note_crash(&mut self, slot: &mut Slot) -> Result<(), Refused> {
        self.was_at_crash = true;
        self.is_after_crash = true;
        let fingerprint = self.call.fingerprint;
        let crash = Crash {
            fingerprint: fingerprint.0,
            upstream: slot.name.to_string(),
            version: slot.version.to_string(),
        };
        let fleet = &self.shared.fleet;
        self.shared
            .early_crashes
            .borrow_mut()
            .add_crash(fingerprint);
        for peer in fleet.peers() {
            fleet.send(peer.incarnation, PeerMessage::CrashNotice(crash.clone()));
        }
        if let Err(error) = fleet.write(Entry::Crash(crash)) {
            log::warn!(step = "crash", peer = slot.name.as_str(); "{error}");
        }
        if self.shared.is_quarantined(fingerprint) {
            self.end(slot, Ended::Neutral);
            return Err(quarantined());
        }
        self.count_evidence(evidence::Outcome::Failure);
        self.end(slot, Ended::Refused);
        Ok(())
    }

    /// Counts the result of the first attempt for the version's evidence.
    fn count_evidence(&mut self, outcome: evidence::Outcome) {
        if let Some(arm) = self.version.arm.take() {
            self.shared.evidence.borrow_mut().count(&arm, outcome);
        }
    }

    fn end(&self, slot: &mut Slot, ended: Ended) {
        pools::finish(&self.shared.pools, slot, ended, self.shared.now_ms());
    }
}

/// Makes the refusal of a request that crashes upstreams.
pub(super) fn quarantined() -> Refused {
    Refused::new(
        Refusal::Quarantined,
        "the request crashed upstreams and is not run again",
    )
}

/// Runs a call whose response is sent whole.
pub(super) async fn run(shared: &Rc<Shared>, call: &Call) -> Result<Whole, Refused> {
    if let Some(status) = earlier_status(shared, call) {
        return Ok(repeated(status));
    }
    let reservation = shared.budget.reserve(call, shared.now_ms()).await?;
    match dispatch(shared, call).await {
        Ok((whole, charge_tokens)) => {
            let charged_tokens = shared.budget.settle(call, reservation, charge_tokens).await;
            note_done(shared, call, charged_tokens);
            Ok(whole)
        }
        Err(refused) => {
            shared.budget.release(reservation);
            Err(refused)
        }
    }
}

/// Returns the status of a call that may not be repeated and has run.
///
/// The answer to such a repetition needs neither budget nor an upstream.
fn earlier_status(shared: &Shared, call: &Call) -> Option<u16> {
    match shared.fleet.state().intents.get(call.key) {
        Some(Claim::Ran { status, .. }) if !call.is_repeatable() => Some(status),
        _ => None,
    }
}

/// Records the figures of a finished response.
pub(super) fn note_done(shared: &Shared, call: &Call, charged_tokens: u64) {
    let elapsed_ms = shared.now_ms() - call.accepted_ms;
    shared
        .metrics
        .record_whole_response(call.priority, &call.customer_name, elapsed_ms);
    if charged_tokens > 0 {
        shared.metrics.count_bill(charged_tokens);
    }
    shared.note_request(
        call.key,
        format_compact!("complete after {elapsed_ms} ms; {charged_tokens} tokens charged"),
    );
}

async fn dispatch(shared: &Rc<Shared>, call: &Call) -> Result<(Whole, u64), Refused> {
    let mut attempts = Attempts::new(shared, call)?;
    let mut slot = attempts.next_place().await?;
    if !call.is_repeatable() {
        match shared.claims.claim(call).await {
            Ok(Claimed::Won) => {}
            Ok(Claimed::Ran(status)) => {
                attempts.abandon(&mut slot);
                return Ok((repeated(status), 0));
            }
            Err(refused) => {
                attempts.abandon(&mut slot);
                return Err(refused);
            }
        }
    }
    let result = send_until_answered(&mut attempts, &mut slot).await;
    if !call.is_repeatable() {
        match &result {
            Ok((whole, _)) => shared.claims.complete(call.key, whole.status),
            Err(_) if attempts.may_have_run => shared.claims.fail(call.key),
            Err(_) => shared.claims.abandon(call.key),
        }
    }
    result
}

async fn send_until_answered(
    attempts: &mut Attempts<'_>,
    slot: &mut Slot,
) -> Result<(Whole, u64), Refused> {
    let (shared, call) = (attempts.shared, attempts.call);
    loop {
        let limit = time_limit(call, shared.now_ms());
        let Ok(result) =
            monoio::time::timeout(limit, watched(shared, slot, send_once(shared, call, slot)))
                .await
        else {
            return Err(timed_out(attempts, slot).await);
        };
        match result {
            Ok(whole) if whole.status < 500 || !call.is_repeatable() => {
                let latency_ms = shared.now_ms() - slot.dispatched_ms;
                attempts.succeeded(slot, Some(latency_ms));
                let charge_tokens = charge(call, &whole);
                return Ok((whole, charge_tokens));
            }
            Ok(_) => attempts.note_error_status(slot, "server error"),
            Err(error) => {
                attempts.note_failure(slot, &error).await?;
                if attempts.may_have_run && !call.is_repeatable() {
                    return Err(attempts
                        .failed("the upstream broke the connection after the call was sent"));
                }
            }
        }
        *slot = attempts.next_place().await?;
    }
}

async fn timed_out(attempts: &mut Attempts<'_>, slot: &mut Slot) -> Refused {
    attempts.note_error_status(slot, "no response in time");
    if matches!(attempts.call.kind, Kind::Chat { .. }) {
        attempts
            .shared
            .client
            .cancel(&slot.address, attempts.call.key)
            .await;
    }
    Refused::new(
        Refusal::TimedOut,
        "the upstream did not answer within the time limit",
    )
}

fn time_limit(call: &Call, now_ms: u64) -> Duration {
    let left_ms = call.deadline_ms.saturating_sub(now_ms);
    Duration::from_millis(match call.kind {
        Kind::Service { timeout_ms, .. } => timeout_ms.min(left_ms),
        Kind::Chat { .. } => left_ms,
    })
}

/// Waits for an answer, and reports a silence that is long for the route while the request still runs.
///
/// Requests that come later go to other upstreams then; this one still gets its answer.
pub(super) async fn watched<T>(shared: &Shared, slot: &Slot, answer: impl Future<Output = T>) -> T {
    let mut answer = pin!(answer);
    let limit = shared.pools.borrow().overdue_limit(slot);
    if let Ok(answer) = monoio::time::timeout(limit, answer.as_mut()).await {
        return answer;
    }
    let now_ms = shared.now_ms();
    shared.pools.borrow_mut().note_overdue(slot, now_ms);
    answer.await
}

async fn send_once(shared: &Shared, call: &Call, slot: &Slot) -> Result<Whole, Error> {
    let mut exchange = send(shared, call, slot).await?;
    let body = exchange.read_all(MAX_WHOLE_BYTES).await?;
    let whole = Whole {
        status: exchange.status(),
        content_type: exchange.content_type().to_owned(),
        body,
    };
    shared.client.finish(&slot.address, exchange);
    Ok(whole)
}

/// Sends a call to an upstream and reads the head of the response.
pub(super) async fn send(shared: &Shared, call: &Call, slot: &Slot) -> Result<Exchange, Error> {
    let path = match call.kind {
        Kind::Chat { .. } => "/v1/chat/completions",
        Kind::Service { .. } => call.request.uri.path_and_query().map_or("/", |path| {
            let rest = path.as_str().strip_prefix("/services/").unwrap_or_default();
            rest.find('/').map_or("/", |position| &rest[position..])
        }),
    };
    let outgoing = Outgoing {
        method: call.request.method.as_str(),
        path,
        key: Some(call.key),
        priority: Some(call.priority.name()),
        content_type: call
            .request
            .header("content-type")
            .unwrap_or("application/json"),
        body: &call.request.body,
        repeatable: call.is_repeatable(),
    };
    shared.client.send(&slot.address, &outgoing).await
}

/// Tokens that an engine reports for a response.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

impl Usage {
    pub(super) fn total_tokens(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }
}

/// The part of a response that carries its usage.
#[derive(Debug, Deserialize)]
pub(super) struct WithUsage {
    pub(super) usage: Option<Usage>,
}

fn charge(call: &Call, whole: &Whole) -> u64 {
    if whole.status >= 400 {
        return 0;
    }
    match call.kind {
        Kind::Service { charge_tokens, .. } => charge_tokens,
        Kind::Chat { .. } => serde_json::from_slice::<WithUsage>(&whole.body)
            .ok()
            .and_then(|body| body.usage)
            // An engine that does not report its usage is charged like the largest possible response.
            .map_or(call.bound_tokens, Usage::total_tokens),
    }
}

/// Answers a repetition of a call that ran before; its response body is not kept.
fn repeated(status: u16) -> Whole {
    Whole {
        status,
        content_type: "application/json".into(),
        body: Bytes::from(format!(
            "{{\"outcome\":{{\"status\":{status},\"repeated\":true}}}}"
        )),
    }
}
