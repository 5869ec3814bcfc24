//! This router's share of an upstream's capacity.
//!
//! Reports of load are old when they arrive, so limits that are computed from them let all routers fill the same free
//! slots at once. Each router therefore has slots of its own at each upstream; together they are the capacity. Reports
//! only ever lower the limit: when streams of a router that has gone, or of an unknown client, still occupy the
//! upstream.

use xxhash_rust::xxh3::xxh3_64;

/// Time for which a larger share is not used yet.
///
/// A share grows when a router starts or leaves, or the capacity rises. The others must have seen the same change, so
/// that no slot is used twice: a record is in force everywhere within 2 s in a healthy fleet.
pub const SHARE_INCREASE_DELAY_MS: u64 = 2_000;

/// Age of a heartbeat above which it says nothing on the present load.
const HEARTBEAT_TIMEOUT_MS: u64 = 5_000;

/// What a router's newest heartbeat says of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests that the router has outstanding at the upstream.
    pub requests: u32,
    /// Slots of the router at the upstream; 0 for a router that is no longer a member.
    pub share: u32,
    /// Time at which the heartbeat arrived.
    pub at_ms: u64,
}

/// Returns the slots of a router at an upstream.
///
/// `rank` is the position of the router among the `routers` open incarnations, on which all agree. The remainder of the
/// division goes to other routers for each upstream, so that a small capacity does not always miss the same ones.
pub fn router_share(upstream: &str, capacity_requests: u32, routers: u32, rank: u32) -> u32 {
    let routers = routers.max(1);
    let rotation = (xxh3_64(upstream.as_bytes()) % u64::from(routers)) as u32;
    let position = (rank + rotation) % routers;
    capacity_requests / routers + u32::from(position < capacity_requests % routers)
}

/// Part of an upstream's capacity, without regard to the upstream's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityShare {
    /// Requests that the upstream can run at the same time, for the whole fleet.
    pub capacity_requests: u32,
    /// Routers that share the upstream, this one included.
    pub routers: u32,
    /// Position of this router among them, in an order on which all agree.
    pub rank: u32,
}

impl CapacityShare {
    /// Returns the requests that this router may have outstanding whatever the others do.
    ///
    /// The remainder of the division goes to the lowest ranks at every upstream; [`router_share`] spreads it.
    pub fn guaranteed_requests(&self) -> u32 {
        let routers = self.routers.max(1);
        self.capacity_requests / routers + u32::from(self.rank < self.capacity_requests % routers)
    }
}

/// Limit on the requests that this router may have outstanding at one upstream, which follows changes safely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareLimit {
    in_use: u32,
    pending: u32,
    pending_since_ms: u64,
}

impl ShareLimit {
    /// Returns a share that counts at once.
    ///
    /// This is safe where no other router can still use the same slots: for an upstream that is new to the fleet, and
    /// for a router that is the only one.
    pub fn immediate(share: u32) -> Self {
        Self {
            in_use: share,
            pending: share,
            pending_since_ms: 0,
        }
    }

    /// Sets the share; a smaller one counts at once, a larger one after [`SHARE_INCREASE_DELAY_MS`].
    pub fn set_share(&mut self, share: u32, now_ms: u64) {
        if share != self.pending {
            self.pending = share;
            self.pending_since_ms = now_ms;
        }
        self.in_use = self.in_use.min(share);
    }

    /// Returns the requests that this router may have outstanding.
    ///
    /// What `peers` have outstanding above their shares is taken off, in equal parts from all routers.
    pub fn limit(&mut self, peers: &[PeerLoad], now_ms: u64) -> u32 {
        if now_ms >= self.pending_since_ms + SHARE_INCREASE_DELAY_MS {
            self.in_use = self.pending;
        }
        let excess: u32 = peers
            .iter()
            .filter(|peer| now_ms < peer.at_ms + HEARTBEAT_TIMEOUT_MS)
            .map(|peer| peer.requests.saturating_sub(peer.share))
            .sum();
        let routers = peers.len() as u32 + 1;
        self.in_use.saturating_sub(excess.div_ceil(routers))
    }
}
