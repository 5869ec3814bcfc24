//! Tests of folding and proposing version rollouts.

use compact_str::CompactString;
use monsoonfield::ids::{IncarnationId, RequestKey};
use monsoonfield::record::{self, Entry, Evidence, Order, Rollback, RolloutStep};
use monsoonfield::rollout::{
    plan_load_orders, Orders, Proposer, Rollouts, VersionChoice, WeightStoreLimits,
    CANARY_REQUESTS, FULL_SHARE_PPM, INITIAL_SHARE_PPM,
};

const MINUTE_MS: u64 = 60_000;
const ROUTE: &str = "large/chat";

fn rollout(revision: u64, replaces: u64) -> record::Rollout {
    record::Rollout {
        id: "move".into(),
        model: "large".into(),
        from_version: "v1".into(),
        to_version: "v2".into(),
        start_ms: 0,
        deadline_ms: 60 * MINUTE_MS,
        revision,
        replaces,
    }
}

fn started() -> Rollouts {
    let mut rollouts = Rollouts::default();
    rollouts
        .apply_rollout(1, &rollout(1, 0))
        .expect("the rollout is valid");
    rollouts.apply_step(2, &step("", 1, INITIAL_SHARE_PPM, 0));
    rollouts
}

fn step(route: &str, number: u32, share_ppm: u32, at_ms: u64) -> RolloutStep {
    RolloutStep {
        id: "move".into(),
        step: number,
        share_ppm,
        revision: 1,
        at_ms,
        route: route.into(),
    }
}

fn evidence(is_new: bool, step: u32, total: u64, failed: u64, end_ms: u64) -> Evidence {
    let mut latency_counts = vec![0; 30];
    latency_counts[29] = (total - failed) as u32;
    Evidence {
        id: "move".into(),
        route: ROUTE.into(),
        is_new,
        total,
        failed,
        latency_counts,
        step,
        end_ms,
    }
}

/// Adds `count` seconds of evidence with the given failures per 100 requests of the old and the new version.
fn add_seconds(rollouts: &mut Rollouts, step: u32, from_s: u64, count: u64, failed: (u64, u64)) {
    for second in from_s..from_s + count {
        let end_ms = second * 1_000;
        let offset = 100 + 2 * second;
        rollouts.apply_evidence(offset, &evidence(false, step, 1_000, failed.0 * 10, end_ms));
        rollouts.apply_evidence(offset + 1, &evidence(true, step, 100, failed.1, end_ms));
    }
}

/// Applies the due proposals every second, as in a fleet with a single process.
fn run_proposals(rollouts: &mut Rollouts, from_ms: u64, until_ms: u64) {
    let mut proposer = Proposer::default();
    for now_ms in (from_ms..until_ms).step_by(1_000) {
        for entry in proposer.take(rollouts, now_ms, 0) {
            match &entry {
                Entry::RolloutStep(step) => rollouts.apply_step(now_ms + 1_000, step),
                Entry::RolloutEnd(end) => rollouts.apply_end(now_ms + 1_000, end),
                other => panic!("unexpected proposal {other:?}"),
            }
        }
    }
}

fn new_share(rollouts: &Rollouts, route: &str) -> f64 {
    let keys = 200_000_u128;
    let new = (0..keys)
        .filter(|&key| {
            let choice = rollouts.version_for(route, &[], RequestKey(key << 64 | key));
            matches!(choice, VersionChoice::Version { version: "v2", .. })
        })
        .count();
    new as f64 / keys as f64
}

/// Guards against a served share that differs from the decided one before there is evidence.
#[test]
fn the_served_share_matches_the_decided_share() {
    let rollouts = started();

    let share = new_share(&rollouts, ROUTE);

    assert!(
        (share - 0.005).abs() < 0.0005,
        "share {share}, expected 0.0045 to 0.0055"
    );
}

/// Guards against retries that are served by another version: the version must depend only on the key and the folded
/// state.
#[test]
fn a_request_keeps_its_version_while_the_share_rises() {
    let mut rollouts = started();
    let is_new = |rollouts: &Rollouts, key| {
        let choice = rollouts.version_for(ROUTE, &[], RequestKey(key));
        matches!(choice, VersionChoice::Version { version: "v2", .. })
    };
    let before: Vec<u128> = (0..20_000).filter(|&key| is_new(&rollouts, key)).collect();

    rollouts.apply_step(3, &step("", 2, 500_000, 1));

    assert!(!before.is_empty());
    assert!(before.iter().all(|&key| is_new(&rollouts, key)));
}

