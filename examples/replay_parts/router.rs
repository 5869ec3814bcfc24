//! One simulated router, and the simulation steps that involve several.

use std::collections::BTreeMap;

use monsoonfield::billing::Billing;
use monsoonfield::intent::{Answer, AttemptStart, Calls, NextAction};
use monsoonfield::ledger::GrantState;
use monsoonfield::spending_rights::{Reservation, SpendingRights};

use super::*;

/// Largest number of bills in one batch.
const BATCH_BILLS: usize = 1_000;

pub(super) struct RunningRequest {
    pub(super) reservation: Reservation,
}

pub(super) struct Router {
    pub(super) id: IncarnationId,
    pub(super) data_centre: usize,
    pub(super) is_alive: bool,
    /// Whether something has changed since the last tick.
    pub(super) is_dirty: bool,
    pub(super) rights: SpendingRights,
    pub(super) billing: Billing,
    pub(super) calls: Calls,
    pub(super) queue: Vec<Entry>,
    pub(super) next_seq: u64,
    /// Requests that wait for rights, each with the time at which it is refused.
    pub(super) waiting: Vec<(u64, usize)>,
    /// Payments that wait for their claim, each with the time at which it is refused.
    pub(super) pending_claims: BTreeMap<RequestKey, (u64, usize)>,
    pub(super) running: BTreeMap<usize, RunningRequest>,
}

impl Router {
    pub(super) fn new(id: IncarnationId, data_centre: usize) -> Self {
        Self {
            id,
            data_centre,
            is_alive: true,
            is_dirty: true,
            rights: SpendingRights::new(id),
            billing: Billing::default(),
            calls: Calls::new(id),
            queue: Vec::new(),
            next_seq: 0,
            waiting: Vec::new(),
            pending_claims: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }
}

impl Simulation<'_> {
    /// Chooses a home for each data centre and customer: the live router from which the others request rights.
    pub(super) fn set_homes(&mut self) {
        for customer in 0..self.trace.customers.len() {
            for data_centre in 0..DATA_CENTRES {
                let home = self.home(data_centre, customer);
                for index in 0..ROUTERS {
                    if self.routers[index].data_centre == data_centre {
                        let key = CustomerKey(customer as u32);
                        self.routers[index]
                            .rights
                            .set_home(key, Some(index) == home);
                    }
                }
            }
        }
    }

