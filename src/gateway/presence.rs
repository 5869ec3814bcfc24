//! Presence of the gateways and the requests that each one serves, from which shared limits are split.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::watch::{Batch, FeedReader};
use super::{limits, Shared};
use crate::shared_limits::Presence;
use crate::store::{Feed, Record, Store, FIRST_EPOCH};

/// Interval between two reports in a small fleet; the store charges for every report.
const REPORT_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time over which a small fleet spreads the reports after the store returned from an older copy, because the store
/// accepts a limited number of writes per second.
const REPORT_SPREAD_MS: u32 = 500;

/// Interval between two reads of the reports in a small fleet.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two reads at least, so that datagrams from strangers cannot flood the store.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two reads from which on reports of other gateways may have been missed.
const MAX_READ_GAP_MS: u64 = 1_500;

/// Reports the presence of this process until it shuts down.
pub(super) async fn report(shared: Rc<Shared>) {
    while !shared.is_stopping() {
        // The store may have forgotten a report that was under way when it returned from an older copy.
        let epoch = shared.store.epoch().max(FIRST_EPOCH);
        let reported = shared.load.is_reported.get();
        write_report(&shared, false).await;
        let factor = shared.interval_factor();
        let interval = monoio::time::sleep(REPORT_INTERVAL * factor);
        let congestion_changed = shared
            .load
            .report_changed
            .wait_for(|| (shared.load.is_reported.get() != reported).then_some(()));
        let is_forgotten = monoio::select! {
            () = interval => false,
            () = congestion_changed => false,
            _ = shared.store.epoch_after(epoch) => true,
        };
        if is_forgotten {
            let delay_ms = shared.random() % (REPORT_SPREAD_MS * factor);
            monoio::time::sleep(Duration::from_millis(delay_ms.into())).await;
        }
    }
}

/// Writes one report; a failed write is not repeated, because the next report follows soon.
pub(super) async fn write_report(shared: &Shared, is_leaving: bool) {
    let rule = shared.settings.fleet.retry_rule();
    let now_ms = shared.now_ms();
    shared.reports.set(shared.reports.get() + 1);
    let requests = shared
        .retries
        .borrow_mut()
        .values_mut()
        .map(|limit| limit.recent_requests(rule, now_ms))
        .sum();
    let presence = Presence {
        data_centre: shared.settings.data_centre.clone(),
        router: shared.router_id,
        requests,
        peer_address: shared.peer_socket.address(),
        weight_permille: shared.settings.resources.weight_permille(),
        is_leaving,
        is_congested: shared.load.is_reported.get(),
        sequence: Some(shared.reports.get()),
    };
    // A value of strings and numbers always serialises.
    let value = serde_json::to_vec(&presence).unwrap_or_default();
    let record = Record {
        key: shared.settings.vm.clone(),
        value: Some(value.into()),
    };
    match shared.store.append(Feed::Routers, None, record).await {
        Ok(_) => limits::record_reported(shared, now_ms),
        Err(error) => log::debug!(step = "report presence"; "{error}"),
    }
}

/// Returns the addresses of other gateways that have reported their presence at any time, for use at start-up, before
/// new reports have been read.
pub(super) async fn peer_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let snapshot = match shared.store.snapshot(Feed::Routers).await {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::debug!(step = "read presence"; "{error}");
            return Vec::new();
        }
    };
    let others = snapshot
        .records
        .iter()
        .filter(|record| record.key != shared.settings.vm);
    others
        .filter_map(|record| {
            let presence: Presence = serde_json::from_slice(record.value.as_deref()?).ok()?;
            presence.peer_address
        })
        .collect()
}

/// Reads the reports of all gateways.
///
/// Reports from before this process started count as if they were new, because after a restart of all gateways the same
/// ones are back; those that are not expire. While the reports cannot be read, no gateway is considered gone.
pub(super) async fn watch(shared: Rc<Shared>) {
    let mut reader = FeedReader::new(Feed::Routers);
    let mut read_ms = shared.now_ms();
    loop {
        let factor = shared.interval_factor();
        let epoch = shared.store.epoch();
        let Some(batch) = reader.read(&shared, 0).await else {
            monoio::time::sleep(MIN_READ_INTERVAL).await;
            continue;
        };
        let now_ms = shared.now_ms();
        let gap_ms = now_ms.saturating_sub(std::mem::replace(&mut read_ms, now_ms));
        apply_batch(&shared, batch, gap_ms);
        monoio::time::sleep(MIN_READ_INTERVAL).await;
        let stranger = shared
            .stranger_seen
            .wait_for(|| shared.is_stranger_seen.replace(false).then_some(()));
        let read_early = async {
            monoio::select! {
                () = stranger => {}
                _ = shared.store.epoch_after(epoch) => {}
            }
        };
        // Whether there is a reason to read early or a read is due, the next read follows.
        let _ = monoio::time::timeout(READ_INTERVAL * factor, read_early).await;
    }
}

fn apply_batch(shared: &Shared, batch: Batch, gap_ms: u64) {
    let factor = u64::from(shared.interval_factor());
    let mut routers = shared.routers.borrow_mut();
    if gap_ms > MAX_READ_GAP_MS * factor {
        routers.postpone_expiry(gap_ms);
    }
    routers.expire(shared.now_ms());
    drop(routers);
    for record in batch.records {
        apply(shared, record);
    }
    // A change of the fleet can make this gateway the coordinator of a limit, or end that.
    limits::tidy(shared);
    let routers = shared.routers.borrow();
    let mut monitor = shared.peer_monitor.borrow_mut();
    monitor.retain(|peer| routers.is_member(peer));
}

fn apply(shared: &Shared, record: Record) {
    let presence = record.value.as_deref().map(serde_json::from_slice);
    match presence {
        Some(Ok(presence)) => {
            let now_ms = shared.now_ms();
            let mut routers = shared.routers.borrow_mut();
            routers.apply(record.key, Some(presence), now_ms);
        }
        Some(Err(error)) => {
            log::warn!(
                step = "read presence", peer = record.key.as_str();
                "skipped a presence report that cannot be decoded: {error}"
            );
        }
        None => {}
    }
}
