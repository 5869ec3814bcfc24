//! Tokens that one router may spend from a team's prepaid budget, and how it obtains and returns them.
//!
//! The store keeps one [`BudgetRecord`] for each team. It states how many tokens are granted to routers in total, and
//! that sum never exceeds what the team prepaid. A router spends only its spending rights: tokens that the record
//! already shows as granted to it, or to another router that handed them over. So neither a partition nor a restart nor
//! a loss of all VMs can overspend the budget. Tokens that a router holds when it is killed or loses power are
//! stranded, which means that they cannot be spent unless they are reclaimed. Records are replaced by compare-and-swap:
//! a write takes effect only if nothing else was written in between.
//!
//! A write that is not acknowledged may still take effect later. Until its outcome is known, the tokens that it takes
//! are not spent and the tokens that it returns are not used, see [`TeamAccount::begin_write`] and
//! [`TeamAccount::finish_write`].
//!
//! Most of the tokens that a router holds only bridge outages of the store. To keep a killed router from stranding
//! them, its journal in the store limits how far it may spend: up to an initial limit at once, and beyond it only as
//! the journal entry ages, at the rate at which it spends, see [`SpendingLimit::at`]. The next process on the same VM
//! reclaims the tokens beyond that limit, provided that the clocks show how old the entry was when this process started,
//! see [`JournalEntry::max_age_at`].
//!
//! The store may return from an older copy, whose record shows fewer tokens granted than there are; see [`Recovery`] for
//! what happens then.
//!
//! A router that shuts down while the store is unreachable hands its tokens over to another one. The record learns of
//! the transfer afterwards: the receiver moves the tokens from the giver's grant to its own, see [`TeamAccount::plan`];
//! until then the giver's grant covers them.
//!
//! How many tokens a router holds is a trade-off: those below the limit are stranded when it is killed, and the tokens
//! that it holds are all that it can spend during an outage. It holds what it spends in [`COVERED_OUTAGE_MS`], and less
//! as the budget runs out.

mod entry_intervals;
mod journal;
mod record;
mod recovery;
mod spending_rate;

pub use entry_intervals::{EntryIntervals, EntryNeed};
pub use journal::{
    ClockDifference, ClockReading, JournalEntry, SpendingLimit, TeamLimit, LOCK_PERIOD_MS,
};
pub use record::{BudgetRecord, Generation, RecordVersion, RouterGrant};
pub use recovery::{Knowledge, Recovery};

use spending_rate::SpendingRate;

/// Length of an outage that the tokens held by a router cover at its current rate.
///
/// Largest budget of a team, in tokens; its parts in percent and per mille fit too.
pub const MAX_BUDGET_TOKENS: u64 = 1 << 50;

/// Outages of the path to the store last up to nine seconds.
pub const COVERED_OUTAGE_MS: u64 = 10_000;

/// Fraction of the unspent budget up to which all holders together aim to hold tokens.
///
/// The rest lets a holder take what a large request needs. With half of it, outages of nine seconds late in the day used
/// up what was held while the other half could not be granted.
const MAX_HELD_FRACTION: f64 = 0.8;

/// Share of the unspent budget, per mille, that all holders together hold for a team without recent requests.
const IDLE_HELD_PERMILLE: u64 = 30;

/// Part of a budget on which callers cannot count, in percent; stated by the platform.
const LAST_PART_PERCENT: u64 = 3;

/// Spending rate below which a router counts as idle.
const IDLE_TOKENS_PER_S: f64 = 1.0;

/// Shortest and longest time of spending that the initial limit of a journal entry covers, besides the time that entries
/// take to be written.
///
/// What the initial limit covers is lost when a router is killed, but little else can be spent at the start of an outage
/// of the store. The time therefore shrinks as the budget runs out.
const MIN_HEADROOM_MS: f64 = 100.0;
const MAX_HEADROOM_MS: f64 = 2_000.0;

/// Unspent fractions of the budget between which the headroom grows from the shortest to the longest time.
const SCARCE_FRACTION: f64 = 0.4;
const AMPLE_FRACTION: f64 = 0.8;

