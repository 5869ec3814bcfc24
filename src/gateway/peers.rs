//! Datagrams between gateways: notices of long prompts, transfers of spending rights, and clock requests.
//!
//! All gateways place requests at the same engines, but each sees only its own requests. A gateway that sends a long
//! prompt to an engine notifies all others at once, in one datagram each. Datagrams may be lost: the others then place
//! requests as if the prompt did not exist, which costs latency but not correctness. The rate is limited, so that the
//! processor time for notices does not grow with the square of the fleet.
//!
//! A gateway that cannot get spending rights from the store requests some from other gateways. Rights are deducted
//! before they are sent and count once for each request, so a lost or repeated datagram never creates any.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use monoio::net::udp::UdpSocket;
use prost::{Message, Oneof};
use rand::seq::IteratorRandom;
use rand::Rng;

use super::{clock, Shared};
use crate::collections::FastMap;

/// Prefill time from which on a prompt is announced as far as the rate limit allows, in milliseconds.
const MIN_PREFILL_MS: f64 = 3.0;

/// Prefill time from which on a prompt is always announced, in milliseconds; an engine can prefill only a few such
/// prompts in a second.
const LONG_PREFILL_MS: f64 = 25.0;

/// Maximum rate of notices of shorter prompts from all gateways to one gateway; receiving one takes some 10 µs.
const MAX_NOTICES_PER_S: u64 = 400;

/// Number of gateways that one request for rights is sent to.
const PEERS_PER_REQUEST: usize = 2;

/// Time for which a response to a request for rights is accepted; the rights of a later one are lost.
const RESPONSE_WINDOW_MS: u64 = 10_000;

/// Time for which the id of a handover is remembered; the network does not hold a datagram for longer.
const HANDOVER_DEDUP_MS: u64 = 600_000;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 512;

/// Envelope of all datagrams.
#[derive(Clone, PartialEq, Message)]
struct Datagram {
    /// Content of the datagram.
    #[prost(oneof = "Content", tags = "1, 2, 3, 4, 5")]
    content: Option<Content>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Content {
    #[prost(message, tag = "1")]
    PromptNotice(PromptNotice),
    #[prost(message, tag = "2")]
    RightsRequest(Transfer),
    #[prost(message, tag = "3")]
    Transfer(Transfer),
    /// Rights that a gateway hands over when it shuts down.
    #[prost(message, tag = "4")]
    Handover(Transfer),
    #[prost(message, tag = "5")]
    Clock(ClockMessage),
}

/// A request for the wall clock of another gateway, or the response.
#[derive(Clone, PartialEq, Message)]
pub(super) struct ClockMessage {
    /// Wall clock of the responding gateway.
    #[prost(uint64, tag = "1")]
    pub(super) wall_ms: u64,
    /// Monotonic clock of the requesting gateway when it sent the request.
    #[prost(uint64, tag = "2")]
    pub(super) asked_steady_ms: u64,
    /// Whether this is the response.
    #[prost(bool, tag = "3")]
    pub(super) is_answer: bool,
}

/// Spending rights that are requested, transferred or handed over.
#[derive(Clone, PartialEq, Message)]
struct Transfer {
    /// Name of the team.
    #[prost(string, tag = "1")]
    team: String,
    /// Number of tokens.
    #[prost(uint64, tag = "2")]
    tokens: u64,
    /// Random id of a request, which its response repeats, or of a handover.
    #[prost(fixed64, tag = "3")]
    id: u64,
    /// Id of the process that gives the rights away; 0 in a request.
    #[prost(fixed64, tag = "4")]
    giver: u64,
}

/// A prompt that was sent to an engine.
#[derive(Clone, PartialEq, Message)]
struct PromptNotice {
    /// Id of the engine.
    #[prost(string, tag = "1")]
    upstream: String,
    /// Hash that identifies the session of the prompt.
    #[prost(fixed64, tag = "2")]
    session: u64,
    /// Time that the engine takes to prefill the prompt, in microseconds.
    #[prost(uint64, tag = "3")]
    reading_us: u64,
}

/// UDP socket for the messages of other gateways, with the state that deduplicates them.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    address: Option<SocketAddr>,
    /// Token bucket of notices, in thousandths of a notice, and the time at which it was last filled.
    credit_permille: Cell<u64>,
    credited_ms: Cell<u64>,
    /// Requests for rights without a response yet, by id, with their time.
    pending_requests: RefCell<FastMap<u64, u64>>,
    /// Handovers that were accepted, by id, with their time; a repeated datagram does not count again.
    handovers: RefCell<FastMap<u64, u64>>,
}

