//! A model of three processes that run the real step functions of the ledger.
//!
//! The log orders batches and every process folds them independently. A paused process is modelled as one that folds
//! nothing, an unavailable log as one that appends nothing.

#![allow(dead_code, unreachable_pub)]

pub mod invariants;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;
use std::rc::Rc;

use monsoonfield::billing::Billing;
use monsoonfield::fleet_state::{Change, FleetState};
use monsoonfield::ids::{CustomerKey, IncarnationId, RequestKey};
use monsoonfield::ledger::BillEffect;
use monsoonfield::membership::MemberPhase;
use monsoonfield::message::{BillCopy, Transfer, TransferRequest};
use monsoonfield::record::{Batch, Bill, Close, Entry, Finalize, Leave};
use monsoonfield::spending_rights::SpendingRights;

use crate::ledger_common::{bill, contract, open};
use crate::model_common::{digest_debug, hash_debug, Model};

pub const PREPAID_TOKENS: u64 = 4;
const TOPPED_UP_TOKENS: u64 = 5;
const RESERVED_TOKENS: u64 = 2;
const CHARGE_TOKENS: u64 = 1;
/// The process that crashes, is closed or shuts down. The processes are interchangeable, so one choice covers all.
const FAULTY_PROCESS: usize = 0;
const NOW_MS: u64 = 1;
pub const CUSTOMERS: [&str; 2] = ["acme", "zeta"];

/// A rule that is broken deliberately, to test that an invariant detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    DoubleGrant,
    GrantLevelNotCumulative,
    BatchSeqIgnored,
    CloseWithoutSeqCheck,
    FinalizeWhileLive,
    ReturnCountedTwice,
    TransferCreditedTwice,
    BillNotDeduplicated,
    PeerCopyRefunded,
    OffsetNotChecked,
}

/// The largest number of times that each event may happen.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Limits {
    pub requests: u8,
    pub keys: u8,
    pub crashes: u8,
    pub closes: u8,
    pub finalizes: u8,
    pub transfers: u8,
    pub duplicates: u8,
    pub losses: u8,
    pub copies: u8,
    pub shutdowns: u8,
    pub lost_answers: u8,
    pub outages: u8,
    pub top_ups: u8,
    pub relays: u8,
    /// Bit mask of the processes that receive requests.
    pub request_mask: u8,
}

#[derive(Clone, Debug)]
pub enum Action {
    Request { process: usize, key: u8 },
    Write(usize),
    Append { process: usize, is_answered: bool },
    AppendFromCrashed(usize),
    Fold(usize),
    Relay(usize),
    Crash(usize),
    Close { by: usize, target: usize },
    Finalize { by: usize, target: usize },
    ShutDown(usize),
    RequestTransfer { from: usize, to: usize },
    SendCopy { from: usize, to: usize },
    Deliver(usize),
    DuplicateMessage(usize),
    DropMessage(usize),
    LogDown,
    LogUp,
    TopUp,
}

#[derive(Clone, Debug)]
enum Message {
    Request(TransferRequest),
    Transfer(Transfer),
    Copy(BillCopy),
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: usize,
    message: Message,
}

#[derive(Clone, Debug)]
struct Process {
    id: IncarnationId,
    is_alive: bool,
    is_stopping: bool,
    has_left: bool,
    folded: usize,
    last_seq: u64,
    rights: SpendingRights,
    billing: Billing,
    outstanding: Option<Rc<Batch>>,
    /// Whether the process has entries to write; cached, because it is queried often.
    is_due: bool,
    /// Digest of the fields above.
    digest: u128,
}

#[derive(Clone)]
pub struct LedgerModel {
    mutation: Mutation,
    limits: Limits,
    is_log_up: bool,
    states: Vec<Rc<FleetState>>,
    changes: Vec<Rc<Vec<Change>>>,
    log_digest: u128,
    processes: Vec<Rc<Process>>,
    /// Whether the present step has changed each process.
    dirty: [bool; 3],
    crashed_appends: Vec<Rc<Batch>>,
    network: Vec<Packet>,
    /// Bills that are not folded yet.
    unfolded_bills: Vec<Bill>,
    /// Highest level that each process requested.
    requested_levels: BTreeMap<(IncarnationId, String), u64>,
    charged_keys: Vec<RequestKey>,
    ended: BTreeSet<IncarnationId>,
    violated: Option<&'static str>,
}

