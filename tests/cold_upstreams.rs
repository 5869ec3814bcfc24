//! Proof that upstreams are warm, and grants for those without it, over all routers without a network.

use std::collections::VecDeque;

use arbtest::arbitrary::{Result, Unstructured};
use monsoonfield::cold_upstreams::{
    needs_refresh, prefers_warm, ColdRule, UpstreamWarmth, PROOF_MS,
};
use monsoonfield::shared_limits::{ActiveRouters, Presence, PRESENCE_TIMEOUT_MS};
use monsoonfield::upstream_limits::{Grant, UpstreamLimits, COLD_PERMIT_MS, COLD_WINDOW_MS};

const UPSTREAM: &str = "i-1";

/// Rule of a service whose upstreams are cold for three seconds and tolerate eleven requests a second, half as many
/// more, and five.
const RULE: ColdRule = ColdRule {
    start_ms: 3_000,
    tolerated_requests: 21,
};

/// Interval at which an upstream writes its entry.
const REPORT_MS: u64 = 1_200;

/// Longest way of a request from its router to the upstream on an open connection.
const MAX_WAY_MS: u64 = 60;

/// Guards against requests without permission to an upstream that may have been replaced since its last sign of life,
/// that has just started, or whose connections were lost; and against asking for ever.
#[test]
fn an_upstream_is_warm_as_long_as_one_process_is_proved_to_live() {
    let mut warmth = UpstreamWarmth::default();
    assert!(!warmth.is_warm(UPSTREAM, 0), "a router that just started");
    warmth.record_stated(UPSTREAM, 1_000, 1_000, 1_400);
    assert!(warmth.is_warm(UPSTREAM, 1_000 + PROOF_MS - 1));
    assert!(!warmth.is_warm(UPSTREAM, 1_000 + PROOF_MS), "no news");

    warmth.record_lost(UPSTREAM, 1_500);
    assert!(!warmth.is_warm(UPSTREAM, 1_500), "lost");
    warmth.record_stated(UPSTREAM, 1_500, 1_500, 1_700);
    assert!(!warmth.is_warm(UPSTREAM, 1_700), "written before the loss");

    for at_ms in (4_000..8_000).step_by(1_000) {
        warmth.record_alive(UPSTREAM, at_ms, RULE, at_ms + 10);
        let is_warm = at_ms - 4_000 >= RULE.start_ms;
        assert_eq!(warmth.is_warm(UPSTREAM, at_ms + 10), is_warm, "{at_ms}");
    }
    warmth.record_stated(UPSTREAM, 7_100, 9_000, 7_200);
    assert!(
        !warmth.is_warm(UPSTREAM, 7_200),
        "it states that it is cold"
    );
    assert_eq!(warmth.cold_count(7_200), 1);
}

/// Guards against a proof of warmth that a router ignores because it has seen a later sign of life itself, and against
/// one that outweighs the statement of the process that it is cold, the loss of contact or a gap.
#[test]
fn an_older_proof_makes_the_same_process_warm() {
    let proof_ms = 9_500;
    let cases = [
        ("same process", 10_000, None, None, true),
        ("another process", proof_ms + PROOF_MS, None, None, false),
        ("states that it is cold", 10_000, Some(20_000), None, false),
        (
            "states the largest time",
            10_000,
            Some(u64::MAX),
            None,
            false,
        ),
        ("contact lost since", 10_000, None, Some(9_800), false),
    ];
    for (name, seen_ms, cold_until_ms, lost_ms, is_warm) in cases {
        let mut warmth = UpstreamWarmth::default();
        if let Some(lost_ms) = lost_ms {
            warmth.record_lost(UPSTREAM, lost_ms);
        }
        warmth.record_alive(UPSTREAM, seen_ms, RULE, seen_ms);
        if let Some(until_ms) = cold_until_ms {
            warmth.record_stated(UPSTREAM, seen_ms, until_ms, seen_ms);
        }
        assert!(!warmth.is_warm(UPSTREAM, seen_ms), "{name}");
        warmth.record_stated(UPSTREAM, proof_ms, proof_ms, seen_ms);
        assert_eq!(warmth.is_warm(UPSTREAM, seen_ms), is_warm, "{name}");
    }
}

