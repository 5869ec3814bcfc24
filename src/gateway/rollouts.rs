//! Trial of new versions of services: orders and progress in the store, evidence from all gateways.

mod decisions;
mod reports;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use compact_str::CompactString;

use super::request::Call;
use super::watch::{FeedPosition, FeedReader};
use super::Shared;
use crate::collections::FastMap;
use crate::notify::Notify;
use crate::platform::documents;
use crate::store::{Feed, Record};
use crate::version_canary::{
    Canary, Choice, OrderSource, Response, RolloutOrder, RolloutState, EVIDENCE_SLACK_REQUESTS,
};

pub(super) use decisions::{decide, handle_move_notice};
pub(super) use reports::{handle_report, report};

/// Time for which the store may hold a read of the progress.
const LONG_POLL_MS: u64 = 1_500;

/// Trials by service.
#[derive(Default)]
pub(super) struct Rollouts {
    canaries: RefCell<FastMap<CompactString, Canary>>,
    /// Position up to which the progress of orders has been read; decisions are appended there.
    position: Cell<Option<FeedPosition>>,
    changed: Notify,
}

/// Applies a record of the operator's feed if it is an order.
pub(super) fn apply_order(shared: &Shared, record: &Record, source: OrderSource) {
    let Some(service) = documents::rollout_service(&record.key) else {
        return;
    };
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    let Some(value) = &record.value else {
        canaries.remove(service);
        return;
    };
    match documents::decode_rollout_order(value) {
        Ok(order) => {
            let canary = match canaries.get_mut(&order.service) {
                Some(known) if known.is_repeated(&order.target, source) => {
                    if source == OrderSource::AfterReturn {
                        log_repeated(shared, &order, known);
                        // A gateway that has just started may have read the status before the order.
                        known.record_forgotten(shared.now_ms());
                        drop(canaries);
                        shared.rollouts.changed.notify();
                    }
                    return;
                }
                Some(known) => known.succeeded_by(order.target.clone()),
                None => Canary::new(order.target.clone()),
            };
            let canary = canary
                .ordered(order.ramp_ms, source, shared.now_ms())
                .with_phase(shared.random());
            log::info!(
                step = "rollout", service = order.service.as_str(), version = order.target.as_str(),
                ramp_ms = order.ramp_ms.unwrap_or(0), at_ms = shared.now_ms();
                "trying the version with a small share of the requests"
            );
            canaries.insert(order.service, canary);
            drop(canaries);
            shared.rollouts.changed.notify();
        }
        Err(error) => log::warn!(step = "rollout", service = service; "ignored an order: {error}"),
    }
}

fn log_repeated(shared: &Shared, order: &RolloutOrder, known: &Canary) {
    log::info!(
        step = "rollout", service = order.service.as_str(), version = order.target.as_str(),
        known_version = known.target().as_str(),
        known_state = documents::rollout_state_name(known.state()), at_ms = shared.now_ms();
        "ignored an order that is known, because it was read after the store returned from an older copy"
    );
}

/// Returns whether the deadline of any order is near.
fn is_near_deadline(shared: &Shared) -> bool {
    let now_ms = shared.now_ms();
    let canaries = shared.rollouts.canaries.borrow();
    let mut canaries = canaries.values();
    canaries.any(|canary| canary.is_near_deadline(now_ms))
}

/// Counts a request and returns which version it may be sent to.
pub(super) fn choose(shared: &Shared, call: &Call<'_>) -> Choice {
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    let Some(canary) = canaries.get_mut(&call.service) else {
        return Choice::Any;
    };
    let routers = shared.routers.borrow();
    let slack_requests = routers.share(&shared.settings.vm, EVIDENCE_SLACK_REQUESTS);
    let choice = canary.choose(&call.route().name, slack_requests, shared.now_ms());
    match choice {
        // The status feed, which is read after the order, may state that the version was rolled back.
        Choice::New if shared.rollouts.position.get().is_none() => Choice::Present,
        choice => choice,
    }
}

