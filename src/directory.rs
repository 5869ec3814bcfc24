//! The upstreams that are known, from their own entries in the store.
//!
//! An entry names an upstream only while it is readable and present. Entries can lapse while the store is away although
//! their upstreams live, and such entries return within [`REMOVAL_GRACE_MS`] of the store; removals that are read right
//! after an outage therefore take effect only after that time.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Time in which lapsed entries return after an outage of the store; stated by the platform.
pub const REMOVAL_GRACE_MS: u64 = 2_000;

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Service that it runs.
    pub service: CompactString,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: CompactString,
    /// Version of its software.
    pub version: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    pub is_draining: bool,
    /// Start of the process, by its own clock; another value under the same id is another process.
    pub started_ms: Option<u64>,
}

/// A change of what is known, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new or was started again.
    Added,
    /// The upstream leaves.
    Draining,
    /// The upstream is gone.
    Removed,
    /// Nothing that matters here changed.
    None,
}

/// Upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    entries: FastMap<CompactString, UpstreamEntry>,
    /// Entries that are missing since an outage, with the time at which they are gone.
    lapsed: FastMap<CompactString, u64>,
    grace_until_ms: u64,
}

impl UpstreamDirectory {
    /// Notes that the store is back after an outage.
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + REMOVAL_GRACE_MS;
    }

    /// Replaces everything by a snapshot; upstreams that are missing in it are removed.
    pub fn apply_snapshot(
        &mut self,
        entries: Vec<(CompactString, Option<UpstreamEntry>)>,
        now_ms: u64,
    ) {
        let present: FastMap<_, _> = entries.into_iter().collect();
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !present.contains_key(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(id, now_ms);
        }
        for (id, entry) in present {
            self.apply(id, entry, now_ms);
        }
    }

    /// Applies a record; without a readable entry the upstream is not used.
    pub fn apply(
        &mut self,
        id: CompactString,
        entry: Option<UpstreamEntry>,
        now_ms: u64,
    ) -> UpstreamChange {
        let Some(entry) = entry else {
            return self.remove(id, now_ms);
        };
        self.lapsed.remove(&id);
        let is_draining = entry.is_draining;
        let old = self.entries.insert(id, entry.clone());
        match old {
            None => UpstreamChange::Added,
            Some(old) if old.started_ms != entry.started_ms => UpstreamChange::Added,
            Some(old) if is_draining && !old.is_draining => UpstreamChange::Draining,
            Some(_) => UpstreamChange::None,
        }
    }

    /// Removes the lapsed entries whose time to return is over.
    pub fn expire(&mut self, now_ms: u64) -> Vec<CompactString> {
        let gone: Vec<_> = self
            .lapsed
            .iter()
            .filter(|(_, &until_ms)| until_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.lapsed.remove(id);
            self.entries.remove(id);
        }
        gone
    }

    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.entries.get(id)
    }

    /// Returns the upstreams of a service that take new work.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a CompactString, &'a UpstreamEntry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.service == service && !entry.is_draining)
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, id: CompactString, now_ms: u64) -> UpstreamChange {
        if !self.entries.contains_key(&id) {
            return UpstreamChange::None;
        }
        if now_ms < self.grace_until_ms {
            self.lapsed.entry(id).or_insert(self.grace_until_ms);
            return UpstreamChange::None;
        }
        self.lapsed.remove(&id);
        self.entries.remove(&id);
        UpstreamChange::Removed
    }
}
