//! Spending rights of one team: reservations, requests that wait for rights, and the record in the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use prost::Message;

use super::Reservation;
use crate::allowance::{BudgetRecord, ReserveError, TeamAccount};
use crate::gateway::Shared;
use crate::notify::Notify;
use crate::store::{AppendOutcome, Error, Feed, Record};

/// Number of slots over which the records of teams are spread.
const FEED_SLOTS: u64 = 48;

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest time for which a request waits for rights that the store can grant. Reading the record, changing it and
/// writing a journal entry take some 20 ms, and several gateways may have to take turns.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Longest time for which a request waits for rights that only other gateways hold; they respond within some
/// milliseconds.
const PEER_WAIT: Duration = Duration::from_millis(80);

/// Longest time for which a request waits until held rights become spendable as the journal entry ages.
const UNLOCK_WAIT_MS: u64 = 2_500;

/// Divisor of the remaining time of a request that also bounds this wait; the upstream needs the rest of the time.
const UNLOCK_DIVISOR: u64 = 2;

/// Margin for the intervals at which the age of the entry is applied.
const UNLOCK_MARGIN_MS: u64 = 120;

/// Time without a response from the store after which other gateways are asked for rights.
const OUTAGE_MS: u64 = 300;

/// Minimum time between two requests to other gateways for rights of one team.
const PEER_REQUEST_INTERVAL_MS: u64 = 60;

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
    /// Time since which a call has been waiting for a response of the store; `None` while none is.
    pub(super) call_pending_since_ms: Cell<Option<u64>>,
    /// Time since which calls have failed; `None` while they succeed.
    pub(super) failing_since_ms: Cell<Option<u64>>,
    /// Time at which the record was last read.
    pub(super) read_ms: Cell<u64>,
    /// Tokens that were granted to no gateway when the record was read.
    pub(super) free_tokens: Cell<u64>,
    /// Time of the last request to other gateways.
    pub(super) peers_asked_ms: Cell<u64>,
    /// Rights of the predecessor that are still to be reclaimed.
    pub(super) pending_reclaim: Cell<Option<Reclaim>>,
}

/// Rights of one team that the predecessor, the previous process on this VM, left.
#[derive(Clone, Copy)]
pub(super) struct Reclaim {
    /// Id of the predecessor.
    pub(super) router: u64,
    /// Upper bound of what it can have used.
    pub(super) limit_tokens: u64,
    /// Start of this gateway's next turn.
    pub(super) from_ms: u64,
    /// Length of a round, in which every gateway has one turn.
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

impl TeamBudget {
    /// Asks other gateways for rights, at most once in [`PEER_REQUEST_INTERVAL_MS`].
    pub(super) fn request_from_peers(&self, shared: &Shared) {
        let now_ms = shared.now_ms();
        let shortfall = self.account.borrow().shortfall_tokens();
        if shortfall == 0
            || now_ms.saturating_sub(self.peers_asked_ms.get()) < PEER_REQUEST_INTERVAL_MS
        {
            return;
        }
        self.peers_asked_ms.set(now_ms);
        shared
            .peer_socket
            .request_rights(shared, &self.name, shortfall);
    }

