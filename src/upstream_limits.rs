//! Limits on the rate of requests that upstreams state in their responses, shared by all routers.
//!
//! An upstream in need states how many requests a second it takes from all routers together. A few routers may send to
//! it then, chosen by rendezvous hashing of the upstream over the active routers, and each gets a part of the limit.
//! With one part for each router of a large fleet, every part would be too small to be used, and a request that each of
//! them may send at once would already exceed the limit.
//!
//! A router that may not send learns the end of the limit from the notices of the others. If these stop, it may send at
//! an even part of the limit, so that it finds out by itself, and all routers together stay within twice the limit. The
//! design is in `docs/design.md`, section 10.

use compact_str::CompactString;

use crate::collections::FastMap;

/// Number of millionths in one request, the unit of credit.
const REQUEST_MICRO: u64 = 1_000_000;

/// Time over which unused credit accumulates. Upstreams allow bursts of two seconds above the steady rate.
const BURST_S: u64 = 2;

/// Rate that is assumed for a lower limit, in thousandths of a request a second; without any request nobody would learn
/// that the limit has ended.
const MIN_LIMIT_MILLI_PER_S: u64 = 100;

/// Time after a response with a limit during which responses without one are ignored, because they may be older:
/// responses on different connections overtake each other.
const REORDER_MS: u64 = 500;

/// Time after which a limit that nobody has confirmed is no longer trusted by a router that may not send.
const CONFIRMATION_TIMEOUT_MS: u64 = 5_000;

/// Interval at which a router tells the others that a limit is still stated.
const NOTICE_INTERVAL_MS: u64 = 1_000;

/// Change of a limit that the others are told at once, in percent.
const NOTICED_CHANGE_PERCENT: u64 = 5;

/// Age at which the parts of a limit are computed again, because the request counts of the routers change.
const PART_REFRESH_MS: u64 = 1_000;

/// A router that may get a part of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Participant<'a> {
    /// Name of its VM.
    pub vm: &'a str,
    /// Requests that it served lately.
    pub requests: u64,
}

/// What a router tells the others about a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// The limit, in thousandths of a request a second; `None` if the upstream states none any more.
    pub limit_milli_per_s: Option<u64>,
}

#[derive(Clone, Debug)]
struct LimitState {
    limit_milli_per_s: u64,
    /// Time of the newest response or notice that stated the limit.
    confirmed_ms: u64,
    /// Time at which the others were last told, by this router or another one.
    noticed_ms: u64,
    noticed_milli_per_s: u64,
    /// Rate at which this router may send, if it was chosen.
    part_milli_per_s: Option<u64>,
    /// Rate at which it may send if the limit is no longer confirmed.
    even_part_milli_per_s: u64,
    part_computed_ms: Option<u64>,
    credit_micro: u64,
    credited_ms: u64,
}

impl LimitState {
    fn rate_milli_per_s(&self, now_ms: u64) -> u64 {
        match self.part_milli_per_s {
            Some(part) => part,
            None if now_ms.saturating_sub(self.confirmed_ms) > CONFIRMATION_TIMEOUT_MS => {
                self.even_part_milli_per_s
            }
            None => 0,
        }
    }

    fn credit_micro(&self, now_ms: u64) -> u64 {
        let rate = self.rate_milli_per_s(now_ms);
        let elapsed_ms = now_ms.saturating_sub(self.credited_ms);
        // A thousandth of a request a second is a millionth in a millisecond.
        let most = REQUEST_MICRO.max(rate * 1_000 * BURST_S);
        (self.credit_micro + elapsed_ms.saturating_mul(rate)).min(most)
    }

    fn settle_credit(&mut self, now_ms: u64) {
        self.credit_micro = self.credit_micro(now_ms);
        self.credited_ms = now_ms;
    }
}

/// Limits of upstreams, as this router knows them.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    limits: FastMap<CompactString, LimitState>,
}

impl UpstreamLimits {
    /// Returns whether no upstream states a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the number of upstreams that state a limit.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns the limit of an upstream, in thousandths of a request a second.
    pub fn limit_milli_per_s(&self, upstream: &str) -> Option<u64> {
        self.limits
            .get(upstream)
            .map(|state| state.limit_milli_per_s)
    }

    /// Records the limit that a response states, if any; returns what the other routers are to be told.
    pub fn record_response(
        &mut self,
        upstream: &str,
        limit_milli_per_s: Option<u64>,
        now_ms: u64,
    ) -> Option<LimitNotice> {
        let Some(limit) = limit_milli_per_s else {
            let confirmed_ms = self.limits.get(upstream)?.confirmed_ms;
            if now_ms.saturating_sub(confirmed_ms) < REORDER_MS {
                return None;
            }
            self.limits.remove(upstream);
            return Some(LimitNotice {
                limit_milli_per_s: None,
            });
        };
        let state = self.confirm(upstream, limit, now_ms);
        let change = limit.abs_diff(state.noticed_milli_per_s);
        let is_changed = change * 100 > state.noticed_milli_per_s * NOTICED_CHANGE_PERCENT;
        let is_due = now_ms.saturating_sub(state.noticed_ms) >= NOTICE_INTERVAL_MS;
        if !is_changed && !is_due {
            return None;
        }
        state.noticed_ms = now_ms;
        state.noticed_milli_per_s = limit;
        Some(LimitNotice { limit_milli_per_s })
    }