/// Guards against serving a customer with a version that its contract excludes.
#[test]
fn the_contract_limits_the_versions() {
    let mut rollouts = started();
    rollouts.apply_step(3, &step("", 2, FULL_SHARE_PPM, 1));
    let allowed = |names: &[&str]| {
        names
            .iter()
            .map(|&name| name.into())
            .collect::<Vec<CompactString>>()
    };
    let cases = [
        (allowed(&[]), Some("v2"), true),
        (allowed(&["v1"]), Some("v1"), false),
        (allowed(&["v2", "v3"]), Some("v2"), false),
        (allowed(&["v3"]), None, false),
    ];

    for (allowed, expected, is_evidence) in cases {
        let choice = rollouts.version_for(ROUTE, &allowed, RequestKey(7));
        let (version, evidence) = match choice {
            VersionChoice::Version { version, evidence } => (Some(version), evidence.is_some()),
            _ => (None, false),
        };
        assert_eq!((version, evidence), (expected, is_evidence), "{allowed:?}");
    }
}

/// Guards against two operators who both believe that their revision is in force.
#[test]
fn the_first_of_two_concurrent_revisions_wins() {
    let mut rollouts = started();
    let mut first = rollout(2, 1);
    first.deadline_ms = 30 * MINUTE_MS;
    let mut second = rollout(2, 1);
    second.deadline_ms = 20 * MINUTE_MS;

    let results = [
        rollouts.apply_rollout(5, &first),
        rollouts.apply_rollout(6, &second),
    ];

    assert!(results[0].is_ok());
    let reason = results[1].as_ref().expect_err("the second change is late");
    assert!(
        reason.contains("revision 2 is in force"),
        "unexpected reason: {reason}"
    );
    let deadline_ms = rollouts.get("move").map(|state| state.deadline_ms);
    assert_eq!(deadline_ms, Some(30 * MINUTE_MS));
}

/// Guards against rollouts that conflict with each other or are inconsistent in themselves.
#[test]
fn invalid_rollouts_are_refused_with_a_reason() {
    let change = |edit: fn(&mut record::Rollout)| {
        let mut entry = rollout(1, 0);
        entry.id = "other".into();
        edit(&mut entry);
        entry
    };
    let cases = [
        (change(|_| ()), "has not ended"),
        (
            change(|entry| entry.to_version = "v1".into()),
            "both versions",
        ),
        (change(|entry| entry.deadline_ms = 0), "not after the start"),
        (
            change(|entry| entry.model = String::new()),
            "must not be empty",
        ),
    ];

    for (entry, expected) in cases {
        let reason = started().apply_rollout(9, &entry).expect_err(expected);
        assert!(
            reason.contains(expected),
            "expected {expected:?} in {reason:?}"
        );
    }
}

/// Guards against a change of the deadline that discards the evidence or the share reached.
#[test]
fn a_revision_keeps_evidence_and_share() {
    let mut rollouts = started();
    add_seconds(&mut rollouts, 1, 0, 20, (2, 2));
    rollouts.apply_step(200, &step(ROUTE, 2, 50_000, 20_000));
    let mut revised = rollout(2, 1);
    revised.deadline_ms = 90 * MINUTE_MS;

    rollouts
        .apply_rollout(201, &revised)
        .expect("the revision is valid");

    let state = rollouts.get("move").expect("the rollout exists");
    assert_eq!(state.step_and_share(ROUTE), (2, 50_000));
    assert!(state.routes[ROUTE].passed_ms.is_some());
    rollouts.apply_step(202, &step(ROUTE, 3, 100_000, 21_000));
    let state = rollouts.get("move").expect("the rollout exists");
    assert_eq!(
        state.step_and_share(ROUTE).1,
        50_000,
        "a step of revision 1 was applied to revision 2"
    );
}

/// Guards against a bad version that returns with a later step.
#[test]
fn a_rollback_overrides_every_later_step() {
    let mut rollouts = started();
    let rollback = Rollback {
        id: "move".into(),
        route: String::new(),
        reason: "an operator saw wrong answers".into(),
    };

    rollouts.apply_rollback(3, &rollback);
    rollouts.apply_step(4, &step("", 2, FULL_SHARE_PPM, 1));
    let revision = rollouts.apply_rollout(5, &rollout(2, 1));

    assert_eq!(new_share(&rollouts, ROUTE), 0.0);
    assert!(revision.is_err());
    assert!(rollouts.propose(MINUTE_MS, 0).is_empty());
}

