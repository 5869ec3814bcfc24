//! Reservations at other gateways: asking the holders of a team's rights, and settling what was delivered.
//!
//! Datagrams are lost now and then, so a request for tokens is repeated within its timeout, and a settlement until the
//! holder acknowledges it. A request whose reply does not arrive may have been granted; it is settled with no charge
//! before another holder is asked. See [`crate::reservations`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;

use super::TeamBudget;
use crate::collections::FastMap;
use crate::gateway::peers::{Content, Handover, Reserve, ReserveOutcome, ReserveReply, Settle};
use crate::gateway::{clock, Shared};
use crate::notify::Notify;
use crate::reservations::{RepeatQueue, ReservationId};

/// Number of times that a request for tokens is sent within its timeout.
const SENDS_PER_TIMEOUT: u32 = 3;

/// Interval at which a request is repeated while its holder waits for rights, in case the reply was lost.
const WAITING_REPEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Longest time that a holder waits beyond its estimate before it replies.
const WAIT_MARGIN_MS: u64 = 300;

/// Longest request id that is sent along, in bytes; a datagram is small.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Interval at which settlements are looked at while none is due.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// What one caller's request needs from a team's budget.
#[derive(Clone, Copy)]
pub(in crate::gateway) struct Need<'a> {
    /// Largest possible charge.
    pub(in crate::gateway) tokens: u64,
    /// Time until the deadline of the request.
    pub(in crate::gateway) remaining_ms: u64,
    /// Id of the request, for the logs of both gateways.
    pub(in crate::gateway) request_id: &'a str,
}

/// Answer of one holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// The tokens are reserved under this id.
    Granted(ReservationId),
    /// The team's balance does not cover the request.
    Exhausted,
    /// The holder can spend too few tokens now.
    NotHeld {
        /// Time after which it expects to have them.
        wait_ms: Option<u64>,
        /// Time after which the caller may be served.
        retry_after_ms: u64,
    },
    /// The holder serves no reservations.
    Unavailable,
    /// The holder did not respond.
    Silent,
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Granted(_) => f.write_str("granted"),
            Self::Exhausted => f.write_str("exhausted"),
            Self::NotHeld { wait_ms: None, .. } => f.write_str("not held"),
            Self::NotHeld {
                wait_ms: Some(wait_ms),
                ..
            } => write!(f, "not held for {wait_ms} ms"),
            Self::Unavailable => f.write_str("serves no reservations"),
            Self::Silent => f.write_str("no reply"),
        }
    }
}

/// A message that is repeated until its receiver acknowledges it.
#[derive(Clone, Debug, PartialEq)]
struct Outgoing {
    receiver: SocketAddr,
    content: Content,
}

/// Settlements and handovers on their way to other gateways.
pub(super) struct Outbox {
    queue: RefCell<RepeatQueue<Outgoing>>,
    changed: Notify,
    /// Start of the process, from which the times of the queue are counted.
    started: Instant,
}

impl Outbox {
    pub(super) fn new(started: Instant) -> Self {
        Self {
            queue: RefCell::default(),
            changed: Notify::default(),
            started,
        }
    }

    /// Settles a reservation at its holder.
    pub(super) fn settle(
        &self,
        id: ReservationId,
        holder: SocketAddr,
        team: &str,
        charge_tokens: u64,
    ) {
        let settlement = Settle {
            id,
            team: team.into(),
            charge_tokens,
        };
        self.push(id, holder, Content::Settle(settlement));
    }

    /// Gives rights to another gateway.
    pub(super) fn hand_over(&self, handover: Handover, receiver: SocketAddr) {
        self.push(handover.id, receiver, Content::Handover(handover));
    }

    fn push(&self, id: u64, receiver: SocketAddr, content: Content) {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let message = Outgoing { receiver, content };
        self.queue.borrow_mut().push(id, message, now_ms);
        self.changed.notify();
    }

    /// Returns whether all messages have arrived.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }
}

