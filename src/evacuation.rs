//! Orders of operators to keep requests away from the upstreams of a data centre.
//!
//! An order holds from the record that gives it until the record that withdraws it, or until a snapshot of the store
//! does not show it any more. The store may return from an older copy that lacks an order, so an order that is missing
//! after a return holds for [`RESTORE_GRACE_MS`] more, in which the operator writes it again. See
//! `docs/design/evacuation.md`.

use compact_str::CompactString;

use crate::collections::FastMap;

/// Time for which an order holds that is missing after the store returned from an older copy; within it operators have
/// written again what the copy lacks, as stated by the platform.
pub const RESTORE_GRACE_MS: u64 = 10_000;

/// What a record says about a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRecord {
    /// Requests must not reach its upstreams.
    Ordered,
    /// The order was withdrawn.
    Withdrawn,
    /// The value cannot be decoded, which changes nothing.
    Invalid,
}

/// Effect of records, or of the time, on the orders in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderChange {
    /// An order for this data centre came into force.
    Begun(CompactString),
    /// The order for this data centre no longer holds.
    Ended(CompactString),
    /// The order for this data centre is missing after a return of the store, and still holds for some time.
    Missing(CompactString),
}

/// State of an order in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderState {
    /// The newest record gives the order.
    Confirmed,
    /// The order is missing since the store returned from an older copy.
    Missing { until_ms: u64 },
}

/// Orders in force, by data centre.
#[derive(Clone, Debug, Default)]
pub struct EvacuationOrders {
    orders: FastMap<CompactString, OrderState>,
}

impl EvacuationOrders {
    /// Returns whether no order is in force.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Returns the number of data centres that are evacuated.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Returns whether requests must not reach the upstreams of a data centre.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.orders.contains_key(data_centre)
    }

    /// Applies a record that was written since the last read; an order that is repeated is one order.
    pub fn apply_change(&mut self, data_centre: &str, is_ordered: bool) -> Option<OrderChange> {
        if !is_ordered {
            let ended = self.orders.remove(data_centre);
            return ended.map(|_| OrderChange::Ended(data_centre.into()));
        }
        let known = self
            .orders
            .insert(data_centre.into(), OrderState::Confirmed);
        known
            .is_none()
            .then(|| OrderChange::Begun(data_centre.into()))
    }

    /// Applies the records of a snapshot; `is_restored` tells whether it is the first one that was read after the store
    /// returned from an older copy. Returns the changes in the order of the names.
    pub fn apply_snapshot(
        &mut self,
        records: &[(CompactString, OrderRecord)],
        is_restored: bool,
        now_ms: u64,
    ) -> Vec<OrderChange> {
        let is_shown = |data_centre: &str| {
            let mut records = records.iter();
            records.any(|(name, record)| {
                name == data_centre && !matches!(record, OrderRecord::Withdrawn)
            })
        };
        let mut changes = Vec::new();
        self.orders.retain(|data_centre, state| {
            if is_shown(data_centre) {
                *state = OrderState::Confirmed;
                return true;
            }
            match state {
                OrderState::Confirmed if !is_restored => {
                    changes.push(OrderChange::Ended(data_centre.clone()));
                    return false;
                }
                // A snapshot of the same copy shows no more than the one before.
                OrderState::Missing { .. } if !is_restored => {}
                _ => {
                    let until_ms = now_ms + RESTORE_GRACE_MS;
                    *state = OrderState::Missing { until_ms };
                    changes.push(OrderChange::Missing(data_centre.clone()));
                }
            }
            true
        });
        for (data_centre, record) in records {
            if *record == OrderRecord::Ordered {
                changes.extend(self.apply_change(data_centre, true));
            }
        }
        changes.sort_by(|a, b| a.data_centre().cmp(b.data_centre()));
        changes
    }

    /// Ends the orders that were not written again in time after a return of the store.
    pub fn expire(&mut self, now_ms: u64) -> Vec<OrderChange> {
        let mut changes = Vec::new();
        self.orders.retain(|data_centre, state| {
            let holds = match state {
                OrderState::Confirmed => true,
                OrderState::Missing { until_ms } => now_ms < *until_ms,
            };
            if !holds {
                changes.push(OrderChange::Ended(data_centre.clone()));
            }
            holds
        });
        changes.sort_by(|a, b| a.data_centre().cmp(b.data_centre()));
        changes
    }
}

impl OrderChange {
    /// Returns the data centre that the change concerns.
    pub fn data_centre(&self) -> &CompactString {
        match self {
            Self::Begun(data_centre) | Self::Ended(data_centre) | Self::Missing(data_centre) => {
                data_centre
            }
        }
    }
}
