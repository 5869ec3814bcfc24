//! State and operations that the tasks of a fleet connection share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use local_sync::mpsc::unbounded;
use prost::Message;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::log_tail::LogTail;
use super::peers::{PeerTable, Traffic};
use super::{restore, Error, Event};
use crate::collections::FastSet;
use crate::fleet_state::FleetState;
use crate::ids::{IncarnationId, Offset};
use crate::log_client::LogService;
use crate::log_writer::{LogWriter, Position};
use crate::membership::detector::FailureDetector;
use crate::membership::MemberPhase;
use crate::message::OutstandingWork;
use crate::notify::Notify;
use crate::record::{Batch, Entry};
use crate::settings::Settings;
use crate::snapshot::{Assembler, Encoder};
use crate::vm_list::VmList;

/// Pause between two steps of the snapshot encoder, in which the event loop serves requests.
const SNAPSHOT_STEP_PAUSE: Duration = Duration::from_millis(1);

/// State that the tasks of a fleet connection share.
pub(super) struct Inner {
    pub(super) settings: Settings,
    pub(super) address: String,
    pub(super) log: Rc<dyn LogService>,
    pub(super) vm_list: Rc<dyn VmList>,
    pub(super) started: Instant,
    pub(super) random: RefCell<Pcg64Mcg>,
    pub(super) incarnation: Cell<IncarnationId>,
    /// Whether a batch of this incarnation was folded. Before that, an incarnation that is not a member was not closed,
    /// but has not been opened yet.
    pub(super) is_open_folded: Cell<bool>,
    pub(super) state: RefCell<FleetState>,
    pub(super) has_state: Cell<bool>,
    /// Whether a snapshot is being encoded, during which the state must not change.
    pub(super) is_encoding: Cell<bool>,
    pub(super) encoding_finished: Notify,
    pub(super) log_tail: RefCell<LogTail>,
    pub(super) writer: RefCell<LogWriter>,
    pub(super) writer_wake: Notify,
    /// Notified after records were folded, the state was replaced or the live peers changed.
    pub(super) state_changed: Notify,
    pub(super) detector: RefCell<FailureDetector>,
    pub(super) peers: RefCell<PeerTable>,
    pub(super) traffic: Cell<Traffic>,
    pub(super) subscribers: RefCell<Vec<unbounded::Tx<Event>>>,
    /// Newest known end of the log, from pages and from the heartbeats of peers.
    pub(super) log_next_offset: Cell<Offset>,
    pub(super) log_oldest_offset: Cell<Offset>,
    pub(super) last_fold_ms: Cell<u64>,
    /// Next offset and hash of the last record that each peer has folded, by the heartbeats since the log is unverified.
    pub(super) folded_by_peers: RefCell<BTreeMap<IncarnationId, (Offset, u64)>>,
    /// Whether the folded state came from a peer and not from the log.
    pub(super) is_state_from_peer: Cell<bool>,
    /// Time since which the log may lack records that this process or a peer has folded; `None` if it holds them.
    pub(super) log_unverified_since_ms: Cell<Option<u64>>,
    pub(super) log_verification_changed: Notify,
    /// Time at which this process found that the log lacks folded records; `None` if it holds them.
    pub(super) loss_found_ms: Cell<Option<u64>>,
    /// Offsets of requests for records that do not exist yet, by peer.
    pub(super) records_requests: RefCell<BTreeMap<IncarnationId, Offset>>,
    pub(super) outstanding_work: RefCell<Vec<OutstandingWork>>,
    pub(super) snapshot_assembler: RefCell<Assembler>,
    /// Peers to which a snapshot is being sent.
    pub(super) snapshot_receivers: RefCell<BTreeSet<IncarnationId>>,
    /// Addresses of the VMs, including those of upstreams, that the platform's VM list shows as leaving.
    pub(super) leaving_addresses: RefCell<FastSet<CompactString>>,
    pub(super) last_read_succeeded: Cell<bool>,
    pub(super) last_append_succeeded: Cell<bool>,
    pub(super) is_leaving: Cell<bool>,
    pub(super) is_stopped: Cell<bool>,
    pub(super) stopped: Notify,
}

