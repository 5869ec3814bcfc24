//! A model of three processes that run the real step functions for calls that may run at most once.

#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::hash::Hash;
use std::rc::Rc;

use monsoonfield::fleet_state::{Change, FleetState};
use monsoonfield::ids::{Fingerprint, IncarnationId, RequestKey};
use monsoonfield::intent::{Answer, AttemptStart, Calls, Claim, NextAction};
use monsoonfield::membership::MemberPhase;
use monsoonfield::record::{split_key, Abandon, Batch, Close, Entry};
use monsoonfield::refusal::ExecutionStatus;

use crate::ledger_common::open;
use crate::model_common::{digest_debug, hash_debug, Model};

pub const ONE_DISPATCH: &str = "at most one dispatch per key";
pub const NOT_RUN: &str = "not_run is never reported for a call that was or may be sent";
pub const NOT_RUN_KNOWN: &str = "not_run is never reported while another claim is folded";
pub const OUTCOME: &str = "an outcome is reported only for a call that ran";

const STATUS: u16 = 201;
const FINGERPRINT: Fingerprint = Fingerprint(1);

/// A rule that is broken deliberately, to test that an invariant detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    None,
    DispatchBeforeClaim,
    AbandonAfterDispatch,
    NotRunAfterSend,
    RetryBeforeAbandon,
    LaterClaimWins,
    BatchSeqIgnored,
    OutcomeBeforeAnswer,
}

/// The largest number of times that each event may happen.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Limits {
    pub attempts: u8,
    pub keys: u8,
    pub cancels: u8,
    pub unsent: u8,
    pub crashes: u8,
    pub closes: u8,
    pub delayed: u8,
    pub outages: u8,
    /// Bit mask of the processes that receive attempts.
    pub attempt_mask: u8,
}

#[derive(Clone, Debug)]
pub enum Action {
    Begin {
        process: usize,
        key: u8,
    },
    Append(usize),
    /// The batch is appended and its answer is lost; the retried append may arrive at any later time.
    AppendAndDuplicate(usize),
    AppendDelayed(usize),
    Fold(usize),
    Cancel {
        process: usize,
        key: u8,
    },
    CancelUnsent {
        process: usize,
        key: u8,
    },
    Finish {
        process: usize,
        key: u8,
    },
    Fail {
        process: usize,
        key: u8,
    },
    Crash(usize),
    Close {
        by: usize,
    },
    Restart(usize),
    LogDown,
    LogUp,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Attempt {
    Waiting,
    Sent,
}

#[derive(Clone, Debug)]
struct Process {
    id: IncarnationId,
    is_alive: bool,
    folded: usize,
    last_seq: u64,
    calls: Calls,
    attempts: BTreeMap<RequestKey, Attempt>,
    queue: Vec<Entry>,
    outstanding: Option<Rc<Batch>>,
    /// Digest of the fields above.
    digest: u128,
}

#[derive(Clone)]
pub struct IntentModel {
    mutation: Mutation,
    /// Whether an attempt has begun. The processes and the keys are interchangeable, so the first attempt is fixed.
    has_begun: bool,
    /// Whether the present step has changed each process.
    dirty: [bool; 3],
    limits: Limits,
    is_log_up: bool,
    states: Vec<Rc<FleetState>>,
    changes: Vec<Rc<Vec<Change>>>,
    log_digest: u128,
    processes: Vec<Rc<Process>>,
    delayed: Vec<Rc<Batch>>,
    sent: BTreeMap<RequestKey, u8>,
    finished: Vec<RequestKey>,
    violated: Option<&'static str>,
}

fn request_key(key: u8) -> RequestKey {
    RequestKey(key.into())
}

impl IntentModel {
    pub fn new(limits: Limits, mutation: Mutation) -> Self {
        let mut state = FleetState::default();
        for id in 1..=3 {
            state.apply(id - 1, &Batch::new(IncarnationId(id), 1, [open()]));
        }
        let process = |id| {
            Rc::new(Process {
                id: IncarnationId(id),
                is_alive: true,
                folded: 0,
                last_seq: 1,
                calls: Calls::new(IncarnationId(id)),
                attempts: BTreeMap::new(),
                queue: Vec::new(),
                outstanding: None,
                digest: 0,
            })
        };
        Self {
            mutation,
            has_begun: false,
            dirty: [true; 3],
            limits,
            is_log_up: true,
            states: vec![Rc::new(state)],
            changes: Vec::new(),
            log_digest: 0,
            processes: (1..=3).map(process).collect(),
            delayed: Vec::new(),
            sent: BTreeMap::new(),
            finished: Vec::new(),
            violated: None,
        }
    }