    /// Returns the live router with the highest hash, so that a kill only moves the homes on the killed router.
    pub(super) fn home(&self, data_centre: usize, customer: usize) -> Option<usize> {
        (0..ROUTERS)
            .filter(|&i| self.routers[i].data_centre == data_centre && self.routers[i].is_alive)
            .max_by_key(|&i| {
                (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
                    ^ (customer as u64 * 0x1234_5678_9abc)
            })
    }

    /// Requests rights from the home in the same data centre, or from the other homes if this router is the home.
    pub(super) fn request_transfers(
        &mut self,
        index: usize,
        customer: CustomerKey,
        amount_tokens: u64,
    ) {
        let own = self.routers[index].data_centre;
        if self.home(own, customer.0 as usize) != Some(index) {
            self.request_refills(index);
            return;
        }
        let is_cut_off = |dc| self.scenario.is_cut_off(self.now_ms, dc);
        let others: Vec<usize> = (0..DATA_CENTRES)
            .filter(|&dc| dc != own && !is_cut_off(dc) && !is_cut_off(own))
            .filter_map(|dc| self.home(dc, customer.0 as usize))
            .collect();
        for home in others {
            if self.routers[index].rights.free_tokens(customer) >= amount_tokens {
                return;
            }
            let state = &self.replicas[own].state;
            let request =
                self.routers[index]
                    .rights
                    .transfer_request(state, customer, amount_tokens);
            self.transfer(index, home, &request);
        }
    }

    fn request_refills(&mut self, index: usize) {
        let data_centre = self.routers[index].data_centre;
        let state = &self.replicas[data_centre].state;
        let requests = self.routers[index]
            .rights
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
            .rights
            .on_transfer_request(to_id, request, state);
        self.routers[from].is_dirty = true;
        let state = &self.replicas[self.routers[to].data_centre].state;
        self.routers[to].rights.on_transfer(from_id, &answer, state);
    }

    /// Folds the records that each data centre can read from the log.
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
                    self.deliver_change(data_centre, change);
                }
            }
        }
    }

    fn count_charges(&mut self, changes: &[Change]) {
        for change in changes {
            if let Change::Bill { bill, effect, .. } = change {
                if matches!(effect, BillEffect::Counted | BillEffect::PartlyLate) {
                    *self.bill_counts.entry(bill.request_key()).or_insert(0) += 1;
                }
            }
        }
    }

    fn deliver_change(&mut self, data_centre: usize, change: &Change) {
        for index in 0..ROUTERS {
            if self.routers[index].data_centre != data_centre || !self.routers[index].is_alive {
                continue;
            }
            let state = &self.replicas[data_centre].state;
            let router = &mut self.routers[index];
            router.rights.on_change(change, state);
            let decision = router.billing.on_change(change, state);
            if let Some((customer, draws)) = decision.refund {
                router.rights.refund(customer, &draws);
            }
            let action = router.calls.on_change(change, state);
            router.is_dirty = true;
            if let Some(action) = action {
                self.continue_payment(index, action);
            }
        }
    }

    pub(super) fn begin_payment(&mut self, router: usize, index: usize) {
        let now_ms = self.now_ms;
        let is_log_up = self.scenario.is_log_reachable(now_ms, router);
        let state = &self.replicas[data_centre_of(router)].state;
        let target = &mut self.routers[router];
        let fingerprint = monsoonfield::ids::Fingerprint(1);
        match target
            .calls
            .begin(key_of(index), fingerprint, state, is_log_up)
        {
            AttemptStart::Claim(entry) => {
                target.queue.push(entry);
                target.is_dirty = true;
                target
                    .pending_claims
                    .insert(key_of(index), (now_ms + WAIT_TIMEOUT_MS, index));
            }
            AttemptStart::Answer(answer) => self.answer_payment(index, answer),
        }
    }

    fn continue_payment(&mut self, router: usize, action: NextAction) {
        match action {
            NextAction::Dispatch(key) => {
                let Some((expires_ms, index)) = self.routers[router].pending_claims.remove(&key)
                else {
                    return;
                };
                *self.dispatch_counts.entry(index).or_insert(0) += 1;
                if !self.start(router, index) {
                    // The call is sent once it has its rights.
                    self.routers[router].waiting.push((expires_ms, index));
                }
            }
            NextAction::Answer(key, answer) => {
                if let Some((_, index)) = self.routers[router].pending_claims.remove(&key) {
                    self.answer_payment(index, answer);
                }
            }
        }
    }

    fn answer_payment(&mut self, index: usize, answer: Answer) {
        match answer {
            Answer::Outcome { .. } => self.outcomes[index] = RequestOutcome::Served,
            Answer::Refused(refusal)
                if refusal.execution_status() == monsoonfield::refusal::ExecutionStatus::NotRun =>
            {
                self.outcomes[index] = RequestOutcome::Refused;
                self.report.claims_refused += 1;
            }
            Answer::Refused(_) => {
                self.outcomes[index] = RequestOutcome::Unknown;
                self.report.claims_unknown += 1;
            }
        }
    }

    /// Returns whether any router has work to do before the next idle tick.
    pub(super) fn is_busy(&self) -> bool {
        self.routers.iter().any(|router| {
            let has_work = router.is_dirty || !router.waiting.is_empty();
            router.is_alive && (has_work || !router.pending_claims.is_empty())
        })
    }

    pub(super) fn tick(&mut self, index: usize) {
        let is_idle_tick = self.now_ms % IDLE_TICK_MS < TICK_MS;
        let router = &self.routers[index];
        let has_work =
            router.is_dirty || !router.waiting.is_empty() || !router.pending_claims.is_empty();
        if !router.is_alive || !(has_work || is_idle_tick) {
            return;
        }
        self.routers[index].is_dirty = false;
        self.retry_waiting(index);
        self.expire_claims(index);
        self.request_refills(index);
        let state = &self.replicas[self.routers[index].data_centre].state;
        let router = &mut self.routers[index];
        let entries = router.rights.entries_to_write(state, self.now_ms);
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
            let is_covered = self.remaining_tokens(customer) >= reserved_tokens;
            let is_in_scope = self.is_in_scope(customer);
            let is_fault_hour = self.scenario.is_fault_active(self.now_ms);
            self.report
                .record_refusal(is_in_scope, is_covered, is_fault_hour);
            self.outcomes[request] = RequestOutcome::Refused;
            if self.trace.requests[request].is_payment {
                let abandon = self.routers[index].calls.cancel_unsent(key_of(request));
                self.routers[index].queue.extend(abandon);
                *self.dispatch_counts.entry(request).or_insert(1) -= 1;
            }
        }
    }

    fn expire_claims(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[index];
        let expired: Vec<(RequestKey, usize)> = router
            .pending_claims
            .iter()
            .filter(|(_, (expires_ms, _))| *expires_ms <= now_ms)
            .map(|(&key, &(_, request))| (key, request))
            .collect();
        for (key, request) in expired {
            let router = &mut self.routers[index];
            router.pending_claims.remove(&key);
            router.queue.extend(router.calls.cancel(key));
            self.outcomes[request] = RequestOutcome::Refused;
            self.report.claims_refused += 1;
        }
    }

    /// Kills a random router; its callers retry at another router with the same keys.
    pub(super) fn kill(&mut self) {
        if self.now_ms >= DAY_MS {
            return;
        }
        self.schedule(self.now_ms + KILL_INTERVAL_MS, Event::Kill);
        let killed = self.rng.random_range(0..ROUTERS);
        if !self.routers[killed].is_alive {
            return;
        }
        let now_ms = self.now_ms;
        for (index, customer) in self.trace.customers.iter().enumerate() {
            let key = CustomerKey(index as u32);
            let held_tokens = self.routers[killed].rights.unspent_tokens(key);
            let ppm = held_tokens * 1_000_000 / customer.prepaid_tokens;
            self.report.stranded_ppm = self.report.stranded_ppm.max(ppm);
        }
        let router = &mut self.routers[killed];
        router.is_alive = false;
        let incarnation = router.id.0;
        let mut requests: Vec<usize> = router.running.keys().copied().collect();
        requests.extend(router.waiting.drain(..).map(|(_, request)| request));
        requests.extend(router.pending_claims.values().map(|&(_, request)| request));
        router.running.clear();
        router.pending_claims.clear();
        for request in requests {
            self.schedule(
                now_ms + 1_000,
                Event::Retry {
                    router: killed,
                    request,
                },
            );
        }
        let dead = self.routers[killed].id;
        for index in 0..ROUTERS {
            self.routers[index].billing.on_peer_lost(dead);
            self.copy_bills(index);
        }
        self.set_homes();
        self.schedule(now_ms + REPLACE_DELAY_MS, Event::Replace { router: killed });
        self.schedule(now_ms + CLOSE_DELAY_MS, Event::Close { incarnation });
        self.schedule(
            now_ms + CLOSE_DELAY_MS + FINALIZE_DELAY_MS,
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

    /// Shuts all routers down gracefully and counts the rights that remain with them.
    pub(super) fn shut_down_all(&mut self) {
        for _ in 0..5 {
            for index in 0..ROUTERS {
                let state = &self.replicas[self.routers[index].data_centre].state;
                let router = &mut self.routers[index];
                let returns = router.rights.drain(state);
                router.queue.extend(returns);
                self.flush(index);
            }
            self.fold();
        }
        let state = &self.replicas[0].state;
        for (index, customer) in self.trace.customers.iter().enumerate() {
            let key = CustomerKey(index as u32);
            let held = |router: &Router| router.rights.unspent_tokens(key);
            self.report.stop_stranded_tokens += self.routers.iter().map(held).sum::<u64>();
            let Some(budget) = state.ledger.budget(key) else {
                continue;
            };
            let unbilled = |grant: &GrantState| grant.granted_tokens - grant.billed_tokens;
            let lost_tokens: u64 = budget.grants.values().map(unbilled).sum();
            let ppm = lost_tokens * 1_000_000 / customer.prepaid_tokens;
            self.report.transfer_lost_ppm = self.report.transfer_lost_ppm.max(ppm);
        }
    }
}
