//! Updates of the pools from the configuration, heartbeats of peers and reports of upstreams.

use crate::admission::{router_share, PeerLoad, ShareLimit};
use crate::collections::{FastMap, FastSet};
use crate::contract::{Configuration, Upstream as Configured, UpstreamKind};
use crate::ids::{IncarnationId, UpstreamKey};
use crate::message::OutstandingWork;
use crate::selection::{CacheChange, Role, UpstreamDescription};

use super::{PoolKey, Pools, Upstream};

/// Assumed round-trip time within a data centre.
const LOCAL_ROUND_TRIP_US: u32 = 200;

/// Assumed round-trip time between data centres; the one-way latency is 1 to 2 ms.
const REMOTE_ROUND_TRIP_US: u32 = 3_000;

/// Time for which the load in a heartbeat is used; heartbeats are sent every second.
const PEER_LOAD_VALIDITY_MS: u64 = 3_000;

/// An upstream whose reports are read.
#[derive(Clone, Debug)]
pub(in crate::router) struct ReportSource {
    pub(in crate::router) upstream: UpstreamKey,
    /// Whether the upstream is a model engine, which also reports its prefix cache.
    pub(in crate::router) is_engine: bool,
    pub(in crate::router) address: String,
}

impl Pools {
    /// Applies a new configuration.
    pub(in crate::router) fn apply_configuration(
        &mut self,
        configuration: &Configuration,
        now_ms: u64,
    ) {
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
                self.remove_from_pool(upstream, known.pool);
            }
            self.selector.remove_upstream(upstream);
            self.health.remove_upstream(upstream);
        }
        self.apply_peer_load(now_ms);
        self.dispatch_all_queued(now_ms);
    }

    fn set_upstream(&mut self, configured: &Configured) -> UpstreamKey {
        let upstream = self.names.intern(&configured.name);
        let route = self.routes.intern(&configured.serves);
        let version = self.versions.intern(&configured.version);
        let pool = (route, version);
        let previous = self.upstreams.remove(&upstream);
        if let Some(previous) = &previous {
            if previous.pool != pool {
                self.remove_from_pool(upstream, previous.pool);
            }
        }
        self.upstreams.insert(
            upstream,
            Upstream {
                address: configured.address.clone(),
                pool,
                version: configured.version.clone(),
                capacity_requests: configured.capacity_requests,
                share: previous.as_ref().and_then(|known| known.share),
                limit_requests: previous.as_ref().map_or(0, |known| known.limit_requests),
                own_requests: previous.as_ref().map_or(0, |known| known.own_requests),
                own_tokens: previous.as_ref().map_or(0, |known| known.own_tokens),
            },
        );
        let members = &mut self.pools.entry(pool).or_default().members;
        if !members.contains(&upstream) {
            members.push(upstream);
        }
        let is_local = configured.data_centre == self.data_centre;
        self.selector.set_upstream(
            upstream,
            UpstreamDescription {
                route,
                version,
                role: Role::General,
                round_trip_us: if is_local {
                    LOCAL_ROUND_TRIP_US
                } else {
                    REMOTE_ROUND_TRIP_US
                },
                capacity_requests: configured.capacity_requests,
                tokens_per_second: configured.tokens_per_second,
            },
        );
        upstream
    }

    fn remove_from_pool(&mut self, upstream: UpstreamKey, pool: PoolKey) {
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.members.retain(|&member| member != upstream);
        }
    }

    /// Sets the routers among which the upstreams are divided, in an order that is the same in all routers.
    pub(in crate::router) fn set_routers(&mut self, own: IncarnationId, open: Vec<IncarnationId>) {
        self.own = own;
        self.routers = open;
        if !self.routers.contains(&own) {
            // The start of this incarnation is not folded yet; it will be the newest.
            self.routers.push(own);
        }
    }

    /// Sets the load of another router, from its heartbeat.
    pub(in crate::router) fn set_peer_load(
        &mut self,
        peer: IncarnationId,
        load: Vec<OutstandingWork>,
        now_ms: u64,
    ) {
        self.peer_loads.insert(peer, (now_ms, load));
    }

    /// Removes the load of a router that is no longer live.
    pub(in crate::router) fn remove_peer(&mut self, peer: IncarnationId) {
        self.peer_loads.remove(&peer);
    }

    /// Updates the limits and the selector from the load of the other routers.
    ///
    /// Heartbeats of a router without load are not passed to the pools, so its last reported load must expire.
    pub(in crate::router) fn apply_peer_load(&mut self, now_ms: u64) {
        self.peer_loads
            .retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < PEER_LOAD_VALIDITY_MS);
        let mut peer_requests: FastMap<(UpstreamKey, IncarnationId), (u32, u64)> =
            FastMap::default();
        let mut peer_tokens: FastMap<UpstreamKey, u64> = FastMap::default();
        for (&peer, (_, list)) in &self.peer_loads {
            for outstanding in list {
                if let Some(upstream) = self.names.get(&outstanding.upstream) {
                    let entry = peer_requests.entry((upstream, peer)).or_default();
                    entry.0 = entry.0.saturating_add(outstanding.requests);
                    let sum = peer_tokens.entry(upstream).or_default();
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
                    requests: peer_requests
                        .get(&(upstream, router))
                        .map_or(0, |entry| entry.0),
                    share,
                    at_ms: now_ms,
                });
            }
            if known.capacity_requests < routers {
                // With fewer slots than routers, some routers have no share. Without a minimum they would refuse
                // requests although the upstream may be idle.
                own_share = own_share.max(1);
            }
            known.set_share(own_share, &loads, now_ms);
            self.selector
                .set_peer_tokens(upstream, peer_tokens.get(&upstream).copied().unwrap_or(0));
        }
        let keys: Vec<PoolKey> = self.pools.keys().copied().collect();
        for key in keys {
            let slots = self.slot_count(key);
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.queue.set_slots(slots);
            }
        }
    }

    /// Returns the load of this router at the upstreams.
    pub(in crate::router) fn own_load(&self) -> Vec<OutstandingWork> {
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
    pub(in crate::router) fn report_sources(
        &self,
        configuration: &Configuration,
    ) -> Vec<ReportSource> {
        configuration
            .upstreams
            .iter()
            .filter_map(|configured| {
                Some(ReportSource {
                    upstream: self.names.get(&configured.name)?,
                    is_engine: configured.kind == UpstreamKind::Engine,
                    address: configured.address.to_string(),
                })
            })
            .collect()
    }

    /// Sets whether an upstream is draining because the platform's list shows its VM as leaving.
    pub(in crate::router) fn set_listed_draining(
        &mut self,
        upstream: UpstreamKey,
        is_draining: bool,
    ) {
        self.health.set_listed_draining(upstream, is_draining);
    }

    /// Sets whether an upstream reports itself as draining.
    pub(in crate::router) fn set_reported_draining(
        &mut self,
        upstream: UpstreamKey,
        is_draining: bool,
    ) {
        self.health.set_reported_draining(upstream, is_draining);
    }

    /// Applies a change of an engine's prefix cache.
    pub(in crate::router) fn apply_cache_change(
        &mut self,
        upstream: UpstreamKey,
        change: &CacheChange,
    ) {
        self.selector.apply_cache_change(upstream, change);
    }

    /// Records that cache events of an engine were lost.
    pub(in crate::router) fn record_cache_gap(&mut self, upstream: UpstreamKey) {
        self.selector.record_cache_gap(upstream);
    }

    /// Returns the number of requests that this router may run concurrently at all upstreams of a pool.
    pub(super) fn slot_count(&self, key: PoolKey) -> u32 {
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
    /// Sets this router's share of the capacity and computes its limit.
    ///
    /// The first share of an upstream takes effect at once. The other routers lower their shares only when they fold
    /// the start of this process; until then, an upstream may get the requests of one additional router.
    fn set_share(&mut self, share_requests: u32, peers: &[PeerLoad], now_ms: u64) {
        let share = self
            .share
            .get_or_insert_with(|| ShareLimit::immediate(share_requests));
        share.set_share(share_requests, now_ms);
        self.limit_requests = share.limit(peers, now_ms);
    }
}
