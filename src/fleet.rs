//! Connection of a process to the fleet: the log, the folded state and the peers.
//!
//! [`Fleet`] is a handle on a set of tasks that read and fold the log, append entries in batches, maintain the
//! connections to peers, send heartbeats and propose closures of failed incarnations. All tasks run on one thread, and
//! no borrow of their shared state is held across an await, so no lock is needed. This module does the input and output
//! only: the modules without input and output decide which entries and messages are sent. See `docs/design.md`,
//! sections 2 to 4.

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
mod log_return;
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
    /// Error of a call on the fleet connection.
    #[derive(Debug)]
    pub enum Error {
        /// The listener for peers could not be opened.
        Listen(address: String, message: String) {
            display("cannot listen for peers on {}: {}", address, message)
        }
        /// The entry was rejected before it was queued, so it is never written to the log.
        NotQueued(error: log_writer::Error) {
            display("cannot queue an entry for the log: {}", error)
            source(error)
        }
        /// The awaited condition did not hold within the timeout; queued entries may still be written later.
        Deadline {
            display("the awaited fleet state was not reached within the timeout")
        }
        /// The fleet connection was stopped.
        Stopped {
            display("the fleet connection is shut down")
        }
    }
}

/// An event that subscribers receive.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A folded record changed the state.
    Change {
        /// Offset of the record.
        offset: Offset,
        /// What changed.
        change: Change,
    },
    /// A newer snapshot replaced the folded state, without a [`Event::Change`] for each change in between.
    StateReplaced,
    /// A peer closed this process's incarnation, and the process opened a new one without spending rights.
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
    /// A peer sent a message that the fleet connection does not handle itself.
    Message {
        /// Incarnation of the sender.
        from: IncarnationId,
        /// The message.
        message: PeerMessage,
    },
}

/// A subscription to events, which ends when it is dropped.
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
    /// Connects to the fleet through the platform services of the settings.
    ///
    /// Must be called inside a monoio runtime with timers. Returns before the fleet state is known; see
    /// [`Fleet::wait_for_state`].
    ///
    /// # Errors
    ///
    /// Returns an error if the listener for peers cannot be opened.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        FleetBuilder::new(settings).start()
    }

    /// Calls a closure with the folded state, so that the borrow cannot be held across an await.
    pub fn with_state<T>(&self, read: impl FnOnce(&FleetState) -> T) -> T {
        read(&self.inner.state.borrow())
    }

    /// Borrows the folded state; the borrow must not be held across an await.
    pub fn state(&self) -> Ref<'_, FleetState> {
        self.inner.state.borrow()
    }

    /// Returns whether the fleet state is known; a process serves no requests before that.
    pub fn has_state(&self) -> bool {
        self.inner.has_state.get()
    }

    /// Waits until the fleet state is known.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Deadline`] after the timeout, or [`Error::Stopped`] if the connection is stopped first.
    pub async fn wait_for_state(&self, timeout: Duration) -> Result<(), Error> {
        self.wait_until(timeout, |fleet| fleet.has_state()).await
    }

    /// Waits until a condition holds, which is checked after each change of the folded state or the live peers.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Deadline`] after the timeout, or [`Error::Stopped`] if the connection is stopped first.
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

    /// Returns the current incarnation of this process.
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
    /// Returns an error if the entry is too large, the queue is full or the connection is stopped; the entry is then
    /// never written.
    pub fn write(&self, entry: Entry) -> Result<(), Error> {
        self.inner.push_all(vec![entry]).map(|_| ())
    }

    /// Queues entries, waits until this process has folded them and all entries queued before them, and returns the
    /// next offset at that time.
    ///
    /// A folded entry has no effect if a conflicting entry precedes it in the log, so the caller must check the state.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotQueued`] if none of the entries is ever written, [`Error::Deadline`] if their outcome is not
    /// known within the timeout, and [`Error::Stopped`] if the connection is stopped.
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

    /// Returns the encoded size of the queued entries that are in no batch yet, in bytes.
    pub fn write_queue_bytes(&self) -> usize {
        self.inner.writer.borrow().queue_bytes()
    }

    /// Subscribes to all events from now on.
    ///
    /// The queue of events is unbounded, so the subscriber must read it continuously.
    pub fn subscribe(&self) -> Subscription {
        let (sender, receiver) = unbounded::channel();
        self.inner.subscribers.borrow_mut().push(sender);
        Subscription { receiver }
    }

    /// Queues a message to a peer; returns false if there is no connection to it or its queue is full.
    ///
    /// A queued message is lost if the connection breaks before it is sent.
    pub fn send(&self, peer: IncarnationId, message: PeerMessage) -> bool {
        self.inner.send(peer, message)
    }

    /// Returns the counters of the traffic with all peers since the start.
    pub fn traffic(&self) -> Traffic {
        self.inner.traffic.get()
    }

    /// Sets the outstanding work that this process reports to its peers in heartbeats.
    pub fn set_outstanding_work(&self, outstanding: Vec<OutstandingWork>) {
        *self.inner.outstanding_work.borrow_mut() = outstanding;
    }

    /// Returns the live peers in the order of their incarnation ids.
    pub fn peers(&self) -> Vec<Peer> {
        self.inner.live_peers()
    }

    /// Returns the home of a customer's budget in a data centre, chosen by rendezvous hashing among the live members
    /// that are open in the log; `None` if there is none.
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

    /// Returns whether the last read from the log and the last append to it succeeded.
    pub fn is_log_available(&self) -> bool {
        self.inner.is_log_available()
    }

    /// Returns the number of known log records that this process has not folded yet.
    pub fn log_lag(&self) -> u64 {
        let next_offset = self.inner.state.borrow().next_offset;
        self.inner.log_next_offset.get().saturating_sub(next_offset)
    }

    /// Tells peers that this process takes no new work, so that they choose other budget homes.
    pub fn announce_leaving(&self) {
        self.inner.is_leaving.set(true);
        self.inner.broadcast_heartbeat();
    }

    /// Writes the queued entries and `Leave` to the log, and ends all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if not all entries were folded within the timeout; the tasks end in any case.
    pub async fn shut_down(&self, timeout: Duration) -> Result<(), Error> {
        self.announce_leaving();
        let result = self
            .write_and_wait([Entry::Leave(crate::record::Leave {})], timeout)
            .await;
        self.abort();
        result.map(|_| ())
    }

    /// Ends all tasks at once without writing the queued entries, as a crash would.
    pub fn abort(&self) {
        self.inner.stop();
    }
}
