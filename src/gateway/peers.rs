//! Datagrams between gateways: notices of long prompts, reservations of tokens, handovers of rights, clock requests.
//!
//! All gateways place requests at the same engines, but each sees only its own requests. A gateway that sends a long
//! prompt to an engine notifies all others at once, in one datagram each. Datagrams may be lost: the others then place
//! requests as if the prompt did not exist, which costs latency but not correctness. The rate is limited, so that the
//! processor time for notices does not grow with the square of the fleet.
//!
//! Messages about rights count only if they come from the address of a gateway that reported its presence. A stranger's
//! message makes this gateway read the reports soon, because the stranger may have just started.

mod messages;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_util::FutureExt;
use monoio::net::udp::UdpSocket;
use prost::Message;

use super::budget::{remote, serving, versions};
use super::{beliefs, clock, limits, rollouts, Shared};
use crate::collections::FastMap;
use crate::placement::{PeerPrompt, Prompt, SpeedFigure};

pub(super) use messages::{
    ClockMessage, Content, GoneReason, Handover, HandoverReply, LimitMessage, LimitReply,
    LimitRequest, LimitServed, MoveNotice, PromptNotice, RecordNotice, RecordNoticeReply,
    RecordQuery, RecordQueryReply, Reserve, ReserveOutcome, ReserveReply, RightsRequest,
    RouteReport, Settle, SettleReply, UpstreamGone, VersionReport,
};
use messages::{Datagram, SpeedMessage};

/// Maximum prefill and work of one prompt in a notice; no request is waited for longer.
const MAX_NOTICE_WORK_US: u64 = 60_000_000;

/// Prefill time from which on a prompt is announced as far as the rate limit allows, in milliseconds.
const MIN_PREFILL_MS: f64 = 3.0;

/// Prefill time from which on a prompt is always announced, in milliseconds; an engine can prefill only a few such
/// prompts in a second.
const LONG_PREFILL_MS: f64 = 25.0;

/// Maximum rate of notices of shorter prompts from all gateways to one gateway; receiving one takes some 10 µs.
const MAX_NOTICES_PER_S: u64 = 400;

/// Maximum number of statements about the speed of engines in one notice. A gateway receives about as many responses as
/// it sends notices, and reports only what has changed.
const MAX_SPEEDS: usize = 3;

/// Time for which the id of a handover is remembered; the network does not hold a datagram for longer.
const HANDOVER_DEDUP_MS: u64 = 600_000;

/// Maximum size of a datagram; a team's record with its grants is the largest content.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Minimum time between two log lines about ignored datagrams.
const IGNORED_LOG_INTERVAL_MS: u64 = 1_000;