impl LedgerModel {
    pub fn new(limits: Limits, mutation: Mutation) -> Self {
        let mut state = FleetState::default();
        let contracts = CUSTOMERS.map(|name| contract(name, 1, PREPAID_TOKENS, 1_000_000));
        state.apply(0, &Batch::new(IncarnationId(100), 1, contracts));
        let processes: Vec<Rc<Process>> = (1..=3)
            .map(|id| Rc::new(Process::new(IncarnationId(id))))
            .collect();
        for (offset, process) in processes.iter().enumerate() {
            state.apply(offset as u64 + 1, &Batch::new(process.id, 1, [open()]));
        }
        Self {
            mutation,
            limits,
            is_log_up: true,
            states: vec![Rc::new(state)],
            changes: Vec::new(),
            log_digest: 0,
            processes,
            dirty: [true; 3],
            crashed_appends: Vec::new(),
            network: Vec::new(),
            unfolded_bills: Vec::new(),
            requested_levels: BTreeMap::new(),
            charged_keys: Vec::new(),
            ended: BTreeSet::new(),
            violated: None,
        }
    }

    /// Creates a model in which two processes hold all rights on the first budget and one on the second.
    pub fn with_rights(limits: Limits, mutation: Mutation) -> Self {
        let mut model = Self::new(limits, Mutation::None);
        for (process, key) in [(0, 0), (1, 0), (2, 1)] {
            model.request(process, key);
            model.write(process);
            model.step(&Action::Append {
                process,
                is_answered: true,
            });
            for index in 0..model.processes.len() {
                model.step(&Action::Fold(index));
            }
        }
        model.mutation = mutation;
        model
    }

    fn newest(&self) -> &FleetState {
        self.states.last().expect("the initial state")
    }

    fn state_of(&self, process: usize) -> Rc<FleetState> {
        Rc::clone(&self.states[self.processes[process].folded])
    }

    fn process_mut(&mut self, index: usize) -> &mut Process {
        self.dirty[index] = true;
        Rc::make_mut(&mut self.processes[index])
    }

    /// Recomputes the derived fields of the processes that the step changed.
    fn refresh(&mut self) {
        for index in 0..self.processes.len() {
            if std::mem::take(&mut self.dirty[index]) {
                let state = self.state_of(index);
                let process = Rc::make_mut(&mut self.processes[index]);
                let entries = Self::due_entries(&mut process.clone(), &state);
                process.is_due = !entries.is_empty();
                process.digest = 0;
                process.digest = digest_debug(process);
            }
        }
    }

    fn request(&mut self, index: usize, key: u8) {
        let state = self.state_of(index);
        let customer = CustomerKey(u32::from(key) % CUSTOMERS.len() as u32);
        let process = self.process_mut(index);
        let Ok(reservation) = process.rights.reserve(customer, RESERVED_TOKENS) else {
            return;
        };
        let draws = process.rights.settle(reservation, CHARGE_TOKENS);
        let mut bill = bill(u128::from(key), 1, &draws);
        bill.customer = CUSTOMERS[customer.0 as usize].into();
        match process.billing.add(bill.clone(), &state) {
            Ok(()) => self.unfolded_bills.push(bill),
            Err(already) => self
                .process_mut(index)
                .rights
                .refund(customer, &already.bill.draws),
        }
    }

    /// Returns the entries that a process has to write next.
    fn due_entries(process: &mut Process, state: &FleetState) -> Vec<Entry> {
        let mut entries = process.billing.entries_to_write(10);
        if process.is_stopping {
            let returns = process.rights.drain(state);
            let is_last = entries.is_empty()
                && returns.is_empty()
                && process.billing.pending_len() == 0
                && process.rights.is_drained(state);
            entries.extend(returns);
            if is_last && !process.has_left {
                process.has_left = true;
                entries.push(Entry::Leave(Leave {}));
            }
        } else {
            entries.extend(process.rights.entries_to_write(state, NOW_MS));
        }
        entries
    }

    fn write(&mut self, index: usize) {
        let state = self.state_of(index);
        let process = self.process_mut(index);
        let id = process.id;
        let entries = Self::due_entries(process, &state);
        for entry in &entries {
            if let Entry::Grant(grant) = entry {
                let level = self
                    .requested_levels
                    .entry((id, grant.customer.clone()))
                    .or_insert(0);
                *level = (*level).max(grant.up_to_tokens);
            }
        }
        if !entries.is_empty() {
            self.submit(index, entries);
        }
    }

    fn submit(&mut self, index: usize, entries: Vec<Entry>) {
        let process = self.process_mut(index);
        process.last_seq += 1;
        process.outstanding = Some(Rc::new(Batch::new(process.id, process.last_seq, entries)));
    }

