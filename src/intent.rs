//! Claims on calls that may run at most once, as every process folds them from the log.
//!
//! A router dispatches such a call only after it has seen its own claim win in log order. The claim is never reassigned
//! unless its holder states that it has not dispatched the call and never will. See `docs/design.md`, section 3.

use crate::collections::FastMap;
use crate::ids::{Fingerprint, IncarnationId, RequestKey};

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

/// All claims in force.
#[derive(Clone, Debug, Default)]
pub struct Intents {
    claims: FastMap<RequestKey, Claim>,
}

impl Intents {
    /// Claims a call; the first claim on a key wins and stays.
    pub fn claim(&mut self, key: RequestKey, holder: IncarnationId, fingerprint: Fingerprint) {
        self.claims.entry(key).or_insert(Claim::Open {
            holder,
            fingerprint,
        });
    }

    /// Records that the holder's call ran.
    pub fn complete(&mut self, key: RequestKey, writer: IncarnationId, status: u16) {
        if let Some(claim) = self.claims.get_mut(&key) {
            match *claim {
                Claim::Open {
                    holder,
                    fingerprint,
                } if holder == writer => {
                    *claim = Claim::Ran {
                        fingerprint,
                        status,
                    };
                }
                _ => {}
            }
        }
    }

    /// Removes the holder's claim; the holder has not dispatched the call and never will.
    pub fn abandon(&mut self, key: RequestKey, writer: IncarnationId) {
        if matches!(self.claims.get(&key), Some(Claim::Open { holder, .. }) if *holder == writer) {
            self.claims.remove(&key);
        }
    }

    /// Returns the claim on a key.
    pub fn get(&self, key: RequestKey) -> Option<Claim> {
        self.claims.get(&key).copied()
    }
}
