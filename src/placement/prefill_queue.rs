//! Estimate of the prompts that an engine has still to prefill.

use std::collections::VecDeque;

/// Prefill work that is queued at an engine, in milliseconds at usual speed.
///
/// The engine prefills in the order of arrival. The first byte of a response therefore proves that everything which was
/// queued before it is done, and nothing that was queued after it; this corrects errors of the estimate.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillQueue {
    /// Work that was left at `as_of_ms`.
    left_ms: f64,
    as_of_ms: u64,
    /// Work that was ever added.
    added_ms: f64,
    /// Positions of own requests that wait for their first byte, in order of sending.
    awaited: VecDeque<f64>,
}

impl PrefillQueue {
    /// Returns the work that is left, if the engine works with `ratio` of the usual time.
    pub(super) fn left_ms(&self, ratio: f64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        let left_ms = (self.left_ms - elapsed_ms / ratio).max(0.0);
        match self.awaited.front() {
            Some(position) => left_ms.max(self.added_ms - position),
            None => left_ms,
        }
    }

    /// Brings the work that is left up to date, before the ratio changes or work is added.
    pub(super) fn advance(&mut self, ratio: f64, now_ms: u64) {
        self.left_ms = self.left_ms(ratio, now_ms);
        self.as_of_ms = now_ms;
    }

    /// Returns the position of work that is added next.
    pub(super) fn end_position(&self, work_ms: f64) -> f64 {
        self.added_ms + work_ms
    }

    /// Adds work; returns its position, the work that was ever added up to its end.
    pub(super) fn add(&mut self, work_ms: f64, ratio: f64, now_ms: u64) -> f64 {
        self.advance(ratio, now_ms);
        self.left_ms += work_ms;
        self.added_ms += work_ms;
        self.added_ms
    }

    /// Records that an own request waits for its first byte.
    pub(super) fn begin_wait(&mut self, position: f64) {
        self.awaited.push_back(position);
    }

    /// Records that an own request no longer waits.
    pub(super) fn end_wait(&mut self, position: f64) {
        if let Some(index) = self.awaited.iter().position(|known| *known == position) {
            self.awaited.remove(index);
        }
    }

    /// Records that the work up to a position was done now.
    pub(super) fn record_done(&mut self, position: f64, now_ms: u64) {
        self.end_wait(position);
        // The position of a request to an earlier process of the upstream is beyond what was added.
        if position <= self.added_ms {
            self.left_ms = self.added_ms - position;
            self.as_of_ms = now_ms;
        }
    }
}
