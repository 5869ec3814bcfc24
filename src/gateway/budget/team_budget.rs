//! Spending rights of one team: reservations and requests that wait for rights.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::{remote, BudgetSummary};
use crate::allowance::{EntryNeed, Knowledge, ReserveError, Role, TeamAccount};
use crate::gateway::peers::{Content, RightsRequest};
use crate::gateway::Shared;
use crate::holders::{self, Candidate, Holder, HOLDERS_PER_TEAM};
use crate::notify::Notify;
use crate::reservations::{ReservationBook, Settled};

/// Age up to which a record tells whether the budget is nearly spent.
const MAX_RECORD_AGE_MS: u64 = 1_000;

/// Longest time for which a request waits for rights that the store can grant. Reading the record, changing it and
/// writing a journal entry take some 20 ms, and several gateways may have to take turns.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which a request waits until held rights become spendable as the journal entry ages.
const UNLOCK_WAIT_MS: u64 = 2_500;

/// Divisor of the remaining time of a request that also bounds this wait; the upstream needs the rest of the time.
const UNLOCK_DIVISOR: u64 = 2;

/// Margin for the intervals at which the age of the entry is applied.
const UNLOCK_MARGIN_MS: u64 = 120;

/// Expected time until rights that the store can grant are held: one read and one write of the record.
const GRANT_MS: u64 = 20;

/// Expected time until a journal entry lets held rights be spent.
const ENTRY_MS: u64 = 10;

/// Expected time until another holder has handed rights over.
const HANDOVER_MS: u64 = 40;

/// The same while the store is out of reach: the other holder hands over only what unlocks there in the meantime, so a
/// wait for rights that unlock at one holder is preferred.
const OUTAGE_HANDOVER_MS: u64 = 1_000;

/// Time for which the other holders are not asked again after they had no rights to hand over.
const ASKED_IN_VAIN_MS: u64 = 500;

/// Time after which rights that are used now may have been returned.
const NOT_HELD_RETRY_AFTER_MS: u64 = 700;

/// Time after which an unresponsive store may be available again; its outages last some seconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 4_000;

/// Time after which a budget that does not cover the request may have been topped up; no caller is told to wait longer.
pub(super) const EXHAUSTED_RETRY_AFTER_MS: u64 = 30_000;

/// Spending rights of one team.
pub(super) struct TeamBudget {
    pub(super) name: CompactString,
    pub(super) prepaid_tokens: Cell<u64>,
    pub(super) account: RefCell<TeamAccount>,
    /// Wakes the task of the team; `is_poll_requested` is the condition.
    pub(super) poll_requested: Notify,
    pub(super) is_poll_requested: Cell<bool>,
    /// Wakes requests that wait for rights.
    pub(super) rights_changed: Notify,
    /// Time since which calls have failed; `None` while they succeed.
    pub(super) failing_since_ms: Cell<Option<u64>>,
    /// Time at which the record was last read.
    pub(super) read_ms: Cell<u64>,
    /// Tokens that were granted to no gateway when the record was read.
    pub(super) free_tokens: Cell<u64>,
    /// Time of the last request to other holders for rights, and time at which some were last received.
    pub(super) peers_asked_ms: Cell<u64>,
    pub(super) received_ms: Cell<u64>,
    /// Reservations for requests at other gateways.
    pub(super) book: RefCell<ReservationBook>,
    /// Holders of the team's rights.
    pub(super) ranking: RefCell<Ranking>,
    /// Rights of the predecessor that are still to be reclaimed.
    pub(super) pending_reclaim: Cell<Option<Reclaim>>,
    /// Time since which the record is older than a return of the store; `None` if it is not.
    pub(super) outdated_since_ms: Cell<Option<u64>>,
    /// Newest version of the record that this gateway knows.
    pub(super) knowledge: RefCell<Knowledge>,
}

/// The routers that hold a team's rights and their substitutes, for one state of the fleet.
#[derive(Default)]
pub(super) struct Ranking {
    /// State of the fleet, see [`crate::shared_limits::ActiveRouters::generation`]; `None` before the first use.
    generation: Option<u64>,
    /// VMs with their data centres, see [`holders::rank`].
    ranked: Vec<(CompactString, CompactString)>,
}

