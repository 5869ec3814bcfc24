//! Trial of a new version of a service beside the present one: its share of the requests, and the evidence against it.
//!
//! Operators order that a service moves to another version. Until the order is decided, the upstreams of the new version
//! get a small share of the requests, and each response is compared with those of the present version on the same
//! route. A response is bad if it is a failure or several times slower. All routers report their counts to those that
//! decide, so that a bad version is found after a few bad responses in the whole fleet. See
//! `docs/policies/rollout.md`.
//!
//! The store may return from an older copy. Operators then write their newest orders again, which repeats an order and
//! does not begin a trial anew. A decision of which the store no longer tells is written again.

mod counts;

use std::collections::VecDeque;

use compact_str::CompactString;

use crate::collections::FastMap;
use crate::rollout_completion::{
    Completion, MovePlan, Step, Tally, Trial, COMPLETION_LEAD_MS, NO_DEADLINE_MS,
};

pub use counts::{Reference, VersionCounts};

/// Share of the requests that the new version gets, in thousandths. Operators allow a tenth; the rest is for the move
/// shortly before the deadline, see [`crate::rollout_completion`].
const CANARY_PERMILLE: u64 = 45;

/// Requests that all routers together send to the new version beyond this share, where a route lacks responses. A
/// service with 14 requests a second would otherwise get too few to judge it by.
pub const EVIDENCE_SLACK_REQUESTS: u64 = 30;

/// Maximum number of responses of a route that wait for the speed of the present version, at one router.
const MAX_UNJUDGED: usize = 8;

/// Time for which the newest counts are compared by themselves, to find a version that turns bad late.
const RECENT_MS: u64 = 2_000;

/// Shortest time between two totals that are kept for that.
const EARLIER_TOTAL_INTERVAL_MS: u64 = 100;

/// Age above which a report does not count as fresh; three intervals.
const FRESH_REPORT_MS: u64 = 1_000;

/// Longest time by which routers that follow the operators' orders read one after each other. A report of an older
/// order is about an earlier trial of the same version.
const MAX_READ_LAG_MS: u64 = 6_000;

/// Time before the deadline from which on reports and decisions are more frequent; longer than any move.
const NEAR_DEADLINE_MS: u64 = 2_500;

/// Time within which a decision is read; an unstable store takes that long.
const MAX_DECISION_LAG_MS: u64 = 6_000;

/// Time after a return of the store within which a known order counts as repeated.
pub const ORDER_REPEAT_MS: u64 = 10_000;

/// Time after which a router that does not decide writes a forgotten decision again.
const OTHERS_REWRITE_DELAY_MS: u64 = 1_000;

/// Maximum number of earlier versions that are remembered for a service.
const MAX_EARLIER_TARGETS: usize = 16;

/// An order of operators to move a service to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: CompactString,
    /// Version to move to.
    pub target: CompactString,
    /// Time that operators allow for the move; without it the version is tried and never completed.
    pub ramp_ms: Option<u64>,
}

/// Progress of an order, as operators and all routers read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The version is tried.
    Running,
    /// The version is in force; the upstreams of the old one have stopped.
    Completed,
    /// The version is bad and gets no requests.
    RolledBack,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// The upstream failed.
    Failed,
    /// The response was complete; holds its time per unit of work, for example between two events.
    Served {
        /// That time.
        unit_ms: f64,
    },
}

/// Which version a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any version.
    Any,
    /// The present version, or the new one if no upstream of the present one is left.
    Present,
    /// The new version, if one of its upstreams is usable.
    New,
    /// The present version only, because the new one is bad.
    PresentOnly,
    /// The new version, because the upstreams of the present one have stopped; any if no upstream of it is known.
    Replacement,
}

/// Permission to send requests to the new version only, shortly before its completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveGrant {
    /// Highest number of requests that this router may have sent to the version since the order.
    pub new_requests: u64,
    /// Time for which the grant is valid.
    pub valid_ms: u64,
}

