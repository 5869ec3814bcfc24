//! Rights of one team: requests that wait for them, and the record in the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use prost::Message;

use super::Reservation;
use crate::allowance::{Account, Shortage, TeamRecord};
use crate::gateway::Shared;
use crate::notify::Notify;
use crate::store::{AppendOutcome, Error, Feed, Record};

/// Slots over which teams are spread.
const SLOTS: u64 = 48;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest time for which a request waits for rights that the store has; a look at the record, its change and an entry of
/// the journal take some 20 ms, and several gateways may have to take turns.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for rights that only other gateways have; they answer within some milliseconds.
const PEER_WAIT: Duration = Duration::from_millis(80);

/// Longest time for which a request waits until held rights become spendable as the journal entry grows old, and the
/// least part of its time that it may wait; afterwards its upstream needs the rest.
const UNLOCK_WAIT_MS: u64 = 2_500;
const UNLOCK_PART: u64 = 2;

/// Margin for the intervals at which the age is applied.
const UNLOCK_MARGIN_MS: u64 = 120;

/// Time without an answer of the store after which other gateways are asked for rights.
const OUTAGE_MS: u64 = 300;

/// Shortest time between two questions to other gateways for rights of one team.
const ASK_PAUSE_MS: u64 = 60;

/// Rights of one team.
pub(super) struct TeamBudget {
    pub(super) name: CompactString,
    pub(super) prepaid_tokens: Cell<u64>,
    pub(super) account: RefCell<Account>,
    /// A request needs more rights than are held.
    pub(super) needed: Notify,
    pub(super) is_needed: Cell<bool>,
    /// Rights may have come.
    pub(super) changed: Notify,
    /// Since when the store owes an answer; `None` while it owes none.
    pub(super) waiting_since_ms: Cell<Option<u64>>,
    /// Since when calls have failed; `None` while they succeed.
    pub(super) failing_since_ms: Cell<Option<u64>>,
    pub(super) read_ms: Cell<u64>,
    /// Tokens that no gateway held when the record was read.
    pub(super) free_tokens: Cell<u64>,
    /// Time of the last question to other gateways.
    pub(super) asked_ms: Cell<u64>,
    /// Rights of the process before that are still to be taken back.
    pub(super) predecessor: Cell<Option<Reclaim>>,
}

/// Rights of one team that the process before this one left.
#[derive(Clone, Copy)]
pub(super) struct Reclaim {
    /// Process that ran on this VM before.
    pub(super) router: u64,
    /// The most that it can have used.
    pub(super) limit_tokens: u64,
    /// Time of this gateway's turn.
    pub(super) from_ms: u64,
    /// Time in which every gateway has one turn.
    pub(super) round_ms: u64,
}

/// What a cycle aims at.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Goal {
    /// Hold as many rights as will be needed.
    Hold,
    /// Hold only what open requests reserve.
    Return,
}

/// Result of one look at a record.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Cycle {
    /// The rights are as planned, or the store did not answer.
    Done,
    /// Another router's change came first.
    Conflict,
}

impl TeamBudget {
    /// Asks other gateways for rights, at most once in [`ASK_PAUSE_MS`].
    pub(super) fn ask_peers(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let shortfall = self.account.borrow().shortfall_tokens();
        if shortfall == 0 || now_ms.saturating_sub(self.asked_ms.get()) < ASK_PAUSE_MS {
            return;
        }
        self.asked_ms.set(now_ms);
        shared.peer_socket.ask(shared, &self.name, shortfall);
    }

    /// Asks for a journal entry if requests need a higher mark.
    pub(super) fn wake_journal(&self, shared: &Shared) {
        if self.account.borrow().needs_mark() {
            shared.journal.wake();
        }
    }

    /// Returns whether a change of the record cannot wait for the next regular look.
    pub(super) fn is_urgent(&self) -> bool {
        self.account.borrow().wanted_tokens() > 0
    }

    /// Returns the time until this gateway's turn to take rights back, if there are any.
    pub(super) fn reclaim_wait_ms(&self, now_ms: u64) -> Option<u64> {
        let reclaim = self.predecessor.get()?;
        Some(reclaim.from_ms.saturating_sub(now_ms))
    }

    pub(super) fn wake(&self) {
        self.is_needed.set(true);
        self.needed.notify();
    }

