//! This router's part of limits that hold over all routers.
//!
//! Callers reach routers unevenly, so a limit is split by the requests that each router counts. Every router reports
//! its counts with its presence record; a router that has not reported for [`PRESENCE_TIMEOUT_MS`] no longer counts.
//! Half of each fixed allowance is split evenly, so that a router whose traffic has just begun has a part, too.

use std::collections::VecDeque;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::collections::FastMap;

/// Time without a report after which a router of a small fleet is taken as gone; three reports.
pub const PRESENCE_TIMEOUT_MS: u64 = 6_500;

/// ActiveRouters that are assumed until the first presence records are read.
const ASSUMED_ROUTERS: u64 = 12;

/// ActiveRouters up to which control calls are made at their shortest intervals. The calls of the whole fleet to the store are
/// priced and limited, so each router of a larger one calls less often.
const UNPACED_ROUTERS: u64 = 16;

/// Largest factor by which intervals grow; what a router believes must stay younger than operators allow.
const MAX_PACE: u64 = 4;

/// Part of the allowed retries that is used, in percent; the rest covers windows that the parts do not see alike.
const USED_PERCENT: u64 = 70;

/// What a router reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Data centre.
    pub data_centre: CompactString,
    /// Random id of the process.
    pub router: u64,
    /// Requests in the last window, over all services.
    pub requests: u64,
    /// Address for notices of other routers.
    pub peer_address: Option<SocketAddr>,
    /// Whether the router stops.
    pub is_leaving: bool,
}

/// The routers that are present, by VM.
#[derive(Clone, Debug, Default)]
pub struct ActiveRouters {
    present: FastMap<CompactString, (Presence, u64)>,
}

impl ActiveRouters {
    /// Notes a report; without one the router is gone.
    pub fn apply(&mut self, vm: CompactString, presence: Option<Presence>, now_ms: u64) {
        match presence {
            Some(presence) if !presence.is_leaving => {
                self.present.insert(vm, (presence, now_ms));
            }
            _ => {
                self.present.remove(&vm);
            }
        }
    }

    /// Removes routers that have not reported in time.
    pub fn expire(&mut self, now_ms: u64) {
        let timeout_ms = PRESENCE_TIMEOUT_MS * self.interval_factor();
        self.present
            .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < timeout_ms);
    }

    /// Lets all reports count as so much younger, after a time in which none could be read.
    pub fn postpone_expiry(&mut self, unread_ms: u64) {
        for (_, at_ms) in self.present.values_mut() {
            *at_ms += unread_ms;
        }
    }

    /// Returns the number of routers.
    pub fn count(&self) -> u64 {
        match self.present.len() as u64 {
            0 => ASSUMED_ROUTERS,
            count => count,
        }
    }

    /// Returns the factor by which the intervals of control calls grow with the fleet.
    pub fn interval_factor(&self) -> u64 {
        (self.count() / UNPACED_ROUTERS).clamp(1, MAX_PACE)
    }

    /// Returns the addresses of all routers but this one.
    pub fn peers<'a>(&'a self, vm: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        self.present
            .iter()
            .filter(move |(name, _)| *name != vm)
            .filter_map(|(_, (presence, _))| presence.peer_address)
    }

    /// Returns this router's part of an amount, half of it even and half by requests.
    pub fn share(&self, vm: &str, amount: u64) -> u64 {
        let even = amount / 2 / self.count();
        let total: u64 = self.present.values().map(|(p, _)| p.requests).sum();
        let own = self.present.get(vm).map_or(0, |(p, _)| p.requests);
        let by_requests = (amount / 2 * own).checked_div(total).unwrap_or(0);
        even + by_requests
    }
}

/// Counts events in a sliding window of whole buckets.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: VecDeque<(u64, u64)>,
}

impl Window {
    fn add(&mut self, now_ms: u64) {
        /// Width of a bucket.
        const BUCKET_MS: u64 = 250;
        let bucket = now_ms / BUCKET_MS * BUCKET_MS;
        match self.buckets.back_mut() {
            Some((at_ms, count)) if *at_ms == bucket => *count += 1,
            _ => self.buckets.push_back((bucket, 1)),
        }
    }

    fn sum(&mut self, window_ms: u64, now_ms: u64) -> u64 {
        while self
            .buckets
            .front()
            .is_some_and(|(at_ms, _)| at_ms + window_ms < now_ms)
        {
            self.buckets.pop_front();
        }
        self.buckets.iter().map(|(_, count)| count).sum()
    }
}

/// Limit on the requests of one service that are sent to a second upstream.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    requests: Window,
    retries: Window,
}

/// The limit as all routers share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRule {
    /// Retries for a thousand requests.
    pub ratio_permille: u64,
    /// Retries that are allowed besides, over all routers.
    pub slack: u64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

impl RetryLimiter {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, now_ms: u64) {
        self.requests.add(now_ms);
    }

    /// Returns the requests in the window.
    pub fn recent_requests(&mut self, rule: RetryRule, now_ms: u64) -> u64 {
        self.requests.sum(rule.window_ms, now_ms)
    }

    /// Returns whether the limit allows a retry; `slack` is this router's part.
    pub fn allows_retry(&mut self, rule: RetryRule, slack: u64, now_ms: u64) -> bool {
        let requests = self.requests.sum(rule.window_ms, now_ms);
        let allowed = (requests * rule.ratio_permille / 1_000 + slack) * USED_PERCENT / 100;
        self.retries.sum(rule.window_ms, now_ms) < allowed
    }

    /// Takes a retry if the limit allows one.
    pub fn try_retry(&mut self, rule: RetryRule, slack: u64, now_ms: u64) -> bool {
        let is_allowed = self.allows_retry(rule, slack, now_ms);
        if is_allowed {
            self.retries.add(now_ms);
        }
        is_allowed
    }
}
