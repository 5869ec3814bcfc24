//! Attempts to run a request at upstreams, and responses that are buffered before they are sent.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use serde::Deserialize;

use super::call::{Call, CallKind, Refused};
use super::claim::ClaimOutcome;
use super::pools::{self, ChosenVersion, Isolation, Slot, SlotOutcome};
use super::{crash_counts, Shared};
use crate::evidence;
use crate::ids::UpstreamKey;
use crate::intent::Claim;
use crate::message::PeerMessage;
use crate::record::{Crash, Entry};
use crate::refusal::{self, ExecutionStatus, Refusal};
use crate::upstream_client::{Error, UpstreamRequest, UpstreamResponse};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;

/// Interval at which a crash suspect polls for an upstream that runs no other crash suspect.
const ISOLATION_POLL: Duration = Duration::from_millis(5);

/// Maximum size of the body of a buffered response.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 16 << 20;

/// A response whose whole body is buffered and sent with its length.
pub(super) struct BufferedResponse {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Bytes,
}

/// The attempts of one request so far.
pub(super) struct Attempts<'a> {
    shared: &'a Rc<Shared>,
    call: &'a Call,
    version: ChosenVersion,
    excluded: Vec<UpstreamKey>,
    count: u32,
    /// Whether an upstream crashed while it ran the request, so that the request may be the cause.
    is_crash_suspect: bool,
    /// Whether the upstream of the last attempt crashed.
    last_attempt_crashed: bool,
    /// Time at which the last attempt was dispatched.
    sent_ms: u64,
    /// Keeps other crash suspects away from the upstream of the current attempt.
    isolation: Option<Isolation>,
    /// Whether an upstream may have run the request in any attempt.
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
            is_crash_suspect: shared.has_crashed(call.fingerprint),
            last_attempt_crashed: false,
            sent_ms: 0,
            isolation: None,
            may_have_run: false,
        })
    }

    /// Waits for a slot at an upstream, preferably one at which no earlier attempt failed.
    pub(super) async fn next_slot(&mut self) -> Result<Slot, Refused> {
        if self.count > 0 {
            // A crash ends all requests of an upstream, which are more than the retry budget allows to retry. Retrying
            // them adds no load, because the crashed upstream no longer runs them, and a second crash ends the request.
            let is_exempt = std::mem::take(&mut self.last_attempt_crashed);
            let has_budget = || self.shared.pools.borrow_mut().try_retry();
            if self.count >= MAX_ATTEMPTS || !(is_exempt || has_budget()) {
                return Err(self.failure_refusal("all attempts at upstreams failed"));
            }
            // The version is chosen again, because evidence against it may have arrived since.
            let version = pools::choose_version(self.shared, self.call)
                .map_err(|refused| self.with_execution_status(refused))?;
            self.version = ChosenVersion {
                arm: None,
                ..version
            };
        }
        self.count += 1;
        let (shared, call) = (self.shared, self.call);
        let queued_ms = shared.now_ms();
        let excluded = self.isolate().await?;
        let admitted = pools::admit(shared, call, &self.version, &excluded).await;
        let mut slot = admitted.map_err(|refused| self.with_execution_status(refused))?;
        if let Err(refused) = self.check_quarantine() {
            self.release(&mut slot);
            return Err(refused);
        }
        self.sent_ms = shared.now_ms();
        let wait_ms = self.sent_ms - queued_ms;
        shared
            .metrics
            .record_queue_wait(call.priority, &call.customer_name, wait_ms);
        shared.record_decision(
            call.key,
            format_compact!(
                "attempt {} dispatched to {} with version {} after {wait_ms} ms in the queue",
                self.count,
                slot.name,
                slot.version
            ),
        );
        Ok(slot)
    }

    /// Checks that the request was not quarantined while it waited.
    fn check_quarantine(&self) -> Result<(), Refused> {
        let is_refused = self.shared.is_quarantined(self.call.fingerprint)
            || crash_counts::is_refused(self.shared, self.call);
        if is_refused {
            return Err(quarantined());
        }
        Ok(())
    }

    /// Returns the upstreams to exclude; for a crash suspect, all except one that is reserved for it.
    async fn isolate(&mut self) -> Result<Vec<UpstreamKey>, Refused> {
        if !self.is_crash_suspect {
            return Ok(self.excluded.clone());
        }
        let (shared, call, pool) = (self.shared, self.call, self.version.pool);
        let route = shared
            .pools
            .borrow_mut()
            .route_key(&call.route, &call.target_name);
        self.isolation = None;
        loop {
            self.check_quarantine()?;
            if let Some(isolation) = Isolation::acquire(shared, pool, route, &self.excluded) {
                let others = shared.pools.borrow().all_except(pool, isolation.upstream());
                self.isolation = Some(isolation);
                return Ok(others);
            }
            let now_ms = shared.now_ms();
            let has_candidates = {
                let pools = shared.pools.borrow();
                let candidates = pools.isolation_candidates(pool, route, &self.excluded, now_ms);
                !candidates.is_empty()
            };
            if !has_candidates || now_ms >= call.deadline_ms {
                return Err(self.failure_refusal(
                    "no upstream became free for a request that may have crashed another one",
                ));
            }
            monoio::time::sleep(ISOLATION_POLL).await;
        }
    }

    /// Records a response, with the time from dispatch to the first byte if that byte arrived in this slot.
    pub(super) fn record_success(&mut self, slot: &mut Slot, first_latency_ms: Option<u64>) {
        if !slot.is_held {
            // The result was recorded when the slot was released.
            return;
        }
        let Some(latency_ms) = first_latency_ms else {
            self.finish_slot(slot, SlotOutcome::Neutral);
            return;
        };
        self.record_evidence(evidence::Outcome::Success {
            latency_ms: latency_ms as f64,
        });
        self.finish_slot(slot, SlotOutcome::Success { latency_ms });
    }

    /// Records a transport error; if the request may have run, it first checks whether the upstream crashed. Further
    /// attempts avoid the upstream.
    pub(super) async fn record_send_error(
        &mut self,
        slot: &mut Slot,
        error: &Error,
    ) -> Result<(), Refused> {
        log::info!(
            step = "dispatch", peer = slot.name.as_str(), request_key:% = self.call.key; "{error}"
        );
        self.excluded.push(slot.upstream);
        if !error.may_have_run() {
            self.record_evidence(evidence::Outcome::Failure);
            self.finish_slot(slot, SlotOutcome::ConnectionRefused);
            return Ok(());
        }
        self.may_have_run = true;
        let is_down = !self.shared.client.is_listening(&slot.address).await;
        if !is_down {
            self.record_evidence(evidence::Outcome::Failure);
            self.finish_slot(slot, SlotOutcome::Failure);
            return Ok(());
        }
        self.record_crash(slot)
    }

    /// Returns whether the request can move from its upstream to another one at once.
    pub(super) fn can_move(&self, slot: &Slot) -> bool {
        let mut tried = self.excluded.clone();
        tried.push(slot.upstream);
        let pools = self.shared.pools.borrow();
        self.count < MAX_ATTEMPTS && pools.can_retry_elsewhere(self.version.pool, &tried)
    }

    /// Records a failed attempt whose connection did not break, such as a server error or a timeout.
    pub(super) fn record_failure(&mut self, slot: &mut Slot, reason: &str) {
        log::info!(
            step = "dispatch", peer = slot.name.as_str(), request_key:% = self.call.key; "{reason}"
        );
        self.excluded.push(slot.upstream);
        self.may_have_run = true;
        self.record_evidence(evidence::Outcome::Failure);
        self.finish_slot(slot, SlotOutcome::Failure);
    }

    /// Releases a slot without recording a result for the upstream.
    pub(super) fn release(&mut self, slot: &mut Slot) {
        self.finish_slot(slot, SlotOutcome::Neutral);
    }

    /// Creates the refusal after the last attempt, which states whether the request may have run.
    pub(super) fn failure_refusal(&self, message: &str) -> Refused {
        let refusal = if self.may_have_run {
            Refusal::UpstreamFailed
        } else {
            Refusal::NoUpstream
        };
        Refused::new(refusal, message).retry_after(500)
    }

    /// Marks a refusal as "may have run" if an earlier attempt may have run the request; it then has no status that states
    /// the opposite.
    pub(super) fn with_execution_status(&self, mut refused: Refused) -> Refused {
        if self.may_have_run {
            refused.execution_status = ExecutionStatus::MayHaveRun;
            if refusal::states_not_run(refused.refusal.status()) {
                refused.refusal = Refusal::UpstreamFailed;
            }
        }
        refused
    }

    fn record_crash(&mut self, slot: &mut Slot) -> Result<(), Refused> {
        self.is_crash_suspect = true;
        self.last_attempt_crashed = true;
        let fingerprint = self.call.fingerprint;
        let crash = Crash {
            fingerprint: fingerprint.0,
            upstream: slot.name.to_string(),
            version: slot.version.to_string(),
        };
        let fleet = &self.shared.fleet;
        self.shared
            .reported_crashes
            .borrow_mut()
            .add_crash(fingerprint);
        for peer in fleet.peers() {
            fleet.send(peer.incarnation, PeerMessage::CrashNotice(crash.clone()));
        }
        if let Err(error) = fleet.write(Entry::Crash(crash)) {
            log::warn!(step = "crash", peer = slot.name.as_str(); "{error}");
        }
        crash_counts::record_crash(self.shared, self.call, &slot.name, self.sent_ms);
        if let Err(refused) = self.check_quarantine() {
            self.finish_slot(slot, SlotOutcome::Neutral);
            return Err(refused);
        }
        self.record_evidence(evidence::Outcome::Failure);
        self.finish_slot(slot, SlotOutcome::ConnectionRefused);
        Ok(())
    }

    /// Adds the result of the first attempt to the evidence on its version.
    fn record_evidence(&mut self, outcome: evidence::Outcome) {
        if let Some(arm) = self.version.arm.take() {
            self.shared.evidence.borrow_mut().count(&arm, outcome);
        }
    }

    fn finish_slot(&self, slot: &mut Slot, outcome: SlotOutcome) {
        pools::finish_slot(&self.shared.pools, slot, outcome, self.shared.now_ms());
    }
}

