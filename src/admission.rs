//! Queue in front of the upstreams, early refusal and the retry budget.
//!
//! A request that cannot be complete within its contract's time limit is refused at once, because work on a response
//! that comes too late is lost for everybody. What waits is ordered by priority, then by fairness between customers, then
//! by deadline. See `docs/policies/admission.md`.

use std::collections::VecDeque;

use crate::contract::Priority;
use crate::ids::CustomerKey;

mod capacity;
mod retry;

pub use capacity::{CapacityShare, PeerLoad};
pub use retry::RetryBudget;

/// Shortest advice for a retry.
const SHORTEST_RETRY_AFTER_MS: u64 = 100;

/// Longest advice for a retry; a longer queue estimate says little about the time at which it ends.
const LONGEST_RETRY_AFTER_MS: u64 = 60_000;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Number by which the caller of this module knows the request.
    pub ticket: u64,
    /// Customer.
    pub customer: CustomerKey,
    /// Priority of the customer.
    pub priority: Priority,
    /// Time by which the whole response must be ready.
    pub deadline_ms: u64,
    /// Time that the response is expected to take once it is dispatched.
    pub service_ms: u64,
    /// Cost by which fairness between customers is measured.
    pub cost_tokens: u64,
}

/// Answer to a request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request waits; [`Queue::next`] returns it.
    Queued,
    /// The response could not be complete in time.
    Refused {
        /// Time after which the queue is expected to be short enough.
        retry_after_ms: u64,
    },
}

/// What leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The request shall be dispatched now.
    Dispatch(Request),
    /// The request can no longer be complete in time.
    Refuse {
        /// The request.
        request: Request,
        /// Time after which the queue is expected to be short enough.
        retry_after_ms: u64,
    },
}

/// Queue of one pool of upstreams: all that serve one version of one route.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: [VecDeque<Request>; 3],
    slots: u32,
}

impl Queue {
    /// Sets the number of requests that this router may have at the pool's upstreams.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Takes a request or refuses it.
    pub fn offer(&mut self, request: Request, now_ms: u64) -> Verdict {
        let wait_ms = self.wait_ms(request.priority, request.service_ms);
        if now_ms + wait_ms + request.service_ms > request.deadline_ms {
            return Verdict::Refused {
                retry_after_ms: self.retry_after_ms(request.priority, request.service_ms),
            };
        }
        self.classes[request.priority as usize].push_back(request);
        Verdict::Queued
    }

    /// Returns the next request that leaves; the caller asks again until it has no free upstream or gets `None`.
    pub fn next(&mut self, now_ms: u64) -> Option<Departure> {
        for class in 0..self.classes.len() {
            if let Some(request) = self.classes[class].pop_front() {
                if now_ms + request.service_ms > request.deadline_ms {
                    let retry_after_ms = self.retry_after_ms(request.priority, request.service_ms);
                    return Some(Departure::Refuse {
                        request,
                        retry_after_ms,
                    });
                }
                return Some(Departure::Dispatch(request));
            }
        }
        None
    }

    /// Removes a request whose caller has gone; returns whether it waited.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        let before = self.len();
        for class in &mut self.classes {
            class.retain(|request| request.ticket != ticket);
        }
        self.len() < before
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn wait_ms(&self, priority: Priority, service_ms: u64) -> u64 {
        let ahead: usize = self.classes[..=priority as usize]
            .iter()
            .map(VecDeque::len)
            .sum();
        ahead as u64 * service_ms / u64::from(self.slots.max(1))
    }

    fn retry_after_ms(&self, priority: Priority, service_ms: u64) -> u64 {
        self.wait_ms(priority, service_ms)
            .clamp(SHORTEST_RETRY_AFTER_MS, LONGEST_RETRY_AFTER_MS)
    }
}
