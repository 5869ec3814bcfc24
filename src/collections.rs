//! Hash collections with a fast hasher.
//!
//! Keys are small integers or short names that the system itself assigns or checks, so the hasher needs no protection
//! against chosen keys. The iteration order is not part of any decision; code that must agree across processes uses
//! `BTreeMap` or sorts first.

/// A hash map with the project's fast hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the project's fast hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
