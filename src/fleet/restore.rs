//! How a process gets a state: from snapshots and records of the log, or from peers while the log is unavailable.

use std::rc::Rc;
use std::time::Duration;

use super::Inner;
use crate::ids::{IncarnationId, Offset};
use crate::log_client::{Error, SNAPSHOT_STREAM};
use crate::message::{PeerMessage, Records, RecordsRequest, SnapshotChunk, SnapshotRequest};
use crate::snapshot::{self, Assembler};

/// Total size of the records in one message, in bytes; leaves room below the frame limit.
const MAX_RELAYED_BYTES: usize = 512 << 10;

/// Chunks in one read of the snapshot stream.
const PAGE_CHUNKS: u32 = 8;

/// Pause between two requests for a snapshot; a large one takes some time to arrive.
const SNAPSHOT_REQUEST_INTERVAL_MS: u64 = 1_000;

/// Time that a peer may take to make room for a chunk.
const CHUNK_SEND_TIMEOUT_MS: u64 = 2_000;

/// Time without a folded record after which a peer that is ahead is asked for records.
const STALL_TIMEOUT_MS: u64 = 300;

/// Restores the newest snapshot on the log; returns false if the log can't be read.
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
    // The last chunk tells the size. Two writers can interleave, so a second look starts further back.
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
                Err(error) => log::error!("snapshot on the log: {error}"),
            }
        }
    }
    Ok(None)
}

/// Asks peers for a snapshot while there is no state and the log can't be read.
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

/// Asks a peer for records while the own reader does not follow the log.
///
/// A stalled log looks like one without news until the read times out, so a peer that is ahead is asked as soon as the
/// own fold has stood still for [`STALL_TIMEOUT_MS`]. One peer that is not ahead is asked too: it answers when it has news.
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
        // What is known of the peer's offset may be old, so it is asked in any case.
        !inner.last_read_succeeded.get() && is_newest_peer(inner, peer)
    };
    if should_request {
        inner.send(
            peer,
            PeerMessage::RecordsRequest(RecordsRequest { from_offset }),
        );
    }
}

/// Asks peers for records as soon as the log can't be read, without waiting for their next heartbeats.
pub(super) fn request_records_from_peers(inner: &Inner) {
    for peer in inner.live_peers() {
        request_records(inner, peer.incarnation, peer.next_offset);
    }
}

/// Returns whether the peer is the one that sends news; with several, each record would arrive several times.
fn is_newest_peer(inner: &Inner, peer: IncarnationId) -> bool {
    let newest = inner
        .live_peers()
        .into_iter()
        .max_by_key(|peer| (peer.next_offset, peer.incarnation));
    newest.is_some_and(|newest| newest.incarnation == peer)
}

/// Answers a request for records; an answer without records says that they are no longer kept.
pub(super) fn send_records(inner: &Inner, to: IncarnationId, from_offset: Offset) {
    if from_offset >= inner.state.borrow().next_offset {
        inner.records_requests.borrow_mut().insert(to, from_offset);
        return;
    }
    let payloads = inner
        .log_tail
        .borrow()
        .records_from(from_offset, MAX_RELAYED_BYTES);
    let message = Records {
        first_offset: from_offset,
        payloads: payloads.unwrap_or_default(),
    };
    inner.send(to, PeerMessage::Records(message));
}

/// Sends new records to the peers that asked for them before there were any.
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

/// Folds relayed records that continue the own state.
pub(super) fn fold_relayed_records(inner: &Inner, from: IncarnationId, records: &Records) {
    let next_offset = inner.state.borrow().next_offset;
    // Records that arrive while a snapshot is serialised are asked for again after the next heartbeat.
    if !inner.has_state.get() || inner.is_encoding.get() || records.first_offset > next_offset {
        return;
    }
    if records.payloads.is_empty() {
        inner.send(from, PeerMessage::SnapshotRequest(SnapshotRequest {}));
        return;
    }
    for (offset, payload) in (records.first_offset..).zip(&records.payloads) {
        inner.fold(offset, payload);
    }
    inner.after_fold();
    // The next records are asked for at once; the answer comes when there are some.
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
/// Requests for a snapshot that is already on its way are dropped: it may take longer than the requester waits.
pub(super) fn send_snapshot(inner: &Rc<Inner>, to: IncarnationId) {
    if !inner.has_state.get() || !inner.snapshot_receivers.borrow_mut().insert(to) {
        return;
    }
    let task_inner = inner.clone();
    super::builder::spawn(inner, async move {
        let (next_offset, bytes) = task_inner.encode_state().await;
        'chunks: for chunk in snapshot::split(next_offset, &bytes) {
            let started_ms = task_inner.now_ms();
            // A full queue drains as fast as the peer reads.
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

/// Takes a part of a snapshot from a peer and restores the state when it is complete.
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
            inner.has_state.set(true);
            inner.state_changed.notify();
        }
        Err(error) => log::error!("snapshot from a peer: {error}"),
    }
}
