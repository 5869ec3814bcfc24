//! Model of several gateways that place prompts at engines of uneven speed, without a network.
#![allow(missing_docs, unreachable_pub)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use compact_str::{format_compact, CompactString};
use monsoonfield::placement::{
    Candidate, ExpectedCost, LoadReport, Outcome, PeerPrompt, Placement, Prompt, PromptPart,
    PromptParts, SpeedFigure,
};
use monsoonfield::request_cost::prefill_work;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One way to the engine or to another gateway.
const NETWORK_MS: u64 = 2;

/// Step of the engine in which a prompt's first token is decoded.
const STEP_MS: f64 = 4.0;

/// Time for which an engine keeps the beginnings of prompts.
const CACHE_MS: u64 = 20_000;

/// Time that a request occupies the engine's slot after its first byte.
const OUTPUT_MS: u64 = 600;

/// Requests of one kind: rate, mean tokens of the shared and of the own part, target.
pub struct Class {
    pub per_s: f64,
    pub shared_tokens: f64,
    pub own_tokens: f64,
    pub target_ms: u64,
}

/// A fleet with its trouble.
pub struct Site {
    pub gateways: usize,
    pub engines: usize,
    pub slots: u32,
    pub tokens_per_ms: f64,
    pub classes: Vec<Class>,
    /// Whether engines state their speed; without it the usual choice applies.
    pub states_speed: bool,
    /// Share of the notices that are lost.
    pub loss: f64,
    /// Age of the stated figure when it is sent.
    pub figure_age_ms: u64,
    /// Time of work in a slow phase, compared with the usual time.
    pub slow_factor: f64,
}

/// Requests by class and how many had their first byte in time; work that was done.
#[derive(Debug, Default)]
pub struct Summary {
    pub requests: Vec<u32>,
    pub late: Vec<u32>,
    pub prefilled_tokens: f64,
}

impl Summary {
    pub fn late_percent(&self) -> f64 {
        let sum = |counts: &[u32]| f64::from(counts.iter().sum::<u32>());
        100.0 * sum(&self.late) / sum(&self.requests)
    }
}

struct Engine {
    id: CompactString,
    /// Begin of each phase with the time that work takes in it.
    phases: Vec<(u64, f64)>,
    busy_until_ms: f64,
    cached: BTreeMap<u64, u64>,
    running: u32,
}

impl Engine {
    fn new(index: usize, site: &Site, duration_ms: u64, random: &mut Pcg64Mcg) -> Self {
        let mut phases = Vec::new();
        let mut at_ms = random.random_range(0..3_000);
        let usual = random.random_range(0.9..1.2);
        phases.push((0, usual));
        while at_ms < duration_ms + 60_000 {
            phases.push((at_ms, usual * site.slow_factor));
            at_ms += random.random_range(400..800);
            phases.push((at_ms, usual));
            at_ms += random.random_range(1_200..6_000);
        }
        Self {
            id: format_compact!("engine-{index}"),
            phases,
            busy_until_ms: 0.0,
            cached: BTreeMap::new(),
            running: 0,
        }
    }

    fn factor(&self, at_ms: u64) -> f64 {
        let next = self
            .phases
            .partition_point(|(from_ms, _)| *from_ms <= at_ms);
        self.phases[next.saturating_sub(1)].1
    }

    /// Prefills a prompt after those before it; returns the time of its first token.
    fn prefill(&mut self, prompt: &Prompt, site: &Site, now_ms: u64, summary: &mut Summary) -> u64 {
        let is_cached = |id| {
            let used_ms = self.cached.get(id);
            used_ms.is_some_and(|used_ms| now_ms - used_ms < CACHE_MS)
        };
        let parts = prompt.parts.as_slice();
        let cached = parts.iter().rev().find(|part| is_cached(&part.id));
        let total = prompt.total_tokens();
        let uncached = total - cached.map_or(0, |part| part.end_tokens);
        self.cached
            .extend(parts.iter().map(|part| (part.id, now_ms)));
        summary.prefilled_tokens += uncached as f64;
        let mut left_ms = prefill_work(total, uncached) / site.tokens_per_ms + STEP_MS;
        let mut at_ms = self.busy_until_ms.max(now_ms as f64);
        while left_ms > 0.0 {
            let slice_ms = left_ms.min(1.0);
            at_ms += slice_ms * self.factor(at_ms as u64);
            left_ms -= slice_ms;
        }
        self.busy_until_ms = at_ms;
        at_ms as u64
    }
}

