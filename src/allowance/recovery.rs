//! Recovery of a team's record after the store returned from an older copy.
//!
//! What the routers wrote since that copy is gone, so the record shows fewer tokens granted than there are. Nothing is
//! granted, returned or reclaimed from such a record. The versions of a record follow each other without gaps, because
//! each write is conditional; so the newest version that any router knows covers everything before it. A router spends
//! tokens of a grant only after another router knows the version that contains it. The newest version that the live
//! routers know therefore contains every grant that was spent from, unless all routers that knew it have ended.

use super::{BudgetRecord, Generation, RecordVersion};

/// Newest version of a team's record that one router knows.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    newest: Option<BudgetRecord>,
    /// Generation that a recovery begins which has asked for this knowledge.
    asked: Generation,
}

impl Knowledge {
    /// Creates the knowledge of a router that has followed a team from its start: nothing was granted before.
    pub fn of_new_team() -> Self {
        Self {
            newest: Some(BudgetRecord::default()),
            asked: Generation::default(),
        }
    }

    /// Remembers a version if it is newer than the known one.
    pub fn learn(&mut self, record: &BudgetRecord) {
        if self
            .newest
            .as_ref()
            .is_none_or(|newest| newest.version() <= record.version())
        {
            self.newest = Some(record.clone());
        }
    }

    /// Returns the newest known version; `None` if the router knows none.
    pub fn newest(&self) -> Option<&BudgetRecord> {
        self.newest.as_ref()
    }

    /// Returns the newest known version to a recovery in an epoch, see [`Knowledge::may_be_lost`].
    pub fn answer(&mut self, epoch: u64) -> Option<&BudgetRecord> {
        let known = self.newest_generation();
        self.asked = self.asked.max(known.recovered_in(epoch));
        self.newest()
    }

    /// Returns whether a recovered record may lack a version that this router learns only now.
    ///
    /// The store may have acknowledged that version before it returned, so the router that wrote it must read the record
    /// before it spends what the version grants.
    pub fn may_be_lost(&self, record: &BudgetRecord) -> bool {
        record.generation() < self.asked.max(self.newest_generation())
    }

    fn newest_generation(&self) -> Generation {
        let newest = self.newest.as_ref();
        newest.map_or_else(Generation::default, BudgetRecord::generation)
    }
}

/// Recovery of one record: the newest of the versions that the live routers know.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Version of the record in the store.
    stored: RecordVersion,
    newest: BudgetRecord,
    is_informed: bool,
    /// Number of routers that have said what they know.
    answers: usize,
    /// Routers that may have tokens left.
    open: Vec<u64>,
}

impl Recovery {
    /// Starts from the record in the store, which is older than what some routers may know.
    pub fn new(stored: BudgetRecord) -> Self {
        Self {
            stored: stored.version(),
            newest: stored,
            is_informed: false,
            answers: 0,
            open: Vec::new(),
        }
    }

    /// Adds what a live router knows; `None` if it has not followed the team.
    pub fn add(&mut self, router: u64, known: Option<&BudgetRecord>) {
        self.answers += 1;
        self.keep_open(router);
        let Some(known) = known else {
            return;
        };
        // A router that knows less than the copy has not followed the team of late.
        self.is_informed |= known.version() >= self.stored;
        // A write of before the return may have taken effect only afterwards. It has the same version as the one that
        // took effect before, which is the one that routers know.
        if known.version() >= self.newest.version() {
            self.newest = known.clone();
        }
    }

    /// Keeps the grant of a router open, because it may have tokens left.
    pub fn keep_open(&mut self, router: u64) {
        self.open.push(router);
    }

    /// Returns the number of routers that have said what they know.
    pub fn answer_count(&self) -> usize {
        self.answers
    }

    /// Returns whether a live router knew the record before the store returned.
    pub fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Plans the first version of an epoch.
    ///
    /// The grants of routers that have ended count as spent. If no live router knew the record, everything that is
    /// free counts as spent as well, because ended routers may have taken it; a top-up adds free tokens again.
    pub fn plan(&self, epoch: u64, prepaid_tokens: u64) -> BudgetRecord {
        let mut next = self.newest.clone();
        next.set_generation(self.newest.generation().recovered_in(epoch));
        next.revision += 1;
        for grant in &mut next.holders {
            if !self.open.contains(&grant.router) {
                grant.spent_tokens = grant.granted_tokens;
                grant.rate_tokens_per_s = 0;
            }
        }
        if !self.is_informed {
            next.granted_tokens = next.granted_tokens.max(prepaid_tokens);
            next.is_charged_in_full = true;
        }
        next
    }
}