    /// Records the notice of another router.
    pub fn record_notice(&mut self, upstream: &str, notice: LimitNotice, now_ms: u64) {
        match notice.limit_milli_per_s {
            Some(limit) => {
                let state = self.confirm(upstream, limit, now_ms);
                state.noticed_ms = now_ms;
                state.noticed_milli_per_s = limit;
            }
            None => self.forget(upstream),
        }
    }

    /// Forgets the limit of an upstream that is gone or was restarted.
    pub fn forget(&mut self, upstream: &str) {
        self.limits.remove(upstream);
    }

    /// Returns whether the part of this router is to be computed, before [`UpstreamLimits::allows`] is asked.
    pub fn needs_part(&self, upstream: &str, now_ms: u64) -> bool {
        self.limits.get(upstream).is_some_and(|state| {
            let computed = state.part_computed_ms;
            computed.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= PART_REFRESH_MS)
        })
    }

    /// Computes the part of the router on `vm` in the limit of an upstream.
    pub fn compute_part<'a>(
        &mut self,
        upstream: &str,
        vm: &str,
        participants: impl IntoIterator<Item = Participant<'a>>,
        now_ms: u64,
    ) {
        if let Some(state) = self.limits.get_mut(upstream) {
            state.settle_credit(now_ms);
            let limit = state.limit_milli_per_s;
            let participants: Vec<_> = participants.into_iter().collect();
            state.even_part_milli_per_s = limit / participants.len().max(1) as u64;
            state.part_milli_per_s = part_milli_per_s(upstream, limit, vm, participants);
            state.part_computed_ms = Some(now_ms);
        }
    }

    /// Returns whether this router may send a request to an upstream now.
    pub fn allows(&self, upstream: &str, now_ms: u64) -> bool {
        let state = self.limits.get(upstream);
        state.is_none_or(|state| state.credit_micro(now_ms) >= REQUEST_MICRO)
    }

    /// Returns the time until this router may send a request to an upstream; `None` if it is not one of those that may.
    pub fn wait_ms(&self, upstream: &str, now_ms: u64) -> Option<u64> {
        let Some(state) = self.limits.get(upstream) else {
            return Some(0);
        };
        let missing = REQUEST_MICRO.saturating_sub(state.credit_micro(now_ms));
        match state.rate_milli_per_s(now_ms) {
            0 => None,
            rate => Some(missing.div_ceil(rate)),
        }
    }

    /// Counts a request that is sent to an upstream.
    pub fn record_sent(&mut self, upstream: &str, now_ms: u64) {
        if let Some(state) = self.limits.get_mut(upstream) {
            state.settle_credit(now_ms);
            state.credit_micro = state.credit_micro.saturating_sub(REQUEST_MICRO);
        }
    }

    fn confirm(&mut self, upstream: &str, limit_milli_per_s: u64, now_ms: u64) -> &mut LimitState {
        let limit = limit_milli_per_s.max(MIN_LIMIT_MILLI_PER_S);
        let state = self
            .limits
            .entry(upstream.into())
            .or_insert_with(|| LimitState {
                limit_milli_per_s: limit,
                confirmed_ms: now_ms,
                noticed_ms: 0,
                noticed_milli_per_s: 0,
                part_milli_per_s: None,
                even_part_milli_per_s: 0,
                part_computed_ms: None,
                credit_micro: 0,
                credited_ms: now_ms,
            });
        state.settle_credit(now_ms);
        if state.limit_milli_per_s != limit {
            state.limit_milli_per_s = limit;
            state.part_computed_ms = None;
        }
        state.confirmed_ms = now_ms;
        state
    }
}

/// Returns the part of the router on `vm` in a limit; `None` if it is not among the routers that may send.
///
/// As many routers may send as the limit has whole requests a second. Half of the limit is divided evenly among them and
/// half in proportion to their requests.
fn part_milli_per_s(
    upstream: &str,
    limit_milli_per_s: u64,
    vm: &str,
    participants: Vec<Participant<'_>>,
) -> Option<u64> {
    let seed = xxhash_rust::xxh3::xxh3_64(upstream.as_bytes());
    let mut ranked: Vec<(u64, Participant<'_>)> = participants
        .into_iter()
        .map(|participant| {
            let name = participant.vm.as_bytes();
            (
                xxhash_rust::xxh3::xxh3_64_with_seed(name, seed),
                participant,
            )
        })
        .collect();
    ranked.sort_unstable_by_key(|(score, participant)| (std::cmp::Reverse(*score), participant.vm));
    ranked.truncate((limit_milli_per_s / 1_000).max(1) as usize);
    let (_, own) = ranked
        .iter()
        .find(|(_, participant)| participant.vm == vm)?;
    let half = limit_milli_per_s / 2;
    let total: u64 = ranked
        .iter()
        .map(|(_, participant)| participant.requests)
        .sum();
    let even = half / ranked.len() as u64;
    let by_requests = (half * own.requests).checked_div(total).unwrap_or(even);
    Some(even + by_requests)
}
