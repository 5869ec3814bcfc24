//! Detection of a saturated link on a small VM, as opposed to upstreams that are slow themselves.

use monsoonfield::congestion::CongestionDetector;

/// Case, connects with the time in milliseconds that each took, whether the router counts as congested after them.
type Case<'a> = (&'a str, &'a [(&'a str, u64)], bool);

/// Records connects and returns whether the router then counts as congested.
fn is_congested_after(connects: &[(&str, u64)]) -> bool {
    let mut congestion = CongestionDetector::default();
    for (upstream, elapsed_ms) in connects {
        congestion.record_connect(upstream, *elapsed_ms, 100);
    }
    congestion.is_congested(200)
}

/// Guards against a small VM that accepts ever more callers while its packets queue (in a fleet of sixty VMs, one held
/// 1,900 connections and refused 5,125 requests because no upstream could be reached), and against mistaking slow
/// upstreams for a saturated link.
#[test]
fn only_slow_connects_to_several_upstreams_mean_congestion() {
    let cases: [Case<'_>; 6] = [
        ("no connects", &[], false),
        (
            "all are fast",
            &[("a", 2), ("b", 3), ("c", 2), ("d", 2)],
            false,
        ),
        (
            "all are slow",
            &[("a", 300), ("b", 90), ("c", 300), ("d", 80)],
            true,
        ),
        (
            "one upstream is silent",
            &[("a", 300), ("a", 300), ("a", 300), ("a", 300), ("b", 2)],
            false,
        ),
        (
            "most are fast",
            &[
                ("e", 2),
                ("f", 2),
                ("g", 2),
                ("h", 2),
                ("a", 300),
                ("b", 300),
                ("c", 300),
                ("d", 300),
            ],
            false,
        ),
        (
            "too few slow connects",
            &[("a", 300), ("b", 300), ("c", 300)],
            false,
        ),
    ];
    for (case, connects, expected) in cases {
        assert_eq!(is_congested_after(connects), expected, "{case}");
    }
}

/// Guards against a router that keeps sending callers to other routers after its link has recovered.
#[test]
fn congestion_ends() {
    let mut congestion = CongestionDetector::default();
    for upstream in ["a", "b", "c", "d"] {
        congestion.record_connect(upstream, 300, 1_000);
    }
    assert!(congestion.is_congested(3_900));
    congestion.record_connect("a", 2, 3_950);
    assert!(!congestion.is_congested(4_100));
}
