//! Requests in flight at upstreams, and what their ends tell about the upstreams.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::cold_upstreams::ColdRule;
use crate::directory::UpstreamEntry;
use crate::gateway::crashes::{self, LostConnection, ResponseProgress};
use crate::gateway::limits::ColdPermit;
use crate::gateway::request::Call;
use crate::gateway::{cold_upstreams, rollouts, Shared};
use crate::placement::{ExpectedCost, LoadReport, Outcome, Prompt};
use crate::version_canary::Response;

/// A request in flight at an upstream. [`crate::placement::Placement`] counts it until this value is
/// dropped, so it is uncounted even if the future of the request is cancelled.
pub(in crate::gateway) struct InFlight<'a> {
    shared: &'a Shared,
    /// Id of the upstream.
    pub(super) id: CompactString,
    address: SocketAddr,
    /// Start of the upstream's process by its own clock.
    started_ms: Option<u64>,
    /// Version of the upstream's software.
    version: CompactString,
    sent_ms: u64,
    outcome: Outcome,
    /// Whether a failure is a response, which proves that the process lives.
    has_responded: bool,
    awaits_first_byte: bool,
    /// Prefill work of the request, if the engine was idle; see [`crate::placement::Placement::idle_prefill_work`].
    pub(super) idle_prefill_work: Option<f64>,
    /// What the upstream tolerates if it is cold; `None` if it never is.
    pub(super) cold_rule: Option<ColdRule>,
    /// Permit for the request, if the upstream may have been cold.
    pub(super) cold_permit: Option<ColdPermit>,
    /// Expected cost, if upstreams state their speed.
    pub(super) expected_cost: Option<ExpectedCost>,
}

impl<'a> InFlight<'a> {
    pub(super) fn new(
        shared: &'a Shared,
        id: &str,
        entry: &UpstreamEntry,
        prompt: Option<&Prompt>,
    ) -> Self {
        let now_ms = shared.now_ms();
        let idle_prefill_work = prompt.and_then(|prompt| {
            let placement = shared.placement.borrow();
            placement.idle_prefill_work(id, prompt, now_ms)
        });
        let (expected_cost, prefill_ms) = {
            let mut placement = shared.placement.borrow_mut();
            let expected_cost = placement.expected_cost(id, prompt, now_ms);
            (expected_cost, placement.record_sent(id, prompt, now_ms))
        };
        if let Some(prompt) = prompt {
            let work_ms = expected_cost.map(|cost| cost.work_ms);
            shared
                .peer_socket
                .send_notice(shared, id, prompt, prefill_ms, work_ms);
        }
        Self {
            shared,
            id: id.into(),
            address: entry.address,
            started_ms: entry.started_ms,
            version: entry.version.clone(),
            sent_ms: now_ms,
            outcome: Outcome::Neutral,
            has_responded: false,
            awaits_first_byte: true,
            idle_prefill_work,
            cold_rule: None,
            cold_permit: None,
            expected_cost,
        }
    }

    /// Records that the request no longer waits for its first byte.
    pub(super) fn end_first_byte_wait(&mut self) {
        if std::mem::take(&mut self.awaits_first_byte) {
            let mut placement = self.shared.placement.borrow_mut();
            placement.end_first_byte_wait(&self.id);
            if let Some(expected) = &self.expected_cost {
                placement.end_prefill_wait(&self.id, expected);
            }
        }
    }

    /// Compares the time to the first byte with the expected cost.
    pub(super) fn record_first_byte(&self, report: Option<LoadReport>, elapsed_ms: u64) {
        if let Some(expected) = &self.expected_cost {
            let now_ms = self.shared.now_ms();
            let mut placement = self.shared.placement.borrow_mut();
            placement.record_response_cost(&self.id, expected, report, elapsed_ms, now_ms);
        }
    }

    /// Records the time that some output tokens of the response took.
    pub(in crate::gateway) fn record_output_time(&self, tokens: u64, elapsed_ms: u64) {
        let now_ms = self.shared.now_ms();
        let mut placement = self.shared.placement.borrow_mut();
        placement.record_output_time(&self.id, tokens, elapsed_ms, now_ms);
    }

    /// Records that the connection was lost before the end of the response, of which `progress` had arrived.
    pub(in crate::gateway) async fn record_lost_connection(
        &self,
        call: &Call<'_>,
        progress: ResponseProgress,
    ) {
        let lost = LostConnection {
            upstream: &self.id,
            address: self.address,
            version: &self.version,
            started_ms: self.started_ms,
            sent_ms: self.sent_ms,
            progress,
        };
        crashes::record_lost_connection(self.shared, call, lost).await;
    }

    /// Counts the response for the comparison of versions.
    pub(in crate::gateway) fn record_response(&self, call: &Call<'_>, response: Response) {
        rollouts::record_response(self.shared, call, &self.version, response);
    }

    /// Returns whether the process that was sent the request is the one that an entry of its upstream describes.
    pub(in crate::gateway) fn is_at(&self, entry: &UpstreamEntry) -> bool {
        entry.is_process(self.address, self.started_ms)
    }

    /// Returns the time since the request was sent.
    pub(in crate::gateway) fn elapsed_ms(&self) -> u64 {
        self.shared.now_ms().saturating_sub(self.sent_ms)
    }

    /// Sets the outcome that is recorded for the upstream when this value is dropped.
    pub(in crate::gateway) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        self.has_responded = false;
    }

    /// Sets the outcome to a failure that the process has stated in a response.
    pub(in crate::gateway) fn set_failed_response(&mut self) {
        self.outcome = Outcome::Failed;
        self.has_responded = true;
    }

    /// Returns whether the outcome ends the proof that the upstream is warm. On a VM whose network may be congested,
    /// connects time out for reasons of its own.
    fn is_contact_lost(&self) -> bool {
        match self.outcome {
            Outcome::Failed => !self.has_responded,
            Outcome::Replaced | Outcome::Unreachable => true,
            Outcome::Unanswered => !self.shared.load.state().is_suspected,
            _ => false,
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.end_first_byte_wait();
        if self.cold_rule.is_some() && self.is_contact_lost() {
            cold_upstreams::record_lost(self.shared, &self.id);
        }
        let now_ms = self.shared.now_ms();
        let mut placement = self.shared.placement.borrow_mut();
        placement.record_finished(&self.id, self.outcome, now_ms);
    }
}
