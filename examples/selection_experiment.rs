//! Compares the selection of upstreams with random and round-robin selection, and measures its cost with 4,800 workers.
//!
//! `cargo run --release --example selection_experiment -- --seed N` simulates nine routers in three data centres with
//! 20 and 10 model workers. Conversations grow with each turn, and each turn arrives at a random router. Cache events
//! are 0.5 to 2 s old, one in 20 is lost and reported as a gap, and heartbeats are up to 1.2 s old.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

use clap::{value_parser, Arg, Command};
use monsoonfield::collections::FastMap;
use monsoonfield::ids::{RouteKey, UpstreamKey, VersionKey};
use monsoonfield::selection::{
    CacheChange, Request, Role, Selector, UpstreamDescription, BLOCK_TOKENS,
};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ROUTERS: usize = 9;
const DATA_CENTRES: usize = 3;

/// Round trip between two data centres.
const REMOTE_ROUND_TRIP_US: u32 = 2_000;

/// Requests for which a worker generates tokens concurrently.
const SLOTS: u32 = 16;

/// Prefill rate of a worker in tokens per second; prompts are processed one after the other.
const PROMPT_TOKENS_PER_SECOND: u64 = 8_000;

/// Tokens that a worker generates per second at full load.
const TOKENS_PER_SECOND: u64 = 500;

/// Capacity of a worker's prefix cache in blocks.
const CACHE_BLOCKS: usize = 2_000;

/// Requests per second and worker: about 70% of the slots, and of the prefill rate if nothing is cached.
const REQUESTS_PER_WORKER: f64 = 2.6;

const RUN_US: u64 = 300_000_000;
const WARM_UP_US: u64 = 60_000_000;
const HEARTBEAT_US: u64 = 1_000_000;
const MAX_PROMPT_BLOCKS: usize = 60;

const ROUTE: RouteKey = RouteKey(0);
const VERSION: VersionKey = VersionKey(0);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    ExpectedCost,
    Random,
    RoundRobin,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Heartbeat,
    PrefillDone {
        worker: usize,
        job: usize,
    },
    Done {
        worker: usize,
        job: usize,
    },
    Cache {
        worker: usize,
        blocks: Vec<(bool, u64)>,
        is_lost: bool,
    },
}

/// Least-recently-used cache of blocks.
#[derive(Clone, Debug, Default)]
struct Cache {
    last_use: FastMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl Cache {
    fn hits(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.last_use.contains_key(block))
            .count()
    }

    /// Marks the blocks as used and returns the changes: true for a stored block, false for an evicted one.
    fn touch(&mut self, blocks: &[u64]) -> Vec<(bool, u64)> {
        let mut changes = Vec::new();
        // The first blocks of a prompt are marked last, so that a prefix is evicted from its end.
        for &block in blocks.iter().rev() {
            self.clock += 1;
            if self.last_use.insert(block, self.clock).is_none() {
                changes.push((true, block));
            }
            self.order.push_back((self.clock, block));
        }
        while self.last_use.len() > CACHE_BLOCKS {
            let Some((clock, block)) = self.order.pop_front() else {
                break;
            };
            if self.last_use.get(&block) == Some(&clock) {
                self.last_use.remove(&block);
                changes.push((false, block));
            }
        }
        changes
    }
}

#[derive(Clone, Debug, Default)]
struct Worker {
    running: u32,
    waiting: VecDeque<usize>,
    prefill_free_us: u64,
    cache: Cache,
}

#[derive(Clone, Debug)]
struct Job {
    arrival_us: u64,
    router: usize,
    blocks: Vec<u64>,
    output_tokens: u64,
    round_trip_us: u64,
    load_tokens: u64,
}

struct Simulation {
    policy: Policy,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    workers: Vec<Worker>,
    selectors: Vec<Selector>,
    round_robin_positions: Vec<usize>,
    jobs: Vec<Job>,
    conversations: Vec<Vec<u64>>,
    outstanding: Vec<Vec<(u32, u64)>>,
    interval_us: f64,
    first_token_us: Vec<u64>,
    hit_blocks: u64,
    all_blocks: u64,
}

