//! Keeps spending rights of every team at hand.
//!
//! One task for each team reads the team's record, plans the next one with [`crate::allowance`] and writes it under the
//! condition that nothing was written in between. If an answer is lost the task reads until it knows whether the write
//! took effect, and repeats the same write while that is open: only one of the copies can meet the condition.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use prost::Message;

use super::Shared;
use crate::allowance::{Account, Mark, Shortage, TeamRecord};
use crate::collections::FastMap;
use crate::notify::Notify;
use crate::routing::Table;
use crate::store::{Appended, Error, Feed, Record};

/// Slots over which teams are spread.
const SLOTS: u64 = 48;

/// Interval between two looks at a team's record, with few routers and teams.
const INTERVAL_MS: u64 = 1_000;

/// Looks at records in one second over all routers and teams; beyond, the interval grows.
const LOOKS_PER_S: u64 = 200;

/// Shortest time between two looks, so that a team in need does not flood the store.
const MIN_INTERVAL: Duration = Duration::from_millis(30);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest time for which a request waits for rights that the store has; a look at the record, its change and an entry of
/// the journal take some 20 ms, and several gateways may have to take turns.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for rights that only other gateways have; they answer within some milliseconds.
const PEER_WAIT: Duration = Duration::from_millis(80);

/// Looks in a row after another router's change came first.
const MAX_CONFLICTS: u32 = 6;

/// Pause after a conflict, spread at random so that the routers do not meet again.
const CONFLICT_PAUSE_MS: u32 = 12;

/// Time after which rights that other gateways hold may be back.
const HELD_RETRY_AFTER_MS: u64 = 700;

/// Time after which a store that does not answer may be back; its outages last some seconds.
const OUTAGE_RETRY_AFTER_MS: u64 = 4_000;

/// Time after which a budget that is handed out whole may have been topped up.
const HANDED_OUT_RETRY_AFTER_MS: u64 = 30_000;

/// Time without an answer of the store after which other gateways are asked for rights.
const OUTAGE_MS: u64 = 300;

/// Shortest time between two questions to other gateways for rights of one team.
const ASK_PAUSE_MS: u64 = 60;

/// Rights of one team.
struct TeamFunds {
    name: CompactString,
    prepaid_tokens: Cell<u64>,
    account: RefCell<Account>,
    /// A request needs more rights than are held.
    needed: Notify,
    is_needed: Cell<bool>,
    /// Rights may have come.
    changed: Notify,
    /// Since when the store owes an answer; `None` while it owes none.
    waiting_since_ms: Cell<Option<u64>>,
    /// Since when calls have failed; `None` while they succeed.
    failing_since_ms: Cell<Option<u64>>,
    read_ms: Cell<u64>,
    /// Tokens that no gateway held when the record was read.
    free_tokens: Cell<u64>,
    /// Time of the last question to other gateways.
    asked_ms: Cell<u64>,
    /// Process that ran on this VM before and its mark, while its rights can be taken back.
    predecessor: Cell<Option<(u64, u64)>>,
}

/// Rights of all teams that have a budget.
#[derive(Default)]
pub(super) struct Funds {
    teams: RefCell<FastMap<CompactString, Rc<TeamFunds>>>,
    added: Notify,
    unstarted: RefCell<Vec<Rc<TeamFunds>>>,
    /// Process that ran on this VM before, with its marks.
    predecessor: RefCell<Option<(u64, Vec<Mark>)>>,
}

/// Rights that one request holds until it is settled; what is not charged becomes available at the end.
pub(super) struct Reservation {
    team: Rc<TeamFunds>,
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
        self.team.changed.notify();
    }
}

