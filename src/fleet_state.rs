//! The replicated state machine: folds the records of the log into the fleet's shared state.
//!
//! Every process applies the same records in offset order, so two processes that have folded the log up to the same
//! offset have equal states without any further protocol. This requires that folding is deterministic: nothing in this
//! module reads a clock or a random source. See `docs/design.md`, section 3.

use std::collections::VecDeque;

use compact_str::CompactString;
use prost::Message;

use crate::collections::FastMap;
use crate::contract::{Configuration, Contract};
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, Interner, Offset, RequestKey};
use crate::intent::{ClaimEffect, Intents};
use crate::ledger::{BillEffect, Ledger};
use crate::membership::{Member, MemberPhase, Members};
use crate::quarantine::Quarantine;
use crate::record::{Batch, Bill, ConfigurationEntry, ContractEntry, Entry, Open};
use crate::rollout::{Orders, Rollouts};

/// Number of rejected publications that are retained for operators.
const RETAINED_REJECTIONS: usize = 256;

/// A contract in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractInForce {
    /// Revision of the contract.
    pub revision: u64,
    /// Offset at which it was accepted.
    pub offset: Offset,
    /// The contract itself.
    pub contract: Contract,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationInForce {
    /// Revision of the configuration; 0 before the first one.
    pub revision: u64,
    /// Offset at which it was accepted.
    pub offset: Offset,
    /// The configuration itself.
    pub configuration: Configuration,
}

/// A published contract, configuration or rollout that was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Offset of the record.
    pub offset: Offset,
    /// Name of the customer or the rollout, or `configuration`.
    pub subject: CompactString,
    /// Why it was not accepted.
    pub reason: CompactString,
}

/// A change of the fleet state that a process may need to react to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A contract, a configuration or a rollout came into force.
    Configuration,
    /// A bill was folded.
    Bill {
        /// Incarnation that wrote the bill.
        writer: IncarnationId,
        /// The bill.
        bill: Bill,
        /// Effect on the ledger.
        effect: BillEffect,
    },
    /// Grants may have changed.
    Grant {
        /// Incarnation whose grant changed.
        incarnation: IncarnationId,
        /// Customer whose budget it is.
        customer: CustomerKey,
    },
    /// An incarnation was opened, closed, left or finalised.
    Member(IncarnationId),
    /// An intent, outcome or abandon was folded.
    Claim {
        /// Key of the call.
        key: RequestKey,
        /// Incarnation that wrote the entry.
        writer: IncarnationId,
        /// Effect on the claim.
        effect: ClaimEffect,
    },
    /// A rollout changed.
    Rollout,
    /// An order to an upstream was folded.
    Order,
    /// A crash was counted.
    Crash(Fingerprint),
    /// A publication was rejected.
    Rejected(Rejection),
}

/// The fleet's shared state after all records below [`FleetState::next_offset`].
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Offset of the next record to fold.
    pub next_offset: Offset,
    /// Names of customers in the order of their first contract.
    pub customers: Interner<CustomerKey>,
    /// Contracts in force.
    pub contracts: FastMap<CustomerKey, ContractInForce>,
    /// Configuration in force.
    pub configuration: ConfigurationInForce,
    /// Budgets and bills.
    pub ledger: Ledger,
    /// Claims on calls that may run at most once.
    pub intents: Intents,
    /// Incarnations of router processes.
    pub members: Members,
    /// Version rollouts.
    pub rollouts: Rollouts,
    /// Newest order of every upstream.
    pub orders: Orders,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    /// Newest publications that were not accepted, the oldest of them first.
    pub rejections: VecDeque<Rejection>,
    /// Number of bills with draws on a grant that was already finalised.
    pub late_bills: u64,
}

impl FleetState {
    /// Decodes and applies the record at `offset`, and returns what changed.
    ///
    /// Records below the next offset are ignored, so that a record received twice has no effect. Every process skips a
    /// payload that does not decode.
    pub fn apply_payload(&mut self, offset: Offset, payload: &[u8]) -> Vec<Change> {
        match Batch::decode(payload) {
            Ok(batch) => self.apply(offset, &batch),
            Err(_) => {
                self.next_offset = self.next_offset.max(offset.saturating_add(1));
                Vec::new()
            }
        }
    }

