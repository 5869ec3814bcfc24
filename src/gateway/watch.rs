//! Follows the configuration and the upstreams in the store.
//!
//! The configuration changes rarely but must take effect quickly, so its feed is read by long polling. Upstreams write
//! all the time, so their feed is polled at intervals.
//!
//! A position is valid only within the epoch of the store in which it was read. After the store has returned from an
//! older copy, the feed can grow past the old position with other records, so every feed is read anew from a snapshot.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::{cold_upstreams, evacuations, rollouts, Shared};
use crate::directory::{UpstreamChange, UpstreamEntry};
use crate::platform::documents::{self, CONFIGURATION_KEY};
use crate::routing::RoutingTable;
use crate::store::{self, Changes, Feed, Record, Snapshot, Store};
use crate::version_canary::{OrderSource, ORDER_REPEAT_MS};

/// Time for which the store may hold a read of the configuration; it bounds how long a dead connection goes unnoticed.
const CONFIGURATION_LONG_POLL_MS: u64 = 500;

/// Interval between two reads of the upstreams; an upstream must receive no new requests 2 s after it reported that it
/// is draining.
const UPSTREAM_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Largest factor by which that interval grows with the size of the fleet; the response of the store takes time as
/// well.
const MAX_UPSTREAM_INTERVAL_FACTOR: u32 = 2;

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Size of the records of one read up to which the read surely reached the end of the feed; the store returns at least
/// twice as much at once.
const MAX_COMPLETE_BYTES: usize = 256 << 10;

/// Time without a successful read that counts as an outage of the store.
const OUTAGE_MS: u64 = 1_000;

/// Position up to which a feed was read.
#[derive(Clone, Copy)]
pub(super) struct FeedPosition {
    pub(super) end: u64,
    /// Epoch of the store in which alone the position is valid.
    pub(super) epoch: u64,
}

/// Reader of one feed: a snapshot first, then the changes.
pub(super) struct FeedReader {
    feed: Feed,
    position: Option<FeedPosition>,
    needs_snapshot: bool,
    /// Number of failed reads since the last successful one.
    failures: u32,
    read_ms: u64,
    /// Start of the last read that reached the end of the feed.
    complete_ms: u64,
}

/// Records from one read.
pub(super) struct Batch {
    /// Records in the order in which they were written.
    pub(super) records: Vec<Record>,
    /// Whether the records are the newest ones of all keys.
    pub(super) is_snapshot: bool,
    /// Whether the records are the first ones that were read after the store returned from an older copy, so that they
    /// may be older than those read before.
    pub(super) is_restored: bool,
    /// Whether this read ended an outage of the store.
    after_outage: bool,
    /// Time before which none of the records of a change was written.
    written_after_ms: u64,
}

impl Batch {
    fn size_bytes(&self) -> usize {
        let sizes = self.records.iter().map(|record| {
            let value = record.value.as_ref().map_or(0, |value| value.len());
            record.key.len() + value
        });
        sizes.sum()
    }
}

impl FeedReader {
    /// Creates a reader that has read nothing yet.
    pub(super) fn new(feed: Feed) -> Self {
        Self {
            feed,
            position: None,
            needs_snapshot: false,
            failures: 0,
            read_ms: 0,
            complete_ms: 0,
        }
    }

    /// Returns the position up to which the feed has been read.
    pub(super) fn position(&self) -> Option<FeedPosition> {
        self.position
    }

    /// Reads the snapshot or the next changes; returns `None` if the read failed or the next one must be a snapshot.
    pub(super) async fn read(&mut self, shared: &Shared, wait_ms: u64) -> Option<Batch> {
        let started_ms = shared.now_ms();
        let result = match self.position {
            Some(position) if !self.needs_snapshot && position.epoch == shared.store.epoch() => {
                self.read_changes(shared, position, wait_ms).await
            }
            _ => self.read_snapshot(shared).await.map(Some),
        };
        match result {
            Ok(Some(mut batch)) => {
                batch.after_outage = self.record_success(shared);
                batch.written_after_ms = self.complete_ms;
                if batch.is_snapshot || batch.size_bytes() < MAX_COMPLETE_BYTES {
                    self.complete_ms = started_ms;
                }
                Some(batch)
            }
            Ok(None) => {
                log::info!(
                    step = "follow", feed = format!("{:?}", self.feed),
                    store_epoch = shared.store.epoch(), at_ms = shared.now_ms();
                    "the store no longer holds the position, reading a snapshot"
                );
                self.needs_snapshot = true;
                None
            }
            Err(error) => {
                self.record_failure(&error);
                monoio::time::sleep(RETRY_DELAY).await;
                None
            }
        }
    }