impl Funds {
    /// Takes over the budgets of a configuration.
    pub(super) fn configure(&self, table: &Table) {
        let mut teams = self.teams.borrow_mut();
        for team in table.teams() {
            let Some(prepaid_tokens) = team.prepaid_tokens else {
                continue;
            };
            if let Some(known) = teams.get(&team.name) {
                let before = known.prepaid_tokens.replace(prepaid_tokens);
                if before != prepaid_tokens {
                    known.wake();
                }
                continue;
            }
            let funds = Rc::new(TeamFunds {
                name: team.name.clone(),
                prepaid_tokens: Cell::new(prepaid_tokens),
                account: RefCell::default(),
                needed: Notify::default(),
                is_needed: Cell::new(false),
                changed: Notify::default(),
                waiting_since_ms: Cell::new(None),
                failing_since_ms: Cell::new(None),
                read_ms: Cell::new(0),
                free_tokens: Cell::new(prepaid_tokens),
                asked_ms: Cell::new(0),
                predecessor: Cell::new(self.predecessor_of(&team.name)),
            });
            teams.insert(team.name.clone(), Rc::clone(&funds));
            self.unstarted.borrow_mut().push(funds);
        }
        self.added.notify();
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
    ) -> Result<Option<Reservation>, Shortage> {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return Ok(None);
        };
        match team.try_reserve(tokens, shared.now_ms()) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(Shortage::NotHeld) => team.wait_for_rights(shared, tokens).await.map(Some),
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
        let has_store = team.can_ask(shared.now_ms()) && team.free_tokens.get() > 0;
        let part_millis = if has_store { 1_000 } else { 500 };
        let given = team.account.borrow_mut().give(asked_tokens, part_millis);
        if given < asked_tokens || has_store {
            team.wake();
        }
        team.wake_journal(shared);
        log::info!(
            step = "give", team = team.name.as_str(), asked_tokens = asked_tokens,
            given_tokens = given, at_ms = shared.now_ms(); "rights given to another gateway"
        );
        given
    }

    /// Takes rights that another gateway gave.
    pub(super) fn receive(&self, shared: &Shared, team: &str, tokens: u64) {
        let Some(team) = self.teams.borrow().get(team).cloned() else {
            return;
        };
        team.account.borrow_mut().receive(tokens);
        team.wake_journal(shared);
        team.changed.notify();
        log::info!(
            step = "receive", team = team.name.as_str(), tokens = tokens,
            at_ms = shared.now_ms(); "rights received from another gateway"
        );
    }

    /// Returns the marks that the next journal entry should show.
    pub(super) fn next_marks(&self) -> Vec<Mark> {
        let teams = self.teams.borrow();
        let marks = teams.values().map(|team| {
            let mut account = team.account.borrow_mut();
            let open_tokens = account.next_mark();
            account.lower_mark(open_tokens);
            Mark {
                team: team.name.to_string(),
                open_tokens,
            }
        });
        marks.filter(|mark| mark.open_tokens > 0).collect()
    }

    /// Applies the marks of a journal entry that has taken effect.
    pub(super) fn open_marks(&self, marks: &[Mark]) {
        let teams = self.teams.borrow();
        for mark in marks {
            if let Some(team) = teams.get(mark.team.as_str()) {
                team.account.borrow_mut().open(mark.open_tokens);
                team.changed.notify();
            }
        }
    }

    /// Sets whether the store has been away for so long that marks no longer bind.
    pub(super) fn set_cut_off(&self, is_cut_off: bool) {
        for team in self.teams.borrow().values() {
            team.account.borrow_mut().set_cut_off(is_cut_off);
            team.changed.notify();
        }
    }

    /// Takes back the rights of the process that ran on this VM before, beyond its marks.
    pub(super) fn reclaim(&self, router: u64, marks: &[Mark]) {
        *self.predecessor.borrow_mut() = Some((router, marks.to_vec()));
        for team in self.teams.borrow().values() {
            team.predecessor.set(self.predecessor_of(&team.name));
            team.wake();
        }
    }

    fn predecessor_of(&self, team: &str) -> Option<(u64, u64)> {
        let predecessor = self.predecessor.borrow();
        let (router, marks) = predecessor.as_ref()?;
        let mark = marks.iter().find(|mark| mark.team == team);
        Some((*router, mark.map_or(0, |mark| mark.open_tokens)))
    }

    /// Returns when a request that found too few rights may find them.
    pub(super) fn retry_after_ms(&self, team: &str, now_ms: u64) -> u64 {
        match self.teams.borrow().get(team) {
            Some(team) if !team.can_ask(now_ms) => OUTAGE_RETRY_AFTER_MS,
            Some(team) if team.free_tokens.get() == 0 => HANDED_OUT_RETRY_AFTER_MS,
            _ => HELD_RETRY_AFTER_MS,
        }
    }

    /// Returns the figures of a team for the log: rights handed out, charged and available, age of the record.
    pub(super) fn figures(&self, team: &str, now_ms: u64) -> Option<(u64, u64, u64, u64)> {
        let teams = self.teams.borrow();
        let team = teams.get(team)?;
        let account = team.account.borrow();
        Some((
            account.granted_tokens(),
            account.spent_tokens(),
            account.available_tokens(),
            now_ms.saturating_sub(team.read_ms.get()),
        ))
    }

    /// Returns all rights that are not in use, for a planned stop.
    pub(super) async fn return_all(&self, shared: &Shared) {
        let teams: Vec<_> = self.teams.borrow().values().cloned().collect();
        let returns = teams.iter().map(|team| team.cycle(shared, Goal::Return));
        futures_util::future::join_all(returns).await;
    }
}

