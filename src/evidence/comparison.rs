//! Comparison of the two versions on one route, from the records of the whole fleet.

use serde::{Deserialize, Serialize};

use super::test::{stratum_values, Detector, Direction, Margin};
use super::{Pair, Tally, PERIOD_MS};
use crate::record;

/// Requests of a stratum, so that the pooled results say something about the version with few of them.
const STRATUM_REQUESTS: u64 = 60;

/// Steps whose requests may still end; evidence of older ones is dropped.
const OPEN_STEPS: usize = 4;

/// Probability that a good version is rolled back, over the whole rollout and all its routes.
///
/// The target is 1 in 1,000. Half of it is left for what the test does not cover, above all differences between the
/// workers of the two versions, which no choice by request key averages out.
const FALSE_ROLLBACK: f64 = 1.0 / 2_000.0;

/// Probability that a version that is bad on a route passes there.
const FALSE_PASS: f64 = 1.0 / 2_000.0;

/// Probability that a suspicion against a bad version is dropped; it would be raised again at once.
const FALSE_CLEARANCE: f64 = 1.0 / 100.0;

/// Differences up to which a version is never rolled back.
///
/// Without a margin, a large fleet would find and punish differences that nobody notices.
const HARMLESS: Margin = Margin {
    failure: 0.01,
    latency_ratio: 1.1,
};

/// Differences from which a version is bad.
const BAD: Margin = Margin {
    failure: 0.05,
    latency_ratio: 1.3,
};

/// Weight of a difference that exists from the start.
const START_WEIGHT: f64 = 0.5;

/// Weight of all differences that start with a step; step `n` gets `1 / (n (n + 1))` of twice this.
const STEP_WEIGHT: f64 = 0.25;

/// Weight of all differences that start at any other time.
const LATER_WEIGHT: f64 = 0.25;

/// Requests of the new version in one window of the watch at full share.
const WATCH_WINDOW_REQUESTS: u64 = 100;

/// Rise of the failure share that raises a suspicion at full share.
///
/// Over windows of 100 requests it is more than three standard deviations for a failure share of 5%.
const SUSPICIOUS_FAILURES: f64 = 0.03;

/// Rise of the logarithm of the latency that raises a suspicion at full share: a ratio of 1.15.
const SUSPICIOUS_LOG_LATENCY: f64 = 0.14;

/// Result by which versions are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Metric {
    /// Share of requests that failed.
    Failures,
    /// Time from dispatch to the first byte.
    Latency,
}

/// What a record of evidence completes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The new version is worse than the harmless difference.
    Worse(Metric),
    /// The new version is not bad.
    NotBad,
    /// At full share the results of the new version have become worse than the old version's were.
    Suspicious(Metric),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Stratum {
    step: u32,
    first_ms: u64,
    last_ms: u64,
    pair: Pair,
}

/// Averages in millionths, by which the new version is judged while no old one serves next to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Level {
    failure_micro: i64,
    log_latency_micro: i64,
}

impl Level {
    fn of(tally: &Tally) -> Self {
        let micro = |value: f64| (value * 1e6).round() as i64;
        Self {
            failure_micro: micro(tally.failure_share()),
            log_latency_micro: micro(tally.mean_log_latency().unwrap_or(0.0)),
        }
    }

    fn mean(&self, other: &Self) -> Self {
        Self {
            failure_micro: (self.failure_micro + other.failure_micro) / 2,
            log_latency_micro: (self.log_latency_micro + other.log_latency_micro) / 2,
        }
    }

    fn max(&self, other: &Self) -> Self {
        Self {
            failure_micro: self.failure_micro.max(other.failure_micro),
            log_latency_micro: self.log_latency_micro.max(other.log_latency_micro),
        }
    }

    fn min(&self, other: &Self) -> Self {
        Self {
            failure_micro: self.failure_micro.min(other.failure_micro),
            log_latency_micro: self.log_latency_micro.min(other.log_latency_micro),
        }
    }

    fn suspicion(&self, reference: &Self) -> Option<Metric> {
        let failures = (self.failure_micro - reference.failure_micro) as f64 / 1e6;
        let log_latency = (self.log_latency_micro - reference.log_latency_micro) as f64 / 1e6;
        if failures > SUSPICIOUS_FAILURES {
            Some(Metric::Failures)
        } else if log_latency > SUSPICIOUS_LOG_LATENCY {
            Some(Metric::Latency)
        } else {
            None
        }
    }
}

/// Comparison of the two versions on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Comparison {
    number: u32,
    later_strata: u64,
    weighted_step: u32,
    open: Vec<Stratum>,
    newest_step: u32,
    closed: u64,
    worse: [Detector; 2],
    not_bad: [Detector; 2],
    is_check: bool,
    since_step: Pair,
    since_start: Pair,
    window: Pair,
    reference: Option<Level>,
    average: Option<Level>,
}

impl Comparison {
    /// Starts the comparison on the `number`th route of a rollout, counting from 0.
    ///
    /// `expected_ms` is the time over which the versions are compared; a change within it is found soonest.
    pub fn new(number: u32, expected_ms: u64) -> Self {
        Self {
            number,
            later_strata: (expected_ms / PERIOD_MS).max(1),
            weighted_step: 1,
            open: Vec::new(),
            newest_step: 0,
            closed: 0,
            worse: [Detector::empty(), Detector::empty()],
            not_bad: [Detector::started(), Detector::started()],
            is_check: false,
            since_step: Pair::default(),
            since_start: Pair::default(),
            window: Pair::default(),
            reference: None,
            average: None,
        }
    }

