//! Tests of the health of upstreams.

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

/// Sends requests as permitted every 100 ms, all of which fail or succeed, and returns how many went out.
fn drive(health: &mut Health, from_ms: u64, until_ms: u64, outcome: Outcome) -> u32 {
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

/// Guards against an upstream that swallows one route and loses its other traffic for it, or keeps both.
#[test]
fn a_failing_route_closes_alone() {
    let mut health = Health::default();

    fail(&mut health, ROUTE, 5, 1_000);

    assert_eq!(health.permit(UPSTREAM, ROUTE, 1_001), Permit::Deny);
    assert_eq!(health.permit(UPSTREAM, OTHER_ROUTE, 1_001), Permit::Allow);
    assert_eq!(health.permit(OTHER, ROUTE, 1_001), Permit::Allow);
}

/// Guards against closing an upstream for the failures that a bad version or a noisy day brings.
#[test]
fn scattered_failures_do_not_close_a_route() {
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

/// Guards against a flood of probes at an upstream that stays broken.
#[test]
fn a_broken_upstream_gets_few_probes() {
    let mut health = Health::default();

    let sent = drive(&mut health, 0, 600_000, Outcome::Failure);

    // Five failures close the route; pauses of 1, 2, 4, 8, 16 and then 30 s leave 24 probes in 10 minutes.
    assert!(sent <= 30, "{sent}");
    assert!(sent >= 15, "{sent}");
}

/// Guards against several probes at the same time, and against a probe without a result that blocks for ever.
#[test]
fn one_probe_is_out_at_a_time() {
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
fn successful_probes_open_a_route() {
    let mut health = Health::default();
    fail(&mut health, ROUTE, 5, 0);

    drive(
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
fn a_flapping_upstream_gets_ever_longer_pauses() {
    let mut health = Health::default();
    let mut failures = 0;

    for round in 0..60_u64 {
        let from_ms = round * 10_000;
        failures += drive(&mut health, from_ms, from_ms + 5_000, Outcome::Failure);
        drive(
            &mut health,
            from_ms + 5_000,
            from_ms + 10_000,
            Outcome::Success { latency_ms: 100 },
        );
    }

    // Without longer pauses each of the 60 rounds would cost at least five failures.
    assert!(failures < 150, "{failures}");
}

/// Guards against new work to a leaving upstream, and against the lagging list overriding the upstream's own report.
#[test]
fn a_leaving_upstream_gets_nothing() {
    let cases: [fn(&mut Health); 3] = [
        |health| health.set_listed_leaving(UPSTREAM, true),
        |health| {
            health.set_reported_leaving(UPSTREAM, true);
            health.set_listed_leaving(UPSTREAM, false);
        },
        |health| health.record_result(UPSTREAM, ROUTE, Outcome::ConnectionRefused, 1_000),
    ];

    for (number, leave) in cases.into_iter().enumerate() {
        let mut health = Health::default();
        leave(&mut health);
        for route in [ROUTE, OTHER_ROUTE] {
            assert_eq!(
                health.permit(UPSTREAM, route, 1_001),
                Permit::Deny,
                "case {number}"
            );
        }
    }
}

/// Guards against an upstream that is lost for good after a restart.
#[test]
fn an_upstream_that_accepts_connections_again_opens() {
    let mut health = Health::default();
    health.record_result(UPSTREAM, ROUTE, Outcome::ConnectionRefused, 1_000);

    drive(
        &mut health,
        2_000,
        3_000,
        Outcome::Success { latency_ms: 100 },
    );

    assert_eq!(health.permit(UPSTREAM, OTHER_ROUTE, 3_000), Permit::Allow);
}

/// Guards against a request that crashes upstreams and takes them out of service on its way.
#[test]
fn crashes_by_a_quarantined_request_do_not_count() {
    let mut health = Health::default();

    for _ in 0..100 {
        health.record_result(UPSTREAM, ROUTE, Outcome::QuarantinedCrash, 1_000);
    }

    assert_eq!(health.permit(UPSTREAM, ROUTE, 1_000), Permit::Allow);
}

/// Guards against a slow upstream that looks healthy because it answers.
#[test]
fn a_slow_upstream_is_found_by_comparison() {
    let mut health = Health::default();
    for _ in 0..20 {
        succeed(&mut health, OTHER, 100, 10);
        succeed(&mut health, UPSTREAM, 500, 1);
    }

    assert_eq!(health.condition(UPSTREAM, ROUTE), Condition::Slow);
    assert_eq!(health.condition(OTHER, ROUTE), Condition::Healthy);
    assert!(health.slowness(UPSTREAM, ROUTE) > 3.0);
}

/// Guards against an upstream that swallows requests and is noticed only after the timeout of whole responses.
#[test]
fn requests_without_any_answer_close_a_route() {
    let mut health = Health::default();
    succeed(&mut health, OTHER, 300, 20);
    let overdue_ms = health.overdue_ms(ROUTE);

    for _ in 0..5 {
        health.record_overdue(UPSTREAM, ROUTE, overdue_ms);
    }

    assert_eq!(overdue_ms, 2_400);
    assert_eq!(health.permit(UPSTREAM, ROUTE, overdue_ms), Permit::Deny);
}
