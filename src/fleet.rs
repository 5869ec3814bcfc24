//! The process's connection to the fleet.
//!
//! [`Fleet`] is a handle on the one event loop: it reads and folds the log, batches and writes entries, keeps the
//! connections to peers, sends heartbeats and proposes closures. All parts share one thread, and no borrow of the shared
//! state lasts across an await, so no lock is needed. The request path calls the handle; which entries and messages it
//! sends is decided by the pure modules. See `docs/design.md`, sections 2 to 4.

use std::cell::Ref;
use std::rc::Rc;
use std::time::Duration;

use local_sync::mpsc::unbounded;
use quick_error::quick_error;

use crate::fleet_state::{Change, FleetState};
use crate::ids::{CustomerKey, IncarnationId, Offset};
use crate::log_writer;
use crate::membership::{rendezvous, MemberPhase};
use crate::message::{OutstandingWork, PeerMessage};
use crate::record::Entry;
use crate::settings::Settings;

mod builder;
mod inner;

mod log_tail;
mod peers;
mod periodic;
mod reader;
mod restore;
mod writer;

pub use builder::FleetBuilder;
pub use peers::{Peer, Traffic};

use inner::Inner;

quick_error! {
    /// Why a call on the fleet failed.
    #[derive(Debug)]
    pub enum Error {
        /// The listener for peers could not be opened.
        Listen(address: String, message: String) {
            display("listen for peers on {}: {}", address, message)
        }
        /// The entry was not taken, so it is not in the log and never will be.
        NotQueued(error: log_writer::Error) {
            display("write to the log: {}", error)
            source(error)
        }
        /// The own fold did not pass the entries in time; they may still be written later.
        Deadline {
            display("write to the log: the entries were not folded in time")
        }
        /// The handle was shut down.
        Stopped {
            display("the fleet connection is shut down")
        }
    }
}

/// Something that happened in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A record changed the folded state.
    Change {
        /// Offset of the record.
        offset: Offset,
        /// What changed.
        change: Change,
    },
    /// The folded state was replaced by a newer snapshot; the changes in between were not seen one by one.
    StateReplaced,
    /// The own incarnation was closed by a peer, and a new one without rights was opened.
    IncarnationReplaced {
        /// The closed incarnation.
        old: IncarnationId,
        /// The incarnation under which the process acts from now on.
        new: IncarnationId,
    },
    /// A peer became live.
    PeerUp(IncarnationId),
    /// A peer is no longer live.
    PeerDown(IncarnationId),
    /// The log became available or unavailable.
    LogAvailable(bool),
    /// A peer sent a message that is not part of the fleet protocol itself.
    Message {
        /// Incarnation of the sender.
        from: IncarnationId,
        /// The message.
        message: PeerMessage,
    },
}

/// A stream of events; dropping it ends the subscription.
pub struct Subscription {
    receiver: unbounded::Rx<Event>,
}

impl Subscription {
    /// Returns the next event, or `None` after the fleet connection has stopped.
    pub async fn next(&mut self) -> Option<Event> {
        self.receiver.recv().await
    }

    /// Returns the next event if there is one already.
    pub fn try_next(&mut self) -> Option<Event> {
        self.receiver.try_recv().ok()
    }
}

/// A cloneable handle on the process's connection to the fleet.
#[derive(Clone)]
pub struct Fleet {
    inner: Rc<Inner>,
}

