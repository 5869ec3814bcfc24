//! This router's share of an upstream's capacity.

/// What a peer's newest heartbeat says of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Requests that the peer has outstanding at the upstream.
    pub requests: u32,
}

/// Limit on the requests that this router may have outstanding at one upstream.
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
    /// The remainder of the division goes to the routers of the lowest rank, so that the shares add up to the capacity.
    pub fn guaranteed_requests(&self) -> u32 {
        let routers = self.routers.max(1);
        let base = self.capacity_requests / routers;
        base + u32::from(self.rank < self.capacity_requests % routers)
    }
}
