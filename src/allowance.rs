//! Spending rights of one router, taken in steps from a team's budget in the store.
//!
//! A team has one [`TeamRecord`]. It states how many tokens have been handed out to routers in total, and that sum never
//! exceeds what the team prepaid. A router spends only rights that the record already shows, so neither a partition nor
//! a restart nor a loss of all VMs can overspend; a router that loses power without returning its rights strands them. Each
//! record replaces the previous one under the condition that nothing else was written in between.
//!
//! A write without an answer may take effect later. Until its fate is known the rights it asks for are not spent and
//! the rights it returns are not used, see [`Account::begin`] and [`Account::finish`].
//!
//! Most of the rights that a router holds are only for the time when it cannot reach the store. So that a router that is
//! killed does not strand them, it spends only up to a mark that its journal in the store already shows, see
//! [`Account::open`]; beyond the mark it spends only after [`CUT_OFF_MS`] without a new entry in its journal. The next
//! process on the same VM takes back what lies beyond the mark if the clocks show that this time had not passed, see
//! [`JournalEntry::is_reclaimable`].
//!
//! How many rights a router holds is a trade-off: they are lost when it is killed, and they are all it can spend while
//! it cannot reach the store. It holds what it spends in [`HORIZON_MS`], and less as the budget runs out.

mod journal;

use prost::Message;

pub use journal::{ClockReading, JournalEntry, Mark, CUT_OFF_MS};

/// Time for which a router can spend without the store; outages of the store's path last up to nine seconds.
pub const HORIZON_MS: u64 = 10_000;

/// Part of the unspent budget that all routers together aim to hold.
///
/// Held rights are lost when all routers are killed, which costs a team that uses up its budget as much later as an
/// outage of the store costs it now; `docs/design.md`, section 10, compares the ways.
const HELD_PART: f64 = 0.15;

/// Increase of that part with the part of the budget that is left beyond one half; a team that has spent little is
/// unlikely to miss what is lost.
const HELD_PART_SLOPE: f64 = 0.5;

/// Router entries that a record keeps; entries of ended routers only serve the estimate of what is left.
const MAX_HOLDERS: usize = 96;

/// Time constant of the measured spending rate.
const RATE_WINDOW_MS: f64 = 4_000.0;

/// Budget of one team as the store keeps it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamRecord {
    /// Tokens handed out to routers so far, less what they returned.
    #[prost(uint64, tag = "1")]
    pub granted_tokens: u64,
    /// Routers that took rights.
    #[prost(message, repeated, tag = "2")]
    pub holders: Vec<Holder>,
    /// Number of this record.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

/// One router in a [`TeamRecord`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Holder {
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
}

impl TeamRecord {
    /// Returns the entry of a router.
    pub fn holder(&self, router: u64) -> Option<&Holder> {
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

/// Time for which the rights up to the mark should last: until [`CUT_OFF_MS`], when the mark no longer binds, and a slow
/// answer of the store more.
const OPEN_AHEAD_MS: u64 = 1_800;

/// A change of a record that was sent and whose fate is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pending {
    write: u64,
    granted_tokens: u64,
}

impl TeamRecord {
    /// Plans a record without the rights of an ended process beyond its mark; `None` if it has none.
    pub fn reclaim(&self, router: u64, open_tokens: u64) -> Option<Self> {
        let mut next = self.clone();
        let holder = next
            .holders
            .iter_mut()
            .find(|holder| holder.router == router)?;
        let unused = holder.granted_tokens.saturating_sub(open_tokens);
        if unused == 0 {
            return None;
        }
        holder.granted_tokens -= unused;
        holder.spent_tokens = holder.granted_tokens;
        next.granted_tokens = next.granted_tokens.saturating_sub(unused);
        next.revision += 1;
        Some(next)
    }
}

/// Why rights cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The team's balance does not cover the request.
    Exhausted,
    /// This router holds too few rights now; the store may have more.
    NotHeld,
}

/// Rights of this router for one team.
#[derive(Clone, Debug, Default)]
pub struct Account {
    granted_tokens: u64,
    spent_tokens: u64,
    reserved_tokens: u64,
    /// Part of the granted rights that a pending write returns.
    returning_tokens: u64,
    /// Rights that other routers gave to this one, and that it gave to others.
    received_tokens: u64,
    given_tokens: u64,
    /// Need of requests that wait for rights.
    wanted_tokens: u64,
    /// What other routers asked for and could not get because of the mark.
    asked_tokens: u64,
    /// Use up to which the journal shows, counted like [`Account::used_tokens`].
    open_tokens: u64,
    /// Whether the store has been away for so long that the mark no longer binds.
    is_cut_off: bool,
    pending: Option<Pending>,
    writes: u64,
    rate_tokens_per_s: f64,
    rate_at_ms: u64,
    largest_need_tokens: u64,
    /// Upper bound of the team's balance when the record was last read.
    unspent_tokens: Option<u64>,
}

