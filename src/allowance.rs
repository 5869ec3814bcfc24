//! Spending rights of one router, taken in steps from a team's budget in the store.
//!
//! A team has one [`BudgetRecord`]. It states how many tokens have been handed out to routers in total, and that sum never
//! exceeds what the team prepaid. A router spends only rights that the record already shows, so neither a partition nor
//! a restart nor a loss of all VMs can overspend; a router that loses power without returning its rights strands them. Each
//! record replaces the previous one under the condition that nothing else was written in between.
//!
//! A write without an answer may take effect later. Until its fate is known the rights it asks for are not spent and
//! the rights it returns are not used, see [`TeamAccount::begin_write`] and [`TeamAccount::finish_write`].
//!
//! Most of the rights that a router holds are only for the time when it cannot reach the store. So that a router that is
//! killed does not strand them, its journal in the store shows how far it may spend: up to a mark at once, and beyond it
//! only as the entry grows old, see [`SpendingLimit::at`]. The next process on the same VM takes back what lies beyond that
//! limit if the clocks show how old the entry was at its start, see [`JournalEntry::max_age_at`].
//!
//! Routers without the store pass rights to each other. The record learns of it afterwards: the receiver moves them from
//! the entry of the giver to its own, see [`TeamAccount::plan`]; until then the entry of the giver covers them.
//!
//! How many rights a router holds is a trade-off: what lies below the limit is lost when it is killed, and all that it
//! holds is what it can spend while it cannot reach the store. It holds what it spends in [`COVERED_OUTAGE_MS`], and less as the
//! budget runs out.

mod journal;

use prost::Message;

pub use journal::{ClockReading, JournalEntry, SpendingLimit, TeamLimit, LOCK_PERIOD_MS};

/// Time for which a router can spend without the store; outages of the store's path last up to nine seconds.
pub const COVERED_OUTAGE_MS: u64 = 10_000;

/// Part of the unspent budget that all routers together aim to hold.
///
/// It covers an outage of nine seconds late in the day, when half of the budget is left; `docs/design.md`, section 10,
/// compares the ways.
const HELD_PART: f64 = 0.5;

/// Part of the unspent budget that all routers together hold for teams whose requests have not come yet, in thousandths.
const IDLE_MILLIS: u64 = 30;

/// Router entries from which on a record drops the oldest one that has nothing left.
const MAX_HOLDERS: usize = 96;

/// Router entries from which on a record drops the oldest one, whatever it has left; what it has left is lost. Three times
/// as many routers as the largest fleet in use has.
const MAX_HOLDERS_WITH_RIGHTS: usize = 200;

/// Time constant of the measured spending rate.
const RATE_WINDOW_MS: f64 = 4_000.0;

/// Budget of one team as the store keeps it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BudgetRecord {
    /// Tokens handed out to routers so far, less what they returned.
    #[prost(uint64, tag = "1")]
    pub granted_tokens: u64,
    /// Routers that took rights.
    #[prost(message, repeated, tag = "2")]
    pub holders: Vec<RouterGrant>,
    /// Number of this record.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// One router in a [`BudgetRecord`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RouterGrant {
    /// Random id of the router's process.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Tokens handed out to it, less what it returned.
    #[prost(uint64, tag = "2")]
    pub granted_tokens: u64,
    /// Tokens it had charged when it wrote this entry.
    #[prost(uint64, tag = "3")]
    pub spent_tokens: u64,
    /// Tokens it reserves in one second.
    #[prost(uint64, tag = "4")]
    pub rate_tokens_per_s: u64,
    /// Number of the write that last changed this entry, counted by the router.
    #[prost(uint64, tag = "5")]
    pub write: u64,
    /// Revision of the record at that write.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Tokens that this router gave to others and that their entries show by now, over its whole life.
    #[prost(uint64, tag = "7")]
    pub moved_tokens: u64,
}

impl BudgetRecord {
    /// Returns the entry of a router.
    pub fn grant_of(&self, router: u64) -> Option<&RouterGrant> {
        self.holders.iter().find(|holder| holder.router == router)
    }

    /// Returns the tokens that no router holds.
    pub fn free_tokens(&self, prepaid_tokens: u64) -> u64 {
        prepaid_tokens.saturating_sub(self.granted_tokens)
    }

    /// Returns an upper bound of what the team can still spend: everything that no router has reported as charged.
    pub fn unspent_tokens(&self, prepaid_tokens: u64) -> u64 {
        let held: u64 = self
            .holders
            .iter()
            .map(|holder| holder.granted_tokens.saturating_sub(holder.spent_tokens))
            .sum();
        self.free_tokens(prepaid_tokens).saturating_add(held)
    }
}

