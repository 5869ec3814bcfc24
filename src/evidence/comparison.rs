//! Comparison of the two versions on one route, based on the evidence records of the whole fleet.

use serde::{Deserialize, Serialize};

use super::change_detector::ChangeDetector;
use super::e_process::{log_e_values, Direction, EProcess, LogEValues, Margin};
use super::{Tally, TallyPair, REPORT_INTERVAL_MS};
use crate::record;

/// Minimum requests of a stratum, so that it contains enough requests of the version with the smaller share.
const MIN_STRATUM_REQUESTS: u64 = 60;

/// Maximum number of open strata, one per step whose requests may still end; evidence of older steps is dropped.
const MAX_OPEN_STRATA: usize = 4;

/// Probability that a good version is rolled back, over the whole rollout and all its routes.
///
/// The target is 1 in 1,000. Half of it is left for effects outside the test, above all differences between the
/// upstreams of the two versions, which assignment by request key does not average out.
pub(super) const FALSE_ROLLBACK_PROBABILITY: f64 = 1.0 / 2_000.0;

/// Probability that a version that is bad on a route passes there.
const FALSE_PASS_PROBABILITY: f64 = 1.0 / 2_000.0;

/// Probability that a check clears a bad version. The regression would be suspected again at once.
const FALSE_CLEARANCE_PROBABILITY: f64 = 1.0 / 100.0;

/// Differences up to which a version is never rolled back.
///
/// Without a margin, the large number of requests of a fleet would make negligible differences significant.
const HARMLESS: Margin = Margin {
    failure: 0.01,
    latency_ratio: 1.1,
};

/// Differences from which a version counts as bad.
const BAD: Margin = Margin {
    failure: 0.05,
    latency_ratio: 1.3,
};

/// Requests of the new version per monitoring window at full share.
const MONITORING_WINDOW_REQUESTS: u64 = 100;

/// Weight of a new window in the average, as a divisor.
const AVERAGE_DIVISOR: i64 = 3;

/// Rise of the failure rate that makes a regression suspected at full share.
///
/// In windows of 100 requests it is more than three standard deviations for a failure rate of 5%.
const SUSPICIOUS_FAILURE_RISE: f64 = 0.03;

/// Weight of the current average in the reference level, as a divisor.
///
/// The reference follows the load of the day, which changes over minutes, but not a fault, which the average of a few
/// windows shows.
const REFERENCE_DIVISOR: i64 = 32;

/// Time after which a version at full share is compared again, because a slow decline never looks suspicious.
const PERIODIC_CHECK_MS: u64 = 900_000;

/// Rise of the logarithm of the latency that makes a regression suspected at full share: a ratio of 1.15.
const SUSPICIOUS_LOG_LATENCY_RISE: f64 = 0.14;

/// Metric by which versions are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Metric {
    /// Failure rate.
    Failures,
    /// Time from dispatch to the first byte.
    Latency,
}

/// Conclusion from the evidence so far, drawn when a record is added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The new version is worse than the old one by more than the harmless difference.
    Worse(Metric),
    /// The new version is not worse than the old one by the difference that counts as bad.
    NonInferior,
    /// At full share, the results have become worse than the earlier ones of either version.
    SuspectedRegression(Metric),
    /// The new version has been at full share for so long that a comparison is due, whatever its results.
    PeriodicCheck,
}

/// Log e-values of a complete stratum, as input for the test of the whole version.
#[derive(Clone, Debug, PartialEq)]
pub struct ClosedStratum {
    pub(super) values: [Option<LogEValues>; 2],
    pub(super) is_first_of_step: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Stratum {
    step: u32,
    first_ms: u64,
    last_ms: u64,
    pair: TallyPair,
}

/// Average results in millionths, used to judge the new version while no old version serves next to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Level {
    failure_micro: i64,
    log_latency_micro: i64,
}

impl Level {
    fn of(tally: &Tally) -> Self {
        let micro = |value: f64| (value * 1e6).round() as i64;
        Self {
            failure_micro: micro(tally.failure_rate()),
            log_latency_micro: micro(tally.mean_log_latency().unwrap_or(0.0)),
        }
    }

