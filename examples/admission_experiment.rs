//! Compares admission under overload with FIFO queues and least-outstanding balancing.
//!
//! `cargo run --release --example admission_experiment -- --seed N` runs a discrete-event simulation of nine routers
//! and 20 upstreams of eight slots each, with loads from half to three times the capacity. Heartbeats are up to 1.2 s
//! old. 5% of the calls fail at the end of the service time and are retried as far as the policy allows. Goodput counts
//! responses that are complete and in time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use clap::{value_parser, Arg, Command};
use monsoonfield::admission::{
    router_share, AdmissionDecision, Departure, Queue, Request, RetryBudget,
};
use monsoonfield::contract::Priority;
use monsoonfield::ids::CustomerKey;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ROUTERS: usize = 9;
const UPSTREAMS: usize = 20;
const UPSTREAM_SLOTS: u32 = 8;
const MEAN_SERVICE_MS: f64 = 2_000.0;
const RUN_MS: u64 = 300_000;

/// Start of the run, which is not counted because the queues are still filling.
const WARM_UP_MS: u64 = 30_000;

const HEARTBEAT_MS: u64 = 1_000;
const HEARTBEAT_DELAY_MS: u64 = 200;
const FAILURE_PROBABILITY: f64 = 0.05;
const ATTEMPTS_WITHOUT_BUDGET: u32 = 3;

/// Customers: priority, share of the requests, and response time limit in milliseconds.
const CUSTOMERS: [(Priority, f64, u64); 10] = [
    (Priority::High, 0.10, 6_000),
    (Priority::High, 0.05, 6_000),
    (Priority::Normal, 0.30, 10_000),
    (Priority::Normal, 0.10, 10_000),
    (Priority::Normal, 0.05, 10_000),
    (Priority::Normal, 0.03, 10_000),
    (Priority::Normal, 0.02, 10_000),
    (Priority::Low, 0.20, 20_000),
    (Priority::Low, 0.10, 20_000),
    (Priority::Low, 0.05, 20_000),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// Admission queue with early refusal, capacity shares and a retry budget.
    Admission,
    /// FIFO queue with the same capacity shares.
    Fifo,
    /// No queue: each request goes at once to the upstream with the fewest known requests in flight.
    LeastOutstanding,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: Request,
    router: usize,
    service_ms: u64,
    attempts: u32,
    is_counted: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Heartbeat,
    Done { job: usize, upstream: usize },
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    running: u32,
    waiting: VecDeque<usize>,
}

#[derive(Clone, Debug, Default)]
struct Router {
    queue: Queue,
    fifo: VecDeque<usize>,
    budget: RetryBudget,
    shares: Vec<u32>,
    outstanding: Vec<u32>,
    peers: Vec<u32>,
}

impl Router {
    fn next(&mut self, now_ms: u64) -> Option<Departure> {
        self.queue.set_in_flight(self.outstanding.iter().sum());
        self.queue.next(now_ms)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u64,
    good: u64,
    impossible: u64,
    refused: u64,
    late: u64,
    failed: u64,
}

struct Simulation {
    policy: Policy,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    jobs: Vec<Job>,
    upstreams: Vec<Upstream>,
    routers: Vec<Router>,
    history: VecDeque<(u64, Vec<Vec<u32>>)>,
    interval_ms: f64,
    calls: u64,
    max_outstanding: u32,
    counts: [Counts; 3],
    by_customer: [Counts; CUSTOMERS.len()],
}

impl Simulation {
    fn new(policy: Policy, load: f64, seed: u64) -> Self {
        let slots = f64::from(UPSTREAM_SLOTS) * UPSTREAMS as f64;
        let routers = (0..ROUTERS)
            .map(|rank| {
                let shares: Vec<u32> = (0..UPSTREAMS)
                    .map(|upstream| {
                        let name = format!("gpu-{upstream}");
                        router_share(&name, UPSTREAM_SLOTS, ROUTERS as u32, rank as u32)
                    })
                    .collect();
                let mut queue = Queue::default();
                queue.set_slots(shares.iter().sum());
                Router {
                    queue,
                    shares,
                    outstanding: vec![0; UPSTREAMS],
                    peers: vec![0; UPSTREAMS],
                    ..Router::default()
                }
            })
            .collect();
        Self {
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            jobs: Vec::new(),
            upstreams: vec![Upstream::default(); UPSTREAMS],
            routers,
            history: VecDeque::new(),
            interval_ms: MEAN_SERVICE_MS / slots / load,
            calls: 0,
            max_outstanding: 0,
            counts: Default::default(),
            by_customer: Default::default(),
        }
    }

