//! Pools of upstreams: which upstream runs a request, and when.
//!
//! All upstreams that serve one version of one model or service form a pool. A request waits in the queue of its pool
//! until an upstream has a free slot, and is dispatched with that slot.

mod isolation;
mod slot;
mod update;

use std::cell::RefCell;

use compact_str::CompactString;
use local_sync::oneshot;
use rand::{rngs::OsRng, Rng, SeedableRng, TryRngCore};
use rand_pcg::Pcg64Mcg;

use super::call::{Call, CallKind, Refused};
use super::Shared;
use crate::admission::{AdmissionDecision, Departure, Queue, Request, RetryBudget, ShareLimit};
use crate::collections::{FastMap, FastSet};
use crate::contract::Configuration;
use crate::evidence::Arm;
use crate::health::{Health, Permit};
use crate::ids::{IncarnationId, Interner, RouteKey, UpstreamKey, VersionKey};
use crate::message::OutstandingWork;
use crate::refusal::Refusal;
use crate::rollout::VersionChoice;
use crate::selection::{self, Selector};

pub(super) use isolation::Isolation;
pub(super) use slot::{Slot, SlotOutcome};
pub(super) use update::ReportSource;

/// Expected time from dispatch to the end of a response before the first response of a pool has ended.
const INITIAL_SERVICE_MS: u64 = 50;

/// Retry time that is suggested to a caller if no upstream can serve the request.
const RETRY_AFTER_MS: u64 = 500;

/// Maximum number of routes that are tracked separately. Callers choose the paths of services, so their number must
/// be bounded.
const MAX_ROUTES: usize = 4096;

/// One version of one model or service.
pub(super) type PoolKey = (RouteKey, VersionKey);

/// State of one upstream that the selector does not keep.
struct Upstream {
    address: CompactString,
    pool: PoolKey,
    version: CompactString,
    capacity_requests: u32,
    /// This router's share of the capacity, `None` until the first share is computed.
    share: Option<ShareLimit>,
    /// Number of requests that this router may run concurrently.
    limit_requests: u32,
    own_requests: u32,
    own_tokens: u64,
}

#[derive(Default)]
struct Pool {
    queue: Queue,
    members: Vec<UpstreamKey>,
    /// Moving average of the time from dispatch to the end of the response.
    service_ms: Option<f64>,
}

/// A request in the queue of a pool.
struct QueuedRequest {
    route: RouteKey,
    prefix_hashes: Vec<u64>,
    prompt_tokens: u64,
    /// Largest possible charge, used as the estimate of the work of the request.
    tokens: u64,
    excluded: Vec<UpstreamKey>,
    sender: oneshot::Sender<Result<Slot, Refused>>,
}

/// All pools of one process.
pub(super) struct Pools {
    data_centre: CompactString,
    routes: Interner<RouteKey>,
    versions: Interner<VersionKey>,
    names: Interner<UpstreamKey>,
    upstreams: FastMap<UpstreamKey, Upstream>,
    pools: FastMap<PoolKey, Pool>,
    selector: Selector,
    health: Health,
    retries: RetryBudget,
    queued_requests: FastMap<u64, QueuedRequest>,
    next_ticket: u64,
    /// Open incarnations, among which the capacity of the upstreams is divided.
    routers: Vec<IncarnationId>,
    own: IncarnationId,
    /// Load of the other routers at the upstreams, with the time of the heartbeat that reported it.
    peer_loads: FastMap<IncarnationId, (u64, Vec<OutstandingWork>)>,
    /// Upstreams that are reserved for a crash suspect; see [`isolation`].
    isolation_upstreams: FastSet<UpstreamKey>,
    random: Pcg64Mcg,
}

/// The version that serves a call, and the evidence to which its result is added.
pub(super) struct ChosenVersion {
    pub(super) pool: PoolKey,
    pub(super) arm: Option<Arm>,
}

impl Pools {
    pub(super) fn new(data_centre: &str, own: IncarnationId) -> Self {
        Self {
            data_centre: data_centre.into(),
            routes: Interner::default(),
            versions: Interner::default(),
            names: Interner::default(),
            upstreams: FastMap::default(),
            pools: FastMap::default(),
            selector: Selector::default(),
            health: Health::default(),
            retries: RetryBudget::default(),
            queued_requests: FastMap::default(),
            next_ticket: 0,
            routers: vec![own],
            own,
            peer_loads: FastMap::default(),
            isolation_upstreams: FastSet::default(),
            random: Pcg64Mcg::seed_from_u64(OsRng.try_next_u64().unwrap_or_default()),
        }
    }

    /// Takes a retry from the retry budget, which limits retries to a fraction of the requests.
    pub(super) fn try_retry(&mut self) -> bool {
        self.retries.try_retry()
    }

