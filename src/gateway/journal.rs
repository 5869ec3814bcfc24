//! Journal of this VM: a record in the store that limits how far this process may spend the rights that it holds.
//!
//! There is one record for each VM, appended on the condition that it has not changed in between. An entry is repeated
//! unchanged until it is known whether it took effect, so a successor counts the age of the entry from the same time as
//! this process, whichever copy took effect. See [`crate::allowance`] for the limit that depends on this age.
//!
//! A process that finds an entry of its predecessor reclaims the rights that the predecessor cannot have used, and only
//! then writes its own first entry. A process that is killed before that leaves the old entry to its successor.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use prost::Message;

use super::budget::LastEntry;
use super::{clock, limits, Shared};
use crate::allowance::{ClockReading, EntryIntervals, EntryNeed, JournalEntry};
use crate::notify::Notify;
use crate::store::{AppendOutcome, Feed, Record, Store};

/// Number of slots over which the VMs are spread; the writes of VMs that share a slot conflict and are repeated.
const FEED_SLOTS: u64 = 480;

/// Longest time for which the first entry is delayed until the rights of the predecessor are reclaimed. In a large
/// fleet the reclaim takes longer, and requests are served meanwhile.
const MAX_RECLAIM_WAIT: Duration = Duration::from_millis(400);

/// Interval at which the end of the reclaim is polled.
const RECLAIM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Age of the newest entry from which on the store is logged as out of reach.
const OUT_OF_REACH_MS: u64 = 1_000;

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Interval at which the age of the newest entry is applied to the limits.
const AGE_INTERVAL: Duration = Duration::from_millis(50);

/// State of the journal.
#[derive(Default)]
pub(super) struct Journal {
    entry_requested: Notify,
    need: Cell<EntryNeed>,
    /// Time at which the content of the newest entry was created.
    created_ms: Cell<u64>,
    has_entry: Cell<bool>,
    /// Whether no rights are held, so that no new entry is needed.
    is_idle: Cell<bool>,
}

impl Journal {
    /// Returns whether an entry of this process has taken effect; until then it acquires no rights.
    pub(super) fn has_entry(&self) -> bool {
        self.has_entry.get()
    }

    /// Requests an entry before the regular interval ends.
    pub(super) fn request(&self, need: EntryNeed) {
        if need > self.need.get() {
            self.need.set(need);
            self.entry_requested.notify();
        }
    }
}

/// Reclaims the rights of the predecessor, then writes journal entries until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let start = read_clocks();
    let mut end = reclaim_from_predecessor(&shared, start).await;
    let mut write = 0;
    monoio::spawn(track_age(Rc::clone(&shared)));
    loop {
        write += 1;
        end = write_entry(&shared, write, end).await;
        if !shared.journal.has_entry.replace(true) {
            shared.budgets.wake_waiting();
        }
        wait_for_entry(&shared).await;
    }
}

/// Waits until an entry is requested, or due because rights are held.
async fn wait_for_entry(shared: &Shared) {
    let journal = &shared.journal;
    let intervals = EntryIntervals::new(
        shared.routers.borrow().count(),
        shared.budgets.expected_holders(),
        shared.settings.store.writes_per_s,
    );
    let mut since_ms = shared.now_ms();
    loop {
        let need = journal.need.get();
        let elapsed_ms = shared.now_ms().saturating_sub(since_ms);
        let wait_ms = intervals.wait_ms(need).saturating_sub(elapsed_ms);
        let is_more_urgent = || (journal.need.get() > need).then_some(());
        let requested = journal.entry_requested.wait_for(is_more_urgent);
        let is_requested = monoio::time::timeout(Duration::from_millis(wait_ms), requested).await;
        if is_requested.is_ok() {
            continue;
        }
        journal
            .is_idle
            .set(need == EntryNeed::None && !shared.budgets.holds_rights());
        if !journal.is_idle.get() {
            return;
        }
        since_ms = shared.now_ms();
    }
}

/// Raises the spending limits as the newest entry ages, and logs when the store goes out of reach or returns.
async fn track_age(shared: Rc<Shared>) {
    let mut was_out_of_reach = false;
    loop {
        monoio::time::sleep(AGE_INTERVAL).await;
        let now_ms = shared.now_ms();
        let age_ms = now_ms.saturating_sub(shared.journal.created_ms.get());
        let is_out_of_reach = age_ms >= OUT_OF_REACH_MS && !shared.journal.is_idle.get();
        if is_out_of_reach != was_out_of_reach {
            log::info!(
                step = "journal", out_of_reach = is_out_of_reach, age_ms = age_ms, at_ms = now_ms;
                "journal {}", if is_out_of_reach { "is out of reach" } else { "is reachable again" }
            );
            was_out_of_reach = is_out_of_reach;
        }
        shared.budgets.set_entry_age(age_ms);
    }
}