#[derive(Clone)]
struct Sent {
    gateway: usize,
    engine: usize,
    class: usize,
    prompt: Prompt,
    expected: Option<ExpectedCost>,
    idle_work: Option<f64>,
    sent_ms: u64,
}

enum Event {
    Request {
        class: usize,
    },
    AtEngine(Sent),
    FirstByte(Sent, LoadReport),
    Finished(Sent),
    Notice {
        to: usize,
        from: Sent,
        prefill_ms: f64,
        figures: Vec<SpeedFigure>,
    },
}

/// Runs the model; equal seeds give equal results.
pub fn run(site: &Site, duration_ms: u64, seed: u64) -> Summary {
    let mut model = Model::new(site, duration_ms, seed);
    while let Some((Reverse((at_ms, number)), event)) = model.next() {
        let _ = number;
        model.handle(event, at_ms);
    }
    model.summary
}

struct Model<'s> {
    site: &'s Site,
    duration_ms: u64,
    /// Source of requests and of losses; separate, so that both ways to choose meet the same requests.
    arrivals: Pcg64Mcg,
    losses: Pcg64Mcg,
    engines: Vec<Engine>,
    gateways: Vec<Placement>,
    /// Gateways by the share of requests that they get.
    callers: Vec<usize>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    summary: Summary,
}

impl<'s> Model<'s> {
    fn new(site: &'s Site, duration_ms: u64, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let engines = (0..site.engines)
            .map(|index| Engine::new(index, site, duration_ms, &mut random))
            .collect();
        let mut model = Self {
            site,
            duration_ms,
            engines,
            gateways: (0..site.gateways)
                .map(|seed| Placement::with_seed(seed as u64))
                .collect(),
            // The load balancer hashes callers, so a tenth of the gateways gets half of the requests.
            callers: (0..site.gateways)
                .flat_map(|index| std::iter::repeat_n(index, if index % 10 == 0 { 9 } else { 1 }))
                .collect(),
            arrivals: random,
            losses: Pcg64Mcg::seed_from_u64(seed + 1_000),
            due: BinaryHeap::new(),
            events: Vec::new(),
            summary: Summary {
                requests: vec![0; site.classes.len()],
                late: vec![0; site.classes.len()],
                prefilled_tokens: 0.0,
            },
        };
        for class in 0..site.classes.len() {
            model.schedule(class as u64, Event::Request { class });
        }
        model
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.due.push(Reverse((at_ms, self.events.len())));
        self.events.push(Some(event));
    }

    fn next(&mut self) -> Option<(Reverse<(u64, usize)>, Event)> {
        let next = self.due.pop()?;
        let event = self.events[next.0 .1].take()?;
        Some((next, event))
    }

