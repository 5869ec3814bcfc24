//! The rights of one process on one customer's budget.

use std::collections::BTreeMap;

use crate::ids::IncarnationId;
use crate::message::TransferRequest;
use crate::record::Draw;

/// Time over which the spend rate is averaged.
///
/// It is long against single requests and short against the daily curve of a customer's traffic.
const RATE_AVERAGE_MS: f64 = 600_000.0;

/// Time without spending after which all rights on a budget are returned.
const IDLE_MS: u64 = 3_600_000;

/// Time of spending at the present rate that a stock covers; a log outage of one hour at a doubled rate.
const HOME_STOCK_MS: u64 = 7_200_000;

/// Time of spending at the present rate that a process holds which is refilled by its budget home.
const MEMBER_STOCK_MS: u64 = 240_000;

/// Smallest stock of a budget in use, as a fraction of the window.
///
/// The rate of a customer that has just arrived is not known yet.
const HOME_FLOOR_DIVISOR: u64 = 4;

/// Smallest stock of a process that is refilled by its budget home, as a fraction of the window.
const MEMBER_FLOOR_DIVISOR: u64 = 64;

/// A transfer request without an answer.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) message: TransferRequest,
    pub(super) first_ms: u64,
    pub(super) last_ms: u64,
}

/// The rights of one process on one customer's budget.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// Cumulative level of the own grant whose rights were credited.
    pub(super) level_tokens: u64,
    /// Cumulative level that was asked for.
    pub(super) asked_tokens: u64,
    /// Rights that no reservation holds, by grant.
    pub(super) free: BTreeMap<IncarnationId, u64>,
    /// Rights that reservations hold.
    pub(super) reserved_tokens: u64,
    /// Largest amount that could not be reserved since the last request for rights.
    pub(super) wanted_tokens: u64,
    /// Tokens charged or transferred out since the rate was updated.
    pub(super) spent_tokens: u64,
    /// Whether this process is the budget's home in its data centre.
    pub(super) is_home: bool,
    /// Transfer request without an answer.
    pub(super) request: Option<OpenRequest>,
    /// Time since which more than the stock is held.
    pub(super) excess_since_ms: Option<u64>,
    rate_tokens_per_ms: f64,
    updated_ms: u64,
    used_ms: u64,
}

impl Account {
    pub(super) fn new(is_home: bool) -> Self {
        Self {
            level_tokens: 0,
            asked_tokens: 0,
            free: BTreeMap::new(),
            reserved_tokens: 0,
            wanted_tokens: 0,
            spent_tokens: 0,
            is_home,
            request: None,
            excess_since_ms: None,
            rate_tokens_per_ms: 0.0,
            updated_ms: 0,
            used_ms: 0,
        }
    }

    pub(super) fn free_tokens(&self) -> u64 {
        self.free
            .values()
            .fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }

    pub(super) fn unspent_tokens(&self) -> u64 {
        self.free_tokens().saturating_add(self.reserved_tokens)
    }

    /// Takes rights out of the stock, or nothing if it holds less.
    ///
    /// Rights on other grants go first, because they end when the other incarnation is finalised. A grant that covers
    /// the whole amount is preferred, because each draw lengthens the bill.
    pub(super) fn take(&mut self, own: IncarnationId, amount_tokens: u64) -> Option<Vec<Draw>> {
        if amount_tokens > self.free_tokens() {
            return None;
        }
        let mut order: Vec<IncarnationId> = self.free.keys().copied().collect();
        order.sort_by_key(|&grant| (self.free[&grant] < amount_tokens, grant == own));
        let mut draws = Vec::new();
        let mut missing_tokens = amount_tokens;
        for grant in order {
            if missing_tokens == 0 {
                break;
            }
            let held_tokens = self.free.remove(&grant).unwrap_or(0);
            let taken_tokens = held_tokens.min(missing_tokens);
            missing_tokens -= taken_tokens;
            if held_tokens > taken_tokens {
                self.free.insert(grant, held_tokens - taken_tokens);
            }
            if taken_tokens > 0 {
                draws.push(Draw {
                    grant: grant.0,
                    amount_tokens: taken_tokens,
                });
            }
        }
        Some(draws)
    }

    pub(super) fn put(&mut self, draws: &[Draw]) {
        for draw in draws {
            if draw.amount_tokens > 0 {
                let free = self.free.entry(IncarnationId(draw.grant)).or_insert(0);
                *free = free.saturating_add(draw.amount_tokens);
            }
        }
    }

    /// Updates the spend rate to the present.
    pub(super) fn advance(&mut self, now_ms: u64) {
        if self.updated_ms == 0 {
            self.updated_ms = now_ms;
            self.used_ms = now_ms;
        }
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        if self.spent_tokens > 0 || self.reserved_tokens > 0 || self.wanted_tokens > 0 {
            self.used_ms = now_ms;
        }
        self.rate_tokens_per_ms = self.rate_tokens_per_ms * (-elapsed_ms / RATE_AVERAGE_MS).exp()
            + self.spent_tokens as f64 / RATE_AVERAGE_MS;
        self.spent_tokens = 0;
        self.updated_ms = now_ms.max(self.updated_ms);
    }

    /// Returns the unspent rights that this process aims to hold.
    pub(super) fn stock_tokens(&self, window_tokens: u64, now_ms: u64) -> u64 {
        if now_ms.saturating_sub(self.used_ms) >= IDLE_MS {
            return 0;
        }
        let (stock_ms, divisor) = if self.is_home {
            (HOME_STOCK_MS, HOME_FLOOR_DIVISOR)
        } else {
            (MEMBER_STOCK_MS, MEMBER_FLOOR_DIVISOR)
        };
        let demand_tokens = (self.rate_tokens_per_ms * stock_ms as f64) as u64;
        demand_tokens.clamp(window_tokens / divisor, window_tokens)
    }
}
