//! Notification of tasks on the same thread that wait for a shared condition.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Context, Poll, Waker};

use crate::collections::FastMap;

/// Set of tasks that wait for a condition.
#[derive(Default)]
pub(crate) struct Notify {
    next_id: Cell<u64>,
    wakers: RefCell<FastMap<u64, Waker>>,
}

/// One waiting task. It is removed when its wait ends or is cancelled, so that ended tasks do not accumulate.
struct Waiter<'a> {
    notify: &'a Notify,
    id: u64,
}

impl Notify {
    /// Wakes all waiting tasks to check their conditions again.
    pub(crate) fn notify(&self) {
        let wakers = std::mem::take(&mut *self.wakers.borrow_mut());
        for waker in wakers.into_values() {
            waker.wake();
        }
    }

    /// Waits until the condition returns a value; it is checked at once and after each notification.
    pub(crate) async fn wait_for<T>(&self, mut condition: impl FnMut() -> Option<T>) -> T {
        let waiter = Waiter {
            notify: self,
            id: self.next_id.get(),
        };
        self.next_id.set(waiter.id + 1);
        poll_fn(|context| match condition() {
            Some(value) => Poll::Ready(value),
            None => {
                waiter.register(context);
                Poll::Pending
            }
        })
        .await
    }
}

impl Waiter<'_> {
    fn register(&self, context: &Context<'_>) {
        let mut wakers = self.notify.wakers.borrow_mut();
        match wakers.get_mut(&self.id) {
            Some(waker) => waker.clone_from(context.waker()),
            None => {
                wakers.insert(self.id, context.waker().clone());
            }
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.notify.wakers.borrow_mut().remove(&self.id);
    }
}
