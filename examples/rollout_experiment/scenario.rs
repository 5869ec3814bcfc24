//! Simulated upstreams: load, noise and the fault of the new version.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Routes of the model with their shares of the requests.
pub(crate) const ROUTES: [(&str, f64); 3] = [
    ("large/chat", 0.5),
    ("large/stream", 0.3),
    ("large/batch", 0.2),
];

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultKind {
    /// The version is bad from the start.
    Immediate,
    /// The version turns bad at a random time, during or after the rollout.
    Delayed,
    /// The version is bad only above a random load.
    AboveLoad,
    /// The version is bad on one route.
    OneRoute,
    /// The version is slow but does not fail.
    Slow,
    /// The version is good; both versions are subject to noise.
    NoFault,
}

impl FaultKind {
    /// Returns the name that the tables print.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Immediate => "bad at once",
            Self::Delayed => "bad later",
            Self::AboveLoad => "bad above a load",
            Self::OneRoute => "bad on one route",
            Self::Slow => "slow",
            Self::NoFault => "good, noisy day",
        }
    }
}

/// Size of the replays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scale {
    /// Mean requests per second of the whole fleet.
    pub(crate) requests_per_second: f64,
    /// Time from the start to the deadline.
    pub(crate) deadline_ms: u64,
    /// Time that is simulated after the deadline, or after the version turned bad if that is later.
    pub(crate) after_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Burst {
    start_ms: u64,
    end_ms: u64,
    route: Option<usize>,
    failure: f64,
    latency: f64,
}

/// Conditions of one replay, drawn from its seed.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// What is wrong with the new version.
    pub(crate) kind: FaultKind,
    /// Size of the replay.
    pub(crate) scale: Scale,
    /// Bad route, for [`FaultKind::OneRoute`].
    pub(crate) bad_route: usize,
    /// Time at which the version turns bad.
    pub(crate) onset_ms: u64,
    /// Start and end of the log outage; equal if there is none.
    pub(crate) outage_ms: (u64, u64),
    load_threshold: f64,
    bad_failure: f64,
    bad_latency: f64,
    base_failure: [f64; 3],
    base_latency_ms: [f64; 3],
    sigma: f64,
    load_phase: f64,
    load_amplitude: f64,
    bursts: Vec<Burst>,
}

impl Scenario {
    /// Draws the conditions of a replay.
    pub(crate) fn draw(kind: FaultKind, scale: Scale, rng: &mut Pcg64Mcg) -> Self {
        let length_ms = 2 * scale.deadline_ms + scale.after_ms;
        let is_smallest = rng.random_bool(0.5);
        let is_latency =
            kind == FaultKind::Slow || (kind != FaultKind::NoFault && rng.random_bool(0.3));
        let bad_failure = if is_smallest {
            0.05
        } else {
            rng.random_range(0.05..0.4)
        };
        let bad_latency = if is_smallest {
            1.3
        } else {
            rng.random_range(1.3..4.0)
        };
        let load_amplitude = rng.random_range(0.0..0.4);
        let has_outage = rng.random_bool(0.2);
        let outage_start_ms = rng.random_range(0..scale.deadline_ms * 8 / 10);
        let mut bursts = Vec::new();
        let mut time_ms = 0;
        while time_ms < length_ms {
            time_ms += rng.random_range(60_000..1_200_000);
            let end_ms = time_ms + rng.random_range(10_000..180_000);
            bursts.push(Burst {
                start_ms: time_ms,
                end_ms,
                route: rng
                    .random_bool(0.5)
                    .then(|| rng.random_range(0..ROUTES.len())),
                failure: rng.random_range(0.0..0.2),
                latency: rng.random_range(1.0..2.5),
            });
        }
        Self {
            kind,
            scale,
            bad_route: rng.random_range(0..ROUTES.len()),
            onset_ms: match kind {
                FaultKind::Delayed => {
                    rng.random_range(scale.deadline_ms / 8..scale.deadline_ms * 5 / 4)
                }
                _ => 0,
            },
            outage_ms: if has_outage {
                (outage_start_ms, outage_start_ms + 120_000)
            } else {
                (0, 0)
            },
            load_threshold: rng.random_range(0.03..0.95) * (1.0 - load_amplitude),
            bad_failure: if is_latency { 0.0 } else { bad_failure },
            bad_latency: if is_latency { bad_latency } else { 1.0 },
            base_failure: std::array::from_fn(|_| rng.random_range(0.002..0.04)),
            base_latency_ms: std::array::from_fn(|_| rng.random_range(100.0..600.0)),
            sigma: rng.random_range(0.3..0.8),
            load_phase: rng.random_range(0.0..std::f64::consts::TAU),
            load_amplitude,
            bursts,
        }
    }

    /// Returns the load at a time as a factor around 1.
    pub(crate) fn load(&self, now_ms: u64) -> f64 {
        let angle = now_ms as f64 / 7_200_000.0 * std::f64::consts::TAU;
        1.0 + self.load_amplitude * (angle + self.load_phase).sin()
    }

    /// Returns whether the new version is currently bad on a route of which it serves this share.
    pub(crate) fn is_bad(&self, route: usize, share: f64, now_ms: u64) -> bool {
        match self.kind {
            FaultKind::NoFault => false,
            FaultKind::Immediate | FaultKind::Slow => true,
            FaultKind::Delayed => now_ms >= self.onset_ms,
            FaultKind::AboveLoad => share * self.load(now_ms) >= self.load_threshold,
            FaultKind::OneRoute => route == self.bad_route,
        }
    }

    /// Draws the latency of a request, or `None` if it fails.
    pub(crate) fn serve(
        &self,
        route: usize,
        is_bad: bool,
        now_ms: u64,
        rng: &mut Pcg64Mcg,
    ) -> Option<f64> {
        let mut failure = self.base_failure[route];
        let mut latency_ms = self.base_latency_ms[route] * self.load(now_ms);
        for burst in &self.bursts {
            let is_active = burst.start_ms <= now_ms && now_ms < burst.end_ms;
            if is_active && burst.route.is_none_or(|hit| hit == route) {
                failure += burst.failure;
                latency_ms *= burst.latency;
            }
        }
        if is_bad {
            failure += self.bad_failure;
            latency_ms *= self.bad_latency;
        }
        if rng.random_bool(failure.min(1.0)) {
            return None;
        }
        Some(latency_ms * (self.sigma * normal(rng)).exp())
    }
}

/// Draws from the standard normal distribution by the polar method.
fn normal(rng: &mut Pcg64Mcg) -> f64 {
    loop {
        let (x, y): (f64, f64) = (rng.random_range(-1.0..1.0), rng.random_range(-1.0..1.0));
        let square = x * x + y * y;
        if square > 0.0 && square < 1.0 {
            return x * (-2.0 * square.ln() / square).sqrt();
        }
    }
}
