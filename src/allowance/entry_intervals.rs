//! Times between two journal entries.

/// Longest time between two entries while rights are held. The newest entry must be recent when the process is killed.
const INTERVAL_MS: u64 = 200;

/// Part of the writing calls that the store accepts which all routers together use for entries at these intervals, in
/// percent.
const WRITES_PERCENT: u64 = 25;

/// The same for entries that are written early, before any request has to wait.
const EARLY_WRITES_PERCENT: u64 = 50;

/// Shortest time between two entries.
const MIN_INTERVAL_MS: u64 = 15;

/// Shortest time between two entries if no request waits for the next one.
const MIN_EARLY_INTERVAL_MS: u64 = 50;

/// Why the next journal entry is written before its interval has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryNeed {
    /// There is no reason.
    #[default]
    None,
    /// Less than half of what the last entry lets this router spend at once is left.
    Early,
    /// Requests wait for it.
    Now,
}

/// Times between two journal entries of one router, so that the store accepts the entries of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryIntervals {
    shortest_ms: u64,
    early_ms: u64,
    longest_ms: u64,
}

impl EntryIntervals {
    /// Returns the intervals for a number of routers, the number of those that hold rights, and the rate of writing
    /// calls that the store accepts.
    pub fn new(routers: u64, holders: u64, writes_per_s: u64) -> Self {
        let interval_ms =
            |writers: u64, percent: u64| writers * 100_000 / (writes_per_s * percent).max(1);
        let holders = holders.clamp(1, routers.max(1));
        Self {
            // Even if each holder writes as often as it may, the store accepts the calls.
            shortest_ms: interval_ms(holders, 100).max(MIN_INTERVAL_MS),
            early_ms: interval_ms(holders, EARLY_WRITES_PERCENT).max(MIN_EARLY_INTERVAL_MS),
            longest_ms: interval_ms(routers, WRITES_PERCENT).max(INTERVAL_MS),
        }
    }

    /// Returns the time after the last entry at which the next one is written.
    pub fn wait_ms(&self, need: EntryNeed) -> u64 {
        match need {
            EntryNeed::None => self.longest_ms,
            EntryNeed::Early => self.early_ms,
            EntryNeed::Now => self.shortest_ms,
        }
    }
}
