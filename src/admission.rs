//! Admission control: a queue in front of the upstreams, early refusal and the retry budget.
//!
//! A request whose response cannot be complete within the time limit of its contract is refused at once, because
//! capacity spent on a late response is wasted. Queued requests are ordered by priority, then by fairness between
//! customers, then by deadline. See `docs/policies/admission.md`.

use crate::contract::Priority;
use crate::ids::CustomerKey;

mod capacity;
mod fair;
mod retry;

use fair::FairQueue;

pub use capacity::{router_share, CapacityShare, PeerLoad, ShareLimit, SHARE_INCREASE_DELAY_MS};
pub use retry::RetryBudget;

/// Lower bound of the retry delay returned with a refusal.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Upper bound of the retry delay; estimates for a longer queue are too inaccurate to be useful.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Number of slots for each slot that is reserved for the high class while that class is active.
///
/// A request with a tight deadline cannot wait until a lower class frees a slot. One reserved slot in 16 costs the
/// lower classes at most 6% of the capacity, and the high class uses it itself under load.
const SLOTS_PER_RESERVED: u32 = 16;

/// Smallest number of slots at which a slot is reserved.
const MIN_SLOTS_TO_RESERVE: u32 = 8;

/// Period over which the work that arrives in each class is summed before it enters the moving average.
const RATE_PERIOD_MS: u64 = 1_000;

/// Weight of the newest period in the moving average, as a divisor.
const RATE_DIVISOR: u64 = 16;

/// Smallest share of the slots that the wait estimate assumes for a class, as a divisor, whatever the arrival rate of
/// the higher classes.
const MIN_RATE_DIVISOR: u64 = 50;

/// A request for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifier of the request, assigned by the user of the queue.
    pub ticket: u64,
    /// Customer that sent the request.
    pub customer: CustomerKey,
    /// Priority class of the customer.
    pub priority: Priority,
    /// Time by which the response must be complete.
    pub deadline_ms: u64,
    /// Expected service time, from dispatch to the end of the response.
    pub service_ms: u64,
    /// Cost that fair queueing charges to the customer.
    pub cost_tokens: u64,
}

/// Result of [`Queue::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request is queued; [`Queue::next`] returns it later.
    Queued,
    /// The response could not be complete by the deadline.
    Refused {
        /// Time after which the queue is expected to be short enough.
        retry_after_ms: u64,
    },
}

/// A request that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The request must be dispatched now.
    Dispatch(Request),
    /// The response can no longer be complete by the deadline.
    Refuse {
        /// The request.
        request: Request,
        /// Time after which the queue is expected to be short enough.
        retry_after_ms: u64,
    },
}

/// Admission queue of one pool: the upstreams that serve one version of one route.
///
/// Classes have strict priority, so a request of the highest class waits for nothing but the next free slot.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    classes: [FairQueue; 3],
    slots: u32,
    in_flight: u32,
    /// Moving averages of the measured and of the expected service time.
    mean_service_ms: u64,
    mean_expected_ms: u64,
    /// Expected service time of the requests that arrived in the current period, by class.
    arriving_ms: [u64; 3],
    /// Moving average of `arriving_ms` over the past periods, by class.
    rates_ms: [u64; 3],
    period_start_ms: u64,
}

impl Queue {
    /// Sets the number of requests that this router may have in flight at the pool's upstreams.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets the number of requests that this router has in flight at the pool's upstreams.
    ///
    /// It determines whether the lower classes must leave the reserved slots free, and whether a new request has to
    /// wait for a slot.
    pub fn set_in_flight(&mut self, requests: u32) {
        self.in_flight = requests;
    }

    /// Queues a request, or refuses it if its response could not be complete by the deadline.
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

    /// Returns the next request to dispatch or refuse. Call it only while a slot is free, until it returns `None`.
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

    /// Records that a dispatched request completed after `service_ms` at the upstream.
    pub fn record_completion(&mut self, service_ms: u64) {
        self.mean_service_ms = average_ms(self.mean_service_ms, service_ms);
    }

    /// Removes a request whose caller has disconnected; returns whether it was queued.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.classes.iter_mut().any(|class| class.remove(ticket))
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(FairQueue::len).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the slots that a class may use, without those that are reserved for the high class.
    fn usable_slots(&self, class: usize) -> u32 {
        let high = Priority::High as usize;
        let is_high_active = self.rates_ms[high] > 0;
        if class == high || !is_high_active || self.slots < MIN_SLOTS_TO_RESERVE {
            return self.slots;
        }
        self.slots - self.slots.div_ceil(SLOTS_PER_RESERVED)
    }

    /// Returns the expected time in the queue for a new request.
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
        // Work that arrives later in a higher class is dispatched first as well.
        let all_ms = slots * RATE_PERIOD_MS;
        let higher_rate_ms = self.corrected_ms(self.rates_ms[..class].iter().sum());
        let rate_ms = all_ms
            .saturating_sub(higher_rate_ms)
            .max(all_ms / MIN_RATE_DIVISOR)
            .max(1);
        let next_slot_ms = self.mean_service_ms / slots;
        next_slot_ms + self.corrected_ms(ahead_ms).saturating_mul(RATE_PERIOD_MS) / rate_ms
    }

    /// Corrects an expected service time by the ratio of measured to expected service times of recent requests.
    ///
    /// Estimates tend to be too high, because a response may end before its maximum of tokens.
    fn corrected_ms(&self, expected_ms: u64) -> u64 {
        if self.mean_service_ms == 0 || self.mean_expected_ms == 0 {
            return expected_ms;
        }
        expected_ms.saturating_mul(self.mean_service_ms) / self.mean_expected_ms
    }

    /// Updates the moving average of the arrival rate of each class, once a period.
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

/// Updates a moving average with a weight of 1/16; the first value initialises it.
fn average_ms(average_ms: u64, value_ms: u64) -> u64 {
    if average_ms == 0 {
        return value_ms;
    }
    (average_ms * 15 + value_ms) / 16
}

/// Returns the retry delay for a request that would have been late by `late_ms`.
///
/// After that time the queue is shorter by the excess, if the arrival rate does not change.
fn retry_after_ms(late_ms: u64) -> u64 {
    late_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
