//! Isolation of crash suspects, the requests that an upstream was running when it crashed.
//!
//! All requests of a crashed upstream are retried, and one of them may have caused the crash. If two of them ran at the
//! same upstream again, its crash would count against both, and the harmless one would be quarantined. Therefore each
//! upstream runs at most one crash suspect at a time. Each router uses its own partition of a pool's upstreams for
//! them, as far as there are enough upstreams.

use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use super::{PoolKey, Pools};
use crate::health::Permit;
use crate::ids::{RouteKey, UpstreamKey};
use crate::router::Shared;

/// Reservation of an upstream for one crash suspect; dropping it makes the upstream available to the next one.
pub(in crate::router) struct Isolation {
    shared: Rc<Shared>,
    upstream: UpstreamKey,
}

impl Isolation {
    /// Reserves an upstream for one request; returns `None` while none is available.
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

    /// Returns the reserved upstream.
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
    /// Returns all upstreams of a pool except one.
    pub(in crate::router) fn all_except(
        &self,
        pool: PoolKey,
        upstream: UpstreamKey,
    ) -> Vec<UpstreamKey> {
        let members = self.pools.get(&pool).map(|pool| pool.members.as_slice());
        let others = members.unwrap_or_default().iter().copied();
        others.filter(|&member| member != upstream).collect()
    }

    /// Returns the upstreams of a pool that may run a crash suspect, whether they are available or not.
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
            .filter(|&member| self.is_in_own_partition(member));
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

    /// Returns whether an upstream is in the partition of this router.
    fn is_in_own_partition(&self, upstream: UpstreamKey) -> bool {
        let rank = self.routers.iter().position(|&router| router == self.own);
        let hash = xxh3_64(self.names.name(upstream).as_bytes());
        let partition = (hash % self.routers.len().max(1) as u64) as usize;
        rank.is_none_or(|rank| rank == partition)
    }
}