/// How an order was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderSource {
    /// As a change since the last read.
    Change,
    /// In a snapshot, which also holds orders that were read before.
    Snapshot,
    /// In the first snapshot after the store returned from an older copy, or within [`ORDER_REPEAT_MS`] after it.
    AfterReturn,
}

/// Newest report of another router.
#[derive(Clone, Debug)]
struct RouterReport {
    tally: Tally,
    /// Age of the order as the router knew it.
    age_ms: u64,
    received_ms: u64,
}

/// Trial of one order at this router.
#[derive(Clone, Debug)]
pub struct Canary {
    target: CompactString,
    state: RolloutState,
    ramp_ms: Option<u64>,
    /// Time at which this router read the order.
    read_ms: u64,
    /// Whether the order was read right after it was written, so that its age is known.
    is_age_known: bool,
    /// Versions that were ordered before, oldest first.
    earlier_targets: Vec<CompactString>,
    /// Time at which the decision was found to be missing from the store.
    forgotten_ms: Option<u64>,
    /// Whether the store shows that the version is tried.
    is_announced: bool,
    tally: Tally,
    /// Fraction of a request with which this router begins. Routers of large fleets have few requests each and would
    /// otherwise send none to the new version.
    phase_permille: u64,
    /// Requests that were sent to the new version by route.
    sent: FastMap<CompactString, u64>,
    /// Grant of the move, with the time at which it ends.
    grant: Option<(MoveGrant, u64)>,
    /// Newest counts of the other routers, if this one decides.
    reported: FastMap<CompactString, RouterReport>,
    /// Earlier totals with their times, if this router decides.
    earlier_totals: VecDeque<(u64, Tally)>,
    completion: Completion,
}

impl Canary {
    /// Creates the trial of a version.
    pub fn new(target: CompactString) -> Self {
        Self {
            target,
            state: RolloutState::Running,
            ramp_ms: None,
            read_ms: 0,
            is_age_known: false,
            earlier_targets: Vec::new(),
            forgotten_ms: None,
            is_announced: false,
            tally: Tally::default(),
            phase_permille: 0,
            sent: FastMap::default(),
            grant: None,
            reported: FastMap::default(),
            earlier_totals: VecDeque::new(),
            completion: Completion::default(),
        }
    }

    /// Sets the time that operators allow, and when and how the order was read.
    #[must_use]
    pub fn ordered(self, ramp_ms: Option<u64>, source: OrderSource, now_ms: u64) -> Self {
        Self {
            ramp_ms,
            read_ms: now_ms,
            is_age_known: source == OrderSource::Change,
            ..self
        }
    }

    /// Sets the fraction of a request, in thousandths, with which the share of the new version begins at this router;
    /// it has to be random over the routers.
    #[must_use]
    pub fn with_phase(self, random: u32) -> Self {
        Self {
            phase_permille: u64::from(random) % 1_000,
            ..self
        }
    }

    /// Creates the trial of a version that was ordered after this one.
    pub fn succeeded_by(&self, target: CompactString) -> Self {
        let mut earlier_targets = self.earlier_targets.clone();
        if earlier_targets.len() >= MAX_EARLIER_TARGETS {
            earlier_targets.remove(0);
        }
        earlier_targets.push(self.target.clone());
        earlier_targets.retain(|earlier| *earlier != target);
        Self {
            earlier_targets,
            ..Self::new(target)
        }
    }

    /// Returns whether an order does not begin a new trial, because it is this one or an earlier one.
    pub fn is_repeated(&self, target: &str, source: OrderSource) -> bool {
        let is_current = self.target == target;
        match source {
            OrderSource::Change => false,
            OrderSource::Snapshot => is_current,
            OrderSource::AfterReturn => {
                is_current || self.earlier_targets.iter().any(|earlier| earlier == target)
            }
        }
    }

    /// Returns the version that is tried.
    pub fn target(&self) -> &CompactString {
        &self.target
    }

    /// Returns the progress.
    pub fn state(&self) -> RolloutState {
        self.state
    }

