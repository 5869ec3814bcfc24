//! Handlers of fleet events, and the periodic work of the process.

use std::rc::Rc;
use std::time::Duration;

use super::{crash_counts, wall_clock_ms, Phase, Shared};
use crate::fleet::Event;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{Fingerprint, IncarnationId};
use crate::message::PeerMessage;
use crate::record::Entry;

/// Interval of the periodic work; a request that lacks spending rights starts it at once.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Handles the events of the fleet until the process ends.
pub(super) async fn handle_events(shared: Rc<Shared>) {
    let mut events = shared.fleet.subscribe();
    on_state(&shared);
    while let Some(event) = events.next().await {
        match event {
            Event::Change { change, .. } => on_change(&shared, &change),
            Event::StateReplaced => on_state(&shared),
            Event::IncarnationReplaced { new, .. } => {
                shared.budget.on_incarnation_replaced(new);
                shared.claims.on_incarnation_replaced(new);
            }
            Event::PeerDown(peer) => {
                shared.budget.on_peer_lost(peer);
                shared.pools.borrow_mut().remove_peer(peer);
            }
            Event::Message { from, message } => on_message(&shared, from, &message),
            _ => {}
        }
        update_phase(&shared);
    }
}

fn on_change(shared: &Shared, change: &Change) {
    shared.budget.on_change(change);
    shared.claims.on_change(change);
    if matches!(change, Change::Rollout) {
        let state = shared.fleet.state();
        let mut decisions = shared.decisions.borrow_mut();
        decisions.record_rollouts(wall_clock_ms(), &state.rollouts);
    }
    if matches!(change, Change::Configuration) {
        apply_configuration(shared);
    }
}

fn on_state(shared: &Shared) {
    shared.budget.on_state();
    apply_configuration(shared);
}

fn update_phase(shared: &Shared) {
    if shared.phase.get() == Phase::Starting && shared.fleet.has_state() {
        log::info!("serving");
        shared.phase.set(Phase::Serving);
    }
}

/// Applies the current contracts and configuration of the fleet state.
fn apply_configuration(shared: &Shared) {
    let state = shared.fleet.state();
    *shared.api_keys.borrow_mut() = api_keys(&state);
    shared
        .pools
        .borrow_mut()
        .apply_configuration(&state.configuration.configuration, shared.now_ms());
}

fn api_keys(state: &FleetState) -> crate::collections::FastMap<[u8; 32], crate::ids::CustomerKey> {
    let mut keys = crate::collections::FastMap::default();
    for (&customer, in_force) in &state.contracts {
        for text in &in_force.contract.api_key_sha256 {
            if let Some(hash) = parse_sha256(text) {
                keys.insert(hash, customer);
            }
        }
    }
    keys
}

/// Parses 64 hexadecimal digits.
fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}

fn on_message(shared: &Shared, from: IncarnationId, message: &PeerMessage) {
    match message {
        PeerMessage::TransferRequest(request) => {
            let answer = shared
                .budget
                .with_rights(|rights, state| rights.on_transfer_request(from, request, state));
            shared.fleet.send(from, PeerMessage::Transfer(answer));
        }
        PeerMessage::Transfer(transfer) | PeerMessage::TransferReturn(transfer) => {
            shared
                .budget
                .with_rights(|rights, state| rights.on_transfer(from, transfer, state));
            shared.budget.notify_rights_changed();
        }
        PeerMessage::Heartbeat(heartbeat) => shared.pools.borrow_mut().set_peer_load(
            from,
            heartbeat.outstanding.clone(),
            shared.now_ms(),
        ),
        PeerMessage::CrashNotice(crash) => shared
            .reported_crashes
            .borrow_mut()
            .add_crash(Fingerprint(crash.fingerprint)),
        PeerMessage::CrashReport(report) => crash_counts::merge(shared, report),
        PeerMessage::BillCopy(copy) => shared.budget.on_bill_copy(from, copy),
        PeerMessage::BillCopyAck(ack) => shared.budget.on_copy_ack(from, ack),
        _ => {}
    }
}

