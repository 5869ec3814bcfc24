//! Transfers of spending rights between processes.
//!
//! The sender subtracts the rights before the message leaves it and the receiver credits each message once, so a lost
//! message strands rights and a repeated one adds none.

use super::account::{Account, PendingRequest};
use super::SpendingRights;
use crate::fleet_state::FleetState;
use crate::ids::{CustomerKey, IncarnationId};
use crate::message::{Transfer, TransferRequest};

/// Time after which an unanswered transfer request is sent again, possibly to another peer.
const RESEND_MS: u64 = 250;

impl SpendingRights {
    /// Returns a new transfer request, to be sent to a peer that may hold rights.
    pub fn transfer_request(
        &mut self,
        state: &FleetState,
        customer: CustomerKey,
        amount_tokens: u64,
    ) -> TransferRequest {
        self.last_id += 1;
        TransferRequest {
            id: self.last_id,
            customer: state.customers.name(customer).into(),
            amount_tokens,
        }
    }

    /// Returns the due transfer requests to the homes of the budgets, with their customers.
    ///
    /// An unanswered request is returned again under the same number, so that a home that has answered it repeats the
    /// answer, and a new home answers it for the first time.
    pub fn transfer_requests(
        &mut self,
        state: &FleetState,
        now_ms: u64,
    ) -> Vec<(CustomerKey, TransferRequest)> {
        if self.is_closed || self.is_stopping {
            return Vec::new();
        }
        let mut requests = Vec::new();
        for (&customer, account) in &mut self.accounts {
            if account.is_home {
                continue;
            }
            account.update_rate(now_ms);
            let window_tokens = super::window_tokens(state, customer);
            match &mut account.request {
                Some(pending) if now_ms.saturating_sub(pending.last_ms) < RESEND_MS => {}
                Some(pending) => {
                    pending.last_ms = now_ms;
                    requests.push((customer, pending.message.clone()));
                }
                None => {
                    let amount_tokens = tokens_to_request(account, window_tokens, now_ms);
                    if amount_tokens == 0 || customer.0 as usize >= state.customers.names().len() {
                        continue;
                    }
                    self.last_id += 1;
                    let message = TransferRequest {
                        id: self.last_id,
                        customer: state.customers.name(customer).into(),
                        amount_tokens,
                    };
                    account.request = Some(PendingRequest {
                        message: message.clone(),
                        first_ms: now_ms,
                        last_ms: now_ms,
                    });
                    requests.push((customer, message));
                }
            }
        }
        requests
    }

    /// Answers a peer's transfer request and subtracts the transferred rights.
    ///
    /// A repeated request gets the same answer again, because the first one may be lost; the receiver ignores a second
    /// copy. An incarnation that has ended gets no rights.
    pub fn on_transfer_request(
        &mut self,
        from: IncarnationId,
        request: &TransferRequest,
        state: &FleetState,
    ) -> Transfer {
        match self.last_transfers.get(&from) {
            Some(answer) if answer.request_id == request.id => return answer.clone(),
            Some(answer) if answer.request_id > request.id => return empty_transfer(request),
            _ => {}
        }
        let Some(customer) = state.customers.get(&request.customer) else {
            return empty_transfer(request);
        };
        if self.is_closed || super::has_ended(state, from) {
            return empty_transfer(request);
        }
        let own = self.own;
        let account = self.account_mut(customer);
        let given_tokens = request.amount_tokens.min(account.free_tokens());
        let unmet_tokens = request.amount_tokens - given_tokens;
        account.unmet_tokens = account.unmet_tokens.max(unmet_tokens);
        account.spent_tokens = account.spent_tokens.saturating_add(given_tokens);
        let rights = account.take(own, given_tokens).unwrap_or_default();
        if rights.is_empty() {
            return empty_transfer(request);
        }
        self.last_id += 1;
        let transfer = Transfer {
            id: self.last_id,
            request_id: request.id,
            customer: request.customer.clone(),
            rights,
        };
        self.last_transfers.insert(from, transfer.clone());
        transfer
    }

    /// Credits the rights of a transfer from a peer; returns whether the transfer was new.
    ///
    /// Transfers of one sender arrive on a connection in the order of their numbers, so the highest number received is
    /// enough to recognise repeated ones, with constant memory for each peer. A transfer on an older connection that is
    /// overtaken by a newer one is dropped, which strands its rights until the grant is finalised.
    pub fn on_transfer(
        &mut self,
        from: IncarnationId,
        transfer: &Transfer,
        state: &FleetState,
    ) -> bool {
        let Some(customer) = state.customers.get(&transfer.customer) else {
            return false;
        };
        let account = self.account_mut(customer);
        let is_answer =
            matches!(&account.request, Some(pending) if pending.message.id == transfer.request_id);
        if is_answer {
            account.request = None;
        }
        if transfer.rights.is_empty() {
            return false;
        }
        // The highest number received from a finalised sender is dropped, so a repeated transfer would look new.
        if self.is_closed || state.members.is_retired(from) {
            return false;
        }
        let highest = self.last_received_ids.entry(from).or_insert(0);
        if transfer.id <= *highest {
            return false;
        }
        *highest = transfer.id;
        let live_rights: Vec<_> = transfer
            .rights
            .iter()
            .filter(|draw| !state.members.is_retired(IncarnationId(draw.grant)))
            .copied()
            .collect();
        let account = self.account_mut(customer);
        account.unmet_tokens = 0;
        account.credit(&live_rights);
        true
    }
}

/// Returns the rights to request so that the account covers refused reservations and reaches its target.
fn tokens_to_request(account: &Account, window_tokens: u64, now_ms: u64) -> u64 {
    let shortfall_tokens = account.unmet_tokens.saturating_sub(account.free_tokens());
    let target_tokens = account.target_tokens(window_tokens, now_ms);
    let unspent_tokens = account.unspent_tokens();
    let refill_tokens = if unspent_tokens < target_tokens / 2 {
        target_tokens - unspent_tokens
    } else {
        0
    };
    shortfall_tokens.max(refill_tokens)
}

fn empty_transfer(request: &TransferRequest) -> Transfer {
    Transfer {
        id: 0,
        request_id: request.id,
        customer: request.customer.clone(),
        rights: Vec::new(),
    }
}
