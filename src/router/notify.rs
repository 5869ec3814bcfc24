//! Wakes tasks of the same thread when a shared condition may have changed.

use std::cell::RefCell;
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

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
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        });
        monoio::time::timeout(limit, wait).await.ok()
    }
}
