//! Spending rights local to one process.
//!
//! The fold shows only the cumulative level of the own grant. The holder credits each rise of that level once and from
//! then on keeps its own account: reservations, charges, transfers and returns are subtracted when they are made,
//! before any record or message of them leaves the process. What the log shows later never adds rights back, so a lost
//! message or a crash can strand rights but cannot duplicate them. See `docs/design.md`, section 3.

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

/// Time for which more rights than needed are held before they are returned.
///
/// It exceeds the time between two requests of a customer in use, so that rights are not returned and asked for in turn.
const RETURN_DELAY_MS: u64 = 30_000;

/// Time without an answer from a budget home after which a process asks the log itself.
const HOME_TIMEOUT_MS: u64 = 1_000;

/// Share of the unallocated rights that one request for stock may take, so that the last rights of a budget stay spread.
const SCARCE_DIVISOR: u64 = 4;

/// Rights that a request holds until it is settled or released.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is dropped strands its rights"]
pub struct Reservation {
    holder: IncarnationId,
    customer: CustomerKey,
    draws: Vec<Draw>,
}

impl Reservation {
    /// Returns the customer whose rights are held.
    pub fn customer(&self) -> CustomerKey {
        self.customer
    }

    /// Returns the rights held, by grant.
    pub fn draws(&self) -> &[Draw] {
        &self.draws
    }

    /// Returns the amount held.
    pub fn amount_tokens(&self) -> u64 {
        self.draws.iter().map(|draw| draw.amount_tokens).sum()
    }
}

/// A process holds fewer rights than a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Rights that are missing.
    pub missing_tokens: u64,
}

/// The spending rights of one incarnation.
#[derive(Clone, Debug)]
pub struct SpendingRights {
    own: IncarnationId,
    is_closed: bool,
    is_stopping: bool,
    accounts: BTreeMap<CustomerKey, Account>,
    /// Number of the newest transfer or transfer request.
    next_id: u64,
    /// Highest transfer number seen from each peer.
    received: FastMap<IncarnationId, u64>,
    /// Newest transfer given to each peer.
    answered: FastMap<IncarnationId, Transfer>,
    homes: FastMap<CustomerKey, bool>,
}

impl SpendingRights {
    /// Makes the holder of a new incarnation, without any rights.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            is_closed: false,
            is_stopping: false,
            accounts: BTreeMap::new(),
            next_id: 0,
            received: FastMap::default(),
            answered: FastMap::default(),
            homes: FastMap::default(),
        }
    }

    /// Returns the incarnation whose rights these are.
    pub fn incarnation(&self) -> IncarnationId {
        self.own
    }

    /// Returns whether the fold showed the end of the own incarnation.
    ///
    /// Nothing can be reserved any more; the process starts a new incarnation with a new holder.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Sets whether this process is the home of a customer's budget in its data centre; it is by default.
    ///
    /// A home asks the log for rights. Other processes ask the home first and hold less.
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

    /// Returns the rights that are not charged, whether reserved or not.
    pub fn unspent_tokens(&self, customer: CustomerKey) -> u64 {
        self.accounts
            .get(&customer)
            .map_or(0, Account::unspent_tokens)
    }

    /// Reserves the largest possible charge of a request.
    ///
    /// # Errors
    ///
    /// Returns what is missing. The next requests for rights then cover the amount, even above the window.
    pub fn reserve(
        &mut self,
        customer: CustomerKey,
        amount_tokens: u64,
    ) -> Result<Reservation, Shortage> {
        let (own, is_closed) = (self.own, self.is_closed);
        let account = self.account_mut(customer);
        if is_closed {
            return Err(Shortage {
                missing_tokens: amount_tokens,
            });
        }
        let Some(draws) = account.take(own, amount_tokens) else {
            account.wanted_tokens = account.wanted_tokens.max(amount_tokens);
            return Err(Shortage {
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
    /// A charge above the reservation is lowered to it: the upstream was told the limit, and rights that are not held
    /// must not be spent.
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
            account.put(&rest);
        }
        charged
    }

    /// Gives a reservation back without a charge.
    pub fn release(&mut self, reservation: Reservation) {
        let draws = self.settle(reservation, 0);
        debug_assert!(draws.is_empty(), "a release charges nothing");
    }

    /// Credits the draws of an own bill that the fold dropped; see [`crate::billing`].
    pub fn refund(&mut self, customer: CustomerKey, draws: &[Draw]) {
        self.account_mut(customer).put(draws);
    }

    /// Takes a change of the fold into account.
    pub fn on_change(&mut self, change: &Change, state: &FleetState) {
        match change {
            Change::Grant {
                incarnation,
                customer,
            } if *incarnation == self.own => self.credit_grant(*customer, state),
            Change::Member(id) if *id == self.own => {
                self.is_closed |= has_ended(state, self.own);
            }
            Change::Member(id) if state.members.is_retired(*id) => self.forget(*id),
            _ => {}
        }
    }

    /// Takes a whole state into account, after a snapshot replaced the fold of single records.
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
                self.forget(grant);
            }
        }
    }

    /// Returns the requests for and the returns of rights that are due.
    ///
    /// The entries must reach the log in this order, each batch until it is acknowledged; a request that is pending
    /// there is not repeated.
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
            account.advance(now_ms);
            return_ended(&mut entries, account, state, customer, own);
            let window_tokens = window_of(&contract.contract);
            if let Some(up_to_tokens) =
                level_to_ask(account, state, customer, own, window_tokens, now_ms)
            {
                account.asked_tokens = up_to_tokens;
                account.wanted_tokens = 0;
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

    /// Returns all rights that no reservation holds and asks for no more, for a planned stop.
    ///
    /// Called again, it returns what was released or granted since. The process leaves once [`Self::is_drained`].
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

    /// Returns whether no rights are held and no request for rights is pending on the log.
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

    /// Credits the rise of the own grant's level since the last call.
    fn credit_grant(&mut self, customer: CustomerKey, state: &FleetState) {
        let own = self.own;
        let level_tokens = state
            .ledger
            .budget(customer)
            .and_then(|budget| budget.grants.get(&own))
            .map_or(0, |grant| grant.level_tokens);
        let account = self.account_mut(customer);
        let rise_tokens = level_tokens.saturating_sub(account.level_tokens);
        account.level_tokens = account.level_tokens.max(level_tokens);
        account.put(&[Draw {
            grant: own.0,
            amount_tokens: rise_tokens,
        }]);
    }

    /// Drops all rights on a finalised grant and the numbers of its incarnation's messages.
    fn forget(&mut self, ended: IncarnationId) {
        self.received.remove(&ended);
        self.answered.remove(&ended);
        for account in self.accounts.values_mut() {
            account.free.remove(&ended);
        }
    }
}

