//! Transfers of rights between processes.

use super::account::{Account, OpenRequest};
use super::SpendingRights;
use crate::fleet_state::FleetState;
use crate::ids::{CustomerKey, IncarnationId};
use crate::message::{Transfer, TransferRequest};

/// Time after which a transfer request without an answer is sent again, perhaps to another peer.
const RESEND_MS: u64 = 250;

impl SpendingRights {
    /// Returns a request for rights, to be sent to a peer that may hold some.
    pub fn transfer_request(
        &mut self,
        state: &FleetState,
        customer: CustomerKey,
        amount_tokens: u64,
    ) -> TransferRequest {
        self.next_id += 1;
        TransferRequest {
            id: self.next_id,
            customer: state.customers.name(customer).into(),
            amount_tokens,
        }
    }

    /// Returns the requests that this process must send to the homes of its budgets, with their customers.
    ///
    /// A request without an answer is returned again with the same number, so that a home which has answered it repeats
    /// the answer and a new home gives its own.
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
            account.advance(now_ms);
            let window_tokens = super::window_tokens(state, customer);
            match &mut account.request {
                Some(open) if now_ms.saturating_sub(open.last_ms) < RESEND_MS => {}
                Some(open) => {
                    open.last_ms = now_ms;
                    requests.push((customer, open.message.clone()));
                }
                None => {
                    let amount_tokens = missing_tokens(account, window_tokens, now_ms);
                    if amount_tokens == 0 || customer.0 as usize >= state.customers.names().len() {
                        continue;
                    }
                    self.next_id += 1;
                    let message = TransferRequest {
                        id: self.next_id,
                        customer: state.customers.name(customer).into(),
                        amount_tokens,
                    };
                    account.request = Some(OpenRequest {
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

    /// Answers a peer's request with rights, which this process no longer holds afterwards.
    ///
    /// A repeated request gets the same answer again, because the first one may be lost; the receiver ignores a second
    /// copy. Nothing is given to an incarnation that has ended.
    pub fn on_transfer_request(
        &mut self,
        from: IncarnationId,
        request: &TransferRequest,
        state: &FleetState,
    ) -> Transfer {
        match self.answered.get(&from) {
            Some(answer) if answer.request_id == request.id => return answer.clone(),
            Some(answer) if answer.request_id > request.id => return no_rights(request),
            _ => {}
        }
        let Some(customer) = state.customers.get(&request.customer) else {
            return no_rights(request);
        };
        if self.is_closed || super::has_ended(state, from) {
            return no_rights(request);
        }
        let own = self.own;
        let account = self.account_mut(customer);
        let given_tokens = request.amount_tokens.min(account.free_tokens());
        let unmet_tokens = request.amount_tokens - given_tokens;
        account.wanted_tokens = account.wanted_tokens.max(unmet_tokens);
        account.spent_tokens = account.spent_tokens.saturating_add(given_tokens);
        let rights = account.take(own, given_tokens).unwrap_or_default();
        if rights.is_empty() {
            return no_rights(request);
        }
        self.next_id += 1;
        let transfer = Transfer {
            id: self.next_id,
            request_id: request.id,
            customer: request.customer.clone(),
            rights,
        };
        self.answered.insert(from, transfer.clone());
        transfer
    }

    /// Credits rights that a peer handed over, and returns whether they were new.
    ///
    /// Transfers of one sender arrive in the order of their numbers on a connection, so the highest number seen decides
    /// with constant memory for each peer. One that was overtaken on an older connection is lost, which strands its
    /// rights until the grant is finalised.
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
            matches!(&account.request, Some(open) if open.message.id == transfer.request_id);
        if is_answer {
            account.request = None;
        }
        if transfer.rights.is_empty() {
            return false;
        }
        // The numbers of a finalised sender were forgotten, so a copy of an old transfer could not be told from a new one.
        if self.is_closed || state.members.is_retired(from) {
            return false;
        }
        let highest = self.received.entry(from).or_insert(0);
        if transfer.id <= *highest {
            return false;
        }
        *highest = transfer.id;
        let live: Vec<_> = transfer
            .rights
            .iter()
            .filter(|draw| !state.members.is_retired(IncarnationId(draw.grant)))
            .copied()
            .collect();
        let account = self.account_mut(customer);
        account.wanted_tokens = 0;
        account.put(&live);
        true
    }
}

/// Returns the rights that an account lacks to serve what was refused and to refill its stock.
fn missing_tokens(account: &Account, window_tokens: u64, now_ms: u64) -> u64 {
    let wanted_tokens = account.wanted_tokens.saturating_sub(account.free_tokens());
    let stock_tokens = account.stock_tokens(window_tokens, now_ms);
    let unspent_tokens = account.unspent_tokens();
    let refill_tokens = if unspent_tokens < stock_tokens / 2 {
        stock_tokens - unspent_tokens
    } else {
        0
    };
    wanted_tokens.max(refill_tokens)
}

fn no_rights(request: &TransferRequest) -> Transfer {
    Transfer {
        id: 0,
        request_id: request.id,
        customer: request.customer.clone(),
        rights: Vec::new(),
    }
}
