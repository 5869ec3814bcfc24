//! Restores the fleet state from snapshots on the log, or from peers while the log is unavailable.
//!
//! A process without a state requests a snapshot from the peer that has folded most. A process with a state requests
//! the records that it lacks, and a snapshot if the peer no longer retains them.

use std::rc::Rc;
use std::time::Duration;

use super::log_return::LAST_RECORDS;
use super::{log_tail, Inner};
use crate::ids::{IncarnationId, Offset};
use crate::log_client::{Error, FLEET_STREAM, SNAPSHOT_STREAM};
use crate::message::{PeerMessage, Records, RecordsRequest, SnapshotChunk, SnapshotRequest};
use crate::snapshot::{self, Assembler};

/// Largest total size of the records in one message, in bytes; well below
/// [`MAX_FRAME_BYTES`](crate::message::MAX_FRAME_BYTES).
const MAX_RELAYED_BYTES: usize = 512 << 10;

/// Number of chunks that one read of the snapshot stream requests.
const PAGE_CHUNKS: u32 = 8;

/// Number of records that one read requests when the log is folded anew.
const REBUILD_PAGE_RECORDS: u32 = 512;

/// Pause between two requests for a snapshot, in which a large one can arrive.
const SNAPSHOT_REQUEST_INTERVAL_MS: u64 = 1_000;

/// Time for which a chunk waits for room in the send queue before the transfer of the snapshot is aborted.
const CHUNK_SEND_TIMEOUT_MS: u64 = 2_000;

/// Time without a folded record after which records are requested from a peer that is ahead.
const STALL_TIMEOUT_MS: u64 = 300;

/// Restores the newest snapshot on the log; returns false if the log cannot be read.
pub(super) async fn from_log(inner: &Inner) -> bool {
    match read_snapshot(inner).await {
        Ok(Some(state)) => {
            if state.next_offset > inner.state.borrow().next_offset {
                inner.replace_state(state);
            }
            true
        }
        Ok(None) => true,
        Err(error) => {
            log::debug!("{error}");
            false
        }
    }
}

/// Reads the newest complete snapshot of the stream.
async fn read_snapshot(inner: &Inner) -> Result<Option<crate::FleetState>, Error> {
    let read = |from, max_records| inner.log.read(SNAPSHOT_STREAM, from, max_records, 0);
    let bounds = read(0, 1).await?;
    if bounds.next == bounds.oldest {
        return Ok(None);
    }
    // The last chunk gives the number of chunks. Chunks of two writers can interleave, so the read covers twice that
    // number, and starts at the oldest chunk if they contain no complete snapshot.
    let last = read(bounds.next - 1, 1).await?;
    let count = last
        .records
        .first()
        .and_then(|record| snapshot::decode_chunk(&record.payload))
        .map_or(1, |chunk| Offset::from(chunk.count));
    let likely_start = bounds.next.saturating_sub(2 * count).max(bounds.oldest);
    for start in [likely_start, bounds.oldest] {
        let mut assembler = Assembler::default();
        let mut newest = None;
        let mut from = start;
        while from < bounds.next {
            let page = read(from, PAGE_CHUNKS).await?;
            let Some(record) = page.records.last() else {
                break;
            };
            from = record.offset + 1;
            for record in &page.records {
                let chunk = snapshot::decode_chunk(&record.payload);
                newest = chunk.and_then(|chunk| assembler.push(chunk)).or(newest);
            }
        }
        if let Some(bytes) = newest {
            match snapshot::decode(&bytes) {
                Ok(state) => return Ok(Some(state)),
                Err(error) => log::error!("cannot decode a snapshot on the log: {error}"),
            }
        }
    }
    Ok(None)
}

/// Folds the log anew in place of a state that came from a peer, whose last records this process does not know.
///
/// Returns false while the log is shorter than that state.
///
/// # Errors
///
/// Returns an error if the log could not be read.
pub(super) async fn rebuild_from_log(inner: &Inner) -> Result<bool, Error> {
    let mut state = read_snapshot(inner).await?.unwrap_or_default();
    let min_offset = inner.state.borrow().next_offset;
    let first_offset = state.next_offset;
    let mut payloads = Vec::new();
    loop {
        let page = inner
            .log
            .read(FLEET_STREAM, state.next_offset, REBUILD_PAGE_RECORDS, 0)
            .await?;
        if page.next < min_offset || page.oldest > state.next_offset {
            return Ok(false);
        }
        if page.records.is_empty() {
            break;
        }
        for record in page.records {
            state.apply_payload(record.offset, &record.payload);
            payloads.push(record.payload);
        }
    }
    inner.wait_for_encoding().await;
    inner.is_state_from_peer.set(false);
    inner.set_state(state);
    // Peers are compared with these records, so that none is taken for folded because of its offset alone.
    inner.log_tail.borrow_mut().replace(first_offset, payloads);
    Ok(true)
}

