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
    /// The request was billed before; the writer takes its draws back.
    Duplicate,
    /// A grant that the bill draws on was finalised; nothing is charged.
    Late,
    /// A draw exceeds what was granted; nothing is charged.
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
}

impl Budget {
    /// Returns the rights that no incarnation holds.
    pub fn unallocated_tokens(&self) -> u64 {
        let granted: u64 = self.grants.values().map(|grant| grant.granted_tokens).sum();
        self.prepaid_total_tokens
            .saturating_sub(self.settled_tokens)
            .saturating_sub(granted)
    }

    /// Returns all tokens billed so far.
    pub fn billed_tokens(&self) -> u64 {
        let billed: u64 = self.grants.values().map(|grant| grant.billed_tokens).sum();
        self.settled_tokens + billed
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
        grant.level_tokens += added_tokens;
        grant.granted_tokens += added_tokens;
    }

    /// Lowers a grant by rights that the writer held exclusively.
    pub fn give_back(&mut self, customer: CustomerKey, grant: IncarnationId, amount_tokens: u64) {
        let Some(state) = self.grant_mut(customer, grant) else {
            return;
        };
        let unbilled_tokens = state.granted_tokens - state.billed_tokens;
        state.granted_tokens -= amount_tokens.min(unbilled_tokens);
    }

    /// Charges a request once.
    pub fn bill(
        &mut self,
        customer: CustomerKey,
        key: RequestKey,
        fingerprint: Fingerprint,
        draws: &[Draw],
    ) -> BillEffect {
        if self.billed.contains_key(&key) {
            return BillEffect::Duplicate;
        }
        for draw in draws {
            match self.grant_mut(customer, IncarnationId(draw.grant)) {
                None => return BillEffect::Late,
                Some(state) if state.billed_tokens + draw.amount_tokens > state.granted_tokens => {
                    return BillEffect::Excessive;
                }
                Some(_) => {}
            }
        }
        for draw in draws {
            if let Some(state) = self.grant_mut(customer, IncarnationId(draw.grant)) {
                state.billed_tokens += draw.amount_tokens;
            }
        }
        self.remember(key, fingerprint);
        BillEffect::Counted
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
