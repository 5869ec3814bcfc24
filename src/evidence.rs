//! Results of the two versions of a rollout: counting in each process and the sequential test over the fleet.
//!
//! Each process counts the requests of a rollout by route and version and writes the counts to the log, at most once in
//! [`REPORT_INTERVAL_MS`]. Every process folds them into the same test. See `docs/policies/rollout.md`.

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

/// Shortest time between two batches of evidence of one process.
///
/// The share of a bad version stops growing only when the evidence is folded, so the period is well below the 2 s in
/// which a rollback must be in force; at 9 routers it adds at most 18 entries a second to the log's batches.
pub const REPORT_INTERVAL_MS: u64 = 500;

/// Number of latency buckets.
pub const LATENCY_BUCKETS: usize = 72;

/// Buckets for each doubling of the latency; a bucket is 19% wide, so that a ratio of 1.3 spans more than one.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Returns the middle of a bucket as the natural logarithm of milliseconds.
pub fn bucket_log_latency(bucket: usize) -> f64 {
    (bucket as f64 - 0.5).max(0.0) / BUCKETS_PER_DOUBLING * std::f64::consts::LN_2
}

/// Returns the bucket of a latency, counted from dispatch to the first byte of the response.
pub fn latency_bucket(latency_ms: f64) -> usize {
    if latency_ms <= 1.0 {
        return 0;
    }
    ((latency_ms.log2() * BUCKETS_PER_DOUBLING) as usize + 1).min(LATENCY_BUCKETS - 1)
}

/// How a request of a rollout ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The response was complete.
    Success {
        /// Time from dispatch to the first byte of the response.
        latency_ms: f64,
    },
    /// The upstream answered with an error, broke the connection or took too long.
    Failure,
}

/// The part of a rollout to which a request belongs; it is fixed when the request is dispatched.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arm {
    /// Name of the rollout.
    pub rollout: CompactString,
    /// Route, as callers use it.
    pub route: CompactString,
    /// Step in force at dispatch.
    pub step: u32,
    /// Whether the new version serves the request.
    pub is_new: bool,
}

/// Counts of one process that are not yet on their way to the log.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    counts: BTreeMap<Arm, Tally>,
    last_taken_ms: u64,
}

impl Collector {
    /// Counts the result of a request; only its first attempt may be counted.
    ///
    /// Attempts of one request share its fate, so counting each of them would make the test see more independent
    /// requests than there were. A crash caused by a quarantined request is not counted either.
    pub fn count(&mut self, arm: &Arm, outcome: Outcome) {
        if !self.counts.contains_key(arm) {
            self.counts.insert(arm.clone(), Tally::default());
        }
        let Some(counts) = self.counts.get_mut(arm) else {
            return;
        };
        counts.count(outcome);
    }

    /// Returns the time at which [`Self::take`] has something to give, if there is anything.
    pub fn due_ms(&self) -> Option<u64> {
        (!self.counts.is_empty()).then_some(self.last_taken_ms + REPORT_INTERVAL_MS)
    }

    /// Returns the counts since the last call as log entries, at most once in [`REPORT_INTERVAL_MS`].
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
