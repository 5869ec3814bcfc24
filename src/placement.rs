//! Choice of an upstream for one request.
//!
//! A model engine processes (prefills) prompts one after the other, so a request is delayed by the prompts that are
//! queued before it. For every engine, each router estimates when the queued prefills end, from its own requests and
//! from the notices of other routers, and adds the prefill time of the new request: that of the whole prompt, or
//! without its shared part on an engine that has recently served the session. The request goes to the engine with the
//! smallest sum. Ties are broken by rendezvous hashing, so that routers that have received no notices place a session
//! alike.
//!
//! Requests to plain services go to the upstream with the least expected wait. The load of an upstream is the number of
//! requests that this router has open there plus those of other routers, according to the newest response that carried
//! a load report. The contribution of others decays to zero within two seconds, because an older report says nothing
//! about the present load.
//!
//! If upstreams of a service state how long their work takes at present, all choices among them compare expected costs
//! instead; see `docs/design/request-cost.md`.

mod cost_choice;
mod costs;
mod prefill_queue;
mod prefix_cache;
mod request;
mod usual_choice;

use std::cmp::Ordering;

use compact_str::CompactString;

use crate::collections::FastMap;
use crate::request_cost::{prefill_work, INITIAL_MS_PER_TOKEN, MS_PER_TOKEN_BOUNDS};
use crate::upstream_limits::Weight;

use costs::{FleetCosts, UpstreamCosts};
use usual_choice::{expected_wait_ms, min_delay_candidate};

pub use costs::{ExpectedCost, PeerPrompt, SpeedFigure};
pub use request::{Candidate, LoadReport, Prompt, PromptPart, PromptParts};

/// Age at which a load report no longer counts; its weight decreases linearly until then.
const REPORT_DECAY_MS: u64 = 2_000;

/// Delay that each running request adds by its share of every engine step, in milliseconds.
const RUNNING_REQUEST_DELAY_MS: f64 = 0.7;

/// Weight of one measurement in the moving average of the prefill time of one token.
const MS_PER_TOKEN_EWMA_WEIGHT: f64 = 0.05;

/// Weight of one prompt in the moving average of the prefill work.
const WORK_EWMA_WEIGHT: f64 = 0.02;

/// Weight of one measurement in the moving average of an engine's slowdown.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.2;

/// Smallest prefill work, in tokens, from which the time of one token is measured; with less, the first engine step
/// dominates.
const MIN_MEASURED_WORK: f64 = 2_000.0;

/// Time for which an engine is expected to keep a session's prompt in its prefix cache.
const CACHE_RETENTION_MS: u64 = 15_000;

/// Number of sessions of one engine above which old ones are removed.
const MAX_SESSIONS: usize = 2_048;

/// Backoff after a connect that failed or timed out, in milliseconds; doubles with each consecutive failure.
const CONNECT_BACKOFF_MS: u64 = 500;

/// Longest backoff after consecutive failed connects.
const MAX_CONNECT_BACKOFF_MS: u64 = 4_000;

/// Backoff after an upstream rejected a request without running it.
const REJECTED_BACKOFF_MS: u64 = 100;

/// Backoff after another process responded at the address of an upstream.
///
/// A router that is cut off from the store learns of the replacement only much later.
const REPLACED_BACKOFF_MS: u64 = 20_000;

/// Time without any byte from an upstream after which it counts as silent, while a request waits for a first byte.
const SILENCE_TIMEOUT_MS: u64 = 1_200;

/// Interval at which one request is sent to a silent upstream as a probe.
const SILENT_PROBE_INTERVAL_MS: u64 = 1_500;

/// Weight of one result in the moving average of the failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.12;

/// Failure rate from which an upstream is avoided while others are below it.
const MAX_FAILURE_RATE: f64 = 0.35;

/// Weight of one result in the moving average of the time to the first byte.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Time to the first byte that is assumed before the first result.
const INITIAL_LATENCY_MS: f64 = 50.0;

/// Requests that may queue at an upstream beyond its slots, in percent of the slots.
const QUEUE_PERCENT: u32 = 100;

