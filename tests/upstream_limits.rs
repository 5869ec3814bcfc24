//! Limits on the rate of requests that upstreams state, and their coordinators.

use monsoonfield::upstream_limits::{Grant, LimitNotice, UpstreamLimits, Weight, WINDOW_MS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const UPSTREAM: &str = "i-1";

/// Limit of three and a half requests a second.
const LIMIT_MILLI_PER_S: u64 = 3_500;

/// Requests that the platform tolerates in a window: one and a half times the limit, and five more.
fn tolerated(limit_milli_per_s: u64) -> u64 {
    limit_milli_per_s * WINDOW_MS / 1_000 * 3 / 2 / 1_000 + 5
}

fn limits_known_since(known_ms: u64, now_ms: u64) -> UpstreamLimits {
    let mut limits = UpstreamLimits::default();
    let notice = LimitNotice {
        limit_milli_per_s: Some(LIMIT_MILLI_PER_S),
        known_ms,
    };
    limits.record_notice(UPSTREAM, notice, now_ms);
    limits
}

fn is_granted(limits: &mut UpstreamLimits, id: u64, now_ms: u64) -> bool {
    limits.grant(UPSTREAM, id, Weight::Heavy, now_ms) == Grant::Granted
}

/// Returns the most grants within a window.
fn busiest_window(grants_ms: &[u64]) -> u64 {
    let counts = grants_ms.iter().map(|start_ms| {
        let within = grants_ms
            .iter()
            .filter(|at_ms| **at_ms >= *start_ms && **at_ms < start_ms + WINDOW_MS);
        within.count() as u64
    });
    counts.max().unwrap_or(0)
}

/// Guards against more requests than an upstream tolerates, however the requests of the fleet arrive, and against using
/// much less than it takes.
#[test]
fn a_coordinator_grants_what_the_upstream_tolerates_and_hardly_less() {
    for limit_milli_per_s in [200, 1_100, LIMIT_MILLI_PER_S, 30_000] {
        let mut random = Pcg64Mcg::seed_from_u64(limit_milli_per_s);
        let mut limits = UpstreamLimits::default();
        limits.record_response(UPSTREAM, Some(limit_milli_per_s), 0);
        let mut grants_ms = Vec::new();
        for now_ms in 0..40_000 {
            // Calm and pressed phases of three seconds each.
            let per_s = if now_ms / 3_000 % 2 == 0 { 5 } else { 400 };
            if random.random_range(0..1_000) < per_s && is_granted(&mut limits, now_ms + 1, now_ms)
            {
                grants_ms.push(now_ms);
            }
        }
        let busiest = busiest_window(&grants_ms);
        let tolerated = tolerated(limit_milli_per_s);
        assert!(
            busiest <= tolerated,
            "limit {limit_milli_per_s}: {busiest} of {tolerated}"
        );
        assert!(
            busiest * 10 >= tolerated * 8,
            "limit {limit_milli_per_s}: {busiest} of {tolerated}"
        );
    }
}

/// Guards against a second set of requests in the same window when another router becomes the coordinator: it
/// restarted, or the views of the fleet differ.
#[test]
fn two_coordinators_in_turn_grant_no_more_than_one() {
    let mut old = limits_known_since(0, 0);
    let mut new = limits_known_since(0, 0);
    let mut grants_ms = Vec::new();
    for now_ms in 0..20_000 {
        // From 8 s on the first routers ask the new coordinator, and up to 10 s the last ones ask the old one.
        let asks_old = now_ms < 8_000 || (now_ms < 10_000 && now_ms % 2 == 0);
        let coordinator = if asks_old { &mut old } else { &mut new };
        if is_granted(coordinator, now_ms + 1, now_ms) {
            grants_ms.push(now_ms);
        }
    }
    let busiest = busiest_window(&grants_ms);
    assert!(busiest <= tolerated(LIMIT_MILLI_PER_S), "{busiest}");
    assert!(
        grants_ms.iter().any(|at_ms| *at_ms > 10_000),
        "the new coordinator grants"
    );
}

/// Guards against a restarted coordinator that forgets what its predecessor granted, and against an upstream that gets
/// nothing for seconds after it named its limit.
#[test]
fn only_a_coordinator_without_predecessor_grants_at_once() {
    let mut first = limits_known_since(20, 50_000);
    assert!(is_granted(&mut first, 1, 50_010));
    let mut restarted = limits_known_since(6_000, 700);
    assert!(!is_granted(&mut restarted, 1, 710));
    assert!(is_granted(&mut restarted, 2, 710 + 2 * WINDOW_MS));
}

/// Guards against a grant that is counted twice, because its reply was lost and the request for it was repeated.
#[test]
fn a_repeated_request_gets_the_same_grant() {
    let mut limits = limits_known_since(0, 0);
    let mut granted = 0;
    for id in 1..=100 {
        let first = limits.grant(UPSTREAM, id, Weight::Heavy, id);
        granted += u64::from(first == Grant::Granted);
        if first == Grant::Granted {
            assert_eq!(
                limits.grant(UPSTREAM, id, Weight::Heavy, id + 1),
                Grant::Granted
            );
        }
    }
    assert!(
        granted >= tolerated(LIMIT_MILLI_PER_S) * 8 / 10,
        "{granted}"
    );
}

/// Guards against a wait that ends long before the upstream takes the next request, and against asking for nothing in
/// the meantime.
#[test]
fn a_denial_says_when_the_next_request_is_taken() {
    let mut limits = limits_known_since(0, 0);
    let mut id = 0;
    let wait_ms = loop {
        id += 1;
        if let Grant::Denied { wait_ms } = limits.grant(UPSTREAM, id, Weight::Heavy, id) {
            break wait_ms;
        }
    };
    limits.record_denial(UPSTREAM, Weight::Heavy, wait_ms, id);
    assert_eq!(limits.wait_ms(UPSTREAM, id), wait_ms);
    assert!(!limits.may_ask(UPSTREAM, Weight::Heavy, id + 500));
    assert!(
        limits.may_ask(UPSTREAM, Weight::Heavy, id + 1_000),
        "the limit may have ended"
    );
    assert!(is_granted(&mut limits, 1_000, id + wait_ms));
}

/// Guards against a limit that ends because an older response overtook a newer one, that never ends, or that is kept
/// for an upstream that is gone.
#[test]
fn a_limit_ends_with_a_later_response_without_it() {
    let mut limits = UpstreamLimits::default();
    assert!(limits
        .record_response(UPSTREAM, Some(LIMIT_MILLI_PER_S), 1_000)
        .is_some());
    assert!(
        limits
            .record_response(UPSTREAM, Some(LIMIT_MILLI_PER_S), 1_100)
            .is_none(),
        "told already"
    );
    assert!(
        limits.record_response(UPSTREAM, None, 1_200).is_none(),
        "may be older"
    );
    assert_eq!(limits.limit_milli_per_s(UPSTREAM), Some(LIMIT_MILLI_PER_S));
    let end = limits.record_response(UPSTREAM, None, 1_800);
    assert_eq!(end.map(|notice| notice.limit_milli_per_s), Some(None));
    assert!(limits.is_empty());
    limits.record_response(UPSTREAM, Some(0), 2_000);
    assert!(
        is_granted(&mut limits, 1, 2_000),
        "a limit of zero is probed"
    );
    limits.expire(2_000 + 60_000);
    assert_eq!(limits.len(), 0);
}

/// Guards against a gateway that was the coordinator earlier, becomes it again and grants as if nobody had in between.
#[test]
fn a_coordinator_that_was_replaced_in_between_has_missed_grants() {
    let mut limits = limits_known_since(0, 0);
    assert!(is_granted(&mut limits, 1, 10));
    limits.retain_grants(|_| true);
    assert!(is_granted(&mut limits, 2, 20));
    limits.retain_grants(|_| false);
    assert!(!is_granted(&mut limits, 3, 30_000));
    assert!(is_granted(&mut limits, 4, 30_000 + 2 * WINDOW_MS));
}

/// Guards against light requests that use up a limit while heavy ones queue at the upstreams without one: the limit
/// counts requests, not work.
#[test]
fn light_requests_leave_a_part_of_the_limit_to_heavy_ones() {
    let mut limits = limits_known_since(0, 0);
    let light =
        (1..=100).filter(|id| limits.grant(UPSTREAM, *id, Weight::Light, 10) == Grant::Granted);
    let light = light.count() as u64;
    let heavy = (101..=200)
        .filter(|id| is_granted(&mut limits, *id, 20))
        .count() as u64;
    assert!(
        light > 0 && heavy * 2 >= light,
        "{light} light, {heavy} heavy"
    );
    assert!(light + heavy <= tolerated(LIMIT_MILLI_PER_S));
    limits.record_denial(UPSTREAM, Weight::Light, 500, 30);
    assert!(!limits.may_ask(UPSTREAM, Weight::Light, 40));
    assert!(limits.may_ask(UPSTREAM, Weight::Heavy, 40));
}
