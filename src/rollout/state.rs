//! State of one rollout, and the decisions that follow from the evidence.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::route::{Check, RouteState};
use super::{FULL_SHARE_PPM, INITIAL_SHARE_PPM, POST_DEADLINE_COMPARISON_MS};
use crate::evidence::{Finding, Metric, VersionTest};
use crate::ids::Offset;
use crate::record;

/// Maximum number of decisions that are kept per rollout.
const RETAINED_DECISIONS: usize = 500;

/// Maximum number of routes that are compared; requests of further routes follow the other routes without evidence.
const MAX_COMPARED_ROUTES: usize = 64;

/// Share of the rollout's requests from which a route needs evidence of its own, as a divisor: 5%.
///
/// A smaller route cannot give enough evidence at the initial share. It follows the others, which exposes at most this
/// share of all requests to a bad version.
const LARGE_ROUTE_DIVISOR: u64 = 20;

/// Number of bad routes at which the whole version is rolled back, whatever the evidence on the others.
const BAD_ROUTES_TO_ROLL_BACK_VERSION: usize = 2;

/// Time at full share after which the next check no longer counts as consecutive.
const CHECK_COUNT_RESET_MS: u64 = 600_000;

/// How a rollout ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutResult {
    /// Whether all traffic moved by the deadline.
    pub is_kept: bool,
    /// Reason why the deadline was not met.
    pub reason: CompactString,
}

/// A decision on a rollout, with the figures that it is based on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Offset of the record that led to the decision.
    pub offset: Offset,
    /// Newest time in the records up to the decision, since the Unix epoch.
    pub at_ms: u64,
    /// The decision as a sentence.
    pub sentence: CompactString,
}

/// State of one rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// Model or service whose traffic moves.
    pub model: CompactString,
    /// Version that served before the rollout.
    pub from_version: CompactString,
    /// Version that the rollout moves the traffic to.
    pub to_version: CompactString,
    /// Wall-clock time at which the rollout starts, since the Unix epoch.
    pub start_ms: u64,
    /// Wall-clock time by which all traffic must have moved.
    pub deadline_ms: u64,
    /// Revision in force.
    pub revision: u64,
    /// Newest step of the routes without their own steps.
    pub step: u32,
    /// Share of requests that the new version gets on these routes, in parts per million.
    pub share_ppm: u32,
    /// Routes with evidence.
    pub routes: BTreeMap<CompactString, RouteState>,
    /// Sequential test over all routes.
    pub version_test: VersionTest,
    /// Routes that were rolled back, with the reason; an empty name stands for the whole version.
    pub rolled_back: BTreeMap<CompactString, CompactString>,
    /// End of the rollout.
    pub end: Option<RolloutResult>,
    /// Whether the comparison of the versions has ended.
    pub is_watch_over: bool,
    /// Offset of the first entry of the rollout.
    pub first_offset: Offset,
    /// Newest time in the records of the rollout.
    pub newest_ms: u64,
    /// Decisions, the oldest first.
    pub decisions: Vec<Decision>,
}

impl RolloutState {
    pub(super) fn new(offset: Offset, entry: &record::Rollout) -> Self {
        let mut state = Self {
            model: entry.model.as_str().into(),
            from_version: entry.from_version.as_str().into(),
            to_version: entry.to_version.as_str().into(),
            start_ms: entry.start_ms,
            deadline_ms: entry.deadline_ms,
            revision: entry.revision,
            step: 0,
            share_ppm: 0,
            routes: BTreeMap::new(),
            version_test: VersionTest::new(comparison_ms(entry.start_ms, entry.deadline_ms)),
            rolled_back: BTreeMap::new(),
            end: None,
            is_watch_over: false,
            first_offset: offset,
            newest_ms: entry.start_ms,
            decisions: Vec::new(),
        };
        state.record_revision(offset);
        state
    }

    /// Applies a new revision, which the caller has checked.
    pub(super) fn revise(&mut self, offset: Offset, entry: &record::Rollout) {
        let is_same_move = self.model == entry.model
            && self.from_version == entry.from_version
            && self.to_version == entry.to_version;
        if !is_same_move {
            let decisions = std::mem::take(&mut self.decisions);
            let first_offset = self.first_offset;
            *self = Self::new(offset, entry);
            let newest = std::mem::replace(&mut self.decisions, decisions);
            self.decisions.extend(newest);
            self.first_offset = first_offset;
            return;
        }
        self.revision = entry.revision;
        self.start_ms = entry.start_ms;
        self.deadline_ms = entry.deadline_ms;
        self.is_watch_over = false;
        if self.end.take().is_some_and(|end| !end.is_kept) {
            self.resume_unmoved_routes();
        }
        self.record_revision(offset);
    }

