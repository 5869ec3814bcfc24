//! Spending rights that one process holds on the customers' budgets.
//!
//! The fleet state shows only the cumulative level of the process's own grant. [`SpendingRights`] credits each increase
//! of that level once and keeps local accounts from then on: reservations, charges, transfers and returns are
//! subtracted when they are made, before any record or message about them leaves the process. Folding such a record
//! later adds no rights, so a lost message or a crash cannot duplicate rights. It can only strand them: no process can
//! spend or return them until the grant is finalised.
//!
//! Each budget has one home process in every data centre. The home requests rights from the log and holds a reserve for
//! log outages; the other processes of the data centre request transfers from the home and hold less. See
//! `docs/design.md`, section 3.

mod account;
mod transfer;

use std::collections::BTreeMap;

use crate::collections::FastMap;
use crate::contract::Contract;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{CustomerKey, IncarnationId};
use crate::membership::MemberPhase;
use crate::message::Transfer;
use crate::record::{Draw, Entry, Grant, Return};

use account::Account;

/// Time for which excess rights are held before they are returned.
///
/// It exceeds the time between two requests of an active customer, so that rights are not returned and requested in
/// turn.
const RETURN_DELAY_MS: u64 = 30_000;

/// Time without an answer from a budget's home after which a process requests rights from the log itself.
const HOME_TIMEOUT_MS: u64 = 1_000;

/// Divisor of the unallocated rights that gives the largest refill of one request, so that no process takes all of the
/// last rights of a budget.
const REFILL_DIVISOR: u64 = 4;

/// Rights that are reserved for a request until it is settled or released.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is dropped strands its rights"]
pub struct Reservation {
    holder: IncarnationId,
    customer: CustomerKey,
    draws: Vec<Draw>,
}

impl Reservation {
    /// Returns the customer whose budget is reserved.
    pub fn customer(&self) -> CustomerKey {
        self.customer
    }

    /// Returns the reserved rights by grant.
    pub fn draws(&self) -> &[Draw] {
        &self.draws
    }

    /// Returns the sum of the reserved rights.
    pub fn amount_tokens(&self) -> u64 {
        self.draws.iter().map(|draw| draw.amount_tokens).sum()
    }
}

/// Error of [`SpendingRights::reserve`]: the process holds too few free rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveError {
    /// Part of the reservation that the free rights do not cover.
    pub missing_tokens: u64,
}

/// The spending rights of one incarnation.
#[derive(Clone, Debug)]
pub struct SpendingRights {
    own: IncarnationId,
    is_closed: bool,
    is_stopping: bool,
    accounts: BTreeMap<CustomerKey, Account>,
    /// Number of the newest own transfer or transfer request.
    last_id: u64,
    /// Highest transfer number received from each peer.
    last_received_ids: FastMap<IncarnationId, u64>,
    /// Newest transfer sent to each peer.
    last_transfers: FastMap<IncarnationId, Transfer>,
    /// Whether this process is the home of a customer's budget.
    homes: FastMap<CustomerKey, bool>,
}