/// Creates the refusal of a quarantined request.
pub(super) fn quarantined() -> Refused {
    Refused::new(
        Refusal::Quarantined,
        "the request crashed upstreams and is not run again",
    )
}

/// Runs a call whose response is buffered, and settles its charge.
pub(super) async fn run(shared: &Rc<Shared>, call: &Call) -> Result<BufferedResponse, Refused> {
    if let Some(status) = recorded_status(shared, call) {
        return Ok(repeated_response(status));
    }
    let reservation = shared.budget.reserve(call, shared.now_ms()).await?;
    match dispatch(shared, call).await {
        Ok((response, charge_tokens)) => {
            let charged_tokens = shared.budget.settle(call, reservation, charge_tokens).await;
            record_completion(shared, call, charged_tokens);
            Ok(response)
        }
        Err(refused) => {
            shared.budget.release(reservation);
            Err(refused)
        }
    }
}

/// Returns the recorded status of a non-repeatable call that has run.
///
/// The response to its repetition needs neither budget nor an upstream.
fn recorded_status(shared: &Shared, call: &Call) -> Option<u16> {
    match shared.fleet.state().intents.get(call.key) {
        Some(Claim::Ran { status, .. }) if !call.is_repeatable() => Some(status),
        _ => None,
    }
}

/// Records the metrics and the decision for a completed response.
pub(super) fn record_completion(shared: &Shared, call: &Call, charged_tokens: u64) {
    crash_counts::record_completion(shared, call);
    let elapsed_ms = shared.now_ms() - call.accepted_ms;
    shared
        .metrics
        .record_whole_response(call.priority, &call.customer_name, elapsed_ms);
    if charged_tokens > 0 {
        shared.metrics.count_bill(charged_tokens);
    }
    shared.record_decision(
        call.key,
        format_compact!("complete after {elapsed_ms} ms; {charged_tokens} tokens charged"),
    );
}

