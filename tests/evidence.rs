//! Tests of the evidence counts and the sequential comparison of two versions.

use monsoonfield::evidence::{
    Arm, Collector, Comparison, Finding, Metric, Outcome, Tally, TallyPair, REPORT_INTERVAL_MS,
};
use monsoonfield::record::Evidence;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOUR_MS: u64 = 3_600_000;

fn arm(is_new: bool) -> Arm {
    Arm {
        rollout: "move".into(),
        route: "large/chat".into(),
        step: 1,
        is_new,
    }
}

fn record_of(tally: &Tally, is_new: bool, end_ms: u64) -> Evidence {
    Evidence {
        id: "move".into(),
        route: "large/chat".into(),
        is_new,
        total: tally.total,
        failed: tally.failed,
        latency_counts: tally.latency_counts.clone(),
        step: 1,
        end_ms,
    }
}

/// Difference of the new version from the old one.
#[derive(Clone, Copy, Debug)]
struct Difference {
    failure: f64,
    latency_ratio: f64,
}

/// Simulates one second of 200 requests, 4% of them to the new version, with noise that affects both versions alike.
fn draw_second(second: u64, difference: Difference, rng: &mut Pcg64Mcg) -> TallyPair {
    let is_burst = second % 100 < 20;
    let (base_failure, base_ms) = if is_burst {
        (0.15, 400.0)
    } else {
        (0.03, 200.0)
    };
    let mut pair = TallyPair::default();
    for _ in 0..200 {
        let is_new = rng.random_bool(0.04);
        let (failure, ratio) = if is_new {
            (difference.failure, difference.latency_ratio)
        } else {
            (0.0, 1.0)
        };
        let spread: f64 = (0..4).map(|_| rng.random_range(-0.5..0.5)).sum();
        let outcome = if rng.random_bool(base_failure + failure) {
            Outcome::Failure
        } else {
            Outcome::Success {
                latency_ms: base_ms * ratio * spread.exp(),
            }
        };
        let tally = if is_new { &mut pair.new } else { &mut pair.old };
        tally.count(outcome);
    }
    pair
}

/// Returns the first finding and the second in which it was made.
fn first_finding(difference: Difference, seconds: u64, seed: u64) -> Option<(u64, Finding)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut comparison = Comparison::new(0, 2 * HOUR_MS);
    for second in 0..seconds {
        let pair = draw_second(second, difference, &mut rng);
        let end_ms = second * 1_000;
        for (tally, is_new) in [(&pair.old, false), (&pair.new, true)] {
            let (findings, _) = comparison.add(&record_of(tally, is_new, end_ms), false);
            if let Some(&finding) = findings.first() {
                return Some((second, finding));
            }
        }
    }
    None
}

/// Guards against more log entries than the log can append.
#[test]
fn evidence_is_taken_at_most_once_per_interval() {
    let mut collector = Collector::default();
    collector.count(&arm(false), Outcome::Failure);

    let first = collector.take(1_000);
    collector.count(&arm(true), Outcome::Success { latency_ms: 80.0 });
    let early = collector.take(1_000 + REPORT_INTERVAL_MS - 1);
    let second = collector.take(1_000 + REPORT_INTERVAL_MS);

    assert_eq!((first.len(), early.len(), second.len()), (1, 0, 1));
    assert_eq!((first[0].failed, second[0].failed), (1, 0));
    assert!(second[0].is_new);
    assert_eq!(collector.due_ms(), None);
}

/// Guards against passing, or never judging, a version whose differences are exactly those that count as bad.
#[test]
fn the_smallest_bad_differences_are_detected() {
    let cases = [
        (
            Difference {
                failure: 0.05,
                latency_ratio: 1.0,
            },
            Metric::Failures,
        ),
        (
            Difference {
                failure: 0.0,
                latency_ratio: 1.3,
            },
            Metric::Latency,
        ),
        (
            Difference {
                failure: 0.3,
                latency_ratio: 1.0,
            },
            Metric::Failures,
        ),
        (
            Difference {
                failure: 0.0,
                latency_ratio: 3.0,
            },
            Metric::Latency,
        ),
    ];

    for (difference, metric) in cases {
        for seed in 0..5 {
            let found = first_finding(difference, 3_000, seed).map(|(_, finding)| finding);
            assert_eq!(
                found,
                Some(Finding::Worse(metric)),
                "seed {seed}, {difference:?}"
            );
        }
    }
}

/// Guards against rolling back or delaying a good version because of noise that affects both versions.
#[test]
fn a_good_version_passes_despite_noise() {
    let good = Difference {
        failure: 0.0,
        latency_ratio: 1.0,
    };

    for seed in 0..20 {
        let found = first_finding(good, 3_000, seed).map(|(_, finding)| finding);
        assert_eq!(found, Some(Finding::NonInferior), "seed {seed}");
    }
}

/// Guards against a rollback for a negligible difference, which the large number of requests of a fleet would make
/// significant.
#[test]
fn a_harmless_difference_never_causes_a_rollback() {
    let harmless = Difference {
        failure: 0.008,
        latency_ratio: 1.05,
    };

    for seed in 0..3 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut comparison = Comparison::new(0, 2 * HOUR_MS);
        for second in 0..2_000 {
            let pair = draw_second(second, harmless, &mut rng);
            for (tally, is_new) in [(&pair.old, false), (&pair.new, true)] {
                let entry = record_of(tally, is_new, second * 1_000);
                let (findings, _) = comparison.add(&entry, false);
                let is_worse = findings
                    .iter()
                    .any(|finding| matches!(finding, Finding::Worse(_)));
                assert!(!is_worse, "seed {seed}, second {second}");
            }
        }
    }
}

/// Guards against a panic or a wrong conclusion on counts that no correct process writes.
#[test]
fn impossible_counts_are_bounded() {
    let mut comparison = Comparison::new(0, HOUR_MS);
    let entry = Evidence {
        total: u64::MAX,
        failed: u64::MAX,
        latency_counts: vec![u32::MAX; 1_000],
        is_new: true,
        step: 1,
        end_ms: u64::MAX,
        ..Evidence::default()
    };

    for _ in 0..3 {
        comparison.add(&entry, false);
    }

    assert!(comparison.since_start().new.failure_rate() <= 1.0);
}
