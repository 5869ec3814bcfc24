//! Claims on calls that may run at most once, as every process folds them from the log.
//!
//! A router dispatches such a call only after it has seen its own claim win in log order. The claim is never reassigned
//! unless its holder states that it has not dispatched the call and never will. See `docs/design.md`, section 3.

mod calls;

use std::collections::BTreeMap;

use crate::collections::FastMap;
use crate::ids::{Fingerprint, IncarnationId, RequestKey};

pub use calls::{Answer, AttemptStart, Calls, NextAction};

/// Number of claims that are remembered.
///
/// The oldest claims beyond it are forgotten once they have an outcome or their holder is finalised. A count is used in
/// place of a time, because all folds must forget the same claims at the same offset.
pub const RETAINED_CLAIMS: usize = 1_000_000;

mod snapshot;

pub use snapshot::IntentsSnapshot;

/// State of one claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Claim {
    /// The holder may dispatch the call, or has done so.
    Open {
        /// Incarnation that holds the claim.
        holder: IncarnationId,
        /// Fingerprint of the call.
        fingerprint: Fingerprint,
    },
    /// The call ran.
    Ran {
        /// Fingerprint of the call.
        fingerprint: Fingerprint,
        /// HTTP status with which the upstream answered.
        status: u16,
    },
}

impl Claim {
    /// Returns the fingerprint of the claimed call.
    pub fn fingerprint(self) -> Fingerprint {
        match self {
            Self::Open { fingerprint, .. } | Self::Ran { fingerprint, .. } => fingerprint,
        }
    }
}

/// What an entry did to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEffect {
    /// The writer's intent won the claim.
    Won,
    /// The writer's intent lost to an earlier claim, or its incarnation is no longer open.
    Lost,
    /// The writer's outcome closed its claim.
    Completed,
    /// The writer's claim was released, or it held none.
    Abandoned,
    /// The entry had no effect.
    Ignored,
}

/// All claims in force.
#[derive(Clone, Debug, Default)]
pub struct Intents {
    claims: FastMap<RequestKey, Retained>,
    order: BTreeMap<u64, RequestKey>,
    next_serial: u64,
}

#[derive(Clone, Copy, Debug)]
struct Retained {
    claim: Claim,
    serial: u64,
}

impl Intents {
    /// Restores the claims from [`Self::claims_in_order`].
    pub fn from_parts(claims: impl IntoIterator<Item = (RequestKey, Claim)>) -> Self {
        let mut intents = Self::default();
        for (key, claim) in claims {
            intents.insert(key, claim);
        }
        intents
    }

    /// Returns all claims, the oldest first.
    pub fn claims_in_order(&self) -> impl Iterator<Item = (RequestKey, Claim)> + '_ {
        self.order
            .values()
            .filter_map(|key| self.get(*key).map(|claim| (*key, claim)))
    }

    /// Claims a call; the first claim on a key wins and stays.
    ///
    /// `is_member` tells whether an incarnation is not yet finalised. Its open claims are never forgotten.
    pub fn claim(
        &mut self,
        key: RequestKey,
        holder: IncarnationId,
        fingerprint: Fingerprint,
        is_member: impl Fn(IncarnationId) -> bool,
    ) -> ClaimEffect {
        if self.claims.contains_key(&key) {
            return ClaimEffect::Lost;
        }
        self.insert(
            key,
            Claim::Open {
                holder,
                fingerprint,
            },
        );
        // Two steps at a time, so that the number falls again after claims that may not be forgotten were passed over.
        for _ in 0..2 {
            if self.order.len() > RETAINED_CLAIMS {
                self.forget_oldest(&is_member);
            }
        }
        ClaimEffect::Won
    }

    /// Records that the holder's call ran.
    ///
    /// A status that is not an HTTP status leaves the claim open, which is true in any case.
    pub fn complete(&mut self, key: RequestKey, writer: IncarnationId, status: u32) -> ClaimEffect {
        let Ok(status) = u16::try_from(status) else {
            return ClaimEffect::Ignored;
        };
        match self.claims.get_mut(&key) {
            Some(retained) if retained.claim.is_held_by(writer) => {
                retained.claim = Claim::Ran {
                    fingerprint: retained.claim.fingerprint(),
                    status,
                };
                ClaimEffect::Completed
            }
            _ => ClaimEffect::Ignored,
        }
    }

    /// Removes the holder's claim; the holder has not dispatched the call and never will.
    pub fn abandon(&mut self, key: RequestKey, writer: IncarnationId) -> ClaimEffect {
        if let Some(retained) = self.claims.get(&key) {
            if retained.claim.is_held_by(writer) {
                self.order.remove(&retained.serial);
                self.claims.remove(&key);
            }
        }
        ClaimEffect::Abandoned
    }

    /// Returns the claim on a key.
    pub fn get(&self, key: RequestKey) -> Option<Claim> {
        self.claims.get(&key).map(|retained| retained.claim)
    }

    fn insert(&mut self, key: RequestKey, claim: Claim) {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.order.insert(serial, key);
        self.claims.insert(key, Retained { claim, serial });
    }

    /// Forgets the oldest claim, or makes it the newest if its holder may still dispatch the call.
    fn forget_oldest(&mut self, is_member: impl Fn(IncarnationId) -> bool) {
        let Some((_, key)) = self.order.pop_first() else {
            return;
        };
        match self.claims.remove(&key).map(|retained| retained.claim) {
            Some(claim @ Claim::Open { holder, .. }) if is_member(holder) => {
                self.insert(key, claim);
            }
            _ => {}
        }
    }
}

impl Claim {
    fn is_held_by(self, writer: IncarnationId) -> bool {
        matches!(self, Self::Open { holder, .. } if holder == writer)
    }
}
