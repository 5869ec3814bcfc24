//! Limits on the rate of requests that upstreams state in their responses.

use http::HeaderMap;

use super::Shared;
use crate::platform::headers;

/// Records the limit that the head of a response states, if any.
pub(super) fn record_response(shared: &Shared, upstream: &str, fields: &HeaderMap) {
    let limit_milli_per_s = headers::request_limit_milli_per_s(fields);
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.borrow_mut();
    if limit_milli_per_s.is_none() && limits.is_empty() {
        return;
    }
    let before = limits.limit_milli_per_s(upstream);
    limits.record_response(upstream, limit_milli_per_s, now_ms);
    let after = limits.limit_milli_per_s(upstream);
    if before != after {
        log::info!(
            step = "upstream_limit", upstream = upstream, limit_milli_per_s = after.unwrap_or(0),
            at_ms = now_ms;
            "{}", if after.is_some() {
                "the upstream states a limit on requests from all gateways"
            } else {
                "the upstream states no limit any more"
            }
        );
        shared.metrics.set("upstreams_limited", limits.len() as u64);
    }
}