impl Funds {
    /// Leaves rights that could not be returned to other gateways, for a planned stop without the store.
    pub(super) fn leave_all(&self, shared: &Shared) {
        for team in self.teams.borrow().values() {
            let tokens = team.account.borrow_mut().give(u64::MAX, 1_000);
            if tokens > 0 {
                shared.notices.leave(shared, &team.name, tokens);
            }
        }
    }
}

/// What a cycle aims at.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Goal {
    /// Hold as many rights as will be needed.
    Hold,
    /// Hold only what open requests reserve.
    Return,
}

/// Result of one look at a record.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cycle {
    /// The rights are as planned, or the store did not answer.
    Done,
    /// Another router's change came first.
    Conflict,
}

/// Starts a task for each team as the configuration names it.
pub(super) async fn run(shared: Rc<Shared>) {
    loop {
        let funds = &shared.funds;
        let unstarted = funds.added.wait_for(|| {
            let teams = std::mem::take(&mut *funds.unstarted.borrow_mut());
            (!teams.is_empty()).then_some(teams)
        });
        for team in unstarted.await {
            monoio::spawn(keep(Rc::clone(&shared), team));
        }
    }
}

async fn keep(shared: Rc<Shared>, team: Rc<TeamFunds>) {
    while !shared.is_stopping() {
        team.is_needed.set(false);
        for _ in 0..MAX_CONFLICTS {
            if team.cycle(&shared, Goal::Hold).await != Cycle::Conflict {
                break;
            }
            let pause_ms = shared.random() % CONFLICT_PAUSE_MS;
            monoio::time::sleep(Duration::from_millis(u64::from(pause_ms))).await;
        }
        if !team.can_ask(shared.now_ms()) {
            team.ask_peers(&shared);
        }
        monoio::time::sleep(MIN_INTERVAL).await;
        let interval = Duration::from_millis(interval_ms(&shared));
        let needed = team.needed.wait_for(|| team.is_needed.get().then_some(()));
        // Both ends of the wait lead to the next look.
        let _ = monoio::time::timeout(interval, needed).await;
    }
}

/// Returns the time between two looks, so that all routers together stay within what the store takes.
fn interval_ms(shared: &Shared) -> u64 {
    let teams = shared.funds.teams.borrow().len() as u64;
    let routers = shared.routers.borrow().count();
    INTERVAL_MS.max(teams * routers * 1_000 / LOOKS_PER_S)
}

impl TeamFunds {
    /// Asks other gateways for rights, at most once in [`ASK_PAUSE_MS`].
    fn ask_peers(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let shortfall = self.account.borrow().shortfall_tokens();
        if shortfall == 0 || now_ms.saturating_sub(self.asked_ms.get()) < ASK_PAUSE_MS {
            return;
        }
        self.asked_ms.set(now_ms);
        shared.notices.ask(shared, &self.name, shortfall);
    }

