//! Completion of a rollout: whether a version is good, and how all requests move to it within the bound on its share.
//!
//! A version that turns out bad may have had at most a tenth of the requests of its service before the deadline, and it
//! can turn bad in the last second. So the share stays small until shortly before the deadline, and the whole move fits
//! the bound: what the version gets until its completion follows from the rate of requests and the time of the move, and
//! what it gets between the completion and the deadline is reserved. The bound is kept at any time, not only at the deadline, so
//! it does not depend on how well the age of the order is known. See `docs/design/rollout-completion.md`.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::version_canary::{Reference, VersionCounts};

/// Share of the requests that the version may get in all, in thousandths. Operators allow 100; the rest covers reports
/// that are one interval old.
const ALLOWED_PERMILLE: u64 = 90;

/// Requests that the version may get in addition. Operators allow 50; the rest covers routers whose reports are lost.
const ALLOWED_SLACK_REQUESTS: u64 = 40;

/// Time before the deadline at which the completion is written. It covers the delay with which the order was read, two
/// calls to the store and [`TAKEOVER_DELAY_MS`].
pub const COMPLETION_LEAD_MS: u64 = 240;

/// Shortest such time. With less, the write would arrive after the deadline.
const MIN_COMPLETION_LEAD_MS: u64 = 100;

/// Time after which the next decider does what the one before it has not done.
pub const TAKEOVER_DELAY_MS: u64 = 100;

/// Longest time for which requests go to the new version only before the completion; most requests end within it.
const MAX_MOVE_MS: u64 = 1_500;

/// Factor, in percent, by which requests may arrive faster after the completion than measured before.
const RATE_MARGIN_PERCENT: u64 = 115;

/// Time after the deadline for which a completion that the store did not take is tried again, and a version is rolled
/// back because it is suspicious.
pub const LATE_COMPLETION_MS: u64 = 30_000;

/// Deadline of an order that states none.
pub const NO_DEADLINE_MS: u64 = u64::MAX / 2;

/// Responses of the new version in the last seconds without which nothing is completed after the deadline.
const MIN_LATE_RESPONSES: u64 = 3;

/// Responses of the new version on all routes together that are needed to complete it.
const MIN_RESPONSES: u64 = 10;

/// Share of the requests from which on a route needs evidence of its own, in thousandths; as in the role `router`.
const OWN_EVIDENCE_PERMILLE: u64 = 50;

/// Responses of the new version that such a route needs: a fifth of all its responses, within these bounds. A route that
/// is bad altogether shows in two of them.
const ROUTE_RESPONSES: (u64, u64) = (2, 5);
const ROUTE_RESPONSES_DIVISOR: u64 = 5;

/// Requests from which on a smaller route needs a response of the new version.
const SMALL_ROUTE_REQUESTS: u64 = 20;

/// Share of the requests whose routers must have reported lately, in thousandths. A router that was killed counts as
/// present for some seconds.
const MIN_FRESH_PERMILLE: u64 = 600;

/// Smallest capacity of the new upstreams relative to the old ones, in percent.
const MIN_CAPACITY_PERCENT: u64 = 50;

/// Counts of one router, or of several ones together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests of callers for the service since the order.
    pub requests: u64,
    /// Requests that were sent to the new version.
    pub new_requests: u64,
    /// Responses of both versions on all routes.
    pub counts: VersionCounts,
    /// The same by route. Routes are ordered, so that a decision does not depend on the order of a hash map.
    pub routes: BTreeMap<CompactString, RouteTally>,
}

/// Counts of one route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTally {
    /// Responses of both versions.
    pub counts: VersionCounts,
    /// Speed of the present version.
    pub reference: Reference,
    /// Times per unit of work of responses of the new version that arrived before the speed of the present one was
    /// known, and are in no count yet. In a small deployment only all routers together know it in time.
    pub unjudged_ms: Vec<f64>,
}

impl From<VersionCounts> for RouteTally {
    fn from(counts: VersionCounts) -> Self {
        Self {
            counts,
            ..Self::default()
        }
    }
}

