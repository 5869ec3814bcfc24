//! Journal entries: how far a router may spend as its newest entry ages, and how the clocks bound that age.
//!
//! A killed process restarts while its newest entry is still young, so its successor can reclaim everything beyond the
//! initial limit. During an outage of the store the entry ages, and the limit follows the rate at which the process
//! spends. What it allows at the start of the successor counts as spent, also what nobody needed, so it allows no more
//! than that rate. See `docs/design.md`, section 10.

use prost::Message;

/// Age of an entry up to which only its initial limit can be spent.
///
/// The newest entry is at most a quarter of a second old when its process ends, and a killed process is back within one
/// second. A loss of power takes up to half a second more, with the error of the fleet time.
pub const LOCK_PERIOD_MS: u64 = 1_500;

/// Age from which the limit is what the rate of spending gives for the whole age; it catches up after the lock period.
const CATCH_UP_AGE_MS: u64 = 2 * LOCK_PERIOD_MS;

/// Difference between two clocks above which neither is trusted, and the error that is assumed below it.
const MAX_CLOCK_SKEW_MS: u64 = 300;

/// Error of the difference between two readings of the same clock, which are rounded to milliseconds.
const ROUNDING_MS: u64 = 2;

/// How far a router may spend, counted over the life of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendingLimit {
    /// Limit while the entry is at most [`LOCK_PERIOD_MS`] old.
    pub open_tokens: u64,
    /// Highest limit at any age: all tokens that are held.
    pub held_tokens: u64,
    /// Rate of spending that the limit follows as the entry ages.
    pub rate_tokens_per_s: u64,
}

impl SpendingLimit {
    /// Returns the limit at an age of the entry; it never falls as the entry ages.
    pub fn at(&self, age_ms: u64) -> u64 {
        let unlocked = u128::from(self.rate_tokens_per_s) * u128::from(unlocked_ms(age_ms)) / 1_000;
        let unlocked = u64::try_from(unlocked).unwrap_or(u64::MAX);
        let limit = self.open_tokens.saturating_add(unlocked);
        limit.min(self.held_tokens.max(self.open_tokens))
    }

    /// Returns the age from which the limit covers a number of used tokens; `None` if it never does.
    pub fn min_age_for(&self, used_tokens: u64) -> Option<u64> {
        if used_tokens <= self.open_tokens {
            return Some(0);
        }
        if used_tokens > self.held_tokens || self.rate_tokens_per_s == 0 {
            return None;
        }
        let missing = u128::from(used_tokens - self.open_tokens) * 1_000;
        let spending_ms = missing.div_ceil(u128::from(self.rate_tokens_per_s));
        let spending_ms = u64::try_from(spending_ms).ok()?;
        let catch_up_ms = u128::from(spending_ms) * u128::from(CATCH_UP_AGE_MS - LOCK_PERIOD_MS);
        let catch_up_ms = u64::try_from(catch_up_ms.div_ceil(u128::from(CATCH_UP_AGE_MS))).ok()?;
        Some(spending_ms.max(LOCK_PERIOD_MS.saturating_add(catch_up_ms)))
    }

    /// Returns a limit that is no higher than either of the two at any age.
    pub fn min(self, other: Self) -> Self {
        Self {
            open_tokens: self.open_tokens.min(other.open_tokens),
            held_tokens: self.held_tokens.min(other.held_tokens),
            rate_tokens_per_s: self.rate_tokens_per_s.min(other.rate_tokens_per_s),
        }
    }
}

/// Returns the time of spending that is unlocked at an age of an entry.
fn unlocked_ms(age_ms: u64) -> u64 {
    let beyond_lock_ms = u128::from(age_ms.saturating_sub(LOCK_PERIOD_MS));
    let catch_up_ms =
        beyond_lock_ms * u128::from(CATCH_UP_AGE_MS) / u128::from(CATCH_UP_AGE_MS - LOCK_PERIOD_MS);
    age_ms.min(u64::try_from(catch_up_ms).unwrap_or(u64::MAX))
}

/// Newest entry in the journal of one VM.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct JournalEntry {
    /// Random id of the process.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Sequence number of the entry, counted by the process.
    #[prost(uint64, tag = "2")]
    pub write: u64,
    /// Monotonic clock of the VM when the entry was made.
    #[prost(uint64, tag = "3")]
    pub steady_ms: u64,
    /// Wall clock of the VM when the entry was made.
    #[prost(uint64, tag = "4")]
    pub wall_ms: u64,
    /// Boot id of the VM's kernel; empty if it cannot be read.
    #[prost(string, tag = "5")]
    pub boot: String,
    /// Spending limits of all teams.
    #[prost(message, repeated, tag = "6")]
    pub marks: Vec<TeamLimit>,
    /// Fleet time when the entry was made, see [`crate::fleet_clock`]; `None` if it was not known.
    #[prost(uint64, optional, tag = "7")]
    pub fleet_ms: Option<u64>,
    /// Epoch of the store when the entry was made, see [`crate::store::Store::epoch`].
    #[prost(uint64, tag = "8")]
    pub epoch: u64,
}

