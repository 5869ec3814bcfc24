//! Detects that the log has returned from an older copy, and appends the folded records that it lacks.
//!
//! The interface of the log has no generation number, so each failed call and each pause raises the question whether
//! records are gone. Until it is answered the process appends nothing, because a grant, a claim or a closure that
//! precedes the missing records would be decided without them. See `docs/design.md`, section 6.

use bytes::Bytes;

use super::{restore, Inner};
use crate::ids::{IncarnationId, Offset};
use crate::log_client::{Error, Record, FLEET_STREAM};
use crate::log_history::HistoryCheck;
use crate::membership::MemberPhase;

/// Number of records that one read for the comparison requests.
const PAGE_RECORDS: u32 = 512;

/// Number of the last folded records that the log has to hold at their offsets to be taken for complete.
///
/// The last one alone is not enough: it may be a repeated batch, of which one copy is at the offset of the other.
pub(super) const LAST_RECORDS: u32 = 16;

impl Inner {
    /// Records that the log may have lost records since the last time at which it was seen complete.
    pub(super) fn mark_log_unverified(&self) {
        // Later than the time before, so that a check that has begun does not answer this one.
        let earliest_ms = self
            .log_unverified_since_ms
            .get()
            .map_or(0, |since| since + 1);
        self.log_unverified_since_ms
            .set(Some(self.now_ms().max(earliest_ms)));
        self.log_verification_changed.notify();
    }

    /// Waits until the log is known to hold all records that this process and its live peers have folded.
    pub(super) async fn wait_for_verified_log(&self) {
        self.log_verification_changed
            .wait_for(|| self.log_unverified_since_ms.get().is_none().then_some(()))
            .await;
    }

    /// Waits until the log is unverified since a later time than `since_ms`.
    pub(super) async fn wait_for_newer_interruption(&self, since_ms: Option<u64>) {
        self.log_verification_changed
            .wait_for(|| (self.log_unverified_since_ms.get() > since_ms).then_some(()))
            .await;
    }

    /// Records that the log is complete, and appends again what the log confirmed but this process has not folded.
    pub(super) fn mark_log_verified(&self) {
        self.log_unverified_since_ms.set(None);
        self.loss_found_ms.set(None);
        self.folded_by_peers.borrow_mut().clear();
        self.writer.borrow_mut().resend_unfolded();
        self.log_verification_changed.notify();
    }

    /// Returns whether this process has folded all records that peers have folded.
    ///
    /// The offsets of two processes cannot be compared while the log is being restored, so the last records are. A peer
    /// without a recent heartbeat is not waited for, except at the start, when no peer has sent one yet. The log may have
    /// lost the records that opened peers, so those in the VM list are waited for too.
    pub(super) fn has_folded_as_peers(&self, since_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let has_started = now_ms >= self.settings.timing.heartbeat_timeout_ms;
        let own = self.incarnation.get();
        let detector = self.detector.borrow();
        let is_heard = |id: IncarnationId| {
            id == own
                || detector.has_heartbeat_since(id, since_ms)
                || (has_started && !detector.is_live(id, now_ms))
        };
        let state = self.state.borrow();
        let mut members = state.members.iter();
        let are_members_heard =
            members.all(|(id, member)| member.phase != MemberPhase::Open || is_heard(id));
        let table = self.peers.borrow();
        let are_listed_heard = table.connected().all(is_heard)
            && (has_started || table.has_dialled_listed_vms(&self.settings.vm, &self.address));
        let tail = self.log_tail.borrow();
        let next_offset = state.next_offset;
        let has_folded = |next: Offset, hash: u64| match hash {
            0 => next <= next_offset,
            _ => next <= tail.first_offset() || tail.contains(hash),
        };
        let folded_by_peers = self.folded_by_peers.borrow();
        are_members_heard
            && are_listed_heard
            && folded_by_peers
                .values()
                .all(|&(next, hash)| has_folded(next, hash))
    }

    /// Returns whether this process is the one of its live peers that appends the missing records.
    ///
    /// If that one fails to do so within the heartbeat timeout, all others append them.
    fn is_restorer(&self) -> bool {
        let now_ms = self.now_ms();
        let found_ms = self.loss_found_ms.get().unwrap_or(now_ms);
        self.loss_found_ms.set(Some(found_ms));
        if now_ms > found_ms + self.settings.timing.heartbeat_timeout_ms {
            return true;
        }
        let own = (
            std::cmp::Reverse(self.state.borrow().next_offset),
            self.incarnation.get(),
        );
        self.live_peers()
            .into_iter()
            .all(|peer| own < (std::cmp::Reverse(peer.next_offset), peer.incarnation))
    }
}

