//! Requests that crash upstreams, as every process folds them from the log.
//!
//! The first crash of a fingerprint may be the upstream's fault. The second one in the fleet stops the request
//! everywhere, so that a caller that sends it again cannot take one upstream after another down. See
//! `docs/policies/quarantine.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::Fingerprint;

/// Crashes of one fingerprint in the fleet after which the request is stopped everywhere.
pub const CRASH_LIMIT: u32 = 2;

/// Number of fingerprints with a single crash that are remembered.
///
/// Counts bound the memory rather than a time, so that all folds forget the same fingerprint at the same offset.
pub const RETAINED_SINGLE_CRASHES: usize = 10_000;

/// Number of stopped fingerprints that are remembered.
///
/// They are counted apart from single crashes, so that no flood of single crashes releases a stopped request.
pub const RETAINED_QUARANTINED: usize = 10_000;

/// Crash counts by request fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, u32>,
    single_order: VecDeque<Fingerprint>,
    stopped_order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Counts a crash.
    pub fn add_crash(&mut self, fingerprint: Fingerprint) {
        let count = self.crashes.entry(fingerprint).or_insert(0);
        *count = count.saturating_add(1);
        match *count {
            1 => {
                self.single_order.push_back(fingerprint);
                if self.single_order.len() > RETAINED_SINGLE_CRASHES {
                    if let Some(oldest) = self.single_order.pop_front() {
                        self.crashes.remove(&oldest);
                    }
                }
            }
            CRASH_LIMIT => {
                self.single_order.retain(|&single| single != fingerprint);
                self.stopped_order.push_back(fingerprint);
                if self.stopped_order.len() > RETAINED_QUARANTINED {
                    if let Some(oldest) = self.stopped_order.pop_front() {
                        self.crashes.remove(&oldest);
                    }
                }
            }
            _ => {}
        }
    }

    /// Returns whether an upstream crashed while it ran the request.
    pub fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.contains_key(&fingerprint)
    }

    /// Returns whether the request is stopped.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crashes
            .get(&fingerprint)
            .is_some_and(|&count| count >= CRASH_LIMIT)
    }

    /// Returns the number of fingerprints that are remembered.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