    fn append(&mut self, batch: &Batch) {
        let mut state = self.newest().clone();
        let before = state.clone();
        let changes = self.apply(&mut state, batch);
        self.check_effects(&before, &changes, batch);
        self.log_digest = digest_debug(&(self.log_digest, batch));
        self.states.push(Rc::new(state));
        self.changes.push(Rc::new(changes));
    }

    /// Folds a batch and applies the mutation.
    fn apply(&self, state: &mut FleetState, batch: &Batch) -> Vec<Change> {
        let writer = IncarnationId(batch.incarnation);
        if self.mutation == Mutation::BatchSeqIgnored {
            if let Some(member) = state.members.get_mut(writer) {
                member.last_seq = batch.seq - 1;
            }
        }
        let mut batch = batch.clone();
        let mut doubled = Vec::new();
        for entry in batch.entries.iter_mut().filter_map(|e| e.entry.as_mut()) {
            self.mutate_entry(state, writer, entry, &mut doubled);
        }
        batch.entries.extend(doubled.into_iter().map(Into::into));
        let offset = state.next_offset;
        let changes = state.apply(offset, &batch);
        if self.mutation == Mutation::DoubleGrant {
            for customer in [CustomerKey(0), CustomerKey(1)] {
                state.ledger.set_prepaid(customer, PREPAID_TOKENS);
            }
        }
        changes
    }

    fn mutate_entry(
        &self,
        state: &mut FleetState,
        writer: IncarnationId,
        entry: &mut Entry,
        doubled: &mut Vec<Entry>,
    ) {
        match (self.mutation, &mut *entry) {
            (Mutation::DoubleGrant, Entry::Grant(grant)) => {
                let customer = state
                    .customers
                    .get(&grant.customer)
                    .expect("a known customer");
                state.ledger.set_prepaid(customer, u64::MAX);
            }
            (Mutation::GrantLevelNotCumulative, Entry::Grant(grant)) => {
                let customer = state
                    .customers
                    .get(&grant.customer)
                    .expect("a known customer");
                let budget = state.ledger.budget(customer);
                let level = budget.and_then(|b| b.grants.get(&writer));
                grant.up_to_tokens += level.map_or(0, |g| g.level_tokens);
            }
            (Mutation::CloseWithoutSeqCheck, Entry::Close(close)) => {
                let member = state.members.get(IncarnationId(close.incarnation));
                close.last_seq = member.map_or(0, |m| m.last_seq);
            }
            (Mutation::FinalizeWhileLive, Entry::Finalize(finalize)) => {
                let id = IncarnationId(finalize.incarnation);
                if let Some(member) = state.members.get_mut(id) {
                    member.phase = MemberPhase::Closed;
                }
            }
            (Mutation::ReturnCountedTwice, Entry::Return(_)) => doubled.push(entry.clone()),
            (Mutation::BillNotDeduplicated, Entry::Bill(bill)) => {
                bill.key_high = state.next_offset;
            }
            _ => {}
        }
    }

    fn fold(&mut self, index: usize) {
        let changes = Rc::clone(&self.changes[self.processes[index].folded]);
        self.process_mut(index).folded += 1;
        let state = self.state_of(index);
        let mutation = self.mutation;
        let process = self.process_mut(index);
        for change in changes.iter() {
            process.rights.on_change(change, &state);
            let decision = process.billing.on_change(change, &state);
            if let Some((customer, draws)) = decision.refund {
                process.rights.refund(customer, &draws);
            }
            if let (
                Mutation::PeerCopyRefunded,
                Change::Bill {
                    writer,
                    bill,
                    effect,
                },
            ) = (mutation, change)
            {
                if *effect == BillEffect::Duplicate && *writer == process.id {
                    let customer = state
                        .customers
                        .get(&bill.customer)
                        .expect("a known customer");
                    process.rights.refund(customer, &bill.draws);
                }
            }
        }
    }

    /// Gives a process a record at the newest offset that it has folded, as a peer that relays records may do.
    fn relay(&mut self, index: usize) {
        let mut state = (*self.state_of(index)).clone();
        let before = state.next_offset;
        let offset = before - 1;
        if self.mutation == Mutation::OffsetNotChecked {
            state.next_offset = offset;
        }
        let batch = Batch::new(IncarnationId(200), 1, [contract("other", 1, 9, 1)]);
        let changes = state.apply(offset, &batch);
        if !changes.is_empty() || state.next_offset != before {
            self.violated = Some("the next offset never decreases");
        }
    }

