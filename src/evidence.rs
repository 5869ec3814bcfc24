//! Results of the two versions of a rollout: counts per process and a sequential test over the whole fleet.
//!
//! Each process counts the results of a rollout's requests by route and version, and appends the counts to the log at
//! most once per [`REPORT_INTERVAL_MS`]. Every process folds them into the same test. See `docs/policies/rollout.md`.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::record;

mod change_detector;
mod comparison;
mod e_process;
mod tally;
mod version_test;

pub use comparison::{ClosedStratum, Comparison, Finding, Metric};
pub use tally::{Tally, TallyPair};
pub use version_test::VersionTest;

/// Minimum time between two batches of evidence from one process.
///
/// The share of a bad version stops growing only when the evidence is folded, so the interval is well below the 2 s
/// within which a rollback must be in force. With 9 routers it adds at most 18 entries per second to the log.
pub const REPORT_INTERVAL_MS: u64 = 500;

/// Number of buckets of the latency histogram; the last one starts at 185 s.
pub const LATENCY_BUCKETS: usize = 72;

/// Buckets per doubling of the latency. A bucket is 19% wide, so a ratio of 1.3 spans more than one.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Returns the middle of a latency bucket as the natural logarithm of milliseconds.
pub fn bucket_log_latency(bucket: usize) -> f64 {
    (bucket as f64 - 0.5).max(0.0) / BUCKETS_PER_DOUBLING * std::f64::consts::LN_2
}

/// Returns the bucket of a latency, measured from dispatch to the first byte of the response.
pub fn latency_bucket(latency_ms: f64) -> usize {
    if latency_ms <= 1.0 {
        return 0;
    }
    ((latency_ms.log2() * BUCKETS_PER_DOUBLING) as usize + 1).min(LATENCY_BUCKETS - 1)
}

/// Result of a request of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream returned a complete response.
    Success {
        /// Time from dispatch to the first byte of the response.
        latency_ms: f64,
    },
    /// The upstream returned an error, closed the connection early or exceeded a time limit.
    Failure,
}

/// Experiment arm of a request: route, step and version. It is fixed when the request is dispatched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arm {
    /// Name of the rollout.
    pub rollout: CompactString,
    /// Route, as callers use it.
    pub route: CompactString,
    /// Step of the rollout that was in force at dispatch.
    pub step: u32,
    /// Whether the new version serves the request.
    pub is_new: bool,
}

/// Counts of one process that have not been handed to the log writer yet.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    counts: BTreeMap<Arm, Tally>,
    last_taken_ms: u64,
}

impl Collector {
    /// Counts the result of a request; only its first attempt may be counted.
    ///
    /// The attempts of one request are correlated, so counting each of them would make the test assume more independent
    /// requests than there were. A crash caused by a quarantined request must not be counted either.
    pub fn count(&mut self, arm: &Arm, outcome: Outcome) {
        if !self.counts.contains_key(arm) {
            self.counts.insert(arm.clone(), Tally::default());
        }
        let Some(counts) = self.counts.get_mut(arm) else {
            return;
        };
        counts.count(outcome);
    }

    /// Returns the time from which [`Self::take`] returns entries, or `None` if there are no counts.
    pub fn due_ms(&self) -> Option<u64> {
        (!self.counts.is_empty()).then_some(self.last_taken_ms + REPORT_INTERVAL_MS)
    }

    /// Returns the counts since the last call as log entries, at most once per [`REPORT_INTERVAL_MS`].
    ///
    /// If the entries cannot be appended, the log writer keeps them; the order of evidence does not matter.
    pub fn take(&mut self, now_ms: u64) -> Vec<record::Evidence> {
        if self.counts.is_empty() || now_ms < self.last_taken_ms + REPORT_INTERVAL_MS {
            return Vec::new();
        }
        self.last_taken_ms = now_ms;
        std::mem::take(&mut self.counts)
            .into_iter()
            .map(|(arm, counts)| record::Evidence {
                id: arm.rollout.into(),
                route: arm.route.into(),
                is_new: arm.is_new,
                total: counts.total,
                failed: counts.failed,
                latency_counts: counts.latency_counts,
                step: arm.step,
                end_ms: now_ms,
            })
            .collect()
    }
}
