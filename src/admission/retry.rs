//! Retry budget: limits retries to a fraction of the original requests.

/// Thousandths of a retry that each original request adds: one retry per ten requests.
const MILLIS_PER_REQUEST: u64 = 100;

/// Cost of one retry, in thousandths.
const MILLIS_PER_RETRY: u64 = 1_000;

/// Maximum balance, which bounds a burst of retries after a period without failures.
const MAX_BALANCE_MILLIS: u64 = 10_000;

/// Token bucket for the retries that a router makes on its own.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Balance in thousandths of a retry.
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
    /// Records an original request, which adds to the balance.
    pub fn record_request(&mut self) {
        self.balance_millis = (self.balance_millis + MILLIS_PER_REQUEST).min(MAX_BALANCE_MILLIS);
    }

    /// Returns whether the balance covers a retry.
    pub fn covers_retry(&self) -> bool {
        self.balance_millis >= MILLIS_PER_RETRY
    }

    /// Withdraws one retry from the balance; returns whether the retry may be sent.
    pub fn try_retry(&mut self) -> bool {
        let is_covered = self.covers_retry();
        if is_covered {
            self.balance_millis -= MILLIS_PER_RETRY;
        }
        is_covered
    }
}