/// Guards against a cold upstream that stays unused beside warm ones that are much slower, or that is preferred to warm
/// ones that are as fast.
#[test]
fn warm_upstreams_are_preferred_unless_they_are_much_slower() {
    assert!(prefers_warm(10.0, 20.0, 1));
    assert!(!prefers_warm(10.0, 200.0, 1));
    assert!((0..100).any(|draw| !prefers_warm(10.0, 20.0, draw)));
}

/// Guards against a coordinator that has just taken over and grants beside its predecessor, and against one that grants
/// nothing for ever.
#[test]
fn a_new_coordinator_waits_for_the_end_of_its_predecessors_grants() {
    let mut limits = UpstreamLimits::default();
    let mut grant = |id, now_ms| limits.grant_cold(UPSTREAM, id, RULE, 2_000, now_ms);
    for now_ms in [0, 2_000, 1_999 + COLD_WINDOW_MS] {
        assert_ne!(grant(now_ms + 1, now_ms), Grant::Granted, "{now_ms}");
    }
    assert_eq!(grant(9, 2_000 + COLD_WINDOW_MS), Grant::Granted);
    limits.forget_cold_grants();
    let again = limits.grant_cold(UPSTREAM, 10, RULE, 9_000, 5_000);
    assert_ne!(again, Grant::Granted, "missed grants");
}

/// Guards against a second coordinator that nobody reckons with: a router that cannot report its presence may still grant
/// requests, unless it has left or reports again.
#[test]
fn a_router_that_does_not_report_may_still_be_a_coordinator() {
    let presence = |is_leaving, sequence| Presence {
        is_leaving,
        sequence: Some(sequence),
        ..Presence::default()
    };
    for (is_leaving, ends_with_report, is_expected) in [
        (false, false, true),
        (false, true, false),
        (true, false, false),
    ] {
        let mut routers = ActiveRouters::default();
        routers.apply("edge-1".into(), Some(presence(false, 1)), 0);
        if is_leaving {
            routers.apply("edge-1".into(), Some(presence(true, 2)), 0);
        }
        routers.expire(PRESENCE_TIMEOUT_MS);
        if ends_with_report {
            routers.apply("edge-1".into(), Some(presence(false, 3)), 7_000);
        }
        let is_expired = routers.expired_candidates().next().is_some();
        assert_eq!(is_expired, is_expected, "{is_leaving} {ends_with_report}");
    }
}

/// A router that may be cut off from the store, from the coordinator or both.
#[derive(Default)]
struct Router {
    warmth: UpstreamWarmth,
    complete_ms: u64,
    read_entries: usize,
    is_cut_off_from_store: bool,
    is_cut_off_from_peers: bool,
    poll_ms: u64,
}

/// An upstream that loses power again and again; times at which it is up, and its entries.
#[derive(Default)]
struct Upstream {
    /// Start and end of each life.
    lives: Vec<(u64, u64)>,
    /// Time of writing and remaining cold time of each entry.
    entries: Vec<(u64, u64)>,
}

const END_MS: u64 = 40_000;

fn upstream(u: &mut Unstructured<'_>) -> Result<Upstream> {
    let mut upstream = Upstream::default();
    let mut start_ms = 0;
    while start_ms < END_MS {
        let end_ms = start_ms + u.int_in_range(500..=15_000)?;
        upstream.lives.push((start_ms, end_ms));
        // The first entry may be late, so that requests arrive before it.
        let mut at_ms = start_ms + u.int_in_range(0..=REPORT_MS)?;
        while at_ms < end_ms {
            let cold_left_ms = (start_ms + RULE.start_ms).saturating_sub(at_ms);
            upstream.entries.push((at_ms, cold_left_ms));
            at_ms += REPORT_MS;
        }
        start_ms = end_ms + u.int_in_range(2_000..=4_500)?;
    }
    Ok(upstream)
}

