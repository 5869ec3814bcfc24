//! This router's share of limits that apply to all routers together.
//!
//! Callers reach routers unevenly, so limits are divided by the requests that each router counts. Every router reports
//! its count with its presence record; a router that has not reported for [`PRESENCE_TIMEOUT_MS`] no longer counts.
//! Half of each fixed amount is divided evenly, so that a router whose traffic has just begun has a share too.
//!
//! Reports can be read again, in an older state, after the store has returned from an older copy. A process numbers its
//! reports, and a report counts only if it is newer than those known of its process and the process has neither left nor
//! been replaced on its VM.

use std::collections::VecDeque;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::congestion::FleetCongestion;
use crate::holders::Candidate;

/// Time without a report after which a router of a small fleet counts as gone; three report intervals.
pub const PRESENCE_TIMEOUT_MS: u64 = 6_500;

/// Number of routers that is assumed while no presence record is known.
const ASSUMED_ROUTERS: u64 = 12;

/// Number of routers that can make their periodic calls to the store at the shortest intervals.
///
/// The store charges for the calls of the whole fleet and limits their rate, so the intervals of a larger fleet grow by
/// whole multiples.
const ROUTERS_AT_BASE_INTERVAL: u64 = 16;

/// Largest factor by which intervals grow; the information of a router must not become older than operators allow.
const MAX_INTERVAL_FACTOR: u64 = 4;

/// Share of the allowed retries that is used, in percent; the rest covers differences between the windows of routers.
const RETRY_UTILISATION_PERCENT: u64 = 70;

/// Time for which a router that has not reported in time may still run, cut off from the store.
const EXPIRED_RETENTION_MS: u64 = 600_000;

/// Maximum number of processes whose last reports are remembered.
const MAX_KNOWN_PROCESSES: usize = 1_024;

/// Divisor of the weight of a congested VM in the choice of the routers that hold rights.
///
/// It is so large that such a VM keeps hardly any team, and finite so that the order stays defined if all are congested.
const CONGESTED_WEIGHT_DIVISOR: u32 = 64;

/// What a router reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Data centre of the router's VM.
    pub data_centre: CompactString,
    /// Random id of the process.
    pub router: u64,
    /// Requests in the last window, over all services.
    pub requests: u64,
    /// Address for datagrams from other routers.
    pub peer_address: Option<SocketAddr>,
    /// Capacity of the VM, in thousandths of an ordinary one.
    #[serde(default = "ordinary_weight")]
    pub weight_permille: u32,
    /// Whether the router is shutting down.
    pub is_leaving: bool,
    /// Whether the VM has been congested for some time, see [`crate::congestion`].
    #[serde(default)]
    pub is_congested: bool,
    /// Number of the report, counted by the process; earlier versions state none.
    #[serde(default)]
    pub sequence: Option<u64>,
}

/// Returns the weight of a router whose report states none.
fn ordinary_weight() -> u32 {
    1_000
}

/// What is remembered of the reports of one process.
#[derive(Clone, Copy, Debug)]
struct KnownProcess {
    sequence: Option<u64>,
    /// Whether the process has left or was replaced by another one on its VM.
    has_ended: bool,
    read_ms: u64,
}

/// Routers that reported recently, by VM.
#[derive(Clone, Debug, Default)]
pub struct ActiveRouters {
    present: FastMap<CompactString, (Presence, u64)>,
    /// Processes by their random ids, whether they are present or not.
    known: FastMap<u64, KnownProcess>,
    /// Routers that have neither left nor reported in time, with the time of their last report.
    expired: FastMap<CompactString, (Presence, u64)>,
    generation: u64,
    candidate_generation: u64,
}

impl ActiveRouters {
    /// Applies a report; a router without a report, or with one that it is leaving, is removed. A report that is not
    /// newer than those known, or from a process that has ended, changes nothing.
    pub fn apply(&mut self, vm: CompactString, presence: Option<Presence>, now_ms: u64) {
        if let Some(presence) = &presence {
            if !self.is_news(presence) {
                return;
            }
            self.remember(&vm, presence, now_ms);
        }
        self.expired.remove(&vm);
        match presence {
            Some(presence) if !presence.is_leaving => {
                let candidate = |presence: &Presence| {
                    let data_centre = presence.data_centre.clone();
                    let weight_permille = presence.weight_permille;
                    let is_congested = presence.is_congested;
                    (
                        data_centre,
                        presence.peer_address,
                        weight_permille,
                        is_congested,
                    )
                };
                let after = candidate(&presence);
                let before = self.present.insert(vm, (presence, now_ms));
                let before = before.map(|(before, _)| candidate(&before));
                if before.as_ref() != Some(&after) {
                    self.generation += 1;
                }
                let (data_centre, address, weight_permille, _) = after;
                let is_same_candidate = before.is_some_and(|(before, at, weight, _)| {
                    before == data_centre && at == address && weight == weight_permille
                });
                if !is_same_candidate {
                    self.candidate_generation += 1;
                }
            }
            _ => {
                if self.present.remove(&vm).is_some() {
                    self.generation += 1;
                    self.candidate_generation += 1;
                }
            }
        }
    }