    fn process_mut(&mut self, index: usize) -> &mut Process {
        self.dirty[index] = true;
        Rc::make_mut(&mut self.processes[index])
    }

    fn state_of(&self, index: usize) -> Rc<FleetState> {
        Rc::clone(&self.states[self.processes[index].folded])
    }

    fn begin(&mut self, index: usize, key: RequestKey) {
        let state = self.state_of(index);
        let (mutation, is_log_up) = (self.mutation, self.is_log_up);
        let process = self.process_mut(index);
        if mutation == Mutation::RetryBeforeAbandon && !process.attempts.contains_key(&key) {
            process.calls = Calls::new(process.id);
        }
        match process.calls.begin(key, FINGERPRINT, &state, is_log_up) {
            AttemptStart::Claim(entry) => {
                process.queue.push(entry);
                process.attempts.insert(key, Attempt::Waiting);
                if mutation == Mutation::DispatchBeforeClaim {
                    self.dispatch(index, key);
                }
            }
            AttemptStart::Answer(answer) => self.check_answer(index, key, answer, false),
        }
    }

    fn dispatch(&mut self, index: usize, key: RequestKey) {
        let process = self.process_mut(index);
        if process.attempts.get(&key) != Some(&Attempt::Waiting) {
            self.violated = Some(NOT_RUN);
        }
        self.process_mut(index).attempts.insert(key, Attempt::Sent);
        let sent = self.sent.entry(key).or_insert(0);
        *sent += 1;
        if *sent > 1 {
            self.violated = Some(ONE_DISPATCH);
        }
    }

    /// Checks the answer to an attempt; `is_own_sent` is whether this attempt was sent.
    fn check_answer(&mut self, index: usize, key: RequestKey, answer: Answer, is_own_sent: bool) {
        match answer {
            Answer::Outcome { .. } => {
                if !self.finished.contains(&key) {
                    self.violated = Some(OUTCOME);
                }
            }
            Answer::Refused(refusal) if refusal.execution_status() == ExecutionStatus::NotRun => {
                let own = self.processes[index].id;
                let state = self.state_of(index);
                let is_claimed = match state.intents.get(key) {
                    Some(Claim::Open { holder, .. }) => holder != own,
                    Some(Claim::Ran { .. }) => true,
                    None => false,
                };
                if is_own_sent {
                    self.violated = Some(NOT_RUN);
                } else if is_claimed {
                    self.violated = Some(NOT_RUN_KNOWN);
                }
            }
            Answer::Refused(_) => {}
        }
    }

    fn append(&mut self, batch: &Batch) {
        let mut state = FleetState::clone(self.states.last().expect("the initial state"));
        let writer = IncarnationId(batch.incarnation);
        if self.mutation == Mutation::BatchSeqIgnored {
            if let Some(member) = state.members.get_mut(writer) {
                member.last_seq = batch.seq - 1;
            }
        }
        if self.mutation == Mutation::LaterClaimWins {
            for entry in batch.entries.iter().filter_map(|e| e.entry.as_ref()) {
                if let Entry::Intent(intent) = entry {
                    let key = intent.request_key();
                    if let Some(Claim::Open { holder, .. }) = state.intents.get(key) {
                        state.intents.abandon(key, holder);
                    }
                }
            }
        }
        let offset = state.next_offset;
        let changes = state.apply(offset, batch);
        self.log_digest = digest_debug(&(self.log_digest, batch));
        self.states.push(Rc::new(state));
        self.changes.push(Rc::new(changes));
    }

