//! Upstreams that end while they begin to answer a request.
//!
//! A connection that is lost before any part of the body has arrived shows either a crash of the upstream or a fault of
//! this connection alone. The host of a crashed upstream refuses connections until the upstream has been restarted.

use std::net::SocketAddr;

use super::request::Call;
use super::{pool, Shared};

/// Finds out whether an upstream has crashed after the connection of a request was lost, and logs it with the parts of
/// the prompt.
pub(super) async fn record_lost_connection(
    shared: &Shared,
    call: &Call<'_>,
    upstream: &str,
    address: SocketAddr,
) {
    let now_ms = shared.now_ms();
    let is_crash = pool::refuses_connections(&shared.pool, upstream, address, now_ms).await;
    if is_crash {
        shared.metrics.add("upstream_crashes_seen", 1);
    }
    let parts: Vec<String> = call
        .meta
        .shared_parts
        .iter()
        .map(|part| format!("{part:016x}"))
        .collect();
    log::info!(
        step = "lost_connection", request_id = call.meta.id.as_str(), upstream = upstream,
        is_crash = is_crash, parts = parts.join(",").as_str(), at_ms = shared.now_ms();
        "{}", if is_crash {
            "the upstream crashed before its response began"
        } else {
            "the connection was lost before the response began"
        }
    );
}
