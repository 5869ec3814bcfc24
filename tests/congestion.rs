//! Detection of a saturated link on a small VM, as opposed to upstreams that are slow themselves.

use compact_str::CompactString;
use monsoonfield::congestion::{CongestionDetector, ReportedCongestion};
use monsoonfield::holders::{self, HOLDERS_PER_TEAM};
use monsoonfield::placement::{Candidate, Outcome, Placement, PlacementError};
use monsoonfield::shared_limits::{ActiveRouters, Presence};

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

const UPSTREAMS: [&str; 3] = ["a", "b", "c"];

/// Chooses among the upstreams except those that were tried.
fn choose(placement: &Placement, tried: &[CompactString]) -> Result<String, PlacementError> {
    choose_at(placement, tried, 200)
}

fn choose_at(
    placement: &Placement,
    tried: &[CompactString],
    now_ms: u64,
) -> Result<String, PlacementError> {
    let candidates = UPSTREAMS.map(|id| Candidate {
        id,
        slots: 8,
        is_local: true,
    });
    let chosen = placement.choose(&candidates, None, tried, now_ms);
    chosen.map(str::to_owned)
}

/// Records a request to each of the upstreams that ended without a connection.
fn record_failed_connects(placement: &mut Placement, upstreams: &[&str], outcome: Outcome) {
    for id in upstreams {
        placement.record_sent(id, None, 100);
        placement.record_finished(id, outcome, 100);
    }
}

/// Guards against refusing requests because connects to all upstreams timed out on this VM's own link, and against
/// attempts at upstreams that are certainly gone.
#[test]
fn unanswered_upstreams_are_used_if_no_other_is_left_and_the_vm_is_suspected() {
    let cases = [
        (Outcome::Unanswered, true, true),
        (Outcome::Unanswered, false, false),
        (Outcome::Unreachable, true, false),
    ];
    for (outcome, is_suspected, is_chosen) in cases {
        let mut placement = Placement::default();
        placement.suspect_own_congestion(is_suspected);
        record_failed_connects(&mut placement, &UPSTREAMS, outcome);
        let chosen = choose(&placement, &[]);
        let case = format!("{outcome:?}, suspected: {is_suspected}, {chosen:?}");
        assert_eq!(chosen.is_ok(), is_chosen, "{case}");
    }
}

/// Guards against refusing requests in the seconds after the congestion, because upstreams are still in backoff.
#[test]
fn upstreams_that_did_not_answer_during_congestion_are_used_after_it() {
    let mut placement = Placement::default();
    placement.suspect_own_congestion(true);
    for _ in 0..4 {
        record_failed_connects(&mut placement, &UPSTREAMS, Outcome::Unanswered);
    }
    placement.suspect_own_congestion(false);
    assert!(choose(&placement, &[]).is_ok());
}

/// Guards against a gateway that tries the upstreams of a data centre that is cut off twice a second: connects to most
/// upstreams are slow then, and this VM is suspected although others are reached.
#[test]
fn the_backoff_of_unanswered_upstreams_grows_while_the_vm_is_suspected() {
    let mut placement = Placement::default();
    placement.suspect_own_congestion(true);
    for _ in 0..4 {
        record_failed_connects(&mut placement, &["a", "b"], Outcome::Unanswered);
    }
    for now_ms in [200, 2_000, 4_000] {
        assert_eq!(choose_at(&placement, &[], now_ms), Ok("c".into()));
    }
}

/// Guards against a VM that goes on trying an upstream that does not answer although others do.
#[test]
fn a_single_unanswered_upstream_is_avoided_whether_or_not_the_vm_is_suspected() {
    for is_suspected in [false, true] {
        let mut placement = Placement::default();
        placement.suspect_own_congestion(is_suspected);
        record_failed_connects(&mut placement, &["a"], Outcome::Unanswered);
        let mut tried: Vec<CompactString> = Vec::new();
        while let Ok(id) = choose(&placement, &tried) {
            tried.push(id.into());
            if tried.len() == 2 {
                break;
            }
        }
        assert!(!tried.contains(&"a".into()), "{tried:?}");
    }
}

/// Guards against suspecting the VM of what one or two upstreams cause, and against suspecting it only when as many
/// connects have failed as mean congestion: with three upstreams all of them would be avoided before.
#[test]
fn the_vm_is_suspected_once_connects_to_three_upstreams_were_slow() {
    let mut congestion = CongestionDetector::default();
    congestion.record_connect("a", 300, 100);
    congestion.record_connect("b", 300, 110);
    assert!(!congestion.is_suspected(120));
    congestion.record_connect("c", 300, 120);
    assert!(congestion.is_suspected(120) && !congestion.is_congested(120));
    assert!(
        !congestion.is_suspected(1_200),
        "older samples do not count"
    );
}

/// Number of routers in each of the two data centres of a fleet.
const ROUTERS: u64 = 20;

