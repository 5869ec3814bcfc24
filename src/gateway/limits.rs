//! Permission for each request to an upstream that states a limit or may be cold, and the exchange with other gateways
//! about it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use rand::Rng;

use super::peers::{Content, LimitMessage, LimitReply, LimitRequest, LimitServed};
use super::{cold_upstreams, Shared};
use crate::cold_upstreams::{needs_refresh, ColdRule};
use crate::collections::FastMap;
use crate::holders;
use crate::notify::Notify;
use crate::platform::headers;
use crate::shared_limits::PRESENCE_TIMEOUT_MS;
use crate::upstream_limits::{
    Grant, LimitNotice, UpstreamLimits, Weight, COLD_PERMIT_MS, VIEW_CHANGE_MS,
};

/// Time after which a request for permission is sent again; a reply takes one or two milliseconds.
const REPEAT_DELAY: Duration = Duration::from_millis(25);

/// Number of times that such a request is sent.
const MAX_SENDS: u32 = 3;

/// Time for which an upstream is not chosen if its coordinator does not reply.
const NO_REPLY_DENIAL_MS: u64 = 250;

/// Time without housekeeping after which the process counts as having been stopped. Another gateway replaces it no
/// sooner, because reports of presence hold for longer.
const MAX_STOP_MS: u64 = 3_000;

/// Limits of upstreams, with the requests for permission that await a reply.
#[derive(Default)]
pub(super) struct Limits {
    state: RefCell<UpstreamLimits>,
    replies: RefCell<FastMap<u64, Option<Decision>>>,
    reply_arrived: Notify,
    view: Cell<FleetView>,
    /// Time of the last report of presence that the store has accepted.
    reported_ms: Cell<u64>,
    /// Whether an earlier process ran on this VM until shortly before the start.
    is_successor: Cell<bool>,
}

/// Since when this gateway has known the present members of the fleet.
#[derive(Clone, Copy, Default)]
struct FleetView {
    generation: u64,
    /// Number of different views, this one included.
    views: u32,
    changed_ms: u64,
    checked_ms: u64,
}

/// Decision of a coordinator.
#[derive(Clone, Copy)]
struct Decision {
    grant: Grant,
    /// Age of the last sign of life, if the upstream needed no grant because it is proved to be warm.
    proof_age_ms: Option<u64>,
}

impl Decision {
    /// A refusal by a gateway that cannot decide.
    const UNDECIDED: Self = Self {
        grant: Grant::Denied {
            wait_ms: NO_REPLY_DENIAL_MS,
        },
        proof_age_ms: None,
    };
}

/// A grant for one request to an upstream that may be cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdPermit {
    id: u64,
    /// The gateway that has granted it; `None` for this one.
    coordinator: Option<SocketAddr>,
    until_ms: u64,
}

/// Result of asking for permission to send a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum Permission {
    /// It may be sent, with this permit if the upstream may be cold.
    Granted(Option<ColdPermit>),
    /// The upstream takes no request for some time.
    Denied,
}

/// The gateway that grants the requests to an upstream.
enum Coordinator {
    Own,
    Peer(SocketAddr),
    /// No gateway has reported its presence yet, or not its address.
    Unknown,
}

impl Limits {
    /// Returns whether the coordinator of the upstream's limit, if there is one, may be asked for permission.
    pub(super) fn may_ask(&self, upstream: &str, weight: Weight, now_ms: u64) -> bool {
        self.state.borrow().may_ask(upstream, weight, now_ms)
    }

    /// Returns whether the coordinator of an upstream that may be cold may be asked for permission.
    pub(super) fn may_ask_cold(&self, upstream: &str, now_ms: u64) -> bool {
        self.state.borrow().may_ask_cold(upstream, now_ms)
    }

    /// Returns the time until the coordinator of the upstream's limit may be asked.
    pub(super) fn wait_ms(&self, upstream: &str, now_ms: u64) -> u64 {
        self.state.borrow().wait_ms(upstream, now_ms)
    }

    /// Returns the time until the coordinator of an upstream that may be cold may be asked.
    pub(super) fn cold_wait_ms(&self, upstream: &str, now_ms: u64) -> u64 {
        self.state.borrow().cold_wait_ms(upstream, now_ms)
    }

    /// Forgets the limit of an upstream that is gone or was restarted.
    pub(super) fn forget(&self, upstream: &str) {
        self.state.borrow_mut().forget(upstream);
    }
}

