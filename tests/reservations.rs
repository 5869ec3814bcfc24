//! Reservations at other routers whose messages are lost, repeated and reordered.

use monsoonfield::reservations::{
    Admission, RepeatQueue, ReservationBook, Settled, SETTLEMENT_GRACE_MS,
};

const EXPIRES_MS: u64 = 5_000;

fn book_with(id: u64, tokens: u64) -> ReservationBook {
    let mut book = ReservationBook::default();
    assert!(book.grant(id, tokens, EXPIRES_MS));
    book
}

/// Guards against tokens that are returned twice because a settlement is repeated until it is acknowledged.
#[test]
fn a_reservation_is_settled_once() {
    let mut book = book_with(1, 1_000);
    let first = book.settle(1, 400, 100);
    let copy = book.settle(1, 400, 200);
    let expected = Settled {
        reserved_tokens: 1_000,
        charge_tokens: 400,
    };
    assert_eq!(first, Some(expected));
    assert_eq!(copy, None);
    assert_eq!(book.expire(EXPIRES_MS), []);
}

/// Guards against tokens that stay reserved for nobody because a request for tokens arrives twice.
#[test]
fn a_repeated_request_reserves_nothing_more() {
    let mut book = ReservationBook::default();
    assert_eq!(book.admit(1), Admission::New);
    book.wait(1, EXPIRES_MS);
    assert_eq!(book.admit(1), Admission::Waiting);
    assert!(book.grant(1, 1_000, EXPIRES_MS));
    assert_eq!(book.admit(1), Admission::Granted);
    book.settle(1, 1_000, 100);
    assert_eq!(book.admit(1), Admission::Refused, "a copy that comes late");
}

/// Guards against tokens that stay reserved because the settlement of an abandoned request overtook the request.
#[test]
fn a_settlement_that_overtakes_its_request_prevents_the_reservation() {
    let mut book = ReservationBook::default();
    assert_eq!(book.settle(1, 0, 100), None);
    assert_eq!(book.admit(1), Admission::Refused);
    let mut waiting = ReservationBook::default();
    waiting.wait(2, EXPIRES_MS);
    assert_eq!(waiting.settle(2, 0, 100), None);
    assert!(
        !waiting.grant(2, 1_000, EXPIRES_MS),
        "the request was abandoned while it waited"
    );
}

/// Guards against returning tokens that a vanished router may have let its callers use.
#[test]
fn an_unsettled_reservation_is_charged_in_full_after_its_request_must_have_ended() {
    let mut book = book_with(1, 1_000);
    assert_eq!(book.expire(EXPIRES_MS - 1), []);
    let charged = book.expire(EXPIRES_MS);
    let expected = Settled {
        reserved_tokens: 1_000,
        charge_tokens: 1_000,
    };
    assert_eq!(charged, [expected]);
    assert_eq!(book.settle(1, 0, EXPIRES_MS + 1), None, "too late");
    assert_eq!(book.open_count(), 0);
}

/// Guards against a charge above what was reserved, which no journal entry covers.
#[test]
fn a_charge_is_limited_to_what_was_reserved() {
    let mut book = book_with(1, 1_000);
    let settled = book.settle(1, 5_000, 100).expect("open");
    assert_eq!(settled.charge_tokens, 1_000);
}

/// Guards against memory that grows with the number of requests that a holder has ever served.
#[test]
fn settled_reservations_are_forgotten() {
    let mut book = ReservationBook::default();
    for id in 0..1_000 {
        assert!(book.grant(id, 10, EXPIRES_MS));
        book.settle(id, 10, 100);
    }
    assert_eq!(book.admit(1), Admission::Refused);
    book.expire(EXPIRES_MS);
    assert_eq!(book.admit(1), Admission::New);
}

/// Guards against requests without end that use up the memory of a holder.
#[test]
fn a_holder_remembers_a_bounded_number_of_reservations() {
    let mut book = ReservationBook::default();
    let admitted = (0..1_000_000).take_while(|id| {
        let is_new = book.admit(*id) == Admission::New;
        is_new && book.grant(*id, 1, EXPIRES_MS)
    });
    let count = admitted.count();
    assert!(count < 100_000, "{count}");
    assert_eq!(book.settle(2_000_000, 0, 0), None);
    assert_eq!(book.admit(2_000_000), Admission::Refused);
}

/// Guards against settlements that are lost with one datagram, which charges the team the most that a request may cost.
#[test]
fn a_settlement_is_repeated_until_it_is_acknowledged() {
    let mut queue = RepeatQueue::default();
    queue.push(7, "charge", 0);
    let mut sends = Vec::new();
    for now_ms in 0..1_000 {
        if !queue.take_due(now_ms).send.is_empty() {
            sends.push(now_ms);
        }
    }
    assert_eq!(sends, [0, 40, 120, 280, 600]);
    queue.acknowledge(7);
    assert!(queue.is_empty());
    assert_eq!(queue.next_due_ms(), None);
}

/// Guards against settlements to a router that never returns, which would be sent for ever.
#[test]
fn a_settlement_is_given_up_once_its_holder_charges_in_full() {
    let mut queue = RepeatQueue::default();
    queue.push(7, "charge", 0);
    let due = queue.take_due(SETTLEMENT_GRACE_MS);
    assert_eq!(due.given_up, [7]);
    assert!(queue.is_empty());
}
