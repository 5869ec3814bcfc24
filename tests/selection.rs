//! Tests of the selection of an upstream.

use monsoonfield::ids::{RouteKey, UpstreamKey, VersionKey};
use monsoonfield::selection::{
    CacheChange, Request, Role, Selector, UpstreamDescription, BLOCK_TOKENS,
};
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ROUTE: RouteKey = RouteKey(1);
const VERSION: VersionKey = VersionKey(1);
const BLOCKS: [u64; 30] = [7; 30];

fn description() -> UpstreamDescription {
    UpstreamDescription {
        route: ROUTE,
        version: VERSION,
        role: Role::General,
        round_trip_us: 200,
        capacity_requests: 16,
        tokens_per_second: 500,
    }
}

fn selector(upstreams: u32) -> Selector {
    let mut selector = Selector::default();
    for upstream in 0..upstreams {
        selector.set_upstream(UpstreamKey(upstream), description());
    }
    selector
}

fn request(prefix_hashes: &[u64]) -> Request<'_> {
    Request {
        route: ROUTE,
        version: VERSION,
        prefix_hashes,
        prompt_tokens: 30 * BLOCK_TOKENS,
    }
}

/// Returns how often each upstream is chosen in 1,000 choices with unchanged state.
fn choice_counts(selector: &Selector, upstreams: u32, prefix_hashes: &[u64]) -> Vec<u32> {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut counts = vec![0; upstreams as usize];
    for _ in 0..1_000 {
        let choice = selector.choose(&request(prefix_hashes), rng.next_u64(), |_| true);
        counts[choice.expect("an upstream is usable").0 as usize] += 1;
    }
    counts
}

/// Guards against all routers choosing the same upstream while load figures are stale.
#[test]
fn equal_upstreams_share_the_requests() {
    let counts = choice_counts(&selector(10), 10, &[]);

    assert!(
        counts.iter().all(|&count| count < 200),
        "expected fewer than 200 choices of each: {counts:?}"
    );
}

/// Guards against choosing a loaded, distant or slow upstream when a better candidate is compared with it.
#[test]
fn the_cheaper_of_two_is_chosen() {
    let cases: [fn(&mut Selector); 4] = [
        |selector| selector.record_dispatch(UpstreamKey(0), 5_000),
        |selector| selector.set_peer_load(UpstreamKey(0), 16, 4_000),
        |selector| selector.set_slowness(UpstreamKey(0), 3.0),
        |selector| {
            let far = UpstreamDescription {
                round_trip_us: 2_000,
                ..description()
            };
            selector.set_upstream(UpstreamKey(0), far);
        },
    ];

    for (number, make_worse) in cases.into_iter().enumerate() {
        let mut selector = selector(2);
        make_worse(&mut selector);
        let counts = choice_counts(&selector, 2, &[]);
        // Both random candidates are the worse upstream in a quarter of the choices.
        assert!(
            (200..300).contains(&counts[0]),
            "case {number}: expected 200 to 300 choices of upstream 0: {counts:?}"
        );
    }
}

/// Guards against repeated prefill of a prompt that an upstream has cached, and against reliance on outdated events.
#[test]
fn a_cached_prefix_is_preferred_until_events_are_lost_or_load_outweighs_it() {
    let stored = CacheChange::Stored(BLOCKS[0]);
    type Edit = fn(&mut Selector);
    let cases: [(Edit, bool); 5] = [
        (|_| (), true),
        (|selector| selector.record_cache_gap(UpstreamKey(3)), true),
        (
            |selector| (0..3).for_each(|_| selector.record_cache_gap(UpstreamKey(3))),
            false,
        ),
        (
            |selector| selector.apply_cache_change(UpstreamKey(3), &CacheChange::Cleared),
            false,
        ),
        (
            |selector| (0..16).for_each(|_| selector.record_dispatch(UpstreamKey(3), 500)),
            false,
        ),
    ];

    for (number, (change, is_preferred)) in cases.into_iter().enumerate() {
        let mut selector = selector(10);
        selector.apply_cache_change(UpstreamKey(3), &stored);
        change(&mut selector);
        let counts = choice_counts(&selector, 10, &BLOCKS);
        assert_eq!(counts[3] > 900, is_preferred, "case {number}: {counts:?}");
    }
}

/// Guards against a refusal while one upstream is usable, and against choosing an upstream that must not be used.
#[test]
fn only_usable_upstreams_of_the_pool_are_chosen() {
    let mut selector = selector(50);
    let other_version = UpstreamDescription {
        version: VersionKey(2),
        ..description()
    };
    selector.set_upstream(UpstreamKey(50), other_version);
    let reserved = UpstreamDescription {
        role: Role::Reserved,
        ..description()
    };
    selector.set_upstream(UpstreamKey(51), reserved);

    for random in 0..100 {
        let last = selector.choose(&request(&[]), random, |upstream| upstream.0 >= 49);
        let none = selector.choose(&request(&[]), random, |upstream| upstream.0 >= 50);
        assert_eq!((last, none), (Some(UpstreamKey(49)), None));
    }
}
