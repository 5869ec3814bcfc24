//! Version rollouts, as folded from the log by every process.
//!
//! A rollout starts with a small share of the requests. The evidence on both versions is pooled over the whole fleet. A
//! rollback follows from folding the evidence records themselves, so no further append is needed between the evidence
//! and the rollback. Steps to larger shares may be proposed by any process when they are due; the first record in log
//! order counts. See `docs/policies/rollout.md`.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Offset, RequestKey};
use crate::record;

mod orders;
mod route;
mod schedule;
mod state;

pub use orders::{plan_load_orders, OrderPlan, OrderState, Orders, WeightStoreLimits};
pub use route::{Check, RouteState};
pub use schedule::Proposer;
pub use state::{Decision, RolloutResult, RolloutState};

/// Initial share of the new version, in parts per million.
///
/// The limit before there is enough evidence is 2%. The share that is actually served varies around the configured one,
/// because versions are assigned by hash, and a very bad version is rolled back after about a dozen of its requests.
/// With an average of 0.5%, these requests exceed 2% in fewer than one of 10,000 rollouts; with an average of 1%, in
/// one of 50.
pub const INITIAL_SHARE_PPM: u32 = 5_000;

/// Share of the new version before there is enough evidence, once [`CANARY_REQUESTS`] have ended.
pub const CANARY_SHARE_PPM: u32 = 15_000;

/// Number of requests after which the actual share stays below 2% with [`CANARY_SHARE_PPM`]: 2% is four standard
/// deviations away.
pub const CANARY_REQUESTS: u64 = 10_000;

/// Share of the new version while a suspected regression is checked. A quarter of the requests for the old version
/// gives evidence fastest.
pub const CHECK_SHARE_PPM: u32 = 750_000;

/// All requests, in parts per million.
pub const FULL_SHARE_PPM: u32 = 1_000_000;

/// Time after the deadline for which the versions are still compared.
pub const POST_DEADLINE_COMPARISON_MS: u64 = 3_600_000;

/// Maximum number of rollouts that are kept; the oldest ended ones that govern no model are evicted.
const RETAINED_ROLLOUTS: usize = 64;

/// Version that must serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice<'a> {
    /// No rollout governs the route; the configured version serves.
    Configured,
    /// This version serves.
    Version {
        /// Name of the version.
        version: &'a str,
        /// Experiment arm of the result; `None` if the result is not evidence.
        evidence: Option<EvidenceArm<'a>>,
    },
    /// The contract allows neither version.
    NotAllowed,
}

/// Experiment arm of a request, without the route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceArm<'a> {
    /// Name of the rollout.
    pub rollout: &'a str,
    /// Step in force.
    pub step: u32,
    /// Whether the new version serves the request.
    pub is_new: bool,
}

/// All rollouts that are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollouts {
    rollouts: BTreeMap<CompactString, RolloutState>,
}

/// Returns the model or service of a route: the part before the first `/`.
///
/// A route name is the name of the model or service, optionally followed by `/` and the kind of use, for example
/// `large/stream` or `orders/quote`. A rollout moves all routes of its model; evidence and rollback are per route.
pub fn model_of(route: &str) -> &str {
    route.split_once('/').map_or(route, |(model, _)| model)
}

impl Rollouts {
    /// Starts or revises a rollout.
    ///
    /// A new revision keeps the evidence, the steps and the rollbacks if it moves the same model between the same
    /// versions. If two operators revise the same revision, the first record in log order wins.
    ///
    /// # Errors
    ///
    /// Returns the reason for the operator if the entry is not valid, if it does not replace the revision in force, or
    /// if another rollout of the model has not ended.
    pub fn apply_rollout(&mut self, offset: Offset, entry: &record::Rollout) -> Result<(), String> {
        self.validate(entry)?;
        match self.rollouts.get_mut(entry.id.as_str()) {
            Some(state) => state.revise(offset, entry),
            None => {
                self.rollouts
                    .insert(entry.id.as_str().into(), RolloutState::new(offset, entry));
                self.evict_oldest();
            }
        }
        Ok(())
    }

    fn validate(&self, entry: &record::Rollout) -> Result<(), String> {
        let id = &entry.id;
        if id.is_empty() || entry.model.is_empty() || entry.to_version.is_empty() {
            return Err(format!(
                "rollout {id}: id, model and to_version must not be empty"
            ));
        }
        if entry.from_version == entry.to_version {
            return Err(format!(
                "rollout {id}: both versions are {}",
                entry.to_version
            ));
        }
        if entry.deadline_ms <= entry.start_ms {
            return Err(format!(
                "rollout {id}: the deadline {} is not after the start {}",
                entry.deadline_ms, entry.start_ms
            ));
        }
        let known = self.rollouts.get(id.as_str());
        let in_force = known.map_or(0, |state| state.revision);
        if entry.replaces != in_force || entry.revision <= in_force {
            return Err(format!(
                "rollout {id}: replaces revision {}, but revision {in_force} is in force",
                entry.replaces
            ));
        }
        if known.is_some_and(|state| state.rolled_back.contains_key("")) {
            return Err(format!(
                "rollout {id}: was rolled back; a rollback is final, start another rollout"
            ));
        }
        match self.governing(&entry.model) {
            Some((other, state)) if other != id && state.end.is_none() => Err(format!(
                "rollout {id}: rollout {other} of model {} has not ended",
                entry.model
            )),
            Some((other, state))
                if other != id && state.serving_version() != entry.from_version =>
            {
                Err(format!(
                    "rollout {id}: moves from {}, but {} serves since rollout {other}",
                    entry.from_version,
                    state.serving_version()
                ))
            }
            Some((other, _)) if other != id && known.is_some() => Err(format!(
                "rollout {id}: rollout {other} of model {} came after it",
                entry.model
            )),
            _ => Ok(()),
        }
    }

