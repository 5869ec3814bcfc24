//! Separate places for requests that were at an upstream when it crashed.
//!
//! All requests of a crashed upstream run again, and one of them may be the cause. If two of them met at the next
//! upstream, its crash would count for both, and the innocent one would be stopped everywhere. So each upstream runs at
//! most one such request at a time. Every router uses a part of a pool's upstreams for them that no other router uses,
//! as far as there are enough upstreams.

use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use super::{PoolKey, Pools};
use crate::health::Permit;
use crate::ids::{RouteKey, UpstreamKey};
use crate::router::Shared;

/// The right to run one such request at an upstream; dropping it frees the upstream for the next one.
pub(in crate::router) struct Isolation {
    shared: Rc<Shared>,
    upstream: UpstreamKey,
}

impl Isolation {
    /// Takes an upstream for one request; `None` while all of them are taken.
    pub(in crate::router) fn acquire(
        shared: &Rc<Shared>,
        pool: PoolKey,
        route: RouteKey,
        excluded: &[UpstreamKey],
    ) -> Option<Self> {
        let mut pools = shared.pools.borrow_mut();
        let upstream = pools.free_candidate(pool, route, excluded, shared.now_ms())?;
        pools.isolation_upstreams.insert(upstream);
        Some(Self {
            shared: Rc::clone(shared),
            upstream,
        })
    }

    /// Returns the upstream that was taken.
    pub(in crate::router) fn upstream(&self) -> UpstreamKey {
        self.upstream
    }
}

impl Drop for Isolation {
    fn drop(&mut self) {
        self.shared
            .pools
            .borrow_mut()
            .isolation_upstreams
            .remove(&self.upstream);
    }
}

impl Pools {
    /// Returns the other upstreams of a pool.
    pub(in crate::router) fn all_except(
        &self,
        pool: PoolKey,
        upstream: UpstreamKey,
    ) -> Vec<UpstreamKey> {
        let members = self.pools.get(&pool).map(|pool| pool.members.as_slice());
        let others = members.unwrap_or_default().iter().copied();
        others.filter(|&member| member != upstream).collect()
    }

    /// Returns the upstreams of a pool that may get a request after a crash, busy ones among them.
    pub(in crate::router) fn isolation_candidates(
        &self,
        pool: PoolKey,
        route: RouteKey,
        excluded: &[UpstreamKey],
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        let members = self.pools.get(&pool).map(|pool| pool.members.as_slice());
        let permitted: Vec<UpstreamKey> = members
            .unwrap_or_default()
            .iter()
            .copied()
            .filter(|member| !excluded.contains(member))
            .filter(|&member| self.health.permit(member, route, now_ms) != Permit::Deny)
            .collect();
        let own_partition = permitted
            .iter()
            .copied()
            .filter(|&member| self.is_own_partition(member));
        let own_partition: Vec<UpstreamKey> = own_partition.collect();
        if own_partition.is_empty() {
            permitted
        } else {
            own_partition
        }
    }

    fn free_candidate(
        &self,
        pool: PoolKey,
        route: RouteKey,
        excluded: &[UpstreamKey],
        now_ms: u64,
    ) -> Option<UpstreamKey> {
        let candidates = self.isolation_candidates(pool, route, excluded, now_ms);
        candidates.into_iter().find(|member| {
            !self.isolation_upstreams.contains(member) && self.is_usable(*member, route, now_ms)
        })
    }

    /// Returns whether no other router runs such requests at this upstream.
    fn is_own_partition(&self, upstream: UpstreamKey) -> bool {
        let rank = self.routers.iter().position(|&router| router == self.own);
        let hash = xxh3_64(self.names.name(upstream).as_bytes());
        let partition = (hash % self.routers.len().max(1) as u64) as usize;
        rank.is_none_or(|rank| rank == partition)
    }
}
