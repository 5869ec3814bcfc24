//! Attribution of upstream crashes to what the requests that caused them have in common.
//!
//! A request can crash every upstream that begins to answer it, and such requests need not be alike: one part of their
//! prompts may be the cause. So a router counts crashes for each [`Feature`] of a request: the parts of its prompt that
//! other requests may share, and the request as a whole. The counts follow three rules:
//!
//! - A response that begins proves all features of its request harmless and resets their counts; if a crash of the
//!   feature came later in a response, only a complete one does.
//! - A crash counts for a feature only if the request was sent after the previous crash of that feature was known.
//!   Upstreams that end together, for reasons of their own, count once.
//! - A feature keeps the features that were present in all its crashes. A request is refused only if it has all of
//!   them, so that a harmless part which has only been seen beside a harmful one is still served.
//!
//! Copies of one request can end all upstreams of a small service before the first crash is known, which counts once and
//! looks like upstreams that end together. Therefore a feature also keeps which processes ended under it. From
//! [`CRASH_LIMIT`] processes on it is suspended: one request with it is tried at a time in the whole fleet. A response to
//! that request releases the feature, and a crash refuses it.
//!
//! The counts of all routers are merged. A merge is commutative, associative and idempotent, so reports may be late,
//! repeated or lost as long as a later one arrives. The policy is described in `docs/policies/quarantine.md`.

mod entry;

use std::cmp::Ordering;

use prost::Message;

use crate::collections::FastMap;

use entry::{Entry, State};

/// Number of crashes without a response in between from which requests with a feature are refused, and of ended processes
/// from which they are tried one at a time.
///
/// A request that waits at an upstream when it crashes for another reason is a suspect too, and the caller's retry can
/// meet a second crash of a series; the third one is unlikely to be a coincidence.
pub const CRASH_LIMIT: u32 = 3;

/// Maximum number of features with a count; a feature takes up to 600 bytes.
pub const MAX_FEATURES: usize = 4_096;

/// Maximum number of features of one request.
pub const MAX_REQUEST_FEATURES: usize = 64;

/// Maximum number of features in one report, so that a report fits into a record of the store.
const MAX_REPORTED_FEATURES: usize = 256;

/// Time after which a count below the limit is forgotten.
const SUSPICION_RETENTION_MS: u64 = 60_000;

/// Time after which a feature at the limit is forgotten, if no trial has confirmed it.
const QUARANTINE_RETENTION_MS: u64 = 24 * 3_600_000;

/// Time after which one request with a refused feature is tried; each failed trial multiplies it by
/// [`TRIAL_DELAY_FACTOR`].
const TRIAL_DELAY_MS: u64 = 60_000;

/// Growth of the delay between trials: three requests at most are tried within eight hours, or one more right after the
/// crashes of a suspended feature.
const TRIAL_DELAY_FACTOR: u64 = 8;

/// Time after which the result of a trial is not expected any more, because the router that made it may have ended. A
/// stream of a loaded engine begins within some seconds.
const TRIAL_TIMEOUT_MS: u64 = 10_000;

/// Time for which a crash with a known cause exonerates the other requests that waited at the upstream.
const EXPLANATION_RETENTION_MS: u64 = 10_000;

/// Maximum number of crashes with a known cause that are kept.
const MAX_EXPLANATIONS: usize = 256;

/// A property that requests can share, as a hash: a part of the prompt, or the request as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Feature(pub u64);

/// A crash of one process of an upstream, as a hash of its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CrashId(pub u64);

/// What a router tells the others about crashes.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Counts that the sender has changed.
    #[prost(message, repeated, tag = "1")]
    pub counts: Vec<FeatureCount>,
    /// Crashes of whose cause the sender is certain, because a response had begun.
    #[prost(fixed64, repeated, tag = "2")]
    pub explained_crashes: Vec<u64>,
}

