//! Reservations that a router makes for requests at other routers, and their settlements.
//!
//! A router that does not hold a team's spending rights reserves the largest possible charge of a request at a holder,
//! and settles what was delivered when the request has ended. Both messages are datagrams that may be lost, repeated
//! and reordered, so each carries the id of the reservation, and each takes effect once. A reservation that is never
//! settled, because the router that made it was killed or cut off, is charged in full once its request must have ended:
//! the tokens may have been delivered. See `docs/design.md`, section 10.

use crate::collections::FastMap;

/// Random id of one reservation.
pub type ReservationId = u64;

/// Time after the deadline of its request until a reservation is charged in full.
///
/// It outlasts the longest cut between two routers after which the settlement can still arrive.
pub const SETTLEMENT_GRACE_MS: u64 = 15_000;

/// Largest number of reservations of one team that a holder remembers, open and settled ones together.
const MAX_RESERVATIONS: usize = 50_000;

/// State of a reservation at its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The request waits for tokens.
    Waiting,
    /// The tokens are reserved.
    Reserved(u64),
    /// The reservation is settled; a late copy of its request reserves nothing.
    Settled,
}

/// What a holder does with a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is new: the holder tries to reserve the tokens.
    New,
    /// An earlier copy of the request waits for tokens.
    Waiting,
    /// An earlier copy of the request was granted.
    Granted,
    /// The reservation is settled, or too many are remembered.
    Refused,
}

/// Tokens whose reservation ends, and the part of them that is charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Tokens that were reserved.
    pub reserved_tokens: u64,
    /// Tokens that are charged, never more than were reserved.
    pub charge_tokens: u64,
}

/// Reservations of one team that a holder made for other routers.
#[derive(Clone, Debug, Default)]
pub struct ReservationBook {
    entries: FastMap<ReservationId, (State, u64)>,
}

impl ReservationBook {
    /// Returns what to do with a request for tokens; it may be a copy of an earlier one.
    pub fn admit(&self, id: ReservationId) -> Admission {
        match self.entries.get(&id) {
            Some((State::Waiting, _)) => Admission::Waiting,
            Some((State::Reserved(_), _)) => Admission::Granted,
            Some((State::Settled, _)) => Admission::Refused,
            None if self.entries.len() >= MAX_RESERVATIONS => Admission::Refused,
            None => Admission::New,
        }
    }

    /// Records that a request waits for tokens.
    pub fn wait(&mut self, id: ReservationId, expires_ms: u64) {
        self.entries
            .entry(id)
            .or_insert((State::Waiting, expires_ms));
    }

    /// Records that tokens were reserved for a request.
    ///
    /// Returns `false` if the reservation was settled while the request waited; the tokens must then be released.
    #[must_use]
    pub fn grant(&mut self, id: ReservationId, tokens: u64, expires_ms: u64) -> bool {
        let entry = self
            .entries
            .entry(id)
            .or_insert((State::Waiting, expires_ms));
        if entry.0 != State::Waiting {
            return false;
        }
        entry.0 = State::Reserved(tokens);
        true
    }

    /// Records that no tokens were obtained for a request that waited; a later copy of it is new.
    pub fn deny(&mut self, id: ReservationId) {
        if matches!(self.entries.get(&id), Some((State::Waiting, _))) {
            self.entries.remove(&id);
        }
    }

    /// Settles a reservation; `None` if nothing is reserved under the id, so that a copy changes nothing.
    ///
    /// An unknown id is remembered too, because the settlement may overtake the request that it belongs to.
    pub fn settle(
        &mut self,
        id: ReservationId,
        charge_tokens: u64,
        now_ms: u64,
    ) -> Option<Settled> {
        if !self.entries.contains_key(&id) && self.entries.len() >= MAX_RESERVATIONS {
            return None;
        }
        let entry = self
            .entries
            .entry(id)
            .or_insert((State::Settled, now_ms + SETTLEMENT_GRACE_MS));
        match std::mem::replace(&mut entry.0, State::Settled) {
            State::Reserved(reserved_tokens) => Some(Settled {
                reserved_tokens,
                charge_tokens: charge_tokens.min(reserved_tokens),
            }),
            State::Waiting | State::Settled => None,
        }
    }

    /// Removes entries that have expired; open reservations among them are charged in full.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Settled> {
        let mut charged = Vec::new();
        self.entries.retain(|_, (state, expires_ms)| {
            let is_expired = *expires_ms <= now_ms && *state != State::Waiting;
            if let (true, State::Reserved(tokens)) = (is_expired, *state) {
                charged.push(Settled {
                    reserved_tokens: tokens,
                    charge_tokens: tokens,
                });
            }
            !is_expired
        });
        charged
    }

    /// Returns the number of reservations that are not settled.
    pub fn open_count(&self) -> usize {
        let states = self.entries.values();
        states.filter(|(state, _)| *state != State::Settled).count()
    }
}

/// Delay before the first repetition of a message; it doubles with each one.
const FIRST_REPEAT_MS: u64 = 40;

/// Longest delay between two repetitions of a message.
const MAX_REPEAT_MS: u64 = 1_500;

/// A message that its receiver has not acknowledged.
#[derive(Clone, Debug)]
struct Unacknowledged<M> {
    message: M,
    next_ms: u64,
    delay_ms: u64,
    expires_ms: u64,
}

/// Messages that are repeated until their receivers acknowledge them: settlements, and rights that are handed over.
#[derive(Clone, Debug)]
pub struct RepeatQueue<M> {
    entries: FastMap<u64, Unacknowledged<M>>,
}

impl<M> Default for RepeatQueue<M> {
    fn default() -> Self {
        Self {
            entries: FastMap::default(),
        }
    }
}

/// Messages that are to be sent, and those that are given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due<M> {
    /// Messages to send now, with their ids.
    pub send: Vec<(u64, M)>,
    /// Ids of messages that no longer have an effect: the holder charges the reservation in full by now.
    pub given_up: Vec<u64>,
}

impl<M: Clone> RepeatQueue<M> {
    /// Adds a message, which is due at once.
    pub fn push(&mut self, id: u64, message: M, now_ms: u64) {
        let entry = Unacknowledged {
            message,
            next_ms: now_ms,
            delay_ms: FIRST_REPEAT_MS,
            expires_ms: now_ms + SETTLEMENT_GRACE_MS,
        };
        self.entries.insert(id, entry);
    }

    /// Removes an acknowledged message; a copy of the acknowledgement changes nothing.
    pub fn acknowledge(&mut self, id: u64) {
        self.entries.remove(&id);
    }

    /// Returns the messages that are due and schedules their repetitions.
    pub fn take_due(&mut self, now_ms: u64) -> Due<M> {
        let mut due = Due {
            send: Vec::new(),
            given_up: Vec::new(),
        };
        self.entries.retain(|id, entry| {
            if entry.expires_ms <= now_ms {
                due.given_up.push(*id);
                return false;
            }
            if entry.next_ms <= now_ms {
                due.send.push((*id, entry.message.clone()));
                entry.next_ms = now_ms + entry.delay_ms;
                entry.delay_ms = (entry.delay_ms * 2).min(MAX_REPEAT_MS);
            }
            true
        });
        due
    }

    /// Returns the time at which the next message is due.
    pub fn next_due_ms(&self) -> Option<u64> {
        let entries = self.entries.values();
        entries
            .map(|entry| entry.next_ms.min(entry.expires_ms))
            .min()
    }

    /// Returns whether all messages were acknowledged or given up.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
