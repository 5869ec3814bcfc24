//! Results of a run, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::memory::Memory;

/// Largest time that is recorded, in microseconds; larger values are clamped to it.
const TIME_US_MAX: u64 = 120_000_000;

/// Results of one run.
#[derive(Default)]
pub(crate) struct Report {
    pub(crate) targets: Vec<TargetReport>,
    pub(crate) memory: Option<Memory>,
}

/// Results of one target over all rounds.
pub(crate) struct TargetReport {
    name: &'static str,
    first_byte_us: Histogram<u32>,
    whole_us: Histogram<u32>,
    lateness_us: Histogram<u32>,
    errors: BTreeMap<String, u64>,
    elapsed: Duration,
    unfinished: u64,
    broken_streams: u64,
}

/// Summary of the results of one target.
#[derive(Serialize)]
struct TargetSummary {
    target: &'static str,
    requests: u64,
    errors: u64,
    unfinished: u64,
    broken_streams: u64,
    requests_per_s: f64,
    first_token_p50_ms: f64,
    first_token_p99_ms: f64,
    whole_p50_ms: f64,
    whole_p99_ms: f64,
    lateness_p99_ms: f64,
}

impl TargetReport {
    pub(crate) fn new(name: &'static str) -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, TIME_US_MAX, 3).expect("the bounds are valid constants")
        };
        Self {
            name,
            first_byte_us: histogram(),
            whole_us: histogram(),
            lateness_us: histogram(),
            errors: BTreeMap::new(),
            elapsed: Duration::ZERO,
            unfinished: 0,
            broken_streams: 0,
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        self.name
    }

    pub(crate) fn record(&mut self, first_byte: Duration, whole: Duration) {
        self.first_byte_us
            .saturating_record(first_byte.as_micros() as u64);
        self.whole_us.saturating_record(whole.as_micros() as u64);
    }

    pub(crate) fn record_lateness(&mut self, lateness: Duration) {
        self.lateness_us
            .saturating_record(lateness.as_micros() as u64);
    }

    pub(crate) fn record_error(&mut self, error: &str) {
        *self.errors.entry(error.to_owned()).or_default() += 1;
    }

    pub(crate) fn add_round(&mut self, elapsed: Duration, unfinished: u64) {
        self.elapsed += elapsed;
        self.unfinished += unfinished;
    }

    pub(crate) fn add_broken_streams(&mut self, count: u64) {
        self.broken_streams += count;
    }

    fn summary(&self) -> TargetSummary {
        let ms = |histogram: &Histogram<u32>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        let requests = self.whole_us.len();
        TargetSummary {
            target: self.name,
            requests,
            errors: self.errors.values().sum(),
            unfinished: self.unfinished,
            broken_streams: self.broken_streams,
            // The rate includes the time until the last response, so that a growing backlog lowers it.
            requests_per_s: requests as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE),
            first_token_p50_ms: ms(&self.first_byte_us, 0.5),
            first_token_p99_ms: ms(&self.first_byte_us, 0.99),
            whole_p50_ms: ms(&self.whole_us, 0.5),
            whole_p99_ms: ms(&self.whole_us, 0.99),
            lateness_p99_ms: ms(&self.lateness_us, 0.99),
        }
    }
}

impl Report {
    /// Returns the summaries of all targets.
    fn summaries(&self) -> Vec<TargetSummary> {
        self.targets.iter().map(TargetReport::summary).collect()
    }

    /// Returns the time that the router adds to the median and 99th percentile of the time to first token.
    fn added_latency(&self) -> Option<(f64, f64)> {
        match self.summaries().as_slice() {
            [direct, router] => Some((
                router.first_token_p50_ms - direct.first_token_p50_ms,
                router.first_token_p99_ms - direct.first_token_p99_ms,
            )),
            _ => None,
        }
    }

    /// Renders the results as one line of JSON.
    pub(crate) fn render_json(&self) -> String {
        let added_latency = self.added_latency();
        let results = json!({
            "targets": self.summaries(),
            "added_first_token_p50_ms": added_latency.map(|(p50, _)| p50),
            "added_first_token_p99_ms": added_latency.map(|(_, p99)| p99),
            "memory": self.memory,
        });
        format!("{results}\n")
    }

    /// Renders the results as a table.
    pub(crate) fn render_table(&self) -> String {
        let summaries = self.summaries();
        let added_latency = self.added_latency();
        let mut out = String::from(
            "target   requests  errors  unfinished  broken  requests/s  first p50 ms  first p99 ms  whole p50 ms  whole p99 ms  late p99 ms\n",
        );
        for summary in &summaries {
            // Writing to a string cannot fail.
            let _ = writeln!(
                out,
                "{:<8} {:>8} {:>7} {:>11} {:>7} {:>11.0} {:>13.3} {:>13.3} {:>13.3} {:>13.3} {:>12.3}",
                summary.target,
                summary.requests,
                summary.errors,
                summary.unfinished,
                summary.broken_streams,
                summary.requests_per_s,
                summary.first_token_p50_ms,
                summary.first_token_p99_ms,
                summary.whole_p50_ms,
                summary.whole_p99_ms,
                summary.lateness_p99_ms
            );
        }
        if let Some((p50, p99)) = added_latency {
            let _ = writeln!(out, "added    first token p50 {p50:.3} ms, p99 {p99:.3} ms");
        }
        for target in &self.targets {
            for (error, count) in &target.errors {
                let _ = writeln!(out, "{}: {count} x {error}", target.name);
            }
        }
        if let Some(memory) = &self.memory {
            let _ = writeln!(
                out,
                "memory   {} KiB without streams, {} KiB with {} open idle streams: {} bytes per stream",
                memory.resident_without_kib,
                memory.resident_with_kib,
                memory.streams,
                memory.bytes_per_stream
            );
        }
        out.truncate(out.trim_end().len());
        out
    }
}
