//! Reports of the responses of both versions to the gateways that decide.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{format_compact, CompactString};

use super::super::peers::{Content, RouteReport, VersionReport};
use super::super::Shared;
use super::is_near_deadline;
use crate::holders;
use crate::rollout_completion::{RouteTally, Tally};
use crate::version_canary::{Canary, Reference, RolloutState, VersionCounts};

/// Interval at which gateways of a small fleet report their counts; a bad version is noticed within two of them.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Largest factor by which this interval grows with the size of the fleet; a bad version has to be noticed within
/// seconds.
const MAX_INTERVAL_FACTOR: u32 = 3;

/// Shortest interval near the deadline, when all requests move within a few hundred milliseconds.
const DEADLINE_REPORT_INTERVAL_MS: u64 = 100;

/// Reports a second that a decider receives near the deadline; receiving one takes some 20 µs.
const MAX_REPORTS_PER_S: u64 = 1_000;

/// Number of gateways that receive the counts and may decide.
pub(super) const DECIDERS: usize = 2;

/// Returns the position of this gateway among those that decide, if it is one of them.
pub(super) fn decider_position(shared: &Shared, service: &str) -> Option<u64> {
    let routers = shared.routers.borrow();
    let ranked = holders::rank(service, routers.candidates());
    if ranked.is_empty() {
        return Some(0);
    }
    let mut deciders = ranked.iter().take(DECIDERS);
    let position = deciders.position(|decider| decider.vm == shared.settings.vm);
    position.map(|position| position as u64)
}

/// Reports the counts of this gateway to those that decide, until the process ends.
pub(in crate::gateway) async fn report(shared: Rc<Shared>) {
    let is_running = || {
        let canaries = shared.rollouts.canaries.borrow();
        let mut canaries = canaries.values();
        let is_running = canaries.any(|canary| canary.state() == RolloutState::Running);
        is_running.then_some(())
    };
    loop {
        shared.rollouts.changed.wait_for(is_running).await;
        monoio::time::sleep(interval(&shared)).await;
        let canaries = shared.rollouts.canaries.borrow();
        for (service, canary) in canaries.iter() {
            if canary.state() == RolloutState::Running {
                send_report(&shared, service, canary);
            }
        }
    }
}

fn interval(shared: &Shared) -> Duration {
    if is_near_deadline(shared) {
        let routers = shared.routers.borrow().count();
        let interval_ms = routers * 1_000 / MAX_REPORTS_PER_S;
        return Duration::from_millis(interval_ms.max(DEADLINE_REPORT_INTERVAL_MS));
    }
    REPORT_INTERVAL * shared.interval_factor().min(MAX_INTERVAL_FACTOR)
}

fn send_report(shared: &Shared, service: &str, canary: &Canary) {
    let content = Content::VersionReport(encode(shared, service, canary));
    for peer in other_deciders(shared, service) {
        shared.peer_socket.send(content.clone(), peer);
    }
}

fn other_deciders(shared: &Shared, service: &str) -> Vec<SocketAddr> {
    let routers = shared.routers.borrow();
    let ranked = holders::rank(service, routers.candidates());
    let deciders = ranked.iter().take(DECIDERS);
    let others = deciders.filter(|decider| decider.vm != shared.settings.vm);
    others
        .filter_map(|decider| routers.address_of(decider.vm))
        .collect()
}

fn encode(shared: &Shared, service: &str, canary: &Canary) -> VersionReport {
    let tally = canary.tally();
    let routes = tally.routes.iter().map(|(route, tally)| RouteReport {
        route: route.to_string(),
        new_responses: tally.counts.new_responses,
        new_bad: tally.counts.new_bad,
        old_responses: tally.counts.old_responses,
        old_bad: tally.counts.old_bad,
        reference_responses: tally.reference.responses,
        reference_unit_ms: tally.reference.mean_unit_ms,
        unjudged_ms: tally.unjudged_ms.clone(),
    });
    VersionReport {
        vm: shared.settings.vm.to_string(),
        service: service.into(),
        target: canary.target().to_string(),
        new_responses: tally.counts.new_responses,
        new_bad: tally.counts.new_bad,
        old_responses: tally.counts.old_responses,
        old_bad: tally.counts.old_bad,
        router: shared.router_id,
        requests: tally.requests,
        new_requests: tally.new_requests,
        age_ms: canary.own_age_ms(shared.now_ms()),
        routes: routes.collect(),
    }
}

/// Records the counts of another gateway.
pub(in crate::gateway) fn handle_report(shared: &Shared, report: &VersionReport) {
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    let canary = canaries.get_mut(report.service.as_str());
    if let Some(canary) = canary.filter(|canary| *canary.target() == report.target) {
        let process = process_name(report.router);
        canary.record_report(&process, decode(report), report.age_ms, shared.now_ms());
    }
}

fn decode(report: &VersionReport) -> Tally {
    let counts = VersionCounts {
        new_responses: report.new_responses,
        new_bad: report.new_bad,
        old_responses: report.old_responses,
        old_bad: report.old_bad,
    };
    let routes = report.routes.iter().map(|route| {
        let tally = RouteTally {
            counts: VersionCounts {
                new_responses: route.new_responses,
                new_bad: route.new_bad,
                old_responses: route.old_responses,
                old_bad: route.old_bad,
            },
            reference: Reference {
                responses: route.reference_responses,
                mean_unit_ms: route.reference_unit_ms,
            },
            unjudged_ms: route.unjudged_ms.clone(),
        };
        (CompactString::from(route.route.as_str()), tally)
    });
    Tally {
        requests: report.requests,
        new_requests: report.new_requests,
        counts,
        routes: routes.collect(),
    }
}

/// Returns the name under which the counts of a process are kept; a process that ends keeps its counts.
fn process_name(router: u64) -> CompactString {
    format_compact!("{router:016x}")
}

/// Returns the process whose counts are kept under a name.
pub(super) fn process_of(name: &str) -> Option<u64> {
    u64::from_str_radix(name, 16).ok()
}
