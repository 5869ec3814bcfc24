//! Observation of this VM's own load: samples for [`crate::congestion::LoadMonitor`], and what follows from its state.

use std::cell::{Cell, RefCell};
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use super::request::Call;
use super::{clock, Resources, Shared};
use crate::collections::FastSet;
use crate::congestion::{Congestion, LoadMonitor, ReportedCongestion, SendQueues};
use crate::notify::Notify;
use crate::server::{Request, Socket};

/// Interval of the timer whose lateness is measured; half of the period in which processor shares are enforced.
const TIMER_INTERVAL_MS: u64 = 50;

/// Number of timer intervals between two decisions, for which the queues of all responses are read.
const DECISION_INTERVALS: u64 = 5;

/// Load of this VM and what was decided from it.
pub(super) struct Load {
    monitor: RefCell<LoadMonitor>,
    /// State after the last sample.
    state: Cell<Congestion>,
    reported: RefCell<ReportedCongestion>,
    /// Whether the presence report states congestion.
    pub(super) is_reported: Cell<bool>,
    /// Wakes the task that reports the presence.
    pub(super) report_changed: Notify,
    /// Descriptors of the connections to which responses are being sent.
    sending: RefCell<FastSet<RawFd>>,
}

impl Load {
    pub(super) fn new(resources: &Resources) -> Self {
        let monitor = LoadMonitor::new(resources.processor_cores, resources.link_mbps);
        let state = monitor.congestion(0);
        Self {
            monitor: RefCell::new(monitor),
            state: Cell::new(state),
            reported: RefCell::default(),
            is_reported: Cell::new(false),
            report_changed: Notify::default(),
            sending: RefCell::default(),
        }
    }

    /// Returns the state after the last sample.
    pub(super) fn state(&self) -> Congestion {
        self.state.get()
    }

    /// Counts a connection as sending a response until the returned value is dropped, which must be before the
    /// connection is closed.
    pub(super) fn begin_sending(&self, caller: &Socket) -> Sending<'_> {
        let descriptor = caller.descriptor();
        self.sending.borrow_mut().insert(descriptor);
        Sending {
            load: self,
            descriptor,
        }
    }

    fn send_queues(&self) -> SendQueues {
        let mut queues = SendQueues::default();
        for descriptor in self.sending.borrow().iter() {
            queues.add(unacknowledged_bytes(*descriptor));
        }
        queues
    }
}

/// A connection to which a response is being sent.
pub(super) struct Sending<'a> {
    load: &'a Load,
    descriptor: RawFd,
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        self.load.sending.borrow_mut().remove(&self.descriptor);
    }
}

/// Returns the bytes of a connection that its peer has not acknowledged, sent or not; 0 if the kernel does not tell.
fn unacknowledged_bytes(descriptor: RawFd) -> u64 {
    let mut bytes: libc::c_int = 0;
    // SAFETY: `Load::sending` holds descriptors of open connections only, and the pointer refers to a local value of the
    // type that this request writes.
    let result = unsafe { libc::ioctl(descriptor, libc::TIOCOUTQ, &mut bytes) };
    if result == 0 {
        u64::try_from(bytes).unwrap_or(0)
    } else {
        0
    }
}

/// Measures the lateness of timers and decides what follows from the load, until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut intervals: u64 = 0;
    loop {
        let due_ms = shared.now_ms() + TIMER_INTERVAL_MS;
        monoio::time::sleep(Duration::from_millis(TIMER_INTERVAL_MS)).await;
        shared.record_load(|monitor, now_ms| monitor.record_timer(due_ms, now_ms));
        intervals += 1;
        if intervals.is_multiple_of(DECISION_INTERVALS) {
            shared.decide_on_load();
        }
    }
}

impl Shared {
    /// Records how long connecting to an upstream took.
    pub(super) fn record_connect(&self, upstream: &str, started_ms: u64) {
        self.record_load(|monitor, now_ms| monitor.record_connect(upstream, started_ms, now_ms));
        self.apply_load();
    }

