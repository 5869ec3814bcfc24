//! The record of one team's budget in the store: reading it, changing it, and recovering it.

use std::time::Duration;

use prost::Message;

use super::team_budget::{Goal, Reclaim, ReconcileResult, TeamBudget};
use super::versions::{self, Announcement};
use crate::allowance::BudgetRecord;
use crate::gateway::Shared;
use crate::store::{AppendOutcome, Error, Feed, Record, Store, FIRST_EPOCH};

/// Number of slots over which the records of teams are spread.
const FEED_SLOTS: u64 = 48;

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Returns whether a record was planned in the present epoch of the store, so that no version of it is missing.
fn is_current(shared: &Shared, record: &BudgetRecord) -> bool {
    record.epoch == shared.store.epoch()
}

impl TeamBudget {
    /// Reads the record, plans the next one and writes it if it differs.
    pub(super) async fn reconcile(&self, shared: &Shared, goal: Goal) -> ReconcileResult {
        let Some((record, end)) = self.read(shared).await else {
            return ReconcileResult::Done;
        };
        if !is_current(shared, &record) {
            return self.recover(shared, record, end).await;
        }
        if let Some(reclaim) = self.pending_reclaim.get() {
            if shared.now_ms() >= reclaim.from_ms {
                return self.reclaim(shared, &record, end, reclaim).await;
            }
        }
        let role = self.role(shared);
        let planned = {
            let mut account = self.account.borrow_mut();
            account.decay_rate(shared.now_ms());
            let planned = match goal {
                Goal::Hold if !shared.journal.has_entry() => None,
                Goal::Hold => {
                    account.plan(&record, shared.router_id, self.prepaid_tokens.get(), role)
                }
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
    async fn reclaim(
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
        let held = record.grant_of(router);
        log::info!(
            step = "reclaim", team = self.name.as_str(), predecessor = router,
            reclaimed_tokens = record.granted_tokens.saturating_sub(planned.granted_tokens),
            granted_tokens = held.map_or(0, |grant| grant.granted_tokens),
            recorded_spent_tokens = held.map_or(0, |grant| grant.spent_tokens),
            entry_spent_tokens = reclaim.entry_spent_tokens,
            entry_reserved_tokens = reclaim.entry_reserved_tokens,
            limit_tokens = reclaim.limit_tokens, prepaid_tokens = self.prepaid_tokens.get(),
            outcome = format!("{result:?}").as_str(), at_ms = shared.now_ms();
            "reclaiming the rights of the previous process"
        );
        if matches!(result, Ok(AppendOutcome::Written)) {
            if is_current(shared, &planned) {
                self.knowledge.borrow_mut().learn(&planned);
                versions::announce(shared, self, &planned, false).await;
            }
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

    async fn read(&self, shared: &Shared) -> Option<(BudgetRecord, u64)> {
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
            // A store that has returned from an older copy may have forgotten the first version.
            None if shared.store.epoch() > FIRST_EPOCH => BudgetRecord::default(),
            None => BudgetRecord {
                epoch: shared.store.epoch(),
                ..BudgetRecord::default()
            },
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
        if !is_current(shared, &record) {
            // What an older copy shows as free may have been granted since.
            self.free_tokens.set(0);
            self.account.borrow_mut().forget_balance();
            let now_ms = shared.now_ms();
            let since_ms = self.outdated_since_ms.get().unwrap_or(now_ms);
            self.outdated_since_ms.set(Some(since_ms));
            return Some((record, snapshot.end));
        }
        self.outdated_since_ms.set(None);
        self.knowledge.borrow_mut().learn(&record);
        self.free_tokens
            .set(record.free_tokens(self.prepaid_tokens.get()));
        let mut account = self.account.borrow_mut();
        account.observe(&record, shared.router_id, self.prepaid_tokens.get());
        Some((record, snapshot.end))
    }

    /// Recovers the record after the store returned from an older copy. Only the holders do so; the others wait.
    async fn recover(&self, shared: &Shared, stored: BudgetRecord, end: u64) -> ReconcileResult {
        if self.role(shared).is_holder || self.has_waiting_requests() {
            versions::recover(shared, self, stored, end).await
        } else {
            ReconcileResult::Done
        }
    }

    /// Writes a planned record and waits until it is known whether the write took effect, and until another gateway
    /// knows what it grants.
    async fn write(&self, shared: &Shared, planned: &BudgetRecord, end: u64) -> bool {
        let value = bytes::Bytes::from(planned.encode_to_vec());
        let granted = planned.grant_of(shared.router_id);
        let is_grant = granted.is_some_and(|grant| {
            let account = self.account.borrow();
            grant.granted_tokens > account.granted_tokens()
        });
        let mut is_announced = false;
        loop {
            // A condition on the end of the feed counts only within the epoch in which the end was read.
            if is_current(shared, planned) {
                let record = Record {
                    key: self.name.clone(),
                    value: Some(value.clone()),
                };
                let result = shared.store.append(self.feed(), Some(end), record).await;
                if matches!(result, Ok(AppendOutcome::Written)) && is_current(shared, planned) {
                    self.knowledge.borrow_mut().learn(planned);
                    if self.is_safe_to_spend(shared, planned, is_grant).await {
                        self.finish(shared, true);
                        return true;
                    }
                    is_announced = true;
                }
                if let Err(error) = &result {
                    self.record_failure(shared, error);
                    monoio::time::sleep(RETRY_DELAY).await;
                }
            }
            let Some((current, current_end)) = self.read(shared).await else {
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            if !is_current(shared, &current) {
                // A write of before the return that takes effect now is replaced like the copy.
                self.recover(shared, current, current_end).await;
                monoio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let was_written = self.account.borrow().is_written(&current, shared.router_id);
            // Once another record follows the expected end, or a record of a later generation, no copy of this write can
            // take effect any more.
            if was_written || current_end > end || current.generation() > planned.generation() {
                // A version that the others know and the store still shows is not lost, even if a recovery has asked.
                if was_written
                    && !std::mem::replace(&mut is_announced, true)
                    && !self.is_safe_to_spend(shared, &current, is_grant).await
                {
                    continue;
                }
                self.finish(shared, was_written);
                return was_written;
            }
        }
    }

    /// Announces a version that has taken effect; returns whether the tokens that it grants can be spent.
    ///
    /// The response of the store may be read only after the store has returned and the others have recovered the record
    /// without this version, for example if this process was stopped in between.
    async fn is_safe_to_spend(
        &self,
        shared: &Shared,
        record: &BudgetRecord,
        is_grant: bool,
    ) -> bool {
        let announcement = versions::announce(shared, self, record, is_grant).await;
        let may_be_lost = self.knowledge.borrow().may_be_lost(record);
        announcement == Announcement::Known && !may_be_lost && is_current(shared, record)
    }

    fn finish(&self, shared: &Shared, was_written: bool) {
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

    fn record_failure(&self, shared: &Shared, error: &Error) {
        if self.failing_since_ms.get().is_none() {
            self.failing_since_ms.set(Some(shared.now_ms()));
            log::warn!(step = "budget", team = self.name.as_str(); "store lost: {error}");
        }
    }

    fn record_success(&self, shared: &Shared) {
        self.read_ms.set(shared.now_ms());
        if let Some(since_ms) = self.failing_since_ms.take() {
            let away_ms = shared.now_ms().saturating_sub(since_ms);
            log::info!(
                step = "budget", team = self.name.as_str(), away_ms = away_ms;
                "store is back"
            );
        }
    }
}