async fn dispatch(shared: &Rc<Shared>, call: &Call) -> Result<(BufferedResponse, u64), Refused> {
    let mut attempts = Attempts::new(shared, call)?;
    let mut slot = attempts.next_slot().await?;
    if !call.is_repeatable() {
        match shared.claims.claim(call).await {
            Ok(ClaimOutcome::Won) => {}
            Ok(ClaimOutcome::Ran(status)) => {
                attempts.release(&mut slot);
                return Ok((repeated_response(status), 0));
            }
            Err(refused) => {
                attempts.release(&mut slot);
                return Err(refused);
            }
        }
    }
    let result = send_with_retries(&mut attempts, &mut slot).await;
    if !call.is_repeatable() {
        match &result {
            Ok((response, _)) => shared.claims.record_outcome(call.key, response.status),
            Err(_) if attempts.may_have_run => shared.claims.record_unknown_result(call.key),
            Err(_) => shared.claims.abandon(call.key),
        }
    }
    result
}

async fn send_with_retries(
    attempts: &mut Attempts<'_>,
    slot: &mut Slot,
) -> Result<(BufferedResponse, u64), Refused> {
    let (shared, call) = (attempts.shared, attempts.call);
    loop {
        let limit = time_limit(call, shared.now_ms());
        let Ok(result) = monoio::time::timeout(
            limit,
            with_overdue_report(shared, slot, send_once(shared, call, slot)),
        )
        .await
        else {
            return Err(on_timeout(attempts, slot).await);
        };
        match result {
            Ok(response) if refusal::states_not_run(response.status) => {
                // Upstreams have no way to prove that a call did not run.
                let reason = format_compact!("refused with status {}", response.status);
                attempts.record_failure(slot, &reason);
                if !call.is_repeatable() {
                    return Err(attempts.failure_refusal(
                        "the upstream refused the call after it was sent, so it may have run",
                    ));
                }
            }
            Ok(response) if response.status < 500 || !call.is_repeatable() => {
                let latency_ms = shared.now_ms() - slot.dispatched_ms;
                attempts.record_success(slot, Some(latency_ms));
                let charge_tokens = charge(call, &response);
                return Ok((response, charge_tokens));
            }
            Ok(_) => attempts.record_failure(slot, "server error"),
            Err(error) => {
                attempts.record_send_error(slot, &error).await?;
                if attempts.may_have_run && !call.is_repeatable() {
                    return Err(attempts.failure_refusal(
                        "the upstream broke the connection after the call was sent",
                    ));
                }
            }
        }
        *slot = attempts.next_slot().await?;
    }
}

