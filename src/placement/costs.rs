//! What is known of the costs of requests at upstreams, as far as upstreams state their speed.

use std::collections::VecDeque;

use compact_str::CompactString;

use super::prefill_queue::{Left, Pace, PrefillQueue};
use super::prefix_cache::PrefixCache;
use super::request::MAX_PARTS;
use super::{LoadReport, Placement, Prompt, UpstreamLoad, RUNNING_REQUEST_DELAY_MS};
use crate::request_cost::{CostModel, OutputKey, OutputLengths};
use crate::upstream_speed::{SpeedEstimate, UpstreamSpeed, WORK_PERCENT_BOUNDS};

/// Weight of one response in the average time of a plain request at an upstream of usual speed.
const SERVICE_EWMA_WEIGHT: f64 = 0.1;

/// Change of a stated figure, in percent of the known one, from which it is reported to other routers.
const REPORT_CHANGE_PERCENT: u32 = 25;

/// Figure from which an upstream counts as slow.
const SLOW_PERCENT: u32 = 150;

/// Time that work takes at a slow upstream, compared with the usual time, before any has stated it.
const INITIAL_SLOW: f64 = 3.0;

/// Weight of one figure in the average of the figures of slow upstreams.
const SLOW_EWMA_WEIGHT: f64 = 0.05;

/// Age of the known figure from which a new one is reported in any case.
const REPORT_AGE_MS: u64 = 1_000;

/// Number of figures that wait to be reported; the oldest are dropped.
const MAX_PENDING_FIGURES: usize = 8;

/// Age from which a pending figure is dropped.
const MAX_PENDING_MS: u64 = 500;

/// A statement of an upstream about its speed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpeedFigure {
    /// Id of the upstream.
    pub upstream: CompactString,
    /// Time that its work takes, in percent of the usual time.
    pub work_percent: u32,
    /// Time at which the statement arrived.
    pub at_ms: u64,
}

/// A prompt that another router sent to an engine.
#[derive(Clone, Copy, Debug)]
pub struct PeerPrompt<'a> {
    /// Hash that identifies the session.
    pub session: u64,
    /// Other parts of the prompt that it shares with prompts of other sessions.
    pub parts: &'a [u64],
    /// Expected prefill time according to its sender.
    pub prefill_ms: f64,
    /// Prefill time at usual speed.
    pub work_ms: f64,
}

/// Costs of requests at one upstream. Unused as long as no upstream states its speed.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamCosts {
    pub(super) speed: UpstreamSpeed,
    pub(super) queue: PrefillQueue,
    pub(super) prefixes: PrefixCache,
    /// Moving average of the time of plain requests at usual speed.
    pub(super) service_ms: Option<f64>,
    /// When the other routers last learned of the speed, and the figure.
    reported: Option<(u32, u64)>,
}

impl UpstreamCosts {
    /// Sets the speed as stated at `at_ms`; returns whether this is newer than what was known.
    fn set_speed(&mut self, work_percent: u32, at_ms: u64, slow: f64, now_ms: u64) -> bool {
        let pace = self.pace(slow, now_ms);
        self.queue.advance(pace, now_ms);
        let is_newer = self.speed.record_stated(work_percent, at_ms);
        if is_newer {
            self.queue.record_sign(work_percent >= SLOW_PERCENT);
        }
        is_newer
    }

    fn pace(&self, slow: f64, now_ms: u64) -> Pace {
        let expected = self.speed.estimate(now_ms).now;
        Pace { expected, slow }
    }

    /// Returns whether a figure differs so much from what the other routers know that it should be reported.
    fn needs_report(&self, work_percent: u32, now_ms: u64) -> bool {
        let Some((known, at_ms)) = self.reported else {
            return true;
        };
        known.abs_diff(work_percent) * 100 >= known.max(1) * REPORT_CHANGE_PERCENT
            || now_ms.saturating_sub(at_ms) >= REPORT_AGE_MS
    }
}

