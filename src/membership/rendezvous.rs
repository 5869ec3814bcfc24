//! Rendezvous hashing, by which all processes agree on the owner of a key without communication.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::IncarnationId;

/// Returns the members in the order of their rank for a key, the owner first.
///
/// The removal of a member changes the owner only of the keys that it owned.
pub fn rank(key: &[u8], members: impl IntoIterator<Item = IncarnationId>) -> Vec<IncarnationId> {
    let mut ranked: Vec<_> = members
        .into_iter()
        .map(|id| (xxh3_64_with_seed(key, id.0), id))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, id)| id).collect()
}

/// Returns the member that owns a key.
pub fn owner(
    key: &[u8],
    members: impl IntoIterator<Item = IncarnationId>,
) -> Option<IncarnationId> {
    members
        .into_iter()
        .max_by_key(|id| (xxh3_64_with_seed(key, id.0), *id))
}
