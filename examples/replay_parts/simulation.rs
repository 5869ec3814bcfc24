//! Replay of a trace through the production code for the fleet state, spending rights, billing and calls.

mod router;

use std::collections::{BTreeMap, BinaryHeap};

use monsoonfield::fleet_state::{Change, FleetState};
use monsoonfield::ids::{CustomerKey, IncarnationId, RequestKey};
use monsoonfield::ledger::BillEffect;
use monsoonfield::membership::MemberPhase;
use monsoonfield::record::{Batch, Bill, Close, ContractEntry, Draw, Entry, Finalize, Grant, Open};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::report::Report;
use super::scenario::{data_centre_of, Scenario, KILL_INTERVAL_MS};
use super::trace::{Request, Trace, DAY_MS};
use router::{Router, RunningRequest};

pub const ROUTERS: usize = 9;
const DATA_CENTRES: usize = 3;

/// Time between two flushes of a router, and the latency of the log.
const TICK_MS: u64 = 100;

/// Time between two ticks of a router that has no work.
const IDLE_TICK_MS: u64 = 10_000;

/// Time for which a request waits for rights, or a payment for its claim, before it is refused.
const WAIT_TIMEOUT_MS: u64 = 2_000;

/// Time after which a killed VM is replaced.
const REPLACE_DELAY_MS: u64 = 30_000;

/// Time from a kill until a peer closes the incarnation, and from then until it is finalised.
const CLOSE_DELAY_MS: u64 = 60_000;
const FINALIZE_DELAY_MS: u64 = 7_200_000;

/// One in this many appends loses its response and is repeated.
const APPENDS_PER_DUPLICATE: u32 = 100;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Settle {
        router: usize,
        incarnation: u64,
        request: usize,
    },
    Retry {
        router: usize,
        request: usize,
    },
    Replace {
        router: usize,
    },
    Close {
        incarnation: u64,
    },
    Finalize {
        incarnation: u64,
    },
    Kill,
}

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Open,
    Served,
    Refused,
    Unknown,
}

/// State that one data centre has folded from the log.
#[derive(Default)]
struct Replica {
    state: FleetState,
    folded: usize,
}

pub struct Simulation<'a> {
    trace: &'a Trace,
    scenario: Scenario,
    rng: Pcg64Mcg,
    now_ms: u64,
    log: Vec<Batch>,
    replicas: Vec<Replica>,
    routers: Vec<Router>,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    next_incarnation: u64,
    outcomes: Vec<RequestOutcome>,
    dispatch_counts: BTreeMap<usize, u32>,
    bill_counts: BTreeMap<RequestKey, u32>,
    report: Report,
}

/// Replays a trace and returns the results.
pub fn replay(trace: &Trace, scenario: Scenario, seed: u64) -> Report {
    let mut simulation = Simulation::new(trace, scenario, seed);
    simulation.run();
    simulation.finish()
}

fn key_of(request: usize) -> RequestKey {
    RequestKey(request as u128 + 1)
}