/// Part of the prepaid tokens, per mille, that the initial limits of all holders together cover at most.
const MAX_HEADROOM_PERMILLE: f64 = 25.0;

/// Part of the prepaid tokens, per mille, that each holder may cover at any time.
const MIN_HEADROOM_PERMILLE: u64 = 2;

/// Longest time that is expected for the next entry to be written.
const MAX_ENTRY_WRITE_MS: u64 = 1_000;

/// Highest rate at which the limits of all holders together rise, in thousandths of the prepaid tokens per second.
///
/// A successor cannot tell when its predecessor ended, so what the limits rise by until it starts is lost. A restart of
/// 1.5 s costs 2.4% of the budget, and `docs/PROMISES.md` allows 3%; while the limits catch up with the rate after the
/// lock period, it costs up to twice as much. Tokens that cannot be spent during an outage stay in the budget.
const MAX_UNLOCK_PERMILLE_PER_S: f64 = 16.0;

/// Time in which the limit of a router without recent requests unlocks what it holds.
const IDLE_UNLOCK_S: u64 = 8;

/// A write of the record whose outcome is not known yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PendingWrite {
    write: u64,
    granted_tokens: u64,
}

/// Tokens received from another router that the giver's grant still covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReceivedTransfer {
    giver: u64,
    tokens: u64,
    /// Whether a journal entry that was made after the receipt has taken effect.
    is_journalled: bool,
    /// Whether a journal entry that was made after the receipt is being written.
    is_in_pending_entry: bool,
    /// Whether the pending write of the record moves them to this router's grant.
    is_in_pending_write: bool,
}

/// Role of a router for one team, see [`crate::holders`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// Number of routers that hold the team's rights.
    pub holders: u64,
    /// Whether this router is one of them. Another one holds rights only while it spends some.
    pub is_holder: bool,
}

/// Why tokens cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The team's balance does not cover the request.
    Exhausted,
    /// This router holds too few tokens now, or its journal does not let it spend enough of them yet; the store may
    /// have more.
    NotHeld,
}

/// Returns the part of what all holders have together that belongs to a router with a given rate.
fn share_of_rights(
    record: &BudgetRecord,
    router: u64,
    rate_tokens_per_s: u64,
    unspent_tokens: u64,
    role: Role,
) -> f64 {
    let others = record.holders.iter().filter(|grant| grant.router != router);
    let others: u64 = others.map(|grant| grant.rate_tokens_per_s).sum();
    // A minimum weight keeps a share for the next request of a router without recent traffic.
    let floor = unspent_tokens / 1_000;
    let all = rate_tokens_per_s + others + floor * role.holders.max(1);
    let share = (rate_tokens_per_s + floor) as f64 / all.max(1) as f64;
    share.min(1.0)
}

/// Returns how many tokens each holder of a team without recent requests holds.
fn idle_tokens(unspent_tokens: u64, holders: u64) -> u64 {
    unspent_tokens * IDLE_HELD_PERMILLE / 1_000 / holders.max(1)
}

/// Tokens that this router holds for one team.
#[derive(Clone, Debug, Default)]
pub struct TeamAccount {
    /// Tokens that the record shows as granted to this router.
    granted_tokens: u64,
    spent_tokens: u64,
    reserved_tokens: u64,
    /// Granted tokens that a pending write returns.
    returning_tokens: u64,
    /// Transfers from other routers that the record does not show in this router's grant yet.
    received: Vec<ReceivedTransfer>,
    /// Tokens that this router gave to others over its whole life.
    given_tokens: u64,
    /// Those of the given tokens that the record shows in the receivers' grants.
    moved_tokens: u64,
    /// Total need of the requests that wait for tokens.
    demand_tokens: u64,
    /// Limit that the newest journal entry sets, counted like [`TeamAccount::used_tokens`].
    limit: SpendingLimit,
    /// Age of that entry, or of the one that is being written.
    entry_age_ms: u64,
    /// Time that the last entries took to be written.
    entry_write_ms: u64,
    /// Part of what all holders may spend that belongs to this router, by the record that was last read.
    share: f64,
    /// Rate at which the limit of the next entry rises, by the same record.
    unlock_tokens_per_s: u64,
    /// Prepaid tokens when the record was last read.
    prepaid_tokens: u64,
    pending: Option<PendingWrite>,
    writes: u64,
    /// Rate at which requests reserve tokens.
    reserving_rate: SpendingRate,
    /// Tokens that the requests that have ended had reserved; `spent_tokens` of them were charged.
    settled_tokens: u64,
    largest_need_tokens: u64,
    /// Upper bound on the team's balance when the record was last read, plus what this router had used then; `None`
    /// before that.
    unspent_or_used_here: Option<u64>,
    /// Whether everything that was free then had been charged, so that nobody knows what the team has left.
    is_charged_in_full: bool,
    /// Generation in which the record last showed all tokens granted to this router.
    confirmed: Generation,
}

