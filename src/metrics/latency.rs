//! Latency histograms per priority class and per customer.

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::{Latency, MAX_CUSTOMERS};
use crate::collections::FastMap;
use crate::contract::Priority;

/// Largest latency that is recorded, in milliseconds; larger values are clamped to it.
const LATENCY_MS_MAX: u64 = 3_600_000;

/// Significant decimal digits of a recorded latency.
///
/// With two digits a histogram takes a few kilobytes and its quantiles are accurate within 1%.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Name of the histograms that all customers beyond `MAX_CUSTOMERS` share.
const OTHER_CUSTOMERS: &str = "other";

/// Summary of one histogram.
#[derive(Clone, Debug, Serialize)]
pub struct LatencySummary {
    /// Name of the class or customer.
    pub of: CompactString,
    /// Name of the latency.
    pub latency: &'static str,
    /// Number of recorded requests.
    pub count: u64,
    /// Sum of the recorded times.
    pub sum_ms: u64,
    /// Median of the recorded times.
    pub p50_ms: u64,
    /// 95th percentile of the recorded times.
    pub p95_ms: u64,
    /// 99th percentile of the recorded times.
    pub p99_ms: u64,
    /// Longest recorded time.
    pub max_ms: u64,
}

/// Histogram with the sum of its values, which a Prometheus summary contains.
#[derive(Debug)]
struct Series {
    histogram: Histogram<u32>,
    sum_ms: u64,
}

/// All latency histograms of a process.
#[derive(Debug, Default)]
pub(super) struct Latencies {
    classes: FastMap<(Priority, u8), Series>,
    customers: FastMap<CompactString, [Option<Series>; 3]>,
}

impl Series {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MS_MAX, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            histogram,
            sum_ms: 0,
        })
    }

    fn record(&mut self, ms: u64) {
        let ms = ms.min(LATENCY_MS_MAX);
        self.histogram.saturating_record(ms);
        self.sum_ms = self.sum_ms.saturating_add(ms);
    }

    fn summary(&self, of: &str, latency: Latency) -> LatencySummary {
        LatencySummary {
            of: of.into(),
            latency: latency.name(),
            count: self.histogram.len(),
            sum_ms: self.sum_ms,
            p50_ms: self.histogram.value_at_quantile(0.5),
            p95_ms: self.histogram.value_at_quantile(0.95),
            p99_ms: self.histogram.value_at_quantile(0.99),
            max_ms: self.histogram.max(),
        }
    }
}

impl Latencies {
    pub(super) fn record(&mut self, latency: Latency, class: Priority, customer: &str, ms: u64) {
        let key = (class, latency as u8);
        if !self.classes.contains_key(&key) {
            self.classes
                .extend(Series::new().map(|series| (key, series)));
        }
        if let Some(series) = self.classes.get_mut(&key) {
            series.record(ms);
        }
        let slot = &mut self.customer(customer)[latency as usize];
        if slot.is_none() {
            *slot = Series::new();
        }
        if let Some(series) = slot {
            series.record(ms);
        }
    }

    fn customer(&mut self, customer: &str) -> &mut [Option<Series>; 3] {
        let is_known = self.customers.contains_key(customer);
        let name = if is_known || self.customers.len() < MAX_CUSTOMERS {
            customer
        } else {
            OTHER_CUSTOMERS
        };
        self.customers.entry(name.into()).or_default()
    }

    pub(super) fn by_class(&self) -> Vec<LatencySummary> {
        let mut summaries = Vec::new();
        for class in Priority::ALL {
            for latency in Latency::ALL {
                if let Some(series) = self.classes.get(&(class, latency as u8)) {
                    summaries.push(series.summary(class.name(), latency));
                }
            }
        }
        summaries
    }

    pub(super) fn by_customer(&self) -> Vec<LatencySummary> {
        let mut names: Vec<_> = self.customers.keys().collect();
        names.sort();
        let mut summaries = Vec::new();
        for name in names {
            for latency in Latency::ALL {
                if let Some(series) = &self.customers[name][latency as usize] {
                    summaries.push(series.summary(name, latency));
                }
            }
        }
        summaries
    }
}