    /// Restarts, at the initial share, the routes that returned to the old version because an earlier revision missed
    /// its deadline.
    fn resume_unmoved_routes(&mut self) {
        if self.step > 0 && self.share_ppm == 0 {
            self.step += 1;
            self.share_ppm = INITIAL_SHARE_PPM;
        }
        for route in self.routes.values_mut() {
            if let (Some(step), 0) = (route.step, route.share_ppm) {
                route.step = Some(step + 1);
                route.share_ppm = INITIAL_SHARE_PPM;
            }
        }
    }

    fn record_revision(&mut self, offset: Offset) {
        let sentence = format!(
            "Revision {} accepted: model {} moves from {} to {} within {}.",
            self.revision,
            self.model,
            self.from_version,
            self.to_version,
            format_duration(self.deadline_ms - self.start_ms)
        );
        self.record_decision(offset, sentence);
    }

    /// Returns the version that serves as long as no other rollout follows.
    pub fn serving_version(&self) -> &str {
        let has_moved = !self.rolled_back.contains_key("")
            && self.end.is_some()
            && self.share_ppm == FULL_SHARE_PPM;
        if has_moved {
            &self.to_version
        } else {
            &self.from_version
        }
    }

    /// Returns whether a route, or the whole version, was rolled back.
    pub fn is_rolled_back(&self, route: &str) -> bool {
        self.rolled_back.contains_key("") || self.rolled_back.contains_key(route)
    }

    /// Returns whether results still count as evidence.
    pub fn accepts_evidence(&self) -> bool {
        !self.is_watch_over && !self.rolled_back.contains_key("")
    }

    /// Returns the step and the share in force on a route.
    pub fn step_and_share(&self, route: &str) -> (u32, u32) {
        match self.routes.get(route) {
            Some(RouteState {
                step: Some(step),
                share_ppm,
                ..
            }) => (*step, *share_ppm),
            _ => (self.step, self.share_ppm),
        }
    }

    /// Returns the share that a route has reached, regardless of a running check, which lowers it temporarily.
    pub fn reached_share_ppm(&self, route: &str) -> u32 {
        match self.routes.get(route) {
            Some(state) if matches!(state.check, Check::Running | Check::Cleared { .. }) => {
                state.resume_ppm
            }
            _ => self.step_and_share(route).1,
        }
    }

    /// Returns whether a route has so many requests that it needs evidence of its own.
    pub fn is_large(&self, route: &RouteState) -> bool {
        let requests = |route: &RouteState| route.comparison.since_start().total();
        let all: u64 = self.routes.values().map(requests).sum();
        requests(route) * LARGE_ROUTE_DIVISOR >= all
    }

    pub(super) fn apply_step(&mut self, offset: Offset, entry: &record::RolloutStep) {
        if entry.revision != self.revision || entry.share_ppm > FULL_SHARE_PPM {
            return;
        }
        let (step, old_share_ppm) = self.step_and_share(&entry.route);
        if entry.step != step + 1 {
            return;
        }
        if entry.route.is_empty() {
            self.step = entry.step;
            self.share_ppm = entry.share_ppm;
        } else {
            let Some(route) = self.routes.get_mut(entry.route.as_str()) else {
                return;
            };
            route.apply_step(entry);
        }
        self.newest_ms = self.newest_ms.max(entry.at_ms);
        let subject = match self.routes.get(entry.route.as_str()) {
            Some(route) => format!(
                "Route {}: {}.",
                entry.route,
                route.comparison.since_step().summary()
            ),
            None => "Routes without steps of their own.".into(),
        };
        let sentence = format!(
            "Share of {} set from {} to {}. {subject}",
            self.to_version,
            format_percent(old_share_ppm),
            format_percent(entry.share_ppm)
        );
        self.record_decision(offset, sentence);
    }