/// Costs of requests at all upstreams.
#[derive(Clone, Debug)]
pub(super) struct FleetCosts {
    /// Whether any upstream has stated its speed.
    pub(super) is_in_effect: bool,
    pub(super) model: CostModel,
    pub(super) outputs: OutputLengths,
    /// Average of the figures of slow upstreams, as a ratio.
    slow: f64,
    /// Figures that have not been reported to the other routers.
    pending_figures: VecDeque<SpeedFigure>,
    /// Seed and number of random draws.
    seed: u64,
    draws: u64,
}

impl Default for FleetCosts {
    fn default() -> Self {
        Self {
            is_in_effect: false,
            model: CostModel::default(),
            outputs: OutputLengths::default(),
            slow: INITIAL_SLOW,
            pending_figures: VecDeque::new(),
            seed: 0,
            draws: 0,
        }
    }
}

impl FleetCosts {
    fn record_figure(&mut self, work_percent: u32) {
        self.is_in_effect = true;
        if work_percent >= SLOW_PERCENT {
            let ratio = f64::from(work_percent) / 100.0;
            self.slow += SLOW_EWMA_WEIGHT * (ratio - self.slow);
        }
    }

    /// Returns a number that looks random and differs with each request that is sent.
    pub(super) fn draw(&self) -> u64 {
        // The finaliser of splitmix64.
        let mut value = self
            .seed
            .wrapping_add(self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ (value >> 31)
    }
}

/// What a request is expected to cost at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedCost {
    /// Prefill of the prompt, or processing of a plain request, at usual speed.
    pub work_ms: f64,
    /// What the upstream does before, at usual speed.
    pub wait_ms: f64,
    /// What it does in addition if it has been slow since its last sign of life, and whether it probably has.
    pub(super) doubtful_ms: f64,
    pub(super) is_overdue: bool,
    /// Estimated speed of the upstream.
    pub speed: SpeedEstimate,
    /// Position of the prompt in the engine's queue, if it is the next one.
    position_ms: Option<f64>,
}

impl ExpectedCost {
    /// Returns the expected time to the first byte.
    pub fn first_byte_ms(&self) -> f64 {
        self.speed.time_ms(self.wait_ms + self.work_ms)
    }

    /// Returns the expected time of the work for the request itself.
    pub fn work_time_ms(&self) -> f64 {
        self.speed.time_ms(self.work_ms)
    }
}

impl Placement {
    /// Creates a placement whose random choices differ from those of other seeds.
    pub fn with_seed(seed: u64) -> Self {
        let mut placement = Self::default();
        placement.costs.seed = seed;
        placement
    }

    /// Returns whether any upstream has stated its speed, so that requests to its service are placed by expected cost.
    pub fn weighs_costs(&self) -> bool {
        self.costs.is_in_effect
    }

    /// Returns the learned times of engines at usual speed.
    pub fn cost_model(&self) -> &CostModel {
        &self.costs.model
    }

    /// Returns the expected time until an engine has prefilled all prompts that were sent to it.
    pub fn backlog_ms(&self, id: &str, now_ms: u64) -> f64 {
        let Some(load) = self.loads.get(id) else {
            return 0.0;
        };
        if !load.costs.speed.is_stated() {
            return load.backlog_ms(now_ms);
        }
        let speed = load.costs.speed.estimate(now_ms);
        let pace = Pace {
            expected: speed.now,
            slow: self.costs.slow,
        };
        speed.time_ms(load.costs.queue.left(pace, now_ms).expected_ms)
    }

    /// Returns the expected prefill time of a prompt at an engine, without the prompts before it.
    pub fn prefill_ms(&self, id: &str, prompt: &Prompt, now_ms: u64) -> f64 {
        match self.loads.get(id) {
            Some(load) if load.costs.speed.is_stated() => {
                self.cost_at(load, Some(prompt), now_ms).work_time_ms()
            }
            Some(load) => load.prefill_ms(prompt, self.ms_per_token, now_ms),
            None => {
                let total_tokens = prompt.total_tokens();
                self.costs.model.prefill_ms(total_tokens, total_tokens)
            }
        }
    }