    /// Asks for a journal entry if requests need a higher mark.
    fn wake_journal(&self, shared: &Shared) {
        if self.account.borrow().needs_mark() {
            shared.journal.wake();
        }
    }

    fn wake(&self) {
        self.is_needed.set(true);
        self.needed.notify();
    }

    /// Returns whether the store may answer soon.
    fn can_ask(&self, now_ms: u64) -> bool {
        let waiting_since = self.waiting_since_ms.get();
        waiting_since.is_none_or(|since_ms| now_ms.saturating_sub(since_ms) < OUTAGE_MS)
    }

    fn try_reserve(self: &Rc<Self>, tokens: u64, now_ms: u64) -> Result<Reservation, Shortage> {
        let mut account = self.account.borrow_mut();
        account.reserve(tokens, now_ms)?;
        if account.available_tokens() < tokens {
            self.wake();
        }
        drop(account);
        Ok(Reservation {
            team: Rc::clone(self),
            tokens,
            charge_tokens: Cell::new(0),
        })
    }

    async fn wait_for_rights(
        self: &Rc<Self>,
        shared: &Shared,
        tokens: u64,
    ) -> Result<Reservation, Shortage> {
        self.account.borrow_mut().want(tokens);
        if self.account.borrow().available_tokens() < tokens {
            self.wake();
        }
        self.wake_journal(shared);
        let has_store = self.can_ask(shared.now_ms()) && self.free_tokens.get() >= tokens;
        let limit = if has_store {
            STORE_WAIT
        } else {
            self.ask_peers(shared);
            PEER_WAIT
        };
        let mut last = Shortage::NotHeld;
        let wait = self
            .changed
            .wait_for(|| match self.try_reserve(tokens, shared.now_ms()) {
                Ok(reservation) => Some(Ok(reservation)),
                Err(Shortage::Exhausted) => Some(Err(Shortage::Exhausted)),
                Err(shortage) => {
                    last = shortage;
                    None
                }
            });
        let result = monoio::time::timeout(limit, wait).await;
        self.account.borrow_mut().unwant(tokens);
        result.unwrap_or(Err(last))
    }

    /// Looks at the record and changes it if needed.
    async fn cycle(&self, shared: &Shared, goal: Goal) -> Cycle {
        let Some((record, end)) = self.read(shared).await else {
            return Cycle::Done;
        };
        if let Some((router, open_tokens)) = self.predecessor.get() {
            return self
                .reclaim(shared, &record, end, router, open_tokens)
                .await;
        }
        let routers = shared.routers.borrow().count();
        let planned = {
            let mut account = self.account.borrow_mut();
            account.decay_rate(shared.now_ms());
            let planned = match goal {
                Goal::Hold => {
                    account.plan(&record, shared.router, self.prepaid_tokens.get(), routers)
                }
                Goal::Return => account.plan_return(&record, shared.router),
            };
            if let Some(planned) = &planned {
                account.begin(planned, shared.router);
            }
            planned
        };
        let was_written = match planned {
            Some(planned) => self.write(shared, &planned, end).await,
            None => true,
        };
        self.wake_journal(shared);
        self.changed.notify();
        if was_written {
            Cycle::Done
        } else {
            Cycle::Conflict
        }
    }

    /// Takes back the rights of the process that ran here before.
    ///
    /// A write whose answer is lost is planned again from the next record: once the rights are gone from it, there is
    /// nothing left to plan.
    async fn reclaim(
        &self,
        shared: &Shared,
        record: &TeamRecord,
        end: u64,
        router: u64,
        open_tokens: u64,
    ) -> Cycle {
        let Some(planned) = record.reclaim(router, open_tokens) else {
            self.predecessor.set(None);
            return Cycle::Conflict;
        };
        let append = Record {
            key: self.name.clone(),
            value: Some(planned.encode_to_vec().into()),
        };
        let result = shared.store.append(self.feed(), Some(end), append).await;
        log::info!(
            step = "reclaim", team = self.name.as_str(), predecessor = router,
            reclaimed_tokens = record.granted_tokens.saturating_sub(planned.granted_tokens),
            outcome = format!("{result:?}").as_str(), at_ms = shared.now_ms();
            "taking back the rights of the process before"
        );
        Cycle::Conflict
    }

