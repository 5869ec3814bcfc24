//! The calls that one process may run at most once, from the intent to the outcome.

use crate::collections::FastMap;
use crate::fleet_state::{Change, FleetState};
use crate::ids::{Fingerprint, IncarnationId, RequestKey};
use crate::intent::{Claim, ClaimEffect};
use crate::record::{split_key, Abandon, Entry, Intent, Outcome};
use crate::refusal::Refusal;

/// Largest number of calls that one process tracks at the same time.
///
/// During a log outage each call that was waiting for its claim leaves an abandon that cannot be written yet.
const MAX_CALLS: usize = 100_000;

/// The answer to a caller whose call is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// An earlier attempt ran and the upstream answered with this HTTP status.
    Outcome {
        /// HTTP status of the upstream.
        status: u16,
    },
    /// The call is refused; [`Refusal::execution_status`] holds for this attempt.
    Refused(Refusal),
}

/// What an attempt at a call has to do first.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptStart {
    /// The attempt writes the entry to the log and waits until it is folded.
    Claim(Entry),
    /// The attempt ends without a claim.
    Answer(Answer),
}

/// What an attempt has to do next, once its intent is folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NextAction {
    /// The attempt won the claim; it dispatches the call once.
    Dispatch(RequestKey),
    /// The attempt lost the claim and ends.
    Answer(RequestKey, Answer),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    fingerprint: Fingerprint,
    state: CallState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum CallState {
    /// The intent was passed to the log writer and is not folded yet.
    Claiming,
    /// The call was sent or may have been sent.
    Dispatched,
    /// The call ran and its outcome was passed to the log writer.
    Finished { status: u16 },
    /// The call was not sent and never will be; the abandon was passed to the log writer.
    Abandoning,
}

/// The calls of one incarnation that are in progress.
///
/// An attempt that is refused as not run was not sent by this process and never will be. Whether an earlier attempt
/// with the same key ran at another router cannot be known while the log is unavailable; a retry with the same key is
/// safe nevertheless, because the claim decides. The caller must write the returned entries to the log in the order in
/// which the methods returned them.
#[derive(Clone, Debug)]
pub struct Calls {
    own: IncarnationId,
    calls: FastMap<RequestKey, Call>,
}