/// Requests snapshots from peers while the process has no state and the log cannot be read.
pub(super) async fn request_snapshots(inner: Rc<Inner>) {
    while !inner.has_state.get() {
        if !inner.last_read_succeeded.get() {
            let newest = inner
                .live_peers()
                .into_iter()
                .max_by_key(|peer| (peer.next_offset, peer.incarnation));
            if let Some(peer) = newest.filter(|peer| peer.next_offset > 0) {
                inner.send(
                    peer.incarnation,
                    PeerMessage::SnapshotRequest(SnapshotRequest {}),
                );
                monoio::time::sleep(Duration::from_millis(SNAPSHOT_REQUEST_INTERVAL_MS)).await;
            }
        }
        let wait = inner
            .state_changed
            .wait_for(|| inner.has_state.get().then_some(()));
        let _ = monoio::time::timeout(Duration::from_millis(50), wait).await;
    }
}

/// Requests records from a peer if this process does not get them from the log.
///
/// A stalled log cannot be told from one without new records until the read times out, so a peer that is ahead gets a
/// request as soon as no record has been folded for [`STALL_TIMEOUT_MS`]. While the log cannot be read, the peer that
/// has folded most also gets one if it is not ahead, and answers it when it has new records.
pub(super) fn request_records(inner: &Inner, peer: IncarnationId, peer_offset: Offset) {
    if !inner.has_state.get() {
        return;
    }
    let from_offset = inner.state.borrow().next_offset;
    let is_ahead = peer_offset > from_offset;
    let is_stalled = inner.now_ms() > inner.last_fold_ms.get() + STALL_TIMEOUT_MS;
    let should_request = if is_ahead {
        is_stalled || !inner.last_read_succeeded.get()
    } else {
        // The known offset of the peer may be out of date, so the request is sent although the peer seems not ahead.
        !inner.last_read_succeeded.get() && is_newest_peer(inner, peer)
    };
    if should_request {
        inner.send(
            peer,
            PeerMessage::RecordsRequest(RecordsRequest { from_offset }),
        );
    }
}

/// Requests records from peers as soon as the log cannot be read, without waiting for their next heartbeats.
pub(super) fn request_records_from_peers(inner: &Inner) {
    for peer in inner.live_peers() {
        request_records(inner, peer.incarnation, peer.next_offset);
    }
}

/// Returns whether the peer has folded most; only this one relays new records, so that each arrives once.
fn is_newest_peer(inner: &Inner, peer: IncarnationId) -> bool {
    let newest = inner
        .live_peers()
        .into_iter()
        .max_by_key(|peer| (peer.next_offset, peer.incarnation));
    newest.is_some_and(|newest| newest.incarnation == peer)
}

/// Answers a request for records, or stores it until there are any.
///
/// An answer without records means that they are no longer retained.
pub(super) fn send_records(inner: &Inner, to: IncarnationId, from_offset: Offset) {
    if from_offset >= inner.state.borrow().next_offset {
        inner.records_requests.borrow_mut().insert(to, from_offset);
        return;
    }
    let previous_hashes = previous_hashes(inner, from_offset);
    let payloads = inner
        .log_tail
        .borrow()
        .records_from(from_offset, MAX_RELAYED_BYTES)
        .filter(|_| from_offset == 0 || !previous_hashes.is_empty());
    let message = Records {
        first_offset: from_offset,
        payloads: payloads.unwrap_or_default(),
        previous_hashes,
    };
    inner.send(to, PeerMessage::Records(message));
}

/// Answers the stored requests for records that have been folded since.
pub(super) fn answer_pending_requests(inner: &Inner) {
    let next_offset = inner.state.borrow().next_offset;
    let mut due = Vec::new();
    inner
        .records_requests
        .borrow_mut()
        .retain(|peer, from_offset| {
            let is_due = *from_offset < next_offset;
            if is_due {
                due.push((*peer, *from_offset));
            }
            !is_due
        });
    for (peer, from_offset) in due {
        send_records(inner, peer, from_offset);
    }
}

