//! Journal entries: how far a router may spend as its entry grows old, and what the clocks show of that age.

use prost::Message;

/// Age of an entry up to which only its mark can be spent.
///
/// A process that is killed is back within two seconds, and its newest entry is at most a quarter of a second old.
pub const LOCK_PERIOD_MS: u64 = 2_000;

/// Time in which everything that is held becomes spendable after that; an outage of the store lasts seven to nine seconds.
const UNLOCKING_MS: u64 = 4_000;

/// Difference between two clocks of VMs above which they are not believed, and error that is assumed below it.
const CLOCK_SLACK_MS: u64 = 300;

/// How far a router may spend, counted over its whole life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpendingLimit {
    /// SpendingLimit while the entry is young.
    pub open_tokens: u64,
    /// SpendingLimit once it is old: everything that is held.
    pub held_tokens: u64,
}

impl SpendingLimit {
    /// Returns the limit when the entry has an age; it never falls with the age.
    pub fn at(&self, age_ms: u64) -> u64 {
        let unlocked_ms = age_ms.saturating_sub(LOCK_PERIOD_MS).min(UNLOCKING_MS);
        let locked = u128::from(self.held_tokens.saturating_sub(self.open_tokens));
        let unlocked = locked * u128::from(unlocked_ms) / u128::from(UNLOCKING_MS);
        self.open_tokens + unlocked as u64
    }

    /// Returns the age from which the limit covers a use; `None` if it never does.
    pub fn min_age_for(&self, used_tokens: u64) -> Option<u64> {
        if used_tokens <= self.open_tokens {
            return Some(0);
        }
        if used_tokens > self.held_tokens {
            return None;
        }
        let missing = u128::from(used_tokens - self.open_tokens);
        let locked = u128::from(self.held_tokens - self.open_tokens);
        let unlocked_ms = (missing * u128::from(UNLOCKING_MS)).div_ceil(locked);
        Some(LOCK_PERIOD_MS + unlocked_ms as u64)
    }

    /// Returns the limit that is no higher than either at any age.
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
    /// Number of the entry, counted by the process.
    #[prost(uint64, tag = "2")]
    pub write: u64,
    /// Steady clock of the VM when the entry was made.
    #[prost(uint64, tag = "3")]
    pub steady_ms: u64,
    /// Wall clock of the VM when the entry was made.
    #[prost(uint64, tag = "4")]
    pub wall_ms: u64,
    /// Identity of the VM's boot, as far as its kernel tells.
    #[prost(string, tag = "5")]
    pub boot: String,
    /// Marks of all teams.
    #[prost(message, repeated, tag = "6")]
    pub marks: Vec<TeamLimit>,
    /// Time of the fleet when the entry was made, see [`crate::fleet_clock`].
    #[prost(uint64, optional, tag = "7")]
    pub fleet_ms: Option<u64>,
}

/// Rights of one team that a router may use.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TeamLimit {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that the process may have charged, reserved or given away since its start.
    #[prost(uint64, tag = "2")]
    pub open_tokens: u64,
    /// The same once the entry is old.
    #[prost(uint64, tag = "3")]
    pub held_tokens: u64,
}

impl TeamLimit {
    /// Makes the mark of a team.
    pub fn new(team: &str, limit: SpendingLimit) -> Self {
        Self {
            team: team.into(),
            open_tokens: limit.open_tokens,
            held_tokens: limit.held_tokens,
        }
    }

    /// Returns how far the process may spend.
    pub fn limit(&self) -> SpendingLimit {
        SpendingLimit {
            open_tokens: self.open_tokens,
            held_tokens: self.held_tokens,
        }
    }
}

/// What the clocks of a VM show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Steady clock, which other processes of the same boot share.
    pub steady_ms: u64,
    /// Wall clock.
    pub wall_ms: u64,
    /// Identity of the boot.
    pub boot: String,
    /// Time of the fleet, if enough clocks are known.
    pub fleet_ms: Option<u64>,
}

impl JournalEntry {
    /// Returns the largest age that the entry can have had when the clocks were read; `None` if they do not tell.
    ///
    /// Within one boot the steady clock tells, because the process that wrote the entry counted its age by the same
    /// clock; the wall clock must agree, because a steady clock starts anew with the VM. After a loss of power the time
    /// of the fleet tells, which no single clock can falsify.
    pub fn max_age_at(&self, now: &ClockReading) -> Option<u64> {
        self.steady_age(now).or_else(|| self.fleet_age(now))
    }

    fn steady_age(&self, now: &ClockReading) -> Option<u64> {
        let steady_ms = now.steady_ms.checked_sub(self.steady_ms)?;
        let wall_ms = now.wall_ms.checked_sub(self.wall_ms)?;
        let agrees = now.boot == self.boot && steady_ms.abs_diff(wall_ms) <= CLOCK_SLACK_MS;
        agrees.then_some(steady_ms + CLOCK_SLACK_MS)
    }

    fn fleet_age(&self, now: &ClockReading) -> Option<u64> {
        let age_ms = (now.fleet_ms? + CLOCK_SLACK_MS).checked_sub(self.fleet_ms?)?;
        Some(age_ms.max(CLOCK_SLACK_MS))
    }
}
