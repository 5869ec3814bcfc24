//! Limits on the rate of requests to single upstreams, shared by all routers: those that upstreams state in their
//! responses, and those of upstreams that may be cold.
//!
//! An upstream in need states how many requests a second it takes from all routers together. One router, its
//! coordinator, grants the requests to that upstream, and all others ask it before they send one. A limit that is
//! divided among the routers instead cannot be used in a large fleet: the part of each is a request in many seconds,
//! and the sessions that an engine has cached arrive at routers without a part.
//!
//! The coordinator follows from the upstream's id and the active routers. Views of the fleet can differ for some
//! seconds, so a router that becomes the coordinator of a limit that was in force before grants nothing until the
//! grants of its predecessor no longer count. The design is in `docs/design.md`, section 10.
//!
//! Requests to an upstream without proof that it is warm ([`crate::cold_upstreams`]) are granted in the same way, within
//! another window, see `docs/design/cold-upstreams.md`.

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::cold_upstreams::ColdRule;
use crate::collections::FastMap;

/// Window in which requests are counted; stated by the platform.
pub const WINDOW_MS: u64 = 4_000;

/// Requests that an upstream tolerates in a window, in percent of its limit; stated by the platform.
const TOLERATED_PERCENT: u64 = 150;

/// Requests that an upstream tolerates in a window beyond that; stated by the platform.
const TOLERATED_REQUESTS: u64 = 5;

/// Time for which a permission for an upstream that may be cold is valid, from the request for it on; it covers the
/// reply and the connection that is opened afterwards.
pub const COLD_PERMIT_MS: u64 = 150;

/// Window in which the grants for an upstream that may be cold are counted. The platform counts arrivals in any one
/// second; a request arrives within [`COLD_PERMIT_MS`] of its grant and the time to the upstream, for which 100 ms are
/// allowed.
pub const COLD_WINDOW_MS: u64 = 1_000 + COLD_PERMIT_MS + 100;

/// Part of the tolerated requests that is granted, in percent; the rest covers requests that take longer on their way
/// than those before them.
const GRANTED_PERCENT: u64 = 90;

/// Highest limit that is obeyed, in thousandths of a request a second: above the rate of a whole fleet to one upstream, so
/// that a higher one limits nothing.
pub const MAX_LIMIT_MILLI_PER_S: u64 = 10_000_000;

/// Rate that is assumed for a lower limit, in thousandths of a request a second; without any request nobody would learn
/// that the limit has ended.
const MIN_LIMIT_MILLI_PER_S: u64 = 100;

/// Time after a response with a limit during which responses without one are ignored, because they may be older:
/// responses on different connections overtake each other.
const REORDER_MS: u64 = 500;

/// Interval at which a router tells the others that a limit is still stated.
const NOTICE_INTERVAL_MS: u64 = 1_000;

/// Time for which a limit that nobody has confirmed is kept. Without requests there are no responses that state it.
const RETENTION_MS: u64 = 30_000;

/// Change of a limit that the others are told at once, in percent.
const NOTICED_CHANGE_PERCENT: u64 = 5;

/// Time after a limit became known within which its coordinator has no predecessor.
const FIRST_COORDINATOR_MS: u64 = 1_000;

/// Time in which all routers learn that the coordinator has changed; until then some ask its predecessor.
pub const VIEW_CHANGE_MS: u64 = 2_000;

/// Longest time for which a limit is said to be known.
const MAX_KNOWN_MS: u64 = 3_600_000;

/// Longest time for which a refusal of the coordinator is remembered; the limit may end meanwhile.
const MAX_DENIAL_MS: u64 = 1_000;

/// Part of the granted requests that light ones may use, in percent.
const LIGHT_PERCENT: usize = 60;

/// How much work a request is for its upstream, compared with the others.
///
/// A limit counts requests whatever their size, so heavy ones go first: the other upstreams take many light requests in
/// place of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weight {
    /// As much as the mean or more.
    Heavy,
    /// Less than the mean.
    Light,
}

/// What a router tells the others about a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitNotice {
    /// The limit, in thousandths of a request a second; `None` if the upstream states none any more.
    pub limit_milli_per_s: Option<u64>,
    /// Time for which the sender or another router has known the limit.
    pub known_ms: u64,
}

/// Answer of the coordinator of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The request may be sent now.
    Granted,
    /// The upstream takes the next request after a time.
    Denied {
        /// That time.
        wait_ms: u64,
    },
}

/// Why the requests to an upstream are limited, with what decides how many are granted in which window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LimitKind {
    /// The upstream states a limit, in thousandths of a request a second.
    Stated { limit_milli_per_s: u64 },
    /// The upstream may be cold.
    Cold { tolerated_requests: u64 },
}