    fn is_news(&self, presence: &Presence) -> bool {
        let Some(known) = self.known.get(&presence.router) else {
            return true;
        };
        let is_newer = match (presence.sequence, known.sequence) {
            (Some(sequence), Some(known)) => sequence > known,
            _ => true,
        };
        is_newer && !known.has_ended
    }

    /// Remembers a report, and that the process before it on the same VM has ended.
    fn remember(&mut self, vm: &str, presence: &Presence, now_ms: u64) {
        if let Some((previous, _)) = self.present.get(vm) {
            if previous.router != presence.router {
                if let Some(known) = self.known.get_mut(&previous.router) {
                    known.has_ended = true;
                }
            }
        }
        let is_known = self.known.contains_key(&presence.router);
        if !is_known && self.known.len() >= MAX_KNOWN_PROCESSES {
            let oldest = self.known.iter();
            let oldest = oldest.min_by_key(|(router, known)| (known.read_ms, **router));
            if let Some(oldest) = oldest.map(|(router, _)| *router) {
                self.known.remove(&oldest);
            }
        }
        let known = KnownProcess {
            sequence: presence.sequence,
            has_ended: presence.is_leaving,
            read_ms: now_ms,
        };
        self.known.insert(presence.router, known);
    }

    /// Removes routers that have not reported in time.
    pub fn expire(&mut self, now_ms: u64) {
        let timeout_ms = PRESENCE_TIMEOUT_MS * self.interval_factor();
        let before = self.present.len();
        let expired = &mut self.expired;
        self.present.retain(|vm, (presence, at_ms)| {
            let is_present = now_ms.saturating_sub(*at_ms) < timeout_ms;
            if !is_present {
                expired.insert(vm.clone(), (presence.clone(), *at_ms));
            }
            is_present
        });
        expired.retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < EXPIRED_RETENTION_MS);
        if self.present.len() < before {
            self.generation += 1;
            self.candidate_generation += 1;
        }
    }

    /// Returns the routers that may still run although they have not reported in time, because they are cut off from the
    /// store.
    pub fn expired_candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        candidates_of(&self.expired)
    }

    /// Returns a number that changes whenever [`ActiveRouters::candidates`] or [`ActiveRouters::rights_candidates`] does.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns a number that changes whenever [`ActiveRouters::candidates`] or their addresses do; congestion of VMs
    /// changes neither.
    pub fn candidate_generation(&self) -> u64 {
        self.candidate_generation
    }

    /// Returns the routers that can hold rights, with little weight for those on congested VMs.
    ///
    /// If more than half of the routers of a data centre are congested, the reason is not one of their VMs, and the rights stay.
    pub fn rights_candidates(&self) -> Vec<Candidate<'_>> {
        let mut congested: FastMap<&str, (usize, usize)> = FastMap::default();
        for (presence, _) in self.present.values() {
            let (all, count) = congested.entry(&presence.data_centre).or_default();
            *all += 1;
            *count += usize::from(presence.is_congested);
        }
        let is_exception = |data_centre: &str| {
            let counts = congested.get(data_centre);
            counts.is_some_and(|(all, count)| count * 2 <= *all)
        };
        let mut candidates: Vec<_> = self.candidates().collect();
        for candidate in &mut candidates {
            let is_congested = self.present[candidate.vm].0.is_congested;
            if is_congested && is_exception(candidate.data_centre) {
                candidate.weight_permille /= CONGESTED_WEIGHT_DIVISOR;
            }
        }
        candidates
    }

    /// Returns how many of the routers except the one on `vm` are congested.
    pub fn congestion_beside(&self, vm: &str, data_centre: &str) -> FleetCongestion {
        let mut fleet = FleetCongestion::default();
        let others = self.present.iter().filter(|(name, _)| *name != vm);
        for (_, (presence, _)) in others {
            let congested = usize::from(presence.is_congested);
            fleet.others += 1;
            fleet.congested_others += congested;
            if presence.data_centre == data_centre {
                fleet.local_others += 1;
                fleet.congested_local_others += congested;
            }
        }
        fleet
    }

    /// Returns the routers with the weights of their VMs.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate<'_>> {
        candidates_of(&self.present)
    }

    /// Returns the address for datagrams of the router on a VM.
    pub fn address_of(&self, vm: &str) -> Option<SocketAddr> {
        self.present.get(vm)?.0.peer_address
    }

    /// Returns the ids of the routers' processes.
    pub fn processes(&self) -> impl Iterator<Item = u64> + '_ {
        self.present.values().map(|(presence, _)| presence.router)
    }

    /// Returns the address for datagrams of a router's process.
    pub fn process_address(&self, router: u64) -> Option<SocketAddr> {
        let mut present = self.present.values();
        let (presence, _) = present.find(|(presence, _)| presence.router == router)?;
        presence.peer_address
    }

    /// Returns whether an address is that of a router.
    pub fn is_member(&self, address: SocketAddr) -> bool {
        let mut present = self.present.values();
        present.any(|(presence, _)| presence.peer_address == Some(address))
    }

    /// Postpones the expiry of all reports by a time in which none could be read.
    pub fn postpone_expiry(&mut self, unread_ms: u64) {
        for (_, at_ms) in self.present.values_mut() {
            *at_ms += unread_ms;
        }
    }

    /// Returns the number of routers; an assumed number while no report is known.
    pub fn count(&self) -> u64 {
        match self.present.len() as u64 {
            0 => ASSUMED_ROUTERS,
            count => count,
        }
    }

    /// Returns the factor by which the intervals of periodic calls to the store grow with the size of the fleet.
    pub fn interval_factor(&self) -> u64 {
        (self.count() / ROUTERS_AT_BASE_INTERVAL).clamp(1, MAX_INTERVAL_FACTOR)
    }

    /// Returns the addresses of all routers except the one on `vm`.
    pub fn peers<'a>(&'a self, vm: &'a str) -> impl Iterator<Item = SocketAddr> + 'a {
        self.present
            .iter()
            .filter(move |(name, _)| *name != vm)
            .filter_map(|(_, (presence, _))| presence.peer_address)
    }

    /// Returns the share of the router on `vm` in an amount: half is divided evenly and half in proportion to requests.
    pub fn share(&self, vm: &str, amount: u64) -> u64 {
        let even = amount / 2 / self.count();
        let total: u64 = self.present.values().map(|(p, _)| p.requests).sum();
        let own = self.present.get(vm).map_or(0, |(p, _)| p.requests);
        let by_requests = (amount / 2 * own).checked_div(total).unwrap_or(0);
        even + by_requests
    }
}

