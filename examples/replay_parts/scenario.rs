//! Faults during the replayed day.

/// What fails during the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    Healthy,
    LogOutage,
    Partition,
    Kills,
}

/// The fault lasts one hour, from noon on, which is the busiest time of the day.
const FAULT_START_MS: u64 = 43_200_000;
const FAULT_END_MS: u64 = FAULT_START_MS + 3_600_000;

/// Time between two kills.
pub const KILL_INTERVAL_MS: u64 = 600_000;

impl Scenario {
    pub const ALL: [Self; 4] = [Self::Healthy, Self::LogOutage, Self::Partition, Self::Kills];

    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "healthy log",
            Self::LogOutage => "log unavailable 1 h",
            Self::Partition => "1 of 3 data centres cut off 1 h",
            Self::Kills => "1 of 9 VMs killed every 10 min",
        }
    }

    pub fn is_fault_active(self, now_ms: u64) -> bool {
        (FAULT_START_MS..FAULT_END_MS).contains(&now_ms)
    }

    /// Returns whether a data centre is cut off from the log and from the other data centres.
    pub fn is_cut_off(self, now_ms: u64, data_centre: usize) -> bool {
        self == Self::Partition && data_centre == 0 && self.is_fault_active(now_ms)
    }

    pub fn is_log_reachable(self, now_ms: u64, router: usize) -> bool {
        let is_down = self == Self::LogOutage && self.is_fault_active(now_ms);
        !is_down && !self.is_cut_off(now_ms, data_centre_of(router))
    }
}

/// Returns the data centre of a router; each data centre has three routers.
pub fn data_centre_of(router: usize) -> usize {
    router / 3
}
