//! Follows the configuration and the upstreams in the store.
//!
//! The configuration changes rarely but must take effect quickly, so its feed is read by long polling. Upstreams write
//! all the time, so their feed is polled at intervals.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{rollouts, Shared};
use crate::directory::UpstreamChange;
use crate::platform::documents::{self, CONFIGURATION_KEY};
use crate::routing::RoutingTable;
use crate::store::{Changes, Feed, Record, Snapshot, Store};

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

/// Time without a successful read that counts as an outage of the store.
const OUTAGE_MS: u64 = 1_000;

/// Reader of one feed: a snapshot first, then the changes.
pub(super) struct FeedReader {
    feed: Feed,
    position: Option<u64>,
    needs_snapshot: bool,
    /// Number of failed reads since the last successful one.
    failures: u32,
    read_ms: u64,
}

/// Records from one read.
pub(super) struct Batch {
    /// Records in the order in which they were written.
    pub(super) records: Vec<Record>,
    /// Whether the records are the newest ones of all keys.
    pub(super) is_snapshot: bool,
    /// Whether this read ended an outage of the store.
    after_outage: bool,
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
        }
    }

    /// Reads the snapshot or the next changes; returns `None` if the read failed or the next one must be a snapshot.
    pub(super) async fn read(&mut self, shared: &Shared, wait_ms: u64) -> Option<Batch> {
        let result = match self.position {
            Some(position) if !self.needs_snapshot => {
                shared.store.changes(self.feed, position, wait_ms).await
            }
            _ => shared.store.snapshot(self.feed).await.map(|snapshot| {
                let Snapshot { records, end } = snapshot;
                self.position = None;
                Changes::Records { records, end }
            }),
        };
        match result {
            Ok(Changes::Records { records, end }) => {
                let is_snapshot = self.position.is_none();
                self.position = Some(end);
                self.needs_snapshot = false;
                let after_outage = self.record_success(shared);
                Some(Batch {
                    records,
                    is_snapshot,
                    after_outage,
                })
            }
            Ok(Changes::PositionExpired) => {
                log::info!(
                    step = "follow", feed = format!("{:?}", self.feed);
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

    fn record_failure(&mut self, error: &crate::store::Error) {
        if self.failures == 0 {
            log::warn!(step = "follow", feed = format!("{:?}", self.feed); "store lost: {error}");
        }
        self.failures += 1;
    }
}

/// Applies each newer configuration until the process ends.
pub(super) async fn watch_configuration(shared: Rc<Shared>) {
    let mut reader = FeedReader::new(Feed::Operator);
    loop {
        let Some(batch) = reader.read(&shared, CONFIGURATION_LONG_POLL_MS).await else {
            continue;
        };
        shared.table_read_ms.set(shared.now_ms());
        for record in &batch.records {
            if record.key == CONFIGURATION_KEY {
                apply_configuration(&shared, record);
            } else {
                rollouts::apply_order(&shared, record, batch.is_snapshot);
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
            remove_expired(&shared);
            let factor = shared.interval_factor().min(MAX_UPSTREAM_INTERVAL_FACTOR);
            monoio::time::sleep(UPSTREAM_POLL_INTERVAL * factor).await;
        }
    }
}

fn apply_upstreams(shared: &Shared, batch: Batch) {
    let now_ms = shared.now_ms();
    if batch.after_outage {
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
        shared
            .directory
            .borrow_mut()
            .apply_snapshot(entries, now_ms);
        return;
    }
    for (id, entry) in entries {
        let change = shared
            .directory
            .borrow_mut()
            .apply(id.clone(), entry, now_ms);
        if change != UpstreamChange::None {
            apply_change(shared, &id, change);
        }
    }
}

fn apply_change(shared: &Shared, id: &str, change: UpstreamChange) {
    let state = match change {
        UpstreamChange::Added => "added",
        UpstreamChange::Draining => "leaving",
        UpstreamChange::Removed => "removed",
        UpstreamChange::None => return,
    };
    log::info!(step = "upstream", upstream = id, state = state; "upstream {state}");
    shared.pool.close_all(id);
    if change != UpstreamChange::Draining {
        shared.placement.borrow_mut().reset(id);
        shared.limits.forget(id);
    }
}

fn remove_expired(shared: &Shared) {
    let removed = shared.directory.borrow_mut().expire(shared.now_ms());
    for id in removed {
        apply_change(shared, &id, UpstreamChange::Removed);
    }
}
