//! Choice of an upstream for one request.
//!
//! Requests of one session share a long prompt prefix, so they go to the upstream that ranks first for the session by
//! rendezvous hashing; all routers agree on it without talking to each other. A session whose upstream carries clearly
//! more than the mean moves to the next one in its ranking (consistent hashing with bounded loads), so that one popular
//! prefix cannot overload an upstream. Requests without a prefix go to the upstream with the least expected wait.
//!
//! The load of an upstream is what this router has open there plus what others had open according to the newest
//! response that carried a report. The part of others fades out, because a report that is two seconds old says nothing.

use std::cmp::Ordering;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Age at which a load report no longer counts.
const REPORT_FADE_MS: u64 = 2_000;

/// Load relative to the mean above which a session moves to its next upstream, in percent.
const BOUND_PERCENT: u32 = 140;

/// Requests above the mean that are always allowed, so that small numbers do not scatter sessions.
const BOUND_EXTRA: u32 = 3;

/// Pause after a refused or timed out connection, in milliseconds; doubled for each further one up to the limit.
const CONNECT_PAUSE_MS: u64 = 500;

/// Longest pause after failures in a row.
const PAUSE_LIMIT_MS: u64 = 4_000;

/// Pause after an upstream said that it is full.
const FULL_PAUSE_MS: u64 = 100;

/// Time without any byte from an upstream that owes a first byte, after which it counts as silent.
const SILENCE_MS: u64 = 1_200;

/// Interval at which a silent upstream gets one request to find out whether it is back.
const SILENT_PROBE_MS: u64 = 1_500;

/// Weight of one result in the failure share.
const FAILURE_WEIGHT: f64 = 0.12;

/// Share of failed requests above which an upstream is avoided while others are better.
const FAILURE_LIMIT: f64 = 0.35;

/// Weight of one result in the mean time to the first byte.
const LATENCY_WEIGHT: f64 = 0.2;

/// Time to the first byte that is assumed before the first result.
const LATENCY_PRIOR_MS: f64 = 50.0;

/// Queue places that are used on top of an upstream's slots, in percent of the slots.
const QUEUE_PERCENT: u32 = 100;

/// Result of one request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that is not a failure.
    Served,
    /// The upstream answered with a failure or broke off.
    Failed,
    /// The upstream said that it did not run the request.
    Full,
    /// No connection could be opened.
    Unreachable,
    /// The caller left or time ran out; says nothing of the upstream.
    Neutral,
}

/// What an upstream reported of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Id of the upstream.
    pub id: &'a str,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in the data centre of this router.
    pub is_local: bool,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaced {
    /// No upstream of the service is known or reachable.
    NoUpstream,
    /// All upstreams have as much work as they can hold.
    Full,
}

#[derive(Clone, Debug)]
struct Load {
    own: u32,
    reported_others: u32,
    reported_at_ms: Option<u64>,
    failure_share: f64,
    latency_ms: f64,
    paused_until_ms: u64,
    failures_in_row: u32,
    /// Requests without a first byte yet, and since when there has been any without a byte from the upstream.
    unanswered: u32,
    silent_since_ms: u64,
    probed_at_ms: u64,
}

impl Load {
    fn new() -> Self {
        Self {
            own: 0,
            reported_others: 0,
            reported_at_ms: None,
            failure_share: 0.0,
            latency_ms: LATENCY_PRIOR_MS,
            paused_until_ms: 0,
            failures_in_row: 0,
            unanswered: 0,
            silent_since_ms: 0,
            probed_at_ms: 0,
        }
    }

    fn total(&self, now_ms: u64) -> u32 {
        let Some(at_ms) = self.reported_at_ms else {
            return self.own;
        };
        let age_ms = now_ms.saturating_sub(at_ms).min(REPORT_FADE_MS);
        let others = u64::from(self.reported_others) * (REPORT_FADE_MS - age_ms) / REPORT_FADE_MS;
        self.own + others as u32
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        self.unanswered > 0 && now_ms.saturating_sub(self.silent_since_ms) > SILENCE_MS
    }

    fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.paused_until_ms
            && (!self.is_silent(now_ms) || now_ms >= self.probed_at_ms + SILENT_PROBE_MS)
    }

    fn pause(&mut self, base_ms: u64, now_ms: u64) {
        let doubled = base_ms << self.failures_in_row.min(3);
        self.failures_in_row += 1;
        self.paused_until_ms = now_ms + doubled.min(PAUSE_LIMIT_MS);
    }
}

/// Loads of all upstreams as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    loads: FastMap<CompactString, Load>,
}

