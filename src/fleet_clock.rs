//! Fleet time: the median of the wall clocks of several VMs.
//!
//! Wall clocks may jump, but not those of most VMs at once. The median of the clocks of this VM and of others is
//! correct as long as fewer than half of the sampled clocks are wrong. Samples are stored as offsets from the monotonic
//! clock of this VM, which does not jump; while the VM is suspended, that clock stands still, so the fleet time can be
//! behind but never ahead.
//!
//! The fleet time bounds the age of the journal entry of a process that lost power, so that its tokens can be
//! reclaimed, see [`crate::allowance`].

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Smallest number of clocks, including that of this VM, from which the fleet time is derived.
pub const MIN_CLOCKS: usize = 3;

/// Age above which a sample no longer counts; a peer is asked again long before.
const MAX_SAMPLE_AGE_MS: u64 = 20_000;

/// Largest number of samples that are kept; more clocks make the median no safer.
const MAX_SAMPLES: usize = 15;

#[derive(Clone, Copy, Debug)]
struct Sample {
    peer: SocketAddr,
    sampled_ms: u64,
    /// Wall clock of the peer minus the monotonic clock of this VM.
    offset_ms: i64,
}

/// Samples of the wall clocks of other VMs.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    samples: VecDeque<Sample>,
}

impl FleetClock {
    /// Adds a reading of a peer's wall clock, taken at `monotonic_ms` of this VM's monotonic clock.
    ///
    /// It replaces the previous sample of the same peer.
    pub fn add_sample(&mut self, peer: SocketAddr, wall_ms: u64, monotonic_ms: u64) {
        self.samples.retain(|sample| sample.peer != peer);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            peer,
            sampled_ms: monotonic_ms,
            offset_ms: wall_ms as i64 - monotonic_ms as i64,
        });
    }

    /// Returns the fleet time, given both clocks of this VM; `None` if fewer than [`MIN_CLOCKS`] clocks are known.
    pub fn now_ms(&self, wall_ms: u64, monotonic_ms: u64) -> Option<u64> {
        let own_offset_ms = wall_ms as i64 - monotonic_ms as i64;
        let fresh = self
            .samples
            .iter()
            .filter(|sample| monotonic_ms.saturating_sub(sample.sampled_ms) <= MAX_SAMPLE_AGE_MS);
        let mut offsets: Vec<i64> = fresh.map(|sample| sample.offset_ms).collect();
        offsets.push(own_offset_ms);
        if offsets.len() < MIN_CLOCKS {
            return None;
        }
        offsets.sort_unstable();
        let median_offset_ms = offsets[offsets.len() / 2];
        u64::try_from(monotonic_ms as i64 + median_offset_ms).ok()
    }
}