impl RouteTally {
    /// Counts the responses that can be compared with the present version now; returns their counts.
    pub fn judge(&mut self) -> VersionCounts {
        let mut judged = VersionCounts::default();
        if self.reference.is_known() {
            for unit_ms in self.unjudged_ms.drain(..) {
                let is_bad = self.reference.is_slow(unit_ms);
                judged.add(&VersionCounts::of(true, is_bad));
            }
            self.counts.add(&judged);
        }
        judged
    }

    fn add(&mut self, other: &Self) {
        self.counts.add(&other.counts);
        self.reference.add(&other.reference);
        self.unjudged_ms.extend_from_slice(&other.unjudged_ms);
    }
}

impl From<VersionCounts> for Tally {
    fn from(counts: VersionCounts) -> Self {
        Self {
            counts,
            ..Self::default()
        }
    }
}

impl Tally {
    /// Adds the counts of another router.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.new_requests += other.new_requests;
        self.counts.add(&other.counts);
        for (route, tally) in &other.routes {
            self.routes.entry(route.clone()).or_default().add(tally);
        }
    }

    /// Counts the responses that can be compared with the present version now.
    pub fn judge(&mut self) {
        for tally in self.routes.values_mut() {
            self.counts.add(&tally.judge());
        }
    }

    /// Returns what was counted after `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let routes = self.routes.iter().map(|(route, tally)| {
            let before = earlier.routes.get(route).map(|tally| tally.counts);
            let counts = tally.counts.since(&before.unwrap_or_default());
            (route.clone(), RouteTally::from(counts))
        });
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            new_requests: self.new_requests.saturating_sub(earlier.new_requests),
            counts: self.counts.since(&earlier.counts),
            routes: routes.collect(),
        }
    }

    /// Returns whether the new version is bad, in all or on one route.
    pub fn is_bad(&self) -> bool {
        self.counts.is_bad() || self.has_clear_excess()
    }

    /// Returns whether the new version clearly has more bad responses, in all or on one route.
    fn has_clear_excess(&self) -> bool {
        self.any_counts(VersionCounts::has_clear_excess)
    }

    /// Returns whether the new version may be bad, in all or on one route.
    fn is_suspicious(&self) -> bool {
        self.any_counts(VersionCounts::has_excess)
    }

    fn any_counts(&self, is_wanted: impl Fn(&VersionCounts) -> bool) -> bool {
        let mut routes = self.routes.values();
        is_wanted(&self.counts) || routes.any(|tally| is_wanted(&tally.counts))
    }

    /// Returns the route that lacks responses of the new version, if any.
    fn route_without_evidence(&self) -> Option<&CompactString> {
        let total = self.counts.new_responses + self.counts.old_responses;
        let mut routes = self.routes.iter();
        let lacking = routes.find(|(_, RouteTally { counts, .. })| {
            let responses = counts.new_responses + counts.old_responses;
            let needed = match responses {
                _ if responses * 1_000 >= total * OWN_EVIDENCE_PERMILLE => {
                    let (least, most) = ROUTE_RESPONSES;
                    (responses / ROUTE_RESPONSES_DIVISOR).clamp(least, most)
                }
                SMALL_ROUTE_REQUESTS.. => 1,
                _ => 0,
            };
            counts.new_responses < needed
        });
        lacking.map(|(route, _)| route)
    }
}

/// What a decider knows of a trial.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    /// Counts of all routers since the order.
    pub total: Tally,
    /// Counts of the last seconds. A version that turns bad late hardly shows in the total.
    pub recent: Tally,
    /// Requests of callers a second, over all routers.
    pub requests_per_s: u64,
    /// Age of the order.
    pub age_ms: u64,
    /// Time that operators allow from the order to its completion.
    pub ramp_ms: u64,
    /// Share of the requests whose routers have reported lately, in thousandths.
    pub fresh_permille: u64,
    /// Requests that the upstreams of the new version can run at the same time.
    pub new_slots: u64,
    /// The same for the present version.
    pub old_slots: u64,
}

/// What is missing for a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missing {
    /// The new version has too few responses in all.
    Responses,
    /// The new version has too few responses on this route.
    RouteResponses(CompactString),
    /// Too few routers have reported lately.
    Reports,
    /// The upstreams of the new version are gone or too few.
    Capacity,
    /// The bound on the share leaves no time for the move.
    Allowance,
}

