//! Which routers hold a team's rights, and whom a router asks for tokens.

use std::net::SocketAddr;

use compact_str::{format_compact, CompactString};
use monsoonfield::holders::{ask_order, rank, Candidate, Holder, PeerMonitor, HOLDERS_PER_TEAM};

fn fleet(count: usize) -> Vec<(CompactString, CompactString)> {
    let vm = |index: usize| {
        (
            format_compact!("edge-{index}"),
            format_compact!("dc-{}", index % 5),
        )
    };
    (0..count).map(vm).collect()
}

fn candidates(fleet: &[(CompactString, CompactString)]) -> Vec<Candidate<'_>> {
    fleet
        .iter()
        .map(|(vm, data_centre)| Candidate {
            vm,
            data_centre,
            weight_permille: 1_000,
        })
        .collect()
}

fn address(vm: &str) -> SocketAddr {
    let number: u16 = vm.trim_start_matches("edge-").parse().expect("a number");
    SocketAddr::from(([10, 0, 0, 1], 7_000 + number))
}

fn peer(vm: &str) -> Holder {
    Holder::Peer {
        vm: vm.into(),
        address: address(vm),
    }
}

/// Guards against rights that are spread over the whole fleet: with 95 routers, each part of a budget was smaller than
/// one large request, and 35 of 100 requests were refused although their team could pay.
#[test]
fn a_team_has_few_holders_in_different_data_centres_whatever_the_fleet_size() {
    for size in [2, 9, 61, 95, 300, 520] {
        let fleet = fleet(size);
        for team in ["soles", "heels", "laces"] {
            let ranked = rank(team, candidates(&fleet));
            let holders = &ranked[..HOLDERS_PER_TEAM];
            assert_ne!(
                holders[0].data_centre, holders[1].data_centre,
                "{team} among {size}"
            );
        }
    }
}

/// Guards against routers that disagree on the holders because they learned of the fleet in a different order.
#[test]
fn all_routers_agree_on_the_holders() {
    let fleet = fleet(95);
    let forward = rank("soles", candidates(&fleet));
    let mut reversed = candidates(&fleet);
    reversed.reverse();
    assert_eq!(rank("soles", reversed), forward);
}

/// Guards against moving the rights of many teams when one router joins or leaves.
#[test]
fn a_router_that_leaves_changes_only_the_teams_that_it_held() {
    let fleet = fleet(60);
    let leaving = "edge-17";
    for team in 0..200 {
        let team = format!("team-{team}");
        let before = rank(&team, candidates(&fleet));
        let held_by = |ranked: &[Candidate<'_>]| -> Vec<String> {
            let holders = ranked.iter().take(HOLDERS_PER_TEAM);
            holders.map(|holder| holder.vm.to_owned()).collect()
        };
        let remaining = candidates(&fleet)
            .into_iter()
            .filter(|candidate| candidate.vm != leaving);
        let after = rank(&team, remaining);
        if !held_by(&before).contains(&leaving.to_owned()) {
            assert_eq!(held_by(&after), held_by(&before), "{team}");
        }
    }
}

/// Guards against small VMs that hold as many teams as large ones.
#[test]
fn larger_vms_hold_more_teams() {
    let fleet = fleet(20);
    let mut weighted = candidates(&fleet);
    for candidate in weighted.iter_mut().take(10) {
        candidate.weight_permille = 3_000;
    }
    let mut held_by_large = 0;
    for team in 0..1_000 {
        let ranked = rank(&format!("team-{team}"), weighted.clone());
        held_by_large += usize::from(ranked[0].weight_permille == 3_000);
    }
    // Three quarters of the weight; the standard deviation is 14.
    assert!((680..=820).contains(&held_by_large), "{held_by_large}");
}

/// Guards against requests that wait for a holder that is known not to respond, and against routers that cannot reach
/// any holder and give up although the store would grant rights to themselves.
#[test]
fn silent_holders_are_replaced_and_the_router_itself_comes_last() {
    let fleet = fleet(40);
    let ranked = rank("soles", candidates(&fleet));
    let outsider = candidates(&fleet)
        .into_iter()
        .find(|candidate| !ranked.contains(candidate))
        .expect("not all are ranked");
    let address_of = |vm: &str| Some(address(vm));
    let all = ask_order(&ranked, outsider, address_of, |_| false);
    let silent = address(ranked[0].vm);
    let without_first = ask_order(&ranked, outsider, address_of, |peer| peer == silent);
    let without_any = ask_order(&ranked, outsider, address_of, |_| true);
    assert_eq!(all.len(), HOLDERS_PER_TEAM + 1);
    assert!(all[..HOLDERS_PER_TEAM].contains(&peer(ranked[0].vm)));
    assert_eq!(all.last(), Some(&Holder::Own));
    let expected = [peer(ranked[1].vm), peer(ranked[2].vm), Holder::Own];
    assert_eq!(without_first, expected);
    assert_eq!(without_any, [Holder::Own]);
}

/// Guards against a holder that sends its own requests to another one.
#[test]
fn a_holder_asks_itself_first() {
    let fleet = fleet(40);
    let ranked = rank("soles", candidates(&fleet));
    for own in &ranked[..HOLDERS_PER_TEAM] {
        let order = ask_order(&ranked, *own, |vm| Some(address(vm)), |_| false);
        assert_eq!(order[0], Holder::Own);
        assert_eq!(order.len(), HOLDERS_PER_TEAM);
    }
}

/// Guards against requests from other data centres that all burden the same holder.
#[test]
fn requests_spread_over_the_holders() {
    let fleet = fleet(95);
    let ranked = rank("soles", candidates(&fleet));
    let mut first = 0;
    for own in candidates(&fleet) {
        let order = ask_order(&ranked, own, |vm| Some(address(vm)), |_| false);
        first += usize::from(order[0] == peer(ranked[0].vm));
    }
    assert!((25..=70).contains(&first), "{first} of 95");
}

/// Guards against a timeout for each request to a dead holder, and against a holder that stays excluded once it is back.
#[test]
fn a_silent_peer_is_probed_until_it_responds() {
    let mut monitor = PeerMonitor::default();
    let peer = address("edge-1");
    assert!(monitor.record_timeout(peer, 1_000), "the first timeout");
    assert!(!monitor.record_timeout(peer, 1_010), "known already");
    assert!(monitor.is_silent(peer));
    assert!(!monitor.take_probe(peer, 1_100), "too early");
    assert!(monitor.take_probe(peer, 1_400));
    assert!(!monitor.take_probe(peer, 1_500), "one probe at a time");
    monitor.record_response(peer, 2);
    assert!(!monitor.is_silent(peer));
    assert!(!monitor.take_probe(peer, 9_000));
}

/// Guards against distant holders that count as silent because their replies take longer than those of near ones.
#[test]
fn the_timeout_follows_the_round_trip_of_the_peer() {
    let mut monitor = PeerMonitor::default();
    let (near, far) = (address("edge-1"), address("edge-2"));
    monitor.record_response(near, 1);
    monitor.record_response(far, 80);
    assert!(monitor.timeout_ms(near) <= 60);
    assert!(monitor.timeout_ms(far) >= 240);
}
