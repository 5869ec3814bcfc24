//! Requests that crash upstreams: detection of crashes, exchange of the counts, and refusal.
//!
//! A connection that is lost before the end of a response shows either a crash of the upstream or a fault of this
//! connection alone. The host of a crashed upstream refuses connections until the upstream has been restarted.
//!
//! A request whose response had begun, but whose first event was not whole, is the cause of the crash. A request that
//! waited for its response, or whose response was under way, is a suspect only if no gateway reports such a cause within
//! [`EXPLANATION_DELAY_MS`], and only by those of its features that no response proves harmless here in that time.
//! [`crate::crash_attribution`] decides; this module exchanges the counts through the store, so that they survive
//! restarts, and claims trials there, so that the fleet makes one at a time.

mod admission;
mod reports;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use xxhash_rust::xxh3::Xxh3;

use super::request::Call;
use super::watch::FeedPosition;
use super::{beliefs, clock, pool, rollouts, Shared};
use crate::crash_attribution::{
    Clocks, CrashAttribution, CrashId, Feature, CRASH_LIMIT, MAX_REQUEST_FEATURES,
};
use crate::notify::Notify;
use crate::placement::Outcome;
use crate::upstream_availability::UpstreamProcess;
use crate::upstream_beliefs::GoneKind;

pub(super) use admission::{admit, authorise, is_allowed, record_end, CrashRefusal};
pub(super) use reports::{report, watch};

/// Time within which the cause of a crash is known from other gateways: a write and a read of the store.
const EXPLANATION_DELAY_MS: u64 = 60;

/// Maximum number of suspects that wait for an explanation.
const MAX_PENDING_SUSPECTS: usize = 1_024;

/// How much of a response had arrived when its connection was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseProgress {
    /// Nothing; the request may have waited for another one.
    Waiting,
    /// The head or a part of the first event.
    Begun,
    /// The first event, or a part of a body that has no events.
    Underway,
}

/// A request that may have crashed its upstream.
struct PendingSuspect {
    request_id: CompactString,
    upstream: CompactString,
    features: Vec<Feature>,
    crash: CrashId,
    sent_ms: u64,
    progress: ResponseProgress,
    /// Whether the request was a trial.
    is_trial: bool,
    due_ms: u64,
}

/// Crash counts, with the tasks that wait for changes of them.
#[derive(Default)]
pub(super) struct Crashes {
    attribution: RefCell<CrashAttribution>,
    pending: RefCell<Vec<PendingSuspect>>,
    /// Whether the counts of all gateways have been read; a report before that could lose those of a predecessor.
    is_loaded: Cell<bool>,
    /// Position up to which the reports have been read.
    position: Cell<Option<FeedPosition>>,
    is_claiming: Cell<bool>,
    changed: Notify,
}

/// A connection that was lost before the end of a response.
pub(super) struct LostConnection<'a> {
    /// Id of the upstream.
    pub(super) upstream: &'a str,
    /// Address of the upstream.
    pub(super) address: SocketAddr,
    /// Version of the upstream's software.
    pub(super) version: &'a str,
    /// Start of the upstream's process by its own clock.
    pub(super) started_ms: Option<u64>,
    /// Time at which the request was sent.
    pub(super) sent_ms: u64,
    /// How much of the response had arrived.
    pub(super) progress: ResponseProgress,
}

/// Returns the features of a request: the shared parts of its prompt, and a hash of the team, the method, the target and
/// the body.
pub(super) fn features_of(call: &Call<'_>) -> Vec<Feature> {
    let mut hash = Xxh3::new();
    for field in [
        call.team_name().unwrap_or_default(),
        call.request.method.as_str(),
        call.request_target(),
    ] {
        hash.update(field.as_bytes());
        hash.update(&[0]);
    }
    hash.update(&call.request.body);
    let parts = call.meta.shared_parts.iter().take(MAX_REQUEST_FEATURES - 1);
    let mut features: Vec<Feature> = parts.copied().map(Feature).collect();
    features.push(Feature(hash.digest()));
    features
}

/// How much of a response has been received that no crash ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Proof {
    /// The first event.
    Begun,
    /// All of it.
    Complete,
}

impl Proof {
    fn description(self) -> &'static str {
        match self {
            Self::Begun => "has begun",
            Self::Complete => "is complete",
        }
    }
}

