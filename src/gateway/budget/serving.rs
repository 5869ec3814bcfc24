//! Reservations that this gateway makes for requests at other gateways.
//!
//! A reservation counts like one of this gateway's own requests: the tokens are reserved in the team's account, so the
//! journal entry covers them, and a successor of this process never reclaims them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::TeamBudget;
use crate::allowance::ReserveError;
use crate::gateway::peers::{
    Content, Reserve, ReserveOutcome, ReserveReply, RightsRequest, Settle, SettleReply,
};
use crate::gateway::Shared;
use crate::reservations::{Admission, Settled, SETTLEMENT_GRACE_MS};

/// Interval at which expired reservations are charged.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Largest remaining time of a request that is believed; no route waits for longer.
const MAX_REMAINING_MS: u64 = 600_000;

/// Reserves tokens for a request at another gateway, or replies why not.
pub(in crate::gateway) fn handle_reserve(shared: &Rc<Shared>, request: Reserve, peer: SocketAddr) {
    let team = shared.budgets.find(&request.team);
    let Some(team) = team else {
        reply(shared, peer, &request, ReserveOutcome::Unavailable, None);
        return;
    };
    let now_ms = shared.now_ms();
    let expires_ms = now_ms + request.remaining_ms.min(MAX_REMAINING_MS) + SETTLEMENT_GRACE_MS;
    let admission = team.book.borrow().admit(request.id);
    let outcome = match admission {
        Admission::Granted => ReserveOutcome::Granted,
        Admission::Waiting => ReserveOutcome::Waiting,
        Admission::Refused => ReserveOutcome::Unavailable,
        Admission::New if shared.is_stopping() => ReserveOutcome::Unavailable,
        Admission::New => match team.reserve_tokens(shared, request.tokens) {
            Ok(()) => grant(&team, &request, expires_ms),
            Err(ReserveError::Exhausted) => exhausted(&team, &request),
            Err(ReserveError::NotHeld) if request.may_wait => {
                team.book.borrow_mut().wait(request.id, expires_ms);
                let waiting = wait_and_reply(
                    Rc::clone(shared),
                    Rc::clone(&team),
                    request.clone(),
                    peer,
                    expires_ms,
                );
                monoio::spawn(waiting);
                ReserveOutcome::Waiting
            }
            Err(ReserveError::NotHeld) => {
                team.request_rights(shared, request.tokens);
                ReserveOutcome::NotHeld
            }
        },
    };
    reply(shared, peer, &request, outcome, Some(&team));
}

/// Waits for rights and sends the final reply.
async fn wait_and_reply(
    shared: Rc<Shared>,
    team: Rc<TeamBudget>,
    request: Reserve,
    peer: SocketAddr,
    expires_ms: u64,
) {
    let remaining_ms = request.remaining_ms;
    let result = team
        .wait_for_rights(&shared, request.tokens, remaining_ms)
        .await;
    let outcome = match result {
        Ok(()) => grant(&team, &request, expires_ms),
        Err(shortage) => {
            team.book.borrow_mut().deny(request.id);
            match shortage {
                ReserveError::Exhausted => exhausted(&team, &request),
                ReserveError::NotHeld => ReserveOutcome::NotHeld,
            }
        }
    };
    reply(&shared, peer, &request, outcome, Some(&team));
}

/// Records a reservation whose tokens were reserved in the account.
fn grant(team: &TeamBudget, request: &Reserve, expires_ms: u64) -> ReserveOutcome {
    let mut book = team.book.borrow_mut();
    if book.grant(request.id, request.tokens, expires_ms) {
        ReserveOutcome::Granted
    } else {
        // The request was given up while it waited.
        drop(book);
        team.settle_tokens(request.tokens, 0);
        ReserveOutcome::Unavailable
    }
}

/// Returns the outcome for a request that the balance does not cover, as far as this gateway knows.
///
/// If the sender knows of a larger budget, its configuration is newer, and the budget has been topped up.
fn exhausted(team: &TeamBudget, request: &Reserve) -> ReserveOutcome {
    if request.prepaid_tokens > team.prepaid_tokens.get() {
        ReserveOutcome::NotHeld
    } else {
        ReserveOutcome::Exhausted
    }
}

fn reply(
    shared: &Shared,
    peer: SocketAddr,
    request: &Reserve,
    outcome: ReserveOutcome,
    team: Option<&TeamBudget>,
) {
    let now_ms = shared.now_ms();
    let (wait_ms, retry_after_ms) = match (team, outcome) {
        (Some(team), ReserveOutcome::NotHeld | ReserveOutcome::Waiting) => (
            team.expected_wait_ms(shared, request.tokens, request.remaining_ms),
            team.retry_after_ms(shared, request.tokens),
        ),
        _ => (None, 0),
    };
    let message = ReserveReply {
        id: request.id,
        outcome: outcome.into(),
        wait_ms,
        retry_after_ms,
    };
    shared
        .peer_socket
        .send(Content::ReserveReply(message), peer);
    let summary = team.map(TeamBudget::summary).unwrap_or_default();
    log::info!(
        step = "hold", request_id = request.request_id.as_str(), team = request.team.as_str(),
        peer = peer.to_string().as_str(), tokens = request.tokens,
        outcome = format!("{outcome:?}").as_str(), at_ms = now_ms; "{}", summary.aged(now_ms)
    );
}

/// Charges a reservation and acknowledges the settlement; a copy is acknowledged and changes nothing.
pub(in crate::gateway) fn handle_settle(shared: &Shared, settlement: &Settle, peer: SocketAddr) {
    if let Some(team) = shared.budgets.find(&settlement.team) {
        let settled =
            team.book
                .borrow_mut()
                .settle(settlement.id, settlement.charge_tokens, shared.now_ms());
        if let Some(settled) = settled {
            team.settle(settled);
        }
    }
    let message = SettleReply { id: settlement.id };
    shared.peer_socket.send(Content::SettleReply(message), peer);
}

/// Gives rights to another holder that has too few for a request, although the team has enough.
pub(in crate::gateway) fn handle_rights_request(
    shared: &Shared,
    request: &RightsRequest,
    peer: SocketAddr,
) {
    let Some(team) = shared.budgets.find(&request.team) else {
        return;
    };
    shared
        .budgets
        .hand_over(shared, &team, request.tokens, peer);
}

/// Charges reservations that were never settled, at intervals until the process ends.
pub(in crate::gateway) async fn expire(shared: Rc<Shared>) {
    loop {
        monoio::time::sleep(EXPIRY_INTERVAL).await;
        let now_ms = shared.now_ms();
        for team in shared.budgets.all() {
            let expired = team.book.borrow_mut().expire(now_ms);
            for settled in &expired {
                team.settle(*settled);
            }
            if !expired.is_empty() {
                let charges = expired
                    .iter()
                    .map(|settled: &Settled| settled.charge_tokens);
                log::warn!(
                    step = "settle", team = team.name.as_str(), reservations = expired.len(),
                    charge_tokens = charges.sum::<u64>(), at_ms = now_ms;
                    "charged reservations that were never settled"
                );
            }
        }
    }
}
