//! Version rollouts, as every process folds them from the log.
//!
//! See `docs/design.md`, section 3.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::record;

/// State of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Route whose traffic moves.
    pub model: CompactString,
    /// Version that serves now.
    pub from_version: CompactString,
    /// Version that shall serve.
    pub to_version: CompactString,
    /// Wall-clock time at which the rollout starts, since the Unix epoch.
    pub start_ms: u64,
    /// Wall-clock time by which all traffic shall have moved.
    pub deadline_ms: u64,
    /// Revision in force.
    pub revision: u64,
    /// Newest step.
    pub step: u32,
    /// Share of requests that the new version gets, in parts per million.
    pub share_ppm: u32,
    /// Routes that were rolled back, with the reason; the empty name stands for the whole version.
    pub rolled_back: BTreeMap<CompactString, CompactString>,
    /// End of the rollout.
    pub end: Option<RolloutResult>,
}

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutResult {
    /// Whether all traffic moved by the deadline.
    pub is_kept: bool,
    /// Why the deadline was not kept.
    pub reason: CompactString,
}

/// All rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    rollouts: BTreeMap<CompactString, RolloutState>,
}

impl Rollouts {
    /// Starts or changes a rollout.
    ///
    /// # Errors
    ///
    /// Returns the reason for the operator if the entry does not replace the revision in force.
    pub fn start(&mut self, entry: &record::Rollout) -> Result<(), String> {
        let in_force = self
            .rollouts
            .get(entry.id.as_str())
            .map_or(0, |state| state.revision);
        if entry.replaces != in_force || entry.revision <= in_force {
            return Err(format!(
                "rollout {}: replaces revision {}, but revision {in_force} is in force",
                entry.id, entry.replaces
            ));
        }
        self.rollouts.insert(
            entry.id.as_str().into(),
            RolloutState {
                model: entry.model.as_str().into(),
                from_version: entry.from_version.as_str().into(),
                to_version: entry.to_version.as_str().into(),
                start_ms: entry.start_ms,
                deadline_ms: entry.deadline_ms,
                revision: entry.revision,
                step: 0,
                share_ppm: 0,
                rolled_back: BTreeMap::new(),
                end: None,
            },
        );
        Ok(())
    }

    /// Takes the next step; the first record for a step counts.
    pub fn step(&mut self, entry: &record::RolloutStep) {
        if let Some(state) = self.rollouts.get_mut(entry.id.as_str()) {
            if entry.revision == state.revision && entry.step == state.step + 1 {
                state.step = entry.step;
                state.share_ppm = entry.share_ppm;
            }
        }
    }

    /// Adds the results of one process.
    pub fn add_evidence(&mut self, _entry: &record::Evidence) {}

    /// Rolls a route or the whole version back.
    pub fn roll_back(&mut self, entry: &record::Rollback) {
        if let Some(state) = self.rollouts.get_mut(entry.id.as_str()) {
            state
                .rolled_back
                .entry(entry.route.as_str().into())
                .or_insert_with(|| entry.reason.as_str().into());
        }
    }

    /// Ends a rollout.
    pub fn end(&mut self, entry: &record::RolloutEnd) {
        if let Some(state) = self.rollouts.get_mut(entry.id.as_str()) {
            if entry.revision == state.revision && state.end.is_none() {
                state.end = Some(RolloutResult {
                    is_kept: entry.is_kept,
                    reason: entry.reason.as_str().into(),
                });
            }
        }
    }

    /// Returns all rollouts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RolloutState)> {
        self.rollouts.iter().map(|(id, state)| (id.as_str(), state))
    }
}