/// Time for which the rights up to the mark should last while most of the budget is left: until the entry has grown so
/// old that more can be spent.
const OPEN_AHEAD_MS: f64 = LOCK_PERIOD_MS as f64;

/// Smallest part of that time. A loss of all routers costs a team what lies below the marks, which matters more the less
/// is left, so the time shrinks with the unspent part of the budget.
const MIN_AHEAD_PART: f64 = 0.2;

/// A change of a record that was sent and whose fate is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pending {
    write: u64,
    granted_tokens: u64,
}

/// Rights that another router gave and that its entry still covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Received {
    giver: u64,
    tokens: u64,
    /// Whether an entry of the journal that was made after the receipt has taken effect.
    is_covered: bool,
    /// Whether an entry that was made after the receipt is under way.
    is_in_entry: bool,
    /// Whether the pending write moves them.
    is_booking: bool,
}

impl BudgetRecord {
    /// Plans a record without the rights of an ended process beyond its limit; `None` if it has none.
    pub fn reclaim(&self, router: u64, limit_tokens: u64) -> Option<Self> {
        let mut next = self.clone();
        let holder = next
            .holders
            .iter_mut()
            .find(|holder| holder.router == router)?;
        let held = holder.granted_tokens + holder.moved_tokens;
        let unused = held.saturating_sub(limit_tokens).min(holder.granted_tokens);
        if unused == 0 {
            return None;
        }
        holder.granted_tokens -= unused;
        holder.spent_tokens = holder.granted_tokens;
        next.granted_tokens = next.granted_tokens.saturating_sub(unused);
        next.revision += 1;
        Some(next)
    }

    /// Drops an entry if there are too many, never that of the writer.
    fn drop_oldest(&mut self, writer: u64) {
        if self.holders.len() <= MAX_HOLDERS {
            return;
        }
        let is_full = self.holders.len() > MAX_HOLDERS_WITH_RIGHTS;
        let droppable = self.holders.iter().enumerate().filter(|(_, holder)| {
            let has_rights = holder.granted_tokens > holder.spent_tokens;
            holder.router != writer && (is_full || !has_rights)
        });
        let oldest = droppable.min_by_key(|(_, holder)| holder.revision);
        if let Some((index, _)) = oldest {
            self.holders.remove(index);
        }
    }

    /// Moves rights from the entry of the router that gave them to the entry of the one that received them.
    ///
    /// Returns whether the entry of the giver still has them; entries of routers that ended long ago are dropped.
    fn move_given(&mut self, giver: u64, tokens: u64) -> bool {
        let holder = self
            .holders
            .iter_mut()
            .find(|holder| holder.router == giver);
        match holder {
            Some(holder) if holder.granted_tokens >= tokens => {
                holder.granted_tokens -= tokens;
                holder.spent_tokens = holder.spent_tokens.min(holder.granted_tokens);
                holder.moved_tokens += tokens;
                true
            }
            _ => false,
        }
    }
}

/// Why rights cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The team's balance does not cover the request.
    Exhausted,
    /// This router holds too few rights now; the store may have more.
    NotHeld,
}

/// Rights of this router for one team.
#[derive(Clone, Debug, Default)]
pub struct TeamAccount {
    /// Rights that the record shows for this router.
    granted_tokens: u64,
    spent_tokens: u64,
    reserved_tokens: u64,
    /// Part of the granted rights that a pending write returns.
    returning_tokens: u64,
    /// Rights that other routers gave to this one and that the record does not show for it yet.
    received: Vec<Received>,
    /// Rights that this router gave to others over its whole life, and the part that the record shows for them.
    given_tokens: u64,
    moved_tokens: u64,
    /// Need of requests that wait for rights.
    demand_tokens: u64,
    /// How far the newest entry of the journal lets this router spend, counted like [`TeamAccount::used_tokens`].
    mark: SpendingLimit,
    /// Age of that entry, or of the one that is under way.
    entry_age_ms: u64,
    pending: Option<Pending>,
    writes: u64,
    rate_tokens_per_s: f64,
    rate_at_ms: u64,
    largest_need_tokens: u64,
    /// Upper bound of the team's balance when the record was last read.
    unspent_tokens: Option<u64>,
    /// Part of the budget that was unspent then.
    unspent_part: f64,
}

impl TeamAccount {
    /// Returns the rights that a request can reserve.
    pub fn available_tokens(&self) -> u64 {
        (self.granted_tokens + self.moved_tokens + self.received_tokens())
            .saturating_sub(self.returning_tokens + self.used_tokens())
    }

