//! Estimate of the contents of the engines' prefix caches.
//!
//! Cache events arrive late and may be lost, so each entry has a likelihood. A dispatch creates an expected entry at
//! once, and a cache event confirms it. A gap in the events halves the likelihood of all earlier entries of the
//! upstream; a per-upstream counter makes this possible without a walk over the entries.

use std::collections::VecDeque;

use crate::collections::FastMap;
use crate::ids::UpstreamKey;

/// Maximum number of blocks that are tracked; the oldest are evicted.
///
/// 450,000 entries just fill a hash table of 2^19 slots. `selection_experiment` prints the memory use.
const RETAINED_BLOCKS: usize = 450_000;

/// Upstreams that are tracked per block; more do not improve the selection.
const HOLDERS_PER_BLOCK: usize = 4;

/// Maximum number of candidates per request.
const MAX_LIKELY_HOLDERS: usize = 4;

/// Likelihood of an entry that a cache event confirmed.
const CONFIRMED_LIKELIHOOD: f64 = 0.95;

/// Likelihood of an entry that is based on a dispatch only.
const EXPECTED_LIKELIHOOD: f64 = 0.8;

/// Factor by which each later gap in the upstream's events reduces the likelihood of an entry.
const GAP_FACTOR: f64 = 0.5;

/// Number of gaps after which an entry is ignored.
const GAPS_TO_IGNORE: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Entry {
    upstream: UpstreamKey,
    /// Gaps in the upstream's events when the entry was made.
    gaps: u32,
    is_confirmed: bool,
}

/// An upstream that probably has a prefix cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Holder {
    pub(super) upstream: UpstreamKey,
    pub(super) expected_blocks: f64,
}

/// Likely contents of the prefix caches of all upstreams.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixMap {
    blocks: FastMap<u64, [Option<Entry>; HOLDERS_PER_BLOCK]>,
    /// Blocks in the order in which they were added.
    order: VecDeque<u64>,
    /// Gaps in the events of each upstream so far; a cleared cache counts as [`GAPS_TO_IGNORE`] of them.
    gaps: FastMap<UpstreamKey, u32>,
}

impl PrefixMap {
    pub(super) fn insert_confirmed(&mut self, upstream: UpstreamKey, block: u64) {
        self.insert(upstream, block, true);
    }

    pub(super) fn insert_expected(&mut self, upstream: UpstreamKey, block: u64) {
        self.insert(upstream, block, false);
    }

    pub(super) fn remove(&mut self, upstream: UpstreamKey, block: u64) {
        if let Some(entries) = self.blocks.get_mut(&block) {
            for slot in entries {
                if slot.is_some_and(|entry| entry.upstream == upstream) {
                    *slot = None;
                }
            }
        }
    }

    pub(super) fn record_gap(&mut self, upstream: UpstreamKey) {
        *self.gaps.entry(upstream).or_insert(0) += 1;
    }

    pub(super) fn clear(&mut self, upstream: UpstreamKey) {
        *self.gaps.entry(upstream).or_insert(0) += GAPS_TO_IGNORE;
    }

    /// Returns the upstreams that probably have the longest prefixes cached.
    pub(super) fn likely_holders(&self, prefix_hashes: &[u64]) -> Vec<Holder> {
        let mut holders: Vec<Holder> = Vec::with_capacity(MAX_LIKELY_HOLDERS);
        for (index, block) in prefix_hashes.iter().enumerate().rev() {
            let Some(entries) = self.blocks.get(block) else {
                continue;
            };
            for entry in entries.iter().flatten() {
                let likelihood = self.likelihood(entry);
                let is_known = holders
                    .iter()
                    .any(|holder| holder.upstream == entry.upstream);
                if is_known || likelihood == 0.0 {
                    continue;
                }
                holders.push(Holder {
                    upstream: entry.upstream,
                    expected_blocks: (index + 1) as f64 * likelihood,
                });
                if holders.len() == MAX_LIKELY_HOLDERS {
                    return holders;
                }
            }
        }
        holders
    }

    fn likelihood(&self, entry: &Entry) -> f64 {
        let gaps = self.gaps.get(&entry.upstream).copied().unwrap_or(0) - entry.gaps;
        if gaps >= GAPS_TO_IGNORE {
            return 0.0;
        }
        let base = if entry.is_confirmed {
            CONFIRMED_LIKELIHOOD
        } else {
            EXPECTED_LIKELIHOOD
        };
        base * GAP_FACTOR.powi(gaps as i32)
    }

    fn insert(&mut self, upstream: UpstreamKey, block: u64, is_confirmed: bool) {
        let gaps = self.gaps.get(&upstream).copied().unwrap_or(0);
        let entry = Entry {
            upstream,
            gaps,
            is_confirmed,
        };
        let entries = match self.blocks.get_mut(&block) {
            Some(entries) => entries,
            None => {
                if self.order.len() == RETAINED_BLOCKS {
                    if let Some(oldest) = self.order.pop_front() {
                        self.blocks.remove(&oldest);
                    }
                }
                self.order.push_back(block);
                self.blocks
                    .entry(block)
                    .or_insert([None; HOLDERS_PER_BLOCK])
            }
        };
        let existing = entries
            .iter()
            .position(|slot| slot.is_some_and(|known| known.upstream == upstream));
        match existing {
            Some(index) => {
                let was_confirmed =
                    entries[index].is_some_and(|known| known.gaps == gaps && known.is_confirmed);
                entries[index] = Some(Entry {
                    is_confirmed: is_confirmed || was_confirmed,
                    ..entry
                });
            }
            None => {
                // The newest entry comes first; the oldest one is dropped.
                entries.rotate_right(1);
                entries[0] = Some(entry);
            }
        }
    }
}
