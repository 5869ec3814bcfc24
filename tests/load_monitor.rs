//! When a VM counts as congested, and how its callers move to other routers.

use monsoonfield::congestion::{
    Bottleneck, Congestion, FleetCongestion, LoadMonitor, SendQueues, Withdrawal,
};

/// Processor share and link of the VM in these tests.
const CORES: f64 = 0.12;
const LINK_MBPS: f64 = 10.0;

/// Interval of the timer whose lateness is measured, and of decisions.
const TIMER_MS: u64 = 50;
const DECISION_MS: u64 = 250;

/// Other routers, none of which is congested.
const CALM_FLEET: FleetCongestion = FleetCongestion {
    others: 78,
    congested_others: 0,
    local_others: 25,
    congested_local_others: 0,
};

/// A monitor with the processor time of a process that uses all of its share.
struct Vm {
    monitor: LoadMonitor,
    now_ms: u64,
    processor_ms: f64,
}

impl Vm {
    fn new() -> Self {
        Self {
            monitor: LoadMonitor::new(CORES, LINK_MBPS),
            now_ms: 0,
            processor_ms: 0.0,
        }
    }

    /// Lets time pass in which the process works.
    fn work(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        self.processor_ms += time_ms as f64 * CORES;
        self.monitor
            .observe_clock(self.now_ms, self.processor_ms as u64);
    }

    /// Lets a timer fire late.
    fn fire_timer(&mut self, late_ms: u64) {
        let due_ms = self.now_ms + TIMER_MS;
        self.work(TIMER_MS + late_ms);
        self.monitor.record_timer(due_ms, self.now_ms);
    }

    fn state(&self) -> Congestion {
        self.monitor.congestion(self.now_ms)
    }
}

/// Guards against taking the periods of an enforced processor share for congestion: timers are late by tens of
/// milliseconds in each tenth of a second there. Sustained lateness is congestion, a single late timer is not.
#[test]
fn only_timers_that_are_late_by_more_than_a_period_for_some_time_mean_congestion() {
    let cases = [
        ("on time", vec![0; 100], false),
        ("late by most of each period", vec![88; 100], false),
        (
            "once late by a second",
            [vec![0; 50], vec![1_000], vec![0; 10]].concat(),
            false,
        ),
        ("late by four periods for some seconds", vec![400; 20], true),
    ];
    for (case, lateness, expected) in cases {
        let mut vm = Vm::new();
        for late_ms in lateness {
            vm.fire_timer(late_ms);
        }
        assert_eq!(
            vm.state().is_congested,
            expected,
            "{case}: {:?}",
            vm.state()
        );
    }
}

/// Guards against taking the gap of a stopped process or a suspended VM for congestion: everything that was under way
/// seems to have taken as long as the gap.
#[test]
fn what_took_as_long_as_a_stop_of_the_process_does_not_count() {
    for gap_ms in [300, 3_000, 30_000] {
        let mut vm = Vm::new();
        for _ in 0..20 {
            vm.fire_timer(0);
        }
        let started_ms = vm.now_ms;
        vm.now_ms += gap_ms;
        for upstream in 0..8 {
            vm.monitor.observe_clock(vm.now_ms, vm.processor_ms as u64);
            let upstream = format!("i-{upstream}");
            vm.monitor.record_connect(&upstream, started_ms, vm.now_ms);
            vm.monitor.record_dispatch(started_ms, 0, vm.now_ms);
        }
        vm.monitor.record_timer(started_ms + TIMER_MS, vm.now_ms);
        assert_eq!(
            vm.state().pressure_permille,
            0,
            "{gap_ms} ms: {:?}",
            vm.state()
        );
    }
}

/// Guards against missing congestion while few connects happen: with 313 open connections, a request waited 2.3 s until
/// it was sent. Waiting for rights or permissions is not congestion.
#[test]
fn requests_that_wait_in_the_process_mean_congestion() {
    for (delay_ms, waited_ms, expected) in [(90, 0, false), (500, 0, true), (500, 450, false)] {
        let mut vm = Vm::new();
        for _ in 0..100 {
            let read_ms = vm.now_ms;
            vm.work(30);
            let now_ms = read_ms + delay_ms;
            vm.monitor
                .record_dispatch(read_ms, waited_ms, now_ms.max(vm.now_ms));
        }
        let case = format!(
            "{delay_ms} ms, {waited_ms} ms of them waited: {:?}",
            vm.state()
        );
        assert_eq!(vm.state().is_congested, expected, "{case}");
    }
}