    fn fold(&mut self, index: usize) {
        let changes = Rc::clone(&self.changes[self.processes[index].folded]);
        self.process_mut(index).folded += 1;
        let state = self.state_of(index);
        for change in changes.iter() {
            match self.process_mut(index).calls.on_change(change, &state) {
                Some(NextAction::Dispatch(key))
                    if self.mutation != Mutation::DispatchBeforeClaim =>
                {
                    self.dispatch(index, key);
                }
                Some(NextAction::Answer(key, answer)) => {
                    self.process_mut(index).attempts.remove(&key);
                    self.check_answer(index, key, answer, false);
                }
                _ => {}
            }
        }
    }

    fn cancel(&mut self, index: usize, key: RequestKey) {
        let mutation = self.mutation;
        let process = self.process_mut(index);
        let is_sent = process.attempts.get(&key) == Some(&Attempt::Sent);
        match process.calls.cancel(key) {
            Some(entry) => {
                process.queue.push(entry);
                process.attempts.remove(&key);
                // The caller is told that the call was not run.
                if is_sent {
                    self.violated = Some(NOT_RUN);
                }
            }
            None if mutation == Mutation::NotRunAfterSend => {
                process.attempts.remove(&key);
                if is_sent {
                    self.violated = Some(NOT_RUN);
                }
            }
            None => {}
        }
    }

    fn fail(&mut self, index: usize, key: RequestKey) {
        let is_mutated = self.mutation == Mutation::AbandonAfterDispatch;
        let process = self.process_mut(index);
        process.calls.fail(key);
        process.attempts.remove(&key);
        if is_mutated {
            let (key_high, key_low) = split_key(key);
            process
                .queue
                .push(Entry::Abandon(Abandon { key_high, key_low }));
        }
    }

    fn finish(&mut self, index: usize, key: RequestKey) {
        if self.mutation == Mutation::OutcomeBeforeAnswer {
            // The outcome is written although the upstream has not answered.
            let outcome = self.process_mut(index).calls.finish(key, STATUS);
            self.process_mut(index).queue.extend(outcome);
            return;
        }
        let process = self.process_mut(index);
        if let Some(entry) = process.calls.finish(key, STATUS) {
            process.queue.push(entry);
            process.attempts.remove(&key);
            self.finished.push(key);
        }
    }

    fn attempt_actions(&self, index: usize, actions: &mut Vec<Action>) {
        let process = index;
        for key in 0..self.limits.keys {
            let attempt = self.processes[index].attempts.get(&request_key(key));
            if self.limits.attempts > 0 && (self.has_begun || (index == 0 && key == 0)) {
                actions.push(Action::Begin { process, key });
            }
            match attempt {
                Some(Attempt::Sent) => {
                    actions.push(Action::Finish { process, key });
                    actions.push(Action::Fail { process, key });
                    if self.limits.unsent > 0 {
                        actions.push(Action::CancelUnsent { process, key });
                    }
                }
                Some(Attempt::Waiting) => {}
                None => continue,
            }
            if self.limits.cancels > 0 {
                actions.push(Action::Cancel { process, key });
            }
        }
    }

    fn has_seen_own_end(&self, index: usize) -> bool {
        let member = self
            .state_of(index)
            .members
            .get(self.processes[index].id)
            .cloned();
        member.is_some_and(|m| m.phase != MemberPhase::Open)
    }

    /// Starts a new incarnation of a process that has folded its closure.
    fn restart(&mut self, index: usize) {
        let successor = IncarnationId(self.processes[index].id.0 + 10);
        let process = self.process_mut(index);
        for key in process.calls.close(successor) {
            process.attempts.remove(&key);
        }
        process.id = successor;
        process.last_seq = 1;
        process.queue = Vec::new();
        let open = Rc::new(Batch::new(successor, 1, [open()]));
        let old = process.outstanding.replace(open);
        self.delayed.extend(old);
    }

