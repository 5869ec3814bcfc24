//! Orders to evacuate data centres, without a network.

use monsoonfield::evacuation::{EvacuationOrders, OrderChange, OrderRecord, RESTORE_GRACE_MS};
use monsoonfield::platform::documents;

const NAME: &str = "kv-a";

fn begun() -> OrderChange {
    OrderChange::Begun(NAME.into())
}

fn ended() -> OrderChange {
    OrderChange::Ended(NAME.into())
}

fn missing() -> OrderChange {
    OrderChange::Missing(NAME.into())
}

fn evacuated() -> EvacuationOrders {
    let mut orders = EvacuationOrders::default();
    assert_eq!(orders.apply_change(NAME, true), Some(begun()));
    orders
}

fn snapshot(
    orders: &mut EvacuationOrders,
    record: Option<OrderRecord>,
    is_restored: bool,
    now_ms: u64,
) -> Vec<OrderChange> {
    let records: Vec<_> = record
        .map(|record| (NAME.into(), record))
        .into_iter()
        .collect();
    orders.apply_snapshot(&records, is_restored, now_ms)
}

/// Guards against an order that is lost or outlives its withdrawal: repeated, read again from a snapshot, followed by a
/// value that cannot be decoded, or withdrawn while no change was read.
#[test]
fn an_order_holds_until_it_is_withdrawn() {
    let ordered = Some(OrderRecord::Ordered);
    for (record, holds) in [
        (ordered, true),
        (Some(OrderRecord::Invalid), true),
        (Some(OrderRecord::Withdrawn), false),
        (None, false),
    ] {
        let mut orders = evacuated();
        assert_eq!(orders.apply_change(NAME, true), None);
        snapshot(&mut orders, record, false, 1_000);
        assert_eq!(orders.is_evacuated(NAME), holds, "{record:?}");
    }
    let mut orders = evacuated();
    assert_eq!(orders.apply_change(NAME, false), Some(ended()));
    assert!(!orders.is_evacuated(NAME) && orders.is_empty());
}

/// Guards against a value that evacuates a data centre although no order can be decoded from it.
#[test]
fn a_value_that_is_not_an_object_changes_nothing() {
    for (value, expected) in [
        (Some(&b"{}"[..]), OrderRecord::Ordered),
        (Some(b"{\"reason\": \"heat\"}"), OrderRecord::Ordered),
        (Some(b"[]"), OrderRecord::Invalid),
        (Some(b"true"), OrderRecord::Invalid),
        (Some(b"{"), OrderRecord::Invalid),
        (None, OrderRecord::Withdrawn),
    ] {
        assert_eq!(documents::decode_evacuation(value), expected, "{value:?}");
    }
    let mut orders = EvacuationOrders::default();
    let changes = snapshot(&mut orders, Some(OrderRecord::Invalid), false, 0);
    assert!(changes.is_empty() && orders.is_empty());
}

/// Guards against requests to an evacuated data centre after the store returned from a copy that is older than the
/// order, also if the history is compacted or the store returns again before the order is written again; and against an
/// order that holds for ever after a withdrawal that was lost as well.
#[test]
fn an_order_that_a_copy_of_the_store_lacks_holds_until_it_can_be_written_again() {
    for record in [None, Some(OrderRecord::Withdrawn)] {
        let mut orders = evacuated();
        assert_eq!(snapshot(&mut orders, record, true, 1_000), [missing()]);
        assert!(snapshot(&mut orders, record, false, 3_000).is_empty());
        assert_eq!(snapshot(&mut orders, record, true, 6_000), [missing()]);
        let end_ms = 6_000 + RESTORE_GRACE_MS;
        assert!(orders.expire(end_ms - 1).is_empty() && orders.is_evacuated(NAME));
        assert_eq!(orders.expire(end_ms), [ended()]);
        assert!(!orders.is_evacuated(NAME));
    }
}

/// Guards against the end of an order that was written again after a return of the store, and against one that stays
/// although it was withdrawn meanwhile.
#[test]
fn what_the_operator_writes_after_a_return_counts() {
    for is_ordered in [true, false] {
        let mut orders = evacuated();
        snapshot(&mut orders, None, true, 1_000);
        orders.apply_change(NAME, is_ordered);
        orders.expire(1_000 + RESTORE_GRACE_MS);
        assert_eq!(orders.is_evacuated(NAME), is_ordered);
    }
    let mut orders = evacuated();
    snapshot(&mut orders, None, true, 1_000);
    snapshot(&mut orders, Some(OrderRecord::Ordered), false, 2_000);
    orders.expire(1_000 + RESTORE_GRACE_MS);
    assert!(orders.is_evacuated(NAME));
}
