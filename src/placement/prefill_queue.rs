//! Estimate of the prompts that an engine has still to prefill.

use std::collections::VecDeque;

/// Time by which a first byte may be late before its engine counts as slow, in percent of the expected time and in
/// milliseconds.
const OVERDUE_PERCENT: f64 = 130.0;
const OVERDUE_MS: f64 = 15.0;

/// Prefill work that is queued at an engine, in milliseconds at usual speed.
///
/// The engine prefills in the order of arrival. The first byte of a response therefore proves that everything which was
/// queued before it is done, and nothing that was queued after it; this corrects errors of the estimate.
///
/// An engine that has become slow sends nothing for a while, so nobody knows. The work that would be left then is
/// estimated as well.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefillQueue {
    /// Work that was left at `as_of_ms`.
    left: Left,
    as_of_ms: u64,
    /// Work that was ever added.
    added_ms: f64,
    /// Own requests that wait for their first byte, in order of sending.
    awaited: VecDeque<Awaited>,
}

/// Work that is left.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Left {
    /// Work that is left at the estimated speed.
    pub(super) expected_ms: f64,
    /// Work that is left if the engine has been slow since its last sign of life.
    pub(super) doubtful_ms: f64,
    /// Whether a first byte is overdue, so that the engine probably is slow.
    pub(super) is_overdue: bool,
}

/// How long work takes at an engine, compared with the usual time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// According to the estimated speed.
    pub(super) expected: f64,
    /// If the engine has become slow.
    pub(super) slow: f64,
}

/// An own request that waits for its first byte.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    position_ms: f64,
    overdue_from_ms: f64,
}

impl PrefillQueue {
    /// Returns the work that is left.
    pub(super) fn left(&self, pace: Pace, now_ms: u64) -> Left {
        let elapsed_ms = now_ms.saturating_sub(self.as_of_ms) as f64;
        let slow = pace.slow.max(pace.expected);
        let front = self.awaited.front();
        // What was sent after a request without a first byte cannot have been processed.
        let least_ms = front.map_or(0.0, |front| self.added_ms - front.position_ms);
        Left {
            expected_ms: (self.left.expected_ms - elapsed_ms / pace.expected).max(least_ms),
            doubtful_ms: (self.left.doubtful_ms - elapsed_ms / slow).max(least_ms),
            is_overdue: front.is_some_and(|front| now_ms as f64 > front.overdue_from_ms),
        }
    }

    /// Brings the work that is left up to date, before the pace changes or work is added.
    pub(super) fn advance(&mut self, pace: Pace, now_ms: u64) {
        self.left = self.left(pace, now_ms);
        self.as_of_ms = now_ms;
    }

    /// Records a statement of the engine about its pace: whether it has been slow is no longer in doubt.
    pub(super) fn record_sign(&mut self, is_slow: bool) {
        if is_slow {
            // It became slow at some time since the last sign.
            self.left.expected_ms = (self.left.expected_ms + self.left.doubtful_ms) / 2.0;
        }
        self.left.doubtful_ms = self.left.expected_ms;
    }

    /// Returns the position of work that is added next.
    pub(super) fn end_position_ms(&self, work_ms: f64) -> f64 {
        self.added_ms + work_ms
    }

    /// Adds work.
    pub(super) fn add(&mut self, work_ms: f64, pace: Pace, now_ms: u64) {
        self.advance(pace, now_ms);
        self.left.expected_ms += work_ms;
        self.left.doubtful_ms += work_ms;
        self.added_ms += work_ms;
    }

    /// Records that an own request, whose work was added last, waits for its first byte.
    pub(super) fn begin_wait(&mut self, expected_ms: f64, now_ms: u64) {
        self.awaited.push_back(Awaited {
            position_ms: self.added_ms,
            overdue_from_ms: now_ms as f64 + expected_ms * OVERDUE_PERCENT / 100.0 + OVERDUE_MS,
        });
    }

    /// Records that an own request no longer waits.
    pub(super) fn end_wait(&mut self, position_ms: f64) {
        let mut awaited = self.awaited.iter();
        if let Some(index) = awaited.position(|known| known.position_ms == position_ms) {
            self.awaited.remove(index);
        }
    }

    /// Records that the work up to a position was done now.
    pub(super) fn record_done(&mut self, position_ms: f64, now_ms: u64) {
        self.end_wait(position_ms);
        // The position of a request to an earlier process of the upstream is beyond what was added.
        if position_ms <= self.added_ms {
            self.left.expected_ms = self.added_ms - position_ms;
            self.left.doubtful_ms = self.left.expected_ms;
            self.as_of_ms = now_ms;
        }
    }
}
