//! Choice of the upstream for an attempt, within the limits that the fleet shares.

use compact_str::CompactString;

use super::retry_need;
use crate::cold_upstreams::{prefers_warm, ColdRule};
use crate::directory::{UpstreamDirectory, UpstreamEntry};
use crate::gateway::limits::{self, ColdPermit};
use crate::gateway::request::Call;
use crate::gateway::{availability, beliefs, cold_upstreams, evacuations, rollouts, Shared};
use crate::placement::{Candidate, Placement, PlacementError};
use crate::upstream_availability::Availability;
use crate::upstream_beliefs::{Preference, RequestNeed};
use crate::upstream_limits::Weight;
use crate::version_canary::Choice as Versions;

/// An upstream that was chosen for an attempt.
pub(super) struct Choice {
    pub(super) id: CompactString,
    pub(super) entry: UpstreamEntry,
    /// Weight of the request for the limit of the upstream.
    pub(super) weight: Weight,
    /// What the upstream tolerates if it is cold; `None` if it never is.
    pub(super) cold_rule: Option<ColdRule>,
    /// Permit for the request, if the upstream may be cold.
    pub(super) cold_permit: Option<ColdPermit>,
}

/// Which upstreams are left out of a first choice.
#[derive(Clone, Copy)]
struct Narrowing {
    /// Only upstreams that have answered since this time.
    answered_since_ms: Option<u64>,
    /// Only upstreams that are known to be warm.
    is_warm_only: bool,
}

/// Chooses an upstream to which this gateway may open another connection.
pub(super) fn choose_upstream(
    shared: &Shared,
    call: &Call<'_>,
    tried: &[CompactString],
    versions: Versions,
) -> Result<Choice, PlacementError> {
    let directory = shared.directory.borrow();
    let placement = shared.placement.borrow();
    let selection = Selection::new(shared, call, tried, &directory, &placement, versions);
    let preference = preference(shared, call, tried, &selection.serving);
    let weight = placement.weight(call.meta.prompt.as_ref());
    let (id, weight) = match selection.choose(weight, preference) {
        // A light request that no other upstream takes counts as a heavy one.
        Err(_) if weight == Weight::Light => {
            (selection.choose(Weight::Heavy, preference)?, Weight::Heavy)
        }
        chosen => (chosen?, weight),
    };
    let entry = directory.get(id).ok_or(PlacementError::NoUpstream)?;
    Ok(Choice {
        id: id.into(),
        entry: entry.clone(),
        weight,
        cold_rule: selection.cold_rule,
        cold_permit: None,
    })
}

/// Selection among the upstreams of the service of one request.
struct Selection<'a> {
    shared: &'a Shared,
    call: &'a Call<'a>,
    tried: &'a [CompactString],
    directory: &'a UpstreamDirectory,
    placement: &'a Placement,
    serving: Vec<(&'a CompactString, &'a UpstreamEntry)>,
    versions: Versions,
    /// Maximum number of connections from this gateway to one upstream.
    connection_limit: u32,
    cold_rule: Option<ColdRule>,
    now_ms: u64,
}

impl<'a> Selection<'a> {
    fn new(
        shared: &'a Shared,
        call: &'a Call<'a>,
        tried: &'a [CompactString],
        directory: &'a UpstreamDirectory,
        placement: &'a Placement,
        versions: Versions,
    ) -> Self {
        let mut selection = Self {
            shared,
            call,
            tried,
            directory,
            placement,
            serving: staying(shared, call, directory).collect(),
            versions,
            connection_limit: connection_limit(shared, call),
            cold_rule: cold_upstreams::rule(shared, &call.service),
            now_ms: shared.now_ms(),
        };
        selection.versions = match versions {
            Versions::Present if !selection.has_version(false) => Versions::Any,
            Versions::Replacement if !selection.has_version(true) => Versions::Any,
            other => other,
        };
        selection
    }

    fn is_new(&self, entry: &UpstreamEntry) -> bool {
        rollouts::is_new(self.shared, &self.call.service, &entry.version)
    }

    fn has_version(&self, is_wanted_new: bool) -> bool {
        let mut entries = self.serving.iter();
        entries.any(|(_, entry)| self.is_new(entry) == is_wanted_new)
    }

    fn may_be_cold(&self, id: &str) -> bool {
        cold_upstreams::may_be_cold(self.shared, self.cold_rule, id)
    }

    /// Returns whether an upstream takes a request now. Processes that are gone are not among the serving ones.
    fn is_available(&self, id: &str, entry: &UpstreamEntry) -> bool {
        availability::availability(self.shared, id, entry) == Availability::Available
    }