/// Rights of one team that the predecessor, the previous process on this VM, left.
#[derive(Clone, Copy)]
pub(super) struct Reclaim {
    /// Id of the predecessor.
    pub(super) router: u64,
    /// Upper bound of what it can have used.
    pub(super) limit_tokens: u64,
    /// Tokens that it had charged, and those that it had reserved, when it made its last entry.
    pub(super) entry_spent_tokens: u64,
    pub(super) entry_reserved_tokens: u64,
    /// Whether the last journal entry of the predecessor names the team.
    pub(super) is_in_entry: bool,
    /// Start of this gateway's next turn.
    pub(super) from_ms: u64,
    /// Length of a round, in which every holder has one turn.
    pub(super) round_ms: u64,
}

/// Target of a reconciliation.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Goal {
    /// Hold the rights that are expected to be needed.
    Hold,
    /// Hold only the rights that open requests have reserved.
    Return,
}

/// Result of one reconciliation with the record in the store.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReconcileResult {
    /// The rights are as planned, or the store did not respond.
    Done,
    /// The record may need another change at once, for example because another gateway's write took effect first.
    Conflict,
}

/// Returns whether a request can wait for this long until held rights become spendable.
fn is_soon(wait_ms: u64, remaining_ms: u64) -> bool {
    wait_ms <= UNLOCK_WAIT_MS.min(remaining_ms / UNLOCK_DIVISOR)
}

/// Returns this gateway as a holder of rights.
fn own_candidate(shared: &Shared) -> Candidate<'_> {
    Candidate {
        vm: &shared.settings.vm,
        data_centre: &shared.settings.data_centre,
        weight_permille: shared.settings.resources.weight_permille(),
    }
}

impl TeamBudget {
    /// Updates the holders if the fleet has changed.
    fn update_ranking(&self, shared: &Shared) {
        let routers = shared.routers.borrow();
        let mut ranking = self.ranking.borrow_mut();
        if ranking.generation == Some(routers.generation()) {
            return;
        }
        let mut candidates = routers.rights_candidates();
        if !candidates
            .iter()
            .any(|other| other.vm == shared.settings.vm)
        {
            candidates.push(own_candidate(shared));
        }
        let ranked = holders::rank(&self.name, candidates);
        *ranking = Ranking {
            generation: Some(routers.generation()),
            ranked: ranked
                .iter()
                .map(|candidate| (candidate.vm.into(), candidate.data_centre.into()))
                .collect(),
        };
    }

    /// Returns whom to ask for tokens, in order, and probes holders that did not respond.
    pub(super) fn ask_order(&self, shared: &Shared) -> Vec<Holder> {
        self.update_ranking(shared);
        let ranking = self.ranking.borrow();
        let routers = shared.routers.borrow();
        for (vm, _) in &ranking.ranked {
            if let Some(address) = routers.address_of(vm).filter(|_| *vm != shared.settings.vm) {
                remote::probe_if_silent(shared, address);
            }
        }
        let monitor = shared.peer_monitor.borrow();
        // Weights matter for the ranking only.
        let ranked: Vec<Candidate<'_>> = ranking
            .ranked
            .iter()
            .map(|(vm, data_centre)| Candidate {
                vm,
                data_centre,
                weight_permille: 0,
            })
            .collect();
        let mut order = holders::ask_order(
            &ranked,
            own_candidate(shared),
            |vm| routers.address_of(vm),
            |address| monitor.is_silent(address),
        );
        if shared.is_stopping() {
            // The rights of a process that shuts down are on their way back to the store.
            order.retain(|holder| *holder != Holder::Own);
            order.push(Holder::Own);
        }
        order
    }

    /// Returns the addresses of the other gateways that follow the team's record and respond.
    pub(super) fn witnesses(&self, shared: &Shared) -> Vec<SocketAddr> {
        self.update_ranking(shared);
        let ranking = self.ranking.borrow();
        let routers = shared.routers.borrow();
        let monitor = shared.peer_monitor.borrow();
        let others = ranking.ranked.iter().map(|(vm, _)| vm);
        others
            .filter(|vm| **vm != shared.settings.vm)
            .filter_map(|vm| routers.address_of(vm))
            .filter(|address| !monitor.is_silent(*address))
            .collect()
    }

    /// Returns the role of this gateway.
    pub(super) fn role(&self, shared: &Shared) -> Role {
        self.update_ranking(shared);
        let ranking = self.ranking.borrow();
        let mut holders = ranking.ranked.iter().take(HOLDERS_PER_TEAM);
        Role {
            holders: ranking.ranked.len().min(HOLDERS_PER_TEAM) as u64,
            is_holder: holders.any(|(vm, _)| *vm == shared.settings.vm),
        }
    }