/// Spending limit of a router for one team, as stored in a [`JournalEntry`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamLimit {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that the process may have charged, reserved or given away since its start, up to the end of the lock period
    /// of the entry.
    #[prost(uint64, tag = "2")]
    pub open_tokens: u64,
    /// The same at any age of the entry.
    #[prost(uint64, tag = "3")]
    pub held_tokens: u64,
    /// Tokens that the process had charged when the entry was made. With the reserved ones it tells what a reclaim
    /// leaves to the ended process beyond its actual use; the limit does not depend on either.
    #[prost(uint64, tag = "4")]
    pub spent_tokens: u64,
    /// Tokens that were reserved for open requests then.
    #[prost(uint64, tag = "5")]
    pub reserved_tokens: u64,
    /// Rate of spending that the limit follows. Entries of versions whose limits followed no rate have none.
    #[prost(uint64, optional, tag = "6")]
    pub rate_tokens_per_s: Option<u64>,
}

impl TeamLimit {
    /// Creates the stored form of a limit.
    pub fn new(team: &str, limit: SpendingLimit) -> Self {
        Self {
            team: team.into(),
            open_tokens: limit.open_tokens,
            held_tokens: limit.held_tokens,
            rate_tokens_per_s: Some(limit.rate_tokens_per_s),
            ..Self::default()
        }
    }

    /// Returns how far the process may spend, depending on the age of the entry.
    ///
    /// A process of a version whose limits followed no rate may have spent all that it held.
    pub fn limit(&self) -> SpendingLimit {
        let open_tokens = match self.rate_tokens_per_s {
            Some(_) => self.open_tokens,
            None => self.held_tokens,
        };
        SpendingLimit {
            open_tokens,
            held_tokens: self.held_tokens,
            rate_tokens_per_s: self.rate_tokens_per_s.unwrap_or(0),
        }
    }
}

/// Readings of the clocks that are visible on a VM, taken together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic clock, which all processes of the same boot share.
    pub steady_ms: u64,
    /// Wall clock.
    pub wall_ms: u64,
    /// Boot id of the VM's kernel; empty if it cannot be read.
    pub boot: String,
    /// Fleet time, if enough clocks are known.
    pub fleet_ms: Option<u64>,
}

/// Readings of a VM's clocks minus those in a journal entry. A clock that was set back or started again gives a negative
/// difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockDifference {
    /// Difference of the monotonic clocks.
    pub steady_ms: i64,
    /// Difference of the wall clocks.
    pub wall_ms: i64,
}

impl JournalEntry {
    /// Returns by how much the clocks differ from those of the entry, for the log. The age follows from
    /// [`JournalEntry::max_age_at`] alone.
    pub fn clock_difference(&self, now: &ClockReading) -> ClockDifference {
        ClockDifference {
            steady_ms: now.steady_ms.wrapping_sub(self.steady_ms) as i64,
            wall_ms: now.wall_ms.wrapping_sub(self.wall_ms) as i64,
        }
    }

    /// Returns an upper bound on the age of the entry when the clocks were read; `None` if they give no reliable bound.
    ///
    /// Within one boot the monotonic clock is used, because the process that wrote the entry counted its age by the
    /// same clock. The wall clock must agree, because a monotonic clock starts again with the VM; if the boot cannot be
    /// identified, what the two may differ by is added. After a loss of power the fleet time is used, which no single
    /// wrong clock can falsify.
    pub fn max_age_at(&self, now: &ClockReading) -> Option<u64> {
        self.monotonic_age(now).or_else(|| self.fleet_age(now))
    }

    fn monotonic_age(&self, now: &ClockReading) -> Option<u64> {
        let steady_ms = now.steady_ms.checked_sub(self.steady_ms)?;
        let wall_ms = now.wall_ms.checked_sub(self.wall_ms)?;
        let agrees = now.boot == self.boot && steady_ms.abs_diff(wall_ms) <= MAX_CLOCK_SKEW_MS;
        let error_ms = if self.boot.is_empty() {
            MAX_CLOCK_SKEW_MS
        } else {
            ROUNDING_MS
        };
        agrees.then_some(steady_ms + error_ms)
    }

    fn fleet_age(&self, now: &ClockReading) -> Option<u64> {
        let age_ms = (now.fleet_ms? + MAX_CLOCK_SKEW_MS).checked_sub(self.fleet_ms?)?;
        Some(age_ms.max(MAX_CLOCK_SKEW_MS))
    }
}
