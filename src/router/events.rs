//! Reactions to the fleet's events, and the periodic work of the process.

use std::rc::Rc;
use std::time::Duration;

use super::{wall_clock_ms, Phase, Shared};
use crate::fleet::Event;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{Fingerprint, IncarnationId};
use crate::message::PeerMessage;
use crate::record::Entry;

/// Time between two rounds of periodic work; a request that lacks rights starts a round at once.
const TICK: Duration = Duration::from_millis(100);

/// Follows the fleet's events until the process ends.
pub(super) async fn follow(shared: Rc<Shared>) {
    let mut events = shared.fleet.subscribe();
    on_state(&shared);
    while let Some(event) = events.next().await {
        match event {
            Event::Change { change, .. } => on_change(&shared, &change),
            Event::StateReplaced => on_state(&shared),
            Event::IncarnationReplaced { new, .. } => {
                shared.budget.on_reincarnation(new);
                shared.claims.on_reincarnation(new);
            }
            Event::PeerDown(peer) => {
                shared.budget.on_peer_lost(peer);
                shared.pools.borrow_mut().remove_peer(peer);
            }
            Event::Message { from, message } => on_message(&shared, from, &message),
            _ => {}
        }
        note_state(&shared);
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
        configure(shared);
    }
}

fn on_state(shared: &Shared) {
    shared.budget.on_state();
    configure(shared);
}

fn note_state(shared: &Shared) {
    if shared.phase.get() == Phase::Starting && shared.fleet.has_state() {
        log::info!("serving");
        shared.phase.set(Phase::Serving);
    }
}

/// Takes the contracts and the configuration in force.
fn configure(shared: &Shared) {
    let state = shared.fleet.state();
    *shared.api_keys.borrow_mut() = api_keys(&state);
    shared
        .pools
        .borrow_mut()
        .configure(&state.configuration.configuration, shared.now_ms());
}

fn api_keys(state: &FleetState) -> crate::collections::FastMap<[u8; 32], crate::ids::CustomerKey> {
    let mut keys = crate::collections::FastMap::default();
    for (&customer, in_force) in &state.contracts {
        for text in &in_force.contract.api_key_sha256 {
            if let Some(hash) = parse_hash(text) {
                keys.insert(hash, customer);
            }
        }
    }
    keys
}

/// Parses 64 hexadecimal digits.
fn parse_hash(text: &str) -> Option<[u8; 32]> {
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
                .with_holder(|holder, state| holder.on_transfer_request(from, request, state));
            shared.fleet.send(from, PeerMessage::Transfer(answer));
        }
        PeerMessage::Transfer(transfer) | PeerMessage::TransferReturn(transfer) => {
            shared
                .budget
                .with_holder(|holder, state| holder.on_transfer(from, transfer, state));
            shared.budget.notify();
        }
        PeerMessage::Heartbeat(heartbeat) => shared.pools.borrow_mut().set_peer_work(
            from,
            heartbeat.outstanding.clone(),
            shared.now_ms(),
        ),
        PeerMessage::CrashNotice(crash) => shared
            .early_crashes
            .borrow_mut()
            .add_crash(Fingerprint(crash.fingerprint)),
        PeerMessage::BillCopy(copy) => shared.budget.on_bill_copy(from, copy),
        PeerMessage::BillCopyAck(ack) => shared.budget.on_copy_ack(from, ack),
        _ => {}
    }
}

/// Does the periodic work until the process ends.
pub(super) async fn tick(shared: Rc<Shared>) {
    loop {
        shared.budget.wait_for_want(TICK).await;
        note_state(&shared);
        if shared.phase.get() == Phase::Starting {
            continue;
        }
        shared.budget.tick();
        shared.claims.tick();
        ask_for_rights(&shared);
        propose(&shared);
        share_load(&shared);
    }
}

fn ask_for_rights(shared: &Shared) {
    let now_ms = shared.now_ms();
    set_homes(shared);
    let entries = shared
        .budget
        .with_holder(|holder, state| holder.entries_to_write(state, now_ms));
    write_all(shared, entries);
    let requests = shared
        .budget
        .with_holder(|holder, state| holder.transfer_requests(state, now_ms));
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

/// Tells the holder which budgets have their home here.
fn set_homes(shared: &Shared) {
    let customers: Vec<_> = shared.fleet.state().contracts.keys().copied().collect();
    let own = shared.fleet.incarnation();
    for customer in customers {
        let home = shared
            .fleet
            .budget_home(customer, &shared.settings.data_centre);
        let is_home = home.is_none_or(|home| home == own);
        shared
            .budget
            .with_holder(|holder, _| holder.set_home(customer, is_home));
    }
}

/// Writes the evidence and the rollout steps that are due.
fn propose(shared: &Shared) {
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

/// Returns the position of this process among the open incarnations.
fn rank(shared: &Shared) -> u32 {
    let own = shared.fleet.incarnation();
    let before = open_incarnations(shared)
        .into_iter()
        .filter(|id| *id < own)
        .count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Returns the open incarnations in the order of their ids, on which all routers agree.
fn open_incarnations(shared: &Shared) -> Vec<IncarnationId> {
    let state = shared.fleet.state();
    state
        .members
        .iter()
        .filter(|(_, member)| member.phase == crate::membership::MemberPhase::Open)
        .map(|(id, _)| id)
        .collect()
}

fn share_load(shared: &Shared) {
    let mut pools = shared.pools.borrow_mut();
    pools.set_routers(shared.fleet.incarnation(), open_incarnations(shared));
    pools.add_up_peer_work(shared.now_ms());
    shared.fleet.set_outstanding_work(pools.own_work());
    pools.pump_all(shared.now_ms());
    let shares = shared.shares.borrow();
    let metrics = &shared.metrics;
    metrics.set_held_bytes(shares.total_held_bytes() as u64);
    metrics.set_open_responses(shares.open_responses() as u64);
    metrics.set_queued_requests(pools.queued() as u64);
    metrics.set_log_lag(shared.fleet.log_lag());
}

fn write_all(shared: &Shared, entries: impl IntoIterator<Item = Entry>) {
    for entry in entries {
        if let Err(error) = shared.fleet.write(entry) {
            log::warn!(step = "write"; "{error}");
        }
    }
}
