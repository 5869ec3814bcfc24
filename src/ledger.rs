//! Prepaid budgets, as every process folds them from the log.
//!
//! A grant is the spending right of one incarnation on one customer's budget. The sum of all grants never exceeds the
//! prepaid total, and an incarnation spends only from grants, so that no partition can cause overspend. See
//! `docs/design.md`, section 3.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use crate::record::Draw;

mod snapshot;

pub use snapshot::LedgerSnapshot;

/// Number of bills whose request keys are remembered for deduplication.
///
/// A count is used in place of a time, because all folds must forget the same keys at the same offset.
pub const RETAINED_BILLS: usize = 1_000_000;

/// Effect of a bill on the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BillEffect {
    /// The bill counts.
    Counted,
    /// The bill counts, less the draws on grants that were finalised.
    PartlyLate,
    /// The request was billed before; the writer takes its draws back.
    Duplicate,
    /// The key was billed with another fingerprint; nothing is charged and the writer takes its draws back.
    KeyReused,
    /// All grants that the bill draws on were finalised; nothing is charged and the key stays free.
    Late,
    /// The draws on a grant exceed what was granted; nothing is charged.
    Excessive,
}

/// A customer's budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// Cumulative prepaid total.
    pub prepaid_total_tokens: u64,
    /// Grants of all incarnations, ordered so that folds and snapshots agree.
    pub grants: BTreeMap<IncarnationId, GrantState>,
    /// Billed tokens of grants that were finalised and removed.
    pub settled_tokens: u64,
}

/// One incarnation's grant on one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantState {
    /// Cumulative rights granted, less those returned.
    pub granted_tokens: u64,
    /// Tokens billed on this grant.
    pub billed_tokens: u64,
    /// Cumulative level that the incarnation asked for and got, before returns.
    pub level_tokens: u64,
    /// Highest cumulative level that the incarnation asked for; tells it which of its requests were folded.
    pub asked_tokens: u64,
}

impl BillEffect {
    /// Returns whether the request key is on the ledger after the bill.
    pub fn is_key_billed(self) -> bool {
        match self {
            Self::Counted | Self::PartlyLate | Self::Duplicate | Self::KeyReused => true,
            Self::Late | Self::Excessive => false,
        }
    }
}

impl Budget {
    /// Returns the rights that no incarnation holds.
    pub fn unallocated_tokens(&self) -> u64 {
        let granted: u64 = self.grants.values().map(|grant| grant.granted_tokens).sum();
        self.prepaid_total_tokens
            .saturating_sub(self.settled_tokens)
            .saturating_sub(granted)
    }

    /// Returns the tokens that are not billed, whether or not an incarnation holds them.
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
                    self.uncharge(&draws[..index]);
                    return None;
                }
            }
        }
        Some(charged)
    }

    /// Takes back draws that [`Self::charge`] has just charged.
    fn uncharge(&mut self, draws: &[Draw]) {
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
            ledger.remember(key, fingerprint);
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

    /// Sets the prepaid total of a customer; the caller has checked that it does not fall.
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

    /// Raises a grant towards the cumulative level, as far as the prepaid total allows.
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

    /// Lowers a grant by rights that the writer held exclusively.
    ///
    /// An amount above the unbilled rights cannot be true, so the whole return is ignored: a partial one would free
    /// rights that some holder may still spend.
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
    /// Draws on finalised grants are dropped. A bill of which nothing is left does not take the key, so that a later
    /// attempt that draws on live grants is charged.
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
        self.remember(key, fingerprint);
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

    /// Ends all grants of an incarnation; what was not billed returns to the budgets.
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

    fn remember(&mut self, key: RequestKey, fingerprint: Fingerprint) {
        self.billed.insert(key, fingerprint);
        self.billed_order.push_back(key);
        if self.billed_order.len() > RETAINED_BILLS {
            if let Some(oldest) = self.billed_order.pop_front() {
                self.billed.remove(&oldest);
            }
        }
    }
}
