//! Spending rights of this gateway: the tokens of the teams' prepaid budgets that it may spend, see
//! [`crate::allowance`].
//!
//! One task for each team reads the team's record, plans the next one with [`crate::allowance`] and appends it on the
//! condition that the record has not changed in between. If the response to an append is lost, the task reads the
//! record until it knows whether the write took effect, and repeats the same write as long as that is unknown. At most
//! one of the copies can meet the condition.

mod team_budget;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use super::Shared;
use crate::allowance::{ReserveError, TeamLimit, LOCK_PERIOD_MS};
use crate::collections::FastMap;
use crate::notify::Notify;
use crate::routing::RoutingTable;

use team_budget::{Goal, Reclaim, ReconcileResult, TeamBudget};

/// Interval at which the record of a team is polled, with few gateways and teams.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Maximum rate at which all gateways together poll the records of all teams; the interval grows to stay below it.
const POLLS_PER_S: u64 = 200;

/// Minimum time between two polls, so that a team that needs rights does not flood the store.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum number of attempts in a row when the write of another gateway takes effect first.
const MAX_CONFLICTS: u32 = 6;

/// Maximum backoff after a conflict for each gateway of the fleet; the backoff is random, so that the gateways do not
/// collide again. A change takes two responses of the store.
const CONFLICT_BACKOFF_MS: u64 = 3;

/// Minimum length of one gateway's turn to reclaim the rights of a team; a read and a write take two responses of the
/// store.
const RECLAIM_TURN_MS: u64 = 12;

/// Maximum rate at which all gateways together reclaim the rights of teams; each takes two calls.
const RECLAIMS_PER_S: u64 = 800;

/// Age of the last poll from which on received rights are moved in the record at once; until then they are lost if this
/// process is killed.
const TRANSFER_RECORD_INTERVAL_MS: u64 = 300;

/// Time over which the first polls of the records are spread.
const START_JITTER_MS: u64 = 3_000;

/// Time after which rights that other gateways hold may have been returned.
const NOT_HELD_RETRY_AFTER_MS: u64 = 700;

/// Time after which an unresponsive store may be available again; its outages last some seconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 4_000;

/// Time after which a fully granted budget may have been topped up.
const FULLY_GRANTED_RETRY_AFTER_MS: u64 = 30_000;

/// Spending rights of all teams that have a budget.
#[derive(Default)]
pub(super) struct Budgets {
    teams: RefCell<FastMap<CompactString, Rc<TeamBudget>>>,
    team_added: Notify,
    unstarted: RefCell<Vec<Rc<TeamBudget>>>,
    predecessor: RefCell<Option<Predecessor>>,
}

/// Previous process on this VM, with an upper bound of what it can have used of each team's rights.
struct Predecessor {
    router: u64,
    limits_tokens: FastMap<CompactString, u64>,
    vm: CompactString,
    /// Time from which its rights are reclaimed.
    from_ms: u64,
    /// Number of turns in a round, one for each gateway.
    turns_per_round: u64,
    /// Length of a turn.
    turn_ms: u64,
}

/// The last journal entry of a process that has ended.
pub(super) struct LastEntry<'e> {
    pub(super) router: u64,
    pub(super) limits: &'e [TeamLimit],
    /// Upper bound of the age that the entry had when this process started.
    pub(super) age_ms: u64,
}

/// Rights reserved for one request until it is settled. On drop the charge is deducted and the rest becomes available.
pub(super) struct Reservation {
    team: Rc<TeamBudget>,
    tokens: u64,
    charge_tokens: Cell<u64>,
}

impl Reservation {
    /// Sets the charge that is deducted when the reservation is dropped.
    pub(super) fn charge(&self, tokens: u64) {
        self.charge_tokens.set(tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut account = self.team.account.borrow_mut();
        account.settle(self.tokens, self.charge_tokens.get());
        drop(account);
        self.team.rights_changed.notify();
    }
}

/// Figures of one team's budget as this gateway knows them, for the log.
#[derive(Default)]
pub(super) struct BudgetSummary {
    granted_tokens: u64,
    spent_tokens: u64,
    available_tokens: u64,
    record_age_ms: u64,
}

impl std::fmt::Display for BudgetSummary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "granted {}, spent {}, available {}, record {} ms old",
            self.granted_tokens, self.spent_tokens, self.available_tokens, self.record_age_ms
        )
    }
}