    fn received_tokens(&self) -> u64 {
        self.received.iter().map(|received| received.tokens).sum()
    }

    /// Returns the received rights that no entry of the journal counts; the entry of their giver covers them.
    fn uncovered_tokens(&self) -> u64 {
        let uncovered = self.received.iter().filter(|received| !received.is_covered);
        uncovered.map(|received| received.tokens).sum()
    }

    /// Returns the rights that were charged, reserved or given away.
    pub fn used_tokens(&self) -> u64 {
        self.spent_tokens + self.reserved_tokens + self.given_tokens
    }

    /// Returns the rights that a request can reserve now.
    pub fn spendable_tokens(&self) -> u64 {
        let open = self.limit_tokens().saturating_sub(self.used_tokens());
        self.available_tokens().min(open)
    }

    /// Returns how far this router may spend: by its journal, and on top by what it received since.
    fn limit_tokens(&self) -> u64 {
        self.mark.at(self.entry_age_ms) + self.uncovered_tokens()
    }

    /// Returns the time until a request can be reserved from what is held without a newer journal entry, if it can.
    pub fn unlock_wait_ms(&self, need_tokens: u64) -> Option<u64> {
        if need_tokens > self.available_tokens() {
            return None;
        }
        let used = (self.used_tokens() + need_tokens).saturating_sub(self.uncovered_tokens());
        let age_ms = self.mark.min_age_for(used)?;
        Some(age_ms.saturating_sub(self.entry_age_ms))
    }

    /// Returns what the next journal entry should show. From here on the entry may take effect at any time, so a lower
    /// limit than that of the entry before binds at once.
    pub fn begin_entry(&mut self) -> SpendingLimit {
        let part = self.unspent_part.clamp(MIN_AHEAD_PART, 1.0);
        let ahead = (self.rate_tokens_per_s * OPEN_AHEAD_MS * part / 1_000.0) as u64;
        let ahead = ahead.max(self.demand_tokens);
        let available = self.available_tokens();
        let next = SpendingLimit {
            open_tokens: self.used_tokens() + ahead.min(available),
            held_tokens: self.used_tokens() + available,
        };
        self.mark = self.mark.min(next);
        self.entry_age_ms = 0;
        for received in &mut self.received {
            received.is_in_entry = true;
        }
        next
    }

    /// Notes that an entry has taken effect.
    pub fn commit_entry(&mut self, mark: SpendingLimit) {
        self.mark = mark;
        for received in &mut self.received {
            received.is_covered = received.is_in_entry;
        }
    }

    /// Sets the age of the newest entry, or of the one that is under way.
    pub fn set_entry_age(&mut self, age_ms: u64) {
        self.entry_age_ms = age_ms;
    }

    /// Returns whether somebody waits for a higher mark than the journal shows; otherwise the next regular entry serves.
    pub fn needs_entry(&self) -> bool {
        self.spendable_tokens() < self.demand_tokens.min(self.available_tokens())
    }

    /// Reserves the largest possible charge of a request.
    ///
    /// # Errors
    ///
    /// Returns whether more rights can exist.
    pub fn reserve(&mut self, need_tokens: u64, now_ms: u64) -> Result<(), ReserveError> {
        self.largest_need_tokens = self.largest_need_tokens.max(need_tokens);
        if need_tokens > self.spendable_tokens() {
            let is_exhausted = self.pending.is_none()
                && self.unspent_tokens.is_some_and(|left| left < need_tokens);
            return Err(if is_exhausted {
                ReserveError::Exhausted
            } else {
                ReserveError::NotHeld
            });
        }
        self.reserved_tokens += need_tokens;
        self.note_rate(need_tokens, now_ms);
        Ok(())
    }

    /// Ends a reservation and charges what was consumed, never more than was reserved.
    pub fn settle(&mut self, reserved_tokens: u64, charge_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_tokens += charge_tokens.min(reserved_tokens);
    }

    /// Notes that a request waits for rights.
    pub fn add_demand(&mut self, tokens: u64) {
        self.demand_tokens += tokens;
    }

    /// Notes that a request no longer waits for rights.
    pub fn remove_demand(&mut self, tokens: u64) {
        self.demand_tokens = self.demand_tokens.saturating_sub(tokens);
    }

    /// Returns the need of requests that wait for rights.
    pub fn demand_tokens(&self) -> u64 {
        self.demand_tokens
    }