/// Count of one feature.
#[derive(Clone, PartialEq, Message)]
pub struct FeatureCount {
    /// The feature.
    #[prost(fixed64, tag = "1")]
    pub feature: u64,
    /// Number of times that the feature was proved harmless.
    #[prost(uint32, tag = "2")]
    pub generation: u32,
    /// Crashes in this generation.
    #[prost(uint32, tag = "3")]
    pub crashes: u32,
    /// Wall clock at the newest crash, in seconds.
    #[prost(uint64, tag = "4")]
    pub counted_at_s: u64,
    /// Features that were present in all crashes.
    #[prost(message, repeated, tag = "5")]
    pub companions: Vec<Companion>,
    /// Processes that ended in this generation, up to [`CRASH_LIMIT`] of them.
    #[prost(fixed64, repeated, tag = "6")]
    pub processes: Vec<u64>,
    /// Number of trials that have begun in this generation.
    #[prost(uint32, tag = "7")]
    pub trials: u32,
    /// Number of the newest trial whose result is known.
    #[prost(uint32, tag = "8")]
    pub ended_trials: u32,
    /// Whether one of the crashes came after the first event of a response.
    #[prost(bool, tag = "9")]
    pub has_late_crash: bool,
}

impl FeatureCount {
    /// Returns what the count says, without its features and times.
    fn state(&self) -> State {
        State {
            generation: self.generation,
            crashes: self.crashes,
            processes: self.processes.len(),
            companions: self.companions.len(),
            trials: self.trials,
            ended_trials: self.ended_trials,
            has_late_crash: self.has_late_crash,
        }
    }
}

/// A feature that was present in all crashes of another one.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Companion {
    /// The feature.
    #[prost(fixed64, tag = "1")]
    pub feature: u64,
    /// Its generation at the time of the crashes; a higher one proves that it did not cause them.
    #[prost(uint32, tag = "2")]
    pub generation: u32,
}

/// Time as this module needs it: a monotonic clock for decisions, and the wall clock to judge the age of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic clock of this process.
    pub now_ms: u64,
    /// Wall clock, in seconds.
    pub wall_s: u64,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing is known against the request.
    Allowed,
    /// The request has the features of requests that crashed upstreams.
    Refused {
        /// The feature that reached the limit.
        feature: Feature,
        /// Time until a request with this feature is tried; 0 if one may be tried now.
        trial_in_ms: u64,
    },
}

/// Crash counts of features, as this router knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashAttribution {
    entries: FastMap<Feature, Entry>,
    /// Number of features that are refused or suspended.
    refused_count: usize,
    /// Crashes with a known cause, with the time at which that became known here.
    explained: FastMap<CrashId, u64>,
    /// Crashes with a known cause that this router reports.
    own_explained: Vec<CrashId>,
    has_unpublished_explanation: bool,
    /// Whether the stored report of this router still claims more than is known now.
    is_report_outdated: bool,
}

impl CrashAttribution {
    /// Returns whether no feature has a count, so that every request is allowed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of features with a count.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of features whose requests are refused, or tried one at a time.
    pub fn refused_count(&self) -> usize {
        self.refused_count
    }

    fn update_refused_count(&mut self) {
        let entries = self.entries.values();
        self.refused_count = entries.filter(|entry| entry.is_limited()).count();
    }

    /// Returns the number of crashes that count against a feature.
    pub fn crashes(&self, feature: Feature) -> u32 {
        self.entries.get(&feature).map_or(0, |entry| entry.crashes)
    }

    /// Returns whether a feature is suspended: its requests are tried one at a time, without a delay.
    pub fn is_suspended(&self, feature: Feature) -> bool {
        let entry = self.entries.get(&feature);
        entry.is_some_and(|entry| entry.is_limited() && entry.crashes < CRASH_LIMIT)
    }

    fn is_limited(&self, feature: Feature) -> bool {
        self.entries.get(&feature).is_some_and(Entry::is_limited)
    }