impl Account {
    /// Returns the rights that a request can reserve.
    pub fn available_tokens(&self) -> u64 {
        (self.granted_tokens + self.received_tokens).saturating_sub(
            self.returning_tokens + self.spent_tokens + self.reserved_tokens + self.given_tokens,
        )
    }

    /// Returns the rights that were charged, reserved or given away.
    pub fn used_tokens(&self) -> u64 {
        self.spent_tokens + self.reserved_tokens + self.given_tokens
    }

    /// Returns the rights that a request can reserve now.
    pub fn spendable_tokens(&self) -> u64 {
        if self.is_cut_off {
            return self.available_tokens();
        }
        let open = self.open_tokens.saturating_sub(self.used_tokens());
        self.available_tokens().min(open)
    }

    /// Returns the mark that the next journal entry should show.
    pub fn next_mark(&self) -> u64 {
        let ahead = self.rate_tokens_per_s as u64 * OPEN_AHEAD_MS / 1_000;
        let ahead = ahead.max(self.wanted_tokens) + self.asked_tokens;
        self.used_tokens() + ahead.min(self.available_tokens())
    }

    /// Lowers the mark before an entry is sent that shows a lower one; such an entry may take effect at any time.
    pub fn lower_mark(&mut self, mark_tokens: u64) {
        self.open_tokens = self.open_tokens.min(mark_tokens);
    }

    /// Sets the mark that an entry shows which has taken effect.
    pub fn open(&mut self, mark_tokens: u64) {
        self.open_tokens = mark_tokens;
        self.asked_tokens = 0;
    }

    /// Sets whether the mark binds.
    pub fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Returns whether somebody waits for a higher mark than the journal shows; otherwise the next regular entry serves.
    pub fn needs_mark(&self) -> bool {
        let need = self.wanted_tokens + self.asked_tokens;
        self.spendable_tokens() < need.min(self.available_tokens())
    }

