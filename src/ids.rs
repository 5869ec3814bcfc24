//! Identifiers, and the interner that maps names to small `Copy` keys.
//!
//! Names of customers, upstreams, routes and versions are used in every decision, so they are interned once and then
//! compared as integers. A key is only meaningful together with the [`Interner`] that issued it.

use std::fmt;
use std::hash::Hash;
use std::marker::PhantomData;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::collections::FastMap;

macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(pub u32);

        impl ArenaKey for $name {
            fn from_index(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> u32 {
                self.0
            }
        }
    };
}

/// A key that is an index into an arena.
pub trait ArenaKey: Copy + Eq + Hash {
    /// Creates the key of an arena index.
    fn from_index(index: u32) -> Self;

    /// Returns the arena index of this key.
    fn index(self) -> u32;
}

arena_key! {
    /// Key of a customer.
    CustomerKey
}
arena_key! {
    /// Key of an upstream.
    UpstreamKey
}
arena_key! {
    /// Key of a route: a model or a plain service path that customers call.
    RouteKey
}
arena_key! {
    /// Key of a version of a model or service.
    VersionKey
}

/// Position of a record in a stream of the platform's log.
pub type Offset = u64;

/// Identity of one run of a router process, or of one operator command.
///
/// Each run draws a new random value, so that a process that was replaced or closed can never act as its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct IncarnationId(pub u64);

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl From<IncarnationId> for String {
    fn from(id: IncarnationId) -> Self {
        id.to_string()
    }
}

impl TryFrom<String> for IncarnationId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u64::from_str_radix(&text, 16).map(Self)
    }
}

/// Identity of a request: a hash of its customer and idempotency key.
///
/// Every attempt at the same request has the same key, on any router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestKey(pub u128);

impl RequestKey {
    /// Derives the key from the customer's name and the caller's idempotency key.
    ///
    /// Callers choose the idempotency key, so SHA-256 is used to keep them from causing a collision with another
    /// customer.
    pub fn derive(customer: &str, idempotency_key: &str) -> Self {
        Self(sha256_128(&[
            customer.as_bytes(),
            idempotency_key.as_bytes(),
        ]))
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<RequestKey> for String {
    fn from(key: RequestKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for RequestKey {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

/// Hash of a request's URI and body.
///
/// It reveals a key that is reused for another request, and identifies a request that is sent again under another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the URI and the body.
    pub fn of(uri: &str, body: &[u8]) -> Self {
        Self(sha256_128(&[uri.as_bytes(), body]) as u64)
    }
}

/// Returns the first 128 bits of the SHA-256 hash of the parts.
///
/// The lengths are hashed too, so that moving a byte from one part to the next changes the result.
fn sha256_128(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut prefix = [0; 16];
    prefix.copy_from_slice(&digest[..16]);
    u128::from_be_bytes(prefix)
}

/// An arena of names, indexed by keys of type `K`.
///
/// Keys are issued in the order of first use, so two interners that get the same names in the same order issue the same
/// keys. Folding the log relies on this.
#[derive(Clone, Debug)]
pub struct Interner<K> {
    names: Vec<CompactString>,
    keys: FastMap<CompactString, u32>,
    key_type: PhantomData<K>,
}

impl<K> Default for Interner<K> {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            keys: FastMap::default(),
            key_type: PhantomData,
        }
    }
}

impl<K: ArenaKey> Interner<K> {
    /// Returns the key of a name, issuing a new key on first use.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(&index) = self.keys.get(name) {
            return K::from_index(index);
        }
        let index = self.names.len() as u32;
        self.names.push(name.into());
        self.keys.insert(name.into(), index);
        K::from_index(index)
    }

    /// Returns the key of a name, or `None` if the name was never interned.
    pub fn get(&self, name: &str) -> Option<K> {
        self.keys.get(name).map(|&index| K::from_index(index))
    }

    /// Returns the name of a key.
    ///
    /// # Panics
    ///
    /// Panics if the key was issued by another interner and is out of range here.
    pub fn name(&self, key: K) -> &str {
        &self.names[key.index() as usize]
    }

    /// Returns all names in the order of their keys.
    pub fn names(&self) -> &[CompactString] {
        &self.names
    }
}