    async fn read(&self, shared: &Shared) -> Option<(TeamRecord, u64)> {
        self.note_call(shared);
        let result = shared.store.snapshot(self.feed()).await;
        let snapshot = match result {
            Ok(snapshot) => snapshot,
            Err(error) => {
                self.note_failure(shared, &error);
                return None;
            }
        };
        let newest = snapshot
            .records
            .into_iter()
            .find(|record| record.key == self.name);
        let record = match newest.and_then(|record| record.value) {
            None => TeamRecord::default(),
            Some(value) => match TeamRecord::decode(value) {
                Ok(record) => record,
                Err(error) => {
                    log::error!(step = "read budget", team = self.name.as_str(); "{error}");
                    return None;
                }
            },
        };
        self.note_success(shared);
        self.free_tokens
            .set(record.free_tokens(self.prepaid_tokens.get()));
        let mut account = self.account.borrow_mut();
        account.observe(&record, shared.router, self.prepaid_tokens.get());
        Some((record, snapshot.end))
    }

    /// Writes a planned record and waits until it is known whether it took effect.
    async fn write(&self, shared: &Shared, planned: &TeamRecord, end: u64) -> bool {
        let value = bytes::Bytes::from(planned.encode_to_vec());
        loop {
            let record = Record {
                key: self.name.clone(),
                value: Some(value.clone()),
            };
            self.note_call(shared);
            let result = shared.store.append(self.feed(), Some(end), record).await;
            if result.is_ok() {
                self.waiting_since_ms.set(None);
            }
            if matches!(result, Ok(Appended::Written)) {
                self.finish(shared, true);
                return true;
            }
            if let Err(error) = &result {
                self.note_failure(shared, error);
                monoio::time::sleep(RETRY_PAUSE).await;
            }
            let Some((current, current_end)) = self.read(shared).await else {
                monoio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let was_written = self.account.borrow().is_written(&current, shared.router);
            // Once something else follows the expected end, no copy of the write can take effect any more.
            if was_written || current_end > end {
                self.finish(shared, was_written);
                return was_written;
            }
        }
    }

    fn finish(&self, shared: &Shared, was_written: bool) {
        let mut account = self.account.borrow_mut();
        account.finish(was_written);
        log::info!(
            step = "budget", team = self.name.as_str(), written = was_written,
            granted_tokens = account.granted_tokens(), spent_tokens = account.spent_tokens(),
            available_tokens = account.available_tokens(), prepaid_tokens = self.prepaid_tokens.get(),
            at_ms = shared.now_ms(); "rights changed"
        );
    }

    fn feed(&self) -> Feed {
        let hash = xxhash_rust::xxh3::xxh3_64(self.name.as_bytes());
        Feed::Budgets((hash % SLOTS) as u16)
    }

    fn note_call(&self, shared: &Shared) {
        if self.waiting_since_ms.get().is_none() {
            self.waiting_since_ms.set(Some(shared.now_ms()));
        }
    }

    fn note_failure(&self, shared: &Shared, error: &Error) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(shared.now_ms()));
            log::warn!(step = "budget", team = self.name.as_str(); "store lost: {error}");
        }
    }

    fn note_success(&self, shared: &Shared) {
        self.read_ms.set(shared.now_ms());
        self.waiting_since_ms.set(None);
        if let Some(since_ms) = self.failing_since_ms.take() {
            let away_ms = shared.now_ms().saturating_sub(since_ms);
            log::info!(step = "budget", team = self.name.as_str(), away_ms = away_ms; "store is back");
        }
    }
}
