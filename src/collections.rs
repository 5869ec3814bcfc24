//! Hash collections with a fast hasher.
//!
//! Keys are small integers, or short names that the system assigns or validates, so the hasher needs no protection
//! against chosen keys. No decision may depend on the iteration order: code whose results must be equal in all
//! processes uses `BTreeMap` or sorts first.

/// A hash map with a hasher that is fast and not resistant to chosen keys.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a hasher that is fast and not resistant to chosen keys.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