    /// Returns whether a request with these features may be sent; of several reasons to refuse it, the longest one.
    pub fn admission(&self, features: &[Feature], now_ms: u64) -> Admission {
        let mut admission = Admission::Allowed;
        let mut longest_ms = 0;
        for feature in features {
            let Some(entry) = self.entries.get(feature) else {
                continue;
            };
            let has_all = || {
                let mut companions = entry.companions.iter();
                companions.all(|other| {
                    features.contains(&Feature(other.feature)) || !self.is_suspected(other)
                })
            };
            if !entry.is_limited() || !has_all() {
                continue;
            }
            let trial_in_ms = entry.trial_due_ms(now_ms).saturating_sub(now_ms);
            if admission == Admission::Allowed || trial_in_ms > longest_ms {
                longest_ms = trial_in_ms;
                admission = Admission::Refused {
                    feature: *feature,
                    trial_in_ms,
                };
            }
        }
        admission
    }

    /// Records that one request with a refused feature is sent to find out whether it still crashes upstreams.
    pub fn begin_trial(&mut self, features: &[Feature], now_ms: u64) {
        for feature in features {
            if let Some(entry) = self.entries.get_mut(feature) {
                if entry.is_limited() {
                    entry.begin_trial(entry.trials.saturating_add(1), now_ms);
                }
            }
        }
    }

    /// Returns the report with which this router claims the next trial of the refused features of a request.
    ///
    /// The claim is valid if the report is written on the condition that no other one has been written since this router
    /// read them all. It takes effect when the report is merged. Returns `None` if a report has no room for it.
    pub fn claim_trial(&mut self, features: &[Feature]) -> Option<CrashReport> {
        for feature in features {
            if let Some(entry) = self.entries.get_mut(feature) {
                entry.is_reported |= entry.is_limited();
            }
        }
        let mut report = self.report();
        for feature in features {
            if !self.is_limited(*feature) {
                continue;
            }
            let mut counts = report.counts.iter_mut();
            let count = counts.find(|count| count.feature == feature.0)?;
            count.trials = self.trials(*feature).saturating_add(1);
        }
        Some(report)
    }

    fn trials(&self, feature: Feature) -> u32 {
        self.entries.get(&feature).map_or(0, |entry| entry.trials)
    }

    /// Records that a trial has ended without a result, so that the next one may begin.
    pub fn end_trial(&mut self, features: &[Feature]) {
        for feature in features {
            if let Some(entry) = self.entries.get_mut(feature) {
                if entry.ended_trials < entry.trials {
                    entry.ended_trials = entry.trials;
                    entry.is_urgent = true;
                }
            }
        }
    }

    /// Counts a crash for a request that was sent at `sent_ms`; returns the features that reached a limit by it.
    pub fn record_crash(
        &mut self,
        features: &[Feature],
        crash: CrashId,
        sent_ms: u64,
        clocks: Clocks,
    ) -> Vec<Feature> {
        self.count_crash(features, (crash, false), sent_ms, clocks)
    }

    /// Counts a crash for a request whose response was under way, so that the beginning of another response proves
    /// nothing; returns the features that reached a limit by it.
    pub fn record_late_crash(
        &mut self,
        features: &[Feature],
        crash: CrashId,
        sent_ms: u64,
        clocks: Clocks,
    ) -> Vec<Feature> {
        self.count_crash(features, (crash, true), sent_ms, clocks)
    }

    fn count_crash(
        &mut self,
        features: &[Feature],
        crash: (CrashId, bool),
        sent_ms: u64,
        clocks: Clocks,
    ) -> Vec<Feature> {
        let features = &features[..features.len().min(MAX_REQUEST_FEATURES)];
        let present = features.iter().map(|feature| Companion {
            feature: feature.0,
            generation: self
                .entries
                .get(feature)
                .map_or(0, |entry| entry.generation),
        });
        let present: Vec<Companion> = present.collect();
        let mut reached = Vec::new();
        for feature in features {
            if !self.entries.contains_key(feature) {
                self.make_room();
            }
            let entry = self
                .entries
                .entry(*feature)
                .or_insert_with(|| Entry::new(0, sent_ms, clocks.wall_s));
            if entry.record_crash(crash, sent_ms, clocks, &present) {
                reached.push(*feature);
            }
        }
        self.update_refused_count();
        reached
    }