    /// Returns this level moved towards `other` by a fraction of the difference.
    fn towards(&self, other: &Self, divisor: i64) -> Self {
        Self {
            failure_micro: self.failure_micro
                + (other.failure_micro - self.failure_micro) / divisor,
            log_latency_micro: self.log_latency_micro
                + (other.log_latency_micro - self.log_latency_micro) / divisor,
        }
    }

    fn suspected_regression(&self, reference: &Self) -> Option<Metric> {
        let failures = (self.failure_micro - reference.failure_micro) as f64 / 1e6;
        let log_latency = (self.log_latency_micro - reference.log_latency_micro) as f64 / 1e6;
        if failures > SUSPICIOUS_FAILURE_RISE {
            Some(Metric::Failures)
        } else if log_latency > SUSPICIOUS_LOG_LATENCY_RISE {
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
    /// Newest step with a closed stratum.
    closed_step: u32,
    /// Open strata, the oldest step first.
    open: Vec<Stratum>,
    newest_step: u32,
    full_since_ms: u64,
    worse: ChangeDetector,
    #[serde(rename = "not_bad")]
    non_inferior: [EProcess; 2],
    /// Whether the non-inferiority test checks a suspected regression.
    is_check: bool,
    since_step: TallyPair,
    since_start: TallyPair,
    /// Counts of the current monitoring window.
    window: TallyPair,
    /// Level with which `average` is compared at full share.
    reference: Option<Level>,
    /// Moving average of the new version's level at full share.
    average: Option<Level>,
}

impl Comparison {
    /// Starts the comparison on the `number`th route of a rollout, counted from 0.
    ///
    /// `expected_ms` is the time over which the versions are compared; a change within it is detected fastest.
    pub fn new(number: u32, expected_ms: u64) -> Self {
        Self {
            number,
            closed_step: 0,
            open: Vec::new(),
            newest_step: 0,
            full_since_ms: 0,
            worse: ChangeDetector::new(expected_ms),
            non_inferior: [EProcess::with_full_weight(), EProcess::with_full_weight()],
            is_check: false,
            since_step: TallyPair::default(),
            since_start: TallyPair::default(),
            window: TallyPair::default(),
            reference: None,
            average: None,
        }
    }

    /// Adds a record; `is_full` tells whether the new version serves all requests of the route at this step.
    ///
    /// Returns the findings and the stratum that the record completes.
    pub fn add(
        &mut self,
        entry: &record::Evidence,
        is_full: bool,
    ) -> (Vec<Finding>, Option<ClosedStratum>) {
        if entry.step > self.newest_step {
            self.start_step(entry);
        }
        self.since_start.add_record(entry);
        if entry.step == self.newest_step {
            self.since_step.add_record(entry);
        }
        if is_full {
            let finding = if entry.is_new {
                self.monitor(entry)
            } else {
                None
            };
            return (finding.into_iter().collect(), None);
        }
        match self.add_to_stratum(entry) {
            Some(stratum) => self.close_stratum(&stratum),
            None => (Vec::new(), None),
        }
    }

    /// Starts the counts of a new step. The old version's level in the last step is the first reference for monitoring.
    fn start_step(&mut self, entry: &record::Evidence) {
        let last = std::mem::take(&mut self.since_step);
        if last.old.total >= MONITORING_WINDOW_REQUESTS {
            self.reference = Some(Level::of(&last.old));
        }
        self.average = None;
        self.newest_step = entry.step;
        self.full_since_ms = entry.end_ms;
        self.window = TallyPair::default();
    }

    /// Monitors the new version at full share by its recent level.
    ///
    /// A comparison with the level of another time is weak evidence, because load and noise vary. It therefore only
    /// leads to a suspected regression, which is checked by sending a part of the requests to the old version again.
    fn monitor(&mut self, entry: &record::Evidence) -> Option<Finding> {
        self.window.add_record(entry);
        if entry.end_ms >= self.full_since_ms + PERIODIC_CHECK_MS {
            return Some(Finding::PeriodicCheck);
        }
        if self.window.new.total < MONITORING_WINDOW_REQUESTS {
            return None;
        }
        let level = Level::of(&std::mem::take(&mut self.window).new);
        let average = match &self.average {
            Some(average) => average.towards(&level, AVERAGE_DIVISOR),
            None => level,
        };
        let reference = match &self.reference {
            Some(reference) => reference.towards(&average, REFERENCE_DIVISOR),
            None => average.clone(),
        };
        let finding = average.suspected_regression(&reference);
        self.average = Some(average);
        self.reference = Some(reference);
        finding.map(Finding::SuspectedRegression)
    }

    /// Restarts the non-inferiority test, to check a suspected regression.
    pub fn start_check(&mut self) {
        self.non_inferior = [EProcess::with_full_weight(), EProcess::with_full_weight()];
        self.is_check = true;
    }

    /// Ends the check of a suspected regression.
    ///
    /// The old version's level during the check is the next reference, so the current level is no longer suspicious.
    pub fn end_check(&mut self) {
        self.is_check = false;
    }

    /// Returns the counts since the newest step.
    pub fn since_step(&self) -> &TallyPair {
        &self.since_step
    }

    /// Returns the counts since the start of the rollout.
    pub fn since_start(&self) -> &TallyPair {
        &self.since_start
    }

    /// Returns the evidence that the version is worse and the evidence that it is not bad, as fractions of the required
    /// amounts.
    pub fn progress(&self) -> (f64, f64) {
        let worse = self.worse.strongest().1 / self.worse_threshold();
        let non_inferior = self.non_inferior[0]
            .log_evidence()
            .min(self.non_inferior[1].log_evidence())
            / self.non_inferior_threshold();
        (worse.clamp(0.0, 1.0), non_inferior.clamp(0.0, 1.0))
    }

    fn add_to_stratum(&mut self, entry: &record::Evidence) -> Option<Stratum> {
        let position = match self.open.iter().position(|open| open.step == entry.step) {
            Some(position) => position,
            None => {
                let is_older = self.open.iter().all(|open| entry.step < open.step);
                if self.open.len() == MAX_OPEN_STRATA && is_older {
                    return None;
                }
                if self.open.len() == MAX_OPEN_STRATA {
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
        // The end of a stratum depends only on the number of requests and never on their results, so it adds no bias.
        let is_complete = stratum.pair.smaller_total() > 0
            && stratum.pair.total() >= MIN_STRATUM_REQUESTS
            && stratum.last_ms >= stratum.first_ms + REPORT_INTERVAL_MS;
        is_complete.then(|| self.open.remove(position))
    }

    fn close_stratum(&mut self, stratum: &Stratum) -> (Vec<Finding>, Option<ClosedStratum>) {
        let metrics = [Metric::Failures, Metric::Latency];
        let closed = ClosedStratum {
            values: metrics
                .map(|metric| log_e_values(metric, Direction::Worse, &stratum.pair, HARMLESS)),
            is_first_of_step: stratum.step > self.closed_step,
        };
        self.closed_step = self.closed_step.max(stratum.step);
        self.worse.add(&closed.values, closed.is_first_of_step);
        let mut findings = Vec::new();
        let (metric, evidence) = self.worse.strongest();
        if evidence >= self.worse_threshold() {
            findings.push(Finding::Worse(metric));
        }
        for (detector, metric) in self.non_inferior.iter_mut().zip(metrics) {
            if let Some(values) = log_e_values(metric, Direction::Better, &stratum.pair, BAD) {
                detector.add(&values, 0.0);
            }
        }
        let threshold = self.non_inferior_threshold();
        if self
            .non_inferior
            .iter()
            .all(|detector| detector.log_evidence() >= threshold)
        {
            findings.push(Finding::NonInferior);
        }
        (findings, Some(closed))
    }

    fn worse_threshold(&self) -> f64 {
        let number = f64::from(self.number);
        // Half is for the version as a whole, half of the rest for each metric; route `n` gets 1 / ((n + 1) (n + 2)) of
        // it.
        let share = 0.25 / ((number + 1.0) * (number + 2.0));
        -(FALSE_ROLLBACK_PROBABILITY * share).ln()
    }

    fn non_inferior_threshold(&self) -> f64 {
        if self.is_check {
            -FALSE_CLEARANCE_PROBABILITY.ln()
        } else {
            -FALSE_PASS_PROBABILITY.ln()
        }
    }
}