    /// Adds a record.
    ///
    /// `is_watched` says that the new version serves so much of the route at this step that its own level is judged as
    /// well, `is_full` that it serves alone and there is nothing to compare with.
    pub fn add(
        &mut self,
        entry: &record::Evidence,
        is_watched: bool,
        is_full: bool,
    ) -> Vec<Finding> {
        if entry.step > self.newest_step {
            self.newest_step = entry.step;
            self.since_step = Pair::default();
            self.window = Pair::default();
        }
        self.since_start.add_record(entry);
        if entry.step == self.newest_step {
            self.since_step.add_record(entry);
        }
        let mut findings = Vec::new();
        if is_watched && entry.is_new {
            findings.extend(self.watch(entry));
        }
        if !is_full {
            if let Some(stratum) = self.collect(entry) {
                findings.extend(self.close(&stratum));
            }
        }
        findings
    }

    /// Judges the new version while it serves almost alone, by the level at which the old one served.
    ///
    /// The level of another time is weak evidence, because load and noise vary. It therefore only raises a suspicion,
    /// which is checked by serving a part of the requests with the old version again.
    fn watch(&mut self, entry: &record::Evidence) -> Option<Finding> {
        self.window.add_record(entry);
        if self.window.new.total < WATCH_WINDOW_REQUESTS {
            return None;
        }
        let level = Level::of(&std::mem::take(&mut self.window).new);
        let average = match &self.average {
            Some(average) => average.mean(&level),
            None => level,
        };
        let base = Level::of(&self.since_start.old);
        let reference = match &self.reference {
            Some(reference) => base.max(&reference.min(&reference.mean(&average))),
            None => base,
        };
        let finding = average.suspicion(&reference);
        self.average = Some(average);
        self.reference = Some(reference);
        finding.map(Finding::Suspicious)
    }

    /// Starts to look anew whether the version is bad, after a suspicion.
    pub fn start_check(&mut self) {
        self.not_bad = [Detector::started(), Detector::started()];
        self.is_check = true;
    }

    /// Ends the check of a suspicion; the present level is no longer suspicious.
    pub fn end_check(&mut self) {
        self.is_check = false;
        self.reference = self.average.clone();
    }

    /// Returns the counts since the newest step.
    pub fn since_step(&self) -> &Pair {
        &self.since_step
    }

    /// Returns the counts since the start of the rollout.
    pub fn since_start(&self) -> &Pair {
        &self.since_start
    }

    /// Returns the evidence that the version is worse and the evidence that it is not bad, in parts of what is needed.
    pub fn progress(&self) -> (f64, f64) {
        let worse = self.worse[0].log().max(self.worse[1].log()) / self.worse_threshold();
        let not_bad = self.not_bad[0].log().min(self.not_bad[1].log()) / self.not_bad_threshold();
        (worse.clamp(0.0, 1.0), not_bad.clamp(0.0, 1.0))
    }

    fn collect(&mut self, entry: &record::Evidence) -> Option<Stratum> {
        let position = match self.open.iter().position(|open| open.step == entry.step) {
            Some(position) => position,
            None => {
                let is_older = self.open.iter().all(|open| entry.step < open.step);
                if self.open.len() == OPEN_STEPS && is_older {
                    return None;
                }
                if self.open.len() == OPEN_STEPS {
                    self.open.remove(0);
                }
                let position = self.open.partition_point(|open| open.step < entry.step);
                let stratum = Stratum {
                    step: entry.step,
                    first_ms: entry.end_ms,
                    ..Stratum::default()
                };
                self.open.insert(position, stratum);
                position
            }
        };
        let stratum = &mut self.open[position];
        stratum.pair.add_record(entry);
        stratum.last_ms = stratum.last_ms.max(entry.end_ms);
        // Only numbers of requests decide when a stratum ends, never their results, so the ends carry no bias.
        let is_complete = stratum.pair.smaller() > 0
            && stratum.pair.total() >= STRATUM_REQUESTS
            && stratum.last_ms >= stratum.first_ms + PERIOD_MS;
        is_complete.then(|| self.open.remove(position))
    }

    fn close(&mut self, stratum: &Stratum) -> Vec<Finding> {
        let weight = self.weight(stratum.step);
        let mut findings = Vec::new();
        for (index, metric) in [Metric::Failures, Metric::Latency].into_iter().enumerate() {
            if let Some(values) = stratum_values(metric, Direction::Worse, &stratum.pair, HARMLESS)
            {
                self.worse[index].add(&values, weight);
            }
            if let Some(values) = stratum_values(metric, Direction::Better, &stratum.pair, BAD) {
                self.not_bad[index].add(&values, 0.0);
            }
            if self.worse[index].log() >= self.worse_threshold() {
                findings.push(Finding::Worse(metric));
            }
        }
        let threshold = self.not_bad_threshold();
        if self
            .not_bad
            .iter()
            .all(|detector| detector.log() >= threshold)
        {
            findings.push(Finding::NotBad);
        }
        findings
    }

    /// Returns the weight of a difference that starts with this stratum; all weights together are at most 1.
    fn weight(&mut self, step: u32) -> f64 {
        let mut weight = 0.0;
        if self.closed == 0 {
            weight += START_WEIGHT;
        }
        if self.closed < self.later_strata {
            weight += LATER_WEIGHT / self.later_strata as f64;
        }
        if step > self.weighted_step {
            let number = f64::from(step);
            weight += 2.0 * STEP_WEIGHT / (number * (number + 1.0));
            self.weighted_step = step;
        }
        self.closed += 1;
        weight
    }

    fn worse_threshold(&self) -> f64 {
        let number = f64::from(self.number);
        let share = 0.5 / ((number + 1.0) * (number + 2.0));
        -(FALSE_ROLLBACK * share).ln()
    }

    fn not_bad_threshold(&self) -> f64 {
        if self.is_check {
            -FALSE_CLEARANCE.ln()
        } else {
            -FALSE_PASS.ln()
        }
    }
}
