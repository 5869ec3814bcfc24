//! Serialised form of the ledger.

use std::ops::Range;

use prost::Message;

use super::{Budget, GrantState, Ledger};
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};

/// Size of one encoded billed key with its fingerprint, in bytes.
const BILLED_ENTRY_BYTES: usize = 24;

/// All budgets and billed keys.
#[derive(Clone, PartialEq, Message)]
pub struct LedgerSnapshot {
    #[prost(message, repeated, tag = "1")]
    budgets: Vec<BudgetSnapshot>,
    /// Keys and fingerprints as big-endian integers, the oldest first; packed, because there are up to a million.
    #[prost(bytes = "vec", repeated, tag = "2")]
    billed: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
struct BudgetSnapshot {
    #[prost(uint32, tag = "1")]
    customer: u32,
    #[prost(uint64, tag = "2")]
    prepaid_total_tokens: u64,
    #[prost(uint64, tag = "3")]
    settled_tokens: u64,
    #[prost(message, repeated, tag = "4")]
    grants: Vec<GrantSnapshot>,
}

#[derive(Clone, PartialEq, Message)]
struct GrantSnapshot {
    #[prost(fixed64, tag = "1")]
    incarnation: u64,
    #[prost(uint64, tag = "2")]
    granted_tokens: u64,
    #[prost(uint64, tag = "3")]
    billed_tokens: u64,
    #[prost(uint64, tag = "4")]
    level_tokens: u64,
    #[prost(uint64, tag = "5")]
    asked_tokens: u64,
}

impl Ledger {
    /// Returns the serialised budgets of a range of customers, in the order of their keys.
    pub(crate) fn snapshot_budgets(&self, customers: Range<u32>) -> LedgerSnapshot {
        let budgets = customers.map(CustomerKey).filter_map(|customer| {
            let budget = self.budgets.get(&customer)?;
            Some(encode_budget(customer, budget))
        });
        LedgerSnapshot {
            budgets: budgets.collect(),
            billed: Vec::new(),
        }
    }

    /// Returns a range of the serialised billed keys, the oldest first.
    pub(crate) fn snapshot_billed(&self, range: Range<usize>) -> LedgerSnapshot {
        // The destructuring is exhaustive, so that a new field does not compile until it is encoded.
        let Self {
            budgets: _,
            billed,
            billed_order,
        } = self;
        let mut bytes = Vec::with_capacity(range.len() * BILLED_ENTRY_BYTES);
        for key in billed_order.range(range) {
            let fingerprint = billed.get(key).copied().unwrap_or(Fingerprint(0));
            bytes.extend_from_slice(&key.0.to_be_bytes());
            bytes.extend_from_slice(&fingerprint.0.to_be_bytes());
        }
        LedgerSnapshot {
            budgets: Vec::new(),
            billed: vec![bytes],
        }
    }

    /// Returns the number of billed keys.
    pub(crate) fn billed_count(&self) -> usize {
        self.billed_order.len()
    }

    /// Restores a ledger; returns `None` if the last billed key of a part is truncated.
    pub(crate) fn from_snapshot(snapshot: &LedgerSnapshot) -> Option<Self> {
        let mut ledger = Self::default();
        for budget in &snapshot.budgets {
            ledger
                .budgets
                .insert(CustomerKey(budget.customer), decode_budget(budget));
        }
        let billed_bytes: usize = snapshot.billed.iter().map(Vec::len).sum();
        ledger.billed.reserve(billed_bytes / BILLED_ENTRY_BYTES);
        for part in &snapshot.billed {
            let entries = part.chunks_exact(BILLED_ENTRY_BYTES);
            if !entries.remainder().is_empty() {
                return None;
            }
            for entry in entries {
                let (key, fingerprint) = entry.split_at(16);
                let key = RequestKey(u128::from_be_bytes(key.try_into().ok()?));
                let fingerprint = Fingerprint(u64::from_be_bytes(fingerprint.try_into().ok()?));
                ledger.billed.insert(key, fingerprint);
                ledger.billed_order.push_back(key);
            }
        }
        Some(ledger)
    }
}

fn encode_budget(customer: CustomerKey, budget: &Budget) -> BudgetSnapshot {
    let Budget {
        prepaid_total_tokens,
        grants,
        settled_tokens,
    } = budget;
    BudgetSnapshot {
        customer: customer.0,
        prepaid_total_tokens: *prepaid_total_tokens,
        settled_tokens: *settled_tokens,
        grants: grants
            .iter()
            .map(|(incarnation, grant)| encode_grant(*incarnation, grant))
            .collect(),
    }
}

fn encode_grant(incarnation: IncarnationId, grant: &GrantState) -> GrantSnapshot {
    let GrantState {
        granted_tokens,
        billed_tokens,
        level_tokens,
        asked_tokens,
    } = *grant;
    GrantSnapshot {
        incarnation: incarnation.0,
        granted_tokens,
        billed_tokens,
        level_tokens,
        asked_tokens,
    }
}

fn decode_budget(budget: &BudgetSnapshot) -> Budget {
    Budget {
        prepaid_total_tokens: budget.prepaid_total_tokens,
        settled_tokens: budget.settled_tokens,
        grants: budget
            .grants
            .iter()
            .map(|grant| {
                let state = GrantState {
                    granted_tokens: grant.granted_tokens,
                    billed_tokens: grant.billed_tokens,
                    level_tokens: grant.level_tokens,
                    asked_tokens: grant.asked_tokens,
                };
                (IncarnationId(grant.incarnation), state)
            })
            .collect(),
    }
}
