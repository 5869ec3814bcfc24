//! Tests of the admission queue, the capacity shares and the retry budget.

use monsoonfield::admission::{
    router_share, AdmissionDecision, Departure, PeerLoad, Queue, Request, RetryBudget, ShareLimit,
    SHARE_INCREASE_DELAY_MS,
};
use monsoonfield::contract::Priority;
use monsoonfield::ids::CustomerKey;

fn request(ticket: u64, customer: u32, priority: Priority, deadline_ms: u64) -> Request {
    Request {
        ticket,
        customer: CustomerKey(customer),
        priority,
        deadline_ms,
        service_ms: 1_000,
        cost_tokens: 100,
    }
}

fn queue(slots: u32) -> Queue {
    let mut queue = Queue::default();
    queue.set_slots(slots);
    queue
}

/// Dispatches requests until `slots` are in use; returns their tickets.
fn dispatch_up_to(queue: &mut Queue, slots: usize, now_ms: u64) -> Vec<u64> {
    std::iter::from_fn(|| queue.next(now_ms))
        .take(slots)
        .filter_map(|departure| match departure {
            Departure::Dispatch(request) => Some(request.ticket),
            Departure::Refuse { .. } => None,
        })
        .collect()
}

/// Guards against a request that waits behind lower classes.
#[test]
fn the_higher_class_goes_first() {
    let mut queue = queue(1);
    for (ticket, priority) in [
        (1, Priority::Low),
        (2, Priority::Normal),
        (3, Priority::High),
    ] {
        queue.offer(request(ticket, ticket as u32, priority, 60_000), 0);
    }

    let mut order = Vec::new();
    for _ in 0..3 {
        order.extend(dispatch_up_to(&mut queue, 1, 0));
    }

    assert_eq!(order, [3, 2, 1]);
}

/// Guards against a customer that gets all slots by sending more requests than the others.
#[test]
fn customers_of_one_class_share_the_slots() {
    let mut queue = queue(10);
    for ticket in 0..100 {
        queue.offer(request(ticket, 1, Priority::Normal, 600_000), 0);
    }
    for ticket in 100..110 {
        queue.offer(request(ticket, 2, Priority::Normal, 600_000), 0);
    }

    let order = dispatch_up_to(&mut queue, 10, 0);

    let of_second = order.iter().filter(|&&ticket| ticket >= 100).count();
    assert_eq!((order.len(), of_second), (10, 5));
}

/// Guards against capacity spent on late responses, and against a retry delay that is too short.
#[test]
fn a_request_that_cannot_be_in_time_is_refused_at_once() {
    let mut queue = queue(2);
    for ticket in 0..20 {
        queue.offer(request(ticket, 1, Priority::Normal, 600_000), 0);
    }

    let decision = queue.offer(request(20, 1, Priority::Normal, 5_000), 0);

    // 20 requests of 1 s on 2 slots take 10 s, so the response would be complete 6 s late.
    assert_eq!(
        decision,
        AdmissionDecision::Refused {
            retry_after_ms: 6_000
        }
    );
    assert_eq!(queue.len(), 20);
}

/// Guards against refusing a customer because of another customer's backlog.
#[test]
fn the_backlog_of_one_customer_does_not_refuse_others() {
    let mut queue = queue(2);
    for ticket in 0..200 {
        queue.offer(request(ticket, 1, Priority::Normal, 600_000), 0);
    }

    let decision = queue.offer(request(200, 2, Priority::Normal, 3_000), 0);

    assert_eq!(decision, AdmissionDecision::Queued);
}

/// Guards against the dispatch of a request whose deadline can no longer be met when it leaves the queue.
#[test]
fn a_request_that_became_late_is_not_dispatched() {
    let mut queue = queue(1);
    let late = request(1, 1, Priority::Normal, 2_000);
    queue.offer(late, 0);

    let departure = queue.next(1_500);

    assert!(matches!(departure, Some(Departure::Refuse { request, .. }) if request == late));
    assert!(queue.is_empty());
}

/// Guards against dispatching requests whose caller has disconnected.
#[test]
fn a_cancelled_request_is_not_dispatched() {
    let mut queue = queue(2);
    let requests: Vec<Request> = (0..4)
        .map(|ticket| request(ticket, 1, Priority::Low, 60_000))
        .collect();
    for &request in &requests {
        queue.offer(request, 0);
    }

    let is_removed = queue.cancel(requests[1].ticket);
    let order = dispatch_up_to(&mut queue, 2, 0);

    assert!(is_removed);
    assert!(!queue.cancel(requests[1].ticket));
    assert_eq!((order, queue.len()), (vec![0, 2], 1));
}

/// Guards against a request of the high class that waits because lower classes took the last free slot.
#[test]
fn one_slot_is_reserved_for_the_high_class() {
    let mut queue = queue(16);
    queue.offer(request(1, 1, Priority::High, 60_000), 0);
    queue.offer(request(2, 2, Priority::Normal, 60_000), 1_000);
    queue.set_in_flight(15);

    let first = dispatch_up_to(&mut queue, 1, 1_000);
    let second = dispatch_up_to(&mut queue, 1, 1_000);

    assert_eq!((first, second), (vec![1], vec![]));
}

/// Guards against router shares that exceed the capacity of an upstream or leave slots unused.
#[test]
fn router_shares_add_up_to_the_capacity() {
    for upstream in ["gpu-1", "gpu-2", "desk-1"] {
        for capacity in [0, 1, 8, 9, 64, 100] {
            for routers in [1, 3, 9, 520] {
                let sum: u32 = (0..routers)
                    .map(|rank| router_share(upstream, capacity, routers, rank))
                    .sum();
                assert_eq!(sum, capacity, "{upstream}, {routers} routers");
            }
        }
    }
}

/// Guards against slots that two routers use because one of them saw a membership change first.
#[test]
fn a_share_decreases_at_once_and_increases_after_a_delay() {
    let mut share = ShareLimit::default();
    share.set_share(8, 0);

    let limits = [
        share.limit(&[], SHARE_INCREASE_DELAY_MS - 1),
        share.limit(&[], SHARE_INCREASE_DELAY_MS),
    ];
    share.set_share(6, SHARE_INCREASE_DELAY_MS + 1);
    let after_decrease = share.limit(&[], SHARE_INCREASE_DELAY_MS + 1);

    assert_eq!((limits, after_decrease), ([0, 8], 6));
}

/// Guards against overload of an upstream that still runs requests of a router that has left, and against limits based
/// on outdated reports.
#[test]
fn reports_of_excess_lower_the_limit() {
    let mut share = ShareLimit::default();
    share.set_share(8, 0);
    let gone = PeerLoad {
        requests: 6,
        share: 0,
        at_ms: 10_000,
    };
    let within = PeerLoad {
        requests: 4,
        share: 8,
        at_ms: 10_000,
    };

    let limits = [
        share.limit(&[gone, within], 10_100),
        share.limit(&[gone, within], 16_000),
    ];

    assert_eq!(limits, [6, 8]);
}

/// Guards against retries that multiply the load while upstreams fail.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;

    for _ in 0..10_000 {
        budget.record_request();
        while budget.try_retry() {
            retries += 1;
        }
    }

    assert!(
        (1_000..=1_020).contains(&retries),
        "{retries} retries, expected 1,000 to 1,020"
    );
}