/// Runs the periodic work until the process ends.
pub(super) async fn run_periodic_work(shared: Rc<Shared>) {
    loop {
        shared.budget.wait_for_shortage(TICK_INTERVAL).await;
        update_phase(&shared);
        if shared.phase.get() == Phase::Starting {
            continue;
        }
        shared.budget.tick();
        shared.claims.tick();
        request_rights(&shared);
        write_rollout_entries(&shared);
        crash_counts::tick(&shared);
        update_load(&shared);
    }
}

fn request_rights(shared: &Shared) {
    let now_ms = shared.now_ms();
    update_homes(shared);
    let entries = shared
        .budget
        .with_rights(|rights, state| rights.entries_to_write(state, now_ms));
    write_all(shared, entries);
    let requests = shared
        .budget
        .with_rights(|rights, state| rights.transfer_requests(state, now_ms));
    for (customer, request) in requests {
        let home = shared
            .fleet
            .budget_home(customer, &shared.settings.data_centre);
        if let Some(home) = home {
            shared
                .fleet
                .send(home, PeerMessage::TransferRequest(request));
        }
    }
}

/// Updates which budgets have their home in this process.
fn update_homes(shared: &Shared) {
    let customers: Vec<_> = shared.fleet.state().contracts.keys().copied().collect();
    let own = shared.fleet.incarnation();
    for customer in customers {
        let home = shared
            .fleet
            .budget_home(customer, &shared.settings.data_centre);
        let is_home = home.is_none_or(|home| home == own);
        shared
            .budget
            .with_rights(|rights, _| rights.set_home(customer, is_home));
    }
}

/// Writes the collected evidence and the rollout entries that are due.
fn write_rollout_entries(shared: &Shared) {
    let now_ms = wall_clock_ms();
    let evidence = shared.evidence.borrow_mut().take(now_ms);
    write_all(shared, evidence.into_iter().map(Entry::Evidence));
    let rank = rank(shared);
    let proposals = {
        let state = shared.fleet.state();
        let mut proposer = shared.proposer.borrow_mut();
        proposer.take(&state.rollouts, now_ms, rank)
    };
    write_all(shared, proposals);
}

/// Returns the rank of this process among the open incarnations; a process of higher rank proposes later.
pub(super) fn rank(shared: &Shared) -> u32 {
    let own = shared.fleet.incarnation();
    let before = open_incarnations(shared)
        .into_iter()
        .filter(|id| *id < own)
        .count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Returns the open incarnations in the order of their ids, which is the same in all routers.
fn open_incarnations(shared: &Shared) -> Vec<IncarnationId> {
    let state = shared.fleet.state();
    state
        .members
        .iter()
        .filter(|(_, member)| member.phase == crate::membership::MemberPhase::Open)
        .map(|(id, _)| id)
        .collect()
}

/// Updates the load of all routers at the upstreams, dispatches queued requests and updates gauges.
fn update_load(shared: &Shared) {
    let mut pools = shared.pools.borrow_mut();
    pools.set_routers(shared.fleet.incarnation(), open_incarnations(shared));
    pools.apply_peer_load(shared.now_ms());
    shared.fleet.set_outstanding_work(pools.own_load());
    pools.dispatch_all_queued(shared.now_ms());
    let buffer_shares = shared.buffer_shares.borrow();
    let metrics = &shared.metrics;
    metrics.set_held_bytes(buffer_shares.total_held_bytes() as u64);
    metrics.set_open_responses(buffer_shares.open_responses() as u64);
    metrics.set_queued_requests(pools.queue_len() as u64);
    metrics.set_log_lag(shared.fleet.log_lag());
}

fn write_all(shared: &Shared, entries: impl IntoIterator<Item = Entry>) {
    for entry in entries {
        if let Err(error) = shared.fleet.write(entry) {
            log::warn!(step = "write"; "{error}");
        }
    }
}