/// Replies of holders that requests wait for.
#[derive(Default)]
pub(super) struct Replies {
    pending: RefCell<FastMap<ReservationId, Option<ReserveReply>>>,
    received: Notify,
}

/// A request for tokens without a final reply. On drop it is settled with no charge, unless it cannot have been granted.
struct PendingRequest<'a> {
    shared: &'a Shared,
    id: ReservationId,
    holder: SocketAddr,
    team: &'a str,
    may_be_granted: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let budgets = &self.shared.budgets;
        budgets.replies.pending.borrow_mut().remove(&self.id);
        if self.may_be_granted {
            budgets.outbox.settle(self.id, self.holder, self.team, 0);
        }
    }
}

impl PendingRequest<'_> {
    /// Waits for the next reply.
    async fn next_reply(&self) -> ReserveReply {
        let replies = &self.shared.budgets.replies;
        let reply = replies.received.wait_for(|| {
            let mut pending = replies.pending.borrow_mut();
            pending.get_mut(&self.id)?.take()
        });
        reply.await
    }
}

/// Asks a holder to reserve tokens; with `wait_ms` the holder may wait for rights about that long.
pub(super) async fn ask(
    shared: &Shared,
    holder: SocketAddr,
    team: &TeamBudget,
    need: Need<'_>,
    wait_ms: Option<u64>,
) -> Answer {
    let id = shared.random.borrow_mut().random();
    let request = Reserve {
        id,
        team: team.name.as_str().into(),
        tokens: need.tokens,
        remaining_ms: need.remaining_ms,
        prepaid_tokens: team.prepaid_tokens.get(),
        may_wait: wait_ms.is_some(),
        request_id: truncate(need.request_id, MAX_REQUEST_ID_BYTES).into(),
    };
    let replies = &shared.budgets.replies;
    replies.pending.borrow_mut().insert(id, None);
    let mut pending = PendingRequest {
        shared,
        id,
        holder,
        team: &team.name,
        may_be_granted: true,
    };
    let started = Instant::now();
    let timeout = Duration::from_millis(shared.peer_monitor.borrow().timeout_ms(holder));
    let mut repeat_interval = timeout / SENDS_PER_TIMEOUT;
    let mut end = started + timeout;
    let mut is_waiting = false;
    let mut sends = 0;
    loop {
        shared
            .peer_socket
            .send(Content::Reserve(request.clone()), holder);
        sends += 1;
        let mut reply = monoio::time::timeout(repeat_interval, pending.next_reply()).await;
        if let Ok(reply) = &reply {
            if !is_waiting {
                let mut monitor = shared.peer_monitor.borrow_mut();
                monitor.record_response(holder, started.elapsed().as_millis() as u64);
            }
            if reply.outcome() == ReserveOutcome::Waiting {
                // The estimate grows if the store goes out of reach meanwhile.
                let limit_ms = reply.wait_ms.or(wait_ms).unwrap_or(0) + WAIT_MARGIN_MS;
                let limit = Instant::now() + Duration::from_millis(limit_ms);
                end = if is_waiting { end.max(limit) } else { limit };
                is_waiting = true;
                repeat_interval = WAITING_REPEAT_INTERVAL;
            }
        }
        if let Ok(ReserveOutcome::Waiting) = reply.as_ref().map(ReserveReply::outcome) {
            reply = monoio::time::timeout(repeat_interval, pending.next_reply()).await;
        }
        let answer = reply.ok().and_then(|reply| final_answer(id, &reply));
        match answer {
            Some(answer) => {
                // A copy of the request that the holder reads after its refusal may still be granted.
                pending.may_be_granted = !matches!(answer, Answer::Granted(_)) && sends > 1;
                return answer;
            }
            None if Instant::now() < end => {}
            None if is_waiting => {
                return Answer::NotHeld {
                    wait_ms: None,
                    retry_after_ms: WAIT_MARGIN_MS,
                };
            }
            None => {
                record_timeout(shared, holder, started.elapsed().as_millis() as u64);
                return Answer::Silent;
            }
        }
    }
}

