//! Connections of callers as holders of the buffer budget.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::IpAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::buffer_budget::{BufferBudget, HolderId, Shortage};
use crate::collections::FastMap;
use crate::memory;
use crate::metrics::Metrics;
use crate::notify::Notify;

/// Smallest retry delay of a refusal for lack of memory, and the largest random addition, in milliseconds.
///
/// Bodies leave the memory as fast as upstreams read them, some within tens of milliseconds. Callers that came at once
/// should not come back at once.
const RETRY_AFTER_MS: u64 = 500;

/// Interval at which gauges are updated and unused memory is returned.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);

/// Decline of the held bytes within that interval after which unused pages of the heap are returned to the kernel.
const TRIM_BYTES: usize = 2 << 20;

/// Part of the budget below which what is left of it counts as scarce, as a divisor.
const SCARCE_DIVISOR: usize = 16;

/// Tells the task of a connection that it was evicted.
#[derive(Default)]
struct Eviction {
    is_evicted: Cell<bool>,
    notify: Notify,
}

/// The buffer budget of a process and the connections that draw on it.
pub struct CallerBuffers {
    budget: RefCell<BufferBudget>,
    evictions: RefCell<FastMap<HolderId, Rc<Eviction>>>,
    metrics: Metrics,
    random: RefCell<Pcg64Mcg>,
    started: Instant,
}

