//! The fleet time when some of the sampled clocks are wrong.

use std::net::SocketAddr;

use monsoonfield::fleet_clock::FleetClock;

const MONOTONIC_MS: u64 = 40_000;
const WALL_MS: u64 = 9_000_000;

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn clock(walls_ms: &[u64]) -> FleetClock {
    let mut clock = FleetClock::default();
    for (number, wall_ms) in walls_ms.iter().enumerate() {
        clock.add_sample(peer(number as u8), *wall_ms, MONOTONIC_MS);
    }
    clock
}

/// Guards against wrongly reclaiming tokens because the clock of one VM, or of a minority of VMs, jumped.
#[test]
fn a_minority_of_wrong_clocks_does_not_change_the_fleet_time() {
    let right = WALL_MS;
    let cases: [(&str, u64, &[u64]); 4] = [
        ("all agree", right, &[right, right + 20, right - 20]),
        ("this VM's clock is ahead", right + 5_000, &[right, right]),
        ("this VM's clock is behind", right - 5_000, &[right, right]),
        (
            "two of five others jumped",
            right,
            &[right, right - 9_000, right - 9_000, right, right],
        ),
    ];
    for (case, own_ms, others_ms) in cases {
        let now_ms = clock(others_ms).now_ms(own_ms, MONOTONIC_MS).expect(case);
        assert!(now_ms.abs_diff(right) <= 20, "{case}: {now_ms}");
    }
}

/// Guards against a fleet time that is derived from two clocks, one of which may be wrong.
#[test]
fn the_fleet_time_is_unknown_with_too_few_clocks() {
    assert_eq!(clock(&[]).now_ms(WALL_MS, MONOTONIC_MS), None);
    assert_eq!(clock(&[WALL_MS]).now_ms(WALL_MS, MONOTONIC_MS), None);
    let mut repeated = FleetClock::default();
    for _ in 0..5 {
        repeated.add_sample(peer(1), WALL_MS, MONOTONIC_MS);
    }
    assert_eq!(
        repeated.now_ms(WALL_MS, MONOTONIC_MS),
        None,
        "one peer counts once"
    );
}

/// Guards against a fleet time that follows a jump of this VM's wall clock after the samples were taken, and against
/// using samples from before a long silence.
#[test]
fn samples_advance_with_the_monotonic_clock_and_expire() {
    let clock = clock(&[WALL_MS, WALL_MS, WALL_MS]);
    let later_ms = clock.now_ms(WALL_MS + 9_000, MONOTONIC_MS + 1_000);
    assert_eq!(later_ms, Some(WALL_MS + 1_000));
    assert_eq!(clock.now_ms(WALL_MS, MONOTONIC_MS + 60_000), None);
}
