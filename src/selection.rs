//! Selection of an upstream by expected cost.
//!
//! The cost of an upstream is the expected time to first token: work queued ahead of the request, prompt tokens that
//! are not in the prefix cache, and the round trip between data centres. Load figures of other routers are out of date,
//! so if every router chose the cheapest of all upstreams, they would all choose the same one. The choice is therefore
//! made among two random candidates (power of two choices) and the upstreams that are likely to have the prompt's
//! prefix cached. See `docs/policies/selection.md`.

use crate::collections::FastMap;
use crate::ids::{RouteKey, UpstreamKey, VersionKey};

mod prefix;

use prefix::PrefixMap;

/// Number of random candidates that are compared; two are enough to prevent herding on stale load figures.
const RANDOM_CANDIDATES: usize = 2;

/// Ratio of an engine's prefill rate to its decode rate.
///
/// Prefill processes many prompt tokens in one pass. The ratio only determines how a cached prefix weighs against load.
const PREFILL_TO_DECODE_RATIO: u64 = 16;

/// Tokens per block of the engines' prefix caches.
pub const BLOCK_TOKENS: u32 = 64;

/// Role of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// Serves complete requests.
    #[default]
    General,
    /// Only works for other engines and receives no requests from routers.
    Reserved,
}

/// Properties of an upstream, from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamDescription {
    /// Route that the upstream serves.
    pub route: RouteKey,
    /// Version that the upstream serves.
    pub version: VersionKey,
    /// Role of the upstream.
    pub role: Role,
    /// Round trip between this router's data centre and that of the upstream.
    pub round_trip_us: u32,
    /// Requests that the upstream runs concurrently.
    pub capacity_requests: u32,
    /// Tokens that the upstream generates per second at full load; 0 for a plain service.
    pub tokens_per_second: u64,
}

/// Change of an upstream's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The upstream stored the block with this hash.
    Stored(u64),
    /// The upstream evicted the block with this hash.
    Removed(u64),
    /// The upstream cleared its cache.
    Cleared,
}

/// The properties of a request that the selection uses.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Route of the request.
    pub route: RouteKey,
    /// Version that must serve the request.
    pub version: VersionKey,
    /// Hashes of the prompt's prefixes, one per full block, the shortest prefix first.
    pub prefix_hashes: &'a [u64],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
}

#[derive(Clone, Debug)]
struct UpstreamState {
    description: UpstreamDescription,
    own_tokens: u64,
    own_requests: u32,
    peer_tokens: u64,
    peer_requests: u32,
    slowness_percent: u64,
}

/// All upstreams with their load and their likely cache contents, as seen by one process.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    upstreams: FastMap<UpstreamKey, UpstreamState>,
    pools: FastMap<(RouteKey, VersionKey), Vec<UpstreamKey>>,
    prefixes: PrefixMap,
}

impl Selector {
    /// Adds an upstream or changes its description.
    pub fn set_upstream(&mut self, upstream: UpstreamKey, description: UpstreamDescription) {
        let pool_key = (description.route, description.version);
        match self.upstreams.get_mut(&upstream) {
            Some(state) => {
                let old_key = (state.description.route, state.description.version);
                state.description = description;
                if old_key != pool_key {
                    self.remove_from_pool(upstream, old_key);
                    self.pools.entry(pool_key).or_default().push(upstream);
                }
            }
            None => {
                let state = UpstreamState {
                    description,
                    own_tokens: 0,
                    own_requests: 0,
                    peer_tokens: 0,
                    peer_requests: 0,
                    slowness_percent: 100,
                };
                self.upstreams.insert(upstream, state);
                self.pools.entry(pool_key).or_default().push(upstream);
            }
        }
    }

