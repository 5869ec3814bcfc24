//! Queue in front of the upstreams, early refusal and the retry budget.
//!
//! A request that cannot be complete within its contract's time limit is refused at once, because work on a response
//! that comes too late is lost for everybody. What waits is ordered by priority, then by fairness between customers, then
//! by deadline. See `docs/policies/admission.md`.

use crate::contract::Priority;
use crate::ids::CustomerKey;

mod capacity;
mod fair;
mod retry;

use fair::FairQueue;

pub use capacity::{router_share, CapacityShare, PeerLoad, ShareLimit, SHARE_INCREASE_DELAY_MS};
pub use retry::RetryBudget;

/// Shortest advice for a retry.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Longest advice for a retry; a longer queue estimate says little about the time at which it ends.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Slots of which one is kept free for the high class while it sends requests.
///
/// A request with little time to spare cannot wait for the next slot that the lower classes leave. One slot in 16 costs
/// them at most 6% and is used by the high class itself under load.
const SLOTS_PER_RESERVED: u32 = 16;

/// Fewest slots of which one is kept free.
const MIN_SLOTS_TO_RESERVE: u32 = 8;

/// Time over which the arriving work of each class is averaged.
const RATE_PERIOD_MS: u64 = 1_000;

/// Weight of the newest period in the average, as a divisor.
const RATE_DIVISOR: u64 = 16;

/// Least part of the slots that is counted on for a class, as a divisor, however much the higher classes send.
const MIN_RATE_DIVISOR: u64 = 50;

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
pub enum AdmissionDecision {
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
///
/// The higher class always goes first, so it waits for nothing but the next slot that becomes free.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: [FairQueue; 3],
    slots: u32,
    in_flight: u32,
    mean_service_ms: u64,
    mean_expected_ms: u64,
    arriving_ms: [u64; 3],
    rates_ms: [u64; 3],
    period_start_ms: u64,
}

impl Queue {
    /// Sets the number of requests that this router may have at the pool's upstreams.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets the number of requests that this router has at the pool's upstreams now.
    ///
    /// With it the lower classes leave a place to the high one, and a full pool counts in the expected wait.
    pub fn set_in_flight(&mut self, requests: u32) {
        self.in_flight = requests;
    }

    /// Takes a request or refuses it.
    pub fn offer(&mut self, request: Request, now_ms: u64) -> AdmissionDecision {
        self.update_rates(now_ms);
        let wait_ms = self.wait_ms(&request);
        let ready_ms = now_ms
            .saturating_add(wait_ms)
            .saturating_add(request.service_ms);
        if self.slots == 0 || ready_ms > request.deadline_ms {
            return AdmissionDecision::Refused {
                retry_after_ms: retry_after_ms(ready_ms.saturating_sub(request.deadline_ms)),
            };
        }
        self.arriving_ms[request.priority as usize] += request.service_ms;
        self.classes[request.priority as usize].push(request);
        AdmissionDecision::Queued
    }

    /// Returns the next request that leaves; the caller asks only while it has a free place, until it gets `None`.
    pub fn next(&mut self, now_ms: u64) -> Option<Departure> {
        for class in 0..self.classes.len() {
            if class > 0 && self.in_flight >= self.usable_slots(class) {
                return None;
            }
            let is_in_time = |request: &Request| now_ms + request.service_ms <= request.deadline_ms;
            let Some((request, is_dispatched)) = self.classes[class].pop(is_in_time) else {
                continue;
            };
            if is_dispatched {
                self.mean_expected_ms = average_ms(self.mean_expected_ms, request.service_ms);
                return Some(Departure::Dispatch(request));
            }
            let late_ms = (now_ms + request.service_ms).saturating_sub(request.deadline_ms);
            let retry_after_ms = retry_after_ms(late_ms + self.wait_ms(&request));
            return Some(Departure::Refuse {
                request,
                retry_after_ms,
            });
        }
        None
    }

    /// Notes that a dispatched request ended after `service_ms` at the upstream.
    pub fn record_completion(&mut self, service_ms: u64) {
        self.mean_service_ms = average_ms(self.mean_service_ms, service_ms);
    }

    /// Removes a request whose caller has gone; returns whether it waited.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.classes.iter_mut().any(|class| class.remove(ticket))
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.classes.iter().map(FairQueue::len).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the slots that a class may fill; the classes below the first leave some to it.
    fn usable_slots(&self, class: usize) -> u32 {
        let high = Priority::High as usize;
        let is_high_active = self.rates_ms[high] > 0;
        if class == high || !is_high_active || self.slots < MIN_SLOTS_TO_RESERVE {
            return self.slots;
        }
        self.slots - self.slots.div_ceil(SLOTS_PER_RESERVED)
    }

    /// Returns the time that a request is expected to wait.
    fn wait_ms(&self, request: &Request) -> u64 {
        let class = request.priority as usize;
        let higher_ms: u64 = self.classes[..class]
            .iter()
            .map(FairQueue::service_ms)
            .sum();
        let same_ms = self.classes[class].ahead_ms(request.customer, request.service_ms);
        let ahead_ms = higher_ms + same_ms;
        let usable_slots = self.usable_slots(class);
        if ahead_ms == 0 && self.in_flight < usable_slots {
            return 0;
        }
        let slots = u64::from(usable_slots.max(1));
        // Work that arrives later in a higher class goes first as well.
        let all_ms = slots * RATE_PERIOD_MS;
        let higher_rate_ms = self.corrected_ms(self.rates_ms[..class].iter().sum());
        let rate_ms = all_ms
            .saturating_sub(higher_rate_ms)
            .max(all_ms / MIN_RATE_DIVISOR)
            .max(1);
        let next_slot_ms = self.mean_service_ms / slots;
        next_slot_ms + self.corrected_ms(ahead_ms).saturating_mul(RATE_PERIOD_MS) / rate_ms
    }

    /// Returns the time that work really takes, by the ratio of recent service times to what was expected of them.
    ///
    /// Callers of this module expect rather too much, because a response may end before its maximum of tokens.
    fn corrected_ms(&self, expected_ms: u64) -> u64 {
        if self.mean_service_ms == 0 || self.mean_expected_ms == 0 {
            return expected_ms;
        }
        expected_ms.saturating_mul(self.mean_service_ms) / self.mean_expected_ms
    }

    /// Averages the work that each class has sent, once a period.
    fn update_rates(&mut self, now_ms: u64) {
        let periods = now_ms.saturating_sub(self.period_start_ms) / RATE_PERIOD_MS;
        if periods > 0 {
            self.period_start_ms += periods * RATE_PERIOD_MS;
            for (rate_ms, arriving_ms) in self.rates_ms.iter_mut().zip(&mut self.arriving_ms) {
                *rate_ms -= *rate_ms / RATE_DIVISOR;
                *rate_ms += std::mem::take(arriving_ms) / RATE_DIVISOR;
                if periods > RATE_DIVISOR {
                    *rate_ms = 0;
                }
            }
        }
    }
}

/// Moves an average by a sixteenth of the difference to a new value; the first value is the first average.
fn average_ms(average_ms: u64, value_ms: u64) -> u64 {
    if average_ms == 0 {
        return value_ms;
    }
    (average_ms * 15 + value_ms) / 16
}

/// Returns the advice for a caller whose response would have been late by this time.
///
/// By then the queue has become shorter by what was too much, if no more requests come than now.
fn retry_after_ms(late_ms: u64) -> u64 {
    late_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
