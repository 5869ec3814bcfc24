//! A fleet of routers that serve the requests of one team, in steps of five milliseconds.
//!
//! The accounts, the choice of holders and the reservations are those of the product; the store, the network and the
//! routers around them are simplified.

use std::fmt;

use compact_str::format_compact;
use monsoonfield::allowance::{BudgetRecord, ReserveError, Role, SpendingLimit, TeamAccount};
use monsoonfield::holders::{rank, Candidate};
use monsoonfield::reservations::ReservationBook;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Length of a step.
const STEP_MS: u64 = 5;

/// Length of the traffic.
const TRAFFIC_MS: u64 = 40_000;

/// Requests of the team per second, over all routers.
const REQUESTS_PER_S: f64 = 10.0;

/// Largest need of a request; needs are skewed towards small ones.
const MAX_NEED_TOKENS: f64 = 30_000.0;

/// Part of its largest charge that a request is charged.
const CHARGED_PERCENT: u64 = 95;

/// Time that a request runs.
const RUN_MS: u64 = 1_500;

/// Time for a call to the store, and for a datagram and its reply.
const STORE_MS: u64 = 5;
const ROUND_TRIP_MS: u64 = 2;

/// Probability that a datagram is lost.
const LOSS: f64 = 0.01;

/// Time after which a lost datagram is repeated, and time after which a router counts as silent.
const REPEAT_MS: u64 = 20;
const SILENT_MS: u64 = 60;

/// Time until a killed process runs again.
const RESTART_MS: u64 = 1_000;

/// Time until a member of one of the store's groups is replaced.
const GROUP_TTL_MS: u64 = 1_000;

/// Interval of journal entries, of polls of the record, and of views of the fleet.
const JOURNAL_MS: u64 = 200;
const POLL_MS: u64 = 1_000;

/// Longest wait of a request for rights.
const MAX_WAIT_MS: u64 = 250;

/// Messages that pass when a request is handed over with its response of some 50 events.
const WHOLE_REQUEST_MESSAGES: u64 = 52;

/// Number of data centres.
const DATA_CENTRES: usize = 5;

/// Way to place the rights of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Each router holds rights; those without enough ask others to transfer some.
    EachRouter,
    /// This many routers hold rights; others reserve there.
    Holders(usize),
    /// One router, which the store's groups appoint, holds rights; others reserve there.
    GroupWriter,
    /// Two routers hold rights; requests are handed over to them with their responses.
    WholeRequests,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// The store does not respond.
    StoreAway { from_ms: u64, to_ms: u64 },
    /// Processes are killed and start again.
    Kill { at_ms: u64, percent: u64 },
    /// Processes stand still.
    Freeze {
        from_ms: u64,
        to_ms: u64,
        percent: u64,
    },
    /// The first data centre reaches neither the others nor the store.
    DataCentreCut { from_ms: u64, to_ms: u64 },
}

/// Faults of one play.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) faults: &'static [Fault],
}

/// Results of one play or the sums of several.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    requests: u64,
    refused: u64,
    prepaid_tokens: u64,
    stranded_tokens: u64,
    overspent_tokens: u64,
    messages: u64,
    store_calls: u64,
    wait_ms: u64,
}

impl Totals {
    pub(crate) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.prepaid_tokens += other.prepaid_tokens;
        self.stranded_tokens += other.stranded_tokens;
        self.overspent_tokens += other.overspent_tokens;
        self.messages += other.messages;
        self.store_calls += other.store_calls;
        self.wait_ms += other.wait_ms;
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = self.requests.max(1) as f64;
        write!(
            f,
            "{:.1} | {:.1} | {} | {:.1} | {:.1} | {:.1}",
            self.refused as f64 * 100.0 / requests,
            self.stranded_tokens as f64 * 100.0 / self.prepaid_tokens.max(1) as f64,
            self.overspent_tokens,
            self.messages as f64 / requests,
            self.store_calls as f64 / requests,
            self.wait_ms as f64 / requests,
        )
    }
}

