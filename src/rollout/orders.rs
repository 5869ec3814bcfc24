//! Orders to load versions: who may give them, and when they are due.
//!
//! The log offset of an `Order` record is its fencing token. An upstream that ignores the token could act on an order
//! of a process that was replaced, so such upstreams get orders from one process at a time, and a successor waits until
//! the previous order can no longer be on its way.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, Offset};
use crate::record;

/// Newest order of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Offset of the order: its fencing token.
    pub fence: Offset,
    /// Incarnation that gives the order.
    pub writer: IncarnationId,
    /// Version to load.
    pub version: CompactString,
    /// Time after which the order is no longer on its way.
    pub valid_ms: u64,
}

/// Newest order of every upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    orders: BTreeMap<CompactString, OrderState>,
}

impl Orders {
    /// Takes an order; it replaces the previous one of the same upstream.
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

    /// Returns the newest order of an upstream.
    pub fn get(&self, upstream: &str) -> Option<&OrderState> {
        self.orders.get(upstream)
    }

    /// Returns the time from which `writer` may send an order to an upstream that ignores fencing.
    ///
    /// `folded_ms` is the time at which this process folded the newest order; the process that wrote it may send at
    /// once. An upstream that checks fencing takes orders at any time.
    pub fn earliest_order_ms(&self, upstream: &str, writer: IncarnationId, folded_ms: u64) -> u64 {
        match self.orders.get(upstream) {
            Some(order) if order.writer != writer => folded_ms + order.valid_ms,
            _ => 0,
        }
    }
}

/// Limits of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightStoreLimits {
    /// Bytes per second that the store sends to all upstreams together.
    pub bytes_per_second: u64,
    /// Downloads that it serves at the same time.
    pub concurrent_downloads: u32,
}

/// When the upstreams of a rollout must be told to load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderPlan {
    /// Time at which the first order is due.
    pub start_ms: u64,
    /// Times at which the orders are due, in the order of the upstreams.
    pub due_ms: Vec<u64>,
    /// Time at which the last upstream is expected to be ready.
    pub ready_ms: u64,
    /// Whether this is in time.
    pub is_in_time: bool,
}

/// Plans the orders so that `upstreams` are ready at `needed_ms`.
///
/// The store is the bottleneck: it serves `concurrent` downloads at a time, each at an equal part of its rate. The plan
/// works backwards from the time of need, with a margin of a quarter for refused and repeated downloads.
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
    let whole_ms = waves.saturating_mul(load_ms).saturating_add(start_up_ms);
    let start_ms = needed_ms.saturating_sub(whole_ms).max(now_ms);
    let due_ms = (0..upstreams)
        .map(|index| start_ms + (index / concurrent) as u64 * load_ms)
        .collect();
    let ready_ms = start_ms.saturating_add(whole_ms);
    OrderPlan {
        start_ms,
        due_ms,
        ready_ms,
        is_in_time: ready_ms <= needed_ms,
    }
}
