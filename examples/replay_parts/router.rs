//! One router of the simulation, and the steps that concern several.

use std::collections::BTreeMap;

use monsoonfield::billing::Billing;
use monsoonfield::intent::{Answer, AttemptStart, Calls, NextAction};
use monsoonfield::ledger::GrantState;
use monsoonfield::spending_rights::{Reservation, SpendingRights};

use super::*;

/// Number of bills in one batch.
const BATCH_BILLS: usize = 1_000;

pub(super) struct Running {
    pub(super) reservation: Reservation,
}

pub(super) struct Router {
    pub(super) id: IncarnationId,
    pub(super) data_centre: usize,
    pub(super) is_alive: bool,
    pub(super) is_dirty: bool,
    pub(super) holder: SpendingRights,
    pub(super) billing: Billing,
    pub(super) calls: Calls,
    pub(super) queue: Vec<Entry>,
    pub(super) next_seq: u64,
    /// Requests that wait for rights, with the time at which they are refused.
    pub(super) waiting: Vec<(u64, usize)>,
    /// Payments that wait for their claim.
    pub(super) claiming: BTreeMap<RequestKey, (u64, usize)>,
    pub(super) running: BTreeMap<usize, Running>,
}

impl Router {
    pub(super) fn new(id: IncarnationId, data_centre: usize) -> Self {
        Self {
            id,
            data_centre,
            is_alive: true,
            is_dirty: true,
            holder: SpendingRights::new(id),
            billing: Billing::default(),
            calls: Calls::new(id),
            queue: Vec::new(),
            next_seq: 0,
            waiting: Vec::new(),
            claiming: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }
}

impl Simulation<'_> {
    /// Chooses one home for each data centre and customer among the live routers.
    pub(super) fn set_homes(&mut self) {
        for customer in 0..self.trace.customers.len() {
            for data_centre in 0..DATA_CENTRES {
                let home = self.home(data_centre, customer);
                for index in 0..ROUTERS {
                    if self.routers[index].data_centre == data_centre {
                        let key = CustomerKey(customer as u32);
                        self.routers[index]
                            .holder
                            .set_home(key, Some(index) == home);
                    }
                }
            }
        }
    }

    /// Returns the live router with the highest hash, so that a kill moves only the killed router's homes.
    pub(super) fn home(&self, data_centre: usize, customer: usize) -> Option<usize> {
        (0..ROUTERS)
            .filter(|&i| self.routers[i].data_centre == data_centre && self.routers[i].is_alive)
            .max_by_key(|&i| {
                (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                    ^ (customer as u64 * 0x1234_5678_9abc)
            })
    }

    /// Asks the home in the same data centre, or the homes in the others if this router is the home.
    pub(super) fn ask_peers(&mut self, index: usize, customer: CustomerKey, amount_tokens: u64) {
        let own = self.routers[index].data_centre;
        if self.home(own, customer.0 as usize) != Some(index) {
            self.refill_from_homes(index);
            return;
        }
        let is_cut_off = |dc| self.scenario.is_cut_off(self.now_ms, dc);
        let others: Vec<usize> = (0..DATA_CENTRES)
            .filter(|&dc| dc != own && !is_cut_off(dc) && !is_cut_off(own))
            .filter_map(|dc| self.home(dc, customer.0 as usize))
            .collect();
        for home in others {
            if self.routers[index].holder.free_tokens(customer) >= amount_tokens {
                return;
            }
            let state = &self.replicas[own].state;
            let request =
                self.routers[index]
                    .holder
                    .transfer_request(state, customer, amount_tokens);
            self.transfer(index, home, &request);
        }
    }

    fn refill_from_homes(&mut self, index: usize) {
        let data_centre = self.routers[index].data_centre;
        let state = &self.replicas[data_centre].state;
        let requests = self.routers[index]
            .holder
            .transfer_requests(state, self.now_ms);
        for (customer, request) in requests {
            if let Some(home) = self.home(data_centre, customer.0 as usize) {
                self.transfer(index, home, &request);
            }
        }
    }

    fn transfer(
        &mut self,
        to: usize,
        from: usize,
        request: &monsoonfield::message::TransferRequest,
    ) {
        let (to_id, from_id) = (self.routers[to].id, self.routers[from].id);
        let state = &self.replicas[self.routers[from].data_centre].state;
        let answer = self.routers[from]
            .holder
            .on_transfer_request(to_id, request, state);
        self.routers[from].is_dirty = true;
        let state = &self.replicas[self.routers[to].data_centre].state;
        self.routers[to].holder.on_transfer(from_id, &answer, state);
    }

    /// Folds what each data centre can read of the log.
    pub(super) fn fold(&mut self) {
        for data_centre in 0..DATA_CENTRES {
            if !self
                .scenario
                .is_log_reachable(self.now_ms, data_centre * ROUTERS / DATA_CENTRES)
            {
                continue;
            }
            while self.replicas[data_centre].folded < self.log.len() {
                let folded = self.replicas[data_centre].folded;
                let changes = self.replicas[data_centre]
                    .state
                    .apply(folded as u64, &self.log[folded]);
                self.replicas[data_centre].folded += 1;
                if data_centre == 0 {
                    self.count_charges(&changes);
                }
                for change in &changes {
                    self.spread(data_centre, change);
                }
            }
        }
    }

    fn count_charges(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Bill { bill, effect, .. } = change {
                if matches!(effect, BillEffect::Counted | BillEffect::PartlyLate) {
                    *self.charged.entry(bill.request_key()).or_insert(0) += 1;
                }
            }
        }
    }

