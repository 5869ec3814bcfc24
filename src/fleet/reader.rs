//! The task that reads and folds the log.

use std::rc::Rc;
use std::time::Duration;

use super::{log_return, restore, Inner};
use crate::ids::Offset;
use crate::log_client::{Page, FLEET_STREAM};

/// Largest number of records that one read requests.
const MAX_PAGE_RECORDS: u32 = 512;

/// Pause after a failed read.
const RETRY_MS: u64 = 200;

/// Pause before the snapshots are read again because records are missing; longer than [`RETRY_MS`], because such a read
/// can be as large as the state.
const GAP_RETRY_MS: u64 = 1_000;

/// Longest wait of a read while it is not known whether the log is complete, so that the answer is found soon.
const UNVERIFIED_POLL_WAIT_MS: u64 = 50;

/// Reads and folds the log until the connection is stopped.
pub(super) async fn run(inner: Rc<Inner>) {
    let mut is_restored = false;
    let mut checked_since_ms = None;
    let mut max_records = MAX_PAGE_RECORDS;
    let mut last_read_ms = inner.now_ms();
    loop {
        if !is_restored {
            is_restored = restore::from_log(&inner).await;
            if !is_restored {
                inner.set_log_available(&inner.last_read_succeeded, false);
                pause(RETRY_MS).await;
                continue;
            }
        }
        let unverified_since_ms = inner.log_unverified_since_ms.get();
        if unverified_since_ms > checked_since_ms {
            match log_return::restore_log(&inner).await {
                Ok(true) => {
                    checked_since_ms = unverified_since_ms;
                    last_read_ms = inner.now_ms();
                    // Peers wait for it as this process waits for theirs.
                    inner.broadcast_heartbeat();
                }
                Ok(false) => {
                    on_unreadable(&inner);
                    pause(RETRY_MS).await;
                    continue;
                }
                Err(error) => {
                    log::debug!("{error}");
                    inner.mark_log_unverified();
                    on_unreadable(&inner);
                    pause(RETRY_MS).await;
                    continue;
                }
            }
        }
        let from = inner.state.borrow().next_offset;
        let poll_wait_ms = inner.settings.timing.poll_wait_ms;
        let wait_ms = match unverified_since_ms {
            Some(_) => poll_wait_ms.min(UNVERIFIED_POLL_WAIT_MS),
            None => poll_wait_ms,
        };
        let result = monoio::select! {
            result = inner.log.read(FLEET_STREAM, from, max_records, wait_ms) => result,
            // A log that is unverified since a failed append is checked without waiting for a record.
            () = inner.wait_for_newer_interruption(unverified_since_ms) => continue,
        };
        // A process that was suspended may have missed an outage of the log.
        let limit_ms = poll_wait_ms + inner.settings.timing.append_timeout_ms;
        let now_ms = inner.now_ms();
        let was_suspended = now_ms > std::mem::replace(&mut last_read_ms, now_ms) + limit_ms;
        match result {
            Ok(page) if page.next < from || was_suspended => {
                inner.mark_log_unverified();
            }
            Ok(page) => {
                max_records = (2 * max_records).min(MAX_PAGE_RECORDS);
                inner.wait_for_encoding().await;
                if fold_page(&inner, &page) {
                    inner.set_log_available(&inner.last_read_succeeded, true);
                    if inner.log_unverified_since_ms.get() == unverified_since_ms {
                        verify_complete_log(&inner, page.next);
                    }
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
                inner.mark_log_unverified();
                on_unreadable(&inner);
                pause(RETRY_MS).await;
            }
        }
    }
}

/// Records that the log is verified if this process has folded the log up to its end, and no peer has folded more.
fn verify_complete_log(inner: &Inner, end: Offset) {
    let Some(since_ms) = inner.log_unverified_since_ms.get() else {
        return;
    };
    let is_caught_up = inner.state.borrow().next_offset == end;
    if is_caught_up && inner.has_folded_as_peers(since_ms) {
        inner.mark_log_verified();
    }
}

/// Lets the process continue as it does without the log, with records from peers.
fn on_unreadable(inner: &Inner) {
    if inner.last_read_succeeded.get() {
        inner.set_log_available(&inner.last_read_succeeded, false);
        restore::request_records_from_peers(inner);
    }
    inner
        .detector
        .borrow_mut()
        .on_caught_up(false, inner.now_ms());
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
