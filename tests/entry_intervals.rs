//! How soon a router writes its next journal entry when a team spends faster than before.

use std::collections::VecDeque;

use monsoonfield::allowance::{
    BudgetRecord, EntryIntervals, EntryNeed, Role, SpendingLimit, TeamAccount,
};

const ROUTER: u64 = 1;

const ROLE: Role = Role {
    holders: 1,
    is_holder: true,
};

const PREPAID_TOKENS: u64 = 100_000_000;

const STEP_MS: u64 = 10;

const POLL_MS: u64 = 1_000;

/// Tokens that a request reserves and is charged, and the time for which it runs.
const NEED_TOKENS: u64 = 2_000;
const RUN_MS: u64 = 150;

/// Time after which a request that waits for rights is refused, see `STORE_WAIT` of the gateway.
const MAX_WAIT_MS: u64 = 250;

/// Size of the fleet and the calls that the store accepts.
const ROUTERS: u64 = 79;
const HOLDERS: u64 = 10;
const WRITES_PER_S: u64 = 200;

/// A router that holds the rights of one team, and its journal in a store that takes some time for each entry.
struct Holder {
    now_ms: u64,
    intervals: EntryIntervals,
    entry_write_ms: u64,
    account: TeamAccount,
    record: BudgetRecord,
    /// Ends of the open requests.
    open: VecDeque<u64>,
    /// Arrivals of the requests that wait for rights.
    waiting: VecDeque<u64>,
    /// Whether the last poll of the record has requested an entry.
    is_requested: bool,
    /// Limit that is being written, with the time at which it takes effect.
    writing: Option<(SpendingLimit, u64)>,
    stored_limit: SpendingLimit,
    entry_ms: u64,
    entries: u64,
    refused: u64,
}

impl Holder {
    fn new(entry_write_ms: u64) -> Self {
        let mut holder = Self {
            now_ms: 0,
            intervals: EntryIntervals::new(ROUTERS, HOLDERS, WRITES_PER_S),
            entry_write_ms,
            account: TeamAccount::default(),
            record: BudgetRecord::default(),
            open: VecDeque::new(),
            waiting: VecDeque::new(),
            is_requested: false,
            writing: None,
            stored_limit: SpendingLimit::default(),
            entry_ms: 0,
            entries: 0,
            refused: 0,
        };
        holder.reconcile();
        holder
    }

    /// Plays requests at a rate; `writes_early` tells whether entries are written before requests wait.
    fn play(&mut self, time_ms: u64, requests_per_step: u64, writes_early: bool) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.settle();
            if self.now_ms.is_multiple_of(POLL_MS) {
                self.reconcile();
            }
            self.write_entry(writes_early);
            self.serve_waiting();
            for _ in 0..requests_per_step {
                if self.account.reserve(NEED_TOKENS, self.now_ms).is_ok() {
                    self.open.push_back(self.now_ms + RUN_MS);
                } else {
                    self.account.add_demand(NEED_TOKENS);
                    self.waiting.push_back(self.now_ms);
                }
            }
            let limit_tokens = self.stored_limit.at(self.now_ms - self.entry_ms);
            assert!(
                self.account.used_tokens() <= limit_tokens,
                "a kill would overspend"
            );
        }
    }

    fn settle(&mut self) {
        let now_ms = self.now_ms;
        while self.open.front().is_some_and(|end_ms| *end_ms <= now_ms) {
            self.open.pop_front();
            self.account.settle(NEED_TOKENS, NEED_TOKENS);
        }
    }

    fn reconcile(&mut self) {
        self.account.observe(&self.record, ROUTER, PREPAID_TOKENS);
        self.account.decay_rate(self.now_ms);
        let planned = self
            .account
            .plan(&self.record, ROUTER, PREPAID_TOKENS, ROLE);
        if let Some(planned) = planned {
            self.account.begin_write(&planned, ROUTER);
            self.account.finish_write(true);
            self.record = planned;
        }
        self.is_requested |= self.account.needs_entry();
    }

    fn write_entry(&mut self, writes_early: bool) {
        if let Some((limit, at_ms)) = self.writing {
            if self.now_ms < at_ms {
                return;
            }
            self.account.commit_entry(limit, self.entry_write_ms);
            self.stored_limit = limit;
            self.writing = None;
        }
        let need = if self.is_requested || self.account.demand_tokens() > 0 {
            EntryNeed::Now
        } else if writes_early && self.account.needs_entry() {
            EntryNeed::Early
        } else {
            EntryNeed::None
        };
        if self.now_ms - self.entry_ms >= self.intervals.wait_ms(need) + self.entry_write_ms {
            self.writing = Some((
                self.account.begin_entry(),
                self.now_ms + self.entry_write_ms,
            ));
            self.stored_limit = self.stored_limit.min(self.writing.expect("just set").0);
            self.entry_ms = self.now_ms;
            self.is_requested = false;
            self.entries += 1;
        }
    }

    fn serve_waiting(&mut self) {
        while let Some(arrived_ms) = self.waiting.front().copied() {
            let is_served = self.account.reserve(NEED_TOKENS, self.now_ms).is_ok();
            if is_served {
                self.open.push_back(self.now_ms + RUN_MS);
            } else if self.now_ms - arrived_ms < MAX_WAIT_MS {
                return;
            }
            self.refused += u64::from(!is_served);
            self.account.remove_demand(NEED_TOKENS);
            self.waiting.pop_front();
        }
    }
}

/// Returns the number of requests that were refused after a team tripled its usual load.
fn refused_after_growth(entry_write_ms: u64, writes_early: bool) -> u64 {
    let mut holder = Holder::new(entry_write_ms);
    holder.play(5_000, 0, writes_early);
    holder.play(20_000, 1, writes_early);
    let refused_before = holder.refused;
    holder.play(4_000, 3, writes_early);
    holder.refused - refused_before
}

/// Guards against refusing the requests of a team that suddenly spends more, because the entry that raises its limit is
/// begun only when requests wait for it and takes longer than they can wait (1,026 requests failed within two seconds).
#[test]
fn an_early_entry_raises_the_limit_before_requests_wait() {
    for entry_write_ms in [10, 100, 300, 600] {
        let refused = refused_after_growth(entry_write_ms, true);
        assert_eq!(refused, 0, "entries take {entry_write_ms} ms");
    }
    let refused = refused_after_growth(300, false);
    assert!(refused > 0, "the load of the test needs early entries");
}

/// Guards against entries of all holders that together are more than the store accepts, and against a router of a large
/// fleet with few holders that writes as seldom as if all of them held rights.
#[test]
fn the_store_accepts_the_entries_of_all_holders() {
    for (routers, holders, writes_per_s) in [(6, 20, 40), (79, 8, 200), (300, 300, 500)] {
        let intervals = EntryIntervals::new(routers, holders, writes_per_s);
        let per_s = |writers: u64, need| writers as f64 * 1_000.0 / intervals.wait_ms(need) as f64;
        let writers = holders.min(routers);
        let accepted = writes_per_s as f64;
        // Intervals are whole milliseconds.
        let tolerance = 1.01;
        assert!(per_s(writers, EntryNeed::Now) <= accepted * tolerance);
        assert!(per_s(writers, EntryNeed::Early) <= accepted * 0.5 * tolerance);
        assert!(per_s(routers, EntryNeed::None) <= accepted * 0.25 * tolerance);
    }
    let few = EntryIntervals::new(79, 8, 200);
    assert!(
        few.wait_ms(EntryNeed::Early) < EntryIntervals::new(79, 79, 200).wait_ms(EntryNeed::Early)
    );
}
