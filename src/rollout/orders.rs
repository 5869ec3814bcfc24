//! Orders to load versions: which process may give them, and when they are due.
//!
//! The log offset of an `Order` record is its fencing token. An upstream that ignores the token could execute an order
//! of a process that has been replaced. Such upstreams therefore get orders from one process at a time, and a successor
//! waits until the previous order can no longer be in flight.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, Offset};
use crate::record;

/// Newest order for one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Log offset of the order, which is its fencing token.
    pub fence: Offset,
    /// Incarnation that wrote the order.
    pub writer: IncarnationId,
    /// Version to load.
    pub version: CompactString,
    /// Time for which the order may still be in flight, counted from the fold of its record.
    pub valid_ms: u64,
}

/// Newest order for every upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    orders: BTreeMap<CompactString, OrderState>,
}

impl Orders {
    /// Applies an order, which replaces the previous one for the same upstream.
    pub fn apply(&mut self, offset: Offset, writer: IncarnationId, entry: &record::Order) {
        self.orders.insert(
            entry.upstream.as_str().into(),
            OrderState {
                fence: offset,
                writer,
                version: entry.version.as_str().into(),
                valid_ms: entry.valid_ms,
            },
        );
    }

    /// Returns the newest order for an upstream.
    pub fn get(&self, upstream: &str) -> Option<&OrderState> {
        self.orders.get(upstream)
    }

    /// Returns the time from which `writer` may send an order to an upstream that ignores fencing tokens.
    ///
    /// `folded_ms` is the time at which this process folded the newest order. The process that wrote it may send at
    /// once. An upstream that checks fencing tokens may be sent orders at any time.
    pub fn earliest_order_ms(&self, upstream: &str, writer: IncarnationId, folded_ms: u64) -> u64 {
        match self.orders.get(upstream) {
            Some(order) if order.writer != writer => folded_ms + order.valid_ms,
            _ => 0,
        }
    }
}

/// Throughput limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightStoreLimits {
    /// Bytes per second that the store sends to all upstreams together.
    pub bytes_per_second: u64,
    /// Downloads that the store serves concurrently.
    pub concurrent_downloads: u32,
}

/// Schedule of the load orders of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderPlan {
    /// Time at which the first order is due.
    pub start_ms: u64,
    /// Times at which the orders are due, one per upstream.
    pub due_ms: Vec<u64>,
    /// Time at which the last upstream is expected to be ready.
    pub ready_ms: u64,
    /// Whether all upstreams are expected to be ready in time.
    pub is_in_time: bool,
}

/// Plans the load orders so that `upstreams` are ready at `needed_ms`.
///
/// The weight store is the bottleneck: it serves a limited number of concurrent downloads, each at an equal part of its
/// rate. The plan works backwards from `needed_ms`, with a margin of a quarter for refused and repeated downloads.
pub fn plan_load_orders(
    upstreams: usize,
    weight_bytes: u64,
    start_up_ms: u64,
    limits: WeightStoreLimits,
    needed_ms: u64,
    now_ms: u64,
) -> OrderPlan {
    let concurrent = limits.concurrent_downloads.max(1) as usize;
    let rate = (limits.bytes_per_second / concurrent as u64).max(1);
    let load_ms = weight_bytes.saturating_mul(1_000) / rate;
    let load_ms = load_ms.saturating_add(load_ms / 4).max(1);
    let waves = upstreams.div_ceil(concurrent) as u64;
    let total_ms = waves.saturating_mul(load_ms).saturating_add(start_up_ms);
    let start_ms = needed_ms.saturating_sub(total_ms).max(now_ms);
    let due_ms = (0..upstreams)
        .map(|index| start_ms + (index / concurrent) as u64 * load_ms)
        .collect();
    let ready_ms = start_ms.saturating_add(total_ms);
    OrderPlan {
        start_ms,
        due_ms,
        ready_ms,
        is_in_time: ready_ms <= needed_ms,
    }
}