impl TeamAccount {
    /// Returns the tokens that are held and not in use, whether or not the journal allows spending them yet.
    pub fn available_tokens(&self) -> u64 {
        (self.granted_tokens + self.moved_tokens + self.received_tokens())
            .saturating_sub(self.returning_tokens + self.used_tokens())
    }

    fn received_tokens(&self) -> u64 {
        self.received.iter().map(|transfer| transfer.tokens).sum()
    }

    /// Returns the received tokens that no journal entry counts yet; the giver's grant covers them.
    fn unjournalled_tokens(&self) -> u64 {
        let unjournalled = self
            .received
            .iter()
            .filter(|transfer| !transfer.is_journalled);
        unjournalled.map(|transfer| transfer.tokens).sum()
    }

    /// Returns the tokens that were charged, reserved or given away.
    pub fn used_tokens(&self) -> u64 {
        self.spent_tokens + self.reserved_tokens + self.given_tokens
    }

    /// Returns the tokens that a request can reserve now: those available within the limit of the journal.
    pub fn spendable_tokens(&self) -> u64 {
        let unlocked = self.limit_tokens().saturating_sub(self.used_tokens());
        self.available_tokens().min(unlocked)
    }

    /// Returns how far this router may spend: up to the limit of its journal, plus what it has received since.
    fn limit_tokens(&self) -> u64 {
        self.limit.at(self.entry_age_ms) + self.unjournalled_tokens()
    }

    /// Returns the time until the ageing journal entry allows a reservation; `None` if too few tokens are held for it.
    pub fn unlock_wait_ms(&self, need_tokens: u64) -> Option<u64> {
        if need_tokens > self.available_tokens() {
            return None;
        }
        let used = (self.used_tokens() + need_tokens).saturating_sub(self.unjournalled_tokens());
        let age_ms = self.limit.min_age_for(used)?;
        Some(age_ms.saturating_sub(self.entry_age_ms))
    }

    /// Returns the limit for the next journal entry.
    ///
    /// From here on the entry may take effect at any time, so a limit lower than that of the previous entry applies at
    /// once.
    pub fn begin_entry(&mut self) -> SpendingLimit {
        let headroom = self.headroom_tokens().max(self.demand_tokens);
        let available = self.available_tokens();
        let next = SpendingLimit {
            open_tokens: self.used_tokens() + headroom.min(available),
            held_tokens: self.used_tokens() + available,
            rate_tokens_per_s: self.unlock_tokens_per_s,
        };
        self.limit = self.limit.min(next);
        self.entry_age_ms = 0;
        for transfer in &mut self.received {
            transfer.is_in_pending_entry = true;
        }
        next
    }