    /// Records the progress that the store shows; returns whether it is new. A decision is final, so an older status
    /// does not change it.
    pub fn record_status(&mut self, state: RolloutState) -> bool {
        if state == self.state {
            self.forgotten_ms = None;
            self.is_announced = true;
        }
        let is_new = state != self.state && self.state == RolloutState::Running;
        if is_new {
            self.set_state(state);
        }
        is_new
    }

    /// Records that the store may have forgotten the decision, if there is one.
    pub fn record_forgotten(&mut self, now_ms: u64) {
        self.is_announced = false;
        if self.state != RolloutState::Running {
            self.forgotten_ms.get_or_insert(now_ms);
        }
    }

    /// Returns whether the store does not show yet that the version is tried.
    pub fn needs_announcement(&self) -> bool {
        self.state == RolloutState::Running && !self.is_announced
    }

    /// Returns whether the store may have forgotten the decision.
    pub fn is_forgotten(&self) -> bool {
        self.forgotten_ms.is_some()
    }

    /// Returns whether this router has to write the decision again; the routers that decide do so first.
    pub fn needs_rewrite(&self, is_decider: bool, now_ms: u64) -> bool {
        self.forgotten_ms.is_some_and(|forgotten_ms| {
            is_decider || forgotten_ms + OTHERS_REWRITE_DELAY_MS <= now_ms
        })
    }

    /// Sets the progress.
    pub fn set_state(&mut self, state: RolloutState) {
        self.state = state;
    }

    /// Returns the counts of the responses of this router.
    pub fn counts(&self) -> VersionCounts {
        self.tally.counts
    }