    /// Returns the rights that should be held, given the record and the number of routers.
    pub fn target_tokens(
        &self,
        record: &BudgetRecord,
        router: u64,
        prepaid: u64,
        routers: u64,
    ) -> u64 {
        let rate = self.rate_tokens_per_s as u64;
        let others: u64 = record
            .holders
            .iter()
            .filter(|holder| holder.router != router)
            .map(|holder| holder.rate_tokens_per_s)
            .sum();
        let unspent = record.unspent_tokens(prepaid);
        // Every router counts a little, so that one without recent traffic keeps a share for its next request.
        let floor = unspent / 1_000;
        let share = (rate + floor) as f64 / (rate + others + floor * routers.max(1)).max(1) as f64;
        let cap = unspent as f64 * HELD_PART * share.min(1.0);
        let idle = unspent * IDLE_MILLIS / 1_000 / routers.max(1);
        let desired = rate * COVERED_OUTAGE_MS / 1_000 + 2 * self.largest_need_tokens;
        desired.max(idle).min(cap as u64)
    }

    /// Plans the next record, or `None` if the rights are about right.
    pub fn plan(
        &mut self,
        record: &BudgetRecord,
        router: u64,
        prepaid: u64,
        routers: u64,
    ) -> Option<BudgetRecord> {
        if self.pending.is_some() {
            return None;
        }
        let target = self.target_tokens(record, router, prepaid, routers);
        let mut next = record.clone();
        let base = self.granted_tokens + self.book_received(&mut next);
        let available = self.available_tokens();
        let goal = target.max(self.demand_tokens);
        let granted = if available < self.demand_tokens || available < goal - goal / 4 {
            let missing = goal - available;
            let taken = missing.min(record.free_tokens(prepaid));
            base + taken
        } else if available > self.kept_tokens(goal) {
            base.saturating_sub(available - goal)
        } else {
            base
        };
        let known = record.grant_of(router);
        let is_reported = known.is_some_and(|holder| {
            let rate = self.rate_tokens_per_s as u64;
            holder.spent_tokens + target / 2 + 1 >= self.spent_tokens
                && rate <= holder.rate_tokens_per_s * 2
                && holder.rate_tokens_per_s <= rate * 2 + 64
        });
        if granted == self.granted_tokens && (is_reported || self.spent_tokens == 0) {
            return None;
        }
        Some(self.with_granted(next, router, base, granted))
    }

    /// Returns the rights from which on the surplus is returned. A router without recent traffic keeps more, because the
    /// number of routers, by which its part is measured, changes while a fleet starts.
    fn kept_tokens(&self, goal: u64) -> u64 {
        /// Rate below which a router counts as idle.
        const IDLE_TOKENS_PER_S: f64 = 1.0;
        if self.rate_tokens_per_s < IDLE_TOKENS_PER_S {
            goal * 8
        } else {
            goal + goal / 2
        }
    }

    /// Plans the return of everything that is not reserved, for a planned stop.
    pub fn plan_return(&mut self, record: &BudgetRecord, router: u64) -> Option<BudgetRecord> {
        let available = self.available_tokens();
        if self.pending.is_some() || available == 0 {
            return None;
        }
        let mut next = record.clone();
        let base = self.granted_tokens + self.book_received(&mut next);
        Some(self.with_granted(next, router, base, base.saturating_sub(available)))
    }

    /// Moves received rights from the entries of their givers to this router's; returns their sum.
    ///
    /// Only rights that an entry of the journal counts are moved, because a successor takes back whatever the record
    /// shows beyond that entry. Nothing is moved while more is used than the entry shows, which happens if received
    /// rights were spent while the entry was under way.
    fn book_received(&mut self, next: &mut BudgetRecord) -> u64 {
        let is_within = self.used_tokens() <= self.limit_tokens();
        for received in &mut self.received {
            received.is_booking = is_within
                && received.is_covered
                && next.move_given(received.giver, received.tokens);
        }
        self.booking_tokens()
    }

    /// Returns whether received rights can be moved to this router's entry in the record.
    pub fn has_journalled_transfers(&self) -> bool {
        self.received.iter().any(|received| received.is_covered)
    }

    fn booking_tokens(&self) -> u64 {
        let booking = self.received.iter().filter(|received| received.is_booking);
        booking.map(|received| received.tokens).sum()
    }

    /// Notes that a planned record is sent.
    pub fn begin_write(&mut self, planned: &BudgetRecord, router: u64) {
        let Some(holder) = planned.grant_of(router) else {
            return;
        };
        self.writes = holder.write;
        let before = self.granted_tokens + self.booking_tokens();
        self.returning_tokens = before.saturating_sub(holder.granted_tokens);
        self.pending = Some(Pending {
            write: holder.write,
            granted_tokens: holder.granted_tokens,
        });
    }

