//! Cadence sink that aggregates metrics inside the process.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use compact_str::CompactString;
use serde::Serialize;

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SampleKind {
    /// A value that only increases.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
}

/// Value of one counter or gauge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Name with the prefix, as `monsoonfield.requests`.
    pub name: CompactString,
    /// Name and value of the tag, as `code:overloaded`; empty if there is no tag.
    pub tag: CompactString,
    /// Type of the metric.
    pub kind: SampleKind,
    /// Current value.
    pub value: u64,
}

/// Types and values by name and tag.
type Values = BTreeMap<(CompactString, CompactString), (SampleKind, u64)>;

/// All counters and gauges of a process.
#[derive(Clone, Debug, Default)]
pub(super) struct Registry {
    values: Arc<Mutex<Values>>,
}

/// Sink that parses statsd lines and adds them to a [`Registry`].
#[derive(Debug)]
pub(super) struct RegistrySink {
    registry: Registry,
}

impl Registry {
    /// Returns all samples, sorted by name.
    pub(super) fn samples(&self) -> Vec<Sample> {
        let values = self.lock();
        let samples = values.iter().map(|((name, tag), &(kind, value))| Sample {
            name: name.clone(),
            tag: tag.clone(),
            kind,
            value,
        });
        samples.collect()
    }

    /// Returns the sum of all samples with the given name.
    pub(super) fn sum(&self, name: &str) -> u64 {
        let values = self.lock();
        let named = values.iter().filter(|((other, _), _)| other == name);
        named.map(|(_, &(_, value))| value).sum()
    }

    fn add(&self, line: &str) -> Option<()> {
        let (name, rest) = line.split_once(':')?;
        let mut parts = rest.split('|');
        let value: u64 = parts.next()?.parse().ok()?;
        let kind = match parts.next()? {
            "c" => SampleKind::Counter,
            "g" => SampleKind::Gauge,
            _ => return None,
        };
        let tag = parts.find_map(|part| part.strip_prefix('#')).unwrap_or("");
        let mut values = self.lock();
        let entry = values.entry((name.into(), tag.into())).or_insert((kind, 0));
        match kind {
            SampleKind::Counter => entry.1 = entry.1.saturating_add(value),
            SampleKind::Gauge => entry.1 = value,
        }
        Some(())
    }

    /// Locks the values, ignoring poisoning: each change is a single store, so a panic leaves them consistent.
    fn lock(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RegistrySink {
    pub(super) fn new(registry: Registry) -> Self {
        Self { registry }
    }
}

impl MetricSink for RegistrySink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.registry.add(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "not a counter or gauge line",
            )),
        }
    }
}