impl Placement {
    /// Chooses an upstream; `session` is a hash of the prompt prefix, `excluded` are upstreams that were tried.
    ///
    /// # Errors
    ///
    /// Returns whether there is no upstream at all or all are full.
    pub fn choose<'a>(
        &self,
        candidates: &[Candidate<'a>],
        session: Option<u64>,
        excluded: &[CompactString],
        now_ms: u64,
    ) -> Result<&'a str, Unplaced> {
        let fresh = Load::new();
        let load = |candidate: &Candidate<'_>| self.loads.get(candidate.id).unwrap_or(&fresh);
        let mut usable: Vec<Candidate<'a>> = candidates
            .iter()
            .filter(|candidate| !excluded.iter().any(|id| id == candidate.id))
            .filter(|candidate| load(candidate).is_usable(now_ms))
            .copied()
            .collect();
        if usable.is_empty() {
            return Err(Unplaced::NoUpstream);
        }
        let is_sound = |candidate: &Candidate<'_>| load(candidate).failure_share < FAILURE_LIMIT;
        if usable.iter().any(is_sound) {
            usable.retain(is_sound);
        }
        let has_room = |candidate: &Candidate<'_>| {
            let limit = candidate.slots + candidate.slots * QUEUE_PERCENT / 100;
            load(candidate).total(now_ms) < limit
        };
        usable.retain(has_room);
        if usable.is_empty() {
            return Err(Unplaced::Full);
        }
        let chosen = match session {
            Some(session) => {
                by_session(&usable, session, |candidate| load(candidate).total(now_ms))
            }
            None => usable.iter().min_by(|a, b| {
                wait_ms(load(a), a, now_ms)
                    .partial_cmp(&wait_ms(load(b), b, now_ms))
                    .unwrap_or(Ordering::Equal)
            }),
        };
        chosen
            .map(|candidate| candidate.id)
            .ok_or(Unplaced::NoUpstream)
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self, id: &str, now_ms: u64) {
        let load = self.load(id);
        if load.is_silent(now_ms) {
            load.probed_at_ms = now_ms;
        }
        load.own += 1;
        if load.unanswered == 0 {
            load.silent_since_ms = now_ms;
        }
        load.unanswered += 1;
    }

    /// Notes that an upstream sent something.
    pub fn heard(&mut self, id: &str, now_ms: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.silent_since_ms = now_ms;
        }
    }

    /// Notes that a request no longer waits for its first byte.
    pub fn answered(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.unanswered = load.unanswered.saturating_sub(1);
        }
    }

    /// Notes the time to the first byte of a response.
    pub fn first_byte(&mut self, id: &str, elapsed_ms: u64) {
        let load = self.load(id);
        load.latency_ms += LATENCY_WEIGHT * (elapsed_ms as f64 - load.latency_ms);
    }

    /// Notes the load that a response reported.
    pub fn report(&mut self, id: &str, report: LoadReport, now_ms: u64) {
        let load = self.load(id);
        load.reported_others = (report.running + report.waiting).saturating_sub(load.own);
        load.reported_at_ms = Some(now_ms);
    }

    /// Notes the end of a request.
    pub fn finished(&mut self, id: &str, outcome: Outcome, now_ms: u64) {
        let load = self.load(id);
        load.own = load.own.saturating_sub(1);
        match outcome {
            Outcome::Served => {
                load.failure_share -= FAILURE_WEIGHT * load.failure_share;
                load.failures_in_row = 0;
            }
            Outcome::Failed => {
                load.failure_share += FAILURE_WEIGHT * (1.0 - load.failure_share);
            }
            Outcome::Full => load.paused_until_ms = now_ms + FULL_PAUSE_MS,
            Outcome::Unreachable => load.pause(CONNECT_PAUSE_MS, now_ms),
            Outcome::Neutral => {}
        }
    }

    /// Returns the requests that this router has open at an upstream.
    pub fn own_requests(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.own)
    }

    /// Forgets an upstream that is gone or was started again, unless requests are still open there.
    pub fn remove_idle(&mut self, id: &str) {
        if self.own_requests(id) == 0 {
            self.loads.remove(id);
        }
    }

    /// Returns whether an upstream owes a first byte and has sent nothing for a while.
    pub fn is_silent(&self, id: &str, now_ms: u64) -> bool {
        self.loads
            .get(id)
            .is_some_and(|load| load.is_silent(now_ms))
    }

    /// Lets old failures count less, so that an avoided upstream gets another chance.
    pub fn forgive(&mut self, factor: f64) {
        for load in self.loads.values_mut() {
            load.failure_share *= factor;
        }
    }

    fn load(&mut self, id: &str) -> &mut Load {
        self.loads.entry(id.into()).or_insert_with(Load::new)
    }
}

/// Returns the first candidate in the ranking of a session whose load is within the bound.
fn by_session<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    session: u64,
    load: impl Fn(&Candidate<'_>) -> u32,
) -> Option<&'c Candidate<'a>> {
    let total: u32 = candidates.iter().map(&load).sum();
    let mean = total / candidates.len().max(1) as u32;
    let bound = mean * BOUND_PERCENT / 100 + BOUND_EXTRA;
    let ranked = |candidate: &&Candidate<'_>| rank(session, candidate.id);
    candidates
        .iter()
        .filter(|candidate| load(candidate) <= bound)
        .max_by_key(ranked)
        .or_else(|| candidates.iter().min_by_key(|candidate| load(candidate)))
}

fn rank(session: u64, id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), session)
}

/// Expected wait at an upstream; the mean time to the first byte stands for its speed.
fn wait_ms(load: &Load, candidate: &Candidate<'_>, now_ms: u64) -> f64 {
    /// Handicap of other data centres; a round trip between them.
    const REMOTE_MS: f64 = 2.0;
    let occupied = f64::from(load.total(now_ms)) / f64::from(candidate.slots.max(1));
    let remote_ms = if candidate.is_local { 0.0 } else { REMOTE_MS };
    load.latency_ms * (0.5 + occupied) * (1.0 + 2.0 * load.failure_share) + remote_ms
}
