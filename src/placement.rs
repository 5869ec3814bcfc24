//! Choice of an upstream for one request.
//!
//! A model engine reads prompts one after the other, so what delays a request is the prompts that are still to be read
//! before it. Each router estimates for every engine until when it reads, from its own requests and from the notices
//! of other routers, and adds what the engine would have to read for the new request: the whole prompt, or without its
//! shared part where the session was before. The request goes where the sum is smallest. Equal engines are ranked by
//! rendezvous hashing, so that routers without notices place a session alike.
//!
//! Requests to plain services go to the upstream with the least expected wait. The load of an upstream is what this
//! router has open there plus what others had open according to the newest response that carried a report. The part of
//! others fades out, because a report that is two seconds old says nothing.

use std::cmp::Ordering;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Age at which a load report no longer counts.
const REPORT_FADE_MS: u64 = 2_000;

/// Difference in expected delay below which two engines count as equal, in milliseconds.
const EQUAL_MS: f64 = 4.0;

/// Delay that one more running request causes by its share of each step, in milliseconds.
const RUNNING_MS: f64 = 0.7;

/// Time to read one token of a prompt that is assumed before the first measurement, in milliseconds.
const TOKEN_MS_PRIOR: f64 = 0.012;

/// Bounds of the measured time to read one token, in milliseconds.
const TOKEN_MS_BOUNDS: (f64, f64) = (0.001, 0.2);

/// Weight of one measurement of the time to read a token.
const TOKEN_MS_WEIGHT: f64 = 0.05;

/// Length of a prompt at which attention takes as long as everything else, in tokens; the engines in use, of 70 billion
/// parameters, state 90,000 to 110,000.
const ATTENTION_TOKENS: f64 = 100_000.0;

/// Weight of one measurement of an engine's own speed.
const ENGINE_WEIGHT: f64 = 0.2;

/// Shortest prompt from which the time to read a token is measured; shorter ones measure the first step.
const MEASURED_TOKENS: f64 = 2_000.0;

/// Time for which an engine is expected to keep a session's prompt in its cache.
const CACHED_MS: u64 = 15_000;

/// Sessions that are remembered for one engine.
const MAX_SESSIONS: usize = 2_048;

/// Pause after a refused or timed out connection, in milliseconds; doubled for each further one up to the limit.
const CONNECT_PAUSE_MS: u64 = 500;

/// Longest pause after failures in a row.
const PAUSE_LIMIT_MS: u64 = 4_000;

/// Pause after an upstream said that it is full.
const FULL_PAUSE_MS: u64 = 100;

/// Pause after another process answered at the address of an upstream; a router that the store does not reach learns of
/// the replacement only much later.
const REPLACED_PAUSE_MS: u64 = 20_000;

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
    Rejected,
    /// Another process has the address; the upstream is gone, whatever its entry says.
    Replaced,
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

/// The prompt of a request to a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Hash of the shared part.
    pub session: u64,
    /// Tokens that requests of the session share.
    pub shared_tokens: u64,
    /// Tokens of this request alone.
    pub own_tokens: u64,
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
pub enum PlacementError {
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
    /// Time until which the engine reads the prompts that were sent to it.
    reads_until_ms: f64,
    /// Time to read one token relative to the mean of all engines.
    slowness: f64,
    /// Sessions whose prompts it read, with the time.
    sessions: FastMap<u64, u64>,
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
            reads_until_ms: 0.0,
            slowness: 1.0,
            sessions: FastMap::default(),
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

    fn has_cached(&self, session: u64, now_ms: u64) -> bool {
        let at_ms = self.sessions.get(&session);
        at_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < CACHED_MS)
    }

    /// Returns the tokens that the engine would have to read.
    fn unread_tokens(&self, prompt: &Prompt, now_ms: u64) -> u64 {
        if self.has_cached(prompt.session, now_ms) {
            prompt.own_tokens
        } else {
            prompt.own_tokens + prompt.shared_tokens
        }
    }

    /// Returns the time in which the engine reads a prompt.
    fn prompt_ms(&self, prompt: &Prompt, token_ms: f64, now_ms: u64) -> f64 {
        linear_tokens(prompt, self.unread_tokens(prompt, now_ms)) * token_ms * self.slowness
    }

    fn reading_ms(&self, now_ms: u64) -> f64 {
        (self.reads_until_ms - now_ms as f64).max(0.0)
    }

    fn add_reading(&mut self, session: u64, reading_ms: f64, now_ms: u64) {
        self.reads_until_ms = now_ms as f64 + self.reading_ms(now_ms) + reading_ms;
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < CACHED_MS / 2);
        }
        self.sessions.insert(session, now_ms);
    }

    fn pause(&mut self, base_ms: u64, now_ms: u64) {
        let doubled = base_ms << self.failures_in_row.min(3);
        self.failures_in_row += 1;
        self.paused_until_ms = now_ms + doubled.min(PAUSE_LIMIT_MS);
    }
}