/// Result of the comparison of both versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence shows that the version is good.
    Good,
    /// The version is bad.
    Bad,
    /// The version may be bad; at the deadline it is rolled back, because it cannot be completed.
    Suspicious,
    /// The evidence is not enough.
    Unknown(Missing),
}

/// When the requests move and the completion is written, as ages of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MovePlan {
    /// Age from which on requests go to the new version only.
    pub move_age_ms: u64,
    /// Age at which the completion is written.
    pub complete_age_ms: u64,
    /// Age from which on requests go to the present version again if nothing was written.
    pub end_age_ms: u64,
    /// Requests that the version may get until the completion, over all routers.
    pub granted_requests: u64,
}

impl Trial {
    /// Judges the new version.
    pub fn verdict(&self) -> Verdict {
        if self.total.is_bad() || self.recent.has_clear_excess() {
            return Verdict::Bad;
        }
        let is_suspicious = self.total.counts.has_total_excess()
            || self.total.is_suspicious()
            || self.recent.is_suspicious();
        // A decider that hears of few requests leaves it to the other one to judge by a few bad responses.
        if is_suspicious && self.fresh_permille >= MIN_FRESH_PERMILLE {
            return Verdict::Suspicious;
        }
        match self.missing() {
            Some(missing) => Verdict::Unknown(missing),
            None => Verdict::Good,
        }
    }

    fn missing(&self) -> Option<Missing> {
        if self.new_slots * 100 < self.old_slots * MIN_CAPACITY_PERCENT || self.new_slots == 0 {
            return Some(Missing::Capacity);
        }
        if self.fresh_permille < MIN_FRESH_PERMILLE {
            return Some(Missing::Reports);
        }
        if self.total.counts.new_responses < MIN_RESPONSES {
            return Some(Missing::Responses);
        }
        let route = self.total.route_without_evidence();
        route.map(|route| Missing::RouteResponses(route.clone()))
    }

    /// Returns how many more requests the new version may get now.
    pub fn allowance(&self) -> u64 {
        let allowed = self.total.requests * ALLOWED_PERMILLE / 1_000 + ALLOWED_SLACK_REQUESTS;
        allowed.saturating_sub(self.total.new_requests)
    }

    /// Plans the move; `None` if the bound leaves no time for it.
    ///
    /// After the deadline the plan begins at once.
    pub fn plan(&self) -> Option<MovePlan> {
        let per_s = (self.requests_per_s * RATE_MARGIN_PERCENT)
            .div_ceil(100)
            .max(1);
        let allowance = self.allowance();
        let allowed_ms = allowance * 1_000 / per_s;
        let lead_ms = COMPLETION_LEAD_MS.min(allowed_ms);
        if lead_ms < MIN_COMPLETION_LEAD_MS {
            return None;
        }
        let granted_requests = allowance - (per_s * lead_ms).div_ceil(1_000).min(allowance);
        let move_ms = (granted_requests * 1_000 / per_s).min(MAX_MOVE_MS);
        let complete_age_ms = self.ramp_ms.saturating_sub(lead_ms);
        let planned_ms = complete_age_ms.saturating_sub(move_ms);
        let (move_age_ms, complete_age_ms) = if self.age_ms >= self.ramp_ms {
            (self.age_ms, self.age_ms + move_ms)
        } else {
            (planned_ms, complete_age_ms)
        };
        Some(MovePlan {
            move_age_ms,
            complete_age_ms,
            end_age_ms: complete_age_ms + lead_ms,
            granted_requests,
        })
    }
}

/// Returns the highest number of requests that each router may send during a move, by the requests that each one has
/// counted.
///
/// The plan bounds the sum by time. These numbers bound it if callers send far more than before, and leave room for
/// requests that reach the routers unevenly in so short a time.
pub fn split_grant(granted: u64, requests: &[u64]) -> Vec<u64> {
    /// Factor by which a router may exceed its part, in percent.
    const TOLERANCE_PERCENT: u128 = 125;
    let total: u64 = requests.iter().sum();
    let part = |own: &u64| {
        let part = u128::from(granted) * u128::from(*own) * TOLERANCE_PERCENT;
        let part = part / 100 / u128::from(total.max(1));
        u64::try_from(part).unwrap_or(granted) + 1
    };
    requests.iter().map(part).collect()
}

