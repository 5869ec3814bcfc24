//! Connections to peers: the table of connections, and the tasks that dial, accept, send and receive.
//!
//! Each pair of processes has one connection. The process with the lower incarnation id dials at once, the other one
//! only after [`DIAL_DELAY_MS`], so that two processes are connected even if only one of them can reach the other.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use monoio::net::{TcpListener, TcpStream};

use super::builder::spawn;
use super::{restore, Event, Inner};
use crate::collections::FastSet;
use crate::ids::{IncarnationId, Offset};
use crate::membership::MemberPhase;
use crate::message::{Heartbeat, Hello, PeerMessage, PROTOCOL_VERSION};
use crate::notify::Notify;
use crate::peer_connection::{self, Backoff, Error, FrameReader, FrameWriter};

/// Time without a connection after which the process with the higher incarnation id dials as well.
const DIAL_DELAY_MS: u64 = 2_000;

/// Pause between two checks for addresses to dial.
const DIAL_INTERVAL_MS: u64 = 100;

/// Largest number of messages queued for one connection; further ones are dropped, as they are on a broken connection.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Largest encoded size of the messages queued for one connection, in bytes.
const MAX_QUEUED_BYTES: usize = 32 << 20;

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Incarnation of the peer.
    pub incarnation: IncarnationId,
    /// Name of its VM.
    pub vm: CompactString,
    /// Name of its data centre.
    pub data_centre: CompactString,
    /// Offset of the next log record that it will fold.
    pub next_offset: Offset,
}

/// Counters of the frames exchanged with all peers since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes of the frames sent, without TCP and IP headers.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
    /// Bytes of the frames received, without TCP and IP headers.
    pub received_bytes: u64,
}

/// Bounded queue of the messages to one peer.
#[derive(Default)]
struct SendQueue {
    messages: RefCell<VecDeque<PeerMessage>>,
    bytes: Cell<usize>,
    is_closed: Cell<bool>,
    changed: Notify,
}

impl SendQueue {
    fn push(&self, message: PeerMessage) -> bool {
        let bytes = message.encoded_len();
        let mut messages = self.messages.borrow_mut();
        if self.is_closed.get()
            || messages.len() >= MAX_QUEUED_MESSAGES
            || self.bytes.get() + bytes > MAX_QUEUED_BYTES
        {
            return false;
        }
        self.bytes.set(self.bytes.get() + bytes);
        messages.push_back(message);
        drop(messages);
        self.changed.notify();
        true
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.changed.notify();
    }
}

struct Connection {
    queue: Rc<SendQueue>,
    dialled_by: IncarnationId,
    peer: Peer,
    last_received_ms: u64,
}

/// State of the attempts to connect to one address.
#[derive(Default)]
struct DialState {
    is_dialling: bool,
    disconnected_since_ms: u64,
    /// Earliest time of the next attempt.
    retry_ms: u64,
    backoff: Option<Backoff>,
}

/// Connections to peers and the state of the attempts to open them.
#[derive(Default)]
pub(super) struct PeerTable {
    connections: BTreeMap<IncarnationId, Connection>,
    dial_states: BTreeMap<CompactString, DialState>,
    /// Addresses of the live VMs in the platform's VM list, by VM name.
    pub(super) listed_vms: BTreeMap<CompactString, CompactString>,
    /// Whether the VM list has been read.
    pub(super) is_list_read: bool,
    /// Addresses at which this process answered itself, which are not dialled again.
    own_addresses: BTreeSet<CompactString>,
    /// Live peers at the last check.
    live: BTreeSet<IncarnationId>,
}

impl PeerTable {
    /// Returns the peers to which there is a connection.
    pub(super) fn connected(&self) -> impl Iterator<Item = IncarnationId> + '_ {
        self.connections.keys().copied()
    }

    /// Returns whether each VM of the list is connected or could not be reached.
    pub(super) fn has_dialled_listed_vms(&self, own_vm: &str, own_address: &str) -> bool {
        let is_connected = |vm: &CompactString| {
            let mut connections = self.connections.values();
            connections.any(|connection| connection.peer.vm == *vm)
        };
        let has_failed = |address: &CompactString| {
            let dial = self.dial_states.get(address);
            dial.is_some_and(|dial| !dial.is_dialling && dial.backoff.is_some())
        };
        self.is_list_read
            && self.listed_vms.iter().all(|(vm, address)| {
                vm == own_vm
                    || address == own_address
                    || self.own_addresses.contains(address)
                    || is_connected(vm)
                    || has_failed(address)
            })
    }

    /// Closes all connections.
    pub(super) fn clear(&mut self) {
        for connection in self.connections.values() {
            connection.queue.close();
        }
        self.connections.clear();
    }
}

