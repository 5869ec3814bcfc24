//! Slots at upstreams, each of which runs one request.

use std::time::Duration;

use compact_str::CompactString;

use super::{PoolKey, Pools};
use crate::health::Outcome;
use crate::ids::{RouteKey, UpstreamKey};

/// Weight of the newest response in the moving average of response times.
const RESPONSE_TIME_WEIGHT: f64 = 0.1;

/// A slot at an upstream, held by one request.
#[derive(Debug)]
pub(in crate::router) struct Slot {
    pub(in crate::router) upstream: UpstreamKey,
    pub(in crate::router) name: CompactString,
    pub(super) pool: PoolKey,
    pub(in crate::router) address: CompactString,
    pub(in crate::router) version: CompactString,
    pub(in crate::router) route: RouteKey,
    pub(in crate::router) tokens: u64,
    pub(in crate::router) dispatched_ms: u64,
    /// Whether the slot still counts against the capacity of the upstream.
    pub(in crate::router) is_held: bool,
}

/// Result of a request in a slot.
#[derive(Clone, Copy, Debug)]
pub(in crate::router) enum SlotOutcome {
    /// The upstream sent a response.
    Success {
        /// Time from dispatch to the first byte.
        latency_ms: u64,
    },
    /// The upstream failed or did not respond in time.
    Failure,
    /// No connection to the upstream could be opened, or the upstream crashed.
    ConnectionRefused,
    /// The request ended for a reason that says nothing about the upstream.
    Neutral,
}

impl Pools {
    /// Records the outcome of a slot, releases it and dispatches the next queued request.
    pub(super) fn finish_slot(&mut self, slot: &mut Slot, slot_outcome: SlotOutcome, now_ms: u64) {
        let outcome = match slot_outcome {
            SlotOutcome::Success { latency_ms } => Some(Outcome::Success { latency_ms }),
            SlotOutcome::Failure => Some(Outcome::Failure),
            SlotOutcome::ConnectionRefused => Some(Outcome::ConnectionRefused),
            SlotOutcome::Neutral => None,
        };
        if let Some(outcome) = outcome {
            self.health
                .record_result(slot.upstream, slot.route, outcome, now_ms);
        }
        if !slot.is_held {
            return;
        }
        slot.is_held = false;
        self.release_slot(slot, now_ms);
        if let (SlotOutcome::Success { .. }, Some(pool)) =
            (slot_outcome, self.pools.get_mut(&slot.pool))
        {
            let elapsed_ms = now_ms.saturating_sub(slot.dispatched_ms) as f64;
            let average_ms = pool.service_ms.unwrap_or(elapsed_ms);
            pool.service_ms = Some(average_ms + (elapsed_ms - average_ms) * RESPONSE_TIME_WEIGHT);
        }
        self.dispatch_queued(slot.pool, now_ms);
    }

    /// Returns the time without an answer after which a request of the slot's route is overdue.
    pub(in crate::router) fn overdue_limit(&self, slot: &Slot) -> Duration {
        Duration::from_millis(self.health.overdue_ms(slot.route))
    }

    /// Records that the request in a slot is overdue.
    pub(in crate::router) fn record_overdue(&mut self, slot: &Slot, now_ms: u64) {
        self.health
            .record_overdue(slot.upstream, slot.route, now_ms);
    }

    /// Releases a slot without recording an outcome for the upstream.
    pub(super) fn release_slot(&mut self, slot: &Slot, now_ms: u64) {
        self.record_completion(slot.pool, slot.dispatched_ms, now_ms);
        self.selector.record_completion(slot.upstream, slot.tokens);
        if let Some(known) = self.upstreams.get_mut(&slot.upstream) {
            known.own_requests = known.own_requests.saturating_sub(1);
            known.own_tokens = known.own_tokens.saturating_sub(slot.tokens);
        }
    }
}