    fn deliver(&mut self, packet: &Packet) {
        let from = self.processes[packet.from].id;
        let state = self.state_of(packet.to);
        let mutation = self.mutation;
        let process = self.process_mut(packet.to);
        match &packet.message {
            Message::Request(request) => {
                let transfer = process.rights.on_transfer_request(from, request, &state);
                self.network.push(Packet {
                    from: packet.to,
                    to: packet.from,
                    message: Message::Transfer(transfer),
                });
            }
            Message::Transfer(transfer) => {
                let is_new = process.rights.on_transfer(from, transfer, &state);
                if !is_new && mutation == Mutation::TransferCreditedTwice {
                    let customer = state
                        .customers
                        .get(&transfer.customer)
                        .expect("a known customer");
                    process.rights.refund(customer, &transfer.rights);
                }
            }
            Message::Copy(copy) => {
                process.billing.on_bill_copy(from, copy, &state);
            }
        }
    }

    fn request_transfer(&mut self, from: usize, to: usize) {
        let state = self.state_of(from);
        let rights = &mut self.process_mut(from).rights;
        let request = rights.transfer_request(&state, CustomerKey(0), 1);
        self.network.push(Packet {
            from,
            to,
            message: Message::Request(request),
        });
    }

    fn send_copy(&mut self, from: usize, to: usize) {
        let peer = self.processes[to].id;
        if let Some(copy) = self.process_mut(from).billing.copy_to_send(peer, NOW_MS) {
            self.network.push(Packet {
                from,
                to,
                message: Message::Copy(copy),
            });
        }
    }

    fn process_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let process = &self.processes[index];
        if !process.is_alive {
            return;
        }
        if process.folded < self.changes.len() {
            actions.push(Action::Fold(index));
        }
        if self.limits.relays > 0 {
            actions.push(Action::Relay(index));
        }
        if !process.is_stopping && !process.rights.is_closed() {
            if self.limits.requests > 0 && self.limits.request_mask & (1 << index) != 0 {
                let keys = 0..self.limits.keys;
                actions.extend(keys.map(|key| Action::Request {
                    process: index,
                    key,
                }));
            }
            if self.limits.shutdowns > 0 && index == FAULTY_PROCESS {
                actions.push(Action::ShutDown(index));
            }
        }
        if self.limits.crashes > 0 && index == FAULTY_PROCESS {
            actions.push(Action::Crash(index));
        }
        if process.outstanding.is_none() {
            self.write_actions(index, actions);
        } else if self.is_log_up {
            actions.push(Action::Append {
                process: index,
                is_answered: true,
            });
            if self.limits.lost_answers > 0 {
                actions.push(Action::Append {
                    process: index,
                    is_answered: false,
                });
            }
        }
    }

    fn write_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let process = &self.processes[index];
        let state = self.state_of(index);
        if process.is_due {
            actions.push(Action::Write(index));
        }
        for (target, other) in self.processes.iter().enumerate() {
            let member = state.members.get(other.id);
            if target == index || target != FAULTY_PROCESS {
                continue;
            }
            match member.map(|member| member.phase) {
                Some(MemberPhase::Open) if self.limits.closes > 0 => {
                    actions.push(Action::Close { by: index, target });
                }
                Some(MemberPhase::Closed | MemberPhase::Left) if self.limits.finalizes > 0 => {
                    actions.push(Action::Finalize { by: index, target });
                }
                _ => {}
            }
            let is_mutated = self.mutation == Mutation::FinalizeWhileLive;
            if is_mutated && self.limits.finalizes > 0 && member.is_some() {
                actions.push(Action::Finalize { by: index, target });
            }
        }
    }

    fn peer_actions(&self, from: usize, actions: &mut Vec<Action>) {
        for to in 0..self.processes.len() {
            if to == from || !self.processes[from].is_alive || !self.processes[to].is_alive {
                continue;
            }
            if self.limits.transfers > 0 && (from == FAULTY_PROCESS || to == FAULTY_PROCESS) {
                actions.push(Action::RequestTransfer { from, to });
            }
            if self.limits.copies > 0
                && from == FAULTY_PROCESS
                && self.processes[from].billing.pending_len() > 0
            {
                actions.push(Action::SendCopy { from, to });
            }
        }
    }
}