    /// Requests a journal entry if waiting requests need a higher spending limit.
    pub(super) fn wake_journal(&self, shared: &Shared) {
        if self.account.borrow().needs_entry() {
            shared.journal.request(EntryNeed::Now);
        }
    }

    /// Returns whether requests wait for rights, so that the record must be changed before the next regular poll.
    pub(super) fn has_waiting_requests(&self) -> bool {
        self.account.borrow().demand_tokens() > 0
    }

    /// Returns the time until this gateway's turn to reclaim rights, if any are left to reclaim.
    pub(super) fn reclaim_wait_ms(&self, now_ms: u64) -> Option<u64> {
        let reclaim = self.pending_reclaim.get()?;
        Some(reclaim.from_ms.saturating_sub(now_ms))
    }

    pub(super) fn request_poll(&self) {
        self.is_poll_requested.set(true);
        self.poll_requested.notify();
    }

    /// Reserves tokens in the account, without waiting.
    ///
    /// A journal entry is requested before requests have to wait for it, because it may take longer than they can wait.
    pub(super) fn reserve_tokens(&self, shared: &Shared, tokens: u64) -> Result<(), ReserveError> {
        let mut account = self.account.borrow_mut();
        account.reserve(tokens, shared.now_ms())?;
        if account.available_tokens() < tokens {
            self.request_poll();
        }
        if account.needs_entry() {
            shared.journal.request(EntryNeed::Early);
        }
        Ok(())
    }

    /// Ends a reservation in the account.
    pub(super) fn settle_tokens(&self, reserved_tokens: u64, charge_tokens: u64) {
        let mut account = self.account.borrow_mut();
        account.settle(reserved_tokens, charge_tokens);
        drop(account);
        self.rights_changed.notify();
    }

    /// Ends a reservation that was made for another gateway.
    pub(super) fn settle(&self, settled: Settled) {
        self.settle_tokens(settled.reserved_tokens, settled.charge_tokens);
    }

    /// Starts to acquire rights for a request that does not wait for them here.
    pub(super) fn request_rights(&self, shared: &Shared, tokens: u64) {
        if self.account.borrow().available_tokens() < tokens {
            self.request_poll();
        } else {
            shared.journal.request(EntryNeed::Now);
        }
    }

    /// Returns how long a request that finds too few rights is expected to wait for them; `None` if none are expected
    /// in time.
    pub(super) fn expected_wait_ms(
        &self,
        shared: &Shared,
        tokens: u64,
        remaining_ms: u64,
    ) -> Option<u64> {
        let available = self.account.borrow().available_tokens();
        // An unresponsive store writes no entry and grants nothing, so only the age of the last entry can help.
        if shared.store.is_responsive() {
            if available >= tokens {
                return Some(ENTRY_MS);
            }
            if available + self.usable_free_tokens(shared) >= tokens {
                return Some(GRANT_MS);
            }
        }
        if let Some(wait_ms) = self.unlock_wait_ms(tokens) {
            return is_soon(wait_ms, remaining_ms).then_some(wait_ms);
        }
        let unspent = self.account.borrow().team_unspent_tokens();
        let may_be_elsewhere = unspent.is_none_or(|unspent| unspent >= tokens);
        let handover_ms = if shared.store.is_responsive() {
            HANDOVER_MS
        } else {
            OUTAGE_HANDOVER_MS
        };
        (may_be_elsewhere && self.may_ask_holders(shared)).then_some(handover_ms)
    }

    /// Returns how long a request waits until the ageing journal entry allows its reservation, after the requests that
    /// wait already; `None` if it never does.
    fn unlock_wait_ms(&self, tokens: u64) -> Option<u64> {
        let account = self.account.borrow();
        let wait_ms = account.unlock_wait_ms(account.demand_tokens() + tokens)?;
        Some(wait_ms + UNLOCK_MARGIN_MS)
    }

    /// Returns whether to ask the other holders for rights: they may have some, as they were not asked in vain just now.
    ///
    /// Only a holder asks. The requests of all other gateways reserve at the holders, and rights that each of them
    /// collected would be parts too small for one request.
    fn may_ask_holders(&self, shared: &Shared) -> bool {
        if !self.role(shared).is_holder {
            return false;
        }
        let asked_ms = self.peers_asked_ms.get();
        let was_in_vain = self.received_ms.get() < asked_ms;
        let is_recent = shared.now_ms().saturating_sub(asked_ms) < ASKED_IN_VAIN_MS;
        !(was_in_vain && is_recent && asked_ms > 0) && self.other_holders(shared).next().is_some()
    }

