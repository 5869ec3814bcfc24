//! Schedule of the steps and the end of a rollout.

use super::state::{format_duration, format_percent};
use super::{
    Check, RolloutState, RouteState, CANARY_REQUESTS, CANARY_SHARE_PPM, CHECK_SHARE_PPM,
    FULL_SHARE_PPM, INITIAL_SHARE_PPM,
};
use crate::record::{Entry, RolloutEnd, RolloutStep};

/// Shares of the new version, from the canary share to all requests.
///
/// They roughly double, so that a fault that appears only under load appears at a step at which half of that load is
/// known to be safe. At 90%, the old version still serves enough requests for a comparison.
const SHARES_PPM: [u32; 8] = [
    CANARY_SHARE_PPM,
    50_000,
    100_000,
    250_000,
    500_000,
    750_000,
    900_000,
    FULL_SHARE_PPM,
];

/// Index of [`FULL_SHARE_PPM`] in [`SHARES_PPM`].
const LAST_SHARE_INDEX: u64 = SHARES_PPM.len() as u64 - 1;

/// Minimum time between two steps: several evidence intervals and the time to append and fold their records.
const MIN_STEP_MS: u64 = 10_000;

/// Part of the rollout's time that is kept free before the deadline, as a divisor: 5%.
const MARGIN_DIVISOR: u64 = 20;

/// Lower and upper bound of the time that is kept free before the deadline.
const MARGIN_BOUNDS_MS: (u64, u64) = (10_000, 600_000);

/// Share in the second consecutive check, for a fault that appears only close to the full load.
const SECOND_CHECK_SHARE_PPM: u32 = 900_000;

/// Share in all further consecutive checks.
///
/// A version that is bad only above 90% of the load would otherwise be cleared at 90% and suspected at 100% again and
/// again.
const LATER_CHECK_SHARE_PPM: u32 = 980_000;

/// Additional delay of each process relative to the one before it.
const RANK_DELAY_MS: u64 = 1_000;

/// Part of [`CANARY_REQUESTS`] for which each process waits longer than the one before it, as a divisor.
const CANARY_DELAY_DIVISOR: u64 = 4;

/// Time after which an entry that has not been folded is proposed again.
const PROPOSAL_TIMEOUT_MS: u64 = 2_000;

/// Returns the entries that are due.
pub(super) fn propose(id: &str, state: &RolloutState, now_ms: u64, rank: u32) -> Vec<Entry> {
    let delay_ms = u64::from(rank) * RANK_DELAY_MS;
    let is_early = now_ms < state.start_ms.saturating_add(delay_ms);
    if state.rolled_back.contains_key("") || is_early {
        return Vec::new();
    }
    let planner = Planner {
        id,
        state,
        now_ms,
        due_ms: now_ms - delay_ms,
        rank,
    };
    planner.entries()
}

struct Planner<'a> {
    id: &'a str,
    state: &'a RolloutState,
    now_ms: u64,
    /// Current time minus the delay of this rank: the process proposes what was due by then.
    due_ms: u64,
    rank: u32,
}

