//! Which upstreams are proved to be warm.
//!
//! An upstream that has just started is cold and fails if it gets many requests at once. It may lose power and return
//! cold under its id at any moment, before its entry in the store shows that. So a router sends to an upstream of such a
//! service without permission only while it has proof that the upstream cannot be cold: a recent sign of life of a
//! process that is warm. An upstream takes [`MIN_RETURN_MS`] to return, so signs of life with smaller gaps come from one
//! process. Without proof the coordinator of the upstream grants each request, see [`crate::upstream_limits`] and
//! `docs/design/cold-upstreams.md`.

use compact_str::CompactString;

use crate::collections::FastMap;

/// Shortest time in which an upstream that has lost power accepts connections again; stated by the platform.
pub const MIN_RETURN_MS: u64 = 2_000;

/// Time for which a sign of life proves that no other process has taken its place. The rest of [`MIN_RETURN_MS`] covers
/// the way of a request to the upstream, and the time from a grant to the connection, within which the process may start.
pub const PROOF_MS: u64 = MIN_RETURN_MS - 200;

/// Age of a sign of life from which on a coordinator grants requests although the upstream is proved to be warm. Only the
/// responses to granted requests are reported to it, and a first byte may take a second.
const REFRESH_AGE_MS: u64 = 600;

/// Time without any record about an upstream after which it is forgotten.
const RETENTION_MS: u64 = 60_000;

/// Difference in expected delay up to which a warm upstream is preferred to one without proof; a request for permission
/// takes some milliseconds. A larger preference makes sessions leave the engines that have cached their prompts.
const WARM_PREFERENCE_MS: f64 = 10.0;

/// One of this many requests ignores the preference, so that an upstream without proof gets requests, and with their
/// responses proof, while no entries can be read.
const PREFERENCE_EXCEPTION: u32 = 8;

/// What upstreams of a service tolerate while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRule {
    /// Time for which an upstream is cold after its start.
    pub start_ms: u64,
    /// Requests that it tolerates in any one second, from all routers together.
    pub tolerated_requests: u64,
}

/// What is known of one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Warmth {
    /// Time of the last sign of life of the process.
    seen_ms: Option<u64>,
    /// Time from which the process is warm, if it lives.
    warm_from_ms: u64,
    /// Whether the process itself has stated that it is cold.
    is_stated_cold: bool,
    /// Time up to which signs of life prove nothing, because contact was lost then.
    lost_ms: Option<u64>,
    updated_ms: u64,
}

impl Warmth {
    /// Returns whether a sign of life at this time is from the process that gave the last one.
    fn is_same_process(&self, at_ms: u64) -> bool {
        self.seen_ms
            .is_some_and(|seen_ms| at_ms < seen_ms + PROOF_MS)
    }

    fn is_before_loss(&self, at_ms: u64) -> bool {
        self.lost_ms.is_some_and(|lost_ms| at_ms <= lost_ms)
    }

    fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.warm_from_ms && self.is_same_process(now_ms)
    }

    fn is_warm(&self, now_ms: u64) -> bool {
        now_ms >= self.warm_from_ms && self.is_same_process(now_ms)
    }
}

/// Signs of life of upstreams whose services have a [`ColdRule`].
#[derive(Clone, Debug, Default)]
pub struct UpstreamWarmth {
    states: FastMap<CompactString, Warmth>,
}

impl UpstreamWarmth {
    /// Records that a process of the upstream lived at a time, for example because it has answered a request that was
    /// sent then. A process that no earlier sign shows counts as started then.
    pub fn record_alive(&mut self, upstream: &str, at_ms: u64, rule: ColdRule, now_ms: u64) {
        let state = self.state(upstream, now_ms);
        if state.is_before_loss(at_ms) {
            return;
        }
        if !state.is_same_process(at_ms) {
            state.warm_from_ms = at_ms.saturating_add(rule.start_ms);
            state.is_stated_cold = false;
        }
        state.seen_ms = state.seen_ms.max(Some(at_ms));
    }