/// Returns the answer that a reply gives; `None` if another reply will follow.
fn final_answer(id: ReservationId, reply: &ReserveReply) -> Option<Answer> {
    match reply.outcome() {
        ReserveOutcome::Granted => Some(Answer::Granted(id)),
        ReserveOutcome::Exhausted => Some(Answer::Exhausted),
        ReserveOutcome::NotHeld => Some(Answer::NotHeld {
            wait_ms: reply.wait_ms,
            retry_after_ms: reply.retry_after_ms,
        }),
        ReserveOutcome::Waiting => None,
        ReserveOutcome::Unavailable | ReserveOutcome::Unspecified => Some(Answer::Unavailable),
    }
}

fn record_timeout(shared: &Shared, holder: SocketAddr, elapsed_ms: u64) {
    let now_ms = shared.now_ms();
    let mut monitor = shared.peer_monitor.borrow_mut();
    if monitor.record_timeout(holder, now_ms) {
        log::warn!(
            step = "reserve", peer = holder.to_string().as_str(), elapsed_ms = elapsed_ms,
            at_ms = now_ms; "a gateway does not respond, asking others until it does"
        );
    }
}

/// Returns the longest prefix of a text that has at most `max_bytes` bytes.
fn truncate(text: &str, max_bytes: usize) -> &str {
    let mut end = text.len().min(max_bytes);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Hands a reply to the request that waits for it.
pub(in crate::gateway) fn handle_reply(shared: &Shared, reply: ReserveReply, peer: SocketAddr) {
    let replies = &shared.budgets.replies;
    let mut pending = replies.pending.borrow_mut();
    match pending.get_mut(&reply.id) {
        Some(slot) => {
            *slot = Some(reply);
            replies.received.notify();
        }
        None => {
            // The request was given up and is being settled.
            log::debug!(
                step = "reserve", peer = peer.to_string().as_str();
                "ignored a reply to no pending request"
            );
        }
    }
}

/// Ends the repetition of a settlement or a handover.
pub(in crate::gateway) fn acknowledge(shared: &Shared, id: u64, peer: SocketAddr) {
    let outbox = &shared.budgets.outbox;
    outbox.queue.borrow_mut().acknowledge(id);
    log::trace!(step = "settle", peer = peer.to_string().as_str(); "acknowledged");
}

/// Sends settlements and handovers until they are acknowledged, until the process ends.
pub(in crate::gateway) async fn send_outgoing(shared: Rc<Shared>) {
    let outbox = Rc::clone(&shared.budgets.outbox);
    loop {
        let now_ms = shared.now_ms();
        let due = outbox.queue.borrow_mut().take_due(now_ms);
        for (_, message) in due.send {
            shared.peer_socket.send(message.content, message.receiver);
        }
        if !due.given_up.is_empty() {
            log::warn!(
                step = "settle", messages = due.given_up.len(), at_ms = now_ms;
                "settlements or handovers did not arrive, their tokens count as spent"
            );
        }
        let next_due_ms = outbox.queue.borrow().next_due_ms();
        let wait = next_due_ms.map_or(IDLE_INTERVAL, |due_ms| {
            Duration::from_millis(due_ms.saturating_sub(now_ms).max(1)).min(IDLE_INTERVAL)
        });
        let new_due = outbox.changed.wait_for(|| {
            let due_ms = outbox.queue.borrow().next_due_ms();
            due_ms.filter(|due_ms| *due_ms <= shared.now_ms())
        });
        // Whether one was added or one is to be repeated, the due ones are sent next.
        let _ = monoio::time::timeout(wait, new_due).await;
    }
}

/// Probes a gateway that did not respond, at intervals; its response makes it count as responsive again.
pub(super) fn probe_if_silent(shared: &Shared, peer: SocketAddr) {
    let now_ms = shared.now_ms();
    let is_due = shared.peer_monitor.borrow_mut().take_probe(peer, now_ms);
    if is_due {
        clock::send_request(shared, peer);
    }
}
