//! Crash counts of the features of requests, exchanged with the other routers.
//!
//! The log quarantines a request that crashes upstreams as a whole. Requests that differ but share a message which
//! crashes upstreams are found by [`crate::crash_attribution`]. The counts are not in the log: they hold as long as one
//! router runs, and three crashes restore them.

use std::cell::{Cell, RefCell};

use xxhash_rust::xxh3::xxh3_64;

use super::call::Call;
use super::{wall_clock_ms, Shared};
use crate::crash_attribution::{Admission, Clocks, CrashAttribution, CrashId, CrashReport};
use crate::ids::RequestKey;
use crate::message::PeerMessage;

/// Interval at which counts are sent again, for routers that have joined or were unreachable.
const REPEAT_INTERVAL_MS: u64 = 2_000;

/// Crash counts of this router.
#[derive(Default)]
pub(super) struct CrashCounts {
    attribution: RefCell<CrashAttribution>,
    sent_ms: Cell<u64>,
    /// Key of the request that this router tries, until it has crashed an upstream or completed.
    trial: Cell<Option<RequestKey>>,
}

impl CrashCounts {
    fn end_trial(&self, call: &Call) {
        if self.trial.get() == Some(call.key) {
            self.trial.set(None);
        }
    }
}

/// Returns whether a request has the features of requests that crashed upstreams.
///
/// A single router tries such a request again after a time, so that a refusal ends with its cause.
pub(super) fn is_refused(shared: &Shared, call: &Call) -> bool {
    let counts = &shared.crash_counts;
    if counts.trial.get() == Some(call.key) {
        return false;
    }
    let mut attribution = counts.attribution.borrow_mut();
    let now_ms = shared.now_ms();
    match attribution.admission(&call.features, now_ms) {
        Admission::Allowed => false,
        Admission::Refused { trial_in_ms: 0, .. } if super::events::rank(shared) == 0 => {
            attribution.begin_trial(&call.features, now_ms);
            counts.trial.set(Some(call.key));
            false
        }
        Admission::Refused { .. } => true,
    }
}

/// Counts a crash of an upstream for a request that was sent at `sent_ms`, and tells the other routers.
pub(super) fn record_crash(shared: &Shared, call: &Call, upstream: &str, sent_ms: u64) {
    let counts = &shared.crash_counts;
    counts.end_trial(call);
    let crash = CrashId(xxh3_64(upstream.as_bytes()));
    let mut attribution = counts.attribution.borrow_mut();
    let reached = attribution.record_crash(&call.features, crash, sent_ms, clocks(shared));
    drop(attribution);
    for feature in reached {
        log::warn!(
            step = "crash limit", request_key:% = call.key, feature = format!("{:016x}", feature.0);
            "refusing requests with this message, because upstreams crashed on them"
        );
    }
    send(shared);
}

/// Records that a response was complete, which proves the features of its request harmless.
pub(super) fn record_completion(shared: &Shared, call: &Call) {
    shared.crash_counts.end_trial(call);
    let mut attribution = shared.crash_counts.attribution.borrow_mut();
    if !attribution.is_empty() {
        attribution.record_success(&call.features, clocks(shared));
    }
}

/// Merges the counts of another router.
pub(super) fn merge(shared: &Shared, report: &CrashReport) {
    let mut attribution = shared.crash_counts.attribution.borrow_mut();
    attribution.merge(report, false, clocks(shared));
}

/// Sends changed counts to the other routers, and all counts at intervals.
pub(super) fn tick(shared: &Shared) {
    let counts = &shared.crash_counts;
    let is_due = {
        let mut attribution = counts.attribution.borrow_mut();
        attribution.expire(shared.now_ms());
        let age_ms = shared.now_ms().saturating_sub(counts.sent_ms.get());
        attribution.needs_report() || (!attribution.is_empty() && age_ms >= REPEAT_INTERVAL_MS)
    };
    if is_due {
        send(shared);
    }
}

fn send(shared: &Shared) {
    let counts = &shared.crash_counts;
    counts.sent_ms.set(shared.now_ms());
    let mut attribution = counts.attribution.borrow_mut();
    let report = attribution.report();
    attribution.record_published(&report);
    for peer in shared.fleet.peers() {
        let message = PeerMessage::CrashReport(report.clone());
        shared.fleet.send(peer.incarnation, message);
    }
}

fn clocks(shared: &Shared) -> Clocks {
    Clocks {
        now_ms: shared.now_ms(),
        wall_s: wall_clock_ms() / 1_000,
    }
}
