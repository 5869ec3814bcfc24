//! Upstreams that may be cold: signs of life from responses, entries and other gateways.

use std::cell::RefCell;

use http::HeaderMap;

use super::attempt::MISDIRECTED_REQUEST;
use super::Shared;
use crate::cold_upstreams::{ColdRule, UpstreamWarmth};
use crate::directory::UpstreamEntry;
use crate::platform::headers;
use crate::upstream_limits::COLD_PERMIT_MS;

/// Signs of life of upstreams whose services have a rule for cold ones.
#[derive(Default)]
pub(super) struct ColdUpstreams {
    warmth: RefCell<UpstreamWarmth>,
}

/// Returns what upstreams of a service tolerate while they are cold; `None` if they never are.
pub(super) fn rule(shared: &Shared, service: &str) -> Option<ColdRule> {
    let fleet = &shared.settings.fleet;
    fleet.cold_overshoot_ratio?;
    let table = shared.table.borrow();
    fleet.cold_rule(table.as_ref()?.service(service)?)
}

/// Returns the rule of the service of an upstream.
pub(super) fn rule_of(shared: &Shared, upstream: &str) -> Option<ColdRule> {
    shared.settings.fleet.cold_overshoot_ratio?;
    let directory = shared.directory.borrow();
    rule(shared, &directory.get(upstream)?.service)
}

/// Returns whether a request to an upstream of a service with a rule needs permission now.
pub(super) fn needs_permission(shared: &Shared, upstream: &str) -> bool {
    let warmth = shared.cold_upstreams.warmth.borrow();
    !warmth.is_warm(upstream, shared.now_ms())
}

/// Returns whether an upstream may be cold; `rule` is that of its service.
pub(super) fn may_be_cold(shared: &Shared, rule: Option<ColdRule>, upstream: &str) -> bool {
    rule.is_some() && needs_permission(shared, upstream)
}

/// Returns the age of the last sign of life of an upstream that is proved to be warm; only a sign after the loss of
/// contact counts, whose age is given.
pub(super) fn proof_age_ms(
    shared: &Shared,
    upstream: &str,
    lost_age_ms: Option<u64>,
) -> Option<u64> {
    let warmth = shared.cold_upstreams.warmth.borrow();
    let age_ms = warmth.proof_age_ms(upstream, shared.now_ms())?;
    lost_age_ms
        .is_none_or(|lost_ms| age_ms < lost_ms)
        .then_some(age_ms)
}

/// Returns the time since contact with an upstream was lost, if it was and is not forgotten.
pub(super) fn lost_age_ms(shared: &Shared, upstream: &str) -> Option<u64> {
    let warmth = shared.cold_upstreams.warmth.borrow();
    warmth.lost_age_ms(upstream, shared.now_ms())
}

/// Records the head of a response to a request that was sent at a time.
///
/// The process lived when the request was sent. The response may have waited in the kernel, so it proves nothing later.
pub(super) fn record_response(
    shared: &Shared,
    upstream: &str,
    rule: ColdRule,
    (status, fields): (u16, &HeaderMap),
    sent_ms: u64,
) {
    let now_ms = shared.now_ms();
    let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
    if status == MISDIRECTED_REQUEST {
        warmth.record_lost(upstream, now_ms);
        return;
    }
    match headers::cold_left_ms(fields) {
        Some(0) => warmth.record_stated(upstream, sent_ms, sent_ms, now_ms),
        Some(left_ms) => {
            warmth.record_stated(upstream, sent_ms, now_ms.saturating_add(left_ms), now_ms)
        }
        None => warmth.record_alive(upstream, sent_ms, rule, now_ms),
    }
}

/// Records a response to a request that this gateway has granted to another one at a time. The connection may have been
/// opened after that.
pub(super) fn record_served(shared: &Shared, upstream: &str, rule: ColdRule, granted_ms: u64) {
    let rule = ColdRule {
        start_ms: rule.start_ms.saturating_add(COLD_PERMIT_MS),
        ..rule
    };
    let now_ms = shared.now_ms();
    let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
    warmth.record_alive(upstream, granted_ms, rule, now_ms);
}

/// Records that the coordinator of an upstream has proof that it was warm at a time.
pub(super) fn record_proof(shared: &Shared, upstream: &str, seen_ms: u64) {
    let now_ms = shared.now_ms();
    let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
    warmth.record_stated(upstream, seen_ms, seen_ms, now_ms);
}

/// Records that contact with an upstream was lost, so that it may return cold.
pub(super) fn record_lost(shared: &Shared, upstream: &str) {
    if rule_of(shared, upstream).is_some() {
        let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
        warmth.record_lost(upstream, shared.now_ms());
    }
}

/// Records an entry that an upstream wrote after a time.
pub(super) fn record_entry(
    shared: &Shared,
    upstream: &str,
    entry: &UpstreamEntry,
    written_after_ms: u64,
) {
    if rule(shared, &entry.service).is_none() {
        return;
    }
    let now_ms = shared.now_ms();
    let warm_from_ms = match entry.cold_left_ms {
        0 => written_after_ms,
        left_ms => now_ms.saturating_add(left_ms),
    };
    let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
    if entry.cold_left_ms > 0 && !warmth.is_cold(upstream, now_ms) {
        log::info!(
            step = "upstream_cold", upstream = upstream, started_ms = entry.started_ms,
            cold_left_ms = entry.cold_left_ms, at_ms = now_ms;
            "the upstream is cold, its coordinator grants each request"
        );
    }
    warmth.record_stated(upstream, written_after_ms, warm_from_ms, now_ms);
}

/// Forgets an upstream that is gone or was replaced.
pub(super) fn forget(shared: &Shared, upstream: &str) {
    let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
    warmth.forget(upstream);
}

/// Forgets upstreams of which nothing was heard for long, and updates the gauge.
pub(super) fn tidy(shared: &Shared) {
    if shared.settings.fleet.cold_overshoot_ratio.is_none() {
        return;
    }
    let now_ms = shared.now_ms();
    let mut warmth = shared.cold_upstreams.warmth.borrow_mut();
    warmth.expire(now_ms);
    let cold = warmth.cold_count(now_ms) as u64;
    shared.metrics.set("upstreams_cold", cold);
}