impl LimitKind {
    /// Returns the time in which grants are counted.
    fn window_ms(self) -> u64 {
        match self {
            Self::Stated { .. } => WINDOW_MS,
            Self::Cold { .. } => COLD_WINDOW_MS,
        }
    }

    /// Returns the requests that are granted in a window.
    fn granted_requests(self, weight: Weight) -> usize {
        match self {
            Self::Stated { limit_milli_per_s } => {
                let most = granted_requests(limit_milli_per_s);
                match weight {
                    Weight::Heavy => most,
                    Weight::Light => (most * LIGHT_PERCENT / 100).max(1),
                }
            }
            // A service whose upstreams tolerate less than one request would get none at all.
            Self::Cold { tolerated_requests } => {
                (tolerated_requests * GRANTED_PERCENT / 100).max(1) as usize
            }
        }
    }
}

/// Grants of a coordinator that count in the present window.
#[derive(Clone, Debug, Default)]
struct Grants {
    /// Number of grants that an earlier coordinator may have made, and the time of the last one. They are not kept one by
    /// one, because their number follows from what an upstream states.
    predecessor: Option<(usize, u64)>,
    /// Times of the own grants with the ids of the requests.
    own: VecDeque<(u64, u64)>,
}

impl Grants {
    fn len(&self) -> usize {
        self.predecessor_len() + self.own.len()
    }

    fn predecessor_len(&self) -> usize {
        self.predecessor.map_or(0, |(count, _)| count)
    }

    /// Forgets grants that no longer count.
    fn expire(&mut self, window_ms: u64, now_ms: u64) {
        let is_over = |at_ms: u64| now_ms.saturating_sub(at_ms) >= window_ms;
        self.predecessor = self.predecessor.filter(|(_, at_ms)| !is_over(*at_ms));
        while self.own.front().is_some_and(|(at_ms, _)| is_over(*at_ms)) {
            self.own.pop_front();
        }
    }

    fn contains(&self, id: u64) -> bool {
        self.own.iter().any(|(_, granted)| *granted == id)
    }

    /// Returns the time of a grant, by its position from the oldest one.
    fn at_ms(&self, position: usize) -> Option<u64> {
        match (self.predecessor, self.predecessor_len()) {
            (Some((_, at_ms)), count) if position < count => Some(at_ms),
            (_, count) => self.own.get(position - count).map(|(at_ms, _)| *at_ms),
        }
    }
}

/// Grants for the requests to one upstream, and what its coordinator has said.
#[derive(Clone, Debug, Default)]
struct Permissions {
    /// Grants, if this router is the coordinator.
    grants: Option<Grants>,
    /// Time until which the coordinator is not asked.
    denied_until_ms: u64,
    /// Time until which it is not asked for light requests.
    light_denied_until_ms: u64,
    /// Time at which the upstream takes the next request, as the coordinator has said.
    next_ms: u64,
}

impl Permissions {
    /// Grants or refuses a request; `predecessor_until_ms` is the time until which another coordinator may have granted
    /// requests, if there was one.
    fn grant(
        &mut self,
        kind: LimitKind,
        id: u64,
        weight: Weight,
        predecessor_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Grant {
        let window_ms = kind.window_ms();
        let grants = self.grants.get_or_insert_with(|| Grants {
            predecessor: predecessor_until_ms
                .map(|at_ms| (kind.granted_requests(Weight::Heavy), at_ms)),
            own: VecDeque::new(),
        });
        grants.expire(window_ms, now_ms);
        if grants.contains(id) {
            return Grant::Granted;
        }
        let most = kind.granted_requests(weight);
        if grants.len() < most {
            grants.own.push_back((now_ms, id));
            return Grant::Granted;
        }
        // Several grants must leave the window for a light request, or if the limit was higher before.
        let next_ms = grants.at_ms(grants.len() - most);
        let next_ms = next_ms.map_or(now_ms, |at_ms| at_ms + window_ms);
        Grant::Denied {
            wait_ms: next_ms.saturating_sub(now_ms),
        }
    }

    fn may_ask(&self, weight: Weight, now_ms: u64) -> bool {
        now_ms
            >= match weight {
                Weight::Heavy => self.denied_until_ms,
                Weight::Light => self.light_denied_until_ms,
            }
    }

    fn record_denial(&mut self, weight: Weight, wait_ms: u64, now_ms: u64) {
        let until_ms = now_ms + wait_ms.min(MAX_DENIAL_MS);
        self.light_denied_until_ms = until_ms;
        if weight == Weight::Heavy {
            self.denied_until_ms = until_ms;
            self.next_ms = now_ms + wait_ms;
        }
    }
}

/// Permissions for the requests to an upstream that may be cold.
#[derive(Clone, Debug, Default)]
struct ColdState {
    permissions: Permissions,
    /// Time of the last use.
    used_ms: u64,
}

#[derive(Clone, Debug)]
struct LimitState {
    limit_milli_per_s: u64,
    /// Time at which the limit became known to any router, which may be before the start of this process.
    known_since_ms: i64,
    /// Time of the newest response or notice that stated the limit.
    confirmed_ms: u64,
    /// Time at which the others were last told, by this router or another one, and what.
    noticed_ms: u64,
    noticed_milli_per_s: u64,
    permissions: Permissions,
}

impl LimitState {
    fn known_ms(&self, now_ms: u64) -> u64 {
        (now_ms as i64 - self.known_since_ms).max(0) as u64
    }
}

/// Limits of upstreams, as this router knows them.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    limits: FastMap<CompactString, LimitState>,
    cold: FastMap<CompactString, ColdState>,
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