    /// Returns the expected cost of a request that is sent to an upstream now; `None` if no upstream states its speed.
    pub fn expected_cost(
        &self,
        id: &str,
        prompt: Option<&Prompt>,
        now_ms: u64,
    ) -> Option<ExpectedCost> {
        if !self.costs.is_in_effect {
            return None;
        }
        let initial = UpstreamLoad::new();
        let load = self.loads.get(id).unwrap_or(&initial);
        Some(self.cost_at(load, prompt, now_ms))
    }

    /// Returns the time that the output of a request is expected to take at usual speed; 0 if no upstream states its
    /// speed.
    pub fn expected_output_ms(&self, key: &OutputKey) -> f64 {
        if !self.costs.is_in_effect {
            return 0.0;
        }
        let tokens = self.costs.outputs.expected_tokens(key);
        self.costs.model.output_ms(tokens)
    }

    pub(super) fn cost_at(
        &self,
        load: &UpstreamLoad,
        prompt: Option<&Prompt>,
        now_ms: u64,
    ) -> ExpectedCost {
        let costs = &load.costs;
        let speed = costs.speed.estimate(now_ms);
        let running = f64::from(load.total_requests(now_ms));
        match prompt {
            Some(prompt) => {
                let uncached_tokens = costs.prefixes.uncached_tokens(prompt, now_ms);
                let model = &self.costs.model;
                let work_ms = model.prefill_ms(prompt.total_tokens(), uncached_tokens);
                let pace = Pace {
                    expected: speed.now,
                    slow: self.costs.slow,
                };
                let Left {
                    expected_ms,
                    doubtful_ms,
                    is_overdue,
                } = costs.queue.left(pace, now_ms);
                ExpectedCost {
                    work_ms,
                    wait_ms: expected_ms + running * RUNNING_REQUEST_DELAY_MS,
                    doubtful_ms: doubtful_ms - expected_ms,
                    is_overdue,
                    speed,
                    position_ms: Some(costs.queue.end_position_ms(work_ms)),
                }
            }
            None => ExpectedCost {
                work_ms: costs.service_ms.unwrap_or(load.latency_ms),
                wait_ms: 0.0,
                doubtful_ms: 0.0,
                is_overdue: false,
                speed,
                position_ms: None,
            },
        }
    }

    /// Adds a request that is sent to the work of its upstream.
    pub(super) fn record_sent_cost(&mut self, id: &str, prompt: Option<&Prompt>, now_ms: u64) {
        if !self.costs.is_in_effect {
            return;
        }
        self.costs.draws += 1;
        let Some(prompt) = prompt else { return };
        let slow = self.costs.slow;
        let Some(load) = self.loads.get(id) else {
            return;
        };
        let cost = self.cost_at(load, Some(prompt), now_ms);
        let costs = &mut self.load(id).costs;
        let pace = costs.pace(slow, now_ms);
        costs.queue.add(cost.work_ms, pace, now_ms);
        costs.queue.begin_wait(cost.first_byte_ms(), now_ms);
        let parts = prompt.parts.as_slice().iter().map(|part| part.id);
        costs.prefixes.insert(parts, now_ms);
    }

    /// Adds a prompt that another router sent to the work of its engine.
    pub fn record_peer_prompt(&mut self, id: &str, prompt: &PeerPrompt<'_>, now_ms: u64) {
        self.record_peer_sent(id, prompt.session, prompt.prefill_ms, now_ms);
        if !self.costs.is_in_effect {
            return;
        }
        let slow = self.costs.slow;
        let costs = &mut self.load(id).costs;
        let pace = costs.pace(slow, now_ms);
        costs.queue.add(prompt.work_ms, pace, now_ms);
        let parts = prompt.parts.iter().copied().take(MAX_PARTS);
        costs
            .prefixes
            .insert(parts.chain(std::iter::once(prompt.session)), now_ms);
    }

    /// Records that a request with this expected cost no longer waits for its first byte, for whatever reason.
    pub fn end_prefill_wait(&mut self, id: &str, expected: &ExpectedCost) {
        if let (Some(load), Some(position_ms)) = (self.loads.get_mut(id), expected.position_ms) {
            load.costs.queue.end_wait(position_ms);
        }
    }

