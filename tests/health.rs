//! Tests of the health tracking of upstreams.

use monsoonfield::health::{Condition, Health, Outcome, Permit};
use monsoonfield::ids::{RouteKey, UpstreamKey};

const UPSTREAM: UpstreamKey = UpstreamKey(1);
const OTHER: UpstreamKey = UpstreamKey(2);
const ROUTE: RouteKey = RouteKey(1);
const OTHER_ROUTE: RouteKey = RouteKey(2);

fn fail(health: &mut Health, route: RouteKey, count: u32, now_ms: u64) {
    for _ in 0..count {
        health.record_result(UPSTREAM, route, Outcome::Failure, now_ms);
    }
}

fn succeed(health: &mut Health, upstream: UpstreamKey, latency_ms: u64, count: u32) {
    for _ in 0..count {
        health.record_result(upstream, ROUTE, Outcome::Success { latency_ms }, 1_000);
    }
}

/// Sends a request every 100 ms if permitted, all with the same outcome; returns the number of requests sent.
fn send_permitted(health: &mut Health, from_ms: u64, until_ms: u64, outcome: Outcome) -> u32 {
    let mut sent = 0;
    for now_ms in (from_ms..until_ms).step_by(100) {
        match health.permit(UPSTREAM, ROUTE, now_ms) {
            Permit::Deny => continue,
            Permit::Probe => health.record_probe(UPSTREAM, ROUTE, now_ms),
            Permit::Allow => {}
        }
        sent += 1;
        health.record_result(UPSTREAM, ROUTE, outcome, now_ms);
    }
    sent
}

/// Guards against a failing route that keeps its traffic, or that blocks the other routes of its upstream.
#[test]
fn a_failing_route_opens_only_its_own_breaker() {
    let mut health = Health::default();

    fail(&mut health, ROUTE, 5, 1_000);

    assert_eq!(health.permit(UPSTREAM, ROUTE, 1_001), Permit::Deny);
    assert_eq!(health.permit(UPSTREAM, OTHER_ROUTE, 1_001), Permit::Allow);
    assert_eq!(health.permit(OTHER, ROUTE, 1_001), Permit::Allow);
}

/// Guards against blocking an upstream because of the failures that a bad version or a period of noise causes.
#[test]
fn scattered_failures_do_not_open_a_breaker() {
    let mut health = Health::default();

    for number in 0..10_000_u64 {
        let outcome = if number % 4 == 0 {
            Outcome::Failure
        } else {
            Outcome::Success { latency_ms: 100 }
        };
        health.record_result(UPSTREAM, ROUTE, outcome, number);
        assert_eq!(
            health.permit(UPSTREAM, ROUTE, number),
            Permit::Allow,
            "after {number}"
        );
    }
}

/// Guards against a flood of probes to an upstream that keeps failing.
#[test]
fn a_broken_upstream_gets_few_probes() {
    let mut health = Health::default();

    let sent = send_permitted(&mut health, 0, 600_000, Outcome::Failure);

    // Five failures open the breaker; open times of 1, 2, 4, 8, 16 and then 30 s leave 24 probes in 10 minutes.
    assert!(sent <= 30, "{sent} requests sent, expected at most 30");
    assert!(sent >= 15, "{sent} requests sent, expected at least 15");
}

/// Guards against concurrent probes, and against a probe without a result that blocks further probes for ever.
#[test]
fn only_one_probe_is_in_flight() {
    let mut health = Health::default();
    fail(&mut health, ROUTE, 5, 0);

    let first = health.permit(UPSTREAM, ROUTE, 1_000);
    health.record_probe(UPSTREAM, ROUTE, 1_000);
    let second = health.permit(UPSTREAM, ROUTE, 1_001);
    let after_timeout = health.permit(UPSTREAM, ROUTE, 11_000);

    assert_eq!(
        (first, second, after_timeout),
        (Permit::Probe, Permit::Deny, Permit::Probe)
    );
}