    /// Records that a request was sent to an upstream for the first time.
    pub(super) fn record_dispatch(&self, call: &Call<'_>) {
        if let Some((read_ms, waited_ms)) = call.take_dispatch() {
            self.record_load(|monitor, now_ms| monitor.record_dispatch(read_ms, waited_ms, now_ms));
        }
    }

    /// Returns whether the connection to a caller is kept open after the response to a request.
    pub(super) fn keeps_connection(&self, request: &Request, caller: &Socket) -> bool {
        if !request.keep_alive || self.is_stopping() {
            return false;
        }
        let mut monitor = self.load.monitor.borrow_mut();
        let is_shed = monitor.take_close(caller.descriptor() as u64, self.now_ms());
        if is_shed {
            self.metrics.add("connections_shed", 1);
        }
        !is_shed
    }

    fn record_load(&self, record: impl FnOnce(&mut LoadMonitor, u64)) {
        let now_ms = self.now_ms();
        let mut monitor = self.load.monitor.borrow_mut();
        monitor.observe_clock(now_ms, clock::processor_ms());
        record(&mut monitor, now_ms);
    }

    fn decide_on_load(&self) {
        let queues = self.load.send_queues();
        self.record_load(|monitor, now_ms| monitor.record_send_queues(&queues, now_ms));
        let settings = &self.settings;
        let routers = self.routers.borrow();
        let fleet = routers.congestion_beside(&settings.vm, &settings.data_centre);
        let random = self.random();
        let now_ms = self.now_ms();
        let mut monitor = self.load.monitor.borrow_mut();
        let state = monitor.update(&fleet, random, now_ms);
        drop(monitor);
        let permille = u64::from(state.pressure_permille);
        self.metrics.set("congestion_permille", permille);
        self.apply_load();
    }

    /// Applies the present state to the choice of upstreams and the presence report, and logs changes.
    fn apply_load(&self) {
        let now_ms = self.now_ms();
        let state = self.load.monitor.borrow().congestion(now_ms);
        let before = self.load.state.replace(state);
        let mut placement = self.placement.borrow_mut();
        placement.suspect_own_congestion(state.is_suspected);
        if before.is_congested != state.is_congested {
            log::info!(
                step = "congestion", congested = state.is_congested,
                pressure_permille = state.pressure_permille, bottleneck = state.bottleneck.name(),
                connections = self.connections.get(), open_requests = self.open_requests.get(),
                at_ms = now_ms;
                "congestion of this VM {}", if state.is_congested { "begins" } else { "ends" }
            );
        }
        if before.is_ready != state.is_ready {
            self.record_withdrawal(state, now_ms);
        }
        self.report_congestion(state.is_congested, now_ms);
    }

    fn record_withdrawal(&self, state: Congestion, now_ms: u64) {
        if !state.is_ready {
            self.metrics.add("withdrawals", 1);
        }
        log::info!(
            step = "withdrawal", ready = state.is_ready, pressure_permille = state.pressure_permille,
            bottleneck = state.bottleneck.name(), connections = self.connections.get(),
            shed = self.metrics.value("connections_shed"), at_ms = now_ms;
            "{}", if state.is_ready {
                "in rotation again"
            } else {
                "out of rotation for some seconds, to move callers to other gateways"
            }
        );
    }

    /// Tells other gateways when this VM is congested for some time, so that the rights of teams move away from it, and
    /// when that has ended.
    fn report_congestion(&self, is_congested: bool, now_ms: u64) {
        let is_reported = self.load.reported.borrow_mut().update(is_congested, now_ms);
        if self.load.is_reported.replace(is_reported) == is_reported {
            return;
        }
        self.metrics
            .set("congestion_reported", u64::from(is_reported));
        self.load.report_changed.notify();
        log::info!(
            step = "congestion", reported = is_reported, at_ms = now_ms;
            "{}", if is_reported {
                "sustained congestion of this VM, the rights of teams move to other gateways"
            } else {
                "no congestion of this VM for some time, it may hold the rights of teams again"
            }
        );
    }
}