/// What a decider does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Grant the requests of the move.
    Move(MovePlan),
    /// Write that the rollout is completed.
    Complete,
    /// Write that the version is rolled back, for this reason.
    RollBack(Verdict),
    /// Nothing; a completion was due, and this is missing. Stated once.
    Lacking(Missing),
}

/// Progress of one rollout at one decider.
#[derive(Clone, Debug, Default)]
pub struct Completion {
    /// Move that is under way, granted by this decider or by another one.
    plan: Option<MovePlan>,
    /// Whether a completion was due that the store did not take.
    was_due: bool,
    has_stated_lack: bool,
}

impl Completion {
    /// Takes over a move that another decider has granted.
    pub fn adopt(&mut self, plan: MovePlan) {
        self.plan.get_or_insert(plan);
    }

    /// Returns what the decider at a position in the order of all deciders does next.
    pub fn step(&mut self, trial: &Trial, position: u64, is_store_responsive: bool) -> Step {
        let verdict = trial.verdict();
        if verdict == Verdict::Bad {
            return Step::RollBack(verdict);
        }
        let delay_ms = position * TAKEOVER_DELAY_MS;
        match self.plan {
            Some(plan) => self.step_during_move(trial, plan, delay_ms, verdict),
            None => self.step_before_move(trial, delay_ms, verdict, is_store_responsive),
        }
    }

    fn step_during_move(
        &mut self,
        trial: &Trial,
        plan: MovePlan,
        delay_ms: u64,
        verdict: Verdict,
    ) -> Step {
        let due_age_ms = plan.complete_age_ms + delay_ms;
        if trial.age_ms < due_age_ms {
            return Step::Wait;
        }
        // A decider that was frozen finds its plan lapsed.
        if trial.age_ms > plan.end_age_ms {
            self.plan = None;
            return Step::Wait;
        }
        let is_late = trial.age_ms > trial.ramp_ms + delay_ms;
        match verdict {
            Verdict::Good if is_late && trial.recent.counts.new_responses < MIN_LATE_RESPONSES => {
                Step::Wait
            }
            Verdict::Good => {
                self.was_due = true;
                Step::Complete
            }
            Verdict::Bad | Verdict::Suspicious => Step::RollBack(verdict),
            Verdict::Unknown(missing) => {
                self.plan = None;
                self.state_lack(missing)
            }
        }
    }

    fn step_before_move(
        &mut self,
        trial: &Trial,
        delay_ms: u64,
        verdict: Verdict,
        is_store_responsive: bool,
    ) -> Step {
        let last_age_ms = trial.ramp_ms.saturating_sub(MIN_COMPLETION_LEAD_MS);
        let is_last_chance = trial.age_ms >= last_age_ms + delay_ms;
        let is_late = trial.age_ms > trial.ramp_ms;
        let is_too_late = trial.age_ms > trial.ramp_ms + LATE_COMPLETION_MS;
        let plan = match verdict {
            Verdict::Good if is_late && (!self.was_due || is_too_late) => return Step::Wait,
            Verdict::Good => trial.plan(),
            Verdict::Suspicious if is_last_chance && !is_too_late => {
                return Step::RollBack(verdict)
            }
            Verdict::Unknown(missing) if is_last_chance => return self.state_lack(missing),
            _ => return Step::Wait,
        };
        match plan {
            None if is_last_chance => self.state_lack(Missing::Allowance),
            Some(plan) if trial.age_ms >= plan.move_age_ms + delay_ms && is_store_responsive => {
                self.plan = Some(plan);
                Step::Move(plan)
            }
            Some(_) => {
                self.was_due |= is_last_chance;
                Step::Wait
            }
            None => Step::Wait,
        }
    }

    fn state_lack(&mut self, missing: Missing) -> Step {
        if std::mem::replace(&mut self.has_stated_lack, true) {
            return Step::Wait;
        }
        Step::Lacking(missing)
    }
}