    /// Returns whether the store may answer soon.
    pub(super) fn can_ask(&self, now_ms: u64) -> bool {
        let waiting_since = self.waiting_since_ms.get();
        waiting_since.is_none_or(|since_ms| now_ms.saturating_sub(since_ms) < OUTAGE_MS)
    }

    pub(super) fn try_reserve(
        self: &Rc<Self>,
        tokens: u64,
        now_ms: u64,
    ) -> Result<Reservation, Shortage> {
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

    pub(super) async fn wait_for_rights(
        self: &Rc<Self>,
        shared: &Shared,
        tokens: u64,
        left_ms: u64,
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
        let unlock = self.account.borrow().unlock_wait_ms(tokens);
        let unlock = unlock
            .map(|wait_ms| wait_ms + UNLOCK_MARGIN_MS)
            .filter(|wait_ms| *wait_ms <= UNLOCK_WAIT_MS.min(left_ms / UNLOCK_PART));
        let limit = limit.max(Duration::from_millis(unlock.unwrap_or(0)));
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
    pub(super) async fn cycle(&self, shared: &Shared, goal: Goal) -> Cycle {
        let Some((record, end)) = self.read(shared).await else {
            return Cycle::Done;
        };
        if let Some(reclaim) = self.predecessor.get() {
            if shared.now_ms() >= reclaim.from_ms {
                return self.reclaim(shared, &record, end, reclaim).await;
            }
        }
        let routers = shared.routers.borrow().count();
        let planned = {
            let mut account = self.account.borrow_mut();
            account.decay_rate(shared.now_ms());
            let planned = match goal {
                Goal::Hold if !shared.journal.is_open() => None,
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
    pub(super) async fn reclaim(
        &self,
        shared: &Shared,
        record: &TeamRecord,
        end: u64,
        reclaim: Reclaim,
    ) -> Cycle {
        let router = reclaim.router;
        let Some(planned) = record.reclaim(router, reclaim.limit_tokens) else {
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
        if matches!(result, Ok(AppendOutcome::Written)) {
            return Cycle::Conflict;
        }
        // Another gateway's change came first or the store is busy; repeating at once would keep it busy.
        let wait_ms = u64::from(shared.random()) % reclaim.round_ms;
        self.predecessor.set(Some(Reclaim {
            from_ms: shared.now_ms() + wait_ms,
            ..reclaim
        }));
        Cycle::Done
    }

    pub(super) async fn read(&self, shared: &Shared) -> Option<(TeamRecord, u64)> {
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
    pub(super) async fn write(&self, shared: &Shared, planned: &TeamRecord, end: u64) -> bool {
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
            if matches!(result, Ok(AppendOutcome::Written)) {
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

    pub(super) fn finish(&self, shared: &Shared, was_written: bool) {
        let mut account = self.account.borrow_mut();
        account.finish(was_written);
        log::info!(
            step = "budget", team = self.name.as_str(), written = was_written,
            granted_tokens = account.granted_tokens(), spent_tokens = account.spent_tokens(),
            available_tokens = account.available_tokens(), prepaid_tokens = self.prepaid_tokens.get(),
            at_ms = shared.now_ms(); "rights changed"
        );
    }

    pub(super) fn feed(&self) -> Feed {
        let hash = xxhash_rust::xxh3::xxh3_64(self.name.as_bytes());
        Feed::Budgets((hash % SLOTS) as u16)
    }

    pub(super) fn note_call(&self, shared: &Shared) {
        if self.waiting_since_ms.get().is_none() {
            self.waiting_since_ms.set(Some(shared.now_ms()));
        }
    }

    pub(super) fn note_failure(&self, shared: &Shared, error: &Error) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(shared.now_ms()));
            log::warn!(step = "budget", team = self.name.as_str(); "store lost: {error}");
        }
    }

    pub(super) fn note_success(&self, shared: &Shared) {
        self.read_ms.set(shared.now_ms());
        self.waiting_since_ms.set(None);
        if let Some(since_ms) = self.failing_since_ms.take() {
            let away_ms = shared.now_ms().saturating_sub(since_ms);
            log::info!(step = "budget", team = self.name.as_str(), away_ms = away_ms; "store is back");
        }
    }
}