/// Returns a fleet in which these VMs are congested.
fn fleet(congested: &[&str]) -> ActiveRouters {
    let mut routers = ActiveRouters::default();
    for number in 0..2 * ROUTERS {
        let data_centre = if number < ROUTERS { "kv-a" } else { "kv-b" };
        let vm = format!("edge-{number}");
        let presence = Presence {
            data_centre: data_centre.into(),
            router: number,
            weight_permille: 500,
            is_congested: congested.contains(&vm.as_str()),
            ..Presence::default()
        };
        routers.apply(vm.into(), Some(presence), 0);
    }
    routers
}

/// Returns the holders of each team.
fn holders_of_teams(routers: &ActiveRouters) -> Vec<Vec<String>> {
    let teams = (0..200).map(|number| format!("team-{number}"));
    let holders = teams.map(|team| {
        let ranked = holders::rank(&team, routers.rights_candidates());
        let holders = ranked.iter().take(HOLDERS_PER_TEAM);
        holders.map(|holder| holder.vm.to_owned()).collect()
    });
    holders.collect()
}

/// Guards against a congested VM that remains the holder of a busy team's rights (3,202 requests of a team with 13.5
/// million unspent tokens were refused because its holder's journal entries were late), and against moving the rights
/// of teams that it does not hold.
#[test]
fn the_rights_of_teams_move_away_from_a_congested_vm_only() {
    let before = holders_of_teams(&fleet(&[]));
    let held_before = before
        .iter()
        .filter(|holders| holders.contains(&"edge-3".into()));
    assert!(held_before.count() >= 5, "the VM holds teams at first");

    let after = holders_of_teams(&fleet(&["edge-3"]));

    for (before, after) in before.iter().zip(&after) {
        assert!(!after.contains(&"edge-3".into()), "{before:?} -> {after:?}");
        if !before.contains(&"edge-3".into()) {
            assert_eq!(before, after);
        }
    }
}

/// Guards against moving the rights of a whole data centre because connects from it were slow, for example when it was
/// cut off.
#[test]
fn rights_stay_if_most_routers_of_a_data_centre_are_congested() {
    let congested: Vec<String> = (0..11).map(|number| format!("edge-{number}")).collect();
    let congested: Vec<&str> = congested.iter().map(String::as_str).collect();
    assert_eq!(
        holders_of_teams(&fleet(&congested)),
        holders_of_teams(&fleet(&[]))
    );
    assert_ne!(
        holders_of_teams(&fleet(&congested[..10])),
        holders_of_teams(&fleet(&[]))
    );
}

/// Guards against routers that do not learn of a change, because the ranking of holders is kept as long as the
/// generation stays the same.
#[test]
fn a_change_of_congestion_changes_the_generation() {
    let mut routers = fleet(&[]);
    let before = routers.generation();
    let presence = Presence {
        data_centre: "kv-a".into(),
        router: 3,
        weight_permille: 500,
        is_congested: true,
        ..Presence::default()
    };
    routers.apply("edge-3".into(), Some(presence), 1);
    assert_ne!(routers.generation(), before);
}

/// Guards against coordinators that grant nothing for seconds because the network of some VM is congested, and against
/// ones that don't learn of a change of coordinators.
#[test]
fn only_a_change_of_candidates_changes_their_generation() {
    let known = Presence {
        data_centre: "kv-a".into(),
        router: 3,
        weight_permille: 500,
        ..Presence::default()
    };
    let congested = Presence {
        is_congested: true,
        ..known.clone()
    };
    let lighter = Presence {
        weight_permille: 400,
        ..known.clone()
    };
    let moved = Presence {
        data_centre: "kv-b".into(),
        ..known.clone()
    };
    let cases = [
        ("same", Some(known.clone()), false),
        ("congested", Some(congested), false),
        ("lighter", Some(lighter), true),
        ("moved", Some(moved), true),
        ("gone", None, true),
    ];
    for (name, presence, is_change) in cases {
        let mut routers = fleet(&[]);
        routers.apply("edge-3".into(), Some(known.clone()), 1);
        let before = routers.candidate_generation();
        routers.apply("edge-3".into(), presence, 2);
        let is_changed = routers.candidate_generation() != before;
        assert_eq!(is_changed, is_change, "{name}");
    }
    let mut routers = fleet(&[]);
    let before = routers.candidate_generation();
    routers.expire(u64::MAX);
    assert_ne!(routers.candidate_generation(), before, "expired");
}

/// Guards against rights that move back and forth with a load that comes and goes, and against a short disturbance that
/// moves any.
#[test]
fn reported_congestion_is_sustained_and_changes_rarely() {
    let cases = [
        ("none", 0, 10_000, 0),
        ("three seconds after one disturbance", 3_000, 600_000, 0),
        ("five seconds in ten", 5_000, 10_000, 1),
        ("five seconds in two minutes", 5_000, 120_000, 10),
    ];
    for (case, congested_ms, period_ms, most_changes) in cases {
        let mut reported = ReportedCongestion::default();
        let mut was_reported = false;
        let mut changes = 0;
        for now_ms in (0..600_000).step_by(100) {
            let is_reported = reported.update(now_ms % period_ms < congested_ms, now_ms);
            changes += u32::from(std::mem::replace(&mut was_reported, is_reported) != is_reported);
        }
        assert_eq!(changes, most_changes, "{case}");
    }
}