impl Upstream {
    fn life_at(&self, now_ms: u64) -> Option<(u64, u64)> {
        let mut lives = self.lives.iter().copied();
        lives.find(|(start_ms, end_ms)| (*start_ms..*end_ms).contains(&now_ms))
    }

    fn is_cold_at(&self, now_ms: u64) -> bool {
        let life = self.life_at(now_ms);
        life.is_some_and(|(start_ms, _)| now_ms < start_ms + RULE.start_ms)
    }
}

impl Router {
    fn read_entries(&mut self, upstream: &Upstream, now_ms: u64) {
        let written = upstream
            .entries
            .partition_point(|(at_ms, _)| *at_ms <= now_ms);
        for (_, left_ms) in &upstream.entries[self.read_entries..written] {
            let warm_from_ms = match left_ms {
                0 => self.complete_ms,
                left_ms => now_ms + left_ms,
            };
            self.warmth
                .record_stated(UPSTREAM, self.complete_ms, warm_from_ms, now_ms);
        }
        self.read_entries = written;
        self.complete_ms = now_ms;
    }
}

/// Requests that were sent, as (arrival, sender, time of sending, id of the grant).
type Sent = VecDeque<(u64, usize, u64, Option<u64>)>;

struct Scenario {
    upstream: Upstream,
    /// The first one is the coordinator.
    routers: Vec<Router>,
    /// Requests that the routers have for the upstream in each millisecond, in thousandths.
    load_permille: u64,
}

/// What became of the requests.
#[derive(Default)]
struct Outcome {
    offered: u64,
    arrived: u64,
    /// Times at which requests arrived at the upstream while it was cold.
    cold_arrivals: Vec<u64>,
}

fn simulate(scenario: &mut Scenario) -> Outcome {
    let mut outcome = Outcome::default();
    let mut limits = UpstreamLimits::default();
    let mut sent = Sent::new();
    for now_ms in 0..END_MS {
        for router in &mut scenario.routers {
            if !router.is_cut_off_from_store && now_ms % router.poll_ms == 0 {
                router.read_entries(&scenario.upstream, now_ms);
            }
        }
        deliver(scenario, &limits, &mut sent, now_ms, &mut outcome);
        // A cheap deterministic draw, because the input of a random test would not last for each millisecond.
        let draw = now_ms.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
        if draw % 1_000 >= scenario.load_permille {
            continue;
        }
        outcome.offered += 1;
        let sender = (draw / 1_000) as usize % scenario.routers.len();
        let Some(grant) = acquire(&mut scenario.routers, &mut limits, sender, now_ms) else {
            continue;
        };
        let sent_ms = now_ms + grant.map_or(0, |_| draw / 8_000 % COLD_PERMIT_MS);
        let arrival_ms = sent_ms + draw / 64_000 % MAX_WAY_MS;
        sent.push_back((arrival_ms, sender, sent_ms, grant));
    }
    outcome
}

/// Returns the grant of a request, if it needs one; `None` if it may not be sent.
fn acquire(
    routers: &mut [Router],
    limits: &mut UpstreamLimits,
    sender: usize,
    now_ms: u64,
) -> Option<Option<u64>> {
    if routers[sender].warmth.is_warm(UPSTREAM, now_ms) {
        return Some(None);
    }
    if sender != 0 && routers[sender].is_cut_off_from_peers {
        return None;
    }
    let lost_ms = routers[sender].warmth.lost_age_ms(UPSTREAM, now_ms);
    let proof_ms = routers[0].warmth.proof_age_ms(UPSTREAM, now_ms);
    let proof_ms = proof_ms.filter(|age_ms| lost_ms.is_none_or(|lost_ms| *age_ms < lost_ms));
    let id = now_ms + 1;
    let is_granted = proof_ms.is_none_or(needs_refresh)
        && limits.grant_cold(UPSTREAM, id, RULE, 0, now_ms) == Grant::Granted;
    if is_granted {
        return Some(Some(id));
    }
    if let Some(age_ms) = proof_ms {
        let seen_ms = now_ms - age_ms;
        let warmth = &mut routers[sender].warmth;
        warmth.record_stated(UPSTREAM, seen_ms, seen_ms, now_ms);
        return Some(None);
    }
    None
}