    /// Applies the next step; the first record for a step counts.
    pub fn apply_step(&mut self, offset: Offset, entry: &record::RolloutStep) {
        if let Some(state) = self.governing_mut(&entry.id) {
            state.apply_step(offset, entry);
        }
    }

    /// Adds the results of one process and draws the conclusions from them.
    pub fn apply_evidence(&mut self, offset: Offset, entry: &record::Evidence) {
        if let Some(state) = self.governing_mut(&entry.id) {
            state.apply_evidence(offset, entry);
        }
    }

    /// Rolls back a route, or the whole version if the route is empty. This is final and overrides every later step.
    pub fn apply_rollback(&mut self, offset: Offset, entry: &record::Rollback) {
        if let Some(state) = self.governing_mut(&entry.id) {
            state.roll_back(offset, &entry.route, &entry.reason);
        }
    }

    /// Ends a rollout.
    pub fn apply_end(&mut self, offset: Offset, entry: &record::RolloutEnd) {
        if let Some(state) = self.governing_mut(&entry.id) {
            state.apply_end(offset, entry);
        }
    }

    /// Returns the entries that are due at `now_ms`, for this process to append.
    ///
    /// Every process may propose an entry; the first one in log order counts. `rank` is the position of the process
    /// among the open incarnations. Each process waits a little longer than the one before it, so that normally only
    /// one proposes. Use [`Proposer`] to avoid repeated proposals of entries that are being appended.
    pub fn propose(&self, now_ms: u64, rank: u32) -> Vec<record::Entry> {
        self.iter()
            .filter(|(id, state)| self.is_governing(id, &state.model))
            .flat_map(|(id, state)| schedule::propose(id, state, now_ms, rank))
            .collect()
    }

    /// Returns the version that must serve a request of `route`.
    ///
    /// `allowed` are the versions that the customer's contract allows; an empty list allows all. The choice depends
    /// only on the request key and the folded records, so all routers that have folded the same records agree, and a
    /// retry gets the same version.
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
        let (step, share_ppm) = state.step_and_share(route);
        let may_use_new = !state.is_rolled_back(route) && is_allowed(&state.to_version);
        let may_use_old = is_allowed(&state.from_version);
        let draws_new = is_within_share(id, key, share_ppm);
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
            evidence: (may_use_old && may_use_new && share_ppm > 0 && state.accepts_evidence())
                .then_some(EvidenceArm {
                    rollout: id,
                    step,
                    is_new,
                }),
        }
    }

    /// Returns the decisions on a rollout as sentences, the oldest first.
    pub fn explain(&self, id: &str) -> Vec<String> {
        self.rollouts
            .get(id)
            .map_or_else(Vec::new, RolloutState::explain)
    }

    /// Returns the rollout with this name.
    pub fn get(&self, id: &str) -> Option<&RolloutState> {
        self.rollouts.get(id)
    }

    /// Returns all rollouts in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RolloutState)> {
        self.rollouts.iter().map(|(id, state)| (id.as_str(), state))
    }

    /// Returns the rollout that governs a model: the newest one that was accepted.
    pub fn governing(&self, model: &str) -> Option<(&str, &RolloutState)> {
        self.iter()
            .filter(|(_, state)| state.model == model)
            .max_by_key(|(_, state)| state.first_offset)
    }

    fn is_governing(&self, id: &str, model: &str) -> bool {
        self.governing(model)
            .is_some_and(|(governing, _)| governing == id)
    }

    fn governing_mut(&mut self, id: &str) -> Option<&mut RolloutState> {
        let model = self.rollouts.get(id)?.model.clone();
        if !self.is_governing(id, &model) {
            return None;
        }
        self.rollouts.get_mut(id)
    }

    fn evict_oldest(&mut self) {
        while self.rollouts.len() > RETAINED_ROLLOUTS {
            let oldest = self
                .iter()
                .filter(|(id, state)| state.end.is_some() && !self.is_governing(id, &state.model))
                .min_by_key(|(_, state)| state.first_offset)
                .map(|(id, _)| CompactString::from(id));
            match oldest {
                Some(id) => self.rollouts.remove(&id),
                None => return,
            };
        }
    }
}

/// Returns whether a request key falls within a share. The hash is seeded with the rollout's name, which makes the
/// assignment independent of other rollouts.
fn is_within_share(id: &str, key: RequestKey, share_ppm: u32) -> bool {
    let seed = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&key.0.to_be_bytes(), seed);
    let point_ppm = (u128::from(hash) * u128::from(FULL_SHARE_PPM)) >> 64;
    point_ppm < u128::from(share_ppm)
}
