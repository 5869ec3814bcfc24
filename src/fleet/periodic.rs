//! The task of everything that happens at intervals: heartbeats, closures, the VM list and snapshots.

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

/// Pause before a chunk is appended again.
const SNAPSHOT_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Runs until the connection is stopped.
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

/// Writes the closures and finalisations that are due.
fn propose_entries(inner: &Inner) {
    // Without a readable log nothing is known about the silence of others.
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
            log::warn!("propose a closure: {error}");
        }
    }
}

/// Reads the VM list, which tells a process without a state where to find peers.
async fn poll_vm_list(inner: Rc<Inner>) {
    loop {
        match inner.vm_list.read().await {
            Ok(vms) => {
                *inner.leaving_addresses.borrow_mut() = vms
                    .iter()
                    .filter(|vm| vm.state == VmState::Leaving)
                    .map(|vm| vm.address.clone())
                    .collect();
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

/// Writes a snapshot at each interval of records for which this process is chosen.
///
/// The choice rotates with the interval, so a failed process leaves out at most one snapshot. Two processes with
/// different views of who is live can both write, which costs space only: readers take the newest complete one.
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
        if !is_snapshot_writer(&inner, interval) {
            continue;
        }
        let (next_offset, bytes) = inner.encode_state().await;
        for chunk in snapshot::split(next_offset, &bytes) {
            let payload = Bytes::from(chunk.encode_to_vec());
            while let Err(error) = inner.log.append(SNAPSHOT_STREAM, payload.clone()).await {
                log::warn!("write a snapshot: {error}");
                if current_interval() != interval {
                    break;
                }
                monoio::time::sleep(SNAPSHOT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns the number of records between two snapshots: the configured one, or less where the log retains little.
///
/// A quarter of the retained records leaves time for a snapshot that fails. Powers of two keep the processes in step while
/// the retained number varies.
fn snapshot_interval(configured: u64, oldest: Offset, retained: u64) -> u64 {
    let configured = configured.max(1);
    if oldest == 0 {
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