impl Inner {
    pub(super) fn new(
        settings: Settings,
        address: String,
        log: Rc<dyn LogService>,
        vm_list: Rc<dyn VmList>,
        seed: u64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let incarnation = IncarnationId(rand::Rng::random(&mut random));
        let timing = settings.timing.clone();
        Self {
            writer: RefCell::new(LogWriter::new(
                timing.flush_interval_ms,
                timing.empty_batch_interval_ms,
            )),
            detector: RefCell::new(FailureDetector::new(timing)),
            settings,
            address,
            log,
            vm_list,
            started: Instant::now(),
            random: RefCell::new(random),
            incarnation: Cell::new(incarnation),
            is_open_folded: Cell::new(false),
            state: RefCell::default(),
            has_state: Cell::new(false),
            is_encoding: Cell::new(false),
            encoding_finished: Notify::default(),
            log_tail: RefCell::default(),
            writer_wake: Notify::default(),
            state_changed: Notify::default(),
            peers: RefCell::default(),
            traffic: Cell::default(),
            subscribers: RefCell::default(),
            log_next_offset: Cell::new(0),
            log_oldest_offset: Cell::new(0),
            last_fold_ms: Cell::new(0),
            folded_by_peers: RefCell::default(),
            is_state_from_peer: Cell::new(false),
            log_unverified_since_ms: Cell::new(Some(0)),
            log_verification_changed: Notify::default(),
            loss_found_ms: Cell::new(None),
            records_requests: RefCell::default(),
            outstanding_work: RefCell::default(),
            snapshot_assembler: RefCell::default(),
            snapshot_receivers: RefCell::default(),
            leaving_addresses: RefCell::default(),
            last_read_succeeded: Cell::new(false),
            last_append_succeeded: Cell::new(true),
            is_leaving: Cell::new(false),
            is_stopped: Cell::new(false),
            stopped: Notify::default(),
        }
    }

    /// Returns the time since the start on a monotonic clock, because the wall clock can be set back or forward.
    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(super) fn push_all(&self, entries: Vec<Entry>) -> Result<Position, Error> {
        if self.is_stopped.get() {
            return Err(Error::Stopped);
        }
        let position = self
            .writer
            .borrow_mut()
            .push_all(self.incarnation.get(), entries)
            .map_err(Error::NotQueued)?;
        self.writer_wake.notify();
        Ok(position)
    }

    pub(super) fn emit(&self, event: &Event) {
        self.subscribers
            .borrow_mut()
            .retain(|subscriber| subscriber.send(event.clone()).is_ok());
    }

    pub(super) fn is_log_available(&self) -> bool {
        self.last_read_succeeded.get() && self.last_append_succeeded.get()
    }

    /// Sets the result of the last read or append, and emits an event if the availability of the log changed.
    pub(super) fn set_log_available(&self, flag: &Cell<bool>, value: bool) {
        let before = self.is_log_available();
        flag.set(value);
        let after = self.is_log_available();
        if before != after {
            log::info!("log available: {after}");
            self.emit(&Event::LogAvailable(after));
        }
    }

    pub(super) fn stop(&self) {
        self.is_stopped.set(true);
        self.subscribers.borrow_mut().clear();
        self.stopped.notify();
        self.state_changed.notify();
        self.writer_wake.notify();
        self.peers.borrow_mut().clear();
    }

    /// Runs a task until it ends or the fleet connection is stopped.
    pub(super) async fn run_until_stopped(&self, task: impl std::future::Future<Output = ()>) {
        let stopped = self
            .stopped
            .wait_for(|| self.is_stopped.get().then_some(()));
        monoio::select! {
            () = stopped => {}
            () = task => {}
        }
    }