impl Simulation {
    fn new(policy: Policy, workers: usize, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let selectors = (0..ROUTERS)
            .map(|router| {
                let mut selector = Selector::default();
                for worker in 0..workers {
                    selector.set_upstream(UpstreamKey(worker as u32), description(router, worker));
                }
                selector
            })
            .collect();
        let prompts: Vec<Vec<u64>> = (0..10)
            .map(|_| {
                let blocks = rng.random_range(4..24);
                (0..blocks).map(|_| rng.next_u64()).collect()
            })
            .collect();
        let conversations = (0..workers * 12)
            .map(|_| prompts[rng.random_range(0..prompts.len())].clone())
            .collect();
        Self {
            policy,
            rng,
            events: BinaryHeap::new(),
            sequence: 0,
            workers: vec![Worker::default(); workers],
            selectors,
            round_robin_positions: (0..ROUTERS).collect(),
            jobs: Vec::new(),
            conversations,
            outstanding: vec![vec![(0, 0); workers]; ROUTERS],
            interval_us: 1e6 / (REQUESTS_PER_WORKER * workers as f64),
            first_token_us: Vec::new(),
            hit_blocks: 0,
            all_blocks: 0,
        }
    }

    fn run(&mut self) {
        self.schedule(0, Event::Arrival);
        self.schedule(HEARTBEAT_US, Event::Heartbeat);
        let mut next_arrival_us = 0.0;
        while let Some(Reverse((now_us, _, event))) = self.events.pop() {
            if now_us > RUN_US {
                return;
            }
            match event {
                Event::Arrival => {
                    self.arrive(now_us);
                    next_arrival_us -= self.interval_us * self.rng.random::<f64>().max(1e-12).ln();
                    self.schedule(next_arrival_us as u64, Event::Arrival);
                }
                Event::Heartbeat => {
                    self.heartbeat();
                    self.schedule(now_us + HEARTBEAT_US, Event::Heartbeat);
                }
                Event::PrefillDone { worker, job } => self.prefill_done(worker, job, now_us),
                Event::Done { worker, job } => self.done(worker, job, now_us),
                Event::Cache {
                    worker,
                    blocks,
                    is_lost,
                } => self.cache_event(worker, &blocks, is_lost),
            }
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    /// Sends the next turn of a random conversation through a random router.
    fn arrive(&mut self, now_us: u64) {
        let conversation = self.rng.random_range(0..self.conversations.len());
        let new_blocks = self.rng.random_range(1..8);
        let fresh: Vec<u64> = (0..new_blocks).map(|_| self.rng.next_u64()).collect();
        let blocks = &mut self.conversations[conversation];
        blocks.extend(fresh);
        if blocks.len() > MAX_PROMPT_BLOCKS {
            // The conversation ends, and another one starts with the first blocks of the same shared prompt.
            blocks.truncate(4);
        }
        let blocks = blocks.clone();
        let router = self.rng.random_range(0..ROUTERS);
        let worker = self.choose(router, &blocks);
        let output_tokens = self.rng.random_range(20..260);
        let prompt_tokens = blocks.len() as u64 * u64::from(BLOCK_TOKENS);
        let job = Job {
            arrival_us: now_us,
            router,
            output_tokens,
            round_trip_us: u64::from(description(router, worker).round_trip_us),
            load_tokens: output_tokens + prompt_tokens / 16,
            blocks,
        };
        let selector = &mut self.selectors[router];
        selector.record_dispatch(UpstreamKey(worker as u32), job.load_tokens);
        selector.expect_cached(UpstreamKey(worker as u32), &job.blocks);
        self.outstanding[router][worker].0 += 1;
        self.outstanding[router][worker].1 += job.load_tokens;
        self.jobs.push(job);
        let number = self.jobs.len() - 1;
        if self.workers[worker].running < SLOTS {
            self.start(worker, number, now_us);
        } else {
            self.workers[worker].waiting.push_back(number);
        }
    }

    fn choose(&mut self, router: usize, blocks: &[u64]) -> usize {
        match self.policy {
            Policy::Random => self.rng.random_range(0..self.workers.len()),
            Policy::RoundRobin => {
                self.round_robin_positions[router] += 1;
                self.round_robin_positions[router] % self.workers.len()
            }
            Policy::ExpectedCost => {
                let request = Request {
                    route: ROUTE,
                    version: VERSION,
                    prefix_hashes: blocks,
                    prompt_tokens: blocks.len() as u32 * BLOCK_TOKENS,
                };
                let random = self.rng.next_u64();
                let choice = self.selectors[router].choose(&request, random, |_| true);
                choice.map_or(0, |key| key.0 as usize)
            }
        }
    }

    fn start(&mut self, worker: usize, job: usize, now_us: u64) {
        let is_counted = now_us >= WARM_UP_US;
        let blocks = &self.jobs[job].blocks;
        let state = &mut self.workers[worker];
        state.running += 1;
        let hits = state.cache.hits(blocks);
        if is_counted {
            self.hit_blocks += hits as u64;
            self.all_blocks += blocks.len() as u64;
        }
        let tokens = (blocks.len() - hits) as u64 * u64::from(BLOCK_TOKENS);
        let changes = state.cache.touch(blocks);
        let start_us = state.prefill_free_us.max(now_us);
        let ready_us = start_us + tokens * 1_000_000 / PROMPT_TOKENS_PER_SECOND + 1_000;
        state.prefill_free_us = ready_us;
        self.schedule(ready_us, Event::PrefillDone { worker, job });
        if !changes.is_empty() {
            let delay_us = self.rng.random_range(500_000..2_000_000);
            let is_lost = self.rng.random_bool(0.05);
            let event = Event::Cache {
                worker,
                blocks: changes,
                is_lost,
            };
            self.schedule(now_us + delay_us, event);
        }
    }

    fn prefill_done(&mut self, worker: usize, job: usize, now_us: u64) {
        let state = &self.jobs[job];
        if state.arrival_us >= WARM_UP_US {
            self.first_token_us
                .push(now_us + state.round_trip_us - state.arrival_us);
        }
        let token_interval_us = u64::from(SLOTS) * 1_000_000 / TOKENS_PER_SECOND;
        let done_us = now_us + state.output_tokens * token_interval_us;
        self.schedule(done_us, Event::Done { worker, job });
    }

    fn done(&mut self, worker: usize, job: usize, now_us: u64) {
        let (router, tokens) = (self.jobs[job].router, self.jobs[job].load_tokens);
        self.selectors[router].record_completion(UpstreamKey(worker as u32), tokens);
        self.outstanding[router][worker].0 -= 1;
        self.outstanding[router][worker].1 -= tokens;
        self.workers[worker].running -= 1;
        if let Some(next) = self.workers[worker].waiting.pop_front() {
            self.start(worker, next, now_us);
        }
    }

    fn heartbeat(&mut self) {
        for router in 0..ROUTERS {
            for worker in 0..self.workers.len() {
                let (mut requests, mut tokens) = (0, 0);
                for other in (0..ROUTERS).filter(|&other| other != router) {
                    requests += self.outstanding[other][worker].0;
                    tokens += self.outstanding[other][worker].1;
                }
                self.selectors[router].set_peer_load(UpstreamKey(worker as u32), requests, tokens);
            }
        }
    }

    fn cache_event(&mut self, worker: usize, blocks: &[(bool, u64)], is_lost: bool) {
        let key = UpstreamKey(worker as u32);
        for selector in &mut self.selectors {
            if is_lost {
                selector.record_cache_gap(key);
                continue;
            }
            for &(is_stored, block) in blocks {
                let change = if is_stored {
                    CacheChange::Stored(block)
                } else {
                    CacheChange::Removed(block)
                };
                selector.apply_cache_change(key, &change);
            }
        }
    }

    fn print(&mut self) {
        self.first_token_us.sort_unstable();
        let percentile_ms = |part: f64| {
            let index = (self.first_token_us.len() as f64 * part) as usize;
            self.first_token_us
                .get(index)
                .map_or(0.0, |&us| us as f64 / 1_000.0)
        };
        println!(
            "{:>7} {:<13} {:>8} {:>8.1}% {:>10.0} {:>10.0}",
            self.workers.len(),
            format!("{:?}", self.policy),
            self.first_token_us.len(),
            self.hit_blocks as f64 / self.all_blocks.max(1) as f64 * 100.0,
            percentile_ms(0.5),
            percentile_ms(0.95),
        );
    }
}

fn description(router: usize, worker: usize) -> UpstreamDescription {
    let is_near = router % DATA_CENTRES == worker % DATA_CENTRES;
    UpstreamDescription {
        route: ROUTE,
        version: VERSION,
        role: Role::General,
        round_trip_us: if is_near { 200 } else { REMOTE_ROUND_TRIP_US },
        capacity_requests: SLOTS,
        tokens_per_second: TOKENS_PER_SECOND,
    }
}

/// Measures the time per decision and the memory use with 4,800 workers, the planned size.
fn measure_scale(seed: u64) {
    const WORKERS: u32 = 4_800;
    const DECISIONS: u32 = 200_000;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let before_kb = resident_kb();
    let mut selector = Selector::default();
    for worker in 0..WORKERS {
        selector.set_upstream(UpstreamKey(worker), description(0, worker as usize));
    }
    let workers_kb = resident_kb();
    let prompts: Vec<Vec<u64>> = (0..20_000)
        .map(|_| (0..30).map(|_| rng.next_u64()).collect())
        .collect();
    let prompts_kb = resident_kb();
    for prompt in &prompts {
        let key = UpstreamKey(rng.random_range(0..WORKERS));
        selector.expect_cached(key, prompt);
    }
    let blocks_kb = resident_kb();
    let start = Instant::now();
    let mut checksum = 0_u64;
    for number in 0..DECISIONS {
        let prompt = &prompts[number as usize % prompts.len()];
        let request = Request {
            route: ROUTE,
            version: VERSION,
            prefix_hashes: prompt,
            prompt_tokens: 2_000,
        };
        let choice = selector.choose(&request, rng.next_u64(), |_| true);
        let key = choice.unwrap_or(UpstreamKey(0));
        checksum += u64::from(key.0);
        selector.record_dispatch(key, 200);
        if number % 2 == 0 {
            selector.record_completion(key, 200);
        }
    }
    let decision_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS);
    println!(
        "{WORKERS} workers: {decision_us:.2} us per decision, {} KB for the workers, {} KB for 600,000 block entries \
         of which 450,000 are kept (checksum {checksum})",
        workers_kb.saturating_sub(before_kb),
        blocks_kb.saturating_sub(prompts_kb),
    );
}

/// Returns the resident memory of this process in KiB.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or(0) * 4
}

fn main() {
    let matches = Command::new("selection_experiment")
        .arg(
            Arg::new("seed")
                .long("seed")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .get_matches();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    println!("seed {seed}, {ROUTERS} routers in {DATA_CENTRES} data centres");
    println!(
        "{:>7} {:<13} {:>8} {:>9} {:>10} {:>10}",
        "workers", "policy", "requests", "hits", "median ms", "p95 ms"
    );
    for workers in [20, 10] {
        for policy in [Policy::ExpectedCost, Policy::RoundRobin, Policy::Random] {
            let mut simulation = Simulation::new(policy, workers, seed);
            simulation.run();
            simulation.print();
        }
    }
    measure_scale(seed);
}
