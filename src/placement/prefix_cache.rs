//! Which parts of prompts an engine is expected to have cached.

use super::{Prompt, CACHE_RETENTION_MS};
use crate::collections::FastMap;

/// Number of parts above which old ones are removed.
const MAX_PARTS: usize = 2_048;

/// Parts of prompts that were sent to an engine, with the time of the last one.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    used_ms: FastMap<u64, u64>,
}

impl PrefixCache {
    /// Returns the tokens of a prompt that are not expected in the cache.
    pub(super) fn uncached_tokens(&self, prompt: &Prompt, now_ms: u64) -> u64 {
        let total_tokens = prompt.total_tokens();
        if self.used_ms.is_empty() {
            return total_tokens;
        }
        let parts = prompt.parts.as_slice();
        let cached = parts.iter().rev().find(|part| self.has(part.id, now_ms));
        total_tokens.saturating_sub(cached.map_or(0, |part| part.end_tokens))
    }

    /// Records that a prompt with these parts was sent.
    pub(super) fn insert(&mut self, parts: impl Iterator<Item = u64>, now_ms: u64) {
        if self.used_ms.len() >= MAX_PARTS {
            self.used_ms
                .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < CACHE_RETENTION_MS / 2);
        }
        self.used_ms.extend(parts.map(|part| (part, now_ms)));
    }

    fn has(&self, part: u64, now_ms: u64) -> bool {
        let at_ms = self.used_ms.get(&part);
        at_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < CACHE_RETENTION_MS)
    }
}