fn customer_of(request: &Request) -> CustomerKey {
    CustomerKey(request.customer as u32)
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace, scenario: Scenario, seed: u64) -> Self {
        let mut simulation = Self {
            trace,
            scenario,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 1,
            log: Vec::new(),
            replicas: (0..DATA_CENTRES).map(|_| Replica::default()).collect(),
            routers: Vec::new(),
            events: BinaryHeap::new(),
            next_incarnation: 10,
            outcomes: vec![RequestOutcome::Open; trace.requests.len()],
            dispatch_counts: BTreeMap::new(),
            bill_counts: BTreeMap::new(),
            report: Report::default(),
        };
        simulation.publish();
        for index in 0..ROUTERS {
            let id = simulation.new_incarnation();
            simulation
                .routers
                .push(Router::new(id, data_centre_of(index)));
            simulation.queue_open(index);
        }
        simulation.set_homes();
        if scenario == Scenario::Kills {
            simulation.schedule(KILL_INTERVAL_MS, Event::Kill);
        }
        simulation
    }

    /// Appends the contracts, and earlier spending as bills of an earlier incarnation.
    fn publish(&mut self) {
        let mut entries = vec![open_entry(0)];
        for (index, customer) in self.trace.customers.iter().enumerate() {
            let body = serde_json::json!({
                "customer": customer.name,
                "api_key_sha256": ["aa".repeat(32)],
                "prepaid_total_tokens": customer.prepaid_tokens,
                "priority": "normal",
                "response_time_limit_ms": 60_000,
                "models": [{"model": "quote"}],
            });
            let name = &customer.name;
            entries.push(Entry::Contract(ContractEntry {
                customer: name.clone(),
                revision: 1,
                replaces: 0,
                body_json: body.to_string().into_bytes(),
            }));
            entries.push(Entry::Grant(Grant {
                customer: name.clone(),
                up_to_tokens: customer.spent_before_tokens,
            }));
            entries.push(Entry::Bill(Bill {
                key_high: u64::MAX,
                key_low: index as u64,
                customer: name.clone(),
                draws: vec![Draw {
                    grant: 1,
                    amount_tokens: customer.spent_before_tokens,
                }],
                fingerprint: 0,
            }));
        }
        self.append(Batch::new(IncarnationId(1), 1, entries));
    }

    fn new_incarnation(&mut self) -> IncarnationId {
        self.next_incarnation += 1;
        IncarnationId(self.next_incarnation)
    }

    fn queue_open(&mut self, index: usize) {
        let entry = open_entry(index);
        self.routers[index].queue.push(entry);
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.events.push(std::cmp::Reverse((at_ms, event)));
    }

    fn run(&mut self) {
        let mut next_request = 0;
        while self.now_ms < DAY_MS + FINALIZE_DELAY_MS + KILL_INTERVAL_MS {
            self.now_ms += TICK_MS;
            if !self.is_busy() {
                self.skip_idle_time(next_request);
            }
            while self
                .trace
                .requests
                .get(next_request)
                .is_some_and(|r| r.at_ms <= self.now_ms)
            {
                self.receive_request(next_request);
                next_request += 1;
            }
            while let Some(std::cmp::Reverse((at_ms, _))) = self.events.peek() {
                if *at_ms > self.now_ms {
                    break;
                }
                if let Some(std::cmp::Reverse((_, event))) = self.events.pop() {
                    self.handle(event);
                }
            }
            self.fold();
            for index in 0..ROUTERS {
                self.tick(index);
            }
        }
    }

    /// Advances to the tick at which the next request, event or idle tick is due.
    fn skip_idle_time(&mut self, next_request: usize) {
        let request_ms = self.trace.requests.get(next_request).map(|r| r.at_ms);
        let event_ms = self.events.peek().map(|event| event.0 .0);
        let idle_ms = self.now_ms.next_multiple_of(IDLE_TICK_MS);
        let due_ms = request_ms
            .into_iter()
            .chain(event_ms)
            .fold(idle_ms, u64::min);
        let ticks = due_ms.saturating_sub(self.now_ms).div_ceil(TICK_MS);
        self.now_ms += ticks * TICK_MS;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Settle {
                router,
                incarnation,
                request,
            } => {
                if self.routers[router].id.0 == incarnation && self.routers[router].is_alive {
                    self.settle(router, request);
                }
            }
            Event::Retry { router, request } => self.admit(router, request),
            Event::Kill => self.kill(),
            Event::Replace { router } => {
                let id = self.new_incarnation();
                self.routers[router] = Router::new(id, data_centre_of(router));
                self.queue_open(router);
                self.set_homes();
            }
            Event::Close { incarnation } => self.close(incarnation),
            Event::Finalize { incarnation } => self.finalize(incarnation),
        }
    }

    fn receive_request(&mut self, index: usize) {
        let request = &self.trace.requests[index];
        let in_scope = self.is_in_scope(request.customer);
        let is_fault_hour = self.scenario.is_fault_active(request.at_ms);
        self.report.record_request(in_scope, is_fault_hour);
        self.admit(request.router, index);
    }

    /// Returns the tokens of a customer's budget that are not billed in the log.
    fn remaining_tokens(&self, customer: usize) -> u64 {
        let replica = self.replicas.iter().max_by_key(|r| r.folded);
        replica
            .and_then(|r| r.state.ledger.budget(CustomerKey(customer as u32)))
            .map_or(0, |budget| budget.unbilled_tokens())
    }

    fn is_in_scope(&self, customer: usize) -> bool {
        self.remaining_tokens(customer) >= self.trace.customers[customer].prepaid_tokens / 10
    }

    /// Admits a request at a router, or at the next live one.
    fn admit(&mut self, router: usize, index: usize) {
        let live = (0..ROUTERS)
            .map(|step| (router + step) % ROUTERS)
            .find(|&i| self.routers[i].is_alive);
        let Some(router) = live else { return };
        let expires_ms = self.now_ms + WAIT_TIMEOUT_MS;
        if self.trace.requests[index].is_payment {
            self.begin_payment(router, index);
        } else if !self.start(router, index) {
            self.routers[router].waiting.push((expires_ms, index));
        }
    }

    /// Reserves rights for a request and starts it; returns whether that was possible.
    fn start(&mut self, router: usize, index: usize) -> bool {
        let request = self.trace.requests[index];
        let customer = customer_of(&request);
        if self
            .replica(router)
            .state
            .ledger
            .billed(key_of(index))
            .is_some()
        {
            // Billed before its router was killed: it is served again without a charge.
            self.outcomes[index] = RequestOutcome::Served;
            return true;
        }
        let result = self.routers[router]
            .rights
            .reserve(customer, request.reserved_tokens);
        let Ok(reservation) = result else {
            self.request_transfers(router, customer, request.reserved_tokens);
            return false;
        };
        let incarnation = self.routers[router].id.0;
        self.routers[router]
            .running
            .insert(index, RunningRequest { reservation });
        let end_ms = self.now_ms + request.duration_ms;
        self.schedule(
            end_ms,
            Event::Settle {
                router,
                incarnation,
                request: index,
            },
        );
        true
    }

    fn settle(&mut self, router: usize, index: usize) {
        let Some(running) = self.routers[router].running.remove(&index) else {
            return;
        };
        let request = self.trace.requests[index];
        let charge_tokens = request.charge_tokens;
        let draws = self.routers[router]
            .rights
            .settle(running.reservation, charge_tokens);
        if request.is_payment {
            let outcome = self.routers[router].calls.finish(key_of(index), 200);
            self.routers[router].queue.extend(outcome);
        }
        self.outcomes[index] = RequestOutcome::Served;
        let bill = Bill {
            key_high: 0,
            key_low: index as u64 + 1,
            customer: self.trace.customers[request.customer].name.clone(),
            draws,
            fingerprint: 1,
        };
        let state = &self.replicas[data_centre_of(router)].state;
        let target = &mut self.routers[router];
        if let Err(already) = target.billing.add(bill, state) {
            target
                .rights
                .refund(customer_of(&request), &already.bill.draws);
        }
        target.is_dirty = true;
        self.copy_bills(router);
    }

    /// Copies bills to another live router of the data centre, as a router does before it completes a response.
    fn copy_bills(&mut self, from: usize) {
        let peer = (0..ROUTERS).find(|&i| {
            i != from && self.routers[i].is_alive && data_centre_of(i) == data_centre_of(from)
        });
        let Some(peer) = peer else { return };
        let (from_id, peer_id) = (self.routers[from].id, self.routers[peer].id);
        if let Some(copy) = self.routers[from]
            .billing
            .copy_to_send(peer_id, self.now_ms)
        {
            let state = &self.replicas[data_centre_of(peer)].state;
            let ack = self.routers[peer]
                .billing
                .on_bill_copy(from_id, &copy, state);
            if let Some(ack) = ack {
                self.routers[from].billing.on_copy_ack(peer_id, &ack);
            }
        }
    }

    fn replica(&self, router: usize) -> &Replica {
        &self.replicas[data_centre_of(router)]
    }

    fn append(&mut self, batch: Batch) {
        if self.rng.random_range(0..APPENDS_PER_DUPLICATE) == 0 {
            self.log.push(batch.clone());
        }
        self.log.push(batch);
        self.report.appends += 1;
    }

    fn finish(mut self) -> Report {
        self.shut_down_all();
        let replica = &self.replicas[0];
        for (index, customer) in self.trace.customers.iter().enumerate() {
            let budget = replica.state.ledger.budget(CustomerKey(index as u32));
            let billed = budget.map_or(0, |b| b.billed_tokens());
            self.report.overspent_tokens += billed.saturating_sub(customer.prepaid_tokens);
        }
        for (index, outcome) in self.outcomes.iter().enumerate() {
            let is_billed = replica.state.ledger.billed(key_of(index)).is_some();
            match outcome {
                RequestOutcome::Open => self.report.lost += 1,
                RequestOutcome::Served if !is_billed => self.report.lost += 1,
                RequestOutcome::Served => self.report.served += 1,
                RequestOutcome::Refused | RequestOutcome::Unknown => {}
            }
        }
        self.report.double_bills = self.bill_counts.values().filter(|&&n| n > 1).count() as u64;
        self.report.double_dispatches =
            self.dispatch_counts.values().filter(|&&n| n > 1).count() as u64;
        self.report
    }
}

fn open_entry(index: usize) -> Entry {
    Entry::Open(Open {
        vm: format!("vm-{index}"),
        data_centre: format!("dc-{}", data_centre_of(index)),
        address: String::new(),
    })
}
