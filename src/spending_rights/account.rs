//! The rights of one process on one customer's budget.

use std::collections::BTreeMap;

use crate::ids::IncarnationId;
use crate::message::TransferRequest;
use crate::record::Draw;

/// Time constant of the moving average of the spending rate.
///
/// It is long compared with single requests and short compared with the daily pattern of a customer's traffic.
const RATE_AVERAGE_MS: f64 = 600_000.0;

/// Time without spending after which all rights on a budget are returned.
const IDLE_TIMEOUT_MS: u64 = 3_600_000;

/// Time of spending at the present rate that the target of a home covers; a log outage of one hour at a doubled rate.
const HOME_TARGET_MS: u64 = 7_200_000;

/// Time of spending at the present rate that the target of any other process covers; the home refills its rights.
const NON_HOME_TARGET_MS: u64 = 240_000;

/// Divisor of the window that gives the smallest target of a home for a budget in use.
///
/// The spending rate of a new customer is not known yet, so the rate alone would give a target of zero.
const HOME_FLOOR_DIVISOR: u64 = 4;

/// Divisor of the window that gives the smallest target of any other process.
const NON_HOME_FLOOR_DIVISOR: u64 = 64;

/// A transfer request that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) message: TransferRequest,
    pub(super) first_ms: u64,
    pub(super) last_ms: u64,
}

/// The rights of one process on one customer's budget.
#[derive(Clone, Debug)]
pub(super) struct Account {
    /// Cumulative level of the own grant up to which rights were credited.
    pub(super) level_tokens: u64,
    /// Cumulative level that was requested from the log.
    pub(super) asked_tokens: u64,
    /// Rights that are not reserved, by grant.
    pub(super) free: BTreeMap<IncarnationId, u64>,
    /// Rights that are reserved.
    pub(super) reserved_tokens: u64,
    /// Largest amount that could not be reserved or transferred since the last request for rights.
    pub(super) unmet_tokens: u64,
    /// Tokens charged or transferred to peers since the rate was updated.
    pub(super) spent_tokens: u64,
    /// Whether this process is the budget's home in its data centre.
    pub(super) is_home: bool,
    /// Transfer request that is not answered yet.
    pub(super) request: Option<PendingRequest>,
    /// Time since which more rights are held than needed.
    pub(super) excess_since_ms: Option<u64>,
    rate_tokens_per_ms: f64,
    rate_updated_ms: u64,
    last_used_ms: u64,
}

impl Account {
    pub(super) fn new(is_home: bool) -> Self {
        Self {
            level_tokens: 0,
            asked_tokens: 0,
            free: BTreeMap::new(),
            reserved_tokens: 0,
            unmet_tokens: 0,
            spent_tokens: 0,
            is_home,
            request: None,
            excess_since_ms: None,
            rate_tokens_per_ms: 0.0,
            rate_updated_ms: 0,
            last_used_ms: 0,
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

    /// Takes free rights out of the account; returns `None` and takes nothing if there are fewer.
    ///
    /// A grant that covers the whole amount is preferred, because each draw lengthens the bill. Next, grants of other
    /// incarnations precede the own one, because rights on them end when the other incarnation is finalised.
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

    pub(super) fn credit(&mut self, draws: &[Draw]) {
        for draw in draws {
            if draw.amount_tokens > 0 {
                let free = self.free.entry(IncarnationId(draw.grant)).or_insert(0);
                *free = free.saturating_add(draw.amount_tokens);
            }
        }
    }

    /// Updates the moving average of the spending rate.
    pub(super) fn update_rate(&mut self, now_ms: u64) {
        if self.rate_updated_ms == 0 {
            self.rate_updated_ms = now_ms;
            self.last_used_ms = now_ms;
        }
        let elapsed_ms = now_ms.saturating_sub(self.rate_updated_ms) as f64;
        if self.spent_tokens > 0 || self.reserved_tokens > 0 || self.unmet_tokens > 0 {
            self.last_used_ms = now_ms;
        }
        self.rate_tokens_per_ms = self.rate_tokens_per_ms * (-elapsed_ms / RATE_AVERAGE_MS).exp()
            + self.spent_tokens as f64 / RATE_AVERAGE_MS;
        self.spent_tokens = 0;
        self.rate_updated_ms = now_ms.max(self.rate_updated_ms);
    }

    /// Returns the unspent rights that this process aims to hold: what it will spend in the next
    /// [`HOME_TARGET_MS`] or [`NON_HOME_TARGET_MS`], at most the window.
    pub(super) fn target_tokens(&self, window_tokens: u64, now_ms: u64) -> u64 {
        if now_ms.saturating_sub(self.last_used_ms) >= IDLE_TIMEOUT_MS {
            return 0;
        }
        let (target_ms, floor_divisor) = if self.is_home {
            (HOME_TARGET_MS, HOME_FLOOR_DIVISOR)
        } else {
            (NON_HOME_TARGET_MS, NON_HOME_FLOOR_DIVISOR)
        };
        let demand_tokens = (self.rate_tokens_per_ms * target_ms as f64) as u64;
        demand_tokens.clamp(window_tokens / floor_divisor, window_tokens)
    }
}
