//! Trial of a new version of a service.

use monsoonfield::version_canary::{
    Canary, Choice, OrderSource, Response, RolloutState, VersionCounts,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ROUTE: &str = "chat";

fn canary() -> Canary {
    Canary::new("v2".into())
}

fn served(unit_ms: f64) -> Response {
    Response::Served { unit_ms }
}

/// Guards against a new version that gets more than a tenth of the requests of a service, summed over all routers.
#[test]
fn all_routers_together_keep_to_the_share_of_a_new_version() {
    for routers in [1, 6, 95, 300] {
        let mut random = Pcg64Mcg::seed_from_u64(routers);
        let mut canaries: Vec<Canary> = (0..routers).map(|_| canary()).collect();
        let mut new = 0;
        for request in 1..=20_000 {
            // Callers reach the routers unevenly.
            let router = random
                .random_range(0..routers)
                .min(random.random_range(0..routers));
            let canary = &mut canaries[router as usize];
            if canary.choose(ROUTE, 0, 0) == Choice::New {
                canary.record_sent_to_new(ROUTE);
                new += 1;
            }
            assert!(new * 10 <= request, "{routers} routers: {new} of {request}");
        }
        assert!(
            new * 100 >= 20_000 * 3,
            "{routers} routers: {new} are too few to judge"
        );
    }
}

/// Guards against completing and keeping a version whose responses are several times slower: half of them are, and
/// they are spread over many routers.
#[test]
fn a_version_that_is_several_times_slower_is_found_after_a_few_responses() {
    for routers in [1_u64, 6, 95] {
        let mut random = Pcg64Mcg::seed_from_u64(routers);
        let mut canaries: Vec<Canary> = (0..routers).map(|_| canary()).collect();
        let mut bad = 0;
        for _ in 0..20_000 {
            let router = random.random_range(0..routers) as usize;
            let noise = random.random_range(0.7..1.6);
            if random.random_range(0..14) == 0 {
                let is_slow = random.random_bool(0.5);
                bad += u64::from(is_slow);
                let factor = if is_slow { 5.0 } else { 1.0 };
                canaries[router].record(ROUTE, true, served(20.0 * noise * factor), 0);
            } else {
                canaries[router].record(ROUTE, false, served(20.0 * noise), 0);
            }
            if pooled(&canaries).is_bad() {
                break;
            }
        }
        assert!(pooled(&canaries).is_bad(), "{routers} routers");
        assert!(bad < 50, "{routers} routers: {bad} bad responses");
    }
}

fn pooled(canaries: &[Canary]) -> VersionCounts {
    let mut total = VersionCounts::default();
    for canary in canaries {
        total.add(&canary.counts());
    }
    total
}

/// Guards against rolling back a good version because some of its responses are slow or fail, as those of the present
/// one do.
#[test]
fn a_good_version_is_not_rolled_back() {
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut canary = canary();
        for _ in 0..10_000 {
            let is_new = random.random_range(0..14) == 0;
            let response = match random.random_range(0..100) {
                0..=3 => Response::Failed,
                4..=6 => served(90.0),
                _ => served(random.random_range(14.0..32.0)),
            };
            canary.record(ROUTE, is_new, response, 0);
        }
        assert!(
            !canary.counts().is_bad(),
            "seed {seed}: {:?}",
            canary.counts()
        );
    }
}

/// Guards against judging a version by another kind of request, which takes longer by nature.
#[test]
fn responses_are_compared_on_the_same_route() {
    let mut canary = canary();
    for _ in 0..100 {
        canary.record("short", false, served(5.0), 0);
        canary.record("long", false, served(80.0), 0);
        canary.record("long", true, served(85.0), 0);
    }
    assert!(!canary.counts().is_bad());
    canary.record("unknown", true, served(500.0), 0);
    assert_eq!(canary.counts().new_bad, 0, "nothing to compare with");
}

/// Guards against requests at a version that was rolled back, also repeated ones, and against a service without any
/// upstream while its version is tried.
#[test]
fn a_version_that_was_rolled_back_gets_no_request() {
    let mut canary = canary();
    assert_eq!(canary.choose_again(0), Choice::Present);
    canary.set_state(RolloutState::RolledBack);
    let first = (0..1_000).map(|_| canary.choose(ROUTE, 0, 0));
    assert!(first
        .collect::<Vec<_>>()
        .iter()
        .all(|choice| *choice == Choice::PresentOnly));
    assert_eq!(canary.choose_again(0), Choice::PresentOnly);
    canary.set_state(RolloutState::Completed);
    assert_eq!(canary.choose(ROUTE, 0, 0), Choice::Replacement);
}

/// Guards against counts that add up with each report of a router, which holds all its responses.
#[test]
fn a_report_replaces_the_earlier_one_of_the_same_router() {
    let mut canary = canary();
    let counts = VersionCounts {
        new_responses: 10,
        new_bad: 4,
        old_responses: 100,
        old_bad: 1,
    };
    canary.record_report("edge-1", counts, 0, 0);
    canary.record_report("edge-1", counts, 0, 0);
    assert_eq!(canary.total(), counts);
    assert!(!canary.total().is_bad());
    canary.record_report("edge-2", counts, 0, 0);
    assert!(canary.total().is_bad());
}

/// Guards against an older status that undoes a decision, and against a decision that the store has forgotten and nobody
/// writes again, or that every router writes again.
#[test]
fn a_decision_is_final_and_written_again_when_the_store_has_forgotten_it() {
    let mut canary = canary();
    canary.record_forgotten(100);
    assert!(!canary.is_forgotten(), "there is no decision yet");
    assert!(canary.record_status(RolloutState::RolledBack));

    assert!(!canary.record_status(RolloutState::Running));
    assert!(!canary.record_status(RolloutState::Completed));
    assert_eq!(canary.state(), RolloutState::RolledBack);

    canary.record_forgotten(200);
    canary.record_status(RolloutState::Running);
    assert!(canary.needs_rewrite(true, 200) && !canary.needs_rewrite(false, 200));
    assert!(
        canary.needs_rewrite(false, 5_000),
        "the routers that decide have not written it"
    );
    assert!(!canary.record_status(RolloutState::RolledBack));
    assert!(!canary.is_forgotten());
}

/// Guards against a trial that begins anew when an order is read again, and against a new order that is ignored.
#[test]
fn an_order_that_is_read_again_after_a_return_is_no_new_one() {
    let second = canary().succeeded_by("v3".into());
    let cases = [
        ("the order itself", "v3", [false, true, true]),
        ("an earlier one", "v2", [false, false, true]),
        ("a new one", "v4", [false, false, false]),
    ];
    for (name, target, expected) in cases {
        let sources = [
            OrderSource::Change,
            OrderSource::Snapshot,
            OrderSource::AfterReturn,
        ];
        let is_repeated = sources.map(|source| second.is_repeated(target, source));
        assert_eq!(is_repeated, expected, "{name}");
    }
    let ordered_again = second.succeeded_by("v2".into());
    assert!(!ordered_again.is_repeated("v4", OrderSource::AfterReturn));
    assert!(ordered_again.is_repeated("v3", OrderSource::AfterReturn));
}

/// Guards against a sum of times that overflows because an order states a ramp that never ends.
#[test]
fn the_longest_ramp_is_the_one_without_a_deadline() {
    let order = br#"{"service": "desk", "target": "v2", "ramp_s": 1e300}"#;
    let order = monsoonfield::platform::documents::decode_rollout_order(order).unwrap();
    let longest_ms = monsoonfield::rollout_completion::NO_DEADLINE_MS;
    assert_eq!(order.ramp_ms, Some(longest_ms));
}