    /// Records that a response to a request with these features has begun; returns whether that changes anything.
    pub fn record_begin(&mut self, features: &[Feature], clocks: Clocks) -> bool {
        self.reset(features, clocks, |entry| !entry.has_late_crash)
    }

    /// Records that a response to a request with these features is complete; returns whether that changes anything.
    pub fn record_success(&mut self, features: &[Feature], clocks: Clocks) -> bool {
        self.reset(features, clocks, |_| true)
    }

    /// Resets the counts of the features that a response proves harmless.
    fn reset(
        &mut self,
        features: &[Feature],
        clocks: Clocks,
        is_proved: impl Fn(&Entry) -> bool,
    ) -> bool {
        let mut is_changed = false;
        for feature in features {
            let Some(entry) = self.entries.get_mut(feature) else {
                continue;
            };
            if entry.crashes > 0 && is_proved(entry) {
                entry.record_success(clocks);
                self.remove_companion(*feature);
                is_changed = true;
            }
        }
        if is_changed {
            self.update_refused_count();
        }
        is_changed
    }

    /// Records that the cause of a crash is certain, so that it is not counted for other requests.
    pub fn explain(&mut self, crash: CrashId, now_ms: u64) {
        let is_new = self.insert_explanation(crash, now_ms);
        if is_new && self.own_explained.len() < MAX_EXPLANATIONS {
            self.own_explained.push(crash);
            self.has_unpublished_explanation = true;
        }
    }

    fn insert_explanation(&mut self, crash: CrashId, now_ms: u64) -> bool {
        let has_room = self.explained.len() < MAX_FEATURES;
        has_room && self.explained.insert(crash, now_ms).is_none()
    }

    /// Returns whether the cause of a crash is certain.
    pub fn is_explained(&self, crash: CrashId) -> bool {
        self.explained.contains_key(&crash)
    }

    /// Merges the report of a router; `is_own` tells that a predecessor of this process wrote it. Returns the features
    /// that reached the limit or were proved harmless after they had reached it.
    pub fn merge(&mut self, report: &CrashReport, is_own: bool, clocks: Clocks) -> Vec<Feature> {
        for crash in report.explained_crashes.iter().take(MAX_EXPLANATIONS) {
            self.insert_explanation(CrashId(*crash), clocks.now_ms);
        }
        let mut changed = Vec::new();
        for count in report.counts.iter().take(MAX_REPORTED_FEATURES) {
            let feature = Feature(count.feature);
            let was_limited = self.is_limited(feature);
            let was_suspended = self.is_suspended(feature);
            self.merge_count(feature, count, is_own, clocks);
            if was_limited != self.is_limited(feature)
                || was_suspended != self.is_suspended(feature)
            {
                changed.push(feature);
            }
        }
        self.update_refused_count();
        changed
    }

    fn merge_count(
        &mut self,
        feature: Feature,
        count: &FeatureCount,
        is_own: bool,
        clocks: Clocks,
    ) {
        let retention_ms = retention_ms(count.state().is_limited());
        let age_ms = clocks.wall_s.saturating_sub(count.counted_at_s) * 1_000;
        if !self.entries.contains_key(&feature) {
            if age_ms > retention_ms {
                return;
            }
            self.make_room();
        }
        let companions = count.companions.iter().take(MAX_REQUEST_FEATURES).copied();
        let companions: Vec<Companion> = companions
            .filter(|other| self.is_suspected(other))
            .collect();
        let entry = self
            .entries
            .entry(feature)
            .or_insert_with(|| Entry::new(count.generation, clocks.now_ms, count.counted_at_s));
        entry.is_reported |= is_own;
        let mut is_exonerated = false;
        match count.generation.cmp(&entry.generation) {
            Ordering::Less => {
                self.is_report_outdated |= entry.is_reported && is_own;
                return;
            }
            Ordering::Greater => {
                is_exonerated = true;
                self.is_report_outdated |= entry.is_reported && entry.is_limited();
                entry.replace(count, companions, clocks.now_ms);
            }
            Ordering::Equal => entry.merge(count, companions, clocks.now_ms),
        }
        entry.published = entry.published.merged(count.state());
        if is_exonerated {
            self.remove_companion(feature);
        }
    }

