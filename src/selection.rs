//! Choice of an upstream by expected cost.
//!
//! The cost of an upstream is the time until the first token is expected: work ahead of the request, prompt tokens that
//! are not in the prefix cache, and the distance between data centres. Figures of other routers are late, so all routers
//! would send to the same cheapest upstream at once; the choice is therefore made among two random candidates and those
//! likely to hold the prompt's prefix. See `docs/policies/selection.md`.

use crate::collections::FastMap;
use crate::ids::{RouteKey, UpstreamKey, VersionKey};

mod prefix;

use prefix::PrefixMap;

/// Random candidates that are compared; two suffice against herding on stale figures.
const RANDOM_CANDIDATES: usize = 2;

/// Ratio of the rates at which an engine reads a prompt and generates a response.
///
/// A prompt is read in one pass over many tokens. The ratio decides only how far a cached prefix outweighs load.
const PREFILL_TO_DECODE_RATIO: u64 = 16;

/// Tokens of one block of the engines' prefix caches.
pub const BLOCK_TOKENS: u32 = 64;

/// Role of a model engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// Takes whole requests.
    #[default]
    General,
    /// Only works for other engines and takes no request from routers.
    Reserved,
}

/// What is known of an upstream from the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamDescription {
    /// Route that the upstream serves.
    pub route: RouteKey,
    /// Version that the upstream has loaded.
    pub version: VersionKey,
    /// Role of the upstream.
    pub role: Role,
    /// Round trip from this router's data centre.
    pub distance_us: u32,
    /// Requests that the upstream runs at the same time.
    pub capacity_requests: u32,
    /// Tokens that the upstream generates per second when full; 0 for a plain service.
    pub tokens_per_second: u64,
}

/// Change of an upstream's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The upstream holds this block now.
    Stored(u64),
    /// The upstream dropped this block.
    Removed(u64),
    /// The upstream dropped everything.
    Cleared,
}

/// A request as far as the choice needs it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Route of the request.
    pub route: RouteKey,
    /// Version that shall serve it.
    pub version: VersionKey,
    /// Hashes of the prompt's prefixes, one for each full block, the shortest first.
    pub prefix_blocks: &'a [u64],
    /// Tokens of the prompt.
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

/// Upstreams with their load and cache contents, as one process knows them.
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

    /// Notes that this router sent a request with this many tokens still to come.
    pub fn record_dispatch(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.own_tokens += tokens;
            state.own_requests += 1;
        }
    }

    /// Notes that a request ended; `tokens` is the amount given to [`Self::record_dispatch`].
    pub fn record_completion(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.own_tokens = state.own_tokens.saturating_sub(tokens);
            state.own_requests = state.own_requests.saturating_sub(1);
        }
    }

    /// Sets what all other routers together have outstanding, from their heartbeats.
    pub fn set_peer_load(&mut self, upstream: UpstreamKey, requests: u32, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.peer_requests = requests;
            state.peer_tokens = tokens;
        }
    }

    /// Sets the tokens that all other routers together have outstanding, where their requests are not known.
    pub fn set_peer_tokens(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.peer_tokens = tokens;
        }
    }

    /// Sets how many times longer than on average responses take, from [`crate::health::Health::slowness`].
    pub fn set_slowness(&mut self, upstream: UpstreamKey, slowness: f64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.slowness_percent = (slowness.max(1.0) * 100.0) as u64;
        }
    }

    /// Notes that a request with these prefixes was sent, before any cache event says so.
    pub fn expect_cached(&mut self, upstream: UpstreamKey, prefix_blocks: &[u64]) {
        for &block in prefix_blocks {
            self.prefixes.insert_expected(upstream, block);
        }
    }

    /// Takes a change of an upstream's prefix cache.
    pub fn apply_cache_change(&mut self, upstream: UpstreamKey, change: &CacheChange) {
        match change {
            CacheChange::Stored(block) => self.prefixes.insert_confirmed(upstream, *block),
            CacheChange::Removed(block) => self.prefixes.remove(upstream, *block),
            CacheChange::Cleared => self.prefixes.clear(upstream),
        }
    }

    /// Notes that events of an upstream were lost; what is known of its cache is less certain from now on.
    pub fn record_cache_gap(&mut self, upstream: UpstreamKey) {
        self.prefixes.record_gap(upstream);
    }

    /// Chooses the upstream with the least expected cost among two random candidates and the likely cache holders.
    ///
    /// `is_usable` combines health and capacity. `random` decides the candidates. If none of the candidates is usable,
    /// the whole pool is searched, so that a request is refused only if no upstream can take it.
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
        for holder in self.prefixes.likely_holders(request.prefix_blocks) {
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

    /// Returns the time until the first token that is expected, or `None` if the upstream is not for this request.
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
            // A plain service generates no tokens; only its requests in flight can be compared.
            requests * 1_000_000 / capacity
        } else {
            let rate = description.tokens_per_second;
            let prompt_us = prompt_tokens * 1_000_000 / (rate * PREFILL_TO_DECODE_RATIO);
            let drain_us = (state.own_tokens + state.peer_tokens) * 1_000_000 / rate;
            // While slots are free, a request waits only for the prompts before it; a full upstream must drain first.
            let is_full = requests >= capacity;
            prompt_us
                + if is_full {
                    drain_us
                } else {
                    drain_us / PREFILL_TO_DECODE_RATIO
                }
        };
        Some(work_us * state.slowness_percent / 100 + u64::from(description.distance_us))
    }

    fn remove_from_pool(&mut self, upstream: UpstreamKey, key: (RouteKey, VersionKey)) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.retain(|&member| member != upstream);
        }
    }
}
