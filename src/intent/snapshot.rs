//! Serialised form of the claims.

use prost::Message;

use super::{Claim, Intents};
use crate::ids::{Fingerprint, IncarnationId, RequestKey};

/// Claims in the order of their age.
#[derive(Clone, PartialEq, Message)]
pub struct IntentsSnapshot {
    #[prost(message, repeated, tag = "1")]
    claims: Vec<ClaimSnapshot>,
}

#[derive(Clone, PartialEq, Message)]
struct ClaimSnapshot {
    #[prost(bytes = "vec", tag = "1")]
    key: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    fingerprint: u64,
    /// Holder of an open claim.
    #[prost(fixed64, optional, tag = "3")]
    holder: Option<u64>,
    /// Status of a call that ran.
    #[prost(uint32, tag = "4")]
    status: u32,
}

impl Intents {
    /// Returns up to `limit` serialised claims starting at a serial, the oldest first, and the serial to continue with.
    pub(crate) fn snapshot_claims(
        &self,
        from: u64,
        limit: usize,
    ) -> (IntentsSnapshot, Option<u64>) {
        let mut claims = Vec::new();
        for (serial, key) in self.order.range(from..) {
            if claims.len() == limit {
                return (IntentsSnapshot { claims }, Some(*serial));
            }
            claims.extend(self.get(*key).map(|claim| encode_claim(*key, claim)));
        }
        (IntentsSnapshot { claims }, None)
    }

    /// Restores the claims; returns `None` if a key is not 16 bytes long.
    pub(crate) fn from_snapshot(snapshot: &IntentsSnapshot) -> Option<Self> {
        let mut intents = Self::default();
        for claim in &snapshot.claims {
            let key = u128::from_be_bytes(claim.key.as_slice().try_into().ok()?);
            let fingerprint = Fingerprint(claim.fingerprint);
            let restored = match claim.holder {
                Some(holder) => Claim::Open {
                    holder: IncarnationId(holder),
                    fingerprint,
                },
                None => Claim::Ran {
                    fingerprint,
                    status: claim.status as u16,
                },
            };
            intents.insert(RequestKey(key), restored);
        }
        Some(intents)
    }
}

fn encode_claim(key: RequestKey, claim: Claim) -> ClaimSnapshot {
    let (fingerprint, holder, status) = match claim {
        Claim::Open {
            holder,
            fingerprint,
        } => (fingerprint, Some(holder.0), 0),
        Claim::Ran {
            fingerprint,
            status,
        } => (fingerprint, None, status),
    };
    ClaimSnapshot {
        key: key.0.to_be_bytes().to_vec(),
        fingerprint: fingerprint.0,
        holder,
        status: status.into(),
    }
}