impl Inner {
    fn count_traffic(&self, count: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        count(&mut traffic);
        self.traffic.set(traffic);
    }

    /// Queues a message to a peer; returns false if there is no connection or its queue is full.
    pub(super) fn send(&self, peer: IncarnationId, message: PeerMessage) -> bool {
        self.peers
            .borrow()
            .connections
            .get(&peer)
            .is_some_and(|connection| connection.queue.push(message))
    }

    /// Queues a heartbeat on each connection.
    pub(super) fn broadcast_heartbeat(&self) {
        let heartbeat = Heartbeat {
            next_offset: self.advertised_offset(),
            is_leaving: self.is_leaving.get(),
            outstanding: self.outstanding_work.borrow().clone(),
            last_record_hash: self.log_tail.borrow().last_hash(),
        };
        for connection in self.peers.borrow().connections.values() {
            connection
                .queue
                .push(PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    /// Returns the next offset to fold, or 0 while there is no state that peers could request.
    fn advertised_offset(&self) -> Offset {
        if self.has_state.get() {
            self.state.borrow().next_offset
        } else {
            0
        }
    }

    /// Returns the live peers, including those whose `Open` is not folded yet.
    pub(super) fn live_peers(&self) -> Vec<Peer> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let detector = self.detector.borrow();
        self.peers
            .borrow()
            .connections
            .values()
            .map(|connection| &connection.peer)
            .filter(|peer| {
                let member = state.members.get(peer.incarnation);
                detector.is_live(peer.incarnation, now_ms)
                    && member.is_none_or(|member| member.phase == MemberPhase::Open)
            })
            .cloned()
            .collect()
    }

    /// Emits an event for each peer that became live or is no longer live.
    pub(super) fn emit_peer_changes(&self) {
        let live: BTreeSet<_> = self
            .live_peers()
            .iter()
            .map(|peer| peer.incarnation)
            .collect();
        let before = std::mem::replace(&mut self.peers.borrow_mut().live, live.clone());
        for id in before.difference(&live) {
            log::info!("peer {id} is no longer live");
            self.emit(&Event::PeerDown(*id));
        }
        for id in live.difference(&before) {
            log::info!("peer {id} is live");
            self.emit(&Event::PeerUp(*id));
        }
        if before != live {
            self.state_changed.notify();
        }
    }

    fn hello(&self) -> PeerMessage {
        PeerMessage::Hello(Hello {
            protocol_version: PROTOCOL_VERSION,
            incarnation: self.incarnation.get().0,
            vm: self.settings.vm.to_string(),
            data_centre: self.settings.data_centre.to_string(),
            next_offset: self.advertised_offset(),
        })
    }

    /// Registers a connection and returns its queue, or `None` if the existing connection to the peer is kept.
    ///
    /// Of two connections, both ends keep the one that the process with the lower incarnation id opened.
    fn register(&self, peer: Peer, dialled_by: IncarnationId) -> Option<Rc<SendQueue>> {
        let now_ms = self.now_ms();
        let id = peer.incarnation;
        let preferred_dialler = id.min(self.incarnation.get());
        let mut table = self.peers.borrow_mut();
        if let Some(existing) = table.connections.get(&id) {
            // A connection without recent frames may be broken at the other end, so a new one replaces it.
            let fresh_ms = 2 * self.settings.timing.heartbeat_interval_ms;
            let is_fresh = now_ms < existing.last_received_ms + fresh_ms;
            if is_fresh && existing.dialled_by == preferred_dialler {
                return None;
            }
            existing.queue.close();
        }
        let queue = Rc::new(SendQueue::default());
        table.connections.insert(
            id,
            Connection {
                queue: queue.clone(),
                dialled_by,
                peer,
                last_received_ms: now_ms,
            },
        );
        Some(queue)
    }

    fn deregister(&self, id: IncarnationId, queue: &Rc<SendQueue>) {
        queue.close();
        let mut table = self.peers.borrow_mut();
        if table
            .connections
            .get(&id)
            .is_some_and(|connection| Rc::ptr_eq(&connection.queue, queue))
        {
            table.connections.remove(&id);
            drop(table);
            self.records_requests.borrow_mut().remove(&id);
            self.detector.borrow_mut().on_disconnect(id);
            self.emit_peer_changes();
        }
    }

    fn on_heartbeat(&self, from: IncarnationId, heartbeat: Heartbeat) {
        let now_ms = self.now_ms();
        self.detector
            .borrow_mut()
            .on_heartbeat(from, heartbeat.is_leaving, now_ms);
        if let Some(connection) = self.peers.borrow_mut().connections.get_mut(&from) {
            connection.peer.next_offset = heartbeat.next_offset;
        }
        self.log_next_offset
            .set(self.log_next_offset.get().max(heartbeat.next_offset));
        let folded = (heartbeat.next_offset, heartbeat.last_record_hash);
        self.folded_by_peers.borrow_mut().insert(from, folded);
        // The periodic check covers all peers. Heartbeats are frequent, so they only add a peer that was not live.
        if !self.peers.borrow().live.contains(&from) {
            self.emit_peer_changes();
        }
        restore::request_records(self, from, heartbeat.next_offset);
        if !heartbeat.outstanding.is_empty() {
            let message = PeerMessage::Heartbeat(heartbeat);
            self.emit(&Event::Message { from, message });
        }
    }

    fn on_message(self: &Rc<Self>, from: IncarnationId, message: PeerMessage) {
        if let Some(connection) = self.peers.borrow_mut().connections.get_mut(&from) {
            connection.last_received_ms = self.now_ms();
        }
        match message {
            PeerMessage::Hello(_) => {}
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            PeerMessage::RecordsRequest(request) => {
                restore::send_records(self, from, request.from_offset);
            }
            PeerMessage::Records(records) => restore::fold_relayed_records(self, from, &records),
            PeerMessage::SnapshotRequest(_) => restore::send_snapshot(self, from),
            PeerMessage::SnapshotChunk(chunk) => restore::receive_chunk(self, chunk),
            message => self.emit(&Event::Message { from, message }),
        }
    }
}

/// Accepts connections from peers.
pub(super) async fn accept(inner: Rc<Inner>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let task_inner = inner.clone();
                spawn(&inner, async move {
                    if let Err(error) = run_connection(&task_inner, stream, None).await {
                        log::debug!("connection from {address} ended: {error}");
                    }
                });
            }
            Err(error) => {
                log::warn!("cannot accept connections from peers: {error}");
                // The usual cause is a lack of file descriptors, which lasts until other connections are closed.
                monoio::time::sleep(Duration::from_millis(DIAL_INTERVAL_MS)).await;
            }
        }
    }
}