/// Guards against missing a link that is full of responses, and against mistaking callers that do not read for one.
#[test]
fn responses_that_all_wait_for_the_link_mean_congestion() {
    let cases: [(&str, usize, u64, usize, bool); 4] = [
        ("all wait", 40, 20_000, 0, true),
        ("all have little under way", 40, 300, 0, false),
        ("some callers do not read", 10, 4_000_000, 40, false),
        ("one caller does not read", 1, 4_000_000, 0, false),
    ];
    for (case, waiting, bytes, idle, expected) in cases {
        let mut vm = Vm::new();
        for _ in 0..20 {
            vm.work(DECISION_MS);
            let mut queues = SendQueues::default();
            (0..waiting).for_each(|_| queues.add(bytes));
            (0..idle).for_each(|_| queues.add(0));
            vm.monitor.record_send_queues(&queues, vm.now_ms);
        }
        let state = vm.state();
        assert_eq!(state.is_congested, expected, "{case}: {state:?}");
        assert!(!expected || state.bottleneck == Bottleneck::SendQueue);
    }
}

/// Plays steady pressure; returns the times at which the router was not ready, in steps of 100 ms.
fn times_not_ready(pressure_permille: u32, fleet: &FleetCongestion, time_ms: u64) -> Vec<u64> {
    let mut withdrawal = Withdrawal::default();
    let mut times = Vec::new();
    for now_ms in (0..time_ms).step_by(100) {
        withdrawal.update(pressure_permille, fleet, 7, now_ms);
        if withdrawal.is_withdrawn(now_ms) {
            times.push(now_ms);
        }
    }
    times
}

/// Guards against a router that is not ready for an eighth of the time, however long it is observed.
#[test]
fn a_router_is_ready_for_seven_eighths_of_the_time() {
    let times = times_not_ready(1_000, &CALM_FLEET, 600_000);
    assert!(!times.is_empty(), "a congested router withdraws");
    for end_ms in (40_000..600_000).step_by(100) {
        let not_ready_ms = times.iter().filter(|at_ms| **at_ms < end_ms).count() as u64 * 100;
        assert!(not_ready_ms * 8 < end_ms, "{not_ready_ms} of {end_ms} ms");
    }
}

/// Guards against routers that all turn callers away when all are congested, and against a withdrawal without effect.
#[test]
fn a_router_withdraws_only_if_others_can_take_its_callers() {
    let cases = [
        ("no other is congested", CALM_FLEET, true),
        (
            "a third of the fleet is congested",
            FleetCongestion {
                congested_others: 26,
                ..CALM_FLEET
            },
            true,
        ),
        (
            "half of the fleet is congested",
            FleetCongestion {
                congested_others: 39,
                ..CALM_FLEET
            },
            false,
        ),
        (
            "half of the data centre is congested",
            FleetCongestion {
                congested_local_others: 13,
                ..CALM_FLEET
            },
            false,
        ),
        (
            "alone in its data centre",
            FleetCongestion {
                local_others: 0,
                ..CALM_FLEET
            },
            false,
        ),
    ];
    for (case, fleet, expected) in cases {
        let times = times_not_ready(1_000, &fleet, 60_000);
        assert_eq!(!times.is_empty(), expected, "{case}");
    }
    assert!(
        times_not_ready(200, &CALM_FLEET, 60_000).is_empty(),
        "little pressure"
    );
}

/// Callers behind a load balancer that hashes all of them to one router.
struct Callers {
    /// For each caller whose connection is at the router, the time of its next response.
    next_response_ms: Vec<Option<u64>>,
    /// Time since which the load balancer has seen the present state of readiness.
    seen_since_ms: u64,
    is_in_rotation: bool,
    /// Connections that were closed although their callers come back to the same router.
    closed_in_vain: u32,
}

impl Callers {
    /// Time that the load balancer takes to notice that a router is not ready, and that it is.
    const NOTICE_MS: (u64, u64) = (2_000, 1_000);

    /// Time between two responses to one caller.
    const RESPONSE_MS: u64 = 1_000;

    /// Time between two callers that come back because their connections elsewhere have ended.
    const RETURN_MS: u64 = 2_000;

    fn new(count: u64) -> Self {
        let first_ms = |caller| Some(caller * Self::RESPONSE_MS / count);
        Self {
            next_response_ms: (0..count).map(first_ms).collect(),
            seen_since_ms: 0,
            is_in_rotation: true,
            closed_in_vain: 0,
        }
    }

