//! Counts of request results by version.

use serde::{Deserialize, Serialize};

use super::{bucket_log_latency, latency_bucket, Outcome, LATENCY_BUCKETS};
use crate::record;

/// Counts of the results of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests that ended.
    pub total: u64,
    /// Requests that failed because of the upstream.
    pub failed: u64,
    /// Latency histogram of the requests that succeeded.
    pub latency_counts: Vec<u32>,
}

impl Tally {
    /// Counts one result.
    pub fn count(&mut self, outcome: Outcome) {
        self.total += 1;
        match outcome {
            Outcome::Failure => self.failed += 1,
            Outcome::Success { latency_ms } => self.count_latency(latency_bucket(latency_ms), 1),
        }
    }

    /// Adds counts from the log; values that no correct process writes are bounded.
    pub fn add_record(&mut self, entry: &record::Evidence) {
        self.total = self.total.saturating_add(entry.total);
        self.failed = self.failed.saturating_add(entry.failed.min(entry.total));
        for (index, &count) in entry
            .latency_counts
            .iter()
            .enumerate()
            .take(LATENCY_BUCKETS)
        {
            self.count_latency(index, count);
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.total = self.total.saturating_add(other.total);
        self.failed = self.failed.saturating_add(other.failed);
        for (index, &count) in other.latency_counts.iter().enumerate() {
            self.count_latency(index, count);
        }
    }

    /// Returns the failed fraction of the requests; 0 without requests.
    pub fn failure_rate(&self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.failed as f64 / self.total as f64
    }

    /// Returns the number of requests with a measured latency.
    pub fn timed_requests(&self) -> u64 {
        self.latency_counts
            .iter()
            .map(|&count| u64::from(count))
            .sum()
    }

    /// Returns the mean logarithm of the latency, or `None` without latencies.
    pub fn mean_log_latency(&self) -> Option<f64> {
        let timed = self.timed_requests();
        (timed > 0).then(|| self.sum_log_latency() / timed as f64)
    }

    /// Returns the sum of the logarithms of the latencies.
    pub(super) fn sum_log_latency(&self) -> f64 {
        self.latency_counts
            .iter()
            .enumerate()
            .map(|(index, &count)| f64::from(count) * bucket_log_latency(index))
            .sum()
    }

    fn count_latency(&mut self, index: usize, count: u32) {
        if count == 0 {
            return;
        }
        if self.latency_counts.len() <= index {
            self.latency_counts.resize(index + 1, 0);
        }
        let cell = &mut self.latency_counts[index];
        *cell = cell.saturating_add(count);
    }
}

/// Counts of both versions over the same period.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TallyPair {
    /// Results of the version that served before.
    pub old: Tally,
    /// Results of the new version.
    pub new: Tally,
}

impl TallyPair {
    /// Adds counts from the log.
    pub fn add_record(&mut self, entry: &record::Evidence) {
        if entry.is_new {
            self.new.add_record(entry);
        } else {
            self.old.add_record(entry);
        }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }

    /// Returns the number of requests of both versions.
    pub fn total(&self) -> u64 {
        self.old.total + self.new.total
    }

    /// Returns the number of requests of the version that has fewer.
    pub fn smaller_total(&self) -> u64 {
        self.old.total.min(self.new.total)
    }

    /// Returns the ratio of the geometric mean latencies, new version over old.
    pub fn latency_ratio(&self) -> Option<f64> {
        Some((self.new.mean_log_latency()? - self.old.mean_log_latency()?).exp())
    }

    /// Returns a summary of the counts as part of a sentence.
    pub fn summary(&self) -> String {
        let ratio = self.latency_ratio().map_or_else(String::new, |ratio| {
            format!("; latency {ratio:.2} times the old version's")
        });
        format!(
            "{:.2}% of {} requests failed on the new version, {:.2}% of {} on the old{ratio}",
            self.new.failure_rate() * 100.0,
            self.new.total,
            self.old.failure_rate() * 100.0,
            self.old.total,
        )
    }
}
