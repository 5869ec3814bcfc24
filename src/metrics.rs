//! Counters, gauges and latency histograms of one process.
//!
//! A cadence client sends counters and gauges to a sink inside the process, so that their names and tags follow the
//! statsd convention without a collector. Latencies are recorded in HDR histograms: one per priority class, and one per
//! customer for a bounded number of customers, because a mean over all customers would hide a single slow one. The
//! metrics are listed in `docs/operations/metrics.md`.

mod latency;
mod prometheus;
mod registry;

use std::cell::RefCell;
use std::rc::Rc;

use cadence::{Counted, Gauged, StatsdClient};
use serde::Serialize;

use crate::contract::Priority;
use crate::refusal::Refusal;
use latency::Latencies;
use registry::{Registry, RegistrySink};

pub use latency::LatencySummary;
pub use registry::{Sample, SampleKind};

/// Prefix of all metric names.
pub const METRIC_PREFIX: &str = "monsoonfield";

/// Number of customers with their own histograms; all further customers share those named `other`.
///
/// The three histograms of one customer take about 20 KiB, so this bound keeps them below 2 MiB in total.
pub const MAX_CUSTOMERS: usize = 64;

/// A latency that is measured per request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Latency {
    /// From acceptance until the first byte of the response body.
    FirstToken,
    /// From acceptance until the last byte of the response body.
    WholeResponse,
    /// Time in the admission queue.
    QueueWait,
}

impl Latency {
    /// All latencies.
    pub const ALL: [Self; 3] = [Self::FirstToken, Self::WholeResponse, Self::QueueWait];

    /// Returns the name in rendered metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token_ms",
            Self::WholeResponse => "whole_response_ms",
            Self::QueueWait => "queue_wait_ms",
        }
    }
}

/// Values of all metrics of a process at one time.
#[derive(Clone, Debug, Serialize)]
pub struct MetricsSnapshot {
    /// Counters and gauges.
    pub samples: Vec<Sample>,
    /// Latencies by class.
    pub classes: Vec<LatencySummary>,
    /// Latencies by customer.
    pub customers: Vec<LatencySummary>,
}

/// Handle to the metrics of one process; clones share the same values.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Rc<StatsdClient>,
    registry: Registry,
    latencies: Rc<RefCell<Latencies>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates a handle to new, empty metrics.
    pub fn new() -> Self {
        let registry = Registry::default();
        let client = StatsdClient::from_sink(METRIC_PREFIX, RegistrySink::new(registry.clone()));
        Self {
            client: Rc::new(client),
            registry,
            latencies: Rc::default(),
        }
    }

    /// Records the time until the first byte of a response body.
    pub fn record_first_token(&self, class: Priority, customer: &str, ms: u64) {
        self.record(Latency::FirstToken, class, customer, ms);
    }

    /// Records the time until the last byte of a response body.
    pub fn record_whole_response(&self, class: Priority, customer: &str, ms: u64) {
        self.record(Latency::WholeResponse, class, customer, ms);
    }

    /// Records the time in the admission queue.
    pub fn record_queue_wait(&self, class: Priority, customer: &str, ms: u64) {
        self.record(Latency::QueueWait, class, customer, ms);
    }

    /// Counts a request that was parsed and authenticated.
    pub fn count_request(&self, class: Priority) {
        let counter = self.client.count_with_tags("requests", 1);
        counter.with_tag("class", class.name()).send();
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, refusal: Refusal) {
        let counter = self.client.count_with_tags("refusals", 1);
        counter.with_tag("code", refusal.code()).send();
    }

    /// Counts a request that was refused, or a connection that was closed, for lack of memory.
    pub fn count_buffer_refusal(&self, reason: &str) {
        let counter = self.client.count_with_tags("buffer_refusals", 1);
        counter.with_tag("reason", reason).send();
    }

    /// Counts a bill and the tokens that it charges.
    pub fn count_bill(&self, charge_tokens: u64) {
        self.add("bills", 1);
        self.add("billed_tokens", charge_tokens);
    }

    /// Counts an append to the log and the size of its batch.
    pub fn count_log_append(&self, batch_bytes: u64) {
        self.add("log_appends", 1);
        self.add("log_append_bytes", batch_bytes);
    }

    /// Counts an append to the log that failed or whose response was lost.
    pub fn count_log_append_failure(&self) {
        self.add("log_append_failures", 1);
    }

    /// Counts a caller that was disconnected because it read nothing for too long.
    pub fn count_reader_disconnect(&self) {
        self.add("reader_disconnects", 1);
    }

    /// Sets the number of bytes buffered for callers that read slowly.
    pub fn set_held_bytes(&self, bytes: u64) {
        self.set("held_bytes", bytes);
    }

    /// Sets the number of open responses.
    pub fn set_open_responses(&self, count: u64) {
        self.set("open_responses", count);
    }

    /// Sets the number of requests in the admission queue.
    pub fn set_queued_requests(&self, count: u64) {
        self.set("queued_requests", count);
    }

    /// Sets the number of log records that the process has not folded yet.
    pub fn set_log_lag(&self, records: u64) {
        self.set("log_lag_records", records);
    }

    /// Adds to a counter without tags.
    pub fn add(&self, name: &str, amount: u64) {
        // The sink only fails on a malformed line, which the client never produces.
        let _ = self
            .client
            .count(name, i64::try_from(amount).unwrap_or(i64::MAX));
    }

    /// Sets a gauge without tags.
    pub fn set(&self, name: &str, value: u64) {
        // See `add`.
        let _ = self.client.gauge(name, value);
    }

    /// Returns the value of a counter or gauge, summed over its tags.
    pub fn value(&self, name: &str) -> u64 {
        self.registry.sum(&format!("{METRIC_PREFIX}.{name}"))
    }

    /// Returns the values of all metrics.
    pub fn snapshot(&self) -> MetricsSnapshot {
        let latencies = self.latencies.borrow();
        MetricsSnapshot {
            samples: self.registry.samples(),
            classes: latencies.by_class(),
            customers: latencies.by_customer(),
        }
    }

    /// Renders all metrics in the Prometheus text exposition format.
    pub fn render_prometheus(&self) -> String {
        prometheus::render(&self.snapshot())
    }

    /// Renders all metrics as JSON.
    pub fn render_json(&self) -> String {
        // Serialisation cannot fail: the snapshot consists of strings and numbers.
        serde_json::to_string(&self.snapshot()).unwrap_or_default()
    }

    fn record(&self, latency: Latency, class: Priority, customer: &str, ms: u64) {
        self.latencies
            .borrow_mut()
            .record(latency, class, customer, ms);
    }
}
