//! Choice of the routers that hold a team's spending rights, and of the order in which a router asks them.
//!
//! If every router of a large fleet held rights of every team, each part would be too small for one request. So a few
//! routers hold the rights of a team, and all others reserve the tokens of each request there. The holders follow from
//! the team's name and the routers that reported their presence, by weighted rendezvous hashing: a router that joins or
//! leaves changes the holders of only those teams that it holds itself. Views of the fleet may differ for some seconds,
//! which costs a detour but never tokens, because a holder spends only what the team's record grants it. See
//! `docs/design.md`, section 10.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::collections::FastMap;

/// Number of holders of a team.
///
/// With two of them in different data centres, one that is killed during an outage of the store takes half of the rights
/// with it, and each still holds enough for large requests.
pub const HOLDERS_PER_TEAM: usize = 2;

/// Number of routers after the holders that replace those that do not respond.
const SUBSTITUTES: usize = 3;

/// A router that can hold rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of its VM.
    pub vm: &'a str,
    /// Data centre of its VM.
    pub data_centre: &'a str,
    /// Capacity of its VM, in thousandths of an ordinary one.
    pub weight_permille: u32,
}

/// Returns the holders of a team followed by their substitutes, in an order that all routers with the same candidates
/// agree on.
///
/// Holders are in different data centres as far as possible.
pub fn rank<'a>(
    team: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<Candidate<'a>> {
    let seed = xxhash_rust::xxh3::xxh3_64(team.as_bytes());
    let mut ranked: Vec<(f64, Candidate<'a>)> = candidates
        .into_iter()
        .map(|candidate| (draw(seed, candidate), candidate))
        .collect();
    ranked.sort_by(|(a, left), (b, right)| a.total_cmp(b).then_with(|| left.vm.cmp(right.vm)));
    let mut order: Vec<Candidate<'a>> = Vec::with_capacity(HOLDERS_PER_TEAM + SUBSTITUTES);
    while order.len() < HOLDERS_PER_TEAM + SUBSTITUTES && !ranked.is_empty() {
        let is_elsewhere = |(_, candidate): &(f64, Candidate<'a>)| {
            let mut chosen = order.iter();
            chosen.all(|other| other.data_centre != candidate.data_centre)
        };
        let next = ranked.iter().position(is_elsewhere).unwrap_or(0);
        order.push(ranked.remove(next).1);
    }
    order
}

/// Returns an exponentially distributed draw whose rate is the candidate's weight; the smallest draw wins.
fn draw(seed: u64, candidate: Candidate<'_>) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(candidate.vm.as_bytes(), seed);
    // The 53 bits that an f64 can represent, shifted by half a step so that the logarithm is finite.
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(candidate.weight_permille.max(1))
}

/// Shortest time after which a peer that has not responded counts as silent.
const MIN_TIMEOUT_MS: u64 = 60;

/// Longest such time; a request cannot wait for longer.
const MAX_TIMEOUT_MS: u64 = 500;

/// Interval at which a silent peer is probed.
const PROBE_INTERVAL_MS: u64 = 250;

/// What is known of one peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    round_trip_ms: u64,
    is_silent: bool,
    probed_ms: u64,
}

/// Tracks which peers respond to datagrams, and how fast.
///
/// A peer that did not respond is not asked again until it answers a probe, so that a dead holder costs each router one
/// timeout rather than one for each request.
#[derive(Clone, Debug, Default)]
pub struct PeerMonitor {
    peers: FastMap<SocketAddr, PeerState>,
}

impl PeerMonitor {
    /// Records that a peer responded after a time.
    pub fn record_response(&mut self, peer: SocketAddr, round_trip_ms: u64) {
        let state = self.peers.entry(peer).or_default();
        state.round_trip_ms = round_trip_ms;
        state.is_silent = false;
    }

    /// Records that a peer did not respond in time; returns whether it counted as responsive until now.
    pub fn record_timeout(&mut self, peer: SocketAddr, now_ms: u64) -> bool {
        let state = self.peers.entry(peer).or_default();
        state.probed_ms = now_ms;
        !std::mem::replace(&mut state.is_silent, true)
    }

    /// Returns whether a peer has not responded and is not to be asked.
    pub fn is_silent(&self, peer: SocketAddr) -> bool {
        self.peers.get(&peer).is_some_and(|state| state.is_silent)
    }

    /// Returns how long to wait for a response of a peer.
    pub fn timeout_ms(&self, peer: SocketAddr) -> u64 {
        let state = self.peers.get(&peer).copied().unwrap_or_default();
        (3 * state.round_trip_ms + MIN_TIMEOUT_MS / 2).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }

    /// Returns whether a silent peer is to be probed now, and if so counts the probe.
    pub fn take_probe(&mut self, peer: SocketAddr, now_ms: u64) -> bool {
        let Some(state) = self.peers.get_mut(&peer) else {
            return false;
        };
        let is_due = state.is_silent && now_ms.saturating_sub(state.probed_ms) >= PROBE_INTERVAL_MS;
        if is_due {
            state.probed_ms = now_ms;
        }
        is_due
    }

    /// Forgets peers that are no longer part of the fleet.
    pub fn retain(&mut self, is_member: impl Fn(SocketAddr) -> bool) {
        self.peers.retain(|peer, _| is_member(*peer));
    }
}

/// A router in the order in which a request for tokens asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// This router.
    Own,
    /// Another router.
    Peer {
        /// Name of its VM.
        vm: CompactString,
        /// Address for datagrams.
        address: SocketAddr,
    },
}

/// Returns whom a router asks for tokens, in order: holders that respond, starting with itself or with one in its data
/// centre, then substitutes, and last itself.
///
/// Routers outside the data centres of the holders start at different ones, so that their requests spread.
pub fn ask_order(
    ranked: &[Candidate<'_>],
    own: Candidate<'_>,
    address_of: impl Fn(&str) -> Option<SocketAddr>,
    is_silent: impl Fn(SocketAddr) -> bool,
) -> Vec<Holder> {
    let (holders, substitutes) = ranked.split_at(ranked.len().min(HOLDERS_PER_TEAM));
    let start = holders
        .iter()
        .position(|holder| holder.vm == own.vm)
        .or_else(|| {
            let mut positions = holders.iter();
            positions.position(|holder| holder.data_centre == own.data_centre)
        })
        .unwrap_or_else(|| {
            let hash = xxhash_rust::xxh3::xxh3_64(own.vm.as_bytes());
            (hash % holders.len().max(1) as u64) as usize
        });
    let from_start = holders[start.min(holders.len())..]
        .iter()
        .chain(&holders[..start.min(holders.len())]);
    let mut order = Vec::with_capacity(ranked.len() + 1);
    let mut responsive = 0;
    for candidate in from_start.chain(substitutes) {
        if responsive == HOLDERS_PER_TEAM {
            break;
        }
        if candidate.vm == own.vm {
            order.push(Holder::Own);
            responsive += 1;
        } else if let Some(address) = address_of(candidate.vm).filter(|peer| !is_silent(*peer)) {
            order.push(Holder::Peer {
                vm: candidate.vm.into(),
                address,
            });
            responsive += 1;
        }
    }
    if !order.contains(&Holder::Own) {
        order.push(Holder::Own);
    }
    order
}