    /// Returns all counts of this router.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns the time since this router read the order.
    pub fn own_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.read_ms)
    }

    /// Returns the age of the order as far as this router and those that report to it know it.
    ///
    /// A router that read the order in a snapshot knows only a lower bound, so it takes the deadline for later than it
    /// is: it may complete the rollout too late, but not too early.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        let reported = self.reported.values();
        let ages = reported.map(|report| report.age_ms + now_ms.saturating_sub(report.received_ms));
        ages.fold(self.own_age_ms(now_ms), u64::max)
    }

    /// Returns the time that operators allow.
    pub fn ramp_ms(&self) -> Option<u64> {
        self.ramp_ms
    }

    /// Returns whether the requests move to the new version, so that the old upstreams may stop at any time.
    pub fn is_moving(&self, now_ms: u64) -> bool {
        self.grant.is_some_and(|(_, until_ms)| now_ms < until_ms)
    }

    /// Returns whether the completion may be written now, although this router has not read it yet.
    fn may_be_completed(&self, now_ms: u64) -> bool {
        let Some(ramp_ms) = self.ramp_ms else {
            return false;
        };
        let age_ms = self.age_ms(now_ms);
        let near = ramp_ms.saturating_sub(COMPLETION_LEAD_MS)..ramp_ms + MAX_DECISION_LAG_MS;
        self.is_moving(now_ms) || near.contains(&age_ms)
    }

    /// Returns whether a version has been replaced, or may be, so that the end of one of its upstreams is no crash.
    pub fn is_replaced(&self, version: &str, now_ms: u64) -> bool {
        let may_be_replaced = match self.state {
            RolloutState::Completed => true,
            RolloutState::Running => self.may_be_completed(now_ms),
            RolloutState::RolledBack => false,
        };
        may_be_replaced && self.target != version
    }

    /// Returns whether the deadline is so near that counts have to be recent.
    pub fn is_near_deadline(&self, now_ms: u64) -> bool {
        let Some(ramp_ms) = self.ramp_ms.filter(|_| self.state == RolloutState::Running) else {
            return false;
        };
        let near = ramp_ms.saturating_sub(NEAR_DEADLINE_MS)..ramp_ms + MAX_DECISION_LAG_MS;
        near.contains(&self.age_ms(now_ms))
    }

    /// Counts a request for the service and returns which version it may be sent to. `slack_requests` is this router's
    /// part of [`EVIDENCE_SLACK_REQUESTS`].
    pub fn choose(&mut self, route: &str, slack_requests: u64, now_ms: u64) -> Choice {
        match self.state {
            RolloutState::Completed => Choice::Replacement,
            RolloutState::RolledBack => Choice::PresentOnly,
            RolloutState::Running => {
                self.tally.requests += 1;
                if self.tally.is_bad() {
                    Choice::PresentOnly
                } else if self.may_send_to_new(route, slack_requests, now_ms) {
                    Choice::New
                } else {
                    Choice::Present
                }
            }
        }
    }

    fn may_send_to_new(&self, route: &str, slack_requests: u64, now_ms: u64) -> bool {
        if self.is_granted(now_ms) {
            return true;
        }
        let needed = (self.tally.new_requests + 1) * 1_000;
        let share = self.tally.requests * CANARY_PERMILLE + self.phase_permille;
        let slack = self.slack_permille(route, now_ms) * slack_requests;
        needed <= share + slack
    }

    /// Returns which part of the slack a route may use. A route without any request for the new version may use all of
    /// it, because it may have few more.
    fn slack_permille(&self, route: &str, now_ms: u64) -> u64 {
        let sent = self.sent.get(route).copied().unwrap_or(0);
        let routes = self.tally.routes.len().max(1) as u64;
        match sent {
            0 => 1_000,
            _ if sent * routes <= self.tally.new_requests => self.spread_permille(now_ms),
            _ => 0,
        }
    }

    /// Returns the part of the time allowed that has passed. The slack is spread over it, to find a version that turns
    /// bad late.
    fn spread_permille(&self, now_ms: u64) -> u64 {
        let ramp_ms = self.ramp_ms.unwrap_or(NO_DEADLINE_MS).max(1);
        (self.own_age_ms(now_ms).min(ramp_ms)) * 1_000 / ramp_ms
    }

    /// Returns whether a request may be sent to the new version because of the move.
    fn is_granted(&self, now_ms: u64) -> bool {
        self.grant.is_some_and(|(grant, until_ms)| {
            now_ms < until_ms && self.tally.new_requests < grant.new_requests
        })
    }

    /// Returns which version a repeated request may be sent to.
    pub fn choose_again(&self, now_ms: u64) -> Choice {
        match self.state {
            RolloutState::Completed => Choice::Replacement,
            RolloutState::RolledBack => Choice::PresentOnly,
            RolloutState::Running if self.tally.is_bad() => Choice::PresentOnly,
            RolloutState::Running if self.is_granted(now_ms) => Choice::New,
            RolloutState::Running => Choice::Present,
        }
    }

    /// Counts a request that was sent to the new version.
    pub fn record_sent_to_new(&mut self, route: &str) {
        self.tally.new_requests += 1;
        *self.sent.entry(route.into()).or_default() += 1;
    }

    /// Counts a response on a route.
    pub fn record(&mut self, route: &str, is_new: bool, response: Response, now_ms: u64) {
        // During the move the present version has little load, so its speed is no measure for the new one.
        let is_measure = !is_new && !self.is_moving(now_ms);
        let of_route = self.tally.routes.entry(route.into()).or_default();
        let is_bad = match response {
            Response::Failed => true,
            Response::Served { unit_ms } if is_new && !of_route.reference.is_known() => {
                if of_route.unjudged_ms.len() < MAX_UNJUDGED {
                    of_route.unjudged_ms.push(unit_ms);
                }
                return;
            }
            Response::Served { unit_ms } => {
                let is_slow = of_route.reference.is_slow(unit_ms);
                if is_measure {
                    of_route.reference.measure(unit_ms);
                }
                is_slow
            }
        };
        let mut response = VersionCounts::of(is_new, is_bad);
        of_route.counts.add(&response);
        response.add(&of_route.judge());
        self.tally.counts.add(&response);
    }

    /// Records the counts of another router's process, which replace its earlier ones.
    pub fn record_report(
        &mut self,
        router: &str,
        tally: impl Into<Tally>,
        age_ms: u64,
        now_ms: u64,
    ) {
        if self.is_age_known && age_ms > self.own_age_ms(now_ms) + MAX_READ_LAG_MS {
            return;
        }
        let report = RouterReport {
            tally: tally.into(),
            age_ms,
            received_ms: now_ms,
        };
        self.reported.insert(router.into(), report);
    }

    /// Records the grant of a move by a decider.
    pub fn record_grant(&mut self, grant: MoveGrant, now_ms: u64) {
        if self.state == RolloutState::Running {
            self.grant = Some((grant, now_ms + grant.valid_ms));
        }
    }

    /// Returns the counts of all routers that have reported, and of this one; those of ended processes too, because
    /// their requests count for the bound.
    pub fn total_tally(&self) -> Tally {
        let mut total = self.tally.clone();
        for report in self.reported.values() {
            total.add(&report.tally);
        }
        total.judge();
        total
    }

    /// Returns the counts of the responses of all routers.
    pub fn total(&self) -> VersionCounts {
        self.total_tally().counts
    }

    /// Returns the routers that have reported lately with their counts, in the order of their names.
    pub fn fresh_reports(&self, now_ms: u64) -> Vec<(CompactString, &Tally)> {
        let reported = self.reported.iter();
        let fresh = reported.filter(|(_, report)| report.is_fresh(now_ms));
        let mut fresh: Vec<_> = fresh
            .map(|(router, report)| (router.clone(), &report.tally))
            .collect();
        fresh.sort_by(|(a, _), (b, _)| a.cmp(b));
        fresh
    }

    /// Returns what this router knows of the trial as a decider; `is_present` tells which routers are alive.
    pub fn observe(&mut self, is_present: impl Fn(&str) -> bool, now_ms: u64) -> Trial {
        let total = self.total_tally();
        let (earlier_ms, earlier) = self.earlier_total(now_ms);
        let recent = total.since(&earlier);
        let requests_per_s = recent.requests * 1_000 / now_ms.saturating_sub(earlier_ms).max(1);
        let newest_ms = self.earlier_totals.back().map(|(at_ms, _)| *at_ms);
        if newest_ms.is_none_or(|at_ms| at_ms + EARLIER_TOTAL_INTERVAL_MS <= now_ms) {
            self.earlier_totals.push_back((now_ms, total.clone()));
        }
        let (mut fresh, mut known) = (self.tally.requests, self.tally.requests);
        let reports = self.reported.iter();
        for (_, report) in reports.filter(|(router, _)| is_present(router)) {
            known += report.tally.requests;
            fresh += report.tally.requests * u64::from(report.is_fresh(now_ms));
        }
        Trial {
            total,
            recent,
            requests_per_s,
            age_ms: self.age_ms(now_ms),
            ramp_ms: self.ramp_ms.unwrap_or(NO_DEADLINE_MS),
            fresh_permille: fresh * 1_000 / known.max(1),
            new_slots: 0,
            old_slots: 0,
        }
    }

    /// Returns the newest total that is at least [`RECENT_MS`] old, or the oldest one that is known.
    fn earlier_total(&mut self, now_ms: u64) -> (u64, Tally) {
        let is_old = |entry: &(u64, Tally)| entry.0 + RECENT_MS <= now_ms;
        while self.earlier_totals.get(1).is_some_and(is_old) {
            self.earlier_totals.pop_front();
        }
        let oldest = self.earlier_totals.front().cloned();
        oldest.unwrap_or_else(|| (self.read_ms, Tally::default()))
    }

    /// Returns what this router does as the decider at a position in the order of all deciders.
    pub fn step(&mut self, trial: &Trial, position: u64, is_store_responsive: bool) -> Step {
        if self.state != RolloutState::Running {
            return Step::Wait;
        }
        self.completion.step(trial, position, is_store_responsive)
    }

    /// Takes over a move that another decider has granted.
    pub fn adopt(&mut self, plan: MovePlan) {
        self.completion.adopt(plan);
    }
}

impl RouterReport {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_ms) <= FRESH_REPORT_MS
    }
}
