//! What upstreams state in their responses about new requests from this gateway.

use http::HeaderMap;

use super::attempt::MISDIRECTED_REQUEST;
use super::{beliefs, Shared};
use crate::directory::UpstreamEntry;
use crate::platform::headers;
use crate::upstream_availability::{Availability, UpstreamProcess};
use crate::upstream_beliefs::GoneKind;

/// Status of an upstream that takes no request now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Returns whether an upstream takes new requests from this gateway.
pub(super) fn availability(shared: &Shared, id: &str, entry: &UpstreamEntry) -> Availability {
    let availability = shared.availability.borrow();
    availability.availability(process(id, entry), shared.now_ms())
}

/// Returns whether an upstream takes a new request from this gateway now.
pub(super) fn is_available(shared: &Shared, id: &str, entry: &UpstreamEntry) -> bool {
    availability(shared, id, entry) == Availability::Available
        && !beliefs::is_gone(shared, id, entry)
}

/// Records what the head of a response states about new requests.
pub(super) fn record_response(
    shared: &Shared,
    id: &str,
    entry: &UpstreamEntry,
    status: u16,
    fields: &HeaderMap,
) {
    // Another process has sent this response.
    if status == MISDIRECTED_REQUEST {
        return beliefs::record_gone(shared, process(id, entry), GoneKind::Replaced);
    }
    beliefs::record_answer(shared, id, entry);
    if headers::is_leaving(fields) {
        record_leaving(shared, id, entry, status);
    }
    if status == SERVICE_UNAVAILABLE {
        if let Some(pause_ms) = headers::retry_after_ms(fields) {
            record_pause(shared, id, entry, pause_ms);
        }
    }
}

fn record_leaving(shared: &Shared, id: &str, entry: &UpstreamEntry, status: u16) {
    let mut availability = shared.availability.borrow_mut();
    if availability.record_leaving(process(id, entry)) {
        log::info!(
            step = "upstream_leaving", upstream = id, started_ms = entry.started_ms,
            status = status, at_ms = shared.now_ms();
            "the upstream states that it leaves, it gets no new requests"
        );
        shared.metrics.add("upstreams_leaving", 1);
        shared.pool.close_all(id);
    }
}

fn record_pause(shared: &Shared, id: &str, entry: &UpstreamEntry, pause_ms: u64) {
    let now_ms = shared.now_ms();
    let mut availability = shared.availability.borrow_mut();
    let recorded = availability.record_pause(process(id, entry), pause_ms, now_ms);
    if let Some(wait_ms) = recorded {
        log::info!(
            step = "upstream_pause", upstream = id, started_ms = entry.started_ms,
            stated_ms = pause_ms, wait_ms = wait_ms, at_ms = now_ms;
            "{}", if wait_ms < pause_ms {
                "the upstream wants no requests for longer than is obeyed"
            } else {
                "the upstream wants no requests from this gateway for some time"
            }
        );
        shared.metrics.add("upstream_pauses", 1);
    }
}

/// Returns the process that an entry describes.
pub(super) fn process<'a>(id: &'a str, entry: &UpstreamEntry) -> UpstreamProcess<'a> {
    UpstreamProcess {
        id,
        started_ms: entry.started_ms,
    }
}
