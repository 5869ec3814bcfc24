//! Changes of the pools from the configuration, peers and upstreams' reports.

use crate::admission::{router_share, PeerLoad, ShareLimit};
use crate::collections::{FastMap, FastSet};
use crate::contract::{Configuration, Upstream as Configured, UpstreamKind};
use crate::ids::{IncarnationId, UpstreamKey};
use crate::message::OutstandingWork;
use crate::selection::{CacheChange, Role, UpstreamDescription};

use super::{PoolKey, Pools, Upstream};

/// Assumed round trip within a data centre.
const NEAR_US: u32 = 200;

/// Assumed round trip between data centres, which are 1 to 2 ms apart one way.
const FAR_US: u32 = 3_000;

/// Time for which the figures of a heartbeat count; heartbeats come every second.
const PEER_WORK_MS: u64 = 3_000;

/// An upstream that reports are read from.
#[derive(Clone, Debug)]
pub(in crate::router) struct Reporter {
    pub(in crate::router) upstream: UpstreamKey,
    /// Whether the upstream is a model engine, which reports its prefix cache too.
    pub(in crate::router) is_engine: bool,
    pub(in crate::router) address: String,
}

impl Pools {
    /// Takes a new configuration.
    pub(in crate::router) fn configure(&mut self, configuration: &Configuration, now_ms: u64) {
        for name in super::served_names(configuration) {
            self.routes.intern(name);
        }
        let mut present = FastSet::default();
        for configured in &configuration.upstreams {
            present.insert(self.set_upstream(configured));
        }
        let removed: Vec<UpstreamKey> = self
            .upstreams
            .keys()
            .filter(|upstream| !present.contains(upstream))
            .copied()
            .collect();
        for upstream in removed {
            if let Some(known) = self.upstreams.remove(&upstream) {
                self.leave_pool(upstream, known.pool);
            }
            self.selector.remove_upstream(upstream);
            self.health.remove_upstream(upstream);
        }
        self.add_up_peer_work(now_ms);
        self.pump_all(now_ms);
    }

    fn set_upstream(&mut self, configured: &Configured) -> UpstreamKey {
        let upstream = self.names.intern(&configured.name);
        let route = self.routes.intern(&configured.serves);
        let version = self.versions.intern(&configured.version);
        let pool = (route, version);
        let before = self.upstreams.remove(&upstream);
        if let Some(before) = &before {
            if before.pool != pool {
                self.leave_pool(upstream, before.pool);
            }
        }
        self.upstreams.insert(
            upstream,
            Upstream {
                address: configured.address.clone(),
                pool,
                version: configured.version.clone(),
                capacity_requests: configured.capacity_requests,
                share: before.as_ref().and_then(|known| known.share),
                limit_requests: before.as_ref().map_or(0, |known| known.limit_requests),
                own_requests: before.as_ref().map_or(0, |known| known.own_requests),
                own_tokens: before.as_ref().map_or(0, |known| known.own_tokens),
            },
        );
        let members = &mut self.pools.entry(pool).or_default().members;
        if !members.contains(&upstream) {
            members.push(upstream);
        }
        let is_near = configured.data_centre == self.data_centre;
        self.selector.set_upstream(
            upstream,
            UpstreamDescription {
                route,
                version,
                role: Role::General,
                distance_us: if is_near { NEAR_US } else { FAR_US },
                capacity_requests: configured.capacity_requests,
                tokens_per_second: configured.tokens_per_second,
            },
        );
        upstream
    }

