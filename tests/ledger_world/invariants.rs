//! Invariants of the ledger.

use std::collections::BTreeMap;

use monsoonfield::fleet_state::{Change, FleetState};
use monsoonfield::ids::{CustomerKey, IncarnationId};
use monsoonfield::ledger::BillEffect;
use monsoonfield::membership::MemberPhase;
use monsoonfield::record::{Batch, Bill, Draw, Entry};

use super::{LedgerWorld, CUSTOMERS};

pub const GRANTED: &str = "granted never above prepaid";
pub const BILLED: &str = "billed never above prepaid";
pub const ASKED: &str = "granted never above the level asked for";
pub const BACKED: &str = "rights never above the unbilled grant";
pub const ONE_BILL: &str = "one bill per key";
pub const CHARGED: &str = "no bill of a live incarnation is dropped uncharged";
pub const CLOSURE: &str = "an incarnation that appended since is not closed";
pub const OFFSET: &str = "offset never falls";

type Rights = BTreeMap<(CustomerKey, IncarnationId), u64>;

impl LedgerWorld {
    /// Checks what one record did.
    pub(super) fn note_effects(&mut self, before: &FleetState, changes: &[Change], batch: &Batch) {
        for change in changes {
            match change {
                Change::Bill { bill, effect, .. } => self.note_bill(bill, *effect),
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
                    self.broken = Some(CLOSURE);
                }
            }
            if let Entry::Finalize(finalize) = entry {
                let id = IncarnationId(finalize.incarnation);
                let is_open = before
                    .members
                    .get(id)
                    .is_some_and(|m| m.phase == MemberPhase::Open);
                if is_open {
                    // Not the rule itself: the harm must show in a bill or in rights without a grant.
                    self.ended.remove(&id);
                }
            }
        }
    }

    fn note_bill(&mut self, bill: &Bill, effect: BillEffect) {
        let key_low = bill.key_low;
        self.undecided
            .retain(|other| !(other.key_low == key_low && other.draws == bill.draws));
        match effect {
            BillEffect::Counted | BillEffect::PartlyLate => {
                let key = monsoonfield::ids::RequestKey(key_low.into());
                if self.charged_keys.contains(&key) {
                    self.broken = Some(ONE_BILL);
                }
                self.charged_keys.push(key);
            }
            BillEffect::Excessive => self.broken = Some(CHARGED),
            BillEffect::Late => {
                let is_live = |draw: &Draw| !self.ended.contains(&IncarnationId(draw.grant));
                if bill.draws.iter().any(is_live) {
                    self.broken = Some(CHARGED);
                }
            }
            BillEffect::Duplicate | BillEffect::KeyReused => {}
        }
    }

    /// Checks the sums of the newest state against what the processes hold.
    pub(super) fn broken_balance(&self) -> Option<&'static str> {
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
                let asked = self.asked.get(&(id, name.into()));
                if grant.level_tokens > asked.copied().unwrap_or(0) {
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

    /// Sums the rights that processes hold and that bills outside the log draw.
    ///
    /// Rights in transit are left out, because a copy cannot be told from a credited original without the receiver's
    /// state; a transfer that is credited twice shows when it arrives.
    fn rights_outside_the_log(&self) -> Rights {
        let mut rights = Rights::new();
        let mut add = |customer: CustomerKey, id: IncarnationId, tokens: u64| {
            *rights.entry((customer, id)).or_insert(0) += tokens;
        };
        for process in self.processes.iter().filter(|p| p.is_alive) {
            for index in 0..CUSTOMERS.len() {
                let customer = CustomerKey(index as u32);
                for (id, tokens) in process.holder.free_rights(customer) {
                    add(customer, id, tokens);
                }
            }
        }
        let state = self.newest();
        let customer = |name: &str| state.customers.get(name).expect("a customer");
        for bill in &self.undecided {
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