impl Calls {
    /// Creates the empty table of a new incarnation.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            calls: FastMap::default(),
        }
    }

    /// Starts an attempt at a call.
    ///
    /// While an abandon of the same key is not folded, a new attempt is refused: the earlier intent may still be folded
    /// and would be taken for that of the new attempt, although the abandon that follows it releases the key to others.
    pub fn begin(
        &mut self,
        key: RequestKey,
        fingerprint: Fingerprint,
        state: &FleetState,
        is_log_available: bool,
    ) -> AttemptStart {
        if let Some(answer) = self.known_answer(key, fingerprint, state) {
            return AttemptStart::Answer(answer);
        }
        if !is_log_available {
            return refuse(Refusal::LogUnavailable);
        }
        if self.calls.len() >= MAX_CALLS {
            return refuse(Refusal::Overloaded);
        }
        self.calls.insert(
            key,
            Call {
                fingerprint,
                state: CallState::Claiming,
            },
        );
        let (key_high, key_low) = split_key(key);
        AttemptStart::Claim(Entry::Intent(Intent {
            key_high,
            key_low,
            fingerprint: fingerprint.0,
        }))
    }

    /// Applies a change of the fleet state and returns what the waiting attempt does next.
    pub fn on_change(&mut self, change: &Change, state: &FleetState) -> Option<NextAction> {
        let Change::Claim {
            key,
            writer,
            effect,
        } = *change
        else {
            return None;
        };
        if writer != self.own {
            return None;
        }
        let call = self.calls.get_mut(&key)?;
        match (call.state, effect) {
            (CallState::Claiming, ClaimEffect::Won) => {
                call.state = CallState::Dispatched;
                Some(NextAction::Dispatch(key))
            }
            (CallState::Claiming, ClaimEffect::Lost) => {
                let answer = lost_answer(call.fingerprint, state.intents.get(key));
                self.calls.remove(&key);
                Some(NextAction::Answer(key, answer))
            }
            (CallState::Abandoning, ClaimEffect::Abandoned)
            | (CallState::Finished { .. }, ClaimEffect::Completed | ClaimEffect::Ignored) => {
                self.calls.remove(&key);
                None
            }
            _ => None,
        }
    }

    /// Ends an attempt that waits for its claim, and returns the abandon to write.
    ///
    /// The caller may then be told that the call was not run. `None` means that the call was sent or may have been.
    pub fn cancel(&mut self, key: RequestKey) -> Option<Entry> {
        self.abandon(key, CallState::Claiming)
    }

    /// Ends an attempt whose dispatch failed before any byte was sent, and returns the abandon to write.
    ///
    /// `None` means that the call was not dispatched or has ended; the caller must not be told that it was not run.
    pub fn cancel_unsent(&mut self, key: RequestKey) -> Option<Entry> {
        self.abandon(key, CallState::Dispatched)
    }

    /// Records that the upstream answered a dispatched call, and returns the outcome to write.
    pub fn finish(&mut self, key: RequestKey, status: u16) -> Option<Entry> {
        let call = self.calls.get_mut(&key)?;
        if call.state != CallState::Dispatched {
            return None;
        }
        call.state = CallState::Finished { status };
        let (key_high, key_low) = split_key(key);
        Some(Entry::Outcome(Outcome {
            key_high,
            key_low,
            status: status.into(),
        }))
    }

    /// Records that a dispatched call ended without an answer; the claim stays open for ever.
    pub fn fail(&mut self, key: RequestKey) {
        if self.is_dispatched(key) {
            self.calls.remove(&key);
        }
    }

    /// Ends all calls after the incarnation was closed, and continues with its successor; returns the attempts that
    /// were waiting for a claim.
    ///
    /// These were not run and never will be, because an intent that is folded after its incarnation was closed claims
    /// nothing.
    pub fn close(&mut self, successor: IncarnationId) -> Vec<RequestKey> {
        self.own = successor;
        let calls = std::mem::take(&mut self.calls);
        calls
            .into_iter()
            .filter(|(_, call)| call.state == CallState::Claiming)
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn is_dispatched(&self, key: RequestKey) -> bool {
        self.calls
            .get(&key)
            .is_some_and(|call| call.state == CallState::Dispatched)
    }

    fn known_answer(
        &self,
        key: RequestKey,
        fingerprint: Fingerprint,
        state: &FleetState,
    ) -> Option<Answer> {
        let claim = state.intents.get(key);
        let call = self.calls.get(&key);
        let known = claim
            .map(Claim::fingerprint)
            .or(call.map(|call| call.fingerprint));
        if known.is_some_and(|known| known != fingerprint) {
            return Some(Answer::Refused(Refusal::KeyReused));
        }
        if let Some(Claim::Ran { status, .. }) = claim {
            return Some(Answer::Outcome { status });
        }
        match (call.map(|call| call.state), claim) {
            (Some(CallState::Finished { status }), _) => Some(Answer::Outcome { status }),
            (_, Some(Claim::Open { holder, .. })) if holder != self.own => {
                Some(Answer::Refused(Refusal::EarlierAttempt))
            }
            (Some(CallState::Abandoning), _) => Some(Answer::Refused(Refusal::LogUnavailable)),
            (None, None) => None,
            _ => Some(Answer::Refused(Refusal::EarlierAttempt)),
        }
    }

    fn abandon(&mut self, key: RequestKey, from: CallState) -> Option<Entry> {
        let call = self.calls.get_mut(&key)?;
        if call.state != from {
            return None;
        }
        call.state = CallState::Abandoning;
        let (key_high, key_low) = split_key(key);
        Some(Entry::Abandon(Abandon { key_high, key_low }))
    }
}

fn lost_answer(fingerprint: Fingerprint, claim: Option<Claim>) -> Answer {
    match claim {
        Some(claim) if claim.fingerprint() != fingerprint => Answer::Refused(Refusal::KeyReused),
        Some(Claim::Ran { status, .. }) => Answer::Outcome { status },
        Some(Claim::Open { .. }) => Answer::Refused(Refusal::EarlierAttempt),
        // Without a claim in force the intent was rejected because the own incarnation has ended.
        None => Answer::Refused(Refusal::ShuttingDown),
    }
}

fn refuse(refusal: Refusal) -> AttemptStart {
    AttemptStart::Answer(Answer::Refused(refusal))
}
