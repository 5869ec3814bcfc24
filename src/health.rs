//! Health of each upstream and route, derived from request results.
//!
//! Failures and response times are tracked per (upstream, route), because an upstream may lose the requests of one
//! route and serve the others. Each pair has a circuit breaker: too many failures open it for a while, and then single
//! requests are sent as probes. A refused connection opens a breaker for the whole upstream, because a process that is
//! being stopped refuses connections before any list reports it. A draining upstream gets no new requests and no
//! probes; the platform's list or the upstream's own report is enough for that. See `docs/policies/health.md`.

use crate::collections::FastMap;
use crate::ids::{RouteKey, UpstreamKey};

/// Ratio to the route's mean latency at which an upstream counts as slow.
const SLOW_RATIO: f64 = 2.0;

/// Minimum number of results for a usable latency.
const MIN_RESULTS: u32 = 10;

/// Cap on one result in a route's mean latency, as a ratio to the mean, so that one slow upstream does not shift it.
const OUTLIER_RATIO: f64 = 4.0;

/// Weight of a new result in the mean latency of a route over all upstreams.
const ROUTE_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of a new result in the mean latency of one upstream.
const UPSTREAM_WEIGHT: f64 = 1.0 / 8.0;

/// Ratio to the route's mean latency after which a request without any answer counts as a failure.
///
/// Without this limit, an upstream that accepts requests and never answers would be detected only after the timeout of
/// the whole response.
const OVERDUE_RATIO: f64 = 8.0;

/// Lower and upper bound of the time after which a request without any answer counts as a failure; the upper bound
/// applies while no latency is known.
const OVERDUE_BOUNDS_MS: (f64, f64) = (2_000.0, 30_000.0);

/// Consecutive failures that open the breaker of a route.
const FAILURES_TO_OPEN: u32 = 5;

/// Weight of a new result in the moving failure rate, as a power of two: 1/16.
const FAILURE_RATE_SHIFT: u32 = 4;

/// Moving failure rate that opens the breaker of a route, in parts per million.
///
/// One half is far above the failure rate of a bad version, which the rollout detects, and far below that of a dead
/// upstream.
const FAILURE_RATE_TO_OPEN_PPM: u32 = 500_000;

/// Initial time for which a breaker stays open.
const MIN_OPEN_MS: u64 = 1_000;

/// Maximum time for which a breaker stays open; a flapping upstream reaches it after a few rounds.
const MAX_OPEN_MS: u64 = 30_000;

/// Consecutive successful probes that close a breaker.
const PROBES_TO_CLOSE: u32 = 3;

/// Time after which a probe without a result no longer blocks the next probe.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// Time without a failure after which the backoff starts from [`MIN_OPEN_MS`] again.
const BACKOFF_RESET_MS: u64 = 60_000;

/// Result of a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream returned a complete response.
    Success {
        /// Time from dispatch to the first byte.
        latency_ms: u64,
    },
    /// The upstream returned an error, closed the connection early or exceeded a time limit.
    Failure,
    /// The upstream refused the connection, as a process that is being stopped does.
    ConnectionRefused,
    /// The upstream crashed on a quarantined request, which says nothing about the upstream.
    QuarantinedCrash,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Requests may be sent.
    Allow,
    /// One request may be sent as a probe; record it with [`Health::record_probe`].
    Probe,
    /// No request may be sent.
    Deny,
}

/// Condition of a route of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The breaker is closed and response times are normal.
    Healthy,
    /// Responses take much longer than those of the other upstreams.
    Slow,
    /// The breaker is open or half-open.
    Failing,
    /// The upstream is draining and gets no new requests.
    Draining,
}

#[derive(Clone, Debug)]
enum CircuitState {
    Closed,
    Open {
        until_ms: u64,
    },
    HalfOpen {
        successes: u32,
        probe_sent_ms: Option<u64>,
    },
}

#[derive(Clone, Debug)]
struct RouteHealth {
    circuit: CircuitState,
    consecutive_failures: u32,
    failure_rate_ppm: u32,
    results: u32,
    latency_ms: f64,
    open_ms: u64,
    last_failure_ms: u64,
}

