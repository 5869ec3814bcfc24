//! Expected cost of a request: the time that an engine of usual speed takes for its prompt and for its output.
//!
//! The time per prompt token and per output token is learned from all responses of engines that state their speed. The
//! number of output tokens follows from earlier requests of the session and the route and from the caller's hint; see
//! `docs/design/request-cost.md`.

use crate::collections::FastMap;

/// Prompt length at which attention takes as long as all other computation, in tokens.
///
/// The engines in use, of 70 billion parameters, state 90,000 to 110,000.
const ATTENTION_PARITY_TOKENS: f64 = 100_000.0;

/// Prefill time of one token that is assumed before the first measurement, in milliseconds.
pub const INITIAL_MS_PER_TOKEN: f64 = 0.012;

/// Bounds on the measured prefill time of one token, in milliseconds.
pub const MS_PER_TOKEN_BOUNDS: (f64, f64) = (0.001, 0.2);

/// Part of the time to the first byte that does not depend on the prompt: the way to the engine and its first step.
const FIXED_FIRST_BYTE_MS: f64 = 4.0;

/// Shortest expected time that is compared with the observed one; with less, the resolution of the clock dominates.
const MIN_COMPARED_MS: f64 = 5.0;

/// Weight of one response in the average of the prefill time of one token, if it was faster and if it was slower than
/// expected. Queues that nobody told of, and a busy VM, make responses slower but never faster.
const FASTER_WEIGHT: f64 = 0.03;
const SLOWER_WEIGHT: f64 = 0.01;

/// Bounds on the ratio by which one response corrects the prefill time; an engine with a hidden queue must not change
/// the average of all engines.
const PREFILL_RATIO_BOUNDS: (f64, f64) = (0.5, 2.0);

/// Output time of one token that is assumed before the first measurement, in milliseconds.
const INITIAL_MS_PER_OUTPUT_TOKEN: f64 = 4.0;

/// Weight of one measurement in the average of the output time of one token.
const OUTPUT_TIME_EWMA_WEIGHT: f64 = 0.02;

/// Factor by which one measurement of the output time counts as differing from the known time at most. A caller that
/// reads slowly or in bursts can make one measurement differ far more.
const MAX_OUTPUT_TIME_FACTOR: f64 = 4.0;

/// Weight of one response in the average output of all requests and in the errors of its predictions.
const MEAN_OUTPUT_EWMA_WEIGHT: f64 = 0.02;

/// Weight of one response in the average output of a route and of a session.
const OUTPUT_EWMA_WEIGHT: f64 = 0.2;

/// Number of tokens that is expected without any knowledge.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;

/// Mean error that is assumed for a new source of the number of output tokens, as a logarithm.
const INITIAL_LOG_ERROR: f64 = 0.7;

/// Smallest mean error of such a source, so that none silences the others.
const MIN_LOG_ERROR: f64 = 0.05;

/// Number of sessions and routes whose outputs are remembered.
const MAX_OUTPUTS: usize = 4_096;

/// Returns the prefill work of a prompt, as the number of tokens that would take as long without attention.
///
/// Attention makes the work grow with the square of the prompt length; cached tokens are not computed again.
pub fn prefill_work(total_tokens: u64, uncached_tokens: u64) -> f64 {
    let total = total_tokens as f64;
    let cached = total - uncached_tokens as f64;
    uncached_tokens as f64 + (total * total - cached * cached) / ATTENTION_PARITY_TOKENS
}

/// Learned times of engines at usual speed.
#[derive(Clone, Debug)]
pub struct CostModel {
    ms_per_token: f64,
    ms_per_output_token: f64,
    /// Moving average of the output tokens of all requests.
    mean_output_tokens: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            ms_per_token: INITIAL_MS_PER_TOKEN,
            ms_per_output_token: INITIAL_MS_PER_OUTPUT_TOKEN,
            mean_output_tokens: INITIAL_OUTPUT_TOKENS,
        }
    }
}

impl CostModel {
    /// Returns the prefill time of a prompt at usual speed.
    pub fn prefill_ms(&self, total_tokens: u64, uncached_tokens: u64) -> f64 {
        prefill_work(total_tokens, uncached_tokens) * self.ms_per_token
    }

    /// Returns the prefill time of one token at usual speed.
    pub fn ms_per_token(&self) -> f64 {
        self.ms_per_token
    }

    /// Returns the time of one output token at usual speed.
    pub fn ms_per_output_token(&self) -> f64 {
        self.ms_per_output_token
    }

    /// Returns the time that the output of a request takes at usual speed.
    pub fn output_ms(&self, output_tokens: f64) -> f64 {
        output_tokens * self.ms_per_output_token
    }

    /// Returns the time for which a request usually occupies its slot after the prefill, at usual speed.
    pub fn mean_output_ms(&self) -> f64 {
        self.output_ms(self.mean_output_tokens)
    }

