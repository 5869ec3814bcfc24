//! Journal entries and the proof that a process ended before it could spend beyond its marks.

use prost::Message;

/// Time without a new journal entry after which a router spends all the rights that it holds.
///
/// A process that is killed is back within a second, and its newest entry is at most half a second old.
pub const CUT_OFF_MS: u64 = 1_500;

/// Difference between what the wall clock and the steady clock show above which neither is believed.
const CLOCK_SLACK_MS: u64 = 300;

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
    pub marks: Vec<Mark>,
}

/// Rights of one team that a router may use.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Mark {
    /// Name of the team.
    #[prost(string, tag = "1")]
    pub team: String,
    /// Tokens that the process may have charged, reserved or given away since its start.
    #[prost(uint64, tag = "2")]
    pub open_tokens: u64,
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
}

impl JournalEntry {
    /// Returns whether the process that wrote the entry ended before it could spend beyond its marks.
    ///
    /// The steady clock tells, because it does not jump; the wall clock must agree, because a steady clock starts anew
    /// with the VM and stands still while the VM is suspended.
    pub fn is_reclaimable(&self, now: &ClockReading) -> bool {
        let (Some(steady_ms), Some(wall_ms)) = (
            now.steady_ms.checked_sub(self.steady_ms),
            now.wall_ms.checked_sub(self.wall_ms),
        ) else {
            return false;
        };
        now.boot == self.boot
            && steady_ms + CLOCK_SLACK_MS < CUT_OFF_MS
            && steady_ms.abs_diff(wall_ms) <= CLOCK_SLACK_MS
    }
}