    /// Applies the record at `offset` and returns what changed.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Vec<Change> {
        let mut changes = Vec::new();
        if offset < self.next_offset {
            return changes;
        }
        self.next_offset = offset.saturating_add(1);
        let writer = IncarnationId(batch.incarnation);
        if !self.accept_seq(writer, batch) {
            return changes;
        }
        for envelope in &batch.entries {
            if let Some(entry) = &envelope.entry {
                self.apply_entry(offset, writer, entry, &mut changes);
            }
        }
        if self.members.get(writer).is_none() {
            self.members.retire_writer(writer);
        }
        changes
    }

    /// Returns whether applying a payload would change more than the next offset.
    pub fn is_effective(&self, payload: &[u8]) -> bool {
        Batch::decode(payload)
            .is_ok_and(|batch| self.expects(IncarnationId(batch.incarnation), batch.seq))
    }

    /// Accepts a batch only under the next number of its writer, so that a batch appended twice is applied once.
    fn accept_seq(&mut self, writer: IncarnationId, batch: &Batch) -> bool {
        let is_expected = self.expects(writer, batch.seq);
        if let (true, Some(member)) = (is_expected, self.members.get_mut(writer)) {
            member.last_seq = batch.seq;
        }
        is_expected
    }

    fn expects(&self, writer: IncarnationId, seq: u64) -> bool {
        match self.members.get(writer) {
            Some(member) => seq == member.last_seq + 1,
            None => seq == 1 && !self.members.is_retired(writer),
        }
    }

    fn apply_entry(
        &mut self,
        offset: Offset,
        writer: IncarnationId,
        entry: &Entry,
        changes: &mut Vec<Change>,
    ) {
        match entry {
            Entry::Open(open) => {
                self.members.open(writer, new_member(open));
                changes.push(Change::Member(writer));
            }
            Entry::Close(close) => {
                let id = IncarnationId(close.incarnation);
                if self.members.close(id, close.last_seq) {
                    changes.push(Change::Member(id));
                }
            }
            Entry::Leave(_) => {
                self.members.leave(writer);
                changes.push(Change::Member(writer));
            }
            Entry::Finalize(finalize) => {
                let id = IncarnationId(finalize.incarnation);
                if self.members.finalize(id) {
                    self.ledger.finalize(id);
                    changes.push(Change::Member(id));
                }
            }
            Entry::Contract(contract) => {
                let result = self.apply_contract(offset, contract);
                self.record_publication(offset, &contract.customer, result, changes);
            }
            Entry::Configuration(configuration) => {
                let result = self.apply_configuration(offset, configuration);
                self.record_publication(offset, "configuration", result, changes);
            }
            Entry::Grant(grant) => {
                if let (true, Some(customer)) =
                    (self.is_open(writer), self.customers.get(&grant.customer))
                {
                    self.ledger.grant(customer, writer, grant.up_to_tokens);
                    changes.push(Change::Grant {
                        incarnation: writer,
                        customer,
                    });
                }
            }
            Entry::Return(entry) => {
                if let Some(customer) = self.customers.get(&entry.customer) {
                    let grant = IncarnationId(entry.grant);
                    self.ledger
                        .return_rights(customer, grant, entry.amount_tokens);
                    changes.push(Change::Grant {
                        incarnation: grant,
                        customer,
                    });
                }
            }
            Entry::Bill(bill) => self.apply_bill(writer, bill, changes),
            Entry::Intent(intent) => {
                let key = intent.request_key();
                let effect = self.apply_intent(writer, key, Fingerprint(intent.fingerprint));
                changes.push(Change::Claim {
                    key,
                    writer,
                    effect,
                });
            }
            Entry::Outcome(outcome) => {
                let key = outcome.request_key();
                let effect = self.intents.complete(key, writer, outcome.status);
                changes.push(Change::Claim {
                    key,
                    writer,
                    effect,
                });
            }
            Entry::Abandon(abandon) => {
                let key = abandon.request_key();
                let effect = self.intents.abandon(key, writer);
                changes.push(Change::Claim {
                    key,
                    writer,
                    effect,
                });
            }
            Entry::Rollout(rollout) => {
                let result = self.rollouts.apply_rollout(offset, rollout);
                changes.push(Change::Rollout);
                self.record_publication(offset, &rollout.id, result, changes);
            }
            Entry::RolloutStep(step) => {
                self.rollouts.apply_step(offset, step);
                changes.push(Change::Rollout);
            }
            Entry::Evidence(evidence) => {
                self.rollouts.apply_evidence(offset, evidence);
                changes.push(Change::Rollout);
            }
            Entry::Rollback(rollback) => {
                self.rollouts.apply_rollback(offset, rollback);
                changes.push(Change::Rollout);
            }
            Entry::RolloutEnd(end) => {
                self.rollouts.apply_end(offset, end);
                changes.push(Change::Rollout);
            }
            Entry::Crash(crash) => {
                let fingerprint = Fingerprint(crash.fingerprint);
                self.quarantine.add_crash(fingerprint);
                changes.push(Change::Crash(fingerprint));
            }
            Entry::Order(order) => {
                self.orders.apply(offset, writer, order);
                changes.push(Change::Order);
            }
        }
    }

    fn is_open(&self, id: IncarnationId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| member.phase == MemberPhase::Open)
    }

    fn apply_contract(&mut self, offset: Offset, entry: &ContractEntry) -> Result<(), String> {
        let contract = Contract::from_json(&entry.body_json).map_err(|error| error.to_string())?;
        if contract.customer != entry.customer {
            return Err(format!("customer: the body names {}", contract.customer));
        }
        let in_force = self
            .customers
            .get(&entry.customer)
            .and_then(|key| self.contracts.get(&key));
        check_revision(
            entry.revision,
            entry.replaces,
            in_force.map_or(0, |c| c.revision),
        )?;
        let old_total = in_force.map_or(0, |c| c.contract.prepaid_total_tokens);
        if contract.prepaid_total_tokens < old_total {
            return Err(format!(
                "prepaid_total_tokens: {} is below the total in force, {old_total}; the total is cumulative",
                contract.prepaid_total_tokens
            ));
        }
        let key = self.customers.intern(&entry.customer);
        self.ledger.set_prepaid(key, contract.prepaid_total_tokens);
        self.contracts.insert(
            key,
            ContractInForce {
                revision: entry.revision,
                offset,
                contract,
            },
        );
        Ok(())
    }

    fn apply_configuration(
        &mut self,
        offset: Offset,
        entry: &ConfigurationEntry,
    ) -> Result<(), String> {
        let configuration =
            Configuration::from_json(&entry.body_json).map_err(|error| error.to_string())?;
        check_revision(entry.revision, entry.replaces, self.configuration.revision)?;
        self.configuration = ConfigurationInForce {
            revision: entry.revision,
            offset,
            configuration,
        };
        Ok(())
    }

    /// Claims a call for a writer that is open; a closed one may no longer run and would block the key for ever.
    fn apply_intent(
        &mut self,
        writer: IncarnationId,
        key: RequestKey,
        fingerprint: Fingerprint,
    ) -> ClaimEffect {
        if !self.is_open(writer) {
            return ClaimEffect::Lost;
        }
        let members = &self.members;
        self.intents.claim(key, writer, fingerprint, |holder| {
            members.get(holder).is_some()
        })
    }

    fn apply_bill(&mut self, writer: IncarnationId, bill: &Bill, changes: &mut Vec<Change>) {
        let Some(customer) = self.customers.get(&bill.customer) else {
            return;
        };
        let effect = self.ledger.bill(
            customer,
            bill.request_key(),
            Fingerprint(bill.fingerprint),
            &bill.draws,
        );
        if matches!(effect, BillEffect::Late | BillEffect::PartlyLate) {
            self.late_bills += 1;
        }
        changes.push(Change::Bill {
            writer,
            bill: bill.clone(),
            effect,
        });
    }

    fn record_publication(
        &mut self,
        offset: Offset,
        subject: &str,
        result: Result<(), String>,
        changes: &mut Vec<Change>,
    ) {
        match result {
            Ok(()) => changes.push(Change::Configuration),
            Err(reason) => {
                let rejection = Rejection {
                    offset,
                    subject: subject.into(),
                    reason: reason.into(),
                };
                if self.rejections.len() == RETAINED_REJECTIONS {
                    self.rejections.pop_front();
                }
                self.rejections.push_back(rejection.clone());
                changes.push(Change::Rejected(rejection));
            }
        }
    }
}

fn new_member(open: &Open) -> Member {
    Member {
        vm: open.vm.as_str().into(),
        data_centre: open.data_centre.as_str().into(),
        address: open.address.as_str().into(),
        phase: MemberPhase::Open,
        last_seq: 1,
    }
}

fn check_revision(revision: u64, replaces: u64, in_force: u64) -> Result<(), String> {
    if replaces == in_force && revision > in_force {
        return Ok(());
    }
    Err(format!(
        "revision {revision} replaces {replaces}, but revision {in_force} is in force"
    ))
}
