//! Directory of the known upstreams, from the entries that they register in the store.
//!
//! An upstream is known only while its entry is present and readable. Entries can expire during an outage of the store
//! although their upstreams are alive; such entries are back within [`REMOVAL_GRACE_MS`] after the store has recovered.
//! Removals that are read right after an outage therefore take effect only after that time.
//!
//! The store may return from an older copy, and a snapshot may then hold entries that are older than those known. The
//! entries of an upstream are ordered by the start of its process and by the number of reports of that process. An
//! older entry changes nothing. An upstream whose removal was seen is used again only if its entry stays for
//! [`CONFIRMATION_MS`], because the entry of an ended process is removed again before.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Time within which entries that expired during an outage of the store are back; stated by the platform.
pub const REMOVAL_GRACE_MS: u64 = 2_000;

/// Time after which an entry in a snapshot is believed although its removal was seen before; longer than the platform
/// keeps the entry of a process that does not report.
pub const CONFIRMATION_MS: u64 = 5_000;

/// Time for which the order of a removed entry is remembered; copies of the store are some seconds old.
const REMOVED_RETENTION_MS: u64 = 60_000;

/// Maximum number of removed entries that are remembered.
const MAX_REMOVED: usize = 4_096;

/// What an upstream registers about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Service that it provides.
    pub service: CompactString,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: CompactString,
    /// Version of its software.
    pub version: CompactString,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Start of the process by its own clock; a different value under the same id means a different process.
    pub started_ms: Option<u64>,
    /// Number of reports of the process; it rises with each one.
    pub report_sequence: Option<u64>,
    /// Time for which it is still cold after its start; see [`crate::cold_upstreams`].
    pub cold_left_ms: u64,
}

impl UpstreamEntry {
    /// Returns whether the entry describes the process with this address and start.
    pub fn is_process(&self, address: SocketAddr, started_ms: Option<u64>) -> bool {
        self.address == address && self.started_ms == started_ms
    }

    /// Returns a key that orders the entries of one upstream by age, if the entry has the fields for it.
    fn order(&self) -> Option<EntryOrder> {
        Some(EntryOrder {
            started_ms: self.started_ms?,
            report_sequence: self.report_sequence?,
        })
    }
}

/// Age of an entry: the start of the process, then the number of its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryOrder {
    started_ms: u64,
    report_sequence: u64,
}

impl EntryOrder {
    /// Returns whether this entry is an earlier report of the same process.
    fn is_earlier_report(self, other: Self) -> bool {
        self.started_ms == other.started_ms && self.report_sequence < other.report_sequence
    }
}

/// Effect of a record on what is known about an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is new or was restarted.
    Added,
    /// The upstream has started to drain.
    Draining,
    /// The upstream is gone.
    Removed,
    /// The record is older than what is known and changes nothing.
    Outdated,
    /// Nothing relevant changed.
    None,
}

/// A removal that waits for the end of the grace period.
#[derive(Clone, Copy, Debug)]
struct PendingRemoval {
    due_ms: u64,
    /// Whether a record of the removal was read; otherwise the entry is only missing.
    is_recorded: bool,
}

/// An entry that was removed.
#[derive(Clone, Copy, Debug)]
struct RemovedEntry {
    order: EntryOrder,
    removed_ms: u64,
}

/// Known upstreams by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamDirectory {
    entries: FastMap<CompactString, UpstreamEntry>,
    /// Entries that were removed or missing after an outage and have time to return.
    pending_removals: FastMap<CompactString, PendingRemoval>,
    removed: FastMap<CompactString, RemovedEntry>,
    /// Entries of snapshots that are not newer than those that were removed, with the time from which they are believed.
    unconfirmed: FastMap<CompactString, (UpstreamEntry, u64)>,
    grace_until_ms: u64,
}

impl UpstreamDirectory {
    /// Starts the grace period for removals after an outage of the store.
    pub fn store_recovered(&mut self, now_ms: u64) {
        self.grace_until_ms = now_ms + REMOVAL_GRACE_MS;
    }