    /// Returns whether a retry is possible at once: the retry budget covers it, and an upstream of the pool that is not in
    /// `tried` has a free slot.
    pub(super) fn can_retry_elsewhere(&self, pool: PoolKey, tried: &[UpstreamKey]) -> bool {
        let members = self.pools.get(&pool).map_or(&[][..], |pool| &pool.members);
        let mut others = members.iter().filter(|member| !tried.contains(member));
        self.retries.covers_retry()
            && others.any(|other| {
                let known = self.upstreams.get(other);
                known.is_some_and(|known| known.own_requests < known.limit_requests)
            })
    }

    /// Returns the number of requests in all queues.
    pub(super) fn queue_len(&self) -> usize {
        self.queued_requests.len()
    }

    /// Dispatches the queued requests of all pools for which slots are free.
    pub(super) fn dispatch_all_queued(&mut self, now_ms: u64) {
        let keys: Vec<PoolKey> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(&key, _)| key)
            .collect();
        for key in keys {
            self.dispatch_queued(key, now_ms);
        }
    }

    pub(super) fn route_key(&mut self, route: &str, target_name: &str) -> RouteKey {
        if self.routes.get(route).is_none() && self.routes.names().len() >= MAX_ROUTES {
            return self.routes.intern(target_name);
        }
        self.routes.intern(route)
    }

    fn has_healthy_member(&self, key: PoolKey, route: RouteKey, now_ms: u64) -> bool {
        self.pools.get(&key).is_some_and(|pool| {
            pool.members
                .iter()
                .any(|&upstream| self.health.permit(upstream, route, now_ms) != Permit::Deny)
        })
    }

    /// Returns whether an upstream is healthy for the route and has a free slot.
    fn is_usable(&self, upstream: UpstreamKey, route: RouteKey, now_ms: u64) -> bool {
        self.upstreams
            .get(&upstream)
            .is_some_and(|known| known.own_requests < known.limit_requests)
            && self.health.permit(upstream, route, now_ms) != Permit::Deny
    }

    /// Adds a request to the queue of its pool, or refuses it at once.
    fn enqueue(
        &mut self,
        key: PoolKey,
        call: &Call,
        queued: QueuedRequest,
        now_ms: u64,
    ) -> Result<(), Refused> {
        if !self.has_healthy_member(key, queued.route, now_ms) {
            return Err(no_upstream());
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let slots = self.slot_count(key);
        let pool = self.pools.entry(key).or_default();
        pool.queue.set_slots(slots);
        let request = Request {
            ticket,
            customer: call.customer,
            priority: call.priority,
            deadline_ms: call.deadline_ms,
            service_ms: pool.service_ms.map_or(INITIAL_SERVICE_MS, |ms| ms as u64),
            cost_tokens: queued.tokens,
        };
        if let AdmissionDecision::Refused { retry_after_ms } = pool.queue.offer(request, now_ms) {
            return Err(overloaded(retry_after_ms));
        }
        self.queued_requests.insert(ticket, queued);
        self.dispatch_queued(key, now_ms);
        Ok(())
    }

    /// Dispatches the queued requests of a pool for which slots are free.
    fn dispatch_queued(&mut self, key: PoolKey, now_ms: u64) {
        while self.has_free_slot(key, now_ms) {
            let Some(pool) = self.pools.get_mut(&key) else {
                return;
            };
            match pool.queue.next(now_ms) {
                None => return,
                Some(Departure::Dispatch(request)) => self.dispatch(key, request.ticket, now_ms),
                Some(Departure::Refuse {
                    request,
                    retry_after_ms,
                }) => {
                    if let Some(queued) = self.queued_requests.remove(&request.ticket) {
                        // A dropped receiver means that the caller no longer waits.
                        let _ = queued.sender.send(Err(overloaded(retry_after_ms)));
                    }
                }
            }
        }
    }

    fn has_free_slot(&self, key: PoolKey, now_ms: u64) -> bool {
        self.pools.get(&key).is_some_and(|pool| {
            pool.members.iter().any(|&upstream| {
                self.upstreams
                    .get(&upstream)
                    .is_some_and(|known| known.own_requests < known.limit_requests)
                    && self.health.permit(upstream, key.0, now_ms) != Permit::Deny
            })
        })
    }

    fn dispatch(&mut self, key: PoolKey, ticket: u64, now_ms: u64) {
        let Some(queued) = self.queued_requests.remove(&ticket) else {
            return;
        };
        let random = self.random.random();
        let request = selection::Request {
            route: key.0,
            version: key.1,
            prefix_hashes: &queued.prefix_hashes,
            prompt_tokens: u32::try_from(queued.prompt_tokens).unwrap_or(u32::MAX),
        };
        let usable = |upstream| self.is_usable(upstream, queued.route, now_ms);
        let chosen = self
            .selector
            .choose(&request, random, |upstream| {
                usable(upstream) && !queued.excluded.contains(&upstream)
            })
            // An upstream that failed an earlier attempt is better than none.
            .or_else(|| self.selector.choose(&request, random, usable));
        let answer = chosen
            .map(|upstream| self.take_slot(key, upstream, &queued, now_ms))
            .ok_or_else(no_upstream);
        match queued.sender.send(answer) {
            Ok(()) if chosen.is_some() => {}
            Err(Ok(slot)) => self.release_slot(&slot, now_ms),
            _ => self.record_completion(key, now_ms, now_ms),
        }
    }

    /// Records in the queue of a pool that a dispatched request has ended.
    fn record_completion(&mut self, key: PoolKey, dispatched_ms: u64, now_ms: u64) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.queue
                .record_completion(now_ms.saturating_sub(dispatched_ms));
        }
    }

    fn take_slot(
        &mut self,
        key: PoolKey,
        upstream: UpstreamKey,
        queued: &QueuedRequest,
        now_ms: u64,
    ) -> Slot {
        if self.health.permit(upstream, queued.route, now_ms) == Permit::Probe {
            self.health.record_probe(upstream, queued.route, now_ms);
        }
        self.selector.record_dispatch(upstream, queued.tokens);
        self.selector.expect_cached(upstream, &queued.prefix_hashes);
        let (address, version) = match self.upstreams.get_mut(&upstream) {
            Some(known) => {
                known.own_requests += 1;
                known.own_tokens += queued.tokens;
                (known.address.clone(), known.version.clone())
            }
            None => Default::default(),
        };
        Slot {
            upstream,
            name: self.names.name(upstream).into(),
            pool: key,
            address,
            version,
            route: queued.route,
            tokens: queued.tokens,
            dispatched_ms: now_ms,
            is_held: true,
        }
    }
}

