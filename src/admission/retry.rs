//! Budget that keeps retries a share of fresh requests.

/// Thousandths of a retry that each fresh request earns: one retry for ten fresh requests.
const MILLIS_PER_REQUEST: u64 = 100;

/// Cost of a retry in thousandths.
const MILLIS_PER_RETRY: u64 = 1_000;

/// Largest balance, which bounds a burst of retries after a calm period.
const MAX_BALANCE_MILLIS: u64 = 10_000;

/// Budget for the retries that a router makes on its own.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_millis: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_millis: MAX_BALANCE_MILLIS,
        }
    }
}

impl RetryBudget {
    /// Notes a fresh request.
    pub fn record_request(&mut self) {
        self.balance_millis = (self.balance_millis + MILLIS_PER_REQUEST).min(MAX_BALANCE_MILLIS);
    }

    /// Takes a retry from the budget; returns whether it may be sent.
    pub fn try_retry(&mut self) -> bool {
        let is_covered = self.balance_millis >= MILLIS_PER_RETRY;
        if is_covered {
            self.balance_millis -= MILLIS_PER_RETRY;
        }
        is_covered
    }
}