    /// Learns from the first byte of a response, which arrived `elapsed_ms` after the request was sent.
    pub fn record_response_cost(
        &mut self,
        id: &str,
        expected: &ExpectedCost,
        report: Option<LoadReport>,
        elapsed_ms: u64,
        now_ms: u64,
    ) {
        let Some(work_percent) = report.and_then(|report| report.work_percent) else {
            return;
        };
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        let costs = &mut load.costs;
        let Some(position_ms) = expected.position_ms else {
            let service_ms = elapsed_ms as f64 * 100.0 / f64::from(work_percent.max(1));
            let mean_ms = costs.service_ms.get_or_insert(service_ms);
            *mean_ms += SERVICE_EWMA_WEIGHT * (service_ms - *mean_ms);
            return;
        };
        costs.queue.record_done(position_ms, now_ms);
        let model = &mut self.costs.model;
        let work_ms = expected.wait_ms + expected.work_ms;
        if let Some(ratio) = model.first_byte_ratio(work_ms, elapsed_ms) {
            let unexplained = costs.speed.record_response(ratio, work_percent, now_ms);
            model.record_unexplained(unexplained);
        }
    }

    /// Learns from the time that some output tokens of a running response took.
    pub fn record_output_time(&mut self, id: &str, tokens: u64, elapsed_ms: u64, now_ms: u64) {
        if !self.costs.is_in_effect {
            return;
        }
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        let costs = &mut load.costs;
        let pace = costs.pace(self.costs.slow, now_ms);
        let model = &mut self.costs.model;
        if let Some(ratio) = model.record_output_time(tokens, elapsed_ms, pace.expected) {
            costs.queue.advance(pace, now_ms);
            costs.speed.record_observed(ratio, now_ms);
        }
    }

    /// Learns the number of output tokens of a complete response.
    pub fn record_output_tokens(&mut self, key: &OutputKey, tokens: u64) {
        if self.costs.is_in_effect {
            self.costs.outputs.record(key, tokens);
            self.costs.model.record_output_tokens(tokens);
        }
    }

    /// Records the speed that an upstream stated in a response to this router.
    pub(super) fn record_stated_speed(&mut self, id: &str, work_percent: u32, now_ms: u64) {
        self.costs.record_figure(work_percent);
        let slow = self.costs.slow;
        let costs = &mut self.load(id).costs;
        let needs_report = costs.needs_report(work_percent, now_ms);
        costs.set_speed(work_percent, now_ms, slow, now_ms);
        if !needs_report {
            return;
        }
        costs.reported = Some((work_percent, now_ms));
        let pending = &mut self.costs.pending_figures;
        pending.retain(|figure| figure.upstream != id);
        if pending.len() >= MAX_PENDING_FIGURES {
            pending.pop_front();
        }
        pending.push_back(SpeedFigure {
            upstream: id.into(),
            work_percent,
            at_ms: now_ms,
        });
    }

    /// Records the speed of an upstream that another router has learned.
    pub fn record_peer_speed(&mut self, figure: &SpeedFigure, now_ms: u64) {
        if !WORK_PERCENT_BOUNDS.contains(&figure.work_percent) {
            return;
        }
        self.costs.record_figure(figure.work_percent);
        let slow = self.costs.slow;
        let costs = &mut self.load(&figure.upstream).costs;
        if costs.set_speed(figure.work_percent, figure.at_ms, slow, now_ms) {
            costs.reported = Some((figure.work_percent, figure.at_ms));
            let pending = &mut self.costs.pending_figures;
            pending.retain(|known| known.upstream != figure.upstream);
        }
    }

    /// Returns the newest figure that is to be reported to the other routers, once.
    pub fn take_figure(&mut self, now_ms: u64) -> Option<SpeedFigure> {
        let figure = self.costs.pending_figures.pop_back()?;
        (now_ms.saturating_sub(figure.at_ms) < MAX_PENDING_MS).then_some(figure)
    }
}
