//! Choice among upstreams that state their speed: the least expected cost.
//!
//! The cost of an upstream is the expected time to the first byte, a share of the error of that time, and a
//! multiple of the work for the request itself at usual speed, because others wait for that work. The last part keeps
//! prompts where they are cached. All routers read the same figures, so among near equals two are taken by rendezvous hashing of the session,
//! and one of the two at random: sessions spread over the near equals, and one session is cached at two of them.

use super::usual_choice::rendezvous_score;
use super::{Candidate, Placement, Prompt, UpstreamLoad};

/// Time of a round trip between data centres.
const REMOTE_PENALTY_MS: f64 = 2.0;

/// Difference in cost up to which upstreams count as near equals, in milliseconds.
const NEAR_MARGIN_MS: f64 = 5.0;

/// Weight of the error of the expected time.
const SPREAD_WEIGHT: f64 = 0.5;

/// Weight of the work that is left only if the engine has become slow unnoticed. About a seventh of the engines is slow
/// at a time; a first byte that is much too late weighs more than one that is a little early.
const DOUBT_WEIGHT: f64 = 0.2;

/// The same if a first byte is overdue at the engine, so that it probably is slow.
const OVERDUE_WEIGHT: f64 = 1.0;

/// Weight of the work for the request itself, at usual speed. Work that is done twice delays the requests behind it,
/// and a slow phase lasts half a second, so a session leaves the engine that has cached its prompt only for a clear gain.
const OWN_WORK_WEIGHT: f64 = 2.5;

/// Weight of the occupied share of the slots of a plain upstream, in processing times. Requests beyond the slots wait;
/// below, the share only shows how many may arrive unseen from other routers.
const OCCUPANCY_WEIGHT: f64 = 0.5;

impl Placement {
    /// Returns the id of the candidate with the least expected cost, chosen at random among near equals.
    pub(super) fn choose_by_cost<'a>(
        &self,
        candidates: &[Candidate<'a>],
        prompt: Option<&Prompt>,
        now_ms: u64,
    ) -> Option<&'a str> {
        let initial = UpstreamLoad::new();
        let load = |candidate: &Candidate<'_>| self.loads.get(candidate.id).unwrap_or(&initial);
        let costs: Vec<f64> = match prompt {
            Some(prompt) => candidates
                .iter()
                .map(|candidate| self.prompt_cost_ms(load(candidate), candidate, prompt, now_ms))
                .collect(),
            None => {
                let service_ms = mean_service_ms(candidates.iter().map(load));
                candidates
                    .iter()
                    .map(|candidate| plain_cost_ms(load(candidate), candidate, service_ms, now_ms))
                    .collect()
            }
        };
        let draw = self.costs.draw();
        let session = prompt.map_or(draw, |prompt| prompt.session);
        let [first, second] = near_equals(candidates, &costs, session);
        // The highest bit is independent of those that the hash of the session was seeded with.
        match (first, second) {
            (Some(_), Some(second)) if draw >> 63 == 1 => Some(second.id),
            (first, _) => first.map(|candidate| candidate.id),
        }
    }

    fn prompt_cost_ms(
        &self,
        load: &UpstreamLoad,
        candidate: &Candidate<'_>,
        prompt: &Prompt,
        now_ms: u64,
    ) -> f64 {
        let cost = self.cost_at(load, Some(prompt), now_ms);
        let slot_ms = slot_wait_ms(load, candidate, self.costs.model.mean_output_ms(), now_ms);
        let doubt_weight = if cost.is_overdue {
            OVERDUE_WEIGHT
        } else {
            DOUBT_WEIGHT
        };
        let work_ms = cost.wait_ms + cost.work_ms + slot_ms + doubt_weight * cost.doubtful_ms;
        cost.speed.time_ms(work_ms)
            + SPREAD_WEIGHT * cost.speed.spread * work_ms
            + OWN_WORK_WEIGHT * cost.work_ms
            + remote_penalty_ms(candidate)
    }
}

fn plain_cost_ms(
    load: &UpstreamLoad,
    candidate: &Candidate<'_>,
    mean_service_ms: f64,
    now_ms: u64,
) -> f64 {
    let speed = load.costs.speed.estimate(now_ms);
    let service_ms = load.costs.service_ms.unwrap_or(mean_service_ms);
    let occupied = f64::from(load.total_requests(now_ms)) / f64::from(candidate.slots.max(1));
    let work_ms = service_ms * (1.0 + OCCUPANCY_WEIGHT * occupied)
        + slot_wait_ms(load, candidate, service_ms, now_ms);
    let time_ms = speed.time_ms(work_ms) + SPREAD_WEIGHT * speed.spread * work_ms;
    time_ms * (1.0 + 2.0 * load.failure_rate) + remote_penalty_ms(candidate)
}

/// Returns the time until a slot is free at an upstream where each request occupies one for `request_ms`.
fn slot_wait_ms(
    load: &UpstreamLoad,
    candidate: &Candidate<'_>,
    request_ms: f64,
    now_ms: u64,
) -> f64 {
    let slots = candidate.slots.max(1);
    let ahead = load
        .total_requests(now_ms)
        .saturating_add(1)
        .saturating_sub(slots);
    f64::from(ahead) * request_ms / f64::from(slots)
}

fn remote_penalty_ms(candidate: &Candidate<'_>) -> f64 {
    if candidate.is_local {
        0.0
    } else {
        REMOTE_PENALTY_MS
    }
}

/// Returns the mean time of plain requests at upstreams of usual speed, for those that have not served any.
fn mean_service_ms<'l>(loads: impl Iterator<Item = &'l UpstreamLoad>) -> f64 {
    let known = loads.filter_map(|load| load.costs.service_ms);
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        super::INITIAL_LATENCY_MS
    }
}

/// Returns the two near equals with the highest scores of a session.
fn near_equals<'c, 'a>(
    candidates: &'c [Candidate<'a>],
    costs: &[f64],
    session: u64,
) -> [Option<&'c Candidate<'a>>; 2] {
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let mut best = [(0, None), (0, None)];
    for (candidate, cost) in candidates.iter().zip(costs) {
        if *cost > least + NEAR_MARGIN_MS {
            continue;
        }
        let score = rendezvous_score(session, candidate.id);
        if best[0].1.is_none() || score > best[0].0 {
            best = [(score, Some(candidate)), best[0]];
        } else if best[1].1.is_none() || score > best[1].0 {
            best[1] = (score, Some(candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}
