//! Decision logic of the gateway that needs no network: routing, upstream entries, shared limits, placement.

use std::net::SocketAddr;

use compact_str::{format_compact, CompactString};
use monsoonfield::directory::{UpstreamChange, UpstreamDirectory, UpstreamEntry, REMOVAL_GRACE_MS};
use monsoonfield::placement::{Candidate, LoadReport, Outcome, Placement, PlacementError, Prompt};
use monsoonfield::routing::{
    AuthenticationError, CallerLimits, RetrySemantics, Route, RoutingConfiguration, RoutingTable,
    Team,
};
use monsoonfield::shared_limits::{
    ActiveRouters, Presence, RetryLimiter, RetryRule, PRESENCE_TIMEOUT_MS,
};

fn route(host: &str, path_prefix: &str) -> Route {
    Route {
        name: path_prefix.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        retry_semantics: RetrySemantics::Idempotent,
        is_stream: false,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        targets: vec![("desk".into(), 90), ("desk-next".into(), 10)],
        max_attempts: 2,
        is_public: false,
    }
}

fn table() -> RoutingTable {
    let mut public_route = route("a.example", "/open/");
    public_route.is_public = true;
    RoutingTable::new(RoutingConfiguration {
        version: 7,
        routes: vec![
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("b.example", "/"),
            public_route,
        ],
        services: Vec::new(),
        teams: vec![Team {
            name: "soles".into(),
            api_keys: vec!["key-1".into(), "key-2".into()],
            priority: None,
            prepaid_tokens: Some(1_000),
        }],
        limits: CallerLimits::default(),
    })
}

/// Guards against matching a shorter prefix, another host, or a path that only starts with the letters of a prefix.
#[test]
fn the_longest_path_prefix_of_the_host_matches() {
    let cases = [
        ("a.example", "/x/1", Some("/x/")),
        ("a.example", "/x/y/1", Some("/x/y/")),
        ("a.example", "/x/y", Some("/x/")),
        ("A.Example:8080", "/x/", Some("/x/")),
        ("a.example", "/x", None),
        ("a.example", "/xy/1", None),
        ("b.example", "/anything", Some("/")),
        ("c.example", "/x/1", None),
    ];
    let table = table();
    for (host, path, expected) in cases {
        let found = table.find_route(host, path).map(|index| table.route(index));
        let prefix = found.map(|route| route.path_prefix.as_str());
        assert_eq!(prefix, expected, "{host}{path}");
    }
}

/// Guards against requests that are accepted without a key or for another team.
#[test]
fn an_api_key_identifies_its_team_and_public_routes_need_none() {
    let table = table();
    let private_route = table.route(table.find_route("a.example", "/x/").unwrap());
    let public_route = table.route(table.find_route("a.example", "/open/").unwrap());
    assert!(matches!(
        table.authenticate(private_route, Some("key-2")),
        Ok(Some(_))
    ));
    assert_eq!(
        table.authenticate(private_route, Some("key-3")),
        Err(AuthenticationError::UnknownKey)
    );
    assert_eq!(
        table.authenticate(private_route, None),
        Err(AuthenticationError::UnknownKey)
    );
    assert_eq!(table.authenticate(public_route, None), Ok(None));
}

/// Guards against a split that omits a service or exceeds its weight.
#[test]
fn requests_are_split_by_the_weights_of_services() {
    let route = route("a.example", "/x/");
    let next = (0..1_000)
        .filter(|draw| route.choose_service(*draw).unwrap() == "desk-next")
        .count();
    assert_eq!(next, 100);
}

fn entry(port: u16) -> UpstreamEntry {
    UpstreamEntry {
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "kv-a".into(),
        version: "v1".into(),
        slots: 6,
        is_draining: false,
        started_ms: Some(1),
        report_sequence: Some(1),
        cold_left_ms: 0,
    }
}

fn serving(directory: &UpstreamDirectory) -> Vec<CompactString> {
    let mut ids: Vec<_> = directory
        .serving("desk")
        .map(|(id, _)| id.clone())
        .collect();
    ids.sort();
    ids
}

/// Guards against new requests to an upstream that is draining or gone, or whose entry cannot be read.
#[test]
fn only_ready_upstreams_with_readable_entries_get_requests() {
    let mut directory = UpstreamDirectory::default();
    assert_eq!(
        directory.apply("a".into(), Some(entry(1)), 0),
        UpstreamChange::Added
    );
    assert_eq!(
        directory.apply("b".into(), Some(entry(2)), 0),
        UpstreamChange::Added
    );
    assert_eq!(
        directory.apply("c".into(), Some(entry(3)), 0),
        UpstreamChange::Added
    );
    let draining = UpstreamEntry {
        is_draining: true,
        ..entry(1)
    };
    assert_eq!(
        directory.apply("a".into(), Some(draining), 10),
        UpstreamChange::Draining
    );
    assert_eq!(
        directory.apply("b".into(), None, 10),
        UpstreamChange::Removed
    );
    assert_eq!(serving(&directory), ["c"]);
}