    /// Removes an upstream that is no longer configured.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        if let Some(state) = self.upstreams.remove(&upstream) {
            let key = (state.description.route, state.description.version);
            self.remove_from_pool(upstream, key);
        }
    }

    /// Records that this router dispatched a request for which `tokens` remain to be processed.
    pub fn record_dispatch(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.own_tokens += tokens;
            state.own_requests += 1;
        }
    }

    /// Records that a request ended; `tokens` is the amount passed to [`Self::record_dispatch`].
    pub fn record_completion(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.own_tokens = state.own_tokens.saturating_sub(tokens);
            state.own_requests = state.own_requests.saturating_sub(1);
        }
    }

    /// Sets the load of all other routers together, from their heartbeats.
    pub fn set_peer_load(&mut self, upstream: UpstreamKey, requests: u32, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.peer_requests = requests;
            state.peer_tokens = tokens;
        }
    }

    /// Sets the outstanding tokens of all other routers together, where their number of requests is not known.
    pub fn set_peer_tokens(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.peer_tokens = tokens;
        }
    }

    /// Sets the ratio of the upstream's response time to the average, from [`crate::health::Health::slowness`].
    pub fn set_slowness(&mut self, upstream: UpstreamKey, slowness: f64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.slowness_percent = (slowness.max(1.0) * 100.0) as u64;
        }
    }

    /// Records that a request with these prefixes was dispatched, before a cache event confirms that they are cached.
    pub fn expect_cached(&mut self, upstream: UpstreamKey, prefix_hashes: &[u64]) {
        for &block in prefix_hashes {
            self.prefixes.insert_expected(upstream, block);
        }
    }

    /// Applies a change of an upstream's prefix cache.
    pub fn apply_cache_change(&mut self, upstream: UpstreamKey, change: &CacheChange) {
        match change {
            CacheChange::Stored(block) => self.prefixes.insert_confirmed(upstream, *block),
            CacheChange::Removed(block) => self.prefixes.remove(upstream, *block),
            CacheChange::Cleared => self.prefixes.clear(upstream),
        }
    }

    /// Records that cache events of an upstream were lost, which makes the earlier entries less certain.
    pub fn record_cache_gap(&mut self, upstream: UpstreamKey) {
        self.prefixes.record_gap(upstream);
    }

    /// Chooses the upstream with the lowest expected cost among two random candidates and the likely cache holders.
    ///
    /// `is_usable` combines health and capacity; `random` selects the candidates. If no candidate is usable, the whole
    /// pool is searched, so that a request is refused only if no upstream can take it.
    pub fn choose(
        &self,
        request: &Request<'_>,
        random: u64,
        is_usable: impl Fn(UpstreamKey) -> bool,
    ) -> Option<UpstreamKey> {
        let pool = self.pools.get(&(request.route, request.version))?;
        if pool.is_empty() {
            return None;
        }
        let mut best: Option<(u64, UpstreamKey)> = None;
        let mut consider = |upstream: UpstreamKey, cached_blocks: f64| {
            if !is_usable(upstream) {
                return;
            }
            if let Some(cost) = self.cost_us(upstream, request, cached_blocks) {
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, upstream));
                }
            }
        };
        for number in 0..RANDOM_CANDIDATES {
            let part = (random >> (32 * number)) as u32;
            let index = (u64::from(part) * pool.len() as u64) >> 32;
            consider(pool[index as usize], 0.0);
        }
        for holder in self.prefixes.likely_holders(request.prefix_hashes) {
            consider(holder.upstream, holder.expected_blocks);
        }
        if best.is_none() {
            let start = (random % pool.len() as u64) as usize;
            for offset in 0..pool.len() {
                let upstream = pool[(start + offset) % pool.len()];
                if is_usable(upstream) && self.cost_us(upstream, request, 0.0).is_some() {
                    return Some(upstream);
                }
            }
        }
        best.map(|(_, upstream)| upstream)
    }

    /// Returns the expected time to first token, or `None` if the upstream cannot serve the request.
    fn cost_us(
        &self,
        upstream: UpstreamKey,
        request: &Request<'_>,
        cached_blocks: f64,
    ) -> Option<u64> {
        let state = self.upstreams.get(&upstream)?;
        let description = &state.description;
        let is_in_pool =
            (description.route, description.version) == (request.route, request.version);
        if !is_in_pool || description.role == Role::Reserved {
            return None;
        }
        let cached_tokens = (f64::from(BLOCK_TOKENS) * cached_blocks) as u64;
        let prompt_tokens = u64::from(request.prompt_tokens).saturating_sub(cached_tokens);
        let requests = u64::from(state.own_requests + state.peer_requests);
        let capacity = u64::from(description.capacity_requests.max(1));
        let work_us = if description.tokens_per_second == 0 {
            // A plain service generates no tokens, so only the requests in flight can be compared.
            requests * 1_000_000 / capacity
        } else {
            let rate = description.tokens_per_second;
            let prompt_us = prompt_tokens * 1_000_000 / (rate * PREFILL_TO_DECODE_RATIO);
            let drain_us = (state.own_tokens + state.peer_tokens) * 1_000_000 / rate;
            // With free slots, a request waits only for the prefill of earlier prompts; a full upstream must finish
            // requests first.
            let is_full = requests >= capacity;
            prompt_us
                + if is_full {
                    drain_us
                } else {
                    drain_us / PREFILL_TO_DECODE_RATIO
                }
        };
        Some(work_us * state.slowness_percent / 100 + u64::from(description.round_trip_us))
    }

    fn remove_from_pool(&mut self, upstream: UpstreamKey, key: (RouteKey, VersionKey)) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.retain(|&member| member != upstream);
        }
    }
}
