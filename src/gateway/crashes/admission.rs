//! Refusal of requests whose features crashed upstreams, and trials of them.

use std::cell::Cell;

use compact_str::{format_compact, CompactString};

use super::reports::record_of;
use super::{clocks, hex, PendingSuspect};
use crate::crash_attribution::{Admission, Feature};
use crate::gateway::request::Call;
use crate::gateway::Shared;
use crate::store::{AppendOutcome, Feed, Store};

/// Least time after which a caller comes again with a request whose features are refused for long.
const MIN_RETRY_AFTER_MS: u64 = 1_500;

/// Refusal of a request that has the features of requests that crashed upstreams.
pub(in crate::gateway) struct CrashRefusal {
    /// Reason for the log.
    pub(in crate::gateway) reason: CompactString,
    /// Time after which such a request is tried again.
    pub(in crate::gateway) retry_after_ms: u64,
}

/// Checks that a request does not have the features of requests that crashed upstreams, or may be tried.
///
/// # Errors
///
/// Returns why the request is refused.
pub(in crate::gateway) fn admit(shared: &Shared, call: &Call<'_>) -> Result<(), CrashRefusal> {
    match admission(shared, call) {
        Admission::Allowed | Admission::Refused { trial_in_ms: 0, .. } => Ok(()),
        Admission::Refused {
            feature,
            trial_in_ms,
        } => Err(refuse(shared, call, feature, trial_in_ms)),
    }
}

/// Returns whether a request may be sent without being a trial.
pub(in crate::gateway) fn is_allowed(shared: &Shared, call: &Call<'_>) -> bool {
    admission(shared, call) == Admission::Allowed
}

/// Authorises a request to be sent at once; one with refused features only if no other trial of them is under way in the
/// fleet.
///
/// # Errors
///
/// Returns why the request is refused.
pub(in crate::gateway) async fn authorise(
    shared: &Shared,
    call: &Call<'_>,
) -> Result<(), CrashRefusal> {
    match admission(shared, call) {
        Admission::Allowed => Ok(()),
        Admission::Refused {
            feature,
            trial_in_ms: 0,
        } => {
            if !claim_trial(shared, call).await {
                return Err(refuse(shared, call, feature, 0));
            }
            log::warn!(
                step = "crash_trial", request_id = call.meta.id.as_str(), feature = hex(feature).as_str(),
                crashes = shared.crashes.attribution.borrow().crashes(feature), at_ms = shared.now_ms();
                "sending one request with a feature of requests that crashed upstreams"
            );
            call.is_trial.set(true);
            Ok(())
        }
        Admission::Refused {
            feature,
            trial_in_ms,
        } => Err(refuse(shared, call, feature, trial_in_ms)),
    }
}

fn admission(shared: &Shared, call: &Call<'_>) -> Admission {
    let attribution = shared.crashes.attribution.borrow();
    if attribution.refused_count() == 0 {
        return Admission::Allowed;
    }
    attribution.admission(call.features(), shared.now_ms())
}

fn refuse(shared: &Shared, call: &Call<'_>, feature: Feature, trial_in_ms: u64) -> CrashRefusal {
    let attribution = shared.crashes.attribution.borrow();
    let crashes = attribution.crashes(feature);
    let is_suspended = attribution.is_suspended(feature);
    drop(attribution);
    shared.metrics.add("crash_refusals", 1);
    let feature = hex(feature);
    // The result of a trial is soon known, and the callers of a sound request come back to an upstream that serves it.
    let (reason, retry_after_ms) = if is_suspended {
        (
            format_compact!(
                "several upstreams ended on requests with feature {feature}, one is tried at a time"
            ),
            call.retry_after_ms(),
        )
    } else {
        (
            format_compact!("upstreams crashed {crashes} times on requests with feature {feature}"),
            Some(trial_in_ms.max(MIN_RETRY_AFTER_MS)),
        )
    };
    CrashRefusal {
        reason,
        retry_after_ms: retry_after_ms.unwrap_or(MIN_RETRY_AFTER_MS),
    }
}

/// Resets a flag when it is dropped, also if the task that set it is cancelled.
struct ResetOnDrop<'a>(&'a Cell<bool>);

impl Drop for ResetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

/// Claims the next trial of the refused features of a request for this gateway; returns whether it has it.
///
/// Without the store nobody can be asked, so each gateway then makes trials of its own, one at a time.
async fn claim_trial(shared: &Shared, call: &Call<'_>) -> bool {
    let crashes = &shared.crashes;
    let features = call.features();
    let begin_alone = || {
        let mut attribution = crashes.attribution.borrow_mut();
        attribution.begin_trial(features, shared.now_ms());
        true
    };
    if !shared.store.is_responsive() {
        return begin_alone();
    }
    let position = crashes.position.get();
    let Some(position) = position.filter(|read| read.epoch == shared.store.epoch()) else {
        return false;
    };
    if crashes.is_claiming.replace(true) {
        return false;
    }
    let _claiming = ResetOnDrop(&crashes.is_claiming);
    let Some(report) = crashes.attribution.borrow_mut().claim_trial(features) else {
        return false;
    };
    let record = record_of(shared, &report);
    let append = shared
        .store
        .append(Feed::Crashes, Some(position.end), record);
    match append.await {
        Ok(AppendOutcome::Written) => {
            let mut attribution = crashes.attribution.borrow_mut();
            attribution.merge(&report, true, clocks(shared));
            attribution.record_published(&report);
            true
        }
        Ok(AppendOutcome::Moved) => false,
        Err(error) => {
            log::info!(step = "claim trial", at_ms = shared.now_ms(); "no claim: {error}");
            !shared.store.is_responsive() && begin_alone()
        }
    }
}

/// Records that a request has ended, so that the next trial may begin if this one had no result.
///
/// A crash under the request is judged first, see [`judge_suspects`].
pub(in crate::gateway) fn record_end(shared: &Shared, call: &Call<'_>) {
    if !call.is_trial.get() {
        return;
    }
    let crashes = &shared.crashes;
    let is_suspect =
        |suspect: &PendingSuspect| suspect.is_trial && suspect.request_id == call.meta.id;
    if crashes.pending.borrow().iter().any(is_suspect) {
        return;
    }
    crashes.attribution.borrow_mut().end_trial(call.features());
    crashes.changed.notify();
}
