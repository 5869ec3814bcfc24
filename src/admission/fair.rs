//! Fair queue of one priority class.
//!
//! The algorithm is start-time fair queueing. Each customer has a start tag: the virtual time at which its next request
//! would start if all customers shared the class equally, measured by cost. The customer with the smallest start tag is
//! served first, so a customer that sends many requests waits behind its own backlog and does not delay others. Unlike
//! deficit round robin it needs no quantum, which would be hard to choose for costs that differ by a factor of a
//! thousand. The requests of one customer are ordered by deadline.

use std::collections::{BTreeMap, BTreeSet};

use super::Request;
use crate::collections::FastMap;
use crate::ids::CustomerKey;

/// Maximum number of customers without queued requests before stale ones are evicted.
const MAX_IDLE_CUSTOMERS: usize = 256;

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    /// Requests by deadline and ticket.
    requests: BTreeMap<(u64, u64), Request>,
    start_tag: u64,
    finish_tag: u64,
    service_ms: u64,
}

/// Queued requests of one class.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    customers: FastMap<CustomerKey, CustomerQueue>,
    /// Start tags of the customers with queued requests.
    order: BTreeSet<(u64, CustomerKey)>,
    /// Customer and deadline of each request, by ticket.
    tickets: FastMap<u64, (CustomerKey, u64)>,
    virtual_time: u64,
    len: usize,
    service_ms: u64,
}

impl FairQueue {
    /// Adds a request.
    pub(super) fn push(&mut self, request: Request) {
        self.evict_idle();
        let customer = self.customers.entry(request.customer).or_default();
        if customer.requests.is_empty() {
            customer.start_tag = customer.finish_tag.max(self.virtual_time);
            self.order.insert((customer.start_tag, request.customer));
        }
        let key = (request.deadline_ms, request.ticket);
        self.tickets
            .insert(request.ticket, (request.customer, request.deadline_ms));
        if customer.requests.insert(key, request).is_none() {
            customer.service_ms += request.service_ms;
            self.service_ms += request.service_ms;
            self.len += 1;
        }
    }

    /// Removes and returns the next request, with the result of `is_dispatched`; if that is false, the customer keeps
    /// its start tag.
    pub(super) fn pop(
        &mut self,
        is_dispatched: impl Fn(&Request) -> bool,
    ) -> Option<(Request, bool)> {
        let &(start_tag, key) = self.order.first()?;
        let customer = self.customers.get_mut(&key)?;
        let (_, request) = customer.requests.pop_first()?;
        customer.service_ms -= request.service_ms;
        self.tickets.remove(&request.ticket);
        self.service_ms -= request.service_ms;
        self.len -= 1;
        let is_dispatched = is_dispatched(&request);
        self.order.pop_first();
        if is_dispatched {
            self.virtual_time = start_tag;
            customer.finish_tag = start_tag + request.cost_tokens.max(1);
            customer.start_tag = customer.finish_tag;
        }
        if !customer.requests.is_empty() {
            self.order.insert((customer.start_tag, key));
        }
        Some((request, is_dispatched))
    }

    /// Removes a request whose caller has disconnected; returns whether it was queued.
    pub(super) fn remove(&mut self, ticket: u64) -> bool {
        let Some((customer, deadline_ms)) = self.tickets.remove(&ticket) else {
            return false;
        };
        let Some(queue) = self.customers.get_mut(&customer) else {
            return false;
        };
        let Some(request) = queue.requests.remove(&(deadline_ms, ticket)) else {
            return false;
        };
        queue.service_ms -= request.service_ms;
        self.service_ms -= request.service_ms;
        self.len -= 1;
        if queue.requests.is_empty() {
            self.order.remove(&(queue.start_tag, customer));
        }
        true
    }

    /// Returns the queued work that is dispatched before a new request of a customer.
    ///
    /// Of each other customer, fair queueing dispatches at most as much work first as the customer itself has queued,
    /// the new request included.
    pub(super) fn ahead_ms(&self, customer: CustomerKey, service_ms: u64) -> u64 {
        let own_ms = self
            .customers
            .get(&customer)
            .map_or(0, |queue| queue.service_ms);
        let own_total_ms = own_ms + service_ms;
        let others_ms: u64 = self
            .order
            .iter()
            .filter(|(_, key)| *key != customer)
            .filter_map(|(_, key)| self.customers.get(key))
            .map(|queue| queue.service_ms.min(own_total_ms))
            .sum();
        own_ms + others_ms
    }

    /// Returns the sum of the expected service times of all queued requests.
    pub(super) fn service_ms(&self) -> u64 {
        self.service_ms
    }

    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Evicts idle customers whose finish tag is in the past; their next request starts at the current virtual time in
    /// any case.
    fn evict_idle(&mut self) {
        if self.customers.len() > self.order.len() + MAX_IDLE_CUSTOMERS {
            let virtual_time = self.virtual_time;
            self.customers
                .retain(|_, queue| !queue.requests.is_empty() || queue.finish_tag > virtual_time);
        }
    }
}