/// Guards against removing upstreams whose entries expired during an outage of the store although they are alive, and
/// against keeping one whose entry does not return.
#[test]
fn entries_that_expire_in_an_outage_are_kept_for_the_grace_period() {
    let mut directory = UpstreamDirectory::default();
    for id in ["a", "b"] {
        directory.apply(id.into(), Some(entry(1)), 0);
    }
    directory.store_recovered(5_000);
    directory.apply_snapshot(Vec::new(), 5_000);
    assert_eq!(serving(&directory), ["a", "b"]);
    directory.apply("a".into(), Some(entry(1)), 5_500);
    assert!(directory.expire(5_000 + REMOVAL_GRACE_MS - 1).is_empty());
    assert_eq!(directory.expire(5_000 + REMOVAL_GRACE_MS), ["b"]);
    assert_eq!(serving(&directory), ["a"]);
    assert_eq!(
        directory.apply("a".into(), None, 9_000),
        UpstreamChange::Removed
    );
}

/// Guards against load state that survives a restart of an upstream under the same id.
#[test]
fn a_restart_under_the_same_id_is_a_new_upstream() {
    let mut directory = UpstreamDirectory::default();
    directory.apply("a".into(), Some(entry(1)), 0);
    let restarted = UpstreamEntry {
        started_ms: Some(2),
        ..entry(1)
    };
    assert_eq!(
        directory.apply("a".into(), Some(restarted), 10),
        UpstreamChange::Added
    );
}

fn presence(requests: u64) -> Option<Presence> {
    Some(Presence {
        requests,
        ..Presence::default()
    })
}

/// Guards against routers that together use more than an amount that is shared by all, also when callers reach them
/// unevenly.
#[test]
fn the_shares_of_an_amount_add_up_to_at_most_the_amount() {
    let mut routers = ActiveRouters::default();
    for (vm, requests) in [("a", 500), ("b", 10), ("c", 0), ("d", 90)] {
        routers.apply(vm.into(), presence(requests), 0);
    }
    let shares: Vec<u64> = ["a", "b", "c", "d"].map(|vm| routers.share(vm, 100)).into();
    assert!(shares.iter().sum::<u64>() <= 100, "{shares:?}");
    assert!(shares[0] > 3 * shares[1] && shares[2] > 0, "{shares:?}");
    routers.expire(PRESENCE_TIMEOUT_MS);
    assert!(
        routers.share("a", 100) < 10,
        "without reports many routers are assumed"
    );
}

/// Guards against periodic calls to the store that grow with the square of the fleet size: sixty routers at the
/// intervals of a fleet of nine made 2,440 calls per second, twice what the store accepts.
#[test]
fn each_router_of_a_large_fleet_calls_less_often() {
    let interval_factor = |count: u64| {
        let mut routers = ActiveRouters::default();
        for vm in 0..count {
            routers.apply(format_compact!("edge-{vm}"), presence(1), 0);
        }
        routers.interval_factor()
    };
    assert_eq!(
        [
            interval_factor(6),
            interval_factor(9),
            interval_factor(60),
            interval_factor(520)
        ],
        [1, 1, 3, 4]
    );
}

/// Guards against treating routers of a large fleet as gone between two of their reports.
#[test]
fn a_router_stays_active_for_three_report_intervals() {
    let mut routers = ActiveRouters::default();
    for vm in 0..60 {
        routers.apply(format_compact!("edge-{vm}"), presence(1), 0);
    }
    routers.expire(3 * 6_000);
    assert_eq!(routers.count(), 60);
}

/// Guards against retries that exceed their allowed share of the requests in any window.
#[test]
fn retries_stay_within_their_share_of_requests() {
    let rule = RetryRule {
        ratio_permille: 200,
        slack: 58,
        window_ms: 10_000,
    };
    let mut limit = RetryLimiter::default();
    let mut retries = 0;
    for now_ms in (0..10_000).step_by(10) {
        limit.count_request(now_ms);
        retries += u64::from(limit.try_retry(rule, 6, now_ms));
    }
    assert!((100..=206).contains(&retries), "{retries}");
    assert!(
        limit.try_retry(rule, 6, 30_000),
        "the slack is available again after the window has passed"
    );
}