impl SpendingRights {
    /// Creates the accounts of a new incarnation, without any rights.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            is_closed: false,
            is_stopping: false,
            accounts: BTreeMap::new(),
            last_id: 0,
            last_received_ids: FastMap::default(),
            last_transfers: FastMap::default(),
            homes: FastMap::default(),
        }
    }

    /// Returns the incarnation that holds these rights.
    pub fn incarnation(&self) -> IncarnationId {
        self.own
    }

    /// Returns whether the end of the own incarnation was folded.
    ///
    /// Nothing can be reserved afterwards; the process starts a new incarnation with a new [`SpendingRights`].
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Sets whether this process is the home of a customer's budget in its data centre; it is by default.
    pub fn set_home(&mut self, customer: CustomerKey, is_home: bool) {
        self.homes.insert(customer, is_home);
        if let Some(account) = self.accounts.get_mut(&customer) {
            account.is_home = is_home;
        }
    }

    /// Returns the rights that can be reserved now.
    pub fn free_tokens(&self, customer: CustomerKey) -> u64 {
        self.accounts.get(&customer).map_or(0, Account::free_tokens)
    }

    /// Returns the rights that can be reserved now, by grant.
    pub fn free_rights(
        &self,
        customer: CustomerKey,
    ) -> impl Iterator<Item = (IncarnationId, u64)> + '_ {
        let account = self.accounts.get(&customer);
        account
            .into_iter()
            .flat_map(|account| account.free.iter().map(|(&grant, &tokens)| (grant, tokens)))
    }

    /// Returns the rights that are held and not charged, whether reserved or not.
    pub fn unspent_tokens(&self, customer: CustomerKey) -> u64 {
        self.accounts
            .get(&customer)
            .map_or(0, Account::unspent_tokens)
    }

    /// Reserves the largest possible charge of a request.
    ///
    /// # Errors
    ///
    /// Returns the missing amount if too few rights are free. The next requests for rights cover the whole reservation,
    /// even if it is larger than the window.
    pub fn reserve(
        &mut self,
        customer: CustomerKey,
        amount_tokens: u64,
    ) -> Result<Reservation, ReserveError> {
        let (own, is_closed) = (self.own, self.is_closed);
        let account = self.account_mut(customer);
        if is_closed {
            return Err(ReserveError {
                missing_tokens: amount_tokens,
            });
        }
        let Some(draws) = account.take(own, amount_tokens) else {
            account.unmet_tokens = account.unmet_tokens.max(amount_tokens);
            return Err(ReserveError {
                missing_tokens: amount_tokens - account.free_tokens(),
            });
        };
        account.reserved_tokens = account.reserved_tokens.saturating_add(amount_tokens);
        Ok(Reservation {
            holder: own,
            customer,
            draws,
        })
    }

    /// Charges a reservation, releases the rest of it and returns the draws for the bill.
    ///
    /// A charge above the reservation is lowered to it: the request to the upstream carried the limit, and rights that
    /// are not held must not be spent.
    pub fn settle(&mut self, reservation: Reservation, charge_tokens: u64) -> Vec<Draw> {
        let mut left_tokens = charge_tokens;
        let mut charged = Vec::with_capacity(reservation.draws.len());
        let mut rest = Vec::new();
        for draw in &reservation.draws {
            let amount_tokens = draw.amount_tokens.min(left_tokens);
            left_tokens -= amount_tokens;
            if amount_tokens > 0 {
                charged.push(Draw {
                    grant: draw.grant,
                    amount_tokens,
                });
            }
            if draw.amount_tokens > amount_tokens {
                rest.push(Draw {
                    grant: draw.grant,
                    amount_tokens: draw.amount_tokens - amount_tokens,
                });
            }
        }
        if reservation.holder == self.own {
            let account = self.account_mut(reservation.customer);
            account.reserved_tokens = account
                .reserved_tokens
                .saturating_sub(reservation.amount_tokens());
            account.spent_tokens = account
                .spent_tokens
                .saturating_add(charge_tokens - left_tokens);
            account.credit(&rest);
        }
        charged
    }

    /// Frees a reservation without a charge.
    pub fn release(&mut self, reservation: Reservation) {
        let draws = self.settle(reservation, 0);
        debug_assert!(draws.is_empty(), "a release charges nothing");
    }

    /// Credits the draws of an own bill whose request was billed before; see [`crate::billing`].
    pub fn refund(&mut self, customer: CustomerKey, draws: &[Draw]) {
        self.account_mut(customer).credit(draws);
    }

    /// Applies a change of the fleet state.
    pub fn on_change(&mut self, change: &Change, state: &FleetState) {
        match change {
            Change::Grant {
                incarnation,
                customer,
            } if *incarnation == self.own => self.credit_grant(*customer, state),
            Change::Member(id) if *id == self.own => {
                self.is_closed |= has_ended(state, self.own);
            }
            Change::Member(id) if state.members.is_retired(*id) => self.remove_incarnation(*id),
            _ => {}
        }
    }

    /// Applies a whole state, after a snapshot replaced the fleet state without the changes in between.
    pub fn on_state(&mut self, state: &FleetState) {
        self.is_closed |= has_ended(state, self.own);
        let customers: Vec<CustomerKey> = self.accounts.keys().copied().collect();
        let mut grants: Vec<IncarnationId> = Vec::new();
        for customer in customers {
            self.credit_grant(customer, state);
            grants.extend(self.accounts[&customer].free.keys());
        }
        for grant in grants {
            if state.members.is_retired(grant) {
                self.remove_incarnation(grant);
            }
        }
    }

    /// Returns the due log entries that request or return rights.
    ///
    /// The caller appends them in this order and retries each append until it is acknowledged. A request that was
    /// returned and is not folded yet is not returned again.
    pub fn entries_to_write(&mut self, state: &FleetState, now_ms: u64) -> Vec<Entry> {
        if self.is_closed || self.is_stopping {
            return Vec::new();
        }
        let own = self.own;
        let mut entries = Vec::new();
        for (&customer, account) in &mut self.accounts {
            let Some(contract) = state.contracts.get(&customer) else {
                continue;
            };
            account.update_rate(now_ms);
            return_ended(&mut entries, account, state, customer, own);
            let window_tokens = window_of(&contract.contract);
            if let Some(up_to_tokens) =
                level_to_request(account, state, customer, own, window_tokens, now_ms)
            {
                account.asked_tokens = up_to_tokens;
                account.unmet_tokens = 0;
                entries.push(Entry::Grant(Grant {
                    customer: state.customers.name(customer).into(),
                    up_to_tokens,
                }));
            }
            let excess_tokens = excess_tokens(account, window_tokens, now_ms);
            push_returns(&mut entries, account, own, state, customer, excess_tokens);
        }
        entries
    }

    /// Stops requesting rights and returns the log entries that give back all free rights, for a graceful
    /// shutdown.
    ///
    /// Each further call gives back what was released or granted since. The process leaves once [`Self::is_drained`].
    pub fn drain(&mut self, state: &FleetState) -> Vec<Entry> {
        self.is_stopping = true;
        let own = self.own;
        let mut entries = Vec::new();
        for (&customer, account) in &mut self.accounts {
            let free_tokens = account.free_tokens();
            push_returns(&mut entries, account, own, state, customer, free_tokens);
        }
        entries
    }

    /// Returns whether no rights are held and all requests for rights are folded.
    ///
    /// A request that is folded after the process has left would strand its rights until the grant is finalised.
    pub fn is_drained(&self, state: &FleetState) -> bool {
        self.accounts.iter().all(|(&customer, account)| {
            account.unspent_tokens() == 0
                && account.asked_tokens <= folded_asked_tokens(state, customer, self.own)
        })
    }

    fn account_mut(&mut self, customer: CustomerKey) -> &mut Account {
        let is_home = self.homes.get(&customer).copied().unwrap_or(true);
        self.accounts
            .entry(customer)
            .or_insert_with(|| Account::new(is_home))
    }

    /// Credits the increase of the own grant's level since the last call.
    fn credit_grant(&mut self, customer: CustomerKey, state: &FleetState) {
        let own = self.own;
        let level_tokens = state
            .ledger
            .budget(customer)
            .and_then(|budget| budget.grants.get(&own))
            .map_or(0, |grant| grant.level_tokens);
        let account = self.account_mut(customer);
        let increase_tokens = level_tokens.saturating_sub(account.level_tokens);
        account.level_tokens = account.level_tokens.max(level_tokens);
        account.credit(&[Draw {
            grant: own.0,
            amount_tokens: increase_tokens,
        }]);
    }

    /// Drops the rights on a finalised incarnation's grant and the state of transfers with it.
    fn remove_incarnation(&mut self, ended: IncarnationId) {
        self.last_received_ids.remove(&ended);
        self.last_transfers.remove(&ended);
        for account in self.accounts.values_mut() {
            account.free.remove(&ended);
        }
    }
}