impl Planner<'_> {
    fn entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        if self.state.step == 0 {
            if self.state.end.is_none() && self.now_ms < self.state.deadline_ms {
                return vec![self.step("", 0, INITIAL_SHARE_PPM)];
            }
        } else {
            for (name, route) in &self.state.routes {
                if self.state.rolled_back.contains_key(name) {
                    continue;
                }
                let (step, share_ppm) = self.state.step_and_share(name);
                if let Some(next_ppm) = self.next_share(route, share_ppm) {
                    entries.push(self.step(name, step, next_ppm));
                }
            }
            entries.extend(self.default_step());
        }
        entries.extend(self.end());
        entries
    }

    fn step(&self, route: &str, step: u32, share_ppm: u32) -> Entry {
        Entry::RolloutStep(RolloutStep {
            id: self.id.into(),
            step: step + 1,
            share_ppm,
            revision: self.state.revision,
            at_ms: self.now_ms,
            route: route.into(),
        })
    }

    fn next_share(&self, route: &RouteState, share_ppm: u32) -> Option<u32> {
        match route.check {
            Check::Due { at_ms } if at_ms <= self.due_ms => {
                let check_ppm = match route.checks {
                    0 => CHECK_SHARE_PPM,
                    1 => SECOND_CHECK_SHARE_PPM,
                    _ => LATER_CHECK_SHARE_PPM,
                };
                return Some(check_ppm.min(share_ppm));
            }
            Check::Cleared { at_ms } if at_ms <= self.due_ms => return Some(route.resume_ppm),
            Check::None => {}
            _ => return None,
        }
        if self.state.end.is_some() {
            return None;
        }
        let passed_ms = route.passed_ms?;
        let share_index = SHARES_PPM
            .iter()
            .rposition(|&candidate_ppm| candidate_ppm <= share_ppm)
            .unwrap_or(0) as u64;
        if share_index == LAST_SHARE_INDEX {
            return None;
        }
        let finish_ms = self.finish_ms();
        let step_due_ms = if share_index == 0 {
            passed_ms
        } else {
            route.step_ms
                + finish_ms.saturating_sub(route.step_ms) / (LAST_SHARE_INDEX - share_index)
        };
        if self.due_ms < step_due_ms.min(finish_ms) {
            return None;
        }
        let steps_left = finish_ms.saturating_sub(self.now_ms) / MIN_STEP_MS;
        let next = (share_index + 1).max(LAST_SHARE_INDEX.saturating_sub(steps_left));
        Some(SHARES_PPM[next as usize])
    }

    /// Returns the time at which all traffic should have moved; the rest of the time to the deadline is for delays.
    fn finish_ms(&self) -> u64 {
        let margin_ms = (self.state.deadline_ms - self.state.start_ms) / MARGIN_DIVISOR;
        let margin_ms = margin_ms.clamp(MARGIN_BOUNDS_MS.0, MARGIN_BOUNDS_MS.1);
        self.state.deadline_ms.saturating_sub(margin_ms)
    }

    /// Returns the large routes, which need evidence of their own, without those that were rolled back.
    fn large_routes(&self) -> impl Iterator<Item = (&str, &RouteState)> {
        self.state
            .routes
            .iter()
            .filter(|(name, route)| {
                !self.state.rolled_back.contains_key(*name) && self.state.is_large(route)
            })
            .map(|(name, route)| (name.as_str(), route))
    }

    /// Returns the step of the routes without their own steps, which follow the slowest large route.
    fn default_step(&self) -> Option<Entry> {
        if self.state.share_ppm == INITIAL_SHARE_PPM && self.state.end.is_none() {
            let requests: u64 = self
                .state
                .routes
                .values()
                .map(|route| route.comparison.since_start().total())
                .sum();
            let delay_requests = u64::from(self.rank) * CANARY_REQUESTS / CANARY_DELAY_DIVISOR;
            let is_due = requests >= CANARY_REQUESTS + delay_requests;
            return is_due.then(|| self.step("", self.state.step, CANARY_SHARE_PPM));
        }
        let slowest_ppm = self
            .large_routes()
            .map(|(name, _)| self.state.reached_share_ppm(name))
            .min()?;
        let is_due = self.state.end.is_none()
            && slowest_ppm > self.state.share_ppm
            && self.last_step_ms() <= self.due_ms;
        is_due.then(|| self.step("", self.state.step, slowest_ppm))
    }

    fn last_step_ms(&self) -> u64 {
        let times = self.state.routes.values().map(|route| route.step_ms);
        times.max().unwrap_or(0)
    }

    fn end(&self) -> Option<Entry> {
        if self.state.end.is_some() {
            return None;
        }
        let has_moved = self.state.share_ppm == FULL_SHARE_PPM
            && self.large_routes().next().is_some()
            && self.last_step_ms() <= self.due_ms;
        let reason = if has_moved {
            self.reason_after_move()
        } else if self.due_ms >= self.state.deadline_ms && !self.is_late_step_due() {
            self.reason_at_deadline()
        } else {
            return None;
        };
        Some(Entry::RolloutEnd(RolloutEnd {
            id: self.id.into(),
            revision: self.state.revision,
            is_kept: reason.is_empty(),
            reason,
        }))
    }

    /// Returns whether all routes have passed and only steps are missing, for example after a log outage.
    fn is_late_step_due(&self) -> bool {
        let mut routes = self.large_routes().peekable();
        routes.peek().is_some() && routes.all(|(_, route)| route.passed_ms.is_some())
    }

    fn reason_after_move(&self) -> String {
        if !self.state.rolled_back.is_empty() {
            let names: Vec<&str> = self
                .state
                .rolled_back
                .keys()
                .map(|name| name.as_str())
                .collect();
            return format!(
                "rolled back on {}; all other traffic moved",
                names.join(", ")
            );
        }
        if self.now_ms > self.state.deadline_ms {
            return format!(
                "all traffic moved, but {} after the deadline, because the steps could not be written earlier",
                format_duration(self.now_ms - self.state.deadline_ms)
            );
        }
        String::new()
    }

    fn reason_at_deadline(&self) -> String {
        let open: Vec<String> = self
            .large_routes()
            .filter(|(_, route)| route.passed_ms.is_none())
            .map(|(name, route)| {
                let (_, not_bad) = route.comparison.progress();
                format!(
                    "on route {name} the evidence reached {:.0}% of what is needed after {} requests at a share of {}",
                    not_bad * 100.0,
                    route.comparison.since_start().new.total,
                    format_percent(self.state.step_and_share(name).1)
                )
            })
            .collect();
        if open.is_empty() {
            return "no requests came that could give evidence before the deadline".into();
        }
        open.join("; ")
    }
}

/// Proposals of one process, without those that are already being appended.
#[derive(Clone, Debug, Default)]
pub struct Proposer {
    sent: Vec<(u64, Entry)>,
}

impl Proposer {
    /// Returns the entries that are due and were not returned in the last 2 s.
    ///
    /// Must be called whenever folded records changed a rollout, and at least once a second.
    pub fn take(&mut self, rollouts: &super::Rollouts, now_ms: u64, rank: u32) -> Vec<Entry> {
        self.sent
            .retain(|(sent_ms, _)| now_ms < sent_ms + PROPOSAL_TIMEOUT_MS);
        let mut due = Vec::new();
        for entry in rollouts.propose(now_ms, rank) {
            if !self
                .sent
                .iter()
                .any(|(_, sent)| is_same_proposal(sent, &entry))
            {
                self.sent.push((now_ms, entry.clone()));
                due.push(entry);
            }
        }
        due
    }
}

/// Returns whether two proposals are for the same step or end, regardless of the time of the proposal.
fn is_same_proposal(a: &Entry, b: &Entry) -> bool {
    match (a, b) {
        (Entry::RolloutStep(a), Entry::RolloutStep(b)) => {
            (&a.id, &a.route, a.step, a.revision) == (&b.id, &b.route, b.step, b.revision)
        }
        (Entry::RolloutEnd(a), Entry::RolloutEnd(b)) => (&a.id, a.revision) == (&b.id, b.revision),
        _ => false,
    }
}