    fn prompt(&mut self, class: usize) -> Prompt {
        let Class {
            shared_tokens,
            own_tokens,
            ..
        } = self.site.classes[class];
        let mut tokens = |mean: f64| {
            // From a third to three times the median.
            let exponent: f64 = self.arrivals.random_range(-1.0..1.0);
            (0.82 * mean * 3_f64.powf(exponent)) as u64
        };
        let own_tokens = tokens(own_tokens);
        let session = class as u64 * 1_000 + self.arrivals.random_range(1..150);
        let mut of_session = Pcg64Mcg::seed_from_u64(session);
        let common = (class as u64 * 10 + session % 4) + 1_000_000;
        let common_tokens = (0.5 * shared_tokens) as u64;
        let shared = common_tokens + (shared_tokens * of_session.random_range(0.2..0.8)) as u64;
        let mut parts = PromptParts::default();
        parts.push(PromptPart {
            id: common,
            end_tokens: common_tokens,
        });
        parts.push(PromptPart {
            id: session,
            end_tokens: shared,
        });
        Prompt {
            session,
            shared_tokens: shared,
            own_tokens,
            parts,
        }
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Request { class } => self.request(class, now_ms),
            Event::AtEngine(sent) => self.arrive(sent, now_ms),
            Event::FirstByte(sent, report) => self.first_byte(sent, report, now_ms),
            Event::Finished(sent) => {
                let engine = &mut self.engines[sent.engine];
                engine.running -= 1;
                self.gateways[sent.gateway].record_finished(&engine.id, Outcome::Served, now_ms);
            }
            Event::Notice {
                to,
                from,
                prefill_ms,
                figures,
            } => {
                let gateway = &mut self.gateways[to];
                for figure in &figures {
                    gateway.record_peer_speed(figure, now_ms);
                }
                let prompt = PeerPrompt {
                    session: from.prompt.session,
                    parts: &[from.prompt.parts.as_slice()[0].id],
                    prefill_ms,
                    work_ms: from.expected.map_or(prefill_ms, |cost| cost.work_ms),
                };
                gateway.record_peer_prompt(&self.engines[from.engine].id, &prompt, now_ms);
            }
        }
    }

    fn request(&mut self, class: usize, now_ms: u64) {
        let gap_ms =
            -1_000.0 / self.site.classes[class].per_s * (1.0 - self.arrivals.random::<f64>()).ln();
        let next_ms = now_ms + gap_ms.round() as u64;
        if next_ms < self.duration_ms {
            self.schedule(next_ms, Event::Request { class });
        }
        let prompt = self.prompt(class);
        let index = *self.callers.choose(&mut self.arrivals).unwrap();
        let gateway = &mut self.gateways[index];
        let candidates: Vec<_> = self
            .engines
            .iter()
            .map(|engine| Candidate {
                id: &engine.id,
                slots: self.site.slots,
                is_local: true,
            })
            .collect();
        self.summary.requests[class] += 1;
        let Ok(id) = gateway.choose(&candidates, Some(&prompt), &[], now_ms) else {
            self.summary.late[class] += 1;
            return;
        };
        let engine = candidates
            .iter()
            .position(|candidate| candidate.id == id)
            .unwrap();
        let idle_work = gateway.idle_prefill_work(id, &prompt, now_ms);
        let expected = gateway.expected_cost(id, Some(&prompt), now_ms);
        let prefill_ms = gateway.record_sent(id, Some(&prompt), now_ms);
        let figures: Vec<_> = std::iter::from_fn(|| gateway.take_figure(now_ms))
            .take(3)
            .collect();
        let sent = Sent {
            gateway: index,
            engine,
            class,
            prompt,
            expected,
            idle_work,
            sent_ms: now_ms,
        };
        for to in (0..self.site.gateways).filter(|to| *to != index) {
            if prefill_ms >= 3.0 && !self.losses.random_bool(self.site.loss) {
                let (from, figures) = (sent.clone(), figures.clone());
                self.schedule(
                    now_ms + NETWORK_MS,
                    Event::Notice {
                        to,
                        from,
                        prefill_ms,
                        figures,
                    },
                );
            }
        }
        self.schedule(now_ms + NETWORK_MS, Event::AtEngine(sent));
    }

    fn arrive(&mut self, sent: Sent, now_ms: u64) {
        let engine = &mut self.engines[sent.engine];
        let at_ms = engine.prefill(&sent.prompt, self.site, now_ms, &mut self.summary);
        engine.running += 1;
        let factor = engine.factor(at_ms.saturating_sub(self.site.figure_age_ms));
        let report = LoadReport {
            running: engine.running,
            waiting: 0,
            slots: self.site.slots,
            work_percent: self.site.states_speed.then_some((factor * 100.0) as u32),
        };
        self.schedule(at_ms + NETWORK_MS, Event::FirstByte(sent, report));
    }

    fn first_byte(&mut self, sent: Sent, report: LoadReport, now_ms: u64) {
        let elapsed_ms = now_ms - sent.sent_ms;
        self.summary.late[sent.class] +=
            u32::from(elapsed_ms > self.site.classes[sent.class].target_ms);
        let id = &self.engines[sent.engine].id;
        let gateway = &mut self.gateways[sent.gateway];
        gateway.record_activity(id, now_ms);
        gateway.end_first_byte_wait(id);
        gateway.record_load(id, report, now_ms);
        gateway.record_first_byte(id, elapsed_ms);
        if let Some(work) = sent.idle_work {
            gateway.record_prefill(id, work, elapsed_ms);
        }
        if let Some(expected) = &sent.expected {
            gateway.end_prefill_wait(id, expected);
            gateway.record_response_cost(id, expected, Some(report), elapsed_ms, now_ms);
        }
        self.schedule(now_ms + OUTPUT_MS, Event::Finished(sent));
    }
}
