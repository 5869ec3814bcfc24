//! Tests of the quarantine of requests that crash upstreams.

use monsoonfield::ids::Fingerprint;
use monsoonfield::quarantine::{Quarantine, RETAINED_QUARANTINED, RETAINED_SINGLE_CRASHES};

/// Guards against a request that crashes one upstream after another, and against a quarantine caused by the fault of a
/// single upstream.
#[test]
fn the_second_crash_quarantines_a_request() {
    let mut quarantine = Quarantine::default();
    let states: Vec<bool> = (0..3)
        .map(|_| {
            quarantine.add_crash(Fingerprint(7));
            quarantine.is_quarantined(Fingerprint(7))
        })
        .collect();

    assert_eq!(states, [false, true, true]);
    assert!(!quarantine.is_quarantined(Fingerprint(8)));
}

/// Guards against memory that grows with the crashes, and against other crashes that release a quarantined request.
#[test]
fn memory_is_bounded_and_single_crashes_release_no_quarantined_request() {
    let mut quarantine = Quarantine::default();
    quarantine.add_crash(Fingerprint(7));
    quarantine.add_crash(Fingerprint(7));

    for number in 0..3 * RETAINED_SINGLE_CRASHES as u64 {
        quarantine.add_crash(Fingerprint(1_000 + number));
    }

    assert!(quarantine.is_quarantined(Fingerprint(7)));
    assert_eq!(quarantine.len(), RETAINED_SINGLE_CRASHES + 1);
}

/// Guards against eviction that differs between processes: equal records must give equal states.
#[test]
fn the_oldest_quarantined_request_is_evicted_first() {
    let mut quarantine = Quarantine::default();

    for number in 0..=RETAINED_QUARANTINED as u64 {
        quarantine.add_crash(Fingerprint(number));
        quarantine.add_crash(Fingerprint(number));
    }

    assert!(!quarantine.is_quarantined(Fingerprint(0)));
    assert!(quarantine.is_quarantined(Fingerprint(1)));
    assert_eq!(quarantine.len(), RETAINED_QUARANTINED);
}
