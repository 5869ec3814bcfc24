//! The task that reads and folds the log.

use std::rc::Rc;
use std::time::Duration;

use super::{restore, Inner};
use crate::log_client::{Page, FLEET_STREAM};

/// Largest number of records that one read requests.
const MAX_PAGE_RECORDS: u32 = 512;

/// Pause after a failed read.
const RETRY_MS: u64 = 200;

/// Pause before the snapshots are read again because records are missing; longer than [`RETRY_MS`], because such a read
/// can be as large as the state.
const GAP_RETRY_MS: u64 = 1_000;

/// Reads and folds the log until the connection is stopped.
pub(super) async fn run(inner: Rc<Inner>) {
    let mut is_restored = false;
    let mut max_records = MAX_PAGE_RECORDS;
    loop {
        if !is_restored {
            is_restored = restore::from_log(&inner).await;
            if !is_restored {
                inner.set_log_available(&inner.last_read_succeeded, false);
                pause(RETRY_MS).await;
                continue;
            }
        }
        let from = inner.state.borrow().next_offset;
        let wait_ms = inner.settings.timing.poll_wait_ms;
        match inner
            .log
            .read(FLEET_STREAM, from, max_records, wait_ms)
            .await
        {
            Ok(page) => {
                max_records = (2 * max_records).min(MAX_PAGE_RECORDS);
                inner.wait_for_encoding().await;
                if fold_page(&inner, &page) {
                    inner.set_log_available(&inner.last_read_succeeded, true);
                    pause(inner.settings.timing.poll_interval_ms).await;
                } else {
                    // The log no longer holds the next record, so a snapshot from the log or a peer is needed.
                    inner.set_log_available(&inner.last_read_succeeded, false);
                    is_restored = false;
                    pause(GAP_RETRY_MS).await;
                }
            }
            Err(error) => {
                log::debug!("{error}");
                // A page of large records can exceed the size or time limit of a response.
                max_records = (max_records / 4).max(1);
                if inner.last_read_succeeded.get() {
                    inner.set_log_available(&inner.last_read_succeeded, false);
                    restore::request_records_from_peers(&inner);
                }
                inner
                    .detector
                    .borrow_mut()
                    .on_caught_up(false, inner.now_ms());
                pause(RETRY_MS).await;
            }
        }
    }
}

/// Folds a page; returns false if the log has dropped records that are not folded yet.
fn fold_page(inner: &Inner, page: &Page) -> bool {
    inner
        .log_next_offset
        .set(inner.log_next_offset.get().max(page.next));
    inner.log_oldest_offset.set(page.oldest);
    let next = inner.state.borrow().next_offset;
    if page.oldest > next {
        log::warn!(
            "the log starts at offset {}, but the next record to fold is {next}",
            page.oldest
        );
        return false;
    }
    for record in &page.records {
        inner.fold(record.offset, &record.payload);
    }
    let is_caught_up = inner.state.borrow().next_offset >= page.next;
    inner
        .detector
        .borrow_mut()
        .on_caught_up(is_caught_up, inner.now_ms());
    let is_first_state = is_caught_up
        && !inner
            .has_state
            .replace(is_caught_up || inner.has_state.get());
    if is_first_state || !page.records.is_empty() {
        inner.after_fold();
    }
    true
}

async fn pause(ms: u64) {
    monoio::time::sleep(Duration::from_millis(ms)).await;
}
