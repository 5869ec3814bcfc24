//! Keeps spending rights of every team at hand.
//!
//! One task for each team reads the team's record, plans the next one with [`crate::allowance`] and writes it under the
//! condition that nothing was written in between. If an answer is lost the task reads until it knows whether the write
//! took effect, and repeats the same write while that is open: only one of the copies can meet the condition.

mod team_budget;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use super::Shared;
use crate::allowance::{Mark, Shortage, LOCKED_MS};
use crate::collections::FastMap;
use crate::notify::Notify;
use crate::routing::Table;

use team_budget::{Goal, Reclaim, ReconcileResult, TeamBudget};

/// Interval between two looks at a team's record, with few routers and teams.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Looks at records in one second over all routers and teams; beyond, the interval grows.
const POLLS_PER_S: u64 = 200;

/// Shortest time between two looks, so that a team in need does not flood the store.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Looks in a row after another router's change came first.
const MAX_CONFLICTS: u32 = 6;

/// Longest pause after a conflict for each router, spread at random so that they do not meet again; a change takes two
/// answers of the store.
const CONFLICT_BACKOFF_MS: u64 = 3;

/// Time of one gateway to take back rights of one team; a look and a change take two answers of the store.
const RECLAIM_TURN_MS: u64 = 12;

/// Rights of teams that all gateways together take back in one second; two calls each.
const RECLAIMS_PER_S: u64 = 800;

/// Time after a look at a record after which received rights are moved in it; until then a kill strands them.
const TRANSFER_RECORD_INTERVAL_MS: u64 = 300;

/// Time over which the first looks at the records are spread.
const START_JITTER_MS: u64 = 3_000;

/// Time after which rights that other gateways hold may be back.
const NOT_HELD_RETRY_AFTER_MS: u64 = 700;

/// Time after which a store that does not answer may be back; its outages last some seconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 4_000;

/// Time after which a budget that is handed out whole may have been topped up.
const FULLY_GRANTED_RETRY_AFTER_MS: u64 = 30_000;

/// Rights of all teams that have a budget.
#[derive(Default)]
pub(super) struct Budgets {
    teams: RefCell<FastMap<CompactString, Rc<TeamBudget>>>,
    team_added: Notify,
    unstarted: RefCell<Vec<Rc<TeamBudget>>>,
    predecessor: RefCell<Option<Predecessor>>,
}

/// Process that ran on this VM before, with the most that it can have used of each team's rights.
struct Predecessor {
    router: u64,
    limits_tokens: FastMap<CompactString, u64>,
    vm: CompactString,
    /// Time from which its rights are taken back, turns among the gateways, and the length of a turn.
    from_ms: u64,
    turns: u64,
    turn_ms: u64,
}

/// The last entry of a process that ended.
pub(super) struct LastEntry<'e> {
    pub(super) router: u64,
    pub(super) marks: &'e [Mark],
    /// Age that the entry had at most when this process started.
    pub(super) age_ms: u64,
}

/// Rights that one request holds until it is settled; what is not charged becomes available at the end.
pub(super) struct Reservation {
    team: Rc<TeamBudget>,
    tokens: u64,
    charge_tokens: Cell<u64>,
}