/// Result of one request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream sent a complete response that is not a failure.
    Served,
    /// The upstream responded with a failure, ended the response early or did not respond in time.
    Failed,
    /// The upstream stated that it did not run the request.
    Rejected,
    /// Another process listens on the address; the upstream is gone even if it still has an entry.
    Replaced,
    /// No connection could be opened, for a reason that is not this VM's, for example because its host refused it.
    Unreachable,
    /// An attempt to connect was not answered in time, by a fault of the upstream or of this VM's own network.
    Unanswered,
    /// The caller disconnected or the deadline passed, which says nothing about the upstream.
    Neutral,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No upstream of the service is known, or none is usable.
    NoUpstream,
    /// All usable upstreams have as many requests as they may run and queue.
    Full,
}

#[derive(Clone, Debug)]
struct UpstreamLoad {
    own_requests: u32,
    others_requests: u32,
    reported_at_ms: Option<u64>,
    failure_rate: f64,
    latency_ms: f64,
    backoff_until_ms: u64,
    /// End of the backoff after a connect that timed out.
    unanswered_until_ms: u64,
    /// Whether this VM may have been the reason for it.
    is_unanswered_in_doubt: bool,
    consecutive_failures: u32,
    /// Requests that wait for the first byte of their response.
    awaiting_first_byte: u32,
    /// Time of the last byte from the upstream, or of sending the first of the waiting requests if that is later.
    silent_since_ms: u64,
    probed_at_ms: u64,
    /// Estimated end of the prefills of all prompts that were sent to the engine.
    prefill_until_ms: f64,
    /// Prefill time of one token relative to the mean of all engines.
    slowdown: f64,
    /// Sessions whose prompts were sent to the engine, with the time of the last one.
    sessions: FastMap<u64, u64>,
    costs: UpstreamCosts,
}

impl UpstreamLoad {
    fn new() -> Self {
        Self {
            own_requests: 0,
            others_requests: 0,
            reported_at_ms: None,
            failure_rate: 0.0,
            latency_ms: INITIAL_LATENCY_MS,
            backoff_until_ms: 0,
            unanswered_until_ms: 0,
            is_unanswered_in_doubt: false,
            consecutive_failures: 0,
            awaiting_first_byte: 0,
            silent_since_ms: 0,
            probed_at_ms: 0,
            prefill_until_ms: 0.0,
            slowdown: 1.0,
            sessions: FastMap::default(),
            costs: UpstreamCosts::default(),
        }
    }

    fn total_requests(&self, now_ms: u64) -> u32 {
        let Some(at_ms) = self.reported_at_ms else {
            return self.own_requests;
        };
        let age_ms = now_ms.saturating_sub(at_ms).min(REPORT_DECAY_MS);
        let others = u64::from(self.others_requests) * (REPORT_DECAY_MS - age_ms) / REPORT_DECAY_MS;
        self.own_requests.saturating_add(others as u32)
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        self.awaiting_first_byte > 0
            && now_ms.saturating_sub(self.silent_since_ms) > SILENCE_TIMEOUT_MS
    }

    fn is_usable(&self, now_ms: u64) -> bool {
        now_ms >= self.backoff_until_ms
    }

    /// Returns whether the upstream answers, as far as is known; a silent one counts again when a probe is due.
    fn is_responsive(&self, now_ms: u64) -> bool {
        now_ms >= self.unanswered_until_ms
            && (!self.is_silent(now_ms) || now_ms >= self.probed_at_ms + SILENT_PROBE_INTERVAL_MS)
    }

    fn has_cached(&self, session: u64, now_ms: u64) -> bool {
        let at_ms = self.sessions.get(&session);
        at_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < CACHE_RETENTION_MS)
    }

    /// Returns the tokens of a prompt that are not expected in the engine's prefix cache.
    fn uncached_tokens(&self, prompt: &Prompt, now_ms: u64) -> u64 {
        if self.has_cached(prompt.session, now_ms) {
            prompt.own_tokens
        } else {
            prompt.own_tokens + prompt.shared_tokens
        }
    }

    /// Returns the expected prefill time of a prompt.
    fn prefill_ms(&self, prompt: &Prompt, ms_per_token: f64, now_ms: u64) -> f64 {
        prefill_work(prompt.total_tokens(), self.uncached_tokens(prompt, now_ms))
            * ms_per_token
            * self.slowdown
    }

    fn backlog_ms(&self, now_ms: u64) -> f64 {
        (self.prefill_until_ms - now_ms as f64).max(0.0)
    }

    fn add_prefill(&mut self, session: u64, prefill_ms: f64, now_ms: u64) {
        self.prefill_until_ms = now_ms as f64 + self.backlog_ms(now_ms) + prefill_ms;
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < CACHE_RETENTION_MS / 2);
        }
        self.sessions.insert(session, now_ms);
    }

    /// Returns the end of the backoff after a failed connect, which grows with each consecutive failure.
    fn next_backoff_end_ms(&mut self, now_ms: u64) -> u64 {
        let delay_ms = CONNECT_BACKOFF_MS << self.consecutive_failures.min(3);
        self.consecutive_failures += 1;
        now_ms + delay_ms.min(MAX_CONNECT_BACKOFF_MS)
    }

    fn record_unreachable(&mut self, now_ms: u64) {
        self.backoff_until_ms = self.next_backoff_end_ms(now_ms);
    }

    fn record_unanswered(&mut self, is_own_congestion_suspected: bool, now_ms: u64) {
        self.unanswered_until_ms = self.next_backoff_end_ms(now_ms);
        self.is_unanswered_in_doubt = is_own_congestion_suspected;
    }
}

