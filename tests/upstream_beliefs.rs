//! What routers tell each other about upstreams whose processes are gone.

use monsoonfield::upstream_availability::UpstreamProcess;
use monsoonfield::upstream_beliefs::{
    GoneKind, Preference, ReportEffect, RequestNeed, Retry, UpstreamBeliefs, REPLACED_RETENTION_MS,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn process(id: &str, started_ms: u64) -> UpstreamProcess<'_> {
    UpstreamProcess {
        id,
        started_ms: Some(started_ms),
    }
}

/// Guards against requests to a process that others have found replaced, and against an upstream that stays unused after
/// its entry names a later process, after it has answered, or because a report was wrong.
#[test]
fn a_replaced_process_gets_no_requests_and_its_successor_does() {
    let mut beliefs = UpstreamBeliefs::default();
    let known = process("i-1", 5);
    let effect = beliefs.record_report(known, GoneKind::Replaced, 0, 100);
    assert_eq!(effect, ReportEffect::Excluded);
    assert!(beliefs.is_gone(known, 101));
    assert!(!beliefs.is_gone(process("i-1", 6), 101), "a later process");
    assert!(
        !beliefs.is_gone(known, 100 + REPLACED_RETENTION_MS),
        "a wrong report ends"
    );

    beliefs.record_answer(known, 200);
    assert!(!beliefs.is_gone(known, 201));
    let held_up = beliefs.record_report(known, GoneKind::Replaced, 50, 210);
    assert_eq!(held_up, ReportEffect::None, "older than the answer");
    beliefs.record_discovery(known, GoneKind::Replaced, 300);
    beliefs.forget("i-1");
    assert!(!beliefs.is_gone(known, 301), "its entry was removed");
}

/// Guards against a wrong report of a refused connection that costs the fleet an upstream, and against reports that
/// extend the backoff again and again.
#[test]
fn a_refused_connection_delays_an_upstream_once_and_excludes_none() {
    let mut beliefs = UpstreamBeliefs::default();
    let known = process("i-1", 5);
    let report = |beliefs: &mut UpstreamBeliefs, now_ms| {
        beliefs.record_report(known, GoneKind::Unreachable, 0, now_ms)
    };
    assert_eq!(report(&mut beliefs, 100), ReportEffect::Delayed);
    assert_eq!(report(&mut beliefs, 300), ReportEffect::None);
    assert!(!beliefs.is_gone(known, 301));
    assert_eq!(report(&mut beliefs, 3_000), ReportEffect::Delayed);
    let old = beliefs.record_report(process("i-2", 5), GoneKind::Unreachable, 60_000, 100_000);
    assert_eq!(old, ReportEffect::None);
}

/// Guards against a router that repeats the report of another one, or reports the same twice.
#[test]
fn a_process_is_reported_once_by_each_router_that_received_no_report() {
    let known = process("i-1", 5);
    for kind in [GoneKind::Replaced, GoneKind::Unreachable] {
        let mut beliefs = UpstreamBeliefs::default();
        assert!(beliefs.record_discovery(known, kind, 100), "{kind:?}");
        assert!(!beliefs.record_discovery(known, kind, 200), "{kind:?}");
        assert!(
            beliefs.record_discovery(process("i-1", 6), kind, 300),
            "a later process"
        );
        let mut receiver = UpstreamBeliefs::default();
        receiver.record_report(known, kind, 0, 100);
        assert!(!receiver.record_discovery(known, kind, 101), "{kind:?}");
    }
}

/// Guards against a last retry at an upstream that may be gone, against piling first sends on the few upstreams that have
/// answered, and against any preference while nothing was found gone.
#[test]
fn upstreams_that_have_answered_are_preferred_while_the_directory_is_stale() {
    let mut beliefs = UpstreamBeliefs::default();
    let need = |retry, answered| RequestNeed {
        retry,
        serving: 100,
        answered,
    };
    let last = need(Retry::Last, 10);
    assert_eq!(beliefs.preference(Some(50), &last), Preference::None);
    beliefs.record_discovery(process("i-1", 5), GoneKind::Replaced, 100);
    let since_ms = 50;
    let cases = [
        (need(Retry::None, 10), Preference::None),
        (need(Retry::None, 25), Preference::Answered { since_ms }),
        (need(Retry::Allowed, 10), Preference::Answered { since_ms }),
        (last, Preference::OnlyAnswered { since_ms }),
    ];
    for (need, expected) in cases {
        assert_eq!(
            beliefs.preference(Some(since_ms), &need),
            expected,
            "{need:?}"
        );
    }
    assert_eq!(
        beliefs.preference(None, &last),
        Preference::None,
        "a directory that is current"
    );
    assert_eq!(
        beliefs.preference(Some(101), &last),
        Preference::None,
        "found before"
    );
    beliefs.record_answer(process("i-2", 5), 60);
    assert!(beliefs.has_answered_since(process("i-2", 5), 50));
    assert!(!beliefs.has_answered_since(process("i-2", 5), 70));
    assert!(
        !beliefs.has_answered_since(process("i-2", 6), 50),
        "another process"
    );
}

/// Plays 60 routers that send requests to 100 upstreams of which a quarter was replaced; returns the responses with 421
/// and the datagrams.
fn play(seed: u64, tells: bool, lost_percent: u32) -> (u64, u64) {
    const ROUTERS: usize = 60;
    const UPSTREAMS: usize = 100;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let ids: Vec<String> = (0..UPSTREAMS).map(|number| format!("i-{number}")).collect();
    let mut routers: Vec<UpstreamBeliefs> = vec![UpstreamBeliefs::default(); ROUTERS];
    let (mut misdirected, mut datagrams) = (0, 0);
    // 1,000 requests a second for 10 s.
    for now_ms in 0..10_000 {
        let router = random.random_range(0..ROUTERS);
        let usable: Vec<usize> = (0..UPSTREAMS)
            .filter(|number| !routers[router].is_gone(process(&ids[*number], 1), now_ms))
            .collect();
        let chosen = usable[random.random_range(0..usable.len())];
        if !chosen.is_multiple_of(4) {
            continue;
        }
        misdirected += 1;
        let gone = process(&ids[chosen], 1);
        let is_new = routers[router].record_discovery(gone, GoneKind::Replaced, now_ms);
        for (_, other) in routers
            .iter_mut()
            .enumerate()
            .filter(|(other, _)| *other != router)
        {
            if tells && is_new {
                datagrams += 1;
                if random.random_range(0..100) >= lost_percent {
                    other.record_report(gone, GoneKind::Replaced, 0, now_ms);
                }
            }
        }
    }
    (misdirected, datagrams)
}

/// Guards against each of many routers discovering each replaced upstream for itself, which uses up the retry limit, also
/// if datagrams are lost, and against more than one datagram for each that discovers one.
#[test]
fn replaced_upstreams_are_discovered_about_once_by_the_whole_fleet() {
    for seed in 0..5 {
        let (alone, none) = play(seed, false, 0);
        assert!(alone > 1_000 && none == 0, "seed {seed}: {alone}");
        let (told, datagrams) = play(seed, true, 0);
        assert_eq!((told, datagrams), (25, 25 * 59), "seed {seed}");
        let (told, datagrams) = play(seed, true, 10);
        assert!(told <= 25 * 10, "seed {seed}: {told} with lost datagrams");
        assert!(datagrams <= told * 59, "seed {seed}: {datagrams}");
    }
}
