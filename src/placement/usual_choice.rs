//! Choice among upstreams of which none states its speed.

use super::{Candidate, UpstreamLoad};

/// Difference in expected delay up to which engines count as equal, in milliseconds.
const TIE_MARGIN_MS: f64 = 4.0;

/// Returns the candidate with the smallest delay; ties are broken by rendezvous hashing of the session.
pub(super) fn min_delay_candidate<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    session: u64,
    delay_ms: impl Fn(&Candidate<'_>) -> f64,
) -> Option<&'c Candidate<'a>> {
    let delays: Vec<f64> = candidates.iter().map(delay_ms).collect();
    let least = delays.iter().copied().fold(f64::INFINITY, f64::min);
    candidates
        .iter()
        .zip(&delays)
        .filter(|(_, delay)| **delay <= least + TIE_MARGIN_MS)
        .map(|(candidate, _)| candidate)
        .max_by_key(|candidate| rendezvous_score(session, candidate.id))
}

pub(super) fn rendezvous_score(session: u64, id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), session)
}

/// Returns the expected wait at an upstream, derived from its mean time to the first byte and its occupancy.
pub(super) fn expected_wait_ms(load: &UpstreamLoad, candidate: &Candidate<'_>, now_ms: u64) -> f64 {
    /// Penalty of an upstream in another data centre; the time of a round trip between data centres.
    const REMOTE_PENALTY_MS: f64 = 2.0;
    let occupied = f64::from(load.total_requests(now_ms)) / f64::from(candidate.slots.max(1));
    let penalty_ms = if candidate.is_local {
        0.0
    } else {
        REMOTE_PENALTY_MS
    };
    load.latency_ms * (0.5 + occupied) * (1.0 + 2.0 * load.failure_rate) + penalty_ms
}
