//! Sequential test of a new version against the old one.
//!
//! Requests are assigned to a version by a hash of the request key, so within a stratum (one route, one step, a short
//! time, the whole fleet) the assignment is random. If the versions do not differ, the results of the version with
//! fewer requests are a random sample of all results of the stratum, whatever the load and the noise were at the time.
//! For any score `s` of a result and any tilt `t`, the e-value
//!
//! ```text
//! e = exp(t * sum of s over the sample) / (mean of exp(t * s) over the stratum) ^ sample size
//! ```
//!
//! then has an expectation of at most 1: it would be exactly 1 for sampling with replacement, and sampling without
//! replacement lowers the expectation of a convex function of the sum (Hoeffding 1963). The product of the e-values of
//! all strata is an e-process. It stays below `1 / alpha` for ever with probability `1 - alpha` (Ville's inequality),
//! so it may be examined after each stratum without a correction. The score is 1 for a failure, or the logarithm of the
//! latency, so the test compares failures by the difference of proportions and latencies by their ratio.
//!
//! A margin is tested by shifting the old version's results by it: latencies are multiplied by the allowed ratio, and
//! each success becomes a failure with the allowed probability, over which the e-value is averaged.

use serde::{Deserialize, Serialize};

use super::{bucket_log_latency, Metric, Tally, TallyPair, LATENCY_BUCKETS};

/// Number of tilts that are averaged; together they cover weak and strong differences.
const TILTS: usize = 5;

/// Odds ratios of a failure for which the failure test is most sensitive.
///
/// Five points above 30%, 10%, 2.5%, 1% and 0.2% of failures are ratios of about 1.25, 1.6, 3, 6 and 25.
const FAILURE_ODDS_RATIOS: [f64; TILTS] = [1.25, 1.6, 3.0, 6.0, 20.0];

/// Tilts of the logarithm of the latency.
///
/// The best tilt is the difference over the variance: for a ratio of 1.3 / 1.1 and standard deviations of the logarithm
/// from 1.1 down to 0.17 it is 0.14 to 6.
const LATENCY_TILTS: [f64; TILTS] = [0.15, 0.4, 1.0, 2.5, 6.0];

/// Logarithms of the e-values of one stratum, one per tilt.
pub(super) type LogEValues = [f64; TILTS];

/// Scale of stored logarithms. Integers make the folded state identical and comparable on all machines.
const MICRO: f64 = 1e6;

/// Stored logarithm of zero.
const LOG_ZERO_MICRO: i64 = i64::MIN / 4;

/// Range over which the binomial distribution of the successes that the margin turns into failures is summed, in
/// standard deviations from the mean.
const BINOMIAL_DEVIATIONS: f64 = 8.0;

/// Direction of the alternative hypothesis.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// The new version is worse than the old one by more than the margin.
    Worse,
    /// The new version is better than the old one with the margin added.
    Better,
}

/// Largest difference that the tested hypothesis allows.
#[derive(Clone, Copy, Debug)]
pub(super) struct Margin {
    /// Probability with which a success of the old version counts as a failure.
    pub(super) failure: f64,
    /// Factor on the old version's latency.
    pub(super) latency_ratio: f64,
}

/// Evidence against one hypothesis on one metric: the product of the e-values of all strata, for each tilt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EProcess {
    log_micro: [i64; TILTS],
}

impl EProcess {
    /// Creates an e-process whose full weight starts now.
    pub(super) fn with_full_weight() -> Self {
        Self {
            log_micro: [0; TILTS],
        }
    }

    /// Creates an e-process without weight; weight is added with later strata, so that a change at any time is
    /// detected.
    pub(super) fn without_weight() -> Self {
        Self {
            log_micro: [LOG_ZERO_MICRO; TILTS],
        }
    }

    /// Multiplies by the e-value of a stratum, after adding `weight` for a change that starts with it.
    pub(super) fn add(&mut self, values: &LogEValues, weight: f64) {
        for (log_micro, value) in self.log_micro.iter_mut().zip(values) {
            let mut log = *log_micro as f64 / MICRO;
            if weight > 0.0 {
                log = log_add_exp(log, weight.ln());
            }
            if *log_micro > LOG_ZERO_MICRO || weight > 0.0 {
                *log_micro = ((log + value) * MICRO).round() as i64;
            }
        }
    }

    /// Returns the logarithm of the evidence, which is the mean over the tilts.
    pub(super) fn log_evidence(&self) -> f64 {
        let sum = self
            .log_micro
            .iter()
            .map(|&log| log as f64 / MICRO)
            .reduce(log_add_exp)
            .unwrap_or(f64::NEG_INFINITY);
        sum - (TILTS as f64).ln()
    }
}