    fn count(&self) -> u64 {
        self.next_response_ms.iter().flatten().count() as u64
    }

    fn probe(&mut self, is_ready: bool, now_ms: u64) {
        if is_ready == self.is_in_rotation {
            self.seen_since_ms = now_ms;
        }
        let (out_ms, in_ms) = Self::NOTICE_MS;
        let notice_ms = if is_ready { in_ms } else { out_ms };
        if now_ms - self.seen_since_ms >= notice_ms {
            self.is_in_rotation = is_ready;
        }
    }

    /// Ends the responses that are due; `closes` tells for each caller whether its connection is closed.
    fn respond(&mut self, now_ms: u64, mut closes: impl FnMut(u64) -> bool) {
        for (caller, next_ms) in self.next_response_ms.iter_mut().enumerate() {
            if next_ms.is_none_or(|at_ms| at_ms > now_ms) {
                continue;
            }
            *next_ms = Some(now_ms + Self::RESPONSE_MS);
            if closes(caller as u64) && self.is_in_rotation {
                self.closed_in_vain += 1;
            } else if closes(caller as u64) {
                *next_ms = None;
            }
        }
    }

    /// Lets one caller that was sent away connect again; it reaches the router if that is in rotation.
    fn come_back(&mut self, now_ms: u64) {
        let away = self.next_response_ms.iter_mut().find(|next| next.is_none());
        if let Some(next_ms) = away.filter(|_| self.is_in_rotation) {
            *next_ms = Some(now_ms);
        }
    }
}

/// Guards against a load that oscillates because callers are sent away and come back, against closing connections whose
/// callers come back to the same router, and against sending away far more callers than necessary.
#[test]
fn the_load_of_a_congested_router_settles() {
    const CALLERS: u64 = 400;
    /// Callers that the VM can serve.
    const CAPACITY: u64 = 150;
    const TIME_MS: u64 = 1_200_000;
    let mut callers = Callers::new(CALLERS);
    let mut vm = Vm::new();
    let mut counts = Vec::new();
    let mut returned_ms = 0;
    while vm.now_ms < TIME_MS {
        // Timers are late once work of more than a period is queued.
        let load_percent = callers.count() * 100 / CAPACITY;
        vm.fire_timer(load_percent.saturating_sub(80) * 2);
        vm.monitor.update(&CALM_FLEET, 7, vm.now_ms);
        callers.probe(vm.state().is_ready, vm.now_ms);
        let now_ms = vm.now_ms;
        callers.respond(now_ms, |caller| vm.monitor.take_close(caller, now_ms));
        if now_ms - returned_ms >= Callers::RETURN_MS {
            returned_ms = now_ms;
            callers.come_back(now_ms);
        }
        if now_ms > TIME_MS / 3 {
            counts.push(callers.count());
        }
    }
    assert_eq!(callers.closed_in_vain, 0);
    let (least, most) = (counts.iter().min(), counts.iter().max());
    let case = format!("between {least:?} and {most:?} of {CALLERS} callers in the end");
    // At 168% of the capacity, timers of this VM are late enough for a withdrawal; some callers come back before it.
    assert!(most < Some(&(CAPACITY * 9 / 5)), "{case}");
    assert!(least > Some(&CAPACITY), "{case}");
}

/// Guards against a burst of connections at the other routers, and against drawing for each response, which sends
/// callers with many requests away.
#[test]
fn a_share_of_the_connections_is_closed_at_a_bounded_rate() {
    let mut withdrawal = Withdrawal::default();
    let mut now_ms = 0;
    while withdrawal.shed_permille(now_ms) == 0 {
        now_ms += 100;
        withdrawal.update(800, &CALM_FLEET, 0, now_ms);
    }
    let first: Vec<u64> = (0..100)
        .filter(|id| withdrawal.take_close(*id, now_ms))
        .collect();
    assert!(
        (30..70).contains(&first.len()),
        "{} of 100 at 480 per mille",
        first.len()
    );
    let again: Vec<u64> = (0..100)
        .filter(|id| withdrawal.take_close(*id, now_ms + 1_000))
        .collect();
    assert_eq!(first, again);
    let all = (0..10_000)
        .filter(|id| withdrawal.take_close(*id, now_ms))
        .count();
    assert!(all <= 100, "{all} closed in a second");
}
