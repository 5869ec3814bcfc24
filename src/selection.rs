//! Choice of an upstream by expected cost.
//!
//! The cost of an upstream is the time until the first token is expected: work ahead of the request, prompt tokens that
//! are not in the prefix cache, and the distance between data centres. Figures of other routers are late, so all routers
//! would send to the same cheapest upstream at once; the choice is therefore made among two random candidates and those
//! likely to hold the prompt's prefix. See `docs/policies/selection.md`.

use crate::collections::FastMap;
use crate::ids::{RouteKey, UpstreamKey, VersionKey};

/// Random candidates that are compared; two suffice against herding on stale figures.
const RANDOM_CANDIDATES: usize = 2;

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
pub struct Description {
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
    description: Description,
    own_tokens: u64,
    own_requests: u32,
    peer_tokens: u64,
}

/// Upstreams with their load and cache contents, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    upstreams: FastMap<UpstreamKey, UpstreamState>,
    pools: FastMap<(RouteKey, VersionKey), Vec<UpstreamKey>>,
    holders: FastMap<u64, Vec<UpstreamKey>>,
}

impl Selector {
    /// Adds an upstream or changes its description.
    pub fn set(&mut self, upstream: UpstreamKey, description: Description) {
        let pool_key = (description.route, description.version);
        match self.upstreams.get_mut(&upstream) {
            Some(state) => {
                let old_key = (state.description.route, state.description.version);
                state.description = description;
                if old_key != pool_key {
                    self.leave_pool(upstream, old_key);
                    self.pools.entry(pool_key).or_default().push(upstream);
                }
            }
            None => {
                let state = UpstreamState {
                    description,
                    own_tokens: 0,
                    own_requests: 0,
                    peer_tokens: 0,
                };
                self.upstreams.insert(upstream, state);
                self.pools.entry(pool_key).or_default().push(upstream);
            }
        }
    }

    /// Removes an upstream that is no longer configured.
    pub fn remove(&mut self, upstream: UpstreamKey) {
        if let Some(state) = self.upstreams.remove(&upstream) {
            let key = (state.description.route, state.description.version);
            self.leave_pool(upstream, key);
        }
    }

    /// Notes that this router sent a request with this many tokens still to come.
    pub fn dispatched(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.own_tokens += tokens;
            state.own_requests += 1;
        }
    }

    /// Notes that a request ended; `tokens` is the amount given to [`Self::dispatched`].
    pub fn finished(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.own_tokens = state.own_tokens.saturating_sub(tokens);
            state.own_requests = state.own_requests.saturating_sub(1);
        }
    }

    /// Sets the tokens that all other routers together have outstanding, from their heartbeats.
    pub fn set_peer_tokens(&mut self, upstream: UpstreamKey, tokens: u64) {
        if let Some(state) = self.upstreams.get_mut(&upstream) {
            state.peer_tokens = tokens;
        }
    }

    /// Takes a change of an upstream's prefix cache.
    pub fn cache_change(&mut self, upstream: UpstreamKey, change: &CacheChange) {
        match change {
            CacheChange::Stored(block) => {
                let holders = self.holders.entry(*block).or_default();
                if !holders.contains(&upstream) {
                    holders.push(upstream);
                }
            }
            CacheChange::Removed(block) => {
                if let Some(holders) = self.holders.get_mut(block) {
                    holders.retain(|&holder| holder != upstream);
                }
            }
            CacheChange::Cleared => self.cache_gap(upstream),
        }
    }

    /// Forgets the cache contents of an upstream whose events have a gap.
    pub fn cache_gap(&mut self, upstream: UpstreamKey) {
        for holders in self.holders.values_mut() {
            holders.retain(|&holder| holder != upstream);
        }
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
        let mut consider = |upstream: UpstreamKey, cached_blocks: usize| {
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
            consider(pool[index as usize], 0);
        }
        if let Some((blocks, holders)) = self.longest_prefix(request) {
            for &holder in holders {
                consider(holder, blocks);
            }
        }
        if best.is_none() {
            let start = (random % pool.len() as u64) as usize;
            for offset in 0..pool.len() {
                let upstream = pool[(start + offset) % pool.len()];
                if is_usable(upstream) && self.cost_us(upstream, request, 0).is_some() {
                    return Some(upstream);
                }
            }
        }
        best.map(|(_, upstream)| upstream)
    }

    fn longest_prefix(&self, request: &Request<'_>) -> Option<(usize, &Vec<UpstreamKey>)> {
        let position = request.prefix_blocks.iter().rposition(|block| {
            self.holders
                .get(block)
                .is_some_and(|holders| !holders.is_empty())
        })?;
        self.holders
            .get(&request.prefix_blocks[position])
            .map(|holders| (position + 1, holders))
    }

    fn cost_us(
        &self,
        upstream: UpstreamKey,
        request: &Request<'_>,
        cached_blocks: usize,
    ) -> Option<u64> {
        let state = self.upstreams.get(&upstream)?;
        let description = &state.description;
        let is_pool = (description.route, description.version) == (request.route, request.version);
        if !is_pool || description.role == Role::Reserved {
            return None;
        }
        let cached_tokens = u64::from(BLOCK_TOKENS) * cached_blocks as u64;
        let prompt_tokens = u64::from(request.prompt_tokens).saturating_sub(cached_tokens);
        let tokens = state.own_tokens + state.peer_tokens + prompt_tokens;
        let work_us = (tokens * 1_000_000)
            .checked_div(description.tokens_per_second)
            .unwrap_or(u64::from(state.own_requests) * 1_000);
        Some(work_us + u64::from(description.distance_us))
    }

    fn leave_pool(&mut self, upstream: UpstreamKey, key: (RouteKey, VersionKey)) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.retain(|&member| member != upstream);
        }
    }
}