/// Guards against a fault on one route that stops the other routes.
#[test]
fn a_rollback_of_one_route_does_not_affect_the_others() {
    let mut rollouts = started();
    rollouts.apply_step(3, &step("", 2, FULL_SHARE_PPM, 1));
    for offset in 4..40 {
        let mut entry = evidence(true, 2, 100, 0, offset * 1_000);
        entry.route = "large/stream".into();
        rollouts.apply_evidence(offset, &entry);
    }
    let rollback = Rollback {
        id: "move".into(),
        route: ROUTE.into(),
        reason: "bad".into(),
    };

    rollouts.apply_rollback(40, &rollback);

    assert_eq!(new_share(&rollouts, ROUTE), 0.0);
    assert_eq!(new_share(&rollouts, "large/stream"), 1.0);
}

/// Guards against an extra append between the evidence and the rollback.
#[test]
fn the_record_that_completes_the_evidence_rolls_back() {
    let mut rollouts = started();

    add_seconds(&mut rollouts, 1, 0, 60, (2, 30));

    assert_eq!(new_share(&rollouts, ROUTE), 0.0);
    let sentences = rollouts.explain("move").join("\n");
    assert!(
        sentences.contains("failures worse"),
        "unexpected decisions:\n{sentences}"
    );
    assert!(
        sentences.contains("30.00% of"),
        "unexpected decisions:\n{sentences}"
    );
}

/// Guards against a good version that misses a deadline that it could have met.
#[test]
fn a_good_version_moves_by_the_deadline() {
    let mut rollouts = started();
    add_seconds(&mut rollouts, 1, 0, 60, (2, 2));

    run_proposals(&mut rollouts, 0, 61 * MINUTE_MS);

    let state = rollouts.get("move").expect("the rollout exists");
    let end = state.end.as_ref().expect("the rollout has ended");
    assert!(end.is_kept, "the deadline was not kept: {}", end.reason);
    assert_eq!(new_share(&rollouts, ROUTE), 1.0);
}

/// Guards against a jump to the full share as soon as the evidence is complete.
#[test]
fn the_share_rises_in_steps() {
    let mut rollouts = started();
    add_seconds(&mut rollouts, 1, 0, 60, (2, 2));

    run_proposals(&mut rollouts, 0, 30 * MINUTE_MS);

    let share = new_share(&rollouts, ROUTE);
    assert!(
        share > 0.05 && share < 0.8,
        "share {share}, expected 0.05 to 0.8"
    );
}

/// Guards against moving traffic without evidence, and against a missed deadline that is not reported.
#[test]
fn a_rollout_without_enough_evidence_reports_why() {
    let mut rollouts = started();
    rollouts.apply_evidence(5, &evidence(true, 1, 3, 0, 1_000));
    rollouts.apply_evidence(6, &evidence(false, 1, 300, 0, 1_000));

    run_proposals(&mut rollouts, 0, 61 * MINUTE_MS);

    let state = rollouts.get("move").expect("the rollout exists");
    let end = state.end.as_ref().expect("the rollout has ended");
    assert!(!end.is_kept);
    assert!(
        end.reason.contains("after 3 requests"),
        "unexpected reason: {}",
        end.reason
    );
    assert_eq!(new_share(&rollouts, ROUTE), 0.0);
}

/// Guards against a rollout whose record was delayed by a log outage, so that its deadline has passed when it is
/// folded.
#[test]
fn a_rollout_published_too_late_is_reported_as_not_kept() {
    let mut rollouts = Rollouts::default();
    rollouts
        .apply_rollout(1, &rollout(1, 0))
        .expect("the rollout is valid");

    run_proposals(&mut rollouts, 61 * MINUTE_MS, 62 * MINUTE_MS);

    let state = rollouts.get("move").expect("the rollout exists");
    assert!(state.end.as_ref().is_some_and(|end| !end.is_kept));
    assert_eq!(new_share(&rollouts, ROUTE), 0.0);
}

/// Guards against a log outage around the deadline that leaves a good version with a part of the traffic.
#[test]
fn steps_delayed_by_an_outage_are_caught_up() {
    let mut rollouts = started();
    add_seconds(&mut rollouts, 1, 0, 60, (2, 2));

    run_proposals(&mut rollouts, 61 * MINUTE_MS, 62 * MINUTE_MS);

    let state = rollouts.get("move").expect("the rollout exists");
    let end = state.end.as_ref().expect("the rollout has ended");
    assert!(!end.is_kept);
    assert!(
        end.reason.contains("after the deadline"),
        "unexpected reason: {}",
        end.reason
    );
    assert_eq!(new_share(&rollouts, ROUTE), 1.0);
}

