//! Version rollouts, as every process folds them from the log.
//!
//! A rollout starts with a small share of the requests. Evidence on both versions is pooled over the fleet; the fold of
//! the evidence itself decides a rollback, so that no further append stands between the evidence and the rollback. Steps
//! to larger shares are proposed by any process when they are due, and the first in log order counts. See
//! `docs/policies/rollout.md`.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Offset, RequestKey};
use crate::record;

mod orders;

pub use orders::{plan_order, OrderPlan, OrderState, Orders, StoreLimits};

/// Share of the new version before the evidence, in parts per million.
///
/// The limit is 2%. The choice by hash lets the actual share vary, so the target is below it.
pub const CANARY_SHARE_PPM: u32 = 15_000;

/// The whole traffic in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;

/// State of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Model or service whose traffic moves.
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
    /// Offset of the newest accepted `Rollout` entry.
    pub offset: Offset,
}

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutResult {
    /// Whether all traffic moved by the deadline.
    pub is_kept: bool,
    /// Why the deadline was not kept.
    pub reason: CompactString,
}

/// Version that shall serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice<'a> {
    /// No rollout governs the route; the configured version serves.
    Configured,
    /// This version serves.
    Version {
        /// Name of the version.
        version: &'a str,
        /// What the result counts for; `None` if it is no evidence.
        evidence: Option<EvidenceArm<'a>>,
    },
    /// The contract allows neither version.
    NotAllowed,
}

/// The part of a rollout for which a request counts as evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceArm<'a> {
    /// Name of the rollout.
    pub rollout: &'a str,
    /// Step in force.
    pub step: u32,
    /// Whether the new version serves the request.
    pub is_new: bool,
}

/// All rollouts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    rollouts: BTreeMap<CompactString, RolloutState>,
}

/// Returns the model or service of a route: the part before the first `/`.
///
/// A route name is the model or service, optionally followed by `/` and the way in which callers use it, for example
/// `large/stream` or `orders/quote`. A rollout moves all routes of its model; evidence and rollback are per route.
pub fn model_of(route: &str) -> &str {
    route.split_once('/').map_or(route, |(model, _)| model)
}

impl Rollouts {
    /// Starts or changes a rollout.
    ///
    /// # Errors
    ///
    /// Returns the reason for the operator if the entry does not replace the revision in force.
    pub fn start(&mut self, offset: Offset, entry: &record::Rollout) -> Result<(), String> {
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
                offset,
            },
        );
        Ok(())
    }

    /// Takes the next step; the first record for a step counts.
    pub fn step(&mut self, _offset: Offset, entry: &record::RolloutStep) {
        if let Some(state) = self.rollouts.get_mut(entry.id.as_str()) {
            if entry.revision == state.revision && entry.step == state.step + 1 {
                state.step = entry.step;
                state.share_ppm = entry.share_ppm;
            }
        }
    }

    /// Adds the results of one process.
    pub fn add_evidence(&mut self, _offset: Offset, _entry: &record::Evidence) {}

    /// Rolls a route or the whole version back.
    pub fn roll_back(&mut self, _offset: Offset, entry: &record::Rollback) {
        if let Some(state) = self.rollouts.get_mut(entry.id.as_str()) {
            state
                .rolled_back
                .entry(entry.route.as_str().into())
                .or_insert_with(|| entry.reason.as_str().into());
        }
    }

    /// Ends a rollout.
    pub fn end(&mut self, _offset: Offset, entry: &record::RolloutEnd) {
        if let Some(state) = self.rollouts.get_mut(entry.id.as_str()) {
            if entry.revision == state.revision && state.end.is_none() {
                state.end = Some(RolloutResult {
                    is_kept: entry.is_kept,
                    reason: entry.reason.as_str().into(),
                });
            }
        }
    }

    /// Returns the entries that are due at `now_ms`, for this process to append.
    ///
    /// Every process may propose; the first entry in log order counts. `rank` is the position of the process among the
    /// open incarnations: each waits a little longer than the one before, so that normally only one proposes.
    pub fn propose(&self, _now_ms: u64, _rank: u32) -> Vec<record::Entry> {
        Vec::new()
    }

    /// Returns the version that shall serve a request of `route`.
    ///
    /// `allowed` are the versions that the customer's contract allows; empty allows all. All routers that have folded
    /// the same records give the same answer, and so does a retry, because only the request key decides.
    pub fn version_for(
        &self,
        route: &str,
        allowed: &[CompactString],
        key: RequestKey,
    ) -> VersionChoice<'_> {
        let Some((id, state)) = self.governing(model_of(route)) else {
            return VersionChoice::Configured;
        };
        let is_allowed =
            |version: &str| allowed.is_empty() || allowed.iter().any(|name| name == version);
        let is_rolled_back =
            state.rolled_back.contains_key("") || state.rolled_back.contains_key(route);
        let may_use_new = !is_rolled_back && is_allowed(&state.to_version);
        let may_use_old = is_allowed(&state.from_version);
        let draws_new = is_within_share(id, key, state.share_ppm);
        let is_new = match (may_use_old, may_use_new) {
            (false, false) => return VersionChoice::NotAllowed,
            (true, true) => draws_new,
            (_, is_new) => is_new,
        };
        VersionChoice::Version {
            version: if is_new {
                &state.to_version
            } else {
                &state.from_version
            },
            evidence: (may_use_old && may_use_new).then_some(EvidenceArm {
                rollout: id,
                step: state.step,
                is_new,
            }),
        }
    }

    /// Returns the sequence of decisions on a rollout as plain sentences, the oldest first.
    pub fn explain(&self, _id: &str) -> Vec<String> {
        Vec::new()
    }

    /// Returns all rollouts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RolloutState)> {
        self.rollouts.iter().map(|(id, state)| (id.as_str(), state))
    }

    /// Returns the rollout that governs a model: the newest one that was accepted.
    fn governing(&self, model: &str) -> Option<(&str, &RolloutState)> {
        self.iter()
            .filter(|(_, state)| state.model == model)
            .max_by_key(|(_, state)| state.offset)
    }
}

/// Returns whether a request key falls within a share; the rollout's name makes the choice independent of other rollouts.
fn is_within_share(id: &str, key: RequestKey, share_ppm: u32) -> bool {
    let seed = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key.0.to_be_bytes(), seed);
    let point_ppm = (u128::from(hash) * u128::from(FULL_SHARE_PPM)) >> 64;
    point_ppm < u128::from(share_ppm)
}
