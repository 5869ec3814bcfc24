//! Prepaid budgets of the customers and the grants on them, folded from the log.
//!
//! A grant is the spending right of one incarnation on one customer's budget. The sum of all grants never exceeds the
//! prepaid total, and an incarnation spends only from grants, so a network partition cannot cause overspending. See
//! `docs/design.md`, section 3.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use crate::record::Draw;

mod snapshot;

pub use snapshot::LedgerSnapshot;

/// Number of bills whose request keys are retained for deduplication.
///
/// The bound is a count and not a duration, because all processes must drop the same keys at the same offset.
pub const RETAINED_BILLS: usize = 1_000_000;

/// Effect of a bill on the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillEffect {
    /// All draws were charged.
    Counted,
    /// The draws on live grants were charged; those on finalised grants were dropped.
    PartlyLate,
    /// The request was billed before; nothing is charged and the origin of the bill refunds its draws.
    Duplicate,
    /// The key was billed with another fingerprint; nothing is charged and the origin of the bill refunds its draws.
    KeyReused,
    /// All grants that the bill draws on were finalised; nothing is charged and the key may be billed later.
    Late,
    /// The draws on a grant exceed its unbilled rights; nothing is charged.
    Excessive,
}

/// A customer's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// Cumulative prepaid total.
    pub prepaid_total_tokens: u64,
    /// Grants of all incarnations; ordered, so that equal states have equal snapshots.
    pub grants: BTreeMap<IncarnationId, GrantState>,
    /// Billed tokens of grants that were finalised and removed.
    pub settled_tokens: u64,
}

/// One incarnation's grant on one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantState {
    /// Cumulative rights granted, minus those returned.
    pub granted_tokens: u64,
    /// Tokens billed on this grant.
    pub billed_tokens: u64,
    /// Cumulative level that the incarnation requested and was granted, before returns.
    pub level_tokens: u64,
    /// Highest cumulative level that the incarnation requested; shows it which of its requests were folded.
    pub asked_tokens: u64,
}

impl BillEffect {
    /// Returns whether the request key is recorded as billed after the bill was folded.
    pub fn is_key_billed(self) -> bool {
        match self {
            Self::Counted | Self::PartlyLate | Self::Duplicate | Self::KeyReused => true,
            Self::Late | Self::Excessive => false,
        }
    }
}

impl Budget {
    /// Returns the rights that are not granted to any incarnation.
    pub fn unallocated_tokens(&self) -> u64 {
        let granted: u64 = self.grants.values().map(|grant| grant.granted_tokens).sum();
        self.prepaid_total_tokens
            .saturating_sub(self.settled_tokens)
            .saturating_sub(granted)
    }

    /// Returns the tokens that are not billed, whether granted or not.
    pub fn unbilled_tokens(&self) -> u64 {
        self.prepaid_total_tokens
            .saturating_sub(self.billed_tokens())
    }

    /// Returns all tokens billed so far.
    pub fn billed_tokens(&self) -> u64 {
        let billed: u64 = self.grants.values().map(|grant| grant.billed_tokens).sum();
        self.settled_tokens + billed
    }
}

impl Budget {
    /// Charges all draws on live grants and returns their number, or charges nothing if one exceeds its grant.
    fn charge(&mut self, draws: &[Draw]) -> Option<usize> {
        let mut charged = 0;
        for (index, draw) in draws.iter().enumerate() {
            let Some(grant) = self.grants.get_mut(&IncarnationId(draw.grant)) else {
                continue;
            };
            match grant.billed_tokens.checked_add(draw.amount_tokens) {
                Some(billed_tokens) if billed_tokens <= grant.granted_tokens => {
                    grant.billed_tokens = billed_tokens;
                    charged += 1;
                }
                _ => {
                    self.revert_charge(&draws[..index]);
                    return None;
                }
            }
        }
        Some(charged)
    }

    /// Reverts draws that [`Self::charge`] has just charged.
    fn revert_charge(&mut self, draws: &[Draw]) {
        for draw in draws {
            if let Some(grant) = self.grants.get_mut(&IncarnationId(draw.grant)) {
                grant.billed_tokens -= draw.amount_tokens;
            }
        }
    }
}

/// All budgets and the request keys that were billed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    budgets: FastMap<CustomerKey, Budget>,
    billed: FastMap<RequestKey, Fingerprint>,
    billed_order: VecDeque<RequestKey>,
}

impl Ledger {
    /// Restores a ledger from its budgets and the billed keys, the oldest first.
    pub fn from_parts(
        budgets: impl IntoIterator<Item = (CustomerKey, Budget)>,
        billed: impl IntoIterator<Item = (RequestKey, Fingerprint)>,
    ) -> Self {
        let mut ledger = Self {
            budgets: budgets.into_iter().collect(),
            ..Self::default()
        };
        for (key, fingerprint) in billed {
            ledger.record_billed(key, fingerprint);
        }
        ledger
    }