    /// Returns how many tokens the next journal entry lets this router spend at once.
    fn headroom_tokens(&self) -> u64 {
        let rate = self.spending_rate();
        let tokens_in = |time_ms: f64| (rate * time_ms / 1_000.0) as u64;
        let least = self.prepaid_tokens * MIN_HEADROOM_PERMILLE / 1_000;
        let least = least.max(tokens_in(MIN_HEADROOM_MS));
        let ampleness = self.ampleness();
        let most = self.prepaid_tokens as f64 * MAX_HEADROOM_PERMILLE / 1_000.0;
        let most = (most * self.share * ampleness) as u64;
        let headroom = tokens_in(MAX_HEADROOM_MS * ampleness).min(most);
        // Tokens are spent while this entry is written, and while the next one is.
        headroom.max(least) + tokens_in(2.0 * self.entry_write_ms as f64)
    }

    /// Returns how much of the budget is left, from 0 for [`SCARCE_FRACTION`] to 1 for [`AMPLE_FRACTION`].
    fn ampleness(&self) -> f64 {
        let unspent = self.team_unspent_tokens().unwrap_or(0) as f64;
        let fraction = unspent / self.prepaid_tokens.max(1) as f64;
        let part = (fraction - SCARCE_FRACTION) / (AMPLE_FRACTION - SCARCE_FRACTION);
        part.clamp(0.0, 1.0)
    }

    /// Returns the tokens spent per second.
    fn spending_rate(&self) -> f64 {
        self.reserving_rate.tokens_per_s() * self.charged_part()
    }

    /// Returns the part of the reserved tokens that is charged.
    ///
    /// Requests reserve the most that they may cost. Open ones are expected to be charged the same part of it as those
    /// that have ended.
    fn charged_part(&self) -> f64 {
        if self.settled_tokens == 0 {
            1.0
        } else {
            self.spent_tokens as f64 / self.settled_tokens as f64
        }
    }

    /// Applies the limit of a journal entry that has taken effect, and the time that it took to be written.
    pub fn commit_entry(&mut self, limit: SpendingLimit, write_ms: u64) {
        self.limit = limit;
        let decayed_ms = self.entry_write_ms - self.entry_write_ms / 4;
        self.entry_write_ms = write_ms.max(decayed_ms).min(MAX_ENTRY_WRITE_MS);
        for transfer in &mut self.received {
            transfer.is_journalled = transfer.is_in_pending_entry;
        }
    }

    /// Sets the age of the newest journal entry, or of the one that is being written.
    pub fn set_entry_age(&mut self, age_ms: u64) {
        self.entry_age_ms = age_ms;
    }

    /// Returns whether an entry is needed at once: requests wait for a higher limit than that of the journal, or will
    /// soon, because less than half of what an entry allows is left.
    pub fn needs_entry(&self) -> bool {
        let soon = self.headroom_tokens() / 2;
        self.spendable_tokens() < self.demand_tokens.max(soon).min(self.available_tokens())
    }

    /// Reserves the largest possible charge of a request.
    ///
    /// # Errors
    ///
    /// Returns whether the budget is exhausted or only this router can spend too few tokens now.
    pub fn reserve(&mut self, need_tokens: u64, now_ms: u64) -> Result<(), ReserveError> {
        self.largest_need_tokens = self.largest_need_tokens.max(need_tokens);
        if need_tokens > self.spendable_tokens() {
            let is_exhausted = self.pending.is_none()
                && !self.is_charged_in_full
                && self
                    .team_unspent_tokens()
                    .is_some_and(|left| left < need_tokens);
            return Err(if is_exhausted {
                ReserveError::Exhausted
            } else {
                ReserveError::NotHeld
            });
        }
        self.reserved_tokens += need_tokens;
        self.reserving_rate.add(need_tokens, now_ms);
        Ok(())
    }

    /// Ends a reservation and charges what was consumed, but never more than was reserved.
    pub fn settle(&mut self, reserved_tokens: u64, charge_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_tokens += charge_tokens.min(reserved_tokens);
        self.settled_tokens += reserved_tokens;
    }

    /// Counts the need of a request that starts to wait for tokens.
    pub fn add_demand(&mut self, tokens: u64) {
        self.demand_tokens += tokens;
    }

    /// Removes the need of a request that no longer waits for tokens.
    pub fn remove_demand(&mut self, tokens: u64) {
        self.demand_tokens = self.demand_tokens.saturating_sub(tokens);
    }

