//! State of one route of a rollout.

use serde::{Deserialize, Serialize};

use super::FULL_SHARE_PPM;
use crate::evidence::Comparison;
use crate::record;

/// Check of a version that serves all requests of a route, after a suspected regression.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// No check is due or running.
    None,
    /// A comparison is due; a part of the requests must go back to the old version for it.
    Due {
        /// Time of the evidence.
        at_ms: u64,
    },
    /// The versions are being compared.
    Running,
    /// The comparison has cleared the version; it must serve all requests again.
    Cleared {
        /// Time of the evidence.
        at_ms: u64,
    },
}

/// State of one route of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteState {
    /// Newest step, if the route has its own steps.
    pub step: Option<u32>,
    /// Share of requests that the new version gets; only in force if the route has its own steps.
    pub share_ppm: u32,
    /// Time of the newest step.
    pub step_ms: u64,
    /// Time at which the evidence that the version is not bad was complete.
    pub passed_ms: Option<u64>,
    /// Check after a suspected regression.
    pub check: Check,
    /// Share to which the route returns after a check.
    pub resume_ppm: u32,
    /// Number of consecutive checks, each soon after the one before.
    pub checks: u32,
    /// Number of the route within the rollout, counted from 0.
    pub number: u32,
    /// Results of both versions.
    pub comparison: Comparison,
}

impl RouteState {
    pub(super) fn new(number: u32, expected_ms: u64) -> Self {
        Self {
            step: None,
            share_ppm: 0,
            step_ms: 0,
            passed_ms: None,
            check: Check::None,
            resume_ppm: FULL_SHARE_PPM,
            checks: 0,
            number,
            comparison: Comparison::new(number, expected_ms),
        }
    }

    pub(super) fn apply_step(&mut self, entry: &record::RolloutStep) {
        let old_share_ppm = self.share_ppm;
        self.step = Some(entry.step);
        self.share_ppm = entry.share_ppm;
        self.step_ms = entry.at_ms;
        match self.check {
            Check::Due { .. } if entry.share_ppm <= old_share_ppm => {
                self.check = Check::Running;
                self.resume_ppm = old_share_ppm;
                self.checks += 1;
                self.comparison.start_check();
            }
            Check::Cleared { .. } if entry.share_ppm >= old_share_ppm => {
                self.check = Check::None;
                self.comparison.end_check();
            }
            _ => {}
        }
    }
}