impl Budgets {
    /// Applies the budgets of a configuration.
    pub(super) fn configure(&self, table: &RoutingTable) {
        let mut teams = self.teams.borrow_mut();
        for team in table.teams() {
            let Some(prepaid_tokens) = team.prepaid_tokens else {
                continue;
            };
            if let Some(existing) = teams.get(&team.name) {
                let before = existing.prepaid_tokens.replace(prepaid_tokens);
                if before != prepaid_tokens {
                    existing.request_poll();
                }
                continue;
            }
            let budget = Rc::new(TeamBudget {
                name: team.name.clone(),
                prepaid_tokens: Cell::new(prepaid_tokens),
                account: RefCell::default(),
                poll_requested: Notify::default(),
                is_poll_requested: Cell::new(false),
                rights_changed: Notify::default(),
                call_pending_since_ms: Cell::new(None),
                failing_since_ms: Cell::new(None),
                read_ms: Cell::new(0),
                free_tokens: Cell::new(prepaid_tokens),
                peers_asked_ms: Cell::new(0),
                pending_reclaim: Cell::new(self.reclaim_for(&team.name)),
            });
            teams.insert(team.name.clone(), Rc::clone(&budget));
            self.unstarted.borrow_mut().push(budget);
        }
        self.team_added.notify();
    }

