//! Tests of the failure detector and of rendezvous hashing.

use monsoonfield::ids::IncarnationId;
use monsoonfield::membership::detector::FailureDetector;
use monsoonfield::membership::{rendezvous, Member, MemberPhase, Members};
use monsoonfield::record::Entry;
use monsoonfield::settings::Timing;

const OWN: IncarnationId = IncarnationId(1);
const OTHER: IncarnationId = IncarnationId(2);
const TICK_MS: u64 = 1_000;

fn members(ids: &[IncarnationId]) -> Members {
    let mut members = Members::default();
    for id in ids {
        let member = Member {
            vm: format!("vm-{}", id.0).into(),
            data_centre: "dc-1".into(),
            address: format!("10.0.0.{}:7000", id.0).into(),
            phase: MemberPhase::Open,
            last_seq: 1,
        };
        members.open(*id, member);
    }
    members
}

/// What the detector observes during a run of ticks.
#[derive(Clone, Copy)]
struct Run {
    from_ms: u64,
    to_ms: u64,
    is_caught_up: bool,
    records: bool,
    heartbeats: bool,
}

/// Runs the detector tick by tick and returns each proposal with its time.
fn run_ticks(detector: &mut FailureDetector, members: &Members, run: Run) -> Vec<(u64, Entry)> {
    let mut proposals = Vec::new();
    let mut now_ms = run.from_ms;
    while now_ms <= run.to_ms {
        detector.on_caught_up(run.is_caught_up, now_ms);
        if run.records && now_ms.is_multiple_of(10_000) {
            detector.on_record(OTHER, now_ms);
        }
        if run.heartbeats {
            detector.on_heartbeat(OTHER, false, now_ms);
        }
        let entries = detector.propose(OWN, members, now_ms);
        proposals.extend(entries.into_iter().map(|entry| (now_ms, entry)));
        now_ms += TICK_MS;
    }
    proposals
}

/// Guards against the closure of a member that still writes records or sends heartbeats, or that only seems silent
/// because the log is unavailable.
#[test]
fn a_member_is_closed_only_without_records_and_heartbeats() {
    let cases = [
        ("records and heartbeats", true, true, true, false),
        ("heartbeats only", true, false, true, false),
        ("records only", true, true, false, false),
        ("log unavailable", false, false, false, false),
        ("silent", true, false, false, true),
    ];
    for (name, is_caught_up, records, heartbeats, is_closed) in cases {
        let members = members(&[OWN, OTHER]);
        let mut detector = FailureDetector::new(Timing::default());
        let run = Run {
            from_ms: 0,
            to_ms: 120_000,
            is_caught_up,
            records,
            heartbeats,
        };

        let proposals = run_ticks(&mut detector, &members, run);

        assert_eq!(!proposals.is_empty(), is_closed, "{name}: {proposals:?}");
        if let Some((at_ms, Entry::Close(close))) = proposals.first() {
            assert!(
                (60_000..=62_000).contains(at_ms),
                "{name}: closure proposed at {at_ms} ms, expected 60000 to 62000"
            );
            assert_eq!((close.incarnation, close.last_seq), (OTHER.0, 1));
        }
    }
}

/// Guards against the closure of all members after a log outage or after a pause of the detecting process.
#[test]
fn silence_restarts_after_an_outage_and_after_a_pause() {
    for (name, resume_ms) in [("outage", 151_000), ("pause", 200_000)] {
        let members = members(&[OWN, OTHER]);
        let mut detector = FailureDetector::new(Timing::default());
        let run = Run {
            from_ms: 0,
            to_ms: 50_000,
            is_caught_up: true,
            records: true,
            heartbeats: true,
        };
        run_ticks(&mut detector, &members, run);
        if name == "outage" {
            let outage = Run {
                from_ms: 51_000,
                to_ms: 150_000,
                is_caught_up: false,
                records: false,
                heartbeats: false,
            };
            assert_eq!(run_ticks(&mut detector, &members, outage), [], "{name}");
        }

        let silent = Run {
            from_ms: resume_ms,
            to_ms: resume_ms + 100_000,
            is_caught_up: true,
            records: false,
            heartbeats: false,
        };
        let proposals = run_ticks(&mut detector, &members, silent);

        let at_ms = proposals.first().map(|(at_ms, _)| at_ms - resume_ms);
        assert!(
            at_ms.is_some_and(|at_ms| (60_000..=62_000).contains(&at_ms)),
            "{name}: expected a proposal 60 to 62 s later, got {proposals:?}"
        );
    }
}

/// Guards against rights that return to the budget while a request of the ended member may still be billed.
#[test]
fn an_ended_member_is_finalised_two_hours_later() {
    for phase in [MemberPhase::Closed, MemberPhase::Left] {
        let mut members = members(&[OWN, OTHER]);
        members.get_mut(OTHER).expect("a member").phase = phase;
        let mut detector = FailureDetector::new(Timing::default());
        let run = Run {
            from_ms: 0,
            to_ms: 7_210_000,
            is_caught_up: true,
            records: false,
            heartbeats: false,
        };

        let proposals = run_ticks(&mut detector, &members, run);

        let (at_ms, entry) = proposals.first().expect("a proposal");
        assert!(
            (7_200_000..=7_202_000).contains(at_ms),
            "finalisation proposed at {at_ms} ms, expected 7200000 to 7202000"
        );
        assert!(matches!(entry, Entry::Finalize(finalize) if finalize.incarnation == OTHER.0));
    }
}

/// Guards against one record from each survivor when a member fails.
#[test]
fn survivors_propose_one_after_the_other() {
    let ids: Vec<_> = (1..=9).map(IncarnationId).collect();
    let failed = ids[8];
    let members = members(&ids);
    let mut first_ms = Vec::new();
    for own in &ids[..8] {
        let mut detector = FailureDetector::new(Timing::default());
        let mut now_ms = 0;
        let proposed_ms = loop {
            detector.on_caught_up(true, now_ms);
            for id in &ids[..8] {
                detector.on_heartbeat(*id, false, now_ms);
            }
            if !detector.propose(*own, &members, now_ms).is_empty() {
                break now_ms;
            }
            assert!(
                now_ms < 200_000,
                "{own} did not propose to close {failed} within 200 s"
            );
            now_ms += TICK_MS;
        };
        first_ms.push(proposed_ms);
    }

    first_ms.sort_unstable();
    assert!(
        first_ms.windows(2).all(|pair| pair[1] - pair[0] >= 5_000),
        "expected proposals at least 5 s apart, got {first_ms:?}"
    );
}

/// Guards against budgets that get another home although only one member fails and it is not their home.
#[test]
fn a_failed_member_moves_only_its_own_keys() {
    let ids: Vec<_> = (0..9).map(|n| IncarnationId(n * 0x9e37_79b9)).collect();
    let mut moved = 0;
    for key in 0..1_000_u32 {
        let key = key.to_be_bytes();
        let before = rendezvous::owner(&key, ids.iter().copied());
        let after = rendezvous::owner(&key, ids[1..].iter().copied());
        assert_eq!(
            before,
            rendezvous::rank(&key, ids.iter().copied()).first().copied()
        );
        if before == Some(ids[0]) {
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!(
        (60..=170).contains(&moved),
        "{moved} of 1000 keys were owned by the failed member, expected 60 to 170"
    );
}