/// Dials the open members and the listed VMs to which there is no connection.
pub(super) async fn dial(inner: Rc<Inner>) {
    loop {
        for address in addresses_to_dial(&inner) {
            let task_inner = inner.clone();
            spawn(&inner, async move {
                let result = dial_once(&task_inner, &address).await;
                if let Err(error) = &result {
                    log::debug!("connection to {address} failed or ended: {error}");
                }
                let now_ms = task_inner.now_ms();
                let max_backoff_ms = task_inner.settings.timing.reconnect_limit_ms;
                let mut table = task_inner.peers.borrow_mut();
                let dial = table.dial_states.entry(address).or_default();
                let mut backoff = dial.backoff.unwrap_or_else(|| Backoff::new(max_backoff_ms));
                if result.is_ok() {
                    backoff.reset();
                }
                dial.is_dialling = false;
                dial.disconnected_since_ms = now_ms;
                dial.retry_ms = now_ms + backoff.next_ms(&mut *task_inner.random.borrow_mut());
                dial.backoff = Some(backoff);
            });
        }
        monoio::time::sleep(Duration::from_millis(DIAL_INTERVAL_MS)).await;
    }
}

/// Returns the addresses to dial now, and marks them as being dialled.
fn addresses_to_dial(inner: &Inner) -> Vec<CompactString> {
    let now_ms = inner.now_ms();
    let own = inner.incarnation.get();
    let state = inner.state.borrow();
    let mut table = inner.peers.borrow_mut();
    // Keyed by address, because a replaced VM can reuse the address of an incarnation that is not closed yet. The value
    // is whether this process dials without a delay.
    let mut candidates: BTreeMap<CompactString, bool> = BTreeMap::new();
    for (id, member) in state.members.iter() {
        if id != own && member.phase == MemberPhase::Open && !table.connections.contains_key(&id) {
            // A member may not have read the `Open` of this process, which waits for what the members know of the log.
            let dials_first = own < id || inner.log_unverified_since_ms.get().is_some();
            candidates.insert(member.address.clone(), dials_first);
        }
    }
    let connected: FastSet<&str> = table
        .connections
        .values()
        .map(|connection| connection.peer.vm.as_str())
        .collect();
    for (vm, address) in &table.listed_vms {
        if !connected.contains(vm.as_str()) && *vm != inner.settings.vm {
            candidates.entry(address.clone()).or_insert(true);
        }
    }
    candidates
        .retain(|address, _| *address != inner.address && !table.own_addresses.contains(address));
    table
        .dial_states
        .retain(|address, dial| dial.is_dialling || candidates.contains_key(address));
    let mut due = Vec::new();
    for (address, dials_first) in candidates {
        let dial = table
            .dial_states
            .entry(address.clone())
            .or_insert_with(|| DialState {
                disconnected_since_ms: now_ms,
                ..DialState::default()
            });
        let delay_ms = if dials_first { 0 } else { DIAL_DELAY_MS };
        if !dial.is_dialling && now_ms >= dial.retry_ms.max(dial.disconnected_since_ms + delay_ms) {
            dial.is_dialling = true;
            due.push(address);
        }
    }
    due
}

