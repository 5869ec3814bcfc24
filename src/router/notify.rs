//! Notification of tasks on the same thread that wait for a shared condition.
//!
//! Unlike those of `crate::notify`, the waits have a time limit, and tasks can wait for a condition of one request.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

use crate::collections::FastMap;
use crate::ids::RequestKey;

/// The tasks that wait for a condition, each with a time limit.
#[derive(Default)]
pub(super) struct TimedNotify {
    wakers: RefCell<Vec<Waker>>,
}

impl TimedNotify {
    /// Wakes all waiting tasks to check their conditions again.
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

    /// Waits until the condition returns a value, and returns `None` after the time limit.
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

/// The tasks that wait for a condition of one request, by request.
///
/// With a single list, each completed request would wake all waiting ones, which takes quadratic time under load.
#[derive(Default)]
pub(super) struct KeyedNotify {
    waiting: RefCell<FastMap<RequestKey, TimedNotify>>,
}

impl KeyedNotify {
    /// Wakes the tasks that wait for a condition of a request.
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

    /// Waits until the condition of a request returns a value, and returns `None` after the time limit.
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
        // Other tasks that wait for the same request are woken and register again.
        if let Some(notify) = self.waiting.borrow_mut().remove(&key) {
            notify.notify();
        }
        result
    }
}
