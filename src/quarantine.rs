//! Requests that crash upstreams, as every process folds them from the log.
//!
//! See `docs/design.md`, section 3.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Fingerprint;

/// Crashes of one fingerprint in the fleet after which the request is stopped everywhere.
pub const CRASH_LIMIT: u32 = 2;

/// Crash counts by request fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, u32>,
}

impl Quarantine {
    /// Counts a crash.
    pub fn add_crash(&mut self, fingerprint: Fingerprint) {
        *self.crashes.entry(fingerprint).or_insert(0) += 1;
    }

    /// Returns whether the request is stopped.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.crashes
            .get(&fingerprint)
            .is_some_and(|&count| count >= CRASH_LIMIT)
    }
}