    /// Returns all budgets, in no particular order.
    pub fn budgets(&self) -> impl Iterator<Item = (CustomerKey, &Budget)> {
        self.budgets.iter().map(|(&key, budget)| (key, budget))
    }

    /// Returns the billed keys with their fingerprints, the oldest first.
    pub fn billed_in_order(&self) -> impl Iterator<Item = (RequestKey, Fingerprint)> + '_ {
        self.billed_order
            .iter()
            .filter_map(|key| self.billed.get(key).map(|&fingerprint| (*key, fingerprint)))
    }

    /// Sets the prepaid total of a customer; the caller has checked that it does not decrease.
    pub fn set_prepaid(&mut self, customer: CustomerKey, total_tokens: u64) {
        self.budgets
            .entry(customer)
            .or_default()
            .prepaid_total_tokens = total_tokens;
    }

    /// Returns a customer's budget.
    pub fn budget(&self, customer: CustomerKey) -> Option<&Budget> {
        self.budgets.get(&customer)
    }

    /// Raises a grant to the cumulative level `up_to_tokens`, as far as the unallocated rights allow.
    pub fn grant(&mut self, customer: CustomerKey, incarnation: IncarnationId, up_to_tokens: u64) {
        let Some(budget) = self.budgets.get_mut(&customer) else {
            return;
        };
        let free_tokens = budget.unallocated_tokens();
        let grant = budget.grants.entry(incarnation).or_default();
        let added_tokens = up_to_tokens
            .saturating_sub(grant.level_tokens)
            .min(free_tokens);
        grant.asked_tokens = grant.asked_tokens.max(up_to_tokens);
        grant.level_tokens += added_tokens;
        grant.granted_tokens += added_tokens;
    }

    /// Lowers a grant by rights that the writer of the return held exclusively.
    ///
    /// An amount above the unbilled rights is invalid, so the whole return is ignored: accepting part of it would free
    /// rights that another process may still spend.
    pub fn return_rights(
        &mut self,
        customer: CustomerKey,
        grant: IncarnationId,
        amount_tokens: u64,
    ) {
        let Some(state) = self.grant_mut(customer, grant) else {
            return;
        };
        if amount_tokens <= state.granted_tokens - state.billed_tokens {
            state.granted_tokens -= amount_tokens;
        }
    }

    /// Charges a request once.
    ///
    /// Draws on finalised grants are dropped. If that leaves no draws, the key is not recorded as billed, so that a
    /// later attempt that draws on live grants is charged.
    pub fn bill(
        &mut self,
        customer: CustomerKey,
        key: RequestKey,
        fingerprint: Fingerprint,
        draws: &[Draw],
    ) -> BillEffect {
        if let Some(&earlier) = self.billed.get(&key) {
            return if earlier == fingerprint {
                BillEffect::Duplicate
            } else {
                BillEffect::KeyReused
            };
        }
        let Some(budget) = self.budgets.get_mut(&customer) else {
            return BillEffect::Late;
        };
        let Some(charged) = budget.charge(draws) else {
            return BillEffect::Excessive;
        };
        if charged == 0 && !draws.is_empty() {
            return BillEffect::Late;
        }
        self.record_billed(key, fingerprint);
        if charged == draws.len() {
            BillEffect::Counted
        } else {
            BillEffect::PartlyLate
        }
    }

    /// Returns the fingerprint of a billed request.
    pub fn billed(&self, key: RequestKey) -> Option<Fingerprint> {
        self.billed.get(&key).copied()
    }

    /// Removes all grants of an incarnation; their unbilled rights return to the budgets.
    pub fn finalize(&mut self, incarnation: IncarnationId) {
        for budget in self.budgets.values_mut() {
            if let Some(grant) = budget.grants.remove(&incarnation) {
                budget.settled_tokens += grant.billed_tokens;
            }
        }
    }

    fn grant_mut(
        &mut self,
        customer: CustomerKey,
        incarnation: IncarnationId,
    ) -> Option<&mut GrantState> {
        self.budgets
            .get_mut(&customer)?
            .grants
            .get_mut(&incarnation)
    }

    fn record_billed(&mut self, key: RequestKey, fingerprint: Fingerprint) {
        self.billed.insert(key, fingerprint);
        self.billed_order.push_back(key);
        if self.billed_order.len() > RETAINED_BILLS {
            if let Some(oldest) = self.billed_order.pop_front() {
                self.billed.remove(&oldest);
            }
        }
    }
}
