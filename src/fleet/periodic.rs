//! Periodic tasks: heartbeats, proposed closures, reads of the VM list and snapshots.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::Inner;
use crate::ids::Offset;
use crate::log_client::SNAPSHOT_STREAM;
use crate::membership::rendezvous;
use crate::snapshot;
use crate::vm_list::VmState;

/// Pause before the append of a chunk is retried.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Starts the other periodic tasks, and sends heartbeats and proposes entries until the connection is stopped.
pub(super) async fn run(inner: Rc<Inner>) {
    super::builder::spawn(&inner, poll_vm_list(inner.clone()));
    super::builder::spawn(&inner, write_snapshots(inner.clone()));
    let interval = Duration::from_millis(inner.settings.timing.heartbeat_interval_ms);
    loop {
        inner.broadcast_heartbeat();
        inner.emit_peer_changes();
        propose_entries(&inner);
        monoio::time::sleep(interval).await;
    }
}

/// Queues the `Close` and `Finalize` entries that are due.
fn propose_entries(inner: &Inner) {
    // Without a state the members are not known. While the log cannot be read, the detector proposes nothing.
    if !inner.has_state.get() || inner.is_leaving.get() {
        return;
    }
    let entries = inner.detector.borrow_mut().propose(
        inner.incarnation.get(),
        &inner.state.borrow().members,
        inner.now_ms(),
    );
    for entry in entries {
        log::info!("propose {entry:?}");
        if let Err(error) = inner.push_all(vec![entry]) {
            log::warn!("cannot queue a proposed entry: {error}");
        }
    }
}

/// Reads the VM list at intervals, which gives the addresses of peers to a process without a state.
async fn poll_vm_list(inner: Rc<Inner>) {
    loop {
        match inner.vm_list.read().await {
            Ok(vms) => {
                *inner.leaving_addresses.borrow_mut() = vms
                    .iter()
                    .filter(|vm| vm.state == VmState::Leaving)
                    .map(|vm| vm.address.clone())
                    .collect();
                inner.peers.borrow_mut().is_list_read = true;
                inner.peers.borrow_mut().listed_vms = vms
                    .into_iter()
                    .filter(|vm| vm.state == VmState::Live)
                    .map(|vm| (vm.vm, vm.address))
                    .collect();
            }
            Err(error) => log::debug!("{error}"),
        }
        let interval_ms = inner.settings.timing.vm_list_interval_ms;
        monoio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Writes the snapshots for which this process is chosen, one per interval of records.
///
/// Rendezvous hashing over the interval's number chooses the writer anew for each interval, so a failed process leaves
/// out at most one snapshot. Two processes that see different live members can both write, which only costs space:
/// readers take the newest complete snapshot.
async fn write_snapshots(inner: Rc<Inner>) {
    let current_interval = || {
        let retained = inner
            .log_next_offset
            .get()
            .saturating_sub(inner.log_oldest_offset.get());
        let interval_records = snapshot_interval(
            inner.settings.timing.snapshot_interval_records,
            inner.log_oldest_offset.get(),
            retained,
        );
        inner.state.borrow().next_offset / interval_records
    };
    inner
        .state_changed
        .wait_for(|| inner.has_state.get().then_some(()))
        .await;
    let mut last_interval = current_interval();
    loop {
        let interval = inner
            .state_changed
            .wait_for(|| Some(current_interval()).filter(|interval| *interval != last_interval))
            .await;
        last_interval = interval;
        // A snapshot with records that the log lacks would hide them from the processes that start from it.
        if inner.log_unverified_since_ms.get().is_some() || !is_snapshot_writer(&inner, interval) {
            continue;
        }
        let (next_offset, bytes) = inner.encode_state().await;
        for chunk in snapshot::split(next_offset, &bytes) {
            let payload = Bytes::from(chunk.encode_to_vec());
            while let Err(error) = inner.log.append(SNAPSHOT_STREAM, payload.clone()).await {
                log::warn!("cannot append a snapshot chunk: {error}");
                if current_interval() != interval {
                    break;
                }
                monoio::time::sleep(SNAPSHOT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the number of records between two snapshots: the configured number, or fewer if the log retains few records.
///
/// An interval of at most a quarter of the retained records leaves time to replace a snapshot that fails. It is rounded
/// down to a power of two, so that processes agree on it although the number of retained records varies.
fn snapshot_interval(configured: u64, oldest: Offset, retained: u64) -> u64 {
    let configured = configured.max(1);
    if oldest == 0 {
        // The log has dropped no record yet, so its retention is not known.
        return configured;
    }
    let quarter = (retained / 4).max(1);
    configured.min(1 << quarter.ilog2())
}

fn is_snapshot_writer(inner: &Inner, interval: u64) -> bool {
    let own = inner.incarnation.get();
    let candidates = inner
        .live_peers()
        .into_iter()
        .map(|peer| peer.incarnation)
        .chain([own]);
    rendezvous::owner(&interval.to_be_bytes(), candidates) == Some(own)
}