/// Returns the cumulative level to request from the log, if a request is due.
fn level_to_request(
    account: &Account,
    state: &FleetState,
    customer: CustomerKey,
    own: IncarnationId,
    window_tokens: u64,
    now_ms: u64,
) -> Option<u64> {
    let is_pending = account.asked_tokens > folded_asked_tokens(state, customer, own);
    let unallocated_tokens = state.ledger.budget(customer)?.unallocated_tokens();
    let may_request = account.is_home
        || account
            .request
            .as_ref()
            .is_some_and(|pending| now_ms.saturating_sub(pending.first_ms) >= HOME_TIMEOUT_MS);
    if is_pending || unallocated_tokens == 0 || !may_request {
        return None;
    }
    let shortfall_tokens = account.unmet_tokens.saturating_sub(account.free_tokens());
    let target_tokens = account.target_tokens(window_tokens, now_ms);
    let unspent_tokens = account.unspent_tokens();
    let refill_tokens = if unspent_tokens < target_tokens - target_tokens / 4 {
        (target_tokens - unspent_tokens).min(unallocated_tokens / REFILL_DIVISOR)
    } else {
        0
    };
    let amount_tokens = shortfall_tokens.max(refill_tokens);
    (amount_tokens > 0).then(|| account.level_tokens.saturating_add(amount_tokens))
}