/// Loads of all upstreams as one router sees them.
#[derive(Clone, Debug)]
pub struct Placement {
    loads: FastMap<CompactString, Load>,
    /// Measured time in which an engine reads one token of a prompt.
    token_ms: f64,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            loads: FastMap::default(),
            token_ms: TOKEN_MS_PRIOR,
        }
    }
}

impl Placement {
    /// Chooses an upstream; `excluded` are upstreams that were tried.
    ///
    /// # Errors
    ///
    /// Returns whether there is no upstream at all or all are full.
    pub fn choose<'a>(
        &self,
        candidates: &[Candidate<'a>],
        prompt: Option<&Prompt>,
        excluded: &[CompactString],
        now_ms: u64,
    ) -> Result<&'a str, PlacementError> {
        let fresh = Load::new();
        let load = |candidate: &Candidate<'_>| self.loads.get(candidate.id).unwrap_or(&fresh);
        let mut usable: Vec<Candidate<'a>> = candidates
            .iter()
            .filter(|candidate| !excluded.iter().any(|id| id == candidate.id))
            .filter(|candidate| load(candidate).is_usable(now_ms))
            .copied()
            .collect();
        if usable.is_empty() {
            return Err(PlacementError::NoUpstream);
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
            return Err(PlacementError::Full);
        }
        let chosen = match prompt {
            Some(prompt) => by_reading(&usable, prompt.session, |candidate| {
                self.delay_ms(load(candidate), prompt, now_ms)
            }),
            None => usable.iter().min_by(|a, b| {
                wait_ms(load(a), a, now_ms)
                    .partial_cmp(&wait_ms(load(b), b, now_ms))
                    .unwrap_or(Ordering::Equal)
            }),
        };
        chosen
            .map(|candidate| candidate.id)
            .ok_or(PlacementError::NoUpstream)
    }

    /// Returns the expected time until an upstream has read the prompt of a request.
    pub fn expected_delay_ms(&self, id: &str, prompt: Option<&Prompt>, now_ms: u64) -> f64 {
        match (self.loads.get(id), prompt) {
            (Some(load), Some(prompt)) => self.delay_ms(load, prompt, now_ms),
            _ => 0.0,
        }
    }

    /// Notes that a request is sent; returns how long the engine will read its prompt, in milliseconds.
    pub fn record_sent(&mut self, id: &str, prompt: Option<&Prompt>, now_ms: u64) -> f64 {
        let token_ms = self.token_ms;
        let load = self.load(id);
        let reading_ms = prompt.map_or(0.0, |prompt| {
            let reading_ms = load.prompt_ms(prompt, token_ms, now_ms);
            load.add_reading(prompt.session, reading_ms, now_ms);
            reading_ms
        });
        if load.is_silent(now_ms) {
            load.probed_at_ms = now_ms;
        }
        load.own += 1;
        if load.unanswered == 0 {
            load.silent_since_ms = now_ms;
        }
        load.unanswered += 1;
        reading_ms
    }

    /// Notes that another router sent a prompt to an engine.
    pub fn record_peer_sent(&mut self, id: &str, session: u64, reading_ms: f64, now_ms: u64) {
        self.load(id).add_reading(session, reading_ms, now_ms);
    }

    /// Measures the time to read a token from a request that found its engine idle; `linear_tokens` is the length that
    /// [`Placement::idle_prefill_work`] returned when it was sent.
    pub fn record_prefill(&mut self, id: &str, linear_tokens: f64, elapsed_ms: u64) {
        if linear_tokens < MEASURED_TOKENS {
            return;
        }
        let (min, max) = TOKEN_MS_BOUNDS;
        let token_ms = (elapsed_ms as f64 / linear_tokens).clamp(min, max);
        self.token_ms += TOKEN_MS_WEIGHT * (token_ms - self.token_ms);
        let slowness = token_ms / self.token_ms;
        let load = self.load(id);
        load.slowness += ENGINE_WEIGHT * (slowness - load.slowness);
    }

    /// Returns the length of what an engine would have to read if it is idle now, for a later measurement.
    pub fn idle_prefill_work(&self, id: &str, prompt: &Prompt, now_ms: u64) -> Option<f64> {
        let unread_tokens = match self.loads.get(id) {
            None => prompt.own_tokens + prompt.shared_tokens,
            Some(load) if load.reading_ms(now_ms) == 0.0 => load.unread_tokens(prompt, now_ms),
            Some(_) => return None,
        };
        Some(linear_tokens(prompt, unread_tokens))
    }

    /// Notes that an upstream sent something.
    pub fn record_activity(&mut self, id: &str, now_ms: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.silent_since_ms = now_ms;
        }
    }

    /// Notes that a request no longer waits for its first byte.
    pub fn end_first_byte_wait(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.unanswered = load.unanswered.saturating_sub(1);
        }
    }

    /// Notes the time to the first byte of a response.
    pub fn record_first_byte(&mut self, id: &str, elapsed_ms: u64) {
        let load = self.load(id);
        load.latency_ms += LATENCY_WEIGHT * (elapsed_ms as f64 - load.latency_ms);
    }

    /// Notes the load that a response reported.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now_ms: u64) {
        let load = self.load(id);
        load.reported_others = (report.running + report.waiting).saturating_sub(load.own);
        load.reported_at_ms = Some(now_ms);
    }

    /// Notes the end of a request.
    pub fn record_finished(&mut self, id: &str, outcome: Outcome, now_ms: u64) {
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
            Outcome::Replaced => load.paused_until_ms = now_ms + REPLACED_PAUSE_MS,
            Outcome::Rejected => load.paused_until_ms = now_ms + FULL_PAUSE_MS,
            Outcome::Unreachable => load.pause(CONNECT_PAUSE_MS, now_ms),
            Outcome::Neutral => {}
        }
    }

    /// Returns the requests that this router has open at an upstream.
    pub fn open_requests(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.own)
    }

    /// Forgets an upstream that is gone or was started again, but for the requests that are still open there.
    pub fn reset(&mut self, id: &str) {
        if let Some(load) = self.loads.remove(id) {
            if load.own > 0 {
                let open = Load {
                    own: load.own,
                    unanswered: load.unanswered,
                    silent_since_ms: load.silent_since_ms,
                    ..Load::new()
                };
                self.loads.insert(id.into(), open);
            }
        }
    }

    /// Returns whether an upstream owes a first byte and has sent nothing for a while.
    pub fn is_silent(&self, id: &str, now_ms: u64) -> bool {
        self.loads
            .get(id)
            .is_some_and(|load| load.is_silent(now_ms))
    }

    /// Lets old failures count less, so that an avoided upstream gets another chance.
    pub fn decay_failure_rates(&mut self, factor: f64) {
        for load in self.loads.values_mut() {
            load.failure_share *= factor;
        }
    }

    /// Expected time until an engine has read the prompt.
    fn delay_ms(&self, load: &Load, prompt: &Prompt, now_ms: u64) -> f64 {
        let own_ms = load.prompt_ms(prompt, self.token_ms, now_ms);
        let running_ms = f64::from(load.total(now_ms)) * RUNNING_MS;
        load.reading_ms(now_ms) + own_ms + running_ms
    }

    fn load(&mut self, id: &str) -> &mut Load {
        self.loads.entry(id.into()).or_insert_with(Load::new)
    }
}

/// Returns the candidate with the smallest delay; among equal ones, the first in the ranking of the session.
fn by_reading<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    session: u64,
    delay_ms: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'c Candidate<'a>> {
    let delays: Vec<f64> = candidates.iter().map(delay_ms).collect();
    let least = delays.iter().copied().fold(f64::INFINITY, f64::min);
    candidates
        .iter()
        .zip(&delays)
        .filter(|(_, delay)| **delay <= least + EQUAL_MS)
        .map(|(candidate, _)| candidate)
        .max_by_key(|candidate| rank(session, candidate.id))
}

/// Returns the number of tokens that would take as long to read without attention to the ones before.
fn linear_tokens(prompt: &Prompt, unread_tokens: u64) -> f64 {
    let all = (prompt.own_tokens + prompt.shared_tokens) as f64;
    let read = all - unread_tokens as f64;
    unread_tokens as f64 + (all * all - read * read) / ATTENTION_TOKENS
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
