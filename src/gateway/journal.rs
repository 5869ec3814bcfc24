//! The journal of this VM: up to where the spending rights that this process holds may be used.
//!
//! One record for each VM, written under the condition that nothing was written in between. Its content is repeated
//! unchanged until it is known whether it took effect, so the time that it states is never younger than the last moment
//! at which the process could still learn of it. See [`crate::allowance`] for the rule that this serves.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use prost::Message;

use super::Shared;
use crate::allowance::{ClockReading, JournalEntry, CUT_OFF_MS};
use crate::notify::Notify;
use crate::store::{Appended, Feed, Record};

/// Slots over which VMs are spread; a shared slot costs repeated writes.
const SLOTS: u64 = 480;

/// Longest time between two entries; the newest one must be young when the process is killed.
const INTERVAL: Duration = Duration::from_millis(450);

/// Shortest time between two entries.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Interval of looks at whether the store has been away for too long.
const WATCH_INTERVAL: Duration = Duration::from_millis(50);

/// State of the journal.
#[derive(Default)]
pub(super) struct Journal {
    needed: Notify,
    is_needed: Cell<bool>,
    /// Time at which the content of the newest entry was made.
    made_ms: Cell<u64>,
}

impl Journal {
    /// Asks for an entry soon.
    pub(super) fn wake(&self) {
        self.is_needed.set(true);
        self.needed.notify();
    }
}

/// Writes the journal until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let start = clocks();
    let mut end = take_over(&shared, &start).await;
    let mut write = 0;
    monoio::spawn(watch(Rc::clone(&shared)));
    loop {
        write += 1;
        end = write_entry(&shared, write, end).await;
        monoio::time::sleep(MIN_INTERVAL).await;
        let journal = &shared.journal;
        let needed = journal
            .needed
            .wait_for(|| journal.is_needed.get().then_some(()));
        // Both ends of the wait lead to the next entry.
        let _ = monoio::time::timeout(INTERVAL, needed).await;
    }
}

/// Lifts the marks while the store has been away for too long.
async fn watch(shared: Rc<Shared>) {
    let mut was_cut_off = false;
    loop {
        monoio::time::sleep(WATCH_INTERVAL).await;
        let now_ms = shared.now_ms();
        let age_ms = now_ms.saturating_sub(shared.journal.made_ms.get());
        let is_cut_off = age_ms >= CUT_OFF_MS;
        if is_cut_off != was_cut_off {
            log::info!(step = "journal", cut_off = is_cut_off, age_ms = age_ms, at_ms = now_ms; "journal is {}", if is_cut_off { "out of reach" } else { "back" });
            was_cut_off = is_cut_off;
        }
        shared.funds.set_cut_off(is_cut_off);
    }
}

/// Reads the last entry of the process before this one and returns the end of the feed.
async fn take_over(shared: &Shared, start: &ClockReading) -> u64 {
    loop {
        match read(shared).await {
            Some((entry, end)) => {
                if let Some(entry) = entry {
                    let is_reclaimable = entry.is_reclaimable(start);
                    log::info!(
                        step = "predecessor", predecessor = entry.router, reclaim = is_reclaimable,
                        steady_ms = start.steady_ms.wrapping_sub(entry.steady_ms),
                        wall_ms = start.wall_ms.wrapping_sub(entry.wall_ms); "journal taken over"
                    );
                    if is_reclaimable {
                        shared.funds.reclaim(entry.router, &entry.marks);
                    }
                }
                return end;
            }
            None => monoio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Writes one entry and waits until it is known that it took effect; returns the new end of the feed.
async fn write_entry(shared: &Shared, write: u64, mut end: u64) -> u64 {
    // What is needed from here on is not part of this entry.
    shared.journal.is_needed.set(false);
    // From here on the entry can take effect, so nothing may be used beyond its marks until it is old.
    shared.funds.set_cut_off(false);
    let made_ms = shared.now_ms();
    let now = clocks();
    let entry = JournalEntry {
        router: shared.router,
        write,
        steady_ms: now.steady_ms,
        wall_ms: now.wall_ms,
        boot: now.boot,
        marks: shared.funds.next_marks(),
    };
    shared.journal.made_ms.set(made_ms);
    let value = bytes::Bytes::from(entry.encode_to_vec());
    loop {
        let record = Record {
            key: shared.settings.vm.clone(),
            value: Some(value.clone()),
        };
        let result = shared.store.append(feed(shared), Some(end), record).await;
        if matches!(result, Ok(Appended::Written)) {
            shared.funds.open_marks(&entry.marks);
            return end + 1;
        }
        if let Err(error) = &result {
            log::debug!(step = "journal"; "{error}");
            monoio::time::sleep(RETRY_PAUSE).await;
        }
        let Some((newest, newest_end)) = read(shared).await else {
            monoio::time::sleep(RETRY_PAUSE).await;
            continue;
        };
        let is_written = newest
            .is_some_and(|newest| newest.router == entry.router && newest.write == entry.write);
        end = newest_end;
        if is_written {
            shared.funds.open_marks(&entry.marks);
            return end;
        }
    }
}

/// Reads the newest entry of this VM and the end of its feed.
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
            log::error!(step = "journal"; "the last entry is not readable, its rights stay lost: {error}");
            None
        }
    });
    Some((entry, snapshot.end))
}

fn feed(shared: &Shared) -> Feed {
    let hash = xxhash_rust::xxh3::xxh3_64(shared.settings.vm.as_bytes());
    Feed::Journals((hash % SLOTS) as u16)
}

/// Reads the clocks of the VM.
fn clocks() -> ClockReading {
    let mut steady = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer leads to a local value of the right type, and the call writes nothing else.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_MONOTONIC, &mut steady) };
    let steady_ms = if result == 0 {
        steady.tv_sec as u64 * 1_000 + steady.tv_nsec as u64 / 1_000_000
    } else {
        log::error!(step = "journal"; "no steady clock: {}", std::io::Error::last_os_error());
        0
    };
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    ClockReading {
        steady_ms,
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
        // Without a boot id the clocks alone tell a restart of the VM.
        boot: std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default(),
    }
}
