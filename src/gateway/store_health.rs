//! The store with a record of whether it responds.
//!
//! A request that needs rights from the store waits for them only if the store responds. An outage shows in calls that
//! are overdue. While it lasts, most calls are given up early, so that its end is noticed soon: a connection that was
//! opened during an outage hangs for longer than the outage.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::time::{Duration, Instant};

use futures_util::future::LocalBoxFuture;

use crate::collections::FastMap;
use crate::notify::Notify;
use crate::store::{AppendOutcome, Changes, Error, Feed, Record, Snapshot, Store};

/// Time after which a call is overdue; a response takes 4 ms, and up to 60 times as long while the store is slow.
const OVERDUE_MS: u64 = 300;

/// Longest time without a successful call; the configuration is read every 500 ms.
const MAX_QUIET_MS: u64 = 800;

/// Time limit of most calls during an outage.
const OUTAGE_TIMEOUT: Duration = Duration::from_millis(300);

/// One call in so many keeps its own time limit during an outage, because a store that is slower than
/// [`OUTAGE_TIMEOUT`] would otherwise never respond in time.
const PATIENT_CALLS: u64 = 3;

/// A store whose responsiveness is observed.
pub(super) struct ObservedStore<S> {
    inner: S,
    started: Instant,
    last_success_ms: Cell<u64>,
    calls: Cell<u64>,
    /// Times from which the pending calls are overdue.
    overdue_ms: RefCell<FastMap<u64, u64>>,
    /// Newest epoch that was logged; `None` before the first response.
    known_epoch: Cell<Option<u64>>,
    epoch_changed: Notify,
}

/// Removes a call from the pending ones when it ends or is cancelled.
struct PendingCall<'a> {
    overdue_ms: &'a RefCell<FastMap<u64, u64>>,
    id: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.overdue_ms.borrow_mut().remove(&self.id);
    }
}

impl<S: Store> ObservedStore<S> {
    pub(super) fn new(inner: S, started: Instant) -> Self {
        Self {
            inner,
            started,
            last_success_ms: Cell::new(0),
            calls: Cell::new(0),
            overdue_ms: RefCell::default(),
            known_epoch: Cell::new(None),
            epoch_changed: Notify::default(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns whether calls are expected to succeed: one did lately, and none has become overdue since.
    pub(super) fn is_responsive(&self) -> bool {
        let now_ms = self.now_ms();
        let last_ms = self.last_success_ms.get();
        let overdue = self.overdue_ms.borrow();
        let is_overdue = overdue
            .values()
            .any(|due_ms| *due_ms <= now_ms && last_ms < *due_ms);
        now_ms.saturating_sub(last_ms) < MAX_QUIET_MS && !is_overdue
    }

    async fn observe<T>(
        &self,
        step: &'static str,
        wait_ms: u64,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let id = self.calls.get();
        self.calls.set(id + 1);
        let is_impatient = !self.is_responsive() && !id.is_multiple_of(PATIENT_CALLS);
        let due_ms = self.now_ms() + wait_ms + OVERDUE_MS;
        self.overdue_ms.borrow_mut().insert(id, due_ms);
        let _pending = PendingCall {
            overdue_ms: &self.overdue_ms,
            id,
        };
        let result = if is_impatient {
            let timeout = OUTAGE_TIMEOUT + Duration::from_millis(wait_ms);
            match monoio::time::timeout(timeout, call).await {
                Ok(result) => result,
                Err(_) => {
                    let reason = "no response, and the store has not responded lately";
                    Err(Error::Unknown(step, "store".into(), reason.into()))
                }
            }
        } else {
            call.await
        };
        if result.is_ok() {
            self.last_success_ms.set(self.now_ms());
        }
        // An error response states the epoch too, but without any response the epoch is not known yet.
        if result.is_ok() || self.known_epoch.get().is_some() {
            self.observe_epoch();
        }
        result
    }

    /// Waits until the store has returned from an older copy since an epoch; returns the new epoch.
    pub(super) async fn epoch_after(&self, epoch: u64) -> u64 {
        let is_later = || self.known_epoch.get().filter(|known| *known > epoch);
        self.epoch_changed.wait_for(is_later).await
    }

    fn observe_epoch(&self) {
        let epoch = self.inner.epoch();
        let known = self.known_epoch.replace(Some(epoch));
        if let Some(known) = known.filter(|known| *known < epoch) {
            log::warn!(
                step = "store", epoch = epoch, replaces = known, at_ms = self.now_ms();
                "the store returned from an older copy, what was written since that copy is gone"
            );
            self.epoch_changed.notify();
        }
    }
}

impl<S: Store> Store for ObservedStore<S> {
    fn epoch(&self) -> u64 {
        self.inner.epoch()
    }

    fn snapshot(&self, feed: Feed) -> LocalBoxFuture<'_, Result<Snapshot, Error>> {
        Box::pin(self.observe("read newest records", 0, self.inner.snapshot(feed)))
    }

    fn changes(
        &self,
        feed: Feed,
        from: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<Changes, Error>> {
        // A long poll would notice the end of an outage late.
        let wait_ms = if self.is_responsive() { wait_ms } else { 0 };
        let call = self.inner.changes(feed, from, wait_ms);
        Box::pin(self.observe("read changes", wait_ms, call))
    }

    fn append(
        &self,
        feed: Feed,
        expected_end: Option<u64>,
        record: Record,
    ) -> LocalBoxFuture<'_, Result<AppendOutcome, Error>> {
        let call = self.inner.append(feed, expected_end, record);
        Box::pin(self.observe("append", 0, call))
    }
}
