//! What routers know of upstreams whose processes are gone, while the store does not tell.
//!
//! A process that was replaced or has crashed would be discovered by each router for itself, by a response of another
//! process or a refused connection, each of which costs a retry. The router that discovers it tells the others once;
//! those that receive a report do not repeat it. What is known concerns one process, identified by the upstream's id and the
//! start of the process, so an entry of a later process ends it. See `docs/design/upstream-beliefs.md`.

use compact_str::CompactString;

use crate::collections::FastMap;
use crate::upstream_availability::UpstreamProcess;

/// Time for which a process counts as replaced. A wrong report costs the upstream no longer than that, and a right one
/// is confirmed by the next response of the other process.
pub const REPLACED_RETENTION_MS: u64 = 20_000;

/// Shortest time between two reports of this router that the same process refuses connections.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// Oldest report that counts. Reports are sent at once, so an older one was held up on its way.
const MAX_REPORT_AGE_MS: u64 = 5_000;

/// Share of the upstreams that must have answered since the directory became stale to be preferred for first sends, in
/// percent. Fewer would be overloaded.
const MIN_ANSWERED_PERCENT: usize = 25;

/// How a process turned out to be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GoneKind {
    /// Another process responded at its address.
    Replaced,
    /// Its address refuses connections.
    Unreachable,
}

/// Effect of a report of another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// It is old, known, or contradicted by a later answer of the process.
    None,
    /// The process gets no more requests.
    Excluded,
    /// The process is not chosen for the backoff after a refused connection.
    Delayed,
}

#[derive(Clone, Copy, Debug, Default)]
struct ProcessBelief {
    started_ms: Option<u64>,
    replaced_until_ms: Option<u64>,
    /// Time at which the process was last seen or reported to refuse connections.
    unreachable_ms: Option<u64>,
    answered_ms: Option<u64>,
}

impl ProcessBelief {
    fn is_gone(&self, now_ms: u64) -> bool {
        self.replaced_until_ms
            .is_some_and(|until_ms| now_ms < until_ms)
    }
}

/// Beliefs about the processes of upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamBeliefs {
    beliefs: FastMap<CompactString, ProcessBelief>,
    /// Time of the newest discovery or report of a process that is gone.
    gone_ms: Option<u64>,
}

impl UpstreamBeliefs {
    /// Records that this router has discovered that a process is gone; returns whether it has to be reported to the others.
    pub fn record_discovery(
        &mut self,
        process: UpstreamProcess<'_>,
        kind: GoneKind,
        now_ms: u64,
    ) -> bool {
        self.gone_ms = Some(now_ms);
        let belief = self.belief(process);
        match kind {
            GoneKind::Replaced => {
                let was_known = belief.is_gone(now_ms);
                belief.replaced_until_ms = Some(now_ms + REPLACED_RETENTION_MS);
                !was_known
            }
            GoneKind::Unreachable => {
                let known_ms = belief.unreachable_ms.replace(now_ms);
                known_ms.is_none_or(|known_ms| known_ms + REPEAT_INTERVAL_MS <= now_ms)
            }
        }
    }

    /// Records the report of another router that a process is gone since `age_ms`.
    pub fn record_report(
        &mut self,
        process: UpstreamProcess<'_>,
        kind: GoneKind,
        age_ms: u64,
        now_ms: u64,
    ) -> ReportEffect {
        if age_ms > MAX_REPORT_AGE_MS {
            return ReportEffect::None;
        }
        let seen_ms = now_ms.saturating_sub(age_ms);
        let belief = self.belief(process);
        let has_answered = belief
            .answered_ms
            .is_some_and(|answered_ms| answered_ms >= seen_ms);
        if has_answered {
            return ReportEffect::None;
        }
        let effect = match kind {
            GoneKind::Replaced if belief.is_gone(now_ms) => ReportEffect::None,
            GoneKind::Replaced => {
                belief.replaced_until_ms = Some(now_ms + REPLACED_RETENTION_MS);
                ReportEffect::Excluded
            }
            GoneKind::Unreachable => {
                let known_ms = belief.unreachable_ms.replace(now_ms);
                match known_ms {
                    Some(known_ms) if known_ms + REPEAT_INTERVAL_MS > now_ms => ReportEffect::None,
                    _ => ReportEffect::Delayed,
                }
            }
        };
        if effect != ReportEffect::None {
            self.gone_ms = Some(now_ms);
        }
        effect
    }

    /// Records that a process has answered, so that it is not gone.
    pub fn record_answer(&mut self, process: UpstreamProcess<'_>, now_ms: u64) {
        *self.belief(process) = ProcessBelief {
            started_ms: process.started_ms,
            answered_ms: Some(now_ms),
            ..ProcessBelief::default()
        };
    }

    /// Returns whether a process is known to be replaced.
    pub fn is_gone(&self, process: UpstreamProcess<'_>, now_ms: u64) -> bool {
        let belief = self.beliefs.get(process.id);
        belief
            .is_some_and(|belief| belief.started_ms == process.started_ms && belief.is_gone(now_ms))
    }

    /// Returns whether a process has answered at a time or later.
    pub fn has_answered_since(&self, process: UpstreamProcess<'_>, since_ms: u64) -> bool {
        let belief = self.beliefs.get(process.id);
        let belief = belief.filter(|belief| belief.started_ms == process.started_ms);
        let answered_ms = belief.and_then(|belief| belief.answered_ms);
        answered_ms.is_some_and(|answered_ms| answered_ms >= since_ms)
    }

    /// Forgets an upstream that is gone or was restarted according to its entry.
    pub fn forget(&mut self, id: &str) {
        self.beliefs.remove(id);
    }

    /// Returns which upstreams to prefer for a request, if the directory is stale since `stale_ms`.
    ///
    /// Without any process that was found gone since then, the directory is probably right and all are alike.
    pub fn preference(&self, stale_ms: Option<u64>, request: &RequestNeed) -> Preference {
        let Some(since_ms) = stale_ms else {
            return Preference::None;
        };
        if self.gone_ms.is_none_or(|gone_ms| gone_ms < since_ms) {
            return Preference::None;
        }
        let is_answered_enough = request.answered * 100 >= request.serving * MIN_ANSWERED_PERCENT
            && request.answered > 0;
        match request.retry {
            Retry::None if is_answered_enough => Preference::Answered { since_ms },
            Retry::None => Preference::None,
            Retry::Allowed => Preference::Answered { since_ms },
            Retry::Last => Preference::OnlyAnswered { since_ms },
        }
    }

    fn belief(&mut self, process: UpstreamProcess<'_>) -> &mut ProcessBelief {
        let belief = self.beliefs.entry(process.id.into()).or_default();
        if belief.started_ms != process.started_ms {
            *belief = ProcessBelief {
                started_ms: process.started_ms,
                ..ProcessBelief::default()
            };
        }
        belief
    }
}

/// Whether a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// It has not been sent yet.
    None,
    /// It is sent again, and other requests may be too.
    Allowed,
    /// The limit on retries allows hardly more than this one.
    Last,
}

/// What the preference among upstreams depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNeed {
    /// Whether the request is sent again.
    pub retry: Retry,
    /// Number of upstreams of the service.
    pub serving: usize,
    /// Number of them that have answered since the directory became stale.
    pub answered: usize,
}

/// Preference among upstreams while the directory is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Preference {
    /// All are alike.
    None,
    /// Those that have answered since a time go first.
    Answered {
        /// That time.
        since_ms: u64,
    },
    /// Only those that have answered since a time are chosen.
    OnlyAnswered {
        /// That time.
        since_ms: u64,
    },
}