/// Chooses the version that serves a call.
pub(super) fn choose_version(shared: &Shared, call: &Call) -> Result<ChosenVersion, Refused> {
    let state = shared.fleet.state();
    let choice = state
        .rollouts
        .version_for(&call.route, &call.versions, call.key);
    let (version, arm) = match choice {
        VersionChoice::Configured => (configured_version(call), None),
        VersionChoice::Version { version, evidence } => {
            let arm = evidence.map(|arm| Arm {
                rollout: arm.rollout.into(),
                route: call.route.clone(),
                step: arm.step,
                is_new: arm.is_new,
            });
            (version, arm)
        }
        VersionChoice::NotAllowed => return Err(no_upstream()),
    };
    let mut pools = shared.pools.borrow_mut();
    let route = pools.routes.intern(&call.target_name);
    let version = pools.versions.intern(version);
    Ok(ChosenVersion {
        pool: (route, version),
        arm,
    })
}

/// Returns the configured version, or the first allowed one if the contract excludes it.
fn configured_version(call: &Call) -> &str {
    let configured = &call.configured_version;
    if call.versions.is_empty() || call.versions.contains(configured) {
        return configured;
    }
    &call.versions[0]
}

/// Waits for a slot at an upstream of the chosen version.
pub(super) async fn admit(
    shared: &Shared,
    call: &Call,
    version: &ChosenVersion,
    excluded: &[UpstreamKey],
) -> Result<Slot, Refused> {
    let (sender, receiver) = oneshot::channel();
    let (prefix_hashes, prompt_tokens) = match &call.kind {
        CallKind::Chat {
            prefix_hashes,
            prompt_tokens,
            ..
        } => (prefix_hashes.clone(), *prompt_tokens),
        CallKind::Service { .. } => (Vec::new(), 0),
    };
    {
        let mut pools = shared.pools.borrow_mut();
        if excluded.is_empty() {
            pools.retries.record_request();
        }
        let queued = QueuedRequest {
            route: pools.route_key(&call.route, &call.target_name),
            prefix_hashes,
            prompt_tokens,
            tokens: call.max_charge_tokens,
            excluded: excluded.to_vec(),
            sender,
        };
        pools.enqueue(version.pool, call, queued, shared.now_ms())?;
    }
    receiver.await.unwrap_or_else(|_| Err(no_upstream()))
}

/// Records the outcome of a slot, releases it and dispatches the next queued request.
pub(super) fn finish_slot(
    pools: &RefCell<Pools>,
    slot: &mut Slot,
    outcome: SlotOutcome,
    now_ms: u64,
) {
    pools.borrow_mut().finish_slot(slot, outcome, now_ms);
}

fn no_upstream() -> Refused {
    Refused::new(Refusal::NoUpstream, "no upstream can serve the request now")
        .retry_after(RETRY_AFTER_MS)
}

fn overloaded(retry_after_ms: u64) -> Refused {
    Refused::new(
        Refusal::Overloaded,
        "the response could not be complete within the time limit of the contract",
    )
    .retry_after(retry_after_ms)
}

/// Returns the model or service of each configured upstream.
fn served_names(configuration: &Configuration) -> impl Iterator<Item = &str> {
    configuration
        .upstreams
        .iter()
        .map(|upstream| upstream.serves.as_str())
}