    /// Reads the changes; returns `None` if the position is not valid any more.
    async fn read_changes(
        &mut self,
        shared: &Shared,
        position: FeedPosition,
        wait_ms: u64,
    ) -> Result<Option<Batch>, store::Error> {
        let changes = shared.store.changes(self.feed, position.end, wait_ms);
        match changes.await? {
            // The records at this position are others if the store returned while it held the call.
            Changes::Records { records, end } if position.epoch == shared.store.epoch() => {
                self.position = Some(FeedPosition { end, ..position });
                Ok(Some(Batch {
                    records,
                    is_snapshot: false,
                    is_restored: false,
                    after_outage: false,
                    written_after_ms: 0,
                }))
            }
            Changes::Records { .. } | Changes::PositionExpired => Ok(None),
        }
    }

    async fn read_snapshot(&mut self, shared: &Shared) -> Result<Batch, store::Error> {
        let Snapshot {
            records,
            end,
            epoch,
        } = shared.store.snapshot(self.feed).await?;
        let previous = self.position.replace(FeedPosition { end, epoch });
        let is_restored = previous.is_some_and(|previous| previous.epoch < epoch);
        if is_restored {
            log::info!(
                step = "follow", feed = format!("{:?}", self.feed), store_epoch = epoch,
                records = records.len(), at_ms = shared.now_ms();
                "read anew, because the store returned from an older copy"
            );
        }
        self.needs_snapshot = false;
        Ok(Batch {
            records,
            is_snapshot: true,
            is_restored,
            after_outage: false,
            written_after_ms: 0,
        })
    }

    /// Reads the snapshot or the next changes like [`FeedReader::read`], but not before `wait_ms` have passed if there
    /// are no changes: the store does not hold a read of a topic that has no record yet.
    pub(super) async fn read_held(&mut self, shared: &Shared, wait_ms: u64) -> Option<Batch> {
        let started = Instant::now();
        let batch = self.read(shared, wait_ms).await?;
        if batch.records.is_empty() && !batch.is_snapshot {
            let wait = Duration::from_millis(wait_ms).saturating_sub(started.elapsed());
            monoio::time::sleep(wait).await;
        }
        Some(batch)
    }

    fn record_success(&mut self, shared: &Shared) -> bool {
        let now_ms = shared.now_ms();
        let age_ms = now_ms.saturating_sub(self.read_ms);
        self.read_ms = now_ms;
        let failures = std::mem::take(&mut self.failures);
        if failures > 0 {
            log::info!(
                step = "follow", feed = format!("{:?}", self.feed), age_ms = age_ms,
                failures = failures;
                "store is back"
            );
        }
        failures > 0 && age_ms > OUTAGE_MS
    }

    fn record_failure(&mut self, error: &store::Error) {
        if self.failures == 0 {
            log::warn!(step = "follow", feed = format!("{:?}", self.feed); "store lost: {error}");
        }
        self.failures += 1;
    }
}

/// Applies each newer configuration until the process ends.
pub(super) async fn watch_configuration(shared: Rc<Shared>) {
    let mut reader = FeedReader::new(Feed::Operator);
    let mut restored_ms = None;
    loop {
        let Some(batch) = reader.read(&shared, CONFIGURATION_LONG_POLL_MS).await else {
            continue;
        };
        let now_ms = shared.now_ms();
        shared.table_read_ms.set(now_ms);
        if batch.is_restored {
            restored_ms = Some(now_ms);
        }
        let source = match restored_ms {
            Some(restored_ms) if now_ms < restored_ms + ORDER_REPEAT_MS => OrderSource::AfterReturn,
            _ if batch.is_snapshot => OrderSource::Snapshot,
            _ => OrderSource::Change,
        };
        // Before the configuration, because the first one lets this gateway serve.
        evacuations::apply(&shared, &batch);
        for record in &batch.records {
            if record.key == CONFIGURATION_KEY {
                apply_configuration(&shared, record);
            } else {
                // Other keys are ignored there.
                rollouts::apply_order(&shared, record, source);
            }
        }
    }
}