    /// Chooses an upstream, those first that the preference names.
    fn choose(&self, weight: Weight, preference: Preference) -> Result<&'a str, PlacementError> {
        match preference {
            Preference::None => self.choose_warm_first(weight, None),
            Preference::Answered { since_ms } => {
                let preferred = self.choose_warm_first(weight, Some(since_ms));
                preferred.or_else(|_| self.choose_warm_first(weight, None))
            }
            Preference::OnlyAnswered { since_ms } => self
                .choose_warm_first(weight, Some(since_ms))
                .map_err(|_| PlacementError::NoUpstream),
        }
    }

    /// Chooses the best upstream, or a warm one that is nearly as good if that one may be cold.
    fn choose_warm_first(
        &self,
        weight: Weight,
        answered_since_ms: Option<u64>,
    ) -> Result<&'a str, PlacementError> {
        let narrowing = |is_warm_only| Narrowing {
            answered_since_ms,
            is_warm_only,
        };
        let best = self.choose_of_version(weight, narrowing(false))?;
        if !self.may_be_cold(best) {
            return Ok(best);
        }
        let delay_ms = |id: &str| {
            let prompt = self.call.meta.prompt.as_ref();
            self.placement.expected_delay_ms(id, prompt, self.now_ms)
        };
        match self.choose_of_version(weight, narrowing(true)) {
            Ok(warm)
                if self.is_same_version(warm, best)
                    && prefers_warm(delay_ms(best), delay_ms(warm), self.shared.random()) =>
            {
                Ok(warm)
            }
            _ => Ok(best),
        }
    }

    /// Returns whether two upstreams have the same version, if versions matter.
    ///
    /// A first choice of the new version falls back to the present one if no upstream of the new one is left.
    fn is_same_version(&self, one: &str, other: &str) -> bool {
        let is_new = |id: &str| {
            let entry = self.directory.get(id);
            entry.is_some_and(|entry| self.is_new(entry))
        };
        matches!(self.versions, Versions::Any) || is_new(one) == is_new(other)
    }

    fn choose_of_version(
        &self,
        weight: Weight,
        narrowing: Narrowing,
    ) -> Result<&'a str, PlacementError> {
        let chosen = self.choose_among(self.versions, weight, narrowing);
        match (chosen, self.versions) {
            (Err(_), Versions::New) => self.choose_among(Versions::Present, weight, narrowing),
            (chosen, _) => chosen,
        }
    }

    fn choose_among(
        &self,
        versions: Versions,
        weight: Weight,
        narrowing: Narrowing,
    ) -> Result<&'a str, PlacementError> {
        let candidates: Vec<_> = self
            .serving
            .iter()
            .filter(|(_, entry)| self.has_allowed_version(entry, versions))
            .filter(|(id, entry)| self.is_candidate(id, entry, weight, narrowing))
            .map(|(id, entry)| Candidate {
                id: id.as_str(),
                slots: entry.slots,
                is_local: entry.data_centre == self.shared.settings.data_centre,
            })
            .collect();
        if candidates.is_empty() && !self.serving.is_empty() {
            return Err(PlacementError::Full);
        }
        let prompt = self.call.meta.prompt.as_ref();
        self.placement
            .choose(&candidates, prompt, self.tried, self.now_ms)
    }

    fn has_allowed_version(&self, entry: &UpstreamEntry, versions: Versions) -> bool {
        match versions {
            Versions::Any => true,
            Versions::New | Versions::Replacement => self.is_new(entry),
            Versions::Present | Versions::PresentOnly => !self.is_new(entry),
        }
    }

    fn is_candidate(
        &self,
        id: &str,
        entry: &UpstreamEntry,
        weight: Weight,
        narrowing: Narrowing,
    ) -> bool {
        let limits = &self.shared.limits;
        let has_answered = |since_ms| has_answered(self.shared, id, entry, since_ms);
        narrowing.answered_since_ms.is_none_or(has_answered)
            && self.placement.open_requests(id) < self.connection_limit
            && limits.may_ask(id, weight, self.now_ms)
            && self.is_available(id, entry)
            && (!self.may_be_cold(id)
                || !narrowing.is_warm_only && limits.may_ask_cold(id, self.now_ms))
    }
}

/// Returns whether the chosen upstream still takes new requests.
///
/// Its state may have changed while the request waited for a permission or a connection, so this is checked right before
/// the request is sent.
pub(super) fn is_still_allowed(shared: &Shared, call: &Call<'_>, choice: &Choice) -> bool {
    is_same_process(shared, choice)
        && availability::is_available(shared, &choice.id, &choice.entry)
        && !evacuations::is_evacuated(shared, &choice.entry)
        && !rollouts::is_rolled_back(shared, &call.service, &choice.entry.version)
}