    /// Returns the ratio of an observed time to the first byte to the expected one at usual speed; `None` if the
    /// request was too short to tell.
    pub fn first_byte_ratio(&self, expected_work_ms: f64, elapsed_ms: u64) -> Option<f64> {
        if expected_work_ms < MIN_COMPARED_MS {
            return None;
        }
        Some((elapsed_ms as f64 - FIXED_FIRST_BYTE_MS).max(1.0) / expected_work_ms)
    }

    /// Corrects the prefill time of one token by the ratio of an observed to the expected time, as far as the stated
    /// speed of the engine does not explain it.
    pub fn record_unexplained(&mut self, ratio: f64) {
        let (min, max) = PREFILL_RATIO_BOUNDS;
        let difference = ratio.clamp(min, max) - 1.0;
        let weight = if difference < 0.0 {
            FASTER_WEIGHT
        } else {
            SLOWER_WEIGHT
        };
        let factor = 1.0 + weight * difference;
        let (min, max) = MS_PER_TOKEN_BOUNDS;
        self.ms_per_token = (self.ms_per_token * factor).clamp(min, max);
    }

    /// Records the time of some output tokens at an engine of this speed; returns its ratio to that at usual speed.
    pub fn record_output_time(&mut self, tokens: u64, elapsed_ms: u64, speed: f64) -> Option<f64> {
        if tokens == 0 || elapsed_ms == 0 {
            return None;
        }
        let ms_per_token = elapsed_ms as f64 / tokens as f64;
        let ratio = ms_per_token / self.ms_per_output_token;
        let known_ms = self.ms_per_output_token;
        let usual_ms = (ms_per_token / speed).clamp(
            known_ms / MAX_OUTPUT_TIME_FACTOR,
            known_ms * MAX_OUTPUT_TIME_FACTOR,
        );
        self.ms_per_output_token += OUTPUT_TIME_EWMA_WEIGHT * (usual_ms - known_ms);
        Some(ratio)
    }

    /// Records the number of output tokens of a request.
    pub fn record_output_tokens(&mut self, tokens: u64) {
        self.mean_output_tokens +=
            MEAN_OUTPUT_EWMA_WEIGHT * (tokens as f64 - self.mean_output_tokens);
    }
}

/// What may tell the number of output tokens of a request before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct OutputKey {
    /// Hash of the route.
    pub route: u64,
    /// Hash of the session.
    pub session: u64,
    /// Number of tokens that the caller expects.
    pub hint_tokens: Option<u64>,
    /// Largest number of tokens that the caller accepts.
    pub max_tokens: u64,
}

/// Number of output tokens by route and session, and the error of each source.
///
/// Averages and errors are logarithms, because lengths differ by factors.
#[derive(Clone, Debug)]
pub struct OutputLengths {
    logs: FastMap<u64, f64>,
    /// Mean errors of hint, session and route.
    errors: [f64; 3],
}

impl Default for OutputLengths {
    fn default() -> Self {
        Self {
            logs: FastMap::default(),
            errors: [INITIAL_LOG_ERROR; 3],
        }
    }
}

impl OutputLengths {
    /// Returns the expected number of output tokens: the mean of the sources, weighted by the inverse squares of their
    /// errors.
    pub fn expected_tokens(&self, key: &OutputKey) -> f64 {
        let mut sum = 0.0;
        let mut weights = 0.0;
        for (log, error) in self.sources(key).iter().zip(&self.errors) {
            let Some(log) = log else { continue };
            let weight = 1.0 / (error * error);
            sum += weight * log;
            weights += weight;
        }
        let tokens = if weights > 0.0 {
            (sum / weights).exp()
        } else {
            INITIAL_OUTPUT_TOKENS
        };
        tokens.clamp(1.0, key.max_tokens.max(1) as f64)
    }

    /// Records the number of output tokens of a complete response.
    pub fn record(&mut self, key: &OutputKey, tokens: u64) {
        let actual = (tokens.max(1) as f64).ln();
        let sources = self.sources(key);
        for (error, log) in self.errors.iter_mut().zip(sources) {
            if let Some(log) = log {
                *error += MEAN_OUTPUT_EWMA_WEIGHT * ((log - actual).abs() - *error);
                *error = error.max(MIN_LOG_ERROR);
            }
        }
        if self.logs.len() >= MAX_OUTPUTS {
            self.logs.clear();
        }
        for source in [key.session, key.route] {
            let log = self.logs.entry(source).or_insert(actual);
            *log += OUTPUT_EWMA_WEIGHT * (actual - *log);
        }
    }

    fn sources(&self, key: &OutputKey) -> [Option<f64>; 3] {
        [
            key.hint_tokens.map(|tokens| (tokens.max(1) as f64).ln()),
            self.logs.get(&key.session).copied(),
            self.logs.get(&key.route).copied(),
        ]
    }
}