impl Default for RouteHealth {
    fn default() -> Self {
        Self {
            circuit: CircuitState::Closed,
            consecutive_failures: 0,
            failure_rate_ppm: 0,
            results: 0,
            latency_ms: 0.0,
            open_ms: MIN_OPEN_MS,
            last_failure_ms: 0,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct UpstreamHealth {
    is_listed_draining: bool,
    is_reported_draining: bool,
    /// Breaker of the whole upstream, for refused connections; its latency is not used.
    connect_health: Option<RouteHealth>,
    routes: Vec<(RouteKey, RouteHealth)>,
}

/// Mean latency of a route over all upstreams.
#[derive(Clone, Copy, Debug, Default)]
struct RouteLatency {
    results: u32,
    mean_ms: f64,
}

/// Health of all upstreams, as seen by one process.
#[derive(Clone, Debug, Default)]
pub struct Health {
    upstreams: FastMap<UpstreamKey, UpstreamHealth>,
    latencies: FastMap<RouteKey, RouteLatency>,
}

impl Health {
    /// Returns whether a request of this route may be sent to the upstream.
    pub fn permit(&self, upstream: UpstreamKey, route: RouteKey, now_ms: u64) -> Permit {
        let Some(health) = self.upstreams.get(&upstream) else {
            return Permit::Allow;
        };
        if health.is_draining() {
            return Permit::Deny;
        }
        let upstream_permit = health
            .connect_health
            .as_ref()
            .map_or(Permit::Allow, |health| health.permit(now_ms));
        let route_permit = health
            .route(route)
            .map_or(Permit::Allow, |health| health.permit(now_ms));
        match (upstream_permit, route_permit) {
            (Permit::Deny, _) | (_, Permit::Deny) => Permit::Deny,
            (Permit::Probe, _) | (_, Permit::Probe) => Permit::Probe,
            (Permit::Allow, Permit::Allow) => Permit::Allow,
        }
    }

    /// Records that a probe was sent, so that no second one is sent before its result.
    pub fn record_probe(&mut self, upstream: UpstreamKey, route: RouteKey, now_ms: u64) {
        if let Some(connect_health) = self
            .upstreams
            .get_mut(&upstream)
            .and_then(|health| health.connect_health.as_mut())
        {
            connect_health.record_probe(now_ms);
        }
        self.route_mut(upstream, route).record_probe(now_ms);
    }

    /// Records the result of a request.
    pub fn record_result(
        &mut self,
        upstream: UpstreamKey,
        route: RouteKey,
        outcome: Outcome,
        now_ms: u64,
    ) {
        match outcome {
            Outcome::Success { latency_ms } => {
                self.latencies
                    .entry(route)
                    .or_default()
                    .add(latency_ms as f64);
                self.route_mut(upstream, route)
                    .record_success(latency_ms, now_ms);
                self.record_answer(upstream, now_ms);
            }
            Outcome::Failure => {
                self.route_mut(upstream, route).record_failure(now_ms);
                self.record_answer(upstream, now_ms);
            }
            Outcome::ConnectionRefused => {
                self.route_mut(upstream, route).clear_probe();
                let health = self.upstreams.entry(upstream).or_default();
                health
                    .connect_health
                    .get_or_insert_with(RouteHealth::default)
                    .trip(now_ms);
            }
            Outcome::QuarantinedCrash => self.route_mut(upstream, route).clear_probe(),
        }
    }

    /// Counts an answer of any kind as a sign that the upstream accepts connections.
    fn record_answer(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if let Some(health) = self.upstreams.get_mut(&upstream) {
            if let Some(connect_health) = &mut health.connect_health {
                connect_health.record_success(0, now_ms);
                if matches!(connect_health.circuit, CircuitState::Closed)
                    && now_ms >= connect_health.last_failure_ms + BACKOFF_RESET_MS
                {
                    health.connect_health = None;
                }
            }
        }
    }

    /// Records a request without an answer for [`Self::overdue_ms`] as a failure, while it is still in flight.
    pub fn record_overdue(&mut self, upstream: UpstreamKey, route: RouteKey, now_ms: u64) {
        self.route_mut(upstream, route).record_failure(now_ms);
    }

    /// Returns the time without an answer after which a request must be reported with [`Self::record_overdue`].
    pub fn overdue_ms(&self, route: RouteKey) -> u64 {
        let (min_ms, max_ms) = OVERDUE_BOUNDS_MS;
        match self.latencies.get(&route) {
            Some(latency) if latency.results >= MIN_RESULTS => {
                (latency.mean_ms * OVERDUE_RATIO).clamp(min_ms, max_ms) as u64
            }
            _ => max_ms as u64,
        }
    }

    /// Sets whether an upstream is draining because the platform's list shows its VM as leaving.
    pub fn set_listed_draining(&mut self, upstream: UpstreamKey, is_draining: bool) {
        self.upstreams
            .entry(upstream)
            .or_default()
            .is_listed_draining = is_draining;
    }

    /// Sets whether an upstream reports itself as draining; the list lags behind and does not override this.
    pub fn set_reported_draining(&mut self, upstream: UpstreamKey, is_draining: bool) {
        self.upstreams
            .entry(upstream)
            .or_default()
            .is_reported_draining = is_draining;
    }

    /// Removes an upstream that is no longer configured.
    pub fn remove_upstream(&mut self, upstream: UpstreamKey) {
        self.upstreams.remove(&upstream);
    }

    /// Returns the ratio of a route's response time at an upstream to the route's mean; at least 1.
    pub fn slowness(&self, upstream: UpstreamKey, route: RouteKey) -> f64 {
        let state = self
            .upstreams
            .get(&upstream)
            .and_then(|health| health.route(route));
        match (state, self.latencies.get(&route)) {
            (Some(state), Some(mean)) if state.results >= MIN_RESULTS && mean.mean_ms > 0.0 => {
                (state.latency_ms / mean.mean_ms).max(1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns the condition of a route of an upstream.
    pub fn condition(&self, upstream: UpstreamKey, route: RouteKey) -> Condition {
        let Some(health) = self.upstreams.get(&upstream) else {
            return Condition::Healthy;
        };
        let is_tripped = |health: Option<&RouteHealth>| {
            health.is_some_and(|state| !matches!(state.circuit, CircuitState::Closed))
        };
        if health.is_draining() {
            Condition::Draining
        } else if is_tripped(health.connect_health.as_ref()) || is_tripped(health.route(route)) {
            Condition::Failing
        } else if self.slowness(upstream, route) >= SLOW_RATIO {
            Condition::Slow
        } else {
            Condition::Healthy
        }
    }

    fn route_mut(&mut self, upstream: UpstreamKey, route: RouteKey) -> &mut RouteHealth {
        let routes = &mut self.upstreams.entry(upstream).or_default().routes;
        let index = match routes.iter().position(|(key, _)| *key == route) {
            Some(index) => index,
            None => {
                routes.push((route, RouteHealth::default()));
                routes.len() - 1
            }
        };
        &mut routes[index].1
    }
}

impl UpstreamHealth {
    fn is_draining(&self) -> bool {
        self.is_listed_draining || self.is_reported_draining
    }

    fn route(&self, route: RouteKey) -> Option<&RouteHealth> {
        let found = self.routes.iter().find(|(key, _)| *key == route);
        found.map(|(_, state)| state)
    }
}

impl RouteLatency {
    fn add(&mut self, latency_ms: f64) {
        self.results = self.results.saturating_add(1);
        if self.results <= MIN_RESULTS {
            self.mean_ms += (latency_ms - self.mean_ms) / f64::from(self.results);
        } else {
            let bounded_ms = latency_ms.min(self.mean_ms * OUTLIER_RATIO);
            self.mean_ms += (bounded_ms - self.mean_ms) * ROUTE_WEIGHT;
        }
    }
}

impl RouteHealth {
    fn permit(&self, now_ms: u64) -> Permit {
        match self.circuit {
            CircuitState::Closed => Permit::Allow,
            CircuitState::Open { until_ms } if now_ms < until_ms => Permit::Deny,
            CircuitState::Open { .. } => Permit::Probe,
            CircuitState::HalfOpen {
                probe_sent_ms: Some(sent_ms),
                ..
            } if now_ms < sent_ms + PROBE_TIMEOUT_MS => Permit::Deny,
            CircuitState::HalfOpen { .. } => Permit::Probe,
        }
    }

    fn record_probe(&mut self, now_ms: u64) {
        let successes = match self.circuit {
            CircuitState::Closed => return,
            CircuitState::Open { .. } => 0,
            CircuitState::HalfOpen { successes, .. } => successes,
        };
        self.circuit = CircuitState::HalfOpen {
            successes,
            probe_sent_ms: Some(now_ms),
        };
    }

    fn record_success(&mut self, latency_ms: u64, now_ms: u64) {
        self.consecutive_failures = 0;
        self.failure_rate_ppm -= self.failure_rate_ppm >> FAILURE_RATE_SHIFT;
        self.results = self.results.saturating_add(1);
        let weight = (1.0 / f64::from(self.results)).max(UPSTREAM_WEIGHT);
        self.latency_ms += (latency_ms as f64 - self.latency_ms) * weight;
        if now_ms >= self.last_failure_ms + BACKOFF_RESET_MS {
            self.open_ms = MIN_OPEN_MS;
        }
        if let CircuitState::HalfOpen { successes, .. } = self.circuit {
            self.circuit = if successes + 1 >= PROBES_TO_CLOSE {
                self.failure_rate_ppm = 0;
                CircuitState::Closed
            } else {
                CircuitState::HalfOpen {
                    successes: successes + 1,
                    probe_sent_ms: None,
                }
            };
        }
    }

    fn record_failure(&mut self, now_ms: u64) {
        self.last_failure_ms = now_ms;
        self.consecutive_failures += 1;
        self.failure_rate_ppm += (1_000_000 - self.failure_rate_ppm) >> FAILURE_RATE_SHIFT;
        let is_over_limit = self.consecutive_failures >= FAILURES_TO_OPEN
            || self.failure_rate_ppm >= FAILURE_RATE_TO_OPEN_PPM;
        match self.circuit {
            CircuitState::Closed if is_over_limit => self.trip(now_ms),
            CircuitState::HalfOpen { .. } => self.trip(now_ms),
            CircuitState::Closed | CircuitState::Open { .. } => {}
        }
    }

    /// Allows another probe after one without a meaningful result.
    fn clear_probe(&mut self) {
        if let CircuitState::HalfOpen { probe_sent_ms, .. } = &mut self.circuit {
            *probe_sent_ms = None;
        }
    }

    fn trip(&mut self, now_ms: u64) {
        self.last_failure_ms = now_ms;
        self.circuit = CircuitState::Open {
            until_ms: now_ms + self.open_ms,
        };
        self.open_ms = (self.open_ms * 2).min(MAX_OPEN_MS);
    }
}
