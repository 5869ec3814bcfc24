//! Upstreams whose processes are gone, as gateways report to each other.

use super::availability::process;
use super::peers::{Content, GoneReason, UpstreamGone};
use super::{cold_upstreams, Shared};
use crate::directory::UpstreamEntry;
use crate::placement::Outcome;
use crate::upstream_availability::UpstreamProcess;
use crate::upstream_beliefs::{GoneKind, ReportEffect};

/// Age of the directory from which on it is stale. Upstreams are read each 400 to 800 ms.
const STALE_DIRECTORY_MS: u64 = 2_000;

/// Returns the time since which the directory is stale, if it is.
pub(super) fn stale_since_ms(shared: &Shared) -> Option<u64> {
    let read_ms = shared.directory_read_ms.get();
    (read_ms + STALE_DIRECTORY_MS <= shared.now_ms()).then_some(read_ms)
}

/// Returns whether the process that an entry describes is known to be replaced.
pub(super) fn is_gone(shared: &Shared, id: &str, entry: &UpstreamEntry) -> bool {
    let beliefs = shared.beliefs.borrow();
    beliefs.is_gone(process(id, entry), shared.now_ms())
}

/// Records that a process has answered.
pub(super) fn record_answer(shared: &Shared, id: &str, entry: &UpstreamEntry) {
    let process = process(id, entry);
    if !is_known(shared, process) {
        return;
    }
    let mut beliefs = shared.beliefs.borrow_mut();
    beliefs.record_answer(process, shared.now_ms());
}

/// Returns whether a process is the one in the directory; a belief about a former one would replace that about it.
fn is_known(shared: &Shared, process: UpstreamProcess<'_>) -> bool {
    let directory = shared.directory.borrow();
    let entry = directory.get(process.id);
    entry.is_some_and(|entry| entry.started_ms == process.started_ms)
}

/// Records that a process is gone, and reports it to the other gateways once.
///
/// On a VM whose network is congested connections fail for reasons of its own, so it reports nothing.
pub(super) fn record_gone(shared: &Shared, gone: UpstreamProcess<'_>, kind: GoneKind) {
    if !is_known(shared, gone) {
        return;
    }
    let now_ms = shared.now_ms();
    let mut beliefs = shared.beliefs.borrow_mut();
    let is_new = beliefs.record_discovery(gone, kind, now_ms);
    if !is_new || shared.load.state().is_congested {
        return;
    }
    log::info!(
        step = "upstream_gone", upstream = gone.id, started_ms = gone.started_ms,
        replaced = kind == GoneKind::Replaced, at_ms = now_ms;
        "{}", match kind {
            GoneKind::Replaced => "another process responds at the address, reporting it to the other gateways",
            GoneKind::Unreachable => "the address refuses connections, reporting it to the other gateways",
        }
    );
    shared.metrics.add("upstreams_gone_reported", 1);
    let reason = match kind {
        GoneKind::Replaced => GoneReason::Replaced,
        GoneKind::Unreachable => GoneReason::Unreachable,
    };
    let message = UpstreamGone {
        upstream: gone.id.into(),
        started_ms: gone.started_ms,
        kind: reason.into(),
        age_ms: 0,
    };
    let content = Content::UpstreamGone(message);
    shared.peer_socket.broadcast(shared, content);
}

/// Applies what another gateway has discovered.
pub(super) fn handle_report(shared: &Shared, message: &UpstreamGone) {
    let id = message.upstream.as_str();
    let kind = match message.kind() {
        GoneReason::Replaced => GoneKind::Replaced,
        GoneReason::Unreachable => GoneKind::Unreachable,
        GoneReason::Unspecified => return,
    };
    let directory = shared.directory.borrow();
    // A report on another process says nothing about the one that is known here.
    let entry = directory
        .get(id)
        .filter(|entry| entry.started_ms == message.started_ms);
    let Some(entry) = entry else {
        return;
    };
    let now_ms = shared.now_ms();
    let mut beliefs = shared.beliefs.borrow_mut();
    let effect = beliefs.record_report(process(id, entry), kind, message.age_ms, now_ms);
    match effect {
        ReportEffect::None => return,
        ReportEffect::Excluded => shared.pool.close_all(id),
        ReportEffect::Delayed => {
            let mut placement = shared.placement.borrow_mut();
            placement.record_unreachable(id, Outcome::Unreachable, now_ms);
        }
    }
    cold_upstreams::record_lost(shared, id);
    shared.metrics.add("upstreams_gone_received", 1);
    log::info!(
        step = "upstream_gone", upstream = id, started_ms = entry.started_ms,
        replaced = kind == GoneKind::Replaced, at_ms = now_ms;
        "another gateway reports that the process is gone"
    );
}
