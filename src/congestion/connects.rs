//! Detection of a saturated network link or processor on this VM, from the connect times of upstreams.
//!
//! Upstreams are a few milliseconds away, so connects to several of them that take much longer at the same time mean
//! that packets queue at this VM. A single slow or silent upstream does not count, and neither does a single slow
//! connect.

use std::collections::VecDeque;

use compact_str::CompactString;

/// Time for which a sample counts.
const WINDOW_MS: u64 = 1_000;

/// Connect time from which a connect counts as slow; a round trip between data centres takes at most 3 ms.
pub const SLOW_CONNECT_MS: u64 = 60;

/// Smallest number of slow connects that indicates congestion.
const MIN_SLOW_CONNECTS: usize = 4;

/// Smallest number of upstreams to which connects are slow that indicates congestion.
const MIN_SLOW_UPSTREAMS: usize = 3;

/// Largest number of samples that are kept.
const MAX_SAMPLES: usize = 256;

/// Shortest time for which the VM counts as congested; the load balancer takes two seconds to notice a change.
const MIN_CONGESTED_MS: u64 = 3_000;

/// Shortest congestion that other routers are told of; longer than [`MIN_CONGESTED_MS`], so that connects have to be
/// slow again after congestion was detected.
const SUSTAINED_MS: u64 = 3_500;

/// Time without congestion after which other routers are told of its end.
///
/// A change moves the rights of all teams that the VM holds, and every move makes some requests wait.
const REPORT_HOLD_MS: u64 = 60_000;

#[derive(Clone, Debug)]
struct ConnectSample {
    upstream: CompactString,
    at_ms: u64,
    is_slow: bool,
}

/// Detector of congestion from the connects to upstreams in the last second.
#[derive(Clone, Debug, Default)]
pub struct CongestionDetector {
    samples: VecDeque<ConnectSample>,
    congested_until_ms: u64,
}

impl CongestionDetector {
    /// Records how long a connect to an upstream took, whether it succeeded or not.
    pub fn record_connect(&mut self, upstream: &str, elapsed_ms: u64, now_ms: u64) {
        let is_expired = |sample: &ConnectSample| now_ms.saturating_sub(sample.at_ms) > WINDOW_MS;
        while self.samples.len() >= MAX_SAMPLES || self.samples.front().is_some_and(is_expired) {
            self.samples.pop_front();
        }
        self.samples.push_back(ConnectSample {
            upstream: upstream.into(),
            at_ms: now_ms,
            is_slow: elapsed_ms >= SLOW_CONNECT_MS,
        });
        if self.slow_connects(now_ms) >= MIN_SLOW_CONNECTS {
            self.congested_until_ms = now_ms + MIN_CONGESTED_MS;
        }
    }

    /// Returns whether the VM is congested.
    pub fn is_congested(&self, now_ms: u64) -> bool {
        now_ms < self.congested_until_ms
    }

    /// Returns whether a connect that times out now may be the fault of this VM rather than of its upstream.
    ///
    /// This needs less evidence than congestion, because the consequence is smaller: the upstream is still avoided, but
    /// not refused while no other one is left.
    pub fn is_suspected(&self, now_ms: u64) -> bool {
        self.is_congested(now_ms) || self.slow_connects(now_ms) > 0
    }

    /// Returns the number of slow connects in the last second if they are most of all and to several upstreams, and 0
    /// otherwise.
    fn slow_connects(&self, now_ms: u64) -> usize {
        let is_recent = |sample: &&ConnectSample| now_ms.saturating_sub(sample.at_ms) <= WINDOW_MS;
        let recent = || self.samples.iter().filter(is_recent);
        let slow = || recent().filter(|sample| sample.is_slow);
        let count = slow().count();
        let mut upstreams: Vec<&str> = slow().map(|sample| sample.upstream.as_str()).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        if count * 2 > recent().count() && upstreams.len() >= MIN_SLOW_UPSTREAMS {
            count
        } else {
            0
        }
    }
}

/// What other routers are told of this VM's congestion: that it is sustained, and its end only after a long time.
#[derive(Clone, Debug, Default)]
pub struct ReportedCongestion {
    /// Start of the present congestion; `None` while there is none.
    since_ms: Option<u64>,
    /// Time until which congestion is reported.
    reported_until_ms: u64,
}

impl ReportedCongestion {
    /// Applies whether the VM is congested; returns whether congestion is reported.
    pub fn update(&mut self, is_congested: bool, now_ms: u64) -> bool {
        self.since_ms = is_congested.then(|| self.since_ms.unwrap_or(now_ms));
        let congested_ms = self
            .since_ms
            .map(|since_ms| now_ms.saturating_sub(since_ms));
        if congested_ms.is_some_and(|congested_ms| congested_ms >= SUSTAINED_MS) {
            self.reported_until_ms = now_ms + REPORT_HOLD_MS;
        }
        now_ms < self.reported_until_ms
    }
}