impl PeerSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid or cannot be bound.
    pub(super) fn open(address: &str) -> io::Result<Self> {
        let address: SocketAddr = address
            .parse()
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
        let socket = UdpSocket::bind(address)?;
        let address = socket.local_addr().ok();
        Ok(Self {
            socket,
            address,
            credit_permille: Cell::new(0),
            credited_ms: Cell::new(0),
            pending_requests: RefCell::default(),
            handovers: RefCell::default(),
        })
    }

    /// Returns the address at which other gateways reach this one.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Notifies the other gateways of a prompt that was sent to an engine.
    pub(super) fn send_notice(
        &self,
        shared: &Shared,
        upstream: &str,
        session: u64,
        prefill_ms: f64,
    ) {
        let is_long = prefill_ms >= LONG_PREFILL_MS;
        if prefill_ms < MIN_PREFILL_MS || (!self.take_credit(shared) && !is_long) {
            return;
        }
        let notice = PromptNotice {
            upstream: upstream.into(),
            session,
            reading_us: (prefill_ms * 1_000.0) as u64,
        };
        let content = encode(Content::PromptNotice(notice));
        for peer in shared.routers.borrow().peers(&shared.settings.vm) {
            self.send_datagram(content.clone(), peer);
        }
    }

    /// Requests spending rights from some other gateways.
    pub(super) fn request_rights(&self, shared: &Shared, team: &str, tokens: u64) {
        let now_ms = shared.now_ms();
        let peers = {
            let routers = shared.routers.borrow();
            let mut random = shared.random.borrow_mut();
            let peers = routers.peers(&shared.settings.vm);
            peers.choose_multiple(&mut *random, PEERS_PER_REQUEST)
        };
        let mut pending = self.pending_requests.borrow_mut();
        pending.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < RESPONSE_WINDOW_MS);
        for peer in peers {
            let id = shared.random.borrow_mut().random();
            pending.insert(id, now_ms);
            let request = Transfer {
                team: team.into(),
                tokens,
                id,
                giver: 0,
            };
            self.send_datagram(encode(Content::RightsRequest(request)), peer);
        }
    }

    /// Hands rights over to another gateway, chosen at random.
    pub(super) fn hand_over_rights(&self, shared: &Shared, team: &str, tokens: u64) {
        let routers = shared.routers.borrow();
        let mut random = shared.random.borrow_mut();
        let peers = routers.peers(&shared.settings.vm);
        if let Some(peer) = peers.choose(&mut *random) {
            let handover = Transfer {
                team: team.into(),
                tokens,
                id: random.random(),
                giver: shared.router_id,
            };
            self.send_datagram(encode(Content::Handover(handover)), peer);
        }
    }

    fn accept_handover(&self, shared: &Shared, handover: &Transfer) {
        let now_ms = shared.now_ms();
        let mut handovers = self.handovers.borrow_mut();
        handovers.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < HANDOVER_DEDUP_MS);
        if handovers.insert(handover.id, now_ms).is_none() {
            shared
                .budgets
                .receive(shared, &handover.team, handover.giver, handover.tokens);
        }
    }

    fn answer(&self, shared: &Shared, request: &Transfer, peer: SocketAddr) {
        let tokens = shared.budgets.give(shared, &request.team, request.tokens);
        if tokens > 0 {
            let transfer = Transfer {
                team: request.team.clone(),
                tokens,
                id: request.id,
                giver: shared.router_id,
            };
            self.send_datagram(encode(Content::Transfer(transfer)), peer);
        }
    }

    fn accept_transfer(&self, shared: &Shared, transfer: &Transfer) {
        // A response counts once, and only for a request of this process.
        if self
            .pending_requests
            .borrow_mut()
            .remove(&transfer.id)
            .is_some()
        {
            shared
                .budgets
                .receive(shared, &transfer.team, transfer.giver, transfer.tokens);
        }
    }

    /// Sends a clock request or response.
    pub(super) fn send_clock(&self, message: &ClockMessage, peer: SocketAddr) {
        self.send_datagram(encode(Content::Clock(message.clone())), peer);
    }

    fn send_datagram(&self, content: Vec<u8>, peer: SocketAddr) {
        // A datagram that the kernel cannot accept now is dropped, like one that the network loses.
        let _ = self.socket.send_to(content, peer).now_or_never();
    }

    /// Takes a notice from the token bucket, which is filled at this gateway's share of the rate limit.
    fn take_credit(&self, shared: &Shared) -> bool {
        let now_ms = shared.now_ms();
        let elapsed_ms = now_ms.saturating_sub(self.credited_ms.replace(now_ms));
        let per_s = MAX_NOTICES_PER_S / shared.routers.borrow().count().max(1);
        let limit = per_s.max(1) * 1_000;
        let credit = (self.credit_permille.get() + elapsed_ms * per_s).min(limit);
        let is_enough = credit >= 1_000;
        self.credit_permille
            .set(if is_enough { credit - 1_000 } else { credit });
        is_enough
    }
}

/// Receives the datagrams of other gateways until the process ends.
pub(super) async fn receive(shared: Rc<Shared>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        let (result, returned_buffer) = shared.peer_socket.socket.recv_from(buffer).await;
        buffer = returned_buffer;
        match result {
            Ok((count, peer)) => match Datagram::decode(&buffer[..count]) {
                Ok(datagram) => dispatch(&shared, datagram, peer),
                Err(error) => {
                    log::debug!(
                        step = "datagram", peer = peer.to_string().as_str();
                        "ignored a datagram that cannot be decoded: {error}"
                    );
                }
            },
            Err(error) => log::debug!(step = "notice"; "receiving a datagram failed: {error}"),
        }
        buffer.clear();
    }
}

fn dispatch(shared: &Shared, datagram: Datagram, peer: SocketAddr) {
    match datagram.content {
        Some(Content::PromptNotice(notice)) => {
            shared.metrics.add("notices_received", 1);
            let prefill_ms = notice.reading_us as f64 / 1_000.0;
            let now_ms = shared.now_ms();
            let mut placement = shared.placement.borrow_mut();
            placement.record_peer_sent(&notice.upstream, notice.session, prefill_ms, now_ms);
        }
        Some(Content::RightsRequest(request)) => shared.peer_socket.answer(shared, &request, peer),
        Some(Content::Transfer(transfer)) => shared.peer_socket.accept_transfer(shared, &transfer),
        Some(Content::Handover(handover)) => shared.peer_socket.accept_handover(shared, &handover),
        Some(Content::Clock(message)) => clock::handle_message(shared, &message, peer),
        None => {}
    }
}

fn encode(content: Content) -> Vec<u8> {
    let datagram = Datagram {
        content: Some(content),
    };
    datagram.encode_to_vec()
}
