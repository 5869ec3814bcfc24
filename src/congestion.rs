//! Detection of a network link or processor of this VM that is itself the bottleneck, and what follows from it.
//!
//! [`LoadMonitor`] combines four signals, each smoothed over about a second:
//!
//! | signal | shows |
//! | --- | --- |
//! | connects to upstreams, see [`CongestionDetector`] | packets that queue in either direction |
//! | time from a request's last byte to its first byte at an upstream | work that queues in the process |
//! | lateness of the event loop's timers | a processor share that is used up for longer than its period |
//! | bytes of responses that callers' hosts have not acknowledged | responses that queue at the link |
//!
//! The load balancer hashes callers to routers, so a caller whose connection is closed comes back to the same router
//! unless that one is out of rotation. Callers are therefore moved in short withdrawals, see [`Withdrawal`]. While
//! connects are slow, the router is not ready and closes connections for as long as that lasts, unless half of the other
//! routers are congested, too. The design is in `docs/design/congested-vm.md`.

mod connects;
mod withdrawal;

pub use connects::{CongestionDetector, ReportedCongestion, SLOW_CONNECT_MS};
pub use withdrawal::{FleetCongestion, Withdrawal};

/// Time constant of the smoothing.
const SMOOTHING_MS: f64 = 1_000.0;

/// Longest time for which one sample counts.
const MAX_SAMPLE_MS: u64 = 500;

/// Time without a sample after which a signal decays.
const SAMPLE_VALIDITY_MS: u64 = 1_000;

/// Lateness of timers from which on a processor share counts as scarce, and at which it counts as used up.
///
/// A share that is enforced in periods of 100 ms makes timers late by up to a period, whatever the load. A longer
/// lateness means that work of several periods is queued.
const TIMER_LATENESS_MS: (f64, f64) = (100.0, 400.0);

/// Time until a request is sent to an upstream from which on the process counts as busy, and at which it counts as
/// congested. A tenth of a second is usual where a processor share is enforced in periods.
const DISPATCH_DELAY_MS: (f64, f64) = (100.0, 400.0);

/// Time that the link needs for the queued bytes from which on it counts as busy, and at which it counts as congested.
const QUEUED_MS: (f64, f64) = (50.0, 400.0);

/// Unacknowledged bytes of one connection that count. A caller that does not read fills its buffers, and is not a sign
/// of a full link.
const MAX_QUEUED_BYTES: u64 = 32 << 10;

/// Smallest number of responses with unacknowledged bytes that shows a full link.
const MIN_QUEUED_RESPONSES: usize = 4;

/// Pressure while connects to several upstreams are slow, in thousandths.
const CONNECT_PRESSURE_PERMILLE: u32 = 800;

/// Pressure from which on the VM counts as congested, in thousandths.
const CONGESTED_PERMILLE: u32 = 500;

/// Pressure below which congestion ends, in thousandths.
const RELIEVED_PERMILLE: u32 = 250;

/// Shortest time without any observation that can be a stop of the process or a suspension of the VM.
const MIN_FREEZE_MS: u64 = 250;

/// Part of the processor share below which the process did not run in such a time; a busy process uses all of it.
const FROZEN_PROCESSOR_PART: f64 = 0.25;

/// A signal in milliseconds, smoothed over time. Without samples it decays.
#[derive(Clone, Copy, Debug)]
struct SmoothedSignal {
    /// Value up to which there is no pressure, and the one at which it is full. Higher samples count as the latter, so
    /// that a single one is not taken for a lasting state.
    bounds_ms: (f64, f64),
    value_ms: f64,
    updated_ms: u64,
}

impl SmoothedSignal {
    fn new(bounds_ms: (f64, f64)) -> Self {
        Self {
            bounds_ms,
            value_ms: 0.0,
            updated_ms: 0,
        }
    }

    /// Adds a sample, which counts for the time since the last one.
    fn add(&mut self, sample_ms: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        let before_ms = self.at(now_ms);
        let counted_ms = elapsed_ms.clamp(1, MAX_SAMPLE_MS) as f64;
        let weight = 1.0 - (-counted_ms / SMOOTHING_MS).exp();
        self.value_ms = before_ms + weight * (sample_ms.min(self.bounds_ms.1) - before_ms);
        self.updated_ms = now_ms;
    }

    /// Returns the value at a time.
    fn at(&self, now_ms: u64) -> f64 {
        let idle_ms = now_ms.saturating_sub(self.updated_ms + SAMPLE_VALIDITY_MS) as f64;
        self.value_ms * (-idle_ms / SMOOTHING_MS).exp()
    }