#[derive(Default)]
struct Router {
    id: u64,
    account: TeamAccount,
    book: ReservationBook,
    /// Read of the record that is followed by a write: time of the write, and what was read.
    write_due: Option<(u64, BudgetRecord)>,
    next_poll_ms: u64,
    next_entry_ms: u64,
    entry_created_ms: u64,
    /// Limit of the newest entry in the store, which a successor finds.
    stored_limit: SpendingLimit,
    /// Times from which the process runs again after a kill or a freeze.
    down_until_ms: u64,
    frozen_until_ms: u64,
    /// Previous process and the most that it can have used.
    predecessor: Option<(u64, u64)>,
}

struct Request {
    router: usize,
    need_tokens: u64,
    arrived_ms: u64,
    /// Time that messages have taken so far.
    delay_ms: u64,
}

struct Running {
    holder: usize,
    holder_id: u64,
    reservation: u64,
    need_tokens: u64,
    end_ms: u64,
}

/// A fleet with the traffic of one team.
pub(crate) struct Fleet {
    way: Way,
    scenario: Scenario,
    random: Pcg64Mcg,
    now_ms: u64,
    prepaid_tokens: u64,
    record: BudgetRecord,
    routers: Vec<Router>,
    /// Routers in the order in which they are asked.
    ranked: Vec<usize>,
    waiting: Vec<Request>,
    running: Vec<Running>,
    charged_tokens: u64,
    next_id: u64,
    totals: Totals,
}