async fn dial_once(inner: &Rc<Inner>, address: &CompactString) -> Result<(), Error> {
    let timeout = Duration::from_millis(inner.settings.timing.heartbeat_timeout_ms);
    let stream = match monoio::time::timeout(timeout, TcpStream::connect(address.as_str())).await {
        Ok(stream) => stream?,
        Err(_) => return Err(Error::Timeout),
    };
    run_connection(inner, stream, Some(address)).await
}

/// Exchanges `Hello` and runs a connection until it ends; `dialled` is the address if this process opened it.
async fn run_connection(
    inner: &Rc<Inner>,
    stream: TcpStream,
    dialled: Option<&CompactString>,
) -> Result<(), Error> {
    let timeout = Duration::from_millis(inner.settings.timing.heartbeat_timeout_ms);
    let (mut reader, mut writer) = peer_connection::split(stream);
    let own = inner.incarnation.get();
    writer.feed(inner.hello()).await?;
    writer.flush().await?;
    let hello = reader.hello(timeout).await?;
    let id = IncarnationId(hello.incarnation);
    if id == own {
        if let Some(address) = dialled {
            inner
                .peers
                .borrow_mut()
                .own_addresses
                .insert(address.clone());
        }
        return Ok(());
    }
    let peer = Peer {
        incarnation: id,
        vm: hello.vm.into(),
        data_centre: hello.data_centre.into(),
        next_offset: hello.next_offset,
    };
    let dialled_by = if dialled.is_some() { own } else { id };
    let Some(queue) = inner.register(peer, dialled_by) else {
        return Ok(());
    };
    // The first heartbeat is sent at once, so that the peer considers this process live without a delay.
    queue.push(PeerMessage::Heartbeat(Heartbeat {
        next_offset: inner.advertised_offset(),
        is_leaving: inner.is_leaving.get(),
        outstanding: Vec::new(),
        last_record_hash: inner.log_tail.borrow().last_hash(),
    }));
    let result = monoio::select! {
        result = receive_messages(inner, id, &mut reader, timeout) => result,
        result = send_messages(inner, &queue, &mut writer) => result,
    };
    inner.deregister(id, &queue);
    result
}

async fn receive_messages(
    inner: &Rc<Inner>,
    id: IncarnationId,
    reader: &mut FrameReader,
    timeout: Duration,
) -> Result<(), Error> {
    loop {
        let before = reader.received_bytes();
        let message = reader.next(timeout).await?;
        inner.count_traffic(|traffic| {
            traffic.received_frames += 1;
            traffic.received_bytes += reader.received_bytes() - before;
        });
        inner.on_message(id, message);
    }
}

async fn send_messages(
    inner: &Inner,
    queue: &SendQueue,
    writer: &mut FrameWriter,
) -> Result<(), Error> {
    loop {
        let messages = queue
            .changed
            .wait_for(|| {
                let mut messages = queue.messages.borrow_mut();
                (queue.is_closed.get() || !messages.is_empty())
                    .then(|| std::mem::take(&mut *messages))
            })
            .await;
        queue.bytes.set(0);
        if queue.is_closed.get() {
            return Ok(());
        }
        for message in messages {
            let bytes = writer.feed(message).await?;
            inner.count_traffic(|traffic| {
                traffic.sent_frames += 1;
                traffic.sent_bytes += bytes as u64;
            });
        }
        writer.flush().await?;
    }
}