fn log_add_exp(a: f64, b: f64) -> f64 {
    let (high, low) = if a > b { (a, b) } else { (b, a) };
    high + (low - high).exp().ln_1p()
}

/// Returns the logarithms of a stratum's e-values for all tilts, or `None` if it has no data for the metric.
pub(super) fn log_e_values(
    metric: Metric,
    direction: Direction,
    pair: &TallyPair,
    margin: Margin,
) -> Option<LogEValues> {
    match metric {
        Metric::Failures => failure_log_e_values(direction, pair, margin.failure),
        Metric::Latency => latency_log_e_values(direction, pair, margin.latency_ratio),
    }
}

/// Returns the sign of the tilt: positive if the sampled version is the one that the alternative expects to be worse.
fn sign(direction: Direction, is_new_sampled: bool) -> f64 {
    match (direction, is_new_sampled) {
        (Direction::Worse, true) | (Direction::Better, false) => 1.0,
        (Direction::Worse, false) | (Direction::Better, true) => -1.0,
    }
}

fn failure_log_e_values(
    direction: Direction,
    pair: &TallyPair,
    conversion_probability: f64,
) -> Option<LogEValues> {
    let is_new_sampled = pair.new.total <= pair.old.total;
    let sampled = pair.smaller_total();
    if sampled == 0 {
        return None;
    }
    let conversions = binomial_terms(pair.old.total - pair.old.failed, conversion_probability);
    let total = pair.total() as f64;
    let failed = (pair.old.failed + pair.new.failed) as f64;
    let sign = sign(direction, is_new_sampled);
    Some(FAILURE_ODDS_RATIOS.map(|odds| {
        let tilt = sign * odds.ln();
        let mean_value: f64 = conversions
            .iter()
            .map(|&(count, probability)| {
                let sampled_failed = if is_new_sampled {
                    pair.new.failed as f64
                } else {
                    pair.old.failed as f64 + count
                };
                let mean = 1.0 + (failed + count) / total * tilt.exp_m1();
                probability * (tilt * sampled_failed - sampled as f64 * mean.ln()).exp()
            })
            .sum();
        mean_value.ln()
    }))
}

/// Returns the likely values of a binomial distribution with their probabilities, normalised to a sum of 1.
fn binomial_terms(trials: u64, probability: f64) -> Vec<(f64, f64)> {
    let trials = trials as f64;
    let mean = trials * probability;
    let half_width = BINOMIAL_DEVIATIONS * (mean + 1.0).sqrt();
    let low = (mean - half_width).max(0.0).floor();
    let high = (mean + half_width).min(trials).ceil();
    let odds = probability / (1.0 - probability);
    let mut terms = Vec::with_capacity((high - low) as usize + 1);
    let (mut count, mut log_weight) = (low, 0.0_f64);
    let mut largest = 0.0_f64;
    while count <= high {
        terms.push((count, log_weight));
        largest = largest.max(log_weight);
        log_weight += ((trials - count) / (count + 1.0) * odds)
            .max(f64::MIN_POSITIVE)
            .ln();
        count += 1.0;
    }
    let sum: f64 = terms.iter().map(|(_, log)| (log - largest).exp()).sum();
    for (_, weight) in &mut terms {
        *weight = (*weight - largest).exp() / sum;
    }
    terms
}

fn latency_log_e_values(direction: Direction, pair: &TallyPair, ratio: f64) -> Option<LogEValues> {
    let (old, new) = (pair.old.timed_requests(), pair.new.timed_requests());
    if old == 0 || new == 0 {
        return None;
    }
    let shift = ratio.ln();
    let total = (old + new) as f64;
    let old_sum = pair.old.sum_log_latency() + shift * old as f64;
    let new_sum = pair.new.sum_log_latency();
    let centre = (old_sum + new_sum) / total;
    let is_new_sampled = new <= old;
    let (sampled, sampled_sum) = if is_new_sampled {
        (new as f64, new_sum)
    } else {
        (old as f64, old_sum)
    };
    let sign = sign(direction, is_new_sampled);
    Some(LATENCY_TILTS.map(|tilt| {
        let tilt = sign * tilt;
        let mean = (tilted_sum(&pair.old, tilt, centre - shift)
            + tilted_sum(&pair.new, tilt, centre))
            / total;
        tilt * (sampled_sum - sampled * centre) - sampled * mean.ln()
    }))
}

/// Returns the sum of `exp(tilt * (score - centre))` over the results of one version.
fn tilted_sum(tally: &Tally, tilt: f64, centre: f64) -> f64 {
    tally
        .latency_counts
        .iter()
        .enumerate()
        .take(LATENCY_BUCKETS)
        .filter(|(_, &count)| count > 0)
        .map(|(index, &count)| {
            f64::from(count) * (tilt * (bucket_log_latency(index) - centre)).exp()
        })
        .sum()
}