    /// Returns the value as pressure, in thousandths.
    fn pressure_permille(&self, now_ms: u64) -> u32 {
        let (low_ms, high_ms) = self.bounds_ms;
        let part = (self.at(now_ms) - low_ms) / (high_ms - low_ms);
        (part.clamp(0.0, 1.0) * 1_000.0) as u32
    }
}

/// The signal that shows the highest pressure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bottleneck {
    /// None of them shows any.
    #[default]
    None,
    /// Connects to several upstreams are slow.
    Connects,
    /// Requests wait in the process.
    Dispatch,
    /// Timers fire late.
    Timers,
    /// Responses wait for the link.
    SendQueue,
}

impl Bottleneck {
    /// Returns the name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Connects => "connects",
            Self::Dispatch => "dispatch",
            Self::Timers => "timers",
            Self::SendQueue => "send queue",
        }
    }
}

/// What the signals show, and what follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Congestion {
    /// How much the VM is congested: 0 not at all, 1,000 fully.
    pub pressure_permille: u32,
    /// Signal that shows it.
    pub bottleneck: Bottleneck,
    /// Whether the VM counts as congested.
    pub is_congested: bool,
    /// Whether a connect that times out may be the fault of this VM rather than of its upstream.
    pub is_suspected: bool,
    /// Whether the load balancer may send callers here, as far as congestion is concerned.
    pub is_ready: bool,
    /// Share of the callers' connections to close after their next response, in thousandths.
    pub shed_permille: u32,
}

/// Queues of the connections to callers to which responses are being sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendQueues {
    /// Connections to which responses are being sent.
    responses: usize,
    /// Those of them with unacknowledged bytes.
    queued_responses: usize,
    queued_bytes: u64,
}

impl SendQueues {
    /// Adds a connection with its unacknowledged bytes.
    pub fn add(&mut self, unacknowledged_bytes: u64) {
        self.responses += 1;
        self.queued_responses += usize::from(unacknowledged_bytes > 0);
        self.queued_bytes += unacknowledged_bytes.min(MAX_QUEUED_BYTES);
    }

    /// Returns how long a link needs for the queued bytes; 0 if only some connections have any, because then their
    /// callers are slow and not the link.
    fn queued_ms(&self, link_mbps: f64) -> f64 {
        let is_link = self.queued_responses >= MIN_QUEUED_RESPONSES
            && self.queued_responses * 2 >= self.responses;
        if is_link {
            self.queued_bytes as f64 * 8.0 / (link_mbps * 1_000.0)
        } else {
            0.0
        }
    }
}

/// Combines the signals of congestion and decides what follows.
#[derive(Clone, Debug)]
pub struct LoadMonitor {
    processor_cores: f64,
    link_mbps: f64,
    connects: CongestionDetector,
    timer_lateness: SmoothedSignal,
    dispatch_delay: SmoothedSignal,
    queued: SmoothedSignal,
    withdrawal: Withdrawal,
    /// Whether other routers can take callers, by the last decision.
    can_move_callers: bool,
    /// Whether the VM counted as congested at the last decision.
    was_congested: bool,
    /// Time of the last observation, and the processor time that the process had used by then.
    observed_ms: u64,
    observed_processor_ms: u64,
    /// End of the last time in which the process did not run; samples that began before do not count.
    resumed_ms: u64,
}

impl LoadMonitor {
    /// Creates a monitor for a VM with a processor share and a link.
    pub fn new(processor_cores: f64, link_mbps: f64) -> Self {
        Self {
            processor_cores,
            link_mbps,
            connects: CongestionDetector::default(),
            timer_lateness: SmoothedSignal::new(TIMER_LATENESS_MS),
            dispatch_delay: SmoothedSignal::new(DISPATCH_DELAY_MS),
            queued: SmoothedSignal::new(QUEUED_MS),
            withdrawal: Withdrawal::default(),
            can_move_callers: true,
            was_congested: false,
            observed_ms: 0,
            observed_processor_ms: 0,
            resumed_ms: 0,
        }
    }