    pub(super) fn apply_evidence(&mut self, offset: Offset, entry: &record::Evidence) {
        self.newest_ms = self.newest_ms.max(entry.end_ms);
        if entry.end_ms > self.deadline_ms.saturating_add(POST_DEADLINE_COMPARISON_MS) {
            self.is_watch_over = true;
        }
        if !self.accepts_evidence() || self.is_rolled_back(&entry.route) || entry.step == 0 {
            return;
        }
        let number = self.routes.len();
        if number >= MAX_COMPARED_ROUTES && !self.routes.contains_key(entry.route.as_str()) {
            return;
        }
        let (step, share_ppm) = self.step_and_share(&entry.route);
        let is_full = entry.step == step && share_ppm == FULL_SHARE_PPM;
        let expected_ms = comparison_ms(self.start_ms, self.deadline_ms);
        let route = self
            .routes
            .entry(entry.route.as_str().into())
            .or_insert_with(|| RouteState::new(number as u32, expected_ms));
        let (findings, closed) = route.comparison.add(entry, is_full);
        if let Some(closed) = &closed {
            self.version_test.add(route.number, closed);
        }
        for finding in findings {
            self.apply_finding(offset, entry, finding);
        }
        if closed.is_some() {
            self.evaluate_version(offset);
        }
    }

    /// Rolls back the whole version if the evidence over all routes shows that it is worse.
    fn evaluate_version(&mut self, offset: Offset) {
        if self.rolled_back.contains_key("") {
            return;
        }
        let metric = self.version_test.worse_metric();
        let is_worse_elsewhere = self.rolled_back.keys().any(|name| {
            self.routes
                .get(name)
                .is_some_and(|route| self.version_test.is_worse_without(route.number))
        });
        if metric.is_none() && !is_worse_elsewhere {
            return;
        }
        let figures: Vec<String> = self
            .routes
            .iter()
            .map(|(name, route)| format!("{name}: {}", route.comparison.since_step().summary()))
            .collect();
        let subject = metric.map_or("results", metric_name);
        let reason = format!("{subject} worse on several routes: {}", figures.join("; "));
        self.roll_back(offset, "", &reason);
    }

    fn apply_finding(&mut self, offset: Offset, entry: &record::Evidence, finding: Finding) {
        let Some(route) = self.routes.get_mut(entry.route.as_str()) else {
            return;
        };
        let figures = route.comparison.since_step().summary();
        let name = &entry.route;
        if entry.end_ms >= route.step_ms.saturating_add(CHECK_COUNT_RESET_MS)
            && route.check == Check::None
        {
            route.checks = 0;
        }
        match finding {
            Finding::Worse(metric) => {
                let reason = format!(
                    "{} worse since the newest step: {figures}",
                    metric_name(metric)
                );
                self.roll_back(offset, name, &reason);
            }
            Finding::NonInferior if route.check == Check::Running => {
                route.check = Check::Cleared {
                    at_ms: entry.end_ms,
                };
                let sentence = format!("Route {name}: the comparison shows no fault: {figures}.");
                self.record_decision(offset, sentence);
            }
            Finding::NonInferior if route.passed_ms.is_none() => {
                route.passed_ms = Some(entry.end_ms);
                let sentence = format!("Route {name}: the evidence is complete: {figures}.");
                self.record_decision(offset, sentence);
            }
            Finding::SuspectedRegression(metric) if route.check == Check::None => {
                route.check = Check::Due {
                    at_ms: entry.end_ms,
                };
                let sentence = format!(
                    "Route {name}: {} rose while the new version served alone: {figures}. The old one serves a part \
                     again for a comparison.",
                    metric_name(metric)
                );
                self.record_decision(offset, sentence);
            }
            Finding::PeriodicCheck if route.check == Check::None => {
                route.check = Check::Due {
                    at_ms: entry.end_ms,
                };
                let sentence = format!("Route {name}: a routine comparison is due: {figures}.");
                self.record_decision(offset, sentence);
            }
            Finding::NonInferior | Finding::SuspectedRegression(_) | Finding::PeriodicCheck => {}
        }
    }