    fn run(&mut self) {
        self.schedule(0, Event::Arrival);
        self.schedule(0, Event::Heartbeat);
        let mut next_arrival_ms = 0.0;
        while let Some(Reverse((now_ms, _, event))) = self.events.pop() {
            if now_ms > RUN_MS {
                return;
            }
            match event {
                Event::Arrival => {
                    self.arrive(now_ms);
                    next_arrival_ms -= self.interval_ms * self.rng.random::<f64>().max(1e-12).ln();
                    self.schedule(next_arrival_ms as u64, Event::Arrival);
                }
                Event::Heartbeat => {
                    self.heartbeat(now_ms);
                    self.schedule(now_ms + HEARTBEAT_MS, Event::Heartbeat);
                }
                Event::Done { job, upstream } => self.done(job, upstream, now_ms),
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn arrive(&mut self, now_ms: u64) {
        let mut point: f64 = self.rng.random();
        let customer = CUSTOMERS
            .iter()
            .position(|(_, part, _)| {
                point -= part;
                point < 0.0
            })
            .unwrap_or(CUSTOMERS.len() - 1);
        let (priority, _, limit_ms) = CUSTOMERS[customer];
        let spread: f64 = (0..6).map(|_| self.rng.random_range(-0.4..0.4)).sum();
        let service_ms = (MEAN_SERVICE_MS * 0.92 * spread.exp()) as u64;
        // The estimate is based on the maximum of output tokens, so it is more often too high than too low.
        let expected_ms = (service_ms as f64 * self.rng.random_range(0.9..1.4)) as u64;
        let number = self.jobs.len();
        let job = Job {
            request: Request {
                ticket: number as u64,
                customer: CustomerKey(customer as u32),
                priority,
                deadline_ms: now_ms + limit_ms,
                service_ms: expected_ms,
                cost_tokens: expected_ms,
            },
            router: self.rng.random_range(0..ROUTERS),
            service_ms,
            attempts: 1,
            is_counted: now_ms >= WARM_UP_MS && now_ms + limit_ms <= RUN_MS,
        };
        self.jobs.push(job);
        let is_impossible = expected_ms.max(service_ms) > limit_ms;
        self.count(number, |count| count.offered += 1);
        self.count(number, |count| count.impossible += u64::from(is_impossible));
        let router = &mut self.routers[job.router];
        router.budget.record_request();
        match self.policy {
            Policy::Admission => {
                router.queue.set_in_flight(router.outstanding.iter().sum());
                if let AdmissionDecision::Refused { .. } = router.queue.offer(job.request, now_ms) {
                    self.count(number, |count| count.refused += 1);
                }
            }
            Policy::Fifo => router.fifo.push_back(number),
            Policy::LeastOutstanding => {
                let upstream = least_outstanding(router, |_| true).unwrap_or(0);
                self.dispatch(number, upstream, now_ms);
            }
        }
        self.drain(job.router, now_ms);
    }

    /// Dispatches queued requests of a router while it has free slots.
    fn drain(&mut self, index: usize, now_ms: u64) {
        loop {
            let router = &mut self.routers[index];
            let shares = router.shares.clone();
            let outstanding = router.outstanding.clone();
            let Some(upstream) =
                least_outstanding(router, |upstream| outstanding[upstream] < shares[upstream])
            else {
                return;
            };
            match self.policy {
                Policy::Admission => match router.next(now_ms) {
                    Some(Departure::Dispatch(request)) => {
                        self.dispatch(request.ticket as usize, upstream, now_ms);
                    }
                    Some(Departure::Refuse { request, .. }) => {
                        self.count(request.ticket as usize, |count| count.refused += 1);
                    }
                    None => return,
                },
                Policy::Fifo => match router.fifo.pop_front() {
                    Some(job) => self.dispatch(job, upstream, now_ms),
                    None => return,
                },
                Policy::LeastOutstanding => return,
            }
        }
    }

    fn dispatch(&mut self, job: usize, upstream: usize, now_ms: u64) {
        self.calls += 1;
        self.routers[self.jobs[job].router].outstanding[upstream] += 1;
        let state = &mut self.upstreams[upstream];
        let held = state.running + state.waiting.len() as u32 + 1;
        self.max_outstanding = self.max_outstanding.max(held);
        if state.running < UPSTREAM_SLOTS {
            state.running += 1;
            self.start(job, upstream, now_ms);
        } else {
            state.waiting.push_back(job);
        }
    }

    fn start(&mut self, job: usize, upstream: usize, now_ms: u64) {
        let service_ms = self.jobs[job].service_ms;
        self.schedule(now_ms + service_ms, Event::Done { job, upstream });
    }

    fn done(&mut self, number: usize, upstream: usize, now_ms: u64) {
        let job = self.jobs[number];
        let router = &mut self.routers[job.router];
        router.outstanding[upstream] -= 1;
        if self.policy == Policy::Admission {
            router.queue.record_completion(job.service_ms);
        }
        match self.upstreams[upstream].waiting.pop_front() {
            Some(next) => self.start(next, upstream, now_ms),
            None => self.upstreams[upstream].running -= 1,
        }
        if self.rng.random_bool(FAILURE_PROBABILITY) {
            self.fail(number, now_ms);
        } else if now_ms <= job.request.deadline_ms {
            self.count(number, |count| count.good += 1);
        } else {
            self.count(number, |count| count.late += 1);
        }
        self.drain(job.router, now_ms);
    }

    fn fail(&mut self, number: usize, now_ms: u64) {
        let job = &mut self.jobs[number];
        let router = &mut self.routers[job.router];
        job.attempts += 1;
        let is_tried_again = match self.policy {
            Policy::Admission => {
                router.queue.set_in_flight(router.outstanding.iter().sum());
                router.budget.try_retry()
                    && router.queue.offer(job.request, now_ms) == AdmissionDecision::Queued
            }
            Policy::Fifo | Policy::LeastOutstanding => job.attempts <= ATTEMPTS_WITHOUT_BUDGET,
        };
        if !is_tried_again {
            self.count(number, |count| count.failed += 1);
            return;
        }
        match self.policy {
            Policy::Admission => {}
            Policy::Fifo => router.fifo.push_back(number),
            Policy::LeastOutstanding => {
                let upstream = least_outstanding(router, |_| true).unwrap_or(0);
                self.dispatch(number, upstream, now_ms);
            }
        }
    }

    /// Delivers to every router the load figures that the others reported some time ago.
    fn heartbeat(&mut self, now_ms: u64) {
        let figures = self
            .routers
            .iter()
            .map(|router| router.outstanding.clone())
            .collect();
        self.history.push_back((now_ms, figures));
        while self
            .history
            .front()
            .is_some_and(|(at_ms, _)| at_ms + HEARTBEAT_DELAY_MS + HEARTBEAT_MS <= now_ms)
        {
            let Some((_, figures)) = self.history.pop_front() else {
                return;
            };
            for (index, router) in self.routers.iter_mut().enumerate() {
                for upstream in 0..UPSTREAMS {
                    let others = figures
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| *other != index);
                    router.peers[upstream] =
                        others.map(|(_, outstanding)| outstanding[upstream]).sum();
                }
            }
        }
    }

    fn count(&mut self, number: usize, add: impl Fn(&mut Counts)) {
        let job = &self.jobs[number];
        if job.is_counted {
            add(&mut self.counts[job.request.priority as usize]);
            add(&mut self.by_customer[job.request.customer.0 as usize]);
        }
    }

    fn goodput(&self) -> f64 {
        let good: u64 = self.counts.iter().map(|count| count.good).sum();
        good as f64 * 1_000.0 / (RUN_MS - WARM_UP_MS) as f64
    }
}

/// Returns the usable upstream with the fewest known requests in flight, or the first one of several.
fn least_outstanding(router: &Router, is_usable: impl Fn(usize) -> bool) -> Option<usize> {
    (0..UPSTREAMS)
        .filter(|&upstream| is_usable(upstream))
        .min_by_key(|&upstream| {
            router.outstanding[upstream] * ROUTERS as u32 + router.peers[upstream]
        })
}

fn main() {
    let matches = Command::new("admission_experiment")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .get_matches();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    println!("seed {seed}, {ROUTERS} routers, {UPSTREAMS} upstreams of {UPSTREAM_SLOTS} slots");
    println!(
        "{:<18} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "policy",
        "load",
        "goodput",
        "of peak",
        "high",
        "normal",
        "low",
        "late",
        "calls/req",
        "most held"
    );
    for policy in [Policy::Admission, Policy::Fifo, Policy::LeastOutstanding] {
        let mut peak: f64 = 0.0;
        for load in [0.5, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0] {
            let mut simulation = Simulation::new(policy, load, seed);
            simulation.run();
            peak = peak.max(simulation.goodput());
            print_line(&simulation, load, peak);
        }
    }
}

fn print_line(simulation: &Simulation, load: f64, peak: f64) {
    let part = |count: &Counts| count.good as f64 / count.offered.max(1) as f64 * 100.0;
    let late: u64 = simulation.counts.iter().map(|count| count.late).sum();
    println!(
        "{:<18} {:>5.1} {:>8.1} {:>7.1}% {:>7.2}% {:>7.2}% {:>7.2}% {:>8} {:>9.2} {:>9}",
        format!("{:?}", simulation.policy),
        load,
        simulation.goodput(),
        simulation.goodput() / peak * 100.0,
        part(&simulation.counts[0]),
        part(&simulation.counts[1]),
        part(&simulation.counts[2]),
        late,
        simulation.calls as f64 / simulation.jobs.len() as f64,
        simulation.max_outstanding,
    );
    if simulation.policy == Policy::Admission && load == 3.0 {
        let high = simulation.counts[0];
        println!(
            "    high class: {} offered, {} impossible even without a queue, {} in time, {} failed upstream, {} refused, \
             {} late",
            high.offered, high.impossible, high.good, high.failed, high.refused, high.late
        );
        let parts: Vec<String> = simulation
            .by_customer
            .iter()
            .map(|count| format!("{:.0}%", part(count)))
            .collect();
        println!("    in time by customer: {}", parts.join(" "));
    }
}