impl CallerBuffers {
    /// Creates a budget of a number of bytes.
    pub fn new(total_bytes: usize, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(BufferBudget::new(total_bytes)),
            evictions: RefCell::default(),
            metrics,
            random: RefCell::new(Pcg64Mcg::from_os_rng()),
            started: Instant::now(),
        })
    }

    /// Adds a connection from an address.
    pub fn open(self: &Rc<Self>, address: IpAddr) -> BufferAccount {
        let id = self.budget.borrow_mut().open(address, self.now_ms());
        let eviction = Rc::<Eviction>::default();
        let mut evictions = self.evictions.borrow_mut();
        evictions.insert(id, Rc::clone(&eviction));
        BufferAccount {
            buffers: Rc::clone(self),
            id,
            eviction,
        }
    }

    /// Closes a connection without progress in favour of a new one; returns whether there was one.
    pub fn evict_connection(&self) -> bool {
        let evicted = self.budget.borrow_mut().evict_connection(self.now_ms());
        self.notify_evicted(evicted.as_slice());
        evicted.is_some()
    }

    /// Updates the gauges and returns unused memory to the kernel, at intervals, until the process ends.
    pub async fn run_housekeeping(self: Rc<Self>) {
        loop {
            monoio::time::sleep(HOUSEKEEPING_INTERVAL).await;
            let (held_bytes, max_held_bytes) = {
                let mut budget = self.budget.borrow_mut();
                (budget.held_bytes(), budget.take_max_held_bytes())
            };
            self.metrics.set("caller_buffer_bytes", held_bytes as u64);
            self.metrics
                .set("caller_buffer_max_bytes", max_held_bytes as u64);
            if max_held_bytes - held_bytes >= TRIM_BYTES {
                memory::release_unused();
            }
        }
    }

    fn notify_evicted(&self, evicted: &[HolderId]) {
        for id in evicted {
            let eviction = self.evictions.borrow_mut().remove(id);
            if let Some(eviction) = eviction {
                self.metrics.count_buffer_refusal("stalled");
                eviction.is_evicted.set(true);
                eviction.notify.notify();
            }
        }
    }

    fn retry_after_ms(&self) -> u64 {
        let random = self.random.borrow_mut().random_range(0..RETRY_AFTER_MS);
        RETRY_AFTER_MS + random
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// A connection that draws on the buffer budget; dropping it releases what it holds.
pub struct BufferAccount {
    buffers: Rc<CallerBuffers>,
    id: HolderId,
    eviction: Rc<Eviction>,
}

impl BufferAccount {
    /// Returns whether the connection has lost its place.
    pub fn is_evicted(&self) -> bool {
        self.eviction.is_evicted.get()
    }

    /// Returns a delay, randomly spread, after which a request that was refused for lack of memory may be repeated.
    pub fn retry_after_ms(&self) -> u64 {
        self.buffers.retry_after_ms()
    }

    /// Runs a future until it completes or the connection loses its place; then returns `None`.
    pub async fn run_until_evicted<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        let mut evicted = pin!(self
            .eviction
            .notify
            .wait_for(|| self.is_evicted().then_some(())));
        poll_fn(|context| {
            if evicted.as_mut().poll(context).is_ready() {
                return Poll::Ready(None);
            }
            future.as_mut().poll(context).map(Some)
        })
        .await
    }

    /// Records that the first bytes of a request arrive.
    pub(super) fn begin_request(&self) {
        let now_ms = self.buffers.now_ms();
        let mut budget = self.buffers.budget.borrow_mut();
        budget.begin_request(self.id, now_ms);
    }

    /// Records that bytes of a request have arrived.
    pub(super) fn record_received(&self, bytes: usize) {
        let now_ms = self.buffers.now_ms();
        let mut budget = self.buffers.budget.borrow_mut();
        budget.record_received(self.id, bytes, now_ms);
    }

    /// Records that the request is complete.
    pub(super) fn begin_serving(&self) {
        self.buffers.budget.borrow_mut().begin_serving(self.id);
    }

    /// Records that the request has been served, and releases what it held.
    pub(super) fn end_request(&self) {
        let now_ms = self.buffers.now_ms();
        self.buffers
            .budget
            .borrow_mut()
            .end_request(self.id, now_ms);
    }

    /// Assigns the request to a team; `None` if the team is not known.
    pub(super) fn set_team(&self, team: Option<CompactString>) {
        self.buffers.budget.borrow_mut().set_team(self.id, team);
    }

    /// Sets the number of bytes of the request that are held.
    ///
    /// # Errors
    ///
    /// Returns what is used up.
    pub(super) fn resize_input(&self, bytes: usize) -> Result<(), Shortage> {
        let now_ms = self.buffers.now_ms();
        let mut budget = self.buffers.budget.borrow_mut();
        let resized = budget.resize_input(self.id, bytes, now_ms);
        drop(budget);
        let result = self.conclude(resized);
        if let Err(shortage) = result {
            self.buffers.metrics.count_buffer_refusal(shortage.name());
        }
        result
    }

    /// Checks whether a body of a declared size may fit.
    ///
    /// # Errors
    ///
    /// Returns what is used up.
    pub(super) fn check_declared(&self, bytes: usize) -> Result<(), Shortage> {
        let now_ms = self.buffers.now_ms();
        let budget = self.buffers.budget.borrow();
        let Some(shortage) = budget.shortage_of(self.id, bytes, now_ms) else {
            return Ok(());
        };
        self.buffers.metrics.count_buffer_refusal(shortage.name());
        Err(shortage)
    }

    /// Returns whether the budget is nearly used up, so that responses should be read in small steps.
    pub fn is_scarce(&self) -> bool {
        let budget = self.buffers.budget.borrow();
        budget.held_bytes() + budget.total_bytes() / SCARCE_DIVISOR > budget.total_bytes()
    }

    /// Returns whether the connection may hold this many bytes of a response, which are then accounted for.
    pub fn try_resize_output(&self, bytes: usize) -> bool {
        let now_ms = self.buffers.now_ms();
        let mut budget = self.buffers.budget.borrow_mut();
        let resized = budget.resize_output(self.id, bytes, now_ms);
        drop(budget);
        self.conclude(resized).is_ok()
    }

    /// Accounts for bytes of a response that are held already.
    pub fn hold_output(&self, bytes: usize) {
        let mut budget = self.buffers.budget.borrow_mut();
        budget.hold_output(self.id, bytes);
    }

    fn conclude(
        &self,
        resized: Result<Vec<HolderId>, (Shortage, Vec<HolderId>)>,
    ) -> Result<(), Shortage> {
        let (result, evicted) = match resized {
            Ok(evicted) => (Ok(()), evicted),
            Err((shortage, evicted)) => (Err(shortage), evicted),
        };
        self.buffers.notify_evicted(&evicted);
        result
    }
}

impl Drop for BufferAccount {
    fn drop(&mut self) {
        self.buffers.budget.borrow_mut().close(self.id);
        self.buffers.evictions.borrow_mut().remove(&self.id);
    }
}