/// Returns the cumulative level to ask the log for, if a request is due.
fn level_to_ask(
    account: &Account,
    state: &FleetState,
    customer: CustomerKey,
    own: IncarnationId,
    window_tokens: u64,
    now_ms: u64,
) -> Option<u64> {
    let is_pending = account.asked_tokens > folded_asked_tokens(state, customer, own);
    let unallocated_tokens = state.ledger.budget(customer)?.unallocated_tokens();
    let asks_log = account.is_home
        || account
            .request
            .as_ref()
            .is_some_and(|open| now_ms.saturating_sub(open.first_ms) >= HOME_TIMEOUT_MS);
    if is_pending || unallocated_tokens == 0 || !asks_log {
        return None;
    }
    let wanted_tokens = account.wanted_tokens.saturating_sub(account.free_tokens());
    let stock_tokens = account.stock_tokens(window_tokens, now_ms);
    let unspent_tokens = account.unspent_tokens();
    let refill_tokens = if unspent_tokens < stock_tokens - stock_tokens / 4 {
        (stock_tokens - unspent_tokens).min(unallocated_tokens / SCARCE_DIVISOR)
    } else {
        0
    };
    let amount_tokens = wanted_tokens.max(refill_tokens);
    (amount_tokens > 0).then(|| account.level_tokens.saturating_add(amount_tokens))
}

/// Returns the rights that have been held in excess of the need for long enough.
fn excess_tokens(account: &mut Account, window_tokens: u64, now_ms: u64) -> u64 {
    let stock_tokens = account.stock_tokens(window_tokens, now_ms);
    let limit_tokens = window_tokens.min(stock_tokens.saturating_mul(2));
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
    (unspent_tokens - stock_tokens).min(account.free_tokens())
}

/// Takes rights out of an account and writes their return.
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

/// Returns the rights on grants of incarnations that have ended, and drops those on finalised grants.
///
/// A request that still runs when the grant is finalised would never be charged. The finalisation follows the end after
/// hours, so bills of requests that run now are in time.
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

/// Returns the highest level asked for by the requests that were folded.
fn folded_asked_tokens(state: &FleetState, customer: CustomerKey, own: IncarnationId) -> u64 {
    state
        .ledger
        .budget(customer)
        .and_then(|budget| budget.grants.get(&own))
        .map_or(0, |grant| grant.asked_tokens)
}

/// Returns the unspent rights that one process may hold.
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