    /// Returns the total need of the requests that wait for tokens.
    pub fn demand_tokens(&self) -> u64 {
        self.demand_tokens
    }

    /// Returns how many tokens to hold, given the record and the role of this router.
    ///
    /// A router's share of what all may hold together is proportional to its spending rate.
    pub fn target_tokens(
        &self,
        record: &BudgetRecord,
        router: u64,
        prepaid: u64,
        role: Role,
    ) -> u64 {
        if !role.is_holder && self.reserving_rate.tokens_per_s() < IDLE_TOKENS_PER_S {
            return 0;
        }
        let rate = self.reserving_rate.tokens_per_s() as u64;
        let unspent = record.unspent_tokens(prepaid);
        let share = share_of_rights(record, router, rate, unspent, role);
        let cap = unspent as f64 * MAX_HELD_FRACTION * share;
        let idle = idle_tokens(unspent, role.holders);
        let desired = rate * COVERED_OUTAGE_MS / 1_000 + 2 * self.largest_need_tokens;
        desired.max(idle).min(cap as u64)
    }

    /// Plans the next record; `None` if a write is pending, or if the tokens held are close enough to the target and so
    /// are the spent tokens and the rate in the record to the present ones.
    pub fn plan(
        &mut self,
        record: &BudgetRecord,
        router: u64,
        prepaid: u64,
        role: Role,
    ) -> Option<BudgetRecord> {
        if self.pending.is_some() {
            return None;
        }
        let target = self.target_tokens(record, router, prepaid, role);
        self.update_unlock_rate(record, router, prepaid, role);
        let mut next = record.clone();
        let forgotten = self.forgotten_tokens(record, router);
        next.granted_tokens += forgotten;
        let base = self.granted_tokens + self.claim_received(&mut next);
        let available = self.available_tokens();
        let goal = target.max(self.demand_tokens);
        let granted = if available < self.demand_tokens || available < goal - goal / 4 {
            let missing = goal - available;
            let taken = missing.min(next.free_tokens(prepaid));
            base + taken
        } else if available > self.return_threshold_tokens(goal) {
            base.saturating_sub(available - goal)
        } else {
            base
        };
        let known = record.grant_of(router);
        let is_reported = known.is_some_and(|grant| {
            let rate = self.reserving_rate.tokens_per_s() as u64;
            grant.spent_tokens + target / 2 + 1 >= self.spent_tokens
                && rate <= grant.rate_tokens_per_s * 2
                && grant.rate_tokens_per_s <= rate * 2 + 64
        });
        let is_unchanged = granted == self.granted_tokens && forgotten == 0;
        if is_unchanged && (is_reported || self.spent_tokens == 0) {
            return None;
        }
        Some(self.build_record(next, router, base, granted))
    }

    /// Updates the share of this router and the rate at which its limit rises: its share of what the team spends.
    ///
    /// The rates in the record are used, also that of this router, so that the shares of all holders add up to one.
    fn update_unlock_rate(&mut self, record: &BudgetRecord, router: u64, prepaid: u64, role: Role) {
        let unspent = record.unspent_tokens(prepaid);
        let rate_of = |grant: &RouterGrant| grant.rate_tokens_per_s;
        let own_rate = record.grant_of(router).map_or(0, rate_of);
        self.share = share_of_rights(record, router, own_rate, unspent, role);
        let reserving_rate: u64 = record.holders.iter().map(rate_of).sum();
        let spending_rate = reserving_rate as f64 * self.charged_part();
        let most = prepaid as f64 * MAX_UNLOCK_PERMILLE_PER_S / 1_000.0;
        let unlocked = (spending_rate.min(most) * self.share) as u64;
        self.unlock_tokens_per_s = unlocked.max(idle_tokens(unspent, role.holders) / IDLE_UNLOCK_S);
    }