/// Returns which version a repeated request may be sent to.
pub(super) fn choose_again(shared: &Shared, service: &str) -> Choice {
    let canaries = shared.rollouts.canaries.borrow();
    let canary = canaries.get(service);
    canary.map_or(Choice::Any, |canary| canary.choose_again(shared.now_ms()))
}

/// Returns whether a version is still tried, so that a choice of versions made before is in force.
pub(super) fn is_running(shared: &Shared, service: &str) -> bool {
    let canaries = shared.rollouts.canaries.borrow();
    let canary = canaries.get(service);
    canary.is_some_and(|canary| canary.state() == RolloutState::Running)
}

/// Returns whether a version was rolled back, so that it gets no requests, not even those that were to be sent to it.
pub(super) fn is_rolled_back(shared: &Shared, service: &str, version: &str) -> bool {
    let canaries = shared.rollouts.canaries.borrow();
    let canary = canaries.get(service);
    canary.is_some_and(|canary| {
        canary.state() == RolloutState::RolledBack && canary.target() == version
    })
}

/// Returns whether the upstreams of a version have been replaced or may be, so that their ends are no crashes.
pub(super) fn is_replaced(shared: &Shared, service: &str, version: &str) -> bool {
    let canaries = shared.rollouts.canaries.borrow();
    let canary = canaries.get(service);
    canary.is_some_and(|canary| canary.is_replaced(version, shared.now_ms()))
}

/// Returns whether an upstream has the version that is tried.
pub(super) fn is_new(shared: &Shared, service: &str, version: &str) -> bool {
    let canaries = shared.rollouts.canaries.borrow();
    let canary = canaries.get(service);
    canary.is_some_and(|canary| canary.target() == version)
}

/// Counts a request that was sent to an upstream.
pub(super) fn record_sent(shared: &Shared, call: &Call<'_>, version: &str) {
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    if let Some(canary) = canaries.get_mut(&call.service) {
        if canary.target() == version {
            canary.record_sent_to_new(&call.route().name);
        }
    }
}

/// Counts a response for the comparison of the versions.
pub(super) fn record_response(shared: &Shared, call: &Call<'_>, version: &str, response: Response) {
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    if let Some(canary) = canaries.get_mut(&call.service) {
        let is_new = canary.target() == version;
        canary.record(&call.route().name, is_new, response, shared.now_ms());
    }
}

/// Follows the progress of orders until the process ends.
pub(super) async fn watch(shared: Rc<Shared>) {
    let has_canaries = || {
        let canaries = shared.rollouts.canaries.borrow();
        (!canaries.is_empty()).then_some(())
    };
    let mut reader = FeedReader::new(Feed::RolloutStatus);
    loop {
        shared.rollouts.changed.wait_for(has_canaries).await;
        let Some(batch) = reader.read_held(&shared, LONG_POLL_MS).await else {
            continue;
        };
        if batch.is_restored {
            let now_ms = shared.now_ms();
            let mut canaries = shared.rollouts.canaries.borrow_mut();
            for canary in canaries.values_mut() {
                canary.record_forgotten(now_ms);
            }
        }
        for record in &batch.records {
            apply_status(&shared, record);
        }
        shared.rollouts.position.set(reader.position());
        shared.rollouts.changed.notify();
    }
}

fn apply_status(shared: &Shared, record: &Record) {
    let (Some(service), Some(value)) = (documents::rollout_service(&record.key), &record.value)
    else {
        return;
    };
    match documents::decode_rollout_status(value) {
        Ok((target, state)) => record_status(shared, service, &target, state),
        Err(error) => log::warn!(step = "rollout", service = service; "ignored a status: {error}"),
    }
}

fn record_status(shared: &Shared, service: &str, target: &str, state: RolloutState) {
    let mut canaries = shared.rollouts.canaries.borrow_mut();
    let canary = canaries.get_mut(service);
    let Some(canary) = canary.filter(|canary| canary.target() == target) else {
        return;
    };
    if canary.record_status(state) {
        log::info!(
            step = "rollout", service = service, version = target,
            state = documents::rollout_state_name(state), at_ms = shared.now_ms();
            "progress of the rollout"
        );
    }
}
