//! Tests of the budget ledger.

use monsoonfield::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use monsoonfield::ledger::{BillEffect, Ledger};
use monsoonfield::record::Draw;

const CUSTOMER: CustomerKey = CustomerKey(0);
const HOLDER: IncarnationId = IncarnationId(7);

fn ledger_with_total(total_tokens: u64) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.set_prepaid(CUSTOMER, total_tokens);
    ledger
}

fn draw(amount_tokens: u64) -> Draw {
    Draw {
        grant: HOLDER.0,
        amount_tokens,
    }
}

/// Guards against grants that together exceed the prepaid total.
#[test]
fn grants_stay_within_the_prepaid_total() {
    let mut ledger = ledger_with_total(100);

    ledger.grant(CUSTOMER, HOLDER, 80);
    ledger.grant(CUSTOMER, IncarnationId(8), 80);

    let budget = ledger.budget(CUSTOMER).expect("the budget exists");
    let granted: u64 = budget
        .grants
        .values()
        .map(|grant| grant.granted_tokens)
        .sum();
    assert_eq!(granted, 100);
    assert_eq!(budget.unallocated_tokens(), 0);
}

/// Guards against a second charge for a request that its caller retried at another router.
#[test]
fn a_request_is_billed_once() {
    let mut ledger = ledger_with_total(100);
    ledger.grant(CUSTOMER, HOLDER, 50);
    let key = RequestKey(1);

    let first = ledger.bill(CUSTOMER, key, Fingerprint(1), &[draw(10)]);
    let second = ledger.bill(CUSTOMER, key, Fingerprint(1), &[draw(10)]);

    assert_eq!(first, BillEffect::Counted);
    assert_eq!(second, BillEffect::Duplicate);
    let budget = ledger.budget(CUSTOMER).expect("the budget exists");
    assert_eq!(budget.billed_tokens(), 10);
}