/// Records what a response proves about the features of its request.
pub(super) fn record_served(shared: &Shared, call: &Call<'_>, proof: Proof) {
    let crashes = &shared.crashes;
    let has_pending = !crashes.pending.borrow().is_empty();
    if crashes.attribution.borrow().is_empty() && !has_pending {
        return;
    }
    if has_pending {
        let served = call.features();
        for suspect in crashes.pending.borrow_mut().iter_mut() {
            // The beginning of a response says nothing about a crash that came later in another one.
            if proof == Proof::Complete || suspect.progress == ResponseProgress::Waiting {
                suspect.features.retain(|feature| !served.contains(feature));
            }
        }
    }
    let clocks = clocks(shared);
    let before = crashes.attribution.borrow().refused_count();
    let is_changed = {
        let mut attribution = crashes.attribution.borrow_mut();
        match proof {
            Proof::Begun => attribution.record_begin(call.features(), clocks),
            Proof::Complete => attribution.record_success(call.features(), clocks),
        }
    };
    if is_changed {
        log::info!(
            step = "crash_reset", request_id = call.meta.id.as_str(),
            whole = whole(call.features()).as_str(), at_ms = clocks.now_ms;
            "the crash counts of the features of this request start again, because its response {}",
            proof.description()
        );
        let after = crashes.attribution.borrow().refused_count();
        if after < before {
            log::warn!(
                step = "crash_release", request_id = call.meta.id.as_str(), at_ms = clocks.now_ms;
                "requests with a feature of this request are no longer refused, because its response {}",
                proof.description()
            );
        }
        crashes.changed.notify();
    }
}

/// Finds out whether an upstream has crashed after the connection of a request was lost, and counts the crash.
pub(super) async fn record_lost_connection(
    shared: &Shared,
    call: &Call<'_>,
    lost: LostConnection<'_>,
) {
    let now_ms = shared.now_ms();
    let is_gone =
        pool::refuses_connections(&shared.pool, lost.upstream, lost.address, now_ms).await;
    if is_gone {
        record_unreachable(shared, &lost);
    }
    let is_replaced = rollouts::is_replaced(shared, &call.service, lost.version);
    let is_crash = is_gone && !is_replaced;
    let features = call.features();
    let parts: Vec<String> = call
        .meta
        .shared_parts
        .iter()
        .map(|part| hex(Feature(*part)))
        .collect();
    log::info!(
        step = "lost_connection", request_id = call.meta.id.as_str(), upstream = lost.upstream,
        is_crash = is_crash, is_replaced = is_replaced, has_begun = lost.progress != ResponseProgress::Waiting,
        is_underway = lost.progress == ResponseProgress::Underway, parts = parts.join(",").as_str(),
        whole = whole(features).as_str(), sent_ms = lost.sent_ms, at_ms = shared.now_ms();
        "{}", if is_crash {
            "the upstream crashed before the end of its response"
        } else {
            "the connection was lost before the end of the response"
        }
    );
    if !is_crash {
        return;
    }
    shared.metrics.add("upstream_crashes_seen", 1);
    let crash = crash_id(lost.upstream, lost.started_ms);
    if lost.progress == ResponseProgress::Begun {
        let now_ms = shared.now_ms();
        shared
            .crashes
            .attribution
            .borrow_mut()
            .explain(crash, now_ms);
        let suspect = suspect(shared, call, &lost, crash);
        count_crash(shared, &suspect);
        return;
    }
    let mut pending = shared.crashes.pending.borrow_mut();
    if pending.len() < MAX_PENDING_SUSPECTS {
        pending.push(suspect(shared, call, &lost, crash));
    }
    drop(pending);
    shared.crashes.changed.notify();
}

/// Records that the address of an upstream refuses connections, before another request finds out.
fn record_unreachable(shared: &Shared, lost: &LostConnection<'_>) {
    let gone = UpstreamProcess {
        id: lost.upstream,
        started_ms: lost.started_ms,
    };
    let now_ms = shared.now_ms();
    let mut placement = shared.placement.borrow_mut();
    placement.record_unreachable(lost.upstream, Outcome::Unreachable, now_ms);
    drop(placement);
    beliefs::record_gone(shared, gone, GoneKind::Unreachable);
}

fn suspect(
    shared: &Shared,
    call: &Call<'_>,
    lost: &LostConnection<'_>,
    crash: CrashId,
) -> PendingSuspect {
    PendingSuspect {
        request_id: call.meta.id.clone(),
        upstream: lost.upstream.into(),
        features: call.features().to_vec(),
        crash,
        sent_ms: lost.sent_ms,
        progress: lost.progress,
        is_trial: call.is_trial.get(),
        due_ms: shared.now_ms() + EXPLANATION_DELAY_MS,
    }
}

