//! Limits on the rate of requests that upstreams state in their responses: exchange with other gateways, and permission
//! for each request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use rand::Rng;

use super::peers::{Content, LimitMessage, LimitReply, LimitRequest};
use super::Shared;
use crate::collections::FastMap;
use crate::holders;
use crate::notify::Notify;
use crate::platform::headers;
use crate::upstream_limits::{Grant, LimitNotice, UpstreamLimits, Weight};

/// Time after which a request for permission is sent again; a reply takes one or two milliseconds.
const REPEAT_DELAY: Duration = Duration::from_millis(25);

/// Number of times that such a request is sent.
const MAX_SENDS: u32 = 3;

/// Time for which an upstream is not chosen if its coordinator does not reply.
const NO_REPLY_DENIAL_MS: u64 = 250;

/// Limits of upstreams, with the requests for permission that await a reply.
#[derive(Default)]
pub(super) struct Limits {
    state: RefCell<UpstreamLimits>,
    replies: RefCell<FastMap<u64, Option<Grant>>>,
    reply_arrived: Notify,
}

/// The gateway that grants the requests to an upstream.
enum Coordinator {
    Own,
    Peer(SocketAddr),
}

impl Limits {
    /// Returns whether the coordinator of the upstream's limit, if there is one, may be asked for permission.
    pub(super) fn may_ask(&self, upstream: &str, weight: Weight, now_ms: u64) -> bool {
        self.state.borrow().may_ask(upstream, weight, now_ms)
    }

    /// Returns the time until the coordinator of the upstream's limit may be asked.
    pub(super) fn wait_ms(&self, upstream: &str, now_ms: u64) -> u64 {
        self.state.borrow().wait_ms(upstream, now_ms)
    }

    /// Forgets the limit of an upstream that is gone or was restarted.
    pub(super) fn forget(&self, upstream: &str) {
        self.state.borrow_mut().forget(upstream);
    }
}

/// Forgets limits that nobody has confirmed for long, and grants of limits that another gateway keeps now.
pub(super) fn tidy(shared: &Shared) {
    let mut limits = shared.limits.state.borrow_mut();
    if !limits.is_empty() {
        limits.expire(shared.now_ms());
        limits.retain_grants(|upstream| {
            matches!(find_coordinator(shared, upstream), Coordinator::Own)
        });
    }
}

/// Records the limit that the head of a response states, if any, and tells the other gateways of changes.
pub(super) fn record_response(shared: &Shared, upstream: &str, fields: &HeaderMap) {
    let limit_milli_per_s = headers::request_limit_milli_per_s(fields);
    if limit_milli_per_s.is_none() && shared.limits.state.borrow().is_empty() {
        return;
    }
    let now_ms = shared.now_ms();
    let notice = update(shared, upstream, |limits| {
        limits.record_response(upstream, limit_milli_per_s, now_ms)
    });
    if let Some(notice) = notice {
        let message = LimitMessage {
            upstream: upstream.into(),
            limit_milli_per_s: notice.limit_milli_per_s,
            known_ms: notice.known_ms,
        };
        shared
            .peer_socket
            .broadcast(shared, Content::Limit(message));
    }
}

/// Records what another gateway has learned of a limit.
pub(super) fn handle_message(shared: &Shared, message: &LimitMessage) {
    let notice = LimitNotice {
        limit_milli_per_s: message.limit_milli_per_s,
        known_ms: message.known_ms,
    };
    // A limit of an upstream that is not known here would not be forgotten when the upstream is gone.
    if shared.directory.borrow().get(&message.upstream).is_none() {
        return;
    }
    let now_ms = shared.now_ms();
    update(shared, &message.upstream, |limits| {
        limits.record_notice(&message.upstream, notice, now_ms);
    });
}

/// Applies an update of the limit of an upstream, and logs whether the limit has changed.
fn update<T>(shared: &Shared, upstream: &str, apply: impl FnOnce(&mut UpstreamLimits) -> T) -> T {
    let mut limits = shared.limits.state.borrow_mut();
    let before = limits.limit_milli_per_s(upstream);
    let result = apply(&mut limits);
    let after = limits.limit_milli_per_s(upstream);
    if before != after {
        log::info!(
            step = "upstream_limit", upstream = upstream, limit_milli_per_s = after.unwrap_or(0),
            at_ms = shared.now_ms();
            "{}", if after.is_some() {
                "the upstream states a limit on requests from all gateways"
            } else {
                "the upstream states no limit any more"
            }
        );
        shared.metrics.set("upstreams_limited", limits.len() as u64);
    }
    result
}