    /// Returns whether this router knows something that no report has shown.
    pub fn needs_report(&self) -> bool {
        let mut entries = self.entries.values();
        self.has_unpublished_explanation
            || self.is_report_outdated
            || entries.any(Entry::is_unpublished)
    }

    /// Treats all counts and explanations as unpublished, because the store may have forgotten the reports.
    pub fn forget_published(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_forgotten |= !entry.is_unpublished();
            entry.published = State::default();
        }
        self.has_unpublished_explanation = !self.own_explained.is_empty();
    }

    /// Returns whether this router knows of a crash that no report has shown, or of the result of a trial, so that the
    /// others must learn it at once.
    pub fn has_urgent_report(&self) -> bool {
        let mut entries = self.entries.values();
        self.has_unpublished_explanation
            || entries.any(|entry| {
                let is_unknown = entry.is_unpublished() && !entry.is_forgotten;
                is_unknown && (entry.crashes > 0 || entry.is_urgent)
            })
    }

    /// Returns the report of this router, which replaces its previous one.
    pub fn report(&mut self) -> CrashReport {
        let mut own: Vec<(&Feature, &mut Entry)> = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_reported || entry.is_unpublished())
            .collect();
        own.sort_by_key(|(feature, entry)| (std::cmp::Reverse(entry.eviction_order()), **feature));
        let mut counts = Vec::with_capacity(own.len().min(MAX_REPORTED_FEATURES));
        for (position, (feature, entry)) in own.into_iter().enumerate() {
            entry.is_reported = position < MAX_REPORTED_FEATURES;
            if entry.is_reported {
                counts.push(entry.count(*feature));
            }
        }
        CrashReport {
            counts,
            explained_crashes: self.own_explained.iter().map(|crash| crash.0).collect(),
        }
    }

    /// Records that a report of this router was written.
    pub fn record_published(&mut self, report: &CrashReport) {
        for count in &report.counts {
            if let Some(entry) = self.entries.get_mut(&Feature(count.feature)) {
                entry.published = entry.published.merged(count.state());
                entry.is_urgent &= entry.is_unpublished();
            }
        }
        let own = self.own_explained.iter();
        let is_missing = |crash: &CrashId| !report.explained_crashes.contains(&crash.0);
        self.has_unpublished_explanation = own.copied().any(|crash| is_missing(&crash));
        self.is_report_outdated = false;
    }

    /// Forgets counts and explanations that are too old.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| {
            now_ms.saturating_sub(entry.changed_ms) < retention_ms(entry.is_limited())
        });
        self.update_refused_count();
        let explained = &mut self.explained;
        explained.retain(|_, known_ms| now_ms.saturating_sub(*known_ms) < EXPLANATION_RETENTION_MS);
        self.own_explained
            .retain(|crash| explained.contains_key(crash));
    }

    /// Evicts the entry that says least, if there are as many as allowed.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_FEATURES {
            return;
        }
        let weakest = self
            .entries
            .iter()
            .min_by_key(|(feature, entry)| (entry.eviction_order(), **feature))
            .map(|(feature, _)| *feature);
        if let Some(feature) = weakest {
            self.entries.remove(&feature);
        }
    }

    /// Returns whether a companion may still be the cause: it has not been proved harmless since the crashes.
    fn is_suspected(&self, companion: &Companion) -> bool {
        let entry = self.entries.get(&Feature(companion.feature));
        entry.is_none_or(|entry| entry.generation <= companion.generation)
    }

    /// Removes a feature that was proved harmless from the companions of others, before its generation is forgotten.
    fn remove_companion(&mut self, harmless: Feature) {
        let generation = self
            .entries
            .get(&harmless)
            .map_or(0, |entry| entry.generation);
        for entry in self.entries.values_mut() {
            entry
                .companions
                .retain(|other| other.feature != harmless.0 || other.generation >= generation);
        }
    }
}

fn retention_ms(is_limited: bool) -> u64 {
    if is_limited {
        QUARANTINE_RETENTION_MS
    } else {
        SUSPICION_RETENTION_MS
    }
}