impl Fleet {
    pub(crate) fn new(routers: usize, way: Way, scenario: Scenario, seed: u64) -> Self {
        let name = |index: usize| {
            (
                format_compact!("edge-{index}"),
                format_compact!("dc-{}", index % DATA_CENTRES),
            )
        };
        let names: Vec<_> = (0..routers).map(name).collect();
        let candidates = names.iter().map(|(vm, data_centre)| Candidate {
            vm,
            data_centre,
            weight_permille: 1_000,
        });
        let ranked = rank(&format!("team-{seed}"), candidates);
        let index_of = |candidate: &Candidate<'_>| {
            let mut indexes = names.iter();
            indexes.position(|(vm, _)| vm == candidate.vm)
        };
        let ranked = ranked.iter().filter_map(index_of).collect();
        let prepaid_tokens = (REQUESTS_PER_S * MAX_NEED_TOKENS / 3.0) as u64 * TRAFFIC_MS / 1_000;
        Self {
            way,
            scenario,
            random: Pcg64Mcg::seed_from_u64(seed),
            now_ms: 0,
            prepaid_tokens,
            record: BudgetRecord::default(),
            routers: (0..routers)
                .map(|id| Router {
                    id: id as u64,
                    ..Router::default()
                })
                .collect(),
            ranked,
            waiting: Vec::new(),
            running: Vec::new(),
            charged_tokens: 0,
            next_id: routers as u64,
            totals: Totals::default(),
        }
    }

    /// Plays the traffic and two seconds after it.
    pub(crate) fn play(mut self) -> Totals {
        while self.now_ms < TRAFFIC_MS + 2_000 {
            self.now_ms += STEP_MS;
            self.apply_faults();
            for router in 0..self.routers.len() {
                self.step_router(router);
            }
            self.end_requests();
            let arrives = REQUESTS_PER_S * STEP_MS as f64 / 1_000.0;
            if self.now_ms < TRAFFIC_MS && self.random.random_bool(arrives) {
                self.arrive();
            }
            self.serve_waiting();
            self.check();
        }
        let holdable: u64 = self
            .routers
            .iter()
            .map(|router| router.account.available_tokens())
            .sum();
        let free = self.record.free_tokens(self.prepaid_tokens);
        let left = self.prepaid_tokens.saturating_sub(self.charged_tokens);
        self.totals.stranded_tokens = left.saturating_sub(holdable + free);
        self.totals.prepaid_tokens = self.prepaid_tokens;
        self.totals
    }

    fn is_store_away(&self) -> bool {
        self.scenario.faults.iter().any(|fault| {
            matches!(fault, Fault::StoreAway { from_ms, to_ms } if (*from_ms..*to_ms).contains(&self.now_ms))
        })
    }

    /// Returns whether a router is on the side of a cut that reaches neither the store nor the other side.
    fn is_cut(&self, router: usize) -> bool {
        router.is_multiple_of(DATA_CENTRES)
            && self.scenario.faults.iter().any(|fault| {
                matches!(fault, Fault::DataCentreCut { from_ms, to_ms } if (*from_ms..*to_ms).contains(&self.now_ms))
            })
    }

    fn runs(&self, router: usize) -> bool {
        let router = &self.routers[router];
        self.now_ms >= router.down_until_ms && self.now_ms >= router.frozen_until_ms
    }

    fn reaches_store(&self, router: usize) -> bool {
        !self.is_store_away() && !self.is_cut(router)
    }

    fn holders(&self) -> usize {
        match self.way {
            Way::EachRouter => self.routers.len(),
            Way::Holders(count) => count,
            Way::GroupWriter => 1,
            Way::WholeRequests => 2,
        }
    }

    fn is_holder(&self, router: usize) -> bool {
        self.way == Way::EachRouter
            || self.ranked[..self.holders().min(self.ranked.len())].contains(&router)
    }

    fn apply_faults(&mut self) {
        for fault in self.scenario.faults {
            match *fault {
                Fault::Kill { at_ms, percent } if at_ms == self.now_ms => {
                    // The first holder is among those that are killed.
                    let first = self.ranked[0];
                    self.kill(first);
                    for router in 0..self.routers.len() {
                        if router != first && self.random.random_ratio(percent as u32, 100) {
                            self.kill(router);
                        }
                    }
                }
                Fault::Freeze {
                    from_ms,
                    to_ms,
                    percent,
                } if from_ms == self.now_ms => {
                    for router in 0..self.routers.len() {
                        if self.random.random_ratio(percent as u32, 100) {
                            self.routers[router].frozen_until_ms = to_ms;
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let id = self.next_id;
        self.next_id += 1;
        let router = &mut self.routers[index];
        let age_ms = now_ms + RESTART_MS - router.entry_created_ms;
        let limit_tokens = router.stored_limit.at(age_ms);
        *router = Router {
            id,
            down_until_ms: now_ms + RESTART_MS,
            next_poll_ms: now_ms + RESTART_MS,
            next_entry_ms: now_ms + RESTART_MS,
            entry_created_ms: now_ms,
            predecessor: Some((router.id, limit_tokens)),
            ..Router::default()
        };
    }

    fn step_router(&mut self, index: usize) {
        if !self.runs(index) {
            return;
        }
        let now_ms = self.now_ms;
        let reaches_store = self.reaches_store(index);
        let role = Role {
            holders: self.holders() as u64,
            is_holder: self.is_holder(index),
        };
        let router = &mut self.routers[index];
        for settled in router.book.expire(now_ms) {
            router
                .account
                .settle(settled.reserved_tokens, settled.charge_tokens);
        }
        let entry_age_ms = now_ms - router.entry_created_ms;
        router.account.set_entry_age(entry_age_ms);
        if let Some((due_ms, read)) = router.write_due.take_if(|(due_ms, _)| *due_ms <= now_ms) {
            let is_unchanged = reaches_store && read.revision == self.record.revision;
            self.totals.store_calls += 1;
            if let Some((predecessor, limit)) = router.predecessor {
                match self.record.reclaim(predecessor, limit) {
                    Some(planned) if is_unchanged => self.record = planned,
                    Some(_) => {}
                    None => router.predecessor = None,
                }
                router.next_poll_ms = due_ms;
            } else if let Some(planned) =
                router
                    .account
                    .plan(&read, router.id, self.prepaid_tokens, role)
            {
                // The outcome of a write is known at once here; the product also handles lost responses.
                router.account.begin_write(&planned, router.id);
                router.account.finish_write(is_unchanged);
                if is_unchanged {
                    self.record = planned;
                } else {
                    router.next_poll_ms = now_ms + self.random.random_range(0..=20);
                }
            }
        }
        let is_following = role.is_holder || router.account.holds_tokens();
        let is_pressed = router.account.demand_tokens() > router.account.available_tokens();
        if router.write_due.is_none()
            && reaches_store
            && (router.next_poll_ms <= now_ms && (is_following || router.predecessor.is_some())
                || is_pressed)
        {
            router.next_poll_ms = now_ms + POLL_MS;
            router.write_due = Some((now_ms + STORE_MS, self.record.clone()));
            let (id, prepaid) = (router.id, self.prepaid_tokens);
            router.account.observe(&self.record, id, prepaid);
            self.totals.store_calls += 1;
        }
        let needs_entry = router.next_entry_ms <= now_ms || router.account.needs_entry();
        if needs_entry && reaches_store && router.account.available_tokens() > 0 {
            let limit = router.account.begin_entry();
            router.account.commit_entry(limit, STORE_MS);
            router.stored_limit = limit;
            router.entry_created_ms = now_ms;
            router.next_entry_ms = now_ms + JOURNAL_MS;
            self.totals.store_calls += 1;
        }
    }

    fn arrive(&mut self) {
        // Callers are spread unevenly: a router is the more likely the lower the square root of a draw is.
        let draw: f64 = self.random.random();
        let router = ((draw * draw) * self.routers.len() as f64) as usize;
        let size: f64 = self.random.random();
        self.totals.requests += 1;
        self.waiting.push(Request {
            router,
            need_tokens: 1 + (size * size * MAX_NEED_TOKENS) as u64,
            arrived_ms: self.now_ms,
            delay_ms: 0,
        });
    }

    /// Returns the routers that a router asks, in order.
    fn ask_order(&self, asker: usize) -> Vec<usize> {
        match self.way {
            Way::EachRouter => vec![asker],
            Way::GroupWriter => {
                // The group appoints another member once the time to live of the present one has passed.
                let is_replaced = |index: &usize| {
                    let router = &self.routers[*index];
                    let gone_ms = router.down_until_ms.max(router.frozen_until_ms);
                    !self.runs(*index)
                        && self.now_ms + RESTART_MS.min(gone_ms) > gone_ms + GROUP_TTL_MS
                };
                let mut members = self.ranked.iter().copied();
                members
                    .find(|index| !is_replaced(index))
                    .into_iter()
                    .collect()
            }
            Way::Holders(_) | Way::WholeRequests => {
                let mut order: Vec<usize> = self.ranked.clone();
                let holders = self.holders().min(order.len());
                let own = order.iter().position(|holder| *holder == asker);
                let start = own.filter(|own| *own < holders).unwrap_or(asker % holders);
                order[..holders].rotate_left(start);
                order.push(asker);
                order
            }
        }
    }

    fn serve_waiting(&mut self) {
        for mut request in std::mem::take(&mut self.waiting) {
            if !self.runs(request.router) {
                continue;
            }
            let waited_ms = self.now_ms - request.arrived_ms;
            let holder = self.find_tokens(&mut request);
            let outcome = match holder {
                Some(holder) => {
                    self.start(&request, holder);
                    self.totals.wait_ms += waited_ms + request.delay_ms;
                    continue;
                }
                None if waited_ms >= MAX_WAIT_MS => self.is_affordable(request.need_tokens),
                None => {
                    self.waiting.push(request);
                    continue;
                }
            };
            self.totals.refused += u64::from(outcome);
        }
        self.update_demand();
    }

    /// Returns whether the team could pay for a request: it fits into 97% of what is prepaid.
    fn is_affordable(&self, need_tokens: u64) -> bool {
        let reserved: u64 = self.running.iter().map(|run| run.need_tokens).sum();
        self.charged_tokens + reserved + need_tokens <= self.prepaid_tokens * 97 / 100
    }

    /// Reserves tokens at the first router that has them.
    fn find_tokens(&mut self, request: &mut Request) -> Option<usize> {
        for holder in self.ask_order(request.router) {
            let is_own = holder == request.router;
            if !is_own {
                self.totals.messages += 2;
                let is_lost = self.random.random_bool(LOSS);
                request.delay_ms += if is_lost { REPEAT_MS } else { ROUND_TRIP_MS };
                let is_reachable =
                    self.runs(holder) && self.is_cut(holder) == self.is_cut(request.router);
                if !is_reachable {
                    // Known as silent after the first request.
                    request.delay_ms += if request.delay_ms < SILENT_MS {
                        SILENT_MS
                    } else {
                        0
                    };
                    continue;
                }
            }
            let now_ms = self.now_ms;
            let account = &mut self.routers[holder].account;
            match account.reserve(request.need_tokens, now_ms) {
                Ok(()) => return Some(holder),
                Err(ReserveError::Exhausted | ReserveError::NotHeld) => {}
            }
        }
        if self.way == Way::EachRouter {
            self.transfer(request);
        }
        None
    }

    /// Asks two other routers to transfer tokens.
    fn transfer(&mut self, request: &Request) {
        if self.is_cut(request.router) {
            return;
        }
        for _ in 0..2 {
            let giver = self.random.random_range(0..self.routers.len());
            self.totals.messages += 2;
            if giver == request.router || !self.runs(giver) || self.is_cut(giver) {
                continue;
            }
            let giver_id = self.routers[giver].id;
            let given = self.routers[giver].account.give(request.need_tokens);
            // A reply that is lost strands what it transfers.
            if given > 0 && !self.random.random_bool(LOSS) {
                self.routers[request.router]
                    .account
                    .receive(giver_id, given);
            }
        }
    }

    fn start(&mut self, request: &Request, holder: usize) {
        let reservation = self.next_id;
        self.next_id += 1;
        let router = &mut self.routers[holder];
        let expires_ms = self.now_ms + RUN_MS + 20_000;
        let is_open = router
            .book
            .grant(reservation, request.need_tokens, expires_ms);
        assert!(is_open, "a new reservation is open");
        self.running.push(Running {
            holder,
            holder_id: router.id,
            reservation,
            need_tokens: request.need_tokens,
            end_ms: self.now_ms + RUN_MS,
        });
        if holder != request.router {
            // The settlement and its acknowledgement.
            self.totals.messages += 2;
            if self.way == Way::WholeRequests {
                self.totals.messages += WHOLE_REQUEST_MESSAGES;
            }
        }
    }

    fn end_requests(&mut self) {
        let now_ms = self.now_ms;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run: &Running| run.end_ms <= now_ms);
        self.running = running;
        for run in ended {
            let charge = run.need_tokens * CHARGED_PERCENT / 100;
            self.charged_tokens += charge;
            let holder = &mut self.routers[run.holder];
            if holder.id == run.holder_id {
                if let Some(settled) = holder.book.settle(run.reservation, charge, now_ms) {
                    holder
                        .account
                        .settle(settled.reserved_tokens, settled.charge_tokens);
                }
            }
        }
    }

    /// Counts the needs of waiting requests at the routers that serve them.
    fn update_demand(&mut self) {
        for router in &mut self.routers {
            let demand = router.account.demand_tokens();
            router.account.remove_demand(demand);
        }
        for request in &self.waiting {
            let target = self
                .ask_order(request.router)
                .into_iter()
                .find(|holder| self.runs(*holder) && self.reaches_store(*holder));
            if let Some(target) = target {
                let account = &mut self.routers[target].account;
                account.add_demand(request.need_tokens);
            }
        }
    }

    /// Records tokens that were charged, are reserved or can still be reserved beyond what is prepaid.
    fn check(&mut self) {
        let open: u64 = self.running.iter().map(|run| run.need_tokens).sum();
        let available: u64 = self
            .routers
            .iter()
            .map(|router| router.account.available_tokens())
            .sum();
        let total = self.charged_tokens + open + available;
        let over = total.saturating_sub(self.prepaid_tokens);
        self.totals.overspent_tokens = self.totals.overspent_tokens.max(over);
    }
}
