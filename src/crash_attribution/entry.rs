//! What a router knows of one feature.

use super::{
    Clocks, Companion, CrashId, Feature, FeatureCount, CRASH_LIMIT, TRIAL_DELAY_FACTOR,
    TRIAL_DELAY_MS, TRIAL_TIMEOUT_MS,
};

/// Maximum number of ended processes that are kept; more say no more than that the limit is reached.
const MAX_PROCESSES: usize = CRASH_LIMIT as usize;

/// Summary of a count, by which routers see whether a report tells anything new.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct State {
    pub(super) generation: u32,
    pub(super) crashes: u32,
    /// Number of processes that are kept.
    pub(super) processes: usize,
    /// Number of companions.
    pub(super) companions: usize,
    pub(super) trials: u32,
    pub(super) ended_trials: u32,
    pub(super) has_late_crash: bool,
}

impl State {
    /// Returns whether a feature with this count is refused or suspended.
    pub(super) fn is_limited(&self) -> bool {
        self.crashes >= CRASH_LIMIT || self.processes >= MAX_PROCESSES
    }

    /// Returns what two reports together have told.
    pub(super) fn merged(self, other: Self) -> Self {
        if self.generation != other.generation {
            return if self.generation > other.generation {
                self
            } else {
                other
            };
        }
        let companions = match (self.crashes, other.crashes) {
            (0, _) => other.companions,
            (_, 0) => self.companions,
            _ => self.companions.min(other.companions),
        };
        Self {
            generation: self.generation,
            crashes: self.crashes.max(other.crashes),
            processes: self.processes.max(other.processes),
            companions,
            trials: self.trials.max(other.trials),
            ended_trials: self.ended_trials.max(other.ended_trials),
            has_late_crash: self.has_late_crash || other.has_late_crash,
        }
    }
}

/// What a router knows of one feature.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) generation: u32,
    pub(super) crashes: u32,
    /// The smallest hashes of the processes that ended, so that merges in any order keep the same ones.
    processes: Vec<u64>,
    pub(super) companions: Vec<Companion>,
    /// Time at which the newest change became known here.
    pub(super) changed_ms: u64,
    pub(super) counted_at_s: u64,
    /// Number of trials that have begun.
    pub(super) trials: u32,
    /// Number of the newest trial whose result is known.
    pub(super) ended_trials: u32,
    /// Time at which the newest trial became known here.
    trial_began_ms: u64,
    /// Whether a counted crash came after the first event of a response, so that only a complete response proves the
    /// feature harmless.
    pub(super) has_late_crash: bool,
    /// What the reports of all routers have shown.
    pub(super) published: State,
    /// Whether the report of this router contains the feature.
    pub(super) is_reported: bool,
    /// Whether reports had shown this state, but may have been forgotten since.
    pub(super) is_forgotten: bool,
    /// Whether requests are refused elsewhere until the others learn the newest change.
    pub(super) is_urgent: bool,
}

impl Entry {
    /// Creates an entry without a crash.
    pub(super) fn new(generation: u32, changed_ms: u64, counted_at_s: u64) -> Self {
        Self {
            generation,
            crashes: 0,
            processes: Vec::new(),
            companions: Vec::new(),
            changed_ms,
            counted_at_s,
            trials: 0,
            ended_trials: 0,
            trial_began_ms: 0,
            has_late_crash: false,
            published: State::default(),
            is_reported: false,
            is_forgotten: false,
            is_urgent: false,
        }
    }

    /// Returns the part of a report that describes this entry.
    pub(super) fn count(&self, feature: Feature) -> FeatureCount {
        FeatureCount {
            feature: feature.0,
            generation: self.generation,
            crashes: self.crashes,
            counted_at_s: self.counted_at_s,
            companions: self.companions.clone(),
            processes: self.processes.clone(),
            trials: self.trials,
            ended_trials: self.ended_trials,
            has_late_crash: self.has_late_crash,
        }
    }

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

    /// Returns whether this router knows more than all reports have shown.
    pub(super) fn is_unpublished(&self) -> bool {
        let state = self.state();
        state.generation >= self.published.generation
            && self.published.merged(state) != self.published
    }

    /// Returns whether the feature is refused or suspended.
    pub(super) fn is_limited(&self) -> bool {
        self.state().is_limited()
    }

    /// Returns the order in which entries are evicted: lower counts first, then older ones.
    pub(super) fn eviction_order(&self) -> (u32, u64) {
        let crashes = if self.is_limited() {
            CRASH_LIMIT
        } else {
            self.crashes
        };
        (crashes, self.changed_ms)
    }