/// Reclaims the rights of the predecessor and returns the end of the feed.
async fn reclaim_from_predecessor(shared: &Rc<Shared>, mut start: ClockReading) -> u64 {
    let (entry, end) = loop {
        match read(shared).await {
            Some(newest) => break newest,
            None => monoio::time::sleep(RETRY_DELAY).await,
        }
    };
    let Some(entry) = entry else {
        return end;
    };
    // An entry of an earlier epoch need not be the last one, so it does not bound what its process has used.
    let is_last = entry.epoch == shared.store.epoch();
    let mut age_ms = entry.max_age_at(&start).filter(|_| is_last);
    if age_ms.is_none() && entry.fleet_ms.is_some() && is_last {
        clock::synchronise(shared).await;
        let clock = shared.clock.borrow();
        start.fleet_ms = clock.now_ms(start.wall_ms, start.steady_ms);
        age_ms = entry.max_age_at(&start);
    }
    limits::record_earlier_process(shared, age_ms);
    let difference = entry.clock_difference(&start);
    log::info!(
        step = "predecessor", predecessor = entry.router, reclaim = age_ms.is_some(),
        age_ms = age_ms.unwrap_or(0), epoch = entry.epoch, knows_fleet_time = start.fleet_ms.is_some(),
        steady_ms = difference.steady_ms, wall_ms = difference.wall_ms;
        "found the journal entry of the previous process"
    );
    let last_entry = LastEntry {
        router: entry.router,
        limits: &entry.marks,
        age_ms,
    };
    shared.budgets.reclaim(shared, &last_entry);
    if age_ms.is_some() {
        let reclaimed = async {
            while shared.table.borrow().is_none() || shared.budgets.is_reclaiming() {
                monoio::time::sleep(RECLAIM_POLL_INTERVAL).await;
            }
        };
        if monoio::time::timeout(MAX_RECLAIM_WAIT, reclaimed)
            .await
            .is_err()
        {
            log::info!(
                step = "predecessor", predecessor = entry.router;
                "the reclaim of rights continues while requests are served"
            );
        }
    }
    end
}

/// Writes one entry and waits until it has taken effect; returns the new end of the feed.
async fn write_entry(shared: &Shared, write: u64, mut end: u64) -> u64 {
    // An entry that is requested from here on is not this one but the next.
    shared.journal.need.set(EntryNeed::None);
    // This process must not count the entry as older than its successor does, so the clocks are read first.
    let now = read_clocks();
    let created_ms = shared.now_ms();
    let entry = JournalEntry {
        router: shared.router_id,
        write,
        steady_ms: now.steady_ms,
        wall_ms: now.wall_ms,
        boot: now.boot,
        marks: shared.budgets.begin_entry(),
        fleet_ms: shared.clock.borrow().now_ms(now.wall_ms, now.steady_ms),
        epoch: shared.store.epoch(),
    };
    shared.journal.created_ms.set(created_ms);
    let value = bytes::Bytes::from(entry.encode_to_vec());
    loop {
        let record = Record {
            key: shared.settings.vm.clone(),
            value: Some(value.clone()),
        };
        let result = shared.store.append(feed(shared), Some(end), record).await;
        let write_ms = shared.now_ms().saturating_sub(created_ms);
        if matches!(result, Ok(AppendOutcome::Written)) {
            shared.budgets.commit_entry(shared, &entry.marks, write_ms);
            return end + 1;
        }
        if let Err(error) = &result {
            log::debug!(step = "journal"; "{error}");
            monoio::time::sleep(RETRY_DELAY).await;
        }
        let Some((newest, newest_end)) = read(shared).await else {
            monoio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let is_written = newest
            .is_some_and(|newest| newest.router == entry.router && newest.write == entry.write);
        end = newest_end;
        if is_written {
            shared.budgets.commit_entry(shared, &entry.marks, write_ms);
            return end;
        }
    }
}

/// Reads the newest entry of this VM and the end of its feed; `None` if the store does not respond.
async fn read(shared: &Shared) -> Option<(Option<JournalEntry>, u64)> {
    let snapshot = match shared.store.snapshot(feed(shared)).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::debug!(step = "journal"; "{error}");
            return None;
        }
    };
    let mut records = snapshot.records.into_iter();
    let newest = records.find(|record| record.key == shared.settings.vm);
    let entry = newest.and_then(|record| match JournalEntry::decode(record.value?) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::error!(
                step = "journal";
                "the journal entry cannot be decoded, the rights of its process are not reclaimed: {error}"
            );
            None
        }
    });
    Some((entry, snapshot.end))
}

fn feed(shared: &Shared) -> Feed {
    let hash = xxhash_rust::xxh3::xxh3_64(shared.settings.vm.as_bytes());
    Feed::Journals((hash % FEED_SLOTS) as u16)
}

fn read_clocks() -> ClockReading {
    ClockReading {
        steady_ms: clock::monotonic_ms(),
        wall_ms: clock::wall_ms(),
        // Without a boot id, a restart of the VM is detected from the clocks alone.
        boot: std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default(),
        fleet_ms: None,
    }
}