    /// Reserves the largest possible charge of a request.
    ///
    /// # Errors
    ///
    /// Returns whether more rights can exist.
    pub fn reserve(&mut self, need_tokens: u64, now_ms: u64) -> Result<(), Shortage> {
        self.largest_need_tokens = self.largest_need_tokens.max(need_tokens);
        if need_tokens > self.spendable_tokens() {
            let is_exhausted = self.pending.is_none()
                && self.unspent_tokens.is_some_and(|left| left < need_tokens);
            return Err(if is_exhausted {
                Shortage::Exhausted
            } else {
                Shortage::NotHeld
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
    pub fn want(&mut self, tokens: u64) {
        self.wanted_tokens += tokens;
    }

    /// Notes that a request no longer waits for rights.
    pub fn unwant(&mut self, tokens: u64) {
        self.wanted_tokens = self.wanted_tokens.saturating_sub(tokens);
    }

    /// Returns the need of requests that wait for rights.
    pub fn wanted_tokens(&self) -> u64 {
        self.wanted_tokens
    }

    /// Returns the rights that should be held, given the record and the number of routers.
    pub fn target_tokens(
        &self,
        record: &TeamRecord,
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
        let left = (unspent as f64 / prepaid.max(1) as f64).min(1.0);
        let held_part = HELD_PART + HELD_PART_SLOPE * (left - 0.5).max(0.0);
        let cap = unspent as f64 * held_part * share.min(1.0);
        let desired = rate * HORIZON_MS / 1_000 + 2 * self.largest_need_tokens;
        desired.min(cap as u64)
    }

    /// Plans the next record, or `None` if the rights are about right.
    pub fn plan(
        &self,
        record: &TeamRecord,
        router: u64,
        prepaid: u64,
        routers: u64,
    ) -> Option<TeamRecord> {
        if self.pending.is_some() {
            return None;
        }
        let target = self.target_tokens(record, router, prepaid, routers);
        let available = self.available_tokens();
        let goal = target.max(self.wanted_tokens);
        let granted = if available < self.wanted_tokens || available < goal - goal / 4 {
            let missing = goal - available;
            let taken = missing.min(record.free_tokens(prepaid));
            self.granted_tokens + taken
        } else if available > goal + goal / 2 {
            // Received rights are part of another router's entry and are not returned through this one's.
            self.granted_tokens.saturating_sub(available - goal)
        } else {
            self.granted_tokens
        };
        let known = record.holder(router);
        let is_reported = known.is_some_and(|holder| {
            let rate = self.rate_tokens_per_s as u64;
            holder.spent_tokens + target / 2 + 1 >= self.spent_tokens
                && rate <= holder.rate_tokens_per_s * 2
                && holder.rate_tokens_per_s <= rate * 2 + 64
        });
        if granted == self.granted_tokens && (is_reported || self.spent_tokens == 0) {
            return None;
        }
        Some(self.with_granted(record, router, granted))
    }

    /// Plans the return of everything that is not reserved, for a planned stop.
    pub fn plan_return(&self, record: &TeamRecord, router: u64) -> Option<TeamRecord> {
        let available = self.available_tokens();
        if self.pending.is_some() || available == 0 {
            return None;
        }
        Some(self.with_granted(
            record,
            router,
            self.granted_tokens.saturating_sub(available),
        ))
    }

    /// Notes that a planned record is sent.
    pub fn begin(&mut self, planned: &TeamRecord, router: u64) {
        let Some(holder) = planned.holder(router) else {
            return;
        };
        self.writes = holder.write;
        self.returning_tokens = self.granted_tokens.saturating_sub(holder.granted_tokens);
        self.pending = Some(Pending {
            write: holder.write,
            granted_tokens: holder.granted_tokens,
        });
    }

    /// Ends the pending write.
    pub fn finish(&mut self, was_written: bool) {
        if let Some(pending) = self.pending.take() {
            if was_written {
                self.granted_tokens = pending.granted_tokens;
            }
            self.returning_tokens = 0;
        }
    }

    /// Returns whether a record shows that the pending write took effect.
    pub fn is_written(&self, record: &TeamRecord, router: u64) -> bool {
        let holder = record.holder(router);
        match (self.pending, holder) {
            (Some(pending), Some(holder)) => holder.write == pending.write,
            _ => false,
        }
    }

    /// Notes what the newest record says.
    pub fn observe(&mut self, record: &TeamRecord, router: u64, prepaid: u64) {
        let reported = record
            .holder(router)
            .map_or(0, |holder| holder.spent_tokens);
        let unreported = (self.spent_tokens + self.reserved_tokens).saturating_sub(reported);
        self.unspent_tokens = Some(record.unspent_tokens(prepaid).saturating_sub(unreported));
    }

    /// Gives rights to another router: at most what it asks for, and at most `part_millis` thousandths of what is
    /// available. The record keeps them in this router's entry; an answer that is lost strands them.
    pub fn give(&mut self, asked_tokens: u64, part_millis: u64) -> u64 {
        let given = asked_tokens.min(self.spendable_tokens() * part_millis / 1_000);
        self.given_tokens += given;
        self.asked_tokens = self
            .asked_tokens
            .max(asked_tokens.min(self.granted_tokens) - given.min(self.granted_tokens));
        given
    }

    /// Takes rights that another router gave.
    pub fn receive(&mut self, tokens: u64) {
        self.received_tokens += tokens;
    }

    /// Returns what to ask other routers for so that requests do not wait: the next seconds' need.
    pub fn shortfall_tokens(&self) -> u64 {
        /// Time that the rights should last.
        const AHEAD_MS: u64 = 1_500;
        let ahead = self.rate_tokens_per_s as u64 * AHEAD_MS / 1_000;
        let need = (ahead + self.largest_need_tokens).max(self.wanted_tokens);
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

    fn with_granted(&self, record: &TeamRecord, router: u64, granted: u64) -> TeamRecord {
        let mut next = record.clone();
        next.revision += 1;
        next.granted_tokens = (next.granted_tokens + granted).saturating_sub(self.granted_tokens);
        let entry = Holder {
            router,
            granted_tokens: granted,
            spent_tokens: self.spent_tokens,
            rate_tokens_per_s: self.rate_tokens_per_s as u64,
            write: self.writes + 1,
            revision: next.revision,
        };
        match next
            .holders
            .iter_mut()
            .find(|holder| holder.router == router)
        {
            Some(holder) => *holder = entry,
            None => next.holders.push(entry),
        }
        if next.holders.len() > MAX_HOLDERS {
            let oldest = next.holders.iter().map(|holder| holder.revision).min();
            next.holders
                .retain(|holder| Some(holder.revision) != oldest || holder.router == router);
        }
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