    /// Returns the time from which the next request may be tried.
    pub(super) fn trial_due_ms(&self, now_ms: u64) -> u64 {
        let timeout_ms = self.trial_began_ms.saturating_add(TRIAL_TIMEOUT_MS);
        if self.ended_trials < self.trials && now_ms < timeout_ms {
            return timeout_ms;
        }
        if self.crashes < CRASH_LIMIT {
            return 0;
        }
        let failed_trials = self.crashes - CRASH_LIMIT;
        let factor = TRIAL_DELAY_FACTOR.saturating_pow(failed_trials);
        self.changed_ms
            .saturating_add(TRIAL_DELAY_MS.saturating_mul(factor))
    }

    /// Records that the trial with this number has begun.
    pub(super) fn begin_trial(&mut self, trial: u32, now_ms: u64) {
        self.trials = trial;
        self.trial_began_ms = now_ms;
        if self.crashes >= CRASH_LIMIT {
            self.changed_ms = now_ms;
        }
    }

    /// Counts a crash under a request that was sent at `sent_ms`; returns whether the feature reached a limit by it.
    ///
    /// The processes of late crashes are not kept: the many responses that are under way at upstreams which end together
    /// would suspend all features that they share.
    pub(super) fn record_crash(
        &mut self,
        (crash, is_late): (CrashId, bool),
        sent_ms: u64,
        clocks: Clocks,
        present: &[Companion],
    ) -> bool {
        let is_known_before = sent_ms < self.changed_ms;
        if is_known_before && self.crashes == 0 {
            return false;
        }
        let was_limited = self.is_limited();
        let was_refused = self.crashes >= CRASH_LIMIT;
        if self.crashes == 0 {
            self.companions = present.to_vec();
        } else {
            self.companions.retain(|other| present.contains(other));
        }
        if !is_late {
            self.add_processes(&[crash.0]);
        }
        if is_known_before {
            if !was_limited && self.is_limited() {
                self.set_changed(clocks);
            }
        } else {
            // A request that was sent while the feature was suspended was alone, so it is the cause.
            let least = if was_limited { CRASH_LIMIT } else { 0 };
            self.crashes = self.crashes.saturating_add(1).max(least);
            self.ended_trials = self.trials;
            self.has_late_crash |= is_late;
            self.set_changed(clocks);
        }
        (!was_limited && self.is_limited()) || (!was_refused && self.crashes >= CRASH_LIMIT)
    }

    /// Records that a response proves the feature harmless, which resets the counts.
    pub(super) fn record_success(&mut self, clocks: Clocks) {
        let is_urgent = self.is_limited();
        *self = Self {
            published: self.published,
            is_reported: self.is_reported,
            is_urgent,
            ..Self::new(
                self.generation.saturating_add(1),
                clocks.now_ms,
                clocks.wall_s,
            )
        };
    }

    fn set_changed(&mut self, clocks: Clocks) {
        self.changed_ms = clocks.now_ms;
        self.counted_at_s = clocks.wall_s;
        self.is_forgotten = false;
    }

    fn add_processes(&mut self, processes: &[u64]) {
        self.processes.extend(processes);
        self.processes.sort_unstable();
        self.processes.dedup();
        self.processes.truncate(MAX_PROCESSES);
    }

    /// Replaces the entry by a count of a higher generation.
    pub(super) fn replace(
        &mut self,
        count: &FeatureCount,
        companions: Vec<Companion>,
        now_ms: u64,
    ) {
        *self = Self {
            published: self.published,
            is_reported: self.is_reported,
            ..Self::new(count.generation, now_ms, count.counted_at_s)
        };
        self.merge(count, companions, now_ms);
    }

    /// Merges a count of the same generation.
    pub(super) fn merge(&mut self, count: &FeatureCount, companions: Vec<Companion>, now_ms: u64) {
        let was_limited = self.is_limited();
        if count.crashes > 0 && self.crashes == 0 {
            self.companions = companions;
        } else if count.crashes > 0 {
            self.companions.retain(|other| companions.contains(other));
        }
        self.add_processes(&count.processes);
        if count.crashes > self.crashes || was_limited != self.is_limited() {
            self.crashes = self.crashes.max(count.crashes);
            self.changed_ms = now_ms;
            self.counted_at_s = self.counted_at_s.max(count.counted_at_s);
        }
        if count.trials > self.trials {
            self.begin_trial(count.trials, now_ms);
        }
        self.ended_trials = self.ended_trials.max(count.ended_trials);
        self.has_late_crash |= count.has_late_crash;
    }
}