    /// Returns how many of the tokens that were granted to this router a recovered record does not show.
    ///
    /// Nobody that took part in the recovery knew them, for example because this router was frozen. They may be spent
    /// already, so the record must show them again.
    fn forgotten_tokens(&self, record: &BudgetRecord, router: u64) -> u64 {
        if record.generation() == self.confirmed {
            return 0;
        }
        let shown = record
            .grant_of(router)
            .map_or(0, |grant| grant.granted_tokens);
        self.granted_tokens.saturating_sub(shown)
    }

    /// Returns the number of available tokens above which the surplus is returned.
    ///
    /// The threshold of a router without recent traffic is higher, because its share depends on the number of routers,
    /// which changes while a fleet starts.
    fn return_threshold_tokens(&self, goal: u64) -> u64 {
        if self.reserving_rate.tokens_per_s() < IDLE_TOKENS_PER_S {
            goal * 8
        } else {
            goal + goal / 2
        }
    }

    /// Plans the return of all available tokens, for a graceful shutdown.
    pub fn plan_return(&mut self, record: &BudgetRecord, router: u64) -> Option<BudgetRecord> {
        let available = self.available_tokens();
        if self.pending.is_some() || available == 0 {
            return None;
        }
        let mut next = record.clone();
        next.granted_tokens += self.forgotten_tokens(record, router);
        let base = self.granted_tokens + self.claim_received(&mut next);
        Some(self.build_record(next, router, base, base.saturating_sub(available)))
    }

    /// Moves received tokens from the grants of their givers to this router's grant; returns their sum.
    ///
    /// Only tokens that a journal entry counts are moved, because a successor reclaims whatever the record shows beyond
    /// the limit of that entry. Nothing is moved while more is used than the limit, which happens if received tokens
    /// were spent while the entry was being written.
    fn claim_received(&mut self, next: &mut BudgetRecord) -> u64 {
        let is_within = self.used_tokens() <= self.limit_tokens();
        for transfer in &mut self.received {
            transfer.is_in_pending_write = is_within
                && transfer.is_journalled
                && next.debit_giver(transfer.giver, transfer.tokens);
        }
        self.claimed_tokens()
    }

    /// Returns whether received tokens can be moved to this router's grant in the record.
    pub fn has_journalled_transfers(&self) -> bool {
        self.received.iter().any(|transfer| transfer.is_journalled)
    }

    fn claimed_tokens(&self) -> u64 {
        let claimed = self
            .received
            .iter()
            .filter(|transfer| transfer.is_in_pending_write);
        claimed.map(|transfer| transfer.tokens).sum()
    }

    /// Starts the write of a planned record: from here on it may take effect at any time.
    pub fn begin_write(&mut self, planned: &BudgetRecord, router: u64) {
        let Some(grant) = planned.grant_of(router) else {
            return;
        };
        self.writes = grant.write;
        let before = self.granted_tokens + self.claimed_tokens();
        self.returning_tokens = before.saturating_sub(grant.granted_tokens);
        self.pending = Some(PendingWrite {
            write: grant.write,
            granted_tokens: grant.granted_tokens,
        });
    }

    /// Ends the pending write once its outcome is known.
    pub fn finish_write(&mut self, was_written: bool) {
        if let Some(pending) = self.pending.take() {
            if was_written {
                self.granted_tokens = pending.granted_tokens;
                self.received
                    .retain(|transfer| !transfer.is_in_pending_write);
            }
            for transfer in &mut self.received {
                transfer.is_in_pending_write = false;
            }
            self.returning_tokens = 0;
        }
    }

    /// Returns whether a record shows that the pending write took effect.
    pub fn is_written(&self, record: &BudgetRecord, router: u64) -> bool {
        let grant = record.grant_of(router);
        match (self.pending, grant) {
            (Some(pending), Some(grant)) => grant.write == pending.write,
            _ => false,
        }
    }