impl Reservation {
    /// Sets the charge; it counts when the reservation ends.
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

/// What a gateway knows of one team's budget.
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
    /// Takes over the budgets of a configuration.
    pub(super) fn configure(&self, table: &Table) {
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

    /// Reserves the largest possible charge of a request; waits a moment if the store has to be asked.
    ///
    /// # Errors
    ///
    /// Returns whether more rights can exist.
    pub(super) async fn reserve(
        &self,
        shared: &Shared,
        team: &str,
        tokens: u64,
        remaining_ms: u64,
    ) -> Result<Option<Reservation>, Shortage> {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return Ok(None);
        };
        match team.try_reserve(tokens, shared.now_ms()) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(Shortage::NotHeld) => team
                .wait_for_rights(shared, tokens, remaining_ms)
                .await
                .map(Some),
            Err(Shortage::Exhausted) => Err(Shortage::Exhausted),
        }
    }

    /// Gives rights of a team to another gateway.
    ///
    /// While the store answers everything can be given, because new rights are a call away; otherwise half is kept.
    pub(super) fn give(&self, shared: &Shared, team: &str, asked_tokens: u64) -> u64 {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return 0;
        };
        let is_store_available =
            team.is_store_responsive(shared.now_ms()) && team.free_tokens.get() > 0;
        let part_millis = if is_store_available { 1_000 } else { 500 };
        let given = team.account.borrow_mut().give(asked_tokens, part_millis);
        if given < asked_tokens || is_store_available {
            team.request_poll();
        }
        team.wake_journal(shared);
        log::info!(
            step = "give", team = team.name.as_str(), asked_tokens = asked_tokens,
            given_tokens = given, at_ms = shared.now_ms(); "rights given to another gateway"
        );
        given
    }

    /// Takes rights that another gateway gave.
    pub(super) fn receive(&self, shared: &Shared, team: &str, giver: u64, tokens: u64) {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return;
        };
        team.account.borrow_mut().receive(giver, tokens);
        team.wake_journal(shared);
        team.rights_changed.notify();
        log::info!(
            step = "receive", team = team.name.as_str(), tokens = tokens,
            at_ms = shared.now_ms(); "rights received from another gateway"
        );
    }

    /// Returns the marks that the next journal entry should show.
    pub(super) fn begin_entry(&self) -> Vec<Mark> {
        let teams = self.teams.borrow();
        let marks = teams
            .values()
            .map(|team| Mark::new(&team.name, team.account.borrow_mut().begin_entry()));
        marks.filter(|mark| mark.held_tokens > 0).collect()
    }

    /// Applies the marks of a journal entry that has taken effect.
    pub(super) fn apply_marks(&self, shared: &Shared, marks: &[Mark]) {
        let teams = self.teams.borrow();
        let transfer_record_interval_ms =
            TRANSFER_RECORD_INTERVAL_MS * u64::from(shared.interval_factor());
        for mark in marks {
            if let Some(team) = teams.get(mark.team.as_str()) {
                let mut account = team.account.borrow_mut();
                account.open(mark.limit());
                let has_covered_rights = account.has_covered_rights();
                drop(account);
                team.rights_changed.notify();
                let age_ms = shared.now_ms().saturating_sub(team.read_ms.get());
                if has_covered_rights && age_ms > transfer_record_interval_ms {
                    team.request_poll();
                }
            }
        }
    }

    /// Sets the age of the newest entry of the journal, with which more can be spent.
    pub(super) fn set_entry_age(&self, age_ms: u64) {
        for team in self.teams.borrow().values() {
            team.account.borrow_mut().set_entry_age(age_ms);
            if age_ms > LOCKED_MS {
                team.rights_changed.notify();
            }
        }
    }

    /// Takes back the rights of the process that ran on this VM before, beyond what its last entry lets it spend at the
    /// age that it had at most when this process started.
    ///
    /// Gateways that start together take turns at each record, because only one of them can change it at a time.
    pub(super) fn reclaim(&self, shared: &Shared, last: &LastEntry<'_>, routers: u64) {
        let limits = last
            .marks
            .iter()
            .map(|mark| (mark.team.as_str().into(), mark.limit().at(last.age_ms)));
        let teams = self.teams.borrow();
        let turn_ms = RECLAIM_TURN_MS.max(teams.len() as u64 * 1_000 / RECLAIMS_PER_S);
        *self.predecessor.borrow_mut() = Some(Predecessor {
            router: last.router,
            limits_tokens: limits.collect(),
            vm: shared.settings.vm.clone(),
            from_ms: shared.now_ms(),
            turns: routers.max(1),
            turn_ms,
        });
        for team in teams.values() {
            team.pending_reclaim.set(self.reclaim_for(&team.name));
            team.request_poll();
        }
    }

    /// Returns whether rights of the process before are still to be taken back.
    pub(super) fn is_reclaiming(&self) -> bool {
        let teams = self.teams.borrow();
        teams
            .values()
            .any(|team| team.pending_reclaim.get().is_some())
    }

    /// Looks soon at the records of teams whose requests wait.
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
            from_ms: predecessor.from_ms + hash % predecessor.turns * predecessor.turn_ms,
            round_ms: predecessor.turns * predecessor.turn_ms,
        })
    }

    /// Returns when a request that found too few rights may find them.
    pub(super) fn retry_after_ms(&self, team: &str, now_ms: u64) -> u64 {
        match self.teams.borrow().get(team) {
            Some(team) if !team.is_store_responsive(now_ms) => OUTAGE_RETRY_AFTER_MS,
            Some(team) if team.free_tokens.get() == 0 => FULLY_GRANTED_RETRY_AFTER_MS,
            _ => NOT_HELD_RETRY_AFTER_MS,
        }
    }

    /// Returns the figures of a team for the log.
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

    /// Returns all rights that are not in use, for a planned stop.
    pub(super) async fn return_all(&self, shared: &Shared) {
        let teams: Vec<_> = self.teams.borrow().values().cloned().collect();
        let returns = teams
            .iter()
            .map(|team| team.reconcile(shared, Goal::Return));
        futures_util::future::join_all(returns).await;
    }
}

impl Budgets {
    /// Leaves rights that could not be returned to other gateways, for a planned stop without the store.
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

/// Starts a task for each team as the configuration names it.
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
    // Routers that start together would all change the record at once; a request or a reclaim does not wait for this.
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
                CONFLICT_BACKOFF_MS * routers.count() * routers.pace()
            };
            let pause_ms = u64::from(shared.random()) % max_pause_ms;
            monoio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        if !team.is_store_responsive(shared.now_ms()) {
            team.request_from_peers(&shared);
        }
        monoio::time::sleep(MIN_POLL_INTERVAL).await;
        let turn_ms = team.reclaim_wait_ms(shared.now_ms()).unwrap_or(u64::MAX);
        let interval = Duration::from_millis(poll_interval_ms(&shared).min(turn_ms));
        let poll_requested = team
            .poll_requested
            .wait_for(|| team.is_poll_requested.get().then_some(()));
        // Both ends of the wait lead to the next look.
        let _ = monoio::time::timeout(interval, poll_requested).await;
    }
}

/// Returns the time between two looks, so that all routers together stay within what the store takes.
fn poll_interval_ms(shared: &Shared) -> u64 {
    let teams = shared.budgets.teams.borrow().len() as u64;
    let routers = shared.routers.borrow().count();
    POLL_INTERVAL_MS.max(teams * routers * 1_000 / POLLS_PER_S)
}
