//! Speed of an upstream, from what it states and from what its responses take.
//!
//! Engines share their machines, so the time that the same work takes at one of them changes within a second. An
//! upstream states with its responses how long its work takes at present. This module combines the newest such figure
//! with the observed times into an estimate for now; see `docs/design/request-cost.md`.

use std::ops::RangeInclusive;

/// Bounds on a stated figure, in percent; others cannot be meant and are ignored.
pub const WORK_PERCENT_BOUNDS: RangeInclusive<u32> = 10..=10_000;

/// Age at which a figure no longer says anything about the present; its weight decreases with the square of what is
/// left. Slow phases last about half a second, and half of the weight is gone after 0.6 s.
const FIGURE_MAX_AGE_MS: f64 = 2_000.0;

/// Expected rest of a phase of unusual speed; after it, the usual speed is assumed.
const PHASE_REST_MS: f64 = 500.0;

/// Time constant of the average of an upstream's figures. Each counts for the time until the next one, because changes
/// are told more often than figures that stay.
const USUAL_TIME_CONSTANT_MS: f64 = 10_000.0;

/// Longest time for which one figure counts in that average.
const MAX_HELD_MS: u64 = 1_000;

/// Weight of one response in the average of the time that it took, compared with what was expected from the figure in
/// it, if it was faster and if it was slower than that average. Unknown queues and a busy VM only make it slower.
const FASTER_WEIGHT: f64 = 0.06;
const SLOWER_WEIGHT: f64 = 0.02;

/// Bounds on that average. What an estimate lacks, such as lost notices, must not make an upstream unusable.
const BASE_BOUNDS: (f64, f64) = (0.5, 3.0);

/// Weight of one observation in the short average.
const SHORT_EWMA_WEIGHT: f64 = 0.3;

/// Weight of the short average of observations, compared with a stated figure of the same age. An observed time also
/// contains the error of the estimated backlog.
const OBSERVED_WEIGHT: f64 = 0.3;

/// Bounds on one observed ratio.
const RATIO_BOUNDS: (f64, f64) = (0.25, 6.0);

/// A ratio of actual to usual time with the time at which it was true.
#[derive(Clone, Copy, Debug)]
struct Sample {
    ratio: f64,
    at_ms: u64,
}

impl Sample {
    fn weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let left = (1.0 - age_ms / FIGURE_MAX_AGE_MS).max(0.0);
        left * left
    }
}

/// What is known of the speed of one upstream. Ratios are times compared with those of an upstream of usual speed.
#[derive(Clone, Debug)]
pub struct UpstreamSpeed {
    /// The newest stated figure.
    stated: Option<Sample>,
    /// Short average of observed ratios.
    observed: Option<Sample>,
    /// Long average of the stated figures, and of their distance from it.
    usual: f64,
    deviation: f64,
    /// Long average of the observed ratio, divided by the figure that the upstream stated with it.
    base: f64,
}

impl Default for UpstreamSpeed {
    fn default() -> Self {
        Self {
            stated: None,
            observed: None,
            usual: 1.0,
            deviation: 0.0,
            base: 1.0,
        }
    }
}

impl UpstreamSpeed {
    /// Returns whether the upstream has ever stated its speed.
    pub fn is_stated(&self) -> bool {
        self.stated.is_some()
    }

    /// Records that work takes `work_percent` of the usual time, as the upstream stated at `at_ms`; returns whether
    /// this is newer than what was known.
    pub fn record_stated(&mut self, work_percent: u32, at_ms: u64) -> bool {
        let is_older = self.stated.is_some_and(|known| known.at_ms > at_ms);
        if is_older || !WORK_PERCENT_BOUNDS.contains(&work_percent) {
            return false;
        }
        if let Some(known) = self.stated {
            let held_ms = at_ms.saturating_sub(known.at_ms).min(MAX_HELD_MS);
            let weight = held_ms as f64 / USUAL_TIME_CONSTANT_MS;
            let difference = known.ratio - self.usual;
            self.usual += weight * difference;
            self.deviation += weight * (difference.abs() - self.deviation);
        }
        let ratio = f64::from(work_percent) / 100.0;
        self.stated = Some(Sample { ratio, at_ms });
        true
    }

    /// Records the ratio of an observed time to that at usual speed.
    pub fn record_observed(&mut self, ratio: f64, now_ms: u64) {
        let (min, max) = RATIO_BOUNDS;
        let ratio = ratio.clamp(min, max);
        let mean = match self.observed {
            Some(known) if known.weight(now_ms) > 0.0 => {
                known.ratio + SHORT_EWMA_WEIGHT * (ratio - known.ratio)
            }
            _ => ratio,
        };
        self.observed = Some(Sample {
            ratio: mean,
            at_ms: now_ms,
        });
    }

    /// Records the ratio of an observed time to that at usual speed, of a response that stated the speed; returns the
    /// part of the ratio that the statement does not explain.
    pub fn record_response(&mut self, ratio: f64, work_percent: u32, now_ms: u64) -> f64 {
        self.record_observed(ratio, now_ms);
        let (min, max) = RATIO_BOUNDS;
        let unexplained = (ratio * 100.0 / f64::from(work_percent.max(1))).clamp(min, max);
        let (min, max) = BASE_BOUNDS;
        let difference = unexplained.clamp(min, max) - self.base;
        let weight = if difference < 0.0 {
            FASTER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        self.base += weight * difference;
        unexplained
    }

    /// Returns the estimate for now.
    pub fn estimate(&self, now_ms: u64) -> SpeedEstimate {
        let mut weight = 0.0;
        let mut difference = 0.0;
        let stated = self.stated.map(|sample| (sample, 1.0, self.base));
        let observed = self.observed.map(|sample| (sample, OBSERVED_WEIGHT, 1.0));
        let usual = self.base * self.usual;
        for (sample, scale, base) in [stated, observed].into_iter().flatten() {
            let sample_weight = scale * sample.weight(now_ms);
            weight += sample_weight;
            difference += sample_weight * (sample.ratio * base - usual);
        }
        SpeedEstimate {
            now: usual + difference / weight.max(1.0),
            usual,
            spread: self.base * self.deviation * (1.0 - weight).max(0.0),
        }
    }
}

/// Estimated speed of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SpeedEstimate {
    /// Ratio of the time that work takes now.
    pub now: f64,
    /// Ratio of the time that work usually takes there.
    pub usual: f64,
    /// Mean error of `now`; it grows with the age of the figures.
    pub spread: f64,
}

impl SpeedEstimate {
    /// Returns the expected time of work that takes `work_ms` at usual speed.
    ///
    /// A slow phase ends at some time, so only the first part of long work is taken to be slow.
    pub fn time_ms(&self, work_ms: f64) -> f64 {
        let time_ms = work_ms * self.now;
        if time_ms <= PHASE_REST_MS {
            return time_ms;
        }
        PHASE_REST_MS + (work_ms - PHASE_REST_MS / self.now) * self.usual
    }
}