/// Delivers the requests that arrive now, and their responses; a request to an upstream without power is lost.
fn deliver(
    scenario: &mut Scenario,
    limits: &UpstreamLimits,
    sent: &mut Sent,
    now_ms: u64,
    outcome: &mut Outcome,
) {
    let Scenario {
        upstream, routers, ..
    } = scenario;
    sent.retain(|(arrival_ms, sender, sent_ms, grant)| {
        if *arrival_ms > now_ms {
            return true;
        }
        let warmth = &mut routers[*sender].warmth;
        match upstream.life_at(now_ms) {
            // The connection was open when the request was sent.
            Some((start_ms, _)) if start_ms <= *sent_ms => {
                outcome.arrived += 1;
                if upstream.is_cold_at(now_ms) {
                    outcome.cold_arrivals.push(now_ms);
                }
                warmth.record_alive(UPSTREAM, *sent_ms, RULE, now_ms);
                let granted_ms = grant.and_then(|id| limits.cold_granted_ms(UPSTREAM, id));
                if let Some(granted_ms) = granted_ms {
                    let rule = ColdRule {
                        start_ms: RULE.start_ms + COLD_PERMIT_MS,
                        ..RULE
                    };
                    let warmth = &mut routers[0].warmth;
                    warmth.record_alive(UPSTREAM, granted_ms, rule, now_ms);
                }
            }
            _ => warmth.record_lost(UPSTREAM, now_ms),
        }
        false
    });
}

/// Guards against more requests in any one second than a cold upstream tolerates, whatever the routers know: cut off
/// from the store or the coordinator, started a moment ago, or with connections lost.
#[test]
fn all_routers_together_keep_to_what_a_cold_upstream_tolerates() {
    arbtest::arbtest(|u| {
        let mut scenario = Scenario {
            upstream: upstream(u)?,
            routers: (0..8).map(|_| Router::default()).collect(),
            load_permille: u.int_in_range(5..=400)?,
        };
        for router in &mut scenario.routers {
            router.is_cut_off_from_store = u.ratio(1, 4)?;
            router.is_cut_off_from_peers = u.ratio(1, 4)?;
            router.poll_ms = u.int_in_range(400..=800)?;
        }
        let Outcome { cold_arrivals, .. } = simulate(&mut scenario);
        for start_ms in &cold_arrivals {
            let second = *start_ms..start_ms + 1_000;
            let count = cold_arrivals.iter().filter(|at_ms| second.contains(at_ms));
            assert!(count.count() as u64 <= RULE.tolerated_requests);
        }
        Ok(())
    })
    .budget_ms(1_500);
}

/// Guards against warm upstreams that get no more than cold ones: at a large fleet, where each router sends too few
/// requests to have proof of its own, with and without the store.
#[test]
fn a_warm_upstream_gets_all_requests_of_a_large_fleet() {
    for is_cut_off_from_store in [false, true] {
        let report = |at_ms| (at_ms, 0);
        let mut scenario = Scenario {
            upstream: Upstream {
                lives: vec![(0, END_MS)],
                entries: (0..END_MS)
                    .step_by(REPORT_MS as usize)
                    .map(report)
                    .collect(),
            },
            routers: (0..300)
                .map(|number| Router {
                    is_cut_off_from_store,
                    poll_ms: 700 + number % 100,
                    ..Router::default()
                })
                .collect(),
            load_permille: 100,
        };
        let outcome = simulate(&mut scenario);
        assert!(
            outcome.arrived * 100 >= outcome.offered * 90,
            "{is_cut_off_from_store}: {} of {}",
            outcome.arrived,
            outcome.offered
        );
    }
}