/// Guards against a router that starts from a snapshot and draws different conclusions from later evidence.
#[test]
fn a_router_restored_from_a_snapshot_agrees() {
    let mut original = started();
    add_seconds(&mut original, 1, 0, 10, (2, 3));
    let snapshot = serde_json::to_vec(&original).expect("the state serialises");
    let mut restored: Rollouts = serde_json::from_slice(&snapshot).expect("the state is restored");

    for rollouts in [&mut original, &mut restored] {
        add_seconds(rollouts, 1, 10, 40, (2, 25));
    }

    assert_eq!(original, restored);
    assert_eq!(new_share(&restored, ROUTE), 0.0);
}

/// Guards against a version that degrades at full share, when there is no old version left to compare it with.
#[test]
fn a_decline_at_full_share_is_compared_again() {
    let mut rollouts = started();
    add_seconds(&mut rollouts, 1, 0, 60, (2, 2));
    run_proposals(&mut rollouts, 0, 59 * MINUTE_MS);
    let state = rollouts.get("move").expect("the rollout exists");
    let (full, share_ppm) = state.step_and_share(ROUTE);
    assert_eq!(share_ppm, FULL_SHARE_PPM);
    let from_s = 3_600;

    for second in from_s..from_s + 20 {
        let failed = if second < from_s + 10 { 2 } else { 10 };
        let entry = evidence(true, full, 100, failed, second * 1_000);
        rollouts.apply_evidence(10_000 + second, &entry);
    }
    run_proposals(&mut rollouts, (from_s + 20) * 1_000, (from_s + 21) * 1_000);

    let share = new_share(&rollouts, ROUTE);
    assert!(
        share > 0.7 && share < 0.8,
        "share {share}, expected 0.7 to 0.8"
    );
    add_seconds(&mut rollouts, full + 1, from_s + 21, 200, (2, 10));
    assert_eq!(new_share(&rollouts, ROUTE), 0.0);
}

/// Guards against all processes proposing the same step, and against no proposal when the first process has left.
#[test]
fn a_later_process_proposes_only_what_the_first_did_not() {
    let mut rollouts = Rollouts::default();
    rollouts
        .apply_rollout(1, &rollout(1, 0))
        .expect("the rollout is valid");

    let counts = [(0, 0), (0, 3), (2_999, 3), (3_000, 3)]
        .map(|(now_ms, rank)| rollouts.propose(now_ms, rank).len());

    assert_eq!(counts, [1, 0, 0, 1]);
}

/// Guards against a share close to the limit while there are few requests, so that the actual share varies most.
#[test]
fn the_first_share_rises_only_after_enough_requests() {
    let mut rollouts = started();
    rollouts.apply_evidence(5, &evidence(false, 1, CANARY_REQUESTS - 1, 0, 1_000));
    let before = rollouts.propose(2_000, 0).len();

    rollouts.apply_evidence(6, &evidence(true, 1, 1, 0, 1_000));

    assert_eq!((before, rollouts.propose(2_000, 0).len()), (0, 1));
}

/// Guards against concurrent orders of two processes to an upstream that ignores fencing tokens.
#[test]
fn a_successor_waits_until_the_previous_order_has_expired() {
    let mut orders = Orders::default();
    let order = Order {
        upstream: "gpu-1".into(),
        version: "v2".into(),
        valid_ms: 30_000,
    };
    orders.apply(40, IncarnationId(1), &order);
    let folded_ms = 1_000;

    let successor = orders.earliest_order_ms("gpu-1", IncarnationId(2), folded_ms);
    let same = orders.earliest_order_ms("gpu-1", IncarnationId(1), folded_ms);

    assert_eq!((successor, same), (31_000, 0));
    assert_eq!(orders.get("gpu-1").map(|order| order.fence), Some(40));
}

/// Guards against orders that are too late for the throughput of the weight store.
#[test]
fn orders_are_due_early_enough_for_the_store() {
    let limits = WeightStoreLimits {
        bytes_per_second: 1_000_000_000,
        concurrent_downloads: 2,
    };
    let cases = [
        // 5 upstreams in 3 waves of 40 GB at 0.5 GB/s, with a margin of a quarter, and 20 s to start.
        (5, 3_600_000, 0, 3_280_000, true),
        (5, 300_000, 0, 0, false),
        (0, 300_000, 0, 280_000, true),
    ];

    for (upstreams, needed_ms, now_ms, start_ms, is_in_time) in cases {
        let plan = plan_load_orders(upstreams, 40_000_000_000, 20_000, limits, needed_ms, now_ms);

        assert_eq!((plan.start_ms, plan.is_in_time), (start_ms, is_in_time));
        assert_eq!(plan.due_ms.len(), upstreams);
        assert!(!is_in_time || plan.ready_ms <= needed_ms);
    }
}
