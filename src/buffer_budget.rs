//! Division of the memory that a process holds for its callers: heads and bodies of requests, and unread responses.
//!
//! Limits on single requests do not bound their sum, so all connections draw on one budget, by the bytes that they have
//! allocated and not by those that they declare. An address or a team gets a share of the budget only, so that a part is
//! left for others. A connection whose request makes no progress loses its place when another one needs it. See
//! `docs/design/buffer-budget.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Part of the budget that one address or one team leaves to others, as a divisor.
///
/// The share that remains for others holds one body of the usual limit, 4 MiB, on a VM with 88 MB.
const OTHERS_DIVISOR: usize = 8;

/// Part of the budget that requests without a known team may hold together, as a divisor.
///
/// Most of them are refused once they are complete, so they must not displace those of teams.
const UNKNOWN_DIVISOR: usize = 2;

/// Time without progress after which a request counts as stalled, in milliseconds.
///
/// The kernel repeats a lost segment after 200 ms and again after 400 ms; a caller that is slower than that for longer
/// is seldom served within its deadline.
pub const STALL_MS: u64 = 1_000;

/// Bytes of a request that count as progress. Fewer bytes would let a client keep its place by single ones.
pub const PROGRESS_BYTES: usize = 1 << 10;

/// Time after which an idle connection that has carried a request may be closed for a new one, in milliseconds.
pub const IDLE_MS: u64 = 5_000;

/// Identifies a connection that draws on the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// Why a connection may not hold more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The budget of the process is used up.
    Process,
    /// The share of the address is used up.
    Address,
    /// The share of the team, or of requests without a known team, is used up.
    Team,
}

impl Shortage {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Process => "process",
            Self::Address => "address",
            Self::Team => "team",
        }
    }
}

/// What a connection does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the next request since a time.
    Idle { since_ms: u64 },
    /// Receives a request, or awaits the first one; holds the time of the last progress and the bytes received since.
    Receiving {
        progress_ms: u64,
        received_bytes: usize,
    },
    /// Its request is being served.
    Serving,
}

#[derive(Clone, Debug)]
struct Holder {
    address: IpAddr,
    team: Option<CompactString>,
    input_bytes: usize,
    output_bytes: usize,
    phase: Phase,
}

impl Holder {
    fn held_bytes(&self) -> usize {
        self.input_bytes + self.output_bytes
    }
}

/// Memory of one process for its callers, and its use by connection, address and team.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    total_bytes: usize,
    held_bytes: usize,
    max_held_bytes: usize,
    next_id: u64,
    holders: FastMap<HolderId, Holder>,
    /// Callers choose their addresses, so these are not hashed.
    by_address: BTreeMap<IpAddr, usize>,
    by_team: BTreeMap<Option<CompactString>, usize>,
    /// Connections that receive a request, by the time of their last progress.
    receiving: BTreeSet<(u64, HolderId)>,
    /// Idle connections, by the time since which they are idle.
    idle: BTreeSet<(u64, HolderId)>,
}

impl BufferBudget {
    /// Creates a budget that nobody draws on yet.
    pub fn new(total_bytes: usize) -> Self {
        Self {
            total_bytes,
            held_bytes: 0,
            max_held_bytes: 0,
            next_id: 0,
            holders: FastMap::default(),
            by_address: BTreeMap::new(),
            by_team: BTreeMap::new(),
            receiving: BTreeSet::new(),
            idle: BTreeSet::new(),
        }
    }