    /// Records that a process of the upstream lived at a time and was or will be warm at another one, as it has stated
    /// itself. An earlier statement that it was warm counts if it comes from the process that gave the last sign of life
    /// and that process has not stated that it is cold.
    pub fn record_stated(&mut self, upstream: &str, at_ms: u64, warm_from_ms: u64, now_ms: u64) {
        let state = self.state(upstream, now_ms);
        if state.is_before_loss(at_ms) {
            return;
        }
        let is_stated_cold = warm_from_ms > now_ms;
        if let Some(seen_ms) = state.seen_ms.filter(|seen_ms| at_ms < *seen_ms) {
            if !is_stated_cold {
                if seen_ms - at_ms < PROOF_MS && !state.is_stated_cold {
                    state.warm_from_ms = state.warm_from_ms.min(warm_from_ms);
                }
                return;
            }
        }
        state.warm_from_ms = warm_from_ms;
        state.is_stated_cold = is_stated_cold;
        state.seen_ms = state.seen_ms.max(Some(at_ms));
    }

    /// Records that contact with the upstream was lost; what it sent before proves nothing any more.
    pub fn record_lost(&mut self, upstream: &str, now_ms: u64) {
        let state = self.state(upstream, now_ms);
        state.seen_ms = None;
        state.lost_ms = Some(now_ms);
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.states.remove(upstream);
    }

    /// Forgets upstreams of which nothing was recorded for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.states
            .retain(|_, state| now_ms.saturating_sub(state.updated_ms) < RETENTION_MS);
    }

    /// Returns whether it is proved that the upstream cannot be cold now.
    pub fn is_warm(&self, upstream: &str, now_ms: u64) -> bool {
        self.states
            .get(upstream)
            .is_some_and(|state| state.is_warm(now_ms))
    }

    /// Returns the age of the last sign of life of an upstream that is proved to be warm.
    pub fn proof_age_ms(&self, upstream: &str, now_ms: u64) -> Option<u64> {
        let state = self.states.get(upstream)?;
        let seen_ms = state.seen_ms.filter(|_| state.is_warm(now_ms))?;
        Some(now_ms.saturating_sub(seen_ms))
    }

    /// Returns the time since contact with the upstream was lost last.
    pub fn lost_age_ms(&self, upstream: &str, now_ms: u64) -> Option<u64> {
        let lost_ms = self.states.get(upstream)?.lost_ms?;
        Some(now_ms.saturating_sub(lost_ms))
    }

    /// Returns whether the upstream lives and is not known to be warm yet.
    pub fn is_cold(&self, upstream: &str, now_ms: u64) -> bool {
        let state = self.states.get(upstream);
        state.is_some_and(|state| state.is_cold(now_ms))
    }

    /// Returns the number of upstreams that live and are not known to be warm yet.
    pub fn cold_count(&self, now_ms: u64) -> usize {
        let states = self.states.values();
        states.filter(|state| state.is_cold(now_ms)).count()
    }

    fn state(&mut self, upstream: &str, now_ms: u64) -> &mut Warmth {
        let state = self.states.entry(upstream.into()).or_default();
        state.updated_ms = now_ms;
        state
    }
}

/// Returns whether a coordinator should try to replace its proof that an upstream is warm by a newer one.
pub fn needs_refresh(proof_age_ms: u64) -> bool {
    proof_age_ms >= REFRESH_AGE_MS
}

/// Returns whether a request goes to the best warm upstream instead of a better one without proof, given the expected
/// delays at both and a random number.
pub fn prefers_warm(unproved_delay_ms: f64, warm_delay_ms: f64, draw: u32) -> bool {
    warm_delay_ms <= unproved_delay_ms + WARM_PREFERENCE_MS
        && !draw.is_multiple_of(PREFERENCE_EXCEPTION)
}
