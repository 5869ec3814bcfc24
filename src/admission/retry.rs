//! Budget that keeps retries a share of fresh requests.

/// Thousandths of a retry that each fresh request earns: one retry for ten fresh requests.
const EARNED_MILLIS: u64 = 100;

/// Cost of a retry in thousandths.
const RETRY_MILLIS: u64 = 1_000;

/// Largest balance, which bounds a burst of retries after a calm period.
const BALANCE_CAP_MILLIS: u64 = 10_000;

/// Budget for the retries that a router makes on its own.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_millis: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_millis: BALANCE_CAP_MILLIS,
        }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn record_request(&mut self) {
        self.balance_millis = (self.balance_millis + EARNED_MILLIS).min(BALANCE_CAP_MILLIS);
    }

    /// Takes a retry from the budget; returns whether it may be sent.
    pub fn try_retry(&mut self) -> bool {
        let is_covered = self.balance_millis >= RETRY_MILLIS;
        if is_covered {
            self.balance_millis -= RETRY_MILLIS;
        }
        is_covered
    }
}