fn candidates_of(
    reports: &FastMap<CompactString, (Presence, u64)>,
) -> impl Iterator<Item = Candidate<'_>> {
    reports.iter().map(|(vm, (presence, _))| Candidate {
        vm,
        data_centre: &presence.data_centre,
        weight_permille: presence.weight_permille,
    })
}

/// Counts events in a sliding window of whole buckets.
#[derive(Clone, Debug, Default)]
struct SlidingWindowCounter {
    buckets: VecDeque<(u64, u64)>,
}

impl SlidingWindowCounter {
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

/// Limits how many requests of one service are sent to a second upstream.
#[derive(Clone, Debug, Default)]
pub struct RetryLimiter {
    requests: SlidingWindowCounter,
    retries: SlidingWindowCounter,
}

/// Limit on retries over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRule {
    /// Retries allowed per thousand requests.
    pub ratio_permille: u64,
    /// Retries allowed in addition, over all routers.
    pub slack: u64,
    /// Length of the sliding window.
    pub window_ms: u64,
}

impl RetryLimiter {
    /// Counts a request of a caller.
    pub fn count_request(&mut self, now_ms: u64) {
        self.requests.add(now_ms);
    }

    /// Returns the number of requests in the window.
    pub fn recent_requests(&mut self, rule: RetryRule, now_ms: u64) -> u64 {
        self.requests.sum(rule.window_ms, now_ms)
    }

    /// Returns whether the limit allows a retry; `slack` is this router's share of [`RetryRule::slack`].
    pub fn allows_retry(&mut self, rule: RetryRule, slack: u64, now_ms: u64) -> bool {
        self.remaining_retries(rule, slack, now_ms) > 0
    }

    /// Returns how many retries the limit allows now.
    pub fn remaining_retries(&mut self, rule: RetryRule, slack: u64, now_ms: u64) -> u64 {
        let requests = self.requests.sum(rule.window_ms, now_ms);
        let allowed =
            (requests * rule.ratio_permille / 1_000 + slack) * RETRY_UTILISATION_PERCENT / 100;
        allowed.saturating_sub(self.retries.sum(rule.window_ms, now_ms))
    }

    /// Counts a retry if the limit allows one; returns whether it does.
    pub fn try_retry(&mut self, rule: RetryRule, slack: u64, now_ms: u64) -> bool {
        let is_allowed = self.allows_retry(rule, slack, now_ms);
        if is_allowed {
            self.retries.add(now_ms);
        }
        is_allowed
    }
}
