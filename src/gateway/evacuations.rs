//! Evacuation of data centres: orders from the operator's feed, and their effect on the choice of upstreams.

use std::cell::RefCell;

use compact_str::CompactString;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::watch::Batch;
use super::Shared;
use crate::directory::UpstreamEntry;
use crate::evacuation::{EvacuationOrders, OrderChange, OrderRecord};
use crate::platform::documents;
use crate::store::{Record, Store};

/// Reason of a refusal, because nothing else is left of the service.
pub(super) const EVACUATED_REASON: &str =
    "all data centres with upstreams of the service are evacuated";

/// Time after which a caller may come back; an evacuation lasts some seconds at least, and callers that come back much
/// later than its end wait for nothing.
pub(super) const RETRY_AFTER_EVACUATION_MS: u64 = 1_000;

/// Maximum number of invalid records that are remembered, so that each is logged once.
const MAX_INVALID: usize = 64;

/// Orders in force, and what was logged about them.
#[derive(Default)]
pub(super) struct Evacuations {
    orders: RefCell<EvacuationOrders>,
    /// Hashes of the invalid records that were logged.
    invalid: RefCell<Vec<u64>>,
    /// Data centres whose upstreams have not been looked up since the order.
    unchecked: RefCell<Vec<CompactString>>,
}

/// Returns whether an upstream is in an evacuated data centre.
pub(super) fn is_evacuated(shared: &Shared, entry: &UpstreamEntry) -> bool {
    let orders = shared.evacuations.orders.borrow();
    orders.is_evacuated(&entry.data_centre)
}

/// Returns whether a service has upstreams and all of them are in evacuated data centres.
pub(super) fn is_service_evacuated(shared: &Shared, service: &str) -> bool {
    if shared.evacuations.orders.borrow().is_empty() {
        return false;
    }
    let directory = shared.directory.borrow();
    let mut serving = directory.serving(service).peekable();
    serving.peek().is_some() && serving.all(|(_, entry)| is_evacuated(shared, entry))
}

/// Applies the orders among records of the operator's feed.
pub(super) fn apply(shared: &Shared, batch: &Batch) {
    let orders = batch.records.iter().filter_map(|record| {
        let data_centre = documents::evacuated_data_centre(&record.key)?;
        let order = documents::decode_evacuation(record.value.as_deref());
        if order == OrderRecord::Invalid {
            log_invalid(shared, record);
        }
        Some((CompactString::from(data_centre), order))
    });
    let records: Vec<_> = orders.collect();
    let mut orders = shared.evacuations.orders.borrow_mut();
    let changes = if batch.is_snapshot {
        orders.apply_snapshot(&records, batch.is_restored, shared.now_ms())
    } else {
        let valid = records
            .iter()
            .filter(|(_, record)| *record != OrderRecord::Invalid);
        valid
            .filter_map(|(data_centre, record)| {
                orders.apply_change(data_centre, *record == OrderRecord::Ordered)
            })
            .collect()
    };
    drop(orders);
    record_changes(shared, changes);
}

/// Ends orders that were not written again after a return of the store, and logs orders without effect.
pub(super) fn tidy(shared: &Shared) {
    let ended = {
        let mut orders = shared.evacuations.orders.borrow_mut();
        orders.expire(shared.now_ms())
    };
    record_changes(shared, ended);
    if !shared.is_directory_loaded.get() {
        return;
    }
    for data_centre in shared.evacuations.unchecked.take() {
        if !shared.directory.borrow().has_data_centre(&data_centre) {
            log::warn!(
                step = "evacuation", data_centre = data_centre.as_str(), at_ms = shared.now_ms();
                "the evacuated data centre has no upstreams, the order is kept for those that may appear"
            );
        }
    }
}

fn record_changes(shared: &Shared, changes: Vec<OrderChange>) {
    if changes.is_empty() {
        return;
    }
    let count = shared.evacuations.orders.borrow().len();
    shared.metrics.set("data_centres_evacuated", count as u64);
    for change in changes {
        let (is_evacuated, text) = match &change {
            OrderChange::Begun(_) => (true, "new requests are kept away from the data centre"),
            OrderChange::Ended(_) => (false, "the data centre gets new requests again"),
            OrderChange::Missing(_) => (
                true,
                "the order is missing since the store returned from an older copy, and holds for some time",
            ),
        };
        log::info!(
            step = "evacuation", data_centre = change.data_centre().as_str(),
            evacuated = is_evacuated, store_epoch = shared.store.epoch(), at_ms = shared.now_ms();
            "{text}"
        );
        if let OrderChange::Begun(data_centre) = change {
            shared.evacuations.unchecked.borrow_mut().push(data_centre);
        }
    }
}

fn log_invalid(shared: &Shared, record: &Record) {
    let key_hash = xxh3_64_with_seed(record.key.as_bytes(), 0);
    let hash = xxh3_64_with_seed(record.value.as_deref().unwrap_or_default(), key_hash);
    let mut invalid = shared.evacuations.invalid.borrow_mut();
    if invalid.contains(&hash) {
        return;
    }
    if invalid.len() >= MAX_INVALID {
        invalid.remove(0);
    }
    invalid.push(hash);
    log::warn!(
        step = "evacuation", key = record.key.as_str();
        "ignored an order whose value is not a JSON object"
    );
}