/// Checks that the log holds the folded records, and appends those that it lacks.
///
/// Returns whether the log holds all of them.
///
/// # Errors
///
/// Returns an error if the log could not be read or appended to.
pub(super) async fn restore_log(inner: &Inner) -> Result<bool, Error> {
    let next_offset = inner.state.borrow().next_offset;
    if next_offset == 0 {
        return Ok(true);
    }
    if inner.is_state_from_peer.get() {
        return restore::rebuild_from_log(inner).await;
    }
    let from = next_offset.saturating_sub(LAST_RECORDS.into());
    let page = inner.log.read(FLEET_STREAM, from, LAST_RECORDS, 0).await?;
    let are_last_equal = {
        let tail = inner.log_tail.borrow();
        page.records.iter().all(|record| {
            let own = tail.record_at(record.offset);
            own.is_none_or(|own| *own == record.payload)
        })
    };
    if page.oldest >= next_offset || (page.next >= next_offset && are_last_equal) {
        return Ok(true);
    }
    log::error!(
        step = "log_return";
        "the log has returned from an older copy: it ends at offset {}, and other records below offset {next_offset} \
         were folded",
        page.next
    );
    let (first_offset, folded) = inner.log_tail.borrow().to_parts();
    if folded.is_empty() || page.next < first_offset {
        log::warn!(
            step = "log_return";
            "records from offset {} on are not retained here; waiting for a peer to restore them", page.next
        );
        return Ok(false);
    }
    let skipped = page.oldest.saturating_sub(first_offset) as usize;
    let mut check = HistoryCheck::new(
        first_offset.max(page.oldest),
        folded.into_iter().skip(skipped).collect(),
    );
    if !compare(inner, &mut check, page.next).await? {
        return Ok(false);
    }
    if !check.is_complete() && !inner.is_restorer() {
        return Ok(false);
    }
    append_missing(inner, &mut check).await?;
    inner.wait_for_encoding().await;
    if !check.is_complete() || inner.state.borrow().next_offset != next_offset {
        return Ok(false);
    }
    // The log holds each of them besides the folded records, so the next offset stays below its end.
    for payload in check.new_opens() {
        let offset = inner.state.borrow().next_offset;
        inner.fold(offset, payload);
    }
    let restored_offset = check.next_offset();
    let (first_offset, payloads) = check.into_logged();
    inner.state.borrow_mut().next_offset = restored_offset;
    inner.log_tail.borrow_mut().replace(first_offset, payloads);
    inner.after_fold();
    log::info!(step = "log_return"; "the log holds all folded records again, up to offset {restored_offset}");
    Ok(true)
}

/// Compares the log up to offset `end` with the folded records until all are found; returns false if a record is
/// foreign.
async fn compare(inner: &Inner, check: &mut HistoryCheck, end: Offset) -> Result<bool, Error> {
    while !check.is_complete() && check.next_offset() < end {
        let from = check.next_offset();
        let page = inner.log.read(FLEET_STREAM, from, PAGE_RECORDS, 0).await?;
        if page.records.is_empty() {
            return Ok(false);
        }
        for record in &page.records {
            // The records behind the last folded one are read and folded as usual.
            if check.is_complete() {
                break;
            }
            if let Err(foreign) = push(inner, check, record) {
                log::error!(
                    step = "log_return";
                    "cannot restore the log: the record at offset {} precedes {} missing ones; \
                     nothing is appended until the log holds them",
                    foreign.offset, check.missing().count()
                );
                return Ok(false);
            }
        }
    }
    Ok(true)
}

/// Appends the missing records, as long as no record of another process comes between those whose order matters.
async fn append_missing(inner: &Inner, check: &mut HistoryCheck) -> Result<(), Error> {
    while !check.is_complete() {
        let Some(payload) = check.missing().next().cloned() else {
            break;
        };
        let offset = inner
            .log
            .append(FLEET_STREAM, Bytes::from(payload.clone()))
            .await?;
        if offset != check.next_offset() {
            break;
        }
        let record = Record { offset, payload };
        if push(inner, check, &record).is_err() {
            break;
        }
    }
    if check.is_complete() {
        for payload in check.missing() {
            let payload = Bytes::from(payload.clone());
            inner.log.append(FLEET_STREAM, payload).await?;
        }
    }
    Ok(())
}

fn push(
    inner: &Inner,
    check: &mut HistoryCheck,
    record: &Record,
) -> Result<(), crate::log_history::ForeignRecord> {
    let state = inner.state.borrow();
    check.push(record, |payload| state.is_effective(payload))
}
