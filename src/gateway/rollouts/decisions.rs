//! Decisions on rollouts at the gateways that decide, and the move of all requests to a good version.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use super::super::peers::{Content, MoveNotice};
use super::super::Shared;
use super::reports::{decider_position, process_of};
use super::{is_near_deadline, record_status};
use crate::collections::FastSet;
use crate::platform::documents;
use crate::rollout_completion::{split_grant, Missing, MovePlan, Step, Tally, Trial, Verdict};
use crate::store::{AppendOutcome, Feed, Record, Store};
use crate::version_canary::{Canary, MoveGrant, RolloutState};

/// Interval between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// The same near the deadline.
const DEADLINE_DECISION_INTERVAL: Duration = Duration::from_millis(20);

/// Decides on the rollouts of which this gateway is a decider, and writes forgotten decisions again, until the process
/// ends.
pub(in crate::gateway) async fn decide(shared: Rc<Shared>) {
    let is_active = || {
        let canaries = shared.rollouts.canaries.borrow();
        let mut active = canaries.values();
        let is_active =
            active.any(|canary| canary.state() == RolloutState::Running || canary.is_forgotten());
        is_active.then_some(())
    };
    loop {
        shared.rollouts.changed.wait_for(is_active).await;
        monoio::time::sleep(interval(&shared)).await;
        for service in running_services(&shared) {
            if let Some(position) = decider_position(&shared, &service) {
                take_step(&shared, &service, position).await;
            }
        }
        write_forgotten(&shared).await;
    }
}

fn interval(shared: &Shared) -> Duration {
    if is_near_deadline(shared) {
        DEADLINE_DECISION_INTERVAL
    } else {
        DECISION_INTERVAL
    }
}

fn running_services(shared: &Shared) -> Vec<CompactString> {
    let canaries = shared.rollouts.canaries.borrow();
    let running = canaries
        .iter()
        .filter(|(_, canary)| canary.state() == RolloutState::Running);
    running.map(|(service, _)| service.clone()).collect()
}

/// Does what the evidence calls for.
///
/// Nothing is awaited between the look at the evidence and the append, and the append is conditional on what was read
/// of the decisions before. So a decision of another gateway, or a process that was frozen, cannot lead to two.
async fn take_step(shared: &Shared, service: &str, position: u64) {
    let (target, step, trial) = {
        let mut canaries = shared.rollouts.canaries.borrow_mut();
        let Some(canary) = canaries.get_mut(service) else {
            return;
        };
        let now_ms = shared.now_ms();
        let trial = observe(shared, service, canary);
        let step = canary.step(&trial, position, shared.store.is_responsive());
        if let Step::Move(plan) = &step {
            grant_move(shared, service, canary, &trial, *plan, now_ms);
        }
        (canary.target().clone(), step, trial)
    };
    let state = match step {
        Step::Wait if position == 0 && needs_announcement(shared, service) => RolloutState::Running,
        Step::Wait => return,
        Step::Move(plan) => return log_move(shared, service, &target, &trial, plan),
        Step::Lacking(missing) => return log_lack(shared, service, &target, &trial, &missing),
        Step::Complete => RolloutState::Completed,
        Step::RollBack(_) => RolloutState::RolledBack,
    };
    if state != RolloutState::Running {
        log_decision(shared, service, &target, &trial, &step);
    }
    write_status(shared, service, &target, state).await;
}

fn needs_announcement(shared: &Shared, service: &str) -> bool {
    let canaries = shared.rollouts.canaries.borrow();
    canaries
        .get(service)
        .is_some_and(Canary::needs_announcement)
}

/// Returns what this gateway knows of a trial.
fn observe(shared: &Shared, service: &str, canary: &mut Canary) -> Trial {
    let present: FastSet<u64> = shared.routers.borrow().processes().collect();
    let is_present = |name: &str| process_of(name).is_some_and(|router| present.contains(&router));
    let trial = canary.observe(is_present, shared.now_ms());
    let (mut new_slots, mut old_slots) = (0, 0);
    let directory = shared.directory.borrow();
    for (_, entry) in directory.serving(service) {
        if entry.version == canary.target() {
            new_slots += u64::from(entry.slots);
        } else {
            old_slots += u64::from(entry.slots);
        }
    }
    Trial {
        new_slots,
        old_slots,
        ..trial
    }
}

/// Grants the requests of a move to this gateway and to those that have reported lately.
fn grant_move(
    shared: &Shared,
    service: &str,
    canary: &mut Canary,
    trial: &Trial,
    plan: MovePlan,
    now_ms: u64,
) {
    let complete_in_ms = plan.complete_age_ms.saturating_sub(trial.age_ms);
    let valid_ms = plan.end_age_ms.saturating_sub(trial.age_ms);
    let part = |router: u64, tally: &Tally| (router, tally.requests, tally.new_requests);
    let mut parts = vec![part(shared.router_id, canary.tally())];
    let fresh = canary.fresh_reports(now_ms).into_iter();
    parts.extend(fresh.filter_map(|(name, tally)| Some(part(process_of(&name)?, tally))));
    let requests: Vec<u64> = parts.iter().map(|(_, requests, _)| *requests).collect();
    let grants = split_grant(plan.granted_requests, &requests);
    let routers = shared.routers.borrow();
    for ((router, _, sent), granted) in parts.into_iter().zip(grants) {
        let new_requests = sent + granted;
        if router == shared.router_id {
            let grant = MoveGrant {
                new_requests,
                valid_ms,
            };
            canary.record_grant(grant, now_ms);
        } else if let Some(peer) = routers.process_address(router) {
            let notice = MoveNotice {
                service: service.into(),
                target: canary.target().to_string(),
                router,
                new_requests,
                valid_ms,
                complete_in_ms,
            };
            shared.peer_socket.send(Content::MoveNotice(notice), peer);
        }
    }
}