/// Returns the hashes of the last [`LAST_RECORDS`] retained records before `offset`, the newest first.
fn previous_hashes(inner: &Inner, offset: Offset) -> Vec<u64> {
    let tail = inner.log_tail.borrow();
    (1..=LAST_RECORDS.into())
        .map_while(|distance| tail.record_at(offset.checked_sub(distance)?))
        .map(|payload| log_tail::hash(payload))
        .collect()
}

/// Returns whether relayed records continue the folded ones.
///
/// After the log has returned from an older copy, a peer may have folded other records at the same offsets.
fn continues_own_records(inner: &Inner, records: &Records) -> bool {
    let own = previous_hashes(inner, records.first_offset);
    let are_previous_equal = std::iter::zip(&own, &records.previous_hashes).all(|(a, b)| a == b);
    let is_previous_known = own.is_empty() || !records.previous_hashes.is_empty();
    let tail = inner.log_tail.borrow();
    are_previous_equal
        && is_previous_known
        && (records.first_offset..)
            .zip(&records.payloads)
            .all(|(offset, payload)| tail.record_at(offset).is_none_or(|own| own == payload))
}

/// Folds relayed records if they overlap or directly follow the folded ones.
pub(super) fn fold_relayed_records(inner: &Inner, from: IncarnationId, records: &Records) {
    let next_offset = inner.state.borrow().next_offset;
    // Records that arrive while a snapshot is being encoded are requested again after the next heartbeat.
    if !inner.has_state.get() || inner.is_encoding.get() || records.first_offset > next_offset {
        return;
    }
    if records.payloads.is_empty() {
        inner.send(from, PeerMessage::SnapshotRequest(SnapshotRequest {}));
        return;
    }
    if !continues_own_records(inner, records) {
        // The log decides which of the two histories is right.
        if inner.log_unverified_since_ms.get().is_none() {
            log::warn!(
                step = "relay", peer:% = from;
                "ignored relayed records from offset {}: the peer has folded another record before them",
                records.first_offset
            );
            inner.mark_log_unverified();
        }
        return;
    }
    for (offset, payload) in (records.first_offset..).zip(&records.payloads) {
        inner.fold(offset, payload);
    }
    inner.after_fold();
    // The next records are requested at once; the peer answers when it has some.
    request_records(
        inner,
        from,
        inner
            .log_next_offset
            .get()
            .max(inner.state.borrow().next_offset),
    );
}

/// Answers a request for a snapshot.
///
/// A request is dropped while a snapshot is being sent to the same peer, which may repeat it before the snapshot is
/// complete.
pub(super) fn send_snapshot(inner: &Rc<Inner>, to: IncarnationId) {
    if !inner.has_state.get() || !inner.snapshot_receivers.borrow_mut().insert(to) {
        return;
    }
    let task_inner = inner.clone();
    super::builder::spawn(inner, async move {
        let (next_offset, bytes) = task_inner.encode_state().await;
        'chunks: for chunk in snapshot::split(next_offset, &bytes) {
            let started_ms = task_inner.now_ms();
            // The send queue can be full; it empties as the peer reads.
            while !task_inner.send(to, PeerMessage::SnapshotChunk(chunk.clone())) {
                if task_inner.now_ms() > started_ms + CHUNK_SEND_TIMEOUT_MS {
                    break 'chunks;
                }
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        task_inner.snapshot_receivers.borrow_mut().remove(&to);
    });
}

/// Receives a chunk of a snapshot from a peer, and restores the state when the snapshot is complete.
pub(super) fn receive_chunk(inner: &Inner, chunk: SnapshotChunk) {
    let is_newer = chunk.next_offset > inner.state.borrow().next_offset;
    if !is_newer && inner.has_state.get() {
        return;
    }
    let Some(bytes) = inner.snapshot_assembler.borrow_mut().push(chunk) else {
        return;
    };
    match snapshot::decode(&bytes) {
        Ok(state) => {
            inner.replace_state(state);
            inner.is_state_from_peer.set(true);
            inner.has_state.set(true);
            inner.state_changed.notify();
        }
        Err(error) => log::error!("cannot decode a snapshot from a peer: {error}"),
    }
}
