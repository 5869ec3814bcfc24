//! Claims on calls that may run at most once, folded from the log.
//!
//! A router writes an intent to claim a call; the first intent for a request key in log order wins. The router
//! dispatches the call only after it has folded its own winning intent. A claim passes to another router only if its
//! holder has abandoned it, which states that the holder has not dispatched the call and never will. See
//! `docs/design.md`, section 3.

mod calls;

use std::collections::BTreeMap;

use crate::collections::FastMap;
use crate::ids::{Fingerprint, IncarnationId, RequestKey};

pub use calls::{Answer, AttemptStart, Calls, NextAction};

/// Number of claims that are retained.
///
/// The oldest claims beyond it are evicted once they have an outcome or their holder is finalised. The bound is a count
/// and not a duration, because all processes must evict the same claims at the same offset.
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

/// Effect of a log entry on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimEffect {
    /// The writer's intent won the claim.
    Won,
    /// The writer's intent lost to an earlier claim, or its incarnation is no longer open.
    Lost,
    /// The writer's outcome completed its claim.
    Completed,
    /// The writer's claim was released, or the writer held none.
    Abandoned,
    /// The entry had no effect.
    Ignored,
}

/// All claims in force, by request key and in the order of their age.
#[derive(Clone, Debug, Default)]
pub struct Intents {
    claims: FastMap<RequestKey, RetainedClaim>,
    order: BTreeMap<u64, RequestKey>,
    next_serial: u64,
}

#[derive(Clone, Copy, Debug)]
struct RetainedClaim {
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

    /// Claims a call, unless there is a claim on its key.
    ///
    /// `is_member` returns whether an incarnation is not yet finalised. Open claims of such an incarnation are never
    /// evicted.
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
        // Two evictions per insertion, so that the number falls back to the bound after open claims were skipped.
        for _ in 0..2 {
            if self.order.len() > RETAINED_CLAIMS {
                self.evict_oldest(&is_member);
            }
        }
        ClaimEffect::Won
    }

    /// Records that the holder's call ran.
    ///
    /// A status that does not fit 16 bits is ignored; the claim stays open, so the call is not repeated.
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
        self.claims.insert(key, RetainedClaim { claim, serial });
    }

    /// Evicts the oldest claim, or makes it the newest if its holder may still dispatch the call.
    fn evict_oldest(&mut self, is_member: impl Fn(IncarnationId) -> bool) {
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
