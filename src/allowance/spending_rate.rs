//! Rate at which a router spends the tokens of a team.

/// Time constant of the exponential decay.
const TIME_CONSTANT_MS: f64 = 4_000.0;

/// Smallest part of the sum that is scaled up; a single request must not count as a high rate.
const MIN_COVERED: f64 = 0.3;

/// Exponentially decaying rate of tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SpendingRate {
    tokens_per_s: f64,
    updated_ms: u64,
    /// Time of the first tokens, from which on the rate is measured.
    started_ms: Option<u64>,
}

impl SpendingRate {
    /// Adds tokens that are spent now.
    pub(super) fn add(&mut self, tokens: u64, now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
        self.decay(now_ms);
        self.tokens_per_s += tokens as f64 * 1_000.0 / TIME_CONSTANT_MS;
    }

    /// Decays the rate to the present time.
    pub(super) fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.tokens_per_s *= (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.updated_ms = now_ms;
    }

    /// Returns the tokens per second.
    ///
    /// The decaying sum starts at zero, so it is scaled up while it covers less time than its time constant.
    pub(super) fn tokens_per_s(&self) -> f64 {
        let started_ms = self.started_ms.unwrap_or(self.updated_ms);
        let elapsed_ms = self.updated_ms.saturating_sub(started_ms) as f64;
        let covered = 1.0 - (-elapsed_ms / TIME_CONSTANT_MS).exp();
        self.tokens_per_s / covered.max(MIN_COVERED)
    }
}