fn apply_configuration(shared: &Shared, record: &Record) {
    let Some(value) = &record.value else {
        log::warn!(
            step = "configuration";
            "the configuration record is empty, keeping the current configuration"
        );
        return;
    };
    let definition = match documents::decode_configuration(value) {
        Ok(definition) => definition,
        Err(error) => {
            log::warn!(step = "configuration"; "keeping the current configuration: {error}");
            return;
        }
    };
    let current = shared.table.borrow().as_ref().map(|table| table.version());
    if current.is_some_and(|version| version >= definition.version) {
        return;
    }
    log::info!(
        step = "configuration", version = definition.version, replaces = current.unwrap_or(0),
        routes = definition.routes.len(), teams = definition.teams.len(); "configuration in force"
    );
    let table = Rc::new(RoutingTable::new(definition));
    shared.table.borrow_mut().replace(Rc::clone(&table));
    shared.budgets.configure(&table);
}

/// Keeps the directory of upstreams up to date until the process ends.
pub(super) async fn watch_upstreams(shared: Rc<Shared>) {
    let mut reader = FeedReader::new(Feed::Upstreams);
    loop {
        if let Some(batch) = reader.read(&shared, 0).await {
            apply_upstreams(&shared, batch);
            shared.directory_read_ms.set(shared.now_ms());
            shared.is_directory_loaded.set(true);
            apply_due_changes(&shared);
            let factor = shared.interval_factor().min(MAX_UPSTREAM_INTERVAL_FACTOR);
            monoio::time::sleep(UPSTREAM_POLL_INTERVAL * factor).await;
        }
    }
}

fn apply_upstreams(shared: &Shared, batch: Batch) {
    let now_ms = shared.now_ms();
    if batch.after_outage || batch.is_restored {
        shared.directory.borrow_mut().store_recovered(now_ms);
    }
    let decode = |record: &Record| {
        let value = record.value.as_ref()?;
        match documents::decode_entry(value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                log::warn!(
                    step = "upstream entry", upstream = record.key.as_str();
                    "ignored an upstream entry that cannot be decoded: {error}"
                );
                None
            }
        }
    };
    let entries: Vec<_> = batch
        .records
        .iter()
        .map(|record| (record.key.clone(), decode(record)))
        .collect();
    if batch.is_snapshot {
        let mut directory = shared.directory.borrow_mut();
        let changes = directory.apply_snapshot(entries, now_ms);
        drop(directory);
        // All upstreams of the first snapshot are new, and nothing is known of them that would have to be reset.
        if shared.is_directory_loaded.get() {
            for (id, change) in changes {
                apply_change(shared, &id, change);
            }
        }
        return;
    }
    for (id, entry) in entries {
        apply_entry(shared, &id, entry, batch.written_after_ms);
    }
}

/// Applies an entry that was written after a time.
fn apply_entry(
    shared: &Shared,
    id: &CompactString,
    entry: Option<UpstreamEntry>,
    written_after_ms: u64,
) {
    let written = entry.clone();
    let change = shared
        .directory
        .borrow_mut()
        .apply(id.clone(), entry, shared.now_ms());
    if change != UpstreamChange::None {
        apply_change(shared, id, change);
    }
    if let Some(entry) = written.filter(|_| change != UpstreamChange::Outdated) {
        cold_upstreams::record_entry(shared, id, &entry, written_after_ms);
    }
}

fn apply_change(shared: &Shared, id: &str, change: UpstreamChange) {
    let state = match change {
        UpstreamChange::Added => "added",
        UpstreamChange::Draining => "leaving",
        UpstreamChange::Removed => "removed",
        UpstreamChange::Outdated => {
            log::info!(
                step = "upstream", upstream = id, at_ms = shared.now_ms();
                "ignored an entry that is older than the known one"
            );
            return;
        }
        UpstreamChange::None => return,
    };
    log::info!(step = "upstream", upstream = id, state = state; "upstream {state}");
    shared.pool.close_all(id);
    if change != UpstreamChange::Draining {
        shared.placement.borrow_mut().reset(id);
        shared.limits.forget(id);
        cold_upstreams::forget(shared, id);
        shared.beliefs.borrow_mut().forget(id);
    }
}

/// Removes the upstreams whose grace period has ended, and adds those whose entries were confirmed.
fn apply_due_changes(shared: &Shared) {
    let removed = shared.directory.borrow_mut().expire(shared.now_ms());
    for id in removed {
        apply_change(shared, &id, UpstreamChange::Removed);
    }
    let confirmed = shared.directory.borrow_mut().add_confirmed(shared.now_ms());
    for id in confirmed {
        apply_change(shared, &id, UpstreamChange::Added);
    }
}