    /// Updates the account from the newest record: tokens moved to other routers, and what the team has left.
    pub fn observe(&mut self, record: &BudgetRecord, router: u64, prepaid: u64) {
        let grant = record.grant_of(router);
        if let Some(grant) = grant {
            let moved = grant.moved_tokens.saturating_sub(self.moved_tokens);
            self.moved_tokens += moved;
            self.granted_tokens = self.granted_tokens.saturating_sub(moved);
            if let Some(pending) = &mut self.pending {
                pending.granted_tokens = pending.granted_tokens.saturating_sub(moved);
            }
        }
        if self.pending.is_none() && self.forgotten_tokens(record, router) == 0 {
            self.confirmed = record.generation();
        }
        self.is_charged_in_full = record.is_charged_in_full;
        let reported = grant.map_or(0, |grant| grant.spent_tokens);
        self.unspent_or_used_here = Some(record.unspent_tokens(prepaid) + reported);
        self.prepaid_tokens = prepaid;
    }

    /// Records that it is unknown what the team has left, because the record is older than what was granted.
    pub fn forget_balance(&mut self) {
        self.unspent_or_used_here = None;
    }

    /// Gives spendable tokens to another router, at most what is asked for; returns their number.
    ///
    /// The record keeps them in this router's grant until the receiver moves them; if the message to the receiver is
    /// lost, they are stranded.
    pub fn give(&mut self, asked_tokens: u64) -> u64 {
        let given = asked_tokens.min(self.spendable_tokens());
        self.given_tokens += given;
        given
    }

    /// Returns whether any tokens are held or used, so that the record must be followed.
    pub fn holds_tokens(&self) -> bool {
        self.available_tokens() > 0 || self.reserved_tokens > 0 || self.demand_tokens > 0
    }

    /// Adds tokens that another router gave.
    pub fn receive(&mut self, giver: u64, tokens: u64) {
        self.received.push(ReceivedTransfer {
            giver,
            tokens,
            is_journalled: false,
            is_in_pending_entry: false,
            is_in_pending_write: false,
        });
    }

    /// Returns an upper bound on the team's balance, from the record that was last read and what this router has used;
    /// `None` before the first read.
    pub fn team_unspent_tokens(&self) -> Option<u64> {
        let used_here = self.spent_tokens + self.reserved_tokens;
        Some(self.unspent_or_used_here?.saturating_sub(used_here))
    }

    /// Returns whether a request would use the last part of the budget, on which callers cannot count.
    ///
    /// What is left then is reserved by requests in progress or spread over routers in parts that are too small.
    pub fn is_nearly_spent(&self, need_tokens: u64, prepaid: u64) -> bool {
        let last_part = prepaid / 100 * LAST_PART_PERCENT;
        let unspent = self.team_unspent_tokens();
        !self.is_charged_in_full
            && unspent.is_some_and(|unspent| unspent < need_tokens.saturating_add(last_part))
    }

    /// Returns the largest need of one request so far.
    pub fn largest_need_tokens(&self) -> u64 {
        self.largest_need_tokens
    }

    /// Returns the tokens that this router has charged.
    pub fn spent_tokens(&self) -> u64 {
        self.spent_tokens
    }

    /// Returns the tokens that are reserved for open requests.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Returns the tokens that the record shows as granted to this router.
    pub fn granted_tokens(&self) -> u64 {
        self.granted_tokens
    }

    /// Builds the next record; `base` is this router's current grant plus the received tokens that this write moves.
    fn build_record(
        &self,
        mut next: BudgetRecord,
        router: u64,
        base: u64,
        granted: u64,
    ) -> BudgetRecord {
        next.revision += 1;
        next.granted_tokens = (next.granted_tokens + granted).saturating_sub(base);
        let own_grant = RouterGrant {
            router,
            granted_tokens: granted,
            spent_tokens: self.spent_tokens,
            rate_tokens_per_s: self.reserving_rate.tokens_per_s() as u64,
            write: self.writes + 1,
            revision: next.revision,
            moved_tokens: self.moved_tokens,
        };
        match next.holders.iter_mut().find(|grant| grant.router == router) {
            Some(grant) => *grant = own_grant,
            None => next.holders.push(own_grant),
        }
        next.evict_oldest(router);
        next
    }

    /// Decays the measured rate to the present time.
    pub fn decay_rate(&mut self, now_ms: u64) {
        self.reserving_rate.decay(now_ms);
    }
}