/// Returns whether the directory still has the chosen process, and not as draining. Otherwise a connection to it may not
/// be kept for its upstream.
pub(super) fn is_same_process(shared: &Shared, choice: &Choice) -> bool {
    let directory = shared.directory.borrow();
    directory.get(&choice.id).is_some_and(|entry| {
        !entry.is_draining && entry.is_process(choice.entry.address, choice.entry.started_ms)
    })
}

/// Returns whether the chosen upstream is still warm, or the permit for the request is still valid.
pub(super) fn is_still_permitted(shared: &Shared, choice: &Choice) -> bool {
    choice.cold_rule.is_none() || limits::is_permitted(shared, &choice.id, choice.cold_permit)
}

/// Returns which upstreams go first while the directory is stale.
fn preference(
    shared: &Shared,
    call: &Call<'_>,
    tried: &[CompactString],
    serving: &[(&CompactString, &UpstreamEntry)],
) -> Preference {
    let Some(since_ms) = beliefs::stale_since_ms(shared) else {
        return Preference::None;
    };
    let answered = serving.iter();
    let answered = answered.filter(|(id, entry)| has_answered(shared, id, entry, since_ms));
    let need = RequestNeed {
        retry: retry_need(shared, call, tried),
        serving: serving.len(),
        answered: answered.count(),
    };
    shared.beliefs.borrow().preference(Some(since_ms), &need)
}

fn has_answered(shared: &Shared, id: &str, entry: &UpstreamEntry, since_ms: u64) -> bool {
    let process = availability::process(id, entry);
    let beliefs = shared.beliefs.borrow();
    beliefs.has_answered_since(process, since_ms)
}

/// Returns the upstreams of the service outside evacuated data centres that neither their entries nor their own
/// responses say to be leaving, and whose processes are not known to be gone.
fn staying<'a>(
    shared: &'a Shared,
    call: &'a Call<'_>,
    directory: &'a UpstreamDirectory,
) -> impl Iterator<Item = (&'a CompactString, &'a UpstreamEntry)> {
    directory.serving(&call.service).filter(|(id, entry)| {
        availability::availability(shared, id, entry) != Availability::Leaving
            && !evacuations::is_evacuated(shared, entry)
            && !beliefs::is_gone(shared, id, entry)
    })
}

/// Returns the maximum number of connections from this gateway to one upstream.
fn connection_limit(shared: &Shared, call: &Call<'_>) -> u32 {
    /// Lower bound of the share, so that a gateway of a large fleet can serve at all.
    const MIN_CONNECTIONS: u64 = 2;
    let total = call
        .table
        .service(&call.service)
        .map_or(u32::MAX, |service| service.max_connections);
    let part = shared
        .routers
        .borrow()
        .share(&shared.settings.vm, u64::from(total));
    part.max(MIN_CONNECTIONS) as u32
}

/// Returns the time until the coordinator of an upstream grants a request, as far as it has refused one.
fn limit_wait_ms(shared: &Shared, call: &Call<'_>, id: &str, now_ms: u64) -> u64 {
    let stated_ms = shared.limits.wait_ms(id, now_ms);
    let rule = cold_upstreams::rule(shared, &call.service);
    if cold_upstreams::may_be_cold(shared, rule, id) {
        stated_ms.max(shared.limits.cold_wait_ms(id, now_ms))
    } else {
        stated_ms
    }
}

/// Returns the time until an upstream of the service takes a request again, if one with a limit is the first that may.
pub(super) fn limited_wait_ms(shared: &Shared, call: &Call<'_>) -> Option<u64> {
    let directory = shared.directory.borrow();
    let now_ms = shared.now_ms();
    let available = staying(shared, call, &directory)
        .filter(|(id, entry)| availability::is_available(shared, id, entry));
    let waits = available.map(|(id, _)| limit_wait_ms(shared, call, id, now_ms));
    waits.filter(|wait_ms| *wait_ms > 0).min()
}

/// Returns the time until an upstream of the service takes a request again, if all that stay have asked for a pause.
pub(super) fn paused_wait_ms(shared: &Shared, call: &Call<'_>) -> Option<u64> {
    let directory = shared.directory.borrow();
    let now_ms = shared.now_ms();
    let mut shortest_ms = None;
    for (id, entry) in staying(shared, call, &directory) {
        let Availability::Paused { wait_ms } = availability::availability(shared, id, entry) else {
            return None;
        };
        let wait_ms = wait_ms.max(limit_wait_ms(shared, call, id, now_ms));
        shortest_ms =
            Some(shortest_ms.map_or(wait_ms, |shortest_ms: u64| shortest_ms.min(wait_ms)));
    }
    shortest_ms
}