/// Guards against an upstream that recovers and gets no traffic.
#[test]
fn successful_probes_close_a_breaker() {
    let mut health = Health::default();
    fail(&mut health, ROUTE, 5, 0);

    send_permitted(
        &mut health,
        1_000,
        1_300,
        Outcome::Success { latency_ms: 100 },
    );

    assert_eq!(health.permit(UPSTREAM, ROUTE, 1_300), Permit::Allow);
    assert_eq!(health.condition(UPSTREAM, ROUTE), Condition::Healthy);
}

/// Guards against a flapping upstream that gets full traffic half of the time.
#[test]
fn a_flapping_upstream_is_blocked_for_longer_each_time() {
    let mut health = Health::default();
    let mut failures = 0;

    for round in 0..60_u64 {
        let from_ms = round * 10_000;
        failures += send_permitted(&mut health, from_ms, from_ms + 5_000, Outcome::Failure);
        send_permitted(
            &mut health,
            from_ms + 5_000,
            from_ms + 10_000,
            Outcome::Success { latency_ms: 100 },
        );
    }

    // Without increasing open times, each of the 60 rounds would cause at least five failures.
    assert!(
        failures < 150,
        "{failures} failures, expected fewer than 150"
    );
}

/// Guards against new requests to a draining upstream, and against the lagging list overriding the upstream's own
/// report.
#[test]
fn a_draining_upstream_gets_no_requests() {
    let cases: [fn(&mut Health); 3] = [
        |health| health.set_listed_draining(UPSTREAM, true),
        |health| {
            health.set_reported_draining(UPSTREAM, true);
            health.set_listed_draining(UPSTREAM, false);
        },
        |health| health.record_result(UPSTREAM, ROUTE, Outcome::ConnectionRefused, 1_000),
    ];

    for (number, make_unavailable) in cases.into_iter().enumerate() {
        let mut health = Health::default();
        make_unavailable(&mut health);
        for route in [ROUTE, OTHER_ROUTE] {
            assert_eq!(
                health.permit(UPSTREAM, route, 1_001),
                Permit::Deny,
                "case {number}"
            );
        }
    }
}

/// Guards against an upstream that gets no traffic after a restart.
#[test]
fn an_upstream_that_accepts_connections_again_recovers() {
    let mut health = Health::default();
    health.record_result(UPSTREAM, ROUTE, Outcome::ConnectionRefused, 1_000);

    send_permitted(
        &mut health,
        2_000,
        3_000,
        Outcome::Success { latency_ms: 100 },
    );

    assert_eq!(health.permit(UPSTREAM, OTHER_ROUTE, 3_000), Permit::Allow);
}

/// Guards against a crashing request that takes one upstream after another out of service.
#[test]
fn crashes_by_a_quarantined_request_do_not_count() {
    let mut health = Health::default();

    for _ in 0..100 {
        health.record_result(UPSTREAM, ROUTE, Outcome::QuarantinedCrash, 1_000);
    }

    assert_eq!(health.permit(UPSTREAM, ROUTE, 1_000), Permit::Allow);
}

/// Guards against a slow upstream that counts as healthy because it answers.
#[test]
fn a_slow_upstream_is_detected_by_comparison() {
    let mut health = Health::default();
    for _ in 0..20 {
        succeed(&mut health, OTHER, 100, 10);
        succeed(&mut health, UPSTREAM, 500, 1);
    }

    assert_eq!(health.condition(UPSTREAM, ROUTE), Condition::Slow);
    assert_eq!(health.condition(OTHER, ROUTE), Condition::Healthy);
    assert!(health.slowness(UPSTREAM, ROUTE) > 3.0);
}

/// Guards against an upstream that never answers and is detected only after the timeout of complete responses.
#[test]
fn requests_without_any_answer_open_a_breaker() {
    let mut health = Health::default();
    succeed(&mut health, OTHER, 300, 20);
    let overdue_ms = health.overdue_ms(ROUTE);

    for _ in 0..5 {
        health.record_overdue(UPSTREAM, ROUTE, overdue_ms);
    }

    assert_eq!(overdue_ms, 2_400);
    assert_eq!(health.permit(UPSTREAM, ROUTE, overdue_ms), Permit::Deny);
}