    pub(super) fn roll_back(&mut self, offset: Offset, route: &str, reason: &str) {
        if self.is_rolled_back(route) {
            return;
        }
        self.rolled_back.insert(route.into(), reason.into());
        let subject = if route.is_empty() {
            format!("Version {}", self.to_version)
        } else {
            format!("Route {route}")
        };
        self.record_decision(offset, format!("{subject} rolled back: {reason}."));
        self.schedule_checks_of_full_routes();
        if route.is_empty() {
            if self.end.is_none() {
                self.end = Some(RolloutResult {
                    is_kept: false,
                    reason: format!("rolled back: {reason}").into(),
                });
            }
            return;
        }
        let bad = self.rolled_back.len();
        let is_large_route_left = self
            .routes
            .iter()
            .any(|(name, state)| !self.rolled_back.contains_key(name) && self.is_large(state));
        if bad >= BAD_ROUTES_TO_ROLL_BACK_VERSION || !is_large_route_left {
            let names: Vec<&str> = self.rolled_back.keys().map(CompactString::as_str).collect();
            let reason = format!("bad on {}", names.join(", "));
            self.roll_back(offset, "", &reason);
        }
    }

    /// Schedules a check of the routes at full share, after another route was rolled back.
    fn schedule_checks_of_full_routes(&mut self) {
        let at_ms = self.newest_ms;
        for (name, route) in &mut self.routes {
            let is_suspect = route.check == Check::None
                && route.step.is_some()
                && route.share_ppm == FULL_SHARE_PPM
                && !self.rolled_back.contains_key(name);
            if is_suspect {
                route.check = Check::Due { at_ms };
            }
        }
    }

    pub(super) fn apply_end(&mut self, offset: Offset, entry: &record::RolloutEnd) {
        if entry.revision != self.revision || self.end.is_some() {
            return;
        }
        if !entry.is_kept {
            self.return_unmoved_routes();
        }
        let sentence = if entry.is_kept {
            "The rollout is done: all traffic moved by the deadline.".into()
        } else {
            format!("The deadline was not kept: {}.", entry.reason)
        };
        self.end = Some(RolloutResult {
            is_kept: entry.is_kept,
            reason: entry.reason.as_str().into(),
        });
        self.record_decision(offset, sentence);
    }

    /// Sends all requests of the routes that have not moved completely back to the old version.
    fn return_unmoved_routes(&mut self) {
        let (default_step, default_share_ppm) = (self.step, self.share_ppm);
        for route in self.routes.values_mut() {
            let (step, share_ppm) = match route.step {
                Some(step) => (step, route.share_ppm),
                None => (default_step, default_share_ppm),
            };
            if share_ppm < FULL_SHARE_PPM && route.check == Check::None {
                route.step = Some(step + 1);
                route.share_ppm = 0;
            }
        }
        if default_share_ppm < FULL_SHARE_PPM {
            self.step += 1;
            self.share_ppm = 0;
        }
    }

    fn record_decision(&mut self, offset: Offset, sentence: String) {
        if self.decisions.len() == RETAINED_DECISIONS {
            self.decisions.remove(0);
        }
        self.decisions.push(Decision {
            offset,
            at_ms: self.newest_ms,
            sentence: sentence.into(),
        });
    }

    /// Returns the decisions as sentences, the oldest first.
    pub(super) fn explain(&self) -> Vec<String> {
        self.decisions
            .iter()
            .map(|decision| {
                format!(
                    "{} after the start (offset {}): {}",
                    format_duration(decision.at_ms.saturating_sub(self.start_ms)),
                    decision.offset,
                    decision.sentence
                )
            })
            .collect()
    }
}

/// Returns the time over which the versions are compared.
fn comparison_ms(start_ms: u64, deadline_ms: u64) -> u64 {
    deadline_ms
        .saturating_sub(start_ms)
        .saturating_add(POST_DEADLINE_COMPARISON_MS)
}

fn metric_name(metric: Metric) -> &'static str {
    match metric {
        Metric::Failures => "failures",
        Metric::Latency => "latency",
    }
}

/// Formats a share as a percentage.
pub(super) fn format_percent(share_ppm: u32) -> String {
    format!("{}%", f64::from(share_ppm) / 10_000.0)
}

/// Formats a duration with its two largest units.
pub(super) fn format_duration(ms: u64) -> String {
    let seconds = ms / 1_000;
    match (seconds / 3_600, seconds / 60 % 60, seconds % 60) {
        (0, 0, seconds) => format!("{seconds} s"),
        (0, minutes, seconds) => format!("{minutes} min {seconds} s"),
        (hours, minutes, _) => format!("{hours} h {minutes} min"),
    }
}