    /// Reserves the maximum charge of a request; waits a short time if rights must be acquired first. Returns `None`
    /// for a team without a budget.
    ///
    /// # Errors
    ///
    /// Returns whether the budget is exhausted or the rights are not held here.
    pub(super) async fn reserve(
        &self,
        shared: &Shared,
        team: &str,
        tokens: u64,
        remaining_ms: u64,
    ) -> Result<Option<Reservation>, ReserveError> {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return Ok(None);
        };
        match team.try_reserve(tokens, shared.now_ms()) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(ReserveError::NotHeld) => team
                .wait_for_rights(shared, tokens, remaining_ms)
                .await
                .map(Some),
            Err(ReserveError::Exhausted) => Err(ReserveError::Exhausted),
        }
    }

    /// Gives rights of a team to another gateway and returns their amount.
    ///
    /// While the store responds, all available rights may be given, because new ones can be acquired at once; otherwise
    /// half of them is kept.
    pub(super) fn give(&self, shared: &Shared, team: &str, asked_tokens: u64) -> u64 {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return 0;
        };
        let is_store_available =
            team.is_store_responsive(shared.now_ms()) && team.free_tokens.get() > 0;
        let max_permille = if is_store_available { 1_000 } else { 500 };
        let given = team.account.borrow_mut().give(asked_tokens, max_permille);
        if given < asked_tokens || is_store_available {
            team.request_poll();
        }
        team.wake_journal(shared);
        log::info!(
            step = "give", team = team.name.as_str(), asked_tokens = asked_tokens,
            given_tokens = given, at_ms = shared.now_ms(); "gave rights to another gateway"
        );
        given
    }

    /// Adds rights that another gateway gave.
    pub(super) fn receive(&self, shared: &Shared, team: &str, giver: u64, tokens: u64) {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return;
        };
        team.account.borrow_mut().receive(giver, tokens);
        team.wake_journal(shared);
        team.rights_changed.notify();
        log::info!(
            step = "receive", team = team.name.as_str(), tokens = tokens,
            at_ms = shared.now_ms(); "received rights from another gateway"
        );
    }

    /// Returns the spending limits for the next journal entry.
    pub(super) fn begin_entry(&self) -> Vec<TeamLimit> {
        let teams = self.teams.borrow();
        let limits = teams
            .values()
            .map(|team| TeamLimit::new(&team.name, team.account.borrow_mut().begin_entry()));
        limits.filter(|stored| stored.held_tokens > 0).collect()
    }

    /// Applies the spending limits of a journal entry that has taken effect.
    pub(super) fn commit_entry(&self, shared: &Shared, limits: &[TeamLimit]) {
        let teams = self.teams.borrow();
        let transfer_record_interval_ms =
            TRANSFER_RECORD_INTERVAL_MS * u64::from(shared.interval_factor());
        for stored in limits {
            if let Some(team) = teams.get(stored.team.as_str()) {
                let mut account = team.account.borrow_mut();
                account.commit_entry(stored.limit());
                let has_journalled_transfers = account.has_journalled_transfers();
                drop(account);
                team.rights_changed.notify();
                let age_ms = shared.now_ms().saturating_sub(team.read_ms.get());
                if has_journalled_transfers && age_ms > transfer_record_interval_ms {
                    team.request_poll();
                }
            }
        }
    }

    /// Sets the age of the newest journal entry; more rights become spendable as it grows.
    pub(super) fn set_entry_age(&self, age_ms: u64) {
        for team in self.teams.borrow().values() {
            team.account.borrow_mut().set_entry_age(age_ms);
            if age_ms > LOCK_PERIOD_MS {
                team.rights_changed.notify();
            }
        }
    }

    /// Schedules the reclaim of the rights that the predecessor left: everything beyond what its last entry let it
    /// spend at the maximum age that the entry had when this process started.
    ///
    /// Gateways that start together take turns at each record, because only one of them can change it at a time. A hash
    /// of the VM and the team determines a gateway's turn in the round.
    pub(super) fn reclaim(&self, shared: &Shared, last: &LastEntry<'_>, routers: u64) {
        let limits = last
            .limits
            .iter()
            .map(|stored| (stored.team.as_str().into(), stored.limit().at(last.age_ms)));
        let teams = self.teams.borrow();
        let turn_ms = RECLAIM_TURN_MS.max(teams.len() as u64 * 1_000 / RECLAIMS_PER_S);
        *self.predecessor.borrow_mut() = Some(Predecessor {
            router: last.router,
            limits_tokens: limits.collect(),
            vm: shared.settings.vm.clone(),
            from_ms: shared.now_ms(),
            turns_per_round: routers.max(1),
            turn_ms,
        });
        for team in teams.values() {
            team.pending_reclaim.set(self.reclaim_for(&team.name));
            team.request_poll();
        }
    }

    /// Returns whether rights of the predecessor are still to be reclaimed.
    pub(super) fn is_reclaiming(&self) -> bool {
        let teams = self.teams.borrow();
        teams
            .values()
            .any(|team| team.pending_reclaim.get().is_some())
    }

    /// Polls the records of teams with waiting requests as soon as possible.
    pub(super) fn wake_waiting(&self) {
        for team in self.teams.borrow().values() {
            if team.has_waiting_requests() {
                team.request_poll();
            }
        }
    }

    fn reclaim_for(&self, team: &str) -> Option<Reclaim> {
        let predecessor = self.predecessor.borrow();
        let predecessor = predecessor.as_ref()?;
        let limit_tokens = predecessor.limits_tokens.get(team).copied();
        let seed = xxhash_rust::xxh3::xxh3_64(team.as_bytes());
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(predecessor.vm.as_bytes(), seed);
        Some(Reclaim {
            router: predecessor.router,
            limit_tokens: limit_tokens.unwrap_or(0),
            from_ms: predecessor.from_ms + hash % predecessor.turns_per_round * predecessor.turn_ms,
            round_ms: predecessor.turns_per_round * predecessor.turn_ms,
        })
    }

    /// Returns the time after which a request that found too few rights may succeed.
    pub(super) fn retry_after_ms(&self, team: &str, now_ms: u64) -> u64 {
        match self.teams.borrow().get(team) {
            Some(team) if !team.is_store_responsive(now_ms) => OUTAGE_RETRY_AFTER_MS,
            Some(team) if team.free_tokens.get() == 0 => FULLY_GRANTED_RETRY_AFTER_MS,
            _ => NOT_HELD_RETRY_AFTER_MS,
        }
    }

    /// Returns the figures of a team's budget for the log.
    pub(super) fn summary(&self, team: &str, now_ms: u64) -> BudgetSummary {
        let teams = self.teams.borrow();
        let Some(team) = teams.get(team) else {
            return BudgetSummary::default();
        };
        let account = team.account.borrow();
        BudgetSummary {
            granted_tokens: account.granted_tokens(),
            spent_tokens: account.spent_tokens(),
            available_tokens: account.available_tokens(),
            record_age_ms: now_ms.saturating_sub(team.read_ms.get()),
        }
    }

    /// Returns all unreserved rights to the store, for a graceful shutdown.
    pub(super) async fn return_all(&self, shared: &Shared) {
        let teams: Vec<_> = self.teams.borrow().values().cloned().collect();
        let returns = teams
            .iter()
            .map(|team| team.reconcile(shared, Goal::Return));
        futures_util::future::join_all(returns).await;
    }
}