fn count_crash(shared: &Shared, suspect: &PendingSuspect) {
    let clocks = clocks(shared);
    let features = suspect.features.as_slice();
    let mut attribution = shared.crashes.attribution.borrow_mut();
    let counts_before = counts(&attribution, features);
    let (crash, sent_ms) = (suspect.crash, suspect.sent_ms);
    let reached = match suspect.progress {
        ResponseProgress::Waiting | ResponseProgress::Begun => {
            attribution.record_crash(features, crash, sent_ms, clocks)
        }
        ResponseProgress::Underway => {
            attribution.record_late_crash(features, crash, sent_ms, clocks)
        }
    };
    log::info!(
        step = "crash_count", request_id = suspect.request_id.as_str(),
        upstream = suspect.upstream.as_str(), whole = whole(features).as_str(),
        sent_ms = suspect.sent_ms, before = counts_before.as_str(),
        after = counts(&attribution, features).as_str(), at_ms = clocks.now_ms;
        "counted a crash for the features of a request; those whose previous crash became known after it was sent \
         keep their count"
    );
    for feature in reached {
        log_limit(&attribution, feature, &suspect.request_id, "", clocks);
    }
    drop(attribution);
    shared.crashes.changed.notify();
}

/// Logs whether requests with a feature are refused, after a request of this gateway or a report of a peer changed that.
fn log_limit(
    attribution: &CrashAttribution,
    feature: Feature,
    request_id: &str,
    peer: &str,
    clocks: Clocks,
) {
    let crashes = attribution.crashes(feature);
    let message = if attribution.is_suspended(feature) {
        "trying requests with this feature one at a time, because several upstreams ended on them"
    } else if crashes >= CRASH_LIMIT {
        "refusing requests with this feature, because upstreams crashed on them"
    } else {
        "requests with this feature are no longer refused, because a response to one has proved it harmless"
    };
    log::warn!(
        step = "crash_limit", request_id = request_id, peer = peer, feature = hex(feature).as_str(),
        crashes = crashes, is_suspended = attribution.is_suspended(feature), at_ms = clocks.now_ms;
        "{message}"
    );
}

/// Counts the suspects of crashes that nobody explained in time, until the process ends.
pub(super) async fn judge_suspects(shared: Rc<Shared>) {
    loop {
        let next_due = || {
            let pending = shared.crashes.pending.borrow();
            pending.iter().map(|suspect| suspect.due_ms).min()
        };
        let due_ms = shared.crashes.changed.wait_for(next_due).await;
        let wait_ms = due_ms.saturating_sub(shared.now_ms());
        monoio::time::sleep(Duration::from_millis(wait_ms)).await;
        let now_ms = shared.now_ms();
        let due: Vec<PendingSuspect> = {
            let mut pending = shared.crashes.pending.borrow_mut();
            let (due, later) = pending
                .drain(..)
                .partition(|suspect| suspect.due_ms <= now_ms);
            *pending = later;
            due
        };
        for suspect in due {
            let attribution = &shared.crashes.attribution;
            let is_explained = attribution.borrow().is_explained(suspect.crash);
            if !is_explained {
                count_crash(&shared, &suspect);
            } else {
                log::info!(
                    step = "crash_count", request_id = suspect.request_id.as_str(),
                    upstream = suspect.upstream.as_str(), whole = whole(&suspect.features).as_str(),
                    at_ms = shared.now_ms();
                    "not counted, another request is known to have caused the crash"
                );
            }
            if suspect.is_trial {
                attribution.borrow_mut().end_trial(&suspect.features);
            }
        }
    }
}

fn clocks(shared: &Shared) -> Clocks {
    Clocks {
        now_ms: shared.now_ms(),
        wall_s: clock::wall_ms() / 1_000,
    }
}

fn crash_id(upstream: &str, started_ms: Option<u64>) -> CrashId {
    let seed = started_ms.unwrap_or_default();
    CrashId(xxhash_rust::xxh3::xxh3_64_with_seed(
        upstream.as_bytes(),
        seed,
    ))
}

/// Returns the hash of the request as a whole, its last feature, for the log.
fn whole(features: &[Feature]) -> String {
    features.last().copied().map(hex).unwrap_or_default()
}

/// Returns the crash counts of the features of a request in their order, for the log.
fn counts(attribution: &CrashAttribution, features: &[Feature]) -> String {
    let counts = features.iter().map(|feature| attribution.crashes(*feature));
    let counts: Vec<String> = counts.map(|count| count.to_string()).collect();
    counts.join(",")
}

fn hex(feature: Feature) -> String {
    format!("{:016x}", feature.0)
}