async fn on_timeout(attempts: &mut Attempts<'_>, slot: &mut Slot) -> Refused {
    attempts.record_failure(slot, "no response within the time limit");
    if matches!(attempts.call.kind, CallKind::Chat { .. }) {
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
        CallKind::Service { timeout_ms, .. } => timeout_ms.min(left_ms),
        CallKind::Chat { .. } => left_ms,
    })
}

/// Waits for an answer, and reports the request as overdue once the time without one is unusually long for its route.
///
/// The report counts against the upstream, so that later requests avoid it; this request keeps waiting.
pub(super) async fn with_overdue_report<T>(
    shared: &Shared,
    slot: &Slot,
    answer: impl Future<Output = T>,
) -> T {
    let mut answer = pin!(answer);
    let limit = shared.pools.borrow().overdue_limit(slot);
    if let Ok(answer) = monoio::time::timeout(limit, answer.as_mut()).await {
        return answer;
    }
    let now_ms = shared.now_ms();
    shared.pools.borrow_mut().record_overdue(slot, now_ms);
    answer.await
}

async fn send_once(shared: &Shared, call: &Call, slot: &Slot) -> Result<BufferedResponse, Error> {
    let mut upstream_response = send(shared, call, slot).await?;
    let body = upstream_response
        .read_all(MAX_BUFFERED_RESPONSE_BYTES)
        .await?;
    let response = BufferedResponse {
        status: upstream_response.status(),
        content_type: upstream_response.content_type().to_owned(),
        body,
    };
    shared
        .client
        .keep_connection(&slot.address, upstream_response);
    Ok(response)
}

/// Sends a call to the upstream of a slot and reads the head of the response.
pub(super) async fn send(
    shared: &Shared,
    call: &Call,
    slot: &Slot,
) -> Result<UpstreamResponse, Error> {
    let path = match call.kind {
        CallKind::Chat { .. } => "/v1/chat/completions",
        CallKind::Service { .. } => call.request.uri.path_and_query().map_or("/", |path| {
            let rest = path.as_str().strip_prefix("/services/").unwrap_or_default();
            rest.find('/').map_or("/", |position| &rest[position..])
        }),
    };
    let upstream_request = UpstreamRequest {
        method: call.request.method.as_str(),
        path,
        key: Some(call.key),
        priority: Some(call.priority.name()),
        content_type: call
            .request
            .header("content-type")
            .unwrap_or("application/json"),
        body: call.request.body.clone(),
        repeatable: call.is_repeatable(),
    };
    shared.client.send(&slot.address, &upstream_request).await
}

/// Token counts that an engine reports for a response.
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

/// The part of a response body or event that contains the usage.
#[derive(Debug, Deserialize)]
pub(super) struct WithUsage {
    pub(super) usage: Option<Usage>,
}

fn charge(call: &Call, response: &BufferedResponse) -> u64 {
    if response.status >= 400 {
        return 0;
    }
    match call.kind {
        CallKind::Service { charge_tokens, .. } => charge_tokens,
        CallKind::Chat { .. } => serde_json::from_slice::<WithUsage>(&response.body)
            .ok()
            .and_then(|body| body.usage)
            // Without a reported usage, the charge is that of the largest possible response.
            .map_or(call.max_charge_tokens, Usage::total_tokens),
    }
}

/// Creates the response to a repetition of a call that has run; the original response body is not stored.
fn repeated_response(status: u16) -> BufferedResponse {
    let states_not_run = refusal::states_not_run(status);
    BufferedResponse {
        status: if states_not_run {
            Refusal::UpstreamFailed.status()
        } else {
            status
        },
        content_type: "application/json".into(),
        body: Bytes::from(format!(
            "{{\"outcome\":{{\"status\":{status},\"repeated\":true}}}}"
        )),
    }
}