/// Applies the grant of a decider.
pub(in crate::gateway) fn handle_move_notice(shared: &Shared, notice: &MoveNotice) {
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    let canary = canaries.get_mut(notice.service.as_str());
    let Some(canary) = canary.filter(|canary| *canary.target() == notice.target) else {
        return;
    };
    if notice.router != shared.router_id {
        return;
    }
    let now_ms = shared.now_ms();
    let grant = MoveGrant {
        new_requests: notice.new_requests,
        valid_ms: notice.valid_ms,
    };
    canary.record_grant(grant, now_ms);
    let age_ms = canary.age_ms(now_ms);
    canary.adopt(MovePlan {
        move_age_ms: age_ms,
        complete_age_ms: age_ms + notice.complete_in_ms,
        end_age_ms: age_ms + notice.valid_ms,
        granted_requests: 0,
    });
}

fn log_move(shared: &Shared, service: &str, target: &str, trial: &Trial, plan: MovePlan) {
    log::info!(
        step = "rollout", service = service, version = target, at_ms = shared.now_ms(),
        age_ms = trial.age_ms, complete_age_ms = plan.complete_age_ms,
        granted_requests = plan.granted_requests, requests = trial.total.requests,
        new_requests = trial.total.new_requests, requests_per_s = trial.requests_per_s;
        "moving all requests to the version"
    );
}

fn log_lack(shared: &Shared, service: &str, target: &str, trial: &Trial, missing: &Missing) {
    let (reason, route) = match missing {
        Missing::Responses => ("the version has too few responses", ""),
        Missing::RouteResponses(route) => ("a route has too few responses", route.as_str()),
        Missing::Reports => ("too few gateways have reported lately", ""),
        Missing::Capacity => ("its upstreams are gone or too few", ""),
        Missing::Allowance => ("the bound on its share leaves no time for the move", ""),
    };
    log::warn!(
        step = "rollout", service = service, version = target, route = route,
        at_ms = shared.now_ms(), age_ms = trial.age_ms, ramp_ms = trial.ramp_ms,
        new_responses = trial.total.counts.new_responses, fresh_permille = trial.fresh_permille,
        requests = trial.total.requests, new_requests = trial.total.new_requests,
        new_slots = trial.new_slots, old_slots = trial.old_slots;
        "the rollout is not completed at its deadline: {reason}"
    );
    shared.metrics.add("rollouts_not_completed", 1);
}

fn log_decision(shared: &Shared, service: &str, target: &str, trial: &Trial, step: &Step) {
    let reason = match step {
        Step::RollBack(Verdict::Bad) => {
            "rolling back the version, because its responses fail or are several times slower"
        }
        Step::RollBack(_) => {
            "rolling back the version, because it is suspicious and cannot be completed in time"
        }
        _ => "completing the rollout, because the version is good",
    };
    let counts = &trial.total.counts;
    log::warn!(
        step = "rollout", service = service, version = target, at_ms = shared.now_ms(),
        age_ms = trial.age_ms, requests = trial.total.requests,
        new_requests = trial.total.new_requests, new_responses = counts.new_responses,
        new_bad = counts.new_bad, old_responses = counts.old_responses, old_bad = counts.old_bad,
        recent_new_responses = trial.recent.counts.new_responses,
        recent_new_bad = trial.recent.counts.new_bad;
        "{reason}"
    );
}

/// Writes the decisions again that the store has forgotten.
async fn write_forgotten(shared: &Shared) {
    let due: Vec<_> = {
        let now_ms = shared.now_ms();
        let canaries = shared.rollouts.canaries.borrow();
        let due = canaries.iter().filter(|(service, canary)| {
            canary.needs_rewrite(decider_position(shared, service).is_some(), now_ms)
        });
        due.map(|(service, canary)| (service.clone(), canary.target().clone(), canary.state()))
            .collect()
    };
    for (service, target, state) in due {
        if write_status(shared, &service, &target, state).await {
            log::info!(
                step = "rollout", service = service.as_str(), version = target.as_str(),
                state = documents::rollout_state_name(state), at_ms = shared.now_ms();
                "wrote the progress again, because the store returned from an older copy"
            );
        }
    }
}

/// Writes the progress of an order if the store holds no progress that this gateway has not read; returns whether it has
/// been written.
async fn write_status(shared: &Shared, service: &str, target: &str, state: RolloutState) -> bool {
    let position = shared.rollouts.position.get();
    let position = position.filter(|position| position.epoch == shared.store.epoch());
    let Some(position) = position else {
        return false;
    };
    let value = documents::encode_rollout_status(service, target, state);
    let record = Record {
        key: documents::rollout_key(service),
        value: Some(value.into()),
    };
    let written = shared
        .store
        .append(Feed::RolloutStatus, Some(position.end), record);
    match written.await {
        Ok(AppendOutcome::Written) => {
            record_status(shared, service, target, state);
            true
        }
        Ok(AppendOutcome::Moved) => false,
        Err(error) => {
            log::warn!(step = "rollout", service = service; "will write the status again: {error}");
            false
        }
    }
}