    fn spread(&mut self, data_centre: usize, change: &Change) {
        for index in 0..ROUTERS {
            if self.routers[index].data_centre != data_centre || !self.routers[index].is_alive {
                continue;
            }
            let state = &self.replicas[data_centre].state;
            let router = &mut self.routers[index];
            router.holder.on_change(change, state);
            let settled = router.billing.on_change(change, state);
            if let Some((customer, draws)) = settled.refund {
                router.holder.refund(customer, &draws);
            }
            let step = router.calls.on_change(change, state);
            router.is_dirty = true;
            if let Some(step) = step {
                self.continue_payment(index, step);
            }
        }
    }

    pub(super) fn begin_payment(&mut self, router: usize, index: usize) {
        let now_ms = self.now_ms;
        let is_up = self.scenario.is_log_reachable(now_ms, router);
        let state = &self.replicas[data_centre_of(router)].state;
        let target = &mut self.routers[router];
        let fingerprint = monsoonfield::ids::Fingerprint(1);
        match target.calls.begin(key_of(index), fingerprint, state, is_up) {
            AttemptStart::Claim(entry) => {
                target.queue.push(entry);
                target.is_dirty = true;
                target
                    .claiming
                    .insert(key_of(index), (now_ms + PATIENCE_MS, index));
            }
            AttemptStart::Answer(answer) => self.answer_payment(index, answer),
        }
    }

    fn continue_payment(&mut self, router: usize, step: NextAction) {
        match step {
            NextAction::Dispatch(key) => {
                let Some((expires_ms, index)) = self.routers[router].claiming.remove(&key) else {
                    return;
                };
                *self.dispatches.entry(index).or_insert(0) += 1;
                if !self.start(router, index) {
                    // The rights are obtained before the call is sent.
                    self.routers[router].waiting.push((expires_ms, index));
                }
            }
            NextAction::Answer(key, answer) => {
                if let Some((_, index)) = self.routers[router].claiming.remove(&key) {
                    self.answer_payment(index, answer);
                }
            }
        }
    }

    fn answer_payment(&mut self, index: usize, answer: Answer) {
        match answer {
            Answer::Outcome { .. } => self.fates[index] = Fate::Served,
            Answer::Refused(refusal)
                if refusal.execution_status() == monsoonfield::refusal::ExecutionStatus::NotRun =>
            {
                self.fates[index] = Fate::Refused;
                self.report.claims_refused += 1;
            }
            Answer::Refused(_) => {
                self.fates[index] = Fate::Unknown;
                self.report.claims_unknown += 1;
            }
        }
    }

    /// Returns whether a router has something to do before the next idle tick.
    pub(super) fn is_busy(&self) -> bool {
        self.routers.iter().any(|router| {
            let has_work = router.is_dirty || !router.waiting.is_empty();
            router.is_alive && (has_work || !router.claiming.is_empty())
        })
    }

    pub(super) fn tick(&mut self, index: usize) {
        let is_idle_tick = self.now_ms % IDLE_TICK_MS < TICK_MS;
        let router = &self.routers[index];
        let has_work = router.is_dirty || !router.waiting.is_empty() || !router.claiming.is_empty();
        if !router.is_alive || !(has_work || is_idle_tick) {
            return;
        }
        self.routers[index].is_dirty = false;
        self.retry_waiting(index);
        self.expire_claims(index);
        self.refill_from_homes(index);
        let state = &self.replicas[self.routers[index].data_centre].state;
        let router = &mut self.routers[index];
        let entries = router.holder.entries_to_write(state, self.now_ms);
        router.queue.extend(entries);
        self.flush(index);
    }

    fn flush(&mut self, index: usize) {
        if !self.scenario.is_log_reachable(self.now_ms, index) {
            return;
        }
        let router = &mut self.routers[index];
        router
            .queue
            .extend(router.billing.entries_to_write(BATCH_BILLS));
        if !router.queue.is_empty() {
            router.next_seq += 1;
            let entries = std::mem::take(&mut router.queue);
            let batch = Batch::new(router.id, router.next_seq, entries);
            self.append(batch);
        }
    }

    fn retry_waiting(&mut self, index: usize) {
        for (expires_ms, request) in std::mem::take(&mut self.routers[index].waiting) {
            if self.start(index, request) {
                continue;
            }
            if self.now_ms < expires_ms {
                self.routers[index].waiting.push((expires_ms, request));
                continue;
            }
            let customer = self.trace.requests[request].customer;
            let reserved_tokens = self.trace.requests[request].reserved_tokens;
            let is_covered = self.left_tokens(customer) >= reserved_tokens;
            let is_in_scope = self.is_in_scope(customer);
            let is_fault_hour = self.scenario.is_fault_active(self.now_ms);
            self.report
                .note_refusal(is_in_scope, is_covered, is_fault_hour);
            self.fates[request] = Fate::Refused;
            if self.trace.requests[request].is_payment {
                let abandon = self.routers[index].calls.cancel_unsent(key_of(request));
                self.routers[index].queue.extend(abandon);
                *self.dispatches.entry(request).or_insert(1) -= 1;
            }
        }
    }