    /// Returns the addresses of the other holders that respond.
    pub(super) fn other_holders(&self, shared: &Shared) -> impl Iterator<Item = SocketAddr> {
        let order = self.ask_order(shared);
        order.into_iter().filter_map(|holder| match holder {
            Holder::Peer { address, .. } => Some(address),
            Holder::Own => None,
        })
    }

    /// Asks the other holders for rights that requests wait for here.
    fn ask_holders(&self, shared: &Shared) {
        let missing = {
            let account = self.account.borrow();
            let demand = account.demand_tokens();
            demand.saturating_sub(account.spendable_tokens())
        };
        if missing == 0 || !self.may_ask_holders(shared) {
            return;
        }
        self.peers_asked_ms.set(shared.now_ms());
        for holder in self.other_holders(shared) {
            let request = RightsRequest {
                team: self.name.as_str().into(),
                tokens: missing,
            };
            shared
                .peer_socket
                .send(Content::RightsRequest(request), holder);
        }
    }

    /// Returns the tokens that the store can grant now.
    fn usable_free_tokens(&self, shared: &Shared) -> u64 {
        if shared.store.is_responsive() {
            self.free_tokens.get()
        } else {
            0
        }
    }

    /// Waits until tokens can be reserved, for about as long as [`TeamBudget::expected_wait_ms`] states.
    pub(super) async fn wait_for_rights(
        &self,
        shared: &Shared,
        tokens: u64,
        remaining_ms: u64,
    ) -> Result<(), ReserveError> {
        let Some(expected_ms) = self.expected_wait_ms(shared, tokens, remaining_ms) else {
            return Err(ReserveError::NotHeld);
        };
        // An outage of the store may have begun without being noticed yet. The request then waits for the entry to age.
        let unlock_ms = self.unlock_wait_ms(tokens);
        let unlock_ms = unlock_ms.filter(|wait_ms| is_soon(*wait_ms, remaining_ms));
        let expected_ms = expected_ms.max(unlock_ms.unwrap_or(0));
        self.account.borrow_mut().add_demand(tokens);
        if self.account.borrow().available_tokens() < tokens {
            self.request_poll();
        }
        self.wake_journal(shared);
        if self.account.borrow().available_tokens() + self.usable_free_tokens(shared) < tokens {
            self.ask_holders(shared);
        }
        let wait_limit = STORE_WAIT.max(Duration::from_millis(expected_ms));
        let wait = self
            .rights_changed
            .wait_for(|| match self.reserve_tokens(shared, tokens) {
                Err(ReserveError::NotHeld) => None,
                result => Some(result),
            });
        let result = monoio::time::timeout(wait_limit, wait).await;
        self.account.borrow_mut().remove_demand(tokens);
        result.unwrap_or(Err(ReserveError::NotHeld))
    }

    /// Returns the time after which a request that found too few rights may succeed.
    pub(super) fn retry_after_ms(&self, shared: &Shared, tokens: u64) -> u64 {
        let unspent = self.account.borrow().team_unspent_tokens();
        if !shared.store.is_responsive() {
            OUTAGE_RETRY_AFTER_MS
        } else if unspent.is_some_and(|unspent| unspent < tokens) {
            EXHAUSTED_RETRY_AFTER_MS
        } else {
            NOT_HELD_RETRY_AFTER_MS
        }
    }

    /// Returns whether a request would use the last part of the budget, according to a recent record.
    pub(super) fn is_nearly_spent(&self, shared: &Shared, tokens: u64) -> bool {
        let age_ms = shared.now_ms().saturating_sub(self.read_ms.get());
        let account = self.account.borrow();
        age_ms < MAX_RECORD_AGE_MS && account.is_nearly_spent(tokens, self.prepaid_tokens.get())
    }

    /// Returns the figures of the budget as this gateway knows them.
    pub(super) fn summary(&self) -> BudgetSummary {
        let account = self.account.borrow();
        BudgetSummary {
            granted_tokens: account.granted_tokens(),
            spent_tokens: account.spent_tokens(),
            available_tokens: account.available_tokens(),
            spendable_tokens: account.spendable_tokens(),
            unspent_tokens: account.team_unspent_tokens().unwrap_or(0),
            read_ms: self.read_ms.get(),
        }
    }
}