    /// Folds a record and emits the changes; a record below the next offset has no effect.
    pub(super) fn fold(&self, offset: Offset, payload: &[u8]) {
        let batch = Batch::decode(payload);
        let changes = {
            let mut state = self.state.borrow_mut();
            if offset < state.next_offset {
                return;
            }
            match &batch {
                Ok(batch) => state.apply(offset, batch),
                Err(_) => state.apply_payload(offset, payload),
            }
        };
        self.log_tail.borrow_mut().push(offset, payload);
        if let Ok(batch) = &batch {
            self.record_batch(IncarnationId(batch.incarnation), batch.seq);
        }
        for change in changes {
            self.emit(&Event::Change { offset, change });
        }
    }

    /// Records in the failure detector and the log writer that a batch was folded.
    pub(super) fn record_batch(&self, id: IncarnationId, seq: u64) {
        self.detector.borrow_mut().on_record(id, self.now_ms());
        self.writer.borrow_mut().on_folded(id, seq);
        if id == self.incarnation.get() {
            self.is_open_folded.set(true);
        }
    }

    /// Replaces the folded state by a newer one; an older one is ignored, so that the state never goes back.
    pub(super) fn replace_state(&self, state: FleetState) {
        let is_older = state.next_offset <= self.state.borrow().next_offset;
        if self.is_encoding.get() || (self.has_state.get() && is_older) {
            return;
        }
        self.set_state(state);
    }

    /// Replaces the folded state, also by an older one.
    pub(super) fn set_state(&self, state: FleetState) {
        log::info!("state restored up to offset {}", state.next_offset);
        let own = self.incarnation.get();
        let own_seq = state.members.get(own).map(|member| member.last_seq);
        self.log_tail.borrow_mut().clear(state.next_offset);
        *self.state.borrow_mut() = state;
        if let Some(seq) = own_seq {
            self.record_batch(own, seq);
        }
        self.emit(&Event::StateReplaced);
        self.after_fold();
    }

    /// Waits until no snapshot is being encoded, so that the state may change.
    pub(super) async fn wait_for_encoding(&self) {
        self.encoding_finished
            .wait_for(|| (!self.is_encoding.get()).then_some(()))
            .await;
    }

    /// Encodes the state in steps, between which other tasks run; the folding of records waits until it is finished.
    pub(super) async fn encode_state(&self) -> (Offset, Vec<u8>) {
        self.wait_for_encoding().await;
        self.is_encoding.set(true);
        let mut encoder = Encoder::new();
        let next_offset = self.state.borrow().next_offset;
        loop {
            if encoder.encode_step(&self.state.borrow()) {
                break;
            }
            monoio::time::sleep(SNAPSHOT_STEP_PAUSE).await;
        }
        self.is_encoding.set(false);
        self.encoding_finished.notify();
        (next_offset, encoder.into_bytes())
    }

    /// Updates what depends on the folded state after a series of records or a new state.
    pub(super) fn after_fold(&self) {
        self.last_fold_ms.set(self.now_ms());
        self.reopen_if_closed();
        restore::answer_pending_requests(self);
        self.state_changed.notify();
        self.writer_wake.notify();
    }

    /// Opens a new incarnation if a peer closed the current one.
    pub(super) fn reopen_if_closed(&self) {
        if !self.is_open_folded.get() || self.is_leaving.get() {
            return;
        }
        let old = self.incarnation.get();
        let is_open = self
            .state
            .borrow()
            .members
            .get(old)
            .is_some_and(|member| member.phase == MemberPhase::Open);
        if is_open {
            return;
        }
        let new = IncarnationId(rand::Rng::random(&mut *self.random.borrow_mut()));
        log::warn!("incarnation {old} was closed by a peer; opening incarnation {new}");
        self.incarnation.set(new);
        self.is_open_folded.set(false);
        self.write_open();
        self.peers.borrow_mut().clear();
        self.emit(&Event::IncarnationReplaced { old, new });
    }

    pub(super) fn write_open(&self) {
        let entry = Entry::Open(crate::record::Open {
            vm: self.settings.vm.to_string(),
            data_centre: self.settings.data_centre.to_string(),
            address: self.address.clone(),
        });
        if let Err(error) = self.push_all(vec![entry]) {
            log::error!("cannot queue the Open entry: {error}");
        }
    }
}