    /// Adds a connection, which awaits its first request.
    pub fn open(&mut self, address: IpAddr, now_ms: u64) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            address,
            team: None,
            input_bytes: 0,
            output_bytes: 0,
            phase: Phase::Serving,
        };
        self.holders.insert(id, holder);
        self.begin_request(id, now_ms);
        id
    }

    /// Removes a connection and releases what it holds.
    pub fn close(&mut self, id: HolderId) {
        self.set_phase(id, Phase::Serving);
        if let Some(holder) = self.holders.remove(&id) {
            self.subtract(&holder, holder.held_bytes());
        }
    }

    /// Records that the connection receives the first bytes of a request.
    pub fn begin_request(&mut self, id: HolderId, now_ms: u64) {
        self.set_phase(
            id,
            Phase::Receiving {
                progress_ms: now_ms,
                received_bytes: 0,
            },
        );
    }

    /// Records that bytes of a request have arrived.
    pub fn record_received(&mut self, id: HolderId, bytes: usize, now_ms: u64) {
        let Some(Phase::Receiving {
            progress_ms,
            received_bytes,
        }) = self.holders.get(&id).map(|holder| holder.phase)
        else {
            return;
        };
        let received_bytes = received_bytes + bytes;
        let phase = if received_bytes >= PROGRESS_BYTES {
            Phase::Receiving {
                progress_ms: now_ms,
                received_bytes: 0,
            }
        } else {
            Phase::Receiving {
                progress_ms,
                received_bytes,
            }
        };
        self.set_phase(id, phase);
    }

    /// Records that the request is complete, so that its place is kept until it has been served.
    pub fn begin_serving(&mut self, id: HolderId) {
        self.set_phase(id, Phase::Serving);
    }

    /// Records that the connection waits for its next request, and releases what it holds.
    pub fn end_request(&mut self, id: HolderId, now_ms: u64) {
        self.set_phase(id, Phase::Idle { since_ms: now_ms });
        self.hold_input(id, 0);
        self.hold_output(id, 0);
        self.set_team(id, None);
    }

    /// Assigns the request of a connection to a team; `None` if the team is not known.
    pub fn set_team(&mut self, id: HolderId, team: Option<CompactString>) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let bytes = holder.held_bytes();
        let previous = std::mem::replace(&mut holder.team, team.clone());
        subtract_share(&mut self.by_team, &previous, bytes);
        if bytes > 0 {
            *self.by_team.entry(team).or_default() += bytes;
        }
    }

    /// Sets the input that a connection holds, provided that the budget and the shares allow it. Stalled requests that
    /// stand in the way are evicted and returned; what they hold counts as released.
    ///
    /// # Errors
    ///
    /// Returns what is used up, and the requests that were evicted nevertheless.
    pub fn resize_input(
        &mut self,
        id: HolderId,
        bytes: usize,
        now_ms: u64,
    ) -> Result<Vec<HolderId>, (Shortage, Vec<HolderId>)> {
        let held_bytes = self.holders.get(&id).map_or(0, |holder| holder.input_bytes);
        let evicted = self.make_room(id, bytes.saturating_sub(held_bytes), now_ms)?;
        self.hold_input(id, bytes);
        Ok(evicted)
    }

    /// Sets the output that a connection holds, under the conditions of [`Self::resize_input`].
    ///
    /// # Errors
    ///
    /// Returns what is used up, and the requests that were evicted nevertheless.
    pub fn resize_output(
        &mut self,
        id: HolderId,
        bytes: usize,
        now_ms: u64,
    ) -> Result<Vec<HolderId>, (Shortage, Vec<HolderId>)> {
        let held_bytes = self
            .holders
            .get(&id)
            .map_or(0, |holder| holder.output_bytes);
        let evicted = self.make_room(id, bytes.saturating_sub(held_bytes), now_ms)?;
        self.hold_output(id, bytes);
        Ok(evicted)
    }

    /// Sets the output that a connection holds in any case, for what has been received already.
    pub fn hold_output(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut holder.output_bytes, bytes);
        self.account(id, previous, bytes);
    }

    /// Returns what prevents a body of this size now, although stalled requests would be evicted for it.
    pub fn shortage_of(&self, id: HolderId, bytes: usize, now_ms: u64) -> Option<Shortage> {
        let holder = self.holders.get(&id)?;
        let shortage = self.shortage(holder, bytes)?;
        let stalled_bytes: usize = self
            .stalled(now_ms)
            .filter(|stalled| *stalled != id)
            .filter_map(|stalled| self.holders.get(&stalled))
            .filter(|stalled| contributes(stalled, holder, shortage))
            .map(Holder::held_bytes)
            .sum();
        self.shortage(holder, bytes.saturating_sub(stalled_bytes))
    }

    /// Evicts the connection that has made no progress for the longest time, to make place for a new connection: a
    /// stalled request first, then an idle connection.
    pub fn evict_connection(&mut self, now_ms: u64) -> Option<HolderId> {
        let stalled = self.stalled(now_ms).next();
        let idle = || {
            let (since_ms, id) = self.idle.first()?;
            (since_ms + IDLE_MS <= now_ms).then_some(*id)
        };
        let victim = stalled.or_else(idle)?;
        self.close(victim);
        Some(victim)
    }

    /// Returns the number of bytes that all connections hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the highest number of bytes that all connections held since the last call.
    pub fn take_max_held_bytes(&mut self) -> usize {
        std::mem::replace(&mut self.max_held_bytes, self.held_bytes)
    }

    /// Returns the size of the budget.
    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Returns the largest part of the budget that one address or one team may hold.
    pub fn share_bytes(&self) -> usize {
        self.total_bytes - self.total_bytes / OTHERS_DIVISOR
    }

    /// Evicts stalled requests until `growth` more bytes fit, the one without progress for the longest time first.
    fn make_room(
        &mut self,
        id: HolderId,
        growth: usize,
        now_ms: u64,
    ) -> Result<Vec<HolderId>, (Shortage, Vec<HolderId>)> {
        let mut evicted = Vec::new();
        loop {
            let Some(holder) = self.holders.get(&id) else {
                // Evicted before; its task ends without the bytes.
                return Err((Shortage::Process, evicted));
            };
            let Some(shortage) = self.shortage(holder, growth) else {
                return Ok(evicted);
            };
            let victim = self
                .stalled(now_ms)
                .filter(|stalled| *stalled != id)
                .find(|stalled| {
                    let stalled = self.holders.get(stalled);
                    stalled.is_some_and(|stalled| contributes(stalled, holder, shortage))
                });
            let Some(victim) = victim else {
                return Err((shortage, evicted));
            };
            self.close(victim);
            evicted.push(victim);
        }
    }

    /// Returns what `growth` more bytes of a connection would exceed.
    fn shortage(&self, holder: &Holder, growth: usize) -> Option<Shortage> {
        if growth == 0 {
            return None;
        }
        let of_address = self.by_address.get(&holder.address).copied();
        let of_team = self.by_team.get(&holder.team).copied();
        let team_limit = match holder.team {
            Some(_) => self.share_bytes(),
            None => self.total_bytes / UNKNOWN_DIVISOR,
        };
        if self.held_bytes + growth > self.total_bytes {
            Some(Shortage::Process)
        } else if of_address.unwrap_or_default() + growth > self.share_bytes() {
            Some(Shortage::Address)
        } else if of_team.unwrap_or_default() + growth > team_limit {
            Some(Shortage::Team)
        } else {
            None
        }
    }

    /// Returns the connections whose requests have stalled, the one without progress for the longest time first.
    fn stalled(&self, now_ms: u64) -> impl Iterator<Item = HolderId> + '_ {
        let receiving = self.receiving.iter();
        receiving
            .take_while(move |(progress_ms, _)| progress_ms + STALL_MS <= now_ms)
            .map(|(_, id)| *id)
    }

    fn set_phase(&mut self, id: HolderId, phase: Phase) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        match std::mem::replace(&mut holder.phase, phase) {
            Phase::Idle { since_ms } => self.idle.remove(&(since_ms, id)),
            Phase::Receiving { progress_ms, .. } => self.receiving.remove(&(progress_ms, id)),
            Phase::Serving => false,
        };
        match phase {
            Phase::Idle { since_ms } => self.idle.insert((since_ms, id)),
            Phase::Receiving { progress_ms, .. } => self.receiving.insert((progress_ms, id)),
            Phase::Serving => false,
        };
    }

    fn hold_input(&mut self, id: HolderId, bytes: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let previous = std::mem::replace(&mut holder.input_bytes, bytes);
        self.account(id, previous, bytes);
    }

    /// Replaces a number of bytes that a connection holds in all sums.
    fn account(&mut self, id: HolderId, previous_bytes: usize, bytes: usize) {
        let Some(holder) = self.holders.get(&id) else {
            return;
        };
        if bytes >= previous_bytes {
            let growth = bytes - previous_bytes;
            if growth > 0 {
                self.held_bytes += growth;
                self.max_held_bytes = self.max_held_bytes.max(self.held_bytes);
                *self.by_address.entry(holder.address).or_default() += growth;
                *self.by_team.entry(holder.team.clone()).or_default() += growth;
            }
        } else {
            let holder = holder.clone();
            self.subtract(&holder, previous_bytes - bytes);
        }
    }

    fn subtract(&mut self, holder: &Holder, bytes: usize) {
        self.held_bytes -= bytes;
        subtract_share(&mut self.by_address, &holder.address, bytes);
        subtract_share(&mut self.by_team, &holder.team, bytes);
    }
}

/// Subtracts from a sum, and removes it at zero, so that the map does not grow with the number of callers ever seen.
fn subtract_share<K: Ord>(sums: &mut BTreeMap<K, usize>, key: &K, bytes: usize) {
    if let Some(sum) = sums.get_mut(key) {
        *sum = sum.saturating_sub(bytes);
        if *sum == 0 {
            sums.remove(key);
        }
    }
}

/// Returns whether the eviction of a connection makes room for another one that a shortage stops.
fn contributes(stalled: &Holder, holder: &Holder, shortage: Shortage) -> bool {
    stalled.held_bytes() > 0
        && match shortage {
            Shortage::Process => true,
            Shortage::Address => stalled.address == holder.address,
            Shortage::Team => stalled.team == holder.team,
        }
}