/// Forgets limits that nobody has confirmed for long, and grants of limits that another gateway keeps now.
pub(super) fn tidy(shared: &Shared) {
    fleet_view(shared);
    let mut limits = shared.limits.state.borrow_mut();
    limits.expire(shared.now_ms());
    limits.retain_grants(|upstream| {
        !matches!(find_coordinator(shared, upstream), Coordinator::Peer(_))
    });
}

/// Records that the store has accepted a report of presence that was written at a time.
pub(super) fn record_reported(shared: &Shared, at_ms: u64) {
    shared.limits.reported_ms.set(at_ms);
}

/// Records that an earlier process on this VM wrote its last entry some time before the start; `None` if that time is
/// not known.
pub(super) fn record_earlier_process(shared: &Shared, ended_ms_ago: Option<u64>) {
    let is_recent = ended_ms_ago.is_none_or(|age_ms| age_ms < PRESENCE_TIMEOUT_MS);
    shared.limits.is_successor.set(is_recent);
}

/// Returns since when this gateway has known the present members of the fleet; if the process was stopped for a while,
/// it forgets its grants for cold upstreams, because another gateway may have replaced it.
fn fleet_view(shared: &Shared) -> FleetView {
    let now_ms = shared.now_ms();
    let generation = shared.routers.borrow().candidate_generation();
    let mut view = shared.limits.view.get();
    if now_ms.saturating_sub(view.checked_ms) > MAX_STOP_MS {
        shared.limits.state.borrow_mut().forget_cold_grants();
        // Its predecessor is now the gateway that may have replaced it, not an earlier process that has ended.
        shared.limits.is_successor.set(false);
        view.changed_ms = now_ms;
    }
    if view.generation != generation {
        view.generation = generation;
        view.views += 1;
        view.changed_ms = now_ms;
    }
    view.checked_ms = now_ms;
    shared.limits.view.set(view);
    view
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

/// Asks the coordinator of an upstream for permission to send a request, if the upstream has stated a limit or may be
/// cold; `rule` is that of its service.
pub(super) async fn acquire(
    shared: &Shared,
    upstream: &str,
    weight: Weight,
    rule: Option<ColdRule>,
) -> Permission {
    let asked_ms = shared.now_ms();
    let known = shared.limits.state.borrow().known(upstream, asked_ms);
    let may_be_cold = cold_upstreams::may_be_cold(shared, rule, upstream);
    if known.is_none() && !may_be_cold {
        return Permission::Granted(None);
    }
    let request = LimitRequest {
        id: shared.random.borrow_mut().random(),
        upstream: upstream.into(),
        limit_milli_per_s: known.map(|(limit, _)| limit),
        known_ms: known.map_or(0, |(_, known_ms)| known_ms),
        is_light: weight == Weight::Light,
        may_be_cold,
        lost_age_ms: cold_upstreams::lost_age_ms(shared, upstream).filter(|_| may_be_cold),
    };
    let (id, (decision, coordinator)) = (request.id, ask_coordinator(shared, request).await);
    let Decision {
        grant,
        proof_age_ms,
    } = decision;
    match grant {
        Grant::Granted if !may_be_cold => Permission::Granted(None),
        Grant::Granted => {
            if let Some(age_ms) = proof_age_ms {
                let seen_ms = asked_ms.saturating_sub(age_ms);
                cold_upstreams::record_proof(shared, upstream, seen_ms);
                if !cold_upstreams::needs_permission(shared, upstream) {
                    return Permission::Granted(None);
                }
                // The proof does not hold here, so the request would be withdrawn and ask again at once.
                record_denial(shared, upstream, weight, may_be_cold, NO_REPLY_DENIAL_MS);
                return Permission::Denied;
            }
            let until_ms = asked_ms + COLD_PERMIT_MS;
            Permission::Granted(Some(ColdPermit {
                id,
                coordinator,
                until_ms,
            }))
        }
        Grant::Denied { wait_ms } => {
            record_denial(shared, upstream, weight, may_be_cold, wait_ms);
            log::debug!(
                step = "limit", upstream = upstream, may_be_cold = may_be_cold, wait_ms = wait_ms,
                at_ms = shared.now_ms(),
                coordinator = coordinator.map(|peer| peer.to_string()).unwrap_or_default().as_str();
                "the upstream takes no further request now"
            );
            Permission::Denied
        }
    }
}

fn record_denial(shared: &Shared, upstream: &str, weight: Weight, may_be_cold: bool, wait_ms: u64) {
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.state.borrow_mut();
    limits.record_denial(upstream, weight, wait_ms, now_ms);
    shared.metrics.add("limit_denials", 1);
    if may_be_cold {
        limits.record_cold_denial(upstream, wait_ms, now_ms);
        shared.metrics.add("cold_denials", 1);
    }
}

/// Returns whether a request to an upstream of a service with a rule may be sent now: with a permit that is still valid,
/// or without one as long as the upstream is proved to be warm.
pub(super) fn is_permitted(shared: &Shared, upstream: &str, permit: Option<ColdPermit>) -> bool {
    match permit {
        Some(permit) => shared.now_ms() < permit.until_ms,
        None => !cold_upstreams::needs_permission(shared, upstream),
    }
}

/// Tells the coordinator that a request with a permit was answered.
pub(super) fn report_served(shared: &Shared, upstream: &str, permit: ColdPermit) {
    if let Some(coordinator) = permit.coordinator {
        let served = LimitServed {
            id: permit.id,
            upstream: upstream.into(),
        };
        let content = Content::LimitServed(served);
        shared.peer_socket.send(content, coordinator);
    }
}

/// Records that a request which this gateway has granted was answered.
pub(super) fn handle_served(shared: &Shared, served: &LimitServed) {
    let limits = shared.limits.state.borrow();
    let granted_ms = limits.cold_granted_ms(&served.upstream, served.id);
    let rule = cold_upstreams::rule_of(shared, &served.upstream);
    if let (Some(granted_ms), Some(rule)) = (granted_ms, rule) {
        cold_upstreams::record_served(shared, &served.upstream, rule, granted_ms);
    }
}

/// Returns the coordinator of the limit of an upstream.
///
/// A coordinator that does not respond is not replaced before its presence has expired, because it may still grant
/// requests to others.
fn find_coordinator(shared: &Shared, upstream: &str) -> Coordinator {
    let routers = shared.routers.borrow();
    let ranked = holders::rank(upstream, routers.candidates());
    let Some(coordinator) = ranked.first() else {
        return Coordinator::Unknown;
    };
    if coordinator.vm == shared.settings.vm {
        return Coordinator::Own;
    }
    let address = routers.address_of(coordinator.vm);
    address.map_or(Coordinator::Unknown, Coordinator::Peer)
}

/// Has the coordinator decide on a request; returns its address, unless it is this gateway.
async fn ask_coordinator(shared: &Shared, request: LimitRequest) -> (Decision, Option<SocketAddr>) {
    match find_coordinator(shared, &request.upstream) {
        Coordinator::Own => (decide(shared, &request), None),
        Coordinator::Peer(peer) => (ask(shared, request, peer).await, Some(peer)),
        // Without a coordinator nobody knows what others send to an upstream that may be cold.
        Coordinator::Unknown if request.may_be_cold => (Decision::UNDECIDED, None),
        Coordinator::Unknown => (decide(shared, &request), None),
    }
}

/// Decides on a request as the coordinator.
fn decide(shared: &Shared, request: &LimitRequest) -> Decision {
    let mut proof_age_ms = request
        .may_be_cold
        .then(|| cold_upstreams::proof_age_ms(shared, &request.upstream, request.lost_age_ms))
        .flatten();
    if request.may_be_cold && proof_age_ms.is_none_or(needs_refresh) {
        match (
            grant_cold(shared, &request.upstream, request.id),
            proof_age_ms,
        ) {
            (Grant::Granted, _) => proof_age_ms = None,
            (Grant::Denied { .. }, Some(_)) => {}
            (grant, None) => {
                return Decision {
                    grant,
                    proof_age_ms,
                }
            }
        }
    }
    let weight = if request.is_light {
        Weight::Light
    } else {
        Weight::Heavy
    };
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.state.borrow_mut();
    Decision {
        grant: limits.grant(&request.upstream, request.id, weight, now_ms),
        proof_age_ms,
    }
}

/// Grants or refuses a request to an upstream that may be cold. A gateway that is not its coordinator grants none,
/// whatever the one that asks thinks.
fn grant_cold(shared: &Shared, upstream: &str, id: u64) -> Grant {
    let rule = cold_upstreams::rule_of(shared, upstream);
    let is_own = matches!(find_coordinator(shared, upstream), Coordinator::Own);
    let Some(mut rule) = rule.filter(|_| is_own) else {
        return Decision::UNDECIDED.grant;
    };
    if may_have_second_coordinator(shared, upstream) {
        rule.tolerated_requests /= 2;
    }
    let predecessor_until_ms = predecessor_until_ms(shared);
    let now_ms = shared.now_ms();
    let mut limits = shared.limits.state.borrow_mut();
    limits.grant_cold(upstream, id, rule, predecessor_until_ms, now_ms)
}

/// Returns the time until which another process may have granted requests to the upstreams of which this one is the
/// coordinator now.
///
/// A process that replaces an earlier one on its VM before others notice takes over from that process alone, which has
/// ended. Otherwise all coordinators would grant nothing for seconds after a restart of the whole fleet.
fn predecessor_until_ms(shared: &Shared) -> u64 {
    let view = fleet_view(shared);
    if view.views <= 1 && shared.limits.is_successor.get() {
        return 0;
    }
    view.changed_ms + VIEW_CHANGE_MS * u64::from(shared.interval_factor())
}

/// Returns whether another gateway may be granting requests to an upstream of which this one is the coordinator.
///
/// A gateway that is cut off from the store does not learn that it was replaced. So one that could not report its presence
/// for as long as the others wait, and one that has replaced such a gateway, use half of what the upstream tolerates.
fn may_have_second_coordinator(shared: &Shared, upstream: &str) -> bool {
    let timeout_ms = PRESENCE_TIMEOUT_MS * u64::from(shared.interval_factor());
    let reported_ms = shared.limits.reported_ms.get();
    if shared.now_ms().saturating_sub(reported_ms) >= timeout_ms {
        return true;
    }
    let routers = shared.routers.borrow();
    if routers.expired_candidates().next().is_none() {
        return false;
    }
    let all = routers.candidates().chain(routers.expired_candidates());
    let ranked = holders::rank(upstream, all);
    ranked
        .first()
        .is_some_and(|first| first.vm != shared.settings.vm)
}

/// A request for permission that awaits its reply until it is dropped; the wait may be cancelled.
struct AwaitedReply<'a> {
    limits: &'a Limits,
    id: u64,
}