fn candidates<'a>(ids: &'a [&'a str], slots: u32) -> Vec<Candidate<'a>> {
    ids.iter()
        .map(|id| Candidate {
            id,
            slots,
            is_local: false,
        })
        .collect()
}

fn prompt(session: u64) -> Prompt {
    Prompt {
        session,
        shared_tokens: 5_000,
        own_tokens: 1_000,
        ..Prompt::default()
    }
}

/// Scenario: many sessions with long shared prompts. Guards against sessions that move between upstreams, which would
/// prefill their prompts again, and against routers without notices that place the same session differently.
#[test]
fn a_session_stays_at_one_upstream_and_routers_agree() {
    let ids = ["a", "b", "c", "d", "e"];
    let (first, second) = (Placement::default(), Placement::default());
    let mut used = std::collections::BTreeSet::new();
    for session in 0..200 {
        let candidates = candidates(&ids, 64);
        let one = first.choose(&candidates, Some(&prompt(session)), &[], 0);
        let reversed: Vec<_> = candidates.iter().rev().copied().collect();
        let other = second.choose(&reversed, Some(&prompt(session)), &[], 9);
        assert_eq!(one, other);
        used.insert(one.unwrap());
    }
    assert_eq!(used.len(), ids.len());
}

/// Scenario: a session returns while other prompts are prefilled. Guards against prefilling a shared prompt again
/// elsewhere although the engine that has it cached is only slightly busier.
#[test]
fn a_session_returns_to_the_engine_that_cached_its_prompt() {
    let ids = ["a", "b"];
    let mut placement = Placement::default();
    placement.record_sent("a", Some(&prompt(7)), 0);
    placement.end_first_byte_wait("a");
    placement.record_finished("a", Outcome::Served, 100);
    placement.record_peer_sent("a", 8, 20.0, 1_000);
    let choice = placement.choose(&candidates(&ids, 64), Some(&prompt(7)), &[], 1_000);
    assert_eq!(choice, Ok("a"));
}

/// Scenario: one session gets much of the traffic. Guards against one upstream taking all of it while others are idle.
#[test]
fn a_hot_session_spreads_before_its_upstream_is_overloaded() {
    let ids = ["a", "b", "c", "d"];
    let mut placement = Placement::default();
    for _ in 0..80 {
        let candidates = candidates(&ids, 64);
        let id = placement
            .choose(&candidates, Some(&prompt(1)), &[], 0)
            .unwrap();
        placement.record_sent(id, Some(&prompt(1)), 0);
    }
    let loads = ids.map(|id| placement.open_requests(id));
    assert!(
        loads.iter().all(|load| (15..=25).contains(load)),
        "{loads:?}"
    );
}

/// Scenario: prompts of 58,000 tokens among short ones, placed by several routers. Guards against short requests that
/// queue behind a long prompt that another router sent.
#[test]
fn short_prompts_avoid_an_engine_that_prefills_a_long_prompt_of_another_router() {
    let ids = ["a", "b", "c"];
    let mut placement = Placement::default();
    placement.record_peer_sent("a", 1, 900.0, 0);
    for session in 0..50 {
        let short = Prompt {
            session,
            shared_tokens: 200,
            own_tokens: 300,
            ..Prompt::default()
        };
        let id = placement
            .choose(&candidates(&ids, 64), Some(&short), &[], 100)
            .unwrap();
        assert_ne!(id, "a");
    }
    let busy = |now_ms| {
        (0..50).any(|session| {
            let choice =
                placement.choose(&candidates(&ids, 64), Some(&prompt(session)), &[], now_ms);
            choice == Ok("a")
        })
    };
    assert!(!busy(500));
    assert!(busy(1_000), "the prefill of the long prompt has ended");
}

/// Guards against estimates that ignore that attention grows with the square of the prompt length.
#[test]
fn prefill_time_grows_faster_than_prompt_length() {
    let mut placement = Placement::default();
    let prompt_of = |tokens| Prompt {
        session: 1,
        shared_tokens: 0,
        own_tokens: tokens,
        ..Prompt::default()
    };
    let short_ms = placement.record_sent("a", Some(&prompt_of(5_000)), 0);
    let long_ms = placement.record_sent("b", Some(&prompt_of(50_000)), 0);
    assert!(long_ms > 13.0 * short_ms, "{short_ms} {long_ms}");
}

/// Scenario: engines of unequal speed. Guards against treating a slow engine like the others.
#[test]
fn a_slow_engine_counts_as_slow_once_it_is_measured() {
    let mut placement = Placement::default();
    let long = Prompt {
        session: 1,
        shared_tokens: 0,
        own_tokens: 20_000,
        ..Prompt::default()
    };
    for _ in 0..30 {
        for (id, elapsed_ms) in [("a", 240), ("b", 480)] {
            let work = placement.idle_prefill_work(id, &long, 0).unwrap();
            placement.record_prefill(id, work, elapsed_ms);
        }
    }
    let fast_ms = placement.expected_delay_ms("a", Some(&long), 0);
    let slow_ms = placement.expected_delay_ms("b", Some(&long), 0);
    assert!(slow_ms > 1.6 * fast_ms, "{fast_ms} {slow_ms}");
}

/// Scenario: upstreams crash while a router is cut off from the store, and others start at their addresses. Guards
/// against sending to a replaced upstream repeatedly until no retry is left.
#[test]
fn a_replaced_upstream_is_not_tried_again_until_it_is_added() {
    let ids = ["a", "b"];
    let mut placement = Placement::default();
    placement.record_sent("a", None, 0);
    placement.record_finished("a", Outcome::Replaced, 0);
    for _ in 0..5 {
        placement.record_sent("b", None, 0);
    }
    assert_eq!(
        placement.choose(&candidates(&ids, 6), None, &[], 8_000),
        Ok("b")
    );
    placement.reset("a");
    assert_eq!(
        placement.choose(&candidates(&ids, 6), None, &[], 8_000),
        Ok("a")
    );
}

/// Scenario: upstreams stop responding while requests are open. Guards against sending more requests to a silent
/// upstream, and against never trying it again.
#[test]
fn a_silent_upstream_gets_one_request_at_a_time_until_it_sends_again() {
    let ids = ["a"];
    let mut placement = Placement::default();
    placement.record_sent("a", None, 0);
    assert!(placement
        .choose(&candidates(&ids, 64), None, &[], 1_000)
        .is_ok());
    assert!(placement
        .choose(&candidates(&ids, 64), None, &[], 2_000)
        .is_ok());
    placement.record_sent("a", None, 2_000);
    let choice = placement.choose(&candidates(&ids, 64), None, &[], 2_010);
    assert_eq!(choice, Err(PlacementError::NoUpstream));
    placement.record_activity("a", 2_020);
    assert!(placement
        .choose(&candidates(&ids, 64), None, &[], 2_030)
        .is_ok());
}

/// Scenario: an upstream fails some of its requests although its entry says that it is ready. Guards against sending it
/// its full share of requests.
#[test]
fn a_failing_upstream_is_avoided_while_others_are_healthy() {
    let ids = ["a", "b"];
    let mut placement = Placement::default();
    for _ in 0..8 {
        placement.record_sent("a", None, 0);
        placement.record_finished("a", Outcome::Failed, 0);
        placement.record_sent("b", None, 0);
        placement.record_finished("b", Outcome::Served, 0);
    }
    assert_eq!(
        placement.choose(&candidates(&ids, 6), None, &[], 10),
        Ok("b")
    );
    for _ in 0..20 {
        placement.decay_failure_rates(0.89);
    }
    placement.record_sent("b", None, 0);
    placement.record_sent("b", None, 0);
    assert_eq!(
        placement.choose(&candidates(&ids, 6), None, &[], 10),
        Ok("a")
    );
}

/// Scenario: other routers send requests to an upstream. Guards against ignoring load reports and against relying on
/// old ones.
#[test]
fn reported_load_of_other_routers_counts_while_it_is_recent() {
    let ids = ["a", "b"];
    let mut placement = Placement::default();
    let busy = LoadReport {
        running: 6,
        waiting: 7,
        slots: 6,
        work_percent: None,
    };
    placement.record_load("a", busy, 0);
    placement.record_sent("b", None, 0);
    assert_eq!(
        placement.choose(&candidates(&ids, 6), None, &[], 100),
        Ok("b")
    );
    assert_eq!(
        placement.choose(&candidates(&ids, 6), None, &[], 5_000),
        Ok("a")
    );
}

/// Scenario: all upstreams are full. Guards against requests that are queued where they cannot be served.
#[test]
fn full_upstreams_are_distinguished_from_missing_ones() {
    let ids = ["a"];
    let mut placement = Placement::default();
    for _ in 0..12 {
        placement.record_sent("a", None, 0);
    }
    let choice = placement.choose(&candidates(&ids, 6), None, &[], 10);
    assert_eq!(choice, Err(PlacementError::Full));
    assert_eq!(
        placement.choose(&[], None, &[], 10),
        Err(PlacementError::NoUpstream)
    );
}