/// UDP socket for the messages of other gateways, with the state that deduplicates them.
pub(super) struct PeerSocket {
    socket: UdpSocket,
    address: Option<SocketAddr>,
    /// Token bucket of notices, in thousandths of a notice, and the time at which it was last filled.
    credit_permille: Cell<u64>,
    credited_ms: Cell<u64>,
    /// Handovers that were accepted, by id, with their time; a repeated datagram does not count again.
    handovers: RefCell<FastMap<u64, u64>>,
    /// Time of the last log line about an ignored datagram.
    ignored_logged_ms: Cell<u64>,
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
            handovers: RefCell::default(),
            ignored_logged_ms: Cell::new(0),
        })
    }

    /// Returns the address at which other gateways reach this one.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Notifies the other gateways of a prompt that was sent to an engine.
    ///
    /// `work_ms` is its prefill time at usual speed, if engines state their speed.
    pub(super) fn send_notice(
        &self,
        shared: &Shared,
        upstream: &str,
        prompt: &Prompt,
        prefill_ms: f64,
        work_ms: Option<f64>,
    ) {
        let is_long = prefill_ms >= LONG_PREFILL_MS;
        if prefill_ms < MIN_PREFILL_MS || (!self.take_credit(shared) && !is_long) {
            return;
        }
        let notice = PromptNotice {
            upstream: upstream.into(),
            session: prompt.session,
            prefill_us: (prefill_ms * 1_000.0) as u64,
            work_us: work_ms.map(|work_ms| (work_ms * 1_000.0) as u64),
            parts: work_ms.map_or_else(Vec::new, |_| other_parts(prompt)),
            speeds: work_ms.map_or_else(Vec::new, |_| pending_speeds(shared)),
        };
        self.broadcast(shared, Content::PromptNotice(notice));
    }

    /// Sends a message to all other gateways.
    pub(super) fn broadcast(&self, shared: &Shared, content: Content) {
        let content = encode(content);
        for peer in shared.routers.borrow().peers(&shared.settings.vm) {
            self.send_datagram(content.clone(), peer);
        }
    }

    fn accept_handover(&self, shared: &Shared, handover: &Handover, peer: SocketAddr) {
        let now_ms = shared.now_ms();
        let mut handovers = self.handovers.borrow_mut();
        handovers.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < HANDOVER_DEDUP_MS);
        if handovers.insert(handover.id, now_ms).is_none() {
            shared
                .budgets
                .receive(shared, &handover.team, handover.giver, handover.tokens);
        }
        let reply = HandoverReply { id: handover.id };
        self.send(Content::HandoverReply(reply), peer);
    }

    /// Sends a message to another gateway.
    pub(super) fn send(&self, content: Content, peer: SocketAddr) {
        self.send_datagram(encode(content), peer);
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

    /// Counts a datagram that is ignored, and logs it at a bounded rate.
    fn ignore(&self, shared: &Shared, peer: SocketAddr, reason: &str) {
        shared.metrics.add("datagrams_ignored", 1);
        let now_ms = shared.now_ms();
        if now_ms.saturating_sub(self.ignored_logged_ms.get()) < IGNORED_LOG_INTERVAL_MS {
            return;
        }
        self.ignored_logged_ms.set(now_ms);
        log::warn!(
            step = "datagram", peer = peer.to_string().as_str(),
            ignored = shared.metrics.value("datagrams_ignored"), at_ms = now_ms;
            "ignored a datagram: {reason}"
        );
    }
}

/// Receives the datagrams of other gateways until the process ends.
pub(super) async fn receive(shared: Rc<Shared>) {
    // One byte more than the limit shows that a datagram is too large.
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES + 1);
    loop {
        let (result, returned_buffer) = shared.peer_socket.socket.recv_from(buffer).await;
        buffer = returned_buffer;
        match result {
            Ok((count, peer)) if count > MAX_DATAGRAM_BYTES => {
                shared.peer_socket.ignore(&shared, peer, "it is too large");
            }
            Ok((count, peer)) => match Datagram::decode(&buffer[..count]) {
                Ok(datagram) => dispatch(&shared, datagram, peer),
                Err(error) => {
                    let reason = format!("it cannot be decoded: {error}");
                    shared.peer_socket.ignore(&shared, peer, &reason);
                }
            },
            Err(error) => log::debug!(step = "datagram"; "receiving a datagram failed: {error}"),
        }
        buffer.clear();
    }
}

