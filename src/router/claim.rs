//! Claims on calls that may run at most once.

use std::cell::RefCell;
use std::time::Duration;

use super::call::{Call, Refused};
use super::notify::KeyedNotify;
use crate::collections::FastMap;
use crate::fleet::Fleet;
use crate::fleet_state::Change;
use crate::ids::{IncarnationId, RequestKey};
use crate::intent::{Answer, AttemptStart, Calls, NextAction};
use crate::record::Entry;
use crate::refusal::Refusal;

/// Time limit for a claim to be written and folded.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Retry time that is suggested to a caller while the log is unavailable or the table of calls is full.
const RETRY_AFTER_MS: u64 = 2_000;

/// Result of claiming a call.
pub(super) enum ClaimOutcome {
    /// This process may dispatch the call once.
    Won,
    /// The call has run and ended with this status.
    Ran(u16),
}

/// The claims of this process on non-repeatable calls.
pub(super) struct CallClaims {
    fleet: Fleet,
    calls: RefCell<Calls>,
    next_actions: RefCell<FastMap<RequestKey, NextAction>>,
    /// Entries that the queue of the log writer rejected. They must be written in this order.
    unwritten: RefCell<Vec<Entry>>,
    action_ready: KeyedNotify,
}

impl CallClaims {
    pub(super) fn new(fleet: Fleet) -> Self {
        Self {
            calls: RefCell::new(Calls::new(fleet.incarnation())),
            fleet,
            next_actions: RefCell::default(),
            unwritten: RefCell::default(),
            action_ready: KeyedNotify::default(),
        }
    }

    /// Claims a call and waits until the claim has won in log order.
    ///
    /// If the result of the claim is not known in time, the claim is abandoned and the call is refused and never
    /// dispatched.
    pub(super) async fn claim(&self, call: &Call) -> Result<ClaimOutcome, Refused> {
        let is_available = self.fleet.is_log_available() && self.unwritten.borrow().is_empty();
        let start = {
            let state = self.fleet.state();
            let mut calls = self.calls.borrow_mut();
            calls.begin(call.key, call.fingerprint, &state, is_available)
        };
        let entry = match start {
            AttemptStart::Claim(entry) => entry,
            AttemptStart::Answer(answer) => return claim_outcome(answer),
        };
        if self.fleet.write(entry).is_err() {
            self.abandon(call.key);
            return Err(claim_refusal(Refusal::LogUnavailable));
        }
        let action = self
            .action_ready
            .wait_for(call.key, CLAIM_TIMEOUT, || {
                self.next_actions.borrow_mut().remove(&call.key)
            })
            .await;
        match action {
            Some(NextAction::Dispatch(_)) => Ok(ClaimOutcome::Won),
            Some(NextAction::Answer(_, answer)) => claim_outcome(answer),
            None => {
                self.abandon(call.key);
                Err(claim_refusal(Refusal::LogUnavailable))
            }
        }
    }

    /// Writes the outcome of a call that ran.
    pub(super) fn record_outcome(&self, key: RequestKey, status: u16) {
        let entry = self.calls.borrow_mut().finish(key, status);
        self.write(entry);
    }

    /// Abandons the claim on a call that was not sent and never will be.
    pub(super) fn abandon(&self, key: RequestKey) {
        self.next_actions.borrow_mut().remove(&key);
        let entry = {
            let mut calls = self.calls.borrow_mut();
            calls.cancel(key).or_else(|| calls.cancel_unsent(key))
        };
        self.write(entry);
    }

    /// Records that a call was sent and its result is unknown; the claim stays open.
    pub(super) fn record_unknown_result(&self, key: RequestKey) {
        self.calls.borrow_mut().fail(key);
    }

    /// Applies a change of the fleet state.
    pub(super) fn on_change(&self, change: &Change) {
        let action = {
            let state = self.fleet.state();
            self.calls.borrow_mut().on_change(change, &state)
        };
        if let Some(action) = action {
            let (NextAction::Dispatch(key) | NextAction::Answer(key, _)) = action;
            self.next_actions.borrow_mut().insert(key, action);
            self.action_ready.notify(key);
        }
    }

    /// Ends the claims of the previous incarnation, which a peer closed.
    pub(super) fn on_incarnation_replaced(&self, new: IncarnationId) {
        // An `Abandon` entry of the closed incarnation no longer has an effect.
        self.unwritten.borrow_mut().clear();
        let waiting = self.calls.borrow_mut().close(new);
        for key in waiting {
            let answer = Answer::Refused(Refusal::LogUnavailable);
            self.next_actions
                .borrow_mut()
                .insert(key, NextAction::Answer(key, answer));
        }
        self.action_ready.notify_all();
    }

    /// Writes the entries again that the queue of the log writer rejected.
    pub(super) fn tick(&self) {
        let unwritten = std::mem::take(&mut *self.unwritten.borrow_mut());
        for entry in unwritten {
            self.write(Some(entry));
        }
    }

    fn write(&self, entry: Option<Entry>) {
        let Some(entry) = entry else {
            return;
        };
        let mut unwritten = self.unwritten.borrow_mut();
        if !unwritten.is_empty() || self.fleet.write(entry.clone()).is_err() {
            unwritten.push(entry);
        }
    }
}

fn claim_outcome(answer: Answer) -> Result<ClaimOutcome, Refused> {
    match answer {
        Answer::Outcome { status } => Ok(ClaimOutcome::Ran(status)),
        Answer::Refused(refusal) => Err(claim_refusal(refusal)),
    }
}

fn claim_refusal(refusal: Refusal) -> Refused {
    let message = match refusal {
        Refusal::KeyReused => "the idempotency key was used before with another request",
        Refusal::EarlierAttempt => "an earlier attempt with this idempotency key may have run",
        Refusal::LogUnavailable => "the call may run only once, and the log cannot record it now",
        _ => "the call may run only once and cannot be started now",
    };
    match refusal {
        Refusal::LogUnavailable | Refusal::Overloaded => {
            Refused::new(refusal, message).retry_after(RETRY_AFTER_MS)
        }
        _ => Refused::new(refusal, message),
    }
}