    /// Ends the pending write.
    pub fn finish_write(&mut self, was_written: bool) {
        if let Some(pending) = self.pending.take() {
            if was_written {
                self.granted_tokens = pending.granted_tokens;
                self.received.retain(|received| !received.is_booking);
            }
            for received in &mut self.received {
                received.is_booking = false;
            }
            self.returning_tokens = 0;
        }
    }

    /// Returns whether a record shows that the pending write took effect.
    pub fn is_written(&self, record: &BudgetRecord, router: u64) -> bool {
        let holder = record.grant_of(router);
        match (self.pending, holder) {
            (Some(pending), Some(holder)) => holder.write == pending.write,
            _ => false,
        }
    }

    /// Notes what the newest record says.
    pub fn observe(&mut self, record: &BudgetRecord, router: u64, prepaid: u64) {
        let holder = record.grant_of(router);
        if let Some(holder) = holder {
            let moved = holder.moved_tokens.saturating_sub(self.moved_tokens);
            self.moved_tokens += moved;
            self.granted_tokens = self.granted_tokens.saturating_sub(moved);
            if let Some(pending) = &mut self.pending {
                pending.granted_tokens = pending.granted_tokens.saturating_sub(moved);
            }
        }
        let reported = holder.map_or(0, |holder| holder.spent_tokens);
        let unreported = (self.spent_tokens + self.reserved_tokens).saturating_sub(reported);
        let unspent = record.unspent_tokens(prepaid).saturating_sub(unreported);
        self.unspent_tokens = Some(unspent);
        self.unspent_part = unspent as f64 / prepaid.max(1) as f64;
    }

    /// Gives rights to another router: at most what it asks for, and at most `part_millis` thousandths of what is
    /// available. The record keeps them in this router's entry until the receiver moves them; an answer that is lost
    /// strands them.
    pub fn give(&mut self, asked_tokens: u64, part_millis: u64) -> u64 {
        let given = asked_tokens.min(self.spendable_tokens() * part_millis / 1_000);
        self.given_tokens += given;
        given
    }

    /// Takes rights that another router gave.
    pub fn receive(&mut self, giver: u64, tokens: u64) {
        self.received.push(Received {
            giver,
            tokens,
            is_covered: false,
            is_in_entry: false,
            is_booking: false,
        });
    }

    /// Returns what to ask other routers for so that requests do not wait: the next seconds' need.
    pub fn shortfall_tokens(&self) -> u64 {
        /// Time that the rights should last.
        const AHEAD_MS: u64 = 1_500;
        let ahead = self.rate_tokens_per_s as u64 * AHEAD_MS / 1_000;
        let need = (ahead + self.largest_need_tokens).max(self.demand_tokens);
        need.saturating_sub(self.spendable_tokens())
    }

    /// Returns the largest need of one request so far.
    pub fn largest_need_tokens(&self) -> u64 {
        self.largest_need_tokens
    }

    /// Returns the tokens charged by this router.
    pub fn spent_tokens(&self) -> u64 {
        self.spent_tokens
    }

    /// Returns the tokens handed out to this router.
    pub fn granted_tokens(&self) -> u64 {
        self.granted_tokens
    }

    /// Makes the next record; `base` is what this router's entry has with the received rights that it moves.
    fn with_granted(
        &self,
        mut next: BudgetRecord,
        router: u64,
        base: u64,
        granted: u64,
    ) -> BudgetRecord {
        next.revision += 1;
        next.granted_tokens = (next.granted_tokens + granted).saturating_sub(base);
        let entry = RouterGrant {
            router,
            granted_tokens: granted,
            spent_tokens: self.spent_tokens,
            rate_tokens_per_s: self.rate_tokens_per_s as u64,
            write: self.writes + 1,
            revision: next.revision,
            moved_tokens: self.moved_tokens,
        };
        match next
            .holders
            .iter_mut()
            .find(|holder| holder.router == router)
        {
            Some(holder) => *holder = entry,
            None => next.holders.push(entry),
        }
        next.drop_oldest(router);
        next
    }

    /// Lets the measured rate decay to the present time.
    pub fn decay_rate(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.rate_at_ms) as f64;
        self.rate_tokens_per_s *= (-elapsed_ms / RATE_WINDOW_MS).exp();
        self.rate_at_ms = now_ms;
    }

    fn note_rate(&mut self, tokens: u64, now_ms: u64) {
        self.decay_rate(now_ms);
        self.rate_tokens_per_s += tokens as f64 * 1_000.0 / RATE_WINDOW_MS;
    }
}