impl Fleet {
    /// Connects to the fleet with the services that the settings name.
    ///
    /// It must be called inside a monoio runtime with timers. It returns before a state is known; see
    /// [`Fleet::wait_for_state`].
    ///
    /// # Errors
    ///
    /// Returns an error if the listener for peers can't be opened.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        FleetBuilder::new(settings).start()
    }

    /// Reads the folded state.
    ///
    /// The closure keeps the borrow from lasting across an await.
    pub fn with_state<T>(&self, read: impl FnOnce(&FleetState) -> T) -> T {
        read(&self.inner.state.borrow())
    }

    /// Borrows the folded state; the borrow must end before the next await.
    pub fn state(&self) -> Ref<'_, FleetState> {
        self.inner.state.borrow()
    }

    /// Returns whether a state is known; a process does not serve before that.
    pub fn has_state(&self) -> bool {
        self.inner.has_state.get()
    }

    /// Waits until a state is known.
    ///
    /// # Errors
    ///
    /// Returns an error if none is known within the timeout.
    pub async fn wait_for_state(&self, timeout: Duration) -> Result<(), Error> {
        self.wait_until(timeout, |fleet| fleet.has_state()).await
    }

    /// Waits until a condition on the folded state holds.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not hold within the timeout.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<(), Error> {
        let wait = self.inner.state_changed.wait_for(|| {
            if condition(self) {
                return Some(Ok(()));
            }
            self.inner.is_stopped.get().then_some(Err(Error::Stopped))
        });
        monoio::time::timeout(timeout, wait)
            .await
            .unwrap_or(Err(Error::Deadline))
    }

    /// Returns the incarnation under which the process acts.
    pub fn incarnation(&self) -> IncarnationId {
        self.inner.incarnation.get()
    }

    /// Returns the address at which peers reach this process.
    pub fn address(&self) -> &str {
        &self.inner.address
    }

    /// Queues an entry for the next batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue is full or the connection is shut down; the entry is then never written.
    pub fn write(&self, entry: Entry) -> Result<(), Error> {
        self.inner.push_all(vec![entry]).map(|_| ())
    }

    /// Queues entries and waits until the own fold has passed them; returns the next offset at that time.
    ///
    /// The entries can lose against others in log order, so the caller looks at the state afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotQueued`] if nothing was or will be written, and [`Error::Deadline`] if the outcome is not
    /// known in time.
    pub async fn write_and_wait(
        &self,
        entries: impl IntoIterator<Item = Entry>,
        timeout: Duration,
    ) -> Result<Offset, Error> {
        let last = self.inner.push_all(entries.into_iter().collect())?;
        self.wait_until(timeout, |fleet| {
            fleet.inner.writer.borrow().last_folded() >= last
        })
        .await?;
        Ok(self.inner.state.borrow().next_offset)
    }

    /// Returns the encoded size of the entries that wait for the log, in bytes.
    pub fn write_queue_bytes(&self) -> usize {
        self.inner.writer.borrow().queue_bytes()
    }

    /// Subscribes to all events from now on.
    ///
    /// Events are kept until they are read, so the subscriber must read them all the time.
    pub fn subscribe(&self) -> Subscription {
        let (sender, receiver) = unbounded::channel();
        self.inner.subscribers.borrow_mut().push(sender);
        Subscription { receiver }
    }

    /// Sends a message to a peer; returns whether it was queued on a connection.
    ///
    /// A queued message can still be lost with the connection.
    pub fn send(&self, peer: IncarnationId, message: PeerMessage) -> bool {
        self.inner.send(peer, message)
    }

    /// Returns what was exchanged with peers since the start.
    pub fn traffic(&self) -> Traffic {
        self.inner.traffic.get()
    }

    /// Sets what the next heartbeats report of this process's work at upstreams.
    pub fn set_outstanding_work(&self, outstanding: Vec<OutstandingWork>) {
        *self.inner.outstanding_work.borrow_mut() = outstanding;
    }

    /// Returns the live peers in the order of their incarnations.
    pub fn peers(&self) -> Vec<Peer> {
        self.inner.live_peers()
    }

    /// Returns the budget home of a customer in a data centre: one live member that is open in the log.
    pub fn budget_home(&self, customer: CustomerKey, data_centre: &str) -> Option<IncarnationId> {
        let state = self.inner.state.borrow();
        let own = self.inner.incarnation.get();
        let now_ms = self.inner.now_ms();
        let detector = self.inner.detector.borrow();
        let members = state.members.iter().filter(|(id, member)| {
            member.phase == MemberPhase::Open
                && member.data_centre == data_centre
                && if *id == own {
                    !self.inner.is_leaving.get()
                } else {
                    detector.is_live(*id, now_ms)
                }
        });
        let name = state.customers.name(customer);
        rendezvous::owner(name.as_bytes(), members.map(|(id, _)| id))
    }

    /// Returns whether the platform's list shows the VM at this address as leaving.
    pub fn is_listed_as_leaving(&self, address: &str) -> bool {
        self.inner.leaving_addresses.borrow().contains(address)
    }

    /// Returns whether the last read and the last append succeeded.
    pub fn is_log_available(&self) -> bool {
        self.inner.is_log_available()
    }

    /// Returns the number of records that the own fold is behind the newest known offset.
    pub fn log_lag(&self) -> u64 {
        let next_offset = self.inner.state.borrow().next_offset;
        self.inner.log_next_offset.get().saturating_sub(next_offset)
    }

    /// Tells peers that this process takes no new work, so that they choose other homes.
    pub fn announce_leaving(&self) {
        self.inner.is_leaving.set(true);
        self.inner.broadcast_heartbeat();
    }

    /// Writes what is left and `Leave`, and ends all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if the log did not take everything in time; the tasks end nevertheless.
    pub async fn shut_down(&self, timeout: Duration) -> Result<(), Error> {
        self.announce_leaving();
        let result = self
            .write_and_wait([Entry::Leave(crate::record::Leave {})], timeout)
            .await;
        self.abort();
        result.map(|_| ())
    }

    /// Ends all tasks at once, as a crash would.
    pub fn abort(&self) {
        self.inner.stop();
    }
}
