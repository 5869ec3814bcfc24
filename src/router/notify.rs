//! Wakes tasks of the same thread when a shared condition may have changed.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::RequestKey;

/// A list of tasks that wait for a condition.
#[derive(Default)]
pub(super) struct Notify {
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// Wakes all waiting tasks, so that they check their conditions again.
    pub(super) fn notify(&self) {
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        for waker in wakers {
            waker.wake();
        }
    }

    fn register(&self, waker: &Waker) {
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|known| known.will_wake(waker)) {
            wakers.push(waker.clone());
        }
    }

    /// Waits until the condition yields a value; `None` after the time limit.
    pub(super) async fn wait_for<T>(
        &self,
        limit: Duration,
        mut condition: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let wait = poll_fn(|context| {
            if let Some(value) = condition() {
                return Poll::Ready(value);
            }
            self.register(context.waker());
            Poll::Pending
        });
        monoio::time::timeout(limit, wait).await.ok()
    }
}

/// Tasks that wait for something about their own request.
///
/// With one list for all, each finished request would wake every waiting one, which is quadratic under load.
#[derive(Default)]
pub(super) struct KeyedNotify {
    waiting: RefCell<FastMap<RequestKey, Notify>>,
}

impl KeyedNotify {
    /// Wakes the tasks that wait for a request.
    pub(super) fn notify(&self, key: RequestKey) {
        let waiting = self.waiting.borrow();
        if let Some(notify) = waiting.get(&key) {
            notify.notify();
        }
    }

    /// Wakes all waiting tasks.
    pub(super) fn notify_all(&self) {
        for notify in self.waiting.borrow().values() {
            notify.notify();
        }
    }

    /// Waits until the condition on a request yields a value; `None` after the time limit.
    pub(super) async fn wait_for<T>(
        &self,
        key: RequestKey,
        limit: Duration,
        mut condition: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        let wait = poll_fn(|context| {
            if let Some(value) = condition() {
                return Poll::Ready(value);
            }
            let mut waiting = self.waiting.borrow_mut();
            waiting.entry(key).or_default().register(context.waker());
            Poll::Pending
        });
        let result = monoio::time::timeout(limit, wait).await.ok();
        // Another task that waits for the same request is woken and registers again.
        if let Some(notify) = self.waiting.borrow_mut().remove(&key) {
            notify.notify();
        }
        result
    }
}