    /// Replaces all entries by those of a snapshot; upstreams that are missing from it are removed. Returns the ids of
    /// the upstreams that have changed, and how.
    pub fn apply_snapshot(
        &mut self,
        entries: Vec<(CompactString, Option<UpstreamEntry>)>,
        now_ms: u64,
    ) -> Vec<(CompactString, UpstreamChange)> {
        let present: FastMap<_, _> = entries.into_iter().collect();
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !present.contains_key(*id))
            .cloned()
            .collect();
        self.unconfirmed.clear();
        let mut changes = Vec::new();
        for id in missing {
            let change = self.remove(id.clone(), false, now_ms);
            changes.push((id, change));
        }
        for (id, entry) in present {
            let change = match entry {
                Some(entry) if self.is_outdated(&id, &entry) => {
                    self.keep_unconfirmed(&id, entry, now_ms);
                    UpstreamChange::Outdated
                }
                entry => self.apply(id.clone(), entry, now_ms),
            };
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != UpstreamChange::None);
        changes
    }

    /// Returns whether an entry of a snapshot is older than the known one, or not newer than one whose removal was seen.
    fn is_outdated(&self, id: &str, entry: &UpstreamEntry) -> bool {
        let Some(order) = entry.order() else {
            return false;
        };
        let is_removal_recorded = self
            .pending_removals
            .get(id)
            .is_some_and(|pending| pending.is_recorded);
        match self.entries.get(id).map(UpstreamEntry::order) {
            Some(Some(known)) if is_removal_recorded => order <= known,
            Some(Some(known)) => order < known,
            Some(None) => false,
            None => self
                .removed
                .get(id)
                .is_some_and(|removed| order <= removed.order),
        }
    }

    /// Keeps an outdated entry of an upstream whose removal was seen until it is believed; that of a known upstream only
    /// shows that the upstream is present.
    fn keep_unconfirmed(&mut self, id: &CompactString, entry: UpstreamEntry, now_ms: u64) {
        let pending = self.pending_removals.get(id);
        let is_removed = match pending {
            Some(pending) => pending.is_recorded,
            None => !self.entries.contains_key(id),
        };
        if is_removed {
            let believed_ms = now_ms + CONFIRMATION_MS;
            self.unconfirmed.insert(id.clone(), (entry, believed_ms));
        } else {
            self.pending_removals.remove(id);
        }
    }

    /// Adds the upstreams whose entries have stayed although their removal was seen before; returns their ids.
    pub fn add_confirmed(&mut self, now_ms: u64) -> Vec<CompactString> {
        let mut confirmed = Vec::new();
        self.unconfirmed.retain(|id, (entry, believed_ms)| {
            let is_due = *believed_ms <= now_ms;
            if is_due {
                confirmed.push((id.clone(), entry.clone()));
            }
            !is_due
        });
        for (id, entry) in &confirmed {
            self.removed.remove(id);
            self.entries.insert(id.clone(), entry.clone());
        }
        confirmed.into_iter().map(|(id, _)| id).collect()
    }

    /// Applies a change; without a readable entry the upstream is removed.
    pub fn apply(
        &mut self,
        id: CompactString,
        entry: Option<UpstreamEntry>,
        now_ms: u64,
    ) -> UpstreamChange {
        self.unconfirmed.remove(&id);
        let Some(entry) = entry else {
            return self.remove(id, true, now_ms);
        };
        if self.is_earlier_report(&id, &entry) {
            return UpstreamChange::Outdated;
        }
        self.pending_removals.remove(&id);
        self.removed.remove(&id);
        let is_draining = entry.is_draining;
        let previous = self.entries.insert(id, entry.clone());
        match previous {
            None => UpstreamChange::Added,
            Some(previous) if previous.started_ms != entry.started_ms => UpstreamChange::Added,
            Some(previous) if is_draining && !previous.is_draining => UpstreamChange::Draining,
            Some(_) => UpstreamChange::None,
        }
    }

    /// Returns whether an entry is an earlier report of the process whose entry is known or was removed.
    fn is_earlier_report(&self, id: &str, entry: &UpstreamEntry) -> bool {
        let known = match self.entries.get(id) {
            Some(known) => known.order(),
            None => self.removed.get(id).map(|removed| removed.order),
        };
        match (entry.order(), known) {
            (Some(order), Some(known)) => order.is_earlier_report(known),
            _ => false,
        }
    }

    /// Removes the missing entries whose grace period has ended; returns their ids.
    pub fn expire(&mut self, now_ms: u64) -> Vec<CompactString> {
        self.removed
            .retain(|_, removed| now_ms < removed.removed_ms + REMOVED_RETENTION_MS);
        let expired: Vec<_> = self
            .pending_removals
            .iter()
            .filter(|(_, pending)| pending.due_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove_now(id, now_ms);
        }
        expired
    }

    /// Returns the entry of an upstream.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.entries.get(id)
    }

    /// Returns the upstreams of a service that accept new requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a CompactString, &'a UpstreamEntry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.service == service && !entry.is_draining)
    }

    /// Returns whether an upstream in a data centre is known.
    pub fn has_data_centre(&self, data_centre: &str) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.data_centre == data_centre)
    }

    /// Returns the number of known upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, id: CompactString, is_recorded: bool, now_ms: u64) -> UpstreamChange {
        if !self.entries.contains_key(&id) {
            return UpstreamChange::None;
        }
        if now_ms < self.grace_until_ms {
            let due_ms = self.grace_until_ms;
            let pending = self.pending_removals.entry(id).or_insert(PendingRemoval {
                due_ms,
                is_recorded,
            });
            pending.is_recorded |= is_recorded;
            return UpstreamChange::None;
        }
        self.remove_now(&id, now_ms);
        UpstreamChange::Removed
    }

    fn remove_now(&mut self, id: &CompactString, now_ms: u64) {
        self.pending_removals.remove(id);
        let entry = self.entries.remove(id);
        let Some(order) = entry.and_then(|entry| entry.order()) else {
            return;
        };
        if self.removed.len() >= MAX_REMOVED {
            let oldest = self
                .removed
                .iter()
                .min_by_key(|(id, removed)| (removed.removed_ms, *id));
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.removed.remove(&oldest);
            }
        }
        let removed_ms = now_ms;
        let removed = RemovedEntry { order, removed_ms };
        self.removed.insert(id.clone(), removed);
    }
}