fn dispatch(shared: &Rc<Shared>, datagram: Datagram, peer: SocketAddr) {
    let socket = &shared.peer_socket;
    let Some(content) = datagram.content else {
        socket.ignore(shared, peer, "its content is of an unknown kind");
        return;
    };
    if !content.is_within_bounds() {
        socket.ignore(shared, peer, "a figure in it is out of bounds");
        return;
    }
    let needs_member = !matches!(content, Content::PromptNotice(_) | Content::Clock(_));
    if needs_member && !shared.routers.borrow().is_member(peer) {
        shared.is_stranger_seen.set(true);
        shared.stranger_seen.notify();
        socket.ignore(shared, peer, "its sender has not reported its presence");
        return;
    }
    match content {
        Content::PromptNotice(notice) => {
            shared.metrics.add("notices_received", 1);
            record_notice(shared, &notice);
        }
        Content::Limit(message) => limits::handle_message(shared, &message),
        Content::LimitRequest(request) => limits::handle_request(shared, &request, peer),
        Content::VersionReport(report) => rollouts::handle_report(shared, &report),
        Content::UpstreamGone(message) => beliefs::handle_report(shared, &message),
        Content::MoveNotice(notice) => rollouts::handle_move_notice(shared, &notice),
        Content::LimitReply(reply) => limits::handle_reply(shared, &reply),
        Content::LimitServed(served) => limits::handle_served(shared, &served),
        Content::Handover(handover) => socket.accept_handover(shared, &handover, peer),
        Content::Clock(message) => clock::handle_message(shared, &message, peer),
        Content::Reserve(request) => serving::handle_reserve(shared, request, peer),
        Content::ReserveReply(reply) => remote::handle_reply(shared, reply, peer),
        Content::Settle(settlement) => serving::handle_settle(shared, &settlement, peer),
        Content::SettleReply(reply) => remote::acknowledge(shared, reply.id, peer),
        Content::HandoverReply(reply) => remote::acknowledge(shared, reply.id, peer),
        Content::RightsRequest(request) => serving::handle_rights_request(shared, &request, peer),
        Content::RecordNotice(notice) => versions::handle_notice(shared, &notice, peer),
        Content::RecordNoticeReply(reply) => versions::handle_notice_reply(shared, &reply, peer),
        Content::RecordQuery(query) => versions::handle_query(shared, &query, peer),
        Content::RecordQueryReply(reply) => versions::handle_query_reply(shared, reply, peer),
    }
}

/// Returns the parts of a prompt that prompts of other sessions may share.
fn other_parts(prompt: &Prompt) -> Vec<u64> {
    let parts = prompt.parts.as_slice().iter().map(|part| part.id);
    parts.filter(|part| *part != prompt.session).collect()
}

/// Takes the statements about the speed of engines that the other gateways should know.
fn pending_speeds(shared: &Shared) -> Vec<SpeedMessage> {
    let now_ms = shared.now_ms();
    let mut placement = shared.placement.borrow_mut();
    let figures = std::iter::from_fn(|| placement.take_figure(now_ms)).take(MAX_SPEEDS);
    let speeds = figures.map(|figure| SpeedMessage {
        upstream: figure.upstream.into(),
        work_percent: figure.work_percent,
        age_ms: now_ms.saturating_sub(figure.at_ms) as u32,
    });
    speeds.collect()
}

fn record_notice(shared: &Shared, notice: &PromptNotice) {
    let now_ms = shared.now_ms();
    let mut placement = shared.placement.borrow_mut();
    if !notice.speeds.is_empty() {
        let count = notice.speeds.len() as u64;
        shared.metrics.add("speed_figures_received", count);
    }
    for speed in notice.speeds.iter().take(MAX_SPEEDS) {
        let figure = SpeedFigure {
            upstream: speed.upstream.as_str().into(),
            work_percent: speed.work_percent,
            at_ms: now_ms.saturating_sub(u64::from(speed.age_ms)),
        };
        placement.record_peer_speed(&figure, now_ms);
    }
    let work_us = notice.work_us.unwrap_or(notice.prefill_us);
    let prompt = PeerPrompt {
        session: notice.session,
        parts: &notice.parts,
        prefill_ms: notice.prefill_us.min(MAX_NOTICE_WORK_US) as f64 / 1_000.0,
        work_ms: work_us.min(MAX_NOTICE_WORK_US) as f64 / 1_000.0,
    };
    placement.record_peer_prompt(&notice.upstream, &prompt, now_ms);
}

fn encode(content: Content) -> Vec<u8> {
    let datagram = Datagram {
        content: Some(content),
    };
    datagram.encode_to_vec()
}
