//! Journal entries: how far a router may spend as its newest entry ages, and how the clocks bound that age.
//!
//! A killed process restarts while its newest entry is still young, so its successor can reclaim everything beyond the
//! initial limit. During an outage of the store the entry ages, and the process may gradually spend all that it holds.

use prost::Message;

/// Age of an entry up to which only its initial limit can be spent.
///
/// A process that is killed is back within two seconds, and its newest entry is at most a quarter of a second old.
pub const LOCK_PERIOD_MS: u64 = 2_000;

/// Time after [`LOCK_PERIOD_MS`] in which all held tokens unlock; an outage of the store lasts seven to nine seconds.
const UNLOCK_PERIOD_MS: u64 = 4_000;

/// Difference between two clocks above which neither is trusted, and the error that is assumed below it.
const MAX_CLOCK_SKEW_MS: u64 = 300;

/// How far a router may spend, counted over the life of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendingLimit {
    /// Limit while the entry is at most [`LOCK_PERIOD_MS`] old.
    pub open_tokens: u64,
    /// Limit once everything is unlocked: all tokens that are held.
    pub held_tokens: u64,
}

impl SpendingLimit {
    /// Returns the limit at an age of the entry; it never falls as the entry ages.
    pub fn at(&self, age_ms: u64) -> u64 {
        let unlocked_ms = age_ms.saturating_sub(LOCK_PERIOD_MS).min(UNLOCK_PERIOD_MS);
        let locked = u128::from(self.held_tokens.saturating_sub(self.open_tokens));
        let unlocked = locked * u128::from(unlocked_ms) / u128::from(UNLOCK_PERIOD_MS);
        self.open_tokens + unlocked as u64
    }

    /// Returns the age from which the limit covers a number of used tokens; `None` if it never does.
    pub fn min_age_for(&self, used_tokens: u64) -> Option<u64> {
        if used_tokens <= self.open_tokens {
            return Some(0);
        }
        if used_tokens > self.held_tokens {
            return None;
        }
        let missing = u128::from(used_tokens - self.open_tokens);
        let locked = u128::from(self.held_tokens - self.open_tokens);
        let unlocked_ms = (missing * u128::from(UNLOCK_PERIOD_MS)).div_ceil(locked);
        Some(LOCK_PERIOD_MS + unlocked_ms as u64)
    }

    /// Returns a limit that is no higher than either of the two at any age.
    pub fn min(self, other: Self) -> Self {
        Self {
            open_tokens: self.open_tokens.min(other.open_tokens),
            held_tokens: self.held_tokens.min(other.held_tokens),
        }
    }
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
    /// Tokens that the process may have charged, reserved or given away since its start.
    #[prost(uint64, tag = "2")]
    pub open_tokens: u64,
    /// The same once the entry is old enough to unlock all held tokens.
    #[prost(uint64, tag = "3")]
    pub held_tokens: u64,
    /// Tokens that the process had charged when the entry was made. With the reserved ones it tells what a reclaim
    /// leaves to the ended process beyond its actual use; the limit does not depend on either.
    #[prost(uint64, tag = "4")]
    pub spent_tokens: u64,
    /// Tokens that were reserved for open requests then.
    #[prost(uint64, tag = "5")]
    pub reserved_tokens: u64,
}

impl TeamLimit {
    /// Creates the stored form of a limit.
    pub fn new(team: &str, limit: SpendingLimit) -> Self {
        Self {
            team: team.into(),
            open_tokens: limit.open_tokens,
            held_tokens: limit.held_tokens,
            ..Self::default()
        }
    }

    /// Returns how far the process may spend, depending on the age of the entry.
    pub fn limit(&self) -> SpendingLimit {
        SpendingLimit {
            open_tokens: self.open_tokens,
            held_tokens: self.held_tokens,
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

impl JournalEntry {
    /// Returns an upper bound on the age of the entry when the clocks were read; `None` if they give no reliable bound.
    ///
    /// Within one boot the monotonic clock is used, because the process that wrote the entry counted its age by the
    /// same clock; the wall clock must agree, because a monotonic clock starts again with the VM. After a loss of power
    /// the fleet time is used, which no single wrong clock can falsify.
    pub fn max_age_at(&self, now: &ClockReading) -> Option<u64> {
        self.monotonic_age(now).or_else(|| self.fleet_age(now))
    }

    fn monotonic_age(&self, now: &ClockReading) -> Option<u64> {
        let steady_ms = now.steady_ms.checked_sub(self.steady_ms)?;
        let wall_ms = now.wall_ms.checked_sub(self.wall_ms)?;
        let agrees = now.boot == self.boot && steady_ms.abs_diff(wall_ms) <= MAX_CLOCK_SKEW_MS;
        agrees.then_some(steady_ms + MAX_CLOCK_SKEW_MS)
    }

    fn fleet_age(&self, now: &ClockReading) -> Option<u64> {
        let age_ms = (now.fleet_ms? + MAX_CLOCK_SKEW_MS).checked_sub(self.fleet_ms?)?;
        Some(age_ms.max(MAX_CLOCK_SKEW_MS))
    }
}
