//! State of each upstream and route, judged from results.
//!
//! Failures and response times are kept per (upstream, route), because an upstream may swallow the requests of one
//! route and serve the others. A pair that fails too often is closed for a while and then probed with one request at a
//! time; an upstream on which most of its pairs are closed is closed as a whole. Leaving is separate and final until
//! the upstream is listed as live again: the platform's list, the upstream's own report or a refused connection each
//! suffice. See `docs/policies/health.md`.

use crate::collections::FastMap;
use crate::ids::{RouteKey, UpstreamKey};

/// Consecutive failures that close a route of an upstream.
const FAILURES_TO_CLOSE: u32 = 5;

/// Weight of a new result in the moving failure rate, as a power of two: 1/16.
const RATE_SHIFT: u32 = 4;

/// Moving failure rate at which a route of an upstream is closed, in parts per million.
///
/// Half is far above the failure rate of a bad version, which the rollout judges, and far below a dead upstream.
const RATE_TO_CLOSE_PPM: u32 = 500_000;

/// Time for which a route of an upstream stays closed at first.
const FIRST_PAUSE_MS: u64 = 1_000;

/// Longest time for which a route of an upstream stays closed; a flapping upstream reaches it after a few rounds.
const LONGEST_PAUSE_MS: u64 = 30_000;

/// Successful probes in a row that open a route again.
const PROBES_TO_OPEN: u32 = 3;

/// Time after which a probe without a result no longer blocks the next one.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// Time without a failure after which the pause starts from [`FIRST_PAUSE_MS`] again.
const CALM_MS: u64 = 60_000;

/// How a request to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Success {
        /// Time from dispatch to the first byte.
        latency_ms: u64,
    },
    /// The upstream answered with an error, broke the connection or took too long.
    Failure,
    /// The connection was refused, which a process that is being stopped does.
    ConnectionRefused,
    /// The upstream crashed on a request that is quarantined; this says nothing about the upstream.
    QuarantinedCrash,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The route is open.
    Open,
    /// One request may go out as a probe; report it with [`Health::probe_sent`].
    Probe,
    /// Nothing may be sent.
    Closed,
}

/// State of a route of an upstream, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Results are good.
    Healthy,
    /// Responses take much longer than those of the other upstreams.
    Slow,
    /// The route is closed or being probed.
    Failing,
    /// The upstream is leaving and gets no new work.
    Leaving,
}

#[derive(Clone, Debug)]
enum Gate {
    Open,
    Closed {
        until_ms: u64,
    },
    HalfOpen {
        successes: u32,
        probe_sent_ms: Option<u64>,
    },
}

#[derive(Clone, Debug)]
struct RouteHealth {
    gate: Gate,
    failures_in_row: u32,
    failure_rate_ppm: u32,
    latency_ms: u64,
    pause_ms: u64,
    last_failure_ms: u64,
}

