//! Reservation and settlement of the charges of requests.

mod bills;

use std::cell::RefCell;
use std::time::{Duration, Instant};

use super::call::{Call, Refused};
use super::notify::{KeyedNotify, TimedNotify};
use crate::billing::Billing;
use crate::fleet::Fleet;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{CustomerKey, Fingerprint, IncarnationId, RequestKey};
use crate::record::{split_key, Bill};
use crate::refusal::Refusal;
use crate::spending_rights::{Reservation, SpendingRights};

use bills::BillDelivery;

/// Time limit for obtaining spending rights for a request.
///
/// A grant takes one append to the log and one read, together well below one second while the log is available.
const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time for which the end of a response is held back until its bill is durable.
///
/// After that the response ends, and the bill stays in the queue of the log writer, where it is lost only if this
/// process crashes before it is written.
const DURABILITY_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry time that is suggested to a caller when rights could not be obtained or too many bills are pending.
const RETRY_AFTER_MS: u64 = 1_000;

/// The spending rights of this process and the bills that charge them.
pub(super) struct Budget {
    fleet: Fleet,
    started: Instant,
    rights: RefCell<SpendingRights>,
    billing: RefCell<Billing>,
    delivery: RefCell<BillDelivery>,
    rights_changed: TimedNotify,
    shortage: TimedNotify,
    bill_durable: KeyedNotify,
}

impl Budget {
    pub(super) fn new(fleet: Fleet) -> Self {
        Self {
            started: Instant::now(),
            rights: RefCell::new(SpendingRights::new(fleet.incarnation())),
            billing: RefCell::default(),
            delivery: RefCell::default(),
            fleet,
            rights_changed: TimedNotify::default(),
            shortage: TimedNotify::default(),
            bill_durable: KeyedNotify::default(),
        }
    }

    /// Reserves the largest possible charge of a call, and waits up to [`RESERVE_TIMEOUT`] for missing rights.
    ///
    /// A retry of a billed request is not charged, so it needs no rights and is served even if the budget is exhausted.
    pub(super) async fn reserve(
        &self,
        call: &Call,
        now_ms: u64,
    ) -> Result<Option<Reservation>, Refused> {
        if call.max_charge_tokens == 0 || self.is_billed(call) {
            return Ok(None);
        }
        if !self.billing.borrow().has_room() {
            return Err(Refused::new(
                Refusal::LogUnavailable,
                "too many bills are waiting to be written to the log",
            )
            .retry_after(RETRY_AFTER_MS));
        }
        if let Ok(reservation) = self.try_reserve(call) {
            return Ok(Some(reservation));
        }
        if !self.may_cover(call) {
            return Err(Refused::new(
                Refusal::BudgetExhausted,
                "the prepaid budget does not cover the largest charge of this request",
            ));
        }
        self.shortage.notify();
        let left = Duration::from_millis(call.deadline_ms.saturating_sub(now_ms));
        let reservation = self
            .rights_changed
            .wait_for(RESERVE_TIMEOUT.min(left), || self.try_reserve(call).ok())
            .await;
        match reservation {
            Some(reservation) => Ok(Some(reservation)),
            None if !self.may_cover(call) => Err(Refused::new(
                Refusal::BudgetExhausted,
                "the prepaid budget does not cover the largest charge of this request",
            )),
            None => Err(Refused::new(
                Refusal::BudgetUnavailable,
                "spending rights on the budget could not be obtained in time",
            )
            .retry_after(RETRY_AFTER_MS)),
        }
    }

    /// Waits until a request lacks rights or the time limit has passed.
    pub(super) async fn wait_for_shortage(&self, limit: Duration) {
        let mut is_first = true;
        self.shortage
            .wait_for(limit, || {
                let is_woken = !is_first;
                is_first = false;
                is_woken.then_some(())
            })
            .await;
    }

    /// Releases a reservation without a charge.
    pub(super) fn release(&self, reservation: Option<Reservation>) {
        if let Some(reservation) = reservation {
            self.rights.borrow_mut().release(reservation);
            self.rights_changed.notify();
        }
    }

