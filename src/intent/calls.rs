//! Calls of one process that may not be repeated.

use crate::collections::FastMap;
use crate::fold::{Change, FleetState};
use crate::ids::{Fingerprint, IncarnationId, RequestKey};
use crate::intent::{Claim, ClaimStep};
use crate::record::{split_key, Abandon, Entry, Intent, Outcome};
use crate::refusal::Refusal;

/// Number of calls that one process tracks at the same time.
///
/// During a log outage each call that was waiting for its claim leaves an abandon that cannot be written yet.
const MAX_CALLS: usize = 100_000;

/// What a caller is told about a call without running it.
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

/// How an attempt at a call starts.
#[derive(Clone, Debug, PartialEq)]
pub enum Begin {
    /// The entry must be written to the log; the attempt waits for its fold.
    Claim(Entry),
    /// The attempt ends without a claim.
    Answer(Answer),
}

/// What an attempt that waited for its claim does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The claim is won; the call is dispatched now, and never again.
    Dispatch(RequestKey),
    /// The claim is lost; the attempt ends.
    Answer(RequestKey, Answer),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    fingerprint: Fingerprint,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The intent was handed to the log and its fold was not seen.
    Claiming,
    /// The call was or may have been sent.
    Dispatched,
    /// The call ran and its outcome was handed to the log.
    Finished { status: u16 },
    /// The call was not sent and never will be; the abandon was handed to the log.
    Abandoning,
}

/// The calls of one incarnation that are under way.
///
/// An attempt that is refused as not run was not sent by this process and never will be. Whether an earlier attempt at
/// the same key ran at another router cannot be known while the log is unavailable; a retry with the same key is safe
/// in any case, because the claim decides. The entries that the functions return must reach the log in the order in
/// which they were returned.
#[derive(Clone, Debug)]
pub struct Calls {
    own: IncarnationId,
    calls: FastMap<RequestKey, Call>,
}

impl Calls {
    /// Makes the empty table of a new incarnation.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            calls: FastMap::default(),
        }
    }

    /// Starts an attempt at a call.
    ///
    /// While an abandon of the same key is on its way, a new attempt is refused: the earlier intent may still be folded
    /// and would look like the win of the new attempt, although the abandon behind it releases the key to others.
    pub fn begin(
        &mut self,
        key: RequestKey,
        fingerprint: Fingerprint,
        state: &FleetState,
        is_log_available: bool,
    ) -> Begin {
        if let Some(answer) = self.known_answer(key, fingerprint, state) {
            return Begin::Answer(answer);
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
                state: State::Claiming,
            },
        );
        let (key_high, key_low) = split_key(key);
        Begin::Claim(Entry::Intent(Intent {
            key_high,
            key_low,
            fingerprint: fingerprint.0,
        }))
    }

    /// Takes a change of the fold into account and returns what the waiting attempt does next.
    pub fn on_change(&mut self, change: &Change, state: &FleetState) -> Option<Step> {
        let Change::Claim { key, writer, step } = *change else {
            return None;
        };
        if writer != self.own {
            return None;
        }
        let call = self.calls.get_mut(&key)?;
        match (call.state, step) {
            (State::Claiming, ClaimStep::Won) => {
                call.state = State::Dispatched;
                Some(Step::Dispatch(key))
            }
            (State::Claiming, ClaimStep::Lost) => {
                let answer = lost_answer(call.fingerprint, state.intents.get(key));
                self.calls.remove(&key);
                Some(Step::Answer(key, answer))
            }
            (State::Abandoning, ClaimStep::Abandoned)
            | (State::Finished { .. }, ClaimStep::Completed | ClaimStep::Ignored) => {
                self.calls.remove(&key);
                None
            }
            _ => None,
        }
    }

    /// Ends an attempt that waits for its claim, and returns the abandon to write.
    ///
    /// The caller may then be told that the call was not run. `None` means that the call was or may have been sent.
    pub fn give_up(&mut self, key: RequestKey) -> Option<Entry> {
        self.abandon(key, State::Claiming)
    }

    /// Ends an attempt whose dispatch failed before any byte was sent, and returns the abandon to write.
    ///
    /// `None` means that the call is not in that state, so nothing may be said about it.
    pub fn not_sent(&mut self, key: RequestKey) -> Option<Entry> {
        self.abandon(key, State::Dispatched)
    }

    /// Records that the upstream answered a dispatched call, and returns the outcome to write.
    pub fn finish(&mut self, key: RequestKey, status: u16) -> Option<Entry> {
        let call = self.calls.get_mut(&key)?;
        if call.state != State::Dispatched {
            return None;
        }
        call.state = State::Finished { status };
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

    /// Ends the incarnation and returns the attempts that wait for a claim, which were not run.
    ///
    /// The fold refuses their intents, because it closed the incarnation before them.
    pub fn close(&mut self, successor: IncarnationId) -> Vec<RequestKey> {
        self.own = successor;
        let calls = std::mem::take(&mut self.calls);
        calls
            .into_iter()
            .filter(|(_, call)| call.state == State::Claiming)
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
            .is_some_and(|call| call.state == State::Dispatched)
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
            (Some(State::Finished { status }), _) => Some(Answer::Outcome { status }),
            (_, Some(Claim::Open { holder, .. })) if holder != self.own => {
                Some(Answer::Refused(Refusal::EarlierAttempt))
            }
            (Some(State::Abandoning), _) => Some(Answer::Refused(Refusal::LogUnavailable)),
            (None, None) => None,
            _ => Some(Answer::Refused(Refusal::EarlierAttempt)),
        }
    }

    fn abandon(&mut self, key: RequestKey, from: State) -> Option<Entry> {
        let call = self.calls.get_mut(&key)?;
        if call.state != from {
            return None;
        }
        call.state = State::Abandoning;
        let (key_high, key_low) = split_key(key);
        Some(Entry::Abandon(Abandon { key_high, key_low }))
    }
}

fn lost_answer(fingerprint: Fingerprint, claim: Option<Claim>) -> Answer {
    match claim {
        Some(claim) if claim.fingerprint() != fingerprint => Answer::Refused(Refusal::KeyReused),
        Some(Claim::Ran { status, .. }) => Answer::Outcome { status },
        Some(Claim::Open { .. }) => Answer::Refused(Refusal::EarlierAttempt),
        // Without a claim in force the intent was refused because the own incarnation has ended.
        None => Answer::Refused(Refusal::ShuttingDown),
    }
}

fn refuse(refusal: Refusal) -> Begin {
    Begin::Answer(Answer::Refused(refusal))
}