    /// Returns the limit of an upstream, in thousandths of a request a second, and for how long it has been known.
    pub fn known(&self, upstream: &str, now_ms: u64) -> Option<(u64, u64)> {
        let state = self.limits.get(upstream)?;
        Some((state.limit_milli_per_s, state.known_ms(now_ms)))
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
                known_ms: 0,
            });
        };
        let state = self.confirm(upstream, limit, 0, now_ms);
        let change = limit.abs_diff(state.noticed_milli_per_s);
        let is_changed = change * 100 > state.noticed_milli_per_s * NOTICED_CHANGE_PERCENT;
        let is_due = now_ms.saturating_sub(state.noticed_ms) >= NOTICE_INTERVAL_MS;
        if !is_changed && !is_due {
            return None;
        }
        state.noticed_ms = now_ms;
        state.noticed_milli_per_s = limit;
        Some(LimitNotice {
            limit_milli_per_s,
            known_ms: state.known_ms(now_ms),
        })
    }

    /// Records the notice of another router.
    pub fn record_notice(&mut self, upstream: &str, notice: LimitNotice, now_ms: u64) {
        match notice.limit_milli_per_s {
            Some(limit) => {
                let state = self.confirm(upstream, limit, notice.known_ms, now_ms);
                state.noticed_ms = now_ms;
                state.noticed_milli_per_s = limit;
            }
            None => self.forget(upstream),
        }
    }

    /// Forgets the limit of an upstream that is gone or was restarted.
    ///
    /// What was granted for it while it may have been cold still counts, because the process may be the same.
    pub fn forget(&mut self, upstream: &str) {
        self.limits.remove(upstream);
    }

    /// Forgets limits that nobody has confirmed for long.
    pub fn expire(&mut self, now_ms: u64) {
        self.limits
            .retain(|_, state| now_ms.saturating_sub(state.confirmed_ms) < RETENTION_MS);
        self.cold
            .retain(|_, state| now_ms.saturating_sub(state.used_ms) < RETENTION_MS);
    }

    /// Returns whether the coordinator may be asked for a request to an upstream.
    pub fn may_ask(&self, upstream: &str, weight: Weight, now_ms: u64) -> bool {
        let state = self.limits.get(upstream);
        state.is_none_or(|state| state.permissions.may_ask(weight, now_ms))
    }

    /// Returns whether the coordinator may be asked for a request to an upstream that may be cold.
    pub fn may_ask_cold(&self, upstream: &str, now_ms: u64) -> bool {
        let state = self.cold.get(upstream);
        state.is_none_or(|state| state.permissions.may_ask(Weight::Heavy, now_ms))
    }

    /// Returns the time until an upstream takes the next request, as its coordinator has said.
    pub fn wait_ms(&self, upstream: &str, now_ms: u64) -> u64 {
        let state = self.limits.get(upstream);
        state.map_or(0, |state| state.permissions.next_ms.saturating_sub(now_ms))
    }

    /// Returns the time until an upstream that may be cold takes the next request, as its coordinator has said.
    pub fn cold_wait_ms(&self, upstream: &str, now_ms: u64) -> u64 {
        let state = self.cold.get(upstream);
        state.map_or(0, |state| state.permissions.next_ms.saturating_sub(now_ms))
    }

    /// Records that the coordinator has refused a request to an upstream, or does not respond.
    pub fn record_denial(&mut self, upstream: &str, weight: Weight, wait_ms: u64, now_ms: u64) {
        if let Some(state) = self.limits.get_mut(upstream) {
            state.permissions.record_denial(weight, wait_ms, now_ms);
        }
    }

    /// Records the same for an upstream that may be cold.
    pub fn record_cold_denial(&mut self, upstream: &str, wait_ms: u64, now_ms: u64) {
        let state = self.cold_state(upstream, now_ms);
        let permissions = &mut state.permissions;
        permissions.record_denial(Weight::Heavy, wait_ms, now_ms);
    }

    /// Grants or refuses a request to an upstream as the coordinator of its limit; a repeated request gets the same
    /// grant.
    pub fn grant(&mut self, upstream: &str, id: u64, weight: Weight, now_ms: u64) -> Grant {
        let Some(state) = self.limits.get_mut(upstream) else {
            return Grant::Granted;
        };
        let kind = LimitKind::Stated {
            limit_milli_per_s: state.limit_milli_per_s,
        };
        let is_first = state.known_ms(now_ms) < FIRST_COORDINATOR_MS;
        let predecessor_until_ms = (!is_first).then_some(now_ms + VIEW_CHANGE_MS);
        state
            .permissions
            .grant(kind, id, weight, predecessor_until_ms, now_ms)
    }

    /// Grants or refuses a request to an upstream that may be cold as its coordinator.
    ///
    /// `predecessor_until_ms` is the time until which another router may have granted requests to it. The requests have
    /// no weight: the upstream fails by their number, and it is warm after some seconds.
    pub fn grant_cold(
        &mut self,
        upstream: &str,
        id: u64,
        rule: ColdRule,
        predecessor_until_ms: u64,
        now_ms: u64,
    ) -> Grant {
        let kind = LimitKind::Cold {
            tolerated_requests: rule.tolerated_requests,
        };
        let permissions = &mut self.cold_state(upstream, now_ms).permissions;
        permissions.grant(kind, id, Weight::Heavy, Some(predecessor_until_ms), now_ms)
    }

    /// Returns the time at which this router has granted a request to an upstream that may be cold.
    pub fn cold_granted_ms(&self, upstream: &str, id: u64) -> Option<u64> {
        let grants = self.cold.get(upstream)?.permissions.grants.as_ref()?;
        let mut of_request = grants.own.iter().filter(|(_, granted)| *granted == id);
        of_request.next().map(|(at_ms, _)| *at_ms)
    }

    /// Forgets the grants for all upstreams of which another router is the coordinator.
    ///
    /// If this router becomes the coordinator again, it has missed grants.
    pub fn retain_grants(&mut self, is_coordinator: impl Fn(&str) -> bool) {
        let stated = self.limits.iter_mut();
        let stated = stated.map(|(upstream, state)| (upstream, &mut state.permissions));
        let cold = self.cold.iter_mut();
        let cold = cold.map(|(upstream, state)| (upstream, &mut state.permissions));
        for (upstream, permissions) in stated.chain(cold) {
            if permissions.grants.is_some() && !is_coordinator(upstream) {
                permissions.grants = None;
            }
        }
    }

    /// Forgets the grants for all upstreams that may be cold; this router has missed those of another one.
    pub fn forget_cold_grants(&mut self) {
        for state in self.cold.values_mut() {
            state.permissions.grants = None;
        }
    }

    fn cold_state(&mut self, upstream: &str, now_ms: u64) -> &mut ColdState {
        let state = self.cold.entry(upstream.into()).or_default();
        state.used_ms = now_ms;
        state
    }

    fn confirm(
        &mut self,
        upstream: &str,
        limit_milli_per_s: u64,
        known_ms: u64,
        now_ms: u64,
    ) -> &mut LimitState {
        let state = self
            .limits
            .entry(upstream.into())
            .or_insert_with(|| LimitState {
                limit_milli_per_s,
                known_since_ms: now_ms as i64,
                confirmed_ms: now_ms,
                noticed_ms: 0,
                noticed_milli_per_s: 0,
                permissions: Permissions::default(),
            });
        state.limit_milli_per_s = limit_milli_per_s;
        let known_since_ms = now_ms as i64 - known_ms.min(MAX_KNOWN_MS) as i64;
        state.known_since_ms = state.known_since_ms.min(known_since_ms);
        state.confirmed_ms = now_ms;
        state
    }
}

/// Returns the requests that are granted in a window.
fn granted_requests(limit_milli_per_s: u64) -> usize {
    let limit = limit_milli_per_s.max(MIN_LIMIT_MILLI_PER_S);
    let by_rate = limit * WINDOW_MS / 1_000 * TOLERATED_PERCENT / 100 / 1_000;
    let granted = (by_rate + TOLERATED_REQUESTS) * GRANTED_PERCENT / 100;
    granted.max(1) as usize
}