    /// Charges a call and waits until its bill would survive a crash of this process; returns the charge.
    pub(super) async fn settle(
        &self,
        call: &Call,
        reservation: Option<Reservation>,
        charge_tokens: u64,
    ) -> u64 {
        let Some(reservation) = reservation else {
            return 0;
        };
        let draws = self.rights.borrow_mut().settle(reservation, charge_tokens);
        self.rights_changed.notify();
        if draws.is_empty() {
            return 0;
        }
        let (key_high, key_low) = split_key(call.key);
        let bill = Bill {
            key_high,
            key_low,
            customer: call.customer_name.to_string(),
            draws,
            fingerprint: call.fingerprint.0,
        };
        let charged_tokens = bill.charge_tokens();
        let added = self.billing.borrow_mut().add(bill, &self.fleet.state());
        if let Err(already) = added {
            self.rights
                .borrow_mut()
                .refund(call.customer, &already.bill.draws);
            self.rights_changed.notify();
            return 0;
        }
        self.write_bills();
        self.send_copies();
        let is_durable = || self.billing.borrow().is_durable(call.key).then_some(());
        if self
            .bill_durable
            .wait_for(call.key, DURABILITY_TIMEOUT, is_durable)
            .await
            .is_none()
        {
            log::warn!(
                step = "bill", request_key:% = call.key;
                "bill not durable within 5 s: neither folded nor copied to a peer"
            );
        }
        charged_tokens
    }

    /// Applies a change of the fleet state.
    pub(super) fn on_change(&self, change: &Change) {
        let settled = {
            let state = self.fleet.state();
            let mut rights = self.rights.borrow_mut();
            rights.on_change(change, &state);
            let settled = self.billing.borrow_mut().on_change(change, &state);
            if let Some((customer, draws)) = &settled.refund {
                rights.refund(*customer, draws);
            }
            settled
        };
        if let Some(key) = settled.key {
            self.bill_durable.notify(key);
        }
        if settled.refund.is_some() || matches!(change, Change::Grant { .. }) {
            self.rights_changed.notify();
        }
    }

    /// Applies a whole state, after a snapshot replaced the fleet state without the changes in between.
    pub(super) fn on_state(&self) {
        let state = self.fleet.state();
        self.rights.borrow_mut().on_state(&state);
        self.billing.borrow_mut().on_state(&state);
        drop(state);
        self.rights_changed.notify();
        self.bill_durable.notify_all();
    }

    /// Starts a new incarnation without rights, after a peer closed the previous one.
    pub(super) fn on_incarnation_replaced(&self, new: IncarnationId) {
        *self.rights.borrow_mut() = SpendingRights::new(new);
        self.billing.borrow_mut().requeue_all();
        self.write_bills();
    }

    /// Runs a step on the spending rights and the fleet state.
    pub(super) fn with_rights<T>(
        &self,
        step: impl FnOnce(&mut SpendingRights, &FleetState) -> T,
    ) -> T {
        step(&mut self.rights.borrow_mut(), &self.fleet.state())
    }

    /// Wakes the requests that wait for rights, so that they try again.
    pub(super) fn notify_rights_changed(&self) {
        self.rights_changed.notify();
    }

    fn try_reserve(&self, call: &Call) -> Result<Reservation, ()> {
        self.rights
            .borrow_mut()
            .reserve(call.customer, call.max_charge_tokens)
            .map_err(|_| ())
    }

    /// Returns the fingerprint of a request whose bill is pending.
    pub(super) fn pending_fingerprint(&self, key: RequestKey) -> Option<Fingerprint> {
        self.billing.borrow().pending_fingerprint(key)
    }

    fn is_billed(&self, call: &Call) -> bool {
        self.fleet.state().ledger.billed(call.key) == Some(call.fingerprint)
    }

    /// Returns whether the unbilled part of the customer's budget covers the largest charge of the call.
    fn may_cover(&self, call: &Call) -> bool {
        unbilled_tokens(&self.fleet.state(), call.customer) >= call.max_charge_tokens
    }
}

fn unbilled_tokens(state: &FleetState, customer: CustomerKey) -> u64 {
    state.ledger.budget(customer).map_or(0, |budget| {
        budget
            .prepaid_total_tokens
            .saturating_sub(budget.billed_tokens())
    })
}
