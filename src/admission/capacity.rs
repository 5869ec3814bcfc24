//! This router's share of an upstream's capacity.
//!
//! Load reports are out of date when they arrive, so with limits computed from them alone, all routers would fill the
//! same free slots at once. Instead, the capacity of each upstream is divided among the routers. Load reports only ever
//! lower a router's limit: when requests of a router that has left, or of an unknown client, still occupy the upstream.

use xxhash_rust::xxh3::xxh3_64;

/// Delay before an increased share takes effect.
///
/// A share grows when a router starts or leaves, or when the capacity rises. The other routers must have seen the same
/// change by then, so that no slot is used twice: in a healthy fleet a record is in force everywhere within 2 s.
pub const SHARE_INCREASE_DELAY_MS: u64 = 2_000;

/// Age above which a heartbeat is ignored, because it no longer describes the current load.
const HEARTBEAT_TIMEOUT_MS: u64 = 5_000;

/// Load that another router reported for one upstream in its newest heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests that the router has in flight at the upstream.
    pub requests: u32,
    /// Share of the upstream's slots that belongs to the router; 0 for a router that is no longer a member.
    pub share: u32,
    /// Time at which the heartbeat arrived.
    pub at_ms: u64,
}

/// Returns a router's share of an upstream's capacity, in requests.
///
/// `rank` is the position of the router among the `routers` open incarnations, in an order on which all routers agree.
/// The remainder of the division is rotated by a hash of the upstream's name, so that with small capacities the same
/// routers do not always go without a slot.
pub fn router_share(upstream: &str, capacity_requests: u32, routers: u32, rank: u32) -> u32 {
    let routers = routers.max(1);
    let rotation = (xxh3_64(upstream.as_bytes()) % u64::from(routers)) as u32;
    let position = (rank + rotation) % routers;
    capacity_requests / routers + u32::from(position < capacity_requests % routers)
}

/// Division of an upstream's capacity that does not depend on the upstream's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityShare {
    /// Requests that the upstream can run concurrently, for the whole fleet.
    pub capacity_requests: u32,
    /// Routers that share the upstream, this one included.
    pub routers: u32,
    /// Position of this router among them, in an order on which all routers agree.
    pub rank: u32,
}

impl CapacityShare {
    /// Returns the requests that this router may always have in flight, whatever the other routers do.
    ///
    /// The remainder of the division goes to the lowest ranks at every upstream; [`router_share`] spreads it.
    pub fn guaranteed_requests(&self) -> u32 {
        let routers = self.routers.max(1);
        self.capacity_requests / routers + u32::from(self.rank < self.capacity_requests % routers)
    }
}

/// Limit on the requests that this router may have in flight at one upstream.
///
/// A decrease of the share takes effect at once, an increase after [`SHARE_INCREASE_DELAY_MS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareLimit {
    in_use: u32,
    pending: u32,
    pending_since_ms: u64,
}

impl ShareLimit {
    /// Returns a limit with a share that takes effect at once.
    ///
    /// This is safe if no other router can still use the same slots: for an upstream that is new to the fleet, and for
    /// the only router of a fleet.
    pub fn immediate(share: u32) -> Self {
        Self {
            in_use: share,
            pending: share,
            pending_since_ms: 0,
        }
    }

    /// Sets the share; a decrease takes effect at once, an increase after [`SHARE_INCREASE_DELAY_MS`].
    pub fn set_share(&mut self, share: u32, now_ms: u64) {
        if share != self.pending {
            self.pending = share;
            self.pending_since_ms = now_ms;
        }
        self.in_use = self.in_use.min(share);
    }

    /// Returns the number of requests that this router may have in flight.
    ///
    /// Requests that `peers` have in flight above their shares are subtracted, in equal parts from all routers.
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