    fn expire_claims(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[index];
        let expired: Vec<(RequestKey, usize)> = router
            .claiming
            .iter()
            .filter(|(_, (expires_ms, _))| *expires_ms <= now_ms)
            .map(|(&key, &(_, request))| (key, request))
            .collect();
        for (key, request) in expired {
            let router = &mut self.routers[index];
            router.claiming.remove(&key);
            router.queue.extend(router.calls.cancel(key));
            self.fates[request] = Fate::Refused;
            self.report.claims_refused += 1;
        }
    }

    /// Kills one router; its callers retry at another one with the same keys.
    pub(super) fn kill(&mut self) {
        if self.now_ms >= DAY_MS {
            return;
        }
        self.at(self.now_ms + KILL_INTERVAL_MS, Event::Kill);
        let victim = self.rng.random_range(0..ROUTERS);
        if !self.routers[victim].is_alive {
            return;
        }
        let now_ms = self.now_ms;
        for (index, customer) in self.trace.customers.iter().enumerate() {
            let key = CustomerKey(index as u32);
            let held_tokens = self.routers[victim].holder.unspent_tokens(key);
            let ppm = held_tokens * 1_000_000 / customer.prepaid_tokens;
            self.report.stranded_ppm = self.report.stranded_ppm.max(ppm);
        }
        let router = &mut self.routers[victim];
        router.is_alive = false;
        let incarnation = router.id.0;
        let mut requests: Vec<usize> = router.running.keys().copied().collect();
        requests.extend(router.waiting.drain(..).map(|(_, request)| request));
        requests.extend(router.claiming.values().map(|&(_, request)| request));
        router.running.clear();
        router.claiming.clear();
        for request in requests {
            self.at(
                now_ms + 1_000,
                Event::Retry {
                    router: victim,
                    request,
                },
            );
        }
        let dead = self.routers[victim].id;
        for index in 0..ROUTERS {
            self.routers[index].billing.on_peer_lost(dead);
            self.copy_bills(index);
        }
        self.set_homes();
        self.at(now_ms + REPLACE_MS, Event::Replace { router: victim });
        self.at(now_ms + CLOSE_MS, Event::Close { incarnation });
        self.at(
            now_ms + CLOSE_MS + FINALIZE_MS,
            Event::Finalize { incarnation },
        );
    }

    pub(super) fn close(&mut self, incarnation: u64) {
        let Some(writer) = (0..ROUTERS).find(|&i| self.routers[i].is_alive) else {
            return;
        };
        let state = &self.replicas[self.routers[writer].data_centre].state;
        if let Some(member) = state.members.get(IncarnationId(incarnation)) {
            let close = Entry::Close(Close {
                incarnation,
                last_seq: member.last_seq,
                reason: "no heartbeat".into(),
            });
            self.routers[writer].queue.push(close);
            self.routers[writer].is_dirty = true;
        }
    }

    pub(super) fn finalize(&mut self, incarnation: u64) {
        let Some(writer) = (0..ROUTERS).find(|&i| self.routers[i].is_alive) else {
            return;
        };
        let id = IncarnationId(incarnation);
        let state = &self.replicas[self.routers[writer].data_centre].state;
        if state
            .members
            .get(id)
            .is_none_or(|m| m.phase == MemberPhase::Open)
        {
            return;
        }
        let entry = Entry::Finalize(Finalize { incarnation });
        self.routers[writer].queue.push(entry);
        self.routers[writer].is_dirty = true;
    }

    /// Stops all routers as planned and counts the rights that stay with them.
    pub(super) fn stop_all(&mut self) {
        for _ in 0..5 {
            for index in 0..ROUTERS {
                let state = &self.replicas[self.routers[index].data_centre].state;
                let router = &mut self.routers[index];
                let returns = router.holder.drain(state);
                router.queue.extend(returns);
                self.flush(index);
            }
            self.fold();
        }
        let state = &self.replicas[0].state;
        for (index, customer) in self.trace.customers.iter().enumerate() {
            let key = CustomerKey(index as u32);
            let held = |router: &Router| router.holder.unspent_tokens(key);
            self.report.stop_stranded_tokens += self.routers.iter().map(held).sum::<u64>();
            let Some(budget) = state.ledger.budget(key) else {
                continue;
            };
            let unbilled = |grant: &GrantState| grant.granted_tokens - grant.billed_tokens;
            let lost_tokens: u64 = budget.grants.values().map(unbilled).sum();
            let ppm = lost_tokens * 1_000_000 / customer.prepaid_tokens;
            self.report.lent_lost_ppm = self.report.lent_lost_ppm.max(ppm);
        }
    }
}
