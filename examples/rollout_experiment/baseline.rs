//! Baseline policy: a fixed threshold on a time window, and a ramp that depends on time alone.

use monsoonfield::evidence::TallyPair;
use monsoonfield::record::{Entry, Evidence, Rollback, RolloutEnd, RolloutStep};

/// Length of the window.
const WINDOW_MS: u64 = 60_000;

/// Minimum requests of each version in a window; a window with fewer is not judged.
const MIN_REQUESTS: u64 = 20;

/// Difference of the failure rates that causes a rollback: half of the difference that counts as bad.
const FAILURE_THRESHOLD: f64 = 0.025;

/// Latency ratio that causes a rollback: half of the excess that counts as bad.
const LATENCY_THRESHOLD: f64 = 1.15;

/// Steps of the ramp: fraction of the time to the deadline, and the share of the new version from then on.
const RAMP: [(f64, u32); 6] = [
    (0.0, 15_000),
    (0.2, 100_000),
    (0.4, 250_000),
    (0.6, 500_000),
    (0.8, 750_000),
    (0.95, 1_000_000),
];

/// State of the baseline policy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    window: TallyPair,
    window_start_ms: u64,
    step: u32,
    is_over: bool,
}

impl Baseline {
    /// Adds evidence; returns a rollback if a window exceeds a threshold.
    pub(crate) fn add_evidence(&mut self, entry: &Evidence) -> Option<Entry> {
        self.window.add_record(entry);
        if entry.end_ms < self.window_start_ms + WINDOW_MS {
            return None;
        }
        self.window_start_ms = entry.end_ms;
        let window = std::mem::take(&mut self.window);
        if self.is_over || window.smaller_total() < MIN_REQUESTS {
            return None;
        }
        let failures = window.new.failure_rate() - window.old.failure_rate();
        let ratio = window.latency_ratio().unwrap_or(1.0);
        if failures < FAILURE_THRESHOLD && ratio < LATENCY_THRESHOLD {
            return None;
        }
        self.is_over = true;
        Some(Entry::Rollback(Rollback {
            id: entry.id.clone(),
            route: String::new(),
            reason: window.summary(),
        }))
    }

    /// Returns the entries that are due.
    pub(crate) fn propose(&mut self, id: &str, now_ms: u64, deadline_ms: u64) -> Vec<Entry> {
        if self.is_over {
            return Vec::new();
        }
        let part = now_ms as f64 / deadline_ms as f64;
        let Some(&(due, share_ppm)) = RAMP.get(self.step as usize) else {
            self.is_over = now_ms >= deadline_ms;
            return if self.is_over {
                vec![Entry::RolloutEnd(RolloutEnd {
                    id: id.into(),
                    revision: 1,
                    is_kept: true,
                    reason: String::new(),
                })]
            } else {
                Vec::new()
            };
        };
        if part < due {
            return Vec::new();
        }
        self.step += 1;
        vec![Entry::RolloutStep(RolloutStep {
            id: id.into(),
            step: self.step,
            share_ppm,
            revision: 1,
            at_ms: now_ms,
            route: String::new(),
        })]
    }
}
