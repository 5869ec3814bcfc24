//! Quarantine of requests that crash upstreams, as folded from the log by every process.
//!
//! The first crash on a request fingerprint may be the upstream's fault. The second crash anywhere in the fleet
//! quarantines the request everywhere, so that a caller that retries it cannot crash one upstream after another. See
//! `docs/policies/quarantine.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::Fingerprint;

/// Number of crashes in the fleet at which a fingerprint is quarantined.
pub const CRASH_LIMIT: u32 = 2;

/// Maximum number of fingerprints with a single crash that are kept.
///
/// The limit is a count and not an age, so that all processes evict the same fingerprint at the same log offset.
pub const RETAINED_SINGLE_CRASHES: usize = 10_000;

/// Maximum number of quarantined fingerprints that are kept.
///
/// They have a limit of their own, so that a flood of single crashes cannot release a quarantined request.
pub const RETAINED_QUARANTINED: usize = 10_000;

/// Crash counts by request fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, u32>,
    /// Fingerprints with a single crash, the oldest first.
    single_order: VecDeque<Fingerprint>,
    /// Quarantined fingerprints, the oldest first.
    stopped_order: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Records a crash of an upstream that ran the request.
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

    /// Returns whether an upstream has crashed while it ran the request.
    pub fn has_crashed(&self, fingerprint: Fingerprint) -> bool {
        self.crashes.contains_key(&fingerprint)
    }

    /// Returns whether the request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crashes
            .get(&fingerprint)
            .is_some_and(|&count| count >= CRASH_LIMIT)
    }

    /// Returns the number of fingerprints that are kept.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }
}