impl<'a> AwaitedReply<'a> {
    fn new(limits: &'a Limits, id: u64) -> Self {
        limits.replies.borrow_mut().insert(id, None);
        Self { limits, id }
    }
}

impl Drop for AwaitedReply<'_> {
    fn drop(&mut self) {
        self.limits.replies.borrow_mut().remove(&self.id);
    }
}

/// Asks the coordinator of a limit for permission to send one request.
async fn ask(shared: &Shared, request: LimitRequest, peer: SocketAddr) -> Decision {
    let limits = &shared.limits;
    let id = request.id;
    let _awaited = AwaitedReply::new(limits, id);
    let mut reply = None;
    for _ in 0..MAX_SENDS {
        let content = Content::LimitRequest(request.clone());
        shared.peer_socket.send(content, peer);
        let arrived = limits
            .reply_arrived
            .wait_for(|| limits.replies.borrow().get(&id).copied().flatten());
        if let Ok(decision) = monoio::time::timeout(REPEAT_DELAY, arrived).await {
            reply = Some(decision);
            break;
        }
    }
    reply.unwrap_or_else(|| {
        log::info!(
            step = "limit", upstream = request.upstream.as_str(), peer = peer.to_string().as_str(),
            at_ms = shared.now_ms();
            "the coordinator of the limit does not reply"
        );
        Decision::UNDECIDED
    })
}

/// Grants or refuses the request of another gateway.
pub(super) fn handle_request(shared: &Shared, request: &LimitRequest, peer: SocketAddr) {
    if request.limit_milli_per_s.is_some() {
        let message = LimitMessage {
            upstream: request.upstream.clone(),
            limit_milli_per_s: request.limit_milli_per_s,
            known_ms: request.known_ms,
        };
        handle_message(shared, &message);
    }
    let decision = decide(shared, request);
    let denied_ms = match decision.grant {
        Grant::Granted => None,
        Grant::Denied { wait_ms } => Some(wait_ms),
    };
    let reply = LimitReply {
        id: request.id,
        denied_ms,
        proof_age_ms: decision.proof_age_ms,
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
        *awaited = Some(Decision {
            grant,
            proof_age_ms: reply.proof_age_ms,
        });
    }
    shared.limits.reply_arrived.notify();
}