impl Budgets {
    /// Hands unreserved rights over to other gateways, for a shutdown while the store is unavailable.
    pub(super) fn hand_over_all(&self, shared: &Shared) {
        for team in self.teams.borrow().values() {
            let tokens = team.account.borrow_mut().give(u64::MAX, 1_000);
            if tokens > 0 {
                shared
                    .peer_socket
                    .hand_over_rights(shared, &team.name, tokens);
            }
        }
    }
}

/// Starts a task for each team that the configuration adds.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let budgets = &shared.budgets;
        let unstarted = budgets.team_added.wait_for(|| {
            let teams = std::mem::take(&mut *budgets.unstarted.borrow_mut());
            (!teams.is_empty()).then_some(teams)
        });
        for team in unstarted.await {
            monoio::spawn(maintain(Rc::clone(&shared), team));
        }
    }
}

async fn maintain(shared: Rc<Shared>, team: Rc<TeamBudget>) {
    // Gateways that start together would all change the record at once, so each delays its first poll at random. A
    // waiting request or a reclaim ends the delay.
    let jitter = Duration::from_millis(u64::from(shared.random()) % START_JITTER_MS);
    let poll_requested = team
        .poll_requested
        .wait_for(|| team.is_poll_requested.get().then_some(()));
    let _ = monoio::time::timeout(jitter, poll_requested).await;
    while !shared.is_stopping() {
        team.is_poll_requested.set(false);
        for _ in 0..MAX_CONFLICTS {
            if team.reconcile(&shared, Goal::Hold).await != ReconcileResult::Conflict
                || !team.has_waiting_requests()
            {
                break;
            }
            let max_pause_ms = {
                let routers = shared.routers.borrow();
                CONFLICT_BACKOFF_MS * routers.count() * routers.interval_factor()
            };
            let pause_ms = u64::from(shared.random()) % max_pause_ms;
            monoio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        if !team.is_store_responsive(shared.now_ms()) {
            team.request_from_peers(&shared);
        }
        monoio::time::sleep(MIN_POLL_INTERVAL).await;
        let reclaim_wait_ms = team.reclaim_wait_ms(shared.now_ms()).unwrap_or(u64::MAX);
        let interval = Duration::from_millis(poll_interval_ms(&shared).min(reclaim_wait_ms));
        let poll_requested = team
            .poll_requested
            .wait_for(|| team.is_poll_requested.get().then_some(()));
        // Whether requested or due, the next poll follows.
        let _ = monoio::time::timeout(interval, poll_requested).await;
    }
}

/// Returns the poll interval that keeps all gateways together within the rate that the store can take.
fn poll_interval_ms(shared: &Shared) -> u64 {
    let teams = shared.budgets.teams.borrow().len() as u64;
    let routers = shared.routers.borrow().count();
    POLL_INTERVAL_MS.max(teams * routers * 1_000 / POLLS_PER_S)
}