    /// Requests a journal entry if waiting requests need a higher spending limit.
    pub(super) fn wake_journal(&self, shared: &Shared) {
        if self.account.borrow().needs_entry() {
            shared.journal.wake();
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

    /// Returns whether the store is responsive: no call has been waiting for a response for [`OUTAGE_MS`].
    pub(super) fn is_store_responsive(&self, now_ms: u64) -> bool {
        let pending_since = self.call_pending_since_ms.get();
        pending_since.is_none_or(|since_ms| now_ms.saturating_sub(since_ms) < OUTAGE_MS)
    }

    pub(super) fn try_reserve(
        self: &Rc<Self>,
        tokens: u64,
        now_ms: u64,
    ) -> Result<Reservation, ReserveError> {
        let mut account = self.account.borrow_mut();
        account.reserve(tokens, now_ms)?;
        if account.available_tokens() < tokens {
            self.request_poll();
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
        remaining_ms: u64,
    ) -> Result<Reservation, ReserveError> {
        self.account.borrow_mut().add_demand(tokens);
        if self.account.borrow().available_tokens() < tokens {
            self.request_poll();
        }
        self.wake_journal(shared);
        let is_store_available =
            self.is_store_responsive(shared.now_ms()) && self.free_tokens.get() >= tokens;
        let wait_limit = if is_store_available {
            STORE_WAIT
        } else {
            self.request_from_peers(shared);
            PEER_WAIT
        };
        let unlock_wait = self.account.borrow().unlock_wait_ms(tokens);
        let unlock_wait = unlock_wait
            .map(|wait_ms| wait_ms + UNLOCK_MARGIN_MS)
            .filter(|wait_ms| *wait_ms <= UNLOCK_WAIT_MS.min(remaining_ms / UNLOCK_DIVISOR));
        let wait_limit = wait_limit.max(Duration::from_millis(unlock_wait.unwrap_or(0)));
        let mut last = ReserveError::NotHeld;
        let wait =
            self.rights_changed
                .wait_for(|| match self.try_reserve(tokens, shared.now_ms()) {
                    Ok(reservation) => Some(Ok(reservation)),
                    Err(ReserveError::Exhausted) => Some(Err(ReserveError::Exhausted)),
                    Err(shortage) => {
                        last = shortage;
                        None
                    }
                });
        let result = monoio::time::timeout(wait_limit, wait).await;
        self.account.borrow_mut().remove_demand(tokens);
        result.unwrap_or(Err(last))
    }

    /// Reads the record, plans the next one and writes it if it differs.
    pub(super) async fn reconcile(&self, shared: &Shared, goal: Goal) -> ReconcileResult {
        let Some((record, end)) = self.read(shared).await else {
            return ReconcileResult::Done;
        };
        if let Some(reclaim) = self.pending_reclaim.get() {
            if shared.now_ms() >= reclaim.from_ms {
                return self.reclaim(shared, &record, end, reclaim).await;
            }
        }
        let routers = shared.routers.borrow().count();
        let planned = {
            let mut account = self.account.borrow_mut();
            account.decay_rate(shared.now_ms());
            let planned = match goal {
                Goal::Hold if !shared.journal.has_entry() => None,
                Goal::Hold => account.plan(
                    &record,
                    shared.router_id,
                    self.prepaid_tokens.get(),
                    routers,
                ),
                Goal::Return => account.plan_return(&record, shared.router_id),
            };
            if let Some(planned) = &planned {
                account.begin_write(planned, shared.router_id);
            }
            planned
        };
        let was_written = match planned {
            Some(planned) => self.write(shared, &planned, end).await,
            None => true,
        };
        self.wake_journal(shared);
        self.rights_changed.notify();
        if was_written {
            ReconcileResult::Done
        } else {
            ReconcileResult::Conflict
        }
    }

    /// Reclaims the rights that the predecessor left.
    ///
    /// A write whose response is lost is planned again from the newest record; once that no longer contains the rights,
    /// nothing is left to reclaim.
    pub(super) async fn reclaim(
        &self,
        shared: &Shared,
        record: &BudgetRecord,
        end: u64,
        reclaim: Reclaim,
    ) -> ReconcileResult {
        let router = reclaim.router;
        let Some(planned) = record.reclaim(router, reclaim.limit_tokens) else {
            self.pending_reclaim.set(None);
            return ReconcileResult::Conflict;
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
            "reclaiming the rights of the previous process"
        );
        if matches!(result, Ok(AppendOutcome::Written)) {
            return ReconcileResult::Conflict;
        }
        // Another gateway's write took effect first or the store is overloaded; an immediate retry would add to its
        // load.
        let wait_ms = u64::from(shared.random()) % reclaim.round_ms;
        self.pending_reclaim.set(Some(Reclaim {
            from_ms: shared.now_ms() + wait_ms,
            ..reclaim
        }));
        ReconcileResult::Done
    }

    pub(super) async fn read(&self, shared: &Shared) -> Option<(BudgetRecord, u64)> {
        self.record_call(shared);
        let result = shared.store.snapshot(self.feed()).await;
        let snapshot = match result {
            Ok(snapshot) => snapshot,
            Err(error) => {
                self.record_failure(shared, &error);
                return None;
            }
        };
        let newest = snapshot
            .records
            .into_iter()
            .find(|record| record.key == self.name);
        let record = match newest.and_then(|record| record.value) {
            None => BudgetRecord::default(),
            Some(value) => match BudgetRecord::decode(value) {
                Ok(record) => record,
                Err(error) => {
                    log::error!(
                        step = "read budget", team = self.name.as_str();
                        "invalid record: {error}"
                    );
                    return None;
                }
            },
        };
        self.record_success(shared);
        self.free_tokens
            .set(record.free_tokens(self.prepaid_tokens.get()));
        let mut account = self.account.borrow_mut();
        account.observe(&record, shared.router_id, self.prepaid_tokens.get());
        Some((record, snapshot.end))
    }

    /// Writes a planned record and waits until it is known whether the write took effect.
    pub(super) async fn write(&self, shared: &Shared, planned: &BudgetRecord, end: u64) -> bool {
        let value = bytes::Bytes::from(planned.encode_to_vec());
        loop {
            let record = Record {
                key: self.name.clone(),
                value: Some(value.clone()),
            };
            self.record_call(shared);
            let result = shared.store.append(self.feed(), Some(end), record).await;
            if result.is_ok() {
                self.call_pending_since_ms.set(None);
            }
            if matches!(result, Ok(AppendOutcome::Written)) {
                self.finish(shared, true);
                return true;
            }
            if let Err(error) = &result {
                self.record_failure(shared, error);
                monoio::time::sleep(RETRY_DELAY).await;
            }
            let Some((current, current_end)) = self.read(shared).await else {
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            let was_written = self.account.borrow().is_written(&current, shared.router_id);
            // Once another record follows the expected end, no copy of this write can take effect any more.
            if was_written || current_end > end {
                self.finish(shared, was_written);
                return was_written;
            }
        }
    }

    pub(super) fn finish(&self, shared: &Shared, was_written: bool) {
        let mut account = self.account.borrow_mut();
        account.finish_write(was_written);
        log::info!(
            step = "budget", team = self.name.as_str(), written = was_written,
            granted_tokens = account.granted_tokens(), spent_tokens = account.spent_tokens(),
            available_tokens = account.available_tokens(),
            prepaid_tokens = self.prepaid_tokens.get(),
            at_ms = shared.now_ms(); "rights changed"
        );
    }

    pub(super) fn feed(&self) -> Feed {
        let hash = xxhash_rust::xxh3::xxh3_64(self.name.as_bytes());
        Feed::Budgets((hash % FEED_SLOTS) as u16)
    }

    pub(super) fn record_call(&self, shared: &Shared) {
        if self.call_pending_since_ms.get().is_none() {
            self.call_pending_since_ms.set(Some(shared.now_ms()));
        }
    }

    pub(super) fn record_failure(&self, shared: &Shared, error: &Error) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(shared.now_ms()));
            log::warn!(step = "budget", team = self.name.as_str(); "store lost: {error}");
        }
    }

    pub(super) fn record_success(&self, shared: &Shared) {
        self.read_ms.set(shared.now_ms());
        self.call_pending_since_ms.set(None);
        if let Some(since_ms) = self.failing_since_ms.take() {
            let away_ms = shared.now_ms().saturating_sub(since_ms);
            log::info!(
                step = "budget", team = self.name.as_str(), away_ms = away_ms;
                "store is back"
            );
        }
    }
}