    /// Observes the clock and the processor time of the process; to be called before each sample.
    ///
    /// A long time in which the process used hardly any of its processor share was not spent with work: the process was
    /// stopped or the VM suspended. What took that long says nothing about the load.
    pub fn observe_clock(&mut self, now_ms: u64, processor_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.observed_ms);
        let used_ms = processor_ms.saturating_sub(self.observed_processor_ms) as f64;
        let share_ms = elapsed_ms as f64 * self.processor_cores;
        if elapsed_ms >= MIN_FREEZE_MS && used_ms < share_ms * FROZEN_PROCESSOR_PART {
            self.resumed_ms = now_ms;
        }
        self.observed_ms = now_ms;
        self.observed_processor_ms = processor_ms;
    }

    /// Records a connect to an upstream, whether it succeeded or not.
    pub fn record_connect(&mut self, upstream: &str, started_ms: u64, now_ms: u64) {
        if started_ms >= self.resumed_ms {
            let elapsed_ms = now_ms.saturating_sub(started_ms);
            self.connects.record_connect(upstream, elapsed_ms, now_ms);
        }
    }

    /// Records that a request, whose last byte was read at `read_ms`, was sent to an upstream; it waited `waited_ms` of
    /// that time for rights or permissions.
    pub fn record_dispatch(&mut self, read_ms: u64, waited_ms: u64, now_ms: u64) {
        if read_ms >= self.resumed_ms {
            let delay_ms = now_ms.saturating_sub(read_ms + waited_ms);
            self.dispatch_delay.add(delay_ms as f64, now_ms);
        }
    }

    /// Records a timer that was due at a time.
    pub fn record_timer(&mut self, due_ms: u64, now_ms: u64) {
        if due_ms >= self.resumed_ms {
            let late_ms = now_ms.saturating_sub(due_ms);
            self.timer_lateness.add(late_ms as f64, now_ms);
        }
    }

    /// Records the queues of the connections to callers.
    pub fn record_send_queues(&mut self, queues: &SendQueues, now_ms: u64) {
        self.queued.add(queues.queued_ms(self.link_mbps), now_ms);
    }

    /// Decides on the withdrawal of this router and returns the state.
    pub fn update(&mut self, fleet: &FleetCongestion, random: u32, now_ms: u64) -> Congestion {
        let pressure_permille = self.pressure(now_ms).1;
        let withdrawal = &mut self.withdrawal;
        withdrawal.update(pressure_permille, fleet, random, now_ms);
        self.can_move_callers = fleet.spare_permille() > 0;
        let congestion = self.congestion(now_ms);
        self.was_congested = congestion.is_congested;
        congestion
    }

    /// Returns the state.
    pub fn congestion(&self, now_ms: u64) -> Congestion {
        let (bottleneck, pressure_permille) = self.pressure(now_ms);
        let is_congested = pressure_permille >= CONGESTED_PERMILLE
            || self.was_congested && pressure_permille >= RELIEVED_PERMILLE;
        Congestion {
            pressure_permille,
            bottleneck,
            is_congested,
            is_suspected: is_congested || self.connects.is_suspected(now_ms),
            is_ready: !self.withdrawal.is_withdrawn(now_ms) && !self.turns_callers_away(now_ms),
            shed_permille: self.withdrawal.shed_permille(now_ms),
        }
    }

    /// Returns whether a connection is to be closed after its present response, and if so counts it.
    pub fn take_close(&mut self, connection: u64, now_ms: u64) -> bool {
        self.turns_callers_away(now_ms) || self.withdrawal.take_close(connection, now_ms)
    }

    /// Returns whether the router is out of rotation because its link is saturated, which slow connects show.
    ///
    /// Requests then wait for seconds, so callers are sent away for as long as it lasts. Withdrawals alone, which are
    /// short and rare, left 800 connections at a VM that had 340 with this rule.
    fn turns_callers_away(&self, now_ms: u64) -> bool {
        self.can_move_callers && self.connects.is_congested(now_ms)
    }

    /// Returns the highest pressure and its signal; of equal ones the first.
    fn pressure(&self, now_ms: u64) -> (Bottleneck, u32) {
        let connects = if self.connects.is_congested(now_ms) {
            CONNECT_PRESSURE_PERMILLE
        } else {
            0
        };
        let signals = [
            (Bottleneck::Connects, connects),
            (
                Bottleneck::Dispatch,
                self.dispatch_delay.pressure_permille(now_ms),
            ),
            (
                Bottleneck::Timers,
                self.timer_lateness.pressure_permille(now_ms),
            ),
            (Bottleneck::SendQueue, self.queued.pressure_permille(now_ms)),
        ];
        let mut highest = (Bottleneck::None, 0);
        for signal in signals {
            if signal.1 > highest.1 {
                highest = signal;
            }
        }
        highest
    }
}