/// Returns whether a request may be sent to an upstream without exceeding its limit; asks the coordinator of the limit.
pub(super) async fn acquire(shared: &Shared, upstream: &str, weight: Weight) -> bool {
    let now_ms = shared.now_ms();
    let known = shared.limits.state.borrow().known(upstream, now_ms);
    let Some((limit_milli_per_s, known_ms)) = known else {
        return true;
    };
    let id = shared.random.borrow_mut().random();
    let (grant, coordinator) = match find_coordinator(shared, upstream) {
        Coordinator::Own => (grant_as_coordinator(shared, upstream, id, weight), None),
        Coordinator::Peer(peer) => {
            let request = LimitRequest {
                id,
                upstream: upstream.into(),
                limit_milli_per_s,
                known_ms,
                is_light: weight == Weight::Light,
            };
            (ask(shared, request, peer).await, Some(peer))
        }
    };
    let Grant::Denied { wait_ms } = grant else {
        return true;
    };
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.state.borrow_mut();
    limits.record_denial(upstream, weight, wait_ms, now_ms);
    shared.metrics.add("limit_denials", 1);
    log::debug!(
        step = "limit", upstream = upstream, limit_milli_per_s = limit_milli_per_s,
        wait_ms = wait_ms, at_ms = now_ms,
        coordinator = coordinator.map(|peer| peer.to_string()).unwrap_or_default().as_str();
        "the upstream takes no further request now"
    );
    false
}

/// Returns the coordinator of the limit of an upstream.
///
/// A coordinator that does not respond is not replaced before its presence has expired, because it may still grant
/// requests to others.
fn find_coordinator(shared: &Shared, upstream: &str) -> Coordinator {
    let routers = shared.routers.borrow();
    let ranked = holders::rank(upstream, routers.candidates());
    let coordinator = ranked
        .first()
        .filter(|coordinator| coordinator.vm != shared.settings.vm);
    match coordinator.and_then(|coordinator| routers.address_of(coordinator.vm)) {
        Some(peer) => Coordinator::Peer(peer),
        None => Coordinator::Own,
    }
}

fn grant_as_coordinator(shared: &Shared, upstream: &str, id: u64, weight: Weight) -> Grant {
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.state.borrow_mut();
    limits.grant(upstream, id, weight, now_ms)
}

/// Asks the coordinator of a limit for permission to send one request.
async fn ask(shared: &Shared, request: LimitRequest, peer: SocketAddr) -> Grant {
    let limits = &shared.limits;
    let id = request.id;
    limits.replies.borrow_mut().insert(id, None);
    let mut reply = None;
    for _ in 0..MAX_SENDS {
        let content = Content::LimitRequest(request.clone());
        shared.peer_socket.send(content, peer);
        let arrived = limits
            .reply_arrived
            .wait_for(|| limits.replies.borrow().get(&id).copied().flatten());
        if let Ok(grant) = monoio::time::timeout(REPEAT_DELAY, arrived).await {
            reply = Some(grant);
            break;
        }
    }
    limits.replies.borrow_mut().remove(&id);
    reply.unwrap_or_else(|| {
        log::info!(
            step = "limit", upstream = request.upstream.as_str(), peer = peer.to_string().as_str(),
            at_ms = shared.now_ms();
            "the coordinator of the limit does not reply"
        );
        Grant::Denied {
            wait_ms: NO_REPLY_DENIAL_MS,
        }
    })
}

/// Grants or refuses the request of another gateway.
pub(super) fn handle_request(shared: &Shared, request: &LimitRequest, peer: SocketAddr) {
    let message = LimitMessage {
        upstream: request.upstream.clone(),
        limit_milli_per_s: Some(request.limit_milli_per_s),
        known_ms: request.known_ms,
    };
    handle_message(shared, &message);
    let weight = if request.is_light {
        Weight::Light
    } else {
        Weight::Heavy
    };
    let grant = grant_as_coordinator(shared, &request.upstream, request.id, weight);
    let denied_ms = match grant {
        Grant::Granted => None,
        Grant::Denied { wait_ms } => Some(wait_ms),
    };
    let reply = LimitReply {
        id: request.id,
        denied_ms,
    };
    shared.peer_socket.send(Content::LimitReply(reply), peer);
}

/// Passes the reply of a coordinator to the request that awaits it.
pub(super) fn handle_reply(shared: &Shared, reply: &LimitReply) {
    let grant = match reply.denied_ms {
        None => Grant::Granted,
        Some(wait_ms) => Grant::Denied { wait_ms },
    };
    if let Some(awaited) = shared.limits.replies.borrow_mut().get_mut(&reply.id) {
        *awaited = Some(grant);
    }
    shared.limits.reply_arrived.notify();
}