impl Process {
    fn new(id: IncarnationId) -> Self {
        Self {
            id,
            is_alive: true,
            is_stopping: false,
            has_left: false,
            folded: 0,
            last_seq: 1,
            rights: SpendingRights::new(id),
            billing: Billing::default(),
            outstanding: None,
            is_due: false,
            digest: 0,
        }
    }
}

impl Model for LedgerModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.processes.len() {
            self.process_actions(index, &mut actions);
            self.peer_actions(index, &mut actions);
        }
        for (index, packet) in self.network.iter().enumerate() {
            if self.processes[packet.to].is_alive {
                actions.push(Action::Deliver(index));
            }
            if self.limits.duplicates > 0 {
                actions.push(Action::DuplicateMessage(index));
            }
            if self.limits.losses > 0 {
                actions.push(Action::DropMessage(index));
            }
        }
        if self.is_log_up {
            actions.extend((0..self.crashed_appends.len()).map(Action::AppendFromCrashed));
            if self.limits.outages > 0 {
                actions.push(Action::LogDown);
            }
        } else {
            actions.push(Action::LogUp);
        }
        if self.limits.top_ups > 0 && self.is_log_up {
            actions.push(Action::TopUp);
        }
        actions
    }

    fn step(&mut self, action: &Action) {
        match *action {
            Action::Request { process, key } => {
                self.limits.requests -= 1;
                self.request(process, key);
            }
            Action::Write(process) => self.write(process),
            Action::Append {
                process,
                is_answered,
            } => {
                let batch = self.processes[process].outstanding.clone();
                self.append(&batch.expect("an outstanding batch"));
                if is_answered {
                    self.process_mut(process).outstanding = None;
                } else {
                    self.limits.lost_answers -= 1;
                }
            }
            Action::AppendFromCrashed(index) => {
                let batch = self.crashed_appends.remove(index);
                self.append(&batch);
            }
            Action::Fold(process) => self.fold(process),
            Action::Relay(process) => {
                self.limits.relays -= 1;
                self.relay(process);
            }
            Action::Crash(process) => {
                self.limits.crashes -= 1;
                self.process_mut(process).is_alive = false;
                let outstanding = self.process_mut(process).outstanding.take();
                self.crashed_appends.extend(outstanding);
            }
            Action::Close { by, target } => {
                self.limits.closes -= 1;
                let id = self.processes[target].id;
                let member = self.state_of(by).members.get(id).cloned();
                let close = Close {
                    incarnation: id.0,
                    last_seq: member.map_or(0, |m| m.last_seq),
                    reason: String::new(),
                };
                self.submit(by, vec![Entry::Close(close)]);
            }
            Action::Finalize { by, target } => {
                self.limits.finalizes -= 1;
                let incarnation = self.processes[target].id.0;
                self.submit(by, vec![Entry::Finalize(Finalize { incarnation })]);
            }
            Action::ShutDown(process) => {
                self.limits.shutdowns -= 1;
                self.process_mut(process).is_stopping = true;
            }
            Action::RequestTransfer { from, to } => {
                self.limits.transfers -= 1;
                self.request_transfer(from, to);
            }
            Action::SendCopy { from, to } => {
                self.limits.copies -= 1;
                self.send_copy(from, to);
            }
            Action::Deliver(index) => {
                let packet = self.network.remove(index);
                self.deliver(&packet);
            }
            Action::DuplicateMessage(index) => {
                self.limits.duplicates -= 1;
                self.network.push(self.network[index].clone());
            }
            Action::DropMessage(index) => {
                self.limits.losses -= 1;
                self.network.remove(index);
            }
            Action::LogDown => {
                self.limits.outages -= 1;
                self.is_log_up = false;
            }
            Action::LogUp => self.is_log_up = true,
            Action::TopUp => {
                self.limits.top_ups -= 1;
                let entry = contract(CUSTOMERS[0], 2, TOPPED_UP_TOKENS, 1_000_000);
                self.append(&Batch::new(IncarnationId(101), 1, [entry]));
            }
        }
        self.refresh();
    }

    fn violation(&self) -> Option<&'static str> {
        self.violated.or_else(|| self.violated_balance())
    }

    fn hash_state(&self, hasher: &mut xxhash_rust::xxh3::Xxh3) {
        self.log_digest.hash(hasher);
        self.limits.hash(hasher);
        self.is_log_up.hash(hasher);
        for process in &self.processes {
            process.digest.hash(hasher);
        }
        hash_debug(
            hasher,
            &(
                &self.crashed_appends,
                &self.network,
                &self.unfolded_bills,
                self.violated,
            ),
        );
    }
}
