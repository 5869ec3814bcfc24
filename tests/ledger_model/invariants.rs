//! Invariants of the ledger model.

use std::collections::BTreeMap;

use monsoonfield::fleet_state::{Change, FleetState};
use monsoonfield::ids::{CustomerKey, IncarnationId};
use monsoonfield::ledger::BillEffect;
use monsoonfield::membership::MemberPhase;
use monsoonfield::record::{Batch, Bill, Draw, Entry};

use super::{LedgerModel, CUSTOMERS};

pub const GRANTED: &str = "grants never exceed the prepaid total";
pub const BILLED: &str = "bills never exceed the prepaid total";
pub const ASKED: &str = "a grant never exceeds the requested level";
pub const BACKED: &str = "rights never exceed the unbilled grant";
pub const ONE_BILL: &str = "at most one charge per request key";
pub const CHARGED: &str = "no bill on a live grant is dropped uncharged";
pub const CLOSURE: &str = "an incarnation with a newer batch is not closed";
pub const OFFSET: &str = "the next offset never decreases";

type Rights = BTreeMap<(CustomerKey, IncarnationId), u64>;

impl LedgerModel {
    /// Checks the effects of one record.
    pub(super) fn check_effects(&mut self, before: &FleetState, changes: &[Change], batch: &Batch) {
        for change in changes {
            match change {
                Change::Bill { bill, effect, .. } => self.check_bill(bill, *effect),
                Change::Member(id) => {
                    self.ended.insert(*id);
                }
                _ => {}
            }
        }
        for entry in batch.entries.iter().filter_map(|e| e.entry.as_ref()) {
            if let Entry::Close(close) = entry {
                let id = IncarnationId(close.incarnation);
                let member = before.members.get(id);
                let is_open = member.is_some_and(|m| m.phase == MemberPhase::Open);
                let is_newest = member.is_some_and(|m| m.last_seq == close.last_seq);
                let is_closed = changes.contains(&Change::Member(id));
                if is_open && is_closed && !is_newest {
                    self.violated = Some(CLOSURE);
                }
            }
            if let Entry::Finalize(finalize) = entry {
                let id = IncarnationId(finalize.incarnation);
                let is_open = before
                    .members
                    .get(id)
                    .is_some_and(|m| m.phase == MemberPhase::Open);
                if is_open {
                    // Not a violation by itself: it has to show in an uncharged bill or in rights without a grant.
                    self.ended.remove(&id);
                }
            }
        }
    }

    fn check_bill(&mut self, bill: &Bill, effect: BillEffect) {
        let key_low = bill.key_low;
        self.unfolded_bills
            .retain(|other| !(other.key_low == key_low && other.draws == bill.draws));
        match effect {
            BillEffect::Counted | BillEffect::PartlyLate => {
                let key = monsoonfield::ids::RequestKey(key_low.into());
                if self.charged_keys.contains(&key) {
                    self.violated = Some(ONE_BILL);
                }
                self.charged_keys.push(key);
            }
            BillEffect::Excessive => self.violated = Some(CHARGED),
            BillEffect::Late => {
                let is_live = |draw: &Draw| !self.ended.contains(&IncarnationId(draw.grant));
                if bill.draws.iter().any(is_live) {
                    self.violated = Some(CHARGED);
                }
            }
            BillEffect::Duplicate | BillEffect::KeyReused => {}
        }
    }

    /// Checks the sums in the newest state against the rights that the processes hold.
    pub(super) fn violated_balance(&self) -> Option<&'static str> {
        let state = self.newest();
        let rights = self.rights_outside_the_log();
        for (index, name) in CUSTOMERS.into_iter().enumerate() {
            let customer = CustomerKey(index as u32);
            let budget = state.ledger.budget(customer)?;
            let granted: u64 = budget.grants.values().map(|g| g.granted_tokens).sum();
            if granted + budget.settled_tokens > budget.prepaid_total_tokens {
                return Some(GRANTED);
            }
            if budget.billed_tokens() > budget.prepaid_total_tokens {
                return Some(BILLED);
            }
            for (&id, grant) in &budget.grants {
                let level = self.requested_levels.get(&(id, name.into()));
                if grant.level_tokens > level.copied().unwrap_or(0) {
                    return Some(ASKED);
                }
                let held = rights.get(&(customer, id)).copied().unwrap_or(0);
                if held + grant.billed_tokens > grant.granted_tokens {
                    return Some(BACKED);
                }
            }
            let is_live = |id: &IncarnationId| !self.ended.contains(id);
            let unbacked = rights.iter().find(|((owner, id), tokens)| {
                *owner == customer && **tokens > 0 && is_live(id) && !budget.grants.contains_key(id)
            });
            if unbacked.is_some() {
                return Some(BACKED);
            }
        }
        None
    }

    /// Sums the rights that processes hold and the draws of bills that are not folded yet.
    ///
    /// Rights in transit are left out, because only the receiver's state tells a duplicate from a transfer that is not
    /// credited yet; a transfer that is credited twice is detected when it arrives.
    fn rights_outside_the_log(&self) -> Rights {
        let mut rights = Rights::new();
        let mut add = |customer: CustomerKey, id: IncarnationId, tokens: u64| {
            *rights.entry((customer, id)).or_insert(0) += tokens;
        };
        for process in self.processes.iter().filter(|p| p.is_alive) {
            for index in 0..CUSTOMERS.len() {
                let customer = CustomerKey(index as u32);
                for (id, tokens) in process.rights.free_rights(customer) {
                    add(customer, id, tokens);
                }
            }
        }
        let state = self.newest();
        let customer = |name: &str| state.customers.get(name).expect("a known customer");
        for bill in &self.unfolded_bills {
            for draw in &bill.draws {
                add(
                    customer(&bill.customer),
                    IncarnationId(draw.grant),
                    draw.amount_tokens,
                );
            }
        }
        rights
    }
}