    fn leave_pool(&mut self, upstream: UpstreamKey, pool: PoolKey) {
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.members.retain(|&member| member != upstream);
        }
    }

    /// Sets the routers that share the upstreams, in an order on which all agree.
    pub(in crate::router) fn set_routers(&mut self, own: IncarnationId, open: Vec<IncarnationId>) {
        self.own = own;
        self.routers = open;
        if !self.routers.contains(&own) {
            // The own start is not folded yet; it will be the newest.
            self.routers.push(own);
        }
    }

    /// Takes the work of one other router from its heartbeat.
    pub(in crate::router) fn set_peer_work(
        &mut self,
        peer: IncarnationId,
        work: Vec<OutstandingWork>,
        now_ms: u64,
    ) {
        self.peer_work.insert(peer, (now_ms, work));
    }

    /// Forgets the work of a router that is no longer live.
    pub(in crate::router) fn remove_peer(&mut self, peer: IncarnationId) {
        self.peer_work.remove(&peer);
    }

    /// Takes the work of all other routers into account; a router without work sends none, so old figures expire.
    pub(in crate::router) fn add_up_peer_work(&mut self, now_ms: u64) {
        self.peer_work
            .retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < PEER_WORK_MS);
        let mut work: FastMap<(UpstreamKey, IncarnationId), (u32, u64)> = FastMap::default();
        let mut sums: FastMap<UpstreamKey, u64> = FastMap::default();
        for (&peer, (_, list)) in &self.peer_work {
            for outstanding in list {
                if let Some(upstream) = self.names.get(&outstanding.upstream) {
                    let entry = work.entry((upstream, peer)).or_default();
                    entry.0 = entry.0.saturating_add(outstanding.requests);
                    let sum = sums.entry(upstream).or_default();
                    *sum = sum.saturating_add(outstanding.outstanding_tokens);
                }
            }
        }
        let routers = self.routers.len() as u32;
        for (&upstream, known) in &mut self.upstreams {
            let name = self.names.name(upstream);
            let share = |rank| router_share(name, known.capacity_requests, routers, rank);
            let mut loads = Vec::with_capacity(self.routers.len());
            let mut own_share = 0;
            for (rank, &router) in self.routers.iter().enumerate() {
                let share = share(rank as u32);
                if router == self.own {
                    own_share = share;
                    continue;
                }
                loads.push(PeerLoad {
                    requests: work.get(&(upstream, router)).map_or(0, |entry| entry.0),
                    share,
                    at_ms: now_ms,
                });
            }
            if known.capacity_requests < routers {
                // A router without any share would refuse although the upstream may be idle.
                own_share = own_share.max(1);
            }
            known.set_share(own_share, &loads, now_ms);
            self.selector
                .set_peer_tokens(upstream, sums.get(&upstream).copied().unwrap_or(0));
        }
        let keys: Vec<PoolKey> = self.pools.keys().copied().collect();
        for key in keys {
            let slots = self.slots(key);
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.queue.set_slots(slots);
            }
        }
    }

    /// Returns the work that this router has at the upstreams.
    pub(in crate::router) fn own_work(&self) -> Vec<OutstandingWork> {
        self.upstreams
            .iter()
            .filter(|(_, known)| known.own_requests > 0)
            .map(|(&upstream, known)| OutstandingWork {
                upstream: self.names.name(upstream).into(),
                requests: known.own_requests,
                outstanding_tokens: known.own_tokens,
            })
            .collect()
    }

    /// Returns the upstreams whose reports are read.
    pub(in crate::router) fn reporters(&self, configuration: &Configuration) -> Vec<Reporter> {
        configuration
            .upstreams
            .iter()
            .filter_map(|configured| {
                Some(Reporter {
                    upstream: self.names.get(&configured.name)?,
                    is_engine: configured.kind == UpstreamKind::Engine,
                    address: configured.address.to_string(),
                })
            })
            .collect()
    }

    /// Takes what the platform's list says of an upstream.
    pub(in crate::router) fn set_listed_leaving(
        &mut self,
        upstream: UpstreamKey,
        is_leaving: bool,
    ) {
        self.health.set_listed_draining(upstream, is_leaving);
    }

    /// Takes what an upstream says of itself.
    pub(in crate::router) fn set_leaving(&mut self, upstream: UpstreamKey, is_leaving: bool) {
        self.health.set_reported_draining(upstream, is_leaving);
    }

    /// Takes a change of an engine's prefix cache.
    pub(in crate::router) fn cache_change(&mut self, upstream: UpstreamKey, change: &CacheChange) {
        self.selector.apply_cache_change(upstream, change);
    }

    /// Forgets the cache contents of an engine whose events have a gap.
    pub(in crate::router) fn cache_gap(&mut self, upstream: UpstreamKey) {
        self.selector.record_cache_gap(upstream);
    }

    /// Returns the requests that this router may have at all upstreams of a pool.
    pub(super) fn slots(&self, key: PoolKey) -> u32 {
        self.pools.get(&key).map_or(0, |pool| {
            pool.members
                .iter()
                .filter_map(|upstream| self.upstreams.get(upstream))
                .map(|known| known.limit_requests)
                .sum()
        })
    }
}

impl Upstream {
    /// Sets this router's share and computes its limit.
    ///
    /// The first share of an upstream counts at once. When this process has just started, the others lower their shares
    /// only as they fold its start, so an upstream may get the work of one more router for that time.
    fn set_share(&mut self, share_requests: u32, peers: &[PeerLoad], now_ms: u64) {
        let share = self
            .share
            .get_or_insert_with(|| ShareLimit::immediate(share_requests));
        share.set_share(share_requests, now_ms);
        self.limit_requests = share.limit(peers, now_ms);
    }
}
