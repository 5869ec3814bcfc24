//! The record of a team's budget in the store, and changes to it that no account plans.

use prost::Message;

/// Grants in a record above which the oldest grant without unspent tokens is evicted.
///
/// A grant with unspent tokens is never evicted, because its tokens could not be reclaimed any more. Only the holders of
/// a team have grants, so their number does not grow with the fleet.
const MAX_GRANTS: usize = 96;

/// Budget of one team as stored.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BudgetRecord {
    /// Tokens granted to routers so far, less those returned.
    #[prost(uint64, tag = "1")]
    pub granted_tokens: u64,
    /// Grants of the routers that have taken tokens.
    #[prost(message, repeated, tag = "2")]
    pub holders: Vec<RouterGrant>,
    /// Number of this version of the record; each write increments it.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Epoch of the store in which this version was planned, see [`crate::store::Store::epoch`].
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Whether everything that was free has been charged, because nobody knew any more what had been granted.
    #[prost(bool, tag = "5")]
    pub is_charged_in_full: bool,
    /// Number of times that the record was recovered in this epoch. It is recovered again if a write of before the return
    /// of the store replaces it afterwards.
    #[prost(uint64, tag = "6")]
    pub recovery: u64,
}

/// Tokens of one router in a [`BudgetRecord`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RouterGrant {
    /// Random id of the router process.
    #[prost(fixed64, tag = "1")]
    pub router: u64,
    /// Tokens granted to the router, less those returned.
    #[prost(uint64, tag = "2")]
    pub granted_tokens: u64,
    /// Tokens that the router had charged when it wrote this grant.
    #[prost(uint64, tag = "3")]
    pub spent_tokens: u64,
    /// Tokens that the router reserves per second.
    #[prost(uint64, tag = "4")]
    pub rate_tokens_per_s: u64,
    /// Sequence number, counted by the router, of the write that last changed this grant.
    #[prost(uint64, tag = "5")]
    pub write: u64,
    /// Revision of the record at that write.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Tokens that the router gave to others and that their grants show by now, over its whole life.
    #[prost(uint64, tag = "7")]
    pub moved_tokens: u64,
}

/// Versions of a record that follow each other without gaps: those since one recovery in an epoch of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation {
    epoch: u64,
    recovery: u64,
}

impl Generation {
    /// Returns the generation that a recovery in an epoch begins after this one.
    pub(super) fn recovered_in(self, epoch: u64) -> Self {
        let recoveries = if self.epoch == epoch {
            self.recovery
        } else {
            0
        };
        Self {
            epoch,
            recovery: recoveries + 1,
        }
    }
}

/// Order of the versions of a record: those of a later generation are newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordVersion {
    generation: Generation,
    revision: u64,
}

impl BudgetRecord {
    /// Returns the version of the record.
    pub fn version(&self) -> RecordVersion {
        RecordVersion {
            generation: self.generation(),
            revision: self.revision,
        }
    }

    /// Returns the generation of the record.
    pub fn generation(&self) -> Generation {
        Generation {
            epoch: self.epoch,
            recovery: self.recovery,
        }
    }

    /// Moves the record to another generation.
    pub(super) fn set_generation(&mut self, generation: Generation) {
        self.epoch = generation.epoch;
        self.recovery = generation.recovery;
    }

    /// Returns the grant of a router.
    pub fn grant_of(&self, router: u64) -> Option<&RouterGrant> {
        self.holders.iter().find(|grant| grant.router == router)
    }

    /// Returns the prepaid tokens that are not granted to any router.
    pub fn free_tokens(&self, prepaid_tokens: u64) -> u64 {
        prepaid_tokens.saturating_sub(self.granted_tokens)
    }

    /// Returns an upper bound on what the team can still spend: all tokens that no router has reported as charged.
    pub fn unspent_tokens(&self, prepaid_tokens: u64) -> u64 {
        let held: u64 = self
            .holders
            .iter()
            .map(|grant| grant.granted_tokens.saturating_sub(grant.spent_tokens))
            .sum();
        self.free_tokens(prepaid_tokens).saturating_add(held)
    }
}

impl BudgetRecord {
    /// Plans the next record with the tokens beyond the limit of an ended process reclaimed and the rest of its grant
    /// closed; `None` if that has been done.
    ///
    /// What it held below its limit may have been used and counts as spent. Otherwise the team would seem to have tokens
    /// left that nobody can spend, and the ended process would seem to compete for rights.
    pub fn reclaim(&self, router: u64, limit_tokens: u64) -> Option<Self> {
        let mut next = self.clone();
        let grant = next
            .holders
            .iter_mut()
            .find(|grant| grant.router == router)?;
        let held = grant.granted_tokens + grant.moved_tokens;
        // The grant may be older than a return of a part of it, and others may have spent that part.
        let unused = if self.is_charged_in_full {
            0
        } else {
            held.saturating_sub(limit_tokens).min(grant.granted_tokens)
        };
        let is_closed = grant.spent_tokens == grant.granted_tokens && grant.rate_tokens_per_s == 0;
        if unused == 0 && is_closed {
            return None;
        }
        grant.granted_tokens -= unused;
        grant.spent_tokens = grant.granted_tokens;
        grant.rate_tokens_per_s = 0;
        next.granted_tokens = next.granted_tokens.saturating_sub(unused);
        next.revision += 1;
        Some(next)
    }

    /// Evicts a grant without unspent tokens if there are too many, but never that of the writer.
    pub(super) fn evict_oldest(&mut self, writer: u64) {
        if self.holders.len() <= MAX_GRANTS {
            return;
        }
        let evictable = self.holders.iter().enumerate().filter(|(_, grant)| {
            grant.router != writer && grant.granted_tokens <= grant.spent_tokens
        });
        let oldest = evictable.min_by_key(|(_, grant)| grant.revision);
        if let Some((index, _)) = oldest {
            self.holders.remove(index);
        }
    }

    /// Deducts transferred tokens from the grant of the router that gave them.
    ///
    /// Returns whether the giver's grant still covered them; grants of routers that ended long ago are evicted.
    pub(super) fn debit_giver(&mut self, giver: u64, tokens: u64) -> bool {
        let grant = self.holders.iter_mut().find(|grant| grant.router == giver);
        match grant {
            Some(grant) if grant.granted_tokens >= tokens => {
                grant.granted_tokens -= tokens;
                grant.spent_tokens = grant.spent_tokens.min(grant.granted_tokens);
                grant.moved_tokens += tokens;
                true
            }
            _ => false,
        }
    }
}
