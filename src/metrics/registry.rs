//! Cadence sink that adds metrics up inside the process.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cadence::MetricSink;
use compact_str::CompactString;
use serde::Serialize;

/// Kind of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SampleKind {
    /// Only rises.
    Counter,
    /// Rises and falls.
    Gauge,
}

/// One counter or gauge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// Name with the prefix, separated by `.`.
    pub name: CompactString,
    /// Name and value of the tag, if there is one, as `code:overloaded`.
    pub tag: CompactString,
    /// Kind.
    pub kind: SampleKind,
    /// Value.
    pub value: u64,
}

/// Values by name and tag.
type Values = BTreeMap<(CompactString, CompactString), (SampleKind, u64)>;

/// All counters and gauges of a process.
#[derive(Clone, Debug, Default)]
pub(super) struct Registry {
    values: Arc<Mutex<Values>>,
}

/// Sink that parses statsd lines into a [`Registry`].
#[derive(Debug)]
pub(super) struct RegistrySink {
    registry: Registry,
}

impl Registry {
    /// Returns all samples in the order of their names.
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

    /// Returns the sum of all samples of a name.
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

    /// Locks the values; they stay consistent if a holder panics, because each change is a single store.
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