impl Default for RouteHealth {
    fn default() -> Self {
        Self {
            gate: Gate::Open,
            failures_in_row: 0,
            failure_rate_ppm: 0,
            latency_ms: 0,
            pause_ms: FIRST_PAUSE_MS,
            last_failure_ms: 0,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct UpstreamHealth {
    is_leaving: bool,
    routes: Vec<(RouteKey, RouteHealth)>,
}

/// Health of all upstreams, as one process sees it.
#[derive(Clone, Debug, Default)]
pub struct Health {
    upstreams: FastMap<UpstreamKey, UpstreamHealth>,
}

impl Health {
    /// Returns whether a request of this route may be sent to the upstream.
    pub fn permit(&self, upstream: UpstreamKey, route: RouteKey, now_ms: u64) -> Permit {
        let Some(health) = self.upstreams.get(&upstream) else {
            return Permit::Open;
        };
        if health.is_leaving {
            return Permit::Closed;
        }
        match health.routes.iter().find(|(key, _)| *key == route) {
            Some((_, state)) => state.permit(now_ms),
            None => Permit::Open,
        }
    }

    /// Notes that a probe was sent, so that no second one goes out before its result.
    pub fn probe_sent(&mut self, upstream: UpstreamKey, route: RouteKey, now_ms: u64) {
        self.route_mut(upstream, route).probe_sent(now_ms);
    }

    /// Takes the result of a request.
    pub fn result(
        &mut self,
        upstream: UpstreamKey,
        route: RouteKey,
        outcome: Outcome,
        now_ms: u64,
    ) {
        match outcome {
            Outcome::Success { latency_ms } => {
                self.route_mut(upstream, route).success(latency_ms, now_ms);
            }
            Outcome::Failure => self.route_mut(upstream, route).failure(now_ms),
            Outcome::ConnectionRefused => {
                self.route_mut(upstream, route).close(now_ms);
            }
            Outcome::QuarantinedCrash => {}
        }
    }

    /// Marks an upstream as leaving or, once it is listed as live again, as usable.
    pub fn set_leaving(&mut self, upstream: UpstreamKey, is_leaving: bool) {
        self.upstreams.entry(upstream).or_default().is_leaving = is_leaving;
    }

    /// Forgets an upstream that is no longer configured.
    pub fn remove(&mut self, upstream: UpstreamKey) {
        self.upstreams.remove(&upstream);
    }

    /// Returns the condition of a route of an upstream.
    pub fn condition(&self, upstream: UpstreamKey, route: RouteKey) -> Condition {
        let Some(health) = self.upstreams.get(&upstream) else {
            return Condition::Healthy;
        };
        if health.is_leaving {
            return Condition::Leaving;
        }
        match health.routes.iter().find(|(key, _)| *key == route) {
            Some((_, state)) if !matches!(state.gate, Gate::Open) => Condition::Failing,
            _ => Condition::Healthy,
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

impl RouteHealth {
    fn permit(&self, now_ms: u64) -> Permit {
        match self.gate {
            Gate::Open => Permit::Open,
            Gate::Closed { until_ms } if now_ms < until_ms => Permit::Closed,
            Gate::Closed { .. } => Permit::Probe,
            Gate::HalfOpen {
                probe_sent_ms: Some(sent_ms),
                ..
            } if now_ms < sent_ms + PROBE_TIMEOUT_MS => Permit::Closed,
            Gate::HalfOpen { .. } => Permit::Probe,
        }
    }

    fn probe_sent(&mut self, now_ms: u64) {
        let successes = match self.gate {
            Gate::Open => return,
            Gate::Closed { .. } => 0,
            Gate::HalfOpen { successes, .. } => successes,
        };
        self.gate = Gate::HalfOpen {
            successes,
            probe_sent_ms: Some(now_ms),
        };
    }

    fn success(&mut self, latency_ms: u64, now_ms: u64) {
        self.failures_in_row = 0;
        self.failure_rate_ppm -= self.failure_rate_ppm >> RATE_SHIFT;
        self.latency_ms = if self.latency_ms == 0 {
            latency_ms
        } else {
            (self.latency_ms * 15 + latency_ms) / 16
        };
        if now_ms >= self.last_failure_ms + CALM_MS {
            self.pause_ms = FIRST_PAUSE_MS;
        }
        if let Gate::HalfOpen { successes, .. } = self.gate {
            self.gate = if successes + 1 >= PROBES_TO_OPEN {
                self.failure_rate_ppm = 0;
                Gate::Open
            } else {
                Gate::HalfOpen {
                    successes: successes + 1,
                    probe_sent_ms: None,
                }
            };
        }
    }

    fn failure(&mut self, now_ms: u64) {
        self.last_failure_ms = now_ms;
        self.failures_in_row += 1;
        self.failure_rate_ppm += (1_000_000 - self.failure_rate_ppm) >> RATE_SHIFT;
        let is_bad =
            self.failures_in_row >= FAILURES_TO_CLOSE || self.failure_rate_ppm >= RATE_TO_CLOSE_PPM;
        match self.gate {
            Gate::Open if is_bad => self.close(now_ms),
            Gate::HalfOpen { .. } => self.close(now_ms),
            Gate::Open | Gate::Closed { .. } => {}
        }
    }

    fn close(&mut self, now_ms: u64) {
        self.last_failure_ms = now_ms;
        self.gate = Gate::Closed {
            until_ms: now_ms + self.pause_ms,
        };
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}