/// Load and health of all upstreams as this router sees them, and the choice among them.
#[derive(Clone, Debug)]
pub struct Placement {
    loads: FastMap<CompactString, UpstreamLoad>,
    /// Moving average of the prefill time of one token over all engines.
    ms_per_token: f64,
    /// Moving average of the prefill work of prompts.
    mean_work: f64,
    /// Whether this VM may be the reason why upstreams do not answer, see [`crate::congestion`].
    is_own_congestion_suspected: bool,
    costs: FleetCosts,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            loads: FastMap::default(),
            ms_per_token: INITIAL_MS_PER_TOKEN,
            mean_work: 0.0,
            is_own_congestion_suspected: false,
            costs: FleetCosts::default(),
        }
    }
}

impl Placement {
    /// Chooses an upstream that is not in `excluded`, the upstreams that were already tried.
    ///
    /// # Errors
    ///
    /// Returns whether no upstream is usable or all usable ones are full.
    pub fn choose<'a>(
        &self,
        candidates: &[Candidate<'a>],
        prompt: Option<&Prompt>,
        excluded: &[CompactString],
        now_ms: u64,
    ) -> Result<&'a str, PlacementError> {
        let initial = UpstreamLoad::new();
        let load = |candidate: &Candidate<'_>| self.loads.get(candidate.id).unwrap_or(&initial);
        let mut usable: Vec<Candidate<'a>> = candidates
            .iter()
            .filter(|candidate| !excluded.iter().any(|id| id == candidate.id))
            .filter(|candidate| load(candidate).is_usable(now_ms))
            .copied()
            .collect();
        let is_responsive = |candidate: &Candidate<'_>| load(candidate).is_responsive(now_ms);
        if usable.iter().any(is_responsive) {
            usable.retain(is_responsive);
        } else {
            usable.retain(|candidate| {
                self.is_own_congestion_suspected || load(candidate).is_unanswered_in_doubt
            });
        }
        if usable.is_empty() {
            return Err(PlacementError::NoUpstream);
        }
        let is_healthy =
            |candidate: &Candidate<'_>| load(candidate).failure_rate < MAX_FAILURE_RATE;
        if usable.iter().any(is_healthy) {
            usable.retain(is_healthy);
        }
        let has_room = |candidate: &Candidate<'_>| {
            let limit = candidate.slots + candidate.slots * QUEUE_PERCENT / 100;
            load(candidate).total_requests(now_ms) < limit
        };
        usable.retain(has_room);
        if usable.is_empty() {
            return Err(PlacementError::Full);
        }
        if usable
            .iter()
            .any(|candidate| load(candidate).costs.speed.is_stated())
        {
            return self
                .choose_by_cost(&usable, prompt, now_ms)
                .ok_or(PlacementError::NoUpstream);
        }
        let chosen = match prompt {
            Some(prompt) => min_delay_candidate(&usable, prompt.session, |candidate| {
                self.delay_ms(load(candidate), prompt, now_ms)
            }),
            None => usable.iter().min_by(|a, b| {
                expected_wait_ms(load(a), a, now_ms)
                    .partial_cmp(&expected_wait_ms(load(b), b, now_ms))
                    .unwrap_or(Ordering::Equal)
            }),
        };
        chosen
            .map(|candidate| candidate.id)
            .ok_or(PlacementError::NoUpstream)
    }

    /// Returns the weight of a request compared with the others; requests to plain services are alike.
    pub fn weight(&self, prompt: Option<&Prompt>) -> Weight {
        let is_light = prompt.is_some_and(|prompt| {
            prefill_work(prompt.total_tokens(), prompt.total_tokens()) < self.mean_work
        });
        if is_light {
            Weight::Light
        } else {
            Weight::Heavy
        }
    }

    /// Returns the expected time until an engine has prefilled a prompt; 0 without a prompt or for an unknown engine.
    pub fn expected_delay_ms(&self, id: &str, prompt: Option<&Prompt>, now_ms: u64) -> f64 {
        match (self.loads.get(id), prompt) {
            (Some(load), _) if load.costs.speed.is_stated() => {
                self.cost_at(load, prompt, now_ms).first_byte_ms()
            }
            (Some(load), Some(prompt)) => self.delay_ms(load, prompt, now_ms),
            _ => 0.0,
        }
    }

    /// Records that a request is sent; returns the expected prefill time of its prompt in milliseconds.
    pub fn record_sent(&mut self, id: &str, prompt: Option<&Prompt>, now_ms: u64) -> f64 {
        let ms_per_token = self.ms_per_token;
        if let Some(prompt) = prompt {
            let work = prefill_work(prompt.total_tokens(), prompt.total_tokens());
            self.mean_work += WORK_EWMA_WEIGHT * (work - self.mean_work);
        }
        let load = self.load(id);
        let prefill_ms = prompt.map_or(0.0, |prompt| {
            let prefill_ms = load.prefill_ms(prompt, ms_per_token, now_ms);
            load.add_prefill(prompt.session, prefill_ms, now_ms);
            prefill_ms
        });
        if load.is_silent(now_ms) {
            load.probed_at_ms = now_ms;
        }
        load.own_requests += 1;
        if load.awaiting_first_byte == 0 {
            load.silent_since_ms = now_ms;
        }
        load.awaiting_first_byte += 1;
        self.record_sent_cost(id, prompt, now_ms);
        prefill_ms
    }

    /// Records that another router sent a prompt to an engine.
    pub fn record_peer_sent(&mut self, id: &str, session: u64, prefill_ms: f64, now_ms: u64) {
        self.load(id).add_prefill(session, prefill_ms, now_ms);
    }

    /// Updates the measured prefill speed from a request that was sent to an idle engine.
    ///
    /// `work` is what [`Placement::idle_prefill_work`] returned when the request was sent, and `elapsed_ms` is the time
    /// to its first byte.
    pub fn record_prefill(&mut self, id: &str, work: f64, elapsed_ms: u64) {
        if work < MIN_MEASURED_WORK {
            return;
        }
        let (min, max) = MS_PER_TOKEN_BOUNDS;
        let ms_per_token = (elapsed_ms as f64 / work).clamp(min, max);
        self.ms_per_token += MS_PER_TOKEN_EWMA_WEIGHT * (ms_per_token - self.ms_per_token);
        let slowdown = ms_per_token / self.ms_per_token;
        let load = self.load(id);
        load.slowdown += SLOWDOWN_EWMA_WEIGHT * (slowdown - load.slowdown);
    }

    /// Returns the prefill work of a prompt on an engine that is idle now, for a later measurement; `None` if it is
    /// busy.
    pub fn idle_prefill_work(&self, id: &str, prompt: &Prompt, now_ms: u64) -> Option<f64> {
        let uncached_tokens = match self.loads.get(id) {
            None => prompt.own_tokens + prompt.shared_tokens,
            Some(load) if load.backlog_ms(now_ms) == 0.0 => load.uncached_tokens(prompt, now_ms),
            Some(_) => return None,
        };
        Some(prefill_work(prompt.total_tokens(), uncached_tokens))
    }

    /// Records that an upstream sent some bytes.
    pub fn record_activity(&mut self, id: &str, now_ms: u64) {
        if let Some(load) = self.loads.get_mut(id) {
            load.silent_since_ms = now_ms;
        }
    }

    /// Records that a request no longer waits for its first byte.
    pub fn end_first_byte_wait(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.awaiting_first_byte = load.awaiting_first_byte.saturating_sub(1);
        }
    }

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&mut self, id: &str, elapsed_ms: u64) {
        let load = self.load(id);
        load.latency_ms += LATENCY_EWMA_WEIGHT * (elapsed_ms as f64 - load.latency_ms);
    }

    /// Records the load that an upstream reported with a response.
    pub fn record_load(&mut self, id: &str, report: LoadReport, now_ms: u64) {
        let load = self.load(id);
        load.others_requests = report
            .running
            .saturating_add(report.waiting)
            .saturating_sub(load.own_requests);
        load.reported_at_ms = Some(now_ms);
        if let Some(work_percent) = report.work_percent {
            self.record_stated_speed(id, work_percent, now_ms);
        }
    }

    /// Records the end of a request.
    pub fn record_finished(&mut self, id: &str, outcome: Outcome, now_ms: u64) {
        let is_own_congestion_suspected = self.is_own_congestion_suspected;
        let load = self.load(id);
        load.own_requests = load.own_requests.saturating_sub(1);
        match outcome {
            Outcome::Served => {
                load.failure_rate -= FAILURE_EWMA_WEIGHT * load.failure_rate;
                load.consecutive_failures = 0;
                load.is_unanswered_in_doubt = false;
            }
            Outcome::Failed => {
                load.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - load.failure_rate);
            }
            Outcome::Replaced => load.backoff_until_ms = now_ms + REPLACED_BACKOFF_MS,
            Outcome::Rejected => load.backoff_until_ms = now_ms + REJECTED_BACKOFF_MS,
            Outcome::Unreachable => load.record_unreachable(now_ms),
            Outcome::Unanswered => load.record_unanswered(is_own_congestion_suspected, now_ms),
            Outcome::Neutral => {}
        }
    }

    /// Records that no connection to an upstream could be opened for a request that is in flight elsewhere.
    pub fn record_unreachable(&mut self, id: &str, outcome: Outcome, now_ms: u64) {
        let is_own_congestion_suspected = self.is_own_congestion_suspected;
        let load = self.load(id);
        if outcome == Outcome::Unanswered {
            load.record_unanswered(is_own_congestion_suspected, now_ms);
        } else {
            load.record_unreachable(now_ms);
        }
    }

    /// Sets whether this VM may be the reason why upstreams do not answer.
    ///
    /// Upstreams that do not answer then, or did not earlier while it was suspected, are still avoided, but used if no
    /// other one is left, because the request would otherwise be refused for a fault that no upstream has.
    pub fn suspect_own_congestion(&mut self, is_suspected: bool) {
        self.is_own_congestion_suspected = is_suspected;
    }

    /// Returns the number of requests that this router has open at an upstream.
    pub fn open_requests(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.own_requests)
    }

    /// Resets the state of an upstream that is gone or was restarted, except for the requests still open there.
    pub fn reset(&mut self, id: &str) {
        if let Some(load) = self.loads.remove(id) {
            if load.own_requests > 0 {
                let open = UpstreamLoad {
                    own_requests: load.own_requests,
                    awaiting_first_byte: load.awaiting_first_byte,
                    silent_since_ms: load.silent_since_ms,
                    ..UpstreamLoad::new()
                };
                self.loads.insert(id.into(), open);
            }
        }
    }

    /// Returns whether a request waits for a first byte from an upstream that has sent nothing for a while.
    pub fn is_silent(&self, id: &str, now_ms: u64) -> bool {
        self.loads
            .get(id)
            .is_some_and(|load| load.is_silent(now_ms))
    }

    /// Multiplies all failure rates by a factor below 1, so that an avoided upstream is tried again.
    pub fn decay_failure_rates(&mut self, factor: f64) {
        for load in self.loads.values_mut() {
            load.failure_rate *= factor;
        }
    }

    /// Returns the expected time until an engine has prefilled a prompt.
    fn delay_ms(&self, load: &UpstreamLoad, prompt: &Prompt, now_ms: u64) -> f64 {
        let prefill_ms = load.prefill_ms(prompt, self.ms_per_token, now_ms);
        let running_ms = f64::from(load.total_requests(now_ms)) * RUNNING_REQUEST_DELAY_MS;
        load.backlog_ms(now_ms) + prefill_ms + running_ms
    }

    fn load(&mut self, id: &str) -> &mut UpstreamLoad {
        self.loads
            .entry(id.into())
            .or_insert_with(UpstreamLoad::new)
    }
}
