//! Time that a fleet agrees on, from the wall clocks of its VMs.
//!
//! Wall clocks may jump, but not those of most VMs at once. The time of the fleet is the median of the clocks of this VM
//! and of others, so it holds as long as fewer than half of the sampled clocks are wrong. Samples are kept relative to the
//! steady clock of this VM, which does not jump; while the VM is suspended its steady clock stands still and the time of
//! the fleet is behind, never ahead.
//!
//! Spending rights of a process that lost power are taken back by this time, see [`crate::allowance`].

use std::collections::VecDeque;
use std::net::SocketAddr;

/// Clocks, that of this VM among them, from which the time of the fleet is known.
pub const MIN_CLOCKS: usize = 3;

/// Age at which a sample no longer counts; a peer is asked again long before.
const MAX_AGE_MS: u64 = 20_000;

/// Samples that are kept; more clocks make the median no safer.
const MAX_SAMPLES: usize = 15;

#[derive(Clone, Copy, Debug)]
struct Sample {
    peer: SocketAddr,
    at_ms: u64,
    /// Wall clock of the peer less the steady clock of this VM.
    offset_ms: i64,
}

/// Samples of the clocks of other VMs.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    samples: VecDeque<Sample>,
}

impl FleetClock {
    /// Notes what the wall clock of another VM showed at a time of the steady clock of this one.
    pub fn add_sample(&mut self, peer: SocketAddr, wall_ms: u64, steady_ms: u64) {
        self.samples.retain(|sample| sample.peer != peer);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            peer,
            at_ms: steady_ms,
            offset_ms: wall_ms as i64 - steady_ms as i64,
        });
    }

    /// Returns the time of the fleet; `None` if too few clocks are known.
    pub fn now_ms(&self, wall_ms: u64, steady_ms: u64) -> Option<u64> {
        let own_ms = wall_ms as i64 - steady_ms as i64;
        let fresh = self
            .samples
            .iter()
            .filter(|sample| steady_ms.saturating_sub(sample.at_ms) <= MAX_AGE_MS);
        let mut offsets: Vec<i64> = fresh.map(|sample| sample.offset_ms).collect();
        offsets.push(own_ms);
        if offsets.len() < MIN_CLOCKS {
            return None;
        }
        offsets.sort_unstable();
        let median_ms = offsets[offsets.len() / 2];
        u64::try_from(steady_ms as i64 + median_ms).ok()
    }
}
