//! Detection of a difference between the versions that may start at any time.

use serde::{Deserialize, Serialize};

use super::e_process::{EProcess, LogEValues};
use super::{Metric, REPORT_INTERVAL_MS};

/// Weight of a difference that exists from the start.
const START_WEIGHT: f64 = 0.5;

/// Weight of all differences that start with a step. Step `n`, counted from 2, gets `1 / (n (n + 1))` of twice this
/// value.
const STEP_WEIGHT: f64 = 0.25;

/// Weight of all differences that start at any other time.
const LATER_WEIGHT: f64 = 0.25;

/// Evidence on both metrics for a difference that may start at any time.
///
/// Each possible start gets a part of the total weight of 1, so the bound on the error probability holds for all of
/// them together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ChangeDetector {
    /// Evidence on failures and on latency.
    detectors: [EProcess; 2],
    /// Number of strata among which [`LATER_WEIGHT`] is divided.
    later_strata: u64,
    /// Number of strata added so far.
    closed: u64,
    steps: u32,
}

impl ChangeDetector {
    /// Creates a detector for a comparison that is expected to last `expected_ms`.
    pub(super) fn new(expected_ms: u64) -> Self {
        Self {
            detectors: [EProcess::without_weight(), EProcess::without_weight()],
            later_strata: (expected_ms / REPORT_INTERVAL_MS).max(1),
            closed: 0,
            steps: 1,
        }
    }

    /// Adds a stratum; `is_first_of_step` tells whether the share of the new version changed before it.
    pub(super) fn add(&mut self, values: &[Option<LogEValues>; 2], is_first_of_step: bool) {
        let weight = self.weight(is_first_of_step);
        for (detector, values) in self.detectors.iter_mut().zip(values) {
            match values {
                Some(values) => detector.add(values, weight),
                None => detector.add(&LogEValues::default(), weight),
            }
        }
    }

    fn weight(&mut self, is_first_of_step: bool) -> f64 {
        let mut weight = 0.0;
        if self.closed == 0 {
            weight += START_WEIGHT;
        } else if is_first_of_step {
            self.steps += 1;
            let number = f64::from(self.steps);
            weight += 2.0 * STEP_WEIGHT / (number * (number + 1.0));
        }
        if self.closed < self.later_strata {
            weight += LATER_WEIGHT / self.later_strata as f64;
        }
        self.closed += 1;
        weight
    }

    /// Returns the metric with more evidence, and the logarithm of that evidence.
    pub(super) fn strongest(&self) -> (Metric, f64) {
        let [failures, latency] = [
            self.detectors[0].log_evidence(),
            self.detectors[1].log_evidence(),
        ];
        if failures >= latency {
            (Metric::Failures, failures)
        } else {
            (Metric::Latency, latency)
        }
    }
}