/// Returns the excess rights to give back, once there has been an excess for [`RETURN_DELAY_MS`].
fn excess_tokens(account: &mut Account, window_tokens: u64, now_ms: u64) -> u64 {
    let target_tokens = account.target_tokens(window_tokens, now_ms);
    let limit_tokens = window_tokens.min(target_tokens.saturating_mul(2));
    let unspent_tokens = account.unspent_tokens();
    if unspent_tokens <= limit_tokens {
        account.excess_since_ms = None;
        return 0;
    }
    let since_ms = *account.excess_since_ms.get_or_insert(now_ms);
    if now_ms.saturating_sub(since_ms) < RETURN_DELAY_MS {
        return 0;
    }
    account.excess_since_ms = None;
    (unspent_tokens - target_tokens).min(account.free_tokens())
}

/// Takes rights out of an account and adds the entries that return them.
fn push_returns(
    entries: &mut Vec<Entry>,
    account: &mut Account,
    own: IncarnationId,
    state: &FleetState,
    customer: CustomerKey,
    amount_tokens: u64,
) {
    for draw in account.take(own, amount_tokens).unwrap_or_default() {
        entries.push(Entry::Return(Return {
            grant: draw.grant,
            customer: state.customers.name(customer).into(),
            amount_tokens: draw.amount_tokens,
        }));
    }
}

/// Adds entries that return the rights on grants of incarnations that have ended, and drops those on finalised grants.
///
/// A request that is billed after its grant was finalised would never be charged. The finalisation follows hours after
/// the end, so the bills of requests that run now are still charged.
fn return_ended(
    entries: &mut Vec<Entry>,
    account: &mut Account,
    state: &FleetState,
    customer: CustomerKey,
    own: IncarnationId,
) {
    account.free.retain(|&grant, &mut amount_tokens| {
        if grant == own || !has_ended(state, grant) {
            return true;
        }
        if state.members.get(grant).is_some() {
            entries.push(Entry::Return(Return {
                grant: grant.0,
                customer: state.customers.name(customer).into(),
                amount_tokens,
            }));
        }
        false
    });
}

/// Returns the highest level that the folded requests for rights asked for.
fn folded_asked_tokens(state: &FleetState, customer: CustomerKey, own: IncarnationId) -> u64 {
    state
        .ledger
        .budget(customer)
        .and_then(|budget| budget.grants.get(&own))
        .map_or(0, |grant| grant.asked_tokens)
}

/// Returns the window: the most unspent rights that one process aims to hold.
fn window_of(contract: &Contract) -> u64 {
    let window = u128::from(contract.prepaid_total_tokens) * u128::from(contract.window_ppm);
    u64::try_from(window / 1_000_000).unwrap_or(u64::MAX)
}

fn window_tokens(state: &FleetState, customer: CustomerKey) -> u64 {
    state
        .contracts
        .get(&customer)
        .map_or(0, |contract| window_of(&contract.contract))
}

/// Returns whether an incarnation was closed, left or was finalised.
fn has_ended(state: &FleetState, id: IncarnationId) -> bool {
    match state.members.get(id) {
        Some(member) => member.phase != MemberPhase::Open,
        None => state.members.is_retired(id),
    }
}