    fn next_batch(process: &mut Process) {
        if process.outstanding.is_none() && !process.queue.is_empty() {
            process.last_seq += 1;
            let entries = std::mem::take(&mut process.queue);
            let batch = Batch::new(process.id, process.last_seq, entries);
            process.outstanding = Some(Rc::new(batch));
        }
    }
}

impl Model for IntentModel {
    type Action = Action;

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (index, process) in self.processes.iter().enumerate() {
            if !process.is_alive {
                continue;
            }
            let is_attempting = self.limits.attempt_mask & (1 << index) != 0;
            if process.folded < self.changes.len() && (is_attempting || self.limits.closes > 0) {
                actions.push(Action::Fold(index));
            }
            if self.has_seen_own_end(index) {
                actions.push(Action::Restart(index));
            } else if is_attempting {
                self.attempt_actions(index, &mut actions);
            }
            if process.outstanding.is_some() && self.is_log_up {
                actions.push(Action::Append(index));
                if self.limits.delayed > 0 {
                    actions.push(Action::AppendAndDuplicate(index));
                }
            }
            if self.limits.crashes > 0 && index == 0 {
                actions.push(Action::Crash(index));
            }
            if self.limits.closes > 0 && index != 0 && process.outstanding.is_none() {
                actions.push(Action::Close { by: index });
            }
        }
        if self.is_log_up {
            actions.extend((0..self.delayed.len()).map(Action::AppendDelayed));
            if self.limits.outages > 0 {
                actions.push(Action::LogDown);
            }
        } else {
            actions.push(Action::LogUp);
        }
        actions
    }

    fn step(&mut self, action: &Action) {
        match *action {
            Action::Begin { process, key } => {
                self.limits.attempts -= 1;
                self.has_begun = true;
                self.begin(process, request_key(key));
            }
            Action::Append(process) => {
                let batch = self.process_mut(process).outstanding.take();
                self.append(&batch.expect("an outstanding batch"));
            }
            Action::AppendAndDuplicate(process) => {
                self.limits.delayed -= 1;
                let batch = self.process_mut(process).outstanding.take();
                let batch = batch.expect("an outstanding batch");
                self.append(&batch);
                self.delayed.push(batch);
            }
            Action::AppendDelayed(index) => {
                let batch = self.delayed.remove(index);
                self.append(&batch);
            }
            Action::Fold(process) => self.fold(process),
            Action::Cancel { process, key } => {
                self.limits.cancels -= 1;
                self.cancel(process, request_key(key));
            }
            Action::CancelUnsent { process, key } => {
                self.limits.unsent -= 1;
                let key = request_key(key);
                let state = self.process_mut(process);
                if let Some(entry) = state.calls.cancel_unsent(key) {
                    state.queue.push(entry);
                    state.attempts.remove(&key);
                    // No byte was sent, so the dispatch is not counted.
                    *self.sent.entry(key).or_insert(1) -= 1;
                }
            }
            Action::Finish { process, key } => self.finish(process, request_key(key)),
            Action::Fail { process, key } => self.fail(process, request_key(key)),
            Action::Crash(process) => {
                self.limits.crashes -= 1;
                self.process_mut(process).is_alive = false;
                let outstanding = self.process_mut(process).outstanding.take();
                self.delayed.extend(outstanding);
            }
            Action::Close { by } => {
                self.limits.closes -= 1;
                let id = self.processes[0].id;
                let member = self.state_of(by).members.get(id).cloned();
                let close = Close {
                    incarnation: id.0,
                    last_seq: member.map_or(0, |m| m.last_seq),
                    reason: String::new(),
                };
                self.process_mut(by).queue.push(Entry::Close(close));
            }
            Action::Restart(process) => self.restart(process),
            Action::LogDown => {
                self.limits.outages -= 1;
                self.is_log_up = false;
            }
            Action::LogUp => self.is_log_up = true,
        }
        for index in 0..self.processes.len() {
            if self.processes[index].outstanding.is_none()
                && !self.processes[index].queue.is_empty()
            {
                Self::next_batch(self.process_mut(index));
            }
            if std::mem::take(&mut self.dirty[index]) {
                let process = Rc::make_mut(&mut self.processes[index]);
                process.digest = 0;
                process.digest = digest_debug(process);
            }
        }
    }

    fn violation(&self) -> Option<&'static str> {
        self.violated
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
            &(&self.delayed, &self.sent, &self.finished, self.violated),
        );
    }
}
